/* Chooses where a request goes: an endpoint of this daemon, a peer, or the
 * queue of its service, in the order of design section 5. */
#include "cw_services.h"

#include "cw_modules.h"

#include <stddef.h>
#include <string.h>

static void send_or_enqueue(struct cw_request *r, struct cw_service *s);

static struct cw_request *
request_of_item(struct cw_admit_item *item)
{
    return (struct cw_request *)((char *)item -
                                 offsetof(struct cw_request, queue_item));
}

static void
cancel_queued(struct cw_request *r)
{
    cw_admit_remove(&r->queued_in->queue, &r->queue_item, cw_daemon_now(r->d));
    r->queued_in = NULL;
}

static const struct cw_exec_ops queue_ops = {cancel_queued, NULL};

/* Detaches a request whose item was removed from its queue. */
static void
detach_from_queue(struct cw_request *r)
{
    r->queued_in = NULL;
    cw_request_detach(r);
}

static void
enqueue(struct cw_request *r, struct cw_service *s)
{
    struct cw_admit_item *evicted = NULL;
    enum cw_admit_verdict v;

    r->queue_item.caller = cw_hash(cw_name_str(&r->caller), 0);
    r->queue_item.priority = r->priority;
    r->queue_item.deadline = r->deadline;
    r->queue_item.cost = 1;
    v = cw_admit_offer(&s->queue, &r->queue_item, cw_daemon_now(r->d),
                       &evicted);
    if (evicted != NULL) {
        struct cw_request *victim = request_of_item(evicted);

        detach_from_queue(victim);
        cw_request_shed(victim, "queue_full",
                        "the queue is full; retry later or on another daemon");
    }
    switch (v) {
    case CW_ADMIT_QUEUED:
        r->queued_in = s;
        r->exec = &queue_ops;
        return;
    case CW_ADMIT_LATE:
        cw_request_shed(r, "late",
                        "the expected wait exceeds the request's deadline");
        return;
    case CW_ADMIT_FULL:
        cw_request_shed(r, "queue_full",
                        "the queue is full; retry later or on another daemon");
        return;
    }
}

/* Sends r to an endpoint at which this daemon has a free slot. */
static bool
try_endpoint(struct cw_request *r, struct cw_service *s)
{
    struct cw_daemon *d = r->d;
    cw_ms now = cw_daemon_now(d);
    struct cw_slots *t = &d->dispatch->slots;
    struct cw_endpoint *ep;
    int slot;

    cw_slots_set_confirmed(t, cw_daemon_confirmed(d, now));
    ep = cw_route_pick(&s->route, t,
                       r->last_runner != NULL ? &r->last_runner->ep : NULL,
                       &d->rng, now);
    if (ep == NULL && r->last_runner != NULL) {
        ep = cw_route_pick(&s->route, t, NULL, &d->rng, now);
    }
    if (ep == NULL) {
        return false;
    }
    slot = cw_route_start_request(&s->route, t, ep);
    if (slot < 0) {
        return false;
    }
    r->last_runner = ep->ctx;
    cw_upstream_send(r, ep->ctx, (uint32_t)slot);
    return true;
}

static bool
try_peer(struct cw_request *r, struct cw_service *s)
{
    struct cw_peer *p =
        cw_peers_pick(r->d, cw_name_str(&s->service), cw_daemon_now(r->d));

    return p != NULL && cw_forward_send(r, p);
}

static void
send_or_enqueue(struct cw_request *r, struct cw_service *s)
{
    if (s->queue.count == 0 && try_endpoint(r, s)) {
        return;
    }
    if (r->hops > 0) {
        cw_request_fail(r, 503, CW_OUTCOME_NOT_RUN, "no_slot",
                        "no free slot at this daemon");
        return;
    }
    if (s->queue.count == 0 && try_peer(r, s)) {
        return;
    }
    enqueue(r, s);
}

static void
serve_queue(struct cw_daemon *d, struct cw_service *s)
{
    if (s->serving) {
        return;
    }
    s->serving = true;
    while (s->queue.count > 0) {
        cw_ms now = cw_daemon_now(d);
        struct cw_slots *t = &d->dispatch->slots;
        struct cw_admit_item *item;
        struct cw_request *r;

        cw_slots_set_confirmed(t, cw_daemon_confirmed(d, now));
        if (cw_route_free_slots(&s->route, t, now) == 0 &&
            cw_peers_pick(d, cw_name_str(&s->service), now) == NULL) {
            break;
        }
        item = cw_admit_dequeue(&s->queue, now);
        if (item == NULL) {
            break;
        }
        r = request_of_item(item);
        detach_from_queue(r);
        if (!try_endpoint(r, s) && !try_peer(r, s)) {
            /* The slot that seemed free is in use by now. */
            enqueue(r, s);
            break;
        }
    }
    s->serving = false;
}

void
cw_dispatch_serve_queues(struct cw_daemon *d, struct cw_str service)
{
    if (d->dispatch == NULL) {
        return;
    }
    for (size_t i = 0; i < d->dispatch->count; i++) {
        struct cw_service *s = d->dispatch->items[i];

        if (service.len == 0 || cw_str_eq(cw_name_str(&s->service), service) ||
            cw_str_eq(cw_name_str(&s->pool), service)) {
            serve_queue(d, s);
        }
    }
}

/* Returns whether the request would miss its deadline in the queue. Checked
 * before the key's intent is appended, since such a request is only shed. */
static bool
would_miss_deadline(const struct cw_request *r, const struct cw_service *s)
{
    return cw_admit_late(&s->queue, cw_hash(cw_name_str(&r->caller), 0),
                         r->priority, r->deadline, cw_daemon_now(r->d));
}

void
cw_dispatch_request(struct cw_request *r)
{
    struct cw_daemon *d = r->d;
    const struct cw_doc_entry *doc =
        cw_state_doc(&d->state, cw_name_str(&r->service));
    struct cw_service *s = cw_services_find(d, cw_name_str(&r->service));
    cw_ms latest;

    if (doc == NULL || s == NULL) {
        if (!cw_daemon_synced(d)) {
            cw_request_shed(r, "starting",
                            "this daemon has not read its documents yet");
            return;
        }
        cw_request_fail(r, 404, CW_OUTCOME_NOT_RUN, "unknown_service",
                        "no document names this service");
        return;
    }
    latest = r->arrived_at + doc->doc.deadline_ms;
    if (r->deadline == 0 || r->deadline > latest) {
        r->deadline = latest;
    }
    r->idempotent = cw_doc_idempotent(&doc->doc, r->method, r->path);
    r->attempt.idempotent = r->idempotent;
    if (r->hops == 0) {
        cw_retry_count_request(&s->retry, r->arrived_at);
    }
    if (r->key.len > 0 && !r->idempotent && !r->key_checked) {
        if (would_miss_deadline(r, s)) {
            cw_request_shed(
                r, "late", "the expected wait exceeds the request's deadline");
            return;
        }
        cw_keys_check(r);
        return;
    }
    send_or_enqueue(r, s);
}

void
cw_dispatch_key_checked(struct cw_request *r)
{
    struct cw_service *s = cw_services_find(r->d, cw_name_str(&r->service));

    r->key_checked = true;
    if (cw_daemon_now(r->d) >= r->deadline) {
        cw_request_shed(r, "deadline",
                        "the deadline passed before the request was sent");
        return;
    }
    send_or_enqueue(r, s);
}

static void
fail_request(struct cw_request *r, enum cw_outcome outcome, bool timeout,
             const char *code)
{
    if (outcome == CW_OUTCOME_NOT_RUN) {
        cw_request_shed(r, code, "no endpoint took the request");
    }
    else {
        cw_request_fail(r, timeout ? 504 : 502, outcome, code,
                        timeout ? "no answer before the deadline"
                                : "the connection was lost before an answer");
    }
}

/* An attempt ended without a response: sends the request again if the retry
 * rules and budget allow it, and fails it otherwise. */
static void
retry_or_fail(struct cw_request *r, enum cw_attempt_end end, bool first_byte,
              bool timeout, const char *code)
{
    struct cw_service *s = cw_services_find(r->d, cw_name_str(&r->service));
    cw_ms now = cw_daemon_now(r->d);
    enum cw_outcome outcome;

    r->attempt.end = end;
    r->attempt.first_byte = first_byte;
    r->attempt.response_begun = r->status != 0;
    outcome = cw_attempt_outcome(&r->attempt);
    if (r->hops > 0 || now >= r->deadline ||
        !cw_attempt_resendable(&r->attempt, &s->retry.params) ||
        !cw_retry_spend(&s->retry, now)) {
        fail_request(r, outcome, timeout, code);
        return;
    }
    if (outcome != CW_OUTCOME_NOT_RUN) {
        r->attempt.unknown_before = true;
    }
    r->attempt.resent++;
    if (try_endpoint(r, s) || try_peer(r, s)) {
        return;
    }
    enqueue(r, s);
}

static enum cw_ep_result
endpoint_result(enum cw_try_result t, unsigned status)
{
    switch (t) {
    case CW_TRY_COMPLETE:
        return status >= 500 ? CW_EP_FAILED : CW_EP_OK;
    case CW_TRY_REFUSED_FULL:
        return CW_EP_FULL;
    case CW_TRY_REFUSED_DRAINING:
        return CW_EP_DRAINING;
    case CW_TRY_NOT_SENT:
    case CW_TRY_CALLER_GONE:
        return CW_EP_NEUTRAL;
    default:
        return CW_EP_FAILED;
    }
}

static void
release_slot(struct cw_daemon *d, struct cw_runner *e, uint32_t slot,
             enum cw_try_result t, unsigned status, cw_ms took)
{
    struct cw_slots *slots = &d->dispatch->slots;
    cw_ms now = cw_daemon_now(d);

    e->ep.slots = cw_slots_find(slots, cw_name_str(&e->vm));
    CW_INVARIANT(e->service != NULL && e->ep.slots != NULL);
    if (t == CW_TRY_REFUSED_DRAINING) {
        cw_runners_add_leaving_signal(d, cw_name_str(&e->vm),
                                      e->ep.incarnation, CW_LEAVING_REFUSED);
    }
    if (cw_route_end_request(&e->service->route, slots, &e->ep, (int)slot,
                             endpoint_result(t, status), (double)took, now)) {
        cw_log(CW_INFO, "endpoint_ejected", "vm=%s ms=%lld", e->vm.text,
               (long long)e->ep.eject.length);
    }
    if (t == CW_TRY_COMPLETE) {
        cw_admit_record_service_time(&e->service->queue, (double)took, now);
    }
}

void
cw_dispatch_try_ended(struct cw_daemon *d, struct cw_request *r,
                      struct cw_runner *e, uint32_t slot, enum cw_try_result t,
                      cw_ms took)
{
    struct cw_service *s = e->service;

    release_slot(d, e, slot, t, r != NULL ? r->status : 0, took);
    switch (r == NULL ? CW_TRY_CALLER_GONE : t) {
    case CW_TRY_CONNECT_FAILED:
        retry_or_fail(r, CW_END_CONNECT, false, false, "connect_failed");
        break;
    case CW_TRY_NOT_SENT:
        if (cw_daemon_now(d) >= r->deadline) {
            cw_request_shed(r, "deadline",
                            "the deadline passed before the request was sent");
        }
        else {
            /* The membership ended after the endpoint was chosen and before
             * the connection was open. */
            send_or_enqueue(r, s);
        }
        break;
    case CW_TRY_REFUSED_FULL:
        retry_or_fail(r, CW_END_REFUSED, true, false, "endpoint_full");
        break;
    case CW_TRY_REFUSED_DRAINING:
        retry_or_fail(r, CW_END_REFUSED, true, false, "endpoint_draining");
        break;
    case CW_TRY_NO_RESPONSE:
        retry_or_fail(r, CW_END_INTERRUPTED, true, false, "endpoint_lost");
        break;
    case CW_TRY_TIMEOUT: /* reported by cw_dispatch_timed_out */
    case CW_TRY_COMPLETE:
    case CW_TRY_TRUNCATED:
    case CW_TRY_CALLER_GONE:
        break;
    }
    serve_queue(d, s);
}

void
cw_dispatch_timed_out(struct cw_request *r)
{
    retry_or_fail(r, CW_END_INTERRUPTED, true, true, "endpoint_timeout");
}

void
cw_dispatch_forward_failed(struct cw_request *r, enum cw_outcome outcome,
                           const char *code)
{
    struct cw_service *s = cw_services_find(r->d, cw_name_str(&r->service));

    if (outcome == CW_OUTCOME_NOT_RUN && strcmp(code, "no_slot") == 0) {
        /* Not sent to any endpoint, so this does not count as a retry. */
        if (!try_endpoint(r, s)) {
            enqueue(r, s);
        }
        return;
    }
    if (outcome == CW_OUTCOME_NOT_RUN) {
        retry_or_fail(r, CW_END_REFUSED, true, false, code);
        return;
    }
    retry_or_fail(r, CW_END_INTERRUPTED, true,
                  strcmp(code, "endpoint_timeout") == 0, code);
}

void
cw_dispatch_tick(struct cw_daemon *d, cw_ms now)
{
    struct cw_dispatch *x = d->dispatch;

    cw_slots_set_confirmed(&x->slots, cw_daemon_confirmed(d, now));
    if (x->slots.pending_count > 0) {
        (void)cw_slots_activate_pending(&x->slots, now);
    }
    for (size_t i = 0; i < x->count; i++) {
        struct cw_service *s = x->items[i];
        struct cw_admit_item *item;

        while ((item = cw_admit_dequeue_expired(&s->queue, now)) != NULL) {
            struct cw_request *r = request_of_item(item);

            detach_from_queue(r);
            cw_request_shed(r, "deadline",
                            "the deadline passed before the request was sent");
        }
        if (s->queue.count > 0) {
            serve_queue(d, s);
        }
    }
}
