/* VMs as the files of the fleet see them. */
#ifndef CW_FLEET_INT_H
#define CW_FLEET_INT_H

#include "cw_fleet.h"
#include "cw_jobd.h"

#define ORDER_TIMEOUT_MS 1000
/* A VM that was ordered and has not come back is no longer counted on. */
#define INCOMING_MAX_MS 6000

enum vm_order { VM_NONE, VM_MOVE, VM_MAINTAIN };

struct fleet_vm {
    struct cw_name name; /* first, for cw_map */
    struct fleet_vm *next;
    struct cw_name pool;
    struct cw_name worker_id; /* as the list has it */
    uint8_t phase;
    struct cw_resources capacity;
    struct cw_name labels[CW_LABELS_MAX];
    size_t label_count;
    struct cw_worker *worker; /* looked up for each decision */
    enum vm_order order;      /* under way */
    bool calling;
    struct cw_name to;
    uint64_t wave;
    uint64_t record_batch; /* the order waits for this batch; 0: it does not */
    bool noted;            /* its note is in the stream */
    enum vm_order former_order; /* of a scheduler before us, in its note */
    cw_ms sent_at;              /* last order */
    cw_ms ordered_at;           /* accepted then; 0: not */
    struct cw_name old_worker;
    cw_ms retry_at;
    cw_ms listed;
    struct cw_name reclaim_to; /* is cleared for this pool; "": not */
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
    uint64_t arrived_jobs;
};

struct cw_fleet {
    struct cw_map vms;
    struct fleet_vm *list;
    size_t vm_count;
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

/* The entry of a VM, made when it is new. */
struct fleet_vm *cw_fleet_vm(struct cw_jobd *d, const struct cw_name *name);
/* VMs of this pool are off. */
bool cw_fleet_spare(const struct cw_jobd *d, const struct cw_name *pool);
bool cw_fleet_same_life(const struct fleet_vm *v);
bool cw_fleet_vm_free(const struct cw_jobd *d, const struct fleet_vm *v,
                      cw_ms now);

/* ---- fleet_orders.c ---- */

/* Begins an order on a VM that runs nothing. */
void cw_fleet_order(struct cw_jobd *d, struct fleet_vm *v, enum vm_order order,
                    const struct cw_name *to, uint64_t wave);
/* Takes up what the stream tells of orders for a VM. */
void cw_fleet_order_recall(struct cw_jobd *d, struct fleet_vm *v);
/* Sends again what got no answer, forgets orders of long ago. */
void cw_fleet_orders_tick(struct cw_jobd *d, cw_ms now);
/* We may order this VM: no order of a former scheduler is in its note, or the
 * time is over that two holders have to keep between their orders. */
bool cw_fleet_vm_ours(const struct cw_jobd *d, const struct fleet_vm *v,
                      cw_ms now);

/* Takes up waves that operators have written. */
void cw_fleet_waves_sync(struct cw_jobd *d, cw_ms now);
/* The maintenance of a VM has begun; kept for the next scheduler. */
void cw_fleet_wave_began(struct cw_jobd *d, uint64_t number,
                         const struct cw_name *vm);
void cw_fleet_wave_run(struct cw_jobd *d, size_t at, cw_ms now);
void cw_fleet_evacuate(struct cw_jobd *d, struct fleet_vm *v, bool room,
                       bool busy, const char *why, cw_ms now);
/* Adds the work that arrived to the demand of the pools. */
void cw_fleet_demand_count(struct cw_jobd *d, cw_ms now);
/* Decides and begins moves. */
void cw_fleet_moves_run(struct cw_jobd *d, cw_ms now);

#endif
