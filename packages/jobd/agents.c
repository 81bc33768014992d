/* Agents of the workers: renew the lease and fetch reports of what runs
 * there. */
#include "agents_int.h"

#include <stdlib.h>

/* Long-poll time of a report, which a worker answers early when a run ends. */
#define REPORT_WAIT_MS 1000
#define REPORT_MARGIN_MS 600
#define REPORT_RETRY_MS 250
/* The last renewal before renewals end is sent this long before it. */
#define LAST_RENEWAL_MS 100
/* Long-poll time of a report without a renewal, so that renewals resume soon
 * after the membership. */
#define UNRENEWED_WAIT_MS 250
/* A worker counts as one that closes each connection after so many reports in
 * a row on new ones, each asked for soon after the one before: an idle
 * connection is closed on this side too, after some seconds. */
#define UNPROVED_REPORTS_MAX 2
#define REUSE_MS 1000
/* After a run has ended, the next report carries its acknowledgement and so
 * waits for the commit, but no longer than this. */
#define ACK_WAIT_MS 200
/* Time between passes over all workers for what is due by time alone: retries,
 * and workers without contact. Other reports and orders are sent at the event
 * that makes them due. */
#define SCAN_INTERVAL_MS 50

/* The worker has another address: its later calls go there. Those open end
 * without an answer and are repeated like any other. */
static void
reconnect(struct cw_agent *a)
{
    struct cw_jobd *d = a->d;
    struct cw_worker *w = a->worker;
    struct cw_worker_conn *former = a->conn;
    struct cw_worker_conn *conn =
        d->ports.exec.open(d->ports.ctx, &w->id, &w->address);

    if (conn == NULL) {
        return;
    }
    cw_log(CW_INFO, "worker_moved", "worker=%s address=%s was=%s", w->id.text,
           w->address.text, a->address.text);
    a->conn = conn;
    a->address = w->address;
    a->moving = true;
    d->ports.exec.close(former);
    a->moving = false;
}

struct cw_agent *
cw_agent_get(struct cw_jobd *d, struct cw_worker *w)
{
    struct cw_agent *a = w->agent;

    if (w->address.len == 0) {
        return a;
    }
    if (a != NULL) {
        if (!cw_name_eq(&a->address, &w->address)) {
            reconnect(a);
        }
        return a;
    }
    a = calloc(1, sizeof(*a));
    CW_INVARIANT(a != NULL);
    a->d = d;
    a->worker = w;
    a->address = w->address;
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

void
cw_agent_commit_changes(struct cw_jobd *d)
{
    if (d->sched != NULL && (d->sched->plan_due || d->sched->dirty != NULL)) {
        cw_commit_schedule(d);
    }
}

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
        struct cw_answered_call answered = d->sched->answered;

        d->sched->answered =
            (struct cw_answered_call){.sent_at = a->report_sent};
        cw_sched_worker_lost(d->sched, w, CW_LOSS_OTHER, now);
        d->sched->answered = answered;
    }
    w->unanswered = s != CW_ERR_NOT_FOUND;
    w->retry_at = now + UNANSWERED_PAUSE_MS;
    cw_agent_drop_unsent_starts(a, now);
}

static void
count_unproved(struct cw_agent *a, bool proved, cw_ms now)
{
    bool soon = a->report_sent - a->answered_at < REUSE_MS;

    a->unproved_reports = soon && !proved ? a->unproved_reports + 1 : 0;
    a->answered_at = now;
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
        a->heard_at = now;
        a->next_report_at = now + cw_loop_lag_report_delay(&d->lag);
        count_unproved(a, r->proved, now);
        if (r->proved || a->acked_unproved) {
            a->acked_sent = a->report_acked;
        }
        else if (a->report_acked > a->acked_sent) {
            a->next_report_at = now + REPORT_RETRY_MS;
        }
        r->sent_at = a->report_sent;
        if (r->partial) {
            cw_log(CW_WARN, "report_unreadable",
                   "worker=%s running=%zu ended=%zu", a->worker->id.text,
                   r->running_count, r->ended_count);
            a->next_report_at = now + REPORT_RETRY_MS;
        }
        a->reported_at = a->report_sent;
        if (!cw_sched_report(d->sched, a->worker, r, now)) {
            a->reported_at = 0;
            a->next_report_at = now + REPORT_RETRY_MS;
        }
        a->report_due = a->worker->ack_pending > a->worker->acked
                            ? now + ACK_WAIT_MS
                            : now;
    }
    cw_agent_commit_changes(d);
    cw_agent_report_if_due(a, now);
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
    return !w->contacted || w->unanswered || w->tasks != NULL ||
           (w->state == CW_WORKER_READY &&
            a->report_sent < w->pool->doubted_at) ||
           w->has_strays || w->acked > a->acked_sent;
}

/* The long-poll time, with which the last renewal goes out shortly before
 * renewals end. */
static cw_ms
report_wait(cw_ms renewals_left)
{
    cw_ms wait = renewals_left - LAST_RENEWAL_MS;

    if (wait <= 0) {
        return UNRENEWED_WAIT_MS;
    }
    return wait < REPORT_WAIT_MS ? wait : REPORT_WAIT_MS;
}

/* For a worker that closes each connection no call is proved. A lease may then
 * reach another incarnation, and is counted for as long as that one may hold
 * it. A call without an answer may have renewed it too; until one is answered,
 * those that follow renew nothing, so that the runs of a worker that is lost
 * lapse. An acknowledgement is safe where another incarnation has no ends: no
 * start was sent since the last report was asked for. */
static void
allow_unproved(struct cw_agent *a, struct cw_report_order *o, cw_ms arrives,
               cw_ms now)
{
    if (a->unproved_reports < UNPROVED_REPORTS_MAX) {
        return;
    }
    o->acked_unproved = a->starts_open == 0 && a->start_at < a->reported_at &&
                        a->worker->late_start_until <= cw_jobd_now(a->d);
    o->until_unproved = o->until_ms > 0 && a->failures == 0;
    if (o->until_unproved) {
        cw_worker_lease_unproved(a->d->sched, a->worker, arrives, now);
    }
}

static void
send_report(struct cw_agent *a, cw_ms now)
{
    struct cw_jobd *d = a->d;
    struct cw_worker *w = a->worker;
    cw_ms renewals = cw_member_renewals_left(d, cw_jobd_now(d));
    bool busy = w->tasks != NULL || w->has_strays;
    struct cw_report_order o = {
        .epoch = d->epoch,
        .born_wall = w->born_wall,
        .acked = w->acked,
        .wait_ms = w->contacted && busy ? report_wait(renewals) : 0};
    cw_ms timeout = o.wait_ms + REPORT_MARGIN_MS;

    if (w->tasks != NULL && renewals > 0) {
        o.until_ms = cw_worker_lease_until(d->sched, w, a->failures == 0, now);
    }
    else if (w->tasks != NULL) {
        cw_jobd_count(d, "cuminwalk_withheld_total", "renewal");
    }
    allow_unproved(a, &o, now + timeout, now);
    a->reporting = true;
    a->report_sent = now;
    a->report_acked = w->acked;
    a->acked_unproved = o.acked_unproved;
    d->ports.exec.poll(a->conn, &o, timeout, on_report, a);
}

void
cw_agent_report_if_due(struct cw_agent *a, cw_ms now)
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
        cw_sched_log_awaited(d->sched, now);
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
                                     : cw_agent_get(d, w);

            if (a == NULL) {
                continue;
            }
            cw_agent_report_if_due(a, now);
            cw_agent_send_orders(a, now);
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
