/* Placement decisions under load and with failing jobs, workers and leases. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "place_model.h"

#include <string.h>

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define URGENT_LIMIT_MS 9800

static const struct cw_size worker_size = {16000, 32768, 2};
static const struct cw_size half = {8000, 16384, 0};
static const struct cw_size small = {1000, 1024, 0};

static bool
urgent_runs(const struct model *m)
{
    const struct cw_place_task *t =
        cw_place_task(&m->place, CW_LIT("urgent.job.0"));
    return t != NULL && t->state == CW_PLACE_RUNNING;
}

/* An urgent task must preempt when other tasks fill every worker. */
static void
test_urgent_starts(void **state)
{
    (void)state;
    static const struct {
        bool preempt;
        cw_ms checkpoint_ms; /* real time that victims need */
        bool in_time;
    } cases[] = {
        {true, 100, true},
        {true, 4000, true},
        {true, CW_HOUR, true}, /* victims are stopped after 5 s */
        {false, 100, false},
    };
    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_place_params params = cw_place_defaults();
        params.preempt = cases[i].preempt;
        struct model m;
        model_init(&m, &params);
        m.run_ms = CW_HOUR;
        m.checkpoint_ms = cases[i].checkpoint_ms;
        model_add_workers(&m, 8, worker_size);
        model_put_job(&m, "bulk", "t1", 16, half, false);
        model_run(&m, 60 * CW_SECOND, NULL);
        assert_int_equal(cw_place_count(&m.place, CW_PLACE_RUNNING), 16);
        model_put_job(&m, "urgent", "t2", 1, half, true);
        cw_ms requested_at = m.now;
        model_run(&m, 20 * CW_SECOND, urgent_runs);
        assert_int_equal(urgent_runs(&m) &&
                             m.now - requested_at <= URGENT_LIMIT_MS,
                         cases[i].in_time);
        model_finish(&m);
    }
}

/* A job larger than every worker must be reported as such and must not block
 * the jobs queued behind it. */
static void
test_never_fits(void **state)
{
    (void)state;
    static const struct cw_size cases[] = {
        {16001, 1, 0},
        {1, 32769, 0},
        {1, 1, 3},
    };
    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_place_params params = cw_place_defaults();
        struct model m;
        model_init(&m, &params);
        model_add_workers(&m, 2, worker_size);
        model_run(&m, 500, NULL);
        model_put_job(&m, "big", "t1", 1, cases[i], false);
        model_put_job(&m, "fits", "t1", 1, small, false);
        model_run(&m, 2 * CW_SECOND, NULL);
        assert_int_equal(m.notified, 1);
        assert_non_null(strstr(m.last_notice, "more than any worker has"));
        assert_int_equal(cw_place_count(&m.place, CW_PLACE_RUNNING), 1);
        /* After a larger worker joined, the job is tried again. */
        struct cw_size larger = {32000, 65536, 4};
        model_add_workers(&m, 1, larger);
        model_run(&m, 2 * CW_SECOND, NULL);
        assert_int_equal(cw_place_count(&m.place, CW_PLACE_NEVER_FITS), 0);
        model_finish(&m);
    }
}

/* A job that waits for a large free capacity must not block smaller jobs. */
static void
test_backfill(void **state)
{
    (void)state;
    static const struct {
        bool backfill;
        size_t running;
    } cases[] = {{true, 2}, {false, 1}};
    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_place_params params = cw_place_defaults();
        params.backfill = cases[i].backfill;
        params.preempt = false;
        struct model m;
        model_init(&m, &params);
        m.run_ms = CW_HOUR;
        model_add_workers(&m, 1, worker_size);
        model_put_job(&m, "a", "t1", 1, half, false);
        model_run(&m, CW_SECOND, NULL);
        model_put_job(&m, "large", "t1", 1, worker_size, false);
        model_put_job(&m, "late", "t1", 1, small, false);
        model_run(&m, 2 * CW_SECOND, NULL);
        assert_int_equal(cw_place_count(&m.place, CW_PLACE_RUNNING),
                         cases[i].running);
        model_finish(&m);
    }
}

/* A worker that fails every task at once always has free capacity and would
 * attract all tasks. Its two tasks fail together every 500 ms. That the job
 * runs elsewhere is known when other tasks have run twice as long, in the
 * third round. Within 600 s probes follow after 60, 180 and 420 s. */
static void
test_failing_worker(void **state)
{
    (void)state;
    static const struct {
        bool quarantine;
        uint32_t first_max; /* failures in the first 50 s */
        uint32_t all_min;
        uint32_t all_max;
    } cases[] = {{true, 6, 3, 9}, {false, UINT32_MAX, 20, UINT32_MAX}};
    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_place_params params = cw_place_defaults();
        params.quarantine = cases[i].quarantine;
        params.reject_after = UINT32_MAX;
        struct model m;
        model_init(&m, &params);
        model_add_workers(&m, 20, worker_size);
        m.workers[3].fails_everything = true;
        model_put_job(&m, "many", "t1", 600, half, false);
        model_run(&m, 50 * CW_SECOND, NULL);
        assert_in_range(m.failures, 3, cases[i].first_max);
        model_run(&m, 550 * CW_SECOND, NULL);
        assert_in_range(m.failures, cases[i].all_min, cases[i].all_max);
        assert_int_equal(cw_place_count(&m.place, CW_PLACE_DONE), 600);
        model_finish(&m);
    }
}

/* A quarantined worker that recovers must return to use through a probe. */
static void
test_probe_returns_worker(void **state)
{
    (void)state;
    struct cw_place_params params = cw_place_defaults();
    struct model m;
    model_init(&m, &params);
    model_add_workers(&m, 4, worker_size);
    m.workers[0].fails_everything = true;
    m.run_ms = 5 * CW_SECOND;
    model_put_job(&m, "many", "t1", 200, half, false);
    model_run(&m, 30 * CW_SECOND, NULL);
    m.workers[0].fails_everything = false;
    model_put_job(&m, "more", "t1", 2000, half, false);
    model_run(&m, 150 * CW_SECOND, NULL);
    assert_true(model_allocated(&m, "w0").cpu_milli > 0);
    model_finish(&m);
}

/* A job that always fails must not quarantine healthy workers, and must end as
 * rejected. */
static void
test_failing_job(void **state)
{
    (void)state;
    struct cw_place_params params = cw_place_defaults();
    struct model m;
    model_init(&m, &params);
    model_add_workers(&m, 8, worker_size);
    m.failing_job = "bad";
    model_put_job(&m, "good", "t1", 40, small, false);
    model_put_job(&m, "bad", "t1", 10, small, false);
    model_run(&m, 120 * CW_SECOND, NULL);
    assert_int_equal(cw_place_count(&m.place, CW_PLACE_REJECTED), 10);
    assert_int_equal(cw_place_count(&m.place, CW_PLACE_DONE), 40);
    assert_true(m.failures <= 30);
    uint64_t cpu;
    uint64_t memory;
    uint64_t accelerators;
    cw_place_free_capacity(&m.place, &cpu, &memory, &accelerators);
    assert_true(cpu == 8 * 16000);
    model_finish(&m);
}

/* After five samples measured sizes replace wrong declared ones. */
static void
test_learned_size(void **state)
{
    (void)state;
    static const struct {
        bool learn;
        uint32_t use_percent;
        uint32_t allocated_min;
        uint32_t allocated_max;
    } cases[] = {
        {true, 25, 2000, 2400},
        {true, 150, 12000, 14000},
        {false, 25, 8000, 8000},
    };
    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_place_params params = cw_place_defaults();
        params.learn = cases[i].learn;
        struct model m;
        model_init(&m, &params);
        m.use_percent = cases[i].use_percent;
        model_add_workers(&m, 4, worker_size);
        model_put_job(&m, "first", "t1", 6, half, false);
        model_run(&m, 90 * CW_SECOND, NULL);
        assert_int_equal(cw_place_count(&m.place, CW_PLACE_DONE), 6);
        model_put_job(&m, "first", "t1", 7, half, false);
        model_run(&m, CW_SECOND, NULL);
        const struct cw_place_task *t =
            cw_place_task(&m.place, CW_LIT("first.job.6"));
        assert_in_range(t->allocated.cpu_milli, cases[i].allocated_min,
                        cases[i].allocated_max);
        model_finish(&m);
    }
}

/* When a service with many tasks is cancelled, waiting tasks are removed at
 * once, running ones are stopped, and no task of the service starts
 * afterwards. */
static void
test_cancel_service(void **state)
{
    (void)state;
    struct cw_place_params params = cw_place_defaults();
    struct model m;
    model_init(&m, &params);
    m.run_ms = CW_HOUR;
    model_add_workers(&m, 4, worker_size);
    model_put_job(&m, "gone", "t1", 500, half, false);
    model_put_job(&m, "stays", "t2", 500, half, false);
    model_run(&m, 2 * CW_SECOND, NULL);
    model_cancel_jobs(&m, "gone", "t1");
    model_run(&m, 5 * CW_SECOND, NULL);
    assert_true(model_allocated(&m, "w0").cpu_milli > 0);
    for (size_t i = 0; i < MODEL_TASKS; i++) {
        assert_false(
            m.tasks[i].used &&
            cw_str_starts(cw_name_str(&m.tasks[i].name), CW_LIT("gone")));
    }
    assert_int_equal(cw_place_count(&m.place, CW_PLACE_RUNNING), 8);
    /* Cancelled jobs are freed. */
    model_run(&m, 70 * CW_SECOND, NULL);
    assert_null(cw_place_task(&m.place, CW_LIT("gone.job.0")));
    model_finish(&m);
}

/* A task on a worker that became unreachable must not start again before the
 * lease has certainly expired, and must start again after that. */
static void
test_lease_lapse(void **state)
{
    (void)state;
    struct cw_place_params params = cw_place_defaults();
    struct model m;
    model_init(&m, &params);
    m.run_ms = CW_HOUR;
    model_add_workers(&m, 2, worker_size);
    model_put_job(&m, "one", "t1", 1, small, false);
    model_run(&m, 60 * CW_SECOND, NULL);
    const struct cw_place_task *t =
        cw_place_task(&m.place, CW_LIT("one.job.0"));
    assert_int_equal(t->state, CW_PLACE_RUNNING);
    uint64_t fence = t->fence;
    size_t w = 0;
    while (!cw_str_eq(cw_name_str(&m.workers[w].name),
                      cw_name_str((const struct cw_name *)t->worker))) {
        w++;
    }
    m.workers[w].unreachable = true;
    cw_ms unreachable_since = m.now;
    while (t->fence == fence && m.now - unreachable_since < 10 * CW_MINUTE) {
        model_run(&m, 500, NULL);
    }
    assert_true(m.now - unreachable_since >= params.lease_ms);
    assert_true(t->fence > fence);
    assert_int_equal(t->state, CW_PLACE_RUNNING);
    model_finish(&m);
}

static void
count_action(void *ctx, const struct cw_place_action *a)
{
    (void)a;
    ++*(int *)ctx;
}

static void
count_renewal(void *ctx, const struct cw_place_action *a)
{
    *(int *)ctx += a->kind == CW_PLACE_RENEW;
}

/* A task started on the worker between a renewal and its answer must not stop
 * all further renewals. */
static void
test_start_during_renewal(void **state)
{
    (void)state;
    struct cw_place_params params = cw_place_defaults();
    struct model m;
    model_init(&m, &params);
    cw_place_worker_report(&m.place, CW_LIT("w0"), CW_LIT("r0"), worker_size,
                           NULL, 0, m.now, NULL, NULL);
    model_put_job(&m, "a", "t", 2, small, false);
    int renewals = 0;
    cw_place_tick(&m.place, m.now, count_renewal, &renewals);
    assert_true(cw_place_started(&m.place, CW_LIT("a.job.0"), 1, 1, m.now));
    m.now += params.renew_ms - 1;
    cw_place_tick(&m.place, m.now, count_renewal, &renewals);
    assert_int_equal(renewals, 0);
    m.now++;
    cw_place_renew_leases(&m.place, m.now, count_renewal, &renewals);
    assert_int_equal(renewals, 1);
    m.now++;
    assert_true(cw_place_started(&m.place, CW_LIT("a.job.1"), 1, 2, m.now));
    cw_place_renew_answered(&m.place, CW_LIT("w0"), true);
    m.now += params.renew_ms;
    cw_place_renew_leases(&m.place, m.now, count_renewal, &renewals);
    assert_int_equal(renewals, 2);
    model_finish(&m);
}

/* A start record that is read back too late must not start the task while its
 * next attempt is running. */
static void
test_late_start_record(void **state)
{
    (void)state;
    struct cw_place_params params = cw_place_defaults();
    struct model m;
    model_init(&m, &params);
    cw_place_worker_report(&m.place, CW_LIT("w0"), CW_LIT("r0"), worker_size,
                           NULL, 0, m.now, NULL, NULL);
    model_put_job(&m, "a", "t", 1, small, false);
    struct cw_str name = CW_LIT("a.job.0");
    int actions = 0;
    cw_place_tick(&m.place, m.now, count_action, &actions);
    assert_int_equal(actions, 1);
    /* The record is not read back in time: the task waits again and its next
     * start is requested. */
    m.now += params.start_wait_ms;
    cw_place_tick(&m.place, m.now, count_action, &actions);
    static const struct {
        uint32_t attempt;
        bool counts;
    } cases[] = {
        {1, false}, /* the record of the first attempt, late */
        {3, false}, /* an attempt that was never requested */
        {2, true},
        {2, false}, /* the same record again */
    };
    for (size_t i = 0; i < COUNT(cases); i++) {
        assert_int_equal(
            cw_place_started(&m.place, name, cases[i].attempt, 7 + i, m.now),
            cases[i].counts);
    }
    model_finish(&m);
}

/* Tasks of a team above its quota are evicted for a team below its own. */
static void
test_reclaim_borrowed(void **state)
{
    (void)state;
    static const struct {
        bool preempt;
        size_t t2_running;
    } cases[] = {{true, 4}, {false, 0}};
    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_place_params params = cw_place_defaults();
        params.preempt = cases[i].preempt;
        struct model m;
        model_init(&m, &params);
        m.run_ms = CW_HOUR;
        model_add_workers(&m, 4, worker_size);
        struct cw_size quota = {32000, 65536, 4};
        cw_place_set_team_quota(&m.place, CW_LIT("t1"), quota);
        cw_place_set_team_quota(&m.place, CW_LIT("t2"), quota);
        model_put_job(&m, "greedy", "t1", 8, half, false);
        model_run(&m, 5 * CW_SECOND, NULL);
        assert_int_equal(cw_place_count(&m.place, CW_PLACE_RUNNING), 8);
        model_put_job(&m, "late", "t2", 8, half, false);
        model_run(&m, 120 * CW_SECOND, NULL);
        size_t running = 0;
        for (size_t n = 0; n < MODEL_TASKS; n++) {
            running +=
                m.tasks[n].used &&
                cw_str_starts(cw_name_str(&m.tasks[n].name), CW_LIT("late"));
        }
        /* Exactly the quota of t2: tasks within the quota of t1 stay. */
        assert_int_equal(running, cases[i].t2_running);
        model_finish(&m);
    }
}

/* A new holder that replays the records of the previous one must not start a
 * running task a second time. */
static void
test_replay_after_takeover(void **state)
{
    (void)state;
    struct cw_place_params params = cw_place_defaults();
    struct model m;
    model_init(&m, &params);
    m.run_ms = CW_HOUR;
    model_add_workers(&m, 2, worker_size);
    model_put_job(&m, "a", "t", 3, small, false);
    cw_place_replay_start(&m.place, CW_LIT("a.job.0"), CW_LIT("w0"), 4, 40,
                          small, m.now);
    cw_place_replay_start(&m.place, CW_LIT("a.job.1"), CW_LIT("w1"), 1, 41,
                          small, m.now);
    cw_place_replay_ended(&m.place, CW_LIT("a.job.1"), 1, true, m.now);
    /* An older start record of the same task has no effect. */
    cw_place_replay_start(&m.place, CW_LIT("a.job.0"), CW_LIT("w1"), 3, 30,
                          small, m.now);
    m.offset = 100;
    model_run(&m, 5 * CW_SECOND, NULL);
    assert_int_equal(m.starts, 1);
    const struct cw_place_task *t = cw_place_task(&m.place, CW_LIT("a.job.0"));
    assert_int_equal(t->fence, 40);
    assert_int_equal(cw_place_count(&m.place, CW_PLACE_DONE), 1);
    model_finish(&m);
}

/* Random jobs, cancellations and worker failures: no task runs twice at the
 * same time and no worker is allocated beyond its size. */
static void
test_random_events(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 20; seed++) {
        struct cw_rng rng;
        cw_rng_init(&rng, seed);
        struct cw_place_params params = cw_place_defaults();
        struct model m;
        model_init(&m, &params);
        model_add_workers(&m, 8, worker_size);
        for (int step = 0; step < 120; step++) {
            char service[8];
            snprintf(service, sizeof(service), "s%d",
                     (int)cw_rng_below(&rng, 6));
            struct cw_size size = {
                500 + (uint32_t)cw_rng_below(&rng, 12000),
                100 + (uint32_t)cw_rng_below(&rng, 30000),
                (uint32_t)cw_rng_below(&rng, 3),
            };
            size_t w = cw_rng_below(&rng, 8);
            switch (cw_rng_below(&rng, 5)) {
            case 0:
                model_cancel_jobs(&m, service, "t1");
                break;
            case 1:
                m.workers[w].fails_everything ^= true;
                break;
            default:
                model_put_job(&m, service, "t1",
                              (uint32_t)cw_rng_below(&rng, 30), size,
                              cw_rng_below(&rng, 4) == 0);
            }
            model_run(&m, 2 * CW_SECOND, NULL);
            for (size_t i = 0; i < m.worker_count; i++) {
                struct cw_size g = model_allocated(&m, m.workers[i].name.text);
                if (g.cpu_milli > worker_size.cpu_milli ||
                    g.memory_mb > worker_size.memory_mb ||
                    g.accelerators > worker_size.accelerators) {
                    fail_msg("seed %llu step %d: worker %zu overcommitted",
                             (unsigned long long)seed, step, i);
                }
            }
        }
        if (m.overlaps != 0) {
            fail_msg("seed %llu: %u tasks started twice",
                     (unsigned long long)seed, m.overlaps);
        }
        model_finish(&m);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_urgent_starts),
        cmocka_unit_test(test_never_fits),
        cmocka_unit_test(test_backfill),
        cmocka_unit_test(test_failing_worker),
        cmocka_unit_test(test_probe_returns_worker),
        cmocka_unit_test(test_failing_job),
        cmocka_unit_test(test_learned_size),
        cmocka_unit_test(test_cancel_service),
        cmocka_unit_test(test_lease_lapse),
        cmocka_unit_test(test_start_during_renewal),
        cmocka_unit_test(test_late_start_record),
        cmocka_unit_test(test_reclaim_borrowed),
        cmocka_unit_test(test_replay_after_takeover),
        cmocka_unit_test(test_random_events),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
