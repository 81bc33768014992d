/* Forwarding of requests by a peer, the serving side. */
#include "cw_forward.h"

#include "cw_frame.h"

#include <stdlib.h>
#include <string.h>

#define BODY_FRAME_MAX_BYTES ((size_t)16 * 1024)

struct cw_forward_in {
    struct cw_link link;
    struct cw_daemon *d;
    struct cw_peer *p;
    uint64_t stream;
    struct cw_request r;
    Cuminwalk__Envelope *env; /* owns the request's strings */
    struct cw_header *headers;
    uint32_t window;  /* body bytes that the peer still accepts */
    bool send_failed; /* a frame could not be sent */
};

bool
cw_wire_headers_init(struct cw_wire_headers *l,
                     const struct cw_header *headers, size_t count)
{
    size_t bytes = 1;
    char *pos;

    memset(l, 0, sizeof(*l));
    for (size_t i = 0; i < count; i++) {
        bytes += headers[i].name.len + 1;
    }
    l->items = calloc(count + 1, sizeof(*l->items));
    l->ptrs = calloc(count + 1, sizeof(Cuminwalk__Header *));
    l->names = malloc(bytes);
    if (l->items == NULL || l->ptrs == NULL || l->names == NULL) {
        cw_wire_headers_finish(l);
        return false;
    }
    pos = l->names;
    for (size_t i = 0; i < count; i++) {
        Cuminwalk__Header *h = &l->items[i];

        cuminwalk__header__init(h);
        memcpy(pos, headers[i].name.ptr, headers[i].name.len);
        pos[headers[i].name.len] = '\0';
        h->name = pos;
        pos += headers[i].name.len + 1;
        h->value.data = (uint8_t *)headers[i].value.ptr;
        h->value.len = headers[i].value.len;
        l->ptrs[i] = h;
    }
    l->count = count;
    return true;
}

void
cw_wire_headers_finish(struct cw_wire_headers *l)
{
    free(l->items);
    free(l->ptrs);
    free(l->names);
    memset(l, 0, sizeof(*l));
}

static struct cw_forward_in *
in_first(struct cw_daemon *d)
{
    return CW_LIST_FIRST(&d->forward->in, struct cw_forward_in, link);
}

static struct cw_forward_in *
in_next(struct cw_daemon *d, struct cw_forward_in *x)
{
    return CW_LIST_NEXT(&d->forward->in, x, struct cw_forward_in, link);
}

static void
in_free(struct cw_forward_in *x)
{
    cw_list_remove(&x->d->forward->in, &x->link);
    cw_request_finish(&x->r);
    cw_frame_free(x->env);
    free(x->headers);
    free(x);
}

static void
in_send(struct cw_forward_in *x, Cuminwalk__Envelope *env)
{
    if (!x->send_failed && cw_peer_send(x->p, env) != CW_OK) {
        /* Part of the response is missing: its end must not say complete. */
        x->send_failed = true;
    }
}

static void
in_head(struct cw_request *r, const struct cw_response_head *h)
{
    struct cw_forward_in *x = r->source_ctx;
    Cuminwalk__Envelope env = CUMINWALK__ENVELOPE__INIT;
    Cuminwalk__ForwardHead m = CUMINWALK__FORWARD_HEAD__INIT;
    struct cw_wire_headers list;

    if (r->local_reply) {
        return; /* reported by ForwardEnd */
    }
    if (!cw_wire_headers_init(&list, h->headers, h->count)) {
        x->send_failed = true;
        return;
    }
    m.stream = x->stream;
    m.status = h->status;
    m.headers = list.ptrs;
    m.n_headers = list.count;
    m.has_length = h->has_length;
    m.length = h->length;
    env.msg_case = CUMINWALK__ENVELOPE__MSG_FORWARD_HEAD;
    env.forward_head = &m;
    in_send(x, &env);
    cw_wire_headers_finish(&list);
}

/* Sends as much of the buffered body as the window allows. Returns whether
 * nothing is left. */
static bool
send_body(struct cw_forward_in *x)
{
    struct cw_buf *out = &x->r.out;
    size_t pos = 0;

    while (pos < out->len && x->window > 0) {
        Cuminwalk__Envelope env = CUMINWALK__ENVELOPE__INIT;
        Cuminwalk__ForwardBody m = CUMINWALK__FORWARD_BODY__INIT;
        size_t n = out->len - pos;

        n = n < BODY_FRAME_MAX_BYTES ? n : BODY_FRAME_MAX_BYTES;
        n = n < x->window ? n : x->window;
        m.stream = x->stream;
        m.data.data = (uint8_t *)out->ptr + pos;
        m.data.len = n;
        env.msg_case = CUMINWALK__ENVELOPE__MSG_FORWARD_BODY;
        env.forward_body = &m;
        in_send(x, &env);
        pos += n;
        x->window -= (uint32_t)n;
    }
    if (pos > 0) {
        memmove(out->ptr, out->ptr + pos, out->len - pos);
        out->len -= pos;
    }
    return out->len == 0;
}

static void
send_end(struct cw_forward_in *x)
{
    static const Cuminwalk__Outcome outcomes[] = {
        CUMINWALK__OUTCOME__OUTCOME_NOT_RUN,
        CUMINWALK__OUTCOME__OUTCOME_UNKNOWN,
        CUMINWALK__OUTCOME__OUTCOME_RUN,
    };
    Cuminwalk__Envelope env = CUMINWALK__ENVELOPE__INIT;
    Cuminwalk__ForwardEnd m = CUMINWALK__FORWARD_END__INIT;

    m.stream = x->stream;
    m.complete = x->r.complete && !x->r.local_reply && !x->send_failed;
    m.outcome = outcomes[x->r.outcome];
    m.code = (char *)(x->r.code != NULL ? x->r.code : "");
    env.msg_case = CUMINWALK__ENVELOPE__MSG_FORWARD_END;
    env.forward_end = &m;
    (void)cw_peer_send(x->p, &env);
}

static void
in_data(struct cw_request *r)
{
    struct cw_forward_in *x = r->source_ctx;

    if (!r->local_reply && !send_body(x) && !(r->ended && !r->complete)) {
        return;
    }
    if (r->ended) {
        send_end(x);
        in_free(x);
    }
}

static const struct cw_source_ops in_ops = {in_head, in_data};

static void
fill_request(struct cw_forward_in *x, const Cuminwalk__ForwardRequest *m)
{
    struct cw_request *r = &x->r;

    (void)snprintf(r->id, sizeof(r->id), "%s", m->request_id);
    (void)cw_name_set(&r->service, cw_str_from(m->service));
    (void)cw_name_set(&r->caller, cw_str_from(m->caller));
    r->method = cw_str_from(m->method);
    r->path.ptr = (const char *)m->path.data;
    r->path.len = m->path.len;
    r->authority.ptr = (const char *)m->authority.data;
    r->authority.len = m->authority.len;
    r->body.ptr = (const char *)m->body.data;
    r->body.len = m->body.len;
    for (size_t i = 0; i < m->n_headers; i++) {
        x->headers[i].name = cw_str_from(m->headers[i]->name);
        x->headers[i].value.ptr = (const char *)m->headers[i]->value.data;
        x->headers[i].value.len = m->headers[i]->value.len;
    }
    r->headers = x->headers;
    r->header_count = m->n_headers;
    r->deadline = r->arrived_at + (cw_ms)m->deadline_ms;
    r->priority =
        m->priority < CW_PRIORITIES ? (enum cw_priority)m->priority : CW_BATCH;
    r->hops = m->hops > 0 ? m->hops : 1;
    r->key_checked = true; /* by the daemon that the caller is connected to */
}

bool
cw_forward_in_request(struct cw_daemon *d, struct cw_peer *p,
                      Cuminwalk__Envelope *env)
{
    const Cuminwalk__ForwardRequest *m = env->forward_request;
    struct cw_forward_in *x = calloc(1, sizeof(*x));
    struct cw_header *headers =
        calloc(m->n_headers + 1, sizeof(struct cw_header));

    if (x == NULL || headers == NULL) {
        /* Without a ForwardEnd the peer waits until the deadline. */
        free(x);
        free(headers);
        return false;
    }
    x->d = d;
    x->p = p;
    x->stream = m->stream;
    x->env = env;
    x->headers = headers;
    x->window = m->window;
    cw_request_init(&x->r, d);
    fill_request(x, m);
    x->r.source = &in_ops;
    x->r.source_ctx = x;
    cw_list_add(&d->forward->in, &x->link);
    cw_dispatch_request(&x->r);
    return true;
}

static struct cw_forward_in *
in_find(struct cw_daemon *d, const struct cw_peer *p, uint64_t stream)
{
    for (struct cw_forward_in *x = in_first(d); x != NULL; x = in_next(d, x)) {
        if (x->stream == stream && x->p == p) {
            return x;
        }
    }
    return NULL;
}

void
cw_forward_in_window(struct cw_daemon *d, struct cw_peer *p,
                     const Cuminwalk__ForwardWindow *m)
{
    struct cw_forward_in *x = in_find(d, p, m->stream);

    if (x == NULL || m->bytes > CW_WINDOW_UPDATE_MAX_BYTES) {
        return;
    }
    x->window += m->bytes;
    if (x->r.ended) {
        in_data(&x->r);
        return;
    }
    (void)send_body(x);
    cw_request_flushed(&x->r);
}

void
cw_forward_in_cancel(struct cw_daemon *d, struct cw_peer *p, uint64_t stream)
{
    struct cw_forward_in *x = in_find(d, p, stream);

    if (x != NULL) {
        in_free(x);
    }
}

void
cw_forward_in_closed(struct cw_daemon *d, struct cw_peer *p)
{
    struct cw_forward_in *x = in_first(d);

    while (x != NULL) {
        if (p != NULL && x->p != p) {
            x = in_next(d, x);
            continue;
        }
        in_free(x);
        x = in_first(d);
    }
}

size_t
cw_forward_incoming_count(const struct cw_daemon *d)
{
    return d->forward->in.count;
}
