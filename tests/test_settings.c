/* Daemon settings: an invalid address or time must prevent the start and be
 * reported with its path, rather than fail later. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "state_util.h"

#include <string.h>

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define REST                                                                  \
    "\"dc\":\"a\",\"listen\":\"0.0.0.0:80\",\"peer_listen\":\"10.0.0.1:81\""
#define PLATFORM "\"platform\":\"[fd00::1]:90\""
#define BASE "\"daemon\":\"d1\"," REST "," PLATFORM

static void
test_defaults(void **state)
{
    (void)state;
    struct cw_settings s;
    assert_int_equal(cw_settings_parse(&s, CW_LIT("{" BASE "}"), NULL), CW_OK);
    assert_string_equal(s.platform.text, "[fd00::1]:90");
    assert_true(
        cw_str_starts(cw_name_str(&s.admin_listen), CW_LIT("127.0.0.1:")));
    assert_int_equal(s.heartbeat_ms, 1000);
    assert_int_equal(s.silent_ms, 3000);
    assert_int_equal(s.slot_guard_ms, 4000);
    assert_int_equal(s.key_streams, 1);
    assert_int_equal(s.key_window_ms, 600000);
    assert_int_equal(s.log_level, CW_INFO);
    cw_settings_finish(&s);
}

/* All daemons share one list of peers; a daemon must not connect to itself. */
static void
test_peers(void **state)
{
    (void)state;
    struct cw_settings s;
    assert_int_equal(
        cw_settings_parse(
            &s,
            CW_LIT("{" BASE ",\"log_level\":\"debug\",\"seed\":42,\"peers\":["
                   "{\"daemon\":\"d1\",\"address\":\"10.0.0.1:81\"},"
                   "{\"daemon\":\"d2\",\"address\":\"10.0.0.2:81\"}]}"),
            NULL),
        CW_OK);
    assert_int_equal(s.peer_count, 1);
    assert_string_equal(s.peers[0].daemon.text, "d2");
    assert_int_equal(s.log_level, CW_DEBUG);
    assert_int_equal(s.seed, 42);
    cw_settings_finish(&s);
}

static void
test_faults(void **state)
{
    (void)state;
    static const struct {
        const char *json;
        const char *path;
    } cases[] = {
        {"", ""},
        {"{" REST "," PLATFORM "}", "daemon"},
        {"{\"daemon\":\"d\"," REST "}", "platform"},
        {"{\"daemon\":\"d\"," REST ",\"platform\":\"host:1\"}", "platform"},
        {"{\"daemon\":\"d\"," REST ",\"platform\":\"1.2.3.4\"}", "platform"},
        {"{\"daemon\":\"d\"," REST ",\"platform\":\"1.2.3.4:0\"}", "platform"},
        {"{\"daemon\":\"d\"," REST ",\"platform\":\"1.2.3.4:65536\"}",
         "platform"},
        {"{\"daemon\":\"d\"," REST ",\"platform\":\"1.2.3:4\"}", "platform"},
        {"{\"daemon\":\"d\"," REST ",\"platform\":\"::1:4\"}", "platform"},
        {"{\"daemon\":\"d\"," REST ",\"platform\":\"[::1]\"}", "platform"},
        {"{" BASE ",\"admin\":1}", "admin"},
        {"{" BASE ",\"log_level\":\"loud\"}", "log_level"},
        {"{" BASE ",\"heartbeat_ms\":2000}", "silent_ms"},
        {"{" BASE ",\"silent_ms\":4000}", "slot_guard_ms"},
        {"{" BASE ",\"key_streams\":17}", "key_streams"},
        {"{" BASE ",\"cells\":0}", "cells"},
        {"{" BASE ",\"seed\":-1}", "seed"},
        {"{" BASE ",\"weight_moves\":\"1\"}", "weight_moves"},
        {"{" BASE ",\"weight_buffer\":0,\"weight_rollout\":0,"
         "\"weight_moves\":0}",
         "weight_buffer"},
        {"{" BASE ",\"peers\":{}}", "peers"},
        {"{" BASE ",\"peers\":[{\"daemon\":\"x\"}]}", "peers[0].address"},
        {"{" BASE ",\"peers\":[{\"daemon\":\"x\",\"address\":\"1.1.1.1:1\"},"
         "{\"daemon\":\"x\",\"address\":\"1.1.1.1:1\"}]}",
         "peers[1].daemon"},
    };
    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_settings s;
        struct cw_faults f;
        assert_int_equal(cw_settings_parse(&s, cw_str_from(cases[i].json), &f),
                         CW_ERR_INVALID);
        if (f.count != 1 || strcmp(f.items[0].path, cases[i].path) != 0) {
            fail_msg("case %zu: %zu faults, %s: %s", i, f.count,
                     f.items[0].path, f.items[0].text);
        }
        assert_null(s.peers);
    }
}

/* A corrupted settings file must be rejected, or parsed to valid values,
 * without a crash. */
static void
test_mutations(void **state)
{
    (void)state;
    struct cw_rng rng;
    cw_rng_init(&rng, 20261204);
    struct cw_buf text;
    cw_buf_init(&text);
    for (int i = 0; i < 20000; i++) {
        mutate_text(&rng,
                    CW_LIT("{" BASE
                           ",\"silent_ms\":3000,\"seed\":1,\"peers\":["
                           "{\"daemon\":\"x\",\"address\":\"1.1.1.1:1\"}]}"),
                    &text);
        struct cw_settings s;
        struct cw_faults f;
        enum cw_status st = cw_settings_parse(&s, cw_buf_str(&text), &f);
        assert_true((st == CW_OK) == (f.count == 0));
        if (st == CW_OK) {
            assert_true(s.silent_ms < s.slot_guard_ms);
        }
        cw_settings_finish(&s);
    }
    cw_buf_finish(&text);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_defaults),
        cmocka_unit_test(test_peers),
        cmocka_unit_test(test_faults),
        cmocka_unit_test(test_mutations),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
