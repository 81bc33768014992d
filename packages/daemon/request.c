#include "cw_request.h"

#include "cw_modules.h"

#include <string.h>

const char *
cw_priority_name(enum cw_priority p)
{
    static const char *const names[] = {"urgent", "normal", "batch"};

    return names[p];
}

const char *
cw_http_reason_phrase(unsigned status)
{
    static const struct {
        unsigned status;
        const char *text;
    } table[] = {
        {200, "OK"},
        {201, "Created"},
        {202, "Accepted"},
        {204, "No Content"},
        {206, "Partial Content"},
        {301, "Moved Permanently"},
        {302, "Found"},
        {303, "See Other"},
        {304, "Not Modified"},
        {307, "Temporary Redirect"},
        {308, "Permanent Redirect"},
        {400, "Bad Request"},
        {401, "Unauthorized"},
        {403, "Forbidden"},
        {404, "Not Found"},
        {405, "Method Not Allowed"},
        {409, "Conflict"},
        {412, "Precondition Failed"},
        {413, "Payload Too Large"},
        {422, "Unprocessable Entity"},
        {429, "Too Many Requests"},
        {431, "Request Header Fields Too Large"},
        {500, "Internal Server Error"},
        {501, "Not Implemented"},
        {502, "Bad Gateway"},
        {503, "Service Unavailable"},
        {504, "Gateway Timeout"},
        {505, "HTTP Version Not Supported"},
    };

    for (size_t i = 0; i < sizeof(table) / sizeof(table[0]); i++) {
        if (table[i].status == status) {
            return table[i].text;
        }
    }
    return "Status";
}

void
cw_request_init(struct cw_request *r, struct cw_daemon *d)
{
    memset(r, 0, sizeof(*r));
    r->d = d;
    r->arrived_at = cw_daemon_now(d);
    r->arrived_ns = uv_hrtime();
    r->priority = CW_NORMAL;
    r->outcome = CW_OUTCOME_NOT_RUN;
    cw_buf_init(&r->out);
}

void
cw_request_detach(struct cw_request *r)
{
    r->exec = NULL;
    r->exec_ctx = NULL;
}

void
cw_request_finish(struct cw_request *r)
{
    const struct cw_exec_ops *exec = r->exec;

    if (exec != NULL) {
        exec->cancel(r);
        cw_request_detach(r);
    }
    if (!r->ended) {
        r->ended = true;
        if (r->key_intent && !r->maybe_sent) {
            cw_keys_append_released(r->d, cw_name_str(&r->service), r->key,
                                    r->id);
        }
        cw_stats_count_request(r->d, r);
    }
    cw_buf_finish(&r->out);
}

size_t
cw_request_buffered(const struct cw_request *r)
{
    return r->out.len + r->flushing;
}

void
cw_request_send_head(struct cw_request *r, const struct cw_response_head *h)
{
    CW_INVARIANT(r->status == 0 && !r->ended);
    r->status = h->status;
    r->outcome = CW_OUTCOME_RUN;
    r->source->head(r, h);
}

void
cw_request_send_body(struct cw_request *r, const void *ptr, size_t len)
{
    CW_INVARIANT(r->status != 0 && !r->ended);
    if (len == 0) {
        return;
    }
    cw_buf_add(&r->out, ptr, len);
    r->source->data(r);
}

void
cw_request_end_response(struct cw_request *r, bool complete)
{
    CW_INVARIANT(r->status != 0 && !r->ended);
    cw_request_detach(r);
    r->ended = true;
    /* A buffer that failed to grow has lost bytes. */
    r->complete = complete && !r->out.failed;
    if (r->key_intent && !r->local_reply && complete) {
        cw_keys_append_done(r->d, cw_name_str(&r->service), r->key, r->id,
                            r->status);
    }
    else if (r->key_intent && r->local_reply &&
             r->outcome == CW_OUTCOME_NOT_RUN) {
        cw_keys_append_released(r->d, cw_name_str(&r->service), r->key, r->id);
    }
    cw_stats_count_request(r->d, r);
    r->source->data(r);
}

void
cw_request_flushed(struct cw_request *r)
{
    r->flushing = 0;
    if (r->exec != NULL && r->exec->resume != NULL &&
        cw_request_buffered(r) < CW_RESPONSE_PAUSE_BYTES) {
        r->exec->resume(r);
    }
}

void
cw_buf_add_error(struct cw_buf *out, struct cw_str code, struct cw_str text,
                 struct cw_str id)
{
    cw_buf_addf(out, "{\"code\":");
    cw_buf_add_json(out, code);
    cw_buf_addf(out, ",\"message\":");
    cw_buf_add_json(out, text);
    cw_buf_addf(out, ",\"request_id\":");
    cw_buf_add_json(out, id);
    cw_buf_addf(out, "}\n");
}

void
cw_request_fail(struct cw_request *r, unsigned status, enum cw_outcome outcome,
                const char *code, const char *message)
{
    struct cw_header headers[1];
    struct cw_response_head head = {0};

    if (r->status != 0) {
        /* The head was sent already: only a truncated response can show the
         * failure to the caller. */
        r->outcome = CW_OUTCOME_UNKNOWN;
        cw_request_end_response(r, false);
        return;
    }
    headers[0].name = CW_LIT("content-type");
    headers[0].value = CW_LIT("application/json");
    r->local_reply = true;
    r->code = code;
    r->outcome = outcome;
    r->status = status;
    cw_buf_clear(&r->out);
    cw_buf_add_error(&r->out, cw_str_from(code), cw_str_from(message),
                     cw_str_from(r->id));
    head.status = status;
    head.count = 1;
    head.headers = headers;
    head.has_length = true;
    head.length = r->out.len;
    cw_log(CW_DEBUG, "request_failed",
           "request=%s service=%s code=%s outcome=%s", r->id, r->service.text,
           code, cw_outcome_name(outcome));
    r->source->head(r, &head);
    cw_request_end_response(r, true);
}

void
cw_request_shed(struct cw_request *r, const char *code, const char *message)
{
    r->shed = true;
    cw_request_fail(r, 503, CW_OUTCOME_NOT_RUN, code, message);
}

const struct cw_header *
cw_headers_find(const struct cw_header *headers, size_t count,
                struct cw_str name)
{
    for (size_t i = 0; i < count; i++) {
        if (cw_str_eq_nocase(headers[i].name, name)) {
            return &headers[i];
        }
    }
    return NULL;
}

/* Returns whether a comma-separated list contains the token. */
static bool
list_contains(struct cw_str list, struct cw_str token)
{
    size_t pos = 0;

    while (pos < list.len) {
        size_t end = pos;
        size_t from = pos;
        size_t to;

        while (end < list.len && list.ptr[end] != ',') {
            end++;
        }
        to = end;
        while (from < to &&
               (list.ptr[from] == ' ' || list.ptr[from] == '\t')) {
            from++;
        }
        while (to > from &&
               (list.ptr[to - 1] == ' ' || list.ptr[to - 1] == '\t')) {
            to--;
        }
        if (cw_str_eq_nocase((struct cw_str){list.ptr + from, to - from},
                             token)) {
            return true;
        }
        pos = end + 1;
    }
    return false;
}

size_t
cw_headers_strip(struct cw_header *headers, size_t count)
{
    static const struct cw_str names[] = {
        {"connection", 10},
        {"keep-alive", 10},
        {"proxy-connection", 16},
        {"proxy-authenticate", 18},
        {"te", 2},
        {"proxy-authorization", 19},
        {"trailer", 7},
        {"transfer-encoding", 17},
        {"upgrade", 7},
        {"content-length", 14},
        {"expect", 6},
        {"cuminwalk-request-id", 20},
        {"http2-settings", 14},
        {"cuminwalk-outcome", 17},
    };
    struct cw_str listed[8];
    size_t lists = 0;
    size_t kept = 0;

    for (size_t i = 0; i < count; i++) {
        if (cw_str_eq_nocase(headers[i].name, CW_LIT("connection")) &&
            lists < sizeof(listed) / sizeof(listed[0])) {
            listed[lists++] = headers[i].value;
        }
    }
    for (size_t i = 0; i < count; i++) {
        bool drop = false;

        for (size_t k = 0; k < sizeof(names) / sizeof(names[0]) && !drop;
             k++) {
            drop = cw_str_eq_nocase(headers[i].name, names[k]);
        }
        for (size_t k = 0; k < lists && !drop; k++) {
            drop = list_contains(listed[k], headers[i].name);
        }
        if (!drop) {
            headers[kept++] = headers[i];
        }
    }
    return kept;
}
