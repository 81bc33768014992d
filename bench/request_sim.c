/* Simulation of the request path: what the daemons do. */
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
refuse_request(struct sim *s, struct sim_request *r)
{
    s->result->refused++;
    cw_hist_record(&s->result->refusal_delay_us,
                   (uint64_t)((s->now - r->arrived) * 1000));
    finish_request(s, r);
}

static void
send_to_endpoint(struct sim *s, struct sim_daemon *d, struct sim_request *r,
                 struct cw_endpoint *ep)
{
    r->ep = ep;
    r->daemon = d;
    r->slot = cw_route_start_request(&d->route[r->service], &d->slots, ep);
    CW_INVARIANT(r->slot >= 0);
    r->sent = s->now;
    sim_schedule(s, sim_net_ms(s, d->dc, sim_vm_of_endpoint(ep)->dc),
                 EV_ENDPOINT_RECEIVE, r);
}

/* Returns the peer with the most free slots in its last heartbeat, or NULL.
 * Takes one off its count, so that more requests are not forwarded on one
 * heartbeat than it had free slots. */
static struct sim_daemon *
peer_with_most_free_slots(struct sim *s, struct sim_daemon *d, int service)
{
    struct sim_daemon *best = NULL;
    uint32_t max = 0;
    for (int i = 0; i < SIM_DAEMONS; i++) {
        if (&s->daemons[i] != d && d->peer_free_slots[i][service] > max) {
            max = d->peer_free_slots[i][service];
            best = &s->daemons[i];
        }
    }
    if (best != NULL) {
        d->peer_free_slots[best - s->daemons][service]--;
    }
    return best;
}

/* Returns the peer with the shortest backlog if that is shorter than the own
 * one by balance_min_ms, else NULL. Adds an estimate of what is sent there to
 * the known backlog, until the peer's next heartbeat. */
static struct sim_daemon *
peer_with_shortest_backlog(struct sim *s, struct sim_daemon *d, int service)
{
    double own = cw_admit_backlog_ms(&d->queue[service], (cw_ms)s->now);
    double min = own - s->cfg->balance_min_ms;
    int best = -1;
    for (int i = 0; i < SIM_DAEMONS; i++) {
        if (&s->daemons[i] != d && d->peer_rate[i][service] > 0 &&
            d->peer_backlog_ms[i][service] < min) {
            min = d->peer_backlog_ms[i][service];
            best = i;
        }
    }
    if (s->cfg->balance_min_ms <= 0 || best < 0) {
        return NULL;
    }
    /* Assumes that half of the daemons forward to this peer as well. */
    d->peer_backlog_ms[best][service] +=
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
        refuse_request(s, r);
    }
    if (evicted != NULL) {
        refuse_request(s, sim_request_of_item(evicted));
    }
}

/* Sends queued requests to endpoints while there are free slots. */
static void
send_queued(struct sim *s, struct sim_daemon *d, int service)
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
        send_to_endpoint(s, d, sim_request_of_item(item), ep);
    }
}

static void
forward_to(struct sim *s, struct sim_daemon *d, struct sim_daemon *peer,
           struct sim_request *r)
{
    r->forwarded = true;
    r->hop_ms = sim_net_ms(s, d->dc, peer->dc);
    r->daemon = peer;
    s->result->forwarded++;
    sim_schedule(s, r->hop_ms, EV_DAEMON_RECEIVE, r);
}

/* Forwards queued requests to peers whose heartbeats show free slots. */
static void
forward_queued_requests(struct sim *s, struct sim_daemon *d, int service)
{
    struct cw_admit *q = &d->queue[service];
    while (q->count > 0) {
        struct sim_daemon *peer = peer_with_most_free_slots(s, d, service);
        struct cw_admit_item *item =
            peer != NULL ? cw_admit_dequeue(q, (cw_ms)s->now) : NULL;
        if (item == NULL) {
            return;
        }
        struct sim_request *r = sim_request_of_item(item);
        if (r->forwarded) {
            enqueue(s, d, r);
            return;
        }
        forward_to(s, d, peer, r);
    }
}

static void
receive_request(struct sim *s, struct sim_daemon *d, struct sim_request *r)
{
    if (!r->forwarded) {
        cw_retry_count_request(&d->retry[r->service], (cw_ms)s->now);
    }
    if (d->queue[r->service].count == 0) {
        struct cw_endpoint *ep = cw_route_pick(
            &d->route[r->service], &d->slots, NULL, &s->rng, (cw_ms)s->now);
        if (ep != NULL) {
            send_to_endpoint(s, d, r, ep);
            return;
        }
    }
    struct sim_daemon *peer = NULL;
    if (s->cfg->forward_on_arrival && !r->forwarded) {
        peer = peer_with_most_free_slots(s, d, r->service);
        peer =
            peer != NULL ? peer : peer_with_shortest_backlog(s, d, r->service);
    }
    if (peer == NULL) {
        enqueue(s, d, r);
        return;
    }
    forward_to(s, d, peer, r);
}

static void
complete_request(struct sim *s, struct sim_request *r)
{
    double ms =
        s->now + r->hop_ms + s->cfg->deployment->client_ms - r->arrived;
    cw_hist_record(&s->result->latency_us, (uint64_t)(ms * 1000));
    if (r->arrived + ms <= r->deadline) {
        s->result->in_time++;
    }
    else {
        s->result->late++;
    }
    finish_request(s, r);
}

/* Sends a request that an endpoint refused to another one if the retry rules
 * and budget allow it; otherwise refuses it to the caller. With
 * requeue_refused, puts it back into the queue instead. */
static void
resend_or_refuse(struct sim *s, struct sim_daemon *d, struct sim_request *r,
                 struct cw_endpoint *from)
{
    struct cw_attempt a = {
        .end = CW_END_REFUSED, .first_byte = true, .resent = r->resent};
    struct cw_endpoint *ep = NULL;
    if (cw_attempt_resendable(&a, &s->cfg->retry)) {
        ep = cw_route_pick(&d->route[r->service], &d->slots, from, &s->rng,
                           (cw_ms)s->now);
    }
    if (s->cfg->requeue_refused) {
        enqueue(s, d, r);
        return;
    }
    if (ep == NULL || !cw_retry_spend(&d->retry[r->service], (cw_ms)s->now)) {
        refuse_request(s, r);
        return;
    }
    r->resent++;
    s->result->retried++;
    send_to_endpoint(s, d, r, ep);
}

static void
receive_response(struct sim *s, struct sim_request *r)
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
        resend_or_refuse(s, d, r, ep);
    }
    else {
        cw_admit_record_service_time(&d->queue[service], ms, (cw_ms)s->now);
        complete_request(s, r);
    }
    if (!s->cfg->requeue_refused) {
        send_queued(s, d, service);
    }
}

static void
send_heartbeat(struct sim *s, struct sim_daemon *d)
{
    for (int v = 0; v < SIM_SERVICES; v++) {
        uint32_t idle =
            d->queue[v].count > 0
                ? 0
                : cw_route_free_slots(&d->route[v], &d->slots, (cw_ms)s->now);
        for (int i = 0; i < SIM_DAEMONS; i++) {
            s->daemons[i].peer_free_slots[d - s->daemons][v] = idle;
            s->daemons[i].peer_backlog_ms[d - s->daemons][v] =
                cw_admit_backlog_ms(&d->queue[v], (cw_ms)s->now);
            s->daemons[i].peer_rate[d - s->daemons][v] = d->queue[v].rate;
        }
    }
    sim_schedule(s, HEARTBEAT_MS, EV_HEARTBEAT, d);
}

static void
run_tick(struct sim *s, struct sim_daemon *d)
{
    for (int v = 0; v < SIM_SERVICES; v++) {
        struct cw_admit_item *expired;
        while ((expired =
                    cw_admit_dequeue_expired(&d->queue[v], (cw_ms)s->now))) {
            refuse_request(s, sim_request_of_item(expired));
        }
        send_queued(s, d, v);
        if (s->cfg->forward_queued) {
            forward_queued_requests(s, d, v);
        }
    }
    sim_schedule(s, TICK_MS, EV_TICK, d);
}

static void
sample_slots(struct sim *s)
{
    for (int i = 0; i < s->vm_count; i++) {
        s->result->slot_samples += SIM_SLOTS;
        s->result->idle_samples += (uint64_t)(SIM_SLOTS - s->vms[i].running);
    }
    sim_schedule(s, SAMPLE_MS, EV_SAMPLE, NULL);
}

void
sim_handle_event(struct sim *s, enum sim_event_kind kind, void *arg)
{
    switch (kind) {
    case EV_NEW_REQUEST:
        sim_new_request(s, (int)((struct sim_source *)arg - s->sources));
        break;
    case EV_DAEMON_RECEIVE:
        receive_request(s, ((struct sim_request *)arg)->daemon, arg);
        break;
    case EV_ENDPOINT_RECEIVE:
        sim_endpoint_receive(s, arg);
        break;
    case EV_ENDPOINT_DONE:
        sim_endpoint_finish(s, arg);
        break;
    case EV_RESPONSE:
        receive_response(s, arg);
        break;
    case EV_HEARTBEAT:
        send_heartbeat(s, arg);
        break;
    case EV_TICK:
        run_tick(s, arg);
        break;
    case EV_SAMPLE:
        if (s->now < SIM_START_MS + SIM_LOAD_MS) {
            sample_slots(s);
        }
        break;
    }
}
