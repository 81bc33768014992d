/* Indexes of the replicated state, its lists, and the set of recent record
 * ids. */
#include "cw_index.h"

#include <stdlib.h>
#include <string.h>

void *
cw_check_alloc(void *p)
{
    CW_INVARIANT(p != NULL);
    return p;
}

void *
cw_list_grow(void *list, size_t count)
{
    /* The capacity is 16 and doubles whenever count reaches it. */
    if (count == 0) {
        return cw_check_alloc(realloc(list, 16 * sizeof(void *)));
    }
    if (count < 16 || (count & (count - 1)) != 0) {
        return list;
    }
    return cw_check_alloc(realloc(list, 2 * count * sizeof(void *)));
}

void
cw_index_put(struct cw_map *m, void *entry)
{
    CW_INVARIANT(cw_map_put(m, entry) == CW_OK);
}

/* ---- recent record ids ---------------------------------------------- */

enum { SEEN_MASK = 2 * CW_SEEN_IDS - 1 };

uint64_t
cw_seen_hash(struct cw_str id)
{
    uint64_t h = cw_hash(id, 1);
    return h == 0 ? 1 : h;
}

/* Removes a value from the hash set and shifts later values of its probe
 * sequence back, so that lookups do not end at the empty slot. */
static void
seen_remove(struct cw_state_index *x, uint64_t hash)
{
    size_t i = hash & SEEN_MASK;
    while (x->seen_set[i] != hash) {
        i = (i + 1) & SEEN_MASK;
    }
    size_t k = i;
    for (;;) {
        k = (k + 1) & SEEN_MASK;
        if (x->seen_set[k] == 0) {
            break;
        }
        size_t home = x->seen_set[k] & SEEN_MASK;
        if (((k - home) & SEEN_MASK) >= ((k - i) & SEEN_MASK)) {
            x->seen_set[i] = x->seen_set[k];
            i = k;
        }
    }
    x->seen_set[i] = 0;
}

bool
cw_seen_add(struct cw_state_index *x, uint64_t hash)
{
    size_t i = hash & SEEN_MASK;
    while (x->seen_set[i] != 0) {
        if (x->seen_set[i] == hash) {
            return false;
        }
        i = (i + 1) & SEEN_MASK;
    }
    x->seen_set[i] = hash;
    if (x->seen_count == CW_SEEN_IDS) {
        seen_remove(x, x->seen_ring[x->seen_first]);
        x->seen_ring[x->seen_first] = hash;
        x->seen_first = (x->seen_first + 1) % CW_SEEN_IDS;
        return true;
    }
    x->seen_ring[(x->seen_first + x->seen_count) % CW_SEEN_IDS] = hash;
    x->seen_count++;
    return true;
}

/* ---- lists ---------------------------------------------------------- */

struct cw_state_index *
cw_index_get(struct cw_state *s)
{
    if (s->index == NULL) {
        s->index = cw_check_alloc(calloc(1, sizeof(*s->index)));
    }
    return s->index;
}

struct cw_pool_entry *
cw_index_pool(struct cw_state *s, struct cw_str pool)
{
    struct cw_state_index *x = cw_index_get(s);
    struct cw_pool_entry *p = cw_map_get(&x->pools, pool);
    if (p == NULL) {
        p = cw_check_alloc(calloc(1, sizeof(*p)));
        (void)cw_name_set(&p->pool, pool);
        cw_index_put(&x->pools, p);
        x->pool_list = cw_list_grow(x->pool_list, x->pool_count);
        x->pool_list[x->pool_count++] = p;
    }
    return p;
}

struct cw_pool_entry *
cw_index_scope_pool(const struct cw_state *s, struct cw_str scope)
{
    struct cw_str prefix = CW_LIT("pool/");
    if (s->index == NULL || !cw_str_starts(scope, prefix)) {
        return NULL;
    }
    return cw_map_get(
        &s->index->pools,
        (struct cw_str){scope.ptr + prefix.len, scope.len - prefix.len});
}

static struct cw_str
entry_name(const void *entry)
{
    return cw_name_str((const struct cw_name *)entry);
}

/* Inserts an entry into a list of pointers sorted by name. */
static void **
insert_sorted(void **list, size_t count, void *entry)
{
    list = cw_list_grow(list, count);
    size_t lo = 0, hi = count;
    while (lo < hi) {
        size_t mid = (lo + hi) / 2;
        if (cw_str_cmp(entry_name(list[mid]), entry_name(entry)) < 0) {
            lo = mid + 1;
        }
        else {
            hi = mid;
        }
    }
    memmove(list + lo + 1, list + lo, (count - lo) * sizeof(*list));
    list[lo] = entry;
    return list;
}

void
cw_state_link_doc(struct cw_state *s, struct cw_doc_entry *e)
{
    cw_index_pool(s, cw_name_str(&e->doc.pool))->doc = e;
}

void
cw_state_remove_vm(struct cw_state *s, struct cw_vm_entry *e)
{
    size_t i = 0;
    while (s->vms[i] != e) {
        i++;
    }
    s->vm_count--;
    memmove(&s->vms[i], &s->vms[i + 1],
            (s->vm_count - i) * sizeof(struct cw_vm_entry *));
    cw_map_remove(&cw_index_get(s)->vms, cw_name_str(&e->vm));
    cw_index_pool(s, cw_name_str(&e->pool))->vms--;
    free(e);
}

void
cw_state_add_doc(struct cw_state *s, struct cw_doc_entry *e)
{
    s->docs = (struct cw_doc_entry **)insert_sorted((void **)s->docs,
                                                    s->doc_count, e);
    s->doc_count++;
    cw_index_put(&cw_index_get(s)->docs, e);
    cw_state_link_doc(s, e);
}

void
cw_state_add_vm(struct cw_state *s, struct cw_vm_entry *e)
{
    s->vms =
        (struct cw_vm_entry **)insert_sorted((void **)s->vms, s->vm_count, e);
    s->vm_count++;
    cw_index_put(&cw_index_get(s)->vms, e);
    cw_index_pool(s, cw_name_str(&e->pool))->vms++;
}

void
cw_state_add_op(struct cw_state *s, struct cw_op_entry *e)
{
    s->ops = cw_list_grow(s->ops, s->op_count);
    s->ops[s->op_count++] = e;
    cw_index_put(&cw_index_get(s)->ops, e);
}

void
cw_state_add_wave(struct cw_state *s, struct cw_wave_entry *e)
{
    s->waves = cw_list_grow(s->waves, s->wave_count);
    s->waves[s->wave_count++] = e;
    cw_index_put(&cw_index_get(s)->waves, e);
    if (e->closed == 0) {
        struct cw_str scope = cw_name_str(&e->scope);
        struct cw_str pool = {scope.ptr + 5, scope.len - 5};
        cw_index_pool(s, pool)->wave = e;
    }
}

void
cw_state_add_edit(struct cw_state *s, struct cw_edit_entry *e)
{
    if (s->edit_count == CW_EDITS_MAX) {
        /* Drops a quarter at once: one at a time, a flood of edits would move
         * the whole list for each edit. */
        size_t drop = CW_EDITS_MAX / 4;
        for (size_t i = 0; i < drop; i++) {
            free(s->edits[i]);
        }
        s->edit_count -= drop;
        memmove(s->edits, s->edits + drop,
                s->edit_count * sizeof(struct cw_edit_entry *));
    }
    else {
        s->edits = cw_list_grow(s->edits, s->edit_count);
    }
    s->edits[s->edit_count++] = e;
}

void
cw_state_add_stat(struct cw_state *s, struct cw_rec_stat *e)
{
    s->stats = cw_list_grow(s->stats, s->stat_count);
    s->stats[s->stat_count++] = e;
}

void
cw_state_add_member(struct cw_state *s, const struct cw_member_entry *e)
{
    struct cw_member_entry *m = cw_check_alloc(
        realloc(s->members, (s->member_count + 1) * sizeof(*s->members)));
    size_t i = s->member_count;
    while (i > 0 && cw_str_cmp(cw_name_str(&m[i - 1].daemon),
                               cw_name_str(&e->daemon)) > 0) {
        m[i] = m[i - 1];
        i--;
    }
    m[i] = *e;
    s->members = m;
    s->member_count++;
}

/* Index of the entry with the name, d->count when there is none. */
static size_t
find_departed(const struct cw_departed *d, const struct cw_name *name)
{
    size_t i = 0;
    while (i < d->count && !cw_name_eq(&d->items[i].name, name)) {
        i++;
    }
    return i;
}

uint64_t
cw_departed_incarnation(const struct cw_departed *d,
                        const struct cw_name *name)
{
    size_t i = find_departed(d, name);
    return i == d->count ? 0 : d->items[i].incarnation;
}

void
cw_departed_add(struct cw_departed *d, const struct cw_name *name,
                uint64_t incarnation)
{
    size_t i = find_departed(d, name);
    if (i == d->count && i == CW_DEPARTED_MAX) {
        i = 0;
    }
    if (i < d->count) {
        d->count--;
        memmove(&d->items[i], &d->items[i + 1],
                (d->count - i) * sizeof(d->items[0]));
    }
    d->items[d->count].name = *name;
    d->items[d->count++].incarnation = incarnation;
}
