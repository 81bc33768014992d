/* An h2o HTTP/1.1 listener with one handler for every path. */
#ifndef CW_HTTP_SERVER_H
#define CW_HTTP_SERVER_H

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
    struct cw_http_conn *conns;
    size_t conn_count;
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
/* Stops accepting connections; open ones close after their next response. */
void cw_http_server_stop(struct cw_http_server *s);
/* Shuts down all connections and runs the loop until they are closed. */
void cw_http_server_finish(struct cw_http_server *s);

#endif
