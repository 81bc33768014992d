/* Availability budget: the failures that a target still allows, the rate at
 * which they are used, and how many VMs may be out of service at once. */
#include "cuminwalk.h"

#include <math.h>
#include <string.h>

struct cw_budget_params
cw_budget_defaults(void)
{
    return (struct cw_budget_params){
        .short_ms = 5 * CW_MINUTE,
        .long_ms = CW_HOUR,
        /* 14.4 times the allowed rate uses 2% of a 30-day budget in an
         * hour. */
        .burn_limit = 14.4,
        .min_bad_requests = 10,
        .batch_share = 0.1,
        .vm_loss_ms = 5 * CW_SECOND,
        .headroom = 0.2,
    };
}

void
cw_budget_init(struct cw_budget *b, double target, cw_ms window_ms)
{
    memset(b, 0, sizeof(*b));
    b->target = target;
    b->window_ms = window_ms;
}

static cw_ms
coarse_bucket_ms(const struct cw_budget *b)
{
    cw_ms len = b->window_ms / CW_BUDGET_COARSE_BUCKETS;
    return len > 0 ? len : 1;
}

static void
add_counts(struct cw_counts *to, const struct cw_counts *c)
{
    to->ok += c->ok;
    to->failed += c->failed;
    to->shed += c->shed;
    to->unknown += c->unknown;
}

static uint64_t
count_bad(const struct cw_counts *c)
{
    return c->failed + c->shed + c->unknown;
}

/* Adds counts to the ring entry of a period. A newer period overwrites the
 * entry; counts for a period that was overwritten already are dropped. */
static void
ring_add(struct cw_budget_bucket *ring, int64_t size, int64_t period,
         const struct cw_counts *c)
{
    struct cw_budget_bucket *e = &ring[period % size];
    if (e->period > period) {
        return;
    }
    if (e->period < period) {
        e->period = period;
        memset(&e->counts, 0, sizeof(e->counts));
    }
    add_counts(&e->counts, c);
}

static struct cw_counts
ring_sum(const struct cw_budget_bucket *ring, int64_t size, int64_t last,
         int64_t periods)
{
    struct cw_counts sum = {0};
    for (int64_t i = 0; i < size; i++) {
        if (ring[i].period <= last && ring[i].period > last - periods) {
            add_counts(&sum, &ring[i].counts);
        }
    }
    return sum;
}

void
cw_budget_add(struct cw_budget *b, cw_ms wall, struct cw_counts c)
{
    if (wall < 0) {
        return;
    }
    ring_add(b->fine, CW_BUDGET_FINE_BUCKETS, wall / CW_MINUTE, &c);
    ring_add(b->coarse, CW_BUDGET_COARSE_BUCKETS, wall / coarse_bucket_ms(b),
             &c);
}

static double
burn_rate(const struct cw_budget *b, const struct cw_counts *c)
{
    double all = (double)(c->ok + count_bad(c));
    return all > 0 ? (double)count_bad(c) / all / (1.0 - b->target) : 0;
}

void
cw_budget_evaluate(const struct cw_budget *b, const struct cw_budget_params *p,
                   cw_ms wall, struct cw_budget_report *out)
{
    memset(out, 0, sizeof(*out));
    out->counts =
        ring_sum(b->coarse, CW_BUDGET_COARSE_BUCKETS,
                 wall / coarse_bucket_ms(b), CW_BUDGET_COARSE_BUCKETS);
    int64_t minute = wall / CW_MINUTE;
    struct cw_counts short_sum = ring_sum(b->fine, CW_BUDGET_FINE_BUCKETS,
                                          minute, p->short_ms / CW_MINUTE);
    struct cw_counts long_sum = ring_sum(b->fine, CW_BUDGET_FINE_BUCKETS,
                                         minute, p->long_ms / CW_MINUTE);
    uint64_t bad = count_bad(&out->counts);
    double all = (double)(out->counts.ok + bad);
    out->used = (double)bad;
    out->availability = all > 0 ? (double)out->counts.ok / all : 1;
    out->allowed = (1.0 - b->target) * all;
    out->left = out->allowed - out->used;
    out->burn_short = burn_rate(b, &short_sum);
    out->burn_long = burn_rate(b, &long_sum);
    out->rate_per_s = (double)(long_sum.ok + count_bad(&long_sum)) * 1000 /
                      (double)p->long_ms;
    /* A service with little traffic has a handful of failures by chance. */
    out->exhausted = bad >= p->min_bad_requests && out->left < 0;
    out->burning = count_bad(&short_sum) >= p->min_bad_requests &&
                   out->burn_short >= p->burn_limit && out->burn_long >= 1;
}

uint32_t
cw_vms_needed(const struct cw_budget_params *p, uint32_t vms_min,
              double demand, uint32_t slots)
{
    if (slots == 0 || !(demand > 0)) {
        return vms_min;
    }
    double vms = ceil(demand * (1 + p->headroom) / slots - 1e-9);
    if (vms >= (double)UINT32_MAX) {
        return UINT32_MAX;
    }
    return (uint32_t)vms > vms_min ? (uint32_t)vms : vms_min;
}

uint32_t
cw_vms_surplus(uint32_t ready, uint32_t needed)
{
    return ready > needed ? ready - needed : 0;
}

uint32_t
cw_budget_batch_limit(const struct cw_budget_params *p,
                      const struct cw_budget_report *r, uint32_t ready)
{
    if (p->batch_share <= 0) {
        return UINT32_MAX;
    }
    if (r->exhausted) {
        return 0;
    }
    if (r->rate_per_s <= 0 || ready == 0) {
        return UINT32_MAX;
    }
    double loss = r->rate_per_s / ready * (double)p->vm_loss_ms / 1000;
    double vms = floor(p->batch_share * r->left / loss);
    if (vms < 1) {
        return 1;
    }
    return vms >= (double)UINT32_MAX ? UINT32_MAX : (uint32_t)vms;
}

void
cw_trend_init(struct cw_trend *t)
{
    memset(t, 0, sizeof(*t));
}

void
cw_trend_add(struct cw_trend *t, cw_ms from, cw_ms to, double amount)
{
    if (from < 0 || to <= from || !(amount > 0)) {
        return;
    }
    double per_ms = amount / (double)(to - from);
    /* The start of a span longer than the ring would only be overwritten. */
    cw_ms longest = (CW_TREND_BUCKETS - 1) * CW_TREND_BUCKET_MS;
    cw_ms pos = to - from > longest ? to - longest : from;
    while (pos < to) {
        int64_t period = pos / CW_TREND_BUCKET_MS;
        cw_ms end = (period + 1) * CW_TREND_BUCKET_MS;
        end = end < to ? end : to;
        size_t i = (size_t)(period % CW_TREND_BUCKETS);
        if (t->period[i] < period) {
            t->period[i] = period;
            t->amount[i] = 0;
        }
        if (t->period[i] == period) {
            t->amount[i] += per_ms * (double)(end - pos);
        }
        pos = end;
    }
}

double
cw_trend_average(const struct cw_trend *t, cw_ms wall, cw_ms span)
{
    int64_t periods = span / CW_TREND_BUCKET_MS;
    int64_t last = wall / CW_TREND_BUCKET_MS; /* incomplete, so left out */
    if (periods <= 0) {
        return 0;
    }
    double sum = 0;
    for (size_t i = 0; i < CW_TREND_BUCKETS; i++) {
        if (t->period[i] < last && t->period[i] >= last - periods) {
            sum += t->amount[i];
        }
    }
    return sum / (double)(periods * CW_TREND_BUCKET_MS);
}
