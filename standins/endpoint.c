/* Serves requests on an endpoint's data address. */
#include "endpoint.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define PIECE 16384
#define CUT_BYTES_MIN                                                         \
    65536 /* more than one piece, so that a cut is inside                     \
           */
#define LATE_MS 3000

/* A request that runs. It lives in the request's pool. */
struct work {
    h2o_generator_t generator; /* first: h2o passes its address */
    struct endpoint *ep;
    h2o_req_t *req;
    uv_timer_t *timer; /* NULL when it is closed */
    enum ep_mode mode;
    bool counted; /* in in_flight */
    size_t sent;
    size_t total;
    uint64_t pause_ms;
    char pattern[17];
    char piece[PIECE];
};

static void
free_timer(uv_handle_t *h)
{
    free(h);
}

static void
uncount(struct work *w)
{
    if (w->counted) {
        w->counted = false;
        w->ep->in_flight--;
    }
}

static void
on_dispose(void *p)
{
    struct work *w = p;
    uncount(w);
    if (w->timer != NULL) {
        uv_close((uv_handle_t *)w->timer, free_timer);
        w->timer = NULL;
    }
}

static void
refuse(h2o_req_t *req, const char *why)
{
    h2o_add_header_by_str(&req->pool, &req->res.headers,
                          H2O_STRLIT("cuminwalk-refused"), 0, NULL, why,
                          strlen(why));
    http_reply(req, 503, "text/plain", cw_str_from(why));
}

static void
add_header(h2o_req_t *req, const char *name, struct cw_str value)
{
    h2o_iovec_t v = h2o_strdup(&req->pool, value.ptr, value.len);
    h2o_add_header_by_str(&req->pool, &req->res.headers, name, strlen(name), 0,
                          NULL, v.base, v.len);
}

static void
add_answer_headers(struct work *w)
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

/* Sends the next piece of the body; the body repeats a pattern that follows
 * from the token, so that a client can check each byte. */
static void
send_piece(struct work *w)
{
    size_t n = w->total - w->sent;
    n = n > PIECE ? PIECE : n;
    for (size_t i = 0; i < n; i++) {
        w->piece[i] = w->pattern[(w->sent + i) % 16];
    }
    w->sent += n;
    bool last = w->sent == w->total;
    if (last) {
        /* Before the send: the caller may use the slot again at once. */
        uncount(w);
    }
    h2o_iovec_t buf = h2o_iovec_init(w->piece, n);
    h2o_send(w->req, &buf, 1,
             last ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

static void
on_pause(uv_timer_t *t)
{
    send_piece(t->data);
}

static void
on_proceed(h2o_generator_t *g, h2o_req_t *req)
{
    struct work *w = (struct work *)g;
    if (w->mode == EP_CUT) {
        uncount(w);
        http_cut(req, false);
        send_piece(w);
    }
    else if (w->pause_ms > 0) {
        uv_timer_start(w->timer, on_pause, w->pause_ms, 0);
    }
    else {
        send_piece(w);
    }
}

static void
answer(struct work *w)
{
    h2o_req_t *req = w->req;
    if (w->mode == EP_DIE || w->mode == EP_RESET) {
        uncount(w);
        http_reply_nothing(req, w->mode == EP_RESET);
        return;
    }
    if (w->mode == EP_FAIL) {
        uncount(w);
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
on_worked(uv_timer_t *t)
{
    answer(t->data);
}

static enum ep_mode
take_mode(struct endpoint *e)
{
    enum ep_mode m = e->mode;
    if (e->mode_calls > 0 && --e->mode_calls == 0) {
        e->mode = EP_NONE;
    }
    return m;
}

static void
run(struct endpoint *e, h2o_req_t *req, enum ep_mode mode)
{
    struct work *w = h2o_mem_alloc_shared(&req->pool, sizeof(*w), on_dispose);
    struct cw_str token = http_header(req, "x-token");
    memset(w, 0, sizeof(*w));
    w->ep = e;
    w->req = req;
    w->mode = mode;
    w->counted = true;
    e->in_flight++;
    e->runs++;
    if (token.len > 0) {
        ep_token_add(e->tokens, token);
    }
    snprintf(w->pattern, sizeof(w->pattern), "%016" PRIx64, cw_hash(token, 0));
    w->total = http_header_u64(req, "x-answer-bytes", 16);
    if (w->total == 0) {
        w->total = 16;
    }
    if (mode == EP_CUT && w->total < CUT_BYTES_MIN) {
        w->total = CUT_BYTES_MIN;
    }
    w->pause_ms = http_header_u64(req, "x-answer-pause-ms", 0);
    double mean = cw_rng_exp(e->rng, e->work_ms);
    if (mean > e->work_ms * 10) {
        mean = e->work_ms * 10;
    }
    uint64_t ms = http_header_u64(req, "x-work-ms", (uint64_t)(mean + 0.5));
    if (mode == EP_SLOW) {
        ms += e->slow_ms;
    }
    w->timer = malloc(sizeof(*w->timer));
    CW_INVARIANT(w->timer != NULL);
    uv_timer_init(e->loop, w->timer);
    w->timer->data = w;
    uv_timer_start(w->timer, on_worked, ms, 0);
}

static void
count_offer(struct endpoint *e, h2o_req_t *req)
{
    if (e->in_flight + 1 > e->peak) {
        e->peak = e->in_flight + 1;
    }
    if (e->draining) {
        cw_ms late = (cw_ms)uv_now(e->loop) - e->drain_since;
        e->late += late >= LATE_MS;
        e->late_max_ms = late > e->late_max_ms ? late : e->late_max_ms;
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
    if (http_is(req, "GET", "/ready")) {
        e->probes++;
        http_reply(req, e->draining ? 503 : 200, "text/plain",
                   e->draining ? CW_LIT("draining\n") : CW_LIT("ready\n"));
        return;
    }
    count_offer(e, req);
    if (e->draining && !e->quiet_drain) {
        e->refused_draining++;
        refuse(req, "draining");
        return;
    }
    enum ep_mode mode = take_mode(e);
    if (mode == EP_REFUSE || e->in_flight >= e->slots ||
        http_conn_full(&e->data, req)) {
        e->refused_full++;
        refuse(req, "full");
        return;
    }
    run(e, req, mode);
}
