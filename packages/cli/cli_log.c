/* Reading the platform's log into a state, and appending to it. */
#include "cli.h"

#include <stdlib.h>
#include <string.h>

#define PAGE_RECORDS 1000
#define READ_TIMEOUT_MS 10000 /* for one page, in addition to its wait_ms */
/* Loading restarts when records are dropped before they have been read. */
#define LOAD_ATTEMPTS_MAX 3

/* A record that was read before the offset to replay from is known. */
struct raw_record {
    uint64_t offset;
    cw_ms time;
    char *text;
};

struct page {
    uint64_t first;
    uint64_t next;
    json_t *json;
    const json_t *records;
};

void
cli_log_init(struct cli_log *l)
{
    memset(l, 0, sizeof(*l));
    cw_state_init(&l->state);
    l->next = 1;
}

void
cli_log_finish(struct cli_log *l)
{
    cw_state_finish(&l->state);
}

static enum cw_status
fail_bad_answer(struct cli *c, const char *what)
{
    return cw_fail(c->msg, CW_ERR_UNAVAILABLE,
                   "%s: %s; check that --platform is the platform's address",
                   c->platform, what);
}

/* Reads one page. Returns CW_ERR_NOT_FOUND when the offset from is no longer
 * kept; p->first is then the first one that is. */
static enum cw_status
read_stream_page(struct cli *c, const char *stream, uint64_t from,
                 cw_ms wait_ms, struct page *p)
{
    memset(p, 0, sizeof(*p));
    char path[128];
    snprintf(path, sizeof(path), "/log/%s?from=%llu&max=%d&wait_ms=%lld",
             stream, (unsigned long long)from, PAGE_RECORDS,
             (long long)wait_ms);
    struct cli_reply reply;
    enum cw_status s = cli_http(c, c->platform, path, NULL,
                                READ_TIMEOUT_MS + wait_ms, &reply);
    if (s != CW_OK) {
        cli_reply_finish(&reply);
        return CW_ERR_UNAVAILABLE; /* whether it was sent does not matter */
    }
    long status = reply.status;
    json_t *v = reply.body.len == 0
                    ? NULL
                    : json_loadb(reply.body.ptr, reply.body.len, 0, NULL);
    cli_reply_finish(&reply);
    p->first = (uint64_t)json_integer_value(json_object_get(v, "first"));
    if (status == 410 && p->first > 0) {
        json_decref(v);
        return CW_ERR_NOT_FOUND;
    }
    if (status == 503) {
        json_decref(v);
        return cw_fail(c->msg, CW_ERR_UNAVAILABLE,
                       "%s: the log is unavailable; try again later",
                       c->platform);
    }
    if (status != 200) {
        json_decref(v);
        char what[64];
        snprintf(what, sizeof(what), "the log answers with status %ld",
                 status);
        return fail_bad_answer(c, what);
    }
    p->next = (uint64_t)json_integer_value(json_object_get(v, "next"));
    p->records = json_object_get(v, "records");
    p->json = v;
    if (p->next == 0 || !json_is_array(p->records)) {
        json_decref(v);
        return fail_bad_answer(c, "the log's answer is malformed");
    }
    return CW_OK;
}

static enum cw_status
read_config_page(struct cli *c, uint64_t from, cw_ms wait_ms, struct page *p)
{
    return read_stream_page(c, "config", from, wait_ms, p);
}

static void
apply_record_text(struct cli_log *l, uint64_t offset, cw_ms time,
                  const char *text)
{
    struct cw_record r;
    char msg[CW_MSG_MAX];
    if (cw_record_parse(&r, cw_str_from(text), msg) == CW_OK) {
        if (cw_name_eq(&r.id, &l->wanted_id)) {
            l->found = true;
        }
        (void)cw_state_apply(&l->state, offset, &r);
        cw_record_finish(&r);
    }
    else {
        cw_state_skip(&l->state, offset);
    }
    cw_state_advance(&l->state, time);
}

/* Calls each for every record of a page; each has to free text, which is NULL
 * when memory ran out. */
static void
for_each_record(const struct page *p,
                void (*each)(void *ctx, uint64_t offset, cw_ms time,
                             char *text),
                void *ctx)
{
    for (size_t i = 0; i < json_array_size(p->records); i++) {
        const json_t *v = json_array_get(p->records, i);
        char *text = json_dumps(json_object_get(v, "data"),
                                JSON_COMPACT | JSON_ENCODE_ANY);
        each(ctx, (uint64_t)json_integer_value(json_object_get(v, "offset")),
             json_integer_value(json_object_get(v, "time")),
             text == NULL ? strdup("") : text);
    }
}

static void
apply_page_record(void *ctx, uint64_t offset, cw_ms time, char *text)
{
    if (text != NULL) {
        apply_record_text(ctx, offset, time, text);
    }
    free(text);
}

enum cw_status
cli_log_follow(struct cli *c, struct cli_log *l, cw_ms wait_ms)
{
    for (;;) {
        struct page p;
        enum cw_status s = read_config_page(c, l->next, wait_ms, &p);
        if (s != CW_OK) {
            return s;
        }
        bool more = json_array_size(p.records) > 0;
        for_each_record(&p, apply_page_record, l);
        l->next = p.next > l->next ? p.next : l->next;
        json_decref(p.json);
        if (!more) {
            return CW_OK;
        }
        wait_ms = 0;
    }
}

/* ---- start from a snapshot ------------------------------------------ */

struct raw_record_list {
    struct raw_record *items;
    size_t count;
    size_t cap;
    bool failed;
};

static void
collect_record(void *ctx, uint64_t offset, cw_ms time, char *text)
{
    struct raw_record_list *k = ctx;
    if (k->count == k->cap) {
        size_t cap = k->cap == 0 ? 1024 : 2 * k->cap;
        struct raw_record *items = realloc(k->items, cap * sizeof(*items));
        if (items == NULL) {
            k->failed = true;
            free(text);
            return;
        }
        k->items = items;
        k->cap = cap;
    }
    k->failed = k->failed || text == NULL;
    k->items[k->count++] = (struct raw_record){offset, time, text};
}

static void
raw_records_finish(struct raw_record_list *k)
{
    for (size_t i = 0; i < k->count; i++) {
        free(k->items[i].text);
    }
    free(k->items);
}

static bool
parse_snapshot_part(const struct raw_record *k, struct cw_record *r)
{
    char msg[CW_MSG_MAX];
    if (strstr(k->text, "\"snap\"") == NULL ||
        cw_record_parse(r, cw_str_from(k->text), msg) != CW_OK) {
        return false;
    }
    if (r->type != CW_REC_SNAP) {
        cw_record_finish(r);
        return false;
    }
    return true;
}

/* Imports the snapshot cycle whose last part is at index end. Returns false
 * unless all parts of the cycle are there, in order, from one writer and as of
 * one offset. */
static bool
import_cycle(struct cw_state *s, const struct raw_record_list *k, size_t end)
{
    struct cw_record last;
    if (!parse_snapshot_part(&k->items[end], &last)) {
        return false;
    }
    bool ok = last.u.snap.part == last.u.snap.parts &&
              last.u.snap.as_of + 1 >= k->items[0].offset;
    uint32_t next_part = 1;
    for (size_t i = 0; ok && i <= end; i++) {
        struct cw_record r;
        if (!parse_snapshot_part(&k->items[i], &r)) {
            continue;
        }
        if (cw_name_eq(&r.u.snap.cycle, &last.u.snap.cycle) &&
            cw_name_eq(&r.by, &last.by) && r.u.snap.part == next_part) {
            ok = r.u.snap.as_of == last.u.snap.as_of &&
                 cw_state_import(s, r.u.snap.items) == CW_OK;
            next_part++;
        }
        cw_record_finish(&r);
    }
    ok = ok && next_part == last.u.snap.parts + 1;
    if (ok) {
        cw_state_import_done(s, last.u.snap.as_of);
    }
    cw_record_finish(&last);
    return ok;
}

static enum cw_status
load_from_snapshot(struct cli *c, struct cli_log *l, uint64_t first)
{
    struct raw_record_list k = {.count = 0};
    struct page p;
    enum cw_status s;
    bool more = true;
    l->next = first;
    while ((s = read_config_page(c, l->next, 0, &p)) == CW_OK && more) {
        more = json_array_size(p.records) > 0;
        for_each_record(&p, collect_record, &k);
        l->next = p.next;
        json_decref(p.json);
    }
    if (s == CW_OK) {
        json_decref(p.json);
    }
    if (s == CW_OK && k.failed) {
        s = cw_fail(c->msg, CW_ERR_NOMEM, "out of memory");
    }
    bool loaded = false;
    for (size_t i = k.count; s == CW_OK && !loaded && i-- > 0;) {
        cw_state_finish(&l->state);
        cw_state_init(&l->state);
        loaded = import_cycle(&l->state, &k, i);
    }
    for (size_t i = 0; loaded && i < k.count; i++) {
        if (k.items[i].offset > l->state.applied) {
            apply_record_text(l, k.items[i].offset, k.items[i].time,
                              k.items[i].text);
        }
    }
    raw_records_finish(&k);
    if (s == CW_OK && !loaded) {
        return cw_fail(c->msg, CW_ERR_UNAVAILABLE,
                       "%s: the log begins at offset %llu and keeps no "
                       "complete snapshot; wait until a daemon has written "
                       "one",
                       c->platform, (unsigned long long)first);
    }
    return s;
}

enum cw_status
cli_log_load(struct cli *c, struct cli_log *l)
{
    enum cw_status s = CW_ERR_NOT_FOUND;
    for (int i = 0; i < LOAD_ATTEMPTS_MAX && s == CW_ERR_NOT_FOUND; i++) {
        cli_log_finish(l);
        cli_log_init(l);
        struct page p;
        s = read_config_page(c, 1, 0, &p);
        if (s == CW_OK) {
            json_decref(p.json);
            s = cli_log_follow(c, l, 0);
        }
        else if (s == CW_ERR_NOT_FOUND) {
            s = load_from_snapshot(c, l, p.first);
        }
    }
    if (s == CW_ERR_NOT_FOUND) {
        return fail_bad_answer(
            c, "the log drops records faster than they are read");
    }
    return s;
}

int
cli_open_log(struct cli *c, struct cli_log *l)
{
    cli_log_init(l);
    if (c->platform == NULL) {
        fprintf(c->err, "cuminwalk: no platform; give --platform ip:port or "
                        "set CUMINWALK_PLATFORM\n");
        return CLI_USAGE;
    }
    if (cli_log_load(c, l) != CW_OK) {
        fprintf(c->err, "cuminwalk: cannot read the log: %s\n", c->msg);
        return CLI_UNAVAILABLE;
    }
    return CLI_OK;
}

/* ---- other streams -------------------------------------------------- */

enum cw_status
cli_stream_read(struct cli *c, const char *stream,
                enum cw_status (*each)(void *ctx, uint64_t offset,
                                       const json_t *record),
                void *ctx, bool *exists)
{
    uint64_t from = 1;
    bool more = true;
    *exists = false;
    while (more) {
        struct page p;
        enum cw_status s = read_stream_page(c, stream, from, 0, &p);
        if (s == CW_ERR_NOT_FOUND && p.first > from) {
            from = p.first; /* skip the records that are no longer kept */
            continue;
        }
        if (s != CW_OK) {
            return s;
        }
        for (size_t i = 0; s == CW_OK && i < json_array_size(p.records); i++) {
            const json_t *v = json_array_get(p.records, i);
            s = each(
                ctx,
                (uint64_t)json_integer_value(json_object_get(v, "offset")),
                json_object_get(v, "data"));
        }
        more = json_array_size(p.records) > 0;
        *exists = *exists || p.next > 1;
        from = p.next;
        json_decref(p.json);
        if (s != CW_OK) {
            return s;
        }
    }
    return CW_OK;
}

/* ---- append --------------------------------------------------------- */

enum cw_status
cli_log_append(struct cli *c, const struct cw_record *r, cw_ms timeout_ms)
{
    struct cw_buf body;
    cw_buf_init(&body);
    cw_buf_add(&body, "[", 1);
    enum cw_status s = cw_record_print(r, &body);
    cw_buf_add(&body, "]", 1);
    if (s != CW_OK || body.failed) {
        cw_buf_finish(&body);
        return cw_fail(c->msg, CW_ERR_NOMEM, "out of memory");
    }
    struct cli_reply reply;
    s = cli_http(c, c->platform, "/log/config", &body, timeout_ms, &reply);
    cw_buf_finish(&body);
    if (s == CW_OK && reply.status != 200) {
        /* 503 and 4xx mean that nothing was appended; with any other status
         * that is unknown. */
        s = reply.status == 503                         ? CW_ERR_UNAVAILABLE
            : reply.status >= 400 && reply.status < 500 ? CW_ERR_INVALID
                                                        : CW_ERR_UNKNOWN;
        (void)cw_fail(c->msg, s, "%s: append answered with status %ld",
                      c->platform, reply.status);
    }
    cli_reply_finish(&reply);
    return s;
}
