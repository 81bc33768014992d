/* A runner's process ends while it is idle and starts again under its id,
 * shortly before the next job comes: one runner of eight at a time. */
#include "rig.h"

#include <stdio.h>

#define RUNNERS 8
#define ROUNDS 16
#define ROUND_MS 2000
#define CRASH_AT_MS 1500 /* in a round; its tasks have ended by then */
#define DOWN_MS 400
#define TASK_MS 300

int
main(int argc, char **argv)
{
    struct daemon *d[3];
    struct worker *w[RUNNERS];
    struct exec_row rows[16];
    int n;

    rig_init(argc, argv);
    put_config();
    for (int i = 0; i < RUNNERS; i++) {
        w[i] = worker_new(SERVICE, 1000);
    }
    for (int i = 0; i < 3; i++) {
        char name[16];

        snprintf(name, sizeof(name), "front-%d", i + 1);
        d[i] = daemon_new(name);
        daemon_start(d[i]);
    }
    for (int i = 0; i < 3; i++) {
        if (!daemon_wait_ready(d[i], 10000)) {
            rig_exit(2, "a daemon did not become ready");
        }
    }
    sleep_ms(2000);
    for (int i = 0; i < ROUNDS; i++) {
        long long began = now_ms();
        char id[20];

        /* A job that needs seven of the eight runners. */
        snprintf(id, sizeof(id), "%016x", 0x1000 + i);
        if (submit(d, 3, id, RUNNERS - 1, 900, TASK_MS, "", 5000) != 200) {
            rig_exit(2, "a job was not accepted");
        }
        sleep_until(began + CRASH_AT_MS);
        if (rig_trouble()) {
            worker_crash(w[i % RUNNERS]);
            sleep_ms(DOWN_MS);
            worker_restart(w[i % RUNNERS]);
        }
        sleep_until(began + ROUND_MS);
    }
    sleep_ms(4000);
    if (exec_find("", rows, 16) < 16) {
        rig_exit(2, "too few tasks ran");
    }
    n = check_twice();
    if (n > 0) {
        rig_exit(1, "TWICE: %d tasks of %d ran twice", n,
                 ROUNDS * (RUNNERS - 1));
    }
    rig_exit(0, "none of %d tasks ran twice", ROUNDS * (RUNNERS - 1));
}
