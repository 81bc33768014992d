/* Tells operators what holds a job, a wave, a worker or a VM back, since when,
 * and what ends it: one log line each in a while, and gauges. Runs that wait
 * for the end of an earlier run are in run_awaited lines. */
#include "cw_fit.h"
#include "fleet_int.h"

#define SCAN_MS 1000
/* Shorter waits are the normal course of orders and calls. */
#define HELD_MIN_MS 2000
#define REPEAT_MS 10000
#define LINES_MAX 20 /* of one scan */

enum held {
    HELD_JOB_BLOCKED,
    HELD_WORKER_QUARANTINED,
    HELD_WORKER_SILENT,
    HELD_VM_CORDONED,
    HELD_WAVE_VM,
    HELD_KINDS
};

static const char *const names[HELD_KINDS] = {
    "job_blocked", "worker_quarantined", "worker_silent", "vm_cordoned",
    "wave_vm"};

struct scan {
    struct cw_jobd *d;
    cw_ms now;
    bool log_due;
    uint32_t lines;
    size_t count[HELD_KINDS];
    cw_ms longest[HELD_KINDS];
};

static void
count(struct scan *s, enum held kind, cw_ms ms)
{
    s->count[kind]++;
    s->longest[kind] = ms > s->longest[kind] ? ms : s->longest[kind];
}

static bool
may_log(struct scan *s)
{
    return s->log_due && s->lines++ < LINES_MAX;
}

/* ---- workers ---- */

static void
log_worker(struct scan *s, enum held kind, const struct cw_worker *w, cw_ms ms,
           const char *ends, cw_ms left)
{
    if (may_log(s)) {
        cw_log(CW_INFO, "held",
               "kind=%s worker=%s service=%s vm=%s held_ms=%lld tasks=%u "
               "ends=\"%s\" left_ms=%lld",
               names[kind], w->id.text, w->pool->service.text, w->vm.text,
               (long long)ms, w->task_count, ends, (long long)left);
    }
}

static void
look_at_worker(struct scan *s, const struct cw_worker *w)
{
    const struct cw_worker_health *h = &w->health;
    cw_ms silent = w->seen_at == 0 ? 0 : s->now - w->seen_at;

    if (w->state == CW_WORKER_GONE && w->tasks == NULL) {
        return;
    }
    if (h->quarantined && s->now - h->quarantined_at >= HELD_MIN_MS) {
        count(s, HELD_WORKER_QUARANTINED, s->now - h->quarantined_at);
        log_worker(s, HELD_WORKER_QUARANTINED, w, s->now - h->quarantined_at,
                   h->probing ? "success of the probe that runs"
                              : "success of the next task",
                   h->probing || h->probe_at <= s->now ? 0
                                                       : h->probe_at - s->now);
    }
    if (w->unanswered && silent >= HELD_MIN_MS) {
        count(s, HELD_WORKER_SILENT, silent);
        log_worker(s, HELD_WORKER_SILENT, w, silent,
                   w->tasks == NULL ? "a report" : "a report, or its leases",
                   w->tasks == NULL || w->lapse_at <= s->now
                       ? 0
                       : w->lapse_at - s->now);
    }
}

/* ---- VMs ---- */

static const char *
cordon_reason(const struct fleet_vm *v)
{
    if (v->order != VM_NONE) {
        return "the answer to an order";
    }
    if (v->accepted_at != 0) {
        return "its next worker";
    }
    if (v->draining) {
        return "its maintenance";
    }
    return v->reclaim_pool.len > 0 ? "its move, or less need of that pool"
                                   : "the move of its tasks, or its time";
}

static void
look_at_vm(struct scan *s, const struct fleet_vm *v)
{
    cw_ms ms = v->cordoned_at == 0 ? 0 : s->now - v->cordoned_at;

    if (v->left || ms < HELD_MIN_MS) {
        return;
    }
    count(s, HELD_VM_CORDONED, ms);
    if (may_log(s)) {
        cw_log(CW_INFO, "held",
               "kind=%s vm=%s pool=%s to=%s held_ms=%lld tasks=%u ends=\"%s\"",
               names[HELD_VM_CORDONED], v->name.text, v->pool.text,
               v->reclaim_pool.text, (long long)ms,
               v->worker == NULL ? 0 : v->worker->task_count,
               cordon_reason(v));
    }
}

/* ---- waves ---- */

static const char *const vm_states[WAVE_VM_STATES] = {
    [WAVE_VM_DONE] = "done",
    [WAVE_VM_LEFT] = "left",
    [WAVE_VM_UNLISTED] = "unlisted",
    [WAVE_VM_ORDERED] = "ordered",
    [WAVE_VM_NOT_UP] = "not_up",
    [WAVE_VM_REFUSED] = "refused",
    [WAVE_VM_FORMER_ORDER] = "former_order",
    [WAVE_VM_NO_WORKER] = "no_worker",
    [WAVE_VM_WORKER_AWAY] = "worker_away",
    [WAVE_VM_TASKS] = "tasks",
    [WAVE_VM_TURN] = "turn",
};

static void
look_at_wave(struct scan *s, struct wave_run *r, const struct cw_wave_order *w)
{
    size_t n[WAVE_VM_STATES] = {0};
    size_t first = w->vm_count;
    enum wave_vm_state first_state = WAVE_VM_DONE;
    cw_ms ms = s->now - r->first_seen;

    if (r->finished || ms < HELD_MIN_MS) {
        return;
    }
    for (size_t i = 0; i < w->vm_count; i++) {
        enum wave_vm_state st =
            cw_fleet_wave_vm_state(s->d, r, i, &w->vms[i], s->now);

        n[st]++;
        if (st != WAVE_VM_DONE && st != WAVE_VM_LEFT) {
            count(s, HELD_WAVE_VM, ms);
            /* Names the VM that is furthest from its maintenance. */
            if (first == w->vm_count || st < first_state) {
                first = i;
                first_state = st;
            }
        }
    }
    if (first == w->vm_count ||
        (r->logged_at != 0 && s->now - r->logged_at < REPEAT_MS)) {
        return;
    }
    r->logged_at = s->now;
    cw_log(CW_INFO, "wave_waits",
           "wave=%llu held_ms=%lld duration_ms=%lld vms=%zu done=%zu left=%zu "
           "unlisted=%zu ordered=%zu not_up=%zu refused=%zu former_order=%zu "
           "no_worker=%zu worker_away=%zu tasks=%zu turn=%zu reads=%u vm=%s "
           "vm_state=%s",
           (unsigned long long)r->number, (long long)ms,
           (long long)w->duration_ms, w->vm_count, n[WAVE_VM_DONE],
           n[WAVE_VM_LEFT], n[WAVE_VM_UNLISTED], n[WAVE_VM_ORDERED],
           n[WAVE_VM_NOT_UP], n[WAVE_VM_REFUSED], n[WAVE_VM_FORMER_ORDER],
           n[WAVE_VM_NO_WORKER], n[WAVE_VM_WORKER_AWAY], n[WAVE_VM_TASKS],
           n[WAVE_VM_TURN], r->reads, w->vms[first].text,
           vm_states[first_state]);
}

/* ---- all ---- */

static void
set_gauges(struct scan *s)
{
    for (int i = 0; i < HELD_KINDS; i++) {
        cw_jobd_set_gauge(s->d, "cuminwalk_held", names[i],
                          (double)s->count[i]);
        cw_jobd_set_gauge(s->d, "cuminwalk_held_longest_ms", names[i],
                          (double)s->longest[i]);
    }
}

static void
scan_scheduler(struct scan *s)
{
    struct cw_jobd *d = s->d;
    const struct cw_fleet *f = d->fleet;

    s->count[HELD_JOB_BLOCKED] = cw_sched_log_blocked(d->sched, s->now);
    s->longest[HELD_JOB_BLOCKED] = d->sched->blocked_longest_ms;
    for (const struct cw_pool *p = d->sched->pool_list; p != NULL;
         p = p->next) {
        for (const struct cw_worker *w = p->workers; w != NULL; w = w->next) {
            look_at_worker(s, w);
        }
    }
    for (const struct fleet_vm *v = f->list; v != NULL; v = v->next) {
        look_at_vm(s, v);
    }
    for (size_t i = 0; i < f->wave_count; i++) {
        look_at_wave(s, &f->waves[i], &d->waves[i]);
    }
}

void
cw_held_tick(struct cw_jobd *d, cw_ms now)
{
    struct scan s = {.d = d, .now = now};

    if (now < d->held_scan_at) {
        return;
    }
    d->held_scan_at = now + SCAN_MS;
    s.log_due = now >= d->held_log_at;
    if (s.log_due) {
        d->held_log_at = now + REPEAT_MS;
    }
    /* Gauges of a daemon that no longer schedules return to 0. */
    if (d->role == CW_ROLE_SCHEDULER && d->fleet != NULL) {
        scan_scheduler(&s);
    }
    set_gauges(&s);
}
