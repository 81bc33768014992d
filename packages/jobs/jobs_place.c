/* The choice of workers for tasks, and starts on them. */
#include "cw_fit.h"
#include "cw_plan_int.h"
#include "cw_tenant.h"

#include <stdlib.h>

/* ---- the choice of a worker ---- */

/* Whether the step has this label is checked before. */
static bool
fits(const struct cw_worker *w, const struct cw_step *st)
{
    struct cw_resources room = cw_worker_free_room(w);

    return cw_step_tasks_in_room(st, &room, w->labels, w->label_count) > 0;
}

static uint32_t
count_step_tasks(const struct cw_worker *w, const struct cw_task *t)
{
    uint32_t n = 0;

    for (const struct cw_task *o = w->tasks; o != NULL; o = o->next) {
        if (o->job == t->job && o->step == t->step &&
            o->occurrence == t->occurrence) {
            n++;
        }
    }
    return n;
}

/* The same for any task. */
static enum cw_unfit
worker_unfit(const struct cw_worker *w, cw_ms now)
{
    if (w->state != CW_WORKER_READY) {
        return CW_UNFIT_LEAVES;
    }
    if (!w->contacted) {
        return CW_UNFIT_NO_CONTACT;
    }
    if (w->unanswered) {
        return CW_UNFIT_SILENT;
    }
    if (w->cordoned) {
        return CW_UNFIT_CORDONED;
    }
    if (w->has_strays) {
        return CW_UNFIT_STRAYS;
    }
    if (w->clock_at == 0) {
        return CW_UNFIT_NO_CLOCK;
    }
    if (now < w->retry_at) {
        return CW_UNFIT_PAUSED;
    }
    return cw_worker_health_usable(&w->health, now) ? CW_FITS
                                                    : CW_UNFIT_UNWELL;
}

static bool
accepts_tasks(const struct cw_worker *w, cw_ms now)
{
    return worker_unfit(w, now) == CW_FITS;
}

/* A lasting task that is moved off a worker before its maintenance waits this
 * long for capacity on a worker that is not due as well. Its former worker is
 * often the only one with room for it: it would return there at once, and the
 * next move would count against the step's limit again. */
#define AVOID_MAINTENANCE_MS 1500

static bool
avoids(const struct cw_worker *w, const struct cw_task *t, cw_ms now)
{
    return w->maintenance_due && cw_task_step(t)->lasting &&
           now - t->ready_at < AVOID_MAINTENANCE_MS;
}

enum cw_unfit
cw_plan_unfit(const struct cw_worker *w, const struct cw_task *t, cw_ms now)
{
    const struct cw_step *st = cw_task_step(t);
    enum cw_unfit why = worker_unfit(w, now);

    if (why != CW_FITS) {
        return why;
    }
    if (avoids(w, t, now)) {
        return CW_UNFIT_MAINTENANCE;
    }
    if (!cw_has_label(w->labels, w->label_count, &st->required_label)) {
        return CW_UNFIT_LABEL;
    }
    if (!fits(w, st)) {
        return CW_UNFIT_FULL;
    }
    if (!cw_worker_within_ramp(w, t, now)) {
        return CW_UNFIT_RAMP;
    }
    if (st->max_per_worker != 0 &&
        count_step_tasks(w, t) >= st->max_per_worker) {
        return CW_UNFIT_STEP_LIMIT;
    }
    /* Last, as a worker that is reserved for the task itself lacks room. */
    return w->reserved ? CW_UNFIT_RESERVED : CW_FITS;
}

static bool
eligible(const struct cw_worker *w, const struct cw_task *t, cw_ms now)
{
    return cw_plan_unfit(w, t, now) == CW_FITS;
}

bool
cw_sched_fits_elsewhere(const struct cw_task *t, bool busy, cw_ms now)
{
    const struct cw_pool *p = t->worker->pool;

    for (const struct cw_worker *w = p->workers; w != NULL; w = w->next) {
        if (w != t->worker && !w->maintenance_due && eligible(w, t, now) &&
            (!busy || w->task_count > 0)) {
            return true;
        }
    }
    return false;
}

static uint32_t
count_target_tasks(const struct cw_worker *w)
{
    uint32_t n = 0;

    for (const struct cw_task *t = w->tasks; t != NULL; t = t->next) {
        n += cw_task_step(t)->target_ms > 0 ? 1 : 0;
    }
    return n;
}

/* Score of an additional time as long as the task's expected duration. */
#define SLOW_SCORE 10

/* Higher is better. Batch tasks go to workers that are busy already, so that
 * others become idle and can move to another pool; backfill tasks avoid
 * workers that have tasks with a latency target, and the other way round. */
static double
score_worker(const struct cw_worker *w, const struct cw_task *t)
{
    const struct cw_step *st = cw_task_step(t);
    double load = w->capacity.cpu_milli == 0
                      ? 1
                      : (double)w->used.cpu_milli / w->capacity.cpu_milli;
    double v = load + (w->task_count > 0 ? 1 : 0);

    if (st->backfill) {
        v = (w->task_count > 0 ? 0.5 : 0) - load - 2.0 * w->backfill_count -
            3.0 * count_target_tasks(w);
    }
    else if (st->target_ms > 0) {
        v -= 3.0 * w->backfill_count;
    }
    if (st->lasting && w->maintenance_due) {
        v -= 5;
    }
    if (st->data_rack.len > 0 && cw_name_eq(&st->data_rack, &w->rack)) {
        v += 10;
    }
    if (w->speed.slow && !st->lasting) {
        v -= SLOW_SCORE * (w->speed.factor - 1);
    }
    if (cw_name_eq(&t->avoid_worker, &w->id)) {
        v -= 20;
    }
    return v;
}

static void
refresh_candidate(struct cw_plan_candidate *c)
{
    const struct cw_worker *w = c->worker;

    c->free_cpu = w->used.cpu_milli < w->capacity.cpu_milli
                      ? w->capacity.cpu_milli - w->used.cpu_milli
                      : 0;
    c->free_mb = w->used.memory_mb < w->capacity.memory_mb
                     ? w->capacity.memory_mb - w->used.memory_mb
                     : 0;
}

bool
cw_plan_collect_candidates(struct cw_plan *pl)
{
    struct cw_pool *p = pl->pool;

    pl->candidates = malloc((p->worker_count + 1) * sizeof(*pl->candidates));
    if (pl->candidates == NULL) {
        return false;
    }
    for (struct cw_worker *w = p->workers; w != NULL; w = w->next) {
        if (accepts_tasks(w, pl->now)) {
            struct cw_plan_candidate *c =
                &pl->candidates[pl->candidate_count++];

            c->worker = w;
            refresh_candidate(c);
        }
    }
    return true;
}

/* The best worker for a task, or NULL; rack: only workers there. */
static struct cw_plan_candidate *
choose_worker(const struct cw_plan *pl, const struct cw_task *t,
              const struct cw_name *rack)
{
    const struct cw_step *st = cw_task_step(t);
    uint32_t cpu = st->backfill ? 0 : st->need.cpu_milli;
    struct cw_plan_candidate *best = NULL;
    struct cw_plan_candidate *best_without = NULL; /* of interference */
    double best_score = 0;
    double best_without_score = 0;

    for (size_t i = 0; i < pl->candidate_count; i++) {
        struct cw_plan_candidate *c = &pl->candidates[i];
        double without;
        double v;

        if (c->free_cpu < cpu || c->free_mb < st->need.memory_mb ||
            !eligible(c->worker, t, pl->now) ||
            (rack != NULL && !cw_name_eq(rack, &c->worker->rack))) {
            continue;
        }
        without = score_worker(c->worker, t);
        v = without - cw_interference_penalty(pl->s, c->worker, t);
        if (best == NULL || v > best_score) {
            best = c;
            best_score = v;
        }
        if (best_without == NULL || without > best_without_score) {
            best_without = c;
            best_without_score = without;
        }
    }
    pl->s->interfere_moves += best != best_without ? 1 : 0;
    return best;
}

/* The worker of a step's previous task remains the best one for the next task
 * while it has capacity: its score has only increased, unless tasks of one
 * group slow each other down. */
static struct cw_plan_candidate *
choose_next_worker(const struct cw_plan *pl, const struct cw_task *t,
                   struct cw_plan_candidate *last)
{
    if (last != NULL && !cw_task_step(t)->backfill &&
        t->avoid_worker.len == 0 && eligible(last->worker, t, pl->now) &&
        cw_interference_penalty(pl->s, last->worker, t) == 0) {
        return last;
    }
    return choose_worker(pl, t, NULL);
}

/* ---- starts ---- */

static void
order_start(struct cw_sched *s, struct cw_task *t, struct cw_worker *w,
            uint32_t run, cw_ms now)
{
    struct cw_job_entry *j = t->job;

    t->run = run;
    cw_task_set_state(t, CW_RUN_STARTING);
    t->state_since = now;
    t->started_wall = now + s->wall_offset;
    t->order_batch = s->batch;
    t->born_wall = w->born_wall;
    t->checked = s->checks_starts && cw_worker_may_check(s, w, now);
    t->start_sent = false;
    t->proved = false;
    t->listed = false;
    t->stop_cause = CW_STOP_NONE;
    t->progress = (struct cw_run_progress){.resumed = t->checkpoint[0] != 0};
    cw_worker_lease_planned(s, w, now);
    cw_task_place(t, w);
    t->succeeded = false;
    t->probe = cw_worker_health_task_assigned(&w->health);
    if (t->probe != 0) {
        cw_log(CW_INFO, "worker_probe",
               "worker=%s job=%016llx task=%u.%u.%u run=%u lasting=%d "
               "quarantined_ms=%lld",
               w->id.text, (unsigned long long)j->id, t->occurrence, t->step,
               t->index, t->run, cw_task_step(t)->lasting,
               (long long)(now - w->health.quarantined_at));
    }
    t->unsent_next = s->unsent;
    s->unsent = t;
    j->started = true;
    if (j->state == CW_JOB_QUEUED) {
        j->state = CW_JOB_RUNNING;
    }
    cw_job_mark_dirty(s, j);
}

/* Places all members of a gang at once, or none. True when all are placed or
 * the gang cannot be placed yet. */
static bool
place_gang(struct cw_plan *pl, struct cw_ready_step *rs,
           const struct cw_name *rack)
{
    uint32_t run = 0;
    uint32_t placed = 0;
    struct cw_plan_candidate **chosen = calloc(rs->count, sizeof(void *));

    if (chosen == NULL) {
        return true;
    }

    for (uint32_t i = 0; i < rs->count; i++) {
        if (rs->first[i].state != CW_RUN_WAITING) {
            free(chosen);
            return true; /* members of the last run are still ending */
        }
        if (rs->first[i].run > run) {
            run = rs->first[i].run;
        }
    }
    while (placed < rs->count) {
        struct cw_task *t = &rs->first[placed];

        chosen[placed] = choose_worker(pl, t, rack);
        if (chosen[placed] == NULL) {
            break;
        }
        cw_task_place(t, chosen[placed]->worker);
        refresh_candidate(chosen[placed]);
        placed++;
    }
    for (uint32_t i = 0; i < placed; i++) {
        struct cw_task *t = &rs->first[i];
        struct cw_worker *w = t->worker;

        cw_task_unplace(pl->s, t, pl->now);
        if (placed == rs->count) {
            order_start(pl->s, t, w, run + 1, pl->now);
        }
        refresh_candidate(chosen[i]);
    }
    free(chosen);
    return placed == rs->count;
}

static bool
place_same_rack(struct cw_plan *pl, struct cw_ready_step *rs)
{
    for (size_t i = 0; i < pl->candidate_count; i++) {
        const struct cw_name *rack = &pl->candidates[i].worker->rack;

        if (i > 0 && cw_name_eq(&pl->candidates[i - 1].worker->rack, rack)) {
            continue; /* tried already */
        }
        if (place_gang(pl, rs, rack)) {
            return true;
        }
    }
    return place_gang(pl, rs, NULL);
}

struct cw_task *
cw_plan_place_step(struct cw_plan *pl, struct cw_ready_step *rs)
{
    struct cw_plan_candidate *c = NULL;

    if (cw_task_step(rs->first)->gang) {
        bool ok = cw_task_step(rs->first)->same_rack
                      ? place_same_rack(pl, rs)
                      : place_gang(pl, rs, NULL);

        return ok ? NULL : rs->first;
    }
    for (uint32_t i = 0; i < rs->count; i++) {
        struct cw_task *t = &rs->first[i];

        /* A former run has to be over before a third one starts. */
        if (t->state != CW_RUN_WAITING || t->former != NULL) {
            continue;
        }
        if (!cw_tenant_may_start(pl->s, t, 1, pl->now)) {
            return NULL;
        }
        c = choose_next_worker(pl, t, c);
        if (c == NULL) {
            return t;
        }
        if (cw_plan_wait_for_rack(pl, t, c->worker)) {
            continue;
        }
        order_start(pl->s, t, c->worker, t->run + 1, pl->now);
        refresh_candidate(c);
    }
    return NULL;
}

struct cw_worker *
cw_plan_other_worker(struct cw_sched *s, const struct cw_task *t, cw_ms now)
{
    struct cw_plan pl = {.s = s, .pool = t->worker->pool, .now = now};
    struct cw_worker *best = NULL;

    if (!cw_plan_collect_candidates(&pl)) {
        return NULL;
    }
    for (size_t i = 0; i < pl.candidate_count; i++) {
        struct cw_worker *w = pl.candidates[i].worker;

        if (w != t->worker && !w->speed.slow && eligible(w, t, now) &&
            (best == NULL || score_worker(w, t) > score_worker(best, t))) {
            best = w;
        }
    }
    free(pl.candidates);
    return best;
}

void
cw_plan_start_copy(struct cw_sched *s, struct cw_task *t, struct cw_worker *to,
                   cw_ms now)
{
    order_start(s, t, to, t->run + 1, now);
}

/* Number of the step's tasks that the worker can take once its batch tasks
 * have ended, 0 when it accepts none. */
static uint32_t
reservable_tasks(const struct cw_worker *w, const struct cw_task *t, cw_ms now)
{
    const struct cw_step *st = cw_task_step(t);
    struct cw_resources room;
    uint32_t n;
    uint32_t there;

    if (!accepts_tasks(w, now) || w->reserved || avoids(w, t, now) ||
        !cw_worker_within_ramp(w, t, now)) {
        return 0;
    }
    room = cw_worker_room_after_batch(w);
    n = cw_step_tasks_in_room(st, &room, w->labels, w->label_count);
    there = st->max_per_worker == 0 ? 0 : count_step_tasks(w, t);
    return n > there ? n - there : 0;
}

/* Reserves the worker with the least memory in use. Returns the number of the
 * step's tasks that it can take. */
static uint32_t
reserve_worker(struct cw_pool *p, const struct cw_task *t, cw_ms now)
{
    struct cw_worker *best = NULL;
    uint32_t n;

    for (struct cw_worker *w = p->workers; w != NULL; w = w->next) {
        if ((best == NULL || w->used.memory_mb < best->used.memory_mb) &&
            reservable_tasks(w, t, now) > 0) {
            best = w;
        }
    }
    CW_INVARIANT(best != NULL); /* can_reserve found them */
    n = reservable_tasks(best, t, now);
    best->reserved = true;
    p->has_reserved = true;
    return n;
}

/* The pool can run so many of the step's tasks together once its batch tasks
 * have ended. */
static bool
can_reserve(const struct cw_pool *p, const struct cw_task *t, uint32_t count,
            cw_ms now)
{
    uint32_t n = 0;

    for (const struct cw_worker *w = p->workers; w != NULL && n < count;
         w = w->next) {
        uint32_t more = reservable_tasks(w, t, now);

        n = more < count - n ? n + more : count;
    }
    return n >= count;
}

void
cw_plan_reserve(struct cw_pool *p, const struct cw_ready_step *rs,
                const struct cw_task *unplaced, cw_ms now)
{
    uint32_t left = cw_task_step(unplaced)->gang ? rs->count : 1;

    /* What the pool cannot run as it is would hold its workers back until
     * another one comes, and that may never be. */
    if (!can_reserve(p, unplaced, left, now)) {
        return;
    }
    while (left > 0) {
        uint32_t n = reserve_worker(p, unplaced, now);

        left = n < left ? left - n : 0;
    }
}
