/* Guards against TWICE: a successor takes a young runner for an old one, as
 * the runner's time of day is behind, and counts on a short lease.
 *
 * A runner starts again under its id with a time of day that is 20 s behind. A
 * start reaches it before that is noticed: its lease ends maxHoldMs later.
 * Then the scheduler is lost and the runner is cut off from the daemons, but
 * not from the store. */
#include "case_held.h"

#define RUNNERS 6
#define BACK_MS 20000
/* The new `born` is still later than the former one. */
#define AGE_MS 20500
#define DOWN_MS 300
#define WATCH_MS 13000

static struct daemon *d[DAEMONS];
static struct worker *w[RUNNERS];

static void
job_id(char out[20], int i)
{
    snprintf(out, 20, "%016x", 0x9e00 + i);
}

/* One task for each runner. */
static void
submit_all(void)
{
    char id[20];

    for (int i = 0; i < RUNNERS; i++) {
        job_id(id, i);
        if (submit(d, DAEMONS, id, 1, 900, 40000, "", 5000) != 200) {
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
    for (int i = 0; i < RUNNERS; i++) {
        held_wrap(w[i]);
    }
    if (rig_trouble()) {
        sleep_ms(AGE_MS);
        worker_crash(w[0]);
        sleep_ms(DOWN_MS);
        held_restart_unnoticed(w[0]);
        pthread_mutex_lock(&rig_lock);
        w[0]->born -= BACK_MS;
        rec("runner %s: born=%lld, its time of day is behind", w[0]->id,
            w[0]->born);
        pthread_mutex_unlock(&rig_lock);
    }
    submit_all();
    wait_load();
    if (rig_trouble()) {
        old = store_owner();
        held_cut_set(w[0]);
        pthread_mutex_lock(&rig_lock);
        worker_beat(w[0]);
        pthread_mutex_unlock(&rig_lock);
        daemon_kill(old);
        (void)case_wait_other(old, 5000);
        make_room(w[0], old);
    }
    sleep_ms(WATCH_MS);
    held_cut_set(NULL);
    sleep_ms(1500);
    n = check_twice();
    rig_exit(n > 0 ? 1 : 0, "TWICE: %d", n);
}
