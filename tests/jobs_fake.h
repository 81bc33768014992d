/* A fake platform in the test process, behind the ports of the job service: a
 * store with one group, and workers that finish each task after task_ms.
 * Answers come from the event loop, never inside a call. */
#ifndef JOBS_FAKE_H
#define JOBS_FAKE_H

#include "cw_job_ports.h"

#include <uv.h>

#define FAKE_RECORDS_MAX 512
#define FAKE_MEMBERS_MAX 8
#define FAKE_RUNS_MAX 256
#define FAKE_WORKERS_MAX 4
#define FAKE_VMS_MAX 4

struct fake_run {
    struct cw_run_row row;
    cw_ms ends_at;
    bool ended;
    uint64_t number; /* of its end */
};

struct fake_worker {
    char id[16];
    int64_t born;
    uint64_t fence;
    uint64_t next_end;
    uint64_t acked;
    struct fake_run runs[FAKE_RUNS_MAX];
    size_t run_count;
    size_t calls_open;
    bool refuses; /* connections, although it runs on */
    size_t refusals;
};

/* A VM that is off; after an order it stays in the state "moving". */
struct fake_vm {
    bool moving;
    char holder[16]; /* of the last order */
    cw_ms ordered_at;
};

struct fake_platform {
    uv_loop_t *loop;
    struct {
        enum cw_stream stream;
        char key[64];
        char *value;
        size_t len;
    } records[FAKE_RECORDS_MAX];
    size_t record_count;
    uint64_t epoch;
    uint64_t sequence;      /* of the last append with records */
    uint64_t epoch_appends; /* appends with records in the epoch */
    struct {
        char name[64];
        cw_ms until;
    } members[FAKE_MEMBERS_MAX];
    size_t member_count;
    uint64_t generation;
    struct fake_worker workers[FAKE_WORKERS_MAX];
    size_t worker_count;
    cw_ms task_ms;       /* each task takes this long */
    size_t page_records; /* newest records in a page; 0: all */
    struct fake_vm vms[FAKE_VMS_MAX];
    size_t vm_count; /* 0: no VM control */
    /* Faults to inject. */
    bool store_down; /* calls to the store get no answer */
    /* Joins of this member take effect without an answer; "": none. */
    char lose_joins_of[64];
    uint32_t lose_answers; /* this many appends take effect without answer */
    bool lose_orders;      /* VM orders get no answer, as if delayed */
    /* After the next append another scheduler claims this epoch (0: none),
     * with this claim record. */
    uint64_t rival_epoch;
    const char *rival_claim;
    /* Observations. */
    uint64_t appends;
    uint64_t owner_queries;
    uint64_t starts;
    uint64_t double_starts;     /* of a task that runs or has run */
    cw_ms shortest_handover_ms; /* between orders of two holders for a VM */
};

void fake_init(struct fake_platform *f, uv_loop_t *loop);
void fake_finish(struct fake_platform *f);
/* Writes a record, as operators and workers do. */
void fake_put(struct fake_platform *f, enum cw_stream stream, const char *key,
              const char *value);
void fake_add_worker(struct fake_platform *f, const char *service);
/* The worker restarts under its id: it knows nothing of before. */
void fake_restart_worker(struct fake_worker *w);
/* Fills the port of VM control; the VMs are in the pool "off". */
void fake_vm_ports(struct cw_job_ports *ports);
/* Fills the ports that the fake platform implements. */
void fake_ports(struct fake_platform *f, struct cw_job_ports *ports);

#endif
