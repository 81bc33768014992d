/* Compares the request policies with simpler ones under services that take
 * turns at their peak. Prints name=value lines; --seed N. */
#include "bench.h"
#include "request_sim.h"

#include <math.h>
#include <stdio.h>

/* Weights: buffer cost counts most for balloon, roll-out time for lanka. */
static const struct sim_deployment deployments[] = {
    {"balloon", 3, 1.0, 3.0, {0.6, 0.2, 0.2}},
    {"lanka", 4, 1.5, 1.0, {0.2, 0.6, 0.2}},
};

#define TARGET 0.99       /* availability that the budget is counted against */
#define BURST_VMS 40      /* a burst above the mean: 4 times a mean pool */
#define VM_OUT_S 180.0    /* drain, reboot and return of one VM */
#define MEAN_LOAD_VMS 7.0 /* VMs' worth of mean demand of a service */
#define HEADROOM 1.2
#define BALANCE_MS 500  /* difference of backlogs that is worth a hop */
#define SHORT_SHARE 0.5 /* of requests with a deadline of 2 s, else 10 s */

/* Time to maintain a pool when the VMs beyond those needed for the mean may be
 * out at once, at least 1. */
static double
rollout_s(int vms)
{
    int spare = vms - (int)ceil(MEAN_LOAD_VMS * HEADROOM);
    return ceil((double)vms / (spare > 1 ? spare : 1)) * VM_OUT_S;
}

/* Weighted measure, lower is better: idle slots and roll-out time, each as a
 * multiple of a pool at the mean that is always idle, or of its roll-out.
 * Moves are 0 here: no VM changes its pool within a burst. */
static double
measure(const struct sim_config *c, const struct sim_result *r)
{
    const struct sim_weights *w = &c->deployment->weights;
    double idle = (double)r->idle_samples / (double)r->slot_samples * c->vms /
                  SIM_MEAN_VMS;
    return w->buffer * idle +
           w->rollout * rollout_s(c->vms) / rollout_s(SIM_MEAN_VMS);
}

static void
print(const struct sim_config *c, const struct sim_result *r)
{
    char key[96];
    snprintf(key, sizeof(key), "request.%s.%s", c->deployment->name, c->name);
    double offered = (double)r->offered;
    double lost = (double)(r->refused + r->late) / offered;
    printf("%s.offered_per_s=%.0f\n", key, offered / r->seconds);
    printf("%s.goodput_share=%.4f\n", key, (double)r->good / offered);
    printf("%s.refused_share=%.4f\n", key, (double)r->refused / offered);
    printf("%s.late_share=%.4f\n", key, (double)r->late / offered);
    printf("%s.p50_ms=%.1f\n", key,
           (double)cw_hist_quantile(&r->latency_us, 0.5) / 1000);
    printf("%s.p99_ms=%.1f\n", key,
           (double)cw_hist_quantile(&r->latency_us, 0.99) / 1000);
    printf("%s.refusal_delay_p50_ms=%.1f\n", key,
           (double)cw_hist_quantile(&r->refuse_delay_us, 0.5) / 1000);
    printf("%s.overruns_per_endpoint=%.1f\n", key,
           (double)r->overruns / r->endpoints);
    printf("%s.forwarded_share=%.4f\n", key, (double)r->forwarded / offered);
    printf("%s.retried_share=%.4f\n", key, (double)r->retried / offered);
    printf("%s.idle_slot_share=%.4f\n", key,
           (double)r->idle_samples / (double)r->slot_samples);
    printf("%s.vms=%d\n", key, c->vms * SIM_SERVICES);
    printf("%s.budget_used=%.2f\n", key, lost / (1 - TARGET));
    printf("%s.rollout_s=%.0f\n", key, rollout_s(c->vms));
    printf("%s.weighted_measure=%.3f\n", key, measure(c, r));
}

static struct sim_config
chosen(const struct sim_deployment *d, uint64_t seed)
{
    return (struct sim_config){.name = "chosen",
                               .deployment = d,
                               .vms = SIM_MEAN_VMS,
                               .forward = true,
                               .short_share = SHORT_SHARE,
                               .seed = seed,
                               .admit = cw_admit_defaults(),
                               .route = cw_route_defaults(),
                               .retry = cw_retry_defaults()};
}

static void
run(struct sim_config c)
{
    static struct sim_result r;
    sim_run(&c, &r);
    print(&c, &r);
}

/* Pools without the admission rules: an unbounded queue, oldest first. */
static struct sim_config
plain(struct sim_config c, const char *name, int vms)
{
    c.name = name;
    c.vms = vms;
    c.admit.bound = 0;
    c.admit.early_refuse = false;
    c.admit.sweep = false;
    c.admit.order = CW_ORDER_OLDEST;
    return c;
}

enum change {
    BOUND_OFF,
    BOUND_64,
    EARLY_REFUSE_OFF,
    SWEEP_OFF,
    EARLY_REFUSE_AND_SWEEP_OFF,
    ADAPTIVE_LIFO,
    ADAPTIVE_LIFO_SWEEP_OFF,
    OLDEST_FIRST,
    FORWARD_OFF,
    FORWARD_QUEUED,
    FORWARD_BALANCED,
    TWO_CHOICES_OFF,
    LIMIT_OFF,
    CHANGES,
};

static const char *const change_names[CHANGES] = {
    "bound_off",
    "bound_64",
    "early_refuse_off",
    "sweep_off",
    "early_refuse_and_sweep_off",
    "adaptive_lifo",
    "adaptive_lifo_sweep_off",
    "oldest_first",
    "forward_off",
    "forward_queued",
    "forward_balanced",
    "two_choices_off",
    "limit_off",
};

static struct sim_config
changed(struct sim_config c, enum change what)
{
    c.name = change_names[what];
    if (what == BOUND_OFF || what == BOUND_64) {
        c.admit.bound = what == BOUND_64 ? 64 : 0;
    }
    c.admit.early_refuse =
        what != EARLY_REFUSE_OFF && what != EARLY_REFUSE_AND_SWEEP_OFF;
    c.admit.sweep = what != SWEEP_OFF && what != EARLY_REFUSE_AND_SWEEP_OFF &&
                    what != ADAPTIVE_LIFO_SWEEP_OFF;
    if (what == ADAPTIVE_LIFO || what == ADAPTIVE_LIFO_SWEEP_OFF) {
        c.admit.order = CW_ORDER_ADAPTIVE;
    }
    else if (what == OLDEST_FIRST) {
        c.admit.order = CW_ORDER_OLDEST;
    }
    c.forward = what != FORWARD_OFF;
    c.forward_queued = what == FORWARD_QUEUED || what == FORWARD_BALANCED;
    c.balance_ms = what == FORWARD_BALANCED ? BALANCE_MS : 0;
    c.route.two_choices = what != TWO_CHOICES_OFF;
    c.route.limit.enabled = what != LIMIT_OFF;
    return c;
}

static void
run_variants(const struct sim_deployment *d, uint64_t seed)
{
    struct sim_config base = chosen(d, seed);
    run(plain(base, "fixed_mean", SIM_MEAN_VMS));
    run(plain(base, "fixed_peak", 5 * SIM_MEAN_VMS));
    struct sim_config c = base;
    c.name = "independent_picks";
    c.independent = true;
    c.forward = false;
    run(c);
    c.name = "independent_picks_requeue";
    c.requeue = true;
    run(c);
    run(base);
    for (int i = 0; i < CHANGES; i++) {
        run(changed(base, (enum change)i));
    }
}

/* With pools at the peak there is a choice of endpoints, which a full pool
 * does not leave. */
static void
run_choices(const struct sim_deployment *d, uint64_t seed)
{
    struct sim_config c = chosen(d, seed);
    c.vms = 5 * SIM_MEAN_VMS;
    c.name = "peak_chosen";
    run(c);
    c.route.two_choices = false;
    c.name = "peak_two_choices_off";
    run(c);
    c = chosen(d, seed);
    c.vms = 5 * SIM_MEAN_VMS;
    c.route.limit.enabled = false;
    c.name = "peak_limit_off";
    run(c);
}

/* Spare VMs for k bursts, spread over the pools: a VM cannot change its pool
 * within the seconds of a burst. */
static void
run_spares(const struct sim_deployment *d, uint64_t seed)
{
    for (int k = 0; k <= 3; k++) {
        char name[16];
        struct sim_config c = chosen(d, seed);
        snprintf(name, sizeof(name), "spare_%d", k);
        c.name = name;
        c.vms = SIM_MEAN_VMS + k * BURST_VMS / SIM_SERVICES;
        run(c);
    }
}

int
main(int argc, char **argv)
{
    uint64_t seed = bench_seed(argc, argv);
    for (size_t i = 0; i < sizeof(deployments) / sizeof(deployments[0]); i++) {
        run_variants(&deployments[i], seed);
        run_choices(&deployments[i], seed);
        run_spares(&deployments[i], seed);
    }
    return 0;
}
