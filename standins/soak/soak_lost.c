/* The rule LOST by time, from what runners, clients and faults have seen. */
#include "soak.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOOK_MS 100
/* A task that lasts runs again within this time of the end of its last run;
 * for IDLE_MS more it may wait. */
#define AGAIN_MS 6000
#define ANSWER_MS 3000
#define TASK_RUNS_MAX 512
/* No look for so long: the machine did not run the stand-ins, and so nothing
 * that they judge by time. */
#define STALL_MS 1000
#define ENDS_MAX 4 /* calm ends that are tried */

/* stableWindowMs of the site and of small sites. */
static long long
stable_ms(void)
{
    return site_is_large() ? 4000 : 3000;
}

/* ---- looks at the runners ---- */

struct look {
    long long at;
    int cpu[SITE_SERVICES];  /* of the sound runners */
    int used[SITE_SERVICES]; /* of that */
    struct {
        int service; /* -1: not sound */
        int left;    /* of its processor */
    } w[SOAK_RUNNERS];
};

static struct look *looks;
static int look_count;
static int look_room;
static volatile bool watching;
static volatile long long stalled_at; /* end of the last stall */
static pthread_t watcher;
static int *small_used; /* by the small tenant at each look */

static void
add_look(void)
{
    static struct worker_look rows[SOAK_RUNNERS];
    struct look *l;

    if (look_count == look_room) {
        look_room = look_room == 0 ? 1024 : 2 * look_room;
        looks = realloc(looks, (size_t)look_room * sizeof(*looks));
        if (looks == NULL) {
            rig_exit(2, "no memory for the looks at the runners");
        }
    }
    l = &looks[look_count];
    memset(l, 0, sizeof(*l));
    workers_look(rows);
    l->at = now_ms();
    for (int i = 0; i < soak_runners; i++) {
        int s = rows[i].service;

        l->w[i].service = s;
        l->w[i].left = rows[i].cpu - rows[i].used;
        if (s >= 0) {
            l->cpu[s] += rows[i].cpu;
            l->used[s] += rows[i].used;
        }
    }
    look_count++;
}

/* A stall is a fault, which daemons and runners have at the same time. */
static void
note_stall(long long before, long long now)
{
    if (now - before > STALL_MS) {
        fault_end(fault_begin_at(before, "the machine ran nothing for %lld ms",
                                 now - before));
        stalled_at = now;
    }
}

static void *
watch(void *arg)
{
    while (watching) {
        long long before =
            look_count == 0 ? now_ms() : looks[look_count - 1].at;

        add_look();
        note_stall(before, looks[look_count - 1].at);
        sleep_ms(LOOK_MS);
    }
    return arg;
}

void
lost_watch(void)
{
    watching = true;
    pthread_create(&watcher, NULL, watch, NULL);
}

/* How many more tasks of a job fit in its service. */
static int
places(const struct look *l, const struct job_row *j)
{
    int n = 0;

    for (int i = 0; i < soak_runners; i++) {
        if (l->w[i].service == j->service && l->w[i].left > 0) {
            n += l->w[i].left / j->cpu;
        }
    }
    return n;
}

/* There is capacity for a task (for a gang: all of it) twice over, under half
 * of the service's capacity is in use, and the tenant has quota for it. */
static bool
has_room(int k, const struct job_row *j)
{
    const struct look *l = &looks[k];
    int need = 2 * (j->gang ? j->count : 1);

    return 2 * l->used[j->service] < l->cpu[j->service] &&
           places(l, j) >= need &&
           (j->tenant != TENANT_SMALL ||
            small_used[k] + need * j->cpu <= SMALL_CPU);
}

static void
describe_room(const char *what, int k, const struct job_row *j)
{
    rec("    %s at %.3f s: capacity for %d, %d of %d in use%s", what,
        (double)looks[k].at / 1000, places(&looks[k], j),
        looks[k].used[j->service], looks[k].cpu[j->service],
        j->tenant == TENANT_SMALL ? ", the small tenant" : "");
}

static void
add_small_use(const struct exec_row *runs, int count)
{
    small_used = calloc((size_t)look_count + 1, sizeof(*small_used));
    if (small_used == NULL) {
        rig_exit(2, "no memory for the use of the small tenant");
    }
    for (int i = 0; i < count; i++) {
        int j = job_find(runs[i].task);

        if (j < 0 || job_get(j).tenant != TENANT_SMALL) {
            continue;
        }
        for (int k = 0; k < look_count; k++) {
            if (looks[k].at >= runs[i].began &&
                (runs[i].ended == 0 || looks[k].at < runs[i].ended)) {
                small_used[k] += job_get(j).cpu;
            }
        }
    }
}

/* ---- tasks that last, at any time ---- */

struct task_runs {
    char task[64];
    const struct exec_row *of[TASK_RUNS_MAX];
    int count;
};

static void
find_runs(struct task_runs *t, const struct exec_row *runs, int count)
{
    t->count = 0;
    for (int i = 0; i < count && t->count < TASK_RUNS_MAX; i++) {
        if (strcmp(runs[i].task, t->task) == 0) {
            t->of[t->count++] = &runs[i];
        }
    }
}

/* From when on the task has to run; later than the time at if it runs, or did
 * since the time before. */
static long long
due_from(const struct task_runs *t, const struct job_row *j, long long before,
         long long at)
{
    long long due = j->accepted;

    for (int i = 0; i < t->count; i++) {
        const struct exec_row *x = t->of[i];

        if (x->began > at) {
            continue;
        }
        if (x->ended == 0 || x->ended > before) {
            return at + 1;
        }
        if (x->ended + AGAIN_MS > due) {
            due = x->ended + AGAIN_MS;
        }
    }
    return due;
}

static void
report_lasting(const struct task_runs *t, const struct job_row *j, int first,
               int k)
{
    const struct exec_row *x = NULL;

    for (int i = 0; i < t->count; i++) {
        if (t->of[i]->began <= looks[k].at) {
            x = t->of[i];
        }
    }
    rec("VIOLATION LOST: %s lasts and does not run from %.3f s to %.3f s",
        t->task, (double)looks[first].at / 1000, (double)looks[k].at / 1000);
    if (x == NULL) {
        rec("    no run; its job was accepted at %.3f s",
            (double)j->accepted / 1000);
    }
    else {
        rec("    last run: %d on %s, %.3f s to %.3f s %s", x->run,
            worker_id(x->worker), (double)x->began / 1000,
            (double)x->ended / 1000, x->how);
    }
    describe_room("first", first, j);
    describe_room("last", k, j);
    fault_list((x == NULL ? j->accepted : x->ended) - 8000, looks[k].at);
}

/* True when it is lost once; a task is listed once. */
static bool
check_lasting_task(const struct task_runs *t, const struct job_row *j)
{
    int first = -1;

    for (int k = 1; k < look_count; k++) {
        long long at = looks[k].at;
        long long due = due_from(t, j, looks[k - 1].at, at);

        if (j->cancel_sent != 0 && at >= j->cancel_sent) {
            return false;
        }
        if (at < due || !has_room(k, j)) {
            first = -1;
            continue;
        }
        if (first < 0) {
            first = k;
        }
        if (at - looks[first].at >= IDLE_MS &&
            fault_calm(at - IDLE_MS - stable_ms(), at)) {
            report_lasting(t, j, first, k);
            return true;
        }
    }
    return false;
}

static int
check_lasting(const struct exec_row *runs, int count, int *tasks)
{
    static struct task_runs t;
    int n = 0;

    for (int i = 0; i < job_count(); i++) {
        struct job_row j = job_get(i);

        if (!j.lasting || j.accepted == 0) {
            continue;
        }
        for (int k = 0; k < j.count; k++) {
            snprintf(t.task, sizeof(t.task), "%s.0.0.%d", j.id, k);
            find_runs(&t, runs, count);
            n += check_lasting_task(&t, &j) ? 1 : 0;
            (*tasks)++;
        }
    }
    return n;
}

/* ---- all jobs, at the end ---- */

struct ending {
    int job;
    int status;
    char state[16];
};

static struct ending *endings; /* jobs that are not shown as succeeded */
static int ending_count;
static int ending_room;
static long long asked_at;

/* Status and state of a job, "" for none. */
static int
ask_job(const struct job_row *j, struct daemon *d, char *state, size_t size)
{
    char path[64];
    char body[256];
    int status;

    snprintf(path, sizeof(path), "%s%s", site_prefix(j->service), j->id);
    client_key = tenant_key(j->tenant);
    status = call(d, "GET", path, "", ANSWER_MS, body, sizeof(body));
    state[0] = '\0';
    if (strstr(body, "\"state\":\"") != NULL) {
        snprintf(state, size, "%s", strstr(body, "\"state\":\"") + 9);
        state[strcspn(state, "\"")] = '\0';
    }
    return status;
}

static void
keep_ending(int job, int status, const char *state)
{
    struct ending *e;

    if (ending_count == ending_room) {
        ending_room = ending_room == 0 ? 256 : 2 * ending_room;
        endings = realloc(endings, (size_t)ending_room * sizeof(*endings));
        if (endings == NULL) {
            rig_exit(2, "no memory for jobs that have not ended");
        }
    }
    e = &endings[ending_count++];
    e->job = job;
    e->status = status;
    snprintf(e->state, sizeof(e->state), "%s", state);
}

/* True when the answer breaks the rule. */
static bool
is_wrong(const struct job_row *j, int status, const char *state)
{
    return status != 200 || strcmp(state, "cancelled") == 0 ||
           (strcmp(state, "failed") == 0 &&
            !job_may_have_failed(j->id, j->gang));
}

/* Number of wrong answers. */
static int
ask_all(void)
{
    int n = 0;

    for (int i = 0; i < job_count(); i++) {
        struct job_row j = job_get(i);
        struct daemon *d = soak_d[i % soak_daemons];
        char state[16];
        int status;

        if (j.accepted == 0 || j.cancel_sent != 0) {
            continue;
        }
        status = ask_job(&j, d, state, sizeof(state));
        if (is_wrong(&j, status, state)) {
            n++;
            rec("LOST: job %s, accepted at %.3f s, is %d %s at the end, by "
                "%s",
                j.id, (double)j.accepted / 1000, status, state,
                daemon_name(d));
        }
        if (!j.lasting && strcmp(state, "succeeded") != 0 &&
            (strcmp(state, "failed") != 0 ||
             !job_may_have_failed(j.id, j.gang))) {
            keep_ending(i, status, state);
        }
    }
    rec("end: asked for all jobs in %lld ms, %d wrong answers",
        now_ms() - asked_at, n);
    return n;
}

int
lost_ask(long long stopped)
{
    int n = 0;

    for (int i = 0; i == 0 || stalled_at > stopped; i++) {
        if (i == ENDS_MAX) {
            rig_exit(2, "the machine ran nothing for a time in %d calm ends",
                     ENDS_MAX);
        }
        stopped = stalled_at > stopped ? stalled_at : stopped;
        sleep_until(stopped + FINISH_MS);
        asked_at = now_ms();
        ending_count = 0;
        n = ask_all();
        sleep_until(asked_at + IDLE_MS + 2 * LOOK_MS);
    }
    watching = false;
    pthread_join(watcher, NULL);
    if (n > 0) {
        rec("VIOLATION LOST: %d jobs, listed above, at the end", n);
    }
    return n;
}

int
lost_unfinished(void)
{
    return ending_count;
}

/* Why a job has not succeeded. */
enum why { WHY_RUNS, WHY_ENDED, WHY_NO_ROOM, WHY_LOST, WHYS };

static const char *const why_names[WHYS] = {"at work", "all tasks ended done",
                                            "no capacity", "lost"};

/* Tasks of the job that ended done for good. */
static int
count_done(const struct job_row *j, const struct exec_row *runs, int count)
{
    char seen[2][64] = {{0}};
    int n = 0;

    for (int i = 0; i < count; i++) {
        int step = 0;
        int task = 0;

        if (strncmp(runs[i].task, j->id, 16) != 0 || runs[i].ended == 0 ||
            strcmp(runs[i].how, "done") != 0 ||
            (runs[i].acked == 0 && runs[i].lapsed)) {
            continue;
        }
        if (sscanf(runs[i].task + 16, ".%*d.%d.%d", &step, &task) == 2 &&
            step >= 0 && step < 2 && task >= 0 && task < 64) {
            n += seen[step][task] == 0;
            seen[step][task] = 1;
        }
    }
    return n;
}

/* Had a run in the IDLE_MS after all jobs were asked for. */
static bool
had_run(const struct job_row *j, const struct exec_row *runs, int count)
{
    for (int i = 0; i < count; i++) {
        if (strncmp(runs[i].task, j->id, 16) == 0 &&
            runs[i].began <= asked_at + IDLE_MS &&
            (runs[i].ended == 0 || runs[i].ended > asked_at)) {
            return true;
        }
    }
    return false;
}

static enum why
why_unfinished(const struct job_row *j, const struct exec_row *runs, int count,
               int *look)
{
    if (had_run(j, runs, count)) {
        return WHY_RUNS;
    }
    if (count_done(j, runs, count) == j->count * j->steps) {
        return WHY_ENDED;
    }
    for (int k = 0; k < look_count; k++) {
        *look = k;
        if (looks[k].at >= asked_at && looks[k].at <= asked_at + IDLE_MS &&
            !has_room(k, j)) {
            return WHY_NO_ROOM;
        }
    }
    return WHY_LOST;
}

static int
check_ends(const struct exec_row *runs, int count)
{
    int of[WHYS] = {0};

    for (int i = 0; i < ending_count; i++) {
        const struct ending *e = &endings[i];
        struct job_row j = job_get(e->job);
        int look = 0;
        enum why why = why_unfinished(&j, runs, count, &look);

        of[why]++;
        rec("%s: job %s, accepted at %.3f s, %d x %d tasks of %d%s, is %d %s: "
            "%s, %d tasks done",
            why == WHY_LOST ? "VIOLATION LOST" : "END", j.id,
            (double)j.accepted / 1000, j.steps, j.count, j.cpu,
            j.gang ? " (gang)" : "", e->status, e->state, why_names[why],
            count_done(&j, runs, count));
        if (why == WHY_NO_ROOM || why == WHY_LOST) {
            describe_room("room", look, &j);
        }
    }
    rec("checks: not finished: at_work=%d ended=%d no_capacity=%d lost=%d",
        of[WHY_RUNS], of[WHY_ENDED], of[WHY_NO_ROOM], of[WHY_LOST]);
    return of[WHY_LOST];
}

/* ---- runners that get no tasks ---- */

/* Before all jobs are asked for. Until then no fault has been there for so
 * long, and no client. */
#define SPARED_MS 6000
#define FULL_PERCENT 85
#define SPARED_PERCENT 45

/* Percent of a runner's processor in use, in the mean over the SPARED_MS; -1:
 * it was not sound all the while. */
static int
mean_use(int i)
{
    long long used = 0;
    long long all = 0;

    for (int k = 0; k < look_count; k++) {
        const struct look *l = &looks[k];

        if (l->at < asked_at - SPARED_MS || l->at > asked_at) {
            continue;
        }
        if (l->w[i].service < 0) {
            return -1;
        }
        used += site_cores() - l->w[i].left;
        all += site_cores();
    }
    return all == 0 ? -1 : (int)(used * 100 / all);
}

/* A sound runner that is spared while all others are full. Where one is
 * neither, there is too little work: batch tasks go to runners that have some.
 * Only at the small size: at a site VMs are kept free for waves and moves. */
static int
check_spared(void)
{
    int use[SOAK_RUNNERS] = {0};
    int spared = 0;
    int full = 0;
    int sound = 0;

    for (int i = 0; i < soak_runners; i++) {
        use[i] = mean_use(i);
        sound += use[i] >= 0;
        full += use[i] >= FULL_PERCENT;
        spared += use[i] >= 0 && use[i] <= SPARED_PERCENT;
    }
    rec("checks: runners sound=%d full=%d spared=%d", sound, full, spared);
    if (site_is_large() || full == 0 || full + spared < sound) {
        return 0;
    }
    for (int i = 0; i < soak_runners; i++) {
        if (use[i] >= 0 && use[i] <= SPARED_PERCENT) {
            rec("VIOLATION SPARED: %s has %d %% of its processor in use for "
                "%d ms, while %d of %d runners are full",
                worker_id(soak_w[i]), use[i], SPARED_MS, full, sound);
        }
    }
    return spared;
}

int
lost_check(const struct exec_row *runs, int count)
{
    int spared = check_spared();
    int tasks = 0;
    int lasting;
    int ends;

    add_small_use(runs, count);
    lasting = check_lasting(runs, count, &tasks);
    ends = check_ends(runs, count);
    rec("checks: lasting_tasks=%d lost=%d, jobs lost at the end=%d", tasks,
        lasting, ends);
    return lasting + ends + spared;
}
