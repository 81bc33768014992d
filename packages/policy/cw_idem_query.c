/* Idempotency intents of one stream: queries. */
#include "cw_idem_int.h"

uint64_t
cw_idem_hash(struct cw_str service, struct cw_str key)
{
    return cw_hash_mix(cw_hash(service, 0), cw_hash(key, 0));
}

uint32_t
cw_idem_home_bucket(uint64_t hash, uint32_t cap)
{
    /* Mixed first, because all hashes of a stream are equal modulo
     * key_streams. */
    return (uint32_t)(cw_hash_mix(hash, 0) % cap);
}

bool
cw_idem_in_window(const struct cw_idem *t, const struct cw_idem_item *it,
                  cw_ms time)
{
    return it->time > time - t->params.window_ms;
}

struct cw_idem_item *
cw_idem_lookup(const struct cw_idem *t, uint64_t hash)
{
    if (t->cap == 0) {
        return NULL;
    }
    uint32_t i = cw_idem_home_bucket(hash, t->cap);
    while (t->items[i].state != CW_ITEM_EMPTY) {
        if (t->items[i].hash == hash) {
            return &t->items[i];
        }
        i = (i + 1) % t->cap;
    }
    return NULL;
}

const struct cw_idem_item *
cw_idem_find(const struct cw_idem *t, uint64_t hash, cw_ms time)
{
    const struct cw_idem_item *it = cw_idem_lookup(t, hash);
    return it != NULL && it->state != CW_ITEM_RELEASED &&
                   cw_idem_in_window(t, it, time)
               ? it
               : NULL;
}

size_t
cw_idem_memory(const struct cw_idem *t)
{
    return sizeof(*t) + (size_t)t->cap * sizeof(struct cw_idem_item);
}
