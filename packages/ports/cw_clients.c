/* Functions shared by the clients of the platform's interface. */
#include "cw_clients.h"

#include <stdlib.h>
#include <string.h>

json_t *
cw_client_parse_json(const struct cw_http_answer *a)
{
    json_t *o = json_loadb(a->body.ptr == NULL ? "" : a->body.ptr, a->body.len,
                           0, NULL);
    if (o != NULL && !json_is_object(o)) {
        json_decref(o);
        return NULL;
    }
    return o;
}

static bool
is_fence_error(const struct cw_http_answer *a)
{
    json_t *o = cw_client_parse_json(a);
    const char *error = json_string_value(json_object_get(o, "error"));
    bool fence = error != NULL && strcmp(error, "fence") == 0;
    json_decref(o);
    return fence;
}

enum cw_status
cw_client_map_status(enum cw_status s, const struct cw_http_answer *a)
{
    if (s == CW_ERR_TIMEOUT) {
        return CW_ERR_UNAVAILABLE;
    }
    if (s != CW_OK) {
        return s;
    }
    if (a->status >= 200 && a->status < 300) {
        return CW_OK;
    }
    if (a->status == 503) {
        return CW_ERR_UNAVAILABLE;
    }
    if (a->status == 409 && is_fence_error(a)) {
        return CW_ERR_FENCED;
    }
    /* Any other 5xx may have been sent after the call took effect. */
    return a->status >= 400 && a->status < 500 ? CW_ERR_INVALID
                                               : CW_ERR_UNKNOWN;
}

enum cw_status
cw_client_get_name(struct cw_name *n, const json_t *obj, const char *key)
{
    const json_t *v = json_object_get(obj, key);
    if (!json_is_string(v)) {
        return CW_ERR_INVALID;
    }
    return cw_name_set(
        n, (struct cw_str){json_string_value(v), json_string_length(v)});
}

uint64_t
cw_client_get_u64(const json_t *obj, const char *key)
{
    json_int_t v = json_integer_value(json_object_get(obj, key));
    return v < 0 ? 0 : (uint64_t)v;
}

void
cw_client_post(struct cw_http_client *c, const char *path, json_t *body,
               void (*done)(void *arg, enum cw_status s,
                            const struct cw_http_answer *a),
               void *arg)
{
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    CW_INVARIANT(text != NULL);
    cw_http_call(c,
                 &(struct cw_http_request){"POST", path, cw_str_from(text),
                                           CW_PLATFORM_TIMEOUT_MS, NULL},
                 done, arg);
    free(text);
}
