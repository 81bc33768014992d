/* HTTP/1.1 calls over h2o's client. */
#include "cw_http_call.h"

#include <stdlib.h>
#include <string.h>

/* Idle connections are closed after this time. */
#define IDLE_TIMEOUT_MS 5000
/* A larger answer ends the call with CW_ERR_UNKNOWN. The largest expected one
 * is a full list of 8,200 VMs or 4,100 workers, below 4 MiB. */
#define ANSWER_MAX_BYTES ((size_t)16 * 1024 * 1024)
/* Each call has its own deadline; h2o's timer must not expire before it. */
#define IO_TIMEOUT_MS (24 * 3600 * 1000)

/* Time after its deadline that a call's answer is still read. */
#define OVERDUE_MS 5

struct cw_http_call {
    uv_timer_t timer; /* deadline, then delivery of the result */
    struct cw_http_client *client;
    struct cw_http_call *next;
    struct cw_http_call **link; /* the pointer that refers to this call */
    h2o_http1client_t *h2o;     /* NULL when the exchange has ended */
    struct cw_buf request;
    h2o_iovec_t out;
    struct cw_buf body; /* of the answer */
    int status;
    bool sent;
    bool overdue; /* its deadline has passed */
    enum cw_status result;
    void (*done)(void *arg, enum cw_status s, const struct cw_http_answer *a);
    void *arg;
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
    struct sockaddr_in sa;
    memset(c, 0, sizeof(*c));
    if (!cw_http_parse_address(address, &sa) ||
        cw_name_set(&c->address, cw_str_from(address)) != CW_OK) {
        return cw_fail(c->msg, CW_ERR_INVALID, "address \"%s\" is not ip:port",
                       address == NULL ? "" : address);
    }
    c->loop = loop;
    h2o_socketpool_init_by_address(&c->pool, (struct sockaddr *)&sa,
                                   sizeof(sa), 0, SIZE_MAX);
    h2o_socketpool_set_timeout(&c->pool, loop, IDLE_TIMEOUT_MS);
    h2o_timeout_init(loop, &c->io_timeout, IO_TIMEOUT_MS);
    c->ctx.loop = loop;
    c->ctx.io_timeout = &c->io_timeout;
    c->ready = true;
    return CW_OK;
}

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
    *call->link = call->next;
    if (call->next != NULL) {
        call->next->link = call->link;
    }
    call->done(call->arg, call->result, &a);
    uv_close((uv_handle_t *)&call->timer, free_call);
}

static void
on_deliver_timer(uv_timer_t *t)
{
    deliver_result(t->data);
}

/* Ends a call. A timer delivers the result from the loop, so that done never
 * runs inside h2o's callbacks or before cw_http_call has returned. */
static void
end_call(struct cw_http_call *call, enum cw_status s, const char *reason)
{
    call->h2o = NULL;
    call->result = s;
    if (s != CW_OK) {
        cw_fail(call->client->msg, s, "%s: %s", call->client->address.text,
                reason);
    }
    uv_timer_start(&call->timer, on_deliver_timer, 0, 0);
}

static void
cancel_call(struct cw_http_call *call, const char *reason)
{
    h2o_http1client_cancel(call->h2o);
    end_call(call, call->sent ? CW_ERR_UNKNOWN : CW_ERR_TIMEOUT, reason);
}

/* libuv runs timers before it reads from sockets. After a pause of the process
 * or a long pass of the loop, answers that arrived in time are read first. */
static void
on_deadline(uv_timer_t *t)
{
    struct cw_http_call *call = t->data;

    if (!call->overdue) {
        call->overdue = true;
        uv_timer_start(t, on_deadline, OVERDUE_MS, 0);
        return;
    }
    cancel_call(call, "deadline passed");
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
        if (call->h2o != NULL) {
            cancel_call(call, "client closed");
        }
        uv_timer_stop(&call->timer);
        deliver_result(call);
    }
    h2o_socketpool_dispose(&c->pool);
    h2o_timeout_dispose(c->loop, &c->io_timeout);
}

static int
on_body(h2o_http1client_t *h2o, const char *err)
{
    struct cw_http_call *call = h2o->data;
    if (err != NULL && err != h2o_http1client_error_is_eos) {
        end_call(call, CW_ERR_UNKNOWN, err);
        return -1;
    }
    h2o_buffer_t **in = &h2o->sock->input;
    call->client->traffic.bytes_in += (*in)->size;
    cw_buf_add(&call->body, (*in)->bytes, (*in)->size);
    h2o_buffer_consume(in, (*in)->size);
    if (call->body.failed || call->body.len > ANSWER_MAX_BYTES) {
        end_call(call, CW_ERR_UNKNOWN, "answer too large");
        return -1;
    }
    if (err != NULL) {
        end_call(call, CW_OK, "");
    }
    return 0;
}

static h2o_http1client_body_cb
on_head(h2o_http1client_t *h2o, const char *err, int minor_version, int status,
        h2o_iovec_t msg, struct st_h2o_header_t *headers, size_t num_headers,
        int rlen)
{
    (void)minor_version;
    (void)msg;
    (void)headers;
    (void)num_headers;
    struct cw_http_call *call = h2o->data;
    call->client->traffic.bytes_in += rlen > 0 ? (uint64_t)rlen : 0;
    if (err != NULL && err != h2o_http1client_error_is_eos) {
        end_call(call, CW_ERR_UNKNOWN, err);
        return NULL;
    }
    call->status = status;
    if (err != NULL) {
        end_call(call, CW_OK, "");
        return NULL;
    }
    return on_body;
}

static h2o_http1client_head_cb
on_connect(h2o_http1client_t *h2o, const char *err, h2o_iovec_t **bufs,
           size_t *count, int *method_is_head)
{
    struct cw_http_call *call = h2o->data;
    if (err != NULL) {
        end_call(call, CW_ERR_UNAVAILABLE, err);
        return NULL;
    }
    call->sent = true;
    call->client->traffic.calls++;
    call->client->traffic.bytes_out += call->request.len;
    call->out = h2o_iovec_init(call->request.ptr, call->request.len);
    *bufs = &call->out;
    *count = 1;
    *method_is_head = 0;
    return on_head;
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

void
cw_http_call(struct cw_http_client *c, const struct cw_http_request *r,
             void (*done)(void *arg, enum cw_status s,
                          const struct cw_http_answer *a),
             void *arg)
{
    struct cw_http_call *call = calloc(1, sizeof(*call));
    /* Without memory for the call its result could not be delivered. */
    CW_INVARIANT(call != NULL);
    call->client = c;
    call->done = done;
    call->arg = arg;
    call->link = &c->calls;
    call->next = c->calls;
    if (call->next != NULL) {
        call->next->link = &call->next;
    }
    c->calls = call;
    uv_timer_init(c->loop, &call->timer);
    call->timer.data = call;
    print_request(call, r);
    if (!c->ready || call->request.failed) {
        end_call(call, CW_ERR_UNAVAILABLE, "client not ready");
        return;
    }
    uv_update_time(c->loop);
    uv_timer_start(&call->timer, on_deadline, (uint64_t)r->timeout_ms, 0);
    h2o_http1client_connect_with_pool(&call->h2o, call, &c->ctx, &c->pool,
                                      on_connect);
}
