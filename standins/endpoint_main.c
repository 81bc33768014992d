/* standin-endpoint: plays the service processes behind the daemons. Pairs of
 * --listen and --control, or the VMs of a fleet file, define the endpoints. */
#include "endpoint.h"

#include <popt.h>
#include <signal.h>
#include <stdlib.h>

#define PAIRS_MAX 64

struct options {
    char *listen[PAIRS_MAX];
    size_t listen_count;
    char *control[PAIRS_MAX];
    size_t control_count;
    char *fleet;
    char *pool;
    int work_ms;
    int seed;
};

static struct ep_tokens tokens;
static struct cw_rng rng;

static int
start_endpoint(const struct options *o, const char *listen_address,
               const char *control, const char *name, const char *pool)
{
    struct sockaddr_in a;
    struct sockaddr_in c;
    if (!http_parse_address(listen_address, &a) ||
        !http_parse_address(control, &c)) {
        fprintf(stderr, "standin-endpoint: invalid address of %s\n", name);
        return 2;
    }
    /* Never freed: it lives as long as the process. */
    struct endpoint *e = calloc(1, sizeof(*e));
    CW_INVARIANT(e != NULL);
    ep_init(e, uv_default_loop(), &a, &c);
    e->tokens = &tokens;
    e->rng = &rng;
    e->work_ms = o->work_ms;
    cw_name_set(&e->name, cw_str_from(name));
    cw_name_set(&e->pool, cw_str_from(pool));
    int rc = ep_start(e);
    if (rc != 0) {
        fprintf(stderr, "standin-endpoint: %s or %s: %s\n", listen_address,
                control, uv_strerror(rc));
        return 1;
    }
    return 0;
}

static int
start_pairs(const struct options *o)
{
    if (o->listen_count != o->control_count) {
        fprintf(stderr, "standin-endpoint: each --listen needs a --control\n");
        return 2;
    }
    for (size_t i = 0; i < o->listen_count; i++) {
        int rc = start_endpoint(o, o->listen[i], o->control[i], o->listen[i],
                                o->pool == NULL ? "" : o->pool);
        if (rc != 0) {
            return rc;
        }
    }
    return 0;
}

static int
start_fleet(const struct options *o)
{
    json_error_t err;
    json_t *fleet = json_load_file(o->fleet, 0, &err);
    if (fleet == NULL) {
        fprintf(stderr, "standin-endpoint: %s:%d: %s\n", o->fleet, err.line,
                err.text);
        return 2;
    }
    const json_t *vms = json_object_get(fleet, "vms");
    int rc = 0;
    for (size_t i = 0; rc == 0 && i < json_array_size(vms); i++) {
        const json_t *vm = json_array_get(vms, i);
        if (json_object_get(vm, "control") == NULL) {
            continue; /* a VM without an endpoint */
        }
        rc = start_endpoint(o,
                            json_string_value(json_object_get(vm, "address")),
                            json_string_value(json_object_get(vm, "control")),
                            json_string_value(json_object_get(vm, "vm")),
                            json_string_value(json_object_get(vm, "pool")));
    }
    json_decref(fleet);
    return rc;
}

static int
parse_options(int argc, const char **argv, struct options *o)
{
    char *text = NULL;
    struct poptOption table[] = {
        {"listen", 0, POPT_ARG_STRING, &text, 'l', "address", "ip:port"},
        {"control", 0, POPT_ARG_STRING, &text, 'c', "control address",
         "ip:port"},
        {"fleet", 0, POPT_ARG_STRING, &o->fleet, 0, "serve the VMs of FILE",
         "FILE"},
        {"pool", 0, POPT_ARG_STRING, &o->pool, 0, "pool of --listen", "NAME"},
        {"work-ms", 0, POPT_ARG_INT, &o->work_ms, 0, "mean service time",
         "MS"},
        {"seed", 0, POPT_ARG_INT, &o->seed, 0, "seed of service times", "N"},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    poptContext popt = poptGetContext(NULL, argc, argv, table, 0);
    int rc;
    while ((rc = poptGetNextOpt(popt)) > 0) {
        if (rc == 'l' && o->listen_count < PAIRS_MAX) {
            o->listen[o->listen_count++] = text;
        }
        else if (rc == 'c' && o->control_count < PAIRS_MAX) {
            o->control[o->control_count++] = text;
        }
    }
    bool ok = rc == -1 && (o->listen_count > 0 || o->fleet != NULL);
    if (!ok) {
        poptPrintUsage(popt, stderr, 0);
    }
    poptFreeContext(popt);
    return ok ? 0 : 2;
}

int
main(int argc, const char **argv)
{
    struct options o = {.work_ms = 20, .seed = 1};
    int rc = parse_options(argc, argv, &o);
    signal(SIGPIPE, SIG_IGN);
    cw_logger_setup(CW_INFO, stderr, "endpoint");
    cw_rng_init(&rng, (uint64_t)o.seed);
    if (rc == 0) {
        rc = start_pairs(&o);
    }
    if (rc == 0 && o.fleet != NULL) {
        rc = start_fleet(&o);
    }
    return rc != 0 ? rc : uv_run(uv_default_loop(), UV_RUN_DEFAULT);
}
