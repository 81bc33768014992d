/* Shared by the cases: daemons and runners at the start, and checks. */
#ifndef CASE_H
#define CASE_H

#include "rig.h"

#include <stdio.h>
#include <string.h>

#define DAEMONS 3

static inline void
case_start(struct daemon **d, struct worker **w, int runners, int stagger_ms)
{
    put_config();
    for (int i = 0; i < runners; i++) {
        w[i] = worker_new(SERVICE, 1000);
        sleep_ms(stagger_ms);
    }
    for (int i = 0; i < DAEMONS; i++) {
        char name[16];

        snprintf(name, sizeof(name), "front-%d", i + 1);
        d[i] = daemon_new(name);
        daemon_start(d[i]);
    }
    for (int i = 0; i < DAEMONS; i++) {
        if (!daemon_wait_ready(d[i], 10000)) {
            rig_exit(2, "a daemon did not become ready");
        }
    }
    sleep_ms(1000);
}

/* Starts of a job's tasks after a time. */
static inline int
case_starts_after(const char *id, long long at)
{
    struct exec_row rows[64];
    int n = exec_find(id, rows, 64);
    int out = 0;

    for (int i = 0; i < n; i++) {
        if (rows[i].began > at) {
            rec("start of %s run %d at %.3f s, fence %lld", rows[i].task,
                rows[i].run, (double)rows[i].began / 1000, rows[i].fence);
            out++;
        }
    }
    return out;
}

/* The daemon that schedules, other than one; it has taken over. */
static inline struct daemon *
case_wait_other(const struct daemon * not, long long timeout)
{
    long long until = now_ms() + timeout;

    while ((store_owner() == not || store_owner() == NULL) &&
           now_ms() < until) {
        sleep_ms(10);
    }
    return store_owner();
}

#endif
