/* Interfaces between the daemon's modules. Each module has init and finish,
 * and tick if it has periodic work. */
#ifndef CW_MODULES_H
#define CW_MODULES_H

#include "cw_daemon.h"
#include "cw_wire.pb-c.h"

#include <sys/socket.h>

/* ---- address.c ------------------------------------------------------- */

/* Parses ip:port or [ip6]:port. */
enum cw_status cw_address_parse(struct cw_str text,
                                struct sockaddr_storage *sa, socklen_t *len);

/* The address that a socket is bound to. It differs from the settings when
 * those have port 0, which lets the system choose one. */
void cw_address_of_socket(const uv_tcp_t *tcp, struct cw_name *out);

/* ---- follower.c, append.c -------------------------------------------- */

enum cw_status cw_follower_init(struct cw_daemon *d);
void cw_follower_finish(struct cw_daemon *d);
void cw_follower_tick(struct cw_daemon *d, cw_ms now);
/* Start time of the newest read that the log answered. */
cw_ms cw_follower_last_read(const struct cw_daemon *d);
cw_ms cw_follower_retention_ms(const struct cw_daemon *d);
uint64_t cw_follower_first_offset(const struct cw_daemon *d);
/* The log's time of the last snapshot part that was read, or of the first
 * record read if there was no part; 0 when nothing was read. */
cw_ms cw_follower_snap_time(const struct cw_daemon *d);
/* Imports state that a peer sent while the log is unavailable. Ignored once
 * the log was read. */
void cw_follower_import(struct cw_daemon *d, const Cuminwalk__StatePart *part);

struct cw_appends;
struct cw_appends *cw_appends_new(void);
void cw_appends_free(struct cw_appends *a);
/* The record with this id was read back at offset. */
void cw_appends_record_read(struct cw_appends *a, const struct cw_name *id,
                            enum cw_apply_result result, uint64_t offset,
                            const char *reason);
/* A read that began at began returned everything up to the end of the stream.
 */
void cw_appends_end_reached(struct cw_appends *a, cw_ms began);
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
/* A member's heartbeat arrived, or a peer's heartbeat lists it as seen. */
void cw_members_mark_alive(struct cw_daemon *d, struct cw_str daemon,
                           uint64_t incarnation, cw_ms now);
/* A peer reports that this daemon's incarnation is not a member. */
void cw_members_set_excluded(struct cw_daemon *d);
void cw_members_leave(struct cw_daemon *d);
/* True when the leave record was read back or cannot be written. */
bool cw_members_left(const struct cw_daemon *d);
/* True when this incarnation is in the replica's membership. */
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
/* Peer with the most free slots for a service by its last heartbeat; NULL when
 * no peer reported any. */
struct cw_peer *cw_peers_pick(struct cw_daemon *d, struct cw_str service,
                              cw_ms now);
/* Reserves one of the free slots that a peer reported, and releases it when
 * the forwarded request ended. none_free: the peer answered that it has no
 * free slot. */
void cw_peer_reserve_slot(struct cw_peer *p, struct cw_str service);
void cw_peer_release_slot(struct cw_peer *p, struct cw_str service,
                          bool none_free);
/* Counts the other members that confirmed this incarnation in answer to a
 * heartbeat sent at since or later. same_dc gets the number of those in this
 * data centre. */
size_t cw_peers_count_confirming(const struct cw_daemon *d, cw_ms since,
                                 size_t *same_dc);
/* Age of the last heartbeat; -1 when none was received on an open
 * connection. */
cw_ms cw_peers_heartbeat_age(const struct cw_daemon *d, struct cw_str daemon,
                             cw_ms now);
uint64_t cw_peers_applied_offset(const struct cw_daemon *d,
                                 struct cw_str daemon);
/* Updates the metrics of the connections to peers. */
void cw_peers_update_metrics(struct cw_daemon *d);
/* Sends heartbeats without waiting for the end of the interval. */
void cw_peers_request_heartbeat(struct cw_daemon *d);

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
