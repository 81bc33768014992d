/* Replays the task records of a placement cell, without I/O. */
#include "cli_jobs.h"

#include <stdlib.h>
#include <string.h>

void
cli_jobs_init(struct cli_jobs *j)
{
    memset(j, 0, sizeof(*j));
}

void
cli_jobs_finish(struct cli_jobs *j)
{
    for (size_t i = 0; i < j->count; i++) {
        free(j->items[i]);
    }
    free(j->items);
    cw_map_finish(&j->map);
    memset(j, 0, sizeof(*j));
}

void
cli_jobs_next_cell(struct cli_jobs *j)
{
    j->highest_epoch = 0;
}

static const char *
get_text(const json_t *o, const char *key)
{
    const char *s = json_string_value(json_object_get(o, key));
    return s == NULL ? "" : s;
}

static uint64_t
get_u64(const json_t *o, const char *key)
{
    json_int_t v = json_integer_value(json_object_get(o, key));
    return v < 0 ? 0 : (uint64_t)v;
}

static struct cli_task *
get_or_add(struct cli_jobs *j, uint32_t cell, const char *name)
{
    struct cw_str task = cw_str_from(name);
    struct cli_task *t = cw_map_get(&j->map, task);
    if (t != NULL) {
        return t;
    }
    if (j->count == j->cap) {
        size_t cap = j->cap == 0 ? 64 : 2 * j->cap;
        struct cli_task **items =
            realloc(j->items, cap * sizeof(struct cli_task *));
        if (items == NULL) {
            return NULL;
        }
        j->items = items;
        j->cap = cap;
    }
    t = calloc(1, sizeof(*t));
    if (t == NULL) {
        return NULL;
    }
    cw_name_set(&t->task, task);
    t->cell = cell;
    if (cw_map_put(&j->map, t) != CW_OK) {
        free(t);
        return NULL;
    }
    j->items[j->count++] = t;
    return t;
}

static void
set_state(struct cli_task *t, const char *state, const char *reason)
{
    snprintf(t->state, sizeof(t->state), "%s", state);
    snprintf(t->reason, sizeof(t->reason), "%s", reason);
}

static void
set_assignment(struct cli_task *t, const json_t *o)
{
    t->attempt = (uint32_t)get_u64(o, "attempt");
    cw_name_set(&t->worker, cw_str_from(get_text(o, "worker")));
}

/* done, failed and cancelled are final. Any other result is the reason why a
 * start was refused, after which the task waits again. */
static void
apply_ended(struct cli_task *t, const char *result)
{
    static const char *const final_results[] = {"done", "failed", "cancelled"};
    for (size_t i = 0; i < sizeof(final_results) / sizeof(final_results[0]);
         i++) {
        if (strcmp(result, final_results[i]) == 0) {
            set_state(t, result, "");
            return;
        }
    }
    set_state(t, "waiting", result);
}

static void
apply_task_record(struct cli_task *t, const char *type, const json_t *o)
{
    uint32_t attempt = (uint32_t)get_u64(o, "attempt");
    bool current = attempt == t->attempt;
    if (strcmp(type, "start") == 0 || strcmp(type, "carry") == 0) {
        bool done = strcmp(get_text(o, "result"), "done") == 0;
        if (attempt >= t->attempt) {
            set_assignment(t, o);
            set_state(t, done ? "done" : "running", "");
        }
    }
    else if (strcmp(type, "ended") == 0 && current) {
        apply_ended(t, get_text(o, "result"));
    }
    else if (strcmp(type, "lost") == 0 && current) {
        set_state(t, "lost", get_text(o, "result"));
    }
    else if (strcmp(type, "told") == 0) {
        set_state(t, get_text(o, "state"), get_text(o, "reason"));
    }
}

/* A task is named after its job: the job's name, a dot and a number. */
static bool
task_is_in_job(const struct cli_task *t, struct cw_str job)
{
    const char *dot = strrchr(t->task.text, '.');
    return dot != NULL && (size_t)(dot - t->task.text) == job.len &&
           strncmp(t->task.text, job.ptr, job.len) == 0;
}

static void
apply_unlisted(struct cli_jobs *j, const char *job)
{
    for (size_t i = 0; i < j->count; i++) {
        struct cli_task *t = j->items[i];
        if (task_is_in_job(t, cw_str_from(job)) &&
            strcmp(t->state, "done") != 0) {
            set_state(t, "cancelled", "job left its document");
        }
    }
}

enum cw_status
cli_jobs_apply_record(struct cli_jobs *j, uint32_t cell, uint64_t offset,
                      const json_t *record)
{
    const char *type = get_text(record, "type");
    uint64_t epoch = get_u64(record, "epoch");
    if (epoch < j->highest_epoch) {
        return CW_OK;
    }
    j->highest_epoch = epoch;
    if (strcmp(type, "unlisted") == 0) {
        apply_unlisted(j, get_text(record, "job"));
        return CW_OK;
    }
    const char *name = get_text(record, "task");
    if (!cw_name_valid(cw_str_from(name))) {
        return CW_OK; /* a claim, or a record without a task */
    }
    struct cli_task *t = get_or_add(j, cell, name);
    if (t == NULL) {
        return CW_ERR_NOMEM;
    }
    t->offset = offset;
    apply_task_record(t, type, record);
    return CW_OK;
}

bool
cli_task_is_in_service(const struct cli_task *t, const char *service)
{
    size_t n = service == NULL ? 0 : strlen(service);
    return service == NULL ||
           (strncmp(t->task.text, service, n) == 0 && t->task.text[n] == '.');
}
