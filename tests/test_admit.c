/* Tests the admission queue: order, fairness, deadlines and bounds. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "cuminwalk.h"

#include <stdlib.h>
#include <string.h>

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

static struct cw_admit_item *
make_item(uint64_t caller, enum cw_priority priority, cw_ms deadline)
{
    struct cw_admit_item *i = calloc(1, sizeof(*i));
    assert_non_null(i);
    i->caller = caller;
    i->priority = priority;
    i->deadline = deadline;
    return i;
}

static enum cw_admit_verdict
offer_item(struct cw_admit *q, uint64_t caller, enum cw_priority p,
           cw_ms deadline, cw_ms now)
{
    struct cw_admit_item *evicted;
    struct cw_admit_item *i = make_item(caller, p, deadline);
    enum cw_admit_verdict v = cw_admit_offer(q, i, now, &evicted);
    if (v != CW_ADMIT_QUEUED) {
        free(i);
    }
    free(evicted);
    return v;
}

static void
finish_queue(struct cw_admit *q)
{
    while (q->all_first != NULL) {
        struct cw_admit_item *i = q->all_first;
        cw_admit_remove(q, i, 0);
        free(i);
    }
    cw_admit_finish(q);
}

/* Offers one request per character at time 0 (upper case is urgent, lower case
 * normal, a digit batch; the character is the caller) and writes the order in
 * which they leave at time now. The deadlines grow by 1 from request to
 * request and so identify the requests of a caller. */
static void
serve_all(const char *in, char *out, struct cw_admit_params params, cw_ms now,
          cw_ms *deadlines)
{
    struct cw_admit q;
    params.early_refuse = false;
    cw_admit_init(&q, params);
    for (size_t i = 0; in[i] != 0; i++) {
        enum cw_priority p = in[i] < 'A'   ? CW_BATCH
                             : in[i] < 'a' ? CW_URGENT
                                           : CW_NORMAL;
        assert_int_equal(
            offer_item(&q, (uint64_t)in[i], p, 100000 + (cw_ms)i, 0),
            CW_ADMIT_QUEUED);
    }
    struct cw_admit_item *item;
    size_t n = 0;
    while ((item = cw_admit_dequeue(&q, now)) != NULL) {
        deadlines[n] = item->deadline - 100000;
        out[n++] = (char)item->caller;
        free(item);
    }
    out[n] = 0;
    cw_admit_finish(&q);
}

/* A caller with many requests must not delay one with few; batch requests must
 * not delay urgent ones. */
static void
test_order(void **state)
{
    (void)state;
    struct cw_admit_params unfair = cw_admit_defaults();
    unfair.fair = false;
    struct cw_admit_params flat = unfair;
    flat.priorities = false;
    const struct {
        const char *in, *out;
        struct cw_admit_params params;
    } cases[] = {
        {"aaaabbc", "abcabaa", cw_admit_defaults()},
        {"aaaabbc", "aaaabbc", unfair},
        {"1aA2bB", "ABab12", cw_admit_defaults()},
        {"1aA2bB", "1aA2bB", flat},
        {"", "", cw_admit_defaults()},
    };
    for (size_t i = 0; i < COUNT(cases); i++) {
        char out[16];
        cw_ms deadlines[16];
        serve_all(cases[i].in, out, cases[i].params, 10, deadlines);
        assert_string_equal(out, cases[i].out);
    }
}

/* In a lasting overload the oldest requests are close to their deadline:
 * serving them first makes every request late. */
static void
test_adaptive_lifo(void **state)
{
    (void)state;
    struct cw_admit_params on = cw_admit_defaults();
    on.order = CW_ORDER_ADAPTIVE;
    const struct {
        cw_ms now;
        struct cw_admit_params params;
        bool newest_first;
    } cases[] = {{500, on, false},
                 {1000, on, false},
                 {1001, on, true},
                 {5000, cw_admit_defaults(), false}};
    for (size_t i = 0; i < COUNT(cases); i++) {
        char out[8];
        cw_ms d[8];
        serve_all("aaaa", out, cases[i].params, cases[i].now, d);
        for (int k = 0; k < 4; k++) {
            assert_int_equal(d[k], cases[i].newest_first ? 3 - k : k);
        }
    }
}

/* A caller with expensive requests must not be served a larger total cost than
 * one with cheap requests. */
static void
test_cost_fairness(void **state)
{
    (void)state;
    struct cw_admit q;
    cw_admit_init(&q, cw_admit_defaults());
    struct cw_admit_item *evicted;
    for (int i = 0; i < 40; i++) {
        struct cw_admit_item *a = make_item(1, CW_NORMAL, 10000);
        struct cw_admit_item *b = make_item(2, CW_NORMAL, 10000);
        a->cost = 4;
        b->cost = 1;
        cw_admit_offer(&q, a, 0, &evicted);
        cw_admit_offer(&q, b, 0, &evicted);
    }
    uint32_t cost[3] = {0};
    for (int i = 0; i < 30; i++) {
        struct cw_admit_item *item = cw_admit_dequeue(&q, 1);
        cost[item->caller] += item->cost;
        free(item);
    }
    assert_in_range(cost[1], 20, 28);
    assert_in_range(cost[2], 20, 28);
    finish_queue(&q);
}

/* Leaves n requests of caller 1 waiting in a queue that has served 10 requests
 * per 100 ms from time 0 to 1000, so that its rate is known. */
static void
setup_backlog(struct cw_admit *q, struct cw_admit_params params, uint32_t n)
{
    params.order = CW_ORDER_OLDEST;
    cw_admit_init(q, params);
    for (uint32_t i = 0; i < n + 100; i++) {
        assert_int_equal(offer_item(q, 1, CW_NORMAL, 1000000, 0),
                         CW_ADMIT_QUEUED);
    }
    for (cw_ms t = 10; t <= 1000; t += 10) {
        free(cw_admit_dequeue(q, t));
        cw_admit_record_service_time(q, 50, t);
    }
    assert_int_equal(q->count, n);
}

/* A request that would miss its deadline must be refused on arrival, which
 * saves its caller the wait; one that would be served in time must not be
 * refused because others wait. */
static void
test_early_refusal(void **state)
{
    (void)state;
    struct cw_admit_params off = cw_admit_defaults();
    off.early_refuse = false;
    const struct {
        uint64_t caller;
        cw_ms time_left;
        struct cw_admit_params params;
        enum cw_priority priority;
        enum cw_admit_verdict verdict;
    } cases[] = {
        /* 200 wait, 100 are served in a second */
        {1, 1500, cw_admit_defaults(), CW_NORMAL, CW_ADMIT_LATE},
        {1, 3000, cw_admit_defaults(), CW_NORMAL, CW_ADMIT_QUEUED},
        {1, 1500, off, CW_NORMAL, CW_ADMIT_QUEUED},
        {1, 0, off, CW_NORMAL, CW_ADMIT_LATE},
        /* another caller's turn comes soon; urgent requests go first */
        {2, 200, cw_admit_defaults(), CW_NORMAL, CW_ADMIT_QUEUED},
        {1, 200, cw_admit_defaults(), CW_URGENT, CW_ADMIT_QUEUED},
        {2, 1500, cw_admit_defaults(), CW_BATCH, CW_ADMIT_LATE},
        /* the wait ends before the deadline, the service time doesn't */
        {2, 55, cw_admit_defaults(), CW_NORMAL, CW_ADMIT_LATE},
    };
    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_admit q;
        setup_backlog(&q, cases[i].params, 200);
        assert_int_equal(offer_item(&q, cases[i].caller, cases[i].priority,
                                    1000 + cases[i].time_left, 1000),
                         cases[i].verdict);
        finish_queue(&q);
    }
}

/* When all endpoints are lost, the rate measured before must not be used any
 * longer: it would let requests wait that no endpoint can serve. */
static void
test_stale_rate(void **state)
{
    (void)state;
    struct cw_admit q;
    setup_backlog(&q, cw_admit_defaults(), 100);
    double before = cw_admit_wait_ms(&q, 1, CW_NORMAL, 1010);
    assert_true(before > 800 && before < 1300);
    assert_true(cw_admit_wait_ms(&q, 1, CW_NORMAL, 6000) > 20 * before);
    finish_queue(&q);
}

/* Without a bound a burst uses up the memory; with a bound but no fairness, a
 * caller that fills the queue keeps the others out. */
static void
test_bound(void **state)
{
    (void)state;
    struct cw_admit_params unbounded = cw_admit_defaults();
    unbounded.bound = 0;
    struct cw_admit_params unfair = cw_admit_defaults();
    unfair.fair = false;
    const struct {
        uint64_t caller;
        struct cw_admit_params params;
        enum cw_priority priority;
        enum cw_admit_verdict verdict;
        uint32_t count;
    } cases[] = {
        {1, cw_admit_defaults(), CW_NORMAL, CW_ADMIT_FULL, 512},
        {2, cw_admit_defaults(), CW_NORMAL, CW_ADMIT_QUEUED, 512},
        {1, cw_admit_defaults(), CW_URGENT, CW_ADMIT_QUEUED, 512},
        {2, cw_admit_defaults(), CW_BATCH, CW_ADMIT_FULL, 512},
        {2, unfair, CW_NORMAL, CW_ADMIT_FULL, 512},
        {1, unbounded, CW_NORMAL, CW_ADMIT_QUEUED, 513},
    };
    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_admit q;
        cw_admit_init(&q, cases[i].params);
        for (int k = 0; k < 512; k++) {
            offer_item(&q, 1, CW_NORMAL, 10000, 0);
        }
        assert_int_equal(
            offer_item(&q, cases[i].caller, cases[i].priority, 10000, 0),
            cases[i].verdict);
        assert_int_equal(q.count, cases[i].count);
        finish_queue(&q);
    }
}

/* A request with a late deadline must not make one with an early deadline
 * miss it. */
static void
test_deadline_order(void **state)
{
    (void)state;
    static const cw_ms deadlines[] = {9000, 2000, 5000, 2000};
    static const struct {
        enum cw_admit_order order;
        cw_ms out[4];
    } cases[] = {{CW_ORDER_DEADLINE, {2000, 2000, 5000, 9000}},
                 {CW_ORDER_OLDEST, {9000, 2000, 5000, 2000}}};
    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_admit q;
        struct cw_admit_params params = cw_admit_defaults();
        params.order = cases[i].order;
        cw_admit_init(&q, params);
        for (int k = 0; k < 4; k++) {
            offer_item(&q, 1, CW_NORMAL, deadlines[k], 0);
        }
        for (int k = 0; k < 4; k++) {
            struct cw_admit_item *item = cw_admit_dequeue(&q, 10);
            assert_int_equal(item->deadline, cases[i].out[k]);
            free(item);
        }
        cw_admit_finish(&q);
    }
}

/* A sweep must return a request that can't be served in time any more because
 * urgent ones go first, well before its deadline, and must leave those that
 * can. */
static void
test_sweep(void **state)
{
    (void)state;
    for (int on = 0; on < 2; on++) {
        struct cw_admit q;
        struct cw_admit_params params = cw_admit_defaults();
        params.sweep = on;
        setup_backlog(&q, params, 200); /* served in 2 s */
        struct cw_admit_item *evicted;
        struct cw_admit_item *item = make_item(1, CW_NORMAL, 3500);
        cw_admit_offer(&q, item, 1000, &evicted);
        assert_null(cw_admit_dequeue_expired(&q, 1010));
        /* These go first and take another 1.5 s. */
        for (int k = 0; k < 150; k++) {
            offer_item(&q, 1, CW_URGENT, 100000, 1020);
        }
        struct cw_admit_item *late = cw_admit_dequeue_expired(&q, 1100);
        assert_true(on ? late == item : late == NULL);
        free(late);
        assert_null(cw_admit_dequeue_expired(&q, 1100));
        finish_queue(&q);
    }
}

/* A request whose deadline has passed must never be sent, and must be returned
 * for refusal. */
static void
test_expired(void **state)
{
    (void)state;
    struct cw_admit q;
    cw_admit_init(&q, cw_admit_defaults());
    offer_item(&q, 1, CW_NORMAL, 100, 0);
    offer_item(&q, 1, CW_NORMAL, 300, 0);
    offer_item(&q, 2, CW_NORMAL, 100, 0);
    assert_int_equal(cw_admit_delay(&q, 50), 50);
    struct cw_admit_item *sent = cw_admit_dequeue(&q, 200);
    assert_int_equal(sent->deadline, 300);
    free(sent);
    assert_null(cw_admit_dequeue(&q, 200));
    for (int i = 0; i < 2; i++) {
        struct cw_admit_item *late = cw_admit_dequeue_expired(&q, 200);
        assert_int_equal(late->deadline, 100);
        free(late);
    }
    assert_null(cw_admit_dequeue_expired(&q, 200));
    assert_int_equal(q.count, 0);
    assert_int_equal(cw_admit_delay(&q, 200), 0);
    cw_admit_finish(&q);
}

/* A misparsed priority would serve batch requests before urgent ones. */
static void
test_priority_parse(void **state)
{
    (void)state;
    enum cw_priority p = CW_NORMAL;
    assert_true(cw_priority_parse(CW_LIT("batch"), &p) && p == CW_BATCH);
    assert_true(cw_priority_parse(CW_LIT("urgent"), &p) && p == CW_URGENT);
    assert_false(cw_priority_parse(CW_LIT("Urgent"), &p));
    assert_false(cw_priority_parse(CW_LIT(""), &p));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_order),
        cmocka_unit_test(test_adaptive_lifo),
        cmocka_unit_test(test_cost_fairness),
        cmocka_unit_test(test_early_refusal),
        cmocka_unit_test(test_stale_rate),
        cmocka_unit_test(test_bound),
        cmocka_unit_test(test_deadline_order),
        cmocka_unit_test(test_sweep),
        cmocka_unit_test(test_expired),
        cmocka_unit_test(test_priority_parse),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
