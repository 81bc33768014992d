/* Admission of callers' jobs under overload, and the metrics of tenants. */
#include "cw_jobd.h"
#include "cw_overload.h"
#include "cw_preempt.h"

#include <stdio.h>

/* The figure of VMs that can move in is updated every 100 ms. With an older
 * one, as after a takeover, nothing is refused. */
#define MOVABLE_AGE_MAX_MS 1000
#define METRICS_INTERVAL_MS 1000
#define PREEMPT_INTERVAL_MS 100
#define LABEL_MAX (CW_NAME_MAX + 48)

struct cw_admission
cw_tenants_admit(struct cw_jobd *d, const struct cw_call *c, cw_ms now)
{
    const struct cw_queue_rules *r = &c->spec.rules;
    struct cw_pool *p;

    if (!d->settings.admission &&
        (d->config.tenant_count == 0 || r->tenant.len == 0)) {
        return (struct cw_admission){0};
    }
    p = cw_sched_get_pool(d->sched, cw_name_str(&r->service));
    if (p == NULL || (d->ports.vmctl.list != NULL &&
                      now - p->movable_at > MOVABLE_AGE_MAX_MS)) {
        return (struct cw_admission){0};
    }
    return cw_overload_admit(d->sched, &c->spec, p->movable_cpu, now);
}

static void
set_gauge(struct cw_jobd *d, const char *metric, const struct cw_tenant *t,
          const char *resource, uint64_t value)
{
    struct cw_name name = t->name;
    char label[LABEL_MAX];
    double *v;

    for (size_t i = 0; i < name.len; i++) {
        if (name.text[i] == '"' || name.text[i] == '\\' ||
            (unsigned char)name.text[i] < ' ') {
            name.text[i] = '_';
        }
    }
    (void)snprintf(label, sizeof(label), "tenant=\"%s\",resource=\"%s\"",
                   name.text, resource);
    v = cw_metrics_gauge(&d->metrics, metric, label);
    if (v != NULL) {
        *v = (double)value;
    }
}

static void
set_counter(struct cw_jobd *d, const char *name, uint64_t *last,
            uint64_t value)
{
    uint64_t *v = cw_metrics_counter(&d->metrics, name, "");

    if (v != NULL) {
        *v += value - *last;
    }
    *last = value;
}

static void
preempt_in_pool(struct cw_jobd *d, struct cw_pool *p, cw_ms now)
{
    struct cw_preempt_victim v[CW_PREEMPT_MAX];
    size_t n = cw_preempt_pick(d->sched, p, now, v);

    for (size_t i = 0; i < n; i++) {
        const struct cw_task *t = v[i].task;
        uint64_t *lost = cw_metrics_counter(
            &d->metrics, "cuminwalk_preempted_core_ms_total", "");

        cw_log(CW_INFO, "preempt",
               "job=%016llx task=%u.%u.%u run=%u tenant=%s service=%s "
               "worker=%s cpu=%u lost_ms=%lld",
               (unsigned long long)t->job->id, t->occurrence, t->step,
               t->index, t->run, t->job->spec.rules.tenant.text,
               p->service.text, t->worker->id.text,
               cw_task_step(t)->need.cpu_milli, (long long)v[i].lost_ms);
        if (lost != NULL) {
            *lost += (uint64_t)v[i].lost_ms * cw_task_step(t)->need.cpu_milli /
                     1000;
        }
        cw_jobd_count(d, "cuminwalk_preemptions_total", "");
        cw_sched_stop_task_for(d->sched, v[i].task, CW_STOP_PREEMPTED, now);
    }
}

static void
preempt(struct cw_jobd *d, cw_ms now)
{
    if (now < d->preempt_due || !cw_member_lease_valid(d, now)) {
        return;
    }
    d->preempt_due = now + PREEMPT_INTERVAL_MS;
    for (struct cw_pool *p = d->sched->pool_list; p != NULL; p = p->next) {
        preempt_in_pool(d, p, now);
    }
}

void
cw_tenants_tick(struct cw_jobd *d, cw_ms now)
{
    struct cw_sched *s = d->sched;

    if (s->tenant_count == 0) {
        return;
    }
    preempt(d, now);
    if (now < d->tenants_due) {
        return;
    }
    d->tenants_due = now + METRICS_INTERVAL_MS;
    for (const struct cw_tenant *t = s->tenant_list; t != NULL; t = t->next) {
        /* The configuration bounds the number of these. */
        if (!t->known) {
            continue;
        }
        set_gauge(d, "cuminwalk_tenant_in_use", t, "cpu_milli",
                  t->placed.cpu_milli);
        set_gauge(d, "cuminwalk_tenant_in_use", t, "memory_mb",
                  t->placed.memory_mb);
        set_gauge(d, "cuminwalk_tenant_in_use", t, "accelerators",
                  t->placed.accelerators);
    }
    set_counter(d, "cuminwalk_quota_holds_total", &s->counted.quota_holds,
                s->quota_holds);
    set_counter(d, "cuminwalk_over_share_jobs_total",
                &s->counted.over_share_jobs, s->over_share_jobs);
}
