/* The runners of review/lib, with faults of start orders, and a list of all
 * start orders that arrived. */
/* Replaced below by versions that know machines that are away. */
#define worker_cut rig_worker_cut
#define worker_restart rig_worker_restart
/* NOLINTNEXTLINE(bugprone-suspicious-include): its state is static. */
#include "../../review/lib/runner.c"
#undef worker_cut
#undef worker_restart
void worker_cut(struct worker *w, bool cut);
void worker_restart(struct worker *w);

#include "soak.h"

#define STARTS_MAX 40000
/* What review/lib has room for, less what may come between two looks. */
#define EXECS_MAX 15000
#define REJECTED_MAX 3500
#define CONNS_MAX 480
#define FORMER_MAX 4096
#define GANGS_MAX 2000
#define GANG_WAIT_MS 3000
#define MAX_ATTEMPTS 3 /* of the queues, see soak_site.c */

static struct start_row starts[STARTS_MAX];
static int starts_used;
static int start_lost[SOAK_RUNNERS];
static int start_exec_late[SOAK_RUNNERS];
static int start_answer_late[SOAK_RUNNERS];
static struct rng start_rng = {78};
static bool away[SOAK_RUNNERS]; /* its machine is moved, in upkeep or off */

static bool soak_worker_request(void *ctx, struct req *r, struct answer *a);

#include "runner_dark.h"
#include "runner_trouble.h"

int
worker_index(const struct worker *w)
{
    for (int i = 0; i < soak_runners; i++) {
        if (soak_w[i] == w) {
            return i;
        }
    }
    return -1;
}

void
worker_off(int i)
{
    struct worker *w = soak_w[i];

    pthread_mutex_lock(&rig_lock);
    away[i] = true;
    w->up = false;
    w->listed = false;
    put_locked("keyed.servers", w->id, "");
    close(w->server.fd);
    w->server.fd = -1;
    pthread_mutex_unlock(&rig_lock);
}

/* ---- machines ---- */

const char *
worker_machine(int i)
{
    return soak_w[i]->machine;
}

bool
worker_is_up(int i)
{
    bool up;

    pthread_mutex_lock(&rig_lock);
    up = soak_w[i]->up;
    pthread_mutex_unlock(&rig_lock);
    return up;
}

void
worker_leave(int i, bool dropped)
{
    struct worker *w = soak_w[i];

    pthread_mutex_lock(&rig_lock);
    rec("runner %s: its machine %s is taken", w->id, w->machine);
    dark_drop(w);
    away[i] = true;
    w->up = false;
    while (w->runs != NULL) {
        struct run *r = w->runs;

        w->runs = r->next;
        execs[r->exec].ended = now_ms();
        execs[r->exec].how = "taken";
        free(r);
    }
    if (w->server.fd >= 0) {
        close(w->server.fd);
    }
    w->server.fd = -1;
    server_reset(&w->server);
    if (dropped && w->listed) {
        put_locked("keyed.servers", w->id, "");
        w->listed = false;
    }
    pthread_mutex_unlock(&rig_lock);
}

static struct worker *former[FORMER_MAX];
static int former_count;

/* Runs of the past keep the name of the runner that they ran on. */
static void
keep_identity(const struct worker *w)
{
    struct worker *old = calloc(1, sizeof(*old));

    if (old == NULL || former_count == FORMER_MAX) {
        rig_exit(2, "too many former runners");
    }
    former[former_count++] = old;
    memcpy(old->id, w->id, sizeof(old->id));
    memcpy(old->machine, w->machine, sizeof(old->machine));
    for (int i = 0; i < exec_count; i++) {
        if (execs[i].worker == w) {
            execs[i].worker = old;
        }
    }
}

void
worker_join(int i, const char *service, bool off, bool same_address)
{
    static int joined;
    struct worker *w = soak_w[i];

    pthread_mutex_lock(&rig_lock);
    if (w->listed) {
        put_locked("keyed.servers", w->id, "");
        w->listed = false;
    }
    if (!off) {
        keep_identity(w);
        snprintf(w->id, sizeof(w->id), "j-%04x", ++joined);
        w->service = service;
        if (!same_address) {
            w->server.port = free_port();
        }
        away[i] = false;
        w->up = true;
        w->born = wall_ms();
        w->clock_base = now_ms();
        w->fence = 0;
        w->until = 0;
        w->end_count = 0;
        w->end_number = 0;
        w->rejected_count = 0;
        w->sequence = 0;
        rec("runner %s: joins %s on machine %s, born=%lld, address %s", w->id,
            service, w->machine, w->born, same_address ? "kept" : "new");
        if (!w->cut) {
            w->server.fd = listen_on(w->server.port);
            worker_beat(w);
        }
    }
    pthread_mutex_unlock(&rig_lock);
}

void
worker_cut(struct worker *w, bool cut)
{
    if (cut) {
        rig_worker_cut(w, true);
        return;
    }
    pthread_mutex_lock(&rig_lock);
    rec("runner %s: the cut has healed", w->id);
    w->cut = false;
    if (w->up && w->server.fd < 0) {
        w->server.fd = listen_on(w->server.port);
        worker_beat(w);
    }
    pthread_mutex_unlock(&rig_lock);
}

void
worker_restart(struct worker *w)
{
    int i = worker_index(w);
    bool skip;

    pthread_mutex_lock(&rig_lock);
    skip = w->up || (i >= 0 && away[i]);
    pthread_mutex_unlock(&rig_lock);
    if (!skip) {
        rig_worker_restart(w);
    }
}

static int
open_conns(const struct server *s)
{
    int n = 0;

    for (int i = 0; i < 512; i++) {
        n += s->conns[i] != 0;
    }
    return n;
}

void
worker_check_arrays(void)
{
    const char *full = NULL;

    pthread_mutex_lock(&rig_lock);
    if (exec_count > EXECS_MAX) {
        full = "runs";
    }
    for (int i = 0; i < soak_runners && full == NULL; i++) {
        const struct worker *w = soak_w[i];

        full = w->rejected_count > REJECTED_MAX ? "runs rejected at a runner"
               : w->end_count > REJECTED_MAX    ? "ends of a runner"
               : open_conns(&w->server) > CONNS_MAX ? "connections to a runner"
                                                    : NULL;
    }
    pthread_mutex_unlock(&rig_lock);
    if (full != NULL) {
        rig_exit(2, "too many %s", full);
    }
}

/* ---- gangs ---- */

/* A run of a step whose spec has g=COUNT t=MS. Its members do nothing until
 * all of them are there. */
struct gang {
    char step[64]; /* ID.K.STEP. */
    int run;
    int count;
    int ms;
    bool begun;
    bool over;
};

static struct gang gangs[GANGS_MAX];
static int gang_count;

/* With the lock held. */
static void
gang_add(const char *task, int run, const char *spec)
{
    const char *p = strstr(spec, " g=");
    struct gang g = {.run = run};
    size_t n = (size_t)(strrchr(task, '.') + 1 - task);

    if (p == NULL || sscanf(p, " g=%d t=%d", &g.count, &g.ms) != 2) {
        return;
    }
    memcpy(g.step, task, n);
    for (int i = 0; i < gang_count; i++) {
        if (gangs[i].run == run && strcmp(gangs[i].step, g.step) == 0) {
            return;
        }
    }
    if (gang_count == GANGS_MAX) {
        pthread_mutex_unlock(&rig_lock);
        rig_exit(2, "too many gangs");
    }
    gangs[gang_count++] = g;
}

static bool
is_member(const struct gang *g, const struct run *r)
{
    return r->run == g->run && strncmp(r->task, g->step, strlen(g->step)) == 0;
}

static int
gang_present(const struct gang *g)
{
    int n = 0;

    for (int i = 0; i < soak_runners; i++) {
        for (struct run *r = soak_w[i]->runs; r != NULL; r = r->next) {
            n += is_member(g, r);
        }
    }
    return n;
}

/* Begins the work of all members, or ends those that are over. */
static void
gang_members(const struct gang *g, bool begin, long long now)
{
    for (int i = 0; i < soak_runners; i++) {
        struct run **link = &soak_w[i]->runs;

        while (*link != NULL) {
            struct run *r = *link;

            if (is_member(g, r) && begin) {
                r->ends_at = now + g->ms;
            }
            else if (is_member(g, r) &&
                     (g->begun || now > execs[r->exec].began + GANG_WAIT_MS)) {
                end_run(soak_w[i], link, g->begun ? "broken" : "alone");
                continue;
            }
            link = &r->next;
        }
    }
}

static void
gang_tick(struct gang *g, long long now)
{
    int n = gang_present(g);

    if (!g->begun && n == g->count) {
        gang_members(g, true, now);
        g->begun = true;
        rec("gang %s run %d: %d members work", g->step, g->run, n);
    }
    else if (n < g->count) {
        gang_members(g, false, now);
        g->over = g->begun;
    }
}

/* ---- runners that fail all that they start ---- */

#define FAILS_AFTER_MS 60

static long long fails_since[SOAK_RUNNERS]; /* 0: it does not */

void
worker_fails(int i, bool on)
{
    pthread_mutex_lock(&rig_lock);
    fails_since[i] = on ? now_ms() : 0;
    pthread_mutex_unlock(&rig_lock);
}

/* With the lock held. */
static void
fail_runs(int i, long long now)
{
    struct run **link = &soak_w[i]->runs;

    while (*link != NULL) {
        long long began = execs[(*link)->exec].began;

        if (began >= fails_since[i] && now >= began + FAILS_AFTER_MS) {
            end_run(soak_w[i], link, "failed");
        }
        else {
            link = &(*link)->next;
        }
    }
}

bool
job_may_have_failed(const char *id, bool gang)
{
    int most = 0;

    pthread_mutex_lock(&rig_lock);
    for (int i = 0; i < exec_count && most < MAX_ATTEMPTS; i++) {
        int n = 0;

        if (strncmp(execs[i].task, id, 16) != 0 || execs[i].how == NULL ||
            strcmp(execs[i].how, "failed") != 0) {
            continue;
        }
        for (int k = 0; k < exec_count; k++) {
            n += execs[k].how != NULL && strcmp(execs[k].how, "failed") == 0 &&
                 strncmp(execs[k].task, execs[i].task, gang ? 16 : 64) == 0;
        }
        most = n > most ? n : most;
    }
    pthread_mutex_unlock(&rig_lock);
    return most >= MAX_ATTEMPTS;
}

static void *
gangs_run(void *arg)
{
    for (;;) {
        sleep_ms(5);
        pthread_mutex_lock(&rig_lock);
        for (int i = 0; i < soak_runners; i++) {
            if (fails_since[i] != 0) {
                fail_runs(i, now_ms());
            }
        }
        for (int i = 0; i < gang_count; i++) {
            if (!gangs[i].over) {
                gang_tick(&gangs[i], now_ms());
            }
        }
        pthread_mutex_unlock(&rig_lock);
    }
    return arg;
}

void
gangs_start(void)
{
    pthread_t t;

    pthread_create(&t, NULL, gangs_run, NULL);
    pthread_detach(t);
}

/* ---- start orders ---- */

int
start_count(void)
{
    return starts_used;
}

struct start_row
start_get(int i)
{
    return starts[i];
}

/* Files a start order; with the run that it began, if it began one. */
static void
file_start(const json_t *o, bool late, int before)
{
    struct start_row *s;
    const char *task = json_string_value(json_object_get(o, "task"));
    const char *spec = json_string_value(json_object_get(o, "spec"));
    const char *c = json_string_value(json_object_get(o, "lastCheckpoint"));
    int run = (int)json_integer_value(json_object_get(o, "run"));

    pthread_mutex_lock(&rig_lock);
    if (starts_used == STARTS_MAX) {
        pthread_mutex_unlock(&rig_lock);
        rig_exit(2, "too many start orders");
    }
    s = &starts[starts_used++];
    s->exec = -1;
    s->late = late;
    s->sent = now_ms();
    s->fence = json_integer_value(json_object_get(o, "fence"));
    snprintf(s->task, sizeof(s->task), "%s", task ? task : "");
    snprintf(s->spec, sizeof(s->spec), "%s", spec ? spec : "");
    snprintf(s->checkpoint, sizeof(s->checkpoint), "%s", c ? c : "");
    for (int i = before; i < exec_count; i++) {
        if (strcmp(execs[i].task, s->task) == 0 && execs[i].run == run) {
            s->exec = i;
        }
    }
    if (s->exec >= 0) {
        gang_add(s->task, run, s->spec);
    }
    pthread_mutex_unlock(&rig_lock);
}

/* A start, with the faults of starts only. A runner without a place in soak_w
 * has none. */
static bool
start_request(struct worker *w, int i, struct req *r, struct answer *a)
{
    json_t *o;
    bool lost;
    bool late;
    bool slow;
    bool ok;
    int before;
    unsigned life;

    o = json_loads(r->body, 0, NULL);
    pthread_mutex_lock(&rig_lock);
    lost = i >= 0 && rng_chance(&start_rng, start_lost[i]);
    late = i >= 0 && rng_chance(&start_rng, start_exec_late[i]);
    slow = i >= 0 && rng_chance(&start_rng, start_answer_late[i]);
    life = w->server.life;
    pthread_mutex_unlock(&rig_lock);
    if (late) {
        sleep_ms(700 + (long long)(rng_next(&start_rng) % 2000));
    }
    pthread_mutex_lock(&rig_lock);
    ok = life == w->server.life && w->up &&
         (!w->cut || (i >= 0 && store_cut[i]));
    before = exec_count;
    pthread_mutex_unlock(&rig_lock);
    if (ok) {
        ok = worker_request(w, r, a);
        file_start(o, late, before);
    }
    json_decref(o);
    if (slow) {
        sleep_ms(250 + (long long)(rng_next(&start_rng) % 140));
    }
    return ok && !lost && !late;
}

static bool
soak_worker_request(void *ctx, struct req *r, struct answer *a)
{
    struct worker *w = ctx;
    int i = worker_index(w);
    bool start = strcmp(r->path, "/v1/run-start") == 0;
    bool ok;

    if (dark_loses(w)) {
        return false;
    }
    if (i >= 0 && meets_trouble(w, i, r, a, &ok)) {
        return ok;
    }
    ok = start ? start_request(w, i, r, a) : worker_request(w, r, a);
    if (i >= 0) {
        trouble_after(w, i, start, strcmp(r->path, "/v1/hold") == 0);
    }
    return ok && !dark_loses(w);
}

void
soak_wrap_worker(int i)
{
    soak_w[i]->server.handle = soak_worker_request;
}

void
worker_start_faults(int i, int lost, int exec_late, int answer_late)
{
    pthread_mutex_lock(&rig_lock);
    start_lost[i] = lost;
    start_exec_late[i] = exec_late;
    start_answer_late[i] = answer_late;
    pthread_mutex_unlock(&rig_lock);
}

void
worker_dark(int i, bool connects)
{
    dark_start(soak_w[i], connects);
}

void
worker_dark_end(int i)
{
    dark_end(soak_w[i]);
}

bool
worker_is_dark(int i)
{
    bool dark;

    pthread_mutex_lock(&rig_lock);
    dark = is_dark(soak_w[i]);
    pthread_mutex_unlock(&rig_lock);
    return dark;
}

int
worker_lasting(int i)
{
    int n = 0;

    pthread_mutex_lock(&rig_lock);
    for (const struct run *r = soak_w[i]->runs; r != NULL; r = r->next) {
        n += r->ends_at == 0;
    }
    pthread_mutex_unlock(&rig_lock);
    return n;
}

long long
worker_newest_start(int i)
{
    long long at = 0;

    pthread_mutex_lock(&rig_lock);
    for (int k = exec_count - 1; k >= 0 && at == 0; k--) {
        if (execs[k].worker == soak_w[i]) {
            at = execs[k].began;
        }
    }
    pthread_mutex_unlock(&rig_lock);
    return at;
}

void
workers_look(struct worker_look *out)
{
    pthread_mutex_lock(&rig_lock);
    for (int i = 0; i < soak_runners; i++) {
        const struct worker *w = soak_w[i];
        int used = 0;

        for (const struct run *r = w->runs; r != NULL; r = r->next) {
            used += r->cpu;
        }
        out[i] = (struct worker_look){.service = -1, .used = used};
        /* A runner in a cut is dark or has a fault of another kind. */
        if (!w->up || w->cut || w->cut_fence != 0 || away[i]) {
            continue;
        }
        out[i].cpu = w->cpu;
        for (int s = 0; s < site_service_count(); s++) {
            if (strcmp(w->service, site_service(s)) == 0) {
                out[i].service = s;
            }
        }
    }
    pthread_mutex_unlock(&rig_lock);
}

void
worker_entry_removed(int i)
{
    struct worker *w = soak_w[i];

    pthread_mutex_lock(&rig_lock);
    rec("store: the entry of runner %s is dropped, it lives", w->id);
    put_locked("keyed.servers", w->id, "");
    w->listed = false;
    w->beat_at = now_ms() + 2000;
    pthread_mutex_unlock(&rig_lock);
}
