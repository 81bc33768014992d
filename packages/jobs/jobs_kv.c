/* Key-value pairs in the scheduler's stream, kept across takeovers. */
#include "cw_jobs_int.h"

#include <stdlib.h>

static struct cw_kv **
find_kv(struct cw_sched *s, struct cw_str key)
{
    struct cw_kv **at = &s->kvs;

    while (*at != NULL && !cw_str_eq(cw_name_str(&(*at)->key), key)) {
        at = &(*at)->next;
    }
    return at;
}

struct cw_str
cw_sched_kv_get(struct cw_sched *s, struct cw_str key)
{
    const struct cw_kv *n = *find_kv(s, key);

    return n == NULL ? CW_LIT("") : cw_buf_str(&n->value);
}

static enum cw_status
store_kv(struct cw_sched *s, struct cw_str key, struct cw_str value,
         bool dirty)
{
    struct cw_kv *n = *find_kv(s, key);

    if (key.len < 2 ||
        (key.ptr[0] != CW_KV_WAVE && key.ptr[0] != CW_KV_ORDER)) {
        return CW_ERR_INVALID;
    }
    if (n == NULL) {
        n = calloc(1, sizeof(*n));
        if (n == NULL || cw_name_set(&n->key, key) != CW_OK) {
            free(n);
            return CW_ERR_NOMEM;
        }
        n->next = s->kvs;
        s->kvs = n;
    }
    cw_buf_clear(&n->value);
    cw_buf_add_str(&n->value, value);
    n->dirty = dirty;
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
    for (const struct cw_kv *n = s->kvs; n != NULL; n = n->next) {
        if (n->dirty) {
            return true;
        }
    }
    return false;
}

static void
free_kv(struct cw_kv *n)
{
    cw_buf_finish(&n->value);
    free(n);
}

void
cw_kv_flush(struct cw_sched *s,
            void (*put)(void *arg, struct cw_str key, struct cw_str value),
            void *arg)
{
    struct cw_kv **at = &s->kvs;

    while (*at != NULL) {
        struct cw_kv *n = *at;

        if (n->dirty) {
            put(arg, cw_name_str(&n->key), cw_buf_str(&n->value));
            n->dirty = false;
        }
        if (n->value.len == 0) {
            *at = n->next;
            free_kv(n);
        }
        else {
            at = &n->next;
        }
    }
}

void
cw_kv_finish(struct cw_sched *s)
{
    while (s->kvs != NULL) {
        struct cw_kv *n = s->kvs;

        s->kvs = n->next;
        free_kv(n);
    }
}
