/* The store turns the scheduler away, and the runner that is at work loses the
 * path to the daemon that takes over. */
#include "rig.h"

#include <stdio.h>
#include <string.h>

#define DAEMONS 6
#define RUNNERS 8
#define CUT_MS 9000
#define JOB "00000000000000c3"

int
main(int argc, char **argv)
{
    struct daemon *d[DAEMONS];
    struct worker *w[RUNNERS];
    struct worker *busy = NULL;
    struct daemon *old;
    struct exec_row rows[16];
    int n;

    rig_init(argc, argv);
    put_config();
    for (int i = 0; i < RUNNERS; i++) {
        w[i] = worker_new(SERVICE, 4000);
    }
    for (int i = 0; i < DAEMONS; i++) {
        char name[16];

        snprintf(name, sizeof(name), "front-%d", i + 1);
        d[i] = daemon_new(name);
        daemon_start(d[i]);
    }
    for (int i = 0; i < DAEMONS; i++) {
        if (!daemon_wait_ready(d[i], 10000)) {
            rig_exit(2, "a daemon did not become ready");
        }
    }
    sleep_ms(2000);
    if (submit(d, DAEMONS, JOB, 1, 500, 0, ",\"persistent\":true", 5000) !=
        200) {
        rig_exit(2, "the job was not accepted");
    }
    sleep_ms(3000);
    for (int i = 0; i < RUNNERS; i++) {
        busy = worker_load(w[i]) > 0 ? w[i] : busy;
    }
    old = store_owner();
    if (busy == NULL || old == NULL) {
        rig_exit(2, "the task does not run");
    }
    if (rig_trouble()) {
        daemon_link(old, LINK_SILENT);
        /* Only the daemon that takes over uses a higher fencing token. */
        worker_cut_from(busy, worker_fence(busy) + 1);
    }
    sleep_ms(CUT_MS);
    if (rig_trouble()) {
        if (store_owner() == NULL || store_owner() == old) {
            rig_exit(2, "no daemon took over");
        }
        worker_cut_from(busy, 0);
        daemon_link(old, LINK_OK);
    }
    sleep_ms(4000);
    if (exec_find(JOB, rows, 16) == 0) {
        rig_exit(2, "the task did not run");
    }
    n = check_twice();
    if (n > 0) {
        rig_exit(1, "TWICE: the task of a lasting job ran on two runners");
    }
    rig_exit(0, "the task ran on one runner at a time");
}
