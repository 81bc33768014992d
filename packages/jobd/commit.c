/* Writes the scheduler's changes to the store, one batch at a time. */
#include "cw_jobd.h"

#include <string.h>

#define COMMIT_TIMEOUT_MS 1500
#define COMMIT_RETRY_MS 100
/* New submissions are refused while a commit waits longer than this. */
#define COMMIT_SLOW_MS 700

static void send_batch(struct cw_jobd *d);

bool
cw_commit_healthy(const struct cw_jobd *d, cw_ms now)
{
    return !d->commit_busy || now - d->commit_sent_at < COMMIT_SLOW_MS;
}

static void
add_record(void *arg, struct cw_str key, struct cw_str value)
{
    struct cw_jobd *d = arg;

    d->ports.store.batch_add(d->ports.ctx, &d->batch, key, value);
}

static void
complete_commit(struct cw_jobd *d)
{
    cw_member_committed(d, d->batch_number);
    cw_sched_committed(d->sched, d->batch_number);
    cw_calls_committed(d, d->batch_number);
    cw_fleet_committed(d, d->batch_number);
}

static void
start_commit(struct cw_jobd *d)
{
    cw_ms now = cw_jobd_now(d);

    if (d->role != CW_ROLE_SCHEDULER || d->commit_busy || d->sched == NULL) {
        return;
    }
    if (d->sched->plan_due) {
        cw_sched_plan(d->sched, now);
    }
    cw_buf_clear(&d->batch.bytes);
    d->batch.count = 0;
    d->batch_number = cw_sched_flush(d->sched, add_record, d);
    if (d->batch_number == 0) {
        return;
    }
    d->last_commit_at = now;
    if (d->batch.count == 0) {
        complete_commit(d);
        return;
    }
    CW_INVARIANT(!d->batch.bytes.failed);
    d->commit_busy = true;
    d->commit_sent_at = now;
    d->sequence++;
    send_batch(d);
}

static void
on_commit_timer(uv_timer_t *t)
{
    struct cw_jobd *d = t->data;

    if (d->commit_busy) {
        send_batch(d); /* retry after a failed append */
        return;
    }
    start_commit(d);
}

static void
on_append(void *arg, enum cw_status s)
{
    struct cw_jobd *d = cw_term_ctx_release(arg);
    cw_ms now;

    if (d == NULL || !d->commit_busy) {
        return;
    }
    now = cw_jobd_now(d);
    if (s == CW_ERR_FENCED || s == CW_ERR_CONFLICT) {
        cw_member_step_down(d, cw_status_name(s));
        return;
    }
    if (s != CW_OK) {
        cw_log(CW_WARN, "commit_failed",
               "batch=%llu sequence=%llu status=%s ms=%lld",
               (unsigned long long)d->batch_number,
               (unsigned long long)d->sequence, cw_status_name(s),
               (long long)(now - d->commit_sent_at));
        uv_timer_start(&d->commit_timer, on_commit_timer, COMMIT_RETRY_MS, 0);
        return;
    }
    d->commit_busy = false;
    cw_jobd_record_ms(d, "cuminwalk_commit_ms", "", now - d->commit_sent_at);
    complete_commit(d);
    cw_commit_schedule(d);
}

static void
send_batch(struct cw_jobd *d)
{
    d->ports.store.append(d->ports.ctx, &d->batch, d->epoch, d->sequence,
                          COMMIT_TIMEOUT_MS, on_append, cw_term_ctx_new(d));
}

void
cw_commit_schedule(struct cw_jobd *d)
{
    cw_ms now = cw_jobd_now(d);
    cw_ms wait =
        d->last_commit_at + cw_loop_lag_commit_interval(&d->lag) - now;

    if (d->commit_busy || d->role != CW_ROLE_SCHEDULER ||
        uv_is_active((uv_handle_t *)&d->commit_timer)) {
        return;
    }
    uv_timer_start(&d->commit_timer, on_commit_timer,
                   wait > 0 ? (uint64_t)wait : 0, 0);
}

void
cw_commit_reset(struct cw_jobd *d)
{
    d->commit_busy = false;
    uv_timer_stop(&d->commit_timer);
}

enum cw_status
cw_commit_init(struct cw_jobd *d)
{
    d->commit_timer.data = d;
    cw_buf_init(&d->batch.bytes);
    return uv_timer_init(d->loop, &d->commit_timer) == 0 ? CW_OK : CW_ERR_IO;
}
