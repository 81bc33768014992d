/* Tests of leases that starts extend seconds after they were sent, at a worker
 * that has restarted under its id meanwhile: no task runs twice. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "late_worker.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

/* TWICE: a start to a silent worker counted as arrived after 500 ms. Carried
 * out later by an incarnation that the scheduler doesn't know, it holds its
 * run for max_hold_ms from then on. */
static void
test_lease_of_a_late_start(void **state)
{
    (void)state;
    static const cw_ms arrives[] = {400, 2500, 8000, 12000};

    for (size_t i = 0; i < COUNT(arrives); i++) {
        struct late_worker r = {0};
        cw_ms sent;
        struct late_start s;

        late_begin(&r);
        sent = late.now;
        s = late_start_job(&r, 7, 1);
        jobs_add_worker(&late, "w2", "w2", 4000);
        late_begin_life(&r, late.now);
        late_run_to(sent + LATE_CALL_MS);
        cw_worker_start_unanswered(&late.s, r.worker, sent);
        late_run_to(sent + arrives[i]);
        assert_true(late_carry_out(&r, &s));
        while (!late_started_again(&s.row) && late.now - sent < 60000) {
            late_run_to(late.now + LATE_STEP_MS);
        }
        assert_true(late_started_again(&s.row));
        assert_true(late.now >= r.lapses);
        late_next_case();
    }
}

/* TWICE: a start whose first send is carried out late extends the lease of all
 * that runs on the worker. At a restarted worker its end is far ahead, as it
 * was meant for the former clock; the scheduler counted the lease that it had
 * sent last, and a worker that was then cut off ran its tasks beside their
 * next runs. */
static void
test_lease_of_others_after_a_late_start(void **state)
{
    (void)state;
    static const struct {
        cw_ms restart; /* after the first send of job 8's start */
        cw_ms arrives; /* the same */
    } cases[] = {{300, 350}, {300, 2500}, {300, 8000}, {1000, 12000}};

    for (size_t k = 0; k < 2 * COUNT(cases); k++) {
        size_t i = k / 2;
        bool noticed = k % 2 == 1; /* the restart, before the call's end */
        struct late_worker r = {0};
        struct late_start first;
        struct late_start s;
        cw_ms sent;

        late_begin(&r);
        late_run_to(late.now + 10);
        sent = late.now;
        first = late_start_job(&r, 8, 1);
        late_run_to(sent + cases[i].restart);
        late_begin_life(&r, late.now);
        if (cases[i].arrives < 500) {
            late_run_to(sent + cases[i].arrives);
            assert_true(late_carry_out(&r, &first));
        }
        if (!noticed) {
            cw_worker_start_unanswered(&late.s, r.worker, sent);
        }
        late_run_to(sent + cases[i].restart + 200);
        late_report(&r, 1);
        if (noticed) {
            cw_worker_start_unanswered(&late.s, r.worker, sent);
        }
        s = first;
        s.until_ms = cw_worker_lease_until(&late.s, r.worker, true, late.now);
        late_repeat_start(&r, &s, LATE_ACCEPTED_LISTED);
        s = late_start_job(&r, 7, 1);
        assert_true(late_carry_out(&r, &s));
        cw_sched_start_answered(&late.s, r.worker, &s.row, CW_START_OK, false,
                                late.now);
        jobs_add_worker(&late, "w2", "w2", 4000);
        while (late.now < sent + cases[i].arrives) {
            late_run_to(late.now + 250);
            late_hold(
                &r, cw_worker_lease_until(&late.s, r.worker, true, late.now));
            late_report(&r, 1);
        }
        if (cases[i].arrives >= 500) {
            assert_true(late_carry_out(&r, &first));
        }
        /* Cut off from here on. */
        while (!late_started_again(&s.row) && late.now - sent < 60000) {
            late_run_to(late.now + LATE_STEP_MS);
        }
        assert_true(late_started_again(&s.row));
        assert_true(late.now >= r.lapses);
        late_next_case();
    }
}

/* TWICE: a start moves the time at which the unproved runs of its worker have
 * lapsed. After a takeover it moved that time back, as the former scheduler
 * may renew for longer than a start takes to arrive. The report before it has
 * a row that can't be read, so that it decides on no run. */
static void
test_start_keeps_the_lapse_of_loaded_runs(void **state)
{
    (void)state;
    for (int with_start = 0; with_start < 2; with_start++) {
        struct late_worker r = {0};
        struct cw_run_report partial = {.partial = true};
        cw_ms loaded;
        struct late_start s;

        late_begin(&r);
        s = late_start_job(&r, 7, 1);
        jobs_take_over(&late);
        loaded = late.now;
        r.worker = late_list("w1", r.born, false);
        partial.born_wall = r.born;
        partial.clock_ms = late_clock(&r);
        partial.sent_at = late.now;
        cw_sched_report(&late.s, r.worker, &partial, late.now);
        late_run_to(loaded + 100);
        if (with_start) {
            (void)late_start_job(&r, 8, 2);
        }
        while (late_task(7)->run == s.row.run &&
               late_task(7)->worker != NULL && late.now - loaded < 60000) {
            late_run_to(late.now + LATE_STEP_MS);
        }
        assert_true(late.now - loaded >=
                    late.s.limits.renewals_ms + LATE_MAX_HOLD_MS);
        late_next_case();
    }
}

static void
use_product_limits(void)
{
    late.s.limits.lease_ms = 4500;
    late.s.limits.renewals_ms = 2000;
}

/* Lets time pass until job 7's run is given up, which is not before its worker
 * has ended it. */
static void
expect_lapse(const struct late_worker *r, uint32_t run)
{
    const struct cw_task *t = late_task(7);
    cw_ms from = late.now;

    while (t->worker != NULL && t->run == run && late.now - from < 60000) {
        late.now += LATE_STEP_MS;
        cw_sched_expire_leases(&late.s, late.now);
    }
    assert_true(t->worker == NULL || t->run != run);
    assert_true(late.now >= r->lapses);
}

/* TWICE: a start reached an incarnation that was not known, which held its run
 * for max_hold_ms. Its reports listed the run; the record then said that the
 * lease is proved, so that a successor gave the run up after lease_ms. */
static void
test_record_of_a_run_with_a_long_lease(void **state)
{
    (void)state;
    static const struct {
        cw_ms listed_ms;
        bool rewritten; /* the record, for another reason */
    } cases[] = {{100, true}, {3050, false}, {5000, false}, {8000, true}};

    for (size_t i = 0; i < COUNT(cases); i++) {
        struct late_worker r = {0};
        struct late_start s;
        cw_ms sent;

        use_product_limits();
        late_begin(&r);
        sent = late.now;
        s = late_start_job(&r, 7, 1);
        late_begin_life(&r, late.now);
        assert_true(late_carry_out(&r, &s));
        cw_sched_start_answered(&late.s, r.worker, &s.row, CW_START_OK, false,
                                late.now);
        late_report(&r, 1);
        if (cases[i].rewritten) {
            cw_job_mark_dirty(&late.s, late_task(7)->job);
        }
        jobs_commit(&late);
        late_run_to(sent + cases[i].listed_ms);
        late_report(&r, 1);
        jobs_commit(&late);
        jobs_take_over(&late);
        expect_lapse(&r, s.row.run);
        late_next_case();
    }
}

/* TWICE: the clock in the answer to a start proves that the process ran when
 * the last report was asked for. A report that was read seconds late, after a
 * pause of the daemon, made a process that began after it count as the one
 * that had sent it. */
static void
test_clock_after_a_pause(void **state)
{
    (void)state;
    struct late_worker r = {0};
    struct late_start s;
    struct cw_run_report rep = {0};

    use_product_limits();
    late_begin(&r);
    rep.sent_at = late.now;
    rep.born_wall = r.born;
    rep.clock_ms = late_clock(&r);
    late.now += 100;
    late_begin_life(&r, late.now);
    late.now += 4000;
    cw_sched_report(&late.s, r.worker, &rep, late.now);
    s = late_start_job(&r, 7, 1);
    s.until_ms = cw_worker_lease_until(&late.s, r.worker, true, late.now);
    assert_true(late_carry_out(&r, &s));
    cw_sched_start_answered(&late.s, r.worker, &s.row, CW_START_OK, false,
                            late.now);
    cw_sched_start_clock(&late.s, r.worker, &s.row, late_clock(&r), late.now);
    expect_lapse(&r, s.row.run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_lease_of_a_late_start, late_setup,
                                        late_teardown),
        cmocka_unit_test_setup_teardown(
            test_lease_of_others_after_a_late_start, late_setup,
            late_teardown),
        cmocka_unit_test_setup_teardown(
            test_start_keeps_the_lapse_of_loaded_runs, late_setup,
            late_teardown),
        cmocka_unit_test_setup_teardown(test_record_of_a_run_with_a_long_lease,
                                        late_setup, late_teardown),
        cmocka_unit_test_setup_teardown(test_clock_after_a_pause, late_setup,
                                        late_teardown),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
