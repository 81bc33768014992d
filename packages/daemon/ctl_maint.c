/* Control module for maintenance and moves: keeps per-VM and per-pool data in
 * step with the replicated state and runs the decisions for the scopes that
 * this daemon holds. */
#include "cw_ctl_maint.h"

#include <stdlib.h>
#include <string.h>

#define OPS_INTERVAL_MS 200
#define WAVES_INTERVAL_MS CW_SECOND
#define MOVES_INTERVAL_MS (5 * CW_SECOND)

void
cw_ctl_pool_scope(const struct cw_name *pool, struct cw_name *scope)
{
    char text[CW_NAME_MAX + 8];
    int n = snprintf(text, sizeof(text), "pool/%s", pool->text);
    if (cw_name_set(scope, (struct cw_str){text, (size_t)n}) != CW_OK) {
        memset(scope, 0, sizeof(*scope));
    }
}

struct cw_pool_ctl *
cw_pool_ctl_get(struct cw_daemon *d, const struct cw_name *pool)
{
    struct cw_ctl_maint *m = d->ctl_maint;
    for (size_t i = 0; m != NULL && i < m->pool_count; i++) {
        if (cw_name_eq(&m->pools[i]->pool, pool)) {
            return m->pools[i];
        }
    }
    if (m == NULL) {
        return NULL;
    }
    struct cw_pool_ctl **grown =
        realloc(m->pools, (m->pool_count + 1) * sizeof(struct cw_pool_ctl *));
    if (grown == NULL) {
        return NULL;
    }
    m->pools = grown;
    struct cw_pool_ctl *p = calloc(1, sizeof(*p));
    if (p == NULL) {
        return NULL;
    }
    p->pool = *pool;
    cw_wave_init(&p->wave);
    m->pools[m->pool_count++] = p;
    return p;
}

/* Makes the list of entries match the VMs of the state. Both are sorted by
 * VM name, so one merge pass is enough. */
static bool
sync_vms(struct cw_ctl_maint *m, const struct cw_state *s)
{
    struct cw_vm_ctl **vms =
        calloc(s->vm_count + 1, sizeof(struct cw_vm_ctl *));
    const struct cw_op_entry **last_ops =
        calloc(s->vm_count + 1, sizeof(struct cw_op_entry *));
    size_t old = 0;
    bool ok = vms != NULL && last_ops != NULL;
    for (size_t i = 0; ok && i < s->vm_count; i++) {
        struct cw_str name = cw_name_str(&s->vms[i]->vm);
        while (old < m->vm_count &&
               cw_str_cmp(cw_name_str(&m->vms[old]->vm), name) < 0) {
            free(m->vms[old++]);
        }
        if (old < m->vm_count &&
            cw_name_eq(&m->vms[old]->vm, &s->vms[i]->vm)) {
            vms[i] = m->vms[old++];
            continue;
        }
        vms[i] = calloc(1, sizeof(*vms[i]));
        CW_INVARIANT(vms[i] != NULL);
        vms[i]->vm = s->vms[i]->vm;
    }
    if (!ok) {
        free(vms);
        free(last_ops);
        return false;
    }
    while (old < m->vm_count) {
        free(m->vms[old++]);
    }
    free(m->vms);
    free(m->last_ops);
    m->vms = vms;
    m->last_ops = last_ops;
    m->vm_count = s->vm_count;
    return true;
}

static size_t
find_vm(const struct cw_state *s, const struct cw_name *vm)
{
    size_t lo = 0;
    size_t hi = s->vm_count;
    while (lo < hi) {
        size_t mid = lo + (hi - lo) / 2;
        int c = cw_str_cmp(cw_name_str(&s->vms[mid]->vm), cw_name_str(vm));
        if (c == 0) {
            return mid;
        }
        if (c < 0) {
            lo = mid + 1;
        }
        else {
            hi = mid;
        }
    }
    return s->vm_count;
}

/* Pointers into the state are valid only until its next change, so they are
 * looked up again after each change. */
static void
sync_state(struct cw_daemon *d)
{
    struct cw_ctl_maint *m = d->ctl_maint;
    const struct cw_state *s = &d->state;
    if ((m->state_version == s->version && m->last_ops != NULL) ||
        !sync_vms(m, s)) {
        return;
    }
    m->state_version = s->version;
    for (size_t i = 0; i < s->op_count; i++) {
        size_t vm = find_vm(s, &s->ops[i]->rec.vm);
        if (vm < s->vm_count) {
            m->last_ops[vm] = s->ops[i];
        }
    }
    cw_loads_update(&m->loads, d);
}

static struct cw_ctl_maint *
new_ctl_maint(cw_ms now)
{
    struct cw_ctl_maint *m = calloc(1, sizeof(*m));
    if (m != NULL) {
        m->started_at = now;
        m->member_epoch_at = now;
    }
    return m;
}

void
cw_ctl_maint_tick(struct cw_daemon *d, cw_ms now)
{
    if (d->ctl_maint == NULL) {
        d->ctl_maint = new_ctl_maint(now);
    }
    struct cw_ctl_maint *m = d->ctl_maint;
    if (m == NULL || now < m->next_at || !cw_daemon_synced(d)) {
        return;
    }
    m->next_at = now + OPS_INTERVAL_MS;
    if (m->member_epoch != d->state.member_epoch) {
        m->member_epoch = d->state.member_epoch;
        m->member_epoch_at = now;
    }
    sync_state(d);
    if (m->state_version != d->state.version) {
        return;
    }
    for (size_t i = 0; i < m->vm_count; i++) {
        cw_ops_drive(d, i, now);
    }
    if (!cw_daemon_log_available(d, now)) {
        return;
    }
    if (now >= m->next_waves_at) {
        m->next_waves_at = now + WAVES_INTERVAL_MS;
        cw_ctl_run_waves(d, now);
    }
    if (now >= m->next_moves_at) {
        m->next_moves_at = now + MOVES_INTERVAL_MS;
        cw_ctl_run_moves(d, now);
    }
}

void
cw_ctl_maint_finish(struct cw_daemon *d)
{
    struct cw_ctl_maint *m = d->ctl_maint;
    if (m == NULL) {
        return;
    }
    for (size_t i = 0; i < m->vm_count; i++) {
        free(m->vms[i]);
    }
    for (size_t i = 0; i < m->pool_count; i++) {
        free(m->pools[i]);
    }
    free(m->vms);
    free(m->last_ops);
    free(m->pools);
    cw_loads_finish(&m->loads);
    free(m);
    d->ctl_maint = NULL;
}
