/* Callers' calls: run by the scheduler, answered once their changes are
 * durable. */
#include "cw_fit.h"
#include "cw_jobd.h"
#include "cw_overload.h"

#include <string.h>

/* A call waits this long for a scheduler. */
#define HOLD_MAX_MS 700
/* A takeover takes 1.0 to 1.6 s from the last renewal of the membership. When
 * no scheduler was reachable for longer, the store is unavailable, and calls
 * are refused at once instead of held. */
#define TAKEOVER_MAX_MS 1600
/* Retry-After while there is no scheduler: the time in which the group assigns
 * the role to another daemon. */
#define RETRY_AFTER_MS 1000
/* An outage of the store that has lasted for some time is expected to last as
 * long again, but callers are not sent away for longer than this. */
#define RETRY_AFTER_MAX_MS 4000
/* Retry-After for a job that exceeds its tenant's quota: only a new
 * configuration changes that. */
#define NEVER_FITS_RETRY_MS 30000
/* An answer is sent this long before the caller's deadline. */
#define ANSWER_MARGIN_MS 60

cw_ms
cw_outage_retry_after(cw_ms lasted)
{
    if (lasted < RETRY_AFTER_MS) {
        return RETRY_AFTER_MS;
    }
    return lasted < RETRY_AFTER_MAX_MS ? lasted : RETRY_AFTER_MAX_MS;
}

/* For a call that is refused as nobody can run it. */
static cw_ms
retry_after(const struct cw_jobd *d, cw_ms now)
{
    if (d->role == CW_ROLE_SCHEDULER && !cw_commit_healthy(d, now)) {
        return cw_outage_retry_after(now - d->commit_sent_at);
    }
    return cw_outage_retry_after(now - d->scheduler_reachable_at);
}

void
cw_calls_push(struct cw_call **list, struct cw_call *c)
{
    c->list = list;
    c->prev = NULL;
    c->next = *list;
    if (c->next != NULL) {
        c->next->prev = c;
    }
    *list = c;
}

void
cw_calls_unlink(struct cw_call *c)
{
    if (c->list == NULL) {
        return;
    }
    if (c->prev != NULL) {
        c->prev->next = c->next;
    }
    else {
        *c->list = c->next;
    }
    if (c->next != NULL) {
        c->next->prev = c->prev;
    }
    c->list = NULL;
}

void
cw_calls_complete(struct cw_call *c, enum cw_call_result r, const char *why,
                  cw_ms retry_after)
{
    cw_calls_unlink(c);
    c->result = r;
    c->reason = why;
    c->retry_after_ms = retry_after;
    cw_job_spec_finish(&c->spec);
    c->done(c);
}

/* A stopping scheduler accepts no further changes, so that its last commit can
 * complete; another daemon takes over soon. */
static bool
refuses_change(const struct cw_jobd *d, const struct cw_call *c)
{
    return d->stopping &&
           (c->kind == CW_CALL_SUBMIT || c->kind == CW_CALL_CANCEL);
}

/* A scheduler is known and the connection to it is open. */
static bool
scheduler_reachable(const struct cw_jobd *d)
{
    return d->scheduler.len > 0 && d->scheduler_conn_open &&
           !d->scheduler_unproved && d->scheduler_denied_at == 0;
}

bool
cw_calls_served_lately(const struct cw_jobd *d, cw_ms now)
{
    return now - d->scheduler_reachable_at <= TAKEOVER_MAX_MS;
}

static void run_call(struct cw_jobd *d, struct cw_call *c, cw_ms now);

/* The answer rests on an append under our epoch, not only on the table: a
 * repeat of a submission that was appended, or of a change that is in a batch
 * without an answer, so that "not run" would be false. */
static bool
rests_on_append(const struct cw_jobd *d, const struct cw_call *c)
{
    const struct cw_job_entry *j;

    if (d->role != CW_ROLE_SCHEDULER ||
        (c->kind != CW_CALL_SUBMIT && c->kind != CW_CALL_CANCEL)) {
        return false;
    }
    j = cw_sched_find_job(d->sched, c->id);
    return j != NULL &&
           (c->kind == CW_CALL_SUBMIT || j->state_batch > d->sched->committed);
}

static size_t
call_bytes(const struct cw_call *c)
{
    return sizeof(*c) + c->spec.step_count * sizeof(*c->spec.steps) +
           c->spec.text_len;
}

/* Holds a call until there is a scheduler, within the memory for that. */
static void
hold_call(struct cw_jobd *d, struct cw_call *c)
{
    size_t bytes = call_bytes(c);

    if (d->settings.held_max > 0 &&
        d->held_bytes + bytes > d->settings.held_max) {
        cw_jobd_count(d, "cuminwalk_held_refused_total", "");
        cw_calls_complete(c, CW_RESULT_NOT_RUN, "held_full", RETRY_AFTER_MS);
        return;
    }
    d->held_bytes += bytes;
    cw_calls_push(&d->held, c);
}

void
cw_calls_dispatch(struct cw_jobd *d, struct cw_call *c)
{
    cw_ms now = cw_jobd_now(d);

    if ((cw_member_lease_valid(d, now) || rests_on_append(d, c)) &&
        !refuses_change(d, c)) {
        run_call(d, c, now);
        return;
    }
    if (d->role == CW_ROLE_SCHEDULER && !d->stopping && !c->withheld) {
        c->withheld = true;
        cw_jobd_count(d, "cuminwalk_withheld_total", "call");
    }
    if (c->from_peer) {
        cw_calls_complete(c, CW_RESULT_NOT_SCHEDULER,
                          refuses_change(d, c) ? "stopping" : "not_scheduler",
                          RETRY_AFTER_MS);
        return;
    }
    if (d->role == CW_ROLE_FOLLOWER && scheduler_reachable(d)) {
        cw_forward_call(d, c);
        return;
    }
    if (now - c->arrived > HOLD_MAX_MS || !cw_calls_served_lately(d, now)) {
        cw_calls_complete(c, CW_RESULT_NOT_RUN, "no_scheduler",
                          retry_after(d, now));
        return;
    }
    hold_call(d, c);
}

/* Calls without a key are not checked: their route is public, or calls need no
 * keys. A job that was submitted by such a call belongs to no tenant. */
static bool
is_foreign(const struct cw_call *c, const struct cw_job_entry *j)
{
    const struct cw_name *owner = &j->tenant;

    return c->tenant.len > 0 && owner->len > 0 &&
           !cw_name_eq(&c->tenant, owner);
}

static void
refuse_foreign(struct cw_call *c)
{
    cw_calls_complete(c, CW_RESULT_FORBIDDEN, "other_tenant", 0);
}

bool
cw_calls_job_known(const struct cw_jobd *d, uint64_t id)
{
    return d->role == CW_ROLE_SCHEDULER &&
           cw_sched_find_job(d->sched, id) != NULL;
}

static void
await_commit(struct cw_jobd *d, struct cw_call *c, uint64_t batch)
{
    if (batch <= d->sched->committed) {
        cw_calls_complete(c, CW_RESULT_OK, "", 0);
        return;
    }
    c->batch = batch;
    cw_calls_push(&d->committing, c);
    cw_commit_schedule(d);
}

/* Nothing of the job is stored. */
static void
refuse_overloaded(struct cw_jobd *d, struct cw_call *c, const char *why,
                  cw_ms retry_after)
{
    cw_jobd_count(d, "cuminwalk_refusals_total", why);
    cw_log(CW_INFO, "admission_refused",
           "job=%016llx tenant=%s service=%s reason=%s retry_ms=%lld",
           (unsigned long long)c->id, c->spec.rules.tenant.text,
           c->spec.rules.service.text, why, (long long)retry_after);
    cw_calls_complete(c, CW_RESULT_OVERLOADED, why, retry_after);
}

static void
run_submit(struct cw_jobd *d, struct cw_call *c, cw_ms now)
{
    struct cw_job_entry *j;
    struct cw_admission adm;
    enum cw_status st;

    j = cw_sched_find_job(d->sched, c->id);
    if (j != NULL && is_foreign(c, j)) {
        refuse_foreign(c);
        return;
    }
    if (j != NULL) {
        /* A repeat: "not run" would be false if the first submission is in a
         * batch without an answer. */
        await_commit(d, c, j->state_batch);
        return;
    }
    if (!cw_commit_healthy(d, now)) {
        cw_calls_complete(c, CW_RESULT_NOT_RUN, "store_unavailable",
                          retry_after(d, now));
        return;
    }
    if (cw_tenant_never_fits(d->sched, &c->spec)) {
        refuse_overloaded(d, c, "task_above_quota", NEVER_FITS_RETRY_MS);
        return;
    }
    adm = cw_tenants_admit(d, c, now);
    if (adm.refused) {
        refuse_overloaded(d, c, "queue_too_long", adm.retry_after_ms);
        return;
    }
    if (!cw_limits_take_job(d, &c->spec)) {
        cw_jobd_count(d, "cuminwalk_jobs_refused_total", "");
        cw_calls_complete(c, CW_RESULT_NOT_RUN, "jobs_full", RETRY_AFTER_MS);
        return;
    }
    st = cw_sched_accept(d->sched, &c->spec, now, &j);
    if (j == NULL) {
        cw_calls_complete(c, CW_RESULT_NOT_RUN, cw_status_name(st),
                          RETRY_AFTER_MS);
        return;
    }
    await_commit(d, c, j->state_batch);
}

/* A successor may have accepted the job while this daemon's membership still
 * looks valid: the store assigns the role anew at any time. That no successor
 * had begun is known once an append that is sent from now on has succeeded. */
static void
await_proof_of_absence(struct cw_jobd *d, struct cw_call *c)
{
    cw_jobd_count(d, "cuminwalk_proofs_total", "absence");
    c->absent = true;
    c->batch = cw_sched_request_proof(d->sched);
    cw_calls_push(&d->committing, c);
    cw_commit_schedule(d);
}

static void
answer_absent(struct cw_jobd *d, struct cw_call *c)
{
    cw_calls_unlink(c);
    c->absent = false;
    if (cw_sched_find_job(d->sched, c->id) == NULL) {
        cw_calls_complete(c, CW_RESULT_GONE, "no_job", 0);
    }
    else {
        cw_calls_dispatch(d, c); /* accepted meanwhile */
    }
}

static void
run_cancel(struct cw_jobd *d, struct cw_call *c, cw_ms now)
{
    struct cw_job_entry *j = cw_sched_find_job(d->sched, c->id);

    if (j == NULL) {
        await_proof_of_absence(d, c);
        return;
    }
    if (is_foreign(c, j)) {
        refuse_foreign(c);
        return;
    }
    (void)cw_sched_cancel(d->sched, c->id, now);
    await_commit(d, c, j->state_batch);
}

static void
write_blocked_reason(const struct cw_sched *s, const struct cw_job_entry *j,
                     struct cw_call *c)
{
    size_t step = cw_job_blocked_step(s, j);

    if (step < j->spec.step_count) {
        cw_job_blocked_reason(s, j, step, c->reason_text);
    }
}

static void
run_call(struct cw_jobd *d, struct cw_call *c, cw_ms now)
{
    struct cw_job_entry *j;

    switch (c->kind) {
    case CW_CALL_SUBMIT:
        run_submit(d, c, now);
        break;
    case CW_CALL_CANCEL:
        run_cancel(d, c, now);
        break;
    case CW_CALL_STATUS:
        j = cw_sched_find_job(d->sched, c->id);
        if (j == NULL) {
            await_proof_of_absence(d, c);
            break;
        }
        if (is_foreign(c, j)) {
            refuse_foreign(c);
            break;
        }
        c->state = cw_job_visible_state(d->sched, j);
        write_blocked_reason(d->sched, j, c);
        cw_calls_complete(c, CW_RESULT_OK, c->reason_text, 0);
        break;
    case CW_CALL_WAITING:
        c->waiting = cw_sched_queued_jobs(d->sched, cw_name_str(&c->queue));
        cw_calls_complete(c, CW_RESULT_OK, "", 0);
        break;
    case CW_CALL_INVALID:
        cw_calls_complete(c, CW_RESULT_GONE, "bad_call", 0);
        break;
    }
}

void
cw_calls_committed(struct cw_jobd *d, uint64_t batch)
{
    struct cw_call *c = d->committing;

    while (c != NULL) {
        struct cw_call *next = c->next;

        if (c->batch <= batch && c->absent) {
            answer_absent(d, c);
        }
        else if (c->batch <= batch) {
            cw_calls_complete(c, CW_RESULT_OK, "", 0);
        }
        c = next;
    }
}

void
cw_calls_abandon(struct cw_jobd *d)
{
    while (d->committing != NULL) {
        struct cw_call *c = d->committing;

        if (!c->absent) {
            cw_calls_complete(c, CW_RESULT_UNKNOWN, "scheduler_changed", 0);
        }
        else if (c->from_peer) {
            cw_calls_complete(c, CW_RESULT_NOT_SCHEDULER, "not_scheduler",
                              RETRY_AFTER_MS);
        }
        else {
            /* Nothing was done: the next scheduler answers it. */
            cw_calls_unlink(c);
            c->absent = false;
            cw_calls_push(&d->held, c);
        }
    }
}

void
cw_calls_finish(struct cw_jobd *d)
{
    while (d->held != NULL) {
        cw_calls_complete(d->held, CW_RESULT_NOT_RUN, "stopping",
                          RETRY_AFTER_MS);
    }
    while (d->forwarded != NULL) {
        cw_calls_complete(d->forwarded, CW_RESULT_UNKNOWN, "stopping", 0);
    }
}

/* Refuses submissions that wait behind a commit without an answer, and calls
 * that only wait for a proof. For submissions this is safe only in the open
 * batch, none of which was sent to the store. */
static void
refuse_unsent(struct cw_jobd *d, cw_ms now)
{
    struct cw_call *c = d->committing;

    if (d->role != CW_ROLE_SCHEDULER || cw_commit_healthy(d, now)) {
        return;
    }
    while (c != NULL) {
        struct cw_call *next = c->next;

        if (c->absent ||
            (c->kind == CW_CALL_SUBMIT && c->batch == d->sched->batch &&
             (cw_sched_withdraw(d->sched, c->id) ||
              cw_sched_find_job(d->sched, c->id) == NULL))) {
            cw_calls_complete(c, CW_RESULT_NOT_RUN, "store_unavailable",
                              retry_after(d, now));
        }
        c = next;
    }
}

static void
complete_expired(struct cw_call *list, cw_ms now, enum cw_call_result r)
{
    while (list != NULL) {
        struct cw_call *next = list->next;

        if (now >= list->deadline - ANSWER_MARGIN_MS) {
            cw_calls_complete(list, r, "deadline", RETRY_AFTER_MS);
        }
        list = next;
    }
}

void
cw_calls_tick(struct cw_jobd *d, cw_ms now)
{
    struct cw_call *held = d->held;

    if (d->role == CW_ROLE_TAKEOVER || cw_member_lease_valid(d, now) ||
        (d->role == CW_ROLE_FOLLOWER && scheduler_reachable(d))) {
        d->scheduler_reachable_at = now;
    }
    d->held = NULL;
    d->held_bytes = 0;
    for (struct cw_call *c = held; c != NULL; c = c->next) {
        c->list = &held;
    }
    while (held != NULL) {
        struct cw_call *c = held;

        cw_calls_unlink(c);
        if (now >= c->deadline - ANSWER_MARGIN_MS) {
            cw_calls_complete(c, CW_RESULT_NOT_RUN, "deadline",
                              retry_after(d, now));
        }
        else {
            cw_calls_dispatch(d, c);
        }
    }
    refuse_unsent(d, now);
    complete_expired(d->committing, now, CW_RESULT_UNKNOWN);
    complete_expired(d->forwarded, now, CW_RESULT_UNKNOWN);
}
