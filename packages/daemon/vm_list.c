/* Follows the platform's VM list and brings new VMs into the log. */
#include "cw_modules.h"
#include "cw_runners.h"

#include <stdlib.h>
#include <string.h>

#define LIST_EVERY_MS 1000
#define RECORD_RETRY_MS (5 * CW_SECOND)
/* Records written in one round, so that a start with thousands of VMs stays
 * within the log's append rate. */
#define RECORDS_PER_ROUND 20

struct cw_vm_view {
    struct cw_vm_info info;
    cw_ms appended; /* when a record was last written for it */
};

static struct cw_vm_view *
view_entry(struct cw_runners *all, const struct cw_name *vm)
{
    struct cw_vm_view *grown;

    for (size_t i = 0; i < all->view_count; i++) {
        if (cw_name_eq(&all->views[i].info.vm, vm)) {
            return &all->views[i];
        }
    }
    if (all->view_count == all->view_cap) {
        size_t cap = all->view_cap == 0 ? 64 : all->view_cap * 2;

        grown = realloc(all->views, cap * sizeof(*grown));
        if (grown == NULL) {
            return NULL;
        }
        all->views = grown;
        all->view_cap = cap;
    }
    memset(&all->views[all->view_count], 0, sizeof(struct cw_vm_view));
    all->views[all->view_count].appended = -CW_DAY;
    return &all->views[all->view_count++];
}

/* The list's signal that a runner leaves; a list that still shows it alive
 * never takes a signal back. */
static void
follow_view(struct cw_daemon *d, const struct cw_vm_info *info)
{
    struct cw_runner *e = cw_runners_find(d, cw_name_str(&info->vm));

    if (info->state != CW_VM_LIVE) {
        cw_runners_leaving(d, cw_name_str(&info->vm), info->incarnation,
                           CW_LEAVING_LIST);
    }
    else if (e != NULL && info->incarnation > e->ep.incarnation) {
        /* The runner that the log knows is no more. */
        cw_runners_leaving(d, cw_name_str(&info->vm), e->ep.incarnation,
                           CW_LEAVING_LIST);
    }
}

static void
on_list(void *arg, enum cw_status s, uint64_t version, size_t count,
        const struct cw_vm_info *vms)
{
    struct cw_daemon *d = arg;
    struct cw_runners *all = d->runners;

    if (all == NULL) {
        return;
    }
    all->list_pending = false;
    if (s != CW_OK) {
        return;
    }
    all->list_version = version;
    for (size_t i = 0; i < count; i++) {
        struct cw_vm_view *v = view_entry(all, &vms[i].vm);

        if (v == NULL) {
            /* Asks for everything again when memory is there. */
            all->list_version = 0;
            return;
        }
        if (v->info.incarnation != vms[i].incarnation) {
            v->appended = -CW_DAY;
        }
        v->info = vms[i];
        follow_view(d, &vms[i]);
    }
}

static bool
record_wanted(const struct cw_daemon *d, const struct cw_vm_view *v,
              struct cw_name *pool)
{
    const struct cw_vm_entry *vm =
        cw_state_vm(&d->state, cw_name_str(&v->info.vm));

    *pool = vm != NULL ? vm->pool : v->info.pool;
    if (v->info.state != CW_VM_LIVE || pool->len == 0) {
        return false;
    }
    return vm == NULL || v->info.incarnation > vm->incarnation ||
           (v->info.incarnation == vm->incarnation &&
            !cw_name_eq(&v->info.address, &vm->address));
}

static void
append_new(struct cw_daemon *d, cw_ms now)
{
    struct cw_runners *all = d->runners;
    unsigned written = 0;

    for (size_t i = 0; i < all->view_count && written < RECORDS_PER_ROUND;
         i++) {
        struct cw_vm_view *v = &all->views[i];
        char scope[CW_NAME_MAX + 8];
        struct cw_record r;
        struct cw_name pool;

        if (now - v->appended < RECORD_RETRY_MS ||
            !record_wanted(d, v, &pool)) {
            continue;
        }
        (void)snprintf(scope, sizeof(scope), "pool/%s", pool.text);
        if (!cw_daemon_holds(d, cw_str_from(scope), now)) {
            continue;
        }
        memset(&r, 0, sizeof(r));
        r.type = CW_REC_VM;
        r.u.vm.vm = v->info.vm;
        r.u.vm.incarnation = v->info.incarnation;
        r.u.vm.pool = pool;
        r.u.vm.dc = v->info.dc;
        r.u.vm.rack = v->info.rack;
        r.u.vm.address = v->info.address;
        v->appended = now;
        written++;
        cw_daemon_append(d, &r, NULL, NULL);
    }
}

void
cw_vm_list_tick(struct cw_daemon *d, cw_ms now)
{
    struct cw_runners *all = d->runners;

    if (now - all->list_at < LIST_EVERY_MS) {
        return;
    }
    all->list_at = now;
    if (!all->list_pending) {
        all->list_pending = true;
        d->vmlist.get(d->vmlist.ctx, all->list_version, on_list, d);
    }
    if (cw_daemon_log_available(d, now)) {
        append_new(d, now);
    }
}
