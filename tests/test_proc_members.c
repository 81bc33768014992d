/* The slot limit and the membership while daemons are killed, or stopped and
 * resumed: an endpoint never gets more requests at once than its 8 slots, and
 * a resumed daemon sends no work before its membership is confirmed. */
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
        .vms = 3,
        .dcs = 1,
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

/* Starts enough callers to keep every slot of the fleet busy. */
static struct proc *
start_saturating_load(struct proc_fleet *f, const char *name, unsigned daemons)
{
    return proc_fleet_start_load(
        f, name, daemons, "s1",
        (const char *[]){"--closed", "48", "--work-ms", "60", "--seconds",
                         "120", "--deadline", "2000", NULL});
}

static void
check_peaks(struct proc_fleet *f)
{
    for (int vm = 0; vm < f->vm_count; vm++) {
        assert_in_range(proc_fleet_counter(f, vm, "peak"), 1, 8);
        assert_in_range(proc_fleet_counter(f, vm, "connections_peak"), 1, 64);
    }
}

static void
check_limits(struct proc_fleet *f, struct proc *load)
{
    proc_signal(load, SIGTERM);
    assert_int_equal(proc_wait(load, PROC_TIMEOUT_MS), 0);
    assert_true(proc_fleet_load_value(f, load, "ok") > 0);
    assert_int_equal(proc_fleet_load_value(f, load, "not_run_but_ran"), 0);
    assert_int_equal(proc_fleet_load_value(f, load, "ran_twice"), 0);
    assert_int_equal(proc_fleet_load_value(f, load, "wrong"), 0);
    check_peaks(f);
}

/* Requests that a killed daemon had in flight still run on the endpoints:
 * other daemons must not use its slots until those requests have ended. */
static void
test_daemon_killed(void **state)
{
    struct proc_fleet *f = *state;
    struct proc *load = start_saturating_load(f, "load", 7);
    proc_sleep_ms(1000);
    proc_signal(f->daemons[2], SIGKILL);
    assert_true(proc_fleet_wait_member(f, 0, "d3", false));
    assert_true(proc_fleet_wait_slots(f, 3));
    proc_fleet_start_daemon(f, 2);
    assert_true(proc_fleet_wait_ready(f, 2));
    assert_true(proc_fleet_wait_slots(f, 7));
    proc_sleep_ms(1000);
    check_limits(f, load);
}

static bool
all_slots_work(void *arg)
{
    struct proc_fleet *f = arg;
    for (int vm = 0; vm < f->vm_count; vm++) {
        if (proc_fleet_counter(f, vm, "in_flight") != 8) {
            return false;
        }
    }
    return true;
}

/* Guards against: when a daemon was killed, its peers gave up the requests it
 * had forwarded to them and used their slots again at once, though the
 * endpoints were still at work on them; the peak of an endpoint was 9. */
static void
test_forwarder_killed_slots_in_use(void **state)
{
    struct proc_fleet *f = *state;
    const char *const args[] = {"--closed",   "48",        "--work-ms",
                                "1000",       "--seconds", "120",
                                "--deadline", "5000",      NULL};
    struct proc *forwarded =
        proc_fleet_start_load(f, "forwarded", 4, "s1", args);
    /* d3 holds a third of the slots: the others work on what it forwarded. */
    assert_true(proc_wait_until(all_slots_work, f, PROC_TIMEOUT_MS));
    struct proc *queued = proc_fleet_start_load(f, "queued", 3, "s1", args);
    proc_sleep_ms(200);
    proc_signal(f->daemons[2], SIGKILL);
    proc_signal(forwarded, SIGTERM);
    proc_sleep_ms(2000);
    check_limits(f, queued);
}

/* Guards against: the slot of a request whose deadline had passed was used
 * again at once, though the endpoint was still at work on it. */
static void
test_deadline_passed_slots_in_use(void **state)
{
    struct proc_fleet *f = *state;
    struct proc *load = proc_fleet_start_load(
        f, "load", 7, "s1",
        (const char *[]){"--closed", "48", "--work-ms", "400", "--seconds",
                         "3", "--deadline", "200", NULL});
    assert_int_equal(proc_wait(load, PROC_TIMEOUT_MS), 0);
    assert_true(proc_fleet_load_value(f, load, "unknown") > 0);
    check_peaks(f);
}

struct incarnation_wait {
    struct proc_fleet *f;
    int64_t before;
};

static bool
has_new_incarnation(void *arg)
{
    const struct incarnation_wait *w = arg;
    return proc_fleet_status_number(w->f, 1, "incarnation") > w->before;
}

/* A daemon resumed after SIGSTOP finds queued requests and expired timers,
 * while the others have removed it from the membership and reassigned its
 * slots. */
static void
test_daemon_stopped_and_resumed(void **state)
{
    struct proc_fleet *f = *state;
    struct incarnation_wait w = {
        f, proc_fleet_status_number(f, 1, "incarnation")};
    struct proc *load = start_saturating_load(f, "load", 7);
    proc_sleep_ms(1000);
    proc_signal(f->daemons[1], SIGSTOP);
    assert_true(proc_fleet_wait_member(f, 0, "d2", false));
    assert_true(proc_fleet_wait_slots(f, 5));
    proc_signal(f->daemons[1], SIGCONT);
    assert_true(proc_wait_until(has_new_incarnation, &w, PROC_TIMEOUT_MS));
    assert_true(proc_fleet_wait_ready(f, 1));
    assert_true(proc_fleet_wait_slots(f, 7));
    proc_sleep_ms(1000);
    check_limits(f, load);
}

/* During a log outage the membership cannot change: the slots of a killed
 * daemon stay unused, and the other daemons go on with their own. */
static void
test_daemon_killed_in_log_outage(void **state)
{
    struct proc_fleet *f = *state;
    struct proc *load = start_saturating_load(f, "load", 3);
    assert_true(proc_fleet_set_fault(f, "{\"log\":\"down\"}"));
    proc_signal(f->daemons[2], SIGKILL);
    proc_sleep_ms(4000);
    assert_true(proc_fleet_is_member(f, 0, "d3"));
    int64_t before = proc_fleet_counter(f, 0, "runs");
    proc_sleep_ms(500);
    assert_true(proc_fleet_counter(f, 0, "runs") > before);
    assert_true(proc_fleet_set_fault(f, "{\"log\":\"up\"}"));
    assert_true(proc_fleet_wait_member(f, 0, "d3", false));
    assert_true(proc_fleet_wait_slots(f, 3));
    check_limits(f, load);
}

int
main(void)
{
    signal(SIGPIPE, SIG_IGN);
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_daemon_killed, setup, teardown),
        cmocka_unit_test_setup_teardown(test_forwarder_killed_slots_in_use,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(test_deadline_passed_slots_in_use,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(test_daemon_stopped_and_resumed, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_daemon_killed_in_log_outage,
                                        setup, teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
