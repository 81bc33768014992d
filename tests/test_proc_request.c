/* What callers are told when processes fail while handling their requests: a
 * "not run" is true, no request runs twice, and a truncated answer never looks
 * complete. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "proc_fleet.h"

#include <signal.h>
#include <string.h>

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define SHORT_INTERVALS                                                       \
    ",\"heartbeat_ms\":200,\"silent_ms\":1000,\"slot_guard_ms\":1500,"        \
    "\"probe_ms\":200"

static struct proc_fleet fleet;

static int
setup_two_daemons(void **state)
{
    static const struct proc_fleet_options o = {
        .services = 1,
        .vms = 1,
        .dcs = 1,
        .daemons = 2,
        .settings = SHORT_INTERVALS,
        .document = "",
    };
    *state = &fleet;
    return proc_fleet_start(&fleet, &o) ? 0 : -1;
}

/* The only VM is in dc2, so the first daemon, in dc1, forwards requests. */
static int
setup_forwarding(void **state)
{
    static const struct proc_fleet_options o = {
        .services = 1,
        .vms = 1,
        .dcs = 2,
        .daemons = 2,
        .settings = SHORT_INTERVALS,
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

static struct proc *
daemon_at(struct proc_fleet *f, int index)
{
    return f->daemons[index];
}

static const char *
response_outcome(const struct proc_answer *a, char buf[32])
{
    struct cw_str v = proc_header(a, "cuminwalk-outcome");
    snprintf(buf, 32, "%.*s", CW_FMT(v));
    return buf;
}

/* When an endpoint fails in the middle of a request, the daemon must not claim
 * "not run", send the request again, or end a truncated answer as if it were
 * complete. */
static void
test_endpoint_faults(void **state)
{
    static const struct {
        const char *fault;
        const char *method;
        const char *headers;
        bool complete;
        const char *outcome;
        int64_t runs;
    } cases[] = {
        {"die", "POST", "", true, "unknown", 1},
        {"reset", "POST", "", true, "unknown", 1},
        {"cut", "POST", "X-Answer-Bytes: 500000\r\n", false, "", 1},
        {"cut", "POST", "X-Answer-Chunked: 1\r\nX-Answer-Bytes: 500000\r\n",
         false, "", 1},
        {"fail", "POST", "", true, "run", 1},
        {"refuse", "POST", "Cuminwalk-Deadline-Ms: 1000\r\n", true, "not-run",
         0},
        {"slow", "POST", "Cuminwalk-Deadline-Ms: 500\r\n", true, "unknown", 1},
        {"none", "POST", "", true, "run", 1},
    };
    struct proc_fleet *f = *state;
    for (size_t i = 0; i < COUNT(cases); i++) {
        char fault[96];
        char headers[256];
        char token[32];
        char outcome[32];
        struct proc_answer a;
        snprintf(fault, sizeof(fault), "{\"mode\":\"%s\",\"slow_ms\":3000}",
                 cases[i].fault);
        snprintf(token, sizeof(token), "fault-%zu", i);
        snprintf(headers, sizeof(headers), "X-Token: %s\r\n%s", token,
                 cases[i].headers);
        assert_true(proc_fleet_set_endpoint_fault(f, 0, fault));
        bool complete =
            proc_http(daemon_at(f, 0)->port, cases[i].method, "/s1/work",
                      headers, "{}", PROC_TIMEOUT_MS, &a);
        if (complete != cases[i].complete ||
            (complete &&
             strcmp(response_outcome(&a, outcome), cases[i].outcome) != 0) ||
            proc_fleet_run_count(f, token) != cases[i].runs) {
            fail_msg("%s: complete %d status %d outcome %s runs %lld",
                     cases[i].fault, complete, a.status,
                     response_outcome(&a, outcome),
                     (long long)proc_fleet_run_count(f, token));
        }
        proc_answer_finish(&a);
        assert_true(
            proc_fleet_set_endpoint_fault(f, 0, "{\"mode\":\"none\"}"));
    }
}

static bool
all_slots_busy(void *arg)
{
    return proc_fleet_counter(arg, 0, "in_flight") == 8;
}

/* A request whose deadline passes in the queue must be refused and not be sent
 * to an endpoint later. */
static void
test_deadline_in_queue(void **state)
{
    struct proc_fleet *f = *state;
    char outcome[32];
    struct proc_answer a;
    struct proc *load = proc_fleet_start_load(
        f, "busy", 3, "s1",
        (const char *[]){"--closed", "16", "--work-ms", "2000", "--seconds",
                         "1", "--deadline", "10000", NULL});
    assert_true(proc_wait_until(all_slots_busy, f, PROC_TIMEOUT_MS));
    assert_true(proc_http(daemon_at(f, 0)->port, "POST", "/s1/work",
                          "X-Token: queued\r\nCuminwalk-Deadline-Ms: 300\r\n",
                          "{}", PROC_TIMEOUT_MS, &a));
    assert_string_equal(response_outcome(&a, outcome), "not-run");
    proc_answer_finish(&a);
    assert_int_equal(proc_wait(load, PROC_TIMEOUT_MS), 0);
    assert_int_equal(proc_fleet_run_count(f, "queued"), 0);
    assert_int_equal(proc_fleet_load_value(f, load, "not_run_but_ran"), 0);
}

/* When a daemon dies with forwarded requests in flight, no caller may get a
 * false "not run" and no request may run twice. killed is the index of the
 * daemon that dies; the load goes to the first, which forwards to the
 * second. */
static void
check_kill_while_forwarding(struct proc_fleet *f, int killed)
{
    struct proc *load = proc_fleet_start_load(
        f, "load", 1, "s1",
        (const char *[]){"--closed", "6", "--work-ms", "50", "--seconds", "6",
                         "--deadline", "1500", NULL});
    proc_sleep_ms(1500);
    proc_signal(f->daemons[killed], SIGKILL);
    assert_int_equal(proc_wait(load, PROC_TIMEOUT_MS), 0);
    assert_true(proc_fleet_load_value(f, load, "ok") > 0);
    assert_int_equal(proc_fleet_load_value(f, load, "not_run_but_ran"), 0);
    assert_int_equal(proc_fleet_load_value(f, load, "ran_twice"), 0);
    assert_int_equal(proc_fleet_load_value(f, load, "ok_but_not_run"), 0);
    assert_int_equal(proc_fleet_load_value(f, load, "wrong"), 0);
}

static void
test_forward_target_killed(void **state)
{
    check_kill_while_forwarding(*state, 1);
}

static void
test_forwarder_killed(void **state)
{
    check_kill_while_forwarding(*state, 0);
}

/* The same key sent through two daemons at once must run once. The two load
 * clients use the same tokens, which are the keys. */
static void
test_key_through_two_daemons(void **state)
{
    struct proc_fleet *f = *state;
    static const char *const extra[] = {
        "--rate", "20",      "--seconds",  "2",    "--keys",
        "--tag",  "samekey", "--deadline", "5000", NULL};
    struct proc *a = proc_fleet_start_load(f, "first", 1, "s1", extra);
    struct proc *b = proc_fleet_start_load(f, "second", 2, "s1", extra);
    assert_int_equal(proc_wait(a, PROC_TIMEOUT_MS), 0);
    /* The second client may be told "not run" for a key that the first one's
     * request ran, so its exit status says nothing; only runs are checked. */
    (void)proc_wait(b, PROC_TIMEOUT_MS);
    assert_true(proc_fleet_load_value(f, a, "verified") > 0);
    assert_int_equal(proc_fleet_load_value(f, a, "ran_twice"), 0);
    assert_int_equal(proc_fleet_load_value(f, b, "ran_twice"), 0);
    assert_true(proc_fleet_load_value(f, a, "ok") +
                    proc_fleet_load_value(f, b, "ok") >
                0);
}

/* The key of a request whose daemon died stays in use: the outcome is unknown,
 * so the other daemon must not run the request. */
static void
test_key_after_kill(void **state)
{
    struct proc_fleet *f = *state;
    char outcome[32];
    struct proc_answer a;
    static const char headers[] =
        "X-Token: orphan\r\nIdempotency-Key: orphan\r\nX-Work-Ms: 3000\r\n";
    (void)proc_http(daemon_at(f, 0)->port, "POST", "/s1/work", headers, "{}",
                    1500, &a);
    proc_answer_finish(&a);
    assert_int_equal(proc_fleet_run_count(f, "orphan"), 1);
    proc_signal(daemon_at(f, 0), SIGKILL);
    assert_true(proc_http(daemon_at(f, 1)->port, "POST", "/s1/work", headers,
                          "{}", PROC_TIMEOUT_MS, &a));
    assert_int_equal(a.status, 409);
    assert_string_equal(response_outcome(&a, outcome), "unknown");
    proc_answer_finish(&a);
    assert_int_equal(proc_fleet_run_count(f, "orphan"), 1);
}

/* During a log outage the document decides whether requests with a key are
 * refused as not run, or run without the guarantee. */
static void
test_key_in_log_outage(void **state)
{
    static const struct {
        const char *document; /* members set by an edit before the outage */
        int status;
        const char *outcome;
        const char *guarantee;
        int64_t runs;
    } cases[] = {
        {"", 503, "not-run", "", 0},
        {",\"outage\":\"run\"", 200, "run", "none", 1},
    };
    struct proc_fleet *f = *state;
    for (size_t i = 0; i < COUNT(cases); i++) {
        char headers[128];
        char token[32];
        char outcome[32];
        struct proc_answer a;
        int64_t base = proc_fleet_document_version(f, 0, 1);
        uint64_t version =
            proc_fleet_put_document(f, 1, (uint64_t)base, cases[i].document);
        assert_true(proc_fleet_wait_version(f, 0, 1, version));
        assert_true(proc_fleet_set_fault(f, "{\"log\":\"down\"}"));
        snprintf(token, sizeof(token), "outage-%zu", i);
        snprintf(headers, sizeof(headers),
                 "X-Token: %s\r\nIdempotency-Key: %s\r\n", token, token);
        assert_true(proc_http(daemon_at(f, 0)->port, "POST", "/s1/work",
                              headers, "{}", PROC_TIMEOUT_MS, &a));
        assert_int_equal(a.status, cases[i].status);
        assert_string_equal(response_outcome(&a, outcome), cases[i].outcome);
        struct cw_str g = proc_header(&a, "cuminwalk-guarantee");
        assert_true(cw_str_eq(g, cw_str_from(cases[i].guarantee)));
        proc_answer_finish(&a);
        assert_int_equal(proc_fleet_run_count(f, token), cases[i].runs);
        assert_true(proc_fleet_set_fault(f, "{\"log\":\"up\"}"));
    }
}

int
main(void)
{
    signal(SIGPIPE, SIG_IGN);
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_endpoint_faults,
                                        setup_two_daemons, teardown),
        cmocka_unit_test_setup_teardown(test_deadline_in_queue,
                                        setup_two_daemons, teardown),
        cmocka_unit_test_setup_teardown(test_forward_target_killed,
                                        setup_forwarding, teardown),
        cmocka_unit_test_setup_teardown(test_forwarder_killed,
                                        setup_forwarding, teardown),
        cmocka_unit_test_setup_teardown(test_key_through_two_daemons,
                                        setup_two_daemons, teardown),
        cmocka_unit_test_setup_teardown(test_key_after_kill, setup_two_daemons,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_key_in_log_outage,
                                        setup_two_daemons, teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
