/* Moves of VMs between pools: by demand, for urgent work, and to consolidate
 * lasting tasks on fewer VMs. */
#include "cw_fit.h"
#include "fleet_int.h"

#include <stdlib.h>
#include <string.h>

/* A VM that is idle this long is turned off unless it is needed. Two moves
 * cost as much as two seconds of a VM in a pool, and moving a VM in from a
 * spare pool takes no longer than from another pool. */
#define IDLE_OFF_MS 1000
/* Averaging window of the rate of arriving work, and its limit for queues with
 * few jobs. */
#define RATE_WINDOW_MS 500
#define RATE_WINDOW_MAX_MS 1500
/* Time from the end of a move until the first contact with the worker. */
#define MOVE_MARGIN_MS 700
/* Length of the forecast; it starts when a VM moved now can accept tasks. */
#define FORECAST_MS 1500
#define PERIOD_SEARCH_INTERVAL_MS 1000
#define LOG_INTERVAL_MS 1000
/* A task that waits longer than this although the pool's total capacity is
 * sufficient is starved. */
#define STARVED_MS 400
/* Consolidation of a VM is abandoned after this time. */
#define CONSOLIDATE_MAX_MS 8000
#define POOL_VMS_MIN 2

static struct pool_demand *
get_demand(struct cw_fleet *f, const struct cw_name *service)
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
cw_fleet_demand_update(struct cw_jobd *d, cw_ms now)
{
    struct cw_fleet *f = d->fleet;

    for (struct cw_pool *p = d->sched->pool_list; p != NULL; p = p->next) {
        struct pool_demand *c = get_demand(f, &p->service);

        cw_curve_add(&c->curve, now,
                     (double)(p->arrived_cpu_ms - c->counted_cpu_ms),
                     (uint32_t)(p->arrived_jobs - c->counted_jobs));
        c->counted_cpu_ms = p->arrived_cpu_ms;
        c->counted_jobs = p->arrived_jobs;
    }
    if (now >= f->demand_period_due) {
        const struct cw_demand_curve *curves[64];
        size_t n = f->curve_count < 64 ? f->curve_count : 64;
        cw_ms period;

        for (size_t i = 0; i < n; i++) {
            curves[i] = &f->curves[i]->curve;
        }
        period = cw_curve_period(curves, n, now);
        if (period != f->demand_period) {
            cw_log(CW_INFO, "demand_period", "ms=%lld was=%lld",
                   (long long)period, (long long)f->demand_period);
        }
        f->demand_period = period;
        f->demand_period_due = now + PERIOD_SEARCH_INTERVAL_MS;
    }
}

/* Up, with a worker that accepts tasks, and not part of a move or a wave. */
static bool
is_available(const struct cw_jobd *d, const struct fleet_vm *v, cw_ms now)
{
    return v->order == VM_NONE && v->phase == CW_VM_UP && !v->left &&
           !v->wave_pending && v->reclaim_pool.len == 0 && v->worker != NULL &&
           !cw_fleet_vm_is_cordoned(v) && !v->worker->unanswered &&
           v->worker->state == CW_WORKER_READY && cw_fleet_vm_same_worker(v) &&
           cw_fleet_vm_may_order(d, v, now);
}

/* The VM has no lasting tasks, so that it will soon be idle and can move to
 * another pool. */
static bool
is_reclaimable(const struct cw_jobd *d, const struct fleet_vm *v, cw_ms now)
{
    return !v->draining && v->worker != NULL &&
           v->worker->lasting_count == 0 && is_available(d, v, now);
}

/* Idle, with no move or maintenance planned. */
static bool
can_move(const struct cw_jobd *d, const struct fleet_vm *v, cw_ms now)
{
    return cw_fleet_vm_is_idle(d, v, now) && !v->draining &&
           v->reclaim_pool.len == 0 && !v->wave_pending;
}

/* A VM as seen from the pool that it is in or moves to. */
static struct cw_vm_view
vm_view(const struct cw_jobd *d, const struct fleet_vm *v,
        const struct cw_service_entry *s, cw_ms now)
{
    bool move_ordered = v->order == VM_MOVE; /* not yet accepted */
    struct cw_vm_view out = {.in_pool = true, .capacity = v->capacity};

    out.incoming =
        move_ordered ||
        (v->accepted_at != 0
             ? now - v->accepted_at < INCOMING_MAX_MS
             : v->phase == CW_VM_MOVING && v->previous_order == VM_MOVE);
    out.serving = s->spare ||
                  (v->worker != NULL && v->worker->state == CW_WORKER_READY &&
                   !cw_fleet_vm_is_cordoned(v));
    out.reclaimable = !s->spare && is_reclaimable(d, v, now);
    out.idle = can_move(d, v, now);
    out.idle_long = out.idle && v->worker != NULL &&
                    now - v->worker->idle_at > IDLE_OFF_MS;
    return out;
}

/* Index of a service in the configuration, or count. */
static size_t
service_index(const struct cw_jobd *d, const struct cw_name *name,
              size_t count)
{
    size_t i = 0;

    while (i < count && !cw_name_eq(&d->config.services[i].service, name)) {
        i++;
    }
    return i;
}

/* Adds each VM to the view of the pool that it is in, and to that of the pool
 * for which it is drained. */
static void
add_vm_views(const struct cw_jobd *d, struct cw_pool_view *views, size_t n,
             cw_ms now)
{
    for (const struct fleet_vm *v = d->fleet->list; v != NULL; v = v->next) {
        size_t i = service_index(
            d, v->order == VM_MOVE ? &v->target_pool : &v->pool, n);
        size_t to = v->reclaim_pool.len == 0
                        ? n
                        : service_index(d, &v->reclaim_pool, n);

        if (i < n && v->listed_at != 0 && !v->left) {
            struct cw_vm_view view =
                vm_view(d, v, &d->config.services[i], now);

            cw_pool_view_add(&views[i], &view);
        }
        if (to < n) {
            cw_pool_view_add(&views[to],
                             &(struct cw_vm_view){.reclaimed = true});
        }
    }
}

/* The needs of a pool. */
static struct cw_pool_view
pool_view(struct cw_jobd *d, const struct cw_service_entry *s, cw_ms now)
{
    struct cw_fleet *f = d->fleet;
    struct cw_pool *p = cw_sched_get_pool(d->sched, cw_name_str(&s->service));
    struct cw_pool_view out = {.spare = s->spare, .vms_min = POOL_VMS_MIN};
    struct pool_demand *c = get_demand(f, &s->service);
    double forecast =
        cw_curve_forecast(&c->curve, now, f->demand_period,
                          d->settings.move_ms + MOVE_MARGIN_MS, FORECAST_MS);
    double rate =
        cw_curve_rate(&c->curve, now, RATE_WINDOW_MS, RATE_WINDOW_MAX_MS);
    struct cw_pool_load load;
    uint64_t batch_cpu;

    if (p == NULL || s->spare) {
        return out;
    }
    load = cw_pool_load(d->sched, p, now);
    batch_cpu = load.running.cpu + load.waiting.cpu - load.lasting.cpu;
    if (rate > (double)batch_cpu) {
        batch_cpu = (uint64_t)rate;
    }
    if (forecast > (double)batch_cpu) {
        batch_cpu = (uint64_t)forecast;
    }
    out.need_cpu = batch_cpu + load.lasting.cpu;
    out.need_mb = load.running.mb + load.waiting.mb;
    out.urgent_cpu = load.urgent.cpu;
    if (rate + (double)load.lasting.cpu > (double)out.urgent_cpu) {
        out.urgent_cpu = (uint64_t)rate + load.lasting.cpu;
    }
    out.urgent_mb = load.urgent.mb;
    out.starved = load.longest_wait_ms > STARVED_MS;
    if (load.longest_special_wait_ms > STARVED_MS) {
        out.special = load.special;
    }
    out.lasting_waits = load.lasting_waits && out.starved;
    return out;
}

static void
apply_transfers(struct cw_jobd *d, const struct cw_pool_view *views,
                const struct cw_vm_transfer *moves, size_t count, cw_ms now)
{
    static const struct cw_name no_label;
    size_t n = 0;
    struct fleet_vm **vms;
    struct cw_release_candidate *rows;
    size_t *picked;

    if (count == 0) {
        return;
    }
    vms = calloc(d->fleet->vm_count, sizeof(void *));
    rows = calloc(d->fleet->vm_count, sizeof(*rows));
    picked = calloc(d->fleet->vm_count, sizeof(*picked));
    CW_INVARIANT(vms != NULL && rows != NULL && picked != NULL);
    for (struct fleet_vm *v = d->fleet->list; v != NULL; v = v->next) {
        vms[n] = v;
        rows[n++] = (struct cw_release_candidate){
            .pool = &v->pool,
            .kind = v->label_count > 0 ? &v->labels[0] : &no_label,
            .movable = can_move(d, v, now),
            .idle_at = v->worker == NULL ? 0 : v->worker->idle_at,
        };
    }
    for (size_t i = 0; i < count; i++) {
        const struct cw_name *from =
            &d->config.services[moves[i].from].service;
        const struct cw_name *to = &d->config.services[moves[i].to].service;
        size_t movable = cw_fleet_release_order(rows, n, from, picked);

        for (size_t k = 0; k < moves[i].count && k < movable; k++) {
            struct fleet_vm *v = vms[picked[k]];

            cw_log(CW_INFO, "vm_move",
                   "vm=%s from=%s to=%s need=%llu vms=%u period=%lld",
                   v->name.text, from->text, to->text,
                   (unsigned long long)views[moves[i].to].need_cpu,
                   views[moves[i].to].vms, (long long)d->fleet->demand_period);
            cw_fleet_order_begin(d, v, VM_MOVE, to, 0);
            rows[picked[k]].movable = false;
        }
    }
    free(vms);
    free(rows);
    free(picked);
}

static struct fleet_vm *
less_busy_vm(struct fleet_vm *best, struct fleet_vm *v)
{
    return best == NULL || v->worker->task_count < best->worker->task_count
               ? v
               : best;
}

/* The reclaimable VM of a pool with the fewest tasks, or NULL. */
static struct fleet_vm *
pick_vm_to_reclaim(struct cw_jobd *d, const struct cw_name *pool, cw_ms now)
{
    struct fleet_vm *best = NULL;

    for (struct fleet_vm *v = d->fleet->list; v != NULL; v = v->next) {
        if (cw_name_eq(&v->pool, pool) && is_reclaimable(d, v, now)) {
            best = less_busy_vm(best, v);
        }
    }
    return best;
}

/* The pool has the VMs that its urgent work needs. */
static bool
pool_urgent_satisfied(const struct cw_jobd *d,
                      const struct cw_pool_view *views, size_t n,
                      const struct cw_name *service)
{
    for (size_t i = 0; i < n; i++) {
        if (cw_name_eq(&d->config.services[i].service, service)) {
            return cw_pool_urgent_satisfied(&views[i]);
        }
    }
    return true;
}

/* Moves VMs that were drained for another pool; those that the pool no longer
 * needs stay and accept tasks again. */
static void
finish_reclaims(struct cw_jobd *d, const struct cw_pool_view *views, size_t n,
                cw_ms now)
{
    for (struct fleet_vm *v = d->fleet->list; v != NULL; v = v->next) {
        struct cw_name to = v->reclaim_pool;
        bool left = v->worker == NULL || v->phase != CW_VM_UP;
        bool stays = to.len > 0 && pool_urgent_satisfied(d, views, n, &to);

        if (to.len == 0 ||
            (!left && !stays && !cw_fleet_vm_is_idle(d, v, now))) {
            continue;
        }
        v->reclaim_pool = (struct cw_name){0};
        if (!left && !stays) {
            cw_fleet_order_begin(d, v, VM_MOVE, &to, 0);
        }
    }
}

static void
apply_reclaims(struct cw_jobd *d, const struct cw_pool_view *views, size_t n,
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
            struct fleet_vm *v = pick_vm_to_reclaim(d, from, now);

            if (v == NULL) {
                break;
            }
            cw_log(CW_INFO, "vm_reclaim",
                   "vm=%s from=%s to=%s tasks=%u urgent=%llu vms=%u",
                   v->name.text, from->text, to->text, v->worker->task_count,
                   (unsigned long long)views[moves[i].to].urgent_cpu,
                   views[moves[i].to].vms);
            v->reclaim_pool = *to;
        }
    }
    free(moves);
    finish_reclaims(d, views, n, now);
}

static bool
can_run(const struct fleet_vm *v, const struct cw_step *st)
{
    return cw_step_tasks_in_room(st, &v->capacity, v->labels, v->label_count) >
           0;
}

/* A starved task needs a VM with a label, or one of few that are large enough
 * or have accelerators: moves such a VM in when it is idle, or else drains one
 * without lasting tasks. */
static void
move_special_vm(struct cw_jobd *d, const struct cw_pool_view *view,
                const struct cw_name *service, cw_ms now)
{
    struct fleet_vm *idle = NULL;
    struct fleet_vm *busy = NULL;

    if (view->special == NULL || view->incoming > 0 || view->reclaiming > 0) {
        return;
    }
    for (struct fleet_vm *v = d->fleet->list; v != NULL; v = v->next) {
        if (cw_name_eq(&v->pool, service) || !can_run(v, view->special)) {
            continue;
        }
        if (can_move(d, v, now)) {
            idle = v;
        }
        else if (is_reclaimable(d, v, now)) {
            busy = less_busy_vm(busy, v);
        }
    }
    if (idle == NULL && busy == NULL) {
        return;
    }
    cw_log(CW_INFO, "vm_for_step",
           "vm=%s to=%s idle=%d label=%s cpu=%u memory_mb=%u accelerators=%u",
           idle != NULL ? idle->name.text : busy->name.text, service->text,
           idle != NULL, view->special->required_label.text,
           view->special->need.cpu_milli, view->special->need.memory_mb,
           view->special->need.accelerators);
    if (idle != NULL) {
        cw_fleet_order_begin(d, idle, VM_MOVE, service, 0);
    }
    else {
        busy->reclaim_pool = *service;
    }
}

/* Runs only lasting tasks, and other busy workers have capacity for each. */
static bool
can_consolidate(const struct cw_jobd *d, const struct fleet_vm *v, cw_ms now)
{
    if (!is_available(d, v, now) || v->worker->tasks == NULL ||
        v->worker->lasting_count < v->worker->task_count) {
        return false;
    }
    for (const struct cw_task *t = v->worker->tasks; t != NULL; t = t->next) {
        if (!cw_task_may_stop(t, now) ||
            !cw_sched_fits_elsewhere(t, true, now)) {
            return false;
        }
    }
    return true;
}

/* In a pool with more VMs than it needs, moves the tasks off the VM that has
 * the fewest, one VM at a time. Moving a lasting task costs about as much as a
 * second of a VM. */
static void
consolidate_pool(struct cw_jobd *d, const struct cw_pool_view *view,
                 const struct cw_name *service, cw_ms now)
{
    struct fleet_vm *best = NULL;
    bool wanted = view->vms > cw_pool_vms_wanted(view) + 1 && !view->starved &&
                  view->incoming == 0 && view->idle == 0;

    for (struct fleet_vm *v = d->fleet->list; v != NULL; v = v->next) {
        if ((!wanted && !v->consolidating) || !cw_name_eq(&v->pool, service)) {
            continue;
        }
        if (v->consolidating) {
            if (v->worker == NULL || v->worker->tasks == NULL ||
                view->starved ||
                now - v->consolidating_since > CONSOLIDATE_MAX_MS) {
                v->consolidating = false;
                continue;
            }
            cw_fleet_evacuate(d, v, true, true, "consolidate", now);
            return;
        }
        if ((best == NULL || v->worker == NULL ||
             v->worker->task_count < best->worker->task_count) &&
            can_consolidate(d, v, now)) {
            best = v;
        }
    }
    if (best != NULL && wanted) {
        best->consolidating = true;
        best->consolidating_since = now;
        cw_log(CW_INFO, "vm_consolidate", "vm=%s service=%s tasks=%u vms=%u",
               best->name.text, service->text, best->worker->task_count,
               view->vms);
    }
}

#define SERVICES_MAX 64

/* Logs once a second the state from which moves are decided. */
static void
log_pools(struct cw_jobd *d, const struct cw_pool_view *views, size_t n,
          cw_ms now)
{
    struct cw_buf b;

    if (now < d->fleet->log_due) {
        return;
    }
    d->fleet->log_due = now + LOG_INTERVAL_MS;
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
    cw_log(CW_INFO, "pools", "period=%lld %.*s",
           (long long)d->fleet->demand_period, (int)b.len, b.ptr);
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
    cw_fleet_movable_update(d, now);
    for (size_t i = 0; i < n; i++) {
        views[i] = pool_view(d, &d->config.services[i], now);
    }
    add_vm_views(d, views, n, now);
    log_pools(d, views, n, now);
    count = cw_fleet_plan_transfers(views, n, moves);
    apply_transfers(d, views, moves, count, now);
    apply_reclaims(d, views, n, now);
    for (size_t i = 0; i < n; i++) {
        if (!views[i].spare) {
            move_special_vm(d, &views[i], &d->config.services[i].service, now);
            consolidate_pool(d, &views[i], &d->config.services[i].service,
                             now);
        }
    }
}
