/* Discrete-event simulation of the request path: the policy modules of 9
 * daemons against modelled endpoints, with an injected clock. */
#ifndef REQUEST_SIM_H
#define REQUEST_SIM_H

#include "cuminwalk.h"

#define SIM_DAEMONS 9
#define SIM_SERVICES 5
#define SIM_SLOTS 8
#define SIM_MEAN_VMS 10 /* of a pool sized for the mean */

/* Weights of the three measures; they add up to 1. */
struct sim_weights {
    double buffer;
    double rollout;
    double moves;
};

struct sim_deployment {
    const char *name;
    int dcs;
    double dc_ms;     /* one way between data centres */
    double client_ms; /* one way between callers and daemons */
    struct sim_weights weights;
};

struct sim_config {
    const char *name;
    const struct sim_deployment *deployment;
    int vms;             /* of each pool */
    bool independent;    /* no slot partition: endpoints refuse when full */
    bool requeue;        /* an endpoint's refusal goes back to the queue */
    bool forward;        /* to a peer with free slots, on arrival */
    bool forward_queued; /* also from the queue, when a peer gets free slots */
    double balance_ms; /* forward when a peer's backlog is shorter by this; 0 =
                        * off */
    double short_share; /* of requests with the short deadline */
    uint64_t seed;
    struct cw_admit_params admit;
    struct cw_route_params route;
    struct cw_retry_params retry;
};

struct sim_result {
    uint64_t offered;
    uint64_t good;     /* answered within the deadline */
    uint64_t refused;  /* told "not run" */
    uint64_t late;     /* answered after the deadline: work for nothing */
    uint64_t overruns; /* requests that met an endpoint with no free slot */
    uint64_t forwarded;
    uint64_t retried;
    uint64_t slot_samples;          /* slots looked at, over time */
    uint64_t idle_samples;          /* of these, idle */
    struct cw_hist latency_us;      /* of answered requests */
    struct cw_hist refuse_delay_us; /* arrival until "not run" was said */
    double seconds;
    int endpoints;
};

/* Runs one configuration; the result depends on it alone. */
void sim_run(const struct sim_config *cfg, struct sim_result *out);

#endif
