/* Part of soak_runner.c, which has the runners' state: calls that are late,
 * refused or unanswered, and lives that change address. */
#ifndef SOAK_RUNNER_TROUBLE_H
#define SOAK_RUNNER_TROUBLE_H

#include "trouble.h"

#define LATE_LEAST_MS 2000
#define LATE_MOST_MS 12000
/* Longer than any call's time-out of the daemons. */
#define SILENT_MS 2500
#define WORKERS_MAX ((int)(sizeof(workers) / sizeof(workers[0])))

static struct call_trouble trouble[SOAK_RUNNERS];
static struct rng trouble_rng = {79};
static bool store_cut[SOAK_RUNNERS];

struct late_call {
    struct worker *worker;
    unsigned life;
    int port;
    bool any_life;
    long long ms;
    struct req r;
};

static void file_start(const json_t *o, bool late, int before);

/* ---- calls ---- */

static long long
trouble_range(long long lo, long long hi)
{
    long long v;

    pthread_mutex_lock(&rig_lock);
    v = rng_range(&trouble_rng, lo, hi);
    pthread_mutex_unlock(&rig_lock);
    return v;
}

static void *
run_late(void *arg)
{
    struct late_call *c = arg;
    struct answer a = {0};
    json_t *o = json_loads(c->r.body, 0, NULL);
    bool arrives;
    int before;

    sleep_ms(c->ms);
    pthread_mutex_lock(&rig_lock);
    arrives = c->worker->up && c->worker->server.fd >= 0 &&
              c->port == c->worker->server.port &&
              (c->any_life || c->life == c->worker->server.life);
    before = exec_count;
    if (arrives) {
        rec("runner %s: %s %s arrives %lld ms late", c->worker->id, c->r.path,
            json_string_value(json_object_get(o, "task")) == NULL
                ? ""
                : json_string_value(json_object_get(o, "task")),
            c->ms);
    }
    pthread_mutex_unlock(&rig_lock);
    if (arrives && worker_request(c->worker, &c->r, &a) &&
        strcmp(c->r.path, "/v1/run-start") == 0) {
        file_start(o, true, before);
    }
    json_decref(o);
    free(a.body);
    free(c->r.body);
    free(c);
    return NULL;
}

static void
carry_out_late(struct worker *w, const struct req *r, unsigned life,
               bool any_life)
{
    struct late_call *c = calloc(1, sizeof(*c));
    pthread_t t;

    c->worker = w;
    c->life = life;
    c->port = w->server.port;
    c->any_life = any_life && strcmp(r->path, "/v1/hold") != 0;
    c->ms = trouble_range(LATE_LEAST_MS, LATE_MOST_MS);
    c->r = *r;
    c->r.body = strdup(r->body);
    pthread_create(&t, NULL, run_late, c);
    pthread_detach(t);
}

/* The caller's time-out passes, or the connection ends. */
static bool
no_answer(struct worker *w, unsigned life)
{
    bool silent = true;

    pthread_mutex_lock(&rig_lock);
    stay_silent(life, &w->server.life, &silent);
    pthread_mutex_unlock(&rig_lock);
    return false;
}

static bool
from_cut_front(const struct req *r, unsigned fronts)
{
    json_t *o = fronts == 0 ? NULL : json_loads(r->body, 0, NULL);
    long long fence = json_integer_value(json_object_get(o, "fence"));
    int life = 0;
    int d = fronts == 0 ? -1 : epoch_daemon(fence, now_ms(), &life);

    json_decref(o);
    return d >= 0 && (fronts >> d & 1) != 0;
}

/* True when the trouble has decided the call; then *ok is what the handler
 * returns. Calls that are read go on to the runner. */
static bool
meets_trouble(struct worker *w, int i, struct req *r, struct answer *a,
              bool *ok)
{
    struct call_trouble t;
    unsigned life;
    bool late;
    bool refuse;

    pthread_mutex_lock(&rig_lock);
    t = trouble[i];
    life = w->server.life;
    late = rng_chance(&trouble_rng, t.late);
    refuse = rng_chance(&trouble_rng, t.refuse);
    pthread_mutex_unlock(&rig_lock);
    *ok = false;
    if (t.hang || from_cut_front(r, t.fronts)) {
        *ok = no_answer(w, life);
        return true;
    }
    if (t.mute && strcmp(r->path, "/v1/hold") == 0) {
        if (trouble_range(0, 1) == 0) {
            (void)worker_request(w, r, a);
        }
        *ok = no_answer(w, life);
        return true;
    }
    if (refuse) {
        answer_json(a, trouble_range(0, 1) == 0 ? 503 : 429, json_object());
        *ok = true;
        return true;
    }
    if (late) {
        carry_out_late(w, r, life, t.any_life);
        *ok = no_answer(w, life);
        return true;
    }
    return false;
}

/* Time in which an answer is written. */
#define WRITTEN_MS 5

static void *
run_reset(void *arg)
{
    struct worker *w = arg;

    sleep_ms(WRITTEN_MS);
    pthread_mutex_lock(&rig_lock);
    server_reset(&w->server);
    pthread_mutex_unlock(&rig_lock);
    return NULL;
}

/* After a call was carried out and before its answer is written. */
static void
trouble_after(struct worker *w, int i, bool start, bool hold)
{
    bool reset;
    bool slow;
    bool closes;

    pthread_mutex_lock(&rig_lock);
    reset = start && rng_chance(&trouble_rng, trouble[i].reset);
    slow = rng_chance(&trouble_rng, trouble[i].slow);
    closes = hold && trouble[i].close;
    if (reset) {
        rec("runner %s: connections reset after a start", w->id);
        server_reset(&w->server);
    }
    pthread_mutex_unlock(&rig_lock);
    if (slow) {
        sleep_ms(trouble_range(100, 1800));
    }
    if (closes) {
        pthread_t t;

        pthread_create(&t, NULL, run_reset, w);
        pthread_detach(t);
    }
}

void
worker_calls(int i, struct call_trouble t)
{
    pthread_mutex_lock(&rig_lock);
    trouble[i] = t;
    pthread_mutex_unlock(&rig_lock);
}

void
worker_reset(int i)
{
    pthread_mutex_lock(&rig_lock);
    rec("runner %s: all connections reset", soak_w[i]->id);
    server_reset(&soak_w[i]->server);
    pthread_mutex_unlock(&rig_lock);
}

/* ---- lives ---- */

void
worker_store_cut(int i, bool cut)
{
    pthread_mutex_lock(&rig_lock);
    rec("runner %s: cut from the store: %s", soak_w[i]->id,
        cut ? "begins" : "has healed");
    store_cut[i] = cut;
    soak_w[i]->cut = cut;
    pthread_mutex_unlock(&rig_lock);
}

/* With the lock held: a new life that knows nothing. */
static void
begin_life(struct worker *w, long long shift)
{
    w->up = true;
    w->born = wall_ms() + shift;
    w->clock_base = now_ms();
    w->fence = 0;
    w->until = 0;
    w->end_count = 0;
    w->end_number = 0;
    w->rejected_count = 0;
    w->sequence = 0;
    rec("runner %s: starts again under its id, born=%lld", w->id, w->born);
}

void
worker_reborn_cut(int i)
{
    struct worker *w = soak_w[i];

    worker_crash(w);
    sleep_ms(300);
    pthread_mutex_lock(&rig_lock);
    if (!w->up && !away[i]) {
        begin_life(w, 0);
    }
    pthread_mutex_unlock(&rig_lock);
}

void
worker_restart_shifted(int i, long long ms)
{
    struct worker *w = soak_w[i];

    pthread_mutex_lock(&rig_lock);
    if (!w->up && !away[i]) {
        begin_life(w, ms);
        w->server.fd = listen_on(w->server.port);
        worker_beat(w);
    }
    pthread_mutex_unlock(&rig_lock);
}

/* A runner with a new id on a new machine that listens at a port. */
static struct worker *
worker_at(int port, int cpu)
{
    struct worker *w;

    if (worker_count >= WORKERS_MAX) {
        return NULL;
    }
    w = calloc(1, sizeof(*w));
    snprintf(w->id, sizeof(w->id), "i-%04x", 0xa0 + worker_count);
    snprintf(w->machine, sizeof(w->machine), "m-%04x", 0xb0 + worker_count);
    w->service = SERVICE;
    w->cpu = cpu;
    w->up = true;
    w->born = wall_ms();
    w->clock_base = now_ms();
    server_start(&w->server, soak_worker_request, w);
    pthread_mutex_lock(&rig_lock);
    close(w->server.fd);
    w->server.port = port;
    w->server.fd = listen_on(port);
    workers[worker_count++] = w;
    rec("runner %s: starts at port %d", w->id, port);
    worker_beat(w);
    pthread_mutex_unlock(&rig_lock);
    return w;
}

bool
worker_replace(int i)
{
    struct worker *w = worker_at(soak_w[i]->server.port, soak_w[i]->cpu);

    if (w == NULL) {
        worker_restart(soak_w[i]);
        return false;
    }
    pthread_mutex_lock(&rig_lock);
    soak_w[i] = w;
    pthread_mutex_unlock(&rig_lock);
    return true;
}

struct worker *
worker_move(int i)
{
    struct worker *w = soak_w[i];
    int port = free_port();
    int fd = listen_on(port);
    int former;

    pthread_mutex_lock(&rig_lock);
    former = w->server.port;
    w->server.port = port;
    begin_life(w, 0);
    w->server.fd = fd;
    worker_beat(w);
    pthread_mutex_unlock(&rig_lock);
    return worker_at(former, w->cpu);
}

#endif
