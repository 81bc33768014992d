/* Tasks of placed jobs, replayed from the records of the streams
 * jobs-<cell>. */
#ifndef CLI_JOBS_H
#define CLI_JOBS_H

#include "cli.h"
#include "cw_map.h"

/* Last known state of one task. */
struct cli_task {
    struct cw_name task; /* key of the map: has to be first */
    char state[16];      /* running, done, failed, lost, never_fits, .. */
    struct cw_name worker;
    uint32_t attempt;
    char reason[128]; /* why it ended or will not run, "" for none */
    uint64_t offset;  /* of the task's last record */
    uint32_t cell;
};

struct cli_jobs {
    size_t count;
    size_t cap;
    struct cli_task **items; /* in the order of their first records */
    struct cw_map map;       /* the same tasks by name */
    uint64_t highest_epoch;  /* highest epoch read from the stream so far */
};

void cli_jobs_init(struct cli_jobs *j);
void cli_jobs_finish(struct cli_jobs *j);
/* Starts the stream of the next cell. */
void cli_jobs_next_cell(struct cli_jobs *j);
/* Applies one record of a cell's stream. A record with a lower epoch than one
 * before it is ignored, as in the daemons. */
enum cw_status cli_jobs_apply_record(struct cli_jobs *j, uint32_t cell,
                                     uint64_t offset, const json_t *record);
/* True when the task belongs to a job of the service, or service is NULL. */
bool cli_task_is_in_service(const struct cli_task *t, const char *service);

#endif
