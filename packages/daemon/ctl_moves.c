/* Decides which VMs to move between pools and begins the moves out of pools
 * that this daemon holds. */
#include "cw_ctl_maint.h"

#include <math.h>
#include <string.h>

/* Demand of a service during a burst, as a multiple of its average. */
#define BURST_FACTOR 5.0

struct fleet {
    size_t count;
    const struct cw_doc_entry *docs[CW_SPARE_MOVES_MAX];
    struct cw_spare_pool pools[CW_SPARE_MOVES_MAX];
};

static bool
is_moving(const struct cw_daemon *d, const struct cw_name *pool)
{
    for (size_t i = 0; i < d->state.vm_count; i++) {
        const struct cw_op_entry *o = d->ctl_maint->last_ops[i];
        if (o != NULL && o->open && o->rec.kind == CW_OP_MOVE &&
            (cw_name_eq(&o->rec.from, pool) || cw_name_eq(&o->rec.to, pool))) {
            return true;
        }
    }
    return false;
}

static bool
is_wave_on_hold(const struct cw_daemon *d, const struct cw_name *pool)
{
    struct cw_name scope;
    cw_ctl_pool_scope(pool, &scope);
    const struct cw_wave_entry *w =
        cw_state_open_wave(&d->state, cw_name_str(&scope));
    return w != NULL && w->last_action == CW_WAVE_HOLD;
}

static void
gather_pools(const struct cw_daemon *d, struct fleet *f)
{
    const struct cw_loads *l = &d->ctl_maint->loads;
    memset(f, 0, sizeof(*f));
    for (size_t i = 0; i < d->state.doc_count; i++) {
        const struct cw_doc_entry *e = d->state.docs[i];
        const struct cw_doc *doc = &e->doc;
        if (f->count == CW_SPARE_MOVES_MAX) {
            return;
        }
        double avg_15min =
            cw_loads_demand(l, d, &doc->service, 15 * CW_MINUTE);
        f->docs[f->count] = e;
        f->pools[f->count++] = (struct cw_spare_pool){
            .pool = cw_name_str(&doc->pool),
            .vms = (uint32_t)cw_state_pool_size(&d->state,
                                                cw_name_str(&doc->pool)),
            .ready = cw_ops_count_ready(d, &doc->pool),
            .vms_min = doc->vms_min,
            .vms_max = doc->vms_max,
            .slots = doc->slots,
            .priority = doc->priority,
            .spare = doc->spare_pool,
            .moving = is_moving(d, &doc->pool),
            .held = is_wave_on_hold(d, &doc->pool),
            .avg_2min = cw_loads_demand(l, d, &doc->service, 2 * CW_MINUTE),
            .avg_15min = avg_15min,
            .burst = avg_15min * BURST_FACTOR,
        };
    }
}

static uint32_t
count_in_dc(const struct cw_daemon *d, const struct cw_name *pool,
            const struct cw_name *dc)
{
    uint32_t n = 0;
    for (size_t i = 0; i < d->state.vm_count; i++) {
        n += cw_name_eq(&d->state.vms[i]->pool, pool) &&
             cw_name_eq(&d->state.vms[i]->dc, dc);
    }
    return n;
}

/* Chooses the VM to move: from the data centre in which the target pool has
 * the fewest VMs, and among those the VM maintained longest ago. */
static size_t
choose_vm(const struct cw_daemon *d, const struct cw_name *from,
          const struct cw_name *to)
{
    const struct cw_state *s = &d->state;
    size_t best = s->vm_count;
    uint32_t best_count = 0;
    for (size_t i = 0; i < s->vm_count; i++) {
        if (!cw_name_eq(&s->vms[i]->pool, from) || !cw_ops_in_service(d, i)) {
            continue;
        }
        uint32_t n = count_in_dc(d, to, &s->vms[i]->dc);
        if (best == s->vm_count || n < best_count ||
            (n == best_count &&
             s->vms[i]->maintained < s->vms[best]->maintained)) {
            best = i;
            best_count = n;
        }
    }
    return best;
}

static void
begin_move(struct cw_daemon *d, const struct fleet *f,
           const struct cw_spare_move *m, cw_ms now)
{
    struct cw_name from = f->docs[m->from]->doc.pool;
    struct cw_name to = f->docs[m->to]->doc.pool;
    struct cw_pool_ctl *ctl = cw_pool_ctl_get(d, &from);
    struct cw_name scope;
    cw_ctl_pool_scope(&from, &scope);
    if (ctl == NULL || ctl->pending > 0 ||
        !cw_daemon_holds(d, cw_name_str(&scope), now)) {
        return;
    }
    size_t vm = choose_vm(d, &from, &to);
    if (vm < d->state.vm_count) {
        cw_ops_begin(d, CW_OP_MOVE, vm, &to, NULL, m->cause,
                     f->docs[m->to]->version);
    }
}

void
cw_ctl_run_moves(struct cw_daemon *d, cw_ms now)
{
    static struct fleet f;
    const struct cw_settings *st = d->settings;
    struct cw_spare_params p = cw_spare_defaults();
    struct cw_spare_out out;
    if (!cw_loads_known(&d->ctl_maint->loads, d) ||
        !cw_ops_members_stable(d, now)) {
        return;
    }
    p.bursts = st->spare_bursts;
    /* An idle VM serves its pool as buffer, and returning it costs a move. */
    p.return_idle = st->weight_buffer >= st->weight_rollout &&
                    st->weight_buffer >= st->weight_moves;
    if (!cw_loads_cover(&d->ctl_maint->loads, d, 15 * CW_MINUTE)) {
        /* The demand trend is not known yet: VMs are moved only to keep pools
         * within vms_min and vms_max of their documents. */
        p.grow_above = INFINITY;
        p.return_idle = false;
    }
    gather_pools(d, &f);
    cw_spare_decide(&p, f.count, f.pools, &out);
    for (size_t i = 0; i < out.count; i++) {
        begin_move(d, &f, &out.moves[i], now);
    }
}
