/* One agent for each worker, shared by the agents*.c files. */
#ifndef CW_AGENTS_INT_H
#define CW_AGENTS_INT_H

#include "cw_jobd.h"

/* No further starts are sent to a worker for this time after it failed to
 * answer one. */
#define UNANSWERED_PAUSE_MS 800

enum order_kind { ORDER_START, ORDER_STOP, ORDER_PACE };

struct order {
    struct order *next;
    struct cw_agent *agent;
    enum order_kind kind;
    struct cw_run_row row;
    int64_t born_wall; /* the one incarnation that may get it; 0: any */
    uint32_t percent;
    uint32_t tries;
    bool unanswered; /* was sent without an answer: may have arrived */
    bool withheld;   /* waits for a valid membership; counted */
    cw_ms due;
    cw_ms sent_at; /* latest call */
    bool checked;  /* see cw_task.checked; of the latest call */
    bool bound;    /* it reaches the incarnation that reported last, or none */
};

struct cw_agent {
    struct cw_agent *prev;
    struct cw_agent *next;
    struct cw_jobd *d;
    struct cw_worker *worker;
    struct cw_worker_conn *conn;
    struct cw_name address; /* of conn */
    struct order *orders;
    uint32_t in_flight;
    bool closing;
    bool reporting;
    cw_ms report_sent;
    cw_ms next_report_at; /* not before; later while the loop lags behind */
    cw_ms report_due;
    cw_ms answered_at; /* the last report came */
    cw_ms reported_at; /* call that it answered; 0: it was not believed */
    uint32_t unproved_reports; /* in a row */
    uint32_t starts_open;
    cw_ms start_at;          /* last start that was sent */
    bool acked_unproved;     /* see cw_report_order; of the open report call */
    uint64_t report_acked;   /* acknowledgement in the open report call */
    uint64_t acked_sent;     /* acknowledgement that the worker received */
    uint32_t failures;       /* failed report calls in a row */
    bool moving;             /* its connections to a former address close */
    bool checking;           /* a check is open .. */
    cw_ms check_sent;        /* .. or was, since then */
    uint32_t checked_closed; /* checked starts in a row whose connection ended
                              * before their time */
    cw_ms heard_at;          /* the worker answered a report, start or check */
};

/* Returns the worker's agent, created when it has none; NULL when the worker
 * cannot be reached. */
struct cw_agent *cw_agent_get(struct cw_jobd *d, struct cw_worker *w);
void cw_agent_commit_changes(struct cw_jobd *d);
/* Asks the worker for a report when one is due. */
void cw_agent_report_if_due(struct cw_agent *a, cw_ms now);

/* ---- agents_orders.c ---- */

/* Sends the orders that are due; without a valid membership they wait. */
void cw_agent_send_orders(struct cw_agent *a, cw_ms now);

/* Removes the starts that were never sent: their tasks go elsewhere. */
void cw_agent_drop_unsent_starts(struct cw_agent *a, cw_ms now);
/* Stops the runs whose checked starts got no answer and can't be sent again.
 */
void cw_agent_stop_unanswered_starts(struct cw_agent *a, cw_ms now);
/* Another incarnation answered a call that was sent at a time: what ran on the
 * worker has ended. */
void cw_agent_worker_replaced(struct cw_agent *a, cw_ms sent_at, cw_ms now);

/* ---- agents_check.c ---- */

/* True when the task's start may be sent now; else asks its worker to answer
 * first, if that is due. */
bool cw_agent_may_send_start(struct cw_agent *a, const struct cw_task *t,
                             cw_ms now);

#endif
