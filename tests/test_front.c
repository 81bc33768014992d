/* The daemon's front end: which requests are rejected, what is passed on, and
 * the status and outcome that a caller gets when an endpoint fails. */
#include "daemon_util.h"

#include "cw_request.h"

#include <setjmp.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

static int
setup(void **state)
{
    struct du *u = calloc(1, sizeof(*u));

    assert_non_null(u);
    du_start(u, "");
    *state = u;
    return 0;
}

static int
teardown(void **state)
{
    du_stop(*state);
    free(*state);
    return 0;
}

static void
set_script(struct du *u, const char *response, bool close_after)
{
    memset(&u->script, 0, sizeof(u->script));
    u->script.response = response;
    u->script.len = response != NULL ? strlen(response) : 0;
    u->script.close = close_after;
}

#define HEAD_END "host: a\r\nconnection: close\r\n\r\n"

struct rejection {
    const char *name;
    const char *request;
    unsigned status;
    const char *code;
};

/* Guards against request smuggling, where daemon and endpoint disagree on
 * where a request ends, and against a rejected request whose outcome is not
 * reported as "not run". */
static void
test_rejected_requests(void **state)
{
    static const struct rejection cases[] = {
        {"length and coding",
         "POST /stock/a HTTP/1.1\r\ncontent-length: 3\r\n"
         "transfer-encoding: chunked\r\n" HEAD_END "0\r\n\r\n",
         400, "bad_framing"},
        {"two lengths",
         "POST /stock/a HTTP/1.1\r\ncontent-length: 3\r\n"
         "content-length: 3\r\n" HEAD_END "abc",
         400, "bad_framing"},
        {"folded line",
         "GET /stock/a HTTP/1.1\r\nx-a: 1\r\n content-length: 3\r\n" HEAD_END,
         400, "bad_framing"},
        {"unknown service", "GET /none/a HTTP/1.1\r\n" HEAD_END, 404,
         "unknown_service"},
        {"no service", "GET / HTTP/1.1\r\n" HEAD_END, 400, "bad_request"},
        {"bad name", "GET /%73tock/a HTTP/1.1\r\n" HEAD_END, 400,
         "bad_request"},
        {"old version", "GET /stock/a HTTP/1.0\r\nhost: a\r\n\r\n", 505,
         "http_version"},
        {"deadline",
         "GET /stock/a HTTP/1.1\r\ncuminwalk-deadline-ms: 0\r\n" HEAD_END, 400,
         "bad_request"},
        {"priority",
         "GET /stock/a HTTP/1.1\r\ncuminwalk-priority: high\r\n" HEAD_END, 400,
         "bad_request"},
        {"body above the limit",
         "POST /stock/a HTTP/1.1\r\ncontent-length: 1048577\r\n" HEAD_END, 413,
         "bad_request"},
    };
    struct du *u = *state;
    struct cw_buf response;

    cw_buf_init(&response);
    set_script(u, "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", false);
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        char code[64];

        du_exchange(u, cw_str_from(cases[i].request), &response);
        (void)snprintf(code, sizeof(code), "{\"code\":\"%s\"", cases[i].code);
        if (du_status(&response) != cases[i].status ||
            !du_has_header(&response, "cuminwalk-outcome: not-run") ||
            !cw_str_starts(du_body(&response), cw_str_from(code))) {
            fail_msg("%s: %.*s", cases[i].name, CW_FMT(cw_buf_str(&response)));
        }
    }
    assert_int_equal(u->endpoint_requests, 0);
    cw_buf_finish(&response);
}

/* Guards against header blocks that use memory beyond the limit. */
static void
test_header_limit(void **state)
{
    static const struct {
        size_t filler;
        unsigned status;
    } cases[] = {{15 * 1024, 200}, {17 * 1024, 431}};
    struct du *u = *state;
    struct cw_buf response;

    cw_buf_init(&response);
    set_script(u, "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", false);
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        struct cw_buf request;

        cw_buf_init(&request);
        cw_buf_addf(&request, "GET /stock/a HTTP/1.1\r\nx-fill: ");
        for (size_t k = 0; k < cases[i].filler; k++) {
            cw_buf_add(&request, "x", 1);
        }
        cw_buf_addf(&request, "\r\n" HEAD_END);
        du_exchange(u, cw_buf_str(&request), &response);
        assert_int_equal(du_status(&response), cases[i].status);
        cw_buf_finish(&request);
    }
    cw_buf_finish(&response);
}

static bool
endpoint_received(const struct du *u, const char *text)
{
    return memmem(u->last_request.ptr, u->last_request.len, text,
                  strlen(text)) != NULL;
}

/* Guards against hop-by-hop headers that are passed on, and against a caller
 * that forges the daemon's own headers. */
static void
test_hop_by_hop(void **state)
{
    static const char request[] =
        "POST /stock/a/b?c=1 HTTP/1.1\r\nhost: shop\r\n"
        "connection: close, x-private\r\nx-private: 1\r\nte: trailers\r\n"
        "keep-alive: timeout=5\r\nupgrade: h2c\r\nproxy-connection: close\r\n"
        "x-request-id: mine\r\ncuminwalk-request-id: forged\r\n"
        "transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    static const char *const stripped[] = {
        "x-private",         "\r\nte:",          "keep-alive", "upgrade",
        "transfer-encoding", "proxy-connection", "forged",     "connection:"};
    struct du *u = *state;
    struct cw_buf response;

    cw_buf_init(&response);
    set_script(u,
               "HTTP/1.1 201 Created\r\ncontent-length: 2\r\n"
               "connection: keep-alive, x-inner\r\nx-inner: 1\r\n"
               "keep-alive: timeout=9\r\nproxy-authenticate: b\r\nx-end: 1\r\n"
               "cuminwalk-outcome: not-run\r\n\r\nok",
               false);
    du_exchange(u, cw_str_from(request), &response);
    assert_int_equal(du_status(&response), 201);
    assert_true(cw_str_eq(du_body(&response), CW_LIT("ok")));
    assert_true(du_has_header(&response, "x-end: 1"));
    assert_true(du_has_header(&response, "cuminwalk-outcome: run"));
    assert_false(du_has_header(&response, "x-inner: 1"));
    assert_false(du_has_header(&response, "keep-alive: timeout=9"));
    assert_false(du_has_header(&response, "proxy-authenticate: b"));
    assert_false(du_has_header(&response, "cuminwalk-outcome: not-run"));
    for (size_t i = 0; i < sizeof(stripped) / sizeof(stripped[0]); i++) {
        if (endpoint_received(u, stripped[i])) {
            fail_msg("%s reached the endpoint", stripped[i]);
        }
    }
    assert_true(endpoint_received(u, "POST /a/b?c=1 HTTP/1.1\r\n"));
    assert_true(endpoint_received(u, "host: shop\r\n"));
    assert_true(endpoint_received(u, "x-request-id: mine\r\n"));
    assert_true(endpoint_received(u, "content-length: 5\r\n"));
    assert_true(endpoint_received(u, "\r\n\r\nabcde"));
    cw_buf_finish(&response);
}

struct failure {
    const char *name;
    const char *response;
    bool close;
    unsigned status;
    const char *outcome;
    unsigned runs; /* requests that the endpoint received */
};

/* Guards against outcome "not run" for a request that an endpoint may have
 * run, and against resending a request that is not idempotent. */
static void
test_endpoint_failures(void **state)
{
    static const struct failure cases[] = {
        {"closes without an answer", NULL, true, 502, "unknown", 1},
        {"closes in the head", "HTTP/1.1 200 O", true, 502, "unknown", 1},
        {"not HTTP", "hello\r\n\r\n", true, 502, "unknown", 1},
        {"no length, no coding", "HTTP/1.1 200 OK\r\n\r\nabc", true, 502,
         "unknown", 1},
        {"refuses",
         "HTTP/1.1 503 Busy\r\ncuminwalk-refused: full\r\n"
         "content-length: 0\r\n\r\n",
         false, 503, "not-run", 3},
        {"own 503", "HTTP/1.1 503 Busy\r\ncontent-length: 2\r\n\r\nno", false,
         503, "run", 1},
        {"own 404", "HTTP/1.1 404 None\r\ncontent-length: 2\r\n\r\nno", false,
         404, "run", 1},
    };
    struct du *u = *state;
    struct cw_buf response;

    cw_buf_init(&response);
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        char outcome[64];

        set_script(u, cases[i].response, cases[i].close);
        u->endpoint_requests = 0;
        du_exchange(u,
                    CW_LIT("POST /stock/a HTTP/1.1\r\n"
                           "content-length: 1\r\n" HEAD_END "x"),
                    &response);
        (void)snprintf(outcome, sizeof(outcome), "cuminwalk-outcome: %s",
                       cases[i].outcome);
        if (du_status(&response) != cases[i].status ||
            !du_has_header(&response, outcome) ||
            u->endpoint_requests != cases[i].runs) {
            fail_msg("%s: %u requests: %.*s", cases[i].name,
                     u->endpoint_requests, CW_FMT(cw_buf_str(&response)));
        }
    }
    cw_buf_finish(&response);
}

/* Guards against a failed connect with an outcome other than "not run". */
static void
test_connect_failure(void **state)
{
    struct du *u = *state;
    struct cw_buf response;

    cw_buf_init(&response);
    /* The probe's connection stays open; new connections are refused. */
    uv_close((uv_handle_t *)&u->endpoint, NULL);
    set_script(u, NULL, true);
    du_exchange(u,
                CW_LIT("POST /stock/a HTTP/1.1\r\n"
                       "content-length: 1\r\n" HEAD_END "x"),
                &response);
    /* The request may have been sent on the idle connection of a probe. */
    if (u->endpoint_requests == 0) {
        assert_int_equal(du_status(&response), 503);
        assert_true(du_has_header(&response, "cuminwalk-outcome: not-run"));
    }
    else {
        assert_true(du_has_header(&response, "cuminwalk-outcome: unknown"));
    }
    assert_int_equal(uv_tcp_init(&u->loop, &u->endpoint), 0);
    cw_buf_finish(&response);
}

struct truncated_case {
    const char *name;
    const char *response;
    const char *framing_header; /* header line that the caller gets */
    const char *body;           /* most of the body that may arrive */
};

/* Guards against a truncated response that looks like a complete shorter one
 * (R3). */
static void
test_truncated_response(void **state)
{
    static const struct truncated_case cases[] = {
        {"length", "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabcd",
         "content-length: 10", "abcd"},
        {"chunked",
         "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
         "4\r\nabcd\r\n",
         "transfer-encoding: chunked", NULL},
        {"in a chunk",
         "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
         "8\r\nabcd",
         "transfer-encoding: chunked", NULL},
    };
    struct du *u = *state;
    struct cw_buf response;

    cw_buf_init(&response);
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        struct cw_str body;

        set_script(u, cases[i].response, true);
        du_exchange(u, CW_LIT("GET /stock/a HTTP/1.1\r\n" HEAD_END),
                    &response);
        body = du_body(&response);
        assert_int_equal(du_status(&response), 200);
        assert_true(du_has_header(&response, cases[i].framing_header));
        if (cases[i].body != NULL) {
            assert_true(body.len <= strlen(cases[i].body));
        }
        else if (memmem(body.ptr, body.len, "0\r\n\r\n", 5) != NULL) {
            fail_msg("%s: ends as if complete: %.*s", cases[i].name,
                     CW_FMT(body));
        }
    }
    cw_buf_finish(&response);
}

struct complete_case {
    const char *name;
    const char *method;
    const char *response;
    unsigned status;
    const char *body;
};

/* Guards against responses that lose or gain bytes when their framing is
 * translated. */
static void
test_complete_response(void **state)
{
    static const struct complete_case cases[] = {
        {"length", "GET", "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nabcd",
         200, "abcd"},
        {"chunked", "GET",
         "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
         "2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n",
         200, "4\r\nabcd\r\n0\r\n\r\n"},
        {"empty", "GET", "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", 200,
         ""},
        {"no content", "DELETE", "HTTP/1.1 204 None\r\n\r\n", 204, ""},
        {"head", "HEAD", "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n", 200,
         ""},
    };
    struct du *u = *state;
    struct cw_buf response;

    cw_buf_init(&response);
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        char request[128];

        set_script(u, cases[i].response, false);
        (void)snprintf(request, sizeof(request),
                       "%s /stock/a HTTP/1.1\r\n" HEAD_END, cases[i].method);
        du_exchange(u, cw_str_from(request), &response);
        if (du_status(&response) != cases[i].status ||
            !cw_str_eq(du_body(&response), cw_str_from(cases[i].body))) {
            fail_msg("%s: %.*s", cases[i].name, CW_FMT(cw_buf_str(&response)));
        }
    }
    cw_buf_finish(&response);
}

/* Guards against the loss of bytes under backpressure: the response is many
 * times larger than the daemon's response buffer. */
static void
test_backpressure(void **state)
{
    static const size_t size = 4 * 1024 * 1024;
    struct du *u = *state;
    struct cw_buf bytes;
    struct cw_buf response;
    struct cw_str body;

    cw_buf_init(&bytes);
    cw_buf_init(&response);
    cw_buf_addf(&bytes, "HTTP/1.1 200 OK\r\ncontent-length: %zu\r\n\r\n",
                size);
    for (size_t i = 0; i < size; i++) {
        char byte = (char)('a' + i % 23);

        cw_buf_add(&bytes, &byte, 1);
    }
    memset(&u->script, 0, sizeof(u->script));
    u->script.response = bytes.ptr;
    u->script.len = bytes.len;
    du_exchange(u, CW_LIT("GET /stock/a HTTP/1.1\r\n" HEAD_END), &response);
    body = du_body(&response);
    assert_int_equal(body.len, size);
    assert_memory_equal(body.ptr, bytes.ptr + bytes.len - size, size);
    cw_buf_finish(&bytes);
    cw_buf_finish(&response);
}

static bool
no_slot_in_use(void *arg)
{
    struct du *u = arg;

    return cw_daemon_in_flight(&u->d, CW_LIT("v1")) == 0;
}

struct late_case {
    const char *name;
    const char *response; /* before the deadline */
    const char *late;     /* after it, see du_script */
    cw_ms guard;          /* slot_guard_ms */
    cw_ms in_use;         /* least time that the slot stays in use */
};

/* Guards against: the slot of a request whose deadline had passed was free at
 * once, though the endpoint was still at work on it. */
static void
test_slot_in_use_after_deadline(void **state)
{
    /* Longer than the test waits: the slot is free for another reason. */
    enum { LONG = 2 * DU_WAIT_MS };
    static const struct late_case cases[] = {
        {"stops when nothing more is sent to it", NULL, NULL, LONG, 0},
        {"answers late", NULL, "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
         LONG, 0},
        {"refuses late", NULL,
         "HTTP/1.1 503 Busy\r\ncuminwalk-refused: full\r\n"
         "content-length: 2\r\n\r\nno",
         LONG, 0},
        {"never answers", NULL, "", 400, 300},
        {"never ends its answer's head", "HTTP/1.1 200 O", "", 400, 300},
    };
    struct du *u = *state;
    struct cw_buf response;

    cw_buf_init(&response);
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        cw_ms answered;

        set_script(u, cases[i].response, false);
        u->script.late = cases[i].late;
        u->settings.slot_guard_ms = cases[i].guard;
        du_exchange(u,
                    CW_LIT("GET /stock/a HTTP/1.1\r\n"
                           "cuminwalk-deadline-ms: 100\r\n" HEAD_END),
                    &response);
        answered = cw_daemon_now(&u->d);
        assert_int_equal(du_status(&response), 504);
        du_run_until(u, no_slot_in_use, u);
        if (cw_daemon_now(&u->d) - answered < cases[i].in_use) {
            fail_msg("%s: the slot was free at once", cases[i].name);
        }
    }
    cw_buf_finish(&response);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_rejected_requests, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_header_limit, setup, teardown),
        cmocka_unit_test_setup_teardown(test_hop_by_hop, setup, teardown),
        cmocka_unit_test_setup_teardown(test_endpoint_failures, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_connect_failure, setup, teardown),
        cmocka_unit_test_setup_teardown(test_truncated_response, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_complete_response, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_backpressure, setup, teardown),
        cmocka_unit_test_setup_teardown(test_slot_in_use_after_deadline, setup,
                                        teardown),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
