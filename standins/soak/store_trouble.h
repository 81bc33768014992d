/* Part of soak_store.c, which has the log: its compaction. */
#ifndef SOAK_STORE_TROUBLE_H
#define SOAK_STORE_TROUBLE_H

#include "trouble.h"

static struct {
    const char *topic;
    size_t first; /* offset of the first record that is retained */
} compacted[] = {{"keyed.op", 0}, {"keyed.servers", 0}};

#define COMPACTED (sizeof(compacted) / sizeof(compacted[0]))

void
store_compact(int keep)
{
    pthread_mutex_lock(&rig_lock);
    for (size_t i = 0; i < COMPACTED; i++) {
        size_t n = topic_get(compacted[i].topic)->count;
        size_t first = n > (size_t)keep ? n - (size_t)keep : 0;

        if (first > compacted[i].first) {
            compacted[i].first = first;
        }
        rec("store: %s begins at %zu, ends at %zu", compacted[i].topic,
            compacted[i].first, n);
    }
    pthread_mutex_unlock(&rig_lock);
}

/* First retained offset of the topic that a read asks for. */
static size_t
first_offset(const struct req *r)
{
    char name[64];
    size_t out = 0;

    if (strncmp(r->path, "/v1/log-read", 12) != 0) {
        return 0;
    }
    param(r->path, "topic", name, sizeof(name));
    pthread_mutex_lock(&rig_lock);
    for (size_t i = 0; i < COMPACTED; i++) {
        if (strcmp(name, compacted[i].topic) == 0) {
            out = compacted[i].first;
        }
    }
    pthread_mutex_unlock(&rig_lock);
    return out;
}

bool
store_compacted_read(struct req *r, struct answer *a)
{
    size_t first = first_offset(r);

    if ((size_t)param_int(r->path, "from", 0) >= first) {
        return false;
    }
    answer_json(a, 410, json_pack("{s:I}", "first", (json_int_t)first));
    return true;
}

void
store_compacted_first(const struct req *r, struct answer *a)
{
    size_t first = first_offset(r);

    if (first > 0 && a->status == 200 && !a->json && a->len >= 16) {
        put_be(a->body + 8, first, 8);
    }
}

#endif
