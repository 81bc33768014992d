/* Orders for VMs. VM control is not fenced by the store, so that an order is
 * noted in the scheduler's stream before it is sent and for some seconds
 * after: a scheduler that was replaced can note none, and the next one knows
 * the VMs that orders may still be under way for. */
#include "fleet_int.h"

#include <stdlib.h>

#define ORDER_RETRY_MS 400
/* After a refusal the VM is left alone this long. */
#define BUSY_PAUSE_MS 1500
/* On top of the time between two holders' orders for one VM. */
#define TAKEOVER_MARGIN_MS 700

struct vm_call {
    void *ticket;
    struct cw_name vm;
};

static const char *
order_name(const struct fleet_vm *v)
{
    return v->order == VM_MOVE ? "move" : "maintain";
}

static void
order_done(struct cw_jobd *d, struct fleet_vm *v, cw_ms now)
{
    cw_log(CW_INFO, v->order == VM_MOVE ? "vm_moved" : "vm_maintained",
           "vm=%s from=%s to=%s wave=%llu worker=%s epoch=%llu", v->name.text,
           v->pool.text, v->to.text, (unsigned long long)v->wave,
           v->old_worker.text, (unsigned long long)d->epoch);
    cw_jobd_count(d, "cuminwalk_vm_orders_total", order_name(v));
    v->ordered_at = now;
    if (v->order == VM_MOVE) {
        v->phase = CW_VM_MOVING;
        v->pool = v->to;
    }
    else {
        v->phase = CW_VM_MAINTENANCE;
        cw_fleet_wave_began(d, v->wave, &v->name);
    }
    if (v->old_worker.len > 0) {
        cw_sched_worker_gone(d->sched, cw_name_str(&v->old_worker), now);
    }
    v->order = VM_NONE;
    v->clearing = false;
}

static void
order_refused(struct cw_jobd *d, struct fleet_vm *v, cw_ms now)
{
    struct cw_worker *w =
        cw_sched_worker(d->sched, cw_name_str(&v->old_worker));

    v->order = VM_NONE;
    v->retry_at = now + BUSY_PAUSE_MS;
    if (w != NULL && !v->clearing) {
        w->cordoned = false;
        d->sched->plan_due = true;
    }
}

static void
on_order(void *arg, enum cw_status s)
{
    struct vm_call *c = arg;
    struct cw_jobd *d = cw_ticket_take(c->ticket);
    struct fleet_vm *v;
    cw_ms now;

    if (d == NULL || d->fleet == NULL) {
        free(c);
        return;
    }
    now = cw_jobd_now(d);
    v = cw_fleet_vm(d, &c->vm);
    free(c);
    v->calling = false;
    if (s == CW_OK) {
        order_done(d, v, now);
        return;
    }
    cw_log(CW_INFO, "vm_order_failed", "vm=%s order=%s to=%s status=%s",
           v->name.text, order_name(v), v->to.text, cw_status_name(s));
    if (s == CW_ERR_UNKNOWN) {
        /* It may have been carried out: the same order again settles it. */
        v->retry_at = now + ORDER_RETRY_MS;
    }
    else {
        order_refused(d, v, now);
    }
}

static void
send_order(struct cw_jobd *d, struct fleet_vm *v, cw_ms now)
{
    struct vm_call *c = malloc(sizeof(*c));
    struct cw_str holder = cw_name_str(&d->settings.daemon);

    CW_INVARIANT(c != NULL);
    c->ticket = cw_ticket_make(d);
    c->vm = v->name;
    v->calling = true;
    v->sent_at = now;
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

#define KEY_MAX (CW_NAME_MAX + 2)

static struct cw_str
note_key(char buf[KEY_MAX], const struct fleet_vm *v)
{
    int n = snprintf(buf, KEY_MAX, "%c%s", CW_NOTE_ORDER, v->name.text);

    return (struct cw_str){buf, (size_t)n};
}

/* Changes the note of a VM in the open batch. */
static bool
note(struct cw_jobd *d, const struct fleet_vm *v, struct cw_str text)
{
    char key[KEY_MAX];
    enum cw_status s = cw_sched_note_set(d->sched, note_key(key, v), text);

    if (s != CW_OK) {
        cw_log(CW_ERROR, "vm_note_failed", "vm=%s status=%s", v->name.text,
               cw_status_name(s));
    }
    return s == CW_OK;
}

void
cw_fleet_order(struct cw_jobd *d, struct fleet_vm *v, enum vm_order order,
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
    if (!note(d, v, cw_str_from(order_name(v)))) {
        order_refused(d, v, cw_jobd_now(d));
        return;
    }
    v->noted = true;
    v->record_batch = d->sched->batch;
    cw_commit_wake(d);
}

void
cw_fleet_committed(struct cw_jobd *d, uint64_t batch)
{
    cw_ms now = cw_jobd_now(d);
    struct fleet_vm *v = d->fleet == NULL ? NULL : d->fleet->list;

    for (; v != NULL; v = v->next) {
        if (v->record_batch == 0 || v->record_batch > batch) {
            continue;
        }
        v->record_batch = 0;
        if (cw_member_certain(d, now)) {
            send_order(d, v, now);
        }
        else {
            v->retry_at = now; /* the next tick that is certain sends it */
        }
    }
}

void
cw_fleet_order_recall(struct cw_jobd *d, struct fleet_vm *v)
{
    char key[KEY_MAX];
    struct cw_str text = cw_sched_note(d->sched, note_key(key, v));

    if (text.len > 0) {
        v->former_order =
            cw_str_eq(text, CW_LIT("move")) ? VM_MOVE : VM_MAINTAIN;
    }
    v->noted = text.len > 0;
    v->sent_at = d->role_at;
}

static cw_ms
quiet_ms(const struct cw_jobd *d)
{
    return d->settings.vm_lease_ms + TAKEOVER_MARGIN_MS;
}

void
cw_fleet_orders_tick(struct cw_jobd *d, cw_ms now)
{
    for (struct fleet_vm *v = d->fleet->list; v != NULL; v = v->next) {
        if (v->order != VM_NONE) {
            if (!v->calling && v->record_batch == 0 && now >= v->retry_at) {
                send_order(d, v, now);
            }
        }
        else if (v->noted && now - v->sent_at >= quiet_ms(d) &&
                 note(d, v, CW_LIT(""))) {
            v->noted = false;
            v->former_order = VM_NONE;
        }
    }
}

bool
cw_fleet_vm_ours(const struct cw_jobd *d, const struct fleet_vm *v, cw_ms now)
{
    return v->former_order == VM_NONE || now - d->role_at >= quiet_ms(d);
}
