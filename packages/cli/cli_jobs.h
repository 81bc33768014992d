/* Tasks of placed jobs, as the records of the streams jobs-<cell> tell. */
#ifndef CLI_JOBS_H
#define CLI_JOBS_H

#include "cli.h"
#include "cw_map.h"

/* The last that is known of one task. */
struct cli_task {
    struct cw_name task; /* first: the map's key */
    char state[16];      /* running, done, failed, lost, never_fits, .. */
    struct cw_name worker;
    uint32_t attempt;
    char reason[128]; /* why it ended or will not run, "" for none */
    uint64_t offset;  /* of the last record that changed it */
    uint32_t cell;
};

struct cli_jobs {
    size_t count;
    size_t cap;
    struct cli_task **items; /* in the order of their first records */
    struct cw_map map;       /* the same by name */
    uint64_t claimed;        /* highest epoch claimed in the stream so far */
};

void cli_jobs_init(struct cli_jobs *j);
void cli_jobs_finish(struct cli_jobs *j);
/* Begins with the stream of the next cell. */
void cli_jobs_next_cell(struct cli_jobs *j);
/* Takes one record of a cell's stream. A record below the highest claim
 * before it has no effect, as in the daemons. */
enum cw_status cli_jobs_take(struct cli_jobs *j, uint32_t cell,
                             uint64_t offset, const json_t *record);
/* True when the task belongs to a job of the service; NULL for any. */
bool cli_jobs_is_of(const struct cli_task *t, const char *service);

#endif
