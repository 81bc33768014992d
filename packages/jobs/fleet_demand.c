/* History of a pool's demand, detection of its period, and the forecast from
 * both. */
#include "cw_fleet.h"

#include <math.h>

/* Jobs in a window that make a rate: single large ones would look like a
 * burst. The window grows until it has RATE_JOBS of them. */
#define RATE_JOBS_MIN 4
#define RATE_JOBS 16
/* Range of the periods that are searched. */
#define PERIOD_MIN_MS 6000
#define PERIOD_MAX_MS 30000
/* Share of a period that must have been observed a second time before the
 * period is used. */
#define PERIOD_REPEATED_SHARE 0.5
/* Minimum autocorrelation at the period's lag. */
#define PERIOD_CORRELATION 0.6

static size_t
slot_index(int64_t slot)
{
    return (size_t)(slot % CW_CURVE_SLOTS);
}

/* Makes the given slot the latest one and clears those in between. */
static void
advance(struct cw_demand_curve *c, int64_t slot)
{
    if (!c->has_data) {
        c->has_data = true;
        c->first_slot = slot;
        c->last_slot = slot;
        c->work[slot_index(slot)] = 0;
        c->jobs[slot_index(slot)] = 0;
        return;
    }
    if (slot - c->last_slot > CW_CURVE_SLOTS) {
        c->last_slot = slot - CW_CURVE_SLOTS;
    }
    while (c->last_slot < slot) {
        c->last_slot++;
        c->work[slot_index(c->last_slot)] = 0;
        c->jobs[slot_index(c->last_slot)] = 0;
    }
    if (c->last_slot - c->first_slot >= CW_CURVE_SLOTS) {
        c->first_slot = c->last_slot - CW_CURVE_SLOTS + 1;
    }
}

void
cw_curve_add(struct cw_demand_curve *c, cw_ms now, double work, uint32_t jobs)
{
    int64_t slot = now / CW_CURVE_SLOT_MS;

    advance(c, slot);
    c->work[slot_index(slot)] += work;
    c->jobs[slot_index(slot)] += (uint16_t)jobs;
}

static bool
is_known(const struct cw_demand_curve *c, int64_t slot)
{
    return c->has_data && slot >= c->first_slot && slot <= c->last_slot;
}

static double
slot_work(const struct cw_demand_curve *c, int64_t slot)
{
    return is_known(c, slot) ? c->work[slot_index(slot)] : 0;
}

double
cw_curve_rate(const struct cw_demand_curve *c, cw_ms now, cw_ms window_ms,
              cw_ms window_max_ms)
{
    int64_t last = now / CW_CURVE_SLOT_MS;
    int64_t min = window_ms / CW_CURVE_SLOT_MS;
    int64_t max = window_max_ms / CW_CURVE_SLOT_MS;
    int64_t n = 0;
    double sum = 0;
    double ms;
    uint32_t jobs = 0;

    while (n < min || (n < max && jobs < RATE_JOBS)) {
        sum += slot_work(c, last - n);
        jobs += is_known(c, last - n) ? c->jobs[slot_index(last - n)] : 0;
        n++;
    }
    /* The latest slot is not complete yet. */
    ms = (double)((n - 1) * CW_CURVE_SLOT_MS + now % CW_CURVE_SLOT_MS);
    return ms <= 0 || jobs < RATE_JOBS_MIN ? 0 : sum / ms;
}

/* Work over three slots: single jobs make the slots vary strongly. */
static double
smoothed_work(const struct cw_demand_curve *c, int64_t slot)
{
    return slot_work(c, slot - 1) + slot_work(c, slot) +
           slot_work(c, slot + 1);
}

/* Autocorrelation of the history at a lag in slots. */
static double
correlation(const struct cw_demand_curve *const *curves, size_t n,
            int64_t last, int64_t first, int64_t lag)
{
    double xy = 0;
    double xx = 0;
    double yy = 0;

    for (size_t k = 0; k < n; k++) {
        double mean = 0;

        for (int64_t i = first; i <= last; i++) {
            mean += smoothed_work(curves[k], i);
        }
        mean /= (double)(last - first + 1);
        for (int64_t i = first + lag; i <= last; i++) {
            double x = smoothed_work(curves[k], i) - mean;
            double y = smoothed_work(curves[k], i - lag) - mean;

            xy += x * y;
            xx += x * x;
            yy += y * y;
        }
    }
    return xx <= 0 || yy <= 0 ? 0 : xy / sqrt(xx * yy);
}

cw_ms
cw_curve_period(const struct cw_demand_curve *const *curves, size_t n,
                cw_ms now)
{
    int64_t last = now / CW_CURVE_SLOT_MS - 1;
    int64_t first = last;
    int64_t best = 0;
    double best_value = PERIOD_CORRELATION;

    for (size_t k = 0; k < n; k++) {
        if (curves[k]->has_data && curves[k]->first_slot < first) {
            first = curves[k]->first_slot;
        }
    }
    for (int64_t lag = PERIOD_MIN_MS / CW_CURVE_SLOT_MS;
         lag <= PERIOD_MAX_MS / CW_CURVE_SLOT_MS; lag++) {
        double v;

        if ((double)(last - first - lag) <
            PERIOD_REPEATED_SHARE * (double)lag) {
            break;
        }
        v = correlation(curves, n, last, first, lag);
        if (v > best_value) {
            best_value = v;
            best = lag;
        }
    }
    return best * CW_CURVE_SLOT_MS;
}

double
cw_curve_forecast(const struct cw_demand_curve *c, cw_ms now, cw_ms period,
                  cw_ms ahead_ms, cw_ms window_ms)
{
    int64_t from = (now + ahead_ms - period) / CW_CURVE_SLOT_MS;
    int64_t to = (now + ahead_ms + window_ms - period) / CW_CURVE_SLOT_MS;
    double best = 0;

    if (period <= 0) {
        return 0;
    }
    for (int64_t i = from; i <= to; i++) {
        /* Mean over a second, so that a single job is no peak. */
        double v = (slot_work(c, i) + slot_work(c, i + 1) +
                    slot_work(c, i + 2) + slot_work(c, i + 3)) /
                   (4.0 * CW_CURVE_SLOT_MS);

        if (v > best) {
            best = v;
        }
    }
    return best;
}
