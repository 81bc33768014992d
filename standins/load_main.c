/* standin-load: plays callers that send HTTP/1.1 requests to daemons and check
 * each answer. */
#include "load.h"

#include <popt.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

static void
parse_list(char *text, void (*add)(struct load *l, const char *item),
           struct load *l)
{
    char *save = NULL;
    for (char *z = text == NULL ? NULL : strtok_r(text, ",", &save); z != NULL;
         z = strtok_r(NULL, ",", &save)) {
        add(l, z);
    }
}

static void
add_target(struct load *l, const char *item)
{
    struct sockaddr_in a;
    if (l->target_count == LOAD_TARGETS_MAX || !http_parse_address(item, &a)) {
        l->bad_option = true;
        return;
    }
    client_pool_init(&l->targets[l->target_count++], l->loop, &a,
                     l->keep_alive != 0);
}

/* name or name:rate */
static void
add_service(struct load *l, const char *item)
{
    const char *colon = strchr(item, ':');
    size_t n = colon == NULL ? strlen(item) : (size_t)(colon - item);
    struct load_service *s = &l->services[l->service_count];
    if (l->service_count == LOAD_SERVICES_MAX ||
        !cw_name_valid((struct cw_str){item, n})) {
        l->bad_option = true;
        return;
    }
    cw_name_set(&s->name, (struct cw_str){item, n});
    s->rate = colon == NULL ? l->rate : atof(colon + 1);
    s->index = l->service_count++;
    s->load = l;
    cw_hist_init(&s->latency);
}

static bool
parse_options(struct load *l, int argc, const char **argv)
{
    char *targets = NULL;
    char *services = NULL;
    char *verify = NULL;
    struct poptOption table[] = {
        {"target", 0, POPT_ARG_STRING, &targets, 0, "daemons", "ip:port,..."},
        {"service", 0, POPT_ARG_STRING, &services, 0, "services with rates",
         "name[:rate],..."},
        {"rate", 0, POPT_ARG_DOUBLE, &l->rate, 0,
         "requests per second of a service, open loop", "N"},
        {"closed", 0, POPT_ARG_INT, &l->closed_callers, 0,
         "callers of a service, closed loop", "N"},
        {"seconds", 0, POPT_ARG_DOUBLE, &l->seconds, 0, "duration", "S"},
        {"turns", 0, POPT_ARG_DOUBLE, &l->turn_s, 0,
         "services take turns at 5 times their rate for S seconds", "S"},
        {"deadline", 0, POPT_ARG_INT, &l->deadline_ms, 0,
         "deadline of a request", "MS"},
        {"work-ms", 0, POPT_ARG_INT, &l->work_ms, 0,
         "service time; default: the endpoint's own", "MS"},
        {"answer-bytes", 0, POPT_ARG_INT, &l->answer_bytes, 0,
         "length of answers", "N"},
        {"chunked", 0, POPT_ARG_NONE, &l->chunked, 0, "chunked answers", NULL},
        {"body-bytes", 0, POPT_ARG_INT, &l->body_bytes, 0,
         "length of request bodies", "N"},
        {"method", 0, POPT_ARG_STRING, &l->method, 0, "default POST", "M"},
        {"keys", 0, POPT_ARG_NONE, &l->keys, 0, "send idempotency keys", NULL},
        {"keep-alive", 0, POPT_ARG_INT, &l->keep_alive, 0,
         "reuse connections, default 1", "0|1"},
        {"verify", 0, POPT_ARG_STRING, &verify, 0,
         "control address of an endpoint that counts the runs", "ip:port"},
        {"tag", 0, POPT_ARG_STRING, &l->tag, 0, "prefix of tokens", "TEXT"},
        {"seed", 0, POPT_ARG_INT, &l->seed, 0, "seed of arrivals", "N"},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    poptContext popt = poptGetContext(NULL, argc, argv, table, 0);
    int rc = poptGetNextOpt(popt);
    parse_list(targets, add_target, l);
    parse_list(services, add_service, l);
    if (verify != NULL) {
        struct sockaddr_in a;
        l->verify = http_parse_address(verify, &a);
        l->bad_option |= !l->verify;
        client_pool_init(&l->verify_pool, l->loop, &a, false);
    }
    bool ok = rc == -1 && !l->bad_option && l->target_count > 0 &&
              l->service_count > 0 && l->seconds > 0 && l->work_ms >= -1;
    if (!ok) {
        poptPrintUsage(popt, stderr, 0);
    }
    poptFreeContext(popt);
    free(targets);
    free(services);
    free(verify);
    return ok;
}

/* Ends the load early; requests in flight are waited for. */
static void
on_term(uv_signal_t *s, int signum)
{
    struct load *l = s->data;
    (void)signum;
    l->seconds = 0;
    if (l->in_flight == 0) {
        load_finish(l);
    }
}

int
main(int argc, const char **argv)
{
    static struct load l = {
        .rate = 50,
        .seconds = 5,
        .deadline_ms = 5000,
        .work_ms = -1,
        .keep_alive = 1,
        .seed = 1,
    };
    signal(SIGPIPE, SIG_IGN);
    l.loop = uv_default_loop();
    if (!parse_options(&l, argc, argv)) {
        return 2;
    }
    l.method = l.method == NULL ? strdup("POST") : l.method;
    l.tag = l.tag == NULL ? strdup("t") : l.tag;
    CW_INVARIANT(l.method != NULL && l.tag != NULL);
    uv_signal_t term;
    uv_signal_init(l.loop, &term);
    term.data = &l;
    uv_signal_start(&term, on_term, SIGTERM);
    uv_unref((uv_handle_t *)&term);
    cw_rng_init(&l.rng, (uint64_t)l.seed);
    load_start(&l);
    uv_run(l.loop, UV_RUN_DEFAULT);
    load_print_report(&l, stdout);
    free(l.method);
    free(l.tag);
    free(l.tokens);
    return l.total.wrong == 0 && l.not_run_but_ran == 0 ? 0 : 1;
}
