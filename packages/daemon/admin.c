/* Admin listener: health, metrics, members and status. */
#include "cw_http_server.h"
#include "cw_modules.h"
#include "cw_services.h"

#include <stdlib.h>
#include <string.h>

struct cw_admin {
    struct cw_daemon *d;
    struct cw_http_server server;
};

static void
send_response(h2o_req_t *req, int status, const char *type,
              struct cw_buf *body)
{
    static h2o_generator_t generator = {NULL, NULL};
    h2o_iovec_t vec;

    if (body->failed) {
        status = 500;
        cw_buf_clear(body);
    }
    vec =
        h2o_strdup(&req->pool, body->ptr != NULL ? body->ptr : "", body->len);
    req->res.status = status;
    req->res.reason = cw_http_reason_phrase((unsigned)status);
    req->res.content_length = vec.len;
    h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE, NULL,
                   type, strlen(type));
    /* The server's filter replaces the body of responses without this header:
     * they come from h2o, not from a handler. */
    h2o_add_header_by_str(&req->pool, &req->res.headers,
                          H2O_STRLIT("cuminwalk-outcome"), 0, NULL,
                          H2O_STRLIT("run"));
    h2o_start_response(req, &generator);
    h2o_send(req, &vec, vec.len > 0 ? 1 : 0, H2O_SEND_STATE_FINAL);
}

static const char *
not_ready_reason(const struct cw_daemon *d)
{
    if (d->stopping) {
        return "stopping";
    }
    if (!cw_members_joined(d)) {
        return "not a member";
    }
    if (!cw_daemon_confirmed(d, cw_daemon_now(d))) {
        return "membership not confirmed";
    }
    return NULL;
}

static void
print_members(const struct cw_daemon *d, struct cw_buf *b)
{
    cw_ms now = cw_daemon_now(d);

    cw_buf_addf(b, "{\"daemon\":\"%s\",\"applied\":%llu,\"members\":[",
                d->settings->daemon.text,
                (unsigned long long)d->state.applied);
    for (size_t i = 0; i < d->state.member_count; i++) {
        const struct cw_member_entry *m = &d->state.members[i];
        bool self = cw_name_eq(&m->daemon, &d->settings->daemon);
        struct cw_str name = cw_name_str(&m->daemon);

        cw_buf_addf(
            b,
            "%s{\"daemon\":\"%s\",\"incarnation\":%llu,\"dc\":\"%s\","
            "\"applied\":%llu,\"age_ms\":%lld}",
            i > 0 ? "," : "", m->daemon.text,
            (unsigned long long)m->incarnation, m->dc.text,
            (unsigned long long)(self ? d->state.applied
                                      : cw_peers_applied_offset(d, name)),
            (long long)(self ? 0 : cw_peers_heartbeat_age(d, name, now)));
    }
    cw_buf_addf(b, "]}\n");
}

static void
print_services(const struct cw_daemon *d, struct cw_buf *b)
{
    cw_ms now = cw_daemon_now(d);

    for (size_t i = 0; i < cw_dispatch_service_count(d); i++) {
        const struct cw_service *s = d->dispatch->items[i];
        const struct cw_doc_entry *doc =
            cw_state_doc(&d->state, cw_name_str(&s->service));
        struct cw_service_load l;

        cw_dispatch_service_load(d, i, now, &l);
        cw_buf_addf(b,
                    "%s{\"service\":\"%s\",\"pool\":\"%s\",\"version\":%llu,"
                    "\"vms\":%zu,\"held\":%u,\"free\":%u,\"busy\":%u,"
                    "\"waiting\":%u,\"delay_ms\":%u}",
                    i > 0 ? "," : "", s->service.text, s->pool.text,
                    (unsigned long long)(doc != NULL ? doc->version : 0),
                    cw_state_pool_size(&d->state, cw_name_str(&s->pool)),
                    l.held, l.free_slots, l.busy, l.waiting, l.delay_ms);
    }
}

static void
print_runners(const struct cw_daemon *d, struct cw_buf *b)
{
    cw_ms now = cw_daemon_now(d);

    for (size_t i = 0; i < d->runners->count; i++) {
        const struct cw_runner *e = d->runners->items[i];

        cw_buf_addf(b,
                    "%s{\"vm\":\"%s\",\"incarnation\":%llu,\"pool\":\"%s\","
                    "\"dc\":\"%s\",\"ready\":%s,\"leaving\":%s,\"ejected\":%s,"
                    "\"in_flight\":%u,\"op\":\"%s\"}",
                    i > 0 ? "," : "", e->vm.text,
                    (unsigned long long)e->ep.incarnation, e->pool.text,
                    e->dc.text, e->ep.ready ? "true" : "false",
                    e->ep.leaving ? "true" : "false",
                    cw_eject_active(&e->ep.eject, now) ? "true" : "false",
                    e->ep.in_flight, e->op.len > 0 ? e->op.text : "");
    }
}

/* Updates the gauges of control traffic, by its counterpart. Traffic between
 * daemons is counted by the peers module. */
static void
update_traffic_gauges(struct cw_daemon *d)
{
    const struct {
        const char *labels;
        const struct cw_traffic *t;
    } parts[] = {
        {"with=\"log\"", d->log_traffic},
        {"with=\"vm_list\"", d->vmlist_traffic},
        {"with=\"pool_control\"", d->pool_traffic},
        {"with=\"workers\"", d->worker_traffic},
        {"with=\"probes\"", &d->probe_traffic},
    };

    for (size_t i = 0; i < sizeof(parts) / sizeof(parts[0]); i++) {
        const struct cw_traffic *t = parts[i].t;
        double *calls = cw_metrics_gauge(
            &d->metrics, "cuminwalk_control_calls", parts[i].labels);
        double *in = cw_metrics_gauge(
            &d->metrics, "cuminwalk_control_bytes_in", parts[i].labels);
        double *out = cw_metrics_gauge(
            &d->metrics, "cuminwalk_control_bytes_out", parts[i].labels);

        if (t != NULL && calls != NULL && in != NULL && out != NULL) {
            *calls = (double)t->calls;
            *in = (double)t->bytes_in;
            *out = (double)t->bytes_out;
        }
    }
}

static void
print_status(const struct cw_daemon *d, struct cw_buf *b)
{
    cw_ms now = cw_daemon_now(d);
    const char *reason = not_ready_reason(d);

    cw_buf_addf(
        b,
        "{\"daemon\":\"%s\",\"incarnation\":%llu,\"dc\":\"%s\","
        "\"version\":\"" CW_VERSION "\",\"applied\":%llu,"
        "\"digest\":\"%016llx\",\"log_available\":%s,\"log_age_ms\":%lld,"
        "\"confirmed\":%s,\"ready\":%s,\"stopping\":%s,\"in_flight\":%u,"
        "\"services\":[",
        d->settings->daemon.text, (unsigned long long)d->incarnation,
        d->settings->dc.text, (unsigned long long)d->state.applied,
        (unsigned long long)cw_state_digest(&d->state),
        cw_daemon_log_available(d, now) ? "true" : "false",
        (long long)(now - cw_follower_last_read(d)),
        cw_daemon_confirmed(d, now) ? "true" : "false",
        reason == NULL ? "true" : "false", d->stopping ? "true" : "false",
        d->front_in_flight);
    print_services(d, b);
    cw_buf_addf(b, "],\"vms\":[");
    print_runners(d, b);
    cw_buf_addf(b, "]}\n");
}

static void
set_gauge(struct cw_daemon *d, const char *name, double value)
{
    double *g = cw_metrics_gauge(&d->metrics, name, "");

    if (g != NULL) {
        *g = value;
    }
}

static void
print_metrics(struct cw_daemon *d, struct cw_buf *b)
{
    cw_ms now = cw_daemon_now(d);

    set_gauge(d, "cuminwalk_log_applied", (double)d->state.applied);
    set_gauge(d, "cuminwalk_log_age_ms",
              (double)(now - cw_follower_last_read(d)));
    set_gauge(d, "cuminwalk_log_available", cw_daemon_log_available(d, now));
    set_gauge(d, "cuminwalk_confirmed", cw_daemon_confirmed(d, now));
    set_gauge(d, "cuminwalk_members", (double)d->state.member_count);
    set_gauge(d, "cuminwalk_connections",
              (double)cw_front_connection_count(d));
    set_gauge(d, "cuminwalk_requests_in_flight", d->front_in_flight);
    set_gauge(d, "cuminwalk_requests_waiting",
              (double)cw_dispatch_waiting_count(d));
    cw_peers_update_metrics(d);
    update_traffic_gauges(d);
    for (size_t i = 0; i < cw_dispatch_service_count(d); i++) {
        struct cw_service_load l;
        char labels[96];
        double *g;

        cw_dispatch_service_load(d, i, now, &l);
        (void)snprintf(labels, sizeof(labels), "service=\"%s\"",
                       l.service.text);
        g = cw_metrics_gauge(&d->metrics, "cuminwalk_slots_held", labels);
        if (g != NULL) {
            *g = l.held;
        }
        g = cw_metrics_gauge(&d->metrics, "cuminwalk_slots_busy", labels);
        if (g != NULL) {
            *g = l.busy;
        }
        g = cw_metrics_gauge(&d->metrics, "cuminwalk_queue_length", labels);
        if (g != NULL) {
            *g = l.waiting;
        }
    }
    cw_metrics_print(&d->metrics, b);
}

static int
admin_on_req(void *arg, h2o_req_t *req)
{
    static const char json[] = "application/json";
    static const char text[] = "text/plain; charset=utf-8";
    struct cw_daemon *d = ((struct cw_admin *)arg)->d;
    struct cw_str path = {req->path_normalized.base, req->path_normalized.len};
    struct cw_buf b;
    int status = 200;
    const char *type = json;

    cw_buf_init(&b);
    if (!h2o_memis(req->method.base, req->method.len, H2O_STRLIT("GET"))) {
        status = 405;
        cw_buf_add_error(&b, CW_LIT("method"), CW_LIT("use GET"), CW_LIT(""));
    }
    else if (cw_str_eq(path, CW_LIT("/healthz"))) {
        type = text;
        cw_buf_addf(&b, "ok\n");
    }
    else if (cw_str_eq(path, CW_LIT("/readyz"))) {
        const char *reason = not_ready_reason(d);

        type = text;
        status = reason == NULL ? 200 : 503;
        cw_buf_addf(&b, "%s\n", reason == NULL ? "ready" : reason);
    }
    else if (cw_str_eq(path, CW_LIT("/metrics"))) {
        type = text;
        print_metrics(d, &b);
    }
    else if (cw_str_eq(path, CW_LIT("/members"))) {
        print_members(d, &b);
    }
    else if (cw_str_eq(path, CW_LIT("/status"))) {
        print_status(d, &b);
    }
    else {
        status = 404;
        cw_buf_add_error(&b, CW_LIT("not_found"),
                         CW_LIT("use /healthz, /readyz, /metrics, /members or "
                                "/status"),
                         CW_LIT(""));
    }
    send_response(req, status, type, &b);
    cw_buf_finish(&b);
    return 0;
}

enum cw_status
cw_admin_init(struct cw_daemon *d)
{
    struct cw_admin *a = calloc(1, sizeof(*a));

    if (a == NULL) {
        return CW_ERR_NOMEM;
    }
    a->d = d;
    d->admin = a;
    return cw_http_server_init(&a->server, d->loop,
                               cw_name_str(&d->settings->admin_listen),
                               &d->admin_listen, admin_on_req, a, d->msg);
}

void
cw_admin_finish(struct cw_daemon *d)
{
    if (d->admin != NULL) {
        cw_http_server_finish(&d->admin->server);
        free(d->admin);
        d->admin = NULL;
    }
}
