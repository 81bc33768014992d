/* Admission control: the expected wait of a submission, and the table of
 * refused jobs. */
#include "cw_fit.h"
#include "cw_jobs_int.h"
#include "cw_overload.h"

#include <stdlib.h>

/* A job earns no credit after this many times its objective. */
#define NO_CREDIT_FACTOR 3
/* The queued work of a pool is counted again after this time, and kept up to
 * date by submissions until then. */
#define BACKLOG_INTERVAL_MS 250
/* Refused jobs that return within this time take room that a new job would
 * get. With those that return later, a burst of refusals would keep refusing
 * after its cause was over. */
#define RETURNS_SOON_MS 3000
/* Retry-After has whole seconds. After half a minute nothing is known of the
 * load at that time. */
#define RETRY_MIN_MS 1000
#define RETRY_MAX_MS 30000

cw_ms
cw_overload_limit_ms(cw_ms objective_ms, cw_ms critical_path_ms)
{
    return NO_CREDIT_FACTOR * objective_ms - critical_path_ms;
}

cw_ms
cw_overload_retry_ms(cw_ms excess_ms, uint64_t id)
{
    cw_ms ms = excess_ms < RETRY_MIN_MS
                   ? RETRY_MIN_MS
                   : (excess_ms > RETRY_MAX_MS ? RETRY_MAX_MS : excess_ms);

    return ms + (cw_ms)(cw_hash_mix(id, 1) % (uint64_t)ms);
}

/* ---- the table of refused jobs ---- */

static uint16_t *
bucket_of(struct cw_overload *o, uint64_t id)
{
    return &o->buckets[cw_hash_mix(id, 0) % CW_REFUSED_MAX];
}

struct cw_refused_job *
cw_overload_find(struct cw_overload *o, uint64_t id)
{
    uint16_t i = *bucket_of(o, id);

    while (i != 0 && o->rows[i - 1].id != id) {
        i = o->rows[i - 1].bucket_next;
    }
    return i == 0 ? NULL : &o->rows[i - 1];
}

static void
remove_refused(struct cw_overload *o, struct cw_refused_job *r)
{
    uint16_t index = (uint16_t)(r - o->rows + 1);
    uint16_t *link = bucket_of(o, r->id);

    while (*link != index) {
        link = &o->rows[*link - 1].bucket_next;
    }
    *link = r->bucket_next;
    r->pool = NULL;
    r->bucket_next = o->free_first;
    o->free_first = index;
    o->count--;
}

/* A full table keeps the jobs that were first seen earlier: the new one gets
 * no entry, and is judged as a new one when it returns. */
static struct cw_refused_job *
add_refused(struct cw_overload *o, uint64_t id)
{
    uint16_t *bucket = bucket_of(o, id);
    uint16_t index = o->free_first;

    if (index != 0) {
        o->free_first = o->rows[index - 1].bucket_next;
    }
    else if (o->used < CW_REFUSED_MAX) {
        index = (uint16_t)++o->used;
    }
    else {
        return NULL;
    }
    o->rows[index - 1] =
        (struct cw_refused_job){.id = id, .bucket_next = *bucket};
    *bucket = index;
    o->count++;
    return &o->rows[index - 1];
}

static void
sweep_refused(struct cw_overload *o, cw_ms now)
{
    if (now - o->swept_at < BACKLOG_INTERVAL_MS || o->count == 0) {
        return;
    }
    o->swept_at = now;
    for (uint32_t i = 0; i < o->used; i++) {
        if (o->rows[i].pool != NULL && now > o->rows[i].expires_at) {
            remove_refused(o, &o->rows[i]);
        }
    }
}

/* ---- queued work ---- */

static uint8_t
class_of(const struct cw_job_spec *spec)
{
    return (uint8_t)(spec->rules.priority < CW_BACKLOG_CLASSES
                         ? spec->rules.priority
                         : CW_BACKLOG_CLASSES - 1);
}

/* Work of the tasks that wait; of a job without tasks yet, of all of them. */
static double
queued_work(const struct cw_job_entry *j)
{
    double work = 0;
    double left = 0;

    for (size_t i = 0; i < j->spec.step_count; i++) {
        const struct cw_step *st = &j->spec.steps[i];
        uint32_t n = j->tasks == NULL ? st->count : j->tasks_left[i];

        work += (double)n * st->need.cpu_milli * (double)cw_job_task_ms(j, st);
        left += n;
    }
    return j->tasks == NULL || left <= 0
               ? work
               : work * (double)j->waiting_count / left;
}

/* A new job is served before those that are late already: only work that can
 * still be in time is ahead of it. */
static bool
counts_as_queued(const struct cw_sched *s, const struct cw_job_entry *j,
                 cw_ms now)
{
    return !j->lasting && j->spec.first_wall == 0 && j->waiting_count > 0 &&
           cw_job_blocked_step(s, j) == j->spec.step_count &&
           now + cw_job_critical_path_ms(j, 0, true) <=
               j->accepted + cw_job_objective_ms(j);
}

/* Recounts the work that is queued in the pool, and its workers' capacity. */
static void
count_backlog(const struct cw_sched *s, struct cw_pool *p, cw_ms now)
{
    const struct cw_overload *o = s->overload;
    struct cw_backlog *b = &p->backlog;

    if (b->at != 0 && now - b->at < BACKLOG_INTERVAL_MS) {
        return;
    }
    *b = (struct cw_backlog){.at = now};
    for (const struct cw_worker *w = p->workers; w != NULL; w = w->next) {
        if (w->state == CW_WORKER_READY &&
            w->capacity.cpu_milli > w->lasting.cpu) {
            b->capacity += w->capacity.cpu_milli - w->lasting.cpu;
        }
    }
    for (const struct cw_job_entry *j = p->jobs; j != NULL; j = j->next) {
        if (counts_as_queued(s, j, now)) {
            b->work[class_of(&j->spec)][j->spec.over_share] += queued_work(j);
        }
    }
    for (uint32_t i = 0; i < o->used; i++) {
        const struct cw_refused_job *r = &o->rows[i];

        if (r->pool == p && r->return_at - now < RETURNS_SOON_MS) {
            b->work[r->priority_class][r->over_share] += r->work;
        }
    }
}

/* Work that is served before a new job of the class. */
static double
work_ahead(const struct cw_backlog *b, uint8_t priority_class, bool over)
{
    double sum = 0;

    for (uint8_t i = 0; i < CW_BACKLOG_CLASSES; i++) {
        sum += i <= priority_class || over ? b->work[i][false] : 0;
        sum += i <= priority_class && over ? b->work[i][true] : 0;
    }
    return sum;
}

/* ---- the decision ---- */

/* Keeps the place of a refused job. */
static void
keep_place(struct cw_overload *o, const struct cw_refused_job *like, cw_ms ms)
{
    struct cw_refused_job *r = add_refused(o, like->id);
    uint16_t next;

    if (r == NULL) {
        return;
    }
    next = r->bucket_next;
    *r = *like;
    r->bucket_next = next;
    r->return_at = like->first_seen + ms;
    r->expires_at = like->first_seen + 2 * ms;
}

/* The entry of a refused job that returns in time, or NULL. */
static struct cw_refused_job *
find_returning(struct cw_overload *o, const struct cw_pool *p, uint64_t id,
               cw_ms now)
{
    struct cw_refused_job *r = cw_overload_find(o, id);

    if (r != NULL && (r->pool != p || now > r->expires_at)) {
        remove_refused(o, r);
        return NULL;
    }
    return r;
}

/* Expected wait of a job in its pool. Without any capacity nothing is known of
 * the service rate, and the wait counts as 0. */
static cw_ms
expected_wait_ms(const struct cw_pool *p, const struct cw_refused_job *r,
                 double own_work, uint64_t movable_cpu)
{
    double own = (double)(p->backlog.capacity + movable_cpu);
    /* VMs with late work of other pools are drained for work in time. */
    double capacity = own > p->fair_share_cpu ? own : p->fair_share_cpu;
    double work =
        work_ahead(&p->backlog, r->priority_class, r->over_share) - own_work;

    return capacity > 0 && work > 0 ? (cw_ms)(work / capacity) : 0;
}

/* Long-running and timed jobs are never refused because of load. */
static bool
may_be_refused(const struct cw_job_spec *spec)
{
    for (size_t i = 0; i < spec->step_count; i++) {
        if (spec->steps[i].lasting) {
            return false;
        }
    }
    return spec->first_wall == 0;
}

/* Decides on a job that returns early, or is seen for the first time (was is
 * NULL). */
static struct cw_admission
decide(struct cw_sched *s, struct cw_pool *p, struct cw_job_entry *j,
       struct cw_refused_job *was, uint64_t movable_cpu, cw_ms now)
{
    struct cw_refused_job r = {
        .id = j->spec.id,
        .pool = p,
        .work = queued_work(j),
        .first_seen = now,
        .priority_class = class_of(&j->spec),
        .over_share = cw_tenant_is_over_share(s, &j->spec.rules.tenant, now)};
    cw_ms limit = cw_overload_limit_ms(cw_job_objective_ms(j),
                                       cw_job_critical_path_ms(j, 0, false));
    struct cw_admission out = {0};

    out.wait_ms = expected_wait_ms(p, was == NULL ? &r : was,
                                   was == NULL ? 0 : was->work, movable_cpu);
    out.refused = out.wait_ms > limit;
    if (was == NULL && out.refused && !r.over_share) {
        /* Without it the pool would get no VMs for what it refuses. */
        p->arrived_cpu_ms += (uint64_t)r.work;
        p->arrived_jobs++;
    }
    if (was == NULL) {
        p->backlog.work[r.priority_class][r.over_share] += r.work;
    }
    if (out.refused && was != NULL) {
        out.retry_after_ms = was->return_at - now;
    }
    else if (out.refused) {
        out.retry_after_ms = cw_overload_retry_ms(out.wait_ms - limit, r.id);
        keep_place(s->overload, &r, out.retry_after_ms);
    }
    else if (was != NULL) {
        remove_refused(s->overload, was);
    }
    return out;
}

struct cw_admission
cw_overload_admit(struct cw_sched *s, const struct cw_job_spec *spec,
                  uint64_t movable_cpu, cw_ms now)
{
    struct cw_pool *p =
        cw_sched_get_pool(s, cw_name_str(&spec->rules.service));
    uint32_t none_done[CW_JOB_STEPS_MAX] = {0};
    struct cw_job_entry j = {.spec = *spec, .pool = p};
    struct cw_refused_job *was;

    if (s->overload == NULL) {
        s->overload = calloc(1, sizeof(*s->overload));
    }
    /* A job that no machine can run uses none of the capacity. */
    if (p == NULL || s->overload == NULL || !may_be_refused(spec) ||
        cw_job_blocked_step(s, &j) < spec->step_count) {
        return (struct cw_admission){0};
    }
    j.tasks_left = none_done;
    sweep_refused(s->overload, now);
    count_backlog(s, p, now);
    was = find_returning(s->overload, p, spec->id, now);
    if (was != NULL && now >= was->return_at) {
        remove_refused(s->overload, was);
        return (struct cw_admission){0};
    }
    j.times = cw_pool_queue_times(p, &spec->rules.queue);
    return decide(s, p, &j, was, movable_cpu, now);
}
