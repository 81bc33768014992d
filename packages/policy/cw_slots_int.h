/* Internals of the slot table, shared by its source files. */
#ifndef CW_SLOTS_INT_H
#define CW_SLOTS_INT_H

#include "cuminwalk.h"

/* Hashes of the members, computed once per view for all endpoints. */
struct cw_slots_hashes {
    size_t count;
    uint64_t *member; /* of the daemon's name */
    uint64_t *dc;     /* of its data centre */
};

enum cw_status cw_slots_hashes_init(struct cw_slots_hashes *s,
                                    const struct cw_slot_member *members,
                                    size_t count);
void cw_slots_hashes_finish(struct cw_slots_hashes *s);
/* Sets owner[i] to the index of the member that owns slot i; false when there
 * are no members. */
bool cw_slots_assign(const struct cw_slots_hashes *s,
                     const struct cw_slot_endpoint *ep, uint32_t load_pct,
                     uint16_t owner[static CW_SLOTS_MAX]);

struct cw_slot_peer *cw_slots_peer(const struct cw_slots *t,
                                   struct cw_str daemon, uint64_t incarnation);
/* Lowest log offset applied over all peers; UINT64_MAX without peers. */
uint64_t cw_slots_applied_min(const struct cw_slots *t);
bool cw_slots_all_applied(const struct cw_slots *t, uint64_t offset);
uint64_t cw_slots_free_mask(const struct cw_slots *t,
                            const struct cw_slot_entry *e);

#endif
