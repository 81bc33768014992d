/* Runners, and what ran on them. */
#include "rig_int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

struct run {
    struct run *next;
    char task[64];
    int run;
    int cpu;
    long long ends_at; /* 0: it lasts */
    long long stop_at; /* 0: not being stopped */
    int exec;
};

struct end {
    long long number;
    char task[64];
    int run;
    const char *how;
    int exec;
};

struct rejected {
    char task[64];
    int run;
};

struct worker {
    char id[32];
    char machine[32];
    const char *service;
    int cpu;
    struct server server;
    bool up;
    bool cut;
    long long cut_fence;
    long long born;
    long long clock_base;
    long long fence;
    long long until; /* on its clock */
    struct run *runs;
    struct end ends[4096];
    int end_count;
    long long end_number;
    struct rejected rejected[4096];
    int rejected_count;
    long long beat_at;
    bool listed; /* its entry is in the store */
    long long sequence;
};

static struct worker *workers[64];
static int worker_count;
static struct exec_row execs[16384];
static int exec_count;

static long long
worker_clock(const struct worker *w)
{
    return now_ms() - w->clock_base;
}

static void
worker_beat(struct worker *w)
{
    char buf[512];

    snprintf(buf, sizeof(buf),
             "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z1\","
             "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
             "\"coldLeftMs\":0,\"capacity\":{\"cpu\":%d,\"memMb\":32768,"
             "\"gpu\":0},\"labels\":[\"a\",\"r1-1\"],\"machine\":\"%s\","
             "\"born\":%lld,\"clockMs\":%lld,\"sequence\":%lld}",
             w->service, w->server.port, w->cpu, w->machine, w->born,
             worker_clock(w), w->sequence++);
    put_locked("keyed.servers", w->id, buf);
    w->beat_at = now_ms() + HEARTBEAT_MS;
    w->listed = true;
}

static void
reject_up_to(struct worker *w, const char *task, int run)
{
    for (int i = 0; i < w->rejected_count; i++) {
        if (strcmp(w->rejected[i].task, task) == 0) {
            if (w->rejected[i].run < run) {
                w->rejected[i].run = run;
            }
            return;
        }
    }
    snprintf(w->rejected[w->rejected_count].task, 64, "%s", task);
    w->rejected[w->rejected_count++].run = run;
}

static void
end_run(struct worker *w, struct run **link, const char *how)
{
    struct run *r = *link;
    struct end *e = &w->ends[w->end_count++];

    *link = r->next;
    e->number = ++w->end_number;
    snprintf(e->task, sizeof(e->task), "%s", r->task);
    e->run = r->run;
    e->how = how;
    e->exec = r->exec;
    execs[r->exec].ended = now_ms();
    execs[r->exec].how = how;
    reject_up_to(w, r->task, r->run);
    rec("runner %s: %s run %d ended %s", w->id, r->task, r->run, how);
    free(r);
    pthread_cond_broadcast(&rig_changed);
}

static void
worker_tick(struct worker *w, long long now)
{
    struct run **link = &w->runs;

    /* The store removes the entry after three intervals of silence. */
    if (w->listed && now >= w->beat_at + 2 * HEARTBEAT_MS) {
        rec("store: the entry of runner %s is removed", w->id);
        put_locked("keyed.servers", w->id, "");
        w->listed = false;
    }
    if (!w->up) {
        return;
    }
    if (now >= w->beat_at && !w->cut) {
        worker_beat(w);
    }
    for (int i = 0; worker_clock(w) >= w->until && i < w->end_count; i++) {
        execs[w->ends[i].exec].lapsed = true;
    }
    while (*link != NULL) {
        struct run *r = *link;

        if (worker_clock(w) >= w->until) {
            end_run(w, link, "lapsed");
        }
        else if (r->stop_at != 0 && now >= r->stop_at) {
            end_run(w, link, "stopped");
        }
        else if (r->ends_at != 0 && now >= r->ends_at) {
            end_run(w, link, "done");
        }
        else {
            link = &r->next;
        }
    }
}

static void
take_lease(struct worker *w, long long until)
{
    long long most = worker_clock(w) + MAX_HOLD_MS;

    until = until > most ? most : until;
    if (until > w->until) {
        w->until = until;
    }
}

static struct run *
find_run(struct worker *w, const char *task, int run)
{
    for (struct run *r = w->runs; r != NULL; r = r->next) {
        if (strcmp(r->task, task) == 0 && (run == 0 || r->run == run)) {
            return r;
        }
    }
    return NULL;
}

static void
refuse(struct worker *w, struct answer *a, const char *reason)
{
    answer_json(a, 409,
                json_pack("{s:I,s:s}", "clockMs", (json_int_t)worker_clock(w),
                          "reason", reason));
}

static void
answer_clock(struct worker *w, struct answer *a)
{
    answer_json(a, 200,
                json_pack("{s:I}", "clockMs", (json_int_t)worker_clock(w)));
}

static void
run_start(struct worker *w, json_t *o, struct answer *a)
{
    const char *task = json_string_value(json_object_get(o, "task"));
    const char *spec = json_string_value(json_object_get(o, "spec"));
    int run = (int)json_integer_value(json_object_get(o, "run"));
    long long until = json_integer_value(json_object_get(o, "untilMs"));
    int ms = 0;
    int cpu = 0;
    int used = 0;
    struct run *r = find_run(w, task, 0);

    if (r != NULL && r->run == run) {
        take_lease(w, until);
        answer_clock(w, a);
        return;
    }
    for (int i = 0; i < w->rejected_count; i++) {
        if (strcmp(w->rejected[i].task, task) == 0 &&
            run <= w->rejected[i].run) {
            take_lease(w, until);
            refuse(w, a, "old");
            return;
        }
    }
    if (until <= worker_clock(w)) {
        refuse(w, a, "late");
        return;
    }
    (void)sscanf(spec, "d=%d c=%d", &ms, &cpu);
    for (r = w->runs; r != NULL; r = r->next) {
        used += r->cpu;
    }
    take_lease(w, until);
    if (used + cpu > w->cpu) {
        refuse(w, a, "room");
        return;
    }
    r = calloc(1, sizeof(*r));
    snprintf(r->task, sizeof(r->task), "%s", task);
    r->run = run;
    r->cpu = cpu;
    r->ends_at = ms == 0 ? 0 : now_ms() + ms;
    r->exec = exec_count;
    r->next = w->runs;
    w->runs = r;
    execs[exec_count] = (struct exec_row){
        .run = run, .worker = w, .fence = w->fence, .began = now_ms()};
    snprintf(execs[exec_count++].task, 64, "%s", task);
    rec("runner %s: %s run %d began, fence=%lld untilMs=%lld clockMs=%lld",
        w->id, task, run, w->fence, until, worker_clock(w));
    answer_clock(w, a);
}

static void
run_stop(struct worker *w, json_t *o, struct answer *a)
{
    const char *task = json_string_value(json_object_get(o, "task"));
    int run = (int)json_integer_value(json_object_get(o, "run"));
    struct run *r = find_run(w, task, run);

    if (r != NULL && r->stop_at == 0) {
        r->stop_at = now_ms() + STOP_MS;
        rec("runner %s: %s run %d is told to stop, fence=%lld", w->id, task,
            run, w->fence);
    }
    else if (r == NULL) {
        reject_up_to(w, task, run);
    }
    answer_clock(w, a);
}

static void
hold(struct worker *w, json_t *o, struct answer *a, unsigned life)
{
    long long acked = json_integer_value(json_object_get(o, "ackedThrough"));
    long long until =
        now_ms() + json_integer_value(json_object_get(o, "waitMs"));
    json_t *lease = json_object_get(o, "untilMs");
    json_t *running = json_array();
    json_t *ended = json_array();
    int kept = 0;

    for (int i = 0; i < w->end_count; i++) {
        if (w->ends[i].number > acked) {
            w->ends[kept++] = w->ends[i];
        }
        else {
            if (!execs[w->ends[i].exec].lapsed) {
                execs[w->ends[i].exec].acked = now_ms();
            }
            rec("runner %s: end %lld of %s run %d (%s) acknowledged", w->id,
                w->ends[i].number, w->ends[i].task, w->ends[i].run,
                w->ends[i].how);
        }
    }
    w->end_count = kept;
    if (json_is_integer(lease)) {
        take_lease(w, json_integer_value(lease));
    }
    while (w->end_count == 0 && now_ms() < until && life == w->server.life) {
        wait_change(until);
    }
    for (struct run *r = w->runs; r != NULL; r = r->next) {
        json_array_append_new(running,
                              json_pack("[s,i,s,i,i]", r->task, r->run, "",
                                        100, r->cpu));
    }
    for (int i = 0; i < w->end_count && i < 500; i++) {
        json_array_append_new(
            ended, json_pack("[I,s,i,s,s]", (json_int_t)w->ends[i].number,
                             w->ends[i].task, w->ends[i].run, w->ends[i].how,
                             ""));
    }
    answer_json(a, 200,
                json_pack("{s:I,s:I,s:o,s:o}", "clockMs",
                          (json_int_t)worker_clock(w), "born",
                          (json_int_t)w->born, "running", running, "ended",
                          ended));
}

static bool
worker_request(void *ctx, struct req *r, struct answer *a)
{
    struct worker *w = ctx;
    json_t *o = json_loads(r->body, 0, NULL);
    long long fence = json_integer_value(json_object_get(o, "fence"));
    unsigned life;
    bool cut = true;
    bool ok = true;

    pthread_mutex_lock(&rig_lock);
    life = w->server.life;
    if (w->cut_fence > 0 && fence >= w->cut_fence) {
        stay_silent(life, &w->server.life, &cut);
        ok = false;
    }
    else if (strcmp(r->target, w->id) != 0) {
        answer_json(a, 421, json_object());
    }
    else if (fence < w->fence) {
        refuse(w, a, "fence");
    }
    else {
        w->fence = fence;
        if (strcmp(r->path, "/v1/run-start") == 0) {
            run_start(w, o, a);
        }
        else if (strcmp(r->path, "/v1/run-stop") == 0) {
            run_stop(w, o, a);
        }
        else if (strcmp(r->path, "/v1/hold") == 0) {
            hold(w, o, a, life);
        }
        else {
            answer_clock(w, a);
        }
    }
    pthread_mutex_unlock(&rig_lock);
    json_decref(o);
    return ok;
}

struct worker *
worker_new(const char *service, int cpu)
{
    struct worker *w = calloc(1, sizeof(*w));

    snprintf(w->id, sizeof(w->id), "i-%04x", 0xa0 + worker_count);
    snprintf(w->machine, sizeof(w->machine), "m-%04x", 0xb0 + worker_count);
    w->service = service;
    w->cpu = cpu;
    w->up = true;
    w->born = wall_ms();
    w->clock_base = -3600000; /* it has been up for an hour */
    server_start(&w->server, worker_request, w);
    pthread_mutex_lock(&rig_lock);
    workers[worker_count++] = w;
    worker_beat(w);
    pthread_mutex_unlock(&rig_lock);
    return w;
}

const char *
worker_id(const struct worker *w)
{
    return w->id;
}

void
worker_crash(struct worker *w)
{
    pthread_mutex_lock(&rig_lock);
    rec("runner %s: crashes", w->id);
    w->up = false;
    while (w->runs != NULL) {
        struct run *r = w->runs;

        w->runs = r->next;
        execs[r->exec].ended = now_ms();
        execs[r->exec].how = "crash";
        free(r);
    }
    close(w->server.fd);
    w->server.fd = -1;
    server_reset(&w->server);
    pthread_mutex_unlock(&rig_lock);
}

void
worker_restart(struct worker *w)
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
    rec("runner %s: starts again under its id, born=%lld", w->id, w->born);
    worker_beat(w);
    pthread_mutex_unlock(&rig_lock);
}

void
worker_cut_from(struct worker *w, long long fence)
{
    pthread_mutex_lock(&rig_lock);
    w->cut_fence = fence;
    if (fence > 0) {
        rec("runner %s: cut off from daemons with fence >= %lld", w->id,
            fence);
    }
    else {
        rec("runner %s: the cut has healed", w->id);
    }
    pthread_mutex_unlock(&rig_lock);
}

void
worker_cut(struct worker *w, bool cut)
{
    int fd = cut ? -1 : listen_on(w->server.port);

    pthread_mutex_lock(&rig_lock);
    rec("runner %s: %s", w->id,
        cut ? "cut off from all, with resets; it runs on"
            : "the cut has healed");
    w->cut = cut;
    if (cut) {
        close(w->server.fd);
        server_reset(&w->server);
    }
    w->server.fd = fd;
    if (!cut) {
        worker_beat(w);
    }
    pthread_mutex_unlock(&rig_lock);
}

int
worker_load(struct worker *w)
{
    int n = 0;

    pthread_mutex_lock(&rig_lock);
    for (struct run *r = w->runs; r != NULL; r = r->next) {
        n++;
    }
    pthread_mutex_unlock(&rig_lock);
    return n;
}

long long
worker_fence(struct worker *w)
{
    long long f;

    pthread_mutex_lock(&rig_lock);
    f = w->fence;
    pthread_mutex_unlock(&rig_lock);
    return f;
}

int
exec_find(const char *prefix, struct exec_row *out, int max)
{
    int n = 0;

    pthread_mutex_lock(&rig_lock);
    for (int i = 0; i < exec_count && n < max; i++) {
        if (strncmp(execs[i].task, prefix, strlen(prefix)) == 0) {
            out[n++] = execs[i];
        }
    }
    pthread_mutex_unlock(&rig_lock);
    return n;
}

int
check_twice(void)
{
    int n = 0;

    pthread_mutex_lock(&rig_lock);
    for (int i = 0; i < exec_count; i++) {
        for (int k = 0; k < i; k++) {
            const struct exec_row *x = &execs[k];
            const struct exec_row *y = &execs[i];

            if (strcmp(x->task, y->task) != 0) {
                continue;
            }
            if (x->ended == 0 || y->began < x->ended) {
                n++;
                rec("TWICE: %s: run %d on %s (%.3f s to %.3f s) and run %d on "
                    "%s (from %.3f s) at the same time",
                    x->task, x->run, x->worker->id, (double)x->began / 1000,
                    (double)(x->ended == 0 ? now_ms() : x->ended) / 1000,
                    y->run, y->worker->id, (double)y->began / 1000);
            }
            else if (strcmp(x->how, "done") == 0 && x->acked != 0) {
                n++;
                rec("TWICE: %s: run %d on %s ended done at %.3f s, "
                    "acknowledged at %.3f s; run %d began on %s at %.3f s",
                    x->task, x->run, x->worker->id, (double)x->ended / 1000,
                    (double)x->acked / 1000, y->run, y->worker->id,
                    (double)y->began / 1000);
            }
        }
    }
    pthread_mutex_unlock(&rig_lock);
    return n;
}

void
workers_tick(long long now)
{
    for (int i = 0; i < worker_count; i++) {
        worker_tick(workers[i], now);
    }
}
