/* Runs the maintenance wave decision for each pool that this daemon holds. */
#include "cw_ctl_maint.h"

#include <stdlib.h>
#include <string.h>

#define HOLDS_MAX 64
#define RACKS_MAX 256

/* Inputs of the decision for one pool. The arrays are reused for all pools. */
struct wave_inputs {
    struct cw_wave_in in;
    struct cw_wave_vm *vms;
    uint32_t *vm_index; /* of each entry of vms in the state */
    struct cw_wave_op *ops;
    struct cw_wave_hold holds[HOLDS_MAX];
    struct cw_str racks[RACKS_MAX];
};

static const struct cw_wave_entry *
open_wave(const struct cw_daemon *d, const struct cw_name *pool)
{
    struct cw_name scope;
    cw_ctl_pool_scope(pool, &scope);
    return cw_state_open_wave(&d->state, cw_name_str(&scope));
}

static void
gather_vms(const struct cw_daemon *d, struct wave_inputs *g,
           const struct cw_name *pool, const struct cw_wave_entry *wave)
{
    size_t n = 0;
    for (size_t i = 0; i < d->state.vm_count; i++) {
        const struct cw_vm_entry *v = d->state.vms[i];
        const struct cw_op_entry *op = d->ctl_maint->last_ops[i];
        if (!cw_name_eq(&v->pool, pool)) {
            continue;
        }
        cw_ms failed_at = 0;
        if (op != NULL && (op->rec.step == CW_STEP_CANCELLED ||
                           op->rec.step == CW_STEP_FAILED)) {
            failed_at = op->step_time[op->rec.step];
        }
        g->vm_index[n] = (uint32_t)i;
        g->vms[n++] = (struct cw_wave_vm){
            .vm = cw_name_str(&v->vm),
            .dc = cw_name_str(&v->dc),
            .rack = cw_name_str(&v->rack),
            .maintained = v->maintained,
            .failed_at = failed_at,
            .ready = cw_ops_in_service(d, i),
            .busy = v->op.len > 0,
            .in_wave = wave != NULL && op != NULL &&
                       cw_name_eq(&op->rec.wave, &wave->wave),
        };
    }
    g->in.vms = g->vms;
    g->in.vm_count = n;
}

/* Collects the operations of the wave. The state sorts operations by first
 * offset and none of the wave's is older than the wave, so the search runs
 * back from the end. */
static void
gather_ops(const struct cw_daemon *d, struct wave_inputs *g,
           const struct cw_wave_entry *wave)
{
    const struct cw_state *s = &d->state;
    size_t from = s->op_count;
    size_t n = 0;
    while (from > 0 &&
           s->ops[from - 1]->step_time[CW_STEP_DRAINING] >= wave->opened) {
        from--;
    }
    for (size_t i = from; i < s->op_count; i++) {
        const struct cw_op_entry *o = s->ops[i];
        if (!cw_name_eq(&o->rec.wave, &wave->wave)) {
            continue;
        }
        g->ops[n++] = (struct cw_wave_op){
            .first_offset = o->first_offset,
            .last_offset = o->last_offset,
            .ended = o->open ? 0 : o->step_time[o->rec.step],
            .step = o->rec.step,
            .vm = cw_name_str(&o->rec.vm),
        };
    }
    g->in.ops = g->ops;
    g->in.op_count = n;
}

/* Sets the data centre and rack of the wave's newest operation. */
static void
locate_wave(const struct cw_daemon *d, const struct cw_wave_entry *wave,
            struct cw_wave_hold *h)
{
    uint64_t newest = 0;
    for (size_t i = 0; i < d->state.vm_count; i++) {
        const struct cw_op_entry *o = d->ctl_maint->last_ops[i];
        if (o != NULL && o->first_offset > newest &&
            cw_name_eq(&o->rec.wave, &wave->wave)) {
            newest = o->first_offset;
            h->dc = cw_name_str(&d->state.vms[i]->dc);
            h->rack = cw_name_str(&d->state.vms[i]->rack);
        }
    }
}

static void
gather_other_pools(const struct cw_daemon *d, struct wave_inputs *g,
                   const struct cw_name *pool)
{
    const struct cw_wave_entry *own = open_wave(d, pool);
    for (size_t i = 0; i < d->state.wave_count; i++) {
        const struct cw_wave_entry *w = d->state.waves[i];
        if (w->last_action == CW_WAVE_HOLD && w != own &&
            g->in.hold_count < HOLDS_MAX) {
            struct cw_wave_hold *h = &g->holds[g->in.hold_count++];
            memset(h, 0, sizeof(*h));
            h->since = w->changed;
            locate_wave(d, w, h);
        }
    }
    for (size_t i = 0; i < d->state.vm_count; i++) {
        const struct cw_vm_entry *v = d->state.vms[i];
        if (v->op.len > 0 && !cw_name_eq(&v->pool, pool) &&
            g->in.busy_rack_count < RACKS_MAX) {
            g->racks[g->in.busy_rack_count++] = cw_name_str(&v->rack);
        }
    }
    g->in.holds = g->holds;
    g->in.busy_racks = g->racks;
}

static void
gather_budget(const struct cw_daemon *d, struct wave_inputs *g,
              const struct cw_doc_entry *doc)
{
    struct cw_budget_params p = cw_budget_defaults();
    struct cw_budget_report r = {.availability = 1};
    const struct cw_load_entry *load =
        cw_loads_find(&d->ctl_maint->loads, &doc->doc.service);
    if (load != NULL) {
        cw_budget_evaluate(&load->budget, &p, g->in.wall, &r);
    }
    g->in.needed = cw_ops_vms_needed(d, doc);
    g->in.burning = r.burning;
    g->in.exhausted = r.exhausted;
    g->in.budget_limit =
        cw_budget_batch_limit(&p, &r, cw_ops_count_ready(d, &doc->doc.pool));
}

/* ---- acting on the decision --------------------------------------------- */

struct wave_append {
    struct cw_daemon *d;
    struct cw_name pool;
};

static void
on_wave_appended(void *arg, enum cw_append_outcome o, uint64_t offset,
                 const char *reason)
{
    struct wave_append *a = arg;
    struct cw_pool_ctl *ctl = cw_pool_ctl_get(a->d, &a->pool);
    (void)offset;
    if (ctl != NULL && ctl->pending > 0) {
        ctl->pending--;
    }
    if (o != CW_APPEND_ACCEPTED) {
        cw_log(CW_WARN, "wave_not_recorded",
               "pool=%s outcome=%s reason=\"%s\"", a->pool.text,
               cw_append_outcome_name(o), reason);
    }
    free(a);
}

static void
append_wave(struct cw_daemon *d, struct cw_pool_ctl *ctl,
            const struct cw_wave_entry *wave, const struct cw_wave_out *out)
{
    struct wave_append *a = calloc(1, sizeof(*a));
    struct cw_record r;
    if (a == NULL) {
        return;
    }
    a->d = d;
    a->pool = ctl->pool;
    memset(&r, 0, sizeof(r));
    r.type = CW_REC_WAVE;
    if (wave != NULL) {
        r.u.wave.wave = wave->wave;
    }
    else {
        cw_ops_new_name(d, 'w', &r.u.wave.wave);
    }
    cw_ctl_pool_scope(&ctl->pool, &r.u.wave.scope);
    r.u.wave.action = out->action;
    memcpy(r.u.wave.reason, out->reason, sizeof(r.u.wave.reason));
    ctl->pending++;
    cw_log(CW_INFO, "wave", "pool=%s wave=%s action=%s reason=\"%s\"",
           ctl->pool.text, r.u.wave.wave.text,
           cw_wave_action_name(out->action), out->reason);
    cw_daemon_append(d, &r, on_wave_appended, a);
}

static void
begin_batch(struct cw_daemon *d, const struct wave_inputs *g,
            const struct cw_doc_entry *doc, const struct cw_wave_entry *wave,
            const struct cw_wave_out *out)
{
    struct cw_name pool = doc->doc.pool;
    struct cw_name name = wave->wave;
    uint64_t version = doc->version;
    for (size_t i = 0; i < out->count; i++) {
        cw_ops_begin(d, CW_OP_MAINTAIN, g->vm_index[out->picks[i]], &pool,
                     &name, "maintenance wave", version);
    }
}

static void
decide_pool(struct cw_daemon *d, struct wave_inputs *g,
            const struct cw_doc_entry *doc, cw_ms now)
{
    struct cw_wave_params p = cw_wave_defaults();
    struct cw_pool_ctl *ctl = cw_pool_ctl_get(d, &doc->doc.pool);
    const struct cw_wave_entry *wave = open_wave(d, &doc->doc.pool);
    struct cw_wave_out out;
    if (ctl == NULL || ctl->pending > 0) {
        return;
    }
    memset(&g->in, 0, sizeof(g->in));
    g->in.wall = cw_daemon_wall(d);
    g->in.log_available = cw_daemon_log_available(d, now);
    g->in.window_open = cw_doc_window_open(&doc->doc, g->in.wall);
    g->in.maintain_every_ms = doc->doc.maintain_every_ms;
    gather_vms(d, g, &doc->doc.pool, wave);
    gather_other_pools(d, g, &doc->doc.pool);
    gather_budget(d, g, doc);
    if (wave != NULL) {
        g->in.open = true;
        g->in.held = wave->last_action == CW_WAVE_HOLD;
        g->in.changed = wave->changed;
        gather_ops(d, g, wave);
    }
    cw_wave_decide(&ctl->wave, &p, &g->in, &out);
    if (out.decision == CW_WAVE_RECORD) {
        append_wave(d, ctl, wave, &out);
    }
    else if (out.decision == CW_WAVE_START && wave != NULL) {
        begin_batch(d, g, doc, wave, &out);
    }
    /* A reason is logged only when the decision is to wait, and once until it
     * changes. */
    if (out.decision == CW_WAVE_WAIT && out.reason[0] != '\0' &&
        strcmp(ctl->reason, out.reason) != 0) {
        memcpy(ctl->reason, out.reason, sizeof(ctl->reason));
        cw_log(CW_INFO, "wave_waits", "pool=%s open=%d due=%u reason=\"%s\"",
               ctl->pool.text, wave != NULL, out.due, out.reason);
    }
}

void
cw_ctl_run_waves(struct cw_daemon *d, cw_ms now)
{
    struct wave_inputs g;
    size_t n = d->state.vm_count + 1;
    memset(&g, 0, sizeof(g));
    g.vms = calloc(n, sizeof(*g.vms));
    g.vm_index = calloc(n, sizeof(*g.vm_index));
    g.ops = calloc(d->state.op_count + 1, sizeof(*g.ops));
    bool ok = g.vms != NULL && g.vm_index != NULL && g.ops != NULL &&
              cw_loads_known(&d->ctl_maint->loads, d);
    for (size_t i = 0; ok && i < d->state.doc_count; i++) {
        const struct cw_doc_entry *doc = d->state.docs[i];
        struct cw_name scope;
        cw_ctl_pool_scope(&doc->doc.pool, &scope);
        if (cw_daemon_holds(d, cw_name_str(&scope), now)) {
            decide_pool(d, &g, doc, now);
        }
        else {
            struct cw_pool_ctl *ctl = cw_pool_ctl_get(d, &doc->doc.pool);
            if (ctl != NULL) {
                cw_wave_init(&ctl->wave);
            }
        }
    }
    free(g.vms);
    free(g.vm_index);
    free(g.ops);
}
