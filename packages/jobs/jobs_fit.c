/* Which machines can run the tasks of a step. */
#include "cw_fit.h"

#include "cw_jobs_int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ---- one machine ---- */

static uint32_t
times(uint32_t room, uint32_t need)
{
    return need == 0 ? UINT32_MAX : room / need;
}

static uint32_t
min_u32(uint32_t a, uint32_t b)
{
    return a < b ? a : b;
}

uint32_t
cw_step_tasks_in_room(const struct cw_step *st,
                      const struct cw_resources *room,
                      const struct cw_name *labels, size_t label_count)
{
    uint32_t cpu = st->backfill ? 0 : st->need.cpu_milli;
    uint32_t n = times(room->cpu_milli, cpu);

    if (!cw_has_label(labels, label_count, &st->required_label)) {
        return 0;
    }
    n = min_u32(n, times(room->memory_mb, st->need.memory_mb));
    n = min_u32(n, times(room->accelerators, st->need.accelerators));
    return st->max_per_worker == 0 ? n : min_u32(n, st->max_per_worker);
}

static uint32_t
left_of(uint64_t capacity, uint64_t used)
{
    return capacity > used ? (uint32_t)(capacity - used) : 0;
}

struct cw_resources
cw_worker_lasting_need(const struct cw_worker *w)
{
    struct cw_resources out = {(uint32_t)w->lasting.cpu,
                               (uint32_t)w->lasting.mb, 0};

    for (const struct cw_task *t = w->tasks; t != NULL; t = t->next) {
        out.accelerators +=
            cw_task_step(t)->lasting ? cw_task_step(t)->need.accelerators : 0;
    }
    return out;
}

static struct cw_resources
room_beside(const struct cw_resources *capacity,
            const struct cw_resources *used)
{
    return (struct cw_resources){
        left_of(capacity->cpu_milli, used->cpu_milli),
        left_of(capacity->memory_mb, used->memory_mb),
        left_of(capacity->accelerators, used->accelerators)};
}

struct cw_resources
cw_worker_free_room(const struct cw_worker *w)
{
    return room_beside(&w->capacity, &w->used);
}

struct cw_resources
cw_worker_room_after_batch(const struct cw_worker *w)
{
    struct cw_resources lasting = cw_worker_lasting_need(w);

    return room_beside(&w->capacity, &lasting);
}

/* ---- all machines ---- */

static bool
same_machines(const struct cw_machine *a, const struct cw_machine *b, size_t n)
{
    for (size_t i = 0; i < n; i++) {
        if (a[i].pool != b[i].pool || a[i].label_count != b[i].label_count ||
            a[i].capacity.cpu_milli != b[i].capacity.cpu_milli ||
            a[i].capacity.memory_mb != b[i].capacity.memory_mb ||
            a[i].capacity.accelerators != b[i].capacity.accelerators) {
            return false;
        }
        for (size_t k = 0; k < a[i].label_count; k++) {
            if (!cw_name_eq(&a[i].labels[k], &b[i].labels[k])) {
                return false;
            }
        }
    }
    return true;
}

void
cw_sched_set_machines(struct cw_sched *s, const struct cw_machine *rows,
                      size_t n)
{
    struct cw_machine *copy;

    if (s->machines_known && n == s->machine_count &&
        same_machines(rows, s->machines, n)) {
        for (size_t i = 0; i < n; i++) {
            s->machines[i].lasting = rows[i].lasting;
        }
        return;
    }
    copy = malloc((n + 1) * sizeof(*copy));
    if (copy == NULL) {
        return; /* the former ones stay */
    }
    if (n > 0) {
        memcpy(copy, rows, n * sizeof(*rows));
    }
    free(s->machines);
    s->machines = copy;
    s->machine_count = n;
    s->machines_known = true;
    s->machines_version++;
    for (struct cw_pool *p = s->pool_list; p != NULL; p = p->next) {
        cw_pool_plan_soon(s, p);
    }
}

/* Most steps fit most machines. When half of so many can run a task, and they
 * hold all tasks of the step together, the others are not looked at: a pool of
 * thousands would be looked at for each new job. */
#define SAMPLE_MIN 32

static struct cw_step_outlook
look_at_machines(const struct cw_sched *s, const struct cw_pool *p,
                 const struct cw_step *st)
{
    struct cw_step_outlook out = {0};
    size_t able = 0;
    size_t all = 0;

    for (size_t i = 0;
         i < s->machine_count &&
         (out.at_once < st->count || all < SAMPLE_MIN || 2 * able < all);
         i++) {
        const struct cw_machine *m = &s->machines[i];
        uint32_t n;

        if (m->pool != NULL && m->pool != p) {
            continue;
        }
        n = cw_step_tasks_in_room(st, &m->capacity, m->labels, m->label_count);
        all++;
        able += n > 0 ? 1 : 0;
        n = min_u32(n, st->count);
        out.at_once = min_u32(out.at_once + n, st->count);
    }
    out.rare = 2 * able < all;
    return out;
}

struct cw_step_outlook
cw_step_outlook(const struct cw_sched *s, const struct cw_job_entry *j,
                uint16_t step)
{
    struct cw_step_room *r = j->rooms == NULL ? NULL : &j->rooms[step];
    struct cw_step_outlook out = {UINT32_MAX, false};

    if (!s->machines_known || j->pool == NULL) {
        return out;
    }
    if (r != NULL && r->version == s->machines_version) {
        return (struct cw_step_outlook){r->at_once, r->rare};
    }
    out = look_at_machines(s, j->pool, &j->spec.steps[step]);
    if (r != NULL) {
        *r = (struct cw_step_room){s->machines_version, out.at_once, out.rare};
    }
    return out;
}

static bool
is_blocked(const struct cw_step *st, const struct cw_step_outlook *o)
{
    return o->at_once == 0 || (st->gang && o->at_once < st->count);
}

uint32_t
cw_step_runnable(const struct cw_sched *s, const struct cw_task *first)
{
    const struct cw_step *st = cw_task_step(first);
    struct cw_step_outlook o = cw_step_outlook(s, first->job, first->step);
    uint32_t waiting = 0;
    uint32_t placed = 0;

    if (is_blocked(st, &o)) {
        return 0;
    }
    for (uint32_t i = 0; i < st->count; i++) {
        waiting += first[i].state == CW_RUN_WAITING ? 1 : 0;
        placed += first[i].worker != NULL ? 1 : 0;
    }
    if (!st->lasting || st->gang || o.at_once == UINT32_MAX) {
        return waiting;
    }
    return min_u32(waiting, left_of(o.at_once, placed));
}

bool
cw_gang_has_room(const struct cw_sched *s, const struct cw_task *first)
{
    const struct cw_step *st = cw_task_step(first);
    uint32_t n = 0;

    for (size_t i = 0; i < s->machine_count && n < st->count; i++) {
        const struct cw_machine *m = &s->machines[i];
        struct cw_resources room = room_beside(&m->capacity, &m->lasting);

        if (m->pool == NULL || m->pool == first->job->pool) {
            n += min_u32(st->count, cw_step_tasks_in_room(st, &room, m->labels,
                                                          m->label_count));
        }
    }
    return !s->machines_known || n >= st->count;
}

static bool
step_is_done(const struct cw_job_entry *j, size_t step)
{
    uint32_t left = 0;

    for (uint32_t k = 0; j->tasks_left != NULL && k < j->spec.repeats; k++) {
        left += j->tasks_left[k * j->spec.step_count + step];
    }
    return j->tasks_left != NULL && left == 0;
}

size_t
cw_job_blocked_step(const struct cw_sched *s, const struct cw_job_entry *j)
{
    size_t n = cw_job_ended(j) ? 0 : j->spec.step_count;

    for (size_t i = 0; i < n; i++) {
        struct cw_step_outlook o = cw_step_outlook(s, j, (uint16_t)i);

        if (is_blocked(&j->spec.steps[i], &o) && !step_is_done(j, i)) {
            return i;
        }
    }
    return j->spec.step_count;
}

void
cw_job_blocked_reason(const struct cw_sched *s, const struct cw_job_entry *j,
                      size_t step, char out[CW_JOB_REASON_MAX])
{
    const struct cw_step *st = &j->spec.steps[step];
    struct cw_step_outlook o = cw_step_outlook(s, j, (uint16_t)step);
    int n = snprintf(out, CW_JOB_REASON_MAX,
                     "step %zu: the machines can run %u of %u tasks that need "
                     "%u m cpu, %u MB, %u gpu",
                     step, o.at_once, st->gang ? st->count : 1,
                     st->backfill ? 0 : st->need.cpu_milli, st->need.memory_mb,
                     st->need.accelerators);

    if (st->required_label.len > 0 && n > 0 && n < CW_JOB_REASON_MAX) {
        (void)snprintf(out + n, (size_t)(CW_JOB_REASON_MAX - n), ", label %s",
                       st->required_label.text);
    }
}

/* ---- the log ---- */

#define BLOCKED_SCAN_MS 1000
#define BLOCKED_REPEAT_MS 10000
#define BLOCKED_LINES_MAX 20 /* of one scan */

static void
log_blocked(const struct cw_sched *s, struct cw_job_entry *j, size_t step,
            cw_ms now)
{
    char reason[CW_JOB_REASON_MAX];

    cw_job_blocked_reason(s, j, step, reason);
    cw_log(CW_WARN, "job_blocked",
           "job=%016llx queue=%s service=%s held_ms=%lld reason=\"%s\" "
           "ends=\"a machine that can run it, or a cancel\"",
           (unsigned long long)j->id, j->queue.text, j->pool->service.text,
           (long long)(now - j->accepted), reason);
    j->blocked_logged_at = now;
}

size_t
cw_sched_log_blocked(struct cw_sched *s, cw_ms now)
{
    size_t lines = 0;

    if (now < s->blocked_scan_at) {
        return s->blocked_jobs;
    }
    s->blocked_scan_at = now + BLOCKED_SCAN_MS;
    s->blocked_jobs = 0;
    s->blocked_longest_ms = 0;
    for (struct cw_pool *p = s->pool_list; p != NULL; p = p->next) {
        for (struct cw_job_entry *j = p->jobs; j != NULL; j = j->next) {
            size_t step = j->waiting_count > 0 ? cw_job_blocked_step(s, j)
                                               : j->spec.step_count;

            if (step == j->spec.step_count) {
                continue;
            }
            s->blocked_jobs++;
            if (now - j->accepted > s->blocked_longest_ms) {
                s->blocked_longest_ms = now - j->accepted;
            }
            if (lines < BLOCKED_LINES_MAX &&
                (j->blocked_logged_at == 0 ||
                 now - j->blocked_logged_at >= BLOCKED_REPEAT_MS)) {
                log_blocked(s, j, step, now);
                lines++;
            }
        }
    }
    return s->blocked_jobs;
}
