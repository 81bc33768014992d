/* Admission queue of one service: functions that change it. */
#include "cw_admit_int.h"

#include <stdlib.h>
#include <string.h>

/* Length of one service rate measurement and its weight in the moving average.
 * One daemon serves a few dozen requests per second of a service: with shorter
 * slices the rate is so noisy that sweeps shed requests that would still be
 * sent in time. */
#define RATE_SLICE_MS 500
#define RATE_WEIGHT 0.2
#define SERVICE_TIME_WEIGHT 0.1
#define COST_MAX_QUANTA 64

#define SWEEP_INTERVAL_MS 50
#define SWEEP_TURNS_MAX 512
/* A sweep sheds a request only when its expected time exceeds the time left by
 * this factor: the rate estimate is off by tens of percent, and shedding is
 * final. 1.25 costs 2 percentage points of goodput; 2 doubles the number of
 * requests answered after their deadline. */
#define SWEEP_SLACK 1.5

struct cw_admit_params
cw_admit_defaults(void)
{
    return (struct cw_admit_params){.bound = 512,
                                    .early_refuse = true,
                                    .sweep = true,
                                    .fair = true,
                                    .priorities = true,
                                    .order = CW_ORDER_DEADLINE,
                                    .lifo_after_ms = CW_SECOND,
                                    .quantum = 1};
}

void
cw_admit_init(struct cw_admit *q, struct cw_admit_params params)
{
    memset(q, 0, sizeof(*q));
    q->params = params;
    q->busy_since = -1;
    q->slice_start = -1;
}

void
cw_admit_finish(struct cw_admit *q)
{
    CW_INVARIANT(q->count == 0 && q->shed == NULL);
    memset(q, 0, sizeof(*q));
}

static struct cw_admit_flow *
find_or_create_flow(struct cw_admit *q, uint64_t caller,
                    enum cw_priority priority)
{
    struct cw_admit_flow *f = cw_admit_find_flow(q, caller, priority);
    if (f != NULL) {
        return f;
    }
    f = calloc(1, sizeof(*f));
    if (f == NULL) {
        return NULL;
    }
    f->caller = caller;
    f->priority = priority;
    size_t b = cw_admit_bucket(caller);
    f->chain = q->buckets[b];
    q->buckets[b] = f;
    /* Just before the head of the ring, so that its turn comes last. */
    struct cw_admit_flow **head = &q->rings[priority];
    if (*head == NULL) {
        f->prev = f->next = f;
        f->deficit = q->params.quantum;
        *head = f;
    }
    else {
        f->next = *head;
        f->prev = (*head)->prev;
        f->prev->next = f;
        f->next->prev = f;
    }
    return f;
}

static void
free_flow(struct cw_admit *q, struct cw_admit_flow *f)
{
    struct cw_admit_flow **head = &q->rings[f->priority];
    if (*head == f) {
        *head = f->next == f ? NULL : f->next;
        f->next->deficit += q->params.quantum;
    }
    f->prev->next = f->next;
    f->next->prev = f->prev;
    struct cw_admit_flow **link = &q->buckets[cw_admit_bucket(f->caller)];
    while (*link != f) {
        link = &(*link)->chain;
    }
    *link = f->chain;
    free(f);
}

/* Links an item into its flow: at the end, or sorted by deadline. */
static void
link_into_flow(struct cw_admit *q, struct cw_admit_flow *f,
               struct cw_admit_item *item)
{
    struct cw_admit_item *before = f->last;
    while (q->params.order == CW_ORDER_DEADLINE && before != NULL &&
           before->deadline > item->deadline) {
        before = before->prev;
    }
    item->prev = before;
    item->next = before ? before->next : f->first;
    *(item->next ? &item->next->prev : &f->last) = item;
    *(before ? &before->next : &f->first) = item;
}

static void
enqueue(struct cw_admit *q, struct cw_admit_flow *f,
        struct cw_admit_item *item)
{
    item->flow = f;
    item->shed = false;
    link_into_flow(q, f, item);
    f->count++;
    item->all_next = NULL;
    item->all_prev = q->all_last;
    *(q->all_last ? &q->all_last->all_next : &q->all_first) = item;
    q->all_last = item;
    q->count++;
}

static void
detach(struct cw_admit *q, struct cw_admit_item *item, cw_ms now)
{
    struct cw_admit_flow *f = item->flow;
    *(item->prev ? &item->prev->next : &f->first) = item->next;
    *(item->next ? &item->next->prev : &f->last) = item->prev;
    *(item->all_prev ? &item->all_prev->all_next : &q->all_first) =
        item->all_next;
    *(item->all_next ? &item->all_next->all_prev : &q->all_last) =
        item->all_prev;
    item->flow = NULL;
    q->count--;
    if (--f->count == 0) {
        free_flow(q, f);
    }
    if (q->count == 0) {
        cw_admit_rate_stop(q, now);
        q->busy_since = -1;
    }
}

/* Chooses the request that a full queue drops for a new one: the last request
 * of the caller with the most requests at the lowest priority present. Returns
 * NULL when the new request is to be refused instead: its priority is lower,
 * or it has the same priority and its caller would not have fewer requests
 * (without params.fair, whatever the counts). */
static struct cw_admit_item *
choose_victim(const struct cw_admit *q, uint64_t caller, enum cw_priority p)
{
    int lowest = CW_PRIORITIES - 1;
    while (lowest > 0 && q->rings[lowest] == NULL) {
        lowest--;
    }
    struct cw_admit_flow *longest = cw_admit_longest_flow(q->rings[lowest]);
    if (longest == NULL || (int)p > lowest) {
        return NULL;
    }
    if ((int)p < lowest) {
        return longest->last;
    }
    const struct cw_admit_flow *own = cw_admit_find_flow(q, caller, p);
    uint32_t own_count = own ? own->count : 0;
    return q->params.fair && own_count + 1 < longest->count ? longest->last
                                                            : NULL;
}

enum cw_admit_verdict
cw_admit_offer(struct cw_admit *q, struct cw_admit_item *item, cw_ms now,
               struct cw_admit_item **evicted)
{
    *evicted = NULL;
    enum cw_priority p = cw_admit_effective_priority(q, item->priority);
    uint64_t caller = cw_admit_effective_caller(q, item->caller);
    if (item->deadline <= now ||
        (q->params.early_refuse &&
         cw_admit_late(q, item->caller, item->priority, item->deadline,
                       now))) {
        return CW_ADMIT_LATE;
    }
    if (q->params.bound > 0 && q->count >= q->params.bound) {
        *evicted = choose_victim(q, caller, p);
        if (*evicted == NULL) {
            return CW_ADMIT_FULL;
        }
    }
    struct cw_admit_flow *f = find_or_create_flow(q, caller, p);
    if (f == NULL) {
        *evicted = NULL;
        return CW_ADMIT_FULL;
    }
    item->queued = now;
    /* A cost far above the quantum would only add turns in which the caller
     * builds up deficit. */
    uint32_t cost_max = COST_MAX_QUANTA * q->params.quantum;
    item->cost = item->cost == 0         ? 1
                 : item->cost > cost_max ? cost_max
                                         : item->cost;
    enqueue(q, f, item);
    if (q->count == 1) {
        q->busy_since = now;
        cw_admit_rate_start(q, now);
    }
    if (*evicted != NULL) {
        detach(q, *evicted, now);
    }
    return CW_ADMIT_QUEUED;
}

/* The first request of a flow in serving order whose deadline has not passed.
 */
static struct cw_admit_item *
first_unexpired(struct cw_admit_flow *f, bool lifo, cw_ms now)
{
    struct cw_admit_item *i = lifo ? f->last : f->first;
    while (i != NULL && i->deadline <= now) {
        i = lifo ? i->prev : i->next;
    }
    return i;
}

/* Deficit round robin: a caller's deficit grows by the quantum at the start of
 * each of its turns, and during the turn it may send requests up to that cost.
 */
static struct cw_admit_item *
choose_from_ring(struct cw_admit *q, struct cw_admit_flow **head, cw_ms now)
{
    bool lifo = cw_admit_lifo(q, now);
    bool any_unexpired = true;
    while (any_unexpired && *head != NULL) {
        any_unexpired = false;
        struct cw_admit_flow *start = *head;
        do {
            struct cw_admit_flow *f = *head;
            struct cw_admit_item *i = first_unexpired(f, lifo, now);
            any_unexpired = any_unexpired || i != NULL;
            if (i != NULL && f->deficit >= i->cost) {
                f->deficit -= i->cost;
                return i;
            }
            /* This caller's turn ends; the next one starts with its quantum.
             */
            *head = f->next;
            (*head)->deficit += q->params.quantum;
        } while (*head != start);
    }
    return NULL;
}

struct cw_admit_item *
cw_admit_dequeue(struct cw_admit *q, cw_ms now)
{
    for (int p = 0; p < CW_PRIORITIES; p++) {
        struct cw_admit_item *i = choose_from_ring(q, &q->rings[p], now);
        if (i != NULL) {
            cw_admit_rate_count(q, now);
            detach(q, i, now);
            return i;
        }
    }
    return NULL;
}

static void
shed_item(struct cw_admit *q, struct cw_admit_item *item, cw_ms now)
{
    detach(q, item, now);
    item->shed = true;
    item->prev = NULL;
    item->next = q->shed;
    if (q->shed != NULL) {
        q->shed->prev = item;
    }
    q->shed = item;
}

static void
remove_shed(struct cw_admit *q, struct cw_admit_item *item)
{
    *(item->prev ? &item->prev->next : &q->shed) = item->next;
    if (item->next != NULL) {
        item->next->prev = item->prev;
    }
    item->shed = false;
}

/* Sheds the requests of a flow that would be sent too late. turns[i] is the
 * number of requests served up to and including the i-th of this caller. */
static void
sweep_flow(struct cw_admit *q, struct cw_admit_flow *f, const uint32_t *turns,
           double rate, cw_ms now)
{
    bool lifo = cw_admit_lifo(q, now);
    struct cw_admit_item *i = lifo ? f->last : f->first;
    uint32_t remaining = f->count;
    uint32_t kept = 0;
    /* Counts down because shedding the last request frees the flow. */
    while (remaining-- > 0) {
        struct cw_admit_item *following = lifo ? i->prev : i->next;
        uint32_t capped = kept < SWEEP_TURNS_MAX ? kept : SWEEP_TURNS_MAX - 1;
        double wait = (turns[capped] + (kept - capped)) / rate;
        if (wait + q->service_ms > SWEEP_SLACK * (double)(i->deadline - now)) {
            shed_item(q, i, now);
        }
        else {
            kept++;
        }
        i = following;
    }
}

/* Sheds requests that can no longer be sent in time, because requests queued
 * after them go first or because the service rate has dropped. Their callers
 * get the refusal now rather than at the deadline. */
static void
sweep_queue(struct cw_admit *q, cw_ms now)
{
    double rate = cw_admit_rate(q, now);
    if (rate <= 0) {
        return;
    }
    uint32_t turns[SWEEP_TURNS_MAX];
    uint32_t ahead = 0;
    for (int p = 0; p < CW_PRIORITIES; p++) {
        uint32_t flows = cw_admit_served_by_turn(q->rings[p], ahead, turns,
                                                 SWEEP_TURNS_MAX);
        struct cw_admit_flow *f = q->rings[p];
        while (flows-- > 0) {
            struct cw_admit_flow *following = f->next;
            ahead += f->count;
            sweep_flow(q, f, turns, rate, now);
            f = following;
        }
    }
}

struct cw_admit_item *
cw_admit_dequeue_expired(struct cw_admit *q, cw_ms now)
{
    if (q->params.sweep && now - q->last_sweep >= SWEEP_INTERVAL_MS) {
        q->last_sweep = now;
        sweep_queue(q, now);
    }
    struct cw_admit_item *i = q->shed;
    if (i != NULL) {
        remove_shed(q, i);
        return i;
    }
    for (i = q->all_first; i != NULL; i = i->all_next) {
        if (i->deadline <= now) {
            detach(q, i, now);
            return i;
        }
    }
    return NULL;
}

void
cw_admit_remove(struct cw_admit *q, struct cw_admit_item *item, cw_ms now)
{
    if (item->shed) {
        remove_shed(q, item);
        return;
    }
    CW_INVARIANT(item->flow != NULL);
    detach(q, item, now);
}

void
cw_admit_record_service_time(struct cw_admit *q, double service_ms, cw_ms now)
{
    (void)now;
    q->service_ms = q->service_ms > 0
                        ? q->service_ms + SERVICE_TIME_WEIGHT *
                                              (service_ms - q->service_ms)
                        : service_ms;
}

/* The rate is measured only while requests wait: with an empty queue, the
 * departure rate shows the demand and not the capacity. */
void
cw_admit_rate_start(struct cw_admit *q, cw_ms now)
{
    q->slice_start = now;
    q->slice_served = 0;
    q->last_served = now;
}

void
cw_admit_rate_count(struct cw_admit *q, cw_ms now)
{
    q->slice_served++;
    q->last_served = now;
    cw_ms length = now - q->slice_start;
    if (length >= RATE_SLICE_MS) {
        double rate = (double)q->slice_served / (double)length;
        q->rate =
            q->rate > 0 ? q->rate + RATE_WEIGHT * (rate - q->rate) : rate;
        q->slice_start = now;
        q->slice_served = 0;
    }
}

void
cw_admit_rate_stop(struct cw_admit *q, cw_ms now)
{
    (void)now;
    q->slice_start = -1;
}
