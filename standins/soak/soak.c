/* soak FOLDER SEED KINDS SECONDS: real daemons, stand-ins, random faults of
 * the kinds (names with commas between). Exits with 1 if a rule was broken. */
#include "trouble.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SETTLE_MS 2000
#define DRAIN_MS 6000

struct daemon *soak_d[SOAK_DAEMONS];
int soak_daemons = 4;
struct worker *soak_w[SOAK_RUNNERS];

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
    const char *v = getenv("SOAK_CPU");
    int cpu = v == NULL ? 3000 : atoi(v);

    tenants_put(false);
    for (int i = 0; i < SOAK_RUNNERS; i++) {
        soak_w[i] = worker_new(SERVICE, cpu);
        soak_wrap_worker(i);
    }
    for (int i = 0; i < soak_daemons; i++) {
        char name[16];

        snprintf(name, sizeof(name), "front-%d", i + 1);
        soak_d[i] = daemon_new(name);
        soak_wrap_daemon(i);
        daemon_start(soak_d[i]);
    }
    for (int i = 0; i < soak_daemons; i++) {
        if (!daemon_wait_ready(soak_d[i], 10000)) {
            rig_exit(2, "a daemon did not become ready");
        }
    }
    sleep_ms(SETTLE_MS);
}

/* What is shown at the end of each job that should have succeeded. */
static int
ask_all(void)
{
    int unfinished = 0;

    for (int i = 0; i < job_count(); i++) {
        struct job_row j = job_get(i);
        char state[16];
        int status;

        if (j.accepted == 0 || j.cancel_sent != 0 || j.lasting) {
            continue;
        }
        client_key = tenant_key(j.tenant);
        status =
            get_state(soak_d[i % soak_daemons], j.id, state, sizeof(state));
        if (status != 200 || state[0] != 's') {
            rec("END: job %s, accepted at %.3f s, is %d %s", j.id,
                (double)j.accepted / 1000, status, state);
            unfinished++;
        }
    }
    return unfinished;
}

int
main(int argc, char **argv)
{
    uint64_t seed = argc > 2 ? strtoull(argv[2], NULL, 10) : 1;
    const char *kinds = argc > 3 ? argv[3] : "";
    long long ms = argc > 4 ? strtoll(argv[4], NULL, 10) * 1000 : 40000;
    const char *daemons = getenv("SOAK_N");
    int unfinished;
    int n;

    if (daemons != NULL) {
        soak_daemons = atoi(daemons);
    }
    rig_init(argc, argv);
    if (strstr(kinds, "clock") != NULL) {
        clock_prepare(argv[1]);
    }
    rec("soak: seed=%llu kinds=%s", (unsigned long long)seed, kinds);
    start_all();
    clients_start(seed, ms);
    faults_run(seed, rig_trouble() ? kinds : "", ms);
    clients_join();
    sleep_ms(DRAIN_MS);
    unfinished = ask_all();
    n = soak_check();
    rig_exit(n > 0 ? 1 : 0,
             "seed %llu, %s: %d violations in %d jobs, %d not finished",
             (unsigned long long)seed, kinds, n, job_count(), unfinished);
}
