/* Fixture for tests of maintenance and moves. */
#include "wave_fleet.h"

#include <string.h>

static void
write_fleet_file(struct wave_fleet *f, char path[160])
{
    struct cw_buf b;
    cw_buf_init(&b);
    cw_buf_addf(&b, "{\"reboot_ms\":500,\"vms\":[");
    for (int i = 0; i < FLEET_VMS; i++) {
        cw_buf_addf(&b,
                    "%s{\"vm\":\"v%d\",\"pool\":\"%s\",\"dc\":\"dc%d\","
                    "\"rack\":\"r%d\",\"address\":\"127.0.0.1:%d\","
                    "\"control\":\"127.0.0.1:%d\"}",
                    i > 0 ? "," : "", i, i < FLEET_STOCK ? "stock" : "spare",
                    i % 2 + 1, i / 2, proc_free_port(), proc_free_port());
    }
    cw_buf_addf(&b, "]}");
    cw_buf_add(&b, "", 1);
    proc_write_file(&f->env, "fleet.json", b.ptr, path);
    cw_buf_finish(&b);
}

static void
start_daemon(struct wave_fleet *f, int id, const int peers[FLEET_DAEMONS])
{
    char text[1024];
    char file[32];
    char path[160];
    char name[16];
    int port = proc_free_port();
    int admin = proc_free_port();
    snprintf(name, sizeof(name), "d%d", id + 1);
    snprintf(file, sizeof(file), "%s.json", name);
    snprintf(text, sizeof(text),
             "{\"daemon\":\"%s\",\"dc\":\"dc%d\","
             "\"listen\":\"127.0.0.1:%d\",\"peer_listen\":\"127.0.0.1:%d\","
             "\"admin_listen\":\"127.0.0.1:%d\","
             "\"platform\":\"127.0.0.1:%d\",\"stat_ms\":500,"
             "\"heartbeat_ms\":500,\"log_level\":\"debug\",\"peers\":["
             "{\"daemon\":\"d1\",\"address\":\"127.0.0.1:%d\"},"
             "{\"daemon\":\"d2\",\"address\":\"127.0.0.1:%d\"},"
             "{\"daemon\":\"d3\",\"address\":\"127.0.0.1:%d\"}]}",
             name, id % 2 + 1, port, peers[id], admin, f->env.platform_port,
             peers[0], peers[1], peers[2]);
    const char *argv[] = {"cuminwalkd", "--settings",
                          proc_write_file(&f->env, file, text, path), NULL};
    f->daemons[id] = proc_start(&f->env, name, argv);
    f->daemons[id]->port = port;
}

void
fleet_start(struct wave_fleet *f)
{
    char path[160];
    char listen[32];
    int peers[FLEET_DAEMONS];
    memset(f, 0, sizeof(*f));
    f->log = json_array();
    f->next = 1;
    proc_env_init(&f->env);
    write_fleet_file(f, path);
    f->env.platform_port = proc_free_port();
    snprintf(listen, sizeof(listen), "127.0.0.1:%d", f->env.platform_port);
    const char *platform[] = {"standin-platform", "--listen", listen,
                              "--fleet",          path,       NULL};
    const char *endpoint[] = {"standin-endpoint", "--fleet", path, NULL};
    proc_start(&f->env, "endpoint", endpoint);
    proc_start(&f->env, "platform", platform);
    proc_wait_status(f->env.platform_port, "/vms?since=0", 200,
                     PROC_TIMEOUT_MS);
    for (int i = 0; i < FLEET_DAEMONS; i++) {
        peers[i] = proc_free_port();
    }
    for (int i = 0; i < FLEET_DAEMONS; i++) {
        start_daemon(f, i, peers);
    }
}

void
fleet_stop(struct wave_fleet *f, bool keep_logs)
{
    json_decref(f->log);
    proc_env_finish(&f->env, keep_logs);
}

void
fleet_put(struct wave_fleet *f, const char *service, uint64_t base,
          int vms_min, bool spare)
{
    char body[700];
    snprintf(body, sizeof(body),
             "[{\"type\":\"doc\",\"id\":\"put-%s-%llu\",\"by\":\"test\","
             "\"time\":1,\"service\":\"%s\",\"base\":%llu,\"doc\":"
             "{\"service\":\"%s\",\"team\":\"t\",\"spare_pool\":%s,"
             "\"capacity\":{\"vms_min\":%d,\"vms_max\":10},"
             "\"availability\":{\"target\":0.9},"
             "\"maintenance\":{\"every_days\":1%s},"
             "\"deadline_ms\":10000}}]",
             service, (unsigned long long)base, service,
             (unsigned long long)base, service, spare ? "true" : "false",
             vms_min, "");
    json_decref(proc_http_json(f->env.platform_port, "/log/config", body));
}

static bool
matches(const json_t *r, const char *type, const char *key, const char *value)
{
    const char *t = json_string_value(json_object_get(r, "type"));
    const char *v = json_string_value(json_object_get(r, key));
    return t != NULL && v != NULL && strcmp(t, type) == 0 &&
           strcmp(v, value) == 0;
}

size_t
fleet_count(const struct wave_fleet *f, const char *type, const char *key,
            const char *value)
{
    size_t n = 0;
    size_t i;
    const json_t *r;
    json_array_foreach(f->log, i, r)
    {
        n += matches(r, type, key, value);
    }
    return n;
}

const json_t *
fleet_last(const struct wave_fleet *f, const char *type, const char *key,
           const char *value)
{
    const json_t *last = NULL;
    size_t i;
    const json_t *r;
    json_array_foreach(f->log, i, r)
    {
        last = matches(r, type, key, value) ? r : last;
    }
    return last;
}

static bool
read_log(void *arg)
{
    struct wave_fleet *f = arg;
    char path[80];
    snprintf(path, sizeof(path), "/log/config?from=%llu&max=1000&wait_ms=0",
             (unsigned long long)f->next);
    json_t *o = proc_http_json(f->env.platform_port, path, NULL);
    size_t i;
    const json_t *r;
    json_array_foreach(json_object_get(o, "records"), i, r)
    {
        json_array_append(f->log, json_object_get(r, "data"));
    }
    if (o != NULL) {
        f->next = (uint64_t)json_integer_value(json_object_get(o, "next"));
    }
    json_decref(o);
    return fleet_count(f, f->type, f->key, f->value) >= f->min_count;
}

bool
fleet_wait(struct wave_fleet *f, const char *type, const char *key,
           const char *value, size_t min_count, int limit_ms)
{
    f->type = type;
    f->key = key;
    f->value = value;
    f->min_count = min_count;
    return proc_wait_until(read_log, f, limit_ms);
}

struct proc *
fleet_writer(struct wave_fleet *f, const json_t *record)
{
    const char *by = json_string_value(json_object_get(record, "by"));
    return f->daemons[by != NULL && by[0] == 'd' ? by[1] - '1' : 0];
}

void
fleet_fault(struct wave_fleet *f, const char *json)
{
    json_decref(proc_http_json(f->env.platform_port, "/fault", json));
}

int64_t
fleet_violations(const struct wave_fleet *f)
{
    return proc_http_json_number(f->env.platform_port, "/violations", "total");
}
