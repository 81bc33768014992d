/* Decides moves of VMs between pools by demand trends over minutes. */
#include "cuminwalk.h"

#include <math.h>
#include <string.h>

struct cw_spare_params
cw_spare_defaults(void)
{
    return (struct cw_spare_params){
        .headroom = 0.2,
        .grow_above = 1.15,
        .shrink_below = 0.70,
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

/* Demand that can justify adding a VM: the 2 min average, capped at
 * trend_limit times the 15 min average. */
static double
rising_demand(const struct cw_spare_params *p, const struct cw_spare_pool *s)
{
    if (!p->use_trend) {
        return s->demand_now;
    }
    double bound = s->avg_15min * p->trend_limit;
    return s->avg_2min < bound ? s->avg_2min : bound;
}

/* Demand that a pool has to be able to serve after it lost a VM. */
static double
lasting_demand(const struct cw_spare_params *p, const struct cw_spare_pool *s)
{
    if (!p->use_trend) {
        return s->demand_now;
    }
    return s->avg_2min > s->avg_15min ? s->avg_2min : s->avg_15min;
}

/* Demand in slots that the VMs can serve with the headroom kept free. */
static double
slot_capacity(const struct cw_spare_params *p, const struct cw_spare_pool *s,
              uint32_t vms)
{
    return (double)vms * s->slots / (1 + p->headroom);
}

static uint32_t
needed_vms(const struct cw_spare_params *p, const struct cw_spare_pool *s)
{
    struct cw_budget_params b = {.headroom = p->headroom};
    return cw_vms_needed(&b, s->vms_min, lasting_demand(p, s), s->slots);
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
            double excess = s->burst - (double)s->vms * s->slots;
            double max_vms = (double)s->vms * p->reserve_share;
            double vms = s->slots > 0 ? excess / s->slots : 0;
            vms = vms < max_vms ? vms : max_vms;
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

/* Slots that the pool lacks; 0 when it needs no further VM. */
static double
shortage(const struct cw_spare_params *p, const struct cw_spare_pool *s)
{
    if (s->vms < s->vms_min) {
        return (double)(s->vms_min - s->vms) * s->slots;
    }
    if (s->spare || s->vms >= s->vms_max || s->slots == 0) {
        return 0;
    }
    double current = slot_capacity(p, s, s->vms);
    double demand = rising_demand(p, s);
    if (demand <= current * (p->hysteresis ? p->grow_above : 1)) {
        return 0;
    }
    return demand - current;
}

/* True when the slot time gained within the horizon exceeds the weighted slot
 * time lost while the VM is out of service. */
static bool
pays_off(const struct cw_spare_params *p, const struct cw_spare_pool *s,
         double missing)
{
    if (!p->check_payoff || s->vms < s->vms_min) {
        return true;
    }
    double slots = missing < s->slots ? missing : s->slots;
    double gain = slots * (double)(p->horizon_ms - p->move_ms);
    double cost = (double)s->slots * (double)p->move_ms * p->move_cost;
    return gain > cost;
}

/* True when the pool can release one VM. Its VMs out of service count as lost.
 */
static bool
can_release_vm(const struct cw_spare_params *p, const struct cw_spare_pool *s)
{
    if (s->held || s->vms <= s->vms_min || s->ready <= needed_vms(p, s)) {
        return false;
    }
    if (s->vms > s->vms_max || s->spare) {
        return true;
    }
    double current = slot_capacity(p, s, s->vms);
    double left = slot_capacity(p, s, s->vms - 1);
    return lasting_demand(p, s) <= left &&
           (!p->hysteresis ||
            lasting_demand(p, s) < current * p->shrink_below);
}

/* True when the pool is below vms_min or its long average shows the shortage
 * as well, so that the reserve may be used. */
static bool
is_lasting_shortage(const struct cw_spare_params *p,
                    const struct cw_spare_pool *s)
{
    return s->vms < s->vms_min ||
           s->avg_15min > slot_capacity(p, s, s->vms) * p->grow_above;
}

struct plan {
    const struct cw_spare_params *params;
    size_t count;
    const struct cw_spare_pool *pools;
    uint32_t reserve;
    uint32_t outgoing[CW_SPARE_MOVES_MAX];
    bool busy[CW_SPARE_MOVES_MAX];
};

static bool
is_busy(const struct plan *pl, size_t i)
{
    return pl->params->one_per_pool && (pl->busy[i] || pl->pools[i].moving);
}

/* The pool after the outgoing moves that are already in the plan. */
static struct cw_spare_pool
pool_after_moves(const struct plan *pl, size_t i)
{
    struct cw_spare_pool s = pl->pools[i];
    s.vms -= pl->outgoing[i];
    s.ready = s.ready > pl->outgoing[i] ? s.ready - pl->outgoing[i] : 0;
    return s;
}

/* The pool that releases a VM for the recipient; count for none. The pool with
 * the most VMs to spare goes first and the spare pool last, so that its
 * reserve stays available for bursts. */
static size_t
find_donor(const struct plan *pl, size_t recipient)
{
    size_t best = pl->count;
    double most = 0;
    for (size_t i = 0; i < pl->count; i++) {
        struct cw_spare_pool s = pool_after_moves(pl, i);
        if (i == recipient || is_busy(pl, i) ||
            !can_release_vm(pl->params, &s)) {
            continue;
        }
        uint32_t free_vms = s.ready - needed_vms(pl->params, &s);
        if (s.spare && free_vms <= pl->reserve &&
            !is_lasting_shortage(pl->params, &pl->pools[recipient])) {
            continue;
        }
        /* The spare pool ranks after every other donor. */
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
         const char *cause, double missing)
{
    if (out->count == CW_SPARE_MOVES_MAX) {
        return;
    }
    struct cw_spare_move *m = &out->moves[out->count++];
    m->from = from;
    m->to = to;
    snprintf(m->cause, sizeof(m->cause), "%s: %.1f slots short", cause,
             missing);
    pl->outgoing[from]++;
    pl->busy[from] = true;
    pl->busy[to] = true;
}

/* The pool with the highest priority and then the largest shortage; count for
 * none. */
static size_t
find_recipient(const struct plan *pl, const bool *tried)
{
    size_t best = pl->count;
    double most = 0;
    for (size_t i = 0; i < pl->count; i++) {
        const struct cw_spare_pool *s = &pl->pools[i];
        double missing = shortage(pl->params, s);
        if (missing <= 0 || tried[i] || is_busy(pl, i) ||
            !pays_off(pl->params, s, missing)) {
            continue;
        }
        if (best == pl->count || s->priority > pl->pools[best].priority ||
            (s->priority == pl->pools[best].priority && missing > most)) {
            best = i;
            most = missing;
        }
    }
    return best;
}

/* Moves VMs above vms_max to the spare pool, and idle VMs when the spare pool
 * is below its reserve or return_idle is set. */
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
        struct cw_spare_pool s = pool_after_moves(pl, i);
        struct cw_spare_pool spare_pool = pool_after_moves(pl, to);
        uint32_t target = needed_vms(pl->params, &spare_pool) + pl->reserve;
        bool below_reserve = spare_pool.vms < target;
        if (s.spare || is_busy(pl, i) || is_busy(pl, to) ||
            spare_pool.vms >= spare_pool.vms_max ||
            !can_release_vm(pl->params, &s)) {
            continue;
        }
        if (s.vms > s.vms_max) {
            add_move(pl, out, i, to, "above vms_max", 0);
        }
        else if (below_reserve || pl->params->return_idle) {
            add_move(pl, out, i, to,
                     below_reserve ? "refill of the spare pool" : "idle",
                     (double)(target > spare_pool.vms ? target - spare_pool.vms
                                                      : 0) *
                         spare_pool.slots);
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
        size_t to = find_recipient(&pl, tried);
        if (to == pl.count) {
            break;
        }
        tried[to] = true;
        size_t from = find_donor(&pl, to);
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
