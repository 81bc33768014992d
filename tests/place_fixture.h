/* Three daemons, a platform with four workers of 4 processors each, and the
 * stream of the only cell, for tests of job placement. */
#ifndef PLACE_FIXTURE_H
#define PLACE_FIXTURE_H

#include "proc_cluster.h"

/* For what has to wait for the end of a lease. */
#define LEASE_LIMIT_MS 90000

struct place_fixture {
    struct proc_cluster cluster;
    struct cluster_stream jobs; /* the stream of the only cell */
    const char *worker;         /* for the waits */
};

/* failing names the worker that fails everything, "" for none. */
void place_begin(struct place_fixture *f, const char *failing);
/* Ends the processes; the test passes when good is true. */
void place_end(struct place_fixture *f, bool good);
/* Puts a document with one job named job, with count 0 without jobs. more is
 * "" or further members of the job that begin with a comma. Returns the
 * document's version. */
uint64_t place_put_job(struct place_fixture *f, const char *service,
                       uint64_t base, int count, int cpu_milli, int run_ms,
                       const char *more);
/* A number of the platform's GET /violations or of its counts. */
int64_t place_count(struct place_fixture *f, const char *key);
/* Prints what counts for a test and tells whether each task ran once. */
bool place_ran_once(struct place_fixture *f, int64_t tasks);
/* The daemon that holds the cell, by the last claim. */
struct proc *place_holder(struct place_fixture *f);
/* Waits until another daemon than the given one has claimed the cell. */
bool place_wait_replaced(struct place_fixture *f, const struct proc *old);
/* Waits until so many tasks are recorded as done. */
bool place_wait_done(struct place_fixture *f, size_t tasks, int limit_ms);
/* True when no worker reports a task, in whatever state; arg is the
 * fixture. */
bool place_has_no_tasks(void *arg);

#endif
