/* Tests that a proof is asked for where an act rests on it; the rules
 * themselves are tested with their modules. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "agents_int.h"
#include "fleet_int.h"
#include "jobd_rig.h"
#include "jobs_util.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

static struct jobs_fixture f;
static struct rig rig;

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

/* ---- moves of lasting tasks ---- */

/* AVAIL: lasting tasks were moved off a VM while a stop that the previous
 * scheduler had sent shortly before its end was still under way. The rule is
 * tested in test_fleet; here, that waves and consolidation ask it. */
static void
test_evacuation_awaits_former_stops(void **state)
{
    static const struct {
        cw_ms since; /* the takeover began */
        cw_ms stop_ms;
        bool moves;
    } cases[] = {
        {100, 900, false}, {1500, 900, false}, {1599, 900, false},
        {1600, 900, true}, {800, 0, true},
    };

    (void)state;
    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_worker_entry e = rig_worker_entry();
        struct fleet_vm *v;
        const struct cw_task *t;

        rig_init(&rig);
        rig.d.settings.stop_ms = cases[i].stop_ms;
        rig_take_over(&rig);
        rig_set_membership(&rig, 60000);
        t = rig_run_task(&rig, 1);
        v = cw_fleet_vm_get(&rig.d, &e.vm);
        v->worker = rig.worker;
        rig.clock.now = rig.d.role_since + cases[i].since;
        cw_fleet_evacuate(&rig.d, v, false, false, "test", rig.clock.now);
        assert_int_equal(t->state == CW_RUN_STOPPING, cases[i].moves);
        rig_finish(&rig);
    }
}

/* TWICE: a worker's drain, and an accepted move of its VM, stop tasks or take
 * the worker out of the list; they end no run before a proof has come. */
static void
test_drains_and_moves_end_nothing(void **state)
{
    static const char kinds[] = {'d', 'm'};

    (void)state;
    for (size_t i = 0; i < COUNT(kinds); i++) {
        struct cw_worker_entry e = rig_worker_entry();
        struct cw_name pool = {0};
        struct fleet_vm *v;
        const struct cw_task *t;

        rig_init(&rig);
        rig_take_over(&rig);
        rig_set_membership(&rig, 60000);
        t = rig_run_task(&rig, 1);
        v = cw_fleet_vm_get(&rig.d, &e.vm);
        v->worker = rig.worker;
        v->phase = CW_VM_UP;
        v->listed_at = rig.clock.now;
        assert_false(cw_fleet_vm_is_idle(&rig.d, v, rig.clock.now));
        if (kinds[i] == 'd') {
            e.draining = true;
            (void)cw_sched_worker_listed(rig.d.sched, &e, rig.clock.now);
            assert_int_equal(t->state, CW_RUN_STOPPING);
        }
        else {
            (void)cw_name_set(&pool, CW_LIT("off"));
            cw_fleet_order_begin(&rig.d, v, VM_MOVE, &pool, 0);
            rig_commit(&rig, CW_OK);
            rig_answer_move(&rig, CW_OK);
            assert_int_equal(rig.worker->state, CW_WORKER_GONE);
        }
        assert_ptr_equal(t->worker, rig.worker);
        rig_finish(&rig);
    }
}

/* ---- reports ---- */

/* TWICE: a report lists at most 500 ends. A run that such a report does not
 * list may be among the ends that follow, also as done. */
static void
test_full_list_of_ends(void **state)
{
    enum { LISTED_MAX = 500 };
    static struct cw_end_row ends[LISTED_MAX];
    static const struct {
        size_t ends;
        bool over;
    } cases[] = {{0, true}, {LISTED_MAX - 1, true}, {LISTED_MAX, false}};

    (void)state;
    for (size_t i = 0; i < LISTED_MAX; i++) {
        ends[i] = (struct cw_end_row){
            .number = i + 1,
            .run = {.job = 99, .index = (uint32_t)i, .run = 1}};
    }
    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_job_spec s = jobs_spec(7, 1, 1000);
        struct cw_worker *w = jobs_add_worker(&f, "w1", "v1", 4000);
        struct cw_job_entry *j = jobs_accept(&f, &s);
        struct cw_run_report r = {.born_wall = w->born_wall,
                                  .ended = ends,
                                  .ended_count = cases[i].ends};

        jobs_commit(&f);
        jobs_answer_starts(&f, 0);
        f.now += 10;
        r.sent_at = f.now;
        cw_sched_report(&f.s, w, &r, f.now);
        assert_int_equal(j->tasks[0].worker == NULL, cases[i].over);
        jobs_teardown(&f);
        jobs_setup(&f);
    }
}

/* ---- workers and leases ---- */

#define MAX_HOLD_MS 10000
#define STEP_MS 10

static struct cw_worker *
list_worker(int64_t born, const char *address, bool draining)
{
    struct cw_worker_entry e = {
        .born_wall = born, .draining = draining, .current = true};

    (void)cw_name_set(&e.id, CW_LIT("w1"));
    (void)cw_name_set(&e.vm, CW_LIT("v1"));
    (void)cw_name_set(&e.service, CW_LIT(JOBS_SERVICE));
    (void)cw_name_set(&e.address, cw_str_from(address));
    e.capacity = (struct cw_resources){4000, 100000, 0};
    return cw_sched_worker_listed(&f.s, &e, f.now);
}

/* The start of a job of one task is sent to w1, which began long ago. */
static struct cw_task *
start_task(void)
{
    struct cw_job_spec s = jobs_spec(7, 1, 1000);
    struct cw_worker *w;
    struct cw_job_entry *j;

    f.s.limits.max_hold_ms = MAX_HOLD_MS;
    w = list_worker(1000, "10.0.0.1:80", false);
    jobs_report_running(&f, w, NULL, 0);
    j = jobs_accept(&f, &s);
    jobs_commit(&f);
    assert_ptr_equal(j->tasks[0].worker, w);
    return &j->tasks[0];
}

/* TWICE: a run was given up before its lease had lapsed at the latest: on a
 * clock that is 2% slow, by a timer that is up to 250 ms late, of a start that
 * arrived 500 ms after it was sent. */
static void
test_longest_lease(void **state)
{
    static const struct {
        bool proved;
        cw_ms arrives;
        cw_ms hold;
    } cases[] = {{true, 0, JOBS_LEASE_MS}, {false, 500, MAX_HOLD_MS}};

    (void)state;
    for (size_t i = 0; i < COUNT(cases); i++) {
        const struct cw_task *t = start_task();
        cw_ms sent = f.now;

        if (cases[i].proved) {
            struct cw_run_row row = cw_task_row(t);

            jobs_report_running(&f, t->worker, &row, 1);
        }
        while (t->worker != NULL && f.now - sent < 60000) {
            f.now += STEP_MS;
            cw_sched_expire_leases(&f.s, f.now);
        }
        assert_in_range(f.now - sent,
                        cases[i].arrives + cases[i].hold * 100 / 98 + 250,
                        cases[i].arrives + cases[i].hold * 11 / 10 + 250);
        jobs_teardown(&f);
        jobs_setup(&f);
    }
}

/* TWICE: the clock in the answer to a start proves the incarnation when it had
 * run for longer than since the last report. The answer with that report may
 * have been under way for 2 s, in which the worker restarted. */
static void
test_clock_of_a_start_answer(void **state)
{
    static const struct {
        int64_t clock_ms; /* 100 ms after the report came */
        bool proved;
    } cases[] = {{90, false}, {1900, false}, {2100, false}, {2200, true}};

    (void)state;
    for (size_t i = 0; i < COUNT(cases); i++) {
        const struct cw_task *t = start_task();
        struct cw_run_row row = cw_task_row(t);

        f.now += 100;
        cw_sched_start_clock(&f.s, t->worker, &row, cases[i].clock_ms, f.now);
        assert_int_equal(t->proved, cases[i].proved);
        jobs_teardown(&f);
        jobs_setup(&f);
    }
}

/* TWICE: the entry of a worker that began long ago proves what the former
 * scheduler started there. A start of this one may have reached an incarnation
 * that began after the entry was written. */
static void
test_entry_proves_no_own_start(void **state)
{
    const struct cw_task *t = start_task();

    (void)state;
    assert_non_null(list_worker(1000, "10.0.0.1:80", false));
    assert_false(t->proved);
}

/* TWICE: a record that does not say that reports have listed the run, as
 * earlier versions wrote it, proves no lease, whatever the age of the run. */
static void
test_record_without_a_proof(void **state)
{
    struct cw_task *t = start_task();
    struct cw_run_row row = cw_task_row(t);

    (void)state;
    for (int proved = 0; proved < 2; proved++) {
        t->started_wall = 1;
        t->listed = proved != 0;
        cw_job_mark_dirty(&f.s, t->job);
        jobs_commit(&f);
        jobs_take_over(&f);
        t = cw_sched_find_task(&f.s, &row);
        assert_int_equal(t->proved, proved);
    }
}

/* TWICE: the entry of a worker's former life, read again, gave it the former
 * address: whoever has that address now answers 421, which ended the runs of
 * the present life. */
static void
test_entry_of_a_former_life(void **state)
{
    const struct cw_task *t = start_task();
    struct cw_worker *w = t->worker;

    (void)state;
    assert_ptr_equal(list_worker(2000, "10.0.0.2:80", false), w);
    assert_ptr_equal(list_worker(1000, "10.0.0.1:80", true), w);
    assert_string_equal(w->address.text, "10.0.0.2:80");
    assert_int_equal(w->state, CW_WORKER_READY);
    assert_int_equal(w->born_wall, 2000);
}

/* TWICE: the first report of a VM's earlier worker, whose entry is still
 * listed, ended the runs of the VM's present one. */
static void
test_report_of_the_earlier_worker(void **state)
{
    struct cw_worker *earlier = jobs_list_worker(&f, "w0", "v1", 4000);
    const struct cw_task *t;

    (void)state;
    earlier->born_wall = 500;
    t = start_task();
    f.now += 10;
    jobs_report_running(&f, earlier, NULL, 0);
    assert_true(earlier->contacted);
    assert_non_null(t->worker);
    assert_string_equal(t->worker->id.text, "w1");
}

/* ---- what is stored ---- */

/* A start is sent, and an end acknowledged, only after its own batch is
 * stored: the next scheduler would not know of the start (TWICE), and nobody
 * of an end that the worker has forgotten. */
static void
test_nothing_before_its_commit(void **state)
{
    struct cw_worker *w = jobs_add_worker(&f, "w1", "v1", 4000);
    struct cw_job_spec s = jobs_spec(7, 2, 500);
    struct cw_job_spec next = jobs_spec(8, 1, 500);
    struct cw_job_entry *j = jobs_accept(&f, &s);
    struct cw_end_row e = {.number = 2, .how = CW_END_STOPPED};
    struct cw_run_report r = {
        .born_wall = w->born_wall, .ended = &e, .ended_count = 1};
    uint64_t batch;
    uint64_t later;

    (void)state;
    jobs_commit(&f);
    jobs_answer_starts(&f, 0);
    f.now += 10;
    jobs_report_end(&f, w, 1, cw_task_row(&j->tasks[0]), CW_END_STOPPED);
    batch = jobs_flush(&f);
    jobs_accept(&f, &next);
    e.run = cw_task_row(&j->tasks[1]);
    cw_sched_report(&f.s, w, &r, f.now);
    later = jobs_flush(&f);
    assert_int_equal(jobs_count_ops(&f, 's'), 2);
    cw_sched_committed(&f.s, batch);
    assert_int_equal(jobs_count_ops(&f, 's'), 3);
    assert_int_equal(w->acked, 0);
    cw_sched_committed(&f.s, later);
    assert_int_equal(jobs_count_ops(&f, 's'), 5);
    assert_int_equal(w->acked, 2);
}

/* TWICE: a job whose task has a planned start is not withdrawn: handed in
 * again, its tasks would be numbered anew. */
static void
test_no_withdrawal_of_a_started_job(void **state)
{
    struct cw_job_spec s = jobs_spec(7, 1, 500);

    (void)state;
    jobs_add_worker(&f, "w1", "v1", 4000);
    jobs_accept(&f, &s);
    cw_sched_plan(&f.s, f.now);
    assert_false(cw_sched_withdraw(&f.s, 7));
}

/* TWICE: a task that the record shows as done does not start again, and a stop
 * that the record shows is sent again while the worker lists the run. */
static void
test_loaded_states(void **state)
{
    struct cw_worker *w = jobs_add_worker(&f, "w1", "v1", 4000);
    struct cw_job_spec s = jobs_spec(7, 2, 500);
    struct cw_job_entry *j = jobs_accept(&f, &s);
    struct cw_run_row row;

    (void)state;
    jobs_commit(&f);
    jobs_answer_starts(&f, 0);
    f.now += 10;
    row = cw_task_row(&j->tasks[1]);
    jobs_report_end(&f, w, 1, cw_task_row(&j->tasks[0]), CW_END_DONE);
    cw_sched_stop_task(&f.s, &j->tasks[1], f.now);
    jobs_commit(&f);
    jobs_take_over(&f);
    w = jobs_list_worker(&f, "w1", "v1", 4000);
    jobs_report_running(&f, w, &row, 1);
    jobs_commit(&f);
    assert_int_equal(jobs_count_ops(&f, 's'), 0);
    assert_int_equal(jobs_count_ops(&f, 'x'), 1);
    row.index = 0;
    assert_int_equal(cw_sched_find_task(&f.s, &row)->state, CW_RUN_DONE);
}

/* ---- the run that a report speaks of ---- */

/* TWICE: the end of another run of the task, or one that another worker
 * reports, ended the task's present run. */
static void
test_end_of_another_run(void **state)
{
    static const struct {
        bool other_worker;
        bool other_run;
        bool over;
    } cases[] = {
        {false, false, true}, {true, false, false}, {false, true, false}};

    (void)state;
    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_task *t = start_task();
        struct cw_worker *w2 = jobs_add_worker(&f, "w2", "v2", 4000);
        struct cw_run_row row = cw_task_row(t);
        struct cw_worker *w = cases[i].other_worker ? w2 : t->worker;
        struct cw_end_row e = {.number = 1, .how = CW_END_STOPPED};
        struct cw_run_report r = {.born_wall = w->born_wall,
                                  .sent_at = f.now,
                                  .ended = &e,
                                  .ended_count = 1};

        cw_sched_start_answered(&f.s, t->worker, &row, CW_START_OK, false,
                                f.now);
        t->run += 1;
        e.run = cw_task_row(t);
        e.run.run -= cases[i].other_run ? 1 : 0;
        cw_sched_report(&f.s, w, &r, f.now);
        assert_int_equal(t->worker == NULL, cases[i].over);
        jobs_teardown(&f);
        jobs_setup(&f);
    }
}

/* TWICE: a gang starts again only when all members of its last run are over.
 */
static void
test_gang_awaits_all_ends(void **state)
{
    struct cw_worker *w = jobs_add_worker(&f, "w1", "v1", 4000);
    struct cw_job_spec s = jobs_spec(7, 2, 500);
    struct cw_job_entry *j;

    (void)state;
    s.steps[0].gang = true;
    j = jobs_accept(&f, &s);
    jobs_commit(&f);
    jobs_answer_starts(&f, 0);
    f.now += 10;
    jobs_report_end(&f, w, 1, cw_task_row(&j->tasks[0]), CW_END_BROKEN);
    jobs_commit(&f);
    assert_int_equal(jobs_count_ops(&f, 's'), 2);
    jobs_report_end(&f, w, 2, cw_task_row(&j->tasks[1]), CW_END_BROKEN);
    jobs_commit(&f);
    assert_int_equal(jobs_count_ops(&f, 's'), 4);
}

/* ---- orders ---- */

/* TWICE: a start that waited for the membership was sent after its task had
 * been stopped, behind the stop or before it. */
static void
test_waiting_start_of_a_stopped_task(void **state)
{
    struct cw_task *t;

    (void)state;
    rig_init(&rig);
    rig_take_over(&rig);
    rig_set_membership(&rig, 60000);
    t = &rig_accept(&rig, 1, false)->tasks[0];
    rig_begin_commit(&rig);
    rig_set_membership(&rig, -1);
    rig_answer_append(&rig, CW_OK);
    cw_sched_stop_task(rig.d.sched, t, rig.clock.now);
    assert_int_equal(t->state, CW_RUN_STOPPING);
    rig_set_membership(&rig, 60000);
    cw_agents_scan(&rig.d, rig.clock.now);
    assert_int_equal(rig.start_count, 0);
    assert_int_equal(rig.stop_count, 1);
    rig_finish(&rig);
}

/* TWICE: a start that was sent counts for max_hold_ms until its incarnation is
 * proved; the clock in its answer proves it. */
static void
test_lease_of_a_sent_start(void **state)
{
    const struct cw_task *t;
    struct rig_call c;

    (void)state;
    rig_init(&rig);
    rig_take_over(&rig);
    rig_set_membership(&rig, 60000);
    t = &rig_accept(&rig, 1, false)->tasks[0];
    rig_commit(&rig, CW_OK);
    assert_true(rig.worker->unproved_lapse_at >=
                rig.clock.now + RIG_MAX_HOLD_MS);
    assert_false(t->proved);
    c = rig.starts[0];
    assert_true(c.open);
    rig.starts[0].open = false;
    c.u.start(c.arg, CW_OK, CW_START_OK, rig.clock.now);
    assert_true(t->proved);
    rig_finish(&rig);
}

/* TWICE: a scheduler to which the store no longer assigns the role goes on
 * until its membership ends or a worker refuses its fence. */
static void
test_role_ends_with_the_part(void **state)
{
    (void)state;
    rig_init(&rig);
    rig_take_over(&rig);
    rig_join(&rig, 2, true);
    assert_int_equal(rig.d.role, CW_ROLE_SCHEDULER);
    rig_join(&rig, 3, false);
    assert_int_equal(rig.d.role, CW_ROLE_FOLLOWER);
    rig_finish(&rig);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_evacuation_awaits_former_stops,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(test_full_list_of_ends, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_longest_lease, setup, teardown),
        cmocka_unit_test_setup_teardown(test_clock_of_a_start_answer, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_entry_proves_no_own_start, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_record_without_a_proof, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_report_of_the_earlier_worker,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(test_entry_of_a_former_life, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_nothing_before_its_commit, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_no_withdrawal_of_a_started_job,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(test_loaded_states, setup, teardown),
        cmocka_unit_test_setup_teardown(test_end_of_another_run, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_gang_awaits_all_ends, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_waiting_start_of_a_stopped_task,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(test_lease_of_a_sent_start, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_drains_and_moves_end_nothing,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(test_role_ends_with_the_part, setup,
                                        teardown),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
