/* Which task starts next, and on which worker. */
#include "cw_jobs_int.h"

#include <stdlib.h>
#include <string.h>

/* Credit ends at this many times the objective. */
#define LATE_FACTOR 3
/* A job that waited this long holds a worker free for its widest task, so
 * that small jobs do not pass it for ever. */
#define STARVED_MS 1500

/* The tasks of one step that may start. */
struct unit {
    struct cw_job_run *job;
    struct cw_task *first; /* of the step's tasks in this occurrence */
    uint32_t count;
    int tier;
    cw_ms order;
};

/* Order of jobs: lasting work, jobs that can still be in time, the earliest
 * objective first; then jobs that are late and earn less, by arrival; then
 * those that earn nothing any more. */
enum { TIER_LASTING, TIER_IN_TIME, TIER_LATE, TIER_LAST };

static void
rank_unit(const struct cw_sched *s, struct unit *u, cw_ms now)
{
    const struct cw_job_run *j = u->job;
    cw_ms due = j->accepted;
    cw_ms objective = cw_job_objective_ms(j);

    if (cw_task_step(u->first)->lasting) {
        u->tier = TIER_LASTING;
        u->order = j->accepted;
        return;
    }
    if (j->spec.first_wall != 0) {
        due = j->spec.first_wall - s->wall_offset +
              (cw_ms)u->first->occurrence * j->spec.interval_ms;
    }
    if (now + cw_job_chain_ms(j, u->first->occurrence, true) <=
        due + objective) {
        u->tier = TIER_IN_TIME;
        u->order = due + objective;
    }
    else if (now <= due + LATE_FACTOR * objective) {
        u->tier = TIER_LATE;
        u->order = due;
    }
    else {
        u->tier = TIER_LAST;
        u->order = due;
    }
}

static int
unit_cmp(const void *a, const void *b)
{
    const struct unit *x = a;
    const struct unit *y = b;

    if (x->tier != y->tier) {
        return x->tier < y->tier ? -1 : 1;
    }
    if (x->tier == TIER_IN_TIME &&
        x->job->spec.rules.priority != y->job->spec.rules.priority) {
        return x->job->spec.rules.priority < y->job->spec.rules.priority ? -1
                                                                         : 1;
    }
    if (x->order != y->order) {
        return x->order < y->order ? -1 : 1;
    }
    return x->job->id < y->job->id ? -1 : x->job->id > y->job->id;
}

static struct cw_task *
first_waiting(const struct unit *u)
{
    for (uint32_t i = 0; i < u->count; i++) {
        if (u->first[i].state == CW_RUN_WAITING) {
            return &u->first[i];
        }
    }
    return NULL;
}

/* Collects the units of a job that may start; returns how many. */
static size_t
job_units(const struct cw_sched *s, struct cw_job_run *j, cw_ms now,
          struct unit *out, size_t room)
{
    size_t n = 0;
    size_t at = 0;

    while (at < j->task_count && n < room) {
        struct unit u = {.job = j, .first = &j->tasks[at]};

        u.count = cw_task_step(u.first)->count;
        at += u.count;
        if (first_waiting(&u) != NULL && cw_task_ready(s, u.first, now)) {
            rank_unit(s, &u, now);
            out[n++] = u;
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
of_step(const struct cw_worker *w, const struct cw_task *t)
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
takes_work(const struct cw_worker *w, cw_ms now)
{
    return w->state == CW_WORKER_READY && !w->cordoned && w->contacted &&
           w->clock_at != 0 && now >= w->retry_at &&
           cw_worker_health_usable(&w->health, now);
}

static bool
eligible(const struct cw_worker *w, const struct cw_task *t, cw_ms now)
{
    const struct cw_step *st = cw_task_step(t);

    return takes_work(w, now) && !w->reserved &&
           cw_has_label(w->labels, w->label_count, &st->required_label) &&
           fits(w, st) &&
           (st->max_per_worker == 0 || of_step(w, t) < st->max_per_worker);
}

bool
cw_sched_room_elsewhere(const struct cw_task *t, bool busy, cw_ms now)
{
    const struct cw_pool *p = t->worker->pool;

    for (const struct cw_worker *w = p->workers; w != NULL; w = w->next) {
        if (w != t->worker && !w->upkeep_due && eligible(w, t, now) &&
            (!busy || w->task_count > 0)) {
            return true;
        }
    }
    return false;
}

static uint32_t
serving_tasks(const struct cw_worker *w)
{
    uint32_t n = 0;

    for (const struct cw_task *t = w->tasks; t != NULL; t = t->next) {
        n += cw_task_step(t)->target_ms > 0 ? 1 : 0;
    }
    return n;
}

/* Higher is better. Batch work fills workers that are busy already, so that
 * others fall idle and can move to another pool; backfill work keeps away from
 * tasks with a latency target and the other way round. */
static double
score(const struct cw_worker *w, const struct cw_task *t)
{
    const struct cw_step *st = cw_task_step(t);
    double full = w->capacity.cpu_milli == 0
                      ? 1
                      : (double)w->used.cpu_milli / w->capacity.cpu_milli;
    double v = full + (w->task_count > 0 ? 1 : 0);

    if (st->backfill) {
        v = (w->task_count > 0 ? 0.5 : 0) - full - 2.0 * w->backfill_count -
            3.0 * serving_tasks(w);
    }
    else if (st->target_ms > 0) {
        v -= 3.0 * w->backfill_count;
    }
    if (st->lasting && w->upkeep_due) {
        v -= 5;
    }
    if (st->data_rack.len > 0 && cw_name_eq(&st->data_rack, &w->rack)) {
        v += 10;
    }
    if (cw_name_eq(&t->avoid, &w->id)) {
        v -= 20;
    }
    return v;
}

static struct cw_worker *
choose(const struct cw_pool *p, const struct cw_task *t, cw_ms now,
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
        v = score(w, t);
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
    struct cw_job_run *j = t->job;

    t->run = run;
    t->state = CW_RUN_ORDERED;
    t->since = now;
    t->order_batch = s->batch;
    cw_task_place(t, w);
    cw_worker_health_task_assigned(&w->health);
    t->unsent = s->unsent;
    s->unsent = t;
    j->started = true;
    if (j->state == CW_JOB_QUEUED) {
        j->state = CW_JOB_RUNNING;
    }
    cw_job_touch(s, j);
}

/* Places all members at once, or none. */
static bool
place_gang(struct cw_sched *s, struct cw_pool *p, struct unit *u, cw_ms now,
           const struct cw_name *rack)
{
    uint32_t run = 0;
    uint32_t placed = 0;

    for (uint32_t i = 0; i < u->count; i++) {
        if (u->first[i].state != CW_RUN_WAITING) {
            return true; /* members of the last run still end */
        }
        if (u->first[i].run > run) {
            run = u->first[i].run;
        }
    }
    while (placed < u->count) {
        struct cw_task *t = &u->first[placed];
        struct cw_worker *w = choose(p, t, now, rack);

        if (w == NULL) {
            break;
        }
        cw_task_place(t, w);
        placed++;
    }
    for (uint32_t i = 0; i < placed; i++) {
        struct cw_task *t = &u->first[i];
        struct cw_worker *w = t->worker;

        cw_task_release(s, t, now);
        if (placed == u->count) {
            order_start(s, t, w, run + 1, now);
        }
    }
    return placed == u->count;
}

static bool
place_same_rack(struct cw_sched *s, struct cw_pool *p, struct unit *u,
                cw_ms now)
{
    for (struct cw_worker *w = p->workers; w != NULL; w = w->next) {
        if (takes_work(w, now) && place_gang(s, p, u, now, &w->rack)) {
            return true;
        }
    }
    return place_gang(s, p, u, now, NULL);
}

/* The least need that found no room in this plan. */
struct no_room {
    bool known;
    struct cw_demand_res need;
};

static bool
hopeless(const struct no_room *r, const struct cw_step *st)
{
    return r->known && !st->backfill &&
           st->need.cpu_milli >= r->need.cpu_milli &&
           st->need.memory_mb >= r->need.memory_mb &&
           st->need.accelerators >= r->need.accelerators;
}

static void
note_no_room(struct no_room *r, const struct cw_step *st)
{
    if (!st->backfill && !st->gang && st->max_per_worker == 0 &&
        st->required_label.len == 0 &&
        (!r->known || hopeless(&(struct no_room){true, st->need},
                               &(struct cw_step){.need = r->need}))) {
        *r = (struct no_room){true, st->need};
    }
}

/* Returns the first task that found no worker, or NULL. */
static struct cw_task *
place_unit(struct cw_sched *s, struct cw_pool *p, struct unit *u, cw_ms now)
{
    if (cw_task_step(u->first)->gang) {
        bool ok = cw_task_step(u->first)->same_rack
                      ? place_same_rack(s, p, u, now)
                      : place_gang(s, p, u, now, NULL);

        return ok ? NULL : u->first;
    }
    for (uint32_t i = 0; i < u->count; i++) {
        struct cw_task *t = &u->first[i];
        struct cw_worker *w;

        if (t->state != CW_RUN_WAITING) {
            continue;
        }
        w = choose(p, t, now, NULL);
        if (w == NULL) {
            return t;
        }
        order_start(s, t, w, t->run + 1, now);
    }
    return NULL;
}

/* Keeps the worker with the most free room for a task that waits for it. */
static const struct cw_worker *
reserve(struct cw_pool *p, const struct cw_task *t, cw_ms now)
{
    const struct cw_step *st = cw_task_step(t);
    struct cw_worker *best = NULL;

    for (struct cw_worker *w = p->workers; w != NULL; w = w->next) {
        if (!takes_work(w, now) || w->reserved ||
            !cw_has_label(w->labels, w->label_count, &st->required_label) ||
            w->capacity.cpu_milli < st->need.cpu_milli ||
            w->capacity.memory_mb < st->need.memory_mb ||
            (st->max_per_worker > 0 && of_step(w, t) >= st->max_per_worker)) {
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

/* A gang needs room for all its members at once. */
static void
reserve_unit(struct cw_pool *p, const struct unit *u,
             const struct cw_task *left, cw_ms now)
{
    const struct cw_step *st = cw_task_step(left);
    uint64_t cpu = st->gang ? (uint64_t)u->count * st->need.cpu_milli : 0;
    uint64_t kept = 0;

    do {
        const struct cw_worker *w = reserve(p, left, now);

        if (w == NULL) {
            return;
        }
        /* Whole members only fit. */
        kept += st->need.cpu_milli == 0
                    ? cpu
                    : w->capacity.cpu_milli / st->need.cpu_milli *
                          st->need.cpu_milli;
    } while (kept < cpu);
}

/* A task that waits longer than this is named in the log, with the reason for
 * each worker that did not take it. */
#define STUCK_MS 2000
#define STUCK_LOG_MS 1000

static void
log_stuck(struct cw_pool *p, const struct cw_task *t, cw_ms now)
{
    uint32_t no_contact = 0;
    uint32_t cordoned = 0;
    uint32_t paused = 0;
    uint32_t unwell = 0;
    uint32_t reserved = 0;
    uint32_t full = 0;

    if (now - t->ready_at < STUCK_MS || now - p->stuck_logged < STUCK_LOG_MS) {
        return;
    }
    p->stuck_logged = now;
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
    size_t room = 0;
    size_t n = 0;
    struct unit *units;
    struct no_room full = {0};

    for (struct cw_job_run *j = p->jobs; j != NULL; j = j->next) {
        room += j->spec.step_count * j->spec.repeats;
    }
    if (room == 0) {
        return;
    }
    units = calloc(room, sizeof(*units));
    if (units == NULL) {
        return;
    }
    for (struct cw_job_run *j = p->jobs; j != NULL; j = j->next) {
        n += job_units(s, j, now, units + n, room - n);
    }
    qsort(units, n, sizeof(*units), unit_cmp);
    for (struct cw_worker *w = p->workers; w != NULL; w = w->next) {
        w->reserved = false;
    }
    for (size_t i = 0; i < n; i++) {
        const struct cw_step *st = cw_task_step(units[i].first);
        struct cw_task *left = hopeless(&full, st)
                                   ? first_waiting(&units[i])
                                   : place_unit(s, p, &units[i], now);

        if (left == NULL) {
            continue;
        }
        note_no_room(&full, st);
        if (units[i].tier == TIER_LASTING ||
            now - left->ready_at > STARVED_MS) {
            reserve_unit(p, &units[i], left, now);
        }
        log_stuck(p, left, now);
    }
    free(units);
}

void
cw_sched_plan(struct cw_sched *s, cw_ms now)
{
    for (struct cw_pool *p = s->pool_list; p != NULL; p = p->next) {
        plan_pool(s, p, now);
    }
    /* Also what the trial placement of gangs set. */
    s->plan_due = false;
}

/* The job lasts, or can still be finished within its objective. */
static bool
job_urgent(const struct cw_job_run *j, cw_ms now)
{
    return j->lasting || j->spec.first_wall != 0 ||
           now + cw_job_chain_ms(j, 0, true) <=
               j->accepted + cw_job_objective_ms(j);
}

static void
add_need(struct cw_demand_sum *sum, const struct cw_step *st)
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
    for (const struct cw_job_run *j = p->jobs; j != NULL; j = j->next) {
        bool urgent = job_urgent(j, now);

        for (size_t i = 0; i < j->task_count; i++) {
            const struct cw_task *t = &j->tasks[i];

            if (t->state == CW_RUN_WAITING && cw_task_ready(s, t, now)) {
                add_need(&l.waiting, cw_task_step(t));
                if (urgent) {
                    add_need(&l.urgent, cw_task_step(t));
                }
                l.lasting_waits |= cw_task_step(t)->lasting;
                if (now - t->ready_at > l.waits_ms) {
                    l.waits_ms = now - t->ready_at;
                }
                if (cw_task_step(t)->required_label.len > 0 &&
                    now - t->ready_at > l.label_waits_ms) {
                    l.label_waits_ms = now - t->ready_at;
                    l.label = cw_task_step(t)->required_label;
                }
            }
        }
    }
    return l;
}
