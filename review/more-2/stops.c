/* Tasks of a cancelled job run on for seconds: see REPORT-2.md. */
#include "../lib-2/rig2.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RUNNERS 9 /* 16 cores and 32 GB each */
#define TASKS 288 /* 32 of half a core on each runner */
#define OTHERS 3 /* jobs besides, which nobody cancels */
#define STOP_MS 350 /* a stop takes so long; stopMs is 400 */
#define BOUND_MS (3000 + 400) /* cancel_ms and stopMs */

static const char *const other =
    "{\"spec\":\"check\",\"steps\":[{\"count\":2,\"cpu\":50,\"memMb\":128,"
    "\"estimateMs\":500}]}";

static int
at_work(const char *id)
{
    int n = 0;

    pthread_mutex_lock(&rig_lock);
    for (int i = 0; i < runner_count; i++) {
        for (struct run *r = runners[i]->runs; r != NULL; r = r->next) {
            n += strcmp(r->job, id) == 0 ? 1 : 0;
        }
    }
    pthread_mutex_unlock(&rig_lock);
    return n;
}

int
main(int argc, char **argv)
{
    char body[256], id[17], next[17];
    ms_t acked;
    int left = 0;

    if (argc < 2) {
        return 2;
    }
    rig_begin(argv[1], 60);
    pthread_mutex_lock(&rig_lock);
    store_begin();
    for (int i = 0; i < RUNNERS; i++) {
        char rack[16];
        struct runner *w;

        (void)snprintf(rack, sizeof(rack), "r1-%d", i / 4);
        w = runner_add("settlement", "a", rack, 16000, 32768);
        w->stop_ms = STOP_MS;
        w->stop_waits = true;
    }
    pthread_mutex_unlock(&rig_lock);
    config_service("settlement", true, false);
    config_queue("r-day", "/day/", "settlement", 1, 2);
    config_put(1);
    daemons_start(3);
    daemons_ready(10000);
    sleep_ms(2000);
    new_id(id);
    (void)snprintf(body, sizeof(body),
                   "{\"spec\":\"settle\",\"steps\":[{\"count\":%d,\"cpu\":500,"
                   "\"memMb\":512,\"estimateMs\":30000}]}",
                   TASKS);
    if (submit("/day/", id, body, 5000) != 200) {
        rig_exit(2, "the job was not accepted");
    }
    for (int i = 0; i < OTHERS; i++) {
        new_id(next);
        if (submit("/day/", next, other, 5000) != 200) {
            rig_exit(2, "a job was not accepted");
        }
    }
    for (int i = 0; i < 100 && at_work(id) < TASKS; i++) {
        sleep_ms(100);
    }
    rec("%d of %d tasks of %s are at work", at_work(id), TASKS, id);
    if (at_work(id) < TASKS) {
        rig_exit(2, "the tasks did not start");
    }
    if (!trouble()) {
                sleep_ms(BOUND_MS);
        rig_exit(0, "no job was cancelled");
    }
    if (cancel("/day/", id, 5000) != 200) {
        rig_exit(2, "the cancel was not acknowledged");
    }
    acked = now_ms();
    while (now_ms() < acked + 15000) {
        int n = at_work(id);
        ms_t t = now_ms() - acked;

        rec("%lld ms after the acknowledgement: %d tasks at work", t, n);
        if (t > BOUND_MS + 100 && left == 0) {
            left = n;
        }
        if (n == 0) {
            break;
        }
        sleep_ms(500);
    }
    if (left > 0) {
        rig_exit(1, "UNASKED: %d of %d tasks ran on later than cancel_ms and "
                    "stopMs after the acknowledgement; the last ended %lld ms "
                    "after it",
                 left, TASKS, now_ms() - acked);
    }
    rig_exit(0, "all tasks were stopped in time");
}
