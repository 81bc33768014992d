/* The ports' clients and a stand-in platform: the status of a call when the
 * platform is down, slow, rejects the call, or runs it without answering. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "cw_clients.h"
#include "proc.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

/* What a call passed to its done function. */
struct outcome {
    int done; /* calls of the done function */
    enum cw_status status;
    uint64_t number; /* first offset, next offset, version or fence */
    size_t count;    /* records, VMs, tasks or requests in flight */
    char text[CW_NAME_MAX + 1]; /* state, or first record */
};

struct fixture {
    struct proc_env env;
    struct proc *platform;
    struct proc *endpoint;
    int control_port; /* of the stand-in endpoint */
    uv_loop_t loop;
    struct cw_log_client log_client;
    struct cw_vmlist_client vmlist_client;
    struct cw_pool_client pool_client;
    struct cw_worker_client worker_client;
    struct cw_log_port log;
    struct cw_vmlist_port vmlist;
    struct cw_pool_port pool;
    struct cw_worker_port worker;
};

static void
start_standins(struct fixture *f)
{
    char fleet[1024];
    char path[160];
    char listen_at[32];
    int port = proc_free_port();
    int data = proc_free_port();
    f->control_port = proc_free_port();
    snprintf(
        fleet, sizeof(fleet),
        "{\"reboot_ms\":100,\"vms\":["
        "{\"vm\":\"v1\",\"pool\":\"stock\",\"dc\":\"dc1\",\"rack\":\"r1\","
        "\"address\":\"127.0.0.1:%d\",\"control\":\"127.0.0.1:%d\"},"
        "{\"vm\":\"v2\",\"pool\":\"stock\",\"dc\":\"dc2\",\"rack\":\"r2\","
        "\"address\":\"127.0.0.1:1\"}],"
        "\"workers\":[{\"worker\":\"w1\",\"rack\":\"r1\","
        "\"accelerators\":1},{\"worker\":\"w2\",\"rack\":\"r2\"}]}",
        data, f->control_port);
    proc_write_file(&f->env, "fleet.json", fleet, path);
    snprintf(listen_at, sizeof(listen_at), "127.0.0.1:%d", port);
    f->platform =
        proc_start(&f->env, "platform",
                   (const char *[]){"standin-platform", "--listen", listen_at,
                                    "--fleet", path, NULL});
    f->platform->port = port;
    f->endpoint = proc_start(
        &f->env, "endpoint",
        (const char *[]){"standin-endpoint", "--fleet", path, NULL});
    f->endpoint->port = data;
}

static int
setup(void **state)
{
    static struct fixture f;
    memset(&f, 0, sizeof(f));
    proc_env_init(&f.env);
    start_standins(&f);
    char address[32];
    snprintf(address, sizeof(address), "127.0.0.1:%d", f.platform->port);
    uv_loop_init(&f.loop);
    cw_log_client_init(&f.log_client, &f.loop, address);
    cw_vmlist_client_init(&f.vmlist_client, &f.loop, address);
    cw_pool_client_init(&f.pool_client, &f.loop, address);
    cw_worker_client_init(&f.worker_client, &f.loop, address);
    cw_log_client_port(&f.log_client, &f.log);
    cw_vmlist_client_port(&f.vmlist_client, &f.vmlist);
    cw_pool_client_port(&f.pool_client, &f.pool);
    cw_worker_client_port(&f.worker_client, &f.worker);
    *state = &f;
    bool up =
        proc_wait_status(f.platform->port, "/ready", 200, PROC_TIMEOUT_MS) &&
        proc_wait_status(f.endpoint->port, "/ready", 200, PROC_TIMEOUT_MS);
    return up ? 0 : -1;
}

static int
teardown(void **state)
{
    struct fixture *f = *state;
    cw_log_client_finish(&f->log_client);
    cw_vmlist_client_finish(&f->vmlist_client);
    cw_pool_client_finish(&f->pool_client);
    cw_worker_client_finish(&f->worker_client);
    uv_run(&f->loop, UV_RUN_DEFAULT);
    int rc = uv_loop_close(&f->loop);
    proc_env_finish(&f->env, false);
    return rc;
}

/* ---- done functions -------------------------------------------------- */

static void
on_append(void *arg, enum cw_status s, uint64_t first)
{
    struct outcome *o = arg;
    o->done++;
    o->status = s;
    o->number = first;
}

static void
on_read(void *arg, enum cw_status s, const struct cw_log_batch *b)
{
    struct outcome *o = arg;
    o->done++;
    o->status = s;
    o->number = s == CW_ERR_NOT_FOUND ? b->first : b->next;
    o->count = b->count;
    if (b->count > 0) {
        snprintf(o->text, sizeof(o->text), "%.*s", CW_FMT(b->items[0].data));
    }
}

static void
on_vms(void *arg, enum cw_status s, uint64_t version, size_t count,
       const struct cw_vm_info *vms)
{
    static const char *const state_names[] = {"live", "leaving", "gone"};
    struct outcome *o = arg;
    o->done++;
    o->status = s;
    o->number = version;
    o->count = count;
    if (count > 0) {
        snprintf(o->text, sizeof(o->text), "%s", state_names[vms[0].state]);
    }
}

static void
on_called(void *arg, enum cw_status s)
{
    struct outcome *o = arg;
    o->done++;
    o->status = s;
}

static void
on_status(void *arg, enum cw_status s, const struct cw_pool_vm *vm)
{
    static const char *const state_names[] = {"ready", "draining", "drained",
                                              "rebooting"};
    struct outcome *o = arg;
    o->done++;
    o->status = s;
    o->number = vm->fence;
    o->count = vm->in_flight;
    if (s == CW_OK) {
        snprintf(o->text, sizeof(o->text), "%s", state_names[vm->state]);
    }
}

static void
on_reports(void *arg, enum cw_status s, uint64_t version, size_t count,
           const struct cw_worker_report *reports)
{
    static const char *const state_names[] = {"running", "done", "failed",
                                              "checkpointed"};
    struct outcome *o = arg;
    (void)version;
    o->done++;
    o->status = s;
    o->number = count;
    for (size_t i = 0; i < count; i++) {
        o->count += reports[i].task_count;
        if (reports[i].task_count > 0) {
            snprintf(o->text, sizeof(o->text), "%s",
                     state_names[reports[i].tasks[0].state]);
        }
    }
}

/* ---- steps ------------------------------------------------------------ */

/* One call and its expected outcome. number and count are 0 for a call that
 * does not set them; a text of NULL is not compared. */
struct step {
    const char *expectation; /* printed when the step fails */
    const char *fault;       /* set before the call; NULL = unchanged */
    void (*start)(struct fixture *f, const struct step *s, struct outcome *o);
    const char *arg1; /* records, operation, VM or worker */
    const char *arg2; /* pool or task */
    int int_arg;      /* cw_pool_call, cw_worker_call or wait_ms */
    uint64_t u64_arg; /* offset, version or fence */
    enum cw_status status;
    uint64_t number;
    size_t count;
    const char *text;
};

static void
start_append(struct fixture *f, const struct step *s, struct outcome *o)
{
    f->log.append(f->log.ctx, "config", cw_str_from(s->arg1), on_append, o);
}

static void
start_read(struct fixture *f, const struct step *s, struct outcome *o)
{
    f->log.read(f->log.ctx, "config", s->u64_arg, 100, s->int_arg, on_read, o);
}

static void
start_vms(struct fixture *f, const struct step *s, struct outcome *o)
{
    f->vmlist.get(f->vmlist.ctx, s->u64_arg, on_vms, o);
}

static void
start_pool(struct fixture *f, const struct step *s, struct outcome *o)
{
    f->pool.call(f->pool.ctx, (enum cw_pool_call)s->int_arg, "v1", s->arg1,
                 s->u64_arg, s->arg2, on_called, o);
}

static void
start_status(struct fixture *f, const struct step *s, struct outcome *o)
{
    f->pool.get_status(f->pool.ctx, s->arg1, on_status, o);
}

static void
start_worker(struct fixture *f, const struct step *s, struct outcome *o)
{
    struct cw_task_order order = {
        .worker = s->arg1,
        .task = s->arg2,
        .fence = s->u64_arg,
        .lease_ms = 60000,
        .cpu_milli = 1000,
        .memory_mb = 100,
        .accelerators = 1,
        .run_ms = 60000,
    };
    f->worker.call(f->worker.ctx, (enum cw_worker_call)s->int_arg, &order,
                   on_called, o);
}

static void
start_reports(struct fixture *f, const struct step *s, struct outcome *o)
{
    (void)s;
    f->worker.get_reports(f->worker.ctx, 0, 1, 0, on_reports, o);
}

static void
wait_done(struct fixture *f, const struct outcome *o)
{
    while (o->done == 0) {
        uv_run(&f->loop, UV_RUN_ONCE);
    }
}

/* Runs close callbacks. The loop does not end: other clients have timers. */
static void
run_close_callbacks(struct fixture *f)
{
    for (int i = 0; i < 3; i++) {
        uv_run(&f->loop, UV_RUN_NOWAIT);
    }
}

static void
set_fault(int port, const char *body)
{
    json_t *o = proc_http_json(port, "/fault", body);
    assert_non_null(o);
    json_decref(o);
}

static void
run_steps(struct fixture *f, const struct step *steps, size_t n)
{
    for (size_t i = 0; i < n; i++) {
        const struct step *s = &steps[i];
        struct outcome o = {0};
        if (s->fault != NULL) {
            set_fault(f->platform->port, s->fault);
        }
        s->start(f, s, &o);
        assert_int_equal(o.done, 0);
        wait_done(f, &o);
        if (o.status != s->status || o.number != s->number ||
            o.count != s->count ||
            (s->text != NULL && strcmp(o.text, s->text) != 0)) {
            fail_msg("step %zu, %s: status %s number %llu count %zu text %s",
                     i, s->expectation, cw_status_name(o.status),
                     (unsigned long long)o.number, o.count, o.text);
        }
    }
}

/* ---- tests ------------------------------------------------------------ */

static void
test_log(void **state)
{
    static const struct step steps[] = {
        {"offsets count from 1", NULL, start_append, "[{\"n\":1},{\"n\":2}]",
         NULL, 0, 0, CW_OK, 1, 0, NULL},
        {"a read returns what was appended", NULL, start_read, NULL, NULL, 0,
         1, CW_OK, 3, 2, "{\"n\":1}"},
        {"a read at the end returns none", NULL, start_read, NULL, NULL, 10, 3,
         CW_OK, 3, 0, NULL},
        {"an empty append is rejected", NULL, start_append, "[]", NULL, 0, 0,
         CW_ERR_INVALID, 0, 0, NULL},
        {"a lost answer is not a refusal", "{\"log\":\"lose\"}", start_append,
         "[{\"n\":3}]", NULL, 0, 0, CW_ERR_UNKNOWN, 0, 0, NULL},
        {"the lost append took effect", NULL, start_read, NULL, NULL, 0, 3,
         CW_OK, 4, 1, "{\"n\":3}"},
        {"an append fails in an outage", "{\"log\":\"down\"}", start_append,
         "[{\"n\":4}]", NULL, 0, 0, CW_ERR_UNAVAILABLE, 0, 0, NULL},
        {"an outage is not an empty log", NULL, start_read, NULL, NULL, 0, 3,
         CW_ERR_UNAVAILABLE, 0, 0, NULL},
        {"the outage took no append", "{\"log\":\"up\"}", start_read, NULL,
         NULL, 0, 4, CW_OK, 4, 0, NULL},
        {"slow is not down", "{\"log\":\"slow\",\"slow_ms\":100}",
         start_append, "[{\"n\":4}]", NULL, 0, 0, CW_OK, 4, 0, NULL},
        {"an expired offset gets the lowest retained one",
         "{\"log\":\"up\",\"retention_records\":2}", start_read, NULL, NULL, 0,
         1, CW_ERR_NOT_FOUND, 3, 0, NULL},
        {"the lowest retained offset can be read", NULL, start_read, NULL,
         NULL, 0, 3, CW_OK, 5, 2, "{\"n\":3}"},
    };
    run_steps(*state, steps, COUNT(steps));
}

static void
test_vmlist(void **state)
{
    static const struct step steps[] = {
        {"all VMs are listed", NULL, start_vms, NULL, NULL, 0, 0, CW_OK, 2, 2,
         "live"},
        {"an unchanged list is empty", NULL, start_vms, NULL, NULL, 0, 2,
         CW_OK, 2, 0, NULL},
        {"a lagging list blocks no drain", "{\"vmlist_lag_ms\":60000}",
         start_pool, "op1", NULL, CW_POOL_DRAIN, 5, CW_OK, 0, 0, NULL},
        {"the lag hides the change", NULL, start_vms, NULL, NULL, 0, 2, CW_OK,
         2, 0, NULL},
        {"the change is listed after the lag", "{\"vmlist_lag_ms\":0}",
         start_vms, NULL, NULL, 0, 2, CW_OK, 3, 1, "leaving"},
        {"an outage is not an empty list", "{\"vmlist\":\"down\"}", start_vms,
         NULL, NULL, 0, 0, CW_ERR_UNAVAILABLE, 0, 0, NULL},
    };
    run_steps(*state, steps, COUNT(steps));
}

static void
test_pool(void **state)
{
    static const struct step steps[] = {
        {"a drain is accepted", NULL, start_pool, "op1", NULL, CW_POOL_DRAIN,
         7, CW_OK, 0, 0, NULL},
        {"a repeat gets the same answer", NULL, start_pool, "op1", NULL,
         CW_POOL_DRAIN, 7, CW_OK, 0, 0, NULL},
        {"an idle VM is drained", NULL, start_status, "v1", NULL, 0, 0, CW_OK,
         7, 0, "drained"},
        {"a former holder is fenced", NULL, start_pool, "op0", NULL,
         CW_POOL_REBOOT, 6, CW_ERR_FENCED, 0, 0, NULL},
        {"an outage has no effect", "{\"pool\":\"down\"}", start_pool, "op2",
         NULL, CW_POOL_UNDRAIN, 8, CW_ERR_UNAVAILABLE, 0, 0, NULL},
        {"the VM stayed drained", "{\"pool\":\"up\"}", start_status, "v1",
         NULL, 0, 0, CW_OK, 7, 0, "drained"},
        {"a lost answer is not a refusal", "{\"pool\":\"lose\"}", start_pool,
         "op2", NULL, CW_POOL_UNDRAIN, 8, CW_ERR_UNKNOWN, 0, 0, NULL},
        {"the lost call took effect", NULL, start_status, "v1", NULL, 0, 0,
         CW_OK, 8, 0, "ready"},
        {"an assign needs a pool", NULL, start_pool, "op3", NULL,
         CW_POOL_ASSIGN, 9, CW_ERR_INVALID, 0, 0, NULL},
        {"an unknown VM is not found", NULL, start_status, "v9", NULL, 0, 0,
         CW_ERR_NOT_FOUND, 0, 0, NULL},
        {"a drain before the move", NULL, start_pool, "op4", NULL,
         CW_POOL_DRAIN, 9, CW_OK, 0, 0, NULL},
        {"a move is accepted", NULL, start_pool, "op4", "roster",
         CW_POOL_ASSIGN, 10, CW_OK, 0, 0, NULL},
    };
    struct fixture *f = *state;
    run_steps(f, steps, COUNT(steps));
    assert_int_equal(
        proc_http_json_number(f->platform->port, "/violations", "total"), 0);
}

static void
test_worker(void **state)
{
    static const struct step steps[] = {
        {"an idle worker has no task", NULL, start_reports, NULL, NULL, 0, 0,
         CW_OK, 2, 0, NULL},
        {"a start is accepted", NULL, start_worker, "w1", "t1",
         CW_WORKER_START, 5, CW_OK, 0, 0, NULL},
        {"a lower fence is rejected", NULL, start_worker, "w1", "t1",
         CW_WORKER_STOP, 4, CW_ERR_FENCED, 0, 0, NULL},
        {"a device is not assigned twice", NULL, start_worker, "w1", "t2",
         CW_WORKER_START, 6, CW_ERR_INVALID, 0, 0, NULL},
        {"a renewal is accepted", NULL, start_worker, "w1", "t1",
         CW_WORKER_RENEW, 5, CW_OK, 0, 0, NULL},
        {"an outage has no effect", "{\"worker\":\"down\"}", start_worker,
         "w1", "t1", CW_WORKER_STOP, 5, CW_ERR_UNAVAILABLE, 0, 0, NULL},
        {"a lost answer is no refusal", "{\"worker\":\"lose\"}", start_worker,
         "w1", "t1", CW_WORKER_CHECKPOINT, 5, CW_ERR_UNKNOWN, 0, 0, NULL},
        {"an unknown worker is rejected", NULL, start_worker, "w9", "t1",
         CW_WORKER_START, 5, CW_ERR_INVALID, 0, 0, NULL},
    };
    struct fixture *f = *state;
    run_steps(f, steps, COUNT(steps));
    /* The stand-in updates its reports at its next tick. */
    struct outcome o = {0};
    for (int i = 0; i < 500 && strcmp(o.text, "checkpointed") != 0; i++) {
        memset(&o, 0, sizeof(o));
        f->worker.get_reports(f->worker.ctx, 0, 1, 0, on_reports, &o);
        wait_done(f, &o);
        proc_sleep_ms(10);
    }
    assert_string_equal(o.text, "checkpointed");
    assert_int_equal(o.count, 1);
}

/* A long poll must return the record that ends it and not delay its append. */
static void
test_long_poll(void **state)
{
    struct fixture *f = *state;
    struct outcome r = {0};
    struct outcome a = {0};
    f->log.read(f->log.ctx, "config", 1, 10, 20000, on_read, &r);
    uv_run(&f->loop, UV_RUN_NOWAIT);
    f->log.append(f->log.ctx, "config", CW_LIT("[{\"n\":1}]"), on_append, &a);
    wait_done(f, &a);
    wait_done(f, &r);
    assert_int_equal(r.status, CW_OK);
    assert_int_equal(r.count, 1);
    assert_int_equal(a.number, 1);
}

/* A platform that is down took no append; one that hangs may have. */
static void
test_gone_and_hung(void **state)
{
    struct fixture *f = *state;
    struct outcome hung = {0};
    proc_signal(f->platform, SIGSTOP);
    f->log.append(f->log.ctx, "config", CW_LIT("[{\"n\":1}]"), on_append,
                  &hung);
    wait_done(f, &hung);
    assert_int_equal(hung.status, CW_ERR_UNKNOWN);
    proc_signal(f->platform, SIGKILL);
    struct outcome gone = {0};
    f->log.append(f->log.ctx, "config", CW_LIT("[{\"n\":1}]"), on_append,
                  &gone);
    wait_done(f, &gone);
    assert_int_equal(gone.status, CW_ERR_UNAVAILABLE);
}

/* Finishing a client calls done of an open call, exactly once. */
static void
test_finish_with_open_call(void **state)
{
    struct fixture *f = *state;
    struct outcome o = {0};
    f->log.read(f->log.ctx, "config", 1, 10, 20000, on_read, &o);
    uv_run(&f->loop, UV_RUN_NOWAIT);
    cw_log_client_finish(&f->log_client);
    assert_int_equal(o.done, 1);
    assert_int_not_equal(o.status, CW_OK);
    run_close_callbacks(f);
    assert_int_equal(o.done, 1);
}

struct http_outcome {
    int done;
    enum cw_status status;
    int code;
    size_t body_len;
};

static void
on_http(void *arg, enum cw_status s, const struct cw_http_answer *a)
{
    struct http_outcome *o = arg;
    o->done++;
    o->status = s;
    o->code = a->status;
    o->body_len = a->body.len;
}

/* A truncated answer must not be taken for a complete one, nor a request that
 * may have run for one that did not. */
static void
test_http_call(void **state)
{
    static const struct {
        const char *fault;
        bool closed; /* call a port that nothing listens on */
        enum cw_status status;
        int code;
    } cases[] = {
        {"{\"mode\":\"none\"}", false, CW_OK, 200},
        {"{\"mode\":\"refuse\"}", false, CW_OK, 503},
        {"{\"mode\":\"fail\"}", false, CW_OK, 500},
        {"{\"mode\":\"die\"}", false, CW_ERR_UNKNOWN, 0},
        {"{\"mode\":\"reset\"}", false, CW_ERR_UNKNOWN, 0},
        {"{\"mode\":\"cut\"}", false, CW_ERR_UNKNOWN, 200},
        {"{\"mode\":\"drop\"}", false, CW_ERR_UNKNOWN, 0},
        {"{\"mode\":\"slow\",\"slow_ms\":60000}", false, CW_ERR_UNKNOWN, 0},
        {"{\"mode\":\"none\"}", true, CW_ERR_UNAVAILABLE, 0},
    };
    struct fixture *f = *state;
    for (size_t i = 0; i < COUNT(cases); i++) {
        char address[32];
        set_fault(f->control_port, cases[i].fault);
        snprintf(address, sizeof(address), "127.0.0.1:%d",
                 cases[i].closed ? proc_free_port() : f->endpoint->port);
        struct cw_http_client c;
        assert_int_equal(cw_http_client_init(&c, &f->loop, address), CW_OK);
        struct http_outcome o = {0};
        cw_http_call(&c,
                     &(struct cw_http_request){"POST", "/work", CW_LIT("{}"),
                                               1000, NULL},
                     on_http, &o);
        while (o.done == 0) {
            uv_run(&f->loop, UV_RUN_ONCE);
        }
        assert_int_equal(o.status, cases[i].status);
        assert_int_equal(o.code, cases[i].code);
        cw_http_client_finish(&c);
        run_close_callbacks(f);
    }
}

/* Text that is not ip:port must be rejected, not parsed as address 0. */
static void
test_address(void **state)
{
    static const struct {
        const char *text;
        bool ok;
    } cases[] = {
        {"127.0.0.1:80", true},
        {"127.0.0.1", false},
        {"localhost:80", false},
        {"127.0.0.1:0", false},
        {":80", false},
        {"", false},
        {"127.0.0.1:70000", false},
        {"127.0.0.1:8x", false},
    };
    (void)state;
    for (size_t i = 0; i < COUNT(cases); i++) {
        struct sockaddr_in a;
        assert_int_equal(cw_http_parse_address(cases[i].text, &a),
                         cases[i].ok);
    }
    struct sockaddr_in a;
    assert_false(cw_http_parse_address(NULL, &a));
}

int
main(void)
{
    signal(SIGPIPE, SIG_IGN);
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_log, setup, teardown),
        cmocka_unit_test_setup_teardown(test_vmlist, setup, teardown),
        cmocka_unit_test_setup_teardown(test_pool, setup, teardown),
        cmocka_unit_test_setup_teardown(test_worker, setup, teardown),
        cmocka_unit_test_setup_teardown(test_long_poll, setup, teardown),
        cmocka_unit_test_setup_teardown(test_gone_and_hung, setup, teardown),
        cmocka_unit_test_setup_teardown(test_finish_with_open_call, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_http_call, setup, teardown),
        cmocka_unit_test(test_address),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
