/* A worker that follows the platform's rules, for tests of orders that are
 * carried out seconds after they were sent. */
#ifndef LATE_WORKER_H
#define LATE_WORKER_H

#include "jobs_util.h"

#define LATE_MAX_HOLD_MS 10000
#define LATE_ORDER_MS 12000
#define LATE_CALL_MS 400 /* a start without an answer counts as one then */
#define LATE_STEP_MS 50
#define LATE_JOBS_MAX 10

extern struct jobs_fixture late;

/* One incarnation at a time; it runs tasks of step 0 of a few jobs. */
struct late_worker {
    struct cw_worker *worker;
    int64_t born;
    cw_ms began;
    uint64_t fence;          /* the highest one that it has seen */
    cw_ms lapses;            /* all its runs, on the test's clock */
    struct cw_run_row *runs; /* by job; run 0: none */
    uint32_t *barred;        /* by job: not higher ones are rejected */
};

struct late_start {
    struct cw_run_row row;
    uint64_t fence;
    int64_t until_ms;
};

enum late_repeat { LATE_ACCEPTED, LATE_ACCEPTED_LISTED, LATE_NO_ROOM };

int late_setup(void **state);
int late_teardown(void **state);
void late_next_case(void);
void late_begin_life(struct late_worker *r, int64_t born);
int64_t late_clock(const struct late_worker *r);
void late_hold(struct late_worker *r, int64_t until_ms);
/* True when the start has begun the run, or had before. */
bool late_carry_out(struct late_worker *r, const struct late_start *s);
/* The answer to a call that was made now. */
void late_report(struct late_worker *r, uint64_t fence);
/* Its entry in the list, written since the takeover or not. */
struct cw_worker *late_list(const char *id, int64_t born, bool current);
/* Submits a job of one task and sends its start to w1, the only worker. */
struct late_start late_start_job(struct late_worker *r, uint64_t id,
                                 uint64_t fence);
/* w1 has run for a minute and has reported. */
void late_begin(struct late_worker *r);
struct cw_task *late_task(uint64_t id);
/* Lets time pass to a moment; the scheduler acts meanwhile. */
void late_run_to(cw_ms at);
/* A run after this one has been sent to a worker. */
bool late_started_again(const struct cw_run_row *row);
/* Sends the start again and applies its answer: it runs, or it was stopped and
 * the worker rejects it. */
void late_repeat_start(struct late_worker *r, const struct late_start *s,
                       enum late_repeat how);

#endif
