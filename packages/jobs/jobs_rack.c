/* Decides whether a task waits for room in the rack of its data. */
#include "cw_plan_int.h"

/* A task waits only if room is expected within this share of the time that it
 * would take longer elsewhere: the expectation may be wrong, and another task
 * may take the room. */
#define WAIT_SHARE 0.5

cw_ms
cw_task_typical_ms(const struct cw_sched *s, const struct cw_task *t,
                   const struct cw_worker *w)
{
    const struct cw_step *st = cw_task_step(t);
    cw_ms ms = cw_step_typical_ms(t->job, st);

    return s->far_factor > 1 && st->data_rack.len > 0 &&
                   !cw_name_eq(&st->data_rack, &w->rack)
               ? (cw_ms)((double)ms * s->far_factor)
               : ms;
}

/* Expected end of a run. One that is overdue may take as long again. */
static cw_ms
expected_end(const struct cw_plan *pl, const struct cw_task *t)
{
    const struct cw_run_progress *p = &t->progress;
    cw_ms typical = cw_task_typical_ms(pl->s, t, t->worker);
    double gained = (double)p->percent - p->base_percent;

    if (p->base_at != 0 && gained > 0 && t->worker->seen_at > p->base_at) {
        cw_ms at = t->worker->seen_at;

        return at + (cw_ms)((100.0 - p->percent) * (double)(at - p->base_at) /
                            gained);
    }
    return t->state_since + typical > pl->now ? t->state_since + typical
                                              : pl->now + typical;
}

static bool
makes_room(const struct cw_task *o, const struct cw_step *st)
{
    const struct cw_step *os = cw_task_step(o);

    return !os->lasting && !os->backfill &&
           os->need.cpu_milli >= st->need.cpu_milli &&
           os->need.memory_mb >= st->need.memory_mb &&
           os->need.accelerators >= st->need.accelerators;
}

/* Keeps the earliest ends, in order. */
static void
add_end(struct cw_rack_ends *e, cw_ms at)
{
    size_t i = e->count;

    if (i == CW_RACK_ENDS_MAX) {
        if (at >= e->ends[i - 1]) {
            return;
        }
        i--;
    }
    else {
        e->count++;
    }
    for (; i > 0 && e->ends[i - 1] > at; i--) {
        e->ends[i] = e->ends[i - 1];
    }
    e->ends[i] = at;
}

static void
collect_ends(const struct cw_plan *pl, const struct cw_step *st,
             struct cw_rack_ends *e)
{
    for (size_t i = 0; i < pl->candidate_count; i++) {
        const struct cw_worker *w = pl->candidates[i].worker;

        if (w->speed.slow || w->reserved || !cw_name_eq(&w->rack, &e->rack)) {
            continue;
        }
        for (const struct cw_task *o = w->tasks; o != NULL; o = o->next) {
            if (makes_room(o, st)) {
                add_end(e, expected_end(pl, o));
            }
        }
    }
}

/* The ends of runs in the rack that make room for a task of the step, computed
 * once in a plan; NULL when the plan has too many racks. */
static struct cw_rack_ends *
rack_ends(struct cw_plan *pl, const struct cw_step *st)
{
    struct cw_rack_ends *e;

    for (size_t i = 0; i < pl->rack_count; i++) {
        e = &pl->racks[i];
        if (cw_name_eq(&e->rack, &st->data_rack) &&
            e->need.cpu_milli == st->need.cpu_milli &&
            e->need.memory_mb == st->need.memory_mb) {
            return e;
        }
    }
    if (pl->rack_count == CW_PLAN_RACKS_MAX) {
        return NULL;
    }
    e = &pl->racks[pl->rack_count++];
    e->rack = st->data_rack;
    e->need = st->need;
    e->count = 0;
    e->taken = 0;
    collect_ends(pl, st, e);
    return e;
}

bool
cw_plan_wait_for_rack(struct cw_plan *pl, const struct cw_task *t,
                      const struct cw_worker *w)
{
    const struct cw_step *st = cw_task_step(t);
    struct cw_rack_ends *e;
    double extra;

    if (!pl->s->uneven_workers || pl->s->far_factor <= 1 ||
        st->data_rack.len == 0 || st->lasting || st->backfill ||
        cw_name_eq(&st->data_rack, &w->rack)) {
        return false;
    }
    extra = (pl->s->far_factor - 1) * (double)cw_step_typical_ms(t->job, st);
    if ((double)(pl->now - t->ready_at) >= extra) {
        return false;
    }
    e = rack_ends(pl, st);
    /* Each end makes room for one of the tasks that wait. */
    if (e == NULL || e->taken >= e->count ||
        (double)(e->ends[e->taken] - pl->now) > WAIT_SHARE * extra) {
        return false;
    }
    e->taken++;
    if (pl->rack_task == NULL) {
        pl->rack_task = t;
        pl->rack_until = t->ready_at + (cw_ms)extra;
    }
    cw_pool_replan_at(pl->pool, t->ready_at + (cw_ms)extra);
    return true;
}
