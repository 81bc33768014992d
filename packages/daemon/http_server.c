#include "cw_http_server.h"

#include "cw_modules.h"

#include <stdlib.h>
#include <string.h>

#define LISTEN_BACKLOG 1024
/* Time that a client has to send a request head. */
#define HEADER_TIMEOUT_MS 10000

/* Times of connections are checked at this interval. */
#define CHECK_INTERVAL_MS 250
/* Receive buffer of a limited listener's connections: what the kernel holds of
 * a request that is not read. */
#define RECEIVE_BUFFER_BYTES 65536
/* Time between two log lines about closed connections. */
#define EVICTED_LOG_MS 5000

struct cw_http_conn {
    struct cw_http_slot slot; /* first: slots are cast to connections */
    struct cw_http_server *server;
    struct cw_http_conn *watch_prev;
    struct cw_http_conn *watch_next;
    bool watched;
    h2o_socket_t *sock;
    h2o_socket_cb on_read; /* h2o's, called by read_counted */
    size_t head_scanned;
};

struct handler {
    h2o_handler_t super;
    struct cw_http_server *server;
};

struct error_stream {
    h2o_ostream_t super;
    h2o_iovec_t body;
};

static struct cw_http_conn *
conn_of(h2o_req_t *req)
{
    return req->conn->callbacks->get_socket(req->conn)->on_close.data;
}

static cw_ms
server_now(const struct cw_http_server *s)
{
    return (cw_ms)uv_now(s->loop);
}

/* h2o may set its own read callback again without a call from here: on_prepare
 * then puts read_counted back. */
static void
conn_watch(struct cw_http_conn *c)
{
    struct cw_http_server *s = c->server;

    if (c->watched) {
        return;
    }
    c->watched = true;
    c->watch_prev = NULL;
    c->watch_next = s->watched;
    if (s->watched != NULL) {
        s->watched->watch_prev = c;
    }
    s->watched = c;
}

static void
conn_unwatch(struct cw_http_conn *c)
{
    if (!c->watched) {
        return;
    }
    c->watched = false;
    if (c->watch_prev != NULL) {
        c->watch_prev->watch_next = c->watch_next;
    }
    else {
        c->server->watched = c->watch_next;
    }
    if (c->watch_next != NULL) {
        c->watch_next->watch_prev = c->watch_prev;
    }
}

/* The connection's request is complete, or h2o rejects it. */
static void
conn_set_busy(struct cw_http_conn *c, enum cw_http_state state)
{
    if (c->server->prepare != NULL) {
        cw_http_budget_set_state(&c->slot, state, server_now(c->server));
        conn_watch(c);
    }
}

static int
handle_request(h2o_handler_t *self, h2o_req_t *req)
{
    struct cw_http_server *s = ((struct handler *)self)->server;

    conn_set_busy(conn_of(req), CW_HTTP_ANSWERING);
    return s->on_req(s->arg, req);
}

static void
error_stream_send(h2o_ostream_t *self, h2o_req_t *req, h2o_iovec_t *bufs,
                  size_t count, h2o_send_state_t state)
{
    struct error_stream *w = (struct error_stream *)self;

    (void)bufs;
    (void)count;
    if (h2o_send_state_is_in_progress(state)) {
        h2o_ostream_send_next(self, req, NULL, 0, state);
        return;
    }
    h2o_ostream_send_next(self, req, &w->body, w->body.len != 0 ? 1 : 0,
                          state);
}

/* h2o rejects oversized bodies and some malformed requests before the handler
 * runs. They reached no endpoint, so their outcome is "not run". Replaces the
 * body of such a response by the daemon's JSON error. */
static void
on_setup_ostream(h2o_filter_t *self, h2o_req_t *req, h2o_ostream_t **slot)
{
    static const char name[] = "cuminwalk-outcome";
    struct error_stream *w;
    struct cw_buf body;

    (void)self;
    conn_set_busy(conn_of(req), CW_HTTP_WRITING);
    if (h2o_find_header_by_str(&req->res.headers, name, sizeof(name) - 1,
                               -1) == -1) {
        cw_buf_init(&body);
        cw_buf_add_error(&body, CW_LIT("bad_request"),
                         cw_str_from(req->res.reason), CW_LIT(""));
        h2o_add_header_by_str(&req->pool, &req->res.headers, name,
                              sizeof(name) - 1, 0, NULL,
                              H2O_STRLIT("not-run"));
        h2o_set_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
                       H2O_STRLIT("application/json"), 1);
        w = (struct error_stream *)h2o_add_ostream(req, sizeof(*w), slot);
        w->super.do_send = error_stream_send;
        w->body = body.failed ? h2o_iovec_init(NULL, 0)
                              : h2o_strdup(&req->pool, body.ptr, body.len);
        req->res.content_length = w->body.len;
        slot = &w->super.next;
        cw_buf_finish(&body);
    }
    h2o_setup_next_ostream(req, slot);
}

static void
add_filter(h2o_pathconf_t *path)
{
    h2o_filter_t *f = h2o_create_filter(path, sizeof(*f));

    f->on_setup_ostream = on_setup_ostream;
}

static void
on_handle_closed(uv_handle_t *h)
{
    free(h);
}

static void
on_conn_closed(void *data)
{
    struct cw_http_conn *c = data;

    conn_unwatch(c);
    if (c->server->current == c) {
        c->server->current = NULL;
    }
    cw_http_budget_remove(&c->server->budget, &c->slot);
    free(c);
}

static void
log_eviction(struct cw_http_server *s, enum cw_http_reason why)
{
    struct cw_http_budget *b = &s->budget;
    cw_ms now = server_now(s);

    b->closed[why]++;
    if (s->evicted_logged_at != 0 &&
        now - s->evicted_logged_at < EVICTED_LOG_MS) {
        return;
    }
    s->evicted_logged_at = now;
    cw_log(CW_WARN, "connections_limited",
           "reason=%s refused=%llu for_connections=%llu for_bytes=%llu "
           "for_head=%llu for_deadline=%llu open=%zu bytes=%zu",
           cw_http_reason_name(why),
           (unsigned long long)b->closed[CW_HTTP_REFUSED],
           (unsigned long long)b->closed[CW_HTTP_CONNS],
           (unsigned long long)b->closed[CW_HTTP_BYTES],
           (unsigned long long)b->closed[CW_HTTP_HEAD],
           (unsigned long long)b->closed[CW_HTTP_DEADLINE], b->conns,
           b->bytes);
}

static void read_counted(h2o_socket_t *sock, const char *err);

/* Closes a connection by reporting a read error to h2o, which releases its
 * memory at once. h2o has to be left its pending writes: their callbacks use
 * the connection. */
static void
conn_evict(struct cw_http_conn *c, enum cw_http_reason why)
{
    log_eviction(c->server, why);
    if (c->sock->_cb.read == read_counted && !h2o_socket_is_writing(c->sock)) {
        c->on_read(c->sock, h2o_socket_error_closed);
    }
    else {
        cw_http_budget_set_state(&c->slot, CW_HTTP_CLOSING,
                                 server_now(c->server));
        (void)shutdown(h2o_socket_get_fd(c->sock), SHUT_RDWR);
    }
}

/* Looks for the end of the request head in the bytes that are new. */
static void
scan_head(struct cw_http_conn *c)
{
    const h2o_buffer_t *in = c->sock->input;
    size_t from = c->head_scanned > 3 ? c->head_scanned - 3 : 0;

    if (!c->slot.head_done && from < in->size) {
        c->slot.head_done =
            memmem(in->bytes + from, in->size - from, "\r\n\r\n", 4) != NULL;
        c->head_scanned = in->size;
    }
}

/* Accounts for the bytes of an incomplete request. Returns false when the
 * connection was closed. */
static bool
conn_account(struct cw_http_conn *c)
{
    struct cw_http_server *s = c->server;
    cw_ms now = server_now(s);
    enum cw_http_reason why;
    struct cw_http_slot *victim;

    scan_head(c);
    cw_http_budget_received(&s->budget, &c->slot, c->sock->input->size,
                            c->sock->input->capacity, now);
    while ((why = cw_http_budget_check(&s->budget, &c->slot, now, &victim)) !=
           CW_HTTP_KEEP) {
        conn_evict((struct cw_http_conn *)victim, why);
        if (victim == &c->slot) {
            return false;
        }
    }
    return true;
}

/* Stands between the socket and h2o's read callback. */
static void
read_counted(h2o_socket_t *sock, const char *err)
{
    struct cw_http_conn *c = sock->on_close.data;

    struct cw_http_server *s = c->server;

    if (err == NULL && !conn_account(c)) {
        return;
    }
    s->current = c;
    c->on_read(sock, err);
    if (s->current == c &&
        (sock->_cb.read != read_counted || h2o_socket_is_writing(sock))) {
        conn_watch(c);
    }
    s->current = NULL;
}

/* h2o reads again: the next request of a connection, or the rest of one after
 * a 100 (Continue). */
static void
conn_read_again(struct cw_http_conn *c)
{
    h2o_socket_t *sock = c->sock;

    conn_unwatch(c);
    c->on_read = sock->_cb.read;
    sock->_cb.read = read_counted;
    if (c->slot.state == CW_HTTP_READING) {
        (void)conn_account(c);
        return;
    }
    c->head_scanned = 0;
    cw_http_budget_set_state(&c->slot, CW_HTTP_IDLE, server_now(c->server));
    (void)conn_account(c);
}

static void
on_prepare(uv_prepare_t *h)
{
    struct cw_http_server *s = h->data;
    struct cw_http_conn *c = s->watched;

    while (c != NULL) {
        struct cw_http_conn *next = c->watch_next;

        if (c->sock->_cb.read != NULL && c->sock->_cb.read != read_counted) {
            conn_read_again(c);
        }
        c = next;
    }
}

static void
on_check_timer(uv_timer_t *t)
{
    struct cw_http_server *s = t->data;
    struct cw_http_slot *k = s->budget.slots;

    while (k != NULL) {
        struct cw_http_slot *next = k->next;

        if (cw_http_budget_expired(&s->budget, k, server_now(s))) {
            conn_evict((struct cw_http_conn *)k, CW_HTTP_DEADLINE);
        }
        k = next;
    }
}

enum cw_status
cw_http_server_limit(struct cw_http_server *s,
                     const struct cw_http_limits *limits)
{
    int size = RECEIVE_BUFFER_BYTES;
    uv_os_fd_t fd;

    s->prepare = calloc(1, sizeof(*s->prepare));
    s->timer = calloc(1, sizeof(*s->timer));
    if (s->prepare == NULL || s->timer == NULL) {
        free(s->prepare);
        free(s->timer);
        s->prepare = NULL;
        s->timer = NULL;
        return CW_ERR_NOMEM;
    }
    s->budget.limits = *limits;
    s->conf.max_request_entity_size = limits->body_max;
    (void)uv_prepare_init(s->loop, s->prepare);
    (void)uv_timer_init(s->loop, s->timer);
    s->prepare->data = s;
    s->timer->data = s;
    (void)uv_prepare_start(s->prepare, on_prepare);
    (void)uv_timer_start(s->timer, on_check_timer, CHECK_INTERVAL_MS,
                         CHECK_INTERVAL_MS);
    /* Accepted connections inherit it. */
    if (uv_fileno((uv_handle_t *)s->listener, &fd) == 0) {
        (void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    }
    return CW_OK;
}

/* Makes room for a new connection; false when there is none. */
static bool
make_room(struct cw_http_server *s)
{
    struct cw_http_slot *victim;
    enum cw_http_reason why;

    if (s->prepare == NULL) {
        return true;
    }
    why = cw_http_budget_admit(&s->budget, server_now(s), &victim);
    if (why == CW_HTTP_REFUSED) {
        log_eviction(s, why);
    }
    else if (why == CW_HTTP_CONNS) {
        conn_evict((struct cw_http_conn *)victim, why);
    }
    return why != CW_HTTP_REFUSED;
}

static void
conn_start(struct cw_http_server *s, struct cw_http_conn *c, uv_tcp_t *tcp)
{
    uv_tcp_nodelay(tcp, 1);
    c->server = s;
    c->sock = h2o_uv_socket_create((uv_stream_t *)tcp, on_handle_closed);
    cw_http_budget_add(&s->budget, &c->slot, server_now(s));
    c->sock->on_close.cb = on_conn_closed;
    c->sock->on_close.data = c;
    h2o_accept(&s->accept, c->sock);
    if (s->prepare != NULL && c->sock->_cb.read != NULL) {
        c->on_read = c->sock->_cb.read;
        c->sock->_cb.read = read_counted;
    }
}

static void
on_accept(uv_stream_t *listener, int status)
{
    struct cw_http_server *s = listener->data;
    struct cw_http_conn *c;
    uv_tcp_t *tcp;

    if (status != 0) {
        return;
    }
    tcp = calloc(1, sizeof(*tcp));
    c = calloc(1, sizeof(*c));
    if (tcp == NULL || c == NULL || uv_tcp_init(s->loop, tcp) != 0) {
        free(tcp);
        free(c);
        return;
    }
    if (uv_accept(listener, (uv_stream_t *)tcp) != 0 || !make_room(s)) {
        free(c);
        uv_close((uv_handle_t *)tcp, on_handle_closed);
        return;
    }
    conn_start(s, c, tcp);
}

static enum cw_status
server_listen(struct cw_http_server *s, struct cw_str address, char *msg)
{
    struct sockaddr_storage sa;
    socklen_t len;
    int rc;

    if (cw_address_parse(address, &sa, &len) != CW_OK) {
        return cw_fail(msg, CW_ERR_INVALID, "address %.*s is not ip:port",
                       CW_FMT(address));
    }
    s->listener = calloc(1, sizeof(*s->listener));
    if (s->listener == NULL || uv_tcp_init(s->loop, s->listener) != 0) {
        free(s->listener);
        s->listener = NULL;
        return cw_fail(msg, CW_ERR_NOMEM, "out of memory");
    }
    s->listener->data = s;
    rc = uv_tcp_bind(s->listener, (struct sockaddr *)&sa, 0);
    if (rc == 0) {
        rc = uv_listen((uv_stream_t *)s->listener, LISTEN_BACKLOG, on_accept);
    }
    if (rc != 0) {
        uv_close((uv_handle_t *)s->listener, on_handle_closed);
        s->listener = NULL;
        return cw_fail(msg, CW_ERR_IO, "cannot listen on %.*s: %s",
                       CW_FMT(address), uv_strerror(rc));
    }
    return CW_OK;
}

enum cw_status
cw_http_server_init(struct cw_http_server *s, uv_loop_t *loop,
                    struct cw_str address, struct cw_name *bound,
                    int (*on_req)(void *arg, h2o_req_t *req), void *arg,
                    char *msg)
{
    h2o_hostconf_t *host;
    h2o_pathconf_t *path;
    struct handler *h;
    enum cw_status st;

    memset(s, 0, sizeof(*s));
    s->loop = loop;
    s->on_req = on_req;
    s->arg = arg;
    st = server_listen(s, address, msg);
    if (st != CW_OK) {
        return st;
    }
    cw_address_of_socket(s->listener, bound);
    h2o_config_init(&s->conf);
    s->conf.server_name = h2o_iovec_init(NULL, 0);
    s->conf.max_request_entity_size = CW_BODY_MAX_BYTES;
    s->conf.http1.req_timeout = HEADER_TIMEOUT_MS;
    s->conf.http1.upgrade_to_http2 = 0;
    host = h2o_config_register_host(
        &s->conf, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    path = h2o_config_register_path(host, "/", 0);
    h = (struct handler *)h2o_create_handler(path, sizeof(*h));
    h->super.on_req = handle_request;
    h->server = s;
    add_filter(path);
    add_filter(&host->fallback_path);
    h2o_context_init(&s->ctx, loop, &s->conf);
    s->accept.ctx = &s->ctx;
    s->accept.hosts = s->conf.hosts;
    s->ready = true;
    return CW_OK;
}

void
cw_http_server_stop(struct cw_http_server *s)
{
    if (s->listener != NULL) {
        uv_close((uv_handle_t *)s->listener, on_handle_closed);
        s->listener = NULL;
    }
    if (s->ready) {
        h2o_context_request_shutdown(&s->ctx);
    }
}

void
cw_http_server_finish(struct cw_http_server *s)
{
    if (!s->ready) {
        return;
    }
    cw_http_server_stop(s);
    if (s->prepare != NULL) {
        uv_close((uv_handle_t *)s->prepare, on_handle_closed);
        uv_close((uv_handle_t *)s->timer, on_handle_closed);
        s->prepare = NULL;
        s->timer = NULL;
    }
    for (struct cw_http_slot *k = s->budget.slots; k != NULL; k = k->next) {
        struct cw_http_conn *c = (struct cw_http_conn *)k;

        (void)shutdown(h2o_socket_get_fd(c->sock), SHUT_RDWR);
    }
    for (int i = 0; i < 1000 && s->budget.conns > 0; i++) {
        uv_run(s->loop, UV_RUN_ONCE);
    }
    if (s->budget.conns == 0) {
        /* A shutdown request leaves h2o's HTTP/2 timer linked for a second;
         * h2o_context_dispose asserts that it is not. */
        h2o_timeout_unlink(&s->ctx.http2._graceful_shutdown_timeout);
        h2o_context_dispose(&s->ctx);
        h2o_config_dispose(&s->conf);
    }
    s->ready = false;
}
