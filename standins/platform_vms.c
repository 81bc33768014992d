/* VM list: a history of VM states that is shown with a lag. */
#include "platform.h"

#include <stdlib.h>
#include <string.h>

struct plat_vm *
plat_vm_find(struct platform *p, struct cw_str name)
{
    for (size_t i = 0; i < p->vms.count; i++) {
        if (cw_str_eq(cw_name_str(&p->vms.items[i].vm), name)) {
            return &p->vms.items[i];
        }
    }
    return NULL;
}

void
plat_vms_publish(struct platform *p, struct plat_vm *vm)
{
    static const char *const state_names[] = {"live", "leaving", "gone"};
    struct plat_vms *v = &p->vms;
    if (v->event_count == v->event_cap) {
        v->event_cap = v->event_cap == 0 ? 256 : v->event_cap * 2;
        v->events = realloc(v->events, v->event_cap * sizeof(*v->events));
        CW_INVARIANT(v->events != NULL);
    }
    v->events[v->event_count] = (struct plat_vm_event){
        .version = v->event_count + 1,
        .time = p->clock.now(p->clock.ctx),
        .vm = (size_t)(vm - v->items),
        .incarnation = vm->incarnation,
        .pool = vm->pool,
        .state = state_names[vm->state],
    };
    v->event_count++;
}

bool
plat_vms_load(struct platform *p, const json_t *fleet)
{
    const json_t *list = json_object_get(fleet, "vms");
    p->vms.reboot_ms = (cw_ms)http_json_u64(fleet, "reboot_ms", 1000);
    p->vms.lag_ms = (cw_ms)http_json_u64(fleet, "vmlist_lag_ms", 0);
    p->vms.count = json_array_size(list);
    p->vms.items = calloc(p->vms.count + 1, sizeof(*p->vms.items));
    if (p->vms.items == NULL) {
        return false;
    }
    for (size_t i = 0; i < p->vms.count; i++) {
        const json_t *o = json_array_get(list, i);
        struct plat_vm *vm = &p->vms.items[i];
        http_json_name(&vm->vm, o, "vm", "");
        http_json_name(&vm->pool, o, "pool", "");
        http_json_name(&vm->dc, o, "dc", "dc1");
        http_json_name(&vm->rack, o, "rack", "r1");
        http_json_name(&vm->address, o, "address", "");
        if (!cw_name_valid(cw_name_str(&vm->vm))) {
            return false;
        }
        vm->incarnation = http_json_u64(o, "incarnation", 1);
        vm->plat = p;
        vm->has_control = http_parse_address(
            json_string_value(json_object_get(o, "control")), &vm->control);
        client_pool_init(&vm->client, p->loop, &vm->control, false);
        uv_timer_init(p->loop, &vm->timer);
        vm->timer.data = vm;
        plat_vms_publish(p, vm);
        /* The initial states are visible at once, whatever the lag. */
        p->vms.events[p->vms.event_count - 1].time = INT64_MIN / 2;
    }
    return true;
}

/* True when the event at index is the latest one of its VM before end. */
static bool
is_latest(const struct plat_vms *v, size_t index, size_t end)
{
    for (size_t i = index + 1; i < end; i++) {
        if (v->events[i].vm == v->events[index].vm) {
            return false;
        }
    }
    return true;
}

bool
plat_vms_handle(struct platform *p, h2o_req_t *req)
{
    if (!http_matches(req, "GET", "/vms")) {
        return false;
    }
    struct plat_vms *v = &p->vms;
    if (plat_reply_if_down(&v->list_fault, req)) {
        return true;
    }
    uint64_t since = http_query_u64(req, "since", 0);
    cw_ms now = p->clock.now(p->clock.ctx);
    size_t end = 0;
    while (end < v->event_count && v->events[end].time + v->lag_ms <= now) {
        end++;
    }
    json_t *list = json_array();
    for (size_t i = since; i < end; i++) {
        const struct plat_vm_event *e = &v->events[i];
        const struct plat_vm *vm = &v->items[e->vm];
        if (!is_latest(v, i, end)) {
            continue;
        }
        json_array_append_new(
            list,
            json_pack("{ss,sI,ss,ss,ss,ss,ss}", "vm", vm->vm.text,
                      "incarnation", (json_int_t)e->incarnation, "pool",
                      e->pool.text, "dc", vm->dc.text, "rack", vm->rack.text,
                      "address", vm->address.text, "state", e->state));
    }
    /* A lag that was just raised must not make the version go back. */
    uint64_t version = end < since ? since : end;
    plat_reply(
        p, &v->list_fault, req, false, 200,
        json_pack("{sI,so}", "version", (json_int_t)version, "vms", list));
    return true;
}
