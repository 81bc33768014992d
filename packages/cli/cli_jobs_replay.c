/* Replays the task records of a placement cell: pure part of jobs. */
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
    j->claimed = 0;
}

static const char *
text_of(const json_t *o, const char *key)
{
    const char *s = json_string_value(json_object_get(o, key));
    return s == NULL ? "" : s;
}

static uint64_t
number_of(const json_t *o, const char *key)
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
set_place(struct cli_task *t, const json_t *o)
{
    t->attempt = (uint32_t)number_of(o, "attempt");
    cw_name_set(&t->worker, cw_str_from(text_of(o, "worker")));
}

/* Results that are words of their own; any other one is the reason why a start
 * was refused, after which the task waits again. */
static void
take_ended(struct cli_task *t, const char *result)
{
    static const char *const ends[] = {"done", "failed", "cancelled"};
    for (size_t i = 0; i < sizeof(ends) / sizeof(ends[0]); i++) {
        if (strcmp(result, ends[i]) == 0) {
            set_state(t, result, "");
            return;
        }
    }
    set_state(t, "waiting", result);
}

static void
take_task(struct cli_task *t, const char *type, const json_t *o)
{
    uint32_t attempt = (uint32_t)number_of(o, "attempt");
    bool current = attempt == t->attempt;
    if (strcmp(type, "start") == 0 || strcmp(type, "carry") == 0) {
        bool done = strcmp(text_of(o, "result"), "done") == 0;
        if (attempt >= t->attempt) {
            set_place(t, o);
            set_state(t, done ? "done" : "running", "");
        }
    }
    else if (strcmp(type, "ended") == 0 && current) {
        take_ended(t, text_of(o, "result"));
    }
    else if (strcmp(type, "lost") == 0 && current) {
        set_state(t, "lost", text_of(o, "result"));
    }
    else if (strcmp(type, "told") == 0) {
        set_state(t, text_of(o, "state"), text_of(o, "reason"));
    }
}

/* A task's name is its job's name, a dot and a number. */
static bool
is_of_job(const struct cli_task *t, struct cw_str job)
{
    const char *dot = strrchr(t->task.text, '.');
    return dot != NULL && (size_t)(dot - t->task.text) == job.len &&
           strncmp(t->task.text, job.ptr, job.len) == 0;
}

static void
take_unlisted(struct cli_jobs *j, const char *job)
{
    for (size_t i = 0; i < j->count; i++) {
        struct cli_task *t = j->items[i];
        if (is_of_job(t, cw_str_from(job)) && strcmp(t->state, "done") != 0) {
            set_state(t, "cancelled", "job left its document");
        }
    }
}

enum cw_status
cli_jobs_take(struct cli_jobs *j, uint32_t cell, uint64_t offset,
              const json_t *record)
{
    const char *type = text_of(record, "type");
    uint64_t epoch = number_of(record, "epoch");
    if (epoch < j->claimed) {
        return CW_OK;
    }
    j->claimed = epoch;
    if (strcmp(type, "unlisted") == 0) {
        take_unlisted(j, text_of(record, "job"));
        return CW_OK;
    }
    const char *name = text_of(record, "task");
    if (!cw_name_valid(cw_str_from(name))) {
        return CW_OK; /* a claim, or no record of ours */
    }
    struct cli_task *t = get_or_add(j, cell, name);
    if (t == NULL) {
        return CW_ERR_NOMEM;
    }
    t->offset = offset;
    take_task(t, type, record);
    return CW_OK;
}

bool
cli_jobs_is_of(const struct cli_task *t, const char *service)
{
    size_t n = service == NULL ? 0 : strlen(service);
    return service == NULL ||
           (strncmp(t->task.text, service, n) == 0 && t->task.text[n] == '.');
}
