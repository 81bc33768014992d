/* The scheduler's view of the VMs, shared by the fleet*.c files. */
#ifndef CW_FLEET_INT_H
#define CW_FLEET_INT_H

#include "cw_fleet.h"
#include "cw_jobd.h"

#define ORDER_TIMEOUT_MS 1000
/* A moved VM that has not registered in this time no longer counts as capacity
 * of its pool. */
#define INCOMING_MAX_MS 6000

enum vm_order { VM_NONE, VM_MOVE, VM_MAINTAIN };

struct fleet_vm {
    struct cw_name name; /* first, for cw_map */
    struct fleet_vm *next;
    struct cw_name pool;
    struct cw_name worker_id; /* from the VM list */
    uint8_t phase;
    struct cw_resources capacity;
    struct cw_name labels[CW_LABELS_MAX];
    size_t label_count;
    struct cw_worker *worker; /* looked up before each decision */
    enum vm_order order;      /* until it is accepted or refused */
    bool call_open;
    struct cw_name target_pool;
    uint64_t wave;
    /* The order is sent once this batch is durable; 0: it need not wait. */
    uint64_t record_batch;
    bool recorded;                  /* the store has a record of an order */
    enum vm_order previous_order;   /* recorded by a previous scheduler */
    cw_ms sent_at;                  /* last order */
    cw_ms accepted_at;              /* 0: no accepted order is in progress */
    struct cw_name previous_worker; /* on the VM at the last order */
    cw_ms retry_at;
    cw_ms listed_at;
    uint32_t reads_without; /* complete reads in a row that lack the VM */
    bool left;              /* it no longer exists; it may be added again */
    cw_ms left_at;
    struct cw_name reclaim_pool; /* moves there once idle; "": none */
    bool draining;               /* cordoned and drained for a wave */
    cw_ms cordoned_at;           /* 0: its worker accepts tasks */
    bool consolidating;          /* its lasting tasks are moved to other VMs */
    cw_ms consolidating_since;
    bool wave_pending; /* a wave has still to maintain it */
};

/* Of a VM of a wave: the first that holds. */
enum wave_vm_state {
    WAVE_VM_DONE,     /* its maintenance has begun */
    WAVE_VM_LEFT,     /* it no longer exists */
    WAVE_VM_UNLISTED, /* never listed; it may be newer than the last list */
    WAVE_VM_ORDERED,  /* an order for it has no answer yet */
    WAVE_VM_NOT_UP,   /* it moves, is maintained or down */
    WAVE_VM_REFUSED,  /* VM control has refused an order; a pause */
    WAVE_VM_FORMER_ORDER, /* a former scheduler's order may be under way */
    WAVE_VM_NO_WORKER,    /* its worker is not registered */
    WAVE_VM_WORKER_AWAY,  /* its worker drains, or has not reported yet */
    WAVE_VM_TASKS,        /* tasks run there */
    WAVE_VM_TURN,         /* others of the wave go first */
    WAVE_VM_STATES
};

struct wave_run {
    uint64_t number;
    cw_ms first_seen;
    bool *done;     /* for each VM of the wave: its maintenance has begun */
    uint32_t reads; /* complete reads of the list since first_seen */
    bool finished;  /* all VMs are done or have left */
    bool left_some; /* finished, and some have left: they may be added again */
    cw_ms logged_at; /* what it waits for; 0: never */
    bool published;
};

struct pool_demand {
    struct cw_name service; /* first, for cw_map */
    struct cw_demand_curve curve;
    uint64_t counted_cpu_ms; /* of the pool's arrivals, already added */
    uint64_t counted_jobs;
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
    bool list_call_open;
    bool list_complete; /* all pages were read at least once */
    cw_ms list_due;
    cw_ms list_began;
    struct cw_name list_page; /* next page to read */
    cw_ms machines_at; /* the workers were last looked at for machines */
    cw_ms plan_due;
    cw_ms log_due;
    cw_ms demand_period;
    cw_ms demand_period_due;
};

/* Returns the entry of a VM, created when it is new. */
struct fleet_vm *cw_fleet_vm_get(struct cw_jobd *d,
                                 const struct cw_name *name);
/* VMs of this pool are off. */
bool cw_fleet_pool_is_spare(const struct cw_jobd *d,
                            const struct cw_name *pool);
/* The VM list and the worker list show the same incarnation of the worker. */
bool cw_fleet_vm_same_worker(const struct fleet_vm *v);
/* True when a VM that an operator has named no longer exists. v: its entry, or
 * NULL when it was never listed; reads: complete reads of the list that were
 * begun after the operator's record was known. */
bool cw_fleet_vm_has_left(const struct cw_jobd *d, const struct fleet_vm *v,
                          const struct cw_name *name, uint32_t reads);
/* The VM's worker accepts no new tasks: the VM is to be moved or maintained,
 * or its tasks are to move to other VMs. */
bool cw_fleet_vm_is_cordoned(const struct fleet_vm *v);
/* The VM runs no tasks and may be ordered now. */
bool cw_fleet_vm_is_idle(const struct cw_jobd *d, const struct fleet_vm *v,
                         cw_ms now);

/* ---- fleet_orders.c ---- */

/* Records an order for a VM that runs no tasks; it is sent once the record is
 * durable. */
void cw_fleet_order_begin(struct cw_jobd *d, struct fleet_vm *v,
                          enum vm_order order, const struct cw_name *to,
                          uint64_t wave);
/* Timeout of a call that nothing fences, at most timeout: it ends with the
 * membership, also when its connection opens late. 0: too little is left. */
cw_ms cw_fleet_call_timeout(const struct cw_jobd *d, cw_ms timeout);
/* Loads a previous scheduler's order for a VM from its record. */
void cw_fleet_order_load(struct cw_jobd *d, struct fleet_vm *v);
/* Resends orders that got no answer and removes the records of old orders. */
void cw_fleet_orders_tick(struct cw_jobd *d, cw_ms now);
/* This scheduler may order the VM: the VM has no recorded order of a previous
 * scheduler, or the minimum time between two daemons' orders has passed. */
bool cw_fleet_vm_may_order(const struct cw_jobd *d, const struct fleet_vm *v,
                           cw_ms now);

/* ---- fleet_machines.c ---- */

/* Passes the machines that exist on to the scheduler's state. */
void cw_fleet_update_machines(struct cw_jobd *d);

/* ---- fleet_movable.c ---- */

/* Updates the capacity of the VMs that could move into each pool. */
void cw_fleet_movable_update(struct cw_jobd *d, cw_ms now);

/* ---- fleet_waves.c ---- */

/* Adds waves that operators have written. */
void cw_fleet_waves_sync(struct cw_jobd *d, cw_ms now);
/* Records for the next scheduler that the maintenance of a VM has begun. */
void cw_fleet_wave_record_vm(struct cw_jobd *d, uint64_t number,
                             const struct cw_name *vm);
void cw_fleet_wave_run(struct cw_jobd *d, size_t index, cw_ms now);
/* What a VM of a wave waits for; index: of the VM in the wave. */
enum wave_vm_state
cw_fleet_wave_vm_state(const struct cw_jobd *d, const struct wave_run *r,
                       size_t index, const struct cw_name *name, cw_ms now);
/* Moves lasting tasks off a VM as far as the limit on unavailable tasks
 * allows; other tasks run to their end. need_capacity: only tasks that another
 * worker has capacity for move; with busy_only, a worker that already has
 * tasks. */
void cw_fleet_evacuate(struct cw_jobd *d, struct fleet_vm *v,
                       bool need_capacity, bool busy_only, const char *why,
                       cw_ms now);

/* ---- fleet_moves.c ---- */

/* Adds the work that arrived to the demand of the pools. */
void cw_fleet_demand_update(struct cw_jobd *d, cw_ms now);
/* Decides on moves and starts them. */
void cw_fleet_moves_run(struct cw_jobd *d, cw_ms now);

#endif
