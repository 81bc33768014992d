/* Preemption: which running tasks of lower priority are stopped for jobs of
 * the highest priority that would miss their objective. Chooses only; the
 * owner stops the tasks. */
#ifndef CW_PREEMPT_H
#define CW_PREEMPT_H

#include "cw_jobs.h"

/* Tasks that one call chooses at most. */
#define CW_PREEMPT_MAX 16

struct cw_preempt_victim {
    struct cw_task *task;
    cw_ms lost_ms; /* its progress since the last checkpoint */
};

/* Chooses tasks of the pool to stop now, and marks them: a task is preempted
 * once. Returns how many; always 0 without tenants in the configuration. */
size_t cw_preempt_pick(struct cw_sched *s, struct cw_pool *p, cw_ms now,
                       struct cw_preempt_victim out[CW_PREEMPT_MAX]);

#endif
