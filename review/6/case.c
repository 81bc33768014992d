/* The work of a lost runner is never started again: see claim.txt. */
#include "../lib-2/rig2.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RUNNERS 9 /* 16 cores and 32 GB each */
#define BATCH 3   /* jobs that run when the runner is lost */
#define WAIT_MS 30000

static const char lasting[] =
    "{\"spec\":\"ledger\",\"steps\":[{\"count\":5,\"cpu\":1300,\"memMb\":2400,"
    "\"estimateMs\":900,\"persistent\":true,\"maxPerServer\":1,"
    "\"mayMiss\":1}]}";
static const char batch[] =
    "{\"spec\":\"settle\",\"steps\":[{\"count\":8,\"cpu\":1900,\"memMb\":2000,"
    "\"estimateMs\":5000}]}";

/* Runs of a job that are at work. */
static int
at_work(const char *id)
{
    int n = 0;

    pthread_mutex_lock(&rig_lock);
    for (int i = 0; i < run_log_count; i++) {
        n += strcmp(run_log[i].job, id) == 0 && run_log[i].ended == 0 ? 1 : 0;
    }
    pthread_mutex_unlock(&rig_lock);
    return n;
}

/* The runner with the most tasks. */
static struct runner *
busiest(void)
{
    struct runner *best = NULL;
    int most = -1;

    for (int i = 0; i < runner_count; i++) {
        int n = 0;

        for (struct run *r = runners[i]->runs; r != NULL; r = r->next) {
            n += r->lasts ? 100 : 1;
        }
        if (n > most) {
            most = n;
            best = runners[i];
        }
    }
    return best;
}

int
main(int argc, char **argv)
{
    char ledger[17], ids[BATCH][17];
    int missing, open_jobs = 0;
    ms_t lost_at = 0;

    if (argc < 2) {
        return 2;
    }
    rig_begin(argv[1], 80);
    pthread_mutex_lock(&rig_lock);
    store_begin();
    for (int i = 0; i < RUNNERS; i++) {
        char rack[16];

        (void)snprintf(rack, sizeof(rack), "r1-%d", i / 4);
        runner_add("settlement", "a", rack, 16000, 32768)->closes = true;
    }
    pthread_mutex_unlock(&rig_lock);
    config_service("settlement", true, false);
    config_queue("r-day", "/day/", "settlement", 1, 2);
    config_queue("r-audit", "/audit/", "settlement", 0, 2);
    config_put(1);
    daemons_start(3);
    daemons_ready(10000);
    sleep_ms(2000);
    new_id(ledger);
    if (submit("/audit/", ledger, lasting, 5000) != 200) {
        rig_exit(2, "a job was not accepted");
    }
    for (int i = 0; i < 50 && at_work(ledger) < 5; i++) {
        sleep_ms(100);
    }
    sleep_ms(5000);
    for (int i = 0; i < BATCH; i++) {
        new_id(ids[i]);
        if (submit("/day/", ids[i], batch, 5000) != 200) {
            rig_exit(2, "a job was not accepted");
        }
    }
    sleep_ms(2000);
    rec("%d tasks of the lasting job are at work", at_work(ledger));
    if (at_work(ledger) < 5) {
        rig_exit(2, "the tasks did not start");
    }
    if (trouble()) {
        pthread_mutex_lock(&rig_lock);
        runner_crash(busiest());
        pthread_mutex_unlock(&rig_lock);
    }
    lost_at = now_ms();
    while (now_ms() < lost_at + WAIT_MS) {
        sleep_ms(5000);
        rec("%lld s later: %d tasks of the lasting job are at work",
            (now_ms() - lost_at) / 1000, at_work(ledger));
    }
    missing = 5 - at_work(ledger);
    for (int i = 0; i < BATCH; i++) {
        const char *state = state_of("/day/", ids[i], 3000);

        rec("job %s: state '%s', %d runs at work", ids[i], state,
            at_work(ids[i]));
        open_jobs += strcmp(state, "succeeded") != 0 && at_work(ids[i]) == 0;
    }
    if (missing > 0 || open_jobs > 0) {
        rig_exit(
            1,
            "LOST: %d s after the runner was lost, %d tasks that last and "
            "the rest of %d jobs don't run, with room for them on %d "
            "runners",
            WAIT_MS / 1000, missing, open_jobs, RUNNERS - 1);
    }
    rig_exit(0, "all tasks run, or are done");
}
