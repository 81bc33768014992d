/* Requirement R6: 3 s after an endpoint began to drain, no daemon sends it new
 * work, although the VM list still shows it as live. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "proc_fleet.h"

#include <signal.h>
#include <string.h>

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

static struct proc_fleet fleet;

static int
setup(void **state)
{
    /* Default intervals, because the 3 s are promised for them. */
    static const struct proc_fleet_options o = {
        .services = 1,
        .vms = 4,
        .dcs = 2,
        .daemons = 3,
        .settings = "",
        .document = "",
    };
    *state = &fleet;
    return proc_fleet_start(&fleet, &o) ? 0 : -1;
}

static int
teardown(void **state)
{
    proc_fleet_finish(*state, false);
    return 0;
}

/* With quiet_drain the endpoint accepts work while it drains, so that daemons
 * learn of the drain only from probes and from each other. */
static void
test_no_new_work_while_draining(void **state)
{
    static const struct {
        const char *fault; /* set at the endpoint before the drain */
        int vm;
    } cases[] = {
        {"{\"mode\":\"none\",\"quiet_drain\":true}", 0},
        {"{\"mode\":\"none\",\"quiet_drain\":false}", 1},
    };
    struct proc_fleet *f = *state;
    assert_true(proc_fleet_set_fault(f, "{\"vmlist_lag_ms\":600000}"));
    struct proc *load = proc_fleet_start_load(
        f, "load", 7, "s1",
        (const char *[]){"--closed", "24", "--work-ms", "20", "--seconds",
                         "120", NULL});
    for (size_t i = 0; i < COUNT(cases); i++) {
        char body[96];
        int vm = cases[i].vm;
        assert_true(proc_fleet_set_endpoint_fault(f, vm, cases[i].fault));
        int64_t before = proc_fleet_counter(f, vm, "runs");
        proc_sleep_ms(500);
        assert_true(proc_fleet_counter(f, vm, "runs") > before);
        snprintf(body, sizeof(body),
                 "{\"vm\":\"%s\",\"op\":\"t1\",\"fence\":1}", f->vms[vm].name);
        json_decref(proc_http_json(f->platform->port, "/pool/drain", body));
        proc_sleep_ms(6000);
        assert_int_equal(proc_fleet_counter(f, vm, "late"), 0);
        assert_int_equal(proc_fleet_counter(f, vm, "in_flight"), 0);
    }
    /* The other endpoints still get work. */
    int64_t before = proc_fleet_counter(f, 2, "runs");
    proc_sleep_ms(500);
    assert_true(proc_fleet_counter(f, 2, "runs") > before);
    proc_signal(load, SIGTERM);
    assert_int_equal(proc_wait(load, PROC_TIMEOUT_MS), 0);
    assert_int_equal(proc_fleet_load_value(f, load, "ran_twice"), 0);
    assert_int_equal(proc_fleet_load_value(f, load, "cut"), 0);
    assert_int_equal(proc_fleet_load_value(f, load, "unknown"), 0);
}

int
main(void)
{
    signal(SIGPIPE, SIG_IGN);
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_no_new_work_while_draining, setup,
                                        teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
