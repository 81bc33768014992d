/* Guards against TWICE: a start begins again after its run has ended done.
 *
 * A start order gets no answer and is held up; its repeat is carried out, the
 * run ends done, and the end is acknowledged. Then the runner starts again
 * under its id, without its list of ended runs, and the first order arrives.
 */
#include "case_held.h"

#define RUNNERS 4
#define DOWN_MS 300
#define JOB "0000000000009b00"

static struct daemon *d[DAEMONS];
static struct worker *w[RUNNERS];

static bool
wait_noted(long long timeout)
{
    long long until = now_ms() + timeout;
    struct exec_row row;

    while (now_ms() < until) {
        if (exec_find(JOB, &row, 1) == 1 && row.acked != 0) {
            return row.worker == held.worker && strcmp(row.how, "done") == 0;
        }
        sleep_ms(5);
    }
    return false;
}

int
main(int argc, char **argv)
{
    int n;

    rig_init(argc, argv);
    case_start(d, w, RUNNERS, 0);
    for (int i = 0; i < RUNNERS; i++) {
        held_wrap(w[i]);
    }
    held_first = true;
    held_arm(rig_trouble());
    if (submit(d, DAEMONS, JOB, 1, 900, 500, "", 5000) != 200) {
        rig_exit(2, "the job was not accepted");
    }
    if (rig_trouble()) {
        if (!held_wait(3000)) {
            rig_exit(2, "no start order");
        }
        if (!wait_noted(5000)) {
            rig_exit(2, "the repeat did not end done on the same runner");
        }
        worker_crash(held.worker);
        sleep_ms(DOWN_MS);
        held_restart_unnoticed(held.worker);
        (void)held_arrives();
    }
    sleep_ms(2500);
    n = check_twice();
    rig_exit(n > 0 ? 1 : 0, "TWICE: %d", n);
}
