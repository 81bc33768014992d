/* Logs what a task waits for whose run may still be alive, and until when. */
#include "cw_jobs_int.h"

/* Orders and reports of a healthy worker are answered within this time: a call
 * for a report takes up to 1.6 s. */
#define AWAITED_AFTER_MS 2000
/* Time between two passes over all runs. */
#define AWAITED_SCAN_MS 1000
/* A run is logged again when what it waits for has changed, and after this
 * time when it has not. */
#define AWAITED_REPEAT_MS 10000
#define AWAITED_CHANGE_MS 2000
/* Lines of one pass. The loss of a data centre holds thousands of tasks
 * back. */
#define AWAITED_LINES_MAX 20

const char *
cw_run_awaited_name(enum cw_run_awaited a)
{
    static const char *const names[] = {
        [CW_AWAITS_END] = "end",
        [CW_AWAITS_COMMIT] = "commit",
        [CW_AWAITS_SEND] = "send",
        [CW_AWAITS_CHECK] = "check",
        [CW_AWAITS_START_ANSWER] = "start_answer",
        [CW_AWAITS_STOP_ANSWER] = "stop_answer",
        [CW_AWAITS_STOP_END] = "stop_end",
        [CW_AWAITS_FORMER_ORDERS] = "former_orders",
        [CW_AWAITS_REPORT] = "report",
        [CW_AWAITS_LEASE] = "lease",
    };

    return names[a];
}

/* The time from which on the worker owes an answer that would decide on the
 * run. */
static cw_ms
owed_since(const struct cw_task *t)
{
    return t->worker->seen_at > t->state_since ? t->worker->seen_at
                                               : t->state_since;
}

static bool
is_silent(const struct cw_task *t, cw_ms now)
{
    return t->worker->unanswered || now - owed_since(t) >= AWAITED_AFTER_MS;
}

static bool
is_unlisted(const struct cw_task *t)
{
    return t->order_batch == 0 && t->last_report == 0;
}

static enum cw_run_awaited
awaited_of_start(const struct cw_sched *s, const struct cw_task *t, cw_ms now)
{
    if (t->order_batch > s->committed) {
        return CW_AWAITS_COMMIT;
    }
    if (!t->start_sent) {
        return t->checked ? CW_AWAITS_CHECK : CW_AWAITS_SEND;
    }
    return is_silent(t, now) ? CW_AWAITS_LEASE : CW_AWAITS_START_ANSWER;
}

enum cw_run_awaited
cw_run_awaits(const struct cw_sched *s, const struct cw_task *t, cw_ms now)
{
    if (t->state == CW_RUN_STARTING && t->order_batch != 0) {
        return awaited_of_start(s, t, now);
    }
    if (is_silent(t, now)) {
        return CW_AWAITS_LEASE;
    }
    if (is_unlisted(t)) {
        return now < s->former_orders_until ? CW_AWAITS_FORMER_ORDERS
                                            : CW_AWAITS_REPORT;
    }
    if (t->state == CW_RUN_STOPPING) {
        return t->stop_answered_at == 0 ? CW_AWAITS_STOP_ANSWER
                                        : CW_AWAITS_STOP_END;
    }
    return CW_AWAITS_END;
}

/* Since when the run has held its task back; now when it does not. */
static cw_ms
held_since(const struct cw_sched *s, const struct cw_task *t, cw_ms now)
{
    const struct cw_task *task = t->former_of;

    if (cw_job_ended(t->job)) {
        return now; /* the task does not start again */
    }
    if (task != NULL) {
        /* While a later run counts, that one is looked at. */
        return task->state == CW_RUN_WAITING ? task->state_since : now;
    }
    if (t->state == CW_RUN_RUNNING && !is_unlisted(t)) {
        return owed_since(t);
    }
    return cw_run_awaits(s, t, now) == CW_AWAITS_END ? now : t->state_since;
}

static bool
is_line_due(const struct cw_task *t, enum cw_run_awaited a, cw_ms since,
            cw_ms now)
{
    cw_ms wait =
        t->awaited == (uint8_t)a ? AWAITED_REPEAT_MS : AWAITED_CHANGE_MS;

    return t->awaited_at < since || now - t->awaited_at >= wait;
}

static void
log_awaited(const struct cw_sched *s, const struct cw_task *t,
            enum cw_run_awaited a, cw_ms since, cw_ms now)
{
    static const char *const worker_states[] = {"ready", "draining", "gone"};
    const struct cw_worker *w = t->worker;
    cw_ms lapse_left = cw_run_lapse_at(s, t) - now;
    cw_ms left = a == CW_AWAITS_FORMER_ORDERS ? s->former_orders_until - now
                                              : lapse_left;

    cw_log(CW_INFO, "run_awaited",
           "job=%016llx task=%u.%u.%u run=%u worker=%s vm=%s worker_state=%s "
           "state=%s held_ms=%lld awaited=%s left_ms=%lld lapse_left_ms=%lld "
           "silent_ms=%lld lease=%s order=%s former=%d epoch=%llu",
           (unsigned long long)t->job->id, t->occurrence, t->step, t->index,
           t->run, w->id.text, w->vm.text, worker_states[w->state],
           cw_run_state_name((enum cw_run_state)t->state),
           (long long)(now - since), cw_run_awaited_name(a), (long long)left,
           (long long)lapse_left,
           (long long)(w->seen_at == 0 ? -1 : now - w->seen_at),
           cw_run_lease_name(t), t->order_batch == 0 ? "former" : "own",
           t->former_of != NULL, (unsigned long long)s->epoch);
}

struct pass {
    struct cw_sched *s;
    cw_ms now;
    uint32_t lines;
    uint32_t omitted;
    cw_ms omitted_since; /* the longest of these; 0: none */
};

static void
look_at_run(struct pass *p, struct cw_task *t)
{
    cw_ms since = held_since(p->s, t, p->now);
    enum cw_run_awaited a;

    if (p->now - since < AWAITED_AFTER_MS) {
        return;
    }
    a = cw_run_awaits(p->s, t, p->now);
    if (!is_line_due(t, a, since, p->now)) {
        return;
    }
    if (p->lines >= AWAITED_LINES_MAX) {
        p->omitted++;
        if (p->omitted_since == 0 || since < p->omitted_since) {
            p->omitted_since = since;
        }
        return;
    }
    p->lines++;
    t->awaited = (uint8_t)a;
    t->awaited_at = p->now;
    log_awaited(p->s, t, a, since, p->now);
}

void
cw_sched_log_awaited(struct cw_sched *s, cw_ms now)
{
    struct pass p = {.s = s, .now = now};

    if (now < s->awaited_scan_at) {
        return;
    }
    s->awaited_scan_at = now + AWAITED_SCAN_MS;
    for (struct cw_pool *o = s->pool_list; o != NULL; o = o->next) {
        for (struct cw_worker *w = o->workers; w != NULL; w = w->next) {
            for (struct cw_task *t = w->tasks; t != NULL; t = t->next) {
                look_at_run(&p, t);
            }
        }
    }
    if (p.omitted > 0) {
        cw_log(CW_INFO, "run_awaited_omitted",
               "runs=%u longest_held_ms=%lld logged=%u", p.omitted,
               (long long)(now - p.omitted_since), p.lines);
    }
}
