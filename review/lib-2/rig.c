/* The record, daemons and clients. */
#include "rig2.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/random.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

static FILE *record;
static ms_t began;
static ms_t limit_at;
static char scratch[128];
struct daemon daemons[8];
int daemon_count;
int cloud_port;

ms_t
now_ms(void)
{
    struct timespec t;

    (void)clock_gettime(CLOCK_MONOTONIC, &t);
    return (ms_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

ms_t
wall_ms(void)
{
    struct timespec t;

    (void)clock_gettime(CLOCK_REALTIME, &t);
    return (ms_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void
sleep_ms(ms_t ms)
{
    struct timespec t = {ms / 1000, ms % 1000 * 1000000};

    if (now_ms() > limit_at) {
        rig_exit(2, "the case takes too long");
    }
    while (nanosleep(&t, &t) != 0 && errno == EINTR) {
    }
}

bool
trouble(void)
{
    const char *v = getenv("TROUBLE");

    return v == NULL || strcmp(v, "0") != 0;
}

static void
rec_args(const char *fmt, va_list ap)
{
    flockfile(record);
    fprintf(record, "%7.3f ", (double)(now_ms() - began) / 1000);
    (void)vfprintf(record, fmt, ap);
    fputc('\n', record);
    (void)fflush(record);
    funlockfile(record);
}

void
rec(const char *fmt, ...)
{
    va_list ap;

    va_start(ap, fmt);
    rec_args(fmt, ap);
    va_end(ap);
}

static void
remove_scratch(void)
{
    char path[300];

    for (int i = 0; i < daemon_count; i++) {
        if (getenv("KEEP_LOGS") == NULL) {
            (void)unlink(daemons[i].log);
        }
        (void)unlink(daemons[i].settings);
    }
    (void)snprintf(path, sizeof(path), "%s", scratch);
    if (getenv("KEEP_LOGS") == NULL) {
        (void)rmdir(path);
    }
}

#define RUNS_LISTED 150

/* The first and the last runs, with what their starts carried. */
static void
record_runs(void)
{
    for (int i = 0; i < run_log_count; i++) {
        const struct run_log *l = &run_log[i];

        if (i == RUNS_LISTED && run_log_count > 2 * RUNS_LISTED) {
            i = run_log_count - RUNS_LISTED;
            fprintf(record, "   ...\n");
            continue;
        }
        fprintf(record, "run of %s, number %u, at %s: started %.3f, ", l->task,
                l->run, l->at->id, (double)(l->started - began) / 1000);
        if (l->ended == 0) {
            fprintf(record, "runs on\n");
        }
        else {
            fprintf(record, "ended %.3f %s\n",
                    (double)(l->ended - began) / 1000, l->how);
        }
    }
    rec("runs in all: %d", run_log_count);
}

void
rig_exit(int code, const char *fmt, ...)
{
    va_list ap;

    pthread_mutex_lock(&rig_lock);
    for (int i = 0; i < daemon_count; i++) {
        if (daemons[i].pid > 0) {
            (void)kill(daemons[i].pid, SIGCONT);
            (void)kill(daemons[i].pid, SIGKILL);
            (void)waitpid(daemons[i].pid, NULL, 0);
        }
    }
    record_runs();
    va_start(ap, fmt);
    rec_args(fmt, ap);
    va_end(ap);
    rec("result %d: %s", code,
        code == 0   ? "the rule held"
        : code == 1 ? "the rule was broken"
                    : "the case could not run");
    va_start(ap, fmt);
    (void)vprintf(fmt, ap);
    va_end(ap);
    printf("\nresult %d\n", code);
    remove_scratch();
    (void)fflush(stdout);
    _exit(code);
}

static void
on_signal(int sig)
{
    for (int i = 0; i < daemon_count; i++) {
        if (daemons[i].pid > 0) {
            (void)kill(daemons[i].pid, SIGKILL);
        }
    }
    (void)sig;
    _exit(2);
}

void
rig_begin(const char *folder, int seconds)
{
    char path[300];
    const char *tmp = getenv("TMPDIR");
    pthread_mutexattr_t a;

    (void)snprintf(path, sizeof(path), "%s/record.txt", folder);
    record = fopen(path, "w");
    if (record == NULL) {
        printf("cannot write %s\n", path);
        exit(2);
    }
    (void)snprintf(scratch, sizeof(scratch), "%s/review2-XXXXXX",
                   tmp == NULL ? P_tmpdir : tmp);
    if (mkdtemp(scratch) == NULL) {
        printf("no temporary folder\n");
        exit(2);
    }
    began = now_ms();
    limit_at = began + (ms_t)seconds * 1000;
    (void)signal(SIGPIPE, SIG_IGN);
    (void)signal(SIGTERM, on_signal);
    (void)signal(SIGINT, on_signal);
    (void)signal(SIGALRM, on_signal);
    (void)alarm((unsigned)seconds + 3);
    pthread_mutexattr_init(&a);
    pthread_mutexattr_settype(&a, PTHREAD_MUTEX_RECURSIVE);
    pthread_mutex_init(&rig_lock, &a);
    serve_start();
    rec("trouble: %s", trouble() ? "yes" : "no");
}

/* ---- daemons ---- */

/* A free port below those that the system gives to clients, and in a range of
 * this process, so that nobody takes it before the daemon listens. */
static int
free_port(void)
{
    static int next;

    for (int i = 0; i < 2000; i++) {
        struct sockaddr_in a = {.sin_family = AF_INET};
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int port;
        bool ok;

        if (next == 0) {
            next = 10240 + (int)(getpid() % 1280) * 16;
        }
        port = next++;
        next = next >= 32000 ? 10240 : next;
        a.sin_port = htons((uint16_t)port);
        a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        ok = fd >= 0 && bind(fd, (struct sockaddr *)&a, sizeof(a)) == 0;
        close(fd);
        if (ok) {
            return port;
        }
    }
    rig_exit(2, "no free port");
}

static void
write_settings(struct daemon *d)
{
    FILE *f = fopen(d->settings, "w");
    char cloud[64] = "";

    if (f == NULL) {
        rig_exit(2, "cannot write settings");
    }
    if (cloud_port != 0) {
        (void)snprintf(cloud, sizeof(cloud),
                       "  \"vm_control\": \"127.0.0.1:%d\",\n", cloud_port);
    }
    /* deploy/settings.json with the figures of SYSTEM.md's small sites. */
    fprintf(f,
            "{\n  \"daemon\": \"%s\",\n  \"dc\": \"z-a\",\n"
            "  \"listen\": \"127.0.0.1:%d\",\n"
            "  \"ready_listen\": \"127.0.0.1:%d\",\n"
            "  \"peer_listen\": \"127.0.0.1:%d\",\n"
            "  \"metrics_listen\": \"127.0.0.1:%d\",\n"
            "  \"cores\": 0.25,\n  \"memory_mb\": 260,\n  \"max_fds\": 4100,\n"
            "  \"member_ttl_min_ms\": 1000,\n  \"max_hold_ms\": 10000,\n"
            "  \"grace_s\": 6,\n  \"status_s\": 120,\n  \"stop_ms\": 400,\n"
            "  \"move_s\": 1.5,\n  \"harm_ms\": 4000,\n"
            "  \"vm_lease_ms\": 3000,\n  \"far_factor\": 2,\n%s"
            "  \"store\": \"127.0.0.1:%d\"\n}\n",
            d->name, d->front, d->ready, d->peers, d->metrics, cloud,
            store_port);
    (void)fclose(f);
}

void
daemon_start(struct daemon *d)
{
    char env[400];
    char *argv[] = {"target/cuminwalkd", "--jobs", NULL};
    char *envp[] = {env, "PATH=/usr/bin:/bin", "LANG=C.UTF-8", NULL};
    pid_t pid;

    (void)snprintf(env, sizeof(env), "CUMINWALK_SETTINGS=%s", d->settings);
    pid = fork();
    if (pid == 0) {
        int fd = open(d->log, O_WRONLY | O_CREAT | O_APPEND, 0644);

        (void)prctl(PR_SET_PDEATHSIG, SIGKILL);
        (void)dup2(fd, 1);
        (void)dup2(fd, 2);
        (void)execve(argv[0], argv, envp);
        _exit(127);
    }
    d->pid = pid;
    rec("daemon %s: started, front 127.0.0.1:%d", d->name, d->front);
}

void
daemons_start(int n)
{
    for (int i = 0; i < n; i++) {
        struct daemon *d = &daemons[daemon_count++];

        (void)snprintf(d->name, sizeof(d->name), "front-%d", i + 1);
        (void)snprintf(d->settings, sizeof(d->settings), "%s/front-%d.json",
                       scratch, i + 1);
        (void)snprintf(d->log, sizeof(d->log), "%s/front-%d.log", scratch,
                       i + 1);
        d->front = free_port();
        d->ready = free_port();
        d->peers = free_port();
        d->metrics = free_port();
        write_settings(d);
        daemon_start(d);
    }
}

void
daemon_signal(struct daemon *d, int sig)
{
    (void)kill(d->pid, sig);
    if (sig == SIGKILL) {
        (void)waitpid(d->pid, NULL, 0);
        d->pid = 0;
    }
}

/* ---- configuration ---- */

static json_t *routes, *services;

void
config_service(const char *name, bool guards, bool spare)
{
    if (services == NULL) {
        services = json_array();
        routes = json_array();
    }
    json_array_append_new(
        services, json_pack("{sssssisssbsbsb}", "name", name, "healthPath",
                            "/health", "maxConns", 64, "protocol", "h1", "tls",
                            0, "enforcesCapacity", guards, "spare", spare));
}

void
config_queue(const char *name, const char *prefix, const char *service,
             int priority, int attempts)
{
    json_array_append_new(
        routes, json_pack("{sssssssssisisisssisf}", "name", name, "host", HOST,
                          "pathPrefix", prefix, "kind", "unsafe", "timeoutMs",
                          3000, "sloMs", 600, "priority", priority, "service",
                          service, "maxAttempts", attempts, "stretch", 1.6));
}

void
config_put(int version)
{
    json_t *o = json_pack("{sisOsOs{sisisisi}}", "version", version, "routes",
                          routes, "services", services, "limits",
                          "maxHeaderBytes", 16384, "maxBodyBytes", 262144,
                          "headerTimeoutMs", 3000, "idleTimeoutMs", 15000);
    char *text = json_dumps(o, JSON_COMPACT);

    pthread_mutex_lock(&rig_lock);
    store_put("keyed.op", "config", text);
    pthread_mutex_unlock(&rig_lock);
    rec("operator: configuration %d", version);
    free(text);
    json_decref(o);
}

/* ---- clients ---- */

static int
call_port(int port, const char *method, const char *path, const char *body,
          ms_t timeout, char *out, size_t max)
{
    struct sockaddr_in a = {.sin_family = AF_INET};
    ms_t until = now_ms() + timeout;
    size_t blen = body == NULL ? 0 : strlen(body);
    char *req = malloc(blen + 1024);
    size_t len, sent = 0, got = 0;
    static __thread char in[65536];
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    int status = 0;

    a.sin_port = htons((uint16_t)port);
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    len = (size_t)snprintf(req, blen + 1024,
                           "%s %s HTTP/1.1\r\nHost: " HOST
                           "\r\nX-Timeout-Ms: %lld\r\nContent-Type: "
                           "application/json\r\nContent-Length: %zu\r\n\r\n%s",
                           method, path, timeout, blen,
                           body == NULL ? "" : body);
    if (out != NULL && max > 0) {
        out[0] = '\0';
    }
    if (connect(fd, (struct sockaddr *)&a, sizeof(a)) != 0 &&
        errno != EINPROGRESS) {
        goto end;
    }
    while (now_ms() < until) {
        struct pollfd p = {fd, (short)(sent < len ? POLLOUT : POLLIN), 0};
        ssize_t n;
        char *end;
        const char *cl;

        if (poll(&p, 1, 20) <= 0) {
            continue;
        }
        if (sent < len) {
            n = send(fd, req + sent, len - sent, MSG_NOSIGNAL);
            if (n < 0 && errno != EAGAIN) {
                break;
            }
            sent += n > 0 ? (size_t)n : 0;
            continue;
        }
        n = read(fd, in + got, sizeof(in) - 1 - got);
        if (n <= 0) {
            if (n < 0 && errno == EAGAIN) {
                continue;
            }
            break;
        }
        got += (size_t)n;
        in[got] = '\0';
        end = strstr(in, "\r\n\r\n");
        cl = end == NULL ? NULL : strcasestr(in, "\r\ncontent-length:");
        if (cl != NULL &&
            got >= (size_t)(end + 4 - in) + strtoull(cl + 17, NULL, 10)) {
            status = atoi(in + 9);
            if (out != NULL) {
                (void)snprintf(out, max, "%s", end + 4);
            }
            break;
        }
    }
end:
    close(fd);
    free(req);
    return status;
}

int
call_front(struct daemon *d, const char *method, const char *path,
           const char *body, ms_t timeout, char *out, size_t max)
{
    return call_port(d->front, method, path, body, timeout, out, max);
}

void
daemons_ready(ms_t limit)
{
    ms_t until = now_ms() + limit;

    for (int i = 0; i < daemon_count; i++) {
        while (call_port(daemons[i].ready, "GET", "/v1/readiness", NULL, 500,
                         NULL, 0) != 200) {
            if (now_ms() > until) {
                rig_exit(2, "daemon %s is not ready", daemons[i].name);
            }
            sleep_ms(50);
        }
    }
    rec("all daemons are ready");
}

static int next_front;

static int
call_any(const char *method, const char *prefix, const char *id,
         const char *body, ms_t limit, char *out, size_t max)
{
    char path[128];
    ms_t until = now_ms() + limit;
    int status = 0;

    (void)snprintf(path, sizeof(path), "%s%s", prefix, id);
    while (now_ms() < until) {
        struct daemon *d = &daemons[next_front++ % daemon_count];

        status = call_front(d, method, path, body, 3000, out, max);
        if ((status >= 200 && status < 300) || status == 410 ||
            status == 400 || status == 404) {
            break;
        }
        rec("client: %s %s at %s is answered %d", method, path, d->name,
            status);
        sleep_ms(300);
    }
    return status;
}

int
submit(const char *prefix, const char *id, const char *body, ms_t limit)
{
    int status;

    job_register(id, body);
    status = call_any("POST", prefix, id, body, limit, NULL, 0);
    rec("client: POST %s%s, %d", prefix, id, status);
    return status;
}

int
cancel(const char *prefix, const char *id, ms_t limit)
{
    int status = call_any("DELETE", prefix, id, NULL, limit, NULL, 0);

    rec("client: DELETE %s%s, %d", prefix, id, status);
    return status;
}

const char *
state_of(const char *prefix, const char *id, ms_t limit)
{
    static char out[64];
    char body[256];
    int status = call_any("GET", prefix, id, NULL, limit, body, sizeof(body));
    json_t *o = json_loads(body, 0, NULL);
    const char *s = json_string_value(json_object_get(o, "state"));

    (void)snprintf(out, sizeof(out), "%s",
                   status == 410                ? "410"
                   : status == 200 && s != NULL ? s
                                                : "");
    json_decref(o);
    return out;
}

void
new_id(char out[17])
{
    uint64_t v = 0;

    (void)!getrandom(&v, sizeof(v), 0);
    (void)snprintf(out, 17, "%016llx", (unsigned long long)v);
}
