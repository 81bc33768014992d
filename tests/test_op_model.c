/* Guards VM operations against interleavings of two holders, lost and late
 * messages and outages. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "op_model.h"

#define SEEDS 150

static struct op_result
run_all(struct op_knobs k)
{
    struct op_result s = {0};
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        struct op_result r = op_model_run(seed, k);
        s.cut += r.cut;
        s.wrong_pool += r.wrong_pool;
        s.below += r.below;
        s.stray += r.stray;
        s.unended += r.unended;
        s.done += r.done;
        s.cancelled += r.cancelled;
    }
    return s;
}

static struct op_knobs
defaults(void)
{
    return (struct op_knobs){.fences = true,
                             .recheck = true,
                             .longest_delay = 10000,
                             .op = cw_op_defaults()};
}

/* No interleaving may cut a request, split a VM between pools, leave a VM
 * drained or an operation open, or take a VM that the pool needs. */
static void
test_fences_on(void **state)
{
    (void)state;
    struct op_result s = run_all(defaults());
    assert_int_equal(s.cut, 0);
    assert_int_equal(s.wrong_pool, 0);
    assert_int_equal(s.below, 0);
    assert_int_equal(s.stray, 0);
    assert_int_equal(s.unended, 0);
    /* The runs must have got somewhere. */
    assert_true(s.done > SEEDS && s.cancelled > SEEDS);
}

/* A platform that ignores fences may still not lead to a cut or to two pools.
 * A late drain call of a cancelled operation then takes a VM until the holder
 * repairs it, which is what the fence is needed for. */
static void
test_fences_off(void **state)
{
    (void)state;
    struct op_knobs k = defaults();
    k.fences = false;
    struct op_result s = run_all(k);
    assert_int_equal(s.cut, 0);
    assert_int_equal(s.wrong_pool, 0);
    assert_int_equal(s.stray, 0);
    assert_int_equal(s.unended, 0);
    assert_true(s.below > 0);
    k.longest_delay = 1;
    s = run_all(k);
    assert_int_equal(s.below, 0);
}

/* An append whose response was lost may land after another start was made in
 * its place. */
static void
test_without_recheck(void **state)
{
    (void)state;
    struct op_knobs k = defaults();
    k.recheck = false;
    assert_true(run_all(k).below > 0);
}

/* A request on its way is not in the VM's count yet. */
static void
test_without_members(void **state)
{
    (void)state;
    struct op_knobs k = defaults();
    k.op.check_members = false;
    assert_true(run_all(k).cut > 0);
}

/* A lapsed daemon's requests are in no member's count. */
static void
test_without_inflight(void **state)
{
    (void)state;
    struct op_knobs k = defaults();
    k.op.check_inflight = false;
    assert_true(run_all(k).cut > 0);
}

/* Cancelling after assigning leaves the log and pool control apart. */
static void
test_without_forward_only(void **state)
{
    (void)state;
    struct op_knobs k = defaults();
    k.op.forward_only = false;
    assert_true(run_all(k).wrong_pool > 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_fences_on),
        cmocka_unit_test(test_fences_off),
        cmocka_unit_test(test_without_recheck),
        cmocka_unit_test(test_without_members),
        cmocka_unit_test(test_without_inflight),
        cmocka_unit_test(test_without_forward_only),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
