#include "cw_http_budget.h"

#include <string.h>

/* A request is behind when it has received less than this per ms of its age.
 * A body of the largest legal size is ahead for half a second. */
#define PACE_BYTES_PER_MS 512
/* Memory of a connection with a small request, with the kernel's part. */
#define CONN_BYTES ((size_t)16 * 1024)
#define RESERVED_FDS_MIN 64
#define CONNS_MIN 16
/* Bodies of up to 262,144 bytes and heads of up to 16,384 bytes are legal. */
#define BODY_MAX_BYTES ((size_t)512 * 1024)
#define HEAD_MAX_BYTES ((size_t)32 * 1024)
#define HEAD_MS 10000
#define REQUEST_MS 30000
#define WRITE_MS 30000

const char *
cw_http_reason_name(enum cw_http_reason r)
{
    static const char *const names[CW_HTTP_REASONS] = {
        "none", "refused", "connections", "bytes", "head", "deadline"};

    return names[r];
}

struct cw_http_limits
cw_http_limits_for(size_t memory_bytes, size_t fds)
{
    size_t reserved = fds / 4 > RESERVED_FDS_MIN ? fds / 4 : RESERVED_FDS_MIN;
    size_t by_fds = fds > reserved ? fds - reserved : 0;
    size_t by_memory = memory_bytes / 8 / CONN_BYTES;
    size_t conns = by_fds < by_memory ? by_fds : by_memory;
    struct cw_http_limits l = {
        .conns_max = conns > CONNS_MIN ? conns : CONNS_MIN,
        .bytes_max = memory_bytes / 4,
        .body_max = BODY_MAX_BYTES,
        .head_max = HEAD_MAX_BYTES,
        .head_ms = HEAD_MS,
        .request_ms = REQUEST_MS,
        .write_ms = WRITE_MS,
    };

    return l;
}

void
cw_http_budget_init(struct cw_http_budget *b,
                    const struct cw_http_limits *limits)
{
    memset(b, 0, sizeof(*b));
    b->limits = *limits;
}

void
cw_http_budget_add(struct cw_http_budget *b, struct cw_http_slot *slot,
                   cw_ms now)
{
    memset(slot, 0, sizeof(*slot));
    slot->since = now;
    slot->next = b->slots;
    if (slot->next != NULL) {
        slot->next->prev = slot;
    }
    b->slots = slot;
    b->conns++;
    if (b->conns > b->conns_peak) {
        b->conns_peak = b->conns;
    }
}

static void
set_charge(struct cw_http_budget *b, struct cw_http_slot *slot,
           size_t capacity)
{
    size_t charge = capacity > CW_HTTP_FREE_BYTES ? capacity : 0;

    b->bytes = b->bytes - slot->charged + charge;
    slot->charged = charge;
    if (b->bytes > b->bytes_peak) {
        b->bytes_peak = b->bytes;
    }
}

void
cw_http_budget_remove(struct cw_http_budget *b, struct cw_http_slot *slot)
{
    set_charge(b, slot, 0);
    if (slot->prev != NULL) {
        slot->prev->next = slot->next;
    }
    else {
        b->slots = slot->next;
    }
    if (slot->next != NULL) {
        slot->next->prev = slot->prev;
    }
    b->conns--;
}

void
cw_http_budget_set_state(struct cw_http_slot *slot, enum cw_http_state state,
                         cw_ms now)
{
    slot->state = state;
    slot->since = now;
    if (state == CW_HTTP_IDLE) {
        slot->received = 0;
        slot->head_done = false;
    }
}

void
cw_http_budget_received(struct cw_http_budget *b, struct cw_http_slot *slot,
                        size_t received, size_t capacity, cw_ms now)
{
    if (slot->received == 0 && received > 0 &&
        (slot->state == CW_HTTP_IDLE || slot->state == CW_HTTP_READING)) {
        cw_http_budget_set_state(slot, CW_HTTP_READING, now);
    }
    slot->received = received;
    set_charge(b, slot, capacity);
}

/* Bytes that an incomplete request lacks for its age. */
static int64_t
backlog(const struct cw_http_slot *slot, cw_ms now)
{
    return (now - slot->since) * PACE_BYTES_PER_MS - (int64_t)slot->received;
}

/* The incomplete request that is furthest behind; NULL when none is. */
static struct cw_http_slot *
slowest(const struct cw_http_budget *b, bool charged, cw_ms now)
{
    struct cw_http_slot *out = NULL;
    int64_t most = 0;

    for (struct cw_http_slot *k = b->slots; k != NULL; k = k->next) {
        if (k->state == CW_HTTP_READING && (!charged || k->charged > 0) &&
            backlog(k, now) > most) {
            most = backlog(k, now);
            out = k;
        }
    }
    return out;
}

static struct cw_http_slot *
longest_idle(const struct cw_http_budget *b)
{
    struct cw_http_slot *out = NULL;

    for (struct cw_http_slot *k = b->slots; k != NULL; k = k->next) {
        if (k->state == CW_HTTP_IDLE &&
            (out == NULL || k->since < out->since)) {
            out = k;
        }
    }
    return out;
}

enum cw_http_reason
cw_http_budget_admit(const struct cw_http_budget *b, cw_ms now,
                     struct cw_http_slot **victim)
{
    *victim = NULL;
    if (b->conns < b->limits.conns_max) {
        return CW_HTTP_KEEP;
    }
    *victim = slowest(b, false, now);
    if (*victim == NULL) {
        *victim = longest_idle(b);
    }
    return *victim != NULL ? CW_HTTP_CONNS : CW_HTTP_REFUSED;
}

enum cw_http_reason
cw_http_budget_check(const struct cw_http_budget *b, struct cw_http_slot *slot,
                     cw_ms now, struct cw_http_slot **victim)
{
    *victim = slot;
    if (!slot->head_done && slot->received > b->limits.head_max) {
        return CW_HTTP_HEAD;
    }
    if (slot->charged == 0 || b->bytes <= b->limits.bytes_max) {
        return CW_HTTP_KEEP;
    }
    /* When no request is behind, the ones under way are left to complete. */
    *victim = slowest(b, true, now);
    if (*victim == NULL) {
        *victim = slot;
    }
    return CW_HTTP_BYTES;
}

bool
cw_http_budget_expired(const struct cw_http_budget *b,
                       const struct cw_http_slot *slot, cw_ms now)
{
    cw_ms age = now - slot->since;

    switch (slot->state) {
    case CW_HTTP_READING:
        if (slot->received == 0) {
            return false; /* h2o closes connections without a request */
        }
        return age >= b->limits.request_ms ||
               (!slot->head_done && age >= b->limits.head_ms);
    case CW_HTTP_WRITING:
        return age >= b->limits.write_ms;
    case CW_HTTP_IDLE:
    case CW_HTTP_ANSWERING:
    case CW_HTTP_CLOSING:
        break;
    }
    return false;
}
