/* Hash lookups of the replicated state, its lists, and the memory of seen
 * record ids. */
#include "cw_index.h"

#include <stdlib.h>
#include <string.h>

void *
cw_need(void *p)
{
    CW_INVARIANT(p != NULL);
    return p;
}

void *
cw_list_grow(void *list, size_t count)
{
    /* Doubles at powers of two, from 16 entries on. */
    if (count == 0) {
        return cw_need(realloc(list, 16 * sizeof(void *)));
    }
    if (count < 16 || (count & (count - 1)) != 0) {
        return list;
    }
    return cw_need(realloc(list, 2 * count * sizeof(void *)));
}

void
cw_index_put(struct cw_map *m, void *entry)
{
    CW_INVARIANT(cw_map_put(m, entry) == CW_OK);
}

/* ---- seen ids ------------------------------------------------------- */

enum { SEEN_MASK = 2 * CW_SEEN_IDS - 1 };

uint64_t
cw_seen_hash(struct cw_str id)
{
    uint64_t h = cw_hash(id, 1);
    return h == 0 ? 1 : h;
}

/* Removes a value and moves later ones of its run up, so that lookups do not
 * stop at the gap. */
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
cw_index(struct cw_state *s)
{
    if (s->index == NULL) {
        s->index = cw_need(calloc(1, sizeof(*s->index)));
    }
    return s->index;
}

struct cw_pool_entry *
cw_index_pool(struct cw_state *s, struct cw_str pool)
{
    struct cw_state_index *x = cw_index(s);
    struct cw_pool_entry *p = cw_map_get(&x->pools, pool);
    if (p == NULL) {
        p = cw_need(calloc(1, sizeof(*p)));
        (void)cw_name_set(&p->pool, pool);
        cw_index_put(&x->pools, p);
        x->pool_list = cw_list_grow(x->pool_list, x->pool_count);
        x->pool_list[x->pool_count++] = p;
    }
    return p;
}

struct cw_pool_entry *
cw_index_scope(const struct cw_state *s, struct cw_str scope)
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
    cw_map_remove(&cw_index(s)->vms, cw_name_str(&e->vm));
    cw_index_pool(s, cw_name_str(&e->pool))->vms--;
    free(e);
}

void
cw_state_add_doc(struct cw_state *s, struct cw_doc_entry *e)
{
    s->docs = (struct cw_doc_entry **)insert_sorted((void **)s->docs,
                                                    s->doc_count, e);
    s->doc_count++;
    cw_index_put(&cw_index(s)->docs, e);
    cw_state_link_doc(s, e);
}

void
cw_state_add_vm(struct cw_state *s, struct cw_vm_entry *e)
{
    s->vms =
        (struct cw_vm_entry **)insert_sorted((void **)s->vms, s->vm_count, e);
    s->vm_count++;
    cw_index_put(&cw_index(s)->vms, e);
    cw_index_pool(s, cw_name_str(&e->pool))->vms++;
}

void
cw_state_add_op(struct cw_state *s, struct cw_op_entry *e)
{
    s->ops = cw_list_grow(s->ops, s->op_count);
    s->ops[s->op_count++] = e;
    cw_index_put(&cw_index(s)->ops, e);
}

void
cw_state_add_wave(struct cw_state *s, struct cw_wave_entry *e)
{
    s->waves = cw_list_grow(s->waves, s->wave_count);
    s->waves[s->wave_count++] = e;
    cw_index_put(&cw_index(s)->waves, e);
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
        /* A quarter at once, so that a flood does not move the list for each
         * edit. */
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
    struct cw_member_entry *m = cw_need(
        realloc(s->members, (s->member_count + 1) * sizeof(*s->members)));
    size_t at = s->member_count;
    while (at > 0 && cw_str_cmp(cw_name_str(&m[at - 1].daemon),
                                cw_name_str(&e->daemon)) > 0) {
        m[at] = m[at - 1];
        at--;
    }
    m[at] = *e;
    s->members = m;
    s->member_count++;
}

static size_t
departed_at(const struct cw_departed *d, const struct cw_name *name)
{
    size_t at = 0;
    while (at < d->count && !cw_name_eq(&d->items[at].name, name)) {
        at++;
    }
    return at;
}

uint64_t
cw_departed_last(const struct cw_departed *d, const struct cw_name *name)
{
    size_t at = departed_at(d, name);
    return at == d->count ? 0 : d->items[at].incarnation;
}

void
cw_departed_add(struct cw_departed *d, const struct cw_name *name,
                uint64_t incarnation)
{
    size_t at = departed_at(d, name);
    if (at == d->count && at == CW_DEPARTED_MAX) {
        at = 0;
    }
    if (at < d->count) {
        d->count--;
        memmove(&d->items[at], &d->items[at + 1],
                (d->count - at) * sizeof(d->items[0]));
    }
    d->items[d->count].name = *name;
    d->items[d->count++].incarnation = incarnation;
}
