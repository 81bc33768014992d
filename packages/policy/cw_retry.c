/* Retry budget, and the rule for which attempts may be repeated. */
#include "cuminwalk.h"

#include <string.h>

struct cw_retry_params
cw_retry_defaults(void)
{
    return (struct cw_retry_params){.share = 0.1,
                                    .min_retries = 3,
                                    .window_ms = 10 * CW_SECOND,
                                    .max_resends = 2};
}

void
cw_retry_init(struct cw_retry *r, struct cw_retry_params params)
{
    memset(r, 0, sizeof(*r));
    r->params = params;
    for (int i = 0; i < CW_RETRY_BUCKETS; i++) {
        r->bucket_start[i] = INT64_MIN;
    }
}

static cw_ms
bucket_ms(const struct cw_retry *r)
{
    cw_ms length = r->params.window_ms / (CW_RETRY_BUCKETS - 1);
    return length > 0 ? length : 1;
}

/* Index of the bucket for now; clears it first when it holds an earlier
 * interval. */
static size_t
current_bucket(struct cw_retry *r, cw_ms now)
{
    cw_ms length = bucket_ms(r);
    cw_ms start = now - now % length;
    size_t i = (size_t)(now / length) % CW_RETRY_BUCKETS;
    if (r->bucket_start[i] != start) {
        r->bucket_start[i] = start;
        r->requests[i] = 0;
        r->retries[i] = 0;
    }
    return i;
}

void
cw_retry_count_request(struct cw_retry *r, cw_ms now)
{
    r->requests[current_bucket(r, now)]++;
}

uint32_t
cw_retry_left(const struct cw_retry *r, cw_ms now)
{
    if (r->params.share < 0) {
        return UINT32_MAX;
    }
    uint32_t requests = 0;
    uint32_t retries = 0;
    for (int i = 0; i < CW_RETRY_BUCKETS; i++) {
        /* A bucket counts until all of its interval is out of the window. */
        if (r->bucket_start[i] > now - r->params.window_ms - bucket_ms(r)) {
            requests += r->requests[i];
            retries += r->retries[i];
        }
    }
    uint32_t allowed = (uint32_t)(r->params.share * requests);
    if (allowed < r->params.min_retries) {
        allowed = r->params.min_retries;
    }
    return allowed > retries ? allowed - retries : 0;
}

bool
cw_retry_spend(struct cw_retry *r, cw_ms now)
{
    if (cw_retry_left(r, now) == 0) {
        return false;
    }
    r->retries[current_bucket(r, now)]++;
    return true;
}

const char *
cw_outcome_name(enum cw_outcome o)
{
    static const char *names[] = {"not-run", "unknown", "run"};
    return names[o];
}

enum cw_outcome
cw_attempt_outcome(const struct cw_attempt *a)
{
    if (a->end == CW_END_RESPONSE) {
        return CW_OUTCOME_RUN;
    }
    /* A refused retry doesn't show whether the first attempt ran. */
    bool may_have_run = a->end == CW_END_INTERRUPTED && a->first_byte;
    return may_have_run || a->unknown_before ? CW_OUTCOME_UNKNOWN
                                             : CW_OUTCOME_NOT_RUN;
}

bool
cw_attempt_resendable(const struct cw_attempt *a,
                      const struct cw_retry_params *p)
{
    if (a->response_begun || a->resent >= p->max_resends) {
        return false;
    }
    switch (cw_attempt_outcome(a)) {
    case CW_OUTCOME_NOT_RUN:
        return true;
    case CW_OUTCOME_UNKNOWN:
        return a->idempotent;
    case CW_OUTCOME_RUN:
        break;
    }
    return false;
}
