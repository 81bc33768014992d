/* Applies answers to starts and stops, and drops starts that were never sent.
 */
#include "cw_jobs_int.h"
#include "cw_tenant.h"

/* Pause after a refused start; doubles with each further refusal. */
#define REFUSAL_PAUSE_MS 100
#define REFUSAL_PAUSE_MAX_MS 3200
/* Refused starts in a row after which a worker ramps up. One alone may be the
 * fault of room that was freed a moment later. */
#define RAMP_REFUSALS 2

static void
handle_refused_start(struct cw_sched *s, struct cw_worker *w,
                     struct cw_task *t, cw_ms now)
{
    cw_ms pause = REFUSAL_PAUSE_MS;

    for (uint32_t i = 0; i < w->refusals && pause < REFUSAL_PAUSE_MAX_MS;
         i++) {
        pause *= 2;
    }
    w->refusals++;
    w->retry_at = now + pause;
    if (w->refusals >= RAMP_REFUSALS) {
        cw_worker_begin_ramp(s, w, now);
    }
    cw_task_requeue(s, t, CW_LOSS_REFUSED, now);
}

/* Members of an incomplete gang would wait for the missing one: stops the
 * others, so that all start again together. */
static void
stop_gang(struct cw_sched *s, const struct cw_task *t, cw_ms now)
{
    struct cw_job_entry *j = t->job;

    for (size_t i = 0; i < j->task_count; i++) {
        struct cw_task *o = &j->tasks[i];

        if (o != t && o->occurrence == t->occurrence && o->step == t->step &&
            o->run == t->run &&
            (o->state == CW_RUN_STARTING || o->state == CW_RUN_RUNNING)) {
            cw_sched_stop_task_for(s, o, CW_STOP_GANG, now);
        }
    }
}

void
cw_sched_start_answered(struct cw_sched *s, struct cw_worker *w,
                        const struct cw_run_row *r, enum cw_start_answer a,
                        bool sent_before, cw_ms now)
{
    struct cw_task *t = cw_sched_find_run(s, w, r);

    if (a == CW_START_OTHER_INCARNATION) {
        cw_sched_worker_lost(s, w, CW_LOSS_OTHER, now);
        return;
    }
    if (t == NULL) {
        return;
    }
    if (a == CW_START_OK) {
        w->refusals = 0;
        if (t->state == CW_RUN_STARTING) {
            cw_task_set_state(t, CW_RUN_RUNNING);
            t->state_since = now;
        }
        return;
    }
    if (t->state != CW_RUN_STARTING && t->state != CW_RUN_STOPPING) {
        return;
    }
    if (cw_task_step(t)->gang && a != CW_START_STALE) {
        stop_gang(s, t, now);
    }
    if (!sent_before) {
        handle_refused_start(s, w, t, now);
    }
    else if (a != CW_START_STALE) {
        /* The earlier send may still take effect: the stop makes the worker
         * reject it. */
        cw_sched_stop_task_for(s, t, CW_STOP_REFUSED, now);
    }
    else if (t->state == CW_RUN_STARTING) {
        /* The earlier send took effect and the run has ended: the next report
         * lists its end, or comes from a new incarnation. */
        cw_task_set_state(t, CW_RUN_RUNNING);
        t->state_since = now;
    }
}

void
cw_sched_start_unsent(struct cw_sched *s, struct cw_worker *w,
                      const struct cw_run_row *r, cw_ms now)
{
    struct cw_task *t = cw_sched_find_run(s, w, r);

    if (t != NULL && t->state == CW_RUN_STARTING) {
        cw_task_lost(s, t, CW_LOSS_UNSENT, now);
    }
}

void
cw_sched_stop_gang(struct cw_sched *s, const struct cw_run_row *r, cw_ms now)
{
    struct cw_task *t = cw_sched_find_task(s, r);

    if (t != NULL && t->run == r->run && !cw_job_ended(t->job) &&
        cw_task_step(t)->gang) {
        stop_gang(s, t, now);
    }
}

void
cw_sched_stop_answered(struct cw_sched *s, struct cw_worker *w,
                       const struct cw_run_row *r, cw_ms now)
{
    struct cw_task *t = cw_sched_find_run(s, w, r);

    cw_stray_stop_answered(s, w, r, now);
    if (t != NULL && t->state == CW_RUN_STOPPING && t->stop_answered_at == 0) {
        t->stop_answered_at = now;
    }
}
