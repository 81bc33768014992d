/* Front end for callers: receives requests from h2o and writes their
 * responses. */
#include "cw_http_server.h"
#include "cw_modules.h"

#include <netdb.h>
#include <stdlib.h>
#include <string.h>

/* A caller that reads nothing of its response for this long is disconnected.
 */
#define CALLER_IDLE_TIMEOUT_MS (30 * CW_SECOND)

struct front_req {
    h2o_generator_t gen; /* first, so that a generator can be cast */
    struct cw_request r;
    struct cw_front *front;
    h2o_req_t *req;
    struct front_req *prev;
    struct front_req *next;
    struct cw_buf sending;
    bool write_pending; /* h2o is not ready for more data */
    cw_ms sent_at;
};

struct cw_front {
    struct cw_daemon *d;
    struct cw_http_server server;
    struct front_req *reqs;
    cw_ms last_idle_check;
};

static void
add_header(h2o_req_t *req, struct cw_str name, struct cw_str value)
{
    h2o_iovec_t n = h2o_strdup(&req->pool, name.ptr, name.len);
    h2o_iovec_t v = h2o_strdup(&req->pool, value.ptr, value.len);

    h2o_add_header_by_str(&req->pool, &req->res.headers, n.base, n.len, 0,
                          n.base, v.base, v.len);
}

static void
front_head(struct cw_request *r, const struct cw_response_head *h)
{
    struct front_req *q = r->source_ctx;
    h2o_req_t *req = q->req;

    req->res.status = (int)h->status;
    req->res.reason = cw_http_reason_phrase(h->status);
    req->res.content_length = h->has_length ? (size_t)h->length : SIZE_MAX;
    for (size_t i = 0; i < h->count; i++) {
        add_header(req, h->headers[i].name, h->headers[i].value);
    }
    add_header(req, CW_LIT("cuminwalk-outcome"),
               cw_str_from(cw_outcome_name(r->outcome)));
    add_header(req, CW_LIT("cuminwalk-request-id"), cw_str_from(r->id));
    if (r->no_guarantee) {
        add_header(req, CW_LIT("cuminwalk-guarantee"), CW_LIT("none"));
    }
    if (r->d->stopping) {
        req->http1_is_persistent = 0;
    }
    h2o_start_response(req, &q->gen);
}

/* Ends a truncated response. h2o would write the last chunk of a chunked body,
 * so the connection is shut down before it writes anything more. */
static void
front_truncate(struct front_req *q)
{
    h2o_socket_t *sock = q->req->conn->callbacks->get_socket(q->req->conn);

    q->req->http1_is_persistent = 0;
    (void)shutdown(h2o_socket_get_fd(sock), SHUT_RDWR);
    q->write_pending = true;
    h2o_send(q->req, NULL, 0, H2O_SEND_STATE_ERROR);
}

/* Passes the buffered bytes to h2o. May free q when the response ended. */
static void
front_push(struct front_req *q)
{
    struct cw_request *r = &q->r;
    struct cw_buf empty = q->sending;
    h2o_iovec_t vec;
    bool last;

    if (q->write_pending || (r->out.len == 0 && !r->ended)) {
        return;
    }
    if (r->ended && !r->complete && r->out.len == 0) {
        front_truncate(q);
        return;
    }
    q->sending = r->out;
    cw_buf_clear(&empty);
    r->out = empty;
    r->flushing = q->sending.len;
    last = r->ended && r->complete;
    q->write_pending = true;
    q->sent_at = cw_daemon_now(r->d);
    vec = h2o_iovec_init(q->sending.ptr, q->sending.len);
    h2o_send(q->req, &vec, vec.len != 0 ? 1 : 0,
             last ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

static void
front_data(struct cw_request *r)
{
    front_push(r->source_ctx);
}

static const struct cw_source_ops front_ops = {front_head, front_data};

static void
on_proceed(h2o_generator_t *self, h2o_req_t *req)
{
    struct front_req *q = (struct front_req *)self;

    (void)req;
    q->write_pending = false;
    cw_buf_clear(&q->sending);
    /* An executor that resumes does not deliver data in the same call. */
    cw_request_flushed(&q->r);
    front_push(q);
}

static void
on_stop(h2o_generator_t *self, h2o_req_t *req)
{
    struct front_req *q = (struct front_req *)self;

    (void)req;
    q->write_pending = true; /* nothing more may be sent */
}

static void
on_dispose(void *data)
{
    struct front_req *q = data;

    q->write_pending = true;
    cw_request_finish(&q->r);
    cw_buf_finish(&q->sending);
    if (q->prev != NULL) {
        q->prev->next = q->next;
    }
    else {
        q->front->reqs = q->next;
    }
    if (q->next != NULL) {
        q->next->prev = q->prev;
    }
    q->front->d->front_in_flight--;
}

static struct front_req *
front_req_new(struct cw_front *f, h2o_req_t *req)
{
    struct front_req *q =
        h2o_mem_alloc_shared(&req->pool, sizeof(*q), on_dispose);
    struct cw_daemon *d = f->d;

    memset(q, 0, sizeof(*q));
    cw_request_init(&q->r, d);
    cw_buf_init(&q->sending);
    q->gen.proceed = on_proceed;
    q->gen.stop = on_stop;
    q->front = f;
    q->req = req;
    q->r.source = &front_ops;
    q->r.source_ctx = q;
    q->next = f->reqs;
    if (q->next != NULL) {
        q->next->prev = q;
    }
    f->reqs = q;
    d->front_in_flight++;
    /* Short enough for the cw_name that holds it in key records. */
    (void)snprintf(q->r.id, sizeof(q->r.id), "%.20s-%llu-%llu",
                   d->settings->daemon.text,
                   (unsigned long long)d->incarnation,
                   (unsigned long long)++d->request_seq);
    return q;
}

static struct cw_str
iovec_str(h2o_iovec_t v)
{
    return (struct cw_str){v.base, v.len};
}

static void
set_headers(struct cw_request *r, h2o_req_t *req)
{
    size_t n = req->headers.size;

    r->headers =
        h2o_mem_alloc_pool(&req->pool, (n + 1) * sizeof(struct cw_header));
    for (size_t i = 0; i < n; i++) {
        r->headers[i].name = iovec_str(*req->headers.entries[i].name);
        r->headers[i].value = iovec_str(req->headers.entries[i].value);
    }
    r->header_count = cw_headers_strip(r->headers, n);
}

static void
set_caller(struct cw_request *r, h2o_req_t *req)
{
    const struct cw_header *h = cw_headers_find(r->headers, r->header_count,
                                                CW_LIT("cuminwalk-caller"));
    struct sockaddr_storage sa;
    char host[NI_MAXHOST];
    socklen_t len;
    size_t n;

    if (h != NULL && h->value.len > 0 &&
        cw_name_set(&r->caller, h->value) == CW_OK) {
        return;
    }
    len =
        req->conn->callbacks->get_peername(req->conn, (struct sockaddr *)&sa);
    if (len == 0) {
        return;
    }
    n = h2o_socket_getnumerichost((struct sockaddr *)&sa, len, host);
    if (n != SIZE_MAX) {
        (void)cw_name_set(&r->caller, (struct cw_str){host, n});
    }
}

/* Parses the request headers meant for the daemon. Returns an error message,
 * or NULL. */
static const char *
parse_options(struct cw_request *r)
{
    const struct cw_header *h;
    uint64_t ms;

    h = cw_headers_find(r->headers, r->header_count,
                        CW_LIT("cuminwalk-deadline-ms"));
    r->deadline = 0;
    if (h != NULL) {
        if (!cw_str_to_u64(h->value, &ms) || ms == 0 ||
            ms > (uint64_t)CW_DAY) {
            return "Cuminwalk-Deadline-Ms must be 1 to 86400000";
        }
        r->deadline = r->arrived_at + (cw_ms)ms;
    }
    h = cw_headers_find(r->headers, r->header_count,
                        CW_LIT("cuminwalk-priority"));
    if (h != NULL && !cw_priority_parse(h->value, &r->priority)) {
        return "Cuminwalk-Priority must be urgent, normal or batch";
    }
    h = cw_headers_find(r->headers, r->header_count,
                        CW_LIT("idempotency-key"));
    if (h != NULL) {
        if (h->value.len == 0 || h->value.len > 255) {
            return "Idempotency-Key must be 1 to 255 bytes";
        }
        r->key = h->value;
    }
    return NULL;
}

/* Splits /<service>/<path>; the endpoint gets /<path>. Returns an error
 * message, or NULL. */
static const char *
parse_path(struct cw_request *r, h2o_req_t *req)
{
    struct cw_str p = iovec_str(req->input.path);
    size_t end = 1;
    char *path;

    if (p.len < 2 || p.ptr[0] != '/') {
        return "path must be /<service>/<path>";
    }
    while (end < p.len && p.ptr[end] != '/' && p.ptr[end] != '?') {
        end++;
    }
    if (!cw_name_valid((struct cw_str){p.ptr + 1, end - 1}) ||
        cw_name_set(&r->service, (struct cw_str){p.ptr + 1, end - 1}) !=
            CW_OK) {
        return "path does not begin with the name of a service";
    }
    if (end < p.len && p.ptr[end] == '/') {
        r->path = (struct cw_str){p.ptr + end, p.len - end};
        return NULL;
    }
    path = h2o_mem_alloc_pool(&req->pool, p.len - end + 1);
    path[0] = '/';
    memcpy(path + 1, p.ptr + end, p.len - end);
    r->path = (struct cw_str){path, p.len - end + 1};
    return NULL;
}

/* Rejects requests with framing or a version that h2o accepts and this daemon
 * does not. Returns whether the request was rejected. */
static bool
reject_invalid(struct cw_request *r, h2o_req_t *req)
{
    h2o_socket_t *sock = req->conn->callbacks->get_socket(req->conn);
    struct cw_raw_headers check;

    /* h2o drops framing headers from its list, but keeps the header block as
     * it was received until the request ends. */
    cw_raw_headers_check(
        (struct cw_str){sock->input->bytes, sock->input->size}, &check);
    if (check.length > CW_HEADER_MAX_BYTES) {
        req->http1_is_persistent = 0;
        cw_request_fail(r, 431, CW_OUTCOME_NOT_RUN, "header_too_large",
                        "the header block may have 16384 bytes at most");
        return true;
    }
    if (check.framing_invalid || check.coding_unsupported) {
        req->http1_is_persistent = 0;
        cw_request_fail(r, 400, CW_OUTCOME_NOT_RUN, "bad_framing",
                        "send one Content-Length, or Transfer-Encoding: "
                        "chunked, and no folded header lines");
        return true;
    }
    if (req->version < 0x101) {
        cw_request_fail(r, 505, CW_OUTCOME_NOT_RUN, "http_version",
                        "HTTP/1.1 is required, because a cut answer cannot "
                        "be told from a complete one before it");
        return true;
    }
    return false;
}

static int
front_on_req(void *arg, h2o_req_t *req)
{
    struct cw_front *f = arg;
    struct front_req *q = front_req_new(f, req);
    struct cw_request *r = &q->r;
    const char *error;

    r->method = iovec_str(req->input.method);
    r->authority = iovec_str(req->input.authority);
    if (req->entity.base != NULL) {
        r->body = iovec_str(req->entity);
    }
    if (reject_invalid(r, req)) {
        return 0;
    }
    set_headers(r, req);
    set_caller(r, req);
    error = parse_path(r, req);
    if (error == NULL) {
        error = parse_options(r);
    }
    if (error != NULL) {
        cw_request_fail(r, 400, CW_OUTCOME_NOT_RUN, "bad_request", error);
        return 0;
    }
    cw_dispatch_request(r);
    return 0;
}

enum cw_status
cw_front_init(struct cw_daemon *d)
{
    struct cw_front *f = calloc(1, sizeof(*f));

    if (f == NULL) {
        return CW_ERR_NOMEM;
    }
    f->d = d;
    d->front = f;
    return cw_http_server_init(&f->server, d->loop,
                               cw_name_str(&d->settings->listen), &d->listen,
                               front_on_req, f, d->msg);
}

void
cw_front_finish(struct cw_daemon *d)
{
    if (d->front != NULL) {
        cw_http_server_finish(&d->front->server);
        free(d->front);
        d->front = NULL;
    }
}

void
cw_front_stop(struct cw_daemon *d)
{
    cw_http_server_stop(&d->front->server);
}

size_t
cw_front_connection_count(const struct cw_daemon *d)
{
    return d->front->server.budget.conns;
}

void
cw_front_tick(struct cw_daemon *d, cw_ms now)
{
    struct cw_front *f = d->front;

    if (now - f->last_idle_check < CW_SECOND) {
        return;
    }
    f->last_idle_check = now;
    for (struct front_req *q = f->reqs; q != NULL; q = q->next) {
        if (q->write_pending && q->sent_at != 0 &&
            now - q->sent_at > CALLER_IDLE_TIMEOUT_MS) {
            h2o_socket_t *sock =
                q->req->conn->callbacks->get_socket(q->req->conn);

            /* The write then fails in h2o, which disposes of the request. */
            q->sent_at = 0;
            (void)shutdown(h2o_socket_get_fd(sock), SHUT_RDWR);
        }
    }
}
