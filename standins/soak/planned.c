/* Planned work under clients that keep connections open: daemons get SIGTERM,
 * SIGHUP and new configurations in series and overlapping, at the scheduler
 * and at others, with takeovers and dark runners beside them. Counts answers
 * and connections that end without one, and checks every state that is shown.
 *
 *     target/soak/planned FOLDER SEED SECONDS
 *
 * Exit 1: an accepted job was answered 410 or 404, shown as failed, or as
 * cancelled without a cancel, not known or unfinished at the end; or a
 * connection ended without a complete answer later than SLACK_MS after the
 * last byte of its request. PAIRS=1: the scheduler and most others are stopped
 * together, again and again, and nothing else. GRACE_S in the environment
 * shortens the grace period of the daemons' settings, and with it the time to
 * their SIGKILL. */
#include "rig_int.h"

#include <arpa/inet.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define FRONTS 6
#define RUNNERS 8
#define CLIENTS 64
#define JOBS_MAX 20000
#define SLACK_MS 200
#define TIMEOUT_MS 3000
#define CALM_MS 14000 /* finish_s: time until jobs are asked for */
#define END_TRIES 10  /* in 3 s */
#define NEW_PREFIX "/added/"

enum { KILL, TERM, HUP, CONFIG, DARK, TERM_ALL, HUP_IN_STOP, ACTIONS };

static const char *const action_names[] = {
    "kill", "term", "hup", "config", "dark", "term_all", "hup_in_stop"};

/* ---- random numbers ---- */

static unsigned long long seed;

struct rng {
    unsigned long long x;
};

static unsigned
rnd(struct rng *r, unsigned n)
{
    r->x = r->x * 6364136223846793005ULL + 1442695040888963407ULL;
    return (unsigned)(r->x >> 33) % n;
}

/* ---- state ---- */

struct front {
    struct daemon *d;
    volatile bool up;
    volatile long long unplanned; /* last kill without a stop before */
    volatile long long term;      /* last SIGTERM */
    long long due;                /* start, or end of the grace period; 0 */
    bool stopping;
};

struct job {
    char id[20];
    volatile long long accepted;
    volatile bool cancelled;
};

enum count {
    OK2XX,
    S404,
    S410,
    S429,
    S503,
    S504,
    OTHER,
    CUT_SOON,       /* within the slack after the last byte */
    CUT_LATE,       /* later: LOST */
    CUT_UNPLANNED,  /* the daemon was killed */
    CUT_PIPELINED,  /* after an answer that closed the connection */
    CUT_INCOMPLETE, /* before the whole request was sent */
    SILENT,
    NOT_SENT,
    GONE,  /* 410 for an accepted job */
    WRONG, /* a wrong state, 404, or 400 */
    COUNTS
};

static const char *const count_names[] = {
    "2xx",      "404",           "410",           "429",
    "503",      "504",           "other",         "cut_soon",
    "cut_late", "cut_unplanned", "cut_pipelined", "cut_incomplete",
    "silent",   "not_sent",      "gone",          "wrong"};

static struct front fronts[FRONTS];
static struct worker *runners[RUNNERS];
static struct job jobs[JOBS_MAX];
static int job_count;
static pthread_mutex_t m = PTHREAD_MUTEX_INITIALIZER;
static long counts[COUNTS];
static long action_counts[ACTIONS];
static long takeovers;
static volatile bool ended;
static volatile long long calm_from;
static int version = 3;
static int grace_ms = 6000;

static void
count(enum count c)
{
    pthread_mutex_lock(&m);
    counts[c]++;
    pthread_mutex_unlock(&m);
}

/* ---- clients ---- */

struct client {
    struct rng r;
    int fd[FRONTS];
    char in[8192];
    size_t have;
};

static int
open_to(int i)
{
    struct sockaddr_in a = {
        .sin_family = AF_INET,
        .sin_port = htons((unsigned short)daemon_front_port(fronts[i].d))};
    struct timeval tv = {0, 100000};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
    if (connect(fd, (struct sockaddr *)&a, sizeof(a)) != 0) {
        close(fd);
        return 0;
    }
    return fd;
}

static void
drop(struct client *c, int i)
{
    if (c->fd[i] > 0) {
        close(c->fd[i]);
    }
    c->fd[i] = 0;
    c->have = 0;
}

/* An open connection to a daemon, 0 without one. As clients do, drops one that
 * the daemon has closed meanwhile. */
static int
connection(struct client *c, int i)
{
    char byte;

    if (c->fd[i] > 0 &&
        recv(c->fd[i], &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0) {
        drop(c, i);
    }
    if (c->fd[i] == 0) {
        c->fd[i] = open_to(i);
    }
    return c->fd[i];
}

static int
format(char *buf, size_t size, const char *method, const char *path,
       const char *body)
{
    return snprintf(buf, size,
                    "%s %s HTTP/1.1\r\nHost: " HOST "\r\nX-Timeout-Ms: %d\r\n"
                    "Content-Type: application/json\r\n"
                    "Content-Length: %zu\r\n\r\n%s",
                    method, path, TIMEOUT_MS, strlen(body), body);
}

/* Sends in one to five pieces. False: the connection ended before. */
static bool
send_pieces(struct client *c, int fd, const char *buf, int n, bool slow)
{
    int at = 0;

    while (at < n) {
        int part = slow ? 1 + (int)rnd(&c->r, (unsigned)n / 2) : n - at;

        part = part > n - at ? n - at : part;
        if (send(fd, buf + at, (size_t)part, MSG_NOSIGNAL) != part) {
            return false;
        }
        at += part;
        if (at < n) {
            sleep_ms(10 + rnd(&c->r, 500));
        }
    }
    return true;
}

enum reply { ANSWER, CUT, NONE };

/* One complete answer. */
static enum reply
read_answer(struct client *c, int fd, long long until, int *status, char *out,
            size_t size, bool *closes)
{
    for (;;) {
        char *end;
        const char *len;
        ssize_t n;

        c->in[c->have] = '\0';
        end = strstr(c->in, "\r\n\r\n");
        len = strcasestr(c->in, "content-length:");
        if (end != NULL && len != NULL && len < end) {
            size_t whole =
                (size_t)(end + 4 - c->in) + strtoul(len + 15, NULL, 10);

            if (c->have >= whole) {
                const char *close_at = strcasestr(c->in, "connection: close");

                (void)sscanf(c->in, "HTTP/1.1 %d", status);
                *closes = close_at != NULL && close_at < end;
                snprintf(out, size, "%.*s",
                         (int)(whole - (size_t)(end + 4 - c->in)), end + 4);
                memmove(c->in, c->in + whole, c->have - whole);
                c->have -= whole;
                return ANSWER;
            }
        }
        if (now_ms() > until) {
            return NONE;
        }
        n = recv(fd, c->in + c->have, sizeof(c->in) - 1 - c->have, 0);
        if (n > 0) {
            c->have += (size_t)n;
        }
        else if (n == 0 || (errno != EAGAIN && errno != EINTR)) {
            return CUT;
        }
    }
}

static void
count_cut(int i, long long sent, const char *what, bool pipelined)
{
    long long now = now_ms();

    if (fronts[i].unplanned != 0 && fronts[i].unplanned > sent - TIMEOUT_MS) {
        count(CUT_UNPLANNED);
    }
    else if (pipelined) {
        count(CUT_PIPELINED);
        if (now - sent > SLACK_MS) {
            rec("pipelined: %s at %s cut %lld ms after its last byte", what,
                daemon_name(fronts[i].d), now - sent);
        }
    }
    else if (now - sent <= SLACK_MS) {
        count(CUT_SOON);
        rec("cut soon: %s at %s %lld ms after its last byte, %lld ms after "
            "SIGTERM",
            what, daemon_name(fronts[i].d), now - sent, now - fronts[i].term);
    }
    else {
        count(CUT_LATE);
        rec("LOST: %s at %s cut %lld ms after its last byte, %lld ms after "
            "SIGTERM",
            what, daemon_name(fronts[i].d), now - sent, now - fronts[i].term);
    }
}

static void
count_status(int status)
{
    count(status / 100 == 2 ? OK2XX
          : status == 404   ? S404
          : status == 410   ? S410
          : status == 429   ? S429
          : status == 503   ? S503
          : status == 504   ? S504
                            : OTHER);
}

/* Returns the status, 0 without an answer. */
static int
ask(struct client *c, int i, const char *method, const char *path,
    const char *body, bool slow, char *out, size_t size)
{
    char buf[2048];
    char what[128];
    int n = format(buf, sizeof(buf), method, path, body);
    int status = 0;
    bool closes = false;
    long long sent;

    out[0] = '\0';
    snprintf(what, sizeof(what), "%s %s", method, path);
    if (connection(c, i) == 0) {
        count(NOT_SENT);
        return 0;
    }
    if (!send_pieces(c, c->fd[i], buf, n, slow)) {
        drop(c, i);
        count(CUT_INCOMPLETE);
        return 0;
    }
    sent = now_ms();
    switch (read_answer(c, c->fd[i], sent + TIMEOUT_MS + 1000, &status, out,
                        size, &closes)) {
    case CUT:
        count_cut(i, sent, what, false);
        drop(c, i);
        return 0;
    case NONE:
        count(fronts[i].unplanned > sent - TIMEOUT_MS ? CUT_UNPLANNED
                                                      : SILENT);
        rec("silent: %s at %s sent at %.3f s", what, daemon_name(fronts[i].d),
            (double)sent / 1000);
        drop(c, i);
        return 0;
    case ANSWER:
        break;
    }
    if (closes) {
        drop(c, i);
    }
    count_status(status);
    return status;
}

/* Two to four reads at once on one connection. */
static void
ask_pipelined(struct client *c, int i, const char *path)
{
    char buf[2048];
    char out[256];
    int parts = 2 + (int)rnd(&c->r, 3);
    int n = 0;
    bool closed = false;
    long long sent;

    if (connection(c, i) == 0) {
        count(NOT_SENT);
        return;
    }
    for (int k = 0; k < parts; k++) {
        n += format(buf + n, sizeof(buf) - (size_t)n, "GET", path, "");
    }
    if (!send_pieces(c, c->fd[i], buf, n, false)) {
        drop(c, i);
        count(CUT_INCOMPLETE);
        return;
    }
    sent = now_ms();
    for (int k = 0; k < parts; k++) {
        int status = 0;
        bool closes = false;

        switch (read_answer(c, c->fd[i], sent + TIMEOUT_MS + 1000, &status,
                            out, sizeof(out), &closes)) {
        case CUT:
            count_cut(i, sent, "pipelined GET", closed);
            drop(c, i);
            return;
        case NONE:
            count(SILENT);
            drop(c, i);
            return;
        case ANSWER:
            count_status(status);
            closed |= closes;
        }
    }
    if (closed) {
        drop(c, i);
    }
}

/* Checks an answer to a read of a job that had been accepted before. */
static void
check_state(const struct job *j, int i, int status, const char *body,
            bool last)
{
    bool wrong = status == 404 || status == 400 || status == 403;

    if (status == 410 && !j->cancelled) {
        count(GONE);
        rec("LOST: GET %s at %s -> 410, accepted at %.3f s", j->id,
            daemon_name(fronts[i].d), (double)j->accepted / 1000);
    }
    wrong |= status == 200 && strstr(body, "failed") != NULL;
    wrong |=
        status == 200 && strstr(body, "cancelled") != NULL && !j->cancelled;
    wrong |= status == 200 && last && !j->cancelled &&
             strstr(body, "succeeded") == NULL;
    if (wrong) {
        count(WRONG);
        rec("LOST: GET %s at %s -> %d %s, accepted at %.3f s, cancelled=%d",
            j->id, daemon_name(fronts[i].d), status, body,
            (double)j->accepted / 1000, j->cancelled);
    }
}

static void
read_job(struct client *c, const struct job *j, int i, bool last)
{
    char path[64];
    char out[256];
    bool was_accepted = j->accepted != 0;
    int status;

    snprintf(path, sizeof(path), PREFIX "%s", j->id);
    status = ask(c, i, "GET", path, "", !last && rnd(&c->r, 8) == 0, out,
                 sizeof(out));
    if (status != 0 && was_accepted) {
        check_state(j, i, status, out, last);
    }
}

/* The balancer's choice: mostly daemons that are not known to be down. */
static int
choose(struct client *c)
{
    int i = (int)rnd(&c->r, FRONTS);

    for (int k = 0; k < 3 && !fronts[i].up; k++) {
        i = (int)rnd(&c->r, FRONTS);
    }
    return i;
}

static void
submit_job(struct client *c)
{
    struct job *j;
    char path[64];
    char body[400];
    char out[256];

    pthread_mutex_lock(&m);
    if (job_count == JOBS_MAX) {
        pthread_mutex_unlock(&m);
        return;
    }
    j = &jobs[job_count++];
    snprintf(j->id, sizeof(j->id), "%08llx%08x", seed & 0xffffffff,
             (unsigned)job_count);
    pthread_mutex_unlock(&m);
    snprintf(path, sizeof(path), PREFIX "%s", j->id);
    snprintf(body, sizeof(body),
             "{\"spec\":\"d=%u c=100\",\"steps\":[{\"count\":%u,\"cpu\":100,"
             "\"memMb\":16,\"estimateMs\":300}]}",
             50 + rnd(&c->r, 500), 1 + rnd(&c->r, 3));
    for (int k = 0; k < 8 && !ended; k++) {
        int status = ask(c, choose(c), "POST", path, body, rnd(&c->r, 4) == 0,
                         out, sizeof(out));

        if (status / 100 == 2) {
            j->accepted = now_ms();
            break;
        }
        sleep_ms(50 + rnd(&c->r, 300));
    }
    if (j->accepted == 0) {
        return;
    }
    if (rnd(&c->r, 4) == 0) { /* right after, at each daemon */
        for (int i = 0; i < FRONTS; i++) {
            read_job(c, j, i, false);
        }
    }
    if (rnd(&c->r, 4) == 0) { /* again, at another daemon */
        sleep_ms(rnd(&c->r, 3) == 0 ? 1000 + rnd(&c->r, 3000) : 0);
        (void)ask(c, choose(c), "POST", path, body, false, out, sizeof(out));
        read_job(c, j, choose(c), false);
    }
    if (rnd(&c->r, 12) == 0) {
        j->cancelled = true;
        (void)ask(c, choose(c), "DELETE", path, "", false, out, sizeof(out));
        read_job(c, j, choose(c), false);
    }
}

static void *
run_client(void *arg)
{
    struct client *c = arg;
    char out[256];

    while (!ended) {
        unsigned what = rnd(&c->r, 10);
        struct job *j = NULL;

        pthread_mutex_lock(&m);
        if (job_count > 0) {
            j = &jobs[rnd(&c->r, (unsigned)job_count)];
        }
        pthread_mutex_unlock(&m);
        if (what < 3 || j == NULL) {
            submit_job(c);
        }
        else if (what < 7) {
            read_job(c, j, choose(c), false);
        }
        else if (what == 7) {
            char path[64];

            snprintf(path, sizeof(path), PREFIX "%s", j->id);
            ask_pipelined(c, choose(c), path);
        }
        else if (what == 8) {
            (void)ask(c, choose(c), "GET", PREFIX, "", false, out,
                      sizeof(out));
        }
        else { /* a job that nobody submitted */
            (void)ask(c, choose(c), "GET", PREFIX "ffffffffffffffff", "",
                      false, out, sizeof(out));
        }
        /* Its connections stay open, also over a stop. */
        sleep_ms(rnd(&c->r, 6) == 0 ? rnd(&c->r, 3000) : rnd(&c->r, 250));
    }
    for (int i = 0; i < FRONTS; i++) {
        drop(c, i);
    }
    return NULL;
}

/* ---- faults and planned work ---- */

/* Writes a daemon's settings again with other times. */
static void
change_settings(int i, int grace, unsigned status_s)
{
    char path[300];
    char text[4096];
    char *at;
    FILE *f;
    size_t n;

    snprintf(path, sizeof(path), "%s/%s.json", rig_scratch,
             daemon_name(fronts[i].d));
    f = fopen(path, "r");
    n = f == NULL ? 0 : fread(text, 1, sizeof(text) - 1, f);
    if (f != NULL) {
        fclose(f);
    }
    text[n] = '\0';
    at = strstr(text, "\"grace_s\":");
    if (at == NULL) {
        rig_exit(2, "settings without grace_s");
    }
    f = fopen(path, "w");
    fprintf(f, "%.*s\"grace_s\":%d.%03d,\"status_s\":%u,\"stop_ms\":%u,%s",
            (int)(at - text), text, grace / 1000, grace % 1000, status_s,
            200 + status_s,
            strstr(strstr(at, "\"status_s\":"), ",\"move_s") + 1);
    fclose(f);
}

static void
put_version(struct rng *r)
{
    char added[400] = "";
    char text[1600];

    version += 1 + (int)rnd(r, 5);
    if (rnd(r, 2) == 0) {
        snprintf(added, sizeof(added),
                 ",{\"name\":\"queue-2\",\"host\":\"" HOST
                 "\",\"pathPrefix\":\"" NEW_PREFIX
                 "\",\"kind\":\"unsafe\",\"timeoutMs\":3000,\"sloMs\":600,"
                 "\"priority\":1,\"service\":\"" SERVICE
                 "\",\"maxAttempts\":3,\"stretch\":1.6}");
    }
    snprintf(text, sizeof(text),
             "{\"version\":%d,\"routes\":[{\"name\":\"queue-1\",\"host\":"
             "\"" HOST "\",\"pathPrefix\":\"" PREFIX
             "\",\"kind\":\"unsafe\",\"timeoutMs\":%u,\"sloMs\":600,"
             "\"priority\":1,\"service\":\"" SERVICE
             "\",\"maxAttempts\":3,\"stretch\":1.6}%s],"
             "\"services\":[{\"name\":\"" SERVICE
             "\",\"enforcesCapacity\":true}],\"limits\":{}}",
             version, 2000 + rnd(r, 2000), added);
    store_put("keyed.op", "config", text);
    rec("operator: version=%d", version);
}

static int
scheduler(void)
{
    struct daemon *d = store_owner();

    for (int i = 0; i < FRONTS; i++) {
        if (fronts[i].d == d) {
            return i;
        }
    }
    return -1;
}

static int
fronts_up(void)
{
    int n = 0;

    for (int i = 0; i < FRONTS; i++) {
        n += fronts[i].up && !fronts[i].stopping ? 1 : 0;
    }
    return n;
}

static void
term(int i)
{
    if (i < 0 || !fronts[i].up || fronts[i].stopping) {
        return;
    }
    takeovers += i == scheduler() ? 1 : 0;
    fronts[i].stopping = true;
    fronts[i].term = now_ms();
    daemon_signal(fronts[i].d, SIGTERM);
    fronts[i].due = now_ms() + grace_ms;
}

/* Daemons that hold calls while the scheduler's role moves are stopped too. */
static void
term_pair(struct rng *r)
{
    int first = scheduler();

    term(first);
    sleep_ms(100 + rnd(r, 300));
    for (int k = 0; k < FRONTS && fronts_up() > 2; k++) {
        term(k);
    }
}

static void
act(struct rng *r, int what, long long *heal, int *dark)
{
    int i = rnd(r, 2) == 0 ? scheduler() : (int)rnd(r, FRONTS);

    action_counts[what]++;
    rec("action: %s", action_names[what]);
    switch (what) {
    case KILL:
        if (i >= 0 && fronts[i].up && !fronts[i].stopping && fronts_up() > 2) {
            takeovers += i == scheduler() ? 1 : 0;
            fronts[i].unplanned = now_ms();
            fronts[i].up = false;
            daemon_kill(fronts[i].d);
            fronts[i].due = now_ms() + START_DELAY_MS + rnd(r, 2000);
        }
        break;
    case TERM:
        if (getenv("PAIRS") != NULL) {
            term_pair(r);
        }
        else if (fronts_up() > 2) {
            term(i);
        }
        break;
    case TERM_ALL: /* one after the other, closer than their grace periods */
        for (int k = 0; k < FRONTS && fronts_up() > 1; k++) {
            term(k);
            sleep_ms(rnd(r, 700));
        }
        break;
    case HUP:
        if (i >= 0 && fronts[i].up) {
            change_settings(i, grace_ms, 110 + rnd(r, 20));
            daemon_signal(fronts[i].d, SIGHUP);
        }
        break;
    case HUP_IN_STOP:
        for (int k = 0; k < FRONTS; k++) {
            if (fronts[k].stopping) {
                change_settings(k, grace_ms, 110 + rnd(r, 20));
                daemon_signal(fronts[k].d, SIGHUP);
            }
        }
        break;
    case CONFIG:
        for (unsigned k = 1 + rnd(r, 3); k > 0; k--) {
            put_version(r);
            sleep_ms(rnd(r, 100));
        }
        break;
    case DARK:
        if (*dark < 0) {
            *dark = (int)rnd(r, RUNNERS);
            worker_cut(runners[*dark], true);
            *heal = now_ms() + 1000 + rnd(r, 6000);
        }
        break;
    default:
        break;
    }
}

/* Ends of grace periods, and starts. */
static void
keep_fronts(void)
{
    for (int i = 0; i < FRONTS; i++) {
        if (fronts[i].due == 0 || now_ms() < fronts[i].due) {
            continue;
        }
        if (fronts[i].stopping) {
            fronts[i].up = false;
            daemon_kill(fronts[i].d);
            fronts[i].stopping = false;
            fronts[i].due = now_ms() + START_DELAY_MS;
            continue;
        }
        daemon_start(fronts[i].d);
        fronts[i].up = true;
        fronts[i].due = 0;
    }
}

static void
play(long long until)
{
    struct rng r = {seed * 77 + 5};
    long long next = now_ms() + 500;
    long long heal = 0;
    int dark = -1;

    /* Without kills and dark runners in half of the runs, so that every cut
     * is one around planned work. */
    bool calm = seed % 2 == 0;

    while (now_ms() < until) {
        sleep_ms(10);
        keep_fronts();
        if (dark >= 0 && now_ms() >= heal) {
            worker_cut(runners[dark], false);
            dark = -1;
        }
        if (now_ms() >= next && rig_trouble()) {
            int what = getenv("PAIRS") != NULL ? TERM : (int)rnd(&r, ACTIONS);

            if (!calm || (what != KILL && what != DARK)) {
                act(&r, what, &heal, &dark);
            }
            next = now_ms() + 50 + rnd(&r, 1200);
        }
    }
    if (dark >= 0) {
        worker_cut(runners[dark], false);
    }
    for (bool open = true; open; sleep_ms(10)) {
        keep_fronts();
        open = false;
        for (int i = 0; i < FRONTS; i++) {
            open |= fronts[i].due != 0;
        }
    }
}

/* ---- the whole ---- */

static void
start_all(void)
{
    put_config();
    for (int i = 0; i < RUNNERS; i++) {
        runners[i] = worker_new(SERVICE, 4000);
    }
    for (int i = 0; i < FRONTS; i++) {
        char name[16];

        snprintf(name, sizeof(name), "front-%d", i + 1);
        fronts[i].d = daemon_new(name);
        change_settings(i, grace_ms, 120);
        daemon_start(fronts[i].d);
        fronts[i].up = true;
    }
    for (int i = 0; i < FRONTS; i++) {
        if (!daemon_wait_ready(fronts[i].d, 10000)) {
            rig_exit(2, "a daemon did not become ready");
        }
    }
}

/* The longest time for which this process did not run: a stall of the machine
 * ends memberships and leases, and is no fault of the daemons. */
static volatile long long stall_ms;

static void *
watch_stalls(void *arg)
{
    (void)arg;
    for (;;) {
        long long before = now_ms();
        long long late;

        sleep_ms(20);
        late = now_ms() - before - 20;
        if (late > 500) {
            rec("stall: this process did not run for %lld ms", late);
        }
        stall_ms = late > stall_ms ? late : stall_ms;
    }
    return NULL;
}

static int
ask_at_end(void)
{
    static struct client c;
    int accepted = 0;

    c.r.x = seed;
    for (int n = 0; n < job_count; n++) {
        if (jobs[n].accepted != 0) {
            long before = counts[OK2XX] + counts[S410];
            int tries = 0;

            accepted++;
            /* A call that is refused is sent again, as clients do. */
            while (counts[OK2XX] + counts[S410] == before &&
                   tries++ < END_TRIES) {
                sleep_ms(tries > 1 ? 300 : 0);
                read_job(&c, &jobs[n], (n + tries) % FRONTS, true);
            }
            if (counts[OK2XX] + counts[S410] == before) {
                count(WRONG);
                rec("LOST: %s has no answer at the end", jobs[n].id);
            }
        }
    }
    return accepted;
}

int
main(int argc, char **argv)
{
    static struct client clients[CLIENTS];
    pthread_t threads[CLIENTS];
    pthread_t stalls;
    const char *grace = getenv("GRACE_S");
    long long seconds = argc > 3 ? strtoll(argv[3], NULL, 10) : 30;
    char text[400] = "";
    int accepted;
    int twice;

    rig_init(argc, argv);
    alarm((unsigned)seconds + 100);
    seed = argc > 2 ? strtoull(argv[2], NULL, 10) : 1;
    grace_ms = grace == NULL ? grace_ms : (int)(strtod(grace, NULL) * 1000);
    pthread_create(&stalls, NULL, watch_stalls, NULL);
    start_all();
    for (int i = 0; i < CLIENTS; i++) {
        clients[i].r.x = seed * 1000 + (unsigned)i;
        pthread_create(&threads[i], NULL, run_client, &clients[i]);
    }
    play(now_ms() + seconds * 1000);
    ended = true;
    for (int i = 0; i < CLIENTS; i++) {
        pthread_join(threads[i], NULL);
    }
    sleep_ms(CALM_MS);
    accepted = ask_at_end();
    twice = check_twice();
    for (int i = 0; i < COUNTS; i++) {
        size_t n = strlen(text);

        snprintf(text + n, sizeof(text) - n, " %s=%ld", count_names[i],
                 counts[i]);
    }
    rec("actions: kill=%ld term=%ld hup=%ld config=%ld dark=%ld term_all=%ld "
        "hup_in_stop=%ld scheduler_lost=%ld",
        action_counts[KILL], action_counts[TERM], action_counts[HUP],
        action_counts[CONFIG], action_counts[DARK], action_counts[TERM_ALL],
        action_counts[HUP_IN_STOP], takeovers);
    rig_exit(counts[GONE] + counts[WRONG] + counts[CUT_LATE] + twice > 0,
             "seed=%llu accepted=%d twice=%d%s stall_ms=%lld", seed, accepted,
             twice, text, stall_ms);
}
