/* Discrete-event simulation of the request path: the policy modules of 9
 * daemons run against modelled endpoints on a simulated clock. */
#ifndef REQUEST_SIM_H
#define REQUEST_SIM_H

#include "cuminwalk.h"

#define SIM_DAEMONS 9
#define SIM_SERVICES 5
#define SIM_SLOTS 8
#define SIM_MEAN_VMS 10 /* VMs of a pool sized for the mean demand */

/* Weights of the parts of the measure; they add up to 1. */
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
    int vms; /* per pool */
    /* Every daemon uses all slots, and endpoints refuse when full. */
    bool independent_picks;
    bool requeue_refused;    /* queue again what an endpoint refused */
    bool forward_on_arrival; /* to a peer with free slots */
    bool forward_queued; /* also from the queue, when a peer gets free slots */
    /* Forward when a peer's backlog is shorter by this; 0 = off. */
    double balance_min_ms;
    double short_deadline_share; /* of requests */
    uint64_t seed;
    struct cw_admit_params admit;
    struct cw_route_params route;
    struct cw_retry_params retry;
};

struct sim_result {
    uint64_t offered;
    uint64_t in_time;  /* answered within the deadline */
    uint64_t refused;  /* told "not run" */
    uint64_t late;     /* answered after the deadline: wasted work */
    uint64_t overruns; /* requests sent to an endpoint without a free slot */
    uint64_t forwarded;
    uint64_t retried;
    uint64_t slot_samples;           /* samples of slots, over time */
    uint64_t idle_samples;           /* those of idle slots */
    struct cw_hist latency_us;       /* of answered requests */
    struct cw_hist refusal_delay_us; /* from arrival to refusal */
    double seconds;
    int endpoints;
};

/* Runs one configuration; the result depends on nothing else. */
void sim_run(const struct sim_config *cfg, struct sim_result *result);

#endif
