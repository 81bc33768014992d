/* Entries of the placement scheduler, task queues and resource accounting. */
#include "cw_place_int.h"

#include <stdlib.h>
#include <string.h>

struct cw_place_params
cw_place_defaults(void)
{
    return (struct cw_place_params){
        .lease_ms = 30 * CW_SECOND,
        .renew_ms = 10 * CW_SECOND,
        .lease_guard_ms = 5 * CW_SECOND,
        .start_wait_ms = 10 * CW_SECOND,
        .absent_ms = 20 * CW_SECOND,
        .checkpoint_ms = 5 * CW_SECOND,
        .reclaim_ms = 30 * CW_SECOND,
        .probe_ms = 60 * CW_SECOND,
        .starts_per_tick = 256,
        .skips_per_tick = 64,
        .samples_min = 5,
        .quarantine_after = 3,
        .reject_after = 3,
        .learn = true,
        .quarantine = true,
        .preempt = true,
        .backfill = true,
    };
}

enum cw_status
cw_place_init(struct cw_place *p, const struct cw_place_params *params)
{
    memset(p, 0, sizeof(*p));
    p->params = *params;
    p->priv = calloc(1, sizeof(*p->priv));
    if (p->priv == NULL) {
        return cw_fail(p->msg, CW_ERR_NOMEM, "no memory for the scheduler");
    }
    return CW_OK;
}

static void
free_all(void **items, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        free(items[i]);
    }
    free(items);
}

void
cw_place_finish(struct cw_place *p)
{
    for (size_t i = 0; i < p->job_count; i++) {
        free_all((void **)p->jobs[i]->tasks, p->jobs[i]->task_count);
    }
    free_all((void **)p->jobs, p->job_count);
    free_all((void **)p->workers, p->worker_count);
    free_all((void **)p->teams, p->team_count);
    free_all((void **)p->classes, p->class_count);
    if (p->priv != NULL) {
        cw_map_finish(&p->priv->workers);
        cw_map_finish(&p->priv->jobs);
        cw_map_finish(&p->priv->teams);
        cw_map_finish(&p->priv->classes);
        cw_map_finish(&p->priv->tasks);
        free(p->priv->free_sizes);
        free(p->priv);
    }
    memset(p, 0, sizeof(*p));
}

/* ---- entries --------------------------------------------------------- */

void *
cw_place_get_or_add(struct cw_map *map, struct cw_place_list list,
                    struct cw_str name, size_t size, bool *created)
{
    void *e = cw_map_get(map, name);
    *created = false;
    if (e != NULL) {
        return e;
    }
    if (*list.count == *list.cap) {
        size_t new_cap = *list.cap == 0 ? 16 : *list.cap * 2;
        void **grown = realloc(*list.items, new_cap * sizeof(*grown));
        if (grown == NULL) {
            return NULL;
        }
        *list.items = grown;
        *list.cap = new_cap;
    }
    e = calloc(1, size);
    if (e == NULL) {
        return NULL;
    }
    cw_name_set((struct cw_name *)e, name);
    if (cw_map_put(map, e) != CW_OK) {
        free(e);
        return NULL;
    }
    (*list.items)[(*list.count)++] = e;
    *created = true;
    return e;
}

struct cw_place_worker *
cw_place_add_worker(struct cw_place *p, struct cw_str name)
{
    bool created;
    struct cw_place_private *priv = p->priv;
    if (p->worker_count == priv->free_size_cap) {
        size_t cap = priv->free_size_cap == 0 ? 64 : priv->free_size_cap * 2;
        struct cw_size *free_sizes =
            realloc(priv->free_sizes, cap * sizeof(*free_sizes));
        if (free_sizes == NULL) {
            return NULL;
        }
        memset(free_sizes + priv->free_size_cap, 0,
               (cap - priv->free_size_cap) * sizeof(*free_sizes));
        priv->free_sizes = free_sizes;
        priv->free_size_cap = cap;
    }
    struct cw_place_list list = {(void ***)&p->workers, &p->worker_count,
                                 &p->priv->worker_cap};
    struct cw_place_worker *w =
        cw_place_get_or_add(&p->priv->workers, list, name,
                            sizeof(struct cw_place_worker), &created);
    if (!created) {
        return w;
    }
    w->name_hash = cw_hash(name, 0);
    w->index = p->worker_count - 1;
    w->priv = p->priv;
    w->gone = true; /* no report received yet */
    p->worker_generation++;
    return w;
}

struct cw_place_task *
cw_place_find_task(const struct cw_place *p, struct cw_str name)
{
    return cw_map_get(&p->priv->tasks, name);
}

/* ---- state and queue of a task --------------------------------------- */

void
cw_place_set_state(struct cw_place *p, struct cw_place_task *t,
                   enum cw_place_state s, cw_ms now)
{
    p->priv->counts[t->state]--;
    p->priv->counts[s]++;
    t->state = s;
    t->changed_at = now;
}

void
cw_place_enqueue(struct cw_place_task *t, bool front)
{
    struct cw_place_team *team = t->job->team;
    struct cw_place_task **head =
        t->job->urgent ? &team->urgent_head : &team->head;
    struct cw_place_task **tail =
        t->job->urgent ? &team->urgent_tail : &team->tail;
    t->prev = front ? NULL : *tail;
    t->next = front ? *head : NULL;
    *(t->prev == NULL ? head : &t->prev->next) = t;
    *(t->next == NULL ? tail : &t->next->prev) = t;
}

void
cw_place_dequeue(struct cw_place_task *t)
{
    struct cw_place_team *team = t->job->team;
    struct cw_place_task **head =
        t->job->urgent ? &team->urgent_head : &team->head;
    struct cw_place_task **tail =
        t->job->urgent ? &team->urgent_tail : &team->tail;
    *(t->prev == NULL ? head : &t->prev->next) = t->next;
    *(t->next == NULL ? tail : &t->next->prev) = t->prev;
    t->prev = NULL;
    t->next = NULL;
}

/* ---- allocation ------------------------------------------------------ */

static uint32_t
max_u32(uint32_t a, uint32_t b)
{
    return a > b ? a : b;
}

/* Size charged to the worker: the larger of allocated and measured. */
static struct cw_size
charged_size(const struct cw_place_task *t)
{
    return (struct cw_size){
        max_u32(t->allocated.cpu_milli, t->measured.cpu_milli),
        max_u32(t->allocated.memory_mb, t->measured.memory_mb),
        t->allocated.accelerators,
    };
}

static void
charge_worker(struct cw_place_task *t)
{
    struct cw_size r = charged_size(t);
    t->worker->used_cpu += r.cpu_milli;
    t->worker->used_memory += r.memory_mb;
    t->worker->used_accelerators += r.accelerators;
    cw_place_update_free_size(t->worker);
}

static void
uncharge_worker(struct cw_place_task *t)
{
    struct cw_size r = charged_size(t);
    t->worker->used_cpu -= r.cpu_milli;
    t->worker->used_memory -= r.memory_mb;
    t->worker->used_accelerators -= r.accelerators;
    cw_place_update_free_size(t->worker);
}

void
cw_place_record_usage(struct cw_place_task *t, uint32_t cpu_milli,
                      uint32_t memory_mb)
{
    uncharge_worker(t);
    t->measured.cpu_milli = cpu_milli;
    t->measured.memory_mb = memory_mb;
    charge_worker(t);
    t->peak.cpu_milli = max_u32(t->peak.cpu_milli, cpu_milli);
    t->peak.memory_mb = max_u32(t->peak.memory_mb, memory_mb);
}

void
cw_place_allocate(struct cw_place_task *t, struct cw_place_worker *w,
                  struct cw_size size)
{
    struct cw_place_team *team = t->job->team;
    t->worker = w;
    t->allocated = size;
    t->worker_prev = NULL;
    t->worker_next = w->tasks;
    if (w->tasks != NULL) {
        w->tasks->worker_prev = t;
    }
    w->tasks = t;
    charge_worker(t);
    team->used_cpu += size.cpu_milli;
    team->used_memory += size.memory_mb;
    team->used_accelerators += size.accelerators;
}

void
cw_place_release(struct cw_place_task *t)
{
    struct cw_place_worker *w = t->worker;
    struct cw_place_team *team = t->job->team;
    if (w == NULL) {
        return;
    }
    uncharge_worker(t);
    cw_worker_health_probe_over(&w->health, t->probe);
    t->probe = 0;
    team->used_cpu -= t->allocated.cpu_milli;
    team->used_memory -= t->allocated.memory_mb;
    team->used_accelerators -= t->allocated.accelerators;
    if (t->worker_prev != NULL) {
        t->worker_prev->worker_next = t->worker_next;
    }
    else {
        w->tasks = t->worker_next;
    }
    if (t->worker_next != NULL) {
        t->worker_next->worker_prev = t->worker_prev;
    }
    t->worker = NULL;
    t->worker_prev = NULL;
    t->worker_next = NULL;
}

void
cw_place_requeue(struct cw_place *p, struct cw_place_task *t, cw_ms now)
{
    cw_place_release(t);
    if (!t->job->listed || t->index >= t->job->count) {
        cw_place_set_state(p, t, CW_PLACE_CANCELLED, now);
        return;
    }
    cw_place_set_state(p, t, CW_PLACE_WAITING, now);
    /* It keeps waiting_since and goes ahead of tasks that arrived later. */
    cw_place_enqueue(t, true);
}
