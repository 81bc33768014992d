/* VM operations under random interleavings of two holders, lost and delayed
 * messages, freezes and outages. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "op_model.h"

#define SEEDS 150

static struct op_result
run_all_seeds(struct op_model_options k)
{
    struct op_result s = {0};
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        struct op_result r = op_model_run(seed, k);
        s.interrupted += r.interrupted;
        s.pool_mismatches += r.pool_mismatches;
        s.below_needed += r.below_needed;
        s.out_of_service += r.out_of_service;
        s.open_ops += r.open_ops;
        s.done += r.done;
        s.cancelled += r.cancelled;
    }
    return s;
}

static struct op_model_options
defaults(void)
{
    return (struct op_model_options){.fences = true,
                                     .recheck = true,
                                     .max_delay_ms = 10000,
                                     .op = cw_op_defaults()};
}

/* No interleaving may interrupt a request, leave a VM in different pools in
 * the log and at pool control, leave a VM out of service or an operation open,
 * or leave a pool with fewer VMs than it needs. */
static void
test_fences_on(void **state)
{
    (void)state;
    struct op_result s = run_all_seeds(defaults());
    assert_int_equal(s.interrupted, 0);
    assert_int_equal(s.pool_mismatches, 0);
    assert_int_equal(s.below_needed, 0);
    assert_int_equal(s.out_of_service, 0);
    assert_int_equal(s.open_ops, 0);
    /* The runs must have made progress. */
    assert_true(s.done > SEEDS && s.cancelled > SEEDS);
}

/* Even a platform that ignores fences must not lead to interrupted requests or
 * different pools. But a delayed drain call of a cancelled operation then
 * takes a VM out of service until the holder repairs it; the fence prevents
 * that. */
static void
test_fences_off(void **state)
{
    (void)state;
    struct op_model_options k = defaults();
    k.fences = false;
    struct op_result s = run_all_seeds(k);
    assert_int_equal(s.interrupted, 0);
    assert_int_equal(s.pool_mismatches, 0);
    assert_int_equal(s.out_of_service, 0);
    assert_int_equal(s.open_ops, 0);
    assert_true(s.below_needed > 0);
    k.max_delay_ms = 1;
    s = run_all_seeds(k);
    assert_int_equal(s.below_needed, 0);
}

/* An append whose response was lost may reach the log after another operation
 * was started in its place. */
static void
test_without_recheck(void **state)
{
    (void)state;
    struct op_model_options k = defaults();
    k.recheck = false;
    assert_true(run_all_seeds(k).below_needed > 0);
}

/* A request that has not arrived at the VM is not in its count yet. */
static void
test_without_members(void **state)
{
    (void)state;
    struct op_model_options k = defaults();
    k.op.check_members = false;
    assert_true(run_all_seeds(k).interrupted > 0);
}

/* The requests of a daemon whose membership lapsed are in no member's count.
 */
static void
test_without_inflight(void **state)
{
    (void)state;
    struct op_model_options k = defaults();
    k.op.check_inflight = false;
    assert_true(run_all_seeds(k).interrupted > 0);
}

/* An operation cancelled after assigning leaves a VM in different pools in the
 * log and at pool control. */
static void
test_without_forward_only(void **state)
{
    (void)state;
    struct op_model_options k = defaults();
    k.op.forward_only = false;
    assert_true(run_all_seeds(k).pool_mismatches > 0);
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
