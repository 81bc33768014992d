/* Compares batch policies by the roll-out of one wave over a pool, with
 * different kinds of failures. */
#include "bench_maint.h"

#include <math.h>
#include <stdlib.h>

#define VM_SLOTS 8
#define TICK_MS CW_SECOND
#define RUNS 20

void
bench_pool_init(struct bench_pool *b, size_t count, uint32_t dcs,
                uint32_t first_rack)
{
    memset(b, 0, sizeof(*b));
    CW_INVARIANT(count <= BENCH_POOL_VMS_MAX);
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
bench_wave_inputs(const struct bench_pool *b, cw_ms wall)
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

enum failure_kind { FAIL_NONE, FAIL_SINGLE, FAIL_RACK };

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
    struct cw_wave_op ops[BENCH_POOL_VMS_MAX * 2];
    struct op running[BENCH_POOL_VMS_MAX * 2];
    size_t count;
    /* When each failed VM returns; 0 = the VM has not failed. */
    cw_ms repaired[BENCH_POOL_VMS_MAX];
    bool open;
    bool held;
    cw_ms changed; /* time of the last wave record */
    uint64_t offset;
    double bad_requests; /* requests failed or shed */
    double out_hours;    /* VM hours out of service */
    uint32_t failed_vms;
    uint32_t min_ready;
    struct cw_budget budget;
};

/* Demand in slots: 55% of the pool's on average, varied by a quarter up and
 * down with a period of an hour. */
static double
demand(const struct sim *s, cw_ms t)
{
    double swing = sin((double)(t - BENCH_START) / (double)CW_HOUR * 6.2832);
    return (double)s->pool.count * VM_SLOTS * 0.55 * (1 + 0.25 * swing);
}

static bool
op_fails(const struct sim *s, enum failure_kind kind, size_t i,
         struct cw_rng *rng, bool rack_fails)
{
    (void)s;
    (void)i;
    if (kind == FAIL_RACK) {
        return rack_fails;
    }
    return kind == FAIL_SINGLE && cw_rng_below(rng, 100) < 2;
}

/* Starts the operations of a batch. With FAIL_RACK, one rack in twenty fails:
 * all VMs of the batch in that rack do. */
static void
start_batch(struct sim *s, const struct cw_wave_out *out,
            enum failure_kind kind, struct cw_rng *rng, cw_ms t)
{
    uint64_t salt = cw_rng_next(rng);
    for (size_t k = 0; k < out->count; k++) {
        size_t vm = out->picks[k];
        struct cw_wave_vm *v = &s->pool.vms[vm];
        bool rack_fails = cw_hash(v->rack, salt) % 20 == 0;
        struct op *o = &s->running[s->count];
        o->vm = vm;
        o->fails = op_fails(s, kind, vm, rng, rack_fails);
        /* A drain takes 5 s on average and a reboot 60 s; a VM that does not
         * return counts as failed after 5 min. */
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
            s->failed_vms++;
            s->repaired[o->vm] = t + CW_HOUR;
            /* It returns faulty and fails its share of the requests for 5 s,
             * until the daemons avoid it. */
            s->bad_requests += demand(s, t) * 25 / (double)s->pool.count * 5;
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

/* Requests take 40 ms, so that each slot in use serves 25 per second. */
static void
serve(struct sim *s, cw_ms t)
{
    uint32_t ready = 0;
    uint32_t out = 0;
    for (size_t i = 0; i < s->pool.count; i++) {
        ready += s->pool.vms[i].ready;
        out += s->pool.vms[i].busy;
    }
    double demanded = demand(s, t);
    double excess = demanded - (double)ready * VM_SLOTS;
    double shed = excess > 0 ? excess * 25 : 0;
    s->bad_requests += shed;
    s->out_hours += out / 3600.0;
    s->min_ready = ready < s->min_ready ? ready : s->min_ready;
    cw_budget_add(&s->budget, t,
                  (struct cw_counts){.ok = (uint64_t)(demanded * 25 - shed),
                                     .shed = (uint64_t)shed});
}

static cw_ms
run_wave(struct sim *s, const struct policy *pol, size_t n,
         enum failure_kind kind, struct cw_rng *rng)
{
    struct cw_budget_params bp = cw_budget_defaults();
    memset(s, 0, sizeof(*s));
    bench_pool_init(&s->pool, n, 3, 0);
    s->min_ready = (uint32_t)n;
    cw_budget_init(&s->budget, 0.999, 28 * CW_DAY);
    /* Four weeks without failures before the wave. */
    cw_budget_add(&s->budget, BENCH_START - CW_DAY,
                  (struct cw_counts){.ok = (uint64_t)(demand(s, BENCH_START) *
                                                      25 * 86400 * 27)});
    cw_ms t = BENCH_START;
    for (; t < BENCH_START + 2 * CW_DAY; t += TICK_MS) {
        struct cw_wave_out out;
        struct cw_budget_report r;
        finish_ops(s, t);
        serve(s, t);
        struct cw_wave_in in = bench_wave_inputs(&s->pool, t);
        cw_budget_evaluate(&s->budget, &bp, t, &r);
        in.open = s->open;
        in.held = s->held;
        in.changed = s->changed;
        in.ops = s->ops;
        in.op_count = s->count;
        in.needed =
            cw_vms_needed(&bp, (uint32_t)n / 2, demand(s, t), VM_SLOTS);
        in.budget_limit = cw_budget_batch_limit(&bp, &r, (uint32_t)n);
        in.burning = r.burning;
        in.exhausted = r.exhausted;
        cw_wave_decide(&s->pool.wave, &pol->params, &in, &out);
        if (out.decision == CW_WAVE_START) {
            start_batch(s, &out, kind, rng, t);
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
    return t - BENCH_START;
}

static void
run_policy(const struct policy *pol, size_t n, enum failure_kind kind,
           struct cw_rng *rng)
{
    static const char *const fails[] = {"none", "2pct", "rack"};
    static struct sim s;
    double minutes = 0;
    double budget_used_pct = 0;
    double out_hours_sum = 0;
    double failed_vms = 0;
    double min_ready_sum = 0;
    for (int i = 0; i < RUNS; i++) {
        minutes += (double)run_wave(&s, pol, n, kind, rng) / CW_MINUTE;
        double allowed = 0.001 * (double)n * VM_SLOTS * 0.55 * 25 * 86400 * 28;
        budget_used_pct += s.bad_requests / allowed * 100;
        out_hours_sum += s.out_hours;
        failed_vms += s.failed_vms;
        min_ready_sum += s.min_ready;
    }
    char key[80];
    snprintf(key, sizeof(key), "%zu_%s_%s", n, pol->name, fails[kind]);
    printf("maint_rollout_min_%s=%.1f\n", key, minutes / RUNS);
    printf("maint_budget_used_pct_%s=%.3f\n", key, budget_used_pct / RUNS);
    printf("maint_vm_hours_out_%s=%.2f\n", key, out_hours_sum / RUNS);
    printf("maint_vms_failed_%s=%.2f\n", key, failed_vms / RUNS);
    printf("maint_vms_ready_least_%s=%.1f\n", key, min_ready_sum / RUNS);
}

static struct cw_wave_params
params_without_checks(uint32_t batch)
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
            {"one", params_without_checks(1)},
            {"fixed25", params_without_checks((uint32_t)n / 4)},
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
            for (enum failure_kind kind = FAIL_NONE; kind <= FAIL_RACK;
                 kind++) {
                run_policy(&pols[i], n, kind, rng);
            }
        }
    }
}
