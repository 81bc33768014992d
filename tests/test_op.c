/* Single steps of a VM operation with lost responses, outages and a holder
 * that resumes after a freeze. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "cuminwalk.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

static struct cw_op_in
make_input(enum cw_op_kind kind, enum cw_op_step step)
{
    return (struct cw_op_in){
        .wall = 100000,
        .kind = kind,
        .step = step,
        .step_offset = 50,
        .step_wall = 99000,
        .to = kind == CW_OP_MOVE ? CW_LIT("b") : CW_LIT("a"),
        .incarnation = 7,
        .drain_ms = 60000,
        .log_available = true,
        .confirmed = true,
        .members = 3,
        .members_drained = 3,
        .members_stable = true,
        .status = {.known = true,
                   .state = CW_OP_VM_DRAINED,
                   .pool = CW_LIT("a"),
                   .incarnation = 7,
                   .fence = 40},
    };
}

static struct cw_op_out
decide(const struct cw_op_in *in)
{
    struct cw_op_params p = cw_op_defaults();
    struct cw_op_out out;
    cw_op_decide(&p, in, &out);
    return out;
}

/* The call of each step is repeated while the status shows that it had no
 * effect, and never after it took effect, whether or not its response
 * arrived. */
static void
test_lost_response(void **state)
{
    (void)state;
    static const struct {
        enum cw_op_kind kind;
        enum cw_op_step step;
        enum cw_op_vm_state state_before;
        enum cw_op_call call;
        enum cw_op_vm_state state_after;
        enum cw_op_action action_after;
        enum cw_op_step next_step;
        uint32_t incarnation;
        const char *pool;
    } cases[] = {
        {CW_OP_MAINTAIN, CW_STEP_DRAINING, CW_OP_VM_READY, CW_OP_CALL_DRAIN,
         CW_OP_VM_DRAINED, CW_OP_APPEND, CW_STEP_DRAINED, 7, "a"},
        {CW_OP_MAINTAIN, CW_STEP_REBOOTING, CW_OP_VM_DRAINED,
         CW_OP_CALL_REBOOT, CW_OP_VM_REBOOTING, CW_OP_APPEND,
         CW_STEP_RETURNING, 7, "a"},
        {CW_OP_MAINTAIN, CW_STEP_REBOOTING, CW_OP_VM_DRAINED,
         CW_OP_CALL_REBOOT, CW_OP_VM_READY, CW_OP_APPEND, CW_STEP_RETURNING, 8,
         "a"},
        {CW_OP_MAINTAIN, CW_STEP_REBOOTING, CW_OP_VM_DRAINED,
         CW_OP_CALL_REBOOT, CW_OP_VM_READY, CW_OP_APPEND, CW_STEP_RETURNING, 8,
         "a"},
        {CW_OP_MOVE, CW_STEP_ASSIGNING, CW_OP_VM_DRAINED, CW_OP_CALL_ASSIGN,
         CW_OP_VM_REBOOTING, CW_OP_APPEND, CW_STEP_RETURNING, 7, "b"},
        {CW_OP_MOVE, CW_STEP_RETURNING, CW_OP_VM_DRAINED, CW_OP_CALL_UNDRAIN,
         CW_OP_VM_READY, CW_OP_APPEND, CW_STEP_DONE, 8, "b"},
        {CW_OP_MOVE, CW_STEP_CANCELLED, CW_OP_VM_DRAINED, CW_OP_CALL_UNDRAIN,
         CW_OP_VM_READY, CW_OP_SETTLED, 0, 7, "a"},
        {CW_OP_MAINTAIN, CW_STEP_FAILED, CW_OP_VM_DRAINED, CW_OP_CALL_UNDRAIN,
         CW_OP_VM_READY, CW_OP_SETTLED, 0, 8, "a"},
    };
    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_op_in in = make_input(cases[i].kind, cases[i].step);
        in.status.state = cases[i].state_before;
        struct cw_op_out out = decide(&in);
        assert_int_equal(out.action, CW_OP_CALL);
        assert_int_equal(out.call, cases[i].call);
        assert_true(out.fence == 50);
        in.status.known = false;
        assert_int_equal(decide(&in).action, CW_OP_GET_STATUS);
        in.status.known = true;
        assert_int_equal(decide(&in).action, CW_OP_CALL);
        in.status.state = cases[i].state_after;
        in.status.pool = cw_str_from(cases[i].pool);
        in.status.incarnation = cases[i].incarnation;
        in.status.fence = 50;
        in.vm_ready = true;
        out = decide(&in);
        assert_int_equal(out.action, cases[i].action_after);
        assert_int_equal(out.step, cases[i].next_step);
    }
}

/* While the log is unavailable no step may be taken, because no other holder
 * would see it. Afterwards the operation continues from its last step. */
static void
test_log_outage(void **state)
{
    (void)state;
    static const struct {
        uint64_t incarnation;
        enum cw_op_kind kind;
        enum cw_op_step step;
        enum cw_op_vm_state vm;
        enum cw_op_step next_step;
    } cases[] = {
        {7, CW_OP_MOVE, CW_STEP_DRAINING, CW_OP_VM_DRAINED, CW_STEP_DRAINED},
        {7, CW_OP_MOVE, CW_STEP_DRAINED, CW_OP_VM_DRAINED, CW_STEP_ASSIGNING},
        {7, CW_OP_MAINTAIN, CW_STEP_DRAINED, CW_OP_VM_DRAINED,
         CW_STEP_REBOOTING},
        {7, CW_OP_MAINTAIN, CW_STEP_REBOOTING, CW_OP_VM_REBOOTING,
         CW_STEP_RETURNING},
        {8, CW_OP_MOVE, CW_STEP_RETURNING, CW_OP_VM_READY, CW_STEP_DONE},
    };
    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_op_in in = make_input(cases[i].kind, cases[i].step);
        in.status.state = cases[i].vm;
        in.status.incarnation = cases[i].incarnation;
        in.vm_ready = true;
        in.log_available = false;
        struct cw_op_out out = decide(&in);
        assert_int_equal(out.action, CW_OP_WAIT);
        assert_string_equal(out.reason, "log unavailable");
        in.log_available = true;
        out = decide(&in);
        assert_int_equal(out.action, CW_OP_APPEND);
        assert_int_equal(out.step, cases[i].next_step);
        assert_true(
            cw_op_valid_transition(cases[i].kind, cases[i].step, out.step));
    }
}

/* A holder that resumes after a freeze in the middle of a move must not make
 * the call that it had decided on: its membership is not confirmed, and after
 * it has read the log the fence at pool control is above its own. */
static void
test_frozen_holder(void **state)
{
    (void)state;
    struct cw_op_params p = cw_op_defaults();
    struct cw_op_in in = make_input(CW_OP_MOVE, CW_STEP_ASSIGNING);
    struct cw_op_out out;
    in.confirmed = false;
    cw_op_decide(&p, &in, &out);
    assert_int_equal(out.action, CW_OP_WAIT);
    p.check_confirm = false;
    cw_op_decide(&p, &in, &out);
    assert_int_equal(out.action, CW_OP_CALL);
    in.confirmed = true;
    in.status.fence = 51;
    cw_op_decide(&p, &in, &out);
    assert_int_equal(out.action, CW_OP_WAIT);
}

/* Requests in flight at the VM or at any member delay the reboot. A drain that
 * takes too long is cancelled, and no operation is cancelled once it reached
 * rebooting or assigning. */
static void
test_limits(void **state)
{
    (void)state;
    static const struct {
        const char *name;
        enum cw_op_kind kind;
        enum cw_op_step step;
        uint32_t in_flight;
        uint32_t drained; /* of 3 members */
        cw_ms age;
        bool cancel;
        bool member_lapsed; /* just now */
        enum cw_op_action action;
        enum cw_op_step next_step;
    } cases[] = {
        {"at the VM", CW_OP_MAINTAIN, CW_STEP_DRAINING, 1, 3, 0, false, false,
         CW_OP_WAIT, 0},
        {"at a member", CW_OP_MAINTAIN, CW_STEP_DRAINING, 0, 2, 0, false,
         false, CW_OP_WAIT, 0},
        {"at a lapsed member", CW_OP_MAINTAIN, CW_STEP_DRAINING, 0, 3, 0,
         false, true, CW_OP_WAIT, 0},
        {"too long", CW_OP_MAINTAIN, CW_STEP_DRAINING, 1, 3, 60000, false,
         false, CW_OP_APPEND, CW_STEP_CANCELLED},
        {"empty at last", CW_OP_MAINTAIN, CW_STEP_DRAINING, 0, 3, 60000, false,
         false, CW_OP_APPEND, CW_STEP_DRAINED},
        {"hold in drain", CW_OP_MAINTAIN, CW_STEP_DRAINING, 0, 3, 0, true,
         false, CW_OP_APPEND, CW_STEP_CANCELLED},
        {"hold after drain", CW_OP_MOVE, CW_STEP_DRAINED, 0, 3, 0, true, false,
         CW_OP_APPEND, CW_STEP_CANCELLED},
        {"again in flight", CW_OP_MAINTAIN, CW_STEP_REBOOTING, 1, 3, 0, false,
         false, CW_OP_WAIT, 0},
        {"hold in reboot", CW_OP_MAINTAIN, CW_STEP_REBOOTING, 0, 3, 0, true,
         false, CW_OP_CALL, 0},
        {"hold in assign", CW_OP_MOVE, CW_STEP_ASSIGNING, 0, 3, 0, true, false,
         CW_OP_CALL, 0},
        {"never rebooted", CW_OP_MAINTAIN, CW_STEP_REBOOTING, 0, 3, 360000,
         false, false, CW_OP_APPEND, CW_STEP_FAILED},
        {"never assigned", CW_OP_MOVE, CW_STEP_ASSIGNING, 0, 3, 360000, false,
         false, CW_OP_CALL, 0},
        {"does not return", CW_OP_MOVE, CW_STEP_RETURNING, 0, 3, 300000, false,
         false, CW_OP_APPEND, CW_STEP_FAILED},
    };
    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_op_in in = make_input(cases[i].kind, cases[i].step);
        in.status.in_flight = cases[i].in_flight;
        in.members_stable = !cases[i].member_lapsed;
        in.members_drained = cases[i].drained;
        in.wall = in.step_wall + cases[i].age;
        in.cancel_reason = cases[i].cancel ? "hold" : NULL;
        if (in.step == CW_STEP_RETURNING) {
            in.status.state = CW_OP_VM_REBOOTING;
        }
        struct cw_op_out out = decide(&in);
        if (out.action != cases[i].action || out.step != cases[i].next_step) {
            print_error("case %s\n", cases[i].name);
        }
        assert_int_equal(out.action, cases[i].action);
        assert_int_equal(out.step, cases[i].next_step);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_lost_response),
        cmocka_unit_test(test_log_outage),
        cmocka_unit_test(test_frozen_holder),
        cmocka_unit_test(test_limits),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
