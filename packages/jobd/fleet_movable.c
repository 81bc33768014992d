/* The capacity that a pool could still get: VMs that are idle, off, or on
 * their way. Admission control counts it as the pool's own, so that no job is
 * refused while there is room elsewhere. */
#include "fleet_int.h"

static bool
serves(const struct fleet_vm *v)
{
    return v->phase == CW_VM_UP && v->order == VM_NONE && v->worker != NULL &&
           v->worker->state == CW_WORKER_READY && !v->worker->cordoned &&
           !cw_fleet_vm_is_cordoned(v);
}

/* Adds a VM to its pool, or to all pools. */
static void
add_vm(const struct cw_jobd *d, const struct fleet_vm *v, uint64_t *all,
       cw_ms now)
{
    bool moves = v->order == VM_MOVE || v->phase == CW_VM_MOVING;
    const struct cw_name *at = moves ? &v->target_pool : &v->pool;
    struct cw_pool *p = cw_map_get(&d->sched->pools, cw_name_str(at));
    uint64_t cpu = v->capacity.cpu_milli;

    if (moves) {
        *all += at->len == 0 ? cpu : 0;
        if (p != NULL && at->len > 0) {
            p->movable_cpu += cpu;
        }
    }
    else if (cw_fleet_vm_is_idle(d, v, now)) {
        *all += cpu;
        if (p != NULL && serves(v)) {
            p->movable_cpu -= cpu; /* in the pool's own capacity */
        }
    }
    else if (p != NULL && !serves(v)) {
        p->movable_cpu += cpu;
    }
}

/* What each pool gets of the VMs when all pools need them. */
static double
fair_share(const struct cw_jobd *d)
{
    uint64_t sum = 0;
    uint32_t pools = 0;

    for (size_t i = 0; i < d->config.service_count; i++) {
        pools += d->config.services[i].spare ? 0 : 1;
    }
    for (const struct fleet_vm *v = d->fleet->list; v != NULL; v = v->next) {
        if (v->listed_at != 0 && !v->left && v->phase != CW_VM_DOWN &&
            v->phase != CW_VM_MAINTENANCE) {
            sum += v->capacity.cpu_milli;
        }
    }
    return pools > 0 ? (double)sum / pools : 0;
}

void
cw_fleet_movable_update(struct cw_jobd *d, cw_ms now)
{
    uint64_t all = 0;
    double share;

    if (d->config.tenant_count == 0 && !d->settings.admission) {
        return;
    }
    share = fair_share(d);
    for (struct cw_pool *p = d->sched->pool_list; p != NULL; p = p->next) {
        p->fair_share_cpu = share;
        p->movable_cpu = 0;
        p->movable_at = now;
    }
    for (const struct fleet_vm *v = d->fleet->list; v != NULL; v = v->next) {
        if (v->listed_at != 0 && !v->left && !v->draining &&
            !v->wave_pending && v->phase != CW_VM_MAINTENANCE &&
            v->phase != CW_VM_DOWN) {
            add_vm(d, v, &all, now);
        }
    }
    /* Sums below 0 become right with what all pools can get. */
    for (struct cw_pool *p = d->sched->pool_list; p != NULL; p = p->next) {
        p->movable_cpu += all;
    }
}
