/* An h2o HTTP/1.1 listener with one handler for every path. */
#ifndef CW_HTTP_SERVER_H
#define CW_HTTP_SERVER_H

#include "cw_http_budget.h"
#include "cw_request.h"

#include <h2o.h>
#include <h2o/http1.h>

struct cw_http_conn;

struct cw_http_server {
    uv_loop_t *loop;
    h2o_globalconf_t conf;
    h2o_context_t ctx;
    h2o_accept_ctx_t accept;
    uv_tcp_t *listener;
    struct cw_http_budget budget;
    struct cw_http_conn *watched; /* h2o may read again on these */
    struct cw_http_conn *current; /* in its read callback; NULL: closed */
    uv_prepare_t *prepare;        /* NULL: no limits */
    uv_timer_t *timer;
    cw_ms evicted_logged_at;
    int (*on_req)(void *arg, h2o_req_t *req);
    void *arg;
    bool ready;
};

/* Listens on an address and sets *bound to the one in use. on_req handles
 * every request that h2o accepts. Error responses that h2o generates itself
 * get the daemon's JSON body and outcome header. */
enum cw_status cw_http_server_init(struct cw_http_server *s, uv_loop_t *loop,
                                   struct cw_str address,
                                   struct cw_name *bound,
                                   int (*on_req)(void *arg, h2o_req_t *req),
                                   void *arg, char *msg);
/* Limits what callers hold from now on, without which only h2o's limits apply.
 * A connection that exceeds them, or that has to make room, is closed while
 * its request is incomplete, so that nothing of it has run. */
enum cw_status cw_http_server_limit(struct cw_http_server *s,
                                    const struct cw_http_limits *limits);
/* Stops accepting connections; open ones close after their next response. */
void cw_http_server_stop(struct cw_http_server *s);
/* Shuts down all connections and runs the loop until they are closed. */
void cw_http_server_finish(struct cw_http_server *s);

#endif
