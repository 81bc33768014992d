/* Decides whether a caller's call may run: its route, its key, and the proof
 * that this daemon's configuration is the newest one. */
#ifndef CW_AUTH_H
#define CW_AUTH_H

#include "cw_jobs.h"

/* Share of revoke_ms for which a daemon accepts keys without a new proof, in
 * percent. A daemon that has had no contact for longer is not expected to
 * serve; the rest covers clocks that run at different speeds. */
#define CW_AUTH_PROOF_PERCENT 60
/* Share of that limit after which the daemon asks the store for a proof at
 * once, so that calls are refused only when the store does not answer. */
#define CW_AUTH_RENEW_PERCENT 80

#define CW_AUTH_NO_PROOF (-1)

enum cw_auth_result {
    CW_AUTH_ALLOWED,
    CW_AUTH_NO_KEY,
    CW_AUTH_UNKNOWN_KEY,
    CW_AUTH_STALE, /* a withdrawal of the key may have been missed */
};

struct cw_auth_query {
    bool needs_keys; /* the configuration lists tenants */
    bool is_public;  /* the route */
    bool has_key;
    const struct cw_tenant_entry *tenant; /* of the key; NULL: unknown key */
    bool strict; /* withdrawn keys must not be accepted any longer than
                  * revoke_ms, also without contact */
    cw_ms revoke_ms;
    cw_ms proof_age; /* or CW_AUTH_NO_PROOF */
};

struct cw_auth_decision {
    enum cw_auth_result result;
    const struct cw_tenant_entry *tenant; /* NULL: the call belongs to none */
    int status;                           /* of a refusal: 401 or 503 */
    const char *reason;                   /* of a refusal, for logs */
    cw_ms retry_after_ms;                 /* with 503 */
};

struct cw_auth_decision cw_auth_decide(const struct cw_auth_query *q);
/* A proof of this age no longer suffices under strict revocation. */
bool cw_auth_is_stale(cw_ms proof_age, cw_ms revoke_ms);
/* A proof of this age should be renewed at once. */
bool cw_auth_renew_due(cw_ms proof_age, cw_ms revoke_ms);

#endif
