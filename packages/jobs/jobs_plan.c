/* Decides which tasks start next, and on which workers. */
#include "cw_jobs_int.h"

#include <stdlib.h>
#include <string.h>

/* A job earns no credit after this many times its objective. */
#define NO_CREDIT_FACTOR 3
/* A worker is reserved for a task that has waited this long, so that smaller
 * tasks do not overtake it for ever. */
#define STARVATION_MS 1500
/* While tasks wait, a pool is planned again after this time, as the pauses of
 * its workers and the due times of its jobs pass without an event. */
#define REPLAN_MS 100

/* A step of one occurrence whose tasks may start. */
struct ready_step {
    struct cw_job_entry *job;
    struct cw_task *first; /* the step's tasks in this occurrence .. */
    uint32_t count;        /* .. and their number */
    int tier;
    cw_ms sort_key;
};

/* Order of steps: lasting ones; then those of jobs that can still meet their
 * objective, by queue priority and earliest objective; then those of late jobs
 * that earn reduced credit, by due time; then those of jobs that no longer
 * earn any. */
enum { TIER_LASTING, TIER_IN_TIME, TIER_LATE, TIER_NO_CREDIT };

static void
rank_ready_step(const struct cw_sched *s, struct ready_step *rs, cw_ms now)
{
    const struct cw_job_entry *j = rs->job;
    cw_ms due = j->accepted;
    cw_ms objective = cw_job_objective_ms(j);

    if (cw_task_step(rs->first)->lasting) {
        rs->tier = TIER_LASTING;
        rs->sort_key = j->accepted;
        return;
    }
    if (j->spec.first_wall != 0) {
        due = j->spec.first_wall - s->wall_offset +
              (cw_ms)rs->first->occurrence * j->spec.interval_ms;
    }
    if (now + cw_job_critical_path_ms(j, rs->first->occurrence, true) <=
        due + objective) {
        rs->tier = TIER_IN_TIME;
        rs->sort_key = due + objective;
    }
    else if (now <= due + NO_CREDIT_FACTOR * objective) {
        rs->tier = TIER_LATE;
        rs->sort_key = due;
    }
    else {
        rs->tier = TIER_NO_CREDIT;
        rs->sort_key = due;
    }
}

static int
ready_step_cmp(const void *a, const void *b)
{
    const struct ready_step *x = a;
    const struct ready_step *y = b;

    if (x->tier != y->tier) {
        return x->tier < y->tier ? -1 : 1;
    }
    if (x->tier == TIER_IN_TIME &&
        x->job->spec.rules.priority != y->job->spec.rules.priority) {
        return x->job->spec.rules.priority < y->job->spec.rules.priority ? -1
                                                                         : 1;
    }
    if (x->sort_key != y->sort_key) {
        return x->sort_key < y->sort_key ? -1 : 1;
    }
    return x->job->id < y->job->id ? -1 : x->job->id > y->job->id;
}

static struct cw_task *
first_waiting(const struct ready_step *rs)
{
    for (uint32_t i = 0; i < rs->count; i++) {
        if (rs->first[i].state == CW_RUN_WAITING) {
            return &rs->first[i];
        }
    }
    return NULL;
}

/* Collects the steps of a job that may start; returns how many. */
static size_t
job_ready_steps(const struct cw_sched *s, struct cw_job_entry *j, cw_ms now,
                struct ready_step *out, size_t max)
{
    size_t n = 0;
    size_t next = 0;

    while (next < j->task_count && n < max) {
        struct ready_step rs = {.job = j, .first = &j->tasks[next]};

        rs.count = cw_task_step(rs.first)->count;
        next += rs.count;
        if (cw_task_ready(s, rs.first, now) && first_waiting(&rs) != NULL) {
            rank_ready_step(s, &rs, now);
            out[n++] = rs;
        }
    }
    return n;
}

/* ---- the choice of a worker ---- */

static bool
fits(const struct cw_worker *w, const struct cw_step *st)
{
    uint32_t cpu = st->backfill ? 0 : st->need.cpu_milli;

    return w->used.cpu_milli + cpu <= w->capacity.cpu_milli &&
           w->used.memory_mb + st->need.memory_mb <= w->capacity.memory_mb &&
           w->used.accelerators + st->need.accelerators <=
               w->capacity.accelerators;
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

static bool
accepts_tasks(const struct cw_worker *w, cw_ms now)
{
    return w->state == CW_WORKER_READY && !w->cordoned && w->contacted &&
           !w->has_strays && w->clock_at != 0 && now >= w->retry_at &&
           cw_worker_health_usable(&w->health, now);
}

static bool
eligible(const struct cw_worker *w, const struct cw_task *t, cw_ms now)
{
    const struct cw_step *st = cw_task_step(t);

    return accepts_tasks(w, now) && !w->reserved &&
           cw_has_label(w->labels, w->label_count, &st->required_label) &&
           fits(w, st) &&
           (st->max_per_worker == 0 ||
            count_step_tasks(w, t) < st->max_per_worker);
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
    if (cw_name_eq(&t->avoid_worker, &w->id)) {
        v -= 20;
    }
    return v;
}

/* A worker that accepts tasks, with the figures that exclude most workers in
 * little memory: a pool may have hundreds, and a plan places hundreds of
 * tasks. */
struct candidate {
    uint32_t free_cpu;
    uint32_t free_mb;
    struct cw_worker *worker;
};

struct plan {
    struct cw_sched *s;
    struct cw_pool *pool;
    cw_ms now;
    struct candidate *candidates; /* in the order of the pool's list */
    size_t candidate_count;
};

static void
refresh_candidate(struct candidate *c)
{
    const struct cw_worker *w = c->worker;

    c->free_cpu = w->used.cpu_milli < w->capacity.cpu_milli
                      ? w->capacity.cpu_milli - w->used.cpu_milli
                      : 0;
    c->free_mb = w->used.memory_mb < w->capacity.memory_mb
                     ? w->capacity.memory_mb - w->used.memory_mb
                     : 0;
}

static bool
collect_candidates(struct plan *pl)
{
    struct cw_pool *p = pl->pool;

    pl->candidates = malloc((p->worker_count + 1) * sizeof(*pl->candidates));
    if (pl->candidates == NULL) {
        return false;
    }
    for (struct cw_worker *w = p->workers; w != NULL; w = w->next) {
        if (accepts_tasks(w, pl->now)) {
            struct candidate *c = &pl->candidates[pl->candidate_count++];

            c->worker = w;
            refresh_candidate(c);
        }
    }
    return true;
}

/* The best worker for a task, or NULL; rack: only workers there. */
static struct candidate *
choose_worker(const struct plan *pl, const struct cw_task *t,
              const struct cw_name *rack)
{
    const struct cw_step *st = cw_task_step(t);
    uint32_t cpu = st->backfill ? 0 : st->need.cpu_milli;
    struct candidate *best = NULL;
    double best_score = 0;

    for (size_t i = 0; i < pl->candidate_count; i++) {
        struct candidate *c = &pl->candidates[i];
        double v;

        if (c->free_cpu < cpu || c->free_mb < st->need.memory_mb ||
            !eligible(c->worker, t, pl->now) ||
            (rack != NULL && !cw_name_eq(rack, &c->worker->rack))) {
            continue;
        }
        v = score_worker(c->worker, t);
        if (best == NULL || v > best_score) {
            best = c;
            best_score = v;
        }
    }
    return best;
}

/* The worker of a step's previous task remains the best one for the next task
 * while it has capacity: its score has only increased. */
static struct candidate *
choose_next_worker(const struct plan *pl, const struct cw_task *t,
                   struct candidate *last)
{
    if (last != NULL && !cw_task_step(t)->backfill &&
        t->avoid_worker.len == 0 && eligible(last->worker, t, pl->now)) {
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
    t->proved = false;
    cw_worker_lease_planned(s, w, now);
    cw_task_place(t, w);
    cw_worker_health_task_assigned(&w->health);
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
place_gang(struct plan *pl, struct ready_step *rs, const struct cw_name *rack)
{
    uint32_t run = 0;
    uint32_t placed = 0;
    struct candidate **chosen = calloc(rs->count, sizeof(void *));

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
place_same_rack(struct plan *pl, struct ready_step *rs)
{
    const struct cw_name *tried = NULL;

    for (size_t i = 0; i < pl->candidate_count; i++) {
        const struct cw_name *rack = &pl->candidates[i].worker->rack;

        if (tried != NULL && cw_name_eq(tried, rack)) {
            continue;
        }
        tried = rack;
        if (place_gang(pl, rs, rack)) {
            return true;
        }
    }
    return place_gang(pl, rs, NULL);
}

/* The smallest need that fitted no worker in this plan. */
struct min_unplaced {
    bool known;
    struct cw_resources need;
};

static bool
cannot_fit(const struct min_unplaced *r, const struct cw_step *st)
{
    return r->known && !st->backfill &&
           st->need.cpu_milli >= r->need.cpu_milli &&
           st->need.memory_mb >= r->need.memory_mb &&
           st->need.accelerators >= r->need.accelerators;
}

static void
record_unplaced(struct min_unplaced *r, const struct cw_step *st)
{
    if (!st->backfill && !st->gang && st->max_per_worker == 0 &&
        st->required_label.len == 0 &&
        (!r->known || cannot_fit(&(struct min_unplaced){true, st->need},
                                 &(struct cw_step){.need = r->need}))) {
        *r = (struct min_unplaced){true, st->need};
    }
}

/* Returns the first task that found no worker, or NULL. */
static struct cw_task *
place_ready_step(struct plan *pl, struct ready_step *rs)
{
    struct candidate *c = NULL;

    if (cw_task_step(rs->first)->gang) {
        bool ok = cw_task_step(rs->first)->same_rack
                      ? place_same_rack(pl, rs)
                      : place_gang(pl, rs, NULL);

        return ok ? NULL : rs->first;
    }
    for (uint32_t i = 0; i < rs->count; i++) {
        struct cw_task *t = &rs->first[i];

        if (t->state != CW_RUN_WAITING) {
            continue;
        }
        c = choose_next_worker(pl, t, c);
        if (c == NULL) {
            return t;
        }
        order_start(pl->s, t, c->worker, t->run + 1, pl->now);
        refresh_candidate(c);
    }
    return NULL;
}

/* Reserves the eligible worker with the least memory in use for a waiting
 * task. */
static const struct cw_worker *
reserve_worker(struct cw_pool *p, const struct cw_task *t, cw_ms now)
{
    const struct cw_step *st = cw_task_step(t);
    struct cw_worker *best = NULL;

    for (struct cw_worker *w = p->workers; w != NULL; w = w->next) {
        if (!accepts_tasks(w, now) || w->reserved ||
            !cw_has_label(w->labels, w->label_count, &st->required_label) ||
            w->capacity.cpu_milli < st->need.cpu_milli ||
            w->capacity.memory_mb < st->need.memory_mb ||
            (st->max_per_worker > 0 &&
             count_step_tasks(w, t) >= st->max_per_worker)) {
            continue;
        }
        if (best == NULL || w->used.memory_mb < best->used.memory_mb) {
            best = w;
        }
    }
    if (best != NULL) {
        best->reserved = true;
        p->has_reserved = true;
    }
    return best;
}

/* Reserves workers for a task, or for all members of its gang. */
static void
reserve_workers(struct cw_pool *p, const struct ready_step *rs,
                const struct cw_task *unplaced, cw_ms now)
{
    const struct cw_step *st = cw_task_step(unplaced);
    uint64_t cpu = st->gang ? (uint64_t)rs->count * st->need.cpu_milli : 0;
    uint64_t kept = 0;

    do {
        const struct cw_worker *w = reserve_worker(p, unplaced, now);

        if (w == NULL) {
            return;
        }
        /* A member cannot be split over workers. */
        kept += st->need.cpu_milli == 0
                    ? cpu
                    : w->capacity.cpu_milli / st->need.cpu_milli *
                          st->need.cpu_milli;
    } while (kept < cpu);
}

/* A task that waits longer than this is logged, with the number of workers for
 * each reason not to choose them. */
#define WAIT_LOG_AFTER_MS 2000
#define WAIT_LOG_INTERVAL_MS 1000

static void
log_waiting_task(struct cw_pool *p, const struct cw_task *t, cw_ms now)
{
    uint32_t no_contact = 0;
    uint32_t cordoned = 0;
    uint32_t paused = 0;
    uint32_t unwell = 0;
    uint32_t reserved = 0;
    uint32_t full = 0;

    if (now - t->ready_at < WAIT_LOG_AFTER_MS ||
        now - p->wait_logged_at < WAIT_LOG_INTERVAL_MS) {
        return;
    }
    p->wait_logged_at = now;
    for (const struct cw_worker *w = p->workers; w != NULL; w = w->next) {
        if (w->state != CW_WORKER_READY || !w->contacted) {
            no_contact++;
        }
        else if (w->cordoned) {
            cordoned++;
        }
        else if (now < w->retry_at) {
            paused++;
        }
        else if (!cw_worker_health_usable(&w->health, now)) {
            unwell++;
        }
        else if (w->reserved) {
            reserved++;
        }
        else {
            full++;
        }
    }
    cw_log(CW_INFO, "task_waits",
           "job=%016llx task=%u.%u.%u service=%s ms=%lld cpu=%u memory_mb=%u "
           "label=%s gang=%d same_rack=%d of=%u workers=%u no_contact=%u "
           "cordoned=%u paused=%u unwell=%u "
           "reserved=%u full=%u",
           (unsigned long long)t->job->id, t->occurrence, t->step, t->index,
           p->service.text, (long long)(now - t->ready_at),
           cw_task_step(t)->need.cpu_milli, cw_task_step(t)->need.memory_mb,
           cw_task_step(t)->required_label.text, cw_task_step(t)->gang,
           cw_task_step(t)->same_rack, cw_task_step(t)->count, p->worker_count,
           no_contact, cordoned, paused, unwell, reserved, full);
}

/* The pool is planned again at a time, or earlier. */
static void
replan_at(struct cw_pool *p, cw_ms at)
{
    if (p->replan_at == 0 || at < p->replan_at) {
        p->replan_at = at;
    }
}

/* Occurrences become due without an event. */
static void
replan_at_next_due(const struct cw_sched *s, struct cw_pool *p,
                   const struct cw_job_entry *j, cw_ms now)
{
    cw_ms due = j->spec.first_wall - s->wall_offset;

    if (j->spec.first_wall == 0) {
        return;
    }
    if (due <= now && j->spec.interval_ms > 0) {
        due += ((now - due) / j->spec.interval_ms + 1) * j->spec.interval_ms;
    }
    if (due > now) {
        replan_at(p, due);
    }
}

/* Collects the steps of a pool that may start; returns how many. *out is
 * allocated, or NULL when there is none. */
static size_t
pool_ready_steps(const struct cw_sched *s, struct cw_pool *p, cw_ms now,
                 struct ready_step **out)
{
    size_t max = 0;
    size_t n = 0;

    *out = NULL;
    for (struct cw_job_entry *j = p->jobs; j != NULL; j = j->next) {
        if (j->waiting_count > 0) {
            max += j->spec.step_count * j->spec.repeats;
            replan_at_next_due(s, p, j, now);
        }
    }
    if (max == 0) {
        return 0;
    }
    *out = malloc(max * sizeof(**out));
    if (*out == NULL) {
        replan_at(p, now + REPLAN_MS);
        return 0;
    }
    for (struct cw_job_entry *j = p->jobs; j != NULL; j = j->next) {
        if (j->waiting_count > 0) {
            n += job_ready_steps(s, j, now, *out + n, max - n);
        }
    }
    if (n > 0) {
        qsort(*out, n, sizeof(**out), ready_step_cmp);
    }
    return n;
}

static void
clear_reservations(struct cw_pool *p)
{
    for (struct cw_worker *w = p->has_reserved ? p->workers : NULL; w != NULL;
         w = w->next) {
        w->reserved = false;
    }
    p->has_reserved = false;
}

static void
plan_pool(struct cw_sched *s, struct cw_pool *p, cw_ms now)
{
    struct plan pl = {.s = s, .pool = p, .now = now};
    struct ready_step *steps;
    struct min_unplaced smallest = {0};
    size_t n;

    p->replan_at = 0;
    clear_reservations(p);
    n = pool_ready_steps(s, p, now, &steps);
    if (n > 0 && !collect_candidates(&pl)) {
        replan_at(p, now + REPLAN_MS);
        n = 0;
    }
    for (size_t i = 0; i < n; i++) {
        const struct cw_step *st = cw_task_step(steps[i].first);
        struct cw_task *unplaced = cannot_fit(&smallest, st)
                                       ? first_waiting(&steps[i])
                                       : place_ready_step(&pl, &steps[i]);

        if (unplaced == NULL) {
            continue;
        }
        replan_at(p, now + REPLAN_MS);
        record_unplaced(&smallest, st);
        if (steps[i].tier == TIER_LASTING ||
            now - unplaced->ready_at > STARVATION_MS) {
            reserve_workers(p, &steps[i], unplaced, now);
        }
        log_waiting_task(p, unplaced, now);
    }
    free(pl.candidates);
    free(steps);
}

void
cw_pool_plan_soon(struct cw_sched *s, struct cw_pool *p)
{
    p->plan_due = true;
    s->plan_due = true;
}

void
cw_sched_wake_pools(struct cw_sched *s, cw_ms now)
{
    for (struct cw_pool *p = s->pool_list; p != NULL; p = p->next) {
        if (p->replan_at != 0 && now >= p->replan_at) {
            cw_pool_plan_soon(s, p);
        }
    }
}

void
cw_sched_plan(struct cw_sched *s, cw_ms now)
{
    cw_sched_wake_pools(s, now);
    for (struct cw_pool *p = s->pool_list; p != NULL; p = p->next) {
        if (p->plan_due) {
            plan_pool(s, p, now);
            /* Also resets what the trial placement of gangs has set. */
            p->plan_due = false;
        }
    }
    s->plan_due = false;
}
