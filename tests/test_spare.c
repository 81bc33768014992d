/* Moves between pools follow trends over minutes but not bursts, never remove
 * a VM that a pool needs, and do not oscillate. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "cuminwalk.h"

#include <math.h>
#include <string.h>

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

/* Pool 0 is the pool under test, 1 has little demand, 2 is the spare pool. */
static void
setup(struct cw_spare_pool pools[3])
{
    static const char *const names[] = {"stock", "orders", "roster"};
    for (size_t i = 0; i < 3; i++) {
        pools[i] = (struct cw_spare_pool){
            .pool = cw_str_from(names[i]),
            .vms = 10,
            .ready = 10,
            .vms_min = 4,
            .vms_max = 14,
            .slots = 8,
            .spare = i == 2,
            .avg_2min = 20,
            .avg_15min = 20,
        };
    }
    pools[1].vms_min = 10;
}

static void
test_cases(void **state)
{
    (void)state;
    /* 10 VMs of 8 slots serve a demand of 66.7 with the headroom; a pool gets
     * a further VM when its demand is above 76.7. */
    static const struct {
        const char *name;
        double avg_2min;
        double avg_15min;
        uint32_t vms_min;
        uint32_t vms_max;
        uint32_t spare_ready;
        bool moving;
        uint32_t moves;
    } cases[] = {
        {"quiet", 50, 50, 4, 14, 10, false, 0},
        {"idle", 40, 40, 4, 14, 10, false, 1},
        {"idle for 2 min", 40, 50, 4, 14, 10, false, 0},
        {"idle at vms_min", 40, 40, 10, 14, 10, false, 0},
        {"morning trend", 85, 75, 4, 14, 10, false, 1},
        {"just below", 76, 76, 4, 14, 10, false, 0},
        {"one burst of 30 s", 120, 55, 4, 14, 10, false, 0},
        {"trend that has ended", 30, 90, 4, 14, 10, false, 0},
        {"at vms_max", 85, 80, 4, 10, 10, false, 0},
        {"below vms_min", 50, 50, 11, 14, 10, false, 1},
        {"move open", 85, 80, 4, 14, 10, true, 0},
        {"spare pool has none", 85, 80, 4, 14, 4, false, 0},
        {"above vms_max", 50, 50, 4, 9, 10, false, 1},
    };
    struct cw_spare_params p = cw_spare_defaults();
    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_spare_pool pools[3];
        struct cw_spare_out out;
        setup(pools);
        pools[0].avg_2min = cases[i].avg_2min;
        pools[0].avg_15min = cases[i].avg_15min;
        pools[0].vms_min = cases[i].vms_min;
        pools[0].vms_max = cases[i].vms_max;
        pools[0].moving = cases[i].moving;
        pools[2].ready = cases[i].spare_ready;
        cw_spare_decide(&p, 3, pools, &out);
        if (out.count != cases[i].moves) {
            fail_msg("case %s: %zu moves", cases[i].name, out.count);
        }
    }
}

/* With a rule switched off, the move that it prevents happens. */
static void
test_rules_off(void **state)
{
    (void)state;
    struct cw_spare_pool pools[3];
    struct cw_spare_out out;
    struct cw_spare_params p = cw_spare_defaults();
    setup(pools);
    pools[0].avg_2min = 120; /* a burst of 30 s in 15 min of low demand */
    pools[0].avg_15min = 55;
    pools[0].demand_now = 400;
    p.use_trend = false;
    cw_spare_decide(&p, 3, pools, &out);
    assert_int_equal(out.count, 1);
    p = cw_spare_defaults();
    /* About the demand that the pool can serve. */
    pools[0].avg_2min = pools[0].avg_15min = 68;
    cw_spare_decide(&p, 3, pools, &out);
    assert_int_equal(out.count, 0);
    p.hysteresis = false;
    p.check_payoff = false;
    cw_spare_decide(&p, 3, pools, &out);
    assert_int_equal(out.count, 1);
    p = cw_spare_defaults();
    pools[0].avg_2min = pools[0].avg_15min = 200;
    pools[0].moving = true;
    p.one_per_pool = false;
    cw_spare_decide(&p, 3, pools, &out);
    assert_true(out.count > 0);
    p.enabled = false;
    cw_spare_decide(&p, 3, pools, &out);
    assert_int_equal(out.count, 0);
}

/* The reserve for k bursts stays in the spare pool unless the shortage has
 * lasted for the long average. */
static void
test_reserve(void **state)
{
    (void)state;
    struct cw_spare_pool pools[3];
    struct cw_spare_out out;
    struct cw_spare_params p = cw_spare_defaults();
    setup(pools);
    pools[0].burst = 800; /* bounded by a quarter of the pool: 3 VMs */
    pools[1].burst = 90;  /* 10 slots above the pool: 2 VMs */
    static const uint32_t reserves[] = {0, 3, 5, 5};
    for (uint32_t k = 0; k < COUNT(reserves); k++) {
        p.bursts = k;
        assert_int_equal(cw_spare_reserve(&p, 3, pools), reserves[k]);
    }
    p.bursts = 1;
    pools[0].avg_2min = 85;
    pools[0].avg_15min = 75;
    pools[2].ready = 7; /* 3 more than it needs */
    cw_spare_decide(&p, 3, pools, &out);
    assert_int_equal(out.count, 0);
    pools[0].avg_15min = 80;
    cw_spare_decide(&p, 3, pools, &out);
    assert_int_equal(out.count, 1);
    assert_int_equal(out.moves[0].from, 2);
}

/* Random pools: no plan removes a VM that its pool needs or violates vms_min
 * or vms_max, and no pool is in two moves. */
static void
test_bounds(void **state)
{
    (void)state;
    struct cw_spare_params p = cw_spare_defaults();
    struct cw_rng rng;
    cw_rng_init(&rng, 1);
    for (int run = 0; run < 20000; run++) {
        struct cw_spare_pool s[8];
        struct cw_spare_out out;
        uint32_t uses[8] = {0};
        memset(s, 0, sizeof(s));
        for (size_t i = 0; i < COUNT(s); i++) {
            s[i].vms = (uint32_t)cw_rng_below(&rng, 20);
            s[i].ready = (uint32_t)cw_rng_below(&rng, s[i].vms + 1);
            s[i].vms_min = (uint32_t)cw_rng_below(&rng, 12);
            s[i].vms_max = s[i].vms_min + (uint32_t)cw_rng_below(&rng, 10);
            s[i].slots = 8;
            s[i].spare = i == 7;
            s[i].moving = cw_rng_below(&rng, 5) == 0;
            s[i].avg_2min = cw_rng_unit(&rng) * 160;
            s[i].avg_15min = cw_rng_unit(&rng) * 160;
            s[i].burst = cw_rng_unit(&rng) * 200;
        }
        cw_spare_decide(&p, COUNT(s), s, &out);
        for (size_t i = 0; i < out.count; i++) {
            const struct cw_spare_pool *from = &s[out.moves[i].from];
            const struct cw_spare_pool *to = &s[out.moves[i].to];
            double demand = fmax(from->avg_2min, from->avg_15min);
            uses[out.moves[i].from]++;
            uses[out.moves[i].to]++;
            assert_true(from->vms > from->vms_min && to->vms < to->vms_max);
            assert_true((from->ready - 1) * 8 >= demand * 1.2 - 1e-6);
            assert_true(!from->moving && !to->moving);
        }
        for (size_t i = 0; i < COUNT(s); i++) {
            assert_true(uses[i] <= 1);
        }
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_cases),
        cmocka_unit_test(test_rules_off),
        cmocka_unit_test(test_reserve),
        cmocka_unit_test(test_bounds),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
