/* Tests the HTTP calls against a server on the same loop that answers as each
 * case says. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "cw_http_call.h"
#include "platform_int.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

static uv_loop_t loop;
static struct {
    uv_tcp_t listener;
    char address[32];
    const char *answer;
    size_t connections;
    size_t bytes_received;
    bool close_after; /* each answer */
    char last[512];   /* bytes received last */
} server;

struct peer {
    uv_tcp_t tcp;
    uv_write_t write;
};

static void
on_alloc(uv_handle_t *h, size_t n, uv_buf_t *b)
{
    static char bytes[4096];

    (void)h;
    (void)n;
    *b = uv_buf_init(bytes, sizeof(bytes));
}

static void
on_peer_closed(uv_handle_t *h)
{
    free(h);
}

static void
on_peer_read(uv_stream_t *s, ssize_t n, const uv_buf_t *b)
{
    struct peer *p = (struct peer *)s;
    uv_buf_t out =
        uv_buf_init((char *)server.answer, (unsigned)strlen(server.answer));

    if (n <= 0) {
        uv_close((uv_handle_t *)s, on_peer_closed);
        return;
    }
    server.bytes_received += (size_t)n;
    (void)snprintf(server.last, sizeof(server.last), "%.*s", (int)n, b->base);
    (void)uv_write(&p->write, s, &out, 1, NULL);
    if (server.close_after) {
        uv_close((uv_handle_t *)s, on_peer_closed);
    }
}

static void
on_peer(uv_stream_t *l, int status)
{
    struct peer *p = calloc(1, sizeof(*p));

    assert_int_equal(status, 0);
    assert_non_null(p);
    server.connections++;
    assert_int_equal(uv_tcp_init(&loop, &p->tcp), 0);
    assert_int_equal(uv_accept(l, (uv_stream_t *)&p->tcp), 0);
    assert_int_equal(
        uv_read_start((uv_stream_t *)&p->tcp, on_alloc, on_peer_read), 0);
}

static int
setup(void **state)
{
    struct sockaddr_in sa;
    int len = sizeof(sa);

    (void)state;
    memset(&server, 0, sizeof(server));
    if (uv_loop_init(&loop) != 0 ||
        uv_tcp_init(&loop, &server.listener) != 0 ||
        uv_ip4_addr("127.0.0.1", 0, &sa) != 0 ||
        uv_tcp_bind(&server.listener, (struct sockaddr *)&sa, 0) != 0 ||
        uv_listen((uv_stream_t *)&server.listener, 16, on_peer) != 0 ||
        uv_tcp_getsockname(&server.listener, (struct sockaddr *)&sa, &len) !=
            0) {
        return -1;
    }
    (void)snprintf(server.address, sizeof(server.address), "127.0.0.1:%d",
                   ntohs(sa.sin_port));
    return 0;
}

static int
teardown(void **state)
{
    (void)state;
    uv_close((uv_handle_t *)&server.listener, NULL);
    while (uv_run(&loop, UV_RUN_DEFAULT) != 0) {
    }
    return uv_loop_close(&loop) == 0 ? 0 : -1;
}

struct outcome {
    int done;
    enum cw_status status;
    int code;
    char body[64];
};

static void
on_done(void *arg, enum cw_status s, const struct cw_http_answer *a)
{
    struct outcome *o = arg;

    o->done++;
    o->status = s;
    o->code = a->status;
    (void)snprintf(o->body, sizeof(o->body), "%.*s", CW_FMT(a->body));
}

static struct outcome
run_call(struct cw_http_client *c, cw_ms timeout)
{
    struct outcome o = {0};
    struct cw_http_request r = {"POST", "/x", CW_LIT("{}"), timeout, NULL};

    cw_http_call(c, &r, on_done, &o);
    while (o.done == 0) {
        uv_run(&loop, UV_RUN_ONCE);
    }
    return o;
}

/* What a peer sends decides the status, never the process: a malformed answer
 * ends one call, and its connection is not used again. */
static void
test_answers(void **state)
{
    (void)state;
    static const struct {
        const char *answer;
        enum cw_status status;
        int code;
        const char *body;
        size_t connections; /* after a second call */
    } cases[] = {
        {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", CW_OK, 200, "{}",
         1},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
         "1\r\n{\r\n1\r\n}\r\n0\r\n\r\n",
         CW_OK, 200, "{}", 1},
        {"HTTP/1.1 100 Continue\r\n\r\n"
         "HTTP/1.1 204 No Content\r\n\r\n",
         CW_OK, 204, "", 1},
        {"HTTP/1.1 503 X\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
         CW_OK, 503, "", 2},
        {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}HTTP/1.1 200 O", CW_OK,
         200, "{}", 2},
        {"nonsense\r\n\r\n", CW_ERR_UNKNOWN, 0, "", 2},
        {"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n", CW_ERR_UNKNOWN, 0,
         "", 2},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
         CW_ERR_UNKNOWN, 200, "", 2},
    };

    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_http_client c;

        server.answer = cases[i].answer;
        server.connections = 0;
        assert_int_equal(cw_http_client_init(&c, &loop, server.address),
                         CW_OK);
        for (int k = 0; k < 2; k++) {
            struct outcome o = run_call(&c, 5000);

            if (o.status != cases[i].status || o.code != cases[i].code ||
                strcmp(o.body, cases[i].body) != 0) {
                fail_msg("case %zu: status %s code %d body %s", i,
                         cw_status_name(o.status), o.code, o.body);
            }
        }
        if (server.connections != cases[i].connections) {
            fail_msg("case %zu: %zu connections", i, server.connections);
        }
        cw_http_client_finish(&c);
        (void)uv_run(&loop, UV_RUN_NOWAIT);
    }
}

/* Guards against a start that reaches another process than was known: only a
 * connection that is open already, and was so at the time, bears a call to the
 * process that listened then. */
static void
test_reuse_of_a_connection(void **state)
{
    (void)state;
    struct cw_clock clock = cw_clock_system();
    cw_ms began = clock.now(clock.ctx);
    struct cw_http_client c;

    server.answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    assert_int_equal(cw_http_client_init(&c, &loop, server.address), CW_OK);
    assert_false(cw_http_client_reuses(&c, began + 60000));
    (void)run_call(&c, 5000);
    assert_true(cw_http_client_reuses(&c, began + 60000));
    assert_false(cw_http_client_reuses(&c, began));
    server.close_after = true;
    (void)run_call(&c, 5000);
    for (int i = 0; i < 1000 && cw_http_client_reuses(&c, began + 60000);
         i++) {
        uv_run(&loop, UV_RUN_ONCE);
    }
    assert_false(cw_http_client_reuses(&c, began + 60000));
    cw_http_client_finish(&c);
    (void)uv_run(&loop, UV_RUN_NOWAIT);
}

/* Guards against a checked start that goes out on another connection than the
 * one that was checked: the mark stays with its connection, which is preferred
 * to one that became idle later, and ends with it. */
static void
test_mark_of_a_connection(void **state)
{
    (void)state;
    struct cw_http_client c;
    struct outcome both[2] = {{0}, {0}};
    struct cw_http_request r = {"POST", "/x", CW_LIT("{}"), 5000, NULL};

    server.answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    server.connections = 0;
    assert_int_equal(cw_http_client_init(&c, &loop, server.address), CW_OK);
    (void)run_call(&c, 5000);
    assert_false(cw_http_client_prefer_marked(&c, 7));
    cw_http_client_mark(&c, 7); /* as within the call's done function */
    assert_false(cw_http_client_prefer_marked(&c, 8));
    for (int i = 0; i < 2; i++) {
        cw_http_call(&c, &r, on_done, &both[i]);
    }
    while (both[0].done == 0 || both[1].done == 0) {
        uv_run(&loop, UV_RUN_ONCE);
    }
    assert_int_equal(server.connections, 2);
    assert_true(cw_http_client_prefer_marked(&c, 7));
    server.close_after = true; /* ends the marked one with its next answer */
    (void)run_call(&c, 5000);
    for (int i = 0; i < 1000 && cw_http_client_prefer_marked(&c, 7); i++) {
        uv_run(&loop, UV_RUN_ONCE);
    }
    assert_false(cw_http_client_prefer_marked(&c, 7));
    assert_non_null(c.idle);
    cw_http_client_finish(&c);
    (void)uv_run(&loop, UV_RUN_NOWAIT);
}

#define PAUSE_MS 300

static void
pause_process(void)
{
    struct timespec ts = {0, PAUSE_MS * 1000000L};

    (void)nanosleep(&ts, NULL);
}

/* The process is paused while a connection opens, past the deadline of the
 * call: the request is not sent any more. */
static void
test_nothing_is_sent_after_a_pause(void **state)
{
    (void)state;
    struct cw_http_client c;
    struct outcome o = {0};
    struct cw_http_request r = {"POST", "/x", CW_LIT("{}"), PAUSE_MS / 3,
                                NULL};

    server.answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    assert_int_equal(cw_http_client_init(&c, &loop, server.address), CW_OK);
    cw_http_call(&c, &r, on_done, &o);
    pause_process();
    while (o.done == 0) {
        uv_run(&loop, UV_RUN_ONCE);
    }
    assert_int_equal(o.status, CW_ERR_TIMEOUT);
    cw_http_client_finish(&c);
    for (int i = 0; i < 20; i++) {
        (void)uv_run(&loop, UV_RUN_NOWAIT);
    }
    assert_int_equal(server.bytes_received, 0);
}

static bool
on_wire(const char *answer)
{
    static char text[400];

    (void)snprintf(text, sizeof(text), "%s", answer);
    server.answer = text;
    return true;
}

struct report_outcome {
    int done;
    enum cw_status status;
    bool proved;
    bool partial;
    size_t running;
    size_t ended;
};

static const struct cw_report_order plain = {.epoch = 1};

static void
on_report(void *arg, enum cw_status s, struct cw_run_report *r)
{
    struct report_outcome *o = arg;

    o->done++;
    o->status = s;
    o->proved = r != NULL && r->proved;
    o->partial = r != NULL && r->partial;
    o->running = r != NULL ? r->running_count : 0;
    o->ended = r != NULL ? r->ended_count : 0;
}

/* A worker that answers 503 lives and may run its tasks. Taken for a refused
 * connection, its tasks were started elsewhere once its entry had expired. */
static void
test_unwell_worker_is_not_gone(void **state)
{
    (void)state;
    static const struct {
        const char *answer;
        enum cw_status status;
    } cases[] = {
        {"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", CW_ERR_LIMIT},
        {"HTTP/1.1 429 X\r\nContent-Length: 0\r\n\r\n", CW_ERR_LIMIT},
        {"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n", CW_ERR_NOT_FOUND},
        {"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n[]", CW_ERR_INVALID},
    };
    struct cw_platform p = {.loop = &loop};
    struct cw_job_ports ports = {.ctx = &p};
    struct cw_name id;
    struct cw_name address;

    pf_worker_port(&ports);
    (void)cw_name_set(&id, CW_LIT("i-1"));
    (void)cw_name_set(&address, cw_str_from(server.address));
    for (size_t i = 0; i < COUNT(cases); i++) {
        struct report_outcome o = {0};
        struct cw_worker_conn *c = ports.exec.open(&p, &id, &address);

        assert_non_null(c);
        assert_true(on_wire(cases[i].answer));
        ports.exec.poll(c, &plain, 5000, on_report, &o);
        while (o.done == 0) {
            uv_run(&loop, UV_RUN_ONCE);
        }
        assert_int_equal(o.status, cases[i].status);
        ports.exec.close(c);
    }
}

static void
on_stopped(void *arg, enum cw_status s)
{
    struct outcome *o = arg;

    o->done++;
    o->status = s;
}

/* TWICE: a worker restarted on a VM whose time of day had gone back. Its
 * report was not believed at first, but the next call carried what was meant
 * for the incarnation before: ends were forgotten unseen, and the lease was
 * longer than counted. */
static void
test_acks_reach_the_known_incarnation(void **state)
{
    (void)state;
    static const struct {
        int64_t known;
        bool carries;
    } cases[] = {{2, false}, {2, false}, {1, true}, {1, true}, {0, false}};
    struct cw_platform p = {.loop = &loop};
    struct cw_job_ports ports = {.ctx = &p};
    struct cw_worker_conn *c;
    struct cw_name id;
    struct cw_name address;

    pf_worker_port(&ports);
    (void)cw_name_set(&id, CW_LIT("i-1"));
    (void)cw_name_set(&address, cw_str_from(server.address));
    c = ports.exec.open(&p, &id, &address);
    assert_non_null(c);
    assert_true(on_wire("HTTP/1.1 200 X\r\nContent-Length: 46\r\n\r\n"
                        "{\"clockMs\":5,\"running\":[],\"ended\":[],"
                        "\"born\":1}"));
    for (size_t i = 0; i < COUNT(cases); i++) {
        const struct cw_report_order order = {.epoch = 1,
                                              .born_wall = cases[i].known,
                                              .until_ms = 486000,
                                              .acked = 57};
        struct report_outcome o = {0};

        ports.exec.poll(c, &order, 5000, on_report, &o);
        while (o.done == 0) {
            uv_run(&loop, UV_RUN_ONCE);
        }
        assert_int_equal(o.status, CW_OK);
        assert_int_equal(o.proved, cases[i].carries);
        assert_int_equal(strstr(server.last, "\"ackedThrough\":57") != NULL,
                         cases[i].carries);
        assert_int_equal(strstr(server.last, "untilMs") != NULL,
                         cases[i].carries);
    }
    ports.exec.close(c);
}

/* A worker that restarted under its id took the acknowledgement of its former
 * incarnation for its own and forgot ends that were never seen, so that their
 * tasks ran twice; and it took the end of the lease for far ahead on its new
 * clock. Only a process that has reported on a connection gets them there,
 * unless the caller allows others: a worker that closes each connection got
 * neither, so that its runs lapsed and started again and again. */
static void
test_acks_reach_one_incarnation(void **state)
{
    (void)state;
#define REPORT                                                                \
    "HTTP/1.1 200 X\r\nContent-Length: 39\r\n\r\n"                            \
    "{\"clockMs\":5,\"running\":[],\"ended\":[]}  "
    static const struct {
        const char *answer;
        bool close_after; /* as the process ends */
        bool order;       /* a stop is sent before the report call */
        bool proved;      /* the call carries acknowledgement and lease */
        bool acked;       /* the caller allows them to others */
        bool until;
    } cases[] = {
        {REPORT, false, false, false, false, false}, /* the first call */
        {REPORT, false, false, true, false, false},
        /* orders use their own connections */
        {REPORT, false, true, true, false, false},
        {REPORT, true, false, true, false, false},
        /* after a restart */
        {REPORT, false, false, false, false, false},
        {"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", true, false, true,
         false, false},
        {"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", false, false, false,
         false, false},
        /* no report on it so far */
        {REPORT, false, false, false, false, false},
        {REPORT, true, false, true, false, false},
        {REPORT, true, false, false, true, false},
        {REPORT, true, false, false, false, true},
        {REPORT, true, false, false, true, true},
    };
    struct cw_platform p = {.loop = &loop};
    struct cw_job_ports ports = {.ctx = &p};
    struct cw_run_row row = {.job = 7, .run = 1};
    struct cw_worker_conn *c;
    struct cw_name id;
    struct cw_name address;

    pf_worker_port(&ports);
    (void)cw_name_set(&id, CW_LIT("i-1"));
    (void)cw_name_set(&address, cw_str_from(server.address));
    c = ports.exec.open(&p, &id, &address);
    assert_non_null(c);
    for (size_t i = 0; i < COUNT(cases); i++) {
        const struct cw_report_order full = {.epoch = 1,
                                             .until_ms = 486000,
                                             .acked = 57,
                                             .acked_unproved = cases[i].acked,
                                             .until_unproved = cases[i].until};
        struct report_outcome o = {0};
        struct outcome stopped = {0};

        assert_true(on_wire(cases[i].answer));
        server.close_after = cases[i].close_after;
        if (cases[i].order) {
            ports.exec.stop(c, &row, 1, 5000, on_stopped, &stopped);
            while (stopped.done == 0) {
                uv_run(&loop, UV_RUN_ONCE);
            }
        }
        ports.exec.poll(c, &full, 5000, on_report, &o);
        while (o.done == 0) {
            uv_run(&loop, UV_RUN_ONCE);
        }
        for (int k = 0; k < 20; k++) {
            (void)uv_run(&loop, UV_RUN_NOWAIT);
        }
        assert_int_equal(strstr(server.last, "\"ackedThrough\":57") != NULL,
                         cases[i].proved || cases[i].acked);
        assert_int_equal(strstr(server.last, "\"untilMs\":486000") != NULL,
                         cases[i].proved || cases[i].until);
        assert_int_equal(o.proved, cases[i].proved && o.status == CW_OK);
    }
    ports.exec.close(c);
}

/* Rows that can't be read were left out of the report, so that their runs
 * looked as if they had ended, and started again. */
static void
test_unreadable_rows(void **state)
{
    (void)state;
#define TASK "\"00000000000000a1.0.0.1\""
    static const struct {
        const char *running;
        const char *ended;
        bool partial;
        size_t running_count;
        size_t ended_count;
    } cases[] = {
        {"[" TASK ",1,\"\",40]", "[1," TASK ",1,\"done\",\"\"]", false, 1, 1},
        {"[" TASK ",1,\"\",40],[\"x\",1,\"\",40]", "", true, 1, 0},
        {"[7,1,\"\",40],[" TASK ",1,\"\",40]", "", true, 1, 0},
        {"[" TASK ",\"1\",\"\",40]", "", true, 0, 0},
        {"{}", "", true, 0, 0},
        {"", "[1,\"\",1,\"done\",\"\"],[2," TASK ",1,\"done\",\"\"]", true, 0,
         1},
        {"", "[\"1\"," TASK ",1,\"done\",\"\"]", true, 0, 0},
        {"", "[1," TASK ",1,\"vanished\",\"\"]", false, 0, 1}, /* an end */
        {"", "3", true, 0, 0},
    };
    struct cw_platform p = {.loop = &loop};
    struct cw_job_ports ports = {.ctx = &p};
    struct cw_worker_conn *c;
    struct cw_name id;
    struct cw_name address;

    pf_worker_port(&ports);
    (void)cw_name_set(&id, CW_LIT("i-1"));
    (void)cw_name_set(&address, cw_str_from(server.address));
    c = ports.exec.open(&p, &id, &address);
    assert_non_null(c);
    for (size_t i = 0; i < COUNT(cases); i++) {
        struct report_outcome o = {0};
        char body[256];
        char answer[400];
        int n = snprintf(body, sizeof(body),
                         "{\"clockMs\":5,\"running\":[%s],\"ended\":[%s]}",
                         cases[i].running, cases[i].ended);

        (void)snprintf(answer, sizeof(answer),
                       "HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%s", n,
                       body);
        assert_true(on_wire(answer));
        ports.exec.poll(c, &plain, 5000, on_report, &o);
        while (o.done == 0) {
            uv_run(&loop, UV_RUN_ONCE);
        }
        assert_int_equal(o.status, CW_OK);
        assert_int_equal(o.partial, cases[i].partial);
        assert_int_equal(o.running, cases[i].running_count);
        assert_int_equal(o.ended, cases[i].ended_count);
    }
    ports.exec.close(c);
}

struct start_outcome {
    int done;
    enum cw_status status;
    enum cw_start_answer answer;
};

static void
on_started(void *arg, enum cw_status s, enum cw_start_answer answer,
           int64_t clock_ms)
{
    struct start_outcome *o = arg;

    (void)clock_ms;
    o->done++;
    o->status = s;
    o->answer = answer;
}

/* TWICE: a start that may have been carried out, as its answer never came,
 * counted as one that was not sent. A fence that refuses it ends the role, and
 * is no refusal for want of room. */
static void
test_answers_to_a_start(void **state)
{
    (void)state;
    static const struct {
        const char *answer;
        enum cw_status status;
        enum cw_start_answer start; /* if the status is CW_OK */
    } cases[] = {
        {"HTTP/1.1 200 X\r\nContent-Length: 15\r\n\r\n{\"clockMs\":1234}",
         CW_OK, CW_START_OK},
        {"HTTP/1.1 409 X\r\nContent-Length: 18\r\n\r\n"
         "{\"reason\":\"fence\"}",
         CW_ERR_FENCED, CW_START_OK},
        {"HTTP/1.1 409 X\r\nContent-Length: 16\r\n\r\n{\"reason\":\"old\"}",
         CW_OK, CW_START_STALE},
        {"HTTP/1.1 409 X\r\nContent-Length: 17\r\n\r\n{\"reason\":\"late\"}",
         CW_OK, CW_START_LATE},
        {"HTTP/1.1 409 X\r\nContent-Length: 17\r\n\r\n{\"reason\":\"room\"}",
         CW_OK, CW_START_NO_CAPACITY},
        {"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n", CW_OK,
         CW_START_OTHER_INCARNATION},
        {"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", CW_OK,
         CW_START_REFUSED},
        {"HTTP/1.1 429 X\r\nContent-Length: 0\r\n\r\n", CW_OK,
         CW_START_REFUSED},
        {"HTTP/1.1 400 X\r\nContent-Length: 0\r\n\r\n", CW_OK,
         CW_START_REFUSED},
        /* It may have been carried out. */
        {"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", CW_ERR_UNKNOWN,
         CW_START_OK},
        {"HTTP/1.1 504 X\r\nContent-Length: 0\r\n\r\n", CW_ERR_UNKNOWN,
         CW_START_OK},
        /* No final answer until the deadline. */
        {"HTTP/1.1 100 X\r\n\r\n", CW_ERR_UNKNOWN, CW_START_OK},
    };
    struct cw_platform p = {.loop = &loop};
    struct cw_job_ports ports = {.ctx = &p};
    struct cw_start_order order = {
        .run = {.job = 7, .run = 1}, .text = CW_LIT("x"), .epoch = 1};
    struct cw_name id;
    struct cw_name address;

    pf_worker_port(&ports);
    (void)cw_name_set(&id, CW_LIT("i-1"));
    (void)cw_name_set(&address, cw_str_from(server.address));
    for (size_t i = 0; i < COUNT(cases); i++) {
        struct start_outcome o = {0};
        struct cw_worker_conn *c = ports.exec.open(&p, &id, &address);

        assert_non_null(c);
        assert_true(on_wire(cases[i].answer));
        ports.exec.start(c, &order,
                         cases[i].status == CW_ERR_UNKNOWN ? 300 : 5000,
                         on_started, &o);
        while (o.done == 0) {
            uv_run(&loop, UV_RUN_ONCE);
        }
        assert_int_equal(o.status, cases[i].status);
        assert_int_equal(o.status == CW_OK ? o.answer : cases[i].start,
                         cases[i].start);
        ports.exec.close(c);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_answers, setup, teardown),
        cmocka_unit_test_setup_teardown(test_reuse_of_a_connection, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_mark_of_a_connection, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_nothing_is_sent_after_a_pause,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(test_unwell_worker_is_not_gone, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_acks_reach_the_known_incarnation,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(test_acks_reach_one_incarnation, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_unreadable_rows, setup, teardown),
        cmocka_unit_test_setup_teardown(test_answers_to_a_start, setup,
                                        teardown),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
