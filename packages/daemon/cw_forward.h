/* Forwarding of requests between daemons: declarations that the forwarding and
 * the serving side share. */
#ifndef CW_FORWARD_H
#define CW_FORWARD_H

#include "cw_list.h"
#include "cw_modules.h"
#include "cw_request.h"

struct cw_forward {
    uint64_t last_stream; /* id of the latest stream started here */
    struct cw_list out;   /* struct cw_forward_out */
    struct cw_list in;    /* struct cw_forward_in */
};

/* Headers as protobuf messages. */
struct cw_wire_headers {
    size_t count;
    Cuminwalk__Header *items;
    Cuminwalk__Header **ptrs;
    char *names; /* NUL-terminated copies */
};

bool cw_wire_headers_init(struct cw_wire_headers *l,
                          const struct cw_header *headers, size_t count);
void cw_wire_headers_finish(struct cw_wire_headers *l);

/* ---- forward_in.c: the side that serves the request -------------------- */

bool cw_forward_in_request(struct cw_daemon *d, struct cw_peer *p,
                           Cuminwalk__Envelope *env);
void cw_forward_in_window(struct cw_daemon *d, struct cw_peer *p,
                          const Cuminwalk__ForwardWindow *m);
void cw_forward_in_cancel(struct cw_daemon *d, struct cw_peer *p,
                          uint64_t stream);
/* Closes the streams of a peer, or all when p is NULL. */
void cw_forward_in_closed(struct cw_daemon *d, struct cw_peer *p);

#endif
