/* Entries and accounts of the placement scheduler. */
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
    p->maps = calloc(1, sizeof(*p->maps));
    if (p->maps == NULL) {
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
    if (p->maps != NULL) {
        cw_map_finish(&p->maps->workers);
        cw_map_finish(&p->maps->jobs);
        cw_map_finish(&p->maps->teams);
        cw_map_finish(&p->maps->classes);
        cw_map_finish(&p->maps->tasks);
        free(p->maps->rooms);
        free(p->maps);
    }
    memset(p, 0, sizeof(*p));
}

/* ---- entries --------------------------------------------------------- */

void *
cw_place_get_or_add(struct cw_map *map, struct cw_place_list list,
                    struct cw_str name, size_t size, bool *made)
{
    void *e = cw_map_get(map, name);
    *made = false;
    if (e != NULL) {
        return e;
    }
    if (*list.count == *list.cap) {
        size_t more = *list.cap == 0 ? 16 : *list.cap * 2;
        void **grown = realloc(*list.items, more * sizeof(*grown));
        if (grown == NULL) {
            return NULL;
        }
        *list.items = grown;
        *list.cap = more;
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
    *made = true;
    return e;
}

struct cw_place_worker *
cw_place_add_worker(struct cw_place *p, struct cw_str name)
{
    bool made;
    struct cw_place_maps *maps = p->maps;
    if (p->worker_count == maps->room_cap) {
        size_t cap = maps->room_cap == 0 ? 64 : maps->room_cap * 2;
        struct cw_size *rooms = realloc(maps->rooms, cap * sizeof(*rooms));
        if (rooms == NULL) {
            return NULL;
        }
        memset(rooms + maps->room_cap, 0,
               (cap - maps->room_cap) * sizeof(*rooms));
        maps->rooms = rooms;
        maps->room_cap = cap;
    }
    struct cw_place_list list = {(void ***)&p->workers, &p->worker_count,
                                 &p->maps->worker_cap};
    struct cw_place_worker *w = cw_place_get_or_add(
        &p->maps->workers, list, name, sizeof(struct cw_place_worker), &made);
    if (!made) {
        return w;
    }
    w->name_hash = cw_hash(name, 0);
    w->index = p->worker_count - 1;
    w->maps = p->maps;
    w->gone = true; /* until its first report */
    p->worker_generation++;
    return w;
}

struct cw_place_task *
cw_place_find_task(const struct cw_place *p, struct cw_str name)
{
    return cw_map_get(&p->maps->tasks, name);
}

/* ---- state and queue of a task --------------------------------------- */

void
cw_place_set_state(struct cw_place *p, struct cw_place_task *t,
                   enum cw_place_state s, cw_ms now)
{
    p->maps->counts[t->state]--;
    p->maps->counts[s]++;
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

/* ---- room ------------------------------------------------------------ */

static uint32_t
larger(uint32_t a, uint32_t b)
{
    return a > b ? a : b;
}

/* Room that the task takes: what it was given or what it uses. */
static struct cw_size
room_of(const struct cw_place_task *t)
{
    return (struct cw_size){
        larger(t->given.cpu_milli, t->measured.cpu_milli),
        larger(t->given.memory_mb, t->measured.memory_mb),
        t->given.accelerators,
    };
}

static void
add_room(struct cw_place_task *t)
{
    struct cw_size r = room_of(t);
    t->worker->used_cpu += r.cpu_milli;
    t->worker->used_memory += r.memory_mb;
    t->worker->used_accelerators += r.accelerators;
    cw_place_refresh_room(t->worker);
}

static void
subtract_room(struct cw_place_task *t)
{
    struct cw_size r = room_of(t);
    t->worker->used_cpu -= r.cpu_milli;
    t->worker->used_memory -= r.memory_mb;
    t->worker->used_accelerators -= r.accelerators;
    cw_place_refresh_room(t->worker);
}

void
cw_place_measure(struct cw_place_task *t, uint32_t cpu_milli,
                 uint32_t memory_mb)
{
    subtract_room(t);
    t->measured.cpu_milli = cpu_milli;
    t->measured.memory_mb = memory_mb;
    add_room(t);
    t->peak.cpu_milli = larger(t->peak.cpu_milli, cpu_milli);
    t->peak.memory_mb = larger(t->peak.memory_mb, memory_mb);
}

void
cw_place_take(struct cw_place_task *t, struct cw_place_worker *w,
              struct cw_size size)
{
    struct cw_place_team *team = t->job->team;
    t->worker = w;
    t->given = size;
    t->worker_prev = NULL;
    t->worker_next = w->tasks;
    if (w->tasks != NULL) {
        w->tasks->worker_prev = t;
    }
    w->tasks = t;
    add_room(t);
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
    subtract_room(t);
    /* Whatever became of a probe, the next one may be sent when it is due. */
    w->health.probing = false;
    team->used_cpu -= t->given.cpu_milli;
    team->used_memory -= t->given.memory_mb;
    team->used_accelerators -= t->given.accelerators;
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
    /* It keeps its time of arrival and goes ahead of what came later. */
    cw_place_enqueue(t, true);
}
