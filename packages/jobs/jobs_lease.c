/* The incarnations of a worker, and the leases of its runs. */
#include "cw_jobs_int.h"

/* A worker's clock may run slower than the scheduler's by up to this share. */
#define CLOCK_DRIFT_MAX 0.02
/* Delay of the worker's own timer, added to the time after which a lease has
 * certainly lapsed. */
#define LAPSE_MARGIN_MS 250
/* A previous scheduler may go on renewing leases until its membership of the
 * group expires. */
#define PREVIOUS_SCHEDULER_MS 1500

/* ---- incarnations ---- */

/* The former incarnation's answers to stops do not bind the new one. */
static void
repeat_stops(struct cw_sched *s, struct cw_worker *w)
{
    for (struct cw_task *t = w->tasks; t != NULL; t = t->next) {
        if (t->state == CW_RUN_STOPPING) {
            struct cw_run_row row = cw_task_row(t);

            t->stop_answered_at = 0;
            s->ops->stop(s->ctx, w, &row);
        }
    }
}

void
cw_worker_new_incarnation(struct cw_sched *s, struct cw_worker *w,
                          int64_t born)
{
    if (w->born_wall != 0) {
        cw_log(CW_INFO, "worker_restarted",
               "worker=%s born=%lld was=%lld tasks=%u", w->id.text,
               (long long)born, (long long)w->born_wall, w->task_count);
        w->ack_pending = 0;
        w->acked = 0;
        w->clock_at = 0;
        w->lease_until_ms = 0;
        w->contacted = false;
        repeat_stops(s, w);
    }
    w->born_wall = born;
}

/* ---- leases ---- */

int64_t
cw_worker_lease_until(struct cw_sched *s, struct cw_worker *w, bool renew,
                      cw_ms now)
{
    cw_ms age = now - w->clock_at;
    cw_ms lapse;

    if (w->clock_at == 0) {
        return 0;
    }
    if (!renew && w->lease_until_ms > 0) {
        return w->lease_until_ms;
    }
    lapse =
        now + LAPSE_MARGIN_MS +
        (cw_ms)(((double)s->limits.lease_ms + CLOCK_DRIFT_MAX * (double)age) /
                (1.0 - CLOCK_DRIFT_MAX));
    if (lapse > w->lapse_at) {
        w->lapse_at = lapse;
    }
    w->lease_until_ms = w->clock_ms + age + s->limits.lease_ms;
    return w->lease_until_ms;
}

void
cw_sched_loaded(struct cw_sched *s, cw_ms now)
{
    cw_ms longest =
        (cw_ms)((double)s->limits.lease_ms / (1.0 - CLOCK_DRIFT_MAX)) +
        LAPSE_MARGIN_MS + PREVIOUS_SCHEDULER_MS;

    for (struct cw_pool *p = s->pool_list; p != NULL; p = p->next) {
        for (struct cw_worker *w = p->workers; w != NULL; w = w->next) {
            w->lapse_at = now + longest;
        }
        cw_pool_plan_soon(s, p);
    }
}

void
cw_sched_expire_leases(struct cw_sched *s, cw_ms now)
{
    for (struct cw_pool *p = s->pool_list; p != NULL; p = p->next) {
        for (struct cw_worker *w = p->workers; w != NULL; w = w->next) {
            if (w->tasks != NULL && w->lapse_at != 0 && now >= w->lapse_at) {
                cw_log(CW_WARN, "leases_lapsed",
                       "worker=%s tasks=%u silent_ms=%lld", w->id.text,
                       w->task_count, (long long)(now - w->seen_at));
                cw_sched_worker_lost(s, w, CW_LOSS_LAPSED, now);
            }
        }
    }
}
