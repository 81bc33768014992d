/* Tests when a daemon reads the operators' records, and what it does with a
 * read that is open when it has to know of a newer configuration. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "jobd_rig.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define READS_MAX 16
#define TEXT_MAX 256

static struct rig r;

static struct {
    bool latest;
    struct cw_store_read read;
    cw_store_page_done done;
    void *arg;
} reads[READS_MAX];
static size_t read_count;
static size_t answered; /* reads before this one */
static size_t cancelled;

static void
add_read(bool latest, const struct cw_store_read *read,
         cw_store_page_done done, void *arg)
{
    assert_true(read_count < READS_MAX);
    reads[read_count].latest = latest;
    reads[read_count].read = *read;
    reads[read_count].done = done;
    reads[read_count++].arg = arg;
}

static void
read_latest(void *ctx, enum cw_stream stream, struct cw_str after,
            cw_ms timeout, size_t *received, cw_store_page_done done,
            void *arg)
{
    (void)ctx;
    (void)after;
    assert_int_equal(stream, CW_STREAM_OPERATORS);
    struct cw_store_read read = {stream, 0, 0, timeout, received};

    add_read(true, &read, done, arg);
}

static void
read_from(void *ctx, const struct cw_store_read *read, cw_store_page_done done,
          void *arg)
{
    (void)ctx;
    assert_int_equal(read->stream, CW_STREAM_OPERATORS);
    add_read(false, read, done, arg);
}

/* Only the oldest read without an answer can be replaced. */
static void
cancel_read(void *ctx, const size_t *received)
{
    struct cw_store_page none = {0};

    (void)ctx;
    assert_true(answered < read_count);
    assert_ptr_equal(reads[answered].read.received, received);
    cancelled++;
    answered++;
    reads[answered - 1].done(reads[answered - 1].arg, CW_ERR_UNKNOWN, &none);
}

static int
setup(void **state)
{
    (void)state;
    rig_init(&r);
    r.d.ports.store.read_latest = read_latest;
    r.d.ports.store.read = read_from;
    r.d.ports.store.read_cancel = cancel_read;
    r.d.operators_loaded = true;
    r.d.operators_next_offset = 5;
    read_count = 0;
    answered = 0;
    cancelled = 0;
    return 0;
}

/* Answers the oldest read without an answer with a configuration; version 0:
 * with none. */
static void
answer(uint64_t version, bool more)
{
    char text[TEXT_MAX];
    int n = snprintf(text, sizeof(text),
                     "{\"version\":%llu,\"routes\":[],\"services\":[]}",
                     (unsigned long long)version);
    struct cw_store_record row = {CW_LIT("config"), {text, (size_t)n}};
    struct cw_store_page p = {.records = &row,
                              .count = version > 0 ? 1 : 0,
                              .next = 6,
                              .more = more,
                              .bytes = (size_t)n};

    assert_true(answered < read_count);
    reads[answered].done(reads[answered].arg, CW_OK, &p);
    answered++;
}

static int
teardown(void **state)
{
    (void)state;
    while (answered < read_count) {
        answer(0, false);
    }
    rig_finish(&r);
    cw_fleet_config_finish(&r.d.config);
    return 0;
}

static void
tick(cw_ms ms)
{
    rig_advance(&r, ms);
    cw_watch_operators(&r.d, cw_jobd_now(&r.d));
}

/* CONFIG: each probe answer that told of a newer version replaced the read
 * that was receiving it, and a whole answer was dropped. A read that has
 * received nothing may wait on a dead connection and is replaced. */
static void
test_read_in_progress_is_kept(void **state)
{
    (void)state;
    static const struct {
        size_t received;
        size_t replaced; /* by three probe answers */
    } cases[] = {{0, 2}, {1, 0}, {400000, 0}};

    for (size_t i = 0; i < COUNT(cases); i++) {
        r.d.scheduler_conn_open = true;
        r.d.scheduler_confirmed_at = cw_jobd_now(&r.d);
        tick(0);
        *reads[0].read.received = cases[i].received;
        for (int k = 0; k < 3; k++) {
            rig_advance(&r, 1000);
            r.d.scheduler_confirmed_at = cw_jobd_now(&r.d);
            cw_watch_config_behind(&r.d, 2);
            tick(0);
        }
        assert_int_equal(read_count, 1 + cases[i].replaced);
        assert_int_equal(cancelled, cases[i].replaced);
        answer(2, false);
        assert_int_equal(r.d.config.version, 2);
        (void)teardown(NULL);
        (void)setup(NULL);
    }
}

/* The same where keys need a proof: a read that would wait is replaced when
 * the proof is due, one that receives records is not. */
static void
test_proof_due_while_receiving(void **state)
{
    (void)state;

    for (size_t received = 0; received < 2; received++) {
        r.d.settings.strict_revoke = true;
        r.d.settings.revoke_ms = 5000;
        r.d.config.needs_keys = true;
        cw_proof_add(&r.d, cw_jobd_now(&r.d));
        tick(0);
        assert_true(reads[0].read.wait_ms > 0);
        *reads[0].read.received = received;
        tick(3000);
        assert_true(cw_proof_renew_due(&r.d, cw_jobd_now(&r.d)));
        assert_int_equal(read_count, received > 0 ? 1 : 2);
        assert_int_equal(cancelled, received > 0 ? 0 : 1);
        (void)teardown(NULL);
        (void)setup(NULL);
    }
}

/* Guards against a daemon that was cut off and replays each version that it
 * has missed, on a link that takes a second for one: what does not fit one
 * answer is loaded as the newest record of each key, and then followed. */
static void
test_missed_versions_are_skipped(void **state)
{
    (void)state;
    static const struct {
        bool more;
        bool latest; /* the read after the answer */
    } cases[] = {{false, false}, {true, true}};

    for (size_t i = 0; i < COUNT(cases); i++) {
        tick(0);
        answer(2, cases[i].more);
        tick(0);
        assert_int_equal(read_count, 2);
        assert_int_equal(reads[1].latest, cases[i].latest);
        answer(9, false);
        assert_int_equal(r.d.config.version, 9);
        tick(0);
        assert_int_equal(read_count, 3);
        assert_false(reads[2].latest);
        assert_int_equal(reads[2].read.from, 6);
        (void)teardown(NULL);
        (void)setup(NULL);
    }
}

/* Answers the oldest read without an answer: it failed. */
static void
fail_read(void)
{
    struct cw_store_page none = {0};

    assert_true(answered < read_count);
    answered++;
    reads[answered - 1].done(reads[answered - 1].arg, CW_ERR_UNKNOWN, &none);
}

/* Guards against reads that never get their answer because many daemons read a
 * large record at once and each is given up, or replaced, before its turn: the
 * next one is last in the store's queue again. */
static void
test_unanswered_reads_get_more_time(void **state)
{
    (void)state;
    static const cw_ms limits[] = {700, 1400, 1800, 1800};
    static const cw_ms replaced_at[] = {300, 900, 2100, 3900, 5700};
    size_t n = 0;

    r.d.scheduler_conn_open = true;
    tick(1000);
    cw_watch_config_behind(&r.d, 2);
    for (size_t i = 0; i < COUNT(limits); i++) {
        assert_int_equal(read_count, i + 1);
        assert_int_equal(reads[i].read.timeout_ms, limits[i]);
        r.d.scheduler_confirmed_at = cw_jobd_now(&r.d);
        fail_read();
        tick(200);
    }
    answer(2, false);
    tick(0);
    assert_int_equal(reads[read_count - 1].read.timeout_ms, limits[0]);
    cw_watch_config_behind(&r.d, 3);
    for (cw_ms ms = 0; ms <= 7000; ms += 100) {
        r.d.scheduler_confirmed_at = cw_jobd_now(&r.d);
        tick(0);
        if (n < COUNT(replaced_at) && replaced_at[n] == ms) {
            n++;
        }
        assert_int_equal(cancelled, n);
        rig_advance(&r, 100);
    }
    assert_int_equal(n, COUNT(replaced_at));
}

/* CONFIG: after an outage of the store a daemon had its next read 3.8 s later,
 * as the limits had grown with the reads that failed in the outage. */
static void
test_outage_keeps_the_limits(void **state)
{
    (void)state;
    static const struct {
        bool news;      /* before the outage */
        bool scheduler; /* in contact during it */
        cw_ms timeout_ms;
    } cases[] = {{false, true, 700}, {true, false, 700}, {true, true, 1800}};

    for (size_t i = 0; i < COUNT(cases); i++) {
        r.d.scheduler_conn_open = true;
        tick(0);
        if (cases[i].news) {
            cw_watch_config_behind(&r.d, 2);
        }
        for (int k = 0; k < 3; k++) {
            r.d.scheduler_confirmed_at =
                cases[i].scheduler ? cw_jobd_now(&r.d) : 0;
            fail_read();
            tick(200);
        }
        assert_int_equal(reads[3].read.timeout_ms, cases[i].timeout_ms);
        (void)teardown(NULL);
        (void)setup(NULL);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_read_in_progress_is_kept, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_proof_due_while_receiving, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_missed_versions_are_skipped,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(test_unanswered_reads_get_more_time,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(test_outage_keeps_the_limits, setup,
                                        teardown),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
