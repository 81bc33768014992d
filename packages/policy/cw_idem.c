/* Idempotency intents of one stream, in log order: functions that change the
 * table. */
#include "cw_idem_int.h"

#include <stdlib.h>
#include <string.h>

#define INITIAL_CAP 64
#define EXPIRE_SCANS_PER_WINDOW 64 /* at most */

struct cw_idem_params
cw_idem_defaults(void)
{
    return (struct cw_idem_params){
        .window_ms = 10 * CW_MINUTE, .max_items = 600000, .first_wins = true};
}

void
cw_idem_init(struct cw_idem *t, struct cw_idem_params params)
{
    memset(t, 0, sizeof(*t));
    t->params = params;
    /* No part of the window counts as read until cw_idem_start_replay. */
    t->known_since = INT64_MAX;
}

void
cw_idem_finish(struct cw_idem *t)
{
    free(t->items);
    memset(t, 0, sizeof(*t));
}

void
cw_idem_start_replay(struct cw_idem *t, cw_ms since)
{
    struct cw_idem_params params = t->params;
    cw_idem_finish(t);
    cw_idem_init(t, params);
    t->known_since = since;
}

static void
insert_item(struct cw_idem_item *items, uint32_t cap,
            const struct cw_idem_item *item)
{
    uint32_t i = cw_idem_home_bucket(item->hash, cap);
    while (items[i].state != CW_ITEM_EMPTY) {
        i = (i + 1) % cap;
    }
    items[i] = *item;
}

/* Rehashes the items into a table of cap buckets and drops those whose window
 * ended before time. */
static bool
rebuild(struct cw_idem *t, uint32_t cap, cw_ms time)
{
    struct cw_idem_item *items = calloc(cap, sizeof(*items));
    if (items == NULL) {
        return false;
    }
    uint32_t n = 0;
    for (uint32_t i = 0; i < t->cap; i++) {
        const struct cw_idem_item *it = &t->items[i];
        if (it->state != CW_ITEM_EMPTY && cw_idem_in_window(t, it, time)) {
            insert_item(items, cap, it);
            n++;
        }
    }
    free(t->items);
    t->items = items;
    t->cap = cap;
    t->count = n;
    return true;
}

/* Number of buckets for n items at a load factor of at most 2/3. */
static uint32_t
cap_for(uint32_t n)
{
    uint32_t cap = INITIAL_CAP;
    while (cap / 3 * 2 < n) {
        cap *= 2;
    }
    return cap;
}

void
cw_idem_expire(struct cw_idem *t, cw_ms time)
{
    t->expired = time;
    uint32_t live = 0;
    for (uint32_t i = 0; i < t->cap; i++) {
        live += t->items[i].state != CW_ITEM_EMPTY &&
                cw_idem_in_window(t, &t->items[i], time);
    }
    if (live < t->count) {
        /* When memory is short the expired items stay; they have no effect. */
        (void)rebuild(t, cap_for(live + live / 2 + 1), time);
    }
}

static bool
ensure_capacity(struct cw_idem *t)
{
    if (t->count + 1 <= t->cap / 3 * 2 && t->count < t->params.max_items) {
        return true;
    }
    /* Expiry scans the whole table: one scan per intent would stall a daemon
     * whose table is full. */
    if (t->log_time - t->expired >=
        t->params.window_ms / EXPIRE_SCANS_PER_WINDOW) {
        cw_idem_expire(t, t->log_time);
    }
    if (t->count >= t->params.max_items) {
        return false;
    }
    uint32_t cap = cap_for(t->count + 1);
    return cap <= t->cap || rebuild(t, cap, t->log_time);
}

static enum cw_idem_verdict
store_intent(struct cw_idem *t, const struct cw_idem_item *item)
{
    struct cw_idem_item *it = cw_idem_lookup(t, item->hash);
    if (it != NULL) {
        *it = *item;
        return CW_IDEM_FIRST;
    }
    if (!ensure_capacity(t)) {
        /* The intent holds its key but cannot be stored. Until one window
         * after it, no later intent can be shown to be the first for its key,
         * so the table counts as not read up to here. */
        t->known_since = t->log_time + 1;
        return CW_IDEM_NOT_KNOWN;
    }
    insert_item(t->items, t->cap, item);
    t->count++;
    return CW_IDEM_FIRST;
}

static enum cw_idem_verdict
apply_intent(struct cw_idem *t, const struct cw_idem_item *item,
             uint16_t *status)
{
    const struct cw_idem_item *old = cw_idem_lookup(t, item->hash);
    bool window_known = t->known_since <= 0 ||
                        t->known_since <= item->time - t->params.window_ms;
    if (old != NULL && cw_idem_in_window(t, old, item->time) &&
        (old->state != CW_ITEM_RELEASED || old->request == item->request) &&
        t->params.first_wins) {
        *status = old->status;
        return old->state == CW_ITEM_DONE ? CW_IDEM_ALREADY_RUN
                                          : CW_IDEM_IN_USE;
    }
    enum cw_idem_verdict verdict = store_intent(t, item);
    return window_known ? verdict : CW_IDEM_NOT_KNOWN;
}

static enum cw_idem_verdict
apply_completion(struct cw_idem *t, const struct cw_idem_record *r,
                 uint64_t request)
{
    struct cw_idem_item *it = cw_idem_lookup(t, r->hash);
    if (it == NULL || it->request != request || it->state != CW_ITEM_OPEN) {
        return CW_IDEM_IN_USE;
    }
    it->state = r->kind == CW_IDEM_DONE ? CW_ITEM_DONE : CW_ITEM_RELEASED;
    it->status = r->kind == CW_IDEM_DONE ? r->status : 0;
    return CW_IDEM_FIRST;
}

enum cw_idem_verdict
cw_idem_apply(struct cw_idem *t, uint64_t offset, cw_ms time,
              const struct cw_idem_record *r, uint16_t *status)
{
    *status = 0;
    if (offset <= t->applied) {
        return CW_IDEM_IN_USE;
    }
    t->applied = offset;
    t->log_time = time > t->log_time ? time : t->log_time;
    uint64_t request = cw_hash(cw_name_str(&r->request), 0);
    if (r->kind != CW_IDEM_INTENT) {
        return apply_completion(t, r, request);
    }
    struct cw_idem_item item = {.hash = r->hash,
                                .request = request,
                                .time = t->log_time,
                                .state = CW_ITEM_OPEN};
    return apply_intent(t, &item, status);
}
