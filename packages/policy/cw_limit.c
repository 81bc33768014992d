/* Adaptive limit of the slots that a slow endpoint gets. */
#include "cuminwalk.h"

struct cw_limit_params
cw_limit_defaults(void)
{
    return (struct cw_limit_params){.enabled = true,
                                    .slow_factor = 2,
                                    .decrease = 0.9,
                                    .increase = 0.05,
                                    .every_ms = CW_SECOND,
                                    .lowest = 0.1};
}

void
cw_limit_init(struct cw_limit *l, cw_ms now)
{
    l->share = 1;
    l->changed = now;
}

void
cw_limit_note(struct cw_limit *l, const struct cw_limit_params *p,
              double latency_ms, double pool_latency_ms, cw_ms now)
{
    /* One decrease per interval: the responses of one slow moment arrive
     * together and would otherwise each count. */
    cw_ms since = now - l->changed;
    if (!p->enabled || since < p->every_ms) {
        return;
    }
    if (pool_latency_ms > 0 && latency_ms > p->slow_factor * pool_latency_ms) {
        l->share *= p->decrease;
    }
    else {
        l->share += p->increase * (double)since / (double)CW_SECOND;
    }
    l->share = l->share < p->lowest ? p->lowest : l->share;
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
    /* Rounded to the nearest: rounding down would take a third of a daemon's
     * 3 slots at the first decrease. */
    uint32_t n = (uint32_t)(l->share * held + 0.5);
    return n > 0 ? n : 1;
}
