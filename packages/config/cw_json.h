/* Typed access to JSON objects. Getters report invalid values as faults, each
 * with its path. */
#ifndef CW_JSON_H
#define CW_JSON_H

#include "cuminwalk.h"

#include <jansson.h>

/* Parses text of at most max bytes; on failure adds one fault, with the line
 * of a syntax error, and returns NULL. */
json_t *cw_json_load(struct cw_str text, size_t max, struct cw_faults *f);

/* A JSON object and its path in the text. */
struct cw_json_obj {
    const json_t *json;
    struct cw_faults *faults;
    char path[128];
};

/* Binds o to v, whose path is parent.key[index], or parent.key when index < 0.
 * keys is a NULL-terminated list of the known keys, any other key is a fault;
 * NULL allows any key. False, with a fault, when v is not an object. */
bool cw_json_obj_bind(struct cw_json_obj *o, const json_t *v,
                      struct cw_faults *f, const char *parent, const char *key,
                      int index, const char *const *keys);
/* Adds a fault at o.key. */
void cw_json_obj_fault(const struct cw_json_obj *o, const char *key,
                       const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/* Getters return true and set *out when the key is present and its value
 * valid. Otherwise they leave *out unchanged and add a fault for an invalid
 * value or a missing required key. */
bool cw_jget_u64(const struct cw_json_obj *o, const char *key, bool required,
                 uint64_t min, uint64_t max, uint64_t *out);
bool cw_jget_u32(const struct cw_json_obj *o, const char *key, bool required,
                 uint32_t min, uint32_t max, uint32_t *out);
bool cw_jget_ms(const struct cw_json_obj *o, const char *key, bool required,
                cw_ms min, cw_ms max, cw_ms *out);
bool cw_jget_real(const struct cw_json_obj *o, const char *key, bool required,
                  double min, double max, double *out);
bool cw_jget_bool(const struct cw_json_obj *o, const char *key, bool required,
                  bool *out);
bool cw_jget_name(const struct cw_json_obj *o, const char *key, bool required,
                  struct cw_name *out);
/* Copies a string into size bytes; one that does not fit is a fault. */
bool cw_jget_text(const struct cw_json_obj *o, const char *key, bool required,
                  char *out, size_t size);
/* Sets *out to a view of the string, valid as long as the JSON value. */
bool cw_jget_str(const struct cw_json_obj *o, const char *key, bool required,
                 struct cw_str *out);
/* Sets *out to the index of the string in names. */
bool cw_jget_enum(const struct cw_json_obj *o, const char *key, bool required,
                  const char *const *names, size_t count, int *out);
/* Reads an address that cw_json_address_valid accepts. */
bool cw_jget_address(const struct cw_json_obj *o, const char *key,
                     bool required, unsigned min_port, struct cw_name *out);
/* Returns an array of at most max elements, or NULL when it is absent or
 * invalid. */
const json_t *cw_jget_array(const struct cw_json_obj *o, const char *key,
                            bool required, size_t max);
/* Returns a value of any type, or NULL when it is absent. */
const json_t *cw_jget_value(const struct cw_json_obj *o, const char *key,
                            bool required);

/* True for IPv4:port or [IPv6]:port with numeric addresses and a port from
 * min_port to 65535. */
bool cw_json_address_valid(struct cw_str s, unsigned min_port);

#endif
