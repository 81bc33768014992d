/* Guards against TWICE: a new incarnation whose reports are not believed yet
 * takes leases on the former clock, and is counted on for less.
 *
 * A runner starts again under its id after its time of day went back, so that
 * its new `born` is the earlier one. It gets a start at once, and renewals
 * until its reports are believed. Shortly before, it is cut off from the
 * daemons: it holds its run for maxHoldMs from the last renewal. A scheduler
 * that sends no start to a runner which it does not believe has to start the
 * task within START_MS; the cut then follows RENEWED_MS later. */
#include "case_held.h"

#define RUNNERS 6
#define BACK_MS 60000
#define DOWN_MS 300
#define RENEWED_MS 1700
#define START_MS 6000
#define WATCH_MS 16000

static struct daemon *d[DAEMONS];
static struct worker *w[RUNNERS];

static void
job_id(char out[20], int i)
{
    snprintf(out, 20, "%016x", 0x9d00 + i);
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

static void
await_task(void)
{
    long long until = now_ms() + START_MS;

    rec("the runner has no task yet");
    while (worker_load(w[0]) != 1 && now_ms() < until) {
        sleep_ms(10);
    }
    if (worker_load(w[0]) != 1) {
        rig_exit(1, "no task has started on the runner");
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
        sleep_ms(DOWN_MS);
        held_restart_unnoticed(w[0]);
        pthread_mutex_lock(&rig_lock);
        w[0]->born -= BACK_MS;
        rec("runner %s: born=%lld, earlier than before", w[0]->id, w[0]->born);
        pthread_mutex_unlock(&rig_lock);
    }
    for (int i = 0; i < RUNNERS; i++) {
        held_wrap(w[i]);
    }
    submit_all();
    sleep_ms(RENEWED_MS);
    if (worker_load(w[0]) != 1) {
        await_task();
        sleep_ms(RENEWED_MS);
    }
    if (rig_trouble()) {
        held_cut_set(w[0]);
        make_room(w[0]);
    }
    sleep_ms(WATCH_MS);
    held_cut_set(NULL);
    sleep_ms(1500);
    n = check_twice();
    rig_exit(n > 0 ? 1 : 0, "TWICE: %d", n);
}
