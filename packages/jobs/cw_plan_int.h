/* Internal declarations of the planner: the steps that may start, and the
 * workers that they may start on. */
#ifndef CW_PLAN_INT_H
#define CW_PLAN_INT_H

#include "cw_jobs_int.h"

/* While tasks wait, a pool is planned again after this time, as the pauses of
 * its workers and the due times of its jobs pass without an event. */
#define CW_REPLAN_MS 100

/* ---- jobs_order.c ---- */

/* Order of steps: lasting ones; then those of jobs that can still meet their
 * objective, by queue priority and earliest objective; then those of late jobs
 * that earn reduced credit, by due time; then those of jobs that no longer
 * earn any. Jobs over share come after jobs within their shares that are in
 * time, or that have waited longer than their objective (aged). They come
 * before other late jobs only when they are in time. Without tenants no job is
 * aged or over share. */
enum cw_plan_tier {
    CW_TIER_LASTING,
    CW_TIER_IN_TIME,
    CW_TIER_AGED,
    CW_TIER_OVER_IN_TIME,
    CW_TIER_LATE,
    CW_TIER_OVER_LATE,
    CW_TIER_NO_CREDIT
};

/* The tier is ordered by the priority of the queues first. */
static inline bool
cw_tier_by_priority(enum cw_plan_tier t)
{
    return t == CW_TIER_IN_TIME || t == CW_TIER_OVER_IN_TIME;
}

/* A step of one occurrence whose tasks may start. */
struct cw_ready_step {
    struct cw_job_entry *job;
    struct cw_task *first; /* the step's tasks in this occurrence .. */
    uint32_t count;        /* .. and their number */
    enum cw_plan_tier tier;
    cw_ms sort_key;
    struct cw_ready_step *turn_next; /* of the same tenant, see cw_turns */
};

/* Collects the steps of a pool that may start, in the order in which they are
 * placed; returns how many. *out is allocated, or NULL when there is none. */
size_t cw_plan_ready_steps(const struct cw_sched *s, struct cw_pool *p,
                           cw_ms now, struct cw_ready_step **out);
/* The first task of the step that waits for a start, or NULL. */
struct cw_task *cw_ready_step_waiting(const struct cw_ready_step *rs);
/* The pool is planned again at a time, or earlier. */
void cw_pool_replan_at(struct cw_pool *p, cw_ms at);

/* ---- jobs_turns.c ---- */

/* Passes the ordered steps on: class by class, and within a class in turns
 * between the tenants. Without tenants in the configuration the order stays.
 * A step must be placed before the next one is taken. */
struct cw_turns {
    const struct cw_sched *s;
    struct cw_ready_step *steps;
    size_t count;
    size_t next; /* the first one of the classes to come */
    struct cw_tenant_use *queues;
    struct cw_resource_sum capacity; /* of the pool */
};

void cw_turns_begin(struct cw_turns *t, const struct cw_sched *s,
                    const struct cw_pool *p, struct cw_ready_step *steps,
                    size_t n);
struct cw_ready_step *cw_turns_next(struct cw_turns *t);

/* ---- jobs_place.c ---- */

/* Why a task is not started on a worker: the first reason that holds. */
enum cw_unfit {
    CW_FITS,
    CW_UNFIT_LEAVES,      /* it is draining or gone */
    CW_UNFIT_NO_CONTACT,  /* it has not reported to this scheduler yet */
    CW_UNFIT_SILENT,      /* its last call got no answer */
    CW_UNFIT_CORDONED,    /* before maintenance or a move */
    CW_UNFIT_STRAYS,      /* runs of no known task are being stopped there */
    CW_UNFIT_NO_CLOCK,    /* its clock is unknown since its restart */
    CW_UNFIT_PAUSED,      /* until retry_at */
    CW_UNFIT_UNWELL,      /* quarantined */
    CW_UNFIT_MAINTENANCE, /* due soon, and the task was moved off one */
    CW_UNFIT_LABEL,
    CW_UNFIT_FULL,
    CW_UNFIT_RAMP,       /* it came back, or is slow: few tasks at a time */
    CW_UNFIT_STEP_LIMIT, /* max_per_worker */
    CW_UNFIT_RESERVED,   /* kept free for another task that waits */
    CW_UNFIT_COUNT,
};

enum cw_unfit cw_plan_unfit(const struct cw_worker *w, const struct cw_task *t,
                            cw_ms now);

/* A worker that accepts tasks, with the figures that exclude most workers in
 * little memory: a pool may have hundreds, and a plan places hundreds of
 * tasks. */
struct cw_plan_candidate {
    uint32_t free_cpu;
    uint32_t free_mb;
    struct cw_worker *worker;
};

#define CW_RACK_ENDS_MAX 32 /* tasks that may wait for a rack in one plan */
#define CW_PLAN_RACKS_MAX 8 /* racks, and sizes of tasks, in one plan */

/* Expected ends of runs in a rack. */
struct cw_rack_ends {
    struct cw_name rack;
    struct cw_resources need;     /* each makes room for such a task */
    cw_ms ends[CW_RACK_ENDS_MAX]; /* in their order */
    size_t count;
    size_t taken; /* the first ones, by tasks that wait */
};

struct cw_plan {
    struct cw_sched *s;
    struct cw_pool *pool;
    cw_ms now;
    struct cw_plan_candidate *candidates; /* in the order of the pool's list */
    size_t candidate_count;
    struct cw_rack_ends racks[CW_PLAN_RACKS_MAX];
    size_t rack_count;
    const struct cw_task *rack_task; /* waits for room in a rack, or NULL .. */
    cw_ms rack_until;                /* .. until then */
};

/* ---- jobs_rack.c ---- */

/* True when the task waits for room in the rack of its data instead of a start
 * on w, which is in another rack. */
bool cw_plan_wait_for_rack(struct cw_plan *pl, const struct cw_task *t,
                           const struct cw_worker *w);

/* ---- jobs_place.c ---- */

/* Collects the workers that accept tasks; free pl->candidates afterwards. */
bool cw_plan_collect_candidates(struct cw_plan *pl);
/* Places the step's waiting tasks. Returns the first task that found no
 * worker; NULL when all have one, or their tenant's quota allows no more. */
struct cw_task *cw_plan_place_step(struct cw_plan *pl,
                                   struct cw_ready_step *rs);
/* A normal worker with room for a task that runs elsewhere, or NULL. */
struct cw_worker *cw_plan_other_worker(struct cw_sched *s,
                                       const struct cw_task *t, cw_ms now);
/* Starts the next run of a task that has left a run behind. */
void cw_plan_start_copy(struct cw_sched *s, struct cw_task *t,
                        struct cw_worker *to, cw_ms now);
/* Reserves workers for a task, or for all members of its gang. */
void cw_plan_reserve(struct cw_pool *p, const struct cw_ready_step *rs,
                     const struct cw_task *unplaced, cw_ms now);

#endif
