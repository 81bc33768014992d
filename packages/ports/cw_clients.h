/* Clients of the platform's HTTP interface, one for each port. Each keeps its
 * own pool of connections, so that a read that waits holds up nothing else.
 *
 * init takes the loop and the platform's ip:port and returns CW_ERR_INVALID
 * for a malformed address. finish ends the open calls, whose done functions
 * run inside it; the memory must stay until the loop has run once more. The
 * port that a client fills refers to the client.
 */
#ifndef CW_CLIENTS_H
#define CW_CLIENTS_H

#include "cw_http_call.h"
#include "cw_ports.h"

#include <jansson.h>

/* Longest time that the platform may take for an answer beyond the time that
 * a read asks it to wait. The same as the deadline after which a lost append
 * is looked for in the log. */
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

/* For the clients: the status of a port call from that of its HTTP call. */
enum cw_status cw_client_status(enum cw_status s,
                                const struct cw_http_answer *a);
/* The answer's body as a JSON object, or NULL when it is none. */
json_t *cw_client_json(const struct cw_http_answer *a);
/* A string field as a name; CW_ERR_INVALID when it is missing or too long. */
enum cw_status cw_client_name(struct cw_name *n, const json_t *obj,
                              const char *key);
/* A number field; 0 when it is missing or negative. */
uint64_t cw_client_number(const json_t *obj, const char *key);
/* Starts POST path with a JSON body, which it releases. */
void cw_client_post(struct cw_http_client *c, const char *path, json_t *body,
                    void (*done)(void *arg, enum cw_status s,
                                 const struct cw_http_answer *a),
                    void *arg);

#endif
