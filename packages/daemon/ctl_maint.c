/* Control module for maintenance and moves: follows the state and runs the
 * decisions for the scopes that this daemon holds. */
#include "cw_ctl_maint.h"

#include <stdlib.h>
#include <string.h>

#define OPS_EVERY_MS 200
#define WAVES_EVERY_MS CW_SECOND
#define MOVES_EVERY_MS (5 * CW_SECOND)

void
cw_ctl_scope(const struct cw_name *pool, struct cw_name *scope)
{
    char text[CW_NAME_MAX + 8];
    int n = snprintf(text, sizeof(text), "pool/%s", pool->text);
    if (cw_name_set(scope, (struct cw_str){text, (size_t)n}) != CW_OK) {
        memset(scope, 0, sizeof(*scope));
    }
}

struct cw_pool_run *
cw_ctl_pool_run(struct cw_daemon *d, const struct cw_name *pool)
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
    struct cw_pool_run **grown =
        realloc(m->pools, (m->pool_count + 1) * sizeof(struct cw_pool_run *));
    if (grown == NULL) {
        return NULL;
    }
    m->pools = grown;
    struct cw_pool_run *p = calloc(1, sizeof(*p));
    if (p == NULL) {
        return NULL;
    }
    p->pool = *pool;
    cw_wave_init(&p->wave);
    m->pools[m->pool_count++] = p;
    return p;
}

/* Keeps one entry for each VM of the state; both lists are sorted. */
static bool
follow_vms(struct cw_ctl_maint *m, const struct cw_state *s)
{
    struct cw_vm_run **vms =
        calloc(s->vm_count + 1, sizeof(struct cw_vm_run *));
    const struct cw_op_entry **last =
        calloc(s->vm_count + 1, sizeof(struct cw_op_entry *));
    size_t old = 0;
    bool ok = vms != NULL && last != NULL;
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
        free(last);
        return false;
    }
    while (old < m->vm_count) {
        free(m->vms[old++]);
    }
    free(m->vms);
    free(m->last);
    m->vms = vms;
    m->last = last;
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

/* The state's pointers are valid until it changes, so everything that refers
 * to them is looked up again after each change. */
static void
follow_state(struct cw_daemon *d)
{
    struct cw_ctl_maint *m = d->ctl_maint;
    const struct cw_state *s = &d->state;
    if ((m->version == s->version && m->last != NULL) || !follow_vms(m, s)) {
        return;
    }
    m->version = s->version;
    for (size_t i = 0; i < s->op_count; i++) {
        size_t vm = find_vm(s, &s->ops[i]->rec.vm);
        if (vm < s->vm_count) {
            m->last[vm] = s->ops[i];
        }
    }
    cw_loads_update(&m->loads, d);
}

static struct cw_ctl_maint *
make(cw_ms now)
{
    struct cw_ctl_maint *m = calloc(1, sizeof(*m));
    if (m != NULL) {
        m->started = now;
        m->epoch_seen = now;
    }
    return m;
}

void
cw_ctl_maint_tick(struct cw_daemon *d, cw_ms now)
{
    if (d->ctl_maint == NULL) {
        d->ctl_maint = make(now);
    }
    struct cw_ctl_maint *m = d->ctl_maint;
    if (m == NULL || now < m->next || !cw_daemon_synced(d)) {
        return;
    }
    m->next = now + OPS_EVERY_MS;
    if (m->epoch != d->state.member_epoch) {
        m->epoch = d->state.member_epoch;
        m->epoch_seen = now;
    }
    follow_state(d);
    if (m->version != d->state.version) {
        return;
    }
    for (size_t i = 0; i < m->vm_count; i++) {
        cw_ops_drive(d, i, now);
    }
    if (!cw_daemon_log_available(d, now)) {
        return;
    }
    if (now >= m->next_waves) {
        m->next_waves = now + WAVES_EVERY_MS;
        cw_ctl_waves_run(d, now);
    }
    if (now >= m->next_moves) {
        m->next_moves = now + MOVES_EVERY_MS;
        cw_ctl_moves_run(d, now);
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
    free(m->last);
    free(m->pools);
    cw_loads_finish(&m->loads);
    free(m);
    d->ctl_maint = NULL;
}
