/* Peers and the contents of their last heartbeats. */
#ifndef CW_PEERS_H
#define CW_PEERS_H

#include "cw_modules.h"
#include "cw_peer_net.h"
#include "cw_request.h"

struct cw_peer_drained_vm {
    struct cw_name vm;
    struct cw_name op;
};

struct cw_peer {
    struct cw_name daemon;
    struct cw_name address;
    struct cw_name dc;
    uint64_t incarnation;
    struct cw_peer_conn *conn; /* open or connecting, NULL for none */
    bool ready;                /* Hello was sent and received */
    bool wanted;               /* a member or listed in the settings */
    cw_ms retry_at;

    /* from its last heartbeat on this connection */
    cw_ms heard_at;   /* when it was received, 0 for none */
    cw_ms peer_clock; /* its send time, echoed by our next heartbeat */
    /* When we sent the latest heartbeat that the peer echoed while it counted
     * us as a member. */
    cw_ms confirmed_at;
    uint64_t applied;
    bool stopping;
    size_t load_count;
    struct cw_service_load *loads; /* in the order received */
    size_t drained_count;
    struct cw_peer_drained_vm *drained;

    unsigned heartbeats_sent; /* on this connection */
};

struct cw_peers {
    struct cw_daemon *d;
    struct cw_peer_net net;
    size_t count;
    struct cw_peer **items;
    cw_ms last_heartbeat;
    bool heartbeat_requested; /* the next round is sent early */
    bool listening;
    cw_ms started_at;
    cw_ms state_requested_at;
    /* Heartbeats count as control traffic; the other traffic between daemons
     * is forwarded requests and state. */
    uint64_t heartbeat_bytes_in;
    uint64_t heartbeat_bytes_out;

    /* loads as last sent, so that only changes are sent */
    size_t sent_count;
    struct cw_sent_load *sent;
};

/* Current load of a service, and its load as last sent to the peers. */
struct cw_sent_load {
    struct cw_service_load load;
    struct cw_service_load sent;
    cw_ms sent_at;
    uint32_t hash; /* of the service's name */
    bool chosen;   /* is sent in this round's heartbeats */
};

/* ---- heartbeat.c ------------------------------------------------------ */

void cw_heartbeat_send(struct cw_daemon *d, struct cw_peer *p, cw_ms now);
void cw_heartbeat_receive(struct cw_daemon *d, struct cw_peer *p,
                          const Cuminwalk__Heartbeat *h, cw_ms now);
/* Chooses the loads to send; called before each round of cw_heartbeat_send. */
void cw_heartbeat_choose_loads(struct cw_daemon *d, cw_ms now);

#endif
