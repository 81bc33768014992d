/* The daemon: the structure that holds the loop, the replicated state, the
 * ports and the modules, and the functions that control modules use. */
#ifndef CW_DAEMON_H
#define CW_DAEMON_H

#include "cuminwalk.h"
#include "cw_ports.h"

#include <uv.h>

struct cw_append;
struct cw_ctl_maint;
struct cw_ctl_moves;
struct cw_ctl_place;

struct cw_daemon {
    uv_loop_t *loop;
    struct cw_clock clock;
    struct cw_rng rng;
    const struct cw_settings *settings;
    struct cw_state state;
    struct cw_metrics metrics;

    /* Addresses that the listeners are bound to. */
    struct cw_name listen;
    struct cw_name peer_listen;
    struct cw_name admin_listen;

    struct cw_log_port log;
    struct cw_vmlist_port vmlist;
    struct cw_pool_port pool;
    struct cw_worker_port worker;
    /* Traffic of the clients behind the ports, for the metrics; NULL for a
     * port that does not count it. */
    const struct cw_traffic *log_traffic;
    const struct cw_traffic *vmlist_traffic;
    const struct cw_traffic *pool_traffic;
    const struct cw_traffic *worker_traffic;
    struct cw_traffic probe_traffic;

    struct cw_follower *follower;
    struct cw_members *members;
    struct cw_peers *peers;
    struct cw_runners *runners;
    struct cw_probes *probes;
    struct cw_upstream_ctx *upstream;
    struct cw_dispatch *dispatch;
    struct cw_forward *forward;
    struct cw_keys *keys;
    struct cw_stats *stats;
    struct cw_snapshots *snapshots;
    struct cw_front *front;
    struct cw_admin *admin;

    /* State of the control modules, allocated on the module's first tick or by
     * its init entry in the control table. */
    struct cw_ctl_maint *ctl_maint;
    struct cw_ctl_moves *ctl_moves;
    struct cw_ctl_place *ctl_place;

    uint64_t incarnation;     /* of the current or next join */
    uint64_t record_seq;      /* makes record ids unique */
    uint64_t request_seq;     /* makes request ids unique */
    uint32_t front_in_flight; /* requests not yet answered in full */

    uv_timer_t timer;
    bool timer_open;
    cw_ms last_tick;
    bool stopping; /* SIGTERM was received */
    cw_ms stop_began;
    cw_ms leave_began;
    bool stopped; /* the graceful stop is complete; the loop may end */
    char msg[CW_MSG_MAX];
};

/* Interval of cw_daemon_tick. A shorter one would cost wake-ups while idle, a
 * longer one would delay the expiry of queued requests. */
#define CW_TICK_MS 20

/* Initializes all modules and starts listening. The caller has set the ports,
 * loop, clock and settings; all other fields are zero. */
enum cw_status cw_daemon_start(struct cw_daemon *d);
/* Runs the ticks of all modules; the timer calls it every CW_TICK_MS. */
void cw_daemon_tick(struct cw_daemon *d);
/* Begins the graceful stop; d->stopped turns true at its end. */
void cw_daemon_stop(struct cw_daemon *d);
void cw_daemon_finish(struct cw_daemon *d);

static inline cw_ms
cw_daemon_now(const struct cw_daemon *d)
{
    return d->clock.now(d->clock.ctx);
}

static inline cw_ms
cw_daemon_wall(const struct cw_daemon *d)
{
    return d->clock.wall(d->clock.ctx);
}

static inline struct cw_str
cw_daemon_name(const struct cw_daemon *d)
{
    return cw_name_str(&d->settings->daemon);
}

/* ---- control modules ------------------------------------------------ */

/* A control module runs on every daemon, but acts only for the scopes that
 * this daemon holds. tick is called every CW_TICK_MS, so a module with a
 * longer interval keeps the time of its next run. init and finish may be
 * NULL. */
struct cw_ctl {
    const char *name;
    void (*init)(struct cw_daemon *d);
    void (*tick)(struct cw_daemon *d, cw_ms now);
    void (*finish)(struct cw_daemon *d);
};

/* All control modules, in ctl_table.c; a NULL name ends the table. */
extern const struct cw_ctl cw_ctl_table[];

/* ---- appending to the stream config --------------------------------- */

enum cw_append_outcome {
    CW_APPEND_ACCEPTED,    /* read back, in effect */
    CW_APPEND_REJECTED,    /* read back, without effect */
    CW_APPEND_ABSENT,      /* not in the log: may be appended again */
    CW_APPEND_UNAVAILABLE, /* never reached the log */
};

const char *cw_append_outcome_name(enum cw_append_outcome o);

/* Appends a record to the stream config. Sets r->id if it is empty, and always
 * r->by, r->by_incarnation and r->time. done (may be NULL) runs once the
 * record was read back, or when a read that began after the deadline shows
 * that it is not in the stream, then with offset 0. So a lost response is
 * resolved by reading the stream. reason is "" or why the record had no
 * effect. */
void cw_daemon_append(struct cw_daemon *d, struct cw_record *r,
                      void (*done)(void *arg, enum cw_append_outcome o,
                                   uint64_t offset, const char *reason),
                      void *arg);

/* ---- queries for control modules ------------------------------------- */

/* True when the replica has read the log to its end at least once and the
 * newest answered read began at most silent_ms ago. */
bool cw_daemon_log_available(const struct cw_daemon *d, cw_ms now);
/* True when the stream config was read to its end at least once. */
bool cw_daemon_synced(const struct cw_daemon *d);
/* True when this daemon's incarnation is a member and was confirmed in the
 * last silent_ms. Checked immediately before each use of a slot and each call
 * to the platform. */
bool cw_daemon_confirmed(const struct cw_daemon *d, cw_ms now);
/* True when this daemon holds the scope by its replica and its membership is
 * confirmed. */
bool cw_daemon_holds(const struct cw_daemon *d, struct cw_str scope,
                     cw_ms now);

/* Requests that this daemon has in flight at a VM. */
uint32_t cw_daemon_in_flight(const struct cw_daemon *d, struct cw_str vm);
/* True when the replica shows op as open on vm and this daemon has no request
 * in flight there, so that no further request of this daemon can reach it. */
bool cw_daemon_drain_applied(const struct cw_daemon *d, struct cw_str vm,
                             struct cw_str op);
/* True when the peer's last heartbeat lists (vm, op) as drained. */
bool cw_daemon_peer_drained(const struct cw_daemon *d, struct cw_str daemon,
                            struct cw_str vm, struct cw_str op);
/* Number of members, this daemon included, that report (vm, op) as drained,
 * and whether all do. */
uint32_t cw_daemon_members_drained(const struct cw_daemon *d, struct cw_str vm,
                                   struct cw_str op);
bool cw_daemon_all_drained(const struct cw_daemon *d, struct cw_str vm,
                           struct cw_str op);
/* True when the VM's endpoint, under the incarnation that the replica has,
 * answered the last readiness probe of the daemon that probes it. */
bool cw_daemon_vm_ready(const struct cw_daemon *d, struct cw_str vm);

/* Demand of a service summed over all members, by their last heartbeats:
 * requests at endpoints (busy) and in queues (waiting). */
struct cw_demand {
    uint32_t busy;
    uint32_t waiting;
    uint32_t free_slots;
};
struct cw_demand cw_daemon_demand(const struct cw_daemon *d,
                                  struct cw_str service);

#endif
