/* Forwarding between daemons: what its two sides share. */
#ifndef CW_FORWARD_H
#define CW_FORWARD_H

#include "cw_list.h"
#include "cw_modules.h"
#include "cw_request.h"

struct cw_forward {
    uint64_t streams;   /* ids of streams begun here */
    struct cw_list out; /* struct cw_fwd_out */
    struct cw_list in;  /* struct cw_fwd_in */
};

/* Headers as messages. */
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

bool cw_fwd_in_request(struct cw_daemon *d, struct cw_peer *p,
                       Cuminwalk__Envelope *env);
void cw_fwd_in_window(struct cw_daemon *d, struct cw_peer *p,
                      const Cuminwalk__ForwardWindow *m);
void cw_fwd_in_cancel(struct cw_daemon *d, struct cw_peer *p, uint64_t stream);
/* Drops the streams of a peer, or all when p is NULL. */
void cw_fwd_in_closed(struct cw_daemon *d, struct cw_peer *p);

#endif
