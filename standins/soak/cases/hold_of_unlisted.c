/* Guards against TWICE: a takeover counts a short lease for a runner that the
 * list lacks but that holds its run for maxHoldMs.
 *
 * A runner starts again under its id, and a start reaches it before the
 * scheduler has noticed: its lease ends far ahead on the new clock. Then the
 * scheduler is lost, the runner is cut off, and its entry is gone. */
#include "case.h"

#define RUNNERS 8
#define AGE_MS 16000
#define DOWN_MS 400

static struct daemon *d[DAEMONS];
static struct worker *w[RUNNERS];

static void
job_id(char out[20], int i)
{
    snprintf(out, 20, "%016x", 0x8800 + i);
}

/* One task for each runner. */
static void
submit_all(void)
{
    char id[20];

    for (int i = 0; i < RUNNERS; i++) {
        job_id(id, i);
        if (submit(d, DAEMONS, id, 1, 900, 30000, "", 5000) != 200) {
            rig_exit(2, "a job was not accepted");
        }
    }
}

/* Cancels a job that does not run on x, at a daemon that lives. */
static void
make_room(const struct worker *x, const struct daemon *lost)
{
    struct exec_row row;
    char path[64];
    char id[20];

    for (int i = 0; i < RUNNERS; i++) {
        job_id(id, i);
        if (exec_find(id, &row, 1) == 1 && row.worker != x) {
            snprintf(path, sizeof(path), PREFIX "%s", id);
            (void)call(d[0] == lost ? d[1] : d[0], "DELETE", path, "", 4000,
                       NULL, 0);
            return;
        }
    }
}

static void
wait_load(void)
{
    long long until = now_ms() + 3000;

    while (worker_load(w[0]) == 0 && now_ms() < until) {
        sleep_ms(2);
    }
    if (worker_load(w[0]) == 0) {
        rig_exit(2, "the runner has no task");
    }
}

int
main(int argc, char **argv)
{
    struct daemon *old = NULL;
    int n;

    rig_init(argc, argv);
    case_start(d, w, RUNNERS, 0);
    sleep_ms(AGE_MS);
    if (rig_trouble()) {
        worker_crash(w[0]);
        sleep_ms(DOWN_MS);
        worker_restart(w[0]);
    }
    submit_all();
    wait_load();
    if (rig_trouble()) {
        old = store_owner();
        worker_cut(w[0], true);
        store_put("keyed.servers", worker_id(w[0]), "");
        daemon_kill(old);
        (void)case_wait_other(old, 5000);
        make_room(w[0], old);
    }
    sleep_ms(14000);
    if (rig_trouble()) {
        worker_cut(w[0], false);
    }
    sleep_ms(1500);
    n = check_twice();
    rig_exit(n > 0 ? 1 : 0, "TWICE: %d", n);
}
