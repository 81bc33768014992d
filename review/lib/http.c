/* HTTP servers of the stand-ins: a thread for each connection. */
#include "rig_int.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

struct conn {
    struct server *s;
    int fd;
    unsigned life;
};

void
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

bool
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

    pthread_mutex_lock(&rig_lock);
    same = c->life == c->s->life;
    pthread_mutex_unlock(&rig_lock);
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
    pthread_mutex_lock(&rig_lock);
    for (int i = 0; i < 512; i++) {
        if (c->life == s->life && s->conns[i] == c->fd + 1) {
            s->conns[i] = 0;
        }
    }
    close(c->fd);
    pthread_mutex_unlock(&rig_lock);
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

        pthread_mutex_lock(&rig_lock);
        listener = s->fd;
        pthread_mutex_unlock(&rig_lock);
        if (listener < 0) {
            sleep_ms(2);
            continue;
        }
        p = (struct pollfd){listener, POLLIN, 0};
        if (poll(&p, 1, 5) <= 0) {
            continue;
        }
        pthread_mutex_lock(&rig_lock);
        fd = s->fd < 0 ? -1 : accept4(s->fd, NULL, NULL, SOCK_CLOEXEC);
        if (fd < 0) {
            pthread_mutex_unlock(&rig_lock);
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
        pthread_mutex_unlock(&rig_lock);
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
int
free_port(void)
{
    int port = 0;

    (void)bind_to(&port);
    return port;
}

int
listen_on(int port)
{
    int fd = bind_to(&port);

    if (listen(fd, 128) != 0) {
        rig_exit(2, "cannot listen: %s", strerror(errno));
    }
    return fd;
}

void
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
void
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
    pthread_cond_broadcast(&rig_changed);
}

/* ---- query parameters ---- */

bool
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

long long
param_int(const char *path, const char *name, long long fallback)
{
    char text[64];

    return param(path, name, text, sizeof(text)) ? strtoll(text, NULL, 10)
                                                 : fallback;
}

/* Waits with the lock held until something changes or the time has come. */
void
wait_change(long long until)
{
    long long at = until + rig_started_at;
    struct timespec t = {at / 1000, at % 1000 * 1000000};

    pthread_cond_timedwait(&rig_changed, &rig_lock, &t);
}

/* With the lock held: the request does not arrive, and nothing is answered. */
void
stay_silent(unsigned life, const unsigned *now_life, const bool *silent)
{
    long long until = now_ms() + 3000;

    while (life == *now_life && now_ms() < until && *silent) {
        wait_change(now_ms() + 50);
    }
}
