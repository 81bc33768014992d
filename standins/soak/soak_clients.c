/* Clients: submissions, repeats, cancels, states. */
#include "trouble.h"

#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CLIENTS 48 /* at most */
#define JOBS_MAX 8000

static struct job_row jobs[JOBS_MAX];
static int jobs_used;
static pthread_mutex_t jobs_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_t threads[CLIENTS];
static volatile long long ends_at;
static struct rng seeds[CLIENTS];
static int clients_used;
static __thread struct kept kept;

int
job_count(void)
{
    return jobs_used;
}

struct job_row
job_get(int i)
{
    struct job_row j;

    pthread_mutex_lock(&jobs_lock);
    j = jobs[i];
    pthread_mutex_unlock(&jobs_lock);
    return j;
}

int
job_find(const char *task)
{
    for (int i = 0; i < jobs_used; i++) {
        if (strncmp(jobs[i].id, task, 16) == 0) {
            return i;
        }
    }
    return -1;
}

static long long pause_default = 300;

void
clients_set_pause(long long ms)
{
    pause_default = ms;
}

/* Only some of the runs have so many clients that runners are never idle. */
static long long
pause_max(void)
{
    const char *v = getenv("SOAK_PAUSE");

    return v == NULL ? pause_default : strtoll(v, NULL, 10);
}

static struct daemon *
any_daemon(struct rng *r)
{
    return soak_d[rng_range(r, 0, soak_daemons - 1)];
}

/* On a new connection, or on one that is kept open. */
static int
ask(struct rng *r, struct daemon *d, const char *method, const char *path,
    const char *body, char *out, size_t size)
{
    if (rng_chance(r, 50)) {
        return kept_call(&kept, daemon_index(d), method, path, body, out,
                         size);
    }
    return call(d, method, path, body, KEPT_TIMEOUT_MS, out, size);
}

/* What a job consists of: one or two steps with equal tasks. */
struct job_size {
    int tenant;
    int count;
    int ms;
    int cpu;
    bool two;
    bool lasting;
    bool gang;
};

static struct job_size
small_size(struct rng *r)
{
    struct job_size z = {0};

    z.count = (int)rng_range(r, 1, 5);
    z.ms = (int)rng_range(r, 300, 1300);
    z.cpu = (int)rng_range(r, 4, 9) * 100;
    z.two = rng_chance(r, 30);
    z.tenant = rng_chance(r, 15) ? TENANT_SMALL : TENANT_WIDE;
    z.lasting = rng_chance(r, 3);
    if (z.lasting) {
        z.count = 1;
    }
    return z;
}

/* As at the site: more tasks, larger ones, gangs. */
static struct job_size
large_size(struct rng *r)
{
    struct job_size z = {0};

    z.count = (int)rng_range(r, 5, 8);
    z.ms = (int)rng_range(r, 500, 2500);
    z.cpu = (int)rng_range(r, 8, 30) * 100;
    z.two = rng_chance(r, 30);
    z.tenant = rng_chance(r, 2) ? TENANT_SMALL : TENANT_WIDE;
    z.lasting = rng_chance(r, 3);
    if (z.tenant == TENANT_SMALL) {
        z.cpu = 400;
    }
    if (z.lasting) {
        z.count = 5;
    }
    z.gang = !z.lasting && !z.two && rng_chance(r, 12);
    return z;
}

static void
write_spec(struct job_row *j, const struct job_size *z, int n)
{
    int len = snprintf(j->spec, sizeof(j->spec), "d=%d c=%d n=%d",
                       z->lasting || z->gang ? 0 : z->ms, z->cpu, n);

    if (z->gang) {
        snprintf(j->spec + len, sizeof(j->spec) - (size_t)len, " g=%d t=%d",
                 z->count, z->ms);
    }
}

static void
write_body(const struct job_row *j, const struct job_size *z, char *body,
           size_t size)
{
    char step[200];
    const char *more = z->lasting ? ",\"persistent\":true"
                       : z->gang  ? ",\"gang\":true"
                                  : "";

    snprintf(step, sizeof(step),
             "{\"count\":%d,\"cpu\":%d,\"memMb\":64,\"estimateMs\":%d",
             z->count, z->cpu, z->ms);
    if (z->two && !z->lasting) {
        snprintf(body, size,
                 "{\"spec\":\"%s\",\"steps\":[%s},%s,\"after\":[0]}]}",
                 j->spec, step, step);
    }
    else {
        snprintf(body, size, "{\"spec\":\"%s\",\"steps\":[%s%s}]}", j->spec,
                 step, more);
    }
}

static void
set_size(struct job_row *j, const struct job_size *z)
{
    j->cpu = z->cpu;
    j->count = z->count;
    j->steps = z->two && !z->lasting ? 2 : 1;
    j->gang = z->gang;
    j->lasting = z->lasting;
}

static struct job_row *
new_job_of(struct job_size z, int service, char *body, size_t size)
{
    struct job_row *j;
    int n;

    pthread_mutex_lock(&jobs_lock);
    n = jobs_used++;
    if (n >= JOBS_MAX) {
        rig_exit(2, "too many jobs");
    }
    j = &jobs[n];
    snprintf(j->id, sizeof(j->id), "%016x", 0x10000 + n);
    j->tenant = z.tenant;
    j->service = service;
    pthread_mutex_unlock(&jobs_lock);
    set_size(j, &z);
    write_spec(j, &z, n);
    write_body(j, &z, body, size);
    return j;
}

static struct job_row *
new_job(struct rng *r, int service, char *body, size_t size)
{
    return new_job_of(site_is_large() ? large_size(r) : small_size(r), service,
                      body, size);
}

static void
job_path(const struct job_row *j, char *path, size_t size)
{
    snprintf(path, size, "%s%s", site_prefix(j->service), j->id);
}

static void
submit_job(struct rng *r, struct job_row *j, const char *path,
           const char *body)
{
    for (int i = 0; i < 12 && j->accepted == 0; i++) {
        char text[256];
        int status =
            ask(r, any_daemon(r), "POST", path, body, text, sizeof(text));

        if (status / 100 == 2) {
            j->accepted = now_ms();
        }
        else {
            sleep_ms(rng_range(r, 50, 250));
        }
    }
}

static void
cancel_job(struct rng *r, struct job_row *j, const char *path)
{
    j->cancel_sent = now_ms();
    for (int i = 0; i < 12 && j->cancelled == 0; i++) {
        char text[256];
        int status =
            ask(r, any_daemon(r), "DELETE", path, "", text, sizeof(text));

        if (status / 100 == 2 || status == 410) {
            j->cancelled = now_ms();
            j->cancel_status = status;
        }
        else {
            sleep_ms(rng_range(r, 50, 250));
        }
    }
}

static void
ask_state(struct rng *r, struct job_row *j)
{
    char path[64];
    char text[256];
    struct daemon *d = any_daemon(r);
    long long at = now_ms();
    int status;

    job_path(j, path, sizeof(path));
    client_key = tenant_key(j->tenant);
    status = ask(r, d, "GET", path, "", text, sizeof(text));
    if (status == 200) {
        if (strstr(text, "\"succeeded\"") != NULL && j->shown == 0) {
            j->shown = now_ms();
        }
        if (((strstr(text, "\"state\":\"failed\"") != NULL &&
              !job_may_have_failed(j->id, j->gang)) ||
             strstr(text, "\"state\":\"cancelled\"") != NULL) &&
            j->cancel_sent == 0) {
            snprintf(j->shown_state, sizeof(j->shown_state), "%s",
                     strstr(text, "\"failed\"") != NULL ? "failed"
                                                        : "cancelled");
        }
    }
    else if (status == 410 && j->accepted != 0 && j->cancel_sent == 0 &&
             at > j->accepted + VISIBLE_MS) {
        rec("LOST: job %s, accepted at %.3f s, answered 410 by %s%s", j->id,
            (double)j->accepted / 1000, daemon_name(d),
            daemon_in_touch(daemon_index(d), at) ? "" : " (not in touch)");
        snprintf(j->shown_state, sizeof(j->shown_state), "gone");
    }
}

static void
one_job(struct rng *r, int service)
{
    char body[900];
    char path[64];
    struct job_row *j = new_job(r, service, body, sizeof(body));
    long long lasts = site_is_large() ? 12000 : 6000;

    client_key = tenant_key(j->tenant);
    job_path(j, path, sizeof(path));
    submit_job(r, j, path, body);
    if (j->accepted == 0) {
        return;
    }
    if (j->lasting || rng_chance(r, 15)) {
        sleep_ms(j->lasting ? rng_range(r, 2000, lasts)
                            : rng_range(r, 60, 900));
        cancel_job(r, j, path);
        return;
    }
    if (rng_chance(r, 10)) {
        sleep_ms(rng_range(r, 300, 2000));
        (void)call(any_daemon(r), "POST", path, body, 2500, NULL, 0);
    }
    if (rng_chance(r, 40)) {
        sleep_ms(rng_range(r, 200, 1500));
        ask_state(r, j);
    }
}

/* Shown as cancelled: its cancel has been carried out. */
static void
ask_cancelled(struct rng *r, struct job_row *j, const char *path)
{
    char text[256];
    int status = ask(r, any_daemon(r), "GET", path, "", text, sizeof(text));

    if (status == 200 && strstr(text, "\"cancelled\"") != NULL &&
        j->cancelled == 0) {
        j->cancelled = now_ms();
        j->cancel_status = status;
    }
}

void
cancel_again(struct rng *r)
{
    char body[900];
    char path[64];
    char text[256];
    int last = site_is_large() ? SITE_SERVICES - 2 : 0; /* not the spare one */
    struct job_row *j =
        new_job(r, (int)rng_range(r, 0, last), body, sizeof(body));
    int status;

    client_key = tenant_key(j->tenant);
    job_path(j, path, sizeof(path));
    submit_job(r, j, path, body);
    if (j->accepted == 0) {
        return;
    }
    sleep_ms(rng_range(r, 0, 20));
    j->cancel_sent = now_ms();
    status = call(any_daemon(r), "DELETE", path, "", rng_range(r, 1, 30), text,
                  sizeof(text));
    if (status / 100 == 2 || status == 410) {
        j->cancelled = now_ms();
        j->cancel_status = status;
    }
    for (int i = 0; i < 2; i++) {
        (void)call(any_daemon(r), "POST", path, body, KEPT_TIMEOUT_MS, text,
                   sizeof(text));
        sleep_ms(rng_chance(r, 50) ? rng_range(r, 0, 60)
                                   : rng_range(r, 500, 4000));
    }
    if (rng_chance(r, 60) || j->lasting) {
        cancel_job(r, j, path);
    }
    else {
        ask_cancelled(r, j, path);
    }
}

/* Asks for jobs of some seconds ago: they should have ended. */
static void
ask_older(struct rng *r)
{
    int n = job_count();

    if (n > 60) {
        ask_state(r, &jobs[n - 1 - rng_range(r, 20, 60)]);
    }
}

/* A submission without a key or with an unknown one. */
static void
submit_without_access(struct rng *r, const char *key)
{
    char path[64];
    char text[256];
    long long sent = now_ms();

    snprintf(path, sizeof(path), PREFIX "%016llx",
             0xf000000000000000ULL | rng_next(r) >> 8);
    client_key = key;
    tenants_note(key, sent,
                 ask(r, any_daemon(r), "POST", path,
                     "{\"spec\":\"d=300 c=400 n=0\",\"steps\":[{\"count\":1,"
                     "\"cpu\":400,\"memMb\":64,\"estimateMs\":300}]}",
                     text, sizeof(text)));
}

/* Asks for a job with the key that is withdrawn halfway through the run. */
void
client_ask_withdrawn(struct rng *r, struct daemon *d)
{
    char path[64];
    char text[256];
    long long sent = now_ms();
    int n = job_count() - 1;

    while (n >= 0 && jobs[n].tenant != TENANT_SMALL) {
        n--;
    }
    if (n < 0) {
        return;
    }
    job_path(&jobs[n], path, sizeof(path));
    client_key = WITHDRAWN_KEY;
    tenants_note(WITHDRAWN_KEY, sent,
                 ask(r, d, "GET", path, "", text, sizeof(text)));
}

static void
call_without_access(struct rng *r)
{
    if (rng_chance(r, 50)) {
        client_ask_withdrawn(r, any_daemon(r));
    }
    else {
        submit_without_access(r, rng_chance(r, 50) ? UNKNOWN_KEY : NULL);
    }
}

/* At a site, clients of one service press in its peak and nearly rest
 * between. */
static void
pause_client(struct rng *r, int service)
{
    long long until;

    if (!site_is_large()) {
        sleep_ms(3 * rng_range(r, 20, pause_max()));
        return;
    }
    if (site_peak(service, now_ms())) {
        sleep_ms(rng_range(r, 20, pause_max()));
        return;
    }
    until = now_ms() + rng_range(r, 10, 40) * pause_max();
    while (now_ms() < until && now_ms() < ends_at &&
           !site_peak(service, now_ms())) {
        sleep_ms(50);
    }
}

static void *
client(void *arg)
{
    struct rng *r = arg;
    int i = (int)(r - seeds);
    int service = i % (site_is_large() ? SITE_SERVICES - 1 : 1);

    while (now_ms() < ends_at) {
        /* Quiet for a while, so that runners become idle. */
        if (!site_is_large() && now_ms() / 1000 % 7 == 5) {
            sleep_ms(700);
        }
        one_job(r, service);
        if (rng_chance(r, 30)) {
            ask_older(r);
        }
        if (rng_chance(r, 30)) {
            call_without_access(r);
        }
        pause_client(r, service);
    }
    return NULL;
}

static void
submit_lasting(const struct job_size *z, int service)
{
    struct rng r = {1};
    char body[900];
    char path[64];
    struct job_row *j = new_job_of(*z, service, body, sizeof(body));

    client_key = tenant_key(j->tenant);
    job_path(j, path, sizeof(path));
    submit_job(&r, j, path, body);
}

/* Large enough that they are spread over several runners. */
void
clients_submit_lasting(void)
{
    int last = site_is_large() ? SITE_SERVICES - 2 : 0; /* not the spare one */
    struct job_size z = {.tenant = TENANT_WIDE, .ms = 1000, .lasting = true};

    z.count = site_is_large() ? 4 : 3;
    z.cpu = site_cores() * (site_is_large() ? 6 : 8) / 16;
    for (int s = 0; s <= last; s++) {
        submit_lasting(&z, s);
    }
}

void
clients_submit_wide_lasting(int count)
{
    struct job_size z = {.tenant = TENANT_WIDE,
                         .count = count,
                         .ms = 1000,
                         .cpu = site_cores() * 3 / 10,
                         .lasting = true};

    submit_lasting(&z, 0);
}

void
clients_start(uint64_t seed)
{
    ends_at = LLONG_MAX;
    clients_used = site_is_large() ? CLIENTS : CLIENTS / 2;
    for (int i = 0; i < clients_used; i++) {
        seeds[i].s = seed * 1000 + (uint64_t)i;
        pthread_create(&threads[i], NULL, client, &seeds[i]);
    }
}

void
clients_stop(void)
{
    ends_at = 0;
}

void
clients_join(void)
{
    for (int i = 0; i < clients_used; i++) {
        pthread_join(threads[i], NULL);
    }
}
