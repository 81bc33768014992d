/* Daemon settings: parsing and validation, with every fault listed. */
#include "cw_json.h"

#include <stdlib.h>
#include <string.h>

enum { MAX_PEERS = 64 };

static const char *const settings_keys[] = {
    "daemon",
    "dc",
    "listen",
    "peer_listen",
    "admin_listen",
    "platform",
    "peers",
    "log_level",
    "heartbeat_ms",
    "silent_ms",
    "slot_guard_ms",
    "probe_ms",
    "stat_ms",
    "drain_ms",
    "key_streams",
    "key_window_ms",
    "cells",
    "spare_bursts",
    "weight_buffer",
    "weight_rollout",
    "weight_moves",
    "seed",
    NULL,
};
static const char *const peer_keys[] = {"daemon", "address", NULL};

static void
set_defaults(struct cw_settings *s)
{
    memset(s, 0, sizeof(*s));
    (void)cw_name_set(&s->admin_listen, CW_LIT("127.0.0.1:8081"));
    s->log_level = CW_INFO;
    s->heartbeat_ms = CW_SECOND;
    s->silent_ms = 3 * CW_SECOND;
    s->slot_guard_ms = 4 * CW_SECOND;
    s->probe_ms = CW_SECOND;
    s->stat_ms = CW_MINUTE;
    s->drain_ms = CW_MINUTE;
    s->key_streams = 1;
    s->key_window_ms = 10 * CW_MINUTE;
    s->cells = 1;
    s->spare_bursts = 1;
    s->weight_buffer = 1;
    s->weight_rollout = 1;
    s->weight_moves = 1;
}

static bool
parse_peers(struct cw_settings *s, const struct cw_json_obj *top)
{
    const json_t *list = cw_jget_array(top, "peers", false, MAX_PEERS);
    size_t n = json_array_size(list);
    if (n == 0) {
        return true;
    }
    s->peers = calloc(n, sizeof(*s->peers));
    if (s->peers == NULL) {
        return false;
    }
    for (size_t i = 0; i < n; i++) {
        struct cw_json_obj o;
        struct cw_peer_setting p;
        if (!cw_json_obj_bind(&o, json_array_get(list, i), top->faults, "",
                              "peers", (int)i, peer_keys)) {
            continue;
        }
        bool name_ok = cw_jget_name(&o, "daemon", true, &p.daemon);
        bool address_ok = cw_jget_address(&o, "address", true, 1, &p.address);
        if (!name_ok || !address_ok) {
            continue;
        }
        for (size_t k = 0; k < s->peer_count; k++) {
            if (cw_name_eq(&p.daemon, &s->peers[k].daemon)) {
                cw_json_obj_fault(&o, "daemon", "is listed twice");
            }
        }
        /* All daemons may share one list of peers, so a daemon skips its own
         * entry. */
        if (!cw_name_eq(&p.daemon, &s->daemon)) {
            s->peers[s->peer_count++] = p;
        }
    }
    return true;
}

static void
parse_times(struct cw_settings *s, const struct cw_json_obj *o)
{
    cw_jget_ms(o, "heartbeat_ms", false, 50, CW_MINUTE, &s->heartbeat_ms);
    cw_jget_ms(o, "silent_ms", false, 100, 10 * CW_MINUTE, &s->silent_ms);
    cw_jget_ms(o, "slot_guard_ms", false, 100, 20 * CW_MINUTE,
               &s->slot_guard_ms);
    if (s->silent_ms < 2 * s->heartbeat_ms) {
        cw_json_obj_fault(
            o, "silent_ms",
            "is %lld; must be at least twice heartbeat_ms %lld, or "
            "one late heartbeat excludes a daemon",
            (long long)s->silent_ms, (long long)s->heartbeat_ms);
    }
    if (s->slot_guard_ms <= s->silent_ms) {
        cw_json_obj_fault(
            o, "slot_guard_ms",
            "is %lld; must be above silent_ms %lld, or two daemons "
            "may use one slot at once",
            (long long)s->slot_guard_ms, (long long)s->silent_ms);
    }
    cw_jget_ms(o, "probe_ms", false, 50, CW_HOUR, &s->probe_ms);
    cw_jget_ms(o, "stat_ms", false, 100, CW_HOUR, &s->stat_ms);
    cw_jget_ms(o, "drain_ms", false, 100, CW_HOUR, &s->drain_ms);
    cw_jget_ms(o, "key_window_ms", false, CW_SECOND, CW_DAY,
               &s->key_window_ms);
}

static void
parse_numbers(struct cw_settings *s, const struct cw_json_obj *o)
{
    cw_jget_u32(o, "key_streams", false, 1, 16, &s->key_streams);
    cw_jget_u32(o, "cells", false, 1, 256, &s->cells);
    cw_jget_u32(o, "spare_bursts", false, 0, 64, &s->spare_bursts);
    cw_jget_real(o, "weight_buffer", false, 0, 1000, &s->weight_buffer);
    cw_jget_real(o, "weight_rollout", false, 0, 1000, &s->weight_rollout);
    cw_jget_real(o, "weight_moves", false, 0, 1000, &s->weight_moves);
    if (s->weight_buffer + s->weight_rollout + s->weight_moves <= 0) {
        cw_json_obj_fault(
            o, "weight_buffer",
            "all three weights are 0; give at least one above 0");
    }
    cw_jget_u64(o, "seed", false, 0, INT64_MAX, &s->seed);
}

static bool
parse_top(struct cw_settings *s, const struct cw_json_obj *o)
{
    cw_jget_name(o, "daemon", true, &s->daemon);
    cw_jget_name(o, "dc", true, &s->dc);
    /* For a listener, port 0 lets the system choose a free port. */
    cw_jget_address(o, "listen", true, 0, &s->listen);
    cw_jget_address(o, "peer_listen", true, 0, &s->peer_listen);
    cw_jget_address(o, "admin_listen", false, 0, &s->admin_listen);
    cw_jget_address(o, "platform", true, 1, &s->platform);
    static const char *const levels[] = {"debug", "info", "warn", "error"};
    int level = s->log_level;
    cw_jget_enum(o, "log_level", false, levels, 4, &level);
    s->log_level = (enum cw_level)level;
    parse_times(s, o);
    parse_numbers(s, o);
    return parse_peers(s, o);
}

enum cw_status
cw_settings_parse(struct cw_settings *s, struct cw_str json,
                  struct cw_faults *faults)
{
    struct cw_faults local = {.count = 0};
    struct cw_faults *f = faults == NULL ? &local : faults;
    f->count = 0;
    set_defaults(s);
    json_t *v = cw_json_load(json, CW_DOC_MAX, f);
    if (v == NULL) {
        return CW_ERR_INVALID;
    }
    struct cw_json_obj o;
    enum cw_status st = CW_OK;
    if (cw_json_obj_bind(&o, v, f, "", "", -1, settings_keys) &&
        !parse_top(s, &o)) {
        st = CW_ERR_NOMEM;
    }
    json_decref(v);
    if (st == CW_OK && f->count > 0) {
        st = CW_ERR_INVALID;
    }
    if (st != CW_OK) {
        cw_settings_finish(s);
    }
    return st;
}

void
cw_settings_finish(struct cw_settings *s)
{
    free(s->peers);
    s->peers = NULL;
    s->peer_count = 0;
}
