/* Typed access to JSON objects, and the list of faults. */
#include "cw_json.h"

#include <arpa/inet.h>
#include <string.h>

void
cw_faults_add(struct cw_faults *f, const char *path, const char *fmt, ...)
{
    if (f->count >= CW_FAULTS_MAX) {
        return;
    }
    struct cw_fault *fault = &f->items[f->count++];
    snprintf(fault->path, sizeof(fault->path), "%s", path);
    va_list ap;
    va_start(ap, fmt);
    vsnprintf(fault->text, sizeof(fault->text), fmt, ap);
    va_end(ap);
}

json_t *
cw_json_load(struct cw_str text, size_t max, struct cw_faults *f)
{
    if (text.len > max) {
        cw_faults_add(f, "", "text has %zu bytes; the limit is %zu", text.len,
                      max);
        return NULL;
    }
    json_error_t err;
    json_t *v = json_loadb(text.len == 0 ? "" : text.ptr, text.len,
                           JSON_REJECT_DUPLICATES, &err);
    if (v == NULL) {
        cw_faults_add(f, "", "line %d, column %d: not valid JSON: %.120s",
                      err.line, err.column, err.text);
    }
    return v;
}

static void
join_path(char out[static 128], const char *parent, const char *key, int index)
{
    const char *dot = parent[0] != '\0' && key[0] != '\0' ? "." : "";
    if (index >= 0) {
        snprintf(out, 128, "%.60s%s%.50s[%d]", parent, dot, key, index);
    }
    else {
        snprintf(out, 128, "%.60s%s%.60s", parent, dot, key);
    }
}

static bool
is_known_key(const char *const *keys, const char *key)
{
    for (; *keys != NULL; keys++) {
        if (strcmp(*keys, key) == 0) {
            return true;
        }
    }
    return false;
}

bool
cw_json_obj_bind(struct cw_json_obj *o, const json_t *v, struct cw_faults *f,
                 const char *parent, const char *key, int index,
                 const char *const *keys)
{
    o->json = v;
    o->faults = f;
    join_path(o->path, parent, key, index);
    if (!json_is_object(v)) {
        cw_faults_add(f, o->path, "must be an object");
        return false;
    }
    const char *k;
    json_t *unused;
    if (keys != NULL) {
        json_object_foreach((json_t *)v, k, unused)
        {
            (void)unused;
            if (!is_known_key(keys, k)) {
                cw_json_obj_fault(o, k,
                                  "unknown key; remove it or correct it");
            }
        }
    }
    return true;
}

void
cw_json_obj_fault(const struct cw_json_obj *o, const char *key,
                  const char *fmt, ...)
{
    char text[192];
    va_list ap;
    va_start(ap, fmt);
    vsnprintf(text, sizeof(text), fmt, ap);
    va_end(ap);
    char path[128];
    join_path(path, o->path, key, -1);
    cw_faults_add(o->faults, path, "%s", text);
}

const json_t *
cw_jget_value(const struct cw_json_obj *o, const char *key, bool required)
{
    const json_t *v = json_object_get(o->json, key);
    if (v == NULL && required) {
        cw_json_obj_fault(o, key, "missing");
    }
    return v;
}

bool
cw_jget_u64(const struct cw_json_obj *o, const char *key, bool required,
            uint64_t min, uint64_t max, uint64_t *out)
{
    const json_t *v = cw_jget_value(o, key, required);
    if (v == NULL) {
        return false;
    }
    if (!json_is_integer(v)) {
        cw_json_obj_fault(o, key, "must be a whole number");
        return false;
    }
    json_int_t n = json_integer_value(v);
    if (n < 0 || (uint64_t)n < min || (uint64_t)n > max) {
        cw_json_obj_fault(o, key, "is %lld; must be %llu to %llu",
                          (long long)n, (unsigned long long)min,
                          (unsigned long long)max);
        return false;
    }
    *out = (uint64_t)n;
    return true;
}

bool
cw_jget_u32(const struct cw_json_obj *o, const char *key, bool required,
            uint32_t min, uint32_t max, uint32_t *out)
{
    uint64_t v;
    if (!cw_jget_u64(o, key, required, min, max, &v)) {
        return false;
    }
    *out = (uint32_t)v;
    return true;
}

bool
cw_jget_ms(const struct cw_json_obj *o, const char *key, bool required,
           cw_ms min, cw_ms max, cw_ms *out)
{
    uint64_t v;
    if (!cw_jget_u64(o, key, required, (uint64_t)min, (uint64_t)max, &v)) {
        return false;
    }
    *out = (cw_ms)v;
    return true;
}

bool
cw_jget_real(const struct cw_json_obj *o, const char *key, bool required,
             double min, double max, double *out)
{
    const json_t *v = cw_jget_value(o, key, required);
    if (v == NULL) {
        return false;
    }
    if (!json_is_number(v)) {
        cw_json_obj_fault(o, key, "must be a number");
        return false;
    }
    double d = json_number_value(v);
    if (!(d >= min && d <= max)) {
        cw_json_obj_fault(o, key, "is %g; must be %g to %g", d, min, max);
        return false;
    }
    *out = d;
    return true;
}

bool
cw_jget_bool(const struct cw_json_obj *o, const char *key, bool required,
             bool *out)
{
    const json_t *v = cw_jget_value(o, key, required);
    if (v == NULL) {
        return false;
    }
    if (!json_is_boolean(v)) {
        cw_json_obj_fault(o, key, "must be true or false");
        return false;
    }
    *out = json_is_true(v);
    return true;
}

bool
cw_jget_str(const struct cw_json_obj *o, const char *key, bool required,
            struct cw_str *out)
{
    const json_t *v = cw_jget_value(o, key, required);
    if (v == NULL) {
        return false;
    }
    if (!json_is_string(v)) {
        cw_json_obj_fault(o, key, "must be a string");
        return false;
    }
    out->ptr = json_string_value(v);
    out->len = json_string_length(v);
    return true;
}

bool
cw_jget_name(const struct cw_json_obj *o, const char *key, bool required,
             struct cw_name *out)
{
    struct cw_str s;
    if (!cw_jget_str(o, key, required, &s)) {
        return false;
    }
    if (!cw_name_valid(s)) {
        cw_json_obj_fault(
            o, key,
            "must be 1 to %d of a-z A-Z 0-9 . _ -, with a letter "
            "or digit first",
            CW_NAME_MAX);
        return false;
    }
    return cw_name_set(out, s) == CW_OK;
}

bool
cw_jget_text(const struct cw_json_obj *o, const char *key, bool required,
             char *out, size_t size)
{
    struct cw_str s;
    if (!cw_jget_str(o, key, required, &s)) {
        return false;
    }
    if (s.len >= size) {
        cw_json_obj_fault(o, key, "has %zu bytes; the limit is %zu", s.len,
                          size - 1);
        return false;
    }
    memcpy(out, s.ptr, s.len);
    out[s.len] = '\0';
    return true;
}

bool
cw_jget_enum(const struct cw_json_obj *o, const char *key, bool required,
             const char *const *names, size_t count, int *out)
{
    struct cw_str s;
    if (!cw_jget_str(o, key, required, &s)) {
        return false;
    }
    char list[128] = "";
    size_t used = 0;
    for (size_t i = 0; i < count; i++) {
        if (cw_str_eq(s, cw_str_from(names[i]))) {
            *out = (int)i;
            return true;
        }
        if (used < sizeof(list)) {
            used += (size_t)snprintf(list + used, sizeof(list) - used, "%s%s",
                                     i == 0 ? "" : ", ", names[i]);
        }
    }
    cw_json_obj_fault(o, key, "must be one of: %s", list);
    return false;
}

bool
cw_json_address_valid(struct cw_str s, unsigned min_port)
{
    char ip[CW_NAME_MAX + 1];
    if (s.len == 0 || s.len > CW_NAME_MAX) {
        return false;
    }
    memcpy(ip, s.ptr, s.len);
    ip[s.len] = '\0';
    char *colon = strrchr(ip, ':');
    if (colon == NULL || strlen(ip) != s.len) {
        return false;
    }
    uint64_t port;
    if (!cw_str_to_u64(cw_str_from(colon + 1), &port) || port < min_port ||
        port > 65535) {
        return false;
    }
    *colon = '\0';
    size_t n = strlen(ip);
    struct in6_addr addr;
    if (ip[0] == '[' && ip[n - 1] == ']') {
        ip[n - 1] = '\0';
        return inet_pton(AF_INET6, ip + 1, &addr) == 1;
    }
    return inet_pton(AF_INET, ip, &addr) == 1;
}

bool
cw_jget_address(const struct cw_json_obj *o, const char *key, bool required,
                unsigned min_port, struct cw_name *out)
{
    struct cw_str s;
    if (!cw_jget_str(o, key, required, &s)) {
        return false;
    }
    if (!cw_json_address_valid(s, min_port)) {
        cw_json_obj_fault(o, key,
                          "must be ip:port with an IP number, such as "
                          "10.0.0.1:8080 or [fd00::1]:8080, port %u to 65535",
                          min_port);
        return false;
    }
    return cw_name_set(out, s) == CW_OK;
}

const json_t *
cw_jget_array(const struct cw_json_obj *o, const char *key, bool required,
              size_t max)
{
    const json_t *v = cw_jget_value(o, key, required);
    if (v == NULL) {
        return NULL;
    }
    if (!json_is_array(v)) {
        cw_json_obj_fault(o, key, "must be an array");
        return NULL;
    }
    if (json_array_size(v) > max) {
        cw_json_obj_fault(o, key, "has %zu elements; the limit is %zu",
                          json_array_size(v), max);
        return NULL;
    }
    return v;
}
