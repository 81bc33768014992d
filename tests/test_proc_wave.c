/* Guards maintenance waves with real processes: no request is cut, no VM has
 * two turns, and a new holder goes on with the wave. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "wave_fleet.h"

#include <signal.h>
#include <string.h>

/* A wave needs half a minute of health before it opens. */
#define WAVE_LIMIT_MS 150000

/* One fleet for both tests, because a wave opens only after half a minute of
 * health. */
static struct wave_fleet fleet;

/* Operations of a VM that have a record of the step. */
static size_t
count_steps(const struct wave_fleet *f, int vm, const char *step)
{
    char name[8];
    size_t n = 0;
    size_t i;
    const json_t *r;
    snprintf(name, sizeof(name), "v%d", vm);
    json_array_foreach(f->log, i, r)
    {
        const char *v = json_string_value(json_object_get(r, "vm"));
        const char *s = json_string_value(json_object_get(r, "step"));
        n += v != NULL && s != NULL && strcmp(v, name) == 0 &&
             strcmp(s, step) == 0;
    }
    return n;
}

/* Each of the VMs was taken once, and none came to harm. */
static bool
check_wave(const struct wave_fleet *f, int from, int to)
{
    bool good = fleet_violations(f) == 0;
    for (int i = from; i < to; i++) {
        good = good && count_steps(f, i, "draining") == 1 &&
               count_steps(f, i, "done") == 1;
    }
    return good;
}

static struct proc *
start_load(struct wave_fleet *f)
{
    char targets[64];
    snprintf(targets, sizeof(targets),
             "127.0.0.1:%d,127.0.0.1:%d,127.0.0.1:%d", f->daemons[0]->port,
             f->daemons[1]->port, f->daemons[2]->port);
    const char *argv[] = {"standin-load", "--target",  targets, "--service",
                          "stock",        "--closed",  "8",     "--seconds",
                          "30",           "--work-ms", "50",    NULL};
    return proc_start(&f->env, "load", argv);
}

/* A wave over a pool under load ends no request and takes no VM twice. */
static void
test_wave_under_load(void **state)
{
    (void)state;
    struct wave_fleet *f = &fleet;
    fleet_put(f, "stock", 0, 3, false);
    assert_true(fleet_wait(f, "wave", "action", "open", 1, WAVE_LIMIT_MS));
    struct proc *load = start_load(f);
    assert_true(fleet_wait(f, "wave", "action", "close", 1, WAVE_LIMIT_MS));
    assert_true(proc_running(load)); /* for the whole wave */
    fleet_put(f, "spare", 0, 2, true);
    assert_int_equal(proc_wait(load, WAVE_LIMIT_MS), 0);
    static const char *const zero[] = {"cut", "lost", "unknown", "wrong",
                                       "not_run"};
    assert_true(proc_log_value(&f->env, load, "ok") > 0);
    for (size_t i = 0; i < sizeof(zero) / sizeof(zero[0]); i++) {
        if (proc_log_value(&f->env, load, zero[i]) != 0) {
            fail_msg("%s is not 0", zero[i]);
        }
    }
    assert_true(check_wave(f, 0, FLEET_STOCK));
}

/* The holder dies in mid-wave: the next one goes on from each VM's last
 * step. */
static void
test_holder_killed(void **state)
{
    (void)state;
    struct wave_fleet *f = &fleet;
    assert_true(
        fleet_wait(f, "wave", "scope", "pool/spare", 1, WAVE_LIMIT_MS));
    assert_true(fleet_wait(f, "op", "step", "rebooting", FLEET_STOCK + 1,
                           WAVE_LIMIT_MS));
    const json_t *r = fleet_last(f, "op", "step", "rebooting");
    proc_signal(fleet_writer(f, r), SIGKILL);
    assert_true(fleet_wait(f, "wave", "action", "close", 2, WAVE_LIMIT_MS));
    assert_true(check_wave(f, FLEET_STOCK, FLEET_VMS));
}

static int
setup(void **state)
{
    (void)state;
    fleet_start(&fleet);
    return 0;
}

static int
teardown(void **state)
{
    (void)state;
    fleet_stop(&fleet, false);
    return 0;
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_wave_under_load),
        cmocka_unit_test(test_holder_killed),
    };
    return cmocka_run_group_tests(tests, setup, teardown);
}
