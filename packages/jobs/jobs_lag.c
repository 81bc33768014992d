/* How far the scheduler's event loop lags behind, and what it defers then. */
#include "cw_jobs.h"

/* Weight of a new sample in the average: 1 / LAG_WEIGHT. */
#define LAG_WEIGHT 8
/* A pause of the process is no load; its sample counts at most this much. */
#define LAG_SAMPLE_MAX_MS 400
/* Lag that timers and other processes cause without load. */
#define LAG_IDLE_MS 10
/* Limits of what is deferred. A report later than this delays the next step of
 * a job noticeably. */
#define REPORT_DELAY_MAX_MS 250
#define COMMIT_INTERVAL_MIN_MS 20
#define COMMIT_INTERVAL_MAX_MS 80

void
cw_loop_lag_add(struct cw_loop_lag *l, cw_ms late)
{
    if (late < 0) {
        late = 0;
    }
    if (late > LAG_SAMPLE_MAX_MS) {
        late = LAG_SAMPLE_MAX_MS;
    }
    l->average_ms += ((double)late - l->average_ms) / LAG_WEIGHT;
}

static cw_ms
excess_ms(const struct cw_loop_lag *l)
{
    return l->average_ms > LAG_IDLE_MS ? (cw_ms)l->average_ms - LAG_IDLE_MS
                                       : 0;
}

cw_ms
cw_loop_lag_report_delay(const struct cw_loop_lag *l)
{
    cw_ms ms = 2 * excess_ms(l);

    return ms < REPORT_DELAY_MAX_MS ? ms : REPORT_DELAY_MAX_MS;
}

cw_ms
cw_loop_lag_commit_interval(const struct cw_loop_lag *l)
{
    cw_ms ms = COMMIT_INTERVAL_MIN_MS + excess_ms(l);

    return ms < COMMIT_INTERVAL_MAX_MS ? ms : COMMIT_INTERVAL_MAX_MS;
}
