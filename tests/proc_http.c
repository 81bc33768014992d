/* A blocking HTTP client for tests. */
#include "proc.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static int
connect_loopback(int port)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons((uint16_t)port)};
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd >= 0 && connect(fd, (struct sockaddr *)&a, sizeof(a)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

static bool
send_all(int fd, struct cw_str text)
{
    while (text.len > 0) {
        ssize_t n = send(fd, text.ptr, text.len, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        text.ptr += n;
        text.len -= (size_t)n;
    }
    return true;
}

struct cw_str
proc_header(const struct proc_answer *a, const char *name)
{
    size_t n = strlen(name);
    const char *p = a->text.ptr;
    const char *end = p + a->head_len;
    while (p < end) {
        const char *nl = memchr(p, '\n', (size_t)(end - p));
        size_t len = (size_t)((nl == NULL ? end : nl) - p);
        if (len > n && p[n] == ':' &&
            cw_str_eq_nocase((struct cw_str){p, n}, cw_str_from(name))) {
            struct cw_str v = {p + n + 1, len - n - 1};
            while (v.len > 0 && (*v.ptr == ' ')) {
                v.ptr++;
                v.len--;
            }
            while (v.len > 0 && v.ptr[v.len - 1] == '\r') {
                v.len--;
            }
            return v;
        }
        p += len + 1;
    }
    return (struct cw_str){NULL, 0};
}

struct cw_str
proc_body(const struct proc_answer *a)
{
    return (struct cw_str){a->text.ptr + a->head_len,
                           a->text.len - a->head_len};
}

/* Decodes a complete chunked body in place; false while it is incomplete. */
static bool
decode_chunks(struct proc_answer *a)
{
    struct cw_buf out;
    cw_buf_init(&out);
    const char *p = a->text.ptr + a->head_len;
    const char *end = a->text.ptr + a->text.len;
    for (;;) {
        const char *nl = memmem(p, (size_t)(end - p), "\r\n", 2);
        char *stop = NULL;
        size_t size = nl == NULL ? 0 : strtoull(p, &stop, 16);
        if (nl == NULL || stop == p || (size_t)(end - nl) < size + 4) {
            cw_buf_finish(&out);
            return false;
        }
        cw_buf_add(&out, nl + 2, size);
        p = nl + 2 + size + 2;
        if (size == 0) {
            break;
        }
    }
    a->text.len = a->head_len;
    cw_buf_add_str(&a->text, cw_buf_str(&out));
    cw_buf_finish(&out);
    return true;
}

/* Parses the head once it is there. True when the body is complete; without
 * framing headers it ends when the peer closes the connection. */
static bool
is_complete(struct proc_answer *a, bool peer_closed)
{
    uint64_t length;
    if (a->head_len == 0) {
        const char *end = memmem(a->text.ptr, a->text.len, "\r\n\r\n", 4);
        if (end == NULL) {
            return false;
        }
        a->head_len = (size_t)(end - a->text.ptr) + 4;
        a->status = atoi(a->text.ptr + 9);
    }
    if (proc_header(a, "transfer-encoding").len > 0) {
        return decode_chunks(a);
    }
    if (cw_str_to_u64(proc_header(a, "content-length"), &length)) {
        return a->text.len - a->head_len >= length;
    }
    return peer_closed;
}

static bool
receive_response(int fd, int timeout_ms, struct proc_answer *a)
{
    int64_t end = proc_now_ms() + timeout_ms;
    char part[16384];
    for (;;) {
        int64_t left = end - proc_now_ms();
        struct pollfd p = {.fd = fd, .events = POLLIN};
        if (left <= 0 || poll(&p, 1, (int)left) <= 0) {
            return false;
        }
        ssize_t n = recv(fd, part, sizeof(part), 0);
        if (n <= 0) {
            return n == 0 && a->text.len > 0 && is_complete(a, true);
        }
        cw_buf_add(&a->text, part, (size_t)n);
        if (is_complete(a, false)) {
            return true;
        }
    }
}

bool
proc_http(int port, const char *method, const char *path, const char *headers,
          const char *body, int timeout_ms, struct proc_answer *a)
{
    memset(a, 0, sizeof(*a));
    cw_buf_init(&a->text);
    int fd = connect_loopback(port);
    if (fd < 0) {
        return false;
    }
    struct cw_buf b;
    cw_buf_init(&b);
    cw_buf_addf(&b,
                "%s %s HTTP/1.1\r\nHost: test\r\nConnection: close\r\n"
                "%sContent-Length: %zu\r\n\r\n%s",
                method, path, headers, strlen(body), body);
    a->complete =
        send_all(fd, cw_buf_str(&b)) && receive_response(fd, timeout_ms, a);
    cw_buf_finish(&b);
    close(fd);
    return a->complete;
}

void
proc_answer_finish(struct proc_answer *a)
{
    cw_buf_finish(&a->text);
}

json_t *
proc_http_json(int port, const char *path, const char *body)
{
    struct proc_answer a;
    json_t *o = NULL;
    if (proc_http(port, body == NULL ? "GET" : "POST", path, "",
                  body == NULL ? "" : body, 5000, &a)) {
        struct cw_str text = proc_body(&a);
        o = json_loadb(text.ptr, text.len, 0, NULL);
    }
    proc_answer_finish(&a);
    return o;
}

int64_t
proc_http_json_number(int port, const char *path, const char *key)
{
    json_t *o = proc_http_json(port, path, NULL);
    const json_t *v = json_object_get(o, key);
    int64_t n = json_is_integer(v) ? json_integer_value(v) : -1;
    json_decref(o);
    return n;
}

struct status_wait {
    int port;
    const char *path;
    int status;
};

static bool
has_status(void *arg)
{
    const struct status_wait *w = arg;
    struct proc_answer a;
    bool ok = proc_http(w->port, "GET", w->path, "", "", 1000, &a) &&
              a.status == w->status;
    proc_answer_finish(&a);
    return ok;
}

bool
proc_wait_status(int port, const char *path, int status, int timeout_ms)
{
    struct status_wait w = {port, path, status};
    return proc_wait_until(has_status, &w, timeout_ms);
}
