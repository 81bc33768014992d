/* A runner that failed for some seconds never gets a task again: see
 * claim.txt. */
#include "../lib-2/rig2.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PLAIN 8   /* runners of the kind a, 16 cores and 32 GB each .. */
#define SPECIAL 1 /* .. and of the kind b, in the same service */
#define GREY_MS 6000
#define FINISH_MS 14000 /* finish_s */
#define LOST_MS 3000
#define GOOD 4

static const char lasting[] =
    "{\"spec\":\"ledger\",\"steps\":[{\"count\":1,\"cpu\":1300,\"memMb\":2400,"
    "\"estimateMs\":900,\"persistent\":true,"
    "\"requiredLabel\":\"b\"}]}";
static const char quick[] =
    "{\"spec\":\"price\",\"steps\":[{\"count\":4,\"cpu\":880,\"memMb\":1300,"
    "\"estimateMs\":1000,\"requiredLabel\":\"b\"}]}";

static int
runs_of(const char *id, const char *how)
{
    int n = 0;

    pthread_mutex_lock(&rig_lock);
    for (int i = 0; i < run_log_count; i++) {
        n += strcmp(run_log[i].job, id) == 0 &&
                     (how == NULL || (run_log[i].how != NULL &&
                                      strcmp(run_log[i].how, how) == 0))
                 ? 1
                 : 0;
    }
    pthread_mutex_unlock(&rig_lock);
    return n;
}

static void
set_grey(bool grey)
{
    pthread_mutex_lock(&rig_lock);
    for (int i = 0; i < runner_count; i++) {
        if (strcmp(runners[i]->kind, "b") == 0) {
            runners[i]->fails_all = grey;
        }
    }
    pthread_mutex_unlock(&rig_lock);
    rec("the runner of the kind b %s",
        grey ? "fails all that it starts" : "is sound again");
}

int
main(int argc, char **argv)
{
    char ledger[17], id[17], ids[GOOD][17];
    int lost = 0, at_work = 0;

    if (argc < 2) {
        return 2;
    }
    rig_begin(argv[1], 110);
    pthread_mutex_lock(&rig_lock);
    store_begin();
    for (int i = 0; i < PLAIN + SPECIAL; i++) {
        char rack[16];

        (void)snprintf(rack, sizeof(rack), "r1-%d", i / 4);
        (void)runner_add("pricing", i < PLAIN ? "a" : "b", rack, 16000, 32768);
    }
    pthread_mutex_unlock(&rig_lock);
    config_service("pricing", true, false);
    config_queue("r-quick", "/quick/", "pricing", 0, 3);
    config_queue("r-ledger", "/ledger/", "pricing", 0, 2);
    config_put(1);
    daemons_start(3);
    daemons_ready(10000);
    sleep_ms(2000);
    new_id(ledger);
    if (trouble()) {
        set_grey(true);
    }
    /* Traffic as before: quick jobs, and one that lasts. */
    for (int i = 0; i < GREY_MS / 250; i++) {
        new_id(id);
        if (submit("/quick/", id, quick, 5000) != 200) {
            rig_exit(2, "a job was not accepted");
        }
        if (i == GREY_MS / 500 &&
            submit("/ledger/", ledger, lasting, 5000) != 200) {
            rig_exit(2, "a job was not accepted");
        }
        sleep_ms(250);
    }
    if (trouble()) {
        set_grey(false);
    }
    sleep_ms(25000);
    for (int i = 0; i < GOOD; i++) {
        new_id(ids[i]);
        if (submit("/quick/", ids[i], quick, 5000) != 200) {
            rig_exit(2, "a job was not accepted");
        }
    }
    sleep_ms(FINISH_MS + LOST_MS);
    pthread_mutex_lock(&rig_lock);
    for (int i = 0; i < runner_count; i++) {
        for (struct run *r = runners[i]->runs; r != NULL; r = r->next) {
            at_work += strcmp(r->job, ledger) == 0 ? 1 : 0;
        }
    }
    pthread_mutex_unlock(&rig_lock);
    rec("tasks of the lasting job at work: %d", at_work);
    for (int i = 0; i < GOOD; i++) {
        rec("job %s: %d runs, %d done, state '%s'", ids[i],
            runs_of(ids[i], NULL), runs_of(ids[i], "done"),
            state_of("/quick/", ids[i], 3000));
        lost += runs_of(ids[i], NULL) == 0 ? 1 : 0;
    }
    if (lost > 0) {
        rig_exit(1,
                 "LOST: %d of %d jobs were accepted 25 s after the runner "
                 "was sound again, and nothing of them ran for 17 s",
                 lost, GOOD);
    }
    rig_exit(0, "all jobs ran");
}
