/* Client of the platform's log service. */
#include "cw_clients.h"

#include <stdlib.h>
#include <string.h>

struct append_call {
    void (*done)(void *arg, enum cw_status s, uint64_t first);
    void *arg;
};

struct read_call {
    void (*done)(void *arg, enum cw_status s,
                 const struct cw_log_batch *batch);
    void *arg;
    uint64_t from;
};

enum cw_status
cw_log_client_init(struct cw_log_client *c, uv_loop_t *loop,
                   const char *address)
{
    return cw_http_client_init(&c->http, loop, address);
}

void
cw_log_client_finish(struct cw_log_client *c)
{
    cw_http_client_finish(&c->http);
}

static void
on_append_answer(void *arg, enum cw_status s, const struct cw_http_answer *a)
{
    struct append_call *call = arg;
    uint64_t first = 0;
    s = cw_client_map_status(s, a);
    if (s == CW_OK) {
        json_t *o = cw_client_parse_json(a);
        first = cw_client_get_u64(o, "offset");
        json_decref(o);
        /* Accepted at an unknown offset: the writer has to search the log. */
        s = first == 0 ? CW_ERR_UNKNOWN : CW_OK;
    }
    call->done(call->arg, s, first);
    free(call);
}

static void
append_records(void *ctx, const char *stream, struct cw_str records,
               void (*done)(void *arg, enum cw_status s, uint64_t first),
               void *arg)
{
    struct cw_log_client *c = ctx;
    struct append_call *call = malloc(sizeof(*call));
    CW_INVARIANT(call != NULL);
    *call = (struct append_call){done, arg};
    char path[CW_NAME_MAX + 16];
    snprintf(path, sizeof(path), "/log/%s", stream);
    cw_http_call(&c->http,
                 &(struct cw_http_request){"POST", path, records,
                                           CW_PLATFORM_TIMEOUT_MS, NULL},
                 on_append_answer, call);
}

/* Fills items from the answer's records and advances *from past the last one.
 * texts receives the JSON text of each, which the caller has to free. Offsets
 * below *from make the answer unusable. */
static enum cw_status
parse_items(const json_t *records, struct cw_log_item *items, char **texts,
            uint64_t *from)
{
    for (size_t i = 0; i < json_array_size(records); i++) {
        const json_t *r = json_array_get(records, i);
        const json_t *data = json_object_get(r, "data");
        items[i].offset = cw_client_get_u64(r, "offset");
        items[i].time = (cw_ms)cw_client_get_u64(r, "time");
        texts[i] = json_dumps(data, JSON_COMPACT | JSON_ENCODE_ANY);
        if (texts[i] == NULL || items[i].offset < *from) {
            return CW_ERR_UNKNOWN;
        }
        *from = items[i].offset + 1;
        items[i].data = cw_str_from(texts[i]);
    }
    return CW_OK;
}

static void
deliver_batch(struct read_call *call, const json_t *o)
{
    const json_t *records = json_object_get(o, "records");
    size_t n = json_array_size(records);
    struct cw_log_item *items = calloc(n + 1, sizeof(*items));
    char **texts = calloc(n + 1, sizeof(*texts));
    CW_INVARIANT(items != NULL && texts != NULL);
    uint64_t from = call->from;
    enum cw_status s = parse_items(records, items, texts, &from);
    struct cw_log_batch batch = {
        .first = cw_client_get_u64(o, "first"),
        .next = cw_client_get_u64(o, "next"),
        .retention_ms = (cw_ms)cw_client_get_u64(o, "retention_ms"),
        .count = s == CW_OK ? n : 0,
        .items = items,
    };
    if (!json_is_array(records) || batch.next < from) {
        s = CW_ERR_UNKNOWN;
        batch.count = 0;
    }
    call->done(call->arg, s, &batch);
    for (size_t i = 0; i < n; i++) {
        free(texts[i]);
    }
    free(texts);
    free(items);
}

static void
on_read_answer(void *arg, enum cw_status s, const struct cw_http_answer *a)
{
    struct read_call *call = arg;
    json_t *o = s == CW_OK ? cw_client_parse_json(a) : NULL;
    struct cw_log_batch none = {.first = cw_client_get_u64(o, "first")};
    s = cw_client_map_status(s, a);
    if (s == CW_OK) {
        deliver_batch(call, o);
    }
    else if (s == CW_ERR_INVALID && a->status == 410) {
        call->done(call->arg, CW_ERR_NOT_FOUND, &none);
    }
    else {
        call->done(call->arg, s, &none);
    }
    json_decref(o);
    free(call);
}

static void
read_stream(void *ctx, const char *stream, uint64_t from, uint32_t max,
            cw_ms wait_ms,
            void (*done)(void *arg, enum cw_status s,
                         const struct cw_log_batch *batch),
            void *arg)
{
    struct cw_log_client *c = ctx;
    struct read_call *call = malloc(sizeof(*call));
    CW_INVARIANT(call != NULL);
    *call = (struct read_call){done, arg, from};
    char path[CW_NAME_MAX + 96];
    snprintf(path, sizeof(path), "/log/%s?from=%llu&max=%u&wait_ms=%lld",
             stream, (unsigned long long)from, max, (long long)wait_ms);
    cw_http_fetch(
        &c->http,
        &(struct cw_http_request){
            "GET", path, {NULL, 0}, wait_ms + CW_PLATFORM_TIMEOUT_MS, NULL},
        CW_PLATFORM_TIMEOUT_MS, NULL, on_read_answer, call);
}

void
cw_log_client_port(struct cw_log_client *c, struct cw_log_port *port)
{
    *port = (struct cw_log_port){c, append_records, read_stream};
}
