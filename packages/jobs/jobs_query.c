/* Read-only queries on jobs and tasks. */
#include "cw_jobs.h"

bool
cw_job_ended(const struct cw_job_entry *j)
{
    return j->state >= CW_JOB_SUCCEEDED;
}

enum cw_job_state
cw_job_visible_state(const struct cw_sched *s, const struct cw_job_entry *j)
{
    if (cw_job_ended(j) && j->state_batch > s->committed) {
        return j->started ? CW_JOB_RUNNING : CW_JOB_QUEUED;
    }
    return (enum cw_job_state)j->state;
}

const char *
cw_job_state_name(enum cw_job_state st)
{
    static const char *const names[] = {"queued", "running", "succeeded",
                                        "failed", "cancelled"};

    return names[st];
}

uint32_t
cw_sched_queued_jobs(const struct cw_sched *s, struct cw_str queue)
{
    uint32_t n = 0;

    for (const struct cw_pool *p = s->pool_list; p != NULL; p = p->next) {
        for (const struct cw_job_entry *j = p->jobs; j != NULL; j = j->next) {
            if (!j->begun && cw_str_eq(cw_name_str(&j->queue), queue)) {
                n++;
            }
        }
    }
    return n;
}

bool
cw_has_label(const struct cw_name *labels, size_t count,
             const struct cw_name *label)
{
    if (label->len == 0) {
        return true;
    }
    for (size_t i = 0; i < count; i++) {
        if (cw_name_eq(&labels[i], label)) {
            return true;
        }
    }
    return false;
}

bool
cw_run_same_task(const struct cw_run_row *a, const struct cw_run_row *b)
{
    return a->job == b->job && a->occurrence == b->occurrence &&
           a->step == b->step && a->index == b->index;
}

struct cw_task *
cw_sched_find_task(const struct cw_sched *s, const struct cw_run_row *r)
{
    struct cw_job_entry *j = cw_sched_find_job(s, r->job);
    size_t index;

    if (j == NULL || j->task_count == 0 || r->step >= j->spec.step_count ||
        r->occurrence >= j->spec.repeats ||
        r->index >= j->spec.steps[r->step].count) {
        return NULL;
    }
    index =
        (size_t)r->occurrence * cw_job_spec_task_count(&j->spec) + r->index;
    for (uint32_t i = 0; i < r->step; i++) {
        index += j->spec.steps[i].count;
    }
    return &j->tasks[index];
}

cw_ms
cw_job_due(const struct cw_sched *s, const struct cw_job_entry *j,
           uint32_t occurrence)
{
    return j->spec.first_wall - s->wall_offset +
           (cw_ms)occurrence * j->spec.interval_ms;
}

bool
cw_task_ready(const struct cw_sched *s, const struct cw_task *t, cw_ms now)
{
    const struct cw_job_entry *j = t->job;
    const uint32_t *tasks_left =
        &j->tasks_left[t->occurrence * j->spec.step_count];
    uint64_t after = cw_task_step(t)->after;

    if (j->spec.first_wall != 0 && now < cw_job_due(s, j, t->occurrence)) {
        return false;
    }
    for (size_t i = 0; after != 0; i++, after >>= 1) {
        if ((after & 1) != 0 && tasks_left[i] > 0) {
            return false;
        }
    }
    return true;
}

/* A worker reports at least once a second (see jobd/agents.c) plus the delay
 * of the call; without a report for longer its tasks may have ended. */
#define WORKER_SILENT_MS 1700

/* A lasting task serves when it has finished its start-up and its worker
 * reports. */
static bool
is_serving(const struct cw_task *t, cw_ms now)
{
    return t->state == CW_RUN_RUNNING && t->started_up &&
           now - t->worker->seen_at < WORKER_SILENT_MS;
}

uint32_t
cw_step_unavailable(const struct cw_task *t, cw_ms now)
{
    const struct cw_job_entry *j = t->job;
    uint32_t n = 0;

    for (size_t i = 0; i < j->task_count; i++) {
        const struct cw_task *o = &j->tasks[i];

        if (o != t && o->occurrence == t->occurrence && o->step == t->step &&
            !is_serving(o, now)) {
            n++;
        }
    }
    return n;
}

bool
cw_task_may_stop(const struct cw_task *t, cw_ms now)
{
    const struct cw_step *st = cw_task_step(t);

    /* Without a limit only one task may be unavailable. The state of t itself
     * does not count: it may have finished its start-up since the last
     * report. */
    return !st->lasting ||
           cw_step_unavailable(t, now) < (st->may_miss > 0 ? st->may_miss : 1);
}
