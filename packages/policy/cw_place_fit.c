/* Choice of a worker: best fit over the scarcest resource. */
#include "cw_place_int.h"

static uint64_t
room(uint64_t size, uint64_t used)
{
    return size > used ? size - used : 0;
}

bool
cw_place_fits(const struct cw_place_worker *w, struct cw_size size)
{
    return size.cpu_milli <= room(w->size.cpu_milli, w->used_cpu) &&
           size.memory_mb <= room(w->size.memory_mb, w->used_memory) &&
           size.accelerators <=
               room(w->size.accelerators, w->used_accelerators);
}

bool
cw_place_fits_empty(const struct cw_place_worker *w, struct cw_size size)
{
    return size.cpu_milli <= w->size.cpu_milli &&
           size.memory_mb <= w->size.memory_mb &&
           size.accelerators <= w->size.accelerators;
}

bool
cw_place_failed_on(const struct cw_place_task *t,
                   const struct cw_place_worker *w)
{
    for (int i = 0; i < CW_PLACE_FAILED_ON; i++) {
        if (t->failed_on[i] == w->name_hash) {
            return true;
        }
    }
    return false;
}

/* Lower is better: accelerators left unused weigh most, then the share of
 * the fuller resource that stays free, so that large rooms are kept whole. */
static double
score(const struct cw_place_worker *w, const struct cw_place_task *t,
      struct cw_size size)
{
    double left_cpu =
        (double)(room(w->size.cpu_milli, w->used_cpu) - size.cpu_milli) /
        ((double)w->size.cpu_milli + 1.0);
    double left_memory =
        (double)(room(w->size.memory_mb, w->used_memory) - size.memory_mb) /
        ((double)w->size.memory_mb + 1.0);
    double left_acc =
        (double)(room(w->size.accelerators, w->used_accelerators) -
                 size.accelerators);
    double s = left_acc * 4.0;
    s += left_cpu < left_memory ? left_cpu : left_memory;
    /* Two tasks of a job on one rack fail together. */
    if (t->job->last_rack == w->rack_hash) {
        s += 2.0;
    }
    return s;
}

struct cw_place_worker *
cw_place_best(const struct cw_place *p, const struct cw_place_task *t,
              struct cw_size size, cw_ms now)
{
    struct cw_place_worker *best = NULL;
    double best_score = 0.0;
    for (size_t i = 0; i < p->worker_count; i++) {
        struct cw_place_worker *w = p->workers[i];
        if (!cw_place_fits(w, size) || w->gone) {
            continue;
        }
        bool taken = w->reserved_for != NULL && w->reserved_for != t;
        if (taken || !cw_worker_health_usable(&w->health, now) ||
            cw_place_failed_on(t, w)) {
            continue;
        }
        double s = score(w, t, size);
        if (best == NULL || s < best_score) {
            best = w;
            best_score = s;
        }
    }
    return best;
}
