/* Runs the placement cells that this daemon holds: claims, documents, ticks of
 * the scheduler. */
#include "ctl_place.h"

#include <stdlib.h>
#include <string.h>

/* Scheduler interval: a small part of the 9.8 s within which urgent work has
 * to start. */
#define PLACE_TICK_MS 500

struct place_call *
place_call_begin(struct place_cell *c)
{
    struct place_call *call = calloc(1, sizeof(*call));
    if (call != NULL) {
        call->cell = c;
        call->generation = c->generation;
        c->ctl->outstanding++;
    }
    return call;
}

static void
free_ctl_place(struct cw_ctl_place *ctl)
{
    free(ctl->cells);
    free(ctl);
}

bool
place_call_end(struct place_call *call)
{
    struct place_cell *c = call->cell;
    struct cw_ctl_place *ctl = c->ctl;
    bool current = !ctl->closed && call->generation == c->generation;
    free(call);
    ctl->outstanding--;
    if (ctl->closed && ctl->outstanding == 0) {
        free_ctl_place(ctl);
    }
    return current;
}

/* Sets the task gauges of a cell, to 0 when this daemon does not hold it: its
 * holder counts the tasks. */
static void
update_metrics(struct place_cell *c, bool held)
{
    struct cw_metrics *m = &c->ctl->d->metrics;
    for (int i = CW_PLACE_WAITING; i <= CW_PLACE_CANCELLED; i++) {
        char labels[64];
        snprintf(labels, sizeof(labels), "cell=\"%u\",state=\"%s\"", c->index,
                 cw_place_state_name((enum cw_place_state)i));
        double *g = cw_metrics_gauge(m, "cuminwalk_tasks", labels);
        if (g != NULL) {
            *g = held ? (double)cw_place_count(&c->place,
                                               (enum cw_place_state)i)
                      : 0.0;
        }
    }
}

void
place_cell_drop(struct place_cell *c)
{
    if (c->phase == PLACE_IDLE) {
        return;
    }
    update_metrics(c, false);
    cw_place_finish(&c->place);
    place_stream_clear(c);
    free(c->docs);
    c->docs = NULL;
    c->doc_count = 0;
    c->phase = PLACE_IDLE;
    c->generation++;
    c->reading = false;
    c->appending = false;
    c->reading_reports = false;
    c->report_version = 0;
    c->full_report_at = 0;
    c->state_version = 0;
    c->stream_epoch = 0;
    cw_log(CW_INFO, "cell_dropped", "cell=%u epoch=%llu", c->index,
           (unsigned long long)c->own_epoch);
}

static void
claim_cell(struct place_cell *c, cw_ms now)
{
    struct cw_daemon *d = c->ctl->d;
    struct cw_place_params params = cw_place_defaults();
    if (cw_place_init(&c->place, &params) != CW_OK) {
        cw_log(CW_ERROR, "cell_failed", "cell=%u reason=\"%s\"", c->index,
               c->place.msg);
        return;
    }
    c->phase = PLACE_CLAIMING;
    c->own_epoch = d->state.member_epoch;
    c->next_offset = 1;
    c->carried_at = now;
    place_queue_record(
        c, "claim",
        json_pack("{sI}", "incarnation", (json_int_t)d->incarnation), true);
    cw_log(CW_INFO, "cell_claimed", "cell=%u epoch=%llu", c->index,
           (unsigned long long)c->own_epoch);
}

/* ---- documents -------------------------------------------------------- */

/* Tasks are distributed over the cells by the hash of their names. */
static bool
is_in_cell(void *ctx, struct cw_str task)
{
    const struct place_cell *c = ctx;
    return cw_hash(task, 0) % c->ctl->count == c->index;
}

static struct place_doc *
find_or_add_doc(struct place_cell *c, const struct cw_name *service)
{
    for (size_t i = 0; i < c->doc_count; i++) {
        if (cw_name_eq(&c->docs[i].service, service)) {
            return &c->docs[i];
        }
    }
    struct place_doc *grown =
        realloc(c->docs, (c->doc_count + 1) * sizeof(*grown));
    if (grown == NULL) {
        return NULL;
    }
    c->docs = grown;
    struct place_doc *e = &grown[c->doc_count++];
    *e = (struct place_doc){*service, 0};
    return e;
}

/* Sets a team's quota: the sum over its documents, split evenly between the
 * cells. */
static void
sync_team_quota(struct place_cell *c, const struct cw_name *team)
{
    const struct cw_state *s = &c->ctl->d->state;
    struct cw_size sum = {0, 0, 0};
    uint32_t cells = (uint32_t)c->ctl->count;
    for (size_t i = 0; i < s->doc_count; i++) {
        const struct cw_doc *doc = &s->docs[i]->doc;
        if (cw_name_eq(&doc->team, team)) {
            sum.cpu_milli += doc->quota_cpu_milli;
            sum.memory_mb += doc->quota_memory_mb;
            sum.accelerators += doc->quota_accelerators;
        }
    }
    struct cw_size share = {(sum.cpu_milli + cells - 1) / cells,
                            (sum.memory_mb + cells - 1) / cells,
                            (sum.accelerators + cells - 1) / cells};
    cw_place_set_team_quota(&c->place, cw_name_str(team), share);
}

static void
record_unlisted(void *ctx, struct cw_str job)
{
    place_queue_record(ctx, "unlisted",
                       json_pack("{ss%}", "job", job.ptr, job.len), true);
}

static void
sync_documents(struct place_cell *c, cw_ms now)
{
    const struct cw_state *s = &c->ctl->d->state;
    if (c->state_version == s->version) {
        return;
    }
    c->state_version = s->version;
    for (size_t i = 0; i < s->doc_count; i++) {
        const struct cw_doc_entry *e = s->docs[i];
        struct place_doc *known = find_or_add_doc(c, &e->doc.service);
        if (known == NULL || known->version == e->version) {
            continue;
        }
        known->version = e->version;
        sync_team_quota(c, &e->doc.team);
        cw_place_each_unlisted(&c->place, &e->doc, record_unlisted, c);
        if (cw_place_apply_document(&c->place, &e->doc, is_in_cell, c, now) !=
            CW_OK) {
            cw_log(CW_ERROR, "cell_document", "cell=%u reason=\"%s\"",
                   c->index, c->place.msg);
        }
    }
}

/* ---- ticks ------------------------------------------------------------ */

/* While the log is unavailable the membership cannot change, so a confirmed
 * holder remains the holder. It renews the leases, because every task would
 * end after 30 s otherwise. */
static void
renew_leases(struct place_cell *c, cw_ms now)
{
    if (c->phase == PLACE_ACTIVE && now - c->ticked_at >= PLACE_TICK_MS) {
        c->ticked_at = now;
        cw_place_renew_leases(&c->place, now, place_run_action, c);
    }
}

static void
tick_cell(struct place_cell *c, cw_ms now)
{
    struct cw_daemon *d = c->ctl->d;
    bool holds = cw_daemon_holds(d, cw_str_from(c->scope), now);
    /* A holder whose membership is unconfirmed keeps its state but does not
     * act: the claim records in the stream decide whether it is still the
     * holder. */
    const struct cw_member_entry *holder =
        cw_state_holder(&d->state, cw_str_from(c->scope));
    bool lost = holder == NULL ||
                !cw_str_eq(cw_name_str(&holder->daemon), cw_daemon_name(d)) ||
                holder->incarnation != d->incarnation;
    if (lost || d->stopping) {
        place_cell_drop(c);
        return;
    }
    if (!holds) {
        return;
    }
    if (!cw_daemon_log_available(d, now)) {
        renew_leases(c, now);
        return;
    }
    if (c->phase == PLACE_IDLE) {
        claim_cell(c, now);
        return;
    }
    sync_documents(c, now);
    place_stream_tick(c, now);
    if (c->phase != PLACE_ACTIVE) {
        return;
    }
    place_reports_tick(c, now);
    if (now - c->ticked_at >= PLACE_TICK_MS && c->report_version > 0) {
        c->ticked_at = now;
        cw_place_tick(&c->place, now, place_run_action, c);
        update_metrics(c, true);
    }
    if (c->retention_ms > 0 && now - c->carried_at >= c->retention_ms / 3) {
        c->carried_at = now;
        place_carry_tasks(c);
    }
}

void
cw_ctl_place_init(struct cw_daemon *d)
{
    /* Without worker control there is nothing to schedule on. */
    if (d->worker.get_reports == NULL) {
        return;
    }
    struct cw_ctl_place *ctl = calloc(1, sizeof(*ctl));
    if (ctl == NULL) {
        return;
    }
    ctl->d = d;
    ctl->count = d->settings->cells;
    ctl->cells = calloc(ctl->count, sizeof(*ctl->cells));
    if (ctl->cells == NULL) {
        free(ctl);
        return;
    }
    for (size_t i = 0; i < ctl->count; i++) {
        struct place_cell *c = &ctl->cells[i];
        c->ctl = ctl;
        c->index = (uint32_t)i;
        snprintf(c->scope, sizeof(c->scope), "cell/%u", c->index);
        snprintf(c->stream, sizeof(c->stream), "jobs-%u", c->index);
    }
    d->ctl_place = ctl;
}

void
cw_ctl_place_tick(struct cw_daemon *d, cw_ms now)
{
    struct cw_ctl_place *ctl = d->ctl_place;
    for (size_t i = 0; ctl != NULL && i < ctl->count; i++) {
        tick_cell(&ctl->cells[i], now);
    }
}

void
cw_ctl_place_finish(struct cw_daemon *d)
{
    struct cw_ctl_place *ctl = d->ctl_place;
    if (ctl == NULL) {
        return;
    }
    d->ctl_place = NULL;
    for (size_t i = 0; i < ctl->count; i++) {
        place_cell_drop(&ctl->cells[i]);
    }
    ctl->closed = true;
    if (ctl->outstanding == 0) {
        free_ctl_place(ctl);
    }
}
