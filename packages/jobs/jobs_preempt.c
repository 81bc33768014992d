/* The choice of tasks to preempt. */
#include "cw_plan_int.h"
#include "cw_preempt.h"
#include "cw_tenant.h"

#include <stdlib.h>

/* Share of a pool's processors that is preempted in a second at most. */
#define BUDGET_PER_SECOND 0.05
#define SLOT_MS 100 /* of the count of preempted processors */
/* A step that has just become ready often finds a worker by itself. */
#define WAITED_MIN_MS 200
/* A task is preempted for a job that has this much time left until it must
 * have a worker: less, and the stop, which takes some hundred ms, comes too
 * late; more, and running tasks, of which most take 0.7 to 2 s, may end in
 * time. */
#define SLACK_MIN_MS 300
#define SLACK_MAX_MS 1500
/* Tasks of one worker that are considered. */
#define WORKER_TASKS_MAX 128

/* Tasks of one worker whose end makes room for a waiting one. */
struct victim_set {
    struct cw_preempt_victim tasks[CW_PREEMPT_MAX];
    size_t count;
    uint64_t cpu;
    double cost; /* thousandths of a core x ms */
};

static cw_ms
progress_ms(const struct cw_sched *s, const struct cw_task *t, cw_ms now)
{
    cw_ms since = t->started_wall != 0 ? t->started_wall - s->wall_offset
                                       : t->state_since;

    if (t->checkpoint_at > since) {
        since = t->checkpoint_at;
    }
    return now > since ? now - since : 0;
}

static bool
may_be_preempted(const struct cw_task *t)
{
    const struct cw_step *st = cw_task_step(t);

    return t->state == CW_RUN_RUNNING && !t->preempted && !st->lasting &&
           !st->gang && !st->backfill && st->need.cpu_milli > 0 &&
           t->job->spec.rules.priority > 0 && !cw_job_ended(t->job);
}

static int
victim_cmp(const void *a, const void *b)
{
    const struct cw_preempt_victim *x = a;
    const struct cw_preempt_victim *y = b;

    return x->lost_ms < y->lost_ms ? -1 : x->lost_ms > y->lost_ms;
}

/* The tasks with the least progress that make room on the worker. False when
 * that is not possible. */
static bool
choose_on_worker(const struct cw_sched *s, const struct cw_worker *w,
                 const struct cw_step *need, cw_ms now, struct victim_set *out)
{
    struct cw_preempt_victim all[WORKER_TASKS_MAX];
    uint64_t cpu = w->used.cpu_milli;
    uint64_t mb = w->used.memory_mb;
    size_t n = 0;
    size_t next = 0;

    *out = (struct victim_set){0};
    for (struct cw_task *t = w->tasks; t != NULL && n < WORKER_TASKS_MAX;
         t = t->next) {
        if (may_be_preempted(t)) {
            all[n++] = (struct cw_preempt_victim){t, progress_ms(s, t, now)};
        }
    }
    qsort(all, n, sizeof(all[0]), victim_cmp);
    while (cpu + need->need.cpu_milli > w->capacity.cpu_milli ||
           mb + need->need.memory_mb > w->capacity.memory_mb) {
        const struct cw_step *st;

        if (next == n || out->count == CW_PREEMPT_MAX) {
            return false;
        }
        st = cw_task_step(all[next].task);
        cpu -= st->need.cpu_milli;
        mb -= st->need.memory_mb;
        out->cpu += st->need.cpu_milli;
        out->cost += (double)all[next].lost_ms * st->need.cpu_milli;
        out->tasks[out->count++] = all[next++];
    }
    return true;
}

/* The worker has a task among those chosen in this call, or accepts none. */
static bool
excludes(const struct cw_worker *w, const struct cw_preempt_victim *out,
         size_t n, cw_ms now)
{
    for (size_t i = 0; i < n; i++) {
        if (out[i].task->worker == w) {
            return true;
        }
    }
    return w->state != CW_WORKER_READY || w->cordoned || !w->contacted ||
           w->unanswered || w->has_strays ||
           !cw_worker_health_usable(&w->health, now);
}

/* Finds the tasks whose stop costs least. False when the step's task fits
 * somewhere without, or no stop within the budget makes room. */
static bool
choose_in_pool(const struct cw_sched *s, const struct cw_pool *p,
               const struct cw_step *st, cw_ms now,
               const struct cw_preempt_victim *chosen, size_t n,
               struct victim_set *best)
{
    struct victim_set v;

    *best = (struct victim_set){0};
    for (const struct cw_worker *w = p->workers; w != NULL; w = w->next) {
        if (excludes(w, chosen, n, now) ||
            !cw_has_label(w->labels, w->label_count, &st->required_label) ||
            w->used.accelerators + st->need.accelerators >
                w->capacity.accelerators ||
            !choose_on_worker(s, w, st, now, &v)) {
            continue;
        }
        if (v.count == 0) {
            return false;
        }
        if ((double)v.cpu <= p->preempt_budget &&
            (best->count == 0 || v.cost < best->cost)) {
            *best = v;
        }
    }
    return best->count > 0;
}

/* A step of a job of the highest priority within its share that soon cannot
 * meet its objective any more. */
static bool
needs_preemption(const struct cw_sched *s, const struct cw_ready_step *rs,
                 cw_ms now)
{
    const struct cw_job_entry *j = rs->job;
    const struct cw_step *st = cw_task_step(rs->first);
    const struct cw_task *t = cw_ready_step_waiting(rs);
    cw_ms slack = rs->sort_key - now -
                  cw_job_critical_path_ms(j, rs->first->occurrence, true);

    return !st->gang && !st->backfill && st->max_per_worker == 0 &&
           now - t->ready_at >= WAITED_MIN_MS && slack >= SLACK_MIN_MS &&
           slack <= SLACK_MAX_MS && cw_tenant_allows(s, j->use->tenant, st, 1);
}

/* Returns the processors that the pool's preempted tasks will free, and sets
 * the budget that the last second has left. */
static uint64_t
update_budget(struct cw_pool *p, cw_ms now)
{
    uint64_t capacity = 0;
    uint64_t freeing = 0;
    uint64_t used = 0;
    int64_t slot = now / SLOT_MS;

    for (const struct cw_worker *w = p->workers; w != NULL; w = w->next) {
        capacity += w->state == CW_WORKER_READY ? w->capacity.cpu_milli : 0;
        for (const struct cw_task *t = w->tasks; t != NULL; t = t->next) {
            /* A silent worker's room is free when its leases have lapsed. */
            if (t->preempted && t->state == CW_RUN_STOPPING &&
                !w->unanswered) {
                freeing += cw_task_step(t)->need.cpu_milli;
            }
        }
    }
    if (slot - p->preempt_slot > CW_PREEMPT_SLOTS) {
        p->preempt_slot = slot - CW_PREEMPT_SLOTS;
    }
    while (p->preempt_slot < slot) {
        p->preempt_slot++;
        p->preempted_cpu[p->preempt_slot % CW_PREEMPT_SLOTS] = 0;
    }
    for (size_t i = 0; i < CW_PREEMPT_SLOTS; i++) {
        used += p->preempted_cpu[i];
    }
    p->preempt_budget = BUDGET_PER_SECOND * (double)capacity - (double)used;
    return freeing;
}

/* One call of cw_preempt_pick. */
struct pick {
    uint64_t freeing;             /* room that earlier choices make */
    const struct cw_step *failed; /* no choice was possible for it, or NULL */
};

/* Later choices leave less room and budget: steps with the same need fail as
 * well. Each would search all workers. */
static bool
fails_again(const struct pick *pk, const struct cw_step *st)
{
    const struct cw_step *f = pk->failed;

    return f != NULL && f->need.cpu_milli == st->need.cpu_milli &&
           f->need.memory_mb == st->need.memory_mb &&
           f->need.accelerators == st->need.accelerators &&
           cw_name_eq(&f->required_label, &st->required_label);
}

/* Chooses tasks for the waiting tasks of one step. */
static size_t
pick_for_step(struct cw_sched *s, struct cw_pool *p,
              const struct cw_ready_step *rs, struct pick *pk, cw_ms now,
              struct cw_preempt_victim *out, size_t n)
{
    const struct cw_step *st = cw_task_step(rs->first);
    struct victim_set v;

    for (uint32_t i = 0; i < rs->count; i++) {
        if (rs->first[i].state != CW_RUN_WAITING) {
            continue;
        }
        if (pk->freeing >= st->need.cpu_milli) {
            pk->freeing -= st->need.cpu_milli;
            continue;
        }
        if (!choose_in_pool(s, p, st, now, out, n, &v) ||
            n + v.count > CW_PREEMPT_MAX) {
            pk->failed = st;
            break;
        }
        p->preempt_budget -= (double)v.cpu;
        p->preempted_cpu[now / SLOT_MS % CW_PREEMPT_SLOTS] += v.cpu;
        for (size_t k = 0; k < v.count; k++) {
            v.tasks[k].task->preempted = true;
            out[n++] = v.tasks[k];
        }
    }
    return n;
}

size_t
cw_preempt_pick(struct cw_sched *s, struct cw_pool *p, cw_ms now,
                struct cw_preempt_victim out[CW_PREEMPT_MAX])
{
    struct cw_ready_step *steps;
    struct pick pk = {0};
    size_t picked = 0;
    size_t n;

    /* A pool without a time to be planned again has no task that waits. */
    if (s->tenant_count == 0 || p->replan_at == 0) {
        return 0;
    }
    pk.freeing = update_budget(p, now);
    n = cw_plan_ready_steps(s, p, now, &steps);
    for (size_t i = 0; i < n && steps[i].tier <= CW_TIER_IN_TIME; i++) {
        if (steps[i].tier == CW_TIER_IN_TIME &&
            steps[i].job->spec.rules.priority == 0 &&
            !fails_again(&pk, cw_task_step(steps[i].first)) &&
            needs_preemption(s, &steps[i], now)) {
            picked = pick_for_step(s, p, &steps[i], &pk, now, out, picked);
        }
    }
    free(steps);
    return picked;
}
