/* Counters and histograms of requests, and the stat records built from them.
 */
#include "cw_modules.h"
#include "cw_request.h"
#include "cw_services.h"

#include <stdlib.h>
#include <string.h>

/* Interval at which idle and busy slots are sampled. */
#define SLOT_SAMPLE_MS 100

struct stat_service {
    struct cw_stat_service counts; /* since the last stat record */
    struct cw_hist latency;        /* us, since the last stat record */
    uint64_t *outcomes[5][CW_PRIORITIES];
    struct cw_hist *hist[CW_PRIORITIES];
};

struct cw_stats {
    size_t count;
    struct stat_service **items;
    cw_ms from;   /* wall time since which the counts were collected */
    cw_ms due_at; /* of the next stat record */
    cw_ms slots_sampled_at;
    /* Counts of the record being appended, which are restored if it is not in
     * the log. */
    size_t sent_count;
    struct cw_stat_service *sent;
    uint64_t *forwarded;
};

enum result_kind {
    KIND_OK,
    KIND_FAILED,
    KIND_SHED,
    KIND_UNKNOWN,
    KIND_REFUSED
};

static struct stat_service *
get_stat_service(struct cw_daemon *d, const struct cw_name *service)
{
    struct cw_stats *st = d->stats;
    struct stat_service **items;
    struct stat_service *s;

    for (size_t i = 0; i < st->count; i++) {
        if (cw_name_eq(&st->items[i]->counts.service, service)) {
            return st->items[i];
        }
    }
    items =
        realloc(st->items, (st->count + 1) * sizeof(struct stat_service *));
    if (items == NULL) {
        return NULL;
    }
    st->items = items;
    s = calloc(1, sizeof(*s));
    if (s == NULL) {
        return NULL;
    }
    s->counts.service = *service;
    cw_hist_init(&s->latency);
    items[st->count++] = s;
    return s;
}

static uint64_t *
outcome_counter(struct cw_daemon *d, struct stat_service *s,
                enum result_kind k, enum cw_priority p)
{
    static const char *const names[] = {"ok", "failed", "shed", "unknown",
                                        "refused"};
    char labels[192];

    if (s->outcomes[k][p] == NULL) {
        (void)snprintf(labels, sizeof(labels),
                       "service=\"%s\",priority=\"%s\",result=\"%s\"",
                       s->counts.service.text, cw_priority_name(p), names[k]);
        s->outcomes[k][p] = cw_metrics_counter(
            &d->metrics, "cuminwalk_requests_total", labels);
    }
    return s->outcomes[k][p];
}

static struct cw_hist *
latency_hist(struct cw_daemon *d, struct stat_service *s, enum cw_priority p)
{
    char labels[160];

    if (s->hist[p] == NULL) {
        (void)snprintf(labels, sizeof(labels),
                       "service=\"%s\",priority=\"%s\"",
                       s->counts.service.text, cw_priority_name(p));
        s->hist[p] = cw_metrics_hist(&d->metrics,
                                     "cuminwalk_request_latency_us", labels);
    }
    return s->hist[p];
}

static enum result_kind
classify_result(const struct cw_request *r)
{
    if (!r->local_reply) {
        if (!r->complete) {
            return KIND_UNKNOWN;
        }
        return r->status >= 500 ? KIND_FAILED : KIND_OK;
    }
    if (r->shed) {
        return KIND_SHED;
    }
    /* Status 409 with an unknown outcome means that the idempotency key is in
     * use: the outcome is that of another request. */
    if (r->outcome == CW_OUTCOME_UNKNOWN && r->status >= 500) {
        return KIND_UNKNOWN;
    }
    return KIND_REFUSED;
}

void
cw_stats_count_request(struct cw_daemon *d, const struct cw_request *r)
{
    struct stat_service *s;
    uint64_t us = (uv_hrtime() - r->arrived_ns) / 1000;
    uint64_t *counter;
    struct cw_hist *h;
    enum result_kind k;

    /* Without a status the caller disconnected before any answer. */
    if (d->stats == NULL || r->hops > 0 || r->status == 0 ||
        cw_services_find(d, cw_name_str(&r->service)) == NULL) {
        return;
    }
    s = get_stat_service(d, &r->service);
    if (s == NULL) {
        return;
    }
    k = classify_result(r);
    s->counts.ok += k == KIND_OK;
    s->counts.failed += k == KIND_FAILED;
    s->counts.shed += k == KIND_SHED;
    s->counts.unknown += k == KIND_UNKNOWN;
    counter = outcome_counter(d, s, k, r->priority);
    if (counter != NULL) {
        (*counter)++;
    }
    if (k == KIND_OK || k == KIND_FAILED) {
        cw_hist_record(&s->latency, us);
        h = latency_hist(d, s, r->priority);
        if (h != NULL) {
            cw_hist_record(h, us);
        }
    }
}

void
cw_stats_count_forward(struct cw_daemon *d)
{
    if (d->stats != NULL && d->stats->forwarded != NULL) {
        (*d->stats->forwarded)++;
    }
}

static void
add_slot_time(struct cw_daemon *d, cw_ms now)
{
    struct cw_stats *st = d->stats;
    uint64_t elapsed_ms = (uint64_t)(now - st->slots_sampled_at);

    st->slots_sampled_at = now;
    for (size_t i = 0; i < cw_dispatch_service_count(d); i++) {
        struct cw_service_load load;
        struct stat_service *s;
        uint32_t idle;

        cw_dispatch_service_load(d, i, now, &load);
        idle = load.held > load.busy ? load.held - load.busy : 0;
        s = get_stat_service(d, &load.service);
        if (s != NULL) {
            s->counts.idle_slot_ms += idle * elapsed_ms;
            s->counts.busy_slot_ms += load.busy * elapsed_ms;
        }
    }
}

static void
restore_counts(struct cw_daemon *d)
{
    struct cw_stats *st = d->stats;

    for (size_t i = 0; i < st->sent_count; i++) {
        struct stat_service *s = get_stat_service(d, &st->sent[i].service);

        if (s != NULL) {
            s->counts.ok += st->sent[i].ok;
            s->counts.failed += st->sent[i].failed;
            s->counts.shed += st->sent[i].shed;
            s->counts.unknown += st->sent[i].unknown;
            s->counts.idle_slot_ms += st->sent[i].idle_slot_ms;
            s->counts.busy_slot_ms += st->sent[i].busy_slot_ms;
        }
    }
}

static void
on_stat_appended(void *arg, enum cw_append_outcome o, uint64_t offset,
                 const char *reason)
{
    struct cw_daemon *d = arg;
    struct cw_stats *st = d->stats;

    (void)offset;
    (void)reason;
    if (st == NULL) {
        return;
    }
    if (o == CW_APPEND_ABSENT || o == CW_APPEND_UNAVAILABLE) {
        restore_counts(d);
    }
    free(st->sent);
    st->sent = NULL;
    st->sent_count = 0;
}

static void
append_stat_record(struct cw_daemon *d)
{
    struct cw_stats *st = d->stats;
    struct cw_record r;

    st->sent = calloc(st->count + 1, sizeof(*st->sent));
    if (st->sent == NULL) {
        return;
    }
    for (size_t i = 0; i < st->count; i++) {
        struct stat_service *s = st->items[i];
        struct cw_name service = s->counts.service;

        s->counts.p50_us = cw_hist_quantile(&s->latency, 0.5);
        s->counts.p99_us = cw_hist_quantile(&s->latency, 0.99);
        st->sent[i] = s->counts;
        memset(&s->counts, 0, sizeof(s->counts));
        s->counts.service = service;
        cw_hist_init(&s->latency);
    }
    st->sent_count = st->count;
    memset(&r, 0, sizeof(r));
    r.type = CW_REC_STAT;
    r.u.stat.daemon = d->settings->daemon;
    r.u.stat.from = st->from;
    r.u.stat.to = cw_daemon_wall(d);
    r.u.stat.count = st->sent_count;
    r.u.stat.services = st->sent;
    st->from = r.u.stat.to;
    cw_daemon_append(d, &r, on_stat_appended, d);
}

void
cw_stats_tick(struct cw_daemon *d, cw_ms now)
{
    struct cw_stats *st = d->stats;

    if (now - st->slots_sampled_at >= SLOT_SAMPLE_MS) {
        add_slot_time(d, now);
    }
    if (now < st->due_at || st->sent != NULL) {
        return;
    }
    if (st->count == 0 || !cw_members_joined(d) ||
        !cw_daemon_log_available(d, now)) {
        return;
    }
    st->due_at = now + d->settings->stat_ms;
    append_stat_record(d);
}

enum cw_status
cw_stats_init(struct cw_daemon *d)
{
    struct cw_stats *st = calloc(1, sizeof(*st));

    if (st == NULL) {
        return CW_ERR_NOMEM;
    }
    st->from = cw_daemon_wall(d);
    st->slots_sampled_at = cw_daemon_now(d);
    st->due_at = cw_daemon_now(d) + d->settings->stat_ms;
    st->forwarded =
        cw_metrics_counter(&d->metrics, "cuminwalk_forwarded_total", "");
    d->stats = st;
    return CW_OK;
}

void
cw_stats_finish(struct cw_daemon *d)
{
    struct cw_stats *st = d->stats;

    if (st == NULL) {
        return;
    }
    for (size_t i = 0; i < st->count; i++) {
        free(st->items[i]);
    }
    free(st->items);
    free(st->sent);
    free(st);
    d->stats = NULL;
}
