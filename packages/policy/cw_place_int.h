/* Structures shared by the placement files. */
#ifndef CW_PLACE_INT_H
#define CW_PLACE_INT_H

#include "cw_map.h"

#define CLASS_SAMPLES 32

/* What tasks of one class were measured to use. */
struct cw_place_class {
    struct cw_name name; /* service and class, or a hash of both */
    uint32_t cpu[CLASS_SAMPLES];
    uint32_t memory[CLASS_SAMPLES];
    uint32_t samples; /* taken so far; the ring keeps the newest */
    uint32_t cpu_p95; /* 95th percentile of the ring */
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
    /* Of one tick. */
    struct cw_place_task *cursor;
    uint32_t skips;
    double share;
};

struct cw_place_job {
    struct cw_name name; /* service and job, or a hash of both */
    struct cw_name service;
    struct cw_place_team *team;
    struct cw_place_class *class;
    struct cw_size declared;
    cw_ms run_ms;
    uint32_t count; /* tasks that the document asks for */
    bool urgent;
    bool listed;        /* in the document in force */
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
    struct cw_size counted; /* size that stands in shapes, zero for none */
    /* Room taken: the larger of given and measured, over all tasks. */
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
    size_t index; /* in the scheduler's list and in rooms */
    struct cw_place_maps *maps;
    struct cw_place_task *tasks; /* list of tasks that take room */
};

/* Size of workers, with the number of workers that have it. */
struct cw_place_shape {
    struct cw_size size;
    size_t workers;
};

#define SHAPES_MAX 64

struct cw_place_maps {
    /* Free room of each worker, zero for one that left. Kept beside the
     * workers because each search reads all of it. */
    struct cw_size *rooms;
    size_t room_cap;
    size_t shape_count;
    struct cw_place_shape shapes[SHAPES_MAX];
    size_t victim_cursor; /* where the next search for victims begins */
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
    struct cw_size largest; /* of any worker, each resource by itself */
    cw_ms purged_at;
};

/* A growing list of pointers to entries. */
struct cw_place_list {
    void ***items;
    size_t *count;
    size_t *cap;
};

/* cw_place.c */
/* Returns the entry of the name, or makes a zeroed one and puts it into the
 * map and the list. NULL when memory is short. */
void *cw_place_get_or_add(struct cw_map *map, struct cw_place_list list,
                          struct cw_str name, size_t size, bool *made);
/* Takes a measured use into account. */
void cw_place_measure(struct cw_place_task *t, uint32_t cpu_milli,
                      uint32_t memory_mb);
void cw_place_set_state(struct cw_place *p, struct cw_place_task *t,
                        enum cw_place_state s, cw_ms now);
void cw_place_enqueue(struct cw_place_task *t, bool front);
void cw_place_dequeue(struct cw_place_task *t);
/* Takes room for the task on the worker, or gives it back. */
void cw_place_take(struct cw_place_task *t, struct cw_place_worker *w,
                   struct cw_size size);
void cw_place_release(struct cw_place_task *t);
struct cw_place_task *cw_place_find_task(const struct cw_place *p,
                                         struct cw_str name);
/* The worker of that name, made if it is new. NULL when memory is short. */
struct cw_place_worker *cw_place_add_worker(struct cw_place *p,
                                            struct cw_str name);
/* Makes the task wait again after it lost its place. */
void cw_place_requeue(struct cw_place *p, struct cw_place_task *t, cw_ms now);

/* cw_place_jobs.c */
/* Frees jobs that no document lists and of which nothing runs. */
void cw_place_purge(struct cw_place *p);

/* cw_place_usage.c */
void cw_place_class_sample(struct cw_place_class *c, uint32_t cpu,
                           uint32_t memory);

/* cw_place_fit.c */
/* Brings rooms up to date after a change of the worker's use or size. */
void cw_place_refresh_room(struct cw_place_worker *w);
/* Sets the worker's size and counts its shape; all zero for a worker that
 * left. */
void cw_place_set_size(struct cw_place_worker *w, struct cw_size size);
/* True when no worker has room even when it is empty. */
bool cw_place_fits_none(const struct cw_place *p, struct cw_size size);
bool cw_place_fits(const struct cw_place_worker *w, struct cw_size size);
bool cw_place_fits_empty(const struct cw_place_worker *w, struct cw_size size);
/* The best worker with room now, or NULL. */
struct cw_place_worker *cw_place_best(const struct cw_place *p,
                                      const struct cw_place_task *t,
                                      struct cw_size size, cw_ms now);
bool cw_place_failed_on(const struct cw_place_task *t,
                        const struct cw_place_worker *w);

/* cw_place_evict.c */
/* Picks victims for the task, asks them to checkpoint and reserves the
 * worker. Returns false when no set of victims makes room. */
bool cw_place_make_room(struct cw_place *p, struct cw_place_task *t,
                        struct cw_size size, cw_ms now, cw_place_act act,
                        void *ctx);
void cw_place_unreserve(struct cw_place_task *t);

#endif
