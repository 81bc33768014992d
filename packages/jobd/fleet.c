/* VMs: the list, moves between pools, and maintenance waves. Only the
 * scheduler orders, and only while its membership holds for certain: VM
 * control is not fenced by the store. */
#include "cw_fleet.h"
#include "cw_jobd.h"

#include <stdlib.h>
#include <string.h>

/* Time between looks at the list of VMs. */
#define LIST_EVERY_MS 1000
#define LIST_TIMEOUT_MS 900
#define ORDER_TIMEOUT_MS 1000
#define ORDER_RETRY_MS 400
/* After a refusal the VM is left alone this long. */
#define BUSY_PAUSE_MS 1500
/* Time between decisions. */
#define PLAN_EVERY_MS 100
/* On top of the time between two holders' orders for one VM. */
#define TAKEOVER_MARGIN_MS 700
/* Time in which a former holder notices: it joins the group every 250 ms. */
#define HANDOVER_MS 700
/* A VM that was ordered and has not come back is no longer counted on. */
#define INCOMING_MAX_MS 6000
/* A VM that is idle this long is turned off unless it is needed: two moves
 * cost as much as a VM costs in a pool for somewhat over two seconds. */
#define IDLE_OFF_MS 1000
/* Delay of a move beyond its stated time. */
#define SETTLE_MS 100
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

enum vm_order { VM_NONE, VM_MOVE, VM_MAINTAIN };

struct fleet_vm {
    struct cw_name name; /* first, for cw_map */
    struct fleet_vm *next;
    struct cw_name pool;
    struct cw_name worker_id; /* as the list has it */
    uint8_t phase;
    struct cw_demand_res capacity;
    struct cw_worker *worker; /* looked up for each decision */
    enum vm_order order;      /* under way */
    bool calling;
    struct cw_name to;
    uint64_t wave;
    cw_ms ordered_at; /* accepted then; 0: not */
    struct cw_name old_worker;
    cw_ms retry_at;
    cw_ms listed;
    struct cw_name reclaim_to; /* is cleared for this pool; "": not */
    cw_ms up_at;               /* listed as up without a break since; 0: not */
    bool clearing;
    bool consolidating; /* is emptied of its lasting tasks */
    cw_ms consolidate_at;
    bool in_wave; /* a wave has it to maintain yet */
};

struct wave_run {
    uint64_t number;
    cw_ms seen;
    bool *done; /* by VM of the order */
    bool finished;
    bool published;
};

struct pool_demand {
    struct cw_name service; /* first, for cw_map */
    struct cw_demand_curve curve;
    uint64_t arrived; /* as counted last */
};

struct cw_fleet {
    struct cw_map vms;
    struct fleet_vm *list;
    struct cw_map demand;
    struct pool_demand **curves;
    size_t curve_count;
    struct wave_run *waves;
    size_t wave_count;
    bool listing;
    bool listed_once;
    cw_ms list_due;
    cw_ms list_since;
    struct cw_name list_page;
    cw_ms plan_due;
    cw_ms log_due;
    cw_ms period;
    cw_ms period_due;
};

void
cw_fleet_open(struct cw_jobd *d)
{
    d->fleet = calloc(1, sizeof(*d->fleet));
    CW_INVARIANT(d->fleet != NULL);
    cw_map_init(&d->fleet->vms);
    cw_map_init(&d->fleet->demand);
}

void
cw_fleet_close(struct cw_jobd *d)
{
    struct cw_fleet *f = d->fleet;

    if (f == NULL) {
        return;
    }
    while (f->list != NULL) {
        struct fleet_vm *v = f->list;

        f->list = v->next;
        free(v);
    }
    for (size_t i = 0; i < f->curve_count; i++) {
        free(f->curves[i]);
    }
    for (size_t i = 0; i < f->wave_count; i++) {
        free(f->waves[i].done);
    }
    free(f->curves);
    free(f->waves);
    cw_map_finish(&f->vms);
    cw_map_finish(&f->demand);
    free(f);
    d->fleet = NULL;
}

/* ---- the list
 * ------------------------------------------------------------------ */

static struct fleet_vm *
vm_get(struct cw_fleet *f, const struct cw_name *name)
{
    struct fleet_vm *v = cw_map_get(&f->vms, cw_name_str(name));

    if (v != NULL) {
        return v;
    }
    v = calloc(1, sizeof(*v));
    CW_INVARIANT(v != NULL);
    v->name = *name;
    CW_INVARIANT(cw_map_put(&f->vms, v) == CW_OK);
    v->next = f->list;
    f->list = v;
    return v;
}

static void
take_row(struct cw_fleet *f, const struct cw_vm_row *r, cw_ms sent, cw_ms now)
{
    struct fleet_vm *v = vm_get(f, &r->vm);

    v->listed = now;
    /* A list that was asked for before the order shows the past. */
    if (v->ordered_at != 0 && sent < v->ordered_at) {
        return;
    }
    if (r->phase != CW_VM_UP) {
        v->up_at = 0;
    }
    else if (v->up_at == 0) {
        v->up_at = sent;
    }
    v->phase = r->phase;
    v->pool = r->pool;
    v->worker_id = r->worker;
    v->capacity = r->capacity;
}

static void
on_list(void *arg, enum cw_status s, const struct cw_vm_page *p)
{
    struct cw_jobd *d = cw_ticket_take(arg);
    struct cw_fleet *f;
    cw_ms now;

    if (d == NULL || d->fleet == NULL) {
        return;
    }
    f = d->fleet;
    now = cw_jobd_now(d);
    f->listing = false;
    if (s != CW_OK) {
        cw_log(CW_WARN, "vm_list_failed", "status=%s", cw_status_name(s));
        f->list_due = now + LIST_EVERY_MS;
        f->list_page.len = 0;
        return;
    }
    for (size_t i = 0; i < p->count; i++) {
        take_row(f, &p->vms[i], f->list_since, now);
    }
    f->list_page = p->next;
    if (p->next.len == 0) {
        f->listed_once = true;
        f->list_due = now + LIST_EVERY_MS;
    }
}

static void
list_tick(struct cw_jobd *d, cw_ms now)
{
    struct cw_fleet *f = d->fleet;

    if (f->listing || now < f->list_due) {
        return;
    }
    f->listing = true;
    if (f->list_page.len == 0) {
        f->list_since = now;
    }
    d->ports.vmctl.list(d->ports.ctx, cw_name_str(&f->list_page),
                        LIST_TIMEOUT_MS, on_list, cw_ticket_make(d));
}

/* ---- orders
 * ---------------------------------------------------------------------- */

struct vm_call {
    void *ticket;
    struct cw_name vm;
};

static void
order_done(struct cw_jobd *d, struct fleet_vm *v, cw_ms now)
{
    cw_log(CW_INFO, v->order == VM_MOVE ? "vm_moved" : "vm_maintained",
           "vm=%s from=%s to=%s wave=%llu worker=%s epoch=%llu", v->name.text,
           v->pool.text, v->to.text, (unsigned long long)v->wave,
           v->old_worker.text, (unsigned long long)d->epoch);
    cw_jobd_count(d, "cuminwalk_vm_orders_total",
                  v->order == VM_MOVE ? "move" : "maintain");
    v->ordered_at = now;
    if (v->order == VM_MOVE) {
        v->phase = CW_VM_MOVING;
        v->pool = v->to;
    }
    else {
        v->phase = CW_VM_UPKEEP;
        for (size_t i = 0; i < d->fleet->wave_count; i++) {
            struct wave_run *r = &d->fleet->waves[i];
            const struct cw_wave_order *w = &d->waves[i];

            for (size_t k = 0; r->number == v->wave && k < w->vm_count; k++) {
                r->done[k] |= cw_name_eq(&w->vms[k], &v->name);
            }
        }
    }
    if (v->old_worker.len > 0) {
        cw_sched_worker_gone(d->sched, cw_name_str(&v->old_worker), now);
    }
    v->order = VM_NONE;
    v->clearing = false;
}

static void
on_order(void *arg, enum cw_status s)
{
    struct vm_call *c = arg;
    struct cw_jobd *d = cw_ticket_take(c->ticket);
    struct fleet_vm *v;
    struct cw_worker *w;
    cw_ms now;

    if (d == NULL || d->fleet == NULL) {
        free(c);
        return;
    }
    now = cw_jobd_now(d);
    v = vm_get(d->fleet, &c->vm);
    free(c);
    v->calling = false;
    if (s == CW_OK) {
        order_done(d, v, now);
        return;
    }
    cw_log(CW_INFO, "vm_order_failed", "vm=%s order=%s to=%s status=%s",
           v->name.text, v->order == VM_MOVE ? "move" : "maintain", v->to.text,
           cw_status_name(s));
    if (s == CW_ERR_UNKNOWN) {
        /* It may have been carried out: the same order again settles it. */
        v->retry_at = now + ORDER_RETRY_MS;
        return;
    }
    v->order = VM_NONE;
    v->retry_at = now + BUSY_PAUSE_MS;
    w = cw_sched_worker(d->sched, cw_name_str(&v->old_worker));
    if (w != NULL && !v->clearing) {
        w->cordoned = false;
        d->sched->plan_due = true;
    }
}

static void
send_order(struct cw_jobd *d, struct fleet_vm *v)
{
    struct vm_call *c = malloc(sizeof(*c));
    struct cw_str holder = cw_name_str(&d->settings.daemon);

    CW_INVARIANT(c != NULL);
    c->ticket = cw_ticket_make(d);
    c->vm = v->name;
    v->calling = true;
    if (v->order == VM_MOVE) {
        d->ports.vmctl.move(d->ports.ctx, cw_name_str(&v->name),
                            cw_name_str(&v->to), holder, d->epoch,
                            ORDER_TIMEOUT_MS, on_order, c);
    }
    else {
        d->ports.vmctl.maintain(d->ports.ctx, cw_name_str(&v->name), v->wave,
                                holder, d->epoch, ORDER_TIMEOUT_MS, on_order,
                                c);
    }
}

/* Begins an order on a VM that runs nothing. */
static void
begin_order(struct cw_jobd *d, struct fleet_vm *v, enum vm_order order,
            const struct cw_name *to, uint64_t wave)
{
    v->order = order;
    v->to = *to;
    v->wave = wave;
    v->old_worker.len = 0;
    v->old_worker.text[0] = '\0';
    if (v->worker != NULL) {
        v->worker->cordoned = true;
        v->old_worker = v->worker->id;
    }
    send_order(d, v);
}

static void
retry_orders(struct cw_jobd *d, cw_ms now)
{
    for (struct fleet_vm *v = d->fleet->list; v != NULL; v = v->next) {
        if (v->order != VM_NONE && !v->calling && now >= v->retry_at) {
            send_order(d, v);
        }
    }
}

/* ---- what the decisions look at
 * ------------------------------------------------ */

static const struct cw_service_entry *
service_of(const struct cw_jobd *d, const struct cw_name *pool)
{
    for (size_t i = 0; i < d->config.service_count; i++) {
        if (cw_name_eq(&d->config.services[i].service, pool)) {
            return &d->config.services[i];
        }
    }
    return NULL;
}

static bool
is_spare(const struct cw_jobd *d, const struct cw_name *pool)
{
    const struct cw_service_entry *s = service_of(d, pool);

    return s != NULL && s->spare;
}

/* Finds the workers of the VMs. */
static void
match_workers(struct cw_jobd *d)
{
    for (struct fleet_vm *v = d->fleet->list; v != NULL; v = v->next) {
        v->worker = NULL;
    }
    for (struct cw_pool *p = d->sched->pool_list; p != NULL; p = p->next) {
        for (struct cw_worker *w = p->workers; w != NULL; w = w->next) {
            struct fleet_vm *v;

            if (w->vm.len == 0 || w->state == CW_WORKER_GONE) {
                continue;
            }
            v = cw_map_get(&d->fleet->vms, cw_name_str(&w->vm));
            if (v != NULL &&
                (v->worker == NULL || v->worker->born_wall < w->born_wall)) {
                v->worker = w;
            }
        }
    }
    for (struct fleet_vm *v = d->fleet->list; v != NULL; v = v->next) {
        /* The VM came back as another worker. */
        if (v->ordered_at != 0 && v->worker != NULL &&
            !cw_name_eq(&v->worker->id, &v->old_worker)) {
            v->ordered_at = 0;
            v->phase = CW_VM_UP;
            v->pool = v->worker->pool->service;
        }
    }
}

/* VMs that were turned off have no worker to tell that their move is over. */
static void
settle_spares(struct cw_jobd *d, cw_ms now)
{
    for (struct fleet_vm *v = d->fleet->list; v != NULL; v = v->next) {
        if (v->ordered_at != 0 && v->phase == CW_VM_MOVING &&
            is_spare(d, &v->pool) &&
            now - v->ordered_at > d->settings.move_ms + SETTLE_MS) {
            v->ordered_at = 0;
            v->phase = CW_VM_UP;
        }
    }
}

static void
mark_waves(struct cw_jobd *d)
{
    for (struct fleet_vm *v = d->fleet->list; v != NULL; v = v->next) {
        v->in_wave = false;
        if (v->worker != NULL) {
            v->worker->upkeep_due = false;
        }
    }
    for (size_t i = 0; i < d->fleet->wave_count; i++) {
        for (size_t k = 0; k < d->waves[i].vm_count; k++) {
            struct fleet_vm *v =
                cw_map_get(&d->fleet->vms, cw_name_str(&d->waves[i].vms[k]));

            if (v != NULL && !d->fleet->waves[i].done[k]) {
                v->in_wave = true;
                if (v->worker != NULL) {
                    v->worker->upkeep_due = true;
                }
            }
        }
    }
}

/* No other holder can have ordered this VM within the time that two holders
 * have to keep between their orders. An order makes a VM move or be maintained
 * and ends its worker, so that it was at least as long ago as the VM has been
 * up, and a move before that. A former holder that still reaches the store
 * knows of the change in HANDOVER_MS. */
static bool
vm_is_ours(const struct cw_jobd *d, const struct fleet_vm *v, cw_ms now)
{
    cw_ms held = now - d->role_at;
    cw_ms quiet = d->settings.vm_lease_ms + TAKEOVER_MARGIN_MS;

    if (held >= quiet) {
        return true;
    }
    if (held < HANDOVER_MS) {
        return false;
    }
    if (v->worker != NULL && v->worker->clock_at != 0) {
        return v->worker->clock_ms + (now - v->worker->clock_at) >= quiet;
    }
    return v->worker == NULL && v->up_at != 0 &&
           now - v->up_at + d->settings.move_ms >= quiet;
}

/* The list of VMs and the list of workers speak of the same life. */
static bool
same_life(const struct fleet_vm *v)
{
    return v->worker_id.len == 0 || cw_name_eq(&v->worker->id, &v->worker_id);
}

/* Runs nothing and can take an order. */
static bool
vm_free(const struct cw_jobd *d, const struct fleet_vm *v, cw_ms now)
{
    if (v->order != VM_NONE || v->phase != CW_VM_UP || now < v->retry_at ||
        v->listed == 0 || !vm_is_ours(d, v, now)) {
        return false;
    }
    if (is_spare(d, &v->pool)) {
        return true;
    }
    return v->worker != NULL && v->worker->tasks == NULL && same_life(v) &&
           v->worker->state == CW_WORKER_READY && v->worker->contacted;
}

/* ---- waves
 * ---------------------------------------------------------------------- */

static void
sync_waves(struct cw_jobd *d, cw_ms now)
{
    struct cw_fleet *f = d->fleet;

    while (f->wave_count < d->wave_count) {
        const struct cw_wave_order *w = &d->waves[f->wave_count];
        struct wave_run *grown =
            realloc(f->waves, (f->wave_count + 1) * sizeof(*grown));

        CW_INVARIANT(grown != NULL);
        f->waves = grown;
        f->waves[f->wave_count] = (struct wave_run){
            .number = w->number,
            .seen = now,
            .done = calloc(w->vm_count + 1, sizeof(bool)),
        };
        CW_INVARIANT(f->waves[f->wave_count].done != NULL);
        f->wave_count++;
    }
}

static struct cw_upkeep_vm
wave_view(const struct cw_jobd *d, const struct fleet_vm *v, bool done,
          uint64_t number, cw_ms now)
{
    struct cw_upkeep_vm out = {.done = done, .absent = v == NULL};

    if (v == NULL) {
        return out;
    }
    out.down = (done || (v->order == VM_MAINTAIN && v->wave == number) ||
                v->phase == CW_VM_UPKEEP) &&
               (v->order != VM_NONE || v->phase != CW_VM_UP);
    out.busy = v->order != VM_NONE || v->phase != CW_VM_UP ||
               now < v->retry_at || !vm_is_ours(d, v, now) ||
               (v->worker == NULL && !is_spare(d, &v->pool)) ||
               (v->worker != NULL && !same_life(v)) ||
               (v->worker != NULL && v->worker->state != CW_WORKER_READY);
    out.clearing = v->clearing;
    if (v->worker != NULL) {
        out.tasks = v->worker->task_count;
        out.used_cpu = v->worker->used.cpu_milli;
        for (const struct cw_task *t = v->worker->tasks; t != NULL;
             t = t->next) {
            out.lasting += cw_task_step(t)->lasting ? 1 : 0;
        }
        if (!v->worker->contacted) {
            out.busy = true;
        }
    }
    return out;
}

/* Moves lasting tasks off a VM as far as the rule on absences allows; other
 * tasks run to their end. With room only tasks that another worker has room
 * for move. */
static void
evacuate(struct cw_jobd *d, struct fleet_vm *v, bool room, bool busy,
         const char *why, cw_ms now)
{
    struct cw_task *t = v->worker->tasks;

    while (t != NULL) {
        struct cw_task *next = t->next;

        if (cw_task_step(t)->lasting && t->state == CW_RUN_RUNNING &&
            cw_task_may_stop(t, now) &&
            (!room || cw_sched_room_elsewhere(t, busy, now))) {
            cw_log(CW_INFO, "evacuate",
                   "job=%016llx task=%u.%u.%u worker=%s vm=%s away=%u of=%u "
                   "reason=%s",
                   (unsigned long long)t->job->id, t->occurrence, t->step,
                   t->index, v->worker->id.text, v->name.text,
                   cw_step_away(t, now), cw_task_step(t)->may_miss, why);
            cw_sched_stop_task(d->sched, t, true, now);
        }
        t = next;
    }
}

/* A VM that is cleared takes nothing new. Lasting tasks leave the other VMs of
 * the wave early, while room elsewhere lasts: only few tasks of a step may be
 * away at a time, so that this takes longest. */
static void
clear_wave_vm(struct cw_jobd *d, struct fleet_vm *v, cw_ms now)
{
    if (v->worker == NULL || v->order != VM_NONE) {
        return;
    }
    if (v->clearing) {
        v->worker->cordoned = true;
    }
    evacuate(d, v, !v->clearing, false, "upkeep", now);
}

struct publish_call {
    void *ticket;
    uint64_t wave;
    bool done;
};

static void
on_published(void *arg, enum cw_status s)
{
    struct publish_call *c = arg;
    struct cw_jobd *d = cw_ticket_take(c->ticket);

    if (d != NULL && d->fleet != NULL) {
        for (size_t i = 0; i < d->fleet->wave_count; i++) {
            struct wave_run *r = &d->fleet->waves[i];

            if (r->number == c->wave && s != CW_OK) {
                r->published = false;
                r->finished = c->done ? false : r->finished;
            }
        }
        cw_log(CW_INFO, "wave_outcome", "wave=%llu done=%d status=%s",
               (unsigned long long)c->wave, c->done, cw_status_name(s));
    }
    free(c);
}

static void
publish(struct cw_jobd *d, uint64_t number, bool done)
{
    struct publish_call *c = malloc(sizeof(*c));
    struct cw_store_batch b = {0};
    struct cw_buf key;
    struct cw_buf value;

    CW_INVARIANT(c != NULL);
    *c = (struct publish_call){cw_ticket_make(d), number, done};
    cw_buf_init(&key);
    cw_buf_init(&value);
    cw_buf_init(&b.bytes);
    d->ports.wave_outcome(number, done, &key, &value);
    d->ports.store.batch_add(d->ports.ctx, &b, cw_buf_str(&key),
                             cw_buf_str(&value));
    d->ports.store.publish(d->ports.ctx, &b, ORDER_TIMEOUT_MS, on_published,
                           c);
    cw_buf_finish(&key);
    cw_buf_finish(&value);
    cw_buf_finish(&b.bytes);
}

static void
run_wave(struct cw_jobd *d, size_t at, cw_ms now)
{
    struct wave_run *r = &d->fleet->waves[at];
    const struct cw_wave_order *w = &d->waves[at];
    struct cw_upkeep_vm *views;
    struct fleet_vm **vms;
    struct cw_upkeep_plan plan;
    static const struct cw_name nowhere;

    if (r->finished) {
        return;
    }
    views = calloc(w->vm_count + 1, sizeof(*views));
    vms = calloc(w->vm_count + 1, sizeof(void *));
    CW_INVARIANT(views != NULL && vms != NULL);
    for (size_t i = 0; i < w->vm_count; i++) {
        vms[i] = cw_map_get(&d->fleet->vms, cw_name_str(&w->vms[i]));
        views[i] = wave_view(d, vms[i], r->done[i], w->number, now);
    }
    cw_upkeep_decide(views, w->vm_count, w->max_at_once, now - r->seen,
                     w->duration_ms, &plan);
    for (size_t i = 0; i < plan.order; i++) {
        begin_order(d, vms[plan.pick[i]], VM_MAINTAIN, &nowhere, w->number);
    }
    for (size_t i = 0; i < plan.clear; i++) {
        vms[plan.pick[plan.order + i]]->clearing = true;
    }
    for (size_t i = 0; i < w->vm_count; i++) {
        if (vms[i] != NULL && !r->done[i]) {
            clear_wave_vm(d, vms[i], now);
        }
    }
    if (cw_upkeep_done(views, w->vm_count)) {
        r->finished = true;
        publish(d, w->number, true);
    }
    else if (!r->published) {
        r->published = true;
        publish(d, w->number, false);
    }
    free(views);
    free(vms);
}

/* ---- moves
 * ------------------------------------------------------------------------ */

static struct pool_demand *
demand_of(struct cw_fleet *f, const struct cw_name *service)
{
    struct pool_demand *p = cw_map_get(&f->demand, cw_name_str(service));
    struct pool_demand **grown;

    if (p != NULL) {
        return p;
    }
    p = calloc(1, sizeof(*p));
    grown = realloc(f->curves, (f->curve_count + 1) * sizeof(*grown));
    CW_INVARIANT(p != NULL && grown != NULL);
    p->service = *service;
    f->curves = grown;
    f->curves[f->curve_count++] = p;
    CW_INVARIANT(cw_map_put(&f->demand, p) == CW_OK);
    return p;
}

static void
count_demand(struct cw_jobd *d, cw_ms now)
{
    struct cw_fleet *f = d->fleet;

    for (struct cw_pool *p = d->sched->pool_list; p != NULL; p = p->next) {
        struct pool_demand *c = demand_of(f, &p->service);

        cw_curve_add(&c->curve, now, (double)(p->arrived_cpu_ms - c->arrived));
        c->arrived = p->arrived_cpu_ms;
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
        v->worker->state != CW_WORKER_READY || !same_life(v) ||
        !vm_is_ours(d, v, now) || v->in_wave) {
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
        if (vm_free(d, v, now) && !v->clearing && v->reclaim_to.len == 0 &&
            !v->in_wave) {
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
    out.lasting_waits = l.lasting_waits && out.stuck;
    return out;
}

static struct fleet_vm *
free_vm(struct cw_jobd *d, const struct cw_name *pool, cw_ms now)
{
    struct fleet_vm *best = NULL;

    for (struct fleet_vm *v = d->fleet->list; v != NULL; v = v->next) {
        if (!cw_name_eq(&v->pool, pool) || !vm_free(d, v, now) ||
            v->clearing || v->reclaim_to.len > 0 || v->in_wave) {
            continue;
        }
        if (best == NULL || (v->worker != NULL && best->worker != NULL &&
                             v->worker->idle_at < best->worker->idle_at)) {
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

        if (to.len == 0 || (!left && !vm_free(d, v, now))) {
            continue;
        }
        v->reclaim_to.len = 0;
        v->reclaim_to.text[0] = '\0';
        if (!left) {
            begin_order(d, v, VM_MOVE, &to, 0);
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

/* Runs nothing but lasting tasks, all of which others have room for. */
static bool
can_consolidate(const struct cw_jobd *d, const struct fleet_vm *v, cw_ms now)
{
    if (v->order != VM_NONE || v->phase != CW_VM_UP || v->in_wave ||
        v->reclaim_to.len > 0 || v->worker == NULL || v->worker->cordoned ||
        v->worker->state != CW_WORKER_READY || v->worker->tasks == NULL ||
        !same_life(v) || !vm_is_ours(d, v, now)) {
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
            evacuate(d, v, true, true, "consolidate", now);
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

static void
run_moves(struct cw_jobd *d, cw_ms now)
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
            begin_order(d, v, VM_MOVE, to, 0);
        }
    }
    run_reclaims(d, views, n, now);
    for (size_t i = 0; i < n; i++) {
        if (!views[i].spare) {
            consolidate(d, &views[i], &d->config.services[i].service, now);
        }
    }
}

void
cw_fleet_tick(struct cw_jobd *d, cw_ms now)
{
    struct cw_fleet *f = d->fleet;

    if (f == NULL || d->ports.vmctl.list == NULL || now < f->plan_due) {
        return;
    }
    f->plan_due = now + PLAN_EVERY_MS;
    list_tick(d, now);
    count_demand(d, now);
    sync_waves(d, now);
    if (!f->listed_once || !cw_member_certain(d, now) || d->stopping ||
        now - d->role_at < HANDOVER_MS) {
        return;
    }
    match_workers(d);
    settle_spares(d, now);
    mark_waves(d);
    retry_orders(d, now);
    for (size_t i = 0; i < f->wave_count; i++) {
        run_wave(d, i, now);
    }
    run_moves(d, now);
}

bool
cw_fleet_expects_workers(const struct cw_jobd *d, cw_ms now)
{
    if (d->fleet == NULL) {
        return false;
    }
    for (const struct fleet_vm *v = d->fleet->list; v != NULL; v = v->next) {
        if (v->ordered_at != 0 && now - v->ordered_at > d->settings.move_ms &&
            now - v->ordered_at < INCOMING_MAX_MS) {
            return true;
        }
    }
    return false;
}
