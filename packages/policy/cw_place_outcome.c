/* Input of the placement scheduler: worker reports, records read back from the
 * log, and answers to lease renewals. */
#include "cw_place_int.h"

#include <string.h>

struct input_context {
    struct cw_place *p;
    cw_ms now;
    cw_place_action_fn act;
    void *ctx;
};

static void
emit_action(const struct input_context *o, enum cw_place_action_kind kind,
            const struct cw_place_task *t, const char *text)
{
    if (o->act == NULL) {
        return;
    }
    struct cw_place_action a = {kind, t, {NULL, 0}, t->allocated, ""};
    if (t->worker != NULL) {
        a.worker = cw_name_str(&t->worker->name);
    }
    snprintf(a.text, sizeof(a.text), "%s", text);
    o->act(o->ctx, &a);
}

static void
add_failed_on(struct cw_place_task *t, const struct cw_place_worker *w)
{
    for (int i = 0; i < CW_PLACE_FAILED_ON_MAX; i++) {
        if (t->failed_on[i] == 0 || t->failed_on[i] == w->name_hash) {
            t->failed_on[i] = w->name_hash;
            return;
        }
    }
    /* Full: drop the oldest entry. */
    memmove(t->failed_on, t->failed_on + 1,
            (CW_PLACE_FAILED_ON_MAX - 1) * sizeof(t->failed_on[0]));
    t->failed_on[CW_PLACE_FAILED_ON_MAX - 1] = w->name_hash;
}

/* Failures of a class without any success may quarantine a worker only while
 * fewer than a tenth of the workers are quarantined. Otherwise a class that
 * always fails could quarantine the whole cell. */
static bool
may_quarantine_unproven(const struct cw_place *p)
{
    return p->priv->quarantined * 10 < p->worker_count;
}

/* Tasks of a job examined to see whether it runs on other workers. */
#define SIBLINGS_SCANNED_MAX 256

/* True when two tasks of the same job have been running on other workers for
 * twice the time after which this one failed. A new job has no success yet,
 * and until it has one a worker that fails at once would attract all its
 * tasks. */
static bool
siblings_run_longer(const struct cw_place_task *t, cw_ms now)
{
    const struct cw_place_job *job = t->job;
    cw_ms failed_after = now - t->started_at;
    size_t n = job->task_count < SIBLINGS_SCANNED_MAX ? job->task_count
                                                      : SIBLINGS_SCANNED_MAX;
    uint32_t longer = 0;
    for (size_t i = 0; i < n; i++) {
        const struct cw_place_task *o = job->tasks[i];
        if (o->state == CW_PLACE_RUNNING && o->worker != t->worker &&
            now - o->started_at > 2 * failed_after) {
            longer++;
        }
    }
    return longer >= 2;
}

static bool
class_succeeds(const struct cw_place_class *c)
{
    return c->succeeded > 0 && c->succeeded * 2 >= c->failed;
}

static uint64_t
job_hash(const struct cw_place_job *job)
{
    return cw_hash(cw_name_str(&job->name), 0);
}

static void
update_worker_health(const struct input_context *o,
                     const struct cw_place_task *t, bool ok)
{
    struct cw_worker_health *h = &t->worker->health;
    const struct cw_place_class *c = t->job->class;
    bool succeeds_elsewhere =
        class_succeeds(c) || (!ok && siblings_run_longer(t, o->now));
    bool was_quarantined = h->quarantined;
    cw_worker_health_outcome(h, ok, succeeds_elsewhere,
                             may_quarantine_unproven(o->p), job_hash(t->job),
                             &o->p->params, o->now);
    if (was_quarantined && !h->quarantined) {
        o->p->priv->quarantined--;
    }
    if (!was_quarantined && h->quarantined) {
        o->p->priv->quarantined++;
    }
}

/* Called when a class begins to count as succeeding. A worker that failed all
 * its tasks of a new job at once gets no further task of that job, so its
 * health would not be evaluated again before it fails tasks of another job. */
static void
recheck_earlier_failures(const struct input_context *o,
                         const struct cw_place_job *job)
{
    for (size_t i = 0; i < o->p->worker_count; i++) {
        if (cw_worker_health_job_succeeded(&o->p->workers[i]->health,
                                           job_hash(job), &o->p->params,
                                           o->now)) {
            o->p->priv->quarantined++;
        }
    }
}

static void
end_done_task(const struct input_context *o, struct cw_place_task *t)
{
    struct cw_place_class *c = t->job->class;
    bool succeeded = class_succeeds(c);
    update_worker_health(o, t, true);
    c->succeeded++;
    if (!succeeded && class_succeeds(c)) {
        recheck_earlier_failures(o, t->job);
    }
    if (t->peak.cpu_milli > 0 || t->peak.memory_mb > 0) {
        cw_place_add_class_sample(c, t->peak.cpu_milli, t->peak.memory_mb);
    }
    emit_action(o, CW_PLACE_RECORD_ENDED, t, "done");
    cw_place_release(t);
    cw_place_set_state(o->p, t, CW_PLACE_DONE, o->now);
}

static void
end_failed_attempt(const struct input_context *o, struct cw_place_task *t)
{
    struct cw_place_worker *w = t->worker;
    update_worker_health(o, t, false);
    t->job->class->failed++;
    add_failed_on(t, w);
    /* A quarantined worker is assumed to fail every task, so its failures do
     * not count against this one. */
    if (!w->health.quarantined) {
        t->healthy_worker_failures++;
    }
    emit_action(o, CW_PLACE_RECORD_ENDED, t, "failed");
    if (t->healthy_worker_failures < o->p->params.reject_after) {
        cw_place_requeue(o->p, t, o->now);
        return;
    }
    cw_place_release(t);
    cw_place_set_state(o->p, t, CW_PLACE_REJECTED, o->now);
    char text[sizeof(((struct cw_place_action *)0)->text)];
    snprintf(text, sizeof(text), "failed on %u workers in good health",
             t->healthy_worker_failures);
    emit_action(o, CW_PLACE_NOTIFY, t, text);
}

static void
apply_task_report(const struct input_context *o, struct cw_place_worker *w,
                  const struct cw_place_task_report *s)
{
    struct cw_place_task *t = cw_place_find_task(o->p, s->task);
    /* A report about an earlier attempt carries a lower fence. */
    if (t == NULL || t->worker != w || t->fence == 0 || t->fence != s->fence) {
        return;
    }
    bool stop_requested =
        t->state == CW_PLACE_STOPPING || t->state == CW_PLACE_EVICTING;
    t->seen_at = o->now;
    cw_place_record_usage(t, s->cpu_milli, s->memory_mb);
    switch (s->state) {
    case CW_REPORTED_RUNNING:
        break;
    case CW_REPORTED_DONE:
        end_done_task(o, t);
        break;
    case CW_REPORTED_FAILED:
        if (!stop_requested) {
            end_failed_attempt(o, t);
            break;
        }
        emit_action(o, CW_PLACE_RECORD_ENDED, t, "stopped");
        cw_place_requeue(o->p, t, o->now);
        break;
    case CW_REPORTED_CHECKPOINTED:
        t->checkpointed_at = o->now;
        if (stop_requested) {
            emit_action(o, CW_PLACE_RECORD_ENDED, t, "checkpointed");
            cw_place_requeue(o->p, t, o->now);
        }
        break;
    }
}

enum cw_status
cw_place_worker_report(struct cw_place *p, struct cw_str worker,
                       struct cw_str rack, struct cw_size size,
                       const struct cw_place_task_report *reports,
                       size_t count, cw_ms now, cw_place_action_fn act,
                       void *ctx)
{
    struct cw_place_worker *w = cw_place_add_worker(p, worker);
    if (w == NULL || cw_name_set(&w->rack, rack) != CW_OK) {
        return cw_fail(
            p->msg, w == NULL ? CW_ERR_NOMEM : CW_ERR_INVALID,
            "report of worker %.*s rejected: no memory or invalid rack",
            CW_FMT(worker));
    }
    if (w->gone || memcmp(&w->size, &size, sizeof(size)) != 0) {
        p->worker_generation++;
    }
    w->gone = false;
    w->renew_failures = 0;
    w->reported_at = now;
    cw_place_set_size(w, size);
    struct cw_size *largest = &p->priv->largest;
    largest->cpu_milli = size.cpu_milli > largest->cpu_milli
                             ? size.cpu_milli
                             : largest->cpu_milli;
    largest->memory_mb = size.memory_mb > largest->memory_mb
                             ? size.memory_mb
                             : largest->memory_mb;
    w->rack_hash = cw_hash(rack, 0);
    struct input_context o = {p, now, act, ctx};
    for (size_t i = 0; i < count; i++) {
        apply_task_report(&o, w, &reports[i]);
    }
    return CW_OK;
}

void
cw_place_worker_gone(struct cw_place *p, struct cw_str worker)
{
    struct cw_place_worker *w = cw_map_get(&p->priv->workers, worker);
    if (w == NULL || w->gone) {
        return;
    }
    w->gone = true;
    cw_place_set_size(w, (struct cw_size){0, 0, 0});
    p->worker_generation++;
    if (w->reserved_for != NULL) {
        cw_place_unreserve(w->reserved_for);
    }
}

void
cw_place_renew_answered(struct cw_place *p, struct cw_str worker, bool ok)
{
    struct cw_place_worker *w = cw_map_get(&p->priv->workers, worker);
    if (w == NULL) {
        return;
    }
    w->lease.renewing = false;
    w->renew_failures = ok ? 0 : w->renew_failures + 1;
}

/* ---- records --------------------------------------------------------- */

static struct cw_place_task *
current_attempt(const struct cw_place *p, struct cw_str task, uint32_t attempt)
{
    struct cw_place_task *t = cw_place_find_task(p, task);
    return t != NULL && t->attempt == attempt ? t : NULL;
}

bool
cw_place_started(struct cw_place *p, struct cw_str task, uint32_t attempt,
                 uint64_t fence, cw_ms now)
{
    struct cw_place_task *t = current_attempt(p, task, attempt);
    if (t == NULL || t->state != CW_PLACE_STARTING) {
        return false;
    }
    if (!t->job->listed || t->index >= t->job->count) {
        cw_place_requeue(p, t, now);
        return false;
    }
    t->fence = fence;
    t->started_at = now;
    t->seen_at = now;
    cw_lease_grant(&t->worker->lease, now, p->params.lease_ms);
    cw_place_set_state(p, t, CW_PLACE_RUNNING, now);
    return true;
}

void
cw_place_start_failed(struct cw_place *p, struct cw_str task, uint32_t attempt,
                      cw_ms now)
{
    struct cw_place_task *t = current_attempt(p, task, attempt);
    if (t != NULL && t->worker != NULL) {
        cw_place_requeue(p, t, now);
    }
}

void
cw_place_lost(struct cw_place *p, struct cw_str task, uint32_t attempt,
              cw_ms now)
{
    struct cw_place_task *t = current_attempt(p, task, attempt);
    if (t != NULL && t->state == CW_PLACE_STOPPING) {
        cw_place_requeue(p, t, now);
    }
}

void
cw_place_replay_start(struct cw_place *p, struct cw_str task,
                      struct cw_str worker, uint32_t attempt, uint64_t fence,
                      struct cw_size size, cw_ms now)
{
    struct cw_place_task *t = cw_place_find_task(p, task);
    struct cw_place_worker *w = cw_place_add_worker(p, worker);
    if (t == NULL || w == NULL || attempt <= t->attempt) {
        return;
    }
    if (t->state == CW_PLACE_WAITING) {
        cw_place_unreserve(t);
        cw_place_dequeue(t);
    }
    else {
        cw_place_release(t);
    }
    t->attempt = attempt;
    t->fence = fence;
    t->started_at = now;
    t->seen_at = now;
    cw_place_allocate(t, w, size);
    /* The previous holder may have renewed the lease just before it was
     * replaced, so assume a full term. */
    cw_lease_grant(&w->lease, now, p->params.lease_ms);
    /* It may also have renewed it long ago, so a renewal is due at once. */
    w->lease.renewed_at = now - p->params.renew_ms;
    cw_place_set_state(
        p, t, t->job->listed ? CW_PLACE_RUNNING : CW_PLACE_STOPPING, now);
}

void
cw_place_replay_unlisted(struct cw_place *p, struct cw_str job, cw_ms now)
{
    struct cw_place_job *j = cw_map_get(&p->priv->jobs, job);
    for (size_t i = 0; j != NULL && i < j->task_count; i++) {
        struct cw_place_task *t = j->tasks[i];
        if (t->state == CW_PLACE_DONE && j->listed) {
            cw_place_set_state(p, t, CW_PLACE_WAITING, now);
            cw_place_enqueue(t, false);
        }
    }
}

void
cw_place_replay_ended(struct cw_place *p, struct cw_str task, uint32_t attempt,
                      bool done, cw_ms now)
{
    struct cw_place_task *t = current_attempt(p, task, attempt);
    if (t == NULL || t->worker == NULL) {
        return;
    }
    if (!done) {
        cw_place_requeue(p, t, now);
        return;
    }
    cw_place_release(t);
    cw_place_set_state(p, t, CW_PLACE_DONE, now);
}
