/* Writes snapshot cycles of the state while this daemon holds scope "log". */
#include "cw_modules.h"

#include <stdlib.h>
#include <string.h>

/* A record is limited to 16 KB, its other fields included. */
#define PART_BYTES (15 * 1024)
#define PART_INTERVAL_MS (4 * CW_SECOND)
/* A new cycle begins after the retention divided by this. */
#define RETENTION_DIVISOR 3

struct cw_snapshots {
    struct cw_name cycle;
    uint64_t as_of;
    size_t part_count; /* 0 = no cycle in progress */
    size_t parts_appended;
    struct cw_buf *parts;
    bool append_pending;
    bool failed; /* a part could not be stored: memory was short */
    cw_ms next_at;
};

static void
cycle_drop(struct cw_snapshots *s)
{
    for (size_t i = 0; i < s->part_count; i++) {
        cw_buf_finish(&s->parts[i]);
    }
    free(s->parts);
    s->parts = NULL;
    s->part_count = 0;
    s->parts_appended = 0;
    s->failed = false;
}

static void
add_part(void *ctx, struct cw_str items)
{
    struct cw_snapshots *s = ctx;
    struct cw_buf *parts =
        realloc(s->parts, (s->part_count + 1) * sizeof(*parts));

    if (parts == NULL) {
        s->failed = true;
        return;
    }
    s->parts = parts;
    cw_buf_init(&parts[s->part_count]);
    cw_buf_add_str(&parts[s->part_count], items);
    s->failed = s->failed || parts[s->part_count].failed;
    s->part_count++;
}

static void
cycle_begin(struct cw_daemon *d)
{
    struct cw_snapshots *s = d->snapshots;
    char name[CW_NAME_MAX + 1];

    (void)snprintf(name, sizeof(name), "%.32s-%lld", d->settings->daemon.text,
                   (long long)cw_daemon_wall(d));
    (void)cw_name_set(&s->cycle, cw_str_from(name));
    s->as_of = d->state.applied;
    if (cw_state_export(&d->state, PART_BYTES, add_part, s) != CW_OK ||
        s->failed) {
        cw_log(CW_ERROR, "snapshot_failed", "as_of=%llu",
               (unsigned long long)s->as_of);
        cycle_drop(s);
        return;
    }
    cw_log(CW_INFO, "snapshot_begin", "cycle=%s as_of=%llu parts=%zu", name,
           (unsigned long long)s->as_of, s->part_count);
}

static void
on_part_appended(void *arg, enum cw_append_outcome o, uint64_t offset,
                 const char *reason)
{
    struct cw_daemon *d = arg;
    struct cw_snapshots *s = d->snapshots;

    (void)offset;
    if (s == NULL) {
        return;
    }
    s->append_pending = false;
    if (o == CW_APPEND_ACCEPTED) {
        s->parts_appended++;
        return;
    }
    if (o == CW_APPEND_REJECTED) {
        /* The scope has another holder, which begins its own cycle. */
        cw_log(CW_WARN, "snapshot_stopped", "cycle=%s reason=\"%s\"",
               s->cycle.text, reason);
        cycle_drop(s);
    }
}

static void
append_part(struct cw_daemon *d)
{
    struct cw_snapshots *s = d->snapshots;
    struct cw_record r;

    memset(&r, 0, sizeof(r));
    r.type = CW_REC_SNAP;
    r.u.snap.cycle = s->cycle;
    r.u.snap.as_of = s->as_of;
    r.u.snap.part = (uint32_t)s->parts_appended + 1;
    r.u.snap.parts = (uint32_t)s->part_count;
    r.u.snap.items = cw_buf_str(&s->parts[s->parts_appended]);
    s->append_pending = true;
    cw_daemon_append(d, &r, on_part_appended, d);
}

static bool
is_cycle_due(const struct cw_daemon *d)
{
    cw_ms last = cw_follower_snap_time(d);
    cw_ms retention = cw_follower_retention_ms(d);

    return retention > 0 && last > 0 && d->state.applied > 0 &&
           cw_daemon_wall(d) - last > retention / RETENTION_DIVISOR;
}

void
cw_snapshots_tick(struct cw_daemon *d, cw_ms now)
{
    struct cw_snapshots *s = d->snapshots;

    if (now < s->next_at || s->append_pending) {
        return;
    }
    s->next_at = now + PART_INTERVAL_MS;
    if (!cw_daemon_log_available(d, now) ||
        !cw_daemon_holds(d, CW_LIT("log"), now)) {
        if (s->part_count > 0 && cw_daemon_log_available(d, now)) {
            cycle_drop(s);
        }
        return;
    }
    if (s->part_count > 0 && s->parts_appended == s->part_count) {
        cycle_drop(s);
    }
    if (s->part_count == 0) {
        if (!is_cycle_due(d)) {
            return;
        }
        cycle_begin(d);
    }
    if (s->part_count > 0) {
        append_part(d);
    }
}

enum cw_status
cw_snapshots_init(struct cw_daemon *d)
{
    d->snapshots = calloc(1, sizeof(*d->snapshots));
    return d->snapshots == NULL ? CW_ERR_NOMEM : CW_OK;
}

void
cw_snapshots_finish(struct cw_daemon *d)
{
    if (d->snapshots != NULL) {
        cycle_drop(d->snapshots);
        free(d->snapshots);
        d->snapshots = NULL;
    }
}
