/* Tests of workers that restart under their id: what is known of a run, an
 * end, a clock or a lease holds for one incarnation only. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "jobs_util.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

static struct jobs_fixture f;

static int
setup(void **state)
{
    (void)state;
    cw_logger_setup(CW_ERROR, stderr, NULL);
    jobs_setup(&f);
    return 0;
}

static int
teardown(void **state)
{
    (void)state;
    jobs_teardown(&f);
    return 0;
}

/* Its clock shows its age. */
static struct cw_worker *
list_worker(const char *id, int64_t born)
{
    struct cw_worker_entry e = {.born_wall = born,
                                .clock_ms = f.now + f.s.wall_offset - born,
                                .current = true};

    (void)cw_name_set(&e.id, cw_str_from(id));
    (void)cw_name_set(&e.vm, cw_str_from(id));
    (void)cw_name_set(&e.service, CW_LIT(JOBS_SERVICE));
    (void)cw_name_set(&e.address, CW_LIT("10.0.0.1:80"));
    e.capacity = (struct cw_resources){4000, 100000, 0};
    return cw_sched_worker_listed(&f.s, &e, f.now);
}

/* A report of an incarnation that was asked for some time ago. */
static void
report(struct cw_worker *w, int64_t born, cw_ms ago,
       const struct cw_run_row *running)
{
    struct cw_run_report r = {.sent_at = f.now - ago,
                              .born_wall = born,
                              .clock_ms = 100,
                              .running = running,
                              .running_count = running != NULL ? 1 : 0};

    cw_sched_report(&f.s, w, &r, f.now);
}

enum run_phase {
    UNSENT,
    UNANSWERED,
    ANSWERED,
    ANSWERED_LATE, /* after the deciding report was asked for */
    LISTED,
    STOP_SENT,
    STOP_ANSWERED, /* by the former incarnation */
    LOADED_STARTING,
    LOADED_RUNNING,
    LOADED_STOPPING,
};

static struct cw_task *
only_task(void)
{
    struct cw_run_row r = {.job = 7};

    return cw_sched_find_task(&f.s, &r);
}

/* Brings the only task's run into the phase, on w1, born 1000. */
static struct cw_worker *
begin_run(enum run_phase p)
{
    struct cw_job_spec s = jobs_spec(7, 1, 1000);
    struct cw_worker *w = list_worker("w1", 1000);
    struct cw_run_row row;

    report(w, 1000, 0, NULL);
    jobs_accept(&f, &s);
    if (p == UNSENT) {
        (void)jobs_flush(&f);
        return w;
    }
    jobs_commit(&f);
    row = cw_task_row(only_task());
    f.now += 10;
    if (p != UNANSWERED && p != ANSWERED_LATE && p != LOADED_STARTING) {
        cw_sched_start_answered(&f.s, w, &row, CW_START_OK, false, f.now);
    }
    if (p == LISTED) {
        f.now += 10;
        report(w, 1000, 0, &row);
    }
    if (p == STOP_SENT || p == STOP_ANSWERED || p == LOADED_STOPPING) {
        cw_sched_stop_task(&f.s, only_task(), f.now);
    }
    if (p == STOP_ANSWERED) {
        cw_sched_stop_answered(&f.s, w, &row, f.now);
    }
    if (p >= LOADED_STARTING) {
        cw_job_mark_dirty(&f.s, only_task()->job);
        jobs_commit(&f);
        jobs_take_over(&f);
        w = list_worker("w1", 1000);
    }
    return w;
}

/* A scheduler gave up all that it had placed on a worker when it noticed that
 * the worker had restarted, also what the new incarnation had started: these
 * tasks ran twice. */
static void
test_restart_gives_up_by_proof(void **state)
{
    (void)state;
    static const struct {
        enum run_phase phase;
        bool listed; /* by the new incarnation's report */
        bool over;
    } cases[] = {
        {UNSENT, false, false},         {UNANSWERED, false, false},
        {UNANSWERED, true, false},      {ANSWERED, false, true},
        {ANSWERED, true, false},        {ANSWERED_LATE, false, false},
        {ANSWERED_LATE, true, false},   {LISTED, false, true},
        {STOP_SENT, false, false},      {STOP_SENT, true, false},
        {STOP_ANSWERED, false, false},  {STOP_ANSWERED, true, false},
        {LOADED_STARTING, false, true}, {LOADED_STARTING, true, false},
        {LOADED_RUNNING, false, true},  {LOADED_RUNNING, true, false},
        {LOADED_STOPPING, false, true}, {LOADED_STOPPING, true, false},
    };

    for (size_t i = 0; i < 2 * COUNT(cases); i++) {
        enum run_phase phase = cases[i / 2].phase;
        bool by_list = i % 2 == 0;
        struct cw_worker *w = begin_run(phase);
        struct cw_run_row row = cw_task_row(only_task());

        f.now += 100;
        if (by_list) {
            assert_ptr_equal(list_worker("w1", 2000), w);
            assert_ptr_equal(only_task()->worker, w);
            assert_false(w->contacted); /* no starts, and a report at once */
            assert_int_equal(w->clock_at, 0);
            report(w, 1000, 0, NULL); /* late, of the former incarnation */
            assert_ptr_equal(only_task()->worker, w);
            assert_false(w->contacted);
        }
        f.now += 100;
        if (phase == ANSWERED_LATE) {
            cw_sched_start_answered(&f.s, w, &row, CW_START_OK, false, f.now);
        }
        f.now += 5;
        report(w, 2000, 10, cases[i / 2].listed ? &row : NULL);
        assert_true(w->contacted);
        if (phase >= LOADED_STARTING) {
            /* The former scheduler may yet send a start to an incarnation that
             * has not seen the fence. */
            assert_non_null(only_task()->worker);
            f.now += f.s.limits.renewals_ms;
            report(w, 2000, 10, cases[i / 2].listed ? &row : NULL);
        }
        assert_int_equal(only_task()->worker == NULL, cases[i / 2].over);
        jobs_teardown(&f);
        jobs_setup(&f);
    }
}

/* The new incarnation does not know of a stop that the former one answered: a
 * start that is still under way would be carried out. */
static void
test_restart_repeats_stop(void **state)
{
    (void)state;
    struct cw_worker *w = begin_run(STOP_ANSWERED);
    struct cw_run_row row = cw_task_row(only_task());

    assert_int_equal(jobs_count_ops(&f, 'x'), 1);
    f.now += 100;
    report(w, 2000, 10, NULL);
    assert_int_equal(jobs_count_ops(&f, 'x'), 2);
    assert_ptr_equal(only_task()->worker, w);
    f.now += 10;
    cw_sched_stop_answered(&f.s, w, &row, f.now);
    f.now += 10;
    report(w, 2000, 0, NULL);
    assert_null(only_task()->worker);
}

/* TWICE: a report that was asked for before the worker answered a stop may
 * miss the run that is being stopped: its start arrived after the report was
 * written. Taken for the end of the run, its task started elsewhere. */
static void
test_stop_answered_after_the_report(void **state)
{
    (void)state;
    static const struct {
        cw_ms ago; /* the report was asked for */
        bool over;
    } cases[] = {{30, false}, {5, true}};

    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_worker *w = begin_run(UNANSWERED);
        struct cw_run_row row = cw_task_row(only_task());

        f.now += 20;
        cw_sched_stop_task(&f.s, only_task(), f.now);
        cw_sched_stop_answered(&f.s, w, &row, f.now);
        f.now += 10;
        report(w, 1000, cases[i].ago, NULL);
        assert_int_equal(only_task()->worker == NULL, cases[i].over);
        jobs_teardown(&f);
        jobs_setup(&f);
    }
}

/* A repeated start that is rejected as old has run. When the worker restarts
 * before it has listed the end, no report would ever decide on the run. */
static void
test_old_start_is_answered(void **state)
{
    (void)state;
    struct cw_worker *w = begin_run(UNANSWERED);
    struct cw_run_row row = cw_task_row(only_task());

    cw_sched_start_answered(&f.s, w, &row, CW_START_STALE, true, f.now);
    f.now += 100;
    report(w, 2000, 10, NULL);
    assert_null(only_task()->worker);
}

/* ---- leases ---- */

#define MAX_HOLD_MS 10000

/* Time from now on until the only task is given up. */
static cw_ms
time_to_lapse(void)
{
    cw_ms from = f.now;

    while (only_task()->worker != NULL && f.now - from < 60000) {
        f.now += 50;
        cw_sched_expire_leases(&f.s, f.now);
    }
    return f.now - from;
}

/* A start that reaches a restarted worker carries the end of its lease on the
 * former incarnation's clock, far ahead on the new one: the worker shortens it
 * only to its maximum. The scheduler counted on the lease that it had meant,
 * and a worker that was then cut off ran its tasks beside their next runs. */
static void
test_lease_of_an_unproved_incarnation(void **state)
{
    (void)state;
    enum proof { NONE, LISTING, OLD_CLOCK, NEW_CLOCK, RESTART, LATER };
    static const struct {
        enum run_phase phase;
        enum proof proof;
        bool longest;
    } cases[] = {{UNANSWERED, NONE, true},     {ANSWERED, NONE, true},
                 {ANSWERED, LISTING, false},   {ANSWERED, OLD_CLOCK, false},
                 {ANSWERED, NEW_CLOCK, true},  {ANSWERED, RESTART, true},
                 {UNANSWERED, RESTART, true},  {ANSWERED, LATER, false},
                 {LOADED_RUNNING, NONE, false}};

    for (size_t i = 0; i < COUNT(cases); i++) {
        cw_ms renewals = cases[i].phase == LOADED_RUNNING
                             ? f.s.limits.renewals_ms /* by the former one */
                             : 0;
        struct cw_worker *w;
        struct cw_run_row row;
        cw_ms ms;

        f.s.limits.max_hold_ms = MAX_HOLD_MS;
        w = begin_run(cases[i].phase);
        f.s.limits.max_hold_ms = MAX_HOLD_MS;
        row = cw_task_row(only_task());
        f.now += 20;
        if (cases[i].proof == LISTING) {
            report(w, 1000, 10, &row);
        }
        if (cases[i].proof == OLD_CLOCK || cases[i].proof == NEW_CLOCK) {
            cw_sched_start_clock(&f.s, w, &row,
                                 cases[i].proof == OLD_CLOCK ? 60000 : 15,
                                 f.now);
        }
        if (cases[i].proof == RESTART || cases[i].proof == LATER) {
            report(w, 2000, 10, &row);
        }
        for (int k = 0; cases[i].proof == LATER && k < 12; k++) {
            f.now += 1000;
            (void)cw_worker_lease_until(&f.s, w, true, f.now);
            report(w, 2000, 10, &row);
        }
        ms = time_to_lapse();
        if (cases[i].longest) {
            assert_in_range(ms, MAX_HOLD_MS, MAX_HOLD_MS * 11 / 10);
        }
        else {
            assert_in_range(ms, JOBS_LEASE_MS + renewals,
                            JOBS_LEASE_MS * (renewals > 0 ? 12 : 15) / 10 +
                                renewals);
        }
        jobs_teardown(&f);
        jobs_setup(&f);
    }
}

/* TWICE: the end of a former incarnation's lease, sent again to the new one,
 * is far ahead on its clock and holds its runs for longer than the scheduler
 * counts. */
static void
test_lease_of_the_former_clock(void **state)
{
    (void)state;
    struct cw_worker *w = begin_run(UNANSWERED);
    struct cw_run_row row = cw_task_row(only_task());

    f.now += 3600 * 1000;
    assert_true(cw_worker_lease_until(&f.s, w, true, f.now) > 3600 * 1000);
    report(w, 2000, 10, &row); /* its clock is at 100 */
    assert_in_range(cw_worker_lease_until(&f.s, w, false, f.now), 100,
                    100 + JOBS_LEASE_MS);
}

/* A previous scheduler may have sent such a start. */
static void
test_lease_after_takeover(void **state)
{
    (void)state;
    static const struct {
        cw_ms age; /* of the incarnation, at the takeover */
        bool longest;
    } cases[] = {{500, true}, {9000, true}, {60000, false}};

    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_job_spec s = jobs_spec(7, 1, 1000);
        int64_t born = f.now + f.s.wall_offset - cases[i].age;
        cw_ms ms;

        report(list_worker("w1", born), born, 0, NULL);
        jobs_accept(&f, &s);
        jobs_commit(&f);
        jobs_take_over(&f);
        f.s.limits.max_hold_ms = MAX_HOLD_MS;
        (void)list_worker("w1", born);
        ms = time_to_lapse();
        assert_true(cases[i].longest ? ms >= MAX_HOLD_MS : ms < MAX_HOLD_MS);
        jobs_teardown(&f);
        jobs_setup(&f);
    }
}

/* TWICE: a takeover counted lease_ms for a worker that the list lacked, or
 * showed by an entry from before its restart, although a start of the former
 * scheduler to the restarted worker holds for max_hold_ms. LOST: it then
 * counted max_hold_ms anew for old runs, so that in a series of takeovers a
 * lasting task did not run for over 20 s. */
static void
test_lease_of_an_unknown_worker(void **state)
{
    (void)state;
    enum proof { NONE, OLD_ENTRY, CURRENT_ENTRY, YOUNG_ENTRY, LISTING };
    static const struct {
        enum proof proof;
        cw_ms listed_ms; /* by the former scheduler's reports */
        bool longest;
    } cases[] = {{NONE, 0, true},          {OLD_ENTRY, 0, true},
                 {YOUNG_ENTRY, 0, true},   {CURRENT_ENTRY, 0, false},
                 {LISTING, 0, false},      {NONE, 2900, true},
                 {NONE, 3000, false},      {OLD_ENTRY, 3000, false},
                 {OLD_ENTRY, 60000, false}};

    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_worker_entry e = {.born_wall = 1000, .clock_ms = 60000};
        struct cw_job_spec s = jobs_spec(7, 1, 1000);
        struct cw_run_row row;
        cw_ms ms;

        f.s.limits.max_hold_ms = MAX_HOLD_MS;
        (void)cw_name_set(&e.id, CW_LIT("w1"));
        (void)cw_name_set(&e.service, CW_LIT(JOBS_SERVICE));
        report(list_worker("w1", 1000), 1000, 0, NULL);
        jobs_accept(&f, &s);
        jobs_commit(&f);
        row = cw_task_row(only_task());
        if (cases[i].listed_ms > 0) {
            report(only_task()->worker, 1000, 0, &row);
            f.now += cases[i].listed_ms;
            report(only_task()->worker, 1000, 0, &row);
            jobs_commit(&f);
        }
        jobs_take_over(&f);
        e.current = cases[i].proof != OLD_ENTRY;
        if (cases[i].proof == YOUNG_ENTRY) {
            e.born_wall = f.now + f.s.wall_offset - 1000;
            e.clock_ms = 1000;
        }
        if (cases[i].proof != NONE) {
            assert_non_null(cw_sched_worker_listed(&f.s, &e, f.now));
        }
        if (cases[i].proof == LISTING) {
            report(only_task()->worker, 1000, 0, &row);
        }
        ms = time_to_lapse();
        assert_int_equal(ms >= MAX_HOLD_MS, cases[i].longest);
        assert_true(ms >=
                    f.s.limits.renewals_ms +
                        (cases[i].longest ? MAX_HOLD_MS : JOBS_LEASE_MS));
        jobs_teardown(&f);
        jobs_setup(&f);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_restart_gives_up_by_proof, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_restart_repeats_stop, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_stop_answered_after_the_report,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(test_old_start_is_answered, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_lease_of_an_unproved_incarnation,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(test_lease_of_the_former_clock, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_lease_after_takeover, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_lease_of_an_unknown_worker, setup,
                                        teardown),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
