/* Workers: their entries in the list, the tasks on each, stops and leases. */
#include "cw_jobs_int.h"
#include "cw_tenant.h"

#include <stdlib.h>
#include <string.h>

/* An entry born later than this after now is no worker's: it would end the
 * earlier incarnations of its VM, and hide the later ones. The clocks of the
 * worker and of this daemon may differ. */
#define BORN_AHEAD_MAX_MS ((cw_ms)24 * 3600 * 1000)

struct cw_pool *
cw_sched_get_pool(struct cw_sched *s, struct cw_str service)
{
    struct cw_pool *p = cw_map_get(&s->pools, service);

    if (p != NULL) {
        return p;
    }
    p = calloc(1, sizeof(*p));
    if (p == NULL || cw_name_set(&p->service, service) != CW_OK ||
        cw_map_put(&s->pools, p) != CW_OK) {
        free(p);
        return NULL;
    }
    p->next = s->pool_list;
    s->pool_list = p;
    return p;
}

struct cw_worker *
cw_sched_find_worker(const struct cw_sched *s, struct cw_str id)
{
    return cw_map_get(&s->workers, id);
}

static void
pool_add_worker(struct cw_pool *p, struct cw_worker *w)
{
    w->pool = p;
    w->prev = NULL;
    w->next = p->workers;
    if (w->next != NULL) {
        w->next->prev = w;
    }
    p->workers = w;
    p->worker_count++;
}

static void
pool_remove_worker(struct cw_worker *w)
{
    if (w->prev != NULL) {
        w->prev->next = w->next;
    }
    else {
        w->pool->workers = w->next;
    }
    if (w->next != NULL) {
        w->next->prev = w->prev;
    }
    w->pool->worker_count--;
}

struct cw_worker *
cw_sched_worker_stub(struct cw_sched *s, struct cw_str id, struct cw_pool *p,
                     cw_ms now)
{
    struct cw_worker *w = cw_sched_find_worker(s, id);

    if (w != NULL) {
        return w;
    }
    w = calloc(1, sizeof(*w));
    if (w == NULL || cw_name_set(&w->id, id) != CW_OK ||
        cw_map_put(&s->workers, w) != CW_OK) {
        free(w);
        return NULL;
    }
    w->state = CW_WORKER_GONE;
    w->gone_at = now;
    w->idle_at = now;
    pool_add_worker(p, w);
    return w;
}

/* ---- the workers of a VM ---- */

void
cw_worker_leave_vm(struct cw_sched *s, struct cw_worker *w)
{
    struct cw_vm_workers *v = w->vm_workers;
    struct cw_worker **link;

    if (v == NULL) {
        return;
    }
    for (link = &v->list; *link != w; link = &(*link)->vm_next) {
    }
    *link = w->vm_next;
    w->vm_workers = NULL;
    if (v->list == NULL) {
        (void)cw_map_remove(&s->vms, cw_name_str(&v->vm));
        free(v);
    }
}

void
cw_worker_set_vm(struct cw_sched *s, struct cw_worker *w, struct cw_str vm)
{
    struct cw_vm_workers *v;

    if (w->vm_workers != NULL && cw_str_eq(cw_name_str(&w->vm), vm)) {
        return;
    }
    cw_worker_leave_vm(s, w);
    if (cw_name_set(&w->vm, vm) != CW_OK || vm.len == 0) {
        return;
    }
    v = cw_map_get(&s->vms, vm);
    if (v == NULL) {
        v = calloc(1, sizeof(*v));
        CW_INVARIANT(v != NULL);
        v->vm = w->vm;
        CW_INVARIANT(cw_map_put(&s->vms, v) == CW_OK);
    }
    w->vm_workers = v;
    w->vm_next = v->list;
    v->list = w;
}

/* ---- tasks on a worker ---- */

void
cw_task_set_state(struct cw_task *t, enum cw_run_state st)
{
    if (t->state == CW_RUN_WAITING) {
        t->job->waiting_count--;
    }
    if (st == CW_RUN_WAITING) {
        t->job->waiting_count++;
    }
    t->job->begun |= st == CW_RUN_RUNNING || st == CW_RUN_DONE;
    t->state = (uint8_t)st;
}

void
cw_task_place(struct cw_task *t, struct cw_worker *w)
{
    const struct cw_step *st = cw_task_step(t);

    t->worker = w;
    t->prev = NULL;
    t->next = w->tasks;
    if (t->next != NULL) {
        t->next->prev = t;
    }
    w->tasks = t;
    w->beside.valid = false;
    w->task_count++;
    if (st->backfill) {
        w->backfill_count++;
    }
    else {
        w->used.cpu_milli += st->need.cpu_milli;
    }
    w->used.memory_mb += st->need.memory_mb;
    w->used.accelerators += st->need.accelerators;
    cw_tenant_count_task(t->job, st, 1);
    if (st->lasting) {
        w->lasting_count++;
        w->lasting.cpu += st->backfill ? 0 : st->need.cpu_milli;
        w->lasting.mb += st->need.memory_mb;
    }
}

void
cw_task_unplace(struct cw_sched *s, struct cw_task *t, cw_ms now)
{
    const struct cw_step *st = cw_task_step(t);
    struct cw_worker *w = t->worker;

    if (w == NULL) {
        return;
    }
    if (t->prev != NULL) {
        t->prev->next = t->next;
    }
    else {
        w->tasks = t->next;
    }
    if (t->next != NULL) {
        t->next->prev = t->prev;
    }
    t->prev = NULL;
    t->next = NULL;
    t->worker = NULL;
    cw_worker_health_probe_over(&w->health, t->probe);
    t->probe = 0;
    t->at_work_since = 0;
    w->beside.valid = false;
    w->task_count--;
    if (st->backfill) {
        w->backfill_count--;
    }
    else {
        w->used.cpu_milli -= st->need.cpu_milli;
    }
    w->used.memory_mb -= st->need.memory_mb;
    w->used.accelerators -= st->need.accelerators;
    cw_tenant_count_task(t->job, st, -1);
    if (t->state != CW_RUN_WAITING) { /* else a trial of a gang */
        cw_tenant_wake(s, t->job->use->tenant);
    }
    if (st->lasting) {
        w->lasting_count--;
        w->lasting.cpu -= st->backfill ? 0 : st->need.cpu_milli;
        w->lasting.mb -= st->need.memory_mb;
    }
    if (w->task_count == 0) {
        w->idle_at = now;
    }
    t->pace_percent = 100;
    t->pace_first = false;
    t->measured = 0;
    t->stop_answered_at = 0;
    cw_pool_plan_soon(s, w->pool);
}

struct cw_run_row
cw_task_row(const struct cw_task *t)
{
    return (struct cw_run_row){.job = t->job->id,
                               .occurrence = t->occurrence,
                               .step = t->step,
                               .index = t->index,
                               .run = t->run};
}

void
cw_task_requeue(struct cw_sched *s, struct cw_task *t, enum cw_run_loss why,
                cw_ms now)
{
    if (t->worker != NULL) {
        cw_run_given_up(s, t, why, now);
        if (why == CW_LOSS_LAPSED) {
            cw_worker_begin_ramp(s, t->worker, now);
        }
    }
    if (t->former_of != NULL) {
        cw_task_end_former(s, t, now);
        return;
    }
    cw_task_unplace(s, t, now);
    cw_task_set_state(t, CW_RUN_WAITING);
    if (t->former != NULL) {
        /* The task was replaced because that run takes too long. */
        cw_sched_stop_task(s, t->former, now);
    }
    if (t->job->pool != NULL) {
        cw_pool_plan_soon(s, t->job->pool); /* its worker's may be another */
    }
    t->state_since = now;
    t->ready_at = now;
    t->started_up = false;
    cw_job_mark_dirty(s, t->job);
    cw_job_release_tasks(s, t->job);
}

static void
unlink_unsent(struct cw_sched *s, const struct cw_task *t)
{
    struct cw_task **link = &s->unsent;

    while (*link != NULL && *link != t) {
        link = &(*link)->unsent_next;
    }
    if (*link != NULL) {
        *link = t->unsent_next;
    }
}

bool
cw_task_drop_unsent(struct cw_sched *s, struct cw_task *t, cw_ms now)
{
    struct cw_run_row row = cw_task_row(t);

    if (t->state != CW_RUN_STARTING ||
        (t->order_batch <= s->committed &&
         (s->ops->drop_start == NULL ||
          !s->ops->drop_start(s->ctx, t->worker, &row)))) {
        return false;
    }
    cw_task_lost(s, t, CW_LOSS_UNSENT, now);
    return true;
}

void
cw_sched_stop_task(struct cw_sched *s, struct cw_task *t, cw_ms now)
{
    struct cw_run_row row = cw_task_row(t);

    if (t->worker == NULL || t->state == CW_RUN_STOPPING ||
        cw_task_drop_unsent(s, t, now)) {
        return;
    }
    cw_task_set_state(t, CW_RUN_STOPPING);
    t->state_since = now;
    t->stop_answered_at = 0;
    t->started_up = false;
    cw_job_mark_dirty(s, t->job);
    s->ops->stop(s->ctx, t->worker, &row);
}

void
cw_sched_stop_task_for(struct cw_sched *s, struct cw_task *t,
                       enum cw_stop_cause cause, cw_ms now)
{
    if (t->worker != NULL && t->state != CW_RUN_STOPPING) {
        t->stop_cause = (uint8_t)cause;
    }
    cw_sched_stop_task(s, t, now);
}

void
cw_task_lost(struct cw_sched *s, struct cw_task *t, enum cw_run_loss why,
             cw_ms now)
{
    unlink_unsent(s, t);
    t->unsent_next = NULL;
    cw_task_requeue(s, t, why, now);
}

void
cw_sched_worker_lost(struct cw_sched *s, struct cw_worker *w,
                     enum cw_run_loss why, cw_ms now)
{
    while (w->tasks != NULL) {
        cw_task_lost(s, w->tasks, why, now);
    }
    cw_stray_worker_lost(s, w);
}

/* ---- the list ---- */

static void
copy_entry(struct cw_sched *s, struct cw_worker *w,
           const struct cw_worker_entry *e)
{
    cw_worker_set_vm(s, w, cw_name_str(&e->vm));
    w->address = e->address;
    w->dc = e->dc;
    w->rack = e->rack;
    w->label_count = e->label_count;
    memcpy(w->labels, e->labels, sizeof(w->labels));
    w->capacity = e->capacity;
}

/* Stops the lasting tasks of a draining worker at once, so that they start
 * elsewhere before the worker ends them. */
static void
stop_lasting_tasks(struct cw_sched *s, struct cw_worker *w, cw_ms now)
{
    struct cw_task *t = w->tasks;

    while (t != NULL) {
        struct cw_task *next = t->next;

        if (cw_task_step(t)->lasting) {
            cw_sched_stop_task_for(s, t, CW_STOP_DRAINING, now);
        }
        t = next;
    }
}

/* The start of a worker's incarnation. After a takeover, of one that the list
 * lacks, the latest that a record of its runs names; 0: unknown. */
static int64_t
known_start(const struct cw_worker *w)
{
    int64_t born = w->born_wall;

    for (const struct cw_task *t = w->born_wall != 0 ? NULL : w->tasks;
         t != NULL; t = t->next) {
        born = t->born_wall > born ? t->born_wall : born;
    }
    return born;
}

void
cw_worker_end_earlier(struct cw_sched *s, const struct cw_worker *w, cw_ms now)
{
    if (w->vm_workers == NULL || w->born_wall == 0) {
        return;
    }
    for (struct cw_worker *o = w->vm_workers->list; o != NULL;
         o = o->vm_next) {
        int64_t born = known_start(o);

        if (o != w && (o->state != CW_WORKER_GONE || o->tasks != NULL) &&
            born != 0 && born < w->born_wall) {
            cw_sched_worker_gone(s, cw_name_str(&o->id), now);
            cw_sched_worker_lost(s, o, CW_LOSS_REPLACED, now);
        }
    }
}

static bool
has_later_incarnation(const struct cw_sched *s,
                      const struct cw_worker_entry *e)
{
    const struct cw_vm_workers *v = cw_map_get(&s->vms, cw_name_str(&e->vm));

    if (v == NULL || e->vm.len == 0 || e->born_wall == 0) {
        return false;
    }
    for (const struct cw_worker *o = v->list; o != NULL; o = o->vm_next) {
        if (o->contacted && o->born_wall > e->born_wall) {
            return true;
        }
    }
    return false;
}

struct cw_worker *
cw_sched_worker_listed(struct cw_sched *s, const struct cw_worker_entry *e,
                       cw_ms now)
{
    struct cw_pool *p;
    struct cw_worker *w;
    uint8_t state = e->draining ? CW_WORKER_DRAINING : CW_WORKER_READY;

    if (e->born_wall > now + s->wall_offset + BORN_AHEAD_MAX_MS) {
        cw_log(CW_DEBUG, "worker_entry_invalid",
               "key=%s reason=\"born in the future\" born=%lld", e->id.text,
               (long long)e->born_wall);
        return NULL;
    }
    p = cw_sched_get_pool(s, cw_name_str(&e->service));
    if (p == NULL) {
        return NULL;
    }
    w = cw_sched_find_worker(s, cw_name_str(&e->id));
    if ((w == NULL || w->state == CW_WORKER_GONE) &&
        has_later_incarnation(s, e)) {
        return w;
    }
    w = cw_sched_worker_stub(s, cw_name_str(&e->id), p, now);
    if (w == NULL || (e->born_wall != 0 && e->born_wall < w->born_wall)) {
        return w;
    }
    if (w->pool != p) {
        pool_remove_worker(w);
        pool_add_worker(p, w);
    }
    if (e->born_wall > w->born_wall) {
        cw_worker_new_incarnation(s, w, e->born_wall, e->clock_ms, now);
    }
    if (e->current && e->born_wall == w->born_wall) {
        cw_worker_seen_alive(w);
    }
    if (w->state == CW_WORKER_GONE && w->contacted &&
        w->born_wall == e->born_wall) {
        cw_worker_begin_ramp(s, w, now);
    }
    copy_entry(s, w, e);
    if (w->state != state) {
        cw_log(CW_INFO, "worker_state", "worker=%s service=%s vm=%s state=%s",
               w->id.text, p->service.text, w->vm.text,
               e->draining ? "draining" : "ready");
        w->state = state;
        cw_pool_plan_soon(s, p);
        if (e->draining) {
            stop_lasting_tasks(s, w, now);
        }
    }
    return w;
}

void
cw_sched_worker_gone(struct cw_sched *s, struct cw_str id, cw_ms now)
{
    struct cw_worker *w = cw_sched_find_worker(s, id);

    if (w == NULL || w->state == CW_WORKER_GONE) {
        return;
    }
    cw_log(CW_INFO, "worker_state",
           "worker=%s service=%s vm=%s state=gone tasks=%u", w->id.text,
           w->pool->service.text, w->vm.text, w->task_count);
    w->state = CW_WORKER_GONE;
    w->gone_at = now;
}

/* ---- acknowledgements ---- */

void
cw_worker_await_ack(struct cw_sched *s, struct cw_worker *w)
{
    if (!w->ack_waits) {
        w->ack_waits = true;
        w->ack_next = s->acks;
        s->acks = w;
    }
}

static void
drop_ack(struct cw_sched *s, struct cw_worker *w)
{
    struct cw_worker **link = &s->acks;

    if (!w->ack_waits) {
        return;
    }
    while (*link != w) {
        link = &(*link)->ack_next;
    }
    *link = w->ack_next;
    w->ack_waits = false;
}

/* An entry that left the list may reappear within seconds. */
#define GONE_RETENTION_MS 10000

void
cw_sched_sweep_workers(struct cw_sched *s, cw_ms now,
                       void (*drop)(void *ctx, struct cw_worker *w))
{
    for (struct cw_pool *p = s->pool_list; p != NULL; p = p->next) {
        struct cw_worker *w = p->workers;

        while (w != NULL) {
            struct cw_worker *next = w->next;

            if (w->state == CW_WORKER_GONE && w->tasks == NULL &&
                now - w->gone_at > GONE_RETENTION_MS) {
                drop(s->ctx, w);
                drop_ack(s, w);
                cw_worker_leave_vm(s, w);
                (void)cw_map_remove(&s->workers, cw_name_str(&w->id));
                pool_remove_worker(w);
                free(w);
            }
            w = next;
        }
    }
}
