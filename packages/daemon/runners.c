/* View of the runners, built from the replicated state, the VM list, probes
 * and the endpoints' responses. */
#include "cw_runners.h"

#include "cw_modules.h"
#include "cw_request.h"

#include <stdlib.h>
#include <string.h>

/* Idle connections are closed after this time. It must be shorter than the
 * endpoints' own idle timeout. */
#define IDLE_CONNECTION_MS 4000
/* Time from closing a retired runner's connections to freeing it; the loop
 * refers to its timers for some iterations. */
#define RETIRED_FREE_MS 1000

struct cw_runner *
cw_runners_find(const struct cw_daemon *d, struct cw_str vm)
{
    const struct cw_runners *all = d->runners;
    size_t lo = 0;
    size_t hi = all->count;

    while (lo < hi) {
        size_t mid = lo + (hi - lo) / 2;
        int c = cw_str_cmp(cw_name_str(&all->items[mid]->vm), vm);

        if (c == 0) {
            return all->items[mid];
        }
        if (c < 0) {
            lo = mid + 1;
        }
        else {
            hi = mid;
        }
    }
    return NULL;
}

static struct cw_runner *
runner_new(struct cw_daemon *d, const struct cw_vm_entry *vm)
{
    struct cw_runner *e;
    struct sockaddr_storage sa;
    socklen_t len;

    if (cw_address_parse(cw_name_str(&vm->address), &sa, &len) != CW_OK) {
        return NULL;
    }
    e = calloc(1, sizeof(*e));
    if (e == NULL) {
        return NULL;
    }
    cw_endpoint_init(&e->ep, NULL, vm->incarnation, cw_daemon_now(d));
    e->ep.ctx = e;
    e->vm = vm->vm;
    e->pool = vm->pool;
    e->dc = vm->dc;
    e->rack = vm->rack;
    e->address = vm->address;
    h2o_socketpool_init_by_address(&e->sockets, (struct sockaddr *)&sa, len, 0,
                                   CW_SLOTS_MAX);
    h2o_socketpool_set_timeout(&e->sockets, d->loop, IDLE_CONNECTION_MS);
    return e;
}

static void
runner_retire(struct cw_daemon *d, struct cw_runner *e)
{
    e->retired = true;
    e->retired_at = 0;
    cw_dispatch_remove_runner(d, e);
    e->next_retired = d->runners->retired;
    d->runners->retired = e;
}

/* Frees retired runners that nothing refers to any more. */
static void
free_retired(struct cw_runners *all, cw_ms now)
{
    struct cw_runner **p = &all->retired;

    while (*p != NULL) {
        struct cw_runner *e = *p;

        if (e->ep.in_flight > 0 || e->probing) {
            p = &e->next_retired;
            continue;
        }
        if (e->retired_at == 0) {
            h2o_socketpool_dispose(&e->sockets);
            e->retired_at = now;
        }
        if (now - e->retired_at < RETIRED_FREE_MS) {
            p = &e->next_retired;
            continue;
        }
        *p = e->next_retired;
        free(e);
    }
}

/* Updates ep.leaving from the recorded signals. */
static void
runner_update_leaving(struct cw_daemon *d, struct cw_runner *e)
{
    bool leaving = cw_leaving_contains(&d->runners->leaving,
                                       cw_name_str(&e->vm), e->ep.incarnation);

    if (leaving == e->ep.leaving) {
        return;
    }
    e->ep.leaving = leaving;
    if (leaving) {
        cw_peers_request_heartbeat(d);
    }
}

void
cw_runners_add_leaving_signal(struct cw_daemon *d, struct cw_str vm,
                              uint64_t incarnation,
                              enum cw_leaving_source source)
{
    static const char *const names[] = {"op", "list", "peer", "refused",
                                        "probe"};
    struct cw_runners *all = d->runners;
    struct cw_runner *e = cw_runners_find(d, vm);
    bool first;

    if (cw_leaving_add_signal(&all->leaving, vm, incarnation, source,
                              cw_daemon_now(d), &first) != CW_OK) {
        cw_log(CW_ERROR, "out_of_memory", "part=leaving");
        first = false;
    }
    if (first) {
        cw_log(CW_INFO, "endpoint_leaving",
               "vm=%.*s incarnation=%llu signal=%s", CW_FMT(vm),
               (unsigned long long)incarnation, names[source]);
    }
    if (e != NULL) {
        runner_update_leaving(d, e);
    }
}

void
cw_runner_set_ready(struct cw_daemon *d, struct cw_runner *e, bool ready,
                    cw_ms now)
{
    if (ready) {
        cw_leaving_probe_ok(&d->runners->leaving, cw_name_str(&e->vm),
                            e->ep.incarnation);
        runner_update_leaving(d, e);
    }
    if (e->ep.ready == ready && e->probed) {
        return;
    }
    e->probed = true;
    cw_endpoint_set_ready(&e->ep, ready, now);
    e->ready_changed_at = now;
    cw_log(CW_INFO, "endpoint_ready", "vm=%s ready=%d", e->vm.text, ready);
    if (ready) {
        cw_dispatch_serve_queues(d, cw_name_str(&e->pool));
    }
    else {
        cw_peers_request_heartbeat(d);
    }
}

/* Updates the runner from the open operation of its VM in the replicated
 * state. When an operation ended without a new incarnation, the runner must
 * answer a probe before it gets requests again. */
static void
runner_update_op(struct cw_daemon *d, struct cw_runner *e,
                 const struct cw_vm_entry *vm, cw_ms now)
{
    if (vm->op.len > 0) {
        e->op = vm->op;
        cw_runners_add_leaving_signal(d, cw_name_str(&vm->vm), vm->incarnation,
                                      CW_LEAVING_OP);
        return;
    }
    if (e->op.len > 0) {
        e->op.len = 0;
        cw_leaving_cancelled(&d->runners->leaving, cw_name_str(&vm->vm),
                             vm->incarnation, now);
        runner_update_leaving(d, e);
        cw_endpoint_set_ready(&e->ep, false, now);
        e->probed = false;
        e->probed_at = 0;
    }
}

static bool
same_runner(const struct cw_runner *e, const struct cw_vm_entry *vm)
{
    return e->ep.incarnation == vm->incarnation &&
           cw_name_eq(&e->pool, &vm->pool) &&
           cw_name_eq(&e->address, &vm->address);
}

void
cw_runners_refresh(struct cw_daemon *d, cw_ms now)
{
    struct cw_runners *all = d->runners;
    size_t n = d->state.vm_count;
    struct cw_runner **items = calloc(n + 1, sizeof(struct cw_runner *));
    size_t old = 0;
    size_t kept = 0;

    if (items == NULL) {
        return;
    }
    for (size_t i = 0; i < n; i++) {
        const struct cw_vm_entry *vm = d->state.vms[i];
        struct cw_runner *e = NULL;

        /* Both lists are sorted by VM. */
        while (old < all->count &&
               cw_str_cmp(cw_name_str(&all->items[old]->vm),
                          cw_name_str(&vm->vm)) < 0) {
            runner_retire(d, all->items[old++]);
        }
        if (old < all->count && cw_name_eq(&all->items[old]->vm, &vm->vm)) {
            e = all->items[old++];
            if (!same_runner(e, vm)) {
                runner_retire(d, e);
                e = NULL;
            }
        }
        if (e == NULL) {
            e = runner_new(d, vm);
        }
        if (e != NULL) {
            runner_update_leaving(d, e);
            runner_update_op(d, e, vm, now);
            items[kept++] = e;
        }
    }
    while (old < all->count) {
        runner_retire(d, all->items[old++]);
    }
    free(all->items);
    all->items = items;
    all->count = kept;
    cw_probes_runners_changed(d);
}

enum cw_status
cw_runners_init(struct cw_daemon *d)
{
    d->runners = calloc(1, sizeof(*d->runners));
    if (d->runners == NULL) {
        return CW_ERR_NOMEM;
    }
    d->runners->d = d;
    cw_leaving_init(&d->runners->leaving, cw_leaving_defaults());
    return CW_OK;
}

void
cw_runners_finish(struct cw_daemon *d)
{
    struct cw_runners *all = d->runners;

    if (all == NULL) {
        return;
    }
    for (size_t i = 0; i < all->count; i++) {
        runner_retire(d, all->items[i]);
    }
    all->count = 0;
    /* Time 1, since a retired_at of 0 marks a runner whose connections are not
     * closed yet. */
    free_retired(all, 1);
    for (int i = 0; i < 10; i++) {
        uv_run(d->loop, UV_RUN_NOWAIT);
    }
    free_retired(all, CW_DAY);
    free(all->items);
    cw_vm_list_finish(all);
    cw_leaving_finish(&all->leaving);
    free(all);
    d->runners = NULL;
}

void
cw_runners_tick(struct cw_daemon *d, cw_ms now)
{
    free_retired(d->runners, now);
    cw_vm_list_tick(d, now);
}

uint32_t
cw_daemon_in_flight(const struct cw_daemon *d, struct cw_str vm)
{
    const struct cw_runner *e = cw_runners_find(d, vm);
    uint32_t n = e != NULL ? e->ep.in_flight : 0;

    for (e = d->runners->retired; e != NULL; e = e->next_retired) {
        if (cw_str_eq(cw_name_str(&e->vm), vm)) {
            n += e->ep.in_flight;
        }
    }
    return n;
}

bool
cw_daemon_drain_applied(const struct cw_daemon *d, struct cw_str vm,
                        struct cw_str op)
{
    const struct cw_vm_entry *v = cw_state_vm(&d->state, vm);

    return v != NULL && cw_str_eq(cw_name_str(&v->op), op) &&
           cw_daemon_in_flight(d, vm) == 0;
}

bool
cw_daemon_vm_ready(const struct cw_daemon *d, struct cw_str vm)
{
    const struct cw_runner *e = cw_runners_find(d, vm);

    return e != NULL && e->ep.ready;
}
