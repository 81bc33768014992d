/* Framed TCP connections between daemons, over libuv. */
#include "cw_peer_net.h"

#include <stdlib.h>
#include <string.h>

/* Bytes that may be queued for writing on one connection: a few requests with
 * the largest body. */
#define WRITE_QUEUE_MAX_BYTES ((size_t)8 * 1024 * 1024)
#define LISTEN_BACKLOG 64

struct cw_peer_conn {
    uv_tcp_t tcp; /* first: callbacks cast the handle to the connection */
    uv_connect_t connect;
    struct cw_peer_net *net;
    struct cw_peer_conn *prev;
    struct cw_peer_conn *next;
    struct cw_frame_reader reader;
    bool open;
    bool closing;
    void *data;
};

struct write_req {
    uv_write_t req;
    struct cw_buf buf;
};

static void
conn_unlink(struct cw_peer_conn *c)
{
    if (c->prev != NULL) {
        c->prev->next = c->next;
    }
    else {
        c->net->conns = c->next;
    }
    if (c->next != NULL) {
        c->next->prev = c->prev;
    }
}

static void
on_conn_closed(uv_handle_t *h)
{
    struct cw_peer_conn *c = (struct cw_peer_conn *)h;

    cw_frame_reader_finish(&c->reader);
    free(c);
}

static void
conn_drop(struct cw_peer_conn *c, bool notify)
{
    if (c->closing) {
        return;
    }
    c->closing = true;
    c->open = false;
    conn_unlink(c);
    if (notify) {
        c->net->ops->closed(c->net->ctx, c);
    }
    uv_close((uv_handle_t *)&c->tcp, on_conn_closed);
}

void
cw_peer_conn_close(struct cw_peer_conn *c)
{
    conn_drop(c, true);
}

static struct cw_peer_conn *
conn_new(struct cw_peer_net *n, void *data)
{
    struct cw_peer_conn *c = calloc(1, sizeof(*c));

    if (c == NULL) {
        return NULL;
    }
    c->net = n;
    c->data = data;
    cw_frame_reader_init(&c->reader);
    if (uv_tcp_init(n->loop, &c->tcp) != 0) {
        free(c);
        return NULL;
    }
    c->next = n->conns;
    if (c->next != NULL) {
        c->next->prev = c;
    }
    n->conns = c;
    return c;
}

static void
on_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
    struct cw_peer_conn *c = (struct cw_peer_conn *)h;

    (void)suggested;
    /* Each read is copied to the connection's frames before the next one. */
    buf->base = c->net->read_buf;
    buf->len = sizeof(c->net->read_buf);
}

static void
conn_dispatch_frames(struct cw_peer_conn *c)
{
    Cuminwalk__Envelope *env;
    enum cw_status s;

    while (!c->closing &&
           (s = cw_frame_next(&c->reader, &env)) != CW_ERR_NOT_FOUND) {
        if (s != CW_OK) {
            cw_log(CW_WARN, "bad_frame", "reason=\"%s\"", c->reader.msg);
            conn_drop(c, true);
            return;
        }
        if (!c->net->ops->frame(c->net->ctx, c, env)) {
            cw_frame_free(env);
        }
    }
}

static void
on_read(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
    struct cw_peer_conn *c = (struct cw_peer_conn *)s;

    if (n < 0) {
        conn_drop(c, true);
        return;
    }
    c->net->bytes_in += (uint64_t)n;
    cw_frame_reader_add(&c->reader, buf->base, (size_t)n);
    conn_dispatch_frames(c);
}

static void
conn_start_reading(struct cw_peer_conn *c, bool incoming)
{
    c->open = true;
    uv_tcp_nodelay(&c->tcp, 1);
    if (uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read) != 0) {
        conn_drop(c, true);
        return;
    }
    c->net->ops->opened(c->net->ctx, c, incoming);
}

static void
on_connect(uv_connect_t *req, int status)
{
    struct cw_peer_conn *c = req->data;

    if (c->closing) {
        return;
    }
    if (status != 0) {
        conn_drop(c, true);
        return;
    }
    conn_start_reading(c, false);
}

struct cw_peer_conn *
cw_peer_net_connect(struct cw_peer_net *n, const struct sockaddr *to,
                    void *data)
{
    struct cw_peer_conn *c = conn_new(n, data);

    if (c == NULL) {
        return NULL;
    }
    c->connect.data = c;
    if (uv_tcp_connect(&c->connect, &c->tcp, to, on_connect) != 0) {
        conn_drop(c, false);
        return NULL;
    }
    return c;
}

static void
on_incoming(uv_stream_t *listener, int status)
{
    struct cw_peer_net *n = listener->data;
    struct cw_peer_conn *c;

    if (status != 0 || (c = conn_new(n, NULL)) == NULL) {
        return;
    }
    if (uv_accept(listener, (uv_stream_t *)&c->tcp) != 0) {
        conn_drop(c, false);
        return;
    }
    conn_start_reading(c, true);
}

static void
on_written(uv_write_t *req, int status)
{
    struct write_req *w = (struct write_req *)req;

    /* A failed write also ends reading; on_read then closes the connection. */
    (void)status;
    cw_buf_finish(&w->buf);
    free(w);
}

enum cw_status
cw_peer_conn_send(struct cw_peer_conn *c, Cuminwalk__Envelope *env)
{
    struct write_req *w;
    uv_buf_t buf;
    enum cw_status s;

    if (!c->open) {
        return CW_ERR_UNAVAILABLE;
    }
    if (uv_stream_get_write_queue_size((uv_stream_t *)&c->tcp) >
        WRITE_QUEUE_MAX_BYTES) {
        return CW_ERR_LIMIT;
    }
    w = calloc(1, sizeof(*w));
    if (w == NULL) {
        return CW_ERR_NOMEM;
    }
    cw_buf_init(&w->buf);
    s = cw_frame_write(env, &w->buf);
    if (s == CW_OK) {
        buf = uv_buf_init(w->buf.ptr, (unsigned)w->buf.len);
        if (uv_write(&w->req, (uv_stream_t *)&c->tcp, &buf, 1, on_written) ==
            0) {
            c->net->bytes_out += w->buf.len;
            return CW_OK;
        }
        s = CW_ERR_UNAVAILABLE;
    }
    cw_buf_finish(&w->buf);
    free(w);
    return s;
}

void *
cw_peer_conn_data(const struct cw_peer_conn *c)
{
    return c->data;
}

void
cw_peer_conn_set_data(struct cw_peer_conn *c, void *data)
{
    c->data = data;
}

static void
on_listener_closed(uv_handle_t *h)
{
    free(h);
}

enum cw_status
cw_peer_net_init(struct cw_peer_net *n, uv_loop_t *loop,
                 const struct sockaddr *listen,
                 const struct cw_peer_net_ops *ops, void *ctx)
{
    memset(n, 0, sizeof(*n));
    n->loop = loop;
    n->ops = ops;
    n->ctx = ctx;
    n->listener = calloc(1, sizeof(*n->listener));
    if (n->listener == NULL) {
        return CW_ERR_NOMEM;
    }
    if (uv_tcp_init(loop, n->listener) != 0) {
        free(n->listener);
        n->listener = NULL;
        return CW_ERR_IO;
    }
    n->listener->data = n;
    if (uv_tcp_bind(n->listener, listen, 0) != 0 ||
        uv_listen((uv_stream_t *)n->listener, LISTEN_BACKLOG, on_incoming) !=
            0) {
        uv_close((uv_handle_t *)n->listener, on_listener_closed);
        n->listener = NULL;
        return CW_ERR_IO;
    }
    return CW_OK;
}

void
cw_peer_net_finish(struct cw_peer_net *n)
{
    while (n->conns != NULL) {
        conn_drop(n->conns, false);
    }
    if (n->listener != NULL) {
        uv_close((uv_handle_t *)n->listener, on_listener_closed);
        n->listener = NULL;
    }
}

void
cw_peer_net_broadcast(struct cw_peer_net *n, Cuminwalk__Envelope *env)
{
    struct cw_peer_conn *c = n->conns;

    while (c != NULL) {
        struct cw_peer_conn *next = c->next;

        if (c->open) {
            (void)cw_peer_conn_send(c, env);
        }
        c = next;
    }
}
