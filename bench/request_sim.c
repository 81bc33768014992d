/* Simulation of the request path: daemons. */
#include "request_sim.h"
#include "request_sim_int.h"

#include <stdlib.h>
#include <string.h>

#define HEARTBEAT_MS 1000
#define TICK_MS 50
#define SAMPLE_MS 100

static void
finish_request(struct sim *s, struct sim_request *r)
{
    (void)s;
    free(r);
}

static void
refuse(struct sim *s, struct sim_request *r)
{
    s->out->refused++;
    cw_hist_record(&s->out->refuse_delay_us,
                   (uint64_t)((s->now - r->arrived) * 1000));
    finish_request(s, r);
}

static void
send_to(struct sim *s, struct sim_daemon *d, struct sim_request *r,
        struct cw_endpoint *ep)
{
    r->ep = ep;
    r->daemon = d;
    r->slot = cw_route_start_request(&d->route[r->service], &d->slots, ep);
    CW_INVARIANT(r->slot >= 0);
    r->sent = s->now;
    sim_schedule(s, sim_net_ms(s, d->dc, sim_vm(ep)->dc), EV_AT_ENDPOINT, r);
}

/* The peer that showed most free slots in its last heartbeat. The count is
 * lowered with each request sent there, so that a heartbeat's slots are not
 * promised to many requests. */
static struct sim_daemon *
free_peer(struct sim *s, struct sim_daemon *d, int service)
{
    struct sim_daemon *best = NULL;
    uint32_t most = 0;
    for (int i = 0; i < SIM_DAEMONS; i++) {
        if (&s->daemons[i] != d && d->peer_free[i][service] > most) {
            most = d->peer_free[i][service];
            best = &s->daemons[i];
        }
    }
    if (best != NULL) {
        d->peer_free[best - s->daemons][service]--;
    }
    return best;
}

/* A peer whose backlog is shorter by balance_ms. What this daemon sends there
 * is added to the peer's backlog until its next heartbeat. */
static struct sim_daemon *
shorter_peer(struct sim *s, struct sim_daemon *d, int service)
{
    double own = cw_admit_backlog_ms(&d->queue[service], (cw_ms)s->now);
    double least = own - s->cfg->balance_ms;
    int best = -1;
    for (int i = 0; i < SIM_DAEMONS; i++) {
        if (&s->daemons[i] != d && d->peer_rate[i][service] > 0 &&
            d->peer_backlog[i][service] < least) {
            least = d->peer_backlog[i][service];
            best = i;
        }
    }
    if (s->cfg->balance_ms <= 0 || best < 0) {
        return NULL;
    }
    /* The other daemons send there as well. */
    d->peer_backlog[best][service] +=
        SIM_DAEMONS / 2.0 / d->peer_rate[best][service];
    return &s->daemons[best];
}

static void
enqueue(struct sim *s, struct sim_daemon *d, struct sim_request *r)
{
    struct cw_admit_item *evicted;
    r->item.caller = r->caller;
    r->item.priority = CW_NORMAL;
    r->item.deadline = (cw_ms)r->deadline;
    r->item.cost = 1;
    if (cw_admit_offer(&d->queue[r->service], &r->item, (cw_ms)s->now,
                       &evicted) != CW_ADMIT_QUEUED) {
        refuse(s, r);
    }
    if (evicted != NULL) {
        refuse(s, sim_request_of(evicted));
    }
}

/* Sends from the queue while there are free slots. */
static void
drain_queue(struct sim *s, struct sim_daemon *d, int service)
{
    struct cw_admit *q = &d->queue[service];
    while (q->count > 0) {
        struct cw_endpoint *ep = cw_route_pick(&d->route[service], &d->slots,
                                               NULL, &s->rng, (cw_ms)s->now);
        struct cw_admit_item *item =
            ep != NULL ? cw_admit_dequeue(q, (cw_ms)s->now) : NULL;
        if (item == NULL) {
            return;
        }
        send_to(s, d, sim_request_of(item), ep);
    }
}

static void
forward_to(struct sim *s, struct sim_daemon *d, struct sim_daemon *peer,
           struct sim_request *r)
{
    r->forwarded = true;
    r->hop_ms = sim_net_ms(s, d->dc, peer->dc);
    r->daemon = peer;
    s->out->forwarded++;
    sim_schedule(s, r->hop_ms, EV_AT_DAEMON, r);
}

/* Forwards waiting requests to peers whose heartbeats show free slots. */
static void
forward_queue(struct sim *s, struct sim_daemon *d, int service)
{
    struct cw_admit *q = &d->queue[service];
    while (q->count > 0) {
        struct sim_daemon *peer = free_peer(s, d, service);
        struct cw_admit_item *item =
            peer != NULL ? cw_admit_dequeue(q, (cw_ms)s->now) : NULL;
        if (item == NULL) {
            return;
        }
        struct sim_request *r = sim_request_of(item);
        if (r->forwarded) {
            enqueue(s, d, r);
            return;
        }
        forward_to(s, d, peer, r);
    }
}

static void
at_daemon(struct sim *s, struct sim_daemon *d, struct sim_request *r)
{
    if (!r->forwarded) {
        cw_retry_count_request(&d->retry[r->service], (cw_ms)s->now);
    }
    if (d->queue[r->service].count == 0) {
        struct cw_endpoint *ep = cw_route_pick(
            &d->route[r->service], &d->slots, NULL, &s->rng, (cw_ms)s->now);
        if (ep != NULL) {
            send_to(s, d, r, ep);
            return;
        }
    }
    struct sim_daemon *peer = NULL;
    if (s->cfg->forward && !r->forwarded) {
        peer = free_peer(s, d, r->service);
        peer = peer != NULL ? peer : shorter_peer(s, d, r->service);
    }
    if (peer == NULL) {
        enqueue(s, d, r);
        return;
    }
    forward_to(s, d, peer, r);
}

static void
answered(struct sim *s, struct sim_request *r)
{
    double ms =
        s->now + r->hop_ms + s->cfg->deployment->client_ms - r->arrived;
    cw_hist_record(&s->out->latency_us, (uint64_t)(ms * 1000));
    if (r->arrived + ms <= r->deadline) {
        s->out->good++;
    }
    else {
        s->out->late++;
    }
    finish_request(s, r);
}

/* An endpoint's refusal: tried elsewhere within the rules, else told. */
static void
refused_by_endpoint(struct sim *s, struct sim_daemon *d, struct sim_request *r,
                    struct cw_endpoint *from)
{
    struct cw_attempt a = {
        .end = CW_END_REFUSED, .first_byte = true, .resent = r->resent};
    struct cw_endpoint *ep = NULL;
    if (cw_attempt_resendable(&a, &s->cfg->retry)) {
        ep = cw_route_pick(&d->route[r->service], &d->slots, from, &s->rng,
                           (cw_ms)s->now);
    }
    if (s->cfg->requeue) {
        enqueue(s, d, r);
        return;
    }
    if (ep == NULL || !cw_retry_spend(&d->retry[r->service], (cw_ms)s->now)) {
        refuse(s, r);
        return;
    }
    r->resent++;
    s->out->retried++;
    send_to(s, d, r, ep);
}

static void
response(struct sim *s, struct sim_request *r)
{
    struct sim_daemon *d = r->daemon;
    struct cw_endpoint *ep = r->ep;
    int service = r->service;
    double ms = s->now - r->sent;
    cw_route_end_request(&d->route[service], &d->slots, ep, r->slot,
                         r->refused ? CW_EP_FULL : CW_EP_OK, ms,
                         (cw_ms)s->now);
    if (r->refused) {
        r->refused = false;
        refused_by_endpoint(s, d, r, ep);
    }
    else {
        cw_admit_record_service_time(&d->queue[service], ms, (cw_ms)s->now);
        answered(s, r);
    }
    if (!s->cfg->requeue) {
        drain_queue(s, d, service);
    }
}

static void
heartbeat(struct sim *s, struct sim_daemon *d)
{
    for (int v = 0; v < SIM_SERVICES; v++) {
        uint32_t idle =
            d->queue[v].count > 0
                ? 0
                : cw_route_free_slots(&d->route[v], &d->slots, (cw_ms)s->now);
        for (int i = 0; i < SIM_DAEMONS; i++) {
            s->daemons[i].peer_free[d - s->daemons][v] = idle;
            s->daemons[i].peer_backlog[d - s->daemons][v] =
                cw_admit_backlog_ms(&d->queue[v], (cw_ms)s->now);
            s->daemons[i].peer_rate[d - s->daemons][v] = d->queue[v].rate;
        }
    }
    sim_schedule(s, HEARTBEAT_MS, EV_HEARTBEAT, d);
}

static void
tick(struct sim *s, struct sim_daemon *d)
{
    for (int v = 0; v < SIM_SERVICES; v++) {
        struct cw_admit_item *late;
        while (
            (late = cw_admit_dequeue_expired(&d->queue[v], (cw_ms)s->now))) {
            refuse(s, sim_request_of(late));
        }
        drain_queue(s, d, v);
        if (s->cfg->forward_queued) {
            forward_queue(s, d, v);
        }
    }
    sim_schedule(s, TICK_MS, EV_TICK, d);
}

static void
sample(struct sim *s)
{
    for (int i = 0; i < s->vm_count; i++) {
        s->out->slot_samples += SIM_SLOTS;
        s->out->idle_samples += (uint64_t)(SIM_SLOTS - s->vms[i].running);
    }
    sim_schedule(s, SAMPLE_MS, EV_SAMPLE, NULL);
}

void
sim_event(struct sim *s, enum sim_event_kind kind, void *arg)
{
    switch (kind) {
    case EV_ARRIVE:
        sim_arrive(s, (int)((struct sim_source *)arg - s->sources));
        break;
    case EV_AT_DAEMON:
        at_daemon(s, ((struct sim_request *)arg)->daemon, arg);
        break;
    case EV_AT_ENDPOINT:
        sim_at_endpoint(s, arg);
        break;
    case EV_ENDPOINT_DONE:
        sim_endpoint_done(s, arg);
        break;
    case EV_RESPONSE:
        response(s, arg);
        break;
    case EV_HEARTBEAT:
        heartbeat(s, arg);
        break;
    case EV_TICK:
        tick(s, arg);
        break;
    case EV_SAMPLE:
        if (s->now < SIM_START + SIM_LOAD_MS) {
            sample(s);
        }
        break;
    }
}
