/* Clients of the platform's HTTP interface, one for each port. Each has its
 * own connection pool, so that a long poll delays no other call.
 *
 * init takes the event loop and the platform's ip:port and returns
 * CW_ERR_INVALID for a malformed address. finish ends the open calls and runs
 * their done functions before it returns; the memory must stay valid until the
 * loop has run once more. A port filled in by a client is valid as long as the
 * client.
 */
#ifndef CW_CLIENTS_H
#define CW_CLIENTS_H

#include "cw_http_call.h"
#include "cw_ports.h"

#include <jansson.h>

/* Time that the platform may take for an answer, on top of the wait that a
 * read asks for. The same as the deadline after which the writer searches the
 * log for an unanswered append. */
#define CW_PLATFORM_TIMEOUT_MS (5 * CW_SECOND)

struct cw_log_client {
    struct cw_http_client http;
};
enum cw_status cw_log_client_init(struct cw_log_client *c, uv_loop_t *loop,
                                  const char *address);
void cw_log_client_finish(struct cw_log_client *c);
void cw_log_client_port(struct cw_log_client *c, struct cw_log_port *port);

struct cw_vmlist_client {
    struct cw_http_client http;
};
enum cw_status cw_vmlist_client_init(struct cw_vmlist_client *c,
                                     uv_loop_t *loop, const char *address);
void cw_vmlist_client_finish(struct cw_vmlist_client *c);
void cw_vmlist_client_port(struct cw_vmlist_client *c,
                           struct cw_vmlist_port *port);

struct cw_pool_client {
    struct cw_http_client http;
};
enum cw_status cw_pool_client_init(struct cw_pool_client *c, uv_loop_t *loop,
                                   const char *address);
void cw_pool_client_finish(struct cw_pool_client *c);
void cw_pool_client_port(struct cw_pool_client *c, struct cw_pool_port *port);

struct cw_worker_client {
    struct cw_http_client http;
};
enum cw_status cw_worker_client_init(struct cw_worker_client *c,
                                     uv_loop_t *loop, const char *address);
void cw_worker_client_finish(struct cw_worker_client *c);
void cw_worker_client_port(struct cw_worker_client *c,
                           struct cw_worker_port *port);

/* For the clients: maps the result of an HTTP call to the port's status. */
enum cw_status cw_client_map_status(enum cw_status s,
                                    const struct cw_http_answer *a);
/* Parses the answer's body; NULL when it is not a JSON object. */
json_t *cw_client_parse_json(const struct cw_http_answer *a);
/* Reads a string field into *n; CW_ERR_INVALID when it is missing or not a
 * string, CW_ERR_LIMIT when it is too long. */
enum cw_status cw_client_get_name(struct cw_name *n, const json_t *obj,
                                  const char *key);
/* Reads an integer field; 0 when it is missing or negative. */
uint64_t cw_client_get_u64(const json_t *obj, const char *key);
/* Starts a POST with a JSON body and releases the reference to body. */
void cw_client_post(struct cw_http_client *c, const char *path, json_t *body,
                    void (*done)(void *arg, enum cw_status s,
                                 const struct cw_http_answer *a),
                    void *arg);

#endif
