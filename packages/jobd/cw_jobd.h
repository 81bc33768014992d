/* The daemon of the job service on one entry VM. It accepts calls from callers
 * and forwards them to the scheduler, the one daemon of the group that
 * schedules. The store elects the scheduler by assigning it a partition.
 *
 * State: the scheduler has a struct cw_sched, which it rebuilds from the store
 * at a takeover. A follower keeps only the configuration and the waves. */
#ifndef CW_JOBD_H
#define CW_JOBD_H

#include "cuminwalk.h"
#include "cw_claim.h"
#include "cw_http_server.h"
#include "cw_job_ports.h"
#include "cw_peer_net.h"

#include <uv.h>

/* ---- settings ---- */

/* From one JSON file; addresses are ip:port. Unknown keys are logged and
 * ignored, so that a newer platform can add keys. */
struct cw_jobd_settings {
    struct cw_name daemon;
    struct cw_name dc;
    struct cw_name listen;         /* callers */
    struct cw_name ready_listen;   /* the load balancer's probe */
    struct cw_name peer_listen;    /* other daemons */
    struct cw_name metrics_listen; /* counters and histograms, "" for none */
    struct cw_name store;          /* the platform's log service */
    struct cw_name vm_control;     /* "" for none */
    enum cw_level log_level;
    double cores;        /* CPU cores of this VM that the daemon may use */
    cw_ms member_ttl_ms; /* membership after a join, at least 1000 */
    cw_ms grace_ms;      /* from SIGTERM to SIGKILL */
    cw_ms lease_ms;      /* of runs on workers */
    cw_ms max_hold_ms;   /* workers shorten longer leases to this */
    cw_ms order_late_ms; /* an order without an answer may be carried out this
                          * long after it was sent */
    cw_ms status_ms;     /* ended jobs are kept this long */
    cw_ms stop_ms;       /* a worker stops a task within this time */
    cw_ms move_ms;       /* duration of a VM's move between pools */
    cw_ms vm_lease_ms;   /* min. time between two daemons' orders for a VM */
    cw_ms harm_ms; /* backfill keeps a task over its target no longer; 0: no
                    * limit */
    bool interference; /* learn which tasks slow each other down */
    /* No call that is sent longer than revoke_ms after the withdrawal of its
     * key may run, also on a daemon without contact. */
    bool strict_revoke;
    cw_ms revoke_ms;
    bool admission; /* also refuses jobs without a tenant */
    /* See cw_sched_limits. */
    cw_ms share_window_ms;
    double share_overage;
    double share_slack;
    double far_factor;   /* see cw_sched */
    bool uneven_workers; /* avoid workers that are slow or have just come back
                          */
    struct cw_http_limits limits; /* of all callers together */
    size_t held_max; /* bytes of calls that wait for a scheduler */
    size_t jobs_max; /* bytes of the scheduler's jobs */
};

enum cw_status cw_jobd_settings_parse(struct cw_jobd_settings *s,
                                      struct cw_str json,
                                      struct cw_faults *faults);

/* ---- calls ---- */

enum cw_call_result {
    CW_RESULT_OK,
    CW_RESULT_NOT_RUN,       /* nothing was stored; the caller may retry */
    CW_RESULT_UNKNOWN,       /* may have been stored */
    CW_RESULT_GONE,          /* no such job */
    CW_RESULT_NOT_SCHEDULER, /* the daemon called is not the scheduler */
    CW_RESULT_FORBIDDEN,     /* the job belongs to another tenant */
    CW_RESULT_OVERLOADED,    /* refused: it can't be served, nothing was
                              * stored */
};

/* A caller's call in progress. The code that created it frees it in done,
 * which runs exactly once. */
struct cw_call {
    struct cw_call *prev;
    struct cw_call *next;
    struct cw_call **list; /* list that contains it, or NULL */
    enum cw_caller_op kind;
    uint64_t id;
    struct cw_name queue;
    struct cw_name tenant;   /* of the caller's key, "" for none */
    struct cw_job_spec spec; /* of a submit call, with the queue's rules */
    cw_ms arrived;
    cw_ms deadline;
    uint64_t batch;  /* answered when this batch is durable */
    bool absent;     /* then looked up again: there was no such job */
    uint64_t stream; /* identifies the forwarded call on its connection */
    bool from_peer;  /* another daemon has forwarded it */
    bool withheld;   /* came while the membership had expired; counted */
    bool sent;       /* forwarded to the scheduler */
    bool retried;
    /* Answer. */
    enum cw_call_result result;
    enum cw_job_state state;
    uint32_t waiting;
    cw_ms retry_after_ms;
    const char *reason;
    /* From the scheduler's answer, or why the job does not start. */
    char reason_text[CW_JOB_REASON_MAX];
    void (*done)(struct cw_call *c);
    void *arg;
};

/* Leases are renewed until this long after the membership: the store may be
 * down for all for some seconds. The next scheduler counts on it. */
#define CW_RENEWAL_GRACE_MS 1000

/* ---- the daemon ---- */

#define CW_MEMBERS_MAX 8 /* members of the group that a daemon remembers */

enum cw_jobd_role { CW_ROLE_FOLLOWER, CW_ROLE_TAKEOVER, CW_ROLE_SCHEDULER };

struct cw_agent;
struct cw_fleet;
struct cw_admission;

struct cw_jobd {
    uv_loop_t *loop;
    struct cw_clock clock;
    struct cw_jobd_settings settings;
    struct cw_job_ports ports;
    struct cw_metrics metrics;
    struct cw_rng rng;
    uv_timer_t tick;
    cw_ms last_tick_at;
    struct cw_loop_lag lag;
    cw_ms late_log_due;
    cw_ms held_scan_at; /* next look at what holds something back .. */
    cw_ms held_log_at;  /* .. that also logs */
    cw_ms limits_metrics_due;
    size_t job_bytes; /* since the last count, without jobs that went */
    uv_timer_t commit_timer;

    /* Configuration and waves, on every daemon. */
    struct cw_fleet_config config;
    struct cw_wave_order *waves;
    size_t wave_count;
    bool operators_loaded; /* all records; then changes are read */
    uint64_t operators_next_offset;
    struct cw_store_key operators_after_key; /* last key of the pages loaded */
    cw_ms operators_retry_at;
    uint64_t operators_read; /* number of the latest read */
    cw_ms operators_read_at;
    /* Bytes that the open read has received; NULL: no read is open. */
    const size_t *operators_received;
    cw_ms operators_wait_ms;   /* for which the latest read may wait */
    cw_ms operators_load_at;   /* when the first page was asked for */
    uint32_t operators_failed; /* reads that failed since the last answer */
    uint32_t operators_tries; /* without an answer while behind_since is set */
    cw_ms behind_since; /* told then of a newer configuration; 0: not behind */
    uint64_t newest_logged; /* version that the scheduler has and we do not */
    /* The configuration had all versions up to then; 0: not known. */
    cw_ms config_proof_at;
    cw_ms stale_since; /* first refusal for want of a newer proof; 0: none */
    uint64_t stale_refused;

    /* Membership. */
    uint64_t generation;
    bool in_group;            /* sends joins, or is about to */
    cw_ms scheduler_seen_at;  /* the group last had a scheduler */
    uint32_t joins_in_flight; /* without an answer yet */
    bool leaving;
    cw_ms next_join_at;
    cw_ms member_valid_until; /* guaranteed at least until then */
    bool membership_expired;  /* while this daemon schedules; logged */
    /* The membership had expired since the epoch was set: whether another
     * daemon has scheduled is known once proof_batch is durable. */
    bool proof_due;
    uint64_t proof_batch; /* 0: not requested yet */
    bool store_ok;
    struct cw_name scheduler; /* its peer address, "" while unknown */
    struct cw_name scheduler_logged;
    cw_ms scheduler_query_due;
    bool scheduler_query_open;
    /* Its address is a guess, or it has denied its role: no calls are sent to
     * it. */
    bool scheduler_unproved;
    /* It could not prove its role since then, so that no calls are sent to it;
     * 0: it has not said so on this connection, or it has proved it since. */
    cw_ms scheduler_denied_at;
    /* The scheduler confirmed its role on the open connection, with a valid
     * membership; 0: not yet. */
    cw_ms scheduler_confirmed_at;
    /* Members of the group in the store's last answer, which are asked who
     * schedules while the store does not answer. */
    struct cw_name members[CW_MEMBERS_MAX];
    uint32_t member_count;
    uint32_t member_next;

    struct cw_wall wall; /* estimate of the time of day */

    /* Scheduling. */
    enum cw_jobd_role role;
    uint64_t epoch;
    uint64_t next_epoch;         /* above those used, or seen in use */
    struct cw_claim claim;       /* of epoch */
    enum cw_status claim_status; /* answer to its append */
    bool claim_held;             /* read back */
    uint32_t claims_left;        /* in this takeover */
    uint64_t takeover_attempts;  /* in takeover_generation */
    uint64_t takeover_generation;
    uint64_t sequence;
    cw_ms role_since;
    /* Incremented at each takeover and step-down; answers to calls of an
     * earlier term are ignored. */
    uint32_t term;
    struct cw_sched *sched;
    struct cw_agent *agents;
    cw_ms agents_scan_due;
    struct cw_fleet *fleet;
    struct cw_store_batch batch; /* in flight */
    uint64_t batch_number;
    bool commit_busy;     /* the batch waits for its answer */
    cw_ms commit_sent_at; /* first send of the batch in flight */
    cw_ms last_commit_at;
    bool workers_loaded; /* the full list; then changes are read */
    bool workers_reading;
    uint64_t workers_next_offset;
    cw_ms workers_read_due;
    cw_ms workers_load_began;
    struct cw_store_key load_after_key; /* last key of the pages loaded */
    cw_ms next_sweep_at;
    cw_ms tenants_due; /* next update of their metrics */
    cw_ms preempt_due; /* next choice of tasks to preempt */

    /* Calls. */
    struct cw_call *committing; /* wait for a commit */
    struct cw_call *held;       /* wait for a scheduler */
    size_t held_bytes;
    struct cw_call *forwarded;
    struct cw_peer_net peers;
    struct cw_peer_conn *scheduler_conn;
    struct cw_name scheduler_conn_address;
    bool scheduler_conn_open;
    cw_ms scheduler_conn_at;      /* last connect or close */
    cw_ms scheduler_probe_at;     /* last probe sent */
    cw_ms scheduler_heard_at;     /* last frame from it, or first call sent */
    cw_ms scheduler_reachable_at; /* calls could last be run or forwarded */
    uint64_t last_stream;

    /* Listeners. */
    struct cw_http_server front;
    struct cw_http_server ready;
    struct cw_http_server metrics_server;
    struct cw_name bound;
    uint32_t front_calls_open; /* not yet answered */
    bool stopping;
    cw_ms stop_began;
    bool was_ready;
    bool finished; /* answers that still arrive are ignored */
    char msg[CW_MSG_MAX];
};

enum cw_status cw_jobd_start(struct cw_jobd *d);
/* Starts the graceful stop, which stops the loop when it is complete. */
void cw_jobd_stop(struct cw_jobd *d);
void cw_jobd_finish(struct cw_jobd *d);
/* Applies the settings that may change while the daemon runs. */
void cw_jobd_reload(struct cw_jobd *d, const struct cw_jobd_settings *s);

static inline cw_ms
cw_jobd_now(const struct cw_jobd *d)
{
    return d->clock.now(d->clock.ctx);
}

/* Argument of a call whose answer is valid only in the term in which the call
 * was sent. cw_term_ctx_release frees it and returns NULL when that term has
 * ended. */
struct cw_term_ctx {
    struct cw_jobd *d;
    uint32_t term;
};
void *cw_term_ctx_new(struct cw_jobd *d);
struct cw_jobd *cw_term_ctx_release(void *ctx);

/* Follows the time of day; see cw_wall.h. */
void cw_jobd_watch_wall(struct cw_jobd *d, cw_ms now);

/* Metrics with an optional label kind ("" for none). */
void cw_jobd_count(struct cw_jobd *d, const char *name, const char *kind);
void cw_jobd_set_gauge(struct cw_jobd *d, const char *name, const char *kind,
                       double value);
/* Adds the runs that the scheduler has given up since the last call to
 * cuminwalk_runs_given_up_total. */
void cw_jobd_count_given_up(struct cw_jobd *d);
void cw_jobd_record_ms(struct cw_jobd *d, const char *name, const char *kind,
                       cw_ms ms);

/* ---- calls.c ---- */

/* Runs a call here, forwards it to the scheduler, or holds it until there is
 * one. A call that another daemon has forwarded is run here or gets
 * CW_RESULT_NOT_SCHEDULER. */
void cw_calls_dispatch(struct cw_jobd *d, struct cw_call *c);
/* A scheduler was there to run calls until a short time ago; when false, they
 * are refused at once. */
bool cw_calls_served_lately(const struct cw_jobd *d, cw_ms now);
/* Retry-After of a refusal, from the time for which nobody could run calls. A
 * caller has few tries: told to return after a second each time, it would use
 * them up before an outage of some seconds ends. */
cw_ms cw_outage_retry_after(cw_ms lasted);
/* Sets the result and calls done. */
void cw_calls_complete(struct cw_call *c, enum cw_call_result r,
                       const char *why, cw_ms retry_after);
void cw_calls_committed(struct cw_jobd *d, uint64_t batch);
/* The scheduler role ends: the outcome of calls that wait for a commit is
 * unknown. */
void cw_calls_abandon(struct cw_jobd *d);
/* Answers all calls that still wait, at the end of the process. */
void cw_calls_finish(struct cw_jobd *d);
void cw_calls_tick(struct cw_jobd *d, cw_ms now);
/* The job is in the table of this scheduler, so that "not run" may be false
 * for a repeat of its submission. */
bool cw_calls_job_known(const struct cw_jobd *d, uint64_t id);
void cw_calls_push(struct cw_call **list, struct cw_call *c);
void cw_calls_unlink(struct cw_call *c);

/* ---- forward.c ---- */

enum cw_status cw_jobd_peers_init(struct cw_jobd *d);
void cw_forward_call(struct cw_jobd *d, struct cw_call *c);
void cw_forward_scheduler_tick(struct cw_jobd *d, cw_ms now);
/* Tells the connected daemons whether this one schedules now. */
void cw_forward_role_changed(struct cw_jobd *d);
/* The connected scheduler has confirmed its role recently, so that the store
 * need not be asked who schedules. */
bool cw_forward_confirmed(const struct cw_jobd *d, cw_ms now);

/* ---- proof.c ---- */

/* The configuration had all versions that were stored at the time asked_at. */
void cw_proof_add(struct cw_jobd *d, cw_ms asked_at);
/* Time since the newest proof was asked for; negative when there is none. */
cw_ms cw_proof_age(const struct cw_jobd *d, cw_ms now);
/* The settings and the configuration ask for proofs. */
bool cw_proof_needed(const struct cw_jobd *d);
/* The proof is too old to accept keys. */
bool cw_proof_stale(const struct cw_jobd *d, cw_ms now);
/* The store should be asked for a new proof at once. */
bool cw_proof_renew_due(const struct cw_jobd *d, cw_ms now);
/* A call was refused because the proof is too old. */
void cw_proof_refused(struct cw_jobd *d, cw_ms now);
void cw_proof_tick(struct cw_jobd *d, cw_ms now);

/* ---- jobd_front.c ---- */

enum cw_status cw_jobd_front_init(struct cw_jobd *d);
bool cw_jobd_is_ready(const struct cw_jobd *d);

/* ---- limits.c ---- */

/* Applies the limits on callers to the listeners. */
enum cw_status cw_limits_apply(struct cw_jobd *d);
void cw_limits_tick(struct cw_jobd *d, cw_ms now);
/* Takes the memory of a job that is about to be accepted; false when the
 * scheduler's jobs have no room for it. */
bool cw_limits_take_job(struct cw_jobd *d, const struct cw_job_spec *spec);

/* ---- group.c ---- */

void cw_member_tick(struct cw_jobd *d, cw_ms now);
void cw_member_leave(struct cw_jobd *d);
/* The connected scheduler has said that it no longer schedules. */
void cw_member_scheduler_left(struct cw_jobd *d, cw_ms now);

/* ---- member.c ---- */

/* Ends the scheduler role of this daemon. */
void cw_member_step_down(struct cw_jobd *d, const char *why);
/* A batch is durable: no other daemon had scheduled until then, as its claim
 * of a higher epoch would have fenced the append. */
void cw_member_committed(struct cw_jobd *d, uint64_t batch);
/* This daemon is the scheduler and its membership cannot have expired, so that
 * it may send orders and answer from its table. */
bool cw_member_lease_valid(const struct cw_jobd *d, cw_ms now);
/* Time for which this daemon may still renew leases without a renewal of its
 * membership; 0: it may not. */
cw_ms cw_member_renewals_left(const struct cw_jobd *d, cw_ms now);

/* ---- tenants.c ---- */

/* Decides whether a submission is refused because of load: only jobs of
 * tenants, or all when the setting says so. */
struct cw_admission cw_tenants_admit(struct cw_jobd *d,
                                     const struct cw_call *c, cw_ms now);
/* Preempts tasks, and updates the metrics of tenants. */
void cw_tenants_tick(struct cw_jobd *d, cw_ms now);

/* ---- commit.c ---- */

/* Schedules a commit: planning, then writing the changes. */
void cw_commit_schedule(struct cw_jobd *d);
void cw_commit_reset(struct cw_jobd *d);
/* False while a commit has waited too long for its answer. */
bool cw_commit_healthy(const struct cw_jobd *d, cw_ms now);
enum cw_status cw_commit_init(struct cw_jobd *d);

/* ---- watch.c ---- */

/* Continues after a page. False when it was the last one, or when the store
 * would return the same page again. */
bool cw_watch_next_page(struct cw_store_key *after,
                        const struct cw_store_page *p);
void cw_watch_operators(struct cw_jobd *d, cw_ms now);
/* Reads again at once: a record is missing although a read waits for it. */
void cw_watch_operators_again(struct cw_jobd *d);
/* The scheduler has a newer configuration, of the version newest. */
void cw_watch_config_behind(struct cw_jobd *d, uint64_t newest);
void cw_watch_workers(struct cw_jobd *d, cw_ms now);

/* ---- agents.c ---- */

extern const struct cw_sched_ops cw_agent_ops;
/* Passes over all workers when that is due: ends lapsed leases, and sends what
 * became due by time. */
void cw_agents_tick(struct cw_jobd *d, cw_ms now);
/* The same pass now, without the leases. */
void cw_agents_scan(struct cw_jobd *d, cw_ms now);
void cw_agents_close(struct cw_jobd *d);
/* Closes the agent of a worker that is being removed. */
void cw_agent_close(void *ctx, struct cw_worker *w);

/* ---- held.c ---- */

/* Logs and counts, once a second, what holds jobs, waves, workers and VMs
 * back. */
void cw_held_tick(struct cw_jobd *d, cw_ms now);

/* ---- fleet.c ---- */

void cw_fleet_open(struct cw_jobd *d);
void cw_fleet_close(struct cw_jobd *d);
void cw_fleet_tick(struct cw_jobd *d, cw_ms now);
/* Sends the VM orders whose records are durable now. */
void cw_fleet_committed(struct cw_jobd *d, uint64_t batch);
/* Ordered VMs are expected to register as new workers soon. */
bool cw_fleet_expects_workers(const struct cw_jobd *d, cw_ms now);
/* A page of the list of workers was applied. */
void cw_fleet_workers_listed(struct cw_jobd *d, cw_ms now);

#endif
