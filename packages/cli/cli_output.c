/* Reading documents and printing values. */
#include "cli.h"

#include <string.h>

int
cli_print_json(struct cli *c, json_t *v)
{
    if (v == NULL ||
        json_dumpf(v, c->out, JSON_INDENT(2) | JSON_REAL_PRECISION(9)) != 0) {
        fprintf(c->err, "cuminwalk: cannot print the answer\n");
        json_decref(v);
        return CLI_ERROR;
    }
    fputc('\n', c->out);
    json_decref(v);
    return CLI_OK;
}

json_t *
cli_json_name(const struct cw_name *n)
{
    return json_stringn(n->text, n->len);
}

json_t *
cli_json_time(cw_ms wall)
{
    char text[25];
    cw_time_format(wall, text);
    return json_string(text);
}

json_t *
cli_json_op(const struct cw_op_entry *e)
{
    json_t *steps = json_object();
    for (int i = 0; i < CW_STEP_COUNT; i++) {
        if (e->step_time[i] != 0) {
            json_object_set_new(steps, cw_op_step_name((enum cw_op_step)i),
                                cli_json_time(e->step_time[i]));
        }
    }
    return json_pack(
        "{so,ss,so,so,so,so,ss,ss,sI,ss,sb,sI,so}", "op",
        cli_json_name(&e->rec.op), "kind", cw_op_kind_name(e->rec.kind), "vm",
        cli_json_name(&e->rec.vm), "from", cli_json_name(&e->rec.from), "to",
        cli_json_name(&e->rec.to), "wave", cli_json_name(&e->rec.wave),
        "cause", e->rec.cause, "result", e->rec.result, "doc_version",
        (json_int_t)e->rec.doc_version, "step", cw_op_step_name(e->rec.step),
        "open", (int)e->open, "duration_ms", (json_int_t)cli_op_duration(e),
        "steps", steps);
}

enum cw_status
cli_read_file_max(struct cli *c, const char *path, size_t max,
                  struct cw_buf *out)
{
    bool is_file = strcmp(path, "-") != 0;
    FILE *in = is_file ? fopen(path, "rb") : stdin;
    if (in == NULL) {
        return cw_fail(c->msg, CW_ERR_IO, "%s: cannot be opened", path);
    }
    char buf[4096];
    size_t n;
    while ((n = fread(buf, 1, sizeof(buf), in)) > 0 && out->len <= max) {
        cw_buf_add(out, buf, n);
    }
    bool failed = ferror(in) != 0 || out->failed;
    if (is_file) {
        (void)fclose(in);
    }
    if (failed) {
        return cw_fail(c->msg, CW_ERR_IO, "%s: cannot be read", path);
    }
    return CW_OK;
}

enum cw_status
cli_read_file(struct cli *c, const char *path, struct cw_buf *out)
{
    return cli_read_file_max(c, path, CW_DOC_MAX, out);
}

int
cli_parse_doc(struct cli *c, const char *path, struct cw_str text,
              struct cw_doc *doc)
{
    struct cw_faults f;
    f.count = 0;
    enum cw_status s = cw_doc_parse(doc, text, &f);
    if (s == CW_OK) {
        return CLI_OK;
    }
    for (size_t i = 0; i < f.count; i++) {
        fprintf(c->err, "%s: %s%s%s\n", path, f.items[i].path,
                f.items[i].path[0] == '\0' ? "" : ": ", f.items[i].text);
    }
    if (f.count == CW_FAULTS_MAX) {
        fprintf(c->err, "%s: there may be more faults\n", path);
    }
    if (f.count == 0) {
        fprintf(c->err, "%s: %s\n", path, cw_status_name(s));
    }
    return CLI_ERROR;
}

int
cli_read_doc(struct cli *c, const char *path, struct cw_doc *doc,
             struct cw_buf *text)
{
    cw_buf_init(text);
    if (cli_read_file(c, path, text) != CW_OK) {
        fprintf(c->err, "cuminwalk: %s\n", c->msg);
        cw_buf_finish(text);
        return CLI_ERROR;
    }
    int code = cli_parse_doc(c, path, cw_buf_str(text), doc);
    if (code != CLI_OK) {
        cw_buf_finish(text);
    }
    return code;
}
