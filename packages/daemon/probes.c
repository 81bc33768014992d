/* Readiness probes. Each endpoint is probed by one member; the others get the
 * result by heartbeat. */
#include "cw_list.h"
#include "cw_modules.h"
#include "cw_runners.h"

#include <stdlib.h>
#include <string.h>

#define PROBE_TIMEOUT_MS 1000
/* Size of a probe's request and answer. The interval grows with the number of
 * endpoints, so that all probes stay under 1 KB/s. */
#define PROBE_BYTES 200
#define PROBE_BYTES_PER_S 1000
/* Consecutive failed connects or timeouts after which an endpoint is not
 * ready. A single one may be a lost packet or a full accept queue. */
#define PROBE_FAILURES_MIN 2
/* Interval of the check for runners with a due probe. */
#define SCAN_INTERVAL_MS 100

struct probe {
    struct cw_daemon *d;
    struct cw_runner *e;
    struct cw_link link;
    h2o_http1client_t *client;
    struct cw_buf head;
    h2o_iovec_t buf;
    cw_ms began_at;
};

struct cw_probes {
    h2o_http1client_ctx_t ctx;
    h2o_timeout_t io_timeout;
    struct cw_list running; /* probes in progress */
    /* Runners that this daemon probes. Rebuilt only when the state changes:
     * finding the owner of thousands of runners in each tick took 13% of a
     * core. */
    uint64_t state_version;
    size_t assigned_count;
    struct cw_runner **assigned;
    cw_ms scanned_at;
};

static void
probe_free(struct probe *p)
{
    cw_list_remove(&p->d->probes->running, &p->link);
    if (p->client != NULL) {
        h2o_http1client_cancel(p->client);
    }
    p->e->probing = false;
    cw_buf_finish(&p->head);
    free(p);
}

/* Applies the result of a probe and frees it. status 0: no answer. */
static void
probe_end(struct probe *p, int status)
{
    struct cw_daemon *d = p->d;
    struct cw_runner *e = p->e;
    cw_ms now = cw_daemon_now(d);

    probe_free(p);
    if (e->retired) {
        return;
    }
    if (status == 200) {
        e->probe_failures = 0;
        cw_runner_set_ready(d, e, true, now);
        return;
    }
    e->probe_failures++;
    if (status != 0 || e->probe_failures >= PROBE_FAILURES_MIN) {
        cw_runners_add_leaving_signal(d, cw_name_str(&e->vm),
                                      e->ep.incarnation, CW_LEAVING_PROBE);
        cw_runner_set_ready(d, e, false, now);
    }
}

static int
on_body(h2o_http1client_t *client, const char *err)
{
    h2o_buffer_consume(&client->sock->input, client->sock->input->size);
    /* The probe's result is known; h2o reads the rest for keep-alive. */
    (void)err;
    return 0;
}

static h2o_http1client_body_cb
on_head(h2o_http1client_t *client, const char *err, int minor, int status,
        h2o_iovec_t msg, h2o_header_t *headers, size_t count, int rlen)
{
    struct probe *p = client->data;
    bool eos = err == h2o_http1client_error_is_eos;

    (void)minor;
    (void)msg;
    (void)headers;
    (void)count;
    p->d->probe_traffic.bytes_in += rlen > 0 ? (uint64_t)rlen : 0;
    p->client = NULL;
    probe_end(p, err == NULL || eos ? status : 0);
    return err == NULL ? on_body : NULL;
}

static h2o_http1client_head_cb
on_connect(h2o_http1client_t *client, const char *err, h2o_iovec_t **bufs,
           size_t *count, int *method_is_head)
{
    struct probe *p = client->data;

    if (err == NULL) {
        cw_buf_addf(&p->head, "GET /ready HTTP/1.1\r\nhost: %s\r\n\r\n",
                    p->e->address.text);
    }
    if (err != NULL || p->head.failed) {
        p->client = NULL;
        probe_end(p, 0);
        return NULL;
    }
    p->buf = h2o_iovec_init(p->head.ptr, p->head.len);
    p->d->probe_traffic.calls++;
    p->d->probe_traffic.bytes_out += p->head.len;
    *bufs = &p->buf;
    *count = 1;
    *method_is_head = 0;
    return on_head;
}

static void
probe_start(struct cw_daemon *d, struct cw_runner *e, cw_ms now)
{
    struct probe *p = calloc(1, sizeof(*p));

    if (p == NULL) {
        return;
    }
    p->d = d;
    p->e = e;
    p->began_at = now;
    cw_buf_init(&p->head);
    cw_list_add(&d->probes->running, &p->link);
    e->probing = true;
    e->probed_at = now;
    h2o_http1client_connect_with_pool(&p->client, p, &d->probes->ctx,
                                      &e->sockets, on_connect);
}

const struct cw_member_entry *
cw_probes_owner(const struct cw_daemon *d, const struct cw_runner *e)
{
    const struct cw_member_entry *best = NULL;
    uint64_t best_score = 0;
    bool best_same_dc = false;
    uint64_t vm = cw_hash(cw_name_str(&e->vm), 0);

    for (size_t i = 0; i < d->state.member_count; i++) {
        const struct cw_member_entry *m = &d->state.members[i];
        bool same_dc = cw_name_eq(&m->dc, &e->dc);
        uint64_t score = cw_hash_mix(vm, cw_hash(cw_name_str(&m->daemon), 1));

        if (best == NULL || (same_dc && !best_same_dc) ||
            (same_dc == best_same_dc && score > best_score)) {
            best = m;
            best_score = score;
            best_same_dc = same_dc;
        }
    }
    return best;
}

static void
find_assigned(struct cw_daemon *d)
{
    struct cw_probes *p = d->probes;
    const struct cw_runners *all = d->runners;
    struct cw_runner **assigned =
        calloc(all->count + 1, sizeof(struct cw_runner *));

    if (assigned == NULL) {
        return;
    }
    free(p->assigned);
    p->assigned = assigned;
    p->assigned_count = 0;
    p->state_version = d->state.version;
    for (size_t i = 0; i < all->count; i++) {
        const struct cw_member_entry *m = cw_probes_owner(d, all->items[i]);

        if (m != NULL && cw_name_eq(&m->daemon, &d->settings->daemon)) {
            assigned[p->assigned_count++] = all->items[i];
        }
    }
}

void
cw_probes_runners_changed(struct cw_daemon *d)
{
    if (d->probes != NULL) {
        d->probes->assigned_count = 0;
        d->probes->state_version = UINT64_MAX;
    }
}

/* Interval between probes of a ready runner. It grows with the number of
 * runners, so that all probes together stay under the limit. */
static cw_ms
probe_interval(const struct cw_daemon *d)
{
    cw_ms interval = (cw_ms)d->probes->assigned_count * PROBE_BYTES *
                     CW_SECOND / PROBE_BYTES_PER_S;

    return interval > d->settings->probe_ms ? interval : d->settings->probe_ms;
}

/* A runner that did not answer is probed again after probe_ms, then with
 * exponential backoff up to interval_ms. If interval_ms always applied, a VM
 * that becomes reachable again would be probed only after the long interval of
 * a large fleet. */
static bool
is_probe_due(const struct cw_daemon *d, const struct cw_runner *e,
             cw_ms interval_ms, cw_ms now)
{
    cw_ms wait = d->settings->probe_ms;

    if (e->probing) {
        return false;
    }
    if (e->probed_at == 0) {
        return true;
    }
    for (unsigned i = 1; i < e->probe_failures && wait < interval_ms; i++) {
        wait *= 2;
    }
    if (e->probe_failures == 0 || wait > interval_ms) {
        wait = interval_ms;
    }
    return now - e->probed_at >= wait;
}

static void
end_timed_out_probes(struct cw_daemon *d, cw_ms now)
{
    struct cw_list *running = &d->probes->running;
    struct probe *next;

    for (struct probe *p = CW_LIST_FIRST(running, struct probe, link);
         p != NULL; p = next) {
        next = CW_LIST_NEXT(running, p, struct probe, link);
        if (now - p->began_at > PROBE_TIMEOUT_MS) {
            probe_end(p, 0);
        }
    }
}

void
cw_probes_tick(struct cw_daemon *d, cw_ms now)
{
    struct cw_probes *probes = d->probes;
    cw_ms interval_ms;

    end_timed_out_probes(d, now);
    if (probes->state_version != d->state.version) {
        find_assigned(d);
    }
    if (now - probes->scanned_at < SCAN_INTERVAL_MS) {
        return;
    }
    probes->scanned_at = now;
    interval_ms = probe_interval(d);
    for (size_t i = 0; i < probes->assigned_count; i++) {
        if (is_probe_due(d, probes->assigned[i], interval_ms, now)) {
            probe_start(d, probes->assigned[i], now);
        }
    }
}

enum cw_status
cw_probes_init(struct cw_daemon *d)
{
    struct cw_probes *p = calloc(1, sizeof(*p));

    if (p == NULL) {
        return CW_ERR_NOMEM;
    }
    h2o_timeout_init(d->loop, &p->io_timeout, (uint64_t)2 * PROBE_TIMEOUT_MS);
    cw_list_init(&p->running);
    p->ctx.loop = d->loop;
    p->ctx.io_timeout = &p->io_timeout;
    d->probes = p;
    return CW_OK;
}

void
cw_probes_finish(struct cw_daemon *d)
{
    if (d->probes == NULL) {
        return;
    }
    while (d->probes->running.count > 0) {
        probe_free(CW_LIST_FIRST(&d->probes->running, struct probe, link));
    }
    h2o_timeout_dispose(d->loop, &d->probes->io_timeout);
    for (int i = 0; i < 10; i++) {
        uv_run(d->loop, UV_RUN_NOWAIT);
    }
    free(d->probes->assigned);
    free(d->probes);
    d->probes = NULL;
}
