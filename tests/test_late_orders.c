/* Tests of starts that are carried out seconds after they were sent, at a
 * worker that has restarted under its id meanwhile: no task runs twice. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "jobs_util.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define MAX_HOLD_MS 10000
#define ORDER_LATE_MS 12000
#define CALL_MS 400 /* after which a start counts as one without an answer */
#define STEP_MS 50

static struct jobs_fixture f;

static void
begin_case(void)
{
    jobs_setup(&f);
    f.s.limits.max_hold_ms = MAX_HOLD_MS;
    f.s.limits.order_late_ms = ORDER_LATE_MS;
}

static int
setup(void **state)
{
    (void)state;
    cw_logger_setup(CW_ERROR, stderr, NULL);
    begin_case();
    return 0;
}

static int
teardown(void **state)
{
    (void)state;
    jobs_teardown(&f);
    return 0;
}

static void
next_case(void)
{
    jobs_teardown(&f);
    begin_case();
}

/* ---- a worker that follows the platform's rules ---- */

/* One incarnation at a time; it runs tasks of step 0 of a few jobs. */
struct runner {
    struct cw_worker *worker;
    int64_t born;
    cw_ms began;
    uint64_t fence;          /* the highest one that it has seen */
    cw_ms lapses;            /* all its runs, on the test's clock */
    struct cw_run_row *runs; /* by job; run 0: none */
    uint32_t *barred;        /* by job: not higher ones are rejected */
};

#define JOBS_MAX 10

static struct cw_run_row runs_[JOBS_MAX];
static uint32_t barred_[JOBS_MAX];

struct start {
    struct cw_run_row row;
    uint64_t fence;
    int64_t until_ms;
};

static void
begin_life(struct runner *r, int64_t born)
{
    *r = (struct runner){.worker = r->worker,
                         .born = born,
                         .began = f.now - 100,
                         .runs = runs_,
                         .barred = barred_};
    memset(runs_, 0, sizeof(runs_));
    memset(barred_, 0, sizeof(barred_));
}

static int64_t
runner_clock(const struct runner *r)
{
    return f.now - r->began;
}

static void
hold(struct runner *r, int64_t until_ms)
{
    int64_t left = until_ms - runner_clock(r);

    left = left > MAX_HOLD_MS ? MAX_HOLD_MS : left;
    r->lapses = f.now + left > r->lapses ? f.now + left : r->lapses;
}

/* True when the start has begun the run, or had before. */
static bool
carry_out(struct runner *r, const struct start *s)
{
    if (s->fence < r->fence || s->until_ms <= runner_clock(r)) {
        return false;
    }
    r->fence = s->fence;
    hold(r, s->until_ms);
    if (s->row.run <= r->barred[s->row.job]) {
        return false;
    }
    r->runs[s->row.job] = s->row;
    return true;
}

/* The answer to a call that was made now. */
static void
send_report(struct runner *r, uint64_t fence)
{
    struct cw_run_row rows[JOBS_MAX];
    struct cw_run_report rep = {.sent_at = f.now,
                                .born_wall = r->born,
                                .clock_ms = runner_clock(r),
                                .running = rows};

    r->fence = fence > r->fence ? fence : r->fence;
    for (size_t i = 0; i < JOBS_MAX; i++) {
        if (r->runs[i].run != 0) {
            rows[rep.running_count++] = r->runs[i];
        }
    }
    cw_sched_report(&f.s, r->worker, &rep, f.now);
}

/* ---- the scheduler ---- */

/* Its entry in the list, written since the takeover or not. */
static struct cw_worker *
list_runner(const char *id, int64_t born, bool current)
{
    struct cw_worker_entry e = {.born_wall = born, .current = current};

    (void)cw_name_set(&e.id, cw_str_from(id));
    (void)cw_name_set(&e.vm, cw_str_from(id));
    (void)cw_name_set(&e.service, CW_LIT(JOBS_SERVICE));
    (void)cw_name_set(&e.address, CW_LIT("10.0.0.1:80"));
    e.capacity = (struct cw_resources){4000, 100000, 0};
    return cw_sched_worker_listed(&f.s, &e, f.now);
}

/* Submits a job of one task and sends its start to w1, the only worker. */
static struct start
start_job(struct runner *r, uint64_t id, uint64_t fence)
{
    struct cw_job_spec spec = jobs_spec(id, 1, 1000);
    struct start s = {.fence = fence};

    jobs_accept(&f, &spec);
    jobs_commit(&f);
    assert_int_equal(f.ops[f.op_count - 1].kind, 's');
    s.row = f.ops[f.op_count - 1].row;
    s.until_ms = r->worker->lease_until_ms;
    assert_int_equal(s.row.job, id);
    return s;
}

/* w1 has run for a minute and has reported. */
static void
begin_runner(struct runner *r)
{
    r->worker = list_runner("w1", f.now - 60000, true);
    begin_life(r, f.now - 60000);
    r->began = f.now - 60000;
    send_report(r, 1);
}

static struct cw_task *
task_of(uint64_t id)
{
    struct cw_run_row r = {.job = id};

    return cw_sched_find_task(&f.s, &r);
}

/* Lets time pass to a moment; the scheduler acts meanwhile. */
static void
run_to(cw_ms at)
{
    while (f.now < at) {
        f.now = f.now + STEP_MS < at ? f.now + STEP_MS : at;
        cw_sched_expire_leases(&f.s, f.now);
        jobs_commit(&f);
    }
}

/* A run after this one has been sent to a worker. */
static bool
started_again(const struct cw_run_row *row)
{
    const struct cw_task *t = task_of(row->job);

    return t->run > row->run && t->state != CW_RUN_WAITING &&
           t->order_batch <= f.s.committed;
}

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
        struct runner r = {0};
        cw_ms sent;
        struct start s;

        begin_runner(&r);
        sent = f.now;
        s = start_job(&r, 7, 1);
        run_to(sent + 1500);
        jobs_take_over(&f);
        r.worker = list_runner("w1", r.born, true);
        r.worker->cordoned = true; /* the task's next run goes elsewhere */
        jobs_add_worker(&f, "w2", "w2", 4000);
        run_to(sent + 2000);
        send_report(&r, 2);
        run_to(sent + cases[i].arrives - 100);
        send_report(&r, 2);
        if (cases[i].restarts) {
            begin_life(&r, f.now);
        }
        run_to(sent + cases[i].arrives);
        assert_false(carry_out(&r, &s) && started_again(&s.row));
        next_case();
    }
}

/* What became of a start whose first send had no answer: it ran, it ran and a
 * report listed it, or the repeat was refused and the run stopped. */
enum repeat { ACCEPTED, ACCEPTED_LISTED, NO_ROOM };

/* Sends the start again and applies its answer: it runs, or it was stopped and
 * the worker rejects it. */
static void
repeat_start(struct runner *r, const struct start *s, enum repeat how)
{
    if (how == NO_ROOM) {
        hold(r, s->until_ms);
        cw_sched_start_answered(&f.s, r->worker, &s->row, CW_START_NO_CAPACITY,
                                true, f.now);
        r->barred[s->row.job] = s->row.run;
        cw_sched_stop_answered(&f.s, r->worker, &s->row, f.now);
    }
    else {
        assert_true(carry_out(r, s));
        cw_sched_start_answered(&f.s, r->worker, &s->row, CW_START_OK, true,
                                f.now);
    }
    run_to(f.now + 50);
    if (how != ACCEPTED) {
        send_report(r, 1);
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
        enum repeat how;
        bool restarts;
        cw_ms arrives; /* the first send, after it was sent */
    } cases[] = {
        {ACCEPTED, false, 4000},       {NO_ROOM, false, 4000},
        {ACCEPTED, true, 2500},        {ACCEPTED, true, 12000},
        {ACCEPTED_LISTED, true, 4000}, {NO_ROOM, true, 2500},
        {NO_ROOM, true, 12000},
    };

    for (size_t i = 0; i < COUNT(cases); i++) {
        struct runner r = {0};
        cw_ms sent;
        struct start s;

        begin_runner(&r);
        sent = f.now;
        s = start_job(&r, 7, 1);
        r.worker->cordoned = true; /* the task's next run goes elsewhere */
        jobs_add_worker(&f, "w2", "w2", 4000);
        run_to(sent + 550);
        repeat_start(&r, &s, cases[i].how);
        run_to(sent + 1000);
        if (cases[i].restarts) {
            begin_life(&r, f.now);
        }
        while (f.now < sent + cases[i].arrives) {
            run_to(f.now + 500);
            send_report(&r, 1);
        }
        assert_false(carry_out(&r, &s) && started_again(&s.row));
        next_case();
    }
}

/* TWICE: a start to a silent worker counted as arrived after 500 ms. Carried
 * out later by an incarnation that the scheduler doesn't know, it holds its
 * run for max_hold_ms from then on. */
static void
test_lease_of_a_late_start(void **state)
{
    (void)state;
    static const cw_ms arrives[] = {400, 2500, 8000, 12000};

    for (size_t i = 0; i < COUNT(arrives); i++) {
        struct runner r = {0};
        cw_ms sent;
        struct start s;

        begin_runner(&r);
        sent = f.now;
        s = start_job(&r, 7, 1);
        jobs_add_worker(&f, "w2", "w2", 4000);
        begin_life(&r, f.now);
        run_to(sent + CALL_MS);
        cw_worker_start_unanswered(&f.s, r.worker, sent);
        run_to(sent + arrives[i]);
        assert_true(carry_out(&r, &s));
        while (!started_again(&s.row) && f.now - sent < 60000) {
            run_to(f.now + STEP_MS);
        }
        assert_true(started_again(&s.row));
        assert_true(f.now >= r.lapses);
        next_case();
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

    for (size_t i = 0; i < COUNT(cases); i++) {
        struct runner r = {0};
        struct start first;
        struct start s;
        cw_ms sent;

        begin_runner(&r);
        sent = f.now;
        first = start_job(&r, 8, 1);
        run_to(sent + cases[i].restart);
        begin_life(&r, f.now);
        if (cases[i].arrives < 500) {
            run_to(sent + cases[i].arrives);
            assert_true(carry_out(&r, &first));
        }
        cw_worker_start_unanswered(&f.s, r.worker, sent);
        run_to(sent + cases[i].restart + 200);
        send_report(&r, 1);
        s = first;
        s.until_ms = cw_worker_lease_until(&f.s, r.worker, true, f.now);
        repeat_start(&r, &s, ACCEPTED_LISTED);
        s = start_job(&r, 7, 1);
        assert_true(carry_out(&r, &s));
        cw_sched_start_answered(&f.s, r.worker, &s.row, CW_START_OK, false,
                                f.now);
        jobs_add_worker(&f, "w2", "w2", 4000);
        while (f.now < sent + cases[i].arrives) {
            run_to(f.now + 250);
            hold(&r, cw_worker_lease_until(&f.s, r.worker, true, f.now));
            send_report(&r, 1);
        }
        if (cases[i].arrives >= 500) {
            assert_true(carry_out(&r, &first));
        }
        /* Cut off from here on. */
        while (!started_again(&s.row) && f.now - sent < 60000) {
            run_to(f.now + STEP_MS);
        }
        assert_true(started_again(&s.row));
        assert_true(f.now >= r.lapses);
        next_case();
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
        struct runner r = {0};
        struct cw_run_report partial = {.partial = true};
        cw_ms loaded;
        struct start s;

        begin_runner(&r);
        s = start_job(&r, 7, 1);
        jobs_take_over(&f);
        loaded = f.now;
        r.worker = list_runner("w1", r.born, false);
        partial.born_wall = r.born;
        partial.clock_ms = runner_clock(&r);
        partial.sent_at = f.now;
        cw_sched_report(&f.s, r.worker, &partial, f.now);
        run_to(loaded + 100);
        if (with_start) {
            (void)start_job(&r, 8, 2);
        }
        while (task_of(7)->run == s.row.run && task_of(7)->worker != NULL &&
               f.now - loaded < 60000) {
            run_to(f.now + STEP_MS);
        }
        assert_true(f.now - loaded >= f.s.limits.renewals_ms + MAX_HOLD_MS);
        next_case();
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_start_of_a_former_scheduler,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(test_first_send_after_a_repeat, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_lease_of_a_late_start, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(
            test_lease_of_others_after_a_late_start, setup, teardown),
        cmocka_unit_test_setup_teardown(
            test_start_keeps_the_lapse_of_loaded_runs, setup, teardown),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
