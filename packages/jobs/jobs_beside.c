/* What runs beside what on the workers: samples for the table of pairs that
 * interfere, and its use for the choice of workers. */
#include "cw_jobs.h"

#include <math.h>

/* A task that is there for half of the window counts as beside. */
#define BESIDE_MIN_MS (CW_INTERFERE_WINDOW_MS / 2)
/* Tails below this share of the target are equally good: pacing lets backfill
 * speed up below twice as much. */
#define TAIL_SHARE_MIN 0.3
/* Least share of the processor time asked for: a task that does nothing would
 * outweigh all others. */
#define CPU_SHARE_MIN 0.01
/* Above the term that packs tasks (at most 2), and together with it below the
 * least of those for maintenance (5), data rack and failed worker. */
#define PENALTY_MIN 2.1
#define PENALTY_MAX 2.9

void
cw_sched_set_interference(struct cw_sched *s, bool on, cw_ms harm_ms)
{
    s->limits.harm_ms = harm_ms;
    s->limits.interference = on;
    if (on && s->interfere == NULL) {
        s->interfere = cw_interfere_new();
    }
    else if (!on) {
        cw_interfere_free(s->interfere);
        s->interfere = NULL;
    }
}

uint64_t
cw_task_group(const struct cw_task *t)
{
    return cw_interfere_group(&cw_task_step(t)->image, &t->job->queue);
}

/* ---- samples ---- */

/* The logarithm of the task's tail latency as a share of its target, or of the
 * processor time that it asked for as a share of the time in use. False when
 * the report has no figure for a whole window. */
static bool
task_figure(const struct cw_task *t, cw_ms now, double *out)
{
    const struct cw_step *st = cw_task_step(t);

    if (t->state != CW_RUN_RUNNING || t->last_report != t->worker->reports ||
        t->measured == 0 || now - t->state_since < CW_INTERFERE_WINDOW_MS ||
        (st->lasting && !t->started_up)) {
        return false;
    }
    if (st->target_ms > 0) {
        *out = log(fmax((double)t->measured / st->target_ms, TAIL_SHARE_MIN));
        return true;
    }
    /* Backfill tasks use what is left, whatever runs beside them. */
    if (st->backfill || st->need.cpu_milli == 0) {
        return false;
    }
    *out = -log(fmin(
        fmax((double)t->measured / st->need.cpu_milli, CPU_SHARE_MIN), 1));
    return true;
}

/* The entry of a group, added when there is room. */
static struct cw_group_seen *
get_seen(struct cw_group_seen *seen, size_t *count, const struct cw_task *t)
{
    const struct cw_step *st = cw_task_step(t);
    uint64_t group = cw_task_group(t);

    for (size_t i = 0; i < *count; i++) {
        if (seen[i].group == group) {
            return &seen[i];
        }
    }
    if (*count == CW_INTERFERE_SEEN_MAX) {
        return NULL;
    }
    seen[*count] = (struct cw_group_seen){
        .group = group,
        .name = st->image.len > 0 ? &st->image : &t->job->queue};
    return &seen[(*count)++];
}

void
cw_sched_learn_interference(struct cw_sched *s, struct cw_worker *w, cw_ms now)
{
    struct cw_group_seen seen[CW_INTERFERE_SEEN_MAX];
    size_t count = 0;

    if (s->interfere == NULL || w->task_count == 0 ||
        now - w->beside.sampled_at < CW_INTERFERE_WINDOW_MS) {
        return;
    }
    w->beside.sampled_at = now;
    for (const struct cw_task *t = w->tasks; t != NULL; t = t->next) {
        struct cw_group_seen *g = get_seen(seen, &count, t);
        double figure;

        if (g == NULL) {
            continue;
        }
        if (t->state == CW_RUN_STARTING || t->pace_percent < 100 ||
            now - t->state_since < BESIDE_MIN_MS) {
            g->unclear = true;
        }
        else {
            g->tasks++;
        }
        if (task_figure(t, now, &figure)) {
            g->figures++;
            g->figure_sum += figure;
        }
    }
    cw_interfere_observe(s->interfere, cw_hash(cw_name_str(&w->id), 0), seen,
                         count, now);
}

/* ---- use ---- */

static void
refresh_beside(struct cw_worker *w)
{
    struct cw_beside *b = &w->beside;

    b->valid = true;
    b->count = 0;
    for (const struct cw_task *t = w->tasks; t != NULL; t = t->next) {
        uint64_t group = cw_task_group(t);
        size_t i = 0;

        while (i < b->count && b->groups[i] != group) {
            i++;
        }
        if (i == CW_INTERFERE_SEEN_MAX) {
            continue;
        }
        if (i == b->count) {
            b->groups[b->count] = group;
            b->tasks[b->count++] = 0;
        }
        b->tasks[i]++;
    }
}

double
cw_interference_penalty(struct cw_sched *s, struct cw_worker *w,
                        const struct cw_task *t)
{
    const struct cw_interfere_peer *peers;
    size_t count;
    double sum = 0;

    if (s->interfere == NULL || cw_interfere_known(s->interfere) == 0 ||
        w->task_count == 0) {
        return 0;
    }
    count = cw_interfere_peers(s->interfere, cw_task_group(t), &peers);
    if (count > 0 && !w->beside.valid) {
        refresh_beside(w);
    }
    for (size_t i = 0; i < count; i++) {
        for (size_t k = 0; k < w->beside.count; k++) {
            if (w->beside.groups[k] == peers[i].group) {
                sum += peers[i].on_it + peers[i].by_it * w->beside.tasks[k];
            }
        }
    }
    return sum > 0 ? PENALTY_MAX - (PENALTY_MAX - PENALTY_MIN) * exp(-sum) : 0;
}

double
cw_task_slowed_by(const struct cw_sched *s, const struct cw_task *t,
                  const struct cw_task *by)
{
    return s->interfere == NULL
               ? 0
               : cw_interfere_effect(s->interfere, cw_task_group(t),
                                     cw_task_group(by));
}
