/* Endpoints that are leaving the service, as known from several sources of
 * which some lag. */
#include "cuminwalk.h"

#include <stdlib.h>
#include <string.h>

struct cw_leaving_params
cw_leaving_defaults(void)
{
    return (struct cw_leaving_params){.sticky = true,
                                      .settle_ms = 10 * CW_SECOND};
}

void
cw_leaving_init(struct cw_leaving *l, struct cw_leaving_params params)
{
    memset(l, 0, sizeof(*l));
    l->params = params;
}

void
cw_leaving_finish(struct cw_leaving *l)
{
    free(l->items);
    memset(l, 0, sizeof(*l));
}

/* Index of the VM's entry, or where it is to be inserted. */
static size_t
lower_bound(const struct cw_leaving *l, struct cw_str vm)
{
    size_t lo = 0;
    size_t hi = l->count;
    while (lo < hi) {
        size_t mid = lo + (hi - lo) / 2;
        if (cw_str_cmp(cw_name_str(&l->items[mid].vm), vm) < 0) {
            lo = mid + 1;
        }
        else {
            hi = mid;
        }
    }
    return lo;
}

static struct cw_leaving_entry *
find_entry(const struct cw_leaving *l, struct cw_str vm)
{
    size_t i = lower_bound(l, vm);
    if (i < l->count && cw_str_eq(cw_name_str(&l->items[i].vm), vm)) {
        return &l->items[i];
    }
    return NULL;
}

static struct cw_leaving_entry *
insert_entry(struct cw_leaving *l, struct cw_str vm)
{
    if (l->items == NULL || l->count == l->cap) {
        size_t cap = l->cap ? 2 * l->cap : 16;
        void *p = realloc(l->items, cap * sizeof(*l->items));
        if (p == NULL) {
            return NULL;
        }
        l->items = p;
        l->cap = cap;
    }
    size_t i = lower_bound(l, vm);
    memmove(&l->items[i + 1], &l->items[i],
            (l->count - i) * sizeof(*l->items));
    l->count++;
    memset(&l->items[i], 0, sizeof(l->items[i]));
    CW_INVARIANT(cw_name_set(&l->items[i].vm, vm) == CW_OK);
    return &l->items[i];
}

enum cw_status
cw_leaving_add_signal(struct cw_leaving *l, struct cw_str vm,
                      uint64_t incarnation, enum cw_leaving_source source,
                      cw_ms now, bool *first)
{
    *first = false;
    struct cw_leaving_entry *e = find_entry(l, vm);
    if (e == NULL) {
        e = insert_entry(l, vm);
        if (e == NULL) {
            return CW_ERR_NOMEM;
        }
        e->incarnation = incarnation;
    }
    if (incarnation < e->incarnation) {
        return CW_OK;
    }
    if (incarnation > e->incarnation) {
        e->incarnation = incarnation;
        e->signals = 0;
        e->settle_until = 0;
    }
    bool may_lag = source != CW_LEAVING_OP && source != CW_LEAVING_PROBE;
    if (may_lag && now < e->settle_until) {
        return CW_OK;
    }
    if (e->signals == 0) {
        *first = true;
        e->first = source;
        e->since = now;
    }
    e->signals |= (uint8_t)(1U << source);
    return CW_OK;
}

static void
clear_signals(struct cw_leaving *l, struct cw_str vm, uint64_t incarnation,
              uint8_t signals)
{
    struct cw_leaving_entry *e = find_entry(l, vm);
    if (e != NULL && e->incarnation == incarnation) {
        e->signals &= (uint8_t)~signals;
    }
}

void
cw_leaving_list_live(struct cw_leaving *l, struct cw_str vm,
                     uint64_t incarnation)
{
    if (!l->params.sticky) {
        clear_signals(l, vm, incarnation, UINT8_MAX);
    }
}

void
cw_leaving_probe_ok(struct cw_leaving *l, struct cw_str vm,
                    uint64_t incarnation)
{
    clear_signals(l, vm, incarnation, 1U << CW_LEAVING_PROBE);
}

void
cw_leaving_cancelled(struct cw_leaving *l, struct cw_str vm,
                     uint64_t incarnation, cw_ms now)
{
    clear_signals(l, vm, incarnation, (uint8_t) ~(1U << CW_LEAVING_PROBE));
    struct cw_leaving_entry *e = find_entry(l, vm);
    if (e != NULL && e->incarnation == incarnation) {
        e->settle_until = now + l->params.settle_ms;
    }
}

bool
cw_leaving_contains(const struct cw_leaving *l, struct cw_str vm,
                    uint64_t incarnation)
{
    const struct cw_leaving_entry *e = find_entry(l, vm);
    return e != NULL && (incarnation < e->incarnation ||
                         (incarnation == e->incarnation && e->signals != 0));
}

void
cw_leaving_remove(struct cw_leaving *l, struct cw_str vm)
{
    struct cw_leaving_entry *e = find_entry(l, vm);
    if (e != NULL) {
        size_t i = (size_t)(e - l->items);
        memmove(e, e + 1, (l->count - i - 1) * sizeof(*e));
        l->count--;
    }
}
