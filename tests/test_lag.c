/* Tests what the scheduler defers while its event loop lags behind. The load
 * is that of a fleet at a peak after a takeover: 800 workers with seven tasks
 * of a second each, so that 5,600 ends a second were fetched one by one and
 * the loop fell behind by a second. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "cw_jobs.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

static void
test_deferred(void **state)
{
    (void)state;
    static const struct {
        const char *name;
        cw_ms late; /* of each of 50 ticks */
        cw_ms delay_min;
        cw_ms delay_max;
        cw_ms commit_min;
        cw_ms commit_max;
    } cases[] = {
        {"idle", 0, 0, 0, 20, 20},
        {"timers fire late", 8, 0, 0, 20, 20},
        {"some load", 40, 40, 80, 40, 60},
        {"overload", 200, 250, 250, 80, 80},
        {"clock went back", -500, 0, 0, 20, 20},
    };

    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_loop_lag l = {0};
        cw_ms delay;
        cw_ms commit;

        for (int k = 0; k < 50; k++) {
            cw_loop_lag_add(&l, cases[i].late);
        }
        delay = cw_loop_lag_report_delay(&l);
        commit = cw_loop_lag_commit_interval(&l);
        if (delay < cases[i].delay_min || delay > cases[i].delay_max ||
            commit < cases[i].commit_min || commit > cases[i].commit_max) {
            fail_msg("%s: delay %lld, commit interval %lld", cases[i].name,
                     (long long)delay, (long long)commit);
        }
    }
}

/* One pause of some seconds is no load: reports are not deferred for longer
 * than a few ticks after it. */
static void
test_pause_is_no_load(void **state)
{
    (void)state;
    struct cw_loop_lag l = {0};

    cw_loop_lag_add(&l, 5000);
    for (int k = 0; k < 20; k++) {
        cw_loop_lag_add(&l, 0);
    }
    assert_int_equal(cw_loop_lag_report_delay(&l), 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_deferred),
        cmocka_unit_test(test_pause_is_no_load),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
