/* Decides which tasks start next, and on which workers. */
#include "cw_jobs_int.h"

#include <stdlib.h>
#include <string.h>

/* A job earns no credit after this many times its objective. */
#define NO_CREDIT_FACTOR 3
/* A worker is reserved for a task that has waited this long, so that smaller
 * tasks do not overtake it for ever. */
#define STARVATION_MS 1500

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
        if (first_waiting(&rs) != NULL && cw_task_ready(s, rs.first, now)) {
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
           w->clock_at != 0 && now >= w->retry_at &&
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

static struct cw_worker *
choose_worker(const struct cw_pool *p, const struct cw_task *t, cw_ms now,
              const struct cw_name *rack)
{
    struct cw_worker *best = NULL;
    double best_score = 0;

    for (struct cw_worker *w = p->workers; w != NULL; w = w->next) {
        double v;

        if (!eligible(w, t, now) ||
            (rack != NULL && !cw_name_eq(rack, &w->rack))) {
            continue;
        }
        v = score_worker(w, t);
        if (best == NULL || v > best_score) {
            best = w;
            best_score = v;
        }
    }
    return best;
}

/* ---- starts ---- */

static void
order_start(struct cw_sched *s, struct cw_task *t, struct cw_worker *w,
            uint32_t run, cw_ms now)
{
    struct cw_job_entry *j = t->job;

    t->run = run;
    t->state = CW_RUN_STARTING;
    t->state_since = now;
    t->order_batch = s->batch;
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
place_gang(struct cw_sched *s, struct cw_pool *p, struct ready_step *rs,
           cw_ms now, const struct cw_name *rack)
{
    uint32_t run = 0;
    uint32_t placed = 0;

    for (uint32_t i = 0; i < rs->count; i++) {
        if (rs->first[i].state != CW_RUN_WAITING) {
            return true; /* members of the last run are still ending */
        }
        if (rs->first[i].run > run) {
            run = rs->first[i].run;
        }
    }
    while (placed < rs->count) {
        struct cw_task *t = &rs->first[placed];
        struct cw_worker *w = choose_worker(p, t, now, rack);

        if (w == NULL) {
            break;
        }
        cw_task_place(t, w);
        placed++;
    }
    for (uint32_t i = 0; i < placed; i++) {
        struct cw_task *t = &rs->first[i];
        struct cw_worker *w = t->worker;

        cw_task_unplace(s, t, now);
        if (placed == rs->count) {
            order_start(s, t, w, run + 1, now);
        }
    }
    return placed == rs->count;
}

static bool
place_same_rack(struct cw_sched *s, struct cw_pool *p, struct ready_step *rs,
                cw_ms now)
{
    for (struct cw_worker *w = p->workers; w != NULL; w = w->next) {
        if (accepts_tasks(w, now) && place_gang(s, p, rs, now, &w->rack)) {
            return true;
        }
    }
    return place_gang(s, p, rs, now, NULL);
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
place_ready_step(struct cw_sched *s, struct cw_pool *p, struct ready_step *rs,
                 cw_ms now)
{
    if (cw_task_step(rs->first)->gang) {
        bool ok = cw_task_step(rs->first)->same_rack
                      ? place_same_rack(s, p, rs, now)
                      : place_gang(s, p, rs, now, NULL);

        return ok ? NULL : rs->first;
    }
    for (uint32_t i = 0; i < rs->count; i++) {
        struct cw_task *t = &rs->first[i];
        struct cw_worker *w;

        if (t->state != CW_RUN_WAITING) {
            continue;
        }
        w = choose_worker(p, t, now, NULL);
        if (w == NULL) {
            return t;
        }
        order_start(s, t, w, t->run + 1, now);
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

static void
plan_pool(struct cw_sched *s, struct cw_pool *p, cw_ms now)
{
    size_t max = 0;
    size_t n = 0;
    struct ready_step *steps;
    struct min_unplaced smallest = {0};

    for (struct cw_job_entry *j = p->jobs; j != NULL; j = j->next) {
        max += j->spec.step_count * j->spec.repeats;
    }
    if (max == 0) {
        return;
    }
    steps = calloc(max, sizeof(*steps));
    if (steps == NULL) {
        return;
    }
    for (struct cw_job_entry *j = p->jobs; j != NULL; j = j->next) {
        n += job_ready_steps(s, j, now, steps + n, max - n);
    }
    qsort(steps, n, sizeof(*steps), ready_step_cmp);
    for (struct cw_worker *w = p->workers; w != NULL; w = w->next) {
        w->reserved = false;
    }
    for (size_t i = 0; i < n; i++) {
        const struct cw_step *st = cw_task_step(steps[i].first);
        struct cw_task *unplaced =
            cannot_fit(&smallest, st) ? first_waiting(&steps[i])
                                      : place_ready_step(s, p, &steps[i], now);

        if (unplaced == NULL) {
            continue;
        }
        record_unplaced(&smallest, st);
        if (steps[i].tier == TIER_LASTING ||
            now - unplaced->ready_at > STARVATION_MS) {
            reserve_workers(p, &steps[i], unplaced, now);
        }
        log_waiting_task(p, unplaced, now);
    }
    free(steps);
}

void
cw_sched_plan(struct cw_sched *s, cw_ms now)
{
    for (struct cw_pool *p = s->pool_list; p != NULL; p = p->next) {
        plan_pool(s, p, now);
    }
    /* Also resets what the trial placement of gangs has set. */
    s->plan_due = false;
}

/* The job is lasting, has a due time, or can still meet its objective. */
static bool
job_urgent(const struct cw_job_entry *j, cw_ms now)
{
    return j->lasting || j->spec.first_wall != 0 ||
           now + cw_job_critical_path_ms(j, 0, true) <=
               j->accepted + cw_job_objective_ms(j);
}

static void
add_need(struct cw_resource_sum *sum, const struct cw_step *st)
{
    sum->cpu += st->backfill ? 0 : st->need.cpu_milli;
    sum->mb += st->need.memory_mb;
}

struct cw_pool_load
cw_pool_load(const struct cw_sched *s, const struct cw_pool *p, cw_ms now)
{
    struct cw_pool_load l = {0};

    for (const struct cw_worker *w = p->workers; w != NULL; w = w->next) {
        if (w->state != CW_WORKER_READY) {
            continue;
        }
        for (const struct cw_task *t = w->tasks; t != NULL; t = t->next) {
            add_need(&l.running, cw_task_step(t));
            if (cw_task_step(t)->lasting) {
                add_need(&l.lasting, cw_task_step(t));
            }
            if (!cw_job_ended(t->job) && job_urgent(t->job, now)) {
                add_need(&l.urgent, cw_task_step(t));
            }
        }
    }
    for (const struct cw_job_entry *j = p->jobs; j != NULL; j = j->next) {
        bool urgent = job_urgent(j, now);

        for (size_t i = 0; i < j->task_count; i++) {
            const struct cw_task *t = &j->tasks[i];

            if (t->state == CW_RUN_WAITING && cw_task_ready(s, t, now)) {
                add_need(&l.waiting, cw_task_step(t));
                if (urgent) {
                    add_need(&l.urgent, cw_task_step(t));
                }
                l.lasting_waits |= cw_task_step(t)->lasting;
                if (now - t->ready_at > l.longest_wait_ms) {
                    l.longest_wait_ms = now - t->ready_at;
                }
                if (cw_task_step(t)->required_label.len > 0 &&
                    now - t->ready_at > l.longest_label_wait_ms) {
                    l.longest_label_wait_ms = now - t->ready_at;
                    l.label = cw_task_step(t)->required_label;
                }
            }
        }
    }
    return l;
}
