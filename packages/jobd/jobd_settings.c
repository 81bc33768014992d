/* Settings of the job service's daemon. */
#include "cw_jobd.h"
#include "cw_json.h"

#include <string.h>
#include <sys/resource.h>

/* Memory of the VM when the settings don't state it. */
#define MEMORY_DEFAULT_MB 256
#define FDS_DEFAULT 1024

/* The default, and the minimum: shorter memberships expire while a daemon is
 * merely slow. */
#define MEMBER_TTL_MIN_MS 1000
/* Below this a daemon would ask the store for proofs more than five times a
 * second. */
#define REVOKE_MIN_MS 500

static const char *const known_keys[] = {"service",
                                         "daemon",
                                         "dc",
                                         "listen",
                                         "ready_listen",
                                         "peer_listen",
                                         "metrics_listen",
                                         "store",
                                         "vm_control",
                                         "log_level",
                                         "member_ttl_min_ms",
                                         "grace_s",
                                         "lease_ms",
                                         "max_hold_ms",
                                         "order_late_ms",
                                         "status_s",
                                         "stop_ms",
                                         "move_s",
                                         "vm_lease_ms",
                                         "strict_revoke",
                                         "revoke_ms",
                                         "cores",
                                         "harm_ms",
                                         "interference",
                                         "admission",
                                         "share_window_s",
                                         "share_overage",
                                         "share_slack",
                                         "uneven_workers",
                                         "far_factor",
                                         "memory_mb",
                                         "max_fds",
                                         "max_connections",
                                         "request_memory_kb",
                                         "max_body_kb",
                                         "request_timeout_ms",
                                         NULL};

static void
set_defaults(struct cw_jobd_settings *s)
{
    memset(s, 0, sizeof(*s));
    s->log_level = CW_INFO;
    s->member_ttl_ms = MEMBER_TTL_MIN_MS;
    s->grace_ms = 6 * CW_SECOND;
    s->lease_ms = 4500;
    s->max_hold_ms = 10 * CW_SECOND;
    s->order_late_ms = 12 * CW_SECOND;
    s->status_ms = 2 * CW_MINUTE;
    s->stop_ms = 900;
    s->move_ms = 1500;
    s->vm_lease_ms = 3 * CW_SECOND;
    s->revoke_ms = 5 * CW_SECOND;
    s->cores = 1;
    s->uneven_workers = true;
    s->far_factor = 2;
    s->harm_ms = 4500;
    s->interference = true;
}

/* Logs each key that this version does not know. */
static void
log_unknown_keys(const json_t *top)
{
    const char *key;
    json_t *v;

    json_object_foreach((json_t *)top, key, v)
    {
        bool known = false;

        for (size_t i = 0; known_keys[i] != NULL; i++) {
            known |= strcmp(known_keys[i], key) == 0;
        }
        if (!known) {
            cw_log(CW_WARN, "setting_unknown", "key=%s", key);
        }
    }
}

/* Parses a time in seconds, which may have a fraction. */
static void
parse_seconds(const struct cw_json_obj *o, const char *key, double min,
              cw_ms *out)
{
    double s = (double)*out / 1000;

    if (cw_jget_real(o, key, false, min, 86400, &s)) {
        *out = (cw_ms)(s * 1000);
    }
}

static void
parse_times(struct cw_jobd_settings *s, const struct cw_json_obj *o)
{
    cw_jget_ms(o, "member_ttl_min_ms", false, 1, CW_MINUTE, &s->member_ttl_ms);
    if (s->member_ttl_ms < MEMBER_TTL_MIN_MS) {
        s->member_ttl_ms = MEMBER_TTL_MIN_MS;
    }
    parse_seconds(o, "grace_s", 0.1, &s->grace_ms);
    parse_seconds(o, "status_s", 1, &s->status_ms);
    parse_seconds(o, "move_s", 0, &s->move_ms);
    cw_jget_ms(o, "lease_ms", false, 500, CW_HOUR, &s->lease_ms);
    cw_jget_ms(o, "max_hold_ms", false, 500, CW_HOUR, &s->max_hold_ms);
    cw_jget_ms(o, "order_late_ms", false, 0, CW_HOUR, &s->order_late_ms);
    cw_jget_ms(o, "stop_ms", false, 0, CW_HOUR, &s->stop_ms);
    cw_jget_ms(o, "vm_lease_ms", false, 0, CW_HOUR, &s->vm_lease_ms);
    cw_jget_ms(o, "harm_ms", false, 0, CW_HOUR, &s->harm_ms);
    cw_jget_bool(o, "strict_revoke", false, &s->strict_revoke);
    cw_jget_ms(o, "revoke_ms", false, REVOKE_MIN_MS, CW_HOUR, &s->revoke_ms);
    cw_jget_real(o, "cores", false, 0.001, 1024, &s->cores);
}

/* Descriptors that this process may open. */
static uint32_t
process_fds(void)
{
    struct rlimit r;

    if (getrlimit(RLIMIT_NOFILE, &r) != 0 || r.rlim_cur == RLIM_INFINITY) {
        return FDS_DEFAULT;
    }
    return r.rlim_cur > UINT32_MAX ? UINT32_MAX : (uint32_t)r.rlim_cur;
}

/* Parses a size in KB into bytes. */
static void
parse_kb(const struct cw_json_obj *o, const char *key, uint32_t min,
         size_t *out)
{
    uint32_t kb;

    if (cw_jget_u32(o, key, false, min, 1024 * 1024, &kb)) {
        *out = (size_t)kb * 1024;
    }
}

/* Limits on callers: derived from the VM, or set one by one. */
static void
parse_limits(struct cw_jobd_settings *s, const struct cw_json_obj *o)
{
    double memory_mb = MEMORY_DEFAULT_MB;
    double fds = process_fds();
    double fds_max = fds;
    size_t memory;
    uint32_t conns;

    (void)cw_jget_real(o, "memory_mb", false, 1, 1 << 20, &memory_mb);
    (void)cw_jget_real(o, "max_fds", false, 1, 1 << 30, &fds_max);
    memory = (size_t)(memory_mb * 1024 * 1024);
    s->limits =
        cw_http_limits_for(memory, (size_t)(fds_max < fds ? fds_max : fds));
    s->held_max = memory / 8;
    s->jobs_max = memory / 4;
    if (cw_jget_u32(o, "max_connections", false, 16, 1 << 20, &conns)) {
        s->limits.conns_max = conns;
    }
    parse_kb(o, "request_memory_kb", 1024, &s->limits.bytes_max);
    parse_kb(o, "max_body_kb", 1, &s->limits.body_max);
    (void)cw_jget_ms(o, "request_timeout_ms", false, 1000, CW_HOUR,
                     &s->limits.request_ms);
}

enum cw_status
cw_jobd_settings_parse(struct cw_jobd_settings *s, struct cw_str json,
                       struct cw_faults *faults)
{
    static const char *const levels[] = {"debug", "info", "warn", "error"};
    json_t *top = cw_json_load(json, json.len, faults);
    struct cw_json_obj o;
    int level = CW_INFO;

    set_defaults(s);
    if (top == NULL || !cw_json_obj_bind(&o, top, faults, "", "", -1, NULL)) {
        json_decref(top);
        return CW_ERR_INVALID;
    }
    log_unknown_keys(top);
    cw_jget_name(&o, "daemon", true, &s->daemon);
    cw_jget_name(&o, "dc", true, &s->dc);
    cw_jget_address(&o, "listen", true, 1, &s->listen);
    cw_jget_address(&o, "ready_listen", true, 1, &s->ready_listen);
    cw_jget_address(&o, "peer_listen", true, 1, &s->peer_listen);
    cw_jget_address(&o, "metrics_listen", false, 1, &s->metrics_listen);
    cw_jget_address(&o, "store", true, 1, &s->store);
    cw_jget_address(&o, "vm_control", false, 1, &s->vm_control);
    if (cw_jget_enum(&o, "log_level", false, levels, 4, &level)) {
        s->log_level = (enum cw_level)level;
    }
    cw_jget_bool(&o, "admission", false, &s->admission);
    parse_seconds(&o, "share_window_s", 0, &s->share_window_ms);
    cw_jget_real(&o, "share_overage", false, 0, 10, &s->share_overage);
    cw_jget_real(&o, "share_slack", false, 0, 1e6, &s->share_slack);
    cw_jget_bool(&o, "uneven_workers", false, &s->uneven_workers);
    cw_jget_real(&o, "far_factor", false, 1, 100, &s->far_factor);
    parse_times(s, &o);
    parse_limits(s, &o);
    cw_jget_bool(&o, "interference", false, &s->interference);
    json_decref(top);
    return faults->count == 0 ? CW_OK : CW_ERR_INVALID;
}
