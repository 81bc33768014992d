/* One large job stops the whole job service for good: see REPORT-2.md. */
#include "../lib-2/rig2.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RUNNERS 40      /* of the first service, 64 cores and 128 GB each */
#define OTHERS 4        /* of the second one */
#define TASKS 6400      /* of the large job, 0.4 cores and 512 MB each */
#define FINISH_MS 14000 /* finish_s */
#define LOST_MS 3000    /* for which nothing runs */

static const char two_steps[] =
    "{\"spec\":\"settle\",\"steps\":[{\"count\":2,\"cpu\":1000,\"memMb\":512,"
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
    char large[17], small[17], later_job[17];
    char body[256];
    const char *state;
    bool ok;

    if (argc < 2) {
        return 2;
    }
    rig_begin(argv[1], 115);
    pthread_mutex_lock(&rig_lock);
    store_begin();
    for (int i = 0; i < RUNNERS; i++) {
        char rack[16];

        (void)snprintf(rack, sizeof(rack), "r1-%d", i / 20);
        (void)runner_add("counterdesk", "a", rack, 64000, 131072);
    }
    for (int i = 0; i < OTHERS; i++) {
        (void)runner_add("retailgate", "a", "r2-0", 16000, 32768);
    }
    pthread_mutex_unlock(&rig_lock);
    config_service("counterdesk", true, false);
    config_service("retailgate", true, false);
    config_queue("r-bulk", "/bulk/", "counterdesk", 0, 3);
    config_queue("r-settle", "/settle/", "retailgate", 0, 3);
    config_put(1);
    daemons_start(3);
    daemons_ready(10000);
    sleep_ms(2000);
    new_id(small);
    new_id(large);
    new_id(later_job);
    if (submit("/settle/", small, two_steps, 5000) != 200) {
        rig_exit(2, "the first job was not accepted");
    }
    if (trouble()) {
        (void)snprintf(body, sizeof(body),
                       "{\"spec\":\"reprint\",\"steps\":[{\"count\":1,"
                       "\"cpu\":400,\"memMb\":512,\"estimateMs\":1000},"
                       "{\"count\":%d,\"cpu\":400,\"memMb\":512,"
                       "\"estimateMs\":8000,\"after\":[0]}]}",
                       TASKS);
        if (submit("/bulk/", large, body, 5000) != 200) {
            rig_exit(2, "the large job was not accepted");
        }
    }
    /* The first step ends 4 s after its start; then the turn of the second has
     * come, on runners that run nothing. The traffic ends here. */
    sleep_ms(FINISH_MS);
    for (int i = 0; i < LOST_MS / 100 && !second_step_began(small); i++) {
        sleep_ms(100);
    }
    ok = second_step_began(small);
    rec("%d s after the last job was handed in: second step of %s began: %d",
        (FINISH_MS + LOST_MS) / 1000, small, ok);
    (void)submit("/settle/", later_job, two_steps, 2000);
    for (int i = 0; i < daemon_count; i++) {
        rec("daemon %s: killed and started again", daemons[i].name);
        daemon_signal(&daemons[i], 9);
    }
    for (int i = 0; i < daemon_count; i++) {
        daemon_start(&daemons[i]);
    }
    sleep_ms(FINISH_MS);
    state = state_of("/settle/", small, 3000);
    rec("%d s later: the state of %s is '%s'", FINISH_MS / 1000, small, state);
    pthread_mutex_lock(&rig_lock);
    rec("store: %lld appends of the job service stored, %lld refused for "
        "their size, largest record %lld bytes",
        store_appends, store_refused_sizes, store_refused_bytes);
    pthread_mutex_unlock(&rig_lock);
    if (!ok) {
        rig_exit(
            1,
            "LOST: job %s was accepted, the turn of its second step came, "
            "and nothing of it ran for 3 s from finish_s on, on runners "
            "that were free; after a restart of all daemons its state "
            "was '%s'",
            small, state);
    }
    if (state[0] == '\0') {
        rig_exit(1, "LOST: job %s was accepted, and nobody tells its state",
                 small);
    }
    rig_exit(0, "all jobs went on");
}
