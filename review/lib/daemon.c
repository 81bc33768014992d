/* The processes of cuminwalkd, and their clients. */
#include "rig_int.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define GRACE_S 6

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
daemon_store_request(void *ctx, struct req *r, struct answer *a)
{
    struct daemon *d = ctx;
    enum link_mode mode;

    pthread_mutex_lock(&rig_lock);
    mode = d->link;
    if (mode == LINK_SILENT) {
        stay_silent(d->store.life, &d->store.life, &d->link_silent);
    }
    pthread_mutex_unlock(&rig_lock);
    if (mode == LINK_SILENT) {
        return false;
    }
    if (mode == LINK_BUSY) {
        answer_json(a, 503, json_object());
        return true;
    }
    return store_request(r, a);
}

struct daemon *
daemon_new(const char *name)
{
    struct daemon *d = calloc(1, sizeof(*d));
    char path[256];
    FILE *f;

    snprintf(d->name, sizeof(d->name), "%s", name);
    d->front = free_port();
    d->ready = free_port();
    d->peer = free_port();
    d->metrics = free_port();
    server_start(&d->store, daemon_store_request, d);
    snprintf(path, sizeof(path), "%s/%s.json", rig_scratch, name);
    f = fopen(path, "w");
    fprintf(f,
            "{\"daemon\":\"%s\",\"dc\":\"z1\",\"listen\":\"127.0.0.1:%d\","
            "\"ready_listen\":\"127.0.0.1:%d\","
            "\"peer_listen\":\"127.0.0.1:%d\","
            "\"metrics_listen\":\"127.0.0.1:%d\",\"cores\":0.25,"
            "\"member_ttl_min_ms\":1000,\"grace_s\":%d,\"status_s\":120,"
            "\"move_s\":1.5,\"vm_lease_ms\":3000,"
            "\"strict_revoke\":true,\"revoke_ms\":5000,"
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
    char settings[256];
    char log[600];
    pid_t parent = getpid();

    snprintf(settings, sizeof(settings), "%s/%s.json", rig_scratch, d->name);
    snprintf(log, sizeof(log), "%s/%s.log", rig_scratch, d->name);
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

    pthread_mutex_lock(&rig_lock);
    rec("daemon %s: its way to the store is %s", d->name, names[m]);
    d->link = m;
    d->link_silent = m == LINK_SILENT;
    if (m == LINK_SILENT) {
        pthread_cond_broadcast(&rig_changed);
    }
    pthread_mutex_unlock(&rig_lock);
}

const char *
daemon_name(const struct daemon *d)
{
    return d->name;
}

int
daemon_front_port(const struct daemon *d)
{
    return d->front;
}

struct daemon *
store_owner(void)
{
    struct daemon *out = NULL;

    pthread_mutex_lock(&rig_lock);
    for (int i = 0; i < daemon_count; i++) {
        char name[64];

        snprintf(name, sizeof(name), "127.0.0.1:%d", daemons[i]->peer);
        if (strcmp(group_owner(), name) == 0) {
            out = daemons[i];
        }
    }
    pthread_mutex_unlock(&rig_lock);
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

void
end_daemons(void)
{
    for (int i = 0; i < daemon_count; i++) {
        if (daemons[i]->pid > 0) {
            kill(daemons[i]->pid, SIGKILL);
            waitpid(daemons[i]->pid, NULL, 0);
        }
    }
}

void
remove_daemon_files(void)
{
    char path[256];

    for (int i = 0; i < daemon_count; i++) {
        snprintf(path, sizeof(path), "%s/%s.json", rig_scratch, daemons[i]->name);
        unlink(path);
        snprintf(path, sizeof(path), "%s/%s.log", rig_scratch, daemons[i]->name);
        if (getenv("KEEP_LOGS") == NULL) {
            unlink(path);
        }
    }
}

/* ---- clients ---- */

__thread const char *client_key;

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
                         "%s%s%s"
                         "Content-Length: %zu\r\n\r\n%s",
                         method, path, timeout,
                         client_key == NULL ? "" : "Authorization: Bearer ",
                         client_key == NULL ? "" : client_key,
                         client_key == NULL ? "" : "\r\n", strlen(body),
                         body);
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

