/* Placement: time and memory of the scheduler at the design target,
 * and the effect of each mechanism, compared with the same run without it. */
#include "bench.h"
#include "place_model.h"

#include <stdlib.h>
#include <string.h>

#define WORKERS 4100
#define JOBS 20000
#define TEAMS 51
#define TICK_MS 500
#define TICKS 240
#define MEAN_RUN_MS (60 * CW_SECOND)

struct running_task {
    struct cw_name name;
    size_t worker;
    uint64_t fence;
    cw_ms ends;
};

struct scale_bench {
    struct cw_place place;
    struct cw_rng rng;
    cw_ms now;
    uint64_t offset;
    size_t count;
    struct running_task *running;
    uint64_t renewals;
    uint64_t starts;
};

static void
on_action(void *ctx, const struct cw_place_action *a)
{
    struct scale_bench *s = ctx;
    if (a->kind == CW_PLACE_RENEW) {
        cw_place_renew_answered(&s->place, a->worker, true);
        s->renewals++;
        return;
    }
    if (a->kind != CW_PLACE_START) {
        return;
    }
    struct running_task *r = &s->running[s->count++];
    r->name = a->task->name;
    r->worker = (size_t)strtoul(a->worker.ptr + 1, NULL, 10);
    r->fence = ++s->offset;
    r->ends = s->now + (cw_ms)cw_rng_exp(&s->rng, MEAN_RUN_MS);
    s->starts++;
    cw_place_started(&s->place, cw_name_str(&r->name), a->task->attempt,
                     r->fence, s->now);
}

static void
report_worker(struct scale_bench *s, size_t worker,
              const struct cw_place_task_report *seen, size_t count)
{
    char name[32];
    char rack[32];
    snprintf(name, sizeof(name), "w%zu", worker);
    snprintf(rack, sizeof(rack), "r%zu", worker / 4);
    struct cw_size size = {16000, 32768, 2};
    cw_place_worker_report(&s->place, cw_str_from(name), cw_str_from(rack),
                           size, seen, count, s->now, on_action, s);
}

static void
end_tasks(struct scale_bench *s)
{
    for (size_t i = 0; i < s->count;) {
        struct running_task *r = &s->running[i];
        if (r->ends > s->now) {
            i++;
            continue;
        }
        struct cw_place_task_report seen = {cw_name_str(&r->name), r->fence,
                                            CW_REPORTED_DONE, 500, 512};
        report_worker(s, r->worker, &seen, 1);
        *r = s->running[--s->count];
    }
}

static void
add_jobs(struct scale_bench *s, size_t service)
{
    struct cw_job *jobs = calloc(JOBS / TEAMS + 1, sizeof(*jobs));
    struct cw_doc doc;
    char text[32];
    memset(&doc, 0, sizeof(doc));
    snprintf(text, sizeof(text), "service%zu", service);
    cw_name_set(&doc.service, cw_str_from(text));
    snprintf(text, sizeof(text), "team%zu", service);
    cw_name_set(&doc.team, cw_str_from(text));
    doc.jobs = jobs;
    doc.job_count = JOBS / TEAMS + (service < JOBS % TEAMS ? 1 : 0);
    for (size_t i = 0; i < doc.job_count; i++) {
        struct cw_job *j = &jobs[i];
        snprintf(text, sizeof(text), "j%zu", i);
        cw_name_set(&j->name, cw_str_from(text));
        cw_name_set(&j->job_class, cw_str_from(text));
        j->count = 1;
        j->cpu_milli = 2000 + (uint32_t)cw_rng_below(&s->rng, 12000);
        j->memory_mb = 1024 + (uint32_t)cw_rng_below(&s->rng, 28000);
        j->accelerators = (uint32_t)cw_rng_below(&s->rng, 3);
        j->urgent = cw_rng_below(&s->rng, 100) == 0;
    }
    struct cw_size quota = {WORKERS / TEAMS * 16000, WORKERS / TEAMS * 32768,
                            WORKERS / TEAMS * 2};
    cw_place_set_team_quota(&s->place, cw_name_str(&doc.team), quota);
    cw_place_apply_document(&s->place, &doc, NULL, NULL, s->now);
    free(jobs);
}

static void
bench_scale(uint64_t seed)
{
    struct cw_place_params params = cw_place_defaults();
    struct scale_bench s;
    memset(&s, 0, sizeof(s));
    s.running = calloc(JOBS, sizeof(*s.running));
    cw_rng_init(&s.rng, seed);
    size_t before = bench_heap_bytes();
    cw_place_init(&s.place, &params);
    s.now = CW_HOUR;
    for (size_t i = 0; i < WORKERS; i++) {
        report_worker(&s, i, NULL, 0);
    }
    for (size_t i = 0; i < TEAMS; i++) {
        add_jobs(&s, i);
    }
    struct cw_hist ticks;
    cw_hist_init(&ticks);
    for (int i = 0; i < TICKS; i++) {
        end_tasks(&s);
        int64_t t = bench_now_us();
        cw_place_tick(&s.place, s.now, on_action, &s);
        cw_hist_record(&ticks, (uint64_t)(bench_now_us() - t));
        s.now += TICK_MS;
    }
    bench_print("place_workers", "%d", WORKERS);
    bench_print("place_jobs", "%d", JOBS);
    bench_print("place_tick_us_p50", "%llu",
                (unsigned long long)cw_hist_quantile(&ticks, 0.5));
    bench_print("place_tick_us_p99", "%llu",
                (unsigned long long)cw_hist_quantile(&ticks, 0.99));
    bench_print("place_tick_us_max", "%llu", (unsigned long long)ticks.max);
    bench_print("place_heap_mb", "%.1f",
                (double)(bench_heap_bytes() - before) / 1e6);
    bench_print("place_starts_per_s", "%.1f",
                (double)s.starts * 1000.0 / (TICKS * TICK_MS));
    bench_print("place_renewals_per_s", "%.1f",
                (double)s.renewals * 1000.0 / (TICKS * TICK_MS));
    cw_place_finish(&s.place);
    free(s.running);
}

/* Number of tasks done in an hour on 48 workers when the declared size is four
 * times the real use. */
static size_t
count_done_in_an_hour(bool learn)
{
    struct cw_place_params params = cw_place_defaults();
    params.learn = learn;
    struct model *m = malloc(sizeof(*m));
    struct cw_size worker_size = {16000, 32768, 0};
    struct cw_size declared = {8000, 8192, 0};
    model_init(m, &params);
    m->use_percent = 25;
    m->run_ms = CW_MINUTE;
    model_add_workers(m, 48, worker_size);
    model_put_job(m, "price", "t1", 20000, declared, false);
    model_run(m, CW_HOUR, NULL);
    size_t done = cw_place_count(&m->place, CW_PLACE_DONE);
    model_finish(m);
    free(m);
    return done;
}

/* Number of failed tasks in an hour when one of 48 workers fails all tasks. */
static uint32_t
count_failures_in_an_hour(bool quarantine)
{
    struct cw_place_params params = cw_place_defaults();
    params.quarantine = quarantine;
    struct model *m = malloc(sizeof(*m));
    struct cw_size worker_size = {16000, 32768, 0};
    struct cw_size declared = {8000, 8192, 0};
    model_init(m, &params);
    m->run_ms = CW_MINUTE;
    model_add_workers(m, 48, worker_size);
    m->workers[5].fails_everything = true;
    model_put_job(m, "price", "t1", 5000, declared, false);
    model_run(m, CW_HOUR, NULL);
    uint32_t failures = m->failures;
    model_finish(m);
    free(m);
    return failures;
}

static bool
urgent_is_running(const struct model *m)
{
    const struct cw_place_task *t =
        cw_place_task(&m->place, CW_LIT("urgent.job.0"));
    return t != NULL && t->state == CW_PLACE_RUNNING;
}

/* Time until an urgent task starts on full workers, when the checkpoint of a
 * preempted task takes up to 12 s. */
static void
bench_urgent(uint64_t seed, bool preempt, const char *suffix)
{
    struct cw_rng rng;
    struct cw_hist waits;
    cw_rng_init(&rng, seed);
    cw_hist_init(&waits);
    struct cw_size worker_size = {16000, 32768, 0};
    struct cw_size half = {8000, 16384, 0};
    for (int i = 0; i < 50; i++) {
        struct cw_place_params params = cw_place_defaults();
        params.preempt = preempt;
        struct model *m = malloc(sizeof(*m));
        model_init(m, &params);
        m->run_ms = 10 * CW_MINUTE;
        m->checkpoint_ms = (cw_ms)cw_rng_below(&rng, 12000);
        model_add_workers(m, 16, worker_size);
        model_put_job(m, "bulk", "t1", 200, half, false);
        model_run(m, (cw_ms)cw_rng_below(&rng, 5 * CW_MINUTE), NULL);
        model_put_job(m, "urgent", "t2", 1, worker_size, true);
        cw_ms submitted = m->now;
        model_run(m, 20 * CW_MINUTE, urgent_is_running);
        cw_hist_record(&waits, (uint64_t)(m->now - submitted));
        model_finish(m);
        free(m);
    }
    char name[64];
    snprintf(name, sizeof(name), "place_urgent_start_ms_p50_%s", suffix);
    bench_print(name, "%llu",
                (unsigned long long)cw_hist_quantile(&waits, 0.5));
    snprintf(name, sizeof(name), "place_urgent_start_ms_max_%s", suffix);
    bench_print(name, "%llu", (unsigned long long)waits.max);
}

int
main(int argc, char **argv)
{
    uint64_t seed = bench_seed(argc, argv);
    bench_scale(seed);
    bench_print("place_done_per_hour_declared", "%zu",
                count_done_in_an_hour(false));
    bench_print("place_done_per_hour_learned", "%zu",
                count_done_in_an_hour(true));
    bench_print("place_failures_without_quarantine", "%u",
                count_failures_in_an_hour(false));
    bench_print("place_failures_with_quarantine", "%u",
                count_failures_in_an_hour(true));
    bench_urgent(seed, false, "without_preemption");
    bench_urgent(seed, true, "with_preemption");
    return 0;
}
