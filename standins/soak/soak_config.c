/* Changes of the configuration, of some thousand routes, on slow links, and
 * the rule on when they are in force (CONFIG). */
#include "soak.h"

#include "slow_link.h"

#define LINK_BYTES_PER_S 1250000L
#define ROUTES_MAX 9000
#define ROUTE_BYTES 260
#define ROUNDS_MAX 200
/* Each round has a marker, a route that stays for this many rounds. */
#define MARKER_ROUNDS 2
#define ASK_MS 250

static bool used;
static pthread_t changes;
static pthread_t asks;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static bool stopped;
static struct rng rng;
static int round_now;
static int routes;
static long long stored_at[ROUNDS_MAX]; /* of each round */
static int asked;
static int violations;

void
config_use(void)
{
    used = true;
}

void
config_slow_link(const char *daemon)
{
    if (used) {
        slow_link_insert(daemon, LINK_BYTES_PER_S);
    }
}

int
config_round(void)
{
    int n;

    pthread_mutex_lock(&lock);
    n = round_now;
    pthread_mutex_unlock(&lock);
    return n;
}

static int
add_route(char *out, const char *kind, int number)
{
    return sprintf(out,
                   "{\"name\":\"%s-%05d\",\"host\":\"" HOST
                   "\",\"pathPrefix\":\"/%s-%05d/\",\"kind\":\"unsafe\","
                   "\"timeoutMs\":3000,\"sloMs\":600,\"priority\":1,"
                   "\"service\":\"%s\",\"maxAttempts\":3,\"stretch\":1.6},",
                   kind, number, kind, number, site_service(0));
}

char *
config_routes(void)
{
    char *out;
    int n = 0;

    pthread_mutex_lock(&lock);
    out = malloc((size_t)(routes + MARKER_ROUNDS + 1) * ROUTE_BYTES);
    out[0] = '\0';
    for (int i = 0; i < routes; i++) {
        n += add_route(out + n, "more", i);
    }
    for (int k = round_now; used && k > round_now - MARKER_ROUNDS && k >= 0;
         k--) {
        n += add_route(out + n, "mark", k);
    }
    pthread_mutex_unlock(&lock);
    return out;
}

static bool
is_stopped(void)
{
    bool is;

    pthread_mutex_lock(&lock);
    is = stopped;
    pthread_mutex_unlock(&lock);
    return is;
}

static void *
run_changes(void *arg)
{
    (void)arg;
    while (!is_stopped() && config_round() < ROUNDS_MAX - 1) {
        sleep_ms(rng_range(&rng, 500, 6000));
        pthread_mutex_lock(&lock);
        round_now++;
        routes = (int)rng_range(&rng, 0, ROUTES_MAX);
        pthread_mutex_unlock(&lock);
        tenants_put_again();
        pthread_mutex_lock(&lock);
        stored_at[round_now] = now_ms();
        rec("store: change %d of the configuration, %d routes more", round_now,
            routes);
        pthread_mutex_unlock(&lock);
    }
    return NULL;
}

/* The newest round that has to be in force for a request sent at a time. */
static int
round_in_force(long long sent)
{
    int out = 0;

    pthread_mutex_lock(&lock);
    for (int k = 1; k <= round_now; k++) {
        if (stored_at[k] != 0 && sent > stored_at[k] + CONFIG_MS) {
            out = k;
        }
    }
    pthread_mutex_unlock(&lock);
    return out;
}

/* Asks a daemon for a route. It is there if the status is not 404, as long as
 * no later round has dropped it. */
static void
ask_marker(int i, int round, bool dropped)
{
    long long sent = now_ms();
    char path[40];
    int status;
    bool old;

    if (round < 1) {
        return;
    }
    snprintf(path, sizeof(path), "/mark-%05d/", round);
    status = call(soak_d[i], "GET", path, "", 1000, NULL, 0);
    old = dropped ? status == 200
                  : status == 404 && config_round() < round + MARKER_ROUNDS;
    pthread_mutex_lock(&lock);
    asked += status == 200 || status == 404;
    pthread_mutex_unlock(&lock);
    if (old && daemon_in_touch(i, sent) && daemon_in_touch(i, now_ms())) {
        pthread_mutex_lock(&lock);
        violations++;
        rec("VIOLATION CONFIG: front-%d answered %d for %s, sent at %.3f s; "
            "change %d was stored at %.3f s",
            i + 1, status, path, (double)sent / 1000,
            dropped ? round + MARKER_ROUNDS : round,
            (double)stored_at[dropped ? round + MARKER_ROUNDS : round] / 1000);
        pthread_mutex_unlock(&lock);
        fault_list(sent - CONFIG_MS - STABLE_MS, sent);
    }
}

static void *
run_asks(void *arg)
{
    (void)arg;
    client_key = tenant_key(TENANT_WIDE);
    for (int i = 0; !is_stopped(); i++) {
        int round = round_in_force(now_ms());

        ask_marker(i % soak_daemons, round, false);
        ask_marker(i % soak_daemons, round - MARKER_ROUNDS, true);
        sleep_ms(ASK_MS);
    }
    return NULL;
}

void
config_start(uint64_t seed)
{
    if (used) {
        rng.s = seed + 2;
        pthread_create(&changes, NULL, run_changes, NULL);
        pthread_create(&asks, NULL, run_asks, NULL);
    }
}

void
config_stop(void)
{
    if (used) {
        sleep_ms(CONFIG_MS + STABLE_MS);
        pthread_mutex_lock(&lock);
        stopped = true;
        pthread_mutex_unlock(&lock);
        pthread_join(changes, NULL);
        pthread_join(asks, NULL);
    }
}

int
config_check(void)
{
    if (used) {
        rec("checks: config changes=%d asked=%d violations=%d", round_now,
            asked, violations);
    }
    return violations;
}
