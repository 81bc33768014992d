/* Idempotency keys: appends an intent to the log before a keyed request is
 * sent, and a done or released record afterwards. */
#include "cw_keys.h"

#include <stdlib.h>
#include <string.h>

/* When the response to an append is lost, a read that begins this long after
 * the append shows whether the record is in the log. */
#define APPEND_DEADLINE_MS (5 * CW_SECOND)
#define APPEND_AGAIN_MS 1000
#define BATCH_MAX_RECORDS 256

static struct cw_key_stream *
key_stream(struct cw_daemon *d, uint64_t hash)
{
    return &d->keys->streams[hash % d->keys->count];
}

struct cw_key_entry *
cw_key_entry_first(struct cw_key_stream *s)
{
    return CW_LIST_FIRST(&s->entries, struct cw_key_entry, link);
}

struct cw_key_entry *
cw_key_entry_next(struct cw_key_stream *s, struct cw_key_entry *e)
{
    return CW_LIST_NEXT(&s->entries, e, struct cw_key_entry, link);
}

static void
entry_free(struct cw_key_entry *e)
{
    struct cw_key_stream *s = e->stream;

    cw_list_remove(&s->entries, &e->link);
    s->intents -= e->rec.kind == CW_IDEM_INTENT;
    free(e);
}

static struct cw_key_entry *
entry_new(struct cw_daemon *d, enum cw_idem_kind kind, uint64_t hash,
          const char *request_id)
{
    static const char letters[] = "idr";
    struct cw_key_stream *s = key_stream(d, hash);
    struct cw_key_entry *e = calloc(1, sizeof(*e));
    char id[CW_NAME_MAX + 16];

    if (e == NULL) {
        return NULL;
    }
    (void)snprintf(id, sizeof(id), "%c%s", letters[kind], request_id);
    if (cw_name_set(&e->rec.id, cw_str_from(id)) != CW_OK ||
        cw_name_set(&e->rec.request, cw_str_from(request_id)) != CW_OK) {
        free(e);
        return NULL;
    }
    e->stream = s;
    e->rec.kind = kind;
    e->rec.by = d->settings->daemon;
    e->rec.time = cw_daemon_wall(d);
    e->rec.hash = hash;
    cw_list_add(&s->entries, &e->link);
    s->intents += kind == CW_IDEM_INTENT;
    return e;
}

static void
cancel_check(struct cw_request *r)
{
    struct cw_key_entry *e = r->exec_ctx;

    e->r = NULL;
    if (!e->sent && cw_batch_cancel(&e->stream->batch, &e->item)) {
        entry_free(e);
    }
    /* Otherwise the entry stays until its record is read back, and then
     * releases the key. */
}

static const struct cw_exec_ops key_ops = {cancel_check, NULL};

/* Detaches the waiting request, if any, and returns it. */
static struct cw_request *
entry_detach_request(struct cw_key_entry *e)
{
    struct cw_request *r = e->r;

    e->r = NULL;
    if (r != NULL) {
        cw_request_detach(r);
    }
    return r;
}

/* Handles a request whose key cannot be checked because the log is
 * unavailable: the service's document says whether it runs or is refused. */
static void
handle_log_outage(struct cw_request *r)
{
    const struct cw_doc_entry *doc =
        cw_state_doc(&r->d->state, cw_name_str(&r->service));

    if (doc != NULL && doc->doc.outage == CW_OUTAGE_RUN) {
        r->no_guarantee = true;
        cw_dispatch_key_checked(r);
        return;
    }
    cw_request_shed(r, "log_unavailable",
                    "the key cannot be checked while the log is unavailable");
}

void
cw_keys_check(struct cw_request *r)
{
    struct cw_daemon *d = r->d;
    struct cw_key_entry *e;

    if (!cw_daemon_log_available(d, cw_daemon_now(d))) {
        handle_log_outage(r);
        return;
    }
    e = entry_new(d, CW_IDEM_INTENT,
                  cw_idem_hash(cw_name_str(&r->service), r->key), r->id);
    if (e == NULL) {
        cw_request_shed(r, "key_limit", "no memory for the key");
        return;
    }
    if (cw_batch_add(&e->stream->batch, &e->item, false) != CW_OK) {
        entry_free(e);
        cw_request_shed(r, "key_limit",
                        "too many keyed requests wait for the log");
        return;
    }
    e->r = r;
    r->exec = &key_ops;
    r->exec_ctx = e;
}

void
cw_key_entry_resolved(struct cw_key_entry *e, enum cw_idem_verdict v,
                      uint16_t status)
{
    struct cw_daemon *d = e->stream->d;
    struct cw_request *r = entry_detach_request(e);
    uint64_t hash = e->rec.hash;
    struct cw_name request = e->rec.request;
    char text[96];

    if (e->append_ended) {
        entry_free(e);
    }
    else {
        /* The append has not ended; the entry stays until it does. */
        e->stream->intents--;
        e->rec.kind = CW_IDEM_DONE;
    }
    if (r == NULL) {
        if (v == CW_IDEM_FIRST) {
            cw_keys_append_released_hash(d, hash, request.text);
        }
        return;
    }
    switch (v) {
    case CW_IDEM_FIRST:
        r->key_intent = true;
        cw_dispatch_key_checked(r);
        break;
    case CW_IDEM_IN_USE:
        cw_request_fail(r, 409, CW_OUTCOME_UNKNOWN, "key_in_use",
                        "another request with this key has not ended");
        break;
    case CW_IDEM_ALREADY_RUN:
        (void)snprintf(text, sizeof(text),
                       "a request with this key ran with status %u", status);
        cw_request_fail(r, 409, CW_OUTCOME_RUN, "key_already_run", text);
        break;
    case CW_IDEM_NOT_KNOWN:
        cw_keys_append_released_hash(d, hash, request.text);
        cw_request_shed(r, "key_unknown",
                        "earlier uses of keys are not known yet");
        break;
    }
}

/* The entry's record is not in the log. */
static void
entry_absent(struct cw_key_entry *e)
{
    struct cw_request *r = entry_detach_request(e);

    entry_free(e);
    if (r != NULL) {
        handle_log_outage(r);
    }
}

void
cw_key_stream_read_ended(struct cw_key_stream *s, cw_ms read_began)
{
    struct cw_key_entry *e = cw_key_entry_first(s);

    while (e != NULL) {
        struct cw_key_entry *next = cw_key_entry_next(s, e);

        if (e->rec.kind == CW_IDEM_INTENT && e->append_ended &&
            read_began >= e->sent_at + APPEND_DEADLINE_MS) {
            entry_absent(e);
            next = cw_key_entry_first(s);
        }
        e = next;
    }
}

/* The entries of one append. */
struct append {
    struct cw_key_stream *stream;
    uint32_t count;
    struct cw_key_entry *entries[BATCH_MAX_RECORDS];
};

static void
entry_append_ended(struct cw_key_entry *e, enum cw_status s)
{
    e->append_ended = true;
    if (e->rec.kind == CW_IDEM_INTENT) {
        if (s == CW_ERR_UNAVAILABLE || s == CW_ERR_INVALID) {
            entry_absent(e);
        }
        return;
    }
    if (s == CW_ERR_UNAVAILABLE && cw_daemon_wall(e->stream->d) - e->rec.time <
                                       e->stream->idem.params.window_ms) {
        /* Without this record the key stays in use for the whole window. */
        e->append_again_at = cw_daemon_now(e->stream->d) + APPEND_AGAIN_MS;
        return;
    }
    entry_free(e);
}

static void
on_appended(void *arg, enum cw_status s, uint64_t first)
{
    struct append *a = arg;

    (void)first;
    cw_batch_append_answered(&a->stream->batch);
    for (uint32_t i = 0; i < a->count; i++) {
        entry_append_ended(a->entries[i], s);
    }
    free(a);
}

static void
send_batch(struct cw_key_stream *s, cw_ms now)
{
    struct cw_daemon *d = s->d;
    struct cw_batch_item *items[BATCH_MAX_RECORDS];
    struct append *a;
    struct cw_buf b;
    uint32_t n;

    if (cw_batch_wait_ms(&s->batch, now) != 0) {
        return;
    }
    a = calloc(1, sizeof(*a));
    if (a == NULL) {
        return;
    }
    n = cw_batch_take(&s->batch, now, items, BATCH_MAX_RECORDS);
    if (n == 0) {
        free(a);
        return;
    }
    a->stream = s;
    a->count = n;
    cw_buf_init(&b);
    cw_buf_add(&b, "[", 1);
    for (uint32_t i = 0; i < n; i++) {
        struct cw_key_entry *e = (struct cw_key_entry *)items[i];

        a->entries[i] = e;
        e->sent = true;
        e->append_ended = false;
        e->sent_at = now;
        if (i > 0) {
            cw_buf_add(&b, ",", 1);
        }
        cw_idem_record_print(&e->rec, &b);
    }
    cw_buf_add(&b, "]", 1);
    if (b.failed) {
        on_appended(a, CW_ERR_UNAVAILABLE, 0);
    }
    else {
        d->log.append(d->log.ctx, s->name, cw_buf_str(&b), on_appended, a);
    }
    cw_buf_finish(&b);
}

/* Sheds waiting requests whose deadline passed, and queues records whose
 * append failed for another append. */
static void
check_entries(struct cw_key_stream *s, cw_ms now)
{
    struct cw_key_entry *e = cw_key_entry_first(s);

    while (e != NULL) {
        struct cw_key_entry *next = cw_key_entry_next(s, e);

        if (e->append_again_at != 0 && now >= e->append_again_at) {
            e->append_again_at = 0;
            (void)cw_batch_add(&s->batch, &e->item, true);
        }
        else if (e->r != NULL && now >= e->r->deadline) {
            struct cw_request *r = e->r;

            /* May free e. Otherwise the key is released when the record is
             * read back. */
            cancel_check(r);
            cw_request_detach(r);
            cw_request_shed(r, "deadline",
                            "the deadline passed before the key was checked");
            next = cw_key_entry_first(s);
        }
        e = next;
    }
}

void
cw_keys_tick(struct cw_daemon *d, cw_ms now)
{
    for (uint32_t i = 0; i < d->keys->count; i++) {
        struct cw_key_stream *s = &d->keys->streams[i];

        check_entries(s, now);
        send_batch(s, now);
        cw_key_stream_read(s, now);
    }
}

static void
append_end_record(struct cw_daemon *d, enum cw_idem_kind kind, uint64_t hash,
                  const char *request_id, unsigned status)
{
    struct cw_key_entry *e = entry_new(d, kind, hash, request_id);

    if (e == NULL) {
        cw_log(CW_ERROR, "out_of_memory", "part=keys request=%s", request_id);
        return;
    }
    e->rec.status = (uint16_t)status;
    (void)cw_batch_add(&e->stream->batch, &e->item, true);
}

void
cw_keys_append_done(struct cw_daemon *d, struct cw_str service,
                    struct cw_str key, const char *request_id, unsigned status)
{
    if (d->keys != NULL) {
        append_end_record(d, CW_IDEM_DONE, cw_idem_hash(service, key),
                          request_id, status);
    }
}

void
cw_keys_append_released_hash(struct cw_daemon *d, uint64_t hash,
                             const char *request_id)
{
    append_end_record(d, CW_IDEM_RELEASED, hash, request_id, 0);
}

void
cw_keys_append_released(struct cw_daemon *d, struct cw_str service,
                        struct cw_str key, const char *request_id)
{
    if (d->keys != NULL) {
        cw_keys_append_released_hash(d, cw_idem_hash(service, key),
                                     request_id);
    }
}

bool
cw_keys_idle(const struct cw_daemon *d)
{
    for (uint32_t i = 0; i < d->keys->count; i++) {
        if (d->keys->streams[i].entries.count > 0) {
            return false;
        }
    }
    return true;
}

enum cw_status
cw_keys_init(struct cw_daemon *d)
{
    struct cw_keys *k = calloc(1, sizeof(*k));
    struct cw_idem_params params = cw_idem_defaults();

    if (k == NULL) {
        return CW_ERR_NOMEM;
    }
    params.window_ms = d->settings->key_window_ms;
    k->count = d->settings->key_streams;
    for (uint32_t i = 0; i < k->count; i++) {
        struct cw_key_stream *s = &k->streams[i];

        s->d = d;
        cw_list_init(&s->entries);
        (void)snprintf(s->name, sizeof(s->name), "keys-%u", (unsigned)i);
        cw_batch_init(&s->batch, cw_batch_defaults());
        cw_idem_init(&s->idem, params);
    }
    d->keys = k;
    return CW_OK;
}

void
cw_keys_finish(struct cw_daemon *d)
{
    struct cw_keys *k = d->keys;

    if (k == NULL) {
        return;
    }
    for (uint32_t i = 0; i < k->count; i++) {
        struct cw_key_stream *s = &k->streams[i];

        while (s->entries.count > 0) {
            struct cw_key_entry *e = cw_key_entry_first(s);

            (void)entry_detach_request(e);
            entry_free(e);
        }
        cw_idem_finish(&k->streams[i].idem);
    }
    free(k);
    d->keys = NULL;
}
