/* Tests that one odd entry in the list of workers neither ends the daemon nor
 * stops it from following the list, and changes nothing about other workers.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "cw_jobd.h"
#include "jobs_util.h"
#include "platform_int.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define ROUNDS_MAX 20

/* ---- a daemon that schedules, without a loop or a network ---- */

static struct jobs_fixture f;
static struct cw_jobd d;
static struct cw_service_entry services[2];

/* The open read of the list. */
static struct {
    cw_store_page_done done;
    void *arg;
    char after[1024]; /* last key, of a read of the newest records */
    size_t after_len;
    uint64_t from; /* offset, of a read of the log */
    bool latest;
} read_call;

static cw_ms
test_now(void *ctx)
{
    (void)ctx;
    return f.now;
}

static void
read_latest(void *ctx, enum cw_stream stream, struct cw_str after,
            cw_ms timeout, size_t *received, cw_store_page_done done,
            void *arg)
{
    (void)received;
    (void)ctx;
    (void)stream;
    (void)timeout;
    assert_true(after.len < sizeof(read_call.after));
    if (after.len > 0) {
        memcpy(read_call.after, after.ptr, after.len);
    }
    read_call.after_len = after.len;
    read_call.done = done;
    read_call.arg = arg;
    read_call.latest = true;
}

static void
read_from(void *ctx, const struct cw_store_read *read, cw_store_page_done done,
          void *arg)
{
    (void)ctx;
    read_call.from = read->from;
    read_call.done = done;
    read_call.arg = arg;
    read_call.latest = false;
}

static struct cw_worker_conn *
open_none(void *ctx, const struct cw_name *id, const struct cw_name *address)
{
    (void)ctx;
    (void)id;
    (void)address;
    return NULL;
}

static void
begin(void)
{
    jobs_setup(&f);
    memset(&d, 0, sizeof(d));
    memset(&read_call, 0, sizeof(read_call));
    pf_record_port(&d.ports);
    d.ports.store.read_latest = read_latest;
    d.ports.store.read = read_from;
    d.ports.exec.open = open_none;
    d.clock = (struct cw_clock){.now = test_now, .wall = test_now};
    d.role = CW_ROLE_SCHEDULER;
    d.sched = &f.s;
    (void)cw_name_set(&services[0].service, CW_LIT(JOBS_SERVICE));
    (void)cw_name_set(&services[1].service, CW_LIT("other"));
    d.config = (struct cw_fleet_config){
        .version = 1, .services = services, .service_count = COUNT(services)};
    cw_metrics_init(&d.metrics);
}

static void
end(void)
{
    cw_metrics_finish(&d.metrics);
    jobs_teardown(&f);
}

static void
answer(const struct cw_store_record *rows, size_t count, bool more)
{
    struct cw_store_page p = {
        .records = rows, .count = count, .next = 7, .more = more};

    assert_non_null(read_call.done);
    read_call.done(read_call.arg, CW_OK, &p);
    read_call.done = NULL;
}

/* ---- entries ---- */

#define CAPACITY "\"capacity\":{\"cpu\":4000,\"memMb\":4000}"
#define PLACE                                                                 \
    "\"service\":\"" JOBS_SERVICE "\",\"address\":\"10.0.0.9:7060\","         \
    "\"zone\":\"z\""
#define LIFE "\"machine\":\"vm-a\",\"born\":1000000"
#define READY "\"state\":\"ready\""
#define SOUND READY "," PLACE "," CAPACITY "," LIFE
#define ADDRESS(text)                                                         \
    "{" READY ",\"service\":\"" JOBS_SERVICE "\",\"address\":" text           \
    "," CAPACITY "," LIFE "}"
#define BORN(text)                                                            \
    "{" READY "," PLACE "," CAPACITY ",\"machine\":\"vm-a\",\"born\":" text "}"
#define ROOM(text) "{" READY "," PLACE "," LIFE ",\"capacity\":" text "}"
#define CPU(text) ROOM("{\"cpu\":" text ",\"memMb\":4000}")

struct odd_case {
    const char *name;
    const char *head;
    const char *unit; /* repeated; NULL: none */
    size_t times;
    const char *tail;
};

static const struct odd_case odd_values[] = {
    {"arrays nested deeply", "", "[", 100000, ""},
    {"objects nested deeply", "", "{\"a\":", 100000, ""},
    {"deep nesting in a sound entry", "{" SOUND ",\"x\":", "[", 100000, ""},
    {"long text", "", "x", 200000, ""},
    {"long string", "\"", "x", 200000, "\""},
    {"null", "null", NULL, 0, ""},
    {"array", "[]", NULL, 0, ""},
    {"number", "5", NULL, 0, ""},
    {"string", "\"x\"", NULL, 0, ""},
    {"cut off", "{" SOUND, NULL, 0, ""},
    {"invalid UTF-8", "{\"x\":\"\xff\xfe\"," SOUND "}", NULL, 0, ""},
    {"NUL in a string", "{\"x\":\"\\u0000\"," SOUND "}", NULL, 0, ""},
    {"state missing", "{" PLACE "," CAPACITY "," LIFE "}", NULL, 0, ""},
    {"state unknown", "{\"state\":\"asleep\"," PLACE "," CAPACITY "," LIFE "}",
     NULL, 0, ""},
    {"service unknown",
     "{" READY
     ",\"service\":\"nobody\",\"address\":\"10.0.0.9:7060\"," CAPACITY "," LIFE
     "}",
     NULL, 0, ""},
    {"service long",
     "{" READY ",\"address\":\"10.0.0.9:7060\"," CAPACITY "," LIFE
     ",\"service\":\"",
     "s", 300, "\"}"},
    {"zone a number", "{" SOUND ",\"zone\":5}", NULL, 0, ""},
    {"machine a list", "{" SOUND ",\"machine\":[]}", NULL, 0, ""},
    {"labels a number", "{" SOUND ",\"labels\":5}", NULL, 0, ""},
    {"labels of numbers", "{" SOUND ",\"labels\":[1,2]}", NULL, 0, ""},
    {"slots a string", "{" SOUND ",\"slots\":\"8\"}", NULL, 0, ""},
    {"slots negative", "{" SOUND ",\"slots\":-1}", NULL, 0, ""},
    {"sequence an object", "{" SOUND ",\"sequence\":{}}", NULL, 0, ""},
    {"cold time a string", "{" SOUND ",\"coldLeftMs\":\"x\"}", NULL, 0, ""},
    {"port 0", ADDRESS("\"10.0.0.9:0\""), NULL, 0, ""},
    {"port 65536", ADDRESS("\"10.0.0.9:65536\""), NULL, 0, ""},
    {"port 70000", ADDRESS("\"10.0.0.9:70000\""), NULL, 0, ""},
    {"port -1", ADDRESS("\"10.0.0.9:-1\""), NULL, 0, ""},
    {"port 7060x", ADDRESS("\"10.0.0.9:7060x\""), NULL, 0, ""},
    {"port 2^64", ADDRESS("\"10.0.0.9:18446744073709551616\""), NULL, 0, ""},
    {"port missing", ADDRESS("\"10.0.0.9\""), NULL, 0, ""},
    {"address a name", ADDRESS("\"here:7060\""), NULL, 0, ""},
    {"address a number", ADDRESS("7060"), NULL, 0, ""},
    {"capacity missing", "{" READY "," PLACE "," LIFE "}", NULL, 0, ""},
    {"capacity a list", ROOM("[]"), NULL, 0, ""},
    {"capacity empty", ROOM("{}"), NULL, 0, ""},
    {"memory missing", ROOM("{\"cpu\":4000}"), NULL, 0, ""},
    {"gpu a string", ROOM("{\"cpu\":4000,\"memMb\":4000,\"gpu\":\"x\"}"), NULL,
     0, ""},
    {"cpu a string", CPU("\"4000\""), NULL, 0, ""},
    {"cpu -1", CPU("-1"), NULL, 0, ""},
    {"cpu 1e300", CPU("1e300"), NULL, 0, ""},
    {"cpu 1e400", CPU("1e400"), NULL, 0, ""},
    {"cpu 2^32", CPU("4294967296"), NULL, 0, ""},
    {"cpu 2^63", CPU("9223372036854775808"), NULL, 0, ""},
    {"cpu 20 digits", CPU("99999999999999999999"), NULL, 0, ""},
    {"born missing", "{" READY "," PLACE "," CAPACITY "}", NULL, 0, ""},
    {"born a string", BORN("\"1000000\""), NULL, 0, ""},
    {"born -1", BORN("-1"), NULL, 0, ""},
    {"born 0", BORN("0"), NULL, 0, ""},
    {"born a fraction", BORN("1000000.5"), NULL, 0, ""},
    {"born 1e300", BORN("1e300"), NULL, 0, ""},
    {"born -1e300", BORN("-1e300"), NULL, 0, ""},
    {"born 1e400", BORN("1e400"), NULL, 0, ""},
    {"born 2^63 - 1", BORN("9223372036854775807"), NULL, 0, ""},
    {"born 2^63", BORN("9223372036854775808"), NULL, 0, ""},
    {"born in microseconds", BORN("1764864000000000"), NULL, 0, ""},
};

static struct cw_buf
build(const struct odd_case *c)
{
    struct cw_buf b;

    cw_buf_init(&b);
    cw_buf_add_str(&b, cw_str_from(c->head));
    for (size_t i = 0; i < c->times; i++) {
        cw_buf_add_str(&b, cw_str_from(c->unit));
    }
    cw_buf_add_str(&b, cw_str_from(c->tail));
    return b;
}

static const char sound_b[] =
    "{" READY "," PLACE "," CAPACITY ",\"machine\":\"vm-b\",\"born\":1000000}";

/* Loads the list while one task runs on worker w-a: the odd entry, then a new
 * sound one. Returns what went wrong, or NULL. */
static const char *
load_list(struct cw_str key, struct cw_str value)
{
    const struct cw_store_record rows[] = {
        {key, value}, {CW_LIT("w-b"), {sound_b, sizeof(sound_b) - 1}}};
    struct cw_job_spec spec = jobs_spec(1, 1, 100);
    const struct cw_worker *a = jobs_add_worker(&f, "w-a", "vm-a", 4000);
    bool same = cw_str_eq(key, CW_LIT("w-a"));
    const char *address = "10.0.0.1:80";

    (void)jobs_accept(&f, &spec);
    jobs_commit(&f);
    jobs_answer_starts(&f, 0);
    if (a->task_count != 1) {
        return "the fixture runs no task";
    }
    cw_watch_workers(&d, f.now);
    answer(rows, COUNT(rows), false);
    if (a->task_count != 1) {
        return "the runs of another worker were given up";
    }
    if (strcmp(a->address.text, address) != 0) {
        return "it replaced the entry of a worker";
    }
    if (!same && cw_sched_find_worker(&f.s, key) != NULL) {
        return "it is used as a worker";
    }
    if (cw_sched_find_worker(&f.s, CW_LIT("w-b")) == NULL) {
        return "the sound entry after it is not used";
    }
    return NULL;
}

static void
check_values(struct cw_str key)
{
    int failures = 0;

    for (size_t i = 0; i < COUNT(odd_values); i++) {
        struct cw_buf value = build(&odd_values[i]);
        const char *fault;

        begin();
        fault = load_list(key, cw_buf_str(&value));
        if (fault != NULL) {
            print_error("%s: %s\n", odd_values[i].name, fault);
            failures++;
        }
        end();
        cw_buf_finish(&value);
    }
    assert_int_equal(failures, 0);
}

/* Guards against LOST and TWICE: an odd entry that names the VM of a worker
 * was used as its later incarnation, and the runs of the worker given up. */
static void
test_odd_entry_names_no_worker(void **state)
{
    (void)state;
    check_values(CW_LIT("odd"));
}

/* Guards against the same when the odd entry has the key of a worker: what is
 * known of the worker holds. */
static void
test_odd_entry_with_key_of_a_worker(void **state)
{
    (void)state;
    check_values(CW_LIT("w-a"));
}

/* An entry with fields that this program does not know is used, as are a
 * repeated field's last value and numbers written with an exponent. */
static void
test_unusual_entries_are_used(void **state)
{
    (void)state;
    static const char *const values[] = {
        "{" SOUND "}",
        "{" SOUND ",\"x\":{\"y\":[1,null,\"z\",{}]},\"clockMs\":1e300}",
        "{\"state\":\"asleep\"," SOUND "}",
        "{" READY "," PLACE "," LIFE
        ",\"capacity\":{\"cpu\":4e3,\"memMb\":4000,\"gpu\":0,\"x\":1}}",
        "{" SOUND ",\"version\":\"v1\",\"slots\":8,\"coldLeftMs\":0,"
        "\"sequence\":7,\"labels\":[\"a\",\"r1-2\"]}",
        "{" SOUND ",\"labels\":[]}",
        /* The clocks of two machines differ by an hour. */
        BORN("4700000"),
    };

    for (size_t i = 0; i < COUNT(values); i++) {
        struct cw_store_record row = {CW_LIT("w-c"), cw_str_from(values[i])};
        const struct cw_worker *w;

        begin();
        cw_watch_workers(&d, f.now);
        answer(&row, 1, false);
        w = cw_sched_find_worker(&f.s, row.key);
        assert_non_null(w);
        assert_int_equal(w->state, CW_WORKER_READY);
        assert_int_equal(w->capacity.cpu_milli, 4000);
        end();
    }
}

/* Keys that are no worker's id; they appear in headers and log lines. */
static void
test_odd_keys(void **state)
{
    (void)state;
    static const struct cw_str keys[] = {
        CW_LIT(""),      CW_LIT("a b"),      CW_LIT("a\r\nX-Y: z"),
        CW_LIT("a\0b"),  CW_LIT("\xff\xfe"), CW_LIT("\xef\xbf\xbd"),
        CW_LIT("a\x7f"), CW_LIT("\t"),
    };
    char text[256];
    int failures = 0;

    memset(text, 'k', sizeof(text));
    for (size_t i = 0; i <= COUNT(keys); i++) {
        struct cw_str key =
            i < COUNT(keys) ? keys[i] : (struct cw_str){text, 255};
        const char *fault;

        begin();
        fault = load_list(key, CW_LIT("{" READY "," PLACE "," CAPACITY
                                      ",\"machine\":\"vm-c\",\"born\":7}"));
        if (fault != NULL) {
            print_error("key %zu: %s\n", i, fault);
            failures++;
        }
        end();
    }
    assert_int_equal(failures, 0);
}

/* The check of services does not hide workers: without a configuration, of a
 * service that only a route names, or of one that has workers already. */
static void
test_services_that_are_known(void **state)
{
    (void)state;
    static const struct {
        uint64_t version;
        bool in_route;
        bool has_pool;
        bool used;
    } cases[] = {
        {0, false, false, true},
        {1, true, false, true},
        {1, false, true, true},
        {1, false, false, false},
    };

    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_store_record row = {CW_LIT("w-c"), CW_LIT("{" SOUND "}")};
        struct cw_route_entry route = {.prefix = "/"};

        begin();
        (void)cw_name_set(&route.rules.service, CW_LIT(JOBS_SERVICE));
        d.config =
            (struct cw_fleet_config){.version = cases[i].version,
                                     .routes = &route,
                                     .route_count = cases[i].in_route ? 1 : 0};
        if (cases[i].has_pool) {
            assert_non_null(cw_sched_get_pool(&f.s, CW_LIT(JOBS_SERVICE)));
        }
        cw_watch_workers(&d, f.now);
        answer(&row, 1, false);
        assert_int_equal(cw_sched_find_worker(&f.s, row.key) != NULL,
                         cases[i].used);
        end();
    }
}

/* ---- pages ---- */

/* A store that returns one record a page. Returns the number of reads until
 * the records count as loaded, ROUNDS_MAX when they never do. */
static size_t
load_pages(void (*watch)(struct cw_jobd *d, cw_ms now), const bool *loaded,
           const struct cw_store_record *rows, size_t count)
{
    size_t reads = 0;

    while (!*loaded && reads < ROUNDS_MAX) {
        struct cw_str after = {read_call.after, 0};
        size_t i = 0;

        f.now += 1000;
        watch(&d, f.now);
        after.len = read_call.after_len;
        while (i < count && cw_str_cmp(rows[i].key, after) <= 0 &&
               after.len > 0) {
            i++;
        }
        answer(rows + i, i < count ? 1 : 0, i + 1 < count);
        reads++;
    }
    return reads;
}

/* Guards against a scheduler that never gets past a page whose last key is
 * longer than a worker's id may be, and so never knows any worker. */
static void
test_long_key_ends_a_page(void **state)
{
    (void)state;
    char text[256];
    struct cw_store_record rows[] = {
        {{text, 255}, CW_LIT("null")},
        {CW_LIT("w-b"), {sound_b, sizeof(sound_b) - 1}},
    };

    memset(text, 'k', sizeof(text));
    begin();
    assert_int_equal(
        load_pages(cw_watch_workers, &d.workers_loaded, rows, COUNT(rows)), 2);
    assert_non_null(cw_sched_find_worker(&f.s, CW_LIT("w-b")));
    end();
}

/* Guards against the same with the operators' records, where it hides waves
 * and, on a daemon that starts, the configuration. */
static void
test_long_operator_key_ends_a_page(void **state)
{
    (void)state;
    char text[256];
    struct cw_store_record rows[] = {
        {{text, 255}, CW_LIT("null")},
        {CW_LIT("wave/1"),
         CW_LIT("{\"wave\":1,\"machines\":[],\"durationS\":9,"
                "\"maxCount\":1}")},
    };

    memset(text, 'k', sizeof(text));
    begin();
    assert_int_equal(
        load_pages(cw_watch_operators, &d.operators_loaded, rows, COUNT(rows)),
        2);
    assert_int_equal(d.wave_count, 1);
    free(d.waves[0].vms);
    free(d.waves);
    end();
}

/* A key after which the store returns the same page again ends the load
 * instead of repeating it for ever; the log is followed from its offset. */
static void
test_page_repeats(void **state)
{
    (void)state;
    const struct cw_store_record row = {CW_LIT(""), CW_LIT("null")};

    begin();
    for (int i = 0; i < 3 && !d.workers_loaded; i++) {
        cw_watch_workers(&d, f.now);
        answer(&row, 1, true);
    }
    assert_true(d.workers_loaded);
    f.now += 1000;
    cw_watch_workers(&d, f.now);
    assert_false(read_call.latest);
    assert_int_equal(read_call.from, 7);
    answer(NULL, 0, false);
    end();
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_odd_entry_names_no_worker),
        cmocka_unit_test(test_odd_entry_with_key_of_a_worker),
        cmocka_unit_test(test_unusual_entries_are_used),
        cmocka_unit_test(test_odd_keys),
        cmocka_unit_test(test_services_that_are_known),
        cmocka_unit_test(test_long_key_ends_a_page),
        cmocka_unit_test(test_long_operator_key_ends_a_page),
        cmocka_unit_test(test_page_repeats),
    };

    cw_logger_setup(CW_ERROR + 1, stderr, NULL);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
