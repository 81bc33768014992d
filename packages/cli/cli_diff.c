/* The command diff: compares a document with the one in force, by field. */
#include "cli.h"

#include <stdlib.h>
#include <string.h>

typedef void (*diff_fn)(void *ctx, const char *path, const json_t *a,
                        const json_t *b);

static const char *
element_name(const json_t *list, size_t i)
{
    return json_string_value(json_object_get(json_array_get(list, i), "name"));
}

static bool
all_named(const json_t *list)
{
    for (size_t i = 0; i < json_array_size(list); i++) {
        if (element_name(list, i) == NULL) {
            return false;
        }
    }
    return true;
}

static const json_t *
find_named(const json_t *list, const char *name)
{
    for (size_t i = 0; i < json_array_size(list); i++) {
        if (strcmp(element_name(list, i), name) == 0) {
            return json_array_get(list, i);
        }
    }
    return NULL;
}

static void diff_value(const char *path, const json_t *a, const json_t *b,
                       diff_fn each, void *ctx);

static void
diff_element(const char *path, const char *key, const json_t *a,
             const json_t *b, diff_fn each, void *ctx)
{
    char sub[256];
    snprintf(sub, sizeof(sub), "%.120s[%.120s]", path, key);
    diff_value(sub, a, b, each, ctx);
}

static void
diff_arrays(const char *path, const json_t *a, const json_t *b, diff_fn each,
            void *ctx)
{
    if (all_named(a) && all_named(b)) {
        for (size_t i = 0; i < json_array_size(a); i++) {
            const char *name = element_name(a, i);
            diff_element(path, name, json_array_get(a, i), find_named(b, name),
                         each, ctx);
        }
        for (size_t i = 0; i < json_array_size(b); i++) {
            const char *name = element_name(b, i);
            if (find_named(a, name) == NULL) {
                diff_element(path, name, NULL, json_array_get(b, i), each,
                             ctx);
            }
        }
        return;
    }
    size_t n = json_array_size(a) > json_array_size(b) ? json_array_size(a)
                                                       : json_array_size(b);
    for (size_t i = 0; i < n; i++) {
        char key[24];
        snprintf(key, sizeof(key), "%zu", i);
        diff_element(path, key, json_array_get(a, i), json_array_get(b, i),
                     each, ctx);
    }
}

static void
diff_objects(const char *path, const json_t *a, const json_t *b, diff_fn each,
             void *ctx)
{
    const char *key;
    json_t *v;
    char sub[256];
    const char *dot = path[0] == '\0' ? "" : ".";
    json_object_foreach((json_t *)a, key, v)
    {
        snprintf(sub, sizeof(sub), "%.120s%s%.120s", path, dot, key);
        diff_value(sub, v, json_object_get(b, key), each, ctx);
    }
    json_object_foreach((json_t *)b, key, v)
    {
        if (json_object_get(a, key) == NULL) {
            snprintf(sub, sizeof(sub), "%.120s%s%.120s", path, dot, key);
            diff_value(sub, NULL, v, each, ctx);
        }
    }
}

static void
diff_value(const char *path, const json_t *a, const json_t *b, diff_fn each,
           void *ctx)
{
    if (json_is_object(a) && json_is_object(b)) {
        diff_objects(path, a, b, each, ctx);
    }
    else if (json_is_array(a) && json_is_array(b)) {
        diff_arrays(path, a, b, each, ctx);
    }
    else if (a == NULL || b == NULL || json_equal(a, b) == 0) {
        each(ctx, path, a, b);
    }
}

void
cli_diff_values(const json_t *a, const json_t *b, diff_fn each, void *ctx)
{
    diff_value("", a, b, each, ctx);
}

struct diff_output {
    FILE *out; /* NULL to collect the changes as JSON */
    json_t *changes;
    size_t count;
};

static void
print_change(void *ctx, const char *path, const json_t *a, const json_t *b)
{
    struct diff_output *o = ctx;
    o->count++;
    if (o->out == NULL) {
        json_t *x = json_pack("{ss}", "path", path);
        json_object_set_new(x, "old",
                            a == NULL ? json_null() : json_deep_copy(a));
        json_object_set_new(x, "new",
                            b == NULL ? json_null() : json_deep_copy(b));
        json_array_append_new(o->changes, x);
        return;
    }
    int flags = JSON_ENCODE_ANY | JSON_COMPACT | JSON_REAL_PRECISION(9);
    char *old = a == NULL ? NULL : json_dumps(a, flags);
    char *new = b == NULL ? NULL : json_dumps(b, flags);
    fprintf(o->out, "%s: %s -> %s\n", path, old == NULL ? "absent" : old,
            new == NULL ? "absent" : new);
    free(old);
    free(new);
}

static int
diff_doc(struct cli *c, const struct cw_state *s,
         const struct cw_name *service, struct cw_str text)
{
    const struct cw_doc_entry *d = cw_state_doc(s, cw_name_str(service));
    json_t *a =
        d == NULL ? json_object() : json_loadb(d->json, d->json_len, 0, NULL);
    json_t *b = json_loadb(text.ptr, text.len, 0, NULL);
    struct diff_output o = {c->format == CLI_JSON ? NULL : c->out,
                            json_array(), 0};
    uint64_t version = d == NULL ? 0 : d->version;
    cli_diff_values(a, b, print_change, &o);
    json_decref(a);
    json_decref(b);
    if (c->format == CLI_JSON) {
        return cli_print_json(c, json_pack("{so,sI,so}", "service",
                                           cli_json_name(service), "version",
                                           (json_int_t)version, "changes",
                                           o.changes));
    }
    json_decref(o.changes);
    if (version == 0) {
        fprintf(c->err, "%s has no document yet; base is 0\n", service->text);
    }
    else {
        fprintf(c->err, "%zu differences to version %llu of %s\n", o.count,
                (unsigned long long)version, service->text);
    }
    return CLI_OK;
}

int
cli_diff(struct cli *c)
{
    struct cw_doc doc;
    struct cw_buf text;
    int code = cli_read_doc(c, c->args[0], &doc, &text);
    if (code != CLI_OK) {
        return code;
    }
    struct cli_log l;
    code = cli_open_log(c, &l);
    if (code == CLI_OK) {
        code = diff_doc(c, &l.state, &doc.service, cw_buf_str(&text));
    }
    cli_log_finish(&l);
    cw_doc_finish(&doc);
    cw_buf_finish(&text);
    return code;
}
