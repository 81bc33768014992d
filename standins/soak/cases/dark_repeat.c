/* Guards against LOST: a start that waits on a worker that is gone. A lasting
 * task's worker goes dark, and the idle worker that would be chosen next went
 * dark some seconds before its turn.
 *
 * Nobody asks an idle worker for reports, so that its silence is not known,
 * and its entry is still listed as the task's lease lapses. The start sent
 * there gets no answer: it may not count for longer than the rule allows a
 * lasting task to wait, and the task may not run twice. Two idle workers are
 * sound throughout. */
/* NOLINTNEXTLINE(bugprone-suspicious-include): its state is static. */
#include "../../../review/lib/runner.c"

#include "../runner_dark.h"

#include "case.h"

#define RUNNERS 4
#define LASTING "00000000000000da"
#define PROBE "00000000000000db"
/* The task has to run again so long after its last run has ended. */
#define BOUND_MS (6000 + 3000)
/* The second worker goes dark so long after the first one: its entry is listed
 * as the lease of the first one's task lapses. */
#define NEXT_DARK_MS 2500

static struct daemon *d[DAEMONS];
static struct worker *w[RUNNERS];

static bool
dark_request(void *ctx, struct req *r, struct answer *a)
{
    struct worker *x = ctx;

    return !dark_loses(x) && worker_request(x, r, a) && !dark_loses(x);
}

/* The worker of a job's newest run; NULL: none. */
static struct worker *
wait_worker(const char *id, long long timeout)
{
    long long until = now_ms() + timeout;
    struct exec_row rows[8];

    while (now_ms() < until) {
        int n = exec_find(id, rows, 8);

        for (int i = 0; n > 0 && i < RUNNERS; i++) {
            if (w[i] == rows[n - 1].worker) {
                return w[i];
            }
        }
        sleep_ms(10);
    }
    return NULL;
}

/* Time at which the first run ended; 0: it has not. */
static long long
first_ended(void)
{
    struct exec_row row;

    return exec_find(LASTING, &row, 1) == 1 ? row.ended : 0;
}

/* The lasting task's worker and the one that comes next. */
static void
find_workers(struct worker **first, struct worker **next)
{
    if (submit(d, DAEMONS, LASTING, 1, 900, 0, ",\"persistent\":true", 5000) !=
            200 ||
        (*first = wait_worker(LASTING, 5000)) == NULL ||
        submit(d, DAEMONS, PROBE, 1, 900, 300, "", 5000) != 200 ||
        (*next = wait_worker(PROBE, 5000)) == NULL) {
        rig_exit(2, "a job did not start");
    }
    sleep_ms(2000); /* the next one is idle, and not asked any more */
}

int
main(int argc, char **argv)
{
    struct exec_row rows[8];
    struct worker *first = NULL;
    struct worker *next = NULL;
    long long until;
    long long ended;
    long long waited = -1;
    int twice;
    int n;

    rig_init(argc, argv);
    case_start(d, w, RUNNERS, 0);
    for (int i = 0; i < RUNNERS; i++) {
        w[i]->server.handle = dark_request;
    }
    find_workers(&first, &next);
    if (rig_trouble()) {
        dark_start(first, true);
        sleep_ms(NEXT_DARK_MS);
        dark_start(next, true);
    }
    until = now_ms() + MAX_HOLD_MS;
    while (first_ended() == 0 && now_ms() < until) {
        sleep_ms(10);
    }
    ended = first_ended();
    if (!rig_trouble()) {
        rig_exit(ended == 0 ? 0 : 1, "the run %s",
                 ended == 0 ? "goes on" : "ended without a fault");
    }
    if (ended == 0) {
        rig_exit(2, "the run on the dark worker did not lapse");
    }
    sleep_until(ended + BOUND_MS);
    twice = check_twice();
    n = exec_find(LASTING, rows, 8);
    for (int i = 1; i < n && waited < 0; i++) {
        waited = rows[i].began - ended;
    }
    if (waited < 0) {
        rig_exit(1, "LOST: no run for %d ms after the first one; TWICE: %d",
                 BOUND_MS, twice);
    }
    rig_exit(twice > 0 ? 1 : 0,
             "runs again after %lld ms on %s (dark: %s, %s); TWICE: %d",
             waited, worker_id(rows[1].worker), worker_id(first),
             worker_id(next), twice);
}
