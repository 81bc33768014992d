/* Tests of the calls for reports to one worker. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "agents_int.h"
#include "fleet_int.h"
#include "jobd_rig.h"
#include "jobs_util.h"

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
    assert_true(rig.report_order.wait_ms > 0);
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
        assert_int_equal(rig.report_order.acked, 1);
        answer_idle(i == 2);
        assert_false(rig.report.open); /* a pause: it is no busy loop */
        rig_advance(&rig, 250);
        cw_agents_scan(&rig.d, rig.clock.now);
    }
    assert_false(rig.report.open);
}

/* A report of the running task, on a connection that had carried one before or
 * not. The call had been sent some time ago. */
static void
answer_running(const struct cw_run_row *row, bool proved)
{
    struct cw_run_report rep = {
        .born_wall = 1, .proved = proved, .running = row, .running_count = 1};

    rig_advance(&rig, 300);
    rep.clock_ms = rig.clock.now;
    rig_answer_report(&rig, &rep);
    assert_true(rig.report.open);
}

/* The runs of a worker that closes each connection lapsed every few seconds,
 * as it got no renewal, and its ends were listed for good. It gets both; the
 * lease counts for as long as another incarnation may hold it, and no end that
 * another one may have is acknowledged. */
static void
test_worker_that_closes_connections(void **state)
{
    const struct cw_report_order *o = &rig.report_order;
    struct cw_run_row row;

    (void)state;
    row = cw_task_row(rig_run_task(&rig, 1));
    cw_agents_scan(&rig.d, rig.clock.now);
    rig_set_membership(&rig, 60000);
    answer_running(&row, true);
    assert_false(o->until_unproved || o->acked_unproved);
    answer_running(&row, false);
    assert_false(o->until_unproved || o->acked_unproved);
    answer_running(&row, false);
    assert_true(o->until_ms > 0);
    assert_true(o->until_unproved && o->acked_unproved);
    assert_true(rig.worker->lapse_at >= rig.clock.now + RIG_MAX_HOLD_MS);
    /* A start may have begun the first run of another incarnation. */
    (void)rig_accept(&rig, 2, false);
    rig_commit(&rig, CW_OK);
    answer_running(&row, false);
    assert_true(o->until_unproved && !o->acked_unproved);
    rig_answer_orders(&rig);
    answer_running(&row, false); /* asked for while the start was open */
    assert_true(o->acked_unproved);
    answer_running(&row, true);
    assert_false(o->until_unproved || o->acked_unproved);
}

/* TWICE: a worker that closes each connection got the acknowledgement of its
 * former incarnation after a report of a later one that was not believed yet,
 * as its clock had gone back: ends were forgotten unseen. */
static void
test_no_acks_after_an_unbelieved_report(void **state)
{
    const struct cw_report_order *o = &rig.report_order;
    struct cw_run_row row = cw_task_row(rig_run_task(&rig, 1));

    (void)state;
    cw_agents_scan(&rig.d, rig.clock.now);
    rig_set_membership(&rig, 60000);
    answer_running(&row, false);
    answer_running(&row, false);
    assert_true(o->acked_unproved);
    rig.worker->born_wall = 5; /* the report is of 1 */
    rig_advance(&rig, 300);
    rig_answer_report(&rig, &(struct cw_run_report){.born_wall = 1});
    rig_advance(&rig, 300);
    cw_agents_scan(&rig.d, rig.clock.now);
    assert_true(rig.report.open);
    assert_false(o->acked_unproved);
}

/* TWICE: a start without an answer may yet begin the first run of another
 * incarnation. An acknowledgement sent meanwhile to a worker that closes each
 * connection could reach that one, and its end would be forgotten unseen. */
static void
test_no_acks_while_a_start_may_be_late(void **state)
{
    const struct cw_report_order *o = &rig.report_order;
    struct cw_run_row row = cw_task_row(rig_run_task(&rig, 1));

    (void)state;
    cw_agents_scan(&rig.d, rig.clock.now);
    rig_set_membership(&rig, 60000);
    answer_running(&row, false);
    rig.worker->late_start_until = rig.clock.now + 1000;
    for (int i = 0; i < 5; i++) {
        answer_running(&row, false);
        assert_int_equal(o->acked_unproved,
                         rig.clock.now >= rig.worker->late_start_until);
    }
    assert_true(o->acked_unproved);
}

/* Guards against runs that count for max_hold_ms on a sound worker: after an
 * idle time its connection is new, which does not make it one that closes
 * each.
 */
static void
test_idle_connections_are_no_closed_ones(void **state)
{
    (void)state;
    for (uint64_t id = 1; id <= 4; id++) {
        struct cw_task *t = rig_run_task(&rig, id);
        struct cw_run_row row = cw_task_row(t);

        rig_set_membership(&rig, 60000);
        cw_agents_scan(&rig.d, rig.clock.now);
        answer_running(&row, false);
        assert_false(rig.report_order.until_unproved);
        assert_false(rig.report_order.acked_unproved);
        (void)cw_sched_cancel(rig.d.sched, id, rig.clock.now);
        rig_commit(&rig, CW_OK);
        rig_answer_orders(&rig);
        for (int i = 0; i < 2; i++) {
            rig_advance(&rig, 100);
            answer_idle(true);
        }
        assert_false(rig.report.open);
        rig_advance(&rig, 6000);
        rig_set_membership(&rig, 60000);
    }
}

/* ---- silent and restarted workers ---- */

/* Ends the open call for a report without an answer. */
static void
lose_report(void)
{
    struct rig_call c = rig.report;

    assert_true(c.open);
    rig.report.open = false;
    c.u.report(c.arg, CW_ERR_UNKNOWN, NULL);
}

/* Guards against calls to a silent worker that move the time on at which its
 * runs have ended: its tasks would wait for as long as it is called. */
static void
test_calls_to_a_silent_worker_renew_nothing(void **state)
{
    cw_ms lapse_at;
    int64_t until;

    (void)state;
    (void)rig_run_task(&rig, 1);
    cw_agents_scan(&rig.d, rig.clock.now);
    rig_set_membership(&rig, 60000);
    until = rig.report_order.until_ms;
    lapse_at = rig.worker->lapse_at;
    for (int i = 0; i < 3; i++) {
        lose_report();
        rig_advance(&rig, 300);
        cw_agents_scan(&rig.d, rig.clock.now);
        assert_int_equal(rig.report_order.until_ms, until);
        assert_int_equal(rig.worker->lapse_at, lapse_at);
    }
}

/* Ends the open start without an answer. */
static void
lose_start(void)
{
    struct rig_call c = rig.starts[0];

    assert_true(c.open);
    rig.starts[0].open = false;
    c.u.start(c.arg, CW_ERR_UNKNOWN, CW_START_OK, 0);
}

/* Guards against a task that runs twice: a start without an answer may have
 * arrived, also at a restarted process. Repeated while the worker is silent,
 * or with a later end of its lease, it holds the run for longer than counted.
 */
static void
test_repeats_of_a_start(void **state)
{
    (void)state;
    for (int silent = 0; silent < 2; silent++) {
        cw_ms lapse_at;

        (void)teardown(NULL);
        (void)setup(NULL);
        (void)rig_accept(&rig, 1, false);
        rig_set_membership(&rig, 60000);
        rig_commit(&rig, CW_OK);
        cw_agents_scan(&rig.d, rig.clock.now);
        assert_int_equal(rig.start_count, 1);
        lapse_at = rig.worker->lapse_at;
        lose_start();
        if (silent) {
            lose_report();
        }
        rig_advance(&rig, 200);
        cw_agents_scan(&rig.d, rig.clock.now);
        assert_int_equal(rig.start_count, silent ? 1 : 2);
        assert_int_equal(rig.worker->lapse_at, lapse_at);
        if (silent) {
            rig_advance(&rig, 100);
            cw_agents_scan(&rig.d, rig.clock.now);
            rig_report(&rig, NULL, 0);
            cw_agents_scan(&rig.d, rig.clock.now);
            assert_int_equal(rig.start_count, 2);
        }
    }
}

/* Guards against a start that carries the end of a lease on an unknown clock:
 * the worker's restart was seen after the start had been planned. */
static void
test_start_waits_for_the_clock(void **state)
{
    struct cw_worker_entry e = rig_worker_entry();

    (void)state;
    (void)rig_accept(&rig, 1, false);
    rig_begin_commit(&rig);
    e.born_wall = 2;
    (void)cw_sched_worker_listed(rig.d.sched, &e, rig.clock.now);
    rig_answer_append(&rig, CW_OK);
    cw_agents_scan(&rig.d, rig.clock.now);
    assert_int_equal(rig.start_count, 0);
    rig_answer_report(
        &rig, &(struct cw_run_report){.born_wall = 2, .clock_ms = 300});
    cw_agents_scan(&rig.d, rig.clock.now);
    assert_int_equal(rig.start_count, 1);
}

/* Guards against a replaced scheduler that goes on: a worker that has seen a
 * higher fence refuses its calls. */
static void
test_refused_fence_ends_the_role(void **state)
{
    static const char kinds[] = {'r', 's', 'x'};

    (void)state;
    for (size_t i = 0; i < sizeof(kinds); i++) {
        struct rig_call c;
        struct cw_run_row row;

        (void)teardown(NULL);
        (void)setup(NULL);
        rig_set_membership(&rig, 60000);
        row = cw_task_row(rig_run_task(&rig, 1));
        cw_agents_scan(&rig.d, rig.clock.now);
        if (kinds[i] == 's') {
            (void)rig_accept(&rig, 2, false);
            rig_commit(&rig, CW_OK);
        }
        else if (kinds[i] == 'x') {
            cw_agent_ops.stop(&rig.d, rig.worker, &row);
        }
        c = kinds[i] == 'r'   ? rig.report
            : kinds[i] == 's' ? rig.starts[0]
                              : rig.stops[0];
        assert_true(c.open);
        rig.report.open &= kinds[i] != 'r';
        rig.starts[0].open &= kinds[i] != 's';
        rig.stops[0].open &= kinds[i] != 'x';
        if (kinds[i] == 'r') {
            c.u.report(c.arg, CW_ERR_FENCED, NULL);
        }
        else if (kinds[i] == 's') {
            c.u.start(c.arg, CW_ERR_FENCED, CW_START_OK, 0);
        }
        else {
            c.u.order(c.arg, CW_ERR_FENCED);
        }
        assert_int_equal(rig.d.role, CW_ROLE_FOLLOWER);
    }
}

/* ---- proofs of incarnations by the list ---- */

/* Answers the open read of the list of workers with the worker's entry. */
static void
answer_list(void)
{
    static const struct cw_store_record r = {
        CW_LIT("w-1"),
        CW_LIT("{\"service\":\"" JOBS_SERVICE
               "\",\"address\":\"127.0.0.1:9\",\"state\":\"ready\","
               "\"capacity\":{\"cpu\":4000,\"memMb\":4000},"
               "\"machine\":\"m-1\",\"born\":1}")};
    struct cw_store_page page = {.records = &r, .count = 1, .next = 5};
    struct rig_call c = rig.workers;

    assert_true(c.open);
    rig.workers.open = false;
    c.u.page(c.arg, CW_OK, &page);
}

/* TWICE: an entry that had been written before the takeover counted as proof
 * that no later incarnation holds the former scheduler's runs. */
static void
test_list_proves_what_was_written_since(void **state)
{
    struct cw_task *t;

    (void)state;
    t = rig_run_task(&rig, 1);
    t->order_batch = 0; /* as if loaded by a takeover */
    t->proved = false;
    cw_watch_workers(&rig.d, rig.clock.now);
    answer_list();
    assert_true(rig.d.workers_loaded);
    assert_false(t->proved);
    rig_advance(&rig, 400);
    cw_watch_workers(&rig.d, rig.clock.now);
    answer_list();
    assert_true(t->proved);
}

/* A maintenance wave passed a VM over for as long as an entry of another
 * writer named it: the entry's worker, which nobody can reach, counted as the
 * VM's. */
static void
test_odd_entry_does_not_hide_a_vm(void **state)
{
    struct cw_worker_entry e = rig_worker_entry();
    struct cw_name vm = e.vm;

    (void)state;
    e.born_wall = 2;
    (void)cw_name_set(&e.id, CW_LIT("x"));
    assert_non_null(cw_sched_worker_listed(rig.d.sched, &e, rig.clock.now));
    cw_fleet_tick(&rig.d, rig.clock.now);
    rig_list_vm(&rig);
    rig_advance(&rig, 200);
    rig_set_membership(&rig, 900);
    cw_fleet_tick(&rig.d, rig.clock.now);
    assert_ptr_equal(cw_fleet_vm_get(&rig.d, &vm)->worker, rig.worker);
}

/* The address of the connection that an open call was sent on. */
static const char *
sent_to(const struct rig_call *c)
{
    assert_true(c->open);
    return c->conn->address.text;
}

/* A worker that restarted under its id at another address was called at the
 * former one for as long as it had tasks: they lapsed, and no task started
 * there. */
static void
test_restart_at_another_address(void **state)
{
    struct cw_worker_entry e = rig_worker_entry();
    struct cw_run_row row;
    struct cw_task *t;

    (void)state;
    row = cw_task_row(rig_run_task(&rig, 1));
    cw_agents_scan(&rig.d, rig.clock.now);
    (void)rig_accept(&rig, 2, false);
    rig_commit(&rig, CW_OK);
    assert_string_equal(sent_to(&rig.report), "127.0.0.1:9");
    assert_string_equal(sent_to(&rig.starts[0]), "127.0.0.1:9");
    e.born_wall = 2;
    (void)cw_name_set(&e.address, CW_LIT("127.0.0.1:10"));
    assert_ptr_equal(cw_sched_worker_listed(rig.d.sched, &e, rig.clock.now),
                     rig.worker);
    cw_agents_scan(&rig.d, rig.clock.now);
    assert_false(rig.starts[0].open);
    rig_advance(&rig, 300);
    rig_set_membership(&rig, 900);
    cw_agents_scan(&rig.d, rig.clock.now);
    assert_string_equal(sent_to(&rig.report), "127.0.0.1:10");
    rig_answer_report(
        &rig, &(struct cw_run_report){.born_wall = 2, .clock_ms = 300});
    cw_agents_scan(&rig.d, rig.clock.now);
    assert_string_equal(sent_to(&rig.starts[0]), "127.0.0.1:10");
    /* The former incarnation's run is over. */
    t = cw_sched_find_task(rig.d.sched, &row);
    assert_true(t->worker == NULL || t->run > row.run);
}

/* The entry of a restarted worker came before the end of its former process:
 * each report of that process was ignored and asked for again at once, some
 * thousand times a second. */
static void
test_pause_after_an_earlier_incarnation(void **state)
{
    struct cw_worker_entry e = rig_worker_entry();
    uint32_t calls;

    (void)state;
    e.born_wall = 2;
    (void)cw_sched_worker_listed(rig.d.sched, &e, rig.clock.now);
    cw_agents_scan(&rig.d, rig.clock.now);
    calls = rig.report_count;
    for (int i = 0; i < 25; i++) {
        if (rig.report.open) {
            rig_report(&rig, NULL, 0); /* born at 1 */
        }
        rig_advance(&rig, 10);
        cw_agents_scan(&rig.d, rig.clock.now);
    }
    assert_int_equal(rig.report_count, calls + 1);
    assert_false(rig.worker->contacted);
}

/* Ends the only open order for the worker, a stop, without an answer. */
static void
lose_stop(void)
{
    struct rig_call c = rig.stops[0];

    assert_true(c.open);
    rig.stops[0].open = false;
    c.u.order(c.arg, CW_ERR_UNKNOWN);
}

/* A stop of a run that no task counts any more was not repeated when it got no
 * answer: the run went on to its end beside what was started in its room
 * (LIMIT), and after a cancel (UNASKED). */
static void
test_stop_of_a_stray_is_repeated(void **state)
{
    struct cw_run_row stray = {.job = 99, .run = 1};
    uint32_t starts;

    (void)state;
    rig_set_membership(&rig, 60000);
    cw_agent_ops.stop(&rig.d, rig.worker, &stray);
    assert_int_equal(rig.stop_count, 1);
    lose_stop();
    (void)rig_accept(&rig, 1, false);
    starts = rig.start_count;
    for (uint32_t i = 2; i <= 4; i++) {
        rig_advance(&rig, 800);
        rig_commit(&rig, CW_OK);
        cw_agents_scan(&rig.d, rig.clock.now);
        assert_int_equal(rig.stop_count, i);
        assert_int_equal(rig.start_count, starts);
        lose_stop();
    }
    rig_advance(&rig, 800);
    cw_agents_scan(&rig.d, rig.clock.now);
    rig_answer_orders(&rig);
    rig_advance(&rig, 500);
    cw_agents_scan(&rig.d, rig.clock.now);
    rig_commit(&rig, CW_OK);
    assert_int_equal(rig.start_count, starts); /* it may take that long */
    rig_advance(&rig, 1000);
    cw_sched_wake_pools(rig.d.sched, rig.clock.now);
    rig_commit(&rig, CW_OK);
    assert_int_equal(rig.start_count, starts + 1);
    assert_int_equal(rig.stop_count, 5);
}

/* Guards against stops that are sent to a dead worker without end. */
static void
test_stop_of_a_stray_ends(void **state)
{
    struct cw_run_row stray = {.job = 99, .run = 1};
    cw_ms began = rig.clock.now;
    cw_ms last = 0;

    (void)state;
    rig_set_membership(&rig, 120000);
    cw_agent_ops.stop(&rig.d, rig.worker, &stray);
    while (rig.clock.now - began < 60000) {
        if (rig.stops[0].open) {
            last = rig.clock.now - began;
            rig_advance(&rig, 400);
            lose_stop();
        }
        rig_advance(&rig, 50);
        cw_agents_scan(&rig.d, rig.clock.now);
    }
    assert_in_range(last, RIG_MAX_HOLD_MS, 2 * RIG_MAX_HOLD_MS);
}

/* Guards against a task that runs twice: a start without an answer may be
 * carried out much later. One that can reach a restarted process counts for
 * that long, and its lease for max_hold_ms from then on. One on a connection
 * that is older than the last report reaches the known process alone: carried
 * out late, it holds nothing, as its lease was meant for that clock. */
static void
test_lease_of_an_unanswered_start(void **state)
{
    (void)state;
    for (int bound = 0; bound <= 1; bound++) {
        struct cw_job_entry *j;
        cw_ms sent;
        cw_ms began;

        rig.bound = bound != 0;
        rig.d.sched->limits.order_late_ms = 12000;
        rig_set_membership(&rig, 60000);
        j = rig_accept(&rig, 1, false);
        rig_commit(&rig, CW_OK);
        sent = rig.clock.now;
        rig_advance(&rig, 400);
        lose_start();
        lose_report();
        for (began = rig.clock.now;
             j->tasks[0].worker != NULL && rig.clock.now - began < 60000;) {
            rig_advance(&rig, 50);
            cw_sched_expire_leases(rig.d.sched, rig.clock.now);
        }
        if (bound) {
            assert_in_range(rig.clock.now - sent, RIG_MAX_HOLD_MS,
                            2000 + RIG_MAX_HOLD_MS);
        }
        else {
            assert_in_range(rig.clock.now - sent, 12000 + RIG_MAX_HOLD_MS,
                            14000 + RIG_MAX_HOLD_MS);
        }
        (void)teardown(NULL);
        (void)setup(NULL);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_strays_are_watched, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_acks_until_one_is_proved, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_worker_that_closes_connections,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(
            test_no_acks_after_an_unbelieved_report, setup, teardown),
        cmocka_unit_test_setup_teardown(test_no_acks_while_a_start_may_be_late,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(
            test_idle_connections_are_no_closed_ones, setup, teardown),
        cmocka_unit_test_setup_teardown(
            test_calls_to_a_silent_worker_renew_nothing, setup, teardown),
        cmocka_unit_test_setup_teardown(test_repeats_of_a_start, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_start_waits_for_the_clock, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_refused_fence_ends_the_role,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(
            test_list_proves_what_was_written_since, setup, teardown),
        cmocka_unit_test_setup_teardown(test_odd_entry_does_not_hide_a_vm,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(test_restart_at_another_address, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(
            test_pause_after_an_earlier_incarnation, setup, teardown),
        cmocka_unit_test_setup_teardown(test_stop_of_a_stray_is_repeated,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(test_stop_of_a_stray_ends, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_lease_of_an_unanswered_start,
                                        setup, teardown),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
