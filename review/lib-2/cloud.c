/* The machines' control (`cloudApi`): their list, moves and upkeeps. */
#include "rig2.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MOVE_MS 1500   /* moveS */
#define UPKEEP_MS 2000 /* upkeepS */

struct machine machines[MACHINES_MAX];
int machine_count;
int cloud_lists;
ms_t cloud_listed_at;
static char spare_pool[32];

static struct machine *
add(const char *name, const char *pool, const char *kind, const char *rack,
    long cpu, long mem)
{
    struct machine *m = &machines[machine_count];

    if (machine_count == MACHINES_MAX) {
        rig_exit(2, "too many machines");
    }
    machine_count++;
    (void)snprintf(m->name, sizeof(m->name), "%s", name);
    (void)snprintf(m->pool, sizeof(m->pool), "%s", pool);
    (void)snprintf(m->kind, sizeof(m->kind), "%s", kind);
    (void)snprintf(m->rack, sizeof(m->rack), "%s", rack);
    m->cpu = cpu;
    m->mem = mem;
    m->state = "up";
    return m;
}

struct machine *
cloud_add(struct runner *w)
{
    struct machine *m =
        add(w->machine, w->service, w->kind, w->rack, w->cpu, w->mem);

    m->runner = w;
    return m;
}

struct machine *
cloud_add_off(const char *name, const char *kind, const char *rack, long cpu,
              long mem)
{
    return add(name, spare_pool, kind, rack, cpu, mem);
}

static void
serve_list(struct req *r)
{
    json_t *rows = json_array();

    for (int i = 0; i < machine_count; i++) {
        const struct machine *m = &machines[i];
        json_t *row = json_pack(
            "{s:s,s:s,s:s,s:s,s:[s,s],s:{s:I,s:I}}", "machine", m->name,
            "pool", m->pool, "state", m->state, "zone", "z-a", "labels",
            m->kind, m->rack, "capacity", "cpu", (json_int_t)m->cpu, "memMb",
            (json_int_t)m->mem);

        if (m->runner != NULL) {
            json_object_set_new(row, "id", json_string(m->runner->id));
        }
        json_array_append_new(rows, row);
    }
    answer_json(r, 200, json_pack("{s:o}", "machines", rows), now_ms());
    cloud_lists++;
    cloud_listed_at = now_ms();
}

static void
comes_up(void *arg)
{
    struct machine *m = arg;

    m->state = "up";
    if (strcmp(m->pool, spare_pool) != 0) {
        m->runner =
            runner_join(m->pool, m->kind, m->rack, m->cpu, m->mem, m->name);
    }
}

static void
refuse(struct req *r, int status, const char *reason)
{
    answer_json(r, status,
                reason == NULL ? json_object()
                               : json_pack("{s:s}", "reason", reason),
                now_ms());
}

/* Ends what is on the machine, which comes back after some time. */
static void
accept_order(struct req *r, struct machine *m, const char *state, ms_t ms)
{
    if (m->runner != NULL) {
        runner_crash(m->runner);
        m->runner = NULL;
    }
    m->state = state;
    later(now_ms() + ms, comes_up, m);
    answer_json(r, 200, json_object(), now_ms());
}

static void
serve_order(struct req *r, bool move)
{
    json_t *o = json_loadb(r->body, r->body_len, 0, NULL);
    const char *name = json_string_value(json_object_get(o, "machine"));
    const char *pool = json_string_value(json_object_get(o, "pool"));
    long long wave = json_integer_value(json_object_get(o, "wave"));
    struct machine *m = NULL;
    char token[32] = "0";

    (void)header(r, "X-Fencing-Token", token, sizeof(token));
    for (int i = 0; i < machine_count && name != NULL; i++) {
        if (strcmp(machines[i].name, name) == 0) {
            m = &machines[i];
        }
    }
    if (m == NULL || (move && pool == NULL)) {
        refuse(r, 400, NULL);
    }
    else if (atoll(token) < m->fence) {
        refuse(r, 409, "fence");
    }
    else if (move ? strcmp(m->pool, pool) == 0 : m->wave == wave) {
        m->fence = atoll(token);
        refuse(r, 200, NULL); /* done already */
    }
    else if (strcmp(m->state, "up") != 0) {
        m->fence = atoll(token);
        refuse(r, 409, "busy");
    }
    else if (move) {
        rec("machine %s: moves from %s to %s", m->name, m->pool, pool);
        m->fence = atoll(token);
        (void)snprintf(m->pool, sizeof(m->pool), "%s", pool);
        accept_order(r, m, "moving", MOVE_MS);
    }
    else {
        rec("machine %s: upkeep of wave %lld begins", m->name, wave);
        m->fence = atoll(token);
        m->wave = wave;
        accept_order(r, m, "upkeep", UPKEEP_MS);
    }
    json_decref(o);
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
        serve_order(r, false);
    }
    else if (strcmp(r->path, "/v1/machine-move") == 0) {
        serve_order(r, true);
    }
    else {
        refuse(r, 404, NULL);
    }
}

void
cloud_begin(const char *spare)
{
    (void)snprintf(spare_pool, sizeof(spare_pool), "%s",
                   spare == NULL ? "" : spare);
    cloud_port = serve(serve_cloud, NULL);
}
