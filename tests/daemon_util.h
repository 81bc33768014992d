/* One daemon in this process, with a log in memory and an endpoint that sends
 * scripted bytes. Everything runs on one loop; waits end by an event or fail
 * after a generous limit. */
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
    DU_LOG_DOWN, /* nothing takes effect */
    DU_LOG_LOSE, /* appends take effect and are not answered */
};

struct du_log {
    struct du *u;
    enum du_log_mode mode;
    size_t stream_count;
    struct du_stream streams[4];
    struct du_log_call *calls; /* not answered yet */
    size_t appends;
};

/* What the endpoint does with a request other than GET /ready. */
struct du_script {
    const char *answer; /* bytes, or NULL for none */
    size_t len;
    bool close;        /* closes after the answer */
    bool refuse;       /* closes each new connection unread */
    const char *ready; /* status line of GET /ready, NULL for 200 */
};

struct du {
    uv_loop_t loop;
    struct cw_settings settings;
    struct cw_daemon d;
    struct du_log log;
    struct du_later *later;
    uv_timer_t pump;
    uv_timer_t limit;
    bool late;

    uv_tcp_t endpoint;
    char endpoint_address[32];
    struct du_conn *conns;
    struct du_script script;
    unsigned endpoint_requests;
    struct cw_buf seen; /* the last request as the endpoint saw it */
};

/* Starts a daemon that serves one service "stock" on one VM, and waits until a
 * slot is free. doc_extra is added to the document, e.g. ",\"drain_ms\":1". */
void du_start(struct du *u, const char *doc_extra);
void du_stop(struct du *u);
/* Runs the loop until cond holds; fails the test after DU_WAIT_MS. */
void du_until(struct du *u, bool (*cond)(void *arg), void *arg);
/* Sends bytes on a new connection and collects what comes back up to its end.
 * The request must ask for Connection: close. */
void du_exchange(struct du *u, struct cw_str request, struct cw_buf *answer);

/* Adds a record to a stream of the log. */
void du_log_add(struct du_log *l, const char *stream, const char *json);
struct du_stream *du_log_stream(struct du_log *l, const char *stream);
void du_log_port(struct du_log *l, struct cw_log_port *port);
/* Answers calls that are due; runs on the pump timer. */
void du_log_pump(struct du_log *l);
void du_log_finish(struct du_log *l);

/* Status of an answer; 0 when it is none. */
unsigned du_status(const struct cw_buf *answer);
/* True when the answer has the header line, e.g. "cuminwalk-outcome: run". */
bool du_header(const struct cw_buf *answer, const char *line);
struct cw_str du_body(const struct cw_buf *answer);

#endif
