/* Queries of the placement scheduler. */
#include "cw_place_int.h"

const char *
cw_place_state_name(enum cw_place_state s)
{
    static const char *const names[] = {
        [CW_PLACE_WAITING] = "waiting",       [CW_PLACE_STARTING] = "starting",
        [CW_PLACE_RUNNING] = "running",       [CW_PLACE_EVICTING] = "evicting",
        [CW_PLACE_STOPPING] = "stopping",     [CW_PLACE_DONE] = "done",
        [CW_PLACE_NEVER_FITS] = "never_fits", [CW_PLACE_REJECTED] = "rejected",
        [CW_PLACE_CANCELLED] = "cancelled",
    };
    CW_INVARIANT((size_t)s < sizeof(names) / sizeof(names[0]));
    return names[s];
}

const struct cw_place_task *
cw_place_task(const struct cw_place *p, struct cw_str name)
{
    return cw_place_find_task(p, name);
}

cw_ms
cw_place_run_ms(const struct cw_place_task *t)
{
    return t->job->run_ms;
}

size_t
cw_place_count(const struct cw_place *p, enum cw_place_state state)
{
    return p->priv->counts[state];
}

void
cw_place_free_capacity(const struct cw_place *p, uint64_t *cpu_milli,
                       uint64_t *memory_mb, uint64_t *accelerators)
{
    *cpu_milli = 0;
    *memory_mb = 0;
    *accelerators = 0;
    for (size_t i = 0; i < p->worker_count; i++) {
        const struct cw_place_worker *w = p->workers[i];
        if (w->gone || w->health.quarantined) {
            continue;
        }
        if (w->size.cpu_milli > w->used_cpu) {
            *cpu_milli += w->size.cpu_milli - w->used_cpu;
        }
        if (w->size.memory_mb > w->used_memory) {
            *memory_mb += w->size.memory_mb - w->used_memory;
        }
        *accelerators += w->size.accelerators - w->used_accelerators;
    }
}

void
cw_place_each_placed(const struct cw_place *p,
                     void (*each)(void *ctx, const struct cw_place_task *t,
                                  struct cw_str worker),
                     void *ctx)
{
    for (size_t i = 0; i < p->job_count; i++) {
        const struct cw_place_job *job = p->jobs[i];
        for (size_t n = 0; n < job->task_count; n++) {
            const struct cw_place_task *t = job->tasks[n];
            bool placed = t->worker != NULL && t->fence != 0;
            if (placed || (t->state == CW_PLACE_DONE && job->listed)) {
                each(ctx, t,
                     placed ? cw_name_str(&t->worker->name) : CW_LIT(""));
            }
        }
    }
}
