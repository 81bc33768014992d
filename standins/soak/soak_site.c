/* The size of the run: one service with 10 runners, or a site with 49 of them
 * in five services. */
#include "soak.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SMALL_RUNNERS 10
#define SMALL_CORES 3000
#define LARGE_CORES 16000
#define TURN_MS 4000
#define PEAK_MS 3000

struct service {
    const char *name;
    const char *prefix;
    int runners;
    bool spare;
};

static const struct service services[SITE_SERVICES] = {
    {SERVICE, PREFIX, 9, false},         {"svc-b", "/queue-b/", 9, false},
    {"svc-c", "/queue-c/", 11, false},   {"svc-d", "/queue-d/", 12, false},
    {"svc-spare", "/queue-s/", 8, true},
};

bool
site_is_large(void)
{
    const char *v = getenv("SOAK_SITE");

    return v != NULL && strcmp(v, "0") != 0;
}

int
site_service_count(void)
{
    return site_is_large() ? SITE_SERVICES : 1;
}

const char *
site_service(int service)
{
    return services[service].name;
}

const char *
site_prefix(int service)
{
    return services[service].prefix;
}

bool
site_is_spare(int service)
{
    return services[service].spare;
}

int
site_runner_count(int service)
{
    return site_is_large() ? services[service].runners : SMALL_RUNNERS;
}

int
site_cores(void)
{
    const char *v = getenv("SOAK_CPU");

    return v != NULL ? atoi(v) : site_is_large() ? LARGE_CORES : SMALL_CORES;
}

static void
runners_of(int service, int count, int cpu)
{
    for (int i = 0; i < count; i++) {
        int k = soak_runners;

        if (k == SOAK_RUNNERS) {
            rig_exit(2, "too many runners");
        }
        soak_w[k] = worker_new(services[service].name, cpu);
        soak_runners++;
        soak_wrap_worker(k);
        if (services[service].spare) {
            worker_off(k);
        }
    }
}

void
site_runners_new(void)
{
    for (int i = 0; i < site_service_count(); i++) {
        runners_of(i, site_runner_count(i), site_cores());
    }
}

/* Appends to text that ends at its first zero byte. */
static void
add_route(char *out, size_t size, int service)
{
    size_t n = strlen(out);

    snprintf(out + n, size - n,
             "%s{\"name\":\"queue-%d\",\"host\":\"" HOST
             "\",\"pathPrefix\":\"%s\",\"kind\":\"unsafe\","
             "\"timeoutMs\":3000,\"sloMs\":600,\"priority\":1,"
             "\"service\":\"%s\",\"maxAttempts\":3,\"stretch\":1.6}",
             service == 0 ? "" : ",", service + 1, services[service].prefix,
             services[service].name);
}

static void
add_service(char *out, size_t size, int service)
{
    size_t n = strlen(out);

    snprintf(out + n, size - n,
             "%s{\"name\":\"%s\",\"enforcesCapacity\":true%s}",
             service == 0 ? "" : ",", services[service].name,
             services[service].spare ? ",\"spare\":true" : "");
}

void
site_config(char *out, size_t size)
{
    size_t n;

    snprintf(out, size, "\"routes\":[");
    for (int i = 0; i < site_service_count(); i++) {
        if (!services[i].spare) {
            add_route(out, size, i);
        }
    }
    n = strlen(out);
    snprintf(out + n, size - n, "],\"services\":[");
    for (int i = 0; i < site_service_count(); i++) {
        add_service(out, size, i);
    }
    n = strlen(out);
    snprintf(out + n, size - n, "],");
}

bool
site_peak(int service, long long now)
{
    return now / TURN_MS % (SITE_SERVICES - 1) == service &&
           now % TURN_MS < PEAK_MS;
}
