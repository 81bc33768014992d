/* Decides which VMs change their pool, and which are maintained next. */
#include "cw_fleet.h"

#include <string.h>

static uint32_t
vms_for_need(uint64_t need, uint64_t vm_capacity)
{
    double usable = CW_POOL_UTILIZATION_MAX * (double)vm_capacity;
    uint32_t n = usable <= 0 ? 0 : (uint32_t)((double)need / usable);

    return usable > 0 && (double)n * usable < (double)need ? n + 1 : n;
}

static uint32_t
vms_for_resources(const struct cw_pool_view *p, uint64_t cpu, uint64_t mb)
{
    uint32_t by_cpu = vms_for_need(cpu, p->vm_cpu);
    uint32_t by_memory = vms_for_need(mb, p->vm_mb);

    return by_cpu > by_memory ? by_cpu : by_memory;
}

uint32_t
cw_pool_vms_wanted(const struct cw_pool_view *p)
{
    uint32_t n = vms_for_resources(p, p->need_cpu, p->need_mb);

    /* Free capacity that is split over VMs may be too small for one task: adds
     * one VM at a time. */
    if (p->starved && p->incoming == 0 && n <= p->vms) {
        n = p->vms + 1;
    }
    return n > p->vms_min ? n : p->vms_min;
}

/* Number of VMs that the urgent work of a pool needs. */
static uint32_t
urgent_vms_wanted(const struct cw_pool_view *p)
{
    uint32_t n = vms_for_resources(p, p->urgent_cpu, p->urgent_mb);

    return n > p->vms_min ? n : p->vms_min;
}

bool
cw_pool_urgent_satisfied(const struct cw_pool_view *p)
{
    return !p->lasting_waits && p->special == NULL &&
           p->vms >= urgent_vms_wanted(p);
}

void
cw_pool_view_add(struct cw_pool_view *p, const struct cw_vm_view *v)
{
    p->reclaiming += v->reclaimed ? 1 : 0;
    if (!v->in_pool) {
        return;
    }
    if (v->capacity.cpu_milli > p->vm_cpu) {
        p->vm_cpu = v->capacity.cpu_milli;
        p->vm_mb = v->capacity.memory_mb;
    }
    p->vms += v->serving || v->incoming ? 1 : 0;
    p->incoming += v->incoming ? 1 : 0;
    p->reclaimable += v->reclaimable ? 1 : 0;
    p->idle += v->idle ? 1 : 0;
    p->idle_long += v->idle_long ? 1 : 0;
}

/* The pool with the largest shortage of VMs, or n. */
static size_t
neediest_pool(const struct cw_pool_view *pools, size_t n)
{
    size_t best = n;
    uint32_t max = 0;

    for (size_t i = 0; i < n; i++) {
        uint32_t want = cw_pool_vms_wanted(&pools[i]);

        if (!pools[i].spare && want > pools[i].vms &&
            want - pools[i].vms > max) {
            max = want - pools[i].vms;
            best = i;
        }
    }
    return best;
}

/* Number of idle VMs that a pool can release. */
static uint32_t
surplus(const struct cw_pool_view *p)
{
    uint32_t want = p->spare ? 0 : cw_pool_vms_wanted(p);
    uint32_t excess = p->vms > want ? p->vms - want : 0;

    return excess < p->idle ? excess : p->idle;
}

/* The pool that releases a VM next, or n: the one with the largest surplus of
 * running VMs, as these cost already; then a pool of VMs that are off. */
static size_t
donor_pool(const struct cw_pool_view *pools, size_t n)
{
    size_t best = n;
    uint32_t max = 0;

    for (size_t i = 0; i < n; i++) {
        if (!pools[i].spare && surplus(&pools[i]) > max) {
            max = surplus(&pools[i]);
            best = i;
        }
    }
    for (size_t i = 0; best == n && i < n; i++) {
        if (pools[i].spare && pools[i].idle > 0) {
            best = i;
        }
    }
    return best;
}

static void
move_vm(struct cw_pool_view *pools, size_t from, size_t to,
        struct cw_vm_transfer *out, size_t *count)
{
    pools[from].vms--;
    pools[from].idle--;
    pools[to].vms++;
    pools[to].incoming++;
    for (size_t i = 0; i < *count; i++) {
        if (out[i].from == from && out[i].to == to) {
            out[i].count++;
            return;
        }
    }
    out[(*count)++] = (struct cw_vm_transfer){from, to, 1};
}

#define POOLS_MAX 128

size_t
cw_fleet_plan_transfers(const struct cw_pool_view *in, size_t n,
                        struct cw_vm_transfer *out)
{
    struct cw_pool_view pools[POOLS_MAX];
    size_t count = 0;
    size_t spare = n;

    if (n > POOLS_MAX) {
        return 0;
    }
    memcpy(pools, in, n * sizeof(*in));
    for (;;) {
        size_t to = neediest_pool(pools, n);
        size_t from = donor_pool(pools, n);

        if (to == n || from == n) {
            break;
        }
        move_vm(pools, from, to, out, &count);
    }
    for (size_t i = 0; i < n; i++) {
        spare = pools[i].spare ? i : spare;
    }
    for (size_t i = 0; spare < n && i < n; i++) {
        uint32_t releasable = pools[i].spare ? 0 : surplus(&pools[i]);
        uint32_t idle_long = pools[i].idle_long;

        for (uint32_t k = 0; k < releasable && k < idle_long; k++) {
            move_vm(pools, i, spare, out, &count);
        }
    }
    return count;
}

size_t
cw_fleet_plan_reclaims(const struct cw_pool_view *in, size_t n,
                       struct cw_vm_transfer *out)
{
    struct cw_pool_view pools[POOLS_MAX];
    size_t count = 0;

    if (n > POOLS_MAX) {
        return 0;
    }
    memcpy(pools, in, n * sizeof(*in));
    for (;;) {
        size_t to = n;
        size_t from = n;
        uint32_t shortage = 0;
        uint32_t excess = 0;

        for (size_t i = 0; i < n; i++) {
            uint32_t want = urgent_vms_wanted(&pools[i]);
            uint32_t have = pools[i].vms + pools[i].reclaiming;

            if (pools[i].spare) {
                continue;
            }
            if (pools[i].lasting_waits && pools[i].incoming == 0 &&
                pools[i].reclaiming == 0 && want <= have) {
                want = have + 1;
            }
            if (want > have && want - have > shortage) {
                shortage = want - have;
                to = i;
            }
            if (pools[i].vms > urgent_vms_wanted(&pools[i]) &&
                pools[i].reclaimable > 0 &&
                pools[i].vms - urgent_vms_wanted(&pools[i]) > excess) {
                excess = pools[i].vms - urgent_vms_wanted(&pools[i]);
                from = i;
            }
        }
        if (to == n || from == n || from == to) {
            return count;
        }
        pools[from].vms--;
        pools[from].reclaimable--;
        pools[to].reclaiming++;
        if (count > 0 && out[count - 1].from == from &&
            out[count - 1].to == to) {
            out[count - 1].count++;
        }
        else if (count < n * n) {
            out[count++] = (struct cw_vm_transfer){from, to, 1};
        }
        else {
            return count;
        }
    }
}

/* ---- VMs that the list lacks ---- */

#define READS_WITHOUT_MIN 2

bool
cw_vm_has_left(const struct cw_vm_sightings *v)
{
    uint32_t reads = v->reads < v->reads_without ? v->reads : v->reads_without;

    return !v->has_worker && reads >= READS_WITHOUT_MIN;
}

/* ---- maintenance waves ---- */

/* VMs drained at a time while the wave is on schedule: a base number plus a
 * share of its VMs. FINISH_SHARE is the share of the duration by which all VMs
 * should be done. */
#define DRAIN_AT_ONCE_BASE 2
#define DRAIN_SHARE 0.05
#define FINISH_SHARE 0.6
/* Time to move the lasting tasks off one VM, a few at a time. As many such VMs
 * are drained together as the time that is left requires. */
#define LASTING_DRAIN_MS 8000

bool
cw_maint_done(const struct cw_maint_vm *vms, size_t n)
{
    for (size_t i = 0; i < n; i++) {
        if (!vms[i].done && !vms[i].absent) {
            return false;
        }
    }
    return true;
}

/* Time from the stop of a lasting task until it serves elsewhere, measured at
 * 2.5 to 3.3 s, and the share of a wave's duration that may be planned for
 * such moves: the VMs have still to be drained of other tasks and maintained.
 */
#define EVACUATION_MS 3300
#define EVACUATION_SHARE 0.75

/* Time of a stop's call, and until the worker's next report. */
#define STOP_CALL_MS 700

bool
cw_fleet_former_stops_over(cw_ms since_takeover_ms, cw_ms stop_ms)
{
    return since_takeover_ms >= stop_ms + STOP_CALL_MS;
}

bool
cw_maint_evacuation_due(uint32_t left, uint32_t may_miss, cw_ms elapsed_ms,
                        cw_ms duration_ms)
{
    uint32_t at_once = may_miss > 0 ? may_miss : 1;
    cw_ms rounds = (left + at_once - 1) / at_once;

    return elapsed_ms + rounds * EVACUATION_MS >
           (cw_ms)(EVACUATION_SHARE * (double)duration_ms);
}

/* VMs to drain together so that all with lasting tasks are done by
 * FINISH_SHARE of the wave's duration. */
static uint32_t
lasting_drains_needed(uint32_t left, cw_ms elapsed_ms, cw_ms duration_ms)
{
    double ms = FINISH_SHARE * (double)duration_ms - (double)elapsed_ms;

    return ms < LASTING_DRAIN_MS
               ? left
               : (uint32_t)((double)left * LASTING_DRAIN_MS / ms) + 1;
}

/* The VM that is cheapest to drain, or n: fewest lasting tasks, then least
 * load. */
static size_t
cheapest_to_drain(const struct cw_maint_vm *vms, size_t n, const bool *picked)
{
    size_t best = n;

    for (size_t i = 0; i < n; i++) {
        const struct cw_maint_vm *v = &vms[i];

        if (v->done || v->absent || v->busy || v->draining || picked[i]) {
            continue;
        }
        if (best == n || v->lasting < vms[best].lasting ||
            (v->lasting == vms[best].lasting &&
             v->used_cpu < vms[best].used_cpu)) {
            best = i;
        }
    }
    return best;
}

void
cw_maint_decide(const struct cw_maint_vm *vms, size_t n, uint32_t at_once,
                cw_ms elapsed_ms, cw_ms duration_ms, struct cw_maint_plan *out)
{
    static bool picked[CW_JOB_TASKS_MAX];
    uint32_t down = 0;
    uint32_t left = 0;
    uint32_t draining = 0;
    uint32_t lasting_left = 0;
    uint32_t needed;
    uint32_t max;
    double pace = duration_ms <= 0 ? 1
                                   : (double)elapsed_ms /
                                         (FINISH_SHARE * (double)duration_ms);

    memset(out, 0, sizeof(*out));
    if (n > CW_JOB_TASKS_MAX) {
        return;
    }
    memset(picked, 0, n * sizeof(*picked));
    for (size_t i = 0; i < n; i++) {
        down += vms[i].down ? 1 : 0;
        left += !vms[i].done && !vms[i].absent ? 1 : 0;
        draining += vms[i].draining && !vms[i].done ? 1 : 0;
        lasting_left +=
            !vms[i].done && !vms[i].absent && vms[i].lasting > 0 ? 1 : 0;
    }
    for (size_t i = 0; i < n && down < at_once; i++) {
        if (!vms[i].done && !vms[i].absent && !vms[i].busy &&
            vms[i].tasks == 0 && out->maintain_count < CW_JOB_STEPS_MAX) {
            out->picked[out->maintain_count++] = i;
            picked[i] = true;
            down++;
            left--;
        }
    }
    /* Drains more VMs at a time when the wave is behind an even pace. */
    max = DRAIN_AT_ONCE_BASE + (uint32_t)(DRAIN_SHARE * (double)n);
    if (n > 0 && 1.0 - (double)left / (double)n < pace) {
        max += (uint32_t)((pace - 1.0 + (double)left / (double)n) * (double)n);
    }
    needed = lasting_drains_needed(lasting_left, elapsed_ms, duration_ms);
    if (lasting_left > 0 && needed > max) {
        max = needed;
    }
    if (max > at_once) {
        max = at_once > 0 ? at_once : 1;
    }
    while (draining < max && out->drain_count < CW_JOB_STEPS_MAX) {
        size_t i = cheapest_to_drain(vms, n, picked);

        if (i == n) {
            break;
        }
        picked[i] = true;
        draining++;
        out->picked[out->maintain_count + out->drain_count++] = i;
    }
}
