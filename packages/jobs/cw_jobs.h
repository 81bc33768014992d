/* The scheduler of the job service: the jobs that callers submit, their tasks,
 * the workers that run them, and the scheduling decisions. One daemon at a
 * time, the scheduler, holds this state; after a takeover the next scheduler
 * rebuilds it from the store.
 *
 * No function reads a clock or does I/O. Every change that must be durable is
 * collected in the open batch; the owner writes the batch to the store and
 * then calls cw_sched_committed. Only then are starts sent, ends of runs
 * acknowledged to workers and callers answered.
 *
 * A run is one attempt at a task. Times are monotonic unless their name ends
 * in _wall. */
#ifndef CW_JOBS_H
#define CW_JOBS_H

#include "cw_jobs_state.h"

/* ---- job specs ---- */

void cw_job_spec_finish(struct cw_job_spec *s);
/* Checks ranges, and that the dependencies of the steps have no cycle; writes
 * the reason of a rejection to msg. */
enum cw_status cw_job_spec_check(const struct cw_job_spec *s, char *msg);
/* Number of tasks in one occurrence. */
uint32_t cw_job_spec_task_count(const struct cw_job_spec *s);

/* ---- the scheduler ---- */

void cw_sched_init(struct cw_sched *s, const struct cw_sched_limits *limits,
                   const struct cw_sched_ops *ops, void *ctx);
void cw_sched_finish(struct cw_sched *s);

/* ---- jobs.c: commands ---- */

struct cw_job_entry *cw_sched_find_job(const struct cw_sched *s, uint64_t id);
/* Accepts a job and moves its spec out of the argument. CW_ERR_CONFLICT when
 * the id is known already: the first submission stays. */
enum cw_status cw_sched_accept(struct cw_sched *s, struct cw_job_spec *spec,
                               cw_ms now, struct cw_job_entry **out);
/* Removes a submitted job whose spec is in no batch yet; false when it is in
 * one, so that the job may already be durable. */
bool cw_sched_withdraw(struct cw_sched *s, uint64_t id);
/* Cancels a job, unless it has ended. CW_ERR_NOT_FOUND when the id is
 * unknown. */
enum cw_status cw_sched_cancel(struct cw_sched *s, uint64_t id, cw_ms now);
/* Batches up to this one are durable: sends their starts and releases their
 * acknowledgements. */
void cw_sched_committed(struct cw_sched *s, uint64_t batch);
/* Removes jobs that ended status_ms ago, and drops their records. */
void cw_sched_expire_jobs(struct cw_sched *s, cw_ms now);

/* The estimate of the time of day has changed: due times follow it. */
void cw_sched_set_wall_offset(struct cw_sched *s, cw_ms offset, cw_ms now);

/* ---- jobs_tenant.c ---- */

/* Applies the tenants of a new configuration. Quotas and weights take effect
 * with the next plan; no running task is stopped. Until the first call, jobs
 * of tenants do not start. */
void cw_sched_set_tenants(struct cw_sched *s,
                          const struct cw_tenant_entry *tenants, size_t count,
                          cw_ms now);

/* ---- jobs_query.c ---- */

/* Due time of an occurrence of a job that has a first due time. */
cw_ms cw_job_due(const struct cw_sched *s, const struct cw_job_entry *j,
                 uint32_t occurrence);

/* The state that callers may see: an end only when it is durable. */
enum cw_job_state cw_job_visible_state(const struct cw_sched *s,
                                       const struct cw_job_entry *j);
const char *cw_job_state_name(enum cw_job_state st);
/* Number of the queue's jobs of which no run is known to have begun. */
uint32_t cw_sched_queued_jobs(const struct cw_sched *s, struct cw_str queue);
bool cw_job_ended(const struct cw_job_entry *j);
/* The task that the row names, or NULL. */
struct cw_task *cw_sched_find_task(const struct cw_sched *s,
                                   const struct cw_run_row *r);
/* The run that the row names if it is on the worker's list, or NULL: the
 * current run of a task, or a former one. */
struct cw_task *cw_sched_find_run(const struct cw_sched *s,
                                  const struct cw_worker *w,
                                  const struct cw_run_row *r);
/* True when the labels include the given one; always for an empty label. */
bool cw_has_label(const struct cw_name *labels, size_t count,
                  const struct cw_name *label);
bool cw_run_same_task(const struct cw_run_row *a, const struct cw_run_row *b);
static inline const struct cw_step *
cw_task_step(const struct cw_task *t)
{
    return &t->job->spec.steps[t->step];
}
/* True when the steps that t's step depends on are done and the occurrence is
 * due. */
bool cw_task_ready(const struct cw_sched *s, const struct cw_task *t,
                   cw_ms now);
/* Number of other tasks of t's lasting step that do not serve now. */
uint32_t cw_step_unavailable(const struct cw_task *t, cw_ms now);
/* True when the limit on unavailable tasks allows stopping t now. */
bool cw_task_may_stop(const struct cw_task *t, cw_ms now);

/* ---- jobs_record.c ---- */

/* Length of the keys of a job's two records. */
#define CW_JOB_KEY_LEN 17
#define CW_JOB_KEY_MAX (CW_JOB_KEY_LEN + 1)
/* Passes each record of the open batch to put (an empty value drops the key),
 * closes the batch and returns its number; 0 when nothing has changed. */
uint64_t cw_sched_flush(struct cw_sched *s,
                        void (*put)(void *arg, struct cw_str key,
                                    struct cw_str value),
                        void *arg);
/* Has the open batch written also when nothing changes, and returns its
 * number. When its append succeeds, no other scheduler had begun until then:
 * its epoch would have fenced the append. */
uint64_t cw_sched_request_proof(struct cw_sched *s);
/* Loads a record that a previous scheduler wrote. A job's spec must be loaded
 * before its progress. A claim is accepted and changes nothing. */
enum cw_status cw_sched_load(struct cw_sched *s, struct cw_str key,
                             struct cw_str value, cw_ms now);
/* Call after the last record. The runs of recorded starts count as alive until
 * the longest lease has lapsed; which one that is depends on whether a report
 * or a current entry shows the incarnation that the starts have reached. */
void cw_sched_loaded(struct cw_sched *s, cw_ms now);

/* ---- jobs_kv.c ---- */

/* Sets a value in the open batch; an empty value removes the key.
 * CW_ERR_INVALID for a key of another kind. */
enum cw_status cw_sched_kv_set(struct cw_sched *s, struct cw_str key,
                               struct cw_str value);
/* The value of a key, empty when there is none. */
struct cw_str cw_sched_kv_get(struct cw_sched *s, struct cw_str key);

/* ---- jobs_worker.c, jobs_lease.c, jobs_report.c, jobs_answers.c ---- */

/* Finds the pool of a service, or adds one; NULL when memory is short. */
struct cw_pool *cw_sched_get_pool(struct cw_sched *s, struct cw_str service);
struct cw_worker *cw_sched_find_worker(const struct cw_sched *s,
                                       struct cw_str id);
/* Adds or updates a worker from its entry in the list. NULL when the entry
 * cannot be a worker's: it was born far in the future. */
struct cw_worker *cw_sched_worker_listed(struct cw_sched *s,
                                         const struct cw_worker_entry *e,
                                         cw_ms now);
/* The worker's entry is no longer in the list. */
void cw_sched_worker_gone(struct cw_sched *s, struct cw_str id, cw_ms now);
/* All runs on the worker are known to have ended: requeues their tasks. */
void cw_sched_worker_lost(struct cw_sched *s, struct cw_worker *w,
                          enum cw_run_loss why, cw_ms now);
/* Removes workers that are gone and have no tasks; calls drop before each
 * removal. */
void cw_sched_sweep_workers(struct cw_sched *s, cw_ms now,
                            void (*drop)(void *ctx, struct cw_worker *w));
/* Applies a report. False when it is of an earlier incarnation than the one
 * known: it is ignored. */
bool cw_sched_report(struct cw_sched *s, struct cw_worker *w,
                     const struct cw_run_report *r, cw_ms now);
/* Handles the answer to a start. sent_before: an earlier send of the same
 * start got no answer; it may have taken effect or still do so. */
void cw_sched_start_answered(struct cw_sched *s, struct cw_worker *w,
                             const struct cw_run_row *r,
                             enum cw_start_answer a, bool sent_before,
                             cw_ms now);
/* A start whose batch is stored was dropped before any call sent it. */
void cw_sched_start_unsent(struct cw_sched *s, struct cw_worker *w,
                           const struct cw_run_row *r, cw_ms now);
/* Stops the other members of the gang that a run belongs to, if it is one:
 * they would wait for this member. */
void cw_sched_stop_gang(struct cw_sched *s, const struct cw_run_row *r,
                        cw_ms now);
/* The worker acknowledged a stop: once a later report does not list the run,
 * it has ended. */
void cw_sched_stop_answered(struct cw_sched *s, struct cw_worker *w,
                            const struct cw_run_row *r, cw_ms now);
/* The end of the lease to send, on the worker's clock: a new one when renew is
 * true, else the one sent before, so that calls to a worker that does not
 * answer do not postpone the time at which its runs have ended. 0 while the
 * worker's clock is unknown. */
int64_t cw_worker_lease_until(struct cw_sched *s, struct cw_worker *w,
                              bool renew, cw_ms now);
/* A lease is sent that may reach another incarnation, at the latest at
 * arrives. It lengthens no run that only the known one can hold: for that one
 * the lease has the usual length. Not to be repeated while the worker does not
 * answer, as each such lease counts anew. */
void cw_worker_lease_unproved(struct cw_sched *s, struct cw_worker *w,
                              cw_ms arrives, cw_ms now);
/* A start was sent to the worker. */
void cw_worker_start_sent(struct cw_sched *s, struct cw_worker *w, cw_ms now);
/* A start that was sent at a time has no answer, and went out on a connection
 * that may lead to an incarnation which has not reported. */
void cw_worker_start_unanswered(struct cw_sched *s, struct cw_worker *w,
                                cw_ms sent_at);
/* The worker's clock when it accepted a start: shows whether the incarnation
 * that reported last has carried it out. */
void cw_sched_start_clock(struct cw_sched *s, const struct cw_worker *w,
                          const struct cw_run_row *r, int64_t clock_ms,
                          cw_ms now);
/* Requeues the tasks of workers whose leases have lapsed. */
void cw_sched_expire_leases(struct cw_sched *s, cw_ms now);
/* Logs, once in a while, the runs that have held their tasks back for 2 s:
 * what each waits for, and until when. May be called at any rate; looks at all
 * runs once a second. */
void cw_sched_log_awaited(struct cw_sched *s, cw_ms now);
/* Stops a task's run; after its end the task waits again, unless its job has
 * ended. */
void cw_sched_stop_task(struct cw_sched *s, struct cw_task *t, cw_ms now);
/* The same, and the log of the next start names the cause. */
void cw_sched_stop_task_for(struct cw_sched *s, struct cw_task *t,
                            enum cw_stop_cause cause, cw_ms now);
/* Names a task's current run. */
struct cw_run_row cw_task_row(const struct cw_task *t);

/* ---- jobs_given_up.c ---- */

/* Names in logs and metrics. */
const char *cw_run_proof_name(enum cw_run_proof p);
const char *cw_stop_cause_name(enum cw_stop_cause c);
/* The path that led to a task's latest start: "new" (nothing of it has run),
 * "repeat" or "copy" (besides a run that is not over). */
const char *cw_start_path(const struct cw_task *t);

/* ---- jobs_times.c ---- */

/* Finds or adds the entry of a queue; NULL when the pool has too many. */
struct cw_queue_times *cw_pool_queue_times(struct cw_pool *p,
                                           const struct cw_name *queue);
void cw_queue_times_add(struct cw_queue_times *q, double estimate_ms,
                        double actual_ms);
/* Expected duration of a task: the caller's estimate, or the queue's mean when
 * the estimates of that queue are far off. */
cw_ms cw_job_task_ms(const struct cw_job_entry *j, const struct cw_step *st);
/* Expected duration of an occurrence's critical path: of all its steps, or
 * only of those that are not done. */
cw_ms cw_job_critical_path_ms(const struct cw_job_entry *j,
                              uint32_t occurrence, bool remaining);
/* Time after submission, or after the due time, within which a job must end to
 * earn full credit. */
cw_ms cw_job_objective_ms(const struct cw_job_entry *j);

/* Duration of a task on a normal worker: the queue's mean or the caller's
 * estimate, whichever was closer to the durations so far. */
cw_ms cw_step_typical_ms(const struct cw_job_entry *j,
                         const struct cw_step *st);

/* ---- jobs_speed.c ---- */

/* Finds the slow workers of each pool, at intervals. While it is not enabled,
 * nothing is learned and placement does not depend on speeds. */
void cw_sched_classify_workers(struct cw_sched *s, bool enabled, cw_ms now);
/* True when the worker has runs and has not reported for 1.5 s. */
bool cw_worker_is_silent(const struct cw_sched *s, const struct cw_worker *w,
                         cw_ms now);

/* ---- jobs_replace.c ---- */

/* Replaces overdue tasks on slow, silent and stuck workers, at intervals. */
void cw_sched_replace_overdue(struct cw_sched *s, cw_ms now);

/* ---- jobs_plan.c ---- */

/* Something changed that may let a task of the pool start. */
void cw_pool_plan_soon(struct cw_sched *s, struct cw_pool *p);
/* The same for all pools whose tasks have waited for a time to pass. */
void cw_sched_wake_pools(struct cw_sched *s, cw_ms now);
/* Places the tasks that may start on workers, in the pools that are due. */
void cw_sched_plan(struct cw_sched *s, cw_ms now);
/* True when another worker that is not due for maintenance has capacity for a
 * task that runs; busy: only workers with tasks count. */
bool cw_sched_fits_elsewhere(const struct cw_task *t, bool busy, cw_ms now);

/* ---- jobs_load.c ---- */

/* Needs of the running and waiting tasks of a pool. */
struct cw_pool_load {
    struct cw_resource_sum running;
    struct cw_resource_sum lasting; /* of these, by lasting tasks */
    struct cw_resource_sum waiting; /* by tasks that may start now */
    struct cw_resource_sum urgent;  /* of both, lasting or not late yet */
    bool lasting_waits;             /* a lasting task may start */
    cw_ms longest_wait_ms;          /* longest wait of a task that may start */
    cw_ms longest_special_wait_ms;  /* the same for tasks that need a label, or
                                     * that only few machines can run */
    const struct cw_step *special;  /* of the latter; valid until a job ends */
};
struct cw_pool_load cw_pool_load(const struct cw_sched *s,
                                 const struct cw_pool *p, cw_ms now);

/* ---- jobs_lag.c ---- */

/* How late the event loop's ticks come, as a moving average. */
struct cw_loop_lag {
    double average_ms;
};

void cw_loop_lag_add(struct cw_loop_lag *l, cw_ms late);
/* Time between a worker's report and the next call for one: under load, ends
 * are fetched several at a time. */
cw_ms cw_loop_lag_report_delay(const struct cw_loop_lag *l);
/* Minimum time between the starts of two commits. */
cw_ms cw_loop_lag_commit_interval(const struct cw_loop_lag *l);

/* ---- jobs_pace.c ---- */

/* Slows backfill tasks down on workers where the tail latency of a task comes
 * near its target. */
void cw_sched_pace_backfill(struct cw_sched *s, cw_ms now);
/* The next speed of backfill tasks in percent, from the present one. worst:
 * the worst tail as a share of its target, negative when no task has one. */
uint32_t cw_pace_next_percent(double worst, uint32_t percent);

/* Speeds of a worker's backfill tasks in percent. */
struct cw_pace {
    uint32_t first; /* of those that are known to slow down the worst task */
    uint32_t others;
};
/* The next speeds. has_first: there are such tasks; over_ms: time since the
 * tails were within their targets, 0 when they are; harm_ms: by then they have
 * to be again, 0: no limit. */
struct cw_pace cw_pace_next(double worst, cw_ms over_ms, cw_ms harm_ms,
                            bool has_first, struct cw_pace p);

/* ---- jobs_beside.c ---- */

/* Applies changed settings; switched off, what was learned is dropped. */
void cw_sched_set_interference(struct cw_sched *s, bool on, cw_ms harm_ms);
/* The group of a task's step. */
uint64_t cw_task_group(const struct cw_task *t);
/* Learns from the figures of a report that was just applied. */
void cw_sched_learn_interference(struct cw_sched *s, struct cw_worker *w,
                                 cw_ms now);
/* What a worker's score loses because its tasks and t are known to slow each
 * other down; 0 when none are. */
double cw_interference_penalty(struct cw_sched *s, struct cw_worker *w,
                               const struct cw_task *t);
/* Known effect of the group of one task on another task. */
double cw_task_slowed_by(const struct cw_sched *s, const struct cw_task *t,
                         const struct cw_task *by);

/* Adds the job to the open batch. */
void cw_job_mark_dirty(struct cw_sched *s, struct cw_job_entry *j);

#endif
