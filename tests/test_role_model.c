/* Explores all interleavings of a small model of the scheduler's role: two
 * daemons, two workers, one job of one task, the store's group and epochs, and
 * time in steps. Each guard of the real code is a switch; without it the
 * explorer has to find the fault that it prevents.
 *
 * The code that is modelled: member.c (claim, membership), calls.c (answers),
 * agents.c (renewals, refused connections), jobs_lease.c and jobs_report.c
 * (incarnations, lapses). An append, a call and its answer are one step each;
 * lost answers are not modelled. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "cw_map.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

/* Steps of time. */
#define TTL 1   /* membership after a join */
#define GRACE 1 /* renewals go on for so long after the membership */
#define LEASE 2
#define HOLD 5 /* a worker shortens longer leases to this */
/* Bounds of the exploration. */
#define FAULTS_MAX 2
#define GENERATION_MAX 4
#define SEQUENCE_MAX 2

enum guard {
    CLAIM,       /* an epoch is claimed and read back */
    INCARNATION, /* a restart gives up only what a report does not list */
    REFUSED,     /* a refused connection ends no run */
    RENEWALS,    /* renewals end after the membership */
    ANSWERS,     /* "no such job" needs an append that succeeds */
    SUCCESSOR,   /* a takeover counts the former scheduler's renewals */
    UNPROVED,    /* a start counts for HOLD until a report lists its run */
    LOADED,      /* so does a recent recorded run after a takeover */
    GAP,         /* after its membership expired, a scheduler has to append */
    GUARDS,
};

#define ALL ((1U << GUARDS) - 1)

enum fault_kind { NONE, LOST, TWICE, UNASKED };

#define NOWHERE 2

struct daemon {
    uint8_t scheduler;
    uint8_t renews; /* left of the membership, as it knows it, and GRACE */
    uint8_t epoch;
    uint8_t repeats; /* so many appends the store takes for repeats */
    uint8_t store_cut;
    uint8_t proof_due; /* see GAP */
    /* Its table. */
    uint8_t job;
    uint8_t cancelled;
    uint8_t worker;   /* of the run that counts as alive, or NOWHERE */
    uint8_t lapse;    /* the run is over after this time */
    uint8_t known[2]; /* the incarnation of each worker that it knows */
};

struct worker {
    uint8_t incarnation;
    uint8_t fence;
    uint8_t lease; /* left of it */
    uint8_t running;
    uint8_t cut; /* bit of each daemon that cannot reach it */
};

/* All times are those that are left. */
struct state {
    uint8_t faults;
    /* The store. */
    uint8_t owner;
    uint8_t generation;
    uint8_t expires[2];
    uint8_t epoch;
    uint8_t sequence;
    uint8_t job;
    uint8_t cancelled;
    uint8_t worker; /* of the last recorded start, or NOWHERE */
    uint8_t age;    /* of that start, at most HOLD */
    /* What the caller was told. */
    uint8_t accepted;
    uint8_t cancel_answered;
    struct daemon d[2];
    struct worker w[2];
};

struct model {
    uint32_t guards;
    struct state s; /* the state that steps change */
    enum fault_kind found;
};

static bool
has(const struct model *m, enum guard g)
{
    return (m->guards >> g & 1) != 0;
}

/* ---- the store ---- */

/* Appends under the daemon's epoch. False when it is fenced. *stored is false
 * when the store takes it for a repeat. */
static bool
append(struct state *s, struct daemon *d, bool *stored)
{
    if (d->store_cut || d->epoch < s->epoch) {
        d->scheduler &= d->store_cut; /* fenced: it steps down */
        return false;
    }
    *stored = d->repeats == 0;
    if (!*stored) {
        d->repeats--;
    }
    else if (s->sequence < SEQUENCE_MAX) {
        s->sequence++;
    }
    return true;
}

static bool
is_valid(const struct daemon *d)
{
    return d->scheduler && d->renews > GRACE && !d->proof_due;
}

/* ---- steps of a daemon: true when the step was possible ---- */

static bool
step_join(struct model *m, int i, int w)
{
    struct state *s = &m->s;
    struct daemon *d = &s->d[i];

    (void)w;
    if (d->store_cut || s->generation == GENERATION_MAX) {
        return false;
    }
    d->proof_due |= d->scheduler && d->renews <= GRACE && has(m, GAP);
    s->expires[i] = TTL;
    d->renews = TTL + GRACE;
    if (s->owner != i && s->expires[s->owner] == 0) {
        s->owner = (uint8_t)i;
        s->generation++;
    }
    if (s->owner != i) {
        d->scheduler = false;
    }
    return true;
}

static bool
step_take_over(struct model *m, int i, int w)
{
    struct state *s = &m->s;
    struct daemon *d = &s->d[i];
    int lease = has(m, LOADED) && s->age < HOLD ? HOLD : LEASE;

    (void)w;
    if (d->scheduler || d->store_cut || s->owner != i || d->renews <= GRACE) {
        return false;
    }
    d->epoch = has(m, CLAIM) ? (uint8_t)(s->epoch + 1) : s->generation;
    if (d->epoch < s->epoch) {
        return false;
    }
    if (d->epoch > s->epoch) {
        s->epoch = d->epoch;
        s->sequence = 0;
    }
    d->repeats = s->sequence;
    d->scheduler = true;
    d->proof_due = false;
    d->job = s->job;
    d->cancelled = s->cancelled;
    d->worker = s->worker;
    d->known[0] = d->known[1] = 0;
    d->lapse = (uint8_t)(lease + (has(m, SUCCESSOR) ? TTL + GRACE : 0));
    return true;
}

static bool
step_submit(struct model *m, int i, int w)
{
    struct state *s = &m->s;
    struct daemon *d = &s->d[i];
    bool stored;

    (void)w;
    if (!is_valid(d) || d->job || s->accepted || !append(s, d, &stored)) {
        return false;
    }
    s->job |= stored;
    d->job = true;
    s->accepted = true;
    if (!stored) {
        m->found = LOST;
    }
    return true;
}

/* For another job, or as the proof of the role. */
static bool
step_append(struct model *m, int i, int w)
{
    struct daemon *d = &m->s.d[i];
    bool stored;

    (void)w;
    if (!d->scheduler || d->renews <= GRACE || !append(&m->s, d, &stored)) {
        return false;
    }
    d->proof_due = false;
    return true;
}

static bool
step_cancel(struct model *m, int i, int w)
{
    struct state *s = &m->s;
    struct daemon *d = &s->d[i];
    bool stored;

    (void)w;
    if (!s->accepted || s->cancel_answered || !d->scheduler) {
        return false;
    }
    if (!d->job && !has(m, ANSWERS)) {
        s->cancel_answered = true;
        return true;
    }
    if (!is_valid(d) || !append(s, d, &stored)) {
        return false;
    }
    s->cancelled |= stored && d->job;
    d->cancelled |= d->job;
    s->cancel_answered = true;
    return true;
}

static bool
reaches(const struct state *s, int i, int w)
{
    return (s->w[w].cut >> i & 1) == 0;
}

static bool
step_start(struct model *m, int i, int w)
{
    struct state *s = &m->s;
    struct daemon *d = &s->d[i];
    struct worker *x = &s->w[w];
    bool current = d->known[w] == x->incarnation;
    bool stored;
    uint8_t lease;

    if (!is_valid(d) || !d->job || d->cancelled || d->worker != NOWHERE ||
        d->known[w] == 0 || !reaches(s, i, w) || x->fence > d->epoch ||
        !append(s, d, &stored)) {
        return false;
    }
    if (stored) {
        s->worker = (uint8_t)w;
        s->age = 0;
    }
    d->worker = (uint8_t)w;
    d->lapse = has(m, UNPROVED) ? HOLD : LEASE;
    x->fence = d->epoch;
    lease = current ? LEASE : HOLD;
    x->lease = x->lease > lease ? x->lease : lease;
    x->running = true;
    if (s->cancel_answered) {
        m->found = UNASKED;
    }
    return true;
}

/* A report, with a renewal where the run is listed. */
static bool
step_report(struct model *m, int i, int w)
{
    struct state *s = &m->s;
    struct daemon *d = &s->d[i];
    struct worker *x = &s->w[w];
    bool restarted = d->known[w] != 0 && d->known[w] != x->incarnation;
    bool known = d->known[w] == x->incarnation;
    bool listed = x->running;

    if (!d->scheduler || !reaches(s, i, w)) {
        return false;
    }
    if (x->fence > d->epoch) {
        d->scheduler = false;
        return true;
    }
    x->fence = d->epoch;
    d->known[w] = x->incarnation;
    if (d->worker != w) {
        if (x->running) {
            x->running = false; /* told to stop */
        }
        return true;
    }
    if (!listed || (restarted && !has(m, INCARNATION))) {
        d->worker = NOWHERE;
        return true;
    }
    if (!known) {
        /* Its lease may be on a former clock. */
        d->lapse = has(m, UNPROVED) ? HOLD : LEASE;
        return true;
    }
    if ((d->renews == 0 && has(m, RENEWALS)) || d->proof_due) {
        return true;
    }
    x->lease = x->lease > LEASE ? x->lease : LEASE;
    d->lapse = d->lapse > LEASE ? d->lapse : LEASE;
    return true;
}

static bool
step_give_up(struct model *m, int i, int w)
{
    struct state *s = &m->s;
    struct daemon *d = &s->d[i];
    bool refused = !has(m, REFUSED) && !reaches(s, i, w);

    if (!d->scheduler || d->worker != w || (d->lapse > 0 && !refused)) {
        return false;
    }
    d->worker = NOWHERE;
    return true;
}

/* ---- faults ---- */

/* The process ends and starts again within its membership. */
static bool
fault_restart(struct model *m, int i, int w)
{
    struct daemon *d = &m->s.d[i];

    (void)w;
    *d = (struct daemon){.store_cut = d->store_cut, .worker = NOWHERE};
    return true;
}

/* The store assigns the role anew, to the other member of the group. */
static bool
fault_deal(struct model *m, int i, int w)
{
    struct state *s = &m->s;

    (void)w;
    if (s->owner == i || s->expires[i] == 0 ||
        s->generation == GENERATION_MAX) {
        return false;
    }
    s->owner = (uint8_t)i;
    s->generation++;
    return true;
}

static bool
fault_store_cut(struct model *m, int i, int w)
{
    (void)w;
    m->s.d[i].store_cut = true;
    return true;
}

static bool
fault_worker_cut(struct model *m, int i, int w)
{
    m->s.w[w].cut |= (uint8_t)(1U << i);
    return true;
}

/* The worker starts again under its id. */
static bool
fault_worker_restart(struct model *m, int i, int w)
{
    struct worker *x = &m->s.w[w];

    if (i != 0) {
        return false;
    }
    *x = (struct worker){.incarnation = (uint8_t)(x->incarnation + 1),
                         .cut = x->cut};
    return true;
}

static void
count_down(uint8_t *left)
{
    *left -= *left > 0;
}

static void
step_time(struct state *s)
{
    s->age += s->age < HOLD && s->worker != NOWHERE;
    for (int i = 0; i < 2; i++) {
        count_down(&s->expires[i]);
        count_down(&s->d[i].renews);
        count_down(&s->d[i].lapse);
        count_down(&s->w[i].lease);
        s->w[i].running &= s->w[i].lease > 0;
    }
}

/* ---- the explorer ---- */

/* What is explored: the callers' calls with sound workers, or the runs of a
 * job that is stored. Both at once have too many states. */
enum scope { CALLS = 1, RUNS = 2 };

static const struct {
    const char *name;
    bool (*step)(struct model *m, int daemon, int worker);
    bool fault;
    bool worker; /* one step for each worker */
    uint8_t scopes;
} steps[] = {
    {"join", step_join, false, false, CALLS | RUNS},
    {"take over", step_take_over, false, false, CALLS | RUNS},
    {"submit", step_submit, false, false, CALLS},
    {"append", step_append, false, false, CALLS | RUNS},
    {"cancel", step_cancel, false, false, CALLS},
    {"start", step_start, false, true, CALLS | RUNS},
    {"report", step_report, false, true, CALLS | RUNS},
    {"give up", step_give_up, false, true, CALLS | RUNS},
    {"process restarts", fault_restart, true, false, CALLS | RUNS},
    {"role assigned anew", fault_deal, true, false, CALLS | RUNS},
    {"store cut", fault_store_cut, true, false, CALLS | RUNS},
    {"worker cut", fault_worker_cut, true, true, RUNS},
    {"worker restarts", fault_worker_restart, true, true, RUNS},
};

#define SEEN_BITS 23
#define SEEN_MAX (1U << SEEN_BITS)

struct node {
    struct state s;
    uint32_t parent;
    uint8_t step;
    uint8_t daemon;
    uint8_t worker;
};

struct explorer {
    struct node *nodes;
    uint32_t count;
    uint32_t *table; /* index + 1 into nodes */
};

static void
swap_daemons(struct state *s)
{
    struct daemon d = s->d[0];
    uint8_t expires = s->expires[0];

    s->d[0] = s->d[1];
    s->d[1] = d;
    s->expires[0] = s->expires[1];
    s->expires[1] = expires;
    s->owner ^= 1;
    for (int w = 0; w < 2; w++) {
        s->w[w].cut = (uint8_t)((s->w[w].cut & 1) << 1 | s->w[w].cut >> 1);
    }
}

static void
swap_workers(struct state *s)
{
    struct worker x = s->w[0];

    s->w[0] = s->w[1];
    s->w[1] = x;
    s->worker ^= s->worker != NOWHERE;
    for (int i = 0; i < 2; i++) {
        struct daemon *d = &s->d[i];
        uint8_t known = d->known[0];

        d->known[0] = d->known[1];
        d->known[1] = known;
        d->worker ^= d->worker != NOWHERE;
    }
}

/* Which daemon and which worker is the first one makes no difference. */
static void
order_names(struct state *s)
{
    struct state other;

    if (s->owner != 0) {
        swap_daemons(s);
    }
    other = *s;
    swap_workers(&other);
    if (memcmp(&other, s, sizeof(other)) < 0) {
        *s = other;
    }
}

/* Replaces what later steps only compare, and clears what they do not read, so
 * that equal states are recognized. */
static void
reduce(struct state *s, uint32_t guards)
{
    bool replaced = false; /* a scheduler has been */

    for (int i = 0; i < 2; i++) {
        struct daemon *d = &s->d[i];

        if (!d->scheduler) {
            *d = (struct daemon){.renews = d->renews,
                                 .store_cut = d->store_cut,
                                 .worker = NOWHERE};
        }
        d->lapse = d->worker == NOWHERE ? 0 : d->lapse;
        for (int w = 0; w < 2; w++) {
            d->known[w] = d->known[w] == 0                     ? 0
                          : d->known[w] == s->w[w].incarnation ? 2
                                                               : 1;
        }
    }
    for (int w = 0; w < 2; w++) {
        struct worker *x = &s->w[w];

        x->incarnation = 2;
        x->lease = x->running || x->lease > LEASE ? x->lease : 0;
    }
    if ((guards >> CLAIM & 1) == 0) {
        return; /* epochs are generations */
    }
    s->generation = 1;
    s->sequence = 0; /* each takeover has an epoch of its own */
    for (int i = 0; i < 2; i++) {
        replaced |= s->d[i].scheduler && s->d[i].epoch < s->epoch;
    }
    for (int w = 0; w < 2; w++) {
        struct worker *x = &s->w[w];

        x->fence = replaced && x->fence == s->epoch ? 2 : 0;
    }
    for (int i = 0; i < 2; i++) {
        struct daemon *d = &s->d[i];

        d->epoch = !d->scheduler ? 0 : d->epoch == s->epoch ? 2 : 1;
    }
    s->epoch = s->epoch == 0 ? 0 : 2;
}

/* Adds a state that has not been seen. */
static void
visit(struct explorer *e, const struct state *s, uint32_t parent, uint8_t step,
      int daemon, int worker)
{
    struct cw_str key = {(const char *)s, sizeof(*s)};
    uint32_t at = (uint32_t)(cw_hash(key, 0) & (SEEN_MAX - 1));

    while (e->table[at] != 0) {
        if (memcmp(&e->nodes[e->table[at] - 1].s, s, sizeof(*s)) == 0) {
            return;
        }
        at = (at + 1) & (SEEN_MAX - 1);
    }
    assert_true(e->count < SEEN_MAX / 2);
    e->nodes[e->count] =
        (struct node){*s, parent, step, (uint8_t)daemon, (uint8_t)worker};
    e->table[at] = ++e->count;
}

/* Daemons and workers may change their numbers between two steps. */
static void
print_trace(const struct explorer *e, uint32_t n)
{
    if (n != 0) {
        print_trace(e, e->nodes[n].parent);
        printf("  %s daemon=%u worker=%u\n",
               e->nodes[n].step < COUNT(steps) ? steps[e->nodes[n].step].name
                                               : "a step of time",
               e->nodes[n].daemon, e->nodes[n].worker);
    }
}

/* Tries one step from a node; returns the fault that it shows. */
static enum fault_kind
try_step(struct explorer *e, uint32_t n, uint32_t guards, uint8_t k,
         int daemon, int worker)
{
    struct model m = {.guards = guards, .s = e->nodes[n].s};

    if (k == COUNT(steps)) {
        step_time(&m.s);
    }
    else {
        if ((steps[k].fault && m.s.faults++ == FAULTS_MAX) ||
            !steps[k].step(&m, daemon, worker)) {
            return NONE;
        }
    }
    if (m.s.w[0].running && m.s.w[1].running) {
        m.found = TWICE;
    }
    reduce(&m.s, guards);
    order_names(&m.s);
    visit(e, &m.s, n, k, daemon, worker);
    return m.found;
}

/* Explores all states; returns the first fault that is found, with a shortest
 * trace. */
static enum fault_kind
explore(uint32_t guards, enum scope scope)
{
    struct explorer e = {malloc(sizeof(struct node) * (SEEN_MAX / 2)), 0,
                         calloc(SEEN_MAX, sizeof(uint32_t))};
    struct state first = {.worker = NOWHERE,
                          .generation = 1,
                          .job = scope == RUNS,
                          .accepted = scope == RUNS};
    enum fault_kind found = NONE;

    assert_true(e.nodes != NULL && e.table != NULL);
    for (int i = 0; i < 2; i++) {
        first.d[i].worker = NOWHERE;
        first.w[i].incarnation = 1;
    }
    visit(&e, &first, 0, 0, 0, 0);
    for (uint32_t n = 0; n < e.count && found == NONE; n++) {
        for (uint8_t k = 0; k <= COUNT(steps) && found == NONE; k++) {
            bool each = k < COUNT(steps) && steps[k].worker;

            if (k < COUNT(steps) && (steps[k].scopes & scope) == 0) {
                continue;
            }
            for (int i = 0; i < (k < COUNT(steps) ? 4 : 1); i++) {
                if ((i & 1) != 0 && !each) {
                    continue;
                }
                found = try_step(&e, n, guards, k, i >> 1, i & 1);
                if (found != NONE) {
                    print_trace(&e, e.count - 1);
                    break;
                }
            }
        }
    }
    printf("guards %02x: %u states, fault %d\n", guards, e.count, found);
    free(e.nodes);
    free(e.table);
    return found;
}

/* Callers saw each of these faults on the code without the guard: the review's
 * five cases, the lease of a former life, and a takeover's count of it. */
static void
test_each_guard_is_needed(void **state)
{
    static const struct {
        enum guard out;
        enum scope scope;
        enum fault_kind found;
    } cases[] = {
        {CLAIM, CALLS, LOST},      {INCARNATION, RUNS, TWICE},
        {REFUSED, RUNS, TWICE},    {RENEWALS, RUNS, TWICE},
        {ANSWERS, CALLS, UNASKED}, {SUCCESSOR, RUNS, TWICE},
        {UNPROVED, RUNS, TWICE},   {LOADED, RUNS, TWICE},
        {GAP, RUNS, TWICE},
    };

    (void)state;
    for (size_t i = 0; i < COUNT(cases); i++) {
        assert_int_equal(explore(ALL & ~(1U << cases[i].out), cases[i].scope),
                         cases[i].found);
    }
}

/* Guards against a fault of these kinds in the rules themselves. */
static void
test_all_guards_suffice(void **state)
{
    (void)state;
    assert_int_equal(explore(ALL, CALLS), NONE);
    assert_int_equal(explore(ALL, RUNS), NONE);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_each_guard_is_needed),
        cmocka_unit_test(test_all_guards_suffice),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
