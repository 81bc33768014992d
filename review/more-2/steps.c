/* Jobs of many steps that are due at one time stop the whole job service: see
 * REPORT-2.md. */
#include "../lib-2/rig2.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RUNNERS 9  /* of the first service, 16 cores and 32 GB each */
#define OTHERS 4   /* of the second one */
#define TIMED 150  /* jobs that are due at one time .. */
#define STEPS 64   /* .. of so many steps of one task */
#define EACH_MS 65 /* between two of them: 15 a second */
#define DUE_MS 14000
#define FINISH_MS 14000 /* finish_s */
#define LOST_MS 3000    /* for which nothing runs */

static const char two_steps[] =
    "{\"spec\":\"stock\",\"steps\":[{\"count\":2,\"cpu\":1000,\"memMb\":512,"
    "\"estimateMs\":4000},{\"count\":2,\"cpu\":1000,\"memMb\":512,"
    "\"estimateMs\":1000,\"after\":[0]}]}";

/* The job's second step has started. */
static bool
second_step_began(const char *id)
{
    bool yes = false;

    pthread_mutex_lock(&rig_lock);
    for (int i = 0; i < run_log_count; i++) {
        yes |= strcmp(run_log[i].job, id) == 0 && run_log[i].step == 1;
    }
    pthread_mutex_unlock(&rig_lock);
    return yes;
}

int
main(int argc, char **argv)
{
    static char body[20000];
    char id[17], small[17];
    const char *state;
    ms_t due;
    size_t n;
    int began = 0;
    bool ok;

    if (argc < 2) {
        return 2;
    }
    rig_begin(argv[1], 100);
    pthread_mutex_lock(&rig_lock);
    store_begin();
    for (int i = 0; i < RUNNERS + OTHERS; i++) {
        char rack[16];

        (void)snprintf(rack, sizeof(rack), "r1-%d", i / 4);
        (void)runner_add(i < RUNNERS ? "pricing" : "stock", "a", rack, 16000,
                         32768);
    }
    pthread_mutex_unlock(&rig_lock);
    config_service("pricing", true, false);
    config_service("stock", true, false);
    config_queue("r-quick", "/quick/", "pricing", 0, 3);
    config_queue("r-stock", "/stock/", "stock", 0, 3);
    config_put(1);
    daemons_start(3);
    daemons_ready(10000);
    sleep_ms(2000);
    due = wall_ms() + DUE_MS;
    n = (size_t)snprintf(
        body, sizeof(body),
        "{\"spec\":\"rebuild\",\"repeats\":1,\"firstMs\":%lld,"
        "\"intervalMs\":60000,\"steps\":[",
        due);
    for (int i = 0; i < STEPS; i++) {
        n += (size_t)snprintf(body + n, sizeof(body) - n,
                              "%s{\"count\":1,\"cpu\":1000,\"memMb\":512,"
                              "\"estimateMs\":1000}",
                              i > 0 ? "," : "");
    }
    (void)snprintf(body + n, sizeof(body) - n, "]}");
    for (int i = 0; trouble() && i < TIMED; i++) {
        new_id(id);
        if (submit("/quick/", id, body, 5000) != 200) {
            rig_exit(2, "a job was not accepted");
        }
        sleep_ms(EACH_MS);
    }
    while (wall_ms() < due - 2000) {
        sleep_ms(20);
    }
    new_id(small);
    if (submit("/stock/", small, two_steps, 5000) != 200) {
        rig_exit(2, "the small job was not accepted");
    }
    /* Its first step ends 4 s after its start; then the turn of the second has
     * come, on runners that run nothing. The traffic ends here. */
    sleep_ms(FINISH_MS);
    for (int i = 0; i < LOST_MS / 100 && !second_step_began(small); i++) {
        sleep_ms(100);
    }
    ok = second_step_began(small);
    rec("%d s after the last job was handed in: second step of %s began: %d",
        (FINISH_MS + LOST_MS) / 1000, small, ok);
    state = state_of("/stock/", small, 3000);
    rec("the state of %s is '%s'", small, state);
    pthread_mutex_lock(&rig_lock);
    for (int i = 0; i < run_log_count; i++) {
        began += strcmp(run_log[i].job, small) != 0 ? 1 : 0;
    }
    pthread_mutex_unlock(&rig_lock);
    rec("%d of the %d tasks that were due have begun", began,
        trouble() ? TIMED * STEPS : 0);
    if (!ok) {
        rig_exit(
            1,
            "LOST: job %s was accepted, the turn of its second step came, "
            "and nothing of it ran for 3 s from finish_s on, on runners "
            "that were free; its state was '%s'",
            small, state);
    }
    if (state[0] == '\0') {
        rig_exit(1, "LOST: job %s was accepted, and nobody tells its state",
                 small);
    }
    rig_exit(0, "all jobs went on");
}
