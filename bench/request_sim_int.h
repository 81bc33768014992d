/* Parts of the request simulation that its source files share. */
#ifndef REQUEST_SIM_INT_H
#define REQUEST_SIM_INT_H

#include "request_sim.h"

#define SIM_VMS_MAX 512
#define SIM_START 100000.0 /* ms; slots are usable by then */
#define SIM_LOAD_MS 60000.0
#define SIM_END_MS 80000.0 /* with time for the last requests to end */

enum sim_event_kind {
    EV_ARRIVE,
    EV_AT_DAEMON,
    EV_AT_ENDPOINT,
    EV_ENDPOINT_DONE,
    EV_RESPONSE,
    EV_HEARTBEAT,
    EV_TICK,
    EV_SAMPLE,
};

struct sim_event {
    double time;
    uint64_t order; /* ties in the order of scheduling */
    enum sim_event_kind kind;
    void *arg;
};

/* A modelled endpoint. */
struct sim_vm {
    struct cw_name name;
    int service;
    int dc;
    int running;
    double slowness; /* factor on the service time */
    bool crowded;    /* slows down with more than 4 requests */
};

struct sim_daemon {
    int dc;
    double share; /* of the load balancer's requests */
    struct cw_slots slots;
    struct cw_route route[SIM_SERVICES];
    struct cw_admit queue[SIM_SERVICES];
    struct cw_retry retry[SIM_SERVICES];
    struct cw_endpoint *endpoints; /* one per VM */
    uint32_t peer_free[SIM_DAEMONS][SIM_SERVICES];
    double peer_backlog[SIM_DAEMONS][SIM_SERVICES]; /* ms */
    double peer_rate[SIM_DAEMONS][SIM_SERVICES];
};

struct sim_request {
    struct cw_admit_item item;
    int service;
    uint64_t caller;
    double arrived;
    double deadline;
    double sent;
    double hop_ms; /* back from the peer it was forwarded to */
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
    struct sim_result *out;
    struct cw_rng rng;      /* of the policies */
    struct cw_rng load_rng; /* of the load: the same for all configurations */
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
void sim_event(struct sim *s, enum sim_event_kind kind, void *arg);
double sim_net_ms(const struct sim *s, int dc_a, int dc_b);
struct sim_vm *sim_vm(const struct cw_endpoint *ep);
struct sim_request *sim_request_of(struct cw_admit_item *item);
void sim_arrive(struct sim *s, int service);
void sim_at_endpoint(struct sim *s, struct sim_request *r);
void sim_endpoint_done(struct sim *s, struct sim_request *r);

#endif
