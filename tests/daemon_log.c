/* The log in memory of daemon_util.h. */
#include "daemon_util.h"

#include <setjmp.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <jansson.h>

struct du_log_call {
    struct du_log_call *next;
    struct du_stream *stream;
    /* read */
    void (*read_done)(void *arg, enum cw_status s,
                      const struct cw_log_batch *b);
    uint64_t from;
    uint32_t max;
    cw_ms until;
    /* append */
    void (*append_done)(void *arg, enum cw_status s, uint64_t first);
    enum cw_status status;
    uint64_t first;
    void *arg;
};

static cw_ms
wall(void)
{
    struct cw_clock c = cw_clock_system();

    return c.wall(c.ctx);
}

static cw_ms
now(void)
{
    struct cw_clock c = cw_clock_system();

    return c.now(c.ctx);
}

struct du_stream *
du_log_stream(struct du_log *l, const char *name)
{
    struct du_stream *s;

    for (size_t i = 0; i < l->stream_count; i++) {
        if (strcmp(l->streams[i].name, name) == 0) {
            return &l->streams[i];
        }
    }
    assert_true(l->stream_count < 4);
    s = &l->streams[l->stream_count++];
    (void)snprintf(s->name, sizeof(s->name), "%s", name);
    return s;
}

void
du_log_add(struct du_log *l, const char *stream, const char *json)
{
    struct du_stream *s = du_log_stream(l, stream);

    s->records = realloc(s->records, (s->count + 1) * sizeof(char *));
    s->times = realloc(s->times, (s->count + 1) * sizeof(*s->times));
    assert_non_null(s->records);
    assert_non_null(s->times);
    s->records[s->count] = strdup(json);
    s->times[s->count] = wall();
    s->count++;
}

static struct du_log_call *
call_new(struct du_log *l, const char *stream, void *arg)
{
    struct du_log_call *c = calloc(1, sizeof(*c));

    assert_non_null(c);
    c->stream = du_log_stream(l, stream);
    c->arg = arg;
    c->next = l->calls;
    l->calls = c;
    return c;
}

static void
log_append(void *ctx, const char *stream, struct cw_str records,
           void (*done)(void *arg, enum cw_status s, uint64_t first),
           void *arg)
{
    struct du_log *l = ctx;
    struct du_log_call *c = call_new(l, stream, arg);
    json_t *list;

    c->append_done = done;
    c->status = CW_OK;
    c->first = c->stream->count + 1;
    l->appends++;
    if (l->mode == DU_LOG_DOWN) {
        c->status = CW_ERR_UNAVAILABLE;
        return;
    }
    list = json_loadb(records.ptr, records.len, 0, NULL);
    assert_true(json_is_array(list));
    for (size_t i = 0; i < json_array_size(list); i++) {
        char *text = json_dumps(json_array_get(list, i), JSON_COMPACT);

        du_log_add(l, stream, text);
        free(text);
    }
    json_decref(list);
    if (l->mode == DU_LOG_LOSE_RESPONSE) {
        c->status = CW_ERR_UNKNOWN;
    }
}

static void
log_read(void *ctx, const char *stream, uint64_t from, uint32_t max,
         cw_ms wait_ms,
         void (*done)(void *arg, enum cw_status s,
                      const struct cw_log_batch *b),
         void *arg)
{
    struct du_log_call *c = call_new(ctx, stream, arg);

    c->read_done = done;
    c->from = from;
    c->max = max;
    c->until = now() + wait_ms;
}

static void
complete_read(struct du_log_call *c)
{
    struct du_stream *s = c->stream;
    struct cw_log_item *items = calloc(c->max + 1, sizeof(*items));
    struct cw_log_batch b = {.first = 1, .retention_ms = 15 * CW_DAY};

    assert_non_null(items);
    for (uint64_t offset = c->from; offset <= s->count && b.count < c->max;
         offset++) {
        items[b.count].offset = offset;
        items[b.count].time = s->times[offset - 1];
        items[b.count].data = cw_str_from(s->records[offset - 1]);
        b.count++;
    }
    b.next = c->from + b.count;
    b.items = items;
    c->read_done(c->arg, CW_OK, &b);
    free(items);
}

static bool
call_due(const struct du_log *l, const struct du_log_call *c)
{
    return c->append_done != NULL || l->mode == DU_LOG_DOWN ||
           c->from <= c->stream->count || now() >= c->until;
}

void
du_log_pump(struct du_log *l)
{
    struct du_log_call *calls = l->calls;

    /* Calls made by the callbacks wait for the next run. */
    l->calls = NULL;
    while (calls != NULL) {
        struct du_log_call *c = calls;

        calls = c->next;
        if (!call_due(l, c)) {
            c->next = l->calls;
            l->calls = c;
            continue;
        }
        if (c->append_done != NULL) {
            c->append_done(c->arg, c->status, c->first);
        }
        else if (l->mode == DU_LOG_DOWN) {
            c->read_done(c->arg, CW_ERR_UNAVAILABLE, NULL);
        }
        else {
            complete_read(c);
        }
        free(c);
    }
}

void
du_log_port(struct du_log *l, struct cw_log_port *port)
{
    port->ctx = l;
    port->append = log_append;
    port->read = log_read;
}

void
du_log_finish(struct du_log *l)
{
    while (l->calls != NULL) {
        struct du_log_call *c = l->calls;

        l->calls = c->next;
        free(c);
    }
    for (size_t i = 0; i < l->stream_count; i++) {
        for (size_t k = 0; k < l->streams[i].count; k++) {
            free(l->streams[i].records[k]);
        }
        free(l->streams[i].records);
        free(l->streams[i].times);
    }
}
