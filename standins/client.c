/* A small HTTP/1.1 client on libuv. */
#include "client.h"

#include <stdlib.h>
#include <string.h>

struct client_conn {
    uv_tcp_t tcp;
    uv_timer_t timer;
    uv_connect_t connect;
    uv_write_t write;
    int open_handles; /* the connection is freed at 0 */
    struct client_pool *pool;
    struct client_conn *next; /* idle list */
    char *request;
    size_t request_len;
    enum client_phase phase;
    struct cw_buf in;
    size_t head_len; /* 0 until the head is complete */
    size_t pos;      /* end of the parsed part of in */
    int status;
    bool chunked;
    bool has_length;
    bool close_after;
    uint64_t length;
    struct cw_buf body;
    char read_buf[65536];
    void (*done)(void *arg, const struct client_result *r);
    void *arg;
};

void
client_pool_init(struct client_pool *p, uv_loop_t *loop,
                 const struct sockaddr_in *addr, bool keep_alive)
{
    memset(p, 0, sizeof(*p));
    p->loop = loop;
    p->addr = *addr;
    p->keep_alive = keep_alive;
}

static void
on_handle_closed(uv_handle_t *h)
{
    struct client_conn *c = h->data;
    if (--c->open_handles == 0) {
        free(c->request);
        cw_buf_finish(&c->in);
        cw_buf_finish(&c->body);
        free(c);
    }
}

static void
close_conn(struct client_conn *c)
{
    if (!uv_is_closing((uv_handle_t *)&c->tcp)) {
        uv_close((uv_handle_t *)&c->tcp, on_handle_closed);
        uv_close((uv_handle_t *)&c->timer, on_handle_closed);
    }
}

void
client_pool_finish(struct client_pool *p)
{
    while (p->idle != NULL) {
        struct client_conn *c = p->idle;
        p->idle = c->next;
        close_conn(c);
    }
}

struct cw_str
client_header(struct cw_str head, const char *name)
{
    size_t n = strlen(name);
    const char *p = head.ptr;
    const char *end = head.ptr + head.len;
    while (p < end) {
        const char *nl = memchr(p, '\n', (size_t)(end - p));
        size_t len = (size_t)((nl == NULL ? end : nl) - p);
        if (len > n && p[n] == ':' &&
            cw_str_eq_nocase((struct cw_str){p, n}, cw_str_from(name))) {
            struct cw_str v = {p + n + 1, len - n - 1};
            while (v.len > 0 && *v.ptr == ' ') {
                v.ptr++;
                v.len--;
            }
            while (v.len > 0 &&
                   (v.ptr[v.len - 1] == '\r' || v.ptr[v.len - 1] == ' ')) {
                v.len--;
            }
            return v;
        }
        p += len + 1;
    }
    return (struct cw_str){NULL, 0};
}

/* Ends the call: reports the result, then keeps the connection for reuse or
 * closes it. */
static void
finish_call(struct client_conn *c, bool timed_out)
{
    if (c->done == NULL) {
        return;
    }
    void (*done)(void *, const struct client_result *) = c->done;
    c->done = NULL;
    struct client_result r = {
        .phase = c->phase,
        .timed_out = timed_out,
        .status = c->status,
        .head = {c->in.ptr, c->head_len},
        .body = cw_buf_str(&c->body),
    };
    c->pool->open_calls--;
    uv_timer_stop(&c->timer);
    done(c->arg, &r);
    bool keep = c->phase == CLIENT_DONE && c->pool->keep_alive &&
                !c->close_after && (c->has_length || c->chunked);
    if (!keep) {
        close_conn(c);
        return;
    }
    c->next = c->pool->idle;
    c->pool->idle = c;
}

static void
close_idle_conn(struct client_conn *c)
{
    for (struct client_conn **p = &c->pool->idle; *p != NULL;
         p = &(*p)->next) {
        if (*p == c) {
            *p = c->next;
            break;
        }
    }
    close_conn(c);
}

static bool
parse_head(struct client_conn *c)
{
    const char *end = memmem(c->in.ptr, c->in.len, "\r\n\r\n", 4);
    if (end == NULL) {
        return false;
    }
    c->head_len = (size_t)(end - c->in.ptr) + 4;
    struct cw_str head = {c->in.ptr, c->head_len};
    if (head.len > 12 && memcmp(head.ptr, "HTTP/1.", 7) == 0) {
        c->status = atoi(head.ptr + 9);
    }
    c->has_length =
        cw_str_to_u64(client_header(head, "content-length"), &c->length);
    c->chunked = cw_str_eq_nocase(client_header(head, "transfer-encoding"),
                                  CW_LIT("chunked"));
    c->close_after =
        cw_str_eq_nocase(client_header(head, "connection"), CW_LIT("close"));
    c->pos = c->head_len;
    return true;
}

/* Adds complete chunks to the body; returns true after the last one. A
 * malformed chunk leaves the answer incomplete. */
static bool
parse_chunks(struct client_conn *c)
{
    for (;;) {
        const char *p = c->in.ptr + c->pos;
        size_t left = c->in.len - c->pos;
        const char *nl = memmem(p, left, "\r\n", 2);
        if (nl == NULL) {
            return false;
        }
        char *size_end;
        size_t size = strtoull(p, &size_end, 16);
        size_t need = (size_t)(nl - p) + 2 + size + 2;
        if (size_end == p || left < need) {
            return false;
        }
        cw_buf_add(&c->body, nl + 2, size);
        c->pos += need;
        if (size == 0) {
            return true;
        }
    }
}

static bool
parse_body(struct client_conn *c)
{
    if (c->chunked) {
        return parse_chunks(c);
    }
    size_t left = c->in.len - c->pos;
    if (c->has_length && left > c->length - c->body.len) {
        left = c->length - c->body.len;
    }
    cw_buf_add(&c->body, c->in.ptr + c->pos, left);
    c->pos += left;
    return c->has_length && c->body.len == c->length;
}

static void
on_alloc(uv_handle_t *h, size_t size, uv_buf_t *buf)
{
    (void)size;
    struct client_conn *c = h->data;
    *buf = uv_buf_init(c->read_buf, sizeof(c->read_buf));
}

static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
    struct client_conn *c = stream->data;
    if (n == 0) {
        return;
    }
    if (c->done == NULL) {
        close_idle_conn(c);
        return;
    }
    if (n < 0) {
        if (n == UV_EOF && c->head_len > 0 && !c->chunked && !c->has_length) {
            c->phase = CLIENT_DONE;
        }
        finish_call(c, false);
        return;
    }
    c->phase = CLIENT_RECEIVING;
    cw_buf_add(&c->in, buf->base, (size_t)n);
    if (c->head_len == 0 && !parse_head(c)) {
        return;
    }
    if (parse_body(c)) {
        c->phase = CLIENT_DONE;
        finish_call(c, false);
    }
}

static void
on_request_written(uv_write_t *w, int status)
{
    struct client_conn *c = w->data;
    /* A failed write is followed by a failed read, which ends the call. */
    (void)c;
    (void)status;
}

static void
send_request(struct client_conn *c)
{
    c->phase = CLIENT_SENT;
    uv_buf_t buf = uv_buf_init(c->request, (unsigned)c->request_len);
    c->write.data = c;
    if (uv_write(&c->write, (uv_stream_t *)&c->tcp, &buf, 1,
                 on_request_written) != 0) {
        finish_call(c, false);
    }
}

static void
on_connected(uv_connect_t *req, int status)
{
    struct client_conn *c = req->data;
    if (status == UV_ECANCELED || c->done == NULL) {
        return;
    }
    if (status != 0) {
        finish_call(c, false);
        return;
    }
    uv_tcp_nodelay(&c->tcp, 1);
    uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
    send_request(c);
}

static void
on_timeout(uv_timer_t *t)
{
    finish_call(t->data, true);
}

static struct client_conn *
new_conn(struct client_pool *p)
{
    struct client_conn *c = calloc(1, sizeof(*c));
    if (c == NULL) {
        return NULL;
    }
    c->pool = p;
    uv_tcp_init(p->loop, &c->tcp);
    uv_timer_init(p->loop, &c->timer);
    c->open_handles = 2;
    c->tcp.data = c;
    c->timer.data = c;
    c->connect.data = c;
    return c;
}

static void
reset_call(struct client_conn *c)
{
    free(c->request);
    c->request = NULL;
    cw_buf_clear(&c->in);
    cw_buf_clear(&c->body);
    c->head_len = 0;
    c->pos = 0;
    c->status = 0;
    c->chunked = false;
    c->has_length = false;
    c->close_after = false;
    c->length = 0;
}

void
client_call(struct client_pool *p, struct cw_str request, uint64_t timeout_ms,
            void (*done)(void *arg, const struct client_result *r), void *arg)
{
    struct client_conn *c = p->idle;
    bool reused = c != NULL;
    if (reused) {
        p->idle = c->next;
        reset_call(c);
    }
    else {
        c = new_conn(p);
    }
    if (c == NULL) {
        struct client_result r = {.phase = CLIENT_CONNECT};
        done(arg, &r);
        return;
    }
    c->request = malloc(request.len + 1);
    if (c->request != NULL) {
        memcpy(c->request, request.ptr, request.len);
        c->request_len = request.len;
    }
    c->done = done;
    c->arg = arg;
    p->open_calls++;
    uv_timer_start(&c->timer, on_timeout, timeout_ms, 0);
    if (reused) {
        send_request(c);
        return;
    }
    c->phase = CLIENT_CONNECT;
    if (uv_tcp_connect(&c->connect, &c->tcp, (const struct sockaddr *)&p->addr,
                       on_connected) != 0) {
        /* Reported from the timer, after this function has returned. */
        uv_timer_start(&c->timer, on_timeout, 0, 0);
    }
}
