/* Runners: each is one life of a machine. */
#include "rig2.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_HOLD_MS 10000
#define HEARTBEAT_MS 1500
#define GANG_WAIT_MS 3000
#define SAVE_MS 1000 /* checkpointIntervalS */
#define RESTORE_MS 250
#define START_UP_MS 500 /* of a task that lasts */
#define JOBS 4096

struct job {
    struct job *next;
    char id[20];
    json_t *body;
};

struct saved_work {
    struct saved_work *next;
    char value[24];
    ms_t done_ms;
};

struct run_log *run_log;
int run_log_count;
static int run_log_cap;
struct runner *runners[RUNNERS_MAX];
int runner_count;
static struct job *jobs[JOBS];
static struct saved_work *saved_works;

static unsigned
hash(const char *s)
{
    unsigned h = 5381;

    while (*s != '\0') {
        h = h * 33 + (unsigned char)*s++;
    }
    return h;
}

void
job_register(const char *id, const char *body)
{
    struct job *j = calloc(1, sizeof(*j));
    unsigned b = hash(id) % JOBS;

    (void)snprintf(j->id, sizeof(j->id), "%s", id);
    j->body = json_loads(body, 0, NULL);
    if (j->body == NULL) {
        rig_exit(2, "the body of job %s is no JSON", id);
    }
    pthread_mutex_lock(&rig_lock);
    j->next = jobs[b];
    jobs[b] = j;
    pthread_mutex_unlock(&rig_lock);
}

static json_t *
job_step(const char *id, unsigned step, json_t **body)
{
    struct job *j = jobs[hash(id) % JOBS];

    while (j != NULL && strcmp(j->id, id) != 0) {
        j = j->next;
    }
    *body = j == NULL ? NULL : j->body;
    return j == NULL ? NULL
                     : json_array_get(json_object_get(j->body, "steps"), step);
}

static long
number(const json_t *o, const char *name)
{
    return (long)json_integer_value(json_object_get(o, name));
}

static ms_t
clock_of(const struct runner *w)
{
    return now_ms() - w->clock_base;
}

static void
beat(struct runner *w)
{
    char text[1024];

    (void)snprintf(
        text, sizeof(text),
        "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z-a\","
        "\"machine\":\"%s\",\"version\":\"v1\",\"slots\":8,\"state\":\"%s\","
        "\"coldLeftMs\":0,\"sequence\":%lld,\"capacity\":{\"cpu\":%ld,"
        "\"memMb\":%ld,\"gpu\":%ld},\"labels\":[\"%s\",\"%s\"],"
        "\"clockMs\":%lld,\"born\":%lld}",
        w->service, w->port, w->machine, w->draining ? "draining" : "ready",
        ++w->sequence, w->cpu, w->mem, w->gpu, w->kind, w->rack, clock_of(w),
        w->born);
    store_put("keyed.servers", w->id, text);
    w->beat_at = now_ms();
}

/* ---- ends ---- */

static void
answer_hold(struct runner *w, const struct req *r, ms_t at)
{
    json_t *running = json_array();
    json_t *ended = json_array();

    for (struct run *x = w->runs; x != NULL; x = x->next) {
        ms_t t = now_ms() - (x->work_from > 0 ? x->work_from : now_ms());
        long percent = x->lasts ? (t * 100 / START_UP_MS)
                       : x->work_ms > 0
                           ? (long)((x->done_ms + t) * 100 / x->work_ms)
                           : 0;

        json_array_append_new(
            running,
            json_pack("[sisii]", x->task, (int)x->run, x->saved,
                      percent > (x->lasts ? 100 : 99) ? (x->lasts ? 100 : 99)
                                                      : (int)percent,
                      x->lasts ? 10 : (int)x->cpu));
    }
    for (size_t i = 0; i < w->end_count && i < 500; i++) {
        struct end_row *e = &w->ends[i];

        json_array_append_new(ended,
                              json_pack("[Isiss]", (json_int_t)e->n, e->task,
                                        (int)e->run, e->how, e->saved));
    }
    answer_json(r, 200,
                json_pack("{sIsIsoso}", "clockMs", (json_int_t)clock_of(w),
                          "born", (json_int_t)w->born, "running", running,
                          "ended", ended),
                at);
}

static void
answer_holds(struct runner *w, bool all)
{
    for (int i = 0; i < 8; i++) {
        if (w->hold_until[i] != 0 && (all || now_ms() >= w->hold_until[i])) {
            w->hold_until[i] = 0;
            answer_hold(w, &w->holds[i], now_ms());
        }
    }
}

static void
bar(struct runner *w, const char *task, unsigned run)
{
    for (size_t i = 0; i < w->barred_count; i++) {
        if (strcmp(w->barred[i].task, task) == 0) {
            if (w->barred[i].run < run) {
                w->barred[i].run = run;
            }
            return;
        }
    }
    if (w->barred_count == w->barred_cap) {
        w->barred_cap = w->barred_cap * 2 + 64;
        w->barred = realloc(w->barred, w->barred_cap * sizeof(w->barred[0]));
    }
    (void)snprintf(w->barred[w->barred_count].task, sizeof(w->barred[0].task),
                   "%s", task);
    w->barred[w->barred_count++].run = run;
}

static bool
is_barred(const struct runner *w, const char *task, unsigned run)
{
    for (size_t i = 0; i < w->barred_count; i++) {
        if (strcmp(w->barred[i].task, task) == 0) {
            return run <= w->barred[i].run;
        }
    }
    return false;
}

static void
new_value(struct run *r, ms_t work_done)
{
    struct saved_work *s;
    static unsigned n;

    if (!r->saves) {
        return;
    }
    (void)snprintf(r->saved, sizeof(r->saved), "%08x%08x", ++n,
                   hash(r->task) ^ r->run);
    s = calloc(1, sizeof(*s));
    memcpy(s->value, r->saved, sizeof(s->value));
    s->done_ms = work_done;
    s->next = saved_works;
    saved_works = s;
    r->saved_at = now_ms();
}

static ms_t
work_done(const struct run *r)
{
    return r->done_ms + (r->work_from > 0 ? now_ms() - r->work_from : 0);
}

static void
end_run(struct runner *w, struct run *r, const char *how)
{
    struct run **link = &w->runs;
    struct end_row *e;

    while (*link != r) {
        link = &(*link)->next;
    }
    *link = r->next;
    if (w->end_count == w->end_cap) {
        w->end_cap = w->end_cap * 2 + 64;
        w->ends = realloc(w->ends, w->end_cap * sizeof(w->ends[0]));
    }
    if (strcmp(how, "stopped") == 0) {
        new_value(r, work_done(r));
    }
    e = &w->ends[w->end_count++];
    memset(e, 0, sizeof(*e));
    e->n = ++w->end_n;
    memcpy(e->task, r->task, sizeof(e->task));
    memcpy(e->saved, r->saved, sizeof(e->saved));
    e->run = r->run;
    e->how = how;
    run_log[r->log].ended = now_ms();
    run_log[r->log].how = how;
    memcpy(run_log[r->log].saved, r->saved, sizeof(r->saved));
    bar(w, r->task, r->run);
    free(r);
    answer_holds(w, true);
}

/* ---- gangs ---- */

static bool
same_gang(const struct run *a, const struct run *b)
{
    return strcmp(a->job, b->job) == 0 && a->k == b->k && a->step == b->step &&
           a->run == b->run;
}

/* The first member of r's gang run that is not r, on any runner. */
static struct run *
other_member(const struct run *r, struct runner **at)
{
    for (int i = 0; i < runner_count; i++) {
        for (struct run *x = runners[i]->runs; x != NULL; x = x->next) {
            if (x != r && same_gang(x, r)) {
                *at = runners[i];
                return x;
            }
        }
    }
    return NULL;
}

static void
gang_ends(struct run of, const char *how)
{
    struct runner *w;
    struct run *x;

    while ((x = other_member(&of, &w)) != NULL) {
        end_run(w, x, how);
    }
}

static void
gang_begins(struct run *r)
{
    unsigned n = 0;

    for (int i = 0; i < runner_count; i++) {
        for (struct run *x = runners[i]->runs; x != NULL; x = x->next) {
            n += same_gang(x, r) ? 1 : 0;
        }
    }
    for (int i = 0; i < runner_count && n == r->gang_size; i++) {
        for (struct run *x = runners[i]->runs; x != NULL; x = x->next) {
            if (same_gang(x, r)) {
                x->work_from = now_ms() + (x->done_ms > 0 ? RESTORE_MS : 0);
            }
        }
    }
}

/* ---- calls ---- */

static json_t *
with_clock(const struct runner *w, const char *reason)
{
    json_t *o = json_pack("{sIsI}", "clockMs", (json_int_t)clock_of(w), "born",
                          (json_int_t)w->born);

    if (reason != NULL) {
        json_object_set_new(o, "reason", json_string(reason));
    }
    return o;
}

static void
extend(struct runner *w, long long until)
{
    if (until > clock_of(w) + MAX_HOLD_MS) {
        until = clock_of(w) + MAX_HOLD_MS;
    }
    if (until > w->until) {
        w->until = until;
    }
}

static struct run *
run_find(struct runner *w, const char *task, unsigned run)
{
    struct run *r = w->runs;

    while (r != NULL && (strcmp(r->task, task) != 0 || r->run != run)) {
        r = r->next;
    }
    return r;
}

static bool
has_room(const struct runner *w, const struct run *r)
{
    long cpu = r->cpu, mem = r->mem, gpu = r->gpu;

    for (const struct run *x = w->runs; x != NULL; x = x->next) {
        cpu += x->cpu;
        mem += x->mem;
        gpu += x->gpu;
    }
    return cpu <= w->cpu && mem <= w->mem && gpu <= w->gpu;
}

static struct run *
run_new(struct runner *w, const json_t *o, const char **why)
{
    const char *task = json_string_value(json_object_get(o, "task"));
    const char *given =
        json_string_value(json_object_get(o, "lastCheckpoint"));
    struct run *r = calloc(1, sizeof(*r));
    json_t *body;
    const json_t *st;

    (void)snprintf(r->task, sizeof(r->task), "%s", task == NULL ? "" : task);
    r->run = (unsigned)number(o, "run");
    if (sscanf(r->task, "%16[0-9a-f].%u.%u.%u", r->job, &r->k, &r->step,
               &r->index) != 4) {
        *why = "form";
        free(r);
        return NULL;
    }
    st = job_step(r->job, r->step, &body);
    if (st == NULL) {
        rec("runner %s: is told to start %s, which no client sent", w->id,
            r->task);
        *why = "form";
        free(r);
        return NULL;
    }
    r->cpu =
        json_is_true(json_object_get(st, "fills")) ? 0 : number(st, "cpu");
    r->mem = number(st, "memMb");
    r->gpu = number(st, "gpu");
    r->lasts = json_is_true(json_object_get(st, "persistent"));
    r->gang = json_is_true(json_object_get(st, "gang"));
    r->saves = json_is_true(json_object_get(st, "checkpoints"));
    r->gang_size = (unsigned)number(st, "count");
    r->work_ms = number(st, "estimateMs");
    r->started = now_ms();
    if (given != NULL && given[0] != '\0') {
        struct saved_work *s = saved_works;

        while (s != NULL && strcmp(s->value, given) != 0) {
            s = s->next;
        }
        r->done_ms = s == NULL ? 0 : s->done_ms;
        (void)snprintf(r->saved, sizeof(r->saved), "%s", given);
    }
    return r;
}

static void
log_run(struct runner *w, struct run *r)
{
    struct run_log *l;

    if (run_log_count == run_log_cap) {
        run_log_cap = run_log_cap * 2 + 1024;
        run_log = realloc(run_log, (size_t)run_log_cap * sizeof(*run_log));
    }
    r->log = run_log_count;
    l = &run_log[run_log_count++];
    memset(l, 0, sizeof(*l));
    memcpy(l->task, r->task, sizeof(l->task));
    memcpy(l->job, r->job, sizeof(l->job));
    memcpy(l->given, r->saved, sizeof(l->given));
    l->step = r->step;
    l->index = r->index;
    l->run = r->run;
    l->at = w;
    l->started = now_ms();
}

static void
serve_start_order(struct runner *w, struct req *q, const json_t *o)
{
    const char *why = NULL;
    long long until = json_integer_value(json_object_get(o, "untilMs"));
    const char *task = json_string_value(json_object_get(o, "task"));
    unsigned run = (unsigned)number(o, "run");
    struct run *r;

    if (task != NULL && run_find(w, task, run) != NULL) {
        extend(w, until);
        answer_json(q, 200, with_clock(w, NULL), now_ms());
        return;
    }
    if (until <= clock_of(w)) {
        answer_json(q, 409, with_clock(w, "late"), now_ms());
        return;
    }
    if (task == NULL || is_barred(w, task, run)) {
        extend(w, until);
        answer_json(q, 409, with_clock(w, "old"), now_ms());
        return;
    }
    r = run_new(w, o, &why);
    if (r == NULL) {
        answer_json(q, 400, with_clock(w, why), now_ms());
        return;
    }
    extend(w, until);
    if (!has_room(w, r)) {
        free(r);
        answer_json(q, 409, with_clock(w, "room"), now_ms());
        return;
    }
    r->next = w->runs;
    w->runs = r;
    log_run(w, r);
    if (w->fails_all) {
        r->fail_at = now_ms() + w->fails_after;
    }
    if (!r->gang) {
        r->work_from = now_ms() + (r->done_ms > 0 ? RESTORE_MS : 0);
    }
    else {
        gang_begins(r);
    }
    answer_json(q, 200, with_clock(w, NULL), now_ms());
}

static void
serve_stop_order(struct runner *w, struct req *q, const json_t *o)
{
    const char *task = json_string_value(json_object_get(o, "task"));
    unsigned run = (unsigned)number(o, "run");
    struct run *r = task == NULL ? NULL : run_find(w, task, run);

    if (r == NULL) {
        if (task != NULL) {
            bar(w, task, run);
        }
        answer_json(q, 200, with_clock(w, NULL), now_ms());
        return;
    }
    if (r->stop_at == 0) {
        r->stop_at = now_ms() + w->stop_ms;
    }
    answer_json(q, 200, with_clock(w, NULL),
                w->stop_waits ? r->stop_at : now_ms());
}

static void
serve_hold(struct runner *w, struct req *q, const json_t *o)
{
    long long acked = json_integer_value(json_object_get(o, "ackedThrough"));
    long long until = json_integer_value(json_object_get(o, "untilMs"));
    ms_t wait = json_integer_value(json_object_get(o, "waitMs"));
    size_t n = 0;

    while (n < w->end_count && w->ends[n].n <= acked) {
        n++;
    }
    memmove(w->ends, w->ends + n, (w->end_count - n) * sizeof(w->ends[0]));
    w->end_count -= n;
    if (acked > w->acked) {
        w->acked = acked;
    }
    if (until > 0) {
        extend(w, until);
    }
    if (w->end_count > 0 || wait <= 0) {
        answer_hold(w, q, now_ms());
        return;
    }
    for (int i = 0; i < 8; i++) {
        if (w->hold_until[i] == 0) {
            w->holds[i] = *q;
            w->hold_until[i] = now_ms() + (wait > 2000 ? 2000 : wait);
            return;
        }
    }
    answer_hold(w, q, now_ms());
}

static void
serve_runner(void *ctx, struct req *q)
{
    struct runner *w = ctx;
    char target[64];
    json_t *o;
    long long fence;

    if (w->closes) {
        close_after(q);
    }
    if (strcmp(q->path, "/health") == 0) {
        answer_json(q, 200, json_object(), now_ms());
        return;
    }
    if (header(q, "X-Target-Instance", target, sizeof(target)) &&
        strcmp(target, w->id) != 0) {
        answer_json(q, 421, json_object(), now_ms());
        return;
    }
    o = json_loadb(q->body, q->body_len, 0, NULL);
    fence = json_integer_value(json_object_get(o, "fence"));
    if (fence < w->fence) {
        answer_json(q, 409, with_clock(w, "fence"), now_ms());
    }
    else {
        w->fence = fence;
        if (strcmp(q->path, "/v1/run-start") == 0) {
            serve_start_order(w, q, o);
        }
        else if (strcmp(q->path, "/v1/run-stop") == 0) {
            serve_stop_order(w, q, o);
        }
        else if (strcmp(q->path, "/v1/hold") == 0) {
            serve_hold(w, q, o);
        }
        else if (strcmp(q->path, "/v1/pace") == 0) {
            answer_json(q, 200, with_clock(w, NULL), now_ms());
        }
        else {
            answer_json(q, 404, json_object(), now_ms());
        }
    }
    json_decref(o);
}

/* ---- time passes ---- */

/* Ends at most one run; true when there may be more. */
static bool
step_runner(struct runner *w)
{
    for (struct run *r = w->runs; r != NULL; r = r->next) {
        struct run of = *r;
        const char *how = NULL;

        if (r->stop_at != 0 && now_ms() >= r->stop_at) {
            how = "stopped";
        }
        else if (clock_of(w) >= w->until) {
            how = "lapsed";
        }
        else if (r->fail_at != 0 && now_ms() >= r->fail_at) {
            how = "failed";
        }
        else if (r->gang && r->work_from == 0 &&
                 now_ms() >= r->started + GANG_WAIT_MS) {
            how = "alone";
        }
        else if (!r->lasts && r->work_from != 0 &&
                 work_done(r) >= r->work_ms) {
            how = "done";
        }
        if (how != NULL) {
            end_run(w, r, how);
            if (of.gang && of.work_from != 0) {
                gang_ends(of, strcmp(how, "done") == 0 ? "done" : "broken");
            }
            return true;
        }
        if (r->saves && r->work_from != 0 && now_ms() > r->work_from &&
            now_ms() - (r->saved_at > r->work_from ? r->saved_at
                                                   : r->work_from) >=
                SAVE_MS) {
            new_value(r, work_done(r));
        }
    }
    return false;
}

static void
tick_runners(void *arg)
{
    for (int i = 0; i < runner_count; i++) {
        struct runner *w = runners[i];

        if (!w->up) {
            continue;
        }
        while (step_runner(w)) {
        }
        answer_holds(w, false);
        if (now_ms() - w->beat_at >= HEARTBEAT_MS) {
            beat(w);
        }
    }
    later(now_ms() + 5, tick_runners, arg);
}

/* age: how long it has run; machine NULL: a new one. */
static struct runner *
add_runner(const char *service, const char *kind, const char *rack, long cpu,
           long mem, const char *machine, ms_t age)
{
    struct runner *w = calloc(1, sizeof(*w));
    static int n;

    if (runner_count == RUNNERS_MAX) {
        rig_exit(2, "too many runners");
    }
    (void)snprintf(w->id, sizeof(w->id), "i-%08x", 0x7f3a0000 + ++n);
    (void)snprintf(w->machine, sizeof(w->machine), "m-%05x", 0x0a300 + n);
    if (machine != NULL) {
        (void)snprintf(w->machine, sizeof(w->machine), "%s", machine);
    }
    (void)snprintf(w->service, sizeof(w->service), "%s", service);
    (void)snprintf(w->kind, sizeof(w->kind), "%s", kind);
    (void)snprintf(w->rack, sizeof(w->rack), "%s", rack);
    w->cpu = cpu;
    w->mem = mem;
    w->clock_base = now_ms() - age;
    w->born = wall_ms() - age;
    w->stop_ms = 20;
    w->fails_after = 60;
    w->up = true;
    w->port = serve(serve_runner, w);
    if (runner_count == 0) {
        later(now_ms(), tick_runners, NULL);
    }
    runners[runner_count++] = w;
    beat(w);
    return w;
}

struct runner *
runner_add(const char *service, const char *kind, const char *rack, long cpu,
           long mem)
{
    /* It has run for a minute. */
    return add_runner(service, kind, rack, cpu, mem, NULL,
                      60000 - runner_count);
}

struct runner *
runner_join(const char *service, const char *kind, const char *rack, long cpu,
            long mem, const char *machine)
{
    struct runner *w =
        add_runner(service, kind, rack, cpu, mem, machine, 0);

    rec("runner %s: joins %s, on the machine %s", w->id, service, w->machine);
    return w;
}

static void
drop_entry(void *arg)
{
    struct runner *w = arg;

    store_put("keyed.servers", w->id, "");
}

void
runner_crash(struct runner *w)
{
    w->up = false;
    while (w->runs != NULL) {
        struct run *r = w->runs;

        w->runs = r->next;
        run_log[r->log].ended = now_ms();
        run_log[r->log].how = "crashed";
        free(r);
    }
    serve_stop(w->port);
    later(w->beat_at + 3 * HEARTBEAT_MS, drop_entry, w);
    rec("runner %s: crashes, for good", w->id);
}
