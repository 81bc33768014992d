/* Fixture for tests of job placement: three daemons, a platform with four
 * workers of 4 CPUs each, and the log stream of the only cell. */
#ifndef PLACE_FIXTURE_H
#define PLACE_FIXTURE_H

#include "proc_cluster.h"

/* Time limit of waits that last until a lease expires. */
#define LEASE_LIMIT_MS 90000

struct place_fixture {
    struct proc_cluster cluster;
    struct cluster_stream jobs; /* the stream of the only cell */
    const char *replaced;       /* daemon that place_wait_replaced waits for */
};

/* Starts the processes. failing names a worker that fails every task, "" for
 * none. */
void place_fixture_start(struct place_fixture *f, const char *failing);
/* Ends the processes and fails the test unless passed is true. */
void place_fixture_stop(struct place_fixture *f, bool passed);
/* Puts a document with one job named job, or without jobs when count is 0.
 * extra is "" or further members of the job that begin with a comma. Returns
 * the document's version. */
uint64_t place_put_job(struct place_fixture *f, const char *service,
                       uint64_t base, int count, int cpu_milli, int run_ms,
                       const char *extra);
/* A count from the platform's GET /violations, -1 if absent. */
int64_t place_platform_count(struct place_fixture *f, const char *key);
/* Prints the platform's counts and returns whether each task ran once. */
bool place_ran_once(struct place_fixture *f, int64_t tasks);
/* The daemon that wrote the last claim of the cell. */
struct proc *place_holder(struct place_fixture *f);
/* Waits until a daemon other than old has claimed the cell. */
bool place_wait_replaced(struct place_fixture *f, const struct proc *old);
/* Waits until that many tasks are recorded as done. */
bool place_wait_done(struct place_fixture *f, size_t tasks, int limit_ms);
/* True when no worker reports a task in any state; arg is the fixture. */
bool place_has_no_tasks(void *arg);

#endif
