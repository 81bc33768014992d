/* Computes the figures of the report from the replicated state alone. */
#include "cli.h"

#include <stdlib.h>
#include <string.h>

#define DEFAULT_PERIOD_MS (7 * CW_DAY)

uint64_t
cli_service_requests(const struct cli_service_report *x)
{
    return x->ok + x->failed + x->shed + x->unknown;
}

double
cli_service_availability(const struct cli_service_report *x)
{
    uint64_t n = cli_service_requests(x);
    return n == 0 ? 1.0 : (double)x->ok / (double)n;
}

double
cli_service_allowed_failures(const struct cli_service_report *x)
{
    return x->has_doc ? (1.0 - x->target) * (double)cli_service_requests(x)
                      : 0.0;
}

double
cli_service_budget_used(const struct cli_service_report *x)
{
    double allowed = cli_service_allowed_failures(x);
    double used = (double)(x->failed + x->shed + x->unknown);
    return allowed <= 0 ? 0.0 : used / allowed;
}

double
cli_service_idle_share(const struct cli_service_report *x)
{
    uint64_t n = x->idle_slot_ms + x->busy_slot_ms;
    return n == 0 ? 0.0 : (double)x->idle_slot_ms / (double)n;
}

cw_ms
cli_op_duration(const struct cw_op_entry *e)
{
    cw_ms d = e->step_time[e->rec.step] - e->step_time[CW_STEP_DRAINING];
    return d < 0 ? 0 : d;
}

const char *
cli_pool_service(const struct cw_state *s, const struct cw_name *pool)
{
    const struct cw_doc_entry *d = cw_state_doc_of_pool(s, cw_name_str(pool));
    return d == NULL ? "-" : d->doc.service.text;
}

const char *
cli_wave_service(const struct cw_state *s, const struct cw_wave_entry *w)
{
    struct cw_str scope = cw_name_str(&w->scope);
    struct cw_name pool;
    if (!cw_str_starts(scope, CW_LIT("pool/")) ||
        cw_name_set(&pool, (struct cw_str){scope.ptr + 5, scope.len - 5}) !=
            CW_OK) {
        return "-";
    }
    return cli_pool_service(s, &pool);
}

static struct cli_service_report *
get_or_add_service(struct cli_report_data *r, struct cw_str service)
{
    for (size_t i = 0; i < r->service_count; i++) {
        if (cw_str_eq(cw_name_str(&r->services[i].service), service)) {
            return &r->services[i];
        }
    }
    struct cli_service_report *list =
        realloc(r->services, (r->service_count + 1) * sizeof(*r->services));
    if (list == NULL) {
        return NULL;
    }
    r->services = list;
    struct cli_service_report *x = &list[r->service_count++];
    memset(x, 0, sizeof(*x));
    (void)cw_name_set(&x->service, service);
    return x;
}

static bool
add_services(struct cli_report_data *r, const struct cw_state *s)
{
    for (size_t i = 0; i < s->doc_count; i++) {
        const struct cw_doc *d = &s->docs[i]->doc;
        struct cli_service_report *x =
            get_or_add_service(r, cw_name_str(&d->service));
        if (x == NULL) {
            return false;
        }
        x->has_doc = true;
        x->target = d->target;
    }
    return true;
}

/* An entry counts towards the period in which it ends. */
static bool
add_stats(struct cli_report_data *r, const struct cw_state *s)
{
    for (size_t i = 0; i < s->stat_count; i++) {
        const struct cw_rec_stat *t = s->stats[i];
        if (t->to <= r->from || t->to > r->to) {
            continue;
        }
        for (size_t k = 0; k < t->count; k++) {
            const struct cw_stat_service *v = &t->services[k];
            struct cli_service_report *x =
                get_or_add_service(r, cw_name_str(&v->service));
            if (x == NULL) {
                return false;
            }
            x->ok += v->ok;
            x->failed += v->failed;
            x->shed += v->shed;
            x->unknown += v->unknown;
            x->p99_us = v->p99_us > x->p99_us ? v->p99_us : x->p99_us;
            x->idle_slot_ms += v->idle_slot_ms;
            x->busy_slot_ms += v->busy_slot_ms;
        }
    }
    return true;
}

static struct cli_service_report *
find_pool_service(struct cli_report_data *r, const struct cw_state *s,
                  const struct cw_name *pool)
{
    const struct cw_doc_entry *d = cw_state_doc_of_pool(s, cw_name_str(pool));
    return d == NULL ? NULL
                     : get_or_add_service(r, cw_name_str(&d->doc.service));
}

/* An operation counts towards the period in which it begins. */
static bool
add_ops(struct cli_report_data *r, const struct cw_state *s)
{
    r->moves = calloc(s->op_count + 1, sizeof(void *));
    if (r->moves == NULL) {
        return false;
    }
    for (size_t i = 0; i < s->op_count; i++) {
        const struct cw_op_entry *e = s->ops[i];
        cw_ms begin = e->step_time[CW_STEP_DRAINING];
        if (begin < r->from || begin >= r->to) {
            continue;
        }
        bool move = e->rec.kind == CW_OP_MOVE;
        if (move) {
            r->moves[r->move_count++] = e;
        }
        bool moved = move && e->step_time[CW_STEP_ASSIGNING] != 0;
        struct cli_service_report *x = find_pool_service(r, s, &e->rec.from);
        if (x != NULL) {
            x->moves_out += moved;
            x->maintained += !move && e->rec.step == CW_STEP_DONE;
            x->cancelled += e->rec.step == CW_STEP_CANCELLED;
            x->failed_ops += e->rec.step == CW_STEP_FAILED;
        }
        x = find_pool_service(r, s, &e->rec.to);
        if (x != NULL) {
            x->moves_in += moved;
        }
    }
    return true;
}

static bool
add_waves(struct cli_report_data *r, const struct cw_state *s)
{
    r->waves = calloc(s->wave_count + 1, sizeof(void *));
    if (r->waves == NULL) {
        return false;
    }
    for (size_t i = 0; i < s->wave_count; i++) {
        const struct cw_wave_entry *w = s->waves[i];
        if (w->opened >= r->from && w->opened < r->to) {
            r->waves[r->wave_count++] = w;
        }
    }
    return true;
}

static void
add_rollout(struct cli_doc_report *d, const struct cw_state *s)
{
    for (size_t i = 0; i < s->op_count; i++) {
        const struct cw_op_entry *e = s->ops[i];
        if (e->rec.doc_version != d->edit->offset) {
            continue;
        }
        d->ops++;
        d->open_ops += e->open;
        cw_ms after = e->step_time[e->rec.step] - d->edit->time;
        d->rollout_ms = after > d->rollout_ms ? after : d->rollout_ms;
    }
}

static bool
add_docs(struct cli_report_data *r, const struct cw_state *s)
{
    r->docs = calloc(s->edit_count + 1, sizeof(*r->docs));
    if (r->docs == NULL) {
        return false;
    }
    for (size_t i = 0; i < s->edit_count; i++) {
        const struct cw_edit_entry *e = s->edits[i];
        if (e->time < r->from || e->time >= r->to) {
            continue;
        }
        if (!e->accepted) {
            r->refused_edits++;
            continue;
        }
        r->docs[r->doc_count].edit = e;
        add_rollout(&r->docs[r->doc_count++], s);
    }
    return true;
}

static int
compare_service_names(const void *a, const void *b)
{
    const struct cli_service_report *x = a, *y = b;
    return cw_str_cmp(cw_name_str(&x->service), cw_name_str(&y->service));
}

enum cw_status
cli_report_build(struct cli_report_data *r, const struct cw_state *s,
                 cw_ms from, cw_ms to)
{
    memset(r, 0, sizeof(*r));
    r->from = from;
    r->to = to;
    if (!add_services(r, s) || !add_stats(r, s) || !add_ops(r, s) ||
        !add_waves(r, s) || !add_docs(r, s)) {
        cli_report_finish(r);
        return CW_ERR_NOMEM;
    }
    if (r->service_count > 0) {
        qsort(r->services, r->service_count, sizeof(*r->services),
              compare_service_names);
    }
    return CW_OK;
}

void
cli_report_finish(struct cli_report_data *r)
{
    free(r->services);
    free((void *)r->waves);
    free((void *)r->moves);
    free(r->docs);
    memset(r, 0, sizeof(*r));
}

static int
print_report(struct cli *c, const struct cli_report_data *r,
             const struct cw_state *s)
{
    if (c->format == CLI_JSON) {
        return cli_print_json(c, cli_report_json(r, s));
    }
    struct cw_buf out;
    cw_buf_init(&out);
    if (c->format == CLI_CSV) {
        cli_report_csv(r, s, &out);
    }
    else {
        cli_report_text(r, s, &out);
    }
    bool failed = out.failed;
    if (!failed) {
        fwrite(out.ptr, 1, out.len, c->out);
    }
    cw_buf_finish(&out);
    return failed ? CLI_ERROR : CLI_OK;
}

int
cli_report(struct cli *c)
{
    cw_ms to = c->has_to ? c->to : c->clock.wall(c->clock.ctx);
    cw_ms from = c->has_from ? c->from : to - DEFAULT_PERIOD_MS;
    if (from >= to) {
        fprintf(c->err, "cuminwalk: --from has to be before --to\n");
        return CLI_USAGE;
    }
    struct cli_log l;
    int code = cli_open_log(c, &l);
    if (code == CLI_OK) {
        struct cli_report_data r;
        if (cli_report_build(&r, &l.state, from, to) == CW_OK) {
            code = print_report(c, &r, &l.state);
            cli_report_finish(&r);
        }
        else {
            fprintf(c->err, "cuminwalk: out of memory\n");
            code = CLI_ERROR;
        }
    }
    cli_log_finish(&l);
    return code;
}
