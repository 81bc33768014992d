/* VMs: the list, orders, and what the decisions look at. Only the scheduler
 * orders, and only while its membership holds for certain: VM control is not
 * fenced by the store. */
#include "fleet_int.h"

#include <stdlib.h>
#include <string.h>

/* Time between looks at the list of VMs. */
#define LIST_EVERY_MS 1000
#define LIST_TIMEOUT_MS 900
/* Time between decisions. */
#define PLAN_EVERY_MS 100
/* Delay of a move beyond its stated time. */
#define SETTLE_MS 100

void
cw_fleet_open(struct cw_jobd *d)
{
    d->fleet = calloc(1, sizeof(*d->fleet));
    CW_INVARIANT(d->fleet != NULL);
    cw_map_init(&d->fleet->vms);
    cw_map_init(&d->fleet->demand);
}

void
cw_fleet_close(struct cw_jobd *d)
{
    struct cw_fleet *f = d->fleet;

    if (f == NULL) {
        return;
    }
    while (f->list != NULL) {
        struct fleet_vm *v = f->list;

        f->list = v->next;
        free(v);
    }
    for (size_t i = 0; i < f->curve_count; i++) {
        free(f->curves[i]);
    }
    for (size_t i = 0; i < f->wave_count; i++) {
        free(f->waves[i].done);
    }
    free(f->curves);
    free(f->waves);
    cw_map_finish(&f->vms);
    cw_map_finish(&f->demand);
    free(f);
    d->fleet = NULL;
}

/* ---- the list ---- */

struct fleet_vm *
cw_fleet_vm(struct cw_jobd *d, const struct cw_name *name)
{
    struct cw_fleet *f = d->fleet;
    struct fleet_vm *v = cw_map_get(&f->vms, cw_name_str(name));

    if (v != NULL) {
        return v;
    }
    v = calloc(1, sizeof(*v));
    CW_INVARIANT(v != NULL);
    v->name = *name;
    CW_INVARIANT(cw_map_put(&f->vms, v) == CW_OK);
    v->next = f->list;
    f->list = v;
    f->vm_count++;
    cw_fleet_order_recall(d, v);
    return v;
}

static void
take_row(struct cw_jobd *d, const struct cw_vm_row *r, cw_ms sent, cw_ms now)
{
    struct fleet_vm *v = cw_fleet_vm(d, &r->vm);

    v->listed = now;
    /* A list that was asked for before the order shows the past. */
    if (v->ordered_at != 0 && sent < v->ordered_at) {
        return;
    }
    v->phase = r->phase;
    v->pool = r->pool;
    v->worker_id = r->worker;
    v->capacity = r->capacity;
    memcpy(v->labels, r->labels, sizeof(v->labels));
    v->label_count = r->label_count;
}

static void
on_list(void *arg, enum cw_status s, const struct cw_vm_page *p)
{
    struct cw_jobd *d = cw_ticket_take(arg);
    struct cw_fleet *f;
    cw_ms now;

    if (d == NULL || d->fleet == NULL) {
        return;
    }
    f = d->fleet;
    now = cw_jobd_now(d);
    f->listing = false;
    if (s != CW_OK) {
        cw_log(CW_WARN, "vm_list_failed", "status=%s", cw_status_name(s));
        f->list_due = now + LIST_EVERY_MS;
        f->list_page.len = 0;
        return;
    }
    for (size_t i = 0; i < p->count; i++) {
        take_row(d, &p->vms[i], f->list_since, now);
    }
    f->list_page = p->next;
    if (p->next.len == 0) {
        f->listed_once = true;
        f->list_due = now + LIST_EVERY_MS;
    }
}

static void
list_tick(struct cw_jobd *d, cw_ms now)
{
    struct cw_fleet *f = d->fleet;

    if (f->listing || now < f->list_due) {
        return;
    }
    f->listing = true;
    if (f->list_page.len == 0) {
        f->list_since = now;
    }
    d->ports.vmctl.list(d->ports.ctx, cw_name_str(&f->list_page),
                        LIST_TIMEOUT_MS, on_list, cw_ticket_make(d));
}

/* ---- what the decisions look at ---- */

bool
cw_fleet_spare(const struct cw_jobd *d, const struct cw_name *pool)
{
    for (size_t i = 0; i < d->config.service_count; i++) {
        if (cw_name_eq(&d->config.services[i].service, pool)) {
            return d->config.services[i].spare;
        }
    }
    return false;
}

/* Finds the workers of the VMs. */
static void
match_workers(struct cw_jobd *d)
{
    for (struct fleet_vm *v = d->fleet->list; v != NULL; v = v->next) {
        v->worker = NULL;
    }
    for (struct cw_pool *p = d->sched->pool_list; p != NULL; p = p->next) {
        for (struct cw_worker *w = p->workers; w != NULL; w = w->next) {
            struct fleet_vm *v;

            if (w->vm.len == 0 || w->state == CW_WORKER_GONE) {
                continue;
            }
            v = cw_map_get(&d->fleet->vms, cw_name_str(&w->vm));
            if (v != NULL &&
                (v->worker == NULL || v->worker->born_wall < w->born_wall)) {
                v->worker = w;
            }
        }
    }
    for (struct fleet_vm *v = d->fleet->list; v != NULL; v = v->next) {
        /* The VM came back as another worker. */
        if (v->ordered_at != 0 && v->worker != NULL &&
            !cw_name_eq(&v->worker->id, &v->old_worker)) {
            v->ordered_at = 0;
            v->phase = CW_VM_UP;
            v->pool = v->worker->pool->service;
        }
    }
}

/* VMs that were turned off have no worker to tell that their move is over. */
static void
settle_spares(struct cw_jobd *d, cw_ms now)
{
    for (struct fleet_vm *v = d->fleet->list; v != NULL; v = v->next) {
        if (v->ordered_at != 0 && v->phase == CW_VM_MOVING &&
            cw_fleet_spare(d, &v->pool) &&
            now - v->ordered_at > d->settings.move_ms + SETTLE_MS) {
            v->ordered_at = 0;
            v->phase = CW_VM_UP;
        }
    }
}

/* Marks the VMs that waves have to maintain yet. */
static void
mark_waves(struct cw_jobd *d)
{
    for (struct fleet_vm *v = d->fleet->list; v != NULL; v = v->next) {
        v->in_wave = false;
        if (v->worker != NULL) {
            v->worker->maintenance_due = false;
        }
    }
    for (size_t i = 0; i < d->fleet->wave_count; i++) {
        for (size_t k = 0; k < d->waves[i].vm_count; k++) {
            struct fleet_vm *v =
                cw_map_get(&d->fleet->vms, cw_name_str(&d->waves[i].vms[k]));

            if (v != NULL && !d->fleet->waves[i].done[k]) {
                v->in_wave = true;
                if (v->worker != NULL) {
                    v->worker->maintenance_due = true;
                }
            }
        }
    }
}

/* The list of VMs and the list of workers speak of the same life. */
bool
cw_fleet_same_life(const struct fleet_vm *v)
{
    return v->worker_id.len == 0 || cw_name_eq(&v->worker->id, &v->worker_id);
}

/* Runs nothing and can take an order. */
bool
cw_fleet_vm_free(const struct cw_jobd *d, const struct fleet_vm *v, cw_ms now)
{
    if (v->order != VM_NONE || v->phase != CW_VM_UP || now < v->retry_at ||
        v->listed == 0 || !cw_fleet_vm_ours(d, v, now)) {
        return false;
    }
    if (cw_fleet_spare(d, &v->pool)) {
        return true;
    }
    return v->worker != NULL && v->worker->tasks == NULL &&
           cw_fleet_same_life(v) && v->worker->state == CW_WORKER_READY &&
           v->worker->contacted;
}

void
cw_fleet_tick(struct cw_jobd *d, cw_ms now)
{
    struct cw_fleet *f = d->fleet;

    if (f == NULL || d->ports.vmctl.list == NULL || now < f->plan_due) {
        return;
    }
    f->plan_due = now + PLAN_EVERY_MS;
    list_tick(d, now);
    cw_fleet_demand_count(d, now);
    cw_fleet_waves_sync(d, now);
    if (!f->listed_once || !cw_member_certain(d, now) || d->stopping) {
        return;
    }
    match_workers(d);
    settle_spares(d, now);
    mark_waves(d);
    cw_fleet_orders_tick(d, now);
    for (size_t i = 0; i < f->wave_count; i++) {
        cw_fleet_wave_run(d, i, now);
    }
    cw_fleet_moves_run(d, now);
}

bool
cw_fleet_expects_workers(const struct cw_jobd *d, cw_ms now)
{
    if (d->fleet == NULL) {
        return false;
    }
    for (const struct fleet_vm *v = d->fleet->list; v != NULL; v = v->next) {
        if (v->ordered_at != 0 && now - v->ordered_at > d->settings.move_ms &&
            now - v->ordered_at < INCOMING_MAX_MS) {
            return true;
        }
    }
    return false;
}
