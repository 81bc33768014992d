/* Moves between pools: after demand, for urgent work, and to empty VMs. */
#include "fleet_int.h"

#include <stdlib.h>
#include <string.h>

/* A VM that is idle this long is turned off unless it is needed. Two moves
 * cost as much as two seconds of a VM in a pool, and a VM that is off is no
 * further away than one in another pool. */
#define IDLE_OFF_MS 1000
/* The rate of arriving work is taken over this time. */
#define RATE_WINDOW_MS 500
/* A move and the first contact take this long on top of the move itself. */
#define MOVE_MARGIN_MS 700
/* Forecasts look at this much time from there on. */
#define FORECAST_MS 1500
#define PERIOD_EVERY_MS 1000
#define LOG_EVERY_MS 1000
/* A task that waited this long although there should be room is stuck. */
#define STUCK_MS 400
/* A VM that could not be emptied in this time takes tasks again. */
#define CONSOLIDATE_MAX_MS 8000
/* VMs that a pool never goes below. */
#define POOL_LEAST 2

static struct pool_demand *
demand_of(struct cw_fleet *f, const struct cw_name *service)
{
    struct pool_demand *p = cw_map_get(&f->demand, cw_name_str(service));
    struct pool_demand **grown;

    if (p != NULL) {
        return p;
    }
    p = calloc(1, sizeof(*p));
    grown = realloc(f->curves, (f->curve_count + 1) * sizeof(void *));
    CW_INVARIANT(p != NULL && grown != NULL);
    p->service = *service;
    f->curves = grown;
    f->curves[f->curve_count++] = p;
    CW_INVARIANT(cw_map_put(&f->demand, p) == CW_OK);
    return p;
}

void
cw_fleet_demand_count(struct cw_jobd *d, cw_ms now)
{
    struct cw_fleet *f = d->fleet;

    for (struct cw_pool *p = d->sched->pool_list; p != NULL; p = p->next) {
        struct pool_demand *c = demand_of(f, &p->service);

        cw_curve_add(&c->curve, now, (double)(p->arrived_cpu_ms - c->arrived),
                     (uint32_t)(p->arrived_jobs - c->arrived_jobs));
        c->arrived = p->arrived_cpu_ms;
        c->arrived_jobs = p->arrived_jobs;
    }
    if (now >= f->period_due) {
        const struct cw_demand_curve *curves[64];
        size_t n = f->curve_count < 64 ? f->curve_count : 64;
        cw_ms period;

        for (size_t i = 0; i < n; i++) {
            curves[i] = &f->curves[i]->curve;
        }
        period = cw_curve_period(curves, n, now);
        if (period != f->period) {
            cw_log(CW_INFO, "demand_period", "ms=%lld was=%lld",
                   (long long)period, (long long)f->period);
        }
        f->period = period;
        f->period_due = now + PERIOD_EVERY_MS;
    }
}

/* Up, with a worker that takes tasks, and free for decisions on moves. */
static bool
takes_part(const struct cw_jobd *d, const struct fleet_vm *v, cw_ms now)
{
    return v->order == VM_NONE && v->phase == CW_VM_UP && !v->in_wave &&
           v->reclaim_to.len == 0 && v->worker != NULL &&
           !v->worker->cordoned && v->worker->state == CW_WORKER_READY &&
           cw_fleet_same_life(v) && cw_fleet_vm_ours(d, v, now);
}

/* A VM whose tasks end by themselves, so that it can be taken for another pool
 * soon. */
static bool
can_clear(const struct cw_jobd *d, const struct fleet_vm *v, cw_ms now)
{
    if (v->clearing || !takes_part(d, v, now)) {
        return false;
    }
    for (const struct cw_task *t = v->worker->tasks; t != NULL; t = t->next) {
        if (cw_task_step(t)->lasting) {
            return false;
        }
    }
    return true;
}

/* Runs nothing, and nothing else is planned for it. */
static bool
can_give(const struct cw_jobd *d, const struct fleet_vm *v, cw_ms now)
{
    return cw_fleet_vm_free(d, v, now) && !v->clearing &&
           v->reclaim_to.len == 0 && !v->in_wave;
}

static struct cw_vm_view
vm_view(const struct cw_jobd *d, const struct fleet_vm *v,
        const struct cw_service_entry *s, cw_ms now)
{
    bool moves = v->order == VM_MOVE; /* is about to */
    struct cw_vm_view out = {
        .in_pool = v->listed != 0 &&
                   cw_name_eq(moves ? &v->to : &v->pool, &s->service),
        .reclaimed = cw_name_eq(&v->reclaim_to, &s->service),
        .capacity = v->capacity,
    };

    if (!out.in_pool) {
        return out;
    }
    out.incoming =
        moves || (v->ordered_at != 0 ? now - v->ordered_at < INCOMING_MAX_MS
                                     : v->phase == CW_VM_MOVING &&
                                           v->former_order == VM_MOVE);
    out.serving = s->spare ||
                  (v->worker != NULL && v->worker->state == CW_WORKER_READY &&
                   !v->worker->cordoned);
    out.reclaimable = !s->spare && can_clear(d, v, now);
    out.idle = can_give(d, v, now);
    out.idle_long = out.idle && v->worker != NULL &&
                    now - v->worker->idle_at > IDLE_OFF_MS;
    return out;
}

static struct cw_pool_view
pool_view(struct cw_jobd *d, const struct cw_service_entry *s, cw_ms now)
{
    struct cw_fleet *f = d->fleet;
    struct cw_pool *p = cw_sched_get_pool(d->sched, cw_name_str(&s->service));
    struct cw_pool_view out = {.spare = s->spare, .vms_min = POOL_LEAST};
    struct pool_demand *c = demand_of(f, &s->service);
    double ahead =
        cw_curve_forecast(&c->curve, now, f->period,
                          d->settings.move_ms + MOVE_MARGIN_MS, FORECAST_MS);
    double rate = cw_curve_rate(&c->curve, now, RATE_WINDOW_MS);
    struct cw_pool_load l;
    uint64_t batch;

    for (const struct fleet_vm *v = f->list; v != NULL; v = v->next) {
        struct cw_vm_view view = vm_view(d, v, s, now);

        cw_pool_view_add(&out, &view);
    }
    if (p == NULL) {
        return out;
    }
    l = cw_pool_load(d->sched, p, now);
    batch = l.running.cpu + l.waiting.cpu - l.lasting.cpu;
    if (rate > (double)batch) {
        batch = (uint64_t)rate;
    }
    if (ahead > (double)batch) {
        batch = (uint64_t)ahead;
    }
    out.need_cpu = batch + l.lasting.cpu;
    out.need_mb = l.running.mb + l.waiting.mb;
    out.urgent_cpu = l.urgent.cpu;
    if (rate + (double)l.lasting.cpu > (double)out.urgent_cpu) {
        out.urgent_cpu = (uint64_t)rate + l.lasting.cpu;
    }
    out.urgent_mb = l.urgent.mb;
    out.starved = l.longest_wait_ms > STUCK_MS;
    if (l.longest_label_wait_ms > STUCK_MS) {
        out.label = l.label;
    }
    out.lasting_waits = l.lasting_waits && out.starved;
    return out;
}

static void
run_transfers(struct cw_jobd *d, const struct cw_pool_view *views,
              const struct cw_vm_transfer *moves, size_t count, cw_ms now)
{
    static const struct cw_name no_label;
    size_t n = 0;
    struct fleet_vm **vms;
    struct cw_release_candidate *rows;
    size_t *order;

    if (count == 0) {
        return;
    }
    vms = calloc(d->fleet->vm_count, sizeof(void *));
    rows = calloc(d->fleet->vm_count, sizeof(*rows));
    order = calloc(d->fleet->vm_count, sizeof(*order));
    CW_INVARIANT(vms != NULL && rows != NULL && order != NULL);
    for (struct fleet_vm *v = d->fleet->list; v != NULL; v = v->next) {
        vms[n] = v;
        rows[n++] = (struct cw_release_candidate){
            .pool = &v->pool,
            .kind = v->label_count > 0 ? &v->labels[0] : &no_label,
            .movable = can_give(d, v, now),
            .idle_at = v->worker == NULL ? 0 : v->worker->idle_at,
        };
    }
    for (size_t i = 0; i < count; i++) {
        const struct cw_name *from =
            &d->config.services[moves[i].from].service;
        const struct cw_name *to = &d->config.services[moves[i].to].service;
        size_t can = cw_fleet_release_order(rows, n, from, order);

        for (size_t k = 0; k < moves[i].count && k < can; k++) {
            struct fleet_vm *v = vms[order[k]];

            cw_log(CW_INFO, "vm_move",
                   "vm=%s from=%s to=%s need=%llu vms=%u period=%lld",
                   v->name.text, from->text, to->text,
                   (unsigned long long)views[moves[i].to].need_cpu,
                   views[moves[i].to].vms, (long long)d->fleet->period);
            cw_fleet_order(d, v, VM_MOVE, to, 0);
            rows[order[k]].movable = false;
        }
    }
    free(vms);
    free(rows);
    free(order);
}

static struct fleet_vm *
less_busy(struct fleet_vm *best, struct fleet_vm *v)
{
    return best == NULL || v->worker->task_count < best->worker->task_count
               ? v
               : best;
}

/* The VM of a pool that will be clear of tasks first. */
static struct fleet_vm *
vm_to_clear(struct cw_jobd *d, const struct cw_name *pool, cw_ms now)
{
    struct fleet_vm *best = NULL;

    for (struct fleet_vm *v = d->fleet->list; v != NULL; v = v->next) {
        if (cw_name_eq(&v->pool, pool) && can_clear(d, v, now)) {
            best = less_busy(best, v);
        }
    }
    return best;
}

/* The pool has the VMs that its urgent work needs. */
static bool
is_supplied(const struct cw_jobd *d, const struct cw_pool_view *views,
            size_t n, const struct cw_name *service)
{
    for (size_t i = 0; i < n; i++) {
        if (cw_name_eq(&d->config.services[i].service, service)) {
            return cw_pool_urgent_satisfied(&views[i]);
        }
    }
    return true;
}

/* Moves VMs that were cleared for another pool; those that it no longer needs
 * stay. */
static void
finish_reclaims(struct cw_jobd *d, const struct cw_pool_view *views, size_t n,
                cw_ms now)
{
    for (struct fleet_vm *v = d->fleet->list; v != NULL; v = v->next) {
        struct cw_name to = v->reclaim_to;
        bool left = v->worker == NULL || v->phase != CW_VM_UP;
        bool stays = to.len > 0 && is_supplied(d, views, n, &to);

        if (to.len == 0 || (!left && !stays && !cw_fleet_vm_free(d, v, now))) {
            continue;
        }
        v->reclaim_to.len = 0;
        v->reclaim_to.text[0] = '\0';
        if (!left && stays) {
            v->worker->cordoned = false;
            d->sched->plan_due = true;
        }
        else if (!left) {
            cw_fleet_order(d, v, VM_MOVE, &to, 0);
        }
    }
}

static void
run_reclaims(struct cw_jobd *d, const struct cw_pool_view *views, size_t n,
             cw_ms now)
{
    struct cw_vm_transfer *moves = calloc(n * n + 1, sizeof(*moves));
    size_t count;

    CW_INVARIANT(moves != NULL);
    count = cw_fleet_plan_reclaims(views, n, moves);
    for (size_t i = 0; i < count; i++) {
        const struct cw_name *from =
            &d->config.services[moves[i].from].service;
        const struct cw_name *to = &d->config.services[moves[i].to].service;

        for (uint32_t k = 0; k < moves[i].count; k++) {
            struct fleet_vm *v = vm_to_clear(d, from, now);

            if (v == NULL) {
                break;
            }
            cw_log(CW_INFO, "vm_reclaim",
                   "vm=%s from=%s to=%s tasks=%u urgent=%llu vms=%u",
                   v->name.text, from->text, to->text, v->worker->task_count,
                   (unsigned long long)views[moves[i].to].urgent_cpu,
                   views[moves[i].to].vms);
            v->reclaim_to = *to;
            v->worker->cordoned = true;
        }
    }
    free(moves);
    finish_reclaims(d, views, n, now);
}

/* A task that needs a label waits for a VM that has it: an idle one moves,
 * else one without lasting tasks is cleared. */
static void
pull_label(struct cw_jobd *d, const struct cw_pool_view *view,
           const struct cw_name *service, cw_ms now)
{
    struct fleet_vm *idle = NULL;
    struct fleet_vm *busy = NULL;

    if (view->label.len == 0 || view->incoming > 0 || view->reclaiming > 0) {
        return;
    }
    for (struct fleet_vm *v = d->fleet->list; v != NULL; v = v->next) {
        if (cw_name_eq(&v->pool, service) ||
            !cw_has_label(v->labels, v->label_count, &view->label)) {
            continue;
        }
        if (can_give(d, v, now)) {
            idle = v;
        }
        else if (can_clear(d, v, now)) {
            busy = less_busy(busy, v);
        }
    }
    if (idle == NULL && busy == NULL) {
        return;
    }
    cw_log(CW_INFO, "vm_for_label", "vm=%s label=%s to=%s idle=%d",
           idle != NULL ? idle->name.text : busy->name.text, view->label.text,
           service->text, idle != NULL);
    if (idle != NULL) {
        cw_fleet_order(d, idle, VM_MOVE, service, 0);
    }
    else {
        busy->reclaim_to = *service;
        busy->worker->cordoned = true;
    }
}

/* Runs nothing but lasting tasks, all of which others have room for. */
static bool
can_consolidate(const struct cw_jobd *d, const struct fleet_vm *v, cw_ms now)
{
    if (!takes_part(d, v, now) || v->worker->tasks == NULL) {
        return false;
    }
    for (const struct cw_task *t = v->worker->tasks; t != NULL; t = t->next) {
        if (!cw_task_step(t)->lasting || !cw_task_may_stop(t, now) ||
            !cw_sched_fits_elsewhere(t, true, now)) {
            return false;
        }
    }
    return true;
}

/* Empties the VM with the least on it in a pool that has more than it needs:
 * the move of a lasting task costs about as much as a second of a VM. One VM
 * of a pool at a time. */
static void
consolidate(struct cw_jobd *d, const struct cw_pool_view *view,
            const struct cw_name *service, cw_ms now)
{
    struct fleet_vm *best = NULL;

    for (struct fleet_vm *v = d->fleet->list; v != NULL; v = v->next) {
        if (!cw_name_eq(&v->pool, service)) {
            continue;
        }
        if (v->consolidating) {
            if (v->worker == NULL || v->worker->tasks == NULL ||
                view->starved ||
                now - v->consolidate_at > CONSOLIDATE_MAX_MS) {
                v->consolidating = false;
                if (v->worker != NULL && v->order == VM_NONE) {
                    v->worker->cordoned = false;
                }
                continue;
            }
            cw_fleet_evacuate(d, v, true, true, "consolidate", now);
            return;
        }
        if (can_consolidate(d, v, now)) {
            best = less_busy(best, v);
        }
    }
    if (best != NULL && view->vms > cw_pool_vms_wanted(view) + 1 &&
        !view->starved && view->incoming == 0 && view->idle == 0) {
        best->consolidating = true;
        best->consolidate_at = now;
        best->worker->cordoned = true;
        cw_log(CW_INFO, "vm_consolidate", "vm=%s service=%s tasks=%u vms=%u",
               best->name.text, service->text, best->worker->task_count,
               view->vms);
    }
}

#define SERVICES_MAX 64

/* One line a second on what the moves are decided from. */
static void
log_pools(struct cw_jobd *d, const struct cw_pool_view *views, size_t n,
          cw_ms now)
{
    struct cw_buf b;

    if (now < d->fleet->log_due) {
        return;
    }
    d->fleet->log_due = now + LOG_EVERY_MS;
    cw_buf_init(&b);
    for (size_t i = 0; i < n; i++) {
        const struct cw_pool_view *v = &views[i];

        cw_buf_addf(&b,
                    "%s%s:vms=%u,incoming=%u,idle=%u,wanted=%u,need=%llu%s",
                    i == 0 ? "" : " ", d->config.services[i].service.text,
                    v->vms, v->incoming, v->idle, cw_pool_vms_wanted(v),
                    (unsigned long long)v->need_cpu / 1000,
                    v->starved ? ",stuck" : "");
    }
    cw_log(CW_INFO, "pools", "period=%lld %.*s", (long long)d->fleet->period,
           (int)b.len, b.ptr);
    cw_buf_finish(&b);
}

void
cw_fleet_moves_run(struct cw_jobd *d, cw_ms now)
{
    struct cw_pool_view views[SERVICES_MAX];
    struct cw_vm_transfer moves[SERVICES_MAX * SERVICES_MAX];
    size_t n = d->config.service_count;
    size_t count;

    if (n > SERVICES_MAX) {
        n = SERVICES_MAX;
    }
    for (size_t i = 0; i < n; i++) {
        views[i] = pool_view(d, &d->config.services[i], now);
    }
    log_pools(d, views, n, now);
    count = cw_fleet_plan_transfers(views, n, moves);
    run_transfers(d, views, moves, count, now);
    run_reclaims(d, views, n, now);
    for (size_t i = 0; i < n; i++) {
        if (!views[i].spare) {
            pull_label(d, &views[i], &d->config.services[i].service, now);
            consolidate(d, &views[i], &d->config.services[i].service, now);
        }
    }
}
