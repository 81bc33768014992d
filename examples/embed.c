/* Embeds the library without a daemon or network: replays log records into a
 * replica, reads from it which daemon holds a pool, then schedules one job on
 * two workers. */
#include "cuminwalk.h"

#include <stdlib.h>
#include <string.h>

static const char *const records[] = {
    "{\"type\":\"member\",\"id\":\"a-1\",\"by\":\"a\",\"time\":1,"
    "\"daemon\":\"a\",\"incarnation\":1,\"action\":\"join\",\"dc\":\"dc1\","
    "\"address\":\"127.0.0.1:7101\"}",
    "{\"type\":\"member\",\"id\":\"b-1\",\"by\":\"b\",\"time\":2,"
    "\"daemon\":\"b\",\"incarnation\":1,\"action\":\"join\",\"dc\":\"dc2\","
    "\"address\":\"127.0.0.1:7102\"}",
    "{\"type\":\"vm\",\"id\":\"a-2\",\"by\":\"a\",\"time\":3,\"vm\":\"vm1\","
    "\"incarnation\":1,\"pool\":\"stock\",\"dc\":\"dc1\",\"rack\":\"r1\","
    "\"address\":\"127.0.0.1:8001\"}",
};

static int
replay(struct cw_state *s)
{
    char msg[CW_MSG_MAX];
    for (size_t i = 0; i < sizeof(records) / sizeof(records[0]); i++) {
        struct cw_record r;
        if (cw_record_parse(&r, cw_str_from(records[i]), msg) != CW_OK) {
            fprintf(stderr, "record %zu: %s\n", i + 1, msg);
            return 1;
        }
        enum cw_apply_result a = cw_state_apply(s, i + 1, &r);
        cw_record_finish(&r);
        if (a != CW_APPLY_OK) {
            fprintf(stderr, "record %zu: %s\n", i + 1, s->msg);
            return 1;
        }
    }
    return 0;
}

static void
on_action(void *ctx, const struct cw_place_action *a)
{
    (void)ctx;
    if (a->kind == CW_PLACE_START) {
        printf("start %s on %.*s\n", a->task->name.text, CW_FMT(a->worker));
    }
}

static int
schedule(void)
{
    struct cw_place_params params = cw_place_defaults();
    struct cw_place place;
    if (cw_place_init(&place, &params) != CW_OK) {
        fprintf(stderr, "%s\n", place.msg);
        return 1;
    }
    struct cw_size small = {4000, 8192, 0};
    struct cw_size large = {16000, 32768, 2};
    cw_place_worker_report(&place, CW_LIT("w1"), CW_LIT("r1"), small, NULL, 0,
                           0, NULL, NULL);
    cw_place_worker_report(&place, CW_LIT("w2"), CW_LIT("r2"), large, NULL, 0,
                           0, NULL, NULL);
    struct cw_job job;
    memset(&job, 0, sizeof(job));
    cw_name_set(&job.name, CW_LIT("price-run"));
    job.job_class = job.name;
    job.count = 1;
    job.cpu_milli = 3000;
    job.memory_mb = 4096;
    struct cw_doc doc;
    memset(&doc, 0, sizeof(doc));
    cw_name_set(&doc.service, CW_LIT("stock"));
    cw_name_set(&doc.team, CW_LIT("pricing"));
    doc.jobs = &job;
    doc.job_count = 1;
    cw_place_apply_document(&place, &doc, NULL, NULL, 0);
    cw_place_tick(&place, 500, on_action, NULL);
    cw_place_finish(&place);
    return 0;
}

int
main(void)
{
    struct cw_state state;
    cw_state_init(&state);
    int failed = replay(&state);
    if (!failed) {
        const struct cw_member_entry *holder =
            cw_state_holder(&state, CW_LIT("pool/stock"));
        const struct cw_vm_entry *vm = cw_state_vm(&state, CW_LIT("vm1"));
        printf("holder of pool/stock: %s\n", holder->daemon.text);
        printf("pool of vm1: %s\n", vm->pool.text);
    }
    cw_state_finish(&state);
    return failed || schedule();
}
