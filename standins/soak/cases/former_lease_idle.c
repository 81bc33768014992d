/* Guards against TWICE: the same for a runner that was idle and gets a start
 * before its restart is noticed.
 *
 * A runner ends while it is idle and starts again under its id. A start comes
 * before the scheduler has noticed: it carries a lease on the clock of the
 * former life, which the runner shortens to maxHoldMs. The scheduler counts
 * on 4.5 s from its last renewal. A cut from the daemons, shorter than the
 * lease, then lets the task run on two runners. */
#include "case.h"

#define RUNNERS 8

static struct daemon *d[DAEMONS];
static struct worker *w[RUNNERS];

static void
job_id(char out[20], int i)
{
    snprintf(out, 20, "%016x", 0x7700 + i);
}

static void
submit_all(void)
{
    char id[20];

    for (int i = 0; i < RUNNERS; i++) {
        job_id(id, i);
        if (submit(d, DAEMONS, id, 1, 900, 20000, "", 5000) != 200) {
            rig_exit(2, "a job was not accepted");
        }
    }
}

/* Cancels a job that does not run on x. */
static void
make_room(const struct worker *x)
{
    struct exec_row row;
    char path[64];
    char id[20];

    for (int i = 0; i < RUNNERS; i++) {
        job_id(id, i);
        if (exec_find(id, &row, 1) == 1 && row.worker != x) {
            snprintf(path, sizeof(path), PREFIX "%s", id);
            (void)call(d[0], "DELETE", path, "", 3000, NULL, 0);
            return;
        }
    }
}

int
main(int argc, char **argv)
{
    int n;

    rig_init(argc, argv);
    case_start(d, w, RUNNERS, 0);
    if (rig_trouble()) {
        worker_crash(w[0]);
        sleep_ms(400);
        worker_restart(w[0]);
    }
    submit_all();
    sleep_ms(1000);
    if (worker_load(w[0]) != 1) {
        rig_exit(2, "the runner has no task");
    }
    worker_cut_from(w[0], 1);
    make_room(w[0]);
    sleep_ms(8000);
    worker_cut_from(w[0], 0);
    sleep_ms(1500);
    n = check_twice();
    rig_exit(n > 0 ? 1 : 0, "TWICE: %d", n);
}
