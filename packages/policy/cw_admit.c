/* Admission queue of one service: commands. */
#include "cw_admit_int.h"

#include <stdlib.h>
#include <string.h>

/* Time over which a service rate is measured, and its weight in the average.
 * With shorter slices the few dozen requests a second of one daemon and
 * service made the rate vary so much that sweeps shed requests in good time.
 */
#define SLICE_MS 500
#define RATE_WEIGHT 0.2
#define SERVICE_WEIGHT 0.1
#define COST_MAX 64 /* quanta */

#define SWEEP_MS 50
#define SWEEP_TURNS 512
/* The measured rate varies by some tens of percent, and a request that is shed
 * for that cannot be called back. At 1.25 the bench lost 2 points of goodput
 * more; at 2 it answered twice as many too late. */
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
make_flow(struct cw_admit *q, uint64_t caller, enum cw_priority priority)
{
    struct cw_admit_flow *f = cw_admit_flow(q, caller, priority);
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
    /* Last in the round: before the head of the ring. */
    struct cw_admit_flow **head = &q->rounds[priority];
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
    struct cw_admit_flow **head = &q->rounds[f->priority];
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

/* Links an item into its flow: last, or by deadline. */
static void
insert(struct cw_admit *q, struct cw_admit_flow *f, struct cw_admit_item *item)
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
append(struct cw_admit *q, struct cw_admit_flow *f, struct cw_admit_item *item)
{
    item->flow = f;
    item->shed = false;
    insert(q, f, item);
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

/* On a full queue: the newest request of the caller with most requests among
 * the lowest priority that waits, if that is fairer than refusing the one that
 * arrives. */
static struct cw_admit_item *
choose_victim(const struct cw_admit *q, uint64_t caller, enum cw_priority p)
{
    int lowest = CW_PRIORITIES - 1;
    while (lowest > 0 && q->rounds[lowest] == NULL) {
        lowest--;
    }
    struct cw_admit_flow *longest = cw_admit_longest(q->rounds[lowest]);
    if (longest == NULL || (int)p > lowest) {
        return NULL;
    }
    if ((int)p < lowest) {
        return longest->last;
    }
    const struct cw_admit_flow *own = cw_admit_flow(q, caller, p);
    uint32_t own_count = own ? own->count : 0;
    return q->params.fair && own_count + 1 < longest->count ? longest->last
                                                            : NULL;
}

enum cw_admit_verdict
cw_admit_offer(struct cw_admit *q, struct cw_admit_item *item, cw_ms now,
               struct cw_admit_item **evicted)
{
    *evicted = NULL;
    enum cw_priority p = cw_admit_class(q, item->priority);
    uint64_t caller = cw_admit_caller(q, item->caller);
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
    struct cw_admit_flow *f = make_flow(q, caller, p);
    if (f == NULL) {
        *evicted = NULL;
        return CW_ADMIT_FULL;
    }
    item->queued = now;
    /* A cost far above the quantum would only lengthen the rounds. */
    uint32_t most = COST_MAX * q->params.quantum;
    item->cost = item->cost == 0 ? 1 : item->cost > most ? most : item->cost;
    append(q, f, item);
    if (q->count == 1) {
        q->busy_since = now;
        cw_admit_rate_start(q, now);
    }
    if (*evicted != NULL) {
        detach(q, *evicted, now);
    }
    return CW_ADMIT_QUEUED;
}

/* The oldest or newest request of a caller that can still be sent in time. */
static struct cw_admit_item *
first_alive(struct cw_admit_flow *f, bool lifo, cw_ms now)
{
    struct cw_admit_item *i = lifo ? f->last : f->first;
    while (i != NULL && i->deadline <= now) {
        i = lifo ? i->prev : i->next;
    }
    return i;
}

/* Deficit round robin: a caller at its turn may spend its deficit, which grows
 * by the quantum at the start of each turn. */
static struct cw_admit_item *
take_round(struct cw_admit *q, struct cw_admit_flow **head, cw_ms now)
{
    bool lifo = cw_admit_lifo(q, now);
    bool any = true;
    while (any && *head != NULL) {
        any = false;
        struct cw_admit_flow *stop = *head;
        do {
            struct cw_admit_flow *f = *head;
            struct cw_admit_item *i = first_alive(f, lifo, now);
            any = any || i != NULL;
            if (i != NULL && f->deficit >= i->cost) {
                f->deficit -= i->cost;
                return i;
            }
            /* The turn ends: the next caller gets its quantum. */
            *head = f->next;
            (*head)->deficit += q->params.quantum;
        } while (*head != stop);
    }
    return NULL;
}

struct cw_admit_item *
cw_admit_next(struct cw_admit *q, cw_ms now)
{
    for (int p = 0; p < CW_PRIORITIES; p++) {
        struct cw_admit_item *i = take_round(q, &q->rounds[p], now);
        if (i != NULL) {
            cw_admit_rate_count(q, now);
            detach(q, i, now);
            return i;
        }
    }
    return NULL;
}

static void
shed(struct cw_admit *q, struct cw_admit_item *item, cw_ms now)
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
unshed(struct cw_admit *q, struct cw_admit_item *item)
{
    *(item->prev ? &item->prev->next : &q->shed) = item->next;
    if (item->next != NULL) {
        item->next->prev = item->prev;
    }
    item->shed = false;
}

/* Sheds the requests of a caller that would be sent too late. turns[i] is the
 * number of requests served before and with the i-th of this caller. */
static void
sweep_flow(struct cw_admit *q, struct cw_admit_flow *f, const uint32_t *turns,
           double rate, cw_ms now)
{
    bool lifo = cw_admit_lifo(q, now);
    struct cw_admit_item *i = lifo ? f->last : f->first;
    uint32_t left = f->count;
    uint32_t at = 0;
    /* The flow is freed with its last request. */
    while (left-- > 0) {
        struct cw_admit_item *following = lifo ? i->prev : i->next;
        uint32_t capped = at < SWEEP_TURNS ? at : SWEEP_TURNS - 1;
        double wait = (turns[capped] + (at - capped)) / rate;
        if (wait + q->service_ms > SWEEP_SLACK * (double)(i->deadline - now)) {
            shed(q, i, now);
        }
        else {
            at++;
        }
        i = following;
    }
}

/* Requests that were admitted in time fall behind when others overtake them or
 * the rate falls. Telling them at once is better than at their deadline. */
static void
sweep(struct cw_admit *q, cw_ms now)
{
    double rate = cw_admit_rate(q, now);
    if (rate <= 0) {
        return;
    }
    uint32_t turns[SWEEP_TURNS];
    uint32_t ahead = 0;
    for (int p = 0; p < CW_PRIORITIES; p++) {
        uint32_t flows =
            cw_admit_turns(q->rounds[p], ahead, turns, SWEEP_TURNS);
        struct cw_admit_flow *f = q->rounds[p];
        while (flows-- > 0) {
            struct cw_admit_flow *following = f->next;
            ahead += f->count;
            sweep_flow(q, f, turns, rate, now);
            f = following;
        }
    }
}

struct cw_admit_item *
cw_admit_expired(struct cw_admit *q, cw_ms now)
{
    if (q->params.sweep && now - q->swept >= SWEEP_MS) {
        q->swept = now;
        sweep(q, now);
    }
    struct cw_admit_item *i = q->shed;
    if (i != NULL) {
        unshed(q, i);
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
        unshed(q, item);
        return;
    }
    CW_INVARIANT(item->flow != NULL);
    detach(q, item, now);
}

void
cw_admit_served(struct cw_admit *q, double service_ms, cw_ms now)
{
    (void)now;
    q->service_ms =
        q->service_ms > 0
            ? q->service_ms + SERVICE_WEIGHT * (service_ms - q->service_ms)
            : service_ms;
}

/* The rate is measured only while requests wait: without a queue, departures
 * show the demand and not the capacity. */
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
    if (length >= SLICE_MS) {
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
