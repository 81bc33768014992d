/* Tests the settings of the job service's daemon. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "cw_jobd.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define ADDRESSES                                                             \
    "\"daemon\":\"d\",\"dc\":\"z\",\"listen\":\"10.0.0.1:1\","                \
    "\"ready_listen\":\"10.0.0.1:2\",\"peer_listen\":\"10.0.0.1:3\","         \
    "\"store\":\"10.0.0.2:1\""

/* A daemon must not start with invalid settings, and must start with keys that
 * it does not know. */
static void
test_valid(void **state)
{
    (void)state;
    static const struct {
        const char *json;
        enum cw_status expect;
    } cases[] = {
        {"{" ADDRESSES "}", CW_OK},
        {"{" ADDRESSES ",\"tomorrow\":[1,2]}", CW_OK},
        {"{" ADDRESSES ",\"vm_control\":\"10.0.0.3:1\"}", CW_OK},
        {"{" ADDRESSES ",\"vm_control\":\"here\"}", CW_ERR_INVALID},
        {"{" ADDRESSES ",\"grace_s\":\"long\"}", CW_ERR_INVALID},
        {"{" ADDRESSES ",\"cores\":0}", CW_ERR_INVALID},
        {"{" ADDRESSES ",\"max_hold_ms\":6000}", CW_OK},
        {"{" ADDRESSES ",\"max_hold_ms\":0}", CW_ERR_INVALID},
        {"{" ADDRESSES ",\"order_late_ms\":0}", CW_OK},
        {"{" ADDRESSES ",\"order_late_ms\":-1}", CW_ERR_INVALID},
        {"{" ADDRESSES ",\"harm_ms\":4500,\"interference\":false}", CW_OK},
        {"{" ADDRESSES ",\"harm_ms\":-1}", CW_ERR_INVALID},
        {"{" ADDRESSES ",\"interference\":1}", CW_ERR_INVALID},
        {"{" ADDRESSES ",\"strict_revoke\":true}", CW_OK},
        {"{" ADDRESSES ",\"strict_revoke\":1}", CW_ERR_INVALID},
        {"{" ADDRESSES ",\"revoke_ms\":5000}", CW_OK},
        {"{" ADDRESSES ",\"revoke_ms\":0}", CW_ERR_INVALID},
        {"{" ADDRESSES ",\"far_factor\":1.5}", CW_OK},
        {"{" ADDRESSES ",\"far_factor\":0.5}", CW_ERR_INVALID},
        {"{" ADDRESSES ",\"uneven_workers\":false}", CW_OK},
        {"{" ADDRESSES ",\"uneven_workers\":1}", CW_ERR_INVALID},
        {"{\"daemon\":\"d\"}", CW_ERR_INVALID},
        {"[]", CW_ERR_INVALID},
        {"{", CW_ERR_INVALID},
        {"", CW_ERR_INVALID},
    };

    cw_logger_setup(CW_ERROR, stderr, NULL);
    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_jobd_settings s;
        struct cw_faults faults = {0};

        assert_int_equal(
            cw_jobd_settings_parse(&s, cw_str_from(cases[i].json), &faults),
            cases[i].expect);
        assert_int_equal(faults.count > 0, cases[i].expect != CW_OK);
    }
}

/* The platform gives some times in seconds with a fraction. Parsed as
 * milliseconds, they were a thousandth of the intended value. */
static void
test_times(void **state)
{
    (void)state;
    struct cw_jobd_settings s;
    struct cw_faults faults = {0};

    assert_int_equal(
        cw_jobd_settings_parse(&s,
                               CW_LIT("{" ADDRESSES
                                      ",\"grace_s\":2.5,\"status_s\":120,"
                                      "\"move_s\":1.5,"
                                      "\"member_ttl_min_ms\":500}"),
                               &faults),
        CW_OK);
    assert_int_equal(s.grace_ms, 2500);
    assert_int_equal(s.status_ms, 120000);
    assert_int_equal(s.move_ms, 1500);
    assert_int_equal(s.member_ttl_ms, 1000);
    assert_int_equal(s.max_hold_ms, 10000);
    assert_int_equal(s.order_late_ms, 12000);
    assert_int_equal(s.revoke_ms, 5000);
    assert_false(s.strict_revoke);
    assert_int_equal(
        cw_jobd_settings_parse(
            &s, CW_LIT("{" ADDRESSES ",\"max_hold_ms\":6000}"), &faults),
        CW_OK);
    assert_int_equal(s.max_hold_ms, 6000);
}

/* Guards against limits that ignore the VM's memory or descriptors, or a
 * setting of their own. 64 descriptors fewer than 128 are left to callers. */
static void
test_limits(void **state)
{
    (void)state;
    static const struct {
        const char *json;
        size_t conns;
        size_t bytes;
        size_t body;
        cw_ms request_ms;
        size_t held;
    } cases[] = {
        {"{" ADDRESSES ",\"memory_mb\":160,\"max_fds\":128}", 64, 40 << 20,
         512 << 10, 30000, 20 << 20},
        {"{" ADDRESSES ",\"memory_mb\":8.0,\"max_fds\":128}", 64, 2 << 20,
         512 << 10, 30000, 1 << 20},
        {"{" ADDRESSES
         ",\"memory_mb\":160,\"max_fds\":128,\"max_connections\":50,"
         "\"request_memory_kb\":2048,\"max_body_kb\":300,"
         "\"request_timeout_ms\":5000}",
         50, 2 << 20, 300 << 10, 5000, 20 << 20},
    };

    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_jobd_settings s;
        struct cw_faults faults = {0};

        assert_int_equal(
            cw_jobd_settings_parse(&s, cw_str_from(cases[i].json), &faults),
            CW_OK);
        assert_int_equal(s.limits.conns_max, cases[i].conns);
        assert_int_equal(s.limits.bytes_max, cases[i].bytes);
        assert_int_equal(s.limits.body_max, cases[i].body);
        assert_int_equal(s.limits.request_ms, cases[i].request_ms);
        assert_int_equal(s.held_max, cases[i].held);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_valid),
        cmocka_unit_test(test_times),
        cmocka_unit_test(test_limits),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
