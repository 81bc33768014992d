/* Typed access to JSON objects; each fault is added with its path. */
#ifndef CW_JSON_H
#define CW_JSON_H

#include "cuminwalk.h"

#include <jansson.h>

/* Parses text; on failure adds one fault with the line and returns NULL. */
json_t *cw_json_load(struct cw_str text, size_t max, struct cw_faults *f);

/* An object under inspection and its place in the text. */
struct cw_jobj {
    const json_t *json;
    struct cw_faults *faults;
    char path[128];
};

/* Binds o to v at parent.key; index < 0 for an object that is no array
 * element. keys is a NULL-terminated list of known keys, other keys are
 * faults; NULL allows any key. False when v is not an object. */
bool cw_jobj_open(struct cw_jobj *o, const json_t *v, struct cw_faults *f,
                  const char *parent, const char *key, int index,
                  const char *const *keys);
/* Adds a fault at o.key. */
void cw_jobj_fault(const struct cw_jobj *o, const char *key, const char *fmt,
                   ...) __attribute__((format(printf, 3, 4)));

/* Getters. They return true and set *out when the key is present and valid;
 * otherwise *out keeps its value, and a wrong value or a missing required key
 * adds a fault. */
bool cw_jget_u64(const struct cw_jobj *o, const char *key, bool required,
                 uint64_t min, uint64_t max, uint64_t *out);
bool cw_jget_u32(const struct cw_jobj *o, const char *key, bool required,
                 uint32_t min, uint32_t max, uint32_t *out);
bool cw_jget_ms(const struct cw_jobj *o, const char *key, bool required,
                cw_ms min, cw_ms max, cw_ms *out);
bool cw_jget_real(const struct cw_jobj *o, const char *key, bool required,
                  double min, double max, double *out);
bool cw_jget_bool(const struct cw_jobj *o, const char *key, bool required,
                  bool *out);
bool cw_jget_name(const struct cw_jobj *o, const char *key, bool required,
                  struct cw_name *out);
/* Copies a string into size bytes; one that does not fit is a fault. */
bool cw_jget_text(const struct cw_jobj *o, const char *key, bool required,
                  char *out, size_t size);
/* A view of a string that lives as long as the JSON value. */
bool cw_jget_str(const struct cw_jobj *o, const char *key, bool required,
                 struct cw_str *out);
/* Index of the string in names. */
bool cw_jget_enum(const struct cw_jobj *o, const char *key, bool required,
                  const char *const *names, size_t count, int *out);
/* ip:port or [ip]:port with IP numbers; ports from min_port on. */
bool cw_jget_address(const struct cw_jobj *o, const char *key, bool required,
                     unsigned min_port, struct cw_name *out);
/* An array of at most max elements, NULL when absent or wrong. */
const json_t *cw_jget_array(const struct cw_jobj *o, const char *key,
                            bool required, size_t max);
/* An object value, NULL when absent; its type is checked by cw_jobj_open. */
const json_t *cw_jget_any(const struct cw_jobj *o, const char *key,
                          bool required);

/* True for ip:port or [ip]:port with IP numbers and min_port <= port. */
bool cw_address_valid(struct cw_str s, unsigned min_port);

#endif
