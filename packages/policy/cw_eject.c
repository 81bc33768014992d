/* Ejection of endpoints that fail. */
#include "cuminwalk.h"

struct cw_eject_params
cw_eject_defaults(void)
{
    return (struct cw_eject_params){.consecutive = 5,
                                    .rate = 0.5,
                                    .rate_min = 10,
                                    .window_ms = 10 * CW_SECOND,
                                    .first_ms = 5 * CW_SECOND,
                                    .longest_ms = CW_MINUTE,
                                    .max_share = 1.0 / 3};
}

static void
roll(struct cw_eject *e, const struct cw_eject_params *p, cw_ms now)
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
over_rate(const struct cw_eject *e, const struct cw_eject_params *p)
{
    uint32_t failed = e->failed[0] + e->failed[1];
    uint32_t all = failed + e->ok[0] + e->ok[1];
    return p->rate > 0 && all >= p->rate_min && failed > p->rate * all;
}

static void
eject(struct cw_eject *e, const struct cw_eject_params *p, cw_ms now)
{
    bool relapse = e->length > 0 && now - e->until < e->length;
    cw_ms length = relapse ? 2 * e->length : p->first_ms;
    e->length = length < p->longest_ms ? length : p->longest_ms;
    e->until = now + e->length;
    e->in_a_row = 0;
    e->ok[0] = e->ok[1] = 0;
    e->failed[0] = e->failed[1] = 0;
    e->half_start = now;
}

bool
cw_eject_note(struct cw_eject *e, const struct cw_eject_params *p, bool failed,
              cw_ms now)
{
    /* Requests sent before the ejection still end after it. Under the panic
     * rule they say nothing new either. */
    if (cw_eject_active(e, now)) {
        return false;
    }
    roll(e, p, now);
    if (!failed) {
        e->in_a_row = 0;
        e->ok[0]++;
        return false;
    }
    e->in_a_row++;
    e->failed[0]++;
    if ((p->consecutive > 0 && e->in_a_row >= p->consecutive) ||
        over_rate(e, p)) {
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
