/* Queries on a parsed service document. */
#include "cuminwalk.h"

#include <string.h>

/* True when an endpoint might normalize the path to a different one: it has
 * dot segments, empty segments, or percent-encoded dots or slashes. */
static bool
path_is_ambiguous(struct cw_str p)
{
    for (size_t i = 0; i < p.len && p.ptr[i] != '?'; i++) {
        if (p.ptr[i] == '/' && i + 1 < p.len &&
            (p.ptr[i + 1] == '.' || p.ptr[i + 1] == '/')) {
            return true;
        }
        if (p.ptr[i] == '%' && i + 2 < p.len && p.ptr[i + 1] == '2' &&
            strchr("eEfF", p.ptr[i + 2]) != NULL) {
            return true;
        }
    }
    return false;
}

/* Matches whole segments only: /price covers /price/5, not /price-change. */
static bool
prefix_covers(struct cw_str prefix, struct cw_str path)
{
    if (!cw_str_starts(path, prefix)) {
        return false;
    }
    if (path.len == prefix.len || prefix.ptr[prefix.len - 1] == '/') {
        return true;
    }
    return path.ptr[prefix.len] == '/' || path.ptr[prefix.len] == '?';
}

bool
cw_doc_idempotent(const struct cw_doc *doc, struct cw_str method,
                  struct cw_str path)
{
    if (cw_str_eq(method, CW_LIT("GET")) ||
        cw_str_eq(method, CW_LIT("HEAD")) ||
        cw_str_eq(method, CW_LIT("OPTIONS"))) {
        return true;
    }
    if (path_is_ambiguous(path)) {
        return false;
    }
    for (size_t i = 0; i < doc->idempotent_count; i++) {
        const struct cw_idempotent *rule = &doc->idempotents[i];
        struct cw_str m = cw_name_str(&rule->method);
        if ((cw_str_eq(m, CW_LIT("*")) || cw_str_eq(m, method)) &&
            prefix_covers(cw_str_from(rule->prefix), path)) {
            return true;
        }
    }
    return false;
}

static int64_t
floor_div(int64_t a, int64_t b)
{
    int64_t q = a / b;
    return a % b < 0 ? q - 1 : q;
}

static bool
window_open(const struct cw_window *w, cw_ms wall)
{
    int64_t minutes = floor_div(wall, CW_MINUTE) + w->utc_offset_min;
    int64_t day = floor_div(minutes, 1440);
    int64_t minute = minutes - day * 1440;
    /* 1970-01-01 was a Thursday, which is bit 3 of days. */
    unsigned today = (unsigned)(day + 3 - floor_div(day + 3, 7) * 7);
    unsigned yesterday = (today + 6) % 7;
    if (w->to_min > w->from_min) {
        return (w->days >> today & 1U) != 0 && minute >= w->from_min &&
               minute < w->to_min;
    }
    return ((w->days >> today & 1U) != 0 && minute >= w->from_min) ||
           ((w->days >> yesterday & 1U) != 0 && minute < w->to_min);
}

bool
cw_doc_window_open(const struct cw_doc *doc, cw_ms wall)
{
    if (doc->window_count == 0) {
        return true;
    }
    for (size_t i = 0; i < doc->window_count; i++) {
        if (window_open(&doc->windows[i], wall)) {
            return true;
        }
    }
    return false;
}
