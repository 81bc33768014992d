/* The platform's store: topics, keyed topics, groups. */
#include "rig2.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TOPICS_MAX 16
#define PARTS 12
#define MEMBERS_MAX 16
#define ANSWER_MS 2 /* appendMs */
#define READ_MAX (1024 * 1024)
#define PAGE_ITEMS 500
#define PAGE_BYTES (1000 * 1000)

struct record {
    char *bytes;
    size_t len;
};
struct newest {
    char key[256];
    char *value;
    size_t len;
    uint64_t offset;
};
struct wait {
    struct wait *next;
    struct req r;
    uint64_t from;
    size_t max;
    ms_t until;
};
struct topic {
    char name[64];
    struct record *records;
    uint64_t count, cap;
    struct newest *keys; /* in their order */
    size_t key_count, key_cap;
    struct wait *waits;
    long long epoch, sequence;
    bool has_epoch;
    struct {
        long long sequence;
        uint64_t offset, end;
    } recent[5];
};
struct member {
    char name[64];
    ms_t until;
    long long seen; /* generation of its last join */
};

int store_port;
long long store_appends, store_refused_sizes, store_refused_bytes;
static struct topic topics[TOPICS_MAX];
static int topic_count;
static struct member members[MEMBERS_MAX];
static int member_count;
static long long generation;
static struct {
    char owner[64], target[64];
    long long since;
} parts[PARTS];

static struct topic *
topic_get(const char *name)
{
    for (int i = 0; i < topic_count; i++) {
        if (strcmp(topics[i].name, name) == 0) {
            return &topics[i];
        }
    }
    if (topic_count == TOPICS_MAX) {
        rig_exit(2, "too many topics");
    }
    (void)snprintf(topics[topic_count].name, sizeof(topics[0].name), "%s",
                   name);
    return &topics[topic_count++];
}

static void
be_put(char *p, uint64_t v, int n)
{
    for (int i = n - 1; i >= 0; i--, v >>= 8) {
        p[i] = (char)(v & 0xff);
    }
}

static uint64_t
be_get(const char *p, int n)
{
    uint64_t v = 0;

    for (int i = 0; i < n; i++) {
        v = v << 8 | (uint8_t)p[i];
    }
    return v;
}

static void
keep_newest(struct topic *t, const char *bytes, size_t len, uint64_t offset)
{
    char key[256];
    size_t klen = len == 0 ? 0 : (uint8_t)bytes[0];
    size_t at = 0;
    bool same;

    if (strncmp(t->name, "keyed.", 6) != 0 || len < 1 + klen) {
        return;
    }
    memcpy(key, bytes + 1, klen);
    key[klen] = '\0';
    size_t low = 0, high = t->key_count;
    while (low < high) {
        at = (low + high) / 2;
        if (strcmp(t->keys[at].key, key) < 0) {
            low = at + 1;
        }
        else {
            high = at;
        }
    }
    at = low;
    same = at < t->key_count && strcmp(t->keys[at].key, key) == 0;
    if (len == 1 + klen) {
        if (same) {
            free(t->keys[at].value);
            memmove(&t->keys[at], &t->keys[at + 1],
                    (t->key_count - at - 1) * sizeof(t->keys[0]));
            t->key_count--;
        }
        return;
    }
    if (!same) {
        if (t->key_count == t->key_cap) {
            t->key_cap = t->key_cap * 2 + 64;
            t->keys = realloc(t->keys, t->key_cap * sizeof(t->keys[0]));
        }
        memmove(&t->keys[at + 1], &t->keys[at],
                (t->key_count - at) * sizeof(t->keys[0]));
        t->key_count++;
        memset(&t->keys[at], 0, sizeof(t->keys[0]));
        memcpy(t->keys[at].key, key, klen + 1);
    }
    free(t->keys[at].value);
    t->keys[at].len = len - 1 - klen;
    t->keys[at].value = malloc(t->keys[at].len + 1);
    memcpy(t->keys[at].value, bytes + 1 + klen, t->keys[at].len);
    t->keys[at].value[t->keys[at].len] = '\0';
    t->keys[at].offset = offset;
}

static void
add_record(struct topic *t, const char *bytes, size_t len)
{
    if (t->count == t->cap) {
        t->cap = t->cap * 2 + 256;
        t->records = realloc(t->records, t->cap * sizeof(t->records[0]));
    }
    t->records[t->count].bytes = malloc(len + 1);
    memcpy(t->records[t->count].bytes, bytes, len);
    t->records[t->count].len = len;
    keep_newest(t, bytes, len, t->count);
    t->count++;
}

static void
answer_read(const struct topic *t, const struct req *r, uint64_t from,
            size_t max)
{
    size_t size = 16;
    uint64_t to = from;
    char *out;
    size_t at = 16;

    while (to < t->count &&
           (to == from || size + 4 + t->records[to].len <= max)) {
        size += 4 + t->records[to].len;
        to++;
    }
    out = malloc(size);
    be_put(out, t->count, 8);
    be_put(out + 8, 0, 8);
    for (uint64_t i = from; i < to; i++) {
        be_put(out + at, t->records[i].len, 4);
        memcpy(out + at + 4, t->records[i].bytes, t->records[i].len);
        at += 4 + t->records[i].len;
    }
    answer(r, 200, out, size, now_ms() + ANSWER_MS);
    free(out);
}

static void
wake(struct topic *t)
{
    struct wait **link = &t->waits;

    while (*link != NULL) {
        struct wait *w = *link;

        if (t->count > w->from || now_ms() >= w->until) {
            *link = w->next;
            answer_read(t, &w->r, w->from, w->max);
            free(w);
        }
        else {
            link = &w->next;
        }
    }
}

static void
serve_append(struct req *r)
{
    char name[64], producer[64];
    struct topic *t;
    long long epoch = param(r, "epoch", -1);
    long long sequence = param(r, "sequence", -1);
    size_t at = 0, largest = 0;
    uint64_t first;
    ms_t when = now_ms() + ANSWER_MS;

    (void)param_text(r, "topic", name, sizeof(name));
    if (strcmp(name, "keyed.op") == 0 || strcmp(name, "keyed.servers") == 0) {
        answer_json(r, 403, json_object(), when);
        return;
    }
    t = topic_get(name);
    while (at < r->body_len) {
        size_t len = at + 4 <= r->body_len ? be_get(r->body + at, 4) : 0;

        if (at + 4 + len > r->body_len || r->body_len - at < 4) {
            answer_json(r, 400, json_pack("{ss}", "reason", "form"), when);
            return;
        }
        largest = len > largest ? len : largest;
        at += 4 + len;
    }
    if (largest > STORE_RECORD_BYTES || r->body_len > STORE_CALL_BYTES) {
        if (store_refused_sizes++ == 0) {
            rec("store: append of %zu bytes, largest record %zu bytes, is "
                "refused: recordBytes %d, callBytes %d",
                r->body_len, largest, STORE_RECORD_BYTES, STORE_CALL_BYTES);
        }
        if ((long long)largest > store_refused_bytes) {
            store_refused_bytes = (long long)largest;
        }
        answer_json(r, 400, json_pack("{ss}", "reason", "size"), when);
        return;
    }
    if (param_text(r, "producer", producer, sizeof(producer)) && epoch >= 0) {
        if (t->has_epoch && epoch < t->epoch) {
            answer_json(r, 409, json_pack("{ss}", "reason", "fenced"), when);
            return;
        }
        if (t->has_epoch && epoch == t->epoch && r->body_len > 0 &&
            sequence != t->sequence + 1) {
            for (int i = 0; i < 5; i++) {
                if (t->recent[i].sequence == sequence) {
                    answer_json(r, 200,
                                json_pack("{sIsI}", "offset",
                                          (json_int_t)t->recent[i].offset,
                                          "end", (json_int_t)t->recent[i].end),
                                when);
                    return;
                }
            }
            answer_json(r, 409,
                        json_pack("{sssI}", "reason", "seq", "expected",
                                  (json_int_t)t->sequence + 1),
                        when);
            return;
        }
        if (!t->has_epoch || epoch > t->epoch) {
            for (int i = 0; i < 5; i++) {
                t->recent[i].sequence = -1;
            }
        }
        t->has_epoch = true;
        t->epoch = epoch;
        if (r->body_len > 0) {
            t->sequence = sequence;
        }
    }
    first = t->count;
    for (at = 0; at < r->body_len;) {
        size_t len = be_get(r->body + at, 4);

        add_record(t, r->body + at + 4, len);
        at += 4 + len;
    }
    if (sequence >= 0) {
        memmove(&t->recent[1], &t->recent[0], 4 * sizeof(t->recent[0]));
        t->recent[0].sequence = sequence;
        t->recent[0].offset = first;
        t->recent[0].end = t->count;
        store_appends++;
    }
    answer_json(r, 200,
                json_pack("{sIsI}", "offset", (json_int_t)first, "end",
                          (json_int_t)t->count),
                when);
    wake(t);
}

static char *
base64(const char *in, size_t len)
{
    static const char d[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    char *out = malloc(len / 3 * 4 + 8);
    size_t n = 0;

    for (size_t i = 0; i < len; i += 3) {
        uint32_t v = (uint32_t)(uint8_t)in[i] << 16 |
                     (i + 1 < len ? (uint32_t)(uint8_t)in[i + 1] << 8 : 0) |
                     (i + 2 < len ? (uint8_t)in[i + 2] : 0);

        out[n++] = d[v >> 18];
        out[n++] = d[v >> 12 & 63];
        out[n++] = i + 1 < len ? d[v >> 6 & 63] : '=';
        out[n++] = i + 2 < len ? d[v & 63] : '=';
    }
    out[n] = '\0';
    return out;
}

static void
serve_newest(struct req *r)
{
    char name[64], after[256];
    struct topic *t;
    json_t *items = json_array();
    size_t bytes = 0, i = 0;
    bool has_after;

    (void)param_text(r, "topic", name, sizeof(name));
    has_after = param_text(r, "after", after, sizeof(after));
    t = topic_get(name);
    while (i < t->key_count && has_after &&
           strcmp(t->keys[i].key, after) <= 0) {
        i++;
    }
    for (; i < t->key_count && json_array_size(items) < PAGE_ITEMS &&
           (bytes == 0 || bytes + t->keys[i].len * 4 / 3 < PAGE_BYTES);
         i++) {
        char *v = base64(t->keys[i].value, t->keys[i].len);

        bytes += strlen(v);
        json_array_append_new(
            items, json_pack("{sssssI}", "key", t->keys[i].key, "value", v,
                             "offset", (json_int_t)t->keys[i].offset));
        free(v);
    }
    answer_json(r, 200,
                json_pack("{sosbsI}", "items", items, "hasMore",
                          i < t->key_count, "end", (json_int_t)t->count),
                now_ms() + ANSWER_MS);
}

static void
serve_read(struct req *r)
{
    char name[64];
    struct topic *t;
    uint64_t from = (uint64_t)param(r, "from", 0);
    ms_t wait = param(r, "waitMs", 0);
    size_t max = (size_t)param(r, "maxKb", 1024) * 1024;
    struct wait *w;

    (void)param_text(r, "topic", name, sizeof(name));
    t = topic_get(name);
    if (max > READ_MAX) {
        max = READ_MAX;
    }
    if (from > t->count) {
        from = t->count;
    }
    if (from < t->count || wait <= 0) {
        answer_read(t, r, from, max);
        return;
    }
    w = calloc(1, sizeof(*w));
    *w = (struct wait){t->waits, *r, from, max, now_ms() + wait};
    t->waits = w;
}

/* ---- groups (one) ---- */

static struct member *
member_find(const char *name)
{
    for (int i = 0; i < member_count; i++) {
        if (strcmp(members[i].name, name) == 0) {
            return &members[i];
        }
    }
    return NULL;
}

static int
parts_of(const char *name)
{
    int n = 0;

    for (int i = 0; i < PARTS; i++) {
        n += strcmp(parts[i].target, name) == 0 ? 1 : 0;
    }
    return n;
}

static void
aim(int i, const char *name)
{
    if (strcmp(parts[i].target, name) != 0) {
        (void)snprintf(parts[i].target, sizeof(parts[i].target), "%s", name);
        parts[i].since = generation;
    }
}

static void
deal(void)
{
    generation++;
    for (int i = 0; i < PARTS; i++) {
        struct member *least = member_count > 0 ? &members[0] : NULL;

        if (parts[i].owner[0] != '\0' && member_find(parts[i].owner) == NULL) {
            parts[i].owner[0] = '\0';
        }
        if (parts[i].target[0] != '\0' &&
            member_find(parts[i].target) != NULL) {
            continue;
        }
        for (int k = 1; k < member_count; k++) {
            if (parts_of(members[k].name) < parts_of(least->name)) {
                least = &members[k];
            }
        }
        aim(i, least == NULL ? "" : least->name);
    }
    for (;;) {
        struct member *low = NULL, *high = NULL;

        for (int k = 0; k < member_count; k++) {
            if (low == NULL ||
                parts_of(members[k].name) < parts_of(low->name)) {
                low = &members[k];
            }
            if (high == NULL ||
                parts_of(members[k].name) > parts_of(high->name)) {
                high = &members[k];
            }
        }
        if (low == NULL || parts_of(high->name) - parts_of(low->name) < 2) {
            break;
        }
        for (int i = PARTS - 1; i >= 0; i--) {
            if (strcmp(parts[i].target, high->name) == 0) {
                aim(i, low->name);
                break;
            }
        }
    }
    for (int i = 0; i < PARTS; i++) {
        if (parts[i].owner[0] == '\0') {
            memcpy(parts[i].owner, parts[i].target, sizeof(parts[i].owner));
        }
    }
}

static void
remove_member(struct member *m, const char *why)
{
    rec("store: member %s %s", m->name, why);
    *m = members[--member_count];
    deal();
}

static void
expire_members(void)
{
    for (int i = 0; i < member_count; i++) {
        if (now_ms() >= members[i].until) {
            remove_member(&members[i], "has expired");
            i = -1;
        }
    }
}

static void
serve_join(struct req *r)
{
    json_t *o = json_loadb(r->body, r->body_len, 0, NULL);
    const char *name = json_string_value(json_object_get(o, "member"));
    ms_t ttl = json_integer_value(json_object_get(o, "ttlMs"));
    long long seen = json_integer_value(json_object_get(o, "generation"));
    struct member *m;
    json_t *rows = json_array();

    expire_members();
    if (name == NULL) {
        answer_json(r, 400, json_object(), now_ms());
        return;
    }
    m = member_find(name);
    if (m == NULL && member_count < MEMBERS_MAX) {
        m = &members[member_count++];
        memset(m, 0, sizeof(*m));
        (void)snprintf(m->name, sizeof(m->name), "%s", name);
        deal();
        rec("store: member %s joins, generation %lld", name, generation);
    }
    m->until = now_ms() + ttl;
    m->seen = seen;
    for (int i = 0; i < PARTS; i++) {
        if (strcmp(parts[i].owner, name) == 0 &&
            strcmp(parts[i].target, name) != 0 && seen >= parts[i].since) {
            memcpy(parts[i].owner, parts[i].target, sizeof(parts[i].owner));
        }
    }
    for (int i = 0; i < PARTS; i++) {
        if (strcmp(parts[i].owner, name) == 0 &&
            strcmp(parts[i].target, name) == 0) {
            json_array_append_new(
                rows, json_pack("[sii]", "cuminwalk-members", i, 0));
        }
    }
    answer_json(r, 200,
                json_pack("{sIsIso}", "generation", (json_int_t)generation,
                          "ttlMs", (json_int_t)ttl, "parts", rows),
                now_ms() + ANSWER_MS);
    json_decref(o);
}

static void
serve_leave(struct req *r)
{
    json_t *o = json_loadb(r->body, r->body_len, 0, NULL);
    const char *name = json_string_value(json_object_get(o, "member"));
    struct member *m = name == NULL ? NULL : member_find(name);

    if (m != NULL) {
        remove_member(m, "leaves");
    }
    answer_json(r, 200, json_object(), now_ms() + ANSWER_MS);
    json_decref(o);
}

static void
serve_owners(struct req *r)
{
    json_t *rows = json_array();

    expire_members();
    for (int i = 0; i < PARTS; i++) {
        if (parts[i].owner[0] != '\0') {
            json_array_append_new(rows,
                                  json_pack("[sisi]", "cuminwalk-members", i,
                                            parts[i].owner, 0));
        }
    }
    answer_json(r, 200, json_pack("{so}", "owners", rows),
                now_ms() + ANSWER_MS);
}

static void
serve_store(void *ctx, struct req *r)
{
    (void)ctx;
    if (strncmp(r->path, "/v1/log-append", 14) == 0) {
        serve_append(r);
    }
    else if (strncmp(r->path, "/v1/log-newest", 14) == 0) {
        serve_newest(r);
    }
    else if (strncmp(r->path, "/v1/log-read", 12) == 0) {
        serve_read(r);
    }
    else if (strncmp(r->path, "/v1/log-join", 12) == 0) {
        serve_join(r);
    }
    else if (strncmp(r->path, "/v1/log-leave", 13) == 0) {
        serve_leave(r);
    }
    else if (strncmp(r->path, "/v1/log-owners", 14) == 0) {
        serve_owners(r);
    }
    else {
        answer_json(r, 404, json_object(), now_ms());
    }
}

static void
tick_store(void *arg)
{
    expire_members();
    for (int i = 0; i < topic_count; i++) {
        wake(&topics[i]);
    }
    later(now_ms() + 5, tick_store, arg);
}

void
store_begin(void)
{
    store_port = serve(serve_store, NULL);
    later(now_ms(), tick_store, NULL);
}

void
store_put(const char *topic, const char *key, const char *value)
{
    size_t klen = strlen(key), vlen = strlen(value);
    char *bytes = malloc(klen + vlen + 2);
    struct topic *t = topic_get(topic);

    bytes[0] = (char)klen;
    memcpy(bytes + 1, key, klen);
    memcpy(bytes + 1 + klen, value, vlen);
    add_record(t, bytes, 1 + klen + vlen);
    free(bytes);
    wake(t);
}

char *
store_get(const char *topic, const char *key)
{
    struct topic *t = topic_get(topic);

    for (size_t i = 0; i < t->key_count; i++) {
        if (strcmp(t->keys[i].key, key) == 0) {
            return strdup(t->keys[i].value);
        }
    }
    return NULL;
}
