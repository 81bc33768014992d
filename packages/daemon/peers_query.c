/* Queries on the peers' last heartbeats. */
#include "cw_peers.h"

#include <string.h>

/* The free slots in a peer's heartbeat are used for this many heartbeat
 * intervals. */
#define LOAD_VALID_INTERVALS 2

static const struct cw_peer *
find_peer(const struct cw_daemon *d, struct cw_str daemon)
{
    for (size_t i = 0; i < d->peers->count; i++) {
        if (cw_str_eq(cw_name_str(&d->peers->items[i]->daemon), daemon)) {
            return d->peers->items[i];
        }
    }
    return NULL;
}

/* The peer's entry in the membership, NULL when its current incarnation is not
 * a member. */
static const struct cw_member_entry *
find_member(const struct cw_daemon *d, const struct cw_peer *p)
{
    const struct cw_member_entry *m =
        cw_state_member(&d->state, cw_name_str(&p->daemon));

    return m != NULL && m->incarnation == p->incarnation ? m : NULL;
}

static struct cw_service_load *
find_load(const struct cw_peer *p, struct cw_str service)
{
    for (size_t i = 0; i < p->load_count; i++) {
        if (cw_str_eq(cw_name_str(&p->loads[i].service), service)) {
            return &p->loads[i];
        }
    }
    return NULL;
}

struct cw_peer *
cw_peers_pick(struct cw_daemon *d, struct cw_str service, cw_ms now)
{
    struct cw_peer *best = NULL;
    uint32_t most = 0;

    for (size_t i = 0; i < d->peers->count; i++) {
        struct cw_peer *p = d->peers->items[i];
        const struct cw_service_load *l = find_load(p, service);

        if (!p->ready || p->stopping || l == NULL || l->free_slots <= most ||
            now - p->heard_at >
                LOAD_VALID_INTERVALS * d->settings->heartbeat_ms ||
            find_member(d, p) == NULL) {
            continue;
        }
        best = p;
        most = l->free_slots;
    }
    return best;
}

void
cw_peer_reserve_slot(struct cw_peer *p, struct cw_str service)
{
    struct cw_service_load *l = find_load(p, service);

    if (l != NULL && l->free_slots > 0) {
        l->free_slots--;
    }
}

void
cw_peer_release_slot(struct cw_peer *p, struct cw_str service, bool none_free)
{
    struct cw_service_load *l = find_load(p, service);

    if (l == NULL) {
        return;
    }
    if (none_free) {
        l->free_slots = 0;
    }
    else if (l->free_slots < l->held) {
        l->free_slots++;
    }
}

size_t
cw_peers_count_confirming(const struct cw_daemon *d, cw_ms since,
                          size_t *same_dc)
{
    size_t n = 0;

    *same_dc = 0;
    for (size_t i = 0; i < d->peers->count; i++) {
        const struct cw_peer *p = d->peers->items[i];
        const struct cw_member_entry *m;

        if (p->confirmed_at == 0 || p->confirmed_at < since) {
            continue;
        }
        m = find_member(d, p);
        if (m == NULL) {
            continue;
        }
        n++;
        if (cw_name_eq(&m->dc, &d->settings->dc)) {
            (*same_dc)++;
        }
    }
    return n;
}

cw_ms
cw_peers_heartbeat_age(const struct cw_daemon *d, struct cw_str daemon,
                       cw_ms now)
{
    const struct cw_peer *p = find_peer(d, daemon);

    return p != NULL && p->heard_at != 0 ? now - p->heard_at : -1;
}

uint64_t
cw_peers_applied_offset(const struct cw_daemon *d, struct cw_str daemon)
{
    const struct cw_peer *p = find_peer(d, daemon);

    return p != NULL && p->heard_at != 0 ? p->applied : 0;
}

bool
cw_daemon_peer_drained(const struct cw_daemon *d, struct cw_str daemon,
                       struct cw_str vm, struct cw_str op)
{
    const struct cw_peer *p = find_peer(d, daemon);

    if (p == NULL || p->heard_at == 0 || find_member(d, p) == NULL) {
        return false;
    }
    for (size_t i = 0; i < p->drained_count; i++) {
        if (cw_str_eq(cw_name_str(&p->drained[i].vm), vm) &&
            cw_str_eq(cw_name_str(&p->drained[i].op), op)) {
            return true;
        }
    }
    return false;
}

uint32_t
cw_daemon_members_drained(const struct cw_daemon *d, struct cw_str vm,
                          struct cw_str op)
{
    uint32_t n = 0;

    for (size_t i = 0; i < d->state.member_count; i++) {
        const struct cw_member_entry *m = &d->state.members[i];

        if (cw_name_eq(&m->daemon, &d->settings->daemon)) {
            n += cw_daemon_drain_applied(d, vm, op);
        }
        else {
            n += cw_daemon_peer_drained(d, cw_name_str(&m->daemon), vm, op);
        }
    }
    return n;
}

bool
cw_daemon_all_drained(const struct cw_daemon *d, struct cw_str vm,
                      struct cw_str op)
{
    return d->state.member_count > 0 &&
           cw_daemon_members_drained(d, vm, op) == d->state.member_count;
}

struct cw_demand
cw_daemon_demand(const struct cw_daemon *d, struct cw_str service)
{
    struct cw_demand sum = {0, 0, 0};
    cw_ms now = cw_daemon_now(d);

    for (size_t i = 0; i < cw_dispatch_service_count(d); i++) {
        struct cw_service_load own;

        cw_dispatch_service_load(d, i, now, &own);
        if (cw_str_eq(cw_name_str(&own.service), service)) {
            sum.busy += own.busy;
            sum.waiting += own.waiting;
            sum.free_slots += own.free_slots;
        }
    }
    for (size_t i = 0; i < d->peers->count; i++) {
        const struct cw_peer *p = d->peers->items[i];
        const struct cw_service_load *l = find_load(p, service);

        if (l != NULL && now - p->heard_at <= d->settings->silent_ms &&
            find_member(d, p) != NULL) {
            sum.busy += l->busy;
            sum.waiting += l->waiting;
            sum.free_slots += l->free_slots;
        }
    }
    return sum;
}

void
cw_peers_update_metrics(struct cw_daemon *d)
{
    double *in = cw_metrics_gauge(&d->metrics, "cuminwalk_peer_bytes_in", "");
    double *out =
        cw_metrics_gauge(&d->metrics, "cuminwalk_peer_bytes_out", "");
    double *open = cw_metrics_gauge(&d->metrics, "cuminwalk_peers_open", "");
    double *beats_in =
        cw_metrics_gauge(&d->metrics, "cuminwalk_heartbeat_bytes_in", "");
    double *beats_out =
        cw_metrics_gauge(&d->metrics, "cuminwalk_heartbeat_bytes_out", "");
    size_t n = 0;

    for (size_t i = 0; i < d->peers->count; i++) {
        n += d->peers->items[i]->ready;
    }
    if (beats_in != NULL && beats_out != NULL) {
        *beats_in = (double)d->peers->heartbeat_bytes_in;
        *beats_out = (double)d->peers->heartbeat_bytes_out;
    }
    if (in != NULL && out != NULL && open != NULL) {
        *in = (double)d->peers->net.bytes_in;
        *out = (double)d->peers->net.bytes_out;
        *open = (double)n;
    }
}
