/* Preemption: selects the tasks that checkpoint and stop so that another task
 * can start. */
#include "cw_place_int.h"

#include <string.h>

#define VICTIMS_MAX 32

/* Workers compared in one search for victims. The cheapest of these costs
 * little more than the cheapest of all, and the bound keeps the search short
 * in a large cell. */
#define CANDIDATES_MAX 64

/* An unused reservation expires this long after the latest time at which the
 * stop of a victim can have been sent. */
#define RESERVE_SLACK_MS 5000

void
cw_place_unreserve(struct cw_place_task *t)
{
    if (t->reserved != NULL) {
        t->reserved->reserved_for = NULL;
        t->reserved = NULL;
    }
}

/* An urgent task may preempt any task that is not urgent. A task of a team
 * within its quota may only preempt tasks that other teams started above
 * theirs. */
static bool
may_evict(const struct cw_place_task *t, const struct cw_place_task *victim)
{
    if (victim->state != CW_PLACE_RUNNING || victim->job->urgent) {
        return false;
    }
    if (t->job->urgent) {
        return true;
    }
    return victim->borrowed && victim->job->team != t->job->team;
}

/* Cost of evicting a task: the time since its last checkpoint, which is lost,
 * weighted by its size. Tasks above their team's quota count for a tenth, so
 * that they are evicted first. */
static double
eviction_cost(const struct cw_place_task *v, cw_ms now)
{
    cw_ms since = v->checkpointed_at > v->started_at ? v->checkpointed_at
                                                     : v->started_at;
    double work = (double)(now - since + CW_SECOND) *
                  ((double)v->allocated.cpu_milli / 1000.0 +
                   8.0 * (double)v->allocated.accelerators + 0.1);
    return v->borrowed ? work * 0.1 : work;
}

struct victims {
    struct cw_place_task *items[VICTIMS_MAX];
    size_t count;
    double cost;
};

static bool
fits_without(const struct cw_place_worker *w, struct cw_size size,
             const struct victims *v)
{
    struct cw_place_worker remaining = *w;
    for (size_t i = 0; i < v->count; i++) {
        const struct cw_place_task *t = v->items[i];
        uint64_t cpu = t->allocated.cpu_milli;
        uint64_t memory = t->allocated.memory_mb;
        remaining.used_cpu -=
            cpu < remaining.used_cpu ? cpu : remaining.used_cpu;
        remaining.used_memory -=
            memory < remaining.used_memory ? memory : remaining.used_memory;
        remaining.used_accelerators -= t->allocated.accelerators;
    }
    return cw_place_fits(&remaining, size);
}

static bool
is_chosen(const struct victims *chosen, const struct cw_place_task *v)
{
    for (size_t i = 0; i < chosen->count; i++) {
        if (chosen->items[i] == v) {
            return true;
        }
    }
    return false;
}

static struct cw_place_task *
cheapest_candidate(const struct cw_place_worker *w,
                   const struct cw_place_task *t, const struct victims *chosen,
                   cw_ms now)
{
    struct cw_place_task *best = NULL;
    double best_cost = 0.0;
    for (struct cw_place_task *v = w->tasks; v != NULL; v = v->worker_next) {
        if (!may_evict(t, v) || is_chosen(chosen, v)) {
            continue;
        }
        double c = eviction_cost(v, now);
        if (best == NULL || c < best_cost) {
            best = v;
            best_cost = c;
        }
    }
    return best;
}

/* Removes the victims without which the size still fits. */
static void
drop_unneeded_victims(const struct cw_place_worker *w, struct cw_size size,
                      cw_ms now, struct victims *v)
{
    for (size_t i = 0; i < v->count;) {
        struct victims fewer = *v;
        fewer.items[i] = fewer.items[--fewer.count];
        if (!fits_without(w, size, &fewer)) {
            i++;
            continue;
        }
        fewer.cost -= eviction_cost(v->items[i], now);
        *v = fewer;
    }
}

/* Fills out with the cheapest tasks of the worker that free enough capacity.
 * Returns false when there are none below the cost limit. */
static bool
choose_victims(const struct cw_place_worker *w, const struct cw_place_task *t,
               struct cw_size size, cw_ms now, double cost_limit,
               struct victims *out)
{
    memset(out, 0, sizeof(*out));
    while (!fits_without(w, size, out)) {
        if (out->count == VICTIMS_MAX || out->cost >= cost_limit) {
            return false;
        }
        struct cw_place_task *v = cheapest_candidate(w, t, out, now);
        if (v == NULL) {
            return false;
        }
        out->items[out->count++] = v;
        out->cost += eviction_cost(v, now);
    }
    drop_unneeded_victims(w, size, now, out);
    return true;
}

static bool
is_evicting(const struct cw_place_worker *w)
{
    for (struct cw_place_task *v = w->tasks; v != NULL; v = v->worker_next) {
        if (v->state == CW_PLACE_EVICTING) {
            return true;
        }
    }
    return false;
}

static void
evict(struct cw_place *p, struct cw_place_task *t, struct cw_place_worker *w,
      const struct victims *v, cw_ms now, cw_place_action_fn act, void *ctx)
{
    w->reserved_for = t;
    w->reserved_until = now + 2 * p->params.checkpoint_ms + RESERVE_SLACK_MS;
    t->reserved = w;
    for (size_t i = 0; i < v->count; i++) {
        struct cw_place_task *victim = v->items[i];
        cw_place_set_state(p, victim, CW_PLACE_EVICTING, now);
        struct cw_place_action a = {CW_PLACE_CHECKPOINT, victim,
                                    cw_name_str(&w->name), victim->allocated,
                                    ""};
        snprintf(a.text, sizeof(a.text), "for %s", t->name.text);
        act(ctx, &a);
    }
}

bool
cw_place_preempt(struct cw_place *p, struct cw_place_task *t,
                 struct cw_size size, cw_ms now, cw_place_action_fn act,
                 void *ctx)
{
    struct victims best = {.cost = 1e300};
    struct cw_place_worker *best_worker = NULL;
    size_t from = p->priv->victim_cursor;
    size_t candidates = 0;
    for (size_t i = 0; i < p->worker_count && candidates < CANDIDATES_MAX;
         i++) {
        struct cw_place_worker *w = p->workers[(from + i) % p->worker_count];
        p->priv->victim_cursor = (from + i + 1) % p->worker_count;
        if (w->gone || w->reserved_for != NULL || w->health.quarantined ||
            !cw_place_fits_empty(w, size) || cw_place_failed_on(t, w) ||
            is_evicting(w)) {
            continue;
        }
        struct victims v;
        if (!choose_victims(w, t, size, now, best.cost, &v)) {
            continue;
        }
        candidates++;
        if (v.cost < best.cost) {
            best = v;
            best_worker = w;
        }
    }
    if (best_worker == NULL) {
        return false;
    }
    evict(p, t, best_worker, &best, now, act, ctx);
    return true;
}
