/* Client of the platform's pool control. */
#include "cw_clients.h"

#include <stdlib.h>
#include <string.h>

struct pool_call {
    void (*done)(void *arg, enum cw_status s);
    void *arg;
};

struct status_call {
    void (*done)(void *arg, enum cw_status s, const struct cw_pool_vm *vm);
    void *arg;
};

enum cw_status
cw_pool_client_init(struct cw_pool_client *c, uv_loop_t *loop,
                    const char *address)
{
    return cw_http_client_init(&c->http, loop, address);
}

void
cw_pool_client_finish(struct cw_pool_client *c)
{
    cw_http_client_finish(&c->http);
}

static void
on_call_answer(void *arg, enum cw_status s, const struct cw_http_answer *a)
{
    struct pool_call *call = arg;
    call->done(call->arg, cw_client_map_status(s, a));
    free(call);
}

static void
pool_call(void *ctx, enum cw_pool_call what, const char *vm, const char *op,
          uint64_t fence, const char *pool,
          void (*done)(void *arg, enum cw_status s), void *arg)
{
    static const char *const paths[] = {"/pool/drain", "/pool/undrain",
                                        "/pool/reboot", "/pool/assign"};
    struct cw_pool_client *c = ctx;
    struct pool_call *call = malloc(sizeof(*call));
    CW_INVARIANT(call != NULL);
    *call = (struct pool_call){done, arg};
    json_t *body = json_pack("{ss,ss,sI}", "vm", vm, "op", op, "fence",
                             (json_int_t)fence);
    if (what == CW_POOL_ASSIGN && pool != NULL) {
        json_object_set_new(body, "pool", json_string(pool));
    }
    cw_client_post(&c->http, paths[what], body, on_call_answer, call);
}

static bool
parse_vm(const json_t *o, struct cw_pool_vm *vm)
{
    static const char *const state_names[] = {"ready", "draining", "drained",
                                              "rebooting"};
    const char *state = json_string_value(json_object_get(o, "state"));
    for (int i = CW_POOL_READY; state != NULL && i <= CW_POOL_REBOOTING; i++) {
        if (strcmp(state, state_names[i]) == 0) {
            vm->state = (enum cw_pool_vm_state)i;
            vm->incarnation = cw_client_get_u64(o, "incarnation");
            vm->in_flight = (uint32_t)cw_client_get_u64(o, "in_flight");
            vm->fence = cw_client_get_u64(o, "fence");
            return cw_client_get_name(&vm->pool, o, "pool") == CW_OK;
        }
    }
    return false;
}

static void
on_status_answer(void *arg, enum cw_status s, const struct cw_http_answer *a)
{
    struct status_call *call = arg;
    struct cw_pool_vm vm;
    memset(&vm, 0, sizeof(vm));
    s = cw_client_map_status(s, a);
    if (s == CW_ERR_INVALID && a->status == 404) {
        s = CW_ERR_NOT_FOUND;
    }
    if (s == CW_OK) {
        json_t *o = cw_client_parse_json(a);
        s = parse_vm(o, &vm) ? CW_OK : CW_ERR_UNKNOWN;
        json_decref(o);
    }
    call->done(call->arg, s, &vm);
    free(call);
}

static void
pool_status(void *ctx, const char *vm,
            void (*done)(void *arg, enum cw_status s,
                         const struct cw_pool_vm *vm),
            void *arg)
{
    struct cw_pool_client *c = ctx;
    struct status_call *call = malloc(sizeof(*call));
    CW_INVARIANT(call != NULL);
    *call = (struct status_call){done, arg};
    char path[CW_NAME_MAX + 16];
    snprintf(path, sizeof(path), "/pool/vm/%s", vm);
    cw_http_call(&c->http,
                 &(struct cw_http_request){
                     "GET", path, {NULL, 0}, CW_PLATFORM_TIMEOUT_MS, NULL},
                 on_status_answer, call);
}

void
cw_pool_client_port(struct cw_pool_client *c, struct cw_pool_port *port)
{
    *port = (struct cw_pool_port){c, pool_call, pool_status};
}
