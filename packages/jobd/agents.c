/* One agent for each worker: sends start, stop and pace orders, renews the
 * lease and fetches reports of what runs there. */
#include "cw_jobd.h"

#include <stdlib.h>
#include <string.h>

/* Concurrent orders to one worker, in addition to the report; bounds the
 * number of connections. */
#define ORDERS_IN_FLIGHT_MAX 2
/* An answer normally takes some milliseconds. After the timeout the order is
 * sent again; orders are idempotent. */
#define ORDER_TIMEOUT_MS 400
#define ORDER_RETRY_MS 150
/* Attempts at a start that was never sent, before the task goes to another
 * worker. */
#define START_ATTEMPTS_MAX 2
/* No further starts are sent to a worker for this time after it failed to
 * answer one. */
#define UNANSWERED_PAUSE_MS 800
/* Long-poll time of a report, which a worker answers early when a run ends. */
#define REPORT_WAIT_MS 1000
#define REPORT_MARGIN_MS 600
#define REPORT_RETRY_MS 250
/* After a run has ended, the next report carries its acknowledgement and so
 * waits for the commit, but no longer than this. */
#define ACK_WAIT_MS 200
/* Time between passes over all workers for what is due by time alone: retries,
 * and workers without contact. Other reports and orders are sent at the event
 * that makes them due. */
#define SCAN_INTERVAL_MS 50

/* Not a percentage: differs from any pace that the scheduler sets. */
#define PACE_UNKNOWN 255

enum order_kind { ORDER_START, ORDER_STOP, ORDER_PACE };

struct order {
    struct order *next;
    struct cw_agent *agent;
    enum order_kind kind;
    struct cw_run_row row;
    uint32_t percent;
    uint32_t tries;
    bool unanswered; /* was sent without an answer: may have arrived */
    cw_ms due;
};

struct cw_agent {
    struct cw_agent *prev;
    struct cw_agent *next;
    struct cw_jobd *d;
    struct cw_worker *worker;
    struct cw_worker_conn *conn;
    struct order *orders;
    uint32_t in_flight;
    bool closing;
    bool reporting;
    cw_ms report_sent;
    cw_ms next_report_at; /* not before; later while the loop lags behind */
    cw_ms report_due;
    uint64_t report_acked; /* acknowledgement in the open report call */
    uint64_t acked_sent;   /* acknowledgement that the worker received */
    uint32_t failures;     /* failed report calls in a row */
};

static void send_due_orders(struct cw_agent *a, cw_ms now);
static void send_report_if_due(struct cw_agent *a, cw_ms now);

static void
push_order(struct cw_agent *a, struct order *o)
{
    struct order **link = &a->orders;

    while (*link != NULL) {
        link = &(*link)->next;
    }
    o->next = NULL;
    *link = o;
}

static struct order *
new_order(struct cw_agent *a, enum order_kind kind,
          const struct cw_run_row *row)
{
    struct order *o = calloc(1, sizeof(*o));

    CW_INVARIANT(o != NULL);
    o->agent = a;
    o->kind = kind;
    o->row = *row;
    o->row.checkpoint = (struct cw_str){0};
    push_order(a, o);
    return o;
}

static struct cw_agent *
get_agent(struct cw_jobd *d, struct cw_worker *w)
{
    struct cw_agent *a = w->agent;

    if (a != NULL || w->address.len == 0) {
        return a;
    }
    a = calloc(1, sizeof(*a));
    CW_INVARIANT(a != NULL);
    a->d = d;
    a->worker = w;
    a->conn = d->ports.exec.open(d->ports.ctx, &w->id, &w->address);
    if (a->conn == NULL) {
        cw_log(CW_WARN, "worker_unusable", "worker=%s address=%s", w->id.text,
               w->address.text);
        free(a);
        return NULL;
    }
    w->agent = a;
    a->next = d->agents;
    if (a->next != NULL) {
        a->next->prev = a;
    }
    d->agents = a;
    return a;
}

/* ---- orders ---- */

static struct cw_task *
order_task(const struct order *o)
{
    struct cw_task *t = cw_sched_find_task(o->agent->d->sched, &o->row);

    return t != NULL && t->worker == o->agent->worker && t->run == o->row.run
               ? t
               : NULL;
}

static void
schedule_commit_if_changed(struct cw_jobd *d)
{
    if (d->sched != NULL && (d->sched->plan_due || d->sched->dirty != NULL)) {
        cw_commit_schedule(d);
    }
}

/* Queues an order that got no answer again. */
static void
requeue_order(struct order *o, cw_ms now)
{
    o->tries++;
    o->due = now + ORDER_RETRY_MS;
    push_order(o->agent, o);
}

/* Ends an order's call. Returns true when the order was dropped and freed:
 * the agent is closing, or the worker has seen a newer scheduler. */
static bool
end_order_call(struct order *o, enum cw_status s)
{
    struct cw_agent *a = o->agent;
    struct cw_jobd *d = a->d;

    a->in_flight--;
    if (!a->closing && s != CW_ERR_FENCED) {
        return false;
    }
    free(o);
    if (!a->closing) {
        cw_member_step_down(d, "worker_fenced");
    }
    return true;
}

static void
on_start(void *arg, enum cw_status s, enum cw_start_answer answer,
         int64_t clock_ms)
{
    struct order *o = arg;
    struct cw_agent *a = o->agent;
    struct cw_jobd *d = a->d;
    struct cw_worker *w = a->worker;
    struct cw_task *t;
    cw_ms now = cw_jobd_now(d);

    if (end_order_call(o, s)) {
        return;
    }
    if (s == CW_OK) {
        if (answer != CW_START_OK) {
            cw_log(CW_INFO, "start_refused",
                   "job=%016llx task=%u.%u.%u run=%u worker=%s answer=%d",
                   (unsigned long long)o->row.job, o->row.occurrence,
                   o->row.step, o->row.index, o->row.run, w->id.text, answer);
        }
        cw_sched_start_answered(d->sched, w, &o->row, answer, o->unanswered,
                                now);
        cw_sched_start_clock(d->sched, w, &o->row, clock_ms, now);
        free(o);
    }
    else {
        o->unanswered |= s == CW_ERR_UNKNOWN;
        w->retry_at = now + UNANSWERED_PAUSE_MS;
        t = order_task(o);
        cw_log(CW_INFO, "start_unanswered",
               "job=%016llx task=%u.%u.%u run=%u worker=%s status=%s tries=%u",
               (unsigned long long)o->row.job, o->row.occurrence, o->row.step,
               o->row.index, o->row.run, w->id.text, cw_status_name(s),
               o->tries);
        if (t == NULL || t->state != CW_RUN_STARTING) {
            free(o);
        }
        else if (!o->unanswered && o->tries >= START_ATTEMPTS_MAX) {
            cw_sched_start_answered(d->sched, w, &o->row, CW_START_REFUSED,
                                    false, now);
            free(o);
        }
        else {
            requeue_order(o, now);
        }
    }
    schedule_commit_if_changed(d);
    send_due_orders(a, now);
    send_report_if_due(a, now);
}

static void
on_stop_or_pace(void *arg, enum cw_status s)
{
    struct order *o = arg;
    struct cw_agent *a = o->agent;
    struct cw_jobd *d = a->d;
    cw_ms now = cw_jobd_now(d);
    struct cw_task *t;

    if (end_order_call(o, s)) {
        return;
    }
    t = order_task(o);
    if (s == CW_ERR_NOT_FOUND) {
        cw_sched_worker_lost(d->sched, a->worker, CW_LOSS_OTHER, now);
        free(o);
    }
    else if (s == CW_OK && o->kind == ORDER_STOP) {
        cw_sched_stop_answered(d->sched, a->worker, &o->row, now);
        free(o);
    }
    else if (s != CW_OK && o->kind == ORDER_STOP && t != NULL &&
             t->state == CW_RUN_STOPPING) {
        requeue_order(o, now);
    }
    else {
        if (s != CW_OK && o->kind == ORDER_PACE && t != NULL) {
            /* The next pace decision sends it again. */
            t->pace_percent = PACE_UNKNOWN;
        }
        free(o);
    }
    schedule_commit_if_changed(d);
    send_due_orders(a, now);
}

static void
send_start(struct cw_agent *a, struct order *o, const struct cw_task *t,
           cw_ms now)
{
    struct cw_jobd *d = a->d;
    struct cw_start_order so = {
        .run = o->row,
        .text = {t->job->spec.text, t->job->spec.text_len},
        .until_ms = cw_worker_lease_until(
            d->sched, a->worker, a->failures == 0 && !o->unanswered, now),
        .epoch = d->epoch,
    };

    so.run.checkpoint = cw_str_from(t->checkpoint);
    cw_worker_start_sent(d->sched, a->worker, now);
    cw_member_count_unproved(d, "start");
    d->ports.exec.start(a->conn, &so, ORDER_TIMEOUT_MS, on_start, o);
}

/* A start carries the end of its lease, on a clock that is unknown between a
 * worker's restart and its next report. To a silent worker none is repeated: a
 * restarted one may receive each, and hold its runs the longer. */
static bool
is_order_due(const struct order *o, cw_ms now)
{
    const struct cw_agent *a = o->agent;

    return o->due <= now &&
           (o->kind != ORDER_START || (a->worker->clock_at != 0 &&
                                       (!o->unanswered || a->failures == 0)));
}

/* Sends an order, or drops a start whose task no longer waits for it. */
static void
send_order(struct cw_agent *a, struct order *o, cw_ms now)
{
    struct cw_jobd *d = a->d;
    struct cw_task *t = order_task(o);

    if (o->kind == ORDER_START && (t == NULL || t->state != CW_RUN_STARTING)) {
        free(o);
        return;
    }
    a->in_flight++;
    switch (o->kind) {
    case ORDER_START:
        send_start(a, o, t, now);
        break;
    case ORDER_STOP:
        d->ports.exec.stop(a->conn, &o->row, d->epoch, ORDER_TIMEOUT_MS,
                           on_stop_or_pace, o);
        break;
    case ORDER_PACE:
        d->ports.exec.pace(a->conn, &o->row, o->percent, d->epoch,
                           ORDER_TIMEOUT_MS, on_stop_or_pace, o);
        break;
    }
}

static void
send_due_orders(struct cw_agent *a, cw_ms now)
{
    struct order **link = &a->orders;

    while (*link != NULL && a->in_flight < ORDERS_IN_FLIGHT_MAX) {
        struct order *o = *link;

        if (!is_order_due(o, now)) {
            link = &o->next;
            continue;
        }
        *link = o->next;
        send_order(a, o, now);
    }
}

static void
queue_start(void *ctx, struct cw_task *t)
{
    struct cw_jobd *d = ctx;
    struct cw_run_row row = cw_task_row(t);
    struct cw_agent *a = get_agent(d, t->worker);

    if (a == NULL) {
        return;
    }
    cw_log(row.run > 1 ? CW_INFO : CW_DEBUG, "start",
           "job=%016llx task=%u.%u.%u run=%u worker=%s born=%lld epoch=%llu "
           "member_left_ms=%lld",
           (unsigned long long)row.job, row.occurrence, row.step, row.index,
           row.run, t->worker->id.text, (long long)t->worker->born_wall,
           (unsigned long long)d->epoch,
           (long long)(d->member_valid_until - cw_jobd_now(d)));
    (void)new_order(a, ORDER_START, &row);
    send_due_orders(a, cw_jobd_now(d));
}

static void
queue_stop(void *ctx, struct cw_worker *w, const struct cw_run_row *r)
{
    struct cw_jobd *d = ctx;
    struct cw_agent *a = get_agent(d, w);

    if (a == NULL) {
        return;
    }
    for (const struct order *o = a->orders; o != NULL; o = o->next) {
        if (o->kind == ORDER_STOP && cw_run_same_task(&o->row, r) &&
            o->row.run == r->run) {
            return;
        }
    }
    cw_log(CW_INFO, "stop", "job=%016llx task=%u.%u.%u run=%u worker=%s",
           (unsigned long long)r->job, r->occurrence, r->step, r->index,
           r->run, w->id.text);
    (void)new_order(a, ORDER_STOP, r);
    send_due_orders(a, cw_jobd_now(d));
}

static void
queue_pace(void *ctx, struct cw_task *t, uint32_t percent)
{
    struct cw_jobd *d = ctx;
    struct cw_run_row row = cw_task_row(t);
    struct cw_agent *a = get_agent(d, t->worker);

    if (a == NULL) {
        return;
    }
    cw_log(CW_INFO, "pace",
           "job=%016llx task=%u.%u.%u run=%u worker=%s percent=%u",
           (unsigned long long)row.job, row.occurrence, row.step, row.index,
           row.run, t->worker->id.text, percent);
    new_order(a, ORDER_PACE, &row)->percent = percent;
    send_due_orders(a, cw_jobd_now(d));
}

static void
on_acked(void *ctx, struct cw_worker *w)
{
    struct cw_jobd *d = ctx;

    cw_log(CW_DEBUG, "ends_noted", "worker=%s born=%lld through=%llu",
           w->id.text, (long long)w->born_wall, (unsigned long long)w->acked);
    if (w->agent != NULL) {
        send_report_if_due(w->agent, cw_jobd_now(d));
    }
}

const struct cw_sched_ops cw_agent_ops = {queue_start, queue_stop, queue_pace,
                                          on_acked};

/* ---- reports ---- */

static void
report_failed(struct cw_agent *a, enum cw_status s, cw_ms now)
{
    struct cw_jobd *d = a->d;
    struct cw_worker *w = a->worker;

    if (a->failures++ == 0) {
        cw_log(CW_INFO, "report_missing", "worker=%s status=%s tasks=%u",
               w->id.text, cw_status_name(s), w->task_count);
    }
    a->report_due = now + REPORT_RETRY_MS;
    if (s == CW_ERR_NOT_FOUND) {
        cw_sched_worker_lost(d->sched, w, CW_LOSS_OTHER, now);
    }
    w->retry_at = now + UNANSWERED_PAUSE_MS;
}

static void
on_report(void *arg, enum cw_status s, struct cw_run_report *r)
{
    struct cw_agent *a = arg;
    struct cw_jobd *d = a->d;
    cw_ms now = cw_jobd_now(d);

    a->reporting = false;
    if (a->closing) {
        return;
    }
    if (s == CW_ERR_FENCED) {
        cw_member_step_down(d, "worker_fenced");
        return;
    }
    cw_jobd_count(d, "cuminwalk_reports_total", cw_status_name(s));
    if (s != CW_OK) {
        report_failed(a, s, now);
    }
    else {
        if (a->failures > 0) {
            cw_log(CW_INFO, "report_regained", "worker=%s missing=%u",
                   a->worker->id.text, a->failures);
        }
        a->failures = 0;
        a->next_report_at = now + cw_loop_lag_report_delay(&d->lag);
        if (r->proved) {
            a->acked_sent = a->report_acked;
        }
        else if (a->report_acked > a->acked_sent) {
            /* A worker that closes each connection gets no acknowledgement,
             * and no more calls for it than a silent one. */
            a->next_report_at = now + REPORT_RETRY_MS;
        }
        r->sent_at = a->report_sent;
        if (r->partial) {
            cw_log(CW_WARN, "report_unreadable",
                   "worker=%s running=%zu ended=%zu", a->worker->id.text,
                   r->running_count, r->ended_count);
            a->next_report_at = now + REPORT_RETRY_MS;
        }
        cw_sched_report(d->sched, a->worker, r, now);
        a->report_due = a->worker->ack_pending > a->worker->acked
                            ? now + ACK_WAIT_MS
                            : now;
    }
    schedule_commit_if_changed(d);
    send_report_if_due(a, now);
}

static bool
is_report_due(const struct cw_agent *a, cw_ms now)
{
    const struct cw_worker *w = a->worker;

    if (a->reporting || now < a->next_report_at) {
        return false;
    }
    if (w->ack_pending > w->acked && now < a->report_due) {
        return false; /* the ends are not durable yet */
    }
    if (a->failures > 0 && now < a->report_due) {
        return false;
    }
    if (w->state == CW_WORKER_GONE && w->tasks == NULL) {
        return false;
    }
    return !w->contacted || w->tasks != NULL || w->acked > a->acked_sent;
}

static void
send_report(struct cw_agent *a, cw_ms now)
{
    struct cw_jobd *d = a->d;
    struct cw_worker *w = a->worker;
    cw_ms wait = w->contacted && w->tasks != NULL ? REPORT_WAIT_MS : 0;
    int64_t until =
        w->tasks == NULL
            ? 0
            : cw_worker_lease_until(d->sched, w, a->failures == 0, now);

    a->reporting = true;
    a->report_sent = now;
    a->report_acked = w->acked;
    if (until > 0) {
        cw_member_count_unproved(d, "renewal");
    }
    d->ports.exec.poll(a->conn, until, d->epoch, w->acked, wait,
                       wait + REPORT_MARGIN_MS, on_report, a);
}

static void
send_report_if_due(struct cw_agent *a, cw_ms now)
{
    struct cw_worker *w = a->worker;

    if (a->acked_sent > w->acked) {
        a->acked_sent = w->acked; /* the worker restarted */
    }
    if (!a->closing && is_report_due(a, now)) {
        send_report(a, now);
    }
}

void
cw_agents_tick(struct cw_jobd *d, cw_ms now)
{
    if (d->role == CW_ROLE_SCHEDULER && now >= d->agents_scan_due) {
        cw_sched_expire_leases(d->sched, now);
        cw_agents_scan(d, now);
    }
}

void
cw_agents_scan(struct cw_jobd *d, cw_ms now)
{
    if (d->role != CW_ROLE_SCHEDULER) {
        return;
    }
    d->agents_scan_due = now + SCAN_INTERVAL_MS;
    for (struct cw_pool *p = d->sched->pool_list; p != NULL; p = p->next) {
        for (struct cw_worker *w = p->workers; w != NULL; w = w->next) {
            struct cw_agent *a = w->state == CW_WORKER_GONE && w->tasks == NULL
                                     ? w->agent
                                     : get_agent(d, w);

            if (a == NULL) {
                continue;
            }
            send_report_if_due(a, now);
            send_due_orders(a, now);
        }
    }
}

/* ---- close ---- */

static void
free_agent(struct cw_agent *a)
{
    a->closing = true;
    a->d->ports.exec.close(a->conn);
    while (a->orders != NULL) {
        struct order *o = a->orders;

        a->orders = o->next;
        free(o);
    }
    a->worker->agent = NULL;
    free(a);
}

void
cw_agent_close(void *ctx, struct cw_worker *w)
{
    struct cw_jobd *d = ctx;
    struct cw_agent *a = w->agent;

    if (a == NULL) {
        return;
    }
    if (a->prev != NULL) {
        a->prev->next = a->next;
    }
    else {
        d->agents = a->next;
    }
    if (a->next != NULL) {
        a->next->prev = a->prev;
    }
    free_agent(a);
}

void
cw_agents_close(struct cw_jobd *d)
{
    while (d->agents != NULL) {
        struct cw_agent *a = d->agents;

        d->agents = a->next;
        free_agent(a);
    }
}
