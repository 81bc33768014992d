/* Forwarding of requests to a peer, the forwarding side. */
#include "cw_forward.h"

#include <stdlib.h>
#include <string.h>

/* The peer enforces the deadline. It gets this much more time to report it. */
#define DEADLINE_SLACK_MS 500
/* A response body that makes no progress for this long is abandoned. */
#define BODY_IDLE_TIMEOUT_MS (30 * CW_SECOND)

struct cw_forward_out {
    struct cw_link link;
    struct cw_daemon *d;
    uint64_t stream;
    struct cw_request *r;
    struct cw_peer *p;
    uint32_t unacked; /* body bytes received without a window update */
    cw_ms progress_at;
};

static struct cw_forward_out *
out_first(struct cw_daemon *d)
{
    return CW_LIST_FIRST(&d->forward->out, struct cw_forward_out, link);
}

static struct cw_forward_out *
out_next(struct cw_daemon *d, struct cw_forward_out *o)
{
    return CW_LIST_NEXT(&d->forward->out, o, struct cw_forward_out, link);
}

static void
out_free(struct cw_forward_out *o)
{
    cw_list_remove(&o->d->forward->out, &o->link);
    free(o);
}

static void
send_cancel(struct cw_forward_out *o)
{
    Cuminwalk__Envelope env = CUMINWALK__ENVELOPE__INIT;
    Cuminwalk__ForwardCancel m = CUMINWALK__FORWARD_CANCEL__INIT;

    m.stream = o->stream;
    env.msg_case = CUMINWALK__ENVELOPE__MSG_FORWARD_CANCEL;
    env.forward_cancel = &m;
    (void)cw_peer_send(o->p, &env);
}

static void
out_cancel(struct cw_request *r)
{
    struct cw_forward_out *o = r->exec_ctx;

    send_cancel(o);
    cw_peer_release_slot(o->p, cw_name_str(&r->service), false);
    out_free(o);
}

/* Grants the peer new window for the bytes received, unless too much of the
 * response is still buffered here. */
static void
send_window_update(struct cw_forward_out *o)
{
    Cuminwalk__Envelope env = CUMINWALK__ENVELOPE__INIT;
    Cuminwalk__ForwardWindow m = CUMINWALK__FORWARD_WINDOW__INIT;

    if (o->unacked == 0 ||
        cw_request_buffered(o->r) >= CW_RESPONSE_PAUSE_BYTES) {
        return;
    }
    m.stream = o->stream;
    m.bytes = o->unacked;
    o->unacked = 0;
    env.msg_case = CUMINWALK__ENVELOPE__MSG_FORWARD_WINDOW;
    env.forward_window = &m;
    (void)cw_peer_send(o->p, &env);
}

static void
out_resume(struct cw_request *r)
{
    struct cw_forward_out *o = r->exec_ctx;

    o->progress_at = cw_daemon_now(o->d);
    send_window_update(o);
}

static const struct cw_exec_ops out_ops = {out_cancel, out_resume};

static enum cw_status
send_request(struct cw_request *r, struct cw_peer *p, uint64_t stream)
{
    Cuminwalk__Envelope env = CUMINWALK__ENVELOPE__INIT;
    Cuminwalk__ForwardRequest m = CUMINWALK__FORWARD_REQUEST__INIT;
    struct cw_wire_headers list;
    char method[32];
    enum cw_status s;

    if (r->method.len >= sizeof(method)) {
        return CW_ERR_LIMIT;
    }
    memcpy(method, r->method.ptr, r->method.len);
    method[r->method.len] = '\0';
    if (!cw_wire_headers_init(&list, r->headers, r->header_count)) {
        return CW_ERR_NOMEM;
    }
    m.stream = stream;
    m.request_id = r->id;
    m.service = r->service.text;
    m.method = method;
    m.path.data = (uint8_t *)r->path.ptr;
    m.path.len = r->path.len;
    m.body.data = (uint8_t *)r->body.ptr;
    m.body.len = r->body.len;
    m.authority.data = (uint8_t *)r->authority.ptr;
    m.authority.len = r->authority.len;
    m.headers = list.ptrs;
    m.n_headers = list.count;
    m.deadline_ms = (uint32_t)(r->deadline - cw_daemon_now(r->d));
    m.hops = r->hops + 1;
    m.priority = (uint32_t)r->priority;
    m.caller = r->caller.text;
    m.window = CW_RESPONSE_PAUSE_BYTES;
    m.key_checked = r->key_checked;
    env.msg_case = CUMINWALK__ENVELOPE__MSG_FORWARD_REQUEST;
    env.forward_request = &m;
    s = cw_peer_send(p, &env);
    cw_wire_headers_finish(&list);
    return s;
}

bool
cw_forward_send(struct cw_request *r, struct cw_peer *p)
{
    struct cw_daemon *d = r->d;
    struct cw_forward_out *o;
    cw_ms now = cw_daemon_now(d);

    if (r->hops > 0 || now >= r->deadline) {
        return false;
    }
    o = calloc(1, sizeof(*o));
    if (o == NULL) {
        return false;
    }
    o->d = d;
    o->stream = ++d->forward->last_stream;
    o->r = r;
    o->p = p;
    o->progress_at = now;
    if (send_request(r, p, o->stream) != CW_OK) {
        free(o);
        return false;
    }
    cw_list_add(&d->forward->out, &o->link);
    r->exec = &out_ops;
    r->exec_ctx = o;
    r->maybe_sent = true;
    cw_peer_reserve_slot(p, cw_name_str(&r->service));
    cw_stats_count_forward(d);
    return true;
}

static struct cw_forward_out *
out_find(struct cw_daemon *d, struct cw_peer *p, uint64_t stream)
{
    for (struct cw_forward_out *o = out_first(d); o != NULL;
         o = out_next(d, o)) {
        if (o->stream == stream && o->p == p) {
            return o;
        }
    }
    return NULL;
}

static void
receive_head(struct cw_forward_out *o, const Cuminwalk__ForwardHead *m)
{
    struct cw_response_head head = {0};
    struct cw_header *headers;

    if (o->r->status != 0 || m->status < 200 || m->status > 599) {
        return;
    }
    headers = calloc(m->n_headers + 1, sizeof(*headers));
    if (headers == NULL) {
        return;
    }
    for (size_t i = 0; i < m->n_headers; i++) {
        headers[i].name = cw_str_from(m->headers[i]->name);
        headers[i].value.ptr = (const char *)m->headers[i]->value.data;
        headers[i].value.len = m->headers[i]->value.len;
    }
    head.status = m->status;
    head.count = m->n_headers;
    head.headers = headers;
    head.has_length = m->has_length;
    head.length = m->length;
    o->progress_at = cw_daemon_now(o->d);
    cw_request_send_head(o->r, &head);
    free(headers);
}

static void
receive_body(struct cw_forward_out *o, const Cuminwalk__ForwardBody *m)
{
    if (o->r->status == 0) {
        return;
    }
    o->progress_at = cw_daemon_now(o->d);
    o->unacked += (uint32_t)m->data.len;
    cw_request_send_body(o->r, m->data.data, m->data.len);
    send_window_update(o);
}

/* Ends the stream without a response, or with a truncated one. */
static void
out_fail(struct cw_forward_out *o, enum cw_outcome outcome, const char *code)
{
    struct cw_request *r = o->r;

    cw_request_detach(r);
    out_free(o);
    if (r->status != 0) {
        cw_request_end_response(r, false);
        return;
    }
    cw_dispatch_forward_failed(r, outcome, code);
}

/* Maps an error code from the peer to a constant, because r->code must outlive
 * the frame. */
static const char *
error_code_constant(const char *code)
{
    static const char *const codes[] = {
        "no_slot",       "endpoint_full",    "endpoint_draining",
        "endpoint_lost", "endpoint_timeout", "connect_failed",
        "deadline",
    };

    for (size_t i = 0; i < sizeof(codes) / sizeof(codes[0]); i++) {
        if (strcmp(code, codes[i]) == 0) {
            return codes[i];
        }
    }
    return "peer_refused";
}

static void
receive_end(struct cw_forward_out *o, const Cuminwalk__ForwardEnd *m)
{
    struct cw_request *r = o->r;

    bool none_free = strcmp(m->code, "no_slot") == 0;
    struct cw_name service = r->service;
    struct cw_daemon *d = o->d;

    cw_peer_release_slot(o->p, cw_name_str(&service), none_free);
    if (m->complete && r->status != 0) {
        cw_request_detach(r);
        out_free(o);
        cw_request_end_response(r, true);
        cw_dispatch_serve_queues(d, cw_name_str(&service));
        return;
    }
    out_fail(o,
             m->outcome == CUMINWALK__OUTCOME__OUTCOME_NOT_RUN
                 ? CW_OUTCOME_NOT_RUN
                 : CW_OUTCOME_UNKNOWN,
             error_code_constant(m->code));
}

bool
cw_forward_receive(struct cw_daemon *d, struct cw_peer *p,
                   Cuminwalk__Envelope *env)
{
    struct cw_forward_out *o;

    switch (env->msg_case) {
    case CUMINWALK__ENVELOPE__MSG_FORWARD_REQUEST:
        return cw_forward_in_request(d, p, env);
    case CUMINWALK__ENVELOPE__MSG_FORWARD_WINDOW:
        cw_forward_in_window(d, p, env->forward_window);
        break;
    case CUMINWALK__ENVELOPE__MSG_FORWARD_CANCEL:
        cw_forward_in_cancel(d, p, env->forward_cancel->stream);
        break;
    case CUMINWALK__ENVELOPE__MSG_FORWARD_HEAD:
        o = out_find(d, p, env->forward_head->stream);
        if (o != NULL) {
            receive_head(o, env->forward_head);
        }
        break;
    case CUMINWALK__ENVELOPE__MSG_FORWARD_BODY:
        o = out_find(d, p, env->forward_body->stream);
        if (o != NULL) {
            receive_body(o, env->forward_body);
        }
        break;
    case CUMINWALK__ENVELOPE__MSG_FORWARD_END:
        o = out_find(d, p, env->forward_end->stream);
        if (o != NULL) {
            receive_end(o, env->forward_end);
        }
        break;
    default:
        break;
    }
    return false;
}

void
cw_forward_peer_closed(struct cw_daemon *d, struct cw_peer *p)
{
    struct cw_forward_out *o;

    if (d->forward == NULL) {
        return;
    }
    o = out_first(d);

    while (o != NULL) {
        if (o->p != p) {
            o = out_next(d, o);
            continue;
        }
        out_fail(o, CW_OUTCOME_UNKNOWN, "peer_lost");
        o = out_first(d);
    }
    cw_forward_in_closed(d, p);
}

void
cw_forward_tick(struct cw_daemon *d, cw_ms now)
{
    struct cw_forward_out *o = out_first(d);

    while (o != NULL) {
        bool body = o->r->status != 0;
        bool late = body ? o->unacked == 0 &&
                               now - o->progress_at > BODY_IDLE_TIMEOUT_MS
                         : now > o->r->deadline + DEADLINE_SLACK_MS;

        if (!late) {
            o = out_next(d, o);
            continue;
        }
        send_cancel(o);
        out_fail(o, CW_OUTCOME_UNKNOWN, "endpoint_timeout");
        o = out_first(d);
    }
}

enum cw_status
cw_forward_init(struct cw_daemon *d)
{
    d->forward = calloc(1, sizeof(*d->forward));
    if (d->forward == NULL) {
        return CW_ERR_NOMEM;
    }
    cw_list_init(&d->forward->out);
    cw_list_init(&d->forward->in);
    return CW_OK;
}

void
cw_forward_finish(struct cw_daemon *d)
{
    struct cw_forward *f = d->forward;

    if (f == NULL) {
        return;
    }
    cw_forward_in_closed(d, NULL);
    while (f->out.count > 0) {
        struct cw_forward_out *o = out_first(d);

        cw_request_detach(o->r);
        out_free(o);
    }
    free(f);
    d->forward = NULL;
}
