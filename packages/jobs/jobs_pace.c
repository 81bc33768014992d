/* Backfill work beside tasks with a latency target. */
#include "cw_jobs.h"

/* A worker's figures cover half a second, and a new pace takes effect after a
 * tenth: the next decision waits for a report of that time. */
#define SETTLE_MS 700
/* Share of the target above which backfill slows down, and below which it may
 * speed up again. Well below the target, since the tail is measured over few
 * requests. */
#define SLOW_ABOVE 0.9
#define FASTER_BELOW 0.6
#define FASTER_STEP 25 /* percent */
/* Below this a task is stopped from working altogether. */
#define LEAST_PERCENT 10

/* The worst tail on a worker, as a share of its target; negative when no task
 * there has one. */
static double
worst_tail(const struct cw_worker *w)
{
    double worst = -1;

    for (const struct cw_task *t = w->tasks; t != NULL; t = t->next) {
        const struct cw_step *st = cw_task_step(t);
        double share;

        if (st->target_ms == 0 || t->state != CW_RUN_RUNNING || !t->at_work) {
            continue;
        }
        share = (double)t->figure / st->target_ms;
        if (share > worst) {
            worst = share;
        }
    }
    return worst;
}

uint32_t
cw_pace_percent(double worst, uint32_t percent)
{
    if (worst < 0) {
        return 100;
    }
    if (worst > SLOW_ABOVE) {
        return percent / 2 < LEAST_PERCENT ? 0 : percent / 2;
    }
    if (worst < FASTER_BELOW) {
        return percent + FASTER_STEP > 100 ? 100 : percent + FASTER_STEP;
    }
    return percent;
}

static void
pace_worker(struct cw_sched *s, struct cw_worker *w, cw_ms now)
{
    uint32_t percent = 100U - w->slowed;

    if (w->seen_at >= w->paced_at + SETTLE_MS) {
        uint32_t next = cw_pace_percent(worst_tail(w), percent);

        if (next != percent) {
            w->paced_at = now;
            w->slowed = (uint8_t)(100 - next);
            percent = next;
        }
    }
    for (struct cw_task *t = w->tasks; t != NULL; t = t->next) {
        if (cw_task_step(t)->backfill && t->state == CW_RUN_RUNNING &&
            t->pace != percent) {
            t->pace = (uint8_t)percent;
            s->ops->pace(s->ctx, t, percent);
        }
    }
}

void
cw_sched_pace(struct cw_sched *s, cw_ms now)
{
    for (struct cw_pool *p = s->pool_list; p != NULL; p = p->next) {
        for (struct cw_worker *w = p->workers; w != NULL; w = w->next) {
            if (w->backfill_count > 0) {
                pace_worker(s, w, now);
            }
        }
    }
}
