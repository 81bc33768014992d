/* Start, stop and pace orders to workers. */
#include "agents_int.h"

#include <stdlib.h>

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
/* A stop that no task waits for is sent again after this time, and this often:
 * for longer than a lease, after which its run has ended. Until some time
 * after the next attempt the run may take room. */
#define STRAY_STOP_RETRY_MS 800
#define STRAY_STOP_ATTEMPTS_MAX 12
#define STRAY_STOP_ROOM_MS 2000
/* A worker counts as one that closes each connection, without saying so, after
 * so many checked starts in a row whose connections ended before their time:
 * each follows a check on the same connection that was answered. */
#define CHECKED_CLOSED_MAX 3
/* Not a percentage: differs from any pace that the scheduler sets. */
#define PACE_UNKNOWN 255

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

static struct cw_task *
order_task(const struct order *o)
{
    return cw_sched_find_run(o->agent->d->sched, o->agent->worker, &o->row);
}

/* Queues an order that got no answer again. */
static void
requeue_order(struct order *o, cw_ms pause, cw_ms now)
{
    o->tries++;
    o->due = now + pause;
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

/* unsent: the call never reached the worker. */
static void
apply_start_answer(struct order *o, enum cw_start_answer answer, bool unsent,
                   cw_ms now)
{
    struct cw_sched *s = o->agent->d->sched;
    struct cw_answered_call answered = s->answered;

    s->answered =
        (struct cw_answered_call){.sent_at = o->sent_at, .unsent = unsent};
    cw_sched_start_answered(s, o->agent->worker, &o->row, answer,
                            o->unanswered, now);
    s->answered = answered;
}

static void
note_closed_start(struct cw_agent *a, cw_ms now)
{
    if (++a->checked_closed >= CHECKED_CLOSED_MAX) {
        a->checked_closed = 0;
        a->worker->unchecked = true;
        cw_agent_stop_unanswered_starts(a, now);
    }
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
    bool closed = s == CW_ERR_UNKNOWN && o->checked && !a->moving &&
                  now - o->sent_at < ORDER_TIMEOUT_MS;

    a->starts_open--;
    if (end_order_call(o, s)) {
        return;
    }
    if (s == CW_OK) {
        a->heard_at = now;
        a->checked_closed = 0;
        if (answer != CW_START_OK) {
            cw_log(CW_INFO, "start_refused",
                   "job=%016llx task=%u.%u.%u run=%u worker=%s answer=%d",
                   (unsigned long long)o->row.job, o->row.occurrence,
                   o->row.step, o->row.index, o->row.run, w->id.text, answer);
        }
        apply_start_answer(o, answer, false, now);
        cw_sched_start_clock(d->sched, w, &o->row, clock_ms, now);
        free(o);
    }
    else {
        o->unanswered |= s == CW_ERR_UNKNOWN;
        if (s == CW_ERR_UNKNOWN && !o->bound && !o->checked) {
            cw_worker_start_unanswered(d->sched, w, o->sent_at);
        }
        w->unanswered |= s == CW_ERR_UNKNOWN;
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
            apply_start_answer(o, CW_START_REFUSED, true, now);
            free(o);
        }
        else {
            requeue_order(o, ORDER_RETRY_MS, now);
        }
        if (closed) {
            note_closed_start(a, now);
        }
    }
    cw_agent_commit_changes(d);
    cw_agent_send_orders(a, now);
    cw_agent_report_if_due(a, now);
}

/* Handles a stop without an answer. It is sent again, also for a run that no
 * task counts any more: that takes room, so that the worker gets no starts
 * meanwhile. */
static void
stop_failed(struct order *o, const struct cw_task *t, cw_ms now)
{
    struct cw_worker *w = o->agent->worker;

    if (t != NULL && t->state == CW_RUN_STOPPING) {
        requeue_order(o, ORDER_RETRY_MS, now);
        return;
    }
    if (t != NULL || o->tries + 1 >= STRAY_STOP_ATTEMPTS_MAX) {
        free(o);
        return;
    }
    if (w->retry_at < now + STRAY_STOP_ROOM_MS) {
        w->retry_at = now + STRAY_STOP_ROOM_MS;
    }
    requeue_order(o, STRAY_STOP_RETRY_MS, now);
}

void
cw_agent_worker_replaced(struct cw_agent *a, cw_ms sent_at, cw_ms now)
{
    struct cw_sched *s = a->d->sched;
    struct cw_answered_call answered = s->answered;

    s->answered = (struct cw_answered_call){.sent_at = sent_at};
    cw_sched_worker_lost(s, a->worker, CW_LOSS_OTHER, now);
    s->answered = answered;
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
        cw_agent_worker_replaced(a, o->sent_at, now);
        free(o);
    }
    else if (s == CW_OK && o->kind == ORDER_STOP) {
        cw_sched_stop_answered(d->sched, a->worker, &o->row, now);
        free(o);
    }
    else if (s != CW_OK && o->kind == ORDER_STOP) {
        stop_failed(o, t, now);
    }
    else {
        if (s != CW_OK && o->kind == ORDER_PACE && t != NULL) {
            /* The next pace decision sends it again. */
            t->pace_percent = PACE_UNKNOWN;
        }
        free(o);
    }
    cw_agent_commit_changes(d);
    cw_agent_send_orders(a, now);
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
    o->checked = t->checked;
    o->bound = a->reported_at != 0 && d->ports.exec.is_bound != NULL &&
               d->ports.exec.is_bound(a->conn, a->reported_at);
    if (!o->checked) {
        cw_worker_start_sent(d->sched, a->worker, now);
    }
    a->starts_open++;
    a->start_at = now;
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
    o->sent_at = now;
    switch (o->kind) {
    case ORDER_START:
        t->start_sent = true;
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

/* False when the order waits for the answer to a check. */
static bool
may_send(struct cw_agent *a, const struct order *o, cw_ms now)
{
    const struct cw_task *t = o->kind == ORDER_START ? order_task(o) : NULL;

    /* A repeat may have been carried out: it is sent as it was planned. */
    return t == NULL || t->state != CW_RUN_STARTING ||
           (!t->checked && o->unanswered) ||
           cw_agent_may_send_start(a, t, now);
}

static void
count_withheld(const struct cw_agent *a)
{
    static const char *const names[] = {"start", "stop", "pace"};

    for (struct order *o = a->orders; o != NULL; o = o->next) {
        if (!o->withheld) {
            o->withheld = true;
            cw_jobd_count(a->d, "cuminwalk_withheld_total", names[o->kind]);
        }
    }
}

/* True when a start waits that may reach only an incarnation which is over. */
static bool
has_outdated_start(const struct cw_agent *a)
{
    for (const struct order *o = a->orders; o != NULL; o = o->next) {
        if (o->born_wall != 0 && !o->unanswered &&
            o->born_wall != a->worker->born_wall) {
            return true;
        }
    }
    return false;
}

void
cw_agent_send_orders(struct cw_agent *a, cw_ms now)
{
    struct cw_jobd *d = a->d;
    struct order **link;

    if (has_outdated_start(a)) {
        cw_agent_drop_unsent_starts(a, now);
    }
    link = &a->orders;
    while (*link != NULL && a->in_flight < ORDERS_IN_FLIGHT_MAX) {
        struct order *o = *link;

        if (!is_order_due(o, now)) {
            link = &o->next;
            continue;
        }
        if (!cw_member_lease_valid(d, cw_jobd_now(d))) {
            count_withheld(a);
            return;
        }
        if (!may_send(a, o, now)) {
            link = &o->next;
            continue;
        }
        *link = o->next;
        send_order(a, o, now);
    }
}

/* The order of this kind for a run that waits to be sent, or NULL. */
static struct order *
find_order(const struct cw_agent *a, enum order_kind kind,
           const struct cw_run_row *r)
{
    struct order *o = a->orders;

    while (o != NULL && (o->kind != kind || o->row.run != r->run ||
                         !cw_run_same_task(&o->row, r))) {
        o = o->next;
    }
    return o;
}

static bool
was_never_sent(const struct order *o)
{
    return !o->unanswered;
}

static bool
awaits_repeat_on_check(const struct order *o)
{
    const struct cw_task *t = order_task(o);

    return o->unanswered && t != NULL && t->checked;
}

/* Removes the first start of this kind, or returns NULL. */
static struct order *
take_start(struct cw_agent *a, bool (*is)(const struct order *o))
{
    struct order **link = &a->orders;
    struct order *o;

    while (*link != NULL && ((*link)->kind != ORDER_START || !is(*link))) {
        link = &(*link)->next;
    }
    o = *link;
    if (o != NULL) {
        *link = o->next;
    }
    return o;
}

void
cw_agent_drop_unsent_starts(struct cw_agent *a, cw_ms now)
{
    struct cw_sched *s = a->d->sched;
    struct order *dropped = NULL;
    struct order *o;

    while ((o = take_start(a, was_never_sent)) != NULL) {
        cw_sched_start_unsent(s, a->worker, &o->row, now);
        o->next = dropped;
        dropped = o;
    }
    /* Members on this worker need no stop any more. */
    while ((o = dropped) != NULL) {
        dropped = o->next;
        cw_sched_stop_gang(s, &o->row, now);
        free(o);
    }
}

void
cw_agent_stop_unanswered_starts(struct cw_agent *a, cw_ms now)
{
    struct order *o;

    while ((o = take_start(a, awaits_repeat_on_check)) != NULL) {
        /* The first send may still take effect. */
        apply_start_answer(o, CW_START_REFUSED, false, now);
        free(o);
    }
}

static void
queue_start(void *ctx, struct cw_task *t)
{
    struct cw_jobd *d = ctx;
    struct cw_run_row row = cw_task_row(t);
    struct cw_agent *a = cw_agent_get(d, t->worker);
    const struct cw_run_previous *p = &t->previous;
    cw_ms now = cw_jobd_now(d);

    if (a == NULL) {
        return;
    }
    cw_log(
        row.run > 1 ? CW_INFO : CW_DEBUG, "start",
        "job=%016llx task=%u.%u.%u run=%u worker=%s born=%lld epoch=%llu "
        "member_left_ms=%lld path=%s after_run=%u after=%s "
        "after_age_ms=%lld after_born=%lld stop=%s beside_run=%u "
        "beside_worker=%s silent_ms=%lld",
        (unsigned long long)row.job, row.occurrence, row.step, row.index,
        row.run, t->worker->id.text, (long long)t->worker->born_wall,
        (unsigned long long)d->epoch, (long long)(d->member_valid_until - now),
        cw_start_path(t), p->run, cw_run_proof_name(p->proof),
        (long long)(p->proof_at == 0 ? -1 : now - p->proof_at),
        (long long)p->born_wall, cw_stop_cause_name(p->stop_cause),
        t->former == NULL ? 0 : t->former->run,
        t->former == NULL ? "" : t->former->worker->id.text,
        (long long)(t->worker->seen_at == 0 ? -1 : now - t->worker->seen_at));
    new_order(a, ORDER_START, &row)->born_wall = t->checked ? t->born_wall : 0;
    cw_agent_send_orders(a, now);
}

static void
queue_stop(void *ctx, struct cw_worker *w, const struct cw_run_row *r)
{
    struct cw_jobd *d = ctx;
    struct cw_agent *a = cw_agent_get(d, w);

    if (a == NULL) {
        return;
    }
    if (find_order(a, ORDER_STOP, r) != NULL) {
        return;
    }
    cw_log(CW_INFO, "stop", "job=%016llx task=%u.%u.%u run=%u worker=%s",
           (unsigned long long)r->job, r->occurrence, r->step, r->index,
           r->run, w->id.text);
    (void)new_order(a, ORDER_STOP, r);
    cw_agent_send_orders(a, cw_jobd_now(d));
}

static bool
drop_start(void *ctx, struct cw_worker *w, const struct cw_run_row *r)
{
    struct cw_agent *a = w->agent;
    struct order *o = a == NULL ? NULL : find_order(a, ORDER_START, r);
    const struct cw_task *t = o == NULL ? NULL : order_task(o);
    struct order **link;

    (void)ctx;
    /* One whose call is open is not in the queue. One that awaits no check
     * waits for no answer of its worker. */
    if (t == NULL || !t->checked || o->unanswered) {
        return false;
    }
    for (link = &a->orders; *link != o; link = &(*link)->next) {
    }
    *link = o->next;
    free(o);
    return true;
}

static void
queue_pace(void *ctx, struct cw_task *t, uint32_t percent)
{
    struct cw_jobd *d = ctx;
    struct cw_run_row row = cw_task_row(t);
    struct cw_agent *a = cw_agent_get(d, t->worker);
    struct order *o;

    if (a == NULL) {
        return;
    }
    cw_log(CW_INFO, "pace",
           "job=%016llx task=%u.%u.%u run=%u worker=%s percent=%u",
           (unsigned long long)row.job, row.occurrence, row.step, row.index,
           row.run, t->worker->id.text, percent);
    o = find_order(a, ORDER_PACE, &row);
    o = o != NULL ? o : new_order(a, ORDER_PACE, &row);
    o->percent = percent;
    cw_agent_send_orders(a, cw_jobd_now(d));
}

static void
on_acked(void *ctx, struct cw_worker *w)
{
    struct cw_jobd *d = ctx;

    cw_log(CW_DEBUG, "ends_noted", "worker=%s born=%lld through=%llu",
           w->id.text, (long long)w->born_wall, (unsigned long long)w->acked);
    if (w->agent != NULL) {
        cw_agent_report_if_due(w->agent, cw_jobd_now(d));
    }
}

const struct cw_sched_ops cw_agent_ops = {queue_start, queue_stop, queue_pace,
                                          on_acked, drop_start};
