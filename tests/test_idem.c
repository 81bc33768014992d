/* Tests idempotency intents: at most one run per key within the window, with
 * the same verdict on every daemon, in bounded memory; and the batching of
 * appends. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "cuminwalk.h"

#include <stdio.h>
#include <string.h>

#define FIRST CW_IDEM_FIRST
#define IN_USE CW_IDEM_IN_USE
#define RUN CW_IDEM_ALREADY_RUN
#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

static struct cw_idem_record
make_record(enum cw_idem_kind kind, uint64_t hash, int request)
{
    struct cw_idem_record r = {.kind = kind, .hash = hash, .status = 201};
    char text[16];
    snprintf(text, sizeof(text), "d-1-%d", request);
    cw_name_set(&r.request, cw_str_from(text));
    return r;
}

struct step {
    cw_ms time; /* seconds; 0 ends the list */
    char kind;  /* i intent, d done, r released */
    int request;
    enum cw_idem_verdict verdict; /* of intents */
};

static void
run_steps(const struct step *steps, cw_ms since, bool first_wins)
{
    struct cw_idem t;
    struct cw_idem_params params = cw_idem_defaults();
    params.first_wins = first_wins;
    cw_idem_init(&t, params);
    cw_idem_start_replay(&t, since);
    for (uint64_t i = 0; steps[i].time != 0; i++) {
        enum cw_idem_kind kind = steps[i].kind == 'i'   ? CW_IDEM_INTENT
                                 : steps[i].kind == 'd' ? CW_IDEM_DONE
                                                        : CW_IDEM_RELEASED;
        struct cw_idem_record r = make_record(kind, 7, steps[i].request);
        uint16_t status;
        enum cw_idem_verdict v =
            cw_idem_apply(&t, i + 1, steps[i].time * 1000, &r, &status);
        if (kind == CW_IDEM_INTENT) {
            assert_int_equal(v, steps[i].verdict);
            assert_int_equal(status, v == CW_IDEM_ALREADY_RUN ? 201 : 0);
        }
    }
    cw_idem_finish(&t);
}

/* Two requests with the same key must not both run. A key must not stay in use
 * after its request was released unsent, nor for longer than the window. */
static void
test_first_in_log_wins(void **state)
{
    (void)state;
    static const struct step cases[][7] = {
        {{1, 'i', 1, FIRST}, {1, 'i', 2, IN_USE}, {5, 'i', 3, IN_USE}},
        {{1, 'i', 1, FIRST}, {2, 'd', 1, 0}, {3, 'i', 2, RUN}},
        {{1, 'i', 1, FIRST},
         {2, 'r', 1, 0},
         {3, 'i', 2, FIRST},
         {4, 'i', 3, IN_USE}},
        /* a request that lost can't complete the winner's intent */
        {{1, 'i', 1, FIRST},
         {2, 'i', 2, IN_USE},
         {2, 'r', 2, 0},
         {3, 'i', 3, IN_USE}},
        /* neither done nor released can be undone */
        {{1, 'i', 1, FIRST}, {2, 'd', 1, 0}, {3, 'r', 1, 0}, {4, 'i', 2, RUN}},
        {{1, 'i', 1, FIRST},
         {2, 'r', 1, 0},
         {3, 'd', 1, 0},
         {4, 'i', 2, FIRST}},
        /* the daemon that wrote the intent died: in use until the window
         * ends */
        {{1, 'i', 1, FIRST},
         {600, 'i', 2, IN_USE},
         {601, 'i', 3, FIRST},
         {602, 'i', 4, IN_USE}},
        /* an append that was repeated after a lost response */
        {{1, 'i', 1, FIRST}, {1, 'i', 1, IN_USE}},
        {{1, 'i', 1, FIRST},
         {2, 'r', 1, 0},
         {3, 'i', 1, IN_USE},
         {4, 'i', 2, FIRST}},
    };
    for (size_t i = 0; i < COUNT(cases); i++) {
        run_steps(cases[i], 0, true);
    }
    static const struct step off[] = {
        {1, 'i', 1, FIRST}, {2, 'd', 1, 0}, {3, 'i', 2, FIRST}, {0}};
    run_steps(off, 0, false);
}

/* A daemon that has not read the whole window cannot tell whether its intent
 * is the first one. */
static void
test_window_not_fully_read(void **state)
{
    (void)state;
    static const struct step early[] = {{1500, 'i', 1, CW_IDEM_NOT_KNOWN},
                                        {1501, 'i', 2, CW_IDEM_IN_USE},
                                        {0}};
    static const struct step late[] = {{1601, 'i', 1, CW_IDEM_FIRST}, {0}};
    run_steps(early, 1000 * 1000, true);
    run_steps(late, 1000 * 1000, true);
    run_steps(early, INT64_MAX, true);
}

/* Random intents and completions on few keys: replicas must agree, also when
 * they expire at different times, and a key must run once per window. */
static void
test_at_most_once(void **state)
{
    (void)state;
    struct cw_idem t[2];
    struct cw_rng rng;
    cw_ms last_run[16];
    int open[16] = {0};
    int runs = 0;
    cw_rng_init(&rng, 3);
    for (int i = 0; i < 16; i++) {
        last_run[i] = -CW_HOUR;
    }
    for (int k = 0; k < 2; k++) {
        cw_idem_init(&t[k], cw_idem_defaults());
        cw_idem_start_replay(&t[k], 0);
    }
    cw_ms now = 0;
    for (int i = 1; i < 20000; i++) {
        now += (cw_ms)cw_rng_below(&rng, 4000);
        uint64_t key = cw_rng_below(&rng, 16);
        enum cw_idem_kind kind = (enum cw_idem_kind)cw_rng_below(&rng, 3);
        struct cw_idem_record r =
            make_record(kind, key, kind == CW_IDEM_INTENT ? i : open[key]);
        uint16_t status;
        enum cw_idem_verdict v[2];
        for (int k = 0; k < 2; k++) {
            v[k] = cw_idem_apply(&t[k], (uint64_t)i, now, &r, &status);
        }
        assert_int_equal(v[0], v[1]);
        if (cw_rng_below(&rng, 50) == 0) {
            cw_idem_expire(&t[1], now);
        }
        if (kind == CW_IDEM_INTENT && v[0] == CW_IDEM_FIRST) {
            open[key] = i;
        }
        if (kind == CW_IDEM_DONE && v[0] == CW_IDEM_FIRST) {
            assert_true(now - last_run[key] >= 0);
            runs++;
            last_run[key] = now;
        }
        if (kind == CW_IDEM_INTENT && v[0] == CW_IDEM_FIRST) {
            /* After a run within the window the key would still be in use. */
            assert_true(now - last_run[key] > 0);
        }
    }
    assert_true(runs > 100);
    cw_idem_finish(&t[0]);
    cw_idem_finish(&t[1]);
}

/* More keys than max_items must not use more memory, and a key that was
 * dropped for lack of space must not run a second time. */
static void
test_max_items(void **state)
{
    (void)state;
    struct cw_idem t;
    struct cw_idem_params params = cw_idem_defaults();
    params.max_items = 1000;
    cw_idem_init(&t, params);
    cw_idem_start_replay(&t, 0);
    uint16_t status;
    size_t memory = 0;
    for (uint64_t i = 1; i <= 5000; i++) {
        struct cw_idem_record r = make_record(CW_IDEM_INTENT, i, (int)i);
        enum cw_idem_verdict v = cw_idem_apply(&t, i, CW_SECOND, &r, &status);
        assert_int_equal(v, i <= 1000 ? CW_IDEM_FIRST : CW_IDEM_NOT_KNOWN);
        memory = i == 1000 ? cw_idem_memory(&t) : memory;
    }
    assert_int_equal(cw_idem_memory(&t), memory);
    struct cw_idem_record again = make_record(CW_IDEM_INTENT, 4000, 9001);
    assert_int_equal(cw_idem_apply(&t, 5001, 2 * CW_SECOND, &again, &status),
                     CW_IDEM_NOT_KNOWN);
    /* One window later all intents are known again. */
    struct cw_idem_record fresh = make_record(CW_IDEM_INTENT, 4000, 9002);
    assert_int_equal(cw_idem_apply(&t, 5002, 700 * CW_SECOND, &fresh, &status),
                     CW_IDEM_FIRST);
    assert_int_equal(t.count, 1);
    assert_non_null(cw_idem_find(&t, 4000, 701 * CW_SECOND));
    assert_null(cw_idem_find(&t, 1, 701 * CW_SECOND));
    cw_idem_finish(&t);
}

/* A record that parses to other values than were printed would let the wrong
 * request run. */
static void
test_record_round_trip(void **state)
{
    (void)state;
    struct cw_idem_record r = make_record(CW_IDEM_DONE, 0xfedcba9876543210, 5);
    cw_name_set(&r.id, CW_LIT("d-1-9"));
    cw_name_set(&r.by, CW_LIT("d"));
    r.time = 1764825240000;
    struct cw_buf b;
    struct cw_idem_record parsed;
    char msg[CW_MSG_MAX];
    cw_buf_init(&b);
    cw_idem_record_print(&r, &b);
    assert_int_equal(cw_idem_record_parse(&parsed, cw_buf_str(&b), msg),
                     CW_OK);
    assert_true(parsed.kind == r.kind && parsed.hash == r.hash &&
                parsed.time == r.time && parsed.status == 201 &&
                cw_name_eq(&parsed.request, &r.request) &&
                cw_name_eq(&parsed.id, &r.id) &&
                cw_name_eq(&parsed.by, &r.by));
    cw_buf_finish(&b);
    static const char *bad[] = {
        "",
        "[]",
        "{\"type\":\"intent\"}",
        "{\"type\":\"x\",\"id\":\"a\",\"by\":\"b\",\"request\":\"c\","
        "\"time\":1,\"hash\":\"0123456789abcdef\"}",
        "{\"type\":\"intent\",\"id\":\"a\",\"by\":\"b\",\"request\":\"c\","
        "\"time\":1,\"hash\":\"0123456789abcdeg\"}",
        "{\"type\":\"done\",\"id\":\"a\",\"by\":\"b\",\"request\":\"c\","
        "\"time\":1,\"hash\":\"0123456789abcdef\"}",
    };
    for (size_t i = 0; i < COUNT(bad); i++) {
        assert_int_equal(
            cw_idem_record_parse(&parsed, cw_str_from(bad[i]), msg),
            CW_ERR_INVALID);
    }
}

/* One append per request would exceed the rate that the log accepts; a batch
 * that waits too long makes its requests miss their deadlines. */
static void
test_batch(void **state)
{
    (void)state;
    struct cw_batch b;
    struct cw_batch_item items[600] = {0};
    struct cw_batch_item *out[300];
    cw_batch_init(&b, cw_batch_defaults());
    assert_int_equal(cw_batch_wait_ms(&b, 0), -1);
    for (int i = 0; i < 600; i++) {
        assert_int_equal(cw_batch_add(&b, &items[i], false), CW_OK);
    }
    assert_true(cw_batch_cancel(&b, &items[1]));
    assert_int_equal(cw_batch_take(&b, 0, out, 300), 256);
    assert_true(out[0] == &items[0] && out[1] == &items[2]);
    assert_false(cw_batch_cancel(&b, &items[0]));
    assert_int_equal(cw_batch_take(&b, 20, out, 300), 0);
    assert_int_equal(cw_batch_wait_ms(&b, 20), 30);
    assert_int_equal(cw_batch_take(&b, 50, out, 300), 256);
    assert_int_equal(cw_batch_take(&b, 100, out, 300), 87);
    assert_int_equal(cw_batch_wait_ms(&b, 500), -1);
}

/* While the log doesn't answer, the appends in flight and the waiting records
 * must stay bounded, but the done or released record of a request must not be
 * refused. */
static void
test_batch_log_unavailable(void **state)
{
    (void)state;
    struct cw_batch b;
    struct cw_batch_item items[10] = {0};
    struct cw_batch_item *out[4];
    struct cw_batch_params p = cw_batch_defaults();
    p.max_in_flight = 1;
    p.max_waiting = 2;
    cw_batch_init(&b, p);
    cw_batch_add(&b, &items[0], false);
    assert_int_equal(cw_batch_take(&b, 0, out, 4), 1);
    cw_batch_add(&b, &items[1], false);
    cw_batch_add(&b, &items[2], false);
    assert_int_equal(cw_batch_add(&b, &items[3], false), CW_ERR_LIMIT);
    assert_int_equal(cw_batch_add(&b, &items[4], true), CW_OK);
    assert_int_equal(cw_batch_take(&b, 1000, out, 4), 0);
    cw_batch_append_answered(&b);
    assert_int_equal(cw_batch_take(&b, 1000, out, 4), 3);
    /* Batching off: one record per append. */
    p.every_ms = 0;
    cw_batch_init(&b, p);
    cw_batch_add(&b, &items[5], false);
    cw_batch_add(&b, &items[6], false);
    assert_int_equal(cw_batch_take(&b, 0, out, 4), 1);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_first_in_log_wins),
        cmocka_unit_test(test_window_not_fully_read),
        cmocka_unit_test(test_at_most_once),
        cmocka_unit_test(test_max_items),
        cmocka_unit_test(test_record_round_trip),
        cmocka_unit_test(test_batch),
        cmocka_unit_test(test_batch_log_unavailable),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
