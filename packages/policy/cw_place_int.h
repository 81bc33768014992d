/* Data structures and functions shared by the files of the placement
 * scheduler. */
#ifndef CW_PLACE_INT_H
#define CW_PLACE_INT_H

#include "cw_map.h"

#define CLASS_SAMPLES 32

/* Measured resource use and outcomes of the tasks of one class. */
struct cw_place_class {
    struct cw_name name; /* service and class, or a hash of both */
    uint32_t cpu[CLASS_SAMPLES];
    uint32_t memory[CLASS_SAMPLES];
    uint32_t samples; /* total so far; the arrays are rings of the newest */
    uint32_t cpu_p95; /* 95th percentile of the samples in the ring */
    uint32_t memory_p95;
    uint64_t succeeded;
    uint64_t failed;
};

struct cw_place_team {
    struct cw_name name;
    struct cw_size quota;
    uint64_t used_cpu;
    uint64_t used_memory;
    uint64_t used_accelerators;
    struct cw_place_task *urgent_head, *urgent_tail;
    struct cw_place_task *head, *tail;
    /* Valid during one tick only. */
    struct cw_place_task *cursor;
    uint32_t skips; /* tasks that could not be started */
    double share;   /* dominant share of the quota */
};

struct cw_place_job {
    struct cw_name name; /* service and job, or a hash of both */
    struct cw_name service;
    struct cw_place_team *team;
    struct cw_place_class *class;
    struct cw_size declared;
    cw_ms run_ms;
    uint32_t count; /* tasks that the document requests */
    bool urgent;
    bool listed;        /* part of the document in force */
    uint64_t last_rack; /* hash of the rack of the task placed last */
    size_t task_count;
    struct cw_place_task **tasks;
};

struct cw_place_worker {
    struct cw_name name;
    struct cw_name rack;
    uint64_t name_hash;
    uint64_t rack_hash;
    struct cw_size size;
    struct cw_size counted_size; /* entry in shapes that counts the worker,
                                  * zero for none */
    /* Sums over all tasks of the larger of allocated and measured size. */
    uint64_t used_cpu;
    uint64_t used_memory;
    uint64_t used_accelerators;
    struct cw_place_task *reserved_for;
    cw_ms reserved_until;
    struct cw_worker_health health;
    struct cw_lease lease;
    uint32_t renew_failures;
    cw_ms reported_at;
    bool gone;
    size_t index; /* in cw_place.workers and in free_sizes */
    struct cw_place_private *priv;
    struct cw_place_task *tasks; /* list of the tasks placed here */
};

/* A worker size and the number of workers of that size. */
struct cw_place_worker_shape {
    struct cw_size size;
    size_t workers;
};

#define WORKER_SHAPES_MAX 64

/* Private part of struct cw_place: lookup maps, counters and caches. */
struct cw_place_private {
    /* Free capacity by worker index; zero for a worker that left. An array of
     * its own, because each search for a worker reads all of it. */
    struct cw_size *free_sizes;
    size_t free_size_cap;
    size_t shape_count;
    struct cw_place_worker_shape shapes[WORKER_SHAPES_MAX];
    size_t victim_cursor; /* index of the worker at which the next search for
                           * victims begins */
    struct cw_map workers;
    struct cw_map jobs;
    struct cw_map teams;
    struct cw_map classes;
    struct cw_map tasks;
    size_t worker_cap;
    size_t job_cap;
    size_t team_cap;
    size_t class_cap;
    size_t quarantined;
    size_t counts[CW_PLACE_CANCELLED + 1];
    uint64_t never_fits_generation;
    struct cw_size largest; /* of all workers so far, per resource */
    cw_ms last_purge_at;
};

/* A growable array of pointers to entries. */
struct cw_place_list {
    void ***items;
    size_t *count;
    size_t *cap;
};

/* cw_place.c */
/* Returns the entry with the name. If there is none, adds a zeroed entry to
 * the map and the list and sets *created. Returns NULL when out of memory. */
void *cw_place_get_or_add(struct cw_map *map, struct cw_place_list list,
                          struct cw_str name, size_t size, bool *created);
/* Updates the task's measured and peak use and the worker's usage. */
void cw_place_record_usage(struct cw_place_task *t, uint32_t cpu_milli,
                           uint32_t memory_mb);
void cw_place_set_state(struct cw_place *p, struct cw_place_task *t,
                        enum cw_place_state s, cw_ms now);
void cw_place_enqueue(struct cw_place_task *t, bool front);
void cw_place_dequeue(struct cw_place_task *t);
/* Allocates the size on the worker for the task, or frees the allocation. */
void cw_place_allocate(struct cw_place_task *t, struct cw_place_worker *w,
                       struct cw_size size);
void cw_place_release(struct cw_place_task *t);
struct cw_place_task *cw_place_find_task(const struct cw_place *p,
                                         struct cw_str name);
/* Returns the worker with the name and adds it if it is new. Returns NULL
 * when out of memory. */
struct cw_place_worker *cw_place_add_worker(struct cw_place *p,
                                            struct cw_str name);
/* Frees the task's allocation and puts it back at the head of its queue. A
 * task that its document no longer requests is cancelled instead. */
void cw_place_requeue(struct cw_place *p, struct cw_place_task *t, cw_ms now);

/* cw_place_jobs.c */
/* Frees the jobs that no document lists and whose tasks have all ended. */
void cw_place_purge(struct cw_place *p);

/* cw_place_usage.c */
/* Adds the peak use of a finished task to the samples of its class. */
void cw_place_add_class_sample(struct cw_place_class *c, uint32_t cpu,
                               uint32_t memory);

/* cw_place_fit.c */
/* Updates the worker's entry in free_sizes after its use or size changed. */
void cw_place_update_free_size(struct cw_place_worker *w);
/* Sets the worker's size and updates the count of its shape. An all-zero size
 * marks a worker that left. */
void cw_place_set_size(struct cw_place_worker *w, struct cw_size size);
/* True when the size exceeds every worker even without other tasks. */
bool cw_place_never_fits(const struct cw_place *p, struct cw_size size);
/* True when the worker's free capacity is enough. */
bool cw_place_fits(const struct cw_place_worker *w, struct cw_size size);
/* True when the worker's total capacity is enough. */
bool cw_place_fits_empty(const struct cw_place_worker *w, struct cw_size size);
/* The usable worker with enough free capacity and the best score, or NULL. */
struct cw_place_worker *cw_place_best_worker(const struct cw_place *p,
                                             const struct cw_place_task *t,
                                             struct cw_size size, cw_ms now);
/* True when the worker is among the last on which the task failed. */
bool cw_place_failed_on(const struct cw_place_task *t,
                        const struct cw_place_worker *w);

/* cw_place_evict.c */
/* Chooses victims for the task, requests their checkpoints and reserves the
 * worker. Returns false when no set of victims frees enough capacity. */
bool cw_place_preempt(struct cw_place *p, struct cw_place_task *t,
                      struct cw_size size, cw_ms now, cw_place_action_fn act,
                      void *ctx);
void cw_place_unreserve(struct cw_place_task *t);

#endif
