/* Checks that a worker answers before a start is sent to it. A start that gets
 * no answer may hold its run for as long as its lease; one that may reach
 * another incarnation holds it for max_hold_ms from the time at which it is
 * carried out, which is seconds later. */
#include "agents_int.h"

/* No start is sent to a worker that answered nothing for this long. Calls for
 * reports to a busy worker end within a second. */
#define HEARD_MAX_MS 1200
/* As much as a report may take: a worker that can hold a lease gets starts. */
#define CHECK_TIMEOUT_MS 600
/* A start that is sent again waits for a check that succeeds: a refused one is
 * not repeated at once. */
#define CHECK_INTERVAL_MS 150

static void
check_failed(struct cw_agent *a, enum cw_status s, cw_ms now)
{
    struct cw_worker *w = a->worker;

    cw_log(CW_INFO, "check_unanswered",
           "worker=%s status=%s heard_ms=%lld tasks=%u", w->id.text,
           cw_status_name(s),
           (long long)(a->heard_at == 0 ? -1 : now - a->heard_at),
           w->task_count);
    w->unanswered = true;
    w->retry_at = now + UNANSWERED_PAUSE_MS;
    if (now - w->pool->doubted_at > HEARD_MAX_MS) {
        w->pool->doubted_at = now;
    }
    cw_agent_drop_unsent_starts(a, now);
}

static void
check_answered(struct cw_agent *a, int64_t born, cw_ms now)
{
    struct cw_jobd *d = a->d;
    struct cw_worker *w = a->worker;

    if (born != w->born_wall) {
        /* A report shows the new incarnation. */
        w->unanswered = true;
        cw_agent_drop_unsent_starts(a, now);
        return;
    }
    a->heard_at = now;
    if (!w->unchecked && !d->ports.exec.is_checked(a->conn, born)) {
        /* Its tasks are started again without a check. */
        w->unchecked = true;
        cw_agent_drop_unsent_starts(a, now);
        cw_agent_stop_unanswered_starts(a, now);
    }
}

static void
on_check(void *arg, enum cw_status s, int64_t born)
{
    struct cw_agent *a = arg;
    struct cw_jobd *d = a->d;
    cw_ms now = cw_jobd_now(d);

    a->checking = false;
    a->in_flight--;
    if (a->closing || a->moving) {
        /* A caller goes through the worker's tasks. The starts that wait are
         * checked at the new address. */
        return;
    }
    if (s == CW_ERR_FENCED) {
        cw_member_step_down(d, "worker_fenced");
        return;
    }
    cw_jobd_count(d, "cuminwalk_checks_total", cw_status_name(s));
    if (s == CW_OK) {
        check_answered(a, born, now);
    }
    else {
        if (s == CW_ERR_NOT_FOUND) {
            cw_agent_worker_replaced(a, a->check_sent, now);
        }
        check_failed(a, s, now);
    }
    cw_agent_commit_changes(d);
    cw_agent_send_orders(a, now);
    cw_agent_report_if_due(a, now);
}

static void
send_check(struct cw_agent *a, cw_ms now)
{
    struct cw_jobd *d = a->d;

    if (a->checking ||
        (a->check_sent != 0 && now - a->check_sent < CHECK_INTERVAL_MS)) {
        return;
    }
    a->checking = true;
    a->check_sent = now;
    a->in_flight++;
    d->ports.exec.check(a->conn, d->epoch, CHECK_TIMEOUT_MS, on_check, a);
}

bool
cw_agent_may_send_start(struct cw_agent *a, const struct cw_task *t, cw_ms now)
{
    const struct cw_exec_port *exec = &a->d->ports.exec;
    bool heard = a->heard_at != 0 && now - a->heard_at <= HEARD_MAX_MS;

    if (exec->check == NULL) {
        return true;
    }
    /* An answer frees a checked connection: no second one is opened. */
    if (t->checked &&
        (t->born_wall != a->worker->born_wall || a->starts_open > 0)) {
        return false;
    }
    if (heard && (!t->checked ||
                  (!a->checking && exec->is_checked(a->conn, t->born_wall)))) {
        return true;
    }
    send_check(a, now);
    return false;
}
