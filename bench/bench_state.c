/* Replay time, memory and snapshot size of the replicated state at the design
 * target: 4,100 VMs, 46 documents, 9 members, 15 days of history with
 * 520 restarts and 293 maintenances a day. */
#include "bench.h"

#include <stdlib.h>
#include <string.h>

enum {
    VMS = 4100,
    DOCS = 46,
    MEMBERS = 9,
    HISTORY_DAYS = 15,
    RESTARTS_PER_DAY = 520,
    MAINTENANCES_PER_DAY = 293,
    REPLAY_RECORDS = 8600, /* records of one day */
    PART_MAX_BYTES = 16 * 1024,
};

struct bench {
    struct cw_state state;
    struct cw_rng rng;
    uint64_t offset;
    cw_ms wall;
    uint64_t ops;
    uint64_t incarnation[VMS];
    size_t next_vm; /* next one to maintain */
    uint64_t refused;
    /* If set, records are printed here as JSON instead of being applied. */
    struct cw_buf *json_texts;
    size_t json_count;
    /* Version of each document, also while records are only printed. */
    uint64_t doc_version[DOCS];
};

static void
format_name(struct cw_name *n, const char *fmt, uint64_t v)
{
    char text[CW_NAME_MAX + 1];
    /* fmt is one of the constants in this file. */
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wformat-nonliteral"
    snprintf(text, sizeof(text), fmt, (unsigned long long)v);
#pragma GCC diagnostic pop
    CW_INVARIANT(cw_name_set(n, cw_str_from(text)) == CW_OK);
}

static struct cw_record
new_record(struct bench *b, enum cw_record_type type)
{
    struct cw_record r;
    memset(&r, 0, sizeof(r));
    r.type = type;
    r.time = b->wall;
    b->offset++;
    format_name(&r.id, "record-%016llx", cw_hash_mix(b->offset, 7));
    format_name(&r.by, "entry-%llu", 1);
    return r;
}

static void
put_record(struct bench *b, const struct cw_record *r)
{
    if (b->json_texts != NULL) {
        cw_buf_init(&b->json_texts[b->json_count]);
        CW_INVARIANT(cw_record_print(r, &b->json_texts[b->json_count++]) ==
                     CW_OK);
        return;
    }
    b->refused += cw_state_apply(&b->state, b->offset, r) != CW_APPLY_OK;
    cw_state_advance(&b->state, b->wall);
}

static void
put_member(struct bench *b, uint64_t i)
{
    struct cw_record r = new_record(b, CW_REC_MEMBER);
    format_name(&r.by, "entry-%llu", i + 1);
    r.u.member.daemon = r.by;
    r.u.member.incarnation = 1;
    format_name(&r.u.member.dc, "dc%llu", i % 6);
    format_name(&r.u.member.address, "10.0.0.%llu:7100", i + 1);
    put_record(b, &r);
}

static void
put_vm(struct bench *b, uint64_t i)
{
    struct cw_record r = new_record(b, CW_REC_VM);
    struct cw_rec_vm *v = &r.u.vm;
    format_name(&v->vm, "vm-%05llu", i);
    v->incarnation = ++b->incarnation[i];
    format_name(&v->pool, "service-%02llu", i % DOCS);
    format_name(&v->dc, "dc%llu", i % 6);
    format_name(&v->rack, "rack-%04llu", i / 4);
    format_name(&v->address, "10.1.0.1:%llu", 1024 + i);
    put_record(b, &r);
}

static void
put_doc(struct bench *b, uint64_t i)
{
    static const char format[] =
        "{\"service\":\"service-%02d\",\"team\":\"team-%02d\",\"capacity\":{"
        "\"vms_min\":60,\"vms_max\":120,\"slots\":8,\"connections\":64},"
        "\"availability\":{\"target\":0.999,\"window_days\":28},"
        "\"maintenance\":{\"every_days\":14,\"drain_ms\":60000,\"windows\":[{"
        "\"days\":[\"mon\",\"tue\",\"wed\",\"thu\"],\"from\":\"22:00\",\"to\":"
        "\"04:00\",\"utc_offset\":\"+05:30\"}]},\"priority\":%d,"
        "\"deadline_ms\":5000,\"idempotent\":[{\"method\":\"PUT\",\"path\":"
        "\"/prices\"}],\"quota\":{\"cpu_milli\":64000,\"memory_mb\":131072},"
        "\"jobs\":[{\"name\":\"run\",\"count\":24,\"cpu_milli\":2000,"
        "\"memory_mb\":4096,\"run_ms\":900000}]}";
    char text[1024];
    int n = snprintf(text, sizeof(text), format, (int)i, (int)i,
                     (int)cw_rng_below(&b->rng, 10));
    struct cw_record r = new_record(b, CW_REC_DOC);
    format_name(&r.u.doc.service, "service-%02llu", i);
    r.u.doc.base = b->doc_version[i];
    r.u.doc.json = (struct cw_str){text, (size_t)n};
    b->doc_version[i] = b->offset;
    put_record(b, &r);
}

static void
put_maintenance(struct bench *b)
{
    static const enum cw_op_step steps[] = {
        CW_STEP_DRAINING,  CW_STEP_DRAINED, CW_STEP_REBOOTING,
        CW_STEP_RETURNING, CW_STEP_DONE,
    };
    uint64_t i = b->next_vm++ % VMS;
    uint64_t op = ++b->ops;
    for (size_t k = 0; k < 5; k++) {
        struct cw_record r = new_record(b, CW_REC_OP);
        struct cw_rec_op *p = &r.u.op;
        format_name(&p->op, "maintain-%llu", op);
        p->kind = CW_OP_MAINTAIN;
        format_name(&p->vm, "vm-%05llu", i);
        format_name(&p->from, "service-%02llu", i % DOCS);
        p->to = p->from;
        format_name(&p->scope, "pool/service-%02llu", i % DOCS);
        snprintf(p->cause, sizeof(p->cause), "due: 14 days since the last");
        p->doc_version = b->doc_version[i % DOCS];
        p->step = steps[k];
        r.by = cw_state_holder(&b->state, cw_name_str(&p->scope))->daemon;
        b->wall += 2000;
        put_record(b, &r);
        if (p->step == CW_STEP_REBOOTING) {
            put_vm(b, i);
        }
    }
}

/* One statistics record of each member; called once a minute. */
static void
put_stats(struct bench *b)
{
    struct cw_stat_service services[DOCS];
    memset(services, 0, sizeof(services));
    for (uint64_t i = 0; i < DOCS; i++) {
        format_name(&services[i].service, "service-%02llu", i);
        services[i].ok = 1000 + cw_rng_below(&b->rng, 9000);
        services[i].failed = cw_rng_below(&b->rng, 3);
        services[i].p50_us = 4000 + cw_rng_below(&b->rng, 2000);
        services[i].p99_us = 40000 + cw_rng_below(&b->rng, 20000);
        services[i].idle_slot_ms = cw_rng_below(&b->rng, 6000000);
        services[i].busy_slot_ms = cw_rng_below(&b->rng, 6000000);
    }
    for (uint64_t m = 0; m < MEMBERS; m++) {
        struct cw_record r = new_record(b, CW_REC_STAT);
        format_name(&r.u.stat.daemon, "entry-%llu", m + 1);
        r.u.stat.from = b->wall - CW_MINUTE;
        r.u.stat.to = b->wall;
        r.u.stat.count = DOCS;
        r.u.stat.services = services;
        put_record(b, &r);
    }
}

static void
put_fleet(struct bench *b)
{
    for (uint64_t i = 0; i < MEMBERS; i++) {
        put_member(b, i);
    }
    for (uint64_t i = 0; i < DOCS; i++) {
        put_doc(b, i);
    }
    for (uint64_t i = 0; i < VMS; i++) {
        put_vm(b, i);
    }
}

static void
put_history(struct bench *b)
{
    for (int day = 0; day < HISTORY_DAYS; day++) {
        cw_ms begin = b->wall;
        size_t restarts = 0, maintained = 0;
        for (size_t minute = 0; minute < 1440; minute++) {
            cw_ms minute_start = begin + (cw_ms)minute * CW_MINUTE;
            b->wall = minute_start > b->wall ? minute_start : b->wall;
            while (restarts * 1440 < (minute + 1) * RESTARTS_PER_DAY) {
                put_vm(b, cw_rng_below(&b->rng, VMS));
                restarts++;
            }
            while (maintained * 1440 < (minute + 1) * MAINTENANCES_PER_DAY) {
                put_maintenance(b);
                maintained++;
            }
            put_stats(b);
        }
        b->wall = begin + CW_DAY;
    }
}

/* ---- measurements --------------------------------------------------- */

/* Parses and applies the 8,600 records of one day on a fleet without
 * history. */
static void
bench_replay(struct bench *b)
{
    put_fleet(b);
    b->json_texts = calloc(REPLAY_RECORDS + 8, sizeof(*b->json_texts));
    CW_INVARIANT(b->json_texts != NULL);
    uint64_t base = b->offset;
    while (b->json_count < REPLAY_RECORDS) {
        /* 1,758 records of maintenances (6 each), 520 of restarts, the rest
         * document edits, on average. */
        uint64_t kind = cw_rng_below(&b->rng, REPLAY_RECORDS);
        if (kind < MAINTENANCES_PER_DAY &&
            b->json_count + 6 <= REPLAY_RECORDS) {
            put_maintenance(b);
        }
        else if (kind < MAINTENANCES_PER_DAY + RESTARTS_PER_DAY) {
            put_vm(b, cw_rng_below(&b->rng, VMS));
        }
        else {
            put_doc(b, cw_rng_below(&b->rng, DOCS));
        }
    }
    size_t bytes = 0;
    uint64_t refused = 0;
    int64_t begin = bench_now_us();
    for (size_t i = 0; i < b->json_count; i++) {
        struct cw_record r;
        char msg[CW_MSG_MAX];
        CW_INVARIANT(cw_record_parse(&r, cw_buf_str(&b->json_texts[i]), msg) ==
                     CW_OK);
        refused += cw_state_apply(&b->state, base + 1 + i, &r) != CW_APPLY_OK;
        cw_record_finish(&r);
        bytes += b->json_texts[i].len;
    }
    double elapsed_ms = (double)(bench_now_us() - begin) / 1000;
    printf("state_replay_records=%zu\n", b->json_count);
    printf("state_replay_bytes=%zu\n", bytes);
    printf("state_replay_ms=%.1f\n", elapsed_ms);
    printf("state_replay_refused=%llu\n", (unsigned long long)refused);
    for (size_t i = 0; i < b->json_count; i++) {
        cw_buf_finish(&b->json_texts[i]);
    }
    free(b->json_texts);
    cw_state_finish(&b->state);
}

struct snapshot_sink {
    size_t count;
    size_t bytes;
    struct cw_state target;
    bool import;
};

static void
on_part(void *ctx, struct cw_str items)
{
    struct snapshot_sink *p = ctx;
    p->count++;
    p->bytes += items.len;
    if (p->import) {
        CW_INVARIANT(cw_state_import(&p->target, items) == CW_OK);
    }
}

static void
bench_snapshot(const struct cw_state *s, const char *name)
{
    struct snapshot_sink p = {.count = 0};
    int64_t begin = bench_now_us();
    CW_INVARIANT(cw_state_export(s, PART_MAX_BYTES, on_part, &p) == CW_OK);
    printf("state_%s_export_ms=%.1f\n", name,
           (double)(bench_now_us() - begin) / 1000);
    printf("state_%s_bytes=%zu\n", name, p.bytes);
    printf("state_%s_parts=%zu\n", name, p.count);
    /* A snapshot's parts are appended at most one every 4 s. */
    printf("state_%s_cycle_s=%zu\n", name, 4 * p.count);
    p.import = true;
    begin = bench_now_us();
    CW_INVARIANT(cw_state_export(s, PART_MAX_BYTES, on_part, &p) == CW_OK);
    cw_state_import_done(&p.target, s->applied);
    printf("state_%s_export_import_ms=%.1f\n", name,
           (double)(bench_now_us() - begin) / 1000);
    CW_INVARIANT(cw_state_digest(&p.target) == cw_state_digest(s));
    cw_state_finish(&p.target);
}

static void
bench_history(struct bench *b)
{
    size_t before = bench_heap_bytes();
    put_fleet(b);
    printf("state_fleet_state_bytes=%zu\n", bench_heap_bytes() - before);
    bench_snapshot(&b->state, "fleet_snapshot");
    int64_t begin = bench_now_us();
    put_history(b);
    printf("state_history_apply_ms=%.1f\n",
           (double)(bench_now_us() - begin) / 1000);
    printf("state_history_records=%llu\n", (unsigned long long)b->offset);
    printf("state_history_refused=%llu\n", (unsigned long long)b->refused);
    printf("state_history_ops=%zu\n", b->state.op_count);
    printf("state_history_stats=%zu\n", b->state.stat_count);
    printf("state_history_state_bytes=%zu\n", bench_heap_bytes() - before);
    bench_snapshot(&b->state, "history_snapshot");
    for (int i = 0; i < CW_EDITS_MAX; i++) {
        put_doc(b, cw_rng_below(&b->rng, DOCS));
    }
    printf("state_edits_kept=%zu\n", b->state.edit_count);
    printf("state_edits_state_bytes=%zu\n", bench_heap_bytes() - before);
    bench_snapshot(&b->state, "edits_snapshot");
    cw_state_finish(&b->state);
}

static void
bench_init(struct bench *b, uint64_t seed)
{
    memset(b, 0, sizeof(*b));
    cw_state_init(&b->state);
    cw_rng_init(&b->rng, seed);
    b->wall = 1796361240000;
}

int
main(int argc, char **argv)
{
    uint64_t seed = bench_seed(argc, argv);
    static struct bench b;
    bench_init(&b, seed);
    bench_replay(&b);
    bench_init(&b, seed);
    bench_history(&b);
    return 0;
}
