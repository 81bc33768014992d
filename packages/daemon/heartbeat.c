/* Heartbeats: building those to peers and applying those from peers. */
#include "cw_peers.h"
#include "cw_runners.h"

#include <stdlib.h>
#include <string.h>

/* Changes of health and leaving are repeated for this long, so that a peer
 * whose replica lags has read the VM's record by then. */
#define CHANGE_REPEAT_MS (5 * CW_SECOND)
/* Health and leaving are sent in full on a new connection and in every 60th
 * heartbeat, which keeps a fleet of 4,100 endpoints under the control traffic
 * limit. */
#define FULL_HEARTBEAT_EVERY 60
/* Limits the service loads per heartbeat, so that 46 busy services stay within
 * the control traffic limit of 5 KB/s between 9 daemons. */
#define LOADS_PER_HEARTBEAT 6
/* An unchanged load is sent again after this long. */
#define LOAD_REPEAT_MS (10 * CW_SECOND)
#define SEEN_PEERS_MAX 64
/* Size of a frame's length field and of the envelope around a heartbeat. */
#define FRAME_HEADER_BYTES 4
#define ENVELOPE_HEADER_BYTES 5
/* A peer is listed as seen for this long after its heartbeat. A longer time
 * would delay the lapse of a dead member by as much. */
#define PEER_SEEN_MS 1500
#define BUSY_VMS_MAX 64
#define DRAINED_MAX 512

/* Memory of one heartbeat's lists; the protobuf message points into it. */
struct heartbeat_lists {
    Cuminwalk__ServiceLoad *loads;
    Cuminwalk__ServiceLoad **load_ptrs;
    Cuminwalk__EndpointHealth *health;
    Cuminwalk__EndpointHealth **health_ptrs;
    Cuminwalk__VmIncarnation *leaving;
    Cuminwalk__VmIncarnation **leaving_ptrs;
    Cuminwalk__Drained *drained;
    Cuminwalk__Drained **drained_ptrs;
    uint32_t seen[SEEN_PEERS_MAX];
    Cuminwalk__SlotBusy busy[BUSY_VMS_MAX];
    Cuminwalk__SlotBusy *busy_ptrs[BUSY_VMS_MAX];
};

/* Allocates n messages and an array of pointers to them. */
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
lists_free(struct heartbeat_lists *l)
{
    free(l->loads);
    free(l->load_ptrs);
    free(l->health);
    free(l->health_ptrs);
    free(l->leaving);
    free(l->leaving_ptrs);
    free(l->drained);
    free(l->drained_ptrs);
}

static uint32_t
service_hash(struct cw_str service)
{
    return (uint32_t)cw_hash(service, 0);
}

/* Resizes the list of sent loads to n services. */
static bool
resize_sent_loads(struct cw_peers *all, size_t n)
{
    struct cw_sent_load *grown;

    if (n == all->sent_count) {
        return true;
    }
    grown = realloc(all->sent, (n + 1) * sizeof(*grown));
    if (grown == NULL) {
        return false;
    }
    for (size_t i = all->sent_count; i < n; i++) {
        memset(&grown[i], 0, sizeof(grown[i]));
        grown[i].sent_at = -CW_DAY;
    }
    all->sent = grown;
    all->sent_count = n;
    return true;
}

static uint32_t
abs_difference(uint32_t a, uint32_t b)
{
    return a > b ? a - b : b - a;
}

/* How outdated the load is that was last sent, by change and age; 0 when it
 * need not be sent. */
static uint64_t
load_staleness(const struct cw_sent_load *s, cw_ms now)
{
    uint64_t changed =
        (uint64_t)abs_difference(s->load.free_slots, s->sent.free_slots) +
        abs_difference(s->load.held, s->sent.held) +
        abs_difference(s->load.waiting, s->sent.waiting) +
        abs_difference(s->load.busy, s->sent.busy) +
        abs_difference(s->load.delay_ms, s->sent.delay_ms) / 100;
    uint64_t age = (uint64_t)((now - s->sent_at) / CW_SECOND);

    if (changed > 0) {
        return 1 + changed + age * age;
    }
    return now - s->sent_at >= LOAD_REPEAT_MS ? 1 : 0;
}

void
cw_heartbeat_choose_loads(struct cw_daemon *d, cw_ms now)
{
    struct cw_peers *all = d->peers;

    if (!resize_sent_loads(all, cw_dispatch_service_count(d))) {
        return;
    }
    for (size_t i = 0; i < all->sent_count; i++) {
        struct cw_sent_load *s = &all->sent[i];

        cw_dispatch_service_load(d, i, now, &s->load);
        if (!cw_name_eq(&s->load.service, &s->sent.service)) {
            s->hash = service_hash(cw_name_str(&s->load.service));
            s->sent_at = -CW_DAY;
        }
        s->chosen = false;
    }
    for (int k = 0; k < LOADS_PER_HEARTBEAT; k++) {
        struct cw_sent_load *best = NULL;
        uint64_t max_staleness = 0;

        for (size_t i = 0; i < all->sent_count; i++) {
            struct cw_sent_load *s = &all->sent[i];
            uint64_t staleness = s->chosen ? 0 : load_staleness(s, now);

            if (staleness > max_staleness) {
                max_staleness = staleness;
                best = s;
            }
        }
        if (best == NULL) {
            break;
        }
        best->chosen = true;
        best->sent = best->load;
        best->sent_at = now;
    }
}

/* Adds the chosen loads; the first heartbeat of a connection gets all. */
static void
add_loads(struct cw_daemon *d, struct cw_peer *p, struct heartbeat_lists *l,
          Cuminwalk__Heartbeat *h)
{
    struct cw_peers *all = d->peers;

    if (!list_new(all->sent_count, sizeof(*l->loads), (void **)&l->loads,
                  (void ***)&l->load_ptrs)) {
        return;
    }
    for (size_t i = 0; i < all->sent_count; i++) {
        const struct cw_sent_load *s = &all->sent[i];
        Cuminwalk__ServiceLoad *m = &l->loads[h->n_loads];

        if (!s->chosen && p->heartbeats_sent > 0) {
            continue;
        }
        cuminwalk__service_load__init(m);
        m->service_hash = s->hash;
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
add_health(struct cw_daemon *d, struct cw_peer *p, struct heartbeat_lists *l,
           Cuminwalk__Heartbeat *h, cw_ms now)
{
    struct cw_runners *all = d->runners;
    bool full = p->heartbeats_sent % FULL_HEARTBEAT_EVERY == 0;

    if (!LIST_NEW(l, health, all->count)) {
        return;
    }
    for (size_t i = 0; i < all->count; i++) {
        struct cw_runner *e = all->items[i];
        Cuminwalk__EndpointHealth *m = &l->health[h->n_health];
        const struct cw_member_entry *owner;

        if (!e->probed ||
            (!full && now - e->ready_changed_at > CHANGE_REPEAT_MS)) {
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

/* Adds only the signals that this daemon observed itself: the VM list and
 * refusals. Operations reach peers through the log and failed probes as
 * health. Relaying peers' reports would keep a withdrawn one circulating. */
static void
add_leaving(struct cw_daemon *d, struct cw_peer *p, struct heartbeat_lists *l,
            Cuminwalk__Heartbeat *h, cw_ms now)
{
    const struct cw_leaving *all = &d->runners->leaving;
    const unsigned own = 1U << CW_LEAVING_LIST | 1U << CW_LEAVING_REFUSED;
    bool full = p->heartbeats_sent % FULL_HEARTBEAT_EVERY == 0;

    if (!LIST_NEW(l, leaving, all->count)) {
        return;
    }
    for (size_t i = 0; i < all->count; i++) {
        const struct cw_leaving_entry *e = &all->items[i];
        Cuminwalk__VmIncarnation *m = &l->leaving[h->n_leaving];

        if ((e->signals & own) == 0 ||
            (!full && now - e->since > CHANGE_REPEAT_MS)) {
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
add_drained(struct cw_daemon *d, struct heartbeat_lists *l,
            Cuminwalk__Heartbeat *h)
{
    if (!LIST_NEW(l, drained, DRAINED_MAX)) {
        return;
    }
    for (size_t i = 0; i < d->state.op_count && h->n_drained < DRAINED_MAX;
         i++) {
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

static uint32_t
seen_hash(struct cw_str daemon, uint64_t incarnation)
{
    return (uint32_t)cw_hash(daemon, incarnation);
}

static void
add_seen(struct cw_daemon *d, struct heartbeat_lists *l,
         Cuminwalk__Heartbeat *h, cw_ms now)
{
    struct cw_peers *all = d->peers;

    for (size_t i = 0; i < all->count && h->n_seen < SEEN_PEERS_MAX; i++) {
        const struct cw_peer *p = all->items[i];

        if (p->heard_at != 0 && now - p->heard_at <= PEER_SEEN_MS) {
            l->seen[h->n_seen++] =
                seen_hash(cw_name_str(&p->daemon), p->incarnation);
        }
    }
    h->seen = l->seen;
}

/* Marks the members alive that the peer lists as seen. */
static void
apply_seen(struct cw_daemon *d, const Cuminwalk__Heartbeat *h, cw_ms now)
{
    for (size_t i = 0; i < d->state.member_count; i++) {
        const struct cw_member_entry *m = &d->state.members[i];
        uint32_t hash = seen_hash(cw_name_str(&m->daemon), m->incarnation);

        for (size_t k = 0; k < h->n_seen; k++) {
            if (h->seen[k] == hash) {
                cw_members_mark_alive(d, cw_name_str(&m->daemon),
                                      m->incarnation, now);
            }
        }
    }
}

static void
add_busy(struct cw_daemon *d, struct heartbeat_lists *l,
         Cuminwalk__Heartbeat *h)
{
    struct cw_slot_busy busy[BUSY_VMS_MAX];
    size_t n = cw_dispatch_busy_slots(d, busy, BUSY_VMS_MAX);

    if (n > BUSY_VMS_MAX) {
        /* The list is incomplete: offset 0 keeps the members waiting that gain
         * these slots. */
        h->applied = 0;
        n = BUSY_VMS_MAX;
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
    struct heartbeat_lists l;

    memset(&l, 0, sizeof(l));
    h.incarnation = d->incarnation;
    h.applied = d->state.applied;
    h.sent_ms = now;
    h.echo_ms = p->peer_clock;
    h.member_epoch = d->state.member_epoch;
    h.receiver_member = m != NULL && m->incarnation == p->incarnation;
    h.receiver_incarnation = p->incarnation;
    h.stopping = d->stopping;
    add_loads(d, p, &l, &h);
    add_health(d, p, &l, &h, now);
    add_leaving(d, p, &l, &h, now);
    add_drained(d, &l, &h);
    add_seen(d, &l, &h, now);
    add_busy(d, &l, &h);
    env.msg_case = CUMINWALK__ENVELOPE__MSG_HEARTBEAT;
    env.heartbeat = &h;
    if (cw_peer_send(p, &env) == CW_OK) {
        p->heartbeats_sent++;
        d->peers->heartbeat_bytes_out +=
            cuminwalk__envelope__get_packed_size(&env) + FRAME_HEADER_BYTES;
    }
    lists_free(&l);
}

/* The name of the service with this hash; NULL when there is none here. */
static const struct cw_name *
find_service_by_hash(const struct cw_peers *all, uint32_t hash)
{
    for (size_t i = 0; i < all->sent_count; i++) {
        if (all->sent[i].hash == hash) {
            return &all->sent[i].load.service;
        }
    }
    return NULL;
}

static void
apply_loads(struct cw_daemon *d, struct cw_peer *p,
            const Cuminwalk__Heartbeat *h)
{
    for (size_t i = 0; i < h->n_loads; i++) {
        const Cuminwalk__ServiceLoad *m = h->loads[i];
        struct cw_service_load load = {0};
        size_t k = 0;

        const struct cw_name *service =
            find_service_by_hash(d->peers, m->service_hash);

        if (service == NULL) {
            continue;
        }
        load.service = *service;
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
            struct cw_service_load *grown =
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
apply_drained(struct cw_peer *p, const Cuminwalk__Heartbeat *h)
{
    struct cw_peer_drained_vm *list = calloc(h->n_drained + 1, sizeof(*list));
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
apply_health(struct cw_daemon *d, const struct cw_peer *p,
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
        cw_runners_add_leaving_signal(d, cw_str_from(h->leaving[i]->vm),
                                      h->leaving[i]->incarnation,
                                      CW_LEAVING_PEER);
    }
}

/* Applies what the heartbeat says about our own membership. */
static void
apply_membership(struct cw_daemon *d, struct cw_peer *p,
                 const Cuminwalk__Heartbeat *h)
{
    const struct cw_member_entry *own =
        cw_state_member(&d->state, cw_daemon_name(d));

    if (own == NULL || own->incarnation != d->incarnation ||
        h->receiver_incarnation != d->incarnation) {
        return;
    }
    if (h->receiver_member) {
        if (h->echo_ms > p->confirmed_at) {
            p->confirmed_at = h->echo_ms;
        }
    }
    else if (h->member_epoch >= own->offset && h->echo_ms > 0) {
        cw_members_set_excluded(d);
    }
}

void
cw_heartbeat_receive(struct cw_daemon *d, struct cw_peer *p,
                     const Cuminwalk__Heartbeat *h, cw_ms now)
{
    struct cw_slot_busy busy[BUSY_VMS_MAX];
    size_t n = h->n_busy < BUSY_VMS_MAX ? h->n_busy : BUSY_VMS_MAX;

    d->peers->heartbeat_bytes_in += cuminwalk__heartbeat__get_packed_size(h) +
                                    ENVELOPE_HEADER_BYTES + FRAME_HEADER_BYTES;
    p->incarnation = h->incarnation;
    p->heard_at = now;
    p->peer_clock = h->sent_ms;
    p->applied = h->applied;
    p->stopping = h->stopping;
    cw_members_mark_alive(d, cw_name_str(&p->daemon), h->incarnation, now);
    apply_seen(d, h, now);
    apply_membership(d, p, h);
    apply_loads(d, p, h);
    apply_drained(p, h);
    apply_health(d, p, h, now);
    for (size_t i = 0; i < n; i++) {
        busy[i].vm_hash = h->busy[i]->vm_hash;
        busy[i].mask = h->busy[i]->mask;
    }
    cw_dispatch_record_heartbeat(d, cw_name_str(&p->daemon), h->incarnation,
                                 h->applied, busy, n, now);
    cw_dispatch_serve_queues(d, CW_LIT(""));
}
