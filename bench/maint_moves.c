/* A day of demand in turns with a morning trend on one service, under move
 * policies. */
#include "bench_maint.h"

#include <math.h>

#define POOLS 5
#define SPARE 4
#define SLOTS 8
#define TURN_S 5
#define MOVE_S 90
#define DEADLINE_S 10

struct pool {
    uint32_t vms;
    struct cw_trend trend;
    bool moving;
    double waiting; /* slot-seconds in the queue */
};

struct move {
    uint32_t from;
    uint32_t to;
    int left_s; /* 0 = free */
};

struct sim {
    struct pool pools[POOLS];
    struct move moves[16];
    double moved;
    double shed;
    double offered;
    double idle_hours; /* VMs above what the 15 min average needs */
    double out_hours;
    double reserve_hours;
};

/* Each service in turn asks for 5 times its mean for some seconds and for a
 * twentieth in between. The first one's mean rises to 5.5 times between 6 and
 * 9, the price run, and is back by 11. */
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
view(const struct sim *s, size_t i, int second)
{
    const struct pool *p = &s->pools[i];
    cw_ms wall = BENCH_T0 + (cw_ms)second * 1000;
    return (struct cw_spare_pool){
        .vms = p->vms,
        .ready = p->vms,
        .vms_min = 6,
        .vms_max = 18,
        .slots = SLOTS,
        .spare = i == SPARE,
        .moving = p->moving,
        .demand_now = demand(i, second),
        .avg_2min = cw_trend_average(&p->trend, wall, 2 * CW_MINUTE),
        .avg_15min = cw_trend_average(&p->trend, wall, 15 * CW_MINUTE),
        .burst = 5 * cw_trend_average(&p->trend, wall, 15 * CW_MINUTE)};
}

static void
serve(struct sim *s, int second)
{
    for (size_t i = 0; i < POOLS; i++) {
        struct pool *p = &s->pools[i];
        double want = demand(i, second);
        double can = p->vms * SLOTS;
        cw_ms from = BENCH_T0 + (cw_ms)second * 1000;
        /* Requests wait until their deadline. */
        p->waiting += want - can;
        p->waiting = p->waiting > 0 ? p->waiting : 0;
        double over = p->waiting - can * DEADLINE_S;
        s->offered += want;
        s->shed += over > 0 ? over : 0;
        p->waiting -= over > 0 ? over : 0;
        cw_trend_add(&p->trend, from, from + 1000, want * 1000);
        double avg = cw_trend_average(&p->trend, from, 15 * CW_MINUTE);
        double idle = p->vms - avg * 1.2 / SLOTS;
        if (i != SPARE) {
            s->idle_hours += idle > 0 ? idle / 3600 : 0;
        }
    }
}

static void
run_moves(struct sim *s)
{
    for (size_t k = 0; k < 16; k++) {
        struct move *m = &s->moves[k];
        if (m->left_s > 0) {
            s->out_hours += 1 / 3600.0;
            m->left_s--;
            if (m->left_s == 0) {
                s->pools[m->to].vms++;
                s->pools[m->from].moving = s->pools[m->to].moving = false;
            }
        }
    }
}

static void
begin_moves(struct sim *s, const struct cw_spare_out *out)
{
    for (size_t i = 0; i < out->count; i++) {
        for (size_t k = 0; k < 16; k++) {
            struct move *m = &s->moves[k];
            if (m->left_s == 0) {
                m->from = (uint32_t)out->moves[i].from;
                m->to = (uint32_t)out->moves[i].to;
                m->left_s = MOVE_S;
                s->pools[m->from].vms--;
                s->pools[m->from].moving = s->pools[m->to].moving = true;
                s->moved++;
                break;
            }
        }
    }
}

static void
report(const char *name, const struct cw_spare_params *p)
{
    static struct sim s;
    memset(&s, 0, sizeof(s));
    for (size_t i = 0; i < POOLS; i++) {
        s.pools[i].vms = 10;
        cw_trend_init(&s.pools[i].trend);
    }
    for (int second = 0; second < 86400; second++) {
        serve(&s, second);
        run_moves(&s);
        struct cw_spare_pool pools[POOLS];
        struct cw_spare_out out;
        for (size_t i = 0; i < POOLS; i++) {
            pools[i] = view(&s, i, second);
        }
        s.reserve_hours += cw_spare_reserve(p, POOLS, pools) / 3600.0;
        if (second % 5 == 0 && second > 900) {
            cw_spare_decide(p, POOLS, pools, &out);
            begin_moves(&s, &out);
        }
    }
    printf("maint_moves_per_day_%s=%.0f\n", name, s.moved);
    printf("maint_shed_pct_%s=%.3f\n", name, s.shed / s.offered * 100);
    printf("maint_idle_vm_hours_%s=%.1f\n", name, s.idle_hours);
    printf("maint_reserve_vm_hours_%s=%.1f\n", name, s.reserve_hours);
    printf("maint_moving_vm_hours_%s=%.2f\n", name, s.out_hours);
}

void
bench_moves(struct cw_rng *rng)
{
    (void)rng;
    struct cw_spare_params p = cw_spare_defaults();
    p.enabled = false;
    report("none", &p);
    p = cw_spare_defaults();
    p.use_trend = p.hysteresis = p.check_payoff = p.one_per_pool = false;
    report("eager", &p);
    p = cw_spare_defaults();
    p.return_idle = false;
    report("keep_idle", &p);
    for (uint32_t k = 0; k <= 3; k++) {
        char name[24];
        p = cw_spare_defaults();
        p.bursts = k;
        snprintf(name, sizeof(name), "chosen_bursts_%u", k);
        report(name, &p);
    }
}
