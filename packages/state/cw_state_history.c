/* History of the replicated state: expiry, and merging of statistics. */
#include "cw_index.h"

#include <stdlib.h>
#include <string.h>

#define ADVANCE_INTERVAL_MS (10 * CW_MINUTE)

static void
stat_free(struct cw_rec_stat *t)
{
    free(t->services);
    free(t);
}

static bool
is_op_kept(const struct cw_op_entry *e, cw_ms wall)
{
    return e->open || e->step_time[e->rec.step] >= wall;
}

static void
expire_ops(struct cw_state *s, cw_ms wall)
{
    size_t n = 0;
    for (size_t i = 0; i < s->op_count; i++) {
        if (is_op_kept(s->ops[i], wall)) {
            s->ops[n++] = s->ops[i];
        }
        else {
            (void)cw_map_remove(&cw_index_get(s)->ops,
                                cw_name_str(&s->ops[i]->rec.op));
            free(s->ops[i]);
        }
    }
    s->op_count = n;
}

static void
expire_waves(struct cw_state *s, cw_ms wall)
{
    size_t n = 0;
    for (size_t i = 0; i < s->wave_count; i++) {
        if (s->waves[i]->closed == 0 || s->waves[i]->closed >= wall) {
            s->waves[n++] = s->waves[i];
        }
        else {
            (void)cw_map_remove(&cw_index_get(s)->waves,
                                cw_name_str(&s->waves[i]->wave));
            free(s->waves[i]);
        }
    }
    s->wave_count = n;
}

void
cw_state_expire(struct cw_state *s, cw_ms wall)
{
    expire_ops(s, wall);
    expire_waves(s, wall);
    size_t n = 0;
    for (size_t i = 0; i < s->edit_count; i++) {
        if (s->edits[i]->time >= wall) {
            s->edits[n++] = s->edits[i];
        }
        else {
            free(s->edits[i]);
        }
    }
    s->edit_count = n;
    n = 0;
    for (size_t i = 0; i < s->stat_count; i++) {
        if (s->stats[i]->to >= wall) {
            s->stats[n++] = s->stats[i];
        }
        else {
            stat_free(s->stats[i]);
        }
    }
    s->stat_count = n;
    s->version++;
}

/* ---- merging of statistics ------------------------------------------ */

static uint64_t
count_requests(const struct cw_stat_service *x)
{
    return x->ok + x->failed + x->shed + x->unknown;
}

static void
merge_service(struct cw_stat_service *into, const struct cw_stat_service *x)
{
    uint64_t a = count_requests(into), b = count_requests(x);
    /* Percentiles cannot be merged exactly: the median becomes the mean of the
     * medians weighted by requests, the 99th percentile the highest one. */
    if (a + b > 0) {
        into->p50_us = (uint64_t)(((double)into->p50_us * (double)a +
                                   (double)x->p50_us * (double)b) /
                                  (double)(a + b));
    }
    if (x->p99_us > into->p99_us) {
        into->p99_us = x->p99_us;
    }
    into->ok += x->ok;
    into->failed += x->failed;
    into->shed += x->shed;
    into->unknown += x->unknown;
    into->idle_slot_ms += x->idle_slot_ms;
    into->busy_slot_ms += x->busy_slot_ms;
}

static void
merge_stat(struct cw_rec_stat *into, const struct cw_rec_stat *t)
{
    for (size_t i = 0; i < t->count; i++) {
        const struct cw_stat_service *x = &t->services[i];
        size_t k = 0;
        while (k < into->count &&
               !cw_name_eq(&into->services[k].service, &x->service)) {
            k++;
        }
        if (k < into->count) {
            merge_service(&into->services[k], x);
            continue;
        }
        into->services = cw_check_alloc(realloc(
            into->services, (into->count + 1) * sizeof(*into->services)));
        into->services[into->count++] = *x;
    }
}

/* Finds or inserts the merged entry of an hour in list, whose first *count
 * entries are merged ones sorted by hour. */
static struct cw_rec_stat *
get_hour_entry(struct cw_rec_stat **list, size_t *count, cw_ms hour)
{
    size_t i = *count;
    while (i > 0 && list[i - 1]->from > hour) {
        i--;
    }
    if (i > 0 && list[i - 1]->from == hour) {
        return list[i - 1];
    }
    struct cw_rec_stat *e = cw_check_alloc(calloc(1, sizeof(*e)));
    e->from = hour;
    e->to = hour + CW_HOUR;
    memmove(&list[i + 1], &list[i],
            (*count - i) * sizeof(struct cw_rec_stat *));
    list[i] = e;
    (*count)++;
    return e;
}

/* Merges the statistics that ended before wall into one entry an hour and puts
 * the merged entries before the others. s->stats is large enough, since there
 * are never more merged entries than entries that they replace. */
static void
merge_stats(struct cw_state *s, cw_ms wall)
{
    struct cw_rec_stat **unmerged = cw_check_alloc(
        malloc((s->stat_count + 1) * sizeof(struct cw_rec_stat *)));
    size_t merged_count = 0, unmerged_count = 0;
    for (size_t i = 0; i < s->stat_count; i++) {
        struct cw_rec_stat *t = s->stats[i];
        if (t->daemon.len == 0) {
            s->stats[merged_count++] = t;
        }
        else if (t->to >= wall) {
            unmerged[unmerged_count++] = t;
        }
        else {
            cw_ms hour = (t->to - 1) / CW_HOUR * CW_HOUR;
            merge_stat(get_hour_entry(s->stats, &merged_count, hour), t);
            stat_free(t);
        }
    }
    memcpy(s->stats + merged_count, unmerged,
           unmerged_count * sizeof(struct cw_rec_stat *));
    s->stat_count = merged_count + unmerged_count;
    free(unmerged);
}

void
cw_state_advance(struct cw_state *s, cw_ms log_time)
{
    struct cw_state_index *x = cw_index_get(s);
    cw_ms rounded = log_time / ADVANCE_INTERVAL_MS * ADVANCE_INTERVAL_MS;
    if (rounded <= x->advanced_to) {
        return;
    }
    x->advanced_to = rounded;
    cw_state_expire(s, rounded - CW_HISTORY_MS);
    if (s->stat_count > 0) {
        merge_stats(s, rounded - CW_STAT_RAW_MS);
    }
}
