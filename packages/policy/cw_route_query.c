/* Endpoints of a service: choice and queries. */
#include "cuminwalk.h"

/* Share of its requests that an endpoint gets at the start of slow start; the
 * first ones show whether it works at all. */
#define SLOW_START_FLOOR 0.1

static bool
in_service(const struct cw_endpoint *ep)
{
    return ep->ready && !ep->leaving && ep->slots != NULL;
}

bool
cw_route_panic(const struct cw_route *r, cw_ms now)
{
    size_t all = 0;
    size_t out = 0;
    for (size_t i = 0; i < r->count; i++) {
        if (in_service(r->items[i])) {
            all++;
            out += cw_eject_active(&r->items[i]->eject, now);
        }
    }
    return (double)out > r->params.eject.max_share * (double)all;
}

/* Slots of an endpoint that a new request may use, under its limit. */
static uint32_t
open_slots(const struct cw_route *r, const struct cw_slots *t,
           const struct cw_endpoint *ep, bool panic, cw_ms now)
{
    if (!in_service(ep) || (!panic && cw_eject_active(&ep->eject, now))) {
        return 0;
    }
    uint32_t idle = cw_slots_free(t, ep->slots);
    uint32_t limit = cw_limit_slots(&ep->limit, &r->params.limit,
                                    cw_slots_usable(t, ep->slots));
    uint32_t under = limit > ep->in_flight ? limit - ep->in_flight : 0;
    return idle < under ? idle : under;
}

static double
weight(const struct cw_route *r, const struct cw_endpoint *ep, cw_ms now)
{
    cw_ms age = now - ep->since;
    if (age >= r->params.slow_start_ms) {
        return 1;
    }
    double w = (double)age / (double)r->params.slow_start_ms;
    return w < SLOW_START_FLOOR ? SLOW_START_FLOOR : w;
}

static double
expected_ms(const struct cw_route *r, const struct cw_endpoint *ep)
{
    double ms = ep->latency_ms > 0 ? ep->latency_ms : r->latency_ms;
    return (ep->in_flight + 1) * (ms > 0 ? ms : 1);
}

struct cw_endpoint *
cw_route_pick(const struct cw_route *r, const struct cw_slots *t,
              const struct cw_endpoint *not_this, struct cw_rng *rng,
              cw_ms now)
{
    bool panic = cw_route_panic(r, now);
    struct cw_endpoint *pick[2] = {NULL, NULL};
    struct cw_endpoint *warming = NULL;
    uint64_t seen = 0;
    for (size_t i = 0; i < r->count; i++) {
        struct cw_endpoint *ep = r->items[i];
        if (ep == not_this || open_slots(r, t, ep, panic, now) == 0) {
            continue;
        }
        double w = weight(r, ep, now);
        if (w < 1 && cw_rng_unit(rng) >= w) {
            warming = ep;
            continue;
        }
        /* Reservoir sampling: pick holds two of the seen, each pair alike. */
        uint64_t at = seen < 2 ? seen : cw_rng_below(rng, seen + 1);
        if (at < 2) {
            pick[at] = ep;
        }
        seen++;
    }
    if (seen == 0) {
        return warming;
    }
    if (seen == 1) {
        return pick[0];
    }
    if (!r->params.two_choices) {
        return pick[cw_rng_below(rng, 2)];
    }
    return expected_ms(r, pick[0]) <= expected_ms(r, pick[1]) ? pick[0]
                                                              : pick[1];
}

uint32_t
cw_route_free(const struct cw_route *r, const struct cw_slots *t, cw_ms now)
{
    bool panic = cw_route_panic(r, now);
    uint32_t n = 0;
    for (size_t i = 0; i < r->count; i++) {
        n += open_slots(r, t, r->items[i], panic, now);
    }
    return n;
}

uint32_t
cw_route_usable(const struct cw_route *r, const struct cw_slots *t)
{
    uint32_t n = 0;
    for (size_t i = 0; i < r->count; i++) {
        if (in_service(r->items[i])) {
            n += cw_slots_usable(t, r->items[i]->slots);
        }
    }
    return n;
}
