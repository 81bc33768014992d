/* Tests of the scheduler with silent and restarted workers and takeovers: no
 * task is lost and none runs twice. */
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

/* A start that got no answer may have taken effect, and its repeat is then
 * rejected as old. If that rejection counted as "not run", the task would
 * start on another worker and run twice. */
static void
test_unanswered_start(void **state)
{
    (void)state;
    static const struct {
        enum cw_start_answer answer;
        bool sent_before;
        size_t stops;  /* ordered at once */
        size_t starts; /* in total, after the next commit */
    } cases[] = {
        {CW_START_STALE, true, 0, 1},       /* a report will list the end */
        {CW_START_NO_CAPACITY, true, 1, 1}, /* first send may arrive late */
        {CW_START_REFUSED, true, 1, 1},
        {CW_START_NO_CAPACITY, false, 0, 2}, /* certainly did not run */
        {CW_START_OK, true, 0, 1},
    };

    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_job_spec s = jobs_spec(7, 1, 1000);
        struct cw_worker *w;

        jobs_add_worker(&f, "w1", "v1", 4000);
        jobs_add_worker(&f, "w2", "v2", 4000);
        jobs_accept(&f, &s);
        jobs_commit(&f);
        w = cw_sched_find_worker(&f.s, cw_str_from(f.ops[0].worker));
        f.now += 300;
        cw_sched_start_answered(&f.s, w, &f.ops[0].row, cases[i].answer,
                                cases[i].sent_before, f.now);
        assert_int_equal(jobs_count_ops(&f, 'x'), cases[i].stops);
        jobs_commit(&f);
        assert_int_equal(jobs_count_ops(&f, 's'), cases[i].starts);
        if (cases[i].stops > 0) {
            /* from now on the worker rejects that run */
            cw_sched_stop_answered(&f.s, w, &f.ops[0].row, f.now);
            f.now += 10;
            jobs_report_running(&f, w, NULL, 0);
            jobs_commit(&f);
            assert_int_equal(jobs_count_ops(&f, 's'), 2);
            assert_int_equal(f.ops[f.op_count - 1].row.run, 2);
        }
        jobs_teardown(&f);
        jobs_setup(&f);
    }
}

/* Repeated calls to an unreachable worker must not postpone the time at which
 * its leases lapse: otherwise its tasks never run again. */
static void
test_silent_worker_lapses(void **state)
{
    (void)state;
    struct cw_job_spec s = jobs_spec(7, 1, 1000);
    struct cw_worker *w = jobs_add_worker(&f, "w1", "v1", 4000);
    cw_ms lost = f.now;

    jobs_accept(&f, &s);
    jobs_commit(&f);
    jobs_answer_starts(&f, 0);
    for (int i = 0; i < 30; i++) {
        f.now += 250;
        (void)cw_worker_lease_until(&f.s, w, false, f.now);
        cw_sched_expire_leases(&f.s, f.now);
        if (w->tasks == NULL) {
            break;
        }
        /* it may run for the whole lease, on a clock that is 2% slow */
        lost = f.now;
    }
    assert_null(w->tasks);
    assert_true(lost - 100000 >= JOBS_LEASE_MS * 102 / 100 - 250);
    assert_true(f.now - 100000 < 2 * JOBS_LEASE_MS);
}

/* After a takeover a task with a recorded start must not start again before
 * its worker has reported or the longest lease has lapsed. */
static void
test_takeover(void **state)
{
    (void)state;
    struct cw_job_spec s = jobs_spec(7, 2, 1000);
    struct cw_worker *w;
    struct cw_run_row rows[2];

    jobs_add_worker(&f, "w1", "v1", 4000);
    jobs_accept(&f, &s);
    jobs_commit(&f);
    jobs_answer_starts(&f, 0);
    rows[0] = f.ops[0].row;
    rows[1] = f.ops[1].row;
    jobs_take_over(&f);
    jobs_add_worker(&f, "w2", "v2", 4000);
    jobs_commit(&f);
    assert_int_equal(jobs_count_ops(&f, 's'), 0);
    /* the report lists one run; the fence rejects the start of the other */
    w = cw_sched_find_worker(&f.s, CW_LIT("w1"));
    assert_int_equal(w->task_count, 2);
    f.now += f.s.limits.renewals_ms - 1;
    jobs_report_running(&f, w, rows, 1);
    jobs_commit(&f);
    /* It might begin on an incarnation that has not seen the fence. */
    assert_int_equal(jobs_count_ops(&f, 's'), 0);
    f.now += 1;
    jobs_report_running(&f, w, rows, 1);
    jobs_commit(&f);
    assert_int_equal(jobs_count_ops(&f, 's'), 1);
    assert_int_equal(f.ops[0].row.index, rows[1].index);
    assert_int_equal(f.ops[0].row.run, 2);
}

/* The same with an unreachable worker: no start before the lease lapses. */
static void
test_takeover_unreachable(void **state)
{
    (void)state;
    struct cw_job_spec s = jobs_spec(7, 1, 1000);
    cw_ms from;

    jobs_add_worker(&f, "w1", "v1", 4000);
    jobs_accept(&f, &s);
    jobs_commit(&f);
    jobs_take_over(&f);
    from = f.now;
    jobs_add_worker(&f, "w2", "v2", 4000);
    while (jobs_count_ops(&f, 's') == 0 && f.now - from < 20000) {
        f.now += 100;
        cw_sched_expire_leases(&f.s, f.now);
        jobs_commit(&f);
    }
    assert_true(f.now - from > JOBS_LEASE_MS);
    assert_int_equal(jobs_count_ops(&f, 's'), 1);
}

/* A run without a record, such as one that a worker started late, must be
 * stopped. */
static void
test_unexpected_run_is_stopped(void **state)
{
    (void)state;
    struct cw_worker *w = jobs_add_worker(&f, "w1", "v1", 4000);
    struct cw_run_row r = {.job = 99, .run = 1};

    f.now += 10;
    jobs_report_running(&f, w, &r, 1);
    assert_int_equal(jobs_count_ops(&f, 'x'), 1);
    assert_int_equal(f.ops[0].row.job, 99);
}

/* LIMIT: a takeover does not know the room of runs whose jobs have ended. It
 * gave that room to another task before they had stopped. */
static void
test_stray_run_keeps_its_room(void **state)
{
    (void)state;
    static const struct {
        bool cancelled; /* before the takeover; else its record is lost */
        bool partial;   /* the report after the stop */
    } cases[] = {{true, false}, {true, true}, {false, false}};

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        struct cw_job_spec s = jobs_spec(7, 1, 1000);
        struct cw_job_spec next = jobs_spec(8, 1, 1000);
        struct cw_run_report rest = {.partial = cases[i].partial};
        struct cw_run_row row;
        struct cw_worker *w;

        (void)jobs_add_worker(&f, "w1", "v1", 1000);
        jobs_accept(&f, &s);
        jobs_commit(&f);
        jobs_answer_starts(&f, 0);
        row = f.ops[0].row;
        if (cases[i].cancelled) {
            assert_int_equal(cw_sched_cancel(&f.s, 7, f.now), CW_OK);
            jobs_commit(&f);
        }
        else {
            jobs_drop_records(&f);
        }
        jobs_take_over(&f);
        w = jobs_list_worker(&f, "w1", "v1", 1000);
        jobs_report_running(&f, w, &row, 1);
        jobs_accept(&f, &next);
        jobs_commit(&f);
        assert_int_equal(jobs_count_ops(&f, 'x'), 1);
        assert_int_equal(jobs_count_ops(&f, 's'), 0);
        f.now += 300;
        cw_sched_wake_pools(&f.s, f.now);
        jobs_report_running(&f, w, &row, 1); /* the stop got lost */
        jobs_commit(&f);
        assert_int_equal(jobs_count_ops(&f, 'x'), 2);
        assert_int_equal(jobs_count_ops(&f, 's'), 0);
        f.now += 300;
        rest.born_wall = w->born_wall;
        rest.sent_at = f.now;
        cw_sched_report(&f.s, w, &rest, f.now);
        jobs_commit(&f);
        assert_int_equal(jobs_count_ops(&f, 's'), cases[i].partial ? 0 : 1);
        jobs_teardown(&f);
        jobs_setup(&f);
    }
}

/* A lasting task must not be stopped while too many others of its step are
 * unavailable: still in start-up, not reported yet after a takeover, or on a
 * worker that no longer reports. After a takeover no task was known to be
 * serving, and tasks of one step were stopped one after the other. */
static void
test_unavailable_tasks(void **state)
{
    (void)state;
    static const struct {
        uint32_t may_miss;
        uint32_t percent; /* start-up progress of the other task */
        cw_ms silent;     /* time since its worker's last report */
        bool known;       /* its worker has reported */
        bool allowed;
    } cases[] = {
        {1, 100, 0, true, true},     {0, 100, 0, true, true},
        {1, 60, 0, true, false},     {2, 60, 0, true, true},
        {1, 100, 2000, true, false}, {1, 100, 0, false, false},
    };

    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_job_spec s = jobs_spec(7, 2, 3000);
        struct cw_job_entry *j;
        struct cw_run_row rows[2];
        struct cw_worker *w[2];

        s.steps[0].lasting = true;
        s.steps[0].may_miss = cases[i].may_miss;
        w[0] = jobs_add_worker(&f, "w1", "v1", 4000);
        w[1] = jobs_add_worker(&f, "w2", "v2", 4000);
        j = jobs_accept(&f, &s);
        jobs_commit(&f);
        jobs_answer_starts(&f, 0);
        f.now += 10;
        for (size_t k = 0; k < 2; k++) {
            rows[k] = cw_task_row(&j->tasks[k]);
            w[k] = j->tasks[k].worker;
        }
        rows[0] = jobs_row_at_percent(rows[0], 100);
        rows[1] = jobs_row_at_percent(rows[1], cases[i].percent);
        if (cases[i].known) {
            jobs_report_running(&f, w[1], &rows[1], 1);
        }
        f.now += cases[i].silent;
        jobs_report_running(&f, w[0], &rows[0], 1);
        assert_int_equal(cw_task_may_stop(&j->tasks[0], f.now),
                         cases[i].allowed);
        jobs_teardown(&f);
        jobs_setup(&f);
    }
}

/* The entry of an earlier incarnation of a VM stays listed for seconds; it
 * must not be taken for the VM once a later one is listed. */
static void
test_later_incarnation_ends_earlier(void **state)
{
    (void)state;
    struct cw_job_spec s = jobs_spec(7, 1, 1000);
    struct cw_worker *w1 = jobs_add_worker(&f, "w1", "v1", 4000);

    jobs_accept(&f, &s);
    jobs_commit(&f);
    jobs_answer_starts(&f, 0);
    f.now += 100;
    jobs_add_worker(&f, "w2", "v1", 4000);
    assert_int_equal(w1->state, CW_WORKER_GONE);
    assert_null(w1->tasks);
    jobs_commit(&f);
    assert_int_equal(jobs_count_ops(&f, 's'), 2);
    assert_string_equal(f.ops[1].worker, "w2");
}

/* LOST: a worker that is gone when the scheduler changes was known by its id
 * only, so that its tasks waited for the longest lease although its VM had a
 * new worker that reported. */
static void
test_takeover_of_a_replaced_worker(void **state)
{
    (void)state;
    static const struct {
        const char *vm; /* of the new worker */
        bool reports;
        bool over;
    } cases[] = {
        {"v1", true, true}, {"v1", false, false}, {"v2", true, false}};

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        struct cw_job_spec s = jobs_spec(7, 1, 1000);
        struct cw_run_row row = {.job = 7};
        struct cw_worker *w1;

        jobs_add_worker(&f, "w1", "v1", 4000);
        jobs_accept(&f, &s);
        jobs_commit(&f);
        jobs_answer_starts(&f, 0);
        f.now += 1000;
        jobs_take_over(&f);
        w1 = cw_sched_find_task(&f.s, &row)->worker;
        assert_string_equal(w1->id.text, "w1");
        if (cases[i].reports) {
            jobs_add_worker(&f, "w2", cases[i].vm, 4000);
        }
        else {
            jobs_list_worker(&f, "w2", cases[i].vm, 4000);
        }
        assert_int_equal(w1->task_count, cases[i].over ? 0 : 1);
        jobs_commit(&f);
        assert_int_equal(jobs_count_ops(&f, 's'), cases[i].over ? 1 : 0);
        jobs_teardown(&f);
        jobs_setup(&f);
    }
}

/* TWICE: an entry of another writer that named the VM of a sound worker ended
 * that worker's runs, so that its tasks started elsewhere beside them, and it
 * hid the worker when its own entry came back. Nobody answers under its id. */
static void
test_entry_of_anothers_vm(void **state)
{
    (void)state;
    struct cw_job_spec s = jobs_spec(7, 1, 1000);
    struct cw_worker *w1;
    struct cw_worker *odd;

    jobs_add_worker(&f, "w1", "v1", 4000);
    jobs_add_worker(&f, "w2", "v2", 4000);
    jobs_accept(&f, &s);
    jobs_commit(&f);
    jobs_answer_starts(&f, 0);
    w1 = cw_sched_find_worker(&f.s, cw_str_from(f.ops[0].worker));
    f.now += 100;
    odd = jobs_list_worker(&f, "x", w1->vm.text, 4000);
    assert_non_null(odd);
    assert_int_equal(w1->state, CW_WORKER_READY);
    assert_int_equal(w1->task_count, 1);
    jobs_commit(&f);
    assert_int_equal(jobs_count_ops(&f, 's'), 1);
    cw_sched_worker_gone(&f.s, cw_name_str(&w1->id), f.now);
    f.now -= 100; /* its entry is the one from before */
    assert_ptr_equal(jobs_list_worker(&f, w1->id.text, w1->vm.text, 4000), w1);
    assert_int_equal(w1->state, CW_WORKER_READY);
}

/* A worker that restarts under its id has none of its earlier runs. */
static void
test_restarted_worker(void **state)
{
    (void)state;
    struct cw_job_spec s = jobs_spec(7, 1, 1000);
    struct cw_worker *w = jobs_add_worker(&f, "w1", "v1", 4000);

    jobs_accept(&f, &s);
    jobs_commit(&f);
    jobs_answer_starts(&f, 0);
    w->ack_pending = 5;
    w->acked = 5;
    f.now += 100;
    jobs_add_worker(&f, "w1", "v1", 4000); /* started now */
    assert_null(w->tasks);
    assert_int_equal(w->acked, 0);
    jobs_commit(&f);
    assert_int_equal(jobs_count_ops(&f, 's'), 2);
}

/* Progress of a maintenance wave must survive a takeover: otherwise its VMs
 * are drained and maintained again after each one. */
static void
test_kv(void **state)
{
    (void)state;

    assert_int_equal(cw_sched_kv_set(&f.s, CW_LIT("w1"), CW_LIT("m1 m2")),
                     CW_OK);
    assert_int_equal(cw_sched_kv_set(&f.s, CW_LIT("j1"), CW_LIT("x")),
                     CW_ERR_INVALID);
    jobs_commit(&f);
    assert_int_equal(jobs_flush(&f), 0);
    jobs_take_over(&f);
    assert_true(
        cw_str_eq(cw_sched_kv_get(&f.s, CW_LIT("w1")), CW_LIT("m1 m2")));
    assert_int_equal(cw_sched_kv_get(&f.s, CW_LIT("w2")).len, 0);
    assert_int_equal(jobs_flush(&f), 0);
    /* An empty value removes the key, also from the stream. */
    assert_int_equal(cw_sched_kv_set(&f.s, CW_LIT("w1"), CW_LIT("")), CW_OK);
    jobs_commit(&f);
    assert_int_equal(jobs_flush(&f), 0);
    jobs_take_over(&f);
    assert_int_equal(cw_sched_kv_get(&f.s, CW_LIT("w1")).len, 0);
}

/* Jobs that a takeover loads are no new demand: counted as arrivals, 345 of
 * them made three pools ask for 2,500 VMs in the first second. */
static void
test_loaded_jobs_are_no_arrivals(void **state)
{
    (void)state;
    struct cw_pool *p;
    struct cw_job_spec spec;

    for (uint64_t id = 1; id <= 5; id++) {
        spec = jobs_spec(id, 4, 1000);
        assert_non_null(jobs_accept(&f, &spec));
    }
    jobs_commit(&f);
    p = cw_sched_get_pool(&f.s, CW_LIT(JOBS_SERVICE));
    assert_int_equal(p->arrived_jobs, 5);
    jobs_take_over(&f);
    p = cw_sched_get_pool(&f.s, CW_LIT(JOBS_SERVICE));
    assert_int_equal(p->arrived_jobs, 0);
    assert_int_equal(p->arrived_cpu_ms, 0);
    spec = jobs_spec(6, 4, 1000);
    assert_non_null(jobs_accept(&f, &spec));
    assert_int_equal(p->arrived_jobs, 1);
}

/* A VM that moved has a worker in each of two pools for some seconds. The
 * scheduler can end in that time, whichever pool is freed first; a wrong order
 * shows under AddressSanitizer. */
static void
test_end_with_moved_vms(void **state)
{
    (void)state;
    static const struct {
        const char *id;
        const char *vm;
        const char *service;
    } cases[] = {{"i-0", "vm1", "a"},
                 {"i-1", "vm2", "b"}, /* the older one of vm2 */
                 {"i-2", "vm2", "a"},
                 {"i-3", "vm1", "b"}};

    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_worker_entry e = {.born_wall = 1000 + (int64_t)i};

        (void)cw_name_set(&e.id, cw_str_from(cases[i].id));
        (void)cw_name_set(&e.vm, cw_str_from(cases[i].vm));
        (void)cw_name_set(&e.service, cw_str_from(cases[i].service));
        assert_non_null(cw_sched_worker_listed(&f.s, &e, f.now));
    }
    jobs_take_over(&f);
    assert_null(cw_sched_find_worker(&f.s, CW_LIT("i-0")));
}

/* Records that cannot be decoded are rejected as a whole. */
static void
test_bad_records(void **state)
{
    (void)state;
    static const struct {
        struct cw_str key;
        struct cw_str value;
    } cases[] = {
        {CW_LIT("j0000000000000007"), CW_LIT("\xff\xff")},
        {CW_LIT("p0000000000000007"), CW_LIT("\xff\xff")},
        {CW_LIT("x0000000000000007"), CW_LIT("a")},
        {CW_LIT("j7"), CW_LIT("a")},
        {CW_LIT("j0000000000000007"), CW_LIT("")},
    };

    for (size_t i = 0; i < COUNT(cases); i++) {
        assert_int_not_equal(
            cw_sched_load(&f.s, cases[i].key, cases[i].value, f.now), CW_OK);
    }
    assert_int_equal(f.s.job_count, 0);
}

/* A worker that has been idle keeps the lapse of its last lease. A start whose
 * commit took longer than a pass over the leases was given up each time, and
 * never sent. */
static void
test_start_on_a_worker_long_idle(void **state)
{
    (void)state;
    struct cw_job_spec s = jobs_spec(7, 1, 1000);
    struct cw_job_spec next = jobs_spec(8, 1, 1000);
    struct cw_worker *w = jobs_add_worker(&f, "w1", "v1", 4000);

    jobs_accept(&f, &s);
    jobs_commit(&f);
    jobs_answer_starts(&f, 0);
    (void)cw_worker_lease_until(&f.s, w, true, f.now);
    jobs_report_end(&f, w, 1, f.ops[0].row, CW_END_DONE);
    jobs_commit(&f);
    f.now += 4 * JOBS_LEASE_MS;
    assert_true(w->lapse_at != 0 && w->lapse_at < f.now);
    jobs_accept(&f, &next);
    (void)jobs_flush(&f);
    f.now += 50;
    cw_sched_expire_leases(&f.s, f.now);
    assert_int_equal(w->task_count, 1);
    cw_sched_committed(&f.s, f.s.batch - 1);
    assert_int_equal(jobs_count_ops(&f, 's'), 2);
    assert_int_equal(f.ops[f.op_count - 1].row.run, 1);
}

/* A report with rows that can't be read is no full list: its other rows count,
 * but no run is over as it is not listed, and no end is acknowledged, as one
 * that can't be read would be forgotten with it. */
static void
test_partial_report(void **state)
{
    (void)state;
    struct cw_job_spec s = jobs_spec(7, 2, 1000);
    struct cw_worker *w = jobs_add_worker(&f, "w1", "v1", 4000);
    struct cw_job_entry *j = jobs_accept(&f, &s);
    struct cw_end_row e = {.number = 4, .how = CW_END_DONE};
    struct cw_run_report r = {.born_wall = w->born_wall,
                              .ended = &e,
                              .ended_count = 1,
                              .partial = true};

    jobs_commit(&f);
    jobs_answer_starts(&f, 0);
    e.run = cw_task_row(&j->tasks[0]);
    for (int i = 0; i < 2; i++) {
        f.now += 100;
        r.sent_at = f.now - 10;
        cw_sched_report(&f.s, w, &r, f.now);
        assert_int_equal(j->tasks[0].state, CW_RUN_DONE);
        assert_ptr_equal(j->tasks[1].worker, w);
        assert_int_equal(w->ack_pending, 0);
    }
    r.partial = false;
    cw_sched_report(&f.s, w, &r, f.now);
    assert_null(j->tasks[1].worker);
    assert_int_equal(w->ack_pending, 4);
}

/* A worker's entry moved to another service while it ran a task. When the run
 * ended, only the worker's new pool was planned, and the task waited for
 * another event of its own. */
static void
test_end_on_a_moved_worker(void **state)
{
    (void)state;
    struct cw_job_spec s = jobs_spec(7, 1, 1000);
    struct cw_worker_entry e = {.born_wall = f.now};
    struct cw_worker *w = jobs_add_worker(&f, "w1", "v1", 4000);
    struct cw_job_entry *j = jobs_accept(&f, &s);

    jobs_commit(&f);
    jobs_answer_starts(&f, 0);
    jobs_add_worker(&f, "w2", "v2", 4000);
    jobs_commit(&f);
    (void)cw_name_set(&e.id, CW_LIT("w1"));
    (void)cw_name_set(&e.vm, CW_LIT("v1"));
    (void)cw_name_set(&e.service, CW_LIT("other"));
    assert_ptr_equal(cw_sched_worker_listed(&f.s, &e, f.now), w);
    f.now += 10;
    jobs_report_end(&f, w, 1, cw_task_row(&j->tasks[0]), CW_END_STOPPED);
    jobs_commit(&f);
    assert_int_equal(jobs_count_ops(&f, 's'), 2);
    assert_string_equal(f.ops[1].worker, "w2");
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_unanswered_start, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_silent_worker_lapses, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_takeover, setup, teardown),
        cmocka_unit_test_setup_teardown(test_takeover_unreachable, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_unexpected_run_is_stopped, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_stray_run_keeps_its_room, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_unavailable_tasks, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_later_incarnation_ends_earlier,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(test_takeover_of_a_replaced_worker,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(test_entry_of_anothers_vm, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_restarted_worker, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_partial_report, setup, teardown),
        cmocka_unit_test_setup_teardown(test_end_on_a_moved_worker, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_kv, setup, teardown),
        cmocka_unit_test_setup_teardown(test_end_with_moved_vms, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_loaded_jobs_are_no_arrivals,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(test_bad_records, setup, teardown),
        cmocka_unit_test_setup_teardown(test_start_on_a_worker_long_idle,
                                        setup, teardown),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
