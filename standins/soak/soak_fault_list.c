/* The faults of a run, with their times. */
#include "soak.h"

#include <stdarg.h>
#include <stdio.h>

#define FAULTS_MAX 4000

static struct fault_row faults[FAULTS_MAX];
static int fault_count;
static pthread_mutex_t fault_lock = PTHREAD_MUTEX_INITIALIZER;

int
fault_begin(int daemon, const char *fmt, ...)
{
    va_list ap;
    int id;

    pthread_mutex_lock(&fault_lock);
    if (fault_count == FAULTS_MAX) {
        rig_exit(2, "too many faults");
    }
    id = fault_count++;
    faults[id] = (struct fault_row){.from = now_ms(), .daemon = daemon};
    va_start(ap, fmt);
    vsnprintf(faults[id].text, sizeof(faults[id].text), fmt, ap);
    va_end(ap);
    pthread_mutex_unlock(&fault_lock);
    rec("fault %d: %s", id, faults[id].text);
    return id;
}

int
fault_begin_at(long long from, const char *fmt, ...)
{
    char text[sizeof(faults[0].text)];
    va_list ap;
    int id;

    va_start(ap, fmt);
    vsnprintf(text, sizeof(text), fmt, ap);
    va_end(ap);
    id = fault_begin(-1, "%s", text);
    pthread_mutex_lock(&fault_lock);
    faults[id].from = from;
    pthread_mutex_unlock(&fault_lock);
    return id;
}

void
fault_end(int id)
{
    pthread_mutex_lock(&fault_lock);
    faults[id].to = now_ms();
    pthread_mutex_unlock(&fault_lock);
}

void
fault_list(long long from, long long to)
{
    for (int i = 0; i < fault_count; i++) {
        const struct fault_row *f = &faults[i];

        if (f->from <= to && (f->to == 0 || f->to >= from)) {
            rec("    fault %d: %s (%.3f s to %.3f s)", i, f->text,
                (double)f->from / 1000, (double)f->to / 1000);
        }
    }
}

bool
daemon_in_touch(int daemon, long long at)
{
    bool in = true;

    pthread_mutex_lock(&fault_lock);
    for (int i = 0; i < fault_count; i++) {
        const struct fault_row *f = &faults[i];

        if (f->daemon == daemon && f->from <= at &&
            (f->to == 0 || f->to >= at - STABLE_MS)) {
            in = false;
        }
    }
    pthread_mutex_unlock(&fault_lock);
    return in;
}

bool
fault_calm(long long from, long long to)
{
    bool calm = true;

    pthread_mutex_lock(&fault_lock);
    for (int i = 0; i < fault_count; i++) {
        const struct fault_row *f = &faults[i];

        if (f->from <= to && (f->to == 0 || f->to >= from)) {
            calm = false;
        }
    }
    pthread_mutex_unlock(&fault_lock);
    return calm;
}
