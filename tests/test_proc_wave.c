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

/* Each VM of the pool was taken once, and none came to harm. */
static void
check_wave(const struct wave_fleet *f)
{
    for (int i = 0; i < FLEET_STOCK; i++) {
        char vm[8];
        size_t begun = 0;
        size_t k;
        const json_t *r;
        snprintf(vm, sizeof(vm), "v%d", i);
        json_array_foreach(f->log, k, r)
        {
            const char *v = json_string_value(json_object_get(r, "vm"));
            const char *s = json_string_value(json_object_get(r, "step"));
            begun += v != NULL && s != NULL && strcmp(v, vm) == 0 &&
                     strcmp(s, "draining") == 0;
        }
        assert_int_equal(begun, 1);
    }
    assert_int_equal(fleet_count(f, "op", "step", "done"), FLEET_STOCK);
    assert_int_equal(fleet_count(f, "op", "step", "cancelled"), 0);
    assert_int_equal(fleet_count(f, "op", "step", "failed"), 0);
    assert_int_equal(fleet_violations(f), 0);
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

/* A wave over a pool under load ends no request and no VM twice. */
static void
test_wave_under_load(void **state)
{
    (void)state;
    struct wave_fleet f;
    fleet_start(&f);
    fleet_put(&f, "stock", 0, 3, false);
    assert_true(fleet_wait(&f, "doc", "service", "stock", 1, PROC_LIMIT_MS));
    bool opened = fleet_wait(&f, "wave", "action", "open", 1, WAVE_LIMIT_MS);
    struct proc *load = start_load(&f);
    bool closed =
        opened && fleet_wait(&f, "wave", "action", "close", 1, WAVE_LIMIT_MS);
    bool covered = proc_running(load);
    int rc = proc_wait(load, WAVE_LIMIT_MS);
    int64_t ok = proc_log_value(&f.env, load, "ok");
    int64_t cut = proc_log_value(&f.env, load, "cut");
    int64_t lost = proc_log_value(&f.env, load, "lost");
    int64_t unknown = proc_log_value(&f.env, load, "unknown");
    int64_t wrong = proc_log_value(&f.env, load, "wrong");
    printf("rc=%d ok=%d cut=%d lost=%d unknown=%d wrong=%d\n", rc, (int)ok,
           (int)cut, (int)lost, (int)unknown, (int)wrong);
    bool good = closed && covered && rc == 0 && ok > 0 && cut == 0 &&
                lost == 0 && unknown == 0 && wrong == 0;
    if (good) {
        check_wave(&f);
    }
    fleet_stop(&f, !good);
    assert_true(good);
}

/* The holder dies in mid-wave: the next one goes on from each VM's last
 * step. */
static void
test_holder_killed(void **state)
{
    (void)state;
    struct wave_fleet f;
    fleet_start(&f);
    fleet_put(&f, "stock", 0, 3, false);
    bool good = fleet_wait(&f, "op", "step", "rebooting", 1, WAVE_LIMIT_MS);
    if (good) {
        const json_t *r = fleet_last(&f, "op", "step", "rebooting");
        proc_signal(fleet_writer(&f, r), SIGKILL);
        good = fleet_wait(&f, "wave", "action", "close", 1, WAVE_LIMIT_MS);
    }
    if (good) {
        check_wave(&f);
    }
    fleet_stop(&f, !good);
    assert_true(good);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_wave_under_load),
        cmocka_unit_test(test_holder_killed),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
