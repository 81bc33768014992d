/* Decides where a request goes: the order of design section 5. */
#include "cw_services.h"

#include "cw_modules.h"

#include <stddef.h>
#include <string.h>

static void place(struct cw_request *r, struct cw_service *s);

static struct cw_request *
item_request(struct cw_admit_item *item)
{
    return (struct cw_request *)((char *)item -
                                 offsetof(struct cw_request, wait));
}

static void
queue_cancel(struct cw_request *r)
{
    cw_admit_remove(&r->queue->queue, &r->wait, cw_daemon_now(r->d));
    r->queue = NULL;
}

static const struct cw_exec_ops queue_ops = {queue_cancel, NULL};

/* The item was taken out of its queue. */
static void
unqueued(struct cw_request *r)
{
    r->queue = NULL;
    cw_request_detach(r);
}

static void
offer(struct cw_request *r, struct cw_service *s)
{
    struct cw_admit_item *evicted = NULL;
    enum cw_admit_verdict v;

    r->wait.caller = cw_hash(cw_name_str(&r->caller), 0);
    r->wait.priority = r->priority;
    r->wait.deadline = r->deadline;
    r->wait.cost = 1;
    v = cw_admit_offer(&s->queue, &r->wait, cw_daemon_now(r->d), &evicted);
    if (evicted != NULL) {
        struct cw_request *out = item_request(evicted);

        unqueued(out);
        cw_request_shed(out, "queue_full",
                        "the queue is full; retry later or on another daemon");
    }
    switch (v) {
    case CW_ADMIT_QUEUED:
        r->queue = s;
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

/* Sends r to an endpoint of which this daemon holds a free slot. */
static bool
try_local(struct cw_request *r, struct cw_service *s)
{
    struct cw_daemon *d = r->d;
    cw_ms now = cw_daemon_now(d);
    struct cw_slots *t = &d->dispatch->slots;
    struct cw_endpoint *ep;
    int slot;

    cw_slots_set_confirmed(t, cw_daemon_confirmed(d, now));
    ep = cw_route_pick(&s->route, t, r->last != NULL ? &r->last->ep : NULL,
                       &d->rng, now);
    if (ep == NULL && r->last != NULL) {
        ep = cw_route_pick(&s->route, t, NULL, &d->rng, now);
    }
    if (ep == NULL) {
        return false;
    }
    slot = cw_route_start_request(&s->route, t, ep);
    if (slot < 0) {
        return false;
    }
    r->last = ep->ctx;
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
place(struct cw_request *r, struct cw_service *s)
{
    if (s->queue.count == 0 && try_local(r, s)) {
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
    offer(r, s);
}

static void
serve_queue(struct cw_daemon *d, struct cw_service *s)
{
    if (s->kicking) {
        return;
    }
    s->kicking = true;
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
        r = item_request(item);
        unqueued(r);
        if (!try_local(r, s) && !try_peer(r, s)) {
            /* What looked free was taken meanwhile. */
            offer(r, s);
            break;
        }
    }
    s->kicking = false;
}

void
cw_dispatch_kick(struct cw_daemon *d, struct cw_str service)
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

/* True when a keyed request would only be refused after its intent. */
static bool
hopeless(const struct cw_request *r, const struct cw_service *s)
{
    return cw_admit_late(&s->queue, cw_hash(cw_name_str(&r->caller), 0),
                         r->priority, r->deadline, cw_daemon_now(r->d));
}

void
cw_dispatch_start(struct cw_request *r)
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
    latest = r->arrived + doc->doc.deadline_ms;
    if (r->deadline == 0 || r->deadline > latest) {
        r->deadline = latest;
    }
    r->idempotent = cw_doc_idempotent(&doc->doc, r->method, r->path);
    r->tried.idempotent = r->idempotent;
    if (r->hops == 0) {
        cw_retry_count_request(&s->retry, r->arrived);
    }
    if (r->key.len > 0 && !r->idempotent && !r->key_checked) {
        if (hopeless(r, s)) {
            cw_request_shed(
                r, "late", "the expected wait exceeds the request's deadline");
            return;
        }
        cw_keys_check(r);
        return;
    }
    place(r, s);
}

void
cw_dispatch_keyed(struct cw_request *r)
{
    struct cw_service *s = cw_services_find(r->d, cw_name_str(&r->service));

    r->key_checked = true;
    if (cw_daemon_now(r->d) >= r->deadline) {
        cw_request_shed(r, "deadline",
                        "the deadline passed before the request was sent");
        return;
    }
    place(r, s);
}

static void
answer_failed(struct cw_request *r, enum cw_outcome outcome, bool timeout,
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

/* One attempt ended without an answer: tries again where that is allowed. */
static void
attempt_failed(struct cw_request *r, enum cw_attempt_end end, bool first_byte,
               bool timeout, const char *code)
{
    struct cw_service *s = cw_services_find(r->d, cw_name_str(&r->service));
    cw_ms now = cw_daemon_now(r->d);
    enum cw_outcome outcome;

    r->tried.end = end;
    r->tried.first_byte = first_byte;
    r->tried.response_begun = r->status != 0;
    outcome = cw_attempt_outcome(&r->tried);
    if (r->hops > 0 || now >= r->deadline ||
        !cw_attempt_resendable(&r->tried, &s->retry.params) ||
        !cw_retry_spend(&s->retry, now)) {
        answer_failed(r, outcome, timeout, code);
        return;
    }
    if (outcome != CW_OUTCOME_NOT_RUN) {
        r->tried.unknown_before = true;
    }
    r->tried.resent++;
    if (try_local(r, s) || try_peer(r, s)) {
        return;
    }
    offer(r, s);
}

static enum cw_ep_result
health_result(enum cw_try t, unsigned status)
{
    switch (t) {
    case CW_TRY_DONE:
        return status >= 500 ? CW_EP_FAILED : CW_EP_OK;
    case CW_TRY_REFUSED:
        return CW_EP_FULL;
    case CW_TRY_DRAINING:
        return CW_EP_DRAINING;
    case CW_TRY_HELD:
    case CW_TRY_GONE:
        return CW_EP_NEUTRAL;
    default:
        return CW_EP_FAILED;
    }
}

static void
release(struct cw_daemon *d, struct cw_runner *e, uint32_t slot, enum cw_try t,
        unsigned status, cw_ms took)
{
    struct cw_slots *t_slots = &d->dispatch->slots;
    cw_ms now = cw_daemon_now(d);

    e->ep.slots = cw_slots_find(t_slots, cw_name_str(&e->vm));
    CW_INVARIANT(e->home != NULL && e->ep.slots != NULL);
    if (t == CW_TRY_DRAINING) {
        cw_runners_leaving(d, cw_name_str(&e->vm), e->ep.incarnation,
                           CW_LEAVING_REFUSED);
    }
    if (cw_route_end_request(&e->home->route, t_slots, &e->ep, (int)slot,
                             health_result(t, status), (double)took, now)) {
        cw_log(CW_INFO, "endpoint_ejected", "vm=%s ms=%lld", e->vm.text,
               (long long)e->ep.eject.length);
    }
    if (t == CW_TRY_DONE) {
        cw_admit_record_service_time(&e->home->queue, (double)took, now);
    }
}

void
cw_dispatch_tried(struct cw_daemon *d, struct cw_request *r,
                  struct cw_runner *e, uint32_t slot, enum cw_try t,
                  cw_ms took)
{
    struct cw_service *s = e->home;

    release(d, e, slot, t, r != NULL ? r->status : 0, took);
    switch (r == NULL ? CW_TRY_GONE : t) {
    case CW_TRY_NOT_RUN:
        attempt_failed(r, CW_END_CONNECT, false, false, "connect_failed");
        break;
    case CW_TRY_HELD:
        if (cw_daemon_now(d) >= r->deadline) {
            cw_request_shed(r, "deadline",
                            "the deadline passed before the request was sent");
        }
        else {
            /* The membership ended between the choice and the connection. */
            place(r, s);
        }
        break;
    case CW_TRY_REFUSED:
        attempt_failed(r, CW_END_REFUSED, true, false, "endpoint_full");
        break;
    case CW_TRY_DRAINING:
        attempt_failed(r, CW_END_REFUSED, true, false, "endpoint_draining");
        break;
    case CW_TRY_UNKNOWN:
        attempt_failed(r, CW_END_INTERRUPTED, true, false, "endpoint_lost");
        break;
    case CW_TRY_TIMEOUT:
        attempt_failed(r, CW_END_INTERRUPTED, true, true, "endpoint_timeout");
        break;
    case CW_TRY_DONE:
    case CW_TRY_CUT:
    case CW_TRY_GONE:
        break;
    }
    serve_queue(d, s);
}

void
cw_dispatch_returned(struct cw_request *r, enum cw_outcome outcome,
                     const char *code)
{
    struct cw_service *s = cw_services_find(r->d, cw_name_str(&r->service));

    if (outcome == CW_OUTCOME_NOT_RUN && strcmp(code, "no_slot") == 0) {
        /* No endpoint was asked, so this is no retry. */
        if (!try_local(r, s)) {
            offer(r, s);
        }
        return;
    }
    if (outcome == CW_OUTCOME_NOT_RUN) {
        attempt_failed(r, CW_END_REFUSED, true, false, code);
        return;
    }
    attempt_failed(r, CW_END_INTERRUPTED, true,
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
            struct cw_request *r = item_request(item);

            unqueued(r);
            cw_request_shed(r, "deadline",
                            "the deadline passed before the request was sent");
        }
        if (s->queue.count > 0) {
            serve_queue(d, s);
        }
    }
}
