/* A log service on the loopback interface, for tests: one thread, one request
 * at a time. */
#include "log_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

void
log_server_add(struct log_server *s, struct cw_str record)
{
    CW_INVARIANT(s->count < LOG_SERVER_RECORDS_MAX);
    s->records[s->count++] = strndup(record.ptr, record.len);
}

/* Handles an append; the body is an array with one record. */
static void
handle_append(struct log_server *s, const char *body, struct cw_buf *out)
{
    if (s->drop_appends > 0) {
        s->drop_appends--;
        return;
    }
    if (s->racing_record != NULL) {
        log_server_add(s, cw_str_from(s->racing_record));
        s->racing_record = NULL;
    }
    log_server_add(s, (struct cw_str){body + 1, strlen(body) - 2});
    if (s->lose_answers > 0) {
        s->lose_answers--;
        return;
    }
    cw_buf_addf(out, "{\"offset\":%llu}", (unsigned long long)s->count);
}

static int
handle_request(struct log_server *s, const char *request, const char *body,
               struct cw_buf *out)
{
    const char *from = strstr(request, "from=");
    if (strncmp(request, "POST ", 5) == 0) {
        handle_append(s, body, out);
        return 200;
    }
    if (from == NULL) {
        cw_buf_addf(out, "%s", s->members);
        return 200;
    }
    uint64_t n = strtoull(from + 5, NULL, 10);
    if (n < s->first) {
        cw_buf_addf(out, "{\"first\":%llu}", (unsigned long long)s->first);
        return 410;
    }
    cw_buf_addf(out, "{\"first\":%llu,\"next\":%llu,\"records\":[",
                (unsigned long long)s->first,
                (unsigned long long)(n > s->count ? n : s->count + 1));
    for (uint64_t k = n; k <= s->count; k++) {
        cw_buf_addf(out, "%s{\"offset\":%llu,\"time\":%llu,\"data\":%s}",
                    k == n ? "" : ",", (unsigned long long)k,
                    (unsigned long long)k * 1000, s->records[k - 1]);
    }
    cw_buf_addf(out, "]}");
    return 200;
}

static void
serve_connection(struct log_server *s, int fd)
{
    static char in[64 * 1024];
    size_t len = 0;
    const char *body = NULL;
    size_t body_len = 0;
    while (body == NULL || (size_t)(in + len - body) < body_len) {
        ssize_t n = read(fd, in + len, sizeof(in) - 1 - len);
        if (n <= 0) {
            return;
        }
        len += (size_t)n;
        in[len] = '\0';
        body = strstr(in, "\r\n\r\n");
        body = body == NULL ? NULL : body + 4;
        const char *length = strstr(in, "Content-Length: ");
        body_len = length == NULL ? 0 : strtoull(length + 16, NULL, 10);
    }
    struct cw_buf out, reply;
    cw_buf_init(&out);
    cw_buf_init(&reply);
    int status = handle_request(s, in, body, &out);
    if (out.len > 0) {
        cw_buf_addf(&reply,
                    "HTTP/1.1 %d X\r\nContent-Length: %zu\r\n"
                    "Connection: close\r\n\r\n%s",
                    status, out.len, out.ptr);
        (void)send(fd, reply.ptr, reply.len, MSG_NOSIGNAL);
    }
    cw_buf_finish(&out);
    cw_buf_finish(&reply);
}

static void *
accept_loop(void *arg)
{
    struct log_server *s = arg;
    int fd;
    while ((fd = accept(s->fd, NULL, NULL)) >= 0) {
        serve_connection(s, fd);
        close(fd);
    }
    return NULL;
}

void
log_server_start(struct log_server *s)
{
    memset(s, 0, sizeof(*s));
    s->first = 1;
    s->members = "{}";
    struct sockaddr_in a = {.sin_family = AF_INET};
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t len = sizeof(a);
    s->fd = socket(AF_INET, SOCK_STREAM, 0);
    CW_INVARIANT(s->fd >= 0 &&
                 bind(s->fd, (struct sockaddr *)&a, sizeof(a)) == 0 &&
                 listen(s->fd, 16) == 0 &&
                 getsockname(s->fd, (struct sockaddr *)&a, &len) == 0);
    snprintf(s->address, sizeof(s->address), "127.0.0.1:%d",
             ntohs(a.sin_port));
    CW_INVARIANT(pthread_create(&s->thread, NULL, accept_loop, s) == 0);
}

void
log_server_stop(struct log_server *s)
{
    shutdown(s->fd, SHUT_RDWR);
    pthread_join(s->thread, NULL);
    close(s->fd);
    for (uint64_t i = 0; i < s->count; i++) {
        free(s->records[i]);
    }
}
