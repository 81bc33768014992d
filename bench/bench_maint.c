/* Measures maintenance and move decisions alone, on a simulated clock: the
 * roll-out of a wave, the moves of a day, the time of a decision, and the VMs
 * in maintenance per hour when each is due every two weeks. Prints name=value
 * lines. */
#include "bench_maint.h"

#include "bench.h"

/* ---- decision time at the design target ------------------------------ */

#define POOLS 46
#define POOL_VMS 89 /* 46 x 89 = 4,094 VMs */

static struct bench_pool fleet[POOLS];

static void
init_fleet(struct cw_rng *rng)
{
    for (size_t i = 0; i < POOLS; i++) {
        bench_pool_init(&fleet[i], POOL_VMS, 6, (uint32_t)i * 29);
        for (size_t v = 0; v < POOL_VMS; v++) {
            fleet[i].vms[v].maintained =
                BENCH_START - (cw_ms)cw_rng_below(rng, 14 * CW_DAY);
        }
    }
}

static void
bench_decision_time(struct cw_rng *rng)
{
    static struct cw_spare_pool pools[POOLS];
    static struct cw_budget budget;
    struct cw_wave_params wp = cw_wave_defaults();
    struct cw_spare_params sp = cw_spare_defaults();
    struct cw_op_params op = cw_op_defaults();
    struct cw_budget_params bp = cw_budget_defaults();
    const int ticks = 200;
    uint64_t sum = 0;
    init_fleet(rng);
    cw_budget_init(&budget, 0.999, 28 * CW_DAY);
    for (size_t i = 0; i < POOLS; i++) {
        pools[i] = (struct cw_spare_pool){.vms = POOL_VMS,
                                          .ready = POOL_VMS,
                                          .vms_min = 60,
                                          .vms_max = 120,
                                          .slots = 8,
                                          .spare = i == 0,
                                          .avg_2min = cw_rng_unit(rng) * 600,
                                          .avg_15min = cw_rng_unit(rng) * 600,
                                          .burst = 1000};
    }
    int64_t began = bench_now_us();
    for (int t = 0; t < ticks; t++) {
        for (size_t i = 0; i < POOLS; i++) {
            struct cw_budget_report r;
            struct cw_wave_in in = bench_wave_inputs(&fleet[i], BENCH_START);
            struct cw_wave_out out;
            cw_budget_evaluate(&budget, &bp, BENCH_START, &r);
            in.open = i % 2 == 0;
            cw_wave_decide(&fleet[i].wave, &wp, &in, &out);
            sum += out.count;
        }
        for (int i = 0; i < 20; i++) { /* open operations */
            struct cw_op_in in = {.confirmed = true,
                                  .log_available = true,
                                  .members = 9,
                                  .status = {.known = true}};
            struct cw_op_out out;
            cw_op_decide(&op, &in, &out);
            sum += out.fence;
        }
        struct cw_spare_out so;
        cw_spare_decide(&sp, POOLS, pools, &so);
        sum += so.count;
    }
    double us = (double)(bench_now_us() - began) / ticks;
    printf("maint_decision_us_per_tick=%.0f\n", us);
    printf("maint_decision_pools=%d\n", POOLS);
    printf("maint_decision_vms=%d\n", POOLS * POOL_VMS);
    /* Uses the sum, so that the compiler keeps the calls. */
    if (sum == UINT64_MAX) {
        printf("maint_unlikely=1\n");
    }
}

/* ---- VMs maintained per hour over 4 weeks ----------------------------- */

static void
bench_vms_per_hour(const char *name, bool spread, struct cw_rng *rng)
{
    struct cw_wave_params p = cw_wave_defaults();
    static uint32_t per_hour[28 * 24];
    cw_ms oldest = 0;
    memset(per_hour, 0, sizeof(per_hour));
    p.spread = spread;
    init_fleet(rng);
    /* All VMs were maintained at the same time, as after a first roll-out. */
    for (size_t i = 0; i < POOLS; i++) {
        for (size_t v = 0; v < POOL_VMS; v++) {
            fleet[i].vms[v].maintained = BENCH_START;
        }
    }
    for (int h = 0; h < 56 * 24; h++) {
        cw_ms now = BENCH_START + h * CW_HOUR;
        for (size_t i = 0; i < POOLS; i++) {
            bool due[POOL_VMS];
            struct cw_wave_in in = bench_wave_inputs(&fleet[i], now);
            cw_wave_due(&p, &in, due);
            for (size_t v = 0; v < POOL_VMS; v++) {
                cw_ms age = now - fleet[i].vms[v].maintained;
                oldest = age > oldest ? age : oldest;
                if (due[v]) {
                    fleet[i].vms[v].maintained = now;
                    per_hour[h % (28 * 24)] += h >= 28 * 24;
                }
            }
        }
    }
    uint32_t max = 0;
    uint64_t sum = 0;
    for (int h = 0; h < 28 * 24; h++) {
        sum += per_hour[h];
        max = per_hour[h] > max ? per_hour[h] : max;
    }
    printf("maint_hourly_vms_mean_%s=%.1f\n", name, (double)sum / (28 * 24));
    printf("maint_hourly_vms_max_%s=%u\n", name, max);
    printf("maint_oldest_days_%s=%.2f\n", name,
           (double)oldest / (double)CW_DAY);
}

int
main(int argc, char **argv)
{
    struct cw_rng rng;
    cw_rng_init(&rng, bench_seed(argc, argv));
    bench_waves(&rng);
    bench_moves(&rng);
    bench_decision_time(&rng);
    bench_vms_per_hour("even", true, &rng);
    bench_vms_per_hour("at_deadline", false, &rng);
    return 0;
}
