/* Encodes and loads the records of jobs in the store, in protobuf. */
#include "cw_claim.h"
#include "cw_jobs_int.h"

#include "cw_wire.pb-c.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Keys of specs sort before those of progress, so that reading in the order of
 * keys loads a job's spec first. */
#define KIND_SPEC 'j'
#define KIND_PROGRESS 'p'
/* Never has a value: a record that drops it changes nothing. */
#define PROOF_KEY "proof"

static size_t
job_key(char out[CW_JOB_KEY_MAX], char kind, uint64_t id)
{
    return (size_t)snprintf(out, CW_JOB_KEY_MAX, "%c%016" PRIx64, kind, id);
}

static void
pack_message(struct cw_buf *out, size_t len,
             size_t (*packer)(const ProtobufCMessage *m, uint8_t *to),
             const ProtobufCMessage *m)
{
    uint8_t *p = malloc(len + 1);

    if (p == NULL) {
        out->failed = true;
        return;
    }
    cw_buf_add(out, p, packer(m, p));
    free(p);
}

static void
step_to_wire(const struct cw_step *in, Cuminwalk__JobStep *out,
             uint32_t *after)
{
    cuminwalk__job_step__init(out);
    out->count = in->count;
    out->cpu_milli = in->need.cpu_milli;
    out->memory_mb = in->need.memory_mb;
    out->accelerators = in->need.accelerators;
    out->estimate_ms = in->estimate_ms;
    out->after = after;
    for (uint32_t i = 0; i < CW_JOB_STEPS_MAX; i++) {
        if ((in->after >> i & 1) != 0) {
            out->after[out->n_after++] = i;
        }
    }
    out->checkpoints = in->checkpoints;
    out->gang = in->gang;
    out->same_rack = in->same_rack;
    out->speculative = in->speculative;
    out->lasting = in->lasting;
    out->backfill = in->backfill;
    out->required_label = (char *)in->required_label.text;
    out->data_rack = (char *)in->data_rack.text;
    out->max_per_worker = in->max_per_worker;
    out->image = (char *)in->image.text;
    out->target_ms = in->target_ms;
    out->may_miss = in->may_miss;
}

void
cw_job_spec_to_wire(const struct cw_job_spec *s, struct cw_job_spec_wire *w)
{
    Cuminwalk__JobSpec *m = &w->msg;

    cuminwalk__job_spec__init(m);
    m->id = s->id;
    m->tenant = (char *)s->rules.tenant.text;
    m->over_share = s->over_share;
    m->queue = (char *)s->rules.queue.text;
    m->service = (char *)s->rules.service.text;
    m->priority = s->rules.priority;
    m->max_attempts = s->rules.max_attempts;
    m->stretch = s->rules.stretch;
    m->slo_ms = s->rules.slo_ms;
    m->accepted_wall = s->accepted_wall;
    m->spec = s->text;
    m->repeats = s->repeats;
    m->first_wall = s->first_wall;
    m->interval_ms = s->interval_ms;
    for (size_t i = 0; i < s->step_count; i++) {
        step_to_wire(&s->steps[i], &w->steps[i], w->after[i]);
        w->step_ptrs[i] = &w->steps[i];
    }
    m->n_steps = s->step_count;
    m->steps = w->step_ptrs;
}

static void
spec_encode(const struct cw_job_spec *s, struct cw_buf *out)
{
    struct cw_job_spec_wire *w = malloc(sizeof(*w));

    if (w == NULL) {
        out->failed = true;
        return;
    }
    cw_job_spec_to_wire(s, w);
    pack_message(out, cuminwalk__job_spec__get_packed_size(&w->msg),
                 protobuf_c_message_pack, &w->msg.base);
    free(w);
}

static bool
step_from_wire(const Cuminwalk__JobStep *in, struct cw_step *out)
{
    out->count = in->count;
    out->need.cpu_milli = in->cpu_milli;
    out->need.memory_mb = in->memory_mb;
    out->need.accelerators = in->accelerators;
    out->estimate_ms = in->estimate_ms;
    for (size_t i = 0; i < in->n_after; i++) {
        if (in->after[i] >= CW_JOB_STEPS_MAX) {
            return false;
        }
        out->after |= (uint64_t)1 << in->after[i];
    }
    out->checkpoints = in->checkpoints;
    out->gang = in->gang;
    out->same_rack = in->same_rack;
    out->speculative = in->speculative;
    out->lasting = in->lasting;
    out->backfill = in->backfill;
    out->max_per_worker = in->max_per_worker;
    out->target_ms = in->target_ms;
    out->may_miss = in->may_miss;
    return cw_name_set(&out->required_label,
                       cw_str_from(in->required_label)) == CW_OK &&
           cw_name_set(&out->data_rack, cw_str_from(in->data_rack)) == CW_OK &&
           cw_name_set(&out->image, cw_str_from(in->image)) == CW_OK;
}

enum cw_status
cw_job_spec_from_wire(struct cw_job_spec *s, const Cuminwalk__JobSpec *m)
{
    char msg[CW_MSG_MAX];
    bool ok;

    memset(s, 0, sizeof(*s));
    s->id = m->id;
    s->rules.priority = m->priority;
    s->rules.max_attempts = m->max_attempts;
    s->rules.stretch = m->stretch;
    s->rules.slo_ms = m->slo_ms;
    s->accepted_wall = m->accepted_wall;
    s->repeats = m->repeats;
    s->first_wall = m->first_wall;
    s->interval_ms = m->interval_ms;
    s->over_share = m->over_share;
    s->text = strdup(m->spec);
    s->steps = calloc(m->n_steps + 1, sizeof(*s->steps));
    if (s->text == NULL || s->steps == NULL) {
        cw_job_spec_finish(s);
        return CW_ERR_NOMEM;
    }
    s->text_len = strlen(s->text);
    s->step_count = m->n_steps;
    ok = cw_name_set(&s->rules.tenant, cw_str_from(m->tenant)) == CW_OK &&
         cw_name_set(&s->rules.queue, cw_str_from(m->queue)) == CW_OK &&
         cw_name_set(&s->rules.service, cw_str_from(m->service)) == CW_OK;
    for (size_t i = 0; ok && i < m->n_steps; i++) {
        ok = step_from_wire(m->steps[i], &s->steps[i]);
    }
    if (!ok || cw_job_spec_check(s, msg) != CW_OK) {
        cw_job_spec_finish(s);
        return CW_ERR_INVALID;
    }
    return CW_OK;
}

static enum cw_status
spec_decode(struct cw_job_spec *s, struct cw_str in)
{
    Cuminwalk__JobSpec *m =
        cuminwalk__job_spec__unpack(NULL, in.len, (const uint8_t *)in.ptr);
    enum cw_status st;

    memset(s, 0, sizeof(*s));
    if (m == NULL) {
        return CW_ERR_INVALID;
    }
    st = cw_job_spec_from_wire(s, m);
    cuminwalk__job_spec__free_unpacked(m, NULL);
    return st;
}

static void
progress_encode(const struct cw_job_entry *j, struct cw_buf *out)
{
    Cuminwalk__JobProgress m;
    Cuminwalk__JobTask *rows = calloc(j->task_count + 1, sizeof(*rows));
    Cuminwalk__JobTask **ptrs = calloc(j->task_count + 1, sizeof(void *));

    cuminwalk__job_progress__init(&m);
    if (rows == NULL || ptrs == NULL) {
        out->failed = true;
        free(rows);
        free(ptrs);
        return;
    }
    m.id = j->id;
    m.state = j->state;
    m.ended_wall = j->ended_wall;
    m.queue = (char *)j->queue.text;
    if (cw_job_ended(j)) {
        m.tenant = (char *)j->tenant.text;
    }
    for (size_t i = 0; !cw_job_ended(j) && i < j->task_count; i++) {
        struct cw_task *t = &j->tasks[i];
        Cuminwalk__JobTask *r = &rows[m.n_tasks];

        if (t->run == 0) {
            continue;
        }
        cuminwalk__job_task__init(r);
        r->index = (uint32_t)i;
        r->state = t->state;
        r->run = t->run;
        r->failures = t->failures;
        if (t->worker != NULL) {
            r->worker = t->worker->id.text;
            r->vm = t->worker->vm.text;
            r->started_wall = t->started_wall;
            r->born = t->born_wall;
            r->proved = t->listed || t->checked;
        }
        if (t->state != CW_RUN_DONE) {
            r->checkpoint = t->checkpoint;
        }
        ptrs[m.n_tasks++] = r;
    }
    m.tasks = ptrs;
    pack_message(out, cuminwalk__job_progress__get_packed_size(&m),
                 protobuf_c_message_pack, &m.base);
    free(rows);
    free(ptrs);
}

static void
flush_job(struct cw_job_entry *j,
          void (*put)(void *arg, struct cw_str key, struct cw_str value),
          void *arg)
{
    char key[CW_JOB_KEY_MAX];
    struct cw_str name;
    struct cw_str none = CW_LIT("");
    struct cw_buf b;

    name = (struct cw_str){key, job_key(key, KIND_SPEC, j->id)};
    cw_buf_init(&b);
    if (j->spec_dirty) {
        spec_encode(&j->spec, &b);
        CW_INVARIANT(!b.failed);
        put(arg, name, cw_buf_str(&b));
        cw_buf_clear(&b);
        j->spec_dirty = false;
    }
    else if (cw_job_ended(j) || j->expired) {
        put(arg, name, none);
    }
    (void)job_key(key, KIND_PROGRESS, j->id);
    if (!j->expired) {
        progress_encode(j, &b);
        CW_INVARIANT(!b.failed);
    }
    put(arg, name, cw_buf_str(&b));
    cw_buf_finish(&b);
}

uint64_t
cw_sched_request_proof(struct cw_sched *s)
{
    s->proof_due = true;
    return s->batch;
}

uint64_t
cw_sched_flush(struct cw_sched *s,
               void (*put)(void *arg, struct cw_str key, struct cw_str value),
               void *arg)
{
    bool acks = false;
    bool changed;

    for (struct cw_worker *w = s->acks; w != NULL && !acks; w = w->ack_next) {
        acks = w->ack_pending > w->acked && w->ack_batch == s->batch;
    }
    changed = s->dirty != NULL || cw_kv_changed(s);
    if (!changed && !acks && !s->proof_due) {
        return 0;
    }
    if (!changed && s->proof_due) {
        put(arg, CW_LIT(PROOF_KEY), CW_LIT(""));
    }
    s->proof_due = false;
    cw_kv_flush(s, put, arg);
    while (s->dirty != NULL) {
        struct cw_job_entry *j = s->dirty;

        s->dirty = j->dirty_next;
        j->dirty_next = NULL;
        j->is_dirty = false;
        flush_job(j, put, arg);
    }
    return s->batch++;
}

/* ---- loading ---- */

static void
load_task(struct cw_sched *s, struct cw_job_entry *j,
          const Cuminwalk__JobTask *r, cw_ms now)
{
    struct cw_task *t;
    struct cw_worker *w;

    if (r->index >= j->task_count) {
        return;
    }
    t = &j->tasks[r->index];
    t->run = r->run;
    t->failures = r->failures;
    t->state_since = now;
    j->started = true;
    j->begun |= r->failures > 0;
    (void)snprintf(t->checkpoint, sizeof(t->checkpoint), "%s", r->checkpoint);
    if (r->state == CW_RUN_DONE) {
        cw_task_set_state(t, CW_RUN_DONE);
        j->tasks_left[t->occurrence * j->spec.step_count + t->step]--;
        return;
    }
    if (r->worker[0] == '\0') {
        t->previous = (struct cw_run_previous){
            .run = r->run, .proof = CW_PROOF_RECORD, .proof_at = now};
        return;
    }
    w = cw_sched_worker_stub(s, cw_str_from(r->worker), j->pool, now);
    if (w != NULL) {
        cw_worker_set_vm(s, w, cw_str_from(r->vm));
        cw_task_place(t, w);
        cw_task_set_state(t, (enum cw_run_state)r->state);
        t->order_batch = 0;
        t->started_wall = r->started_wall;
        t->born_wall = r->born;
        t->proved = r->proved;
        t->listed = r->proved;
    }
}

static enum cw_status
load_progress(struct cw_sched *s, const Cuminwalk__JobProgress *m, cw_ms now)
{
    struct cw_job_entry *j = cw_sched_find_job(s, m->id);

    if (j == NULL) {
        if (m->state < CW_JOB_SUCCEEDED || m->state > CW_JOB_CANCELLED) {
            return CW_ERR_NOT_FOUND;
        }
        j = cw_sched_insert_ended(s, m->id, cw_str_from(m->queue));
        if (j == NULL) {
            return CW_ERR_NOMEM;
        }
        (void)cw_name_set(&j->tenant, cw_str_from(m->tenant));
    }
    if (m->state > CW_JOB_CANCELLED) {
        return CW_ERR_INVALID;
    }
    j->state = (uint8_t)m->state;
    if (cw_job_ended(j)) {
        j->ended_wall = m->ended_wall;
        j->ended = m->ended_wall - s->wall_offset;
        if (j->ended > now) {
            j->ended = now;
        }
        cw_job_release_tasks(s, j);
        return CW_OK;
    }
    for (size_t i = 0; i < m->n_tasks; i++) {
        load_task(s, j, m->tasks[i], now);
    }
    return CW_OK;
}

enum cw_status
cw_sched_load(struct cw_sched *s, struct cw_str key, struct cw_str value,
              cw_ms now)
{
    struct cw_job_spec spec;
    Cuminwalk__JobProgress *m;
    enum cw_status st;

    if (cw_str_eq(key, CW_LIT(CW_CLAIM_KEY)) ||
        (value.len > 0 && cw_kv_load(s, key, value) == CW_OK)) {
        return CW_OK;
    }
    if (key.len != CW_JOB_KEY_LEN || value.len == 0) {
        return CW_ERR_INVALID;
    }
    if (key.ptr[0] == KIND_SPEC) {
        st = spec_decode(&spec, value);
        if (st != CW_OK) {
            return st;
        }
        if (cw_sched_find_job(s, spec.id) != NULL ||
            cw_sched_insert(s, &spec, now) == NULL) {
            cw_job_spec_finish(&spec);
        }
        return CW_OK;
    }
    if (key.ptr[0] != KIND_PROGRESS) {
        return CW_ERR_INVALID;
    }
    m = cuminwalk__job_progress__unpack(NULL, value.len,
                                        (const uint8_t *)value.ptr);
    if (m == NULL) {
        return CW_ERR_INVALID;
    }
    st = load_progress(s, m, now);
    cuminwalk__job_progress__free_unpacked(m, NULL);
    return st;
}
