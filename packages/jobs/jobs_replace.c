/* Replaces overdue tasks on slow, silent and stuck workers, and keeps account
 * of the former run of a task that has two. */
#include "cw_plan_int.h"
#include "cw_tenant.h"

#include <stdlib.h>

/* Definition of overdue, see cw_run_overdue. */
#define OVERDUE_FACTOR 3
#define OVERDUE_MIN_MS 1000
/* Time between a stop and the next start: the call, the worker's time to stop
 * a task and the report of the end. */
#define RESTART_MS 500
/* Replaced tasks among the running ones of a pool: 1 / this. */
#define REPLACED_DIVISOR 20
/* Time between two scans of the runs, and time without progress after which
 * all tasks of a worker make it count as stuck. */
#define SCAN_INTERVAL_MS 250
#define STUCK_MS 1500

/* ---- the decision ---- */

bool
cw_run_overdue(const struct cw_replace_view *v)
{
    cw_ms limit = OVERDUE_FACTOR * v->expected_ms;

    if (limit < v->expected_ms + OVERDUE_MIN_MS) {
        limit = v->expected_ms + OVERDUE_MIN_MS;
    }
    return v->expected_ms > 0 &&
           (v->elapsed_ms > limit || v->stalled_ms > limit);
}

/* Expected remaining time on the present worker. */
static double
remaining_here(const struct cw_replace_view *v)
{
    double gained = (double)v->percent - v->base_percent;

    if (v->silent || v->stuck || gained <= 0 || v->measured_ms <= 0) {
        return 1e12;
    }
    return (100.0 - v->percent) * (double)v->measured_ms / gained;
}

enum cw_replace_action
cw_replace_decide(const struct cw_replace_view *v)
{
    double here = remaining_here(v);
    double elsewhere =
        (double)v->expected_ms * (100.0 - v->saved_percent) / 100.0;

    if (!(v->slow || v->silent || v->stuck) || !cw_run_overdue(v)) {
        return CW_REPLACE_KEEP;
    }
    if (v->speculative && v->room && elsewhere < here) {
        return CW_REPLACE_COPY;
    }
    /* The end of a run on a silent worker is known when it reports again or
     * its lease has lapsed, with or without a stop. A task on a stuck worker
     * would never end: it may wait for room elsewhere. */
    return !v->silent && (v->room || v->stuck) &&
                   2 * (elsewhere + RESTART_MS) < here
               ? CW_REPLACE_RESTART
               : CW_REPLACE_KEEP;
}

uint32_t
cw_replace_limit(uint32_t running)
{
    return running / REPLACED_DIVISOR > 0 ? running / REPLACED_DIVISOR : 1;
}

/* ---- the former run of a task ---- */

struct cw_task *
cw_sched_find_run(const struct cw_sched *s, const struct cw_worker *w,
                  const struct cw_run_row *r)
{
    struct cw_task *t = cw_sched_find_task(s, r);

    if (t != NULL && t->former != NULL && t->former->run == r->run) {
        t = t->former;
    }
    /* A start that is not sent yet has reached no worker: a report that lists
     * it is wrong, and the task is in s->unsent still. */
    return t != NULL && t->worker == w && t->run == r->run &&
                   (t->state != CW_RUN_STARTING ||
                    t->order_batch <= s->committed)
               ? t
               : NULL;
}

bool
cw_task_leave_run(struct cw_task *t)
{
    struct cw_task *o = t->former == NULL ? malloc(sizeof(*o)) : NULL;

    if (o == NULL) {
        return false;
    }
    *o = *t;
    o->former_of = t;
    if (o->prev != NULL) {
        o->prev->next = o;
    }
    else {
        o->worker->tasks = o;
    }
    if (o->next != NULL) {
        o->next->prev = o;
    }
    t->former = o;
    t->worker = NULL;
    t->prev = NULL;
    t->next = NULL;
    t->pace_percent = 100;
    t->measured = 0;
    t->stop_answered_at = 0;
    t->probe = 0; /* the run that is left behind is the probe */
    t->at_work_since = 0;
    cw_task_set_state(t, CW_RUN_WAITING);
    return true;
}

void
cw_task_end_former(struct cw_sched *s, struct cw_task *o, cw_ms now)
{
    struct cw_task *t = o->former_of;

    t->former = NULL;
    cw_task_unplace(s, o, now);
    free(o);
    if (t->job->pool != NULL) {
        cw_pool_plan_soon(s, t->job->pool);
    }
    cw_job_release_tasks(s, t->job);
}

/* ---- the scan ---- */

static bool
is_batch_run(const struct cw_task *t)
{
    const struct cw_step *st = cw_task_step(t);

    return t->state == CW_RUN_RUNNING && !st->lasting && !st->backfill &&
           !st->gang && t->former_of == NULL && !cw_job_ended(t->job);
}

static cw_ms
advanced_at(const struct cw_task *t)
{
    return t->progress.advanced_at > t->state_since ? t->progress.advanced_at
                                                    : t->state_since;
}

/* After a pause of the scheduler nothing is known of the workers' progress
 * before they have reported. */
static bool
is_stuck(const struct cw_sched *s, const struct cw_worker *w, cw_ms now)
{
    uint32_t n = 0;

    if (now - s->awake_since < STUCK_MS) {
        return false;
    }
    for (const struct cw_task *t = w->tasks; t != NULL; t = t->next) {
        if (is_batch_run(t)) {
            n++;
            if (now - advanced_at(t) < STUCK_MS) {
                return false;
            }
        }
    }
    return n > 0;
}

static struct cw_replace_view
view_of(const struct cw_sched *s, const struct cw_task *t,
        const struct cw_replace_view *worker, cw_ms now)
{
    const struct cw_run_progress *p = &t->progress;
    struct cw_replace_view v = *worker;

    v.expected_ms = cw_task_typical_ms(s, t, t->worker);
    v.elapsed_ms = now - t->state_since;
    v.stalled_ms = now - advanced_at(t);
    v.measured_ms = p->base_at != 0 ? t->worker->seen_at - p->base_at : 0;
    v.base_percent = p->base_percent;
    v.percent = p->percent;
    v.saved_percent = t->saved_percent;
    v.speculative = cw_task_step(t)->speculative;
    return v;
}

static void
log_replaced(struct cw_sched *s, const struct cw_task *t,
             const struct cw_replace_view *v, enum cw_replace_action a)
{
    static const char *const reasons[] = {"slow", "silent", "stuck"};
    enum cw_replace_reason why = v->silent ? CW_REPLACE_SILENT
                                 : v->slow ? CW_REPLACE_SLOW
                                           : CW_REPLACE_STUCK;

    s->replaced.reasons[why]++;
    s->replaced.copies += a == CW_REPLACE_COPY ? 1 : 0;
    cw_log(CW_INFO, "task_replaced",
           "job=%016llx task=%u.%u.%u run=%u worker=%s reason=%s how=%s "
           "ms=%lld expected_ms=%lld percent=%u saved_percent=%u",
           (unsigned long long)t->job->id, t->occurrence, t->step, t->index,
           t->run, t->worker->id.text, reasons[why],
           a == CW_REPLACE_COPY ? "copy" : "restart", (long long)v->elapsed_ms,
           (long long)v->expected_ms, v->percent, v->saved_percent);
}

struct scan {
    struct cw_sched *s;
    struct cw_pool *p;
    cw_ms now;
    uint32_t running;
    uint32_t replaced; /* of these */
    uint32_t silent;   /* workers */
    uint32_t stuck;
    bool load_known;
    bool waits; /* a task of the pool waits for room */
};

static bool
task_waits(struct scan *sc)
{
    if (!sc->load_known) {
        struct cw_pool_load l = cw_pool_load(sc->s, sc->p, sc->now);

        sc->load_known = true;
        sc->waits = l.waiting.cpu > 0 || l.waiting.mb > 0;
    }
    return sc->waits;
}

/* True when the task was replaced. */
static bool
replace_task(struct scan *sc, struct cw_task *t, struct cw_replace_view *v)
{
    enum cw_replace_action a;
    struct cw_worker *to;

    if (!cw_run_overdue(v)) {
        return false;
    }
    to = task_waits(sc) ? NULL : cw_plan_other_worker(sc->s, t, sc->now);
    v->room = to != NULL;
    /* A copy counts towards the quota besides the run that it replaces. */
    v->speculative =
        v->speculative &&
        cw_tenant_allows(sc->s, t->job->use->tenant, cw_task_step(t), 1);
    a = cw_replace_decide(v);
    if (a == CW_REPLACE_KEEP) {
        return false;
    }
    log_replaced(sc->s, t, v, a);
    t->replaced = true;
    t->avoid_worker = t->worker->id;
    if (a == CW_REPLACE_RESTART) {
        cw_sched_stop_task_for(sc->s, t, CW_STOP_REPLACED, sc->now);
    }
    else if (cw_task_leave_run(t)) {
        cw_plan_start_copy(sc->s, t, to, sc->now);
    }
    return true;
}

static void
count_runs(struct scan *sc)
{
    for (const struct cw_worker *w = sc->p->workers; w != NULL; w = w->next) {
        if (w->task_count == 0) {
            continue;
        }
        sc->running += w->task_count - w->lasting_count;
        sc->silent += cw_worker_is_silent(sc->s, w, sc->now) ? 1 : 0;
        sc->stuck += is_stuck(sc->s, w, sc->now) ? 1 : 0;
        for (const struct cw_task *t = w->tasks; t != NULL; t = t->next) {
            sc->replaced += t->replaced && t->former_of == NULL ? 1 : 0;
        }
    }
}

/* A fault of so many workers at a time has its cause elsewhere. */
static bool
is_few(const struct scan *sc, uint32_t workers)
{
    return workers <= 1 ||
           workers * CW_SLOW_WORKERS_DIVISOR <= sc->p->worker_count;
}

/* Replaces one task of a worker; false when there is none to replace. */
static bool
replace_one(struct scan *sc, const struct cw_worker *w)
{
    struct cw_replace_view of_worker = {
        .slow = w->speed.slow,
        .silent =
            is_few(sc, sc->silent) && cw_worker_is_silent(sc->s, w, sc->now),
        .stuck = is_few(sc, sc->stuck) && is_stuck(sc->s, w, sc->now),
    };

    if (!of_worker.slow && !of_worker.silent && !of_worker.stuck) {
        return false;
    }
    for (struct cw_task *t = w->tasks; t != NULL; t = t->next) {
        struct cw_replace_view v;

        if (!is_batch_run(t) || t->replaced || t->former != NULL) {
            continue;
        }
        v = view_of(sc->s, t, &of_worker, sc->now);
        if (replace_task(sc, t, &v)) {
            return true; /* the list may have changed */
        }
    }
    return false;
}

static void
replace_in_pool(struct cw_sched *s, struct cw_pool *p, cw_ms now)
{
    struct scan sc = {.s = s, .p = p, .now = now};

    count_runs(&sc);
    for (struct cw_worker *w = p->workers; w != NULL; w = w->next) {
        while (w->task_count > 0 &&
               sc.replaced < cw_replace_limit(sc.running) &&
               replace_one(&sc, w)) {
            sc.replaced++;
        }
    }
}

void
cw_sched_replace_overdue(struct cw_sched *s, cw_ms now)
{
    if (!s->uneven_workers || now < s->replace_at) {
        return;
    }
    s->replace_at = now + SCAN_INTERVAL_MS;
    for (struct cw_pool *p = s->pool_list; p != NULL; p = p->next) {
        if (!p->spare && p->jobs != NULL) {
            replace_in_pool(s, p, now);
        }
    }
}
