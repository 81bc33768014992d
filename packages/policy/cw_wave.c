/* Maintenance waves: when to open one, which VMs form the next batch, when to
 * hold and when to resume. */
#include "cuminwalk.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

struct cw_wave_params
cw_wave_defaults(void)
{
    return (struct cw_wave_params){
        .healthy_ms = 30 * CW_SECOND,
        .retry_ms = CW_HOUR,
        .hold_wait_ms = CW_HOUR,
        .deadline_share = 0.9,
        .earliest_share = 0.5,
        .open_share = 0.1,
        .first_limit = 2,
        .first_share = 0.1,
        .dc_share = 0.5,
        .one_dc = true,
        .one_rack = true,
        .check_capacity = true,
        .check_budget = true,
        .hold = true,
        .wait_for_others = true,
        .avoid_shared_rack = true,
        .spread = true,
    };
}

void
cw_wave_init(struct cw_wave *w)
{
    w->healthy_since = 0;
}

uint32_t
cw_wave_limit(const struct cw_wave_params *p, size_t vm_count, size_t op_count,
              const struct cw_wave_op *ops)
{
    if (p->fixed_batch > 0) {
        return p->fixed_batch;
    }
    uint32_t share = (uint32_t)(p->first_share * (double)vm_count);
    uint32_t limit = p->first_limit > share ? p->first_limit : share;
    limit = limit > 0 ? limit : 1;
    size_t i = 0;
    while (i < op_count) {
        uint64_t end = ops[i].last_offset;
        bool failed = false;
        bool open = false;
        for (; i < op_count && ops[i].first_offset <= end; i++) {
            end = ops[i].last_offset > end ? ops[i].last_offset : end;
            failed = failed || ops[i].step == CW_STEP_FAILED;
            open = open || !cw_op_ended(ops[i].step);
        }
        if (failed) {
            limit = limit > 1 ? limit / 2 : 1;
        }
        else if (!open && limit < CW_WAVE_BATCH_MAX) {
            limit++;
        }
    }
    return limit;
}

/* ---- due VMs --------------------------------------------------------- */

struct vm_age {
    cw_ms maintained;
    uint32_t vm;
};

static int
compare_age(const void *a, const void *b)
{
    const struct vm_age *x = a;
    const struct vm_age *y = b;
    if (x->maintained != y->maintained) {
        return x->maintained < y->maintained ? -1 : 1;
    }
    return x->vm < y->vm ? -1 : 1;
}

/* Fills order with the VMs, the longest unmaintained first, and returns the
 * time of the latest maintenance. */
static cw_ms
sort_by_age(const struct cw_wave_in *in, struct vm_age *order)
{
    cw_ms latest = 0;
    for (size_t i = 0; i < in->vm_count; i++) {
        cw_ms m = in->vms[i].maintained;
        order[i] = (struct vm_age){m, (uint32_t)i};
        latest = m > latest ? m : latest;
    }
    qsort(order, in->vm_count, sizeof(order[0]), compare_age);
    return latest;
}

/* Number of VMs that maintenance at an even rate would have started since the
 * latest one. The rate is the lowest at which every VM meets its deadline when
 * the longest unmaintained goes first. */
static double
paced_count(const struct cw_wave_params *p, const struct cw_wave_in *in,
            const struct vm_age *order, cw_ms latest)
{
    double rate = 0;
    cw_ms allowed = (cw_ms)((double)in->maintain_every_ms * p->deadline_share);
    for (size_t i = 0; i < in->vm_count; i++) {
        cw_ms left = order[i].maintained + allowed - in->wall;
        if (left <= 0) {
            continue; /* overdue: due regardless of the rate */
        }
        double r = (double)(i + 1) / (double)left;
        rate = r > rate ? r : rate;
    }
    /* No VM was eligible before the oldest reached the minimum age. */
    cw_ms min_age = (cw_ms)((double)in->maintain_every_ms * p->earliest_share);
    cw_ms since = in->vm_count > 0 ? order[0].maintained + min_age : 0;
    since = latest > since ? latest : since;
    return rate * (double)(in->wall - since);
}

static bool
is_eligible(const struct cw_wave_params *p, const struct cw_wave_in *in,
            const struct cw_wave_vm *v)
{
    cw_ms min_age = (cw_ms)((double)in->maintain_every_ms * p->earliest_share);
    return v->ready && !v->busy && !v->in_wave &&
           in->wall - v->maintained >= min_age &&
           (v->failed_at == 0 || in->wall - v->failed_at >= p->retry_ms);
}

uint32_t
cw_wave_due(const struct cw_wave_params *p, const struct cw_wave_in *in,
            bool *due)
{
    struct vm_age order[CW_WAVE_VMS_MAX];
    CW_INVARIANT(in->vm_count <= CW_WAVE_VMS_MAX);
    memset(due, 0, in->vm_count * sizeof(due[0]));
    cw_ms latest = sort_by_age(in, order);
    double pace = p->spread ? paced_count(p, in, order, latest) : 0;
    cw_ms allowed = (cw_ms)((double)in->maintain_every_ms * p->deadline_share);
    uint32_t count = 0;
    for (size_t i = 0; i < in->vm_count; i++) {
        const struct cw_wave_vm *v = &in->vms[order[i].vm];
        bool overdue = in->wall - v->maintained >= allowed;
        if (is_eligible(p, in, v) && (overdue || count + 1 <= pace)) {
            due[order[i].vm] = true;
            count++;
        }
    }
    return count;
}

/* ---- the next batch -------------------------------------------------- */

static bool
is_busy_rack(const struct cw_wave_in *in, struct cw_str rack)
{
    for (size_t i = 0; i < in->busy_rack_count; i++) {
        if (cw_str_eq(in->busy_racks[i], rack)) {
            return true;
        }
    }
    return false;
}

/* True when a held wave of another pool blocks the VM: any hold in another
 * data centre, or one in the VM's rack. A hold older than hold_wait_ms is
 * ignored, so that one broken pool does not make the whole fleet miss its
 * maintenance interval of two weeks. */
static bool
is_held_elsewhere(const struct cw_wave_params *p, const struct cw_wave_in *in,
                  const struct cw_wave_vm *v)
{
    for (size_t i = 0; p->wait_for_others && i < in->hold_count; i++) {
        const struct cw_wave_hold *h = &in->holds[i];
        if (h->dc.len > 0 && in->wall - h->since < p->hold_wait_ms &&
            (!cw_str_eq(h->dc, v->dc) || cw_str_eq(h->rack, v->rack))) {
            return true;
        }
    }
    return false;
}

/* Clears due for VMs blocked by the wave or an operation of another pool and
 * returns the number left. */
static uint32_t
drop_blocked(const struct cw_wave_params *p, const struct cw_wave_in *in,
             bool *due, const char **reason)
{
    uint32_t left = 0;
    for (size_t i = 0; i < in->vm_count; i++) {
        if (!due[i]) {
            continue;
        }
        if (is_held_elsewhere(p, in, &in->vms[i])) {
            *reason = "another data centre's wave is on hold";
            due[i] = false;
        }
        else if (p->avoid_shared_rack && is_busy_rack(in, in->vms[i].rack)) {
            *reason = "a VM of another pool in the rack is out of service";
            due[i] = false;
        }
        left += due[i];
    }
    return left;
}

/* Index of the longest unmaintained due VM in the data centre and rack, where
 * an empty view matches any; vm_count when there is none. */
static size_t
oldest_due(const struct cw_wave_in *in, const bool *due, struct cw_str dc,
           struct cw_str rack)
{
    size_t best = in->vm_count;
    for (size_t i = 0; i < in->vm_count; i++) {
        const struct cw_wave_vm *v = &in->vms[i];
        if (due[i] && (dc.len == 0 || cw_str_eq(dc, v->dc)) &&
            (rack.len == 0 || cw_str_eq(rack, v->rack)) &&
            (best == in->vm_count ||
             v->maintained < in->vms[best].maintained)) {
            best = i;
        }
    }
    return best;
}

static uint32_t
count_due_in_rack(const struct cw_wave_in *in, const bool *due,
                  struct cw_str dc, struct cw_str rack)
{
    uint32_t n = 0;
    for (size_t i = 0; i < in->vm_count; i++) {
        n += due[i] && cw_str_eq(dc, in->vms[i].dc) &&
             cw_str_eq(rack, in->vms[i].rack);
    }
    return n;
}

/* The rack for the next picks: among the racks with enough due VMs to fill
 * the batch, that of the longest unmaintained VM; else the rack with the
 * most due VMs. */
static struct cw_str
choose_rack(const struct cw_wave_in *in, const bool *due, struct cw_str dc,
            uint32_t want)
{
    size_t best = in->vm_count;
    uint32_t best_count = 0;
    for (size_t i = 0; i < in->vm_count; i++) {
        if (!due[i] || !cw_str_eq(dc, in->vms[i].dc)) {
            continue;
        }
        uint32_t n = count_due_in_rack(in, due, dc, in->vms[i].rack);
        n = n < want ? n : want;
        if (n > best_count ||
            (n == best_count &&
             in->vms[i].maintained < in->vms[best].maintained)) {
            best = i;
            best_count = n;
        }
    }
    return in->vms[best].rack;
}

static uint32_t
dc_batch_limit(const struct cw_wave_params *p, const struct cw_wave_in *in,
               struct cw_str dc)
{
    uint32_t ready = 0;
    for (size_t i = 0; i < in->vm_count; i++) {
        ready += in->vms[i].ready && cw_str_eq(dc, in->vms[i].dc);
    }
    uint32_t limit = (uint32_t)(p->dc_share * ready);
    return limit > 0 ? limit : 1;
}

static void
pick_batch(const struct cw_wave_params *p, const struct cw_wave_in *in,
           bool *due, uint32_t limit, struct cw_wave_out *out)
{
    struct cw_str any = {0};
    size_t first = oldest_due(in, due, any, any);
    struct cw_str dc = p->one_dc ? in->vms[first].dc : any;
    uint32_t most = p->one_dc ? dc_batch_limit(p, in, dc) : limit;
    limit = most < limit ? most : limit;
    while (out->count < limit) {
        struct cw_str rack = any;
        if (oldest_due(in, due, dc, any) == in->vm_count) {
            return;
        }
        if (p->one_rack && dc.len > 0) {
            rack = choose_rack(in, due, dc, limit - (uint32_t)out->count);
        }
        size_t i = oldest_due(in, due, dc, rack);
        while (i < in->vm_count && out->count < limit) {
            out->picks[out->count++] = (uint32_t)i;
            due[i] = false;
            i = oldest_due(in, due, dc, rack);
        }
    }
}

/* ---- health and wave records ----------------------------------------- */

/* True when the operation failed after the wave's last record or, in a held
 * wave, within the last healthy_ms, as a resume needs that time without
 * failures. */
static bool
is_recent_failure(const struct cw_wave_params *p, const struct cw_wave_in *in,
                  const struct cw_wave_op *op)
{
    if (op->step != CW_STEP_FAILED) {
        return false;
    }
    return in->held ? in->wall - op->ended < p->healthy_ms
                    : op->ended > in->changed;
}

/* Returns whether the pool is unhealthy and if so writes the reason. */
static bool
is_unhealthy(const struct cw_wave_params *p, const struct cw_wave_in *in,
             uint32_t ready, char reason[96])
{
    for (size_t i = 0; i < in->op_count; i++) {
        if (is_recent_failure(p, in, &in->ops[i])) {
            snprintf(reason, 96, "VM %.*s did not return",
                     CW_FMT(in->ops[i].vm));
            return true;
        }
    }
    if (ready < in->needed) {
        snprintf(reason, 96, "%u VMs ready, %u needed", ready, in->needed);
        return true;
    }
    if (in->burning) {
        snprintf(reason, 96, "failure rate above the burn limit");
        return true;
    }
    return false;
}

static uint32_t
count_ready(const struct cw_wave_in *in)
{
    uint32_t ready = 0;
    for (size_t i = 0; i < in->vm_count; i++) {
        ready += in->vms[i].ready && !in->vms[i].busy;
    }
    return ready;
}

static bool
is_batch_open(const struct cw_wave_in *in)
{
    for (size_t i = 0; i < in->op_count; i++) {
        if (!cw_op_ended(in->ops[i].step)) {
            return true;
        }
    }
    return false;
}

static void
set_record(struct cw_wave_out *out, enum cw_wave_action action,
           const char *reason)
{
    out->decision = CW_WAVE_RECORD;
    out->action = action;
    if (reason != out->reason) {
        snprintf(out->reason, sizeof(out->reason), "%s", reason);
    }
}

static void
set_wait(struct cw_wave_out *out, const char *reason)
{
    out->decision = CW_WAVE_WAIT;
    snprintf(out->reason, sizeof(out->reason), "%s", reason);
}

/* Starts or continues the healthy period; true when it has lasted healthy_ms.
 */
static bool
has_been_healthy(struct cw_wave *w, const struct cw_wave_params *p,
                 const struct cw_wave_in *in)
{
    if (w->healthy_since == 0) {
        w->healthy_since = in->wall;
    }
    return in->wall - w->healthy_since >= p->healthy_ms;
}

static void
decide_held(struct cw_wave *w, const struct cw_wave_params *p,
            const struct cw_wave_in *in, bool unhealthy,
            struct cw_wave_out *out)
{
    if (unhealthy) {
        w->healthy_since = 0;
        out->decision = CW_WAVE_WAIT; /* is_unhealthy set the reason */
        return;
    }
    if (has_been_healthy(w, p, in)) {
        w->healthy_since = 0;
        set_record(out, CW_WAVE_RESUME, "healthy again");
        return;
    }
    set_wait(out, "healthy for less than the required time");
}

/* Opening a wave also waits for healthy_ms, because a new holder does not know
 * the pool's health and failure counts yet. */
static void
decide_open(struct cw_wave *w, const struct cw_wave_params *p,
            const struct cw_wave_in *in, const bool *due,
            struct cw_wave_out *out)
{
    bool healthy = has_been_healthy(w, p, in);
    uint32_t due_to_open =
        (uint32_t)ceil(p->open_share * (double)in->vm_count);
    cw_ms allowed = (cw_ms)((double)in->maintain_every_ms * p->deadline_share);
    bool overdue = false;
    for (size_t i = 0; i < in->vm_count; i++) {
        overdue =
            overdue || (due[i] && in->wall - in->vms[i].maintained >= allowed);
    }
    if (out->due == 0 || (out->due < due_to_open && !overdue)) {
        set_wait(out, "no VMs due");
    }
    else if (!in->window_open) {
        set_wait(out, "outside the maintenance windows");
    }
    else if (in->exhausted && p->check_budget) {
        set_wait(out, "availability budget used up");
    }
    else if (!healthy) {
        set_wait(out, "healthy for less than the required time");
    }
    else {
        snprintf(out->reason, sizeof(out->reason), "%u VMs due", out->due);
        set_record(out, CW_WAVE_OPEN, out->reason);
    }
}

static void
decide_batch(const struct cw_wave_params *p, const struct cw_wave_in *in,
             bool *due, uint32_t ready, struct cw_wave_out *out)
{
    const char *reason = "";
    uint32_t limit = out->limit;
    if (p->check_capacity) {
        uint32_t spare = cw_vms_surplus(ready, in->needed);
        limit = spare < limit ? spare : limit;
        reason = spare == 0 ? "no VM can be spared" : reason;
    }
    if (p->check_budget && in->budget_limit < limit) {
        limit = in->budget_limit;
        reason = limit == 0 ? "availability budget used up" : reason;
    }
    limit = limit < CW_WAVE_BATCH_MAX ? limit : CW_WAVE_BATCH_MAX;
    if (limit == 0 || drop_blocked(p, in, due, &reason) == 0) {
        set_wait(out, reason);
        return;
    }
    out->decision = CW_WAVE_START;
    pick_batch(p, in, due, limit, out);
}

void
cw_wave_decide(struct cw_wave *w, const struct cw_wave_params *p,
               const struct cw_wave_in *in, struct cw_wave_out *out)
{
    bool due[CW_WAVE_VMS_MAX];
    memset(out, 0, sizeof(*out));
    if (!in->log_available) {
        w->healthy_since = 0;
        set_wait(out, "log unavailable");
        return;
    }
    if (in->vm_count > CW_WAVE_VMS_MAX) {
        set_wait(out, "pool above 4096 VMs");
        return;
    }
    uint32_t ready = count_ready(in);
    out->limit = cw_wave_limit(p, in->vm_count, in->op_count, in->ops);
    out->due = cw_wave_due(p, in, due);
    bool unhealthy = p->hold && is_unhealthy(p, in, ready, out->reason);
    if (in->open && in->held) {
        decide_held(w, p, in, unhealthy, out);
    }
    else if (unhealthy && in->open) {
        w->healthy_since = 0;
        set_record(out, CW_WAVE_HOLD, out->reason);
    }
    else if (unhealthy) {
        w->healthy_since = 0;
        out->decision = CW_WAVE_WAIT;
    }
    else if (!in->open) {
        decide_open(w, p, in, due, out);
    }
    else if (is_batch_open(in)) {
        set_wait(out, "batch in progress");
    }
    else if (!in->window_open) {
        set_record(out, CW_WAVE_CLOSE, "window ended");
    }
    else if (out->due == 0) {
        set_record(out, CW_WAVE_CLOSE, "no VMs due");
    }
    else {
        decide_batch(p, in, due, ready, out);
    }
}
