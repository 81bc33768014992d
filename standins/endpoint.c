/* Serves the requests on an endpoint's data address. */
#include "endpoint.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define PIECE_BYTES 16384
/* More than one piece, so that a cut falls inside the body. */
#define CUT_ANSWER_MIN_BYTES 65536
/* A request received this long after a drain began counts as late. */
#define LATE_AFTER_DRAIN_MS 3000

/* A request that is being served, allocated from its h2o memory pool. */
struct request_run {
    h2o_generator_t generator; /* first: h2o passes its address */
    struct endpoint *ep;
    h2o_req_t *req;
    uv_timer_t *timer; /* NULL after it was closed */
    enum ep_mode mode;
    bool counted; /* included in ep->in_flight */
    size_t sent;
    size_t total;
    uint64_t pause_ms;
    char pattern[17]; /* 16 characters that the body repeats */
    char piece[PIECE_BYTES];
};

static void
free_timer(uv_handle_t *h)
{
    free(h);
}

static void
release_in_flight(struct request_run *w)
{
    if (w->counted) {
        w->counted = false;
        w->ep->in_flight--;
    }
}

static void
on_dispose(void *p)
{
    struct request_run *w = p;
    release_in_flight(w);
    if (w->timer != NULL) {
        uv_close((uv_handle_t *)w->timer, free_timer);
        w->timer = NULL;
    }
}

static void
refuse(h2o_req_t *req, const char *reason)
{
    h2o_add_header_by_str(&req->pool, &req->res.headers,
                          H2O_STRLIT("cuminwalk-refused"), 0, NULL, reason,
                          strlen(reason));
    http_reply(req, 503, "text/plain", cw_str_from(reason));
}

static void
add_header(h2o_req_t *req, const char *name, struct cw_str value)
{
    h2o_iovec_t v = h2o_strdup(&req->pool, value.ptr, value.len);
    h2o_add_header_by_str(&req->pool, &req->res.headers, name, strlen(name), 0,
                          NULL, v.base, v.len);
}

static void
add_answer_headers(struct request_run *w)
{
    char sum[17];
    h2o_req_t *req = w->req;
    snprintf(sum, sizeof(sum), "%016" PRIx64,
             cw_hash((struct cw_str){req->entity.base, req->entity.len}, 0));
    add_header(req, "x-checksum", cw_str_from(sum));
    add_header(req, "x-token", http_header(req, "x-token"));
    add_header(req, "x-request-id-seen", http_header(req, "x-request-id"));
    add_header(req, "x-endpoint", cw_name_str(&w->ep->name));
}

/* Sends the next piece of the body. The body repeats a pattern derived from
 * the token, so that a client can check each byte. */
static void
send_piece(struct request_run *w)
{
    size_t n = w->total - w->sent;
    n = n > PIECE_BYTES ? PIECE_BYTES : n;
    for (size_t i = 0; i < n; i++) {
        w->piece[i] = w->pattern[(w->sent + i) % 16];
    }
    w->sent += n;
    bool last = w->sent == w->total;
    if (last) {
        /* Before the send, because the caller can reuse the slot at once. */
        release_in_flight(w);
    }
    h2o_iovec_t buf = h2o_iovec_init(w->piece, n);
    h2o_send(w->req, &buf, 1,
             last ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

static void
on_pause_ended(uv_timer_t *t)
{
    send_piece(t->data);
}

static void
on_proceed(h2o_generator_t *g, h2o_req_t *req)
{
    struct request_run *w = (struct request_run *)g;
    if (w->mode == EP_CUT) {
        release_in_flight(w);
        http_disconnect(req, false);
        send_piece(w);
    }
    else if (w->pause_ms > 0) {
        uv_timer_start(w->timer, on_pause_ended, w->pause_ms, 0);
    }
    else {
        send_piece(w);
    }
}

static void
send_answer(struct request_run *w)
{
    h2o_req_t *req = w->req;
    if (w->mode == EP_DIE || w->mode == EP_RESET) {
        release_in_flight(w);
        http_drop_request(req, w->mode == EP_RESET);
        return;
    }
    if (w->mode == EP_FAIL) {
        release_in_flight(w);
        http_reply(req, 500, "text/plain", CW_LIT("failed\n"));
        return;
    }
    add_answer_headers(w);
    req->res.status = 200;
    req->res.reason = "OK";
    if (http_header_u64(req, "x-answer-chunked", 0) == 0) {
        req->res.content_length = w->total;
    }
    w->generator.proceed = on_proceed;
    h2o_start_response(req, &w->generator);
    send_piece(w);
}

static void
on_run_ended(uv_timer_t *t)
{
    send_answer(t->data);
}

/* Returns the mode for one request and counts down the requests left in it. */
static enum ep_mode
consume_mode(struct endpoint *e)
{
    enum ep_mode m = e->mode;
    if (e->mode_calls > 0 && --e->mode_calls == 0) {
        e->mode = EP_NONE;
    }
    return m;
}

static void
start_run(struct endpoint *e, h2o_req_t *req, enum ep_mode mode)
{
    struct request_run *w =
        h2o_mem_alloc_shared(&req->pool, sizeof(*w), on_dispose);
    struct cw_str token = http_header(req, "x-token");
    memset(w, 0, sizeof(*w));
    w->ep = e;
    w->req = req;
    w->mode = mode;
    w->counted = true;
    e->in_flight++;
    e->runs++;
    if (token.len > 0) {
        ep_token_count_run(e->tokens, token);
    }
    snprintf(w->pattern, sizeof(w->pattern), "%016" PRIx64, cw_hash(token, 0));
    w->total = http_header_u64(req, "x-answer-bytes", 16);
    if (w->total == 0) {
        w->total = 16;
    }
    if (mode == EP_CUT && w->total < CUT_ANSWER_MIN_BYTES) {
        w->total = CUT_ANSWER_MIN_BYTES;
    }
    w->pause_ms = http_header_u64(req, "x-answer-pause-ms", 0);
    double sample_ms = cw_rng_exp(e->rng, e->work_ms);
    if (sample_ms > e->work_ms * 10) {
        sample_ms = e->work_ms * 10;
    }
    uint64_t ms =
        http_header_u64(req, "x-work-ms", (uint64_t)(sample_ms + 0.5));
    if (mode == EP_SLOW) {
        ms += e->slow_ms;
    }
    w->timer = malloc(sizeof(*w->timer));
    CW_INVARIANT(w->timer != NULL);
    uv_timer_init(e->loop, w->timer);
    w->timer->data = w;
    uv_timer_start(w->timer, on_run_ended, ms, 0);
}

static void
count_request(struct endpoint *e, h2o_req_t *req)
{
    if (e->in_flight + 1 > e->peak) {
        e->peak = e->in_flight + 1;
    }
    if (e->draining) {
        cw_ms since_drain = (cw_ms)uv_now(e->loop) - e->drain_since;
        e->late += since_drain >= LATE_AFTER_DRAIN_MS;
        e->late_max_ms =
            since_drain > e->late_max_ms ? since_drain : e->late_max_ms;
    }
    struct cw_str service = http_header(req, "x-service");
    if (service.len > 0 && e->pool.len > 0 &&
        !cw_str_eq(service, cw_name_str(&e->pool))) {
        e->wrong_pool++;
    }
}

void
ep_on_data(void *arg, h2o_req_t *req)
{
    struct endpoint *e = arg;
    if (http_matches(req, "GET", "/ready")) {
        e->probes++;
        http_reply(req, e->draining ? 503 : 200, "text/plain",
                   e->draining ? CW_LIT("draining\n") : CW_LIT("ready\n"));
        return;
    }
    count_request(e, req);
    if (e->draining && !e->quiet_drain) {
        e->refused_draining++;
        refuse(req, "draining");
        return;
    }
    enum ep_mode mode = consume_mode(e);
    if (mode == EP_REFUSE || e->in_flight >= e->slots ||
        http_conn_full(&e->data, req)) {
        e->refused_full++;
        refuse(req, "full");
        return;
    }
    start_run(e, req, mode);
}
