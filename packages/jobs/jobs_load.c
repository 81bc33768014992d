/* The needs of a pool's running and waiting tasks. */
#include "cw_fit.h"
#include "cw_tenant.h"

/* The job is lasting, has a due time, or can still meet its objective. */
static bool
job_urgent(const struct cw_job_entry *j, cw_ms now)
{
    return j->lasting || j->spec.first_wall != 0 ||
           now + cw_job_critical_path_ms(j, 0, true) <=
               j->accepted + cw_job_objective_ms(j);
}

static void
add_need(struct cw_resource_sum *sum, const struct cw_step *st)
{
    sum->cpu += st->backfill ? 0 : st->need.cpu_milli;
    sum->mb += st->need.memory_mb;
}

/* rare: only few machines can run it, so that others do not help. */
static void
add_waiting_task(struct cw_pool_load *l, const struct cw_task *t, bool rare,
                 cw_ms now)
{
    const struct cw_step *st = cw_task_step(t);
    cw_ms wait = now - t->ready_at;

    if ((rare || st->required_label.len > 0) &&
        wait > l->longest_special_wait_ms) {
        l->longest_special_wait_ms = wait;
        l->special = st;
    }
    if (rare && st->required_label.len == 0) {
        return;
    }
    add_need(&l->waiting, st);
    l->lasting_waits |= st->lasting;
    if (wait > l->longest_wait_ms) {
        l->longest_wait_ms = wait;
    }
}

static void
add_job_load(struct cw_pool_load *l, const struct cw_sched *s,
             const struct cw_job_entry *j, cw_ms now)
{
    bool urgent = job_urgent(j, now);
    bool limited = s->has_tenants && j->spec.rules.tenant.len > 0;
    size_t next = 0;

    /* Jobs over share run on what is there: no VM is switched on or moved for
     * them. */
    if (j->spec.over_share) {
        return;
    }

    while (next < j->task_count) {
        const struct cw_task *first = &j->tasks[next];
        const struct cw_step *st = cw_task_step(first);
        bool ready = j->waiting_count > 0 && cw_task_ready(s, first, now);
        uint32_t runnable = ready ? cw_step_runnable(s, first) : 0;
        bool rare = ready && cw_step_outlook(s, j, first->step).rare;

        if (runnable > 0 && st->gang && !cw_gang_has_room(s, first)) {
            runnable = 0;
        }

        for (uint32_t i = 0; i < st->count; i++) {
            const struct cw_task *t = &first[i];
            bool waits = t->state == CW_RUN_WAITING && runnable > 0 &&
                         (!limited || cw_tenant_want(s, j->use, st));

            if (waits) {
                add_waiting_task(l, t, rare, now);
                runnable--;
            }
            waits &= !rare || st->required_label.len > 0;
            if (urgent &&
                (waits || (t->worker != NULL && t->worker->pool == j->pool &&
                           t->worker->state == CW_WORKER_READY))) {
                add_need(&l->urgent, st);
            }
        }
        next += st->count;
    }
}

struct cw_pool_load
cw_pool_load(const struct cw_sched *s, const struct cw_pool *p, cw_ms now)
{
    struct cw_pool_load l = {0};

    for (const struct cw_worker *w = p->workers; w != NULL; w = w->next) {
        if (w->state == CW_WORKER_READY) {
            l.running.cpu += w->used.cpu_milli;
            l.running.mb += w->used.memory_mb;
            l.lasting.cpu += w->lasting.cpu;
            l.lasting.mb += w->lasting.mb;
        }
    }
    for (const struct cw_job_entry *j = s->has_tenants ? p->jobs : NULL;
         j != NULL; j = j->next) {
        j->use->wanted = (struct cw_quota){0};
    }
    for (const struct cw_job_entry *j = p->jobs; j != NULL; j = j->next) {
        add_job_load(&l, s, j, now);
    }
    return l;
}
