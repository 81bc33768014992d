/* The endpoint stand-in: plays a service process on a VM, with a data address
 * and a control address. One process can serve many endpoints. */
#ifndef STANDIN_ENDPOINT_H
#define STANDIN_ENDPOINT_H

#include "http.h"

/* Fault modes; "run" means that the request takes effect. */
enum ep_mode {
    EP_NONE,
    EP_DROP,   /* close every connection when it is accepted: no run */
    EP_DIE,    /* run, then close without an answer */
    EP_RESET,  /* run, then reset without an answer */
    EP_CUT,    /* run, then close in the middle of the body */
    EP_SLOW,   /* run for slow_ms longer */
    EP_REFUSE, /* refuse as full: no run */
    EP_FAIL,   /* run, then answer 500 */
    EP_MODE_COUNT,
};

/* Number of runs of each request token, over all endpoints of the process. */
struct ep_tokens {
    size_t count;
    size_t cap;
    struct ep_token *entries;
    size_t ran_twice; /* tokens that ran more than once */
};

/* Counts one run and returns the number of runs so far. */
uint32_t ep_token_count_run(struct ep_tokens *t, struct cw_str token);
uint32_t ep_token_runs(const struct ep_tokens *t, struct cw_str token);

struct endpoint {
    uv_loop_t *loop;
    struct http_server data;
    struct http_server control;
    uv_timer_t reboot_timer;
    struct ep_tokens *tokens;
    struct cw_rng *rng;
    struct cw_name name;
    struct cw_name pool;      /* empty: requests are not checked for it */
    struct cw_name next_pool; /* after the reboot */
    uint64_t incarnation;
    double work_ms; /* mean of the default service time */
    uint32_t slots;
    bool draining;
    bool quiet_drain;  /* accept new requests while draining */
    cw_ms drain_since; /* start of the drain */
    enum ep_mode mode;
    uint32_t mode_calls; /* requests left in this mode, 0 = until changed */
    uint64_t slow_ms;
    /* Counters. */
    uint32_t in_flight;
    uint32_t peak; /* of concurrent requests, refused ones included */
    uint64_t runs;
    uint64_t refused_full;
    uint64_t refused_draining;
    uint64_t late;     /* requests received 3 s or more after a drain began */
    cw_ms late_max_ms; /* longest time from drain to request */
    uint64_t wrong_pool; /* requests for the service of another pool */
    uint64_t probes;     /* of GET /ready */
};

void ep_init(struct endpoint *e, uv_loop_t *loop,
             const struct sockaddr_in *data,
             const struct sockaddr_in *control);
/* Returns 0 or a negative libuv error. */
int ep_start(struct endpoint *e);

/* Request callbacks of the two addresses; arg is the endpoint. */
void ep_on_data(void *arg, h2o_req_t *req);
void ep_on_control(void *arg, h2o_req_t *req);

#endif
