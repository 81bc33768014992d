/* Tests that one odd record in the store, or one odd row of a worker's report,
 * neither ends the daemon nor hides the records and rows beside it: answers of
 * an HTTP server on loopback, read by the platform adapter. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "platform_int.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define TIMEOUT_MS 5000
#define ROWS_MAX 16

/* ---- a server with one answer ---- */

static uv_loop_t loop;
static uv_tcp_t listener;
static struct cw_platform platform;
static struct cw_job_ports ports;
static char address_text[32];
static struct cw_str next_body;
static char request[4096]; /* the latest one */
static size_t request_len;

static void
on_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *b)
{
    (void)h;
    (void)suggested;
    *b = uv_buf_init(request + request_len,
                     (unsigned)(sizeof(request) - 1 - request_len));
}

static void
on_peer_closed(uv_handle_t *h)
{
    free(h);
}

static void
on_request(uv_stream_t *s, ssize_t n, const uv_buf_t *b)
{
    char head[128];
    uv_buf_t out[2];

    (void)b;
    if (n < 0) {
        uv_close((uv_handle_t *)s, on_peer_closed);
        return;
    }
    request_len += (size_t)n;
    request[request_len] = '\0';
    if (strstr(request, "\r\n\r\n") == NULL) {
        return;
    }
    out[0] = uv_buf_init(
        head, (unsigned)snprintf(head, sizeof(head),
                                 "HTTP/1.1 200 OK\r\nConnection: close\r\n"
                                 "Content-Length: %zu\r\n\r\n",
                                 next_body.len));
    out[1] = uv_buf_init((char *)next_body.ptr, (unsigned)next_body.len);
    (void)uv_stream_set_blocking(s, 1);
    assert_int_equal(uv_try_write(s, out, 2),
                     (int)(out[0].len + next_body.len));
    (void)uv_read_stop(s);
    uv_close((uv_handle_t *)s, on_peer_closed);
}

static void
on_connection(uv_stream_t *s, int status)
{
    uv_tcp_t *peer = calloc(1, sizeof(*peer));

    assert_non_null(peer);
    assert_int_equal(status, 0);
    assert_int_equal(uv_tcp_init(&loop, peer), 0);
    assert_int_equal(uv_accept(s, (uv_stream_t *)peer), 0);
    request_len = 0;
    assert_int_equal(uv_read_start((uv_stream_t *)peer, on_alloc, on_request),
                     0);
}

static int
setup(void **state)
{
    struct sockaddr_in sa;
    struct sockaddr_storage bound;
    int len = sizeof(bound);

    (void)state;
    assert_int_equal(uv_loop_init(&loop), 0);
    assert_int_equal(uv_tcp_init(&loop, &listener), 0);
    assert_int_equal(uv_ip4_addr("127.0.0.1", 0, &sa), 0);
    assert_int_equal(uv_tcp_bind(&listener, (struct sockaddr *)&sa, 0), 0);
    assert_int_equal(uv_listen((uv_stream_t *)&listener, 8, on_connection), 0);
    assert_int_equal(
        uv_tcp_getsockname(&listener, (struct sockaddr *)&bound, &len), 0);
    (void)snprintf(address_text, sizeof(address_text), "127.0.0.1:%u",
                   ntohs(((struct sockaddr_in *)&bound)->sin_port));
    platform.loop = &loop;
    assert_int_equal(cw_http_client_init(&platform.store, &loop, address_text),
                     CW_OK);
    ports.ctx = &platform;
    pf_store_port(&ports);
    pf_worker_port(&ports);
    return 0;
}

static int
teardown(void **state)
{
    (void)state;
    cw_http_client_finish(&platform.store);
    uv_close((uv_handle_t *)&listener, NULL);
    uv_run(&loop, UV_RUN_DEFAULT);
    return uv_loop_close(&loop);
}

/* ---- pages of records ---- */

struct page_copy {
    bool got;
    enum cw_status status;
    size_t count;
    struct {
        char key[1024];
        size_t key_len;
        char value[64];
    } rows[ROWS_MAX];
    bool more;
};

static void
on_page(void *arg, enum cw_status s, const struct cw_store_page *p)
{
    struct page_copy *c = arg;

    c->got = true;
    c->status = s;
    c->count = p->count;
    c->more = p->more;
    for (size_t i = 0; i < p->count && i < ROWS_MAX; i++) {
        const struct cw_store_record *r = &p->records[i];

        assert_true(r->key.len < sizeof(c->rows[i].key));
        if (r->key.len > 0) {
            memcpy(c->rows[i].key, r->key.ptr, r->key.len);
        }
        c->rows[i].key_len = r->key.len;
        (void)snprintf(c->rows[i].value, sizeof(c->rows[i].value), "%.*s",
                       CW_FMT(r->value));
    }
}

static void
run_until(const bool *got)
{
    while (!*got) {
        uv_run(&loop, UV_RUN_ONCE);
    }
}

static struct page_copy
read_newest(struct cw_str body, struct cw_str after)
{
    struct page_copy c = {0};

    next_body = body;
    ports.store.read_latest(ports.ctx, CW_STREAM_WORKERS, after, TIMEOUT_MS,
                            NULL, on_page, &c);
    run_until(&c.got);
    return c;
}

/* "c291bmQ=" is the text "sound" in base64. */
#define SOUND_ITEM(key)                                                       \
    "{\"key\":\"" key "\",\"value\":\"c291bmQ=\",\"offset\":1}"
#define PAGE(item)                                                            \
    "{\"items\":[" SOUND_ITEM("w-a") "," item "," SOUND_ITEM(                 \
        "w-b") "],\"hasMore\":true,\"end\":9}"

/* Guards against a list that cannot be loaded: a key with a NUL or with bytes
 * that are not UTF-8 made the whole page unreadable, on every attempt. */
static void
test_newest_page_with_an_odd_item(void **state)
{
    (void)state;
    static const struct {
        const char *name;
        const char *body;
    } cases[] = {
        {"sound", PAGE(SOUND_ITEM("w-c"))},
        {"NUL", PAGE(SOUND_ITEM("w\\u0000c"))},
        {"invalid bytes", PAGE(SOUND_ITEM("w\xff\xfe"))},
        {"overlong form", PAGE(SOUND_ITEM("w\xc0\xaf"))},
        {"half of a character", PAGE(SOUND_ITEM("w\xe2\x82"))},
        {"surrogate bytes", PAGE(SOUND_ITEM("w\xed\xa0\x80"))},
        {"high surrogate", PAGE(SOUND_ITEM("w\\ud800"))},
        {"low surrogate", PAGE(SOUND_ITEM("w\\udcff\\u0000"))},
        {"surrogates in turn", PAGE(SOUND_ITEM("w\\udc00\\ud800\\ud800"))},
        {"backslashes", PAGE(SOUND_ITEM("w\\\\ud800\xff\\\\"))},
        {"control byte", PAGE(SOUND_ITEM("w\x01\n"))},
        {"quoted", PAGE(SOUND_ITEM("w \\\" & % ? # \\n"))},
        {"long",
         PAGE(SOUND_ITEM("wwwwwwwwwwwwwwwwwwwwwwwwwwwwwwwwwwwwwwwwwwwww"
                         "wwwwwwwwwwwwwwwwwwwwwwwwwwwwwwwwwwwwwwww"))},
        {"empty", PAGE(SOUND_ITEM(""))},
        {"key a number", PAGE("{\"key\":5,\"value\":\"c291bmQ=\"}")},
        {"value a number", PAGE("{\"key\":\"w-c\",\"value\":5}")},
        {"value not base64",
         PAGE("{\"key\":\"w-c\",\"value\":\"*-\\u00e9\"}")},
        {"no object", PAGE("7")},
        {"fields repeated",
         PAGE("{\"key\":\"a\",\"key\":\"b\",\"value\":\"YQ==\"}")},
    };
    int failures = 0;

    for (size_t i = 0; i < COUNT(cases); i++) {
        struct page_copy c =
            read_newest(cw_str_from(cases[i].body), CW_LIT(""));

        if (c.status != CW_OK || c.count != 3 || !c.more ||
            strcmp(c.rows[0].key, "w-a") != 0 ||
            strcmp(c.rows[0].value, "sound") != 0 ||
            strcmp(c.rows[2].key, "w-b") != 0 ||
            strcmp(c.rows[2].value, "sound") != 0) {
            print_error("%s: status=%s records=%zu\n", cases[i].name,
                        cw_status_name(c.status), c.count);
            failures++;
        }
    }
    assert_int_equal(failures, 0);
}

/* A page that is no JSON at all stays an error, so that it is read again. */
static void
test_newest_page_that_is_unreadable(void **state)
{
    (void)state;
    static const char *const bodies[] = {
        "",  "{", "\xff\xff", "{\"items\":5}", "[]", "{\"items\":[\"\\ud8",
        "\\"};

    for (size_t i = 0; i < COUNT(bodies); i++) {
        assert_int_not_equal(
            read_newest(cw_str_from(bodies[i]), CW_LIT("")).status, CW_OK);
    }
}

/* Guards against a page that is read for ever, or a request that the store
 * refuses: the last key of a page was put into the URL as it was. */
static void
test_last_key_is_escaped(void **state)
{
    (void)state;
    static const struct {
        struct cw_str key;
        const char *expect;
    } cases[] = {
        {CW_LIT("i-90c4"), "&after=i-90c4 HTTP/1.1\r\n"},
        {CW_LIT("wave/12"), "&after=wave/12 HTTP/1.1\r\n"},
        {CW_LIT("a b"), "&after=a%20b HTTP/1.1\r\n"},
        {CW_LIT("a&part=1"), "&after=a%26part%3D1 HTTP/1.1\r\n"},
        {CW_LIT("100%"), "&after=100%25 HTTP/1.1\r\n"},
        {CW_LIT("a?#+;"), "&after=a%3F%23%2B%3B HTTP/1.1\r\n"},
        {CW_LIT("a\0b\r\n"), "&after=a%00b%0D%0A HTTP/1.1\r\n"},
        {CW_LIT("\xff\xc3\xa9"), "&after=%FF%C3%A9 HTTP/1.1\r\n"},
    };
    int failures = 0;

    for (size_t i = 0; i < COUNT(cases); i++) {
        (void)read_newest(CW_LIT(PAGE(SOUND_ITEM("w-c"))), cases[i].key);
        if (strstr(request, cases[i].expect) == NULL) {
            print_error("case %zu: %.*s\n", i, (int)strcspn(request, "\r\n"),
                        request);
            failures++;
        }
    }
    assert_int_equal(failures, 0);
}

#define HEADER "\0\0\0\0\0\0\0\x09\0\0\0\0\0\0\0\0"
#define SOUND_RECORD "\0\0\0\x09\x03w-bsound"

/* Raw records have lengths: an odd one costs its own offset only. */
static void
test_log_page_with_an_odd_record(void **state)
{
    (void)state;
    static const struct cw_str bodies[] = {
        CW_LIT(HEADER "\0\0\0\x09\x03w-csound" SOUND_RECORD),
        CW_LIT(HEADER "\0\0\0\0" SOUND_RECORD),
        CW_LIT(HEADER "\0\0\0\x01\0" SOUND_RECORD),
        CW_LIT(HEADER "\0\0\0\x01\xff" SOUND_RECORD),
        CW_LIT(HEADER "\0\0\0\x04\x04\xff\0\n" SOUND_RECORD),
        CW_LIT(HEADER "\0\0\0\x04\x03\xff\0\n" SOUND_RECORD),
        CW_LIT(HEADER "\0\0\0\x04\0\xff\0\n" SOUND_RECORD),
    };

    for (size_t i = 0; i < COUNT(bodies); i++) {
        struct cw_store_read read = {CW_STREAM_WORKERS, 5, 0, TIMEOUT_MS,
                                     NULL};
        struct page_copy c = {0};

        next_body = bodies[i];
        ports.store.read(ports.ctx, &read, on_page, &c);
        run_until(&c.got);
        assert_int_equal(c.status, CW_OK);
        assert_int_equal(c.count, 2);
        assert_string_equal(c.rows[1].key, "w-b");
        assert_string_equal(c.rows[1].value, "sound");
    }
}

/* ---- reports ---- */

struct report_copy {
    bool got;
    enum cw_status status;
    struct cw_run_report report;
    struct cw_run_row running[ROWS_MAX];
    struct cw_end_row ended[ROWS_MAX];
};

static void
on_report(void *arg, enum cw_status s, struct cw_run_report *r)
{
    struct report_copy *c = arg;

    c->got = true;
    c->status = s;
    if (r == NULL) {
        return;
    }
    c->report = *r;
    assert_true(r->running_count <= ROWS_MAX && r->ended_count <= ROWS_MAX);
    memcpy(c->running, r->running, r->running_count * sizeof(c->running[0]));
    memcpy(c->ended, r->ended, r->ended_count * sizeof(c->ended[0]));
}

static struct report_copy
fetch(struct cw_worker_conn *conn, const char *body)
{
    static const struct cw_report_order order = {.epoch = 1};
    struct report_copy c = {0};

    next_body = cw_str_from(body);
    ports.exec.poll(conn, &order, TIMEOUT_MS, on_report, &c);
    run_until(&c.got);
    return c;
}

static struct cw_worker_conn *
open_conn(void)
{
    struct cw_name id;
    struct cw_name address;
    struct cw_worker_conn *conn;

    (void)cw_name_set(&id, CW_LIT("w"));
    (void)cw_name_set(&address, cw_str_from(address_text));
    conn = ports.exec.open(&platform, &id, &address);
    assert_non_null(conn);
    return conn;
}

#define TASK(rest) "\"00000000000000ff." rest "\""
#define RUN "[" TASK("0.1.2") ",3,\"c\",40,7]"
#define END "[5," TASK("0.1.3") ",3,\"done\",\"\"]"
#define REPORT(running, ended)                                                \
    "{\"clockMs\":5,\"born\":7,\"running\":[" running "],\"ended\":[" ended   \
    "]}"

/* Guards against an end number of -1, which counted as 2^64 - 1, so that every
 * later end of the worker was ignored; and against a run or task number that
 * is cut to 32 bits and then names another run. */
static void
test_report_with_an_odd_row(void **state)
{
    (void)state;
    static const char *const running[] = {
        "7",
        "[]",
        "{}",
        "[" TASK("0.1.2") "]",
        "[" TASK("0.1.2") ",\"3\"]",
        "[" TASK("0.1.2") ",-1]",
        "[" TASK("0.1.2") ",4294967299]",
        "[" TASK("0.1.2") ",1e300]",
        "[" TASK("0.1.4294967298") ",3]",
        "[" TASK("0.1.99999999999999999999") ",3]",
        "[" TASK("0.1.-2") ",3]",
        "[" TASK("0.1. 2") ",3]",
        "[" TASK("0.1.") ",3]",
        "[" TASK("0.1") ",3]",
        "[" TASK("0.1.2.3") ",3]",
        "[\"-0000000000000ff.0.1.2\",3]",
        "[5,3]",
    };
    static const char *const ended[] = {
        "7",
        "[]",
        "[\"6\"," TASK("0.1.4") ",3,\"done\",\"\"]",
        "[0," TASK("0.1.4") ",3,\"done\",\"\"]",
        "[-1," TASK("0.1.4") ",3,\"done\",\"\"]",
        "[1e300," TASK("0.1.4") ",3,\"done\",\"\"]",
        "[6," TASK("0.1.4") ",-1,\"done\",\"\"]",
        "[6,5,3,\"done\",\"\"]",
    };
    struct cw_worker_conn *conn = open_conn();
    int failures = 0;

    for (size_t i = 0; i < COUNT(running) + COUNT(ended); i++) {
        bool is_end = i >= COUNT(running);
        const char *odd = is_end ? ended[i - COUNT(running)] : running[i];
        struct report_copy c;
        char body[512];

        (void)snprintf(body, sizeof(body), REPORT("%s%s" RUN, "%s%s" END),
                       is_end ? "" : odd, is_end ? "" : ",", is_end ? odd : "",
                       is_end ? "," : "");
        c = fetch(conn, body);
        if (c.status != CW_OK || c.report.running_count != 1 ||
            c.report.ended_count != 1 || c.running[0].run != 3 ||
            c.ended[0].number != 5) {
            print_error("%s: status=%s running=%zu ended=%zu\n", odd,
                        cw_status_name(c.status), c.report.running_count,
                        c.report.ended_count);
            failures++;
        }
    }
    ports.exec.close(conn);
    assert_int_equal(failures, 0);
}

/* Figures that fit no percentage or measure count as 0; the run is listed. */
static void
test_report_with_odd_figures(void **state)
{
    (void)state;
    static const char *const figures[] = {"1e300,-1e300", "-1,-1", "\"x\",[]",
                                          "4294967296,4294967296",
                                          "null,1e19"};
    struct cw_worker_conn *conn = open_conn();

    for (size_t i = 0; i < COUNT(figures); i++) {
        struct report_copy c;
        char body[512];

        (void)snprintf(body, sizeof(body),
                       REPORT("[" TASK("0.1.2") ",3,\"c\",%s]", END),
                       figures[i]);
        c = fetch(conn, body);
        assert_int_equal(c.status, CW_OK);
        assert_int_equal(c.report.running_count, 1);
        assert_int_equal(c.running[0].percent, 0);
        assert_int_equal(c.running[0].measured, 0);
    }
    ports.exec.close(conn);
}

/* A report without a usable clock or without its lists is no report. */
static void
test_report_that_is_unusable(void **state)
{
    (void)state;
    static const char *const bodies[] = {
        "",
        "null",
        "5",
        "{",
        "{\"clockMs\":5,\"running\":[]}",
        "{\"clockMs\":5,\"running\":{},\"ended\":[]}",
        "{\"running\":[],\"ended\":[]}",
        "{\"clockMs\":-1,\"running\":[],\"ended\":[]}",
        "{\"clockMs\":\"5\",\"running\":[],\"ended\":[]}",
        "{\"clockMs\":1e300,\"running\":[],\"ended\":[]}",
        "{\"clockMs\":9223372036854775807,\"running\":[],\"ended\":[]}",
        "{\"clockMs\":1e400,\"running\":[],\"ended\":[]}",
    };
    struct cw_worker_conn *conn = open_conn();
    int failures = 0;

    for (size_t i = 0; i < COUNT(bodies); i++) {
        if (fetch(conn, bodies[i]).status == CW_OK) {
            print_error("accepted: %s\n", bodies[i]);
            failures++;
        }
    }
    ports.exec.close(conn);
    assert_int_equal(failures, 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_newest_page_with_an_odd_item),
        cmocka_unit_test(test_newest_page_that_is_unreadable),
        cmocka_unit_test(test_last_key_is_escaped),
        cmocka_unit_test(test_log_page_with_an_odd_record),
        cmocka_unit_test(test_report_with_an_odd_row),
        cmocka_unit_test(test_report_with_odd_figures),
        cmocka_unit_test(test_report_that_is_unusable),
    };

    cw_logger_setup(CW_ERROR + 1, stderr, NULL);
    return cmocka_run_group_tests(tests, setup, teardown);
}
