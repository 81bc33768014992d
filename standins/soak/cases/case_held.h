/* For cases that hold start orders up in front of a runner: its stand-in, with
 * an order that arrives when the case says so. build.sh leaves out
 * review/lib/runner.c for cases that include this file. */
#ifndef CASE_HELD_H
#define CASE_HELD_H

/* NOLINTNEXTLINE(bugprone-suspicious-include): its state is static. */
#include "../../../review/lib/runner.c"

#include "case.h"

/* One order that was sent and has not arrived. */
struct held_order {
    struct worker *worker; /* NULL: none is held yet */
    char target[64];       /* X-Target-Instance */
    char *body;            /* NULL: it has arrived */
    char task[64];
    int run;
    long long fence;
    long long sent;
};

static struct held_order held;
/* Start orders are held, the last one stays: earlier ones never arrive. */
static bool held_armed;
static bool held_first; /* the first one stays; later ones arrive */
/* Calls to this runner are silent until their callers give up. */
static struct worker *held_cut;

/* With the lock held. */
static void
hold_up(struct worker *w, const struct req *r)
{
    json_t *o = json_loads(r->body, 0, NULL);
    const char *task = json_string_value(json_object_get(o, "task"));

    free(held.body);
    held.worker = w;
    held.body = strdup(r->body);
    held.run = (int)json_integer_value(json_object_get(o, "run"));
    held.fence = json_integer_value(json_object_get(o, "fence"));
    held.sent = now_ms();
    snprintf(held.target, sizeof(held.target), "%s", r->target);
    snprintf(held.task, sizeof(held.task), "%s", task == NULL ? "" : task);
    held_armed = !held_first;
    json_decref(o);
    rec("runner %s: the start of %s run %d, fence=%lld, is held up", w->id,
        held.task, held.run, held.fence);
}

static bool
held_request(void *ctx, struct req *r, struct answer *a)
{
    struct worker *w = ctx;
    unsigned life;

    pthread_mutex_lock(&rig_lock);
    if (held_armed && (held_cut == NULL || held_cut == w) &&
        strcmp(r->path, "/v1/run-start") == 0) {
        hold_up(w, r);
        pthread_mutex_unlock(&rig_lock);
        sleep_ms(3000);
        return false;
    }
    if (held_cut == w) {
        bool cut = true;

        life = w->server.life;
        stay_silent(life, &w->server.life, &cut);
        pthread_mutex_unlock(&rig_lock);
        return false;
    }
    pthread_mutex_unlock(&rig_lock);
    return worker_request(ctx, r, a);
}

static inline void
held_wrap(struct worker *w)
{
    w->server.handle = held_request;
}

/* The calls to a runner do not arrive; NULL: they do again. */
static inline void
held_cut_set(struct worker *w)
{
    pthread_mutex_lock(&rig_lock);
    held_cut = w;
    if (w != NULL) {
        rec("runner %s: cut off from the daemons", w->id);
    }
    else {
        rec("the cut has healed");
    }
    pthread_mutex_unlock(&rig_lock);
}

/* Its heartbeats do not reach the store. */
static inline void
held_store_cut(struct worker *w, bool cut)
{
    pthread_mutex_lock(&rig_lock);
    w->cut = cut;
    if (cut) {
        rec("runner %s: cut off from the store", w->id);
    }
    pthread_mutex_unlock(&rig_lock);
}

static inline void
held_arm(bool armed)
{
    pthread_mutex_lock(&rig_lock);
    held_armed = armed;
    pthread_mutex_unlock(&rig_lock);
}

static inline bool
held_wait(long long timeout)
{
    long long until = now_ms() + timeout;

    while (held.worker == NULL && now_ms() < until) {
        sleep_ms(1);
    }
    return held.worker != NULL;
}

/* The order arrives at whatever process listens at the address now. Returns
 * the status of its answer, which nobody receives. */
static inline int
held_arrives(void)
{
    struct req r = {.method = "POST", .path = "/v1/run-start"};
    struct answer a = {0};

    held_arm(false);
    snprintf(r.target, sizeof(r.target), "%s", held.target);
    r.body = held.body;
    r.len = strlen(held.body);
    rec("runner %s: the start of %s run %d arrives, %lld ms late",
        held.worker->id, held.task, held.run, now_ms() - held.sent);
    (void)worker_request(held.worker, &r, &a);
    rec("runner %s: its answer is %d %.*s", held.worker->id, a.status,
        (int)a.len, a.body == NULL ? "" : a.body);
    free(a.body);
    free(held.body);
    held.body = NULL;
    return a.status;
}

/* A new life under the same id that writes its first entry at its next
 * heartbeat. */
static inline void
held_restart_unnoticed(struct worker *w)
{
    int fd = listen_on(w->server.port);

    pthread_mutex_lock(&rig_lock);
    w->up = true;
    w->born = wall_ms();
    w->clock_base = now_ms();
    w->fence = 0;
    w->until = 0;
    w->end_count = 0;
    w->end_number = 0;
    w->rejected_count = 0;
    w->sequence = 0;
    w->server.fd = fd;
    w->beat_at = now_ms() + HEARTBEAT_MS;
    rec("runner %s: starts again under its id, born=%lld, not listed yet",
        w->id, w->born);
    pthread_mutex_unlock(&rig_lock);
}

#endif
