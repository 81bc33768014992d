/* A fleet of real processes for tests. */
#include "proc_fleet.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* A maintenance window three days from now, so that no wave starts during
 * tests of other features. */
static const char *
closed_window(char buf[160])
{
    static const char *const days[] = {"sun", "mon", "tue", "wed",
                                       "thu", "fri", "sat"};
    time_t then = time(NULL) + (time_t)3 * 86400;
    struct tm tm;
    gmtime_r(&then, &tm);
    snprintf(buf, 160,
             "{\"windows\":[{\"days\":[\"%s\"],\"from\":\"00:00\","
             "\"to\":\"01:00\",\"utc_offset\":\"+00:00\"}]}",
             days[tm.tm_wday]);
    return buf;
}

static void
write_fleet(struct proc_fleet *f, char path[160])
{
    struct cw_buf b;
    cw_buf_init(&b);
    cw_buf_addf(&b, "{\"reboot_ms\":500,\"vms\":[");
    for (int s = 1; s <= f->options.services; s++) {
        for (int v = 1; v <= f->options.vms; v++) {
            struct proc_fleet_vm *vm = &f->vms[f->vm_count];
            snprintf(vm->name, sizeof(vm->name), "s%d-v%d", s, v);
            vm->port = proc_free_port();
            vm->control_port = proc_free_port();
            cw_buf_addf(&b,
                        "%s{\"vm\":\"%s\",\"pool\":\"s%d\",\"dc\":\"dc%d\","
                        "\"rack\":\"r%d\",\"address\":\"127.0.0.1:%d\","
                        "\"control\":\"127.0.0.1:%d\"}",
                        f->vm_count == 0 ? "" : ",", vm->name, s,
                        1 + v % f->options.dcs, v, vm->port, vm->control_port);
            f->vm_count++;
        }
    }
    cw_buf_addf(&b, "]}");
    cw_buf_add(&b, "", 1);
    proc_write_file(&f->env, "fleet.json", b.ptr, path);
    cw_buf_finish(&b);
}

static bool
start_stand_ins(struct proc_fleet *f)
{
    char path[160];
    char address[32];
    write_fleet(f, path);
    int port = proc_free_port();
    snprintf(address, sizeof(address), "127.0.0.1:%d", port);
    f->platform = proc_start(&f->env, "platform",
                             (const char *[]){"standin-platform", "--listen",
                                              address, "--fleet", path, NULL});
    f->platform->port = port;
    f->endpoints = proc_start(&f->env, "endpoints",
                              (const char *[]){"standin-endpoint", "--fleet",
                                               path, "--work-ms", "5", NULL});
    return proc_wait_status(port, "/ready", 200, PROC_TIMEOUT_MS) &&
           proc_wait_status(f->vms[f->vm_count - 1].port, "/ready", 200,
                            PROC_TIMEOUT_MS);
}

void
proc_fleet_write_settings(struct proc_fleet *f, int index, const char *extra)
{
    struct cw_buf b;
    char name[32];
    char path[160];
    const struct proc *p = f->daemons[index];
    cw_buf_init(&b);
    cw_buf_addf(&b,
                "{\"daemon\":\"d%d\",\"dc\":\"dc%d\","
                "\"listen\":\"127.0.0.1:%d\",\"peer_listen\":\"127.0.0.1:%d\","
                "\"admin_listen\":\"127.0.0.1:%d\","
                "\"platform\":\"127.0.0.1:%d\",\"peers\":[",
                index + 1, 1 + index % f->options.dcs, p->port, p->peer_port,
                p->admin_port, f->platform->port);
    const char *comma = "";
    for (int i = 0; i < f->options.daemons; i++) {
        if (i != index) {
            cw_buf_addf(&b,
                        "%s{\"daemon\":\"d%d\",\"address\":\"127.0.0.1:%d\"}",
                        comma, i + 1, f->daemons[i]->peer_port);
            comma = ",";
        }
    }
    cw_buf_addf(&b, "]%s}", extra);
    cw_buf_add(&b, "", 1);
    snprintf(name, sizeof(name), "d%d.json", index + 1);
    proc_write_file(&f->env, name, b.ptr, path);
    cw_buf_finish(&b);
}

void
proc_fleet_start_daemon(struct proc_fleet *f, int index)
{
    char name[16];
    char path[160];
    snprintf(name, sizeof(name), "d%d", index + 1);
    snprintf(path, sizeof(path), "%s/%s.json", f->env.dir, name);
    proc_start(&f->env, name,
               (const char *[]){"cuminwalkd", "--settings", path, NULL});
}

/* Reserves a process entry and the ports of a daemon. Done for all daemons
 * before the first start, because each one's settings list all others. */
static void
reserve_daemon(struct proc_fleet *f, int index)
{
    struct proc *p = &f->env.items[f->env.count++];
    snprintf(p->name, sizeof(p->name), "d%d", index + 1);
    p->port = proc_free_port();
    p->peer_port = proc_free_port();
    p->admin_port = proc_free_port();
    f->daemons[index] = p;
}

bool
proc_fleet_wait_ready(struct proc_fleet *f, int index)
{
    return proc_wait_status(f->daemons[index]->admin_port, "/readyz", 200,
                            PROC_TIMEOUT_MS);
}

bool
proc_fleet_start(struct proc_fleet *f,
                 const struct proc_fleet_options *options)
{
    memset(f, 0, sizeof(*f));
    proc_env_init(&f->env);
    f->options = *options;
    if (!start_stand_ins(f)) {
        return false;
    }
    for (int i = 0; i < options->daemons; i++) {
        reserve_daemon(f, i);
    }
    for (int i = 0; i < options->daemons; i++) {
        proc_fleet_write_settings(f, i, options->settings);
        proc_fleet_start_daemon(f, i);
    }
    for (int i = 0; i < options->daemons; i++) {
        if (!proc_fleet_wait_ready(f, i)) {
            return false;
        }
    }
    for (int s = 1; s <= options->services; s++) {
        uint64_t version = proc_fleet_put_document(f, s, 0, options->document);
        for (int i = 0; i < options->daemons; i++) {
            if (version == 0 || !proc_fleet_wait_version(f, i, s, version)) {
                return false;
            }
        }
    }
    return proc_fleet_wait_slots(f, (1U << (unsigned)options->daemons) - 1);
}

void
proc_fleet_finish(struct proc_fleet *f, bool print_logs)
{
    proc_env_finish(&f->env, print_logs || getenv("PROC_LOGS") != NULL);
}

/* Slots that a daemon holds over all services, or -1 while it does not see
 * every endpoint ready. */
static int64_t
slots_held(struct proc_fleet *f, int daemon)
{
    json_t *o =
        proc_http_json(f->daemons[daemon]->admin_port, "/status", NULL);
    const json_t *services = json_object_get(o, "services");
    const json_t *vms = json_object_get(o, "vms");
    int64_t held = 0;
    int ready = 0;
    for (size_t i = 0; i < json_array_size(services); i++) {
        held += json_integer_value(
            json_object_get(json_array_get(services, i), "held"));
    }
    for (size_t i = 0; i < json_array_size(vms); i++) {
        const json_t *vm = json_array_get(vms, i);
        ready += json_is_true(json_object_get(vm, "ready")) &&
                 json_is_false(json_object_get(vm, "leaving"));
    }
    json_decref(o);
    return ready == f->vm_count ? held : -1;
}

struct slots_wait {
    struct proc_fleet *f;
    unsigned mask;
};

static bool
all_slots_held(void *arg)
{
    const struct slots_wait *w = arg;
    int64_t sum = 0;
    for (int i = 0; i < w->f->options.daemons; i++) {
        if ((w->mask >> (unsigned)i & 1U) != 0) {
            int64_t held = slots_held(w->f, i);
            if (held < 0) {
                return false;
            }
            sum += held;
        }
    }
    return sum == (int64_t)w->f->vm_count * 8;
}

bool
proc_fleet_wait_slots(struct proc_fleet *f, unsigned daemon_mask)
{
    struct slots_wait w = {f, daemon_mask};
    return proc_wait_until(all_slots_held, &w, PROC_TIMEOUT_MS);
}

uint64_t
proc_fleet_put_document(struct proc_fleet *f, int service, uint64_t base,
                        const char *extra)
{
    struct cw_buf b;
    char window[160];
    bool has_maintenance = strstr(extra, "\"maintenance\"") != NULL;
    cw_buf_init(&b);
    cw_buf_addf(&b,
                "[{\"type\":\"doc\",\"id\":\"test-%d-%llu\",\"by\":\"test\","
                "\"time\":%lld,\"service\":\"s%d\",\"base\":%llu,\"doc\":{"
                "\"service\":\"s%d\",\"team\":\"t1\",\"capacity\":{"
                "\"vms_min\":1,\"vms_max\":16},\"availability\":{\"target\":"
                "0.9}%s%s%s}}]",
                (int)getpid(), (unsigned long long)++f->record_seq,
                (long long)time(NULL) * 1000, service,
                (unsigned long long)base, service,
                has_maintenance ? "" : ",\"maintenance\":",
                has_maintenance ? "" : closed_window(window), extra);
    cw_buf_add(&b, "", 1);
    json_t *o = proc_http_json(f->platform->port, "/log/config", b.ptr);
    cw_buf_finish(&b);
    uint64_t offset =
        (uint64_t)json_integer_value(json_object_get(o, "offset"));
    json_decref(o);
    return offset;
}

int64_t
proc_fleet_document_version(struct proc_fleet *f, int daemon, int service)
{
    char name[16];
    int64_t version = -1;
    snprintf(name, sizeof(name), "s%d", service);
    json_t *o =
        proc_http_json(f->daemons[daemon]->admin_port, "/status", NULL);
    const json_t *list = json_object_get(o, "services");
    for (size_t i = 0; i < json_array_size(list); i++) {
        const json_t *s = json_array_get(list, i);
        const char *service_name =
            json_string_value(json_object_get(s, "service"));
        if (service_name != NULL && strcmp(service_name, name) == 0) {
            version = json_integer_value(json_object_get(s, "version"));
        }
    }
    json_decref(o);
    return version;
}

struct version_wait {
    struct proc_fleet *f;
    int daemon;
    int service;
    uint64_t version;
};

static bool
has_version(void *arg)
{
    const struct version_wait *w = arg;
    return proc_fleet_document_version(w->f, w->daemon, w->service) ==
           (int64_t)w->version;
}

bool
proc_fleet_wait_version(struct proc_fleet *f, int daemon, int service,
                        uint64_t version)
{
    struct version_wait w = {f, daemon, service, version};
    return proc_wait_until(has_version, &w, PROC_TIMEOUT_MS);
}
