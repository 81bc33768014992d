/* Tests of proofs that rest on the name of a VM or on an address in a worker's
 * entry: they end no run of a worker that lives. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "agents_int.h"
#include "jobd_rig.h"
#include "jobs_util.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

static struct jobs_fixture f;
static struct rig rig;

static struct cw_task *
only_task(void)
{
    struct cw_run_row r = {.job = 7};

    return cw_sched_find_task(&f.s, &r);
}

/* TWICE: the record of a run names the VM of its worker, as an entry gave it.
 * A takeover that does not find the worker in the list knows it by that name
 * alone, without a start time. The first report of another worker of the VM
 * ended its runs, although an odd entry had given the name, or gave it to the
 * other worker. */
static void
test_vm_of_an_unlisted_worker(void **state)
{
    enum odd { NONE, OF_THE_RUN, OF_THE_OTHER };
    static const struct {
        enum odd odd;
        const char *vm; /* of the other worker */
        bool over;
    } cases[] = {
        {NONE, "v1", true}, /* the VM's next worker */
        {NONE, "v2", false},
        {OF_THE_RUN, "v2", false},
        {OF_THE_OTHER, "v1", false},
    };

    (void)state;
    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_job_spec s = jobs_spec(7, 1, 1000);
        struct cw_worker *other;

        jobs_setup(&f);
        jobs_add_worker(&f, "w1", "v1", 4000);
        jobs_accept(&f, &s);
        if (cases[i].odd == OF_THE_RUN) {
            jobs_list_worker(&f, "w1", "v2", 4000);
            jobs_commit(&f);
            jobs_list_worker(&f, "w1", "v1", 4000);
        }
        jobs_commit(&f);
        jobs_answer_starts(&f, 0);
        f.now += 1000;
        jobs_take_over(&f);
        other = jobs_list_worker(&f, "w2", cases[i].vm, 4000);
        if (cases[i].odd == OF_THE_OTHER) {
            /* Its own entry follows before it has reported. */
            (void)jobs_list_worker(&f, "w2", "v2", 4000);
        }
        jobs_report_running(&f, other, NULL, 0);
        assert_int_equal(only_task()->worker == NULL, cases[i].over);
        jobs_teardown(&f);
    }
}

/* TWICE: a 421 answer ended all runs of the worker that the call named, also
 * when it came from another address than the one at which the incarnation had
 * reported its runs: an odd entry had named it. */
static void
test_421_from_another_address(void **state)
{
    static const struct {
        char kind; /* of the call: report, start, stop */
        bool moved;
        bool over;
    } cases[] = {
        {'r', false, true}, {'s', false, true}, {'x', false, true},
        {'r', true, false}, {'s', true, false}, {'x', true, false},
    };

    (void)state;
    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_worker_entry e = rig_worker_entry();
        struct cw_run_row row;
        struct rig_call c;
        const struct cw_task *t;

        rig_init(&rig);
        rig_take_over(&rig);
        rig_set_membership(&rig, 60000);
        t = rig_run_task(&rig, 7);
        row = cw_task_row(t);
        cw_agents_scan(&rig.d, rig.clock.now);
        rig_advance(&rig, 100);
        rig_report(&rig, &row, 1);
        if (cases[i].moved) {
            (void)cw_name_set(&e.address, CW_LIT("127.0.0.1:10"));
            (void)cw_sched_worker_listed(rig.d.sched, &e, rig.clock.now);
            cw_agents_scan(&rig.d, rig.clock.now);
            rig_advance(&rig, 300);
            cw_agents_scan(&rig.d, rig.clock.now);
        }
        rig_advance(&rig, 1000);
        if (cases[i].kind == 's') {
            (void)rig_accept(&rig, 8, false);
            rig_commit(&rig, CW_OK);
        }
        if (cases[i].kind == 'x') {
            cw_agent_ops.stop(&rig.d, rig.worker,
                              &(struct cw_run_row){.job = 99, .run = 1});
        }
        c = cases[i].kind == 'r'   ? rig.report
            : cases[i].kind == 's' ? rig.starts[0]
                                   : rig.stops[0];
        assert_true(c.open);
        rig.report.open &= cases[i].kind != 'r';
        rig.starts[0].open &= cases[i].kind != 's';
        rig.stops[0].open &= cases[i].kind != 'x';
        if (cases[i].kind == 'r') {
            c.u.report(c.arg, CW_ERR_NOT_FOUND, NULL);
        }
        else if (cases[i].kind == 's') {
            c.u.start(c.arg, CW_OK, CW_START_OTHER_INCARNATION, 0);
        }
        else {
            c.u.order(c.arg, CW_ERR_NOT_FOUND);
        }
        t = cw_sched_find_task(rig.d.sched, &row);
        assert_int_equal(t->worker == NULL || t->run > row.run, cases[i].over);
        rig_finish(&rig);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_vm_of_an_unlisted_worker),
        cmocka_unit_test(test_421_from_another_address),
    };

    cw_logger_setup(CW_ERROR, stderr, NULL);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
