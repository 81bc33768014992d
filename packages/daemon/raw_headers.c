#include "cw_request.h"

#include <string.h>

static struct cw_str
trim(struct cw_str s)
{
    while (s.len > 0 && (s.ptr[0] == ' ' || s.ptr[0] == '\t')) {
        s.ptr++;
        s.len--;
    }
    while (s.len > 0 &&
           (s.ptr[s.len - 1] == ' ' || s.ptr[s.len - 1] == '\t')) {
        s.len--;
    }
    return s;
}

struct framing {
    unsigned lengths;
    unsigned codings;
};

static void
check_line(struct cw_str line, struct framing *f, struct cw_raw_headers *out)
{
    const char *colon = memchr(line.ptr, ':', line.len);
    struct cw_str name;
    struct cw_str value;
    uint64_t n;

    if (line.ptr[0] == ' ' || line.ptr[0] == '\t' || colon == NULL) {
        /* Parsers differ on folded lines, so one can hide framing headers
         * from one of two parsers. */
        out->framing_invalid = true;
        return;
    }
    name = trim((struct cw_str){line.ptr, (size_t)(colon - line.ptr)});
    value.ptr = colon + 1;
    value.len = line.len - (size_t)(colon + 1 - line.ptr);
    value = trim(value);
    if (cw_str_eq_nocase(name, CW_LIT("content-length"))) {
        f->lengths++;
        if (!cw_str_to_u64(value, &n)) {
            out->framing_invalid = true;
        }
    }
    else if (cw_str_eq_nocase(name, CW_LIT("transfer-encoding"))) {
        f->codings++;
        if (!cw_str_eq_nocase(value, CW_LIT("chunked"))) {
            out->coding_unsupported = true;
        }
    }
}

void
cw_raw_headers_check(struct cw_str block, struct cw_raw_headers *out)
{
    struct framing f = {0, 0};
    size_t pos = 0;
    bool request_line = true;

    memset(out, 0, sizeof(*out));
    while (pos < block.len) {
        const char *from = block.ptr + pos;
        const char *nl = memchr(from, '\n', block.len - pos);
        struct cw_str line;

        if (nl == NULL) {
            break;
        }
        line.ptr = from;
        line.len = (size_t)(nl - from);
        if (line.len > 0 && from[line.len - 1] == '\r') {
            line.len--;
        }
        pos = (size_t)(nl + 1 - block.ptr);
        if (request_line) {
            /* Empty lines before the request line are allowed. */
            request_line = line.len == 0;
            continue;
        }
        if (line.len == 0) {
            break;
        }
        check_line(line, &f, out);
    }
    out->length = pos;
    if (f.lengths + f.codings > 1) {
        out->framing_invalid = true;
    }
}
