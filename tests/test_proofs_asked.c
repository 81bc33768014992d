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

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_evacuation_awaits_former_stops,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(test_full_list_of_ends, setup,
                                        teardown),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
