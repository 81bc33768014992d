/* Moves of VMs between pools, from demand trends over minutes. */
#include "cuminwalk.h"

#include <math.h>
#include <string.h>

struct cw_spare_params
cw_spare_defaults(void)
{
    return (struct cw_spare_params){
        .headroom = 0.2,
        .take_above = 1.15,
        .give_below = 0.70,
        /* A single burst of 30 s at 5 times the mean doubles the 2 min
         * average and raises the 15 min average by 13%. */
        .trend_limit = 1.1,
        .horizon_ms = 10 * CW_MINUTE,
        .move_ms = 120 * CW_SECOND,
        .move_cost = 1,
        .bursts = 1,
        .reserve_share = 0.25,
        .hysteresis = true,
        .use_trend = true,
        .check_payoff = true,
        .one_per_pool = true,
        .return_idle = true,
        .enabled = true,
    };
}

/* Demand that justifies taking a VM: the last 2 min, but not more than the
 * 15 min average supports. */
static double
rising(const struct cw_spare_params *p, const struct cw_spare_pool *s)
{
    if (!p->use_trend) {
        return s->now;
    }
    double bound = s->avg15 * p->trend_limit;
    return s->avg2 < bound ? s->avg2 : bound;
}

/* Demand that a pool has to be able to carry after giving a VM. */
static double
lasting(const struct cw_spare_params *p, const struct cw_spare_pool *s)
{
    if (!p->use_trend) {
        return s->now;
    }
    return s->avg2 > s->avg15 ? s->avg2 : s->avg15;
}

/* Slots that vms carry with the headroom left free. */
static double
capacity(const struct cw_spare_params *p, const struct cw_spare_pool *s,
         uint32_t vms)
{
    return (double)vms * s->slots / (1 + p->headroom);
}

static uint32_t
needed(const struct cw_spare_params *p, const struct cw_spare_pool *s)
{
    struct cw_budget_params b = {.headroom = p->headroom};
    return cw_vms_needed(&b, s->vms_min, lasting(p, s), s->slots);
}

uint32_t
cw_spare_reserve(const struct cw_spare_params *p, size_t count,
                 const struct cw_spare_pool *pools)
{
    bool used[CW_SPARE_MOVES_MAX] = {0};
    uint32_t sum = 0;
    count = count < CW_SPARE_MOVES_MAX ? count : CW_SPARE_MOVES_MAX;
    for (uint32_t k = 0; k < p->bursts; k++) {
        size_t best = count;
        double most = 0;
        for (size_t i = 0; i < count; i++) {
            const struct cw_spare_pool *s = &pools[i];
            double over = s->burst - (double)s->vms * s->slots;
            double most_vms = (double)s->vms * p->reserve_share;
            double vms = s->slots > 0 ? over / s->slots : 0;
            vms = vms < most_vms ? vms : most_vms;
            if (!used[i] && !s->spare && vms > most) {
                best = i;
                most = vms;
            }
        }
        if (best == count) {
            break;
        }
        used[best] = true;
        sum += (uint32_t)ceil(most);
    }
    return sum;
}

/* How urgently a pool wants a VM, in slots that it lacks; 0 for not at all. */
static double
shortage(const struct cw_spare_params *p, const struct cw_spare_pool *s)
{
    if (s->vms < s->vms_min) {
        return (double)(s->vms_min - s->vms) * s->slots;
    }
    if (s->spare || s->vms >= s->vms_max || s->slots == 0) {
        return 0;
    }
    double have = capacity(p, s, s->vms);
    double want = rising(p, s);
    if (want <= have * (p->hysteresis ? p->take_above : 1)) {
        return 0;
    }
    return want - have;
}

/* True when the time served within the horizon outweighs the VM's time out of
 * service. */
static bool
pays_off(const struct cw_spare_params *p, const struct cw_spare_pool *s,
         double lack)
{
    if (!p->check_payoff || s->vms < s->vms_min) {
        return true;
    }
    double slots = lack < s->slots ? lack : s->slots;
    double gain = slots * (double)(p->horizon_ms - p->move_ms);
    double cost = (double)s->slots * (double)p->move_ms * p->move_cost;
    return gain > cost;
}

/* True when a pool can lose one VM. Its VMs out of service count as lost. */
static bool
can_give(const struct cw_spare_params *p, const struct cw_spare_pool *s)
{
    if (s->held || s->vms <= s->vms_min || s->ready <= needed(p, s)) {
        return false;
    }
    if (s->vms > s->vms_max || s->spare) {
        return true;
    }
    double have = capacity(p, s, s->vms);
    double left = capacity(p, s, s->vms - 1);
    return lasting(p, s) <= left &&
           (!p->hysteresis || lasting(p, s) < have * p->give_below);
}

/* True when the shortage has lasted, so that the reserve may be used. */
static bool
has_lasted(const struct cw_spare_params *p, const struct cw_spare_pool *s)
{
    return s->vms < s->vms_min ||
           s->avg15 > capacity(p, s, s->vms) * p->take_above;
}

struct plan {
    const struct cw_spare_params *params;
    size_t count;
    const struct cw_spare_pool *pools;
    uint32_t reserve;
    uint32_t given[CW_SPARE_MOVES_MAX];
    bool busy[CW_SPARE_MOVES_MAX];
};

static bool
is_busy(const struct plan *pl, size_t i)
{
    return pl->params->one_per_pool && (pl->busy[i] || pl->pools[i].moving);
}

/* The pool as it is after the moves that this plan already has. */
static struct cw_spare_pool
after_gifts(const struct plan *pl, size_t i)
{
    struct cw_spare_pool s = pl->pools[i];
    s.vms -= pl->given[i];
    s.ready = s.ready > pl->given[i] ? s.ready - pl->given[i] : 0;
    return s;
}

/* The pool that gives a VM to the taker: one with excess before the spare
 * pool, the idlest first, so that the reserve stays for bursts. */
static size_t
find_giver(const struct plan *pl, size_t taker)
{
    size_t best = pl->count;
    double most = 0;
    for (size_t i = 0; i < pl->count; i++) {
        struct cw_spare_pool s = after_gifts(pl, i);
        if (i == taker || is_busy(pl, i) || !can_give(pl->params, &s)) {
            continue;
        }
        uint32_t free_vms = s.ready - needed(pl->params, &s);
        if (s.spare && free_vms <= pl->reserve &&
            !has_lasted(pl->params, &pl->pools[taker])) {
            continue;
        }
        /* The spare pool comes after every other giver. */
        double idle = s.spare ? 1e-6 : 1.0 + free_vms;
        if (idle > most) {
            best = i;
            most = idle;
        }
    }
    return best;
}

static void
add_move(struct plan *pl, struct cw_spare_out *out, size_t from, size_t to,
         const char *cause, double lack)
{
    if (out->count == CW_SPARE_MOVES_MAX) {
        return;
    }
    struct cw_spare_move *m = &out->moves[out->count++];
    m->from = from;
    m->to = to;
    snprintf(m->cause, sizeof(m->cause), "%s: %.1f slots short", cause, lack);
    pl->given[from]++;
    pl->busy[from] = true;
    pl->busy[to] = true;
}

/* The pool with the largest shortage, priority first; count for none. */
static size_t
find_taker(const struct plan *pl, const bool *tried)
{
    size_t best = pl->count;
    double most = 0;
    for (size_t i = 0; i < pl->count; i++) {
        const struct cw_spare_pool *s = &pl->pools[i];
        double lack = shortage(pl->params, s);
        if (lack <= 0 || tried[i] || is_busy(pl, i) ||
            !pays_off(pl->params, s, lack)) {
            continue;
        }
        if (best == pl->count || s->priority > pl->pools[best].priority ||
            (s->priority == pl->pools[best].priority && lack > most)) {
            best = i;
            most = lack;
        }
    }
    return best;
}

/* VMs above vms_max go to the spare pool, and idle ones when it lacks its
 * reserve or when idle VMs are returned unasked. */
static void
refill_spare(struct plan *pl, struct cw_spare_out *out)
{
    size_t to = pl->count;
    for (size_t i = 0; i < pl->count; i++) {
        if (pl->pools[i].spare) {
            to = i;
        }
    }
    if (to == pl->count) {
        return;
    }
    for (size_t i = 0; i < pl->count; i++) {
        struct cw_spare_pool s = after_gifts(pl, i);
        struct cw_spare_pool keep = after_gifts(pl, to);
        uint32_t want = needed(pl->params, &keep) + pl->reserve;
        bool lacks = keep.vms < want;
        if (s.spare || is_busy(pl, i) || is_busy(pl, to) ||
            keep.vms >= keep.vms_max || !can_give(pl->params, &s)) {
            continue;
        }
        if (s.vms > s.vms_max) {
            add_move(pl, out, i, to, "above vms_max", 0);
        }
        else if (lacks || pl->params->return_idle) {
            add_move(
                pl, out, i, to, lacks ? "refill of the spare pool" : "idle",
                (double)(want > keep.vms ? want - keep.vms : 0) * keep.slots);
        }
    }
}

void
cw_spare_decide(const struct cw_spare_params *p, size_t count,
                const struct cw_spare_pool *pools, struct cw_spare_out *out)
{
    memset(out, 0, sizeof(*out));
    struct plan pl = {
        .params = p,
        .pools = pools,
        .count = count < CW_SPARE_MOVES_MAX ? count : CW_SPARE_MOVES_MAX};
    pl.reserve = out->reserve = cw_spare_reserve(p, pl.count, pools);
    bool tried[CW_SPARE_MOVES_MAX] = {0};
    while (p->enabled) {
        size_t to = find_taker(&pl, tried);
        if (to == pl.count) {
            break;
        }
        tried[to] = true;
        size_t from = find_giver(&pl, to);
        if (from < pl.count) {
            add_move(&pl, out, from, to,
                     pools[to].vms < pools[to].vms_min ? "below vms_min"
                                                       : "demand trend",
                     shortage(p, &pools[to]));
        }
    }
    if (p->enabled) {
        refill_spare(&pl, out);
    }
}
