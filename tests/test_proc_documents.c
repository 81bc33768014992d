/* Guards R8: an accepted document is in force on all daemons and never
 * reverts, whatever happens to daemons and log. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "proc_fleet.h"

#include <signal.h>
#include <string.h>

#define DAEMONS 3

static struct proc_fleet fleet;

static int
setup(void **state)
{
    static const struct proc_fleet_options o = {
        .services = 1,
        .vms = 1,
        .dcs = 1,
        .daemons = DAEMONS,
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

static void
check_in_force(struct proc_fleet *f, uint64_t version)
{
    for (int i = 0; i < DAEMONS; i++) {
        assert_true(proc_fleet_wait_version(f, i, 1, version));
    }
}

static uint64_t
edit(struct proc_fleet *f)
{
    uint64_t base = (uint64_t)proc_fleet_version(f, 0, 1);
    uint64_t version = proc_fleet_put_document(f, 1, base, "");
    assert_true(version > base);
    return version;
}

/* Daemons keep nothing on disk: after all of them died at once the document
 * comes back from the log alone. */
static void
test_restart_with_nothing(void **state)
{
    struct proc_fleet *f = *state;
    uint64_t version = edit(f);
    check_in_force(f, version);
    for (int i = 0; i < DAEMONS; i++) {
        proc_signal(f->daemons[i], SIGKILL);
    }
    for (int i = 0; i < DAEMONS; i++) {
        proc_fleet_start_daemon(f, i);
    }
    check_in_force(f, version);
}

/* Of two edits with one base the first in the log is in force everywhere, and
 * the second nowhere. */
static void
test_conflicting_edits(void **state)
{
    struct proc_fleet *f = *state;
    uint64_t base = (uint64_t)proc_fleet_version(f, 0, 1);
    uint64_t first =
        proc_fleet_put_document(f, 1, base, ",\"deadline_ms\":1111");
    uint64_t second =
        proc_fleet_put_document(f, 1, base, ",\"deadline_ms\":2222");
    assert_true(second > first);
    /* A third edit, based on the first, is applied after both. */
    uint64_t third = proc_fleet_put_document(f, 1, first, "");
    check_in_force(f, third);
}

/* In an outage no edit is taken, requests go on, and a daemon that starts then
 * gets the document from a peer. */
static void
test_log_outage(void **state)
{
    struct proc_fleet *f = *state;
    struct proc_answer a;
    uint64_t version = edit(f);
    check_in_force(f, version);
    assert_true(proc_fleet_fault(f, "{\"log\":\"down\"}"));
    assert_int_equal(proc_fleet_put_document(f, 1, version, ""), 0);
    proc_signal(f->daemons[2], SIGKILL);
    proc_fleet_start_daemon(f, 2);
    check_in_force(f, version);
    assert_true(proc_http(f->daemons[0]->port, "POST", "/s1/work", "", "{}",
                          PROC_LIMIT_MS, &a));
    assert_int_equal(a.status, 200);
    proc_answer_finish(&a);
    assert_true(proc_fleet_fault(f, "{\"log\":\"up\"}"));
    assert_true(proc_fleet_wait_ready(f, 2));
    check_in_force(f, version);
}

struct passed_wait {
    struct proc_fleet *f;
    uint64_t version;
};

/* The log's first kept offset is beyond the document's record. */
static bool
retention_passed(void *arg)
{
    const struct passed_wait *w = arg;
    return proc_json_number(w->f->platform->port, "/log/config?from=0",
                            "first") > (int64_t)w->version;
}

/* Once the retention has passed a document's record only snapshots hold it. A
 * daemon that starts then must still have it. */
static void
test_retention_passes_record(void **state)
{
    struct proc_fleet *f = *state;
    struct passed_wait w = {f, edit(f)};
    check_in_force(f, w.version);
    assert_true(proc_fleet_fault(f, "{\"retention_ms\":15000}"));
    assert_true(proc_until(retention_passed, &w, 2 * PROC_LIMIT_MS));
    proc_signal(f->daemons[2], SIGKILL);
    proc_fleet_start_daemon(f, 2);
    check_in_force(f, w.version);
    assert_true(proc_fleet_wait_ready(f, 2));
}

int
main(void)
{
    signal(SIGPIPE, SIG_IGN);
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_restart_with_nothing, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_conflicting_edits, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_log_outage, setup, teardown),
        cmocka_unit_test_setup_teardown(test_retention_passes_record, setup,
                                        teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
