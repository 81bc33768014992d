/* Reads the records that operators and workers write to the store. */
#include "cw_jobd.h"

#include <stdlib.h>
#include <string.h>

/* Long-poll time of a read of operators' records. A connection may go dead
 * without a reset, so a longer wait would delay changes. */
#define OPERATORS_WAIT_MS 1000
/* The same while the scheduler's answers to probes tell when a configuration
 * is missing here. */
#define OPERATORS_WAIT_CONFIRMED_MS 10000
/* The same on a scheduler that passes proofs of its configuration on. A read
 * proves it as of its send time, so that the proof is up to two waits old, and
 * 1 s more on a follower, which asks once a second: with waits of 1 s that is
 * over 3 s, the limit for the default of revoke_ms. */
#define OPERATORS_WAIT_PROOF_MS 500
/* A read whose answer has not begun this long after its wait is given up. */
#define OPERATORS_TIMEOUT_MS 700
/* A read that should have a newer configuration, which the scheduler has, is
 * given up this long after the news. */
#define BEHIND_TIMEOUT_MS 300
/* These limits double with each read that was not answered although the
 * scheduler has a newer configuration: large records that many daemons read at
 * once queue at the store, and a read that begins again is the last in the
 * queue. In an outage a longer limit would only delay the next read. */
#define TIMEOUT_MAX_MS 1800
#define OPERATORS_RETRY_MS 150
#define STORE_TIMEOUT_MS 900
#define WORKERS_TIMEOUT_MS 700
/* Time between reads of the list of workers. Each of some fifty workers writes
 * about every 1.5 s, so that a long poll would return at once. */
#define WORKERS_POLL_MS 300
/* The same while VMs are moving into a pool. */
#define WORKERS_POLL_MOVING_MS 100

/* ---- pages ---- */

bool
cw_watch_next_page(struct cw_store_key *after, const struct cw_store_page *p)
{
    struct cw_str key;

    if (!p->more || p->count == 0) {
        return false;
    }
    key = p->records[p->count - 1].key;
    if (key.len > CW_STORE_KEY_MAX ||
        cw_str_eq(key, (struct cw_str){after->text, after->len})) {
        return false;
    }
    if (key.len > 0) {
        memcpy(after->text, key.ptr, key.len);
    }
    after->len = key.len;
    return true;
}

/* ---- operators ---- */

static void
apply_config(struct cw_jobd *d, struct cw_str value)
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
    cw_log(
        CW_INFO, "config",
        "version=%llu was=%llu routes=%zu services=%zu tenants=%zu keys=%zu "
        "bytes=%zu read_ms=%lld",
        (unsigned long long)c.version, (unsigned long long)d->config.version,
        c.route_count, c.service_count, c.tenant_count, c.key_count, value.len,
        (long long)(cw_jobd_now(d) - d->operators_read_at));
    cw_fleet_config_finish(&d->config);
    d->config = c;
    if (d->sched != NULL) {
        cw_sched_set_tenants(d->sched, c.tenants, c.tenant_count,
                             cw_jobd_now(d));
    }
}

static void
add_wave(struct cw_jobd *d, struct cw_str value)
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
apply_operator_record(struct cw_jobd *d, const struct cw_store_record *r)
{
    if (r->value.len == 0) {
        return;
    }
    switch (d->ports.operator_kind(r->key)) {
    case CW_OPERATOR_CONFIG:
        apply_config(d, r->value);
        break;
    case CW_OPERATOR_WAVE:
        add_wave(d, r->value);
        break;
    case CW_OPERATOR_OTHER:
        break;
    }
}

struct operators_ctx {
    struct cw_jobd *d;
    uint64_t read;
    size_t received;
};

/* An outage of the store gives one line; a read that fails with a part of the
 * answer gives one each time, as it will not end by itself. */
static void
log_read_failed(struct cw_jobd *d, enum cw_status s, size_t bytes)
{
    if (d->operators_failed++ > 0 && bytes == 0) {
        return;
    }
    cw_log(CW_WARN, "operators_read_failed",
           "status=%s bytes=%zu ms=%lld wait_ms=%lld version=%llu",
           cw_status_name(s), bytes,
           (long long)(cw_jobd_now(d) - d->operators_read_at),
           (long long)d->operators_wait_ms,
           (unsigned long long)d->config.version);
}

/* The scheduler, which is in contact, has a newer configuration. */
static bool
is_behind(const struct cw_jobd *d, cw_ms now)
{
    return d->behind_since != 0 && cw_forward_confirmed(d, now);
}

/* Each key's newest record is read next. */
static void
load_operators(struct cw_jobd *d)
{
    d->operators_loaded = false;
    d->operators_after_key.len = 0;
}

static void
on_operator_records(void *arg, enum cw_status s, const struct cw_store_page *p)
{
    struct operators_ctx c = *(struct operators_ctx *)arg;
    struct cw_jobd *d = c.d;

    if (d->operators_received == &((struct operators_ctx *)arg)->received) {
        d->operators_received = NULL;
    }
    free(arg);
    if (d->finished) {
        return;
    }
    if (c.read != d->operators_read) {
        return; /* cancelled */
    }
    if (s == CW_ERR_NOT_FOUND) {
        load_operators(d); /* the offset is no longer kept */
        return;
    }
    if (s != CW_OK) {
        log_read_failed(d, s, p == NULL ? 0 : p->bytes);
        d->operators_tries =
            is_behind(d, cw_jobd_now(d)) ? d->operators_tries + 1 : 0;
        d->operators_retry_at = cw_jobd_now(d) + OPERATORS_RETRY_MS;
        return;
    }
    d->operators_failed = 0;
    d->operators_tries = 0;
    d->behind_since = 0;
    for (size_t i = 0; i < p->count; i++) {
        apply_operator_record(d, &p->records[i]);
    }
    if (d->operators_loaded && p->more) {
        /* Many versions may follow, each as large as the newest one. */
        load_operators(d);
        return;
    }
    if (d->operators_loaded) {
        d->operators_next_offset = p->next;
        cw_proof_add(d, d->operators_read_at);
        return;
    }
    if (d->operators_after_key.len == 0) {
        /* Changes made while the pages load are read from this offset. */
        d->operators_next_offset = p->next;
        d->operators_load_at = d->operators_read_at;
    }
    if (cw_watch_next_page(&d->operators_after_key, p)) {
        return;
    }
    d->operators_loaded = true;
    cw_proof_add(d, d->operators_load_at);
}

static void
cancel_operators_read(struct cw_jobd *d)
{
    const size_t *received = d->operators_received;

    d->operators_received = NULL;
    d->operators_read++; /* its answer is not used */
    d->ports.store.read_cancel(d->ports.ctx, received);
}

/* An answer that arrives has what is missing, or the next one has. Begun anew,
 * a large one would never be complete. */
static bool
is_operators_read_idle(const struct cw_jobd *d)
{
    return d->operators_loaded && d->operators_received != NULL &&
           *d->operators_received == 0;
}

void
cw_watch_operators_again(struct cw_jobd *d)
{
    if (is_operators_read_idle(d) &&
        cw_jobd_now(d) - d->operators_read_at > OPERATORS_RETRY_MS) {
        cancel_operators_read(d);
    }
}

static cw_ms
backed_off(const struct cw_jobd *d, cw_ms limit)
{
    for (uint32_t i = 0; i < d->operators_tries && limit < TIMEOUT_MAX_MS;
         i++) {
        limit *= 2;
    }
    return limit < TIMEOUT_MAX_MS ? limit : TIMEOUT_MAX_MS;
}

void
cw_watch_config_behind(struct cw_jobd *d, uint64_t newest)
{
    cw_ms now = cw_jobd_now(d);

    if (newest != d->newest_logged) {
        d->newest_logged = newest;
        cw_log(CW_INFO, "config_behind",
               "version=%llu newest=%llu reading=%d read_ms=%lld scheduler=%s",
               (unsigned long long)d->config.version,
               (unsigned long long)newest, d->operators_received != NULL,
               (long long)(now - d->operators_read_at), d->scheduler.text);
    }
    if (d->behind_since == 0) {
        d->behind_since = now;
    }
}

/* A newer configuration is known, and the open read, which should have it, has
 * received nothing for some time: its connection may be dead. */
static void
replace_late_read(struct cw_jobd *d, cw_ms now)
{
    cw_ms since = d->behind_since > d->operators_read_at
                      ? d->behind_since
                      : d->operators_read_at;

    if (is_behind(d, now) && is_operators_read_idle(d) &&
        now - since >= backed_off(d, BEHIND_TIMEOUT_MS)) {
        cancel_operators_read(d);
        d->operators_tries++;
    }
}

/* Time for which the next read may wait for a record. */
static cw_ms
operators_wait(const struct cw_jobd *d, cw_ms now)
{
    if (cw_proof_renew_due(d, now)) {
        return 0;
    }
    if (cw_forward_confirmed(d, now)) {
        return OPERATORS_WAIT_CONFIRMED_MS;
    }
    return d->role == CW_ROLE_SCHEDULER && cw_proof_needed(d)
               ? OPERATORS_WAIT_PROOF_MS
               : OPERATORS_WAIT_MS;
}

/* The open read will not tell in time what the daemon has to know: its wait
 * was the long one, its answer is lost, or a proof is due and it waits. */
static bool
operators_read_useless(const struct cw_jobd *d, cw_ms now)
{
    bool proof_due = cw_proof_renew_due(d, now);

    if (proof_due && d->operators_wait_ms > 0) {
        return true;
    }
    return (proof_due || !cw_forward_confirmed(d, now)) &&
           now - d->operators_read_at >
               OPERATORS_WAIT_MS + backed_off(d, OPERATORS_TIMEOUT_MS);
}

void
cw_watch_operators(struct cw_jobd *d, cw_ms now)
{
    struct operators_ctx *c;

    cw_proof_tick(d, now);
    replace_late_read(d, now);
    if (operators_read_useless(d, now)) {
        cw_watch_operators_again(d);
    }
    if (d->operators_received != NULL || now < d->operators_retry_at) {
        return;
    }
    c = malloc(sizeof(*c));
    CW_INVARIANT(c != NULL);
    *c = (struct operators_ctx){d, ++d->operators_read, 0};
    d->operators_received = &c->received;
    d->operators_read_at = now;
    d->operators_wait_ms = operators_wait(d, now);
    if (d->operators_loaded) {
        struct cw_store_read r = {
            CW_STREAM_OPERATORS, d->operators_next_offset,
            d->operators_wait_ms, backed_off(d, OPERATORS_TIMEOUT_MS),
            &c->received};

        d->ports.store.read(d->ports.ctx, &r, on_operator_records, c);
    }
    else {
        struct cw_str after = {d->operators_after_key.text,
                               d->operators_after_key.len};

        d->ports.store.read_latest(d->ports.ctx, CW_STREAM_OPERATORS, after,
                                   backed_off(d, STORE_TIMEOUT_MS),
                                   &c->received, on_operator_records, c);
    }
}

/* ---- workers ---- */

/* A service that has a pool already stays known when a later configuration no
 * longer names it: its workers may still run tasks. */
static bool
is_known_service(const struct cw_jobd *d, const struct cw_name *service)
{
    if (d->config.version == 0 ||
        cw_map_get(&d->sched->pools, cw_name_str(service)) != NULL) {
        return true;
    }
    for (size_t i = 0; i < d->config.service_count; i++) {
        if (cw_name_eq(&d->config.services[i].service, service)) {
            return true;
        }
    }
    for (size_t i = 0; i < d->config.route_count; i++) {
        if (cw_name_eq(&d->config.routes[i].rules.service, service)) {
            return true;
        }
    }
    return false;
}

static enum cw_status
decode_worker(struct cw_jobd *d, const struct cw_store_record *r,
              struct cw_worker_entry *out)
{
    enum cw_status st = d->ports.worker_decode(r->key, r->value, out, d->msg);

    if (st == CW_OK && !is_known_service(d, &out->service)) {
        return cw_fail(d->msg, CW_ERR_INVALID, "no such service");
    }
    return st;
}

static void
apply_worker_record(struct cw_jobd *d, const struct cw_store_record *r,
                    cw_ms now)
{
    struct cw_worker_entry e;
    struct cw_worker *w;
    char key[CW_QUOTED_MAX];

    if (r->value.len == 0) {
        cw_sched_worker_gone(d->sched, r->key, now);
        return;
    }
    if (decode_worker(d, r, &e) != CW_OK) {
        cw_jobd_count(d, "cuminwalk_worker_entries_invalid_total", "");
        cw_log(CW_DEBUG, "worker_entry_invalid", "key=%s reason=\"%s\"",
               cw_quoted(key, r->key), d->msg);
        return;
    }
    e.current = d->workers_loaded;
    w = cw_sched_worker_listed(d->sched, &e, now);
    if (w != NULL) {
        w->listed_at = now;
    }
}

static void
remove_unlisted(struct cw_jobd *d, cw_ms since, cw_ms now)
{
    for (struct cw_pool *p = d->sched->pool_list; p != NULL; p = p->next) {
        for (struct cw_worker *w = p->workers; w != NULL; w = w->next) {
            if (w->listed_at < since) {
                cw_sched_worker_gone(d->sched, cw_name_str(&w->id), now);
            }
        }
    }
}

static void
on_worker_records(void *arg, enum cw_status s, const struct cw_store_page *p)
{
    struct cw_jobd *d = cw_term_ctx_release(arg);
    cw_ms now;

    if (d == NULL || d->role != CW_ROLE_SCHEDULER) {
        return;
    }
    now = cw_jobd_now(d);
    d->workers_reading = false;
    d->workers_read_due =
        now + (cw_fleet_expects_workers(d, now) ? WORKERS_POLL_MOVING_MS
                                                : WORKERS_POLL_MS);
    if (s == CW_ERR_NOT_FOUND) {
        d->workers_loaded = false;
        d->load_after_key.len = 0;
        d->workers_read_due = now;
        return;
    }
    if (s != CW_OK) {
        return;
    }
    for (size_t i = 0; i < p->count; i++) {
        apply_worker_record(d, &p->records[i], now);
    }
    if (d->workers_loaded) {
        d->workers_next_offset = p->next;
    }
    else {
        if (d->load_after_key.len == 0) {
            d->workers_next_offset = p->next;
            d->workers_load_began = now;
        }
        if (cw_watch_next_page(&d->load_after_key, p)) {
            d->workers_read_due = now;
            return;
        }
        remove_unlisted(d, d->workers_load_began, now);
        d->workers_loaded = true;
    }
    if (p->more) {
        d->workers_read_due = now;
    }
    cw_fleet_workers_listed(d, now);
    cw_agents_scan(d, now);
}

void
cw_watch_workers(struct cw_jobd *d, cw_ms now)
{
    if (d->role != CW_ROLE_SCHEDULER || d->workers_reading ||
        now < d->workers_read_due) {
        return;
    }
    if (!d->workers_loaded && d->workers_read_due == 0) {
        d->load_after_key.len = 0;
    }
    d->workers_reading = true;
    if (d->workers_loaded) {
        struct cw_store_read r = {CW_STREAM_WORKERS, d->workers_next_offset, 0,
                                  WORKERS_TIMEOUT_MS, NULL};

        d->ports.store.read(d->ports.ctx, &r, on_worker_records,
                            cw_term_ctx_new(d));
    }
    else {
        struct cw_str after = {d->load_after_key.text, d->load_after_key.len};

        d->ports.store.read_latest(d->ports.ctx, CW_STREAM_WORKERS, after,
                                   STORE_TIMEOUT_MS, NULL, on_worker_records,
                                   cw_term_ctx_new(d));
    }
}
