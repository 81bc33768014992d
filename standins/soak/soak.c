/* soak FOLDER SEED KINDS SECONDS: real daemons, stand-ins, random faults of
 * the kinds (names with commas between). Exits with 1 if a rule was broken. */
#include "trouble.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define SETTLE_MS 2000
/* With the kind dark: under half of the capacity is in use at the end, as the
 * rule LOST asks for. */
#define IDLE_PAUSE_MS 1500
/* A run that takes so much longer than its faults ends without a result. The
 * limit of the cases is too short for routes and the last faults of all kinds
 * together. */
#define RUN_OVERHEAD_MAX_S 150

struct daemon *soak_d[SOAK_DAEMONS];
int soak_daemons = 4;
struct worker *soak_w[SOAK_RUNNERS];
int soak_runners;

uint64_t
rng_next(struct rng *r)
{
    uint64_t z = r->s += 0x9e3779b97f4a7c15ULL;

    z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ z >> 27) * 0x94d049bb133111ebULL;
    return z ^ z >> 31;
}

long long
rng_range(struct rng *r, long long lo, long long hi)
{
    return lo + (long long)(rng_next(r) % (uint64_t)(hi - lo + 1));
}

bool
rng_chance(struct rng *r, int percent)
{
    return percent > 0 && rng_range(r, 0, 99) < percent;
}

static void
start_all(void)
{
    tenants_put(false);
    site_runners_new();
    gangs_start();
    if (site_is_large()) {
        vms_start();
    }
    for (int i = 0; i < soak_daemons; i++) {
        char name[16];

        snprintf(name, sizeof(name), "front-%d", i + 1);
        soak_d[i] = daemon_new(name);
        soak_wrap_daemon(i);
        daemon_set_vm_control(i);
        config_slow_link(name);
        daemon_start(soak_d[i]);
    }
    for (int i = 0; i < soak_daemons; i++) {
        if (!daemon_wait_ready(soak_d[i], 10000)) {
            rig_exit(2, "a daemon did not become ready");
        }
    }
    sleep_ms(SETTLE_MS);
}

int
main(int argc, char **argv)
{
    uint64_t seed = argc > 2 ? strtoull(argv[2], NULL, 10) : 1;
    const char *kinds = argc > 3 ? argv[3] : "";
    long long ms = argc > 4 ? strtoll(argv[4], NULL, 10) * 1000 : 40000;
    const char *daemons = getenv("SOAK_N");
    long long stopped;
    int n;

    if (site_is_large()) {
        soak_daemons = 6;
    }
    if (daemons != NULL) {
        soak_daemons = atoi(daemons);
    }
    if (soak_daemons < 1 || soak_daemons > SOAK_DAEMONS) {
        fprintf(stderr, "SOAK_N must be 1 to %d\n", SOAK_DAEMONS);
        return 2;
    }
    rig_init(argc, argv);
    alarm((unsigned)(ms / 1000) + RUN_OVERHEAD_MAX_S);
    if (strstr(kinds, "clock") != NULL) {
        clock_prepare(argv[1]);
    }
    rec("soak: seed=%llu kinds=%s site=%d", (unsigned long long)seed, kinds,
        site_is_large());
    if (rig_trouble() && strstr(kinds, "routes") != NULL) {
        config_use();
    }
    start_all();
    if (!site_is_large() && strstr(kinds, "dark") != NULL) {
        clients_set_pause(IDLE_PAUSE_MS);
    }
    lost_watch();
    clients_submit_lasting();
    clients_start(seed);
    config_start(seed);
    faults_run(seed, rig_trouble() ? kinds : "", ms);
    if (rig_trouble()) {
        faults_last(seed, kinds);
    }
    config_stop();
    clients_stop();
    clients_join();
    stopped = now_ms();
    n = lost_ask(stopped);
    n += soak_check();
    n += config_check();
    n += work_check();
    n += site_is_large() ? vms_check() : 0;
    rig_exit(n > 0 ? 1 : 0,
             "seed %llu, %s: %d violations in %d jobs, %d not finished",
             (unsigned long long)seed, kinds, n, job_count(),
             lost_unfinished());
}
