/* Guards the course of jobs with real processes: each task ends once, on a
 * worker that can run it, and stops when its job is removed. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "place_fixture.h"

#include <string.h>

/* Guards against tasks that are left out or started again after their end,
 * and against workers that keep finished tasks in their reports for ever. */
static void
test_jobs_run_once(void **state)
{
    (void)state;
    struct place_fixture f;
    place_fixture_start(&f, "");
    place_put_job(&f, "stock", 0, 12, 1000, 1500, "");
    bool good = place_wait_done(&f, 12, PROC_LIMIT_MS);
    good = good && proc_until(place_has_no_tasks, &f, PROC_LIMIT_MS);
    good = place_ran_once(&f, 12) && good;
    place_fixture_stop(&f, good);
}

static size_t
starts_on(const struct place_fixture *f, const char *worker)
{
    return cluster_count(&f->jobs, "start", "worker", worker);
}

/* Guards against a worker that fails everything and, being always free, draws
 * one task after the other; its failures must not reject the tasks. */
static void
test_failing_worker(void **state)
{
    (void)state;
    struct place_fixture f;
    place_fixture_start(&f, "w2");
    place_put_job(&f, "stock", 0, 12, 1000, 6000, "");
    bool good = place_wait_done(&f, 12, LEASE_LIMIT_MS);
    size_t first = starts_on(&f, "w2");
    place_put_job(&f, "roster", 0, 12, 1000, 2000, "");
    good = good && place_wait_done(&f, 24, LEASE_LIMIT_MS);
    size_t later = starts_on(&f, "w2") - first;
    size_t told = cluster_count(&f.jobs, "told", NULL, NULL);
    printf("starts on the failing worker: %zu, then %zu; told=%zu\n", first,
           later, told);
    /* Four tasks fit the worker at once, before the first of them fails; a
     * probe may add one. */
    good = good && first <= 8 && later <= 1 && told == 0 &&
           place_platform_count(&f, "task_twice") == 0;
    place_fixture_stop(&f, good);
}

/* Guards against a job that fits nowhere and waits without a word, or that
 * keeps others from running. */
static void
test_never_fits(void **state)
{
    (void)state;
    struct place_fixture f;
    place_fixture_start(&f, "");
    place_put_job(&f, "stock", 0, 1, 4001, 1000, "");
    place_put_job(&f, "roster", 0, 4, 1000, 1000, "");
    bool good = cluster_wait(&f.jobs, "told", "state", "never_fits", 1,
                             PROC_LIMIT_MS) &&
                place_wait_done(&f, 4, PROC_LIMIT_MS);
    const json_t *told = cluster_last(&f.jobs, "told", NULL, NULL);
    good = good && strcmp(cluster_text(told, "task"), "stock.job.0") == 0 &&
           strstr(cluster_text(told, "reason"), "cpu_milli=4001") != NULL;
    good = place_ran_once(&f, 4) && good;
    place_fixture_stop(&f, good);
}

/* Guards against tasks that go on after their job left the document, and
 * against room that stays taken by them. */
static void
test_job_removed(void **state)
{
    (void)state;
    struct place_fixture f;
    place_fixture_start(&f, "");
    uint64_t version = place_put_job(&f, "stock", 0, 20, 1000, 600000, "");
    bool good = cluster_wait(&f.jobs, "start", NULL, NULL, 16, PROC_LIMIT_MS);
    place_put_job(&f, "stock", version, 0, 0, 0, "");
    good = good && proc_until(place_has_no_tasks, &f, PROC_LIMIT_MS);
    good = good && cluster_wait(&f.jobs, "ended", "result", "cancelled", 16,
                                PROC_LIMIT_MS);
    place_put_job(&f, "roster", 0, 16, 1000, 1000, "");
    good = good && place_wait_done(&f, 16, PROC_LIMIT_MS);
    int64_t starts = place_platform_count(&f, "starts");
    printf("starts=%d\n", (int)starts);
    good = good && starts == 32 && place_platform_count(&f, "task_twice") == 0;
    place_fixture_stop(&f, good);
}

#define URGENT_LIMIT_MS 9800

/* Guards the promise that urgent work starts within 9.8 s on workers that are
 * full of other work. */
static void
test_urgent_on_full_workers(void **state)
{
    (void)state;
    struct place_fixture f;
    struct cluster_stream config;
    place_fixture_start(&f, "");
    cluster_stream_init(&config, &f.cluster, "config");
    place_put_job(&f, "stock", 0, 16, 1000, 600000, "");
    bool good = cluster_wait(&f.jobs, "start", NULL, NULL, 16, PROC_LIMIT_MS);
    place_put_job(&f, "roster", 0, 2, 2000, 1000, ",\"urgent\":true");
    good = good && place_wait_done(&f, 2, LEASE_LIMIT_MS) &&
           cluster_read(&config);
    const json_t *doc = cluster_last(&config, "doc", "service", "roster");
    int64_t asked = json_integer_value(json_object_get(doc, "time"));
    for (int i = 0; good && i < 2; i++) {
        char task[32];
        snprintf(task, sizeof(task), "roster.job.%d", i);
        const json_t *start = cluster_last(&f.jobs, "start", "task", task);
        int64_t took =
            json_integer_value(json_object_get(start, "time")) - asked;
        printf("%s started after %d ms\n", task, (int)took);
        good = start != NULL && took <= URGENT_LIMIT_MS;
    }
    good = good && place_platform_count(&f, "task_twice") == 0;
    cluster_stream_finish(&config);
    place_fixture_stop(&f, good);
}

/* With an argument, runs only the tests whose names match the pattern. */
int
main(int argc, char **argv)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_jobs_run_once),
        cmocka_unit_test(test_failing_worker),
        cmocka_unit_test(test_never_fits),
        cmocka_unit_test(test_job_removed),
        cmocka_unit_test(test_urgent_on_full_workers),
    };
    if (argc > 1) {
        cmocka_set_test_filter(argv[1]);
    }
    return cmocka_run_group_tests(tests, NULL, NULL);
}
