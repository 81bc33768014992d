#include "jobs_fake.h"

#include "cw_claim.h"

#include <stdlib.h>
#include <string.h>

/* A call that is answered when its timer fires. */
struct answer {
    uv_timer_t timer;
    struct fake_platform *f;
    enum { DONE, PAGE, JOIN, OWNER, START, ORDER, REPORT } kind;
    union {
        cw_store_done done;
        cw_store_page_done page;
        cw_store_join_done join;
        cw_store_owner_done owner;
        cw_start_done start;
        cw_worker_done order;
        cw_report_done report;
    } u;
    void *arg;
    enum cw_status status;
    enum cw_stream stream;
    uint64_t number;
    /* JOIN: the member is the owner; PAGE: with records; REPORT: proved */
    bool flag;
    char name[64]; /* OWNER: its name; PAGE: the last key before it */
    struct fake_worker *worker;
    struct cw_worker_conn *conn; /* of a call to a worker */
    struct answer *next;         /* in the connection's list */
};

struct cw_worker_conn {
    struct fake_platform *f;
    struct fake_worker *worker;
    struct answer *open;
    int64_t reported; /* the incarnation that has reported on it */
};

static cw_ms
fake_now(const struct fake_platform *f)
{
    return (cw_ms)uv_now(f->loop);
}

void
fake_init(struct fake_platform *f, uv_loop_t *loop)
{
    memset(f, 0, sizeof(*f));
    f->loop = loop;
    f->task_ms = 50;
    f->shortest_handover_ms = INT64_MAX;
}

void
fake_finish(struct fake_platform *f)
{
    for (size_t i = 0; i < f->record_count; i++) {
        free(f->records[i].value);
    }
}

static void
put_record(struct fake_platform *f, enum cw_stream stream, struct cw_str key,
           struct cw_str value)
{
    size_t i = 0;

    while (i < f->record_count &&
           (f->records[i].stream != stream ||
            !cw_str_eq(cw_str_from(f->records[i].key), key))) {
        i++;
    }
    CW_INVARIANT(i < FAKE_RECORDS_MAX);
    f->record_count += i == f->record_count ? 1 : 0;
    f->records[i].stream = stream;
    (void)snprintf(f->records[i].key, sizeof(f->records[i].key), "%.*s",
                   CW_FMT(key));
    free(f->records[i].value);
    f->records[i].value = malloc(value.len + 1);
    CW_INVARIANT(f->records[i].value != NULL);
    if (value.len > 0) {
        memcpy(f->records[i].value, value.ptr, value.len);
    }
    f->records[i].len = value.len;
}

void
fake_put(struct fake_platform *f, enum cw_stream stream, const char *key,
         const char *value)
{
    put_record(f, stream, cw_str_from(key), cw_str_from(value));
}

void
fake_add_worker(struct fake_platform *f, const char *service)
{
    struct fake_worker *w = &f->workers[f->worker_count++];
    char value[256];

    (void)snprintf(w->id, sizeof(w->id), "w-%zu", f->worker_count);
    w->next_end = 1;
    w->born = 1;
    (void)snprintf(value, sizeof(value),
                   "{\"service\":\"%s\",\"address\":\"127.0.0.1:9\","
                   "\"state\":\"ready\",\"capacity\":{\"cpu\":4000,"
                   "\"memMb\":4000},\"machine\":\"m-%zu\",\"born\":1}",
                   service, f->worker_count);
    fake_put(f, CW_STREAM_WORKERS, w->id, value);
}

void
fake_restart_worker(struct fake_worker *w)
{
    w->born++;
    w->fence = 0;
    w->next_end = 1;
    w->acked = 0;
    w->run_count = 0;
}

/* ---- answers ---- */

static void
on_freed(uv_handle_t *h)
{
    free(h);
}

static int
key_cmp(const void *a, const void *b)
{
    const struct cw_store_record *x = a;
    const struct cw_store_record *y = b;

    return cw_str_cmp(x->key, y->key);
}

static void
answer_page(struct answer *a)
{
    struct fake_platform *f = a->f;
    struct cw_store_record rows[FAKE_RECORDS_MAX] = {0};
    struct cw_store_page page = {.records = rows, .next = a->number};

    for (size_t i = 0; a->flag && i < f->record_count; i++) {
        if (f->records[i].stream == a->stream && f->records[i].len > 0 &&
            strcmp(f->records[i].key, a->name) > 0) {
            rows[page.count++] = (struct cw_store_record){
                cw_str_from(f->records[i].key),
                {f->records[i].value, f->records[i].len}};
        }
    }
    qsort(rows, page.count, sizeof(rows[0]), key_cmp);
    if (f->page_records > 0 && page.count > f->page_records) {
        page.count = f->page_records;
        page.more = true;
    }
    a->u.page(a->arg, a->status, &page);
}

static void
answer_report(struct answer *a)
{
    struct fake_worker *w = a->worker;
    struct cw_run_row running[FAKE_RUNS_MAX] = {0};
    struct cw_end_row ended[FAKE_RUNS_MAX] = {0};
    struct cw_run_report r = {.born_wall = w->born,
                              .clock_ms = fake_now(a->f)};

    for (size_t i = 0; i < w->run_count; i++) {
        struct fake_run *run = &w->runs[i];

        if (!run->ended && fake_now(a->f) >= run->ends_at) {
            run->ended = true;
            run->number = w->next_end++;
        }
        if (!run->ended) {
            running[r.running_count++] = run->row;
        }
        else if (run->number > w->acked) {
            ended[r.ended_count++] =
                (struct cw_end_row){run->number, run->row, CW_END_DONE};
        }
    }
    r.running = running;
    r.ended = ended;
    r.proved = a->flag;
    if (a->status == CW_OK) {
        a->conn->reported = w->born;
    }
    a->u.report(a->arg, a->status, a->status == CW_OK ? &r : NULL);
}

static void
answer_owner(struct answer *a)
{
    struct cw_str members[FAKE_MEMBERS_MAX];
    uint32_t n = 0;

    while (n < a->f->member_count) {
        members[n] = cw_str_from(a->f->members[n].name);
        n++;
    }
    a->u.owner(a->arg, a->status, cw_str_from(a->name), members, n);
}

static void
unlink_answer(struct answer *a)
{
    struct answer **link = &a->conn->open;

    while (*link != a) {
        link = &(*link)->next;
    }
    *link = a->next;
    a->worker->calls_open--;
}

static void
on_answer_due(uv_timer_t *t)
{
    struct answer *a = (struct answer *)t;

    if (a->conn != NULL) {
        unlink_answer(a);
    }
    switch (a->kind) {
    case DONE:
        a->u.done(a->arg, a->status);
        break;
    case PAGE:
        answer_page(a);
        break;
    case JOIN:
        a->u.join(a->arg, a->status, a->number, a->flag);
        break;
    case OWNER:
        answer_owner(a);
        break;
    case START:
        a->u.start(a->arg, a->status, CW_START_OK, 0);
        break;
    case ORDER:
        a->u.order(a->arg, a->status);
        break;
    case REPORT:
        answer_report(a);
        break;
    }
    uv_close((uv_handle_t *)t, on_freed);
}

#define ANSWER_MS 2
#define TIMEOUT_MS 300 /* of a call that gets no answer */

static struct answer *
new_answer(struct fake_platform *f, int kind, void *arg, cw_ms ms)
{
    struct answer *a = calloc(1, sizeof(*a));

    CW_INVARIANT(a != NULL && uv_timer_init(f->loop, &a->timer) == 0);
    a->f = f;
    a->kind = kind;
    a->arg = arg;
    uv_timer_start(&a->timer, on_answer_due, (uint64_t)ms, 0);
    return a;
}

static struct answer *
worker_answer(struct cw_worker_conn *c, int kind, void *arg, cw_ms ms)
{
    struct answer *a = new_answer(c->f, kind, arg, ms);

    a->worker = c->worker;
    a->worker->calls_open++;
    a->conn = c;
    a->next = c->open;
    c->open = a;
    return a;
}

static struct answer *
store_answer(struct fake_platform *f, int kind, void *arg)
{
    struct answer *a =
        new_answer(f, kind, arg, f->store_down ? TIMEOUT_MS : ANSWER_MS);

    a->status = f->store_down ? CW_ERR_UNKNOWN : CW_OK;
    return a;
}

/* ---- the store ---- */

static void
batch_add(void *ctx, struct cw_store_batch *b, struct cw_str key,
          struct cw_str value)
{
    uint32_t head[2] = {(uint32_t)key.len, (uint32_t)value.len};

    (void)ctx;
    cw_buf_add(&b->bytes, head, sizeof(head));
    cw_buf_add_str(&b->bytes, key);
    cw_buf_add_str(&b->bytes, value);
    b->count++;
}

static void
apply_batch(struct fake_platform *f, enum cw_stream stream,
            const struct cw_store_batch *b)
{
    const char *p = b->bytes.ptr;

    for (size_t i = 0; i < b->count; i++) {
        uint32_t head[2];

        memcpy(head, p, sizeof(head));
        put_record(f, stream, (struct cw_str){p + sizeof(head), head[0]},
                   (struct cw_str){p + sizeof(head) + head[0], head[1]});
        p += sizeof(head) + head[0] + head[1];
    }
}

/* Repeats of this many last appends get their first answer again. */
#define REPEATS_KNOWN 5

/* Checks the epoch and the sequence number as the store does. An append
 * without records sets the epoch and uses no number. */
static enum cw_status
accept_append(struct fake_platform *f, const struct cw_store_batch *b,
              uint64_t epoch, uint64_t sequence, bool *repeat)
{
    uint64_t known =
        f->epoch_appends < REPEATS_KNOWN ? f->epoch_appends : REPEATS_KNOWN;

    *repeat = false;
    if (epoch < f->epoch) {
        return CW_ERR_FENCED;
    }
    if (epoch > f->epoch) {
        f->epoch = epoch;
        f->epoch_appends = 0;
        return CW_OK;
    }
    if (b->count == 0 || f->epoch_appends == 0 ||
        sequence == f->sequence + 1) {
        return CW_OK;
    }
    *repeat = sequence <= f->sequence && f->sequence - sequence < known;
    return *repeat ? CW_OK : CW_ERR_CONFLICT;
}

static void
append(void *ctx, const struct cw_store_batch *b, uint64_t epoch,
       uint64_t sequence, cw_ms timeout, cw_store_done done, void *arg)
{
    struct fake_platform *f = ctx;
    struct answer *a = store_answer(f, DONE, arg);
    bool repeat;

    (void)timeout;
    a->u.done = done;
    if (f->store_down) {
        return;
    }
    a->status = accept_append(f, b, epoch, sequence, &repeat);
    if (a->status != CW_OK || repeat || b->count == 0) {
        return;
    }
    f->sequence = sequence;
    f->epoch_appends++;
    f->appends++;
    apply_batch(f, CW_STREAM_JOBS, b);
    if (f->rival_epoch > 0) {
        f->epoch = f->rival_epoch;
        f->epoch_appends = 0;
        f->rival_epoch = 0;
        fake_put(f, CW_STREAM_JOBS, CW_CLAIM_KEY, f->rival_claim);
    }
    if (f->lose_answers > 0) {
        f->lose_answers--;
        a->status = CW_ERR_UNKNOWN;
    }
}

static void
publish(void *ctx, const struct cw_store_batch *b, cw_ms timeout,
        cw_store_done done, void *arg)
{
    struct fake_platform *f = ctx;

    (void)timeout;
    store_answer(f, DONE, arg)->u.done = done;
    if (!f->store_down) {
        apply_batch(f, CW_STREAM_OUTCOMES, b);
    }
}

static void
read_latest(void *ctx, enum cw_stream stream, struct cw_str after,
            cw_ms timeout, size_t *received, cw_store_page_done done,
            void *arg)
{
    struct answer *a = store_answer(ctx, PAGE, arg);

    (void)received;
    (void)timeout;
    (void)snprintf(a->name, sizeof(a->name), "%.*s", CW_FMT(after));
    a->u.page = done;
    a->stream = stream;
    a->flag = true;
}

static void
read_from(void *ctx, const struct cw_store_read *read, cw_store_page_done done,
          void *arg)
{
    struct answer *a = store_answer(ctx, PAGE, arg);

    a->u.page = done;
    a->stream = read->stream;
    a->number = read->from;
}

/* The answer still comes, and is not used. */
static void
cancel_read(void *ctx, const size_t *received)
{
    (void)ctx;
    (void)received;
}

static void
expire_members(struct fake_platform *f)
{
    size_t n = 0;

    for (size_t i = 0; i < f->member_count; i++) {
        if (f->members[i].until > fake_now(f)) {
            f->members[n++] = f->members[i];
        }
    }
    f->generation += n != f->member_count ? 1 : 0;
    f->member_count = n;
}

static void
join(void *ctx, struct cw_str member, uint64_t generation, cw_ms ttl_ms,
     cw_store_join_done done, void *arg)
{
    struct fake_platform *f = ctx;
    struct answer *a = store_answer(f, JOIN, arg);
    size_t i = 0;

    (void)generation;
    a->u.join = done;
    if (f->store_down) {
        return;
    }
    expire_members(f);
    while (i < f->member_count &&
           !cw_str_eq(cw_str_from(f->members[i].name), member)) {
        i++;
    }
    CW_INVARIANT(i < FAKE_MEMBERS_MAX);
    if (i == f->member_count) {
        f->member_count++;
        f->generation++;
        (void)snprintf(f->members[i].name, sizeof(f->members[i].name), "%.*s",
                       CW_FMT(member));
    }
    f->members[i].until = fake_now(f) + ttl_ms;
    if (strcmp(f->members[i].name, f->lose_joins_of) == 0) {
        a->status = CW_ERR_UNKNOWN;
    }
    a->number = f->generation;
    a->flag = i == 0;
}

static void
leave(void *ctx, struct cw_str member, cw_store_done done, void *arg)
{
    struct fake_platform *f = ctx;

    store_answer(f, DONE, arg)->u.done = done;
    for (size_t i = 0; i < f->member_count; i++) {
        if (cw_str_eq(cw_str_from(f->members[i].name), member)) {
            f->members[i].until = 0;
        }
    }
    expire_members(f);
}

static void
get_owner(void *ctx, cw_ms timeout, cw_store_owner_done done, void *arg)
{
    struct fake_platform *f = ctx;
    struct answer *a = store_answer(f, OWNER, arg);

    (void)timeout;
    a->u.owner = done;
    f->owner_queries++;
    expire_members(f);
    a->number = f->member_count;
    if (f->member_count > 0) {
        (void)snprintf(a->name, sizeof(a->name), "%s", f->members[0].name);
    }
}

/* ---- workers ---- */

static struct cw_worker_conn *
conn_open(void *ctx, const struct cw_name *id, const struct cw_name *address)
{
    struct fake_platform *f = ctx;
    struct cw_worker_conn *c = calloc(1, sizeof(*c));

    (void)address;
    CW_INVARIANT(c != NULL);
    c->f = f;
    for (size_t i = 0; i < f->worker_count; i++) {
        if (cw_str_eq(cw_str_from(f->workers[i].id), cw_name_str(id))) {
            c->worker = &f->workers[i];
        }
    }
    CW_INVARIANT(c->worker != NULL);
    return c;
}

static void
conn_close(struct cw_worker_conn *c)
{
    while (c->open != NULL) {
        c->open->status = CW_ERR_UNKNOWN;
        on_answer_due(&c->open->timer);
    }
    free(c);
}

static enum cw_status
check_fence(struct cw_worker_conn *c, uint64_t epoch)
{
    if (epoch < c->worker->fence) {
        return CW_ERR_FENCED;
    }
    c->worker->fence = epoch;
    return CW_OK;
}

static void
start(struct cw_worker_conn *c, const struct cw_start_order *o, cw_ms timeout,
      cw_start_done done, void *arg)
{
    struct fake_platform *f = c->f;
    struct answer *a = worker_answer(c, START, arg, ANSWER_MS);

    (void)timeout;
    a->u.start = done;
    a->status = check_fence(c, o->epoch);
    if (a->status != CW_OK) {
        return;
    }
    for (size_t w = 0; w < f->worker_count; w++) {
        for (size_t i = 0; i < f->workers[w].run_count; i++) {
            if (cw_run_same_task(&f->workers[w].runs[i].row, &o->run)) {
                f->double_starts++;
            }
        }
    }
    f->starts++;
    CW_INVARIANT(c->worker->run_count < FAKE_RUNS_MAX);
    c->worker->runs[c->worker->run_count] =
        (struct fake_run){.row = o->run, .ends_at = fake_now(f) + f->task_ms};
    c->worker->runs[c->worker->run_count++].row.checkpoint =
        (struct cw_str){0};
}

static void
stop(struct cw_worker_conn *c, const struct cw_run_row *r, uint64_t epoch,
     cw_ms timeout, cw_worker_done done, void *arg)
{
    struct answer *a = worker_answer(c, ORDER, arg, ANSWER_MS);

    (void)r;
    (void)timeout;
    a->u.order = done;
    a->status = check_fence(c, epoch);
}

static void
pace(struct cw_worker_conn *c, const struct cw_run_row *r, uint32_t percent,
     uint64_t epoch, cw_ms timeout, cw_worker_done done, void *arg)
{
    (void)percent;
    stop(c, r, epoch, timeout, done, arg);
}

static void
poll_report(struct cw_worker_conn *c, const struct cw_report_order *o,
            cw_ms timeout, cw_report_done done, void *arg)
{
    struct answer *a =
        worker_answer(c, REPORT, arg, o->wait_ms > 0 ? 20 : ANSWER_MS);

    (void)timeout;
    a->u.report = done;
    if (c->worker->refuses) {
        c->worker->refusals++;
        a->status = CW_ERR_UNAVAILABLE;
        return;
    }
    a->status = check_fence(c, o->epoch);
    a->flag = c->reported == c->worker->born;
    if (a->status == CW_OK && (a->flag || o->acked_unproved) &&
        o->acked > c->worker->acked) {
        c->worker->acked = o->acked;
    }
}

void
fake_ports(struct fake_platform *f, struct cw_job_ports *ports)
{
    ports->ctx = f;
    ports->store = (struct cw_store_port){.batch_add = batch_add,
                                          .append = append,
                                          .publish = publish,
                                          .read_latest = read_latest,
                                          .read = read_from,
                                          .read_cancel = cancel_read,
                                          .join = join,
                                          .leave = leave,
                                          .get_owner = get_owner};
    ports->exec = (struct cw_exec_port){.open = conn_open,
                                        .close = conn_close,
                                        .start = start,
                                        .stop = stop,
                                        .pace = pace,
                                        .poll = poll_report};
    ports->vmctl = (struct cw_vmctl_port){0};
    if (f->vm_count > 0) {
        fake_vm_ports(ports);
    }
}
