/* A scheduler of jobs without a network: records what it asks its owner to do,
 * and plays the store and the workers. */
#ifndef JOBS_UTIL_H
#define JOBS_UTIL_H

#include "cw_jobs_int.h"

#define ASKED_MAX 4096
#define STORED_MAX 4096

struct asked {
    char kind; /* 's' start, 'x' stop, 'p' pace */
    struct cw_run_row row;
    char worker[CW_NAME_MAX + 1];
    char checkpoint[CW_CHECKPOINT_MAX + 1];
};

struct jobs_fixture {
    struct cw_sched s;
    cw_ms now;
    struct asked asked[ASKED_MAX];
    size_t asked_count;
    struct {
        char key[CW_JOB_KEY_MAX];
        char *value;
        size_t len;
    } stored[STORED_MAX];
    size_t stored_count;
};

#define JOBS_SERVICE "stitch"
#define JOBS_LEASE_MS 4000

void jobs_begin(struct jobs_fixture *f);
void jobs_end(struct jobs_fixture *f);
/* A job of one step. */
struct cw_job_spec jobs_spec(uint64_t id, uint32_t tasks, uint32_t cpu);
/* A job whose steps run one after the other. */
struct cw_job_spec jobs_chain(uint64_t id, uint32_t steps, uint32_t tasks,
                              uint32_t cpu);
struct cw_job_run *jobs_accept(struct jobs_fixture *f,
                               struct cw_job_spec *spec);
/* Adds a worker that has reported nothing to run. */
struct cw_worker *jobs_worker(struct jobs_fixture *f, const char *id,
                              const char *vm, uint32_t cpu);
/* Plans and writes, without the store's answer; 0 when nothing changed. */
uint64_t jobs_flush(struct jobs_fixture *f);
/* Plans, writes and lets the store answer. */
void jobs_commit(struct jobs_fixture *f);
size_t jobs_asked(const struct jobs_fixture *f, char kind);
/* Answers each start that was asked for since the given place with OK. */
void jobs_confirm(struct jobs_fixture *f, size_t from);
/* A report with one end, of a run that the worker was given. */
void jobs_report_end(struct jobs_fixture *f, struct cw_worker *w,
                     uint64_t number, struct cw_run_row row,
                     enum cw_run_end how);
/* A report that lists the rows as running. */
void jobs_report_running(struct jobs_fixture *f, struct cw_worker *w,
                         const struct cw_run_row *rows, size_t n);
/* The row with the progress that a report gives. */
struct cw_run_row jobs_at_work(struct cw_run_row r, uint32_t percent);
/* Moves what is stored into a new scheduler, as after a takeover. */
void jobs_take_over(struct jobs_fixture *f);

#endif
