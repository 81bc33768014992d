/* Test fixture: one daemon in this process, with a log in memory and an
 * endpoint that sends scripted responses. Everything runs on one loop. Waits
 * end with an event, or fail the test after DU_WAIT_MS. */
#ifndef DAEMON_UTIL_H
#define DAEMON_UTIL_H

#include "cw_daemon.h"

#include <uv.h>

#define DU_WAIT_MS (20 * CW_SECOND)

struct du_log_call;

/* One stream of the log. */
struct du_stream {
    char name[16];
    size_t count;
    char **records;
    cw_ms *times;
};

enum du_log_mode {
    DU_LOG_UP,
    DU_LOG_DOWN,          /* calls fail and have no effect */
    DU_LOG_LOSE_RESPONSE, /* appends take effect, their response is lost */
};

struct du_log {
    struct du *u;
    enum du_log_mode mode;
    size_t stream_count;
    struct du_stream streams[4];
    struct du_log_call *calls; /* pending */
    size_t appends;
};

/* How the endpoint handles requests. response and close apply to requests
 * other than GET /ready. */
struct du_script {
    const char *response; /* response bytes, NULL for none */
    size_t len;
    bool close;        /* closes after the response */
    bool refuse;       /* closes each new connection without reading */
    const char *ready; /* status line of GET /ready, NULL for 200 */
    /* Sent when the daemon has closed its sending side, then the connection is
     * closed; "" for never, NULL to close at once. */
    const char *late;
};

struct du {
    uv_loop_t loop;
    struct cw_settings settings;
    struct cw_daemon d;
    struct du_log log;
    struct du_port_call *port_calls;
    uv_timer_t pump;
    uv_timer_t timeout; /* of du_run_until */
    bool timed_out;

    uv_tcp_t endpoint;
    char endpoint_address[32];
    struct du_conn *conns;
    struct du_script script;
    unsigned endpoint_requests;
    struct cw_buf last_request; /* as the endpoint received it */
};

/* Starts a daemon that serves one service "stock" on one VM, and waits until a
 * slot is free. doc_extra is added to the document, e.g. ",\"drain_ms\":1". */
void du_start(struct du *u, const char *doc_extra);
void du_stop(struct du *u);
/* Runs the loop until cond holds; fails the test after DU_WAIT_MS. */
void du_run_until(struct du *u, bool (*cond)(void *arg), void *arg);
/* Sends a request on a new connection and reads the response until the daemon
 * closes the connection. The request must have Connection: close, unless its
 * response closes the connection anyway. */
void du_exchange(struct du *u, struct cw_str request, struct cw_buf *response);

/* Appends a record to a stream of the log. */
void du_log_add(struct du_log *l, const char *stream, const char *json);
struct du_stream *du_log_stream(struct du_log *l, const char *stream);
void du_log_port(struct du_log *l, struct cw_log_port *port);
/* Completes the calls that are due; runs on the pump timer. */
void du_log_pump(struct du_log *l);
void du_log_finish(struct du_log *l);

/* Status of a response, 0 when it has no status line. */
unsigned du_status(const struct cw_buf *response);
/* Whether the response has the header line, e.g. "cuminwalk-outcome: run". */
bool du_has_header(const struct cw_buf *response, const char *line);
struct cw_str du_body(const struct cw_buf *response);

#endif
