/* Tests the retry budget and the rule for which attempts may be repeated. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "cuminwalk.h"

#define NOT_RUN CW_OUTCOME_NOT_RUN
#define UNKNOWN CW_OUTCOME_UNKNOWN
#define RUN CW_OUTCOME_RUN
#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

/* A non-idempotent request that is sent twice may run twice. A caller that is
 * told "not run" although the request ran repeats it. */
static void
test_attempt_rules(void **state)
{
    (void)state;
    static const struct {
        struct cw_attempt a;
        enum cw_outcome outcome;
        bool resendable;
    } cases[] = {
        {{.end = CW_END_CONNECT}, NOT_RUN, true},
        {{.end = CW_END_REFUSED, .first_byte = true}, NOT_RUN, true},
        {{.end = CW_END_INTERRUPTED}, NOT_RUN, true},
        {{.end = CW_END_INTERRUPTED, .first_byte = true}, UNKNOWN, false},
        {{.end = CW_END_INTERRUPTED, .first_byte = true, .idempotent = true},
         UNKNOWN,
         true},
        {{.end = CW_END_RESPONSE, .first_byte = true, .idempotent = true},
         RUN,
         false},
        /* part of a response went to the caller */
        {{.end = CW_END_INTERRUPTED,
          .first_byte = true,
          .idempotent = true,
          .response_begun = true},
         UNKNOWN,
         false},
        /* the first attempt may have run, the second was refused */
        {{.end = CW_END_REFUSED,
          .first_byte = true,
          .idempotent = true,
          .unknown_before = true,
          .resent = 1},
         UNKNOWN,
         true},
        {{.end = CW_END_CONNECT, .unknown_before = true, .resent = 1},
         UNKNOWN,
         false},
        {{.end = CW_END_CONNECT, .resent = 1}, NOT_RUN, true},
        {{.end = CW_END_CONNECT, .resent = 2}, NOT_RUN, false},
    };
    struct cw_retry_params p = cw_retry_defaults();
    for (size_t i = 0; i < COUNT(cases); i++) {
        assert_int_equal(cw_attempt_outcome(&cases[i].a), cases[i].outcome);
        assert_int_equal(cw_attempt_resendable(&cases[i].a, &p),
                         cases[i].resendable);
    }
    assert_string_equal(cw_outcome_name(CW_OUTCOME_NOT_RUN), "not-run");
    assert_string_equal(cw_outcome_name(CW_OUTCOME_RUN), "run");
}

static uint32_t
count_granted(struct cw_retry *r, cw_ms now, uint32_t tries)
{
    uint32_t n = 0;
    for (uint32_t i = 0; i < tries; i++) {
        n += cw_retry_spend(r, now);
    }
    return n;
}

/* When every endpoint refuses, unlimited retries triple the load (two resends
 * per request). */
static void
test_budget(void **state)
{
    (void)state;
    static const struct {
        double share;
        uint32_t requests;
        uint32_t allowed;
    } cases[] = {
        {0.1, 0, 3},      {0.1, 20, 3},  {0.1, 40, 4},
        {0.1, 1000, 100}, {-1, 10, 500},
    };
    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_retry r;
        struct cw_retry_params p = cw_retry_defaults();
        p.share = cases[i].share;
        cw_retry_init(&r, p);
        for (uint32_t k = 0; k < cases[i].requests; k++) {
            cw_retry_count_request(&r, 50000);
        }
        assert_int_equal(count_granted(&r, 50000, 500), cases[i].allowed);
    }
}

/* A budget that counts requests or retries from before the window would allow
 * a retry storm after a quiet period, or no retries after a storm. */
static void
test_budget_window(void **state)
{
    (void)state;
    struct cw_retry r;
    cw_retry_init(&r, cw_retry_defaults());
    for (int i = 0; i < 1000; i++) {
        cw_retry_count_request(&r, i); /* all in the first second */
    }
    assert_int_equal(count_granted(&r, 900, 500), 100);
    assert_int_equal(count_granted(&r, 9900, 500), 0);
    assert_int_equal(count_granted(&r, 10999, 500), 0);
    assert_int_equal(count_granted(&r, 11000, 500), 3);
    assert_int_equal(count_granted(&r, 21999, 500), 0);
    assert_int_equal(count_granted(&r, 22000, 500), 3);
    /* the same bucket index, hours later */
    assert_int_equal(count_granted(&r, 3600900, 500), 3);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_attempt_rules),
        cmocka_unit_test(test_budget),
        cmocka_unit_test(test_budget_window),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
