/* Selection of a worker by best fit. */
#include "cw_place_int.h"

static uint64_t
free_amount(uint64_t size, uint64_t used)
{
    return size > used ? size - used : 0;
}

void
cw_place_update_free_size(struct cw_place_worker *w)
{
    struct cw_size *r = &w->priv->free_sizes[w->index];
    *r = (struct cw_size){0, 0, 0};
    if (!w->gone) {
        r->cpu_milli = (uint32_t)free_amount(w->size.cpu_milli, w->used_cpu);
        r->memory_mb =
            (uint32_t)free_amount(w->size.memory_mb, w->used_memory);
        r->accelerators =
            (uint32_t)free_amount(w->size.accelerators, w->used_accelerators);
    }
}

static bool
same_size(struct cw_size a, struct cw_size b)
{
    return a.cpu_milli == b.cpu_milli && a.memory_mb == b.memory_mb &&
           a.accelerators == b.accelerators;
}

static void
adjust_shape_count(struct cw_place_private *priv, struct cw_size size,
                   int change)
{
    size_t i = 0;
    while (i < priv->shape_count && !same_size(priv->shapes[i].size, size)) {
        i++;
    }
    if (i == WORKER_SHAPES_MAX) {
        return;
    }
    if (i == priv->shape_count) {
        priv->shapes[priv->shape_count++] =
            (struct cw_place_worker_shape){size, 0};
    }
    priv->shapes[i].workers += (size_t)change;
    if (priv->shapes[i].workers == 0) {
        priv->shapes[i] = priv->shapes[--priv->shape_count];
    }
}

void
cw_place_set_size(struct cw_place_worker *w, struct cw_size size)
{
    static const struct cw_size none = {0, 0, 0};
    if (!same_size(w->counted_size, size)) {
        if (!same_size(w->counted_size, none)) {
            adjust_shape_count(w->priv, w->counted_size, -1);
        }
        if (!same_size(size, none)) {
            adjust_shape_count(w->priv, size, 1);
            w->size = size;
        }
        w->counted_size = size;
    }
    cw_place_update_free_size(w);
}

bool
cw_place_never_fits(const struct cw_place *p, struct cw_size size)
{
    const struct cw_place_private *priv = p->priv;
    /* With a full table some shapes are not counted. A task then waits, as it
     * may fit a worker of such a shape. */
    if (priv->shape_count == 0 || priv->shape_count == WORKER_SHAPES_MAX) {
        return false;
    }
    for (size_t i = 0; i < priv->shape_count; i++) {
        const struct cw_size *s = &priv->shapes[i].size;
        if (size.cpu_milli <= s->cpu_milli && size.memory_mb <= s->memory_mb &&
            size.accelerators <= s->accelerators) {
            return false;
        }
    }
    return true;
}

bool
cw_place_fits(const struct cw_place_worker *w, struct cw_size size)
{
    return size.cpu_milli <= free_amount(w->size.cpu_milli, w->used_cpu) &&
           size.memory_mb <= free_amount(w->size.memory_mb, w->used_memory) &&
           size.accelerators <=
               free_amount(w->size.accelerators, w->used_accelerators);
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
    for (int i = 0; i < CW_PLACE_FAILED_ON_MAX; i++) {
        if (t->failed_on[i] == w->name_hash) {
            return true;
        }
    }
    return false;
}

/* Lower is better. Accelerators left unused weigh most, then the free share of
 * the scarcer of CPU and memory, so that large free capacities are not
 * fragmented. */
static double
score(const struct cw_place_worker *w, const struct cw_place_task *t,
      struct cw_size size)
{
    double left_cpu = (double)(free_amount(w->size.cpu_milli, w->used_cpu) -
                               size.cpu_milli) /
                      ((double)w->size.cpu_milli + 1.0);
    double left_memory =
        (double)(free_amount(w->size.memory_mb, w->used_memory) -
                 size.memory_mb) /
        ((double)w->size.memory_mb + 1.0);
    double left_acc =
        (double)(free_amount(w->size.accelerators, w->used_accelerators) -
                 size.accelerators);
    double s = left_acc * 4.0;
    s += left_cpu < left_memory ? left_cpu : left_memory;
    /* Tasks of a job in the same rack would fail together. */
    if (t->job->last_rack == w->rack_hash) {
        s += 2.0;
    }
    return s;
}

struct cw_place_worker *
cw_place_best_worker(const struct cw_place *p, const struct cw_place_task *t,
                     struct cw_size size, cw_ms now)
{
    struct cw_place_worker *best = NULL;
    double best_score = 0.0;
    const struct cw_size *free_sizes = p->priv->free_sizes;
    for (size_t i = 0; i < p->worker_count; i++) {
        if (free_sizes[i].cpu_milli < size.cpu_milli ||
            free_sizes[i].memory_mb < size.memory_mb ||
            free_sizes[i].accelerators < size.accelerators) {
            continue;
        }
        struct cw_place_worker *w = p->workers[i];
        bool unavailable =
            w->gone || (w->reserved_for != NULL && w->reserved_for != t);
        if (unavailable || !cw_worker_health_usable(&w->health, now) ||
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
