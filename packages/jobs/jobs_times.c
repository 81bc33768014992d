/* Durations of tasks, learned per queue, and the objectives of jobs that are
 * computed from them. */
#include "cw_jobs.h"

#include <math.h>

/* Weight of a new sample in the moving averages. */
#define SAMPLE_WEIGHT 0.05
/* The mean is used from this number of samples on. */
#define SAMPLES_MIN 8
/* Mean error of the logarithm above which the mean predicts a duration better
 * than the caller's estimate. */
#define LOG_ERROR_MAX 0.45

struct cw_queue_times *
cw_pool_queue_times(struct cw_pool *p, const struct cw_name *queue)
{
    for (size_t i = 0; i < p->time_count; i++) {
        if (cw_name_eq(&p->times[i].queue, queue)) {
            return &p->times[i];
        }
    }
    if (p->time_count == CW_QUEUE_TIMES_MAX) {
        return NULL;
    }
    p->times[p->time_count].queue = *queue;
    return &p->times[p->time_count++];
}

void
cw_queue_times_add(struct cw_queue_times *q, double estimate_ms,
                   double actual_ms)
{
    double log_error;
    double weight;

    if (q == NULL || estimate_ms <= 0 || actual_ms <= 0) {
        return;
    }
    log_error = fabs(log(estimate_ms / actual_ms));
    q->samples++;
    weight =
        q->samples < 1.0 / SAMPLE_WEIGHT ? 1.0 / q->samples : SAMPLE_WEIGHT;
    q->mean_ms += weight * (actual_ms - q->mean_ms);
    q->log_error += weight * (log_error - q->log_error);
}

cw_ms
cw_job_task_ms(const struct cw_job_entry *j, const struct cw_step *st)
{
    const struct cw_queue_times *q = j->times;

    if (q != NULL && q->samples >= SAMPLES_MIN &&
        q->log_error > LOG_ERROR_MAX) {
        return (cw_ms)q->mean_ms;
    }
    return st->estimate_ms;
}

cw_ms
cw_job_critical_path_ms(const struct cw_job_entry *j, uint32_t occurrence,
                        bool remaining)
{
    const uint32_t *tasks_left =
        &j->tasks_left[occurrence * j->spec.step_count];
    cw_ms end[CW_JOB_STEPS_MAX] = {0};
    cw_ms longest = 0;

    /* Steps may be listed in any order: after as many passes as there are
     * steps all ends are final. */
    for (size_t pass = 0; pass < j->spec.step_count; pass++) {
        for (size_t i = 0; i < j->spec.step_count; i++) {
            const struct cw_step *st = &j->spec.steps[i];
            cw_ms from = 0;

            for (size_t k = 0; k < j->spec.step_count; k++) {
                if ((st->after >> k & 1) != 0 && end[k] > from) {
                    from = end[k];
                }
            }
            end[i] = from;
            if (!remaining || tasks_left[i] > 0) {
                end[i] += cw_job_task_ms(j, st);
            }
            if (end[i] > longest) {
                longest = end[i];
            }
        }
    }
    return longest;
}

cw_ms
cw_job_objective_ms(const struct cw_job_entry *j)
{
    return j->spec.rules.slo_ms +
           (cw_ms)(j->spec.rules.stretch *
                   (double)cw_job_critical_path_ms(j, 0, false));
}
