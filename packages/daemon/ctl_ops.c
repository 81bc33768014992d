/* Drives VM operations: gathers what the decision needs, then appends a step,
 * calls pool control or asks it for the VM's status. */
#include "cw_ctl_maint.h"

#include <stdlib.h>
#include <string.h>

/* Between questions about the same VM. An operation that has waited long is
 * asked about less often. */
#define ASK_MS 250
#define ASK_LATE_MS (2 * CW_SECOND)
#define LATE_MS CW_MINUTE
/* After a failed call, before the status is asked for. */
#define RETRY_MS CW_SECOND
/* Time in which readiness of all VMs becomes known after a start. */
#define PROBES_MS (15 * CW_SECOND)

/* What a callback needs to find its VM again. */
struct pending {
    struct cw_daemon *d;
    struct cw_name vm;
    struct cw_name pool; /* of a beginning operation */
    uint64_t offset;
};

static struct pending *
make_pending(struct cw_daemon *d, const struct cw_vm_run *run)
{
    struct pending *p = calloc(1, sizeof(*p));
    if (p != NULL) {
        p->d = d;
        p->vm = run->vm;
        p->offset = run->offset;
    }
    return p;
}

/* The VM's entry, with pending cleared; NULL when the module has ended or the
 * VM is gone. Releases p. */
static struct cw_vm_run *
take_pending(struct pending *p, cw_ms *now, uint64_t *offset)
{
    struct cw_ctl_maint *m = p->d->ctl_maint;
    struct cw_vm_run *run = NULL;
    *now = cw_daemon_now(p->d);
    *offset = p->offset;
    for (size_t i = 0; m != NULL && i < m->vm_count; i++) {
        if (cw_name_eq(&m->vms[i]->vm, &p->vm)) {
            run = m->vms[i];
            run->pending = false;
            break;
        }
    }
    free(p);
    return run;
}

void
cw_ops_new_name(struct cw_daemon *d, char kind, struct cw_name *out)
{
    char text[24];
    uint64_t h = cw_hash(cw_daemon_name(d), d->incarnation);
    h = cw_hash_mix(h, ++d->ctl_maint->seq);
    int n =
        snprintf(text, sizeof(text), "%c%016llx", kind, (unsigned long long)h);
    (void)cw_name_set(out, (struct cw_str){text, (size_t)n});
}

bool
cw_ops_members_stable(const struct cw_daemon *d, cw_ms now)
{
    return d->state.member_epoch == d->ctl_maint->epoch &&
           now - d->ctl_maint->epoch_seen >= d->settings->slot_guard_ms;
}

bool
cw_ops_in_service(const struct cw_daemon *d, size_t vm)
{
    const struct cw_vm_entry *v = d->state.vms[vm];
    const struct cw_op_entry *op = d->ctl_maint->last[vm];
    const struct cw_vm_run *run = d->ctl_maint->vms[vm];
    bool undone = op == NULL || op->rec.step == CW_STEP_DONE ||
                  (run->settled && cw_name_eq(&run->op, &op->rec.op));
    return v->op.len == 0 && undone &&
           cw_daemon_vm_ready(d, cw_name_str(&v->vm));
}

uint32_t
cw_ops_ready(const struct cw_daemon *d, const struct cw_name *pool)
{
    uint32_t ready = 0;
    for (size_t i = 0; i < d->state.vm_count; i++) {
        ready += cw_name_eq(&d->state.vms[i]->pool, pool) &&
                 cw_ops_in_service(d, i);
    }
    return ready;
}

uint32_t
cw_ops_needed(const struct cw_daemon *d, const struct cw_doc_entry *doc)
{
    struct cw_budget_params p = cw_budget_defaults();
    const struct cw_loads *l = &d->ctl_maint->loads;
    const struct cw_name *s = &doc->doc.service;
    double avg2 = cw_loads_demand(l, d, s, 2 * CW_MINUTE);
    double avg15 = cw_loads_demand(l, d, s, 15 * CW_MINUTE);
    return cw_vms_needed(&p, doc->doc.vms_min, avg2 > avg15 ? avg2 : avg15,
                         doc->doc.slots);
}

/* ---- reasons to give up ----------------------------------------------- */

static bool
may_cancel(const struct cw_op_entry *op)
{
    return op->rec.step == CW_STEP_DRAINING || op->rec.step == CW_STEP_DRAINED;
}

/* Operations of the same pool that are newer and may be cancelled first. */
static uint32_t
newer_ops(const struct cw_daemon *d, const struct cw_op_entry *op)
{
    uint32_t n = 0;
    for (size_t i = 0; i < d->ctl_maint->vm_count; i++) {
        const struct cw_op_entry *o = d->ctl_maint->last[i];
        n += o != NULL && may_cancel(o) &&
             o->first_offset > op->first_offset &&
             cw_name_eq(&o->rec.from, &op->rec.from);
    }
    return n;
}

/* A start that lands late, or demand that rises, may find the pool short. */
static bool
is_pool_short(const struct cw_daemon *d, const struct cw_op_entry *op,
              cw_ms now)
{
    const struct cw_doc_entry *doc =
        cw_state_doc_of_pool(&d->state, cw_name_str(&op->rec.from));
    if (doc == NULL || now - d->ctl_maint->started < PROBES_MS ||
        !cw_ops_members_stable(d, now)) {
        return false;
    }
    uint32_t ready = cw_ops_ready(d, &op->rec.from);
    uint32_t needed = cw_ops_needed(d, doc);
    return ready < needed && newer_ops(d, op) < needed - ready;
}

/* Two holders may have begun a move of the same pool at the same time. */
static bool
is_second_move(const struct cw_daemon *d, const struct cw_op_entry *op)
{
    for (size_t i = 0; i < d->ctl_maint->vm_count; i++) {
        const struct cw_op_entry *o = d->ctl_maint->last[i];
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
find_give_up(const struct cw_daemon *d, const struct cw_op_entry *op,
             cw_ms now)
{
    if (!may_cancel(op)) {
        return NULL;
    }
    const struct cw_wave_entry *w =
        cw_state_open_wave(&d->state, cw_name_str(&op->rec.scope));
    if (op->rec.wave.len > 0 && w != NULL &&
        cw_name_eq(&w->wave, &op->rec.wave) && w->last == CW_WAVE_HOLD) {
        return "wave on hold";
    }
    if (op->rec.kind == CW_OP_MOVE && is_second_move(d, op)) {
        return "another move of the pool is open";
    }
    return is_pool_short(d, op, now) ? "the pool needs the VM" : NULL;
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
    struct cw_vm_run *run = take_pending(arg, &now, &offset);
    if (run == NULL || run->offset != offset) {
        return;
    }
    if (s != CW_OK) {
        run->next = now + RETRY_MS;
        return;
    }
    run->status_pool = vm->pool;
    run->status = (struct cw_op_status){.known = true,
                                        .state = states[vm->state],
                                        .incarnation = vm->incarnation,
                                        .in_flight = vm->in_flight,
                                        .fence = vm->fence};
}

static void
on_called(void *arg, enum cw_status s)
{
    cw_ms now;
    uint64_t offset;
    struct cw_vm_run *run = take_pending(arg, &now, &offset);
    if (run == NULL || run->offset != offset) {
        return;
    }
    run->answered = s == CW_OK;
    run->next = s == CW_OK ? now : now + RETRY_MS;
}

static void
on_step(void *arg, enum cw_append_outcome o, uint64_t at, const char *reason)
{
    cw_ms now;
    uint64_t offset;
    struct cw_vm_run *run = take_pending(arg, &now, &offset);
    (void)at;
    if (run == NULL || o == CW_APPEND_ACCEPTED) {
        return;
    }
    run->next = now + RETRY_MS;
    cw_log(CW_WARN, "op_step_lost", "vm=%s op=%s outcome=%s reason=\"%s\"",
           run->vm.text, run->op.text, cw_append_outcome_name(o), reason);
}

static void
ask(struct cw_daemon *d, struct cw_vm_run *run, cw_ms now)
{
    struct pending *p = now < run->next ? NULL : make_pending(d, run);
    if (p != NULL) {
        run->pending = true;
        d->pool.get_status(d->pool.ctx, run->vm.text, on_status, p);
    }
}

static void
call(struct cw_daemon *d, struct cw_vm_run *run, const struct cw_op_entry *op,
     const struct cw_op_out *out, cw_ms now)
{
    static const enum cw_pool_call calls[] = {
        [CW_OP_CALL_DRAIN] = CW_POOL_DRAIN,
        [CW_OP_CALL_UNDRAIN] = CW_POOL_UNDRAIN,
        [CW_OP_CALL_REBOOT] = CW_POOL_REBOOT,
        [CW_OP_CALL_ASSIGN] = CW_POOL_ASSIGN,
    };
    static const char *const names[] = {"drain", "undrain", "reboot",
                                        "assign"};
    struct pending *p = make_pending(d, run);
    if (p == NULL) {
        return;
    }
    run->pending = true;
    run->answered = false;
    run->status.known = false;
    run->next = now;
    cw_log(CW_INFO, "pool_call", "vm=%s op=%s call=%s fence=%llu",
           run->vm.text, run->op.text, names[out->call],
           (unsigned long long)out->fence);
    d->pool.call(d->pool.ctx, calls[out->call], run->vm.text, run->op.text,
                 out->fence, op->rec.to.text, on_called, p);
}

static void
append_step(struct cw_daemon *d, struct cw_vm_run *run,
            const struct cw_op_entry *op, const struct cw_op_out *out)
{
    struct pending *p = make_pending(d, run);
    struct cw_record r;
    if (p == NULL) {
        return;
    }
    memset(&r, 0, sizeof(r));
    r.type = CW_REC_OP;
    r.u.op = op->rec;
    r.u.op.step = out->step;
    memcpy(r.u.op.result, out->reason, sizeof(r.u.op.result));
    run->pending = true;
    cw_log(CW_INFO, "op_step", "vm=%s op=%s step=%s result=\"%s\"",
           run->vm.text, run->op.text, cw_op_step_name(out->step),
           out->reason);
    cw_daemon_append(d, &r, on_step, p);
}

/* ---- driving ----------------------------------------------------------- */

static struct cw_op_in
gather(struct cw_daemon *d, struct cw_vm_run *run,
       const struct cw_op_entry *op, cw_ms now)
{
    const struct cw_doc_entry *doc =
        cw_state_doc_of_pool(&d->state, cw_name_str(&op->rec.from));
    struct cw_str vm = cw_name_str(&run->vm);
    struct cw_op_in in = {
        .wall = cw_daemon_wall(d),
        .kind = op->rec.kind,
        .step = op->rec.step,
        .step_offset = op->last_offset,
        .step_wall = op->step_time[op->rec.step],
        .to = cw_name_str(&op->rec.to),
        .incarnation = run->incarnation,
        .drain_ms = doc != NULL ? doc->doc.drain_ms : CW_MINUTE,
        .log_available = cw_daemon_log_available(d, now),
        .confirmed = cw_daemon_confirmed(d, now),
        .members = (uint32_t)d->state.member_count,
        .members_drained =
            cw_daemon_members_drained(d, vm, cw_name_str(&op->rec.op)),
        .members_stable = cw_ops_members_stable(d, now),
        .give_up = find_give_up(d, op, now),
        .call_answered = run->answered,
        .vm_ready = cw_daemon_vm_ready(d, vm),
        .status = run->status,
    };
    in.status.pool = cw_name_str(&run->status_pool);
    return in;
}

/* Starts afresh for a new operation and forgets what was known for an earlier
 * step. */
static void
follow_op(const struct cw_daemon *d, size_t vm, struct cw_vm_run *run,
          const struct cw_op_entry *op)
{
    if (!cw_name_eq(&run->op, &op->rec.op)) {
        run->op = op->rec.op;
        run->settled = false;
        run->offset = 0;
        run->incarnation = d->state.vms[vm]->incarnation;
    }
    if (run->offset != op->last_offset) {
        run->offset = op->last_offset;
        run->answered = false;
        run->status.known = false;
        run->next = 0;
    }
    if (may_cancel(op)) {
        run->incarnation = d->state.vms[vm]->incarnation;
    }
}

static void
wait_more(struct cw_vm_run *run, const struct cw_op_in *in,
          const struct cw_op_out *out, cw_ms now)
{
    bool late = in->wall - in->step_wall > LATE_MS;
    if (run->status.known) {
        run->status.known = false;
        run->next = now + (late ? ASK_LATE_MS : ASK_MS);
    }
    if (strcmp(run->reason, out->reason) != 0) {
        memcpy(run->reason, out->reason, sizeof(run->reason));
        cw_log(CW_DEBUG, "op_waits", "vm=%s op=%s step=%s reason=\"%s\"",
               run->vm.text, run->op.text, cw_op_step_name(in->step),
               out->reason);
    }
}

void
cw_ops_drive(struct cw_daemon *d, size_t vm, cw_ms now)
{
    struct cw_vm_run *run = d->ctl_maint->vms[vm];
    const struct cw_op_entry *op = d->ctl_maint->last[vm];
    struct cw_op_params p = cw_op_defaults();
    struct cw_op_out out;
    if (op == NULL || op->rec.step == CW_STEP_DONE ||
        (run->settled && cw_name_eq(&run->op, &op->rec.op)) ||
        !cw_daemon_holds(d, cw_name_str(&op->rec.scope), now)) {
        return;
    }
    follow_op(d, vm, run, op);
    if (run->pending) {
        return;
    }
    struct cw_op_in in = gather(d, run, op, now);
    cw_op_decide(&p, &in, &out);
    switch (out.action) {
    case CW_OP_WAIT:
        wait_more(run, &in, &out, now);
        break;
    case CW_OP_ASK:
        ask(d, run, now);
        break;
    case CW_OP_CALL:
        call(d, run, op, &out, now);
        break;
    case CW_OP_APPEND:
        if (now >= run->next) {
            append_step(d, run, op, &out);
        }
        break;
    case CW_OP_SETTLED:
        run->settled = true;
        break;
    }
}

/* ---- beginning --------------------------------------------------------- */

static void
on_begun(void *arg, enum cw_append_outcome o, uint64_t offset,
         const char *reason)
{
    struct pending *p = arg;
    struct cw_pool_run *run = cw_ctl_pool_run(p->d, &p->pool);
    (void)offset;
    if (run != NULL && run->pending > 0) {
        run->pending--;
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
    struct pending *p = make_pending(d, d->ctl_maint->vms[vm]);
    struct cw_pool_run *run = cw_ctl_pool_run(d, &v->pool);
    struct cw_record r;
    if (p == NULL || run == NULL) {
        free(p);
        return;
    }
    p->pool = v->pool;
    memset(&r, 0, sizeof(r));
    r.type = CW_REC_OP;
    cw_ops_new_name(d, kind == CW_OP_MOVE ? 'm' : 'r', &r.u.op.op);
    cw_ctl_scope(&v->pool, &r.u.op.scope);
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
    run->pending++;
    cw_log(CW_INFO, "op_begin", "vm=%s op=%s kind=%s to=%s cause=\"%s\"",
           v->vm.text, r.u.op.op.text, cw_op_kind_name(kind), to->text, cause);
    cw_daemon_append(d, &r, on_begun, p);
}
