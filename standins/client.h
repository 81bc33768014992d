/* A small HTTP/1.1 client on libuv. It is separate from the daemon's
 * client, so that it checks answers independently. */
#ifndef STANDIN_CLIENT_H
#define STANDIN_CLIENT_H

#include "cuminwalk.h"

#include <netinet/in.h>
#include <uv.h>

/* Progress of a call when it ended. */
enum client_phase {
    CLIENT_CONNECT,   /* not connected: nothing was sent */
    CLIENT_SENT,      /* sent, no byte of the answer received */
    CLIENT_RECEIVING, /* answer started but incomplete */
    CLIENT_DONE,      /* complete answer */
};

struct client_result {
    enum client_phase phase;
    bool timed_out;
    int status;
    struct cw_str head; /* status line and headers */
    struct cw_str body;
};

struct client_pool {
    uv_loop_t *loop;
    struct sockaddr_in addr;
    bool keep_alive;
    struct client_conn *idle;
    size_t open_calls; /* calls that have not ended */
};

void client_pool_init(struct client_pool *p, uv_loop_t *loop,
                      const struct sockaddr_in *addr, bool keep_alive);
/* Closes the idle connections. */
void client_pool_finish(struct client_pool *p);

/* Sends a complete request, given as text. done runs once: after this function
 * returned, or during it when memory ran out or the write to a reused
 * connection failed at once. */
void client_call(struct client_pool *p, struct cw_str request,
                 uint64_t timeout_ms,
                 void (*done)(void *arg, const struct client_result *r),
                 void *arg);

/* Value of a header in a result's head, empty when it is missing. */
struct cw_str client_header(struct cw_str head, const char *name);

#endif
