/* Tests of the calls for reports to one worker. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "agents_int.h"
#include "jobd_rig.h"

static struct rig rig;

static int
setup(void **state)
{
    (void)state;
    rig_init(&rig);
    rig_take_over(&rig);
    return 0;
}

static int
teardown(void **state)
{
    (void)state;
    rig_finish(&rig);
    return 0;
}

/* LIMIT: a worker without tasks was not asked again after it had reported a
 * run of a job that has ended, so that nobody saw whether the run stopped. */
static void
test_strays_are_watched(void **state)
{
    struct cw_run_row stray = {.job = 99, .run = 1};

    (void)state;
    assert_false(rig.report.open);
    rig.worker->contacted = false;
    cw_agents_scan(&rig.d, rig.clock.now);
    rig_report(&rig, &stray, 1);
    assert_int_equal(rig.stop_count, 1);
    assert_true(rig.report.open);
    assert_true(rig.report_wait > 0);
    rig_answer_orders(&rig);
    rig_advance(&rig, 100);
    rig_report(&rig, &stray, 1); /* told again, as it runs on */
    assert_int_equal(rig.stop_count, 2);
    assert_true(rig.report.open);
    rig_advance(&rig, 100);
    rig_report(&rig, NULL, 0);
    assert_false(rig.report.open);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_strays_are_watched, setup,
                                        teardown),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
