/* Batches idempotency key records: which records one append contains and when
 * it is sent. */
#include "cuminwalk.h"

#include <string.h>

struct cw_batch_params
cw_batch_defaults(void)
{
    return (struct cw_batch_params){.every_ms = 50,
                                    .max_records = 256,
                                    .max_waiting = 4096,
                                    .max_in_flight = 4};
}

void
cw_batch_init(struct cw_batch *b, struct cw_batch_params params)
{
    memset(b, 0, sizeof(*b));
    b->params = params;
    b->last = -1;
}

enum cw_status
cw_batch_add(struct cw_batch *b, struct cw_batch_item *item, bool force)
{
    if (!force && b->waiting >= b->params.max_waiting) {
        return CW_ERR_LIMIT;
    }
    item->waiting = true;
    item->next = NULL;
    item->prev = b->newest;
    *(b->newest ? &b->newest->next : &b->first) = item;
    b->newest = item;
    b->waiting++;
    return CW_OK;
}

bool
cw_batch_cancel(struct cw_batch *b, struct cw_batch_item *item)
{
    if (!item->waiting) {
        return false;
    }
    *(item->prev ? &item->prev->next : &b->first) = item->next;
    *(item->next ? &item->next->prev : &b->newest) = item->prev;
    item->waiting = false;
    b->waiting--;
    return true;
}

cw_ms
cw_batch_wait_ms(const struct cw_batch *b, cw_ms now)
{
    if (b->waiting == 0 || b->in_flight >= b->params.max_in_flight) {
        return -1;
    }
    cw_ms due = b->last < 0 ? now : b->last + b->params.every_ms;
    return due > now ? due - now : 0;
}

uint32_t
cw_batch_take(struct cw_batch *b, cw_ms now, struct cw_batch_item **out,
              uint32_t max)
{
    if (cw_batch_wait_ms(b, now) != 0) {
        return 0;
    }
    uint32_t n = 0;
    /* With batching off each record is an append of its own. */
    uint32_t limit = b->params.every_ms > 0 ? b->params.max_records : 1;
    while (n < max && n < limit && b->first != NULL) {
        out[n] = b->first;
        (void)cw_batch_cancel(b, out[n++]);
    }
    if (n > 0) {
        b->last = now;
        b->in_flight++;
    }
    return n;
}

void
cw_batch_append_answered(struct cw_batch *b)
{
    CW_INVARIANT(b->in_flight > 0);
    b->in_flight--;
}
