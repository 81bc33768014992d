/* Tests tenants and keys on one daemon, on a clock that the test sets: callers
 * reach it over loopback, and the test answers for the store. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "jobd_rig.h"
#include "jobs_util.h"
#include "platform_int.h"

#include <stdlib.h>

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define REVOKE_MS 5000
#define LIMIT_MS 3000 /* 60 % of it */
#define LONG_WAIT_MS 10000
#define CALL_ROUNDS 5000 /* of 1 ms; a call takes a few */

static struct rig rig;
static struct cw_jobd *const d = &rig.d;
static struct cw_http_client client;

/* The daemon starts, or starts again: it has no configuration. */
static void
start_daemon(void)
{
    struct rig_call list;

    rig_init(&rig);
    d->config.version = 0;
    d->settings.strict_revoke = true;
    d->settings.revoke_ms = REVOKE_MS;
    (void)cw_name_set(&d->settings.listen, CW_LIT("127.0.0.1:0"));
    (void)cw_name_set(&d->settings.ready_listen, CW_LIT("127.0.0.1:0"));
    pf_caller_port(&d->ports);
    assert_int_equal(cw_jobd_front_init(d), CW_OK);
    assert_int_equal(cw_http_client_init(&client, &rig.loop, d->bound.text),
                     CW_OK);
    rig_take_over(&rig);
    /* The list of workers is not read: the rig has one open read. */
    list = rig.workers;
    rig.workers.open = false;
    list.u.page(list.arg, CW_ERR_UNKNOWN, NULL);
}

static void
finish_daemon(void)
{
    d->finished = true;
    cw_http_client_finish(&client);
    cw_http_server_finish(&d->front);
    cw_http_server_finish(&d->ready);
    cw_fleet_config_finish(&d->config);
    for (int i = 0; i < 20; i++) {
        uv_run(&rig.loop, UV_RUN_NOWAIT);
        uv_sleep(1);
    }
    rig_finish(&rig);
}

static int
setup(void **state)
{
    (void)state;
    start_daemon();
    return 0;
}

static int
teardown(void **state)
{
    (void)state;
    finish_daemon();
    return 0;
}

static void
answer_read(struct rig_call c, const struct cw_store_record *r, bool more)
{
    struct cw_store_page p = {.records = r, .count = r != NULL, .more = more};

    assert_true(c.open);
    c.u.page(c.arg, CW_OK, &p);
}

/* Starts the read of operators' records that is due now, if any. */
static struct rig_call
next_read(void)
{
    struct rig_call c;

    cw_watch_operators(d, rig.clock.now);
    c = rig.workers;
    rig.workers.open = false;
    return c;
}

/* The store answers a read with this version; keys is the list of tenant t1.
 */
static void
read_config(int version, const char *keys)
{
    struct cw_store_record r = {.key = CW_LIT("config")};
    char json[1024];

    (void)snprintf(
        json, sizeof(json),
        "{\"version\":%d,\"routes\":["
        "{\"name\":\"q\",\"host\":\"%s\",\"pathPrefix\":\"/j/\","
        "\"service\":\"s\"},{\"name\":\"p\",\"host\":\"%s\",\"pathPrefix\":"
        "\"/p/\",\"service\":\"s\",\"public\":true}],"
        "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[%s]},"
        "{\"name\":\"t2\",\"apiKeys\":[\"secret-2\"]}]}",
        version, d->bound.text, d->bound.text, keys);
    r.value = cw_str_from(json);
    answer_read(next_read(), &r, false);
    assert_int_equal(d->config.version, version);
}

static void
on_reply(void *arg, enum cw_status s, const struct cw_http_answer *a)
{
    *(int *)arg = s == CW_OK ? a->status : -1;
}

/* Sends a call and lets the daemon commit; returns the HTTP status. */
static int
call(const char *method, const char *path, const char *key)
{
    char headers[128];
    struct cw_http_request q = {
        method, path,
        CW_LIT("{\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":100}]}"),
        CALL_ROUNDS, headers};
    int status = 0;

    (void)snprintf(headers, sizeof(headers), "X-Timeout-Ms: 60000\r\n%s%s%s",
                   key == NULL ? "" : "Authorization: Bearer ",
                   key == NULL ? "" : key, key == NULL ? "" : "\r\n");
    rig_set_membership(&rig, CW_MINUTE);
    cw_http_call(&client, &q, on_reply, &status);
    for (int i = 0; i < CALL_ROUNDS && status == 0; i++) {
        uv_run(&rig.loop, UV_RUN_NOWAIT);
        if (d->committing != NULL) {
            rig_commit(&rig, CW_OK);
            rig_answer_orders(&rig);
        }
        uv_sleep(1);
    }
    return status;
}

static uint64_t
rejected(const char *kind)
{
    char label[64];

    (void)snprintf(label, sizeof(label), "kind=\"%s\"", kind);
    return *cw_metrics_counter(&d->metrics, "cuminwalk_rejected_total", label);
}

static bool
contains(const char *text, size_t len, const char *part)
{
    return memmem(text, len, part, strlen(part)) != NULL;
}

/* Guards against calls that run without a valid key, jobs that other tenants
 * read or cancel, and keys in log lines or metrics. */
static void
test_keys(void **state)
{
    (void)state;
    static const struct {
        const char *method;
        const char *path;
        const char *key;
        int status;
    } cases[] = {
        {"POST", "/j/00000000000000a1", NULL, 401},
        {"POST", "/j/00000000000000a1?key=secret-1", "secret-9", 401},
        {"GET", "/j/00000000000000a1", "secret-1", 410}, /* nothing stored */
        {"POST", "/j/00000000000000a1", "secret-1", 200},
        {"POST", "/j/00000000000000a1", "secret-1", 200}, /* repeated */
        {"POST", "/j/00000000000000a1", "secret-2", 403},
        {"GET", "/j/00000000000000a1", "secret-2", 403},
        {"DELETE", "/j/00000000000000a1", "secret-2", 403},
        {"DELETE", "/j/00000000000000a1", NULL, 401},
        {"GET", "/j/00000000000000a1", "secret-1", 200},
        {"DELETE", "/j/00000000000000a1", "secret-1", 200},
        /* A job of no tenant is open to all callers. */
        {"POST", "/p/00000000000000a2", NULL, 200},
        {"GET", "/j/00000000000000a2", "secret-1", 200},
        {"GET", "/p/00000000000000a1", NULL, 200},
        {"GET", "/j/xyz", NULL, 401},
        {"GET", "/j/xyz", "secret-1", 404},
    };
    char *log = NULL;
    size_t len = 0;
    FILE *out = open_memstream(&log, &len);
    struct cw_buf metrics;

    cw_logger_setup(CW_DEBUG, out, NULL);
    read_config(1, "\"secret-1\",7");
    assert_int_equal(d->config.tenant_count, 1); /* t1 is malformed */
    read_config(2, "\"secret-1\"");
    for (size_t i = 0; i < COUNT(cases); i++) {
        assert_int_equal(call(cases[i].method, cases[i].path, cases[i].key),
                         cases[i].status);
    }
    assert_string_equal(cw_sched_find_job(d->sched, 0xa1)->tenant.text, "t1");
    assert_int_equal(rejected("no_key"), 3);
    assert_int_equal(rejected("unknown_key"), 1);
    cw_logger_setup(CW_ERROR + 1, stderr, NULL);
    (void)fclose(out);
    cw_buf_init(&metrics);
    cw_metrics_print(&d->metrics, &metrics);
    assert_true(contains(log, len,
                         "event=tenant_invalid version=1 row=0 "
                         "field=apiKeys"));
    assert_true(contains(log, len, "event=call_rejected"));
    assert_false(contains(log, len, "secret"));
    assert_false(contains(metrics.ptr, metrics.len, "secret"));
    cw_buf_finish(&metrics);
    free(log);
}

/* Guards against a withdrawn key that a daemon without contact still accepts:
 * it refuses all keys before the time allowed is over, serves the public route
 * on, and after the contact is back knows the newest keys. */
static void
test_withdrawn_key(void **state)
{
    (void)state;
    struct rig_call lost;

    read_config(1, "\"k1\",\"k3\"");
    assert_int_equal(call("POST", "/j/00000000000000b1", "k1"), 200);
    lost = next_read(); /* version 2 without k1 is stored; no answer */
    rig_advance(&rig, LIMIT_MS - 1000);
    assert_int_equal(call("POST", "/j/00000000000000b2", "k1"), 200);
    rig_advance(&rig, 1001);
    assert_int_equal(call("POST", "/j/00000000000000b3", "k1"), 503);
    assert_int_equal(call("POST", "/j/00000000000000b3", "k3"), 503);
    assert_int_equal(rejected("stale_config"), 2);
    assert_int_equal(call("GET", "/p/00000000000000b3", NULL), 410);
    /* A repeat of a stored submission does not get "not run". */
    assert_int_equal(call("POST", "/j/00000000000000b1", "k1"), 504);
    assert_false(cw_jobd_is_ready(d));
    read_config(2, "\"k3\",\"k4\"");
    answer_read(lost, NULL, false);
    assert_int_equal(call("POST", "/j/00000000000000b3", "k1"), 401);
    assert_int_equal(call("POST", "/j/00000000000000b3", "k4"), 200);
}

/* Guards against a daemon that accepts a withdrawn key while it has no
 * configuration, or an old one, after a restart. */
static void
test_restart(void **state)
{
    (void)state;
    read_config(1, "\"k1\"");
    assert_int_equal(call("POST", "/j/00000000000000c1", "k1"), 200);
    finish_daemon();
    start_daemon();
    assert_int_equal(call("POST", "/j/00000000000000c2", "k1"), 503);
    read_config(2, "\"k3\"");
    assert_int_equal(call("POST", "/j/00000000000000c2", "k1"), 401);
    assert_int_equal(call("POST", "/j/00000000000000c2", "k3"), 200);
}

/* Guards against a new scheduler that no longer knows whose job it is: the
 * spec of an ended job is not stored any longer. */
static void
test_owner_after_takeover(void **state)
{
    (void)state;
    struct jobs_fixture f;

    jobs_setup(&f);
    for (uint64_t id = 1; id <= 2; id++) {
        struct cw_job_spec spec = jobs_spec(id, 1, 100);

        (void)cw_name_set(&spec.rules.tenant, CW_LIT("t1"));
        (void)jobs_accept(&f, &spec);
    }
    jobs_commit(&f);
    assert_int_equal(cw_sched_cancel(&f.s, 2, f.now), CW_OK);
    jobs_commit(&f);
    for (int i = 0; i < 2; i++) {
        for (uint64_t id = 1; id <= 2; id++) {
            struct cw_job_entry *j = cw_sched_find_job(&f.s, id);

            assert_int_equal(cw_job_ended(j), id == 2);
            assert_string_equal(j->tenant.text, "t1");
        }
        jobs_take_over(&f);
    }
    jobs_teardown(&f);
}

/* Guards against an answer that counts as a proof of a later time than the one
 * at which its question was sent, or although it lacks the newest records. */
static void
test_proof(void **state)
{
    (void)state;
    cw_ms sent = rig.clock.now;
    struct rig_call lost;

    read_config(1, "\"k1\"");
    assert_int_equal(d->config_proof_at, sent);
    rig_advance(&rig, 500);
    sent = rig.clock.now;
    lost = next_read();
    rig_advance(&rig, 900);
    answer_read(lost, NULL, false); /* a long poll ends without a record */
    assert_int_equal(d->config_proof_at, sent);
    answer_read(next_read(), NULL, true);
    assert_int_equal(d->config_proof_at, sent);
    rig_advance(&rig, 100);
    sent = rig.clock.now;
    answer_read(next_read(), NULL, false); /* the newest record of each key */
    assert_int_equal(d->config_proof_at, sent);
    lost = next_read();
    rig_advance(&rig, 10 * CW_SECOND); /* the process was paused */
    answer_read(next_read(), NULL, false);
    sent = rig.clock.now;
    assert_int_equal(d->config_proof_at, sent);
    rig_advance(&rig, 100);
    answer_read(lost, NULL, false);
    assert_int_equal(d->config_proof_at, sent);
}

/* Guards against followers that read more often than their long wait while the
 * scheduler proves the configuration, and against a daemon whose open read
 * waits on when it needs a proof. */
static void
test_read_waits(void **state)
{
    (void)state;
    static const struct {
        bool strict;
        enum cw_jobd_role role;
        cw_ms proof_age;
        cw_ms wait_ms; /* of the next read */
        bool again;    /* although a read is open */
    } cases[] = {
        {false, CW_ROLE_FOLLOWER, 60000, LONG_WAIT_MS, false},
        {false, CW_ROLE_SCHEDULER, 60000, 1000, false},
        {true, CW_ROLE_FOLLOWER, 2300, LONG_WAIT_MS, false},
        {true, CW_ROLE_FOLLOWER, 2401, 0, true},
        {true, CW_ROLE_SCHEDULER, 1100, 500, false},
        {true, CW_ROLE_SCHEDULER, 2401, 0, true},
    };
    enum cw_jobd_role role = d->role;

    read_config(1, "\"k1\"");
    for (size_t i = 0; i < COUNT(cases); i++) {
        struct rig_call open;
        struct rig_call more;

        d->settings.strict_revoke = cases[i].strict;
        d->role = cases[i].role;
        d->scheduler_conn_open = true;
        d->scheduler_confirmed_at = rig.clock.now;
        d->config_proof_at = rig.clock.now;
        open = next_read();
        assert_true(open.open);
        rig_advance(&rig, 200);
        d->config_proof_at = rig.clock.now - cases[i].proof_age;
        more = next_read();
        assert_int_equal(more.open, cases[i].again);
        if (more.open) {
            assert_int_equal(d->operators_wait_ms, cases[i].wait_ms);
            answer_read(more, NULL, false);
        }
        assert_int_equal(d->operators_wait_ms, cases[i].wait_ms);
        answer_read(open, NULL, false);
    }
    d->role = role;
    d->scheduler_conn_open = false;
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_keys, setup, teardown),
        cmocka_unit_test_setup_teardown(test_withdrawn_key, setup, teardown),
        cmocka_unit_test_setup_teardown(test_restart, setup, teardown),
        cmocka_unit_test(test_owner_after_takeover),
        cmocka_unit_test_setup_teardown(test_proof, setup, teardown),
        cmocka_unit_test_setup_teardown(test_read_waits, setup, teardown),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
