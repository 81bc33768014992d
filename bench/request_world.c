/* Simulation of the request path: events, load, network and endpoints. */
#include "request_sim.h"
#include "request_sim_int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Load model: the mean demand keeps 70% of a pool of SIM_MEAN_VMS busy. */
#define SERVICE_MS 200.0
#define MEAN_LOAD 0.7
#define BURST_FACTOR 5.0
#define QUIET_FACTOR 0.05
#define TURN_MS 4000.0
#define CALLERS 40
#define LOCAL_MS 0.2 /* one way within a data centre */
/* One endpoint of each pool is slow. Another one is low on memory: each
 * request that it has beyond MEMORY_REQUESTS lengthens a new one by
 * MEMORY_SLOWDOWN of its service time. */
#define SLOW_FACTOR 3.0
#define MEMORY_REQUESTS 4
#define MEMORY_SLOWDOWN 0.75

/* For a user who waits for the answer, and a document's default deadline. */
#define SHORT_DEADLINE_MS 2000.0
#define LONG_DEADLINE_MS 10000.0

static bool
event_before(const struct sim_event *a, const struct sim_event *b)
{
    return a->time < b->time || (a->time == b->time && a->order < b->order);
}

static void
swap_events(struct sim_event *a, struct sim_event *b)
{
    struct sim_event t = *a;
    *a = *b;
    *b = t;
}

void
sim_schedule(struct sim *s, double delay_ms, enum sim_event_kind kind,
             void *arg)
{
    if (s->heap_count == s->heap_cap) {
        s->heap_cap = s->heap_cap ? 2 * s->heap_cap : 1024;
        s->heap = realloc(s->heap, s->heap_cap * sizeof(*s->heap));
        CW_INVARIANT(s->heap != NULL);
    }
    size_t i = s->heap_count++;
    s->heap[i] =
        (struct sim_event){s->now + delay_ms, s->scheduled++, kind, arg};
    while (i > 0 && event_before(&s->heap[i], &s->heap[(i - 1) / 2])) {
        swap_events(&s->heap[i], &s->heap[(i - 1) / 2]);
        i = (i - 1) / 2;
    }
}

static struct sim_event
pop_event(struct sim *s)
{
    struct sim_event first = s->heap[0];
    s->heap[0] = s->heap[--s->heap_count];
    size_t i = 0;
    for (;;) {
        size_t min = i;
        for (size_t c = 2 * i + 1; c <= 2 * i + 2; c++) {
            if (c < s->heap_count &&
                event_before(&s->heap[c], &s->heap[min])) {
                min = c;
            }
        }
        if (min == i) {
            return first;
        }
        swap_events(&s->heap[i], &s->heap[min]);
        i = min;
    }
}

double
sim_net_ms(const struct sim *s, int dc_a, int dc_b)
{
    return dc_a == dc_b ? LOCAL_MS : s->cfg->deployment->dc_ms;
}

struct sim_vm *
sim_vm_of_endpoint(const struct cw_endpoint *ep)
{
    return ep->ctx;
}

struct sim_request *
sim_request_of_item(struct cw_admit_item *item)
{
    return (struct sim_request *)((char *)item -
                                  offsetof(struct sim_request, item));
}

/* Current requests per ms of a service; services peak in turn. */
static double
request_rate(const struct sim *s, int service)
{
    double mean = MEAN_LOAD * SIM_MEAN_VMS * SIM_SLOTS / SERVICE_MS;
    int turn = (int)((s->now - SIM_START_MS) / TURN_MS) % SIM_SERVICES;
    return mean * (turn == service ? BURST_FACTOR : QUIET_FACTOR);
}

static struct sim_daemon *
pick_daemon(struct sim *s)
{
    double x = cw_rng_unit(&s->load_rng);
    int i = 0;
    while (i < SIM_DAEMONS - 1 && x >= s->daemons[i].share) {
        x -= s->daemons[i++].share;
    }
    return &s->daemons[i];
}

void
sim_new_request(struct sim *s, int service)
{
    if (s->now >= SIM_START_MS + SIM_LOAD_MS) {
        return;
    }
    struct sim_request *r = calloc(1, sizeof(*r));
    CW_INVARIANT(r != NULL);
    s->result->offered++;
    r->service = service;
    r->caller = cw_rng_below(&s->load_rng, CALLERS);
    r->arrived = s->now;
    r->deadline =
        s->now + (cw_rng_unit(&s->load_rng) < s->cfg->short_deadline_share
                      ? SHORT_DEADLINE_MS
                      : LONG_DEADLINE_MS);
    r->daemon = pick_daemon(s);
    sim_schedule(s, s->cfg->deployment->client_ms, EV_DAEMON_RECEIVE, r);
    double gap = cw_rng_exp(&s->load_rng, 1 / request_rate(s, service));
    /* A gap drawn at the low rate must not reach into the next turn, where it
     * would delay the start of the service's peak. */
    double turn_left =
        TURN_MS - (s->now - SIM_START_MS) +
        TURN_MS * (double)(int)((s->now - SIM_START_MS) / TURN_MS);
    if (gap > turn_left) {
        gap = turn_left;
    }
    sim_schedule(s, gap, EV_NEW_REQUEST, &s->sources[service]);
}

void
sim_endpoint_receive(struct sim *s, struct sim_request *r)
{
    struct sim_vm *vm = sim_vm_of_endpoint(r->ep);
    if (vm->running >= SIM_SLOTS) {
        s->result->overruns++;
        r->refused = true;
        sim_schedule(s, sim_net_ms(s, r->daemon->dc, vm->dc), EV_RESPONSE, r);
        return;
    }
    vm->running++;
    double ms = cw_rng_exp(&s->rng, SERVICE_MS) * vm->slow_factor;
    if (vm->low_memory && vm->running > MEMORY_REQUESTS) {
        ms *= 1 + MEMORY_SLOWDOWN * (vm->running - MEMORY_REQUESTS);
    }
    sim_schedule(s, ms, EV_ENDPOINT_DONE, r);
}

void
sim_endpoint_finish(struct sim *s, struct sim_request *r)
{
    struct sim_vm *vm = sim_vm_of_endpoint(r->ep);
    vm->running--;
    sim_schedule(s, sim_net_ms(s, r->daemon->dc, vm->dc), EV_RESPONSE, r);
}

static int
compare_vms(const void *a, const void *b)
{
    const struct sim_vm *x = a;
    const struct sim_vm *y = b;
    return cw_str_cmp(cw_name_str(&x->name), cw_name_str(&y->name));
}

static void
make_vms(struct sim *s)
{
    s->vm_count = s->cfg->vms * SIM_SERVICES;
    CW_INVARIANT(s->vm_count <= SIM_VMS_MAX);
    for (int i = 0; i < s->vm_count; i++) {
        char text[16];
        snprintf(text, sizeof(text), "vm%d", i);
        cw_name_set(&s->vms[i].name, cw_str_from(text));
        s->vms[i].service = i % SIM_SERVICES;
        s->vms[i].dc = i / SIM_SERVICES % s->cfg->deployment->dcs;
        s->vms[i].slow_factor = i < SIM_SERVICES ? SLOW_FACTOR : 1;
        s->vms[i].low_memory = i / SIM_SERVICES == 1;
    }
    qsort(s->vms, (size_t)s->vm_count, sizeof(s->vms[0]), compare_vms);
}

static void
set_name(struct cw_name *n, const char *prefix, int i)
{
    char text[16];
    snprintf(text, sizeof(text), "%s%d", prefix, i);
    cw_name_set(n, cw_str_from(text));
}

static void
make_slots(struct sim *s, int self)
{
    struct sim_daemon *d = &s->daemons[self];
    struct cw_slot_member members[SIM_DAEMONS];
    static struct cw_slot_endpoint eps[SIM_VMS_MAX];
    for (int i = 0; i < SIM_DAEMONS; i++) {
        set_name(&members[i].daemon, "d", i);
        set_name(&members[i].dc, "dc", s->daemons[i].dc);
        members[i].incarnation = 1;
    }
    for (int i = 0; i < s->vm_count; i++) {
        eps[i].vm = s->vms[i].name;
        set_name(&eps[i].dc, "dc", s->vms[i].dc);
        eps[i].slots = SIM_SLOTS;
        eps[i].connections = 64;
    }
    bool alone = s->cfg->independent_picks;
    struct cw_slots_view v = {
        .offset = 1,
        .member_count = alone ? 1 : SIM_DAEMONS,
        .members = alone ? &members[self] : members,
        .endpoint_count = (size_t)s->vm_count,
        .endpoints = eps,
    };
    cw_slots_init(&d->slots, cw_name_str(&members[self].daemon), 1,
                  cw_slots_defaults());
    CW_INVARIANT(cw_slots_update(&d->slots, &v, 0) == CW_OK);
    cw_slots_set_confirmed(&d->slots, true);
    for (int i = 0; i < SIM_DAEMONS; i++) {
        cw_slots_record_heartbeat(&d->slots, cw_name_str(&members[i].daemon),
                                  1, 1, NULL, 0, 0);
    }
    cw_slots_activate_pending(&d->slots, 0);
    cw_slots_activate_pending(&d->slots, 5000);
    CW_INVARIANT(d->slots.pending_count == 0);
}

static void
make_daemon(struct sim *s, int self)
{
    struct sim_daemon *d = &s->daemons[self];
    make_slots(s, self);
    d->endpoints = calloc((size_t)s->vm_count, sizeof(*d->endpoints));
    CW_INVARIANT(d->endpoints != NULL);
    for (int v = 0; v < SIM_SERVICES; v++) {
        cw_route_init(&d->route[v], s->cfg->route);
        cw_admit_init(&d->queue[v], s->cfg->admit);
        cw_retry_init(&d->retry[v], s->cfg->retry);
    }
    for (int i = 0; i < s->vm_count; i++) {
        struct cw_endpoint *ep = &d->endpoints[i];
        cw_endpoint_init(ep, d->slots.items[i], 1, 0);
        cw_endpoint_set_ready(ep, true, 0);
        ep->ctx = &s->vms[i];
        CW_INVARIANT(cw_route_add(&d->route[s->vms[i].service], ep) == CW_OK);
    }
}

/* Assigns each daemon 0.5 to 1.5 times the average share of the requests: a
 * load balancer that distributes connections is uneven because a few callers
 * send many requests on theirs. */
static void
make_shares(struct sim *s)
{
    double sum = 0;
    for (int i = 0; i < SIM_DAEMONS; i++) {
        s->daemons[i].dc = i % s->cfg->deployment->dcs;
        s->daemons[i].share = 0.5 + cw_rng_unit(&s->load_rng);
        sum += s->daemons[i].share;
    }
    for (int i = 0; i < SIM_DAEMONS; i++) {
        s->daemons[i].share /= sum;
    }
}

static void
finish_sim(struct sim *s)
{
    for (int i = 0; i < SIM_DAEMONS; i++) {
        struct sim_daemon *d = &s->daemons[i];
        for (int v = 0; v < SIM_SERVICES; v++) {
            cw_admit_finish(&d->queue[v]);
            cw_route_finish(&d->route[v]);
        }
        cw_slots_finish(&d->slots);
        free(d->endpoints);
    }
    free(s->heap);
    free(s);
}

void
sim_run(const struct sim_config *cfg, struct sim_result *result)
{
    struct sim *s = calloc(1, sizeof(*s));
    CW_INVARIANT(s != NULL);
    memset(result, 0, sizeof(*result));
    cw_hist_init(&result->latency_us);
    cw_hist_init(&result->refusal_delay_us);
    s->cfg = cfg;
    s->result = result;
    s->now = SIM_START_MS;
    cw_rng_init(&s->rng, cfg->seed);
    cw_rng_init(&s->load_rng, cfg->seed + 1);
    make_vms(s);
    make_shares(s);
    for (int i = 0; i < SIM_DAEMONS; i++) {
        make_daemon(s, i);
        sim_schedule(s, 100.0 * i, EV_HEARTBEAT, &s->daemons[i]);
        sim_schedule(s, 5.0 * i, EV_TICK, &s->daemons[i]);
    }
    for (int v = 0; v < SIM_SERVICES; v++) {
        sim_schedule(s, v, EV_NEW_REQUEST, &s->sources[v]);
    }
    sim_schedule(s, 0, EV_SAMPLE, NULL);
    while (s->now < SIM_START_MS + SIM_END_MS) {
        struct sim_event e = pop_event(s);
        s->now = e.time;
        sim_handle_event(s, e.kind, e.arg);
    }
    result->seconds = SIM_LOAD_MS / 1000;
    result->endpoints = s->vm_count;
    CW_INVARIANT(result->in_time + result->late + result->refused ==
                 result->offered);
    finish_sim(s);
}
