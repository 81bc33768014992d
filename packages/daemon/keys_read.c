/* Reads the key streams: searches the start of the window, then reads on from
 * there. */
#include "cw_keys.h"

#include <string.h>

#define READ_MAX_RECORDS 500
#define READ_RETRY_MS 200
/* Upper bound for the clock difference between daemons and the log. */
#define CLOCK_SKEW_MS (30 * CW_SECOND)
/* Longest wait of one read. The awaited records are appended already, so the
 * wait only covers the time until they are in the stream. */
#define POLL_WAIT_MS 100

static void
start_following(struct cw_key_stream *s)
{
    cw_ms since = 0; /* read from offset 1 */

    s->phase = CW_KEY_FOLLOW;
    if (s->lo_time > 0) {
        /* Records with the same time as lo may have been before lo. */
        since = s->lo_time + 1;
    }
    else if (s->first > 1) {
        /* Records before the first retained one are unknown. */
        since = s->first_time + 1;
    }
    cw_idem_start_replay(&s->idem, since);
}

static void
start_search(struct cw_key_stream *s)
{
    s->phase = CW_KEY_GALLOP;
    s->first = 1;
    s->lo = 1;
    s->lo_time = 0;
    s->hi = 0;
    s->step = 1;
    s->probe = 1;
    s->window_start =
        cw_daemon_wall(s->d) - s->idem.params.window_ms - CLOCK_SKEW_MS;
}

/* Continues the search with the record at the probed offset, NULL for none. */
static void
search_step(struct cw_key_stream *s, const struct cw_log_item *item)
{
    bool before = item != NULL && item->time < s->window_start;

    if (before) {
        s->lo = item->offset;
        s->lo_time = item->time;
    }
    else {
        s->hi = s->probe;
        if (s->probe == s->first) {
            s->first_time = item != NULL ? item->time : cw_daemon_wall(s->d);
        }
    }
    if (s->phase == CW_KEY_GALLOP) {
        if (before) {
            s->step *= 2;
            s->probe = s->lo + s->step;
            return;
        }
        s->phase = CW_KEY_BISECT;
    }
    if (s->lo_time == 0 || s->hi <= s->lo + 1) {
        start_following(s);
        return;
    }
    s->probe = s->lo + (s->hi - s->lo) / 2;
}

static struct cw_key_entry *
find_entry(struct cw_key_stream *s, const struct cw_idem_record *rec)
{
    for (struct cw_key_entry *e = cw_key_entry_first(s); e != NULL;
         e = cw_key_entry_next(s, e)) {
        if (e->rec.kind == CW_IDEM_INTENT &&
            cw_name_eq(&e->rec.id, &rec->id)) {
            return e;
        }
    }
    return NULL;
}

static void
apply_item(struct cw_key_stream *s, const struct cw_log_item *item)
{
    struct cw_idem_record rec;
    struct cw_key_entry *e;
    enum cw_idem_verdict v;
    uint16_t status = 0;
    char msg[CW_MSG_MAX];

    if (item->offset <= s->idem.applied) {
        return;
    }
    if (cw_idem_record_parse(&rec, item->data, msg) != CW_OK) {
        cw_log(CW_WARN, "key_record_skipped", "offset=%llu reason=\"%s\"",
               (unsigned long long)item->offset, msg);
        return;
    }
    v = cw_idem_apply(&s->idem, item->offset, item->time, &rec, &status);
    if (rec.kind != CW_IDEM_INTENT) {
        return;
    }
    e = find_entry(s, &rec);
    if (e != NULL) {
        cw_key_entry_resolved(e, v, status);
    }
}

static uint64_t
next_offset(const struct cw_key_stream *s)
{
    uint64_t next = s->idem.applied + 1;

    /* The window starts after lo, unless lo itself is in it. */
    if (s->idem.applied == 0) {
        next = s->lo_time > 0 ? s->lo + 1 : s->lo;
    }
    return next;
}

static void
on_read(void *arg, enum cw_status st, const struct cw_log_batch *b)
{
    struct cw_key_stream *s = arg;

    s->reading = false;
    if (st == CW_ERR_NOT_FOUND && b != NULL) {
        if (s->phase == CW_KEY_FOLLOW) {
            start_search(s);
        }
        s->first = b->first;
        s->lo = b->first;
        s->lo_time = 0;
        s->probe = b->first;
        s->step = 1;
        return;
    }
    if (st != CW_OK) {
        s->retry_at = cw_daemon_now(s->d) + READ_RETRY_MS;
        return;
    }
    s->last_read = cw_daemon_now(s->d);
    if (s->phase != CW_KEY_FOLLOW) {
        search_step(s, b->count > 0 ? &b->items[0] : NULL);
        return;
    }
    for (size_t i = 0; i < b->count; i++) {
        apply_item(s, &b->items[i]);
    }
    if (b->count < READ_MAX_RECORDS) {
        cw_key_stream_read_ended(s, s->read_began);
    }
    if (s->intents > 0 && !s->reading) {
        cw_key_stream_read(s, cw_daemon_now(s->d));
    }
}

void
cw_key_stream_read(struct cw_key_stream *s, cw_ms now)
{
    struct cw_daemon *d = s->d;
    bool waiting = s->intents > 0;

    if (s->reading || now < s->retry_at || !waiting || d->stopped) {
        return;
    }
    if (s->phase == CW_KEY_IDLE ||
        (s->phase == CW_KEY_FOLLOW &&
         now - s->last_read > s->idem.params.window_ms)) {
        start_search(s);
    }
    s->reading = true;
    s->read_began = now;
    if (s->phase == CW_KEY_FOLLOW) {
        d->log.read(d->log.ctx, s->name, next_offset(s), READ_MAX_RECORDS,
                    POLL_WAIT_MS, on_read, s);
    }
    else {
        d->log.read(d->log.ctx, s->name, s->probe, 1, 0, on_read, s);
    }
}
