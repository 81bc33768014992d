/* Slot table of one daemon: queries. */
#include "cw_slots_int.h"

struct cw_slot_peer *
cw_slots_peer(const struct cw_slots *t, struct cw_str daemon,
              uint64_t incarnation)
{
    for (size_t i = 0; i < t->peer_count; i++) {
        if (t->peers[i].incarnation == incarnation &&
            cw_str_eq(cw_name_str(&t->peers[i].daemon), daemon)) {
            return &t->peers[i];
        }
    }
    return NULL;
}

uint64_t
cw_slots_applied_min(const struct cw_slots *t)
{
    uint64_t min = UINT64_MAX;
    for (size_t i = 0; i < t->peer_count; i++) {
        if (t->peers[i].applied < min) {
            min = t->peers[i].applied;
        }
    }
    return min;
}

bool
cw_slots_all_applied(const struct cw_slots *t, uint64_t offset)
{
    return cw_slots_applied_min(t) >= offset;
}

uint64_t
cw_slots_free_mask(const struct cw_slots *t, const struct cw_slot_entry *e)
{
    return t->confirmed ? e->held & ~e->pending & ~e->in_use : 0;
}

struct cw_slot_entry *
cw_slots_find(const struct cw_slots *t, struct cw_str vm)
{
    size_t lo = 0;
    size_t hi = t->count;
    while (lo < hi) {
        size_t mid = lo + (hi - lo) / 2;
        int c = cw_str_cmp(cw_name_str(&t->items[mid]->vm), vm);
        if (c == 0) {
            return t->items[mid];
        }
        if (c < 0) {
            lo = mid + 1;
        }
        else {
            hi = mid;
        }
    }
    return NULL;
}

uint32_t
cw_slots_free_count(const struct cw_slots *t, const struct cw_slot_entry *e)
{
    return (uint32_t)__builtin_popcountll(cw_slots_free_mask(t, e));
}

uint32_t
cw_slots_usable_count(const struct cw_slots *t, const struct cw_slot_entry *e)
{
    return t->confirmed ? (uint32_t)__builtin_popcountll(e->held & ~e->pending)
                        : 0;
}

size_t
cw_slots_busy(const struct cw_slots *t, struct cw_slot_busy *out, size_t max)
{
    size_t n = 0;
    if (!t->params.report_lost_in_use) {
        return 0;
    }
    for (size_t i = 0; i < t->count; i++) {
        const struct cw_slot_entry *e = t->items[i];
        /* A slot that was lost while in use and then gained back is reported
         * until it is usable: the member that held it in between may not have
         * applied the second change yet. */
        uint64_t mask = e->in_use & ~(e->held & ~e->pending);
        if (mask == 0) {
            continue;
        }
        if (n < max) {
            out[n] = (struct cw_slot_busy){
                cw_slots_vm_hash(cw_name_str(&e->vm)), mask};
        }
        n++;
    }
    return n;
}

uint64_t
cw_slots_vm_hash(struct cw_str vm)
{
    return cw_hash(vm, 0);
}

size_t
cw_slots_memory(const struct cw_slots *t)
{
    size_t n = sizeof(*t) + t->count * (sizeof(struct cw_slot_entry *) +
                                        sizeof(struct cw_slot_entry));
    for (size_t i = 0; i < t->peer_count; i++) {
        n += sizeof(t->peers[i]) +
             t->peers[i].busy_count * sizeof(struct cw_slot_busy);
    }
    return n;
}
