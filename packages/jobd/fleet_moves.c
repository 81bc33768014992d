/* Moves between pools: after demand, for urgent work, and to empty VMs. */
#include "fleet_int.h"

#include <stdlib.h>
#include <string.h>

/* A VM that is idle this long is turned off unless it is needed: two moves
 * cost as much as a VM costs in a pool for somewhat over two seconds. */
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

/* A VM whose tasks end by themselves, so that it can be taken for another pool
 * soon. */
static bool
can_clear(const struct cw_jobd *d, const struct fleet_vm *v, cw_ms now)
{
    if (v->order != VM_NONE || v->phase != CW_VM_UP || v->clearing ||
        v->reclaim_to.len > 0 || v->worker == NULL || v->worker->cordoned ||
        v->worker->state != CW_WORKER_READY || !cw_fleet_same_life(v) ||
        !cw_fleet_vm_ours(d, v, now) || v->in_wave) {
        return false;
    }
    for (const struct cw_task *t = v->worker->tasks; t != NULL; t = t->next) {
        if (cw_task_step(t)->lasting) {
            return false;
        }
    }
    return true;
}

static struct cw_pool_view
pool_view(struct cw_jobd *d, const struct cw_service_entry *s, cw_ms now)
{
    struct cw_fleet *f = d->fleet;
    struct cw_pool *p = cw_sched_pool(d->sched, cw_name_str(&s->service));
    struct cw_pool_view out = {.spare = s->spare, .least = POOL_LEAST};
    struct pool_demand *c = demand_of(f, &s->service);
    double ahead =
        cw_curve_forecast(&c->curve, now, f->period,
                          d->settings.move_ms + MOVE_MARGIN_MS, FORECAST_MS);
    double rate = cw_curve_rate(&c->curve, now, RATE_WINDOW_MS);
    struct cw_pool_load l;
    uint64_t batch;

    for (const struct fleet_vm *v = f->list; v != NULL; v = v->next) {
        bool coming =
            v->ordered_at != 0 && now - v->ordered_at < INCOMING_MAX_MS;

        if (!cw_name_eq(&v->pool, &s->service) || v->listed == 0) {
            continue;
        }
        if (v->capacity.cpu_milli > out.vm_cpu) {
            out.vm_cpu = v->capacity.cpu_milli;
            out.vm_mb = v->capacity.memory_mb;
        }
        if (s->spare || coming ||
            (v->worker != NULL && v->worker->state == CW_WORKER_READY &&
             !v->worker->cordoned)) {
            out.vms++;
            out.incoming += coming ? 1 : 0;
        }
        out.clearable += !s->spare && can_clear(d, v, now) ? 1 : 0;
        if (cw_fleet_vm_free(d, v, now) && !v->clearing &&
            v->reclaim_to.len == 0 && !v->in_wave) {
            out.idle++;
            out.idle_long +=
                v->worker != NULL && now - v->worker->idle_at > IDLE_OFF_MS
                    ? 1
                    : 0;
        }
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
    out.stuck = l.waits_ms > STUCK_MS;
    if (l.label_waits_ms > STUCK_MS) {
        out.label = l.label;
    }
    out.lasting_waits = l.lasting_waits && out.stuck;
    return out;
}

static bool
vm_has_label(const struct fleet_vm *v, const struct cw_name *label)
{
    for (size_t i = 0; i < v->label_count; i++) {
        if (cw_name_eq(&v->labels[i], label)) {
            return true;
        }
    }
    return false;
}

/* VMs of a pool that have the first label, the kind, of this one. */
static uint32_t
of_kind(const struct cw_jobd *d, const struct fleet_vm *v)
{
    uint32_t n = 0;

    for (const struct fleet_vm *o = d->fleet->list; o != NULL; o = o->next) {
        n += cw_name_eq(&o->pool, &v->pool) && o->label_count > 0 &&
                     v->label_count > 0 &&
                     cw_name_eq(&o->labels[0], &v->labels[0])
                 ? 1
                 : 0;
    }
    return n;
}

/* The VM that its pool misses least: of the commonest kind, idle longest. */
static bool
better_to_give(const struct cw_jobd *d, const struct fleet_vm *a,
               const struct fleet_vm *b)
{
    uint32_t na = of_kind(d, a);
    uint32_t nb = of_kind(d, b);

    if (na != nb) {
        return na > nb;
    }
    return a->worker != NULL && b->worker != NULL &&
           a->worker->idle_at < b->worker->idle_at;
}

static struct fleet_vm *
free_vm(struct cw_jobd *d, const struct cw_name *pool, cw_ms now)
{
    struct fleet_vm *best = NULL;

    for (struct fleet_vm *v = d->fleet->list; v != NULL; v = v->next) {
        if (!cw_name_eq(&v->pool, pool) || !cw_fleet_vm_free(d, v, now) ||
            v->clearing || v->reclaim_to.len > 0 || v->in_wave) {
            continue;
        }
        if (best == NULL || better_to_give(d, v, best)) {
            best = v;
        }
    }
    return best;
}

/* The VM of a pool that will be clear of tasks first. */
static struct fleet_vm *
vm_to_clear(struct cw_jobd *d, const struct cw_name *pool, cw_ms now)
{
    struct fleet_vm *best = NULL;

    for (struct fleet_vm *v = d->fleet->list; v != NULL; v = v->next) {
        if (cw_name_eq(&v->pool, pool) && can_clear(d, v, now) &&
            (best == NULL ||
             v->worker->task_count < best->worker->task_count)) {
            best = v;
        }
    }
    return best;
}

/* Moves VMs that were cleared for another pool. */
static void
finish_reclaims(struct cw_jobd *d, cw_ms now)
{
    for (struct fleet_vm *v = d->fleet->list; v != NULL; v = v->next) {
        struct cw_name to = v->reclaim_to;
        bool left = v->worker == NULL || v->phase != CW_VM_UP;

        if (to.len == 0 || (!left && !cw_fleet_vm_free(d, v, now))) {
            continue;
        }
        v->reclaim_to.len = 0;
        v->reclaim_to.text[0] = '\0';
        if (!left) {
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
    count = cw_fleet_reclaims(views, n, moves);
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
    finish_reclaims(d, now);
}

/* A task that needs a label waits for a VM that has it: an idle one moves,
 * else one without lasting tasks is cleared. */
static void
pull_label(struct cw_jobd *d, const struct cw_pool_view *view,
           const struct cw_name *service, cw_ms now)
{
    struct fleet_vm *idle = NULL;
    struct fleet_vm *busy = NULL;

    if (view->label.len == 0 || view->incoming > 0 || view->clearing > 0) {
        return;
    }
    for (struct fleet_vm *v = d->fleet->list; v != NULL; v = v->next) {
        if (cw_name_eq(&v->pool, service) || !vm_has_label(v, &view->label) ||
            v->clearing || v->reclaim_to.len > 0 || v->in_wave) {
            continue;
        }
        if (cw_fleet_vm_free(d, v, now)) {
            idle = v;
        }
        else if (can_clear(d, v, now) &&
                 (busy == NULL ||
                  v->worker->task_count < busy->worker->task_count)) {
            busy = v;
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
    if (v->order != VM_NONE || v->phase != CW_VM_UP || v->in_wave ||
        v->reclaim_to.len > 0 || v->worker == NULL || v->worker->cordoned ||
        v->worker->state != CW_WORKER_READY || v->worker->tasks == NULL ||
        !cw_fleet_same_life(v) || !cw_fleet_vm_ours(d, v, now)) {
        return false;
    }
    for (const struct cw_task *t = v->worker->tasks; t != NULL; t = t->next) {
        if (!cw_task_step(t)->lasting || !cw_task_may_stop(t, now) ||
            !cw_sched_room_elsewhere(t, true, now)) {
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
            if (v->worker == NULL || v->worker->tasks == NULL || view->stuck ||
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
        if (can_consolidate(d, v, now) &&
            (best == NULL ||
             v->worker->task_count < best->worker->task_count)) {
            best = v;
        }
    }
    if (best != NULL && view->vms > cw_pool_wanted(view) + 1 && !view->stuck &&
        view->incoming == 0 && view->idle == 0) {
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

        cw_buf_addf(
            &b, "%s%s:vms=%u,incoming=%u,idle=%u,wanted=%u,need=%llu%s",
            i == 0 ? "" : " ", d->config.services[i].service.text, v->vms,
            v->incoming, v->idle, cw_pool_wanted(v),
            (unsigned long long)v->need_cpu / 1000, v->stuck ? ",stuck" : "");
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
    count = cw_fleet_transfers(views, n, moves);
    for (size_t i = 0; i < count; i++) {
        const struct cw_name *from =
            &d->config.services[moves[i].from].service;
        const struct cw_name *to = &d->config.services[moves[i].to].service;

        for (uint32_t k = 0; k < moves[i].count; k++) {
            struct fleet_vm *v = free_vm(d, from, now);

            if (v == NULL) {
                break;
            }
            cw_log(CW_INFO, "vm_move",
                   "vm=%s from=%s to=%s need=%llu vms=%u period=%lld",
                   v->name.text, from->text, to->text,
                   (unsigned long long)views[moves[i].to].need_cpu,
                   views[moves[i].to].vms, (long long)d->fleet->period);
            cw_fleet_order(d, v, VM_MOVE, to, 0);
        }
    }
    run_reclaims(d, views, n, now);
    for (size_t i = 0; i < n; i++) {
        if (!views[i].spare) {
            pull_label(d, &views[i], &d->config.services[i].service, now);
            consolidate(d, &views[i], &d->config.services[i].service, now);
        }
    }
}
