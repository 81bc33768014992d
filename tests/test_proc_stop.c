/* Graceful stops: neither a daemon's shutdown nor the drain and reboot of a VM
 * may cut off a request in flight. */
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
    static const struct proc_fleet_options o = {
        .services = 1,
        .vms = 4,
        .dcs = 2,
        .daemons = 3,
        .settings = ",\"heartbeat_ms\":200,\"silent_ms\":1000,"
                    "\"slot_guard_ms\":1500,\"probe_ms\":200",
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

/* Stops the load and checks that no request failed. */
static void
check_no_failures(struct proc_fleet *f, struct proc *load)
{
    static const char *const zero_counters[] = {
        "wrong",          "cut",       "lost",      "late",
        "unknown",        "run_error", "ran_twice", "not_run_but_ran",
        "ok_but_not_run",
    };
    proc_signal(load, SIGTERM);
    assert_int_equal(proc_wait(load, PROC_TIMEOUT_MS), 0);
    assert_true(proc_fleet_load_value(f, load, "ok") > 0);
    for (size_t i = 0; i < COUNT(zero_counters); i++) {
        if (proc_fleet_load_value(f, load, zero_counters[i]) != 0) {
            fail_msg(
                "%s=%lld", zero_counters[i],
                (long long)proc_fleet_load_value(f, load, zero_counters[i]));
        }
    }
}

/* After SIGTERM a daemon answers the requests it has accepted, leaves the
 * membership and exits with 0, also with long answers and with callers that
 * keep their connections open. */
static void
test_daemon_stop(void **state)
{
    static const struct {
        const char *name;
        const char *options[8];
    } cases[] = {
        {"kept", {"--work-ms", "30", "--keep-alive", "1", NULL}},
        {"fresh", {"--work-ms", "30", "--keep-alive", "0", NULL}},
        {"long",
         {"--work-ms", "100", "--answer-bytes", "300000", "--chunked", NULL}},
    };
    struct proc_fleet *f = *state;
    for (size_t i = 0; i < COUNT(cases); i++) {
        const char *options[16] = {"--rate", "100", "--seconds", "60"};
        memcpy(options + 4, cases[i].options, sizeof(cases[i].options));
        struct proc *load =
            proc_fleet_start_load(f, cases[i].name, 7, "s1", options);
        proc_sleep_ms(1000);
        proc_signal(f->daemons[0], SIGTERM);
        assert_int_equal(proc_wait(f->daemons[0], PROC_TIMEOUT_MS), 0);
        assert_true(proc_fleet_wait_member(f, 1, "d1", false));
        proc_sleep_ms(500);
        check_no_failures(f, load);
        proc_fleet_start_daemon(f, 0);
        assert_true(proc_fleet_wait_ready(f, 0));
        assert_true(proc_fleet_wait_slots(f, 7));
    }
}

static bool
vm_drained(void *arg)
{
    struct proc_fleet *f = arg;
    json_t *o = proc_http_json(f->platform->port, "/pool/vm/s1-v1", NULL);
    const char *vm_state = json_string_value(json_object_get(o, "state"));
    bool is_drained = vm_state != NULL && strcmp(vm_state, "drained") == 0;
    json_decref(o);
    return is_drained;
}

static bool
vm_rebooted(void *arg)
{
    struct proc_fleet *f = arg;
    return proc_fleet_counter(f, 0, "incarnation") == 2 &&
           proc_fleet_wait_slots(f, 7);
}

/* The platform drains and reboots a VM under load without a log record of the
 * daemons, which learn of it only from refusals and readiness probes. */
static void
test_drain_and_reboot(void **state)
{
    struct proc_fleet *f = *state;
    struct proc *load = proc_fleet_start_load(
        f, "load", 7, "s1",
        (const char *[]){"--rate", "200", "--work-ms", "30", "--seconds", "60",
                         "--answer-bytes", "100000", NULL});
    proc_sleep_ms(1000);
    json_decref(
        proc_http_json(f->platform->port, "/pool/drain",
                       "{\"vm\":\"s1-v1\",\"op\":\"t1\",\"fence\":1}"));
    assert_true(proc_wait_until(vm_drained, f, PROC_TIMEOUT_MS));
    json_decref(
        proc_http_json(f->platform->port, "/pool/reboot",
                       "{\"vm\":\"s1-v1\",\"op\":\"t1\",\"fence\":2}"));
    assert_true(proc_wait_until(vm_rebooted, f, PROC_TIMEOUT_MS));
    proc_sleep_ms(500);
    check_no_failures(f, load);
    assert_int_equal(
        proc_http_json_number(f->platform->port, "/violations", "total"), 0);
}

int
main(void)
{
    signal(SIGPIPE, SIG_IGN);
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_daemon_stop, setup, teardown),
        cmocka_unit_test_setup_teardown(test_drain_and_reboot, setup,
                                        teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
