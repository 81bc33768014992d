/* Queries of the replicated state: get, history, status, moves. */
#include "cli.h"

#include <string.h>

static int
report_no_document(struct cli *c, const char *service)
{
    fprintf(c->err,
            "cuminwalk: service %s has no document; see cuminwalk status\n",
            service);
    return CLI_ERROR;
}

static int
print_doc(struct cli *c, const struct cw_doc_entry *d)
{
    char time_text[25];
    cw_time_format(d->time, time_text);
    if (c->format == CLI_JSON) {
        return cli_print_json(
            c, json_pack("{so,sI,so,ss,so}", "service",
                         cli_json_name(&d->doc.service), "version",
                         (json_int_t)d->version, "by", cli_json_name(&d->by),
                         "time", time_text, "doc",
                         json_loadb(d->json, d->json_len, 0, NULL)));
    }
    fprintf(c->out, "%s%s", d->json,
            d->json_len > 0 && d->json[d->json_len - 1] == '\n' ? "" : "\n");
    fprintf(c->err, "version %llu by %s at %s\n",
            (unsigned long long)d->version, d->by.text, time_text);
    return CLI_OK;
}

int
cli_get(struct cli *c)
{
    struct cli_log l;
    int code = cli_open_log(c, &l);
    if (code == CLI_OK) {
        const struct cw_doc_entry *d =
            cw_state_doc(&l.state, cw_str_from(c->args[0]));
        code = d == NULL ? report_no_document(c, c->args[0]) : print_doc(c, d);
    }
    cli_log_finish(&l);
    return code;
}

/* ---- history -------------------------------------------------------- */

static json_t *
edit_json(const struct cw_edit_entry *e)
{
    return json_pack("{sI,so,so,so,sI,sI,sb,ss}", "version",
                     (json_int_t)e->offset, "time", cli_json_time(e->time),
                     "by", cli_json_name(&e->by), "id", cli_json_name(&e->id),
                     "base", (json_int_t)e->base, "current",
                     (json_int_t)e->current_version, "accepted",
                     (int)e->accepted, "reason", e->reason);
}

static void
print_edit(struct cli *c, const struct cw_edit_entry *e)
{
    char time_text[25];
    cw_time_format(e->time, time_text);
    fprintf(c->out, "%-8llu %s  by %-16s base %-8llu %s%s  (%s)\n",
            (unsigned long long)e->offset, time_text, e->by.text,
            (unsigned long long)e->base,
            e->accepted ? "accepted" : "refused: ", e->reason, e->id.text);
}

int
cli_history(struct cli *c)
{
    struct cli_log l;
    int code = cli_open_log(c, &l);
    if (code != CLI_OK) {
        cli_log_finish(&l);
        return code;
    }
    json_t *list = json_array();
    size_t count = 0;
    for (size_t i = 0; i < l.state.edit_count; i++) {
        const struct cw_edit_entry *e = l.state.edits[i];
        if (!cw_str_eq(cw_name_str(&e->service), cw_str_from(c->args[0]))) {
            continue;
        }
        count++;
        if (c->format == CLI_JSON) {
            json_array_append_new(list, edit_json(e));
        }
        else {
            print_edit(c, e);
        }
    }
    if (c->format == CLI_JSON) {
        code = cli_print_json(c, list);
    }
    else {
        json_decref(list);
        if (count == 0 &&
            cw_state_doc(&l.state, cw_str_from(c->args[0])) == NULL) {
            code = report_no_document(c, c->args[0]);
        }
    }
    cli_log_finish(&l);
    return code;
}

/* ---- status --------------------------------------------------------- */

static size_t
count_open_ops(const struct cw_state *s, const struct cw_name *pool)
{
    size_t n = 0;
    for (size_t i = 0; i < s->op_count; i++) {
        n += s->ops[i]->open && (cw_name_eq(&s->ops[i]->rec.from, pool) ||
                                 cw_name_eq(&s->ops[i]->rec.to, pool));
    }
    return n;
}

static const struct cw_wave_entry *
find_open_wave(const struct cw_state *s, const struct cw_name *pool)
{
    char scope[CW_NAME_MAX + 6];
    snprintf(scope, sizeof(scope), "pool/%s", pool->text);
    return cw_state_open_wave(s, cw_str_from(scope));
}

static json_t *
service_json(const struct cw_state *s, const struct cw_doc_entry *d)
{
    const struct cw_wave_entry *w = find_open_wave(s, &d->doc.pool);
    json_t *v = json_pack(
        "{so,so,sI,sI,sI,sI,sI}", "service", cli_json_name(&d->doc.service),
        "pool", cli_json_name(&d->doc.pool), "version", (json_int_t)d->version,
        "vms", (json_int_t)cw_state_pool_size(s, cw_name_str(&d->doc.pool)),
        "vms_min", (json_int_t)d->doc.vms_min, "vms_max",
        (json_int_t)d->doc.vms_max, "open_operations",
        (json_int_t)count_open_ops(s, &d->doc.pool));
    json_object_set_new(
        v, "wave",
        w == NULL ? json_null()
                  : json_pack("{so,ss,ss}", "wave", cli_json_name(&w->wave),
                              "last", cw_wave_action_name(w->last_action),
                              "reason", w->reason));
    return v;
}

static const struct cli_member *
find_member_report(const struct cli_members *m, const struct cw_name *daemon)
{
    for (size_t i = 0; m != NULL && i < m->count; i++) {
        if (cw_name_eq(&m->items[i].daemon, daemon)) {
            return &m->items[i];
        }
    }
    return NULL;
}

static json_t *
status_json(const struct cw_state *s, const struct cli_members *m)
{
    json_t *members = json_array(), *services = json_array();
    for (size_t i = 0; i < s->member_count; i++) {
        const struct cw_member_entry *e = &s->members[i];
        const struct cli_member *x = find_member_report(m, &e->daemon);
        json_t *v = json_pack(
            "{so,sI,so,so}", "daemon", cli_json_name(&e->daemon),
            "incarnation", (json_int_t)e->incarnation, "dc",
            cli_json_name(&e->dc), "address", cli_json_name(&e->address));
        json_object_set_new(v, "applied",
                            x == NULL ? json_null()
                                      : json_integer((json_int_t)x->applied));
        json_object_set_new(v, "age_ms",
                            x == NULL ? json_null() : json_integer(x->age_ms));
        json_array_append_new(members, v);
    }
    for (size_t i = 0; i < s->doc_count; i++) {
        json_array_append_new(services, service_json(s, s->docs[i]));
    }
    return json_pack("{sI,sI,so,so}", "applied", (json_int_t)s->applied, "vms",
                     (json_int_t)s->vm_count, "members", members, "services",
                     services);
}

static void
print_status(struct cli *c, const struct cw_state *s,
             const struct cli_members *m)
{
    fprintf(c->out, "log offset %llu, %zu members, %zu VMs\n",
            (unsigned long long)s->applied, s->member_count, s->vm_count);
    for (size_t i = 0; i < s->member_count; i++) {
        const struct cw_member_entry *e = &s->members[i];
        const struct cli_member *x = find_member_report(m, &e->daemon);
        fprintf(c->out, "member  %-16s dc %-8s %-22s", e->daemon.text,
                e->dc.text, e->address.text);
        if (x != NULL) {
            fprintf(c->out, " applied %llu, heard %lld ms ago",
                    (unsigned long long)x->applied, (long long)x->age_ms);
        }
        fprintf(c->out, "%s\n", m != NULL && x == NULL ? " not heard" : "");
    }
    for (size_t i = 0; i < s->doc_count; i++) {
        const struct cw_doc *d = &s->docs[i]->doc;
        const struct cw_wave_entry *w = find_open_wave(s, &d->pool);
        fprintf(c->out,
                "service %-16s version %-8llu pool %-12s VMs %zu (%u to %u), "
                "%zu open operations",
                d->service.text, (unsigned long long)s->docs[i]->version,
                d->pool.text, cw_state_pool_size(s, cw_name_str(&d->pool)),
                d->vms_min, d->vms_max, count_open_ops(s, &d->pool));
        if (w != NULL) {
            fprintf(c->out, ", wave %s: %s%s%s", w->wave.text,
                    cw_wave_action_name(w->last_action),
                    w->reason[0] == '\0' ? "" : ", ", w->reason);
        }
        fputc('\n', c->out);
    }
}

int
cli_status(struct cli *c)
{
    struct cli_log l;
    int code = cli_open_log(c, &l);
    if (code != CLI_OK) {
        cli_log_finish(&l);
        return code;
    }
    static struct cli_members members;
    const struct cli_members *m = NULL;
    if (c->daemon != NULL) {
        if (cli_members_get(c, &members) == CW_OK) {
            m = &members;
        }
        else {
            fprintf(c->err, "cuminwalk: %s\n", c->msg);
            code = CLI_UNAVAILABLE;
        }
    }
    if (c->format == CLI_JSON) {
        (void)cli_print_json(c, status_json(&l.state, m));
    }
    else {
        print_status(c, &l.state, m);
    }
    cli_log_finish(&l);
    return code;
}

/* ---- moves ---------------------------------------------------------- */

static bool
starts_in_period(const struct cli *c, const struct cw_op_entry *e)
{
    cw_ms begin = e->step_time[CW_STEP_DRAINING];
    return (!c->has_from || begin >= c->from) && (!c->has_to || begin < c->to);
}

static void
print_move(struct cli *c, const struct cw_op_entry *e)
{
    char time_text[25];
    cw_time_format(e->step_time[CW_STEP_DRAINING], time_text);
    fprintf(c->out, "%s  %-16s %s -> %s  %-9s %lld ms  cause: %s%s%s\n",
            time_text, e->rec.vm.text, e->rec.from.text, e->rec.to.text,
            cw_op_step_name(e->rec.step), (long long)cli_op_duration(e),
            e->rec.cause,
            e->rec.result[0] == '\0' ? "" : "; result: ", e->rec.result);
}

int
cli_moves(struct cli *c)
{
    struct cli_log l;
    int code = cli_open_log(c, &l);
    if (code != CLI_OK) {
        cli_log_finish(&l);
        return code;
    }
    json_t *list = json_array();
    for (size_t i = 0; i < l.state.op_count; i++) {
        const struct cw_op_entry *e = l.state.ops[i];
        if (e->rec.kind != CW_OP_MOVE || !starts_in_period(c, e)) {
            continue;
        }
        if (c->format == CLI_JSON) {
            json_array_append_new(list, cli_json_op(e));
        }
        else {
            print_move(c, e);
        }
    }
    if (c->format == CLI_JSON) {
        code = cli_print_json(c, list);
    }
    else {
        json_decref(list);
    }
    cli_log_finish(&l);
    return code;
}
