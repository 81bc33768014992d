/* Client of the platform's VM list. */
#include "cw_clients.h"

#include <stdlib.h>
#include <string.h>

struct list_call {
    void (*done)(void *arg, enum cw_status s, uint64_t version, size_t count,
                 const struct cw_vm_info *vms);
    void *arg;
};

enum cw_status
cw_vmlist_client_init(struct cw_vmlist_client *c, uv_loop_t *loop,
                      const char *address)
{
    return cw_http_client_init(&c->http, loop, address);
}

void
cw_vmlist_client_finish(struct cw_vmlist_client *c)
{
    cw_http_client_finish(&c->http);
}

static bool
parse_vm(const json_t *o, struct cw_vm_info *vm)
{
    static const char *const state_names[] = {"live", "leaving", "gone"};
    const char *state = json_string_value(json_object_get(o, "state"));
    int i = CW_VM_LIVE;
    while (state != NULL && i <= CW_VM_GONE &&
           strcmp(state, state_names[i]) != 0) {
        i++;
    }
    if (state == NULL || i > CW_VM_GONE) {
        return false;
    }
    vm->state = (enum cw_vm_state)i;
    vm->incarnation = cw_client_get_u64(o, "incarnation");
    return cw_client_get_name(&vm->vm, o, "vm") == CW_OK &&
           cw_client_get_name(&vm->pool, o, "pool") == CW_OK &&
           cw_client_get_name(&vm->dc, o, "dc") == CW_OK &&
           cw_client_get_name(&vm->rack, o, "rack") == CW_OK &&
           cw_client_get_name(&vm->address, o, "address") == CW_OK;
}

static void
on_list_answer(void *arg, enum cw_status s, const struct cw_http_answer *a)
{
    struct list_call *call = arg;
    s = cw_client_map_status(s, a);
    json_t *o = s == CW_OK ? cw_client_parse_json(a) : NULL;
    const json_t *list = json_object_get(o, "vms");
    if (s == CW_OK && !json_is_array(list)) {
        s = CW_ERR_UNKNOWN;
    }
    struct cw_vm_info *vms = calloc(json_array_size(list) + 1, sizeof(*vms));
    CW_INVARIANT(vms != NULL);
    size_t n = 0;
    for (size_t i = 0; i < json_array_size(list); i++) {
        /* A malformed entry is skipped; the others stay usable. */
        if (parse_vm(json_array_get(list, i), &vms[n])) {
            n++;
        }
        else {
            cw_log(CW_WARN, "vmlist_entry_unreadable", "index=%zu", i);
        }
    }
    call->done(call->arg, s, cw_client_get_u64(o, "version"), n, vms);
    free(vms);
    json_decref(o);
    free(call);
}

static void
get_vms(void *ctx, uint64_t since,
        void (*done)(void *arg, enum cw_status s, uint64_t version,
                     size_t count, const struct cw_vm_info *vms),
        void *arg)
{
    struct cw_vmlist_client *c = ctx;
    struct list_call *call = malloc(sizeof(*call));
    CW_INVARIANT(call != NULL);
    *call = (struct list_call){done, arg};
    char path[64];
    snprintf(path, sizeof(path), "/vms?since=%llu", (unsigned long long)since);
    cw_http_fetch(&c->http,
                  &(struct cw_http_request){
                      "GET", path, {NULL, 0}, CW_PLATFORM_TIMEOUT_MS, NULL},
                  CW_PLATFORM_TIMEOUT_MS, NULL, on_list_answer, call);
}

void
cw_vmlist_client_port(struct cw_vmlist_client *c, struct cw_vmlist_port *port)
{
    *port = (struct cw_vmlist_port){c, get_vms};
}
