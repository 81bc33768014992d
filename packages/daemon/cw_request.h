/* One request on its way through the daemon. Its source (a caller's connection
 * or a peer) owns it; at any time at most one executor (queue, key check,
 * endpoint connection, forward to a peer) works on it. */
#ifndef CW_REQUEST_H
#define CW_REQUEST_H

#include "cw_daemon.h"
#include "cw_wire.pb-c.h"

#define CW_HEADER_MAX ((size_t)16 * 1024) /* bytes of a header block */
#define CW_BODY_MAX ((size_t)1024 * 1024) /* bytes of a request body */
#define CW_HELD_MAX ((size_t)64 * 1024)   /* answer bytes held */
#define CW_HELD_PAUSE ((size_t)32 * 1024) /* executors pause above this */
#define CW_REQUEST_ID_MAX (CW_NAME_MAX + 1)

struct cw_header {
    struct cw_str name; /* lower case in requests */
    struct cw_str value;
};

const char *cw_priority_name(enum cw_priority p);

/* The head of an answer. */
struct cw_head {
    unsigned status;
    size_t count;
    const struct cw_header *headers;
    bool has_length;
    uint64_t length;
};

struct cw_request;
struct cw_service;
struct cw_runner;

struct cw_source_ops {
    /* Called once; the head's strings live until the call returns. */
    void (*head)(struct cw_request *r, const struct cw_head *h);
    /* r->out has bytes, or r->ended was set. May free r when it ended. */
    void (*data)(struct cw_request *r);
};

struct cw_exec_ops {
    /* The request goes away; the executor must drop its pointer to it. */
    void (*cancel)(struct cw_request *r);
    /* The answer buffer has room again. May be NULL. */
    void (*resume)(struct cw_request *r);
};

struct cw_request {
    struct cw_daemon *d;
    char id[CW_REQUEST_ID_MAX];
    struct cw_name service;
    struct cw_name caller;
    enum cw_priority priority;
    struct cw_str method;
    struct cw_str path; /* as the endpoint sees it */
    struct cw_str authority;
    struct cw_str body;
    size_t header_count;
    struct cw_header *headers; /* hop-by-hop headers removed */
    struct cw_str key;         /* Idempotency-Key, empty for none */

    cw_ms arrived;
    cw_ms deadline;
    cw_ms sent_at; /* of the latest try's first byte, 0 for none */
    bool handed;   /* a byte of it may have reached an endpoint or a peer */
    uint64_t arrived_ns;
    uint32_t hops; /* 1: came from a peer */
    bool idempotent;
    bool key_intent;   /* our intent for the key is the first in the log */
    bool key_checked;  /* checked here or at the peer it came from */
    bool no_guarantee; /* run during an outage of the log */

    const struct cw_source_ops *source;
    void *source_ctx;
    const struct cw_exec_ops *exec;
    void *exec_ctx;

    /* The answer. */
    struct cw_buf out; /* bytes not yet taken by the source */
    size_t taken;      /* bytes the source has taken but not yet sent */
    unsigned status;   /* 0 until the head */
    enum cw_outcome outcome;
    const char *code; /* of an answer of the daemon itself */
    bool shed;        /* refused for lack of capacity */
    bool own;         /* answered by the daemon itself */
    bool ended;       /* no more bytes follow */
    bool complete;

    /* Of the dispatcher. */
    struct cw_admit_item wait;
    struct cw_service *queue; /* whose queue holds the request, or NULL */
    struct cw_attempt tried;
    struct cw_runner *last; /* of the try before; compared, never followed */
    void *key_ctx;          /* of the key check */
};

/* Fills the fields that do not come from the message; n is a fresh number. */
void cw_request_init(struct cw_request *r, struct cw_daemon *d);
/* The source is done with the request: cancels its executor and releases what
 * it holds. The memory of r stays the source's. */
void cw_request_finish(struct cw_request *r);

/* The executor gives up the request without having answered it. */
void cw_request_detach(struct cw_request *r);

/* Answer of an endpoint, local or through a peer. */
void cw_request_head(struct cw_request *r, const struct cw_head *h);
void cw_request_body(struct cw_request *r, const void *ptr, size_t len);
/* Ends the answer; not complete: the caller sees a cut. Detaches the executor,
 * and r may be gone afterwards. */
void cw_request_end(struct cw_request *r, bool complete);
/* Bytes of the answer that are held. */
size_t cw_request_held(const struct cw_request *r);
/* The source has sent what it took. */
void cw_request_sent(struct cw_request *r);

/* Ends the request with an answer of the daemon itself, or with a cut when the
 * head was sent already. r may be gone afterwards. */
void cw_request_fail(struct cw_request *r, unsigned status,
                     enum cw_outcome outcome, const char *code,
                     const char *message);
/* The same for a lack of capacity: 503, not run. */
void cw_request_shed(struct cw_request *r, const char *code,
                     const char *message);

/* Adds the JSON body of the daemon's own answers. */
void cw_error_body(struct cw_buf *out, struct cw_str code, struct cw_str text,
                   struct cw_str id);
/* Standard reason phrase. */
const char *cw_reason(unsigned status);

/* Removes hop-by-hop headers, those that Connection names, and the message
 * framing; keeps the order and returns the new count. */
size_t cw_headers_strip(struct cw_header *headers, size_t count);
const struct cw_header *cw_headers_find(const struct cw_header *headers,
                                        size_t count, struct cw_str name);

/* ---- front.c ---------------------------------------------------------- */

enum cw_status cw_front_init(struct cw_daemon *d);
void cw_front_finish(struct cw_daemon *d);
void cw_front_tick(struct cw_daemon *d, cw_ms now);
/* Closes the listener; connections end after their current request. */
void cw_front_stop(struct cw_daemon *d);
size_t cw_front_connections(const struct cw_daemon *d);

/* Faults that h2o does not refuse. */
struct cw_raw_check {
    size_t length;     /* bytes of the header block */
    bool framing_bad;  /* conflicting or repeated message framing */
    bool transfer_bad; /* a transfer coding other than chunked */
};

/* Looks at a header block as it arrived. */
void cw_raw_check(struct cw_str block, struct cw_raw_check *out);

/* ---- upstream.c ------------------------------------------------------- */

/* How a try at an endpoint ended. */
enum cw_try {
    CW_TRY_DONE,     /* the answer was passed on in full */
    CW_TRY_NOT_RUN,  /* no connection, nothing was written */
    CW_TRY_HELD,     /* nothing was written, for a reason of this daemon */
    CW_TRY_REFUSED,  /* 503 with Cuminwalk-Refused: full */
    CW_TRY_DRAINING, /* 503 with Cuminwalk-Refused: draining */
    CW_TRY_UNKNOWN,  /* written, no head came */
    CW_TRY_CUT,      /* the answer was cut after its head */
    CW_TRY_TIMEOUT,  /* written, the deadline passed */
    CW_TRY_GONE,     /* the caller went away */
};

enum cw_status cw_upstream_init(struct cw_daemon *d);
void cw_upstream_finish(struct cw_daemon *d);
void cw_upstream_tick(struct cw_daemon *d, cw_ms now);
/* Sends r to an endpoint and passes the answer on. The dispatcher is told the
 * result by cw_dispatch_tried, before the request is ended. */
void cw_upstream_send(struct cw_request *r, struct cw_runner *e,
                      uint32_t slot);

/* ---- dispatch.c ------------------------------------------------------- */

enum cw_status cw_dispatch_init(struct cw_daemon *d);
void cw_dispatch_finish(struct cw_daemon *d);
void cw_dispatch_tick(struct cw_daemon *d, cw_ms now);
/* Takes a new request; ends it or lets it wait. */
void cw_dispatch_start(struct cw_request *r);
/* A try ended. r is NULL when the caller went away, and otherwise still
 * unanswered for NOT_RUN, HELD, REFUSED, DRAINING, UNKNOWN and TIMEOUT: the
 * dispatcher then tries elsewhere or answers. */
void cw_dispatch_tried(struct cw_daemon *d, struct cw_request *r,
                       struct cw_runner *e, uint32_t slot, enum cw_try t,
                       cw_ms took);
/* Slots may have become free for a service; empty for all. */
void cw_dispatch_kick(struct cw_daemon *d, struct cw_str service);
/* A record took effect: divides the slots anew where it matters. Called for
 * each record, since a skipped view could hide a change of owner. */
void cw_dispatch_applied(struct cw_daemon *d, const struct cw_record *r,
                         cw_ms now);
/* Divides the slots by the current state. */
void cw_dispatch_partition(struct cw_daemon *d, bool lapse, cw_ms now);
/* Drops all slots: the state or the incarnation starts anew. */
void cw_dispatch_reset(struct cw_daemon *d);
/* Brings services and routes in line with the state and the runners. */
void cw_dispatch_refresh(struct cw_daemon *d, cw_ms now);
/* A peer's heartbeat as the slot table sees it. */
void cw_dispatch_heard(struct cw_daemon *d, struct cw_str daemon,
                       uint64_t incarnation, uint64_t applied,
                       const struct cw_slot_busy *busy, size_t count,
                       cw_ms now);
size_t cw_dispatch_busy(const struct cw_daemon *d, struct cw_slot_busy *out,
                        size_t max);
/* Drops a runner that is no longer in the view. */
void cw_dispatch_forget(struct cw_daemon *d, struct cw_runner *e);
size_t cw_dispatch_waiting(const struct cw_daemon *d);
/* Load of one service on this daemon. */
struct cw_load {
    struct cw_name service;
    uint32_t free_slots;
    uint32_t held; /* usable slots, in use or not */
    uint32_t busy; /* requests at endpoints */
    uint32_t waiting;
    uint32_t delay_ms; /* age of the oldest waiting request */
};
size_t cw_dispatch_services(const struct cw_daemon *d);
void cw_dispatch_load(const struct cw_daemon *d, size_t i, cw_ms now,
                      struct cw_load *out);

/* ---- forward.c -------------------------------------------------------- */

struct cw_peer;

enum cw_status cw_forward_init(struct cw_daemon *d);
void cw_forward_finish(struct cw_daemon *d);
void cw_forward_tick(struct cw_daemon *d, cw_ms now);
/* Sends r to a peer; false when nothing was handed to the socket, r then
 * stays the dispatcher's. */
bool cw_forward_send(struct cw_request *r, struct cw_peer *p);
/* Frames of the types Forward*. True when env is kept. */
bool cw_forward_frame(struct cw_daemon *d, struct cw_peer *p,
                      Cuminwalk__Envelope *env);
/* The connection to a peer ended. */
void cw_forward_closed(struct cw_daemon *d, struct cw_peer *p);
/* Requests of peers that are not yet answered in full. */
size_t cw_forward_incoming(const struct cw_daemon *d);
/* A peer ended the request without an answer of an endpoint, or the connection
 * to it broke: the dispatcher goes on with r. */
void cw_dispatch_returned(struct cw_request *r, enum cw_outcome outcome,
                          const char *code);

/* ---- keys.c ----------------------------------------------------------- */

enum cw_status cw_keys_init(struct cw_daemon *d);
void cw_keys_finish(struct cw_daemon *d);
void cw_keys_tick(struct cw_daemon *d, cw_ms now);
/* Checks the key of r against the log; the dispatcher goes on by
 * cw_dispatch_keyed, or r is answered. */
void cw_keys_check(struct cw_request *r);
void cw_dispatch_keyed(struct cw_request *r);
/* The request of an intent ran with this status, or never will. */
void cw_keys_done(struct cw_daemon *d, struct cw_str service,
                  struct cw_str key, const char *request_id, unsigned status);
void cw_keys_released(struct cw_daemon *d, struct cw_str service,
                      struct cw_str key, const char *request_id);

/* No record waits to be written or read back. */
bool cw_keys_idle(const struct cw_daemon *d);

/* ---- stats.c ---------------------------------------------------------- */

/* Counts a request whose answer ended; requests of peers are counted where
 * the caller is connected. */
void cw_stats_request(struct cw_daemon *d, const struct cw_request *r);
void cw_stats_forwarded(struct cw_daemon *d);

#endif
