/* Heartbeats: what they say and what they change. */
#include "cw_peers.h"
#include "cw_runners.h"

#include <stdlib.h>
#include <string.h>

/* Changes are repeated for this long, so that a peer whose replica lags still
 * finds the VM that they speak of. */
#define REPEAT_MS (5 * CW_SECOND)
/* Everything is sent on a new connection and each so many heartbeats; 60 keeps
 * a fleet of 4,100 endpoints under the control traffic bound. */
#define FULL_BEATS 60
#define LOAD_FULL_BEATS 10
/* A peer counts as seen for this long after its heartbeat. Longer would delay
 * the lapse of a dead member by as much. */
#define SEEN_MS 1500
#define BUSY_MAX 64
#define LIST_MAX 512

/* Lists of one heartbeat; the protobuf message points into them. */
struct lists {
    Cuminwalk__ServiceLoad *loads;
    Cuminwalk__ServiceLoad **load_ptrs;
    Cuminwalk__EndpointHealth *health;
    Cuminwalk__EndpointHealth **health_ptrs;
    Cuminwalk__VmIncarnation *leaving;
    Cuminwalk__VmIncarnation **leaving_ptrs;
    Cuminwalk__Drained *drained;
    Cuminwalk__Drained **drained_ptrs;
    Cuminwalk__PeerSeen *seen;
    Cuminwalk__PeerSeen **seen_ptrs;
    Cuminwalk__SlotBusy busy[BUSY_MAX];
    Cuminwalk__SlotBusy *busy_ptrs[BUSY_MAX];
};

/* Allocates n messages and the pointers to them. */
static bool
list_new(size_t n, size_t size, void **items, void ***ptrs)
{
    char *p = calloc(n + 1, size);

    *items = p;
    *ptrs = calloc(n + 1, sizeof(void *));
    if (p == NULL || *ptrs == NULL) {
        return false;
    }
    for (size_t i = 0; i < n; i++) {
        (*ptrs)[i] = p + i * size;
    }
    return true;
}

#define LIST_NEW(l, name, n)                                                  \
    list_new((n), sizeof(*(l)->name), (void **)&(l)->name,                    \
             (void ***)&(l)->name##_ptrs)

static void
lists_free(struct lists *l)
{
    free(l->loads);
    free(l->load_ptrs);
    free(l->health);
    free(l->health_ptrs);
    free(l->leaving);
    free(l->leaving_ptrs);
    free(l->drained);
    free(l->drained_ptrs);
    free(l->seen);
    free(l->seen_ptrs);
}

static bool
load_changed(const struct cw_load *a, const struct cw_load *b)
{
    return a->free_slots != b->free_slots || a->held != b->held ||
           a->busy != b->busy || a->waiting != b->waiting ||
           a->delay_ms != b->delay_ms || !cw_name_eq(&a->service, &b->service);
}

void
cw_heartbeat_prepare(struct cw_daemon *d, cw_ms now)
{
    struct cw_peers *all = d->peers;
    size_t n = cw_dispatch_services(d);

    if (n != all->sent_count) {
        struct cw_sent_load *grown =
            realloc(all->sent, (n + 1) * sizeof(*grown));

        if (grown == NULL) {
            return;
        }
        for (size_t i = all->sent_count; i < n; i++) {
            memset(&grown[i], 0, sizeof(grown[i]));
        }
        all->sent = grown;
        all->sent_count = n;
    }
    for (size_t i = 0; i < n; i++) {
        struct cw_load load;

        cw_dispatch_load(d, i, now, &load);
        if (load_changed(&load, &all->sent[i].load)) {
            all->sent[i].load = load;
            all->sent[i].changed = now;
        }
    }
}

static void
add_loads(struct cw_daemon *d, struct cw_peer *p, struct lists *l,
          Cuminwalk__Heartbeat *h, cw_ms now)
{
    struct cw_peers *all = d->peers;
    bool full = p->beats % LOAD_FULL_BEATS == 0;

    if (!list_new(all->sent_count, sizeof(*l->loads), (void **)&l->loads,
                  (void ***)&l->load_ptrs)) {
        return;
    }
    for (size_t i = 0; i < all->sent_count; i++) {
        const struct cw_sent_load *s = &all->sent[i];
        Cuminwalk__ServiceLoad *m = &l->loads[h->n_loads];

        if (!full && now - s->changed > 2 * d->settings->heartbeat_ms) {
            continue;
        }
        cuminwalk__service_load__init(m);
        m->service = (char *)s->load.service.text;
        m->free_slots = s->load.free_slots;
        m->held_slots = s->load.held;
        m->busy = s->load.busy;
        m->waiting = s->load.waiting;
        m->queue_delay_ms = s->load.delay_ms;
        h->n_loads++;
    }
    h->loads = l->load_ptrs;
}

static void
add_health(struct cw_daemon *d, struct cw_peer *p, struct lists *l,
           Cuminwalk__Heartbeat *h, cw_ms now)
{
    struct cw_runners *all = d->runners;
    bool full = p->beats % FULL_BEATS == 0;

    if (!LIST_NEW(l, health, all->count)) {
        return;
    }
    for (size_t i = 0; i < all->count; i++) {
        struct cw_runner *e = all->items[i];
        Cuminwalk__EndpointHealth *m = &l->health[h->n_health];
        const struct cw_member_entry *owner;

        if (!e->probed || (!full && now - e->health_at > REPEAT_MS)) {
            continue;
        }
        owner = cw_probes_owner(d, e);
        if (owner == NULL ||
            !cw_name_eq(&owner->daemon, &d->settings->daemon)) {
            continue;
        }
        cuminwalk__endpoint_health__init(m);
        m->vm = e->vm.text;
        m->incarnation = e->ep.incarnation;
        m->ready = e->ep.ready;
        h->n_health++;
    }
    h->health = l->health_ptrs;
}

/* Only what was seen here at first hand: the list and refusals. Operations
 * come by the log, failed probes as health, and repeating peers' reports
 * would keep a withdrawn one going round. */
static void
add_leaving(struct cw_daemon *d, struct cw_peer *p, struct lists *l,
            Cuminwalk__Heartbeat *h, cw_ms now)
{
    const struct cw_leaving *all = &d->runners->leaving;
    const unsigned own = 1U << CW_LEAVING_LIST | 1U << CW_LEAVING_REFUSED;
    bool full = p->beats % FULL_BEATS == 0;

    if (!LIST_NEW(l, leaving, all->count)) {
        return;
    }
    for (size_t i = 0; i < all->count; i++) {
        const struct cw_leaving_entry *e = &all->items[i];
        Cuminwalk__VmIncarnation *m = &l->leaving[h->n_leaving];

        if ((e->signals & own) == 0 || (!full && now - e->since > REPEAT_MS)) {
            continue;
        }
        cuminwalk__vm_incarnation__init(m);
        m->vm = (char *)e->vm.text;
        m->incarnation = e->incarnation;
        h->n_leaving++;
    }
    h->leaving = l->leaving_ptrs;
}

static void
add_drained(struct cw_daemon *d, struct lists *l, Cuminwalk__Heartbeat *h)
{
    if (!LIST_NEW(l, drained, LIST_MAX)) {
        return;
    }
    for (size_t i = 0; i < d->state.op_count && h->n_drained < LIST_MAX; i++) {
        const struct cw_op_entry *op = d->state.ops[i];
        Cuminwalk__Drained *m = &l->drained[h->n_drained];

        if (!op->open || !cw_daemon_drain_applied(d, cw_name_str(&op->rec.vm),
                                                  cw_name_str(&op->rec.op))) {
            continue;
        }
        cuminwalk__drained__init(m);
        m->vm = (char *)op->rec.vm.text;
        m->op = (char *)op->rec.op.text;
        h->n_drained++;
    }
    h->drained = l->drained_ptrs;
}

static void
add_seen(struct cw_daemon *d, struct lists *l, Cuminwalk__Heartbeat *h,
         cw_ms now)
{
    struct cw_peers *all = d->peers;

    if (!LIST_NEW(l, seen, all->count)) {
        return;
    }
    for (size_t i = 0; i < all->count; i++) {
        const struct cw_peer *p = all->items[i];
        Cuminwalk__PeerSeen *m = &l->seen[h->n_seen];

        if (p->heard == 0 || now - p->heard > SEEN_MS) {
            continue;
        }
        cuminwalk__peer_seen__init(m);
        m->daemon = (char *)p->daemon.text;
        m->incarnation = p->incarnation;
        h->n_seen++;
    }
    h->seen = l->seen_ptrs;
}

static void
add_busy(struct cw_daemon *d, struct lists *l, Cuminwalk__Heartbeat *h)
{
    struct cw_slot_busy busy[BUSY_MAX];
    size_t n = cw_dispatch_busy(d, busy, BUSY_MAX);

    if (n > BUSY_MAX) {
        /* Not all fit: an older offset keeps the gainers waiting. */
        h->applied = 0;
        n = BUSY_MAX;
    }
    for (size_t i = 0; i < n; i++) {
        cuminwalk__slot_busy__init(&l->busy[i]);
        l->busy[i].vm_hash = busy[i].vm_hash;
        l->busy[i].mask = busy[i].mask;
        l->busy_ptrs[i] = &l->busy[i];
    }
    h->busy = l->busy_ptrs;
    h->n_busy = n;
}

void
cw_heartbeat_send(struct cw_daemon *d, struct cw_peer *p, cw_ms now)
{
    Cuminwalk__Envelope env = CUMINWALK__ENVELOPE__INIT;
    Cuminwalk__Heartbeat h = CUMINWALK__HEARTBEAT__INIT;
    const struct cw_member_entry *m =
        cw_state_member(&d->state, cw_name_str(&p->daemon));
    struct lists l;

    memset(&l, 0, sizeof(l));
    h.incarnation = d->incarnation;
    h.applied = d->state.applied;
    h.sent_ms = now;
    h.echo_ms = p->sent;
    h.member_epoch = d->state.member_epoch;
    h.receiver_member = m != NULL && m->incarnation == p->incarnation;
    h.receiver_incarnation = p->incarnation;
    h.stopping = d->stopping;
    add_loads(d, p, &l, &h, now);
    add_health(d, p, &l, &h, now);
    add_leaving(d, p, &l, &h, now);
    add_drained(d, &l, &h);
    add_seen(d, &l, &h, now);
    add_busy(d, &l, &h);
    env.msg_case = CUMINWALK__ENVELOPE__MSG_HEARTBEAT;
    env.heartbeat = &h;
    if (cw_peer_send(p, &env) == CW_OK) {
        p->beats++;
    }
    lists_free(&l);
}

static void
take_loads(struct cw_peer *p, const Cuminwalk__Heartbeat *h)
{
    for (size_t i = 0; i < h->n_loads; i++) {
        const Cuminwalk__ServiceLoad *m = h->loads[i];
        struct cw_load load = {0};
        size_t k = 0;

        if (cw_name_set(&load.service, cw_str_from(m->service)) != CW_OK) {
            continue;
        }
        load.free_slots = m->free_slots;
        load.held = m->held_slots;
        load.busy = m->busy;
        load.waiting = m->waiting;
        load.delay_ms = m->queue_delay_ms;
        while (k < p->load_count &&
               !cw_name_eq(&p->loads[k].service, &load.service)) {
            k++;
        }
        if (k == p->load_count) {
            struct cw_load *grown =
                realloc(p->loads, (k + 1) * sizeof(*grown));

            if (grown == NULL) {
                return;
            }
            p->loads = grown;
            p->load_count++;
        }
        p->loads[k] = load;
    }
}

static void
take_drained(struct cw_peer *p, const Cuminwalk__Heartbeat *h)
{
    struct cw_peer_drained *list = calloc(h->n_drained + 1, sizeof(*list));
    size_t n = 0;

    free(p->drained);
    p->drained = list;
    p->drained_count = 0;
    if (list == NULL) {
        return;
    }
    for (size_t i = 0; i < h->n_drained; i++) {
        if (cw_name_set(&list[n].vm, cw_str_from(h->drained[i]->vm)) ==
                CW_OK &&
            cw_name_set(&list[n].op, cw_str_from(h->drained[i]->op)) ==
                CW_OK) {
            n++;
        }
    }
    p->drained_count = n;
}

static void
take_health(struct cw_daemon *d, const struct cw_peer *p,
            const Cuminwalk__Heartbeat *h, cw_ms now)
{
    for (size_t i = 0; i < h->n_health; i++) {
        const Cuminwalk__EndpointHealth *m = h->health[i];
        struct cw_runner *e = cw_runners_find(d, cw_str_from(m->vm));
        const struct cw_member_entry *owner;

        if (e == NULL || e->ep.incarnation != m->incarnation) {
            continue;
        }
        owner = cw_probes_owner(d, e);
        if (owner != NULL && cw_name_eq(&owner->daemon, &p->daemon)) {
            cw_runner_set_ready(d, e, m->ready, now);
        }
    }
    for (size_t i = 0; i < h->n_leaving; i++) {
        cw_runners_leaving(d, cw_str_from(h->leaving[i]->vm),
                           h->leaving[i]->incarnation, CW_LEAVING_PEER);
    }
}

/* What the heartbeat says about our own membership. */
static void
take_membership(struct cw_daemon *d, struct cw_peer *p,
                const Cuminwalk__Heartbeat *h)
{
    const struct cw_member_entry *own =
        cw_state_member(&d->state, cw_daemon_name(d));

    if (own == NULL || own->incarnation != d->incarnation ||
        h->receiver_incarnation != d->incarnation) {
        return;
    }
    if (h->receiver_member) {
        if (h->echo_ms > p->confirm) {
            p->confirm = h->echo_ms;
        }
    }
    else if (h->member_epoch >= own->offset && h->echo_ms > 0) {
        cw_members_excluded(d);
    }
}

void
cw_heartbeat_take(struct cw_daemon *d, struct cw_peer *p,
                  const Cuminwalk__Heartbeat *h, cw_ms now)
{
    struct cw_slot_busy busy[BUSY_MAX];
    size_t n = h->n_busy < BUSY_MAX ? h->n_busy : BUSY_MAX;

    p->incarnation = h->incarnation;
    p->heard = now;
    p->sent = h->sent_ms;
    p->applied = h->applied;
    p->stopping = h->stopping;
    cw_members_seen(d, cw_name_str(&p->daemon), h->incarnation, now);
    for (size_t i = 0; i < h->n_seen; i++) {
        cw_members_seen(d, cw_str_from(h->seen[i]->daemon),
                        h->seen[i]->incarnation, now);
    }
    take_membership(d, p, h);
    take_loads(p, h);
    take_drained(p, h);
    take_health(d, p, h, now);
    for (size_t i = 0; i < n; i++) {
        busy[i].vm_hash = h->busy[i]->vm_hash;
        busy[i].mask = h->busy[i]->mask;
    }
    cw_dispatch_heard(d, cw_name_str(&p->daemon), h->incarnation, h->applied,
                      busy, n, now);
    cw_dispatch_kick(d, CW_LIT(""));
}
