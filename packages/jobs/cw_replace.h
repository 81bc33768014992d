/* Replacement of tasks that take far longer than expected on a worker that is
 * slow, silent or stuck. */
#ifndef CW_REPLACE_H
#define CW_REPLACE_H

#include "cuminwalk.h"

/* A run of a batch task, and what is known of its worker. */
struct cw_replace_view {
    cw_ms expected_ms; /* duration on a normal worker */
    cw_ms elapsed_ms;
    cw_ms stalled_ms;       /* since its progress last rose */
    cw_ms measured_ms;      /* time in which it went .. */
    uint32_t base_percent;  /* .. from this progress .. */
    uint32_t percent;       /* .. to this one */
    uint32_t saved_percent; /* progress at its last checkpoint */
    bool speculative;
    bool slow;   /* the worker is classified as slow */
    bool silent; /* it has not reported for 1.5 s */
    bool stuck;  /* none of its running tasks makes progress */
    bool room;   /* another worker has room, and no task of the pool waits */
};

enum cw_replace_action {
    CW_REPLACE_KEEP,
    CW_REPLACE_COPY,    /* a second run at once; the first done counts */
    CW_REPLACE_RESTART, /* stopped, started elsewhere when its end is known */
};

enum cw_replace_reason {
    CW_REPLACE_SLOW,
    CW_REPLACE_SILENT,
    CW_REPLACE_STUCK,
    CW_REPLACE_REASONS,
};

/* Counts of replacements, and of copies by the run that was done first. */
struct cw_replace_counts {
    uint64_t reasons[CW_REPLACE_REASONS];
    uint64_t copies;
    uint64_t first_won;
    uint64_t second_won;
};

/* True when the run takes longer than 3 times its expected duration and 1 s
 * more than it, or has made no progress for as long. */
bool cw_run_overdue(const struct cw_replace_view *v);
enum cw_replace_action cw_replace_decide(const struct cw_replace_view *v);
/* Most replaced tasks that may run in a pool at a time. */
uint32_t cw_replace_limit(uint32_t running);

#endif
