/* Guards against TWICE: a restarted runner holds a lease of its former life
 * for longer than the scheduler counts.
 *
 * A runner with a task ends and starts again under its id. The next poll
 * carries the lease of its former life, on the clock of that life: it lasts
 * maxHoldMs, while the scheduler counts on 4.5 s. A cut from the daemons,
 * shorter than the lease, then lets the task run on two runners. */
#include "case.h"

#define RUNNERS 9
#define TASKS 7
/* The second repeat of the poll, at 500 ms, comes before the list is read. */
#define DOWN_MS 485

static struct daemon *d[DAEMONS];
static struct worker *w[RUNNERS];

static struct worker *
loaded_worker(void)
{
    for (int i = 0; i < RUNNERS; i++) {
        if (worker_load(w[i]) > 0) {
            return w[i];
        }
    }
    return NULL;
}

int
main(int argc, char **argv)
{
    struct worker *x;
    long long until;
    int n;

    rig_init(argc, argv);
    case_start(d, w, RUNNERS, 0);
    if (submit(d, DAEMONS, "00000000000000e1", TASKS, 900, 20000, "", 5000) !=
        200) {
        rig_exit(2, "a job was not accepted");
    }
    sleep_ms(500);
    x = loaded_worker();
    if (x == NULL) {
        rig_exit(2, "no task runs");
    }
    if (rig_trouble()) {
        worker_crash(x);
        sleep_ms(DOWN_MS);
        worker_restart(x);
    }
    /* The pool is made full, so that the runner gets a task again. */
    for (int i = 2; i <= 3; i++) {
        char id[20];

        snprintf(id, sizeof(id), "%016x", 0xe0 + i);
        (void)submit(d, DAEMONS, id, 1, 900, 20000, "", 5000);
    }
    until = now_ms() + 3000;
    while (worker_load(x) == 0 && now_ms() < until) {
        sleep_ms(5);
    }
    if (worker_load(x) == 0) {
        rig_exit(2, "the runner got no task again");
    }
    sleep_ms(300);
    worker_cut_from(x, 1);
    /* Makes room for the task on another runner. */
    (void)call(d[0], "DELETE", PREFIX "00000000000000e2", "", 3000, NULL, 0);
    sleep_ms(8000);
    worker_cut_from(x, 0);
    sleep_ms(1500);
    n = check_twice();
    rig_exit(n > 0 ? 1 : 0, "TWICE: %d", n);
}
