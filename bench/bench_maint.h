/* Parts of the maintenance bench. */
#ifndef BENCH_MAINT_H
#define BENCH_MAINT_H

#include "cuminwalk.h"

#include <string.h>

#define BENCH_T0 (20000 * CW_DAY)
#define BENCH_POOL_VMS 96

/* A simulated pool: its VMs lie in turn in the data centres, four to a rack
 * that starts at rack number first_rack. */
struct bench_pool {
    size_t count;
    struct cw_wave_vm vms[BENCH_POOL_VMS];
    char names[BENCH_POOL_VMS][12];
    char racks[BENCH_POOL_VMS][12];
    char dcs[BENCH_POOL_VMS][12];
    struct cw_wave wave;
};

void bench_pool_init(struct bench_pool *b, size_t count, uint32_t dcs,
                     uint32_t first_rack);
/* Inputs for a healthy pool in its window at the time. */
struct cw_wave_in bench_pool_in(const struct bench_pool *b, cw_ms wall);

void bench_waves(struct cw_rng *rng);
void bench_moves(struct cw_rng *rng);

#endif
