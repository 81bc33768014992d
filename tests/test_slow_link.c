/* Tests answers that arrive in pieces, as on a slow link, against a server on
 * the same loop. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <cmocka.h>

#include "cw_clients.h"
#include "platform_int.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define PIECES_MAX 32
#define PIECE_MS 200
#define ANSWER_MAX 2000

static uv_loop_t loop;

static struct {
    uv_tcp_t listener;
    char address[32];
    const char *answer;
    size_t pieces;    /* in which an answer is sent, one each PIECE_MS */
    size_t silent_at; /* piece that is never sent; 0: none */
    size_t requests;
    size_t closed; /* connections, by the client */
} server;

struct peer {
    uv_tcp_t tcp;
    uv_timer_t timer; /* between pieces */
    uv_write_t writes[PIECES_MAX];
    size_t piece; /* next one */
    int handles;
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
    struct peer *p = h->data;

    if (--p->handles == 0) {
        free(p);
    }
}

static void
on_piece_due(uv_timer_t *t)
{
    struct peer *p = t->data;
    size_t size = strlen(server.answer) / server.pieces + 1;
    size_t from = p->piece * size;
    size_t left = strlen(server.answer) - from;
    uv_buf_t out = uv_buf_init((char *)server.answer + from,
                               (unsigned)(left < size ? left : size));

    if (server.silent_at > 0 && p->piece == server.silent_at) {
        uv_timer_stop(t);
        return;
    }
    (void)uv_write(&p->writes[p->piece++], (uv_stream_t *)&p->tcp, &out, 1,
                   NULL);
    if (p->piece == server.pieces || left <= size) {
        uv_timer_stop(t);
    }
}

static void
on_peer_read(uv_stream_t *s, ssize_t n, const uv_buf_t *b)
{
    struct peer *p = s->data;

    (void)b;
    if (n <= 0) {
        server.closed++;
        uv_close((uv_handle_t *)&p->tcp, on_peer_closed);
        uv_close((uv_handle_t *)&p->timer, on_peer_closed);
        return;
    }
    server.requests++;
    p->piece = 0;
    (void)uv_timer_start(&p->timer, on_piece_due, 0, PIECE_MS);
}

static void
on_peer(uv_stream_t *l, int status)
{
    struct peer *p = calloc(1, sizeof(*p));

    assert_int_equal(status, 0);
    assert_non_null(p);
    assert_int_equal(uv_tcp_init(&loop, &p->tcp), 0);
    assert_int_equal(uv_timer_init(&loop, &p->timer), 0);
    p->tcp.data = p;
    p->timer.data = p;
    p->handles = 2;
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
};

static void
on_done(void *arg, enum cw_status s, const struct cw_http_answer *a)
{
    struct outcome *o = arg;

    (void)a;
    o->done++;
    o->status = s;
}

/* CONFIG: an answer that took longer than its call's time limit was given up
 * and asked for again from its first byte, so that a configuration of some
 * thousand routes never arrived on a slow link. The limit is for an answer
 * that has not begun or no longer arrives; that of other calls stays. */
static void
test_large_answer_on_a_slow_link(void **state)
{
    (void)state;
    static const char answer[] =
        "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n"
        "0123456789012345678901234567890123456789";
    static const struct {
        bool fetch;
        size_t silent_at;
        cw_ms stall_ms;
        enum cw_status status;
        size_t received;
    } cases[] = {
        {true, 0, 5000, CW_OK, 40},
        {false, 0, 0, CW_ERR_UNKNOWN, 0},
        {true, 6, 2000, CW_ERR_UNKNOWN, 21},
        {true, 1, 5000, CW_ERR_UNKNOWN, 0},
    };
    struct cw_http_request r = {"GET", "/x", CW_LIT(""), 1000, NULL};

    server.answer = answer;
    server.pieces = 8;
    for (size_t i = 0; i < COUNT(cases); i++) {
        struct outcome o = {0};
        struct cw_http_client c;
        size_t received = 0;

        server.silent_at = cases[i].silent_at;
        assert_int_equal(cw_http_client_init(&c, &loop, server.address),
                         CW_OK);
        if (cases[i].fetch) {
            cw_http_fetch(&c, &r, cases[i].stall_ms, &received, on_done, &o);
        }
        else {
            cw_http_call(&c, &r, on_done, &o);
        }
        while (o.done == 0) {
            uv_run(&loop, UV_RUN_ONCE);
        }
        if (o.status != cases[i].status || received != cases[i].received) {
            fail_msg("case %zu: status %s, %zu bytes", i,
                     cw_status_name(o.status), received);
        }
        cw_http_client_finish(&c);
        (void)uv_run(&loop, UV_RUN_NOWAIT);
    }
}

/* Guards against an answer that nobody waits for any more and that takes a
 * part of the link: a fetch that is cancelled closes its connection. */
static void
test_cancelled_fetch(void **state)
{
    (void)state;
    struct cw_http_request r = {"GET", "/x", CW_LIT(""), 5000, NULL};
    struct outcome o[2] = {{0}, {0}};
    struct cw_http_client c;
    size_t received[2] = {0};
    size_t of_none = 0;

    server.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    server.pieces = 3;
    server.silent_at = 1;
    assert_int_equal(cw_http_client_init(&c, &loop, server.address), CW_OK);
    for (int i = 0; i < 2; i++) {
        cw_http_fetch(&c, &r, 5000, &received[i], on_done, &o[i]);
    }
    while (server.requests < 2) {
        uv_run(&loop, UV_RUN_ONCE);
    }
    cw_http_cancel(&c, &of_none);
    assert_int_equal(o[0].done + o[1].done, 0);
    cw_http_cancel(&c, &received[0]);
    assert_int_equal(o[0].done, 1);
    assert_int_equal(o[0].status, CW_ERR_UNKNOWN);
    assert_int_equal(o[1].done, 0);
    while (server.closed == 0) {
        uv_run(&loop, UV_RUN_ONCE);
    }
    cw_http_cancel(&c, &received[0]);
    assert_int_equal(o[0].done, 1);
    cw_http_client_finish(&c);
    (void)uv_run(&loop, UV_RUN_NOWAIT);
}

/* ---- the ports ---- */

static void
on_page(void *arg, enum cw_status s, const struct cw_store_page *p)
{
    (void)p;
    on_done(arg, s, NULL);
}

static void
on_vms(void *arg, enum cw_status s, const struct cw_vm_page *p)
{
    (void)p;
    on_done(arg, s, NULL);
}

static void
on_batch(void *arg, enum cw_status s, const struct cw_log_batch *b)
{
    (void)b;
    on_done(arg, s, NULL);
}

static void
on_vm_list(void *arg, enum cw_status s, uint64_t version, size_t count,
           const struct cw_vm_info *vms)
{
    (void)version;
    (void)count;
    (void)vms;
    on_done(arg, s, NULL);
}

/* Guards against a list or a record that is too large for its reader's link:
 * each read of the store and of the VMs goes on past its time limit while the
 * answer arrives. */
static void
test_reads_take_large_answers(void **state)
{
    (void)state;
    static const char *const names[] = {"read", "read_latest", "list", "log",
                                        "vms"};
    static char body[ANSWER_MAX];
    static char answer[ANSWER_MAX + 100];
    struct outcome o[COUNT(names)] = {{0}};
    struct cw_platform p = {.loop = &loop, .has_machines = true};
    struct cw_job_ports ports = {.ctx = &p};
    struct cw_log_client log_client;
    struct cw_vmlist_client vm_client;
    struct cw_store_read read = {CW_STREAM_OPERATORS, 0, 0, 900, NULL};
    struct cw_log_port log;
    struct cw_vmlist_port vms;

    /* The longest limit is 5 s. */
    server.pieces = 28;
    (void)snprintf(body, sizeof(body),
                   "{\"items\":[],\"machines\":[],\"records\":[],\"vms\":[],"
                   "\"next\":9,\"first\":1,\"version\":1,\"fill\":\"%1000s\"}",
                   "");
    (void)snprintf(answer, sizeof(answer),
                   "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
                   strlen(body), body);
    server.answer = answer;
    assert_int_equal(cw_http_client_init(&p.store, &loop, server.address),
                     CW_OK);
    assert_int_equal(cw_http_client_init(&p.machines, &loop, server.address),
                     CW_OK);
    assert_int_equal(cw_log_client_init(&log_client, &loop, server.address),
                     CW_OK);
    assert_int_equal(cw_vmlist_client_init(&vm_client, &loop, server.address),
                     CW_OK);
    pf_store_port(&ports);
    pf_machine_port(&p, &ports);
    cw_log_client_port(&log_client, &log);
    cw_vmlist_client_port(&vm_client, &vms);
    ports.store.read(&p, &read, on_page, &o[0]);
    ports.store.read_latest(&p, CW_STREAM_JOBS, CW_LIT(""), 900, NULL, on_page,
                            &o[1]);
    ports.vmctl.list(&p, CW_LIT(""), 900, on_vms, &o[2]);
    log.read(log.ctx, "config", 1, 100, 0, on_batch, &o[3]);
    vms.get(vms.ctx, 0, on_vm_list, &o[4]);
    for (size_t i = 0; i < COUNT(names); i++) {
        while (o[i].done == 0) {
            uv_run(&loop, UV_RUN_ONCE);
        }
        if (o[i].status != CW_OK) {
            fail_msg("%s: %s", names[i], cw_status_name(o[i].status));
        }
    }
    cw_http_client_finish(&p.store);
    cw_http_client_finish(&p.machines);
    cw_log_client_finish(&log_client);
    cw_vmlist_client_finish(&vm_client);
    (void)uv_run(&loop, UV_RUN_NOWAIT);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_large_answer_on_a_slow_link,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(test_cancelled_fetch, setup, teardown),
        cmocka_unit_test_setup_teardown(test_reads_take_large_answers, setup,
                                        teardown),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
