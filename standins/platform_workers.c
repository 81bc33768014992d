/* Worker control: workers that run tasks under leases and report their
 * resource use with a lag. */
#include "platform.h"

#include <stdlib.h>
#include <string.h>

#define TICK_INTERVAL_MS 50
/* A failing worker fails each task after this time. */
#define FAIL_AFTER_MS 100
#define DEFAULT_LEASE_MS 30000

struct plat_fence {
    struct cw_name task;
    uint64_t fence;
    struct plat_fence *next;
};

static cw_ms
current_time(const struct platform *p)
{
    return p->clock.now(p->clock.ctx);
}

static void
mark_dirty(struct platform *p, struct plat_worker *w)
{
    if (w->dirty_at == 0) {
        w->dirty_at = current_time(p);
    }
}

static bool
is_running(const struct plat_task *t)
{
    return strcmp(t->state, "running") == 0;
}

static json_t *
report_tasks(const struct platform *p, const struct plat_worker *w)
{
    json_t *tasks = json_array();
    for (const struct plat_task *t = w->tasks; t != NULL; t = t->next) {
        double use = is_running(t) ? p->workers.use_factor : 0;
        if (t->throttled) {
            use /= 2;
        }
        json_array_append_new(
            tasks, json_pack("{ss,sI,ss,sI,sI}", "task", t->task.text, "fence",
                             (json_int_t)t->fence, "state", t->state,
                             "cpu_milli", (json_int_t)(t->cpu_milli * use),
                             "memory_mb", (json_int_t)(t->memory_mb * use)));
    }
    return tasks;
}

static void
publish_report(struct platform *p, struct plat_worker *w)
{
    json_t *o = json_pack(
        "{ss,ss,ss,sI,sI,sI,so}", "worker", w->worker.text, "rack",
        w->rack.text, "dc", w->dc.text, "cpu_milli", (json_int_t)w->cpu_milli,
        "memory_mb", (json_int_t)w->memory_mb, "accelerators",
        (json_int_t)w->accelerators, "tasks", report_tasks(p, w));
    free(w->report);
    w->report = json_dumps(o, JSON_COMPACT);
    json_decref(o);
    w->version = ++p->workers.version;
    w->dirty_at = 0;
}

static void
remove_task(struct plat_worker *w, struct plat_task **link)
{
    struct plat_task *t = *link;
    (void)w;
    *link = t->next;
    free(t);
}

/* Ends tasks whose run time is over or whose lease has expired. A task whose
 * lease has expired leaves the report, because its worker stopped it. */
static void
tick_worker(struct platform *p, struct plat_worker *w, cw_ms now)
{
    struct plat_task **link = &w->tasks;
    while (*link != NULL) {
        struct plat_task *t = *link;
        if (is_running(t) && now >= t->ends) {
            t->state = w->fails ? "failed" : "done";
            p->workers.done += w->fails ? 0 : 1;
            mark_dirty(p, w);
        }
        else if (is_running(t) && now >= t->lease_until) {
            p->workers.expired++;
            mark_dirty(p, w);
            remove_task(w, link);
            continue;
        }
        link = &t->next;
    }
    if (w->dirty_at != 0 && now - w->dirty_at >= p->workers.lag_ms) {
        publish_report(p, w);
    }
}

static void
on_tick(uv_timer_t *timer)
{
    struct platform *p = timer->data;
    cw_ms now = current_time(p);
    for (size_t i = 0; i < p->workers.count; i++) {
        tick_worker(p, &p->workers.items[i], now);
    }
}

static double
get_factor(const json_t *fleet, const char *key, double default_value)
{
    const json_t *v = json_object_get(fleet, key);
    return json_is_number(v) ? json_number_value(v) : default_value;
}

bool
plat_workers_load(struct platform *p, const json_t *fleet)
{
    const json_t *list = json_object_get(fleet, "workers");
    p->workers.count = json_array_size(list);
    p->workers.items = calloc(p->workers.count + 1, sizeof(*p->workers.items));
    if (p->workers.items == NULL) {
        return false;
    }
    p->workers.lag_ms = (cw_ms)http_json_u64(fleet, "usage_lag_ms", 0);
    p->workers.use_factor = get_factor(fleet, "use_factor", 0.6);
    p->workers.run_factor = get_factor(fleet, "run_factor", 1.0);
    for (size_t i = 0; i < p->workers.count; i++) {
        const json_t *o = json_array_get(list, i);
        struct plat_worker *w = &p->workers.items[i];
        http_json_name(&w->worker, o, "worker", "");
        http_json_name(&w->dc, o, "dc", "dc1");
        http_json_name(&w->rack, o, "rack", "r1");
        w->cpu_milli = (uint32_t)http_json_u64(o, "cpu_milli", 16000);
        w->memory_mb = (uint32_t)http_json_u64(o, "memory_mb", 32768);
        w->accelerators = (uint32_t)http_json_u64(o, "accelerators", 0);
        w->fails = json_is_true(json_object_get(o, "fails"));
        if (!cw_name_valid(cw_name_str(&w->worker))) {
            return false;
        }
        publish_report(p, w);
    }
    uv_timer_init(p->loop, &p->workers.timer);
    p->workers.timer.data = p;
    uv_timer_start(&p->workers.timer, on_tick, TICK_INTERVAL_MS,
                   TICK_INTERVAL_MS);
    return true;
}

static struct plat_task **
find_task(struct plat_worker *w, struct cw_str name)
{
    struct plat_task **link = &w->tasks;
    while (*link != NULL && !cw_str_eq(cw_name_str(&(*link)->task), name)) {
        link = &(*link)->next;
    }
    return link;
}

/* Returns false for a fence below the highest one seen for the task on this
 * worker; records the fence otherwise. */
static bool
check_fence(struct plat_worker *w, struct cw_str task, uint64_t fence)
{
    struct plat_fence *f = w->fences;
    while (f != NULL && !cw_str_eq(cw_name_str(&f->task), task)) {
        f = f->next;
    }
    if (f == NULL) {
        f = calloc(1, sizeof(*f));
        CW_INVARIANT(f != NULL);
        cw_name_set(&f->task, task);
        f->next = w->fences;
        w->fences = f;
    }
    if (fence < f->fence) {
        return false;
    }
    f->fence = fence;
    return true;
}

/* Counts a violation for every other worker that runs the task. */
static void
count_duplicate_runs(struct platform *p, const struct plat_worker *self,
                     struct cw_str task)
{
    for (size_t i = 0; i < p->workers.count; i++) {
        struct plat_worker *w = &p->workers.items[i];
        struct plat_task **t = find_task(w, task);
        if (w != self && *t != NULL && is_running(*t)) {
            p->workers.task_twice++;
            cw_log(CW_ERROR, "violation", "kind=task_twice task=%.*s",
                   CW_FMT(task));
        }
    }
}

static uint32_t
accelerators_used(const struct plat_worker *w)
{
    uint32_t n = 0;
    for (const struct plat_task *t = w->tasks; t != NULL; t = t->next) {
        n += is_running(t) ? t->accelerators : 0;
    }
    return n;
}

static const char *
start_task(struct platform *p, struct plat_worker *w, const json_t *body,
           struct cw_str name, uint64_t fence)
{
    struct plat_task **link = find_task(w, name);
    if (*link != NULL && is_running(*link)) {
        /* A repeat of the same start has no effect; a new attempt on the
         * same worker adopts the running task. */
        (*link)->fence = fence;
        return NULL;
    }
    uint32_t acc = (uint32_t)http_json_u64(body, "accelerators", 0);
    if (accelerators_used(w) + acc > w->accelerators) {
        return "capacity";
    }
    if (*link != NULL) {
        remove_task(w, link);
    }
    struct plat_task *t = calloc(1, sizeof(*t));
    CW_INVARIANT(t != NULL);
    cw_ms now = current_time(p);
    double run = (double)http_json_u64(body, "run_ms", 1000);
    cw_name_set(&t->task, name);
    t->fence = fence;
    t->state = "running";
    t->cpu_milli = (uint32_t)http_json_u64(body, "cpu_milli", 0);
    t->memory_mb = (uint32_t)http_json_u64(body, "memory_mb", 0);
    t->accelerators = acc;
    t->ends = now + (w->fails ? FAIL_AFTER_MS
                              : (cw_ms)(run * p->workers.run_factor));
    t->lease_until =
        now + (cw_ms)http_json_u64(body, "lease_ms", DEFAULT_LEASE_MS);
    t->next = w->tasks;
    w->tasks = t;
    p->workers.starts++;
    count_duplicate_runs(p, w, name);
    return NULL;
}

static void
throttle_task(struct platform *p, struct plat_task *t)
{
    cw_ms now = current_time(p);
    if (!t->throttled && t->ends > now) {
        /* Half the CPU time doubles the remaining run time. */
        t->throttled = true;
        t->ends = now + (t->ends - now) * 2;
    }
}

/* Returns NULL, or the error word of the refusal. */
static const char *
change_task(struct platform *p, struct plat_worker *w, const char *call,
            const json_t *body, struct cw_str name)
{
    struct plat_task **link = find_task(w, name);
    if (*link == NULL) {
        return strcmp(call, "stop") == 0 ? NULL : "task";
    }
    if (strcmp(call, "stop") == 0) {
        remove_task(w, link);
    }
    else if (!is_running(*link)) {
        return "state";
    }
    else if (strcmp(call, "checkpoint") == 0) {
        (*link)->state = "checkpointed";
    }
    else if (strcmp(call, "throttle") == 0) {
        throttle_task(p, *link);
    }
    else {
        (*link)->lease_until =
            current_time(p) +
            (cw_ms)http_json_u64(body, "lease_ms", DEFAULT_LEASE_MS);
    }
    return NULL;
}

/* Renews the leases of all tasks that run on the worker. */
static void
renew_all_leases(struct platform *p, struct plat_worker *w, const json_t *body)
{
    cw_ms until = current_time(p) +
                  (cw_ms)http_json_u64(body, "lease_ms", DEFAULT_LEASE_MS);
    for (struct plat_task *t = w->tasks; t != NULL; t = t->next) {
        if (is_running(t)) {
            t->lease_until = until;
        }
    }
}

static void
handle_call(struct platform *p, h2o_req_t *req, const char *call,
            const json_t *body)
{
    struct cw_str name =
        cw_str_from(json_string_value(json_object_get(body, "worker")));
    struct cw_str task =
        cw_str_from(json_string_value(json_object_get(body, "task")));
    struct plat_worker *w = NULL;
    for (size_t i = 0; i < p->workers.count; i++) {
        if (cw_str_eq(cw_name_str(&p->workers.items[i].worker), name)) {
            w = &p->workers.items[i];
        }
    }
    if (w != NULL && strcmp(call, "renew") == 0 &&
        cw_str_eq(task, CW_LIT("*"))) {
        renew_all_leases(p, w, body);
        plat_reply(p, &p->workers.fault, req, true, 200,
                   json_pack("{ss}", "state", "ok"));
        return;
    }
    if (w == NULL || !cw_name_valid(task)) {
        http_reply_json(req, 400, json_pack("{ss}", "error", "arguments"));
        return;
    }
    uint64_t fence = http_json_u64(body, "fence", 0);
    if (!check_fence(w, task, fence)) {
        p->workers.fenced++;
        http_reply_json(req, 409, json_pack("{ss}", "error", "fence"));
        return;
    }
    const char *refusal = strcmp(call, "start") == 0
                              ? start_task(p, w, body, task, fence)
                              : change_task(p, w, call, body, task);
    if (refusal != NULL) {
        http_reply_json(req, 409, json_pack("{ss}", "error", refusal));
        return;
    }
    mark_dirty(p, w);
    plat_reply(p, &p->workers.fault, req, true, 200,
               json_pack("{ss}", "state", "ok"));
}

static void
handle_reports(struct platform *p, h2o_req_t *req)
{
    uint64_t cells = http_query_u64(req, "cells", 1);
    uint64_t cell = http_query_u64(req, "cell", 0);
    uint64_t since = http_query_u64(req, "since", 0);
    struct cw_buf b;
    cw_buf_init(&b);
    cw_buf_addf(&b, "{\"version\":%llu,\"workers\":[",
                (unsigned long long)p->workers.version);
    bool first = true;
    for (size_t i = 0; i < p->workers.count; i++) {
        const struct plat_worker *w = &p->workers.items[i];
        if (w->version <= since ||
            (cells > 1 && cw_hash(cw_name_str(&w->rack), 0) % cells != cell)) {
            continue;
        }
        cw_buf_addf(&b, "%s%s", first ? "" : ",", w->report);
        first = false;
    }
    cw_buf_add(&b, "]}", 2);
    http_reply(req, 200, "application/json", cw_buf_str(&b));
    cw_buf_finish(&b);
}

bool
plat_workers_handle(struct platform *p, h2o_req_t *req)
{
    static const char *const calls[] = {"start", "checkpoint", "throttle",
                                        "stop", "renew"};
    bool reports = http_matches(req, "GET", "/workers");
    struct cw_str path = http_path(req);
    if (!reports && !cw_str_starts(path, CW_LIT("/worker/"))) {
        return false;
    }
    if (plat_reply_if_down(&p->workers.fault, req)) {
        return true;
    }
    if (reports) {
        handle_reports(p, req);
        return true;
    }
    struct cw_str call_name = {path.ptr + 8, path.len - 8};
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
