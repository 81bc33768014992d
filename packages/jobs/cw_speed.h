/* Speeds of workers: how long tasks take there, compared with their expected
 * durations and with the other workers of the pool. */
#ifndef CW_SPEED_H
#define CW_SPEED_H

#include "cuminwalk.h"

/* Moving average of ln(actual / expected duration) on one worker. */
struct cw_speed {
    double log_sum;
    double weight;     /* number of samples, each decaying with its age */
    uint64_t last_job; /* of the latest sample */
    cw_ms at;          /* time to which both have decayed */
    bool slow;
    cw_ms slow_at; /* since then */
    double factor; /* slowdown when it was last classified, at least 1 */
};

/* What the reports say about the progress of a task's current run. */
struct cw_run_progress {
    cw_ms base_at;        /* progress counts from this time .. */
    cw_ms sampled_ms;     /* .. elapsed time at the last sample, 0: none */
    cw_ms advanced_at;    /* the percentage last rose */
    uint8_t base_percent; /* .. and from this percentage */
    uint8_t percent;
    bool resumed; /* the run started from a checkpoint */
};

/* Share of a pool's workers that may be classified as slow: 1 / this. */
#define CW_SLOW_WORKERS_DIVISOR 4

/* Adds ln(actual / expected). median: of the pool. A run that began after the
 * worker was classified as slow and is as fast as others ends that at once;
 * true when it did. */
bool cw_speed_add(struct cw_speed *v, double log_ratio, uint64_t job,
                  cw_ms began, double median, cw_ms now);
/* Classifies the workers of a pool. The figures of the slow ones stand for 30
 * s without a sample at most. Returns the median of the averages. */
double cw_speed_classify(struct cw_speed **v, size_t count, cw_ms now);
/* Records the progress of a run of which expected_ms are needed for all its
 * work. True when *log_ratio is a new sample: for one run they are taken at
 * elapsed times that at least double, so that a run which makes no progress
 * weighs more with time, and one wrong estimate does not decide. */
bool cw_run_progress_sample(struct cw_run_progress *p, uint32_t percent,
                            cw_ms began, cw_ms expected_ms, cw_ms now,
                            double *log_ratio);
/* The same when the run has ended. */
bool cw_run_progress_end(struct cw_run_progress *p, cw_ms began,
                         cw_ms expected_ms, cw_ms now, double *log_ratio);

#endif
