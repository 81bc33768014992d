/* Guards against TWICE, UNASKED: ends and cancels are acknowledged, not
 * stored, and run again, because two processes of a daemon use one epoch.
 *
 * The scheduler's process ends twice within its membership, in a group of two.
 * The first successor takes the epoch of its former life: its appends count as
 * repeats and are not stored, but what they hold is acknowledged. The second
 * loads the table as it was before: a task whose end was noted starts again,
 * and so does a job whose cancel was acknowledged. */
#include "case.h"

#define RUN_MS 1200
#define CANCEL_MS 3000
#define DUE_MS 9500

static struct daemon *d[DAEMONS];
static struct worker *w[4];

static void
kill_and_start(struct daemon *b)
{
    daemon_kill(b);
    sleep_ms(START_DELAY_MS);
    daemon_start(b);
}

int
main(int argc, char **argv)
{
    static const char done_id[] = "00000000000000d1";
    static const char gone_id[] = "00000000000000d2";
    struct daemon *b;
    char state[16];
    char more[160];
    long long cancelled;
    int twice;
    int unasked;

    rig_init(argc, argv);
    case_start(d, w, 4, 0);
    b = store_owner();
    daemon_kill(b);
    b = case_wait_other(b, 5000);
    sleep_ms(1500);
    /* Due later, so that nothing of it is stored after its cancel. */
    snprintf(more, sizeof(more),
             "}],\"repeats\":1,\"intervalMs\":1000,\"firstMs\":%lld,"
             "\"unused\":[{\"x\":1",
             wall_ms() + DUE_MS);
    /* Two appends of the first life. */
    if (submit(&b, 1, done_id, 1, 800, RUN_MS, "", 3000) != 200 ||
        submit(&b, 1, gone_id, 1, 800, 400, more, 3000) != 200) {
        rig_exit(2, "a job was not accepted");
    }
    if (rig_trouble()) {
        kill_and_start(b);
    }
    sleep_ms(RUN_MS + 500);
    if (call(b, "DELETE", PREFIX "00000000000000d2", "", 3000, NULL, 0) !=
        200) {
        rig_exit(2, "the cancel was not acknowledged");
    }
    cancelled = now_ms();
    (void)get_state(b, done_id, state, sizeof(state));
    if (strcmp(state, "succeeded") != 0) {
        rig_exit(2, "the job is shown as %s", state);
    }
    sleep_ms(CANCEL_MS + 500);
    if (rig_trouble()) {
        kill_and_start(b);
    }
    sleep_ms(4500);
    twice = check_twice();
    unasked = case_starts_after(gone_id, cancelled + CANCEL_MS);
    rig_exit(twice + unasked > 0 ? 1 : 0,
             "TWICE: %d; UNASKED: %d starts after the cancel", twice, unasked);
}
