/* A stand-in for the control of VMs: the list, moves, maintenance in waves. It
 * has an HTTP server of its own, as the one of review/lib keeps no headers. */
#include "soak.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define MOVE_MS 1500
#define UPKEEP_MS 2000
#define ANSWER_MS 20
#define SLOW_FACTOR 50
#define PAGE_ROWS 30
#define WAVES_MAX 60
#define LATE_MAX 512

enum vm_state { VM_UP, VM_MOVING, VM_UPKEEP };

struct vm {
    int service;
    enum vm_state state;
    long long due;      /* end of a move or an upkeep */
    uint64_t waves;     /* bits of the waves that include it */
    uint64_t upkeep_of; /* bits of those whose upkeep has begun */
    long long token;
    char holder[64];
};

struct order {
    char path[64];
    char body[256];
    char holder[64];
    long long token;
};

struct late_order {
    struct order o;
    long long at; /* 0: free */
};

static struct vm vms[SOAK_RUNNERS];
static int wave_count;
static int mixed; /* see vms_check */
static struct late_order lates[LATE_MAX];
static pthread_mutex_t vm_lock = PTHREAD_MUTEX_INITIALIZER;
static int modes[VM_MODES]; /* faults of each kind that are active */
static struct rng vm_rng = {79};
static int vm_port;

/* ---- faults ---- */

void
vms_fault(enum vm_fault f, bool on)
{
    pthread_mutex_lock(&vm_lock);
    modes[f] += on ? 1 : -1;
    pthread_mutex_unlock(&vm_lock);
}

static bool
active(enum vm_fault f)
{
    bool on;

    pthread_mutex_lock(&vm_lock);
    on = modes[f] > 0;
    pthread_mutex_unlock(&vm_lock);
    return on;
}

/* ---- machines, with the lock held ---- */

static int
find_machine(const char *name)
{
    for (int i = 0; name != NULL && i < soak_runners; i++) {
        if (strcmp(worker_machine(i), name) == 0) {
            return i;
        }
    }
    return -1;
}

static int
find_service(const char *name)
{
    for (int i = 0; name != NULL && i < site_service_count(); i++) {
        if (strcmp(site_service(i), name) == 0) {
            return i;
        }
    }
    return -1;
}

static const char *
state_name(int i)
{
    static const char *const names[] = {"up", "moving", "upkeep"};

    if (vms[i].state == VM_UP && !site_is_spare(vms[i].service) &&
        !worker_is_up(i)) {
        return "down";
    }
    return names[vms[i].state];
}

static json_t *
machine_row(int i)
{
    json_t *o =
        json_pack("{s:s,s:s,s:s,s:s,s:[s,s],s:{s:i,s:i,s:i}}", "machine",
                  worker_machine(i), "pool", site_service(vms[i].service),
                  "state", state_name(i), "zone", "z1", "labels", "a", "r1-1",
                  "capacity", "cpu", site_cores(), "memMb", 32768, "gpu", 0);

    if (vms[i].state == VM_UP && !site_is_spare(vms[i].service)) {
        json_object_set_new(o, "id", json_string(worker_id(soak_w[i])));
    }
    return o;
}

static json_t *
machine_page(int from)
{
    json_t *rows = json_array();
    json_t *o = json_pack("{s:o}", "machines", rows);
    int i = from;

    for (; i < soak_runners && i < from + PAGE_ROWS; i++) {
        json_array_append_new(rows, machine_row(i));
    }
    if (i < soak_runners) {
        char token[16];

        snprintf(token, sizeof(token), "%d", i);
        json_object_set_new(o, "nextToken", json_string(token));
    }
    return o;
}

static void
take_away(int i, enum vm_state state, int service)
{
    worker_leave(i, rng_chance(&vm_rng, 50));
    vms[i].state = state;
    vms[i].service = service;
    vms[i].due = now_ms() + (state == VM_MOVING ? MOVE_MS : UPKEEP_MS);
}

static bool
is_busy(int i)
{
    return vms[i].state != VM_UP ||
           (!site_is_spare(vms[i].service) && !worker_is_up(i));
}

static int
order_move(int i, const char *pool, const char **reason)
{
    int to = find_service(pool);

    if (to < 0) {
        return 400;
    }
    if (vms[i].service == to && vms[i].state != VM_UPKEEP) {
        return 200;
    }
    if (is_busy(i)) {
        *reason = "busy";
        return 409;
    }
    take_away(i, VM_MOVING, to);
    return 200;
}

static int
order_upkeep(int i, long long wave, const char **reason)
{
    uint64_t bit = wave > 0 && wave < WAVES_MAX ? 1ULL << wave : 0;

    if ((vms[i].waves & bit) == 0) {
        *reason = "wave";
        return 409;
    }
    if ((vms[i].upkeep_of & bit) != 0) {
        return 200;
    }
    if (is_busy(i)) {
        *reason = "busy";
        return 409;
    }
    vms[i].upkeep_of |= bit;
    take_away(i, VM_UPKEEP, vms[i].service);
    return 200;
}

static int
carry_out(const struct order *o, const char **reason)
{
    json_t *body = json_loads(o->body, 0, NULL);
    const char *name = json_string_value(json_object_get(body, "machine"));
    int i = find_machine(name);
    int status = 400;

    if (i >= 0 && o->token < vms[i].token) {
        *reason = "fence";
        status = 409;
    }
    else if (i >= 0) {
        if (o->token == vms[i].token &&
            strcmp(o->holder, vms[i].holder) != 0) {
            rec("SEEN: ONE: machine %s: holders %s and %s with token %lld",
                name, vms[i].holder, o->holder, o->token);
        }
        vms[i].token = o->token;
        snprintf(vms[i].holder, sizeof(vms[i].holder), "%s", o->holder);
        status =
            strcmp(o->path, "/v1/machine-move") == 0
                ? order_move(i,
                             json_string_value(json_object_get(body, "pool")),
                             reason)
                : order_upkeep(
                      i, json_integer_value(json_object_get(body, "wave")),
                      reason);
    }
    rec("control: %s %s of %s with token %lld -> %d %s", o->path, o->body,
        o->holder, o->token, status, *reason);
    json_decref(body);
    return status;
}

static void
vms_tick(long long now)
{
    for (int i = 0; i < soak_runners; i++) {
        if (vms[i].state != VM_UP && now >= vms[i].due) {
            vms[i].state = VM_UP;
            worker_join(i, site_service(vms[i].service),
                        site_is_spare(vms[i].service),
                        rng_chance(&vm_rng, 50));
        }
    }
    for (int i = 0; i < LATE_MAX; i++) {
        if (lates[i].at != 0 && now >= lates[i].at) {
            const char *reason = "late";

            lates[i].at = 0;
            (void)carry_out(&lates[i].o, &reason);
        }
    }
}

/* A wave's outcome, with the lock held. */
static void
note_outcome(const char *key, const char *value)
{
    int wave = 0;

    if (sscanf(key, "wave/%d", &wave) != 1 || wave <= 0 || wave >= WAVES_MAX ||
        strstr(value, "succeeded") == NULL) {
        return;
    }
    for (int i = 0; i < soak_runners; i++) {
        uint64_t bit = 1ULL << wave;

        if ((vms[i].waves & bit) != 0 && (vms[i].upkeep_of & bit) == 0) {
            mixed++;
            rec("VIOLATION MIXED: wave %d is said to be succeeded, and the "
                "upkeep of the machine %d has not begun",
                wave, i);
        }
    }
}

int
vms_check(void)
{
    int n;

    pthread_mutex_lock(&vm_lock);
    n = mixed;
    rec("checks: waves=%d mixed=%d", wave_count, mixed);
    pthread_mutex_unlock(&vm_lock);
    return n;
}

static void *
vms_run(void *arg)
{
    size_t outcomes = 0;

    for (;;) {
        sleep_ms(10);
        pthread_mutex_lock(&vm_lock);
        vms_tick(now_ms());
        store_scan("keyed.status", &outcomes, note_outcome);
        pthread_mutex_unlock(&vm_lock);
    }
    return arg;
}

int
vms_service(int i)
{
    int s;

    pthread_mutex_lock(&vm_lock);
    s = vms[i].service;
    pthread_mutex_unlock(&vm_lock);
    return s;
}

/* ---- waves ---- */

/* Of a share of the machines, and of one more, -1: none. */
static void
write_wave(struct rng *r, int percent, int one)
{
    json_t *names = json_array();
    json_t *o;
    char key[32];
    char *text;
    int wave;

    pthread_mutex_lock(&vm_lock);
    wave = ++wave_count;
    if (wave >= WAVES_MAX) {
        pthread_mutex_unlock(&vm_lock);
        rig_exit(2, "too many waves");
    }
    for (int i = 0; i < soak_runners; i++) {
        if (rng_chance(r, percent) || i == one) {
            vms[i].waves |= 1ULL << wave;
            json_array_append_new(names, json_string(worker_machine(i)));
        }
    }
    pthread_mutex_unlock(&vm_lock);
    snprintf(key, sizeof(key), "wave/%d", wave);
    o = json_pack("{s:i,s:o,s:i,s:i}", "wave", wave, "machines", names,
                  "durationS", (int)rng_range(r, 8, 20), "maxCount",
                  (int)rng_range(r, 2, 6));
    text = json_dumps(o, JSON_COMPACT);
    rec("control: %s", text);
    store_put("keyed.op", key, text);
    free(text);
    json_decref(o);
}

void
vms_wave(struct rng *r)
{
    write_wave(r, (int)rng_range(r, 15, 60), -1);
}

void
vms_add(struct rng *r)
{
    int service = (int)rng_range(r, 0, site_service_count() - 1);
    int i;

    pthread_mutex_lock(&vm_lock);
    i = soak_runners;
    if (i == SOAK_RUNNERS) {
        pthread_mutex_unlock(&vm_lock);
        return;
    }
    vms[i].service = service;
    soak_w[i] = worker_new(site_service(service), site_cores());
    soak_wrap_worker(i);
    if (site_is_spare(service)) {
        worker_off(i);
    }
    soak_runners++;
    pthread_mutex_unlock(&vm_lock);
    sleep_ms(rng_range(r, 0, 1000));
    write_wave(r, rng_chance(r, 50) ? 0 : 15, i);
}

/* ---- calls ---- */

struct vm_request {
    char method[8];
    char path[256];
    struct order o;
};

/* Value of a header, "" if it is missing. */
static void
header(const char *head, const char *name, char *out, size_t size)
{
    const char *p = strcasestr(head, name);
    size_t n;

    out[0] = '\0';
    if (p == NULL) {
        return;
    }
    p += strlen(name);
    p += strspn(p, " ");
    n = strcspn(p, "\r\n");
    snprintf(out, size, "%.*s", (int)n, p);
}

/* Reads one request; bytes that follow it stay in buf. */
static bool
read_call(int fd, char *buf, size_t size, size_t *have, struct vm_request *q)
{
    char text[64];
    char *end;
    size_t len;
    size_t head;

    memset(q, 0, sizeof(*q));
    while (buf[*have] = '\0', (end = strstr(buf, "\r\n\r\n")) == NULL) {
        ssize_t n =
            *have + 1 < size ? read(fd, buf + *have, size - 1 - *have) : 0;

        if (n <= 0) {
            return false;
        }
        *have += (size_t)n;
    }
    head = (size_t)(end - buf) + 4;
    end[2] = '\0';
    header(buf, "\r\ncontent-length:", text, sizeof(text));
    len = strtoul(text, NULL, 10);
    header(buf, "\r\nx-lease-holder:", q->o.holder, sizeof(q->o.holder));
    header(buf, "\r\nx-fencing-token:", text, sizeof(text));
    q->o.token = strtoll(text, NULL, 10);
    if (len >= sizeof(q->o.body) || head + len >= size ||
        sscanf(buf, "%7s %255s", q->method, q->path) != 2) {
        return false;
    }
    while (*have < head + len) {
        ssize_t n = read(fd, buf + *have, head + len - *have);

        if (n <= 0) {
            return false;
        }
        *have += (size_t)n;
    }
    memcpy(q->o.body, buf + head, len);
    snprintf(q->o.path, sizeof(q->o.path), "%.*s", (int)strcspn(q->path, "?"),
             q->path);
    memmove(buf, buf + head + len, *have - head - len);
    *have -= head + len;
    return true;
}

static bool
send_answer(int fd, int status, json_t *o)
{
    char *body = json_dumps(o, JSON_COMPACT);
    size_t len = strlen(body);
    char head[160];
    int n = snprintf(head, sizeof(head),
                     "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                     "Content-Length: %zu\r\n\r\n",
                     status, len);
    bool ok = send(fd, head, (size_t)n, MSG_NOSIGNAL) == n &&
              send(fd, body, len, MSG_NOSIGNAL) == (ssize_t)len;

    free(body);
    json_decref(o);
    return ok;
}

/* Carried out later, and not answered. */
static void
delay_order(const struct order *o)
{
    int i = 0;

    pthread_mutex_lock(&vm_lock);
    while (i < LATE_MAX && lates[i].at != 0) {
        i++;
    }
    if (i == LATE_MAX) {
        pthread_mutex_unlock(&vm_lock);
        rig_exit(2, "too many late orders");
    }
    lates[i].o = *o;
    lates[i].at = now_ms() + rng_range(&vm_rng, 2000, 12000);
    rec("control: %s %s of %s with token %lld is late, until %.3f s", o->path,
        o->body, o->holder, o->token, (double)lates[i].at / 1000);
    pthread_mutex_unlock(&vm_lock);
}

static bool
answer_list(int fd, const struct vm_request *q)
{
    const char *p = strstr(q->path, "pageToken=");
    json_t *page;

    pthread_mutex_lock(&vm_lock);
    page = machine_page(p == NULL ? 0 : (int)strtol(p + 10, NULL, 10));
    pthread_mutex_unlock(&vm_lock);
    sleep_ms(ANSWER_MS * (active(VM_FAULT_SLOW) ? SLOW_FACTOR : 1));
    return send_answer(fd, 200, page);
}

static bool
answer_order(int fd, const struct vm_request *q)
{
    long long pause = ANSWER_MS * (active(VM_FAULT_SLOW) ? SLOW_FACTOR : 1);
    const char *reason = "";
    bool late;
    long long before;
    int status;

    pthread_mutex_lock(&vm_lock);
    late = modes[VM_FAULT_LATE] > 0 && rng_chance(&vm_rng, 50);
    before = rng_range(&vm_rng, 0, pause);
    pthread_mutex_unlock(&vm_lock);
    if (late) {
        delay_order(&q->o);
        sleep_ms(3000);
        return false;
    }
    sleep_ms(before);
    pthread_mutex_lock(&vm_lock);
    status = carry_out(&q->o, &reason);
    pthread_mutex_unlock(&vm_lock);
    sleep_ms(pause - before);
    return send_answer(fd, status, json_pack("{s:s}", "reason", reason));
}

static bool
answer_call(int fd, const struct vm_request *q)
{
    if (active(VM_FAULT_SILENT)) {
        sleep_ms(3000);
        return false;
    }
    if (active(VM_FAULT_BUSY)) {
        pthread_mutex_lock(&vm_lock);
        int status = rng_chance(&vm_rng, 50) ? 503 : 429;
        pthread_mutex_unlock(&vm_lock);
        return send_answer(fd, status, json_object());
    }
    if (strcmp(q->o.path, "/v1/machines") == 0) {
        return answer_list(fd, q);
    }
    if (strcmp(q->o.path, "/v1/machine-move") == 0 ||
        strcmp(q->o.path, "/v1/machine-upkeep") == 0) {
        return answer_order(fd, q);
    }
    return send_answer(fd, 404, json_object());
}

static void *
serve(void *arg)
{
    int *fd = arg;
    char buf[4096];
    size_t have = 0;
    struct vm_request q;

    while (read_call(*fd, buf, sizeof(buf), &have, &q) &&
           answer_call(*fd, &q)) {
    }
    close(*fd);
    free(fd);
    return NULL;
}

static void *
accept_calls(void *arg)
{
    int *listener = arg;

    for (;;) {
        int *fd = malloc(sizeof(*fd));
        pthread_t t;

        *fd = accept4(*listener, NULL, NULL, SOCK_CLOEXEC);
        if (*fd < 0) {
            free(fd);
            sleep_ms(10);
            continue;
        }
        pthread_create(&t, NULL, serve, fd);
        pthread_detach(t);
    }
    return arg;
}

int
vms_port(void)
{
    return vm_port;
}

void
vms_start(void)
{
    static int listener;
    struct sockaddr_in a = {.sin_family = AF_INET};
    socklen_t len = sizeof(a);
    pthread_t t;
    int k = 0;

    for (int s = 0; s < site_service_count(); s++) {
        for (int i = 0; i < site_runner_count(s); i++) {
            vms[k++].service = s;
        }
    }
    listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (listener < 0 || bind(listener, (struct sockaddr *)&a, len) != 0 ||
        listen(listener, 128) != 0 ||
        getsockname(listener, (struct sockaddr *)&a, &len) != 0) {
        rig_exit(2, "the control of VMs cannot listen");
    }
    vm_port = ntohs(a.sin_port);
    pthread_create(&t, NULL, accept_calls, &listener);
    pthread_detach(t);
    pthread_create(&t, NULL, vms_run, NULL);
    pthread_detach(t);
}
