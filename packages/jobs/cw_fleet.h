/* Decisions on VMs: how many each pool should have, which VMs move between
 * pools, and which VMs of a maintenance wave are drained and maintained next.
 * Pure functions. */
#ifndef CW_FLEET_H
#define CW_FLEET_H

#include "cw_jobs.h"

/* ---- demand over time ---- */

#define CW_CURVE_SLOT_MS 250
#define CW_CURVE_SLOTS 512 /* 128 s of history */

/* Ring buffer of the work that arrived in a pool, per time slot. */
struct cw_demand_curve {
    double work[CW_CURVE_SLOTS]; /* thousandths of a core x ms */
    uint16_t jobs[CW_CURVE_SLOTS];
    int64_t last_slot;  /* the latest one, counted from time 0 */
    int64_t first_slot; /* the earliest one that is known */
    bool has_data;
};

void cw_curve_add(struct cw_demand_curve *c, cw_ms now, double work,
                  uint32_t jobs);
/* Mean rate of arriving work in thousandths of a core over window_ms up to
 * now, or over up to window_max_ms while few jobs arrived; 0 when too few
 * arrived for a meaningful rate. */
double cw_curve_rate(const struct cw_demand_curve *c, cw_ms now,
                     cw_ms window_ms, cw_ms window_max_ms);
/* The period with which the demand of all curves repeats, or 0 when the
 * history shows none clearly. */
cw_ms cw_curve_period(const struct cw_demand_curve *const *curves, size_t n,
                      cw_ms now);
/* Highest rate of the curve, one period earlier, in the window of window_ms
 * that begins at now + ahead_ms; 0 without history. */
double cw_curve_forecast(const struct cw_demand_curve *c, cw_ms now,
                         cw_ms period, cw_ms ahead_ms, cw_ms window_ms);

/* ---- VMs between pools ---- */

/* Input of the decisions on moves: the state of one pool. */
struct cw_pool_view {
    bool spare;        /* its VMs are off and cost nothing */
    uint64_t need_cpu; /* expected need, thousandths of a core */
    uint64_t need_mb;
    uint64_t urgent_cpu; /* of these, lasting or not late yet */
    uint64_t urgent_mb;
    uint32_t reclaiming;  /* VMs that other pools drain for this one */
    uint32_t reclaimable; /* VMs without lasting tasks, can be drained */
    uint64_t vm_cpu;      /* capacity of the pool's largest VM */
    uint64_t vm_mb;
    bool starved; /* a task waits although the sums show enough capacity */
    /* A waiting task of this step needs a label, or one of few machines; NULL:
     * none does. */
    const struct cw_step *special;
    bool lasting_waits; /* a lasting task has waited too long */
    uint32_t vms;       /* VMs that are up or on their way in */
    uint32_t incoming;  /* of these, on their way in */
    uint32_t vms_min;   /* the pool never has fewer VMs */
    uint32_t idle;      /* VMs that can leave now */
    uint32_t idle_long; /* of these, idle long enough to be turned off */
};

/* A VM as seen from one pool. */
struct cw_vm_view {
    bool in_pool;     /* in the pool, or ordered to move there */
    bool reclaimed;   /* is drained of tasks in order to move there */
    bool incoming;    /* on its way in */
    bool serving;     /* accepts tasks; in a spare pool always true */
    bool reclaimable; /* has no lasting tasks: another pool may take it */
    bool idle;        /* can leave now */
    bool idle_long;   /* idle long enough to be turned off */
    struct cw_resources capacity;
};

/* Adds a VM to the view of a pool. */
void cw_pool_view_add(struct cw_pool_view *p, const struct cw_vm_view *v);

struct cw_vm_transfer {
    size_t from;
    size_t to;
    uint32_t count;
};

/* Share of a pool's capacity up to which its need may grow before the pool
 * wants another VM. */
#define CW_POOL_UTILIZATION_MAX 0.85

uint32_t cw_pool_vms_wanted(const struct cw_pool_view *p);
/* True when the pool has all VMs that its urgent work needs. */
bool cw_pool_urgent_satisfied(const struct cw_pool_view *p);
/* Decides which pools drain busy VMs for others: VMs that hold only late work
 * go to pools with lasting work or work that can still be on time. out holds
 * n * n entries. Returns how many were decided. */
size_t cw_fleet_plan_reclaims(const struct cw_pool_view *pools, size_t n,
                              struct cw_vm_transfer *out);
/* Decides which idle VMs move; out holds n * n entries. Returns how many were
 * decided. */
size_t cw_fleet_plan_transfers(const struct cw_pool_view *pools, size_t n,
                               struct cw_vm_transfer *out);

/* ---- fleet_release.c ---- */

/* A VM that its pool may release. */
struct cw_release_candidate {
    const struct cw_name *pool;
    const struct cw_name *kind;
    bool movable; /* it can leave now */
    cw_ms idle_at;
};

/* Writes the indices of the VMs that can leave a pool, in the order in which
 * the pool should release them; out holds n entries. Returns how many. */
size_t cw_fleet_release_order(const struct cw_release_candidate *vms, size_t n,
                              const struct cw_name *pool, size_t *out);

/* ---- VMs that the list lacks ---- */

/* What is known of a VM at the end of a read of the list of VMs. Only complete
 * reads count: pages that a failed read returned show nothing. */
struct cw_vm_sightings {
    /* Reads that were begun after this process knew of the VM. An earlier one
     * may have been answered before the VM was added. */
    uint32_t reads;
    uint32_t reads_without; /* the last ones in a row whose list lacks it */
    bool has_worker; /* a worker that has reported is registered as the VM's */
};

/* True when the VM no longer exists. One read is not enough: the pages of a
 * list are no snapshot, and a VM may change its page between two of them. */
bool cw_vm_has_left(const struct cw_vm_sightings *v);

/* ---- maintenance waves ---- */

/* Input of the decisions on a wave: the state of one of its VMs. */
struct cw_maint_vm {
    bool done;        /* its maintenance has begun */
    bool down;        /* it has left for maintenance and is not back yet */
    bool absent;      /* the VM no longer exists */
    bool busy;        /* cannot be ordered now, such as during a move */
    bool draining;    /* cordoned and drained for this wave */
    uint32_t tasks;   /* on the VM */
    uint32_t lasting; /* of these */
    uint64_t used_cpu;
};

struct cw_maint_plan {
    size_t maintain_count; /* the first VMs in picked[]: maintain now */
    size_t drain_count;    /* the VMs after these: drain */
    size_t picked[2 * CW_JOB_STEPS_MAX]; /* indices of VMs */
};

/* elapsed_ms of the wave's duration_ms has passed. */
void cw_maint_decide(const struct cw_maint_vm *vms, size_t n, uint32_t at_once,
                     cw_ms elapsed_ms, cw_ms duration_ms,
                     struct cw_maint_plan *out);
bool cw_maint_done(const struct cw_maint_vm *vms, size_t n);
/* False for some time after a takeover: a stop that the previous scheduler
 * sent may still be under way, of which no record tells when its commit
 * failed, while the worker still lists the task as at work. Another stop then
 * takes one task more than the step's limit. */
bool cw_fleet_former_stops_over(cw_ms since_takeover_ms, cw_ms stop_ms);
/* A step's lasting tasks can leave a wave's VMs only may_miss at a time. True
 * when the time left just suffices to move its left tasks one group after the
 * other, so that waiting for free capacity would make the wave late. */
bool cw_maint_evacuation_due(uint32_t left, uint32_t may_miss,
                             cw_ms elapsed_ms, cw_ms duration_ms);

#endif
