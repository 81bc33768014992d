/* Parts of the slot table that its source files share. */
#ifndef CW_SLOTS_INT_H
#define CW_SLOTS_INT_H

#include "cuminwalk.h"

/* What a partition needs of the members: hashes made once per view. */
struct cw_slots_scratch {
    size_t count;
    uint64_t *member; /* hash of the daemon's name */
    uint64_t *dc;     /* hash of its data centre */
};

enum cw_status cw_slots_scratch_init(struct cw_slots_scratch *s,
                                     const struct cw_slot_member *members,
                                     size_t count);
void cw_slots_scratch_finish(struct cw_slots_scratch *s);
/* Sets owner[i] for each slot; false when there are no members. */
bool cw_slots_assign(const struct cw_slots_scratch *s,
                     const struct cw_slot_endpoint *ep, uint32_t load_pct,
                     uint16_t owner[static CW_SLOTS_MAX]);

struct cw_slot_peer *cw_slots_peer(const struct cw_slots *t,
                                   struct cw_str daemon, uint64_t incarnation);
/* Lowest offset that the peers have applied; UINT64_MAX without peers. */
uint64_t cw_slots_applied_min(const struct cw_slots *t);
bool cw_slots_all_applied(const struct cw_slots *t, uint64_t offset);
uint64_t cw_slots_free_mask(const struct cw_slots *t,
                            const struct cw_slot_entry *e);

#endif
