/* Guards against TWICE: a refused connection counts as the end of a run that
 * goes on and ends done.
 *
 * A runner is cut off with resets for 3.7 s, less than its lease. Its task
 * ends done meanwhile, its entry leaves the list, its connections are refused:
 * the scheduler starts the task elsewhere. Then the end is listed, ignored and
 * acknowledged. */
#include "case.h"

#define RUNNERS 8
#define ROUNDS 3
#define CUT_MS 3700
/* The last entry before the cut is this old: it leaves the list 4.5 s after
 * it. */
#define ENTRY_AGE_MS 1430

static struct daemon *d[DAEMONS];
static struct worker *w[RUNNERS];
static long long made[RUNNERS];

/* A worker with a task whose entry will have the age soon; waits for it. */
static struct worker *
pick_worker(void)
{
    long long until = now_ms() + 2000;

    while (now_ms() < until) {
        for (int i = 0; i < RUNNERS; i++) {
            /* A beat comes some milliseconds late each time. */
            long long n = (now_ms() - made[i]) / (HEARTBEAT_MS + 4);
            long long age = now_ms() - made[i] - n * (HEARTBEAT_MS + 4);

            if (age > ENTRY_AGE_MS && age < ENTRY_AGE_MS + 40 &&
                worker_load(w[i]) > 0) {
                return w[i];
            }
        }
        sleep_ms(5);
    }
    return NULL;
}

static void
one_round(int i)
{
    struct worker *x;
    char id[20];

    snprintf(id, sizeof(id), "%016x", 0xf0 + i);
    if (submit(d, DAEMONS, id, RUNNERS - 1, 900, 2600, "", 5000) != 200) {
        rig_exit(2, "a job was not accepted");
    }
    x = pick_worker();
    if (x == NULL) {
        rig_exit(2, "no runner with a task");
    }
    if (rig_trouble()) {
        worker_cut(x, true);
        sleep_ms(CUT_MS);
        worker_cut(x, false);
    }
    /* Other tasks come to the runner: it is asked for its ends. */
    snprintf(id, sizeof(id), "%016x", 0x1f0 + i);
    (void)submit(d, DAEMONS, id, 4 * RUNNERS, 700, 300, "", 5000);
    sleep_ms(3500);
}

int
main(int argc, char **argv)
{
    int n;

    rig_init(argc, argv);
    put_config();
    for (int i = 0; i < RUNNERS; i++) {
        w[i] = worker_new(SERVICE, 1000);
        made[i] = now_ms();
        sleep_ms(HEARTBEAT_MS / RUNNERS);
    }
    case_start(d, w, 0, 0);
    for (int i = 0; i < ROUNDS; i++) {
        one_round(i);
    }
    n = check_twice();
    rig_exit(n > 0 ? 1 : 0, "TWICE: %d", n);
}
