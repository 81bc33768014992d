/* Log service: streams of JSON records with offsets from 1, long polls, and
 * retention by count and by time. */
#include "platform.h"

#include <stdlib.h>
#include <string.h>

/* An answer ends after this many bytes of records; the reader gets the rest
 * with its next read. */
#define READ_BYTES_MAX (1024 * 1024)

/* A read that waits for a record: a long poll. */
struct plat_waiting_read {
    uv_timer_t timer;
    struct platform *plat;
    h2o_req_t *req;
    struct cw_name stream;
    uint64_t from;
    uint64_t max;
    struct plat_waiting_read *next;
};

/* Finds a stream, or adds it. */
static struct plat_stream *
get_stream(struct plat_log *log, struct cw_str name)
{
    for (struct plat_stream *s = log->streams; s != NULL; s = s->next) {
        if (cw_str_eq(cw_name_str(&s->name), name)) {
            return s;
        }
    }
    struct plat_stream *s = calloc(1, sizeof(*s));
    CW_INVARIANT(s != NULL);
    cw_name_set(&s->name, name);
    s->first = 1;
    s->next = log->streams;
    log->streams = s;
    return s;
}

static void
trim_stream(struct platform *p, struct plat_stream *s)
{
    cw_ms now = p->clock.wall(p->clock.ctx);
    size_t drop = 0;
    while (drop < s->count &&
           ((p->log.retention_records != 0 &&
             s->count - drop > p->log.retention_records) ||
            s->records[drop].time + p->log.retention_ms < now)) {
        free(s->records[drop].data);
        drop++;
    }
    if (drop > 0) {
        memmove(s->records, s->records + drop,
                (s->count - drop) * sizeof(*s->records));
        s->count -= drop;
        s->first += drop;
    }
}

void
plat_log_trim(struct platform *p)
{
    for (struct plat_stream *s = p->log.streams; s != NULL; s = s->next) {
        trim_stream(p, s);
    }
}

static void
append_record(struct platform *p, struct plat_stream *s, const json_t *rec)
{
    if (s->count == s->cap) {
        s->cap = s->cap == 0 ? 256 : s->cap * 2;
        s->records = realloc(s->records, s->cap * sizeof(*s->records));
        CW_INVARIANT(s->records != NULL);
    }
    s->records[s->count++] = (struct plat_record){
        json_dumps(rec, JSON_COMPACT), p->clock.wall(p->clock.ctx)};
}

static void
handle_append(struct platform *p, h2o_req_t *req, struct cw_str name)
{
    json_t *recs = json_loadb(req->entity.base, req->entity.len, 0, NULL);
    size_t n = json_array_size(recs);
    if (!json_is_array(recs) || n == 0) {
        json_decref(recs);
        http_reply_json(req, 400, json_pack("{ss}", "error", "records"));
        return;
    }
    struct plat_stream *s = get_stream(&p->log, name);
    uint64_t first = s->first + s->count;
    for (size_t i = 0; i < n; i++) {
        append_record(p, s, json_array_get(recs, i));
    }
    json_decref(recs);
    p->log.appends++;
    plat_reply(p, &p->log.fault, req, true, 200,
               json_pack("{sI}", "offset", (json_int_t)first));
    trim_stream(p, s);
    plat_log_wake_reads(p);
}

static void
reply_records(struct platform *p, h2o_req_t *req, const struct plat_stream *s,
              uint64_t from, uint64_t max)
{
    if (from < s->first) {
        http_reply_json(req, 410,
                        json_pack("{sI}", "first", (json_int_t)s->first));
        return;
    }
    struct cw_buf b;
    struct cw_buf recs;
    cw_buf_init(&b);
    cw_buf_init(&recs);
    uint64_t n = from;
    while (n < s->first + s->count && n - from < max &&
           recs.len < READ_BYTES_MAX) {
        const struct plat_record *r = &s->records[n - s->first];
        cw_buf_addf(&recs, "%s{\"offset\":%llu,\"time\":%lld,\"data\":",
                    n > from ? "," : "", (unsigned long long)n,
                    (long long)r->time);
        cw_buf_add_str(&recs, cw_str_from(r->data));
        cw_buf_add(&recs, "}", 1);
        n++;
    }
    cw_buf_addf(&b,
                "{\"first\":%llu,\"next\":%llu,\"retention_ms\":%lld,"
                "\"records\":[",
                (unsigned long long)s->first, (unsigned long long)n,
                (long long)p->log.retention_ms);
    cw_buf_add_str(&b, cw_buf_str(&recs));
    cw_buf_add(&b, "]}", 2);
    http_reply(req, 200, "application/json", cw_buf_str(&b));
    cw_buf_finish(&recs);
    cw_buf_finish(&b);
}

static void
free_waiting_read(uv_handle_t *h)
{
    free(h->data);
}

static void
answer_waiting_read(struct plat_waiting_read *w)
{
    struct platform *p = w->plat;
    for (struct plat_waiting_read **l = &p->log.waiting_reads; *l != NULL;
         l = &(*l)->next) {
        if (*l == w) {
            *l = w->next;
            break;
        }
    }
    h2o_req_t *req = w->req;
    if (!plat_reply_if_down(&p->log.fault, req)) {
        reply_records(p, req, get_stream(&p->log, cw_name_str(&w->stream)),
                      w->from, w->max);
    }
    uv_close((uv_handle_t *)&w->timer, free_waiting_read);
}

static void
on_wait_timeout(uv_timer_t *t)
{
    answer_waiting_read(t->data);
}

void
plat_log_wake_reads(struct platform *p)
{
    struct plat_waiting_read *next;
    for (struct plat_waiting_read *w = p->log.waiting_reads; w != NULL;
         w = next) {
        next = w->next;
        const struct plat_stream *s =
            get_stream(&p->log, cw_name_str(&w->stream));
        if (p->log.fault.mode == PLAT_DOWN || w->from < s->first + s->count) {
            answer_waiting_read(w);
        }
    }
}

static void
start_waiting_read(struct platform *p, h2o_req_t *req, struct cw_str stream,
                   uint64_t from, uint64_t max, uint64_t wait_ms)
{
    struct plat_waiting_read *w = calloc(1, sizeof(*w));
    CW_INVARIANT(w != NULL);
    uv_timer_init(p->loop, &w->timer);
    w->timer.data = w;
    w->plat = p;
    w->req = req;
    cw_name_set(&w->stream, stream);
    w->from = from;
    w->max = max;
    w->next = p->log.waiting_reads;
    p->log.waiting_reads = w;
    uv_timer_start(&w->timer, on_wait_timeout, wait_ms, 0);
}

static void
handle_read(struct platform *p, h2o_req_t *req, struct cw_str name)
{
    uint64_t from = http_query_u64(req, "from", 1);
    uint64_t max = http_query_u64(req, "max", 1000);
    uint64_t wait_ms = http_query_u64(req, "wait_ms", 0);
    if (p->log.fault.mode == PLAT_SLOW && wait_ms < p->log.fault.slow_ms) {
        wait_ms = p->log.fault.slow_ms;
    }
    struct plat_stream *s = get_stream(&p->log, name);
    trim_stream(p, s);
    bool at_end = from == s->first + s->count;
    if ((at_end && wait_ms > 0) || p->log.fault.mode == PLAT_SLOW) {
        start_waiting_read(p, req, name, from, max, wait_ms);
        return;
    }
    reply_records(p, req, s, from, max);
}

bool
plat_log_handle(struct platform *p, h2o_req_t *req)
{
    struct cw_str path = http_path(req);
    if (!cw_str_starts(path, CW_LIT("/log/"))) {
        return false;
    }
    struct cw_str name = {path.ptr + 5, path.len - 5};
    if (plat_reply_if_down(&p->log.fault, req)) {
        return true;
    }
    if (!cw_name_valid(name)) {
        http_reply_json(req, 400, json_pack("{ss}", "error", "stream"));
    }
    else if (h2o_memis(req->method.base, req->method.len,
                       H2O_STRLIT("POST"))) {
        handle_append(p, req, name);
    }
    else {
        handle_read(p, req, name);
    }
    return true;
}
