/* Guards against TWICE: ends of a new incarnation are acknowledged with the
 * number of its predecessor, and their tasks start again.
 *
 * A runner starts again under its id after its time of day went back, so that
 * its new `born` is the earlier one. Its reports are not believed for some
 * seconds, but a call after the first of them carries the ends that the former
 * incarnation had acknowledged. */
#include "case_held.h"

#define RUNNERS 4
#define BACK_MS 60000
#define DOWN_MS 300
#define ROUNDS 6

static struct daemon *d[DAEMONS];
static struct worker *w[RUNNERS];

static void
submit_job(int i, int count, int ms)
{
    char id[20];

    snprintf(id, sizeof(id), "%016x", 0x9c00 + i);
    if (submit(d, DAEMONS, id, count, 900, ms, "", 5000) != 200) {
        rig_exit(2, "a job was not accepted");
    }
}

int
main(int argc, char **argv)
{
    int n;

    rig_init(argc, argv);
    case_start(d, w, RUNNERS, 0);
    /* Ends with numbers on each runner. */
    for (int i = 0; i < ROUNDS; i++) {
        submit_job(i, RUNNERS, 150);
        sleep_ms(400);
    }
    if (rig_trouble()) {
        worker_crash(w[0]);
        sleep_ms(DOWN_MS);
        held_restart_unnoticed(w[0]);
        pthread_mutex_lock(&rig_lock);
        w[0]->born -= BACK_MS;
        rec("runner %s: born=%lld, earlier than before", w[0]->id, w[0]->born);
        pthread_mutex_unlock(&rig_lock);
    }
    for (int i = 0; i < ROUNDS; i++) {
        submit_job(ROUNDS + i, RUNNERS, 300);
        sleep_ms(500);
    }
    sleep_ms(6000);
    n = check_twice();
    rig_exit(n > 0 ? 1 : 0, "TWICE: %d", n);
}
