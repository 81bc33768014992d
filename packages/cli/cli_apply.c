/* The command apply: puts a document in force. */
#include "cli.h"

#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <unistd.h>

#define POLL_MS 100 /* interval of polls for the members or the log */

/* ---- append and its outcome ----------------------------------------- */

/* Makes an id unique to this run: writer, time and 64 random bits. */
static void
make_id(struct cli *c, struct cw_name *id)
{
    uint64_t r;
    if (getrandom(&r, sizeof(r), 0) != (ssize_t)sizeof(r)) {
        r = cw_hash_mix((uint64_t)c->clock.now(c->clock.ctx),
                        (uint64_t)getpid());
    }
    char text[CW_NAME_MAX + 1];
    snprintf(text, sizeof(text), "edit-%.24s-%llx-%016llx", c->by,
             (unsigned long long)c->clock.wall(c->clock.ctx),
             (unsigned long long)r);
    (void)cw_name_set(id, cw_str_from(text));
}

static const struct cw_edit_entry *
find_edit(const struct cw_state *s, const struct cw_name *id)
{
    for (size_t i = s->edit_count; i-- > 0;) {
        if (cw_name_eq(&s->edits[i]->id, id)) {
            return s->edits[i];
        }
    }
    return NULL;
}

/* Reads the log until it has the wanted record. Returns CW_ERR_NOT_FOUND when
 * a read that began after answer_deadline does not show it, or the read's
 * error when reads still fail append_timeout_ms later. */
static enum cw_status
find_record(struct cli *c, struct cli_log *l, cw_ms answer_deadline)
{
    for (;;) {
        cw_ms now = c->clock.now(c->clock.ctx);
        enum cw_status s = cli_log_follow(c, l, POLL_MS);
        if (l->found) {
            return CW_OK;
        }
        if (s == CW_OK && now >= answer_deadline) {
            return CW_ERR_NOT_FOUND;
        }
        if (s != CW_OK && now >= answer_deadline + c->append_timeout_ms) {
            return s;
        }
        usleep(POLL_MS * 1000);
    }
}

/* Appends the record and finds it in the log. After a lost answer it is
 * appended a second time only if the log does not have it after the deadline;
 * replay ignores the second record if both arrived. */
static int
append_and_find(struct cli *c, struct cli_log *l, const struct cw_record *r)
{
    l->wanted_id = r->id;
    for (int attempt = 0; attempt < 2; attempt++) {
        cw_ms answer_deadline =
            c->clock.now(c->clock.ctx) + c->append_timeout_ms;
        enum cw_status s = cli_log_append(c, r, c->append_timeout_ms);
        if (s != CW_OK && s != CW_ERR_UNKNOWN) {
            if (attempt > 0) {
                break; /* the outcome of the first append is still unknown */
            }
            fprintf(c->err, "cuminwalk: not applied: %s\n", c->msg);
            return s == CW_ERR_INVALID ? CLI_ERROR : CLI_UNAVAILABLE;
        }
        if (s == CW_ERR_UNKNOWN) {
            fprintf(c->err,
                    "cuminwalk: no answer to the append (%s); searching the "
                    "log for record %s\n",
                    c->msg, r->id.text);
        }
        s = find_record(c, l, answer_deadline);
        if (s == CW_OK) {
            return CLI_OK;
        }
        if (s != CW_ERR_NOT_FOUND) {
            break;
        }
    }
    fprintf(c->err,
            "cuminwalk: it is unknown whether the edit is accepted; when the "
            "log is back, look for record %s in cuminwalk history %s\n",
            r->id.text, r->u.doc.service.text);
    return CLI_UNAVAILABLE;
}

static int
report_refusal(struct cli *c, const struct cli_log *l,
               const struct cw_edit_entry *e)
{
    const struct cw_doc_entry *d =
        cw_state_doc(&l->state, cw_name_str(&e->service));
    if (e->base == e->current_version) {
        fprintf(c->err, "cuminwalk: refused: %s\n", e->reason);
        return CLI_ERROR;
    }
    fprintf(c->err,
            "cuminwalk: conflict: based on version %llu, but version %llu "
            "was in force%s%s; see cuminwalk diff, then apply with --base "
            "%llu\n",
            (unsigned long long)e->base,
            (unsigned long long)e->current_version,
            d == NULL ? "" : ", last edited by ", d == NULL ? "" : d->by.text,
            (unsigned long long)(d == NULL ? 0 : d->version));
    return CLI_CONFLICT;
}

/* Waits until every member in the replayed state has applied offset. */
static int
wait_for_members(struct cli *c, struct cli_log *l, uint64_t offset,
                 cw_ms deadline)
{
    struct cw_buf lagging;
    cw_buf_init(&lagging);
    static struct cli_members m;
    for (;;) {
        cw_buf_clear(&lagging);
        enum cw_status s = cli_members_get(c, &m);
        if (s == CW_OK &&
            cli_members_lagging(&l->state, &m, offset, &lagging) == 0) {
            cw_buf_finish(&lagging);
            return CLI_OK;
        }
        if (c->clock.now(c->clock.ctx) >= deadline) {
            fprintf(c->err,
                    "cuminwalk: accepted, but not seen in force everywhere "
                    "after %lld ms; %s%s; look again with cuminwalk status\n",
                    (long long)c->timeout_ms, s == CW_OK ? "missing: " : "",
                    s == CW_OK ? lagging.ptr : c->msg);
            cw_buf_finish(&lagging);
            return CLI_TIMEOUT;
        }
        usleep(POLL_MS * 1000);
        /* Members that lapse in the meantime are no longer waited for. */
        (void)cli_log_follow(c, l, 0);
    }
}

/* Waits for the members when --daemon is given, then prints the result. */
static int
report_applied(struct cli *c, struct cli_log *l, const struct cw_name *service,
               uint64_t version, bool changed, cw_ms started)
{
    int code = CLI_OK;
    bool waited = c->daemon != NULL;
    if (waited) {
        code = wait_for_members(c, l, version, started + c->timeout_ms);
    }
    cw_ms elapsed_ms = c->clock.now(c->clock.ctx) - started;
    if (c->format == CLI_JSON) {
        (void)cli_print_json(
            c, json_pack("{so,sI,sb,so,sI}", "service", cli_json_name(service),
                         "version", (json_int_t)version, "changed",
                         (int)changed, "everywhere",
                         waited ? json_boolean(code == CLI_OK) : json_null(),
                         "elapsed_ms", (json_int_t)elapsed_ms));
        return code;
    }
    fprintf(c->out, "%s: version %llu is %s%s (%lld ms)\n", service->text,
            (unsigned long long)version,
            changed ? "accepted" : "in force already, nothing to change",
            !waited          ? "; give --daemon to wait for the members"
            : code == CLI_OK ? ", and in force on every member"
                             : "",
            (long long)elapsed_ms);
    return code;
}

static bool
json_texts_equal(struct cw_str a, struct cw_str b)
{
    json_t *x = json_loadb(a.ptr, a.len, 0, NULL);
    json_t *y = json_loadb(b.ptr, b.len, 0, NULL);
    bool same = x != NULL && json_equal(x, y) != 0;
    json_decref(x);
    json_decref(y);
    return same;
}

static int
apply_doc(struct cli *c, struct cli_log *l, const struct cw_name *service,
          struct cw_str text)
{
    cw_ms started = c->clock.now(c->clock.ctx);
    const struct cw_doc_entry *d =
        cw_state_doc(&l->state, cw_name_str(service));
    uint64_t current = d == NULL ? 0 : d->version;
    uint64_t base = c->has_base ? c->base : current;
    if (base == current && d != NULL &&
        json_texts_equal(text, (struct cw_str){d->json, d->json_len})) {
        return report_applied(c, l, service, current, false, started);
    }
    struct cw_record r;
    memset(&r, 0, sizeof(r));
    r.type = CW_REC_DOC;
    make_id(c, &r.id);
    (void)cw_name_set(&r.by, cw_str_from(c->by));
    r.time = c->clock.wall(c->clock.ctx);
    r.u.doc.service = *service;
    r.u.doc.base = base;
    r.u.doc.json = text;
    int code = append_and_find(c, l, &r);
    if (code != CLI_OK) {
        return code;
    }
    const struct cw_edit_entry *e = find_edit(&l->state, &r.id);
    if (e == NULL) {
        fprintf(c->err, "cuminwalk: the log's record %s is not an edit\n",
                r.id.text);
        return CLI_ERROR;
    }
    if (!e->accepted) {
        return report_refusal(c, l, e);
    }
    return report_applied(c, l, service, e->offset, true, started);
}

int
cli_apply(struct cli *c)
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
        code = apply_doc(c, &l, &doc.service, cw_buf_str(&text));
    }
    cli_log_finish(&l);
    cw_doc_finish(&doc);
    cw_buf_finish(&text);
    return code;
}
