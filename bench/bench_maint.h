/* Shared declarations of the maintenance benchmark. */
#ifndef BENCH_MAINT_H
#define BENCH_MAINT_H

#include "cuminwalk.h"

#include <string.h>

#define BENCH_START (20000 * CW_DAY) /* start of the simulated time */
#define BENCH_POOL_VMS_MAX 96

/* A simulated pool. Its VMs are distributed round-robin over the data centres,
 * four per rack. */
struct bench_pool {
    size_t count;
    struct cw_wave_vm vms[BENCH_POOL_VMS_MAX];
    char names[BENCH_POOL_VMS_MAX][12];
    char racks[BENCH_POOL_VMS_MAX][12];
    char dcs[BENCH_POOL_VMS_MAX][12];
    struct cw_wave wave;
};

/* Numbers the racks of each data centre from first_rack. */
void bench_pool_init(struct bench_pool *b, size_t count, uint32_t dcs,
                     uint32_t first_rack);
/* Inputs of a wave decision for a healthy pool within its maintenance
 * window. */
struct cw_wave_in bench_wave_inputs(const struct bench_pool *b, cw_ms wall);

void bench_waves(struct cw_rng *rng);
void bench_moves(struct cw_rng *rng);

#endif
