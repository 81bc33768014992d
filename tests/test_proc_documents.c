/* Requirement R8: an accepted document is in force on all daemons and never
 * reverts to an older version, whatever faults daemons and log have. */
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
check_in_force_everywhere(struct proc_fleet *f, uint64_t version)
{
    for (int i = 0; i < DAEMONS; i++) {
        assert_true(proc_fleet_wait_version(f, i, 1, version));
    }
}

static uint64_t
put_edit(struct proc_fleet *f)
{
    uint64_t base = (uint64_t)proc_fleet_document_version(f, 0, 1);
    uint64_t version = proc_fleet_put_document(f, 1, base, "");
    assert_true(version > base);
    return version;
}

/* Daemons keep nothing on disk: when all of them are killed at once, they
 * recover the document from the log alone. */
static void
test_all_daemons_killed(void **state)
{
    struct proc_fleet *f = *state;
    uint64_t version = put_edit(f);
    check_in_force_everywhere(f, version);
    for (int i = 0; i < DAEMONS; i++) {
        proc_signal(f->daemons[i], SIGKILL);
    }
    for (int i = 0; i < DAEMONS; i++) {
        proc_fleet_start_daemon(f, i);
    }
    check_in_force_everywhere(f, version);
}

/* Of two edits based on the same version, the first one in the log is in force
 * on all daemons and the second one on none. */
static void
test_conflicting_edits(void **state)
{
    struct proc_fleet *f = *state;
    uint64_t base = (uint64_t)proc_fleet_document_version(f, 0, 1);
    uint64_t first =
        proc_fleet_put_document(f, 1, base, ",\"deadline_ms\":1111");
    uint64_t second =
        proc_fleet_put_document(f, 1, base, ",\"deadline_ms\":2222");
    assert_true(second > first);
    /* A third edit, based on the first, is applied after both. */
    uint64_t third = proc_fleet_put_document(f, 1, first, "");
    check_in_force_everywhere(f, third);
}

/* During a log outage edits are refused, requests are still served, and a
 * daemon that starts gets the document from a peer. */
static void
test_log_outage(void **state)
{
    struct proc_fleet *f = *state;
    struct proc_answer a;
    uint64_t version = put_edit(f);
    check_in_force_everywhere(f, version);
    assert_true(proc_fleet_set_fault(f, "{\"log\":\"down\"}"));
    assert_int_equal(proc_fleet_put_document(f, 1, version, ""), 0);
    proc_signal(f->daemons[2], SIGKILL);
    proc_fleet_start_daemon(f, 2);
    check_in_force_everywhere(f, version);
    assert_true(proc_http(f->daemons[0]->port, "POST", "/s1/work", "", "{}",
                          PROC_TIMEOUT_MS, &a));
    assert_int_equal(a.status, 200);
    proc_answer_finish(&a);
    assert_true(proc_fleet_set_fault(f, "{\"log\":\"up\"}"));
    assert_true(proc_fleet_wait_ready(f, 2));
    check_in_force_everywhere(f, version);
}

struct expiry_wait {
    struct proc_fleet *f;
    uint64_t version;
};

/* The document's record is older than the first one that the log retains. */
static bool
record_expired(void *arg)
{
    const struct expiry_wait *w = arg;
    return proc_http_json_number(w->f->platform->port, "/log/config?from=0",
                                 "first") > (int64_t)w->version;
}

/* Once the log's retention has removed a document's record, only snapshots
 * hold the document. A daemon that starts later must still load it. */
static void
test_record_expired(void **state)
{
    struct proc_fleet *f = *state;
    struct expiry_wait w = {f, put_edit(f)};
    check_in_force_everywhere(f, w.version);
    assert_true(proc_fleet_set_fault(f, "{\"retention_ms\":15000}"));
    assert_true(proc_wait_until(record_expired, &w, 2 * PROC_TIMEOUT_MS));
    proc_signal(f->daemons[2], SIGKILL);
    proc_fleet_start_daemon(f, 2);
    check_in_force_everywhere(f, w.version);
    assert_true(proc_fleet_wait_ready(f, 2));
}

int
main(void)
{
    signal(SIGPIPE, SIG_IGN);
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_all_daemons_killed, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_conflicting_edits, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_log_outage, setup, teardown),
        cmocka_unit_test_setup_teardown(test_record_expired, setup, teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
