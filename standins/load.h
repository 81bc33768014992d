/* The load client: arrivals, requests, answer checks and the report. */
#ifndef STANDIN_LOAD_H
#define STANDIN_LOAD_H

#include "client.h"
#include "http.h"

#define LOAD_TARGETS_MAX 16
#define LOAD_SERVICES_MAX 64

/* Requests by outcome, as their callers see it. */
struct load_counts {
    uint64_t sent;
    uint64_t ok;        /* complete and correct */
    uint64_t not_run;   /* according to the answer, or never sent */
    uint64_t unknown;   /* according to the answer */
    uint64_t run_error; /* ran, answered with an error status */
    uint64_t wrong;     /* complete, but not the answer to the request */
    uint64_t cut;       /* connection lost after a byte of the answer */
    uint64_t lost;      /* connection lost before any byte of the answer */
    uint64_t late;      /* no complete answer 2 s after the deadline */
};

struct load_service {
    struct cw_name name;
    double rate; /* requests per second */
    size_t index;
    struct load *load;
    uv_timer_t timer;
    struct load_counts counts;
    struct cw_hist latency; /* us, of ok answers */
    cw_ms pending_at;       /* not used */
};

enum load_outcome {
    LOAD_OK,
    LOAD_NOT_RUN,
    LOAD_UNKNOWN,
    LOAD_RUN_ERROR,
    LOAD_WRONG,
    LOAD_CUT,
    LOAD_LOST,
    LOAD_LATE,
};

/* A request token whose number of runs is verified at the end. */
struct load_token {
    char text[48];
    enum load_outcome outcome;
};

struct load {
    uv_loop_t *loop;
    struct cw_rng rng;
    /* Options; the types are popt's. */
    double rate;
    double seconds;
    double turn_s;
    int closed_callers; /* callers per service, 0 = open loop */
    int deadline_ms;
    int work_ms;
    int answer_bytes;
    int chunked;
    int body_bytes;
    int keys;
    int keep_alive;
    int seed;
    char *method;
    char *tag;
    bool bad_option;
    size_t target_count;
    struct client_pool targets[LOAD_TARGETS_MAX];
    size_t service_count;
    struct load_service services[LOAD_SERVICES_MAX];
    /* Progress. */
    uint64_t started; /* uv_now */
    uint64_t next_request;
    size_t in_flight;
    bool ending;                 /* the last request has ended */
    uint64_t status_counts[600]; /* answers by status */
    struct load_counts total;
    /* Verification. */
    bool verify;
    struct client_pool verify_pool;
    size_t token_count;
    size_t token_cap;
    struct load_token *tokens;
    size_t verified; /* tokens so far */
    uint64_t not_run_but_ran;
    uint64_t ok_but_not_run;
    uint64_t ran_twice;
};

void load_start(struct load *l);
/* Sends one request of a service. */
void load_send_request(struct load_service *s);
/* Called when a request has ended; starts the next one in a closed loop. */
void load_request_ended(struct load_service *s);
/* Ends the load: verifies the runs of all tokens with --verify, then closes
 * the connections and timers. */
void load_finish(struct load *l);
void load_print_report(const struct load *l, FILE *out);

#endif
