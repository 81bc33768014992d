/* Sockets of the stand-ins, on one thread. */
#include "rig2.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNS_MAX 8192
#define PORTS_MAX 256

struct port {
    int fd, number;
    serve_fn fn;
    void *ctx;
};
struct conn {
    int fd; /* -1: free */
    struct port *port;
    unsigned serial; /* of the latest request */
    bool busy;       /* it has no answer yet */
    bool broken;     /* to be closed by the loop */
    bool closing;    /* after the answer */
    char *in, *out;
    size_t in_len, in_cap, out_len, out_cap, out_sent;
};
struct timer {
    struct timer *next;
    ms_t at;
    void (*fn)(void *arg);
    void *arg;
};
struct held_answer {
    struct req r;
    char *bytes;
    size_t len;
};

pthread_mutex_t rig_lock;
static struct port ports[PORTS_MAX];
static int port_count;
static struct conn conns[CONNS_MAX];
static int conn_high;
static struct timer *timers;
static int ep;

static void
set_nonblocking(int fd)
{
    (void)fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
}

int
serve(serve_fn fn, void *ctx)
{
    struct sockaddr_in a = {.sin_family = AF_INET};
    socklen_t len = sizeof(a);
    struct port *p = NULL;
    struct epoll_event ev = {.events = EPOLLIN};

    for (int i = 0; i < port_count; i++) {
        if (ports[i].fd < 0) {
            p = &ports[i];
        }
    }
    if (p == NULL) {
        p = port_count < PORTS_MAX ? &ports[port_count++] : NULL;
    }
    if (p == NULL) {
        rig_exit(2, "too many ports");
    }
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    p->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (p->fd < 0 || bind(p->fd, (struct sockaddr *)&a, sizeof(a)) != 0 ||
        listen(p->fd, 512) != 0 ||
        getsockname(p->fd, (struct sockaddr *)&a, &len) != 0) {
        rig_exit(2, "cannot listen: %s", strerror(errno));
    }
    set_nonblocking(p->fd);
    p->number = ntohs(a.sin_port);
    p->fn = fn;
    p->ctx = ctx;
    if (ep == 0) {
        ep = epoll_create1(EPOLL_CLOEXEC);
    }
    ev.data.ptr = p;
    (void)epoll_ctl(ep, EPOLL_CTL_ADD, p->fd, &ev);
    return p->number;
}

static void
conn_close(struct conn *c, bool reset)
{
    struct linger l = {1, 0};

    if (c->fd < 0) {
        return;
    }
    if (reset) {
        (void)setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
    }
    close(c->fd);
    c->fd = -1;
    c->serial++;
    c->busy = false;
    c->broken = false;
    c->in_len = c->out_len = c->out_sent = 0;
}

void
serve_stop(int number)
{
    for (int i = 0; i < port_count; i++) {
        if (ports[i].fd >= 0 && ports[i].number == number) {
            for (int k = 0; k < conn_high; k++) {
                if (conns[k].fd >= 0 && conns[k].port == &ports[i]) {
                    conn_close(&conns[k], true);
                }
            }
            close(ports[i].fd);
            ports[i].fd = -1;
        }
    }
}

static void
append_bytes(char **buf, size_t *len, size_t *cap, const char *p, size_t n)
{
    if (*len + n + 1 > *cap) {
        *cap = (*len + n + 1) * 2;
        *buf = realloc(*buf, *cap);
        if (*buf == NULL) {
            abort();
        }
    }
    memcpy(*buf + *len, p, n);
    *len += n;
    (*buf)[*len] = '\0';
}

static void
flush(struct conn *c)
{
    struct epoll_event ev = {.events = EPOLLIN, .data.ptr = c};

    while (c->out_sent < c->out_len) {
        ssize_t n = send(c->fd, c->out + c->out_sent, c->out_len - c->out_sent,
                         MSG_NOSIGNAL);

        if (n < 0 && errno == EAGAIN) {
            ev.events |= EPOLLOUT;
            break;
        }
        if (n <= 0) {
            c->broken = true;
            break;
        }
        c->out_sent += (size_t)n;
    }
    if (c->out_sent == c->out_len) {
        c->out_sent = c->out_len = 0;
        c->broken |= c->closing && !c->busy;
    }
    (void)epoll_ctl(ep, EPOLL_CTL_MOD, c->fd, &ev);
}

static bool
is_open(const struct req *r)
{
    return r->conn != NULL && r->conn->fd >= 0 &&
           r->conn->serial == r->serial && r->conn->busy;
}

static void serve_input(struct conn *c);

static void
send_now(const struct req *r, const char *bytes, size_t len)
{
    struct conn *c = r->conn;

    if (!is_open(r)) {
        return;
    }
    append_bytes(&c->out, &c->out_len, &c->out_cap, bytes, len);
    c->busy = false;
    flush(c);
}

static void
send_held(void *arg)
{
    struct held_answer *h = arg;

    send_now(&h->r, h->bytes, h->len);
    if (h->r.conn->fd >= 0 && h->r.conn->serial == h->r.serial) {
        serve_input(h->r.conn);
    }
    if (h->r.conn->fd >= 0 && h->r.conn->broken) {
        conn_close(h->r.conn, false);
    }
    free(h->bytes);
    free(h);
}

void
answer(const struct req *r, int status, const char *body, size_t len, ms_t at)
{
    char head[160];
    int n =
        snprintf(head, sizeof(head),
                 "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                 "Content-Length: %zu\r\n%s\r\n",
                 status, len, r->conn->closing ? "Connection: close\r\n" : "");
    struct held_answer *h = calloc(1, sizeof(*h));

    h->r = *r;
    h->len = (size_t)n + len;
    h->bytes = malloc(h->len + 1);
    memcpy(h->bytes, head, (size_t)n);
    if (len > 0) {
        memcpy(h->bytes + n, body, len);
    }
    later(at, send_held, h);
}

void
answer_json(const struct req *r, int status, json_t *o, ms_t at)
{
    char *text = json_dumps(o, JSON_COMPACT);

    answer(r, status, text, strlen(text), at);
    free(text);
    json_decref(o);
}

void
close_after(const struct req *r)
{
    r->conn->closing = true;
}

void
answer_none(const struct req *r)
{
    if (is_open(r)) {
        conn_close(r->conn, true);
    }
}

static const char *
find_param(const struct req *r, const char *name)
{
    const char *p = strchr(r->path, '?');
    size_t n = strlen(name);

    while (p != NULL) {
        p++;
        if (strncmp(p, name, n) == 0 && p[n] == '=') {
            return p + n + 1;
        }
        p = strchr(p, '&');
    }
    return NULL;
}

long long
param(const struct req *r, const char *name, long long otherwise)
{
    const char *v = find_param(r, name);

    return v == NULL ? otherwise : strtoll(v, NULL, 10);
}

bool
param_text(const struct req *r, const char *name, char *out, size_t max)
{
    const char *v = find_param(r, name);
    size_t n = 0;

    out[0] = '\0';
    while (v != NULL && *v != '\0' && *v != '&' && n + 1 < max) {
        if (*v == '%' && v[1] != '\0' && v[2] != '\0') {
            char hex[3] = {v[1], v[2], 0};

            out[n++] = (char)strtol(hex, NULL, 16);
            v += 3;
        }
        else {
            out[n++] = *v++;
        }
    }
    out[n] = '\0';
    return v != NULL;
}

bool
header(const struct req *r, const char *name, char *out, size_t max)
{
    char key[64];
    const char *p;
    size_t n = 0;

    (void)snprintf(key, sizeof(key), "\r\n%s:", name);
    p = strcasestr(r->head, key);
    out[0] = '\0';
    if (p == NULL) {
        return false;
    }
    p += strlen(key);
    while (*p == ' ') {
        p++;
    }
    while (*p != '\r' && *p != '\0' && n + 1 < max) {
        out[n++] = *p++;
    }
    out[n] = '\0';
    return true;
}

/* Serves the requests that have arrived whole, one after the other. */
static void
serve_input(struct conn *c)
{
    while (c->fd >= 0 && !c->busy && !c->broken) {
        char *end = c->in_len == 0 ? NULL : strstr(c->in, "\r\n\r\n");
        struct req r = {.conn = c};
        const char *cl;
        size_t head_len;
        size_t body_len;

        if (end == NULL) {
            return;
        }
        head_len = (size_t)(end + 4 - c->in);
        end[2] = '\0';
        cl = strcasestr(c->in, "\r\ncontent-length:");
        body_len = cl == NULL ? 0 : strtoull(cl + 17, NULL, 10);
        if (c->in_len < head_len + body_len) {
            end[2] = '\r';
            return;
        }
        if (sscanf(c->in, "%7s %1023s", r.method, r.path) != 2) {
            c->broken = true;
            return;
        }
        r.head = c->in;
        r.body = c->in + head_len;
        r.body_len = body_len;
        c->busy = true;
        r.serial = ++c->serial;
        c->port->fn(c->port->ctx, &r);
        if (c->fd >= 0) {
            c->in_len -= head_len + body_len;
            memmove(c->in, c->in + head_len + body_len, c->in_len);
            c->in[c->in_len] = '\0';
        }
    }
}

static void
accept_all(struct port *p)
{
    int fd;

    while ((fd = accept4(p->fd, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK)) >=
           0) {
        struct conn *c = NULL;
        struct epoll_event ev = {.events = EPOLLIN};
        int one = 1;

        for (int i = 0; i < CONNS_MAX && c == NULL; i++) {
            if (i >= conn_high || conns[i].fd < 0) {
                c = &conns[i];
                conn_high = i >= conn_high ? i + 1 : conn_high;
            }
        }
        if (c == NULL) {
            close(fd);
            continue;
        }
        (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        c->fd = fd;
        c->port = p;
        c->busy = false;
        c->broken = false;
        c->closing = false;
        c->in_len = c->out_len = c->out_sent = 0;
        ev.data.ptr = c;
        (void)epoll_ctl(ep, EPOLL_CTL_ADD, fd, &ev);
    }
}

static void
read_all(struct conn *c)
{
    static char buf[65536];
    ssize_t n;

    while (c->fd >= 0 && (n = read(c->fd, buf, sizeof(buf))) != 0) {
        if (n < 0) {
            if (errno != EAGAIN) {
                conn_close(c, false);
            }
            break;
        }
        append_bytes(&c->in, &c->in_len, &c->in_cap, buf, (size_t)n);
    }
    if (c->fd >= 0 && n == 0) {
        conn_close(c, false);
        return;
    }
    serve_input(c);
}

void
later(ms_t at, void (*fn)(void *arg), void *arg)
{
    struct timer *t = calloc(1, sizeof(*t));
    struct timer **link = &timers;

    *t = (struct timer){NULL, at, fn, arg};
    while (*link != NULL && (*link)->at <= at) {
        link = &(*link)->next;
    }
    t->next = *link;
    *link = t;
}

static void
run_timers(void)
{
    while (timers != NULL && timers->at <= now_ms()) {
        struct timer t = *timers;

        free(timers);
        timers = t.next;
        t.fn(t.arg);
    }
}

static void *
loop(void *arg)
{
    struct epoll_event ev[256];

    for (;;) {
        int n = epoll_wait(ep, ev, 256, 1);

        pthread_mutex_lock(&rig_lock);
        for (int i = 0; i < n; i++) {
            char *p = ev[i].data.ptr;
            struct conn *c = ev[i].data.ptr;

            if (p >= (char *)ports && p < (char *)(ports + PORTS_MAX)) {
                if (((struct port *)p)->fd >= 0) {
                    accept_all((struct port *)p);
                }
                continue;
            }
            if (c->fd >= 0 && (ev[i].events & EPOLLOUT) != 0) {
                flush(c);
            }
            if (c->fd >= 0 && (ev[i].events & ~(unsigned)EPOLLOUT) != 0) {
                read_all(c);
            }
            if (c->fd >= 0 && c->broken) {
                conn_close(c, false);
            }
        }
        run_timers();
        pthread_mutex_unlock(&rig_lock);
    }
    return arg;
}

void
serve_start(void)
{
    pthread_t t;

    for (int i = 0; i < CONNS_MAX; i++) {
        conns[i].fd = -1;
    }
    if (pthread_create(&t, NULL, loop, NULL) != 0) {
        rig_exit(2, "no thread");
    }
}
