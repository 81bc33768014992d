/* Logs why runs no longer count as alive, and what proves it. */
#include "cw_jobs_int.h"

/* Workers that a takeover logs one by one; of more, only the sums. */
#define LOADED_WORKERS_LOGGED 20

const char *
cw_run_proof_name(enum cw_run_proof p)
{
    static const char *const names[CW_PROOF_COUNT] = {
        [CW_PROOF_NONE] = "none",
        [CW_PROOF_REPORT_END] = "report_end",
        [CW_PROOF_REPORT] = "report_unlisted",
        [CW_PROOF_STOP_ANSWER] = "stop_answer",
        [CW_PROOF_START_ANSWER] = "start_answer",
        [CW_PROOF_OTHER_WORKER] = "other_worker",
        [CW_PROOF_LATER_WORKER] = "later_worker",
        [CW_PROOF_LEASE] = "lease",
        [CW_PROOF_UNSENT] = "unsent",
        [CW_PROOF_DONE] = "earlier_run_done",
        [CW_PROOF_RECORD] = "record",
    };

    return names[p];
}

const char *
cw_stop_cause_name(enum cw_stop_cause c)
{
    static const char *const names[] = {
        [CW_STOP_NONE] = "none",           [CW_STOP_REFUSED] = "refused",
        [CW_STOP_GANG] = "gang",           [CW_STOP_REPLACED] = "replaced",
        [CW_STOP_PREEMPTED] = "preempted", [CW_STOP_MOVED] = "moved",
        [CW_STOP_DRAINING] = "draining",
    };

    return names[c];
}

const char *
cw_start_path(const struct cw_task *t)
{
    if (t->former != NULL) {
        return "copy";
    }
    return t->previous.run == 0 ? "new" : "repeat";
}

static bool
is_unsent(const struct cw_sched *s, const struct cw_task *t)
{
    return (t->state == CW_RUN_STARTING && t->order_batch > s->committed) ||
           s->answered.unsent;
}

static enum cw_run_proof
proof_of(const struct cw_sched *s, const struct cw_task *t,
         enum cw_run_loss why)
{
    switch (why) {
    case CW_LOSS_ENDED:
    case CW_LOSS_DONE:
        return CW_PROOF_REPORT_END;
    case CW_LOSS_OBSOLETE:
        return CW_PROOF_DONE;
    case CW_LOSS_UNSENT:
        return CW_PROOF_UNSENT;
    default:
        break;
    }
    if (is_unsent(s, t)) {
        return CW_PROOF_UNSENT;
    }
    switch (why) {
    case CW_LOSS_REFUSED:
        return CW_PROOF_START_ANSWER;
    case CW_LOSS_UNLISTED:
        return t->state == CW_RUN_STOPPING && t->order_batch != 0
                   ? CW_PROOF_STOP_ANSWER
                   : CW_PROOF_REPORT;
    case CW_LOSS_LAPSED:
        return CW_PROOF_LEASE;
    case CW_LOSS_REPLACED:
        return CW_PROOF_LATER_WORKER;
    default:
        return CW_PROOF_OTHER_WORKER;
    }
}

const char *
cw_run_state_name(enum cw_run_state st)
{
    static const char *const names[] = {
        [CW_RUN_WAITING] = "waiting", [CW_RUN_STARTING] = "starting",
        [CW_RUN_RUNNING] = "running", [CW_RUN_STOPPING] = "stopping",
        [CW_RUN_DONE] = "done",
    };

    return names[st];
}

const char *
cw_run_lease_name(const struct cw_task *t)
{
    return t->proved ? "proved" : t->checked ? "checked" : "unproved";
}

static void
log_given_up(const struct cw_sched *s, const struct cw_task *t,
             enum cw_run_loss why, const struct cw_run_previous *p, cw_ms now)
{
    static const char *const reasons[] = {
        [CW_LOSS_ENDED] = "ended",        [CW_LOSS_DONE] = "done",
        [CW_LOSS_OBSOLETE] = "obsolete",  [CW_LOSS_UNSENT] = "unsent",
        [CW_LOSS_REFUSED] = "refused",    [CW_LOSS_UNLISTED] = "unlisted",
        [CW_LOSS_LAPSED] = "lapsed",      [CW_LOSS_REPLACED] = "replaced",
        [CW_LOSS_OTHER] = "other_worker",
    };
    const struct cw_worker *w = t->worker;
    const struct cw_worker *by =
        s->answered.from != NULL ? s->answered.from : w;
    /* No start follows a reported end of a task whose job has ended. */
    bool quiet = why == CW_LOSS_DONE || why == CW_LOSS_UNSENT ||
                 (why == CW_LOSS_ENDED && cw_job_ended(t->job));

    cw_log(
        quiet ? CW_DEBUG : CW_INFO, "run_given_up",
        "job=%016llx task=%u.%u.%u run=%u worker=%s born=%lld reason=%s "
        "state=%s state_ms=%lld silent_ms=%lld epoch=%llu order=%s "
        "proof=%s proof_age_ms=%lld proof_worker=%s proof_born=%lld "
        "stop=%s stop_answer_age_ms=%lld lease=%s lease_left_ms=%lld "
        "unproved_left_ms=%lld former=%d",
        (unsigned long long)t->job->id, t->occurrence, t->step, t->index,
        t->run, w->id.text, (long long)w->born_wall, reasons[why],
        cw_run_state_name((enum cw_run_state)t->state),
        (long long)(now - t->state_since),
        (long long)(w->seen_at == 0 ? -1 : now - w->seen_at),
        (unsigned long long)s->epoch, t->order_batch == 0 ? "former" : "own",
        cw_run_proof_name(p->proof),
        (long long)(p->proof_at == 0 ? -1 : now - p->proof_at), by->id.text,
        (long long)by->born_wall, cw_stop_cause_name(p->stop_cause),
        (long long)(t->stop_answered_at == 0 ? -1 : now - t->stop_answered_at),
        cw_run_lease_name(t), (long long)(w->lapse_at - now),
        (long long)(w->unproved_lapse_at == 0 ? 0
                                              : w->unproved_lapse_at - now),
        t->former_of != NULL);
}

/* An order that was not sent is no run: the proof of the run before it
 * stays. */
static void
note_previous(struct cw_run_previous *last, const struct cw_run_previous *p)
{
    bool none = last->run == 0 || last->proof == CW_PROOF_UNSENT;

    if (none || (p->proof != CW_PROOF_UNSENT && p->run >= last->run)) {
        *last = *p;
    }
}

void
cw_run_given_up(struct cw_sched *s, struct cw_task *t, enum cw_run_loss why,
                cw_ms now)
{
    const struct cw_worker *from = s->answered.from;
    struct cw_run_previous p = {
        .run = t->run,
        .proof = (uint8_t)proof_of(s, t, why),
        .stop_cause = t->stop_cause,
        .proof_at = s->answered.sent_at,
        .born_wall = from != NULL ? from->born_wall : t->worker->born_wall,
    };

    if (p.proof == CW_PROOF_LEASE) {
        p.proof_at = cw_run_lapse_at(s, t);
    }
    else if (p.proof == CW_PROOF_UNSENT) {
        p.proof_at = now;
    }
    s->given_up[p.proof] += why == CW_LOSS_DONE ? 0 : 1;
    log_given_up(s, t, why, &p, now);
    note_previous(
        t->former_of != NULL ? &t->former_of->previous : &t->previous, &p);
}

/* ---- takeover ---- */

static void
log_loaded_worker(const struct cw_worker *w, cw_ms now)
{
    uint32_t proved = 0;

    for (const struct cw_task *t = w->tasks; t != NULL; t = t->next) {
        proved += t->proved ? 1 : 0;
    }
    cw_log(CW_INFO, "takeover_runs",
           "worker=%s vm=%s runs=%u proved=%u lease_left_ms=%lld "
           "unproved_left_ms=%lld",
           w->id.text, w->vm.text, w->task_count, proved,
           (long long)(w->lapse_at - now),
           (long long)(w->unproved_lapse_at - now));
}

void
cw_log_loaded_runs(const struct cw_sched *s, cw_ms now)
{
    uint32_t workers = 0;
    uint64_t runs = 0;
    cw_ms lapse_at = now;
    cw_ms unproved_lapse_at = now;

    for (const struct cw_pool *p = s->pool_list; p != NULL; p = p->next) {
        for (const struct cw_worker *w = p->workers; w != NULL; w = w->next) {
            if (w->tasks != NULL) {
                workers++;
                runs += w->task_count;
                lapse_at = w->lapse_at;
                unproved_lapse_at = w->unproved_lapse_at;
            }
        }
    }
    if (workers > LOADED_WORKERS_LOGGED) {
        /* At the load the leases of all workers are counted alike. */
        cw_log(CW_INFO, "takeover_runs",
               "workers=%u runs=%llu lease_left_ms=%lld unproved_left_ms=%lld",
               workers, (unsigned long long)runs, (long long)(lapse_at - now),
               (long long)(unproved_lapse_at - now));
        return;
    }
    for (const struct cw_pool *p = s->pool_list; p != NULL; p = p->next) {
        for (const struct cw_worker *w = p->workers; w != NULL; w = w->next) {
            if (w->tasks != NULL) {
                log_loaded_worker(w, now);
            }
        }
    }
}
