/* HTTP/1.1 calls to a fixed address, with a deadline and a pool of idle
 * connections. The status of a failed call says whether anything was sent.
 *
 * h2o's client is not used: its pool exports and imports a connection's socket
 * around each call, which takes five system calls more than the call itself.
 */
#ifndef CW_HTTP_CALL_H
#define CW_HTTP_CALL_H

#include "cw_ports.h"

#include <netinet/in.h>
#include <uv.h>

struct cw_http_call;
struct cw_http_conn;

struct cw_http_client {
    uv_loop_t *loop;
    struct sockaddr_in peer;
    struct cw_name address;
    struct cw_http_conn *conns; /* all connections */
    struct cw_http_conn *idle;  /* of these, without a call; latest first */
    struct cw_http_call *calls; /* open calls */
    /* Within the done function of a call: its connection, if the next call may
     * use it. */
    struct cw_http_conn *answered;
    struct cw_traffic traffic;
    bool ready;           /* init succeeded and finish has not run */
    char msg[CW_MSG_MAX]; /* of the last failed call */
};

struct cw_http_request {
    const char *method;
    const char *path;
    struct cw_str body; /* empty for none; sent as JSON */
    cw_ms timeout_ms;
    const char *headers; /* more header lines, each with CRLF; or NULL */
};

struct cw_http_answer {
    int status;
    struct cw_str body;
};

/* Parses ip:port, IP numbers only. */
bool cw_http_parse_address(const char *text, struct sockaddr_in *out);

enum cw_status cw_http_client_init(struct cw_http_client *c, uv_loop_t *loop,
                                   const char *address);
/* Ends the open calls and runs their done functions before it returns. The
 * loop has to run afterwards to free the connections. */
void cw_http_client_finish(struct cw_http_client *c);

/* Marks the connection of the call whose done function calls this, if later
 * calls may use it. A connection that is opened later has no mark. */
void cw_http_client_mark(struct cw_http_client *c, int64_t mark);
/* True when the next call goes out on a connection with this mark. */
bool cw_http_client_prefer_marked(struct cw_http_client *c, int64_t mark);

/* Starts a call. done is called once, never before this has returned, with
 *   CW_OK              a complete answer with any HTTP status,
 *   CW_ERR_UNAVAILABLE the connection was refused: nothing was sent,
 *   CW_ERR_TIMEOUT     nothing was sent by the deadline, as the peer could not
 *                      be reached or this process was paused,
 *   CW_ERR_UNKNOWN     sent, no complete answer. */
void cw_http_call(struct cw_http_client *c, const struct cw_http_request *r,
                  void (*done)(void *arg, enum cw_status s,
                               const struct cw_http_answer *a),
                  void *arg);

/* Longest time for an answer to cw_http_fetch, its first byte included: 16
 * MiB, the largest answer, take it at 4.5 Mbit/s. */
#define CW_HTTP_FETCH_MAX_MS (30 * CW_SECOND)

/* Starts a call whose answer may be large. The request's timeout is that of
 * the first byte of the answer's body; from then on the call goes on while
 * bytes arrive, at most stall_ms apart. A limit for the whole answer would end
 * it each time at the same place on a link that is too slow. received, if not
 * NULL, gets the number of these bytes until done is called. */
void cw_http_fetch(struct cw_http_client *c, const struct cw_http_request *r,
                   cw_ms stall_ms, size_t *received,
                   void (*done)(void *arg, enum cw_status s,
                                const struct cw_http_answer *a),
                   void *arg);

/* Ends the fetch that counts into received: its connection closes, and done is
 * called with CW_ERR_UNKNOWN before this returns. Nothing when there is none.
 */
void cw_http_cancel(struct cw_http_client *c, const size_t *received);

/* True when the next call goes out on a connection that was open before a
 * time, of cw_clock_system. A connection ends with the process that accepted
 * it: the call reaches the process that listened at that time, or none. */
bool cw_http_client_reuses(const struct cw_http_client *c, cw_ms since);

#endif
