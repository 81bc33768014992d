/* Faults of a site: waves, the control of VMs, many processes at once. */
#include "soak.h"

#include <stdio.h>

static const char *const names[SITE_KINDS] = {
    [SITE_WAVE] = "wave",     [SITE_VMSLOW] = "vmslow",
    [SITE_VMLATE] = "vmlate", [SITE_VMSILENT] = "vmsilent",
    [SITE_VMBUSY] = "vmbusy", [SITE_ADDD] = "addd",
    [SITE_HERD] = "herd",     [SITE_HERDW] = "herdw",
    [SITE_QUIET] = "quiet",
};

const char *
site_kind_name(int kind)
{
    return names[kind];
}

static void
do_wave(struct rng *r)
{
    int id = fault_begin(-1, "wave");

    vms_wave(r);
    fault_end(id);
}

static void
do_control(struct rng *r, enum vm_fault f, const char *text)
{
    int id = fault_begin(-1, "control of VMs %s", text);

    vms_fault(f, true);
    sleep_ms(rng_range(r, 2000, 8000));
    vms_fault(f, false);
    fault_end(id);
}

/* One more daemon, up to the most that there can be. */
static void
do_add(void)
{
    static pthread_mutex_t adding = PTHREAD_MUTEX_INITIALIZER;
    int i;

    pthread_mutex_lock(&adding);
    i = soak_daemons;
    if (i < SOAK_DAEMONS) {
        int id = fault_begin(i, "front-%d is added", i + 1);

        daemon_add();
        fault_end(id);
    }
    pthread_mutex_unlock(&adding);
}

/* All processes end at once and start again one after the other. */
static void
do_herd(struct rng *r)
{
    long long at[SOAK_DAEMONS] = {0}; /* 0: not ended by this fault */
    int id[SOAK_DAEMONS];
    int n = soak_daemons;
    int left = 0;

    for (int i = 0; i < n; i++) {
        if (daemon_claim(i)) {
            id[i] = fault_begin(i, "kill of front-%d with all others", i + 1);
            daemon_kill(soak_d[i]);
            at[i] = now_ms() + rng_range(r, 1000, 4000);
            left++;
        }
    }
    while (left > 0) {
        sleep_ms(20);
        for (int i = 0; i < n; i++) {
            if (at[i] != 0 && now_ms() >= at[i]) {
                at[i] = 0;
                left--;
                daemon_start_again(i);
                fault_end(id[i]);
                daemon_release(i);
            }
        }
    }
}

/* A share of a service's runners crash at once and start again. */
static void
do_herd_of_runners(struct rng *r)
{
    bool mine[SOAK_RUNNERS] = {false};
    int service = (int)rng_range(r, 0, site_service_count() - 1);
    int percent = (int)rng_range(r, 30, 100);
    int id = fault_begin(-1, "crash and start of %d %% of the runners of %s",
                         percent, site_service(service));

    for (int i = 0; i < soak_runners; i++) {
        if (vms_service(i) == service && rng_chance(r, percent)) {
            mine[i] = worker_claim(i);
            if (mine[i]) {
                worker_crash(soak_w[i]);
            }
        }
    }
    sleep_ms(rng_range(r, 300, 1500));
    for (int i = 0; i < soak_runners; i++) {
        if (mine[i]) {
            worker_restart(soak_w[i]);
            worker_release(i);
        }
    }
    fault_end(id);
}

void
site_fault(struct rng *r, int kind)
{
    switch (kind) {
    case SITE_WAVE:
        do_wave(r);
        break;
    case SITE_VMSLOW:
        do_control(r, VM_FAULT_SLOW, "slow");
        break;
    case SITE_VMLATE:
        do_control(r, VM_FAULT_LATE, "late");
        break;
    case SITE_VMSILENT:
        do_control(r, VM_FAULT_SILENT, "silent");
        break;
    case SITE_VMBUSY:
        do_control(r, VM_FAULT_BUSY, "busy");
        break;
    case SITE_ADDD:
        do_add();
        break;
    case SITE_HERD:
        do_herd(r);
        break;
    case SITE_HERDW:
        do_herd_of_runners(r);
        break;
    default: /* SITE_QUIET is played by the schedule */
        break;
    }
}
