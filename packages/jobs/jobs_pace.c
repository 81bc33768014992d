/* Slows down backfill tasks beside tasks with a latency target. */
#include "cw_jobs.h"

/* A worker's figures cover the last 500 ms, and a new pace takes effect after
 * 100 ms: the next decision waits for a report that shows its effect. */
#define PACE_EFFECT_MS 700
/* Shares of the target above which backfill slows down, and below which it
 * speeds up again. Well below 1, since the tail is measured over few
 * requests. */
#define SLOW_DOWN_ABOVE 0.9
#define SPEED_UP_BELOW 0.6
#define SPEED_UP_STEP_PERCENT 25
/* Below this speed a backfill task is paused. */
#define PACE_PERCENT_MIN 10
/* All backfill tasks are paused so long before the tails have to be within
 * their targets again: the pause takes PACE_EFFECT_MS to show, and its call
 * may have to be repeated. */
#define HARM_MARGIN_MS (2 * PACE_EFFECT_MS)
/* Share of harm_ms in which only the tasks that are known to interfere are
 * slowed down: the rest of the time is enough for all of them. */
#define FIRST_ALONE_SHARE (1.0 / 3)

/* The started-up task whose tail is worst as a share of its target, or NULL
 * when no task there has a target. */
static const struct cw_task *
worst_task(const struct cw_worker *w, double *share)
{
    const struct cw_task *worst = NULL;

    *share = -1;
    for (const struct cw_task *t = w->tasks; t != NULL; t = t->next) {
        const struct cw_step *st = cw_task_step(t);
        double v;

        if (st->target_ms == 0 || t->state != CW_RUN_RUNNING ||
            !t->started_up) {
            continue;
        }
        v = (double)t->measured / st->target_ms;
        if (v > *share) {
            *share = v;
            worst = t;
        }
    }
    return worst;
}

uint32_t
cw_pace_next_percent(double worst, uint32_t percent)
{
    if (worst < 0) {
        return 100;
    }
    if (worst > SLOW_DOWN_ABOVE) {
        return percent / 2 < PACE_PERCENT_MIN ? 0 : percent / 2;
    }
    if (worst < SPEED_UP_BELOW) {
        return percent + SPEED_UP_STEP_PERCENT > 100
                   ? 100
                   : percent + SPEED_UP_STEP_PERCENT;
    }
    return percent;
}

struct cw_pace
cw_pace_next(double worst, cw_ms over_ms, cw_ms harm_ms, bool has_first,
             struct cw_pace p)
{
    bool first_alone = has_first && p.first > 0 &&
                       (harm_ms == 0 ||
                        (double)over_ms < FIRST_ALONE_SHARE * (double)harm_ms);

    if (!has_first) {
        p.first = p.others;
    }
    if (harm_ms > 0 && over_ms > 0 && over_ms >= harm_ms - HARM_MARGIN_MS) {
        return (struct cw_pace){0, 0};
    }
    if (worst > SLOW_DOWN_ABOVE && first_alone) {
        p.first = cw_pace_next_percent(worst, p.first);
        return p;
    }
    if (worst >= 0 && worst < SPEED_UP_BELOW && p.others < 100 && has_first) {
        p.others = cw_pace_next_percent(worst, p.others);
        return p;
    }
    p.first = cw_pace_next_percent(worst, p.first);
    p.others = cw_pace_next_percent(worst, p.others);
    return p;
}

/* Marks the backfill tasks that are known to slow down the given task, and
 * returns whether there is one. */
static bool
mark_first(const struct cw_sched *s, struct cw_worker *w,
           const struct cw_task *slow)
{
    bool found = false;

    for (struct cw_task *t = w->tasks; t != NULL; t = t->next) {
        if (cw_task_step(t)->backfill) {
            t->pace_first = cw_task_slowed_by(s, slow, t) > 0;
            found |= t->pace_first;
        }
    }
    return found;
}

static bool
has_first(const struct cw_worker *w)
{
    for (const struct cw_task *t = w->tasks; t != NULL; t = t->next) {
        if (t->pace_first) {
            return true;
        }
    }
    return false;
}

/* Time since the tails on the worker were within their targets, 0 when they
 * are. */
static cw_ms
over_target_ms(struct cw_worker *w, double worst, cw_ms now)
{
    if (worst <= 1) {
        w->in_target_at = w->seen_at;
        return 0;
    }
    if (w->in_target_at == 0) {
        w->in_target_at = w->seen_at;
    }
    return now - w->in_target_at;
}

static void
change_pace(struct cw_sched *s, struct cw_worker *w, cw_ms now)
{
    double worst;
    const struct cw_task *slow = worst_task(w, &worst);
    cw_ms over = over_target_ms(w, worst, now);
    cw_ms harm = s->limits.harm_ms;
    struct cw_pace p = {100U - w->first_slowdown_percent,
                        100U - w->slowdown_percent};
    struct cw_pace next;
    bool first;

    /* The limit does not wait for the effect of the last change. */
    if (w->seen_at < w->paced_at + PACE_EFFECT_MS &&
        (harm == 0 || over == 0 || over < harm - HARM_MARGIN_MS)) {
        return;
    }
    first = worst > SLOW_DOWN_ABOVE ? mark_first(s, w, slow) : has_first(w);
    next = cw_pace_next(worst, over, harm, first, p);
    if (next.first != p.first || next.others != p.others) {
        if (harm > 0 && over >= harm - HARM_MARGIN_MS && over > 0) {
            s->harm_pauses++;
            cw_log(CW_INFO, "backfill_paused",
                   "worker=%s job=%016llx task=%u.%u.%u over_ms=%lld "
                   "measured=%u target=%u",
                   w->id.text, (unsigned long long)slow->job->id,
                   slow->occurrence, slow->step, slow->index, (long long)over,
                   slow->measured, cw_task_step(slow)->target_ms);
        }
        w->paced_at = now;
        w->first_slowdown_percent = (uint8_t)(100 - next.first);
        w->slowdown_percent = (uint8_t)(100 - next.others);
    }
}

static void
pace_worker(struct cw_sched *s, struct cw_worker *w, cw_ms now)
{
    change_pace(s, w, now);
    for (struct cw_task *t = w->tasks; t != NULL; t = t->next) {
        uint32_t percent = 100U - (t->pace_first ? w->first_slowdown_percent
                                                 : w->slowdown_percent);

        if (cw_task_step(t)->backfill && t->state == CW_RUN_RUNNING &&
            t->pace_percent != percent) {
            t->pace_percent = (uint8_t)percent;
            s->ops->pace(s->ctx, t, percent);
        }
    }
}

void
cw_sched_pace_backfill(struct cw_sched *s, cw_ms now)
{
    for (struct cw_pool *p = s->pool_list; p != NULL; p = p->next) {
        for (struct cw_worker *w = p->workers; w != NULL; w = w->next) {
            if (w->backfill_count > 0) {
                pace_worker(s, w, now);
            }
            else {
                w->in_target_at = 0;
            }
        }
    }
}
