/* Maintenance waves: which VMs are due, which form a batch, and when a wave
 * opens, holds, resumes and closes. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "cuminwalk.h"

#include <string.h>

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define T0 (1000 * CW_DAY)
#define MAINTAIN_EVERY_MS (14 * CW_DAY)
#define VM_COUNT 12

/* 12 VMs: 3 data centres of 2 racks with 2 VMs each. All are overdue, and VM 0
 * has been without maintenance the longest. */
struct fixture {
    struct cw_wave_vm vms[VM_COUNT];
    struct cw_wave_op ops[VM_COUNT];
    struct cw_wave_in in;
    struct cw_wave wave;
    struct cw_wave_params params;
    struct cw_wave_out out;
};

static const char *const names[VM_COUNT] = {
    "v0", "v1", "v2", "v3", "v4", "v5", "v6", "v7", "v8", "v9", "v10", "v11"};
static const char *const dcs[] = {"d0", "d1", "d2"};
static const char *const racks[] = {"r0", "r1", "r2", "r3", "r4", "r5"};

static void
setup(struct fixture *w)
{
    memset(w, 0, sizeof(*w));
    w->params = cw_wave_defaults();
    for (size_t i = 0; i < VM_COUNT; i++) {
        w->vms[i] = (struct cw_wave_vm){
            .vm = cw_str_from(names[i]),
            .dc = cw_str_from(dcs[i / 4]),
            .rack = cw_str_from(racks[i / 2]),
            .maintained = T0 - 2 * MAINTAIN_EVERY_MS + (cw_ms)i,
            .ready = true,
        };
    }
    w->in = (struct cw_wave_in){
        .wall = T0,
        .log_available = true,
        .window_open = true,
        .maintain_every_ms = MAINTAIN_EVERY_MS,
        .vm_count = VM_COUNT,
        .vms = w->vms,
        .open = true,
        .changed = T0 - 1000,
        .ops = w->ops,
        .needed = 8,
        .budget_limit = UINT32_MAX,
    };
    w->wave.healthy_since = T0 - CW_MINUTE;
}

static enum cw_wave_decision
decide(struct fixture *w)
{
    cw_wave_decide(&w->wave, &w->params, &w->in, &w->out);
    return w->out.decision;
}

static void
add_op(struct fixture *w, size_t vm, uint64_t first, uint64_t last,
       enum cw_op_step step)
{
    w->ops[w->in.op_count++] = (struct cw_wave_op){
        .first_offset = first,
        .last_offset = last,
        .step = step,
        .ended = cw_op_ended(step) ? T0 : 0,
        .vm = w->vms[vm].vm,
    };
}

/* Conditions that open, hold and close a wave or make it wait. */
static void
test_records(void **state)
{
    (void)state;
    static const struct {
        const char *name;
        bool open;
        bool log;
        bool window;
        bool due;
        uint32_t needed;
        bool burning;
        bool exhausted;
        enum cw_wave_decision decision;
        enum cw_wave_action action;
    } cases[] = {
        {"open", false, true, true, true, 8, false, false, CW_WAVE_RECORD,
         CW_WAVE_OPEN},
        {"log unavailable", false, false, true, true, 8, false, false,
         CW_WAVE_WAIT, 0},
        {"not in window", false, true, false, true, 8, false, false,
         CW_WAVE_WAIT, 0},
        {"none due", false, true, true, false, 8, false, false, CW_WAVE_WAIT,
         0},
        {"no budget", false, true, true, true, 8, false, true, CW_WAVE_WAIT,
         0},
        {"burning", false, true, true, true, 8, true, false, CW_WAVE_WAIT, 0},
        {"start", true, true, true, true, 8, false, false, CW_WAVE_START, 0},
        {"log unavailable in wave", true, false, true, true, 8, false, false,
         CW_WAVE_WAIT, 0},
        {"no VM can be spared", true, true, true, true, 12, false, false,
         CW_WAVE_WAIT, 0},
        {"too few ready", true, true, true, true, 13, false, false,
         CW_WAVE_RECORD, CW_WAVE_HOLD},
        {"burning in wave", true, true, true, true, 8, true, false,
         CW_WAVE_RECORD, CW_WAVE_HOLD},
        {"window over", true, true, false, true, 8, false, false,
         CW_WAVE_RECORD, CW_WAVE_CLOSE},
        {"all done", true, true, true, false, 8, false, false, CW_WAVE_RECORD,
         CW_WAVE_CLOSE},
    };
    for (size_t i = 0; i < COUNT(cases); i++) {
        struct fixture w;
        setup(&w);
        w.in.open = cases[i].open;
        w.in.log_available = cases[i].log;
        w.in.window_open = cases[i].window;
        w.in.needed = cases[i].needed;
        w.in.burning = cases[i].burning;
        w.in.exhausted = cases[i].exhausted;
        for (size_t v = 0; v < VM_COUNT && !cases[i].due; v++) {
            w.vms[v].maintained = T0 - CW_DAY;
        }
        decide(&w);
        if (w.out.decision != cases[i].decision ||
            w.out.action != cases[i].action) {
            fail_msg("case %s: %d %d %s", cases[i].name, w.out.decision,
                     w.out.action, w.out.reason);
        }
    }
}

/* A batch stays in one failure domain if it fits, begins with the longest
 * unmaintained VM, and obeys each limit. With the rule switched off it
 * includes other domains or exceeds the limit. */
static void
test_batch(void **state)
{
    (void)state;
    struct fixture w;
    setup(&w);
    assert_int_equal(decide(&w), CW_WAVE_START);
    assert_int_equal(w.out.count, 2);
    assert_int_equal(w.out.picks[0] + w.out.picks[1], 0 + 1);
    /* VM 0's rack has one due VM left; rack r1 can fill the batch. */
    w.vms[1].in_wave = true;
    decide(&w);
    assert_int_equal(w.out.picks[0] + w.out.picks[1], 2 + 3);
    w.params.one_rack = false;
    decide(&w);
    assert_int_equal(w.out.picks[0] + w.out.picks[1], 0 + 2);
    w.params.one_rack = true;
    w.vms[2].ready = w.vms[3].busy = false;
    w.vms[2].busy = w.vms[3].in_wave = true;
    decide(&w);
    assert_int_equal(w.out.count, 1); /* only VM 0 is left in d0 */
    w.params.one_dc = false;
    decide(&w);
    assert_int_equal(w.out.count, 2);
    setup(&w);
    /* A data centre keeps half of its VMs. */
    w.params.first_limit = 4;
    decide(&w);
    assert_int_equal(w.out.count, 2);
    w.params.dc_share = 1;
    decide(&w);
    assert_int_equal(w.out.count, 4);
    setup(&w);
    w.in.budget_limit = 1;
    decide(&w);
    assert_int_equal(w.out.count, 1);
    w.in.budget_limit = 0;
    assert_int_equal(decide(&w), CW_WAVE_WAIT);
    w.params.check_budget = false;
    assert_int_equal(decide(&w), CW_WAVE_START);
    w.in.needed = 12;
    assert_int_equal(decide(&w), CW_WAVE_WAIT);
    w.params.check_capacity = false;
    assert_int_equal(decide(&w), CW_WAVE_START);
}

/* The limit depends on the log alone, so that a new holder continues with the
 * same one. */
static void
test_limit(void **state)
{
    (void)state;
    struct fixture w;
    setup(&w);
    assert_int_equal(cw_wave_limit(&w.params, VM_COUNT, 0, w.ops), 2);
    add_op(&w, 0, 10, 30, CW_STEP_DONE);
    add_op(&w, 1, 11, 31, CW_STEP_DONE);
    assert_int_equal(cw_wave_limit(&w.params, VM_COUNT, w.in.op_count, w.ops),
                     3);
    add_op(&w, 2, 40, 60, CW_STEP_DONE);
    add_op(&w, 3, 41, 50, CW_STEP_CANCELLED);
    assert_int_equal(cw_wave_limit(&w.params, VM_COUNT, w.in.op_count, w.ops),
                     4);
    add_op(&w, 4, 70, 90, CW_STEP_FAILED);
    add_op(&w, 5, 71, 75, CW_STEP_FAILED);
    assert_int_equal(cw_wave_limit(&w.params, VM_COUNT, w.in.op_count, w.ops),
                     2);
    add_op(&w, 6, 100, 101, CW_STEP_DRAINED);
    assert_int_equal(cw_wave_limit(&w.params, VM_COUNT, w.in.op_count, w.ops),
                     2);
    /* A large pool begins with a share of its VMs. */
    assert_int_equal(cw_wave_limit(&w.params, 100, 0, w.ops), 10);
    assert_int_equal(decide(&w), CW_WAVE_RECORD); /* hold for the failures */
    w.in.changed = T0 + 1;
    assert_int_equal(decide(&w), CW_WAVE_WAIT); /* batch in progress */
}

/* When a rack is lost during a wave, the wave holds, resumes only after 30 s
 * of uninterrupted health with half the batch, and does not hold again for the
 * same failures. With hold off it continues at once. */
static void
test_correlated_failure(void **state)
{
    (void)state;
    struct fixture w;
    setup(&w);
    w.params.first_limit = 4;
    w.params.dc_share = 1;
    add_op(&w, 0, 10, 30, CW_STEP_FAILED);
    add_op(&w, 1, 11, 31, CW_STEP_FAILED);
    w.vms[0].ready = w.vms[1].ready = false;
    w.vms[0].in_wave = w.vms[1].in_wave = true;
    w.params.hold = false;
    assert_int_equal(decide(&w), CW_WAVE_START);
    w.params.hold = true;
    assert_int_equal(decide(&w), CW_WAVE_RECORD);
    assert_int_equal(w.out.action, CW_WAVE_HOLD);
    assert_string_equal(w.out.reason, "VM v0 did not return");
    w.in.held = true;
    w.in.changed = T0;
    assert_int_equal(decide(&w), CW_WAVE_WAIT);
    /* A VM that fails during the hold must not extend it for ever. */
    add_op(&w, 2, 12, 33, CW_STEP_FAILED);
    w.ops[2].ended = T0 + 1000;
    w.in.wall = T0 + 29 * CW_SECOND;
    w.in.needed = 11; /* interrupts the healthy period */
    assert_int_equal(decide(&w), CW_WAVE_WAIT);
    w.in.needed = 8;
    w.in.wall = T0 + 35 * CW_SECOND;
    assert_int_equal(decide(&w), CW_WAVE_WAIT);
    w.in.wall = T0 + 65 * CW_SECOND;
    assert_int_equal(decide(&w), CW_WAVE_RECORD);
    assert_int_equal(w.out.action, CW_WAVE_RESUME);
    w.in.held = false;
    w.in.changed = w.in.wall;
    assert_int_equal(decide(&w), CW_WAVE_START);
    assert_int_equal(w.out.count, 2);
}

/* A held wave of another pool, and racks in which VMs of another pool are out
 * of service. */
static void
test_other_pools(void **state)
{
    (void)state;
    struct fixture w;
    setup(&w);
    struct cw_wave_hold hold = {CW_LIT("d1"), CW_LIT("r3"), T0 - 1000};
    w.in.holds = &hold;
    w.in.hold_count = 1;
    decide(&w);
    /* In d1, but not in the rack of the hold. */
    assert_int_equal(w.out.picks[0], 4);
    assert_int_equal(w.out.picks[1], 5);
    hold.dc = CW_LIT("d9");
    assert_int_equal(decide(&w), CW_WAVE_WAIT);
    /* One broken pool must not block the fleet. */
    hold.since = T0 - 2 * CW_HOUR;
    assert_int_equal(decide(&w), CW_WAVE_START);
    hold.since = T0;
    w.params.wait_for_others = false;
    assert_int_equal(decide(&w), CW_WAVE_START);
    w.in.hold_count = 0;
    static const struct cw_str busy[] = {{"r0", 2}, {"r1", 2}};
    w.in.busy_racks = busy;
    w.in.busy_rack_count = COUNT(busy);
    assert_int_equal(decide(&w), CW_WAVE_START);
    assert_int_equal(w.out.picks[0], 4);
    w.params.avoid_shared_rack = false;
    decide(&w);
    assert_int_equal(w.out.picks[0], 0);
}

/* Each VM must be maintained within the interval of two weeks but not twice
 * within half of it, and the maintenance must be spread over time. Without
 * spread all VMs are due at once. */
static void
test_spread(void **state)
{
    (void)state;
    for (int spread = 0; spread < 2; spread++) {
        struct fixture w;
        setup(&w);
        w.params.spread = spread;
        for (size_t v = 0; v < VM_COUNT; v++) {
            w.vms[v].maintained = T0;
        }
        uint32_t max_per_day = 0;
        for (cw_ms t = T0; t < T0 + 4 * MAINTAIN_EVERY_MS; t += CW_HOUR) {
            bool due[VM_COUNT];
            uint32_t in_last_day = 0;
            w.in.wall = t;
            cw_wave_due(&w.params, &w.in, due);
            for (size_t v = 0; v < VM_COUNT; v++) {
                assert_true(t - w.vms[v].maintained <= MAINTAIN_EVERY_MS);
                if (due[v]) {
                    assert_true(t - w.vms[v].maintained >=
                                MAINTAIN_EVERY_MS / 2);
                    w.vms[v].maintained = t;
                }
                in_last_day += t - w.vms[v].maintained < CW_DAY;
            }
            max_per_day = t > T0 + CW_DAY && in_last_day > max_per_day
                              ? in_last_day
                              : max_per_day;
        }
        assert_true(spread ? max_per_day <= 4 : max_per_day == VM_COUNT);
    }
}

/* A VM that could not be drained must not be tried again at once, or waves
 * would open and close for it all day. */
static void
test_retry(void **state)
{
    (void)state;
    struct fixture w;
    setup(&w);
    w.in.vm_count = 1;
    w.in.needed = 0;
    w.vms[0].failed_at = T0 - 10 * CW_MINUTE;
    decide(&w);
    assert_int_equal(w.out.action, CW_WAVE_CLOSE);
    w.vms[0].failed_at = T0 - 2 * CW_HOUR;
    assert_int_equal(decide(&w), CW_WAVE_START);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_records),
        cmocka_unit_test(test_batch),
        cmocka_unit_test(test_limit),
        cmocka_unit_test(test_correlated_failure),
        cmocka_unit_test(test_other_pools),
        cmocka_unit_test(test_spread),
        cmocka_unit_test(test_retry),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
