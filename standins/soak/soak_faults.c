/* Faults at random times, in series and overlapping. */
#include "trouble.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Before the kill of the scheduler by QUIET, and by the end of each run. */
#define QUIET_MS 8000
#define LAST_QUIET_MS 6000
/* Clients go on for this time after the last kill. */
#define LAST_TAKEOVER_MS 3000

static pthread_mutex_t fault_lock = PTHREAD_MUTEX_INITIALIZER;
static bool daemon_busy[SOAK_DAEMONS];
static bool worker_busy[SOAK_RUNNERS];
static bool calls_busy[SOAK_RUNNERS]; /* of trouble with calls, with overlap */
static bool overlap;
static int running;

/* ---- claims: one fault of a process at a time ---- */

static bool
claim(bool *flag)
{
    bool got;

    pthread_mutex_lock(&fault_lock);
    got = !*flag;
    *flag = true;
    pthread_mutex_unlock(&fault_lock);
    return got;
}

static void
release(bool *flag)
{
    pthread_mutex_lock(&fault_lock);
    *flag = false;
    pthread_mutex_unlock(&fault_lock);
}

bool
worker_claim(int i)
{
    return claim(&worker_busy[i]);
}

void
worker_release(int i)
{
    release(&worker_busy[i]);
}

bool
daemon_claim(int i)
{
    return claim(&daemon_busy[i]);
}

void
daemon_release(int i)
{
    release(&daemon_busy[i]);
}

/* ---- the kinds ---- */

struct fault_job {
    struct rng r;
    int kind;
};

static int
scheduler(struct rng *r)
{
    int i = daemon_index(store_owner());

    return i >= 0 ? i : (int)rng_range(r, 0, soak_daemons - 1);
}

int
fault_scheduler(struct rng *r)
{
    return scheduler(r);
}

static void
kill_daemon(int i)
{
    int id = fault_begin(i, "kill and start of front-%d", i + 1);

    daemon_kill(soak_d[i]);
    sleep_ms(START_DELAY_MS);
    daemon_start_again(i);
    fault_end(id);
}

static void
do_kill(struct rng *r, int times, int i)
{
    if (!claim(&daemon_busy[i])) {
        return;
    }
    for (int k = 0; k < times; k++) {
        kill_daemon(i);
        if (k + 1 < times) {
            sleep_ms(rng_range(r, 200, 800));
        }
    }
    release(&daemon_busy[i]);
}

void
fault_kill_scheduler(struct rng *r)
{
    do_kill(r, 1, scheduler(r));
}

/* All processes end at once, and start again. */
static void
do_kill_all(void)
{
    bool mine[SOAK_DAEMONS] = {false};
    int id = fault_begin(-1, "kill and start of all");

    for (int i = 0; i < soak_daemons; i++) {
        mine[i] = claim(&daemon_busy[i]);
        if (mine[i]) {
            daemon_kill(soak_d[i]);
        }
    }
    sleep_ms(START_DELAY_MS);
    for (int i = 0; i < soak_daemons; i++) {
        if (mine[i]) {
            daemon_start_again(i);
            release(&daemon_busy[i]);
        }
    }
    fault_end(id);
}

/* A member of the group other than the scheduler is away for seconds. */
static void
do_lose(struct rng *r)
{
    int i = (int)rng_range(r, 0, soak_daemons - 1);
    int id;

    if (i == scheduler(r) || !claim(&daemon_busy[i])) {
        return;
    }
    id = fault_begin(i, "loss of front-%d", i + 1);
    daemon_kill(soak_d[i]);
    sleep_ms(rng_range(r, 3000, 12000));
    daemon_start_again(i);
    fault_end(id);
    release(&daemon_busy[i]);
}

static void
do_stop(struct rng *r, long long least, long long most)
{
    int i = scheduler(r);
    int id;

    if (!claim(&daemon_busy[i])) {
        return;
    }
    id = fault_begin(i, "freeze of front-%d", i + 1);
    daemon_signal(soak_d[i], SIGSTOP);
    sleep_ms(rng_range(r, least, most));
    daemon_signal(soak_d[i], SIGCONT);
    fault_end(id);
    release(&daemon_busy[i]);
}

static void
do_term(struct rng *r)
{
    int i = scheduler(r);
    int id;

    if (!claim(&daemon_busy[i])) {
        return;
    }
    id = fault_begin(i, "SIGTERM and start of front-%d", i + 1);
    daemon_roll(i);
    fault_end(id);
    release(&daemon_busy[i]);
}

static void
do_link(struct rng *r, enum link_mode m)
{
    int i = scheduler(r);
    int id = fault_begin(i, "store %s for front-%d",
                         m == LINK_SILENT ? "silent" : "busy", i + 1);

    daemon_link(soak_d[i], m);
    sleep_ms(rng_range(r, 400, 6000));
    daemon_link(soak_d[i], LINK_OK);
    fault_end(id);
}

static void
do_crash(struct rng *r, int i)
{
    int id = fault_begin(-1, "crash and start of %s", worker_id(soak_w[i]));

    worker_crash(soak_w[i]);
    sleep_ms(rng_range(r, 300, 1000));
    worker_restart(soak_w[i]);
    fault_end(id);
}

static void
do_cut(struct rng *r, int i)
{
    int id = fault_begin(-1, "cut with resets of %s", worker_id(soak_w[i]));

    worker_cut(soak_w[i], true);
    sleep_ms(rng_range(r, 300, 6000));
    worker_cut(soak_w[i], false);
    fault_end(id);
}

static void
do_cut_from(struct rng *r, int i)
{
    long long f = worker_fence(soak_w[i]);
    int id = fault_begin(-1, "%s cut from fence %lld on", worker_id(soak_w[i]),
                         f + 1);

    worker_cut_from(soak_w[i], f + 1);
    sleep_ms(rng_range(r, 2000, 8000));
    worker_cut_from(soak_w[i], 0);
    fault_end(id);
}

static void
do_starts(struct rng *r, int i, int lost, int late, int slow)
{
    int id = fault_begin(-1, "starts at %s: lost %d, late %d, slow %d %%",
                         worker_id(soak_w[i]), lost, late, slow);

    worker_start_faults(i, lost, late, slow);
    sleep_ms(rng_range(r, 1000, 4000));
    worker_start_faults(i, 0, 0, 0);
    fault_end(id);
}

static void
do_appends(struct rng *r, int lost, int late)
{
    int i = scheduler(r);
    int id = fault_begin(-1, "appends of front-%d: lost %d, late %d %%", i + 1,
                         lost, late);

    daemon_append_faults(i, lost, late);
    sleep_ms(rng_range(r, 1000, 4000));
    daemon_append_faults(i, 0, 0);
    fault_end(id);
}

static void
do_entry(struct rng *r, int i)
{
    int id = fault_begin(-1, "entry of %s dropped", worker_id(soak_w[i]));

    (void)r;
    worker_entry_removed(i);
    sleep_ms(2000);
    fault_end(id);
}

static void
do_deal(void)
{
    int id = fault_begin(-1, "partitions assigned anew");

    store_deal_again();
    fault_end(id);
}

enum kind {
    KILL,
    KILL2,
    KILLANY,
    STOP,
    STOPSHORT,
    TERM,
    SILENT,
    BUSY,
    CRASH,
    CUT,
    CUTFROM,
    STARTLOST,
    STARTLATE,
    STARTSLOW,
    APPENDLOST,
    APPENDLATE,
    DEAL,
    ENTRY,
    LOSE,
    KILLALL,
    SITE_FIRST,
    QUIET = SITE_FIRST + SITE_QUIET,
    KINDS = SITE_FIRST + SITE_KINDS,
    ALL_KINDS = KINDS + TROUBLES,
    WITHDRAW = ALL_KINDS, /* once in each run, halfway */
    WORK_FIRST,
    WORK_LAST = WORK_FIRST + WORK_KINDS - 1
};

static const char *const kind_names[SITE_FIRST] = {
    "kill",       "kill2",     "killany",   "stop",      "stopshort",
    "term",       "silent",    "busy",      "crash",     "cut",
    "cutfrom",    "startlost", "startlate", "startslow", "appendlost",
    "appendlate", "deal",      "entry",     "lose",      "killall"};

/* Withdraws a key while a daemon that does not schedule is cut off from the
 * store, and goes on asking that daemon with it. */
static void
do_withdraw(struct rng *r)
{
    int i = (scheduler(r) + 1) % soak_daemons;
    bool cut = soak_daemons > 1 && claim(&daemon_busy[i]);
    long long until;
    int id = -1;

    if (cut) {
        id = fault_begin(i, "front-%d cut off, key withdrawn", i + 1);
        daemon_link(soak_d[i], LINK_SILENT);
        /* Ends its open read, which would answer with the withdrawal. */
        tenants_put(false);
        sleep_ms(300);
    }
    tenants_put(true);
    until = now_ms() + REVOKE_MS + 4000;
    while (now_ms() < until) {
        client_ask_withdrawn(r, soak_d[i]);
        sleep_ms(100);
    }
    if (cut) {
        daemon_link(soak_d[i], LINK_OK);
        fault_end(id);
        release(&daemon_busy[i]);
    }
}

static void
run_daemon_fault(struct rng *r, int kind)
{
    switch (kind) {
    case KILL:
        do_kill(r, 1, scheduler(r));
        break;
    case KILL2:
        do_kill(r, (int)rng_range(r, 2, 3), scheduler(r));
        break;
    case KILLANY:
        do_kill(r, 1, (int)rng_range(r, 0, soak_daemons - 1));
        break;
    case STOP:
        do_stop(r, 1200, 6000);
        break;
    case STOPSHORT:
        do_stop(r, 500, 1400);
        break;
    case TERM:
        do_term(r);
        break;
    case SILENT:
        do_link(r, LINK_SILENT);
        break;
    case BUSY:
        do_link(r, LINK_BUSY);
        break;
    case APPENDLOST:
        do_appends(r, 40, 0);
        break;
    case APPENDLATE:
        do_appends(r, 0, 40);
        break;
    case LOSE:
        do_lose(r);
        break;
    case KILLALL:
        do_kill_all();
        break;
    case DEAL:
        do_deal();
        break;
    case WITHDRAW:
        do_withdraw(r);
        break;
    default:
        site_fault(r, kind - SITE_FIRST);
        break;
    }
}

static void
run_worker_fault(struct rng *r, int kind, int i)
{
    switch (kind) {
    case CRASH:
        do_crash(r, i);
        break;
    case CUT:
        do_cut(r, i);
        break;
    case CUTFROM:
        do_cut_from(r, i);
        break;
    case STARTLOST:
        do_starts(r, i, 50, 0, 0);
        break;
    case STARTLATE:
        do_starts(r, i, 0, 50, 0);
        break;
    case STARTSLOW:
        do_starts(r, i, 0, 0, 60);
        break;
    case ENTRY:
        do_entry(r, i);
        break;
    default:
        run_daemon_fault(r, kind);
        break;
    }
}

/* Trouble of soak_trouble.c. With overlap, one of a runner's life and one of
 * its calls may be there at a time. */
static void
run_trouble(struct rng *r, int kind, int i)
{
    enum trouble_place at = trouble_at(kind);
    bool *flag = at == AT_CALLS && overlap ? &calls_busy[i] : &worker_busy[i];

    if (at == AT_NONE) {
        trouble_run(r, kind, i);
    }
    else if (claim(flag)) {
        trouble_run(r, kind, i);
        release(flag);
    }
}

static void
run_work(struct rng *r, int kind, int i)
{
    if (!work_at_worker(kind)) {
        work_run(r, kind, i);
    }
    else if (claim(&worker_busy[i])) {
        work_run(r, kind, i);
        release(&worker_busy[i]);
    }
}

static bool
is_at_worker(int kind)
{
    return (kind >= CRASH && kind <= STARTSLOW) || kind == ENTRY;
}

static void *
run_fault(void *arg)
{
    struct fault_job *f = arg;
    int i = (int)rng_range(&f->r, 0, soak_runners - 1);

    if (f->kind >= WORK_FIRST) {
        run_work(&f->r, f->kind - WORK_FIRST, i);
    }
    else if (f->kind >= KINDS && f->kind < ALL_KINDS) {
        run_trouble(&f->r, f->kind - KINDS, i);
    }
    else if (!is_at_worker(f->kind)) {
        run_daemon_fault(&f->r, f->kind);
    }
    else if (claim(&worker_busy[i])) {
        run_worker_fault(&f->r, f->kind, i);
        release(&worker_busy[i]);
    }
    pthread_mutex_lock(&fault_lock);
    running--;
    pthread_mutex_unlock(&fault_lock);
    free(f);
    /* A daemon that this thread has started ends with the thread. */
    for (;;) {
        sleep_ms(1000);
    }
    return NULL;
}

static bool
list_has(const char *names, const char *name)
{
    const char *p = names;
    size_t n = strlen(name);

    for (; (p = strstr(p, name)) != NULL; p += n) {
        if ((p == names || p[-1] == ',') && (p[n] == '\0' || p[n] == ',')) {
            return true;
        }
    }
    return false;
}

static const char *
kind_name(int kind)
{
    if (kind >= WORK_FIRST) {
        return work_names[kind - WORK_FIRST];
    }
    if (kind == WITHDRAW) {
        return ""; /* not chosen by name */
    }
    if (kind >= KINDS) {
        return trouble_names[kind - KINDS];
    }
    return kind < SITE_FIRST ? kind_names[kind]
                             : site_kind_name(kind - SITE_FIRST);
}

/* Bits of the kinds that a list of names selects. */
static uint64_t
parse_kinds(const char *names)
{
    uint64_t out = 0;

    for (int i = 0; i <= WORK_LAST; i++) {
        if (i != WITHDRAW && list_has(names, kind_name(i))) {
            out |= (uint64_t)1 << i;
        }
    }
    return out;
}

static void
wait_faults(void)
{
    int n;

    do {
        sleep_ms(50);
        pthread_mutex_lock(&fault_lock);
        n = running;
        pthread_mutex_unlock(&fault_lock);
    } while (n > 0);
}

static void
begin_fault(struct rng *r, int kind)
{
    struct fault_job *f = calloc(1, sizeof(*f));
    pthread_t t;

    f->kind = kind;
    f->r.s = rng_next(r);
    pthread_mutex_lock(&fault_lock);
    running++;
    pthread_mutex_unlock(&fault_lock);
    pthread_create(&t, NULL, run_fault, f);
    pthread_detach(t);
}

void
faults_run(uint64_t seed, const char *kinds, long long until)
{
    struct rng r = {seed};
    uint64_t set = parse_kinds(kinds);
    /* Runs without the later kinds draw the same faults as before. */
    int last = (set >> SITE_FIRST == 0    ? SITE_FIRST
                : set >> WORK_FIRST != 0  ? WORK_LAST + 1
                : list_has(kinds, "dark") ? ALL_KINDS
                                          : KINDS + TROUBLE_DARK) -
               1;
    bool withdrawn = false;

    overlap = list_has(kinds, "overlap");
    if (site_is_large() &&
        (list_has(kinds, "reuse") || list_has(kinds, "reuseback"))) {
        /* A VM that moves may come back at the address that was taken. */
        rig_exit(2, "reuse and reuseback are for the small size");
    }
    while (now_ms() < until) {
        int kind;

        sleep_ms(rng_range(&r, 300, 2200));
        worker_check_arrays();
        if (running == 0) {
            (void)daemon_reap();
        }
        if (set == 0) {
            continue;
        }
        if (!withdrawn && now_ms() > until / 2) {
            withdrawn = true;
            begin_fault(&r, WITHDRAW);
        }
        do {
            kind = (int)rng_range(&r, 0, last);
        } while ((set >> kind & 1) == 0);
        if (kind == QUIET) {
            wait_faults();
            sleep_ms(QUIET_MS);
            kind = KILL;
        }
        /* As often at each runner of a site as of the small size. */
        for (int i = site_is_large() && is_at_worker(kind) ? 4 : 1; i > 0;
             i--) {
            begin_fault(&r, kind);
        }
    }
    dark_end_series();
    wait_faults();
}

static void
last_takeover(void)
{
    struct rng r = {1};

    sleep_ms(LAST_QUIET_MS);
    do_kill(&r, 1, scheduler(&r));
    sleep_ms(LAST_TAKEOVER_MS);
}

void
faults_last(uint64_t seed, const char *kinds)
{
    struct rng r = {seed + 1};
    bool dark = list_has(kinds, "dark");

    if (dark && seed % 2 == 0) {
        dark_last_series(&r);
    }
    last_takeover();
    if (dark && seed % 2 != 0) {
        dark_last_series(&r);
    }
    if (list_has(kinds, "failall")) {
        work_last_failures(&r);
    }
    if (list_has(kinds, "closelost")) {
        work_last_loss(&r);
    }
}
