/* One scheduling pass: task timeouts and lease renewals, then starts and
 * preemption for waiting tasks. */
#include "cw_place_int.h"

/* Sizes for which no worker was found in this tick. A task that needs at
 * least as much of every resource is skipped without another search. */
#define NO_FIT_MAX 64

/* Unsuccessful searches per tick; each reads the free capacity of every
 * worker. The team with the lowest share goes first, so the bound does not
 * starve a team. */
#define FAILED_SEARCHES_MAX 256

struct tick {
    struct cw_place *p;
    cw_ms now;
    cw_place_action_fn act;
    void *ctx;
    uint32_t starts;
    uint32_t failed_searches;
    size_t no_fit_count;
    struct cw_size no_fit[NO_FIT_MAX];
};

static void
emit_action(const struct tick *k, enum cw_place_action_kind kind,
            const struct cw_place_task *t, const struct cw_place_worker *w,
            struct cw_size size, const char *text)
{
    struct cw_place_action a = {kind, t, {NULL, 0}, size, ""};
    if (w != NULL) {
        a.worker = cw_name_str(&w->name);
    }
    snprintf(a.text, sizeof(a.text), "%s", text);
    k->act(k->ctx, &a);
}

/* True when s is at least as large as m in every resource. */
static bool
is_at_least(struct cw_size s, struct cw_size m)
{
    return s.cpu_milli >= m.cpu_milli && s.memory_mb >= m.memory_mb &&
           s.accelerators >= m.accelerators;
}

static bool
is_known_no_fit(const struct tick *k, struct cw_size s)
{
    for (size_t i = 0; i < k->no_fit_count; i++) {
        if (is_at_least(s, k->no_fit[i])) {
            return true;
        }
    }
    return false;
}

/* Keeps only the smallest sizes, since they imply all larger ones. */
static void
add_no_fit(struct tick *k, struct cw_size s)
{
    size_t kept = 0;
    for (size_t i = 0; i < k->no_fit_count; i++) {
        if (!is_at_least(k->no_fit[i], s)) {
            k->no_fit[kept++] = k->no_fit[i];
        }
    }
    if (kept < NO_FIT_MAX) {
        k->no_fit[kept++] = s;
    }
    k->no_fit_count = kept;
}

/* ---- placed tasks ---------------------------------------------------- */

static void
handle_lost_task(struct tick *k, struct cw_place_task *t)
{
    bool stopping = t->state == CW_PLACE_STOPPING;
    if (stopping && !t->job->listed) {
        cw_place_release(t);
        cw_place_set_state(k->p, t, CW_PLACE_CANCELLED, k->now);
        emit_action(k, CW_PLACE_RECORD_ENDED, t, NULL, t->allocated,
                    "cancelled");
        return;
    }
    /* A lost record has been emitted and is not read back yet. */
    if (stopping && k->now - t->changed_at < k->p->params.start_wait_ms) {
        return;
    }
    cw_place_set_state(k->p, t, CW_PLACE_STOPPING, k->now);
    emit_action(k, CW_PLACE_RECORD_LOST, t, t->worker, t->allocated,
                "lease ended or not on the worker");
}

static void
check_placed_task(struct tick *k, struct cw_place_task *t, bool lease_expired)
{
    const struct cw_place_params *params = &k->p->params;
    cw_ms age = k->now - t->changed_at;
    if (t->state == CW_PLACE_STARTING) {
        /* If the start record is read back after this, cw_place_started
         * refuses it, because the task is waiting again. */
        if (age >= params->start_wait_ms) {
            cw_place_requeue(k->p, t, k->now);
        }
        return;
    }
    /* The worker's reports do not list the task: the start call was lost, or
     * the worker stopped the task when its lease expired. */
    bool absent = t->worker->reported_at - t->seen_at >= params->absent_ms;
    if (lease_expired || absent) {
        handle_lost_task(k, t);
        return;
    }
    bool cancelled = t->state == CW_PLACE_STOPPING && !t->job->listed;
    bool evicting = t->state == CW_PLACE_EVICTING;
    if ((cancelled || evicting) && age >= params->checkpoint_ms) {
        t->changed_at = k->now;
        emit_action(k, CW_PLACE_STOP, t, t->worker, t->allocated,
                    cancelled ? "cancelled" : "no checkpoint in time");
    }
}

/* A task may use this multiple of its allocation before it is throttled. */
#define OVERUSE_RATIO 1.2

static double
usage_ratio(const struct cw_place_task *t)
{
    double cpu =
        (double)t->measured.cpu_milli / ((double)t->allocated.cpu_milli + 1.0);
    double memory =
        (double)t->measured.memory_mb / ((double)t->allocated.memory_mb + 1.0);
    return cpu > memory ? cpu : memory;
}

/* On an overcommitted worker, throttles the task with the highest ratio of
 * measured use to allocated size. */
static void
throttle_overuse(struct tick *k, struct cw_place_worker *w)
{
    if (w->used_cpu <= w->size.cpu_milli &&
        w->used_memory <= w->size.memory_mb) {
        return;
    }
    struct cw_place_task *worst = NULL;
    double worst_ratio = OVERUSE_RATIO;
    for (struct cw_place_task *t = w->tasks; t != NULL; t = t->worker_next) {
        bool eligible =
            t->state == CW_PLACE_RUNNING && !t->throttled && !t->job->urgent;
        if (eligible && usage_ratio(t) > worst_ratio) {
            worst = t;
            worst_ratio = usage_ratio(t);
        }
    }
    if (worst != NULL) {
        worst->throttled = true;
        emit_action(k, CW_PLACE_THROTTLE, worst, w, worst->allocated,
                    "uses more than its allocation");
    }
}

/* After this many failed renewals the worker counts as unreachable. Each
 * further renewal would extend the lease on this side, and the tasks could
 * never be declared lost. */
#define RENEW_FAILURES_MAX 3

static void
renew_lease(struct tick *k, struct cw_place_worker *w)
{
    const struct cw_place_params *params = &k->p->params;
    bool unreachable = w->gone || w->renew_failures >= RENEW_FAILURES_MAX;
    if (w->tasks != NULL && !unreachable &&
        cw_lease_renew_due(&w->lease, k->now, params->renew_ms)) {
        cw_lease_grant(&w->lease, k->now, params->lease_ms);
        w->lease.renewing = true;
        emit_action(k, CW_PLACE_RENEW, NULL, w, (struct cw_size){0}, "");
    }
}

static void
check_worker(struct tick *k, struct cw_place_worker *w)
{
    const struct cw_place_params *params = &k->p->params;
    if (w->reserved_for != NULL && k->now >= w->reserved_until) {
        cw_place_unreserve(w->reserved_for);
    }
    if (w->tasks == NULL) {
        return;
    }
    renew_lease(k, w);
    bool expired = cw_lease_expired(&w->lease, k->now, params->lease_guard_ms);
    struct cw_place_task *next;
    for (struct cw_place_task *t = w->tasks; t != NULL; t = next) {
        next = t->worker_next;
        check_placed_task(k, t, expired);
    }
    throttle_overuse(k, w);
}

/* ---- waiting tasks --------------------------------------------------- */

static bool
is_above_quota(const struct cw_place_team *team)
{
    return team->used_cpu > team->quota.cpu_milli ||
           team->used_memory > team->quota.memory_mb ||
           team->used_accelerators > team->quota.accelerators;
}

static void
start_task(struct tick *k, struct cw_place_task *t, struct cw_place_worker *w,
           struct cw_size size)
{
    cw_place_dequeue(t);
    cw_place_unreserve(t);
    t->attempt++;
    t->fence = 0;
    t->throttled = false;
    t->measured = (struct cw_size){0};
    t->peak = (struct cw_size){0};
    cw_place_allocate(t, w, size);
    t->borrowed = is_above_quota(t->job->team);
    t->job->last_rack = w->rack_hash;
    t->probe = cw_worker_health_task_assigned(&w->health);
    cw_place_set_state(k->p, t, CW_PLACE_STARTING, k->now);
    k->starts++;
    emit_action(k, CW_PLACE_START, t, w, size, "");
}

static void
set_never_fits(struct tick *k, struct cw_place_task *t, struct cw_size size)
{
    char text[sizeof(((struct cw_place_action *)0)->text)];
    snprintf(text, sizeof(text),
             "needs cpu_milli=%u memory_mb=%u accelerators=%u, more than any "
             "worker has",
             size.cpu_milli, size.memory_mb, size.accelerators);
    cw_place_dequeue(t);
    cw_place_set_state(k->p, t, CW_PLACE_NEVER_FITS, k->now);
    emit_action(k, CW_PLACE_NOTIFY, t, NULL, size, text);
}

enum try_result { TRY_STARTED, TRY_NO_CAPACITY, TRY_LEFT_QUEUE };

static enum try_result
try_start(struct tick *k, struct cw_place_task *t, struct cw_size size)
{
    struct cw_place_worker *w = t->reserved;
    if (w != NULL && !w->gone && cw_place_fits(w, size) &&
        cw_worker_health_usable(&w->health, k->now)) {
        start_task(k, t, w, size);
        return TRY_STARTED;
    }
    if (k->failed_searches >= FAILED_SEARCHES_MAX ||
        is_known_no_fit(k, size)) {
        return TRY_NO_CAPACITY;
    }
    w = cw_place_best_worker(k->p, t, size, k->now);
    if (w != NULL) {
        start_task(k, t, w, size);
        return TRY_STARTED;
    }
    if (cw_place_never_fits(k->p, size)) {
        set_never_fits(k, t, size);
        return TRY_LEFT_QUEUE;
    }
    k->failed_searches++;
    /* The search excluded workers on which this task failed, so its result
     * does not hold for other tasks of that size. */
    if (t->failed_on[0] == 0) {
        add_no_fit(k, size);
    }
    return TRY_NO_CAPACITY;
}

/* Searches for victims per tick; each can visit every running task. */
#define EVICTIONS_PER_TICK 8

static void
schedule_urgent(struct tick *k)
{
    const struct cw_place_params *params = &k->p->params;
    uint32_t evictions = 0;
    for (size_t i = 0; i < k->p->team_count; i++) {
        struct cw_place_task *next;
        struct cw_place_task *t = k->p->teams[i]->urgent_head;
        for (uint32_t n = 0; t != NULL && n < params->skips_per_tick;
             t = next, n++) {
            next = t->next;
            struct cw_size size = cw_place_request_size(k->p, t->job);
            if (try_start(k, t, size) != TRY_NO_CAPACITY) {
                continue;
            }
            if (params->preempt && t->reserved == NULL &&
                evictions < EVICTIONS_PER_TICK) {
                cw_place_preempt(k->p, t, size, k->now, k->act, k->ctx);
                evictions++;
            }
        }
    }
}

static double
dominant_share(const struct cw_place_team *team)
{
    const struct {
        uint64_t used;
        uint32_t quota;
    } resources[] = {
        {team->used_cpu, team->quota.cpu_milli},
        {team->used_memory, team->quota.memory_mb},
        {team->used_accelerators, team->quota.accelerators},
    };
    double share = 0.0;
    for (size_t i = 0; i < sizeof(resources) / sizeof(resources[0]); i++) {
        if (resources[i].used == 0) {
            continue;
        }
        double s =
            (double)resources[i].used / ((double)resources[i].quota + 1e-9);
        share = s > share ? s : share;
    }
    return share;
}

double
cw_place_team_share(const struct cw_place *p, struct cw_str team)
{
    const struct cw_place_team *t = cw_map_get(&p->priv->teams, team);
    return t == NULL ? 0.0 : dominant_share(t);
}

static struct cw_place_team *
lowest_share_team(const struct cw_place *p)
{
    struct cw_place_team *best = NULL;
    for (size_t i = 0; i < p->team_count; i++) {
        struct cw_place_team *t = p->teams[i];
        if (t->cursor != NULL && (best == NULL || t->share < best->share)) {
            best = t;
        }
    }
    return best;
}

static bool
fits_quota(const struct cw_place_team *team, struct cw_size s)
{
    return team->used_cpu + s.cpu_milli <= team->quota.cpu_milli &&
           team->used_memory + s.memory_mb <= team->quota.memory_mb &&
           team->used_accelerators + s.accelerators <=
               team->quota.accelerators;
}

static bool
may_reclaim(const struct tick *k, const struct cw_place_task *t,
            struct cw_size size)
{
    const struct cw_place_params *params = &k->p->params;
    return params->preempt && t->reserved == NULL &&
           k->now - t->waiting_since >= params->reclaim_ms &&
           fits_quota(t->job->team, size);
}

static void
schedule_normal(struct tick *k)
{
    const struct cw_place_params *params = &k->p->params;
    uint32_t evictions = 0;
    for (size_t i = 0; i < k->p->team_count; i++) {
        struct cw_place_team *team = k->p->teams[i];
        team->cursor = team->head;
        team->skips = 0;
        team->share = dominant_share(team);
    }
    struct cw_place_team *team;
    while (k->starts < params->starts_per_tick &&
           (team = lowest_share_team(k->p)) != NULL) {
        struct cw_place_task *t = team->cursor;
        struct cw_size size = cw_place_request_size(k->p, t->job);
        team->cursor = t->next;
        if (try_start(k, t, size) != TRY_NO_CAPACITY) {
            team->share = dominant_share(team);
            continue;
        }
        if (evictions < EVICTIONS_PER_TICK && may_reclaim(k, t, size)) {
            cw_place_preempt(k->p, t, size, k->now, k->act, k->ctx);
            evictions++;
        }
        team->skips++;
        if (!params->backfill || team->skips >= params->skips_per_tick) {
            team->cursor = NULL;
        }
    }
}

/* Queues the tasks that fitted no worker again when the set of workers
 * changed. */
static void
requeue_never_fits(struct tick *k)
{
    struct cw_place_private *priv = k->p->priv;
    bool changed = priv->never_fits_generation != k->p->worker_generation;
    priv->never_fits_generation = k->p->worker_generation;
    if (!changed || priv->counts[CW_PLACE_NEVER_FITS] == 0) {
        return;
    }
    for (size_t i = 0; i < k->p->job_count; i++) {
        struct cw_place_job *job = k->p->jobs[i];
        for (size_t n = 0; n < job->task_count; n++) {
            struct cw_place_task *t = job->tasks[n];
            if (t->state == CW_PLACE_NEVER_FITS) {
                cw_place_set_state(k->p, t, CW_PLACE_WAITING, k->now);
                cw_place_enqueue(t, false);
            }
        }
    }
}

/* Interval at which finished jobs are freed. It bounds the memory by the jobs
 * listed and those cancelled within one interval. */
#define PURGE_INTERVAL_MS CW_MINUTE

void
cw_place_renew_leases(struct cw_place *p, cw_ms now, cw_place_action_fn act,
                      void *ctx)
{
    struct tick k = {.p = p, .now = now, .act = act, .ctx = ctx};
    for (size_t i = 0; i < p->worker_count; i++) {
        renew_lease(&k, p->workers[i]);
    }
}

void
cw_place_tick(struct cw_place *p, cw_ms now, cw_place_action_fn act, void *ctx)
{
    struct tick k = {.p = p, .now = now, .act = act, .ctx = ctx};
    for (size_t i = 0; i < p->worker_count; i++) {
        check_worker(&k, p->workers[i]);
    }
    if (now - p->priv->last_purge_at >= PURGE_INTERVAL_MS) {
        p->priv->last_purge_at = now;
        cw_place_purge(p);
    }
    requeue_never_fits(&k);
    schedule_urgent(&k);
    schedule_normal(&k);
}
