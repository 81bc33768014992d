/* Turns between tenants within one tier and priority class of a plan: weighted
 * fair queueing by the resources that each has placed in the pool. */
#include "cw_plan_int.h"
#include "cw_tenant.h"

void
cw_turns_begin(struct cw_turns *t, const struct cw_sched *s,
               const struct cw_pool *p, struct cw_ready_step *steps, size_t n)
{
    *t = (struct cw_turns){.s = s, .steps = steps, .count = n};
    if (s->tenant_count == 0) {
        return;
    }
    for (const struct cw_worker *w = p->workers; w != NULL; w = w->next) {
        if (w->state == CW_WORKER_READY) {
            t->capacity.cpu += w->capacity.cpu_milli;
            t->capacity.mb += w->capacity.memory_mb;
        }
    }
}

static bool
same_class(const struct cw_ready_step *a, const struct cw_ready_step *b)
{
    return a->tier == b->tier &&
           (!cw_tier_by_priority(a->tier) ||
            a->job->spec.rules.priority == b->job->spec.rules.priority);
}

/* Distributes the steps of the next class over the queues of their tenants. */
static void
load_class(struct cw_turns *t)
{
    const struct cw_ready_step *first = &t->steps[t->next];

    while (t->next < t->count && same_class(first, &t->steps[t->next])) {
        struct cw_ready_step *rs = &t->steps[t->next++];
        struct cw_tenant_use *u = rs->job->use;

        rs->turn_next = NULL;
        if (u->first == NULL) {
            u->last = &u->first;
            u->turn_next = t->queues;
            t->queues = u;
        }
        *u->last = rs;
        u->last = &rs->turn_next;
    }
}

/* The tenant's dominant share of the pool, relative to its weight. */
static double
weighted_share(const struct cw_turns *t, const struct cw_tenant_use *u)
{
    double cpu = (double)u->placed.cpu /
                 (double)(t->capacity.cpu > 0 ? t->capacity.cpu : 1);
    double mb = (double)u->placed.mb /
                (double)(t->capacity.mb > 0 ? t->capacity.mb : 1);

    return (cpu > mb ? cpu : mb) / cw_tenant_turn_weight(t->s, u->tenant);
}

/* The link to the tenant whose turn it is; there is at least one. */
static struct cw_tenant_use **
find_lowest_share(struct cw_turns *t)
{
    struct cw_tenant_use **best = &t->queues;
    double best_share = weighted_share(t, *best);

    for (struct cw_tenant_use **link = &(*best)->turn_next; *link != NULL;
         link = &(*link)->turn_next) {
        double share = weighted_share(t, *link);

        /* Equal shares: the step that is first in the order. */
        if (share < best_share ||
            (share == best_share && (*link)->first < (*best)->first)) {
            best = link;
            best_share = share;
        }
    }
    return best;
}

struct cw_ready_step *
cw_turns_next(struct cw_turns *t)
{
    struct cw_tenant_use **best;
    struct cw_ready_step *rs;

    if (t->queues == NULL && t->next == t->count) {
        return NULL;
    }
    if (t->s->tenant_count == 0 ||
        (t->queues == NULL && t->steps[t->next].tier == CW_TIER_IN_TIME)) {
        return &t->steps[t->next++];
    }
    if (t->queues == NULL) {
        load_class(t);
    }
    CW_INVARIANT(t->queues != NULL);
    best = find_lowest_share(t);
    rs = (*best)->first;
    (*best)->first = rs->turn_next;
    if ((*best)->first == NULL) {
        *best = (*best)->turn_next;
    }
    return rs;
}
