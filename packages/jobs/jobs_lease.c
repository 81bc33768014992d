/* The incarnations of a worker, and the leases of its runs. */
#include "cw_jobs_int.h"
#include "cw_tenant.h"

/* A worker's clock may run slower than the scheduler's by up to this share. */
#define CLOCK_DRIFT_MAX 0.02
/* Delay of the worker's own timer, added to the time after which a lease has
 * certainly lapsed. */
#define LAPSE_MARGIN_MS 250
/* A start reaches a worker by the end of its call, and is carried out by then
 * when the call is answered. */
#define START_ARRIVAL_MS 500
/* A worker's answer may be under way this long. */
#define ANSWER_DELAY_MS 2000
/* Reports with an earlier start than the known one are believed when they have
 * come for this long. */
#define EARLIER_REPORTS_MS 2000

/* Longest time that a lease of this length lasts. */
static cw_ms
longest(cw_ms lease)
{
    return (cw_ms)((double)lease / (1.0 - CLOCK_DRIFT_MAX)) + LAPSE_MARGIN_MS;
}

/* The same of a lease whose end was computed for another incarnation's clock:
 * the worker shortens it to its maximum. */
static cw_ms
longest_unproved(const struct cw_sched *s)
{
    return longest(s->limits.max_hold_ms > s->limits.lease_ms
                       ? s->limits.max_hold_ms
                       : s->limits.lease_ms);
}

cw_ms
cw_lease_longest(const struct cw_sched *s)
{
    return longest_unproved(s);
}

static void
lapses_not_before(struct cw_worker *w, cw_ms at)
{
    if (w->lapse_at < at) {
        w->lapse_at = at;
    }
}

static void
unproved_lapse_not_before(struct cw_worker *w, cw_ms at)
{
    if (w->unproved_lapse_at < at) {
        w->unproved_lapse_at = at;
    }
}

/* ---- incarnations ---- */

/* The former incarnation's answers to stops do not bind the new one. */
static void
repeat_stops(struct cw_sched *s, struct cw_worker *w)
{
    for (struct cw_task *t = w->tasks; t != NULL; t = t->next) {
        if (t->state == CW_RUN_STOPPING) {
            struct cw_run_row row = cw_task_row(t);

            t->stop_answered_at = 0;
            s->ops->stop(s->ctx, w, &row);
        }
    }
}

bool
cw_task_has_usual_lease(const struct cw_task *t)
{
    return t->proved || t->checked;
}

/* False when the start of this run was certainly carried out, or reaches no
 * incarnation but one. Of a former scheduler's only the record tells: an entry
 * of the known incarnation does not end an order that is under way. */
static bool
is_unchecked(const struct cw_task *t)
{
    return t->order_batch == 0 ? !t->listed : !cw_task_has_usual_lease(t);
}

/* True when a start that was sent may yet reach another incarnation. */
static bool
has_unchecked_starts(const struct cw_sched *s, const struct cw_worker *w,
                     cw_ms now)
{
    const struct cw_task *t = w->tasks;

    if (!s->checks_starts) {
        return true;
    }
    while (t != NULL && !is_unchecked(t)) {
        t = t->next;
    }
    return t != NULL || now < w->late_start_until;
}

void
cw_worker_new_incarnation(struct cw_sched *s, struct cw_worker *w,
                          int64_t born, int64_t clock_ms, cw_ms now)
{
    cw_ms arrives = now + START_ARRIVAL_MS;

    if (w->born_wall != 0) {
        cw_log(CW_INFO, "worker_restarted",
               "worker=%s born=%lld was=%lld tasks=%u", w->id.text,
               (long long)born, (long long)w->born_wall, w->task_count);
        w->ack_pending = 0;
        w->acked = 0;
        w->clock_at = 0;
        w->lease_until_ms = 0;
        w->contacted = false;
        w->unchecked = false;
        cw_worker_health_restarted(&w->health, now);
        if (w->tasks != NULL) {
            cw_worker_begin_ramp(s, w, now);
        }
        repeat_stops(s, w);
        cw_stray_restarted(s, w, now);
        if (has_unchecked_starts(s, w, now)) {
            /* Starts under way may yet extend the lease by the former
             * clock. */
            arrives =
                arrives > w->late_start_until ? arrives : w->late_start_until;
            lapses_not_before(w, arrives + longest_unproved(s));
        }
    }
    else if (w->tasks != NULL && clock_ms < longest_unproved(s) &&
             has_unchecked_starts(s, w, now)) {
        /* So may the previous scheduler's have done. The worker's clock begins
         * with the incarnation, and shows at most its age. */
        lapses_not_before(w, now + longest_unproved(s));
    }
    w->born_wall = born;
    w->born_at = now;
    w->earlier_born = 0;
}

bool
cw_worker_clock_went_back(struct cw_worker *w, const struct cw_run_report *r,
                          cw_ms now)
{
    /* The earlier incarnation may have answered an older call. */
    if (r->sent_at <= w->seen_at || r->sent_at <= w->born_at) {
        return false;
    }
    if (w->earlier_born != r->born_wall) {
        w->earlier_born = r->born_wall;
        w->earlier_since = now;
    }
    if (now - w->earlier_since < EARLIER_REPORTS_MS) {
        return false;
    }
    cw_log(CW_WARN, "worker_clock_back", "worker=%s born=%lld was=%lld",
           w->id.text, (long long)r->born_wall, (long long)w->born_wall);
    return true;
}

bool
cw_worker_lease_is_usual(const struct cw_sched *s, const struct cw_worker *w,
                         cw_ms now)
{
    return w->lapse_at <= now + longest(s->limits.lease_ms);
}

bool
cw_worker_may_check(const struct cw_sched *s, const struct cw_worker *w,
                    cw_ms now)
{
    /* The start is recorded as proved: a successor counts this from its
     * takeover on, which is later than now. The check fences the former
     * scheduler's orders off. */
    cw_ms counted = s->limits.renewals_ms + longest(s->limits.lease_ms);

    return !w->unchecked && w->born_wall != 0 && w->late_start_until <= now &&
           w->lapse_at <= now + counted;
}

void
cw_worker_seen_alive(struct cw_worker *w)
{
    for (struct cw_task *t = w->tasks; t != NULL; t = t->next) {
        t->proved |= t->order_batch == 0 && t->born_wall != 0 &&
                     t->born_wall == w->born_wall;
    }
}

/* ---- leases ---- */

int64_t
cw_worker_lease_until(struct cw_sched *s, struct cw_worker *w, bool renew,
                      cw_ms now)
{
    cw_ms age = now - w->clock_at;
    cw_ms lapse;

    if (w->clock_at == 0) {
        return 0;
    }
    if (!renew && w->lease_until_ms > 0) {
        return w->lease_until_ms;
    }
    lapse =
        now + LAPSE_MARGIN_MS +
        (cw_ms)(((double)s->limits.lease_ms + CLOCK_DRIFT_MAX * (double)age) /
                (1.0 - CLOCK_DRIFT_MAX));
    lapses_not_before(w, lapse);
    w->lease_until_ms = w->clock_ms + age + s->limits.lease_ms;
    return w->lease_until_ms;
}

void
cw_sched_loaded(struct cw_sched *s, cw_ms now)
{
    cw_ms ends = now + s->limits.renewals_ms;

    s->former_orders_until = ends;
    for (struct cw_pool *p = s->pool_list; p != NULL; p = p->next) {
        for (struct cw_worker *w = p->workers; w != NULL; w = w->next) {
            w->lapse_at = ends + longest(s->limits.lease_ms);
            /* The previous scheduler's last starts may have reached an
             * incarnation that it did not know of. */
            w->unproved_lapse_at = ends + longest_unproved(s);
        }
        cw_pool_plan_soon(s, p);
    }
    cw_log_loaded_runs(s, now);
}

void
cw_worker_lease_planned(struct cw_sched *s, struct cw_worker *w, cw_ms now)
{
    lapses_not_before(w, now + longest(s->limits.lease_ms));
}

/* True when another incarnation of the worker may hold a run that counts as
 * proved: a copy of its start may be carried out there yet, or a former
 * scheduler's, of which no report has shown where it went. */
static bool
may_hold_proved_runs(const struct cw_sched *s, const struct cw_worker *w,
                     cw_ms now)
{
    const struct cw_task *t = w->tasks;

    while (t != NULL && (t->order_batch != 0 || t->listed)) {
        t = t->next;
    }
    return !s->checks_starts || now < w->late_start_until || t != NULL;
}

void
cw_worker_lease_unproved(struct cw_sched *s, struct cw_worker *w,
                         cw_ms arrives, cw_ms now)
{
    cw_ms last = arrives > w->late_start_until ? arrives : w->late_start_until;

    unproved_lapse_not_before(w, arrives + longest_unproved(s));
    if (may_hold_proved_runs(s, w, now)) {
        lapses_not_before(w, last + longest_unproved(s));
    }
}

void
cw_worker_start_sent(struct cw_sched *s, struct cw_worker *w, cw_ms now)
{
    unproved_lapse_not_before(w, now + START_ARRIVAL_MS + longest_unproved(s));
}

void
cw_worker_start_unanswered(struct cw_sched *s, struct cw_worker *w,
                           cw_ms sent_at)
{
    cw_ms until = sent_at + s->limits.order_late_ms;

    if (w->late_start_until < until) {
        w->late_start_until = until;
    }
    unproved_lapse_not_before(w, until + longest_unproved(s));
    if (w->born_at >= sent_at) {
        /* It was meant for the clock of the incarnation before. */
        lapses_not_before(w, until + longest_unproved(s));
    }
}

void
cw_sched_start_clock(struct cw_sched *s, const struct cw_worker *w,
                     const struct cw_run_row *r, int64_t clock_ms, cw_ms now)
{
    struct cw_task *t = cw_sched_find_run(s, w, r);
    cw_ms age = now - w->clock_at + ANSWER_DELAY_MS;

    if (age < now - w->clock_asked_at) {
        age = now - w->clock_asked_at; /* the report was read late */
    }
    /* A process that already ran when the last report was sent is the one that
     * sent it. */
    if (t != NULL && w->clock_at != 0 &&
        (double)clock_ms > (double)age * (1.0 + CLOCK_DRIFT_MAX)) {
        t->proved = true;
    }
}

cw_ms
cw_run_lapse_at(const struct cw_sched *s, const struct cw_task *t)
{
    const struct cw_worker *w = t->worker;
    bool unsent = t->state == CW_RUN_STARTING && t->order_batch > s->committed;

    return cw_task_has_usual_lease(t) || unsent ||
                   w->lapse_at > w->unproved_lapse_at
               ? w->lapse_at
               : w->unproved_lapse_at;
}

static uint32_t
drop_lapsed(struct cw_sched *s, struct cw_worker *w, cw_ms now)
{
    struct cw_task *t = w->tasks;
    uint32_t n = 0;

    while (t != NULL) {
        struct cw_task *next = t->next;

        if (now >= cw_run_lapse_at(s, t)) {
            cw_task_lost(s, t, CW_LOSS_LAPSED, now);
            n++;
        }
        t = next;
    }
    return n;
}

void
cw_sched_expire_leases(struct cw_sched *s, cw_ms now)
{
    for (struct cw_pool *p = s->pool_list; p != NULL; p = p->next) {
        for (struct cw_worker *w = p->workers; w != NULL; w = w->next) {
            uint32_t n = w->lapse_at != 0 && now >= w->lapse_at
                             ? drop_lapsed(s, w, now)
                             : 0;

            if (n > 0) {
                cw_log(CW_WARN, "leases_lapsed",
                       "worker=%s tasks=%u silent_ms=%lld", w->id.text, n,
                       (long long)(now - w->seen_at));
            }
        }
    }
    cw_stray_expire(s, now);
}
