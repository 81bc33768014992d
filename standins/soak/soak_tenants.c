/* Two tenants, their keys, and the rules on keys and quotas. */
#include "soak.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static bool stored_withdrawn;
static long long withdrawn_at;
static int calls_refused;
static int calls_withdrawn; /* with the key, later than REVOKE_MS */
static int calls_allowed;

const char *
tenant_key(int tenant)
{
    return tenant == TENANT_SMALL ? "small-1" : "wide-1";
}

/* With the lock held: stores a version with the routes of the site, those of
 * config_routes, and the tenants. */
static void
put_config_locked(void)
{
    static const char routes[] = "\"routes\":[";
    char site[3072];
    char *more = config_routes();
    size_t size = strlen(more) + sizeof(site) + 1024;
    char *config = malloc(size);

    site_config(site, sizeof(site));
    snprintf(config, size,
             "{\"version\":%d,%s%s%s\"limits\":{},\"tenants\":["
             "{\"name\":\"wide\",\"apiKeys\":[\"%s\"]},"
             "{\"name\":\"small\",\"apiKeys\":[\"%s\"%s],"
             "\"maxCount\":{\"cpu\":%d,\"memMb\":0,\"gpu\":0}}]}",
             3 + 2 * config_round() + stored_withdrawn, routes, more,
             site + strlen(routes), tenant_key(TENANT_WIDE),
             tenant_key(TENANT_SMALL),
             stored_withdrawn ? "" : ",\"" WITHDRAWN_KEY "\"", SMALL_CPU);
    store_put_large("keyed.op", "config", config);
    free(config);
    free(more);
}

void
tenants_put_again(void)
{
    pthread_mutex_lock(&lock);
    put_config_locked();
    pthread_mutex_unlock(&lock);
}

void
tenants_put(bool withdrawn)
{
    pthread_mutex_lock(&lock);
    if (withdrawn && stored_withdrawn) {
        pthread_mutex_unlock(&lock);
        return;
    }
    stored_withdrawn = withdrawn;
    put_config_locked();
    if (withdrawn) {
        withdrawn_at = now_ms();
        rec("store: the key " WITHDRAWN_KEY " is withdrawn");
    }
    pthread_mutex_unlock(&lock);
}

long long
tenants_withdrawn_at(void)
{
    long long at;

    pthread_mutex_lock(&lock);
    at = withdrawn_at;
    pthread_mutex_unlock(&lock);
    return at;
}

void
tenants_note(const char *key, long long sent, int status)
{
    long long at = tenants_withdrawn_at();
    bool withdrawn = key != NULL && strcmp(key, WITHDRAWN_KEY) == 0;

    if (withdrawn && (at == 0 || sent <= at + REVOKE_MS)) {
        return;
    }
    pthread_mutex_lock(&lock);
    calls_refused += status == 401;
    calls_withdrawn += withdrawn;
    calls_allowed += status / 100 == 2;
    pthread_mutex_unlock(&lock);
    if (status / 100 == 2) {
        rec("VIOLATION KEY: a call sent at %.3f s with %s was answered %d; "
            "the key was withdrawn at %.3f s",
            (double)sent / 1000, key == NULL ? "no key" : key, status,
            (double)at / 1000);
    }
}

/* A scheduler that takes over does not know the runs of jobs that were
 * cancelled before (docs/design/quotas.md). */
static bool
is_unknown(const struct exec_row *x, const struct job_row *j,
           const struct exec_row *start)
{
    return j->cancel_sent != 0 && j->cancel_sent <= start->began &&
           x->fence < start->fence;
}

/* Processor of the small tenant's runs as one of them begins. */
static int
cpu_at(const struct exec_row *runs, const int *of, int b, bool all)
{
    int cpu = 0;

    for (int a = 0; a <= b; a++) {
        struct job_row j;

        if (of[a] < 0 ||
            (runs[a].ended != 0 && runs[a].ended <= runs[b].began)) {
            continue;
        }
        j = job_get(of[a]);
        if (all || !is_unknown(&runs[a], &j, &runs[b])) {
            cpu += j.cpu;
        }
    }
    return cpu;
}

int
tenants_check(const struct exec_row *runs, int count)
{
    static int of[16384]; /* the job of each run of the small tenant, or -1 */
    int n = 0;
    int most = 0;
    int seen = 0;

    for (int i = 0; i < count; i++) {
        int k = job_find(runs[i].task);

        of[i] = k >= 0 && job_get(k).tenant == TENANT_SMALL ? k : -1;
    }
    for (int i = 0; i < count; i++) {
        int cpu = of[i] < 0 ? 0 : cpu_at(runs, of, i, false);
        int limit = SMALL_CPU + SMALL_CPU * OVERAGE_PERCENT / 100;

        most = cpu > most ? cpu : most;
        if (of[i] < 0) {
            continue;
        }
        limit += job_get(of[i]).cpu;
        seen += cpu_at(runs, of, i, true) > limit;
        if (cpu > limit) {
            n++;
            rec("VIOLATION QUOTA: %s: run %d began at %.3f s, fence %lld: the "
                "tenant runs %d of %d",
                runs[i].task, runs[i].run, (double)runs[i].began / 1000,
                runs[i].fence, cpu, SMALL_CPU);
            fault_list(runs[i].began - 3000, runs[i].began);
        }
    }
    rec("checks: quota=%d most_cpu=%d over=%d over_with_cancelled=%d "
        "calls_without_access: refused=%d withdrawn=%d allowed=%d",
        SMALL_CPU, most, n, seen, calls_refused, calls_withdrawn,
        calls_allowed);
    return n + calls_allowed;
}
