/* A job that can never be done keeps all runners of a service free: see
 * claim.txt. */
#include "../lib-2/rig2.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RUNNERS 9  /* of the service, 16 cores and 32 GB each, no GPU .. */
#define OFF 3      /* .. and machines like them in the spare pool */
#define EARLIER 20 /* quick jobs before the one that can never be done .. */
#define GOOD 20    /* .. and after it */
#define FINISH_MS 14000 /* finish_s */
#define LOST_MS 3000

static const char hopeless[] =
    "{\"spec\":\"train\",\"steps\":[{\"count\":16,\"cpu\":16000,\"memMb\":"
    "16384,"
    "\"gpu\":1,\"estimateMs\":1000,\"gang\":true,\"persistent\":true}]}";
static const char good[] =
    "{\"spec\":\"price\",\"steps\":[{\"count\":4,\"cpu\":1000,\"memMb\":512,"
    "\"estimateMs\":1000}]}";

/* Runners of the service that are up and run nothing. */
static int
count_idle(void)
{
    int n = 0;

    pthread_mutex_lock(&rig_lock);
    for (int i = 0; i < runner_count; i++) {
        n += runners[i]->up && runners[i]->runs == NULL ? 1 : 0;
    }
    pthread_mutex_unlock(&rig_lock);
    return n;
}

int
main(int argc, char **argv)
{
    char ids[GOOD][17], id[17];
    int lost = 0, idle = RUNNERS + OFF;

    if (argc < 2) {
        return 2;
    }
    rig_begin(argv[1], 100);
    pthread_mutex_lock(&rig_lock);
    store_begin();
    cloud_begin("roster");
    for (int i = 0; i < RUNNERS; i++) {
        char rack[16];

        (void)snprintf(rack, sizeof(rack), "r1-%d", i / 4);
        (void)cloud_add(runner_add("pricing", "a", rack, 16000, 32768));
    }
    for (int i = 0; i < OFF; i++) {
        char name[16];

        (void)snprintf(name, sizeof(name), "m-%05x", 0x0a400 + i);
        (void)cloud_add_off(name, "a", "r1-3", 16000, 32768);
    }
    pthread_mutex_unlock(&rig_lock);
    config_service("pricing", true, false);
    config_service("roster", true, true);
    config_queue("r-quick", "/quick/", "pricing", 0, 3);
    config_queue("r-ledger", "/ledger/", "pricing", 0, 2);
    config_put(1);
    daemons_start(3);
    daemons_ready(10000);
    sleep_ms(2000);
    for (int i = 0; i < EARLIER; i++) {
        new_id(id);
        if (submit("/quick/", id, good, 5000) != 200) {
            rig_exit(2, "a job was not accepted");
        }
        sleep_ms(130);
    }
    new_id(id);
    if (trouble() && submit("/ledger/", id, hopeless, 5000) != 200) {
        rig_exit(2, "a job was not accepted");
    }
    for (int i = 0; i < GOOD; i++) {
        sleep_ms(130);
        new_id(ids[i]);
        if (submit("/quick/", ids[i], good, 5000) != 200) {
            rig_exit(2, "a job was not accepted");
        }
    }
    for (ms_t waited = 0; waited < FINISH_MS + LOST_MS; waited += 500) {
        sleep_ms(500);
        /* Machines that are due to be idle need 1.5 s to come. */
        if (waited >= 5000 && count_idle() < idle) {
            idle = count_idle();
        }
    }
    for (int i = 0; i < GOOD; i++) {
        int runs = 0;
        const char *state = state_of("/quick/", ids[i], 3000);

        pthread_mutex_lock(&rig_lock);
        for (int k = 0; k < run_log_count; k++) {
            runs += strcmp(run_log[k].job, ids[i]) == 0 ? 1 : 0;
        }
        pthread_mutex_unlock(&rig_lock);
        rec("job %s: %d runs, state '%s'", ids[i], runs, state);
        lost += runs == 0 ? 1 : 0;
    }
    if (lost > 0) {
        rig_exit(1,
                 "LOST: %d of %d jobs were accepted and nothing of them "
                 "ran for 17 s; at least %d runners ran nothing meanwhile",
                 lost, GOOD, idle);
    }
    rig_exit(0, "all good jobs ran");
}
