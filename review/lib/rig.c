#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define GRACE_S 6

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed;
static FILE *record;
static char folder[512];
static char scratch[64];
static long long started_at;

/* ---- time, record ---- */

static long long
clock_ms(clockid_t id)
{
    struct timespec t;

    clock_gettime(id, &t);
    return (long long)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

long long
now_ms(void)
{
    return clock_ms(CLOCK_MONOTONIC) - started_at;
}

long long
wall_ms(void)
{
    return clock_ms(CLOCK_REALTIME);
}

void
sleep_ms(long long ms)
{
    struct timespec t = {ms / 1000, ms % 1000 * 1000000};

    if (ms > 0) {
        nanosleep(&t, NULL);
    }
}

void
sleep_until(long long at)
{
    sleep_ms(at - now_ms());
}

void
rec(const char *fmt, ...)
{
    static pthread_mutex_t m = PTHREAD_MUTEX_INITIALIZER;
    va_list ap;

    pthread_mutex_lock(&m);
    fprintf(record, "%9.3f ", (double)now_ms() / 1000);
    va_start(ap, fmt);
    vfprintf(record, fmt, ap);
    va_end(ap);
    fputc('\n', record);
    fflush(record);
    pthread_mutex_unlock(&m);
}

/* ---- HTTP server ---- */

struct req {
    char method[8];
    char path[512];
    char target[64]; /* X-Target-Instance */
    char *body;
    size_t len;
};

struct answer {
    int status;
    bool json;
    char *body;
    size_t len;
};

struct server {
    int fd;
    int port;
    /* Returns false when no answer is to be sent. */
    bool (*handle)(void *ctx, struct req *r, struct answer *a);
    void *ctx;
    int conns[512];
    unsigned life; /* connections of an earlier life end without an answer */
};

struct conn {
    struct server *s;
    int fd;
    unsigned life;
};

static void
answer_json(struct answer *a, int status, json_t *o)
{
    a->status = status;
    a->json = true;
    a->body = json_dumps(o, JSON_COMPACT);
    a->len = strlen(a->body);
    json_decref(o);
}

static bool
read_request(int fd, char *buf, size_t size, size_t *have, struct req *r)
{
    char *end = NULL;
    size_t head;

    memset(r, 0, sizeof(*r));
    for (;;) {
        ssize_t n;

        buf[*have] = '\0';
        end = strstr(buf, "\r\n\r\n");
        if (end != NULL) {
            break;
        }
        if (*have + 1 >= size) {
            return false;
        }
        n = read(fd, buf + *have, size - 1 - *have);
        if (n <= 0) {
            return false;
        }
        *have += (size_t)n;
    }
    head = (size_t)(end - buf) + 4;
    if (sscanf(buf, "%7s %511s", r->method, r->path) != 2) {
        return false;
    }
    for (char *line = strstr(buf, "\r\n"); line != NULL && line < end;
         line = strstr(line + 2, "\r\n")) {
        if (strncasecmp(line + 2, "content-length:", 15) == 0) {
            r->len = strtoul(line + 17, NULL, 10);
        }
        else if (strncasecmp(line + 2, "x-target-instance:", 18) == 0) {
            sscanf(line + 20, " %63[^\r\n]", r->target);
        }
    }
    if (head + r->len + 1 >= size) {
        return false;
    }
    while (*have < head + r->len) {
        ssize_t n = read(fd, buf + *have, head + r->len - *have);

        if (n <= 0) {
            return false;
        }
        *have += (size_t)n;
    }
    r->body = malloc(r->len + 1);
    memcpy(r->body, buf + head, r->len);
    r->body[r->len] = '\0';
    memmove(buf, buf + head + r->len, *have - head - r->len);
    *have -= head + r->len;
    return true;
}

static bool
write_all(int fd, const char *p, size_t n)
{
    while (n > 0) {
        ssize_t w = send(fd, p, n, MSG_NOSIGNAL);

        if (w <= 0) {
            return false;
        }
        p += w;
        n -= (size_t)w;
    }
    return true;
}

static bool
same_life(const struct conn *c)
{
    bool same;

    pthread_mutex_lock(&lock);
    same = c->life == c->s->life;
    pthread_mutex_unlock(&lock);
    return same;
}

#define BUF_BYTES ((size_t)4 << 20)

static void *
serve_conn(void *arg)
{
    struct conn *c = arg;
    struct server *s = c->s;
    char *buf = malloc(BUF_BYTES);
    size_t have = 0;
    struct req r;

    while (read_request(c->fd, buf, BUF_BYTES, &have, &r)) {
        struct answer a = {0};
        bool ok = same_life(c) && s->handle(s->ctx, &r, &a) && same_life(c);

        free(r.body);
        if (ok) {
            char head[160];
            int n = snprintf(head, sizeof(head),
                             "HTTP/1.1 %d X\r\nContent-Type: %s\r\n"
                             "Content-Length: %zu\r\n\r\n",
                             a.status,
                             a.json ? "application/json"
                                    : "application/octet-stream",
                             a.len);

            ok = write_all(c->fd, head, (size_t)n) &&
                 write_all(c->fd, a.body, a.len);
        }
        free(a.body);
        if (!ok) {
            break;
        }
    }
    pthread_mutex_lock(&lock);
    for (int i = 0; i < 512; i++) {
        if (c->life == s->life && s->conns[i] == c->fd + 1) {
            s->conns[i] = 0;
        }
    }
    close(c->fd);
    pthread_mutex_unlock(&lock);
    free(buf);
    free(c);
    return NULL;
}

static void *
accept_conns(void *arg)
{
    struct server *s = arg;

    for (;;) {
        int fd;
        int listener;
        int one = 1;
        struct conn *c;
        pthread_t t;
        struct pollfd p;

        pthread_mutex_lock(&lock);
        listener = s->fd;
        pthread_mutex_unlock(&lock);
        if (listener < 0) {
            sleep_ms(2);
            continue;
        }
        p = (struct pollfd){listener, POLLIN, 0};
        if (poll(&p, 1, 5) <= 0) {
            continue;
        }
        pthread_mutex_lock(&lock);
        fd = s->fd < 0 ? -1 : accept4(s->fd, NULL, NULL, SOCK_CLOEXEC);
        if (fd < 0) {
            pthread_mutex_unlock(&lock);
            continue;
        }
        setsockopt(fd, IPPROTO_TCP, 1 /* TCP_NODELAY */, &one, sizeof(one));
        c = calloc(1, sizeof(*c));
        *c = (struct conn){s, fd, s->life};
        for (int i = 0; i < 512; i++) {
            if (s->conns[i] == 0) {
                s->conns[i] = fd + 1;
                break;
            }
        }
        pthread_mutex_unlock(&lock);
        pthread_create(&t, NULL, serve_conn, c);
        pthread_detach(t);
    }
    return NULL;
}

static int
bind_to(int *port)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons((uint16_t)*port)};
    socklen_t len = sizeof(a);
    int one = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (fd < 0 || bind(fd, (struct sockaddr *)&a, sizeof(a)) != 0 ||
        getsockname(fd, (struct sockaddr *)&a, &len) != 0) {
        rig_exit(2, "cannot bind: %s", strerror(errno));
    }
    *port = ntohs(a.sin_port);
    return fd;
}

/* A bound socket that does not listen keeps the port for its later listeners,
 * also while none is open; connections to it are refused then. */
static int
free_port(void)
{
    int port = 0;

    (void)bind_to(&port);
    return port;
}

static int
listen_on(int port)
{
    int fd = bind_to(&port);

    if (listen(fd, 128) != 0) {
        rig_exit(2, "cannot listen: %s", strerror(errno));
    }
    return fd;
}

static void
server_start(struct server *s,
             bool (*handle)(void *ctx, struct req *r, struct answer *a),
             void *ctx)
{
    pthread_t t;

    memset(s, 0, sizeof(*s));
    s->handle = handle;
    s->ctx = ctx;
    s->port = free_port();
    s->fd = listen_on(s->port);
    pthread_create(&t, NULL, accept_conns, s);
    pthread_detach(t);
}

/* With the lock held: all connections are reset. */
static void
server_reset(struct server *s)
{
    struct linger l = {1, 0};

    s->life++;
    for (int i = 0; i < 512; i++) {
        if (s->conns[i] != 0) {
            setsockopt(s->conns[i] - 1, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
            shutdown(s->conns[i] - 1, SHUT_RDWR);
            s->conns[i] = 0;
        }
    }
    pthread_cond_broadcast(&changed);
}

/* ---- query parameters ---- */

static bool
param(const char *path, const char *name, char *out, size_t size)
{
    const char *q = strchr(path, '?');
    size_t len = strlen(name);

    while (q != NULL) {
        q++;
        if (strncmp(q, name, len) == 0 && q[len] == '=') {
            size_t n = strcspn(q + len + 1, "&");

            n = n >= size ? size - 1 : n;
            memcpy(out, q + len + 1, n);
            out[n] = '\0';
            return true;
        }
        q = strchr(q, '&');
    }
    out[0] = '\0';
    return false;
}

static long long
param_int(const char *path, const char *name, long long fallback)
{
    char text[64];

    return param(path, name, text, sizeof(text)) ? strtoll(text, NULL, 10)
                                                 : fallback;
}

/* Waits with the lock held until something changes or the time has come. */
static void
wait_change(long long until)
{
    long long at = until + started_at;
    struct timespec t = {at / 1000, at % 1000 * 1000000};

    pthread_cond_timedwait(&changed, &lock, &t);
}

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
    pthread_cond_broadcast(&changed);
}

static void
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
    pthread_mutex_lock(&lock);
    put_locked(topic, key, value);
    pthread_mutex_unlock(&lock);
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
    pthread_mutex_lock(&lock);
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
    pthread_mutex_unlock(&lock);
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
    pthread_mutex_lock(&lock);
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
    pthread_mutex_unlock(&lock);
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
    pthread_mutex_lock(&lock);
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
    pthread_mutex_unlock(&lock);
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
    pthread_cond_broadcast(&changed);
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
    pthread_mutex_lock(&lock);
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
    pthread_mutex_unlock(&lock);
    json_decref(o);
    return true;
}

static bool
log_leave(struct req *r, struct answer *a)
{
    json_t *o = json_loads(r->body, 0, NULL);
    const char *name = json_string_value(json_object_get(o, "member"));

    pthread_mutex_lock(&lock);
    for (int i = 0; name != NULL && i < member_count; i++) {
        if (strcmp(members[i].name, name) == 0) {
            member_drop(i);
            break;
        }
    }
    pthread_mutex_unlock(&lock);
    json_decref(o);
    answer_json(a, 200, json_object());
    return true;
}

static bool
log_owners(struct answer *a)
{
    json_t *rows = json_array();

    pthread_mutex_lock(&lock);
    for (int p = 0; p < PARTS; p++) {
        if (owners[p][0] != '\0') {
            json_array_append_new(
                rows, json_pack("[s,i,s,i]", group_topic, p, owners[p], 0));
        }
    }
    pthread_mutex_unlock(&lock);
    answer_json(a, 200, json_pack("{s:o}", "parts", rows));
    return true;
}

static void
group_tick(long long now)
{
    for (int i = 0; i < member_count; i++) {
        if (now >= members[i].expires) {
            member_drop(i--);
        }
    }
}

/* ---- runners ---- */

struct run {
    struct run *next;
    char task[64];
    int run;
    int cpu;
    long long ends_at; /* 0: it lasts */
    long long stop_at; /* 0: not being stopped */
    int exec;
};

struct end {
    long long number;
    char task[64];
    int run;
    const char *how;
    int exec;
};

struct rejected {
    char task[64];
    int run;
};

struct worker {
    char id[32];
    char machine[32];
    const char *service;
    int cpu;
    struct server server;
    bool up;
    bool cut;
    long long cut_fence;
    long long born;
    long long clock_base;
    long long fence;
    long long until; /* on its clock */
    struct run *runs;
    struct end ends[4096];
    int end_count;
    long long end_number;
    struct rejected rejected[4096];
    int rejected_count;
    long long beat_at;
    bool listed; /* its entry is in the store */
    long long sequence;
};

static struct worker *workers[64];
static int worker_count;
static struct exec_row execs[16384];
static int exec_count;

static long long
worker_clock(const struct worker *w)
{
    return now_ms() - w->clock_base;
}

static void
worker_beat(struct worker *w)
{
    char buf[512];

    snprintf(buf, sizeof(buf),
             "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z1\","
             "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
             "\"coldLeftMs\":0,\"capacity\":{\"cpu\":%d,\"memMb\":32768,"
             "\"gpu\":0},\"labels\":[\"a\",\"r1-1\"],\"machine\":\"%s\","
             "\"born\":%lld,\"clockMs\":%lld,\"sequence\":%lld}",
             w->service, w->server.port, w->cpu, w->machine, w->born,
             worker_clock(w), w->sequence++);
    put_locked("keyed.servers", w->id, buf);
    w->beat_at = now_ms() + HEARTBEAT_MS;
    w->listed = true;
}

static void
reject_up_to(struct worker *w, const char *task, int run)
{
    for (int i = 0; i < w->rejected_count; i++) {
        if (strcmp(w->rejected[i].task, task) == 0) {
            if (w->rejected[i].run < run) {
                w->rejected[i].run = run;
            }
            return;
        }
    }
    snprintf(w->rejected[w->rejected_count].task, 64, "%s", task);
    w->rejected[w->rejected_count++].run = run;
}

static void
end_run(struct worker *w, struct run **link, const char *how)
{
    struct run *r = *link;
    struct end *e = &w->ends[w->end_count++];

    *link = r->next;
    e->number = ++w->end_number;
    snprintf(e->task, sizeof(e->task), "%s", r->task);
    e->run = r->run;
    e->how = how;
    e->exec = r->exec;
    execs[r->exec].ended = now_ms();
    execs[r->exec].how = how;
    reject_up_to(w, r->task, r->run);
    rec("runner %s: %s run %d ended %s", w->id, r->task, r->run, how);
    free(r);
    pthread_cond_broadcast(&changed);
}

static void
worker_tick(struct worker *w, long long now)
{
    struct run **link = &w->runs;

    /* The store removes the entry after three intervals of silence. */
    if (w->listed && now >= w->beat_at + 2 * HEARTBEAT_MS) {
        rec("store: the entry of runner %s is removed", w->id);
        put_locked("keyed.servers", w->id, "");
        w->listed = false;
    }
    if (!w->up) {
        return;
    }
    if (now >= w->beat_at && !w->cut) {
        worker_beat(w);
    }
    for (int i = 0; worker_clock(w) >= w->until && i < w->end_count; i++) {
        execs[w->ends[i].exec].lapsed = true;
    }
    while (*link != NULL) {
        struct run *r = *link;

        if (worker_clock(w) >= w->until) {
            end_run(w, link, "lapsed");
        }
        else if (r->stop_at != 0 && now >= r->stop_at) {
            end_run(w, link, "stopped");
        }
        else if (r->ends_at != 0 && now >= r->ends_at) {
            end_run(w, link, "done");
        }
        else {
            link = &r->next;
        }
    }
}

static void
take_lease(struct worker *w, long long until)
{
    long long most = worker_clock(w) + MAX_HOLD_MS;

    until = until > most ? most : until;
    if (until > w->until) {
        w->until = until;
    }
}

static struct run *
find_run(struct worker *w, const char *task, int run)
{
    for (struct run *r = w->runs; r != NULL; r = r->next) {
        if (strcmp(r->task, task) == 0 && (run == 0 || r->run == run)) {
            return r;
        }
    }
    return NULL;
}

static void
refuse(struct worker *w, struct answer *a, const char *reason)
{
    answer_json(a, 409,
                json_pack("{s:I,s:s}", "clockMs", (json_int_t)worker_clock(w),
                          "reason", reason));
}

static void
answer_clock(struct worker *w, struct answer *a)
{
    answer_json(a, 200,
                json_pack("{s:I}", "clockMs", (json_int_t)worker_clock(w)));
}

static void
run_start(struct worker *w, json_t *o, struct answer *a)
{
    const char *task = json_string_value(json_object_get(o, "task"));
    const char *spec = json_string_value(json_object_get(o, "spec"));
    int run = (int)json_integer_value(json_object_get(o, "run"));
    long long until = json_integer_value(json_object_get(o, "untilMs"));
    int ms = 0;
    int cpu = 0;
    int used = 0;
    struct run *r = find_run(w, task, 0);

    if (r != NULL && r->run == run) {
        take_lease(w, until);
        answer_clock(w, a);
        return;
    }
    for (int i = 0; i < w->rejected_count; i++) {
        if (strcmp(w->rejected[i].task, task) == 0 &&
            run <= w->rejected[i].run) {
            take_lease(w, until);
            refuse(w, a, "old");
            return;
        }
    }
    if (until <= worker_clock(w)) {
        refuse(w, a, "late");
        return;
    }
    (void)sscanf(spec, "d=%d c=%d", &ms, &cpu);
    for (r = w->runs; r != NULL; r = r->next) {
        used += r->cpu;
    }
    take_lease(w, until);
    if (used + cpu > w->cpu) {
        refuse(w, a, "room");
        return;
    }
    r = calloc(1, sizeof(*r));
    snprintf(r->task, sizeof(r->task), "%s", task);
    r->run = run;
    r->cpu = cpu;
    r->ends_at = ms == 0 ? 0 : now_ms() + ms;
    r->exec = exec_count;
    r->next = w->runs;
    w->runs = r;
    execs[exec_count] = (struct exec_row){
        .run = run, .worker = w, .fence = w->fence, .began = now_ms()};
    snprintf(execs[exec_count++].task, 64, "%s", task);
    rec("runner %s: %s run %d began, fence=%lld untilMs=%lld clockMs=%lld",
        w->id, task, run, w->fence, until, worker_clock(w));
    answer_clock(w, a);
}

static void
run_stop(struct worker *w, json_t *o, struct answer *a)
{
    const char *task = json_string_value(json_object_get(o, "task"));
    int run = (int)json_integer_value(json_object_get(o, "run"));
    struct run *r = find_run(w, task, run);

    if (r != NULL && r->stop_at == 0) {
        r->stop_at = now_ms() + STOP_MS;
        rec("runner %s: %s run %d is told to stop, fence=%lld", w->id, task,
            run, w->fence);
    }
    else if (r == NULL) {
        reject_up_to(w, task, run);
    }
    answer_clock(w, a);
}

static void
hold(struct worker *w, json_t *o, struct answer *a, unsigned life)
{
    long long acked = json_integer_value(json_object_get(o, "ackedThrough"));
    long long until =
        now_ms() + json_integer_value(json_object_get(o, "waitMs"));
    json_t *lease = json_object_get(o, "untilMs");
    json_t *running = json_array();
    json_t *ended = json_array();
    int kept = 0;

    for (int i = 0; i < w->end_count; i++) {
        if (w->ends[i].number > acked) {
            w->ends[kept++] = w->ends[i];
        }
        else {
            if (!execs[w->ends[i].exec].lapsed) {
                execs[w->ends[i].exec].acked = now_ms();
            }
            rec("runner %s: end %lld of %s run %d (%s) acknowledged", w->id,
                w->ends[i].number, w->ends[i].task, w->ends[i].run,
                w->ends[i].how);
        }
    }
    w->end_count = kept;
    if (json_is_integer(lease)) {
        take_lease(w, json_integer_value(lease));
    }
    while (w->end_count == 0 && now_ms() < until && life == w->server.life) {
        wait_change(until);
    }
    for (struct run *r = w->runs; r != NULL; r = r->next) {
        json_array_append_new(running,
                              json_pack("[s,i,s,i,i]", r->task, r->run, "",
                                        100, r->cpu));
    }
    for (int i = 0; i < w->end_count && i < 500; i++) {
        json_array_append_new(
            ended, json_pack("[I,s,i,s,s]", (json_int_t)w->ends[i].number,
                             w->ends[i].task, w->ends[i].run, w->ends[i].how,
                             ""));
    }
    answer_json(a, 200,
                json_pack("{s:I,s:I,s:o,s:o}", "clockMs",
                          (json_int_t)worker_clock(w), "born",
                          (json_int_t)w->born, "running", running, "ended",
                          ended));
}

/* With the lock held: the request does not arrive, and nothing is answered. */
static void
stay_silent(unsigned life, const unsigned *now_life, const bool *silent)
{
    long long until = now_ms() + 3000;

    while (life == *now_life && now_ms() < until && *silent) {
        wait_change(now_ms() + 50);
    }
}

static bool
worker_request(void *ctx, struct req *r, struct answer *a)
{
    struct worker *w = ctx;
    json_t *o = json_loads(r->body, 0, NULL);
    long long fence = json_integer_value(json_object_get(o, "fence"));
    unsigned life;
    bool cut = true;
    bool ok = true;

    pthread_mutex_lock(&lock);
    life = w->server.life;
    if (w->cut_fence > 0 && fence >= w->cut_fence) {
        stay_silent(life, &w->server.life, &cut);
        ok = false;
    }
    else if (strcmp(r->target, w->id) != 0) {
        answer_json(a, 421, json_object());
    }
    else if (fence < w->fence) {
        refuse(w, a, "fence");
    }
    else {
        w->fence = fence;
        if (strcmp(r->path, "/v1/run-start") == 0) {
            run_start(w, o, a);
        }
        else if (strcmp(r->path, "/v1/run-stop") == 0) {
            run_stop(w, o, a);
        }
        else if (strcmp(r->path, "/v1/hold") == 0) {
            hold(w, o, a, life);
        }
        else {
            answer_clock(w, a);
        }
    }
    pthread_mutex_unlock(&lock);
    json_decref(o);
    return ok;
}

struct worker *
worker_new(const char *service, int cpu)
{
    struct worker *w = calloc(1, sizeof(*w));

    snprintf(w->id, sizeof(w->id), "i-%04x", 0xa0 + worker_count);
    snprintf(w->machine, sizeof(w->machine), "m-%04x", 0xb0 + worker_count);
    w->service = service;
    w->cpu = cpu;
    w->up = true;
    w->born = wall_ms();
    w->clock_base = -3600000; /* it has been up for an hour */
    server_start(&w->server, worker_request, w);
    pthread_mutex_lock(&lock);
    workers[worker_count++] = w;
    worker_beat(w);
    pthread_mutex_unlock(&lock);
    return w;
}

const char *
worker_id(const struct worker *w)
{
    return w->id;
}

void
worker_crash(struct worker *w)
{
    pthread_mutex_lock(&lock);
    rec("runner %s: crashes", w->id);
    w->up = false;
    while (w->runs != NULL) {
        struct run *r = w->runs;

        w->runs = r->next;
        execs[r->exec].ended = now_ms();
        execs[r->exec].how = "crash";
        free(r);
    }
    close(w->server.fd);
    w->server.fd = -1;
    server_reset(&w->server);
    pthread_mutex_unlock(&lock);
}

void
worker_restart(struct worker *w)
{
    int fd = listen_on(w->server.port);

    pthread_mutex_lock(&lock);
    w->up = true;
    w->born = wall_ms();
    w->clock_base = now_ms();
    w->fence = 0;
    w->until = 0;
    w->end_count = 0;
    w->end_number = 0;
    w->rejected_count = 0;
    w->sequence = 0;
    w->server.fd = fd;
    rec("runner %s: starts again under its id, born=%lld", w->id, w->born);
    worker_beat(w);
    pthread_mutex_unlock(&lock);
}

void
worker_cut_from(struct worker *w, long long fence)
{
    pthread_mutex_lock(&lock);
    w->cut_fence = fence;
    if (fence > 0) {
        rec("runner %s: cut off from daemons with fence >= %lld", w->id,
            fence);
    }
    else {
        rec("runner %s: the cut has healed", w->id);
    }
    pthread_mutex_unlock(&lock);
}

void
worker_cut(struct worker *w, bool cut)
{
    int fd = cut ? -1 : listen_on(w->server.port);

    pthread_mutex_lock(&lock);
    rec("runner %s: %s", w->id,
        cut ? "cut off from all, with resets; it runs on"
            : "the cut has healed");
    w->cut = cut;
    if (cut) {
        close(w->server.fd);
        server_reset(&w->server);
    }
    w->server.fd = fd;
    if (!cut) {
        worker_beat(w);
    }
    pthread_mutex_unlock(&lock);
}

int
worker_load(struct worker *w)
{
    int n = 0;

    pthread_mutex_lock(&lock);
    for (struct run *r = w->runs; r != NULL; r = r->next) {
        n++;
    }
    pthread_mutex_unlock(&lock);
    return n;
}

long long
worker_fence(struct worker *w)
{
    long long f;

    pthread_mutex_lock(&lock);
    f = w->fence;
    pthread_mutex_unlock(&lock);
    return f;
}

int
exec_find(const char *prefix, struct exec_row *out, int max)
{
    int n = 0;

    pthread_mutex_lock(&lock);
    for (int i = 0; i < exec_count && n < max; i++) {
        if (strncmp(execs[i].task, prefix, strlen(prefix)) == 0) {
            out[n++] = execs[i];
        }
    }
    pthread_mutex_unlock(&lock);
    return n;
}

int
check_twice(void)
{
    int n = 0;

    pthread_mutex_lock(&lock);
    for (int i = 0; i < exec_count; i++) {
        for (int k = 0; k < i; k++) {
            const struct exec_row *x = &execs[k];
            const struct exec_row *y = &execs[i];

            if (strcmp(x->task, y->task) != 0) {
                continue;
            }
            if (x->ended == 0 || y->began < x->ended) {
                n++;
                rec("TWICE: %s: run %d on %s (%.3f s to %.3f s) and run %d on "
                    "%s (from %.3f s) at the same time",
                    x->task, x->run, x->worker->id, (double)x->began / 1000,
                    (double)(x->ended == 0 ? now_ms() : x->ended) / 1000,
                    y->run, y->worker->id, (double)y->began / 1000);
            }
            else if (strcmp(x->how, "done") == 0 && x->acked != 0) {
                n++;
                rec("TWICE: %s: run %d on %s ended done at %.3f s, "
                    "acknowledged at %.3f s; run %d began on %s at %.3f s",
                    x->task, x->run, x->worker->id, (double)x->ended / 1000,
                    (double)x->acked / 1000, y->run, y->worker->id,
                    (double)y->began / 1000);
            }
        }
    }
    pthread_mutex_unlock(&lock);
    return n;
}

/* ---- daemons ---- */

struct daemon {
    char name[32];
    int front;
    int ready;
    int peer;
    int metrics;
    struct server store;
    enum link_mode link;
    bool link_silent;
    pid_t pid;
};

static struct daemon *daemons[16];
static int daemon_count;

static bool
store_request(void *ctx, struct req *r, struct answer *a)
{
    struct daemon *d = ctx;
    enum link_mode mode;

    pthread_mutex_lock(&lock);
    mode = d->link;
    if (mode == LINK_SILENT) {
        stay_silent(d->store.life, &d->store.life, &d->link_silent);
    }
    pthread_mutex_unlock(&lock);
    if (mode == LINK_SILENT) {
        return false;
    }
    if (mode == LINK_BUSY) {
        answer_json(a, 503, json_object());
        return true;
    }
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

struct daemon *
daemon_new(const char *name)
{
    struct daemon *d = calloc(1, sizeof(*d));
    char path[128];
    FILE *f;

    snprintf(d->name, sizeof(d->name), "%s", name);
    d->front = free_port();
    d->ready = free_port();
    d->peer = free_port();
    d->metrics = free_port();
    server_start(&d->store, store_request, d);
    snprintf(path, sizeof(path), "%s/%s.json", scratch, name);
    f = fopen(path, "w");
    fprintf(f,
            "{\"daemon\":\"%s\",\"dc\":\"z1\",\"listen\":\"127.0.0.1:%d\","
            "\"ready_listen\":\"127.0.0.1:%d\","
            "\"peer_listen\":\"127.0.0.1:%d\","
            "\"metrics_listen\":\"127.0.0.1:%d\",\"cores\":0.25,"
            "\"member_ttl_min_ms\":1000,\"grace_s\":%d,\"status_s\":120,"
            "\"move_s\":1.5,\"vm_lease_ms\":3000,"
            "\"store\":\"127.0.0.1:%d\"}\n",
            name, d->front, d->ready, d->peer, d->metrics, GRACE_S,
            d->store.port);
    fclose(f);
    daemons[daemon_count++] = d;
    return d;
}

void
daemon_start(struct daemon *d)
{
    char settings[160];
    char log[600];
    pid_t parent = getpid();

    snprintf(settings, sizeof(settings), "%s/%s.json", scratch, d->name);
    snprintf(log, sizeof(log), "%s/%s.log", scratch, d->name);
    rec("daemon %s: starts", d->name);
    d->pid = fork();
    if (d->pid == 0) {
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
        char *argv[] = {"target/cuminwalkd", "--jobs", NULL};

        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(1);
        }
        dup2(fd, 1);
        dup2(fd, 2);
        setenv("CUMINWALK_SETTINGS", settings, 1);
        execv(argv[0], argv);
        _exit(127);
    }
}

void
daemon_signal(struct daemon *d, int signum)
{
    rec("daemon %s: signal %d", d->name, signum);
    kill(d->pid, signum);
}

void
daemon_kill(struct daemon *d)
{
    if (d->pid > 0) {
        rec("daemon %s: killed", d->name);
        kill(d->pid, SIGKILL);
        waitpid(d->pid, NULL, 0);
        d->pid = 0;
    }
}

void
daemon_link(struct daemon *d, enum link_mode m)
{
    static const char *const names[] = {"sound", "silent", "busy"};

    pthread_mutex_lock(&lock);
    rec("daemon %s: its way to the store is %s", d->name, names[m]);
    d->link = m;
    d->link_silent = m == LINK_SILENT;
    if (m == LINK_SILENT) {
        pthread_cond_broadcast(&changed);
    }
    pthread_mutex_unlock(&lock);
}

const char *
daemon_name(const struct daemon *d)
{
    return d->name;
}

struct daemon *
store_owner(void)
{
    struct daemon *out = NULL;

    pthread_mutex_lock(&lock);
    for (int i = 0; i < daemon_count; i++) {
        char name[64];

        snprintf(name, sizeof(name), "127.0.0.1:%d", daemons[i]->peer);
        if (strcmp(owners[0], name) == 0) {
            out = daemons[i];
        }
    }
    pthread_mutex_unlock(&lock);
    return out;
}

bool
wait_owner(struct daemon *d, long long timeout)
{
    long long until = now_ms() + timeout;

    while (store_owner() != d && now_ms() < until) {
        sleep_ms(10);
    }
    return store_owner() == d;
}

long long
store_epoch(void)
{
    long long e;

    pthread_mutex_lock(&lock);
    e = topic_get("keyed.cuminwalk-jobs")->epoch;
    pthread_mutex_unlock(&lock);
    return e;
}

long long
store_appends(void)
{
    long long n;

    pthread_mutex_lock(&lock);
    n = topic_get("keyed.cuminwalk-jobs")->epoch_appends;
    pthread_mutex_unlock(&lock);
    return n;
}

/* ---- clients ---- */

static int
http(int port, const char *method, const char *path, const char *body,
     long long timeout, char *out, size_t size)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons((uint16_t)port)};
    struct timeval tv = {timeout / 1000, timeout % 1000 * 1000};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    char buf[8192];
    size_t n;
    size_t have = 0;
    int status = 0;
    ssize_t got;

    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
    if (out != NULL) {
        out[0] = '\0';
    }
    if (connect(fd, (struct sockaddr *)&a, sizeof(a)) != 0) {
        close(fd);
        return 0;
    }
    n = (size_t)snprintf(buf, sizeof(buf),
                         "%s %s HTTP/1.1\r\nHost: " HOST "\r\n"
                         "Connection: close\r\nX-Timeout-Ms: %lld\r\n"
                         "Content-Type: application/json\r\n"
                         "Content-Length: %zu\r\n\r\n%s",
                         method, path, timeout, strlen(body), body);
    if (write_all(fd, buf, n)) {
        while (have < sizeof(buf) - 1 &&
               (got = recv(fd, buf + have, sizeof(buf) - 1 - have, 0)) > 0) {
            have += (size_t)got;
        }
        buf[have] = '\0';
        if (sscanf(buf, "HTTP/1.1 %d", &status) != 1) {
            status = 0;
        }
        if (out != NULL && strstr(buf, "\r\n\r\n") != NULL) {
            snprintf(out, size, "%s", strstr(buf, "\r\n\r\n") + 4);
        }
    }
    close(fd);
    return status;
}

int
call(struct daemon *d, const char *method, const char *path, const char *body,
     long long timeout, char *out, size_t size)
{
    char text[512];
    long long sent = now_ms();
    int status = http(d->front, method, path, body, timeout, text,
                      sizeof(text));

    rec("client: %s %s at %s sent at %.3f s -> %d %s", method, path, d->name,
        (double)sent / 1000, status, text);
    if (out != NULL) {
        snprintf(out, size, "%s", text);
    }
    return status;
}

int
submit(struct daemon **d, int n, const char *id, int count, int cpu, int ms,
       const char *more, long long timeout)
{
    char path[64];
    char body[512];
    long long until = now_ms() + timeout;
    int status = 0;

    snprintf(path, sizeof(path), PREFIX "%s", id);
    snprintf(body, sizeof(body),
             "{\"spec\":\"d=%d c=%d\",\"steps\":[{\"count\":%d,\"cpu\":%d,"
             "\"memMb\":64,\"estimateMs\":%d%s}]}",
             ms, cpu, count, cpu, ms == 0 ? 1000 : ms, more);
    for (int i = 0; now_ms() < until; i++) {
        status = call(d[i % n], "POST", path, body, 3000, NULL, 0);
        if (status / 100 == 2) {
            break;
        }
        sleep_ms(200);
    }
    return status;
}

int
get_state(struct daemon *d, const char *id, char *state, size_t size)
{
    char path[64];
    char body[256];
    int status;
    json_t *o;

    snprintf(path, sizeof(path), PREFIX "%s", id);
    status = call(d, "GET", path, "", 3000, body, sizeof(body));
    o = json_loads(body, 0, NULL);
    if (state != NULL) {
        const char *s = json_string_value(json_object_get(o, "state"));

        snprintf(state, size, "%s", s == NULL ? "" : s);
    }
    json_decref(o);
    return status;
}

bool
daemon_ready(struct daemon *d)
{
    return http(d->ready, "GET", "/v1/readiness", "", 1000, NULL, 0) == 200;
}

bool
daemon_wait_ready(struct daemon *d, long long timeout)
{
    long long until = now_ms() + timeout;

    while (now_ms() < until) {
        if (daemon_ready(d)) {
            return true;
        }
        sleep_ms(20);
    }
    return false;
}

void
put_config(void)
{
    store_put("keyed.op", "config",
              "{\"version\":3,\"routes\":[{\"name\":\"queue-1\",\"host\":\"" HOST
              "\",\"pathPrefix\":\"" PREFIX
              "\",\"kind\":\"unsafe\",\"timeoutMs\":3000,\"sloMs\":600,"
              "\"priority\":1,\"service\":\"" SERVICE
              "\",\"maxAttempts\":3,\"stretch\":1.6}],"
              "\"services\":[{\"name\":\"" SERVICE
              "\",\"enforcesCapacity\":true}],\"limits\":{}}");
}

/* ---- the whole ---- */

static void *
tick(void *arg)
{
    (void)arg;
    for (;;) {
        long long now;

        sleep_ms(5);
        pthread_mutex_lock(&lock);
        now = now_ms();
        group_tick(now);
        for (int i = 0; i < worker_count; i++) {
            worker_tick(workers[i], now);
        }
        pthread_mutex_unlock(&lock);
    }
    return NULL;
}

static void
end_daemons(void)
{
    for (int i = 0; i < daemon_count; i++) {
        if (daemons[i]->pid > 0) {
            kill(daemons[i]->pid, SIGKILL);
            waitpid(daemons[i]->pid, NULL, 0);
        }
    }
}

static void
remove_scratch(void)
{
    char path[128];

    for (int i = 0; i < daemon_count; i++) {
        snprintf(path, sizeof(path), "%s/%s.json", scratch, daemons[i]->name);
        unlink(path);
        snprintf(path, sizeof(path), "%s/%s.log", scratch, daemons[i]->name);
        if (getenv("KEEP_LOGS") == NULL) {
            unlink(path);
        }
    }
    rmdir(scratch);
}

static void
on_alarm(int signum)
{
    (void)signum;
    end_daemons();
    _exit(2);
}

void
rig_init(int argc, char **argv)
{
    char path[600];
    pthread_condattr_t attr;
    pthread_t t;

    started_at = clock_ms(CLOCK_MONOTONIC);
    snprintf(folder, sizeof(folder), "%s", argc > 1 ? argv[1] : ".");
    snprintf(path, sizeof(path), "%s/record.txt", folder);
    record = fopen(path, "w");
    snprintf(scratch, sizeof(scratch), "/tmp/review.XXXXXX");
    if (record == NULL || mkdtemp(scratch) == NULL ||
        access("target/cuminwalkd", X_OK) != 0) {
        fprintf(stderr, "cannot run: %s\n", strerror(errno));
        exit(2);
    }
    signal(SIGPIPE, SIG_IGN);
    signal(SIGALRM, on_alarm);
    signal(SIGTERM, on_alarm);
    signal(SIGINT, on_alarm);
    alarm(110);
    pthread_condattr_init(&attr);
    pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
    pthread_cond_init(&changed, &attr);
    pthread_create(&t, NULL, tick, NULL);
    rec("case: trouble=%d", rig_trouble());
}

bool
rig_trouble(void)
{
    const char *v = getenv("TROUBLE");

    return v == NULL || strcmp(v, "0") != 0;
}

void
rig_exit(int code, const char *fmt, ...)
{
    char text[512];
    va_list ap;

    va_start(ap, fmt);
    vsnprintf(text, sizeof(text), fmt, ap);
    va_end(ap);
    end_daemons();
    rec("result: %s: %s",
        code == 1   ? "the rule was broken"
        : code == 0 ? "the rule held"
                    : "the case could not run",
        text);
    printf("%s\n", text);
    fflush(stdout);
    remove_scratch();
    _exit(code);
}
