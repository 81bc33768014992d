/* Guards the parser and printer of log records: which records are rejected,
 * and that printing and parsing lose nothing, since every replica reads what
 * another daemon has printed. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "state_util.h"

#include <string.h>

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define HEAD "{\"id\":\"i1\",\"by\":\"d1\",\"time\":5,"

static const char *const valid_records[] = {
    HEAD "\"type\":\"doc\",\"service\":\"s\",\"base\":7,\"doc\":\"{ \\\"a\\\" "
         ": 1}\\u000a\"}",
    HEAD "\"type\":\"member\",\"daemon\":\"d1\",\"incarnation\":9,\"action\":"
         "\"join\",\"dc\":\"a\",\"address\":\"127.0.0.1:1\"}",
    HEAD
    "\"by_incarnation\":4,\"type\":\"vm\",\"vm\":\"v\",\"incarnation\":1,"
    "\"pool\":\"p\",\"dc\":\"a\",\"rack\":\"k\",\"address\":\"[::1]:80\"}",
    HEAD "\"type\":\"op\",\"op\":\"o\",\"kind\":\"move\",\"scope\":\"pool/p\","
         "\"vm\":\"v\",\"from\":\"p\",\"to\":\"q\",\"wave\":\"w\",\"cause\":"
         "\"demand \\\"2x\\\"\",\"result\":\"ok\",\"doc_version\":3,\"step\":"
         "\"done\"}",
    HEAD "\"type\":\"wave\",\"wave\":\"w\",\"scope\":\"pool/p\",\"action\":"
         "\"hold\",\"reason\":\"burn\"}",
    HEAD "\"type\":\"stat\",\"daemon\":\"d1\",\"from\":0,\"to\":60000,"
         "\"services\":[{\"service\":\"s\",\"ok\":1,\"failed\":2,\"shed\":3,"
         "\"unknown\":4,\"p50_us\":5,\"p99_us\":6,\"idle_slot_ms\":7,"
         "\"busy_slot_ms\":8}]}",
    HEAD "\"type\":\"snap\",\"cycle\":\"c\",\"as_of\":8,\"part\":1,\"parts\":"
         "2,\"items\":[[\"head\",0,0]]}",
};

/* A field that is printed and parsed differently would make the state of the
 * readers differ from the writer's. */
static void
test_round_trip(void **state)
{
    (void)state;
    for (size_t i = 0; i < COUNT(valid_records); i++) {
        struct cw_record r, again;
        char msg[CW_MSG_MAX];
        struct cw_buf a, b;
        cw_buf_init(&a);
        cw_buf_init(&b);
        assert_int_equal(
            cw_record_parse(&r, cw_str_from(valid_records[i]), msg), CW_OK);
        assert_int_equal(cw_record_print(&r, &a), CW_OK);
        assert_int_equal(cw_record_parse(&again, cw_buf_str(&a), msg), CW_OK);
        assert_int_equal(cw_record_print(&again, &b), CW_OK);
        assert_string_equal(a.ptr, b.ptr);
        assert_int_equal(r.type, again.type);
        assert_int_equal(a.len, strlen(valid_records[i]));
        cw_record_finish(&r);
        cw_record_finish(&again);
        cw_buf_finish(&a);
        cw_buf_finish(&b);
    }
}

/* The text of a document has to stay byte for byte as written, since diff and
 * history show it. */
static void
test_doc_text_kept(void **state)
{
    (void)state;
    struct cw_record r;
    char msg[CW_MSG_MAX];
    assert_int_equal(cw_record_parse(&r, cw_str_from(valid_records[0]), msg),
                     CW_OK);
    assert_true(cw_str_eq(r.u.doc.json, CW_LIT("{ \"a\" : 1}\n")));
    cw_record_finish(&r);
    assert_int_equal(
        cw_record_parse(&r,
                        CW_LIT(HEAD "\"type\":\"doc\",\"service\":\"s\","
                                    "\"base\":0,\"doc\":{\"a\":1}}"),
                        msg),
        CW_OK);
    assert_true(cw_str_eq(r.u.doc.json, CW_LIT("{\"a\":1}")));
    cw_record_finish(&r);
}

/* The message has to name the invalid field, so that the fault of the writer
 * can be found. */
static void
test_invalid_records(void **state)
{
    (void)state;
    static const struct {
        const char *json;
        const char *in_message;
    } cases[] = {
        {"", "not valid JSON"},
        {"[]", "must be an object"},
        {"{}", "type: missing"},
        {HEAD "\"type\":\"door\"}", "type"},
        {HEAD "\"type\":7}", "type"},
        {"{\"id\":\"a b\",\"by\":\"d1\",\"time\":1,\"type\":\"vm\"}", "id"},
        {"{\"id\":\"a\",\"time\":1,\"type\":\"vm\"}", "by"},
        {"{\"id\":\"a\",\"by\":\"d\",\"time\":-1,\"type\":\"vm\"}", "time"},
        {"{\"id\":\"a\",\"id\":\"b\"}", "duplicate"},
        {HEAD "\"type\":\"doc\",\"service\":\"s\",\"base\":1.5,\"doc\":{}}",
         "base"},
        {HEAD "\"type\":\"doc\",\"service\":\"s\",\"base\":1,\"doc\":[]}",
         "doc"},
        {HEAD "\"type\":\"member\",\"daemon\":\"d\",\"incarnation\":0,"
              "\"action\":\"leave\"}",
         "incarnation"},
        {HEAD "\"type\":\"member\",\"daemon\":\"d\",\"incarnation\":1,"
              "\"action\":\"join\",\"dc\":\"a\",\"address\":\"host:1\"}",
         "address"},
        {HEAD "\"type\":\"wave\",\"wave\":\"w\",\"scope\":\"log\",\"action\":"
              "\"open\"}",
         "scope"},
        {HEAD "\"type\":\"wave\",\"wave\":\"w\",\"scope\":\"pool/a/b\","
              "\"action\":\"open\"}",
         "scope"},
        {HEAD "\"type\":\"stat\",\"daemon\":\"d\",\"from\":9,\"to\":9,"
              "\"services\":[]}",
         "to"},
        {HEAD "\"type\":\"stat\",\"daemon\":\"d\",\"from\":1,\"to\":9,"
              "\"services\":[{\"service\":\"s\",\"ok\":-1}]}",
         "services[0].ok"},
        {HEAD "\"type\":\"snap\",\"cycle\":\"c\",\"as_of\":1,\"part\":3,"
              "\"parts\":2,\"items\":[]}",
         "part"},
    };
    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_record r;
        char msg[CW_MSG_MAX];
        assert_int_equal(cw_record_parse(&r, cw_str_from(cases[i].json), msg),
                         CW_ERR_INVALID);
        if (strstr(msg, cases[i].in_message) == NULL) {
            fail_msg("case %zu: %s", i, msg);
        }
        assert_null(r.owned);
    }
}

/* A malformed record in the log must not crash a replica, and a record that is
 * accepted has to print as one that is accepted again. */
static void
test_mutations(void **state)
{
    (void)state;
    struct cw_rng rng;
    cw_rng_init(&rng, 20261204);
    struct cw_buf text, printed;
    cw_buf_init(&text);
    cw_buf_init(&printed);
    for (int i = 0; i < 20000; i++) {
        mutate_text(
            &rng,
            cw_str_from(
                valid_records[cw_rng_below(&rng, COUNT(valid_records))]),
            &text);
        struct cw_record r, again;
        char msg[CW_MSG_MAX];
        if (cw_record_parse(&r, cw_buf_str(&text), msg) != CW_OK) {
            assert_true(msg[0] != '\0');
            continue;
        }
        cw_buf_clear(&printed);
        assert_int_equal(cw_record_print(&r, &printed), CW_OK);
        assert_int_equal(cw_record_parse(&again, cw_buf_str(&printed), msg),
                         CW_OK);
        cw_record_finish(&again);
        cw_record_finish(&r);
    }
    cw_buf_finish(&text);
    cw_buf_finish(&printed);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_round_trip),
        cmocka_unit_test(test_doc_text_kept),
        cmocka_unit_test(test_invalid_records),
        cmocka_unit_test(test_mutations),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
