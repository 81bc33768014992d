/* Follows the stream config by long poll and applies its records. When the
 * offset to read next is no longer retained, it scans the stream for the last
 * complete snapshot cycle, imports it and replays from there. */
#include "cw_modules.h"
#include "cw_request.h"

#include <stdlib.h>
#include <string.h>

/* An idle poll waits for silent_ms divided by this, so that an answered read
 * confirms the membership well within silent_ms. */
#define POLL_WAIT_DIVISOR 3
#define POLL_WAIT_MAX_MS 1000
#define READ_RECORDS_MAX 500
#define RETRY_MIN_MS 100
#define RETRY_MAX_MS 1000

/* One snapshot cycle; its parts are collected in order. */
struct snap_cycle {
    struct cw_name name;
    uint64_t as_of;
    uint32_t parts;
    uint32_t collected;
    char **items;
    size_t *lens;
};

struct cw_follower {
    struct cw_daemon *d;
    struct cw_appends *appends;
    uint64_t next_offset;
    uint64_t first_offset; /* lowest one that the log retains */
    cw_ms retention_ms;
    bool scanning; /* searches for a snapshot cycle, applies no records */
    bool reading;
    bool synced;      /* the stream was read to its end */
    bool from_peer;   /* the state is a peer's copy, the log was not read */
    cw_ms read_began; /* start of the read in progress */
    cw_ms last_read;  /* start of the newest read that was answered */
    cw_ms retry_at;
    cw_ms retry_ms;
    cw_ms first_record_time; /* log's time of the first record read */
    cw_ms snap_time;         /* log's time of the last snapshot part read */
    struct snap_cycle partial_cycle;
    struct snap_cycle complete_cycle;
};

static void
cycle_clear(struct snap_cycle *c)
{
    for (uint32_t i = 0; c->items != NULL && i < c->collected; i++) {
        free(c->items[i]);
    }
    free(c->items);
    free(c->lens);
    memset(c, 0, sizeof(*c));
}

/* Adds one part; true when the cycle is complete. Part 1 starts a new cycle,
 * other parts out of order are ignored. */
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
    if (c->items == NULL || s->part != c->collected + 1 ||
        s->parts != c->parts || s->as_of != c->as_of ||
        !cw_name_eq(&c->name, &s->cycle)) {
        return false;
    }
    c->items[c->collected] = malloc(s->items.len + 1);
    if (c->items[c->collected] == NULL) {
        cycle_clear(c);
        return false;
    }
    memcpy(c->items[c->collected], s->items.ptr, s->items.len);
    c->lens[c->collected] = s->items.len;
    c->collected++;
    return c->collected == c->parts;
}

static void
reset_state(struct cw_daemon *d)
{
    cw_state_finish(&d->state);
    cw_state_init(&d->state);
    cw_dispatch_reset_slots(d);
}

static bool
cycle_import(struct cw_follower *f)
{
    struct cw_daemon *d = f->d;

    reset_state(d);
    for (uint32_t i = 0; i < f->complete_cycle.parts; i++) {
        struct cw_str items = {f->complete_cycle.items[i],
                               f->complete_cycle.lens[i]};

        if (cw_state_import(&d->state, items) != CW_OK) {
            cw_log(CW_ERROR, "snapshot_unusable", "cycle=%s part=%u",
                   f->complete_cycle.name.text, i + 1);
            reset_state(d);
            cycle_clear(&f->complete_cycle);
            return false;
        }
    }
    cw_state_import_done(&d->state, f->complete_cycle.as_of);
    cw_log(CW_INFO, "snapshot_loaded", "cycle=%s as_of=%llu parts=%u",
           f->complete_cycle.name.text,
           (unsigned long long)f->complete_cycle.as_of,
           f->complete_cycle.parts);
    cycle_clear(&f->complete_cycle);
    return true;
}

static void
apply_item(struct cw_follower *f, const struct cw_log_item *item)
{
    struct cw_daemon *d = f->d;
    struct cw_record r;
    char msg[CW_MSG_MAX] = "";
    enum cw_apply_result result;

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
        if (r.type == CW_REC_SNAP && cycle_add(&f->partial_cycle, &r.u.snap)) {
            cycle_clear(&f->complete_cycle);
            f->complete_cycle = f->partial_cycle;
            memset(&f->partial_cycle, 0, sizeof(f->partial_cycle));
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
    cw_appends_record_read(f->appends, &r.id, result, item->offset,
                           d->state.msg);
    cw_record_finish(&r);
}

/* The scan for a snapshot cycle reached the end of the stream. */
static void
finish_scan(struct cw_follower *f)
{
    if (f->complete_cycle.items != NULL &&
        f->complete_cycle.as_of + 1 >= f->first_offset && cycle_import(f)) {
        f->scanning = false;
        f->next_offset = f->d->state.applied + 1;
        cycle_clear(&f->partial_cycle);
    }
}

static void
on_read_failed(struct cw_follower *f, enum cw_status s)
{
    f->retry_ms = f->retry_ms == 0 ? RETRY_MIN_MS : f->retry_ms * 2;
    if (f->retry_ms > RETRY_MAX_MS) {
        f->retry_ms = RETRY_MAX_MS;
    }
    f->retry_at = cw_daemon_now(f->d) + f->retry_ms;
    cw_log(CW_DEBUG, "log_read_failed", "status=%s", cw_status_name(s));
}

/* The next offset is no longer retained: the state is rebuilt from a snapshot
 * cycle. */
static void
on_offset_expired(struct cw_follower *f, uint64_t first)
{
    cw_log(CW_INFO, "log_offset_gone", "offset=%llu first=%llu",
           (unsigned long long)f->next_offset, (unsigned long long)first);
    f->scanning = true;
    f->synced = false;
    f->first_offset = first;
    f->next_offset = first;
    cycle_clear(&f->partial_cycle);
    cycle_clear(&f->complete_cycle);
}

static void
on_read_batch(struct cw_follower *f, const struct cw_log_batch *b)
{
    struct cw_daemon *d = f->d;
    bool was_synced = f->synced;

    f->last_read = f->read_began;
    f->retry_ms = 0;
    f->first_offset = b->first;
    f->retention_ms = b->retention_ms;
    if (f->from_peer) {
        /* The log takes precedence over a peer's copy. */
        reset_state(d);
        f->next_offset = 1;
        f->from_peer = false;
        return;
    }
    if (f->first_record_time == 0 && b->count > 0) {
        f->first_record_time = b->items[0].time;
    }
    for (size_t i = 0; i < b->count; i++) {
        apply_item(f, &b->items[i]);
    }
    if (b->next > f->next_offset) {
        f->next_offset = b->next;
    }
    if (b->count < READ_RECORDS_MAX) {
        if (f->scanning) {
            finish_scan(f);
        }
        else {
            if (!f->synced) {
                cw_dispatch_partition_slots(d, false, cw_daemon_now(d));
            }
            f->synced = true;
            f->from_peer = false;
            cw_appends_end_reached(f->appends, f->read_began);
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

static void start_read(struct cw_follower *f);

static void
on_read(void *arg, enum cw_status s, const struct cw_log_batch *b)
{
    struct cw_follower *f = arg;

    f->reading = false;
    if (s == CW_OK) {
        on_read_batch(f, b);
    }
    else if (s == CW_ERR_NOT_FOUND && b != NULL && b->first > f->next_offset) {
        f->last_read = f->read_began;
        on_offset_expired(f, b->first);
    }
    else {
        on_read_failed(f, s);
        return;
    }
    if (!f->d->stopped) {
        start_read(f);
    }
}

static void
start_read(struct cw_follower *f)
{
    struct cw_daemon *d = f->d;
    cw_ms wait = d->settings->silent_ms / POLL_WAIT_DIVISOR;

    if (wait > POLL_WAIT_MAX_MS) {
        wait = POLL_WAIT_MAX_MS;
    }
    if (!f->synced && !f->scanning) {
        /* No long poll before the end of the stream was reached. */
        wait = 0;
    }
    f->reading = true;
    f->read_began = cw_daemon_now(d);
    d->log.read(d->log.ctx, "config", f->next_offset, READ_RECORDS_MAX, wait,
                on_read, f);
}

enum cw_status
cw_follower_init(struct cw_daemon *d)
{
    struct cw_follower *f = calloc(1, sizeof(*f));

    if (f == NULL) {
        return CW_ERR_NOMEM;
    }
    f->d = d;
    f->next_offset = 1;
    f->first_offset = 1;
    f->last_read = -CW_DAY;
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
    cycle_clear(&f->partial_cycle);
    cycle_clear(&f->complete_cycle);
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
        start_read(f);
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
    if (!cycle_add(&f->partial_cycle, &s)) {
        return;
    }
    f->complete_cycle = f->partial_cycle;
    memset(&f->partial_cycle, 0, sizeof(f->partial_cycle));
    if (cycle_import(f)) {
        f->from_peer = true;
        f->next_offset = d->state.applied + 1;
        cw_daemon_state_changed(d, cw_daemon_now(d));
    }
}

cw_ms
cw_follower_last_read(const struct cw_daemon *d)
{
    return d->follower->last_read;
}

cw_ms
cw_follower_retention_ms(const struct cw_daemon *d)
{
    return d->follower->retention_ms;
}

uint64_t
cw_follower_first_offset(const struct cw_daemon *d)
{
    return d->follower->first_offset;
}

cw_ms
cw_follower_snap_time(const struct cw_daemon *d)
{
    return d->follower->snap_time != 0 ? d->follower->snap_time
                                       : d->follower->first_record_time;
}

bool
cw_daemon_log_available(const struct cw_daemon *d, cw_ms now)
{
    return d->follower->synced &&
           now - d->follower->last_read <= d->settings->silent_ms;
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
