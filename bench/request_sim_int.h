/* Declarations shared by the source files of the request simulation. */
#ifndef REQUEST_SIM_INT_H
#define REQUEST_SIM_INT_H

#include "request_sim.h"

#define SIM_VMS_MAX 512
#define SIM_START_MS 100000.0 /* all slots are active by then */
#define SIM_LOAD_MS 60000.0   /* duration of the load */
#define SIM_END_MS 80000.0    /* total duration; lets the last requests end */

enum sim_event_kind {
    EV_NEW_REQUEST,
    EV_DAEMON_RECEIVE,
    EV_ENDPOINT_RECEIVE,
    EV_ENDPOINT_DONE,
    EV_RESPONSE,
    EV_HEARTBEAT,
    EV_TICK,
    EV_SAMPLE,
};

struct sim_event {
    double time;    /* ms */
    uint64_t order; /* events of the same time run as scheduled */
    enum sim_event_kind kind;
    void *arg;
};

/* A modelled endpoint. */
struct sim_vm {
    struct cw_name name;
    int service;
    int dc;
    int running;
    double slow_factor; /* applied to the service time */
    bool low_memory;    /* slows down with more than 4 requests */
};

struct sim_daemon {
    int dc;
    double share; /* of the requests, set by the load balancer */
    struct cw_slots slots;
    struct cw_route route[SIM_SERVICES];
    struct cw_admit queue[SIM_SERVICES];
    struct cw_retry retry[SIM_SERVICES];
    struct cw_endpoint *endpoints; /* one per VM */
    /* From the last heartbeats, adjusted for requests forwarded since. */
    uint32_t peer_free_slots[SIM_DAEMONS][SIM_SERVICES];
    double peer_backlog_ms[SIM_DAEMONS][SIM_SERVICES];
    double peer_rate[SIM_DAEMONS][SIM_SERVICES]; /* requests per ms */
};

struct sim_request {
    struct cw_admit_item item;
    int service;
    uint64_t caller;
    /* Simulated times in ms. */
    double arrived;
    double deadline;
    double sent;
    double hop_ms; /* return way from the peer that it was forwarded to */
    struct sim_daemon *daemon;
    struct cw_endpoint *ep;
    int slot;
    uint32_t resent;
    bool forwarded;
    bool refused;
};

struct sim_source {
    int service;
};

struct sim {
    const struct sim_config *cfg;
    struct sim_result *result;
    struct cw_rng rng;      /* for the policies and endpoints */
    struct cw_rng load_rng; /* for the load, which all configurations share */
    double now;
    uint64_t scheduled;
    struct sim_event *heap;
    size_t heap_count;
    size_t heap_cap;
    int vm_count;
    struct sim_vm vms[SIM_VMS_MAX];
    struct sim_daemon daemons[SIM_DAEMONS];
    struct sim_source sources[SIM_SERVICES];
};

void sim_schedule(struct sim *s, double delay_ms, enum sim_event_kind kind,
                  void *arg);
void sim_handle_event(struct sim *s, enum sim_event_kind kind, void *arg);
double sim_net_ms(const struct sim *s, int dc_a, int dc_b);
struct sim_vm *sim_vm_of_endpoint(const struct cw_endpoint *ep);
struct sim_request *sim_request_of_item(struct cw_admit_item *item);
void sim_new_request(struct sim *s, int service);
void sim_endpoint_receive(struct sim *s, struct sim_request *r);
void sim_endpoint_finish(struct sim *s, struct sim_request *r);

#endif
