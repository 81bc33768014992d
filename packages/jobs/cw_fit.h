/* Which machines can run the tasks of a step, whatever else they run now. One
 * predicate on the needs of a step for starts, reservations, preemption, and
 * the demand for VMs: what can never start must hold nothing back. */
#ifndef CW_FIT_H
#define CW_FIT_H

#include "cw_jobs_state.h"

/* Number of the step's tasks that fit into this room together, on a machine
 * with these labels; at most the step's limit per worker. */
uint32_t cw_step_tasks_in_room(const struct cw_step *st,
                               const struct cw_resources *room,
                               const struct cw_name *labels,
                               size_t label_count);
/* What the worker's lasting tasks need. */
struct cw_resources cw_worker_lasting_need(const struct cw_worker *w);
/* The worker's free room. */
struct cw_resources cw_worker_free_room(const struct cw_worker *w);
/* The room that the worker's batch tasks will leave: what its lasting tasks
 * need does not become free without a stop. */
struct cw_resources cw_worker_room_after_batch(const struct cw_worker *w);

/* Sets the machines that exist, with those that may yet move to another pool.
 * Until the first call nothing counts as impossible. */
void cw_sched_set_machines(struct cw_sched *s, const struct cw_machine *rows,
                           size_t n);

/* What the machines can do for one step of a job. */
struct cw_step_outlook {
    uint32_t at_once; /* tasks that could be at work together, if the machines
                       * ran nothing else; UINT32_MAX: not known */
    bool rare;        /* less than half of the machines can run one */
};

struct cw_step_outlook cw_step_outlook(const struct cw_sched *s,
                                       const struct cw_job_entry *j,
                                       uint16_t step);
/* Number of the step's waiting tasks, of one occurrence, that could run. Of a
 * lasting step those beyond what the machines hold together never do; of a
 * gang all do or none. first: the step's first task. */
uint32_t cw_step_runnable(const struct cw_sched *s,
                          const struct cw_task *first);
/* The machines can run a gang together, beside the lasting tasks that they run
 * now. While they cannot, further VMs in its pool would only stand idle. */
bool cw_gang_has_room(const struct cw_sched *s, const struct cw_task *first);
/* A step of the job that is not done and that no machine, or no set of
 * machines for a gang, can run; step_count when there is none. */
size_t cw_job_blocked_step(const struct cw_sched *s,
                           const struct cw_job_entry *j);
/* Writes, for the job's caller, why that step does not start. */
void cw_job_blocked_reason(const struct cw_sched *s,
                           const struct cw_job_entry *j, size_t step,
                           char out[CW_JOB_REASON_MAX]);
/* Logs the jobs that no machine can run, each once in a while, and returns how
 * many there are. */
size_t cw_sched_log_blocked(struct cw_sched *s, cw_ms now);

#endif
