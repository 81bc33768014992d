/* Updates the slot table, services and routes from the replicated state. */
#include "cw_services.h"

#include "cw_modules.h"

#include <stdlib.h>
#include <string.h>

struct cw_service *
cw_services_find(const struct cw_daemon *d, struct cw_str service)
{
    const struct cw_dispatch *x = d->dispatch;

    for (size_t i = 0; i < x->count; i++) {
        if (cw_str_eq(cw_name_str(&x->items[i]->service), service)) {
            return x->items[i];
        }
    }
    return NULL;
}

struct cw_service *
cw_services_find_by_pool(const struct cw_daemon *d, struct cw_str pool)
{
    const struct cw_dispatch *x = d->dispatch;

    for (size_t i = 0; i < x->count; i++) {
        if (x->items[i]->has_doc &&
            cw_str_eq(cw_name_str(&x->items[i]->pool), pool)) {
            return x->items[i];
        }
    }
    return NULL;
}

static struct cw_service *
service_new(struct cw_dispatch *x, struct cw_str name)
{
    struct cw_service **items =
        realloc(x->items, (x->count + 1) * sizeof(struct cw_service *));
    struct cw_service *s;

    if (items == NULL) {
        return NULL;
    }
    x->items = items;
    s = calloc(1, sizeof(*s));
    if (s == NULL || cw_name_set(&s->service, name) != CW_OK) {
        free(s);
        return NULL;
    }
    cw_route_init(&s->route, cw_route_defaults());
    cw_admit_init(&s->queue, cw_admit_defaults());
    cw_retry_init(&s->retry, cw_retry_defaults());
    x->items[x->count++] = s;
    return s;
}

void
cw_dispatch_remove_runner(struct cw_daemon *d, struct cw_runner *e)
{
    (void)d;
    if (e->routed) {
        cw_route_remove(&e->service->route, &e->ep);
        e->routed = false;
    }
}

static void
route_runner(struct cw_daemon *d, struct cw_runner *e)
{
    struct cw_service *s = cw_services_find_by_pool(d, cw_name_str(&e->pool));

    if (e->routed && e->service == s) {
        return;
    }
    cw_dispatch_remove_runner(d, e);
    if (s != NULL && cw_route_add(&s->route, &e->ep) == CW_OK) {
        e->service = s;
        e->routed = true;
    }
}

/* Sets the runners' pointers into the slot table, whose entries are replaced
 * when it changes. */
static void
update_slot_pointers(struct cw_daemon *d)
{
    struct cw_slots *t = &d->dispatch->slots;

    for (size_t i = 0; i < d->runners->count; i++) {
        struct cw_runner *e = d->runners->items[i];

        e->ep.slots = cw_slots_find(t, cw_name_str(&e->vm));
    }
    for (struct cw_runner *e = d->runners->retired; e != NULL;
         e = e->next_retired) {
        e->ep.slots = cw_slots_find(t, cw_name_str(&e->vm));
    }
}

void
cw_dispatch_update_services(struct cw_daemon *d, cw_ms now)
{
    struct cw_dispatch *x = d->dispatch;

    (void)now;
    for (size_t i = 0; i < x->count; i++) {
        x->items[i]->has_doc = false;
    }
    for (size_t i = 0; i < d->state.doc_count; i++) {
        const struct cw_doc *doc = &d->state.docs[i]->doc;
        struct cw_service *s = cw_services_find(d, cw_name_str(&doc->service));

        if (s == NULL) {
            s = service_new(x, cw_name_str(&doc->service));
        }
        if (s != NULL) {
            s->pool = doc->pool;
            s->has_doc = true;
        }
    }
    for (size_t i = 0; i < d->runners->count; i++) {
        route_runner(d, d->runners->items[i]);
    }
    update_slot_pointers(d);
}

static size_t
slot_endpoints(const struct cw_daemon *d, struct cw_slot_endpoint *out)
{
    size_t n = 0;

    for (size_t i = 0; i < d->state.vm_count; i++) {
        const struct cw_vm_entry *vm = d->state.vms[i];
        const struct cw_doc_entry *doc =
            cw_state_doc_of_pool(&d->state, cw_name_str(&vm->pool));

        if (doc == NULL || doc->doc.slots == 0) {
            continue;
        }
        out[n].vm = vm->vm;
        out[n].dc = vm->dc;
        out[n].slots =
            doc->doc.slots < CW_SLOTS_MAX ? doc->doc.slots : CW_SLOTS_MAX;
        out[n].connections = doc->doc.connections;
        n++;
    }
    return n;
}

void
cw_dispatch_partition_slots(struct cw_daemon *d, bool lapse, cw_ms now)
{
    struct cw_slots_view view = {0};
    size_t members = d->state.member_count;
    struct cw_slot_member *m = calloc(members + 1, sizeof(*m));
    struct cw_slot_endpoint *e = calloc(d->state.vm_count + 1, sizeof(*e));

    if (m == NULL || e == NULL) {
        /* With an empty table this daemon holds no slot, which is safe. */
        cw_log(CW_ERROR, "out_of_memory", "part=slots");
        cw_slots_reset(&d->dispatch->slots, d->incarnation);
    }
    else {
        for (size_t i = 0; i < members; i++) {
            m[i].daemon = d->state.members[i].daemon;
            m[i].incarnation = d->state.members[i].incarnation;
            m[i].dc = d->state.members[i].dc;
        }
        view.offset = d->state.applied;
        view.lapse = lapse;
        view.member_count = members;
        view.members = m;
        view.endpoint_count = slot_endpoints(d, e);
        view.endpoints = e;
        if (cw_slots_update(&d->dispatch->slots, &view, now) != CW_OK) {
            cw_log(CW_ERROR, "out_of_memory", "part=slots");
        }
    }
    free(m);
    free(e);
    update_slot_pointers(d);
}

void
cw_dispatch_record_applied(struct cw_daemon *d, const struct cw_record *r,
                           cw_ms now)
{
    bool lapse = false;

    switch (r->type) {
    case CW_REC_MEMBER:
        lapse = r->u.member.action == CW_MEMBER_LAPSE;
        break;
    case CW_REC_DOC:
    case CW_REC_VM:
        break;
    case CW_REC_OP:
        if (r->u.op.step != CW_STEP_ASSIGNING) {
            return;
        }
        break;
    default:
        return;
    }
    cw_dispatch_partition_slots(d, lapse, now);
}

void
cw_dispatch_reset_slots(struct cw_daemon *d)
{
    if (d->dispatch != NULL) {
        cw_slots_reset(&d->dispatch->slots, d->incarnation);
        update_slot_pointers(d);
    }
}

void
cw_dispatch_record_heartbeat(struct cw_daemon *d, struct cw_str daemon,
                             uint64_t incarnation, uint64_t applied,
                             const struct cw_slot_busy *busy, size_t count,
                             cw_ms now)
{
    if (cw_slots_record_heartbeat(&d->dispatch->slots, daemon, incarnation,
                                  applied, busy, count, now) != CW_OK) {
        cw_log(CW_ERROR, "out_of_memory", "part=slots");
    }
}

size_t
cw_dispatch_busy_slots(const struct cw_daemon *d, struct cw_slot_busy *out,
                       size_t max)
{
    return cw_slots_busy(&d->dispatch->slots, out, max);
}

size_t
cw_dispatch_service_count(const struct cw_daemon *d)
{
    return d->dispatch->count;
}

void
cw_dispatch_service_load(const struct cw_daemon *d, size_t i, cw_ms now,
                         struct cw_service_load *out)
{
    const struct cw_service *s = d->dispatch->items[i];
    const struct cw_slots *t = &d->dispatch->slots;

    memset(out, 0, sizeof(*out));
    out->service = s->service;
    out->waiting = s->queue.count;
    out->free_slots =
        s->queue.count > 0 ? 0 : cw_route_free_slots(&s->route, t, now);
    out->held = cw_route_usable_slots(&s->route, t);
    for (size_t k = 0; k < s->route.count; k++) {
        out->busy += s->route.items[k]->in_flight;
    }
    out->delay_ms = (uint32_t)cw_admit_delay(&s->queue, now);
}

size_t
cw_dispatch_waiting_count(const struct cw_daemon *d)
{
    size_t n = 0;

    for (size_t i = 0; i < d->dispatch->count; i++) {
        n += d->dispatch->items[i]->queue.count;
    }
    return n;
}

enum cw_status
cw_dispatch_init(struct cw_daemon *d)
{
    struct cw_slots_params params = cw_slots_defaults();
    struct cw_dispatch *x = calloc(1, sizeof(*x));

    if (x == NULL) {
        return CW_ERR_NOMEM;
    }
    x->d = d;
    params.guard_ms = d->settings->slot_guard_ms;
    params.silent_ms = d->settings->silent_ms;
    cw_slots_init(&x->slots, cw_daemon_name(d), d->incarnation, params);
    d->dispatch = x;
    return CW_OK;
}

void
cw_dispatch_finish(struct cw_daemon *d)
{
    struct cw_dispatch *x = d->dispatch;

    if (x == NULL) {
        return;
    }
    for (size_t i = 0; i < x->count; i++) {
        cw_route_finish(&x->items[i]->route);
        cw_admit_finish(&x->items[i]->queue);
        free(x->items[i]);
    }
    free(x->items);
    cw_slots_finish(&x->slots);
    free(x);
    d->dispatch = NULL;
}
