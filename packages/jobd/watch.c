/* What operators and workers write to the store. */
#include "cw_jobd.h"

#include <stdlib.h>
#include <string.h>

/* A read of operators' records waits this long for a change. Connections may
 * go silent without a reset, so that a longer wait would miss changes. */
#define OPERATORS_WAIT_MS 1000
#define RETRY_MS 150
#define STORE_TIMEOUT_MS 900
/* Time between looks at the list of workers: each of some fifty workers writes
 * about every 1.5 s, so that waiting for a change would answer at once. */
#define WORKERS_EVERY_MS 300
/* The same while VMs are on their way into a pool. */
#define WORKERS_SOON_MS 100

/* ---- operators ---- */

static void
take_config(struct cw_jobd *d, struct cw_str value)
{
    struct cw_fleet_config c;

    if (d->ports.config_decode(value, &c, d->msg) != CW_OK) {
        cw_log(CW_ERROR, "config_invalid", "bytes=%zu reason=\"%s\"",
               value.len, d->msg);
        return;
    }
    if (c.version <= d->config.version) {
        cw_fleet_config_finish(&c);
        return;
    }
    cw_log(CW_INFO, "config", "version=%llu was=%llu routes=%zu services=%zu",
           (unsigned long long)c.version,
           (unsigned long long)d->config.version, c.route_count,
           c.service_count);
    cw_fleet_config_finish(&d->config);
    d->config = c;
}

static void
take_wave(struct cw_jobd *d, struct cw_str value)
{
    struct cw_wave_order w;
    struct cw_wave_order *grown;

    if (d->ports.wave_decode(value, &w, d->msg) != CW_OK) {
        cw_log(CW_ERROR, "wave_invalid", "bytes=%zu reason=\"%s\"", value.len,
               d->msg);
        return;
    }
    for (size_t i = 0; i < d->wave_count; i++) {
        if (d->waves[i].number == w.number) {
            free(w.vms);
            return;
        }
    }
    grown = realloc(d->waves, (d->wave_count + 1) * sizeof(*grown));
    CW_INVARIANT(grown != NULL);
    d->waves = grown;
    d->waves[d->wave_count++] = w;
    cw_log(CW_INFO, "wave", "wave=%llu vms=%zu at_once=%u duration_ms=%lld",
           (unsigned long long)w.number, w.vm_count, w.max_at_once,
           (long long)w.duration_ms);
}

static void
take_operator(struct cw_jobd *d, const struct cw_store_record *r)
{
    if (r->value.len == 0) {
        return;
    }
    switch (d->ports.operator_kind(r->key)) {
    case CW_OPERATOR_CONFIG:
        take_config(d, r->value);
        break;
    case CW_OPERATOR_WAVE:
        take_wave(d, r->value);
        break;
    case CW_OPERATOR_OTHER:
        break;
    }
}

static void
on_operators(void *arg, enum cw_status s, const struct cw_store_page *p)
{
    struct cw_jobd *d = arg;

    d->op_busy = false;
    if (d->finished) {
        return;
    }
    if (s == CW_ERR_NOT_FOUND) {
        /* The records are gone; the newest of each key is kept. */
        d->op_known = false;
        d->op_after.len = 0;
        return;
    }
    if (s != CW_OK) {
        d->op_retry_at = cw_jobd_now(d) + RETRY_MS;
        return;
    }
    for (size_t i = 0; i < p->count; i++) {
        take_operator(d, &p->records[i]);
    }
    if (d->op_known) {
        d->op_next = p->next;
        return;
    }
    if (d->op_after.len == 0) {
        /* Changes during the pages are read again from here. */
        d->op_next = p->next;
    }
    if (p->more && p->count > 0) {
        (void)cw_name_set(&d->op_after, p->records[p->count - 1].key);
        return;
    }
    d->op_known = true;
}

void
cw_watch_operators(struct cw_jobd *d, cw_ms now)
{
    if (d->op_busy || now < d->op_retry_at) {
        return;
    }
    d->op_busy = true;
    if (d->op_known) {
        d->ports.store.read(d->ports.ctx, CW_STREAM_OPERATORS, d->op_next,
                            OPERATORS_WAIT_MS, on_operators, d);
    }
    else {
        d->ports.store.read_latest(d->ports.ctx, CW_STREAM_OPERATORS,
                                   cw_name_str(&d->op_after), STORE_TIMEOUT_MS,
                                   on_operators, d);
    }
}

/* ---- workers ---- */

static void
take_worker(struct cw_jobd *d, const struct cw_store_record *r, cw_ms now)
{
    struct cw_worker_entry e;
    struct cw_worker *w;

    if (r->value.len == 0) {
        cw_sched_worker_gone(d->sched, r->key, now);
        return;
    }
    if (d->ports.worker_decode(r->key, r->value, &e, d->msg) != CW_OK) {
        cw_jobd_count(d, "cuminwalk_worker_entries_invalid_total", "");
        cw_log(CW_DEBUG, "worker_entry_invalid", "key=%.*s reason=\"%s\"",
               (int)(r->key.len > 60 ? 60 : r->key.len), r->key.ptr, d->msg);
        return;
    }
    w = cw_sched_worker_seen(d->sched, &e, now);
    if (w != NULL) {
        w->listed = now;
    }
}

static void
drop_unlisted(struct cw_jobd *d, cw_ms since, cw_ms now)
{
    for (struct cw_pool *p = d->sched->pool_list; p != NULL; p = p->next) {
        for (struct cw_worker *w = p->workers; w != NULL; w = w->next) {
            if (w->listed < since) {
                cw_sched_worker_gone(d->sched, cw_name_str(&w->id), now);
            }
        }
    }
}

static void
on_workers(void *arg, enum cw_status s, const struct cw_store_page *p)
{
    struct cw_jobd *d = cw_ticket_take(arg);
    cw_ms now;

    if (d == NULL || d->role != CW_ROLE_SCHEDULER) {
        return;
    }
    now = cw_jobd_now(d);
    d->workers_busy = false;
    d->workers_due =
        now + (cw_fleet_expects_workers(d, now) ? WORKERS_SOON_MS
                                                : WORKERS_EVERY_MS);
    if (s == CW_ERR_NOT_FOUND) {
        d->workers_known = false;
        d->load_after.len = 0;
        d->workers_due = now;
        return;
    }
    if (s != CW_OK) {
        return;
    }
    for (size_t i = 0; i < p->count; i++) {
        take_worker(d, &p->records[i], now);
    }
    if (d->workers_known) {
        d->workers_next = p->next;
    }
    else {
        if (d->load_after.len == 0) {
            d->workers_next = p->next;
            d->workers_since = now;
        }
        if (p->more && p->count > 0) {
            (void)cw_name_set(&d->load_after, p->records[p->count - 1].key);
            d->workers_due = now;
            return;
        }
        drop_unlisted(d, d->workers_since, now);
        d->workers_known = true;
    }
    if (p->more) {
        d->workers_due = now;
    }
    cw_agents_tick(d, now);
}

void
cw_watch_workers(struct cw_jobd *d, cw_ms now)
{
    if (d->role != CW_ROLE_SCHEDULER || d->workers_busy ||
        now < d->workers_due) {
        return;
    }
    if (!d->workers_known && d->workers_due == 0) {
        d->load_after.len = 0;
    }
    d->workers_busy = true;
    if (d->workers_known) {
        d->ports.store.read(d->ports.ctx, CW_STREAM_WORKERS, d->workers_next,
                            0, on_workers, cw_ticket_make(d));
    }
    else {
        d->ports.store.read_latest(
            d->ports.ctx, CW_STREAM_WORKERS, cw_name_str(&d->load_after),
            STORE_TIMEOUT_MS, on_workers, cw_ticket_make(d));
    }
}
