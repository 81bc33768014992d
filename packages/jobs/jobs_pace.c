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

/* The worst tail latency on a worker, as a share of its target; negative when
 * no task there has a target. */
static double
worst_tail(const struct cw_worker *w)
{
    double worst = -1;

    for (const struct cw_task *t = w->tasks; t != NULL; t = t->next) {
        const struct cw_step *st = cw_task_step(t);
        double share;

        if (st->target_ms == 0 || t->state != CW_RUN_RUNNING ||
            !t->started_up) {
            continue;
        }
        share = (double)t->measured / st->target_ms;
        if (share > worst) {
            worst = share;
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

static void
pace_worker(struct cw_sched *s, struct cw_worker *w, cw_ms now)
{
    uint32_t percent = 100U - w->slowdown_percent;

    if (w->seen_at >= w->paced_at + PACE_EFFECT_MS) {
        uint32_t next = cw_pace_next_percent(worst_tail(w), percent);

        if (next != percent) {
            w->paced_at = now;
            w->slowdown_percent = (uint8_t)(100 - next);
            percent = next;
        }
    }
    for (struct cw_task *t = w->tasks; t != NULL; t = t->next) {
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
        }
    }
}
