/* Formats the report as text, JSON and CSV. */
#include "cli.h"

/* ---- text ----------------------------------------------------------- */

static void
text_services(const struct cli_report_data *r, struct cw_buf *out)
{
    cw_buf_addf(out, "\n%-20s %12s %12s %9s %12s %9s %9s %9s\n", "SERVICE",
                "REQUESTS", "AVAILABLE", "TARGET", "NOT SERVED", "BUDGET",
                "IDLE", "P99 MS");
    for (size_t i = 0; i < r->service_count; i++) {
        const struct cli_service_report *x = &r->services[i];
        cw_buf_addf(out, "%-20s %12llu %11.4f%%", x->service.text,
                    (unsigned long long)cli_service_requests(x),
                    100 * cli_service_availability(x));
        if (x->has_doc) {
            cw_buf_addf(out, " %8.3f%%", 100 * x->target);
        }
        else {
            cw_buf_addf(out, " %9s", "-");
        }
        cw_buf_addf(out, " %12llu %8.1f%% %8.1f%% %9.1f\n",
                    (unsigned long long)x->failed + x->shed + x->unknown,
                    100 * cli_service_budget_used(x),
                    100 * cli_service_idle_share(x), (double)x->p99_us / 1000);
    }
    cw_buf_addf(out, "\n%-20s %12s %12s %9s %12s %9s %9s %9s %9s\n", "SERVICE",
                "FAILED", "SHED", "UNKNOWN", "MAINTAINED", "MOVED IN",
                "MOVED OUT", "CANCELLED", "OP FAILED");
    for (size_t i = 0; i < r->service_count; i++) {
        const struct cli_service_report *x = &r->services[i];
        cw_buf_addf(out, "%-20s %12llu %12llu %9llu %12u %9u %9u %9u %9u\n",
                    x->service.text, (unsigned long long)x->failed,
                    (unsigned long long)x->shed,
                    (unsigned long long)x->unknown, x->maintained, x->moves_in,
                    x->moves_out, x->cancelled, x->failed_ops);
    }
}

static void
text_waves(const struct cli_report_data *r, const struct cw_state *s,
           struct cw_buf *out)
{
    cw_buf_addf(out, "\nWaves: %zu\n", r->wave_count);
    for (size_t i = 0; i < r->wave_count; i++) {
        const struct cw_wave_entry *w = r->waves[i];
        char time_text[25];
        cw_time_format(w->opened, time_text);
        cw_buf_addf(out, "  %s %s %s: ", time_text, cli_wave_service(s, w),
                    w->wave.text);
        if (w->closed == 0) {
            cw_buf_addf(out, "open (%s)", cw_wave_action_name(w->last_action));
        }
        else {
            cw_buf_addf(out, "%.1f s", (double)(w->closed - w->opened) / 1000);
        }
        cw_buf_addf(out, ", held %.1f s, %u VMs done, %u failed%s%s\n",
                    (double)w->held_ms / 1000, w->done, w->failed,
                    w->reason[0] == '\0' ? "" : "; ", w->reason);
    }
}

static void
text_docs(const struct cli_report_data *r, struct cw_buf *out)
{
    cw_buf_addf(out, "\nDocuments: %zu accepted, %zu refused\n", r->doc_count,
                r->refused_edits);
    for (size_t i = 0; i < r->doc_count; i++) {
        const struct cli_doc_report *d = &r->docs[i];
        char time_text[25];
        cw_time_format(d->edit->time, time_text);
        cw_buf_addf(out, "  %s %s version %llu by %s", time_text,
                    d->edit->service.text, (unsigned long long)d->edit->offset,
                    d->edit->by.text);
        if (d->ops > 0) {
            cw_buf_addf(out, ": %u operations, %u open, %.1f s", d->ops,
                        d->open_ops, (double)d->rollout_ms / 1000);
        }
        cw_buf_addf(out, "\n");
    }
}

static void
text_moves(const struct cli_report_data *r, struct cw_buf *out)
{
    cw_buf_addf(out, "\nMoves: %zu\n", r->move_count);
    for (size_t i = 0; i < r->move_count; i++) {
        const struct cw_op_entry *e = r->moves[i];
        char time_text[25];
        cw_time_format(e->step_time[CW_STEP_DRAINING], time_text);
        cw_buf_addf(
            out, "  %s %s %s -> %s %s %.1f s; cause: %s%s%s\n", time_text,
            e->rec.vm.text, e->rec.from.text, e->rec.to.text,
            cw_op_step_name(e->rec.step), (double)cli_op_duration(e) / 1000,
            e->rec.cause,
            e->rec.result[0] == '\0' ? "" : "; result: ", e->rec.result);
    }
}

void
cli_report_text(const struct cli_report_data *r, const struct cw_state *s,
                struct cw_buf *out)
{
    char from[25], to[25];
    cw_time_format(r->from, from);
    cw_time_format(r->to, to);
    cw_buf_addf(out, "From %s to %s, log offset %llu\n", from, to,
                (unsigned long long)s->applied);
    text_services(r, out);
    text_waves(r, s, out);
    text_docs(r, out);
    text_moves(r, out);
}

/* ---- JSON ----------------------------------------------------------- */

static json_t *
service_json(const struct cli_service_report *x)
{
    json_t *v = json_pack(
        "{so,sI,sI,sI,sI,sI,sf}", "service", cli_json_name(&x->service),
        "requests", (json_int_t)cli_service_requests(x), "ok",
        (json_int_t)x->ok, "failed", (json_int_t)x->failed, "shed",
        (json_int_t)x->shed, "unknown", (json_int_t)x->unknown, "availability",
        cli_service_availability(x));
    json_object_set_new(v, "target",
                        x->has_doc ? json_real(x->target) : json_null());
    json_t *more = json_pack(
        "{sf,sf,sf,sI,sI,sI,si,si,si,si,si}", "allowed_failures",
        cli_service_allowed_failures(x), "budget_used",
        cli_service_budget_used(x), "idle_share", cli_service_idle_share(x),
        "idle_slot_ms", (json_int_t)x->idle_slot_ms, "busy_slot_ms",
        (json_int_t)x->busy_slot_ms, "p99_us", (json_int_t)x->p99_us,
        "maintained", (int)x->maintained, "moves_in", (int)x->moves_in,
        "moves_out", (int)x->moves_out, "cancelled", (int)x->cancelled,
        "failed_operations", (int)x->failed_ops);
    json_object_update(v, more);
    json_decref(more);
    return v;
}

static json_t *
wave_json(const struct cw_wave_entry *w, const struct cw_state *s)
{
    json_t *v = json_pack(
        "{so,ss,so,so,ss,ss,sI,si,si}", "wave", cli_json_name(&w->wave),
        "service", cli_wave_service(s, w), "scope", cli_json_name(&w->scope),
        "opened", cli_json_time(w->opened), "last",
        cw_wave_action_name(w->last_action), "reason", w->reason, "held_ms",
        (json_int_t)w->held_ms, "done", (int)w->done, "failed",
        (int)w->failed);
    json_object_set_new(v, "rollout_ms",
                        w->closed == 0 ? json_null()
                                       : json_integer(w->closed - w->opened));
    return v;
}

static json_t *
doc_json(const struct cli_doc_report *d)
{
    json_t *v = json_pack(
        "{so,sI,so,so,si,si}", "service", cli_json_name(&d->edit->service),
        "version", (json_int_t)d->edit->offset, "time",
        cli_json_time(d->edit->time), "by", cli_json_name(&d->edit->by),
        "operations", (int)d->ops, "open_operations", (int)d->open_ops);
    json_object_set_new(v, "rollout_ms",
                        d->ops == 0 ? json_null()
                                    : json_integer(d->rollout_ms));
    return v;
}

json_t *
cli_report_json(const struct cli_report_data *r, const struct cw_state *s)
{
    json_t *services = json_array(), *waves = json_array();
    json_t *docs = json_array(), *moves = json_array();
    for (size_t i = 0; i < r->service_count; i++) {
        json_array_append_new(services, service_json(&r->services[i]));
    }
    for (size_t i = 0; i < r->wave_count; i++) {
        json_array_append_new(waves, wave_json(r->waves[i], s));
    }
    for (size_t i = 0; i < r->doc_count; i++) {
        json_array_append_new(docs, doc_json(&r->docs[i]));
    }
    for (size_t i = 0; i < r->move_count; i++) {
        json_array_append_new(moves, cli_json_op(r->moves[i]));
    }
    return json_pack("{so,so,sI,so,so,so,sI,so}", "from",
                     cli_json_time(r->from), "to", cli_json_time(r->to),
                     "applied", (json_int_t)s->applied, "services", services,
                     "waves", waves, "documents", docs, "refused_edits",
                     (json_int_t)r->refused_edits, "moves", moves);
}

/* ---- CSV ------------------------------------------------------------ */

/* Adds one text field. A leading = + - or @ gets an apostrophe in front,
 * because spreadsheets would run the cell as a formula. */
static void
csv_text(struct cw_buf *out, const char *z)
{
    cw_buf_add(out, "\"", 1);
    if (*z == '=' || *z == '+' || *z == '-' || *z == '@') {
        cw_buf_add(out, "'", 1);
    }
    for (; *z != '\0'; z++) {
        cw_buf_add(out, z, 1);
        if (*z == '"') {
            cw_buf_add(out, z, 1);
        }
    }
    cw_buf_add(out, "\"", 1);
}

static void
csv_row_prefix(struct cw_buf *out, const char *section, const char *service,
               const char *item, const char *measure)
{
    cw_buf_addf(out, "%s,%s,%s,%s,", section, service, item, measure);
}

static void
csv_number(struct cw_buf *out, const char *section, const char *service,
           const char *item, const char *measure, double v)
{
    csv_row_prefix(out, section, service, item, measure);
    cw_buf_addf(out, "%.9g\n", v);
}

static void
csv_string(struct cw_buf *out, const char *section, const char *service,
           const char *item, const char *measure, const char *v)
{
    csv_row_prefix(out, section, service, item, measure);
    csv_text(out, v);
    cw_buf_add(out, "\n", 1);
}

static void
csv_service(struct cw_buf *out, const struct cli_service_report *x)
{
    const struct {
        const char *measure;
        double value;
    } rows[] = {
        {"requests", (double)cli_service_requests(x)},
        {"failed", (double)x->failed},
        {"shed", (double)x->shed},
        {"unknown", (double)x->unknown},
        {"availability", cli_service_availability(x)},
        {"target", x->target},
        {"allowed_failures", cli_service_allowed_failures(x)},
        {"budget_used", cli_service_budget_used(x)},
        {"idle_share", cli_service_idle_share(x)},
        {"p99_us", (double)x->p99_us},
        {"maintained", x->maintained},
        {"moves_in", x->moves_in},
        {"moves_out", x->moves_out},
        {"cancelled", x->cancelled},
        {"failed_operations", x->failed_ops},
    };
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        csv_number(out, "service", x->service.text, "", rows[i].measure,
                   rows[i].value);
    }
}

static void
csv_move(struct cw_buf *out, const struct cw_op_entry *e,
         const struct cw_state *s)
{
    const char *service = cli_pool_service(s, &e->rec.to);
    const char *op = e->rec.op.text;
    char time_text[25];
    cw_time_format(e->step_time[CW_STEP_DRAINING], time_text);
    csv_string(out, "move", service, op, "time", time_text);
    csv_string(out, "move", service, op, "vm", e->rec.vm.text);
    csv_string(out, "move", service, op, "from", e->rec.from.text);
    csv_string(out, "move", service, op, "to", e->rec.to.text);
    csv_string(out, "move", service, op, "step", cw_op_step_name(e->rec.step));
    csv_string(out, "move", service, op, "cause", e->rec.cause);
    csv_string(out, "move", service, op, "result", e->rec.result);
    csv_number(out, "move", service, op, "duration_ms",
               (double)cli_op_duration(e));
}

void
cli_report_csv(const struct cli_report_data *r, const struct cw_state *s,
               struct cw_buf *out)
{
    cw_buf_addf(out, "section,service,item,measure,value\n");
    for (size_t i = 0; i < r->service_count; i++) {
        csv_service(out, &r->services[i]);
    }
    for (size_t i = 0; i < r->wave_count; i++) {
        const struct cw_wave_entry *w = r->waves[i];
        const char *service = cli_wave_service(s, w);
        char time_text[25];
        cw_time_format(w->opened, time_text);
        csv_string(out, "wave", service, w->wave.text, "opened", time_text);
        if (w->closed != 0) {
            csv_number(out, "wave", service, w->wave.text, "rollout_ms",
                       (double)(w->closed - w->opened));
        }
        csv_number(out, "wave", service, w->wave.text, "held_ms",
                   (double)w->held_ms);
        csv_number(out, "wave", service, w->wave.text, "done", w->done);
        csv_number(out, "wave", service, w->wave.text, "failed", w->failed);
    }
    for (size_t i = 0; i < r->doc_count; i++) {
        const struct cli_doc_report *d = &r->docs[i];
        char item[24], time_text[25];
        snprintf(item, sizeof(item), "%llu",
                 (unsigned long long)d->edit->offset);
        cw_time_format(d->edit->time, time_text);
        csv_string(out, "document", d->edit->service.text, item, "time",
                   time_text);
        csv_string(out, "document", d->edit->service.text, item, "by",
                   d->edit->by.text);
        csv_number(out, "document", d->edit->service.text, item, "operations",
                   d->ops);
        if (d->ops > 0) {
            csv_number(out, "document", d->edit->service.text, item,
                       "rollout_ms", (double)d->rollout_ms);
        }
    }
    for (size_t i = 0; i < r->move_count; i++) {
        csv_move(out, r->moves[i], s);
    }
}
