/* The order in which the steps of a pool that may start are placed. */
#include "cw_plan_int.h"

#include <stdlib.h>

/* A job earns no credit after this many times its objective. */
#define NO_CREDIT_FACTOR 3

static void
rank_ready_step(const struct cw_sched *s, struct cw_ready_step *rs, cw_ms now)
{
    const struct cw_job_entry *j = rs->job;
    cw_ms due = j->accepted;
    cw_ms objective = cw_job_objective_ms(j);
    bool over = j->spec.over_share;

    if (cw_task_step(rs->first)->lasting) {
        rs->tier = CW_TIER_LASTING;
        rs->sort_key = j->accepted;
        return;
    }
    if (j->spec.first_wall != 0) {
        due = cw_job_due(s, j, rs->first->occurrence);
    }
    if (now + cw_job_critical_path_ms(j, rs->first->occurrence, true) <=
        due + objective) {
        rs->tier = over ? CW_TIER_OVER_IN_TIME : CW_TIER_IN_TIME;
        rs->sort_key = due + objective;
    }
    else if (now <= due + NO_CREDIT_FACTOR * objective) {
        bool aged = s->tenant_count > 0 && now > due + objective;

        rs->tier =
            over ? CW_TIER_OVER_LATE : (aged ? CW_TIER_AGED : CW_TIER_LATE);
        rs->sort_key = due;
    }
    else {
        rs->tier = CW_TIER_NO_CREDIT;
        rs->sort_key = due;
    }
}

static int
ready_step_cmp(const void *a, const void *b)
{
    const struct cw_ready_step *x = a;
    const struct cw_ready_step *y = b;

    if (x->tier != y->tier) {
        return x->tier < y->tier ? -1 : 1;
    }
    if (cw_tier_by_priority(x->tier) &&
        x->job->spec.rules.priority != y->job->spec.rules.priority) {
        return x->job->spec.rules.priority < y->job->spec.rules.priority ? -1
                                                                         : 1;
    }
    if (x->sort_key != y->sort_key) {
        return x->sort_key < y->sort_key ? -1 : 1;
    }
    return x->job->id < y->job->id ? -1 : x->job->id > y->job->id;
}

struct cw_task *
cw_ready_step_waiting(const struct cw_ready_step *rs)
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
                struct cw_ready_step *out, size_t max)
{
    size_t n = 0;
    size_t next = 0;

    while (next < j->task_count && n < max) {
        struct cw_ready_step rs = {.job = j, .first = &j->tasks[next]};

        rs.count = cw_task_step(rs.first)->count;
        next += rs.count;
        if (cw_task_ready(s, rs.first, now) &&
            cw_ready_step_waiting(&rs) != NULL) {
            rank_ready_step(s, &rs, now);
            out[n++] = rs;
        }
    }
    return n;
}

void
cw_pool_replan_at(struct cw_pool *p, cw_ms at)
{
    if (p->replan_at == 0 || at < p->replan_at) {
        p->replan_at = at;
    }
}

/* Occurrences become due without an event. */
static void
replan_at_next_due(const struct cw_sched *s, struct cw_pool *p,
                   const struct cw_job_entry *j, cw_ms now)
{
    cw_ms due = j->spec.first_wall - s->wall_offset;

    if (j->spec.first_wall == 0) {
        return;
    }
    if (due <= now && j->spec.interval_ms > 0) {
        due += ((now - due) / j->spec.interval_ms + 1) * j->spec.interval_ms;
    }
    if (due > now) {
        cw_pool_replan_at(p, due);
    }
}

size_t
cw_plan_ready_steps(const struct cw_sched *s, struct cw_pool *p, cw_ms now,
                    struct cw_ready_step **out)
{
    size_t max = 0;
    size_t n = 0;

    *out = NULL;
    for (struct cw_job_entry *j = p->jobs; j != NULL; j = j->next) {
        if (j->waiting_count > 0) {
            max += j->spec.step_count * j->spec.repeats;
            replan_at_next_due(s, p, j, now);
        }
    }
    if (max == 0) {
        return 0;
    }
    *out = malloc(max * sizeof(**out));
    if (*out == NULL) {
        cw_pool_replan_at(p, now + CW_REPLAN_MS);
        return 0;
    }
    for (struct cw_job_entry *j = p->jobs; j != NULL; j = j->next) {
        if (j->waiting_count > 0) {
            n += job_ready_steps(s, j, now, *out + n, max - n);
        }
    }
    if (n > 0) {
        qsort(*out, n, sizeof(**out), ready_step_cmp);
    }
    return n;
}
