/* Callers' connections, the readiness probe and the metrics page. */
#include "cw_auth.h"
#include "cw_jobd.h"

#include <stdlib.h>
#include <string.h>

/* Timeout of a call that has no timeout header. */
#define TIMEOUT_DEFAULT_MS 3000
#define TIMEOUT_MAX_MS 60000

struct front_call;

/* Allocated in the request's pool, so that its destructor runs when h2o frees
 * the request. */
struct req_hook {
    struct front_call *f;
};

struct front_call {
    struct cw_call call;
    struct cw_jobd *d;
    h2o_req_t *req; /* NULL: the request was freed */
    struct req_hook *hook;
};

static const char *const kind_names[] = {"submit", "status", "cancel",
                                         "waiting", "bad"};
static const char *const result_names[] = {
    "ok",        "not_run",   "unknown", "gone", "not_scheduler",
    "forbidden", "overloaded"};

static void
on_req_dropped(void *p)
{
    struct req_hook *h = p;

    if (h->f != NULL) {
        h->f->req = NULL;
    }
}

static void
respond(struct cw_jobd *d, h2o_req_t *req, int status, const char *outcome,
        cw_ms retry_after, struct cw_str body, const char *type)
{
    h2o_iovec_t copy = h2o_strdup(&req->pool, body.ptr, body.len);

    req->res.status = status;
    req->res.reason = cw_http_reason_phrase((unsigned)status);
    req->res.content_length = body.len;
    h2o_add_header_by_str(&req->pool, &req->res.headers,
                          H2O_STRLIT("cuminwalk-outcome"), 0, NULL, outcome,
                          strlen(outcome));
    h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE, NULL,
                   type, strlen(type));
    if (retry_after > 0) {
        /* The header has whole seconds. */
        char text[24];
        int n = snprintf(text, sizeof(text), "%lld",
                         (long long)((retry_after + 999) / 1000));
        h2o_iovec_t v = h2o_strdup(&req->pool, text, (size_t)n);

        h2o_add_header_by_str(&req->pool, &req->res.headers,
                              H2O_STRLIT("retry-after"), 0, NULL, v.base,
                              v.len);
    }
    if (d->stopping) {
        req->http1_is_persistent = 0;
    }
    h2o_send_inline(req, copy.base, copy.len);
}

static int
http_status(const struct cw_call *c)
{
    switch (c->result) {
    case CW_RESULT_OK:
        return 200;
    case CW_RESULT_GONE:
        return 410;
    case CW_RESULT_UNKNOWN:
        return c->kind == CW_CALL_SUBMIT || c->kind == CW_CALL_CANCEL ? 504
                                                                      : 503;
    case CW_RESULT_FORBIDDEN:
        return 403;
    case CW_RESULT_OVERLOADED:
        return 429;
    case CW_RESULT_NOT_RUN:
    case CW_RESULT_NOT_SCHEDULER:
        break;
    }
    return 503;
}

static void
on_call_done(struct cw_call *c)
{
    struct front_call *f = c->arg;
    struct cw_jobd *d = f->d;
    int status = http_status(c);
    cw_ms now = cw_jobd_now(d);
    struct cw_buf body;

    d->front_calls_open--;
    cw_jobd_count(d, "cuminwalk_calls_total", result_names[c->result]);
    cw_jobd_record_ms(d, "cuminwalk_call_ms", kind_names[c->kind],
                      now - c->arrived);
    if (c->kind == CW_CALL_SUBMIT || c->kind == CW_CALL_CANCEL ||
        c->result != CW_RESULT_OK) {
        cw_log(CW_INFO, "call",
               "job=%016llx kind=%s queue=%s tenant=%s status=%d result=%s "
               "reason=%s ms=%lld config=%llu scheduler=%s",
               (unsigned long long)c->id, kind_names[c->kind], c->queue.text,
               c->tenant.len > 0 ? c->tenant.text : "-", status,
               result_names[c->result],
               c->reason == NULL || c->reason[0] == '\0' ? "-" : c->reason,
               (long long)(now - c->arrived),
               (unsigned long long)d->config.version, d->scheduler.text);
    }
    if (f->req != NULL) {
        f->hook->f = NULL;
        cw_buf_init(&body);
        if (c->result == CW_RESULT_OK && c->kind == CW_CALL_STATUS) {
            d->ports.caller.write_state_body(&body, c->state,
                                             cw_str_from(c->reason));
        }
        else if (c->result == CW_RESULT_OK && c->kind == CW_CALL_WAITING) {
            d->ports.caller.write_waiting_body(&body, c->waiting);
        }
        else {
            cw_buf_addf(&body, "{}");
        }
        respond(d, f->req, status,
                c->result == CW_RESULT_NOT_RUN ||
                        c->result == CW_RESULT_OVERLOADED
                    ? "not-run"
                    : "done",
                status == 503 || status == 429 ? c->retry_after_ms : 0,
                cw_buf_str(&body), "application/json");
        cw_buf_finish(&body);
    }
    free(f);
}

/* The value of a header, empty when there is none. */
static struct cw_str
find_header(h2o_req_t *req, struct cw_str name)
{
    ssize_t i = h2o_find_header_by_str(&req->headers, name.ptr, name.len, -1);
    const h2o_iovec_t *v = i < 0 ? NULL : &req->headers.entries[i].value;

    return v == NULL ? (struct cw_str){NULL, 0}
                     : (struct cw_str){v->base, v->len};
}

static cw_ms
parse_timeout(const struct cw_jobd *d, h2o_req_t *req)
{
    uint64_t ms;

    if (!cw_str_to_u64(find_header(req, d->ports.caller.timeout_header),
                       &ms) ||
        ms == 0) {
        return TIMEOUT_DEFAULT_MS;
    }
    return ms > TIMEOUT_MAX_MS ? TIMEOUT_MAX_MS : (cw_ms)ms;
}

/* The path of a request without its query, in which a caller may have put its
 * key. */
static struct cw_str
path_of(const h2o_req_t *req)
{
    struct cw_str path = {req->input.path.base, req->input.path.len};
    const char *query = memchr(path.ptr, '?', path.len);

    if (query != NULL) {
        path.len = (size_t)(query - path.ptr);
    }
    return path;
}

static void
reject_request(struct cw_jobd *d, h2o_req_t *req, int status, const char *why,
               cw_ms retry_after)
{
    struct cw_str path = path_of(req);

    cw_jobd_count(d, "cuminwalk_rejected_total", why);
    cw_log(CW_INFO, "call_rejected",
           "path=%.*s status=%d reason=%s config=%llu",
           (int)(path.len > 120 ? 120 : path.len), path.ptr, status, why,
           (unsigned long long)d->config.version);
    respond(d, req, status, status == 504 ? "done" : "not-run", retry_after,
            CW_LIT("{}"), "application/json");
}

/* Answer to a request that becomes no call; status 0: it becomes one. */
struct rejection {
    int status;
    const char *why;
    cw_ms retry_after;
};

/* Checks the key of a call and sets the call's tenant. */
static struct rejection
authorize(struct cw_jobd *d, h2o_req_t *req, const struct cw_route_entry *r,
          struct cw_call *c)
{
    struct cw_str key = d->ports.caller.parse_key(
        find_header(req, d->ports.caller.key_header));
    struct cw_auth_query q = {
        .needs_keys = d->config.needs_keys,
        .is_public = r->is_public,
        .has_key = key.len > 0,
        .tenant = cw_fleet_config_find_tenant(&d->config, key),
        .strict = d->settings.strict_revoke,
        .revoke_ms = d->settings.revoke_ms,
        /* The request has arrived in full, so that it was sent before. */
        .proof_age = cw_proof_age(d, c->arrived)};
    struct cw_auth_decision a = cw_auth_decide(&q);

    if (a.tenant != NULL) {
        c->tenant = a.tenant->name;
    }
    if (a.result == CW_AUTH_STALE) {
        cw_proof_refused(d, c->arrived);
        if (c->kind == CW_CALL_SUBMIT && cw_calls_job_known(d, c->id)) {
            /* An append may have it, so that "not run" would be false. */
            return (struct rejection){504, a.reason, 0};
        }
    }
    return (struct rejection){a.status, a.reason, a.retry_after_ms};
}

/* Fills the call from the request. */
static struct rejection
parse_call(struct cw_jobd *d, h2o_req_t *req, struct cw_call *c)
{
    struct cw_str host = {req->input.authority.base, req->input.authority.len};
    struct cw_str path = path_of(req);
    struct cw_str method = {req->input.method.base, req->input.method.len};
    struct cw_str body = {req->entity.base, req->entity.len};
    struct cw_str rest;
    const struct cw_route_entry *r;
    char msg[CW_MSG_MAX];
    struct rejection no;

    if (d->config.version == 0) {
        return (struct rejection){503, "no_config", CW_SECOND};
    }
    r = cw_fleet_config_find_route(&d->config, host, path, &rest);
    if (r == NULL) {
        return (struct rejection){404, "no_queue", 0};
    }
    c->kind = d->ports.caller.classify(method, rest, &c->id);
    c->queue = r->rules.queue;
    no = authorize(d, req, r, c);
    if (no.status > 0) {
        return no;
    }
    if (c->kind == CW_CALL_INVALID) {
        return (struct rejection){404, "bad_call", 0};
    }
    if (c->kind == CW_CALL_SUBMIT) {
        if (d->ports.caller.decode_submission(body, &c->spec, msg) != CW_OK) {
            cw_log(CW_WARN, "body_invalid", "job=%016llx reason=\"%s\"",
                   (unsigned long long)c->id, msg);
            return (struct rejection){400, "bad_body", 0};
        }
        c->spec.id = c->id;
        c->spec.rules = r->rules;
        c->spec.rules.tenant = c->tenant;
    }
    return no;
}

static int
on_caller_request(void *arg, h2o_req_t *req)
{
    struct cw_jobd *d = arg;
    struct front_call *f = calloc(1, sizeof(*f));
    struct rejection no;

    if (f == NULL) {
        reject_request(d, req, 503, "no_memory", CW_SECOND);
        return 0;
    }
    f->call.arrived = cw_jobd_now(d);
    no = parse_call(d, req, &f->call);
    if (no.status > 0) {
        free(f);
        reject_request(d, req, no.status, no.why, no.retry_after);
        return 0;
    }
    f->d = d;
    f->req = req;
    f->hook =
        h2o_mem_alloc_shared(&req->pool, sizeof(*f->hook), on_req_dropped);
    f->hook->f = f;
    f->call.deadline = f->call.arrived + parse_timeout(d, req);
    f->call.done = on_call_done;
    f->call.arg = f;
    d->front_calls_open++;
    cw_calls_dispatch(d, &f->call);
    return 0;
}

bool
cw_jobd_is_ready(const struct cw_jobd *d)
{
    cw_ms now = cw_jobd_now(d);

    return !d->stopping && d->config.version > 0 && d->scheduler.len > 0 &&
           cw_calls_served_lately(d, now) && !cw_proof_stale(d, now);
}

static int
on_ready(void *arg, h2o_req_t *req)
{
    struct cw_jobd *d = arg;
    bool ready = cw_jobd_is_ready(d);

    if (ready != d->was_ready) {
        cw_log(CW_INFO, "readiness", "ready=%d config=%llu scheduler=%s",
               ready, (unsigned long long)d->config.version,
               d->scheduler.text);
        d->was_ready = ready;
    }
    respond(d, req, ready ? 200 : 503, "done", 0,
            ready ? CW_LIT("{\"ready\":true}") : CW_LIT("{\"ready\":false}"),
            "application/json");
    return 0;
}

static int
on_metrics(void *arg, h2o_req_t *req)
{
    struct cw_jobd *d = arg;
    struct cw_buf out;
    double *age = cw_metrics_gauge(&d->metrics, "cuminwalk_config_age_ms", "");

    if (age != NULL) {
        *age = (double)cw_proof_age(d, cw_jobd_now(d));
    }
    cw_buf_init(&out);
    cw_metrics_print(&d->metrics, &out);
    respond(d, req, 200, "done", 0, cw_buf_str(&out),
            "text/plain; version=0.0.4");
    cw_buf_finish(&out);
    return 0;
}

enum cw_status
cw_jobd_front_init(struct cw_jobd *d)
{
    enum cw_status s;

    s = cw_http_server_init(&d->ready, d->loop,
                            cw_name_str(&d->settings.ready_listen), &d->bound,
                            on_ready, d, d->msg);
    if (s == CW_OK && d->settings.metrics_listen.len > 0) {
        s = cw_http_server_init(&d->metrics_server, d->loop,
                                cw_name_str(&d->settings.metrics_listen),
                                &d->bound, on_metrics, d, d->msg);
    }
    if (s == CW_OK) {
        s = cw_http_server_init(&d->front, d->loop,
                                cw_name_str(&d->settings.listen), &d->bound,
                                on_caller_request, d, d->msg);
    }
    return s;
}
