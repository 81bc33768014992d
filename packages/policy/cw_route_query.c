/* Endpoints of a service: load balancing and queries. */
#include "cuminwalk.h"

/* Share of its usual requests that an endpoint gets at the beginning of slow
 * start. Not 0, because the first requests show whether it works at all. */
#define SLOW_START_MIN_SHARE 0.1

static bool
in_service(const struct cw_endpoint *ep)
{
    return ep->ready && !ep->leaving && ep->slots != NULL;
}

bool
cw_route_panic(const struct cw_route *r, cw_ms now)
{
    size_t all = 0;
    size_t ejected = 0;
    for (size_t i = 0; i < r->count; i++) {
        if (in_service(r->items[i])) {
            all++;
            ejected += cw_eject_active(&r->items[i]->eject, now);
        }
    }
    return (double)ejected > r->params.eject.max_ejected_share * (double)all;
}

/* Free slots of an endpoint that a new request may use within its limit. */
static uint32_t
available_slots(const struct cw_route *r, const struct cw_slots *t,
                const struct cw_endpoint *ep, bool panic, cw_ms now)
{
    if (!in_service(ep) || (!panic && cw_eject_active(&ep->eject, now))) {
        return 0;
    }
    uint32_t free_slots = cw_slots_free_count(t, ep->slots);
    uint32_t limit = cw_limit_slots(&ep->limit, &r->params.limit,
                                    cw_slots_usable_count(t, ep->slots));
    uint32_t below_limit = limit > ep->in_flight ? limit - ep->in_flight : 0;
    return free_slots < below_limit ? free_slots : below_limit;
}

static double
slow_start_share(const struct cw_route *r, const struct cw_endpoint *ep,
                 cw_ms now)
{
    cw_ms age = now - ep->since;
    if (age >= r->params.slow_start_ms) {
        return 1;
    }
    double share = (double)age / (double)r->params.slow_start_ms;
    return share < SLOW_START_MIN_SHARE ? SLOW_START_MIN_SHARE : share;
}

static double
expected_ms(const struct cw_route *r, const struct cw_endpoint *ep)
{
    double ms = ep->latency_ms > 0 ? ep->latency_ms : r->latency_ms;
    return (ep->in_flight + 1) * (ms > 0 ? ms : 1);
}

struct cw_endpoint *
cw_route_pick(const struct cw_route *r, const struct cw_slots *t,
              const struct cw_endpoint *avoided_ep, struct cw_rng *rng,
              cw_ms now)
{
    bool panic = cw_route_panic(r, now);
    struct cw_endpoint *pick[2] = {NULL, NULL};
    struct cw_endpoint *slow_starter = NULL;
    uint64_t candidates = 0;
    for (size_t i = 0; i < r->count; i++) {
        struct cw_endpoint *ep = r->items[i];
        if (ep == avoided_ep || available_slots(r, t, ep, panic, now) == 0) {
            continue;
        }
        double share = slow_start_share(r, ep, now);
        if (share < 1 && cw_rng_unit(rng) >= share) {
            slow_starter = ep;
            continue;
        }
        /* Reservoir sampling: pick holds two of the candidates so far, each
         * pair with the same probability. */
        uint64_t k =
            candidates < 2 ? candidates : cw_rng_below(rng, candidates + 1);
        if (k < 2) {
            pick[k] = ep;
        }
        candidates++;
    }
    if (candidates == 0) {
        return slow_starter;
    }
    if (candidates == 1) {
        return pick[0];
    }
    if (!r->params.two_choices) {
        return pick[cw_rng_below(rng, 2)];
    }
    return expected_ms(r, pick[0]) <= expected_ms(r, pick[1]) ? pick[0]
                                                              : pick[1];
}

uint32_t
cw_route_free_slots(const struct cw_route *r, const struct cw_slots *t,
                    cw_ms now)
{
    bool panic = cw_route_panic(r, now);
    uint32_t n = 0;
    for (size_t i = 0; i < r->count; i++) {
        n += available_slots(r, t, r->items[i], panic, now);
    }
    return n;
}

uint32_t
cw_route_usable_slots(const struct cw_route *r, const struct cw_slots *t)
{
    uint32_t n = 0;
    for (size_t i = 0; i < r->count; i++) {
        if (in_service(r->items[i])) {
            n += cw_slots_usable_count(t, r->items[i]->slots);
        }
    }
    return n;
}
