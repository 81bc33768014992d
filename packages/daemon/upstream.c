/* Connections to endpoints: each sends one request and streams its response.
 */
#include "cw_list.h"
#include "cw_modules.h"
#include "cw_request.h"
#include "cw_runners.h"

#include <stdlib.h>
#include <string.h>

#define CONNECT_TIMEOUT_MS 1000
/* A response body that makes no progress for this long is abandoned. */
#define BODY_IDLE_TIMEOUT_MS (30 * CW_SECOND)
/* Bytes read of a response after its request was given up. More than these are
 * not worth their transfer: the connection is closed. */
#define DISCARD_MAX_BYTES ((size_t)1024 * 1024)
/* h2o's I/O timeout also runs while reading is paused for backpressure, so it
 * is longer than every timeout enforced here. */
#define H2O_IO_TIMEOUT_MS (CW_HOUR)

enum phase { PHASE_CONNECT, PHASE_HEAD, PHASE_BODY };

struct upstream {
    struct cw_daemon *d;
    struct cw_request *r; /* NULL after it was given up */
    struct cw_runner *e;
    uint32_t slot;
    struct cw_link link;
    h2o_http1client_t *client;
    struct cw_buf head;
    h2o_iovec_t bufs[2];
    enum phase phase;
    cw_ms started_at;
    cw_ms progress_at; /* last progress of the body */
    cw_ms head_ms;     /* time until the response head */
    bool chunked;      /* transfer coding of the response */
    bool paused;
    bool in_body; /* inside on_body */
    h2o_socket_cb read_cb;
    bool given_up; /* there is no request any more */
    enum cw_try_result give_up_reason;
    cw_ms given_up_at;
    size_t discarded; /* bytes of the response since then */
};

struct cw_upstream_ctx {
    h2o_http1client_ctx_t ctx;
    h2o_timeout_t io_timeout;
    struct cw_list all;
};

static void
upstream_free(struct upstream *u)
{
    cw_list_remove(&u->d->upstream->all, &u->link);
    if (u->client != NULL) {
        h2o_http1client_cancel(u->client);
    }
    cw_buf_finish(&u->head);
    free(u);
}

static cw_ms
try_duration(const struct upstream *u)
{
    cw_ms end = u->given_up ? u->given_up_at : cw_daemon_now(u->d);

    return u->phase == PHASE_BODY ? u->head_ms : end - u->started_at;
}

/* Ends the try. Frees u; r may be freed too. */
static void
upstream_end(struct upstream *u, enum cw_try_result t)
{
    struct cw_daemon *d = u->d;
    struct cw_request *r = u->r;
    struct cw_runner *e = u->e;
    uint32_t slot = u->slot;
    cw_ms took = try_duration(u);

    if (u->given_up) {
        t = u->give_up_reason;
    }
    if (r != NULL) {
        cw_request_detach(r);
    }
    upstream_free(u);
    cw_dispatch_try_ended(d, r, e, slot, t, took);
    if (r != NULL && (t == CW_TRY_COMPLETE || t == CW_TRY_TRUNCATED)) {
        cw_request_end_response(r, t == CW_TRY_COMPLETE);
    }
}

/* Closes the connection for sending only, so that the end of the response can
 * still be read. */
static void
close_sending_side(struct upstream *u)
{
    h2o_http1client_t *client = u->client;

    if (h2o_socket_is_writing(client->sock)) {
        /* The write uses memory of the request, which may be freed now. Inside
         * on_body, h2o ends the client when that returns. */
        u->client = NULL;
        if (!u->in_body) {
            h2o_http1client_cancel(client);
        }
        return;
    }
    client->sockpool.pool = NULL; /* so that it is not used again */
    (void)shutdown(h2o_socket_get_fd(client->sock), SHUT_WR);
    if (u->paused) {
        u->paused = false;
        h2o_socket_read_start(client->sock, u->read_cb);
    }
}

/* Ends a request that was sent, but not the try: the endpoint may still be at
 * work on it, so its slot stays in use until the endpoint ends the response or
 * the connection, at most for slot_guard_ms, the time after which the slots of
 * a lapsed daemon are used again too. The endpoint sees the end of what is
 * sent to it and can stop early. */
static void
upstream_give_up(struct upstream *u, enum cw_try_result t)
{
    struct cw_request *r = u->r;

    u->r = NULL;
    u->given_up = true;
    u->give_up_reason = t;
    u->given_up_at = cw_daemon_now(u->d);
    close_sending_side(u);
    if (t == CW_TRY_CALLER_GONE) {
        return;
    }
    cw_request_detach(r);
    if (t == CW_TRY_TIMEOUT) {
        cw_dispatch_timed_out(r);
    }
    else {
        cw_request_end_response(r, false);
    }
}

static void
upstream_cancel(struct cw_request *r)
{
    struct upstream *u = r->exec_ctx;

    u->r = NULL;
    if (u->phase == PHASE_CONNECT) {
        upstream_end(u, CW_TRY_CALLER_GONE);
    }
    else if (!u->in_body) {
        upstream_give_up(u, CW_TRY_CALLER_GONE);
    }
}

static void
upstream_resume(struct cw_request *r)
{
    struct upstream *u = r->exec_ctx;

    if (u->paused && u->client != NULL) {
        u->paused = false;
        u->progress_at = cw_daemon_now(u->d);
        h2o_socket_read_start(u->client->sock, u->read_cb);
    }
}

static const struct cw_exec_ops upstream_ops = {upstream_cancel,
                                                upstream_resume};

/* Passes received bytes on, or drops them after the request was given up. */
static void
consume_body(struct upstream *u, h2o_buffer_t **in)
{
    if (u->given_up) {
        u->discarded += (*in)->size;
        h2o_buffer_consume(in, (*in)->size);
        return;
    }
    u->in_body = true;
    cw_request_send_body(u->r, (*in)->bytes, (*in)->size);
    h2o_buffer_consume(in, (*in)->size);
    if (u->r == NULL) {
        upstream_give_up(u, CW_TRY_CALLER_GONE);
    }
    u->in_body = false;
}

static int
on_body(h2o_http1client_t *client, const char *err)
{
    struct upstream *u = client->data;
    h2o_buffer_t **in = &client->sock->input;

    u->progress_at = cw_daemon_now(u->d);
    if ((*in)->size > 0) {
        consume_body(u, in);
        if (u->client == NULL) {
            return -1;
        }
    }
    if (err != NULL) {
        bool complete = err == h2o_http1client_error_is_eos;

        /* h2o also reports the end of the body when the connection closes
         * between two chunks. The proper end comes with the bytes of the last
         * chunk. */
        if (u->chunked && client->sock->bytes_read == 0) {
            complete = false;
        }
        u->client = NULL;
        upstream_end(u, complete ? CW_TRY_COMPLETE : CW_TRY_TRUNCATED);
        return -1;
    }
    if (u->discarded > DISCARD_MAX_BYTES) {
        u->client = NULL;
        return -1;
    }
    if (u->r != NULL && cw_request_buffered(u->r) >= CW_RESPONSE_PAUSE_BYTES) {
        u->paused = true;
        u->read_cb = client->sock->_cb.read;
        h2o_socket_read_stop(client->sock);
    }
    return 0;
}

static struct cw_str
iovec_str(h2o_iovec_t v)
{
    return (struct cw_str){v.base, v.len};
}

/* Copies the headers of a response. Returns NULL when out of memory. */
static struct cw_header *
copy_headers(const h2o_header_t *headers, size_t count)
{
    struct cw_header *out = calloc(count + 1, sizeof(*out));

    for (size_t i = 0; out != NULL && i < count; i++) {
        out[i].name = iovec_str(*headers[i].name);
        out[i].value = iovec_str(headers[i].value);
    }
    return out;
}

/* Determines how the end of the body is marked. Returns false when only the
 * end of the connection marks it, which looks the same as a truncated body. */
static bool
parse_body_framing(const struct cw_header *headers, size_t count, bool no_body,
                   struct cw_response_head *head)
{
    const struct cw_header *h =
        cw_headers_find(headers, count, CW_LIT("transfer-encoding"));

    if (h != NULL) {
        return cw_str_eq_nocase(h->value, CW_LIT("chunked"));
    }
    h = cw_headers_find(headers, count, CW_LIT("content-length"));
    if (h != NULL) {
        head->has_length = cw_str_to_u64(h->value, &head->length);
        return head->has_length;
    }
    return no_body;
}

static enum cw_try_result
classify_refusal(unsigned status, const struct cw_header *headers,
                 size_t count)
{
    const struct cw_header *h =
        cw_headers_find(headers, count, CW_LIT("cuminwalk-refused"));

    if (status != 503 || h == NULL) {
        return CW_TRY_COMPLETE;
    }
    return cw_str_eq_nocase(h->value, CW_LIT("draining"))
               ? CW_TRY_REFUSED_DRAINING
               : CW_TRY_REFUSED_FULL;
}

static size_t
strip_response_headers(struct cw_header *headers, size_t count)
{
    size_t kept = 0;

    count = cw_headers_strip(headers, count);
    for (size_t i = 0; i < count; i++) {
        /* h2o adds a Date of its own to the response. */
        if (!cw_str_eq_nocase(headers[i].name, CW_LIT("date"))) {
            headers[kept++] = headers[i];
        }
    }
    return kept;
}

static void
begin_body(struct upstream *u, bool chunked)
{
    cw_ms now = cw_daemon_now(u->d);

    u->phase = PHASE_BODY;
    u->chunked = chunked;
    u->head_ms = now - u->started_at;
    u->progress_at = now;
}

static h2o_http1client_body_cb
on_head(h2o_http1client_t *client, const char *err, int minor, int status,
        h2o_iovec_t msg, h2o_header_t *list, size_t count, int rlen)
{
    struct upstream *u = client->data;
    bool eos = err == h2o_http1client_error_is_eos;
    struct cw_response_head head = {0};
    struct cw_header *headers;
    enum cw_try_result refused;

    (void)minor;
    (void)msg;
    (void)rlen;
    if (err != NULL && !eos) {
        u->client = NULL;
        upstream_end(u, CW_TRY_NO_RESPONSE);
        return NULL;
    }
    if (u->given_up) {
        if (!eos) {
            return on_body;
        }
        u->client = NULL;
        upstream_end(u, u->give_up_reason);
        return NULL;
    }
    headers = copy_headers(list, count);
    refused = headers != NULL
                  ? classify_refusal((unsigned)status, headers, count)
                  : CW_TRY_COMPLETE;
    if (refused != CW_TRY_COMPLETE) {
        free(headers);
        u->client = NULL;
        upstream_end(u, refused);
        return NULL;
    }
    if (headers == NULL || status < 200 ||
        !parse_body_framing(headers, count, eos, &head)) {
        cw_log(CW_WARN, "endpoint_framing", "vm=%s status=%d", u->e->vm.text,
               status);
        free(headers);
        u->client = NULL;
        upstream_end(u, CW_TRY_NO_RESPONSE);
        return NULL;
    }
    begin_body(u, !eos && !head.has_length);
    head.status = (unsigned)status;
    head.count = strip_response_headers(headers, count);
    head.headers = headers;
    cw_request_send_head(u->r, &head);
    free(headers);
    if (eos) {
        u->client = NULL;
        upstream_end(u, CW_TRY_COMPLETE);
        return NULL;
    }
    return on_body;
}

static void
write_request_head(struct upstream *u)
{
    struct cw_request *r = u->r;
    struct cw_buf *b = &u->head;
    struct cw_str host =
        r->authority.len > 0 ? r->authority : cw_name_str(&u->e->address);
    cw_ms left = r->deadline - cw_daemon_now(u->d);

    cw_buf_addf(b, "%.*s %.*s HTTP/1.1\r\nhost: %.*s\r\n", CW_FMT(r->method),
                CW_FMT(r->path), CW_FMT(host));
    for (size_t i = 0; i < r->header_count; i++) {
        const struct cw_header *h = &r->headers[i];

        if (cw_str_eq_nocase(h->name, CW_LIT("host")) ||
            cw_str_eq_nocase(h->name, CW_LIT("cuminwalk-deadline-ms"))) {
            continue;
        }
        cw_buf_add_str(b, h->name);
        cw_buf_add(b, ": ", 2);
        cw_buf_add_str(b, h->value);
        cw_buf_add(b, "\r\n", 2);
    }
    if (r->body.len > 0 || cw_str_eq(r->method, CW_LIT("POST")) ||
        cw_str_eq(r->method, CW_LIT("PUT")) ||
        cw_str_eq(r->method, CW_LIT("PATCH"))) {
        cw_buf_addf(b, "content-length: %zu\r\n", r->body.len);
    }
    cw_buf_addf(b,
                "cuminwalk-request-id: %s\r\n"
                "cuminwalk-deadline-ms: %lld\r\n\r\n",
                r->id, (long long)(left > 0 ? left : 1));
}

static h2o_http1client_head_cb
on_connect(h2o_http1client_t *client, const char *err, h2o_iovec_t **bufs,
           size_t *count, int *method_is_head)
{
    struct upstream *u = client->data;
    cw_ms now = cw_daemon_now(u->d);

    if (err == NULL) {
        write_request_head(u);
    }
    /* The last moment before anything is written to the endpoint. */
    if (err != NULL || u->head.failed || !cw_daemon_confirmed(u->d, now) ||
        now >= u->r->deadline) {
        u->client = NULL;
        upstream_end(u, err != NULL ? CW_TRY_CONNECT_FAILED : CW_TRY_NOT_SENT);
        return NULL;
    }
    u->phase = PHASE_HEAD;
    u->r->sent_at = now;
    u->r->maybe_sent = true;
    u->bufs[0] = h2o_iovec_init(u->head.ptr, u->head.len);
    u->bufs[1] = h2o_iovec_init(u->r->body.ptr, u->r->body.len);
    *bufs = u->bufs;
    *count = u->r->body.len > 0 ? 2 : 1;
    *method_is_head = cw_str_eq(u->r->method, CW_LIT("HEAD"));
    return on_head;
}

void
cw_upstream_send(struct cw_request *r, struct cw_runner *e, uint32_t slot)
{
    struct cw_daemon *d = r->d;
    struct upstream *u = calloc(1, sizeof(*u));

    if (u == NULL) {
        cw_dispatch_try_ended(d, r, e, slot, CW_TRY_NOT_SENT, 0);
        return;
    }
    u->d = d;
    u->r = r;
    u->e = e;
    u->slot = slot;
    u->started_at = cw_daemon_now(d);
    cw_buf_init(&u->head);
    cw_list_add(&d->upstream->all, &u->link);
    r->exec = &upstream_ops;
    r->exec_ctx = u;
    /* May call on_connect immediately, which can free u. */
    h2o_http1client_connect_with_pool(&u->client, u, &d->upstream->ctx,
                                      &e->sockets, on_connect);
}

void
cw_upstream_tick(struct cw_daemon *d, cw_ms now)
{
    struct cw_list *all = &d->upstream->all;
    struct upstream *next;

    for (struct upstream *u = CW_LIST_FIRST(all, struct upstream, link);
         u != NULL; u = next) {
        next = CW_LIST_NEXT(all, u, struct upstream, link);
        if (u->given_up) {
            if (now - u->given_up_at < d->settings->slot_guard_ms) {
                continue;
            }
            upstream_end(u, u->give_up_reason);
        }
        else if (u->phase == PHASE_CONNECT &&
                 (now - u->started_at > CONNECT_TIMEOUT_MS ||
                  now >= u->r->deadline)) {
            upstream_end(u, now - u->started_at > CONNECT_TIMEOUT_MS
                                ? CW_TRY_CONNECT_FAILED
                                : CW_TRY_NOT_SENT);
        }
        else if (u->phase == PHASE_HEAD && now >= u->r->deadline) {
            upstream_give_up(u, CW_TRY_TIMEOUT);
        }
        else if (u->phase == PHASE_BODY && !u->paused &&
                 now - u->progress_at > BODY_IDLE_TIMEOUT_MS) {
            upstream_give_up(u, CW_TRY_TRUNCATED);
        }
        else {
            continue;
        }
        /* Ending one try may have started or ended others. */
        next = CW_LIST_FIRST(all, struct upstream, link);
    }
}

size_t
cw_upstream_count(const struct cw_daemon *d)
{
    return d->upstream->all.count;
}

enum cw_status
cw_upstream_init(struct cw_daemon *d)
{
    struct cw_upstream_ctx *c = calloc(1, sizeof(*c));

    if (c == NULL) {
        return CW_ERR_NOMEM;
    }
    h2o_timeout_init(d->loop, &c->io_timeout, H2O_IO_TIMEOUT_MS);
    cw_list_init(&c->all);
    c->ctx.loop = d->loop;
    c->ctx.io_timeout = &c->io_timeout;
    d->upstream = c;
    return CW_OK;
}

void
cw_upstream_finish(struct cw_daemon *d)
{
    if (d->upstream == NULL) {
        return;
    }
    while (d->upstream->all.count > 0) {
        upstream_free(CW_LIST_FIRST(&d->upstream->all, struct upstream, link));
    }
    h2o_timeout_dispose(d->loop, &d->upstream->io_timeout);
    /* The loop must release the timer before its memory is freed. */
    for (int i = 0; i < 10; i++) {
        uv_run(d->loop, UV_RUN_NOWAIT);
    }
    free(d->upstream);
    d->upstream = NULL;
}
