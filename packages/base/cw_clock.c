/* Clocks; formatting and parsing of wall times. */
#include "cuminwalk.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

static cw_ms
read_clock(clockid_t id)
{
    struct timespec ts;
    clock_gettime(id, &ts);
    return (cw_ms)ts.tv_sec * CW_SECOND + ts.tv_nsec / 1000000;
}

static cw_ms
system_now(void *ctx)
{
    (void)ctx;
    /* CLOCK_MONOTONIC stands still while the VM is suspended: a membership or
     * lease that ran out meanwhile would still look valid. */
    return read_clock(CLOCK_BOOTTIME);
}

static cw_ms
system_wall(void *ctx)
{
    (void)ctx;
    return read_clock(CLOCK_REALTIME);
}

struct cw_clock
cw_clock_system(void)
{
    return (struct cw_clock){system_now, system_wall, NULL};
}

static cw_ms
manual_now(void *ctx)
{
    return ((struct cw_clock_manual *)ctx)->now;
}

static cw_ms
manual_wall(void *ctx)
{
    return ((struct cw_clock_manual *)ctx)->wall;
}

struct cw_clock
cw_clock_manual(struct cw_clock_manual *m)
{
    return (struct cw_clock){manual_now, manual_wall, m};
}

void
cw_time_format(cw_ms wall, char buf[static 25])
{
    time_t t = (time_t)(wall / CW_SECOND);
    int ms = (int)(wall % CW_SECOND);
    if (ms < 0) {
        ms += 1000;
        t--;
    }
    struct tm tm;
    gmtime_r(&t, &tm);
    char date[21];
    strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &tm);
    snprintf(buf, 25, "%.19s.%03dZ", date, ms);
}

enum cw_status
cw_time_parse(const char *text, cw_ms *out)
{
    static const char *const formats[] = {
        "%Y-%m-%dT%H:%M:%S",
        "%Y-%m-%dT%H:%M",
        "%Y-%m-%d",
    };
    for (size_t i = 0; i < sizeof(formats) / sizeof(formats[0]); i++) {
        struct tm tm;
        memset(&tm, 0, sizeof(tm));
        const char *end = strptime(text, formats[i], &tm);
        if (end == NULL) {
            continue;
        }
        long ms = 0;
        if (i == 0 && *end == '.') {
            char *digits_end;
            ms = strtol(end + 1, &digits_end, 10);
            if (digits_end != end + 4) {
                return CW_ERR_INVALID;
            }
            end = digits_end;
        }
        if (*end == 'Z' && i < 2) {
            end++;
        }
        if (*end != '\0') {
            continue;
        }
        *out = (cw_ms)timegm(&tm) * CW_SECOND + ms;
        return CW_OK;
    }
    return CW_ERR_INVALID;
}
