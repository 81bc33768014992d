#include "daemon_util.h"

#include "cw_request.h"
#include "cw_services.h"

#include <netinet/in.h>
#include <setjmp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <cmocka.h>

#define READ_BUF_BYTES 65536

/* A connection that the endpoint accepted or a caller made. */
struct du_conn {
    uv_tcp_t tcp; /* first, so that a handle can be cast */
    uv_connect_t connect;
    uv_write_t write;
    struct du *u;
    struct du_conn *next;
    struct cw_buf in;
    struct cw_str request; /* sent by the caller */
    bool caller;
    bool ended;
    char buf[READ_BUF_BYTES];
};

static void
on_alloc(uv_handle_t *h, size_t size, uv_buf_t *buf)
{
    struct du_conn *c = (struct du_conn *)h;

    (void)size;
    *buf = uv_buf_init(c->buf, sizeof(c->buf));
}

static void
on_closed(uv_handle_t *h)
{
    struct du_conn *c = (struct du_conn *)h;

    cw_buf_finish(&c->in);
    free(c);
}

static void
conn_close(struct du_conn *c)
{
    for (struct du_conn **p = &c->u->conns; *p != NULL; p = &(*p)->next) {
        if (*p == c) {
            *p = c->next;
            break;
        }
    }
    if (uv_is_closing((uv_handle_t *)&c->tcp) == 0) {
        uv_close((uv_handle_t *)&c->tcp, on_closed);
    }
}

static struct du_conn *
conn_new(struct du *u)
{
    struct du_conn *c = calloc(1, sizeof(*c));

    assert_non_null(c);
    c->u = u;
    cw_buf_init(&c->in);
    assert_int_equal(uv_tcp_init(&u->loop, &c->tcp), 0);
    c->next = u->conns;
    u->conns = c;
    return c;
}

/* ---- endpoint -------------------------------------------------------- */

static void
on_response_written(uv_write_t *w, int status)
{
    struct du_conn *c = w->data;

    (void)status;
    if (c->ended) {
        conn_close(c);
    }
}

static void
endpoint_write(struct du_conn *c, const char *bytes, size_t len,
               bool close_after)
{
    uv_buf_t buf = uv_buf_init((char *)bytes, (unsigned)len);

    c->ended = close_after;
    c->write.data = c;
    (void)uv_write(&c->write, (uv_stream_t *)&c->tcp, &buf, 1,
                   on_response_written);
}

static void
endpoint_respond(struct du_conn *c)
{
    static const char ok[] = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    struct du *u = c->u;
    const char *bytes = u->script.response;
    size_t len = u->script.len;
    bool close_after = u->script.close;

    if (cw_str_starts(cw_buf_str(&c->in), CW_LIT("GET /ready "))) {
        bytes = u->script.ready != NULL ? u->script.ready : ok;
        len = strlen(bytes);
        close_after = false;
    }
    else {
        u->endpoint_requests++;
        cw_buf_clear(&u->last_request);
        cw_buf_add_str(&u->last_request, cw_buf_str(&c->in));
    }
    cw_buf_clear(&c->in);
    if (bytes == NULL) {
        if (close_after) {
            conn_close(c);
        }
        return;
    }
    endpoint_write(c, bytes, len, close_after);
}

/* Whether the header block and a body of its content-length were received. */
static bool
request_complete(const struct cw_buf *b)
{
    const char *end = memmem(b->ptr, b->len, "\r\n\r\n", 4);
    const char *length;

    if (end == NULL) {
        return false;
    }
    length = memmem(b->ptr, (size_t)(end - b->ptr), "content-length: ", 16);
    if (length == NULL) {
        return true;
    }
    return b->len >=
           (size_t)(end + 4 - b->ptr) + strtoul(length + 16, NULL, 10);
}

static void
on_endpoint_read(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
    struct du_conn *c = (struct du_conn *)s;

    if (n == UV_EOF && c->u->script.late != NULL) {
        (void)uv_read_stop(s);
        if (c->u->script.late[0] != '\0') {
            endpoint_write(c, c->u->script.late, strlen(c->u->script.late),
                           true);
        }
        return;
    }
    if (n < 0) {
        conn_close(c);
        return;
    }
    cw_buf_add(&c->in, buf->base, (size_t)n);
    if (request_complete(&c->in)) {
        endpoint_respond(c);
    }
}

static void
on_endpoint_accept(uv_stream_t *s, int status)
{
    struct du *u = s->data;
    struct du_conn *c = conn_new(u);

    assert_int_equal(status, 0);
    assert_int_equal(uv_accept(s, (uv_stream_t *)&c->tcp), 0);
    if (u->script.refuse) {
        conn_close(c);
        return;
    }
    assert_int_equal(
        uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_endpoint_read), 0);
}

/* Binds to a port that the system chooses, listens if cb is set, and returns
 * the port. */
static int
bind_any_port(uv_loop_t *loop, uv_tcp_t *tcp, uv_connection_cb cb)
{
    struct sockaddr_in sa;
    struct sockaddr_storage got;
    int len = sizeof(got);

    assert_int_equal(uv_tcp_init(loop, tcp), 0);
    assert_int_equal(uv_ip4_addr("127.0.0.1", 0, &sa), 0);
    assert_int_equal(uv_tcp_bind(tcp, (struct sockaddr *)&sa, 0), 0);
    if (cb != NULL) {
        assert_int_equal(uv_listen((uv_stream_t *)tcp, 64, cb), 0);
    }
    assert_int_equal(uv_tcp_getsockname(tcp, (struct sockaddr *)&got, &len),
                     0);
    return ntohs(((struct sockaddr_in *)&got)->sin_port);
}

/* ---- ports ----------------------------------------------------------- */

/* A pending call to the platform, which is unavailable in these tests. */
struct du_port_call {
    struct du_port_call *next;
    void (*list)(void *arg, enum cw_status s, uint64_t version, size_t count,
                 const struct cw_vm_info *vms);
    void (*call)(void *arg, enum cw_status s);
    void (*vm)(void *arg, enum cw_status s, const struct cw_pool_vm *vm);
    void (*reports)(void *arg, enum cw_status s, uint64_t version,
                    size_t count, const struct cw_worker_report *reports);
    void *arg;
};

static struct du_port_call *
port_call_new(struct du *u, void *arg)
{
    struct du_port_call *l = calloc(1, sizeof(*l));

    assert_non_null(l);
    l->arg = arg;
    l->next = u->port_calls;
    u->port_calls = l;
    return l;
}

static void
port_calls_fail(struct du *u)
{
    struct du_port_call *list = u->port_calls;

    u->port_calls = NULL;
    while (list != NULL) {
        struct du_port_call *l = list;

        list = l->next;
        if (l->list != NULL) {
            l->list(l->arg, CW_ERR_UNAVAILABLE, 0, 0, NULL);
        }
        if (l->call != NULL) {
            l->call(l->arg, CW_ERR_UNAVAILABLE);
        }
        if (l->vm != NULL) {
            l->vm(l->arg, CW_ERR_UNAVAILABLE, NULL);
        }
        if (l->reports != NULL) {
            l->reports(l->arg, CW_ERR_UNAVAILABLE, 0, 0, NULL);
        }
        free(l);
    }
}

static void
list_get(void *ctx, uint64_t since,
         void (*done)(void *arg, enum cw_status s, uint64_t version,
                      size_t count, const struct cw_vm_info *vms),
         void *arg)
{
    (void)since;
    port_call_new(ctx, arg)->list = done;
}

static void
pool_call(void *ctx, enum cw_pool_call what, const char *vm, const char *op,
          uint64_t fence, const char *pool,
          void (*done)(void *arg, enum cw_status s), void *arg)
{
    (void)what;
    (void)vm;
    (void)op;
    (void)fence;
    (void)pool;
    port_call_new(ctx, arg)->call = done;
}

static void
pool_status(void *ctx, const char *vm,
            void (*done)(void *arg, enum cw_status s,
                         const struct cw_pool_vm *vm),
            void *arg)
{
    (void)vm;
    port_call_new(ctx, arg)->vm = done;
}

static void
worker_reports(void *ctx, uint32_t cell, uint32_t cells, uint64_t since,
               void (*done)(void *arg, enum cw_status s, uint64_t version,
                            size_t count,
                            const struct cw_worker_report *reports),
               void *arg)
{
    (void)cell;
    (void)cells;
    (void)since;
    port_call_new(ctx, arg)->reports = done;
}

static void
worker_call(void *ctx, enum cw_worker_call what,
            const struct cw_task_order *order,
            void (*done)(void *arg, enum cw_status s), void *arg)
{
    (void)what;
    (void)order;
    port_call_new(ctx, arg)->call = done;
}

static void
on_pump(uv_timer_t *t)
{
    struct du *u = t->data;

    du_log_pump(&u->log);
    port_calls_fail(u);
}

static void
set_ports(struct du *u)
{
    du_log_port(&u->log, &u->d.log);
    u->d.vmlist.ctx = u;
    u->d.pool.ctx = u;
    u->d.worker.ctx = u;
    u->d.vmlist.get = list_get;
    u->d.pool.call = pool_call;
    u->d.pool.get_status = pool_status;
    u->d.worker.get_reports = worker_reports;
    u->d.worker.call = worker_call;
}

/* ---- daemon ---------------------------------------------------------- */

static void
set_name(struct cw_name *n, const char *text)
{
    assert_int_equal(cw_name_set(n, cw_str_from(text)), CW_OK);
}

static void
fill_settings(struct du *u)
{
    struct cw_settings *s = &u->settings;

    set_name(&s->daemon, "d1");
    set_name(&s->dc, "dc1");
    set_name(&s->listen, "127.0.0.1:0");
    set_name(&s->peer_listen, "127.0.0.1:0");
    set_name(&s->admin_listen, "127.0.0.1:0");
    s->heartbeat_ms = 1000;
    /* Also the time until a new daemon may use its slots. */
    s->silent_ms = 900;
    s->slot_guard_ms = 1;
    s->probe_ms = 20;
    s->stat_ms = CW_HOUR;
    s->drain_ms = DU_WAIT_MS;
    s->key_streams = 1;
    s->key_window_ms = 600000;
    s->cells = 1;
    s->seed = 1;
}

static void
fill_log(struct du *u, const char *doc_extra)
{
    struct cw_buf doc;
    struct cw_buf rec;

    cw_buf_init(&doc);
    cw_buf_addf(&doc,
                "{\"service\":\"stock\",\"team\":\"t\",\"capacity\":"
                "{\"vms_min\":1,\"vms_max\":2},"
                "\"availability\":{\"target\":0.99}%s}",
                doc_extra);
    cw_buf_init(&rec);
    cw_buf_addf(&rec, "{\"type\":\"doc\",\"id\":\"r1\",\"by\":\"op\","
                      "\"time\":1,\"service\":\"stock\",\"base\":0,\"doc\":");
    cw_buf_add_json(&rec, cw_buf_str(&doc));
    cw_buf_add(&rec, "}", 2);
    du_log_add(&u->log, "config", rec.ptr);
    cw_buf_clear(&rec);
    cw_buf_addf(&rec,
                "{\"type\":\"vm\",\"id\":\"r2\",\"by\":\"d0\",\"time\":1,"
                "\"vm\":\"v1\",\"incarnation\":1,\"pool\":\"stock\","
                "\"dc\":\"dc1\",\"rack\":\"r1\",\"address\":\"%s\"}",
                u->endpoint_address);
    cw_buf_add(&rec, "", 1);
    du_log_add(&u->log, "config", rec.ptr);
    cw_buf_finish(&rec);
    cw_buf_finish(&doc);
}

static bool
slot_free(void *arg)
{
    struct du *u = arg;
    struct cw_service_load load;

    if (cw_dispatch_service_count(&u->d) == 0) {
        return false;
    }
    cw_dispatch_service_load(&u->d, 0, cw_daemon_now(&u->d), &load);
    return load.free_slots > 0;
}

void
du_start(struct du *u, const char *doc_extra)
{
    memset(u, 0, sizeof(*u));
    u->log.u = u;
    cw_buf_init(&u->last_request);
    cw_logger_setup(CW_ERROR, stderr, "test");
    (void)signal(SIGPIPE, SIG_IGN);
    assert_int_equal(uv_loop_init(&u->loop), 0);
    u->endpoint.data = u;
    (void)snprintf(u->endpoint_address, sizeof(u->endpoint_address),
                   "127.0.0.1:%d",
                   bind_any_port(&u->loop, &u->endpoint, on_endpoint_accept));
    fill_settings(u);
    fill_log(u, doc_extra);
    u->d.loop = &u->loop;
    u->d.clock = cw_clock_system();
    u->d.settings = &u->settings;
    set_ports(u);
    assert_int_equal(uv_timer_init(&u->loop, &u->pump), 0);
    u->pump.data = u;
    assert_int_equal(uv_timer_start(&u->pump, on_pump, 1, 1), 0);
    assert_int_equal(uv_timer_init(&u->loop, &u->timeout), 0);
    if (cw_daemon_start(&u->d) != CW_OK) {
        fail_msg("%s", u->d.msg);
    }
    du_run_until(u, slot_free, u);
}

void
du_stop(struct du *u)
{
    u->d.stopped = true;
    /* Pending calls end before the daemon, as with the real clients. */
    u->log.mode = DU_LOG_DOWN;
    for (int i = 0; i < 100 && (u->log.calls != NULL || u->port_calls != NULL);
         i++) {
        du_log_pump(&u->log);
        port_calls_fail(u);
    }
    cw_daemon_finish(&u->d);
    uv_close((uv_handle_t *)&u->pump, NULL);
    uv_close((uv_handle_t *)&u->timeout, NULL);
    uv_close((uv_handle_t *)&u->endpoint, NULL);
    while (u->conns != NULL) {
        conn_close(u->conns);
    }
    for (int i = 0; i < 100 && uv_loop_close(&u->loop) != 0; i++) {
        (void)uv_run(&u->loop, UV_RUN_NOWAIT);
    }
    du_log_finish(&u->log);
    cw_buf_finish(&u->last_request);
}

static void
on_timeout(uv_timer_t *t)
{
    struct du *u = t->data;

    u->timed_out = true;
}

void
du_run_until(struct du *u, bool (*cond)(void *arg), void *arg)
{
    u->timed_out = false;
    u->timeout.data = u;
    assert_int_equal(uv_timer_start(&u->timeout, on_timeout, DU_WAIT_MS, 0),
                     0);
    while (!cond(arg)) {
        (void)uv_run(&u->loop, UV_RUN_ONCE);
        if (u->timed_out) {
            fail_msg("the awaited event did not occur in time");
        }
    }
    (void)uv_timer_stop(&u->timeout);
}

/* ---- caller ---------------------------------------------------------- */

static void
on_caller_read(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
    struct du_conn *c = (struct du_conn *)s;

    if (n < 0) {
        c->ended = true;
        (void)uv_read_stop(s);
        return;
    }
    cw_buf_add(&c->in, buf->base, (size_t)n);
}

static void
on_request_written(uv_write_t *w, int status)
{
    (void)w;
    (void)status;
}

static void
on_connected(uv_connect_t *req, int status)
{
    struct du_conn *c = req->data;
    uv_buf_t buf =
        uv_buf_init((char *)c->request.ptr, (unsigned)c->request.len);

    assert_int_equal(status, 0);
    assert_int_equal(
        uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_caller_read), 0);
    (void)uv_write(&c->write, (uv_stream_t *)&c->tcp, &buf, 1,
                   on_request_written);
}

static bool
caller_ended(void *arg)
{
    return ((struct du_conn *)arg)->ended;
}

void
du_exchange(struct du *u, struct cw_str request, struct cw_buf *response)
{
    struct du_conn *c = conn_new(u);
    const char *colon = strchr(u->d.listen.text, ':');
    struct sockaddr_in sa;

    c->caller = true;
    c->request = request;
    c->connect.data = c;
    assert_int_equal(
        uv_ip4_addr("127.0.0.1", (int)strtol(colon + 1, NULL, 10), &sa), 0);
    assert_int_equal(uv_tcp_connect(&c->connect, &c->tcp,
                                    (struct sockaddr *)&sa, on_connected),
                     0);
    du_run_until(u, caller_ended, c);
    cw_buf_clear(response);
    cw_buf_add_str(response, cw_buf_str(&c->in));
    conn_close(c);
}

unsigned
du_status(const struct cw_buf *response)
{
    if (response->len < 12 || memcmp(response->ptr, "HTTP/1.1 ", 9) != 0) {
        return 0;
    }
    return (unsigned)strtoul(response->ptr + 9, NULL, 10);
}

bool
du_has_header(const struct cw_buf *response, const char *line)
{
    size_t len = strlen(line);
    size_t pos = 0;

    while (pos + len + 2 <= response->len) {
        const char *nl =
            memmem(response->ptr + pos, response->len - pos, "\r\n", 2);
        size_t end;

        if (nl == NULL || nl == response->ptr + pos) {
            return false;
        }
        end = (size_t)(nl - response->ptr);
        if (end - pos == len &&
            strncasecmp(response->ptr + pos, line, len) == 0) {
            return true;
        }
        pos = end + 2;
    }
    return false;
}

struct cw_str
du_body(const struct cw_buf *response)
{
    const char *end = memmem(response->ptr, response->len, "\r\n\r\n", 4);
    struct cw_str none = {NULL, 0};

    if (end == NULL) {
        return none;
    }
    end += 4;
    return (struct cw_str){end, response->len - (size_t)(end - response->ptr)};
}
