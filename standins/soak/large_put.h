/* Records of any size. After the store of review/lib, whose store_put takes up
 * to 8,192 bytes. */
#ifndef LARGE_PUT_H
#define LARGE_PUT_H

static void
put_large(const char *topic, const char *key, const char *value)
{
    size_t k = strlen(key);
    size_t v = strlen(value);
    char *bytes = malloc(2 + k + v);

    bytes[0] = (char)k;
    (void)sprintf(bytes + 1, "%s%s", key, value);
    pthread_mutex_lock(&rig_lock);
    topic_add(topic_get(topic), bytes, 1 + k + v);
    pthread_mutex_unlock(&rig_lock);
    free(bytes);
}

#endif
