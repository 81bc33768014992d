#include "jobd_rig.h"

#include "agents_int.h"
#include "jobs_util.h"
#include "platform_int.h"

#include <stdio.h>
#include <string.h>

#define BEGIN_MS 100000
#define STEP_MS 50 /* longer than the time between commits and scans */

/* ---- the store ---- */

static void
batch_add(void *ctx, struct cw_store_batch *b, struct cw_str key,
          struct cw_str value)
{
    struct rig *r = ctx;

    if (cw_str_eq(key, CW_LIT(CW_CLAIM_KEY))) {
        cw_buf_clear(&r->claim);
        cw_buf_add_str(&r->claim, value);
    }
    cw_buf_add_str(&b->bytes, value);
    b->count++;
}

static void
append(void *ctx, const struct cw_store_batch *b, uint64_t epoch,
       uint64_t sequence, cw_ms timeout, cw_store_done done, void *arg)
{
    struct rig *r = ctx;

    (void)sequence;
    (void)timeout;
    CW_INVARIANT(!r->append.open);
    r->append = (struct rig_call){true, arg, NULL, {.done = done}};
    r->append_epoch = epoch;
    r->append_records = b->count;
    r->appends++;
}

static void
publish(void *ctx, const struct cw_store_batch *b, cw_ms timeout,
        cw_store_done done, void *arg)
{
    struct rig *r = ctx;

    (void)b;
    CW_INVARIANT(!r->published.open);
    r->published = (struct rig_call){true, arg, NULL, {.done = done}};
    r->publish_timeout = timeout;
    r->publish_count++;
}

static struct rig_call *
page_call(struct rig *r, enum cw_stream stream)
{
    return stream == CW_STREAM_JOBS ? &r->jobs : &r->workers;
}

static void
read_latest(void *ctx, enum cw_stream stream, struct cw_str after,
            cw_ms timeout, size_t *received, cw_store_page_done done,
            void *arg)
{
    (void)received;
    (void)after;
    (void)timeout;
    *page_call(ctx, stream) =
        (struct rig_call){true, arg, NULL, {.page = done}};
}

static void
read_from(void *ctx, const struct cw_store_read *read, cw_store_page_done done,
          void *arg)
{
    *page_call(ctx, read->stream) =
        (struct rig_call){true, arg, NULL, {.page = done}};
}

/* The test still answers it, and the answer is not used. */
static void
cancel_read(void *ctx, const size_t *received)
{
    (void)ctx;
    (void)received;
}

static void
join(void *ctx, struct cw_str member, uint64_t generation, cw_ms ttl_ms,
     cw_store_join_done done, void *arg)
{
    struct rig *r = ctx;

    (void)member;
    (void)generation;
    (void)ttl_ms;
    CW_INVARIANT(!r->join.open);
    r->join = (struct rig_call){true, arg, NULL, {.join = done}};
}

static void
leave(void *ctx, struct cw_str member, cw_store_done done, void *arg)
{
    (void)ctx;
    (void)member;
    (void)done;
    (void)arg;
}

static void
get_owner(void *ctx, cw_ms timeout, cw_store_owner_done done, void *arg)
{
    struct rig *r = ctx;

    (void)timeout;
    r->owner = (struct rig_call){true, arg, NULL, {.owner = done}};
}

/* ---- the worker ---- */

static struct cw_worker_conn *
conn_open(void *ctx, const struct cw_name *id, const struct cw_name *address)
{
    struct rig *r = ctx;
    struct cw_worker_conn *c = &r->conns[r->conn_count++ % RIG_CONNS_MAX];

    (void)id;
    c->rig = r;
    c->address = *address;
    return c;
}

static bool
is_bound(const struct cw_worker_conn *c, cw_ms reported_at)
{
    (void)reported_at;
    return c->rig->bound;
}

static void
answer_order(struct rig_call *c, enum cw_status s, bool start)
{
    struct rig_call call = *c;

    if (!call.open) {
        return;
    }
    c->open = false;
    if (start) {
        call.u.start(call.arg, s, CW_START_OK, 0);
    }
    else {
        call.u.order(call.arg, s);
    }
}

/* Ends the open calls on a connection, NULL: all, without an answer. */
static void
fail_calls(struct rig_call *calls, size_t n, const struct cw_worker_conn *conn,
           bool report)
{
    for (size_t i = 0; i < n; i++) {
        struct rig_call c = calls[i];

        if (!c.open || (conn != NULL && c.conn != conn)) {
            continue;
        }
        calls[i].open = false;
        if (report) {
            c.u.report(c.arg, CW_ERR_UNKNOWN, NULL);
        }
        else {
            c.u.check(c.arg, CW_ERR_UNKNOWN, 0);
        }
    }
}

void
rig_fail_calls(struct rig *r)
{
    r->checked = false;
    fail_calls(&r->check, 1, NULL, false);
    fail_calls(r->other_checks, RIG_ORDERS_MAX, NULL, false);
    fail_calls(&r->report, 1, NULL, true);
    fail_calls(r->other_reports, RIG_ORDERS_MAX, NULL, true);
}

static void
conn_close(struct cw_worker_conn *c)
{
    struct rig *r = c->rig;

    for (size_t i = 0; i < RIG_ORDERS_MAX; i++) {
        if (r->starts[i].conn == c) {
            answer_order(&r->starts[i], CW_ERR_UNKNOWN, true);
        }
        if (r->stops[i].conn == c) {
            answer_order(&r->stops[i], CW_ERR_UNKNOWN, false);
        }
    }
    r->checked &= !(r->check.open && r->check.conn == c);
    fail_calls(&r->check, 1, c, false);
    fail_calls(r->other_checks, RIG_ORDERS_MAX, c, false);
    fail_calls(&r->report, 1, c, true);
    fail_calls(r->other_reports, RIG_ORDERS_MAX, c, true);
}

static struct rig_call *
free_call(struct rig_call *calls)
{
    size_t i = 0;

    while (i < RIG_ORDERS_MAX && calls[i].open) {
        i++;
    }
    CW_INVARIANT(i < RIG_ORDERS_MAX);
    return &calls[i];
}

static void
start(struct cw_worker_conn *c, const struct cw_start_order *o, cw_ms timeout,
      cw_start_done done, void *arg)
{
    (void)o;
    (void)timeout;
    *free_call(c->rig->starts) =
        (struct rig_call){true, arg, c, {.start = done}};
    c->rig->start_count++;
}

static void
stop(struct cw_worker_conn *c, const struct cw_run_row *row, uint64_t epoch,
     cw_ms timeout, cw_worker_done done, void *arg)
{
    (void)row;
    (void)epoch;
    (void)timeout;
    *free_call(c->rig->stops) =
        (struct rig_call){true, arg, c, {.order = done}};
    c->rig->stop_count++;
}

static void
pace(struct cw_worker_conn *c, const struct cw_run_row *row, uint32_t percent,
     uint64_t epoch, cw_ms timeout, cw_worker_done done, void *arg)
{
    (void)row;
    (void)epoch;
    (void)timeout;
    *free_call(c->rig->stops) =
        (struct rig_call){true, arg, c, {.order = done}};
    c->rig->pace_count++;
    c->rig->pace_percent = percent;
}

static void
poll_report(struct cw_worker_conn *c, const struct cw_report_order *o,
            cw_ms timeout, cw_report_done done, void *arg)
{
    struct rig *r = c->rig;

    (void)timeout;
    *(r->report.open ? free_call(r->other_reports) : &r->report) =
        (struct rig_call){true, arg, c, {.report = done}};
    r->report_count++;
    r->report_order = *o;
}

static void
check(struct cw_worker_conn *c, uint64_t epoch, cw_ms timeout,
      cw_check_done done, void *arg)
{
    struct rig *r = c->rig;

    (void)epoch;
    (void)timeout;
    *(r->check.open ? free_call(r->other_checks) : &r->check) =
        (struct rig_call){true, arg, c, {.check = done}};
    r->check_count++;
}

static bool
is_checked(struct cw_worker_conn *c, int64_t born)
{
    return c->rig->checked && c->rig->worker->born_wall == born;
}

void
rig_use_checks(struct rig *r)
{
    r->d.ports.exec.check = check;
    r->d.ports.exec.is_checked = is_checked;
}

void
rig_answer_check(struct rig *r, enum cw_status s, int64_t born, bool keep)
{
    struct rig_call c = r->check;

    CW_INVARIANT(c.open);
    r->check.open = false;
    r->checked = s == CW_OK && keep;
    c.u.check(c.arg, s, born);
}

/* ---- VM control ---- */

static void
move(void *ctx, struct cw_str vm, struct cw_str pool, struct cw_str holder,
     uint64_t token, cw_ms timeout, cw_vm_done done, void *arg)
{
    struct rig *r = ctx;

    (void)vm;
    (void)pool;
    (void)holder;
    (void)token;
    (void)timeout;
    CW_INVARIANT(!r->move.open);
    r->move = (struct rig_call){true, arg, NULL, {.order = done}};
    r->move_count++;
}

static void
list_vms(void *ctx, struct cw_str page, cw_ms timeout, cw_vm_page_done done,
         void *arg)
{
    struct rig *r = ctx;

    (void)page;
    (void)timeout;
    CW_INVARIANT(!r->vms.open);
    r->vms = (struct rig_call){true, arg, NULL, {.vms = done}};
}

void
rig_list_vm(struct rig *r)
{
    struct cw_vm_row row = {.phase = CW_VM_UP, .capacity = {4000, 4000, 0}};
    struct cw_vm_page page = {&row, 1, {0}};
    struct rig_call c = r->vms;

    (void)cw_name_set(&row.vm, CW_LIT("m-1"));
    (void)cw_name_set(&row.pool, CW_LIT(JOBS_SERVICE));
    (void)cw_name_set(&row.worker, CW_LIT("w-1"));
    CW_INVARIANT(c.open);
    r->vms.open = false;
    c.u.vms(c.arg, CW_OK, &page);
}

void
rig_answer_move(struct rig *r, enum cw_status s)
{
    struct rig_call c = r->move;

    CW_INVARIANT(c.open);
    r->move.open = false;
    c.u.order(c.arg, s);
}

/* ---- the rig ---- */

void
rig_init(struct rig *r)
{
    struct cw_jobd *d = &r->d;

    memset(r, 0, sizeof(*r));
    r->clock = (struct cw_clock_manual){BEGIN_MS, 10 * BEGIN_MS};
    cw_logger_setup(CW_ERROR + 1, stderr, NULL);
    CW_INVARIANT(uv_loop_init(&r->loop) == 0);
    d->loop = &r->loop;
    d->clock = cw_clock_manual(&r->clock);
    d->settings.member_ttl_ms = RIG_TTL_MS;
    d->settings.lease_ms = RIG_LEASE_MS;
    d->settings.max_hold_ms = RIG_MAX_HOLD_MS;
    d->settings.uneven_workers = true;
    d->settings.far_factor = 2;
    d->settings.status_ms = 120000;
    (void)cw_name_set(&d->settings.daemon, CW_LIT("d0"));
    (void)cw_name_set(&d->settings.peer_listen, CW_LIT("127.0.0.1:1"));
    pf_record_port(&d->ports);
    d->ports.ctx = r;
    d->ports.store = (struct cw_store_port){.batch_add = batch_add,
                                            .append = append,
                                            .publish = publish,
                                            .read_latest = read_latest,
                                            .read = read_from,
                                            .read_cancel = cancel_read,
                                            .join = join,
                                            .leave = leave,
                                            .get_owner = get_owner};
    d->ports.exec = (struct cw_exec_port){.open = conn_open,
                                          .close = conn_close,
                                          .start = start,
                                          .stop = stop,
                                          .pace = pace,
                                          .poll = poll_report,
                                          .is_bound = is_bound};
    d->ports.vmctl.move = move;
    d->ports.vmctl.list = list_vms;
    d->config.version = 1;
    d->in_group = true;
    d->store_ok = true;
    d->scheduler_reachable_at = BEGIN_MS;
    cw_metrics_init(&d->metrics);
    CW_INVARIANT(cw_commit_init(d) == CW_OK);
}

static void
give_up_page(struct rig_call *c)
{
    static const struct cw_store_page none;

    if (c->open) {
        c->open = false;
        c->u.page(c->arg, CW_ERR_UNKNOWN, &none);
    }
}

void
rig_finish(struct rig *r)
{
    struct cw_jobd *d = &r->d;

    cw_member_step_down(d, "finish");
    give_up_page(&r->jobs);
    give_up_page(&r->workers);
    if (r->append.open) {
        r->append.u.done(r->append.arg, CW_ERR_UNKNOWN);
    }
    if (r->published.open) {
        r->published.u.done(r->published.arg, CW_ERR_UNKNOWN);
    }
    if (r->vms.open) {
        r->vms.u.vms(r->vms.arg, CW_ERR_UNKNOWN, NULL);
    }
    if (r->move.open) {
        rig_answer_move(r, CW_ERR_UNKNOWN);
    }
    if (r->join.open) {
        r->join.u.join(r->join.arg, CW_ERR_UNKNOWN, 0, false);
    }
    while (d->held != NULL) {
        cw_calls_complete(d->held, CW_RESULT_NOT_RUN, "finish", 0);
    }
    cw_metrics_finish(&d->metrics);
    cw_buf_finish(&d->batch.bytes);
    cw_buf_finish(&r->claim);
    uv_close((uv_handle_t *)&d->commit_timer, NULL);
    uv_run(&r->loop, UV_RUN_NOWAIT);
    CW_INVARIANT(uv_loop_close(&r->loop) == 0);
}

void
rig_advance(struct rig *r, cw_ms ms)
{
    r->clock.now += ms;
    r->clock.wall += ms;
}

void
rig_run(struct rig *r)
{
    for (int i = 0; i < 3; i++) {
        uv_run(&r->loop, UV_RUN_NOWAIT);
    }
}

void
rig_join(struct rig *r, uint64_t generation, bool assigned)
{
    struct rig_call c;

    r->d.next_join_at = 0;
    cw_member_tick(&r->d, r->clock.now);
    c = r->join;
    CW_INVARIANT(c.open);
    r->join.open = false;
    c.u.join(c.arg, CW_OK, generation, assigned);
}

void
rig_answer_append(struct rig *r, enum cw_status s)
{
    struct rig_call c = r->append;

    r->append.open = false;
    c.u.done(c.arg, s);
}

struct cw_worker_entry
rig_worker_entry(void)
{
    struct cw_worker_entry e = {.capacity = {4000, 4000, 0}, .born_wall = 1};

    (void)cw_name_set(&e.id, CW_LIT("w-1"));
    (void)cw_name_set(&e.service, CW_LIT(JOBS_SERVICE));
    (void)cw_name_set(&e.address, CW_LIT("127.0.0.1:9"));
    (void)cw_name_set(&e.vm, CW_LIT("m-1"));
    return e;
}

void
rig_claim(struct rig *r)
{
    rig_join(r, 1, true);
    CW_INVARIANT(r->d.role == CW_ROLE_TAKEOVER);
    rig_answer_append(r, CW_OK);
}

void
rig_load_jobs(struct rig *r)
{
    struct rig_call jobs = r->jobs;
    struct cw_store_record claim = {.key = CW_LIT(CW_CLAIM_KEY)};
    struct cw_store_page page = {.records = &claim, .count = 1};

    CW_INVARIANT(jobs.open);
    r->jobs.open = false;
    claim.value = cw_buf_str(&r->claim);
    jobs.u.page(jobs.arg, CW_OK, &page);
    CW_INVARIANT(r->d.role == CW_ROLE_SCHEDULER);
}

void
rig_take_over(struct rig *r)
{
    struct cw_worker_entry e = rig_worker_entry();

    rig_claim(r);
    rig_load_jobs(r);
    r->worker = cw_sched_worker_listed(r->d.sched, &e, r->clock.now);
    cw_agents_scan(&r->d, r->clock.now);
    rig_report(r, NULL, 0);
    rig_advance(r, STEP_MS);
}

struct cw_worker *
rig_add_worker(struct rig *r, unsigned n)
{
    struct cw_worker_entry e = rig_worker_entry();
    struct cw_run_report rep = {.born_wall = 1, .clock_ms = r->clock.now};
    struct cw_worker *w;

    e.id.len = (size_t)snprintf(e.id.text, sizeof(e.id.text), "w-%u", n);
    e.vm.len = (size_t)snprintf(e.vm.text, sizeof(e.vm.text), "m-%u", n);
    w = cw_sched_worker_listed(r->d.sched, &e, r->clock.now);
    CW_INVARIANT(w != NULL && cw_agent_get(&r->d, w) != NULL);
    cw_sched_report(r->d.sched, w, &rep, r->clock.now);
    return w;
}

void
rig_begin_commit(struct rig *r)
{
    rig_advance(r, STEP_MS);
    uv_timer_stop(&r->d.commit_timer); /* it may wait on the loop's clock */
    cw_commit_schedule(&r->d);
    rig_run(r);
}

void
rig_commit(struct rig *r, enum cw_status s)
{
    rig_begin_commit(r);
    if (r->append.open) {
        rig_answer_append(r, s);
    }
}

void
rig_answer_orders(struct rig *r)
{
    for (size_t i = 0; i < RIG_ORDERS_MAX; i++) {
        answer_order(&r->starts[i], CW_OK, true);
        answer_order(&r->stops[i], CW_OK, false);
    }
}

void
rig_answer_report(struct rig *r, struct cw_run_report *rep)
{
    struct rig_call c = r->report;

    CW_INVARIANT(c.open);
    r->report.open = false;
    c.u.report(c.arg, CW_OK, rep);
}

void
rig_report(struct rig *r, const struct cw_run_row *rows, size_t n)
{
    struct cw_run_report rep = {.born_wall = 1,
                                .clock_ms = r->clock.now,
                                .running = rows,
                                .running_count = n};

    rig_answer_report(r, &rep);
}

void
rig_set_membership(struct rig *r, cw_ms left)
{
    r->d.member_valid_until = r->clock.now + left;
}

struct cw_job_entry *
rig_accept(struct rig *r, uint64_t id, bool lasting)
{
    struct cw_job_spec spec = jobs_spec(id, 1, 500);
    struct cw_job_entry *j = NULL;

    spec.steps[0].lasting = lasting;
    CW_INVARIANT(cw_sched_accept(r->d.sched, &spec, r->clock.now, &j) ==
                 CW_OK);
    return j;
}

struct cw_task *
rig_run_task(struct rig *r, uint64_t id)
{
    struct cw_task *t = &rig_accept(r, id, true)->tasks[0];

    rig_commit(r, CW_OK);
    rig_answer_orders(r);
    CW_INVARIANT(t->state == CW_RUN_RUNNING);
    return t;
}
