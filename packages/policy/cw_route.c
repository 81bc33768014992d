/* Endpoints of a service: functions that change them. */
#include "cuminwalk.h"

#include <stdlib.h>
#include <string.h>

/* Weight of a sample in the pool's moving average. It is a tenth of an
 * endpoint's, so that both averages change about equally fast: a pool gets
 * about ten times as many samples as one endpoint. */
#define POOL_LATENCY_WEIGHT 0.02

struct cw_route_params
cw_route_defaults(void)
{
    return (struct cw_route_params){.two_choices = true,
                                    .slow_start_ms = 10 * CW_SECOND,
                                    .smoothing = 0.2,
                                    .eject = cw_eject_defaults(),
                                    .limit = cw_limit_defaults()};
}

void
cw_route_init(struct cw_route *r, struct cw_route_params params)
{
    memset(r, 0, sizeof(*r));
    r->params = params;
}

void
cw_route_finish(struct cw_route *r)
{
    free(r->items);
    memset(r, 0, sizeof(*r));
}

void
cw_endpoint_init(struct cw_endpoint *ep, struct cw_slot_entry *slots,
                 uint64_t incarnation, cw_ms now)
{
    memset(ep, 0, sizeof(*ep));
    ep->slots = slots;
    ep->incarnation = incarnation;
    ep->since = now;
    cw_limit_init(&ep->limit, now);
}

enum cw_status
cw_route_add(struct cw_route *r, struct cw_endpoint *ep)
{
    if (r->count == r->cap) {
        size_t cap = r->cap ? 2 * r->cap : 16;
        void *p = realloc(r->items, cap * sizeof(struct cw_endpoint *));
        if (p == NULL) {
            return CW_ERR_NOMEM;
        }
        r->items = p;
        r->cap = cap;
    }
    r->items[r->count++] = ep;
    return CW_OK;
}

void
cw_route_remove(struct cw_route *r, struct cw_endpoint *ep)
{
    for (size_t i = 0; i < r->count; i++) {
        if (r->items[i] == ep) {
            memmove(&r->items[i], &r->items[i + 1],
                    (r->count - i - 1) * sizeof(struct cw_endpoint *));
            r->count--;
            return;
        }
    }
}

void
cw_endpoint_set_ready(struct cw_endpoint *ep, bool ready, cw_ms now)
{
    if (ready && !ep->ready) {
        ep->since = now;
    }
    ep->ready = ready;
}

int
cw_route_start_request(struct cw_route *r, struct cw_slots *t,
                       struct cw_endpoint *ep)
{
    (void)r;
    int slot = ep->slots == NULL ? -1 : cw_slots_acquire(t, ep->slots);
    if (slot >= 0) {
        ep->in_flight++;
    }
    return slot;
}

static void
update_average(double *average, double sample, double weight)
{
    *average = *average > 0 ? *average + weight * (sample - *average) : sample;
}

static void
record_latency(struct cw_route *r, struct cw_endpoint *ep, double ms,
               cw_ms now)
{
    update_average(&ep->latency_ms, ms, r->params.smoothing);
    update_average(&r->latency_ms, ms, POOL_LATENCY_WEIGHT);
    /* Passes the average, not the sample: with exponentially distributed times
     * one sample in seven exceeds twice the mean. */
    cw_limit_update(&ep->limit, &r->params.limit, ep->latency_ms,
                    r->latency_ms, now);
}

bool
cw_route_end_request(struct cw_route *r, struct cw_slots *t,
                     struct cw_endpoint *ep, int slot,
                     enum cw_ep_result result, double latency_ms, cw_ms now)
{
    CW_INVARIANT(ep->in_flight > 0 && ep->slots != NULL);
    ep->in_flight--;
    struct cw_slot_entry *entry = ep->slots;
    if (entry->gone && entry->in_use == UINT64_C(1) << slot) {
        ep->slots = NULL;
    }
    cw_slots_release(t, entry, slot);
    switch (result) {
    case CW_EP_OK:
        record_latency(r, ep, latency_ms, now);
        return cw_eject_record_result(&ep->eject, &r->params.eject, false,
                                      now);
    case CW_EP_FAILED:
        /* A quick failure must not lower the latency average, which would
         * draw requests to the endpoint. */
        if (latency_ms > ep->latency_ms) {
            record_latency(r, ep, latency_ms, now);
        }
        return cw_eject_record_result(&ep->eject, &r->params.eject, true, now);
    case CW_EP_DRAINING:
        ep->leaving = true;
        break;
    case CW_EP_FULL:
    case CW_EP_NEUTRAL:
        break;
    }
    return false;
}
