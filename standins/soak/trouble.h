/* Further kinds of trouble: at the runners' calls and lives, at the store's
 * log, at the daemons' time of day, and from clients. */
#ifndef SOAK_TROUBLE_H
#define SOAK_TROUBLE_H

#include "soak.h"

struct req;
struct answer;

/* ---- runners: calls ---- */

/* What the calls to a runner meet; zero: nothing. */
struct call_trouble {
    int late;        /* percent of orders carried out 2 to 12 s later */
    bool any_life;   /* such an order reaches a later life too; holds do not */
    int reset;       /* percent of starts after which connections are reset */
    int refuse;      /* percent of calls answered 503 or 429 */
    int slow;        /* percent of calls answered late */
    bool hang;       /* no call is read or answered */
    bool mute;       /* reports get no answer */
    bool close;      /* connections end after the answer to a report */
    unsigned fronts; /* bits of the daemons whose calls do not arrive */
};

void worker_calls(int i, struct call_trouble t);
/* All open connections of the runner are reset. */
void worker_reset(int i);

/* ---- runners: lives ---- */

/* Heartbeats do not reach the store; calls arrive. */
void worker_store_cut(int i, bool cut);
/* Behind a cut from everything: it crashes and starts again under its id. */
void worker_reborn_cut(int i);
/* It has crashed for good; a new runner takes its address and its place. False
 * when no further runner fits. */
bool worker_replace(int i);
/* It has crashed; it starts again under its id at another address, and another
 * runner, returned, takes the former one. NULL when none fits. */
struct worker *worker_move(int i);
/* Starts again with a time of day that is ms ahead. */
void worker_restart_shifted(int i, long long ms);

/* ---- store ---- */

/* Records before the end of keyed.op and keyed.servers go; reads from earlier
 * offsets are answered 410. */
void store_compact(int keep);
/* Applies the compaction to a read. True when it has the answer. */
bool store_compacted_read(struct req *r, struct answer *a);
void store_compacted_first(const struct req *r, struct answer *a);
/* Cuts the answer to a read as the platform does. */
void store_limit_read(const struct req *r, struct answer *a);

/* ---- daemons ---- */

/* Connections to the store are reset. */
void daemon_reset_store(int i);
/* Before any daemon starts: loads the library that shifts the time of day. */
void clock_prepare(const char *folder);
/* Daemon i's time of day is ms ahead. */
void clock_shift(int i, long long ms);

/* ---- clients ---- */

/* A job that is cancelled at once, with the answer lost, and handed in again.
 */
void cancel_again(struct rng *r);

/* ---- kinds, in the order of trouble_names ---- */

enum { TROUBLE_DARK = 18, TROUBLES };
enum trouble_place { AT_LIFE, AT_CALLS, AT_NONE };

extern const char *const trouble_names[TROUBLES];
enum trouble_place trouble_at(int kind);
/* i: the runner, claimed when trouble_at is not AT_NONE. */
void trouble_run(struct rng *r, int kind, int i);

/* Runners go dark in two or three batches; some of the time the scheduler is
 * killed in between. They stay so for 10 to 25 s. */
void dark_series(struct rng *r);
/* Ends the time for which the runners of a series are dark. */
void dark_end_series(void);
/* One series; its runners stay dark. */
void dark_last_series(struct rng *r);

/* ---- soak_work.c ---- */

enum { WORK_KINDS = 4 };
extern const char *const work_names[WORK_KINDS];
bool work_at_worker(int kind);
/* i: the runner, claimed when work_at_worker. */
void work_run(struct rng *r, int kind, int i);
/* After the last fault: runners that close their connections are lost for
 * good, rather those with lasting tasks. */
void work_last_loss(struct rng *r);
/* The same: runners fail all that they start for some seconds. */
void work_last_failures(struct rng *r);

/* Of soak_faults.c. */
int fault_scheduler(struct rng *r);
void fault_kill_scheduler(struct rng *r);

#endif
