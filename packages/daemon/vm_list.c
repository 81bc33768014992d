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

/* The VM list's entry of one VM. */
struct cw_vm_view {
    struct cw_name vm; /* first, for the map */
    struct cw_vm_info info;
    cw_ms appended; /* when a record was last written for it */
};

static struct cw_vm_view *
view_new(struct cw_runners *all, const struct cw_name *vm)
{
    struct cw_vm_view *v;

    if (all->view_count == all->view_cap) {
        size_t cap = all->view_cap == 0 ? 64 : all->view_cap * 2;
        struct cw_vm_view **grown =
            realloc(all->views, cap * sizeof(struct cw_vm_view *));

        if (grown == NULL) {
            return NULL;
        }
        all->views = grown;
        all->view_cap = cap;
    }
    v = calloc(1, sizeof(*v));
    if (v == NULL) {
        return NULL;
    }
    v->vm = *vm;
    v->appended = -CW_DAY;
    if (cw_map_put(&all->view_map, v) != CW_OK) {
        free(v);
        return NULL;
    }
    all->views[all->view_count++] = v;
    return v;
}

static struct cw_vm_view *
view_entry(struct cw_runners *all, const struct cw_name *vm)
{
    struct cw_vm_view *v = cw_map_get(&all->view_map, cw_name_str(vm));

    return v != NULL ? v : view_new(all, vm);
}

/* Forgets a VM that both the platform and the log have given up. */
static void
view_remove(struct cw_runners *all, size_t i)
{
    struct cw_vm_view *v = all->views[i];

    (void)cw_map_remove(&all->view_map, cw_name_str(&v->vm));
    all->views[i] = all->views[--all->view_count];
    free(v);
}

void
cw_vm_list_finish(struct cw_runners *all)
{
    for (size_t i = 0; i < all->view_count; i++) {
        free(all->views[i]);
    }
    free(all->views);
    cw_map_finish(&all->view_map);
}

/* The list's signal that a runner leaves; a list that still shows it alive
 * never takes a signal back. */
static void
follow_view(struct cw_daemon *d, const struct cw_vm_info *info)
{
    struct cw_runner *e = cw_runners_find(d, cw_name_str(&info->vm));

    if (info->state != CW_VM_LIVE) {
        cw_runners_add_leaving_signal(d, cw_name_str(&info->vm),
                                      info->incarnation, CW_LEAVING_LIST);
    }
    else if (e != NULL && info->incarnation > e->ep.incarnation) {
        /* The runner that the log knows is no more. */
        cw_runners_add_leaving_signal(d, cw_name_str(&info->vm),
                                      e->ep.incarnation, CW_LEAVING_LIST);
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
    if (all->list_failed != (s != CW_OK)) {
        all->list_failed = s != CW_OK;
        cw_log(all->list_failed ? CW_WARN : CW_INFO, "vm_list", "status=%s",
               cw_status_name(s));
    }
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

/* True when the log has to learn of a new VM, a new incarnation or address, or
 * of a VM that has left for good. */
static bool
record_wanted(const struct cw_daemon *d, const struct cw_vm_view *v,
              struct cw_name *pool)
{
    const struct cw_vm_entry *vm =
        cw_state_vm(&d->state, cw_name_str(&v->info.vm));

    *pool = vm != NULL ? vm->pool : v->info.pool;
    if (v->info.state == CW_VM_GONE) {
        return vm != NULL && vm->op.len == 0 &&
               v->info.incarnation >= vm->incarnation;
    }
    if (v->info.state != CW_VM_LIVE || pool->len == 0) {
        return false;
    }
    return vm == NULL || v->info.incarnation > vm->incarnation ||
           (v->info.incarnation == vm->incarnation &&
            !cw_name_eq(&v->info.address, &vm->address));
}

static void
append_record(struct cw_daemon *d, struct cw_vm_view *v,
              const struct cw_name *pool, cw_ms now)
{
    struct cw_record r;

    memset(&r, 0, sizeof(r));
    r.type = CW_REC_VM;
    r.u.vm.vm = v->info.vm;
    r.u.vm.incarnation = v->info.incarnation;
    r.u.vm.pool = *pool;
    r.u.vm.dc = v->info.dc;
    r.u.vm.rack = v->info.rack;
    r.u.vm.address = v->info.address;
    r.u.vm.gone = v->info.state == CW_VM_GONE;
    v->appended = now;
    cw_daemon_append(d, &r, NULL, NULL);
}

static void
append_new(struct cw_daemon *d, cw_ms now)
{
    struct cw_runners *all = d->runners;
    unsigned written = 0;

    for (size_t i = 0; i < all->view_count && written < RECORDS_PER_ROUND;
         i++) {
        struct cw_vm_view *v = all->views[i];
        char scope[CW_NAME_MAX + 8];
        struct cw_name pool;

        if (v->info.state == CW_VM_GONE &&
            cw_state_vm(&d->state, cw_name_str(&v->vm)) == NULL) {
            view_remove(all, i--);
            continue;
        }
        if (now - v->appended < RECORD_RETRY_MS ||
            !record_wanted(d, v, &pool)) {
            continue;
        }
        (void)snprintf(scope, sizeof(scope), "pool/%s", pool.text);
        if (cw_daemon_holds(d, cw_str_from(scope), now)) {
            append_record(d, v, &pool, now);
            written++;
        }
    }
}

void
cw_vm_list_tick(struct cw_daemon *d, cw_ms now)
{
    struct cw_runners *all = d->runners;

    if (now - all->list_checked_at < LIST_EVERY_MS) {
        return;
    }
    all->list_checked_at = now;
    if (!all->list_pending) {
        all->list_pending = true;
        d->vmlist.get(d->vmlist.ctx, all->list_version, on_list, d);
    }
    if (cw_daemon_log_available(d, now)) {
        append_new(d, now);
    }
}
