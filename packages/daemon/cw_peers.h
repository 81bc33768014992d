/* Peers and what their heartbeats said. */
#ifndef CW_PEERS_H
#define CW_PEERS_H

#include "cw_modules.h"
#include "cw_peer_net.h"
#include "cw_request.h"

struct cw_peer_drained {
    struct cw_name vm;
    struct cw_name op;
};

struct cw_peer {
    struct cw_name daemon;
    struct cw_name address;
    struct cw_name dc;
    uint64_t incarnation;
    struct cw_peer_conn *conn; /* NULL: none, not even under way */
    bool ready;                /* Hello went both ways */
    bool wanted;               /* a member or named in the settings */
    cw_ms retry_at;

    /* from its last heartbeat on this connection */
    cw_ms heard;   /* 0 = none */
    cw_ms sent;    /* the peer's time in it, to be echoed */
    cw_ms confirm; /* when we sent the heartbeat that it last answered, while
                    * it counted us as a member */
    uint64_t applied;
    bool stopping;
    size_t load_count;
    struct cw_load *loads; /* sorted as they came */
    size_t drained_count;
    struct cw_peer_drained *drained;

    unsigned beats; /* heartbeats sent on this connection */
};

struct cw_peers {
    struct cw_daemon *d;
    struct cw_peer_net net;
    size_t count;
    struct cw_peer **items;
    cw_ms last_beat;
    bool hurry;
    bool listening;
    cw_ms started;
    cw_ms state_asked;
    /* Traffic of heartbeats, which is control; the rest between daemons is
     * forwarded requests and state. */
    uint64_t beat_bytes_in;
    uint64_t beat_bytes_out;

    /* loads as last sent, to send changes only */
    size_t sent_count;
    struct cw_sent_load *sent;
};

/* A service's load, now and as the peers know it. */
struct cw_sent_load {
    struct cw_load load;
    struct cw_load sent;
    cw_ms sent_at;
    uint32_t hash; /* of the service's name */
    bool chosen;   /* goes into this round's heartbeats */
};

/* ---- heartbeat.c ------------------------------------------------------ */

void cw_heartbeat_send(struct cw_daemon *d, struct cw_peer *p, cw_ms now);
void cw_heartbeat_take(struct cw_daemon *d, struct cw_peer *p,
                       const Cuminwalk__Heartbeat *h, cw_ms now);
/* Notes which loads changed; before a round of cw_heartbeat_send. */
void cw_heartbeat_prepare(struct cw_daemon *d, cw_ms now);

#endif
