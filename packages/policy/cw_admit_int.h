/* Parts of the admission queue that its source files share. */
#ifndef CW_ADMIT_INT_H
#define CW_ADMIT_INT_H

#include "cuminwalk.h"

/* The waiting requests of one caller and priority; exists while it has any. */
struct cw_admit_flow {
    uint64_t caller;
    enum cw_priority priority;
    uint32_t count;
    uint64_t deficit;
    struct cw_admit_item *first, *last;
    struct cw_admit_flow *prev, *next; /* ring of callers in turn */
    struct cw_admit_flow *chain;       /* in the bucket */
};

size_t cw_admit_bucket(uint64_t caller);
struct cw_admit_flow *cw_admit_flow(const struct cw_admit *q, uint64_t caller,
                                    enum cw_priority priority);
/* The caller with most requests in a ring, or NULL. */
struct cw_admit_flow *cw_admit_longest(struct cw_admit_flow *ring);
/* Priority and caller as the parameters let them count. */
enum cw_priority cw_admit_class(const struct cw_admit *q, enum cw_priority p);
uint64_t cw_admit_caller(const struct cw_admit *q, uint64_t caller);

/* Served per ms, lowered when nothing was served of late; 0 = unknown. */
double cw_admit_rate(const struct cw_admit *q, cw_ms now);
/* cw_admit_wait_ms for a request with the given deadline. */
double cw_admit_wait_of(const struct cw_admit *q, uint64_t caller,
                        enum cw_priority priority, cw_ms deadline, cw_ms now);
/* Sets turns[i] to the requests served, from ahead on, until each caller of
 * the ring had i + 1 turns; returns the number of callers. */
uint32_t cw_admit_turns(const struct cw_admit_flow *ring, uint32_t ahead,
                        uint32_t *turns, uint32_t count);

void cw_admit_rate_start(struct cw_admit *q, cw_ms now);
void cw_admit_rate_count(struct cw_admit *q, cw_ms now);
void cw_admit_rate_stop(struct cw_admit *q, cw_ms now);

#endif
