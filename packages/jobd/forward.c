/* Calls between daemons: followers forward callers' calls to the scheduler. */
#include "cw_jobd.h"
#include "cw_jobs_int.h"
#include "cw_modules.h"

#include <stdlib.h>
#include <string.h>

/* The connection to the scheduler is closed when calls wait and nothing was
 * received for this long: a connection may go dead without a reset. */
#define SILENCE_MAX_MS 1200
/* A connection that does not open in this time is closed and retried. */
#define CONNECT_TIMEOUT_MS 800
/* Delay between connection attempts. */
#define RECONNECT_DELAY_MS 100
/* JobCall.kind of a probe, whose answer has the stream 0. It shows that the
 * connection works and whether the receiver still schedules. */
#define KIND_PING 100
/* Time between probes, and the age up to which an answer counts. Few enough
 * that some hundred daemons cost the scheduler little. */
#define PROBE_INTERVAL_MS 1000
#define CONFIRMED_MAX_MS 2500
/* Time between probes of a scheduler that could not prove its role; it also
 * tells when it can. */
#define PROBE_DENIED_MS 250

/* A call that another daemon forwarded. */
struct incoming_call {
    struct cw_call call;
    struct cw_jobd *d;
    struct incoming_call *prev;
    struct incoming_call *next;
    struct cw_peer_conn *conn; /* NULL: the connection has closed */
    uint64_t stream;
};

static void
send_answer(struct cw_peer_conn *conn, uint64_t stream,
            const struct cw_call *c)
{
    Cuminwalk__Envelope env = CUMINWALK__ENVELOPE__INIT;
    Cuminwalk__JobAnswer m = CUMINWALK__JOB_ANSWER__INIT;

    m.stream = stream;
    m.result = c->result;
    m.state = c->state;
    m.waiting = c->waiting;
    m.retry_after_ms = (uint32_t)c->retry_after_ms;
    m.reason = (char *)(c->reason == NULL ? "" : c->reason);
    env.msg_case = CUMINWALK__ENVELOPE__MSG_JOB_ANSWER;
    env.job_answer = &m;
    (void)cw_peer_conn_send(conn, &env);
}

static void
fill_probe_answer(const struct cw_jobd *d, Cuminwalk__JobAnswer *m, cw_ms now)
{
    m->result = CW_RESULT_NOT_SCHEDULER;
    if (d->role == CW_ROLE_SCHEDULER) {
        /* Without the store another daemon may schedule already. */
        m->result =
            cw_member_lease_valid(d, now) ? CW_RESULT_OK : CW_RESULT_UNKNOWN;
    }
    else if (cw_forward_confirmed(d, now)) {
        m->scheduler = (char *)d->scheduler.text;
    }
    m->config_version = d->config.version;
    m->wall_ms = now + d->wall.offset;
}

/* In the answer to a probe, config_age_ms is at least 1; 0 means that there is
 * no proof, or that the sender does not know the field. waiting returns the id
 * of the probe, the low 32 bits of its send time on the sender's clock: the
 * proof counts from the probe that this answers, not from a later one. */
static void
answer_probe(const struct cw_jobd *d, struct cw_peer_conn *conn,
             uint64_t probe, cw_ms now)
{
    cw_ms age = cw_proof_age(d, now);
    Cuminwalk__Envelope env = CUMINWALK__ENVELOPE__INIT;
    Cuminwalk__JobAnswer m = CUMINWALK__JOB_ANSWER__INIT;

    fill_probe_answer(d, &m, now);
    m.waiting = (uint32_t)probe;
    if (d->role == CW_ROLE_SCHEDULER && age >= 0) {
        m.config_age_ms = age > 0 ? (uint64_t)age : 1;
    }
    env.msg_case = CUMINWALK__ENVELOPE__MSG_JOB_ANSWER;
    env.job_answer = &m;
    (void)cw_peer_conn_send(conn, &env);
}

void
cw_forward_role_changed(struct cw_jobd *d)
{
    Cuminwalk__Envelope env = CUMINWALK__ENVELOPE__INIT;
    Cuminwalk__JobAnswer m = CUMINWALK__JOB_ANSWER__INIT;

    fill_probe_answer(d, &m, cw_jobd_now(d));
    env.msg_case = CUMINWALK__ENVELOPE__MSG_JOB_ANSWER;
    env.job_answer = &m;
    cw_peer_net_broadcast(&d->peers, &env);
}

bool
cw_forward_confirmed(const struct cw_jobd *d, cw_ms now)
{
    return d->role == CW_ROLE_FOLLOWER && d->scheduler_conn_open &&
           d->scheduler_confirmed_at != 0 &&
           now - d->scheduler_confirmed_at < CONFIRMED_MAX_MS;
}

/* The connected daemon does not schedule: the one that it names may. */
static void
follow_hint(struct cw_jobd *d, const char *address)
{
    struct cw_str hint = cw_str_from(address);

    d->scheduler_confirmed_at = 0;
    d->scheduler_query_due = 0;
    d->scheduler_unproved = true;
    if (hint.len > 0 &&
        !cw_str_eq(hint, cw_name_str(&d->settings.peer_listen)) &&
        !cw_str_eq(hint, cw_name_str(&d->scheduler_conn_address)) &&
        cw_name_set(&d->scheduler, hint) == CW_OK) {
        cw_log(CW_INFO, "scheduler_hint", "address=%s from=%s",
               d->scheduler.text, d->scheduler_conn_address.text);
    }
}

/* The connected daemon cannot prove its role. */
static void
note_denial(struct cw_jobd *d, cw_ms now)
{
    d->scheduler_confirmed_at = 0;
    if (d->scheduler_denied_at == 0) {
        d->scheduler_denied_at = now;
        d->scheduler_query_due = 0;
    }
}

/* The scheduler has proved its configuration: this holds here too when it is
 * the same. */
static void
add_scheduler_proof(struct cw_jobd *d, const Cuminwalk__JobAnswer *m,
                    cw_ms now)
{
    cw_ms asked_at = now - (uint32_t)((uint32_t)now - m->waiting);

    if (m->config_age_ms > 0 && m->config_age_ms < (uint64_t)asked_at &&
        m->config_version == d->config.version) {
        cw_proof_add(d, asked_at - (cw_ms)m->config_age_ms);
    }
}

static void
handle_probe_answer(struct cw_jobd *d, const struct cw_peer_conn *conn,
                    const Cuminwalk__JobAnswer *m)
{
    cw_ms now = cw_jobd_now(d);

    if (conn != d->scheduler_conn || d->role != CW_ROLE_FOLLOWER) {
        return;
    }
    if (m->result == CW_RESULT_NOT_SCHEDULER) {
        cw_member_scheduler_left(d, now);
        follow_hint(d, m->scheduler);
        return;
    }
    d->scheduler_unproved = false;
    if (m->result == CW_RESULT_OK) {
        d->scheduler_denied_at = 0;
        d->scheduler_confirmed_at = now;
        if (m->wall_ms != 0) {
            cw_wall_agree(&d->wall, m->wall_ms,
                          (uint32_t)((uint32_t)now - m->waiting), now);
        }
        if (d->scheduler.len == 0) {
            d->scheduler = d->scheduler_conn_address;
        }
    }
    else {
        note_denial(d, now);
    }
    d->scheduler_seen_at = now;
    add_scheduler_proof(d, m, now);
    if (m->config_version > d->config.version) {
        cw_watch_config_behind(d, m->config_version);
    }
}

/* A connection's data points to the list of its incoming calls. */
static void
incoming_unlink(struct incoming_call *in)
{
    if (in->prev != NULL) {
        in->prev->next = in->next;
    }
    else {
        cw_peer_conn_set_data(in->conn, in->next);
    }
    if (in->next != NULL) {
        in->next->prev = in->prev;
    }
}

static void
incoming_done(struct cw_call *c)
{
    struct incoming_call *in = c->arg;

    if (in->conn != NULL) {
        send_answer(in->conn, in->stream, c);
        incoming_unlink(in);
    }
    free(in);
}

static void
handle_call(struct cw_jobd *d, struct cw_peer_conn *conn,
            const Cuminwalk__JobCall *m)
{
    struct incoming_call *in;
    struct incoming_call *first = cw_peer_conn_data(conn);
    cw_ms now = cw_jobd_now(d);

    if (m->kind == KIND_PING) {
        if (m->wall_ms != 0) {
            cw_wall_add_peer(&d->wall, (uint64_t)(uintptr_t)conn, m->wall_ms,
                             now);
        }
        answer_probe(d, conn, m->id, now);
        return;
    }
    in = calloc(1, sizeof(*in));
    if (in == NULL) {
        return;
    }
    in->d = d;
    in->conn = conn;
    in->stream = m->stream;
    in->next = first;
    if (first != NULL) {
        first->prev = in;
    }
    cw_peer_conn_set_data(conn, in);
    in->call.kind = (enum cw_caller_op)m->kind;
    in->call.id = m->id;
    in->call.from_peer = true;
    in->call.arrived = now;
    in->call.deadline = now + m->timeout_ms;
    in->call.done = incoming_done;
    in->call.arg = in;
    if (cw_name_set(&in->call.queue, cw_str_from(m->queue)) != CW_OK ||
        cw_name_set(&in->call.tenant, cw_str_from(m->tenant)) != CW_OK ||
        (m->kind == CW_CALL_SUBMIT &&
         (m->spec == NULL ||
          cw_job_spec_from_wire(&in->call.spec, m->spec) != CW_OK))) {
        cw_calls_complete(&in->call, CW_RESULT_NOT_RUN, "bad_call", 0);
        return;
    }
    cw_calls_dispatch(d, &in->call);
}

static struct cw_call *
find_forwarded(struct cw_jobd *d, uint64_t stream)
{
    struct cw_call *c = d->forwarded;

    while (c != NULL && c->stream != stream) {
        c = c->next;
    }
    return c;
}

static void
handle_answer(struct cw_jobd *d, const Cuminwalk__JobAnswer *m)
{
    struct cw_call *c = find_forwarded(d, m->stream);

    if (c == NULL) {
        return;
    }
    if (m->result == CW_RESULT_NOT_SCHEDULER) {
        /* Nothing was done there: it is sent again once that daemon has
         * proved its role, or the store names another one. */
        note_denial(d, cw_jobd_now(d));
        cw_calls_unlink(c);
        c->sent = false;
        cw_calls_push(&d->held, c);
        return;
    }
    c->state = (enum cw_job_state)(m->state > CW_JOB_CANCELLED ? 0 : m->state);
    c->waiting = m->waiting;
    (void)snprintf(c->reason_text, sizeof(c->reason_text), "%s", m->reason);
    cw_calls_complete(c,
                      m->result > CW_RESULT_OVERLOADED
                          ? CW_RESULT_UNKNOWN
                          : (enum cw_call_result)m->result,
                      c->reason_text, m->retry_after_ms);
}

static bool
on_frame(void *ctx, struct cw_peer_conn *conn, Cuminwalk__Envelope *env)
{
    struct cw_jobd *d = ctx;

    if (conn == d->scheduler_conn) {
        d->scheduler_heard_at = cw_jobd_now(d);
    }
    if (env->msg_case == CUMINWALK__ENVELOPE__MSG_JOB_CALL) {
        handle_call(d, conn, env->job_call);
    }
    else if (env->msg_case == CUMINWALK__ENVELOPE__MSG_JOB_ANSWER) {
        if (env->job_answer->stream == 0) {
            handle_probe_answer(d, conn, env->job_answer);
        }
        else {
            handle_answer(d, env->job_answer);
        }
    }
    return false;
}

static void
send_probe(struct cw_jobd *d, cw_ms now)
{
    Cuminwalk__Envelope env = CUMINWALK__ENVELOPE__INIT;
    Cuminwalk__JobCall m = CUMINWALK__JOB_CALL__INIT;

    m.kind = KIND_PING;
    m.wall_ms = now + d->wall.shown;
    m.id = (uint32_t)now;
    env.msg_case = CUMINWALK__ENVELOPE__MSG_JOB_CALL;
    env.job_call = &m;
    d->scheduler_probe_at = now;
    (void)cw_peer_conn_send(d->scheduler_conn, &env);
}

static void
on_opened(void *ctx, struct cw_peer_conn *conn, bool incoming)
{
    struct cw_jobd *d = ctx;

    if (!incoming && conn == d->scheduler_conn) {
        d->scheduler_conn_open = true;
        d->scheduler_heard_at = cw_jobd_now(d);
        d->scheduler_confirmed_at = 0;
        d->scheduler_denied_at = 0;
        send_probe(d, d->scheduler_heard_at);
    }
}

/* The connection was lost. Reads are retried once; a submit or cancel call may
 * have taken effect, so its outcome is unknown. */
static void
retry_or_fail_forwarded(struct cw_jobd *d)
{
    struct cw_call *c = d->forwarded;

    while (c != NULL) {
        struct cw_call *next = c->next;
        bool read = c->kind == CW_CALL_STATUS || c->kind == CW_CALL_WAITING;

        if (read && !c->retried) {
            cw_calls_unlink(c);
            c->retried = true;
            c->arrived = cw_jobd_now(d);
            cw_calls_push(&d->held, c);
        }
        else {
            cw_calls_complete(c, CW_RESULT_UNKNOWN, "scheduler_lost", 0);
        }
        c = next;
    }
}

static void
on_closed(void *ctx, struct cw_peer_conn *conn)
{
    struct cw_jobd *d = ctx;

    if (conn == d->scheduler_conn) {
        if (d->scheduler_conn_open) {
            cw_log(CW_INFO, "scheduler_connection_lost", "to=%s",
                   d->scheduler_conn_address.text);
        }
        d->scheduler_conn = NULL;
        d->scheduler_conn_open = false;
        d->scheduler_confirmed_at = 0;
        d->scheduler_denied_at = 0;
        d->scheduler_conn_at = cw_jobd_now(d);
        d->scheduler_query_due = 0;
        retry_or_fail_forwarded(d);
        return;
    }
    for (struct incoming_call *in = cw_peer_conn_data(conn); in != NULL;) {
        struct incoming_call *next = in->next;

        in->conn = NULL;
        in->prev = NULL;
        in->next = NULL;
        in = next;
    }
}

static const struct cw_peer_net_ops peer_ops = {on_opened, on_frame,
                                                on_closed};

enum cw_status
cw_jobd_peers_init(struct cw_jobd *d)
{
    struct sockaddr_storage sa;
    socklen_t len;

    if (cw_address_parse(cw_name_str(&d->settings.peer_listen), &sa, &len) !=
        CW_OK) {
        return cw_fail(d->msg, CW_ERR_INVALID, "peer_listen is not ip:port");
    }
    if (cw_peer_net_init(&d->peers, d->loop, (struct sockaddr *)&sa, &peer_ops,
                         d) != CW_OK) {
        return cw_fail(d->msg, CW_ERR_IO, "cannot listen on %s",
                       d->settings.peer_listen.text);
    }
    return CW_OK;
}

static enum cw_status
send_call(struct cw_jobd *d, const struct cw_call *c, cw_ms now)
{
    Cuminwalk__Envelope env = CUMINWALK__ENVELOPE__INIT;
    Cuminwalk__JobCall m = CUMINWALK__JOB_CALL__INIT;
    static struct cw_job_spec_wire wire; /* one loop, one thread */

    m.stream = c->stream;
    m.kind = c->kind;
    m.id = c->id;
    m.queue = (char *)c->queue.text;
    m.tenant = (char *)c->tenant.text;
    m.timeout_ms = c->deadline > now ? (uint32_t)(c->deadline - now) : 0;
    if (c->kind == CW_CALL_SUBMIT) {
        cw_job_spec_to_wire(&c->spec, &wire);
        m.spec = &wire.msg;
    }
    env.msg_case = CUMINWALK__ENVELOPE__MSG_JOB_CALL;
    env.job_call = &m;
    return cw_peer_conn_send(d->scheduler_conn, &env);
}

void
cw_forward_call(struct cw_jobd *d, struct cw_call *c)
{
    cw_ms now = cw_jobd_now(d);

    c->stream = ++d->last_stream;
    if (send_call(d, c, now) != CW_OK) {
        cw_calls_complete(c, CW_RESULT_NOT_RUN, "scheduler_unreachable",
                          CW_SECOND);
        return;
    }
    c->sent = true;
    if (d->forwarded == NULL) {
        d->scheduler_heard_at = now;
    }
    cw_calls_push(&d->forwarded, c);
}

static void
connect_scheduler(struct cw_jobd *d, cw_ms now)
{
    struct sockaddr_storage sa;
    socklen_t len;

    d->scheduler_conn_at = now;
    if (cw_address_parse(cw_name_str(&d->scheduler), &sa, &len) != CW_OK) {
        return;
    }
    d->scheduler_conn_address = d->scheduler;
    d->scheduler_conn =
        cw_peer_net_connect(&d->peers, (struct sockaddr *)&sa, NULL);
}

void
cw_forward_scheduler_tick(struct cw_jobd *d, cw_ms now)
{
    bool self = cw_name_eq(&d->scheduler, &d->settings.peer_listen);

    if (d->scheduler_conn != NULL && d->scheduler.len > 0 &&
        !cw_name_eq(&d->scheduler, &d->scheduler_conn_address)) {
        cw_peer_conn_close(d->scheduler_conn);
    }
    if (d->scheduler_conn != NULL && !d->scheduler_conn_open &&
        now - d->scheduler_conn_at > CONNECT_TIMEOUT_MS) {
        cw_peer_conn_close(d->scheduler_conn);
    }
    if (d->scheduler_conn != NULL && d->scheduler_conn_open) {
        cw_ms silent = now - d->scheduler_heard_at;
        cw_ms unprobed = now - d->scheduler_probe_at;

        if (silent >
            (d->forwarded != NULL ? SILENCE_MAX_MS : CONFIRMED_MAX_MS)) {
            cw_log(CW_WARN, "scheduler_silent", "to=%s ms=%lld",
                   d->scheduler_conn_address.text, (long long)silent);
            cw_peer_conn_close(d->scheduler_conn);
        }
        else if (unprobed >= (d->scheduler_denied_at == 0 ? PROBE_INTERVAL_MS
                                                          : PROBE_DENIED_MS) ||
                 (d->forwarded != NULL && silent > SILENCE_MAX_MS / 2 &&
                  unprobed > SILENCE_MAX_MS / 4)) {
            send_probe(d, now);
        }
    }
    if (d->scheduler_conn == NULL && d->scheduler.len > 0 && !self &&
        now - d->scheduler_conn_at >= RECONNECT_DELAY_MS) {
        connect_scheduler(d, now);
    }
}
