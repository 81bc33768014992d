/* The scheduler role of this daemon: the takeover when the store assigns it,
 * its proofs and its end. */
#include "member_int.h"

#include <stdlib.h>
#include <string.h>

/* Epochs reserved for the takeovers in one generation of the group. */
#define EPOCHS_PER_GENERATION 1000
/* Appends of claims in one takeover. */
#define CLAIMS_MAX 8
/* Delay before the next join after a failed takeover. */
#define TAKEOVER_RETRY_MS 200
#define STORE_TIMEOUT_MS 900

static void load_jobs_page(struct cw_jobd *d);
static void claim_epoch(struct cw_jobd *d);
static void send_claim(struct cw_jobd *d);

bool
cw_member_lease_valid(const struct cw_jobd *d, cw_ms now)
{
    return d->role == CW_ROLE_SCHEDULER && !d->proof_due &&
           now < d->member_valid_until;
}

cw_ms
cw_member_renewals_left(const struct cw_jobd *d, cw_ms now)
{
    cw_ms left = d->member_valid_until - now + CW_RENEWAL_GRACE_MS;

    return d->role == CW_ROLE_SCHEDULER && !d->proof_due && left > 0 ? left
                                                                     : 0;
}

void
cw_member_require_proof(struct cw_jobd *d)
{
    d->proof_due = true;
    if (d->role == CW_ROLE_SCHEDULER) {
        /* Not a batch in flight: the store answers a repeat of it as it did
         * before the gap. */
        d->proof_batch = cw_sched_request_proof(d->sched);
        cw_jobd_count(d, "cuminwalk_proofs_total", "gap");
        cw_commit_schedule(d);
    }
}

void
cw_member_committed(struct cw_jobd *d, uint64_t batch)
{
    if (d->proof_due && d->proof_batch != 0 && batch >= d->proof_batch) {
        d->proof_due = false;
        cw_log(CW_INFO, "role_proved", "epoch=%llu generation=%llu",
               (unsigned long long)d->epoch,
               (unsigned long long)d->generation);
    }
}

void
cw_member_step_down(struct cw_jobd *d, const char *why)
{
    if (d->role == CW_ROLE_FOLLOWER) {
        return;
    }
    cw_log(d->stopping ? CW_INFO : CW_WARN, "scheduler_end",
           "epoch=%llu reason=%s ms=%lld", (unsigned long long)d->epoch, why,
           (long long)(cw_jobd_now(d) - d->role_since));
    d->term++;
    d->role = CW_ROLE_FOLLOWER;
    d->proof_due = false;
    d->proof_batch = 0;
    d->scheduler.len = 0;
    d->scheduler.text[0] = '\0';
    d->scheduler_query_due = 0;
    cw_forward_role_changed(d);
    cw_fleet_close(d);
    cw_agents_close(d);
    cw_commit_reset(d);
    cw_calls_abandon(d);
    if (d->sched != NULL) {
        cw_sched_finish(d->sched);
        free(d->sched);
        d->sched = NULL;
    }
    d->workers_loaded = false;
    d->workers_reading = false;
    d->workers_read_due = 0;
    d->load_after_key.len = 0;
}

/* ---- takeover ---- */

static void
takeover_failed(struct cw_jobd *d, const char *step, enum cw_status s)
{
    cw_log(CW_WARN, "takeover_failed", "epoch=%llu step=%s status=%s",
           (unsigned long long)d->epoch, step, cw_status_name(s));
    cw_member_step_down(d, "takeover_failed");
    d->next_join_at = cw_jobd_now(d) + TAKEOVER_RETRY_MS;
}

static void
become_scheduler(struct cw_jobd *d, cw_ms now)
{
    d->sched->epoch = d->epoch;
    cw_sched_loaded(d->sched, now);
    if (d->config.version > 0) {
        cw_sched_set_tenants(d->sched, d->config.tenants,
                             d->config.tenant_count, now);
    }
    d->role = CW_ROLE_SCHEDULER;
    d->scheduler = d->settings.peer_listen;
    cw_forward_role_changed(d);
    cw_log(CW_INFO, "scheduler_begin", "epoch=%llu jobs=%zu ms=%lld",
           (unsigned long long)d->epoch, d->sched->job_count,
           (long long)(now - d->role_since));
    cw_jobd_record_ms(d, "cuminwalk_takeover_ms", "", now - d->role_since);
    cw_fleet_open(d);
    /* A follower's read may have waited on a connection that went dead. */
    cw_watch_operators_again(d);
    cw_watch_workers(d, now);
    cw_commit_schedule(d);
    if (d->proof_due) {
        cw_member_require_proof(d);
    }
}

static void
init_sched(struct cw_jobd *d)
{
    struct cw_sched_limits limits = {
        .status_ms = d->settings.status_ms,
        .lease_ms = d->settings.lease_ms,
        .max_hold_ms = d->settings.max_hold_ms,
        .order_late_ms = d->settings.order_late_ms,
        .renewals_ms = d->settings.member_ttl_ms + CW_RENEWAL_GRACE_MS,
        .share_window_ms = d->settings.share_window_ms,
        .share_overage = d->settings.share_overage,
        .share_slack = d->settings.share_slack,
        .harm_ms = d->settings.harm_ms,
        .interference = d->settings.interference,
    };

    cw_sched_init(d->sched, &limits, &cw_agent_ops, d);
    d->sched->checks_starts = d->ports.exec.check != NULL;
    cw_jobd_watch_wall(d, cw_jobd_now(d));
    d->sched->wall_offset = d->wall.offset;
}

static const struct cw_store_record *
find_claim(const struct cw_store_page *p)
{
    for (size_t i = 0; i < p->count; i++) {
        if (cw_str_eq(p->records[i].key, CW_LIT(CW_CLAIM_KEY))) {
            return &p->records[i];
        }
    }
    return NULL;
}

/* Checks whether the claim that the store holds (NULL: none) is ours. When it
 * isn't, a higher epoch is claimed, or the takeover has failed. */
static bool
check_claim(struct cw_jobd *d, const struct cw_store_record *r)
{
    struct cw_claim stored = {0};
    bool found = r != NULL && cw_claim_decode(&stored, r->value) == CW_OK;
    enum cw_claim_result res = cw_claim_check(
        &d->claim, found ? &stored : NULL, d->claim_status == CW_OK);

    if (res == CW_CLAIM_HELD) {
        d->claim_held = true;
        return true;
    }
    cw_log(CW_WARN,
           res == CW_CLAIM_REPLACED ? "epoch_superseded" : "epoch_in_use",
           "epoch=%llu append=%s used_by=%s used_epoch=%llu "
           "used_generation=%llu",
           (unsigned long long)d->epoch, cw_status_name(d->claim_status),
           found ? stored.daemon.text : "-", (unsigned long long)stored.epoch,
           (unsigned long long)stored.generation);
    if (res == CW_CLAIM_REPLACED) {
        takeover_failed(d, "claim", CW_ERR_FENCED);
        return false;
    }
    if (found && stored.epoch >= d->next_epoch) {
        d->next_epoch = stored.epoch + 1;
    }
    if (d->claims_left == 0) {
        takeover_failed(d, "claim", CW_ERR_CONFLICT);
        return false;
    }
    cw_sched_finish(d->sched);
    init_sched(d);
    claim_epoch(d);
    return false;
}

static void
on_jobs_page(void *arg, enum cw_status s, const struct cw_store_page *p)
{
    struct cw_jobd *d = cw_term_ctx_release(arg);
    const struct cw_store_record *claim;
    bool more;
    cw_ms now;

    if (d == NULL || d->role != CW_ROLE_TAKEOVER) {
        return;
    }
    if (s != CW_OK) {
        takeover_failed(d, "jobs", s);
        return;
    }
    more = p->more && p->count > 0;
    claim = find_claim(p);
    if (!d->claim_held && (claim != NULL || !more) && !check_claim(d, claim)) {
        return;
    }
    now = cw_jobd_now(d);
    for (size_t i = 0; i < p->count; i++) {
        enum cw_status st = cw_sched_load(d->sched, p->records[i].key,
                                          p->records[i].value, now);

        if (st != CW_OK) {
            cw_log(CW_ERROR, "record_invalid", "key=%.*s bytes=%zu status=%s",
                   CW_FMT(p->records[i].key), p->records[i].value.len,
                   cw_status_name(st));
        }
    }
    if (more) {
        (void)cw_watch_next_page(&d->load_after_key, p);
        load_jobs_page(d);
        return;
    }
    become_scheduler(d, now);
}

static void
load_jobs_page(struct cw_jobd *d)
{
    struct cw_str after = {d->load_after_key.text, d->load_after_key.len};

    d->ports.store.read_latest(d->ports.ctx, CW_STREAM_JOBS, after,
                               STORE_TIMEOUT_MS, NULL, on_jobs_page,
                               cw_term_ctx_new(d));
}

static void
on_claim_answer(void *arg, enum cw_status s)
{
    struct cw_jobd *d = cw_term_ctx_release(arg);

    if (d == NULL || d->role != CW_ROLE_TAKEOVER) {
        return;
    }
    if (s == CW_ERR_UNKNOWN && d->claims_left > 0) {
        send_claim(d); /* the same bytes and number: stored once at most */
        return;
    }
    if (s != CW_OK && s != CW_ERR_FENCED && s != CW_ERR_CONFLICT) {
        takeover_failed(d, "fence", s);
        return;
    }
    d->claim_status = s;
    d->claim_held = false;
    d->load_after_key.len = 0;
    load_jobs_page(d);
}

static void
send_claim(struct cw_jobd *d)
{
    d->claims_left--;
    d->ports.store.append(d->ports.ctx, &d->batch, d->epoch, d->sequence,
                          STORE_TIMEOUT_MS, on_claim_answer,
                          cw_term_ctx_new(d));
}

static uint64_t
new_nonce(struct cw_jobd *d)
{
    uint64_t n = cw_hash_mix(cw_rng_next(&d->rng), uv_hrtime());

    return cw_hash_mix(n, (uint64_t)uv_os_getpid());
}

/* Claims an epoch that this process has neither used nor seen in use. */
static void
claim_epoch(struct cw_jobd *d)
{
    uint64_t first = d->generation * EPOCHS_PER_GENERATION;
    struct cw_buf value;

    d->epoch = d->next_epoch > first ? d->next_epoch : first;
    d->next_epoch = d->epoch + 1;
    d->takeover_attempts++;
    d->sequence = 1;
    d->claim = (struct cw_claim){d->epoch, d->generation, new_nonce(d),
                                 d->settings.daemon};
    cw_buf_init(&value);
    cw_claim_encode(&d->claim, &value);
    cw_buf_clear(&d->batch.bytes);
    d->batch.count = 0;
    d->ports.store.batch_add(d->ports.ctx, &d->batch, CW_LIT(CW_CLAIM_KEY),
                             cw_buf_str(&value));
    CW_INVARIANT(!value.failed && !d->batch.bytes.failed);
    cw_buf_finish(&value);
    cw_log(CW_INFO, "takeover",
           "epoch=%llu generation=%llu attempt=%llu former=%s",
           (unsigned long long)d->epoch, (unsigned long long)d->generation,
           (unsigned long long)d->takeover_attempts, d->scheduler.text);
    send_claim(d);
}

void
cw_member_start_takeover(struct cw_jobd *d, cw_ms now)
{
    d->sched = calloc(1, sizeof(*d->sched));
    if (d->sched == NULL) {
        return;
    }
    d->term++;
    d->role = CW_ROLE_TAKEOVER;
    d->role_since = now;
    if (d->generation != d->takeover_generation) {
        d->takeover_generation = d->generation;
        d->takeover_attempts = 0;
    }
    init_sched(d);
    d->claims_left = CLAIMS_MAX;
    claim_epoch(d);
}
