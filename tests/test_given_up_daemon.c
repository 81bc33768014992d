/* Tests of what the daemon adds to the log lines on runs that are given up:
 * the send times of the calls that are the proof, and the line of the next
 * start. With a wrong time nobody could tell whether a proof is older than the
 * run that it speaks of. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "fleet_int.h"
#include "jobd_rig.h"
#include "jobs_util.h"
#include "log_lines.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

static struct rig rig;

enum answer { NO_ROOM, NEVER_SENT, START_421, STOP_421, REPORT_421 };

static void
answer_start(enum cw_status s, enum cw_start_answer a)
{
    struct rig_call c = rig.starts[0];

    assert_true(c.open);
    rig.starts[0].open = false;
    c.u.start(c.arg, s, a, 0);
}

static void
give_answer(enum answer a, struct cw_task *t)
{
    struct rig_call c;

    switch (a) {
    case NO_ROOM:
    case START_421:
        rig_advance(&rig, 20);
        answer_start(CW_OK, a == NO_ROOM ? CW_START_NO_CAPACITY
                                         : CW_START_OTHER_INCARNATION);
        break;
    case NEVER_SENT:
        for (int i = 0; i < 3; i++) {
            rig_advance(&rig, 200);
            cw_agents_scan(&rig.d, rig.clock.now);
            answer_start(CW_ERR_UNAVAILABLE, CW_START_OK);
        }
        break;
    case STOP_421:
        cw_sched_stop_task(rig.d.sched, t, rig.clock.now);
        rig_advance(&rig, 20);
        c = rig.stops[0];
        assert_true(c.open);
        rig.stops[0].open = false;
        c.u.order(c.arg, CW_ERR_NOT_FOUND);
        break;
    case REPORT_421:
        rig_report(&rig, &(struct cw_run_row){.job = 1, .run = 1}, 1);
        rig_advance(&rig, 20);
        c = rig.report;
        assert_true(c.open);
        rig.report.open = false;
        c.u.report(c.arg, CW_ERR_NOT_FOUND, NULL);
        break;
    }
}

static void
test_answers(void **state)
{
    (void)state;
    static const struct {
        const char *name;
        enum answer answer;
        const char *given_up;
        const char *start;
    } cases[] = {
        {"no room", NO_ROOM, "reason=refused proof=start_answer",
         "after=start_answer"},
        {"never sent", NEVER_SENT, "reason=refused proof=unsent",
         "after=unsent"},
        {"another answers a start", START_421,
         "reason=other_worker proof=other_worker", "after=other_worker"},
        {"another answers a stop", STOP_421,
         "reason=other_worker proof=other_worker", "after=other_worker"},
        {"another answers a report", REPORT_421,
         "reason=other_worker proof=other_worker", "after=other_worker"},
    };

    for (size_t i = 0; i < COUNT(cases); i++) {
        bool runs =
            cases[i].answer == STOP_421 || cases[i].answer == REPORT_421;
        struct cw_task *t;
        char want[160];

        rig_init(&rig);
        rig_take_over(&rig);
        log_lines_begin();
        if (runs) {
            t = rig_run_task(&rig, 1);
        }
        else {
            t = &rig_accept(&rig, 1, false)->tasks[0];
            rig_commit(&rig, CW_OK);
        }
        log_lines_expect(
            cases[i].name, "debug", "start",
            "run=1 path=new after_run=0 after=none after_age_ms=-1");
        give_answer(cases[i].answer, t);
        (void)snprintf(want, sizeof(want), "%s proof_age_ms=%d epoch=%llu",
                       cases[i].given_up,
                       cases[i].answer == NEVER_SENT ? 0 : 20,
                       (unsigned long long)rig.d.epoch);
        log_lines_expect(cases[i].name, "info", "run_given_up", want);
        assert_true(rig.d.sched->answered.sent_at == 0);
        cw_jobd_count_given_up(&rig.d);
        (void)snprintf(want, sizeof(want), "kind=\"%s\"",
                       cases[i].start + strlen("after="));
        assert_int_equal(*cw_metrics_counter(&rig.d.metrics,
                                             "cuminwalk_runs_given_up_total",
                                             want),
                         1);
        rig.worker->retry_at = 0;
        cw_pool_plan_soon(rig.d.sched, rig.worker->pool);
        cw_commit_schedule(&rig.d);
        rig_commit(&rig, CW_OK);
        (void)snprintf(want, sizeof(want),
                       "run=2 path=repeat after_run=1 %s stop=none "
                       "beside_run=0",
                       cases[i].start);
        log_lines_expect(cases[i].name, "info", "start", want);
        log_lines_end();
        rig_finish(&rig);
    }
}

/* A task that is moved off a VM starts again without a fault of its worker. */
static void
test_moved(void **state)
{
    (void)state;
    struct fleet_vm v;
    struct cw_task *t;

    rig_init(&rig);
    rig_take_over(&rig);
    t = rig_run_task(&rig, 1);
    memset(&v, 0, sizeof(v));
    v.worker = rig.worker;
    rig_advance(&rig, 60000);
    rig_set_membership(&rig, 900);
    cw_fleet_evacuate(&rig.d, &v, false, false, "test", rig.clock.now);
    assert_int_equal(t->state, CW_RUN_STOPPING);
    assert_int_equal(t->stop_cause, CW_STOP_MOVED);
    rig_finish(&rig);
}

/* A preempted task is told from one that its worker lost. */
static void
test_preempted(void **state)
{
    (void)state;
    static struct jobs_fixture f;
    struct cw_tenant_entry a = {.weight = 100};
    struct cw_job_spec s = jobs_spec(1, 20, 1000);
    struct cw_job_entry *running;
    struct cw_sched *own;
    uint32_t stopped = 0;

    rig_init(&rig);
    rig_take_over(&rig);
    jobs_setup(&f);
    f.now = rig.clock.now;
    (void)cw_name_set(&a.name, CW_LIT("a"));
    cw_sched_set_tenants(&f.s, &a, 1, f.now);
    (void)jobs_add_worker(&f, "w1", "v1", 20000);
    s.rules.priority = 1;
    s.rules.tenant = a.name;
    running = jobs_accept(&f, &s);
    jobs_commit(&f);
    jobs_answer_starts(&f, 0);
    s = jobs_spec(2, 1, 1000);
    s.rules.tenant = a.name;
    (void)jobs_accept(&f, &s);
    f.now += 500;
    jobs_commit(&f);
    own = rig.d.sched;
    rig.d.sched = &f.s;
    rig_advance(&rig, 500);
    rig_set_membership(&rig, 900);
    cw_tenants_tick(&rig.d, f.now);
    rig.d.sched = own;
    for (size_t i = 0; i < running->task_count; i++) {
        stopped += running->tasks[i].stop_cause == CW_STOP_PREEMPTED ? 1 : 0;
    }
    assert_int_equal(stopped, 1);
    jobs_teardown(&f);
    rig_finish(&rig);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_answers),
        cmocka_unit_test(test_moved),
        cmocka_unit_test(test_preempted),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
