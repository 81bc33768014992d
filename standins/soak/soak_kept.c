/* Calls on connections that a client keeps open: one to each daemon. */
#include "soak.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

static int
open_to(int port, long long timeout)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons((uint16_t)port)};
    struct timeval tv = {timeout / 1000, timeout % 1000 * 1000};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
    if (connect(fd, (struct sockaddr *)&a, sizeof(a)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

static bool
send_call(int fd, const char *method, const char *path, const char *body,
          long long timeout)
{
    char buf[1600];
    int n = snprintf(buf, sizeof(buf),
                     "%s %s HTTP/1.1\r\nHost: " HOST "\r\nX-Timeout-Ms: %lld"
                     "\r\nContent-Type: application/json\r\n"
                     "%s%s%s"
                     "Content-Length: %zu\r\n\r\n%s",
                     method, path, timeout,
                     client_key == NULL ? "" : "Authorization: Bearer ",
                     client_key == NULL ? "" : client_key,
                     client_key == NULL ? "" : "\r\n", strlen(body), body);

    return n < (int)sizeof(buf) && send(fd, buf, (size_t)n, MSG_NOSIGNAL) == n;
}

/* The status of one answer, 0 when it isn't complete in time. */
static int
read_answer(int fd, char *out, size_t size)
{
    char buf[2400];
    size_t have = 0;
    int status = 0;

    for (;;) {
        ssize_t n = recv(fd, buf + have, sizeof(buf) - 1 - have, 0);
        char *end;
        const char *len;

        if (n <= 0) {
            return 0;
        }
        have += (size_t)n;
        buf[have] = '\0';
        end = strstr(buf, "\r\n\r\n");
        len = strcasestr(buf, "content-length:");
        if (end != NULL && len != NULL &&
            have >= (size_t)(end + 4 - buf) + strtoul(len + 15, NULL, 10)) {
            (void)sscanf(buf, "HTTP/1.1 %d", &status);
            snprintf(out, size, "%s", end + 4);
            return status;
        }
    }
}

int
kept_call(struct kept *k, int i, const char *method, const char *path,
          const char *body, char *out, size_t size)
{
    long long sent = now_ms();
    int status = 0;

    out[0] = '\0';
    if (k->fd[i] <= 0) {
        k->fd[i] = open_to(daemon_front_port(soak_d[i]), KEPT_TIMEOUT_MS);
    }
    if (k->fd[i] > 0 &&
        send_call(k->fd[i], method, path, body, KEPT_TIMEOUT_MS)) {
        status = read_answer(k->fd[i], out, size);
    }
    if (status == 0 && k->fd[i] > 0) {
        close(k->fd[i]);
        k->fd[i] = 0;
    }
    rec("client: %s %s at %s, kept, sent at %.3f s -> %d %s", method, path,
        daemon_name(soak_d[i]), (double)sent / 1000, status, out);
    return status;
}
