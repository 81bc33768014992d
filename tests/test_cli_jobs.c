/* Tests of the task list of cuminwalk jobs: it has to apply the records as the
 * daemons do, including fenced records and outcomes of earlier attempts. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "cli_jobs.h"

#include <string.h>

static void
apply_json(struct cli_jobs *j, uint64_t offset, const char *json)
{
    json_t *o = json_loads(json, 0, NULL);
    assert_non_null(o);
    assert_int_equal(cli_jobs_apply_record(j, 0, offset, o), CW_OK);
    json_decref(o);
}

#define START(epoch, attempt, worker)                                         \
    "{\"type\":\"start\",\"epoch\":" epoch ",\"task\":\"stock.job.0\","       \
    "\"attempt\":" attempt ",\"worker\":\"" worker "\"}"
#define ENDED(epoch, attempt, result)                                         \
    "{\"type\":\"ended\",\"epoch\":" epoch ",\"task\":\"stock.job.0\","       \
    "\"attempt\":" attempt ",\"result\":\"" result "\"}"

/* Each case has the records of one task and the expected state. */
static void
test_states(void **state)
{
    static const struct {
        const char *records[3];
        const char *state;
        const char *worker;
        uint32_t attempt;
        const char *reason;
    } cases[] = {
        {{START("5", "1", "w1")}, "running", "w1", 1, ""},
        {{START("5", "1", "w1"), ENDED("5", "1", "done")},
         "done",
         "w1",
         1,
         ""},
        {{START("5", "1", "w1"), ENDED("5", "1", "unavailable")},
         "waiting",
         "w1",
         1,
         "unavailable"},
        /* the outcome of an earlier attempt is ignored */
        {{START("5", "1", "w1"), START("5", "2", "w2"),
          ENDED("5", "1", "failed")},
         "running",
         "w2",
         2,
         ""},
        /* a record of an earlier holder of the cell is fenced */
        {{"{\"type\":\"claim\",\"epoch\":9}", START("9", "1", "w1"),
          START("5", "2", "w2")},
         "running",
         "w1",
         1,
         ""},
        {{START("5", "1", "w1"),
          "{\"type\":\"lost\",\"epoch\":5,\"task\":\"stock.job.0\","
          "\"attempt\":1,\"result\":\"lease ended\"}"},
         "lost",
         "w1",
         1,
         "lease ended"},
        {{"{\"type\":\"told\",\"epoch\":5,\"task\":\"stock.job.0\","
          "\"state\":\"never_fits\",\"reason\":\"too large\"}"},
         "never_fits",
         "",
         0,
         "too large"},
        {{"{\"type\":\"carry\",\"epoch\":5,\"task\":\"stock.job.0\","
          "\"attempt\":3,\"worker\":\"w3\",\"result\":\"done\"}"},
         "done",
         "w3",
         3,
         ""},
        {{START("5", "1", "w1"),
          "{\"type\":\"unlisted\",\"epoch\":5,\"job\":\"stock.job\"}"},
         "cancelled",
         "w1",
         1,
         "job left its document"},
        /* the other job's name is a prefix of this one's */
        {{START("5", "1", "w1"),
          "{\"type\":\"unlisted\",\"epoch\":5,\"job\":\"stock.jo\"}"},
         "running",
         "w1",
         1,
         ""},
    };
    (void)state;
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        struct cli_jobs j;
        cli_jobs_init(&j);
        for (int k = 0; k < 3 && cases[i].records[k] != NULL; k++) {
            apply_json(&j, (uint64_t)k + 1, cases[i].records[k]);
        }
        assert_int_equal(j.count, 1);
        assert_string_equal(j.items[0]->state, cases[i].state);
        assert_string_equal(j.items[0]->worker.text, cases[i].worker);
        assert_int_equal(j.items[0]->attempt, cases[i].attempt);
        assert_string_equal(j.items[0]->reason, cases[i].reason);
        cli_jobs_finish(&j);
    }
}

/* The claims of one cell must not fence the records of the next one. */
static void
test_cells_are_separate(void **state)
{
    (void)state;
    struct cli_jobs j;
    cli_jobs_init(&j);
    apply_json(&j, 1, "{\"type\":\"claim\",\"epoch\":9}");
    cli_jobs_next_cell(&j);
    apply_json(&j, 1, START("5", "1", "w1"));
    assert_int_equal(j.count, 1);
    assert_true(cli_task_is_in_service(j.items[0], "stock"));
    assert_true(cli_task_is_in_service(j.items[0], NULL));
    assert_false(cli_task_is_in_service(j.items[0], "sto"));
    assert_false(cli_task_is_in_service(j.items[0], "roster"));
    cli_jobs_finish(&j);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_states),
        cmocka_unit_test(test_cells_are_separate),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
