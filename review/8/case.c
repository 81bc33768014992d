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
#define UPKEEP_MS 2000   /* upkeepS */
#define MACHINES_MAX 32

/* ---- the machines' control ---- */

struct machine {
    char name[32];
    struct runner *runner; /* the one that it has, or had last */
    const char *state;
    long long wave; /* of its upkeep, 0: none has begun */
    ms_t upkeep_at;
};

static struct machine machines[MACHINES_MAX];
static int machine_count;
static int lists_served;
static ms_t list_served_at;

static void
machine_add(struct runner *w)
{
    struct machine *m = &machines[machine_count++];

    (void)snprintf(m->name, sizeof(m->name), "%s", w->machine);
    m->runner = w;
    m->state = "up";
}

static void
serve_list(struct req *r)
{
    json_t *rows = json_array();

    for (int i = 0; i < machine_count; i++) {
        const struct machine *m = &machines[i];
        const struct runner *w = m->runner;
        json_t *row = json_pack(
            "{s:s,s:s,s:s,s:s,s:[s,s],s:{s:I,s:I}}", "machine", m->name,
            "pool", w->service, "state", m->state, "zone", "z-a", "labels",
            w->kind, w->rack, "capacity", "cpu", (json_int_t)w->cpu, "memMb",
            (json_int_t)w->mem);

        if (strcmp(m->state, "up") == 0) {
            json_object_set_new(row, "id", json_string(w->id));
        }
        json_array_append_new(rows, row);
    }
    answer_json(r, 200, json_pack("{s:o}", "machines", rows), now_ms());
    lists_served++;
    list_served_at = now_ms();
}

static void
end_upkeep(void *arg)
{
    struct machine *m = arg;
    const struct runner *w = m->runner;

    m->runner = runner_join(w->service, w->kind, w->rack, w->cpu, w->mem,
                            m->name);
    m->state = "up";
}

static void
serve_upkeep(struct req *r)
{
    json_t *o = json_loadb(r->body, r->body_len, 0, NULL);
    const char *name = json_string_value(json_object_get(o, "machine"));
    long long wave = json_integer_value(json_object_get(o, "wave"));
    struct machine *m = NULL;
    const char *reason = "busy";

    for (int i = 0; i < machine_count && name != NULL; i++) {
        if (strcmp(machines[i].name, name) == 0) {
            m = &machines[i];
        }
    }
    rec("upkeep of %s, wave %lld, is ordered", name == NULL ? "?" : name,
        wave);
    json_decref(o);
    if (m == NULL) {
        answer_json(r, 400, json_object(), now_ms());
    }
    else if (m->wave == wave) {
        answer_json(r, 200, json_object(), now_ms());
    }
    else if (strcmp(m->state, "up") != 0) {
        answer_json(r, 409, json_pack("{s:s}", "reason", reason), now_ms());
    }
    else {
        m->wave = wave;
        m->upkeep_at = now_ms();
        m->state = "upkeep";
        runner_crash(m->runner);
        later(now_ms() + UPKEEP_MS, end_upkeep, m);
        answer_json(r, 200, json_object(), now_ms());
    }
}

static void
serve_cloud(void *ctx, struct req *r)
{
    (void)ctx;
    if (strcmp(r->method, "GET") == 0 &&
        strncmp(r->path, "/v1/machines", 12) == 0) {
        serve_list(r);
    }
    else if (strcmp(r->path, "/v1/machine-upkeep") == 0) {
        serve_upkeep(r);
    }
    else {
        /* There is one pool: no machine can move. */
        answer_json(r, 400, json_object(), now_ms());
    }
}

/* ---- the scenario ---- */

/* Waits for the next list that is answered. */
static void
await_list(void)
{
    int seen;
    ms_t until = now_ms() + 5000;

    pthread_mutex_lock(&rig_lock);
    seen = lists_served;
    while (lists_served == seen) {
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
        machine_add(runner_add("pricing", "a", rack, 16000, 32768));
    }
    cloud_port = serve(serve_cloud, NULL);
    pthread_mutex_unlock(&rig_lock);
    config_service("pricing", true, false);
    config_queue("r-quick", "/quick/", "pricing", 0, 3);
    config_put(1);
    daemons_start(3);
    daemons_ready(10000);
    if (!trouble()) {
        /* It is there from the beginning. */
        pthread_mutex_lock(&rig_lock);
        machine_add(runner_join("pricing", "a", "r1-2", 16000, 32768, NULL));
        pthread_mutex_unlock(&rig_lock);
    }
    sleep_ms(CALM_MS);
    await_list();
    sleep_ms(50);
    if (trouble()) {
        pthread_mutex_lock(&rig_lock);
        machine_add(runner_join("pricing", "a", "r1-2", 16000, 32768, NULL));
        pthread_mutex_unlock(&rig_lock);
    }
    sleep_ms(AGE_MS);
    pthread_mutex_lock(&rig_lock);
    m = &machines[machine_count - 1];
    ordered_at = now_ms();
    rec("the operator writes wave 1 of the machine %s, %lld ms after the last "
        "answer with the list of machines",
        m->name, ordered_at - list_served_at);
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
