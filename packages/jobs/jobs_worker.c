/* Workers: the list, their reports, leases, and the ends of runs. */
#include "cw_jobs_int.h"

#include <stdlib.h>
#include <string.h>

/* A worker's clock may be this much slower than ours. */
#define CLOCK_SLOW 0.02
/* Added to the time after which a lease has lapsed for certain: the delay of
 * the worker's own timer. */
#define LAPSE_MARGIN_MS 250
/* A former scheduler may go on renewing leases until its membership of the
 * group has run out. */
#define FORMER_HOLDER_MS 1500
/* The worker lists at most this many ends at once. */
#define ENDS_LISTED_MAX 500
/* First pause after a refused start; doubles with each further one. */
#define REFUSAL_PAUSE_MS 100
#define REFUSAL_PAUSE_MAX_MS 3200
/* Failures in a row, of several jobs, that put a worker aside, and the first
 * wait before one task is tried there again. */
#define QUARANTINE_AFTER 3
#define QUARANTINE_PROBE_MS 1500

struct cw_pool *
cw_sched_pool(struct cw_sched *s, struct cw_str service)
{
    struct cw_pool *p = cw_map_get(&s->pools, service);

    if (p != NULL) {
        return p;
    }
    p = calloc(1, sizeof(*p));
    if (p == NULL || cw_name_set(&p->service, service) != CW_OK ||
        cw_map_put(&s->pools, p) != CW_OK) {
        free(p);
        return NULL;
    }
    p->next = s->pool_list;
    s->pool_list = p;
    return p;
}

struct cw_worker *
cw_sched_worker(const struct cw_sched *s, struct cw_str id)
{
    return cw_map_get(&s->workers, id);
}

static void
pool_add_worker(struct cw_pool *p, struct cw_worker *w)
{
    w->pool = p;
    w->prev = NULL;
    w->next = p->workers;
    if (w->next != NULL) {
        w->next->prev = w;
    }
    p->workers = w;
    p->worker_count++;
}

static void
pool_remove_worker(struct cw_worker *w)
{
    if (w->prev != NULL) {
        w->prev->next = w->next;
    }
    else {
        w->pool->workers = w->next;
    }
    if (w->next != NULL) {
        w->next->prev = w->prev;
    }
    w->pool->worker_count--;
}

struct cw_worker *
cw_sched_worker_stub(struct cw_sched *s, struct cw_str id, struct cw_pool *p,
                     cw_ms now)
{
    struct cw_worker *w = cw_sched_worker(s, id);

    if (w != NULL) {
        return w;
    }
    w = calloc(1, sizeof(*w));
    if (w == NULL || cw_name_set(&w->id, id) != CW_OK ||
        cw_map_put(&s->workers, w) != CW_OK) {
        free(w);
        return NULL;
    }
    w->state = CW_WORKER_GONE;
    w->gone_at = now;
    w->idle_at = now;
    pool_add_worker(p, w);
    return w;
}

/* ---- tasks on a worker
 * ------------------------------------------------------ */

void
cw_task_place(struct cw_sched *s, struct cw_task *t, struct cw_worker *w,
              cw_ms now)
{
    const struct cw_step *st = cw_task_step(t);

    (void)s;
    (void)now;
    t->worker = w;
    t->prev = NULL;
    t->next = w->tasks;
    if (t->next != NULL) {
        t->next->prev = t;
    }
    w->tasks = t;
    w->task_count++;
    if (st->backfill) {
        w->backfill_count++;
    }
    else {
        w->used.cpu_milli += st->need.cpu_milli;
    }
    w->used.memory_mb += st->need.memory_mb;
    w->used.accelerators += st->need.accelerators;
}

void
cw_task_release(struct cw_sched *s, struct cw_task *t, cw_ms now)
{
    const struct cw_step *st = cw_task_step(t);
    struct cw_worker *w = t->worker;

    if (w == NULL) {
        return;
    }
    if (t->prev != NULL) {
        t->prev->next = t->next;
    }
    else {
        w->tasks = t->next;
    }
    if (t->next != NULL) {
        t->next->prev = t->prev;
    }
    t->prev = NULL;
    t->next = NULL;
    t->worker = NULL;
    w->task_count--;
    if (st->backfill) {
        w->backfill_count--;
    }
    else {
        w->used.cpu_milli -= st->need.cpu_milli;
    }
    w->used.memory_mb -= st->need.memory_mb;
    w->used.accelerators -= st->need.accelerators;
    if (w->task_count == 0) {
        w->idle_at = now;
    }
    t->pace = 100;
    t->over_at = 0;
    t->figure = 0;
    t->stop_answered_at = 0;
    s->plan_due = true;
}

struct cw_run_row
cw_task_row(const struct cw_task *t)
{
    return (struct cw_run_row){.job = t->job->id,
                               .occurrence = t->occurrence,
                               .step = t->step,
                               .index = t->index,
                               .run = t->run};
}

/* The run is over without success. */
static void
task_wait_again(struct cw_sched *s, struct cw_task *t, cw_ms now)
{
    cw_task_release(s, t, now);
    t->state = CW_RUN_WAITING;
    t->since = now;
    t->ready_at = now;
    if (t->at_work) {
        t->at_work = false;
        t->away_at = now;
    }
    t->restart_ok = true;
    cw_job_touch(s, t->job);
    cw_job_settle(s, t->job);
}

static void
unlink_unsent(struct cw_sched *s, const struct cw_task *t)
{
    struct cw_task **at = &s->unsent;

    while (*at != NULL && *at != t) {
        at = &(*at)->unsent;
    }
    if (*at != NULL) {
        *at = t->unsent;
    }
}

void
cw_sched_stop_task(struct cw_sched *s, struct cw_task *t, bool restart,
                   cw_ms now)
{
    struct cw_run_row row = cw_task_row(t);

    if (t->worker == NULL || t->state == CW_RUN_STOPPING) {
        t->restart_ok &= restart;
        return;
    }
    if (t->state == CW_RUN_ORDERED && t->order_batch > s->committed) {
        /* Not sent yet: the worker never hears of it. */
        unlink_unsent(s, t);
        t->unsent = NULL;
        task_wait_again(s, t, now);
        return;
    }
    t->state = CW_RUN_STOPPING;
    t->restart_ok = restart;
    t->since = now;
    t->stop_answered_at = 0;
    if (t->at_work) {
        t->at_work = false;
        t->away_at = now;
    }
    cw_job_touch(s, t->job);
    s->ops->stop(s->ctx, t->worker, &row);
}

void
cw_sched_worker_lost(struct cw_sched *s, struct cw_worker *w, cw_ms now)
{
    while (w->tasks != NULL) {
        struct cw_task *t = w->tasks;

        s->lapses++;
        unlink_unsent(s, t);
        t->unsent = NULL;
        task_wait_again(s, t, now);
    }
}

/* ---- ends
 * ---------------------------------------------------------------------- */

static bool
job_done(const struct cw_job_run *j)
{
    for (size_t i = 0; i < j->spec.step_count * j->spec.repeats; i++) {
        if (j->open[i] > 0) {
            return false;
        }
    }
    return true;
}

/* Tasks of the steps that wait for this one may start from now on. */
static void
step_done(const struct cw_task *t, cw_ms now)
{
    struct cw_job_run *j = t->job;

    for (size_t i = 0; i < j->task_count; i++) {
        struct cw_task *o = &j->tasks[i];

        if (o->occurrence == t->occurrence &&
            (cw_task_step(o)->after >> t->step & 1) != 0) {
            o->ready_at = now;
        }
    }
}

static void
task_done(struct cw_sched *s, struct cw_task *t, cw_ms now)
{
    struct cw_job_run *j = t->job;

    cw_task_release(s, t, now);
    if (t->state == CW_RUN_DONE) {
        return;
    }
    t->state = CW_RUN_DONE;
    t->since = now;
    j->open[t->occurrence * j->spec.step_count + t->step]--;
    if (j->open[t->occurrence * j->spec.step_count + t->step] == 0) {
        step_done(t, now);
    }
    cw_job_touch(s, j);
}

/* One member's end stands for all members of its gang. */
static void
gang_done(struct cw_sched *s, const struct cw_task *t, cw_ms now)
{
    struct cw_job_run *j = t->job;
    uint32_t occurrence = t->occurrence;
    uint16_t step = t->step;

    for (size_t i = 0; i < j->task_count; i++) {
        struct cw_task *o = &j->tasks[i];

        if (o->occurrence == occurrence && o->step == step) {
            task_done(s, o, now);
        }
    }
}

static uint32_t
failures_of(const struct cw_task *t)
{
    const struct cw_job_run *j = t->job;
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
worker_outcome(struct cw_worker *w, const struct cw_job_run *j, bool ok,
               cw_ms now)
{
    static const struct cw_place_params params = {
        .quarantine = true,
        .quarantine_after = QUARANTINE_AFTER,
        .probe_ms = QUARANTINE_PROBE_MS};
    uint32_t aside = 0;

    for (const struct cw_worker *o = w->pool->workers; o != NULL;
         o = o->next) {
        aside += o->health.quarantined ? 1 : 0;
    }
    /* At least half of the pool stays in use, whatever fails. */
    cw_worker_health_outcome(&w->health, ok, false,
                             2 * (aside + 1) <= w->pool->worker_count, j->id,
                             &params, now);
}

static void
end_failed(struct cw_sched *s, struct cw_task *t, cw_ms now)
{
    struct cw_job_run *j = t->job;

    t->failures++;
    t->avoid = t->worker->id;
    worker_outcome(t->worker, j, false, now);
    task_wait_again(s, t, now);
    if (!cw_job_ended(j) && !cw_task_step(t)->lasting &&
        j->spec.rules.max_attempts > 0 &&
        failures_of(t) >= j->spec.rules.max_attempts) {
        cw_log(CW_INFO, "job_failed", "job=%016llx task=%u.%u.%u failures=%u",
               (unsigned long long)j->id, t->occurrence, t->step, t->index,
               failures_of(t));
        cw_job_end(s, j, CW_JOB_FAILED, now);
    }
}

static void
end_done(struct cw_sched *s, struct cw_task *t, cw_ms now)
{
    struct cw_job_run *j = t->job;

    worker_outcome(t->worker, j, true, now);
    if (cw_task_step(t)->lasting) {
        task_wait_again(s, t, now);
        return;
    }
    if (t->state == CW_RUN_RUNNING && t->checkpoint[0] == '\0') {
        cw_times_add(j->times, cw_task_step(t)->estimate_ms,
                     (double)(now - t->since));
    }
    if (cw_task_step(t)->gang) {
        gang_done(s, t, now);
    }
    else {
        task_done(s, t, now);
    }
    if (cw_job_ended(j)) {
        cw_job_settle(s, j);
    }
    else if (job_done(j)) {
        cw_log(CW_INFO, "job_succeeded", "job=%016llx queue=%s ms=%lld",
               (unsigned long long)j->id, j->queue.text,
               (long long)(now - j->accepted));
        cw_job_end(s, j, CW_JOB_SUCCEEDED, now);
    }
    s->plan_due = true;
}

static void
keep_checkpoint(struct cw_task *t, struct cw_str c)
{
    if (c.len > 0 && c.len <= CW_CHECKPOINT_MAX) {
        memcpy(t->checkpoint, c.ptr, c.len);
        t->checkpoint[c.len] = '\0';
    }
}

static void
apply_end(struct cw_sched *s, struct cw_worker *w, const struct cw_end_row *e,
          cw_ms now)
{
    struct cw_task *t = cw_sched_task(s, &e->run);
    static const char *const names[] = {"done",   "failed", "stopped",
                                        "lapsed", "broken", "alone"};

    s->ends[e->how]++;
    if (t == NULL || t->worker != w || t->run != e->run.run) {
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
               (long long)(now - t->since));
    }
    keep_checkpoint(t, e->run.checkpoint);
    switch (e->how) {
    case CW_END_DONE:
        end_done(s, t, now);
        break;
    case CW_END_FAILED:
        end_failed(s, t, now);
        break;
    case CW_END_STOPPED:
    case CW_END_LAPSED:
    case CW_END_BROKEN:
    case CW_END_ALONE:
        task_wait_again(s, t, now);
        break;
    }
}

/* ---- reports
 * ---------------------------------------------------------------------- */

/* Percent at which a lasting task is past its start-up. */
#define AT_WORK_PERCENT 100

static void
apply_running(struct cw_sched *s, struct cw_worker *w,
              const struct cw_run_row *r, cw_ms now)
{
    struct cw_task *t = cw_sched_task(s, r);

    if (t == NULL || t->worker != w || t->run != r->run) {
        cw_log(CW_WARN, "run_unexpected",
               "job=%016llx task=%u.%u.%u run=%u worker=%s known_run=%u",
               (unsigned long long)r->job, r->occurrence, r->step, r->index,
               r->run, w->id.text, t == NULL ? 0 : t->run);
        s->ops->stop(s->ctx, w, r);
        return;
    }
    t->report = w->reports;
    t->figure = r->figure;
    keep_checkpoint(t, r->checkpoint);
    if (t->state == CW_RUN_ORDERED) {
        t->state = CW_RUN_RUNNING;
        t->since = now;
    }
    if (cw_task_step(t)->lasting && t->state == CW_RUN_RUNNING) {
        t->at_work = r->percent >= AT_WORK_PERCENT;
    }
    if (t->state == CW_RUN_STOPPING && t->order_batch == 0) {
        /* Recorded by a former scheduler: its stop may not have come. */
        s->ops->stop(s->ctx, w, r);
    }
}

/* A run that the worker should list and does not. */
static bool
run_is_over(const struct cw_task *t, const struct cw_run_report *r)
{
    switch (t->state) {
    case CW_RUN_RUNNING:
        return t->order_batch == 0 || t->since < r->sent_at;
    case CW_RUN_ORDERED:
        /* A former scheduler's start is refused by the worker's fence. */
        return t->order_batch == 0;
    default:
        return t->order_batch == 0 ||
               (t->stop_answered_at != 0 && t->stop_answered_at <= r->sent_at);
    }
}

static void
drop_unlisted(struct cw_sched *s, struct cw_worker *w,
              const struct cw_run_report *r, cw_ms now)
{
    struct cw_task *t = w->tasks;

    while (t != NULL) {
        struct cw_task *next = t->next;

        if (t->report != w->reports && run_is_over(t, r)) {
            cw_log(CW_INFO, "run_vanished",
                   "job=%016llx task=%u.%u.%u run=%u worker=%s",
                   (unsigned long long)t->job->id, t->occurrence, t->step,
                   t->index, t->run, w->id.text);
            task_wait_again(s, t, now);
        }
        t = next;
    }
}

static void
new_life(struct cw_sched *s, struct cw_worker *w, int64_t born, cw_ms now)
{
    if (w->born_wall != 0) {
        cw_log(CW_INFO, "worker_restarted", "worker=%s born=%lld was=%lld",
               w->id.text, (long long)born, (long long)w->born_wall);
        cw_sched_worker_lost(s, w, now);
        w->ack_next = 0;
        w->acked = 0;
        w->clock_at = 0;
        w->until_ms = 0;
        w->contacted = false;
    }
    w->born_wall = born;
}

void
cw_sched_report(struct cw_sched *s, struct cw_worker *w,
                const struct cw_run_report *r, cw_ms now)
{
    if (r->born_wall != 0 && r->born_wall != w->born_wall) {
        if (r->born_wall < w->born_wall) {
            return;
        }
        new_life(s, w, r->born_wall, now);
    }
    w->clock_ms = r->clock_ms;
    w->clock_at = now;
    w->seen_at = now;
    w->reports++;
    if (!w->contacted) {
        w->contacted = true;
        s->plan_due = true;
    }
    for (size_t i = 0; i < r->ended_count; i++) {
        if (r->ended[i].number > w->ack_next) {
            apply_end(s, w, &r->ended[i], now);
            w->ack_next = r->ended[i].number;
            w->ack_batch = s->batch;
        }
    }
    for (size_t i = 0; i < r->running_count; i++) {
        apply_running(s, w, &r->running[i], now);
    }
    if (r->ended_count < ENDS_LISTED_MAX) {
        drop_unlisted(s, w, r, now);
    }
}

static void
start_refused(struct cw_sched *s, struct cw_worker *w, struct cw_task *t,
              cw_ms now)
{
    cw_ms pause = REFUSAL_PAUSE_MS;

    for (uint32_t i = 0; i < w->refusals && pause < REFUSAL_PAUSE_MAX_MS;
         i++) {
        pause *= 2;
    }
    w->refusals++;
    w->retry_at = now + pause;
    task_wait_again(s, t, now);
}

void
cw_sched_start_answered(struct cw_sched *s, struct cw_worker *w,
                        const struct cw_run_row *r, enum cw_start_answer a,
                        bool sent_before, cw_ms now)
{
    struct cw_task *t = cw_sched_task(s, r);

    if (a == CW_START_GONE) {
        cw_sched_worker_lost(s, w, now);
        return;
    }
    if (t == NULL || t->worker != w || t->run != r->run) {
        return;
    }
    if (a == CW_START_OK) {
        w->refusals = 0;
        if (t->state == CW_RUN_ORDERED) {
            t->state = CW_RUN_RUNNING;
            t->since = now;
        }
        return;
    }
    if (t->state != CW_RUN_ORDERED && t->state != CW_RUN_STOPPING) {
        return;
    }
    if (!sent_before) {
        start_refused(s, w, t, now);
    }
    else if (a != CW_START_OLD) {
        /* The earlier send may still be carried out: the stop makes the
         * worker reject it. */
        cw_sched_stop_task(s, t, true, now);
    }
    /* Otherwise the earlier send was carried out and the run has ended: the
     * report lists its end. */
}

void
cw_sched_stop_answered(struct cw_sched *s, struct cw_worker *w,
                       const struct cw_run_row *r, cw_ms now)
{
    struct cw_task *t = cw_sched_task(s, r);

    if (t != NULL && t->worker == w && t->run == r->run &&
        t->state == CW_RUN_STOPPING && t->stop_answered_at == 0) {
        t->stop_answered_at = now;
    }
}

/* ---- leases
 * ------------------------------------------------------------------------ */

int64_t
cw_worker_lease(struct cw_sched *s, struct cw_worker *w, bool renew, cw_ms now)
{
    cw_ms age = now - w->clock_at;
    cw_ms lapse;

    if (w->clock_at == 0) {
        return 0;
    }
    if (!renew && w->until_ms > 0) {
        return w->until_ms;
    }
    lapse = now + LAPSE_MARGIN_MS +
            (cw_ms)(((double)s->limits.lease_ms + CLOCK_SLOW * (double)age) /
                    (1.0 - CLOCK_SLOW));
    if (lapse > w->lapse_at) {
        w->lapse_at = lapse;
    }
    w->until_ms = w->clock_ms + age + s->limits.lease_ms;
    return w->until_ms;
}

void
cw_sched_loaded(struct cw_sched *s, cw_ms now)
{
    cw_ms longest = (cw_ms)((double)s->limits.lease_ms / (1.0 - CLOCK_SLOW)) +
                    LAPSE_MARGIN_MS + FORMER_HOLDER_MS;

    for (struct cw_pool *p = s->pool_list; p != NULL; p = p->next) {
        for (struct cw_worker *w = p->workers; w != NULL; w = w->next) {
            w->lapse_at = now + longest;
        }
    }
    s->plan_due = true;
}

void
cw_sched_leases(struct cw_sched *s, cw_ms now)
{
    for (struct cw_pool *p = s->pool_list; p != NULL; p = p->next) {
        for (struct cw_worker *w = p->workers; w != NULL; w = w->next) {
            if (w->tasks != NULL && w->lapse_at != 0 && now >= w->lapse_at) {
                cw_log(CW_WARN, "leases_lapsed",
                       "worker=%s tasks=%u silent_ms=%lld", w->id.text,
                       w->task_count, (long long)(now - w->seen_at));
                cw_sched_worker_lost(s, w, now);
            }
        }
    }
}

/* ---- the list
 * ---------------------------------------------------------------------- */

static void
take_entry(struct cw_worker *w, const struct cw_worker_entry *e)
{
    w->address = e->address;
    w->dc = e->dc;
    w->vm = e->vm;
    w->rack = e->rack;
    w->label_count = e->label_count;
    memcpy(w->labels, e->labels, sizeof(w->labels));
    w->capacity = e->capacity;
}

/* Lasting tasks leave a draining worker at once, so that they start again
 * elsewhere before it ends them. */
static void
leave_draining(struct cw_sched *s, struct cw_worker *w, cw_ms now)
{
    struct cw_task *t = w->tasks;

    while (t != NULL) {
        struct cw_task *next = t->next;

        if (cw_task_step(t)->lasting) {
            cw_sched_stop_task(s, t, true, now);
        }
        t = next;
    }
}

/* A worker is one life of a VM: a later life ends what an earlier one ran,
 * although its entry may stay listed for some seconds. */
static void
end_earlier_lives(struct cw_sched *s, const struct cw_worker *w, cw_ms now)
{
    if (w->vm.len == 0 || w->born_wall == 0) {
        return;
    }
    for (struct cw_pool *p = s->pool_list; p != NULL; p = p->next) {
        for (struct cw_worker *o = p->workers; o != NULL; o = o->next) {
            if (o != w && o->state != CW_WORKER_GONE &&
                o->born_wall < w->born_wall && cw_name_eq(&o->vm, &w->vm)) {
                cw_sched_worker_gone(s, cw_name_str(&o->id), now);
                cw_sched_worker_lost(s, o, now);
            }
        }
    }
}

static bool
has_later_life(const struct cw_sched *s, const struct cw_worker_entry *e)
{
    if (e->vm.len == 0 || e->born_wall == 0) {
        return false;
    }
    for (const struct cw_pool *p = s->pool_list; p != NULL; p = p->next) {
        for (const struct cw_worker *o = p->workers; o != NULL; o = o->next) {
            if (o->born_wall > e->born_wall && cw_name_eq(&o->vm, &e->vm)) {
                return true;
            }
        }
    }
    return false;
}

struct cw_worker *
cw_sched_worker_seen(struct cw_sched *s, const struct cw_worker_entry *e,
                     cw_ms now)
{
    struct cw_pool *p = cw_sched_pool(s, cw_name_str(&e->service));
    struct cw_worker *w;
    uint8_t state = e->draining ? CW_WORKER_DRAINING : CW_WORKER_READY;

    if (p == NULL) {
        return NULL;
    }
    w = cw_sched_worker(s, cw_name_str(&e->id));
    if ((w == NULL || w->state == CW_WORKER_GONE) && has_later_life(s, e)) {
        return w;
    }
    w = cw_sched_worker_stub(s, cw_name_str(&e->id), p, now);
    if (w == NULL || (e->born_wall != 0 && e->born_wall < w->born_wall)) {
        return w;
    }
    if (w->pool != p) {
        pool_remove_worker(w);
        pool_add_worker(p, w);
    }
    if (e->born_wall > w->born_wall) {
        new_life(s, w, e->born_wall, now);
    }
    take_entry(w, e);
    if (w->state != state) {
        cw_log(CW_INFO, "worker_state", "worker=%s service=%s vm=%s state=%s",
               w->id.text, p->service.text, w->vm.text,
               e->draining ? "draining" : "ready");
        w->state = state;
        s->plan_due = true;
        end_earlier_lives(s, w, now);
        if (e->draining) {
            leave_draining(s, w, now);
        }
    }
    return w;
}

void
cw_sched_worker_gone(struct cw_sched *s, struct cw_str id, cw_ms now)
{
    struct cw_worker *w = cw_sched_worker(s, id);

    if (w == NULL || w->state == CW_WORKER_GONE) {
        return;
    }
    cw_log(CW_INFO, "worker_state",
           "worker=%s service=%s vm=%s state=gone tasks=%u", w->id.text,
           w->pool->service.text, w->vm.text, w->task_count);
    w->state = CW_WORKER_GONE;
    w->gone_at = now;
}

void
cw_sched_worker_refused(struct cw_sched *s, struct cw_worker *w, cw_ms now)
{
    if (w->state == CW_WORKER_GONE && w->tasks != NULL) {
        cw_log(CW_INFO, "worker_ended", "worker=%s tasks=%u", w->id.text,
               w->task_count);
        cw_sched_worker_lost(s, w, now);
    }
}

/* An entry that left the list may come back within seconds. */
#define GONE_KEEP_MS 10000

void
cw_sched_workers_sweep(struct cw_sched *s, cw_ms now,
                       void (*drop)(void *ctx, struct cw_worker *w))
{
    for (struct cw_pool *p = s->pool_list; p != NULL; p = p->next) {
        struct cw_worker *w = p->workers;

        while (w != NULL) {
            struct cw_worker *next = w->next;

            if (w->state == CW_WORKER_GONE && w->tasks == NULL &&
                now - w->gone_at > GONE_KEEP_MS) {
                drop(s->ctx, w);
                (void)cw_map_remove(&s->workers, cw_name_str(&w->id));
                pool_remove_worker(w);
                free(w);
            }
            w = next;
        }
    }
}
