/* The further kinds of trouble, each for some seconds. */
#include "trouble.h"

#include <stdio.h>

const char *const trouble_names[TROUBLES] = {"reuse",
                                             "reuseback",
                                             "cutstore",
                                             "cutboth",
                                             "bornstep",
                                             "power",
                                             "cutsome",
                                             "resets",
                                             "lateorders",
                                             "lateorders2",
                                             "slow",
                                             "hang",
                                             "mute",
                                             "grey",
                                             "clock",
                                             "powerall",
                                             "cancelagain",
                                             "compact",
                                             [TROUBLE_DARK] = "dark"};

enum kind {
    REUSE,
    REUSEBACK,
    CUTSTORE,
    CUTBOTH,
    BORNSTEP,
    POWER,
    CUTSOME,
    RESETS,
    LATEORDERS,
    LATEORDERS2,
    SLOW,
    HANG,
    MUTE,
    GREY,
    CLOCK,
    POWERALL,
    CANCELAGAIN,
    COMPACT,
    DARK
};

enum trouble_place
trouble_at(int kind)
{
    if (kind <= BORNSTEP) {
        return AT_LIFE;
    }
    return kind >= CUTSOME && kind <= GREY ? AT_CALLS : AT_NONE;
}

/* ---- lives of runners ---- */

static void
do_reuse(struct rng *r, int i)
{
    int id = fault_begin(-1, "%s crashes for good, address reused",
                         worker_id(soak_w[i]));

    worker_crash(soak_w[i]);
    sleep_ms(rng_range(r, 200, 2000));
    (void)worker_replace(i);
    fault_end(id);
}

/* The runner at the former address crashes for good some seconds later. */
static void
do_reuse_back(struct rng *r, int i)
{
    int id = fault_begin(-1, "%s starts again at another address",
                         worker_id(soak_w[i]));
    struct worker *other;

    worker_crash(soak_w[i]);
    sleep_ms(rng_range(r, 200, 2000));
    other = worker_move(i);
    fault_end(id);
    if (other != NULL) {
        sleep_ms(rng_range(r, 4000, 9000));
        id = fault_begin(-1, "%s crashes for good", worker_id(other));
        worker_crash(other);
        fault_end(id);
    }
}

static void
do_cut_store(struct rng *r, int i)
{
    int id = fault_begin(-1, "%s cut from the store", worker_id(soak_w[i]));

    worker_store_cut(i, true);
    sleep_ms(rng_range(r, 2000, 9000));
    worker_store_cut(i, false);
    fault_end(id);
}

static void
do_cut_both(struct rng *r, int i)
{
    int id = fault_begin(-1, "%s cut from all, starts again behind the cut",
                         worker_id(soak_w[i]));

    worker_cut(soak_w[i], true);
    sleep_ms(rng_range(r, 100, 2500));
    worker_reborn_cut(i);
    sleep_ms(rng_range(r, 100, 4000));
    worker_cut(soak_w[i], false);
    fault_end(id);
}

static long long
step(struct rng *r)
{
    long long ms = rng_range(r, 2000, 20000);

    return rng_chance(r, 50) ? ms : -ms;
}

static void
do_born_step(struct rng *r, int i)
{
    long long ms = step(r);
    int id = fault_begin(-1, "crash and start of %s, its clock %lld ms ahead",
                         worker_id(soak_w[i]), ms);

    worker_crash(soak_w[i]);
    sleep_ms(rng_range(r, 300, 1000));
    worker_restart_shifted(i, ms);
    fault_end(id);
}

static void
do_power(struct rng *r)
{
    bool mine[SOAK_RUNNERS] = {false};
    int id = fault_begin(-1, "power lost by all runners");

    for (int i = 0; i < soak_runners; i++) {
        mine[i] = worker_claim(i);
        if (mine[i]) {
            worker_crash(soak_w[i]);
        }
    }
    sleep_ms(rng_range(r, 500, 4000));
    for (int i = 0; i < soak_runners; i++) {
        if (mine[i]) {
            worker_restart(soak_w[i]);
            worker_release(i);
        }
    }
    fault_end(id);
}

/* ---- calls to runners ---- */

static void
do_calls(struct rng *r, int i, const char *what, struct call_trouble t,
         long long least, long long most)
{
    int id = fault_begin(-1, "calls to %s: %s", worker_id(soak_w[i]), what);

    worker_calls(i, t);
    sleep_ms(rng_range(r, least, most));
    worker_calls(i, (struct call_trouble){.late = 0});
    fault_end(id);
}

static void
do_cut_some(struct rng *r, int i)
{
    struct call_trouble t = {.fronts = 1U << fault_scheduler(r)};

    for (int k = 0; k < soak_daemons; k++) {
        t.fronts |= rng_chance(r, 40) ? 1U << k : 0;
    }
    do_calls(r, i, "cut from some daemons", t, 1500, 8000);
}

static void
do_resets(struct rng *r, int i)
{
    long long until = now_ms() + rng_range(r, 2000, 5000);
    int id = fault_begin(-1, "resets at runners and daemons");

    worker_calls(i, (struct call_trouble){.reset = 40});
    while (now_ms() < until) {
        for (int k = 0; k < soak_runners; k++) {
            if (rng_chance(r, 30)) {
                worker_reset(k);
            }
        }
        for (int k = 0; k < soak_daemons; k++) {
            if (rng_chance(r, 20)) {
                daemon_reset_store(k);
            }
        }
        sleep_ms(rng_range(r, 200, 900));
    }
    worker_calls(i, (struct call_trouble){.reset = 0});
    fault_end(id);
}

static void
run_calls(struct rng *r, int kind, int i)
{
    switch (kind) {
    case CUTSOME:
        do_cut_some(r, i);
        break;
    case RESETS:
        do_resets(r, i);
        break;
    case LATEORDERS:
        do_calls(r, i, "late orders", (struct call_trouble){.late = 30}, 1500,
                 5000);
        break;
    case LATEORDERS2:
        do_calls(r, i, "late orders, any life",
                 (struct call_trouble){.late = 30, .any_life = true}, 1500,
                 5000);
        break;
    case SLOW:
        do_calls(r, i, "slow", (struct call_trouble){.slow = 60}, 2000, 8000);
        break;
    case HANG:
        do_calls(r, i, "hang", (struct call_trouble){.hang = true}, 1000,
                 9000);
        break;
    case MUTE:
        do_calls(r, i, "mute", (struct call_trouble){.mute = true}, 1000,
                 9000);
        break;
    case GREY:
        do_calls(r, i, "grey", (struct call_trouble){.refuse = 40}, 2000,
                 8000);
        break;
    default:
        break;
    }
}

/* ---- daemons, store, clients ---- */

static void
do_clock(struct rng *r)
{
    bool shifted[SOAK_DAEMONS] = {false};
    long long ms = step(r);
    int id = fault_begin(-1, "time of day of some daemons %lld ms ahead", ms);

    for (int i = 0; i < soak_daemons; i++) {
        shifted[i] = rng_chance(r, 45);
        if (shifted[i]) {
            clock_shift(i, ms);
        }
    }
    sleep_ms(rng_range(r, 2000, 9000));
    for (int i = 0; i < soak_daemons; i++) {
        if (shifted[i]) {
            clock_shift(i, 0);
        }
    }
    fault_end(id);
}

static void
do_power_all(struct rng *r)
{
    bool mine[SOAK_DAEMONS] = {false};
    int id = fault_begin(-1, "power lost by all daemons");

    for (int i = 0; i < soak_daemons; i++) {
        mine[i] = daemon_claim(i);
        if (mine[i]) {
            daemon_kill(soak_d[i]);
        }
    }
    sleep_ms(rng_range(r, 500, 4000));
    for (int i = 0; i < soak_daemons; i++) {
        if (mine[i]) {
            daemon_start_again(i);
            daemon_release(i);
        }
    }
    fault_end(id);
}

static void
do_compact(struct rng *r)
{
    int id = fault_begin(-1, "log compacted while the group changes");

    for (int i = 0; i < 3; i++) {
        store_compact((int)rng_range(r, 0, 3));
        if (rng_chance(r, 60)) {
            store_deal_again();
        }
        sleep_ms(rng_range(r, 100, 1500));
        store_compact((int)rng_range(r, 0, 3));
    }
    fault_end(id);
}

static void
do_cancel_again(struct rng *r)
{
    int id = fault_begin(-1, "cancels with lost answers, handed in again");

    for (int i = 0; i < 3; i++) {
        cancel_again(r);
    }
    fault_end(id);
}

void
trouble_run(struct rng *r, int kind, int i)
{
    switch (kind) {
    case REUSE:
        do_reuse(r, i);
        break;
    case REUSEBACK:
        do_reuse_back(r, i);
        break;
    case CUTSTORE:
        do_cut_store(r, i);
        break;
    case CUTBOTH:
        do_cut_both(r, i);
        break;
    case BORNSTEP:
        do_born_step(r, i);
        break;
    case POWER:
        do_power(r);
        break;
    case CLOCK:
        do_clock(r);
        break;
    case POWERALL:
        do_power_all(r);
        break;
    case CANCELAGAIN:
        do_cancel_again(r);
        break;
    case COMPACT:
        do_compact(r);
        break;
    case DARK:
        dark_series(r);
        break;
    default:
        run_calls(r, kind, i);
        break;
    }
}
