/* Simulated workers that execute the actions of the placement scheduler. */
#include "place_model.h"

#include <string.h>

#define STEP_MS 500

void
model_init(struct model *m, const struct cw_place_params *params)
{
    memset(m, 0, sizeof(*m));
    cw_place_init(&m->place, params);
    m->now = CW_HOUR;
    m->run_ms = 20 * CW_SECOND;
    m->checkpoint_ms = 2 * CW_SECOND;
    m->use_percent = 100;
}

void
model_finish(struct model *m)
{
    cw_place_finish(&m->place);
}

void
model_add_workers(struct model *m, size_t n, struct cw_size size)
{
    for (size_t i = 0; i < n; i++) {
        struct model_worker *w = &m->workers[m->worker_count];
        char text[24];
        snprintf(text, sizeof(text), "w%zu", m->worker_count);
        cw_name_set(&w->name, cw_str_from(text));
        snprintf(text, sizeof(text), "r%zu", m->worker_count / 4);
        cw_name_set(&w->rack, cw_str_from(text));
        w->size = size;
        m->worker_count++;
    }
}

/* Returns the service's entry, or the first free one. */
static struct model_service *
service_entry(struct model *m, struct cw_str name)
{
    struct model_service *s = m->services;
    while (s->name.len != 0 && !cw_str_eq(cw_name_str(&s->name), name)) {
        s++;
    }
    return s;
}

static void
apply_document(struct model *m, const char *service, const char *team,
               struct cw_job *job, size_t jobs)
{
    struct cw_doc doc;
    memset(&doc, 0, sizeof(doc));
    cw_name_set(&doc.service, cw_str_from(service));
    cw_name_set(&doc.team, cw_str_from(team));
    doc.jobs = job;
    doc.job_count = jobs;
    cw_place_apply_document(&m->place, &doc, NULL, NULL, m->now);
}

void
model_put_job(struct model *m, const char *service, const char *team,
              uint32_t count, struct cw_size size, bool urgent)
{
    struct cw_job job;
    memset(&job, 0, sizeof(job));
    cw_name_set(&job.name, CW_LIT("job"));
    cw_name_set(&job.job_class, CW_LIT("job"));
    job.count = count;
    job.cpu_milli = size.cpu_milli;
    job.memory_mb = size.memory_mb;
    job.accelerators = size.accelerators;
    job.urgent = urgent;
    struct model_service *s = service_entry(m, cw_str_from(service));
    cw_name_set(&s->name, cw_str_from(service));
    s->declared = size;
    apply_document(m, service, team, &job, 1);
}

void
model_cancel_jobs(struct model *m, const char *service, const char *team)
{
    apply_document(m, service, team, NULL, 0);
}

static struct model_task *
find_task(struct model *m, struct cw_str name)
{
    for (size_t i = 0; i < MODEL_TASKS; i++) {
        if (m->tasks[i].used &&
            cw_str_eq(cw_name_str(&m->tasks[i].name), name)) {
            return &m->tasks[i];
        }
    }
    return NULL;
}

static size_t
worker_index(const struct model *m, struct cw_str name)
{
    size_t i = 0;
    while (!cw_str_eq(cw_name_str(&m->workers[i].name), name)) {
        i++;
    }
    return i;
}

static void
start_task(struct model *m, const struct cw_place_action *a)
{
    struct cw_str name = cw_name_str(&a->task->name);
    m->offset++;
    if (!cw_place_started(&m->place, name, a->task->attempt, m->offset,
                          m->now)) {
        return;
    }
    m->starts++;
    if (find_task(m, name) != NULL) {
        m->overlaps++;
        return;
    }
    struct model_task *t = m->tasks;
    while (t->used) {
        t++;
    }
    *t = (struct model_task){.used = true, .name = a->task->name};
    t->worker = worker_index(m, a->worker);
    t->fence = m->offset;
    t->ends = m->now + m->run_ms;
    const char *dot = memchr(name.ptr, '.', name.len);
    struct cw_str service = {name.ptr, (size_t)(dot - name.ptr)};
    const struct cw_size *declared = &service_entry(m, service)->declared;
    t->use.cpu_milli = declared->cpu_milli * m->use_percent / 100;
    t->use.memory_mb = declared->memory_mb * m->use_percent / 100;
}

static void
on_action(void *ctx, const struct cw_place_action *a)
{
    struct model *m = ctx;
    if (a->kind == CW_PLACE_RENEW) {
        cw_place_renew_answered(
            &m->place, a->worker,
            !m->workers[worker_index(m, a->worker)].unreachable);
        return;
    }
    struct model_task *t = find_task(m, cw_name_str(&a->task->name));
    switch (a->kind) {
    case CW_PLACE_START:
        start_task(m, a);
        break;
    case CW_PLACE_CHECKPOINT:
        if (t != NULL) {
            t->checkpoint_ends = m->now + m->checkpoint_ms;
        }
        break;
    case CW_PLACE_STOP:
        if (t != NULL) {
            t->checkpoint_ends = m->now;
        }
        break;
    case CW_PLACE_RECORD_LOST:
        cw_place_lost(&m->place, cw_name_str(&a->task->name), a->task->attempt,
                      m->now);
        break;
    case CW_PLACE_NOTIFY:
        m->notified++;
        snprintf(m->last_notice, sizeof(m->last_notice), "%s", a->text);
        break;
    case CW_PLACE_RENEW:
    case CW_PLACE_THROTTLE:
    case CW_PLACE_RECORD_ENDED:
        break;
    }
}

/* Fills reports with the worker's tasks and removes those that ended. */
static size_t
collect_reports(struct model *m, size_t worker,
                struct cw_place_task_report *reports, size_t max)
{
    size_t n = 0;
    for (size_t i = 0; i < MODEL_TASKS && n < max; i++) {
        struct model_task *t = &m->tasks[i];
        if (!t->used || t->worker != worker) {
            continue;
        }
        struct cw_place_task_report *s = &reports[n++];
        s->task = cw_name_str(&t->name);
        s->fence = t->fence;
        s->cpu_milli = t->use.cpu_milli;
        s->memory_mb = t->use.memory_mb;
        s->state = CW_REPORTED_RUNNING;
        bool fails = m->workers[worker].fails_everything ||
                     (m->failing_job != NULL &&
                      cw_str_starts(s->task, cw_str_from(m->failing_job)));
        if (fails) {
            s->state = CW_REPORTED_FAILED;
            m->failures++;
        }
        else if (t->checkpoint_ends != 0 && m->now >= t->checkpoint_ends) {
            s->state = CW_REPORTED_CHECKPOINTED;
        }
        else if (m->now >= t->ends) {
            s->state = CW_REPORTED_DONE;
        }
        t->used = s->state == CW_REPORTED_RUNNING;
    }
    return n;
}

static void
report_workers(struct model *m)
{
    for (size_t i = 0; i < m->worker_count; i++) {
        struct model_worker *w = &m->workers[i];
        if (w->unreachable) {
            continue;
        }
        struct cw_place_task_report reports[256];
        size_t n = collect_reports(m, i, reports, 256);
        cw_place_worker_report(&m->place, cw_name_str(&w->name),
                               cw_name_str(&w->rack), w->size, reports, n,
                               m->now, on_action, m);
    }
}

void
model_run(struct model *m, cw_ms for_ms, bool (*stop)(const struct model *m))
{
    for (cw_ms t = 0; t < for_ms; t += STEP_MS) {
        report_workers(m);
        cw_place_tick(&m->place, m->now, on_action, m);
        if (stop != NULL && stop(m)) {
            return;
        }
        m->now += STEP_MS;
    }
}

struct cw_size
model_allocated(const struct model *m, const char *worker)
{
    struct cw_size sum = {0, 0, 0};
    for (size_t i = 0; i < MODEL_TASKS; i++) {
        const struct model_task *t = &m->tasks[i];
        if (!t->used || strcmp(m->workers[t->worker].name.text, worker) != 0) {
            continue;
        }
        const struct cw_place_task *p =
            cw_place_task(&m->place, cw_name_str(&t->name));
        sum.cpu_milli += p->allocated.cpu_milli;
        sum.memory_mb += p->allocated.memory_mb;
        sum.accelerators += p->allocated.accelerators;
    }
    return sum;
}
