/* Life cycle of the job service's daemon: start, tick, graceful stop. */
#include "cw_jobd.h"

#include <stdlib.h>
#include <string.h>

#define TICK_MS 20
/* The load balancer probes once a second and removes a daemon after two failed
 * probes; until then new connections arrive. */
#define BALANCER_REMOVAL_MS 2200
/* After the listener has closed, time for requests in transit. */
#define LINGER_MS 300
/* A stopping scheduler waits this long for its last commit. */
#define HANDOVER_MAX_MS 1000
/* Part of the grace period that is reserved for the exit itself. */
#define EXIT_MARGIN_MS 1200
/* A tick that comes this late is logged, at most once in LATE_LOG_MS: the VM
 * has too little processor time, or was paused. */
#define LATE_TICK_MS 200
#define LATE_LOG_MS 1000
/* Time between removals of expired jobs and workers. */
#define SWEEP_INTERVAL_MS 1000

void *
cw_term_ctx_new(struct cw_jobd *d)
{
    struct cw_term_ctx *t = malloc(sizeof(*t));

    CW_INVARIANT(t != NULL);
    *t = (struct cw_term_ctx){d, d->term};
    return t;
}

struct cw_jobd *
cw_term_ctx_release(void *ctx)
{
    struct cw_term_ctx t = *(struct cw_term_ctx *)ctx;

    free(ctx);
    return t.term == t.d->term ? t.d : NULL;
}

#define LABEL_MAX 96

static void
kind_label(char out[LABEL_MAX], const char *kind)
{
    out[0] = '\0';
    if (kind[0] != '\0') {
        (void)snprintf(out, LABEL_MAX, "kind=\"%s\"", kind);
    }
}

void
cw_jobd_count(struct cw_jobd *d, const char *name, const char *kind)
{
    char label[LABEL_MAX];
    uint64_t *v;

    kind_label(label, kind);
    v = cw_metrics_counter(&d->metrics, name, label);
    if (v != NULL) {
        (*v)++;
    }
}

void
cw_jobd_set_gauge(struct cw_jobd *d, const char *name, const char *kind,
                  double value)
{
    char label[LABEL_MAX];
    double *v;

    kind_label(label, kind);
    v = cw_metrics_gauge(&d->metrics, name, label);
    if (v != NULL) {
        *v = value;
    }
}

void
cw_jobd_record_ms(struct cw_jobd *d, const char *name, const char *kind,
                  cw_ms ms)
{
    char label[LABEL_MAX];
    struct cw_hist *h;

    kind_label(label, kind);
    h = cw_metrics_hist(&d->metrics, name, label);
    if (h != NULL) {
        cw_hist_record(h, ms > 0 ? (uint64_t)ms : 0);
    }
}

/* Adds what was counted since the last call: the scheduler's state counts from
 * its takeover, the metrics from the start of the process. */
static void
add_counted(struct cw_jobd *d, const char *name, const char *kind,
            uint64_t *last, uint64_t n)
{
    char label[LABEL_MAX];
    uint64_t *v;

    kind_label(label, kind);
    v = cw_metrics_counter(&d->metrics, name, label);
    if (v != NULL) {
        *v += n - *last;
        *last = n;
    }
}

void
cw_jobd_count_given_up(struct cw_jobd *d)
{
    struct cw_sched *s = d->sched;

    for (enum cw_run_proof i = CW_PROOF_REPORT_END; i < CW_PROOF_COUNT; i++) {
        if (s->counted.given_up[i] != s->given_up[i]) {
            add_counted(d, "cuminwalk_runs_given_up_total",
                        cw_run_proof_name(i), &s->counted.given_up[i],
                        s->given_up[i]);
        }
    }
}

/* Finds slow workers and replaces overdue tasks. */
static void
watch_workers(struct cw_jobd *d, cw_ms now)
{
    const struct cw_replace_counts *c = &d->sched->replaced;
    struct cw_replace_counts *last = &d->sched->counted.replaced;
    double *slow = cw_metrics_gauge(&d->metrics, "cuminwalk_slow_workers", "");

    d->sched->far_factor = d->settings.far_factor;
    cw_sched_classify_workers(d->sched, d->settings.uneven_workers, now);
    if (cw_member_lease_valid(d, now)) {
        /* Without the membership its stops would be sent seconds later. */
        cw_sched_replace_overdue(d->sched, now);
    }
    if (slow != NULL) {
        *slow = 0;
        for (const struct cw_pool *p = d->sched->pool_list; p != NULL;
             p = p->next) {
            *slow += p->slow_count;
        }
    }
    add_counted(d, "cuminwalk_replaced_total", "slow",
                &last->reasons[CW_REPLACE_SLOW], c->reasons[CW_REPLACE_SLOW]);
    add_counted(d, "cuminwalk_replaced_total", "silent",
                &last->reasons[CW_REPLACE_SILENT],
                c->reasons[CW_REPLACE_SILENT]);
    add_counted(d, "cuminwalk_replaced_total", "stuck",
                &last->reasons[CW_REPLACE_STUCK],
                c->reasons[CW_REPLACE_STUCK]);
    add_counted(d, "cuminwalk_copies_total", "started", &last->copies,
                c->copies);
    add_counted(d, "cuminwalk_copies_total", "first_won", &last->first_won,
                c->first_won);
    add_counted(d, "cuminwalk_copies_total", "second_won", &last->second_won,
                c->second_won);
    cw_jobd_count_given_up(d);
}

static void
add_to_counter(struct cw_jobd *d, const char *name, uint64_t add)
{
    uint64_t *v = cw_metrics_counter(&d->metrics, name, "");

    if (v != NULL) {
        *v += add;
    }
}

/* The scheduler's state counts from its takeover, the metrics from the start
 * of the process. */
static void
update_interference_metrics(struct cw_jobd *d)
{
    struct cw_sched *s = d->sched;
    double *pairs =
        cw_metrics_gauge(&d->metrics, "cuminwalk_interference_pairs", "");

    if (pairs != NULL) {
        *pairs = s->interfere == NULL
                     ? 0
                     : (double)cw_interfere_known(s->interfere);
    }
    add_to_counter(d, "cuminwalk_interference_placements_total",
                   s->interfere_moves);
    add_to_counter(d, "cuminwalk_backfill_pauses_total", s->harm_pauses);
    s->interfere_moves = 0;
    s->harm_pauses = 0;
}

static void
sched_tick(struct cw_jobd *d, cw_ms now)
{
    cw_watch_workers(d, now);
    if (d->role != CW_ROLE_SCHEDULER) {
        return;
    }
    cw_agents_tick(d, now);
    if (d->role != CW_ROLE_SCHEDULER) {
        return;
    }
    watch_workers(d, now);
    cw_sched_pace_backfill(d->sched, now);
    cw_fleet_tick(d, now);
    cw_tenants_tick(d, now);
    if (now >= d->next_sweep_at) {
        d->next_sweep_at = now + SWEEP_INTERVAL_MS;
        cw_sched_expire_jobs(d->sched, now);
        cw_sched_sweep_workers(d->sched, now, cw_agent_close);
        update_interference_metrics(d);
    }
    cw_sched_wake_pools(d->sched, now);
    if (d->sched->plan_due || d->sched->dirty != NULL) {
        cw_commit_schedule(d);
    }
}

static void
stop_tick(struct cw_jobd *d, cw_ms now)
{
    cw_ms elapsed = now - d->stop_began;
    bool late = elapsed > d->settings.grace_ms - EXIT_MARGIN_MS;

    if (!d->leaving && ((!d->commit_busy && d->committing == NULL) ||
                        elapsed > HANDOVER_MAX_MS)) {
        cw_member_step_down(d, "stopping");
        cw_member_leave(d);
    }
    if (elapsed > BALANCER_REMOVAL_MS && d->front.listener != NULL) {
        cw_http_server_stop(&d->front);
    }
    if ((elapsed > BALANCER_REMOVAL_MS + LINGER_MS &&
         d->front_calls_open == 0) ||
        late) {
        cw_log(CW_INFO, "stopped", "ms=%lld open=%u", (long long)elapsed,
               d->front_calls_open);
        uv_stop(d->loop);
    }
}

static void
watch_lateness(struct cw_jobd *d, cw_ms now)
{
    cw_ms late = now - d->last_tick_at - TICK_MS;

    if (d->last_tick_at != 0) {
        cw_loop_lag_add(&d->lag, late);
    }
    if (d->last_tick_at != 0 && late > LATE_TICK_MS) {
        cw_jobd_count(d, "cuminwalk_late_ticks_total", "");
        if (now >= d->late_log_due) {
            d->late_log_due = now + LATE_LOG_MS;
            cw_log(CW_WARN, "loop_late", "ms=%lld scheduler=%d",
                   (long long)late, d->role == CW_ROLE_SCHEDULER);
        }
    }
    d->last_tick_at = now;
}

void
cw_jobd_watch_wall(struct cw_jobd *d, cw_ms now)
{
    cw_ms used = d->wall.offset;

    if (cw_wall_sample(&d->wall, d->clock.wall(d->clock.ctx), now)) {
        cw_jobd_count(d, "cuminwalk_clock_jumps_total", "");
        cw_log(CW_WARN, "clock_jump", "ahead_ms=%lld changed_ms=%lld",
               (long long)(d->wall.shown - d->wall.offset),
               (long long)(d->wall.offset - used));
    }
    if (d->role == CW_ROLE_SCHEDULER) {
        cw_sched_set_wall_offset(d->sched, d->wall.offset, now);
    }
}

static void
on_tick(uv_timer_t *t)
{
    struct cw_jobd *d = t->data;
    cw_ms now = cw_jobd_now(d);

    watch_lateness(d, now);
    cw_jobd_watch_wall(d, now);
    cw_member_tick(d, now);
    cw_watch_operators(d, now);
    sched_tick(d, now);
    cw_held_tick(d, now);
    cw_forward_scheduler_tick(d, now);
    cw_calls_tick(d, now);
    cw_limits_tick(d, now);
    if (d->stopping) {
        stop_tick(d, now);
    }
}

enum cw_status
cw_jobd_start(struct cw_jobd *d)
{
    enum cw_status s;

    cw_metrics_init(&d->metrics);
    /* Calls are held, not refused, until an existing scheduler is found. */
    d->scheduler_reachable_at = cw_jobd_now(d);
    cw_rng_init(&d->rng,
                cw_hash_mix((uint64_t)d->clock.wall(d->clock.ctx),
                            cw_hash(cw_name_str(&d->settings.daemon), 0)));
    d->store_ok = true;
    s = cw_commit_init(d);
    if (s == CW_OK) {
        s = cw_jobd_peers_init(d);
    }
    if (s == CW_OK) {
        s = cw_jobd_front_init(d);
    }
    if (s == CW_OK) {
        s = cw_limits_apply(d);
    }
    if (s != CW_OK) {
        return s;
    }
    d->tick.data = d;
    if (uv_timer_init(d->loop, &d->tick) != 0) {
        return cw_fail(d->msg, CW_ERR_IO, "cannot make a timer");
    }
    uv_timer_start(&d->tick, on_tick, 0, TICK_MS);
    cw_log(CW_INFO, "started",
           "listen=%s peers=%s ready=%s store=%s vm_control=%s version=%s",
           d->settings.listen.text, d->settings.peer_listen.text,
           d->settings.ready_listen.text, d->settings.store.text,
           d->settings.vm_control.text, CW_VERSION);
    return CW_OK;
}

void
cw_jobd_stop(struct cw_jobd *d)
{
    if (d->stopping) {
        return;
    }
    d->stopping = true;
    d->stop_began = cw_jobd_now(d);
    cw_log(CW_INFO, "stopping", "open=%u scheduler=%d", d->front_calls_open,
           d->role == CW_ROLE_SCHEDULER);
}

void
cw_jobd_reload(struct cw_jobd *d, const struct cw_jobd_settings *s)
{
    struct cw_jobd_settings *to = &d->settings;

    /* Times apply from now on; addresses need a restart. */
    to->member_ttl_ms = s->member_ttl_ms;
    to->grace_ms = s->grace_ms;
    to->status_ms = s->status_ms;
    to->stop_ms = s->stop_ms;
    to->move_ms = s->move_ms;
    to->vm_lease_ms = s->vm_lease_ms;
    to->harm_ms = s->harm_ms;
    to->interference = s->interference;
    if (d->sched != NULL) {
        cw_sched_set_interference(d->sched, s->interference, s->harm_ms);
    }
    to->strict_revoke = s->strict_revoke;
    to->revoke_ms = s->revoke_ms;
    to->admission = s->admission;
    to->uneven_workers = s->uneven_workers;
    to->far_factor = s->far_factor;
    cw_log(CW_INFO, "settings_reloaded", "grace_ms=%lld status_ms=%lld",
           (long long)s->grace_ms, (long long)s->status_ms);
}

void
cw_jobd_finish(struct cw_jobd *d)
{
    cw_member_step_down(d, "finish");
    cw_calls_finish(d);
    d->finished = true;
    uv_close((uv_handle_t *)&d->tick, NULL);
    uv_close((uv_handle_t *)&d->commit_timer, NULL);
    cw_http_server_finish(&d->front);
    cw_http_server_finish(&d->ready);
    cw_http_server_finish(&d->metrics_server);
    cw_peer_net_finish(&d->peers);
    cw_fleet_config_finish(&d->config);
    for (size_t i = 0; i < d->wave_count; i++) {
        free(d->waves[i].vms);
    }
    free(d->waves);
    cw_buf_finish(&d->batch.bytes);
    cw_metrics_finish(&d->metrics);
}
