/* Maintenance waves. */
#include "fleet_int.h"

#include <stdlib.h>
#include <string.h>

/* Key of the record that lists the VMs of a wave whose maintenance has begun,
 * separated by spaces. */
static struct cw_str
record_key(char *buf, size_t size, uint64_t number)
{
    int n =
        snprintf(buf, size, "%c%llu", CW_KV_WAVE, (unsigned long long)number);

    return (struct cw_str){buf, (size_t)n};
}

static void
load_done_vms(struct cw_jobd *d, const struct cw_wave_order *w,
              struct wave_run *r)
{
    char key[32];
    struct cw_str text =
        cw_sched_kv_get(d->sched, record_key(key, sizeof(key), w->number));

    while (text.len > 0) {
        const char *space = memchr(text.ptr, ' ', text.len);
        size_t len = space == NULL ? text.len : (size_t)(space - text.ptr);

        for (size_t k = 0; k < w->vm_count; k++) {
            r->done[k] |= cw_str_eq(cw_name_str(&w->vms[k]),
                                    (struct cw_str){text.ptr, len});
        }
        len += space == NULL ? 0 : 1;
        text.ptr += len;
        text.len -= len;
    }
}

void
cw_fleet_wave_record_vm(struct cw_jobd *d, uint64_t number,
                        const struct cw_name *vm)
{
    for (size_t i = 0; i < d->fleet->wave_count; i++) {
        struct wave_run *r = &d->fleet->waves[i];
        const struct cw_wave_order *w = &d->waves[i];
        char key[32];
        struct cw_buf text;

        if (r->number != number) {
            continue;
        }
        cw_buf_init(&text);
        for (size_t k = 0; k < w->vm_count; k++) {
            r->done[k] |= cw_name_eq(&w->vms[k], vm);
            if (r->done[k]) {
                cw_buf_addf(&text, "%s%s", text.len > 0 ? " " : "",
                            w->vms[k].text);
            }
        }
        if (cw_sched_kv_set(d->sched, record_key(key, sizeof(key), number),
                            cw_buf_str(&text)) != CW_OK) {
            cw_log(CW_ERROR, "wave_note_failed", "wave=%llu",
                   (unsigned long long)number);
        }
        cw_buf_finish(&text);
        cw_commit_schedule(d);
    }
}

void
cw_fleet_waves_sync(struct cw_jobd *d, cw_ms now)
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
            .first_seen = now,
            .done = calloc(w->vm_count + 1, sizeof(bool)),
        };
        CW_INVARIANT(f->waves[f->wave_count].done != NULL);
        load_done_vms(d, w, &f->waves[f->wave_count]);
        f->wave_count++;
    }
}

enum wave_vm_state
cw_fleet_wave_vm_state(const struct cw_jobd *d, const struct wave_run *r,
                       size_t index, const struct cw_name *name, cw_ms now)
{
    const struct fleet_vm *v = cw_map_get(&d->fleet->vms, cw_name_str(name));
    const struct cw_worker *w = v == NULL ? NULL : v->worker;

    if (r->done[index]) {
        return WAVE_VM_DONE;
    }
    if (cw_fleet_vm_has_left(d, v, name, r->reads)) {
        return WAVE_VM_LEFT;
    }
    if (v == NULL) {
        return WAVE_VM_UNLISTED;
    }
    if (v->order != VM_NONE) {
        return WAVE_VM_ORDERED;
    }
    if (v->phase != CW_VM_UP) {
        return WAVE_VM_NOT_UP;
    }
    if (now < v->retry_at) {
        return WAVE_VM_REFUSED;
    }
    if (!cw_fleet_vm_may_order(d, v, now)) {
        return WAVE_VM_FORMER_ORDER;
    }
    if (w == NULL) {
        return cw_fleet_pool_is_spare(d, &v->pool) ? WAVE_VM_TURN
                                                   : WAVE_VM_NO_WORKER;
    }
    if (!cw_fleet_vm_same_worker(v) || w->state != CW_WORKER_READY ||
        !w->contacted) {
        return WAVE_VM_WORKER_AWAY;
    }
    return w->task_count > 0 ? WAVE_VM_TASKS : WAVE_VM_TURN;
}

static struct cw_maint_vm
wave_view(const struct cw_jobd *d, const struct wave_run *r, size_t index,
          const struct cw_name *name, const struct fleet_vm *v, cw_ms now)
{
    enum wave_vm_state st = cw_fleet_wave_vm_state(d, r, index, name, now);
    struct cw_maint_vm out = {.done = st == WAVE_VM_DONE,
                              .absent = st == WAVE_VM_LEFT,
                              .busy =
                                  st != WAVE_VM_TASKS && st != WAVE_VM_TURN};

    /* A VM that left in its maintenance is not down for it any more. */
    if (v == NULL || out.absent || v->left) {
        return out;
    }
    out.down =
        (out.done || (v->order == VM_MAINTAIN && v->wave == r->number) ||
         v->phase == CW_VM_MAINTENANCE) &&
        (v->order != VM_NONE || v->phase != CW_VM_UP);
    /* The order of a previous scheduler may still arrive. */
    out.down |=
        !cw_fleet_vm_may_order(d, v, now) && v->previous_order == VM_MAINTAIN;
    out.draining = v->draining;
    if (v->worker != NULL) {
        out.tasks = v->worker->task_count;
        out.used_cpu = v->worker->used.cpu_milli;
        out.lasting = v->worker->lasting_count;
    }
    return out;
}

void
cw_fleet_evacuate(struct cw_jobd *d, struct fleet_vm *v, bool need_capacity,
                  bool busy_only, const char *why, cw_ms now)
{
    struct cw_task *t = v->worker->tasks;

    if (!cw_fleet_former_stops_over(now - d->role_since,
                                    d->settings.stop_ms)) {
        return;
    }
    while (t != NULL) {
        struct cw_task *next = t->next;

        if (cw_task_step(t)->lasting && t->state == CW_RUN_RUNNING &&
            cw_task_may_stop(t, now) &&
            (!need_capacity || cw_sched_fits_elsewhere(t, busy_only, now))) {
            cw_log(CW_INFO, "evacuate",
                   "job=%016llx task=%u.%u.%u worker=%s vm=%s away=%u of=%u "
                   "reason=%s",
                   (unsigned long long)t->job->id, t->occurrence, t->step,
                   t->index, v->worker->id.text, v->name.text,
                   cw_step_unavailable(t, now), cw_task_step(t)->may_miss,
                   why);
            cw_sched_stop_task_for(d->sched, t, CW_STOP_MOVED, now);
        }
        t = next;
    }
}

/* Number of tasks of t's step that run on VMs of a wave. */
static uint32_t
count_on_wave_vms(const struct cw_task *t)
{
    const struct cw_job_entry *j = t->job;
    uint32_t n = 0;

    for (size_t i = 0; i < j->task_count; i++) {
        const struct cw_task *o = &j->tasks[i];

        if (o->step == t->step && o->occurrence == t->occurrence &&
            o->worker != NULL && o->worker->maintenance_due) {
            n++;
        }
    }
    return n;
}

/* A step with many tasks on the VM's wave must begin now. */
static bool
evacuation_due(const struct fleet_vm *v, cw_ms elapsed_ms, cw_ms duration_ms)
{
    for (const struct cw_task *t = v->worker->tasks; t != NULL; t = t->next) {
        const struct cw_step *st = cw_task_step(t);

        if (st->lasting &&
            cw_maint_evacuation_due(count_on_wave_vms(t), st->may_miss,
                                    elapsed_ms, duration_ms)) {
            return true;
        }
    }
    return false;
}

/* A VM that is being drained accepts no new tasks. Lasting tasks move off the
 * other VMs of the wave early, while other workers have capacity: moving them
 * takes longest, as only few tasks of a step may be unavailable at a time.
 * When little time is left for that, they do not wait for capacity. */
static void
drain_wave_vm(struct cw_jobd *d, struct fleet_vm *v, cw_ms elapsed_ms,
              cw_ms duration_ms, cw_ms now)
{
    if (v->worker == NULL || v->order != VM_NONE) {
        return;
    }
    cw_fleet_evacuate(
        d, v, !v->draining && !evacuation_due(v, elapsed_ms, duration_ms),
        false, "upkeep", now);
}

struct publish_ctx {
    void *term_ctx;
    uint64_t wave;
    bool done;
};

static void
on_published(void *arg, enum cw_status s)
{
    struct publish_ctx *c = arg;
    struct cw_jobd *d = cw_term_ctx_release(c->term_ctx);

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

/* False when too little of the membership is left: the outcomes have no epoch,
 * and a replaced scheduler would write over its successor's. */
static bool
publish_outcome(struct cw_jobd *d, uint64_t number, bool done)
{
    cw_ms timeout = cw_fleet_call_timeout(d, ORDER_TIMEOUT_MS);
    struct publish_ctx *c;
    struct cw_store_batch b = {0};
    struct cw_buf key;
    struct cw_buf value;

    if (timeout == 0) {
        return false;
    }
    c = malloc(sizeof(*c));
    CW_INVARIANT(c != NULL);
    *c = (struct publish_ctx){cw_term_ctx_new(d), number, done};
    cw_buf_init(&key);
    cw_buf_init(&value);
    cw_buf_init(&b.bytes);
    d->ports.encode_wave_outcome(number, done, &key, &value);
    d->ports.store.batch_add(d->ports.ctx, &b, cw_buf_str(&key),
                             cw_buf_str(&value));
    d->ports.store.publish(d->ports.ctx, &b, timeout, on_published, c);
    cw_buf_finish(&key);
    cw_buf_finish(&value);
    cw_buf_finish(&b.bytes);
    return true;
}

static bool
has_absent_vm(const struct cw_maint_vm *views, size_t n)
{
    for (size_t i = 0; i < n; i++) {
        if (views[i].absent && !views[i].done) {
            return true;
        }
    }
    return false;
}

/* A VM that had left is back without its maintenance. */
static void
reopen_wave(struct wave_run *r, const struct cw_maint_vm *views, size_t n)
{
    if (r->finished && !cw_maint_done(views, n)) {
        r->finished = false;
        r->published = false;
        cw_log(CW_INFO, "wave_reopened", "wave=%llu",
               (unsigned long long)r->number);
    }
}

void
cw_fleet_wave_run(struct cw_jobd *d, size_t index, cw_ms now)
{
    struct wave_run *r = &d->fleet->waves[index];
    const struct cw_wave_order *w = &d->waves[index];
    struct cw_maint_vm *views;
    struct fleet_vm **vms;
    struct cw_maint_plan plan;
    static const struct cw_name no_pool;

    if (r->finished && !r->left_some) {
        return;
    }
    views = calloc(w->vm_count + 1, sizeof(*views));
    vms = calloc(w->vm_count + 1, sizeof(void *));
    CW_INVARIANT(views != NULL && vms != NULL);
    for (size_t i = 0; i < w->vm_count; i++) {
        vms[i] = cw_map_get(&d->fleet->vms, cw_name_str(&w->vms[i]));
        views[i] = wave_view(d, r, i, &w->vms[i], vms[i], now);
    }
    reopen_wave(r, views, w->vm_count);
    if (r->finished) {
        free(views);
        free(vms);
        return;
    }
    cw_maint_decide(views, w->vm_count, w->max_at_once, now - r->first_seen,
                    w->duration_ms, &plan);
    for (size_t i = 0; i < plan.maintain_count; i++) {
        cw_fleet_order_begin(d, vms[plan.picked[i]], VM_MAINTAIN, &no_pool,
                             w->number);
    }
    for (size_t i = 0; i < plan.drain_count; i++) {
        vms[plan.picked[plan.maintain_count + i]]->draining = true;
    }
    for (size_t i = 0; i < w->vm_count; i++) {
        if (vms[i] != NULL && !r->done[i]) {
            drain_wave_vm(d, vms[i], now - r->first_seen, w->duration_ms, now);
        }
    }
    if (cw_maint_done(views, w->vm_count)) {
        r->left_some = has_absent_vm(views, w->vm_count);
        r->finished = publish_outcome(d, w->number, true);
    }
    else if (!r->published) {
        r->published = publish_outcome(d, w->number, false);
    }
    free(views);
    free(vms);
}
