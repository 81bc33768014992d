/* JSON form of the records of the streams keys-<n>. */
#include "cuminwalk.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

static const char *kind_names[] = {"intent", "done", "released"};

static bool
get_name(const json_t *o, const char *field, struct cw_name *out, char *msg)
{
    const json_t *v = json_object_get(o, field);
    struct cw_str s = {json_string_value(v), json_string_length(v)};
    if (s.ptr == NULL || s.len == 0 || cw_name_set(out, s) != CW_OK) {
        cw_fail(msg, CW_ERR_INVALID, "%s: missing, empty or too long", field);
        return false;
    }
    return true;
}

/* The hash is written as 16 hex digits because other JSON implementations may
 * not keep 64 bits of a number. */
static bool
get_hash(const json_t *o, uint64_t *out, char *msg)
{
    const char *digits = json_string_value(json_object_get(o, "hash"));
    uint64_t v = 0;
    if (digits == NULL || strlen(digits) != 16 ||
        strspn(digits, "0123456789abcdef") != 16) {
        cw_fail(msg, CW_ERR_INVALID, "hash: must be 16 lower-case hex digits");
        return false;
    }
    for (int i = 0; i < 16; i++) {
        char c = digits[i];
        v = v << 4 | (uint64_t)(c <= '9' ? c - '0' : c - 'a' + 10);
    }
    *out = v;
    return true;
}

static bool
get_number(const json_t *o, const char *field, json_int_t max, json_int_t *out,
           char *msg)
{
    const json_t *v = json_object_get(o, field);
    *out = json_integer_value(v);
    if (!json_is_integer(v) || *out < 0 || *out > max) {
        cw_fail(msg, CW_ERR_INVALID, "%s: must be an integer from 0 to %lld",
                field, (long long)max);
        return false;
    }
    return true;
}

static bool
get_kind(const json_t *o, enum cw_idem_kind *out, char *msg)
{
    const char *type = json_string_value(json_object_get(o, "type"));
    for (int i = 0; type != NULL && i < 3; i++) {
        if (strcmp(type, kind_names[i]) == 0) {
            *out = (enum cw_idem_kind)i;
            return true;
        }
    }
    cw_fail(msg, CW_ERR_INVALID, "type: must be intent, done or released");
    return false;
}

static bool
get_fields(const json_t *o, struct cw_idem_record *r, char *msg)
{
    json_int_t time = 0;
    json_int_t status = 0;
    if (!get_kind(o, &r->kind, msg) || !get_name(o, "id", &r->id, msg) ||
        !get_name(o, "by", &r->by, msg) ||
        !get_name(o, "request", &r->request, msg) ||
        !get_hash(o, &r->hash, msg) ||
        !get_number(o, "time", INT64_MAX, &time, msg) ||
        (r->kind == CW_IDEM_DONE &&
         !get_number(o, "status", 999, &status, msg))) {
        return false;
    }
    r->time = time;
    r->status = (uint16_t)status;
    return true;
}

enum cw_status
cw_idem_record_parse(struct cw_idem_record *r, struct cw_str json, char *msg)
{
    memset(r, 0, sizeof(*r));
    json_t *o = json_loadb(json.ptr, json.len, JSON_REJECT_DUPLICATES, NULL);
    if (!json_is_object(o)) {
        json_decref(o);
        return cw_fail(msg, CW_ERR_INVALID, "record is not a JSON object");
    }
    bool ok = get_fields(o, r, msg);
    json_decref(o);
    return ok ? CW_OK : CW_ERR_INVALID;
}

void
cw_idem_record_print(const struct cw_idem_record *r, struct cw_buf *out)
{
    cw_buf_addf(out, "{\"type\":\"%s\",\"id\":", kind_names[r->kind]);
    cw_buf_add_json(out, cw_name_str(&r->id));
    cw_buf_add_str(out, CW_LIT(",\"by\":"));
    cw_buf_add_json(out, cw_name_str(&r->by));
    cw_buf_addf(out, ",\"time\":%" PRId64 ",\"hash\":\"%016" PRIx64 "\"",
                r->time, r->hash);
    cw_buf_add_str(out, CW_LIT(",\"request\":"));
    cw_buf_add_json(out, cw_name_str(&r->request));
    if (r->kind == CW_IDEM_DONE) {
        cw_buf_addf(out, ",\"status\":%u", r->status);
    }
    cw_buf_add_str(out, CW_LIT("}"));
}
