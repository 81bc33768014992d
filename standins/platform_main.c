/* standin-platform: plays the external systems that the daemons call. */
#include "platform.h"

#include <popt.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define TRIM_INTERVAL_MS 200

static void
update_number(const json_t *body, const char *key, cw_ms *out)
{
    *out = (cw_ms)http_json_u64(body, key, (uint64_t)*out);
}

static void
update_failing_workers(struct platform *p, const json_t *body)
{
    const json_t *names = json_object_get(body, "workers_fail");
    if (!json_is_array(names)) {
        return;
    }
    for (size_t i = 0; i < p->workers.count; i++) {
        struct plat_worker *w = &p->workers.items[i];
        w->fails = false;
        for (size_t j = 0; j < json_array_size(names); j++) {
            const char *name = json_string_value(json_array_get(names, j));
            w->fails |= name != NULL && strcmp(name, w->worker.text) == 0;
        }
    }
}

static void
handle_fault(struct platform *p, h2o_req_t *req)
{
    json_t *body = http_body_json(req);
    bool ok =
        body != NULL &&
        plat_fault_set(&p->log.fault, json_object_get(body, "log"), body) &&
        plat_fault_set(&p->vms.list_fault, json_object_get(body, "vmlist"),
                       body) &&
        plat_fault_set(&p->vms.pool_fault, json_object_get(body, "pool"),
                       body) &&
        plat_fault_set(&p->workers.fault, json_object_get(body, "worker"),
                       body);
    if (ok) {
        cw_ms n = (cw_ms)p->log.retention_records;
        update_number(body, "retention_records", &n);
        p->log.retention_records = (uint64_t)n;
        update_number(body, "retention_ms", &p->log.retention_ms);
        update_number(body, "vmlist_lag_ms", &p->vms.lag_ms);
        update_number(body, "reboot_ms", &p->vms.reboot_ms);
        update_number(body, "usage_lag_ms", &p->workers.lag_ms);
        const json_t *ignore = json_object_get(body, "ignore_fences");
        if (json_is_boolean(ignore)) {
            p->vms.ignore_fences = json_is_true(ignore);
        }
        update_failing_workers(p, body);
        plat_log_trim(p);
        plat_log_wake_reads(p);
    }
    json_decref(body);
    http_reply_json(req, ok ? 200 : 400,
                    json_pack("{sb}", "accepted", ok ? 1 : 0));
}

static void
handle_violations(const struct platform *p, h2o_req_t *req)
{
    const struct plat_vms *v = &p->vms;
    const struct plat_workers *w = &p->workers;
    uint64_t total = v->two_pools + v->reboot_in_flight + v->reboot_undrained +
                     w->task_twice;
    http_reply_json(
        req, 200,
        json_pack("{sI,sI,sI,sI,sI,s{sI,sI,sI,sI,sI,sI,sI,sI}}", "total",
                  (json_int_t)total, "two_pools", (json_int_t)v->two_pools,
                  "reboot_in_flight", (json_int_t)v->reboot_in_flight,
                  "reboot_undrained", (json_int_t)v->reboot_undrained,
                  "task_twice", (json_int_t)w->task_twice, "counts", "appends",
                  (json_int_t)p->log.appends, "reboots",
                  (json_int_t)v->reboots, "assigns", (json_int_t)v->assigns,
                  "fenced", (json_int_t)v->fenced + (json_int_t)w->fenced,
                  "starts", (json_int_t)w->starts, "expired",
                  (json_int_t)w->expired, "done", (json_int_t)w->done,
                  "workers", (json_int_t)w->count));
}

static void
on_request(void *arg, h2o_req_t *req)
{
    struct platform *p = arg;
    if (plat_log_handle(p, req) || plat_vms_handle(p, req) ||
        plat_pools_handle(p, req) || plat_workers_handle(p, req)) {
        return;
    }
    if (http_matches(req, "POST", "/fault")) {
        handle_fault(p, req);
    }
    else if (http_matches(req, "GET", "/violations")) {
        handle_violations(p, req);
    }
    else if (http_matches(req, "GET", "/ready")) {
        http_reply(req, 200, "text/plain", CW_LIT("ready\n"));
    }
    else {
        http_reply_json(req, 404, json_pack("{ss}", "error", "path"));
    }
}

static void
on_trim(uv_timer_t *t)
{
    plat_log_trim(t->data);
}

static bool
load_fleet(struct platform *p, const char *file)
{
    json_error_t err;
    json_t *fleet = json_load_file(file, 0, &err);
    if (fleet == NULL) {
        fprintf(stderr, "standin-platform: %s:%d: %s\n", file, err.line,
                err.text);
        return false;
    }
    p->log.retention_ms = 15 * CW_DAY;
    update_number(fleet, "retention_ms", &p->log.retention_ms);
    bool ok = plat_vms_load(p, fleet) && plat_workers_load(p, fleet);
    json_decref(fleet);
    if (!ok) {
        fprintf(stderr, "standin-platform: %s: invalid VM or worker entry\n",
                file);
    }
    return ok;
}

int
main(int argc, const char **argv)
{
    char *listen_text = NULL;
    char *fleet = NULL;
    struct poptOption options[] = {
        {"listen", 0, POPT_ARG_STRING, &listen_text, 0, "address", "ip:port"},
        {"fleet", 0, POPT_ARG_STRING, &fleet, 0, "VMs and workers", "FILE"},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    poptContext popt = poptGetContext(NULL, argc, argv, options, 0);
    int rc = poptGetNextOpt(popt);
    struct sockaddr_in addr;
    if (rc != -1 || fleet == NULL || !http_parse_address(listen_text, &addr)) {
        poptPrintUsage(popt, stderr, 0);
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    cw_logger_setup(CW_INFO, stderr, "platform");
    static struct platform p;
    static struct http_server server;
    p.loop = uv_default_loop();
    p.clock = cw_clock_system();
    if (!load_fleet(&p, fleet)) {
        return 2;
    }
    http_server_init(&server, p.loop, &addr, on_request, &p);
    rc = http_server_listen(&server);
    if (rc != 0) {
        fprintf(stderr, "standin-platform: %s: %s\n", listen_text,
                uv_strerror(rc));
        return 1;
    }
    uv_timer_t trim;
    uv_timer_init(p.loop, &trim);
    trim.data = &p;
    uv_timer_start(&trim, on_trim, TRIM_INTERVAL_MS, TRIM_INTERVAL_MS);
    poptFreeContext(popt);
    return uv_run(p.loop, UV_RUN_DEFAULT);
}
