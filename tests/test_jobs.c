/* Tests of the scheduler's decisions: which tasks start, when, and where. */
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

/* A spec that can never run, or whose steps depend on each other in a cycle,
 * must be rejected: accepted, it would stay queued for ever. */
static void
test_spec_check(void **state)
{
    (void)state;
    static const struct {
        uint32_t count;
        uint64_t after0;
        uint64_t after1;
        uint32_t repeats;
        enum cw_status expect;
    } cases[] = {
        {1, 0, 1, 1, CW_OK},
        {1, 2, 0, 1, CW_OK},
        {1, 2, 1, 1, CW_ERR_INVALID},   /* a cycle */
        {1, 0, 2, 1, CW_ERR_INVALID},   /* a step after itself */
        {1, 0, 8, 1, CW_ERR_INVALID},   /* after a missing step */
        {0, 0, 1, 1, CW_ERR_INVALID},   /* no tasks */
        {10000, 0, 1, 2, CW_ERR_LIMIT}, /* too many tasks in total */
        {1, 0, 1, 0, CW_ERR_LIMIT},
    };
    char msg[CW_MSG_MAX];

    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_job_spec s = jobs_chain_spec(1, 2, cases[i].count, 100);

        s.steps[0].after = cases[i].after0;
        s.steps[1].after = cases[i].after1;
        s.repeats = cases[i].repeats;
        assert_int_equal(cw_job_spec_check(&s, msg), cases[i].expect);
        cw_job_spec_finish(&s);
    }
}

/* A start must be sent only after its record is durable: otherwise the next
 * scheduler does not know of it and starts the task a second time. */
static void
test_start_follows_commit(void **state)
{
    (void)state;
    struct cw_job_spec s = jobs_spec(7, 2, 1000);
    uint64_t batch;

    jobs_add_worker(&f, "w1", "v1", 4000);
    jobs_accept(&f, &s);
    batch = jobs_flush(&f);
    assert_int_equal(jobs_count_ops(&f, 's'), 0);
    cw_sched_committed(&f.s, batch);
    assert_int_equal(jobs_count_ops(&f, 's'), 2);
}

/* A repeated submission of one id must stay one job. */
static void
test_same_id_once(void **state)
{
    (void)state;
    struct cw_job_spec a = jobs_spec(7, 1, 1000);
    struct cw_job_spec b = jobs_spec(7, 5, 1000);
    struct cw_job_entry *j;

    jobs_accept(&f, &a);
    assert_int_equal(cw_sched_accept(&f.s, &b, f.now, &j), CW_ERR_CONFLICT);
    assert_int_equal(j->task_count, 1);
    cw_job_spec_finish(&b);
}

/* A refusal promises that the job never runs: only a submission that is in no
 * batch yet may be withdrawn. */
static void
test_withdraw(void **state)
{
    (void)state;
    struct cw_job_spec a = jobs_spec(1, 1, 1000);
    struct cw_job_spec b = jobs_spec(2, 1, 1000);

    jobs_accept(&f, &a);
    (void)jobs_flush(&f);
    jobs_accept(&f, &b);
    assert_false(cw_sched_withdraw(&f.s, 1));
    assert_true(cw_sched_withdraw(&f.s, 2));
    assert_null(cw_sched_find_job(&f.s, 2));
    assert_non_null(cw_sched_find_job(&f.s, 1));
}

/* An end must be acknowledged only after it is durable: otherwise the worker
 * forgets it, a scheduler that fails loses it, and the task runs again. */
static void
test_ack_follows_commit(void **state)
{
    (void)state;
    struct cw_job_spec s = jobs_spec(7, 1, 1000);
    struct cw_worker *w = jobs_add_worker(&f, "w1", "v1", 4000);

    jobs_accept(&f, &s);
    jobs_commit(&f);
    jobs_answer_starts(&f, 0);
    f.now += 1000;
    jobs_report_end(&f, w, 1, f.ops[0].row, CW_END_DONE);
    assert_int_equal(w->acked, 0);
    assert_int_equal(cw_job_visible_state(&f.s, cw_sched_find_job(&f.s, 7)),
                     CW_JOB_RUNNING);
    jobs_commit(&f);
    assert_int_equal(w->acked, 1);
    assert_int_equal(cw_job_visible_state(&f.s, cw_sched_find_job(&f.s, 7)),
                     CW_JOB_SUCCEEDED);
}

/* A later step must not start before all tasks of the earlier one are done. */
static void
test_steps_in_order(void **state)
{
    (void)state;
    struct cw_job_spec s = jobs_chain_spec(7, 2, 2, 1000);
    struct cw_worker *w = jobs_add_worker(&f, "w1", "v1", 8000);

    jobs_accept(&f, &s);
    jobs_commit(&f);
    assert_int_equal(jobs_count_ops(&f, 's'), 2);
    jobs_answer_starts(&f, 0);
    jobs_report_end(&f, w, 1, f.ops[0].row, CW_END_DONE);
    jobs_commit(&f);
    assert_int_equal(jobs_count_ops(&f, 's'), 2);
    jobs_report_end(&f, w, 2, f.ops[1].row, CW_END_DONE);
    jobs_commit(&f);
    assert_int_equal(jobs_count_ops(&f, 's'), 4);
    assert_int_equal(f.ops[2].row.step, 1);
}

/* A worker runs as many tasks at once as its capacity and the step's limit per
 * worker allow. */
static void
test_capacity_and_limit(void **state)
{
    (void)state;
    static const struct {
        uint32_t tasks;
        uint32_t cpu;
        uint32_t per_worker;
        size_t started;
    } cases[] = {
        {8, 1000, 0, 8}, {9, 1000, 0, 8}, {3, 3000, 0, 2},
        {8, 1000, 1, 2}, {8, 1000, 3, 6}, {1, 5000, 0, 0},
    };

    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_job_spec s = jobs_spec(7, cases[i].tasks, cases[i].cpu);

        s.steps[0].max_per_worker = cases[i].per_worker;
        jobs_add_worker(&f, "w1", "v1", 4000);
        jobs_add_worker(&f, "w2", "v2", 4000);
        jobs_accept(&f, &s);
        jobs_commit(&f);
        assert_int_equal(jobs_count_ops(&f, 's'), cases[i].started);
        jobs_teardown(&f);
        jobs_setup(&f);
    }
}

/* A task that always fails must not start more often than its queue allows,
 * also across a takeover. */
static void
test_attempts(void **state)
{
    (void)state;
    struct cw_job_spec s = jobs_spec(7, 1, 1000);

    jobs_add_worker(&f, "w1", "v1", 4000);
    jobs_add_worker(&f, "w2", "v2", 4000);
    jobs_accept(&f, &s);
    for (uint64_t n = 1; n <= 3; n++) {
        struct jobs_op a;

        f.now += 5000; /* past a quarantine */
        jobs_commit(&f);
        assert_int_equal(jobs_count_ops(&f, 's'), n == 3 ? 1 : n);
        a = f.ops[f.op_count - 1];
        jobs_answer_starts(&f, f.op_count - 1);
        jobs_report_end(&f, cw_sched_find_worker(&f.s, cw_str_from(a.worker)),
                        n, a.row, CW_END_FAILED);
        jobs_commit(&f);
        if (n == 2) {
            jobs_take_over(&f);
            jobs_add_worker(&f, "w1", "v1", 4000);
            jobs_add_worker(&f, "w2", "v2", 4000);
            /* the recorded run may still be alive on its worker */
            f.now += 2 * JOBS_LEASE_MS;
            cw_sched_expire_leases(&f.s, f.now);
        }
    }
    assert_int_equal(cw_job_visible_state(&f.s, cw_sched_find_job(&f.s, 7)),
                     CW_JOB_FAILED);
}

/* Cancelling a job stops its runs, and a start that is not sent yet is never
 * sent. */
static void
test_cancel(void **state)
{
    (void)state;
    struct cw_job_spec a = jobs_spec(1, 1, 1000);
    struct cw_job_spec b = jobs_spec(2, 1, 1000);
    uint64_t batch;

    jobs_add_worker(&f, "w1", "v1", 4000);
    jobs_accept(&f, &a);
    jobs_commit(&f);
    jobs_answer_starts(&f, 0);
    jobs_accept(&f, &b);
    batch = jobs_flush(&f);
    assert_int_equal(cw_sched_cancel(&f.s, 1, f.now), CW_OK);
    assert_int_equal(cw_sched_cancel(&f.s, 2, f.now), CW_OK);
    assert_int_equal(cw_sched_cancel(&f.s, 3, f.now), CW_ERR_NOT_FOUND);
    cw_sched_committed(&f.s, batch);
    jobs_commit(&f);
    assert_int_equal(jobs_count_ops(&f, 's'), 1);
    assert_int_equal(jobs_count_ops(&f, 'x'), 1);
    assert_int_equal(cw_job_visible_state(&f.s, cw_sched_find_job(&f.s, 2)),
                     CW_JOB_CANCELLED);
}

/* A gang starts when there is capacity for all members, under one run number,
 * and the end of one member ends all. */
static void
test_gang(void **state)
{
    (void)state;
    struct cw_job_spec s = jobs_spec(7, 3, 2000);
    struct cw_job_entry *j;

    s.steps[0].gang = true;
    jobs_add_worker(&f, "w1", "v1", 4000);
    j = jobs_accept(&f, &s);
    jobs_commit(&f);
    assert_int_equal(jobs_count_ops(&f, 's'), 0);
    jobs_add_worker(&f, "w2", "v2", 4000);
    jobs_commit(&f);
    assert_int_equal(jobs_count_ops(&f, 's'), 3);
    for (size_t i = 0; i < 3; i++) {
        assert_int_equal(f.ops[i].row.run, 1);
    }
    jobs_answer_starts(&f, 0);
    f.now += 100;
    jobs_report_end(&f, j->tasks[0].worker, 1, cw_task_row(&j->tasks[0]),
                    CW_END_DONE);
    jobs_commit(&f);
    assert_int_equal(cw_job_visible_state(&f.s, j), CW_JOB_SUCCEEDED);
}

/* When one member's start is rejected, the other members must be stopped:
 * otherwise they wait for it until they end as "alone". */
static void
test_gang_refused(void **state)
{
    (void)state;
    struct cw_job_spec s = jobs_spec(7, 3, 2000);
    struct cw_worker *w;

    s.steps[0].gang = true;
    jobs_add_worker(&f, "w1", "v1", 4000);
    jobs_add_worker(&f, "w2", "v2", 4000);
    jobs_accept(&f, &s);
    jobs_commit(&f);
    assert_int_equal(jobs_count_ops(&f, 's'), 3);
    jobs_answer_starts(&f, 1);
    w = cw_sched_find_worker(&f.s, cw_str_from(f.ops[0].worker));
    cw_sched_start_answered(&f.s, w, &f.ops[0].row, CW_START_NO_CAPACITY,
                            false, f.now);
    assert_int_equal(jobs_count_ops(&f, 'x'), 2);
    f.now += 5000;
    jobs_commit(&f);
    /* the gang does not start again before they have ended */
    assert_int_equal(jobs_count_ops(&f, 's'), 3);
}

/* A checkpoint survives a stop and a takeover, and is sent with the next
 * start. */
static void
test_checkpoint(void **state)
{
    (void)state;
    struct cw_job_spec s = jobs_spec(7, 1, 1000);
    struct cw_worker *w = jobs_add_worker(&f, "w1", "v1", 4000);
    struct cw_run_row r;

    s.steps[0].checkpoints = true;
    jobs_accept(&f, &s);
    jobs_commit(&f);
    jobs_answer_starts(&f, 0);
    r = f.ops[0].row;
    r.checkpoint = CW_LIT("0000abcd");
    f.now += 500;
    jobs_report_end(&f, w, 1, r, CW_END_STOPPED);
    (void)jobs_flush(&f); /* durable, but the start is not sent */
    jobs_take_over(&f);
    f.now += f.s.limits.renewals_ms;
    jobs_add_worker(&f, "w1", "v1", 4000);
    jobs_report_running(&f, cw_sched_find_worker(&f.s, CW_LIT("w1")), NULL, 0);
    jobs_commit(&f);
    assert_int_equal(jobs_count_ops(&f, 's'), 1);
    assert_string_equal(f.ops[0].checkpoint, "0000abcd");
}

/* Each occurrence starts at its due time and not before. */
static void
test_occurrences(void **state)
{
    (void)state;
    struct cw_job_spec s = jobs_spec(7, 1, 1000);

    s.repeats = 3;
    s.first_wall = f.now + f.s.wall_offset + 1000;
    s.interval_ms = 2000;
    jobs_add_worker(&f, "w1", "v1", 8000);
    jobs_accept(&f, &s);
    for (int k = 0; k < 3; k++) {
        jobs_commit(&f);
        assert_int_equal(jobs_count_ops(&f, 's'), k);
        f.now += k == 0 ? 999 : 1999;
        jobs_commit(&f);
        assert_int_equal(jobs_count_ops(&f, 's'), k);
        f.now += 1;
    }
    jobs_commit(&f);
    assert_int_equal(jobs_count_ops(&f, 's'), 3);
}

/* Backfill tasks beside a task whose tail latency is above its target slow
 * down until the tail falls, and then speed up in steps. */
static void
test_pace_steps(void **state)
{
    (void)state;
    static const struct {
        double worst;
        uint32_t percent;
        uint32_t next;
    } cases[] = {
        {-1, 30, 100}, {1.2, 100, 50}, {1.2, 50, 25},
        {1.2, 12, 0},  {1.2, 0, 0},    {0.8, 50, 50},
        {0.5, 50, 75}, {0.5, 90, 100}, {0.91, 100, 50},
    };

    for (size_t i = 0; i < COUNT(cases); i++) {
        assert_int_equal(
            cw_pace_next_percent(cases[i].worst, cases[i].percent),
            cases[i].next);
    }
}

/* The same on a worker: one pace order per task, and no second one before a
 * report shows the effect of the first. */
static void
test_pace(void **state)
{
    (void)state;
    struct cw_job_spec s = jobs_chain_spec(7, 2, 1, 1000);
    struct cw_worker *w = jobs_add_worker(&f, "w1", "v1", 4000);
    struct cw_run_row rows[2];

    s.steps[1].after = 0;
    s.steps[0].lasting = s.steps[1].lasting = true;
    s.steps[0].target_ms = 100;
    s.steps[1].backfill = true;
    jobs_accept(&f, &s);
    jobs_commit(&f);
    jobs_answer_starts(&f, 0);
    f.now += 1000;
    for (size_t i = 0; i < 2; i++) {
        rows[i] = jobs_row_at_percent(f.ops[i].row, 100);
        rows[i].measured = 150;
    }
    jobs_report_running(&f, w, rows, 2);
    cw_sched_pace_backfill(&f.s, f.now);
    cw_sched_pace_backfill(&f.s, f.now);
    assert_int_equal(jobs_count_ops(&f, 'p'), 1);
    assert_int_equal(f.ops[f.op_count - 1].row.percent, 50);
    f.now += 300;
    jobs_report_running(&f, w, rows, 2);
    cw_sched_pace_backfill(&f.s, f.now);
    assert_int_equal(jobs_count_ops(&f, 'p'), 1);
    f.now += 500;
    jobs_report_running(&f, w, rows, 2);
    cw_sched_pace_backfill(&f.s, f.now);
    assert_int_equal(jobs_count_ops(&f, 'p'), 2);
    assert_int_equal(f.ops[f.op_count - 1].row.percent, 25);
}

/* MIXED: a planned start is no run. While workers left starts unanswered,
 * their jobs did not count as waiting, although nothing of them had begun. */
static void
test_waiting_until_a_run_begins(void **state)
{
    (void)state;
    enum event { PLANNED, UNANSWERED, REFUSED, TAKEN_OVER, OK, LISTED, ENDED };
    static const struct {
        enum event event;
        uint32_t waiting;
    } cases[] = {{PLANNED, 1}, {UNANSWERED, 1}, {REFUSED, 1}, {TAKEN_OVER, 1},
                 {OK, 0},      {LISTED, 0},     {ENDED, 0}};

    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_job_spec s = jobs_spec(7, 1, 1000);
        struct cw_worker *w = jobs_add_worker(&f, "w1", "v1", 4000);
        struct cw_run_row row;
        struct cw_str queue;

        jobs_accept(&f, &s);
        queue = cw_name_str(&cw_sched_find_job(&f.s, 7)->queue);
        assert_int_equal(cw_sched_queued_jobs(&f.s, queue), 1);
        jobs_commit(&f);
        row = f.ops[0].row;
        switch (cases[i].event) {
        case PLANNED:
            break;
        case UNANSWERED:
            f.now += 1000;
            break;
        case REFUSED:
            cw_sched_start_answered(&f.s, w, &row, CW_START_REFUSED, false,
                                    f.now);
            break;
        case TAKEN_OVER:
            jobs_take_over(&f);
            queue = cw_name_str(&cw_sched_find_job(&f.s, 7)->queue);
            break;
        case OK:
            jobs_answer_starts(&f, 0);
            break;
        case LISTED:
            jobs_report_running(&f, w, &row, 1);
            break;
        case ENDED:
            jobs_report_end(&f, w, 1, row, CW_END_FAILED);
            break;
        }
        assert_int_equal(cw_sched_queued_jobs(&f.s, queue), cases[i].waiting);
        jobs_teardown(&f);
        jobs_setup(&f);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_spec_check),
        cmocka_unit_test_setup_teardown(test_start_follows_commit, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_same_id_once, setup, teardown),
        cmocka_unit_test_setup_teardown(test_withdraw, setup, teardown),
        cmocka_unit_test_setup_teardown(test_ack_follows_commit, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_steps_in_order, setup, teardown),
        cmocka_unit_test_setup_teardown(test_capacity_and_limit, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_attempts, setup, teardown),
        cmocka_unit_test_setup_teardown(test_cancel, setup, teardown),
        cmocka_unit_test_setup_teardown(test_gang, setup, teardown),
        cmocka_unit_test_setup_teardown(test_gang_refused, setup, teardown),
        cmocka_unit_test_setup_teardown(test_checkpoint, setup, teardown),
        cmocka_unit_test_setup_teardown(test_occurrences, setup, teardown),
        cmocka_unit_test(test_pace_steps),
        cmocka_unit_test_setup_teardown(test_pace, setup, teardown),
        cmocka_unit_test_setup_teardown(test_waiting_until_a_run_begins, setup,
                                        teardown),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
