/* A small HTTP server on h2o, shared by the stand-ins. It can inject faults:
 * close or reset a connection while a request is open. */
#ifndef STANDIN_HTTP_H
#define STANDIN_HTTP_H

#include "cuminwalk.h"

#include <h2o.h>
#include <h2o/http1.h>
#include <jansson.h>
#include <netinet/in.h>
#include <uv.h>

struct http_conn;

struct http_server {
    uv_loop_t *loop;
    h2o_globalconf_t conf;
    h2o_context_t ctx;
    h2o_accept_ctx_t accept;
    uv_tcp_t *listener; /* NULL while the server does not listen */
    struct sockaddr_in addr;
    struct http_conn *conns;
    size_t conn_count;
    size_t conn_peak;
    size_t conn_max;   /* mark connections above this full; 0 = no limit */
    bool drop_accepts; /* close every new connection at once */
    void (*on_request)(void *arg, h2o_req_t *req);
    void *arg;
};

/* Parses ip:port. */
bool http_parse_address(const char *text, struct sockaddr_in *addr);

void http_server_init(struct http_server *s, uv_loop_t *loop,
                      const struct sockaddr_in *addr,
                      void (*on_request)(void *arg, h2o_req_t *req),
                      void *arg);
/* Returns 0 or a negative libuv error. */
int http_server_listen(struct http_server *s);
/* Closes the listener; open connections stay. */
void http_server_stop_listening(struct http_server *s);
/* Shuts down all connections, as a reboot does. */
void http_server_disconnect_all(struct http_server *s);
/* True when the request's connection was accepted above conn_max. */
bool http_conn_full(struct http_server *s, h2o_req_t *req);

/* Ends the connection of a request without an answer, by a reset or a
 * shutdown. The request must still be answered to release it. */
void http_disconnect(h2o_req_t *req, bool reset);

void http_reply(h2o_req_t *req, int status, const char *type,
                struct cw_str body);
/* Answers with JSON and releases the value. */
void http_reply_json(h2o_req_t *req, int status, json_t *value);
/* Ends the connection as http_disconnect does and releases the request. */
void http_drop_request(h2o_req_t *req, bool reset);

struct cw_str http_path(const h2o_req_t *req);
struct cw_str http_header(const h2o_req_t *req, const char *name);
uint64_t http_header_u64(const h2o_req_t *req, const char *name,
                         uint64_t default_value);
uint64_t http_query_u64(const h2o_req_t *req, const char *name,
                        uint64_t default_value);
/* The body as a JSON object, which the caller releases, or NULL when it is
 * anything else. */
json_t *http_body_json(const h2o_req_t *req);
/* Read a field of a JSON object; a missing field has the default value. */
uint64_t http_json_u64(const json_t *obj, const char *key,
                       uint64_t default_value);
void http_json_name(struct cw_name *n, const json_t *obj, const char *key,
                    const char *default_value);
bool http_matches(const h2o_req_t *req, const char *method, const char *path);

#endif
