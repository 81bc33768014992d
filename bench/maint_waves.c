/* Roll-out of one wave over a pool, with batch policies and kinds of failure.
 */
#include "bench_maint.h"

#include <math.h>
#include <stdlib.h>

#define SLOTS 8
#define TICK CW_SECOND
#define RUNS 20

void
bench_pool_init(struct bench_pool *b, size_t count, uint32_t dcs,
                uint32_t first_rack)
{
    memset(b, 0, sizeof(*b));
    CW_INVARIANT(count <= BENCH_POOL_VMS);
    b->count = count;
    for (size_t i = 0; i < count; i++) {
        uint32_t dc = (uint32_t)i % dcs;
        uint32_t rack = first_rack + (uint32_t)(i / dcs / 4);
        snprintf(b->names[i], sizeof(b->names[i]), "v%zu", i);
        snprintf(b->dcs[i], sizeof(b->dcs[i]), "d%u", dc);
        snprintf(b->racks[i], sizeof(b->racks[i]), "d%ur%u", dc, rack);
        b->vms[i] = (struct cw_wave_vm){.vm = cw_str_from(b->names[i]),
                                        .dc = cw_str_from(b->dcs[i]),
                                        .rack = cw_str_from(b->racks[i]),
                                        .ready = true};
    }
}

struct cw_wave_in
bench_pool_in(const struct bench_pool *b, cw_ms wall)
{
    return (struct cw_wave_in){
        .wall = wall,
        .log_available = true,
        .window_open = true,
        .maintain_every_ms = 14 * CW_DAY,
        .vm_count = b->count,
        .vms = b->vms,
        .budget_limit = UINT32_MAX,
    };
}

enum failures { FAIL_NONE, FAIL_SINGLE, FAIL_RACK };

struct policy {
    const char *name;
    struct cw_wave_params params;
};

struct op {
    size_t vm;
    cw_ms ends;
    bool fails;
};

struct sim {
    struct bench_pool pool;
    struct cw_wave_op ops[BENCH_POOL_VMS * 2];
    struct op running[BENCH_POOL_VMS * 2];
    size_t count;
    cw_ms repaired[BENCH_POOL_VMS]; /* when a failed VM is back */
    bool open;
    bool held;
    cw_ms changed;
    uint64_t offset;
    double bad; /* requests failed or shed */
    double out_hours;
    uint32_t failed;
    uint32_t least_spare;
    struct cw_budget budget;
};

/* 55% of the pool's slots on average, swinging by a quarter each hour. */
static double
demand(const struct sim *s, cw_ms t)
{
    double swing = sin((double)(t - BENCH_T0) / (double)CW_HOUR * 6.2832);
    return (double)s->pool.count * SLOTS * 0.55 * (1 + 0.25 * swing);
}

static bool
op_fails(const struct sim *s, enum failures f, size_t i, struct cw_rng *rng,
         bool rack_fails)
{
    (void)s;
    (void)i;
    if (f == FAIL_RACK) {
        return rack_fails;
    }
    return f == FAIL_SINGLE && cw_rng_below(rng, 100) < 2;
}

/* One rack in twenty turns bad when its VMs are rebooted: all VMs of a batch
 * in that rack fail. */
static void
start(struct sim *s, const struct cw_wave_out *out, enum failures f,
      struct cw_rng *rng, cw_ms t)
{
    uint64_t salt = cw_rng_next(rng);
    for (size_t k = 0; k < out->count; k++) {
        size_t vm = out->picks[k];
        struct cw_wave_vm *v = &s->pool.vms[vm];
        bool rack_fails = cw_hash(v->rack, salt) % 20 == 0;
        struct op *o = &s->running[s->count];
        o->vm = vm;
        o->fails = op_fails(s, f, vm, rng, rack_fails);
        /* Drain 5 s on average, reboot 60 s; a lost VM fails after 5 min. */
        o->ends = t + (cw_ms)cw_rng_exp(rng, 5000) +
                  (o->fails ? 5 * CW_MINUTE : CW_MINUTE);
        s->offset++;
        s->ops[s->count++] = (struct cw_wave_op){.first_offset = s->offset,
                                                 .last_offset = s->offset,
                                                 .step = CW_STEP_REBOOTING,
                                                 .vm = v->vm};
        v->ready = false;
        v->busy = v->in_wave = true;
    }
}

static void
finish_ops(struct sim *s, cw_ms t)
{
    for (size_t i = 0; i < s->count; i++) {
        struct cw_wave_op *w = &s->ops[i];
        struct op *o = &s->running[i];
        if (cw_op_ended(w->step) || t < o->ends) {
            continue;
        }
        struct cw_wave_vm *v = &s->pool.vms[o->vm];
        w->step = o->fails ? CW_STEP_FAILED : CW_STEP_DONE;
        w->last_offset = ++s->offset;
        w->ended = t;
        v->busy = false;
        v->ready = !o->fails;
        if (o->fails) {
            s->failed++;
            s->repaired[o->vm] = t + CW_HOUR;
            /* It comes back bad and fails its share until it is avoided. */
            s->bad += demand(s, t) * 25 / (double)s->pool.count * 5;
        }
        else {
            v->maintained = t;
        }
    }
    for (size_t i = 0; i < s->pool.count; i++) {
        if (s->repaired[i] > 0 && t >= s->repaired[i]) {
            s->repaired[i] = 0;
            s->pool.vms[i].ready = true;
        }
    }
}

/* Requests of 40 ms: 25 a second for each slot in use. */
static void
serve(struct sim *s, cw_ms t)
{
    uint32_t ready = 0;
    uint32_t out = 0;
    for (size_t i = 0; i < s->pool.count; i++) {
        ready += s->pool.vms[i].ready;
        out += s->pool.vms[i].busy;
    }
    double want = demand(s, t);
    double over = want - (double)ready * SLOTS;
    double shed = over > 0 ? over * 25 : 0;
    s->bad += shed;
    s->out_hours += out / 3600.0;
    s->least_spare = ready < s->least_spare ? ready : s->least_spare;
    cw_budget_add(&s->budget, t,
                  (struct cw_counts){.ok = (uint64_t)(want * 25 - shed),
                                     .shed = (uint64_t)shed});
}

static cw_ms
run(struct sim *s, const struct policy *pol, size_t n, enum failures f,
    struct cw_rng *rng)
{
    struct cw_budget_params bp = cw_budget_defaults();
    memset(s, 0, sizeof(*s));
    bench_pool_init(&s->pool, n, 3, 0);
    s->least_spare = (uint32_t)n;
    cw_budget_init(&s->budget, 0.999, 28 * CW_DAY);
    /* Four healthy weeks behind it. */
    cw_budget_add(&s->budget, BENCH_T0 - CW_DAY,
                  (struct cw_counts){.ok = (uint64_t)(demand(s, BENCH_T0) *
                                                      25 * 86400 * 27)});
    cw_ms t = BENCH_T0;
    for (; t < BENCH_T0 + 2 * CW_DAY; t += TICK) {
        struct cw_wave_out out;
        struct cw_budget_report r;
        finish_ops(s, t);
        serve(s, t);
        struct cw_wave_in in = bench_pool_in(&s->pool, t);
        cw_budget_evaluate(&s->budget, &bp, t, &r);
        in.open = s->open;
        in.held = s->held;
        in.changed = s->changed;
        in.ops = s->ops;
        in.op_count = s->count;
        in.needed = cw_vms_needed(&bp, (uint32_t)n / 2, demand(s, t), SLOTS);
        in.budget_limit = cw_budget_batch_limit(&bp, &r, (uint32_t)n);
        in.burning = r.burning;
        in.exhausted = r.exhausted;
        cw_wave_decide(&s->pool.wave, &pol->params, &in, &out);
        if (out.decision == CW_WAVE_START) {
            start(s, &out, f, rng, t);
        }
        else if (out.decision == CW_WAVE_RECORD) {
            if (out.action == CW_WAVE_CLOSE) {
                break;
            }
            s->open = true;
            s->held = out.action == CW_WAVE_HOLD;
            s->changed = t;
        }
    }
    return t - BENCH_T0;
}

static void
report(const struct policy *pol, size_t n, enum failures f, struct cw_rng *rng)
{
    static const char *const fails[] = {"none", "2pct", "rack"};
    static struct sim s;
    double minutes = 0;
    double bad = 0;
    double hours = 0;
    double failed = 0;
    double least = 0;
    for (int i = 0; i < RUNS; i++) {
        minutes += (double)run(&s, pol, n, f, rng) / CW_MINUTE;
        double allowed = 0.001 * (double)n * SLOTS * 0.55 * 25 * 86400 * 28;
        bad += s.bad / allowed * 100;
        hours += s.out_hours;
        failed += s.failed;
        least += s.least_spare;
    }
    char key[80];
    snprintf(key, sizeof(key), "%zu_%s_%s", n, pol->name, fails[f]);
    printf("maint_rollout_min_%s=%.1f\n", key, minutes / RUNS);
    printf("maint_budget_used_pct_%s=%.3f\n", key, bad / RUNS);
    printf("maint_vm_hours_out_%s=%.2f\n", key, hours / RUNS);
    printf("maint_vms_failed_%s=%.2f\n", key, failed / RUNS);
    printf("maint_vms_ready_least_%s=%.1f\n", key, least / RUNS);
}

static struct cw_wave_params
unchecked(uint32_t batch)
{
    struct cw_wave_params p = cw_wave_defaults();
    p.fixed_batch = batch;
    p.check_capacity = p.check_budget = p.hold = false;
    p.one_dc = p.one_rack = false;
    return p;
}

void
bench_waves(struct cw_rng *rng)
{
    static const size_t sizes[] = {10, 90};
    for (size_t z = 0; z < 2; z++) {
        size_t n = sizes[z];
        struct policy pols[] = {
            {"one", unchecked(1)},
            {"fixed25", unchecked((uint32_t)n / 4)},
            {"from_1", cw_wave_defaults()},
            {"from_5pct", cw_wave_defaults()},
            {"any_rack", cw_wave_defaults()},
            {"chosen", cw_wave_defaults()},
        };
        pols[2].params.first_limit = 1;
        pols[2].params.first_share = 0;
        pols[3].params.first_share = 0.05;
        pols[4].params.one_rack = pols[4].params.one_dc = false;
        for (size_t i = 0; i < sizeof(pols) / sizeof(pols[0]); i++) {
            for (enum failures f = FAIL_NONE; f <= FAIL_RACK; f++) {
                report(&pols[i], n, f, rng);
            }
        }
    }
}
