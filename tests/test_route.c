/* Tests endpoint choice, ejection, adaptive limits and leaving endpoints. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "cuminwalk.h"

#include <stdio.h>
#include <string.h>

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define ENDPOINTS 6

struct pool {
    struct cw_slots slots;
    struct cw_route route;
    struct cw_endpoint eps[ENDPOINTS];
    struct cw_rng rng;
};

/* One daemon that holds all 8 slots of each of ENDPOINTS ready endpoints.
 * Their slow start is over at time 100000. */
static void
setup_pool(struct pool *p, struct cw_route_params params)
{
    struct cw_slot_member self = {.incarnation = 1};
    struct cw_slot_endpoint eps[ENDPOINTS];
    cw_name_set(&self.daemon, CW_LIT("d"));
    cw_name_set(&self.dc, CW_LIT("a"));
    for (int i = 0; i < ENDPOINTS; i++) {
        char vm[8];
        snprintf(vm, sizeof(vm), "vm%d", i);
        eps[i] = (struct cw_slot_endpoint){.dc = self.dc, .slots = 8};
        cw_name_set(&eps[i].vm, cw_str_from(vm));
    }
    struct cw_slots_view v = {1, false, 1, &self, ENDPOINTS, eps};
    cw_slots_init(&p->slots, CW_LIT("d"), 1, cw_slots_defaults());
    assert_int_equal(cw_slots_update(&p->slots, &v, 0), CW_OK);
    cw_slots_set_confirmed(&p->slots, true);
    cw_slots_activate_pending(&p->slots, 0);
    assert_int_equal(cw_slots_activate_pending(&p->slots, 4000),
                     8 * ENDPOINTS);
    cw_route_init(&p->route, params);
    cw_rng_init(&p->rng, 1);
    for (int i = 0; i < ENDPOINTS; i++) {
        cw_endpoint_init(&p->eps[i], p->slots.items[i], 1, 0);
        cw_endpoint_set_ready(&p->eps[i], true, 0);
        assert_int_equal(cw_route_add(&p->route, &p->eps[i]), CW_OK);
    }
}

static void
teardown_pool(struct pool *p)
{
    cw_route_finish(&p->route);
    cw_slots_finish(&p->slots);
}

/* Sends n requests one after another; returns how many went to endpoint 0,
 * which has a latency of slow_ms. */
static int
count_sent_to_first(struct pool *p, int n, cw_ms now, double slow_ms)
{
    int first = 0;
    for (int i = 0; i < n; i++) {
        struct cw_endpoint *ep =
            cw_route_pick(&p->route, &p->slots, NULL, &p->rng, now);
        int slot = cw_route_start_request(&p->route, &p->slots, ep);
        assert_true(slot >= 0);
        first += ep == &p->eps[0];
        cw_route_end_request(&p->route, &p->slots, ep, slot, CW_EP_OK,
                             ep == &p->eps[0] ? slow_ms : 20, now);
    }
    return first;
}

/* A slow endpoint that gets a full share of the requests raises the tail
 * latency of the pool. */
static void
test_two_choices_avoid_slow(void **state)
{
    (void)state;
    int sent[2];
    for (int on = 0; on < 2; on++) {
        struct pool p;
        struct cw_route_params params = cw_route_defaults();
        params.two_choices = on;
        setup_pool(&p, params);
        sent[on] = count_sent_to_first(&p, 600, 100000, 200);
        teardown_pool(&p);
    }
    assert_in_range(sent[0], 60, 140);
    assert_in_range(sent[1], 0, 30);
}

/* An endpoint that was just started answers slowly when it gets a full share
 * of the requests at once. */
static void
test_slow_start(void **state)
{
    (void)state;
    int sent[2];
    for (int on = 0; on < 2; on++) {
        struct pool p;
        struct cw_route_params params = cw_route_defaults();
        params.slow_start_ms = on ? 10000 : 0;
        setup_pool(&p, params);
        cw_endpoint_set_ready(&p.eps[0], false, 99000);
        cw_endpoint_set_ready(&p.eps[0], true, 99000);
        sent[on] = count_sent_to_first(&p, 600, 100000, 20);
        teardown_pool(&p);
    }
    assert_true(sent[1] > 0 && sent[1] * 3 < sent[0]);
}

/* A request to an endpoint that is not usable fails or exceeds its slots. */
static void
test_pick_skips_unusable(void **state)
{
    (void)state;
    enum { READY, LEAVING, EJECTED, BUSY, UNCONFIRMED, LIMITED };
    static const int cases[] = {READY, LEAVING, EJECTED,
                                BUSY,  LIMITED, UNCONFIRMED};
    for (size_t c = 0; c < COUNT(cases); c++) {
        struct pool p;
        setup_pool(&p, cw_route_defaults());
        struct cw_endpoint *ep = &p.eps[0];
        ep->leaving = cases[c] == LEAVING;
        ep->ready = cases[c] != READY;
        ep->eject.length = cases[c] == EJECTED ? 5000 : 0;
        ep->eject.until = 105000;
        ep->limit.share = cases[c] == LIMITED ? 0.1 : 1;
        int taken = cases[c] == BUSY ? 8 : cases[c] == LIMITED ? 1 : 0;
        for (int i = 0; i < taken; i++) {
            assert_true(cw_route_start_request(&p.route, &p.slots, ep) >= 0);
        }
        cw_slots_set_confirmed(&p.slots, cases[c] != UNCONFIRMED);
        for (int i = 0; i < 200; i++) {
            struct cw_endpoint *picked =
                cw_route_pick(&p.route, &p.slots, &p.eps[1], &p.rng, 100000);
            assert_true(picked != ep && picked != &p.eps[1]);
            assert_int_equal(picked == NULL, cases[c] == UNCONFIRMED);
        }
        teardown_pool(&p);
    }
}

/* When most endpoints of a pool fail, ejecting them would move the whole load
 * to the others. */
static void
test_panic(void **state)
{
    (void)state;
    for (int ejected = 0; ejected <= ENDPOINTS; ejected++) {
        struct pool p;
        setup_pool(&p, cw_route_defaults());
        for (int i = 0; i < ejected; i++) {
            p.eps[i].eject =
                (struct cw_eject){.length = 5000, .until = 105000};
        }
        bool panic = ejected > ENDPOINTS / 3;
        assert_int_equal(cw_route_panic(&p.route, 100000), panic);
        assert_int_equal(cw_route_free_slots(&p.route, &p.slots, 100000),
                         8 * (panic ? ENDPOINTS : ENDPOINTS - ejected));
        teardown_pool(&p);
    }
}

/* Runs results ('.' ok, 'x' failed) 100 ms apart; returns the index of the
 * first ejection, or -1. */
static int
first_ejection(const char *results, struct cw_eject_params params)
{
    struct cw_eject e = {0};
    for (int i = 0; results[i] != 0; i++) {
        if (cw_eject_record_result(&e, &params, results[i] == 'x',
                                   100000 + i * 100)) {
            return i;
        }
    }
    return -1;
}

/* An endpoint that fails all or most of its requests must be ejected, one that
 * fails occasionally must not. */
static void
test_ejection_rules(void **state)
{
    (void)state;
    struct cw_eject_params off = cw_eject_defaults();
    off.consecutive = 0;
    off.rate = 0;
    static const struct {
        const char *results;
        int ejected_at;
    } cases[] = {
        {"xxxx.xxxx", -1}, /* not in a row, too few for a rate */
        {"xxxxx", 4},      {".x.x.x.x.x.x", -1},
        {"xx.xx.xx.x", 9}, {".........xxxx", -1},
    };
    for (size_t i = 0; i < COUNT(cases); i++) {
        assert_int_equal(first_ejection(cases[i].results, cw_eject_defaults()),
                         cases[i].ejected_at);
        assert_int_equal(first_ejection(cases[i].results, off), -1);
    }
}

/* A dead endpoint that comes back from ejection every 5 s fails requests each
 * time: the ejections must grow longer. */
static void
test_ejection_doubles(void **state)
{
    (void)state;
    struct cw_eject_params p = cw_eject_defaults();
    struct cw_eject e = {0};
    cw_ms now = 100000;
    static const cw_ms lengths[] = {5000,  10000, 20000, 40000,
                                    60000, 60000, 5000};
    for (size_t i = 0; i < COUNT(lengths); i++) {
        /* Before the last ejection it serves for longer than it was ejected,
         * which resets the length. */
        now += i == COUNT(lengths) - 1 ? 61000 : 0;
        for (int k = 0; k < 5; k++) {
            cw_eject_record_result(&e, &p, true, now);
        }
        assert_true(cw_eject_active(&e, now));
        assert_int_equal(e.until - now, lengths[i]);
        now = e.until;
        assert_false(cw_eject_active(&e, now));
    }
}

/* A limit that decreases with each of the responses delayed by one stall would
 * take nearly all slots of the endpoint; one that never recovers would leave
 * them unused. */
static void
test_limit(void **state)
{
    (void)state;
    struct cw_limit_params p = cw_limit_defaults();
    struct cw_limit l;
    cw_limit_init(&l, 0);
    for (int i = 0; i < 50; i++) {
        cw_limit_update(&l, &p, 500, 100, 1000);
    }
    assert_true(l.share > 0.89 && l.share < 0.91);
    for (cw_ms t = 2000; t < 60000; t += 1000) {
        cw_limit_update(&l, &p, 500, 100, t);
    }
    assert_int_equal(cw_limit_slots(&l, &p, 8), 1);
    assert_int_equal(cw_limit_slots(&l, &p, 0), 0);
    for (cw_ms t = 60000; t < 90000; t += 1000) {
        cw_limit_update(&l, &p, 150, 100, t);
    }
    assert_int_equal(cw_limit_slots(&l, &p, 8), 8);
    p.enabled = false;
    cw_limit_update(&l, &p, 500, 100, 200000);
    assert_int_equal(cw_limit_slots(&l, &p, 8), 8);
}

/* An endpoint that fails quickly must not appear to be the fastest one. */
static void
test_quick_failure(void **state)
{
    (void)state;
    struct pool p;
    setup_pool(&p, cw_route_defaults());
    count_sent_to_first(&p, 100, 100000, 20);
    double before = p.eps[2].latency_ms;
    int slot = cw_route_start_request(&p.route, &p.slots, &p.eps[2]);
    cw_route_end_request(&p.route, &p.slots, &p.eps[2], slot, CW_EP_FAILED,
                         0.1, 100000);
    assert_true(p.eps[2].latency_ms >= before);
    slot = cw_route_start_request(&p.route, &p.slots, &p.eps[3]);
    cw_route_end_request(&p.route, &p.slots, &p.eps[3], slot, CW_EP_DRAINING,
                         1, 100000);
    assert_true(p.eps[3].leaving);
    teardown_pool(&p);
}

/* Steps: n = signal from source for incarnation 1, N = for incarnation 2,
 * l = the list says live, p = probe answered, c = operation cancelled,
 * w = 11 s pass. */
static bool
is_leaving_after(const char *steps, enum cw_leaving_source source, bool sticky)
{
    struct cw_leaving l;
    struct cw_leaving_params params = cw_leaving_defaults();
    params.sticky = sticky;
    cw_leaving_init(&l, params);
    cw_ms now = 0;
    bool first;
    for (; *steps != 0; steps++) {
        switch (*steps) {
        case 'n':
        case 'N':
            assert_int_equal(cw_leaving_add_signal(&l, CW_LIT("vm"),
                                                   *steps == 'N' ? 2 : 1,
                                                   source, now, &first),
                             CW_OK);
            break;
        case 'l':
            cw_leaving_list_live(&l, CW_LIT("vm"), 1);
            break;
        case 'p':
            cw_leaving_probe_ok(&l, CW_LIT("vm"), 1);
            break;
        case 'c':
            cw_leaving_cancelled(&l, CW_LIT("vm"), 1, now);
            break;
        default:
            now += 11000;
        }
    }
    bool leaving = cw_leaving_contains(&l, CW_LIT("vm"), 1);
    assert_false(cw_leaving_contains(&l, CW_LIT("vm"), 3));
    cw_leaving_finish(&l);
    return leaving;
}

/* When an outdated VM list puts a leaving endpoint back in service, it gets
 * new requests; when a cancelled drain doesn't put it back, capacity is lost.
 */
static void
test_leaving(void **state)
{
    (void)state;
    static const struct {
        const char *steps;
        enum cw_leaving_source source;
        bool leaving;
    } cases[] = {
        {"n", CW_LEAVING_OP, true},
        {"nl", CW_LEAVING_PEER, true},    /* lagging list */
        {"np", CW_LEAVING_REFUSED, true}, /* probe sent before the drain */
        {"np", CW_LEAVING_PROBE, false},  /* only a pause of the endpoint */
        {"N", CW_LEAVING_LIST, true},     /* older incarnations have left */
        {"Nn", CW_LEAVING_LIST, true},
        {"nc", CW_LEAVING_OP, false},
        {"ncn", CW_LEAVING_PEER, false}, /* lagging signal after cancel */
        {"ncn", CW_LEAVING_OP, true},    /* a new operation */
        {"ncwn", CW_LEAVING_LIST, true}, /* a new departure */
        {"nlp", CW_LEAVING_LIST, true},
    };
    for (size_t i = 0; i < COUNT(cases); i++) {
        assert_int_equal(
            is_leaving_after(cases[i].steps, cases[i].source, true),
            cases[i].leaving);
    }
    assert_false(is_leaving_after("nl", CW_LEAVING_PEER, false));
}

/* Heartbeats and reports carry the earliest signal, and only once. */
static void
test_leaving_first(void **state)
{
    (void)state;
    struct cw_leaving l;
    cw_leaving_init(&l, cw_leaving_defaults());
    for (int i = 0; i < 40; i++) {
        char vm[8];
        bool first;
        snprintf(vm, sizeof(vm), "vm%d", i * 7 % 40);
        cw_leaving_add_signal(&l, cw_str_from(vm), 1, CW_LEAVING_REFUSED, 10,
                              &first);
        assert_true(first);
        cw_leaving_add_signal(&l, cw_str_from(vm), 1, CW_LEAVING_LIST, 20,
                              &first);
        assert_false(first);
    }
    assert_int_equal(l.count, 40);
    assert_int_equal(l.items[0].first, CW_LEAVING_REFUSED);
    assert_int_equal(l.items[0].since, 10);
    cw_leaving_remove(&l, CW_LIT("vm3"));
    assert_false(cw_leaving_contains(&l, CW_LIT("vm3"), 1));
    assert_true(cw_leaving_contains(&l, CW_LIT("vm30"), 1));
    cw_leaving_finish(&l);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_two_choices_avoid_slow),
        cmocka_unit_test(test_slow_start),
        cmocka_unit_test(test_pick_skips_unusable),
        cmocka_unit_test(test_panic),
        cmocka_unit_test(test_ejection_rules),
        cmocka_unit_test(test_ejection_doubles),
        cmocka_unit_test(test_limit),
        cmocka_unit_test(test_quick_failure),
        cmocka_unit_test(test_leaving),
        cmocka_unit_test(test_leaving_first),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
