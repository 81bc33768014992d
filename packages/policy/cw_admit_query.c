/* Admission queue of one service: queries. */
#include "cw_admit_int.h"

#include <string.h>

/* Mean intervals without a departure after which the rate counts as stale. */
#define STALE_RATE_INTERVALS 4

bool
cw_priority_parse(struct cw_str s, enum cw_priority *out)
{
    static const char *names[CW_PRIORITIES] = {"urgent", "normal", "batch"};
    for (int i = 0; i < CW_PRIORITIES; i++) {
        if (cw_str_eq(s, cw_str_from(names[i]))) {
            *out = (enum cw_priority)i;
            return true;
        }
    }
    return false;
}

size_t
cw_admit_bucket(uint64_t caller)
{
    return cw_hash_mix(caller, 0) % 64;
}

struct cw_admit_flow *
cw_admit_find_flow(const struct cw_admit *q, uint64_t caller,
                   enum cw_priority priority)
{
    struct cw_admit_flow *f = q->buckets[cw_admit_bucket(caller)];
    while (f != NULL && (f->caller != caller || f->priority != priority)) {
        f = f->chain;
    }
    return f;
}

struct cw_admit_flow *
cw_admit_longest_flow(struct cw_admit_flow *ring)
{
    struct cw_admit_flow *best = ring;
    if (ring != NULL) {
        for (struct cw_admit_flow *f = ring->next; f != ring; f = f->next) {
            if (f->count > best->count) {
                best = f;
            }
        }
    }
    return best;
}

enum cw_priority
cw_admit_effective_priority(const struct cw_admit *q, enum cw_priority p)
{
    return q->params.priorities ? p : CW_NORMAL;
}

uint64_t
cw_admit_effective_caller(const struct cw_admit *q, uint64_t caller)
{
    return q->params.fair ? caller : 0;
}

bool
cw_admit_lifo(const struct cw_admit *q, cw_ms now)
{
    return q->params.order == CW_ORDER_ADAPTIVE && q->busy_since >= 0 &&
           now - q->busy_since > q->params.lifo_after_ms;
}

cw_ms
cw_admit_delay(const struct cw_admit *q, cw_ms now)
{
    return q->all_first != NULL ? now - q->all_first->queued : 0;
}

/* Waiting requests of the same caller that are served before a new one. */
static uint32_t
own_requests_ahead(const struct cw_admit *q, const struct cw_admit_flow *own,
                   cw_ms deadline, cw_ms now)
{
    if (own == NULL || cw_admit_lifo(q, now)) {
        return 0;
    }
    uint32_t n = own->count;
    if (q->params.order == CW_ORDER_DEADLINE) {
        for (const struct cw_admit_item *i = own->last;
             i != NULL && i->deadline > deadline; i = i->prev) {
            n--;
        }
    }
    return n;
}

/* Requests that are served before a new one: all of higher priorities, and of
 * each other caller of the same priority one per turn that the new request's
 * caller needs to reach it. */
static uint32_t
requests_ahead(const struct cw_admit *q, uint64_t caller, enum cw_priority p,
               cw_ms deadline, cw_ms now)
{
    const struct cw_admit_flow *own = cw_admit_find_flow(q, caller, p);
    uint32_t own_turns = own_requests_ahead(q, own, deadline, now) + 1;
    uint32_t n = 0;
    for (int i = 0; i <= (int)p; i++) {
        const struct cw_admit_flow *ring = q->rings[i];
        const struct cw_admit_flow *f = ring;
        while (f != NULL) {
            if (i < (int)p) {
                n += f->count;
            }
            else if (f == own) {
                n += own_turns - 1;
            }
            else {
                n += f->count < own_turns ? f->count : own_turns;
            }
            f = f->next == ring ? NULL : f->next;
        }
    }
    return n;
}

uint32_t
cw_admit_served_by_turn(const struct cw_admit_flow *ring, uint32_t ahead,
                        uint32_t *turns, uint32_t count)
{
    uint32_t flows = 0;
    memset(turns, 0, count * sizeof(*turns));
    /* First counts, per turn, the callers for which it is the last, then
     * replaces the counts by running sums. */
    for (const struct cw_admit_flow *f = ring; f != NULL;
         f = f->next == ring ? NULL : f->next) {
        turns[(f->count < count ? f->count : count) - 1]++;
        flows++;
    }
    uint32_t active = flows;
    for (uint32_t i = 0; i < count; i++) {
        uint32_t last = turns[i];
        ahead += active;
        turns[i] = ahead;
        active -= last;
    }
    return flows;
}

double
cw_admit_rate(const struct cw_admit *q, cw_ms now)
{
    /* The measured rate is stale once nothing has been served for several mean
     * intervals; shorter gaps are normal. */
    double idle_ms = (double)(now - q->last_served);
    return q->count > 0 && idle_ms * q->rate > STALE_RATE_INTERVALS
               ? STALE_RATE_INTERVALS / idle_ms
               : q->rate;
}

double
cw_admit_backlog_ms(const struct cw_admit *q, cw_ms now)
{
    double rate = cw_admit_rate(q, now);
    return rate > 0 ? q->count / rate : 0;
}

double
cw_admit_deadline_wait_ms(const struct cw_admit *q, uint64_t caller,
                          enum cw_priority priority, cw_ms deadline, cw_ms now)
{
    if (q->rate <= 0 || q->count == 0) {
        return 0;
    }
    uint32_t n = requests_ahead(q, cw_admit_effective_caller(q, caller),
                                cw_admit_effective_priority(q, priority),
                                deadline, now);
    return (n + 1) / cw_admit_rate(q, now);
}

double
cw_admit_wait_ms(const struct cw_admit *q, uint64_t caller,
                 enum cw_priority priority, cw_ms now)
{
    return cw_admit_deadline_wait_ms(q, caller, priority, INT64_MAX, now);
}

bool
cw_admit_late(const struct cw_admit *q, uint64_t caller,
              enum cw_priority priority, cw_ms deadline, cw_ms now)
{
    return cw_admit_deadline_wait_ms(q, caller, priority, deadline, now) +
               q->service_ms >
           (double)(deadline - now);
}
