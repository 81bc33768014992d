/* The command jobs: lists the tasks of all placement cells. */
#include "cli_jobs.h"

#include <string.h>

/* Highest number of cells that the settings accept. */
#define CELLS_MAX 256

struct cell_reader {
    struct cli_jobs *jobs;
    uint32_t cell;
};

static enum cw_status
apply_cell_record(void *ctx, uint64_t offset, const json_t *record)
{
    struct cell_reader *r = ctx;
    return cli_jobs_apply_record(r->jobs, r->cell, offset, record);
}

/* Reads the streams jobs-0, jobs-1, and so on; the first one that never had a
 * record ends the list of cells. */
static enum cw_status
read_cells(struct cli *c, struct cli_jobs *jobs)
{
    bool exists = true;
    enum cw_status s = CW_OK;
    for (uint32_t i = 0; s == CW_OK && exists && i < CELLS_MAX; i++) {
        char stream[16];
        struct cell_reader r = {jobs, i};
        snprintf(stream, sizeof(stream), "jobs-%u", i);
        cli_jobs_next_cell(jobs);
        s = cli_stream_read(c, stream, apply_cell_record, &r, &exists);
    }
    return s;
}

static json_t *
task_json(const struct cli_task *t)
{
    return json_pack("{so,ss,so,sI,ss,sI,sI}", "task", cli_json_name(&t->task),
                     "state", t->state, "worker", cli_json_name(&t->worker),
                     "attempt", (json_int_t)t->attempt, "reason", t->reason,
                     "cell", (json_int_t)t->cell, "offset",
                     (json_int_t)t->offset);
}

static int
print_jobs(struct cli *c, const struct cli_jobs *jobs)
{
    const char *service = c->arg_count > 0 ? c->args[0] : NULL;
    json_t *list = c->format == CLI_JSON ? json_array() : NULL;
    if (list == NULL) {
        fprintf(c->out, "%-32s %-11s %-16s %7s  %s\n", "TASK", "STATE",
                "WORKER", "ATTEMPT", "REASON");
    }
    for (size_t i = 0; i < jobs->count; i++) {
        const struct cli_task *t = jobs->items[i];
        if (!cli_task_is_in_service(t, service)) {
            continue;
        }
        if (list != NULL) {
            json_array_append_new(list, task_json(t));
            continue;
        }
        fprintf(c->out, "%-32s %-11s %-16s %7u  %s\n", t->task.text, t->state,
                t->worker.len > 0 ? t->worker.text : "-", t->attempt,
                t->reason[0] != '\0' ? t->reason : "-");
    }
    return list == NULL ? CLI_OK
                        : cli_print_json(c, json_pack("{so}", "tasks", list));
}

int
cli_jobs(struct cli *c)
{
    if (c->platform == NULL) {
        fprintf(c->err, "cuminwalk: no platform; give --platform ip:port or "
                        "set CUMINWALK_PLATFORM\n");
        return CLI_USAGE;
    }
    struct cli_jobs jobs;
    cli_jobs_init(&jobs);
    int code = CLI_OK;
    if (read_cells(c, &jobs) == CW_OK) {
        code = print_jobs(c, &jobs);
    }
    else {
        fprintf(c->err, "cuminwalk: cannot read the log: %s\n", c->msg);
        code = CLI_UNAVAILABLE;
    }
    cli_jobs_finish(&jobs);
    return code;
}
