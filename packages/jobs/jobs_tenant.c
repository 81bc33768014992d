/* The table of tenants: use, quotas and token buckets. */
#include "cw_jobs_int.h"
#include "cw_tenant.h"

#include <stdlib.h>

/* Time between two log lines on starts that a tenant's quota holds back, and
 * on its jobs over share. */
#define TENANT_LOG_INTERVAL_MS 1000

/* ---- the table ---- */

static struct cw_tenant *
get_tenant(struct cw_sched *s, const struct cw_name *name)
{
    struct cw_tenant *t = cw_map_get(&s->tenants, cw_name_str(name));

    if (t != NULL) {
        return t;
    }
    t = calloc(1, sizeof(*t));
    if (t == NULL) {
        return NULL;
    }
    t->name = *name;
    s->has_tenants |= name->len > 0;
    if (cw_map_put(&s->tenants, t) != CW_OK) {
        free(t);
        return NULL;
    }
    t->next = s->tenant_list;
    s->tenant_list = t;
    return t;
}

struct cw_tenant_use *
cw_tenant_use_get(struct cw_sched *s, const struct cw_name *tenant,
                  const struct cw_pool *pool)
{
    struct cw_tenant *t = get_tenant(s, tenant);
    struct cw_tenant_use *u = t == NULL ? NULL : t->uses;

    while (u != NULL && u->pool != pool) {
        u = u->next;
    }
    if (u == NULL && t != NULL) {
        u = calloc(1, sizeof(*u));
        if (u != NULL) {
            u->tenant = t;
            u->pool = pool;
            u->next = t->uses;
            t->uses = u;
        }
    }
    return u;
}

static void
free_tenant(struct cw_tenant *t)
{
    while (t->uses != NULL) {
        struct cw_tenant_use *u = t->uses;

        t->uses = u->next;
        free(u);
    }
    free(t);
}

void
cw_tenants_finish(struct cw_sched *s)
{
    while (s->strays != NULL) {
        struct cw_stray_run *r = s->strays;

        s->strays = r->next;
        free(r);
    }
    while (s->tenant_list != NULL) {
        struct cw_tenant *t = s->tenant_list;

        s->tenant_list = t->next;
        free_tenant(t);
    }
    cw_map_finish(&s->tenants);
}

static void
remove_unused_tenants(struct cw_sched *s)
{
    struct cw_tenant **link = &s->tenant_list;

    while (*link != NULL) {
        struct cw_tenant *t = *link;

        if (t->listed || t->job_count > 0) {
            link = &t->next;
            continue;
        }
        *link = t->next;
        (void)cw_map_remove(&s->tenants, cw_name_str(&t->name));
        free_tenant(t);
    }
}

/* Depth of the token bucket, which fills with weight tokens a second: what a
 * window allows beyond that rate. It holds at least a second and one job, as
 * jobs do not arrive evenly. */
static double
bucket_depth(const struct cw_sched *s, double weight)
{
    const struct cw_sched_limits *l = &s->limits;
    double beyond =
        l->share_overage * weight * (double)l->share_window_ms / 1000 +
        l->share_slack;

    if (beyond < weight) {
        beyond = weight;
    }
    return beyond > 1 ? beyond : 1;
}

void
cw_sched_set_tenants(struct cw_sched *s, const struct cw_tenant_entry *tenants,
                     size_t count, cw_ms now)
{
    double weights = 0;
    size_t weighted = 0;

    for (struct cw_tenant *t = s->tenant_list; t != NULL; t = t->next) {
        t->listed = false;
    }
    for (size_t i = 0; i < count; i++) {
        struct cw_tenant *t = get_tenant(s, &tenants[i].name);

        CW_INVARIANT(t != NULL);
        if (!t->known || t->weight != tenants[i].weight) {
            t->tokens = bucket_depth(s, tenants[i].weight);
            t->tokens_at = now;
        }
        t->known = true;
        t->listed = true;
        t->quota = tenants[i].quota;
        t->weight = tenants[i].weight;
        if (t->weight > 0) {
            weights += t->weight;
            weighted++;
        }
    }
    s->mean_weight = weighted > 0 ? weights / (double)weighted : 1;
    s->tenant_count = count;
    s->tenants_known = true;
    remove_unused_tenants(s);
    /* A quota may have been raised. */
    for (struct cw_pool *p = s->pool_list; p != NULL; p = p->next) {
        cw_pool_plan_soon(s, p);
    }
}

double
cw_tenant_turn_weight(const struct cw_sched *s, const struct cw_tenant *t)
{
    return t->weight > 0 ? t->weight
                         : (s->mean_weight > 0 ? s->mean_weight : 1);
}

/* ---- quotas ---- */

void
cw_tenant_count_task(struct cw_job_entry *j, const struct cw_step *st,
                     int sign)
{
    struct cw_tenant_use *u = j->use;
    struct cw_quota *q = &u->tenant->placed;
    int64_t cpu = (int64_t)st->need.cpu_milli * sign;
    int64_t mb = (int64_t)st->need.memory_mb * sign;

    q->cpu_milli += (uint64_t)cpu;
    q->memory_mb += (uint64_t)mb;
    q->accelerators += (uint64_t)((int64_t)st->need.accelerators * sign);
    u->placed.cpu += (uint64_t)(st->backfill ? 0 : cpu);
    u->placed.mb += (uint64_t)mb;
}

void
cw_tenant_wake(struct cw_sched *s, struct cw_tenant *t)
{
    if (!t->held) {
        return;
    }
    t->held = false;
    for (struct cw_pool *p = s->pool_list; p != NULL; p = p->next) {
        if (p->quota_held) {
            cw_pool_plan_soon(s, p);
        }
    }
}

static bool
within(uint64_t limit, uint64_t placed, uint64_t more)
{
    return limit == 0 || more == 0 || placed + more <= limit;
}

static bool
quota_allows(const struct cw_quota *q, const struct cw_quota *placed,
             const struct cw_step *st, uint32_t count)
{
    return within(q->cpu_milli, placed->cpu_milli,
                  (uint64_t)st->need.cpu_milli * count) &&
           within(q->memory_mb, placed->memory_mb,
                  (uint64_t)st->need.memory_mb * count) &&
           within(q->accelerators, placed->accelerators,
                  (uint64_t)st->need.accelerators * count);
}

bool
cw_tenant_allows(const struct cw_sched *s, const struct cw_tenant *t,
                 const struct cw_step *st, uint32_t count)
{
    if (t->name.len == 0) {
        return true;
    }
    /* A daemon may take over before it has read the configuration. */
    return (t->known || s->tenants_known) &&
           quota_allows(&t->quota, &t->placed, st, count);
}

bool
cw_tenant_want(const struct cw_sched *s, struct cw_tenant_use *u,
               const struct cw_step *st)
{
    struct cw_quota sum = u->tenant->placed;

    sum.cpu_milli += u->wanted.cpu_milli;
    sum.memory_mb += u->wanted.memory_mb;
    sum.accelerators += u->wanted.accelerators;
    if (!cw_tenant_allows(s, u->tenant, st, 1) ||
        !quota_allows(&u->tenant->quota, &sum, st, 1)) {
        return false;
    }
    u->wanted.cpu_milli += st->need.cpu_milli;
    u->wanted.memory_mb += st->need.memory_mb;
    u->wanted.accelerators += st->need.accelerators;
    return true;
}

bool
cw_tenant_may_start(struct cw_sched *s, const struct cw_task *t,
                    uint32_t count, cw_ms now)
{
    struct cw_tenant *n;

    if (!s->has_tenants) {
        return true;
    }
    n = t->job->use->tenant;
    if (cw_tenant_allows(s, n, cw_task_step(t), count)) {
        return true;
    }
    n->held = true;
    t->job->pool->quota_held = true;
    s->quota_holds++;
    if (now - n->hold_logged_at >= TENANT_LOG_INTERVAL_MS) {
        n->hold_logged_at = now;
        cw_log(CW_INFO, "quota_hold",
               "tenant=%s job=%016llx task=%u.%u.%u ms=%lld tasks=%u known=%d "
               "cpu=%llu of=%llu memory_mb=%llu of=%llu "
               "accelerators=%llu of=%llu",
               n->name.text, (unsigned long long)t->job->id, t->occurrence,
               t->step, t->index, (long long)(now - t->ready_at), count,
               n->known, (unsigned long long)n->placed.cpu_milli,
               (unsigned long long)n->quota.cpu_milli,
               (unsigned long long)n->placed.memory_mb,
               (unsigned long long)n->quota.memory_mb,
               (unsigned long long)n->placed.accelerators,
               (unsigned long long)n->quota.accelerators);
    }
    return false;
}

bool
cw_tenant_never_fits(const struct cw_sched *s, const struct cw_job_spec *spec)
{
    static const struct cw_quota none;
    const struct cw_tenant *t =
        cw_map_get(&s->tenants, cw_name_str(&spec->rules.tenant));

    for (size_t i = 0; t != NULL && i < spec->step_count; i++) {
        const struct cw_step *st = &spec->steps[i];

        if (!quota_allows(&t->quota, &none, st, st->gang ? st->count : 1)) {
            return true;
        }
    }
    return false;
}

/* ---- shares ---- */

static double
tokens_now(const struct cw_sched *s, const struct cw_tenant *t, cw_ms now)
{
    double depth = bucket_depth(s, t->weight);
    double n = t->tokens + t->weight * (double)(now - t->tokens_at) / 1000;

    return n < depth ? n : depth;
}

bool
cw_tenant_is_over_share(const struct cw_sched *s, const struct cw_name *tenant,
                        cw_ms now)
{
    const struct cw_tenant *t = cw_map_get(&s->tenants, cw_name_str(tenant));

    return t != NULL && t->weight > 0 && tokens_now(s, t, now) < 1;
}

bool
cw_tenant_take_job(struct cw_sched *s, struct cw_tenant *t, cw_ms now)
{
    if (t->weight <= 0) {
        return true;
    }
    t->tokens = tokens_now(s, t, now);
    t->tokens_at = now;
    if (t->tokens >= 1) {
        t->tokens -= 1;
        return true;
    }
    s->over_share_jobs++;
    if (now - t->over_logged_at >= TENANT_LOG_INTERVAL_MS) {
        t->over_logged_at = now;
        cw_log(CW_INFO, "over_share", "tenant=%s weight=%.3f total=%llu",
               t->name.text, t->weight,
               (unsigned long long)s->over_share_jobs);
    }
    return false;
}
