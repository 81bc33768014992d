/* Status names, failure messages and the invariant check. */
#include "cuminwalk.h"

#include <stdlib.h>

const char *
cw_status_name(enum cw_status s)
{
    static const char *const names[] = {
        [CW_OK] = "ok",
        [CW_ERR_NOMEM] = "no_memory",
        [CW_ERR_INVALID] = "invalid",
        [CW_ERR_LIMIT] = "limit",
        [CW_ERR_CONFLICT] = "conflict",
        [CW_ERR_FENCED] = "fenced",
        [CW_ERR_NOT_FOUND] = "not_found",
        [CW_ERR_UNAVAILABLE] = "unavailable",
        [CW_ERR_TIMEOUT] = "timeout",
        [CW_ERR_UNKNOWN] = "unknown",
        [CW_ERR_IO] = "io",
    };
    if ((size_t)s >= sizeof(names) / sizeof(names[0])) {
        return "unlisted";
    }
    return names[s];
}

enum cw_status
cw_fail(char *msg, enum cw_status s, const char *fmt, ...)
{
    va_list ap;
    va_start(ap, fmt);
    vsnprintf(msg, CW_MSG_MAX, fmt, ap);
    va_end(ap);
    return s;
}

void
cw_invariant_failed(const char *cond, const char *file, int line)
{
    cw_log(CW_ERROR, "invariant_broken", "where=%s:%d condition=\"%s\"", file,
           line, cond);
    abort();
}
