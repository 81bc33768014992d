/* HTTP/1.1 calls on libuv's streams and http-parser. */
#include "cw_http_call.h"

#include <http_parser.h>
#include <stdlib.h>
#include <string.h>

/* Idle connections are closed after this time. */
#define IDLE_TIMEOUT_MS 5000
/* A larger answer ends the call with CW_ERR_UNKNOWN. The largest expected one
 * is a full list of 8,200 VMs or 4,100 workers, below 4 MiB. */
#define ANSWER_MAX_BYTES ((size_t)16 * 1024 * 1024)
/* Time after its deadline that a call's answer is still read. */
#define OVERDUE_MS 5
#define READ_BYTES ((size_t)64 * 1024)

struct cw_http_call {
    uv_timer_t timer; /* deadline, or delivery of a result known at once */
    struct cw_http_client *client;
    struct cw_http_call *prev;
    struct cw_http_call *next;
    struct cw_http_conn *conn; /* NULL when the exchange has ended */
    struct cw_http_conn *kept; /* its connection, idle after the answer */
    struct cw_buf request;
    struct cw_buf body; /* of the answer */
    int status;
    bool sent;     /* at least a part of the request */
    bool overdue;  /* its deadline has passed */
    cw_ms expires; /* nothing is sent from then on; counts suspensions */
    /* Of cw_http_fetch, in times of the loop. */
    uint64_t stall_ms; /* 0: the deadline is that of the whole answer */
    uint64_t began_at;
    uint64_t last_byte_at;
    size_t *received; /* NULL: not asked for */
    enum cw_status result;
    void (*done)(void *arg, enum cw_status s, const struct cw_http_answer *a);
    void *arg;
};

struct cw_http_conn {
    uv_tcp_t tcp;
    uv_timer_t idle_timer;
    uv_connect_t connect;
    uv_write_t write;
    struct cw_http_client *client; /* NULL once it is closing */
    struct cw_http_conn *prev;     /* in the client's list */
    struct cw_http_conn *next;
    struct cw_http_conn *idle_next;
    struct cw_http_call *call; /* NULL: idle */
    cw_ms opened_at;           /* 0: not yet */
    int64_t mark;              /* see cw_http_client_mark; 0: none */
    http_parser parser;
    bool complete; /* the answer of the call */
    bool reusable; /* after it */
    int open_handles;
};

bool
cw_http_parse_address(const char *text, struct sockaddr_in *out)
{
    char ip[INET_ADDRSTRLEN];
    const char *colon = text == NULL ? NULL : strrchr(text, ':');
    uint64_t port;
    if (colon == NULL || (size_t)(colon - text) >= sizeof(ip) ||
        !cw_str_to_u64(cw_str_from(colon + 1), &port) || port == 0 ||
        port > 65535) {
        return false;
    }
    memcpy(ip, text, (size_t)(colon - text));
    ip[colon - text] = '\0';
    return uv_ip4_addr(ip, (int)port, out) == 0;
}

enum cw_status
cw_http_client_init(struct cw_http_client *c, uv_loop_t *loop,
                    const char *address)
{
    memset(c, 0, sizeof(*c));
    if (!cw_http_parse_address(address, &c->peer) ||
        cw_name_set(&c->address, cw_str_from(address)) != CW_OK) {
        return cw_fail(c->msg, CW_ERR_INVALID, "address \"%s\" is not ip:port",
                       address == NULL ? "" : address);
    }
    c->loop = loop;
    c->ready = true;
    return CW_OK;
}

/* ---- the end of a call ---- */

static void
free_call(uv_handle_t *h)
{
    struct cw_http_call *call = h->data;

    cw_buf_finish(&call->request);
    cw_buf_finish(&call->body);
    free(call);
}

static void
deliver_result(struct cw_http_call *call)
{
    struct cw_http_answer a = {call->status, cw_buf_str(&call->body)};

    if (call->prev != NULL) {
        call->prev->next = call->next;
    }
    else {
        call->client->calls = call->next;
    }
    if (call->next != NULL) {
        call->next->prev = call->prev;
    }
    uv_timer_stop(&call->timer);
    call->client->answered = call->kept;
    /* done may end the client: nothing of it is used afterwards. */
    call->done(call->arg, call->result, &a);
    uv_close((uv_handle_t *)&call->timer, free_call);
}

static void
set_result(struct cw_http_call *call, enum cw_status s, const char *reason)
{
    call->conn = NULL;
    call->result = s;
    if (s != CW_OK) {
        (void)cw_fail(call->client->msg, s, "%s: %s",
                      call->client->address.text, reason);
    }
}

static void
on_deliver_timer(uv_timer_t *t)
{
    deliver_result(t->data);
}

/* Delivers a result that is known before cw_http_call has returned. */
static void
deliver_later(struct cw_http_call *call, enum cw_status s, const char *reason)
{
    set_result(call, s, reason);
    uv_timer_start(&call->timer, on_deliver_timer, 0, 0);
}

/* ---- connections ---- */

static void
on_conn_handle_closed(uv_handle_t *h)
{
    struct cw_http_conn *c = h->data;

    if (--c->open_handles == 0) {
        free(c);
    }
}

static void
remove_idle(struct cw_http_conn *c)
{
    struct cw_http_conn **link = &c->client->idle;

    while (*link != NULL && *link != c) {
        link = &(*link)->idle_next;
    }
    if (*link != NULL) {
        *link = c->idle_next;
    }
}

/* Closes a connection; its call, if any, is the caller's to end. */
static void
close_conn(struct cw_http_conn *c)
{
    if (c->client == NULL) {
        return;
    }
    remove_idle(c);
    if (c->client->answered == c) {
        c->client->answered = NULL;
    }
    if (c->prev != NULL) {
        c->prev->next = c->next;
    }
    else {
        c->client->conns = c->next;
    }
    if (c->next != NULL) {
        c->next->prev = c->prev;
    }
    c->client = NULL;
    c->call = NULL;
    uv_close((uv_handle_t *)&c->tcp, on_conn_handle_closed);
    uv_close((uv_handle_t *)&c->idle_timer, on_conn_handle_closed);
}

/* Ends the call of a connection that failed; unsent is its status when nothing
 * of it was sent. */
static void
conn_failed(struct cw_http_conn *c, enum cw_status unsent, const char *reason)
{
    struct cw_http_call *call = c->call;

    close_conn(c);
    if (call != NULL) {
        set_result(call, call->sent ? CW_ERR_UNKNOWN : unsent, reason);
        deliver_result(call);
    }
}

static void
on_idle_timer(uv_timer_t *t)
{
    close_conn(t->data);
}

/* The answer is complete: the connection becomes idle or closes. */
static void
finish_exchange(struct cw_http_conn *c)
{
    struct cw_http_call *call = c->call;

    c->call = NULL;
    if (c->reusable &&
        uv_stream_get_write_queue_size((uv_stream_t *)&c->tcp) == 0) {
        c->idle_next = c->client->idle;
        c->client->idle = c;
        call->kept = c;
        uv_timer_start(&c->idle_timer, on_idle_timer, IDLE_TIMEOUT_MS, 0);
    }
    else {
        close_conn(c);
    }
    set_result(call, CW_OK, "");
    deliver_result(call);
}

/* ---- parser ---- */

static int
on_body(http_parser *p, const char *at, size_t len)
{
    struct cw_http_conn *c = p->data;
    struct cw_buf *body = &c->call->body;

    cw_buf_add(body, at, len);
    c->call->last_byte_at = uv_now(c->client->loop);
    if (c->call->received != NULL) {
        *c->call->received = body->len;
    }
    return body->failed || body->len > ANSWER_MAX_BYTES;
}

static int
on_headers_complete(http_parser *p)
{
    struct cw_http_conn *c = p->data;

    c->call->status = (int)p->status_code;
    return 0;
}

static int
on_message_complete(http_parser *p)
{
    struct cw_http_conn *c = p->data;

    if (p->status_code < 200) {
        return 0; /* the final answer follows */
    }
    c->complete = true;
    c->reusable = http_should_keep_alive(p) != 0;
    /* Anything after the answer was not asked for. */
    http_parser_pause(p, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

/* Passes bytes of the answer to the parser; none are the end of the stream.
 * Returns the reason of a failure, or NULL. */
static const char *
parse_bytes(struct cw_http_conn *c, const char *bytes, size_t len)
{
    size_t used =
        http_parser_execute(&c->parser, &parser_settings, bytes, len);
    enum http_errno e = HTTP_PARSER_ERRNO(&c->parser);

    if (c->complete) {
        c->reusable &= used == len;
        return NULL;
    }
    return e == HPE_OK ? NULL : http_errno_description(e);
}

static void
on_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *b)
{
    static char bytes[READ_BYTES]; /* one loop, one thread; used at once */

    (void)h;
    (void)suggested;
    *b = uv_buf_init(bytes, sizeof(bytes));
}

static void
on_read(uv_stream_t *s, ssize_t n, const uv_buf_t *b)
{
    struct cw_http_conn *c = s->data;
    const char *reason;

    if (n == 0 || c->client == NULL) {
        return;
    }
    if (c->call == NULL) {
        close_conn(c); /* the peer closed it, or sent what nobody asked for */
        return;
    }
    if (n < 0 && n != UV_EOF) {
        conn_failed(c, CW_ERR_UNKNOWN, uv_strerror((int)n));
        return;
    }
    c->client->traffic.bytes_in += n > 0 ? (uint64_t)n : 0;
    reason = parse_bytes(c, b->base, n > 0 ? (size_t)n : 0);
    if (c->complete) {
        c->reusable &= n > 0;
        finish_exchange(c);
    }
    else if (reason != NULL || n < 0) {
        conn_failed(c, CW_ERR_UNKNOWN,
                    reason != NULL ? reason : "connection closed");
    }
}

/* ---- sending ---- */

static void
on_written(uv_write_t *w, int status)
{
    struct cw_http_conn *c = w->data;

    if (status != 0 && c->client != NULL) {
        conn_failed(c, CW_ERR_UNKNOWN, uv_strerror(status));
    }
}

/* Sends the request on an open connection. Returns 0 or libuv's error. */
static int
send_request(struct cw_http_conn *c)
{
    struct cw_http_call *call = c->call;
    uv_buf_t b = uv_buf_init(call->request.ptr, (unsigned)call->request.len);
    int n;

    http_parser_init(&c->parser, HTTP_RESPONSE);
    c->parser.data = c;
    c->complete = false;
    call->sent = true;
    call->client->traffic.calls++;
    call->client->traffic.bytes_out += call->request.len;
    n = uv_try_write((uv_stream_t *)&c->tcp, &b, 1);
    if (n == UV_EAGAIN) {
        n = 0;
    }
    if (n < 0 || (size_t)n == call->request.len) {
        return n < 0 ? n : 0;
    }
    b = uv_buf_init(call->request.ptr + n,
                    (unsigned)call->request.len - (unsigned)n);
    c->write.data = c;
    return uv_write(&c->write, (uv_stream_t *)&c->tcp, &b, 1, on_written);
}

static cw_ms
clock_now(void)
{
    struct cw_clock clock = cw_clock_system();

    return clock.now(clock.ctx);
}

static void
on_connected(uv_connect_t *r, int status)
{
    struct cw_http_conn *c = r->data;
    int e = status;

    if (c->client == NULL) {
        return;
    }
    c->opened_at = clock_now();
    if (e == 0 && c->opened_at >= c->call->expires) {
        /* The process was paused: what allowed the call may have run out. */
        e = UV_ETIMEDOUT;
    }
    if (e == 0) {
        e = uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
    }
    if (e == 0) {
        e = send_request(c);
    }
    if (e != 0) {
        /* Only a refused connection shows that no process listens there. */
        conn_failed(c,
                    e == UV_ECONNREFUSED ? CW_ERR_UNAVAILABLE : CW_ERR_TIMEOUT,
                    uv_strerror(e));
    }
}

static struct cw_http_conn *
open_conn(struct cw_http_client *client)
{
    struct cw_http_conn *c = calloc(1, sizeof(*c));

    CW_INVARIANT(c != NULL);
    CW_INVARIANT(uv_tcp_init(client->loop, &c->tcp) == 0 &&
                 uv_timer_init(client->loop, &c->idle_timer) == 0);
    c->open_handles = 2;
    c->tcp.data = c;
    c->idle_timer.data = c;
    c->connect.data = c;
    c->client = client;
    c->next = client->conns;
    if (c->next != NULL) {
        c->next->prev = c;
    }
    client->conns = c;
    return c;
}

/* Assigns a connection to the call. Returns 0 or libuv's error, after which
 * the connection is closed. */
static int
begin_exchange(struct cw_http_call *call)
{
    struct cw_http_client *client = call->client;
    struct cw_http_conn *c = client->idle;
    int e;

    if (c != NULL) {
        client->idle = c->idle_next;
        uv_timer_stop(&c->idle_timer);
        call->conn = c;
        c->call = call;
        e = send_request(c);
    }
    else {
        c = open_conn(client);
        call->conn = c;
        c->call = call;
        e = uv_tcp_connect(&c->connect, &c->tcp,
                           (const struct sockaddr *)&client->peer,
                           on_connected);
        (void)uv_tcp_nodelay(&c->tcp, 1);
    }
    if (e != 0) {
        close_conn(c);
    }
    return e;
}

/* Time of the loop until which the call may go on after its first deadline; 0:
 * it may not. */
static uint64_t
extended_deadline(const struct cw_http_call *call)
{
    uint64_t stalled = call->last_byte_at + call->stall_ms;
    uint64_t longest = call->began_at + CW_HTTP_FETCH_MAX_MS;

    if (call->stall_ms == 0 || call->body.len == 0) {
        return 0;
    }
    return stalled < longest ? stalled : longest;
}

/* libuv runs timers before it reads from sockets. After a pause of the process
 * or a long pass of the loop, answers that arrived in time are read first. */
static void
on_deadline(uv_timer_t *t)
{
    struct cw_http_call *call = t->data;
    uint64_t now = uv_now(call->client->loop);
    uint64_t later = extended_deadline(call);

    if (later > now) {
        call->overdue = false;
        uv_timer_start(t, on_deadline, later - now, 0);
        return;
    }
    if (!call->overdue) {
        call->overdue = true;
        uv_timer_start(t, on_deadline, OVERDUE_MS, 0);
        return;
    }
    close_conn(call->conn);
    set_result(call, call->sent ? CW_ERR_UNKNOWN : CW_ERR_TIMEOUT,
               "deadline passed");
    deliver_result(call);
}

static void
print_request(struct cw_http_call *call, const struct cw_http_request *r)
{
    cw_buf_addf(&call->request, "%s %s HTTP/1.1\r\nHost: %s\r\n", r->method,
                r->path, call->client->address.text);
    if (r->headers != NULL) {
        cw_buf_add_str(&call->request, cw_str_from(r->headers));
    }
    if (r->body.len > 0) {
        cw_buf_addf(&call->request,
                    "Content-Type: application/json\r\n"
                    "Content-Length: %zu\r\n\r\n",
                    r->body.len);
        cw_buf_add_str(&call->request, r->body);
    }
    else {
        cw_buf_addf(&call->request, "%s\r\n",
                    strcmp(r->method, "GET") == 0 ? ""
                                                  : "Content-Length: 0\r\n");
    }
}

static void
start_call(struct cw_http_call *call, struct cw_http_client *c,
           const struct cw_http_request *r,
           void (*done)(void *arg, enum cw_status s,
                        const struct cw_http_answer *a),
           void *arg)
{
    int e;

    call->client = c;
    call->done = done;
    call->arg = arg;
    call->next = c->calls;
    if (call->next != NULL) {
        call->next->prev = call;
    }
    c->calls = call;
    uv_timer_init(c->loop, &call->timer);
    call->timer.data = call;
    print_request(call, r);
    if (!c->ready || call->request.failed) {
        deliver_later(call, CW_ERR_UNAVAILABLE, "client not ready");
        return;
    }
    call->expires = clock_now() + r->timeout_ms;
    uv_update_time(c->loop);
    call->began_at = uv_now(c->loop);
    uv_timer_start(&call->timer, on_deadline, (uint64_t)r->timeout_ms, 0);
    e = begin_exchange(call);
    if (e != 0) {
        deliver_later(call, call->sent ? CW_ERR_UNKNOWN : CW_ERR_TIMEOUT,
                      uv_strerror(e));
    }
}

static struct cw_http_call *
new_call(void)
{
    struct cw_http_call *call = calloc(1, sizeof(*call));

    /* Without memory for the call its result could not be delivered. */
    CW_INVARIANT(call != NULL);
    return call;
}

void
cw_http_call(struct cw_http_client *c, const struct cw_http_request *r,
             void (*done)(void *arg, enum cw_status s,
                          const struct cw_http_answer *a),
             void *arg)
{
    start_call(new_call(), c, r, done, arg);
}

void
cw_http_fetch(struct cw_http_client *c, const struct cw_http_request *r,
              cw_ms stall_ms, size_t *received,
              void (*done)(void *arg, enum cw_status s,
                           const struct cw_http_answer *a),
              void *arg)
{
    struct cw_http_call *call = new_call();

    call->stall_ms = (uint64_t)stall_ms;
    call->received = received;
    start_call(call, c, r, done, arg);
}

void
cw_http_cancel(struct cw_http_client *c, const size_t *received)
{
    struct cw_http_call *call = c->calls;

    while (call != NULL && (call->received != received || !call->conn)) {
        call = call->next;
    }
    if (call != NULL) {
        close_conn(call->conn);
        set_result(call, CW_ERR_UNKNOWN, "cancelled");
        deliver_result(call);
    }
}

bool
cw_http_client_reuses(const struct cw_http_client *c, cw_ms since)
{
    return c->idle != NULL && c->idle->opened_at < since;
}

void
cw_http_client_mark(struct cw_http_client *c, int64_t mark)
{
    if (c->answered != NULL) {
        c->answered->mark = mark;
    }
}

bool
cw_http_client_prefer_marked(struct cw_http_client *c, int64_t mark)
{
    struct cw_http_conn *conn = c->idle;

    while (conn != NULL && conn->mark != mark) {
        conn = conn->idle_next;
    }
    if (conn == NULL) {
        return false;
    }
    remove_idle(conn);
    conn->idle_next = c->idle;
    c->idle = conn;
    return true;
}

void
cw_http_client_finish(struct cw_http_client *c)
{
    if (!c->ready) {
        return;
    }
    c->ready = false;
    while (c->calls != NULL) {
        struct cw_http_call *call = c->calls;

        if (call->conn != NULL) {
            close_conn(call->conn);
            set_result(call, call->sent ? CW_ERR_UNKNOWN : CW_ERR_TIMEOUT,
                       "client closed");
        }
        deliver_result(call);
    }
    while (c->conns != NULL) {
        close_conn(c->conns);
    }
}
