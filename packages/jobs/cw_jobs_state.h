/* The types of the job service's scheduler: jobs, tasks, workers, pools and
 * the state that holds them. The functions on them are in cw_jobs.h. */
#ifndef CW_JOBS_STATE_H
#define CW_JOBS_STATE_H

#include "cuminwalk.h"
#include "cw_interfere.h"
#include "cw_map.h"
#include "cw_replace.h"
#include "cw_speed.h"
#include "cw_wall.h"

/* ---- limits of a job ---- */

#define CW_JOB_SPEC_MAX 4096   /* bytes of the text of a spec */
#define CW_JOB_STEPS_MAX 64    /* steps; cw_step.after is a 64-bit mask */
#define CW_JOB_TASKS_MAX 20000 /* tasks in all occurrences together */
#define CW_JOB_WALL_MAX ((cw_ms)1 << 53) /* the latest due time, in ms */
#define CW_LABELS_MAX 8                  /* labels stored for each worker */
#define CW_CHECKPOINT_MAX 47  /* bytes of a reference to a checkpoint */
#define CW_JOB_REASON_MAX 192 /* bytes of the reason why a job waits */

/* ---- job specs ---- */

struct cw_resources {
    uint32_t cpu_milli;
    uint32_t memory_mb;
    uint32_t accelerators;
};

struct cw_resource_sum {
    uint64_t cpu; /* thousandths of a core */
    uint64_t mb;
};

/* What a tenant may have running over all pools; 0: no limit. */
struct cw_quota {
    uint64_t cpu_milli;
    uint64_t memory_mb;
    uint64_t accelerators;
};

/* A tenant as the operators' configuration has it. */
struct cw_tenant_entry {
    struct cw_name name;
    double weight; /* its share when capacity is short, and the jobs a second
                    * to which it is entitled; 0: none */
    uint32_t priority;
    struct cw_quota quota;
};

struct cw_step {
    uint32_t count; /* tasks in an occurrence */
    struct cw_resources need;
    uint32_t estimate_ms; /* the caller's estimate for one task */
    uint64_t after;       /* bit i: starts after step i is done */
    bool checkpoints;     /* its tasks save checkpoints */
    bool gang;            /* all its tasks run at the same time or none does */
    bool same_rack;       /* a gang prefers workers of one rack */
    bool speculative;     /* copies of a task may run at the same time */
    bool lasting;         /* runs until the job is cancelled */
    bool backfill;        /* uses only spare processor time */
    uint32_t max_per_worker; /* 0: no limit */
    uint32_t target_ms;      /* target of the tail latency, 0: none */
    uint32_t may_miss; /* unavailable tasks that stops may cause; 0: one */
    struct cw_name required_label;
    struct cw_name data_rack; /* preferred rack */
    struct cw_name image;
};

/* A queue's rules when a job is submitted; later changes do not apply to
 * accepted jobs. */
struct cw_queue_rules {
    struct cw_name tenant; /* "": the call carried no key */
    struct cw_name queue;
    struct cw_name service; /* the service whose pool runs the tasks */
    uint32_t priority;      /* 0 is the highest */
    uint32_t max_attempts;  /* 0: no limit */
    double stretch;         /* objective as a multiple of the critical path */
    cw_ms slo_ms;           /* added to the objective */
};

struct cw_job_spec {
    uint64_t id;
    struct cw_queue_rules rules;
    cw_ms accepted_wall;
    char *text; /* passed to each task */
    size_t text_len;
    struct cw_step *steps;
    size_t step_count;
    uint32_t repeats; /* occurrences, at least 1 */
    cw_ms first_wall; /* due time of the first one, 0: at once */
    cw_ms interval_ms;
    bool over_share; /* submitted beyond its tenant's entitlement; set when
                      * the scheduler accepts it */
};

/* ---- state ---- */

enum cw_job_state {
    CW_JOB_QUEUED,
    CW_JOB_RUNNING,
    CW_JOB_SUCCEEDED,
    CW_JOB_FAILED,
    CW_JOB_CANCELLED,
};

enum cw_run_state {
    CW_RUN_WAITING,
    CW_RUN_STARTING, /* a start is recorded or sent, not confirmed yet */
    CW_RUN_RUNNING,  /* confirmed by the worker */
    CW_RUN_STOPPING, /* a stop is sent, the end is not reported yet */
    CW_RUN_DONE,
};

/* Why a run no longer counts as alive, so that its task waits again. */
enum cw_run_loss {
    CW_LOSS_ENDED,    /* the worker reported its end */
    CW_LOSS_DONE,     /* the same of a lasting task that is done */
    CW_LOSS_OBSOLETE, /* an earlier run is done; this one is being stopped */
    CW_LOSS_UNSENT,   /* its start was dropped before it was sent */
    CW_LOSS_REFUSED,  /* the worker refused its start */
    CW_LOSS_UNLISTED, /* a report does not list it */
    CW_LOSS_LAPSED,   /* its lease has lapsed */
    CW_LOSS_REPLACED, /* a later worker of its VM is listed */
    CW_LOSS_OTHER,    /* another worker answers at the address */
};

/* What shows that a run is over, so that the next one may start. */
enum cw_run_proof {
    CW_PROOF_NONE,         /* there was no run */
    CW_PROOF_REPORT_END,   /* a report lists its end */
    CW_PROOF_REPORT,       /* a report does not list the run */
    CW_PROOF_STOP_ANSWER,  /* the same, after the answer to a stop */
    CW_PROOF_START_ANSWER, /* the start was refused */
    CW_PROOF_OTHER_WORKER, /* another incarnation answered a call */
    CW_PROOF_LATER_WORKER, /* a later worker of its VM reported */
    CW_PROOF_LEASE,        /* its lease has lapsed */
    CW_PROOF_UNSENT,       /* its start was never sent */
    CW_PROOF_DONE,         /* none is needed: an earlier run is done */
    CW_PROOF_RECORD,       /* a loaded record has no run of the task */
    CW_PROOF_COUNT,
};

/* What decides next whether a run is over. */
enum cw_run_awaited {
    CW_AWAITS_END,           /* it goes on, and its worker reports */
    CW_AWAITS_COMMIT,        /* its start is not durable yet */
    CW_AWAITS_SEND,          /* its start waits for its turn to be sent */
    CW_AWAITS_CHECK,         /* the same, after an answer of its worker */
    CW_AWAITS_START_ANSWER,  /* its start was sent */
    CW_AWAITS_STOP_ANSWER,   /* its stop was sent */
    CW_AWAITS_STOP_END,      /* its stop was answered */
    CW_AWAITS_FORMER_ORDERS, /* the former scheduler may send orders yet */
    CW_AWAITS_REPORT,        /* a report that lists it or does not */
    CW_AWAITS_LEASE,         /* its worker is silent */
};

/* Why a run is stopped. */
enum cw_stop_cause {
    CW_STOP_NONE,      /* not stopped, or its task does not start again */
    CW_STOP_REFUSED,   /* its start was refused but may still take effect */
    CW_STOP_GANG,      /* another member of its gang is missing */
    CW_STOP_REPLACED,  /* it is overdue */
    CW_STOP_PREEMPTED, /* a task of a higher priority needs its room */
    CW_STOP_MOVED,     /* its VM is due for maintenance or a move */
    CW_STOP_DRAINING,  /* its worker leaves */
};

/* The run before a task's current one, and the proof of its end. */
struct cw_run_previous {
    uint32_t run;       /* 0: none */
    uint8_t proof;      /* enum cw_run_proof */
    uint8_t stop_cause; /* enum cw_stop_cause */
    cw_ms proof_at;     /* the call whose answer is the proof was sent, or the
                         * lease ended; 0: unknown */
    int64_t born_wall;  /* incarnation that the proof comes from */
};

/* The call whose answer is being applied. */
struct cw_answered_call {
    cw_ms sent_at;                /* 0: no answer is being applied */
    const struct cw_worker *from; /* NULL: the worker of the run */
    bool unsent;                  /* the call never reached the worker */
};

struct cw_job_entry;
struct cw_worker;
struct cw_tenant;
struct cw_tenant_use;
struct cw_stray_run;
struct cw_overload;

struct cw_task {
    struct cw_job_entry *job;
    uint32_t occurrence;
    uint32_t index; /* in its step */
    uint16_t step;
    uint8_t state;   /* enum cw_run_state */
    bool started_up; /* a lasting task that has finished its start-up */
    bool proved;  /* the incarnation that reports has carried out its start */
    bool listed;  /* reports have listed it, and its worker holds no longer
                   * lease than usual: the record says that it is proved */
    bool checked; /* its start is sent to the incarnation born_wall alone,
                   * on connections on which that one has answered */
    bool start_sent;     /* a call with its start was made */
    bool succeeded;      /* a lasting run has shown that its worker is sound */
    uint32_t probe;      /* of its worker's health; 0: it is none */
    cw_ms at_work_since; /* a lasting run serves since then; 0: not yet */
    bool preempted;      /* was stopped once for a higher priority */
    uint32_t run;        /* number of the latest run, 0: none yet */
    uint32_t failures;
    struct cw_worker *worker;
    struct cw_task *prev; /* in the worker's list */
    struct cw_task *next;
    struct cw_task *unsent_next; /* in cw_sched.unsent */
    uint64_t order_batch; /* batch with the latest start, 0: loaded record */
    cw_ms state_since;
    cw_ms started_wall; /* of the latest run; 0: unknown */
    int64_t born_wall;  /* incarnation that it was started on; 0: unknown */
    cw_ms stop_answered_at; /* the worker acknowledged a stop; 0: not yet */
    uint32_t last_report;   /* number of the worker's last report with it */
    cw_ms ready_at;         /* it could start from then on */
    uint32_t measured;      /* by the worker: tail latency in ms, or CPU use */
    uint8_t pace_percent;   /* speed that the worker was last told */
    bool pace_first;        /* slowed down before other backfill tasks */
    cw_ms checkpoint_at;    /* the last checkpoint was reported; 0: none */
    struct cw_run_progress progress;
    uint8_t saved_percent; /* progress at the checkpoint */
    bool replaced;         /* was overdue and has been started elsewhere */
    uint8_t stop_cause;    /* enum cw_stop_cause, of the latest run */
    uint8_t awaited;       /* enum cw_run_awaited, as logged last .. */
    cw_ms awaited_at;      /* .. and when */
    struct cw_run_previous previous;
    struct cw_task *former;      /* an earlier run that is not over, or NULL */
    struct cw_task *former_of;   /* this is one; on its worker's list only */
    struct cw_name avoid_worker; /* the worker of the last failure */
    char checkpoint[CW_CHECKPOINT_MAX + 1];
};

struct cw_pool;

/* What the machines can do for a step (cw_fit.h), as of a version of the list
 * of machines; 0: not looked at yet. */
struct cw_step_room {
    uint64_t version;
    uint32_t at_once;
    bool rare;
};

/* A machine that runs tasks, or could after a move. */
struct cw_machine {
    const struct cw_pool *pool; /* the only one that it serves; NULL: any */
    struct cw_resources capacity;
    struct cw_resources lasting; /* needed there by lasting tasks */
    struct cw_name labels[CW_LABELS_MAX];
    size_t label_count;
};

struct cw_job_entry {
    uint64_t id;
    struct cw_job_entry *bucket_next; /* in the hash chain */
    struct cw_job_entry *prev;        /* in the pool's list of active jobs */
    struct cw_job_entry *next;
    struct cw_job_entry *dirty_next; /* in cw_sched.dirty */
    struct cw_name queue;
    struct cw_name tenant;   /* "": submitted without a key */
    struct cw_job_spec spec; /* freed when no task of an ended job runs */
    struct cw_pool *pool;
    struct cw_task *tasks;
    size_t task_count;
    uint32_t *tasks_left;       /* not done, for each (occurrence, step) */
    struct cw_step_room *rooms; /* for each step; NULL: only its end is known
                                 */
    cw_ms blocked_logged_at;    /* 0: not yet */
    size_t waiting_count;       /* tasks in the state CW_RUN_WAITING */
    uint8_t state;              /* enum cw_job_state */
    bool lasting;               /* has a lasting step */
    bool is_dirty;              /* has changed since the open batch began */
    bool spec_dirty;            /* its spec is not in a batch yet */
    bool expired; /* its records are dropped with the next batch */
    bool started; /* a start of a task is planned, or was */
    bool begun;   /* a run of a task is known to have begun */
    cw_ms accepted;
    struct cw_queue_times *times; /* of its queue, or NULL */
    struct cw_tenant_use *use;    /* of its tenant in its pool; NULL when only
                                   * its end is known */
    cw_ms ended;
    cw_ms ended_wall;     /* 0: not ended */
    uint64_t state_batch; /* batch with the last change of state */
};

enum cw_worker_state { CW_WORKER_READY, CW_WORKER_DRAINING, CW_WORKER_GONE };

/* The workers that are incarnations of one VM. */
struct cw_vm_workers {
    struct cw_name vm; /* first, for cw_map */
    struct cw_worker *list;
};

/* The groups of the tasks on a worker (jobs_beside.c). */
struct cw_beside {
    uint64_t groups[CW_INTERFERE_SEEN_MAX];
    uint16_t tasks[CW_INTERFERE_SEEN_MAX]; /* of each */
    uint8_t count;
    bool valid;       /* false: a task was placed or ended since */
    cw_ms sampled_at; /* last sample of the figures */
};

struct cw_worker {
    struct cw_name id; /* of one incarnation of a VM; first, for cw_map */
    struct cw_pool *pool;
    struct cw_worker *prev; /* in the pool's list */
    struct cw_worker *next;
    struct cw_name address;
    struct cw_name dc;
    struct cw_name vm;
    struct cw_vm_workers *vm_workers; /* the list it is in, or NULL */
    struct cw_worker *vm_next;
    struct cw_name rack;
    struct cw_name labels[CW_LABELS_MAX];
    size_t label_count;
    struct cw_resources capacity;
    struct cw_resources used;       /* by the tasks placed on it */
    struct cw_resource_sum lasting; /* of these, by lasting tasks */
    uint32_t task_count;
    uint32_t lasting_count;
    uint32_t backfill_count;
    struct cw_task *tasks;
    int64_t born_wall;    /* start of this incarnation, 0: unknown */
    cw_ms born_at;        /* when born_wall became known */
    int64_t earlier_born; /* of reports with an earlier start, 0: none .. */
    cw_ms earlier_since;  /* .. and the time of the first one */
    uint8_t state;        /* enum cw_worker_state */
    uint8_t slowdown_percent; /* taken off the speed of its backfill tasks */
    uint8_t first_slowdown_percent; /* the same of those with pace_first */
    cw_ms paced_at;                 /* last change of the two */
    cw_ms in_target_at; /* last report with all tails within their targets;
                         * 0: none since it has backfill tasks */
    struct cw_beside beside;
    bool maintenance_due; /* maintenance is due soon: avoid lasting tasks */
    bool cordoned;      /* accepts no new tasks before maintenance or a move */
    bool reserved;      /* within one plan: kept free for a waiting task */
    bool contacted;     /* has reported since this scheduler began */
    bool unanswered;    /* the last call for a report, or a start, got no
                         * answer, and no report has come since */
    bool after_silence; /* its last report came after a silence */
    bool unchecked;     /* its connections end with each answer, so that its
                         * starts cannot be checked */
    bool has_strays;    /* its last report lists runs of no known task, which
                         * take room that is not in used */
    cw_ms seen_at;      /* last report */
    cw_ms gone_at;
    cw_ms listed_at;        /* its entry was last in the list of workers */
    cw_ms idle_at;          /* has had no task since */
    cw_ms retry_at;         /* no new starts before this time */
    uint32_t refusals;      /* refused starts in a row */
    uint32_t reports;       /* number of the latest report */
    int64_t clock_ms;       /* the worker's clock at clock_at */
    cw_ms clock_at;         /* the scheduler's clock then; 0: unknown */
    cw_ms clock_asked_at;   /* the report with it was asked for */
    int64_t lease_until_ms; /* lease sent last, on its clock; 0: none */
    cw_ms lapse_at;         /* all leases of its runs have lapsed by then .. */
    cw_ms unproved_lapse_at; /* .. or then, of those not proved */
    cw_ms late_start_until;  /* starts without an answer, on connections that
                              * may lead to a later incarnation, may be carried
                              * out until then; 0: none */
    uint64_t ack_pending;    /* ends up to this number are in ack_batch */
    uint64_t ack_batch;
    uint64_t acked;             /* ends up to this number are durable */
    struct cw_worker *ack_next; /* in cw_sched.acks */
    bool ack_waits;             /* it is in that list */
    struct cw_worker_health health;
    struct cw_speed speed;
    uint8_t ramp;  /* most batch tasks at a time after it came back; 0: no
                    * limit */
    cw_ms ramp_at; /* last change of ramp */
    void *agent;   /* the owner's connection data */
};

/* Durations of a queue's tasks, compared with their callers' estimates. */
struct cw_queue_times {
    struct cw_name queue;
    uint32_t samples;
    double mean_ms;
    double log_error;      /* mean of |ln(estimate / actual)| */
    double mean_log_error; /* mean of |ln(mean_ms / actual)| */
};

/* Slots of 100 ms in which preempted processors are counted: a second and the
 * slot that has begun. */
#define CW_PREEMPT_SLOTS 11

#define CW_QUEUE_TIMES_MAX 16 /* queues of a pool with learned durations */

/* Priorities that admission control tells apart; lower ones count as one. */
#define CW_BACKLOG_CLASSES 8

/* Work that waits in a pool, in thousandths of a core x ms. */
struct cw_backlog {
    cw_ms at;          /* last counted; 0: never */
    uint64_t capacity; /* of its workers, without lasting tasks */
    double work[CW_BACKLOG_CLASSES][2]; /* within share, over share */
};

struct cw_pool {
    struct cw_name service; /* first, for cw_map */
    struct cw_pool *next;
    struct cw_worker *workers;
    struct cw_job_entry *jobs; /* active */
    bool spare;                /* its VMs are off */
    bool has_reserved;         /* a worker is reserved */
    bool plan_due;             /* a task that waits may start now */
    struct cw_backlog backlog;
    double preempt_budget; /* thousandths of a core */
    int64_t preempt_slot;  /* the latest one, counted from time 0 */
    uint64_t preempted_cpu[CW_PREEMPT_SLOTS];
    uint64_t movable_cpu;  /* of VMs that could move in, at movable_at */
    double fair_share_cpu; /* of all VMs, divided by the pools that use them */
    cw_ms movable_at;
    bool quota_held; /* the last plan held starts back by a quota */
    cw_ms replan_at; /* the same from then on; 0: no task waits */
    uint32_t worker_count;
    cw_ms wait_logged_at;    /* last log line on a waiting task */
    uint64_t arrived_jobs;   /* submitted, without lasting jobs */
    uint64_t arrived_cpu_ms; /* submitted work, thousandths of a core x ms */
    struct cw_queue_times times[CW_QUEUE_TIMES_MAX];
    size_t time_count;
    double speed_median; /* of its workers, see cw_speed.h */
    cw_ms ramp_from;     /* no worker begins to ramp up before */
    cw_ms doubted_at;    /* a check failed: workers that have not been asked
                          * for a report since may be silent too; 0: never */
    uint32_t slow_count; /* workers classified as slow */
};

/* Names one run of a task, with what a worker reports on it. */
struct cw_run_row {
    uint64_t job;
    uint32_t occurrence;
    uint32_t step;
    uint32_t index;
    uint32_t run;
    uint32_t percent;  /* progress of the run */
    uint32_t measured; /* see cw_task */
    struct cw_str checkpoint;
};

enum cw_run_end {
    CW_END_DONE,
    CW_END_FAILED,
    CW_END_STOPPED,
    CW_END_LAPSED, /* the lease lapsed */
    CW_END_BROKEN, /* another member of its gang ended */
    CW_END_ALONE,  /* the other members of its gang did not start */
};

struct cw_end_row {
    uint64_t number; /* increases within one incarnation of the worker */
    struct cw_run_row run;
    enum cw_run_end how;
};

struct cw_run_report {
    cw_ms sent_at; /* time of the call that the report answers */
    /* The call was certain to reach the incarnation that reported before: the
     * lease and the acknowledgement were sent with it. */
    bool proved;
    bool partial; /* it has rows that can't be read, and are left out */
    int64_t born_wall;
    int64_t clock_ms;
    const struct cw_run_row *running;
    size_t running_count;
    const struct cw_end_row *ended;
    size_t ended_count;
};

/* An entry of the list of workers. */
struct cw_worker_entry {
    struct cw_name id;
    struct cw_name service;
    struct cw_name address;
    struct cw_name dc;
    struct cw_name vm;
    struct cw_name rack;
    struct cw_name labels[CW_LABELS_MAX];
    size_t label_count;
    struct cw_resources capacity;
    int64_t born_wall;
    int64_t clock_ms; /* of the worker when it wrote the entry; 0: unknown */
    bool draining;
    bool current; /* it was written after this scheduler had begun */
};

/* A worker's answer to a start. */
enum cw_start_answer {
    CW_START_OK,
    CW_START_NO_CAPACITY,
    CW_START_STALE, /* the run's number is below one that it knows */
    CW_START_LATE,  /* the lease had lapsed on arrival */
    /* Another incarnation of the worker answered. */
    CW_START_OTHER_INCARNATION,
    CW_START_REFUSED, /* nothing was done; the worker has a fault */
};

/* Calls that the owner carries out for the scheduler. */
struct cw_sched_ops {
    /* Sends a start, which is durable now. */
    void (*start)(void *ctx, struct cw_task *t);
    /* Stops a run; the worker reports its end. */
    void (*stop)(void *ctx, struct cw_worker *w, const struct cw_run_row *r);
    /* Limits a task to a percentage of its speed. */
    void (*pace)(void *ctx, struct cw_task *t, uint32_t percent);
    /* Further ends of the worker may be acknowledged; may be NULL. */
    void (*acked)(void *ctx, struct cw_worker *w);
    /* Drops a start that awaits a check and that no call has sent yet. False
     * when there is none; NULL: no start awaits one. */
    bool (*drop_start)(void *ctx, struct cw_worker *w,
                       const struct cw_run_row *r);
};

/* Limits that the platform sets. */
struct cw_sched_limits {
    cw_ms status_ms;     /* how long ended jobs are kept */
    cw_ms lease_ms;      /* length of a worker's lease */
    cw_ms max_hold_ms;   /* a worker shortens longer ones to this */
    cw_ms order_late_ms; /* an order without an answer may be carried out this
                          * long after it was sent */
    /* A previous scheduler may renew leases for this long after the role was
     * assigned to this one. */
    cw_ms renewals_ms;
    cw_ms harm_ms; /* a task may be over its target because of backfill tasks
                    * for this long; 0: no limit */
    bool interference; /* learn which tasks slow each other down */
    /* A tenant is within its share while it submits at most weight x window x
     * (1 + overage) + slack jobs in any window. */
    cw_ms share_window_ms;
    double share_overage;
    double share_slack;
};

/* A key-value pair in the scheduler's stream, kept across takeovers. */
struct cw_kv {
    struct cw_name key; /* begins with CW_KV_WAVE or CW_KV_ORDER; first, for
                         * cw_map */
    struct cw_buf value;
    bool dirty;
    struct cw_kv *prev;
    struct cw_kv *next;
    struct cw_kv *dirty_next;
};

#define CW_KV_WAVE 'w'  /* progress of a maintenance wave */
#define CW_KV_ORDER 'o' /* a recent order for a VM */

#define CW_SCHED_BUCKETS 4096

struct cw_sched {
    const struct cw_sched_ops *ops;
    void *ctx;
    struct cw_sched_limits limits;
    struct cw_job_entry *buckets[CW_SCHED_BUCKETS];
    size_t job_count;
    struct cw_map workers;
    struct cw_map vms; /* struct cw_vm_workers */
    struct cw_map pools;
    struct cw_pool *pool_list;
    struct cw_job_entry *dirty; /* changed since the open batch began */
    struct cw_task *unsent;     /* starts that wait for the commit */
    struct cw_worker *acks;     /* whose ends wait for a commit */
    struct cw_map kv_map;
    struct cw_kv *kvs;
    struct cw_kv *dirty_kvs;
    struct cw_map tenants;
    struct cw_tenant *tenant_list;
    size_t tenant_count; /* in the newest configuration */
    double mean_weight;  /* of those that have one */
    bool tenants_known;  /* cw_sched_set_tenants was called */
    bool has_tenants;    /* a job or a configuration has named one */
    struct cw_stray_run *strays;
    size_t stray_count;
    struct cw_overload *overload; /* allocated at its first use */
    uint64_t quota_holds;         /* starts held back by a quota */
    uint64_t over_share_jobs;     /* submitted beyond their tenants' shares */
    struct {
        uint64_t quota_holds;
        uint64_t over_share_jobs;
        struct cw_replace_counts replaced;
        uint64_t given_up[CW_PROOF_COUNT];
    } counted;                         /* of these, in the daemon's metrics */
    uint64_t given_up[CW_PROOF_COUNT]; /* runs, by the proof of their end */
    struct cw_answered_call answered;  /* set by the owner for starts, stops
                                        * and failed reports */
    uint64_t epoch;                    /* of this scheduler, for the log */
    uint64_t batch;                    /* number of the open batch */
    uint64_t committed;                /* batches up to here are durable */
    cw_ms former_orders_until; /* a previous scheduler may send orders, or
                                * renew leases, until then */
    cw_ms wall_offset;         /* wall time minus monotonic, an estimate */
    bool plan_due;             /* of at least one pool */
    bool checks_starts;        /* the owner checks connections before starts
                                * that are marked so */
    bool uneven_workers; /* learns the speeds of workers and acts on them */
    double far_factor;   /* a task takes so many times as long outside the rack
                          * of its data; up to 1: as long */
    cw_ms replace_at;    /* next scan for overdue tasks */
    cw_ms awaited_scan_at; /* next scan for runs that hold tasks back */
    struct cw_replace_counts replaced;
    cw_ms classify_at; /* next classification of the workers */
    cw_ms ticked_at;   /* last call for a classification */
    cw_ms awake_since; /* it was not paused since then */
    bool proof_due;    /* the open batch is written also without a change */
    struct cw_machine *machines;
    size_t machine_count;
    bool machines_known;
    uint64_t machines_version; /* changes with the machines */
    cw_ms blocked_scan_at;     /* next scan for jobs that no machine can run */
    size_t blocked_jobs;       /* found by the last one */
    cw_ms blocked_longest_ms;
    struct cw_interfere *interfere; /* NULL: nothing is learned */
    /* Placements that known pairs have changed, and pauses of all backfill
     * tasks of a worker, since the owner last took these numbers. */
    uint64_t interfere_moves;
    uint64_t harm_pauses;
};

#endif
