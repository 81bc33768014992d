/* A fixture with the job scheduler and no network: records the operations that
 * the scheduler passes to its owner, and simulates the store and the
 * workers. */
#ifndef JOBS_UTIL_H
#define JOBS_UTIL_H

#include "cw_jobs_int.h"

#define OPS_MAX 4096
#define STORED_MAX 4096

struct jobs_op {
    char kind; /* 's' start, 'x' stop, 'p' pace */
    struct cw_run_row row;
    char worker[CW_NAME_MAX + 1];
    char checkpoint[CW_CHECKPOINT_MAX + 1];
};

struct jobs_fixture {
    struct cw_sched s;
    cw_ms now;
    struct jobs_op ops[OPS_MAX];
    size_t op_count;
    struct {
        char key[CW_JOB_KEY_MAX];
        char *value;
        size_t len;
    } stored[STORED_MAX];
    size_t stored_count;
};

#define JOBS_SERVICE "stitch"
#define JOBS_LEASE_MS 4000

void jobs_setup(struct jobs_fixture *f);
void jobs_teardown(struct jobs_fixture *f);
/* A job of one step. */
struct cw_job_spec jobs_spec(uint64_t id, uint32_t tasks, uint32_t cpu);
/* A job whose steps run one after the other. */
struct cw_job_spec jobs_chain_spec(uint64_t id, uint32_t steps, uint32_t tasks,
                                   uint32_t cpu);
struct cw_job_entry *jobs_accept(struct jobs_fixture *f,
                                 struct cw_job_spec *spec);
/* Adds a worker that has not reported. */
struct cw_worker *jobs_list_worker(struct jobs_fixture *f, const char *id,
                                   const char *vm, uint32_t cpu);
/* Adds a worker that has reported and runs nothing. */
struct cw_worker *jobs_add_worker(struct jobs_fixture *f, const char *id,
                                  const char *vm, uint32_t cpu);
/* Plans and writes the batch, but does not confirm it; returns its number, 0
 * when nothing changed. */
uint64_t jobs_flush(struct jobs_fixture *f);
/* Plans, writes the batch and confirms it. */
void jobs_commit(struct jobs_fixture *f);
/* Number of recorded operations of a kind. */
size_t jobs_count_ops(const struct jobs_fixture *f, char kind);
/* Answers each start in f->ops from index from on with CW_START_OK. */
void jobs_answer_starts(struct jobs_fixture *f, size_t from);
/* A report with one end; the worker's other runs are listed as running. */
void jobs_report_end(struct jobs_fixture *f, struct cw_worker *w,
                     uint64_t number, struct cw_run_row row,
                     enum cw_run_end how);
/* A report that lists only these rows, as running. */
void jobs_report_running(struct jobs_fixture *f, struct cw_worker *w,
                         const struct cw_run_row *rows, size_t n);
/* The row with the given progress. */
struct cw_run_row jobs_row_at_percent(struct cw_run_row r, uint32_t percent);
/* The store forgets all records. */
void jobs_drop_records(struct jobs_fixture *f);
/* Loads the stored records into a new scheduler, as a takeover does. */
void jobs_take_over(struct jobs_fixture *f);

#endif
