/* Time, the record, start and end of a case. */
#include "rig_int.h"

#include <errno.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

pthread_mutex_t rig_lock = PTHREAD_MUTEX_INITIALIZER;
pthread_cond_t rig_changed;
char rig_scratch[200];
long long rig_started_at;
static FILE *record;

/* ---- time, record ---- */

static long long
clock_ms(clockid_t id)
{
    struct timespec t;

    clock_gettime(id, &t);
    return (long long)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

long long
now_ms(void)
{
    return clock_ms(CLOCK_MONOTONIC) - rig_started_at;
}

long long
wall_ms(void)
{
    return clock_ms(CLOCK_REALTIME);
}

void
sleep_ms(long long ms)
{
    struct timespec t = {ms / 1000, ms % 1000 * 1000000};

    if (ms > 0) {
        nanosleep(&t, NULL);
    }
}

void
sleep_until(long long at)
{
    sleep_ms(at - now_ms());
}

void
rec(const char *fmt, ...)
{
    static pthread_mutex_t m = PTHREAD_MUTEX_INITIALIZER;
    va_list ap;

    pthread_mutex_lock(&m);
    fprintf(record, "%9.3f ", (double)now_ms() / 1000);
    va_start(ap, fmt);
    vfprintf(record, fmt, ap);
    va_end(ap);
    fputc('\n', record);
    fflush(record);
    pthread_mutex_unlock(&m);
}

/* ---- the whole ---- */

static void *
tick(void *arg)
{
    (void)arg;
    for (;;) {
        sleep_ms(5);
        pthread_mutex_lock(&rig_lock);
        group_tick(now_ms());
        workers_tick(now_ms());
        pthread_mutex_unlock(&rig_lock);
    }
    return NULL;
}

static void
on_alarm(int signum)
{
    (void)signum;
    end_daemons();
    _exit(2);
}

void
rig_init(int argc, char **argv)
{
    const char *tmp = getenv("TMPDIR");
    char path[600];
    pthread_condattr_t attr;
    pthread_t t;

    rig_started_at = clock_ms(CLOCK_MONOTONIC);
    snprintf(path, sizeof(path), "%s/record.txt", argc > 1 ? argv[1] : ".");
    record = fopen(path, "w");
    snprintf(rig_scratch, sizeof(rig_scratch), "%s/review.XXXXXX",
             tmp == NULL ? P_tmpdir : tmp);
    if (record == NULL || access("target/cuminwalkd", X_OK) != 0 ||
        mkdtemp(rig_scratch) == NULL) {
        fprintf(stderr, "cannot run: %s\n", strerror(errno));
        exit(2);
    }
    signal(SIGPIPE, SIG_IGN);
    signal(SIGALRM, on_alarm);
    signal(SIGTERM, on_alarm);
    signal(SIGINT, on_alarm);
    alarm(110);
    pthread_condattr_init(&attr);
    pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
    pthread_cond_init(&rig_changed, &attr);
    pthread_create(&t, NULL, tick, NULL);
    rec("case: trouble=%d", rig_trouble());
}

bool
rig_trouble(void)
{
    const char *v = getenv("TROUBLE");

    return v == NULL || strcmp(v, "0") != 0;
}

void
rig_exit(int code, const char *fmt, ...)
{
    char text[512];
    va_list ap;

    va_start(ap, fmt);
    vsnprintf(text, sizeof(text), fmt, ap);
    va_end(ap);
    end_daemons();
    rec("result: %s: %s",
        code == 1   ? "the rule was broken"
        : code == 0 ? "the rule held"
                    : "the case could not run",
        text);
    printf("%s\n", text);
    fflush(stdout);
    remove_daemon_files();
    rmdir(rig_scratch);
    _exit(code);
}
