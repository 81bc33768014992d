/* Requests of the load client: sends them, checks their answers and verifies
 * how often they ran. */
#include "load.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* A caller waits this long beyond its deadline for the daemon's answer. */
#define ANSWER_GRACE_MS 2000
#define UNKNOWN_LINES_MAX 8
#define VERIFY_BATCH_TOKENS 500
#define VERIFY_TIMEOUT_MS 5000

struct load_call {
    struct load_service *service;
    uint64_t started; /* uv_hrtime */
    char token[48];
    char body_sum[17];       /* checksum of the request body, as text */
    uint64_t expected_bytes; /* 0 = any length */
};

static void
build_request(struct load_call *c, struct cw_buf *b)
{
    struct load *l = c->service->load;
    cw_buf_addf(b,
                "%s /%s/work HTTP/1.1\r\nHost: fleet\r\nX-Token: %s\r\n"
                "X-Service: %s\r\nX-Request-Id: %s\r\n"
                "Cuminwalk-Deadline-Ms: %d\r\n",
                l->method, c->service->name.text, c->token,
                c->service->name.text, c->token, l->deadline_ms);
    if (l->work_ms >= 0) {
        cw_buf_addf(b, "X-Work-Ms: %d\r\n", l->work_ms);
    }
    if (l->answer_bytes > 0) {
        cw_buf_addf(b, "X-Answer-Bytes: %d\r\n", l->answer_bytes);
    }
    if (l->chunked != 0) {
        cw_buf_addf(b, "X-Answer-Chunked: 1\r\n");
    }
    if (l->keys != 0) {
        cw_buf_addf(b, "Idempotency-Key: %s\r\n", c->token);
    }
    if (l->keep_alive == 0) {
        cw_buf_addf(b, "Connection: close\r\n");
    }
    struct cw_buf body;
    cw_buf_init(&body);
    while (body.len < (size_t)l->body_bytes) {
        cw_buf_addf(&body, "%016" PRIx64, cw_rng_next(&l->rng));
    }
    if (l->body_bytes > 0) {
        body.len = (size_t)l->body_bytes;
    }
    cw_buf_addf(b, "Content-Length: %zu\r\n\r\n", body.len);
    cw_buf_add_str(b, cw_buf_str(&body));
    snprintf(c->body_sum, sizeof(c->body_sum), "%016" PRIx64,
             cw_hash(cw_buf_str(&body), 0));
    cw_buf_finish(&body);
}

/* True when a complete answer has the token, checksum, length and body that
 * the request asked for. */
static bool
answer_is_correct(const struct load_call *c, const struct client_result *r)
{
    char pattern[17];
    snprintf(pattern, sizeof(pattern), "%016" PRIx64,
             cw_hash(cw_str_from(c->token), 0));
    if (!cw_str_eq(client_header(r->head, "x-token"), cw_str_from(c->token)) ||
        !cw_str_eq(client_header(r->head, "x-checksum"),
                   cw_str_from(c->body_sum)) ||
        (c->expected_bytes > 0 && r->body.len != c->expected_bytes)) {
        return false;
    }
    for (size_t i = 0; i < r->body.len; i++) {
        if (r->body.ptr[i] != pattern[i % 16]) {
            return false;
        }
    }
    return r->body.len > 0;
}

static enum load_outcome
classify_answer(const struct load_call *c, const struct client_result *r)
{
    if (r->phase == CLIENT_CONNECT) {
        return LOAD_NOT_RUN;
    }
    if (r->phase != CLIENT_DONE) {
        return r->timed_out              ? LOAD_LATE
               : r->phase == CLIENT_SENT ? LOAD_LOST
                                         : LOAD_CUT;
    }
    struct cw_str stated_outcome = client_header(r->head, "cuminwalk-outcome");
    if (cw_str_eq(stated_outcome, CW_LIT("not-run")) ||
        client_header(r->head, "cuminwalk-refused").len > 0) {
        return LOAD_NOT_RUN;
    }
    if (cw_str_eq(stated_outcome, CW_LIT("unknown"))) {
        return LOAD_UNKNOWN;
    }
    if (r->status != 200) {
        return LOAD_RUN_ERROR;
    }
    return answer_is_correct(c, r) ? LOAD_OK : LOAD_WRONG;
}

static void
count_outcome(struct load_counts *n, enum load_outcome o)
{
    uint64_t *const counters[] = {&n->ok,        &n->not_run, &n->unknown,
                                  &n->run_error, &n->wrong,   &n->cut,
                                  &n->lost,      &n->late};
    ++*counters[o];
}

static void
save_token(struct load *l, const struct load_call *c, enum load_outcome o)
{
    if (l->token_count == l->token_cap) {
        l->token_cap = l->token_cap == 0 ? 1024 : l->token_cap * 2;
        l->tokens = realloc(l->tokens, l->token_cap * sizeof(*l->tokens));
        CW_INVARIANT(l->tokens != NULL);
    }
    struct load_token *t = &l->tokens[l->token_count++];
    snprintf(t->text, sizeof(t->text), "%s", c->token);
    t->outcome = o;
}

static void
on_answer(void *arg, const struct client_result *r)
{
    struct load_call *c = arg;
    struct load_service *s = c->service;
    struct load *l = s->load;
    enum load_outcome o = classify_answer(c, r);
    count_outcome(&s->counts, o);
    count_outcome(&l->total, o);
    if (r->phase == CLIENT_DONE && r->status >= 100 && r->status < 600) {
        l->status_counts[r->status]++;
    }
    if (o == LOAD_OK) {
        cw_hist_record(&s->latency, (uv_hrtime() - c->started) / 1000);
    }
    if (l->verify) {
        save_token(l, c, o);
    }
    if (o == LOAD_WRONG) {
        char head[CW_QUOTED_MAX];
        fprintf(stderr, "wrong answer: token=%s bytes=%zu head=%s\n", c->token,
                r->body.len, cw_quoted(head, r->head));
    }
    if (o == LOAD_UNKNOWN && l->total.unknown <= UNKNOWN_LINES_MAX) {
        char body[CW_QUOTED_MAX];
        fprintf(stderr, "unknown outcome: token=%s status=%u body=%s\n",
                c->token, (unsigned)r->status, cw_quoted(body, r->body));
    }
    free(c);
    l->in_flight--;
    load_request_ended(s);
}

void
load_send_request(struct load_service *s)
{
    struct load *l = s->load;
    struct load_call *c = calloc(1, sizeof(*c));
    CW_INVARIANT(c != NULL);
    uint64_t n = l->next_request++;
    c->service = s;
    c->started = uv_hrtime();
    c->expected_bytes = (uint64_t)l->answer_bytes;
    snprintf(c->token, sizeof(c->token), "%.16s-%d-%" PRIu64, l->tag, l->seed,
             n);
    struct cw_buf b;
    cw_buf_init(&b);
    build_request(c, &b);
    s->counts.sent++;
    l->total.sent++;
    l->in_flight++;
    client_call(&l->targets[n % l->target_count], cw_buf_str(&b),
                (uint64_t)l->deadline_ms + ANSWER_GRACE_MS, on_answer, c);
    cw_buf_finish(&b);
}

static void
close_all(struct load *l)
{
    for (size_t i = 0; i < l->target_count; i++) {
        client_pool_finish(&l->targets[i]);
    }
    for (size_t i = 0; i < l->service_count; i++) {
        uv_close((uv_handle_t *)&l->services[i].timer, NULL);
    }
}

static void verify_next_batch(struct load *l);

static void
check_runs(struct load *l, const struct load_token *t, json_int_t runs)
{
    l->verified++;
    l->ran_twice += runs > 1;
    l->not_run_but_ran += t->outcome == LOAD_NOT_RUN && runs > 0;
    l->ok_but_not_run += t->outcome == LOAD_OK && runs == 0;
    if (t->outcome == LOAD_NOT_RUN && runs > 0) {
        fprintf(stderr, "answered as not run, but ran: token=%s\n", t->text);
    }
}

static void
on_runs(void *arg, const struct client_result *r)
{
    struct load *l = arg;
    json_t *o = r->phase == CLIENT_DONE
                    ? json_loadb(r->body.ptr, r->body.len, 0, NULL)
                    : NULL;
    const json_t *runs = json_object_get(o, "runs");
    size_t n = json_array_size(runs);
    for (size_t i = 0; i < n && l->verified < l->token_count; i++) {
        check_runs(l, &l->tokens[l->verified],
                   json_integer_value(json_array_get(runs, i)));
    }
    json_decref(o);
    if (n == 0) {
        fprintf(stderr, "standin-load: POST /runs: no valid answer\n");
        close_all(l);
        return;
    }
    verify_next_batch(l);
}

static void
verify_next_batch(struct load *l)
{
    if (!l->verify || l->verified == l->token_count) {
        close_all(l);
        return;
    }
    struct cw_buf body;
    struct cw_buf b;
    cw_buf_init(&body);
    cw_buf_init(&b);
    for (size_t i = l->verified;
         i < l->token_count && i < l->verified + VERIFY_BATCH_TOKENS; i++) {
        cw_buf_addf(&body, "%c\"%s\"", i == l->verified ? '[' : ',',
                    l->tokens[i].text);
    }
    cw_buf_addf(&body, "]");
    cw_buf_addf(&b,
                "POST /runs HTTP/1.1\r\nHost: control\r\n"
                "Connection: close\r\nContent-Length: %zu\r\n\r\n",
                body.len);
    cw_buf_add_str(&b, cw_buf_str(&body));
    client_call(&l->verify_pool, cw_buf_str(&b), VERIFY_TIMEOUT_MS, on_runs,
                l);
    cw_buf_finish(&b);
    cw_buf_finish(&body);
}

void
load_finish(struct load *l)
{
    if (!l->ending) {
        l->ending = true;
        verify_next_batch(l);
    }
}
