/* Control address of an endpoint: drains and reboots for the platform, faults
 * and counters for tests. */
#include "endpoint.h"

#include <string.h>

#define LISTEN_RETRY_MS 100

static const char *const mode_names[EP_MODE_COUNT] = {
    "none", "drop", "die", "reset", "cut", "slow", "refuse", "fail",
};

void
ep_init(struct endpoint *e, uv_loop_t *loop, const struct sockaddr_in *data,
        const struct sockaddr_in *control)
{
    memset(e, 0, sizeof(*e));
    e->loop = loop;
    e->incarnation = 1;
    e->work_ms = 20;
    e->slots = 8;
    http_server_init(&e->data, loop, data, ep_on_data, e);
    e->data.conn_max = 64;
    http_server_init(&e->control, loop, control, ep_on_control, e);
    uv_timer_init(loop, &e->reboot_timer);
    e->reboot_timer.data = e;
}

int
ep_start(struct endpoint *e)
{
    int rc = http_server_listen(&e->data);
    return rc != 0 ? rc : http_server_listen(&e->control);
}

static void
reply_status(const struct endpoint *e, h2o_req_t *req)
{
    json_t *o = json_pack(
        "{ss,sI,ss,sb,sI,sI,sI,sI,sI,sI,sI,sI}", "endpoint", e->name.text,
        "incarnation", (json_int_t)e->incarnation, "pool", e->pool.text,
        "draining", e->draining, "in_flight", (json_int_t)e->in_flight, "peak",
        (json_int_t)e->peak, "runs", (json_int_t)e->runs, "refused_full",
        (json_int_t)e->refused_full, "refused_draining",
        (json_int_t)e->refused_draining, "late", (json_int_t)e->late,
        "late_max_ms", (json_int_t)e->late_max_ms, "wrong_pool",
        (json_int_t)e->wrong_pool);
    json_t *more = json_pack(
        "{sI,sI,sI,sI,sI}", "connections", (json_int_t)e->data.conn_count,
        "connections_peak", (json_int_t)e->data.conn_peak, "tokens",
        (json_int_t)e->tokens->count, "tokens_twice",
        (json_int_t)e->tokens->ran_twice, "probes", (json_int_t)e->probes);
    json_object_update(o, more);
    json_decref(more);
    http_reply_json(req, 200, o);
}

static void
set_draining(struct endpoint *e, bool draining)
{
    if (draining && !e->draining) {
        e->drain_since = (cw_ms)uv_now(e->loop);
    }
    e->draining = draining;
}

static void
on_rebooted(uv_timer_t *t)
{
    struct endpoint *e = t->data;
    int rc = http_server_listen(&e->data);
    if (rc != 0) {
        cw_log(CW_WARN, "listen_again", "endpoint=%s error=%s", e->name.text,
               uv_strerror(rc));
        uv_timer_start(t, on_rebooted, LISTEN_RETRY_MS, 0);
        return;
    }
    e->incarnation++;
    e->pool = e->next_pool;
    e->draining = false;
}

static void
start_reboot(struct endpoint *e, const json_t *body)
{
    http_json_name(&e->next_pool, body, "pool", e->pool.text);
    http_server_stop_listening(&e->data);
    http_server_disconnect_all(&e->data);
    uv_timer_start(&e->reboot_timer, on_rebooted,
                   http_json_u64(body, "reboot_ms", 1000), 0);
}

static bool
set_fault(struct endpoint *e, const json_t *body)
{
    const char *mode_name = json_string_value(json_object_get(body, "mode"));
    for (int i = 0; mode_name != NULL && i < EP_MODE_COUNT; i++) {
        if (strcmp(mode_name, mode_names[i]) == 0) {
            e->mode = (enum ep_mode)i;
            e->mode_calls = (uint32_t)http_json_u64(body, "calls", 0);
            e->slow_ms = http_json_u64(body, "slow_ms", 1000);
            e->data.drop_accepts = e->mode == EP_DROP;
            e->quiet_drain =
                json_is_true(json_object_get(body, "quiet_drain"));
            return true;
        }
    }
    return false;
}

/* Answers with the number of runs of each token in the body's JSON array. */
static void
reply_runs(const struct endpoint *e, h2o_req_t *req)
{
    json_t *list = json_loadb(req->entity.base, req->entity.len, 0, NULL);
    json_t *runs = json_array();
    for (size_t i = 0; i < json_array_size(list); i++) {
        const char *token = json_string_value(json_array_get(list, i));
        json_array_append_new(
            runs, json_integer(ep_token_runs(e->tokens, cw_str_from(token))));
    }
    json_decref(list);
    http_reply_json(req, 200, json_pack("{so}", "runs", runs));
}

void
ep_on_control(void *arg, h2o_req_t *req)
{
    struct endpoint *e = arg;
    json_t *body = http_body_json(req);
    bool ok = true;
    if (http_matches(req, "POST", "/runs")) {
        json_decref(body);
        reply_runs(e, req);
        return;
    }
    if (http_matches(req, "POST", "/drain")) {
        set_draining(e, true);
    }
    else if (http_matches(req, "POST", "/undrain")) {
        set_draining(e, false);
    }
    else if (http_matches(req, "POST", "/reboot")) {
        start_reboot(e, body);
    }
    else if (http_matches(req, "POST", "/fault")) {
        ok = set_fault(e, body);
    }
    else if (http_matches(req, "POST", "/reset-counters")) {
        e->peak = e->in_flight;
        e->late = 0;
        e->late_max_ms = 0;
        e->data.conn_peak = e->data.conn_count;
    }
    else {
        ok = http_matches(req, "GET", "/status");
    }
    json_decref(body);
    if (ok) {
        reply_status(e, req);
    }
    else {
        http_reply_json(req, 404, json_pack("{ss}", "error", "path or mode"));
    }
}
