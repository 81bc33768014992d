/* Creates, updates and cancels the scheduler's tasks as the jobs of documents
 * change. */
#include "cw_place_int.h"

#include <stdlib.h>
#include <string.h>

/* Joins a service, a job or class, and a task index unless n < 0, with dots.
 * A result that is too long for a name is replaced by its hash. */
static struct cw_name
join_name(struct cw_str a, struct cw_str b, int64_t n)
{
    struct cw_name out;
    char text[3 * (CW_NAME_MAX + 2)];
    char number[24] = "";
    if (n >= 0) {
        snprintf(number, sizeof(number), ".%lld", (long long)n);
    }
    int len = snprintf(text, sizeof(text), "%.*s.%.*s%s", CW_FMT(a), CW_FMT(b),
                       number);
    struct cw_str s = {text, (size_t)len};
    if (cw_name_set(&out, s) != CW_OK) {
        char hashed[17];
        snprintf(hashed, sizeof(hashed), "%016llx",
                 (unsigned long long)cw_hash(s, 0));
        cw_name_set(&out, cw_str_from(hashed));
    }
    return out;
}

static struct cw_place_team *
get_team(struct cw_place *p, struct cw_str name)
{
    bool created;
    struct cw_place_list list = {(void ***)&p->teams, &p->team_count,
                                 &p->priv->team_cap};
    return cw_place_get_or_add(&p->priv->teams, list, name,
                               sizeof(struct cw_place_team), &created);
}

static struct cw_place_class *
get_class(struct cw_place *p, struct cw_str service, struct cw_str class)
{
    struct cw_name name = join_name(service, class, -1);
    bool created;
    struct cw_place_list list = {(void ***)&p->classes, &p->class_count,
                                 &p->priv->class_cap};
    return cw_place_get_or_add(&p->priv->classes, list, cw_name_str(&name),
                               sizeof(struct cw_place_class), &created);
}

enum cw_status
cw_place_set_team_quota(struct cw_place *p, struct cw_str team,
                        struct cw_size quota)
{
    struct cw_place_team *t = get_team(p, team);
    if (t == NULL) {
        return cw_fail(p->msg, CW_ERR_NOMEM, "no memory for a team");
    }
    t->quota = quota;
    return CW_OK;
}

static enum cw_status
add_task(struct cw_place *p, struct cw_place_job *job,
         const struct cw_name *name, uint32_t index, cw_ms now)
{
    struct cw_place_task **grown = realloc(
        job->tasks, (job->task_count + 1) * sizeof(struct cw_place_task *));
    if (grown == NULL) {
        return CW_ERR_NOMEM;
    }
    job->tasks = grown;
    struct cw_place_task *t = calloc(1, sizeof(*t));
    if (t == NULL) {
        return CW_ERR_NOMEM;
    }
    t->name = *name;
    t->job = job;
    t->index = index;
    t->waiting_since = now;
    t->changed_at = now;
    if (cw_map_put(&p->priv->tasks, t) != CW_OK) {
        free(t);
        return CW_ERR_NOMEM;
    }
    job->tasks[job->task_count++] = t;
    p->priv->counts[CW_PLACE_WAITING]++;
    cw_place_enqueue(t, false);
    return CW_OK;
}

static void
cancel_task(struct cw_place *p, struct cw_place_task *t, cw_ms now)
{
    switch (t->state) {
    case CW_PLACE_WAITING:
        cw_place_unreserve(t);
        cw_place_dequeue(t);
        cw_place_set_state(p, t, CW_PLACE_CANCELLED, now);
        break;
    case CW_PLACE_NEVER_FITS:
    case CW_PLACE_REJECTED:
        cw_place_set_state(p, t, CW_PLACE_CANCELLED, now);
        break;
    case CW_PLACE_RUNNING:
    case CW_PLACE_EVICTING:
        /* Backdated so that the next tick sends the stop. */
        cw_place_set_state(p, t, CW_PLACE_STOPPING,
                           now - p->params.checkpoint_ms);
        break;
    case CW_PLACE_STARTING: /* cw_place_started refuses it */
    case CW_PLACE_STOPPING:
    case CW_PLACE_DONE:
    case CW_PLACE_CANCELLED:
        break;
    }
}

static void
retry_ended_task(struct cw_place *p, struct cw_place_task *t, cw_ms now)
{
    bool ended = t->state == CW_PLACE_CANCELLED ||
                 t->state == CW_PLACE_NEVER_FITS ||
                 t->state == CW_PLACE_REJECTED;
    if (!ended) {
        return;
    }
    memset(t->failed_on, 0, sizeof(t->failed_on));
    t->healthy_worker_failures = 0;
    t->waiting_since = now;
    cw_place_set_state(p, t, CW_PLACE_WAITING, now);
    cw_place_enqueue(t, false);
}

/* Sets the job's team and urgency. They determine the queue of its waiting
 * tasks, which therefore leave the old queue before the change. */
static void
set_job_queue(struct cw_place_job *job, struct cw_place_team *team,
              bool urgent)
{
    if (job->team == team && job->urgent == urgent) {
        return;
    }
    bool placed = false;
    for (size_t i = 0; i < job->task_count; i++) {
        struct cw_place_task *t = job->tasks[i];
        placed = placed || t->worker != NULL;
        if (t->state == CW_PLACE_WAITING) {
            cw_place_dequeue(t);
        }
    }
    /* Allocations stay charged to the team that made them. */
    if (!placed) {
        job->team = team;
    }
    job->urgent = urgent;
    for (size_t i = 0; i < job->task_count; i++) {
        if (job->tasks[i]->state == CW_PLACE_WAITING) {
            cw_place_enqueue(job->tasks[i], false);
        }
    }
}

static bool
same_size(struct cw_size a, struct cw_size b)
{
    return a.cpu_milli == b.cpu_milli && a.memory_mb == b.memory_mb &&
           a.accelerators == b.accelerators;
}

/* Updates the job's fields. Returns true when its cancelled, rejected and
 * never fitting tasks are to be tried again. */
static bool
update_job(struct cw_place_job *job, const struct cw_job *j, bool created)
{
    struct cw_size declared = {j->cpu_milli, j->memory_mb, j->accelerators};
    bool retry = created || !job->listed ||
                 !same_size(declared, job->declared) || job->count != j->count;
    job->declared = declared;
    job->run_ms = j->run_ms;
    job->count = j->count;
    job->listed = true;
    return retry;
}

static enum cw_status
put_job(struct cw_place *p, const struct cw_doc *doc, const struct cw_job *j,
        bool (*in_cell)(void *ctx, struct cw_str task), void *ctx, cw_ms now)
{
    struct cw_str service = cw_name_str(&doc->service);
    struct cw_name full_name = join_name(service, cw_name_str(&j->name), -1);
    bool created;
    struct cw_place_list list = {(void ***)&p->jobs, &p->job_count,
                                 &p->priv->job_cap};
    struct cw_place_job *job =
        cw_place_get_or_add(&p->priv->jobs, list, cw_name_str(&full_name),
                            sizeof(struct cw_place_job), &created);
    struct cw_place_team *team = get_team(p, cw_name_str(&doc->team));
    struct cw_place_class *class =
        get_class(p, service, cw_name_str(&j->job_class));
    if (job == NULL || team == NULL || class == NULL) {
        return CW_ERR_NOMEM;
    }
    job->service = doc->service;
    job->class = class;
    set_job_queue(job, team, j->urgent);
    bool retry = update_job(job, j, created);
    for (size_t i = 0; i < job->task_count; i++) {
        if (job->tasks[i]->index >= j->count) {
            cancel_task(p, job->tasks[i], now);
        }
        else if (retry) {
            retry_ended_task(p, job->tasks[i], now);
        }
    }
    for (uint32_t i = 0; i < j->count; i++) {
        struct cw_name name = join_name(service, cw_name_str(&j->name), i);
        struct cw_str text = cw_name_str(&name);
        bool local = in_cell == NULL || in_cell(ctx, text);
        if (!local || cw_place_find_task(p, text) != NULL) {
            continue;
        }
        enum cw_status s = add_task(p, job, &name, i, now);
        if (s != CW_OK) {
            return s;
        }
    }
    return CW_OK;
}

static bool
lists_job(const struct cw_doc *doc, const struct cw_place_job *job)
{
    for (size_t i = 0; i < doc->job_count; i++) {
        struct cw_name full_name = join_name(
            cw_name_str(&doc->service), cw_name_str(&doc->jobs[i].name), -1);
        if (cw_name_eq(&full_name, &job->name)) {
            return true;
        }
    }
    return false;
}

static bool
is_finished(const struct cw_place_job *job)
{
    for (size_t i = 0; i < job->task_count; i++) {
        if (job->tasks[i]->state != CW_PLACE_DONE &&
            job->tasks[i]->state != CW_PLACE_CANCELLED) {
            return false;
        }
    }
    return !job->listed;
}

static void
free_job(struct cw_place *p, struct cw_place_job *job)
{
    for (size_t i = 0; i < job->task_count; i++) {
        struct cw_place_task *t = job->tasks[i];
        p->priv->counts[t->state]--;
        cw_map_remove(&p->priv->tasks, cw_name_str(&t->name));
        free(t);
    }
    free(job->tasks);
    cw_map_remove(&p->priv->jobs, cw_name_str(&job->name));
    free(job);
}

void
cw_place_purge(struct cw_place *p)
{
    size_t kept = 0;
    for (size_t i = 0; i < p->job_count; i++) {
        if (is_finished(p->jobs[i])) {
            free_job(p, p->jobs[i]);
        }
        else {
            p->jobs[kept++] = p->jobs[i];
        }
    }
    p->job_count = kept;
}

void
cw_place_each_unlisted(const struct cw_place *p, const struct cw_doc *doc,
                       void (*each)(void *ctx, struct cw_str job), void *ctx)
{
    for (size_t i = 0; i < p->job_count; i++) {
        const struct cw_place_job *job = p->jobs[i];
        if (job->listed && cw_name_eq(&job->service, &doc->service) &&
            !lists_job(doc, job)) {
            each(ctx, cw_name_str(&job->name));
        }
    }
}

enum cw_status
cw_place_apply_document(struct cw_place *p, const struct cw_doc *doc,
                        bool (*in_cell)(void *ctx, struct cw_str task),
                        void *ctx, cw_ms now)
{
    for (size_t i = 0; i < p->job_count; i++) {
        struct cw_place_job *job = p->jobs[i];
        if (!job->listed || !cw_name_eq(&job->service, &doc->service) ||
            lists_job(doc, job)) {
            continue;
        }
        job->listed = false;
        for (size_t n = 0; n < job->task_count; n++) {
            cancel_task(p, job->tasks[n], now);
        }
    }
    for (size_t i = 0; i < doc->job_count; i++) {
        if (put_job(p, doc, &doc->jobs[i], in_cell, ctx, now) != CW_OK) {
            return cw_fail(p->msg, CW_ERR_NOMEM, "no memory for job %s",
                           doc->jobs[i].name.text);
        }
    }
    return CW_OK;
}
