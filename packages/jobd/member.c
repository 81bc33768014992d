/* Membership of the group of daemons, and the takeover of the scheduler's
 * part of it. */
#include "cw_jobd.h"

#include <stdlib.h>
#include <string.h>

/* Time between joins: several fit into the shortest membership. */
#define JOIN_EVERY_MS 250
/* Joins that may wait for their answers: the store counts from their arrival,
 * so that slow answers need not end a membership. */
#define JOINS_OPEN 4
/* Daemons that stand by for the scheduler's part, the holder included. */
#define GROUP_SIZE 3
/* A daemon with less of a core than this joins only when no other does; the
 * scheduler of 350 workers takes about a tenth of a core. */
#define STRONG_CORES 0.2
#define WEAK_WAIT_MS 2000
/* Spread of the first joins, so that not all join at the same moment. */
#define JOIN_SPREAD_MS 200
/* Time between questions who schedules, while it is known and while not. */
#define OWNER_EVERY_MS 500
#define OWNER_SOON_MS 100
#define STORE_TIMEOUT_MS 900
/* Takeovers that one generation of the group has room for. */
#define EPOCHS_PER_GENERATION 1000
/* A takeover that failed starts again after this. */
#define TAKEOVER_RETRY_MS 200

static void load_jobs(struct cw_jobd *d);

bool
cw_member_certain(const struct cw_jobd *d, cw_ms now)
{
    return d->role == CW_ROLE_SCHEDULER && now < d->member_until;
}

void
cw_member_step_down(struct cw_jobd *d, const char *why)
{
    if (d->role == CW_ROLE_FOLLOWER) {
        return;
    }
    cw_log(d->stopping ? CW_INFO : CW_WARN, "scheduler_end",
           "epoch=%llu reason=%s ms=%lld", (unsigned long long)d->epoch, why,
           (long long)(cw_jobd_now(d) - d->role_at));
    d->life++;
    d->role = CW_ROLE_FOLLOWER;
    d->owner.len = 0;
    d->owner.text[0] = '\0';
    d->owner_due = 0;
    cw_fleet_close(d);
    cw_agents_close(d);
    cw_commit_reset(d);
    cw_calls_abandon(d);
    if (d->sched != NULL) {
        cw_sched_finish(d->sched);
        free(d->sched);
        d->sched = NULL;
    }
    d->workers_known = false;
    d->workers_busy = false;
    d->workers_due = 0;
    d->load_after.len = 0;
}

/* ---- takeover ---- */

static void
takeover_failed(struct cw_jobd *d, const char *what, enum cw_status s)
{
    cw_log(CW_WARN, "takeover_failed", "epoch=%llu step=%s status=%s",
           (unsigned long long)d->epoch, what, cw_status_name(s));
    cw_member_step_down(d, "takeover_failed");
    d->join_at = cw_jobd_now(d) + TAKEOVER_RETRY_MS;
}

static void
begin(struct cw_jobd *d, cw_ms now)
{
    cw_sched_loaded(d->sched, now);
    d->role = CW_ROLE_SCHEDULER;
    d->owner = d->settings.peer_listen;
    cw_log(CW_INFO, "scheduler_begin", "epoch=%llu jobs=%zu ms=%lld",
           (unsigned long long)d->epoch, d->sched->job_count,
           (long long)(now - d->role_at));
    cw_jobd_time(d, "cuminwalk_takeover_ms", "", now - d->role_at);
    cw_fleet_open(d);
    cw_watch_workers(d, now);
    cw_commit_wake(d);
}

static void
on_jobs(void *arg, enum cw_status s, const struct cw_store_page *p)
{
    struct cw_jobd *d = cw_ticket_take(arg);
    cw_ms now;

    if (d == NULL || d->role != CW_ROLE_TAKEOVER) {
        return;
    }
    if (s != CW_OK) {
        takeover_failed(d, "jobs", s);
        return;
    }
    now = cw_jobd_now(d);
    for (size_t i = 0; i < p->count; i++) {
        enum cw_status st = cw_sched_load(d->sched, p->records[i].key,
                                          p->records[i].value, now);

        if (st != CW_OK) {
            cw_log(CW_ERROR, "record_invalid", "key=%.*s bytes=%zu status=%s",
                   CW_FMT(p->records[i].key), p->records[i].value.len,
                   cw_status_name(st));
        }
        (void)cw_name_set(&d->load_after, p->records[i].key);
    }
    if (p->more && p->count > 0) {
        load_jobs(d);
        return;
    }
    begin(d, now);
}

static void
load_jobs(struct cw_jobd *d)
{
    d->ports.store.read_latest(d->ports.ctx, CW_STREAM_JOBS,
                               cw_name_str(&d->load_after), STORE_TIMEOUT_MS,
                               on_jobs, cw_ticket_make(d));
}

static void
on_fenced(void *arg, enum cw_status s)
{
    struct cw_jobd *d = cw_ticket_take(arg);

    if (d == NULL || d->role != CW_ROLE_TAKEOVER) {
        return;
    }
    if (s != CW_OK) {
        /* Fenced: an earlier process of ours had a higher number in this
         * generation; the next attempt gets one more. */
        takeover_failed(d, "fence", s);
        return;
    }
    d->load_after.len = 0;
    load_jobs(d);
}

static void
take_over(struct cw_jobd *d, cw_ms now)
{
    static const struct cw_store_batch empty;
    struct cw_sched_limits limits = {
        .status_ms = d->settings.status_ms,
        .lease_ms = d->settings.lease_ms,
    };

    d->sched = calloc(1, sizeof(*d->sched));
    if (d->sched == NULL) {
        return;
    }
    d->life++;
    d->role = CW_ROLE_TAKEOVER;
    d->role_at = now;
    if (d->generation != d->attempt_generation) {
        d->attempt_generation = d->generation;
        d->attempt = 0;
    }
    /* A daemon may take over more than once in a generation, also after a
     * restart that the group did not notice. */
    d->epoch = d->generation * EPOCHS_PER_GENERATION + d->attempt;
    d->attempt++;
    d->sequence = 0;
    cw_sched_init(d->sched, &limits, &cw_agent_ops, d);
    d->sched->wall_offset = d->clock.wall(d->clock.ctx) - now;
    cw_log(CW_INFO, "takeover", "epoch=%llu former=%s",
           (unsigned long long)d->epoch, d->owner.text);
    d->ports.store.append(d->ports.ctx, &empty, d->epoch, d->sequence,
                          STORE_TIMEOUT_MS, on_fenced, cw_ticket_make(d));
}

/* ---- membership ---- */

static void
note_store(struct cw_jobd *d, bool ok, enum cw_status s)
{
    if (ok != d->store_ok) {
        cw_log(ok ? CW_INFO : CW_WARN, ok ? "store_regained" : "store_lost",
               "address=%s status=%s", d->settings.store.text,
               cw_status_name(s));
        d->store_ok = ok;
    }
}

struct join_call {
    struct cw_jobd *d;
    cw_ms sent;
};

static void
on_join(void *arg, enum cw_status s, uint64_t generation, bool holds)
{
    struct join_call call = *(struct join_call *)arg;
    struct cw_jobd *d = call.d;
    cw_ms now = cw_jobd_now(d);

    free(arg);
    if (d->finished) {
        return;
    }
    d->joins_open--;
    note_store(d, s == CW_OK, s);
    if (s != CW_OK) {
        cw_jobd_count(d, "cuminwalk_join_failures_total", cw_status_name(s));
        return;
    }
    if (d->leaving || !d->in_group || generation < d->generation) {
        return; /* overtaken by a later join, or no longer wanted */
    }
    if (generation != d->generation) {
        cw_log(CW_INFO, "group_changed", "generation=%llu was=%llu holds=%d",
               (unsigned long long)generation,
               (unsigned long long)d->generation, holds);
    }
    d->generation = generation;
    if (call.sent + d->settings.member_ttl_ms > d->member_until) {
        d->member_until = call.sent + d->settings.member_ttl_ms;
    }
    if (!holds) {
        cw_member_step_down(d, "part_lost");
    }
    else if (d->role == CW_ROLE_FOLLOWER) {
        take_over(d, now);
    }
}

static void
send_join(struct cw_jobd *d, cw_ms now)
{
    struct join_call *call = malloc(sizeof(*call));

    CW_INVARIANT(call != NULL);
    *call = (struct join_call){d, now};
    d->joins_open++;
    d->join_at = now + JOIN_EVERY_MS;
    d->ports.store.join(d->ports.ctx, cw_name_str(&d->settings.peer_listen),
                        d->generation, d->settings.member_ttl_ms, on_join,
                        call);
}

static void
on_left(void *arg, enum cw_status s)
{
    struct cw_jobd *d = arg;

    cw_log(CW_INFO, "group_left", "status=%s stopping=%d", cw_status_name(s),
           d->stopping);
}

/* Leaves the group, and may join again later. */
static void
stand_down(struct cw_jobd *d)
{
    d->in_group = false;
    d->ports.store.leave(d->ports.ctx, cw_name_str(&d->settings.peer_listen),
                         on_left, d);
}

/* Few daemons are in the group: each that joins or leaves may move the part
 * of the scheduler. Another one joins when there are less than GROUP_SIZE, and
 * a weak one only when nobody has scheduled for a while. */
static void
consider_joining(struct cw_jobd *d, uint32_t members, cw_ms now)
{
    bool weak = d->settings.cores < STRONG_CORES;

    if (d->owner.len > 0 || d->ownerless_at == 0) {
        d->ownerless_at = now;
    }
    if (weak && d->in_group && d->role == CW_ROLE_FOLLOWER &&
        d->owner.len > 0 && members > 1) {
        cw_log(CW_INFO, "group_stand_down", "members=%u cores=%g", members,
               d->settings.cores);
        stand_down(d);
        return;
    }
    if (d->in_group || d->leaving || members >= GROUP_SIZE ||
        (weak && now - d->ownerless_at < WEAK_WAIT_MS)) {
        return;
    }
    d->in_group = true;
    d->join_at = now + (cw_ms)cw_rng_below(&d->rng, JOIN_SPREAD_MS);
}

static void
on_owner(void *arg, enum cw_status s, struct cw_str member, uint32_t members)
{
    struct cw_jobd *d = arg;
    cw_ms now = cw_jobd_now(d);
    bool same = cw_str_eq(cw_name_str(&d->owner), member);

    d->owner_busy = false;
    if (s != CW_OK || d->finished || d->role != CW_ROLE_FOLLOWER) {
        return;
    }
    if (!same && cw_name_set(&d->owner, member) == CW_OK &&
        !cw_name_eq(&d->owner, &d->owner_logged)) {
        cw_log(CW_INFO, "scheduler_known", "address=%s was=%s", d->owner.text,
               d->owner_logged.text);
        d->owner_logged = d->owner;
    }
    consider_joining(d, members, now);
    d->owner_due = now + (same ? OWNER_EVERY_MS : OWNER_SOON_MS);
}

void
cw_member_leave(struct cw_jobd *d)
{
    d->leaving = true;
    stand_down(d);
}

void
cw_member_tick(struct cw_jobd *d, cw_ms now)
{
    if (d->in_group && d->joins_open < JOINS_OPEN && !d->leaving &&
        now >= d->join_at) {
        send_join(d, now);
    }
    if (d->role == CW_ROLE_FOLLOWER && !d->owner_busy && now >= d->owner_due) {
        d->owner_busy = true;
        d->owner_due = now + OWNER_SOON_MS;
        d->ports.store.get_owner(d->ports.ctx, STORE_TIMEOUT_MS, on_owner, d);
    }
}
