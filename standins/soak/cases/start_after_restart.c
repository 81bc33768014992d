/* Guards against TWICE: a start of a former scheduler begins on a worker's new
 * incarnation, after its successor has started the task elsewhere.
 *
 * A start order is held up in front of a runner and its scheduler is lost. The
 * successor's report from the runner does not list the run, so the task starts
 * on another runner. Then the runner starts again under its id, without its
 * fence, and the order arrives before the successor's first call. */
#include "case_held.h"

#define RUNNERS 6
#define ROUNDS 6
#define DOWN_MS 300

static struct daemon *d[DAEMONS];
static struct worker *w[RUNNERS];

/* The task's later run, on another runner than the held order's. */
static bool
started_elsewhere(long long timeout)
{
    long long until = now_ms() + timeout;
    struct exec_row row;

    while (now_ms() < until) {
        if (exec_find(held.task, &row, 1) == 1) {
            return row.worker != held.worker && row.ended == 0;
        }
        sleep_ms(5);
    }
    return false;
}

/* False when the task came to the same runner again. */
static bool
one_round(int i)
{
    struct daemon *old = store_owner();
    char id[20];

    held.worker = NULL;
    snprintf(id, sizeof(id), "%016x", 0x9900 + i);
    held_arm(rig_trouble());
    if (submit(d, DAEMONS, id, 1, 900, 20000, "", 5000) != 200) {
        rig_exit(2, "a job was not accepted");
    }
    if (!rig_trouble()) {
        return true;
    }
    if (old == NULL || !held_wait(3000)) {
        rig_exit(2, "no start order");
    }
    daemon_kill(old);
    held_arm(false);
    sleep_ms(START_DELAY_MS);
    daemon_start(old);
    if (!started_elsewhere(15000)) {
        return false;
    }
    worker_crash(held.worker);
    sleep_ms(DOWN_MS);
    held_restart_unnoticed(held.worker);
    return held_arrives() == 200;
}

int
main(int argc, char **argv)
{
    bool came = false;
    int n;

    rig_init(argc, argv);
    case_start(d, w, RUNNERS, 0);
    for (int i = 0; i < RUNNERS; i++) {
        held_wrap(w[i]);
    }
    for (int i = 0; i < ROUNDS && !came; i++) {
        came = one_round(i);
    }
    if (!came) {
        rig_exit(2, "no order came after the restart");
    }
    sleep_ms(2500);
    n = check_twice();
    rig_exit(n > 0 ? 1 : 0, "TWICE: %d", n);
}
