/* The table of jobs: submission, cancellation, expiry. */
#include "cw_fit.h"
#include "cw_jobs_int.h"
#include "cw_tenant.h"

#include <stdlib.h>
#include <string.h>

void
cw_job_spec_finish(struct cw_job_spec *s)
{
    free(s->text);
    free(s->steps);
    memset(s, 0, sizeof(*s));
}

uint32_t
cw_job_spec_task_count(const struct cw_job_spec *s)
{
    uint32_t n = 0;

    for (size_t i = 0; i < s->step_count; i++) {
        n += s->steps[i].count;
    }
    return n;
}

/* True when the dependencies of the steps have no cycle and name no missing
 * step. */
static bool
steps_are_acyclic(const struct cw_job_spec *s)
{
    uint64_t done = 0;
    bool changed = true;

    while (changed) {
        changed = false;
        for (size_t i = 0; i < s->step_count; i++) {
            uint64_t bit = (uint64_t)1 << i;

            if ((done & bit) == 0 && (s->steps[i].after & ~done) == 0) {
                done |= bit;
                changed = true;
            }
        }
    }
    return s->step_count == 64 ? done == UINT64_MAX
                               : done == ((uint64_t)1 << s->step_count) - 1;
}

enum cw_status
cw_job_spec_check(const struct cw_job_spec *s, char *msg)
{
    uint64_t tasks = 0;

    if (s->text_len > CW_JOB_SPEC_MAX) {
        return cw_fail(msg, CW_ERR_LIMIT, "text of %zu bytes is above %d",
                       s->text_len, CW_JOB_SPEC_MAX);
    }
    if (s->step_count == 0 || s->step_count > CW_JOB_STEPS_MAX) {
        return cw_fail(msg, CW_ERR_INVALID, "%zu steps are not in 1..%d",
                       s->step_count, CW_JOB_STEPS_MAX);
    }
    for (size_t i = 0; i < s->step_count; i++) {
        if (s->steps[i].count == 0 || s->steps[i].count > CW_JOB_TASKS_MAX) {
            return cw_fail(msg, CW_ERR_INVALID,
                           "step %zu has %u tasks, not 1..%d", i,
                           s->steps[i].count, CW_JOB_TASKS_MAX);
        }
        tasks += s->steps[i].count;
    }
    tasks *= s->repeats;
    if (s->repeats == 0 || tasks > CW_JOB_TASKS_MAX) {
        return cw_fail(msg, CW_ERR_LIMIT,
                       "%llu tasks over %u occurrences are not in 1..%d",
                       (unsigned long long)tasks, s->repeats,
                       CW_JOB_TASKS_MAX);
    }
    if (s->first_wall < 0 || s->first_wall > CW_JOB_WALL_MAX ||
        s->interval_ms < 0 ||
        s->interval_ms > CW_JOB_WALL_MAX / (cw_ms)s->repeats) {
        return cw_fail(msg, CW_ERR_INVALID,
                       "due times of %u occurrences are out of range",
                       s->repeats);
    }
    if (!steps_are_acyclic(s)) {
        return cw_fail(msg, CW_ERR_INVALID,
                       "steps wait for each other or for a missing step");
    }
    return CW_OK;
}

/* ---- the table ---- */

void
cw_sched_init(struct cw_sched *s, const struct cw_sched_limits *limits,
              const struct cw_sched_ops *ops, void *ctx)
{
    memset(s, 0, sizeof(*s));
    s->limits = *limits;
    s->ops = ops;
    s->ctx = ctx;
    s->batch = 1;
    cw_map_init(&s->workers);
    cw_map_init(&s->vms);
    cw_map_init(&s->kv_map);
    cw_map_init(&s->pools);
    if (limits->interference) {
        s->interfere = cw_interfere_new();
    }
    cw_map_init(&s->tenants);
}

static void
job_free(struct cw_job_entry *j)
{
    if (j->use != NULL) {
        j->use->tenant->job_count--;
    }
    cw_job_spec_finish(&j->spec);
    for (size_t i = 0; i < j->task_count; i++) {
        free(j->tasks[i].former);
    }
    free(j->tasks);
    free(j->tasks_left);
    free(j->rooms);
    free(j);
}

void
cw_sched_finish(struct cw_sched *s)
{
    for (size_t b = 0; b < CW_SCHED_BUCKETS; b++) {
        while (s->buckets[b] != NULL) {
            struct cw_job_entry *j = s->buckets[b];

            s->buckets[b] = j->bucket_next;
            job_free(j);
        }
    }
    for (struct cw_pool *p = s->pool_list; p != NULL;) {
        struct cw_pool *next = p->next;

        while (p->workers != NULL) {
            struct cw_worker *w = p->workers;

            p->workers = w->next;
            cw_worker_leave_vm(s, w);
            free(w);
        }
        free(p);
        p = next;
    }
    free(s->overload);
    free(s->machines);
    cw_tenants_finish(s);
    cw_kv_finish(s);
    cw_interfere_free(s->interfere);
    cw_map_finish(&s->workers);
    cw_map_finish(&s->vms);
    cw_map_finish(&s->pools);
    memset(s, 0, sizeof(*s));
}

static struct cw_job_entry **
bucket_of(const struct cw_sched *s, uint64_t id)
{
    size_t b = (size_t)(cw_hash_mix(id, 0) % CW_SCHED_BUCKETS);

    return (struct cw_job_entry **)&s->buckets[b];
}

struct cw_job_entry *
cw_sched_find_job(const struct cw_sched *s, uint64_t id)
{
    struct cw_job_entry *j = *bucket_of(s, id);

    while (j != NULL && j->id != id) {
        j = j->bucket_next;
    }
    return j;
}

static void
table_insert(struct cw_sched *s, struct cw_job_entry *j)
{
    struct cw_job_entry **b = bucket_of(s, j->id);

    j->bucket_next = *b;
    *b = j;
    s->job_count++;
}

void
cw_job_mark_dirty(struct cw_sched *s, struct cw_job_entry *j)
{
    if (!j->is_dirty) {
        j->is_dirty = true;
        j->dirty_next = s->dirty;
        s->dirty = j;
    }
}

static void
pool_add_job(struct cw_pool *p, struct cw_job_entry *j)
{
    j->pool = p;
    j->prev = NULL;
    j->next = p->jobs;
    if (j->next != NULL) {
        j->next->prev = j;
    }
    p->jobs = j;
}

static void
pool_remove_job(struct cw_job_entry *j)
{
    if (j->pool == NULL) {
        return;
    }
    if (j->prev != NULL) {
        j->prev->next = j->next;
    }
    else {
        j->pool->jobs = j->next;
    }
    if (j->next != NULL) {
        j->next->prev = j->prev;
    }
    j->pool = NULL;
}

/* Allocates and initializes the tasks of a job from its spec. */
static enum cw_status
alloc_tasks(const struct cw_sched *sched, struct cw_job_entry *j)
{
    const struct cw_job_spec *s = &j->spec;
    size_t n = (size_t)cw_job_spec_task_count(s) * s->repeats;
    size_t next = 0;

    if (n == 0) {
        return CW_ERR_INVALID;
    }
    j->tasks = calloc(n, sizeof(*j->tasks));
    j->tasks_left = calloc(s->step_count * s->repeats, sizeof(*j->tasks_left));
    j->rooms = calloc(s->step_count, sizeof(*j->rooms));
    if (j->tasks == NULL || j->tasks_left == NULL || j->rooms == NULL) {
        return CW_ERR_NOMEM;
    }
    for (uint32_t k = 0; k < s->repeats; k++) {
        for (size_t i = 0; i < s->step_count; i++) {
            j->tasks_left[k * s->step_count + i] = s->steps[i].count;
            for (uint32_t x = 0; x < s->steps[i].count; x++) {
                struct cw_task *t = &j->tasks[next++];

                t->job = j;
                t->occurrence = k;
                t->step = (uint16_t)i;
                t->index = x;
                t->pace_percent = 100;
                t->ready_at = j->accepted;
                if (s->first_wall != 0) {
                    t->ready_at = cw_job_due(sched, j, k);
                }
            }
            j->lasting |= s->steps[i].lasting;
        }
    }
    j->task_count = n;
    j->waiting_count = n;
    return CW_OK;
}

/* Estimated work of a job for the demand forecast, in thousandths of a core x
 * ms. */
static uint64_t
spec_cpu_ms(const struct cw_job_spec *s)
{
    uint64_t sum = 0;

    for (size_t i = 0; i < s->step_count; i++) {
        if (!s->steps[i].lasting) {
            sum += (uint64_t)s->steps[i].count * s->steps[i].need.cpu_milli *
                   s->steps[i].estimate_ms;
        }
    }
    return sum * s->repeats;
}

struct cw_job_entry *
cw_sched_insert(struct cw_sched *s, struct cw_job_spec *spec, cw_ms now)
{
    struct cw_job_entry *j = calloc(1, sizeof(*j));
    struct cw_pool *p;

    if (j == NULL) {
        return NULL;
    }
    j->id = spec->id;
    j->queue = spec->rules.queue;
    j->tenant = spec->rules.tenant;
    j->spec = *spec;
    memset(spec, 0, sizeof(*spec));
    j->accepted = j->spec.accepted_wall - s->wall_offset;
    if (j->accepted > now || j->accepted < now - CW_DAY) {
        j->accepted = now;
    }
    p = cw_sched_get_pool(s, cw_name_str(&j->spec.rules.service));
    if (p == NULL || alloc_tasks(s, j) != CW_OK) {
        job_free(j);
        return NULL;
    }
    j->use = cw_tenant_use_get(s, &j->spec.rules.tenant, p);
    if (j->use == NULL) {
        job_free(j);
        return NULL;
    }
    j->use->tenant->job_count++;
    pool_add_job(p, j);
    j->times = cw_pool_queue_times(p, &j->queue);
    table_insert(s, j);
    return j;
}

struct cw_job_entry *
cw_sched_insert_ended(struct cw_sched *s, uint64_t id, struct cw_str queue)
{
    struct cw_job_entry *j = calloc(1, sizeof(*j));

    if (j == NULL) {
        return NULL;
    }
    j->id = id;
    if (cw_name_set(&j->queue, queue) != CW_OK) {
        free(j);
        return NULL;
    }
    table_insert(s, j);
    return j;
}

enum cw_status
cw_sched_accept(struct cw_sched *s, struct cw_job_spec *spec, cw_ms now,
                struct cw_job_entry **out)
{
    struct cw_job_entry *j = cw_sched_find_job(s, spec->id);

    *out = j;
    if (j != NULL) {
        return CW_ERR_CONFLICT;
    }
    spec->accepted_wall = now + s->wall_offset;
    j = cw_sched_insert(s, spec, now);
    *out = j;
    if (j == NULL) {
        return CW_ERR_NOMEM;
    }
    j->spec_dirty = true;
    j->state_batch = s->batch;
    cw_job_mark_dirty(s, j);
    j->spec.over_share =
        !j->lasting && !cw_tenant_take_job(s, j->use->tenant, now);
    /* Jobs that a takeover loads have arrived earlier: they are no demand that
     * the next seconds repeat. */
    if (!j->spec.over_share &&
        cw_job_blocked_step(s, j) == j->spec.step_count) {
        j->pool->arrived_cpu_ms += spec_cpu_ms(&j->spec);
        j->pool->arrived_jobs += j->lasting ? 0 : 1;
    }
    cw_pool_plan_soon(s, j->pool);
    return CW_OK;
}

void
cw_job_release_tasks(struct cw_sched *s, struct cw_job_entry *j)
{
    if (!cw_job_ended(j)) {
        return;
    }
    pool_remove_job(j);
    for (size_t i = 0; i < j->task_count; i++) {
        if (j->tasks[i].worker != NULL || j->tasks[i].former != NULL) {
            return;
        }
    }
    /* Starts that wait for their commit still point to its tasks. */
    for (struct cw_task *t = s->unsent; t != NULL; t = t->unsent_next) {
        if (t->job == j) {
            return;
        }
    }
    free(j->tasks);
    j->tasks = NULL;
    j->task_count = 0;
    j->waiting_count = 0;
    free(j->tasks_left);
    j->tasks_left = NULL;
    free(j->rooms);
    j->rooms = NULL;
    if (!j->spec_dirty) {
        cw_job_spec_finish(&j->spec);
    }
}

void
cw_job_end(struct cw_sched *s, struct cw_job_entry *j, enum cw_job_state st,
           cw_ms now)
{
    j->state = (uint8_t)st;
    j->ended = now;
    j->ended_wall = now + s->wall_offset;
    j->state_batch = s->batch;
    cw_job_mark_dirty(s, j);
    for (size_t i = 0; i < j->task_count; i++) {
        struct cw_task *t = &j->tasks[i];

        if (t->former != NULL) {
            cw_sched_stop_task(s, t->former, now);
        }
        /* Dropping the last unsent start frees the tasks. */
        if (t->state == CW_RUN_STARTING || t->state == CW_RUN_RUNNING) {
            cw_sched_stop_task(s, t, now);
        }
    }
    if (j->pool != NULL) {
        cw_pool_plan_soon(s, j->pool);
    }
    cw_job_release_tasks(s, j);
}

bool
cw_sched_withdraw(struct cw_sched *s, uint64_t id)
{
    struct cw_job_entry *j = cw_sched_find_job(s, id);
    struct cw_job_entry **link;

    if (j == NULL || !j->spec_dirty || j->started) {
        return false;
    }
    for (link = &s->dirty; *link != NULL && *link != j;
         link = &(*link)->dirty_next) {
    }
    if (*link != NULL) {
        *link = j->dirty_next;
    }
    for (link = bucket_of(s, id); *link != j; link = &(*link)->bucket_next) {
    }
    *link = j->bucket_next;
    pool_remove_job(j);
    s->job_count--;
    job_free(j);
    return true;
}

enum cw_status
cw_sched_cancel(struct cw_sched *s, uint64_t id, cw_ms now)
{
    struct cw_job_entry *j = cw_sched_find_job(s, id);

    if (j == NULL) {
        return CW_ERR_NOT_FOUND;
    }
    if (!cw_job_ended(j)) {
        cw_job_end(s, j, CW_JOB_CANCELLED, now);
    }
    return CW_OK;
}

static void
release_acks(struct cw_sched *s, uint64_t batch)
{
    struct cw_worker *w = s->acks;

    s->acks = NULL;
    while (w != NULL) {
        struct cw_worker *next = w->ack_next;

        w->ack_waits = false;
        if (w->ack_pending > w->acked && w->ack_batch > batch) {
            cw_worker_await_ack(s, w);
        }
        else if (w->ack_pending > w->acked) {
            w->acked = w->ack_pending;
            if (s->ops->acked != NULL) {
                s->ops->acked(s->ctx, w);
            }
        }
        w = next;
    }
}

void
cw_sched_committed(struct cw_sched *s, uint64_t batch)
{
    struct cw_task *keep = NULL;
    struct cw_task *t = s->unsent;

    s->committed = batch;
    s->unsent = NULL;
    while (t != NULL) {
        struct cw_task *next = t->unsent_next;

        t->unsent_next = NULL;
        if (t->order_batch > batch) {
            t->unsent_next = keep;
            keep = t;
        }
        else if (t->state == CW_RUN_STARTING) {
            s->ops->start(s->ctx, t);
        }
        t = next;
    }
    /* ops->start may have added starts: these are in s->unsent already. */
    while (keep != NULL) {
        struct cw_task *next = keep->unsent_next;

        keep->unsent_next = s->unsent;
        s->unsent = keep;
        keep = next;
    }
    release_acks(s, batch);
}

void
cw_sched_set_wall_offset(struct cw_sched *s, cw_ms offset, cw_ms now)
{
    if (offset == s->wall_offset) {
        return;
    }
    s->wall_offset = offset;
    /* The times for which pools are planned again are due times. */
    for (struct cw_pool *p = s->pool_list; p != NULL; p = p->next) {
        if (p->replan_at > now) {
            cw_pool_plan_soon(s, p);
        }
    }
}

void
cw_sched_expire_jobs(struct cw_sched *s, cw_ms now)
{
    for (size_t b = 0; b < CW_SCHED_BUCKETS; b++) {
        struct cw_job_entry **link = &s->buckets[b];

        while (*link != NULL) {
            struct cw_job_entry *j = *link;

            if (cw_job_ended(j)) {
                cw_job_release_tasks(s, j);
            }
            if (j->expired && !j->is_dirty) {
                *link = j->bucket_next;
                s->job_count--;
                job_free(j);
                continue;
            }
            if (cw_job_ended(j) && j->task_count == 0 && !j->is_dirty &&
                now - j->ended > s->limits.status_ms) {
                j->expired = true;
                cw_job_mark_dirty(s, j);
            }
            link = &j->bucket_next;
        }
    }
}
