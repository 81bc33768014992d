/* Job placement under faults with real processes: no task runs twice when a
 * daemon is killed or stopped, the log is unavailable or answers are lost. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "place_fixture.h"

#include <signal.h>

/* Longer than a task's initial lease of 30 s. */
#define LEASE_EXPIRY_MS 36000

/* Guards against a new holder that starts tasks which run already, or that
 * does not renew their leases and record their outcomes. */
static void
test_holder_killed(void **state)
{
    (void)state;
    struct place_fixture f;
    place_fixture_start(&f, "");
    place_put_job(&f, "stock", 0, 20, 1000, 12000, "");
    bool ok =
        cluster_stream_wait(&f.jobs, "start", NULL, NULL, 16, PROC_TIMEOUT_MS);
    if (ok) {
        struct proc *old = place_holder(&f);
        proc_signal(old, SIGKILL);
        ok = place_wait_replaced(&f, old) &&
             place_wait_done(&f, 20, LEASE_LIMIT_MS);
    }
    ok = place_ran_once(&f, 20) && ok;
    place_fixture_stop(&f, ok);
}

/* Appends a start record of a daemon that no longer holds the cell, as if the
 * append had been delayed while the daemon was stopped. */
static bool
append_late_start(struct place_fixture *f, const json_t *old_claim)
{
    char json[512];
    snprintf(json, sizeof(json),
             "{\"type\":\"start\",\"id\":\"late-1\",\"by\":\"%s\","
             "\"epoch\":%lld,\"time\":1,\"task\":\"stock.job.0\","
             "\"worker\":\"w4\",\"attempt\":9,\"cpu_milli\":1000,"
             "\"memory_mb\":100,\"accelerators\":0}",
             cluster_record_text(old_claim, "by"),
             (long long)cluster_record_number(old_claim, "epoch"));
    return cluster_append(&f->cluster, "jobs-0", json) > 0;
}

/* Guards against a holder that is stopped (SIGSTOP) past its lease and acts on
 * its old state when it resumes, and against a late start record that takes
 * effect. */
static void
test_holder_stopped(void **state)
{
    (void)state;
    struct place_fixture f;
    place_fixture_start(&f, "");
    place_put_job(&f, "stock", 0, 8, 1000, 50000, "");
    bool ok =
        cluster_stream_wait(&f.jobs, "start", NULL, NULL, 8, PROC_TIMEOUT_MS);
    if (ok) {
        struct proc *old = place_holder(&f);
        json_t *claim =
            json_deep_copy(cluster_stream_last(&f.jobs, "claim", NULL, NULL));
        proc_signal(old, SIGSTOP);
        ok = place_wait_replaced(&f, old) && append_late_start(&f, claim);
        json_decref(claim);
        proc_sleep_ms(LEASE_EXPIRY_MS);
        proc_signal(old, SIGCONT);
        ok = ok && place_wait_done(&f, 8, LEASE_LIMIT_MS);
    }
    ok = place_ran_once(&f, 8) && ok;
    place_fixture_stop(&f, ok);
}

/* Guards against a task that never runs because the holder died after writing
 * the start record and before calling the worker. */
static void
test_start_not_called(void **state)
{
    (void)state;
    struct place_fixture f;
    place_fixture_start(&f, "");
    bool ok =
        cluster_stream_wait(&f.jobs, "claim", NULL, NULL, 1, PROC_TIMEOUT_MS);
    /* The cell may get another holder while the daemons join. */
    proc_sleep_ms(3000);
    ok = ok && cluster_stream_read(&f.jobs);
    if (ok) {
        struct proc *old = place_holder(&f);
        const json_t *claim =
            cluster_stream_last(&f.jobs, "claim", NULL, NULL);
        char json[512];
        proc_signal(old, SIGSTOP);
        place_put_job(&f, "stock", 0, 1, 1000, 1000, "");
        snprintf(json, sizeof(json),
                 "{\"type\":\"start\",\"id\":\"uncalled-1\",\"by\":\"%s\","
                 "\"epoch\":%lld,\"time\":1,\"task\":\"stock.job.0\","
                 "\"worker\":\"w1\",\"attempt\":1,\"cpu_milli\":1000,"
                 "\"memory_mb\":100,\"accelerators\":0}",
                 cluster_record_text(claim, "by"),
                 (long long)cluster_record_number(claim, "epoch"));
        ok = cluster_append(&f.cluster, "jobs-0", json) > 0;
        proc_signal(old, SIGKILL);
        ok = ok && place_wait_done(&f, 1, LEASE_LIMIT_MS);
    }
    ok = place_ran_once(&f, 1) && ok;
    place_fixture_stop(&f, ok);
}

/* Guards against tasks whose leases expire because they are not renewed during
 * a log outage, and against outcomes of that time that are lost. */
static void
test_log_outage(void **state)
{
    (void)state;
    struct place_fixture f;
    place_fixture_start(&f, "");
    place_put_job(&f, "stock", 0, 4, 1000, 45000, "");
    place_put_job(&f, "roster", 0, 4, 1000, 8000, "");
    bool ok =
        cluster_stream_wait(&f.jobs, "start", NULL, NULL, 8, PROC_TIMEOUT_MS);
    cluster_set_fault(&f.cluster, "{\"log\":\"down\"}");
    proc_sleep_ms(LEASE_EXPIRY_MS);
    cluster_set_fault(&f.cluster, "{\"log\":\"up\"}");
    ok = ok && place_wait_done(&f, 8, LEASE_LIMIT_MS);
    ok = place_ran_once(&f, 8) && ok;
    place_fixture_stop(&f, ok);
}

/* Guards against a task that is started again because the worker's answer to
 * the start call was lost. */
static void
test_lost_answers(void **state)
{
    (void)state;
    struct place_fixture f;
    place_fixture_start(&f, "");
    cluster_set_fault(&f.cluster, "{\"worker\":\"lose\",\"lose_calls\":6}");
    place_put_job(&f, "stock", 0, 8, 1000, 3000, "");
    bool ok = place_wait_done(&f, 8, LEASE_LIMIT_MS);
    ok = place_ran_once(&f, 8) && ok;
    place_fixture_stop(&f, ok);
}

/* With an argument, runs only the tests whose names match the pattern. */
int
main(int argc, char **argv)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_holder_killed),
        cmocka_unit_test(test_holder_stopped),
        cmocka_unit_test(test_start_not_called),
        cmocka_unit_test(test_log_outage),
        cmocka_unit_test(test_lost_answers),
    };
    if (argc > 1) {
        cmocka_set_test_filter(argv[1]);
    }
    return cmocka_run_group_tests(tests, NULL, NULL);
}
