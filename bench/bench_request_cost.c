/* Measures the CPU time and memory of the request policies at the design
 * target: 4,100 endpoints, 46 pools, 9 daemons in 6 data centres.
 * Prints name=value lines; takes --seed N. */
#include "bench.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ENDPOINTS 4100
#define DAEMONS 9
#define DCS 6
#define SLOTS 8
#define POOL_ENDPOINTS 90 /* 4,100 endpoints over 46 pools */
#define RECOMPUTATIONS 20
#define DECISIONS 200000
#define QUEUED_REQUESTS 500
#define CALLERS 50
#define INTENTS 100000

static struct cw_slot_member members[DAEMONS];
static struct cw_slot_endpoint endpoints[ENDPOINTS];

static void
set_name(struct cw_name *n, const char *prefix, int i)
{
    char text[32];
    snprintf(text, sizeof(text), "%s%04d", prefix, i);
    cw_name_set(n, cw_str_from(text));
}

static void
make_fleet(uint64_t seed, int dcs)
{
    struct cw_rng rng;
    cw_rng_init(&rng, seed);
    int base = (int)cw_rng_below(&rng, 1000);
    for (int i = 0; i < DAEMONS; i++) {
        set_name(&members[i].daemon, "entry", base + i);
        set_name(&members[i].dc, "dc", i % dcs);
        members[i].incarnation = 1;
    }
    for (int i = 0; i < ENDPOINTS; i++) {
        set_name(&endpoints[i].vm, "vm", i);
        set_name(&endpoints[i].dc, "dc", i % dcs);
        endpoints[i].slots = SLOTS;
        endpoints[i].connections = 64;
    }
}

/* Slots that change their owner when one member leaves, relative to those it
 * held, and the largest share of an endpoint's slots that one member holds,
 * averaged over the endpoints. */
static void
bench_movement(int dcs, uint32_t load_pct)
{
    uint64_t moved = 0;
    uint64_t needed = 0;
    uint64_t largest_sum = 0;
    for (int removed = 0; removed < DAEMONS; removed++) {
        struct cw_slot_member remaining[DAEMONS];
        int n = 0;
        for (int i = 0; i < DAEMONS; i++) {
            if (i != removed) {
                remaining[n++] = members[i];
            }
        }
        for (int e = 0; e < ENDPOINTS; e++) {
            uint16_t a[CW_SLOTS_MAX];
            uint16_t b[CW_SLOTS_MAX];
            uint32_t load[DAEMONS] = {0};
            cw_slots_owners(members, DAEMONS, &endpoints[e], load_pct, a);
            cw_slots_owners(remaining, DAEMONS - 1, &endpoints[e], load_pct,
                            b);
            uint32_t largest = 0;
            for (int s = 0; s < SLOTS; s++) {
                needed += a[s] == removed;
                moved += a[s] != (b[s] >= removed ? b[s] + 1 : b[s]);
                load[a[s]]++;
                largest = load[a[s]] > largest ? load[a[s]] : largest;
            }
            largest_sum += largest;
        }
    }
    char name[64];
    snprintf(name, sizeof(name), "slots.dcs_%d.bound_%u.moved_per_needed", dcs,
             load_pct);
    bench_print(name, "%.3f", (double)moved / (double)needed);
    snprintf(name, sizeof(name), "slots.dcs_%d.bound_%u.largest_share", dcs,
             load_pct);
    bench_print(name, "%.3f",
                (double)largest_sum / (DAEMONS * (double)ENDPOINTS * SLOTS));
}

static void
bench_table(void)
{
    struct cw_slots t;
    struct cw_slots_view v = {.offset = 1,
                              .member_count = DAEMONS,
                              .members = members,
                              .endpoint_count = ENDPOINTS,
                              .endpoints = endpoints};
    size_t before = bench_heap_bytes();
    cw_slots_init(&t, cw_name_str(&members[0].daemon), 1, cw_slots_defaults());
    CW_INVARIANT(cw_slots_update(&t, &v, 0) == CW_OK);
    bench_print("slots.table_kib", "%.0f",
                (double)(bench_heap_bytes() - before) / 1024);
    int64_t start = bench_now_us();
    for (int i = 0; i < RECOMPUTATIONS; i++) {
        v.offset++;
        v.member_count = DAEMONS - (size_t)(i % 2 == 0);
        CW_INVARIANT(cw_slots_update(&t, &v, 0) == CW_OK);
    }
    bench_print("slots.recompute_ms", "%.2f",
                (double)(bench_now_us() - start) / 1000 / RECOMPUTATIONS);
    cw_slots_finish(&t);
}

static void
bench_route(uint64_t seed)
{
    static struct cw_endpoint eps[POOL_ENDPOINTS];
    struct cw_slots t;
    struct cw_route r;
    struct cw_rng rng;
    cw_rng_init(&rng, seed);
    struct cw_slots_view v = {.offset = 1,
                              .member_count = 1,
                              .members = members,
                              .endpoint_count = POOL_ENDPOINTS,
                              .endpoints = endpoints};
    cw_slots_init(&t, cw_name_str(&members[0].daemon), 1, cw_slots_defaults());
    CW_INVARIANT(cw_slots_update(&t, &v, 0) == CW_OK);
    cw_slots_set_confirmed(&t, true);
    cw_slots_activate_pending(&t, 0);
    cw_slots_activate_pending(&t, 5000);
    cw_route_init(&r, cw_route_defaults());
    for (int i = 0; i < POOL_ENDPOINTS; i++) {
        cw_endpoint_init(&eps[i], t.items[i], 1, 0);
        cw_endpoint_set_ready(&eps[i], true, 0);
        CW_INVARIANT(cw_route_add(&r, &eps[i]) == CW_OK);
    }
    int64_t start = bench_now_us();
    for (int i = 0; i < DECISIONS; i++) {
        struct cw_endpoint *ep = cw_route_pick(&r, &t, NULL, &rng, 20000);
        int slot = cw_route_start_request(&r, &t, ep);
        cw_route_end_request(&r, &t, ep, slot, CW_EP_OK, 20, 20000 + i / 1000);
    }
    bench_print("route.decision_us", "%.3f",
                (double)(bench_now_us() - start) / DECISIONS);
    cw_route_finish(&r);
    cw_slots_finish(&t);
}

static void
offer_request(struct cw_admit *q, struct cw_admit_item *item,
              struct cw_rng *rng, cw_ms now)
{
    struct cw_admit_item *evicted;
    item->caller = cw_rng_below(rng, CALLERS);
    item->priority = (enum cw_priority)cw_rng_below(rng, 3);
    item->deadline = now + 1000000000 + (cw_ms)cw_rng_below(rng, 10000);
    item->cost = 1;
    CW_INVARIANT(cw_admit_offer(q, item, now, &evicted) == CW_ADMIT_QUEUED);
}

static void
bench_admit(uint64_t seed)
{
    static struct cw_admit_item items[QUEUED_REQUESTS];
    struct cw_admit q;
    struct cw_rng rng;
    cw_rng_init(&rng, seed);
    cw_admit_init(&q, cw_admit_defaults());
    for (int i = 0; i < QUEUED_REQUESTS; i++) {
        offer_request(&q, &items[i], &rng, 0);
    }
    int64_t start = bench_now_us();
    for (int i = 0; i < DECISIONS; i++) {
        cw_ms now = i / 100;
        struct cw_admit_item *item = cw_admit_dequeue(&q, now);
        cw_admit_record_service_time(&q, 20, now);
        offer_request(&q, item, &rng, now);
    }
    bench_print("admit.decision_us", "%.3f",
                (double)(bench_now_us() - start) / DECISIONS);
    start = bench_now_us();
    for (int i = 0; i < 1000; i++) {
        CW_INVARIANT(cw_admit_dequeue_expired(&q, DECISIONS / 100 + i * 50) ==
                     NULL);
    }
    bench_print("admit.sweep_us", "%.2f",
                (double)(bench_now_us() - start) / 1000);
    while (q.all_first != NULL) {
        cw_admit_remove(&q, q.all_first, 0);
    }
    cw_admit_finish(&q);
}

static void
bench_idem(void)
{
    struct cw_idem t;
    cw_idem_init(&t, cw_idem_defaults());
    cw_idem_start_replay(&t, 0);
    struct cw_idem_record r = {.kind = CW_IDEM_INTENT};
    cw_name_set(&r.request, CW_LIT("entry1-1-1"));
    uint16_t status;
    int64_t start = bench_now_us();
    for (uint64_t i = 1; i <= INTENTS; i++) {
        r.hash = cw_hash_mix(i, 1);
        cw_idem_apply(&t, i, (cw_ms)(i / 200), &r, &status);
    }
    bench_print("idem.apply_us", "%.3f",
                (double)(bench_now_us() - start) / INTENTS);
    bench_print("idem.bytes_per_intent", "%.1f",
                (double)cw_idem_memory(&t) / INTENTS);
    cw_idem_finish(&t);
}

int
main(int argc, char **argv)
{
    uint64_t seed = bench_seed(argc, argv);
    static const uint32_t bounds[] = {100, 125, 150, 0};
    static const int dcs[] = {1, 3, DCS};
    for (size_t d = 0; d < sizeof(dcs) / sizeof(dcs[0]); d++) {
        make_fleet(seed, dcs[d]);
        for (size_t i = 0; i < sizeof(bounds) / sizeof(bounds[0]); i++) {
            bench_movement(dcs[d], bounds[i]);
        }
    }
    bench_table();
    bench_route(seed);
    bench_admit(seed);
    bench_idem();
    return 0;
}
