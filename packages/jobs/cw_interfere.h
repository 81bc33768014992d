/* Learns which groups of tasks slow each other down on the same worker. A
 * group is an image or, for tasks without one, a queue.
 *
 * For each pair (affected group, group beside it) a table holds how much worse
 * the figures of the affected group are with the other group on the worker
 * than without it. Old samples decay. A pair is known, and has an effect,
 * while the samples show a clear difference on at least two workers, or at two
 * times on one worker. Nothing here reads a clock or does I/O. */
#ifndef CW_INTERFERE_H
#define CW_INTERFERE_H

#include "cuminwalk.h"

#define CW_INTERFERE_PAIRS_MAX 1024
/* Groups of one affected group that are tracked, and groups on one worker. */
#define CW_INTERFERE_BESIDE_MAX 64
#define CW_INTERFERE_SEEN_MAX 12
#define CW_INTERFERE_HALF_LIFE_MS (60 * CW_SECOND)
/* A worker's figures cover this time: samples of a worker are at least so far
 * apart. */
#define CW_INTERFERE_WINDOW_MS 500

/* Identifies a group by its name; never 0. */
uint64_t cw_interfere_group(const struct cw_name *image,
                            const struct cw_name *queue);

/* A group on one worker during the last window. */
struct cw_group_seen {
    uint64_t group;
    const struct cw_name *name;
    uint32_t tasks;    /* at full speed for at least half of the window */
    bool unclear;      /* it has others: just begun, or slowed down by us */
    uint32_t figures;  /* tasks with a figure .. */
    double figure_sum; /* .. and the sum of their figures, logarithms: larger
                        * is worse */
};

struct cw_interfere;

/* NULL when memory is short. */
struct cw_interfere *cw_interfere_new(void);
void cw_interfere_free(struct cw_interfere *it);
/* Adds a sample of a worker, which is identified by a hash. */
void cw_interfere_observe(struct cw_interfere *it, uint64_t worker,
                          const struct cw_group_seen *seen, size_t count,
                          cw_ms now);
/* Expected slow-down of the affected group by the other one, as a logarithm; 0
 * when the pair is not known. */
double cw_interfere_effect(const struct cw_interfere *it, uint64_t affected,
                           uint64_t beside);
/* Decides again which pairs are known, at most once a second. */
void cw_interfere_refresh(struct cw_interfere *it, cw_ms now);

/* Groups that interfere with one group. */
struct cw_interfere_peer {
    uint64_t group;
    double on_it; /* effect of the other group on this one */
    double by_it; /* and of this one on the other */
};

/* The groups that are known to interfere with a group, in either direction;
 * returns how many. Valid until the next call on the table. */
size_t cw_interfere_peers(struct cw_interfere *it, uint64_t group,
                          const struct cw_interfere_peer **out);
size_t cw_interfere_known(const struct cw_interfere *it);
size_t cw_interfere_pair_count(const struct cw_interfere *it);

#endif
