/* Moves of VMs between pools with real processes: whatever fault occurs during
 * a move, the VM ends up in exactly one pool and no request is cut off. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "wave_fleet.h"

#include <signal.h>
#include <string.h>

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define MOVE_TIMEOUT_MS 90000

static void
stop_and_resume_holder(struct wave_fleet *f, const json_t *record)
{
    struct proc *holder = fleet_writer(f, record);
    proc_signal(holder, SIGSTOP);
    proc_sleep_ms(5000);
    proc_signal(holder, SIGCONT);
}

static void
kill_holder(struct wave_fleet *f, const json_t *record)
{
    proc_signal(fleet_writer(f, record), SIGKILL);
}

static void
lose_pool_control_answers(struct wave_fleet *f, const json_t *record)
{
    (void)record;
    fleet_fault(f, "{\"pool\":\"lose\",\"lose_calls\":3}");
}

static void
cause_log_outage(struct wave_fleet *f, const json_t *record)
{
    (void)record;
    fleet_fault(f, "{\"log\":\"down\"}");
    proc_sleep_ms(6000);
    fleet_fault(f, "{\"log\":\"up\"}");
}

static void
lose_append_answers(struct wave_fleet *f, const json_t *record)
{
    (void)record;
    fleet_fault(f, "{\"log\":\"lose\",\"lose_calls\":5}");
}

struct fault {
    const char *name;
    const char *step; /* of the move, after whose record the fault starts */
    void (*inject)(struct wave_fleet *f, const json_t *record);
};

/* Pool control shows the moved VM in pool stock and reports no violation. */
static bool
check_pools(const struct wave_fleet *f)
{
    size_t stock_vms = 0;
    json_t *o = proc_http_json(f->env.platform_port, "/vms?since=0", NULL);
    json_t *vms = json_object_get(o, "vms");
    size_t i;
    const json_t *v;
    json_array_foreach(vms, i, v)
    {
        const char *pool = json_string_value(json_object_get(v, "pool"));
        stock_vms += pool != NULL && strcmp(pool, "stock") == 0;
    }
    json_decref(o);
    return stock_vms == FLEET_STOCK + 1 && fleet_violations(f) == 0;
}

static void
run_move(const struct fault *fault)
{
    struct wave_fleet f;
    fleet_start(&f);
    fleet_put(&f, "spare", 0, 2, true);
    fleet_put(&f, "stock", 0, FLEET_STOCK + 1, false);
    bool ok = fleet_wait(&f, "op", "step", fault->step, 1, MOVE_TIMEOUT_MS);
    if (ok) {
        fault->inject(&f, fleet_last(&f, "op", "step", fault->step));
        ok = fleet_wait(&f, "op", "step", "done", 1, MOVE_TIMEOUT_MS);
    }
    ok = ok && check_pools(&f) && fleet_count(&f, "op", "step", "failed") == 0;
    fleet_stop(&f, !ok);
    if (!ok) {
        fail_msg("fault %s", fault->name);
    }
}

/* Faults of the holder. */
static void
test_holder_faults(void **state)
{
    (void)state;
    static const struct fault faults[] = {
        {"holder stopped and resumed while draining", "draining",
         stop_and_resume_holder},
        {"holder stopped and resumed before the assign call", "assigning",
         stop_and_resume_holder},
        {"holder killed after assigning", "assigning", kill_holder},
    };
    for (size_t i = 0; i < COUNT(faults); i++) {
        run_move(&faults[i]);
    }
}

/* Faults of the platform. */
static void
test_platform_faults(void **state)
{
    (void)state;
    static const struct fault faults[] = {
        {"pool control answers lost", "draining", lose_pool_control_answers},
        {"log outage while draining", "draining", cause_log_outage},
        {"log outage after assigning", "assigning", cause_log_outage},
        {"append answers lost", "draining", lose_append_answers},
    };
    for (size_t i = 0; i < COUNT(faults); i++) {
        run_move(&faults[i]);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_holder_faults),
        cmocka_unit_test(test_platform_faults),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
