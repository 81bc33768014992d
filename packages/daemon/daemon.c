/* Lifecycle of the daemon: initialization of the modules, periodic tick,
 * graceful stop. */
#include "cw_daemon.h"

#include "cw_modules.h"
#include "cw_request.h"
#include "cw_runners.h"

#include <stdlib.h>
#include <string.h>

/* Once the listener is closed, open connections still accept requests for this
 * long, for those already on their way. The response closes the connection. */
#define LINGER_MS 1000
/* Limit for writing the leave record when the log does not answer. */
#define LEAVE_TIMEOUT_MS (3 * CW_SECOND)

static void
on_timer(uv_timer_t *t)
{
    struct cw_daemon *d = t->data;

    cw_daemon_tick(d);
}

void
cw_daemon_state_changed(struct cw_daemon *d, cw_ms now)
{
    cw_runners_refresh(d, now);
    cw_dispatch_update_services(d, now);
    cw_dispatch_serve_queues(d, CW_LIT(""));
}

/* Leaves the membership once nothing is in flight or drain_ms is over, then
 * stops the loop. */
static void
stop_tick(struct cw_daemon *d, cw_ms now)
{
    bool late = now - d->stop_began > d->settings->drain_ms;
    bool idle = d->front_in_flight == 0 && cw_forward_incoming_count(d) == 0 &&
                cw_upstream_count(d) == 0 && cw_keys_idle(d) &&
                now - d->stop_began > LINGER_MS;

    if (d->leave_began == 0) {
        if (!idle && !late) {
            return;
        }
        if (late && !idle) {
            cw_log(CW_WARN, "stop_late", "in_flight=%u forwarded=%zu",
                   d->front_in_flight, cw_forward_incoming_count(d));
        }
        d->leave_began = now;
        cw_members_leave(d);
    }
    if (cw_members_left(d) || now - d->leave_began > LEAVE_TIMEOUT_MS) {
        d->stopped = true;
        cw_log(CW_INFO, "stopped", "ms=%lld",
               (long long)(now - d->stop_began));
        uv_stop(d->loop);
    }
}

void
cw_daemon_tick(struct cw_daemon *d)
{
    cw_ms now = cw_daemon_now(d);

    cw_follower_tick(d, now);
    cw_members_tick(d, now);
    cw_peers_tick(d, now);
    cw_runners_tick(d, now);
    cw_probes_tick(d, now);
    cw_upstream_tick(d, now);
    cw_forward_tick(d, now);
    cw_keys_tick(d, now);
    cw_dispatch_tick(d, now);
    cw_front_tick(d, now);
    cw_stats_tick(d, now);
    cw_snapshots_tick(d, now);
    for (const struct cw_ctl *c = cw_ctl_table; c->name != NULL; c++) {
        if (!d->stopping) {
            c->tick(d, now);
        }
    }
    d->last_tick = now;
    if (d->stopping && !d->stopped) {
        stop_tick(d, now);
    }
}

static enum cw_status
init_modules(struct cw_daemon *d)
{
    static enum cw_status (*const inits[])(struct cw_daemon *) = {
        cw_members_init, cw_dispatch_init,  cw_runners_init, cw_follower_init,
        cw_probes_init,  cw_upstream_init,  cw_forward_init, cw_keys_init,
        cw_stats_init,   cw_snapshots_init, cw_peers_init,   cw_admin_init,
        cw_front_init,
    };

    for (size_t i = 0; i < sizeof(inits) / sizeof(inits[0]); i++) {
        enum cw_status s = inits[i](d);

        if (s != CW_OK) {
            if (d->msg[0] == '\0') {
                (void)cw_fail(d->msg, s, "%s", cw_status_name(s));
            }
            return s;
        }
    }
    return CW_OK;
}

enum cw_status
cw_daemon_start(struct cw_daemon *d)
{
    uint64_t seed = d->settings->seed;
    enum cw_status s;

    if (seed == 0) {
        seed = cw_hash_mix((uint64_t)cw_daemon_wall(d),
                           cw_hash(cw_daemon_name(d), 0));
    }
    cw_rng_init(&d->rng, seed);
    cw_metrics_init(&d->metrics);
    d->timer.data = d;
    if (uv_timer_init(d->loop, &d->timer) != 0) {
        return cw_fail(d->msg, CW_ERR_IO, "cannot create a timer");
    }
    d->timer_open = true;
    s = init_modules(d);
    if (s != CW_OK) {
        return s;
    }
    for (const struct cw_ctl *c = cw_ctl_table; c->name != NULL; c++) {
        if (c->init != NULL) {
            c->init(d);
        }
    }
    uv_timer_start(&d->timer, on_timer, 0, CW_TICK_MS);
    cw_log(CW_INFO, "started", "listen=%s peers=%s admin=%s version=%s",
           d->listen.text, d->peer_listen.text, d->admin_listen.text,
           CW_VERSION);
    return CW_OK;
}

void
cw_daemon_stop(struct cw_daemon *d)
{
    if (d->stopping) {
        return;
    }
    d->stopping = true;
    d->stop_began = cw_daemon_now(d);
    cw_log(CW_INFO, "stopping", "in_flight=%u", d->front_in_flight);
    cw_front_stop(d);
    cw_peers_request_heartbeat(d);
}

void
cw_daemon_finish(struct cw_daemon *d)
{
    d->stopped = true;
    if (d->timer_open) {
        uv_close((uv_handle_t *)&d->timer, NULL);
        d->timer_open = false;
    }
    for (const struct cw_ctl *c = cw_ctl_table; c->name != NULL; c++) {
        if (c->finish != NULL) {
            c->finish(d);
        }
    }
    cw_front_finish(d);
    cw_admin_finish(d);
    cw_peers_finish(d);
    cw_keys_finish(d);
    cw_forward_finish(d);
    cw_upstream_finish(d);
    cw_probes_finish(d);
    cw_runners_finish(d);
    cw_snapshots_finish(d);
    cw_stats_finish(d);
    cw_dispatch_finish(d);
    cw_follower_finish(d);
    cw_members_finish(d);
    cw_metrics_finish(&d->metrics);
}
