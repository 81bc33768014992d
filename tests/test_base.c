/* The base package: names, numbers, wall times, histograms, metrics and quoted
 * log values. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "cuminwalk.h"

#include <string.h>

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

/* A separator or space in a name would break keys, paths and log lines. */
static void
test_name_valid(void **state)
{
    (void)state;
    static const struct {
        const char *text;
        bool valid;
    } cases[] = {
        {"stock", true}, {"a.b-c_9", true}, {"9", true},    {"", false},
        {"-a", false},   {"a b", false},    {"a/b", false}, {"a\n", false},
    };
    for (size_t i = 0; i < COUNT(cases); i++) {
        assert_int_equal(cw_name_valid(cw_str_from(cases[i].text)),
                         cases[i].valid);
    }
}

/* A number that overflows must be rejected, not wrapped. */
static void
test_str_to_u64(void **state)
{
    (void)state;
    static const struct {
        const char *text;
        bool ok;
        uint64_t value;
    } cases[] = {
        {"0", true, 0},
        {"18446744073709551615", true, UINT64_MAX},
        {"18446744073709551616", false, 0},
        {"", false, 0},
        {"1x", false, 0},
        {"-1", false, 0},
    };
    for (size_t i = 0; i < COUNT(cases); i++) {
        uint64_t v = 0;
        assert_int_equal(cw_str_to_u64(cw_str_from(cases[i].text), &v),
                         cases[i].ok);
        assert_true(v == cases[i].value);
    }
}

/* Wall times in records are written by one program and parsed by another. */
static void
test_time_parse_format(void **state)
{
    (void)state;
    static const struct {
        const char *text;
        enum cw_status status;
        cw_ms wall;
        const char *formatted;
    } cases[] = {
        {"1970-01-01", CW_OK, 0, "1970-01-01T00:00:00.000Z"},
        {"2026-12-04T05:14", CW_OK, 1796361240000, "2026-12-04T05:14:00.000Z"},
        {"2026-12-04T05:14:01.250Z", CW_OK, 1796361241250,
         "2026-12-04T05:14:01.250Z"},
        {"2026-12-04T05:14:01.2Z", CW_ERR_INVALID, 0, NULL},
        {"yesterday", CW_ERR_INVALID, 0, NULL},
        {"2026-12-04 x", CW_ERR_INVALID, 0, NULL},
    };
    for (size_t i = 0; i < COUNT(cases); i++) {
        cw_ms wall = 0;
        assert_int_equal(cw_time_parse(cases[i].text, &wall), cases[i].status);
        assert_true(wall == cases[i].wall);
        if (cases[i].formatted != NULL) {
            char buf[25];
            cw_time_format(wall, buf);
            assert_string_equal(buf, cases[i].formatted);
        }
    }
}

/* A quantile may exceed the true value by one bucket width and must not be
 * below it. */
static void
test_hist_quantile(void **state)
{
    (void)state;
    struct cw_hist h;
    cw_hist_init(&h);
    for (uint64_t v = 1; v <= 10000; v++) {
        cw_hist_record(&h, v);
    }
    static const double quantiles[] = {0.01, 0.5, 0.9, 0.99, 1.0};
    for (size_t i = 0; i < COUNT(quantiles); i++) {
        double exact = 1 + quantiles[i] * 9999;
        double got = (double)cw_hist_quantile(&h, quantiles[i]);
        assert_true(got >= exact - 1 && got <= exact * 1.126);
    }
    struct cw_hist sum;
    cw_hist_init(&sum);
    cw_hist_merge(&sum, &h);
    cw_hist_merge(&sum, &h);
    assert_true(sum.count == 20000 && sum.max == 10000);
}

/* The largest value must be counted in the last bucket, not past the array. */
static void
test_hist_extremes(void **state)
{
    (void)state;
    struct cw_hist h;
    cw_hist_init(&h);
    cw_hist_record(&h, 0);
    cw_hist_record(&h, UINT64_MAX);
    assert_true(cw_hist_quantile(&h, 1.0) > 0);
    assert_true(h.count == 2);
}

/* Pointers that the registry returned must stay valid while it grows, because
 * callers keep them. */
static void
test_metrics_pointers_valid(void **state)
{
    (void)state;
    struct cw_metrics m;
    cw_metrics_init(&m);
    uint64_t *first =
        cw_metrics_counter(&m, "requests_total", "service=\"a\"");
    for (int i = 0; i < 100; i++) {
        char label[32];
        snprintf(label, sizeof(label), "n=\"%d\"", i);
        *cw_metrics_counter(&m, "fill_total", label) += 1;
    }
    *first = 7;
    assert_ptr_equal(
        first, cw_metrics_counter(&m, "requests_total", "service=\"a\""));
    struct cw_buf out;
    cw_buf_init(&out);
    cw_metrics_print(&m, &out);
    assert_non_null(strstr(out.ptr, "requests_total{service=\"a\"} 7\n"));
    cw_buf_finish(&out);
    cw_metrics_finish(&m);
}

/* A quote or newline in a value must not look like another key in a log
 * line. */
static void
test_quoted(void **state)
{
    (void)state;
    char buf[CW_QUOTED_MAX];
    assert_string_equal(cw_quoted(buf, CW_LIT("a\"b\nc")), "\"a\\\"b\\x0ac\"");
    char big[2000];
    memset(big, '"', sizeof(big));
    cw_quoted(buf, (struct cw_str){big, sizeof(big)});
    assert_true(strlen(buf) < CW_QUOTED_MAX);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_name_valid),
        cmocka_unit_test(test_str_to_u64),
        cmocka_unit_test(test_time_parse_format),
        cmocka_unit_test(test_hist_quantile),
        cmocka_unit_test(test_hist_extremes),
        cmocka_unit_test(test_metrics_pointers_valid),
        cmocka_unit_test(test_quoted),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
