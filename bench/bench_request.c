/* Compares the request policies with simpler ones while services peak in turn.
 * Prints name=value lines; takes --seed N. */
#include "bench.h"
#include "request_sim.h"

#include <math.h>
#include <stdio.h>

/* For balloon the buffer cost has the highest weight, for lanka the roll-out
 * time. */
static const struct sim_deployment deployments[] = {
    {"balloon", 3, 1.0, 3.0, {0.6, 0.2, 0.2}},
    {"lanka", 4, 1.5, 1.0, {0.2, 0.6, 0.2}},
};

/* The budget for refused and late requests is 1 minus this. */
#define AVAILABILITY_TARGET 0.99
/* VMs for the demand of a burst above the mean: 4 pools of mean size. */
#define BURST_VMS 40
#define VM_MAINTENANCE_S 180.0 /* drain, reboot and return of one VM */
#define MEAN_LOAD_VMS 7.0 /* VMs that a service's mean demand keeps busy */
#define HEADROOM_FACTOR 1.2
#define BALANCE_MIN_MS 500 /* difference of backlogs that is worth a hop */
/* Share of requests with a deadline of 2 s; the others have 10 s. */
#define SHORT_DEADLINE_SHARE 0.5

/* Time to maintain a pool when all VMs beyond those needed for the mean, but
 * at least 1, are out of service at once. */
static double
rollout_s(int vms)
{
    int spare = vms - (int)ceil(MEAN_LOAD_VMS * HEADROOM_FACTOR);
    return ceil((double)vms / (spare > 1 ? spare : 1)) * VM_MAINTENANCE_S;
}

/* The lower the better: the weighted sum of idle slots, relative to the slots
 * of a pool sized for the mean, and roll-out time, relative to that pool's.
 * Moves are 0 here, because no VM changes its pool within a burst. */
static double
weighted_measure(const struct sim_config *c, const struct sim_result *r)
{
    const struct sim_weights *w = &c->deployment->weights;
    double idle = (double)r->idle_samples / (double)r->slot_samples * c->vms /
                  SIM_MEAN_VMS;
    return w->buffer * idle +
           w->rollout * rollout_s(c->vms) / rollout_s(SIM_MEAN_VMS);
}

static void
print_result(const struct sim_config *c, const struct sim_result *r)
{
    char key[96];
    snprintf(key, sizeof(key), "request.%s.%s", c->deployment->name, c->name);
    double offered = (double)r->offered;
    double lost = (double)(r->refused + r->late) / offered;
    printf("%s.offered_per_s=%.0f\n", key, offered / r->seconds);
    printf("%s.goodput_share=%.4f\n", key, (double)r->in_time / offered);
    printf("%s.refused_share=%.4f\n", key, (double)r->refused / offered);
    printf("%s.late_share=%.4f\n", key, (double)r->late / offered);
    printf("%s.p50_ms=%.1f\n", key,
           (double)cw_hist_quantile(&r->latency_us, 0.5) / 1000);
    printf("%s.p99_ms=%.1f\n", key,
           (double)cw_hist_quantile(&r->latency_us, 0.99) / 1000);
    printf("%s.refusal_delay_p50_ms=%.1f\n", key,
           (double)cw_hist_quantile(&r->refusal_delay_us, 0.5) / 1000);
    printf("%s.overruns_per_endpoint=%.1f\n", key,
           (double)r->overruns / r->endpoints);
    printf("%s.forwarded_share=%.4f\n", key, (double)r->forwarded / offered);
    printf("%s.retried_share=%.4f\n", key, (double)r->retried / offered);
    printf("%s.idle_slot_share=%.4f\n", key,
           (double)r->idle_samples / (double)r->slot_samples);
    printf("%s.vms=%d\n", key, c->vms * SIM_SERVICES);
    printf("%s.budget_used=%.2f\n", key, lost / (1 - AVAILABILITY_TARGET));
    printf("%s.rollout_s=%.0f\n", key, rollout_s(c->vms));
    printf("%s.weighted_measure=%.3f\n", key, weighted_measure(c, r));
}

static struct sim_config
default_config(const struct sim_deployment *d, uint64_t seed)
{
    return (struct sim_config){.name = "chosen",
                               .deployment = d,
                               .vms = SIM_MEAN_VMS,
                               .forward_on_arrival = true,
                               .short_deadline_share = SHORT_DEADLINE_SHARE,
                               .seed = seed,
                               .admit = cw_admit_defaults(),
                               .route = cw_route_defaults(),
                               .retry = cw_retry_defaults()};
}

static void
run_config(struct sim_config c)
{
    static struct sim_result r;
    sim_run(&c, &r);
    print_result(&c, &r);
}

/* The configuration without admission rules: an unbounded queue, oldest
 * first. */
static struct sim_config
without_admission_rules(struct sim_config c, const char *name, int vms)
{
    c.name = name;
    c.vms = vms;
    c.admit.bound = 0;
    c.admit.early_refuse = false;
    c.admit.sweep = false;
    c.admit.order = CW_ORDER_OLDEST;
    return c;
}

enum variant {
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
    VARIANTS,
};

static const char *const variant_names[VARIANTS] = {
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
variant_config(struct sim_config c, enum variant v)
{
    c.name = variant_names[v];
    if (v == BOUND_OFF || v == BOUND_64) {
        c.admit.bound = v == BOUND_64 ? 64 : 0;
    }
    c.admit.early_refuse =
        v != EARLY_REFUSE_OFF && v != EARLY_REFUSE_AND_SWEEP_OFF;
    c.admit.sweep = v != SWEEP_OFF && v != EARLY_REFUSE_AND_SWEEP_OFF &&
                    v != ADAPTIVE_LIFO_SWEEP_OFF;
    if (v == ADAPTIVE_LIFO || v == ADAPTIVE_LIFO_SWEEP_OFF) {
        c.admit.order = CW_ORDER_ADAPTIVE;
    }
    else if (v == OLDEST_FIRST) {
        c.admit.order = CW_ORDER_OLDEST;
    }
    c.forward_on_arrival = v != FORWARD_OFF;
    c.forward_queued = v == FORWARD_QUEUED || v == FORWARD_BALANCED;
    c.balance_min_ms = v == FORWARD_BALANCED ? BALANCE_MIN_MS : 0;
    c.route.two_choices = v != TWO_CHOICES_OFF;
    c.route.limit.enabled = v != LIMIT_OFF;
    return c;
}

static void
run_variants(const struct sim_deployment *d, uint64_t seed)
{
    struct sim_config base = default_config(d, seed);
    run_config(without_admission_rules(base, "fixed_mean", SIM_MEAN_VMS));
    run_config(without_admission_rules(base, "fixed_peak", 5 * SIM_MEAN_VMS));
    struct sim_config c = base;
    c.name = "independent_picks";
    c.independent_picks = true;
    c.forward_on_arrival = false;
    run_config(c);
    c.name = "independent_picks_requeue";
    c.requeue_refused = true;
    run_config(c);
    run_config(base);
    for (int i = 0; i < VARIANTS; i++) {
        run_config(variant_config(base, (enum variant)i));
    }
}

/* Pools sized for the peak, where several endpoints have free slots to choose
 * from; in a full pool there is no choice. */
static void
run_peak_pools(const struct sim_deployment *d, uint64_t seed)
{
    struct sim_config c = default_config(d, seed);
    c.vms = 5 * SIM_MEAN_VMS;
    c.name = "peak_chosen";
    run_config(c);
    c.route.two_choices = false;
    c.name = "peak_two_choices_off";
    run_config(c);
    c = default_config(d, seed);
    c.vms = 5 * SIM_MEAN_VMS;
    c.route.limit.enabled = false;
    c.name = "peak_limit_off";
    run_config(c);
}

/* Spare VMs for k bursts, spread over all pools in advance, because a VM
 * cannot change its pool within the few seconds of a burst. */
static void
run_spares(const struct sim_deployment *d, uint64_t seed)
{
    for (int k = 0; k <= 3; k++) {
        char name[16];
        struct sim_config c = default_config(d, seed);
        snprintf(name, sizeof(name), "spare_%d", k);
        c.name = name;
        c.vms = SIM_MEAN_VMS + k * BURST_VMS / SIM_SERVICES;
        run_config(c);
    }
}

int
main(int argc, char **argv)
{
    uint64_t seed = bench_seed(argc, argv);
    for (size_t i = 0; i < sizeof(deployments) / sizeof(deployments[0]); i++) {
        run_variants(&deployments[i], seed);
        run_peak_pools(&deployments[i], seed);
        run_spares(&deployments[i], seed);
    }
    return 0;
}
