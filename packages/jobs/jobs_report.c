/* Applies the reports of workers and the ends of runs. */
#include "cw_jobs_int.h"
#include "cw_tenant.h"

#include <string.h>

/* A worker's report lists at most this many ends. */
#define ENDS_LISTED_MAX 500
/* No starts on a worker for this time after a stop whose end is not awaited: a
 * stop takes some hundred ms, and its call may have to be repeated. */
#define STOP_PAUSE_MS 1000
/* Failures in a row, of several jobs, that quarantine a worker, and the first
 * wait before one task is tried there again. */
#define QUARANTINE_FAILURES 3
#define QUARANTINE_PROBE_MS 1500
/* Failures in a row, of several jobs, after which a worker ramps up. One alone
 * may be the fault of the task. */
#define RAMP_FAILURES 2

/* ---- ends ---- */

static bool
all_tasks_done(const struct cw_job_entry *j)
{
    for (size_t i = 0; i < j->spec.step_count * j->spec.repeats; i++) {
        if (j->tasks_left[i] > 0) {
            return false;
        }
    }
    return true;
}

/* All tasks of t's step are done: tasks of the steps after it may start. */
static void
mark_successors_ready(const struct cw_task *t, cw_ms now)
{
    struct cw_job_entry *j = t->job;

    for (size_t i = 0; i < j->task_count; i++) {
        struct cw_task *o = &j->tasks[i];

        if (o->occurrence == t->occurrence &&
            (cw_task_step(o)->after >> t->step & 1) != 0) {
            o->ready_at = now;
        }
    }
}

static void
finish_task(struct cw_sched *s, struct cw_task *t, cw_ms now)
{
    struct cw_job_entry *j = t->job;

    cw_task_unplace(s, t, now);
    if (t->state == CW_RUN_DONE) {
        return;
    }
    if (t->former != NULL) {
        /* Equal: the older run is done, and this one is the younger. */
        s->replaced.second_won += t->former->run < t->run ? 1 : 0;
        cw_sched_stop_task(s, t->former, now);
    }
    cw_task_set_state(t, CW_RUN_DONE);
    t->state_since = now;
    if (j->pool != NULL) { /* NULL: the job has ended */
        cw_pool_plan_soon(s, j->pool);
    }
    j->tasks_left[t->occurrence * j->spec.step_count + t->step]--;
    if (j->tasks_left[t->occurrence * j->spec.step_count + t->step] == 0) {
        mark_successors_ready(t, now);
    }
    cw_job_mark_dirty(s, j);
}

/* When one member of a gang is done, all its members are done. */
static void
finish_gang(struct cw_sched *s, const struct cw_task *t, cw_ms now)
{
    struct cw_job_entry *j = t->job;
    uint32_t occurrence = t->occurrence;
    uint16_t step = t->step;

    for (size_t i = 0; i < j->task_count; i++) {
        struct cw_task *o = &j->tasks[i];

        if (o->occurrence == occurrence && o->step == step) {
            finish_task(s, o, now);
        }
    }
}

static uint32_t
failure_count(const struct cw_task *t)
{
    const struct cw_job_entry *j = t->job;
    uint32_t n = 0;

    if (!cw_task_step(t)->gang) {
        return t->failures;
    }
    for (size_t i = 0; i < j->task_count; i++) {
        const struct cw_task *o = &j->tasks[i];

        if (o->occurrence == t->occurrence && o->step == t->step) {
            n += o->failures;
        }
    }
    return n;
}

static void
log_health(const struct cw_worker *w, const struct cw_worker_health *before,
           cw_ms now)
{
    const struct cw_worker_health *h = &w->health;

    if (h->quarantined &&
        (!before->quarantined || h->probes_failed > before->probes_failed)) {
        cw_log(
            CW_WARN,
            before->quarantined ? "worker_probe_failed" : "worker_quarantined",
            "worker=%s service=%s vm=%s failures=%u probes_failed=%u "
            "held_ms=%lld next_probe_ms=%lld",
            w->id.text, w->pool->service.text, w->vm.text, h->failure_streak,
            h->probes_failed, (long long)(now - h->quarantined_at),
            (long long)(h->probe_at - now));
    }
    else if (before->quarantined && !h->quarantined) {
        cw_log(CW_INFO, "worker_sound",
               "worker=%s service=%s vm=%s held_ms=%lld", w->id.text,
               w->pool->service.text, w->vm.text,
               (long long)(now - before->quarantined_at));
    }
}

static void
record_worker_outcome(struct cw_worker *w, const struct cw_job_entry *j,
                      bool ok, cw_ms now)
{
    static const struct cw_place_params params = {
        .quarantine = true,
        .quarantine_after = QUARANTINE_FAILURES,
        .probe_ms = QUARANTINE_PROBE_MS};
    struct cw_worker_health before = w->health;
    uint32_t quarantined = 0;

    /* Only a failure can quarantine a worker. */
    for (const struct cw_worker *o = ok ? NULL : w->pool->workers; o != NULL;
         o = o->next) {
        quarantined += o->health.quarantined ? 1 : 0;
    }
    /* At most half of a pool's workers are quarantined, whatever fails. */
    cw_worker_health_outcome(&w->health, ok, false,
                             2 * (quarantined + 1) <= w->pool->worker_count,
                             j->id, &params, now);
    log_health(w, &before, now);
}

/* Lasting tasks may fail at any time, also on a sound worker. */
static bool
failure_shows_fault(const struct cw_task *t, cw_ms now)
{
    return !cw_task_step(t)->lasting ||
           cw_worker_health_counts_failure(
               &t->worker->health,
               t->at_work_since == 0 ? 0 : now - t->at_work_since);
}

static void
apply_failed_end(struct cw_sched *s, struct cw_task *t, cw_ms now)
{
    struct cw_job_entry *j = t->job;

    t->failures++;
    t->avoid_worker = t->worker->id;
    if (failure_shows_fault(t, now)) {
        record_worker_outcome(t->worker, j, false, now);
    }
    if (t->worker->health.failure_streak >= RAMP_FAILURES &&
        t->worker->health.several_jobs) {
        cw_worker_begin_ramp(s, t->worker, now);
    }
    cw_task_requeue(s, t, CW_LOSS_ENDED, now);
    if (!cw_job_ended(j) && !cw_task_step(t)->lasting &&
        j->spec.rules.max_attempts > 0 &&
        failure_count(t) >= j->spec.rules.max_attempts) {
        cw_log(CW_INFO, "job_failed", "job=%016llx task=%u.%u.%u failures=%u",
               (unsigned long long)j->id, t->occurrence, t->step, t->index,
               failure_count(t));
        cw_job_end(s, j, CW_JOB_FAILED, now);
    }
}

static void
apply_done_end(struct cw_sched *s, struct cw_worker *w, struct cw_task *t,
               cw_ms now)
{
    struct cw_job_entry *j = t->job;

    record_worker_outcome(w, j, true, now);
    if (t->worker == w) {
        cw_worker_run_done(s, w, t, now);
    }
    if (cw_task_step(t)->lasting) {
        cw_task_requeue(s, t, CW_LOSS_DONE, now);
        return;
    }
    if (t->state == CW_RUN_RUNNING && t->checkpoint[0] == '\0') {
        cw_queue_times_add(j->times, cw_task_step(t)->estimate_ms,
                           (double)(now - t->state_since));
    }
    if (cw_task_step(t)->gang) {
        finish_gang(s, t, now);
    }
    else {
        finish_task(s, t, now);
    }
    if (cw_job_ended(j)) {
        cw_job_release_tasks(s, j);
    }
    else if (all_tasks_done(j)) {
        cw_log(CW_INFO, "job_succeeded", "job=%016llx queue=%s ms=%lld",
               (unsigned long long)j->id, j->queue.text,
               (long long)(now - j->accepted));
        cw_job_end(s, j, CW_JOB_SUCCEEDED, now);
    }
}

static void
keep_checkpoint(struct cw_task *t, const struct cw_run_row *r, cw_ms now)
{
    struct cw_str c = r->checkpoint;

    if (c.len > 0 && c.len <= CW_CHECKPOINT_MAX &&
        !cw_str_eq(c, cw_str_from(t->checkpoint))) {
        t->checkpoint_at = now;
        t->saved_percent = r->percent > 100 ? 100 : (uint8_t)r->percent;
        memcpy(t->checkpoint, c.ptr, c.len);
        t->checkpoint[c.len] = '\0';
    }
}

/* Stops a run of the task that is later than the one that is done. */
static void
stop_later_run(struct cw_sched *s, struct cw_task *t, uint32_t done, cw_ms now)
{
    struct cw_run_row row = cw_task_row(t);

    if (t->worker == NULL || t->run <= done ||
        cw_task_drop_unsent(s, t, now)) {
        return;
    }
    s->ops->stop(s->ctx, t->worker, &row);
    cw_stray_add(s, t->worker, &row, t, now);
    /* It needs its room until it has stopped. */
    if (t->worker->retry_at < now + STOP_PAUSE_MS) {
        t->worker->retry_at = now + STOP_PAUSE_MS;
    }
    cw_task_requeue(s, t, CW_LOSS_OBSOLETE, now);
}

/* A run that was given up is done after all. Its task is done, whatever has
 * been started since. */
static bool
apply_late_done(struct cw_sched *s, struct cw_worker *w, struct cw_task *t,
                uint32_t run, cw_ms now)
{
    struct cw_job_entry *j = t->job;

    if (t->state == CW_RUN_DONE || run > t->run || cw_job_ended(j) ||
        cw_task_step(t)->lasting) {
        return false;
    }
    cw_log(CW_INFO, "end_late",
           "job=%016llx task=%u.%u.%u run=%u worker=%s known_run=%u",
           (unsigned long long)j->id, t->occurrence, t->step, t->index, run,
           w->id.text, t->run);
    for (size_t i = 0; i < j->task_count; i++) {
        struct cw_task *o = &j->tasks[i];

        if (o == t || (cw_task_step(t)->gang && o->step == t->step &&
                       o->occurrence == t->occurrence)) {
            stop_later_run(s, o, run, now);
        }
    }
    apply_done_end(s, w, t, now);
    return true;
}

/* Ends the task's current run, which is not needed any more. It keeps its room
 * and its lease as a former run until it is known to be over. */
static void
drop_current_run(struct cw_sched *s, struct cw_task *t, cw_ms now)
{
    if (t->worker == NULL || cw_task_drop_unsent(s, t, now)) {
        return;
    }
    CW_INVARIANT(cw_task_leave_run(t));
    cw_sched_stop_task(s, t->former, now);
}

/* A former run ended. When it is done, its task is done, and the current run
 * is stopped; a failure is no further attempt, as the current run has replaced
 * it. */
static void
apply_former_end(struct cw_sched *s, struct cw_worker *w, struct cw_task *o,
                 enum cw_run_end how, cw_ms now)
{
    struct cw_task *t = o->former_of;
    struct cw_job_entry *j = t->job;
    bool counts =
        how == CW_END_DONE && t->state != CW_RUN_DONE && !cw_job_ended(j);

    if (how == CW_END_DONE) {
        record_worker_outcome(w, j, true, now);
        cw_worker_run_done(s, w, o, now);
    }
    else if (how == CW_END_FAILED && failure_shows_fault(o, now)) {
        record_worker_outcome(w, j, false, now);
    }
    cw_run_given_up(s, o, how == CW_END_DONE ? CW_LOSS_DONE : CW_LOSS_ENDED,
                    now);
    if (!counts) {
        cw_task_end_former(s, o, now);
        return;
    }
    s->replaced.first_won++;
    cw_task_end_former(s, o, now);
    drop_current_run(s, t, now);
    j->begun = true;
    apply_done_end(s, w, t, now);
}

static void
apply_end(struct cw_sched *s, struct cw_worker *w, const struct cw_end_row *e,
          cw_ms now)
{
    struct cw_task *t = cw_sched_find_run(s, w, &e->run);
    static const char *const names[] = {"done",   "failed", "stopped",
                                        "lapsed", "broken", "alone"};

    cw_stray_listed(s, w, &e->run, true);
    if (t == NULL) {
        t = cw_sched_find_task(s, &e->run);
        if (t != NULL && e->how == CW_END_DONE &&
            apply_late_done(s, w, t, e->run.run, now)) {
            return;
        }
        cw_log(CW_INFO, "end_ignored",
               "job=%016llx task=%u.%u.%u run=%u worker=%s how=%s reason=%s",
               (unsigned long long)e->run.job, e->run.occurrence, e->run.step,
               e->run.index, e->run.run, w->id.text, names[e->how],
               t == NULL ? "unknown" : "other_run");
        return;
    }
    if (e->how != CW_END_DONE) {
        cw_log(CW_INFO, "task_ended",
               "job=%016llx task=%u.%u.%u run=%u worker=%s how=%s ms=%lld",
               (unsigned long long)e->run.job, e->run.occurrence, e->run.step,
               e->run.index, e->run.run, w->id.text, names[e->how],
               (long long)(now - t->state_since));
    }
    if (t->former_of != NULL) {
        apply_former_end(s, w, t, e->how, now);
        return;
    }
    keep_checkpoint(t, &e->run, now);
    t->job->begun = true;
    switch (e->how) {
    case CW_END_DONE:
        apply_done_end(s, w, t, now);
        break;
    case CW_END_FAILED:
        apply_failed_end(s, t, now);
        break;
    case CW_END_STOPPED:
    case CW_END_LAPSED:
    case CW_END_BROKEN:
    case CW_END_ALONE:
        cw_task_requeue(s, t, CW_LOSS_ENDED, now);
        break;
    }
}

/* ---- reports ---- */

/* Runs that last longer than this have their proof recorded, so that not each
 * takeover counts the longest lease for them anew. */
#define PROOF_RECORD_MS 3000
/* Progress at which a lasting task has finished its start-up. */
#define STARTED_UP_PERCENT 100

/* A lasting task has no end that shows that its worker is sound, and holds the
 * place of a probe for as long as it runs. A run of a former scheduler began
 * before what this one knows of the worker. */
static void
apply_lasting_run(struct cw_worker *w, struct cw_task *t, uint32_t percent,
                  cw_ms now)
{
    t->started_up = percent >= STARTED_UP_PERCENT;
    if (!t->started_up) {
        t->at_work_since = 0;
        return;
    }
    if (t->at_work_since == 0) {
        t->at_work_since = now;
    }
    if (!t->succeeded && t->order_batch != 0 &&
        cw_worker_health_shows_success(&w->health, t->probe, t->state_since,
                                       now - t->at_work_since)) {
        t->succeeded = true;
        record_worker_outcome(w, t->job, true, now);
    }
}

static void
apply_running(struct cw_sched *s, struct cw_worker *w,
              const struct cw_run_row *r, cw_ms now)
{
    struct cw_task *t = cw_sched_find_run(s, w, r);

    if (t == NULL) {
        t = cw_sched_find_task(s, r);
        cw_log(CW_WARN, "run_unexpected",
               "job=%016llx task=%u.%u.%u run=%u worker=%s known_run=%u",
               (unsigned long long)r->job, r->occurrence, r->step, r->index,
               r->run, w->id.text, t == NULL ? 0 : t->run);
        w->has_strays = true;
        if (t != NULL) {
            cw_stray_add(s, w, r, t, now);
        }
        cw_stray_listed(s, w, r, false);
        s->ops->stop(s->ctx, w, r);
        return;
    }
    t->last_report = w->reports;
    t->proved = true;
    t->measured = r->measured;
    cw_worker_run_reported(s, w, t, r->percent, now);
    keep_checkpoint(t, r, now);
    if (t->state == CW_RUN_STARTING) {
        cw_task_set_state(t, CW_RUN_RUNNING);
        t->state_since = now;
    }
    if (!t->listed && t->state == CW_RUN_RUNNING && !cw_job_ended(t->job) &&
        now - t->state_since >= PROOF_RECORD_MS &&
        cw_worker_lease_is_usual(s, w, now)) {
        t->listed = true;
        t->born_wall = w->born_wall;
        cw_job_mark_dirty(s, t->job);
    }
    if (cw_task_step(t)->lasting && t->state == CW_RUN_RUNNING) {
        apply_lasting_run(w, t, r->percent, now);
    }
    if (t->state == CW_RUN_STOPPING && t->order_batch == 0) {
        /* Loaded from a previous scheduler's record: its stop may not have
         * arrived. */
        s->ops->stop(s->ctx, w, r);
    }
}

/* True when a run that the report does not list has certainly ended. */
static bool
run_is_over(const struct cw_sched *s, const struct cw_task *t,
            const struct cw_run_report *r)
{
    if (t->order_batch == 0) {
        /* The worker's fence rejects a previous scheduler's start from now on,
         * but a restarted worker has seen no fence. */
        return r->sent_at >= s->former_orders_until;
    }
    switch (t->state) {
    case CW_RUN_RUNNING:
        return t->state_since < r->sent_at;
    case CW_RUN_STARTING:
        /* A checked start reaches no other incarnation. The next one's start
         * time is an earlier one when its clock went back. */
        return t->checked && t->order_batch <= s->committed &&
               r->born_wall != 0 && r->born_wall != t->born_wall;
    default:
        return t->stop_answered_at != 0 && t->stop_answered_at <= r->sent_at;
    }
}

static void
drop_unlisted(struct cw_sched *s, struct cw_worker *w,
              const struct cw_run_report *r, cw_ms now)
{
    struct cw_task *t = w->tasks;

    while (t != NULL) {
        struct cw_task *next = t->next;

        if (t->last_report != w->reports && run_is_over(s, t, r)) {
            cw_task_requeue(s, t, CW_LOSS_UNLISTED, now);
        }
        t = next;
    }
}

/* Applies the runs at work. Their room is known only from a full list. */
static void
apply_all_running(struct cw_sched *s, struct cw_worker *w,
                  const struct cw_run_report *r, cw_ms now)
{
    bool had_strays = w->has_strays;

    w->has_strays = had_strays && r->partial;
    for (size_t i = 0; i < r->running_count; i++) {
        apply_running(s, w, &r->running[i], now);
    }
    if (had_strays && !w->has_strays) {
        cw_pool_plan_soon(s, w->pool);
    }
}

bool
cw_sched_report(struct cw_sched *s, struct cw_worker *w,
                const struct cw_run_report *r, cw_ms now)
{
    struct cw_answered_call answered = s->answered;

    if (r->born_wall != 0 && r->born_wall != w->born_wall) {
        if (r->born_wall < w->born_wall &&
            !cw_worker_clock_went_back(w, r, now)) {
            return false;
        }
        cw_worker_new_incarnation(s, w, r->born_wall, r->clock_ms, now);
    }
    cw_worker_note_silence(s, w, now);
    w->clock_ms = r->clock_ms;
    w->clock_at = now;
    w->clock_asked_at = r->sent_at;
    w->seen_at = now;
    w->earlier_born = 0;
    w->reports++;
    if (w->unanswered) {
        w->unanswered = false;
        cw_pool_plan_soon(s, w->pool);
    }
    s->answered = (struct cw_answered_call){.sent_at = r->sent_at, .from = w};
    if (!w->contacted) {
        w->contacted = true;
        cw_worker_end_earlier(s, w, now);
        cw_pool_plan_soon(s, w->pool);
    }
    for (size_t i = 0; i < r->ended_count; i++) {
        if (r->ended[i].number > w->ack_pending) {
            apply_end(s, w, &r->ended[i], now);
        }
        /* With a later end, one that can't be read would be forgotten. */
        if (r->ended[i].number > w->ack_pending && !r->partial) {
            w->ack_pending = r->ended[i].number;
            w->ack_batch = s->batch;
            cw_worker_await_ack(s, w);
        }
    }
    apply_all_running(s, w, r, now);
    if (r->ended_count < ENDS_LISTED_MAX && !r->partial) {
        drop_unlisted(s, w, r, now);
        cw_stray_reported(s, w, r->sent_at);
    }
    cw_sched_learn_interference(s, w, now);
    s->answered = answered;
    return true;
}
