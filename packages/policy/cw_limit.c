/* Adaptive limit on the share of an endpoint's slots in use, lowered while the
 * endpoint is slower than its pool. */
#include "cuminwalk.h"

struct cw_limit_params
cw_limit_defaults(void)
{
    return (struct cw_limit_params){.enabled = true,
                                    .slow_factor = 2,
                                    .decrease = 0.9,
                                    .increase = 0.05,
                                    .min_interval_ms = CW_SECOND,
                                    .min_share = 0.1};
}

void
cw_limit_init(struct cw_limit *l, cw_ms now)
{
    l->share = 1;
    l->changed = now;
}

void
cw_limit_update(struct cw_limit *l, const struct cw_limit_params *p,
                double latency_ms, double pool_latency_ms, cw_ms now)
{
    /* One change per interval: the responses delayed by the same stall arrive
     * together, and each would lower the limit. */
    cw_ms since = now - l->changed;
    if (!p->enabled || since < p->min_interval_ms) {
        return;
    }
    if (pool_latency_ms > 0 && latency_ms > p->slow_factor * pool_latency_ms) {
        l->share *= p->decrease;
    }
    else {
        l->share += p->increase * (double)since / (double)CW_SECOND;
    }
    l->share = l->share < p->min_share ? p->min_share : l->share;
    l->share = l->share > 1 ? 1 : l->share;
    l->changed = now;
}

uint32_t
cw_limit_slots(const struct cw_limit *l, const struct cw_limit_params *p,
               uint32_t held)
{
    if (!p->enabled || held == 0) {
        return held;
    }
    /* Rounds to nearest: rounding down would cost a daemon that holds 3 slots
     * one of them at the first decrease. */
    uint32_t n = (uint32_t)(l->share * held + 0.5);
    return n > 0 ? n : 1;
}
