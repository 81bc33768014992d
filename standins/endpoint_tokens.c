/* Counts runs by request token, in a hash table with open addressing. */
#include "endpoint.h"

#include <stdlib.h>

struct ep_token {
    uint64_t hash; /* 0 = free entry */
    uint32_t runs;
};

static uint64_t
hash_token(struct cw_str token)
{
    uint64_t h = cw_hash(token, 1);
    return h == 0 ? 1 : h;
}

static struct ep_token *
find_entry(const struct ep_tokens *t, uint64_t hash)
{
    size_t i = hash & (t->cap - 1);
    while (t->entries[i].hash != 0 && t->entries[i].hash != hash) {
        i = (i + 1) & (t->cap - 1);
    }
    return &t->entries[i];
}

static void
grow_table(struct ep_tokens *t)
{
    struct ep_tokens old = *t;
    t->cap = old.cap == 0 ? 1024 : old.cap * 2;
    t->entries = calloc(t->cap, sizeof(*t->entries));
    CW_INVARIANT(t->entries != NULL);
    for (size_t i = 0; i < old.cap; i++) {
        if (old.entries[i].hash != 0) {
            *find_entry(t, old.entries[i].hash) = old.entries[i];
        }
    }
    free(old.entries);
}

uint32_t
ep_token_count_run(struct ep_tokens *t, struct cw_str token)
{
    if ((t->count + 1) * 2 > t->cap) {
        grow_table(t);
    }
    struct ep_token *s = find_entry(t, hash_token(token));
    if (s->hash == 0) {
        s->hash = hash_token(token);
        t->count++;
    }
    s->runs++;
    t->ran_twice += s->runs == 2;
    return s->runs;
}

uint32_t
ep_token_runs(const struct ep_tokens *t, struct cw_str token)
{
    return t->cap == 0 ? 0 : find_entry(t, hash_token(token))->runs;
}
