/* Drives VM operations: collects the inputs of the decision, then appends a
 * step record, calls pool control or requests the VM's status from it. */
#include "cw_ctl_maint.h"

#include <stdlib.h>
#include <string.h>

/* Interval between status requests for one VM, and the longer one that applies
 * once an operation has been in the same step for SLOW_POLL_AFTER_MS. */
#define STATUS_POLL_MS 250
#define STATUS_POLL_SLOW_MS (2 * CW_SECOND)
#define SLOW_POLL_AFTER_MS CW_MINUTE
/* Delay after a failed status request, call or append. */
#define RETRY_DELAY_MS CW_SECOND
/* After a start of the daemon, all VMs have been probed within this time. */
#define PROBE_WARMUP_MS (15 * CW_SECOND)

/* Argument of a callback, which looks its VM up again. */
struct op_request {
    struct cw_daemon *d;
    struct cw_name vm;
    struct cw_name pool; /* source pool; set by cw_ops_begin only */
    uint64_t offset;     /* step_offset of the VM's entry at the request */
};

static struct op_request *
new_op_request(struct cw_daemon *d, const struct cw_vm_ctl *ctl)
{
    struct op_request *p = calloc(1, sizeof(*p));
    if (p != NULL) {
        p->d = d;
        p->vm = ctl->vm;
        p->offset = ctl->step_offset;
    }
    return p;
}

/* Frees p, clears pending of the VM's entry and returns the entry; NULL when
 * the module has ended or the VM is gone. */
static struct cw_vm_ctl *
end_op_request(struct op_request *p, cw_ms *now, uint64_t *offset)
{
    struct cw_ctl_maint *m = p->d->ctl_maint;
    struct cw_vm_ctl *ctl = NULL;
    *now = cw_daemon_now(p->d);
    *offset = p->offset;
    for (size_t i = 0; m != NULL && i < m->vm_count; i++) {
        if (cw_name_eq(&m->vms[i]->vm, &p->vm)) {
            ctl = m->vms[i];
            ctl->pending = false;
            break;
        }
    }
    free(p);
    return ctl;
}

void
cw_ops_new_name(struct cw_daemon *d, char kind, struct cw_name *out)
{
    char text[24];
    uint64_t h = cw_hash(cw_daemon_name(d), d->incarnation);
    h = cw_hash_mix(h, ++d->ctl_maint->name_seq);
    int n =
        snprintf(text, sizeof(text), "%c%016llx", kind, (unsigned long long)h);
    (void)cw_name_set(out, (struct cw_str){text, (size_t)n});
}

bool
cw_ops_members_stable(const struct cw_daemon *d, cw_ms now)
{
    return d->state.member_epoch == d->ctl_maint->member_epoch &&
           now - d->ctl_maint->member_epoch_at >= d->settings->slot_guard_ms;
}

bool
cw_ops_in_service(const struct cw_daemon *d, size_t vm)
{
    const struct cw_vm_entry *v = d->state.vms[vm];
    const struct cw_op_entry *op = d->ctl_maint->last_ops[vm];
    const struct cw_vm_ctl *ctl = d->ctl_maint->vms[vm];
    bool undone = op == NULL || op->rec.step == CW_STEP_DONE ||
                  (ctl->settled && cw_name_eq(&ctl->op, &op->rec.op));
    return v->op.len == 0 && undone &&
           cw_daemon_vm_ready(d, cw_name_str(&v->vm));
}

uint32_t
cw_ops_count_ready(const struct cw_daemon *d, const struct cw_name *pool)
{
    uint32_t ready = 0;
    for (size_t i = 0; i < d->state.vm_count; i++) {
        ready += cw_name_eq(&d->state.vms[i]->pool, pool) &&
                 cw_ops_in_service(d, i);
    }
    return ready;
}

uint32_t
cw_ops_vms_needed(const struct cw_daemon *d, const struct cw_doc_entry *doc)
{
    struct cw_budget_params p = cw_budget_defaults();
    const struct cw_loads *l = &d->ctl_maint->loads;
    const struct cw_name *s = &doc->doc.service;
    double avg_2min = cw_loads_demand(l, d, s, 2 * CW_MINUTE);
    double avg_15min = cw_loads_demand(l, d, s, 15 * CW_MINUTE);
    return cw_vms_needed(&p, doc->doc.vms_min,
                         avg_2min > avg_15min ? avg_2min : avg_15min,
                         doc->doc.slots);
}

/* ---- reasons to cancel ------------------------------------------------- */

static bool
is_cancellable(const struct cw_op_entry *op)
{
    return op->rec.step == CW_STEP_DRAINING || op->rec.step == CW_STEP_DRAINED;
}

/* Counts the cancellable operations of the same pool that began later; they
 * are cancelled before op. */
static uint32_t
count_newer_cancellable(const struct cw_daemon *d,
                        const struct cw_op_entry *op)
{
    uint32_t n = 0;
    for (size_t i = 0; i < d->ctl_maint->vm_count; i++) {
        const struct cw_op_entry *o = d->ctl_maint->last_ops[i];
        n += o != NULL && is_cancellable(o) &&
             o->first_offset > op->first_offset &&
             cw_name_eq(&o->rec.from, &op->rec.from);
    }
    return n;
}

/* True when the pool lacks VMs and cancelling the newer operations would not
 * be enough. This happens when demand rises, or when the operation's first
 * record reached the log late. */
static bool
is_pool_short_of_vms(const struct cw_daemon *d, const struct cw_op_entry *op,
                     cw_ms now)
{
    const struct cw_doc_entry *doc =
        cw_state_doc_of_pool(&d->state, cw_name_str(&op->rec.from));
    if (doc == NULL || now - d->ctl_maint->started_at < PROBE_WARMUP_MS ||
        !cw_ops_members_stable(d, now)) {
        return false;
    }
    uint32_t ready = cw_ops_count_ready(d, &op->rec.from);
    uint32_t needed = cw_ops_vms_needed(d, doc);
    return ready < needed && count_newer_cancellable(d, op) < needed - ready;
}

/* True when an older move of one of the pools is open: the holders of two
 * pools may begin conflicting moves at the same time. */
static bool
is_second_move(const struct cw_daemon *d, const struct cw_op_entry *op)
{
    for (size_t i = 0; i < d->ctl_maint->vm_count; i++) {
        const struct cw_op_entry *o = d->ctl_maint->last_ops[i];
        if (o != NULL && o->open && o->rec.kind == CW_OP_MOVE &&
            o->first_offset < op->first_offset &&
            (cw_name_eq(&o->rec.to, &op->rec.to) ||
             cw_name_eq(&o->rec.from, &op->rec.to) ||
             cw_name_eq(&o->rec.to, &op->rec.from))) {
            return true;
        }
    }
    return false;
}

static const char *
find_cancel_reason(const struct cw_daemon *d, const struct cw_op_entry *op,
                   cw_ms now)
{
    if (!is_cancellable(op)) {
        return NULL;
    }
    const struct cw_wave_entry *w =
        cw_state_open_wave(&d->state, cw_name_str(&op->rec.scope));
    if (op->rec.wave.len > 0 && w != NULL &&
        cw_name_eq(&w->wave, &op->rec.wave) &&
        w->last_action == CW_WAVE_HOLD) {
        return "wave on hold";
    }
    if (op->rec.kind == CW_OP_MOVE && is_second_move(d, op)) {
        return "another move of the pool is open";
    }
    return is_pool_short_of_vms(d, op, now) ? "the pool needs the VM" : NULL;
}

/* ---- actions ----------------------------------------------------------- */

static void
on_status(void *arg, enum cw_status s, const struct cw_pool_vm *vm)
{
    static const enum cw_op_vm_state states[] = {
        [CW_POOL_READY] = CW_OP_VM_READY,
        [CW_POOL_DRAINING] = CW_OP_VM_DRAINING,
        [CW_POOL_DRAINED] = CW_OP_VM_DRAINED,
        [CW_POOL_REBOOTING] = CW_OP_VM_REBOOTING,
    };
    cw_ms now;
    uint64_t offset;
    struct cw_vm_ctl *ctl = end_op_request(arg, &now, &offset);
    if (ctl == NULL || ctl->step_offset != offset) {
        return;
    }
    if (s != CW_OK) {
        ctl->next_at = now + RETRY_DELAY_MS;
        return;
    }
    ctl->status_pool = vm->pool;
    ctl->status = (struct cw_op_status){.known = true,
                                        .state = states[vm->state],
                                        .incarnation = vm->incarnation,
                                        .in_flight = vm->in_flight,
                                        .fence = vm->fence};
}

static void
on_call_done(void *arg, enum cw_status s)
{
    cw_ms now;
    uint64_t offset;
    struct cw_vm_ctl *ctl = end_op_request(arg, &now, &offset);
    if (ctl == NULL || ctl->step_offset != offset) {
        return;
    }
    ctl->call_answered = s == CW_OK;
    ctl->next_at = s == CW_OK ? now : now + RETRY_DELAY_MS;
}

static void
on_step_appended(void *arg, enum cw_append_outcome o, uint64_t record_offset,
                 const char *reason)
{
    cw_ms now;
    uint64_t offset;
    struct cw_vm_ctl *ctl = end_op_request(arg, &now, &offset);
    (void)record_offset;
    if (ctl == NULL || o == CW_APPEND_ACCEPTED) {
        return;
    }
    ctl->next_at = now + RETRY_DELAY_MS;
    cw_log(CW_WARN, "op_step_lost", "vm=%s op=%s outcome=%s reason=\"%s\"",
           ctl->vm.text, ctl->op.text, cw_append_outcome_name(o), reason);
}

static void
request_status(struct cw_daemon *d, struct cw_vm_ctl *ctl, cw_ms now)
{
    struct op_request *p = now < ctl->next_at ? NULL : new_op_request(d, ctl);
    if (p != NULL) {
        ctl->pending = true;
        d->pool.get_status(d->pool.ctx, ctl->vm.text, on_status, p);
    }
}

static void
call_pool_control(struct cw_daemon *d, struct cw_vm_ctl *ctl,
                  const struct cw_op_entry *op, const struct cw_op_out *out,
                  cw_ms now)
{
    static const enum cw_pool_call calls[] = {
        [CW_OP_CALL_DRAIN] = CW_POOL_DRAIN,
        [CW_OP_CALL_UNDRAIN] = CW_POOL_UNDRAIN,
        [CW_OP_CALL_REBOOT] = CW_POOL_REBOOT,
        [CW_OP_CALL_ASSIGN] = CW_POOL_ASSIGN,
    };
    static const char *const names[] = {"drain", "undrain", "reboot",
                                        "assign"};
    struct op_request *p = new_op_request(d, ctl);
    if (p == NULL) {
        return;
    }
    ctl->pending = true;
    ctl->call_answered = false;
    ctl->status.known = false;
    ctl->next_at = now;
    cw_log(CW_INFO, "pool_call", "vm=%s op=%s call=%s fence=%llu",
           ctl->vm.text, ctl->op.text, names[out->call],
           (unsigned long long)out->fence);
    d->pool.call(d->pool.ctx, calls[out->call], ctl->vm.text, ctl->op.text,
                 out->fence, op->rec.to.text, on_call_done, p);
}

static void
append_step(struct cw_daemon *d, struct cw_vm_ctl *ctl,
            const struct cw_op_entry *op, const struct cw_op_out *out)
{
    struct op_request *p = new_op_request(d, ctl);
    struct cw_record r;
    if (p == NULL) {
        return;
    }
    memset(&r, 0, sizeof(r));
    r.type = CW_REC_OP;
    r.u.op = op->rec;
    r.u.op.step = out->step;
    memcpy(r.u.op.result, out->reason, sizeof(r.u.op.result));
    ctl->pending = true;
    cw_log(CW_INFO, "op_step", "vm=%s op=%s step=%s result=\"%s\"",
           ctl->vm.text, ctl->op.text, cw_op_step_name(out->step),
           out->reason);
    cw_daemon_append(d, &r, on_step_appended, p);
}

/* ---- driving ----------------------------------------------------------- */

static struct cw_op_in
gather_op_input(struct cw_daemon *d, struct cw_vm_ctl *ctl,
                const struct cw_op_entry *op, cw_ms now)
{
    const struct cw_doc_entry *doc =
        cw_state_doc_of_pool(&d->state, cw_name_str(&op->rec.from));
    struct cw_str vm = cw_name_str(&ctl->vm);
    struct cw_op_in in = {
        .wall = cw_daemon_wall(d),
        .kind = op->rec.kind,
        .step = op->rec.step,
        .step_offset = op->last_offset,
        .step_wall = op->step_time[op->rec.step],
        .to = cw_name_str(&op->rec.to),
        .incarnation = ctl->incarnation,
        .drain_ms = doc != NULL ? doc->doc.drain_ms : CW_MINUTE,
        .log_available = cw_daemon_log_available(d, now),
        .confirmed = cw_daemon_confirmed(d, now),
        .members = (uint32_t)d->state.member_count,
        .members_drained =
            cw_daemon_members_drained(d, vm, cw_name_str(&op->rec.op)),
        .members_stable = cw_ops_members_stable(d, now),
        .cancel_reason = find_cancel_reason(d, op, now),
        .call_answered = ctl->call_answered,
        .vm_ready = cw_daemon_vm_ready(d, vm),
        .status = ctl->status,
    };
    in.status.pool = cw_name_str(&ctl->status_pool);
    return in;
}

/* Resets the entry for a new operation, and the answers of pool control for a
 * new step. */
static void
sync_op(const struct cw_daemon *d, size_t vm, struct cw_vm_ctl *ctl,
        const struct cw_op_entry *op)
{
    if (!cw_name_eq(&ctl->op, &op->rec.op)) {
        ctl->op = op->rec.op;
        ctl->settled = false;
        ctl->step_offset = 0;
        ctl->incarnation = d->state.vms[vm]->incarnation;
    }
    if (ctl->step_offset != op->last_offset) {
        ctl->step_offset = op->last_offset;
        ctl->call_answered = false;
        ctl->status.known = false;
        ctl->next_at = 0;
    }
    if (is_cancellable(op)) {
        ctl->incarnation = d->state.vms[vm]->incarnation;
    }
}

static void
handle_wait(struct cw_vm_ctl *ctl, const struct cw_op_in *in,
            const struct cw_op_out *out, cw_ms now)
{
    bool slow_poll = in->wall - in->step_wall > SLOW_POLL_AFTER_MS;
    if (ctl->status.known) {
        ctl->status.known = false;
        ctl->next_at =
            now + (slow_poll ? STATUS_POLL_SLOW_MS : STATUS_POLL_MS);
    }
    if (strcmp(ctl->reason, out->reason) != 0) {
        memcpy(ctl->reason, out->reason, sizeof(ctl->reason));
        cw_log(CW_DEBUG, "op_waits", "vm=%s op=%s step=%s reason=\"%s\"",
               ctl->vm.text, ctl->op.text, cw_op_step_name(in->step),
               out->reason);
    }
}

void
cw_ops_drive(struct cw_daemon *d, size_t vm, cw_ms now)
{
    struct cw_vm_ctl *ctl = d->ctl_maint->vms[vm];
    const struct cw_op_entry *op = d->ctl_maint->last_ops[vm];
    struct cw_op_params p = cw_op_defaults();
    struct cw_op_out out;
    if (op == NULL || op->rec.step == CW_STEP_DONE ||
        (ctl->settled && cw_name_eq(&ctl->op, &op->rec.op)) ||
        !cw_daemon_holds(d, cw_name_str(&op->rec.scope), now)) {
        return;
    }
    sync_op(d, vm, ctl, op);
    if (ctl->pending) {
        return;
    }
    struct cw_op_in in = gather_op_input(d, ctl, op, now);
    cw_op_decide(&p, &in, &out);
    switch (out.action) {
    case CW_OP_WAIT:
        handle_wait(ctl, &in, &out, now);
        break;
    case CW_OP_GET_STATUS:
        request_status(d, ctl, now);
        break;
    case CW_OP_CALL:
        call_pool_control(d, ctl, op, &out, now);
        break;
    case CW_OP_APPEND:
        if (now >= ctl->next_at) {
            append_step(d, ctl, op, &out);
        }
        break;
    case CW_OP_SETTLED:
        ctl->settled = true;
        break;
    }
}

/* ---- first record ------------------------------------------------------ */

static void
on_begin_appended(void *arg, enum cw_append_outcome o, uint64_t offset,
                  const char *reason)
{
    struct op_request *p = arg;
    struct cw_pool_ctl *ctl = cw_pool_ctl_get(p->d, &p->pool);
    (void)offset;
    if (ctl != NULL && ctl->pending > 0) {
        ctl->pending--;
    }
    if (o != CW_APPEND_ACCEPTED) {
        cw_log(CW_WARN, "op_not_begun", "vm=%s outcome=%s reason=\"%s\"",
               p->vm.text, cw_append_outcome_name(o), reason);
    }
    free(p);
}

void
cw_ops_begin(struct cw_daemon *d, enum cw_op_kind kind, size_t vm,
             const struct cw_name *to, const struct cw_name *wave,
             const char *cause, uint64_t doc_version)
{
    const struct cw_vm_entry *v = d->state.vms[vm];
    struct op_request *p = new_op_request(d, d->ctl_maint->vms[vm]);
    struct cw_pool_ctl *ctl = cw_pool_ctl_get(d, &v->pool);
    struct cw_record r;
    if (p == NULL || ctl == NULL) {
        free(p);
        return;
    }
    p->pool = v->pool;
    memset(&r, 0, sizeof(r));
    r.type = CW_REC_OP;
    cw_ops_new_name(d, kind == CW_OP_MOVE ? 'm' : 'r', &r.u.op.op);
    cw_ctl_pool_scope(&v->pool, &r.u.op.scope);
    r.u.op.kind = kind;
    r.u.op.vm = v->vm;
    r.u.op.from = v->pool;
    r.u.op.to = *to;
    if (wave != NULL) {
        r.u.op.wave = *wave;
    }
    snprintf(r.u.op.cause, sizeof(r.u.op.cause), "%s", cause);
    r.u.op.doc_version = doc_version;
    r.u.op.step = CW_STEP_DRAINING;
    ctl->pending++;
    cw_log(CW_INFO, "op_begin", "vm=%s op=%s kind=%s to=%s cause=\"%s\"",
           v->vm.text, r.u.op.op.text, cw_op_kind_name(kind), to->text, cause);
    cw_daemon_append(d, &r, on_begin_appended, p);
}
