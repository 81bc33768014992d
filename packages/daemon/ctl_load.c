/* Measured load of each service, summed from the stat records of all daemons.
 * It is derived from the log alone, so a new holder has the same history as
 * the one before. */
#include "cw_ctl_maint.h"

#include <stdlib.h>

/* A shed request holds no slot, so the measured slot time is scaled up by the
 * share of shed requests. This bounds the factor for a service that sheds most
 * of its requests. */
#define SHED_FACTOR_MAX 5.0

const struct cw_load_entry *
cw_loads_find(const struct cw_loads *l, const struct cw_name *service)
{
    for (size_t i = 0; i < l->count; i++) {
        if (cw_name_eq(&l->items[i]->service, service)) {
            return l->items[i];
        }
    }
    return NULL;
}

static struct cw_load_entry *
add_entry(struct cw_loads *l, const struct cw_name *service)
{
    struct cw_load_entry **grown =
        realloc(l->items, (l->count + 1) * sizeof(struct cw_load_entry *));
    if (grown == NULL) {
        return NULL;
    }
    l->items = grown;
    struct cw_load_entry *e = calloc(1, sizeof(*e));
    if (e == NULL) {
        return NULL;
    }
    e->service = *service;
    l->items[l->count++] = e;
    return e;
}

static void
clear_loads(struct cw_loads *l)
{
    for (size_t i = 0; i < l->count; i++) {
        free(l->items[i]);
    }
    l->count = 0;
    l->last_stat = NULL;
    l->covered_since = 0;
    l->covered_to = 0;
}

void
cw_loads_finish(struct cw_loads *l)
{
    clear_loads(l);
    free(l->items);
    l->items = NULL;
}

static void
add_service_counts(struct cw_loads *l, const struct cw_daemon *d,
                   const struct cw_rec_stat *r,
                   const struct cw_stat_service *s)
{
    const struct cw_doc_entry *doc =
        cw_state_doc(&d->state, cw_name_str(&s->service));
    struct cw_load_entry *e =
        (struct cw_load_entry *)cw_loads_find(l, &s->service);
    if (doc == NULL) {
        return;
    }
    if (e == NULL) {
        e = add_entry(l, &s->service);
        if (e == NULL) {
            return;
        }
        e->target = doc->doc.target;
        e->window_ms = doc->doc.window_ms;
        cw_budget_init(&e->budget, e->target, e->window_ms);
        cw_trend_init(&e->demand);
    }
    cw_budget_add(&e->budget, r->to,
                  (struct cw_counts){.ok = s->ok,
                                     .failed = s->failed,
                                     .shed = s->shed,
                                     .unknown = s->unknown});
    double served = (double)(s->ok + s->failed + s->unknown);
    double factor =
        served > 0 ? 1 + (double)s->shed / served : SHED_FACTOR_MAX;
    factor = factor < SHED_FACTOR_MAX ? factor : SHED_FACTOR_MAX;
    cw_trend_add(&e->demand, r->from, r->to, (double)s->busy_slot_ms * factor);
}

static void
add_stat_record(struct cw_loads *l, const struct cw_daemon *d,
                const struct cw_rec_stat *r)
{
    if (r->from > l->covered_to + 3 * d->settings->stat_ms) {
        l->covered_since = r->from;
    }
    l->covered_to = r->to > l->covered_to ? r->to : l->covered_to;
    for (size_t i = 0; i < r->count; i++) {
        add_service_counts(l, d, r, &r->services[i]);
    }
}

/* True when an entry's budget was initialized for another target or window
 * than its document has now. */
static bool
has_outdated_budget(const struct cw_loads *l, const struct cw_daemon *d)
{
    for (size_t i = 0; i < l->count; i++) {
        const struct cw_load_entry *e = l->items[i];
        const struct cw_doc_entry *doc =
            cw_state_doc(&d->state, cw_name_str(&e->service));
        if (doc != NULL && (doc->doc.target != e->target ||
                            doc->doc.window_ms != e->window_ms)) {
            return true;
        }
    }
    return false;
}

void
cw_loads_update(struct cw_loads *l, const struct cw_daemon *d)
{
    const struct cw_state *s = &d->state;
    size_t from = s->stat_count;
    if (has_outdated_budget(l, d)) {
        clear_loads(l);
    }
    while (from > 0 && s->stats[from - 1] != l->last_stat) {
        from--;
    }
    if (from == 0) {
        /* The state was reloaded: the newest counted record is not in it. */
        clear_loads(l);
    }
    for (size_t i = from; i < s->stat_count; i++) {
        add_stat_record(l, d, s->stats[i]);
    }
    l->last_stat = s->stat_count > 0 ? s->stats[s->stat_count - 1] : NULL;
}

bool
cw_loads_cover(const struct cw_loads *l, const struct cw_daemon *d, cw_ms span)
{
    cw_ms wall = cw_daemon_wall(d);
    return l->covered_to > 0 &&
           wall - l->covered_to <= 3 * d->settings->stat_ms &&
           wall - l->covered_since >= span;
}

bool
cw_loads_known(const struct cw_loads *l, const struct cw_daemon *d)
{
    return d->state.stat_count == 0 ||
           cw_loads_cover(l, d, 2 * d->settings->stat_ms);
}

double
cw_loads_demand(const struct cw_loads *l, const struct cw_daemon *d,
                const struct cw_name *service, cw_ms span)
{
    const struct cw_load_entry *e = cw_loads_find(l, service);
    cw_ms end = cw_daemon_wall(d) - d->settings->stat_ms;
    /* Time before the first record would be averaged in as zero demand. */
    if (end - l->covered_since < span) {
        span = end - l->covered_since;
        span = span > CW_TREND_BUCKET_MS ? span : CW_TREND_BUCKET_MS;
    }
    return e != NULL ? cw_trend_average(&e->demand, end, span) : 0;
}
