/* Puts the daemon of the job service together: start, tick, graceful stop. */
#include "cw_jobd.h"

#include <stdlib.h>
#include <string.h>

#define TICK_MS 20
/* The balancer probes once a second and takes a daemon out after two misses;
 * until then new connections come. */
#define PROBE_OUT_MS 2200
/* Time after the listener closed for requests that were on their way. */
#define LINGER_MS 300
/* A scheduler that stops waits this long for its last commit. */
#define HANDOVER_MAX_MS 1000
/* What is kept of the grace period for the exit itself. */
#define EXIT_MARGIN_MS 1200
/* Time between looks for jobs and workers that can be forgotten. */
#define SWEEP_EVERY_MS 1000

void *
cw_ticket_make(struct cw_jobd *d)
{
    struct cw_ticket *t = malloc(sizeof(*t));

    CW_INVARIANT(t != NULL);
    *t = (struct cw_ticket){d, d->life};
    return t;
}

struct cw_jobd *
cw_ticket_take(void *ticket)
{
    struct cw_ticket t = *(struct cw_ticket *)ticket;

    free(ticket);
    return t.life == t.d->life ? t.d : NULL;
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
cw_jobd_time(struct cw_jobd *d, const char *name, const char *kind, cw_ms ms)
{
    char label[LABEL_MAX];
    struct cw_hist *h;

    kind_label(label, kind);
    h = cw_metrics_hist(&d->metrics, name, label);
    if (h != NULL) {
        cw_hist_record(h, ms > 0 ? (uint64_t)ms : 0);
    }
}

static void
sched_tick(struct cw_jobd *d, cw_ms now)
{
    cw_watch_workers(d, now);
    if (d->role != CW_ROLE_SCHEDULER) {
        return;
    }
    cw_sched_expire_leases(d->sched, now);
    cw_agents_tick(d, now);
    if (d->role != CW_ROLE_SCHEDULER) {
        return;
    }
    cw_sched_pace_backfill(d->sched, now);
    cw_fleet_tick(d, now);
    if (now >= d->sweep_at) {
        d->sweep_at = now + SWEEP_EVERY_MS;
        cw_sched_expire_jobs(d->sched, now);
        cw_sched_sweep_workers(d->sched, now, cw_agent_drop);
        d->sched->plan_due = true; /* pauses and due times have passed */
    }
    if (d->sched->plan_due || d->sched->dirty != NULL) {
        cw_commit_wake(d);
    }
}

static void
stop_tick(struct cw_jobd *d, cw_ms now)
{
    cw_ms since = now - d->stop_at;
    bool late = since > d->settings.grace_ms - EXIT_MARGIN_MS;

    if (!d->leaving && ((!d->commit_busy && d->committing == NULL) ||
                        since > HANDOVER_MAX_MS)) {
        cw_member_step_down(d, "stopping");
        cw_member_leave(d);
    }
    if (since > PROBE_OUT_MS && d->front.listener != NULL) {
        cw_http_server_stop(&d->front);
    }
    if ((since > PROBE_OUT_MS + LINGER_MS && d->front_open == 0) || late) {
        cw_log(CW_INFO, "stopped", "ms=%lld open=%u", (long long)since,
               d->front_open);
        uv_stop(d->loop);
    }
}

static void
on_tick(uv_timer_t *t)
{
    struct cw_jobd *d = t->data;
    cw_ms now = cw_jobd_now(d);

    cw_member_tick(d, now);
    cw_watch_operators(d, now);
    sched_tick(d, now);
    cw_forward_owner_tick(d, now);
    cw_calls_tick(d, now);
    if (d->stopping) {
        stop_tick(d, now);
    }
}

enum cw_status
cw_jobd_start(struct cw_jobd *d)
{
    enum cw_status s;

    cw_metrics_init(&d->metrics);
    d->linked_at = cw_jobd_now(d); /* another may schedule already */
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
    d->stop_at = cw_jobd_now(d);
    cw_log(CW_INFO, "stopping", "open=%u scheduler=%d", d->front_open,
           d->role == CW_ROLE_SCHEDULER);
}

void
cw_jobd_reload(struct cw_jobd *d, const struct cw_jobd_settings *s)
{
    struct cw_jobd_settings *to = &d->settings;

    /* Addresses stay until the next start; times hold from now on. */
    to->member_ttl_ms = s->member_ttl_ms;
    to->grace_ms = s->grace_ms;
    to->status_ms = s->status_ms;
    to->move_ms = s->move_ms;
    to->vm_lease_ms = s->vm_lease_ms;
    cw_log(CW_INFO, "settings_reloaded", "grace_ms=%lld status_ms=%lld",
           (long long)s->grace_ms, (long long)s->status_ms);
}

void
cw_jobd_finish(struct cw_jobd *d)
{
    cw_member_step_down(d, "finish");
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
