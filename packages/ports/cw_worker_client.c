/* Client of the platform's worker control. */
#include "cw_clients.h"

#include <stdlib.h>
#include <string.h>

struct reports_call {
    void (*done)(void *arg, enum cw_status s, uint64_t version, size_t count,
                 const struct cw_worker_report *reports);
    void *arg;
};

struct task_call {
    void (*done)(void *arg, enum cw_status s);
    void *arg;
};

enum cw_status
cw_worker_client_init(struct cw_worker_client *c, uv_loop_t *loop,
                      const char *address)
{
    return cw_http_client_init(&c->http, loop, address);
}

void
cw_worker_client_finish(struct cw_worker_client *c)
{
    cw_http_client_finish(&c->http);
}

static bool
parse_task(const json_t *o, struct cw_task_report *t)
{
    static const char *const state_names[] = {"running", "done", "failed",
                                              "checkpointed"};
    const char *state = json_string_value(json_object_get(o, "state"));
    for (int i = CW_TASK_RUNNING; state != NULL && i <= CW_TASK_CHECKPOINTED;
         i++) {
        if (strcmp(state, state_names[i]) == 0) {
            t->state = (enum cw_task_state)i;
            t->fence = cw_client_get_u64(o, "fence");
            t->cpu_milli = (uint32_t)cw_client_get_u64(o, "cpu_milli");
            t->memory_mb = (uint32_t)cw_client_get_u64(o, "memory_mb");
            return cw_client_get_name(&t->task, o, "task") == CW_OK;
        }
    }
    return false;
}

/* Parses one worker. tasks[] must have an element for each of its tasks. */
static bool
parse_worker(const json_t *o, struct cw_worker_report *w,
             struct cw_task_report *tasks)
{
    const json_t *list = json_object_get(o, "tasks");
    w->cpu_milli = (uint32_t)cw_client_get_u64(o, "cpu_milli");
    w->memory_mb = (uint32_t)cw_client_get_u64(o, "memory_mb");
    w->accelerators = (uint32_t)cw_client_get_u64(o, "accelerators");
    w->task_count = json_array_size(list);
    w->tasks = tasks;
    for (size_t i = 0; i < w->task_count; i++) {
        if (!parse_task(json_array_get(list, i), &tasks[i])) {
            return false;
        }
    }
    return cw_client_get_name(&w->worker, o, "worker") == CW_OK &&
           cw_client_get_name(&w->rack, o, "rack") == CW_OK &&
           cw_client_get_name(&w->dc, o, "dc") == CW_OK;
}

static size_t
count_tasks(const json_t *list)
{
    size_t n = 0;
    for (size_t i = 0; i < json_array_size(list); i++) {
        n +=
            json_array_size(json_object_get(json_array_get(list, i), "tasks"));
    }
    return n;
}

static void
on_reports_answer(void *arg, enum cw_status s, const struct cw_http_answer *a)
{
    struct reports_call *call = arg;
    s = cw_client_map_status(s, a);
    json_t *o = s == CW_OK ? cw_client_parse_json(a) : NULL;
    const json_t *list = json_object_get(o, "workers");
    if (s == CW_OK && !json_is_array(list)) {
        s = CW_ERR_UNKNOWN;
    }
    struct cw_worker_report *reports =
        calloc(json_array_size(list) + 1, sizeof(*reports));
    struct cw_task_report *tasks =
        calloc(count_tasks(list) + 1, sizeof(*tasks));
    CW_INVARIANT(reports != NULL && tasks != NULL);
    size_t n = 0;
    size_t used = 0;
    for (size_t i = 0; i < json_array_size(list); i++) {
        if (parse_worker(json_array_get(list, i), &reports[n], tasks + used)) {
            used += reports[n].task_count;
            n++;
        }
        else {
            cw_log(CW_WARN, "worker_report_unreadable", "index=%zu", i);
        }
    }
    call->done(call->arg, s, cw_client_get_u64(o, "version"), n, reports);
    free(tasks);
    free(reports);
    json_decref(o);
    free(call);
}

static void
get_reports(void *ctx, uint32_t cell, uint32_t cells, uint64_t since,
            void (*done)(void *arg, enum cw_status s, uint64_t version,
                         size_t count, const struct cw_worker_report *reports),
            void *arg)
{
    struct cw_worker_client *c = ctx;
    struct reports_call *call = malloc(sizeof(*call));
    CW_INVARIANT(call != NULL);
    *call = (struct reports_call){done, arg};
    char path[96];
    snprintf(path, sizeof(path), "/workers?cell=%u&cells=%u&since=%llu", cell,
             cells, (unsigned long long)since);
    cw_http_call(&c->http,
                 &(struct cw_http_request){
                     "GET", path, {NULL, 0}, CW_PLATFORM_TIMEOUT_MS, NULL},
                 on_reports_answer, call);
}

static void
on_call_answer(void *arg, enum cw_status s, const struct cw_http_answer *a)
{
    struct task_call *call = arg;
    call->done(call->arg, cw_client_map_status(s, a));
    free(call);
}

static void
task_call(void *ctx, enum cw_worker_call what,
          const struct cw_task_order *order,
          void (*done)(void *arg, enum cw_status s), void *arg)
{
    static const char *const paths[] = {
        "/worker/start", "/worker/checkpoint", "/worker/throttle",
        "/worker/stop",  "/worker/renew",
    };
    struct cw_worker_client *c = ctx;
    struct task_call *call = malloc(sizeof(*call));
    CW_INVARIANT(call != NULL);
    *call = (struct task_call){done, arg};
    json_t *body = json_pack("{ss,ss,sI,sI}", "worker", order->worker, "task",
                             order->task, "fence", (json_int_t)order->fence,
                             "lease_ms", (json_int_t)order->lease_ms);
    if (what == CW_WORKER_START) {
        json_t *size = json_pack("{sI,sI,sI,sI}", "cpu_milli",
                                 (json_int_t)order->cpu_milli, "memory_mb",
                                 (json_int_t)order->memory_mb, "accelerators",
                                 (json_int_t)order->accelerators, "run_ms",
                                 (json_int_t)order->run_ms);
        json_object_update(body, size);
        json_decref(size);
    }
    cw_client_post(&c->http, paths[what], body, on_call_answer, call);
}

void
cw_worker_client_port(struct cw_worker_client *c, struct cw_worker_port *port)
{
    *port = (struct cw_worker_port){c, get_reports, task_call};
}
