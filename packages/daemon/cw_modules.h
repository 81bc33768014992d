/* Modules of the daemon as they see each other. Each has init, finish and, if
 * it keeps time, tick. */
#ifndef CW_MODULES_H
#define CW_MODULES_H

#include "cw_daemon.h"
#include "cw_wire.pb-c.h"

#include <sys/socket.h>

/* ---- address.c ------------------------------------------------------- */

/* Parses ip:port or [ip6]:port. */
enum cw_status cw_address_parse(struct cw_str text,
                                struct sockaddr_storage *sa, socklen_t *len);

/* The address that a socket is bound to, which differs from the settings when
 * those leave the port to the system. */
void cw_address_of(const uv_tcp_t *tcp, struct cw_name *out);

/* ---- follower.c, append.c -------------------------------------------- */

enum cw_status cw_follower_init(struct cw_daemon *d);
void cw_follower_finish(struct cw_daemon *d);
void cw_follower_tick(struct cw_daemon *d, cw_ms now);
/* Time at which the last answered read began. */
cw_ms cw_follower_heard(const struct cw_daemon *d);
cw_ms cw_follower_retention(const struct cw_daemon *d);
uint64_t cw_follower_first(const struct cw_daemon *d);
/* The log's time of the last snapshot part read, without one of the first
 * record read; 0 for none. */
cw_ms cw_follower_snap_time(const struct cw_daemon *d);
/* State that a peer sent while the log is away; ignored once the log was
 * read. */
void cw_follower_import(struct cw_daemon *d, const Cuminwalk__StatePart *part);

struct cw_appends;
struct cw_appends *cw_appends_new(void);
void cw_appends_free(struct cw_appends *a);
/* The record with this id was read at offset. */
void cw_appends_seen(struct cw_appends *a, const struct cw_name *id,
                     enum cw_apply_result result, uint64_t offset,
                     const char *reason);
/* A read that began at began returned everything up to the end. */
void cw_appends_read_end(struct cw_appends *a, cw_ms began);
void cw_appends_send(struct cw_appends *a, struct cw_daemon *d,
                     struct cw_record *r,
                     void (*done)(void *arg, enum cw_append_outcome o,
                                  uint64_t offset, const char *reason),
                     void *arg);
bool cw_appends_empty(const struct cw_appends *a);

/* ---- members.c -------------------------------------------------------- */

enum cw_status cw_members_init(struct cw_daemon *d);
void cw_members_finish(struct cw_daemon *d);
void cw_members_tick(struct cw_daemon *d, cw_ms now);
/* A heartbeat of a peer, or its list of peers seen, arrived. */
void cw_members_seen(struct cw_daemon *d, struct cw_str daemon,
                     uint64_t incarnation, cw_ms now);
/* A peer of this incarnation excludes us from the membership. */
void cw_members_excluded(struct cw_daemon *d);
void cw_members_leave(struct cw_daemon *d);
/* The leave record was read back, or cannot be written. */
bool cw_members_left(const struct cw_daemon *d);
/* This incarnation is in the replica's membership. */
bool cw_members_joined(const struct cw_daemon *d);

/* ---- peers.c ---------------------------------------------------------- */

struct cw_peer;

enum cw_status cw_peers_init(struct cw_daemon *d);
void cw_peers_finish(struct cw_daemon *d);
void cw_peers_tick(struct cw_daemon *d, cw_ms now);
/* Sends an envelope; CW_ERR_UNAVAILABLE when nothing was handed to the
 * socket. */
enum cw_status cw_peer_send(struct cw_peer *p, Cuminwalk__Envelope *env);
struct cw_str cw_peer_name(const struct cw_peer *p);
/* Peer with the most free slots for a service in its last heartbeat, or NULL
 * when none showed any. */
struct cw_peer *cw_peers_pick(struct cw_daemon *d, struct cw_str service,
                              cw_ms now);
/* Takes one of the free slots that a peer announced, and gives it back when
 * the forwarded request ended; none_free: the peer had none after all. */
void cw_peer_take_slot(struct cw_peer *p, struct cw_str service);
void cw_peer_give_slot(struct cw_peer *p, struct cw_str service,
                       bool none_free);
/* Members other than this daemon of which a heartbeat from at least since
 * confirms this incarnation; same_dc counts those in this data centre. */
size_t cw_peers_confirming(const struct cw_daemon *d, cw_ms since,
                           size_t *same_dc);
/* Age of the last heartbeat; -1 when none was received on an open
 * connection. */
cw_ms cw_peers_age(const struct cw_daemon *d, struct cw_str daemon, cw_ms now);
uint64_t cw_peers_applied(const struct cw_daemon *d, struct cw_str daemon);
/* Updates the gauges of the connections. */
void cw_peers_metrics(struct cw_daemon *d);
/* Sends heartbeats before the next interval ends. */
void cw_peers_hurry(struct cw_daemon *d);

/* ---- stats.c, snapshot.c, admin.c -------------------------------------- */

enum cw_status cw_stats_init(struct cw_daemon *d);
void cw_stats_finish(struct cw_daemon *d);
void cw_stats_tick(struct cw_daemon *d, cw_ms now);

enum cw_status cw_snapshots_init(struct cw_daemon *d);
void cw_snapshots_finish(struct cw_daemon *d);
void cw_snapshots_tick(struct cw_daemon *d, cw_ms now);

enum cw_status cw_admin_init(struct cw_daemon *d);
void cw_admin_finish(struct cw_daemon *d);

/* Runs after records were applied. */
void cw_daemon_state_changed(struct cw_daemon *d, cw_ms now);

#endif
