/* Task records of a placement cell in the log stream jobs-<cell>.
 *
 * A claim record with a higher member epoch ends the writer of the one
 * before: records that follow it with a lower epoch have no effect, on any
 * reader alike. So a former holder that was paused finds its own start record
 * void when it reads it back, and does not call the worker. */
#include "ctl_place.h"

#include <stdlib.h>
#include <string.h>

#define READ_MAX 512
/* A long poll answers at once when there is a record; an idle cell costs one
 * read in this time. */
#define READ_WAIT_MS (5 * CW_SECOND)
/* A failed read is tried again after this long. */
#define READ_RETRY_MS 500
/* Records that are due together go into one append. */
#define APPEND_BATCH_MS 50
#define APPEND_BATCH_MAX 256
/* A record that was not read back is sent again after this long. Readers take
 * a second copy for what it is by its id. */
#define APPEND_RETRY_MS (5 * CW_SECOND)

static void
free_pending(struct place_pending *e)
{
    free(e->json);
    free(e);
}

void
place_stream_clear(struct place_cell *c)
{
    while (c->pending != NULL) {
        struct place_pending *e = c->pending;
        c->pending = e->next;
        free_pending(e);
    }
}

void
place_record(struct place_cell *c, const char *type, json_t *fields,
             bool retry)
{
    struct cw_daemon *d = c->ctl->d;
    struct place_pending *e = calloc(1, sizeof(*e));
    char id[CW_NAME_MAX + 1];
    int n =
        snprintf(id, sizeof(id), "%.24s-%llx-%u-%llx",
                 d->settings->daemon.text, (unsigned long long)d->incarnation,
                 c->n, (unsigned long long)++c->seq);
    json_object_set_new(fields, "type", json_string(type));
    json_object_set_new(fields, "id", json_string(id));
    json_object_set_new(fields, "by", json_string(d->settings->daemon.text));
    json_object_set_new(fields, "epoch", json_integer((json_int_t)c->epoch));
    json_object_set_new(fields, "time", json_integer(cw_daemon_wall(d)));
    char *json = json_dumps(fields, JSON_COMPACT);
    json_decref(fields);
    if (e == NULL || json == NULL) {
        free(e);
        free(json);
        cw_log(CW_ERROR, "record_dropped", "cell=%u type=%s", c->n, type);
        return;
    }
    cw_name_set(&e->id, (struct cw_str){id, (size_t)n});
    e->json = json;
    e->retry = retry;
    e->queued_at = cw_daemon_now(d);
    struct place_pending **tail = &c->pending;
    while (*tail != NULL) {
        tail = &(*tail)->next;
    }
    *tail = e;
}

static void
remove_pending(struct place_cell *c, const char *id)
{
    struct place_pending **link = &c->pending;
    while (*link != NULL && strcmp((*link)->id.text, id) != 0) {
        link = &(*link)->next;
    }
    struct place_pending *e = *link;
    if (e != NULL) {
        *link = e->next;
        free_pending(e);
    }
}

/* ---- append ----------------------------------------------------------- */

static void
on_append(void *arg, enum cw_status s, uint64_t first)
{
    struct place_call *call = arg;
    struct place_cell *c = call->cell;
    (void)first;
    if (!place_call_end(call)) {
        return;
    }
    c->appending = false;
    if (s != CW_OK) {
        cw_log(CW_WARN, "cell_append", "cell=%u status=%s", c->n,
               cw_status_name(s));
    }
}

/* True when the record goes into the append that is sent now. Records that
 * are not retried are dropped by the reader of the pending list once they
 * are old. */
static bool
is_due(const struct place_pending *e, cw_ms now)
{
    if (e->sent_at == 0) {
        return now - e->queued_at >= APPEND_BATCH_MS;
    }
    return e->retry && now - e->sent_at >= APPEND_RETRY_MS;
}

static void
drop_stale(struct place_cell *c, cw_ms now)
{
    struct place_pending **link = &c->pending;
    while (*link != NULL) {
        struct place_pending *e = *link;
        bool stale = !e->retry && e->sent_at != 0 &&
                     now - e->sent_at >= APPEND_RETRY_MS;
        if (!stale) {
            link = &e->next;
            continue;
        }
        *link = e->next;
        free_pending(e);
    }
}

static void
append_due(struct place_cell *c, cw_ms now)
{
    struct cw_daemon *d = c->ctl->d;
    struct cw_buf b;
    size_t n = 0;
    cw_buf_init(&b);
    for (struct place_pending *e = c->pending;
         e != NULL && n < APPEND_BATCH_MAX; e = e->next) {
        if (is_due(e, now)) {
            cw_buf_addf(&b, "%s%s", n == 0 ? "[" : ",", e->json);
            e->sent_at = now;
            n++;
        }
    }
    cw_buf_add(&b, "]", 1);
    struct place_call *call = n == 0 || b.failed ? NULL : place_call_begin(c);
    if (call != NULL) {
        c->appending = true;
        d->log.append(d->log.ctx, c->stream, cw_buf_str(&b), on_append, call);
    }
    cw_buf_finish(&b);
}

/* ---- replay ------------------------------------------------------------ */

static struct cw_str
text_of(const json_t *o, const char *key)
{
    const char *s = json_string_value(json_object_get(o, key));
    return s == NULL ? CW_LIT("") : cw_str_from(s);
}

static uint64_t
number_of(const json_t *o, const char *key)
{
    json_int_t v = json_integer_value(json_object_get(o, key));
    return v < 0 ? 0 : (uint64_t)v;
}

static void
take_claim(struct place_cell *c, const json_t *o, uint64_t epoch, bool own)
{
    struct cw_daemon *d = c->ctl->d;
    if (epoch <= c->claimed) {
        return;
    }
    c->claimed = epoch;
    bool ours = own && epoch == c->epoch &&
                number_of(o, "incarnation") == d->incarnation;
    if (ours && c->phase == PLACE_CLAIMING) {
        c->phase = PLACE_ACTIVE;
        /* The earlier holder may have died before it called a worker. */
        place_check_starts(c, cw_daemon_now(d));
        cw_log(CW_INFO, "cell_active", "cell=%u epoch=%llu running=%zu", c->n,
               (unsigned long long)epoch,
               cw_place_count(&c->place, CW_PLACE_RUNNING));
    }
}

static struct cw_size
size_of(const json_t *o)
{
    return (struct cw_size){
        (uint32_t)number_of(o, "cpu_milli"),
        (uint32_t)number_of(o, "memory_mb"),
        (uint32_t)number_of(o, "accelerators"),
    };
}

static void
take_start(struct place_cell *c, const json_t *o, uint64_t fence, bool own)
{
    cw_ms now = cw_daemon_now(c->ctl->d);
    struct cw_str task = text_of(o, "task");
    struct cw_str worker = text_of(o, "worker");
    uint32_t attempt = (uint32_t)number_of(o, "attempt");
    if (!own || c->phase != PLACE_ACTIVE) {
        cw_place_replay_start(&c->place, task, worker, attempt, fence,
                              size_of(o), now);
        return;
    }
    if (cw_place_started(&c->place, task, attempt, fence, now)) {
        place_call_start(c, cw_place_task(&c->place, task), worker);
    }
}

static void
take_lost(struct place_cell *c, const json_t *o, uint64_t fence, bool own)
{
    cw_ms now = cw_daemon_now(c->ctl->d);
    struct cw_str task = text_of(o, "task");
    uint32_t attempt = (uint32_t)number_of(o, "attempt");
    if (!own || c->phase != PLACE_ACTIVE) {
        cw_place_replay_ended(&c->place, task, attempt, false, now);
        return;
    }
    place_call_stop(c, task, text_of(o, "worker"), fence);
    cw_place_lost(&c->place, task, attempt, now);
}

static void
take_ended(struct place_cell *c, const json_t *o, bool own)
{
    struct cw_str task = text_of(o, "task");
    bool done = cw_str_eq(text_of(o, "result"), CW_LIT("done"));
    if (!own || c->phase != PLACE_ACTIVE) {
        cw_place_replay_ended(&c->place, task,
                              (uint32_t)number_of(o, "attempt"), done,
                              cw_daemon_now(c->ctl->d));
        return;
    }
    /* A worker reports a finished task until it is told to forget it. */
    if (done || cw_str_eq(text_of(o, "result"), CW_LIT("failed"))) {
        place_call_stop(c, task, text_of(o, "worker"), number_of(o, "fence"));
    }
}

/* A task written again: as if its start, and its end when it is done, stood
 * here. */
static void
take_carry(struct place_cell *c, const json_t *o, bool own)
{
    cw_ms now = cw_daemon_now(c->ctl->d);
    struct cw_str task = text_of(o, "task");
    uint32_t attempt = (uint32_t)number_of(o, "attempt");
    if (own && c->phase == PLACE_ACTIVE) {
        return;
    }
    cw_place_replay_start(&c->place, task, text_of(o, "worker"), attempt,
                          number_of(o, "fence"), size_of(o), now);
    if (cw_str_eq(text_of(o, "result"), CW_LIT("done"))) {
        cw_place_replay_ended(&c->place, task, attempt, true, now);
    }
}

static void
take_record(struct place_cell *c, const struct cw_log_item *item)
{
    json_t *o = json_loadb(item->data.ptr, item->data.len, 0, NULL);
    if (o == NULL) {
        cw_log(CW_WARN, "cell_record", "cell=%u offset=%llu reason=malformed",
               c->n, (unsigned long long)item->offset);
        return;
    }
    struct cw_str type = text_of(o, "type");
    uint64_t epoch = number_of(o, "epoch");
    bool own = cw_str_eq(text_of(o, "by"), cw_daemon_name(c->ctl->d));
    remove_pending(c, json_string_value(json_object_get(o, "id")) == NULL
                          ? ""
                          : text_of(o, "id").ptr);
    if (cw_str_eq(type, CW_LIT("claim"))) {
        take_claim(c, o, epoch, own);
        json_decref(o);
        return;
    }
    /* A holder writes only after it has read its claim, so a higher epoch
     * means that the claim is older than the retention. */
    if (epoch > c->claimed) {
        c->claimed = epoch;
    }
    if (epoch < c->claimed) {
        cw_log(CW_INFO, "cell_fenced", "cell=%u offset=%llu epoch=%llu", c->n,
               (unsigned long long)item->offset, (unsigned long long)epoch);
    }
    else if (cw_str_eq(type, CW_LIT("start"))) {
        take_start(c, o, item->offset, own);
    }
    else if (cw_str_eq(type, CW_LIT("ended"))) {
        take_ended(c, o, own);
    }
    else if (cw_str_eq(type, CW_LIT("lost"))) {
        take_lost(c, o, item->offset, own);
    }
    else if (cw_str_eq(type, CW_LIT("carry"))) {
        take_carry(c, o, own);
    }
    else if (cw_str_eq(type, CW_LIT("unlisted")) && !own) {
        cw_place_replay_unlisted(&c->place, text_of(o, "job"),
                                 cw_daemon_now(c->ctl->d));
    }
    json_decref(o);
}

static void
on_read(void *arg, enum cw_status s, const struct cw_log_batch *batch)
{
    struct place_call *call = arg;
    struct place_cell *c = call->cell;
    if (!place_call_end(call)) {
        return;
    }
    c->reading = false;
    if (s == CW_ERR_NOT_FOUND && batch != NULL) {
        c->next = batch->first;
        return;
    }
    if (s != CW_OK) {
        c->read_at = cw_daemon_now(c->ctl->d) + READ_RETRY_MS;
        return;
    }
    c->retention_ms = batch->retention_ms;
    for (size_t i = 0; i < batch->count; i++) {
        take_record(c, &batch->items[i]);
    }
    c->next = batch->next;
    if (c->claimed > c->epoch) {
        /* Somebody claimed the cell after us. When the membership names us
         * again, the next claim has a higher epoch. */
        place_cell_drop(c);
    }
}

static void
read_more(struct place_cell *c)
{
    struct cw_daemon *d = c->ctl->d;
    struct place_call *call = place_call_begin(c);
    if (call == NULL) {
        return;
    }
    c->reading = true;
    d->log.read(d->log.ctx, c->stream, c->next, READ_MAX, READ_WAIT_MS,
                on_read, call);
}

void
place_stream_tick(struct place_cell *c, cw_ms now)
{
    if (!c->appending) {
        drop_stale(c, now);
        append_due(c, now);
    }
    if (!c->reading && now >= c->read_at) {
        read_more(c);
    }
}

/* ---- retention -----------------------------------------------------------
 */

static void
carry_task(void *ctx, const struct cw_place_task *t, struct cw_str worker)
{
    bool done = t->state == CW_PLACE_DONE;
    place_record(ctx, "carry",
                 json_pack("{ss,ss%,sI,sI,sI,sI,sI,ss}", "task", t->name.text,
                           "worker", worker.ptr, worker.len, "attempt",
                           (json_int_t)t->attempt, "fence",
                           (json_int_t)t->fence, "cpu_milli",
                           (json_int_t)t->allocated.cpu_milli, "memory_mb",
                           (json_int_t)t->allocated.memory_mb, "accelerators",
                           (json_int_t)t->allocated.accelerators, "result",
                           done ? "done" : "running"),
                 true);
}

void
place_carry(struct place_cell *c)
{
    cw_place_each_placed(&c->place, carry_task, c);
}
