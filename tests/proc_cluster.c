/* A platform stand-in and daemons for tests. */
#include "proc_cluster.h"

#include <string.h>

#define PAGE_RECORDS 1000

static void
start_daemon(struct proc_cluster *c, int id, int dcs, const int *peers)
{
    char file[48];
    char path[160];
    char name[16];
    struct cw_buf b;
    int port = proc_free_port();
    int admin = proc_free_port();
    snprintf(name, sizeof(name), "d%d", id + 1);
    snprintf(file, sizeof(file), "%s.json", name);
    cw_buf_init(&b);
    /* Short intervals, but long enough that on a busy machine no daemon is
     * considered silent and removed from the membership. */
    cw_buf_addf(&b,
                "{\"daemon\":\"%s\",\"dc\":\"dc%d\","
                "\"listen\":\"127.0.0.1:%d\",\"peer_listen\":\"127.0.0.1:%d\","
                "\"admin_listen\":\"127.0.0.1:%d\","
                "\"platform\":\"127.0.0.1:%d\",\"stat_ms\":5000,"
                "\"heartbeat_ms\":400,\"silent_ms\":2000,"
                "\"slot_guard_ms\":2500,\"peers\":[",
                name, id % dcs + 1, port, peers[id], admin,
                c->env.platform_port);
    for (int i = 0; i < c->daemon_count; i++) {
        cw_buf_addf(&b, "%s{\"daemon\":\"d%d\",\"address\":\"127.0.0.1:%d\"}",
                    i > 0 ? "," : "", i + 1, peers[i]);
    }
    cw_buf_addf(&b, "]}");
    cw_buf_add(&b, "", 1);
    const char *argv[] = {"cuminwalkd", "--settings",
                          proc_write_file(&c->env, file, b.ptr, path), NULL};
    c->daemons[id] = proc_start(&c->env, name, argv);
    c->daemons[id]->port = port;
    c->daemons[id]->peer_port = peers[id];
    c->daemons[id]->admin_port = admin;
    cw_buf_finish(&b);
}

void
cluster_start(struct proc_cluster *c, const char *fleet, int daemons, int dcs)
{
    char path[160];
    char listen[32];
    int peers[CLUSTER_DAEMONS_MAX] = {0};
    memset(c, 0, sizeof(*c));
    CW_INVARIANT(daemons <= CLUSTER_DAEMONS_MAX);
    c->daemon_count = daemons;
    proc_env_init(&c->env);
    c->env.platform_port = proc_free_port();
    snprintf(listen, sizeof(listen), "127.0.0.1:%d", c->env.platform_port);
    const char *platform[] = {
        "standin-platform",
        "--listen",
        listen,
        "--fleet",
        proc_write_file(&c->env, "fleet.json", fleet, path),
        NULL};
    proc_start(&c->env, "platform", platform);
    proc_wait_status(c->env.platform_port, "/vms?since=0", 200,
                     PROC_TIMEOUT_MS);
    for (int i = 0; i < daemons; i++) {
        peers[i] = proc_free_port();
    }
    for (int i = 0; i < daemons; i++) {
        start_daemon(c, i, dcs, peers);
    }
}

void
cluster_stop(struct proc_cluster *c, bool print_logs)
{
    proc_env_finish(&c->env, print_logs);
}

struct proc *
cluster_daemon(struct proc_cluster *c, const char *name)
{
    for (int i = 0; i < c->daemon_count; i++) {
        if (strcmp(c->daemons[i]->name, name) == 0) {
            return c->daemons[i];
        }
    }
    return NULL;
}

void
cluster_set_fault(struct proc_cluster *c, const char *json)
{
    json_decref(proc_http_json(c->env.platform_port, "/fault", json));
}

uint64_t
cluster_append(struct proc_cluster *c, const char *stream, const char *json)
{
    char path[32];
    struct cw_buf b;
    cw_buf_init(&b);
    cw_buf_addf(&b, "[%s]", json);
    cw_buf_add(&b, "", 1);
    snprintf(path, sizeof(path), "/log/%s", stream);
    json_t *o = proc_http_json(c->env.platform_port, path, b.ptr);
    cw_buf_finish(&b);
    json_int_t offset = json_integer_value(json_object_get(o, "offset"));
    json_decref(o);
    return offset < 0 ? 0 : (uint64_t)offset;
}

uint64_t
cluster_put_document(struct proc_cluster *c, const char *service,
                     uint64_t base, const char *fields)
{
    struct cw_buf b;
    cw_buf_init(&b);
    cw_buf_addf(&b,
                "{\"type\":\"doc\",\"id\":\"put-%s-%llu\",\"by\":\"test\","
                "\"time\":1,\"service\":\"%s\",\"base\":%llu,\"doc\":"
                "{\"service\":\"%s\",\"team\":\"%s\","
                "\"capacity\":{\"vms_min\":0,\"vms_max\":10},"
                "\"availability\":{\"target\":0.9},\"deadline_ms\":10000%s}}",
                service, (unsigned long long)base, service,
                (unsigned long long)base, service, service, fields);
    cw_buf_add(&b, "", 1);
    uint64_t offset = cluster_append(c, "config", b.ptr);
    cw_buf_finish(&b);
    return offset;
}

/* ---- streams ---------------------------------------------------------- */

void
cluster_stream_init(struct cluster_stream *s, struct proc_cluster *c,
                    const char *name)
{
    memset(s, 0, sizeof(*s));
    s->cluster = c;
    snprintf(s->name, sizeof(s->name), "%s", name);
    s->next = 1;
    s->items = json_array();
}

void
cluster_stream_finish(struct cluster_stream *s)
{
    json_decref(s->items);
}

bool
cluster_stream_read(struct cluster_stream *s)
{
    for (;;) {
        char path[80];
        snprintf(path, sizeof(path), "/log/%s?from=%llu&max=%d&wait_ms=0",
                 s->name, (unsigned long long)s->next, PAGE_RECORDS);
        json_t *o = proc_http_json(s->cluster->env.platform_port, path, NULL);
        const json_t *records = json_object_get(o, "records");
        size_t n = json_array_size(records);
        if (!json_is_array(records)) {
            json_decref(o);
            return false;
        }
        for (size_t i = 0; i < n; i++) {
            json_array_append(s->items, json_array_get(records, i));
        }
        s->next = (uint64_t)json_integer_value(json_object_get(o, "next"));
        json_decref(o);
        if (n < PAGE_RECORDS) {
            return true;
        }
    }
}

const char *
cluster_record_text(const json_t *item, const char *key)
{
    const char *s =
        json_string_value(json_object_get(json_object_get(item, "data"), key));
    return s == NULL ? "" : s;
}

int64_t
cluster_record_number(const json_t *item, const char *key)
{
    return json_integer_value(
        json_object_get(json_object_get(item, "data"), key));
}

static bool
record_matches(const json_t *item, const char *type, const char *key,
               const char *value)
{
    return strcmp(cluster_record_text(item, "type"), type) == 0 &&
           (key == NULL || strcmp(cluster_record_text(item, key), value) == 0);
}

size_t
cluster_stream_count(const struct cluster_stream *s, const char *type,
                     const char *key, const char *value)
{
    size_t n = 0;
    for (size_t i = 0; i < json_array_size(s->items); i++) {
        n += record_matches(json_array_get(s->items, i), type, key, value);
    }
    return n;
}

const json_t *
cluster_stream_last(const struct cluster_stream *s, const char *type,
                    const char *key, const char *value)
{
    for (size_t i = json_array_size(s->items); i-- > 0;) {
        const json_t *item = json_array_get(s->items, i);
        if (record_matches(item, type, key, value)) {
            return item;
        }
    }
    return NULL;
}

static bool
has_min_count(void *arg)
{
    struct cluster_stream *s = arg;
    return cluster_stream_read(s) &&
           cluster_stream_count(s, s->type, s->key, s->value) >= s->min_count;
}

bool
cluster_stream_wait(struct cluster_stream *s, const char *type,
                    const char *key, const char *value, size_t min_count,
                    int timeout_ms)
{
    s->type = type;
    s->key = key;
    s->value = value;
    s->min_count = min_count;
    return proc_wait_until(has_min_count, s, timeout_ms);
}
