/* Guards against a configuration that never comes into force (CONFIG): a
 * record of 8,500 routes takes 1.3 s on a link of 10 Mbit/s, longer than a
 * read was given, and each read began again with its first byte.
 *
 * The configuration grows while the daemons run; then one of them starts anew.
 */
#include "case.h"

#include "../large_record.h"
#include "../slow_link.h"

#define KEY "k1"
#define RUNNERS 2
#define ROUTES 8500
#define ROUTE_BYTES 260
#define LINK_BYTES_PER_S 1250000L
/* The rule gives 3 s; without the fault it takes about 1.5 s. */
#define IN_FORCE_MS 20000

static struct daemon *d[DAEMONS];
static struct worker *w[RUNNERS];

static void
put_large_config(int version, int routes)
{
    char *text = malloc((size_t)routes * ROUTE_BYTES + 1000);
    int n = sprintf(text, "{\"version\":%d,\"routes\":[", version);

    for (int i = 0; i < routes; i++) {
        n += sprintf(text + n,
                     "%s{\"name\":\"queue-%05d\",\"host\":\"" HOST
                     "\",\"pathPrefix\":\"/large-%05d/\",\"kind\":\"unsafe\","
                     "\"timeoutMs\":3000,\"sloMs\":600,\"priority\":1,"
                     "\"service\":\"" SERVICE
                     "\",\"maxAttempts\":3,\"stretch\":1.6}",
                     i == 0 ? "" : ",", i, i);
    }
    n += sprintf(text + n,
                 "],\"services\":[{\"name\":\"" SERVICE
                 "\",\"enforcesCapacity\":true}],\"limits\":{},"
                 "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"" KEY "\"]}]}");
    put_large("keyed.op", "config", text);
    rec("version %d: %d routes, %d bytes", version, routes, n);
    free(text);
}

/* Waits until the daemon serves the path. */
static void
wait_in_force(struct daemon *on, const char *path, const char *when)
{
    long long began = now_ms();
    int status = 0;

    while (status != 200) {
        if (now_ms() > began + IN_FORCE_MS) {
            rig_exit(1, "%s: %s still answers %d for %s", when,
                     daemon_name(on), status, path);
        }
        sleep_ms(100);
        status = call(on, "GET", path, "", 1000, NULL, 0);
    }
    rec("%s: in force at %s after %lld ms", when, daemon_name(on),
        now_ms() - began);
}

int
main(int argc, char **argv)
{
    rig_init(argc, argv);
    client_key = KEY;
    put_large_config(3, 1);
    for (int i = 0; i < RUNNERS; i++) {
        w[i] = worker_new(SERVICE, 1000);
    }
    for (int i = 0; i < DAEMONS; i++) {
        char name[16];

        snprintf(name, sizeof(name), "front-%d", i + 1);
        d[i] = daemon_new(name);
        slow_link_insert(name, LINK_BYTES_PER_S);
        daemon_start(d[i]);
    }
    for (int i = 0; i < DAEMONS; i++) {
        if (!daemon_wait_ready(d[i], 10000)) {
            rig_exit(2, "a daemon did not become ready");
        }
    }
    sleep_ms(2000);
    put_large_config(4, rig_trouble() ? ROUTES : 50);
    for (int i = 0; i < DAEMONS; i++) {
        wait_in_force(d[i], "/large-00049/", "change");
    }
    daemon_kill(d[DAEMONS - 1]);
    daemon_start(d[DAEMONS - 1]);
    wait_in_force(d[DAEMONS - 1], "/large-00049/", "start");
    rig_exit(0, "in force at all daemons");
}
