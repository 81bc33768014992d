/* Membership of the group of daemons, one of which the store makes the
 * scheduler. */
#include "member_int.h"

#include <stdlib.h>
#include <string.h>

/* Time between joins: several fit into the shortest membership. */
#define JOIN_INTERVAL_MS 250
/* The same after a change of the group, or of the scheduler. */
#define JOIN_SOON_MS 20
/* Concurrent joins: the store extends the membership when a join arrives, so
 * that slow answers need not end it. */
#define JOINS_IN_FLIGHT_MAX 4
/* Members that the group should have: the scheduler and its standbys. */
#define GROUP_SIZE 3
/* A daemon with less of a core than this joins only when no other does; the
 * scheduler of 350 workers uses about a tenth of a core. */
#define FULL_MEMBER_CORES 0.2
/* Time without a scheduler after which such a daemon joins. */
#define LOW_CPU_JOIN_DELAY_MS 2000
/* Jitter of the first join, so that daemons do not all join at once. */
#define JOIN_JITTER_MS 200
/* Time between queries for the scheduler after an answer that was the same as
 * before, and after one that differed. */
#define SCHEDULER_QUERY_INTERVAL_MS 500
#define SCHEDULER_QUERY_SOON_MS 100
/* For this long after the scheduler could not prove its role the store is
 * asked soon again: the role may move. */
#define DENIED_SOON_MS 1000
/* The same while the connected scheduler confirms its role, only to keep the
 * group at its size; varied, so that the daemons ask at different times. */
#define GROUP_CHECK_MS 8000
#define GROUP_CHECK_JITTER_MS 4000
/* Time for a member to answer before the next one is asked. */
#define MEMBER_TRY_MS 300
#define STORE_TIMEOUT_MS 900

static void
set_store_ok(struct cw_jobd *d, bool ok, enum cw_status s)
{
    if (ok != d->store_ok) {
        cw_log(ok ? CW_INFO : CW_WARN, ok ? "store_regained" : "store_lost",
               "address=%s status=%s", d->settings.store.text,
               cw_status_name(s));
        d->store_ok = ok;
    }
}

struct join_ctx {
    struct cw_jobd *d;
    cw_ms sent;
};

/* A part is free for its next owner when the former one has joined with the
 * generation that took it away, and the next one learns that from its own next
 * join. Nobody schedules in between, so neither waits for its interval. */
static void
join_soon(struct cw_jobd *d, cw_ms now)
{
    if (d->next_join_at > now + JOIN_SOON_MS) {
        d->next_join_at = now + JOIN_SOON_MS;
    }
}

void
cw_member_scheduler_left(struct cw_jobd *d, cw_ms now)
{
    if (d->in_group) {
        join_soon(d, now);
    }
}

static void
on_join(void *arg, enum cw_status s, uint64_t generation, bool assigned)
{
    struct join_ctx call = *(struct join_ctx *)arg;
    struct cw_jobd *d = call.d;
    cw_ms now = cw_jobd_now(d);
    bool expired = now >= d->member_valid_until;
    /* After one change that leaves the role here it was here all the time. */
    bool held = generation <= d->generation + 1;

    free(arg);
    if (d->finished) {
        return;
    }
    d->joins_in_flight--;
    set_store_ok(d, s == CW_OK, s);
    if (s != CW_OK) {
        cw_jobd_count(d, "cuminwalk_join_failures_total", cw_status_name(s));
        return;
    }
    if (d->leaving || !d->in_group || generation < d->generation) {
        return; /* left, or a later join was answered first */
    }
    if (generation != d->generation) {
        cw_log(CW_INFO, "group_changed", "generation=%llu was=%llu holds=%d",
               (unsigned long long)generation,
               (unsigned long long)d->generation, assigned);
    }
    if (generation != d->generation && d->generation != 0) {
        join_soon(d, now);
    }
    d->generation = generation;
    if (call.sent + d->settings.member_ttl_ms > d->member_valid_until) {
        d->member_valid_until = call.sent + d->settings.member_ttl_ms;
    }
    if (!assigned) {
        cw_member_step_down(d, "part_lost");
    }
    else if (d->role == CW_ROLE_FOLLOWER) {
        cw_member_start_takeover(d, now);
    }
    else if ((expired || !held) && now < d->member_valid_until) {
        cw_member_require_proof(d);
    }
}

static void
send_join(struct cw_jobd *d, cw_ms now)
{
    struct join_ctx *call = malloc(sizeof(*call));

    CW_INVARIANT(call != NULL);
    *call = (struct join_ctx){d, now};
    d->joins_in_flight++;
    d->next_join_at = now + JOIN_INTERVAL_MS;
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

/* Leaves the group; the daemon may join again later. */
static void
leave_group(struct cw_jobd *d)
{
    d->in_group = false;
    d->ports.store.leave(d->ports.ctx, cw_name_str(&d->settings.peer_listen),
                         on_left, d);
}

/* Decides whether to join or leave. The group is kept small because each join
 * or leave may move the scheduler role to another daemon: a daemon joins while
 * there are fewer than GROUP_SIZE members, and one with little CPU only when
 * there has been no scheduler for a while. */
static void
update_membership(struct cw_jobd *d, uint32_t members, cw_ms now)
{
    bool low_cpu = d->settings.cores < FULL_MEMBER_CORES;

    if (d->scheduler.len > 0 || d->scheduler_seen_at == 0) {
        d->scheduler_seen_at = now;
    }
    if (low_cpu && d->in_group && d->role == CW_ROLE_FOLLOWER &&
        d->scheduler.len > 0 && members > 1) {
        cw_log(CW_INFO, "group_stand_down", "members=%u cores=%g", members,
               d->settings.cores);
        leave_group(d);
        return;
    }
    if (d->in_group || d->leaving || members >= GROUP_SIZE ||
        (low_cpu && now - d->scheduler_seen_at < LOW_CPU_JOIN_DELAY_MS)) {
        return;
    }
    d->in_group = true;
    d->next_join_at = now + (cw_ms)cw_rng_below(&d->rng, JOIN_JITTER_MS);
}

/* While the store does not answer, asks the members of the group in turn who
 * schedules: the next scheduler was one of them. */
static void
try_next_member(struct cw_jobd *d, cw_ms now)
{
    if ((d->scheduler_conn_open && !d->scheduler_unproved &&
         d->scheduler_denied_at == 0) ||
        now - d->scheduler_conn_at < MEMBER_TRY_MS) {
        return;
    }
    for (uint32_t i = 0; i < d->member_count; i++) {
        const struct cw_name *next =
            &d->members[d->member_next++ % d->member_count];

        if (!cw_name_eq(next, &d->settings.peer_listen) &&
            !cw_name_eq(next, &d->scheduler)) {
            d->scheduler = *next;
            d->scheduler_unproved = true;
            cw_log(CW_INFO, "scheduler_guess", "address=%s",
                   d->scheduler.text);
            return;
        }
    }
}

static void
remember_members(struct cw_jobd *d, const struct cw_str *members,
                 uint32_t count)
{
    if (count == 0) {
        return;
    }
    d->member_count = 0;
    for (uint32_t i = 0; i < count && d->member_count < CW_MEMBERS_MAX; i++) {
        if (cw_name_set(&d->members[d->member_count], members[i]) == CW_OK) {
            d->member_count++;
        }
    }
}

static void
on_scheduler_answer(void *arg, enum cw_status s, struct cw_str member,
                    const struct cw_str *members, uint32_t member_count)
{
    struct cw_jobd *d = arg;
    cw_ms now = cw_jobd_now(d);
    bool same = cw_str_eq(cw_name_str(&d->scheduler), member);
    bool denied_lately = d->scheduler_denied_at != 0 &&
                         now - d->scheduler_denied_at < DENIED_SOON_MS;
    cw_ms wait = same && !denied_lately ? SCHEDULER_QUERY_INTERVAL_MS
                                        : SCHEDULER_QUERY_SOON_MS;

    d->scheduler_query_open = false;
    if (d->finished || d->role != CW_ROLE_FOLLOWER) {
        return;
    }
    if (s != CW_OK) {
        try_next_member(d, now);
        return;
    }
    remember_members(d, members, member_count);
    d->scheduler_unproved = false;
    if (!same && cw_name_set(&d->scheduler, member) == CW_OK &&
        !cw_name_eq(&d->scheduler, &d->scheduler_logged)) {
        cw_log(CW_INFO, "scheduler_known", "address=%s was=%s",
               d->scheduler.text, d->scheduler_logged.text);
        d->scheduler_logged = d->scheduler;
    }
    update_membership(d, member_count, now);
    if (same && cw_forward_confirmed(d, now)) {
        wait = GROUP_CHECK_MS +
               (cw_ms)cw_rng_below(&d->rng, GROUP_CHECK_JITTER_MS);
    }
    d->scheduler_query_due = now + wait;
}

void
cw_member_leave(struct cw_jobd *d)
{
    d->leaving = true;
    leave_group(d);
}

/* Logs when the scheduler's membership runs out or is renewed after that:
 * another daemon may schedule in between. */
static void
watch_validity(struct cw_jobd *d, cw_ms now)
{
    bool expired =
        d->role == CW_ROLE_SCHEDULER && !cw_member_lease_valid(d, now);

    if (expired == d->membership_expired) {
        return;
    }
    d->membership_expired = expired;
    cw_forward_role_changed(d);
    cw_log(expired ? CW_WARN : CW_INFO,
           expired ? "membership_expired" : "membership_renewed",
           "epoch=%llu generation=%llu over_ms=%lld scheduler=%d",
           (unsigned long long)d->epoch, (unsigned long long)d->generation,
           (long long)(now - d->member_valid_until),
           d->role == CW_ROLE_SCHEDULER);
}

void
cw_member_tick(struct cw_jobd *d, cw_ms now)
{
    watch_validity(d, now);
    if (d->in_group && d->joins_in_flight < JOINS_IN_FLIGHT_MAX &&
        !d->leaving && now >= d->next_join_at) {
        send_join(d, now);
    }
    if (d->role != CW_ROLE_FOLLOWER || d->scheduler_query_open) {
        return;
    }
    if (!cw_forward_confirmed(d, now) &&
        d->scheduler_query_due > now + SCHEDULER_QUERY_INTERVAL_MS) {
        d->scheduler_query_due = now;
    }
    if (now >= d->scheduler_query_due) {
        d->scheduler_query_open = true;
        d->scheduler_query_due = now + SCHEDULER_QUERY_SOON_MS;
        d->ports.store.get_owner(d->ports.ctx, STORE_TIMEOUT_MS,
                                 on_scheduler_answer, d);
    }
}
