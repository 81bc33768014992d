/* Guards the contract between the ports' clients and the platform: which
 * status a caller gets when the platform is down, slow, refuses, or loses the
 * answer after the effect. */
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

/* What a call reported. */
struct outcome {
    int done; /* runs of the done function */
    enum cw_status status;
    uint64_t number; /* first offset, next offset, version or fence */
    size_t count;    /* records, VMs, tasks; in flight */
    char word[CW_NAME_MAX + 1];
};

struct fixture {
    struct proc_env env;
    struct proc *platform;
    struct proc *endpoint;
    int control_port; /* of the endpoint stand-in */
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
start_stand_ins(struct fixture *f)
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
    start_stand_ins(&f);
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
        snprintf(o->word, sizeof(o->word), "%.*s", CW_FMT(b->items[0].data));
    }
}

static void
on_vms(void *arg, enum cw_status s, uint64_t version, size_t count,
       const struct cw_vm_info *vms)
{
    static const char *const words[] = {"live", "leaving", "gone"};
    struct outcome *o = arg;
    o->done++;
    o->status = s;
    o->number = version;
    o->count = count;
    if (count > 0) {
        snprintf(o->word, sizeof(o->word), "%s", words[vms[0].state]);
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
    static const char *const words[] = {"ready", "draining", "drained",
                                        "rebooting"};
    struct outcome *o = arg;
    o->done++;
    o->status = s;
    o->number = vm->fence;
    o->count = vm->in_flight;
    if (s == CW_OK) {
        snprintf(o->word, sizeof(o->word), "%s", words[vm->state]);
    }
}

static void
on_reports(void *arg, enum cw_status s, uint64_t version, size_t count,
           const struct cw_worker_report *reports)
{
    static const char *const words[] = {"running", "done", "failed",
                                        "checkpointed"};
    struct outcome *o = arg;
    (void)version;
    o->done++;
    o->status = s;
    o->number = count;
    for (size_t i = 0; i < count; i++) {
        o->count += reports[i].task_count;
        if (reports[i].task_count > 0) {
            snprintf(o->word, sizeof(o->word), "%s",
                     words[reports[i].tasks[0].state]);
        }
    }
}

/* ---- steps ------------------------------------------------------------ */

/* One call and what it has to report. Fields that a call does not use are
 * not compared. */
struct step {
    const char *why;   /* the failure that the step guards against */
    const char *fault; /* set before the call; NULL = unchanged */
    void (*start)(struct fixture *f, const struct step *s, struct outcome *o);
    const char *a;
    const char *b;
    int what;
    uint64_t x;
    enum cw_status status;
    uint64_t number;
    size_t count;
    const char *word;
};

static void
do_append(struct fixture *f, const struct step *s, struct outcome *o)
{
    f->log.append(f->log.ctx, "config", cw_str_from(s->a), on_append, o);
}

static void
do_read(struct fixture *f, const struct step *s, struct outcome *o)
{
    f->log.read(f->log.ctx, "config", s->x, 100, s->what, on_read, o);
}

static void
do_vms(struct fixture *f, const struct step *s, struct outcome *o)
{
    f->vmlist.get(f->vmlist.ctx, s->x, on_vms, o);
}

static void
do_pool(struct fixture *f, const struct step *s, struct outcome *o)
{
    f->pool.call(f->pool.ctx, (enum cw_pool_call)s->what, "v1", s->a, s->x,
                 s->b, on_called, o);
}

static void
do_status(struct fixture *f, const struct step *s, struct outcome *o)
{
    f->pool.status(f->pool.ctx, s->a, on_status, o);
}

static void
do_worker(struct fixture *f, const struct step *s, struct outcome *o)
{
    struct cw_task_order order = {
        .worker = s->a,
        .task = s->b,
        .fence = s->x,
        .lease_ms = 60000,
        .cpu_milli = 1000,
        .memory_mb = 100,
        .accelerators = 1,
        .run_ms = 60000,
    };
    f->worker.call(f->worker.ctx, (enum cw_worker_call)s->what, &order,
                   on_called, o);
}

static void
do_reports(struct fixture *f, const struct step *s, struct outcome *o)
{
    (void)s;
    f->worker.reports(f->worker.ctx, 0, 1, 0, on_reports, o);
}

static void
await(struct fixture *f, const struct outcome *o)
{
    while (o->done == 0) {
        uv_run(&f->loop, UV_RUN_ONCE);
    }
}

/* Lets closed handles go. The other clients' timers keep the loop alive, so
 * that it cannot be run to its end here. */
static void
run_closes(struct fixture *f)
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
        await(f, &o);
        if (o.status != s->status || o.number != s->number ||
            o.count != s->count ||
            (s->word != NULL && strcmp(o.word, s->word) != 0)) {
            fail_msg("step %zu, %s: status %s number %llu count %zu word %s",
                     i, s->why, cw_status_name(o.status),
                     (unsigned long long)o.number, o.count, o.word);
        }
    }
}

/* ---- tests ------------------------------------------------------------ */

static void
test_log(void **state)
{
    static const struct step steps[] = {
        {"offsets count from 1", NULL, do_append, "[{\"n\":1},{\"n\":2}]",
         NULL, 0, 0, CW_OK, 1, 0, NULL},
        {"a read returns what was appended", NULL, do_read, NULL, NULL, 0, 1,
         CW_OK, 3, 2, "{\"n\":1}"},
        {"a read at the end returns none", NULL, do_read, NULL, NULL, 10, 3,
         CW_OK, 3, 0, NULL},
        {"an append of nothing is refused", NULL, do_append, "[]", NULL, 0, 0,
         CW_ERR_INVALID, 0, 0, NULL},
        {"a lost answer is not a refusal", "{\"log\":\"lose\"}", do_append,
         "[{\"n\":3}]", NULL, 0, 0, CW_ERR_UNKNOWN, 0, 0, NULL},
        {"the lost append took effect", NULL, do_read, NULL, NULL, 0, 3, CW_OK,
         4, 1, "{\"n\":3}"},
        {"an outage takes no append", "{\"log\":\"down\"}", do_append,
         "[{\"n\":4}]", NULL, 0, 0, CW_ERR_UNAVAILABLE, 0, 0, NULL},
        {"an outage is not an empty log", NULL, do_read, NULL, NULL, 0, 3,
         CW_ERR_UNAVAILABLE, 0, 0, NULL},
        {"nothing was taken in the outage", "{\"log\":\"up\"}", do_read, NULL,
         NULL, 0, 4, CW_OK, 4, 0, NULL},
        {"slow is not down", "{\"log\":\"slow\",\"slow_ms\":100}", do_append,
         "[{\"n\":4}]", NULL, 0, 0, CW_OK, 4, 0, NULL},
        {"a passed offset says where to go on",
         "{\"log\":\"up\",\"retention_records\":2}", do_read, NULL, NULL, 0, 1,
         CW_ERR_NOT_FOUND, 3, 0, NULL},
        {"the first kept offset can be read", NULL, do_read, NULL, NULL, 0, 3,
         CW_OK, 5, 2, "{\"n\":3}"},
    };
    run_steps(*state, steps, COUNT(steps));
}

static void
test_vmlist(void **state)
{
    static const struct step steps[] = {
        {"all VMs are listed", NULL, do_vms, NULL, NULL, 0, 0, CW_OK, 2, 2,
         "live"},
        {"an unchanged list is empty", NULL, do_vms, NULL, NULL, 0, 2, CW_OK,
         2, 0, NULL},
        {"a drain works while the list lags", "{\"vmlist_lag_ms\":60000}",
         do_pool, "op1", NULL, CW_POOL_DRAIN, 5, CW_OK, 0, 0, NULL},
        {"the lag hides the change", NULL, do_vms, NULL, NULL, 0, 2, CW_OK, 2,
         0, NULL},
        {"the change shows once", "{\"vmlist_lag_ms\":0}", do_vms, NULL, NULL,
         0, 2, CW_OK, 3, 1, "leaving"},
        {"an outage is not an empty list", "{\"vmlist\":\"down\"}", do_vms,
         NULL, NULL, 0, 0, CW_ERR_UNAVAILABLE, 0, 0, NULL},
    };
    run_steps(*state, steps, COUNT(steps));
}

static void
test_pool(void **state)
{
    static const struct step steps[] = {
        {"a drain is taken", NULL, do_pool, "op1", NULL, CW_POOL_DRAIN, 7,
         CW_OK, 0, 0, NULL},
        {"a repeat gets the same answer", NULL, do_pool, "op1", NULL,
         CW_POOL_DRAIN, 7, CW_OK, 0, 0, NULL},
        {"an idle VM is drained", NULL, do_status, "v1", NULL, 0, 0, CW_OK, 7,
         0, "drained"},
        {"a late former holder changes nothing", NULL, do_pool, "op0", NULL,
         CW_POOL_REBOOT, 6, CW_ERR_FENCED, 0, 0, NULL},
        {"an outage has no effect", "{\"pool\":\"down\"}", do_pool, "op2",
         NULL, CW_POOL_UNDRAIN, 8, CW_ERR_UNAVAILABLE, 0, 0, NULL},
        {"the VM stayed drained", "{\"pool\":\"up\"}", do_status, "v1", NULL,
         0, 0, CW_OK, 7, 0, "drained"},
        {"a lost answer is not a refusal", "{\"pool\":\"lose\"}", do_pool,
         "op2", NULL, CW_POOL_UNDRAIN, 8, CW_ERR_UNKNOWN, 0, 0, NULL},
        {"the lost call took effect", NULL, do_status, "v1", NULL, 0, 0, CW_OK,
         8, 0, "ready"},
        {"an assign needs a pool", NULL, do_pool, "op3", NULL, CW_POOL_ASSIGN,
         9, CW_ERR_INVALID, 0, 0, NULL},
        {"an unknown VM is told apart", NULL, do_status, "v9", NULL, 0, 0,
         CW_ERR_NOT_FOUND, 0, 0, NULL},
        {"a drain before the move", NULL, do_pool, "op4", NULL, CW_POOL_DRAIN,
         9, CW_OK, 0, 0, NULL},
        {"a move is taken", NULL, do_pool, "op4", "roster", CW_POOL_ASSIGN, 10,
         CW_OK, 0, 0, NULL},
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
        {"an idle worker reports no task", NULL, do_reports, NULL, NULL, 0, 0,
         CW_OK, 2, 0, NULL},
        {"a start is taken", NULL, do_worker, "w1", "t1", CW_WORKER_START, 5,
         CW_OK, 0, 0, NULL},
        {"a lower fence is refused", NULL, do_worker, "w1", "t1",
         CW_WORKER_STOP, 4, CW_ERR_FENCED, 0, 0, NULL},
        {"a device is not given twice", NULL, do_worker, "w1", "t2",
         CW_WORKER_START, 6, CW_ERR_INVALID, 0, 0, NULL},
        {"a renewal is taken", NULL, do_worker, "w1", "t1", CW_WORKER_RENEW, 5,
         CW_OK, 0, 0, NULL},
        {"an outage has no effect", "{\"worker\":\"down\"}", do_worker, "w1",
         "t1", CW_WORKER_STOP, 5, CW_ERR_UNAVAILABLE, 0, 0, NULL},
        {"a lost answer is not a refusal", "{\"worker\":\"lose\"}", do_worker,
         "w1", "t1", CW_WORKER_CHECKPOINT, 5, CW_ERR_UNKNOWN, 0, 0, NULL},
        {"an unknown worker is refused", NULL, do_worker, "w9", "t1",
         CW_WORKER_START, 5, CW_ERR_INVALID, 0, 0, NULL},
    };
    struct fixture *f = *state;
    run_steps(f, steps, COUNT(steps));
    /* Reports follow with the stand-in's own tick. */
    struct outcome o = {0};
    for (int i = 0; i < 500 && strcmp(o.word, "checkpointed") != 0; i++) {
        memset(&o, 0, sizeof(o));
        f->worker.reports(f->worker.ctx, 0, 1, 0, on_reports, &o);
        await(f, &o);
        proc_sleep_ms(10);
    }
    assert_string_equal(o.word, "checkpointed");
    assert_int_equal(o.count, 1);
}

/* A read that waits must return with the record that ends its wait, and must
 * not hold up the append of that record. */
static void
test_long_poll(void **state)
{
    struct fixture *f = *state;
    struct outcome r = {0};
    struct outcome a = {0};
    f->log.read(f->log.ctx, "config", 1, 10, 20000, on_read, &r);
    uv_run(&f->loop, UV_RUN_NOWAIT);
    f->log.append(f->log.ctx, "config", CW_LIT("[{\"n\":1}]"), on_append, &a);
    await(f, &a);
    await(f, &r);
    assert_int_equal(r.status, CW_OK);
    assert_int_equal(r.count, 1);
    assert_int_equal(a.number, 1);
}

/* A platform that is gone took nothing; one that hangs may have taken it. */
static void
test_gone_and_hung(void **state)
{
    struct fixture *f = *state;
    struct outcome hung = {0};
    proc_signal(f->platform, SIGSTOP);
    f->log.append(f->log.ctx, "config", CW_LIT("[{\"n\":1}]"), on_append,
                  &hung);
    await(f, &hung);
    assert_int_equal(hung.status, CW_ERR_UNKNOWN);
    proc_signal(f->platform, SIGKILL);
    struct outcome gone = {0};
    f->log.append(f->log.ctx, "config", CW_LIT("[{\"n\":1}]"), on_append,
                  &gone);
    await(f, &gone);
    assert_int_equal(gone.status, CW_ERR_UNAVAILABLE);
}

/* A call that is open when its client closes still reports, once. */
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
    run_closes(f);
    assert_int_equal(o.done, 1);
}

struct http_outcome {
    int done;
    enum cw_status status;
    int code;
    size_t len;
};

static void
on_http(void *arg, enum cw_status s, const struct cw_http_answer *a)
{
    struct http_outcome *o = arg;
    o->done++;
    o->status = s;
    o->code = a->status;
    o->len = a->body.len;
}

/* A broken answer must never look like a complete one, and a request that may
 * have run must never look like one that did not. */
static void
test_http_call(void **state)
{
    static const struct {
        const char *fault;
        bool closed; /* call a port where nobody listens */
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
        run_closes(f);
    }
}

/* An address that is no ip:port must be refused, not connected to 0. */
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
        assert_int_equal(cw_http_address(cases[i].text, &a), cases[i].ok);
    }
    struct sockaddr_in a;
    assert_false(cw_http_address(NULL, &a));
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
