/* Compares move policies over a simulated day in which the services peak in
 * turn and the demand of one of them also rises in the morning. */
#include "bench_maint.h"

#include <math.h>

#define POOLS 5
#define SPARE_POOL 4
#define VM_SLOTS 8
#define TURN_S 5 /* length of a service's peak */
#define MOVE_S 90
#define DEADLINE_S 10
#define MOVES_MAX 16

struct pool {
    uint32_t vms;
    struct cw_trend trend;
    bool moving;
    double queued; /* slot-seconds */
};

struct move {
    uint32_t from;
    uint32_t to;
    int remaining_s; /* 0 = unused entry */
};

struct sim {
    struct pool pools[POOLS];
    struct move moves[MOVES_MAX];
    double moves_started;
    double shed;
    double offered;
    double idle_hours;    /* VMs beyond 1.2 times the 15 min average's need */
    double moving_hours;  /* VMs in a move */
    double reserve_hours; /* VMs reserved for bursts */
};

/* Demand of a service in slots. Each in turn has 5 times its mean demand for
 * TURN_S and a twentieth of it the rest of the time. The mean of the first one
 * rises to 5.5 times between 6:00 and 9:00, during its price run, and is back
 * at 11:00. */
static double
demand(size_t i, int second)
{
    double hour = second / 3600.0;
    double mean = 18;
    if (i == 0 && hour > 6 && hour < 11) {
        mean *=
            hour < 9 ? 1 + 4.5 * (hour - 6) / 3 : 5.5 - 4.5 * (hour - 9) / 2;
    }
    bool peak = (size_t)(second / TURN_S) % POOLS == i;
    return mean * (peak ? 5 : 0.05);
}

static struct cw_spare_pool
spare_pool_inputs(const struct sim *s, size_t i, int second)
{
    const struct pool *p = &s->pools[i];
    cw_ms wall = BENCH_START + (cw_ms)second * 1000;
    return (struct cw_spare_pool){
        .vms = p->vms,
        .ready = p->vms,
        .vms_min = 6,
        .vms_max = 18,
        .slots = VM_SLOTS,
        .spare = i == SPARE_POOL,
        .moving = p->moving,
        .demand_now = demand(i, second),
        .avg_2min = cw_trend_average(&p->trend, wall, 2 * CW_MINUTE),
        .avg_15min = cw_trend_average(&p->trend, wall, 15 * CW_MINUTE),
        .burst = 5 * cw_trend_average(&p->trend, wall, 15 * CW_MINUTE)};
}

static void
serve_second(struct sim *s, int second)
{
    for (size_t i = 0; i < POOLS; i++) {
        struct pool *p = &s->pools[i];
        double demanded = demand(i, second);
        double capacity = p->vms * VM_SLOTS;
        cw_ms from = BENCH_START + (cw_ms)second * 1000;
        /* Requests wait until their deadline and are shed then. */
        p->queued += demanded - capacity;
        p->queued = p->queued > 0 ? p->queued : 0;
        double expired = p->queued - capacity * DEADLINE_S;
        s->offered += demanded;
        s->shed += expired > 0 ? expired : 0;
        p->queued -= expired > 0 ? expired : 0;
        cw_trend_add(&p->trend, from, from + 1000, demanded * 1000);
        double avg = cw_trend_average(&p->trend, from, 15 * CW_MINUTE);
        double idle = p->vms - avg * 1.2 / VM_SLOTS;
        if (i != SPARE_POOL) {
            s->idle_hours += idle > 0 ? idle / 3600 : 0;
        }
    }
}

static void
advance_moves(struct sim *s)
{
    for (size_t k = 0; k < MOVES_MAX; k++) {
        struct move *m = &s->moves[k];
        if (m->remaining_s > 0) {
            s->moving_hours += 1 / 3600.0;
            m->remaining_s--;
            if (m->remaining_s == 0) {
                s->pools[m->to].vms++;
                s->pools[m->from].moving = s->pools[m->to].moving = false;
            }
        }
    }
}

static void
start_moves(struct sim *s, const struct cw_spare_out *out)
{
    for (size_t i = 0; i < out->count; i++) {
        for (size_t k = 0; k < MOVES_MAX; k++) {
            struct move *m = &s->moves[k];
            if (m->remaining_s == 0) {
                m->from = (uint32_t)out->moves[i].from;
                m->to = (uint32_t)out->moves[i].to;
                m->remaining_s = MOVE_S;
                s->pools[m->from].vms--;
                s->pools[m->from].moving = s->pools[m->to].moving = true;
                s->moves_started++;
                break;
            }
        }
    }
}

static void
run_policy(const char *name, const struct cw_spare_params *p)
{
    static struct sim s;
    memset(&s, 0, sizeof(s));
    for (size_t i = 0; i < POOLS; i++) {
        s.pools[i].vms = 10;
        cw_trend_init(&s.pools[i].trend);
    }
    for (int second = 0; second < 86400; second++) {
        serve_second(&s, second);
        advance_moves(&s);
        struct cw_spare_pool pools[POOLS];
        struct cw_spare_out out;
        for (size_t i = 0; i < POOLS; i++) {
            pools[i] = spare_pool_inputs(&s, i, second);
        }
        s.reserve_hours += cw_spare_reserve(p, POOLS, pools) / 3600.0;
        if (second % 5 == 0 && second > 900) {
            cw_spare_decide(p, POOLS, pools, &out);
            start_moves(&s, &out);
        }
    }
    printf("maint_moves_per_day_%s=%.0f\n", name, s.moves_started);
    printf("maint_shed_pct_%s=%.3f\n", name, s.shed / s.offered * 100);
    printf("maint_idle_vm_hours_%s=%.1f\n", name, s.idle_hours);
    printf("maint_reserve_vm_hours_%s=%.1f\n", name, s.reserve_hours);
    printf("maint_moving_vm_hours_%s=%.2f\n", name, s.moving_hours);
}

void
bench_moves(struct cw_rng *rng)
{
    (void)rng;
    struct cw_spare_params p = cw_spare_defaults();
    p.enabled = false;
    run_policy("none", &p);
    p = cw_spare_defaults();
    p.use_trend = p.hysteresis = p.check_payoff = p.one_per_pool = false;
    run_policy("eager", &p);
    p = cw_spare_defaults();
    p.return_idle = false;
    run_policy("keep_idle", &p);
    for (uint32_t k = 0; k <= 3; k++) {
        char name[24];
        p = cw_spare_defaults();
        p.bursts = k;
        snprintf(name, sizeof(name), "chosen_bursts_%u", k);
        run_policy(name, &p);
    }
}
