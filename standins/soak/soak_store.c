/* The store of review/lib, with a new assignment of all partitions. */
/* NOLINTNEXTLINE(bugprone-suspicious-include): its state is static. */
#include "../../review/lib/store.c"

#include "soak.h"

#include "large_put.h"
#include "store_trouble.h"

/* The members in another order: the owner of each partition changes. */
void
store_deal_again(void)
{
    pthread_mutex_lock(&rig_lock);
    if (member_count > 1) {
        struct member first = members[0];

        memmove(&members[0], &members[1],
                (size_t)(member_count - 1) * sizeof(members[0]));
        members[member_count - 1] = first;
        for (int p = 0; p < PARTS; p++) {
            owners[p][0] = '\0';
        }
        group_changed();
        rec("store: generation=%lld, all partitions assigned anew",
            generation);
    }
    pthread_mutex_unlock(&rig_lock);
}

void
store_scan(const char *topic, size_t *from,
           void (*note)(const char *key, const char *value))
{
    pthread_mutex_lock(&rig_lock);
    for (struct topic *t = topic_get(topic); *from < t->count; (*from)++) {
        const char *bytes = t->records[*from].bytes;
        size_t len = t->records[*from].len;
        size_t k = len > 0 ? (unsigned char)bytes[0] : 0;
        char key[256];
        char value[256];

        if (len == 0 || k + 1 > len) {
            continue;
        }
        snprintf(key, sizeof(key), "%.*s", (int)k, bytes + 1);
        snprintf(value, sizeof(value), "%.*s", (int)(len - k - 1),
                 bytes + 1 + k);
        note(key, value);
    }
    pthread_mutex_unlock(&rig_lock);
}

void
store_put_large(const char *topic, const char *key, const char *value)
{
    put_large(topic, key, value);
}

/* As the platform does, an answer to a read holds at most maxKb, or one
 * record; review/lib sends all that follow. */
void
store_limit_read(const struct req *r, struct answer *a)
{
    size_t most = (size_t)param_int(r->path, "maxKb", 1024) * 1024;
    size_t at = 16;

    if (strncmp(r->path, "/v1/log-read", 12) != 0 || a->status != 200 ||
        a->json) {
        return;
    }
    while (at + 4 <= a->len) {
        size_t next = at + 4 + be32(a->body + at);

        if (at > 16 && next > most) {
            break;
        }
        at = next;
    }
    a->len = at < a->len ? at : a->len;
}
