/* Maintenance waves with real processes: no request is cut off, no VM is
 * maintained twice, and a new holder continues the wave. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "wave_fleet.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

/* A wave opens only after the pool was healthy for half a minute. */
#define WAVE_TIMEOUT_MS 150000

/* One fleet for both tests, because a new one would have to be healthy for
 * half a minute again before a wave opens. */
static struct wave_fleet fleet;

/* Builds a replica from the log's records. */
static void
replay_log(const struct wave_fleet *f, struct cw_state *s)
{
    size_t i;
    const json_t *r;
    cw_state_init(s);
    json_array_foreach(f->log, i, r)
    {
        char msg[CW_MSG_MAX];
        struct cw_record record;
        char *text = json_dumps(r, JSON_COMPACT);
        if (cw_record_parse(&record, cw_str_from(text), msg) == CW_OK) {
            (void)cw_state_apply(s, i + 1, &record);
            cw_record_finish(&record);
        }
        else {
            cw_state_skip(s, i + 1);
        }
        free(text);
    }
}

static void
print_operations(const struct wave_fleet *f, const char *vm)
{
    size_t i;
    const json_t *r;
    json_array_foreach(f->log, i, r)
    {
        const char *v = json_string_value(json_object_get(r, "vm"));
        if (v != NULL && strcmp(v, vm) == 0) {
            char *text = json_dumps(r, JSON_COMPACT);
            print_message("offset %zu: %s\n", i + 1, text);
            free(text);
        }
    }
}

/* The VM had exactly one operation, which succeeded. Counts operations of the
 * replica, because records may have no effect, such as the second copy of an
 * append that was repeated after a late answer. */
static bool
maintained_once(const struct cw_state *s, const char *vm)
{
    size_t n = 0;
    size_t done = 0;
    for (size_t i = 0; i < s->op_count; i++) {
        const struct cw_op_entry *e = s->ops[i];
        bool of_vm = cw_str_eq(cw_name_str(&e->rec.vm), cw_str_from(vm));
        n += of_vm;
        done += of_vm && e->rec.step == CW_STEP_DONE;
    }
    return n == 1 && done == 1;
}

/* Each of the VMs v<from> to v<to - 1> was maintained once, without a
 * violation. */
static bool
check_maintained_once(const struct wave_fleet *f, int from, int to)
{
    struct cw_state s;
    bool ok = fleet_violations(f) == 0;
    replay_log(f, &s);
    for (int i = from; i < to; i++) {
        char name[8];
        snprintf(name, sizeof(name), "v%d", i);
        if (!maintained_once(&s, name)) {
            print_operations(f, name);
            ok = false;
        }
    }
    cw_state_finish(&s);
    return ok;
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

/* A wave over a pool under load cuts off no request and maintains no VM
 * twice. */
static void
test_wave_under_load(void **state)
{
    (void)state;
    struct wave_fleet *f = &fleet;
    fleet_put(f, "stock", 0, 3, false);
    assert_true(fleet_wait(f, "wave", "action", "open", 1, WAVE_TIMEOUT_MS));
    struct proc *load = start_load(f);
    assert_true(fleet_wait(f, "wave", "action", "close", 1, WAVE_TIMEOUT_MS));
    assert_true(proc_running(load)); /* the load covered the whole wave */
    fleet_put(f, "spare", 0, 2, true);
    assert_int_equal(proc_wait(load, WAVE_TIMEOUT_MS), 0);
    static const char *const zero_counters[] = {"cut", "lost", "unknown",
                                                "wrong", "not_run"};
    assert_true(proc_log_value(&f->env, load, "ok") > 0);
    for (size_t i = 0; i < sizeof(zero_counters) / sizeof(zero_counters[0]);
         i++) {
        if (proc_log_value(&f->env, load, zero_counters[i]) != 0) {
            fail_msg("%s is not 0", zero_counters[i]);
        }
    }
    assert_true(check_maintained_once(f, 0, FLEET_STOCK));
}

/* Waits until the wave over a pool closes. Prints and skips close records of
 * other waves and those without effect: the first wave's close record may be
 * written twice, so that waiting for a second one returns before this wave
 * ends. */
static bool
wait_closed(struct wave_fleet *f, const char *scope)
{
    for (size_t count = 1;; count++) {
        if (!fleet_wait(f, "wave", "action", "close", count,
                        WAVE_TIMEOUT_MS)) {
            return false;
        }
        const json_t *r = fleet_last(f, "wave", "action", "close");
        const char *s = json_string_value(json_object_get(r, "scope"));
        if (s != NULL && strcmp(s, scope) == 0) {
            return true;
        }
        char *text = json_dumps(r, JSON_COMPACT);
        print_message("close record %zu: %s\n", count, text);
        free(text);
    }
}

/* The holder is killed during the wave: the next holder continues from each
 * VM's last recorded step. */
static void
test_holder_killed(void **state)
{
    (void)state;
    struct wave_fleet *f = &fleet;
    assert_true(
        fleet_wait(f, "wave", "scope", "pool/spare", 1, WAVE_TIMEOUT_MS));
    assert_true(fleet_wait(f, "op", "step", "rebooting", FLEET_STOCK + 1,
                           WAVE_TIMEOUT_MS));
    const json_t *r = fleet_last(f, "op", "step", "rebooting");
    proc_signal(fleet_writer(f, r), SIGKILL);
    assert_true(wait_closed(f, "pool/spare"));
    assert_true(check_maintained_once(f, FLEET_STOCK, FLEET_VMS));
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
