/* Fixture for tests of job placement. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "place_fixture.h"

#include <string.h>

#define DAEMONS 3
#define WORKERS 4

void
place_fixture_start(struct place_fixture *f, const char *failing)
{
    struct cw_buf b;
    cw_buf_init(&b);
    cw_buf_addf(&b, "{\"vms\":[],\"workers\":[");
    for (int i = 1; i <= WORKERS; i++) {
        char name[8];
        snprintf(name, sizeof(name), "w%d", i);
        cw_buf_addf(&b,
                    "%s{\"worker\":\"%s\",\"dc\":\"dc1\",\"rack\":\"r%d\","
                    "\"cpu_milli\":4000,\"memory_mb\":4000,\"fails\":%s}",
                    i > 1 ? "," : "", name, i,
                    strcmp(name, failing) == 0 ? "true" : "false");
    }
    cw_buf_addf(&b, "]}");
    cw_buf_add(&b, "", 1);
    cluster_start(&f->cluster, b.ptr, DAEMONS, 1);
    cw_buf_finish(&b);
    cluster_stream_init(&f->jobs, &f->cluster, "jobs-0");
}

void
place_fixture_stop(struct place_fixture *f, bool passed)
{
    cluster_stream_finish(&f->jobs);
    cluster_stop(&f->cluster, !passed);
    assert_true(passed);
}

uint64_t
place_put_job(struct place_fixture *f, const char *service, uint64_t base,
              int count, int cpu_milli, int run_ms, const char *extra)
{
    char fields[512] = "";
    if (count > 0) {
        snprintf(fields, sizeof(fields),
                 ",\"quota\":{\"cpu_milli\":8000,\"memory_mb\":8000},"
                 "\"jobs\":[{\"name\":\"job\",\"count\":%d,"
                 "\"cpu_milli\":%d,\"memory_mb\":100,\"run_ms\":%d%s}]",
                 count, cpu_milli, run_ms, extra);
    }
    return cluster_put_document(&f->cluster, service, base, fields);
}

int64_t
place_platform_count(struct place_fixture *f, const char *key)
{
    json_t *o =
        proc_http_json(f->cluster.env.platform_port, "/violations", NULL);
    const json_t *counts = json_object_get(o, "counts");
    const json_t *v = json_object_get(counts, key);
    if (v == NULL) {
        v = json_object_get(o, key);
    }
    int64_t n = json_is_integer(v) ? json_integer_value(v) : -1;
    json_decref(o);
    return n;
}

bool
place_ran_once(struct place_fixture *f, int64_t tasks)
{
    int64_t starts = place_platform_count(f, "starts");
    int64_t twice = place_platform_count(f, "task_twice");
    int64_t done = place_platform_count(f, "done");
    int64_t expired = place_platform_count(f, "expired");
    printf("starts=%d done=%d expired=%d task_twice=%d\n", (int)starts,
           (int)done, (int)expired, (int)twice);
    return starts == tasks && done == tasks && expired == 0 && twice == 0;
}

struct proc *
place_holder(struct place_fixture *f)
{
    const json_t *claim = cluster_stream_last(&f->jobs, "claim", NULL, NULL);
    return cluster_daemon(&f->cluster, cluster_record_text(claim, "by"));
}

static bool
is_replaced(void *arg)
{
    struct place_fixture *f = arg;
    return cluster_stream_read(&f->jobs) &&
           strcmp(place_holder(f)->name, f->replaced) != 0;
}

bool
place_wait_replaced(struct place_fixture *f, const struct proc *old)
{
    f->replaced = old->name;
    return proc_wait_until(is_replaced, f, PROC_TIMEOUT_MS);
}

bool
place_wait_done(struct place_fixture *f, size_t tasks, int limit_ms)
{
    return cluster_stream_wait(&f->jobs, "ended", "result", "done", tasks,
                               limit_ms);
}

/* Number of tasks that the workers report, in any state. */
static size_t
count_reported_tasks(struct place_fixture *f)
{
    json_t *o = proc_http_json(f->cluster.env.platform_port,
                               "/workers?cell=0&cells=1&since=0", NULL);
    const json_t *workers = json_object_get(o, "workers");
    size_t n = workers == NULL ? 1 : 0;
    for (size_t i = 0; i < json_array_size(workers); i++) {
        n += json_array_size(
            json_object_get(json_array_get(workers, i), "tasks"));
    }
    json_decref(o);
    return n;
}

bool
place_has_no_tasks(void *arg)
{
    return count_reported_tasks(arg) == 0;
}
