/* Access of callers' calls, and the age of the proof it rests on. Pure. */
#include "cw_auth.h"

/* A daemon renews a proof within this time once it is in contact again. */
#define RETRY_AFTER_MS 1000

static bool
is_older(cw_ms age, cw_ms limit)
{
    return age < 0 || age > limit;
}

bool
cw_auth_is_stale(cw_ms proof_age, cw_ms revoke_ms)
{
    return is_older(proof_age, revoke_ms * CW_AUTH_PROOF_PERCENT / 100);
}

bool
cw_auth_renew_due(cw_ms proof_age, cw_ms revoke_ms)
{
    return is_older(proof_age, revoke_ms * CW_AUTH_PROOF_PERCENT / 100 *
                                   CW_AUTH_RENEW_PERCENT / 100);
}

struct cw_auth_decision
cw_auth_decide(const struct cw_auth_query *q)
{
    if (!q->needs_keys || q->is_public) {
        return (struct cw_auth_decision){.result = CW_AUTH_ALLOWED};
    }
    if (!q->has_key) {
        return (struct cw_auth_decision){
            .result = CW_AUTH_NO_KEY, .status = 401, .reason = "no_key"};
    }
    /* Also for an unknown key: a newer version may list it. */
    if (q->strict && cw_auth_is_stale(q->proof_age, q->revoke_ms)) {
        return (struct cw_auth_decision){.result = CW_AUTH_STALE,
                                         .status = 503,
                                         .reason = "stale_config",
                                         .retry_after_ms = RETRY_AFTER_MS};
    }
    if (q->tenant == NULL) {
        return (struct cw_auth_decision){.result = CW_AUTH_UNKNOWN_KEY,
                                         .status = 401,
                                         .reason = "unknown_key"};
    }
    return (struct cw_auth_decision){.result = CW_AUTH_ALLOWED,
                                     .tenant = q->tenant};
}
