/* Key-value pairs in the scheduler's stream, kept across takeovers. */
#include "cw_jobs_int.h"

#include <stdlib.h>

static struct cw_kv *
find_kv(const struct cw_sched *s, struct cw_str key)
{
    return cw_map_get(&s->kv_map, key);
}

struct cw_str
cw_sched_kv_get(struct cw_sched *s, struct cw_str key)
{
    const struct cw_kv *n = find_kv(s, key);

    return n == NULL ? CW_LIT("") : cw_buf_str(&n->value);
}

static struct cw_kv *
add_kv(struct cw_sched *s, struct cw_str key)
{
    struct cw_kv *n = calloc(1, sizeof(*n));

    if (n == NULL || cw_name_set(&n->key, key) != CW_OK ||
        cw_map_put(&s->kv_map, n) != CW_OK) {
        free(n);
        return NULL;
    }
    n->next = s->kvs;
    if (n->next != NULL) {
        n->next->prev = n;
    }
    s->kvs = n;
    return n;
}

static void
remove_kv(struct cw_sched *s, struct cw_kv *n)
{
    if (n->prev != NULL) {
        n->prev->next = n->next;
    }
    else {
        s->kvs = n->next;
    }
    if (n->next != NULL) {
        n->next->prev = n->prev;
    }
    (void)cw_map_remove(&s->kv_map, cw_name_str(&n->key));
    cw_buf_finish(&n->value);
    free(n);
}

static enum cw_status
store_kv(struct cw_sched *s, struct cw_str key, struct cw_str value,
         bool dirty)
{
    struct cw_kv *n = find_kv(s, key);

    if (key.len < 2 ||
        (key.ptr[0] != CW_KV_WAVE && key.ptr[0] != CW_KV_ORDER)) {
        return CW_ERR_INVALID;
    }
    if (n == NULL) {
        n = add_kv(s, key);
        if (n == NULL) {
            return CW_ERR_NOMEM;
        }
    }
    cw_buf_clear(&n->value);
    cw_buf_add_str(&n->value, value);
    if (dirty && !n->dirty) {
        n->dirty = true;
        n->dirty_next = s->dirty_kvs;
        s->dirty_kvs = n;
    }
    return n->value.failed ? CW_ERR_NOMEM : CW_OK;
}

enum cw_status
cw_sched_kv_set(struct cw_sched *s, struct cw_str key, struct cw_str value)
{
    return store_kv(s, key, value, true);
}

enum cw_status
cw_kv_load(struct cw_sched *s, struct cw_str key, struct cw_str value)
{
    return store_kv(s, key, value, false);
}

bool
cw_kv_changed(const struct cw_sched *s)
{
    return s->dirty_kvs != NULL;
}

void
cw_kv_flush(struct cw_sched *s,
            void (*put)(void *arg, struct cw_str key, struct cw_str value),
            void *arg)
{
    while (s->dirty_kvs != NULL) {
        struct cw_kv *n = s->dirty_kvs;

        s->dirty_kvs = n->dirty_next;
        n->dirty = false;
        put(arg, cw_name_str(&n->key), cw_buf_str(&n->value));
        if (n->value.len == 0) {
            remove_kv(s, n);
        }
    }
}

void
cw_kv_finish(struct cw_sched *s)
{
    while (s->kvs != NULL) {
        remove_kv(s, s->kvs);
    }
    cw_map_finish(&s->kv_map);
}
