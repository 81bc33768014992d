/* A scheduler with simulated workers and VM control, without network or store:
 * the modules that the daemon runs on every tick, at the size of a fleet. */
#ifndef SCHED_WORLD_H
#define SCHED_WORLD_H

#include "bench.h"
#include "cw_jobd.h"

#define SCHED_SERVICES 4 /* with work; one more pool is off */

enum sched_part {
    PART_SUBMIT,
    PART_REPORTS, /* ends and running tasks of the workers */
    PART_AGENTS,  /* leases, due orders and reports */
    PART_FLEET,   /* moves and waves */
    PART_PLAN,
    PART_FLUSH, /* encoding of the records */
    PART_COMMITTED,
    PART_LIST, /* heartbeats of the workers in the list */
    PARTS,
};

struct sched_params {
    size_t workers;
    double submissions_per_s;
    uint64_t seed;
};

struct sched_world;

struct sched_world *sched_world_new(const struct sched_params *p);
void sched_world_free(struct sched_world *w);
/* One tick of simulated time. */
void sched_world_step(struct sched_world *w);
/* Processor time of a part so far, in microseconds. */
int64_t sched_world_cpu_us(const struct sched_world *w, enum sched_part part);
const char *sched_part_name(enum sched_part part);

struct sched_totals {
    uint64_t jobs;
    uint64_t starts;
    uint64_t ends;
    uint64_t moves;
    uint64_t record_bytes;
    size_t running;
};
struct sched_totals sched_world_totals(const struct sched_world *w);

#define SCHED_STEP_MS 20

#endif
