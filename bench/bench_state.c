/* Replay time, memory and snapshot size of the replicated state at the design
 * target: 4,100 VMs, 46 documents, 9 members, 15 days of history with 520
 * restarts and 293 maintenances a day. */
#include "bench.h"

#include <stdlib.h>
#include <string.h>

enum {
    VMS = 4100,
    DOCS = 46,
    MEMBERS = 9,
    DAYS = 15,
    RESTARTS = 520,     /* a day */
    MAINTENANCES = 293, /* a day */
    REPLAYED = 8600,    /* records of one day */
    PART_MAX = 16 * 1024,
};

struct bench {
    struct cw_state state;
    struct cw_rng rng;
    uint64_t offset;
    cw_ms wall;
    uint64_t ops;
    uint64_t incarnation[VMS];
    size_t next_vm; /* to maintain */
    uint64_t rejected;
    /* Set: print the records here instead of applying them. */
    struct cw_buf *texts;
    size_t text_count;
    /* Where each document and operation stands while records are printed. */
    uint64_t doc_version[DOCS];
};

static void
name_set(struct cw_name *n, const char *fmt, uint64_t v)
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
    name_set(&r.id, "record-%016llx", cw_hash_mix(b->offset, 7));
    name_set(&r.by, "entry-%llu", 1);
    return r;
}

static void
put(struct bench *b, const struct cw_record *r)
{
    if (b->texts != NULL) {
        cw_buf_init(&b->texts[b->text_count]);
        CW_INVARIANT(cw_record_print(r, &b->texts[b->text_count++]) == CW_OK);
        return;
    }
    b->rejected += cw_state_apply(&b->state, b->offset, r) != CW_APPLY_OK;
    cw_state_advance(&b->state, b->wall);
}

static void
put_member(struct bench *b, uint64_t i)
{
    struct cw_record r = new_record(b, CW_REC_MEMBER);
    name_set(&r.by, "entry-%llu", i + 1);
    r.u.member.daemon = r.by;
    r.u.member.incarnation = 1;
    name_set(&r.u.member.dc, "dc%llu", i % 6);
    name_set(&r.u.member.address, "10.0.0.%llu:7100", i + 1);
    put(b, &r);
}

static void
put_vm(struct bench *b, uint64_t i)
{
    struct cw_record r = new_record(b, CW_REC_VM);
    struct cw_rec_vm *v = &r.u.vm;
    name_set(&v->vm, "vm-%05llu", i);
    v->incarnation = ++b->incarnation[i];
    name_set(&v->pool, "service-%02llu", i % DOCS);
    name_set(&v->dc, "dc%llu", i % 6);
    name_set(&v->rack, "rack-%04llu", i / 4);
    name_set(&v->address, "10.1.0.1:%llu", 1024 + i);
    put(b, &r);
}

static void
put_doc(struct bench *b, uint64_t i)
{
    static const char form[] =
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
    int n = snprintf(text, sizeof(text), form, (int)i, (int)i,
                     (int)cw_rng_below(&b->rng, 10));
    struct cw_record r = new_record(b, CW_REC_DOC);
    name_set(&r.u.doc.service, "service-%02llu", i);
    r.u.doc.base = b->doc_version[i];
    r.u.doc.json = (struct cw_str){text, (size_t)n};
    b->doc_version[i] = b->offset;
    put(b, &r);
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
        name_set(&p->op, "maintain-%llu", op);
        p->kind = CW_OP_MAINTAIN;
        name_set(&p->vm, "vm-%05llu", i);
        name_set(&p->from, "service-%02llu", i % DOCS);
        p->to = p->from;
        name_set(&p->scope, "pool/service-%02llu", i % DOCS);
        snprintf(p->cause, sizeof(p->cause), "due: 14 days since the last");
        p->doc_version = b->doc_version[i % DOCS];
        p->step = steps[k];
        r.by = cw_state_holder(&b->state, cw_name_str(&p->scope))->daemon;
        b->wall += 2000;
        put(b, &r);
        if (p->step == CW_STEP_REBOOTING) {
            put_vm(b, i);
        }
    }
}

/* One stat record of each member, once a minute. */
static void
put_stats(struct bench *b)
{
    struct cw_stat_service services[DOCS];
    memset(services, 0, sizeof(services));
    for (uint64_t i = 0; i < DOCS; i++) {
        name_set(&services[i].service, "service-%02llu", i);
        services[i].ok = 1000 + cw_rng_below(&b->rng, 9000);
        services[i].failed = cw_rng_below(&b->rng, 3);
        services[i].p50_us = 4000 + cw_rng_below(&b->rng, 2000);
        services[i].p99_us = 40000 + cw_rng_below(&b->rng, 20000);
        services[i].idle_slot_ms = cw_rng_below(&b->rng, 6000000);
        services[i].busy_slot_ms = cw_rng_below(&b->rng, 6000000);
    }
    for (uint64_t m = 0; m < MEMBERS; m++) {
        struct cw_record r = new_record(b, CW_REC_STAT);
        name_set(&r.u.stat.daemon, "entry-%llu", m + 1);
        r.u.stat.from = b->wall - CW_MINUTE;
        r.u.stat.to = b->wall;
        r.u.stat.count = DOCS;
        r.u.stat.services = services;
        put(b, &r);
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
    for (int day = 0; day < DAYS; day++) {
        cw_ms begin = b->wall;
        size_t restarts = 0, maintained = 0;
        for (size_t minute = 0; minute < 1440; minute++) {
            cw_ms at = begin + (cw_ms)minute * CW_MINUTE;
            b->wall = at > b->wall ? at : b->wall;
            while (restarts * 1440 < (minute + 1) * RESTARTS) {
                put_vm(b, cw_rng_below(&b->rng, VMS));
                restarts++;
            }
            while (maintained * 1440 < (minute + 1) * MAINTENANCES) {
                put_maintenance(b);
                maintained++;
            }
            put_stats(b);
        }
        b->wall = begin + CW_DAY;
    }
}

/* ---- measurements --------------------------------------------------- */

/* One day of 8,600 records, as JSON text, on a fleet without history. */
static void
bench_replay(struct bench *b)
{
    put_fleet(b);
    b->texts = calloc(REPLAYED + 8, sizeof(*b->texts));
    CW_INVARIANT(b->texts != NULL);
    uint64_t base = b->offset;
    while (b->text_count < REPLAYED) {
        /* 1,758 records of maintenances, 520 restarts, the rest edits. */
        uint64_t kind = cw_rng_below(&b->rng, REPLAYED);
        if (kind < MAINTENANCES && b->text_count + 6 <= REPLAYED) {
            put_maintenance(b);
        }
        else if (kind < MAINTENANCES + RESTARTS) {
            put_vm(b, cw_rng_below(&b->rng, VMS));
        }
        else {
            put_doc(b, cw_rng_below(&b->rng, DOCS));
        }
    }
    size_t bytes = 0;
    uint64_t refused = 0;
    int64_t begin = bench_now_us();
    for (size_t i = 0; i < b->text_count; i++) {
        struct cw_record r;
        char msg[CW_MSG_MAX];
        CW_INVARIANT(cw_record_parse(&r, cw_buf_str(&b->texts[i]), msg) ==
                     CW_OK);
        refused += cw_state_apply(&b->state, base + 1 + i, &r) != CW_APPLY_OK;
        cw_record_finish(&r);
        bytes += b->texts[i].len;
    }
    double took = (double)(bench_now_us() - begin) / 1000;
    printf("state_replay_records=%zu\n", b->text_count);
    printf("state_replay_bytes=%zu\n", bytes);
    printf("state_replay_ms=%.1f\n", took);
    printf("state_replay_refused=%llu\n", (unsigned long long)refused);
    for (size_t i = 0; i < b->text_count; i++) {
        cw_buf_finish(&b->texts[i]);
    }
    free(b->texts);
    cw_state_finish(&b->state);
}

struct parts {
    size_t count;
    size_t bytes;
    struct cw_state into;
    bool import;
};

static void
on_part(void *ctx, struct cw_str items)
{
    struct parts *p = ctx;
    p->count++;
    p->bytes += items.len;
    if (p->import) {
        CW_INVARIANT(cw_state_import(&p->into, items) == CW_OK);
    }
}

static void
print_snapshot(const struct cw_state *s, const char *name)
{
    struct parts p = {.count = 0};
    int64_t begin = bench_now_us();
    CW_INVARIANT(cw_state_export(s, PART_MAX, on_part, &p) == CW_OK);
    printf("state_%s_export_ms=%.1f\n", name,
           (double)(bench_now_us() - begin) / 1000);
    printf("state_%s_bytes=%zu\n", name, p.bytes);
    printf("state_%s_parts=%zu\n", name, p.count);
    /* At most one part every 4 s. */
    printf("state_%s_cycle_s=%zu\n", name, 4 * p.count);
    p.import = true;
    begin = bench_now_us();
    CW_INVARIANT(cw_state_export(s, PART_MAX, on_part, &p) == CW_OK);
    cw_state_import_done(&p.into, s->applied);
    printf("state_%s_export_import_ms=%.1f\n", name,
           (double)(bench_now_us() - begin) / 1000);
    CW_INVARIANT(cw_state_digest(&p.into) == cw_state_digest(s));
    cw_state_finish(&p.into);
}

static void
bench_history(struct bench *b)
{
    size_t before = bench_heap_bytes();
    put_fleet(b);
    printf("state_fleet_state_bytes=%zu\n", bench_heap_bytes() - before);
    print_snapshot(&b->state, "fleet_snapshot");
    int64_t begin = bench_now_us();
    put_history(b);
    printf("state_history_apply_ms=%.1f\n",
           (double)(bench_now_us() - begin) / 1000);
    printf("state_history_records=%llu\n", (unsigned long long)b->offset);
    printf("state_history_refused=%llu\n", (unsigned long long)b->rejected);
    printf("state_history_ops=%zu\n", b->state.op_count);
    printf("state_history_stats=%zu\n", b->state.stat_count);
    printf("state_history_state_bytes=%zu\n", bench_heap_bytes() - before);
    print_snapshot(&b->state, "history_snapshot");
    for (int i = 0; i < CW_EDITS_MAX; i++) {
        put_doc(b, cw_rng_below(&b->rng, DOCS));
    }
    printf("state_edits_kept=%zu\n", b->state.edit_count);
    printf("state_edits_state_bytes=%zu\n", bench_heap_bytes() - before);
    print_snapshot(&b->state, "edits_snapshot");
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
