/* A small HTTP server on h2o, shared by the stand-ins. */
#include "http.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* A stand-in doesn't close idle connections by itself, so that every close
 * that a client sees was caused by a test. */
#define IDLE_TIMEOUT_MS (3600 * 1000)

struct http_conn {
    uv_tcp_t tcp; /* has to be first: the handle is freed */
    struct http_server *server;
    struct http_conn *next;
    struct http_conn **link; /* points to the pointer to this connection */
    bool full;               /* accepted above the server's conn_max */
};

struct http_handler {
    h2o_handler_t super;
    struct http_server *server;
};

bool
http_parse_address(const char *text, struct sockaddr_in *addr)
{
    char ip[INET_ADDRSTRLEN];
    const char *colon = text == NULL ? NULL : strrchr(text, ':');
    if (colon == NULL || (size_t)(colon - text) >= sizeof(ip)) {
        return false;
    }
    memcpy(ip, text, (size_t)(colon - text));
    ip[colon - text] = '\0';
    uint64_t port;
    if (!cw_str_to_u64(cw_str_from(colon + 1), &port) || port > 65535) {
        return false;
    }
    return uv_ip4_addr(ip, (int)port, addr) == 0;
}

static int
on_h2o_request(h2o_handler_t *self, h2o_req_t *req)
{
    struct http_handler *h = (struct http_handler *)self;
    h->server->on_request(h->server->arg, req);
    return 0;
}

void
http_server_init(struct http_server *s, uv_loop_t *loop,
                 const struct sockaddr_in *addr,
                 void (*on_request)(void *arg, h2o_req_t *req), void *arg)
{
    memset(s, 0, sizeof(*s));
    s->loop = loop;
    s->addr = *addr;
    s->on_request = on_request;
    s->arg = arg;
    h2o_config_init(&s->conf);
    s->conf.http1.req_timeout = IDLE_TIMEOUT_MS;
    h2o_hostconf_t *host = h2o_config_register_host(
        &s->conf, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    h2o_pathconf_t *path = h2o_config_register_path(host, "/", 0);
    struct http_handler *h =
        (struct http_handler *)h2o_create_handler(path, sizeof(*h));
    h->super.on_req = on_h2o_request;
    h->server = s;
    h2o_context_init(&s->ctx, loop, &s->conf);
    s->accept.ctx = &s->ctx;
    s->accept.hosts = s->conf.hosts;
}

static void
on_conn_closed(uv_handle_t *handle)
{
    struct http_conn *c = (struct http_conn *)handle;
    *c->link = c->next;
    if (c->next != NULL) {
        c->next->link = c->link;
    }
    c->server->conn_count--;
    free(c);
}

static void
free_handle(uv_handle_t *handle)
{
    free(handle);
}

static void
on_connection(uv_stream_t *listener, int status)
{
    struct http_server *s = listener->data;
    if (status != 0) {
        return;
    }
    struct http_conn *c = calloc(1, sizeof(*c));
    if (c == NULL) {
        return;
    }
    uv_tcp_init(s->loop, &c->tcp);
    if (uv_accept(listener, (uv_stream_t *)&c->tcp) != 0 || s->drop_accepts) {
        uv_close((uv_handle_t *)&c->tcp, free_handle);
        return;
    }
    uv_tcp_nodelay(&c->tcp, 1);
    c->server = s;
    c->next = s->conns;
    c->link = &s->conns;
    if (c->next != NULL) {
        c->next->link = &c->next;
    }
    s->conns = c;
    s->conn_count++;
    if (s->conn_count > s->conn_peak) {
        s->conn_peak = s->conn_count;
    }
    c->full = s->conn_max != 0 && s->conn_count > s->conn_max;
    h2o_accept(&s->accept,
               h2o_uv_socket_create((uv_stream_t *)&c->tcp, on_conn_closed));
}

int
http_server_listen(struct http_server *s)
{
    if (s->listener != NULL) {
        return 0;
    }
    uv_tcp_t *l = calloc(1, sizeof(*l));
    if (l == NULL) {
        return UV_ENOMEM;
    }
    uv_tcp_init(s->loop, l);
    l->data = s;
    int rc = uv_tcp_bind(l, (const struct sockaddr *)&s->addr, 0);
    if (rc == 0) {
        rc = uv_listen((uv_stream_t *)l, 512, on_connection);
    }
    if (rc != 0) {
        uv_close((uv_handle_t *)l, free_handle);
        return rc;
    }
    s->listener = l;
    return 0;
}

void
http_server_stop_listening(struct http_server *s)
{
    if (s->listener != NULL) {
        uv_close((uv_handle_t *)s->listener, free_handle);
        s->listener = NULL;
    }
}

static void
disconnect_fd(int fd, bool reset)
{
    if (reset) {
        /* Dissolving the association makes the kernel send a reset at
         * once. */
        struct sockaddr sa = {.sa_family = AF_UNSPEC};
        (void)connect(fd, &sa, sizeof(sa));
    }
    else {
        (void)shutdown(fd, SHUT_RDWR);
    }
}

void
http_server_disconnect_all(struct http_server *s)
{
    for (struct http_conn *c = s->conns; c != NULL; c = c->next) {
        uv_os_fd_t fd;
        if (uv_fileno((const uv_handle_t *)&c->tcp, &fd) == 0) {
            disconnect_fd(fd, false);
        }
    }
}

static int
request_fd(h2o_req_t *req)
{
    h2o_socket_t *sock = req->conn->callbacks->get_socket(req->conn);
    return sock == NULL ? -1 : h2o_socket_get_fd(sock);
}

bool
http_conn_full(struct http_server *s, h2o_req_t *req)
{
    int request_socket = request_fd(req);
    for (struct http_conn *c = s->conns; c != NULL; c = c->next) {
        uv_os_fd_t fd;
        if (uv_fileno((const uv_handle_t *)&c->tcp, &fd) == 0 &&
            fd == request_socket) {
            return c->full;
        }
    }
    return false;
}

void
http_disconnect(h2o_req_t *req, bool reset)
{
    int fd = request_fd(req);
    if (fd >= 0) {
        disconnect_fd(fd, reset);
    }
}

void
http_reply(h2o_req_t *req, int status, const char *type, struct cw_str body)
{
    req->res.status = status;
    req->res.reason = status < 400 ? "OK" : "Error";
    req->res.content_length = body.len;
    h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE, NULL,
                   type, strlen(type));
    h2o_send_inline(req, body.len == 0 ? "" : body.ptr, body.len);
}

void
http_reply_json(h2o_req_t *req, int status, json_t *value)
{
    char *text = json_dumps(value, JSON_COMPACT);
    http_reply(req, status, "application/json", cw_str_from(text));
    free(text);
    json_decref(value);
}

void
http_drop_request(h2o_req_t *req, bool reset)
{
    http_disconnect(req, reset);
    req->http1_is_persistent = 0;
    http_reply(req, 503, "text/plain", CW_LIT("x"));
}

struct cw_str
http_path(const h2o_req_t *req)
{
    size_t n = req->query_at == SIZE_MAX ? req->path.len : req->query_at;
    return (struct cw_str){req->path.base, n};
}

struct cw_str
http_header(const h2o_req_t *req, const char *name)
{
    for (size_t i = 0; i < req->headers.size; i++) {
        const h2o_header_t *h = &req->headers.entries[i];
        struct cw_str n = {h->name->base, h->name->len};
        if (cw_str_eq_nocase(n, cw_str_from(name))) {
            return (struct cw_str){h->value.base, h->value.len};
        }
    }
    return (struct cw_str){NULL, 0};
}

uint64_t
http_header_u64(const h2o_req_t *req, const char *name, uint64_t default_value)
{
    uint64_t v;
    return cw_str_to_u64(http_header(req, name), &v) ? v : default_value;
}

uint64_t
http_query_u64(const h2o_req_t *req, const char *name, uint64_t default_value)
{
    if (req->query_at == SIZE_MAX) {
        return default_value;
    }
    const char *p = req->path.base + req->query_at + 1;
    const char *end = req->path.base + req->path.len;
    size_t n = strlen(name);
    while (p < end) {
        const char *amp = memchr(p, '&', (size_t)(end - p));
        const char *stop = amp == NULL ? end : amp;
        uint64_t v;
        if ((size_t)(stop - p) > n && memcmp(p, name, n) == 0 && p[n] == '=' &&
            cw_str_to_u64(
                (struct cw_str){p + n + 1, (size_t)(stop - p) - n - 1}, &v)) {
            return v;
        }
        p = stop + 1;
    }
    return default_value;
}

json_t *
http_body_json(const h2o_req_t *req)
{
    json_t *v = json_loadb(req->entity.base, req->entity.len, 0, NULL);
    if (v != NULL && !json_is_object(v)) {
        json_decref(v);
        return NULL;
    }
    return v;
}

bool
http_matches(const h2o_req_t *req, const char *method, const char *path)
{
    return cw_str_eq((struct cw_str){req->method.base, req->method.len},
                     cw_str_from(method)) &&
           cw_str_eq(http_path(req), cw_str_from(path));
}

uint64_t
http_json_u64(const json_t *obj, const char *key, uint64_t default_value)
{
    const json_t *v = json_object_get(obj, key);
    return json_is_integer(v) && json_integer_value(v) >= 0
               ? (uint64_t)json_integer_value(v)
               : default_value;
}

void
http_json_name(struct cw_name *n, const json_t *obj, const char *key,
               const char *default_value)
{
    const char *z = json_string_value(json_object_get(obj, key));
    cw_name_set(n, cw_str_from(z == NULL ? default_value : z));
}
