/* Control traffic, CPU time and memory of real daemons, mostly without request
 * load, and how they grow with daemons, endpoints and documents. */
#include "bench.h"
#include "proc.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define DCS 3
#define DAEMONS_MAX 9
#define WARMUP_MS 6000
#define MEASURE_MS 10000
/* VMs beyond this number share the addresses of the first ones: the daemons
 * see all VMs, and the stand-in needs no thousands of listeners. */
#define ENDPOINTS_MAX 100

struct setup {
    const char *name;
    int daemons;
    int vms;
    int documents;
    int rate; /* requests per second and service; 0 = no load */
};

static const struct setup setups[] = {
    {"d9_e50_s5", 9, 50, 5, 0},         {"d3_e50_s5", 3, 50, 5, 0},
    {"d9_e100_s5", 9, 100, 5, 0},       {"d9_e50_s46", 9, 50, 46, 0},
    {"d9_e50_s46_busy", 9, 50, 46, 10}, {"d9_e1000_s46", 9, 1000, 46, 0},
    {"d9_e4100_s46", 9, 4100, 46, 0},
};

static const char *const counter_names[] = {
    "cuminwalk_control_bytes_in{with=\"log\"}",
    "cuminwalk_control_bytes_out{with=\"log\"}",
    "cuminwalk_control_bytes_in{with=\"vm_list\"}",
    "cuminwalk_control_bytes_out{with=\"vm_list\"}",
    "cuminwalk_control_bytes_in{with=\"pool_control\"}",
    "cuminwalk_control_bytes_out{with=\"pool_control\"}",
    "cuminwalk_control_bytes_in{with=\"workers\"}",
    "cuminwalk_control_bytes_out{with=\"workers\"}",
    "cuminwalk_control_bytes_in{with=\"probes\"}",
    "cuminwalk_control_bytes_out{with=\"probes\"}",
    "cuminwalk_heartbeat_bytes_in{}",
    "cuminwalk_heartbeat_bytes_out{}",
};
#define COUNTERS (sizeof(counter_names) / sizeof(counter_names[0]))

struct sample {
    double bytes[COUNTERS];
    double cpu_ms;
    double rss_mb;
};

static double
metric_value(const char *text, const char *name)
{
    const char *p = strstr(text, name);
    return p == NULL ? 0.0 : strtod(p + strlen(name), NULL);
}

static double
cpu_ms_of(pid_t pid)
{
    char path[64];
    char line[1024];
    snprintf(path, sizeof(path), "/proc/%d/stat", (int)pid);
    FILE *f = fopen(path, "r");
    if (f == NULL) {
        return 0.0;
    }
    size_t n = fread(line, 1, sizeof(line) - 1, f);
    fclose(f);
    line[n] = '\0';
    /* utime and stime are fields 14 and 15. The process name, field 2, may
     * contain spaces, so fields are counted from its closing parenthesis. */
    char *p = strrchr(line, ')');
    unsigned long ticks = 0;
    for (int field = 3; p != NULL && field <= 15; field++) {
        p = strchr(p + 1, ' ');
        if (p != NULL && field >= 14) {
            ticks += strtoul(p + 1, NULL, 10);
        }
    }
    return (double)ticks * 1000.0 / (double)sysconf(_SC_CLK_TCK);
}

static double
rss_mb_of(pid_t pid)
{
    char path[64];
    unsigned long size;
    unsigned long pages = 0;
    snprintf(path, sizeof(path), "/proc/%d/statm", (int)pid);
    FILE *f = fopen(path, "r");
    if (f != NULL) {
        if (fscanf(f, "%lu %lu", &size, &pages) != 2) {
            pages = 0;
        }
        fclose(f);
    }
    return (double)pages * (double)sysconf(_SC_PAGESIZE) / 1e6;
}

/* Reads the metrics of all daemons and adds them up. */
static void
sample_daemons(struct proc *const *daemons, int count, struct sample *s)
{
    memset(s, 0, sizeof(*s));
    for (int i = 0; i < count && daemons[i] != NULL; i++) {
        struct proc_answer a;
        if (proc_http(daemons[i]->admin_port, "GET", "/metrics", "", "", 5000,
                      &a)) {
            struct cw_str body = proc_body(&a);
            char *text = strndup(body.ptr, body.len);
            for (size_t n = 0; n < COUNTERS; n++) {
                s->bytes[n] += metric_value(text, counter_names[n]);
            }
            free(text);
        }
        proc_answer_finish(&a);
        s->cpu_ms += cpu_ms_of(daemons[i]->pid);
        s->rss_mb += rss_mb_of(daemons[i]->pid);
    }
}

static void
write_fleet(struct proc_env *e, const struct setup *s, char path[160],
            struct cw_buf *text)
{
    struct cw_buf b;
    int ports[2 * ENDPOINTS_MAX];
    cw_buf_init(&b);
    for (int i = 0; i < 2 * ENDPOINTS_MAX; i++) {
        ports[i] = proc_free_port();
    }
    cw_buf_addf(&b, "{\"vmlist_lag_ms\":0,\"workers\":[],\"vms\":[");
    for (int i = 0; i < s->vms; i++) {
        int first_port = 2 * (i % ENDPOINTS_MAX);
        cw_buf_addf(
            &b,
            "%s{\"vm\":\"vm%d\",\"pool\":\"service%d\",\"dc\":\"dc%d\","
            "\"rack\":\"r%d\",\"address\":\"127.0.0.1:%d\","
            "\"control\":\"127.0.0.1:%d\"}",
            i == 0 ? "" : ",", i, i % s->documents, i % DCS, i / 4,
            ports[first_port], ports[first_port + 1]);
    }
    cw_buf_addf(&b, "]}");
    proc_write_file(e, "fleet.json", b.ptr, path);
    *text = b;
}

static struct proc *
start_daemon(struct proc_env *e, int i)
{
    char name[16];
    char file[32];
    char text[512];
    char path[160];
    int port = proc_free_port();
    int peer = proc_free_port();
    int admin = proc_free_port();
    snprintf(name, sizeof(name), "d%d", i);
    snprintf(file, sizeof(file), "%s.json", name);
    snprintf(text, sizeof(text),
             "{\"daemon\":\"%s\",\"dc\":\"dc%d\",\"listen\":\"127.0.0.1:%d\","
             "\"peer_listen\":\"127.0.0.1:%d\","
             "\"admin_listen\":\"127.0.0.1:%d\","
             "\"platform\":\"127.0.0.1:%d\"}",
             name, i % DCS, port, peer, admin, e->platform_port);
    const char *const argv[] = {"cuminwalkd", "--settings",
                                proc_write_file(e, file, text, path), NULL};
    struct proc *p = proc_start(e, name, argv);
    p->port = port;
    p->peer_port = peer;
    p->admin_port = admin;
    return p;
}

/* Appends the VM records in batches. Daemons that find unknown VMs in the list
 * append one record at a time, which takes minutes for thousands of VMs and is
 * not what is measured. */
static void
append_vms(const struct proc_env *e, const struct setup *s,
           const struct cw_str fleet)
{
    json_t *o = json_loadb(fleet.ptr, fleet.len, 0, NULL);
    const json_t *vms = json_object_get(o, "vms");
    json_t *batch = json_array();
    for (int i = 0; i < s->vms; i++) {
        json_t *r = json_copy(json_array_get(vms, (size_t)i));
        char id[32];
        snprintf(id, sizeof(id), "bench-vm-%d", i);
        json_object_del(r, "control");
        json_object_set_new(r, "type", json_string("vm"));
        json_object_set_new(r, "id", json_string(id));
        json_object_set_new(r, "by", json_string("bench"));
        json_object_set_new(r, "time", json_integer(1));
        json_object_set_new(r, "incarnation", json_integer(1));
        json_array_append_new(batch, r);
        if (json_array_size(batch) == 100 || i == s->vms - 1) {
            char *text = json_dumps(batch, JSON_COMPACT);
            json_decref(proc_http_json(e->platform_port, "/log/config", text));
            free(text);
            json_array_clear(batch);
        }
    }
    json_decref(batch);
    json_decref(o);
}

static void
append_documents(const struct proc_env *e, int documents)
{
    struct cw_buf b;
    cw_buf_init(&b);
    for (int i = 0; i < documents; i++) {
        cw_buf_addf(
            &b,
            "%s{\"type\":\"doc\",\"id\":\"bench-doc-%d\",\"by\":\"bench\","
            "\"time\":1,\"service\":\"service%d\",\"base\":0,\"doc\":{"
            "\"service\":\"service%d\",\"team\":\"team%d\",\"capacity\":{"
            "\"vms_min\":1,\"vms_max\":1000},\"availability\":{\"target\":"
            "0.99},\"maintenance\":{\"windows\":[{\"days\":[\"mon\"],"
            "\"from\":\"00:00\",\"to\":\"00:01\",\"utc_offset\":\"+00:00\"}]"
            "}}}",
            i == 0 ? "[" : ",", i, i, i, i);
    }
    cw_buf_addf(&b, "]");
    json_decref(proc_http_json(e->platform_port, "/log/config", b.ptr));
    cw_buf_finish(&b);
}

static void
print_results(const struct setup *s, const struct sample *a,
              const struct sample *b, double seconds)
{
    char name[96];
    double total = 0;
    static const char *const purposes[] = {
        "log", "vm_list", "pool_control", "workers", "probes", "heartbeats"};
    for (size_t i = 0; i < COUNTERS; i += 2) {
        double in = (b->bytes[i] - a->bytes[i]) / s->daemons / seconds;
        double out =
            (b->bytes[i + 1] - a->bytes[i + 1]) / s->daemons / seconds;
        total += in + out;
        snprintf(name, sizeof(name), "control_%s_%s_bytes_per_s", s->name,
                 purposes[i / 2]);
        bench_print(name, "%.0f", in + out);
    }
    snprintf(name, sizeof(name), "control_%s_total_bytes_per_s", s->name);
    bench_print(name, "%.0f", total);
    snprintf(name, sizeof(name), "control_%s_cpu_percent", s->name);
    bench_print(name, "%.2f",
                (b->cpu_ms - a->cpu_ms) / s->daemons / seconds / 10.0);
    snprintf(name, sizeof(name), "control_%s_rss_mb", s->name);
    bench_print(name, "%.1f", b->rss_mb / s->daemons);
}

/* Starts load on all services, which lasts until proc_env_finish. */
static void
start_load(struct proc_env *e, const struct setup *s,
           struct proc *const *daemons)
{
    struct cw_buf targets;
    struct cw_buf services;
    char rate[16];
    cw_buf_init(&targets);
    cw_buf_init(&services);
    for (int i = 0; i < s->daemons && daemons[i] != NULL; i++) {
        cw_buf_addf(&targets, "%s127.0.0.1:%d", i == 0 ? "" : ",",
                    daemons[i]->port);
    }
    for (int i = 0; i < s->documents; i++) {
        cw_buf_addf(&services, "%sservice%d", i == 0 ? "" : ",", i);
    }
    snprintf(rate, sizeof(rate), "%d", s->rate);
    const char *const argv[] = {
        "standin-load", "--target",  targets.ptr, "--service",
        services.ptr,   "--rate",    rate,        "--seconds",
        "60",           "--work-ms", "100",       NULL,
    };
    proc_start(e, "load", argv);
    cw_buf_finish(&targets);
    cw_buf_finish(&services);
}

static bool
run_setup(const struct setup *s)
{
    struct proc_env e;
    struct proc *daemons[DAEMONS_MAX] = {NULL};
    char fleet[160];
    char listen[32];
    proc_env_init(&e);
    struct cw_buf text;
    write_fleet(&e, s, fleet, &text);
    e.platform_port = proc_free_port();
    snprintf(listen, sizeof(listen), "127.0.0.1:%d", e.platform_port);
    const char *const platform[] = {"standin-platform", "--listen", listen,
                                    "--fleet",          fleet,      NULL};
    const char *const endpoints[] = {"standin-endpoint", "--fleet", fleet,
                                     NULL};
    proc_start(&e, "platform", platform);
    proc_start(&e, "endpoints", endpoints);
    bool ok =
        proc_wait_status(e.platform_port, "/violations", 200, PROC_TIMEOUT_MS);
    append_documents(&e, s->documents);
    append_vms(&e, s, cw_buf_str(&text));
    cw_buf_finish(&text);
    for (int i = 0; i < s->daemons; i++) {
        daemons[i] = start_daemon(&e, i);
    }
    for (int i = 0; i < s->daemons && daemons[i] != NULL; i++) {
        ok = ok && proc_wait_status(daemons[i]->admin_port, "/readyz", 200,
                                    PROC_TIMEOUT_MS);
    }
    if (ok) {
        struct sample a;
        struct sample b;
        if (s->rate > 0) {
            start_load(&e, s, daemons);
        }
        proc_sleep_ms(WARMUP_MS);
        int64_t began = proc_now_ms();
        sample_daemons(daemons, s->daemons, &a);
        proc_sleep_ms(MEASURE_MS);
        sample_daemons(daemons, s->daemons, &b);
        print_results(s, &a, &b, (double)(proc_now_ms() - began) / 1000.0);
    }
    proc_env_finish(&e, !ok);
    return ok;
}

int
main(int argc, char **argv)
{
    (void)bench_seed(argc, argv);
    bool ok = true;
    for (size_t i = 0; i < sizeof(setups) / sizeof(setups[0]); i++) {
        ok = run_setup(&setups[i]) && ok;
    }
    return ok ? 0 : 1;
}
