/* The runners of review/lib, with faults of start orders, and a list of all
 * start orders that arrived. */
/* NOLINTNEXTLINE(bugprone-suspicious-include): its state is static. */
#include "../../review/lib/runner.c"

#include "soak.h"

#define STARTS_MAX 40000

static struct start_row starts[STARTS_MAX];
static int starts_used;
static int start_lost[SOAK_RUNNERS];
static int start_exec_late[SOAK_RUNNERS];
static int start_answer_late[SOAK_RUNNERS];
static struct rng start_rng = {78};

static bool soak_worker_request(void *ctx, struct req *r, struct answer *a);

#include "runner_trouble.h"

int
worker_index(const struct worker *w)
{
    for (int i = 0; i < SOAK_RUNNERS; i++) {
        if (soak_w[i] == w) {
            return i;
        }
    }
    return -1;
}

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
    if (starts_used < STARTS_MAX) {
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

    if (i >= 0 && meets_trouble(w, i, r, a, &ok)) {
        return ok;
    }
    ok = start ? start_request(w, i, r, a) : worker_request(w, r, a);
    if (i >= 0) {
        trouble_after(w, i, start);
    }
    return ok;
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
