/* Guards against TWICE: a start that is carried out seconds late gives a new
 * incarnation a lease that ends after the scheduler counts on.
 *
 * An idle runner starts again under its id. Before that is noticed it is sent
 * a start, with an end of the lease on its former clock, and is cut off from
 * the daemons. The order's last repeat arrives LATE_MS after it was sent, and
 * the runner holds the task for maxHoldMs from then on. A scheduler that sends
 * no start to a runner which does not answer has to start all tasks within
 * RUN_MS after the cut. In the environment
 * LATE_MS overrides the delay, and CUT_STORE=1 cuts the runner off from the
 * store too, so that its entry never shows the restart. */
#include "case_held.h"

#include <stdlib.h>

#define RUNNERS 6
#define LATE_MS 2000
#define DOWN_MS 300
/* Longest time from the start to the end of the case. */
#define WATCH_MS 26000
#define RUN_MS 6000

static struct daemon *d[DAEMONS];
static struct worker *w[RUNNERS];

static void
job_id(char out[20], int i)
{
    snprintf(out, 20, "%016x", 0x9a00 + i);
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

/* Cancels a job other than that of the held order. */
static void
make_room(void)
{
    char path[64];
    char id[20];

    for (int i = 0; i < RUNNERS; i++) {
        job_id(id, i);
        if (strncmp(held.task, id, 16) != 0) {
            snprintf(path, sizeof(path), PREFIX "%s", id);
            (void)call(d[0], "DELETE", path, "", 3000, NULL, 0);
            return;
        }
    }
}

static bool
all_run(void)
{
    struct exec_row row;
    char id[20];

    for (int i = 0; i < RUNNERS; i++) {
        job_id(id, i);
        if (exec_find(id, &row, 1) < 1) {
            return false;
        }
    }
    return true;
}

/* No start was sent: the runner is in touch again. */
static void
watch_without_start(void)
{
    long long until;

    rec("no start was sent to the runner, which does not answer");
    held_arm(false);
    held_store_cut(w[0], false);
    held_cut_set(NULL);
    until = now_ms() + RUN_MS;
    while (!all_run() && now_ms() < until) {
        sleep_ms(10);
    }
    if (!all_run()) {
        rig_exit(1, "a task has not started %d ms after the cut", RUN_MS);
    }
}

int
main(int argc, char **argv)
{
    const char *v = getenv("LATE_MS");
    bool store = getenv("CUT_STORE") != NULL;
    long long late = v == NULL ? LATE_MS : atoll(v);
    int n;

    rig_init(argc, argv);
    case_start(d, w, RUNNERS, 0);
    for (int i = 0; i < RUNNERS; i++) {
        held_wrap(w[i]);
    }
    if (rig_trouble()) {
        worker_crash(w[0]);
        held_cut_set(w[0]);
        sleep_ms(DOWN_MS);
        held_restart_unnoticed(w[0]);
        held_store_cut(w[0], store);
        held_arm(true);
    }
    submit_all();
    if (rig_trouble() && !held_wait(3000)) {
        watch_without_start();
    }
    else if (rig_trouble()) {
        make_room();
        while (now_ms() < held.sent + late) {
            sleep_ms(5);
        }
        (void)held_arrives();
        sleep_until(held.sent + WATCH_MS);
        held_store_cut(w[0], false);
        held_cut_set(NULL);
    }
    sleep_ms(1500);
    n = check_twice();
    rig_exit(n > 0 ? 1 : 0, "TWICE: %d", n);
}
