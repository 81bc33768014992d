/* Slot table of one daemon: functions that change it. */
#include "cuminwalk.h"
#include "cw_slots_int.h"

#include <stdlib.h>
#include <string.h>

struct cw_slots_params
cw_slots_defaults(void)
{
    return (struct cw_slots_params){.load_pct = 100,
                                    .guard_ms = 4000,
                                    .silent_ms = 3000,
                                    .wait_for_peers = true,
                                    .early_release = true,
                                    .report_lost_in_use = true};
}

void
cw_slots_init(struct cw_slots *t, struct cw_str self, uint64_t incarnation,
              struct cw_slots_params params)
{
    memset(t, 0, sizeof(*t));
    t->params = params;
    t->incarnation = incarnation;
    t->lapse_applied_by_peers = -1;
    CW_INVARIANT(cw_name_set(&t->self, self) == CW_OK);
}

static void
free_peers(struct cw_slots *t)
{
    for (size_t i = 0; i < t->peer_count; i++) {
        free(t->peers[i].busy);
    }
    free(t->peers);
    t->peers = NULL;
    t->peer_count = 0;
}

void
cw_slots_finish(struct cw_slots *t)
{
    for (size_t i = 0; i < t->count; i++) {
        free(t->items[i]);
    }
    free(t->items);
    free_peers(t);
    memset(t, 0, sizeof(*t));
}

static void
clear_held(struct cw_slots *t)
{
    for (size_t i = 0; i < t->count; i++) {
        t->items[i]->held = 0;
        t->items[i]->pending = 0;
        t->items[i]->connections = 0;
    }
    t->pending_count = 0;
}

void
cw_slots_reset(struct cw_slots *t, uint64_t incarnation)
{
    clear_held(t);
    free_peers(t);
    t->incarnation = incarnation;
    t->confirmed = false;
    t->offset = 0;
}

void
cw_slots_set_confirmed(struct cw_slots *t, bool confirmed)
{
    t->confirmed = confirmed;
}

/* Rebuilds the list of peers from the view. Members that stay keep their
 * recorded heartbeat state. */
static enum cw_status
update_peers(struct cw_slots *t, const struct cw_slots_view *v)
{
    struct cw_slot_peer *peers = calloc(v->member_count + 1, sizeof(*peers));
    if (peers == NULL) {
        return CW_ERR_NOMEM;
    }
    size_t n = 0;
    for (size_t i = 0; i < v->member_count; i++) {
        const struct cw_slot_member *m = &v->members[i];
        if (cw_name_eq(&m->daemon, &t->self)) {
            continue;
        }
        struct cw_slot_peer *old =
            cw_slots_peer(t, cw_name_str(&m->daemon), m->incarnation);
        if (old != NULL) {
            peers[n] = *old;
            old->busy = NULL;
        }
        else {
            peers[n].daemon = m->daemon;
            peers[n].incarnation = m->incarnation;
        }
        n++;
    }
    free_peers(t);
    t->peers = peers;
    t->peer_count = n;
    return CW_OK;
}

/* Index of this daemon among the members, or -1. */
static int
self_index(const struct cw_slots *t, const struct cw_slots_view *v)
{
    for (size_t i = 0; i < v->member_count; i++) {
        if (v->members[i].incarnation == t->incarnation &&
            cw_name_eq(&v->members[i].daemon, &t->self)) {
            return (int)i;
        }
    }
    return -1;
}

static void
update_held(struct cw_slot_entry *e, const struct cw_slot_endpoint *ep,
            uint64_t held, uint64_t offset, cw_ms now)
{
    uint64_t gained = held & ~e->held;
    e->held = held;
    e->pending &= held;
    if (gained != 0) {
        e->pending |= gained;
        e->gain_offset = offset;
        e->gained = now;
    }
    e->slots = ep->slots;
    e->connections =
        ep->connections * (uint32_t)__builtin_popcountll(held) / ep->slots;
    e->gone = false;
}

static void
apply_endpoint(struct cw_slots *t, const struct cw_slots_view *v,
               struct cw_slots_hashes *hashes, int self,
               const struct cw_slot_endpoint *ep, struct cw_slot_entry *e,
               cw_ms now)
{
    uint16_t owner[CW_SLOTS_MAX];
    uint64_t held = 0;
    if (self >= 0 && cw_slots_assign(hashes, ep, t->params.load_pct, owner)) {
        for (uint32_t s = 0; s < ep->slots; s++) {
            if (owner[s] == self) {
                held |= UINT64_C(1) << s;
            }
        }
    }
    update_held(e, ep, held, v->offset, now);
}

/* Handles an entry whose endpoint left the view: keeps it while a slot is in
 * use, else frees it. Returns true when it is kept. */
static bool
retire_entry(struct cw_slot_entry *e)
{
    e->held = 0;
    e->pending = 0;
    e->connections = 0;
    e->gone = true;
    if (e->in_use != 0) {
        return true;
    }
    free(e);
    return false;
}

static struct cw_slot_entry *
new_entry(const struct cw_slot_endpoint *ep)
{
    struct cw_slot_entry *e = calloc(1, sizeof(*e));
    if (e != NULL) {
        e->vm = ep->vm;
    }
    return e;
}

static bool
entry_precedes(const struct cw_slot_entry *e,
               const struct cw_slot_endpoint *ep)
{
    return cw_str_cmp(cw_name_str(&e->vm), cw_name_str(&ep->vm)) < 0;
}

/* Updates the entries to the view by merging the two sorted lists. */
static enum cw_status
merge_endpoints(struct cw_slots *t, const struct cw_slots_view *v,
                struct cw_slots_hashes *hashes, int self, cw_ms now)
{
    struct cw_slot_entry **out = calloc(t->count + v->endpoint_count + 1,
                                        sizeof(struct cw_slot_entry *));
    if (out == NULL) {
        return CW_ERR_NOMEM;
    }
    enum cw_status st = CW_OK;
    size_t i = 0;
    size_t j = 0;
    size_t n = 0;
    while (i < t->count || j < v->endpoint_count) {
        if (j == v->endpoint_count ||
            (i < t->count && entry_precedes(t->items[i], &v->endpoints[j]))) {
            struct cw_slot_entry *old = t->items[i++];
            if (retire_entry(old)) {
                out[n++] = old;
            }
            continue;
        }
        const struct cw_slot_endpoint *ep = &v->endpoints[j];
        bool in_both = i < t->count && cw_name_eq(&t->items[i]->vm, &ep->vm);
        struct cw_slot_entry *e = in_both ? t->items[i++] : new_entry(ep);
        j++;
        if (e == NULL) {
            st = CW_ERR_NOMEM;
            continue;
        }
        CW_INVARIANT(ep->slots > 0 && ep->slots <= CW_SLOTS_MAX);
        apply_endpoint(t, v, hashes, self, ep, e, now);
        out[n++] = e;
    }
    free(t->items);
    t->items = out;
    t->count = n;
    return st;
}

static void
count_pending(struct cw_slots *t)
{
    t->pending_count = 0;
    for (size_t i = 0; i < t->count; i++) {
        t->pending_count += t->items[i]->pending != 0;
    }
}

enum cw_status
cw_slots_update(struct cw_slots *t, const struct cw_slots_view *view,
                cw_ms now)
{
    struct cw_slots_hashes hashes;
    enum cw_status st =
        cw_slots_hashes_init(&hashes, view->members, view->member_count);
    if (st == CW_OK) {
        st = update_peers(t, view);
    }
    if (st == CW_OK) {
        st = merge_endpoints(t, view, &hashes, self_index(t, view), now);
    }
    cw_slots_hashes_finish(&hashes);
    if (view->lapse || t->offset == 0) {
        t->lapse_offset = view->offset;
        t->lapse_applied = now;
        t->lapse_applied_by_peers = -1;
    }
    t->offset = view->offset;
    if (st != CW_OK) {
        clear_held(t);
        return st;
    }
    count_pending(t);
    return CW_OK;
}

enum cw_status
cw_slots_record_heartbeat(struct cw_slots *t, struct cw_str daemon,
                          uint64_t incarnation, uint64_t applied,
                          const struct cw_slot_busy *busy, size_t busy_count,
                          cw_ms now)
{
    struct cw_slot_peer *p = cw_slots_peer(t, daemon, incarnation);
    if (p == NULL || applied < p->applied) {
        return CW_OK;
    }
    struct cw_slot_busy *copy = NULL;
    if (busy_count > 0) {
        copy = calloc(busy_count, sizeof(*copy));
        if (copy == NULL) {
            return CW_ERR_NOMEM;
        }
        memcpy(copy, busy, busy_count * sizeof(*copy));
    }
    free(p->busy);
    p->busy = copy;
    p->busy_count = busy_count;
    p->applied = applied;
    if (t->lapse_applied_by_peers < 0 &&
        cw_slots_all_applied(t, t->lapse_offset)) {
        t->lapse_applied_by_peers = now;
    }
    return CW_OK;
}

/* True when the member excluded by the last lapse can no longer consider
 * itself confirmed. */
static bool
lapse_guard_passed(const struct cw_slots *t, cw_ms now)
{
    return now >= t->lapse_applied + t->params.guard_ms &&
           t->lapse_applied_by_peers >= 0 &&
           now >= t->lapse_applied_by_peers + t->params.silent_ms;
}

/* Slots of an endpoint that peers have lost but still use. */
static uint64_t
peers_busy_mask(const struct cw_slots *t, const struct cw_slot_entry *e)
{
    uint64_t hash = cw_slots_vm_hash(cw_name_str(&e->vm));
    uint64_t mask = 0;
    for (size_t i = 0; i < t->peer_count; i++) {
        for (size_t k = 0; k < t->peers[i].busy_count; k++) {
            if (t->peers[i].busy[k].vm_hash == hash) {
                mask |= t->peers[i].busy[k].mask;
            }
        }
    }
    return mask;
}

/* Pending slots of an entry that may become usable now. */
static uint64_t
activatable_mask(const struct cw_slots *t, const struct cw_slot_entry *e,
                 uint64_t applied_min, bool lapse_passed, cw_ms now)
{
    if (!t->params.wait_for_peers) {
        return now >= e->gained + t->params.guard_ms ? e->pending : 0;
    }
    if (applied_min < e->gain_offset || !lapse_passed) {
        return 0;
    }
    if (!t->params.early_release && now < e->gained + t->params.guard_ms) {
        return 0;
    }
    return e->pending & ~peers_busy_mask(t, e);
}

size_t
cw_slots_activate_pending(struct cw_slots *t, cw_ms now)
{
    size_t n = 0;
    if (t->pending_count == 0) {
        return 0;
    }
    if (t->lapse_applied_by_peers < 0 &&
        cw_slots_all_applied(t, t->lapse_offset)) {
        t->lapse_applied_by_peers = now;
    }
    uint64_t applied_min = cw_slots_applied_min(t);
    bool lapse_passed = lapse_guard_passed(t, now);
    for (size_t i = 0; i < t->count; i++) {
        struct cw_slot_entry *e = t->items[i];
        if (e->pending == 0) {
            continue;
        }
        uint64_t activated =
            activatable_mask(t, e, applied_min, lapse_passed, now);
        n += (size_t)__builtin_popcountll(activated);
        e->pending &= ~activated;
        t->pending_count -= e->pending == 0;
    }
    return n;
}

int
cw_slots_acquire(struct cw_slots *t, struct cw_slot_entry *e)
{
    uint64_t free_mask = cw_slots_free_mask(t, e);
    if (free_mask == 0) {
        return -1;
    }
    int slot = __builtin_ctzll(free_mask);
    e->in_use |= UINT64_C(1) << slot;
    return slot;
}

static void
remove_entry(struct cw_slots *t, struct cw_slot_entry *e)
{
    for (size_t i = 0; i < t->count; i++) {
        if (t->items[i] == e) {
            memmove(&t->items[i], &t->items[i + 1],
                    (t->count - i - 1) * sizeof(struct cw_slot_entry *));
            t->count--;
            free(e);
            return;
        }
    }
}

void
cw_slots_release(struct cw_slots *t, struct cw_slot_entry *e, int slot)
{
    CW_INVARIANT(slot >= 0 && slot < CW_SLOTS_MAX);
    uint64_t bit = UINT64_C(1) << slot;
    CW_INVARIANT((e->in_use & bit) != 0);
    e->in_use &= ~bit;
    if (e->gone && e->in_use == 0) {
        remove_entry(t, e);
    }
}
