#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "late_worker.h"

struct jobs_fixture late;

static void
late_begin_case(void)
{
    jobs_setup(&late);
    late.s.limits.max_hold_ms = LATE_MAX_HOLD_MS;
    late.s.limits.order_late_ms = LATE_ORDER_MS;
}

int
late_setup(void **state)
{
    (void)state;
    cw_logger_setup(CW_ERROR, stderr, NULL);
    late_begin_case();
    return 0;
}

int
late_teardown(void **state)
{
    (void)state;
    jobs_teardown(&late);
    return 0;
}

void
late_next_case(void)
{
    jobs_teardown(&late);
    late_begin_case();
}

/* ---- a worker that follows the platform's rules ---- */

static struct cw_run_row runs_[LATE_JOBS_MAX];
static uint32_t barred_[LATE_JOBS_MAX];

void
late_begin_life(struct late_worker *r, int64_t born)
{
    *r = (struct late_worker){.worker = r->worker,
                              .born = born,
                              .began = late.now - 100,
                              .runs = runs_,
                              .barred = barred_};
    memset(runs_, 0, sizeof(runs_));
    memset(barred_, 0, sizeof(barred_));
}

int64_t
late_clock(const struct late_worker *r)
{
    return late.now - r->began;
}

void
late_hold(struct late_worker *r, int64_t until_ms)
{
    int64_t left = until_ms - late_clock(r);

    left = left > LATE_MAX_HOLD_MS ? LATE_MAX_HOLD_MS : left;
    r->lapses = late.now + left > r->lapses ? late.now + left : r->lapses;
}

bool
late_carry_out(struct late_worker *r, const struct late_start *s)
{
    if (s->fence < r->fence || s->until_ms <= late_clock(r)) {
        return false;
    }
    r->fence = s->fence;
    late_hold(r, s->until_ms);
    if (s->row.run <= r->barred[s->row.job]) {
        return false;
    }
    r->runs[s->row.job] = s->row;
    return true;
}

void
late_report(struct late_worker *r, uint64_t fence)
{
    struct cw_run_row rows[LATE_JOBS_MAX];
    struct cw_run_report rep = {.sent_at = late.now,
                                .born_wall = r->born,
                                .clock_ms = late_clock(r),
                                .running = rows};

    r->fence = fence > r->fence ? fence : r->fence;
    for (size_t i = 0; i < LATE_JOBS_MAX; i++) {
        if (r->runs[i].run != 0) {
            rows[rep.running_count++] = r->runs[i];
        }
    }
    cw_sched_report(&late.s, r->worker, &rep, late.now);
}

/* ---- the scheduler ---- */

struct cw_worker *
late_list(const char *id, int64_t born, bool current)
{
    struct cw_worker_entry e = {.born_wall = born, .current = current};

    (void)cw_name_set(&e.id, cw_str_from(id));
    (void)cw_name_set(&e.vm, cw_str_from(id));
    (void)cw_name_set(&e.service, CW_LIT(JOBS_SERVICE));
    (void)cw_name_set(&e.address, CW_LIT("10.0.0.1:80"));
    e.capacity = (struct cw_resources){4000, 100000, 0};
    return cw_sched_worker_listed(&late.s, &e, late.now);
}

struct late_start
late_start_job(struct late_worker *r, uint64_t id, uint64_t fence)
{
    struct cw_job_spec spec = jobs_spec(id, 1, 1000);
    struct late_start s = {.fence = fence};

    jobs_accept(&late, &spec);
    jobs_commit(&late);
    assert_int_equal(late.ops[late.op_count - 1].kind, 's');
    s.row = late.ops[late.op_count - 1].row;
    s.until_ms = r->worker->lease_until_ms;
    assert_int_equal(s.row.job, id);
    return s;
}

void
late_begin(struct late_worker *r)
{
    r->worker = late_list("w1", late.now - 60000, true);
    late_begin_life(r, late.now - 60000);
    r->began = late.now - 60000;
    late_report(r, 1);
}

struct cw_task *
late_task(uint64_t id)
{
    struct cw_run_row r = {.job = id};

    return cw_sched_find_task(&late.s, &r);
}

void
late_run_to(cw_ms at)
{
    while (late.now < at) {
        late.now = late.now + LATE_STEP_MS < at ? late.now + LATE_STEP_MS : at;
        cw_sched_expire_leases(&late.s, late.now);
        jobs_commit(&late);
    }
}

bool
late_started_again(const struct cw_run_row *row)
{
    const struct cw_task *t = late_task(row->job);

    return t->run > row->run && t->state != CW_RUN_WAITING &&
           t->order_batch <= late.s.committed;
}

/* What became of a start whose first send had no answer: it ran, it ran and a
 * report listed it, or the repeat was refused and the run stopped. */

void
late_repeat_start(struct late_worker *r, const struct late_start *s,
                  enum late_repeat how)
{
    if (how == LATE_NO_ROOM) {
        late_hold(r, s->until_ms);
        cw_sched_start_answered(&late.s, r->worker, &s->row,
                                CW_START_NO_CAPACITY, true, late.now);
        r->barred[s->row.job] = s->row.run;
        cw_sched_stop_answered(&late.s, r->worker, &s->row, late.now);
    }
    else {
        assert_true(late_carry_out(r, s));
        cw_sched_start_answered(&late.s, r->worker, &s->row, CW_START_OK, true,
                                late.now);
    }
    late_run_to(late.now + 50);
    if (how != LATE_ACCEPTED) {
        late_report(r, 1);
    }
}
