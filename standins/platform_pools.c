/* Pool control: drain, undrain, reboot and assign of VMs under fences. Calls
 * are passed on to the endpoint on the VM, at its control address. */
#include "platform.h"

#include <stdlib.h>
#include <string.h>

#define CONTROL_TIMEOUT_MS 2000

/* A pool call that waits for the endpoint's control address. */
struct pool_call {
    struct plat_vm *vm;
    h2o_req_t *req;
    char call[12];
    char op[64];
    char pool[CW_NAME_MAX + 1];
};

static const char *const state_names[] = {"ready", "draining", "rebooting"};

static void
call_endpoint(struct plat_vm *vm, const char *method, const char *path,
              const char *body,
              void (*done)(void *arg, const struct client_result *r),
              void *arg)
{
    if (!vm->has_control) {
        struct client_result none = {.phase = CLIENT_CONNECT};
        done(arg, &none);
        return;
    }
    struct cw_buf b;
    cw_buf_init(&b);
    cw_buf_addf(&b,
                "%s %s HTTP/1.1\r\nHost: control\r\nContent-Length: %zu\r\n"
                "Connection: close\r\n\r\n%s",
                method, path, strlen(body), body);
    client_call(&vm->client, cw_buf_str(&b), CONTROL_TIMEOUT_MS, done, arg);
    cw_buf_finish(&b);
}

/* Requests in flight according to the endpoint's answer; 0 without an
 * answer. */
static uint64_t
parse_in_flight(const struct client_result *r)
{
    if (r->phase != CLIENT_DONE) {
        return 0;
    }
    json_t *o = json_loadb(r->body.ptr, r->body.len, 0, NULL);
    uint64_t n = (uint64_t)json_integer_value(json_object_get(o, "in_flight"));
    json_decref(o);
    return n;
}

static const char *
vm_state_name(const struct plat_vm *vm, uint64_t in_flight)
{
    if (vm->state == VM_DRAINING && in_flight == 0) {
        return "drained";
    }
    return state_names[vm->state];
}

/* Records the answer for repeats of the call, and sends it. */
static void
reply_state(struct pool_call *c, const char *state)
{
    struct plat_op *o = calloc(1, sizeof(*o));
    CW_INVARIANT(o != NULL);
    snprintf(o->op, sizeof(o->op), "%s", c->op);
    snprintf(o->call, sizeof(o->call), "%s", c->call);
    snprintf(o->state, sizeof(o->state), "%s", state);
    o->next = c->vm->ops;
    c->vm->ops = o;
    struct platform *p = c->vm->plat;
    plat_reply(p, &p->vms.pool_fault, c->req, true, 200,
               json_pack("{ss}", "state", state));
    free(c);
}

static void
on_drain_state(void *arg, const struct client_result *r)
{
    struct pool_call *c = arg;
    reply_state(c, vm_state_name(c->vm, parse_in_flight(r)));
}

static void
on_rebooted(uv_timer_t *t)
{
    struct plat_vm *vm = t->data;
    vm->state = VM_READY;
    vm->incarnation++;
    plat_vms_publish(vm->plat, vm);
}

static void
ignore_result(void *arg, const struct client_result *r)
{
    (void)arg;
    (void)r;
}

static void
start_reboot(struct pool_call *c)
{
    struct plat_vm *vm = c->vm;
    struct plat_vms *v = &vm->plat->vms;
    vm->state = VM_REBOOTING;
    if (strcmp(c->call, "assign") == 0) {
        cw_name_set(&vm->pool, cw_str_from(c->pool));
        v->assigns++;
    }
    else {
        v->reboots++;
    }
    plat_vms_publish(vm->plat, vm);
    uv_timer_start(&vm->timer, on_rebooted, (uint64_t)v->reboot_ms, 0);
    char body[160];
    snprintf(body, sizeof(body), "{\"reboot_ms\":%lld,\"pool\":\"%s\"}",
             (long long)v->reboot_ms, vm->pool.text);
    call_endpoint(vm, "POST", "/reboot", body, ignore_result, NULL);
    reply_state(c, "rebooting");
}

static void
on_status_before_reboot(void *arg, const struct client_result *r)
{
    struct pool_call *c = arg;
    if (parse_in_flight(r) > 0) {
        c->vm->plat->vms.reboot_in_flight++;
        cw_log(CW_ERROR, "violation", "kind=reboot_in_flight vm=%s op=%s",
               c->vm->vm.text, c->op);
    }
    start_reboot(c);
}

/* Counts violations by a reboot or assign, then goes on with the reboot. */
static void
check_and_reboot(struct pool_call *c)
{
    struct plat_vms *v = &c->vm->plat->vms;
    if (c->vm->state == VM_READY) {
        v->reboot_undrained++;
        cw_log(CW_ERROR, "violation", "kind=reboot_undrained vm=%s op=%s",
               c->vm->vm.text, c->op);
    }
    if (c->vm->state == VM_REBOOTING && strcmp(c->call, "assign") == 0 &&
        strcmp(c->pool, c->vm->pool.text) != 0) {
        v->two_pools++;
        cw_log(CW_ERROR, "violation", "kind=two_pools vm=%s op=%s",
               c->vm->vm.text, c->op);
    }
    call_endpoint(c->vm, "GET", "/status", "", on_status_before_reboot, c);
}

static void
execute_call(struct pool_call *c)
{
    if (strcmp(c->call, "drain") == 0) {
        if (c->vm->state == VM_READY) {
            c->vm->state = VM_DRAINING;
            plat_vms_publish(c->vm->plat, c->vm);
        }
        call_endpoint(c->vm, "POST", "/drain", "", on_drain_state, c);
    }
    else if (strcmp(c->call, "undrain") == 0) {
        if (c->vm->state == VM_DRAINING) {
            c->vm->state = VM_READY;
            plat_vms_publish(c->vm->plat, c->vm);
        }
        call_endpoint(c->vm, "POST", "/undrain", "", on_drain_state, c);
    }
    else {
        check_and_reboot(c);
    }
}

/* State in the answer to an earlier call by the same op, or NULL. */
static const char *
find_recorded_state(const struct plat_vm *vm, const char *op, const char *call)
{
    for (const struct plat_op *o = vm->ops; o != NULL; o = o->next) {
        if (strcmp(o->op, op) == 0 && strcmp(o->call, call) == 0) {
            return o->state;
        }
    }
    return NULL;
}

static void
handle_call(struct platform *p, h2o_req_t *req, const char *call,
            const json_t *body)
{
    const char *name = json_string_value(json_object_get(body, "vm"));
    const char *op = json_string_value(json_object_get(body, "op"));
    const char *pool = json_string_value(json_object_get(body, "pool"));
    const json_t *fence = json_object_get(body, "fence");
    struct plat_vm *vm = plat_vm_find(p, cw_str_from(name));
    if (vm == NULL || op == NULL || !json_is_integer(fence) ||
        (strcmp(call, "assign") == 0 && !cw_name_valid(cw_str_from(pool)))) {
        http_reply_json(req, 400, json_pack("{ss}", "error", "arguments"));
        return;
    }
    const char *recorded_state = find_recorded_state(vm, op, call);
    if (recorded_state != NULL) {
        plat_reply(p, &p->vms.pool_fault, req, false, 200,
                   json_pack("{ss}", "state", recorded_state));
        return;
    }
    uint64_t f = (uint64_t)json_integer_value(fence);
    if (f < vm->fence && !p->vms.ignore_fences) {
        p->vms.fenced++;
        http_reply_json(req, 409, json_pack("{ss}", "error", "fence"));
        return;
    }
    vm->fence = f > vm->fence ? f : vm->fence;
    struct pool_call *c = calloc(1, sizeof(*c));
    CW_INVARIANT(c != NULL);
    c->vm = vm;
    c->req = req;
    snprintf(c->call, sizeof(c->call), "%s", call);
    snprintf(c->op, sizeof(c->op), "%s", op);
    snprintf(c->pool, sizeof(c->pool), "%s", pool == NULL ? "" : pool);
    execute_call(c);
}

static void
on_status(void *arg, const struct client_result *r)
{
    struct pool_call *c = arg;
    const struct plat_vm *vm = c->vm;
    uint64_t n = parse_in_flight(r);
    plat_reply(vm->plat, &vm->plat->vms.pool_fault, c->req, false, 200,
               json_pack("{ss,sI,ss,sI,sI}", "pool", vm->pool.text,
                         "incarnation", (json_int_t)vm->incarnation, "state",
                         vm_state_name(vm, n), "in_flight", (json_int_t)n,
                         "fence", (json_int_t)vm->fence));
    free(c);
}

static void
handle_status(struct platform *p, h2o_req_t *req, struct cw_str name)
{
    struct plat_vm *vm = plat_vm_find(p, name);
    if (vm == NULL) {
        http_reply_json(req, 404, json_pack("{ss}", "error", "vm"));
        return;
    }
    struct pool_call *c = calloc(1, sizeof(*c));
    CW_INVARIANT(c != NULL);
    c->vm = vm;
    c->req = req;
    call_endpoint(vm, "GET", "/status", "", on_status, c);
}

bool
plat_pools_handle(struct platform *p, h2o_req_t *req)
{
    static const char *const calls[] = {"drain", "undrain", "reboot",
                                        "assign"};
    struct cw_str path = http_path(req);
    if (!cw_str_starts(path, CW_LIT("/pool/"))) {
        return false;
    }
    if (plat_reply_if_down(&p->vms.pool_fault, req)) {
        return true;
    }
    if (cw_str_starts(path, CW_LIT("/pool/vm/"))) {
        handle_status(p, req, (struct cw_str){path.ptr + 9, path.len - 9});
        return true;
    }
    struct cw_str call_name = {path.ptr + 6, path.len - 6};
    for (size_t i = 0; i < sizeof(calls) / sizeof(calls[0]); i++) {
        if (cw_str_eq(call_name, cw_str_from(calls[i]))) {
            json_t *body = http_body_json(req);
            handle_call(p, req, calls[i], body);
            json_decref(body);
            return true;
        }
    }
    return false;
}
