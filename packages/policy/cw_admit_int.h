/* Internals of the admission queue, shared by its source files. */
#ifndef CW_ADMIT_INT_H
#define CW_ADMIT_INT_H

#include "cuminwalk.h"

/* The waiting requests of one caller and priority. A flow without requests is
 * freed. */
struct cw_admit_flow {
    uint64_t caller;
    enum cw_priority priority;
    uint32_t count;
    uint64_t deficit; /* of deficit round robin, in cost units */
    struct cw_admit_item *first, *last;
    struct cw_admit_flow *prev, *next; /* ring in round-robin order */
    struct cw_admit_flow *chain;       /* next in the hash bucket */
};

size_t cw_admit_bucket(uint64_t caller);
struct cw_admit_flow *cw_admit_find_flow(const struct cw_admit *q,
                                         uint64_t caller,
                                         enum cw_priority priority);
/* The flow with the most requests in a ring; NULL when the ring is empty. */
struct cw_admit_flow *cw_admit_longest_flow(struct cw_admit_flow *ring);
/* CW_NORMAL unless params.priorities; the caller 0 unless params.fair. */
enum cw_priority cw_admit_effective_priority(const struct cw_admit *q,
                                             enum cw_priority p);
uint64_t cw_admit_effective_caller(const struct cw_admit *q, uint64_t caller);

/* Requests served per ms, lowered when none has been served for longer than
 * the rate explains; 0 = unknown. */
double cw_admit_rate(const struct cw_admit *q, cw_ms now);
/* cw_admit_wait_ms for a request with the given deadline. */
double cw_admit_deadline_wait_ms(const struct cw_admit *q, uint64_t caller,
                                 enum cw_priority priority, cw_ms deadline,
                                 cw_ms now);
/* Sets turns[i] to ahead plus the number of requests served once each caller
 * of the ring has had i + 1 turns; returns the number of callers. */
uint32_t cw_admit_served_by_turn(const struct cw_admit_flow *ring,
                                 uint32_t ahead, uint32_t *turns,
                                 uint32_t count);

void cw_admit_rate_start(struct cw_admit *q, cw_ms now);
void cw_admit_rate_count(struct cw_admit *q, cw_ms now);
void cw_admit_rate_stop(struct cw_admit *q, cw_ms now);

#endif
