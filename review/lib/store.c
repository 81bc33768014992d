/* The platform's store: a log with keyed topics, and the group. */
#include "rig_int.h"

#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ---- store: topics ---- */

struct record {
    char *bytes; /* without the four bytes of length */
    size_t len;
};

struct topic {
    char name[64];
    struct record *records;
    size_t count;
    size_t room;
    /* The one producer. */
    long long epoch;
    long long last_sequence; /* -1: none in this epoch */
    struct {
        long long sequence;
        size_t offset;
        size_t end;
    } recent[5];
    int recent_count;
    long long epoch_appends;
};

static struct topic topics[100];
static int topic_count;

static struct topic *
topic_get(const char *name)
{
    for (int i = 0; i < topic_count; i++) {
        if (strcmp(topics[i].name, name) == 0) {
            return &topics[i];
        }
    }
    if (topic_count == 100) {
        abort();
    }
    snprintf(topics[topic_count].name, sizeof(topics[0].name), "%s", name);
    topics[topic_count].epoch = -1;
    topics[topic_count].last_sequence = -1;
    return &topics[topic_count++];
}

static void
topic_add(struct topic *t, const char *bytes, size_t len)
{
    if (t->count == t->room) {
        t->room = t->room == 0 ? 64 : 2 * t->room;
        t->records = realloc(t->records, t->room * sizeof(*t->records));
    }
    t->records[t->count].bytes = malloc(len + 1);
    memcpy(t->records[t->count].bytes, bytes, len);
    t->records[t->count++].len = len;
    pthread_cond_broadcast(&rig_changed);
}

void
put_locked(const char *topic, const char *key, const char *value)
{
    char buf[8192];
    size_t k = strlen(key);
    size_t v = strlen(value);

    buf[0] = (char)k;
    memcpy(buf + 1, key, k);
    memcpy(buf + 1 + k, value, v);
    topic_add(topic_get(topic), buf, 1 + k + v);
}

void
store_put(const char *topic, const char *key, const char *value)
{
    pthread_mutex_lock(&rig_lock);
    put_locked(topic, key, value);
    pthread_mutex_unlock(&rig_lock);
}

static size_t
be32(const char *p)
{
    const unsigned char *u = (const unsigned char *)p;

    return (size_t)u[0] << 24 | (size_t)u[1] << 16 | (size_t)u[2] << 8 | u[3];
}

static void
answer_offsets(struct answer *a, size_t offset, size_t end)
{
    answer_json(a, 200,
                json_pack("{s:I,s:I}", "offset", (json_int_t)offset, "end",
                          (json_int_t)end));
}

static bool
log_append(struct req *r, struct answer *a)
{
    char name[64];
    char producer[64];
    struct topic *t;
    long long epoch = param_int(r->path, "epoch", 0);
    long long sequence = param_int(r->path, "sequence", 0);
    size_t offset;

    sleep_ms(2); /* appendMs */
    param(r->path, "topic", name, sizeof(name));
    pthread_mutex_lock(&rig_lock);
    t = topic_get(name);
    if (strcmp(name, "keyed.op") == 0 || strcmp(name, "keyed.servers") == 0) {
        answer_json(a, 403, json_object());
        goto out;
    }
    if (param(r->path, "producer", producer, sizeof(producer))) {
        if (epoch < t->epoch) {
            answer_json(a, 409, json_pack("{s:s}", "reason", "fenced"));
            goto out;
        }
        if (epoch > t->epoch) {
            t->epoch = epoch;
            t->last_sequence = -1;
            t->recent_count = 0;
            t->epoch_appends = 0;
            rec("store: epoch=%lld", epoch);
        }
        else if (r->len > 0 && t->last_sequence >= 0 &&
                 sequence != t->last_sequence + 1) {
            for (int i = 0; i < t->recent_count; i++) {
                if (t->recent[i].sequence == sequence) {
                    rec("store: append epoch=%lld sequence=%lld is a repeat: "
                        "first response again",
                        epoch, sequence);
                    answer_offsets(a, t->recent[i].offset, t->recent[i].end);
                    goto out;
                }
            }
            rec("store: append epoch=%lld sequence=%lld refused, expected "
                "%lld",
                epoch, sequence, t->last_sequence + 1);
            answer_json(a, 409,
                        json_pack("{s:s,s:I}", "reason", "seq", "sequence",
                                  (json_int_t)t->last_sequence + 1));
            goto out;
        }
    }
    offset = t->count;
    for (size_t at = 0; at + 4 <= r->len;) {
        size_t len = be32(r->body + at);

        if (at + 4 + len > r->len) {
            break;
        }
        topic_add(t, r->body + at + 4, len);
        at += 4 + len;
    }
    if (producer[0] != '\0' && r->len > 0) {
        t->last_sequence = sequence;
        if (t->recent_count == 5) {
            memmove(t->recent, t->recent + 1, 4 * sizeof(t->recent[0]));
            t->recent_count--;
        }
        t->recent[t->recent_count].sequence = sequence;
        t->recent[t->recent_count].offset = offset;
        t->recent[t->recent_count++].end = t->count;
        t->epoch_appends++;
        rec("store: append epoch=%lld sequence=%lld records=%zu", epoch,
            sequence, t->count - offset);
    }
    answer_offsets(a, offset, t->count);
out:
    pthread_mutex_unlock(&rig_lock);
    return true;
}

static void
put_be(char *p, uint64_t v, int bytes)
{
    for (int i = 0; i < bytes; i++) {
        p[i] = (char)(v >> (8 * (bytes - 1 - i)));
    }
}

static bool
log_read(struct req *r, struct answer *a)
{
    char name[64];
    size_t from = (size_t)param_int(r->path, "from", 0);
    long long until = now_ms() + param_int(r->path, "waitMs", 0);
    struct topic *t;
    size_t room = 16;

    param(r->path, "topic", name, sizeof(name));
    pthread_mutex_lock(&rig_lock);
    t = topic_get(name);
    while (t->count <= from && now_ms() < until) {
        wait_change(until);
    }
    for (size_t i = from; i < t->count; i++) {
        room += 4 + t->records[i].len;
    }
    a->status = 200;
    a->body = malloc(room);
    put_be(a->body, t->count, 8);
    put_be(a->body + 8, 0, 8);
    a->len = 16;
    for (size_t i = from; i < t->count; i++) {
        put_be(a->body + a->len, t->records[i].len, 4);
        memcpy(a->body + a->len + 4, t->records[i].bytes, t->records[i].len);
        a->len += 4 + t->records[i].len;
    }
    pthread_mutex_unlock(&rig_lock);
    return true;
}

static char *
base64(const char *in, size_t n)
{
    static const char d[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    const unsigned char *u = (const unsigned char *)in;
    char *out = malloc(4 * (n / 3 + 1) + 1);
    size_t o = 0;

    for (size_t i = 0; i < n; i += 3) {
        unsigned v = (unsigned)u[i] << 16;

        v |= i + 1 < n ? (unsigned)u[i + 1] << 8 : 0;
        v |= i + 2 < n ? u[i + 2] : 0;
        out[o++] = d[v >> 18];
        out[o++] = d[v >> 12 & 63];
        out[o++] = i + 1 < n ? d[v >> 6 & 63] : '=';
        out[o++] = i + 2 < n ? d[v & 63] : '=';
    }
    out[o] = '\0';
    return out;
}

static int
record_key_cmp(const void *a, const void *b)
{
    const struct record *x = *(struct record *const *)a;
    const struct record *y = *(struct record *const *)b;
    size_t kx = (unsigned char)x->bytes[0];
    size_t ky = (unsigned char)y->bytes[0];
    int c = memcmp(x->bytes + 1, y->bytes + 1, kx < ky ? kx : ky);

    if (c == 0 && kx != ky) {
        c = kx < ky ? -1 : 1;
    }
    /* Equal keys: the older record first. */
    return c != 0 ? c : (x < y ? -1 : 1);
}

static bool
log_newest(struct req *r, struct answer *a)
{
    char name[64];
    char after[256];
    struct topic *t;
    struct record **rows;
    json_t *items = json_array();
    bool more = false;

    param(r->path, "topic", name, sizeof(name));
    param(r->path, "after", after, sizeof(after));
    pthread_mutex_lock(&rig_lock);
    t = topic_get(name);
    rows = malloc((t->count + 1) * sizeof(*rows));
    for (size_t i = 0; i < t->count; i++) {
        rows[i] = &t->records[i];
    }
    qsort(rows, t->count, sizeof(*rows), record_key_cmp);
    for (size_t i = 0; i < t->count; i++) {
        size_t k = (unsigned char)rows[i]->bytes[0];
        char key[256];
        char *value;

        if (i + 1 < t->count &&
            (unsigned char)rows[i + 1]->bytes[0] == k &&
            memcmp(rows[i]->bytes + 1, rows[i + 1]->bytes + 1, k) == 0) {
            continue; /* a newer one follows */
        }
        memcpy(key, rows[i]->bytes + 1, k);
        key[k] = '\0';
        if (rows[i]->len == 1 + k || strcmp(key, after) <= 0) {
            continue; /* without a value, the key is dropped */
        }
        if (json_array_size(items) == 500) {
            more = true;
            break;
        }
        value = base64(rows[i]->bytes + 1 + k, rows[i]->len - 1 - k);
        json_array_append_new(items,
                              json_pack("{s:s,s:s,s:I}", "key", key, "value",
                                        value, "offset",
                                        (json_int_t)(rows[i] - t->records)));
        free(value);
    }
    answer_json(a, 200,
                json_pack("{s:o,s:b,s:I}", "items", items, "hasMore", more,
                          "end", (json_int_t)t->count));
    free(rows);
    pthread_mutex_unlock(&rig_lock);
    return true;
}

/* ---- store: the group ---- */

#define PARTS 12

struct member {
    char name[64];
    long long expires;
};

static struct member members[16];
static int member_count;
static long long generation;
static char group_topic[64];
static char owners[PARTS][64]; /* "" for none */
static char targets[PARTS][64];

/* The members share the partitions in the order in which they joined. */
static void
group_changed(void)
{
    generation++;
    for (int p = 0; p < PARTS; p++) {
        snprintf(targets[p], sizeof(targets[p]), "%s",
                 member_count == 0 ? "" : members[p % member_count].name);
        if (owners[p][0] == '\0') {
            strcpy(owners[p], targets[p]);
        }
    }
    pthread_cond_broadcast(&rig_changed);
}

static void
member_drop(int i)
{
    char name[64];

    strcpy(name, members[i].name);
    memmove(&members[i], &members[i + 1],
            (size_t)(--member_count - i) * sizeof(members[0]));
    for (int p = 0; p < PARTS; p++) {
        if (strcmp(owners[p], name) == 0) {
            owners[p][0] = '\0';
        }
    }
    group_changed();
    rec("store: generation=%lld, without member %s", generation, name);
}

static bool
log_join(struct req *r, struct answer *a)
{
    json_t *o = json_loads(r->body, 0, NULL);
    const char *name = json_string_value(json_object_get(o, "member"));
    long long known = json_integer_value(json_object_get(o, "generation"));
    long long ttl = json_integer_value(json_object_get(o, "ttlMs"));
    json_t *rows = json_array();
    struct member *m = NULL;

    if (name == NULL) {
        answer_json(a, 400, json_object());
        json_decref(o);
        return true;
    }
    pthread_mutex_lock(&rig_lock);
    snprintf(group_topic, sizeof(group_topic), "%s",
             json_string_value(
                 json_array_get(json_object_get(o, "topics"), 0)));
    for (int i = 0; i < member_count; i++) {
        if (strcmp(members[i].name, name) == 0) {
            m = &members[i];
        }
    }
    if (m == NULL) {
        m = &members[member_count++];
        snprintf(m->name, sizeof(m->name), "%s", name);
        group_changed();
        rec("store: generation=%lld, with member %s", generation, name);
    }
    m->expires = now_ms() + ttl;
    for (int p = 0; p < PARTS; p++) {
        bool mine = strcmp(owners[p], name) == 0;

        if (mine && strcmp(targets[p], name) != 0 && known >= generation) {
            strcpy(owners[p], targets[p]);
        }
        else if (mine && strcmp(targets[p], name) == 0) {
            json_array_append_new(rows,
                                  json_pack("[s,i,i]", group_topic, p, 0));
        }
    }
    answer_json(a, 200,
                json_pack("{s:I,s:I,s:o}", "generation",
                          (json_int_t)generation, "ttlMs", (json_int_t)ttl,
                          "parts", rows));
    pthread_mutex_unlock(&rig_lock);
    json_decref(o);
    return true;
}

static bool
log_leave(struct req *r, struct answer *a)
{
    json_t *o = json_loads(r->body, 0, NULL);
    const char *name = json_string_value(json_object_get(o, "member"));

    pthread_mutex_lock(&rig_lock);
    for (int i = 0; name != NULL && i < member_count; i++) {
        if (strcmp(members[i].name, name) == 0) {
            member_drop(i);
            break;
        }
    }
    pthread_mutex_unlock(&rig_lock);
    json_decref(o);
    answer_json(a, 200, json_object());
    return true;
}

static bool
log_owners(struct answer *a)
{
    json_t *rows = json_array();

    pthread_mutex_lock(&rig_lock);
    for (int p = 0; p < PARTS; p++) {
        if (owners[p][0] != '\0') {
            json_array_append_new(
                rows, json_pack("[s,i,s,i]", group_topic, p, owners[p], 0));
        }
    }
    pthread_mutex_unlock(&rig_lock);
    answer_json(a, 200, json_pack("{s:o}", "parts", rows));
    return true;
}

void
group_tick(long long now)
{
    for (int i = 0; i < member_count; i++) {
        if (now >= members[i].expires) {
            member_drop(i--);
        }
    }
}

bool
store_request(struct req *r, struct answer *a)
{
    if (strncmp(r->path, "/v1/log-append", 14) == 0) {
        return log_append(r, a);
    }
    if (strncmp(r->path, "/v1/log-read", 12) == 0) {
        return log_read(r, a);
    }
    if (strncmp(r->path, "/v1/log-newest", 14) == 0) {
        return log_newest(r, a);
    }
    if (strncmp(r->path, "/v1/log-join", 12) == 0) {
        return log_join(r, a);
    }
    if (strncmp(r->path, "/v1/log-leave", 13) == 0) {
        return log_leave(r, a);
    }
    if (strncmp(r->path, "/v1/log-owners", 14) == 0) {
        return log_owners(a);
    }
    answer_json(a, 404, json_object());
    return true;
}

/* With the lock held: the member that owns part 0, "" for none. */
const char *
group_owner(void)
{
    return owners[0];
}
