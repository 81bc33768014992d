/* Shared by the files of the maintenance module: measured load from the stat
 * records in the log, VM operations, waves and moves. */
#ifndef CW_CTL_MAINT_H
#define CW_CTL_MAINT_H

#include "cw_daemon.h"

/* Counts and demand of one service, from stat records. */
struct cw_load_entry {
    struct cw_name service;
    double target; /* of the document when the budget was initialized */
    cw_ms window_ms;
    struct cw_budget budget;
    struct cw_trend demand; /* slots in use, scaled up by shed requests */
};

struct cw_loads {
    size_t count;
    struct cw_load_entry **items;
    const struct cw_rec_stat *last_stat; /* newest record that was counted */
    cw_ms covered_since; /* wall time after which the records have no gap */
    cw_ms covered_to;    /* end of the newest record */
};

/* The holder's data on the last operation of one VM, besides the log. */
struct cw_vm_ctl {
    struct cw_name vm;
    struct cw_name op;
    uint64_t step_offset; /* of the step record; new steps reset the answers */
    uint64_t incarnation; /* of the VM before the reboot */
    bool settled;         /* op has ended and pool control agrees */
    bool pending;         /* a status request, call or append is in progress */
    bool call_answered;   /* pool control accepted the last call of the step */
    cw_ms next_at;        /* earliest time of the next request or append */
    struct cw_op_status status;
    struct cw_name status_pool;
    char reason[96]; /* why the operation waits; logged when it changes */
};

struct cw_pool_ctl {
    struct cw_name pool;
    struct cw_wave wave;
    uint32_t pending; /* appends in progress */
    char reason[96];  /* why the wave waits; logged when it changes */
};

struct cw_ctl_maint {
    cw_ms started_at;
    cw_ms next_at; /* next run of the operations */
    cw_ms next_waves_at;
    cw_ms next_moves_at;
    uint64_t member_epoch;
    cw_ms member_epoch_at;  /* when this replica read the membership change */
    uint64_t state_version; /* that vms, last_ops and loads were built from */
    uint64_t name_seq; /* makes the names of waves and operations unique */
    size_t vm_count;
    struct cw_vm_ctl **vms; /* sorted by VM; same indices as in the state */
    const struct cw_op_entry **last_ops; /* newest of each VM, or NULL */
    size_t pool_count;
    struct cw_pool_ctl **pools;
    struct cw_loads loads;
};

/* ---- ctl_load.c ------------------------------------------------------- */

/* Counts the stat records that the state got since the last call. */
void cw_loads_update(struct cw_loads *l, const struct cw_daemon *d);
void cw_loads_finish(struct cw_loads *l);
/* NULL when no record names the service. */
const struct cw_load_entry *cw_loads_find(const struct cw_loads *l,
                                          const struct cw_name *service);
/* True when the records cover the last span without a gap and the newest is
 * recent. */
bool cw_loads_cover(const struct cw_loads *l, const struct cw_daemon *d,
                    cw_ms span);
/* True when recent counts exist, or when no service was ever called. Otherwise
 * neither budgets nor demand are known. */
bool cw_loads_known(const struct cw_loads *l, const struct cw_daemon *d);
/* The average demand of a service over a span that ends one stat interval ago,
 * when the records of all daemons have arrived. */
double cw_loads_demand(const struct cw_loads *l, const struct cw_daemon *d,
                       const struct cw_name *service, cw_ms span);

/* ---- ctl_ops.c -------------------------------------------------------- */

/* Takes the next action of a VM's last operation, if this daemon holds the
 * operation's scope. */
void cw_ops_drive(struct cw_daemon *d, size_t vm, cw_ms now);
/* Appends the first record of an operation, which begins it. wave may be
 * NULL. */
void cw_ops_begin(struct cw_daemon *d, enum cw_op_kind kind, size_t vm,
                  const struct cw_name *to, const struct cw_name *wave,
                  const char *cause, uint64_t doc_version);
/* True when the VM serves its pool: it is ready, no operation on it is open,
 * and pool control has undone a cancelled or failed one. */
bool cw_ops_in_service(const struct cw_daemon *d, size_t vm);
/* VMs of a pool that are in service. */
uint32_t cw_ops_count_ready(const struct cw_daemon *d,
                            const struct cw_name *pool);
/* VMs that a document's pool needs for its measured demand. */
uint32_t cw_ops_vms_needed(const struct cw_daemon *d,
                           const struct cw_doc_entry *doc);
/* True when the membership has not changed for slot_guard_ms, so that a lapsed
 * member no longer sends requests. */
bool cw_ops_members_stable(const struct cw_daemon *d, cw_ms now);
/* Makes a unique name for a wave or an operation; kind is its first letter. */
void cw_ops_new_name(struct cw_daemon *d, char kind, struct cw_name *out);

/* ---- ctl_maint.c, ctl_waves.c, ctl_moves.c ----------------------------- */

void cw_ctl_maint_tick(struct cw_daemon *d, cw_ms now);
void cw_ctl_maint_finish(struct cw_daemon *d);
/* The pool's entry, which is added when missing; NULL when memory is short. */
struct cw_pool_ctl *cw_pool_ctl_get(struct cw_daemon *d,
                                    const struct cw_name *pool);
void cw_ctl_run_waves(struct cw_daemon *d, cw_ms now);
void cw_ctl_run_moves(struct cw_daemon *d, cw_ms now);
/* Fills scope with pool/<name>. */
void cw_ctl_pool_scope(const struct cw_name *pool, struct cw_name *scope);

#endif
