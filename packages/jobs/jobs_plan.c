/* Plans a pool: starts the tasks that may start, in their order, and keeps
 * workers free for those that have waited long. */
#include "cw_fit.h"
#include "cw_plan_int.h"
#include "cw_tenant.h"

#include <stdlib.h>

/* A worker is reserved for a task that has waited this long, so that smaller
 * tasks do not overtake it for ever. */
#define STARVATION_MS 1500

/* A start that a quota holds back is planned when a task of its tenant ends;
 * this bounds the wait should that be missed. */
#define QUOTA_REPLAN_MS 1000

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
    /* A lasting task may have been kept off workers that take others. */
    if (!st->backfill && !st->gang && !st->lasting &&
        st->max_per_worker == 0 && st->required_label.len == 0 &&
        (!r->known || cannot_fit(&(struct min_unplaced){true, st->need},
                                 &(struct cw_step){.need = r->need}))) {
        *r = (struct min_unplaced){true, st->need};
    }
}

/* A task that waits longer than this is logged, with the number of workers for
 * each reason not to choose them. */
#define WAIT_LOG_AFTER_MS 2000
#define WAIT_LOG_INTERVAL_MS 1000

/* until: the wait for a rack ends; 0: the task waits for a worker. */
static void
log_waiting_task(struct cw_pool *p, const struct cw_task *t, cw_ms until,
                 cw_ms now)
{
    const struct cw_step *st = cw_task_step(t);
    uint32_t n[CW_UNFIT_COUNT] = {0};
    cw_ms pause_ends = 0;

    if (now - t->ready_at < WAIT_LOG_AFTER_MS ||
        now - p->wait_logged_at < WAIT_LOG_INTERVAL_MS) {
        return;
    }
    p->wait_logged_at = now;
    for (const struct cw_worker *w = p->workers; w != NULL; w = w->next) {
        enum cw_unfit why = cw_plan_unfit(w, t, now);

        n[why]++;
        if (why == CW_UNFIT_PAUSED &&
            (pause_ends == 0 || w->retry_at < pause_ends)) {
            pause_ends = w->retry_at;
        }
    }
    cw_log(CW_INFO, "task_waits",
           "job=%016llx task=%u.%u.%u service=%s ms=%lld for=%s next_ms=%lld "
           "cpu=%u memory_mb=%u accelerators=%u label=%s gang=%d same_rack=%d "
           "of=%u workers=%u leaving=%u no_contact=%u silent=%u cordoned=%u "
           "strays=%u no_clock=%u paused=%u paused_left_ms=%lld unwell=%u "
           "reserved=%u maintenance=%u label_lacks=%u full=%u ramp=%u "
           "step_limit=%u fit=%u",
           (unsigned long long)t->job->id, t->occurrence, t->step, t->index,
           p->service.text, (long long)(now - t->ready_at),
           until != 0 ? "rack" : "worker",
           (long long)((until != 0 ? until : p->replan_at) - now),
           st->need.cpu_milli, st->need.memory_mb, st->need.accelerators,
           st->required_label.text, st->gang, st->same_rack, st->count,
           p->worker_count, n[CW_UNFIT_LEAVES], n[CW_UNFIT_NO_CONTACT],
           n[CW_UNFIT_SILENT], n[CW_UNFIT_CORDONED], n[CW_UNFIT_STRAYS],
           n[CW_UNFIT_NO_CLOCK], n[CW_UNFIT_PAUSED],
           (long long)(pause_ends == 0 ? -1 : pause_ends - now),
           n[CW_UNFIT_UNWELL], n[CW_UNFIT_RESERVED], n[CW_UNFIT_MAINTENANCE],
           n[CW_UNFIT_LABEL], n[CW_UNFIT_FULL], n[CW_UNFIT_RAMP],
           n[CW_UNFIT_STEP_LIMIT], n[CW_FITS]);
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
    struct cw_plan pl = {.s = s, .pool = p, .now = now};
    struct cw_ready_step *steps;
    struct cw_ready_step *rs;
    struct cw_turns turns;
    struct min_unplaced smallest = {0};
    size_t n;

    p->replan_at = 0;
    p->quota_held = false;
    clear_reservations(p);
    n = cw_plan_ready_steps(s, p, now, &steps);
    if (n > 0 && !cw_plan_collect_candidates(&pl)) {
        cw_pool_replan_at(p, now + CW_REPLAN_MS);
        n = 0;
    }
    cw_turns_begin(&turns, s, p, steps, n);
    while ((rs = cw_turns_next(&turns)) != NULL) {
        const struct cw_step *st = cw_task_step(rs->first);
        struct cw_task *unplaced;

        /* What no machine can run is looked at again when they change. */
        if (cw_step_runnable(s, rs->first) == 0) {
            continue;
        }
        /* No worker is kept free for what the quota holds back. */
        if (!cw_tenant_may_start(s, rs->first, st->gang ? rs->count : 1,
                                 now)) {
            cw_pool_replan_at(p, now + QUOTA_REPLAN_MS);
            continue;
        }
        unplaced = cannot_fit(&smallest, st) ? cw_ready_step_waiting(rs)
                                             : cw_plan_place_step(&pl, rs);

        if (unplaced == NULL) {
            continue;
        }
        cw_pool_replan_at(p, now + CW_REPLAN_MS);
        record_unplaced(&smallest, st);
        if (rs->tier == CW_TIER_LASTING ||
            now - unplaced->ready_at > STARVATION_MS) {
            cw_plan_reserve(p, rs, unplaced, now);
        }
        log_waiting_task(p, unplaced, 0, now);
    }
    if (pl.rack_task != NULL) {
        log_waiting_task(p, pl.rack_task, pl.rack_until, now);
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
