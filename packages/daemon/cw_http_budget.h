/* What the connections of one listener may hold: decides which connection is
 * refused or closed. Pure: no I/O, no clock. */
#ifndef CW_HTTP_BUDGET_H
#define CW_HTTP_BUDGET_H

#include "cuminwalk.h"

/* A request buffer up to this size is part of the cost of a connection and is
 * not charged, so that small requests never compete with large ones. */
#define CW_HTTP_FREE_BYTES ((size_t)8 * 1024)

struct cw_http_limits {
    size_t conns_max; /* open connections */
    size_t bytes_max; /* charged buffers of all connections together */
    size_t body_max;
    size_t head_max;
    cw_ms head_ms;    /* from the first byte to the end of the head */
    cw_ms request_ms; /* from the first byte to the end of the body */
    cw_ms write_ms;   /* until a caller has taken its response */
};

enum cw_http_state {
    CW_HTTP_READING,   /* a request is incomplete, or none came yet */
    CW_HTTP_IDLE,      /* between requests */
    CW_HTTP_ANSWERING, /* the application has the request */
    CW_HTTP_WRITING,   /* the response is being sent */
    CW_HTTP_CLOSING,   /* shut down; still holds its memory */
};

enum cw_http_reason {
    CW_HTTP_KEEP,
    CW_HTTP_REFUSED,  /* a new connection: all others are in use */
    CW_HTTP_CONNS,    /* closed for a new connection */
    CW_HTTP_BYTES,    /* closed for the bytes that it holds */
    CW_HTTP_HEAD,     /* its request head is too large */
    CW_HTTP_DEADLINE, /* its request or response takes too long */
    CW_HTTP_REASONS
};

/* One connection. */
struct cw_http_slot {
    struct cw_http_slot *prev;
    struct cw_http_slot *next;
    enum cw_http_state state;
    cw_ms since;     /* start of the request, or of the state */
    size_t received; /* bytes of the incomplete request */
    size_t charged;
    bool head_done;
};

struct cw_http_budget {
    struct cw_http_limits limits;
    struct cw_http_slot *slots;
    size_t conns;
    size_t conns_peak;
    size_t bytes;
    size_t bytes_peak;
    uint64_t closed[CW_HTTP_REASONS];
};

const char *cw_http_reason_name(enum cw_http_reason r);

/* Limits that no caller within the configuration's limits reaches. fds: of the
 * process, of which a quarter stays free for everything else. */
struct cw_http_limits cw_http_limits_for(size_t memory_bytes, size_t fds);

void cw_http_budget_init(struct cw_http_budget *b,
                         const struct cw_http_limits *limits);
/* Room for one more connection. CW_HTTP_KEEP: there is. CW_HTTP_CONNS: after
 * *victim is closed. CW_HTTP_REFUSED: there is none. */
enum cw_http_reason cw_http_budget_admit(const struct cw_http_budget *b,
                                         cw_ms now,
                                         struct cw_http_slot **victim);
void cw_http_budget_add(struct cw_http_budget *b, struct cw_http_slot *slot,
                        cw_ms now);
void cw_http_budget_remove(struct cw_http_budget *b,
                           struct cw_http_slot *slot);
void cw_http_budget_set_state(struct cw_http_slot *slot,
                              enum cw_http_state state, cw_ms now);
/* An incomplete request has this many bytes in a buffer of this capacity. */
void cw_http_budget_received(struct cw_http_budget *b,
                             struct cw_http_slot *slot, size_t received,
                             size_t capacity, cw_ms now);
/* What has to be closed after bytes were received on slot: *victim, which may
 * be slot itself. Repeated until it returns CW_HTTP_KEEP. */
enum cw_http_reason cw_http_budget_check(const struct cw_http_budget *b,
                                         struct cw_http_slot *slot, cw_ms now,
                                         struct cw_http_slot **victim);
/* Whether the time of a connection is over. */
bool cw_http_budget_expired(const struct cw_http_budget *b,
                            const struct cw_http_slot *slot, cw_ms now);

#endif
