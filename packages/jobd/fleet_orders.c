/* Orders for VMs. The store does not fence VM control. Therefore an order is
 * recorded in the scheduler's stream before it is sent, and the record is kept
 * for some seconds: a replaced scheduler cannot write a record, and the next
 * scheduler knows for which VMs orders may still be in transit. */
#include "fleet_int.h"

#include <stdlib.h>

#define ORDER_RETRY_MS 400
/* With less time left in the membership an order waits for its renewal. */
#define ORDER_TIMEOUT_MIN_MS 100
/* No orders for a VM this long after VM control has refused one. */
#define REFUSED_PAUSE_MS 1500
/* Added to the minimum time between two daemons' orders for one VM. */
#define TAKEOVER_MARGIN_MS 700

struct vm_call {
    void *term_ctx;
    struct cw_name vm;
};

static const char *
order_name(const struct fleet_vm *v)
{
    return v->order == VM_MOVE ? "move" : "maintain";
}

static void
order_accepted(struct cw_jobd *d, struct fleet_vm *v, cw_ms now)
{
    cw_log(CW_INFO, v->order == VM_MOVE ? "vm_moved" : "vm_maintained",
           "vm=%s from=%s to=%s wave=%llu worker=%s epoch=%llu", v->name.text,
           v->pool.text, v->target_pool.text, (unsigned long long)v->wave,
           v->previous_worker.text, (unsigned long long)d->epoch);
    cw_jobd_count(d, "cuminwalk_vm_orders_total", order_name(v));
    v->accepted_at = now;
    if (v->order == VM_MOVE) {
        v->phase = CW_VM_MOVING;
        v->pool = v->target_pool;
    }
    else {
        v->phase = CW_VM_MAINTENANCE;
        cw_fleet_wave_record_vm(d, v->wave, &v->name);
    }
    if (v->previous_worker.len > 0) {
        cw_sched_worker_gone(d->sched, cw_name_str(&v->previous_worker), now);
    }
    v->order = VM_NONE;
    v->draining = false;
}

static void
order_refused(struct cw_jobd *d, struct fleet_vm *v, cw_ms now)
{
    struct cw_worker *w =
        cw_sched_find_worker(d->sched, cw_name_str(&v->previous_worker));

    v->order = VM_NONE;
    v->retry_at = now + REFUSED_PAUSE_MS;
    if (w != NULL && !cw_fleet_vm_is_cordoned(v)) {
        w->cordoned = false;
        cw_pool_plan_soon(d->sched, w->pool);
    }
}

static void
on_order(void *arg, enum cw_status s)
{
    struct vm_call *c = arg;
    struct cw_jobd *d = cw_term_ctx_release(c->term_ctx);
    struct fleet_vm *v;
    cw_ms now;

    if (d == NULL || d->fleet == NULL) {
        free(c);
        return;
    }
    now = cw_jobd_now(d);
    v = cw_fleet_vm_get(d, &c->vm);
    free(c);
    v->call_open = false;
    if (s == CW_OK) {
        order_accepted(d, v, now);
        return;
    }
    cw_log(CW_INFO, "vm_order_failed", "vm=%s order=%s to=%s status=%s",
           v->name.text, order_name(v), v->target_pool.text,
           cw_status_name(s));
    if (s == CW_ERR_UNKNOWN) {
        /* It may have been carried out: resending it gives the outcome. */
        v->retry_at = now + ORDER_RETRY_MS;
    }
    else {
        order_refused(d, v, now);
    }
}

cw_ms
cw_fleet_call_timeout(const struct cw_jobd *d, cw_ms timeout)
{
    cw_ms now = cw_jobd_now(d);
    cw_ms left = d->member_valid_until - now;

    if (!cw_member_lease_valid(d, now) || left < ORDER_TIMEOUT_MIN_MS) {
        return 0;
    }
    return left < timeout ? left : timeout;
}

static void
send_order(struct cw_jobd *d, struct fleet_vm *v, cw_ms now)
{
    struct vm_call *c;
    struct cw_str holder = cw_name_str(&d->settings.daemon);
    cw_ms timeout = cw_fleet_call_timeout(d, ORDER_TIMEOUT_MS);

    if (timeout == 0) {
        v->retry_at = now; /* the next tick with a valid membership sends it */
        return;
    }
    c = malloc(sizeof(*c));
    CW_INVARIANT(c != NULL);
    c->term_ctx = cw_term_ctx_new(d);
    c->vm = v->name;
    v->call_open = true;
    v->sent_at = now;
    if (v->order == VM_MOVE) {
        d->ports.vmctl.move(d->ports.ctx, cw_name_str(&v->name),
                            cw_name_str(&v->target_pool), holder, d->epoch,
                            timeout, on_order, c);
    }
    else {
        d->ports.vmctl.maintain(d->ports.ctx, cw_name_str(&v->name), v->wave,
                                holder, d->epoch, timeout, on_order, c);
    }
}

#define KEY_MAX (CW_NAME_MAX + 2)

static struct cw_str
record_key(char buf[KEY_MAX], const struct fleet_vm *v)
{
    int n = snprintf(buf, KEY_MAX, "%c%s", CW_KV_ORDER, v->name.text);

    return (struct cw_str){buf, (size_t)n};
}

/* Sets the order record of a VM in the open batch; "" removes it. */
static bool
write_record(struct cw_jobd *d, const struct fleet_vm *v, struct cw_str text)
{
    char key[KEY_MAX];
    enum cw_status s = cw_sched_kv_set(d->sched, record_key(key, v), text);

    if (s != CW_OK) {
        cw_log(CW_ERROR, "vm_note_failed", "vm=%s status=%s", v->name.text,
               cw_status_name(s));
    }
    return s == CW_OK;
}

void
cw_fleet_order_begin(struct cw_jobd *d, struct fleet_vm *v,
                     enum vm_order order, const struct cw_name *to,
                     uint64_t wave)
{
    v->order = order;
    v->target_pool = *to;
    v->wave = wave;
    v->previous_worker.len = 0;
    v->previous_worker.text[0] = '\0';
    if (v->worker != NULL) {
        v->worker->cordoned = true;
        v->previous_worker = v->worker->id;
    }
    if (!write_record(d, v, cw_str_from(order_name(v)))) {
        order_refused(d, v, cw_jobd_now(d));
        return;
    }
    v->recorded = true;
    v->record_batch = d->sched->batch;
    cw_commit_schedule(d);
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
        send_order(d, v, now);
    }
}

void
cw_fleet_order_load(struct cw_jobd *d, struct fleet_vm *v)
{
    char key[KEY_MAX];
    struct cw_str text = cw_sched_kv_get(d->sched, record_key(key, v));

    if (text.len > 0) {
        v->previous_order =
            cw_str_eq(text, CW_LIT("move")) ? VM_MOVE : VM_MAINTAIN;
    }
    v->recorded = text.len > 0;
    v->sent_at = d->role_since;
}

/* Time for which the record of an order is kept, and for which it prevents
 * orders of the next scheduler. */
static cw_ms
order_record_ms(const struct cw_jobd *d)
{
    return d->settings.vm_lease_ms + TAKEOVER_MARGIN_MS;
}

void
cw_fleet_orders_tick(struct cw_jobd *d, cw_ms now)
{
    for (struct fleet_vm *v = d->fleet->list; v != NULL; v = v->next) {
        if (v->order != VM_NONE) {
            if (!v->call_open && v->record_batch == 0 && now >= v->retry_at) {
                send_order(d, v, now);
            }
        }
        else if (v->recorded && now - v->sent_at >= order_record_ms(d) &&
                 write_record(d, v, CW_LIT(""))) {
            v->recorded = false;
            v->previous_order = VM_NONE;
        }
    }
}

bool
cw_fleet_vm_may_order(const struct cw_jobd *d, const struct fleet_vm *v,
                      cw_ms now)
{
    return v->previous_order == VM_NONE ||
           now - d->role_since >= order_record_ms(d);
}
