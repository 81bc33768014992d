/* Simulated workers that execute the actions of the placement scheduler. */
#ifndef PLACE_MODEL_H
#define PLACE_MODEL_H

#include "cuminwalk.h"

#define MODEL_TASKS 4096
#define MODEL_WORKERS 64
#define MODEL_SERVICES 16

struct model_task {
    bool used;
    struct cw_name name;
    size_t worker;
    uint64_t fence;
    cw_ms ends;            /* time at which it is done */
    cw_ms checkpoint_ends; /* end of its checkpoint, 0 if none is requested */
    struct cw_size use;    /* actual use */
};

struct model_worker {
    struct cw_name name;
    struct cw_name rack;
    struct cw_size size;
    bool fails_everything;
    bool unreachable; /* sends no reports and does not answer renewals */
};

struct model_service {
    struct cw_name name;
    struct cw_size declared;
};

struct model {
    struct model_service services[MODEL_SERVICES];
    struct cw_place place;
    cw_ms now;
    uint64_t offset;
    size_t worker_count;
    struct model_worker workers[MODEL_WORKERS];
    struct model_task tasks[MODEL_TASKS];
    cw_ms run_ms;            /* actual run time */
    cw_ms checkpoint_ms;     /* actual time of a checkpoint */
    uint32_t use_percent;    /* actual use in percent of the declared size */
    const char *failing_job; /* name prefix of tasks that always fail */
    uint32_t starts;
    uint32_t failures;
    uint32_t overlaps; /* starts of a task that was still running */
    uint32_t notified;
    char last_notice[128];
    cw_ms urgent_started; /* time of the last start of an urgent task */
};

void model_init(struct model *m, const struct cw_place_params *params);
void model_finish(struct model *m);
void model_add_workers(struct model *m, size_t n, struct cw_size size);
/* Applies a document of the service with one job. */
void model_put_job(struct model *m, const char *service, const char *team,
                   uint32_t count, struct cw_size size, bool urgent);
/* Applies a document of the service without jobs. */
void model_cancel_jobs(struct model *m, const char *service, const char *team);
/* Runs reports and ticks every 500 ms for for_ms or until stop returns true.
 */
void model_run(struct model *m, cw_ms for_ms,
               bool (*stop)(const struct model *m));
/* Sum of the allocations of the running tasks on a worker. */
struct cw_size model_allocated(const struct model *m, const char *worker);

#endif
