/* Clients that are not under the operators' control, against one real daemon:
 * oversized, stalled and endless requests on many connections at once. The
 * connections stay open while the checks run. The checks do not depend on the
 * speed of the machine: the process lives, its peak of memory and of
 * descriptors stays under a bound, and an ordinary submission, the readiness
 * probe and the metrics page are answered. */
#include "rig_int.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

/* The crowd and the bounds are fixed: a change of the daemon must not need
 * another crowd. The VM of this daemon has MEMORY_MB and FDS_MAX descriptors,
 * of which a fifth must stay free for the store, workers and probes. */
#define CROWD 240
#define REOPENS 1 /* of each connection, after the daemon has closed it */
#define MEMORY_MB 32
#define FDS_MAX 160
#define FDS_BOUND 128
#define BODY_BYTES 262144 /* the largest legal body */
#define WIDE_BYTES 512
#define PIECE_BYTES 65536
#define SMALL_PIECE_BYTES 4096
#define CHUNK_BYTES 4096   /* with its frame */
#define SILENT_MS 2000     /* without a byte sent, the crowd is complete */
#define CROWD_MAX_MS 40000 /* then the checks begin in any case */
#define ANSWER_MS 30000

enum client_kind {
    CLIENT_ANNOUNCED, /* a content length far above the limit */
    CLIENT_CHUNKED,   /* a chunked body without an end */
    CLIENT_WHOLE,     /* a submission of the largest legal size */
    CLIENT_STALLED,   /* the same, without its last byte */
    CLIENT_HEADERS,   /* a request head without an end */
    CLIENT_SILENT,    /* a connection without a request */
    CLIENT_WIDE,      /* a submission of many tasks in a small body */
};

static const struct crowd_case {
    const char *name;
    enum client_kind kind;
    size_t bytes; /* sent after the head, at most */
    size_t piece;
} cases[] = {
    {"announced", CLIENT_ANNOUNCED, 2 << 20, PIECE_BYTES},
    {"chunked", CLIENT_CHUNKED, 2 << 20, PIECE_BYTES},
    {"whole", CLIENT_WHOLE, BODY_BYTES, PIECE_BYTES},
    {"stalled", CLIENT_STALLED, BODY_BYTES - 1, PIECE_BYTES},
    {"pieces", CLIENT_STALLED, BODY_BYTES - 1, SMALL_PIECE_BYTES},
    {"headers", CLIENT_HEADERS, 1 << 20, SMALL_PIECE_BYTES},
    {"silent", CLIENT_SILENT, 0, 1},
    {"wide", CLIENT_WIDE, WIDE_BYTES, PIECE_BYTES},
};

struct client {
    int fd; /* -1: closed */
    int reopens;
    char head[256];
    size_t head_len;
    size_t sent; /* of the head and the rest */
};

static struct client clients[CROWD];
static char body[2 << 20];
static int front_port;
static int ready_port;
static int metrics_port;
static pid_t pid;
static int fds_peak;

static void
fill_body(const struct crowd_case *c)
{
    static const char job[] =
        "{\"spec\":\"d=20 c=10\",\"steps\":[{\"count\":1,\"cpu\":10,"
        "\"memMb\":1,\"estimateMs\":20}]}";
    static const char wide[] =
        "{\"spec\":\"d=60000 c=7000\",\"steps\":[{\"count\":2000,"
        "\"cpu\":7000,\"memMb\":1,\"estimateMs\":60000}]}";
    static const char chunk_size[] = "ff9\r\n"; /* 4,089 bytes of 4,096 */
    char line[] = "x-fill: 0123456789012345678901234567890123456789012345678"
                  "90123456789\r\n";

    memset(body, ' ', sizeof(body));
    memcpy(body, job, sizeof(job) - 1);
    if (c->kind == CLIENT_WIDE) {
        memcpy(body, wide, sizeof(wide) - 1);
    }
    if (c->kind == CLIENT_HEADERS) {
        for (size_t i = 0; i + sizeof(line) < sizeof(body);
             i += sizeof(line) - 1) {
            memcpy(body + i, line, sizeof(line) - 1);
        }
    }
    for (size_t i = 0; c->kind == CLIENT_CHUNKED && i < sizeof(body);
         i += CHUNK_BYTES) {
        memcpy(body + i, chunk_size, sizeof(chunk_size) - 1);
        memcpy(body + i + CHUNK_BYTES - 2, &line[sizeof(line) - 3], 2);
    }
}

static void
client_open(struct client *k, const struct crowd_case *c, int number)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons((uint16_t)front_port)};
    size_t len = c->kind == CLIENT_ANNOUNCED ? (size_t)1 << 30
                 : c->kind == CLIENT_WIDE    ? WIDE_BYTES
                                             : BODY_BYTES;
    int n = 0;

    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    k->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (connect(k->fd, (struct sockaddr *)&a, sizeof(a)) != 0 &&
        errno != EINPROGRESS) {
        close(k->fd);
        k->fd = -1;
    }
    k->sent = 0;
    if (c->kind != CLIENT_SILENT) {
        n = snprintf(k->head, sizeof(k->head),
                     "POST " PREFIX "%08x%08x HTTP/1.1\r\nHost: " HOST "\r\n",
                     number + 1, k->reopens);
    }
    if (c->kind == CLIENT_CHUNKED) {
        n += snprintf(k->head + n, sizeof(k->head) - (size_t)n,
                      "Transfer-Encoding: chunked\r\n\r\n");
    }
    else if (c->kind != CLIENT_HEADERS && c->kind != CLIENT_SILENT) {
        n += snprintf(k->head + n, sizeof(k->head) - (size_t)n,
                      "Content-Length: %zu\r\n\r\n", len);
    }
    k->head_len = (size_t)n;
}

static void
client_closed(struct client *k, const struct crowd_case *c, int number)
{
    close(k->fd);
    k->fd = -1;
    if (k->reopens < REOPENS) {
        k->reopens++;
        client_open(k, c, number);
    }
}

/* Sends one piece. Returns the bytes sent; -1: the connection has ended. */
static ssize_t
client_send(struct client *k, const struct crowd_case *c)
{
    bool in_head = k->sent < k->head_len;
    const char *from =
        in_head ? k->head + k->sent : body + (k->sent - k->head_len);
    size_t left =
        in_head ? k->head_len - k->sent : c->bytes - (k->sent - k->head_len);
    ssize_t n = send(k->fd, from, left < c->piece ? left : c->piece,
                     MSG_NOSIGNAL | MSG_DONTWAIT);

    if (n > 0) {
        k->sent += (size_t)n;
        return n;
    }
    return errno == EAGAIN || errno == ENOTCONN || errno == EINPROGRESS ? 0
                                                                        : -1;
}

static int
fds_open(void)
{
    char path[64];
    DIR *dir;
    int n = -2; /* "." and ".." */

    snprintf(path, sizeof(path), "/proc/%d/fd", (int)pid);
    dir = opendir(path);
    while (dir != NULL && readdir(dir) != NULL) {
        n++;
    }
    if (dir != NULL) {
        closedir(dir);
    }
    return n;
}

static long
memory_peak_kb(void)
{
    char path[64];
    char line[256];
    long kb = -1;
    FILE *f;

    snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
    f = fopen(path, "r");
    while (f != NULL && fgets(line, sizeof(line), f) != NULL) {
        sscanf(line, "VmHWM: %ld", &kb);
    }
    if (f != NULL) {
        fclose(f);
    }
    return kb;
}

static bool
process_ended(int *status)
{
    return waitpid(pid, status, WNOHANG) == pid;
}

/* One pass over the crowd; returns whether any byte was sent. */
static bool
crowd_step(const struct crowd_case *c, bool *unsent)
{
    struct pollfd p[CROWD];
    bool moved = false;

    *unsent = false;
    for (int i = 0; i < CROWD; i++) {
        bool more = clients[i].sent < clients[i].head_len + c->bytes;

        p[i] = (struct pollfd){clients[i].fd,
                               (short)(POLLIN | (more ? POLLOUT : 0)), 0};
        *unsent |= more && clients[i].fd >= 0;
    }
    poll(p, CROWD, 20);
    for (int i = 0; i < CROWD; i++) {
        struct client *k = &clients[i];
        char drop[4096];
        bool ended = (p[i].revents & (POLLERR | POLLHUP)) != 0;

        if ((p[i].revents & POLLIN) != 0) {
            ended |= recv(k->fd, drop, sizeof(drop), MSG_DONTWAIT) == 0;
        }
        if (!ended && (p[i].revents & POLLOUT) != 0) {
            ssize_t n = client_send(k, c);

            moved |= n > 0;
            ended = n < 0;
        }
        if (ended && k->fd >= 0) {
            client_closed(k, c, i);
        }
    }
    return moved;
}

static void
run_crowd(const struct crowd_case *c)
{
    long long began = now_ms();
    long long moved_at = began;
    bool unsent = true;

    for (int i = 0; i < CROWD; i++) {
        client_open(&clients[i], c, i);
    }
    while (now_ms() - began < CROWD_MAX_MS &&
           now_ms() - moved_at < SILENT_MS) {
        int n;

        if (crowd_step(c, &unsent)) {
            moved_at = now_ms();
        }
        n = fds_open();
        fds_peak = n > fds_peak ? n : fds_peak;
    }
}

static int
crowd_open(void)
{
    int n = 0;

    for (int i = 0; i < CROWD; i++) {
        n += clients[i].fd >= 0;
    }
    return n;
}

/* Adds this test's limits to the settings that daemon_new has written, and
 * starts the process with the descriptors of its VM. */
static void
start_daemon(void)
{
    char path[256];
    char log[256];
    json_t *o;
    pid_t parent = getpid();

    snprintf(path, sizeof(path), "%s/front-1.json", rig_scratch);
    snprintf(log, sizeof(log), "%s/front-1.log", rig_scratch);
    o = json_load_file(path, 0, NULL);
    if (o == NULL) {
        rig_exit(2, "no settings");
    }
    sscanf(json_string_value(json_object_get(o, "listen")), "127.0.0.1:%d",
           &front_port);
    sscanf(json_string_value(json_object_get(o, "ready_listen")),
           "127.0.0.1:%d", &ready_port);
    sscanf(json_string_value(json_object_get(o, "metrics_listen")),
           "127.0.0.1:%d", &metrics_port);
    json_object_set_new(o, "memory_mb", json_integer(MEMORY_MB));
    json_object_set_new(o, "max_fds", json_integer(FDS_MAX));
    json_dump_file(o, path, 0);
    json_decref(o);
    pid = fork();
    if (pid == 0) {
        struct rlimit r = {FDS_MAX, FDS_MAX};
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
        char *argv[] = {"target/cuminwalkd", "--jobs", NULL};

        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(1);
        }
        dup2(fd, 1);
        dup2(fd, 2);
        close(fd);
        setrlimit(RLIMIT_NOFILE, &r);
        setenv("CUMINWALK_SETTINGS", path, 1);
        execv(argv[0], argv);
        _exit(127);
    }
}

/* GET on a listener, until it is answered or the time is over. */
static int
get_page(int port, const char *path)
{
    long long until = now_ms() + ANSWER_MS;
    int status = 0;

    while (status != 200 && now_ms() < until) {
        struct sockaddr_in a = {.sin_family = AF_INET,
                                .sin_port = htons((uint16_t)port)};
        struct timeval tv = {2, 0};
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        char text[256];
        int n = snprintf(text, sizeof(text),
                         "GET %s HTTP/1.1\r\nHost: a\r\n"
                         "Connection: close\r\n\r\n",
                         path);

        a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
        if (connect(fd, (struct sockaddr *)&a, sizeof(a)) == 0 &&
            write_all(fd, text, (size_t)n) &&
            (n = (int)recv(fd, text, sizeof(text) - 1, 0)) > 0) {
            text[n] = '\0';
            sscanf(text, "HTTP/1.1 %d", &status);
        }
        close(fd);
        if (status != 200) {
            sleep_ms(100);
        }
    }
    return status;
}

int
main(int argc, char **argv)
{
    const struct crowd_case *c = NULL;
    struct daemon *d;
    int status = 0;
    int submitted;
    int ready;
    int metrics;
    int broken;
    long kb;

    for (size_t i = 0; argc > 2 && i < sizeof(cases) / sizeof(cases[0]); i++) {
        c = strcmp(argv[2], cases[i].name) == 0 ? &cases[i] : c;
    }
    if (c == NULL) {
        fprintf(stderr, "usage: crowd FOLDER CASE\n");
        return 2;
    }
    rig_init(argc, argv);
    put_config();
    (void)worker_new(SERVICE, 8000);
    d = daemon_new("front-1");
    start_daemon();
    if (!daemon_wait_ready(d, 20000) ||
        submit(&d, 1, "00000000ffffffff", 1, 10, 20, "", ANSWER_MS) != 200) {
        rig_exit(2, "the daemon does not serve before the crowd");
    }
    rec("before: memory %ld KB, descriptors %d", memory_peak_kb(), fds_open());
    fill_body(c);
    if (rig_trouble()) {
        run_crowd(c);
    }
    rec("crowd: memory %ld KB, descriptors %d, open %d", memory_peak_kb(),
        fds_peak, crowd_open());
    submitted = submit(&d, 1, "00000000fffffffe", 1, 10, 20, "", ANSWER_MS);
    ready = get_page(ready_port, "/v1/readiness");
    metrics = get_page(metrics_port, "/metrics");
    kb = memory_peak_kb();
    if (process_ended(&status)) {
        rig_exit(1, "%s: the process has ended, status %d", c->name, status);
    }
    broken = (kb > MEMORY_MB * 1024L) + (fds_peak > FDS_BOUND) +
             (submitted != 200) + (ready != 200) + (metrics != 200);
    rig_exit(broken > 0 ? 1 : 0,
             "%s: memory %ld KB of %d, descriptors %d of %d, submission %d, "
             "readiness %d, metrics %d",
             c->name, kb, MEMORY_MB * 1024, fds_peak, FDS_BOUND, submitted,
             ready, metrics);
}
