/* Task records of a placement cell in the log stream jobs-<cell>.
 *
 * A claim record with a higher member epoch fences the previous holder: every
 * reader ignores records after it that have a lower epoch. A former holder
 * that was paused therefore finds its own start record without effect when it
 * reads it back, and does not call the worker. */
#include "ctl_place.h"

#include <stdlib.h>
#include <string.h>

#define READ_RECORDS_MAX 512
/* Wait of a long poll, which is answered at once when there is a record. An
 * idle cell costs one read in this time. */
#define READ_WAIT_MS (5 * CW_SECOND)
/* Delay before a failed read is retried. */
#define READ_RETRY_MS 500
/* Records queued within this time go into one append. */
#define APPEND_BATCH_MS 50
#define APPEND_RECORDS_MAX 256
/* A record that was not read back is appended again after this long. The copy
 * has the same id; readers ignore it by the task's attempt or the claim's
 * epoch. */
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
place_queue_record(struct place_cell *c, const char *type, json_t *fields,
                   bool retry)
{
    struct cw_daemon *d = c->ctl->d;
    struct place_pending *e = calloc(1, sizeof(*e));
    char id[CW_NAME_MAX + 1];
    int n =
        snprintf(id, sizeof(id), "%.24s-%llx-%u-%llx",
                 d->settings->daemon.text, (unsigned long long)d->incarnation,
                 c->index, (unsigned long long)++c->record_seq);
    json_object_set_new(fields, "type", json_string(type));
    json_object_set_new(fields, "id", json_string(id));
    json_object_set_new(fields, "by", json_string(d->settings->daemon.text));
    json_object_set_new(fields, "epoch",
                        json_integer((json_int_t)c->own_epoch));
    json_object_set_new(fields, "time", json_integer(cw_daemon_wall(d)));
    char *json = json_dumps(fields, JSON_COMPACT);
    json_decref(fields);
    if (e == NULL || json == NULL) {
        free(e);
        free(json);
        cw_log(CW_ERROR, "record_dropped", "cell=%u type=%s", c->index, type);
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
        cw_log(CW_WARN, "cell_append", "cell=%u status=%s", c->index,
               cw_status_name(s));
    }
}

/* True when the record goes into the next append. Records without retry are
 * sent once and removed by drop_stale_pending. */
static bool
is_append_due(const struct place_pending *e, cw_ms now)
{
    if (e->sent_at == 0) {
        return now - e->queued_at >= APPEND_BATCH_MS;
    }
    return e->retry && now - e->sent_at >= APPEND_RETRY_MS;
}

static void
drop_stale_pending(struct place_cell *c, cw_ms now)
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
append_due_records(struct place_cell *c, cw_ms now)
{
    struct cw_daemon *d = c->ctl->d;
    struct cw_buf b;
    size_t n = 0;
    cw_buf_init(&b);
    for (struct place_pending *e = c->pending;
         e != NULL && n < APPEND_RECORDS_MAX; e = e->next) {
        if (is_append_due(e, now)) {
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
get_string(const json_t *o, const char *key)
{
    const char *s = json_string_value(json_object_get(o, key));
    return s == NULL ? CW_LIT("") : cw_str_from(s);
}

static uint64_t
get_uint(const json_t *o, const char *key)
{
    json_int_t v = json_integer_value(json_object_get(o, key));
    return v < 0 ? 0 : (uint64_t)v;
}

static void
apply_claim(struct place_cell *c, const json_t *o, uint64_t epoch, bool own)
{
    struct cw_daemon *d = c->ctl->d;
    if (epoch <= c->stream_epoch) {
        return;
    }
    c->stream_epoch = epoch;
    bool ours = own && epoch == c->own_epoch &&
                get_uint(o, "incarnation") == d->incarnation;
    if (ours && c->phase == PLACE_CLAIMING) {
        c->phase = PLACE_ACTIVE;
        /* The previous holder may have failed between a start record and its
         * call to the worker. */
        place_schedule_full_report(c, cw_daemon_now(d));
        cw_log(CW_INFO, "cell_active", "cell=%u epoch=%llu running=%zu",
               c->index, (unsigned long long)epoch,
               cw_place_count(&c->place, CW_PLACE_RUNNING));
    }
}

static struct cw_size
get_size(const json_t *o)
{
    return (struct cw_size){
        (uint32_t)get_uint(o, "cpu_milli"),
        (uint32_t)get_uint(o, "memory_mb"),
        (uint32_t)get_uint(o, "accelerators"),
    };
}

static void
apply_start(struct place_cell *c, const json_t *o, uint64_t fence, bool own)
{
    cw_ms now = cw_daemon_now(c->ctl->d);
    struct cw_str task = get_string(o, "task");
    struct cw_str worker = get_string(o, "worker");
    uint32_t attempt = (uint32_t)get_uint(o, "attempt");
    if (!own || c->phase != PLACE_ACTIVE) {
        cw_place_replay_start(&c->place, task, worker, attempt, fence,
                              get_size(o), now);
        return;
    }
    if (cw_place_started(&c->place, task, attempt, fence, now)) {
        place_call_start(c, cw_place_task(&c->place, task), worker);
    }
}

static void
apply_lost(struct place_cell *c, const json_t *o, uint64_t fence, bool own)
{
    cw_ms now = cw_daemon_now(c->ctl->d);
    struct cw_str task = get_string(o, "task");
    uint32_t attempt = (uint32_t)get_uint(o, "attempt");
    if (!own || c->phase != PLACE_ACTIVE) {
        cw_place_replay_ended(&c->place, task, attempt, false, now);
        return;
    }
    place_call_stop(c, task, get_string(o, "worker"), fence);
    cw_place_lost(&c->place, task, attempt, now);
}

static void
apply_ended(struct place_cell *c, const json_t *o, bool own)
{
    struct cw_str task = get_string(o, "task");
    bool done = cw_str_eq(get_string(o, "result"), CW_LIT("done"));
    if (!own || c->phase != PLACE_ACTIVE) {
        cw_place_replay_ended(&c->place, task,
                              (uint32_t)get_uint(o, "attempt"), done,
                              cw_daemon_now(c->ctl->d));
        return;
    }
    /* A worker reports an ended task until a stop call makes it forget it. */
    if (done || cw_str_eq(get_string(o, "result"), CW_LIT("failed"))) {
        place_call_stop(c, task, get_string(o, "worker"),
                        get_uint(o, "fence"));
    }
}

/* A carry record is replayed as a task's start record, and as its end record
 * too when the task is done. */
static void
apply_carry(struct place_cell *c, const json_t *o, bool own)
{
    cw_ms now = cw_daemon_now(c->ctl->d);
    struct cw_str task = get_string(o, "task");
    uint32_t attempt = (uint32_t)get_uint(o, "attempt");
    if (own && c->phase == PLACE_ACTIVE) {
        return;
    }
    cw_place_replay_start(&c->place, task, get_string(o, "worker"), attempt,
                          get_uint(o, "fence"), get_size(o), now);
    if (cw_str_eq(get_string(o, "result"), CW_LIT("done"))) {
        cw_place_replay_ended(&c->place, task, attempt, true, now);
    }
}

static void
apply_stream_record(struct place_cell *c, const struct cw_log_item *item)
{
    json_t *o = json_loadb(item->data.ptr, item->data.len, 0, NULL);
    if (o == NULL) {
        cw_log(CW_WARN, "cell_record", "cell=%u offset=%llu reason=malformed",
               c->index, (unsigned long long)item->offset);
        return;
    }
    struct cw_str type = get_string(o, "type");
    uint64_t epoch = get_uint(o, "epoch");
    bool own = cw_str_eq(get_string(o, "by"), cw_daemon_name(c->ctl->d));
    remove_pending(c, json_string_value(json_object_get(o, "id")) == NULL
                          ? ""
                          : get_string(o, "id").ptr);
    if (cw_str_eq(type, CW_LIT("claim"))) {
        apply_claim(c, o, epoch, own);
        json_decref(o);
        return;
    }
    /* A holder writes other records only after it has read its own claim. An
     * epoch above all claims read means that its claim is past the
     * retention. */
    if (epoch > c->stream_epoch) {
        c->stream_epoch = epoch;
    }
    if (epoch < c->stream_epoch) {
        cw_log(CW_INFO, "cell_fenced", "cell=%u offset=%llu epoch=%llu",
               c->index, (unsigned long long)item->offset,
               (unsigned long long)epoch);
    }
    else if (cw_str_eq(type, CW_LIT("start"))) {
        apply_start(c, o, item->offset, own);
    }
    else if (cw_str_eq(type, CW_LIT("ended"))) {
        apply_ended(c, o, own);
    }
    else if (cw_str_eq(type, CW_LIT("lost"))) {
        apply_lost(c, o, item->offset, own);
    }
    else if (cw_str_eq(type, CW_LIT("carry"))) {
        apply_carry(c, o, own);
    }
    else if (cw_str_eq(type, CW_LIT("unlisted")) && !own) {
        cw_place_replay_unlisted(&c->place, get_string(o, "job"),
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
        c->next_offset = batch->first;
        return;
    }
    if (s != CW_OK) {
        c->retry_read_at = cw_daemon_now(c->ctl->d) + READ_RETRY_MS;
        return;
    }
    c->retention_ms = batch->retention_ms;
    for (size_t i = 0; i < batch->count; i++) {
        apply_stream_record(c, &batch->items[i]);
    }
    c->next_offset = batch->next;
    if (c->stream_epoch > c->own_epoch) {
        /* Another daemon claimed the cell after us. If the membership makes us
         * the holder again, our next claim has a higher epoch. */
        place_cell_drop(c);
    }
}

static void
read_stream(struct place_cell *c)
{
    struct cw_daemon *d = c->ctl->d;
    struct place_call *call = place_call_begin(c);
    if (call == NULL) {
        return;
    }
    c->reading = true;
    d->log.read(d->log.ctx, c->stream, c->next_offset, READ_RECORDS_MAX,
                READ_WAIT_MS, on_read, call);
}

void
place_stream_tick(struct place_cell *c, cw_ms now)
{
    if (!c->appending) {
        drop_stale_pending(c, now);
        append_due_records(c, now);
    }
    if (!c->reading && now >= c->retry_read_at) {
        read_stream(c);
    }
}

/* ---- retention --------------------------------------------------------- */

static void
queue_carry_record(void *ctx, const struct cw_place_task *t,
                   struct cw_str worker)
{
    bool done = t->state == CW_PLACE_DONE;
    place_queue_record(
        ctx, "carry",
        json_pack("{ss,ss%,sI,sI,sI,sI,sI,ss}", "task", t->name.text, "worker",
                  worker.ptr, worker.len, "attempt", (json_int_t)t->attempt,
                  "fence", (json_int_t)t->fence, "cpu_milli",
                  (json_int_t)t->allocated.cpu_milli, "memory_mb",
                  (json_int_t)t->allocated.memory_mb, "accelerators",
                  (json_int_t)t->allocated.accelerators, "result",
                  done ? "done" : "running"),
        true);
}

void
place_carry_tasks(struct place_cell *c)
{
    cw_place_each_placed(&c->place, queue_carry_record, c);
}
