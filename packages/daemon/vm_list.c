/* Polls the platform's VM list and appends records of its changes to the log.
 */
#include "cw_modules.h"
#include "cw_runners.h"

#include <stdlib.h>
#include <string.h>

#define LIST_POLL_MS 1000
#define RECORD_RETRY_MS (5 * CW_SECOND)
/* Limits the records appended at once, so that a start with thousands of VMs
 * stays within the log's append rate. */
#define RECORDS_PER_TICK_MAX 20

/* A VM that the platform's VM list has shown. */
struct cw_listed_vm {
    struct cw_name vm; /* first, for the map */
    struct cw_vm_info info;
    cw_ms appended_at; /* when a record was last appended for it */
};

static struct cw_listed_vm *
add_listed_vm(struct cw_runners *all, const struct cw_name *vm)
{
    struct cw_listed_vm *v;

    if (all->listed_count == all->listed_cap) {
        size_t cap = all->listed_cap == 0 ? 64 : all->listed_cap * 2;
        struct cw_listed_vm **grown =
            realloc(all->listed, cap * sizeof(struct cw_listed_vm *));

        if (grown == NULL) {
            return NULL;
        }
        all->listed = grown;
        all->listed_cap = cap;
    }
    v = calloc(1, sizeof(*v));
    if (v == NULL) {
        return NULL;
    }
    v->vm = *vm;
    v->appended_at = -CW_DAY;
    if (cw_map_put(&all->listed_by_vm, v) != CW_OK) {
        free(v);
        return NULL;
    }
    all->listed[all->listed_count++] = v;
    return v;
}

static struct cw_listed_vm *
find_or_add_listed_vm(struct cw_runners *all, const struct cw_name *vm)
{
    struct cw_listed_vm *v = cw_map_get(&all->listed_by_vm, cw_name_str(vm));

    return v != NULL ? v : add_listed_vm(all, vm);
}

/* Removes a VM that is gone at the platform and not in the state. */
static void
remove_listed_vm(struct cw_runners *all, size_t i)
{
    struct cw_listed_vm *v = all->listed[i];

    (void)cw_map_remove(&all->listed_by_vm, cw_name_str(&v->vm));
    all->listed[i] = all->listed[--all->listed_count];
    free(v);
}

void
cw_vm_list_finish(struct cw_runners *all)
{
    for (size_t i = 0; i < all->listed_count; i++) {
        free(all->listed[i]);
    }
    free(all->listed);
    cw_map_finish(&all->listed_by_vm);
}

/* Signals that a runner leaves when the VM list shows it. A list that still
 * shows the VM as live never withdraws a signal. */
static void
update_leaving(struct cw_daemon *d, const struct cw_vm_info *info)
{
    struct cw_runner *e = cw_runners_find(d, cw_name_str(&info->vm));

    if (info->state != CW_VM_LIVE) {
        cw_runners_add_leaving_signal(d, cw_name_str(&info->vm),
                                      info->incarnation, CW_LEAVING_LIST);
    }
    else if (e != NULL && info->incarnation > e->ep.incarnation) {
        /* The incarnation in the log has been replaced. */
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
        struct cw_listed_vm *v = find_or_add_listed_vm(all, &vms[i].vm);

        if (v == NULL) {
            /* Memory is short: requests the full list again next time. */
            all->list_version = 0;
            return;
        }
        if (v->info.incarnation != vms[i].incarnation) {
            v->appended_at = -CW_DAY;
        }
        v->info = vms[i];
        update_leaving(d, &vms[i]);
    }
}

/* True when the log lacks a new VM, a new incarnation or address, or the end
 * of a VM that is gone for good. Sets pool to that of the record. */
static bool
needs_record(const struct cw_daemon *d, const struct cw_listed_vm *v,
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
append_record(struct cw_daemon *d, struct cw_listed_vm *v,
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
    v->appended_at = now;
    cw_daemon_append(d, &r, NULL, NULL);
}

static void
append_vm_records(struct cw_daemon *d, cw_ms now)
{
    struct cw_runners *all = d->runners;
    unsigned written = 0;

    for (size_t i = 0; i < all->listed_count && written < RECORDS_PER_TICK_MAX;
         i++) {
        struct cw_listed_vm *v = all->listed[i];
        char scope[CW_NAME_MAX + 8];
        struct cw_name pool;

        if (v->info.state == CW_VM_GONE &&
            cw_state_vm(&d->state, cw_name_str(&v->vm)) == NULL) {
            remove_listed_vm(all, i--);
            continue;
        }
        if (now - v->appended_at < RECORD_RETRY_MS ||
            !needs_record(d, v, &pool)) {
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

    if (now - all->list_checked_at < LIST_POLL_MS) {
        return;
    }
    all->list_checked_at = now;
    if (!all->list_pending) {
        all->list_pending = true;
        d->vmlist.get(d->vmlist.ctx, all->list_version, on_list, d);
    }
    if (cw_daemon_log_available(d, now)) {
        append_vm_records(d, now);
    }
}
