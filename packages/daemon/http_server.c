#include "cw_http_server.h"

#include "cw_modules.h"

#include <stdlib.h>
#include <string.h>

#define LISTEN_BACKLOG 1024
/* Time that a client has to send a request head. */
#define HEADER_TIMEOUT_MS 10000

struct cw_http_conn {
    struct cw_http_server *server;
    struct cw_http_conn *prev;
    struct cw_http_conn *next;
    h2o_socket_t *sock;
};

struct handler {
    h2o_handler_t super;
    struct cw_http_server *server;
};

struct error_stream {
    h2o_ostream_t super;
    h2o_iovec_t body;
};

static int
handle_request(h2o_handler_t *self, h2o_req_t *req)
{
    struct cw_http_server *s = ((struct handler *)self)->server;

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

    if (c->prev != NULL) {
        c->prev->next = c->next;
    }
    else {
        c->server->conns = c->next;
    }
    if (c->next != NULL) {
        c->next->prev = c->prev;
    }
    c->server->conn_count--;
    free(c);
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
    if (uv_accept(listener, (uv_stream_t *)tcp) != 0) {
        free(c);
        uv_close((uv_handle_t *)tcp, on_handle_closed);
        return;
    }
    uv_tcp_nodelay(tcp, 1);
    c->server = s;
    c->sock = h2o_uv_socket_create((uv_stream_t *)tcp, on_handle_closed);
    c->next = s->conns;
    if (c->next != NULL) {
        c->next->prev = c;
    }
    s->conns = c;
    s->conn_count++;
    c->sock->on_close.cb = on_conn_closed;
    c->sock->on_close.data = c;
    h2o_accept(&s->accept, c->sock);
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
    for (struct cw_http_conn *c = s->conns; c != NULL; c = c->next) {
        (void)shutdown(h2o_socket_get_fd(c->sock), SHUT_RDWR);
    }
    for (int i = 0; i < 1000 && s->conn_count > 0; i++) {
        uv_run(s->loop, UV_RUN_ONCE);
    }
    if (s->conn_count == 0) {
        /* A shutdown request leaves h2o's HTTP/2 timer linked for a second;
         * h2o_context_dispose asserts that it is not. */
        h2o_timeout_unlink(&s->ctx.http2._graceful_shutdown_timeout);
        h2o_context_dispose(&s->ctx);
        h2o_config_dispose(&s->conf);
    }
    s->ready = false;
}
