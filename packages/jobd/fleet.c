/* VMs: the list and the state from which moves and maintenance are decided.
 * Only the scheduler orders VMs, and only while its membership cannot have
 * expired, because the store does not fence VM control. */
#include "fleet_int.h"

#include <stdlib.h>
#include <string.h>

/* Time between reads of the list of VMs. */
#define LIST_INTERVAL_MS 1000
#define LIST_TIMEOUT_MS 900
/* Time between decisions. */
#define PLAN_INTERVAL_MS 100
/* Time between two looks at the workers for machines that the list lacks. */
#define MACHINES_INTERVAL_MS 500
/* Time that a move may take beyond its configured duration. */
#define MOVE_DELAY_MS 100

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

/* ---- list ---- */

struct fleet_vm *
cw_fleet_vm_get(struct cw_jobd *d, const struct cw_name *name)
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
    cw_fleet_order_load(d, v);
    return v;
}

static void
apply_row(struct cw_jobd *d, const struct cw_vm_row *r, cw_ms sent, cw_ms now)
{
    struct fleet_vm *v = cw_fleet_vm_get(d, &r->vm);

    v->listed_at = now;
    /* A list requested before the order shows the old state. */
    if (v->accepted_at != 0 && sent < v->accepted_at) {
        return;
    }
    v->phase = r->phase;
    v->pool = r->pool;
    v->worker_id = r->worker;
    v->capacity = r->capacity;
    memcpy(v->labels, r->labels, sizeof(v->labels));
    v->label_count = r->label_count;
}

bool
cw_fleet_vm_has_left(const struct cw_jobd *d, const struct fleet_vm *v,
                     const struct cw_name *name, uint32_t reads)
{
    const struct cw_vm_workers *workers =
        cw_map_get(&d->sched->vms, cw_name_str(name));
    struct cw_vm_sightings s = {
        .reads = reads, .reads_without = v == NULL ? reads : v->reads_without};

    for (const struct cw_worker *w = workers == NULL ? NULL : workers->list;
         w != NULL; w = w->vm_next) {
        s.has_worker |= w->state != CW_WORKER_GONE && w->contacted;
    }
    return cw_vm_has_left(&s);
}

/* A VM that has left keeps no plan: when it is added again, it accepts
 * tasks. */
static void
update_left(struct cw_jobd *d, struct fleet_vm *v, cw_ms now)
{
    bool left = v->listed_at != 0 &&
                cw_fleet_vm_has_left(d, v, &v->name, v->reads_without);

    if (left == v->left) {
        return;
    }
    cw_log(CW_INFO, left ? "vm_left" : "vm_returned",
           "vm=%s pool=%s since_ms=%lld", v->name.text, v->pool.text,
           (long long)(now - (left ? v->listed_at : v->left_at)));
    v->left = left;
    v->left_at = now;
    v->reclaim_pool = (struct cw_name){0};
    v->draining = false;
    v->consolidating = false;
}

/* All pages of a read have come. */
static void
finish_read(struct cw_jobd *d, cw_ms now)
{
    struct cw_fleet *f = d->fleet;

    f->list_complete = true;
    f->list_due = now + LIST_INTERVAL_MS;
    for (struct fleet_vm *v = f->list; v != NULL; v = v->next) {
        v->reads_without =
            v->listed_at >= f->list_began ? 0 : v->reads_without + 1;
        update_left(d, v, now);
    }
    cw_fleet_update_machines(d);
    for (size_t i = 0; i < f->wave_count; i++) {
        f->waves[i].reads += f->waves[i].first_seen <= f->list_began ? 1 : 0;
    }
}

static void
on_list(void *arg, enum cw_status s, const struct cw_vm_page *p)
{
    struct cw_jobd *d = cw_term_ctx_release(arg);
    struct cw_fleet *f;
    cw_ms now;

    if (d == NULL || d->fleet == NULL) {
        return;
    }
    f = d->fleet;
    now = cw_jobd_now(d);
    f->list_call_open = false;
    if (s != CW_OK) {
        cw_log(CW_WARN, "vm_list_failed", "status=%s", cw_status_name(s));
        f->list_due = now + LIST_INTERVAL_MS;
        f->list_page.len = 0;
        return;
    }
    for (size_t i = 0; i < p->count; i++) {
        apply_row(d, &p->vms[i], f->list_began, now);
    }
    f->list_page = p->next;
    if (p->next.len == 0) {
        finish_read(d, now);
    }
}

static void
list_tick(struct cw_jobd *d, cw_ms now)
{
    struct cw_fleet *f = d->fleet;

    if (f->list_call_open || now < f->list_due) {
        return;
    }
    f->list_call_open = true;
    if (f->list_page.len == 0) {
        f->list_began = now;
    }
    d->ports.vmctl.list(d->ports.ctx, cw_name_str(&f->list_page),
                        LIST_TIMEOUT_MS, on_list, cw_term_ctx_new(d));
}

/* ---- state for the decisions ---- */

bool
cw_fleet_pool_is_spare(const struct cw_jobd *d, const struct cw_name *pool)
{
    for (size_t i = 0; i < d->config.service_count; i++) {
        if (cw_name_eq(&d->config.services[i].service, pool)) {
            return d->config.services[i].spare;
        }
    }
    return false;
}

/* The worker is a better match for its VM: an entry whose worker has not
 * reported may name another worker's VM. */
static bool
matches_better(const struct cw_worker *w, const struct cw_worker *than)
{
    if (than == NULL || w->contacted != than->contacted) {
        return than == NULL || w->contacted;
    }
    return w->born_wall > than->born_wall;
}

/* Finds the newest worker of each VM. */
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
            if (v != NULL && matches_better(w, v->worker)) {
                v->worker = w;
            }
        }
    }
    for (struct fleet_vm *v = d->fleet->list; v != NULL; v = v->next) {
        /* The VM registered as a new worker: the order is complete. */
        if (v->accepted_at != 0 && v->worker != NULL &&
            !cw_name_eq(&v->worker->id, &v->previous_worker)) {
            v->accepted_at = 0;
            v->phase = CW_VM_UP;
            v->pool = v->worker->pool->service;
        }
    }
}

/* Completes moves into spare pools after their duration: VMs that are off have
 * no worker that would register. */
static void
complete_spare_moves(struct cw_jobd *d, cw_ms now)
{
    for (struct fleet_vm *v = d->fleet->list; v != NULL; v = v->next) {
        if (v->accepted_at != 0 && v->phase == CW_VM_MOVING &&
            cw_fleet_pool_is_spare(d, &v->pool) &&
            now - v->accepted_at > d->settings.move_ms + MOVE_DELAY_MS) {
            v->accepted_at = 0;
            v->phase = CW_VM_UP;
        }
    }
}

/* Marks the VMs that waves have still to maintain. */
static void
mark_wave_vms(struct cw_jobd *d)
{
    for (struct fleet_vm *v = d->fleet->list; v != NULL; v = v->next) {
        v->wave_pending = false;
        if (v->worker != NULL) {
            v->worker->maintenance_due = false;
        }
    }
    for (size_t i = 0; i < d->fleet->wave_count; i++) {
        for (size_t k = 0; k < d->waves[i].vm_count; k++) {
            struct fleet_vm *v =
                cw_map_get(&d->fleet->vms, cw_name_str(&d->waves[i].vms[k]));

            if (v != NULL && !d->fleet->waves[i].done[k]) {
                v->wave_pending = true;
                if (v->worker != NULL) {
                    v->worker->maintenance_due = true;
                }
            }
        }
    }
}

bool
cw_fleet_vm_is_cordoned(const struct fleet_vm *v)
{
    /* An accepted order is over when another worker of the VM registers. */
    return v->order != VM_NONE || v->accepted_at != 0 || v->draining ||
           v->consolidating || v->reclaim_pool.len > 0;
}

bool
cw_fleet_vm_same_worker(const struct fleet_vm *v)
{
    return v->worker_id.len == 0 || cw_name_eq(&v->worker->id, &v->worker_id);
}

bool
cw_fleet_vm_is_idle(const struct cw_jobd *d, const struct fleet_vm *v,
                    cw_ms now)
{
    if (v->order != VM_NONE || v->phase != CW_VM_UP || now < v->retry_at ||
        v->listed_at == 0 || v->left || !cw_fleet_vm_may_order(d, v, now)) {
        return false;
    }
    if (cw_fleet_pool_is_spare(d, &v->pool)) {
        return true;
    }
    return v->worker != NULL && v->worker->tasks == NULL &&
           cw_fleet_vm_same_worker(v) && v->worker->state == CW_WORKER_READY &&
           v->worker->contacted && !v->worker->unanswered;
}

/* Tells the workers of all VMs whether they accept tasks. Each plan for a VM
 * may end while its worker's entry is missing, so that no plan can do this at
 * its own end. */
static void
update_cordons(struct cw_jobd *d, cw_ms now)
{
    for (struct fleet_vm *v = d->fleet->list; v != NULL; v = v->next) {
        bool cordoned = cw_fleet_vm_is_cordoned(v);

        if (!cordoned || v->worker == NULL) {
            v->cordoned_at = 0;
        }
        else if (v->cordoned_at == 0) {
            v->cordoned_at = now;
        }
        if (v->worker == NULL || v->worker->cordoned == cordoned) {
            continue;
        }
        v->worker->cordoned = cordoned;
        if (!cordoned) {
            cw_pool_plan_soon(d->sched, v->worker->pool);
        }
    }
}

void
cw_fleet_tick(struct cw_jobd *d, cw_ms now)
{
    struct cw_fleet *f = d->fleet;

    if (f == NULL || d->ports.vmctl.list == NULL || now < f->plan_due) {
        return;
    }
    f->plan_due = now + PLAN_INTERVAL_MS;
    list_tick(d, now);
    cw_fleet_demand_update(d, now);
    cw_fleet_waves_sync(d, now);
    if (!f->list_complete || !cw_member_lease_valid(d, now) || d->stopping) {
        return;
    }
    match_workers(d);
    complete_spare_moves(d, now);
    mark_wave_vms(d);
    cw_fleet_orders_tick(d, now);
    for (size_t i = 0; i < f->wave_count; i++) {
        cw_fleet_wave_run(d, i, now);
    }
    cw_fleet_moves_run(d, now);
    update_cordons(d, now);
}

void
cw_fleet_workers_listed(struct cw_jobd *d, cw_ms now)
{
    struct cw_fleet *f = d->fleet;

    /* With VM control workers add only what its list does not have yet. */
    if (f == NULL || (d->ports.vmctl.list != NULL &&
                      now - f->machines_at < MACHINES_INTERVAL_MS)) {
        return;
    }
    f->machines_at = now;
    cw_fleet_update_machines(d);
}

bool
cw_fleet_expects_workers(const struct cw_jobd *d, cw_ms now)
{
    if (d->fleet == NULL) {
        return false;
    }
    for (const struct fleet_vm *v = d->fleet->list; v != NULL; v = v->next) {
        if (v->accepted_at != 0 &&
            now - v->accepted_at > d->settings.move_ms &&
            now - v->accepted_at < INCOMING_MAX_MS) {
            return true;
        }
    }
    return false;
}
