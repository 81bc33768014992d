/* Key-value pairs in the scheduler's stream, kept across takeovers. */
#include "cw_jobs_int.h"

#include <stdlib.h>

static struct cw_kv **
find_kv(struct cw_sched *s, struct cw_str key)
{
    struct cw_kv **link = &s->kvs;

    while (*link != NULL && !cw_str_eq(cw_name_str(&(*link)->key), key)) {
        link = &(*link)->next;
    }
    return link;
}

struct cw_str
cw_sched_note(struct cw_sched *s, struct cw_str key)
{
    const struct cw_kv *kv = *find_kv(s, key);

    return kv == NULL ? CW_LIT("") : cw_buf_str(&kv->value);
}

static enum cw_status
store_kv(struct cw_sched *s, struct cw_str key, struct cw_str value,
         bool dirty)
{
    struct cw_kv *kv = *find_kv(s, key);

    if (key.len < 2 ||
        (key.ptr[0] != CW_NOTE_WAVE && key.ptr[0] != CW_NOTE_ORDER)) {
        return CW_ERR_INVALID;
    }
    if (kv == NULL) {
        kv = calloc(1, sizeof(*kv));
        if (kv == NULL || cw_name_set(&kv->key, key) != CW_OK) {
            free(kv);
            return CW_ERR_NOMEM;
        }
        kv->next = s->kvs;
        s->kvs = kv;
    }
    cw_buf_clear(&kv->value);
    cw_buf_add_str(&kv->value, value);
    kv->dirty = dirty;
    return kv->value.failed ? CW_ERR_NOMEM : CW_OK;
}

enum cw_status
cw_sched_note_set(struct cw_sched *s, struct cw_str key, struct cw_str value)
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
    for (const struct cw_kv *kv = s->kvs; kv != NULL; kv = kv->next) {
        if (kv->dirty) {
            return true;
        }
    }
    return false;
}

static void
free_kv(struct cw_kv *kv)
{
    cw_buf_finish(&kv->value);
    free(kv);
}

void
cw_kv_flush(struct cw_sched *s,
            void (*put)(void *arg, struct cw_str key, struct cw_str value),
            void *arg)
{
    struct cw_kv **link = &s->kvs;

    while (*link != NULL) {
        struct cw_kv *kv = *link;

        if (kv->dirty) {
            put(arg, cw_name_str(&kv->key), cw_buf_str(&kv->value));
            kv->dirty = false;
        }
        if (kv->value.len == 0) {
            *link = kv->next;
            free_kv(kv);
        }
        else {
            link = &kv->next;
        }
    }
}

void
cw_kv_finish(struct cw_sched *s)
{
    while (s->kvs != NULL) {
        struct cw_kv *kv = s->kvs;

        s->kvs = kv->next;
        free_kv(kv);
    }
}
