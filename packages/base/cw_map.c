/* Hash map with open addressing and linear probing. */
#include "cw_map.h"

#include <stdlib.h>
#include <string.h>

#define MAP_SEED 0x6d61705f73656564u
#define MAP_MIN_CAP 16

static char tombstone;
#define TOMBSTONE ((void *)&tombstone)

void
cw_map_init(struct cw_map *m)
{
    memset(m, 0, sizeof(*m));
}

void
cw_map_finish(struct cw_map *m)
{
    free(m->slots);
    memset(m, 0, sizeof(*m));
}

static struct cw_str
entry_name(const void *entry)
{
    return cw_name_str((const struct cw_name *)entry);
}

/* Returns the index of the name's slot, or cap when the name is absent. */
static size_t
find_slot(const struct cw_map *m, struct cw_str name)
{
    if (m->cap == 0) {
        return 0;
    }
    size_t i = cw_hash(name, MAP_SEED) & (m->cap - 1);
    while (m->slots[i] != NULL) {
        void *e = m->slots[i];
        if (e != TOMBSTONE && cw_str_eq(entry_name(e), name)) {
            return i;
        }
        i = (i + 1) & (m->cap - 1);
    }
    return m->cap;
}

void *
cw_map_get(const struct cw_map *m, struct cw_str name)
{
    size_t i = find_slot(m, name);
    return i == m->cap ? NULL : m->slots[i];
}

static void
insert_entry(void **slots, size_t cap, void *entry)
{
    size_t i = cw_hash(entry_name(entry), MAP_SEED) & (cap - 1);
    while (slots[i] != NULL && slots[i] != TOMBSTONE) {
        i = (i + 1) & (cap - 1);
    }
    slots[i] = entry;
}

static enum cw_status
grow(struct cw_map *m)
{
    size_t cap = MAP_MIN_CAP;
    while (cap < m->count * 3 + 3) {
        cap *= 2;
    }
    void **slots = calloc(cap, sizeof(*slots));
    if (slots == NULL) {
        return CW_ERR_NOMEM;
    }
    for (size_t i = 0; i < m->cap; i++) {
        if (m->slots[i] != NULL && m->slots[i] != TOMBSTONE) {
            insert_entry(slots, cap, m->slots[i]);
        }
    }
    free(m->slots);
    m->slots = slots;
    m->cap = cap;
    m->used = m->count;
    return CW_OK;
}

enum cw_status
cw_map_put(struct cw_map *m, void *entry)
{
    /* At least a quarter of the slots stays empty, so that each probe ends. */
    if ((m->used + 1) * 4 > m->cap * 3) {
        enum cw_status s = grow(m);
        if (s != CW_OK) {
            return s;
        }
    }
    insert_entry(m->slots, m->cap, entry);
    m->count++;
    m->used++;
    return CW_OK;
}

void *
cw_map_remove(struct cw_map *m, struct cw_str name)
{
    size_t i = find_slot(m, name);
    if (i == m->cap) {
        return NULL;
    }
    void *e = m->slots[i];
    m->slots[i] = TOMBSTONE;
    m->count--;
    return e;
}
