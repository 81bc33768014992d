/* Health of a worker, quarantine and probes, and the lease of its tasks. */
#include "cuminwalk.h"

static void
quarantine(struct cw_worker_health *h, const struct cw_place_params *params,
           cw_ms now)
{
    cw_ms delay = params->probe_ms;
    for (uint32_t i = 0; i < h->probes_failed && delay < CW_HOUR; i++) {
        delay *= 2;
    }
    if (!h->quarantined) {
        h->quarantined_at = now;
    }
    h->quarantined = true;
    h->probing = false;
    h->probe_at = now + (delay < CW_HOUR ? delay : CW_HOUR);
}

void
cw_worker_health_outcome(struct cw_worker_health *h, bool ok,
                         bool succeeds_elsewhere, bool may_quarantine_unproven,
                         uint64_t job_hash,
                         const struct cw_place_params *params, cw_ms now)
{
    if (ok) {
        *h = (struct cw_worker_health){.probe = h->probe};
        return;
    }
    h->failed_at = now;
    if (h->probing) {
        h->probes_failed++;
        quarantine(h, params, now);
        return;
    }
    if (h->quarantined) {
        return;
    }
    if (h->failure_streak > 0 && h->last_job != job_hash) {
        h->several_jobs = true;
    }
    h->last_job = job_hash;
    h->failure_streak++;
    if (succeeds_elsewhere) {
        /* Earlier failures of the same job count as well, now that it is known
         * to run on other workers. */
        h->proven_streak =
            h->several_jobs ? h->proven_streak + 1 : h->failure_streak;
    }
    /* Failures of a class that has not succeeded anywhere do not show a fault
     * of the worker, unless several jobs fail on it in a row. */
    bool faulty = h->proven_streak >= params->quarantine_after ||
                  (may_quarantine_unproven && h->several_jobs &&
                   h->failure_streak >= params->quarantine_after);
    if (params->quarantine && faulty) {
        quarantine(h, params, now);
    }
}

/* A worker that fails what it starts mostly does so at the start. */
#define SUCCESS_MIN_MS 3000
#define SUCCESS_MAX_MS 10000

bool
cw_worker_health_counts_failure(struct cw_worker_health *h, cw_ms ran_ms)
{
    if (ran_ms >= SUCCESS_MAX_MS) {
        return false;
    }
    if (ran_ms > h->failed_after_ms) {
        h->failed_after_ms = ran_ms;
    }
    return true;
}

bool
cw_worker_health_shows_success(const struct cw_worker_health *h,
                               uint32_t probe, cw_ms began_at, cw_ms ran_ms)
{
    cw_ms needed = 2 * h->failed_after_ms;
    bool is_probe = h->probing && probe != 0 && probe == h->probe;

    if (needed < SUCCESS_MIN_MS) {
        needed = SUCCESS_MIN_MS;
    }
    if (needed > SUCCESS_MAX_MS) {
        needed = SUCCESS_MAX_MS;
    }
    return ran_ms >= needed &&
           (h->quarantined ? is_probe : began_at > h->failed_at);
}

bool
cw_worker_health_job_succeeded(struct cw_worker_health *h, uint64_t job_hash,
                               const struct cw_place_params *params, cw_ms now)
{
    if (!params->quarantine || h->quarantined || h->several_jobs ||
        h->last_job != job_hash ||
        h->failure_streak < params->quarantine_after) {
        return false;
    }
    quarantine(h, params, now);
    return true;
}

bool
cw_worker_health_usable(const struct cw_worker_health *h, cw_ms now)
{
    if (!h->quarantined) {
        return true;
    }
    return !h->probing && now >= h->probe_at;
}

uint32_t
cw_worker_health_task_assigned(struct cw_worker_health *h)
{
    if (!h->quarantined || h->probing) {
        return 0;
    }
    h->probing = true;
    h->probe = h->probe == UINT32_MAX ? 1 : h->probe + 1;
    return h->probe;
}

void
cw_worker_health_probe_over(struct cw_worker_health *h, uint32_t probe)
{
    if (probe != 0 && probe == h->probe) {
        h->probing = false;
    }
}

void
cw_worker_health_restarted(struct cw_worker_health *h, cw_ms now)
{
    bool quarantined = h->quarantined;
    cw_ms since = h->quarantined_at;

    *h = (struct cw_worker_health){.probe = h->probe,
                                   .quarantined = quarantined,
                                   .quarantined_at = since,
                                   .probe_at = now};
}

void
cw_lease_grant(struct cw_lease *l, cw_ms sent_at, cw_ms lease_ms)
{
    l->renewed_at = sent_at;
    if (sent_at + lease_ms > l->expires_at) {
        l->expires_at = sent_at + lease_ms;
    }
}

bool
cw_lease_renew_due(const struct cw_lease *l, cw_ms now, cw_ms renew_ms)
{
    return !l->renewing && now - l->renewed_at >= renew_ms;
}

bool
cw_lease_expired(const struct cw_lease *l, cw_ms now, cw_ms guard_ms)
{
    return now >= l->expires_at + guard_ms;
}
