/* This daemon's view of the runners: the endpoints at the VMs' addresses. */
#ifndef CW_RUNNERS_H
#define CW_RUNNERS_H

#include "cw_daemon.h"
#include "cw_map.h"

#include <h2o.h>

/* The runner of a VM under one incarnation and pool. */
struct cw_runner {
    struct cw_endpoint ep; /* routing state; ep.ctx is the runner */
    struct cw_name vm;
    struct cw_name pool;
    struct cw_name dc;
    struct cw_name rack;
    struct cw_name address;
    struct cw_name op; /* open operation of the VM, empty for none */

    bool probed;     /* ep.ready was set by a probe, here or at a peer */
    cw_ms probed_at; /* last probe sent by this daemon */
    bool probing;
    unsigned probe_failures;
    cw_ms ready_changed_at; /* last change of ep.ready */

    struct cw_service *service; /* last service whose route had it, or NULL */
    bool routed;                /* is in the route of that service */

    h2o_socketpool_t sockets;
    bool retired; /* replaced or removed; freed when idle */
    cw_ms retired_at;
    struct cw_runner *next_retired;
};

struct cw_listed_vm;

struct cw_runners {
    struct cw_daemon *d;
    size_t count;
    struct cw_runner **items; /* sorted by VM */
    struct cw_runner *retired;
    struct cw_leaving leaving;

    struct cw_listed_vm **listed; /* VMs of the platform's VM list */
    size_t listed_count;
    size_t listed_cap;
    struct cw_map listed_by_vm; /* the same by VM */
    uint64_t list_version;
    bool list_pending;
    bool list_failed; /* the last request failed; a change is logged */
    cw_ms list_checked_at;
};

enum cw_status cw_runners_init(struct cw_daemon *d);
void cw_runners_finish(struct cw_daemon *d);
void cw_runners_tick(struct cw_daemon *d, cw_ms now);
/* Rebuilds the runners from the state after records were applied. */
void cw_runners_refresh(struct cw_daemon *d, cw_ms now);
struct cw_runner *cw_runners_find(const struct cw_daemon *d, struct cw_str vm);
/* Records a signal that the runner of a VM's incarnation is leaving. */
void cw_runners_add_leaving_signal(struct cw_daemon *d, struct cw_str vm,
                                   uint64_t incarnation,
                                   enum cw_leaving_source source);
/* Applies the result of a readiness probe, made here or by a peer. */
void cw_runner_set_ready(struct cw_daemon *d, struct cw_runner *e, bool ready,
                         cw_ms now);

/* ---- vm_list.c -------------------------------------------------------- */

void cw_vm_list_tick(struct cw_daemon *d, cw_ms now);
void cw_vm_list_finish(struct cw_runners *all);

/* ---- probes.c --------------------------------------------------------- */

enum cw_status cw_probes_init(struct cw_daemon *d);
void cw_probes_finish(struct cw_daemon *d);
void cw_probes_tick(struct cw_daemon *d, cw_ms now);
/* Called after runners were added, replaced or removed. */
void cw_probes_runners_changed(struct cw_daemon *d);
/* The member that probes a runner, by rendezvous hashing. */
const struct cw_member_entry *cw_probes_owner(const struct cw_daemon *d,
                                              const struct cw_runner *e);

#endif
