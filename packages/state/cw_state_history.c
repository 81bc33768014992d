/* History of the replicated state: expiry and merging of statistics. */
#include "cw_index.h"

#include <stdlib.h>
#include <string.h>

#define ADVANCE_MS (10 * CW_MINUTE)

static void
stat_free(struct cw_rec_stat *t)
{
    free(t->services);
    free(t);
}

static bool
op_kept(const struct cw_op_entry *e, cw_ms wall)
{
    return e->open || e->step_time[e->rec.step] >= wall;
}

static void
expire_ops(struct cw_state *s, cw_ms wall)
{
    size_t n = 0;
    for (size_t i = 0; i < s->op_count; i++) {
        if (op_kept(s->ops[i], wall)) {
            s->ops[n++] = s->ops[i];
        }
        else {
            (void)cw_map_remove(&cw_index(s)->ops,
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
            (void)cw_map_remove(&cw_index(s)->waves,
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
requests(const struct cw_stat_service *x)
{
    return x->ok + x->failed + x->shed + x->unknown;
}

static void
merge_service(struct cw_stat_service *into, const struct cw_stat_service *x)
{
    uint64_t a = requests(into), b = requests(x);
    /* The median of a merged entry is a mean weighted by requests, the 99th
     * percentile the highest one; both are bounds, not exact. */
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
        into->services = cw_need(realloc(
            into->services, (into->count + 1) * sizeof(*into->services)));
        into->services[into->count++] = *x;
    }
}

/* Finds or inserts the merged entry of an hour among the first *count ones,
 * which are sorted by hour. */
static struct cw_rec_stat *
merged_hour(struct cw_rec_stat **list, size_t *count, cw_ms hour)
{
    size_t at = *count;
    while (at > 0 && list[at - 1]->from > hour) {
        at--;
    }
    if (at > 0 && list[at - 1]->from == hour) {
        return list[at - 1];
    }
    struct cw_rec_stat *e = cw_need(calloc(1, sizeof(*e)));
    e->from = hour;
    e->to = hour + CW_HOUR;
    memmove(&list[at + 1], &list[at],
            (*count - at) * sizeof(struct cw_rec_stat *));
    list[at] = e;
    (*count)++;
    return e;
}

/* Merges statistics that ended before wall: hours first, then the rest. The
 * merged entries never outnumber what they replace, so the list suffices. */
static void
merge_stats(struct cw_state *s, cw_ms wall)
{
    struct cw_rec_stat **rest =
        cw_need(malloc((s->stat_count + 1) * sizeof(struct cw_rec_stat *)));
    size_t merged = 0, left = 0;
    for (size_t i = 0; i < s->stat_count; i++) {
        struct cw_rec_stat *t = s->stats[i];
        if (t->daemon.len == 0) {
            s->stats[merged++] = t;
        }
        else if (t->to >= wall) {
            rest[left++] = t;
        }
        else {
            cw_ms hour = (t->to - 1) / CW_HOUR * CW_HOUR;
            merge_stat(merged_hour(s->stats, &merged, hour), t);
            stat_free(t);
        }
    }
    memcpy(s->stats + merged, rest, left * sizeof(struct cw_rec_stat *));
    s->stat_count = merged + left;
    free(rest);
}

void
cw_state_advance(struct cw_state *s, cw_ms log_time)
{
    struct cw_state_index *x = cw_index(s);
    cw_ms tick = log_time / ADVANCE_MS * ADVANCE_MS;
    if (tick <= x->tick) {
        return;
    }
    x->tick = tick;
    cw_state_expire(s, tick - CW_HISTORY_MS);
    if (s->stat_count > 0) {
        merge_stats(s, tick - CW_STAT_FINE_MS);
    }
}
