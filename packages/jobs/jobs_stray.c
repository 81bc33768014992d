/* Runs that are being stopped although no task accounts for them any more: a
 * later run of a task that has ended, or a run that a worker lists and that is
 * not the task's latest. They count towards their tenant's quota until they
 * are known to be over. */
#include "cw_jobs_int.h"
#include "cw_tenant.h"

#include <stdlib.h>

/* A start that has not arrived by then is not carried out any more, so that a
 * report which does not list the run shows that it is over, also when its stop
 * has no answer. Starts arrive within 2.5 s. */
#define STRAY_SETTLED_MS 5000

static void
count_stray(struct cw_stray_run *r, int sign)
{
    struct cw_quota *q = &r->tenant->placed;

    q->cpu_milli += (uint64_t)((int64_t)r->need.cpu_milli * sign);
    q->memory_mb += (uint64_t)((int64_t)r->need.memory_mb * sign);
    q->accelerators += (uint64_t)((int64_t)r->need.accelerators * sign);
}

static struct cw_stray_run **
find_stray(struct cw_sched *s, const struct cw_worker *w,
           const struct cw_run_row *r)
{
    struct cw_stray_run **link = &s->strays;

    while (*link != NULL && !(cw_run_same_task(&(*link)->row, r) &&
                              (*link)->row.run == r->run &&
                              cw_name_eq(&(*link)->worker, &w->id))) {
        link = &(*link)->next;
    }
    return link;
}

static void
end_stray(struct cw_sched *s, struct cw_stray_run **link)
{
    struct cw_stray_run *r = *link;

    *link = r->next;
    count_stray(r, -1);
    r->tenant->job_count--;
    s->stray_count--;
    cw_tenant_wake(s, r->tenant);
    free(r);
}

static cw_ms
worker_lapse(const struct cw_worker *w)
{
    return w->lapse_at > w->unproved_lapse_at ? w->lapse_at
                                              : w->unproved_lapse_at;
}

void
cw_stray_add(struct cw_sched *s, const struct cw_worker *w,
             const struct cw_run_row *r, const struct cw_task *t, cw_ms now)
{
    struct cw_stray_run *n;

    if (t->job->use == NULL || *find_stray(s, w, r) != NULL) {
        return;
    }
    n = s->stray_count < CW_STRAY_RUNS_MAX ? calloc(1, sizeof(*n)) : NULL;
    if (n == NULL) {
        cw_log(CW_WARN, "stray_uncounted",
               "job=%016llx task=%u.%u.%u run=%u worker=%s",
               (unsigned long long)r->job, r->occurrence, r->step, r->index,
               r->run, w->id.text);
        return;
    }
    n->tenant = t->job->use->tenant;
    n->worker = w->id;
    n->row = *r;
    n->row.checkpoint = (struct cw_str){0};
    n->need = cw_task_step(t)->need;
    n->added_at = now;
    /* After a takeover a worker that no record names has no known lease. */
    n->lapse_at =
        w->lapse_at != 0 ? worker_lapse(w) : now + cw_lease_longest(s);
    n->last_report = w->reports;
    n->next = s->strays;
    s->strays = n;
    s->stray_count++;
    n->tenant->job_count++; /* keeps the tenant's entry */
    count_stray(n, 1);
}

void
cw_stray_listed(struct cw_sched *s, const struct cw_worker *w,
                const struct cw_run_row *r, bool ended)
{
    struct cw_stray_run **link = find_stray(s, w, r);

    if (*link != NULL && ended) {
        end_stray(s, link);
    }
    else if (*link != NULL) {
        (*link)->last_report = w->reports;
    }
}

void
cw_stray_stop_answered(struct cw_sched *s, const struct cw_worker *w,
                       const struct cw_run_row *r, cw_ms now)
{
    struct cw_stray_run **link = find_stray(s, w, r);

    if (*link != NULL && (*link)->stop_answered_at == 0) {
        (*link)->stop_answered_at = now;
    }
}

void
cw_stray_reported(struct cw_sched *s, const struct cw_worker *w, cw_ms sent_at)
{
    struct cw_stray_run **link = &s->strays;

    while (*link != NULL) {
        const struct cw_stray_run *r = *link;
        bool settled =
            (r->stop_answered_at != 0 && r->stop_answered_at <= sent_at) ||
            r->added_at + STRAY_SETTLED_MS <= sent_at;

        if (settled && r->last_report != w->reports &&
            cw_name_eq(&r->worker, &w->id)) {
            end_stray(s, link);
        }
        else {
            link = &(*link)->next;
        }
    }
}

void
cw_stray_restarted(struct cw_sched *s, const struct cw_worker *w, cw_ms now)
{
    for (struct cw_stray_run *r = s->strays; r != NULL; r = r->next) {
        if (cw_name_eq(&r->worker, &w->id)) {
            r->stop_answered_at = now;
        }
    }
}

void
cw_stray_worker_lost(struct cw_sched *s, const struct cw_worker *w)
{
    struct cw_stray_run **link = &s->strays;

    while (*link != NULL) {
        if (cw_name_eq(&(*link)->worker, &w->id)) {
            end_stray(s, link);
        }
        else {
            link = &(*link)->next;
        }
    }
}

void
cw_stray_expire(struct cw_sched *s, cw_ms now)
{
    struct cw_stray_run **link = &s->strays;

    while (*link != NULL) {
        const struct cw_worker *w =
            cw_sched_find_worker(s, cw_name_str(&(*link)->worker));

        if (w != NULL && worker_lapse(w) > (*link)->lapse_at) {
            (*link)->lapse_at = worker_lapse(w);
        }
        if (now >= (*link)->lapse_at) {
            end_stray(s, link);
        }
        else {
            link = &(*link)->next;
        }
    }
}
