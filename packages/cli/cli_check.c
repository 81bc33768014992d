/* The command check: faults of documents, and findings in configurations of
 * the job service. */
#include "cli.h"
#include "cw_platform.h"

#include <stdlib.h>
#include <string.h>

/* Largest configuration that is read; the platform's records are smaller. */
#define CONFIG_MAX ((size_t)4 * 1024 * 1024)
#define READ_TIMEOUT_MS 3000

/* ---- the version in force ---- */

struct running {
    struct cw_job_ports ports;
    struct cw_platform *platform;
    struct cw_store_key after;
    struct cw_buf text; /* empty: there is none */
    enum cw_status status;
};

static void read_page(struct running *r);

static void
on_page(void *arg, enum cw_status s, const struct cw_store_page *p)
{
    struct running *r = arg;
    struct cw_str last;

    r->status = s;
    if (s != CW_OK) {
        return;
    }
    for (size_t i = 0; i < p->count; i++) {
        if (r->ports.operator_kind(p->records[i].key) == CW_OPERATOR_CONFIG) {
            cw_buf_clear(&r->text);
            cw_buf_add_str(&r->text, p->records[i].value);
        }
    }
    if (!p->more || p->count == 0) {
        return;
    }
    last = p->records[p->count - 1].key;
    if (last.len == 0 || last.len > sizeof(r->after.text)) {
        return;
    }
    memcpy(r->after.text, last.ptr, last.len);
    r->after.len = last.len;
    read_page(r);
}

static void
read_page(struct running *r)
{
    r->ports.store.read_latest(r->ports.ctx, CW_STREAM_OPERATORS,
                               (struct cw_str){r->after.text, r->after.len},
                               READ_TIMEOUT_MS, NULL, on_page, r);
}

/* Reads the configuration in force from the store; c->msg says why not. */
static enum cw_status
read_running(struct cli *c, struct cw_buf *out)
{
    struct cw_platform_options o = {c->platform, ""};
    struct running r = {.status = CW_ERR_UNAVAILABLE};
    uv_loop_t loop;

    if (c->platform == NULL) {
        return cw_fail(c->msg, CW_ERR_INVALID,
                       "no platform; give --platform ip:port or set "
                       "CUMINWALK_PLATFORM");
    }
    if (uv_loop_init(&loop) != 0) {
        return cw_fail(c->msg, CW_ERR_NOMEM, "out of memory");
    }
    cw_buf_init(&r.text);
    r.platform = cw_platform_open(&loop, &o, &r.ports, c->msg);
    if (r.platform == NULL) {
        (void)uv_loop_close(&loop);
        return CW_ERR_UNAVAILABLE;
    }
    read_page(&r);
    uv_run(&loop, UV_RUN_DEFAULT);
    cw_platform_close(r.platform);
    uv_run(&loop, UV_RUN_DEFAULT);
    (void)uv_loop_close(&loop);
    if (r.status == CW_OK && r.text.len == 0) {
        r.status =
            cw_fail(c->msg, CW_ERR_NOT_FOUND, "no configuration is in force");
    }
    else if (r.status != CW_OK) {
        (void)cw_fail(c->msg, r.status, "%s: cannot read the configuration",
                      c->platform);
    }
    *out = r.text;
    return r.status;
}

/* ---- configurations ---- */

struct output {
    struct cli *c;
    const char *path;
    json_t *findings;
    json_t *changes;
    size_t count;
};

static void
add_finding(void *arg, const char *where, const char *text)
{
    struct output *o = arg;

    o->count++;
    json_array_append_new(o->findings,
                          json_pack("{ss,ss}", "where", where, "text", text));
    if (o->c->format == CLI_TEXT) {
        fprintf(o->c->out, "%s: %s: %s\n", o->path, where, text);
    }
}

static void
add_change(void *arg, const char *path, const json_t *a, const json_t *b)
{
    struct output *o = arg;
    int flags = JSON_ENCODE_ANY | JSON_COMPACT | JSON_REAL_PRECISION(9);
    char *old = a == NULL ? NULL : json_dumps(a, flags);
    char *new = b == NULL ? NULL : json_dumps(b, flags);

    json_array_append_new(
        o->changes,
        json_pack("{ss,so,so}", "path", path, "old",
                  a == NULL ? json_null() : json_deep_copy(a), "new",
                  b == NULL ? json_null() : json_deep_copy(b)));
    if (o->c->format == CLI_TEXT) {
        fprintf(o->c->out, "%s: change %s: %s -> %s\n", o->path, path,
                old == NULL ? "absent" : old, new == NULL ? "absent" : new);
    }
    free(old);
    free(new);
}

static int
compare_with_running(struct output *o, struct cw_str text)
{
    struct cw_buf running = {0};
    json_t *a = NULL;
    json_t *b = NULL;
    uint64_t version[2];
    int code = CLI_OK;

    if (read_running(o->c, &running) != CW_OK ||
        cw_platform_compare_config(cw_buf_str(&running), text, &a, &b,
                                   version) != CW_OK) {
        fprintf(o->c->err, "cuminwalk: %s\n",
                o->c->msg[0] != '\0'
                    ? o->c->msg
                    : "the configuration in force is no JSON");
        code = CLI_UNREADABLE;
    }
    else {
        cli_diff_values(a, b, add_change, o);
        if (version[1] <= version[0] && json_array_size(o->changes) > 0) {
            char why[96];

            (void)snprintf(why, sizeof(why),
                           "is not above the version in force, %llu: daemons "
                           "ignore it",
                           (unsigned long long)version[0]);
            add_finding(o, "version", why);
        }
    }
    json_decref(a);
    json_decref(b);
    cw_buf_finish(&running);
    return code;
}

int
cli_check_config(struct cli *c, const char *path, struct cw_str text,
                 json_t **result)
{
    struct output o = {c, path, json_array(), json_array(), 0};
    int code = CLI_OK;

    /* The decoder logs what it ignores; the findings say it. */
    cw_logger_setup(CW_ERROR, c->err, NULL);
    if (cw_platform_check_config(text, add_finding, &o) != CW_OK) {
        fprintf(c->err, "%s: not a JSON object\n", path);
        code = CLI_UNREADABLE;
    }
    else if (c->against) {
        code = compare_with_running(&o, text);
    }
    if (code == CLI_OK && o.count > 0) {
        code = CLI_ERROR;
    }
    if (code == CLI_OK && c->format == CLI_TEXT) {
        fprintf(c->out, "%s: configuration is valid\n", path);
    }
    *result = json_pack("{ss,sb,so,so}", "file", path, "valid", code == CLI_OK,
                        "findings", o.findings, "changes", o.changes);
    return code;
}

/* ---- the command ---- */

static int
check_doc(struct cli *c, const char *path, struct cw_str text, json_t **result)
{
    struct cw_doc doc;
    int code = cli_parse_doc(c, path, text, &doc);

    if (code == CLI_OK) {
        if (c->format == CLI_TEXT) {
            fprintf(c->out, "%s: service %s is valid\n", path,
                    doc.service.text);
        }
        cw_doc_finish(&doc);
    }
    *result = json_pack("{ss,sb}", "file", path, "valid", code == CLI_OK);
    return code;
}

static int
check_file(struct cli *c, const char *path, json_t **result)
{
    struct cw_buf text;
    int code;

    cw_buf_init(&text);
    if (cli_read_file_max(c, path, CONFIG_MAX, &text) != CW_OK) {
        fprintf(c->err, "cuminwalk: %s\n", c->msg);
        *result = json_pack("{ss,sb}", "file", path, "valid", 0);
        code = CLI_UNREADABLE;
    }
    else if (c->against || cw_platform_is_config(cw_buf_str(&text))) {
        code = cli_check_config(c, path, cw_buf_str(&text), result);
    }
    else {
        code = check_doc(c, path, cw_buf_str(&text), result);
    }
    cw_buf_finish(&text);
    return code;
}

int
cli_check(struct cli *c)
{
    int code = CLI_OK;
    json_t *list = json_array();

    for (size_t i = 0; i < c->arg_count; i++) {
        json_t *result;
        int file_code = check_file(c, c->args[i], &result);

        code = file_code > code ? file_code : code;
        json_array_append_new(list, result);
    }
    if (c->format == CLI_JSON) {
        (void)cli_print_json(c, list);
        return code;
    }
    json_decref(list);
    return code;
}
