/* Membership of this daemon: join, confirmation, leave, and the lapse of
 * silent members. */
#include "cw_modules.h"
#include "cw_request.h"

#include <stdlib.h>
#include <string.h>

#define SEEN_MEMBERS_MAX 256
/* A longer time between two ticks means that the process was paused. Silence
 * during the pause is no evidence against the other members. */
#define PAUSE_THRESHOLD_MS 1000
/* Delay before the next attempt to join. */
#define JOIN_RETRY_MS 500

struct seen_member {
    struct cw_name daemon;
    uint64_t incarnation;
    cw_ms seen_at;  /* last heartbeat, or listed as seen in a peer's */
    cw_ms lapse_at; /* when a lapse record was last written */
};

struct cw_members {
    bool appending; /* a join or leave record is being appended */
    bool leaving;
    bool left;
    bool excluded; /* a peer reported that this incarnation is no member */
    cw_ms retry_at;
    cw_ms silence_start; /* silence is counted from here at the earliest */
    cw_ms ticked_at;
    size_t count;
    struct seen_member seen[SEEN_MEMBERS_MAX];
};

enum cw_status
cw_members_init(struct cw_daemon *d)
{
    d->members = calloc(1, sizeof(*d->members));
    if (d->members == NULL) {
        return CW_ERR_NOMEM;
    }
    d->incarnation = (uint64_t)cw_daemon_wall(d);
    d->members->silence_start = cw_daemon_now(d);
    d->members->ticked_at = cw_daemon_now(d);
    return CW_OK;
}

void
cw_members_finish(struct cw_daemon *d)
{
    free(d->members);
    d->members = NULL;
}

static const struct cw_member_entry *
own_entry(const struct cw_daemon *d)
{
    const struct cw_member_entry *e =
        cw_state_member(&d->state, cw_daemon_name(d));

    return e != NULL && e->incarnation == d->incarnation ? e : NULL;
}

bool
cw_members_joined(const struct cw_daemon *d)
{
    return own_entry(d) != NULL;
}

bool
cw_daemon_confirmed(const struct cw_daemon *d, cw_ms now)
{
    cw_ms since = now - d->settings->silent_ms;
    size_t same_dc = 0;
    size_t all;

    if (own_entry(d) == NULL || d->members->excluded) {
        return false;
    }
    if (cw_follower_last_read(d) >= since) {
        return true;
    }
    all = cw_peers_count_confirming(d, since, &same_dc);
    return same_dc > 0 || (all + 1) * 2 > d->state.member_count;
}

bool
cw_daemon_holds(const struct cw_daemon *d, struct cw_str scope, cw_ms now)
{
    const struct cw_member_entry *e = cw_state_holder(&d->state, scope);

    return e != NULL && e == own_entry(d) && cw_daemon_confirmed(d, now);
}

void
cw_members_set_excluded(struct cw_daemon *d)
{
    if (!d->members->excluded) {
        cw_log(CW_WARN, "member_excluded", "incarnation=%llu",
               (unsigned long long)d->incarnation);
    }
    d->members->excluded = true;
}

static struct seen_member *
find_or_add_seen(struct cw_members *m, struct cw_str daemon)
{
    struct seen_member *s;

    for (size_t i = 0; i < m->count; i++) {
        if (cw_str_eq(cw_name_str(&m->seen[i].daemon), daemon)) {
            return &m->seen[i];
        }
    }
    if (m->count == SEEN_MEMBERS_MAX) {
        return NULL;
    }
    s = &m->seen[m->count];
    memset(s, 0, sizeof(*s));
    if (cw_name_set(&s->daemon, daemon) != CW_OK) {
        return NULL;
    }
    s->seen_at = m->silence_start;
    m->count++;
    return s;
}

void
cw_members_mark_alive(struct cw_daemon *d, struct cw_str daemon,
                      uint64_t incarnation, cw_ms now)
{
    struct seen_member *s = find_or_add_seen(d->members, daemon);

    if (s != NULL && incarnation >= s->incarnation) {
        s->incarnation = incarnation;
        s->seen_at = now;
    }
}

static void
on_member_appended(void *arg, enum cw_append_outcome o, uint64_t offset,
                   const char *reason)
{
    struct cw_daemon *d = arg;
    struct cw_members *m = d->members;

    if (m == NULL) {
        return;
    }
    m->appending = false;
    m->retry_at = cw_daemon_now(d) + JOIN_RETRY_MS;
    if (m->leaving) {
        m->left = true;
        return;
    }
    if (o == CW_APPEND_ACCEPTED) {
        m->excluded = false;
        cw_log(CW_INFO, "member_joined", "incarnation=%llu offset=%llu",
               (unsigned long long)d->incarnation, (unsigned long long)offset);
    }
    else {
        cw_log(CW_WARN, "member_record_failed", "outcome=%s reason=\"%s\"",
               cw_append_outcome_name(o), reason);
    }
}

static void
append_member(struct cw_daemon *d, struct cw_str daemon, uint64_t incarnation,
              enum cw_member_action action,
              void (*done)(void *arg, enum cw_append_outcome o,
                           uint64_t offset, const char *reason))
{
    struct cw_record r;

    memset(&r, 0, sizeof(r));
    r.type = CW_REC_MEMBER;
    r.u.member.action = action;
    r.u.member.incarnation = incarnation;
    (void)cw_name_set(&r.u.member.daemon, daemon);
    if (action == CW_MEMBER_JOIN) {
        r.u.member.dc = d->settings->dc;
        r.u.member.address = d->peer_listen;
    }
    cw_daemon_append(d, &r, done, d);
}

static void
append_join(struct cw_daemon *d, cw_ms now)
{
    struct cw_members *m = d->members;
    const struct cw_member_entry *e =
        cw_state_member(&d->state, cw_daemon_name(d));
    uint64_t wall = (uint64_t)cw_daemon_wall(d);

    /* Each attempt has a new incarnation, so that a join with an unknown
     * outcome is not confused with the next one. */
    d->incarnation = wall > d->incarnation ? wall : d->incarnation + 1;
    if (e != NULL && d->incarnation <= e->incarnation) {
        d->incarnation = e->incarnation + 1;
    }
    cw_dispatch_reset_slots(d);
    m->appending = true;
    m->retry_at = now + JOIN_RETRY_MS;
    append_member(d, cw_daemon_name(d), d->incarnation, CW_MEMBER_JOIN,
                  on_member_appended);
}

/* Appends a lapse record for each member that was silent for silent_ms. */
static void
lapse_silent_members(struct cw_daemon *d, cw_ms now)
{
    struct cw_members *m = d->members;
    cw_ms silent = d->settings->silent_ms;

    for (size_t i = 0; i < d->state.member_count; i++) {
        const struct cw_member_entry *e = &d->state.members[i];
        struct seen_member *s;
        cw_ms silent_since;

        if (cw_name_eq(&e->daemon, &d->settings->daemon)) {
            continue;
        }
        s = find_or_add_seen(m, cw_name_str(&e->daemon));
        if (s == NULL) {
            continue;
        }
        if (s->incarnation < e->incarnation) {
            /* A new incarnation gets the full silent_ms. */
            s->incarnation = e->incarnation;
            s->seen_at = now;
        }
        silent_since =
            s->seen_at > m->silence_start ? s->seen_at : m->silence_start;
        /* A member seen under a later incarnation has joined again, so a lapse
         * of the old incarnation has no effect on replay. */
        if (now - silent_since <= silent || now - s->lapse_at <= silent) {
            continue;
        }
        s->lapse_at = now;
        cw_log(CW_WARN, "member_silent", "member=%s incarnation=%llu ms=%lld",
               e->daemon.text, (unsigned long long)e->incarnation,
               (long long)(now - silent_since));
        append_member(d, cw_name_str(&e->daemon), e->incarnation,
                      CW_MEMBER_LAPSE, NULL);
    }
}

void
cw_members_tick(struct cw_daemon *d, cw_ms now)
{
    struct cw_members *m = d->members;

    if (now - m->ticked_at > PAUSE_THRESHOLD_MS) {
        m->silence_start = now;
    }
    m->ticked_at = now;
    if (!cw_daemon_log_available(d, now)) {
        /* Nothing can be appended, and a partition that cuts off the log too
         * must not begin with a lapse of all other members. */
        return;
    }
    if ((own_entry(d) == NULL || m->excluded) && !m->appending && !m->left &&
        !m->leaving && !d->stopping && now >= m->retry_at) {
        append_join(d, now);
    }
    if (cw_daemon_confirmed(d, now) && !m->leaving) {
        lapse_silent_members(d, now);
    }
}

void
cw_members_leave(struct cw_daemon *d)
{
    struct cw_members *m = d->members;

    if (m->leaving) {
        return;
    }
    m->leaving = true;
    if (own_entry(d) == NULL ||
        !cw_daemon_log_available(d, cw_daemon_now(d))) {
        m->left = !m->appending;
        return;
    }
    m->appending = true;
    append_member(d, cw_daemon_name(d), d->incarnation, CW_MEMBER_LEAVE,
                  on_member_appended);
}

bool
cw_members_left(const struct cw_daemon *d)
{
    return d->members->left;
}
