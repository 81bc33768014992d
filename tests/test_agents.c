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

/* Answers the open call for a report of a worker without runs. */
static void
answer_idle(bool proved)
{
    struct cw_run_report rep = {.born_wall = 1,
                                .clock_ms = rig.clock.now,
                                .sent_at = rig.clock.now,
                                .proved = proved};

    rig_answer_report(&rig, &rep);
}

/* The end of a task, number 1, is reported and durable, but not acknowledged.
 */
static void
report_end(void)
{
    struct cw_job_entry *j = rig_accept(&rig, 1, false);
    struct cw_end_row end = {.number = 1, .how = CW_END_DONE};
    struct cw_run_report rep = {
        .born_wall = 1, .proved = true, .ended = &end, .ended_count = 1};

    rig_commit(&rig, CW_OK);
    rig_answer_orders(&rig);
    end.run = cw_task_row(&j->tasks[0]);
    rep.clock_ms = rig.clock.now;
    rig_answer_report(&rig, &rep);
    rig_commit(&rig, CW_OK);
    assert_int_equal(rig.worker->acked, 1);
}

/* An acknowledgement counted as sent on a connection on which it is left out:
 * the worker kept its ends for good, and with 500 of them listed no later end
 * was seen, so that jobs did not end. */
static void
test_acks_until_one_is_proved(void **state)
{
    (void)state;
    report_end();
    for (int i = 0; i < 3; i++) {
        assert_true(rig.report.open);
        assert_int_equal(rig.report_acked, 1);
        answer_idle(i == 2);
        rig_advance(&rig, 250);
        cw_agents_scan(&rig.d, rig.clock.now);
    }
    assert_false(rig.report.open);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_strays_are_watched, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_acks_until_one_is_proved, setup,
                                        teardown),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
