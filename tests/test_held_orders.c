/* Tests of starts that outlive the process they were sent to: they are carried
 * out seconds later, by the next process under the worker's id. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "late_worker.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

/* TWICE: a report that does not list a former scheduler's start ended the run,
 * as the worker's fence rejects the start from then on. A worker that restarts
 * under its id has seen no fence: a start that was still under way began
 * there, beside the task's next run. */
static void
test_start_of_a_former_scheduler(void **state)
{
    (void)state;
    static const struct {
        cw_ms arrives; /* after it was sent */
        bool restarts;
    } cases[] = {{4000, false}, {4000, true}, {12000, true}};

    for (size_t i = 0; i < COUNT(cases); i++) {
        struct late_worker r = {0};
        cw_ms sent;
        struct late_start s;

        late_begin(&r);
        sent = late.now;
        s = late_start_job(&r, 7, 1);
        late_run_to(sent + 1500);
        jobs_take_over(&late);
        r.worker = late_list("w1", r.born, true);
        r.worker->cordoned = true; /* the task's next run goes elsewhere */
        jobs_add_worker(&late, "w2", "w2", 4000);
        late_run_to(sent + 2000);
        late_report(&r, 2);
        late_run_to(sent + cases[i].arrives - 100);
        late_report(&r, 2);
        if (cases[i].restarts) {
            late_begin_life(&r, late.now);
        }
        late_run_to(sent + cases[i].arrives);
        assert_false(late_carry_out(&r, &s) && late_started_again(&s.row));
        late_next_case();
    }
}

/* TWICE: a start was repeated as its first send had no answer. That its run is
 * over was shown by a report, after the repeat or a stop had been answered.
 * The first send was carried out later, by an incarnation that knows neither
 * the run nor the stop. */
static void
test_first_send_after_a_repeat(void **state)
{
    (void)state;
    static const struct {
        enum late_repeat how;
        bool restarts;
        cw_ms arrives; /* the first send, after it was sent */
    } cases[] = {
        {LATE_ACCEPTED, false, 4000},       {LATE_NO_ROOM, false, 4000},
        {LATE_ACCEPTED, true, 2500},        {LATE_ACCEPTED, true, 12000},
        {LATE_ACCEPTED_LISTED, true, 4000}, {LATE_NO_ROOM, true, 2500},
        {LATE_NO_ROOM, true, 12000},
    };

    for (size_t i = 0; i < COUNT(cases); i++) {
        struct late_worker r = {0};
        cw_ms sent;
        struct late_start s;

        late_begin(&r);
        sent = late.now;
        s = late_start_job(&r, 7, 1);
        r.worker->cordoned = true; /* the task's next run goes elsewhere */
        jobs_add_worker(&late, "w2", "w2", 4000);
        late_run_to(sent + 550);
        late_repeat_start(&r, &s, cases[i].how);
        late_run_to(sent + 1000);
        if (cases[i].restarts) {
            late_begin_life(&r, late.now);
        }
        while (late.now < sent + cases[i].arrives) {
            late_run_to(late.now + 500);
            late_report(&r, 1);
        }
        assert_false(late_carry_out(&r, &s) && late_started_again(&s.row));
        late_next_case();
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_start_of_a_former_scheduler,
                                        late_setup, late_teardown),
        cmocka_unit_test_setup_teardown(test_first_send_after_a_repeat,
                                        late_setup, late_teardown),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
