/* Partition of an endpoint's slots over the members by rendezvous hashing with
 * bounded loads. */
#include "cw_slots_int.h"

#include <stdlib.h>
#include <string.h>

enum cw_status
cw_slots_hashes_init(struct cw_slots_hashes *s,
                     const struct cw_slot_member *members, size_t count)
{
    memset(s, 0, sizeof(*s));
    CW_INVARIANT(count <= UINT16_MAX);
    s->member = calloc(count + 1, sizeof(uint64_t));
    s->dc = calloc(count + 1, sizeof(uint64_t));
    if (s->member == NULL || s->dc == NULL) {
        return CW_ERR_NOMEM;
    }
    s->count = count;
    for (size_t i = 0; i < count; i++) {
        s->member[i] = cw_hash(cw_name_str(&members[i].daemon), 1);
        s->dc[i] = cw_hash(cw_name_str(&members[i].dc), 2);
    }
    return CW_OK;
}

void
cw_slots_hashes_finish(struct cw_slots_hashes *s)
{
    free(s->member);
    free(s->dc);
}

#define CANDIDATES_MAX 256

/* Members among which an endpoint's slots are divided, and their hashes for
 * the endpoint. Members beyond CANDIDATES_MAX get no slot of any endpoint;
 * every daemon leaves out the same ones. */
struct candidates {
    uint32_t count;
    uint16_t member[CANDIDATES_MAX];
    uint64_t hash[CANDIDATES_MAX];
    uint32_t load[CANDIDATES_MAX];
};

/* Selects the members in the endpoint's data centre, or all members when it
 * has none. */
static void
find_candidates(const struct cw_slots_hashes *s,
                const struct cw_slot_endpoint *ep, struct candidates *c)
{
    uint64_t vm = cw_hash(cw_name_str(&ep->vm), 3);
    uint64_t dc = cw_hash(cw_name_str(&ep->dc), 2);
    c->count = 0;
    for (int any_dc = 0; any_dc < 2 && c->count == 0; any_dc++) {
        for (size_t i = 0; i < s->count && c->count < CANDIDATES_MAX; i++) {
            if (any_dc || s->dc[i] == dc) {
                c->member[c->count] = (uint16_t)i;
                c->hash[c->count] = cw_hash_mix(vm, s->member[i]);
                c->load[c->count] = 0;
                c->count++;
            }
        }
    }
}

bool
cw_slots_assign(const struct cw_slots_hashes *s,
                const struct cw_slot_endpoint *ep, uint32_t load_pct,
                uint16_t owner[static CW_SLOTS_MAX])
{
    struct candidates c;
    find_candidates(s, ep, &c);
    if (c.count == 0) {
        return false;
    }
    uint32_t bound = ep->slots;
    if (load_pct > 0) {
        /* With a bound below the even share some slots would have no owner.
         */
        uint32_t pct = load_pct < 100 ? 100 : load_pct;
        uint32_t divisor = 100 * c.count;
        bound = (ep->slots * pct + divisor - 1) / divisor;
    }
    for (uint32_t slot = 0; slot < ep->slots; slot++) {
        uint32_t best = UINT32_MAX;
        uint64_t best_score = 0;
        for (uint32_t i = 0; i < c.count; i++) {
            uint64_t score = cw_hash_mix(c.hash[i], slot);
            if (c.load[i] < bound &&
                (best == UINT32_MAX || score > best_score)) {
                best = i;
                best_score = score;
            }
        }
        CW_INVARIANT(best != UINT32_MAX);
        c.load[best]++;
        owner[slot] = c.member[best];
    }
    return true;
}

bool
cw_slots_owners(const struct cw_slot_member *members, size_t count,
                const struct cw_slot_endpoint *ep, uint32_t load_pct,
                uint16_t owner[static CW_SLOTS_MAX])
{
    struct cw_slots_hashes s;
    bool ok = cw_slots_hashes_init(&s, members, count) == CW_OK &&
              cw_slots_assign(&s, ep, load_pct, owner);
    cw_slots_hashes_finish(&s);
    return ok;
}
