/* Queries of the replicated state. */
#include "cw_index.h"

const struct cw_doc_entry *
cw_state_doc(const struct cw_state *s, struct cw_str service)
{
    return s->index == NULL ? NULL : cw_map_get(&s->index->docs, service);
}

const struct cw_doc_entry *
cw_state_doc_of_pool(const struct cw_state *s, struct cw_str pool)
{
    const struct cw_pool_entry *p =
        s->index == NULL ? NULL : cw_map_get(&s->index->pools, pool);
    return p == NULL ? NULL : p->doc;
}

const struct cw_vm_entry *
cw_state_vm(const struct cw_state *s, struct cw_str vm)
{
    return s->index == NULL ? NULL : cw_map_get(&s->index->vms, vm);
}

const struct cw_op_entry *
cw_state_op(const struct cw_state *s, struct cw_str op)
{
    return s->index == NULL ? NULL : cw_map_get(&s->index->ops, op);
}

const struct cw_wave_entry *
cw_state_open_wave(const struct cw_state *s, struct cw_str scope)
{
    const struct cw_pool_entry *p = cw_index_scope_pool(s, scope);
    return p == NULL ? NULL : p->wave;
}

const struct cw_member_entry *
cw_state_member(const struct cw_state *s, struct cw_str daemon)
{
    for (size_t i = 0; i < s->member_count; i++) {
        if (cw_str_eq(cw_name_str(&s->members[i].daemon), daemon)) {
            return &s->members[i];
        }
    }
    return NULL;
}

const struct cw_member_entry *
cw_state_holder(const struct cw_state *s, struct cw_str scope)
{
    /* Rendezvous hashing by daemon name. The members are sorted, so that a tie
     * goes to the same daemon on every replica. */
    const struct cw_member_entry *best = NULL;
    uint64_t highest = 0;
    uint64_t key = cw_hash(scope, 0);
    for (size_t i = 0; i < s->member_count; i++) {
        uint64_t h =
            cw_hash_mix(key, cw_hash(cw_name_str(&s->members[i].daemon), 0));
        if (best == NULL || h > highest) {
            best = &s->members[i];
            highest = h;
        }
    }
    return best;
}

size_t
cw_state_pool_size(const struct cw_state *s, struct cw_str pool)
{
    const struct cw_pool_entry *p =
        s->index == NULL ? NULL : cw_map_get(&s->index->pools, pool);
    return p == NULL ? 0 : p->vms;
}

static void
mix_part(void *ctx, struct cw_str items)
{
    uint64_t *digest = ctx;
    *digest = cw_hash_mix(*digest, cw_hash(items, 0));
}

uint64_t
cw_state_digest(const struct cw_state *s)
{
    uint64_t digest = s->applied;
    enum cw_status st =
        cw_state_export(s, (size_t)4 * CW_PART_MIN, mix_part, &digest);
    CW_INVARIANT(st == CW_OK);
    return digest;
}
