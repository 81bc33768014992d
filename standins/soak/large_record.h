/* The store, with records of any size. build.sh leaves out review/lib/store.c
 * for cases that include this file. */
#ifndef LARGE_RECORD_H
#define LARGE_RECORD_H

/* NOLINTNEXTLINE(bugprone-suspicious-include): its state is static. */
#include "../../review/lib/store.c"

/* As store_put, which takes up to 8,192 bytes. */
static void
store_put_large(const char *topic, const char *key, const char *value)
{
    size_t k = strlen(key);
    size_t v = strlen(value);
    char *bytes = malloc(1 + k + v);

    bytes[0] = (char)k;
    memcpy(bytes + 1, key, k);
    memcpy(bytes + 1 + k, value, v);
    pthread_mutex_lock(&rig_lock);
    topic_add(topic_get(topic), bytes, 1 + k + v);
    pthread_mutex_unlock(&rig_lock);
    free(bytes);
}

#endif
