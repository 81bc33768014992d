/* Follows the stream config by long poll and applies its records. A replica
 * that starts after the first retained offset moved on first looks for the
 * last complete snapshot cycle, then replays from there. */
#include "cw_modules.h"
#include "cw_request.h"

#include <stdlib.h>
#include <string.h>

/* The log answers an idle poll after this share of silent_ms, so that an
 * answered read confirms the membership well within it. */
#define POLL_SHARE 3
#define POLL_MAX_MS 1000
#define READ_MAX 500
#define RETRY_MIN_MS 100
#define RETRY_MAX_MS 1000

/* Parts of one snapshot cycle, collected in order. */
struct snap_cycle {
    struct cw_name name;
    uint64_t as_of;
    uint32_t parts;
    uint32_t got;
    char **items;
    size_t *lens;
};

struct cw_follower {
    struct cw_daemon *d;
    struct cw_appends *appends;
    uint64_t next;
    uint64_t first; /* lowest offset still kept */
    cw_ms retention_ms;
    bool scanning; /* looks for a snapshot cycle, applies nothing */
    bool reading;
    bool synced;
    bool from_peer; /* the state is a peer's copy, the log was not read */
    cw_ms began;    /* of the read under way */
    cw_ms heard;    /* when the last answered read began */
    cw_ms retry_at;
    cw_ms retry_ms;
    cw_ms first_time; /* of the first record read */
    cw_ms snap_time;
    struct snap_cycle open;
    struct snap_cycle best;
};

static void
cycle_clear(struct snap_cycle *c)
{
    for (uint32_t i = 0; c->items != NULL && i < c->got; i++) {
        free(c->items[i]);
    }
    free(c->items);
    free(c->lens);
    memset(c, 0, sizeof(*c));
}

/* Adds one part; true when the cycle is complete. Parts out of order make the
 * cycle useless, so it is dropped. */
static bool
cycle_add(struct snap_cycle *c, const struct cw_rec_snap *s)
{
    if (s->part == 1) {
        cycle_clear(c);
        if (s->parts == 0 || s->parts > 1000000) {
            return false;
        }
        c->items = calloc(s->parts, sizeof(*c->items));
        c->lens = calloc(s->parts, sizeof(*c->lens));
        if (c->items == NULL || c->lens == NULL) {
            cycle_clear(c);
            return false;
        }
        c->name = s->cycle;
        c->as_of = s->as_of;
        c->parts = s->parts;
    }
    if (c->items == NULL || s->part != c->got + 1 || s->parts != c->parts ||
        s->as_of != c->as_of || !cw_name_eq(&c->name, &s->cycle)) {
        return false;
    }
    c->items[c->got] = malloc(s->items.len + 1);
    if (c->items[c->got] == NULL) {
        cycle_clear(c);
        return false;
    }
    memcpy(c->items[c->got], s->items.ptr, s->items.len);
    c->lens[c->got] = s->items.len;
    c->got++;
    return c->got == c->parts;
}

static void
state_reset(struct cw_daemon *d)
{
    cw_state_finish(&d->state);
    cw_state_init(&d->state);
    cw_dispatch_reset_slots(d);
}

static bool
cycle_import(struct cw_follower *f)
{
    struct cw_daemon *d = f->d;

    state_reset(d);
    for (uint32_t i = 0; i < f->best.parts; i++) {
        struct cw_str items = {f->best.items[i], f->best.lens[i]};

        if (cw_state_import(&d->state, items) != CW_OK) {
            cw_log(CW_ERROR, "snapshot_unusable", "cycle=%s part=%u",
                   f->best.name.text, i + 1);
            state_reset(d);
            cycle_clear(&f->best);
            return false;
        }
    }
    cw_state_import_done(&d->state, f->best.as_of);
    cw_log(CW_INFO, "snapshot_loaded", "cycle=%s as_of=%llu parts=%u",
           f->best.name.text, (unsigned long long)f->best.as_of,
           f->best.parts);
    cycle_clear(&f->best);
    return true;
}

static void
apply_item(struct cw_follower *f, const struct cw_log_item *item)
{
    struct cw_daemon *d = f->d;
    struct cw_record r;
    char msg[CW_MSG_MAX] = "";
    enum cw_apply result;

    if (cw_record_parse(&r, item->data, msg) != CW_OK) {
        cw_log(CW_WARN, "record_skipped", "offset=%llu reason=\"%s\"",
               (unsigned long long)item->offset, msg);
        if (!f->scanning) {
            cw_state_skip(&d->state, item->offset);
            cw_state_advance(&d->state, item->time);
        }
        return;
    }
    if (r.type == CW_REC_SNAP) {
        f->snap_time = item->time;
    }
    if (f->scanning) {
        if (r.type == CW_REC_SNAP && cycle_add(&f->open, &r.u.snap)) {
            cycle_clear(&f->best);
            f->best = f->open;
            memset(&f->open, 0, sizeof(f->open));
        }
        cw_record_finish(&r);
        return;
    }
    result = cw_state_apply(&d->state, item->offset, &r);
    if (result == CW_APPLY_REJECTED) {
        cw_log(CW_INFO, "record_rejected",
               "offset=%llu record=%s reason=\"%s\"",
               (unsigned long long)item->offset, r.id.text, d->state.msg);
    }
    cw_state_advance(&d->state, item->time);
    if (result == CW_APPLY_OK && f->synced) {
        cw_dispatch_record_applied(d, &r, cw_daemon_now(d));
    }
    cw_appends_seen(f->appends, &r.id, result, item->offset, d->state.msg);
    cw_record_finish(&r);
}

/* The end of the stream was read while looking for a snapshot. */
static void
scan_end(struct cw_follower *f)
{
    if (f->best.items != NULL && f->best.as_of + 1 >= f->first &&
        cycle_import(f)) {
        f->scanning = false;
        f->next = f->d->state.applied + 1;
        cycle_clear(&f->open);
    }
}

static void
read_failed(struct cw_follower *f, enum cw_status s)
{
    f->retry_ms = f->retry_ms == 0 ? RETRY_MIN_MS : f->retry_ms * 2;
    if (f->retry_ms > RETRY_MAX_MS) {
        f->retry_ms = RETRY_MAX_MS;
    }
    f->retry_at = cw_daemon_now(f->d) + f->retry_ms;
    cw_log(CW_DEBUG, "log_read_failed", "status=%s", cw_status_name(s));
}

/* The next offset is no longer kept: state that was built from the log is
 * rebuilt from a snapshot cycle. */
static void
read_lost(struct cw_follower *f, uint64_t first)
{
    cw_log(CW_INFO, "log_offset_gone", "offset=%llu first=%llu",
           (unsigned long long)f->next, (unsigned long long)first);
    f->scanning = true;
    f->synced = false;
    f->first = first;
    f->next = first;
    cycle_clear(&f->open);
    cycle_clear(&f->best);
}

static void
read_answered(struct cw_follower *f, const struct cw_log_batch *b)
{
    struct cw_daemon *d = f->d;
    bool was_synced = f->synced;

    f->heard = f->began;
    f->retry_ms = 0;
    f->first = b->first;
    f->retention_ms = b->retention_ms;
    if (f->from_peer) {
        /* A peer's copy never overrides the log. */
        state_reset(d);
        f->next = 1;
        f->from_peer = false;
        return;
    }
    if (f->first_time == 0 && b->count > 0) {
        f->first_time = b->items[0].time;
    }
    for (size_t i = 0; i < b->count; i++) {
        apply_item(f, &b->items[i]);
    }
    if (b->next > f->next) {
        f->next = b->next;
    }
    if (b->count < READ_MAX) {
        if (f->scanning) {
            scan_end(f);
        }
        else {
            if (!f->synced) {
                cw_dispatch_partition_slots(d, false, cw_daemon_now(d));
            }
            f->synced = true;
            f->from_peer = false;
            cw_appends_read_end(f->appends, f->began);
        }
    }
    if (f->synced && !was_synced) {
        cw_log(CW_INFO, "log_synced", "offset=%llu",
               (unsigned long long)d->state.applied);
    }
    if (!f->scanning && (b->count > 0 || f->synced != was_synced)) {
        cw_daemon_state_changed(d, cw_daemon_now(d));
    }
}

static void read_start(struct cw_follower *f);

static void
on_read(void *arg, enum cw_status s, const struct cw_log_batch *b)
{
    struct cw_follower *f = arg;

    f->reading = false;
    if (s == CW_OK) {
        read_answered(f, b);
    }
    else if (s == CW_ERR_NOT_FOUND && b != NULL && b->first > f->next) {
        f->heard = f->began;
        read_lost(f, b->first);
    }
    else {
        read_failed(f, s);
        return;
    }
    if (!f->d->stopped) {
        read_start(f);
    }
}

static void
read_start(struct cw_follower *f)
{
    struct cw_daemon *d = f->d;
    cw_ms wait = d->settings->silent_ms / POLL_SHARE;

    if (wait > POLL_MAX_MS) {
        wait = POLL_MAX_MS;
    }
    if (!f->synced && !f->scanning) {
        /* Until the end was reached nobody waits for new records. */
        wait = 0;
    }
    f->reading = true;
    f->began = cw_daemon_now(d);
    d->log.read(d->log.ctx, "config", f->next, READ_MAX, wait, on_read, f);
}

enum cw_status
cw_follower_init(struct cw_daemon *d)
{
    struct cw_follower *f = calloc(1, sizeof(*f));

    if (f == NULL) {
        return CW_ERR_NOMEM;
    }
    f->d = d;
    f->next = 1;
    f->first = 1;
    f->heard = -CW_DAY;
    f->appends = cw_appends_new();
    d->follower = f;
    cw_state_init(&d->state);
    return f->appends == NULL ? CW_ERR_NOMEM : CW_OK;
}

void
cw_follower_finish(struct cw_daemon *d)
{
    struct cw_follower *f = d->follower;

    if (f == NULL) {
        return;
    }
    cycle_clear(&f->open);
    cycle_clear(&f->best);
    cw_appends_free(f->appends);
    free(f);
    d->follower = NULL;
    cw_state_finish(&d->state);
}

void
cw_follower_tick(struct cw_daemon *d, cw_ms now)
{
    struct cw_follower *f = d->follower;

    if (!f->reading && now >= f->retry_at) {
        read_start(f);
    }
}

void
cw_follower_import(struct cw_daemon *d, const Cuminwalk__StatePart *part)
{
    struct cw_follower *f = d->follower;
    struct cw_rec_snap s = {0};

    if (f->synced || f->scanning || f->from_peer) {
        return;
    }
    s.as_of = part->as_of;
    s.part = part->part;
    s.parts = part->parts;
    s.items.ptr = (const char *)part->items.data;
    s.items.len = part->items.len;
    if (!cycle_add(&f->open, &s)) {
        return;
    }
    f->best = f->open;
    memset(&f->open, 0, sizeof(f->open));
    if (cycle_import(f)) {
        f->from_peer = true;
        f->next = d->state.applied + 1;
        cw_daemon_state_changed(d, cw_daemon_now(d));
    }
}

cw_ms
cw_follower_heard(const struct cw_daemon *d)
{
    return d->follower->heard;
}

cw_ms
cw_follower_retention(const struct cw_daemon *d)
{
    return d->follower->retention_ms;
}

uint64_t
cw_follower_first(const struct cw_daemon *d)
{
    return d->follower->first;
}

cw_ms
cw_follower_snap_time(const struct cw_daemon *d)
{
    return d->follower->snap_time != 0 ? d->follower->snap_time
                                       : d->follower->first_time;
}

bool
cw_daemon_log_available(const struct cw_daemon *d, cw_ms now)
{
    return d->follower->synced &&
           now - d->follower->heard <= d->settings->silent_ms;
}

bool
cw_daemon_synced(const struct cw_daemon *d)
{
    return d->follower->synced;
}

void
cw_daemon_append(struct cw_daemon *d, struct cw_record *r,
                 void (*done)(void *arg, enum cw_append_outcome o,
                              uint64_t offset, const char *reason),
                 void *arg)
{
    cw_appends_send(d->follower->appends, d, r, done, arg);
}
