/* Task sizes learned from measured use. */
#include "cw_place_int.h"

#include <stdlib.h>
#include <string.h>

/* The learned request exceeds the 95th percentile of the samples by a
 * tenth, because reports lag and a task may grow after its last one. */
#define REQUEST_PERCENT_OF_P95 110

static int
compare_u32(const void *a, const void *b)
{
    uint32_t x = *(const uint32_t *)a;
    uint32_t y = *(const uint32_t *)b;
    return (x > y) - (x < y);
}

static uint32_t
percentile_95(const uint32_t *ring, uint32_t n)
{
    uint32_t sorted[CLASS_SAMPLES];
    memcpy(sorted, ring, n * sizeof(*ring));
    qsort(sorted, n, sizeof(*sorted), compare_u32);
    return sorted[(n * 95 + 99) / 100 - 1];
}

void
cw_place_add_class_sample(struct cw_place_class *c, uint32_t cpu,
                          uint32_t memory)
{
    uint32_t i = c->samples % CLASS_SAMPLES;
    c->cpu[i] = cpu;
    c->memory[i] = memory;
    c->samples++;
    uint32_t n = c->samples < CLASS_SAMPLES ? c->samples : CLASS_SAMPLES;
    c->cpu_p95 = percentile_95(c->cpu, n);
    c->memory_p95 = percentile_95(c->memory, n);
}

/* Adds the margin to the measured use. The margin does not raise the request
 * above the declared size, or two tasks that fill a worker exactly could not
 * share it. A use above the declared size is capped at the largest worker. */
static uint32_t
learned_request(uint32_t measured, uint32_t declared, uint32_t largest)
{
    uint64_t v = (uint64_t)measured * REQUEST_PERCENT_OF_P95 / 100;
    uint32_t cap = measured > declared ? largest : declared;
    if (cap > 0 && v > cap) {
        v = cap;
    }
    return v > 0 ? (uint32_t)v : 1;
}

struct cw_size
cw_place_request_size(const struct cw_place *p, const struct cw_place_job *job)
{
    struct cw_size size = job->declared;
    const struct cw_place_class *c = job->class;
    if (p->params.learn && c->samples >= p->params.samples_min) {
        const struct cw_size *largest = &p->priv->largest;
        size.cpu_milli = learned_request(c->cpu_p95, job->declared.cpu_milli,
                                         largest->cpu_milli);
        size.memory_mb = learned_request(
            c->memory_p95, job->declared.memory_mb, largest->memory_mb);
    }
    return size;
}
