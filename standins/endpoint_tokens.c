/* Runs by request token: a hash table with open addressing. */
#include "endpoint.h"

#include <stdlib.h>

struct ep_token {
    uint64_t hash; /* 0 = free */
    uint32_t runs;
};

static uint64_t
hash_of(struct cw_str token)
{
    uint64_t h = cw_hash(token, 1);
    return h == 0 ? 1 : h;
}

static struct ep_token *
find_slot(const struct ep_tokens *t, uint64_t hash)
{
    size_t i = hash & (t->cap - 1);
    while (t->slots[i].hash != 0 && t->slots[i].hash != hash) {
        i = (i + 1) & (t->cap - 1);
    }
    return &t->slots[i];
}

static void
grow(struct ep_tokens *t)
{
    struct ep_tokens old = *t;
    t->cap = old.cap == 0 ? 1024 : old.cap * 2;
    t->slots = calloc(t->cap, sizeof(*t->slots));
    CW_INVARIANT(t->slots != NULL);
    for (size_t i = 0; i < old.cap; i++) {
        if (old.slots[i].hash != 0) {
            *find_slot(t, old.slots[i].hash) = old.slots[i];
        }
    }
    free(old.slots);
}

uint32_t
ep_token_add(struct ep_tokens *t, struct cw_str token)
{
    if ((t->count + 1) * 2 > t->cap) {
        grow(t);
    }
    struct ep_token *s = find_slot(t, hash_of(token));
    if (s->hash == 0) {
        s->hash = hash_of(token);
        t->count++;
    }
    s->runs++;
    t->twice += s->runs == 2;
    return s->runs;
}

uint32_t
ep_token_runs(const struct ep_tokens *t, struct cw_str token)
{
    return t->cap == 0 ? 0 : find_slot(t, hash_of(token))->runs;
}
