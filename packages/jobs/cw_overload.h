/* Admission control under overload: refuses at submission what cannot be
 * served, and keeps the place of refused jobs that return. Decides only;
 * nothing of a refused job is stored, and the table of refused jobs is lost in
 * a takeover. */
#ifndef CW_OVERLOAD_H
#define CW_OVERLOAD_H

#include "cw_tenant.h"

#define CW_REFUSED_MAX 4096

/* A refused job. Its work counts as queued until it returns, or the time for
 * that is over. */
struct cw_refused_job {
    uint64_t id;
    const struct cw_pool *pool;
    double work; /* thousandths of a core x ms */
    cw_ms first_seen;
    cw_ms return_at;  /* admitted from then on .. */
    cw_ms expires_at; /* .. until then */
    uint8_t priority_class;
    bool over_share;
    uint16_t bucket_next; /* index + 1, 0: none; also of the free list */
};

struct cw_overload {
    struct cw_refused_job rows[CW_REFUSED_MAX];
    uint16_t buckets[CW_REFUSED_MAX]; /* index + 1, 0: none */
    uint16_t free_first;
    uint32_t used; /* rows that were in use at least once */
    uint32_t count;
    cw_ms swept_at;
};

struct cw_admission {
    bool refused;
    cw_ms wait_ms; /* expected wait behind the work queued ahead */
    cw_ms retry_after_ms;
};

/* Decides on a submission of a job that is not known yet. movable_cpu:
 * capacity of VMs that can still move into the job's pool, in thousandths of a
 * core. An admitted job must be accepted next. */
struct cw_admission cw_overload_admit(struct cw_sched *s,
                                      const struct cw_job_spec *spec,
                                      uint64_t movable_cpu, cw_ms now);

/* ---- parts of it ---- */

/* The wait from which a job is refused: three times its objective, minus its
 * critical path. */
cw_ms cw_overload_limit_ms(cw_ms objective_ms, cw_ms critical_path_ms);
/* Time after which a refused job may return, whose expected wait is excess_ms
 * too long: spread over as long again by a hash of its id. */
cw_ms cw_overload_retry_ms(cw_ms excess_ms, uint64_t id);
/* The entry of a refused job, or NULL. */
struct cw_refused_job *cw_overload_find(struct cw_overload *o, uint64_t id);

#endif
