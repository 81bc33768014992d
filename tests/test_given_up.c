/* Tests of the log lines that say why a run no longer counts as alive and why
 * the next one was started. Without them nobody could tell from two runs of
 * one task at a time why the second was started. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "jobs_util.h"
#include "log_lines.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define BORN 1000
#define ASKED_AGO 30 /* ms from a call to its answer */

static struct jobs_fixture f;

static void
begin(void)
{
    jobs_setup(&f);
    log_lines_begin();
}

static void
end(void)
{
    log_lines_end();
    jobs_teardown(&f);
}

static struct cw_worker *
list_worker(const char *id, const char *vm, int64_t born)
{
    struct cw_worker_entry e = {.born_wall = born, .current = true};

    (void)cw_name_set(&e.id, cw_str_from(id));
    (void)cw_name_set(&e.vm, cw_str_from(vm));
    (void)cw_name_set(&e.service, CW_LIT(JOBS_SERVICE));
    (void)cw_name_set(&e.address, CW_LIT("10.0.0.1:80"));
    e.capacity = (struct cw_resources){1000, 100000, 0};
    return cw_sched_worker_listed(&f.s, &e, f.now);
}

/* A report that was asked for ASKED_AGO ms ago. */
static void
report(struct cw_worker *w, const struct cw_run_row *running,
       const struct cw_end_row *ended)
{
    struct cw_run_report r = {.sent_at = f.now - ASKED_AGO,
                              .born_wall = w->born_wall,
                              .clock_ms = 100,
                              .running = running,
                              .running_count = running != NULL ? 1 : 0,
                              .ended = ended,
                              .ended_count = ended != NULL ? 1 : 0};

    (void)cw_sched_report(&f.s, w, &r, f.now);
}

static struct cw_task *
only_task(void)
{
    struct cw_run_row r = {.job = 7};

    return cw_sched_find_task(&f.s, &r);
}

enum given_up {
    FAILED,
    CANCELLED,
    LAPSED_THERE,
    LASTING_DONE,
    UNLISTED,
    STOPPED,
    REFUSED,
    OTHER_WORKER,
    LATER_WORKER,
    LEASE_PROVED,
    LEASE_UNPROVED,
    UNSENT,
    UNSENT_WORKER_LOST,
    EARLIER_DONE,
    TAKEN_OVER,
    TAKEN_OVER_LEASE,
};

/* Run 1 of the only task on w1: planned, started or listed. */
static struct cw_worker *
begin_run(enum given_up e)
{
    struct cw_job_spec s = jobs_spec(7, 1, 1000);
    struct cw_worker *w = list_worker("w1", "v1", BORN);

    s.steps[0].lasting = e == LASTING_DONE;
    f.s.epoch = 9;
    report(w, NULL, NULL);
    (void)jobs_accept(&f, &s);
    if (e == UNSENT || e == UNSENT_WORKER_LOST) {
        (void)jobs_flush(&f);
        return w;
    }
    jobs_commit(&f);
    f.now += 100;
    if (e != REFUSED && e != LEASE_UNPROVED) {
        struct cw_run_row row = cw_task_row(only_task());

        report(w, &row, NULL);
    }
    if (e == TAKEN_OVER || e == TAKEN_OVER_LEASE) {
        jobs_commit(&f);
        jobs_take_over(&f);
        w = cw_sched_find_worker(&f.s, CW_LIT("w1"));
    }
    if (e == TAKEN_OVER) {
        f.now += f.s.limits.renewals_ms; /* of the former scheduler */
    }
    f.now += 100;
    return w;
}

static void
end_by_answer(enum given_up e, struct cw_worker *w,
              const struct cw_run_row *row)
{
    switch (e) {
    case STOPPED:
        cw_sched_stop_task_for(&f.s, only_task(), CW_STOP_MOVED, f.now);
        cw_sched_stop_answered(&f.s, w, row, f.now + 10);
        f.now += 50;
        report(w, NULL, NULL);
        break;
    case REFUSED:
        f.s.answered.sent_at = f.now - ASKED_AGO;
        cw_sched_start_answered(&f.s, w, row, CW_START_NO_CAPACITY, false,
                                f.now);
        break;
    case OTHER_WORKER:
        f.s.answered.sent_at = f.now - ASKED_AGO;
        cw_sched_worker_lost(&f.s, w, CW_LOSS_OTHER, f.now);
        break;
    case LATER_WORKER:
        report(list_worker("w2", "v1", 2 * BORN), NULL, NULL);
        break;
    case EARLIER_DONE:
        cw_sched_worker_lost(&f.s, w, CW_LOSS_OTHER, f.now);
        report(list_worker("w2", "v2", 2 * BORN), NULL, NULL);
        f.now += 5000;
        jobs_commit(&f);
        report(w, NULL,
               &(struct cw_end_row){1, .run = *row, .how = CW_END_DONE});
        break;
    default:
        report(w, NULL, NULL);
        break;
    }
}

static void
end_run(enum given_up e, struct cw_worker *w)
{
    struct cw_run_row row = cw_task_row(only_task());
    struct cw_end_row row_end = {.number = 1, .run = row, .how = CW_END_DONE};

    switch (e) {
    case CANCELLED:
        (void)cw_sched_cancel(&f.s, 7, f.now);
        row_end.how = CW_END_STOPPED;
        report(w, NULL, &row_end);
        break;
    case FAILED:
    case LAPSED_THERE:
        row_end.how = e == FAILED ? CW_END_FAILED : CW_END_LAPSED;
        /* fallthrough */
    case LASTING_DONE:
        report(w, NULL, &row_end);
        break;
    case LEASE_PROVED:
        f.now = w->lapse_at + 70;
        cw_sched_expire_leases(&f.s, f.now);
        break;
    case LEASE_UNPROVED:
    case TAKEN_OVER_LEASE:
        f.now = w->unproved_lapse_at + 70;
        cw_sched_expire_leases(&f.s, f.now);
        break;
    case UNSENT:
        cw_sched_stop_task(&f.s, only_task(), f.now);
        break;
    case UNSENT_WORKER_LOST:
        cw_sched_worker_lost(&f.s, w, CW_LOSS_OTHER, f.now);
        break;
    default:
        end_by_answer(e, w, &row);
        break;
    }
}

static void
test_proofs(void **state)
{
    (void)state;
    static const struct {
        const char *name;
        enum given_up event;
        const char *level;
        const char *fields;
        enum cw_run_proof proof;
    } cases[] = {
        {"failed", FAILED, "info",
         "reason=ended order=own epoch=9 proof=report_end proof_age_ms=30 "
         "proof_worker=w1 proof_born=1000 state=running former=0",
         CW_PROOF_REPORT_END},
        {"cancelled", CANCELLED, "debug",
         "reason=ended proof=report_end state=stopping", CW_PROOF_REPORT_END},
        {"lapsed on the worker", LAPSED_THERE, "info",
         "reason=ended proof=report_end proof_age_ms=30", CW_PROOF_REPORT_END},
        {"lasting task done", LASTING_DONE, "debug",
         "reason=done proof=report_end proof_age_ms=30", CW_PROOF_REPORT_END},
        {"unlisted", UNLISTED, "info",
         "reason=unlisted order=own proof=report_unlisted proof_age_ms=30 "
         "proof_born=1000 stop_answer_age_ms=-1",
         CW_PROOF_REPORT},
        {"stopped", STOPPED, "info",
         "reason=unlisted proof=stop_answer proof_age_ms=30 stop=moved "
         "stop_answer_age_ms=40",
         CW_PROOF_STOP_ANSWER},
        {"refused", REFUSED, "info",
         "reason=refused proof=start_answer proof_age_ms=30 state=starting "
         "lease=unproved",
         CW_PROOF_START_ANSWER},
        {"other worker", OTHER_WORKER, "info",
         "reason=other_worker proof=other_worker proof_age_ms=30",
         CW_PROOF_OTHER_WORKER},
        {"later worker of the VM", LATER_WORKER, "info",
         "worker=w1 born=1000 reason=replaced proof=later_worker "
         "proof_age_ms=30 proof_worker=w2 proof_born=2000",
         CW_PROOF_LATER_WORKER},
        {"lease", LEASE_PROVED, "info",
         "reason=lapsed proof=lease proof_age_ms=70 lease=proved "
         "lease_left_ms=-70",
         CW_PROOF_LEASE},
        {"lease, not proved", LEASE_UNPROVED, "info",
         "reason=lapsed proof=lease proof_age_ms=70 lease=unproved "
         "unproved_left_ms=-70",
         CW_PROOF_LEASE},
        {"unsent", UNSENT, "debug", "reason=unsent proof=unsent order=own",
         CW_PROOF_UNSENT},
        {"unsent, worker lost", UNSENT_WORKER_LOST, "info",
         "reason=other_worker proof=unsent", CW_PROOF_UNSENT},
        {"an earlier run done", EARLIER_DONE, "info",
         "run=2 worker=w2 reason=obsolete proof=earlier_run_done "
         "proof_worker=w1",
         CW_PROOF_DONE},
        {"run of a former scheduler", TAKEN_OVER, "info",
         "reason=unlisted order=former proof=report_unlisted proof_age_ms=30",
         CW_PROOF_REPORT},
        {"its lease", TAKEN_OVER_LEASE, "info",
         "reason=lapsed order=former proof=lease proof_age_ms=70",
         CW_PROOF_LEASE},
    };

    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_worker *w;
        uint64_t counted;

        begin();
        w = begin_run(cases[i].event);
        counted = f.s.given_up[cases[i].proof];
        end_run(cases[i].event, w);
        log_lines_expect(cases[i].name, cases[i].level, "run_given_up",
                         cases[i].fields);
        assert_int_equal(f.s.given_up[cases[i].proof] - counted,
                         cases[i].event == LASTING_DONE ? 0 : 1);
        if (only_task() != NULL) {
            assert_int_equal(only_task()->previous.proof, cases[i].proof);
        }
        end();
    }
}

/* A start that was never sent is no run: the one after it relies on the proof
 * of the run before both. */
static void
test_unsent_keeps_the_proof(void **state)
{
    (void)state;
    struct cw_worker *w;

    begin();
    w = begin_run(UNLISTED);
    end_run(UNLISTED, w);
    f.now += 1000;
    (void)jobs_flush(&f);
    assert_int_equal(only_task()->run, 2);
    cw_sched_stop_task(&f.s, only_task(), f.now);
    log_lines_expect("run 2", "debug", "run_given_up", "run=2 proof=unsent");
    assert_int_equal(only_task()->previous.run, 1);
    assert_int_equal(only_task()->previous.proof, CW_PROOF_REPORT);
    assert_string_equal(cw_start_path(only_task()), "repeat");
    end();
}

/* After a takeover, a start relies on the record alone when that shows no run
 * of the task. */
static void
test_takeover(void **state)
{
    (void)state;
    begin();
    (void)begin_run(TAKEN_OVER);
    log_lines_expect("one worker", "info", "takeover_runs",
                     "worker=w1 vm=v1 runs=1 proved=0 lease_left_ms=6331 "
                     "unproved_left_ms=6331");
    end_run(TAKEN_OVER, cw_sched_find_worker(&f.s, CW_LIT("w1")));
    /* No start until the record of the end is written. */
    cw_sched_find_worker(&f.s, CW_LIT("w1"))->retry_at = f.now + 60000;
    jobs_commit(&f);
    jobs_take_over(&f);
    assert_int_equal(only_task()->previous.proof, CW_PROOF_RECORD);
    assert_int_equal(only_task()->previous.run, 1);
    end();
}

/* One line a worker would flood the log of a large fleet. */
static void
test_takeover_of_many(void **state)
{
    (void)state;
    struct cw_job_spec s = jobs_spec(7, 21, 1000);

    jobs_setup(&f);
    for (uint32_t i = 0; i < 21; i++) {
        char id[16];

        (void)snprintf(id, sizeof(id), "w%u", i);
        (void)jobs_add_worker(&f, id, id, 1000);
    }
    (void)jobs_accept(&f, &s);
    jobs_commit(&f);
    log_lines_begin();
    jobs_take_over(&f);
    log_lines_expect("sums", "info", "takeover_runs", "workers=21 runs=21");
    assert_null(strstr(log_lines_text(), " worker="));
    end();
}

/* ---- stops and copies ---- */

/* Run 1 on w1, which is slow, and another worker with room. */
static struct cw_worker *
begin_overdue_run(bool speculative)
{
    struct cw_job_spec s = jobs_spec(7, 1, 1000);
    struct cw_worker *w = jobs_add_worker(&f, "w1", "v1", 1000);

    s.steps[0].speculative = speculative;
    f.s.uneven_workers = true;
    (void)jobs_accept(&f, &s);
    jobs_commit(&f);
    jobs_answer_starts(&f, 0);
    (void)jobs_add_worker(&f, "w2", "v2", 1000);
    f.now += 4000;
    w->speed.slow = true;
    w->seen_at = f.now;
    cw_sched_replace_overdue(&f.s, f.now);
    return w;
}

/* Two runs at a time that are meant are told from a fault by the log. */
static void
test_copy(void **state)
{
    (void)state;
    struct cw_worker *w;

    begin();
    w = begin_overdue_run(true);
    jobs_commit(&f);
    assert_int_equal(only_task()->run, 2);
    assert_string_equal(cw_start_path(only_task()), "copy");
    f.now += 100;
    jobs_report_end(&f, w, 1, f.ops[0].row, CW_END_FAILED);
    log_lines_expect("copy", "info", "run_given_up",
                     "run=1 worker=w1 reason=ended proof=report_end former=1");
    assert_string_equal(cw_start_path(only_task()), "repeat");
    assert_int_equal(only_task()->previous.run, 1);
    end();
}

static void
test_stop_causes(void **state)
{
    (void)state;
    static const enum cw_stop_cause cases[] = {
        CW_STOP_REPLACED, CW_STOP_REFUSED, CW_STOP_DRAINING};

    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_worker_entry e = {.born_wall = BORN, .draining = true};
        struct cw_worker *w;
        struct cw_run_row row;

        begin();
        w = cases[i] == CW_STOP_REPLACED  ? begin_overdue_run(false)
            : cases[i] == CW_STOP_REFUSED ? begin_run(REFUSED)
                                          : begin_run(LASTING_DONE);
        row = cw_task_row(only_task());
        if (cases[i] == CW_STOP_REFUSED) {
            cw_sched_start_answered(&f.s, w, &row, CW_START_NO_CAPACITY, true,
                                    f.now);
        }
        if (cases[i] == CW_STOP_DRAINING) {
            e.id = w->id;
            e.service = w->pool->service;
            e.address = w->address;
            (void)cw_sched_worker_listed(&f.s, &e, f.now);
        }
        /* A later cause does not hide the first one. */
        cw_sched_stop_task_for(&f.s, only_task(), CW_STOP_MOVED, f.now);
        assert_int_equal(jobs_count_ops(&f, 'x'), 1);
        f.now += 100;
        jobs_report_end(&f, w, 1, row, CW_END_STOPPED);
        assert_int_equal(only_task()->previous.stop_cause, cases[i]);
        assert_int_equal(only_task()->previous.run, 1);
        end();
    }
}

static void
test_gang_stop(void **state)
{
    (void)state;
    struct cw_job_spec s = jobs_spec(7, 2, 1000);
    struct cw_run_row row;
    struct cw_task *t;

    begin();
    (void)jobs_add_worker(&f, "w1", "v1", 1000);
    (void)jobs_add_worker(&f, "w2", "v2", 1000);
    s.steps[0].gang = true;
    t = jobs_accept(&f, &s)->tasks;
    jobs_commit(&f);
    row = cw_task_row(&t[0]);
    cw_sched_start_answered(&f.s, t[0].worker, &row, CW_START_NO_CAPACITY,
                            false, f.now);
    assert_int_equal(t[0].previous.proof, CW_PROOF_START_ANSWER);
    assert_int_equal(t[1].stop_cause, CW_STOP_GANG);
    end();
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_proofs),
        cmocka_unit_test(test_unsent_keeps_the_proof),
        cmocka_unit_test(test_takeover),
        cmocka_unit_test(test_takeover_of_many),
        cmocka_unit_test(test_copy),
        cmocka_unit_test(test_stop_causes),
        cmocka_unit_test(test_gang_stop),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
