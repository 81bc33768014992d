/* Connections to the other daemons and the rounds of heartbeats. */
#include "cw_peers.h"

#include <stdlib.h>
#include <string.h>

#define CONNECT_RETRY_MS 500
#define PEERS_MAX 256
/* Interval when an early heartbeat was requested. Not 0, so that a burst of
 * changes is sent in one heartbeat. */
#define EARLY_HEARTBEAT_MS 50
/* Requests a peer's state when the log is unavailable for this long after the
 * start. */
#define STATE_WAIT_MS (2 * CW_SECOND)
#define STATE_RETRY_MS (5 * CW_SECOND)
#define STATE_PART_BYTES (16 * 1024)

static struct cw_peer *
peer_find(const struct cw_daemon *d, struct cw_str daemon)
{
    for (size_t i = 0; i < d->peers->count; i++) {
        if (cw_str_eq(cw_name_str(&d->peers->items[i]->daemon), daemon)) {
            return d->peers->items[i];
        }
    }
    return NULL;
}

static struct cw_peer *
peer_add(struct cw_daemon *d, struct cw_str daemon)
{
    struct cw_peers *all = d->peers;
    struct cw_peer *p = peer_find(d, daemon);
    struct cw_peer **items;

    if (p != NULL || all->count >= PEERS_MAX) {
        return p;
    }
    items = realloc(all->items, (all->count + 1) * sizeof(struct cw_peer *));
    if (items == NULL) {
        return NULL;
    }
    all->items = items;
    p = calloc(1, sizeof(*p));
    if (p == NULL || cw_name_set(&p->daemon, daemon) != CW_OK) {
        free(p);
        return NULL;
    }
    items[all->count++] = p;
    return p;
}

static void
peer_free(struct cw_peer *p)
{
    free(p->loads);
    free(p->drained);
    free(p);
}

enum cw_status
cw_peer_send(struct cw_peer *p, Cuminwalk__Envelope *env)
{
    if (p->conn == NULL || !p->ready) {
        return CW_ERR_UNAVAILABLE;
    }
    return cw_peer_conn_send(p->conn, env);
}

struct cw_str
cw_peer_name(const struct cw_peer *p)
{
    return cw_name_str(&p->daemon);
}

static void
send_hello(struct cw_daemon *d, struct cw_peer_conn *c)
{
    Cuminwalk__Envelope env = CUMINWALK__ENVELOPE__INIT;
    Cuminwalk__Hello h = CUMINWALK__HELLO__INIT;

    h.daemon = (char *)d->settings->daemon.text;
    h.incarnation = d->incarnation;
    h.dc = (char *)d->settings->dc.text;
    h.version = CW_VERSION;
    h.address = (char *)d->peer_listen.text;
    env.msg_case = CUMINWALK__ENVELOPE__MSG_HELLO;
    env.hello = &h;
    (void)cw_peer_conn_send(c, &env);
}

static void
on_opened(void *ctx, struct cw_peer_conn *c, bool incoming)
{
    if (!incoming) {
        send_hello(ctx, c);
    }
}

/* Clears what belongs to the connection. */
static void
peer_reset(struct cw_peer *p)
{
    p->ready = false;
    p->heard_at = 0;
    p->peer_clock = 0;
    p->heartbeats_sent = 0;
    p->load_count = 0;
    p->drained_count = 0;
}

static void
on_closed(void *ctx, struct cw_peer_conn *c)
{
    struct cw_daemon *d = ctx;
    struct cw_peer *p = cw_peer_conn_data(c);

    if (p == NULL || p->conn != c) {
        return;
    }
    if (p->ready) {
        cw_log(CW_INFO, "peer_closed", "peer=%s", p->daemon.text);
    }
    p->conn = NULL;
    p->retry_at = cw_daemon_now(d) + CONNECT_RETRY_MS;
    peer_reset(p);
    cw_forward_peer_closed(d, p);
}

static void
on_hello(struct cw_daemon *d, struct cw_peer_conn *c,
         const Cuminwalk__Hello *h)
{
    struct cw_str name = cw_str_from(h->daemon);
    struct cw_peer *p = cw_peer_conn_data(c);
    bool incoming = p == NULL;

    if (!cw_name_valid(name) || cw_str_eq(name, cw_daemon_name(d)) ||
        (p != NULL && !cw_str_eq(cw_name_str(&p->daemon), name))) {
        cw_log(CW_WARN, "bad_hello", "reason=\"unexpected daemon id\"");
        cw_peer_conn_close(c);
        return;
    }
    if (incoming) {
        p = peer_add(d, name);
        if (p == NULL) {
            cw_peer_conn_close(c);
            return;
        }
        if (p->conn != NULL) {
            struct cw_peer_conn *old = p->conn;

            if (p->ready && p->incarnation == h->incarnation &&
                p->heard_at != 0 &&
                cw_daemon_now(d) - p->heard_at < d->settings->silent_ms) {
                /* Each pair of daemons has one connection, and the old one
                 * works. */
                cw_peer_conn_close(c);
                return;
            }
            cw_peer_conn_close(old);
        }
        p->conn = c;
        cw_peer_conn_set_data(c, p);
        send_hello(d, c);
    }
    p->incarnation = h->incarnation;
    (void)cw_name_set(&p->dc, cw_str_from(h->dc));
    (void)cw_name_set(&p->address, cw_str_from(h->address));
    p->ready = true;
    cw_log(CW_INFO, "peer_open", "peer=%s incarnation=%llu", p->daemon.text,
           (unsigned long long)p->incarnation);
    cw_heartbeat_send(d, p, cw_daemon_now(d));
}

struct export_ctx {
    struct cw_peer *p;
    uint64_t as_of;
    uint32_t part;
    uint32_t parts;
    enum cw_status status;
};

static void
count_part(void *ctx, struct cw_str items)
{
    struct export_ctx *x = ctx;

    (void)items;
    x->parts++;
}

static void
send_part(void *ctx, struct cw_str items)
{
    struct export_ctx *x = ctx;
    Cuminwalk__Envelope env = CUMINWALK__ENVELOPE__INIT;
    Cuminwalk__StatePart part = CUMINWALK__STATE_PART__INIT;

    if (x->status != CW_OK) {
        return;
    }
    part.as_of = x->as_of;
    part.part = ++x->part;
    part.parts = x->parts;
    part.items.data = (uint8_t *)items.ptr;
    part.items.len = items.len;
    env.msg_case = CUMINWALK__ENVELOPE__MSG_STATE_PART;
    env.state_part = &part;
    x->status = cw_peer_send(x->p, &env);
}

static void
send_state(struct cw_daemon *d, struct cw_peer *p)
{
    struct export_ctx x = {.p = p, .as_of = d->state.applied};

    if (!cw_daemon_synced(d)) {
        return;
    }
    if (cw_state_export(&d->state, STATE_PART_BYTES, count_part, &x) ==
        CW_OK) {
        (void)cw_state_export(&d->state, STATE_PART_BYTES, send_part, &x);
    }
    cw_log(CW_INFO, "state_sent", "peer=%s parts=%u status=%s", p->daemon.text,
           x.parts, cw_status_name(x.status));
}

static bool
on_frame(void *ctx, struct cw_peer_conn *c, Cuminwalk__Envelope *env)
{
    struct cw_daemon *d = ctx;
    struct cw_peer *p = cw_peer_conn_data(c);

    if (env->msg_case == CUMINWALK__ENVELOPE__MSG_HELLO) {
        on_hello(d, c, env->hello);
        return false;
    }
    if (p == NULL || !p->ready || p->conn != c) {
        cw_log(CW_WARN, "bad_frame", "reason=\"frame before Hello\"");
        cw_peer_conn_close(c);
        return false;
    }
    switch (env->msg_case) {
    case CUMINWALK__ENVELOPE__MSG_HEARTBEAT:
        cw_heartbeat_receive(d, p, env->heartbeat, cw_daemon_now(d));
        return false;
    case CUMINWALK__ENVELOPE__MSG_STATE_REQUEST:
        send_state(d, p);
        return false;
    case CUMINWALK__ENVELOPE__MSG_STATE_PART:
        cw_follower_import(d, env->state_part);
        return false;
    default:
        return cw_forward_receive(d, p, env);
    }
}

static const struct cw_peer_net_ops net_ops = {on_opened, on_frame, on_closed};

enum cw_status
cw_peers_init(struct cw_daemon *d)
{
    struct cw_peers *all = calloc(1, sizeof(*all));
    struct sockaddr_storage sa;
    socklen_t len;

    if (all == NULL) {
        return CW_ERR_NOMEM;
    }
    d->peers = all;
    all->d = d;
    all->started_at = cw_daemon_now(d);
    if (cw_address_parse(cw_name_str(&d->settings->peer_listen), &sa, &len) !=
        CW_OK) {
        return cw_fail(d->msg, CW_ERR_INVALID, "peer_listen is not ip:port");
    }
    if (cw_peer_net_init(&all->net, d->loop, (struct sockaddr *)&sa, &net_ops,
                         d) != CW_OK) {
        return cw_fail(d->msg, CW_ERR_IO, "cannot listen on %s",
                       d->settings->peer_listen.text);
    }
    all->listening = true;
    cw_address_of_socket(all->net.listener, &d->peer_listen);
    return CW_OK;
}

void
cw_peers_finish(struct cw_daemon *d)
{
    struct cw_peers *all = d->peers;

    if (all == NULL) {
        return;
    }
    if (all->listening) {
        cw_peer_net_finish(&all->net);
    }
    for (size_t i = 0; i < all->count; i++) {
        all->items[i]->conn = NULL;
        peer_free(all->items[i]);
    }
    free(all->items);
    free(all->sent);
    /* Handles that are closing still point to net. */
    for (int i = 0; i < 10; i++) {
        uv_run(d->loop, UV_RUN_NOWAIT);
    }
    free(all);
    d->peers = NULL;
}

/* Marks the peers that this daemon should be connected to, and frees those
 * that are neither wanted nor connected. */
static void
update_wanted(struct cw_daemon *d)
{
    struct cw_peers *all = d->peers;
    size_t kept = 0;

    for (size_t i = 0; i < all->count; i++) {
        all->items[i]->wanted = false;
    }
    for (size_t i = 0; i < d->settings->peer_count; i++) {
        const struct cw_peer_setting *s = &d->settings->peers[i];
        struct cw_peer *p = NULL;

        if (!cw_name_eq(&s->daemon, &d->settings->daemon)) {
            p = peer_add(d, cw_name_str(&s->daemon));
        }
        if (p != NULL) {
            p->wanted = true;
            p->address = s->address;
        }
    }
    for (size_t i = 0; i < d->state.member_count; i++) {
        const struct cw_member_entry *m = &d->state.members[i];
        struct cw_peer *p = NULL;

        if (!cw_name_eq(&m->daemon, &d->settings->daemon)) {
            p = peer_add(d, cw_name_str(&m->daemon));
        }
        if (p != NULL) {
            p->wanted = true;
            p->address = m->address;
        }
    }
    for (size_t i = 0; i < all->count; i++) {
        if (all->items[i]->wanted || all->items[i]->conn != NULL) {
            all->items[kept++] = all->items[i];
        }
        else {
            peer_free(all->items[i]);
        }
    }
    all->count = kept;
}

/* Of two daemons, the one with the lower id connects. A daemon that has not
 * read the log may be unknown to the others and always connects. */
static void
connect_peers(struct cw_daemon *d, cw_ms now)
{
    struct cw_peers *all = d->peers;

    for (size_t i = 0; i < all->count; i++) {
        struct cw_peer *p = all->items[i];
        struct sockaddr_storage sa;
        socklen_t len;

        if (p->conn != NULL || !p->wanted || now < p->retry_at ||
            (cw_daemon_synced(d) &&
             cw_str_cmp(cw_daemon_name(d), cw_name_str(&p->daemon)) > 0)) {
            continue;
        }
        p->retry_at = now + CONNECT_RETRY_MS;
        if (cw_address_parse(cw_name_str(&p->address), &sa, &len) != CW_OK) {
            continue;
        }
        p->conn = cw_peer_net_connect(&all->net, (struct sockaddr *)&sa, p);
    }
}

static void
close_silent_peers(struct cw_daemon *d, cw_ms now)
{
    for (size_t i = 0; i < d->peers->count; i++) {
        struct cw_peer *p = d->peers->items[i];

        /* While a half-open connection remains, no new one is made to a peer
         * that is reachable again. */
        if (p->conn != NULL && p->heard_at != 0 &&
            now - p->heard_at > 3 * d->settings->silent_ms) {
            cw_peer_conn_close(p->conn);
        }
    }
}

static void
request_state(struct cw_daemon *d, cw_ms now)
{
    struct cw_peers *all = d->peers;
    Cuminwalk__Envelope env = CUMINWALK__ENVELOPE__INIT;
    Cuminwalk__StateRequest req = CUMINWALK__STATE_REQUEST__INIT;

    if (cw_daemon_synced(d) || d->state.applied > 0 ||
        now - all->started_at < STATE_WAIT_MS ||
        now - all->state_requested_at < STATE_RETRY_MS) {
        return;
    }
    env.msg_case = CUMINWALK__ENVELOPE__MSG_STATE_REQUEST;
    env.state_request = &req;
    for (size_t i = 0; i < all->count; i++) {
        if (cw_peer_send(all->items[i], &env) == CW_OK) {
            all->state_requested_at = now;
            return;
        }
    }
}

void
cw_peers_request_heartbeat(struct cw_daemon *d)
{
    if (d->peers != NULL) {
        d->peers->heartbeat_requested = true;
    }
}

void
cw_peers_tick(struct cw_daemon *d, cw_ms now)
{
    struct cw_peers *all = d->peers;
    cw_ms interval_ms = all->heartbeat_requested ? EARLY_HEARTBEAT_MS
                                                 : d->settings->heartbeat_ms;

    if (now - all->last_heartbeat < interval_ms) {
        return;
    }
    all->last_heartbeat = now;
    all->heartbeat_requested = false;
    update_wanted(d);
    connect_peers(d, now);
    close_silent_peers(d, now);
    request_state(d, now);
    cw_heartbeat_choose_loads(d, now);
    for (size_t i = 0; i < all->count; i++) {
        if (all->items[i]->ready) {
            cw_heartbeat_send(d, all->items[i], now);
        }
    }
}
