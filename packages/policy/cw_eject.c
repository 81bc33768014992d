/* Ejection of failing endpoints (outlier detection). */
#include "cuminwalk.h"

struct cw_eject_params
cw_eject_defaults(void)
{
    return (struct cw_eject_params){.consecutive = 5,
                                    .rate = 0.5,
                                    .rate_min_requests = 10,
                                    .window_ms = 10 * CW_SECOND,
                                    .min_ejection_ms = 5 * CW_SECOND,
                                    .max_ejection_ms = CW_MINUTE,
                                    .max_ejected_share = 1.0 / 3};
}

/* Counts cover the current and the previous half of the window, so that old
 * results leave it in two steps. */
static void
rotate_window(struct cw_eject *e, const struct cw_eject_params *p, cw_ms now)
{
    cw_ms half = p->window_ms / 2;
    if (now - e->half_start < half) {
        return;
    }
    bool recent = now - e->half_start < 2 * half;
    e->ok[1] = recent ? e->ok[0] : 0;
    e->failed[1] = recent ? e->failed[0] : 0;
    e->ok[0] = 0;
    e->failed[0] = 0;
    e->half_start = now;
}

static bool
exceeds_failure_rate(const struct cw_eject *e, const struct cw_eject_params *p)
{
    uint32_t failed = e->failed[0] + e->failed[1];
    uint32_t all = failed + e->ok[0] + e->ok[1];
    return p->rate > 0 && all >= p->rate_min_requests &&
           failed > p->rate * all;
}

static void
eject(struct cw_eject *e, const struct cw_eject_params *p, cw_ms now)
{
    bool repeated = e->length > 0 && now - e->until < e->length;
    cw_ms length = repeated ? 2 * e->length : p->min_ejection_ms;
    e->length = length < p->max_ejection_ms ? length : p->max_ejection_ms;
    e->until = now + e->length;
    e->consecutive_failures = 0;
    e->ok[0] = e->ok[1] = 0;
    e->failed[0] = e->failed[1] = 0;
    e->half_start = now;
}

bool
cw_eject_record_result(struct cw_eject *e, const struct cw_eject_params *p,
                       bool failed, cw_ms now)
{
    /* Results during an ejection are ignored: they belong to requests sent
     * before it, or to requests sent because the panic rule ignores ejections,
     * which show nothing new. */
    if (cw_eject_active(e, now)) {
        return false;
    }
    rotate_window(e, p, now);
    if (!failed) {
        e->consecutive_failures = 0;
        e->ok[0]++;
        return false;
    }
    e->consecutive_failures++;
    e->failed[0]++;
    if ((p->consecutive > 0 && e->consecutive_failures >= p->consecutive) ||
        exceeds_failure_rate(e, p)) {
        eject(e, p, now);
        return true;
    }
    return false;
}

bool
cw_eject_active(const struct cw_eject *e, cw_ms now)
{
    return e->length > 0 && now < e->until;
}
