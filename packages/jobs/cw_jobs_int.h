/* Internal declarations of the job service. */
#ifndef CW_JOBS_INT_H
#define CW_JOBS_INT_H

#include "cw_jobs.h"
#include "cw_wire.pb-c.h"

/* A spec as a protobuf message, with the memory that it points to. */
struct cw_job_spec_wire {
    Cuminwalk__JobSpec msg;
    Cuminwalk__JobStep steps[CW_JOB_STEPS_MAX];
    Cuminwalk__JobStep *step_ptrs[CW_JOB_STEPS_MAX];
    uint32_t after[CW_JOB_STEPS_MAX][CW_JOB_STEPS_MAX];
};

void cw_job_spec_to_wire(const struct cw_job_spec *s,
                         struct cw_job_spec_wire *w);
enum cw_status cw_job_spec_from_wire(struct cw_job_spec *s,
                                     const Cuminwalk__JobSpec *m);

/* Adds a job to the table and moves its spec. NULL when memory is short. */
struct cw_job_entry *cw_sched_insert(struct cw_sched *s,
                                     struct cw_job_spec *spec, cw_ms now);
/* Adds a job of which only the end is known. */
struct cw_job_entry *cw_sched_insert_ended(struct cw_sched *s, uint64_t id,
                                           struct cw_str queue);
/* Frees the tasks and the spec of an ended job once none of its tasks runs. */
void cw_job_release_tasks(struct cw_sched *s, struct cw_job_entry *j);
/* Ends a job and stops its running tasks. */
void cw_job_end(struct cw_sched *s, struct cw_job_entry *j,
                enum cw_job_state st, cw_ms now);
/* Finds the worker, or adds one that so far is known only by its id. */
struct cw_worker *cw_sched_worker_stub(struct cw_sched *s, struct cw_str id,
                                       struct cw_pool *p, cw_ms now);

/* Loads a value that a previous scheduler wrote. */
enum cw_status cw_kv_load(struct cw_sched *s, struct cw_str key,
                          struct cw_str value);
bool cw_kv_changed(const struct cw_sched *s);
/* Passes the values that changed to put. */
void cw_kv_flush(struct cw_sched *s,
                 void (*put)(void *arg, struct cw_str key,
                             struct cw_str value),
                 void *arg);
void cw_kv_finish(struct cw_sched *s);

/* Changes the state of a task, and the counters of its job. */
void cw_task_set_state(struct cw_task *t, enum cw_run_state st);
/* Notes and logs that a run no longer counts as alive, and what proves it.
 * Call before the run leaves its worker. */
void cw_run_given_up(struct cw_sched *s, struct cw_task *t,
                     enum cw_run_loss why, cw_ms now);
/* What decides next whether the run, which is on a worker, is over. */
enum cw_run_awaited cw_run_awaits(const struct cw_sched *s,
                                  const struct cw_task *t, cw_ms now);
const char *cw_run_awaited_name(enum cw_run_awaited a);
const char *cw_run_state_name(enum cw_run_state st);
/* How long the run's lease counts: "proved", "checked" or "unproved". */
const char *cw_run_lease_name(const struct cw_task *t);
/* Logs the runs that were loaded at a takeover, and how long their leases may
 * last. */
void cw_log_loaded_runs(const struct cw_sched *s, cw_ms now);
/* The run ended without success: the task waits again. */
void cw_task_requeue(struct cw_sched *s, struct cw_task *t,
                     enum cw_run_loss why, cw_ms now);
/* The worker restarted under its id: ends, acknowledgements and clock of the
 * former incarnation are void. Nothing starts there before the new one has
 * reported; that report decides on the runs. clock_ms: what its clock showed
 * lately, 0 when unknown. */
void cw_worker_new_incarnation(struct cw_sched *s, struct cw_worker *w,
                               int64_t born, int64_t clock_ms, cw_ms now);
/* True when the report, which seems to be of an earlier incarnation, is of a
 * later one that was started after the worker's time of day had gone back. */
bool cw_worker_clock_went_back(struct cw_worker *w,
                               const struct cw_run_report *r, cw_ms now);
/* No order may hold the worker's runs for longer than a lease of the usual
 * length, given on the clock that is known. */
bool cw_worker_lease_is_usual(const struct cw_sched *s,
                              const struct cw_worker *w, cw_ms now);
/* The listed incarnation lives now: it has not restarted since the previous
 * scheduler started runs on it, and their leases count as proved. */
void cw_worker_seen_alive(struct cw_worker *w);
/* The run is over: the task waits again. */
void cw_task_lost(struct cw_sched *s, struct cw_task *t, enum cw_run_loss why,
                  cw_ms now);
/* Drops the task's start when it was never sent: the task waits again, and its
 * worker needs no stop. False when there is no such start. */
bool cw_task_drop_unsent(struct cw_sched *s, struct cw_task *t, cw_ms now);
/* The worker is an incarnation of this VM; "": unknown. */
void cw_worker_set_vm(struct cw_sched *s, struct cw_worker *w,
                      struct cw_str vm);
/* Removes the worker from the workers of its VM. */
void cw_worker_leave_vm(struct cw_sched *s, struct cw_worker *w);
/* A worker is one incarnation of a VM. When a later one has reported, the runs
 * of the earlier ones have ended, although their entries may stay listed for
 * some seconds. An entry alone proves nothing: it may name another worker's
 * VM. */
void cw_worker_end_earlier(struct cw_sched *s, const struct cw_worker *w,
                           cw_ms now);
/* Ends up to ack_pending wait for the commit of ack_batch. */
void cw_worker_await_ack(struct cw_sched *s, struct cw_worker *w);
/* Assigns a task to a worker, and removes it from there. */
void cw_task_place(struct cw_task *t, struct cw_worker *w);
void cw_task_unplace(struct cw_sched *s, struct cw_task *t, cw_ms now);

/* The worker comes back after a silence, a flap, failures or refusals: it gets
 * one task, then two, then four, each step after a success. */
void cw_worker_begin_ramp(const struct cw_sched *s, struct cw_worker *w,
                          cw_ms now);
/* Called before a report is applied: the worker may have been silent. */
void cw_worker_note_silence(const struct cw_sched *s, struct cw_worker *w,
                            cw_ms now);
/* False when a worker that ramps up, or is slow, may not get the task now. */
bool cw_worker_within_ramp(const struct cw_worker *w, const struct cw_task *t,
                           cw_ms now);
/* Learns from a run that a report lists, and from one that is done. */
void cw_worker_run_reported(struct cw_sched *s, struct cw_worker *w,
                            struct cw_task *t, uint32_t percent, cw_ms now);
void cw_worker_run_done(struct cw_sched *s, struct cw_worker *w,
                        struct cw_task *t, cw_ms now);

/* The same as cw_step_typical_ms on this worker, which may be outside the rack
 * of the task's data. */
cw_ms cw_task_typical_ms(const struct cw_sched *s, const struct cw_task *t,
                         const struct cw_worker *w);
/* The task's run becomes a former one, with its room and its lease, and the
 * task waits. False when it has a former run already. */
bool cw_task_leave_run(struct cw_task *t);
/* The former run o is over: frees it. */
void cw_task_end_former(struct cw_sched *s, struct cw_task *o, cw_ms now);

/* True when starts on the worker can be sent to its known incarnation alone,
 * and no earlier order can give that one a longer lease than usual. */
bool cw_worker_may_check(const struct cw_sched *s, const struct cw_worker *w,
                         cw_ms now);
/* The run's lease ends with the last one that its worker was sent: no other
 * incarnation can hold the run. */
bool cw_task_has_usual_lease(const struct cw_task *t);
/* The run counts as alive until then, unless an answer or a report shows its
 * end before, or its lease is renewed. */
cw_ms cw_run_lapse_at(const struct cw_sched *s, const struct cw_task *t);
/* Longest time that a lease of an unknown length lasts. */
cw_ms cw_lease_longest(const struct cw_sched *s);
/* A start is planned: its run counts from now on, as a worker without runs
 * keeps the lapse of its last lease. */
void cw_worker_lease_planned(struct cw_sched *s, struct cw_worker *w,
                             cw_ms now);

#endif
