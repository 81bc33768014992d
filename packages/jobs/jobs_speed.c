/* Finds slow workers from the durations and the progress of their tasks. */
#include "cw_jobs_int.h"

#include <math.h>
#include <stdlib.h>

/* The weight of a sample falls to 1/e in this time: after 30 s even WEIGHT_MAX
 * samples weigh less than WEIGHT_MIN. */
#define DECAY_MS 8000.0
#define WEIGHT_MAX 12.0
#define WEIGHT_MIN 0.5
/* A worker is slow when its mean exceeds the pool's median by this much and by
 * the uncertainty of both. Estimates are off by up to ln 2.5 = 0.92: that is
 * below the bound for every number of samples up to WEIGHT_MAX, also if all of
 * a worker's estimates are the most wrong ones. */
#define SLOW_LOG 0.693
#define SLOW_UNCERTAINTY 1.5
/* The tasks of a step share one estimate, and with it its error. */
#define SAME_JOB_WEIGHT 0.25
/* The median of few workers is uncertain as well: by ln 2.5 for a single one.
 */
#define MEDIAN_UNCERTAINTY 0.92
/* Samples are limited, so that one task that hangs does not hide the speed of
 * those after it. */
#define LOG_MIN (-2.0)
#define LOG_MAX 3.0
/* Workers without samples count as normal until the median has this many. */
#define MEDIAN_MIN 3
/* A progress is judged after this time, and half of the expected duration: the
 * figures of the first moments depend on the start of the run. */
#define SAMPLE_MIN_MS 500
/* Percentages may be rounded down and come in steps. */
#define PERCENT_STEP 5
/* Runs that resumed near their end say nothing about speed. */
#define BASE_PERCENT_MAX 70

/* ---- one worker ---- */

static void
decay(struct cw_speed *v, cw_ms now)
{
    double keep = exp(-(double)(now - v->at) / DECAY_MS);

    if (now <= v->at) {
        return;
    }
    v->log_sum *= keep;
    v->weight *= keep;
    v->at = now;
}

static double
mean(const struct cw_speed *v)
{
    return v->weight > 0 ? v->log_sum / v->weight : 0;
}

bool
cw_speed_add(struct cw_speed *v, double log_ratio, uint64_t job, cw_ms began,
             double median, cw_ms now)
{
    double x = fmin(fmax(log_ratio, LOG_MIN), LOG_MAX);
    double weight = v->last_job == job ? SAME_JOB_WEIGHT : 1;

    if (v->slow && began >= v->slow_at && x - median < SLOW_LOG) {
        *v = (struct cw_speed){
            .log_sum = x, .weight = 1, .last_job = job, .at = now};
        return true;
    }
    decay(v, now);
    v->last_job = job;
    v->log_sum += x * weight;
    v->weight += weight;
    if (v->weight > WEIGHT_MAX) {
        v->log_sum *= WEIGHT_MAX / v->weight;
        v->weight = WEIGHT_MAX;
    }
    return false;
}

/* ---- a pool ---- */

static int
double_cmp(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return (x > y) - (x < y);
}

static double
median_of(struct cw_speed **v, size_t count, size_t *sampled)
{
    double *means = calloc(count + MEDIAN_MIN, sizeof(*means));
    double m;
    size_t n = 0;

    *sampled = 0;
    if (means == NULL) {
        return 0;
    }
    for (size_t i = 0; i < count; i++) {
        if (v[i]->weight >= WEIGHT_MIN) {
            means[n++] = mean(v[i]);
        }
    }
    *sampled = n;
    while (n < MEDIAN_MIN) {
        means[n++] = 0;
    }
    qsort(means, n, sizeof(*means), double_cmp);
    m = means[(n - 1) / 2];
    free(means);
    return m;
}

static int
slowest_first(const void *a, const void *b)
{
    const struct cw_speed *x = *(struct cw_speed *const *)a;
    const struct cw_speed *y = *(struct cw_speed *const *)b;

    return (x->factor < y->factor) - (x->factor > y->factor);
}

static bool
is_slow(const struct cw_speed *v, double excess, size_t sampled)
{
    double uncertain;

    if (v->weight < WEIGHT_MIN) {
        return false;
    }
    uncertain = SLOW_UNCERTAINTY / sqrt(v->weight) +
                MEDIAN_UNCERTAINTY / sqrt((double)sampled);
    return excess > SLOW_LOG + (v->slow ? 0 : uncertain);
}

double
cw_speed_classify(struct cw_speed **v, size_t count, cw_ms now)
{
    double median;
    size_t sampled;
    size_t n = 0; /* slow ones, moved to the front */

    for (size_t i = 0; i < count; i++) {
        decay(v[i], now);
    }
    median = median_of(v, count, &sampled);
    for (size_t i = 0; i < count; i++) {
        struct cw_speed *x = v[i];
        double excess = mean(x) - median;

        x->factor = excess > 0 ? exp(excess) : 1;
        if (is_slow(x, excess, sampled)) {
            v[i] = v[n];
            v[n++] = x;
        }
        else {
            x->slow = false;
        }
    }
    qsort(v, n, sizeof(struct cw_speed *), slowest_first);
    for (size_t i = 0; i < n; i++) {
        bool slow = i < count / CW_SLOW_WORKERS_DIVISOR;

        if (slow && !v[i]->slow) {
            v[i]->slow_at = now;
        }
        v[i]->slow = slow;
    }
    return median;
}

/* ---- one run ---- */

static bool
take_sample(struct cw_run_progress *p, cw_ms elapsed)
{
    if (elapsed < 2 * p->sampled_ms) {
        return false;
    }
    p->sampled_ms = elapsed;
    return true;
}

bool
cw_run_progress_sample(struct cw_run_progress *p, uint32_t percent,
                       cw_ms began, cw_ms expected_ms, cw_ms now,
                       double *log_ratio)
{
    uint32_t seen = percent > 100 ? 100 : percent;
    cw_ms elapsed;

    if (p->base_at == 0) {
        p->base_at = p->resumed ? now : began;
        p->base_percent = p->resumed ? (uint8_t)seen : 0;
        p->percent = p->base_percent;
        p->advanced_at = p->base_at;
    }
    if (seen > p->percent) {
        p->percent = (uint8_t)seen;
        p->advanced_at = now;
    }
    elapsed = now - p->base_at;
    if (expected_ms <= 0 || elapsed < SAMPLE_MIN_MS ||
        elapsed < expected_ms / 2 || p->base_percent > BASE_PERCENT_MAX ||
        !take_sample(p, elapsed)) {
        return false;
    }
    *log_ratio = log((double)elapsed / (double)expected_ms * 100.0 /
                     (double)(p->percent - p->base_percent + PERCENT_STEP));
    return true;
}

bool
cw_run_progress_end(struct cw_run_progress *p, cw_ms began, cw_ms expected_ms,
                    cw_ms now, double *log_ratio)
{
    cw_ms elapsed;

    if (p->base_at == 0) {
        if (p->resumed) {
            return false;
        }
        p->base_at = began;
    }
    elapsed = now - p->base_at;
    if (expected_ms <= 0 || elapsed <= 0 ||
        p->base_percent > BASE_PERCENT_MAX || !take_sample(p, elapsed)) {
        return false;
    }
    *log_ratio = log((double)elapsed / (double)expected_ms * 100.0 /
                     (double)(100 - p->base_percent));
    return true;
}

/* ---- the scheduler's workers ---- */

/* A worker whose runs are not reported for longer was silent: reports are
 * asked for at least once a second. */
#define SILENT_MS 1500
/* A worker that was silent for longer ramps up: one call for a report that is
 * lost (1.6 s) and its repeat are no reason. */
#define RAMP_SILENCE_MS 2500
/* After a gap of this length between two ticks the scheduler itself was
 * paused: nothing is known of its workers' silence. */
#define PAUSED_MS 500
/* Time between two classifications of the workers. */
#define CLASSIFY_INTERVAL_MS 500
/* A worker that came back counts as normal after this time, also if it got no
 * task that could prove it. */
#define RAMP_MAX_MS 30000
/* Workers that come back within this time have the same cause for it. */
#define AT_ONCE_MS 1500
/* Most tasks at a time while a worker ramps up: 1, then 2, then 4. */
#define RAMP_LAST 4

/* Time for which the worker has not reported its runs, 0 while it is short or
 * unknown. */
static cw_ms
silence_ms(const struct cw_sched *s, const struct cw_worker *w, cw_ms now)
{
    cw_ms since = w->seen_at > s->awake_since ? w->seen_at : s->awake_since;
    cw_ms oldest = now;

    if (w->seen_at == 0 || now - since <= SILENT_MS ||
        (s->ticked_at != 0 && now - s->ticked_at > PAUSED_MS)) {
        return 0;
    }
    /* Idle workers are not asked for reports. */
    for (const struct cw_task *t = w->tasks; t != NULL; t = t->next) {
        if (t->state_since < oldest) {
            oldest = t->state_since;
        }
    }
    return now - (oldest > since ? oldest : since);
}

bool
cw_worker_is_silent(const struct cw_sched *s, const struct cw_worker *w,
                    cw_ms now)
{
    return silence_ms(s, w, now) > SILENT_MS;
}

/* Most batch tasks that the worker may have now, 0: no limit. */
static uint32_t
ramp_limit(const struct cw_worker *w, cw_ms now)
{
    if (w->speed.slow) {
        return 1;
    }
    return now - w->ramp_at < RAMP_MAX_MS ? w->ramp : 0;
}

static void
end_recent_ramps(struct cw_pool *p, cw_ms now)
{
    for (struct cw_worker *w = p->workers; w != NULL; w = w->next) {
        if (w->ramp == 1 && now - w->ramp_at < AT_ONCE_MS) {
            w->ramp = 0;
        }
    }
}

void
cw_worker_begin_ramp(const struct cw_sched *s, struct cw_worker *w, cw_ms now)
{
    struct cw_pool *p = w->pool;
    uint32_t n = 0;

    if (!s->uneven_workers || now < p->ramp_from) {
        return;
    }
    for (const struct cw_worker *o = p->workers; o != NULL; o = o->next) {
        n += o != w && ramp_limit(o, now) > 0 ? 1 : 0;
    }
    /* Where more come back at once, the cause lies elsewhere. */
    if ((n + 1) * CW_SLOW_WORKERS_DIVISOR > p->worker_count) {
        end_recent_ramps(p, now);
        p->ramp_from = now + AT_ONCE_MS;
        return;
    }
    w->ramp = 1;
    w->ramp_at = now;
}

void
cw_worker_note_silence(const struct cw_sched *s, struct cw_worker *w,
                       cw_ms now)
{
    cw_ms ms = silence_ms(s, w, now);

    w->after_silence = ms > SILENT_MS;
    if (ms > RAMP_SILENCE_MS) {
        cw_worker_begin_ramp(s, w, now);
    }
}

bool
cw_worker_within_ramp(const struct cw_worker *w, const struct cw_task *t,
                      cw_ms now)
{
    uint32_t limit = ramp_limit(w, now);

    return limit == 0 || cw_task_step(t)->lasting || cw_task_step(t)->gang ||
           w->task_count - w->lasting_count < limit;
}

static void
ramp_up(struct cw_worker *w, const struct cw_task *t, cw_ms now)
{
    if (w->ramp > 0 && t->state_since >= w->ramp_at) {
        w->ramp = w->ramp < RAMP_LAST ? (uint8_t)(w->ramp * 2) : 0;
        w->ramp_at = now;
    }
}

static void
log_recovered(struct cw_sched *s, const struct cw_worker *w, const char *why)
{
    cw_log(CW_INFO, "worker_recovered", "worker=%s service=%s reason=%s",
           w->id.text, w->pool->service.text, why);
    cw_pool_plan_soon(s, w->pool);
}

static void
add_sample(struct cw_sched *s, struct cw_worker *w, const struct cw_task *t,
           double log_ratio, cw_ms now)
{
    if (cw_speed_add(&w->speed, log_ratio, t->job->id, t->state_since,
                     w->pool->speed_median, now)) {
        w->ramp = 2;
        w->ramp_at = now;
        log_recovered(s, w, "fast_again");
    }
}

/* Paced, coupled and lasting tasks say nothing about the worker's speed. */
static bool
shows_speed(const struct cw_sched *s, const struct cw_task *t)
{
    const struct cw_step *st = cw_task_step(t);

    return s->uneven_workers && !st->lasting && !st->backfill && !st->gang &&
           t->state == CW_RUN_RUNNING;
}

void
cw_worker_run_reported(struct cw_sched *s, struct cw_worker *w,
                       struct cw_task *t, uint32_t percent, cw_ms now)
{
    double x;

    if (!shows_speed(s, t)) {
        return;
    }
    /* When a recorded run began is not known. */
    t->progress.resumed |= t->order_batch == 0;
    if (cw_run_progress_sample(&t->progress, percent, t->state_since,
                               cw_task_typical_ms(s, t, w), now, &x)) {
        add_sample(s, w, t, x, now);
    }
}

void
cw_worker_run_done(struct cw_sched *s, struct cw_worker *w, struct cw_task *t,
                   cw_ms now)
{
    double x;

    if (!s->uneven_workers) {
        return;
    }
    ramp_up(w, t, now);
    t->progress.resumed |= t->order_batch == 0;
    /* After a silence the time of the end is not known. */
    if (!w->after_silence && shows_speed(s, t) &&
        cw_run_progress_end(&t->progress, t->state_since,
                            cw_task_typical_ms(s, t, w), now, &x)) {
        add_sample(s, w, t, x, now);
    }
}

/* Logs what changed; a worker that is no longer slow because its samples are
 * old has not proved its speed. */
static void
apply_class(struct cw_sched *s, struct cw_worker *w, bool was_slow, cw_ms now)
{
    if (w->speed.slow && !was_slow) {
        cw_log(CW_INFO, "worker_slow",
               "worker=%s service=%s vm=%s factor=%.1f samples=%.1f tasks=%u",
               w->id.text, w->pool->service.text, w->vm.text, w->speed.factor,
               w->speed.weight, w->task_count);
    }
    else if (was_slow && !w->speed.slow) {
        cw_worker_begin_ramp(s, w, now);
        log_recovered(s, w, "samples_old");
    }
}

static void
classify_pool(struct cw_sched *s, struct cw_pool *p, cw_ms now)
{
    size_t max = p->worker_count;
    struct cw_speed **v = calloc(max + 1, sizeof(void *));
    bool *was_slow = calloc(max + 1, sizeof(*was_slow));
    size_t n = 0;

    p->slow_count = 0;
    if (v != NULL && was_slow != NULL) {
        for (struct cw_worker *w = p->workers; w != NULL; w = w->next) {
            was_slow[n] = w->speed.slow;
            v[n++] = &w->speed;
        }
        p->speed_median = cw_speed_classify(v, n, now);
        n = 0;
        for (struct cw_worker *w = p->workers; w != NULL; w = w->next) {
            apply_class(s, w, was_slow[n++], now);
            p->slow_count += w->speed.slow ? 1 : 0;
        }
    }
    free(v);
    free(was_slow);
}

static void
forget_speeds(struct cw_sched *s)
{
    for (struct cw_pool *p = s->pool_list; p != NULL; p = p->next) {
        p->slow_count = 0;
        for (struct cw_worker *w = p->workers; w != NULL; w = w->next) {
            w->speed = (struct cw_speed){0};
            w->ramp = 0;
        }
    }
}

void
cw_sched_classify_workers(struct cw_sched *s, bool enabled, cw_ms now)
{
    if (s->uneven_workers && !enabled) {
        forget_speeds(s);
    }
    if (s->ticked_at != 0 && now - s->ticked_at > PAUSED_MS) {
        s->awake_since = now;
    }
    s->ticked_at = now;
    s->uneven_workers = enabled;
    if (!enabled || now < s->classify_at) {
        return;
    }
    s->classify_at = now + CLASSIFY_INTERVAL_MS;
    for (struct cw_pool *p = s->pool_list; p != NULL; p = p->next) {
        if (!p->spare) {
            classify_pool(s, p, now);
        }
    }
}
