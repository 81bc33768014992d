/* Sets faults, reads counters and starts load in a fleet of real processes. */
#include "proc_fleet.h"

#include <stdlib.h>
#include <string.h>

bool
proc_fleet_set_fault(struct proc_fleet *f, const char *body)
{
    json_t *o = proc_http_json(f->platform->port, "/fault", body);
    bool ok = json_is_true(json_object_get(o, "accepted"));
    json_decref(o);
    return ok;
}

bool
proc_fleet_call_control(struct proc_fleet *f, int vm, const char *path,
                        const char *body)
{
    json_t *o = proc_http_json(f->vms[vm].control_port, path, body);
    bool ok = json_object_get(o, "in_flight") != NULL;
    json_decref(o);
    return ok;
}

bool
proc_fleet_set_endpoint_fault(struct proc_fleet *f, int vm, const char *body)
{
    return proc_fleet_call_control(f, vm, "/fault", body);
}

int64_t
proc_fleet_counter(struct proc_fleet *f, int vm, const char *key)
{
    return proc_http_json_number(f->vms[vm].control_port, "/status", key);
}

int64_t
proc_fleet_counter_max(struct proc_fleet *f, const char *key)
{
    int64_t max = -1;
    for (int i = 0; i < f->vm_count; i++) {
        int64_t v = proc_fleet_counter(f, i, key);
        max = v > max ? v : max;
    }
    return max;
}

int64_t
proc_fleet_run_count(struct proc_fleet *f, const char *token)
{
    char body[128];
    snprintf(body, sizeof(body), "[\"%s\"]", token);
    json_t *o = proc_http_json(f->vms[0].control_port, "/runs", body);
    const json_t *n = json_array_get(json_object_get(o, "runs"), 0);
    int64_t runs = json_is_integer(n) ? json_integer_value(n) : -1;
    json_decref(o);
    return runs;
}

struct proc *
proc_fleet_start_load(struct proc_fleet *f, const char *name,
                      unsigned daemon_mask, const char *services,
                      const char *const extra[])
{
    char targets[256] = "";
    char verify[32];
    const char *argv[32] = {"standin-load", "--target", targets, "--service",
                            services,       "--verify", verify};
    int n = 7;
    bool has_tag = false;
    size_t len = 0;
    for (int i = 0; i < f->options.daemons; i++) {
        if ((daemon_mask >> (unsigned)i & 1U) != 0) {
            len += (size_t)snprintf(targets + len, sizeof(targets) - len,
                                    "%s127.0.0.1:%d", len == 0 ? "" : ",",
                                    f->daemons[i]->port);
        }
    }
    snprintf(verify, sizeof(verify), "127.0.0.1:%d", f->vms[0].control_port);
    for (int i = 0; extra[i] != NULL && n < 29; i++) {
        has_tag |= strcmp(extra[i], "--tag") == 0;
        argv[n++] = extra[i];
    }
    /* Each load client uses its own request tokens unless extra sets a tag. */
    if (!has_tag) {
        argv[n++] = "--tag";
        argv[n++] = name;
    }
    return proc_start(&f->env, name, argv);
}

int64_t
proc_fleet_load_value(const struct proc_fleet *f, const struct proc *load,
                      const char *name)
{
    return proc_log_value(&f->env, load, name);
}

int64_t
proc_fleet_status_number(struct proc_fleet *f, int daemon, const char *key)
{
    return proc_http_json_number(f->daemons[daemon]->admin_port, "/status",
                                 key);
}

bool
proc_fleet_is_member(struct proc_fleet *f, int observer, const char *daemon)
{
    bool member = false;
    json_t *o =
        proc_http_json(f->daemons[observer]->admin_port, "/members", NULL);
    const json_t *list = json_object_get(o, "members");
    for (size_t i = 0; i < json_array_size(list); i++) {
        const char *name = json_string_value(
            json_object_get(json_array_get(list, i), "daemon"));
        member |= name != NULL && strcmp(name, daemon) == 0;
    }
    json_decref(o);
    return member;
}

struct member_wait {
    struct proc_fleet *f;
    int observer;
    const char *daemon;
    bool expected;
};

static bool
has_expected_membership(void *arg)
{
    const struct member_wait *w = arg;
    return proc_fleet_is_member(w->f, w->observer, w->daemon) == w->expected;
}

bool
proc_fleet_wait_member(struct proc_fleet *f, int observer, const char *daemon,
                       bool expected)
{
    struct member_wait w = {f, observer, daemon, expected};
    return proc_wait_until(has_expected_membership, &w, PROC_TIMEOUT_MS);
}
