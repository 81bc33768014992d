/* Tenants of the job service: what each has placed, its quota, and its share
 * of a pool. */
#ifndef CW_TENANT_H
#define CW_TENANT_H

#include "cw_jobs.h"

struct cw_ready_step;

/* A tenant's tasks in one pool. */
struct cw_tenant_use {
    struct cw_tenant *tenant;
    struct cw_tenant_use *next; /* of the same tenant */
    const struct cw_pool *pool;
    struct cw_resource_sum placed;
    struct cw_quota wanted; /* within cw_pool_load: by waiting tasks so far */
    /* Within one plan: its steps that have not had their turn. */
    struct cw_ready_step *first;
    struct cw_ready_step **last;
    struct cw_tenant_use *turn_next;
};

/* Also stands for the jobs without a tenant, with the name "". */
struct cw_tenant {
    struct cw_name name; /* first, for cw_map */
    struct cw_tenant *next;
    struct cw_tenant_use *uses;
    size_t job_count; /* in the table of jobs */
    /* As the newest configuration that lists it has them. A tenant that is
     * withdrawn keeps them, so that its remaining jobs stay limited. */
    struct cw_quota quota;
    double weight;
    bool listed;            /* in the newest configuration */
    bool known;             /* in one of the configurations seen */
    struct cw_quota placed; /* from the planning of a start to its known end */
    double tokens;          /* jobs that it may submit now within its share */
    cw_ms tokens_at;
    bool held; /* a start waits for its quota */
    cw_ms hold_logged_at;
    cw_ms over_logged_at;
};

/* A run that is being stopped, and that no task accounts for any more. */
struct cw_stray_run {
    struct cw_stray_run *next;
    struct cw_tenant *tenant;
    struct cw_name worker;
    struct cw_run_row row;
    struct cw_resources need;
    cw_ms added_at;
    cw_ms stop_answered_at; /* 0: not yet */
    cw_ms lapse_at;         /* the lease of its worker has lapsed by then */
    uint32_t last_report;   /* number of the worker's last report with it */
};

#define CW_STRAY_RUNS_MAX 1024

/* Finds the entry of a job's tenant in its pool, or adds one; NULL when memory
 * is short. */
struct cw_tenant_use *cw_tenant_use_get(struct cw_sched *s,
                                        const struct cw_name *tenant,
                                        const struct cw_pool *pool);
void cw_tenants_finish(struct cw_sched *s);
/* A task of the job is placed (sign 1) or no longer placed (sign -1). */
void cw_tenant_count_task(struct cw_job_entry *j, const struct cw_step *st,
                          int sign);
/* A task was unplaced: plans the pools in which starts wait for the quota. */
void cw_tenant_wake(struct cw_sched *s, struct cw_tenant *t);
/* The quota allows starts of so many tasks of the step. A tenant that no
 * configuration has listed may start nothing while none is known. */
bool cw_tenant_allows(const struct cw_sched *s, const struct cw_tenant *t,
                      const struct cw_step *st, uint32_t count);
/* Adds a waiting task to the demand of its tenant in the pool. False when the
 * quota is used up by it and by what is placed: more VMs would not help. */
bool cw_tenant_want(const struct cw_sched *s, struct cw_tenant_use *u,
                    const struct cw_step *st);
/* The same as cw_tenant_allows for a start that is about to be planned: when
 * it is held back, it is logged and counted, and its pool is planned again
 * once tasks end. */
bool cw_tenant_may_start(struct cw_sched *s, const struct cw_task *t,
                         uint32_t count, cw_ms now);
/* A task of the job, or a gang, exceeds the tenant's quota alone. */
bool cw_tenant_never_fits(const struct cw_sched *s,
                          const struct cw_job_spec *spec);
/* Takes a job from the tenant's token bucket; false when it is over share. */
bool cw_tenant_take_job(struct cw_sched *s, struct cw_tenant *t, cw_ms now);
/* A job submitted now would be over share. */
bool cw_tenant_is_over_share(const struct cw_sched *s,
                             const struct cw_name *tenant, cw_ms now);
/* Weight in the turns between tenants: one that has none gets the mean. */
double cw_tenant_turn_weight(const struct cw_sched *s,
                             const struct cw_tenant *t);

/* ---- runs that no task accounts for ---- */

/* Counts the run until it is known to be over. */
void cw_stray_add(struct cw_sched *s, const struct cw_worker *w,
                  const struct cw_run_row *r, const struct cw_task *t,
                  cw_ms now);
/* The worker listed the run as running, or as ended. */
void cw_stray_listed(struct cw_sched *s, const struct cw_worker *w,
                     const struct cw_run_row *r, bool ended);
void cw_stray_stop_answered(struct cw_sched *s, const struct cw_worker *w,
                            const struct cw_run_row *r, cw_ms now);
/* A report with all runs of the worker: ends those that it does not list, if
 * it was asked for after their stop was answered. */
void cw_stray_reported(struct cw_sched *s, const struct cw_worker *w,
                       cw_ms sent_at);
/* The worker has restarted: its next report decides. */
void cw_stray_restarted(struct cw_sched *s, const struct cw_worker *w,
                        cw_ms now);
/* All runs on the worker have ended. */
void cw_stray_worker_lost(struct cw_sched *s, const struct cw_worker *w);
/* Ends the runs whose leases have lapsed by the worst clock. */
void cw_stray_expire(struct cw_sched *s, cw_ms now);

#endif
