/* Worker reports and worker calls of a placement cell. */
#include "ctl_place.h"

#include <stdlib.h>

#define REPORT_INTERVAL_MS (2 * CW_SECOND)

void
place_schedule_full_report(struct place_cell *c, cw_ms now)
{
    c->full_report_at = now + c->place.params.absent_ms + REPORT_INTERVAL_MS;
}

/* ---- reports ----------------------------------------------------------- */

/* Stops a reported task that the cell has not placed on that worker: the stop
 * call was lost, or the job was removed from its document while the cell had
 * no holder. It waits until all our records are read back, so that no outcome
 * is lost with the worker's entry. It skips starts beyond the offset that was
 * read, so that a former holder never stops a task that the next one started.
 * A checkpoint stays until the next start. */
static void
stop_leftover_task(struct place_cell *c, struct cw_str worker,
                   const struct cw_task_report *r)
{
    const struct cw_place_task *t =
        cw_place_task(&c->place, cw_name_str(&r->task));
    bool placed = t != NULL && t->worker != NULL && t->fence == r->fence;
    if (!placed && c->pending == NULL && r->fence < c->next_offset &&
        r->state != CW_TASK_CHECKPOINTED) {
        place_call_stop(c, cw_name_str(&r->task), worker, r->fence);
    }
}

static void
apply_report(struct place_cell *c, const struct cw_worker_report *r, cw_ms now)
{
    struct cw_place_task_report *tasks =
        calloc(r->task_count + 1, sizeof(*tasks));
    if (tasks == NULL) {
        return;
    }
    for (size_t i = 0; i < r->task_count; i++) {
        const struct cw_task_report *t = &r->tasks[i];
        tasks[i] = (struct cw_place_task_report){
            .task = cw_name_str(&t->task),
            .fence = t->fence,
            .cpu_milli = t->cpu_milli,
            .memory_mb = t->memory_mb,
        };
        switch (t->state) {
        case CW_TASK_RUNNING:
            tasks[i].state = CW_REPORTED_RUNNING;
            break;
        case CW_TASK_DONE:
            tasks[i].state = CW_REPORTED_DONE;
            break;
        case CW_TASK_FAILED:
            tasks[i].state = CW_REPORTED_FAILED;
            break;
        case CW_TASK_CHECKPOINTED:
            tasks[i].state = CW_REPORTED_CHECKPOINTED;
            break;
        }
    }
    struct cw_size size = {r->cpu_milli, r->memory_mb, r->accelerators};
    cw_place_worker_report(&c->place, cw_name_str(&r->worker),
                           cw_name_str(&r->rack), size, tasks, r->task_count,
                           now, place_run_action, c);
    free(tasks);
    for (size_t i = 0; i < r->task_count; i++) {
        stop_leftover_task(c, cw_name_str(&r->worker), &r->tasks[i]);
    }
}

static void
on_reports(void *arg, enum cw_status s, uint64_t version, size_t count,
           const struct cw_worker_report *reports)
{
    struct place_call *call = arg;
    struct place_cell *c = call->cell;
    if (!place_call_end(call)) {
        return;
    }
    c->reading_reports = false;
    if (s != CW_OK) {
        return;
    }
    cw_ms now = cw_daemon_now(c->ctl->d);
    for (size_t i = 0; i < count; i++) {
        apply_report(c, &reports[i], now);
    }
    c->report_version = version;
}

void
place_reports_tick(struct place_cell *c, cw_ms now)
{
    struct cw_daemon *d = c->ctl->d;
    if (c->reading_reports || now - c->reports_read_at < REPORT_INTERVAL_MS) {
        return;
    }
    struct place_call *call = place_call_begin(c);
    if (call == NULL) {
        return;
    }
    c->reading_reports = true;
    c->reports_read_at = now;
    if (c->full_report_at != 0 && now >= c->full_report_at) {
        c->full_report_at = 0;
        c->report_version = 0;
    }
    d->worker.get_reports(d->worker.ctx, c->index, (uint32_t)c->ctl->count,
                          c->report_version, on_reports, call);
}

/* ---- calls -------------------------------------------------------------- */

static void
on_start_answer(struct place_cell *c, const struct place_call *call,
                enum cw_status s)
{
    if (s == CW_OK) {
        return;
    }
    if (s == CW_ERR_UNKNOWN) {
        place_schedule_full_report(c, cw_daemon_now(c->ctl->d));
        return;
    }
    struct cw_str task = cw_name_str(&call->task);
    place_queue_record(c, "ended",
                       json_pack("{ss,sI,ss}", "task", call->task.text,
                                 "attempt", (json_int_t)call->attempt,
                                 "result", cw_status_name(s)),
                       true);
    cw_place_start_failed(&c->place, task, call->attempt,
                          cw_daemon_now(c->ctl->d));
}

static void
on_call_answer(void *arg, enum cw_status s)
{
    struct place_call *call = arg;
    struct place_call copy = *call;
    struct place_cell *c = call->cell;
    if (!place_call_end(call)) {
        return;
    }
    if (s != CW_OK) {
        cw_log(CW_WARN, "worker_call",
               "cell=%u worker=%s task=%s call=%d status=%s", c->index,
               copy.worker.text, copy.task.text, copy.kind, cw_status_name(s));
    }
    if (copy.kind == CW_WORKER_START) {
        on_start_answer(c, &copy, s);
    }
    if (copy.kind == CW_WORKER_RENEW) {
        cw_place_renew_answered(&c->place, cw_name_str(&copy.worker),
                                s == CW_OK);
    }
}

/* Ends the renewal in progress, so that the next one becomes due: no answer
 * will come for a call that was not sent. */
static void
call_not_sent(struct place_cell *c, enum cw_worker_call kind,
              const struct cw_task_order *order)
{
    if (kind == CW_WORKER_RENEW) {
        cw_place_renew_answered(&c->place, cw_str_from(order->worker), false);
    }
}

/* Sends a call unless the membership is unconfirmed: a daemon that was paused
 * must not act for cells that it may no longer hold. */
static void
send_call(struct place_cell *c, enum cw_worker_call kind,
          const struct cw_task_order *order, uint32_t attempt)
{
    struct cw_daemon *d = c->ctl->d;
    if (!cw_daemon_confirmed(d, cw_daemon_now(d))) {
        cw_log(CW_WARN, "worker_call_withheld", "cell=%u worker=%s task=%s",
               c->index, order->worker, order->task);
        call_not_sent(c, kind, order);
        return;
    }
    struct place_call *call = place_call_begin(c);
    if (call == NULL) {
        call_not_sent(c, kind, order);
        return;
    }
    call->kind = kind;
    call->attempt = attempt;
    cw_name_set(&call->task, cw_str_from(order->task));
    cw_name_set(&call->worker, cw_str_from(order->worker));
    d->worker.call(d->worker.ctx, kind, order, on_call_answer, call);
}

void
place_call_start(struct place_cell *c, const struct cw_place_task *t,
                 struct cw_str worker)
{
    struct cw_name name;
    cw_name_set(&name, worker);
    struct cw_task_order order = {
        .worker = name.text,
        .task = t->name.text,
        .fence = t->fence,
        .lease_ms = c->place.params.lease_ms,
        .cpu_milli = t->allocated.cpu_milli,
        .memory_mb = t->allocated.memory_mb,
        .accelerators = t->allocated.accelerators,
        .run_ms = cw_place_run_ms(t),
    };
    send_call(c, CW_WORKER_START, &order, t->attempt);
}

void
place_call_stop(struct place_cell *c, struct cw_str task, struct cw_str worker,
                uint64_t fence)
{
    struct cw_name task_name;
    struct cw_name worker_name;
    cw_name_set(&task_name, task);
    cw_name_set(&worker_name, worker);
    if (worker_name.len == 0) {
        return;
    }
    struct cw_task_order order = {
        .worker = worker_name.text,
        .task = task_name.text,
        .fence = fence,
    };
    send_call(c, CW_WORKER_STOP, &order, 0);
}

/* ---- actions ------------------------------------------------------------ */

static void
send_task_call(struct place_cell *c, enum cw_worker_call kind,
               const struct cw_place_action *a)
{
    struct cw_name worker;
    cw_name_set(&worker, a->worker);
    struct cw_task_order order = {
        .worker = worker.text,
        .task = a->task == NULL ? "*" : a->task->name.text,
        .fence = a->task == NULL ? 0 : a->task->fence,
        .lease_ms = c->place.params.lease_ms,
    };
    send_call(c, kind, &order, a->task == NULL ? 0 : a->task->attempt);
}

static void
queue_start_record(struct place_cell *c, const struct cw_place_action *a)
{
    place_queue_record(c, "start",
                       json_pack("{ss,ss%,sI,sI,sI,sI}", "task",
                                 a->task->name.text, "worker", a->worker.ptr,
                                 a->worker.len, "attempt",
                                 (json_int_t)a->task->attempt, "cpu_milli",
                                 (json_int_t)a->size.cpu_milli, "memory_mb",
                                 (json_int_t)a->size.memory_mb, "accelerators",
                                 (json_int_t)a->size.accelerators),
                       false);
}

static void
queue_outcome_record(struct place_cell *c, const char *type,
                     const struct cw_place_action *a)
{
    const char *worker = a->worker.ptr == NULL ? "" : a->worker.ptr;
    place_queue_record(
        c, type,
        json_pack("{ss,ss%,sI,sI,ss}", "task", a->task->name.text, "worker",
                  worker, a->worker.len, "attempt",
                  (json_int_t)a->task->attempt, "fence",
                  (json_int_t)a->task->fence, "result", a->text),
        true);
}

void
place_run_action(void *ctx, const struct cw_place_action *a)
{
    struct place_cell *c = ctx;
    char quoted[CW_QUOTED_MAX];
    switch (a->kind) {
    case CW_PLACE_START:
        queue_start_record(c, a);
        break;
    case CW_PLACE_RENEW:
        send_task_call(c, CW_WORKER_RENEW, a);
        break;
    case CW_PLACE_CHECKPOINT:
        send_task_call(c, CW_WORKER_CHECKPOINT, a);
        break;
    case CW_PLACE_THROTTLE:
        send_task_call(c, CW_WORKER_THROTTLE, a);
        break;
    case CW_PLACE_STOP:
        send_task_call(c, CW_WORKER_STOP, a);
        break;
    case CW_PLACE_RECORD_ENDED:
        queue_outcome_record(c, "ended", a);
        break;
    case CW_PLACE_RECORD_LOST:
        queue_outcome_record(c, "lost", a);
        break;
    case CW_PLACE_NOTIFY:
        place_queue_record(
            c, "told",
            json_pack("{ss,ss,ss}", "task", a->task->name.text, "state",
                      cw_place_state_name(a->task->state), "reason", a->text),
            true);
        cw_log(CW_WARN, "task_refused", "cell=%u task=%s state=%s reason=%s",
               c->index, a->task->name.text,
               cw_place_state_name(a->task->state),
               cw_quoted(quoted, cw_str_from(a->text)));
        break;
    }
}
