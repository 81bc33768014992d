/* Framed TCP connections between daemons. */
#ifndef CW_PEER_NET_H
#define CW_PEER_NET_H

#include "cuminwalk.h"
#include "cw_frame.h"

#include <sys/socket.h>
#include <uv.h>

struct cw_peer_conn;

/* Callbacks to the owner of the connections. */
struct cw_peer_net_ops {
    /* A connection is open; an incoming one has no user data yet. */
    void (*opened)(void *ctx, struct cw_peer_conn *c, bool incoming);
    /* A frame arrived. Returns true when the owner keeps env and frees it
     * later. */
    bool (*frame)(void *ctx, struct cw_peer_conn *c, Cuminwalk__Envelope *env);
    /* The connection ended or could not be established; c is invalid after
     * the callback. */
    void (*closed)(void *ctx, struct cw_peer_conn *c);
};

#define CW_PEER_READ_BYTES 65536

struct cw_peer_net {
    uv_loop_t *loop;
    const struct cw_peer_net_ops *ops;
    void *ctx;
    uv_tcp_t *listener;
    struct cw_peer_conn *conns;
    uint64_t bytes_in;
    uint64_t bytes_out;
    char read_buf[CW_PEER_READ_BYTES];
};

enum cw_status cw_peer_net_init(struct cw_peer_net *n, uv_loop_t *loop,
                                const struct sockaddr *listen,
                                const struct cw_peer_net_ops *ops, void *ctx);
/* Closes the listener and all connections without calling closed; the loop has
 * to run afterwards to free the handles. */
void cw_peer_net_finish(struct cw_peer_net *n);

/* Starts to connect; data is the connection's user data. NULL when memory is
 * short or connecting fails at once. */
struct cw_peer_conn *cw_peer_net_connect(struct cw_peer_net *n,
                                         const struct sockaddr *to,
                                         void *data);
void cw_peer_conn_close(struct cw_peer_conn *c);
void *cw_peer_conn_data(const struct cw_peer_conn *c);
void cw_peer_conn_set_data(struct cw_peer_conn *c, void *data);
/* Queues one frame for writing. CW_ERR_UNAVAILABLE when the connection is not
 * open, CW_ERR_LIMIT when too many bytes are queued already or the frame is
 * too large, CW_ERR_NOMEM; none of the frame is sent after a failure. */
enum cw_status cw_peer_conn_send(struct cw_peer_conn *c,
                                 Cuminwalk__Envelope *env);
/* Queues the frame on all open connections; a connection that cannot take it
 * is passed over. */
void cw_peer_net_broadcast(struct cw_peer_net *n, Cuminwalk__Envelope *env);

#endif
