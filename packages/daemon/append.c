/* Appends to the stream config, tracked until the records are read back. */
#include "cw_modules.h"

#include <stdlib.h>
#include <string.h>

/* An append without a known outcome counts as absent when a read that began
 * this long after it does not return the record. */
#define APPEND_DEADLINE_MS (5 * CW_SECOND)

typedef void (*append_done)(void *arg, enum cw_append_outcome o,
                            uint64_t offset, const char *reason);

struct cw_append {
    struct cw_append *next;
    struct cw_appends *list;
    struct cw_name id;
    cw_ms began_at;
    bool answered; /* the log port's callback has run */
    bool resolved; /* done has run */
    append_done done;
    void *arg;
};

struct cw_appends {
    struct cw_append *first;
    bool closing;
};

struct cw_appends *
cw_appends_new(void)
{
    return calloc(1, sizeof(struct cw_appends));
}

/* Frees an entry that is resolved and to which the log port has no pointer. */
static void
free_if_unused(struct cw_append *e)
{
    struct cw_append **p;

    if (!e->resolved || !e->answered) {
        return;
    }
    for (p = &e->list->first; *p != NULL; p = &(*p)->next) {
        if (*p == e) {
            *p = e->next;
            break;
        }
    }
    free(e);
}

void
cw_appends_free(struct cw_appends *a)
{
    if (a == NULL) {
        return;
    }
    while (a->first != NULL) {
        struct cw_append *e = a->first;

        a->first = e->next;
        free(e);
    }
    free(a);
}

bool
cw_appends_empty(const struct cw_appends *a)
{
    return a->first == NULL;
}

static void
resolve_append(struct cw_append *e, enum cw_append_outcome o, uint64_t offset,
               const char *reason)
{
    if (e->resolved) {
        return;
    }
    e->resolved = true;
    if (o != CW_APPEND_ACCEPTED) {
        cw_log(CW_INFO, "append", "record=%s outcome=%s offset=%llu",
               e->id.text, cw_append_outcome_name(o),
               (unsigned long long)offset);
    }
    if (e->done != NULL) {
        e->done(e->arg, o, offset, reason);
    }
}

static void
on_append_answer(void *arg, enum cw_status s, uint64_t first)
{
    struct cw_append *e = arg;

    (void)first;
    e->answered = true;
    if (s == CW_ERR_UNAVAILABLE) {
        resolve_append(e, CW_APPEND_UNAVAILABLE, 0, "log unavailable");
    }
    else if (s == CW_ERR_INVALID || s == CW_ERR_LIMIT) {
        resolve_append(e, CW_APPEND_ABSENT, 0, "refused by the log");
    }
    free_if_unused(e);
}

static void
fill_record_header(struct cw_daemon *d, struct cw_record *r)
{
    if (r->id.len == 0) {
        char text[CW_NAME_MAX + 1];
        int n = snprintf(text, sizeof(text), "%.24s-%llx-%llx",
                         d->settings->daemon.text,
                         (unsigned long long)d->incarnation,
                         (unsigned long long)++d->record_seq);

        (void)cw_name_set(&r->id, (struct cw_str){text, (size_t)n});
    }
    r->by = d->settings->daemon;
    r->by_incarnation = d->incarnation;
    r->time = cw_daemon_wall(d);
}

void
cw_appends_send(struct cw_appends *a, struct cw_daemon *d, struct cw_record *r,
                append_done done, void *arg)
{
    struct cw_append *e = calloc(1, sizeof(*e));
    struct cw_buf out;

    fill_record_header(d, r);
    cw_buf_init(&out);
    cw_buf_add(&out, "[", 1);
    if (e == NULL || cw_record_print(r, &out) != CW_OK) {
        free(e);
        cw_buf_finish(&out);
        cw_log(CW_ERROR, "append_failed", "record=%s", r->id.text);
        if (done != NULL) {
            done(arg, CW_APPEND_UNAVAILABLE, 0, "record cannot be printed");
        }
        return;
    }
    cw_buf_add(&out, "]", 1);
    e->list = a;
    e->id = r->id;
    e->began_at = cw_daemon_now(d);
    e->done = done;
    e->arg = arg;
    e->next = a->first;
    a->first = e;
    d->log.append(d->log.ctx, "config", cw_buf_str(&out), on_append_answer, e);
    cw_buf_finish(&out);
}

void
cw_appends_record_read(struct cw_appends *a, const struct cw_name *id,
                       enum cw_apply_result result, uint64_t offset,
                       const char *reason)
{
    for (struct cw_append *e = a->first; e != NULL; e = e->next) {
        if (!e->resolved && cw_name_eq(&e->id, id)) {
            resolve_append(e,
                           result == CW_APPLY_REJECTED ? CW_APPEND_REJECTED
                                                       : CW_APPEND_ACCEPTED,
                           offset, result == CW_APPLY_REJECTED ? reason : "");
            free_if_unused(e);
            return;
        }
    }
}

void
cw_appends_end_reached(struct cw_appends *a, cw_ms began)
{
    struct cw_append *next;

    for (struct cw_append *e = a->first; e != NULL; e = next) {
        next = e->next;
        if (!e->resolved && e->answered &&
            began >= e->began_at + APPEND_DEADLINE_MS) {
            resolve_append(e, CW_APPEND_ABSENT, 0, "not in the log");
            free_if_unused(e);
        }
    }
}

const char *
cw_append_outcome_name(enum cw_append_outcome o)
{
    static const char *const names[] = {"accepted", "rejected", "absent",
                                        "unavailable"};

    return names[o];
}
