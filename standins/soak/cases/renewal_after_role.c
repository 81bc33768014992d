/* Guards against TWICE: a replaced scheduler keeps a run alive that its
 * successor starts again elsewhere.
 *
 * As review case 4, with runners that are older than their longest lease, so
 * that the successor counts on lease_ms only. The store is silent to the
 * scheduler, and the runner with the task is cut off from its successor. */
#include "case.h"

#define RUNNERS 4
#define AGE_MS 16000
#define CUT_MS 10500
#define JOB "00000000000000c4"

static struct daemon *d[DAEMONS];
static struct worker *w[RUNNERS];

int
main(int argc, char **argv)
{
    struct worker *busy = NULL;
    struct daemon *old;
    int n;

    rig_init(argc, argv);
    case_start(d, w, RUNNERS, 0);
    sleep_ms(AGE_MS);
    if (submit(d, DAEMONS, JOB, 1, 500, 0, ",\"persistent\":true", 5000) !=
        200) {
        rig_exit(2, "the job was not accepted");
    }
    sleep_ms(1500);
    for (int i = 0; i < RUNNERS; i++) {
        busy = worker_load(w[i]) > 0 ? w[i] : busy;
    }
    old = store_owner();
    if (busy == NULL || old == NULL) {
        rig_exit(2, "the task does not run");
    }
    if (rig_trouble()) {
        daemon_link(old, LINK_SILENT);
        worker_cut_from(busy, worker_fence(busy) + 1);
    }
    sleep_ms(CUT_MS);
    if (rig_trouble()) {
        if (case_wait_other(old, 0) == NULL) {
            rig_exit(2, "no daemon took over");
        }
        worker_cut_from(busy, 0);
        daemon_link(old, LINK_OK);
    }
    sleep_ms(1500);
    if (rig_trouble() && case_starts_after(JOB, 0) < 2) {
        rig_exit(2, "the successor did not start the task");
    }
    n = check_twice();
    rig_exit(n > 0 ? 1 : 0, "TWICE: %d", n);
}
