/* Structured logging: each event is one line of key=value pairs. */
#include "cuminwalk.h"

#include <string.h>

static struct {
    enum cw_level min_level;
    FILE *out;
    const char *daemon;
} logger = {CW_INFO, NULL, NULL};

static const char *const level_names[] = {"debug", "info", "warn", "error"};

void
cw_logger_setup(enum cw_level lowest, FILE *out, const char *name)
{
    logger.min_level = lowest;
    logger.out = out;
    logger.daemon = name;
}

bool
cw_level_parse(const char *text, enum cw_level *out)
{
    for (int i = CW_DEBUG; i <= CW_ERROR; i++) {
        if (strcmp(text, level_names[i]) == 0) {
            *out = (enum cw_level)i;
            return true;
        }
    }
    return false;
}

void
cw_log(enum cw_level level, const char *event, const char *fmt, ...)
{
    if (level < logger.min_level) {
        return;
    }
    char time_text[25];
    struct cw_clock clock = cw_clock_system();
    cw_time_format(clock.wall(clock.ctx), time_text);
    char pairs[2048];
    va_list ap;
    va_start(ap, fmt);
    vsnprintf(pairs, sizeof(pairs), fmt, ap);
    va_end(ap);
    FILE *out = logger.out == NULL ? stderr : logger.out;
    fprintf(out, "time=%s level=%s%s%s event=%s%s%s\n", time_text,
            level_names[level], logger.daemon == NULL ? "" : " daemon=",
            logger.daemon == NULL ? "" : logger.daemon, event,
            pairs[0] == '\0' ? "" : " ", pairs);
    fflush(out);
}

const char *
cw_quoted(char buf[static CW_QUOTED_MAX], struct cw_str s)
{
    size_t n = 0;
    buf[n++] = '"';
    /* 6 bytes: one escape, the closing quote and the NUL. */
    for (size_t i = 0; i < s.len && n < CW_QUOTED_MAX - 6; i++) {
        unsigned char c = (unsigned char)s.ptr[i];
        if (c == '"' || c == '\\') {
            buf[n++] = '\\';
            buf[n++] = (char)c;
        }
        else if (c < 0x20 || c == 0x7f) {
            n += (size_t)snprintf(buf + n, 5, "\\x%02x", c);
        }
        else {
            buf[n++] = (char)c;
        }
    }
    buf[n++] = '"';
    buf[n] = '\0';
    return buf;
}
