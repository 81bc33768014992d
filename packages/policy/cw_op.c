/* State machine of a VM operation: drain, reboot or assignment, return to
 * service. */
#include "cuminwalk.h"

#include <string.h>

struct cw_op_params
cw_op_defaults(void)
{
    return (struct cw_op_params){
        .return_ms = 5 * CW_MINUTE,
        .check_confirm = true,
        .check_members = true,
        .check_inflight = true,
        .forward_only = true,
    };
}

bool
cw_op_ended(enum cw_op_step s)
{
    return s == CW_STEP_DONE || s == CW_STEP_CANCELLED || s == CW_STEP_FAILED;
}

bool
cw_op_valid_transition(enum cw_op_kind kind, enum cw_op_step from,
                       enum cw_op_step to)
{
    enum cw_op_step stop_step =
        kind == CW_OP_MOVE ? CW_STEP_ASSIGNING : CW_STEP_REBOOTING;
    switch (to) {
    case CW_STEP_DRAINING:
        return false;
    case CW_STEP_DRAINED:
        return from == CW_STEP_DRAINING;
    case CW_STEP_REBOOTING:
    case CW_STEP_ASSIGNING:
        return from == CW_STEP_DRAINED && to == stop_step;
    case CW_STEP_RETURNING:
        return from == stop_step;
    case CW_STEP_DONE:
        return from == CW_STEP_RETURNING;
    case CW_STEP_CANCELLED:
        return from == CW_STEP_DRAINING || from == CW_STEP_DRAINED;
    case CW_STEP_FAILED:
        /* A move in assigning cannot fail: the log already has the VM in its
         * new pool, so the call is retried until pool control agrees. */
        return from == CW_STEP_REBOOTING || from == CW_STEP_RETURNING;
    }
    return false;
}

static void
set_wait(struct cw_op_out *out, const char *reason)
{
    out->action = CW_OP_WAIT;
    snprintf(out->reason, sizeof(out->reason), "%s", reason);
}

/* Appends the record of a step. While the log is unavailable the operation
 * keeps its current step and waits. */
static void
set_append(const struct cw_op_in *in, struct cw_op_out *out,
           enum cw_op_step step, const char *result)
{
    if (!in->log_available) {
        set_wait(out, "log unavailable");
        return;
    }
    out->action = CW_OP_APPEND;
    out->step = step;
    snprintf(out->reason, sizeof(out->reason), "%s", result);
}

/* The record of the current step authorizes the call, so its offset is the
 * fence. */
static void
set_call(const struct cw_op_in *in, struct cw_op_out *out,
         enum cw_op_call call)
{
    out->action = CW_OP_CALL;
    out->call = call;
    out->fence = in->step_offset;
}

static bool
may_cancel(const struct cw_op_params *p, const struct cw_op_in *in)
{
    return in->step == CW_STEP_DRAINING || in->step == CW_STEP_DRAINED ||
           (!p->forward_only && !cw_op_ended(in->step));
}

/* True when no request is in flight at the VM or on the way to it. */
static bool
is_idle(const struct cw_op_params *p, const struct cw_op_in *in)
{
    bool members = in->members > 0 && in->members_stable &&
                   in->members_drained >= in->members;
    return (members || !p->check_members) &&
           (in->status.in_flight == 0 || !p->check_inflight);
}

static void
decide_draining(const struct cw_op_params *p, const struct cw_op_in *in,
                struct cw_op_out *out)
{
    if (in->status.state != CW_OP_VM_READY && is_idle(p, in)) {
        set_append(in, out, CW_STEP_DRAINED, "");
    }
    else if (in->wall - in->step_wall >= in->drain_ms) {
        set_append(in, out, CW_STEP_CANCELLED, "drain_ms passed");
        snprintf(out->reason, sizeof(out->reason),
                 "drain_ms passed: %u in flight, %u of %u members drained",
                 in->status.in_flight, in->members_drained, in->members);
    }
    else if (in->status.state == CW_OP_VM_READY) {
        set_call(in, out, CW_OP_CALL_DRAIN);
    }
    else {
        snprintf(out->reason, sizeof(out->reason),
                 "%u in flight, %u of %u members drained",
                 in->status.in_flight, in->members_drained, in->members);
    }
}

static void
decide_drained(const struct cw_op_params *p, const struct cw_op_in *in,
               struct cw_op_out *out)
{
    if (in->status.state == CW_OP_VM_READY) {
        set_append(in, out, CW_STEP_CANCELLED, "VM went back into service");
    }
    else if (!is_idle(p, in)) {
        if (in->wall - in->step_wall >= in->drain_ms) {
            set_append(in, out, CW_STEP_CANCELLED,
                       "in flight again after drain");
        }
        else {
            set_wait(out, "in flight again after drain");
        }
    }
    else {
        set_append(in, out,
                   in->kind == CW_OP_MOVE ? CW_STEP_ASSIGNING
                                          : CW_STEP_REBOOTING,
                   "");
    }
}

/* The VM has to be drained and without requests in flight when the reboot or
 * assignment is called. If it is in service again under its old incarnation,
 * it is drained once more, because an operation in this step is not cancelled.
 */
static void
decide_reboot_or_assign(const struct cw_op_params *p,
                        const struct cw_op_in *in, struct cw_op_out *out)
{
    bool move = in->kind == CW_OP_MOVE;
    /* Only the reboot puts the VM into service under this step's fence. This
     * also holds when the log had the VM's new incarnation before, so that the
     * incarnation shows no change. */
    bool rebooted = in->status.state == CW_OP_VM_READY &&
                    in->status.fence == in->step_offset;
    bool took_effect =
        move ? cw_str_eq(in->status.pool, in->to)
             : rebooted || in->status.incarnation > in->incarnation;
    if (took_effect || (!move && in->status.state == CW_OP_VM_REBOOTING)) {
        set_append(in, out, CW_STEP_RETURNING, "");
    }
    else if (!move &&
             in->wall - in->step_wall >= in->drain_ms + p->return_ms) {
        set_append(in, out, CW_STEP_FAILED,
                   "pool control did not carry it out");
    }
    else if (in->status.state == CW_OP_VM_READY) {
        set_call(in, out, CW_OP_CALL_DRAIN);
    }
    else if (!is_idle(p, in)) {
        set_wait(out, "in flight again before reboot or assignment");
    }
    else {
        set_call(in, out, move ? CW_OP_CALL_ASSIGN : CW_OP_CALL_REBOOT);
    }
}

static void
decide_returning(const struct cw_op_params *p, const struct cw_op_in *in,
                 struct cw_op_out *out)
{
    enum cw_op_vm_state st = in->status.state;
    if (st == CW_OP_VM_READY && in->vm_ready) {
        set_append(in, out, CW_STEP_DONE, "in service");
    }
    else if (in->wall - in->step_wall >= p->return_ms) {
        set_append(in, out, CW_STEP_FAILED,
                   st == CW_OP_VM_READY ? "endpoint not ready in time"
                                        : "VM did not return in time");
    }
    else if (st == CW_OP_VM_DRAINED || st == CW_OP_VM_DRAINING) {
        set_call(in, out, CW_OP_CALL_UNDRAIN);
    }
    else {
        set_wait(out, st == CW_OP_VM_READY ? "endpoint not ready yet"
                                           : "VM rebooting");
    }
}

/* Returns the VM to service after a cancelled or failed operation. Undrain is
 * called even when the VM is ready: it raises the fence at pool control, so
 * that a delayed drain or reboot call is refused. A VM that is drained
 * although undrain was answered was drained by a later call, and only a new
 * operation returns it to service. */
static void
decide_undrain(const struct cw_op_in *in, struct cw_op_out *out)
{
    if (in->status.state == CW_OP_VM_REBOOTING) {
        set_wait(out, "VM rebooting");
    }
    else if (in->call_answered || (in->status.state == CW_OP_VM_READY &&
                                   in->status.fence >= in->step_offset)) {
        out->action = CW_OP_SETTLED;
    }
    else {
        set_call(in, out, CW_OP_CALL_UNDRAIN);
    }
}

static void
decide_with_status(const struct cw_op_params *p, const struct cw_op_in *in,
                   struct cw_op_out *out)
{
    switch (in->step) {
    case CW_STEP_DRAINING:
        decide_draining(p, in, out);
        break;
    case CW_STEP_DRAINED:
        decide_drained(p, in, out);
        break;
    case CW_STEP_REBOOTING:
    case CW_STEP_ASSIGNING:
        decide_reboot_or_assign(p, in, out);
        break;
    case CW_STEP_RETURNING:
        decide_returning(p, in, out);
        break;
    case CW_STEP_CANCELLED:
    case CW_STEP_FAILED:
        decide_undrain(in, out);
        break;
    case CW_STEP_DONE:
        out->action = CW_OP_SETTLED;
        break;
    }
}

void
cw_op_decide(const struct cw_op_params *p, const struct cw_op_in *in,
             struct cw_op_out *out)
{
    memset(out, 0, sizeof(*out));
    if (in->step == CW_STEP_DONE) {
        out->action = CW_OP_SETTLED;
        return;
    }
    if (in->cancel_reason != NULL && may_cancel(p, in)) {
        set_append(in, out, CW_STEP_CANCELLED, in->cancel_reason);
        return;
    }
    if (p->check_confirm && !in->confirmed) {
        set_wait(out, "membership not confirmed");
        return;
    }
    if (!in->status.known) {
        out->action = CW_OP_GET_STATUS;
        return;
    }
    if (in->status.fence > in->step_offset) {
        set_wait(out, "a later record is in effect");
        return;
    }
    decide_with_status(p, in, out);
}
