/* Kinds of trouble around what jobs ask for and what runners make of it: jobs
 * that no machine can run, runners that fail all that they start, runners that
 * are lost after their connections have ended, and VMs whose maintenance is
 * due when they are new. */
#include "trouble.h"

#include <stdio.h>
#include <string.h>

const char *const work_names[WORK_KINDS] = {"closelost", "impossible",
                                            "failall", "addvm"};

enum kind { CLOSELOST, IMPOSSIBLE, FAILALL, ADDVM };

bool
work_at_worker(int kind)
{
    return kind == CLOSELOST || kind == FAILALL;
}

/* ---- runners ---- */

/* The reports before the loss come on new connections. That the runner is lost
 * is no fault, only how that happens, and that it comes back. */
static void
do_close_lost(struct rng *r, int i)
{
    int id = fault_begin(-1, "%s closes its connections, and is lost then",
                         worker_id(soak_w[i]));

    worker_calls(i, (struct call_trouble){.close = true});
    sleep_ms(rng_range(r, 2500, 6000));
    worker_crash(soak_w[i]);
    worker_calls(i, (struct call_trouble){.close = false});
    fault_end(id);
    sleep_ms(rng_range(r, 14000, 20000));
    id = fault_begin(-1, "start of %s", worker_id(soak_w[i]));
    worker_restart(soak_w[i]);
    fault_end(id);
}

#define LAST_LOST 2

void
work_last_loss(struct rng *r)
{
    int lost[LAST_LOST];
    int n = 0;
    int id = fault_begin(-1, "runners close their connections, and are lost");

    for (int pass = 0; pass < 2; pass++) {
        for (int i = 0; i < soak_runners && n < LAST_LOST; i++) {
            if (worker_is_up(i) && (pass > 0 || worker_lasting(i) > 0) &&
                worker_claim(i)) {
                worker_calls(i, (struct call_trouble){.close = true});
                lost[n++] = i;
            }
        }
    }
    sleep_ms(rng_range(r, 3000, 6000));
    for (int k = 0; k < n; k++) {
        worker_crash(soak_w[lost[k]]);
        worker_calls(lost[k], (struct call_trouble){.close = false});
    }
    fault_end(id);
}

static void
do_fail_all(struct rng *r, int i)
{
    int id =
        fault_begin(-1, "%s fails all that it starts", worker_id(soak_w[i]));

    worker_fails(i, true);
    sleep_ms(rng_range(r, 2000, 7000));
    worker_fails(i, false);
    fault_end(id);
}

#define LAST_FAIL 4
#define LAST_LASTING 6

void
work_last_failures(struct rng *r)
{
    bool mine[SOAK_RUNNERS] = {false};
    int n = 0;
    int id = fault_begin(-1, "runners fail all that they start");

    for (int i = 0; i < soak_runners && n < LAST_FAIL; i++) {
        mine[i] = worker_is_up(i) && worker_claim(i);
        if (mine[i]) {
            worker_fails(i, true);
            n++;
        }
    }
    sleep_ms(rng_range(r, 2500, 4500));
    for (int i = 0; i < soak_runners; i++) {
        if (mine[i]) {
            worker_fails(i, false);
            worker_release(i);
        }
    }
    fault_end(id);
    /* While all runners are busy its tasks wait, and are the next ones of
     * those that have failed. */
    clients_submit_wide_lasting(LAST_LASTING);
}

/* ---- jobs that no machine can run ---- */

#define IMPOSSIBLE_MAX 200
#define ANSWER_MS 3000

struct impossible_job {
    char path[64];
    long long accepted;
};

static struct impossible_job impossible[IMPOSSIBLE_MAX];
static int impossible_count;
static pthread_mutex_t impossible_lock = PTHREAD_MUTEX_INITIALIZER;

static const char *const impossible_steps[] = {
    "\"count\":16,\"cpu\":16000,\"memMb\":64,\"gpu\":1,\"gang\":true,"
    "\"persistent\":true",
    "\"count\":5,\"cpu\":1300,\"memMb\":64,\"gpu\":1,\"persistent\":true",
    "\"count\":5,\"cpu\":900,\"memMb\":64,\"gpu\":2",
    "\"count\":2,\"cpu\":40000,\"memMb\":64,\"persistent\":true",
    "\"count\":1,\"cpu\":100,\"memMb\":900000",
    "\"count\":3,\"cpu\":100,\"memMb\":64,\"requiredLabel\":\"none\","
    "\"persistent\":true",
    "\"count\":900,\"cpu\":1500,\"memMb\":64,\"gang\":true",
};

static void
submit_impossible(struct rng *r)
{
    int last = site_is_large() ? SITE_SERVICES - 2 : 0; /* not the spare one */
    int steps = (int)(sizeof(impossible_steps) / sizeof(impossible_steps[0]));
    struct impossible_job *j;
    char body[400];
    int n;

    pthread_mutex_lock(&impossible_lock);
    n = impossible_count < IMPOSSIBLE_MAX ? impossible_count++ : -1;
    pthread_mutex_unlock(&impossible_lock);
    if (n < 0) {
        return;
    }
    j = &impossible[n];
    snprintf(j->path, sizeof(j->path), "%s%016x",
             site_prefix((int)rng_range(r, 0, last)), 0xe0000000U + n);
    snprintf(body, sizeof(body),
             "{\"spec\":\"d=0 c=1 n=0\",\"steps\":[{%s,\"estimateMs\":1000}]}",
             impossible_steps[rng_range(r, 0, steps - 1)]);
    client_key = tenant_key(TENANT_WIDE);
    for (int i = 0; i < 12 && j->accepted == 0; i++) {
        int status = call(soak_d[rng_range(r, 0, soak_daemons - 1)], "POST",
                          j->path, body, ANSWER_MS, NULL, 0);

        if (status / 100 == 2) {
            j->accepted = now_ms();
        }
        else {
            sleep_ms(rng_range(r, 50, 250));
        }
    }
    rec("impossible job %s: %s", j->path, body);
}

static void
do_impossible(struct rng *r)
{
    int id = fault_begin(-1, "jobs that no machine can run");

    for (long long n = rng_range(r, 1, 12); n > 0; n--) {
        submit_impossible(r);
    }
    fault_end(id);
}

int
work_check(void)
{
    int wrong = 0;
    int accepted = 0;

    client_key = tenant_key(TENANT_WIDE);
    for (int i = 0; i < impossible_count; i++) {
        const struct impossible_job *j = &impossible[i];
        char text[512] = "";
        int status;

        if (j->accepted == 0) {
            continue;
        }
        accepted++;
        status = call(soak_d[i % soak_daemons], "GET", j->path, "", ANSWER_MS,
                      text, sizeof(text));
        if (status != 200 || strstr(text, "\"queued\"") == NULL ||
            strstr(text, "\"reason\":\"step 0:") == NULL) {
            wrong++;
            rec("VIOLATION REASON: impossible job %s, accepted at %.3f s: %d "
                "%s",
                j->path, (double)j->accepted / 1000, status, text);
        }
    }
    rec("checks: impossible=%d without a reason=%d", accepted, wrong);
    return wrong;
}

/* ---- VMs ---- */

static void
do_add_vm(struct rng *r)
{
    int id = fault_begin(-1, "a VM is added, and a wave names it");

    vms_add(r);
    fault_end(id);
}

void
work_run(struct rng *r, int kind, int i)
{
    switch (kind) {
    case CLOSELOST:
        do_close_lost(r, i);
        break;
    case IMPOSSIBLE:
        do_impossible(r);
        break;
    case FAILALL:
        do_fail_all(r, i);
        break;
    default:
        if (site_is_large()) {
            do_add_vm(r);
        }
        break;
    }
}
