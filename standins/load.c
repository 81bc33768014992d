/* Arrivals of requests at the load client, and its report. */
#include "load.h"

#include <inttypes.h>
#include <stdlib.h>

/* With --turns, the service whose turn it is gets 5 times its rate, the others
 * get 1/20 of theirs. */
#define TURN_RATE_FACTOR 5.0
#define REST_RATE_FACTOR 0.05

static double
elapsed_s(const struct load *l)
{
    return (double)(uv_now(l->loop) - l->started) / 1000.0;
}

static bool
is_past_duration(const struct load *l)
{
    return elapsed_s(l) >= l->seconds;
}

static double
current_rate(const struct load_service *s)
{
    const struct load *l = s->load;
    if (l->turn_s <= 0) {
        return s->rate;
    }
    uint64_t turn = (uint64_t)(elapsed_s(l) / l->turn_s) % l->service_count;
    return s->rate * (turn == s->index ? TURN_RATE_FACTOR : REST_RATE_FACTOR);
}

/* Arrivals are drawn for steps of this length, so that a change of the rate
 * takes effect at once. */
#define ARRIVAL_STEP_MS 5

static void
on_arrival_step(uv_timer_t *t)
{
    struct load_service *s = t->data;
    struct load *l = s->load;
    if (is_past_duration(l)) {
        uv_timer_stop(t);
        if (l->in_flight == 0) {
            load_finish(l);
        }
        return;
    }
    /* Exponential gaps between the arrivals of a step give a Poisson
     * process. */
    double mean = current_rate(s) * ARRIVAL_STEP_MS / 1000.0;
    double arrival = cw_rng_exp(&l->rng, 1.0);
    while (arrival < mean) {
        load_send_request(s);
        arrival += cw_rng_exp(&l->rng, 1.0);
    }
}

void
load_request_ended(struct load_service *s)
{
    struct load *l = s->load;
    if (!is_past_duration(l)) {
        if (l->closed_callers > 0) {
            load_send_request(s);
        }
    }
    else if (l->in_flight == 0) {
        load_finish(l);
    }
}

void
load_start(struct load *l)
{
    uv_update_time(l->loop);
    l->started = uv_now(l->loop);
    for (size_t i = 0; i < l->service_count; i++) {
        struct load_service *s = &l->services[i];
        uv_timer_init(l->loop, &s->timer);
        s->timer.data = s;
        if (l->closed_callers == 0) {
            uv_timer_start(&s->timer, on_arrival_step, ARRIVAL_STEP_MS,
                           ARRIVAL_STEP_MS);
        }
        for (int n = 0; n < l->closed_callers; n++) {
            load_send_request(s);
        }
    }
}

static void
print_counts(FILE *out, const char *prefix, const struct load_counts *c)
{
    fprintf(out,
            "%ssent=%" PRIu64 "\n%sok=%" PRIu64 "\n%snot_run=%" PRIu64
            "\n%sunknown=%" PRIu64 "\n%srun_error=%" PRIu64
            "\n%swrong=%" PRIu64 "\n%scut=%" PRIu64 "\n%slost=%" PRIu64
            "\n%slate=%" PRIu64 "\n",
            prefix, c->sent, prefix, c->ok, prefix, c->not_run, prefix,
            c->unknown, prefix, c->run_error, prefix, c->wrong, prefix, c->cut,
            prefix, c->lost, prefix, c->late);
}

static void
print_latency(FILE *out, const char *prefix, const struct cw_hist *h)
{
    fprintf(out,
            "%sp50_us=%" PRIu64 "\n%sp90_us=%" PRIu64 "\n%sp99_us=%" PRIu64
            "\n%smax_us=%" PRIu64 "\n",
            prefix, cw_hist_quantile(h, 0.5), prefix, cw_hist_quantile(h, 0.9),
            prefix, cw_hist_quantile(h, 0.99), prefix, h->max);
}

void
load_print_report(const struct load *l, FILE *out)
{
    struct cw_hist all;
    cw_hist_init(&all);
    for (size_t i = 0; i < l->service_count; i++) {
        const struct load_service *s = &l->services[i];
        char prefix[CW_NAME_MAX + 2];
        snprintf(prefix, sizeof(prefix), "%s.", s->name.text);
        print_counts(out, prefix, &s->counts);
        print_latency(out, prefix, &s->latency);
        cw_hist_merge(&all, &s->latency);
    }
    print_counts(out, "", &l->total);
    print_latency(out, "", &all);
    for (int i = 100; i < 600; i++) {
        if (l->status_counts[i] > 0) {
            fprintf(out, "status_%d=%" PRIu64 "\n", i, l->status_counts[i]);
        }
    }
    if (l->verify) {
        fprintf(out,
                "verified=%zu\nnot_run_but_ran=%" PRIu64
                "\nok_but_not_run=%" PRIu64 "\nran_twice=%" PRIu64 "\n",
                l->verified, l->not_run_but_ran, l->ok_but_not_run,
                l->ran_twice);
    }
}
