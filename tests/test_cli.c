/* Tests of the command-line tool: differences, report figures, lagging
 * members, exit codes of apply and loading the log from a snapshot. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "cli.h"
#include "log_server.h"
#include "state_util.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

static void
print_path(void *ctx, const char *path, const json_t *a, const json_t *b)
{
    cw_buf_addf(ctx, "%s%s%s;", a == NULL ? "+" : "", b == NULL ? "-" : "",
                path);
}

/* A difference that diff misses would be applied without review. */
static void
test_diff(void **state)
{
    (void)state;
    static const struct {
        const char *a;
        const char *b;
        const char *want;
    } cases[] = {
        {"{\"x\":1}", "{\"x\":1}", ""},
        {"{\"x\":1}", "{\"x\":2}", "x;"},
        {"{\"x\":1}", "{\"x\":true}", "x;"},
        {"{\"c\":{\"m\":1,\"n\":2}}", "{\"c\":{\"n\":3,\"o\":4}}",
         "-c.m;c.n;+c.o;"},
        {"{\"c\":{}}", "{\"c\":[]}", "c;"},
        {"{\"l\":[1,2]}", "{\"l\":[1,3,4]}", "l[1];+l[2];"},
        /* Jobs are matched by name when another is inserted in front. */
        {"{\"j\":[{\"name\":\"a\",\"n\":1}]}",
         "{\"j\":[{\"name\":\"b\",\"n\":1},{\"name\":\"a\",\"n\":2}]}",
         "j[a].n;+j[b];"},
    };
    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_buf out;
        cw_buf_init(&out);
        cw_buf_addf(&out, "%s", "");
        json_t *a = json_loads(cases[i].a, 0, NULL);
        json_t *b = json_loads(cases[i].b, 0, NULL);
        cli_diff_values(a, b, print_path, &out);
        assert_string_equal(out.ptr, cases[i].want);
        json_decref(a);
        json_decref(b);
        cw_buf_finish(&out);
    }
}

/* The record at offset n has a time of n seconds. */
static void
make_state(struct cw_state *s)
{
    cw_state_init(s);
    join_members(s, 3);
    (void)apply_doc_edit(s, "e1", "ann", "stock", 0, "");
    (void)apply_doc_edit(s, "e2", "bob", "stock", 9, "");
    add_vm(s, "v1", "roster");
    (void)apply_record(
        s, "d1",
        "\"type\":\"stat\",\"daemon\":\"d1\",\"from\":0,\"to\":7000,"
        "\"services\":[{\"service\":\"stock\",\"ok\":9990,\"failed\":2"
        ",\"shed\":1,\"unknown\":7,\"p99_us\":900,\"idle_slot_ms\":750"
        ",\"busy_slot_ms\":250}]");
    (void)apply_record(
        s, "d1",
        "\"type\":\"stat\",\"daemon\":\"d1\",\"from\":7000,\"to\":"
        "70000,\"services\":[{\"service\":\"stock\",\"ok\":50}]");
    static const char *const steps[] = {"draining", "drained", "assigning",
                                        "returning", "done"};
    for (size_t i = 0; i < COUNT(steps); i++) {
        assert_int_equal(
            apply_record(
                s, holder_of(s, "pool/stock"),
                "\"type\":\"op\",\"op\":\"o1\",\"kind\":\"move\",\"scope\":"
                "\"pool/stock\",\"vm\":\"v1\",\"from\":\"roster\",\"to\":"
                "\"stock\",\"cause\":\"=demand, 1.4x\",\"doc_version\":4,"
                "\"step\":\"%s\"",
                steps[i]),
            CW_APPLY_OK);
    }
    static const char *const actions[] = {"open", "hold", "resume", "close"};
    for (size_t i = 0; i < COUNT(actions); i++) {
        assert_int_equal(
            apply_record(
                s, holder_of(s, "pool/stock"),
                "\"type\":\"wave\",\"wave\":\"w1\",\"scope\":\"pool/stock\","
                "\"action\":\"%s\",\"reason\":\"due\"",
                actions[i]),
            CW_APPLY_OK);
    }
}

/* The figures have to follow from the log's records alone. */
static void
test_report(void **state)
{
    (void)state;
    struct cw_state s;
    make_state(&s);
    struct cli_report_data r;
    assert_int_equal(cli_report_build(&r, &s, 0, 60000), CW_OK);
    assert_int_equal(r.service_count, 1);
    const struct cli_service_report *x = &r.services[0];
    assert_int_equal(cli_service_requests(x), 10000);
    assert_float_equal(cli_service_availability(x), 0.999, 1e-9);
    assert_float_equal(cli_service_allowed_failures(x), 10, 1e-6);
    assert_float_equal(cli_service_budget_used(x), 1, 1e-6);
    assert_float_equal(cli_service_idle_share(x), 0.75, 1e-9);
    assert_int_equal(x->moves_in, 1);
    assert_int_equal(r.move_count, 1);
    assert_int_equal(cli_op_duration(r.moves[0]), 4000);
    assert_int_equal(r.wave_count, 1);
    assert_int_equal(r.waves[0]->closed - r.waves[0]->opened, 3000);
    assert_int_equal(r.waves[0]->held_ms, 1000);
    assert_int_equal(r.doc_count, 1);
    assert_int_equal(r.refused_edits, 1);
    assert_int_equal(r.docs[0].ops, 1);
    assert_int_equal(r.docs[0].rollout_ms, 9000);
    struct cw_buf out;
    cw_buf_init(&out);
    cli_report_csv(&r, &s, &out);
    /* A spreadsheet must not run a cause as a formula. */
    assert_non_null(
        strstr(out.ptr, "move,stock,o1,cause,\"'=demand, 1.4x\"\n"));
    assert_non_null(strstr(out.ptr, "service,stock,,budget_used,1\n"));
    cw_buf_clear(&out);
    cli_report_text(&r, &s, &out);
    assert_non_null(strstr(out.ptr, "99.9000%"));
    json_t *v = cli_report_json(&r, &s);
    assert_non_null(v);
    assert_int_equal(json_array_size(json_object_get(v, "moves")), 1);
    json_decref(v);
    cli_report_finish(&r);
    cw_buf_finish(&out);
    /* A period without requests: no division by zero. */
    assert_int_equal(cli_report_build(&r, &s, 100000, 200000), CW_OK);
    assert_float_equal(cli_service_availability(&r.services[0]), 1, 1e-9);
    assert_float_equal(cli_service_budget_used(&r.services[0]), 0, 1e-9);
    assert_int_equal(r.move_count + r.wave_count + r.doc_count, 0);
    cli_report_finish(&r);
    cw_state_finish(&s);
}

/* R8: a member that the daemon has not heard from must not count as having
 * applied the edit. */
static void
test_members(void **state)
{
    (void)state;
    struct cw_state s;
    cw_state_init(&s);
    join_members(&s, 3);
    struct cli_members m;
    char msg[CW_MSG_MAX];
    assert_int_equal(
        cli_members_parse(
            &m,
            CW_LIT("{\"daemon\":\"d1\",\"applied\":9,\"members\":[{\"daemon\":"
                   "\"d1\",\"incarnation\":1,\"dc\":\"a\",\"applied\":8,"
                   "\"age_ms\":0},{\"daemon\":\"d2\",\"incarnation\":1,\"dc\":"
                   "\"a\",\"applied\":7,\"age_ms\":40}]}"),
            msg),
        CW_OK);
    struct cw_buf lagging;
    cw_buf_init(&lagging);
    assert_int_equal(cli_members_lagging(&s, &m, 9, &lagging), 2);
    assert_string_equal(lagging.ptr, "d2 (at 7, 40 ms ago), d3 (not heard)");
    cw_buf_finish(&lagging);
    static const char *const malformed[] = {
        "",
        "[]",
        "{\"daemon\":\"d1\",\"applied\":9}",
        "{\"daemon\":\"d1\",\"applied\":9,\"members\":[{}]}",
        "{\"daemon\":\"d1\",\"applied\":9,\"members\":[{\"daemon\":\"d2\"}]}",
    };
    for (size_t i = 0; i < COUNT(malformed); i++) {
        assert_int_equal(cli_members_parse(&m, cw_str_from(malformed[i]), msg),
                         CW_ERR_INVALID);
    }
    cw_state_finish(&s);
}

/* ---- with a log service --------------------------------------------- */

static void
make_cli(struct cli *c, const struct log_server *srv, char **text)
{
    static size_t size;
    memset(c, 0, sizeof(*c));
    c->platform = srv->address;
    c->by = "ann";
    c->timeout_ms = 300;
    c->append_timeout_ms = 200;
    c->clock = cw_clock_system();
    c->out = open_memstream(text, &size);
    c->err = c->out;
}

#define MEMBER_JOIN(n)                                                        \
    "{\"type\":\"member\",\"id\":\"m" n "\",\"by\":\"d" n                     \
    "\",\"time\":1,\"daemon\":\"d" n "\",\"incarnation\":1,\"action\":"       \
    "\"join\",\"dc\":\"a\",\"address\":\"127.0.0.1:1\"}"
#define CONCURRENT_EDIT                                                       \
    "{\"type\":\"doc\",\"id\":\"race\",\"by\":\"bob\",\"time\":1,"            \
    "\"service\":\"roster\",\"base\":0,\"doc\":{\"service\":\"roster\","      \
    "\"team\":\"t\",\"capacity\":{\"vms_min\":1,\"vms_max\":2},"              \
    "\"availability\":{\"target\":0.9}}}"

/* Scripts rely on the exit code to know whether the edit is in force. */
static void
test_apply(void **state)
{
    (void)state;
    static const struct {
        int lose_answers;
        int drop_appends;
        const char *racing_record;
        const char *members;
        uint64_t base;
        int want;
        const char *want_text;
    } cases[] = {
        {0, 0, NULL, NULL, 0, CLI_OK, "version 3 is accepted"},
        {1, 0, NULL, NULL, 0, CLI_OK, "version 3 is accepted"},
        /* The first append had no effect: it is sent a second time. */
        {0, 1, NULL, NULL, 0, CLI_OK, "version 3 is accepted"},
        {0, 2, NULL, NULL, 0, CLI_UNAVAILABLE, "it is unknown"},
        {0, 0, CONCURRENT_EDIT, NULL, 0, CLI_CONFLICT,
         "based on version 0, but version 3 was in force, last edited by bob"},
        {0, 0, NULL, NULL, 7, CLI_CONFLICT, "version 7, but version 0"},
        {0, 0, NULL,
         "{\"daemon\":\"d1\",\"applied\":3,\"members\":[{\"daemon\":\"d2\","
         "\"applied\":3}]}",
         0, CLI_OK, "in force on every member"},
        {0, 0, NULL,
         "{\"daemon\":\"d1\",\"applied\":3,\"members\":[{\"daemon\":\"d2\","
         "\"applied\":2,\"age_ms\":5}]}",
         0, CLI_TIMEOUT, "missing: d2 (at 2, 5 ms ago)"},
    };
    for (size_t i = 0; i < COUNT(cases); i++) {
        struct log_server srv;
        log_server_start(&srv);
        log_server_add(&srv, CW_LIT(MEMBER_JOIN("1")));
        log_server_add(&srv, CW_LIT(MEMBER_JOIN("2")));
        srv.lose_answers = cases[i].lose_answers;
        srv.drop_appends = cases[i].drop_appends;
        srv.racing_record = cases[i].racing_record;
        srv.members = cases[i].members;
        char *text = NULL;
        struct cli c;
        make_cli(&c, &srv, &text);
        c.daemon = cases[i].members == NULL ? NULL : srv.address;
        c.has_base = true;
        c.base = cases[i].base;
        static const char *args[] = {"examples/documents/balloon-roster.json",
                                     NULL};
        c.args = args;
        c.arg_count = 1;
        int got = cli_apply(&c);
        (void)fclose(c.out);
        if (got != cases[i].want || strstr(text, cases[i].want_text) == NULL) {
            fail_msg("case %zu: %d, %s", i, got, text);
        }
        free(text);
        log_server_stop(&srv);
    }
}

static void
add_snapshot_parts(void *ctx, struct cw_str items)
{
    struct log_server *srv = ctx;
    struct cw_buf b;
    cw_buf_init(&b);
    /* Two parts, the first one empty, so that a test can make a cycle
     * incomplete by removing a part. */
    for (int part = 1; part <= 2; part++) {
        cw_buf_clear(&b);
        cw_buf_addf(&b,
                    "{\"type\":\"snap\",\"id\":\"s%d\",\"by\":\"d1\","
                    "\"time\":1,\"cycle\":\"c1\",\"as_of\":18,\"part\":%d,"
                    "\"parts\":2,\"items\":%.*s}",
                    part, part, part == 1 ? 2 : (int)items.len,
                    part == 1 ? "[]" : items.ptr);
        log_server_add(srv, cw_buf_str(&b));
    }
    cw_buf_finish(&b);
}

/* Retention drops the start of the log. A state replayed without it would lack
 * documents, and an edit based on version 0 would pass as the first one. */
static void
test_load_from_snapshot(void **state)
{
    (void)state;
    struct cw_state s;
    make_state(&s);
    assert_int_equal(s.applied, 17);
    cw_state_skip(&s, 18);
    struct log_server srv;
    log_server_start(&srv);
    for (int i = 0; i < 20; i++) {
        log_server_add(&srv, CW_LIT("{\"type\":\"gone\"}"));
    }
    assert_int_equal(cw_state_export(&s, 65536, add_snapshot_parts, &srv),
                     CW_OK);
    cw_state_finish(&s);
    log_server_add(&srv, CW_LIT(CONCURRENT_EDIT));
    static const struct {
        uint64_t first;
        enum cw_status want;
    } cases[] = {
        {19, CW_OK},
        {20, CW_ERR_UNAVAILABLE}, /* offset 19 is no longer kept */
        {19, CW_ERR_UNAVAILABLE}, /* part 1 is overwritten below */
    };
    for (size_t i = 0; i < COUNT(cases); i++) {
        srv.first = cases[i].first;
        if (i == 2) {
            memcpy(strstr(srv.records[20], "snap"), "gone", 4);
        }
        struct cli_log l;
        struct cli c;
        char *text = NULL;
        make_cli(&c, &srv, &text);
        cli_log_init(&l);
        assert_int_equal(cli_log_load(&c, &l), cases[i].want);
        if (cases[i].want == CW_OK) {
            assert_int_equal(l.state.applied, 23);
            assert_int_equal(cw_state_doc(&l.state, CW_LIT("stock"))->version,
                             4);
            assert_int_equal(cw_state_doc(&l.state, CW_LIT("roster"))->version,
                             23);
        }
        cli_log_finish(&l);
        (void)fclose(c.out);
        free(text);
    }
    log_server_stop(&srv);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_diff),
        cmocka_unit_test(test_report),
        cmocka_unit_test(test_members),
        cmocka_unit_test(test_apply),
        cmocka_unit_test(test_load_from_snapshot),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
