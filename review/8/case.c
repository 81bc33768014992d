/* A wave is said to be done, and the upkeep of its machine never begins: see
 * claim.txt. */
#include "../lib-2/rig2.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EARLIER 8        /* runners of the service, from the beginning */
#define CALM_MS 6000     /* before the wave */
#define AGE_MS 400       /* the new machine is so old when the wave is due */
#define DURATION_S 26    /* of the wave, as in the site file's list */

/* ---- the scenario ---- */

/* Waits for the next list that is answered. */
static void
await_list(void)
{
    int seen;
    ms_t until = now_ms() + 5000;

    pthread_mutex_lock(&rig_lock);
    seen = cloud_lists;
    while (cloud_lists == seen) {
        pthread_mutex_unlock(&rig_lock);
        if (now_ms() > until) {
            rig_exit(2, "no daemon asks for the machines");
        }
        sleep_ms(5);
        pthread_mutex_lock(&rig_lock);
    }
    pthread_mutex_unlock(&rig_lock);
}

static const char *
status_now(char *out, size_t max)
{
    char *v = store_get("keyed.status", "wave/1");
    json_t *o = v == NULL ? NULL : json_loads(v, 0, NULL);
    const char *s = json_string_value(json_object_get(o, "state"));

    (void)snprintf(out, max, "%s", s == NULL ? "" : s);
    json_decref(o);
    free(v);
    return out;
}

int
main(int argc, char **argv)
{
    struct machine *m;
    char text[256], state[32], shown[32] = "";
    ms_t ordered_at, done_at = 0;
    bool begun = false, begun_later;

    if (argc < 2) {
        return 2;
    }
    rig_begin(argv[1], 100);
    pthread_mutex_lock(&rig_lock);
    store_begin();
    for (int i = 0; i < EARLIER; i++) {
        char rack[16];

        (void)snprintf(rack, sizeof(rack), "r1-%d", i / 4);
        (void)cloud_add(runner_add("pricing", "a", rack, 16000, 32768));
    }
    cloud_begin(NULL);
    pthread_mutex_unlock(&rig_lock);
    config_service("pricing", true, false);
    config_queue("r-quick", "/quick/", "pricing", 0, 3);
    config_put(1);
    daemons_start(3);
    daemons_ready(10000);
    if (!trouble()) {
        /* It is there from the beginning. */
        pthread_mutex_lock(&rig_lock);
        (void)cloud_add(runner_join("pricing", "a", "r1-2", 16000, 32768, NULL));
        pthread_mutex_unlock(&rig_lock);
    }
    sleep_ms(CALM_MS);
    await_list();
    sleep_ms(50);
    if (trouble()) {
        pthread_mutex_lock(&rig_lock);
        (void)cloud_add(runner_join("pricing", "a", "r1-2", 16000, 32768, NULL));
        pthread_mutex_unlock(&rig_lock);
    }
    sleep_ms(AGE_MS);
    pthread_mutex_lock(&rig_lock);
    m = &machines[machine_count - 1];
    ordered_at = now_ms();
    rec("the operator writes wave 1 of the machine %s, %lld ms after the last "
        "answer with the list of machines",
        m->name, ordered_at - cloud_listed_at);
    (void)snprintf(text, sizeof(text),
                   "{\"wave\":1,\"machines\":[\"%s\"],\"durationS\":%d,"
                   "\"maxCount\":1}",
                   m->name, DURATION_S);
    store_put("keyed.op", "wave/1", text);
    pthread_mutex_unlock(&rig_lock);
    while (now_ms() < ordered_at + (DURATION_S + 14) * 1000) {
        pthread_mutex_lock(&rig_lock);
        (void)status_now(state, sizeof(state));
        if (strcmp(state, shown) != 0) {
            rec("status/wave/1 is '%s'; the machine %s is '%s'; its upkeep "
                "%s",
                state, m->name, m->state,
                m->wave == 1 ? "has begun" : "has not begun");
            (void)snprintf(shown, sizeof(shown), "%s", state);
        }
        if (done_at == 0 && strcmp(state, "succeeded") == 0) {
            done_at = now_ms();
            begun = m->wave == 1;
        }
        pthread_mutex_unlock(&rig_lock);
        sleep_ms(10);
    }
    pthread_mutex_lock(&rig_lock);
    begun_later = m->wave == 1;
    pthread_mutex_unlock(&rig_lock);
    if (done_at == 0) {
        rig_exit(0, "the wave was not said to be done; upkeep %s",
                 begun_later ? "begun" : "not begun");
    }
    if (!begun) {
        rig_exit(1,
                 "MIXED: the wave was said to be succeeded %lld ms after it "
                 "was written, and the upkeep of its machine, which stays, "
                 "had not begun; %lld s later it has %s",
                 done_at - ordered_at, (now_ms() - done_at) / 1000,
                 begun_later ? "begun" : "still not begun");
    }
    rig_exit(0, "the upkeep began before the wave was said to be succeeded");
}
