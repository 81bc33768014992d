/* Tests the availability budget: rolling window, burn rates, the VMs that may
 * be out of service, and the averages behind demand trends. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "cuminwalk.h"

#include <math.h>

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define T0 (1000 * CW_DAY)

static struct cw_budget_report
report(const struct cw_budget *b, cw_ms wall)
{
    struct cw_budget_params p = cw_budget_defaults();
    struct cw_budget_report r;
    cw_budget_evaluate(b, &p, wall, &r);
    return r;
}

/* All three kinds of bad outcome use the budget until the window passes. */
static void
test_window(void **state)
{
    (void)state;
    static struct cw_budget b;
    cw_budget_init(&b, 0.99, 28 * CW_DAY);
    struct cw_budget_report r = report(&b, T0);
    assert_true(r.availability >= 1 && !r.exhausted && !r.burning);
    cw_budget_add(&b, T0, (struct cw_counts){9700, 100, 100, 100});
    r = report(&b, T0);
    assert_true(fabs(r.allowed - 100) < 1e-6 && r.used > 299.5);
    assert_true(r.exhausted && fabs(r.left + 200) < 1e-6);
    cw_budget_add(&b, T0 + 20 * CW_DAY, (struct cw_counts){.ok = 500});
    assert_true(report(&b, T0 + 27 * CW_DAY).exhausted);
    r = report(&b, T0 + 29 * CW_DAY);
    assert_true(!r.exhausted && r.used < 0.5 && r.counts.ok == 500);
    /* Late counts for a bucket that was reused must be dropped. */
    cw_budget_add(&b, T0 + 28 * CW_DAY + CW_HOUR, (struct cw_counts){.ok = 1});
    cw_budget_add(&b, T0, (struct cw_counts){.failed = 1000});
    assert_true(report(&b, T0 + 29 * CW_DAY).used < 0.5);
}

/* A high failure rate of the last minutes must block planned stops at once; a
 * low rate in the budget, a handful of failures or an old burst must not. */
static void
test_burn(void **state)
{
    (void)state;
    static const struct {
        const char *name;
        uint64_t ok; /* per minute */
        uint64_t failed;
        int from; /* minutes before now */
        int to;
        bool burning;
    } cases[] = {
        {"healthy", 1000, 0, 60, 0, false},
        {"just now", 1000, 200, 5, 0, true},
        {"within budget", 10000, 9, 60, 0, false},
        {"over, but slow", 10000, 30, 60, 0, false},
        {"few requests", 0, 2, 3, 0, false},
        {"an hour ago", 1000, 200, 59, 30, false},
        {"shorter than the window", 1000, 1000, 1, 0, true},
    };
    for (size_t i = 0; i < COUNT(cases); i++) {
        static struct cw_budget b;
        cw_budget_init(&b, 0.999, 28 * CW_DAY);
        for (int m = 60; m >= 0; m--) {
            bool bad = m <= cases[i].from && m >= cases[i].to;
            cw_budget_add(
                &b, T0 - m * CW_MINUTE,
                (struct cw_counts){.ok = cases[i].ok,
                                   .unknown = bad ? cases[i].failed : 0});
        }
        if (report(&b, T0).burning != cases[i].burning) {
            fail_msg("case %s", cases[i].name);
        }
    }
}

/* The VMs out of service are bounded by vms_min, by demand with headroom, and
 * by what the budget can lose; each bound alone must be able to stop a batch.
 */
static void
test_max_vms_out(void **state)
{
    (void)state;
    struct cw_budget_params p = cw_budget_defaults();
    static const struct {
        uint32_t min;
        double demand;
        uint32_t slots;
        uint32_t needed;
    } needs[] = {
        {8, 0, 8, 8},
        {8, 20, 8, 8},
        {2, 40, 8, 6},
        {2, 40.1, 8, 7},
        {2, 1e30, 8, UINT32_MAX},
        {2, 5, 0, 2},
        {3, NAN, 8, 3},
    };
    for (size_t i = 0; i < COUNT(needs); i++) {
        assert_int_equal(
            cw_vms_needed(&p, needs[i].min, needs[i].demand, needs[i].slots),
            needs[i].needed);
    }
    assert_int_equal(cw_vms_surplus(10, 8), 2);
    assert_int_equal(cw_vms_surplus(7, 8), 0);
    static const struct {
        double left;
        double rate;
        bool exhausted;
        uint32_t vms;
    } batches[] = {
        {1000, 100, false, 2}, {10000, 100, false, 20},   {1, 100, false, 1},
        {-5, 100, true, 0},    {0, 0, false, UINT32_MAX},
    };
    for (size_t i = 0; i < COUNT(batches); i++) {
        struct cw_budget_report r = {.left = batches[i].left,
                                     .rate_per_s = batches[i].rate,
                                     .exhausted = batches[i].exhausted};
        assert_int_equal(cw_budget_batch_limit(&p, &r, 10), batches[i].vms);
    }
    struct cw_budget_report r = {.exhausted = true};
    p.batch_share = 0;
    assert_int_equal(cw_budget_batch_limit(&p, &r, 10), UINT32_MAX);
}

/* Averages must not depend on how long the reported spans are, and must drop
 * old amounts. */
static void
test_trend(void **state)
{
    (void)state;
    struct cw_trend a;
    struct cw_trend b;
    cw_trend_init(&a);
    cw_trend_init(&b);
    for (int i = 0; i < 30; i++) {
        cw_ms from = T0 + i * CW_MINUTE;
        double level = i < 28 ? 10 : 40;
        cw_trend_add(&a, from, from + CW_MINUTE, level * CW_MINUTE);
        for (int j = 0; j < 60; j++) {
            cw_trend_add(&b, from + j * 1000, from + (j + 1) * 1000,
                         level * 1000);
        }
    }
    cw_ms now = T0 + 30 * CW_MINUTE;
    double short_average = cw_trend_average(&a, now, 2 * CW_MINUTE);
    double long_average = cw_trend_average(&a, now, 15 * CW_MINUTE);
    assert_true(fabs(short_average - 40) < 1e-6 &&
                fabs(long_average - 14) < 1e-6);
    assert_true(fabs(cw_trend_average(&b, now, 2 * CW_MINUTE) - 40) < 1e-6);
    assert_true(fabs(cw_trend_average(&b, now, 15 * CW_MINUTE) - 14) < 1e-6);
    now += CW_HOUR;
    assert_true(cw_trend_average(&a, now, 15 * CW_MINUTE) < 1e-9);
    /* A report over a very long span must not loop over all its buckets. */
    cw_trend_add(&a, 0, now, 10.0 * (double)now);
    assert_true(fabs(cw_trend_average(&a, now, 15 * CW_MINUTE) - 10) < 1e-6);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_window),
        cmocka_unit_test(test_burn),
        cmocka_unit_test(test_max_vms_out),
        cmocka_unit_test(test_trend),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
