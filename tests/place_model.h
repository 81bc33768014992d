/* Workers in memory that carry out the actions of the placement scheduler. */
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
    cw_ms ends;         /* when it is done */
    cw_ms saves;        /* when its checkpoint is written, 0 for none asked */
    struct cw_size use; /* what it really uses */
};

struct model_worker {
    struct cw_name name;
    struct cw_name rack;
    struct cw_size size;
    bool fails_everything;
    bool away; /* no reports, renewals are not answered */
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
    cw_ms run_ms;            /* real run time */
    cw_ms checkpoint_ms;     /* real time of a checkpoint */
    uint32_t use_percent;    /* real use in percent of the declared size */
    const char *failing_job; /* tasks whose name starts so always fail */
    uint32_t starts;
    uint32_t failures;
    uint32_t overlaps; /* a task started while it still ran */
    uint32_t told;
    char last_told[128];
    cw_ms urgent_started; /* time of the last start of an urgent task */
};

void model_init(struct model *m, const struct cw_place_params *params);
void model_finish(struct model *m);
void model_add_workers(struct model *m, size_t n, struct cw_size size);
/* Puts one job in force under a service of its own name. */
void model_job(struct model *m, const char *service, const char *team,
               uint32_t count, struct cw_size size, bool urgent);
/* Takes all jobs of the service out of force. */
void model_cancel(struct model *m, const char *service, const char *team);
/* Steps time by 500 ms until it is over or until stop returns true. */
void model_run(struct model *m, cw_ms for_ms,
               bool (*stop)(const struct model *m));
/* Sum of the room of running tasks on a worker. */
struct cw_size model_given(const struct model *m, const char *worker);

#endif
