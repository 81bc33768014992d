/* Maintenance and moves as their files see each other: measured load from the
 * log's stat records, VM operations, waves and moves. */
#ifndef CW_CTL_MAINT_H
#define CW_CTL_MAINT_H

#include "cw_daemon.h"

/* Counts and demand of one service, from stat records. */
struct cw_load_entry {
    struct cw_name service;
    double target; /* of the document that the budget was set up for */
    cw_ms window_ms;
    struct cw_budget budget;
    struct cw_trend demand; /* slots in use or asked for */
};

struct cw_loads {
    size_t count;
    struct cw_load_entry **items;
    const struct cw_rec_stat *last; /* the last record taken in */
    cw_ms covered_since;            /* no gap in the records since */
    cw_ms covered_to;
};

/* What the holder remembers of the last operation of one VM. */
struct cw_vm_run {
    struct cw_name vm;
    struct cw_name op;
    uint64_t offset;      /* of the step that the fields below belong to */
    uint64_t incarnation; /* of the VM before the reboot */
    bool settled;
    bool pending; /* a status, call or append is under way */
    bool answered;
    cw_ms next; /* nothing is asked before */
    struct cw_op_status status;
    struct cw_name status_pool;
    char reason[96]; /* why it waits; logged when it changes */
};

struct cw_pool_run {
    struct cw_name pool;
    struct cw_wave wave;
    uint32_t pending; /* appends under way */
    char reason[96];
};

struct cw_ctl_maint {
    cw_ms started;
    cw_ms next;
    cw_ms next_waves;
    cw_ms next_moves;
    uint64_t epoch;
    cw_ms epoch_seen; /* when this replica saw the membership change */
    uint64_t version; /* of the state that the fields below follow */
    uint64_t seq;
    size_t vm_count;
    struct cw_vm_run **vms;          /* sorted by VM, as the state's */
    const struct cw_op_entry **last; /* last operation of each VM, or NULL */
    size_t pool_count;
    struct cw_pool_run **pools;
    struct cw_loads loads;
};

/* ---- ctl_load.c ------------------------------------------------------- */

/* Takes in the stat records that are new in the state. */
void cw_loads_update(struct cw_loads *l, const struct cw_daemon *d);
void cw_loads_finish(struct cw_loads *l);
/* NULL when no record names the service. */
const struct cw_load_entry *cw_loads_find(const struct cw_loads *l,
                                          const struct cw_name *service);
/* True when the records cover the last span without a gap. */
bool cw_loads_cover(const struct cw_loads *l, const struct cw_daemon *d,
                    cw_ms span);
/* Recent counts are there, or nobody ever called a service. Without them
 * neither a budget nor a demand is known. */
bool cw_loads_known(const struct cw_loads *l, const struct cw_daemon *d);
/* The average demand of a service over a span that ends where the records of
 * all daemons are in. */
double cw_loads_demand(const struct cw_loads *l, const struct cw_daemon *d,
                       const struct cw_name *service, cw_ms span);

/* ---- ctl_ops.c -------------------------------------------------------- */

/* Drives the last operation of a VM when this daemon holds its scope. */
void cw_ops_drive(struct cw_daemon *d, size_t vm, cw_ms now);
/* Appends the first record of an operation. wave may be NULL. */
void cw_ops_begin(struct cw_daemon *d, enum cw_op_kind kind, size_t vm,
                  const struct cw_name *to, const struct cw_name *wave,
                  const char *cause, uint64_t doc_version);
/* The VM serves its pool: ready, without an operation that is open or that
 * pool control has yet to undo. */
bool cw_ops_in_service(const struct cw_daemon *d, size_t vm);
/* VMs in service and VMs needed of a pool. */
uint32_t cw_ops_ready(const struct cw_daemon *d, const struct cw_name *pool);
uint32_t cw_ops_needed(const struct cw_daemon *d,
                       const struct cw_doc_entry *doc);
/* No membership change for the slot guard, so that no lapsed member sends. */
bool cw_ops_members_stable(const struct cw_daemon *d, cw_ms now);
/* A new name for a wave or an operation. */
void cw_ops_new_name(struct cw_daemon *d, char kind, struct cw_name *out);

/* ---- ctl_maint.c, ctl_waves.c, ctl_moves.c ----------------------------- */

void cw_ctl_maint_tick(struct cw_daemon *d, cw_ms now);
void cw_ctl_maint_finish(struct cw_daemon *d);
struct cw_pool_run *cw_ctl_pool_run(struct cw_daemon *d,
                                    const struct cw_name *pool);
void cw_ctl_waves_run(struct cw_daemon *d, cw_ms now);
void cw_ctl_moves_run(struct cw_daemon *d, cw_ms now);
/* Fills scope with pool/<name>. */
void cw_ctl_scope(const struct cw_name *pool, struct cw_name *scope);

#endif
