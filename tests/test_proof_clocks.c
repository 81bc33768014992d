/* Tests of leases that a takeover counts as proved by times of day. Clocks of
 * workers and daemons jump. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "jobd_rig.h"
#include "jobs_util.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define MAX_HOLD_MS 10000

static struct jobs_fixture f;
static struct rig rig;

static void
begin_case(void)
{
    jobs_setup(&f);
    f.s.limits.max_hold_ms = MAX_HOLD_MS;
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

static struct cw_worker *
list_worker(int64_t born, int64_t clock_ms)
{
    struct cw_worker_entry e = {
        .born_wall = born, .clock_ms = clock_ms, .current = true};

    (void)cw_name_set(&e.id, CW_LIT("w1"));
    (void)cw_name_set(&e.vm, CW_LIT("v1"));
    (void)cw_name_set(&e.service, CW_LIT(JOBS_SERVICE));
    (void)cw_name_set(&e.address, CW_LIT("10.0.0.1:80"));
    e.capacity = (struct cw_resources){4000, 100000, 0};
    return cw_sched_worker_listed(&f.s, &e, f.now);
}

static struct cw_task *
only_task(void)
{
    struct cw_run_row r = {.job = 7};

    return cw_sched_find_task(&f.s, &r);
}

/* Starts the only task on w1, which is a minute old, and writes its record. */
static void
start_on(int64_t born)
{
    struct cw_job_spec s = jobs_spec(7, 1, 1000);
    struct cw_worker *w = list_worker(born, 60000);

    jobs_report_running(&f, w, NULL, 0);
    jobs_accept(&f, &s);
    jobs_commit(&f);
    assert_ptr_equal(only_task()->worker, w);
}

/* Reports list the run for as long. */
static void
report_for(cw_ms ms)
{
    struct cw_run_row row = cw_task_row(only_task());

    jobs_report_running(&f, only_task()->worker, &row, 1);
    f.now += ms;
    jobs_report_running(&f, only_task()->worker, &row, 1);
    jobs_commit(&f);
}

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

/* TWICE: an entry written since the takeover proves the leases of a worker
 * that began long ago by its own clock. A worker that restarted just before
 * the takeover, on a VM whose clock is behind, seems as old: a start that was
 * meant for its former incarnation holds for max_hold_ms there, and was given
 * up after lease_ms. */
static void
test_age_of_a_worker_by_its_clock(void **state)
{
    (void)state;
    static const struct {
        cw_ms known;  /* age of the incarnation that the start was meant for */
        cw_ms listed; /* age by its entry */
        cw_ms clock;  /* its steady clock */
        bool longest;
    } cases[] = {
        {60000, 60000, 60000, false}, /* the same incarnation */
        {60000, 1000, 1000, true},    /* a later one, whose clock is right */
        {60000, 30000, 1000, true},   /* a later one, whose clock is behind */
        {1000, 1000, 1000, true},     /* the former scheduler knew it lately */
        {60000, 60000, 0, true},      /* its entry says nothing of its age */
    };

    for (size_t i = 0; i < COUNT(cases); i++) {
        int64_t wall = f.now + f.s.wall_offset;
        cw_ms ms;

        start_on(wall - cases[i].known);
        jobs_take_over(&f);
        (void)list_worker(wall - cases[i].listed, cases[i].clock);
        ms = time_to_lapse();
        assert_int_equal(ms >= MAX_HOLD_MS, cases[i].longest);
        jobs_teardown(&f);
        begin_case();
    }
}

/* Answers the takeover's read with the records of the fixture. */
static void
load_records(void)
{
    struct cw_store_record rows[8] = {{.key = CW_LIT(CW_CLAIM_KEY)}};
    struct cw_store_page page = {.records = rows, .count = 1};
    struct rig_call jobs = rig.jobs;

    rows[0].value = cw_buf_str(&rig.claim);
    for (size_t i = 0; i < f.stored_count; i++) {
        rows[page.count++] =
            (struct cw_store_record){cw_str_from(f.stored[i].key),
                                     {f.stored[i].value, f.stored[i].len}};
    }
    assert_true(jobs.open);
    rig.jobs.open = false;
    jobs.u.page(jobs.arg, CW_OK, &page);
    assert_int_equal(rig.d.role, CW_ROLE_SCHEDULER);
}

/* TWICE: a run counted as one whose lease is proved when it was started long
 * ago by this daemon's estimate of the time of day. The first sample of a
 * process is its estimate: after a restart of all daemons nothing tells that
 * the clock of the next scheduler's VM has jumped. The record tells instead,
 * for runs that reports have listed for some time. */
static void
test_age_of_a_run_by_one_clock(void **state)
{
    (void)state;
    static const struct {
        cw_ms run_age;
        cw_ms ahead; /* of this daemon's clock */
        bool agreed; /* has the former scheduler's estimate */
        bool proved;
    } cases[] = {
        {1000, 0, false, false},     {1000, 30000, true, false},
        {30000, 30000, true, true},  {30000, -30000, false, true},
        {1000, 30000, false, false},
    };

    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_run_row row = {.job = 7};
        const struct cw_task *t;

        rig_init(&rig);
        f.s.wall_offset = rig.clock.wall - rig.clock.now - cases[i].run_age;
        start_on(f.now + f.s.wall_offset - 60000);
        report_for(cases[i].run_age);
        rig.clock.wall += cases[i].ahead;
        if (cases[i].agreed) {
            cw_wall_agree(&rig.d.wall, rig.clock.wall - cases[i].ahead, 2,
                          rig.clock.now);
        }
        rig_claim(&rig);
        load_records();
        t = cw_sched_find_task(rig.d.sched, &row);
        assert_non_null(t);
        assert_non_null(t->worker);
        assert_int_equal(t->proved, cases[i].proved);
        rig_finish(&rig);
        jobs_teardown(&f);
        begin_case();
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_age_of_a_worker_by_its_clock,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(test_age_of_a_run_by_one_clock, setup,
                                        teardown),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
