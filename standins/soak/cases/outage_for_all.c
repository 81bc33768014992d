/* Guards against work that is lost in an outage of the store: its renewals end
 * with the scheduler's membership, although nobody can take over meanwhile.
 *
 * The store is silent to all daemons for 9 s; the runners are sound. */
#include "case.h"

#define RUNNERS 3
#define TASKS 3
#define OUTAGE_MS 9000
#define JOB "00000000000000d7"

static struct daemon *d[DAEMONS];
static struct worker *w[RUNNERS];

int
main(int argc, char **argv)
{
    struct exec_row rows[64];
    int lapsed = 0;
    int n;

    rig_init(argc, argv);
    case_start(d, w, RUNNERS, 0);
    if (submit(d, DAEMONS, JOB, TASKS, 900, 14000, "", 5000) != 200) {
        rig_exit(2, "the job was not accepted");
    }
    sleep_ms(1500);
    for (int i = 0; i < DAEMONS && rig_trouble(); i++) {
        daemon_link(d[i], LINK_SILENT);
    }
    sleep_ms(OUTAGE_MS);
    for (int i = 0; i < DAEMONS && rig_trouble(); i++) {
        daemon_link(d[i], LINK_OK);
    }
    sleep_ms(2000);
    n = exec_find(JOB, rows, 64);
    for (int i = 0; i < n; i++) {
        lapsed += rows[i].ended != 0 && strcmp(rows[i].how, "lapsed") == 0;
    }
    if (n == 0) {
        rig_exit(2, "no task runs");
    }
    rig_exit(lapsed > 0 ? 1 : 0, "%d of %d runs lapsed", lapsed, n);
}
