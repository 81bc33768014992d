/* Proof that the configuration of this daemon is the newest one: the send time
 * of the newest question to which the store, or the scheduler, answered with
 * all versions up to then. */
#include "cw_auth.h"
#include "cw_jobd.h"

void
cw_proof_add(struct cw_jobd *d, cw_ms asked_at)
{
    if (asked_at > d->config_proof_at) {
        d->config_proof_at = asked_at;
    }
}

cw_ms
cw_proof_age(const struct cw_jobd *d, cw_ms now)
{
    return d->config_proof_at == 0 ? CW_AUTH_NO_PROOF
                                   : now - d->config_proof_at;
}

bool
cw_proof_needed(const struct cw_jobd *d)
{
    return d->settings.strict_revoke && d->config.needs_keys;
}

bool
cw_proof_stale(const struct cw_jobd *d, cw_ms now)
{
    return cw_proof_needed(d) &&
           cw_auth_is_stale(cw_proof_age(d, now), d->settings.revoke_ms);
}

bool
cw_proof_renew_due(const struct cw_jobd *d, cw_ms now)
{
    return cw_proof_needed(d) &&
           cw_auth_renew_due(cw_proof_age(d, now), d->settings.revoke_ms);
}

void
cw_proof_refused(struct cw_jobd *d, cw_ms now)
{
    d->stale_refused++;
    if (d->stale_since == 0) {
        d->stale_since = now;
        cw_log(CW_WARN, "config_stale",
               "version=%llu age_ms=%lld revoke_ms=%lld scheduler=%s",
               (unsigned long long)d->config.version,
               (long long)cw_proof_age(d, now),
               (long long)d->settings.revoke_ms, d->scheduler.text);
    }
}

void
cw_proof_tick(struct cw_jobd *d, cw_ms now)
{
    if (d->stale_since != 0 && !cw_proof_stale(d, now)) {
        cw_log(CW_INFO, "config_current",
               "version=%llu age_ms=%lld refused=%llu ms=%lld",
               (unsigned long long)d->config.version,
               (long long)cw_proof_age(d, now),
               (unsigned long long)d->stale_refused,
               (long long)(now - d->stale_since));
        d->stale_since = 0;
        d->stale_refused = 0;
    }
}
