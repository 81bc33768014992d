/* One runner of eight at a time is cut off from all for some seconds, with
 * resets, and runs on. */
#include "rig.h"

#include <stdio.h>

#define RUNNERS 8
#define CUT_MS 5500
#define PAUSE_MS 3500

int
main(int argc, char **argv)
{
    struct daemon *d[3];
    struct worker *w[RUNNERS];
    struct exec_row rows[64];
    int n;

    rig_init(argc, argv);
    put_config();
    for (int i = 0; i < RUNNERS; i++) {
        w[i] = worker_new(SERVICE, 4000);
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
    /* One lasting task on each runner; one more fits on each. */
    if (submit(d, 3, "00000000000000e5", RUNNERS, 2000, 0,
               ",\"persistent\":true,\"maxPerServer\":2", 5000) != 200) {
        rig_exit(2, "the job was not accepted");
    }
    sleep_ms(3000);
    for (int i = 0; i < RUNNERS; i++) {
        struct worker *x = w[i];

        if (worker_load(x) == 0) {
            continue;
        }
        if (rig_trouble()) {
            worker_cut(x, true);
        }
        sleep_ms(CUT_MS);
        if (rig_trouble()) {
            worker_cut(x, false);
        }
        sleep_ms(PAUSE_MS);
    }
    if (exec_find("", rows, 64) < RUNNERS) {
        rig_exit(2, "too few tasks ran");
    }
    n = check_twice();
    if (n > 0) {
        rig_exit(1, "TWICE: %d times a task ran on two runners", n);
    }
    rig_exit(0, "no task ran on two runners");
}
