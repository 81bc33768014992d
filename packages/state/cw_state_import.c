/* Import of snapshot items that cw_state_export wrote. */
#include "cw_index.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* Reads the elements of one item in order; a wrong type or range sets bad. */
struct reader {
    const json_t *item;
    size_t at;
    bool bad;
};

static struct cw_str
get_str(struct reader *r)
{
    const json_t *v = json_array_get(r->item, r->at++);
    if (!json_is_string(v)) {
        r->bad = true;
        return CW_LIT("");
    }
    return (struct cw_str){json_string_value(v), json_string_length(v)};
}

static struct cw_name
get_name(struct reader *r)
{
    struct cw_name n;
    memset(&n, 0, sizeof(n));
    if (cw_name_set(&n, get_str(r)) != CW_OK) {
        r->bad = true;
    }
    return n;
}

static void
get_text(struct reader *r, char *out, size_t size)
{
    struct cw_str s = get_str(r);
    if (s.len >= size) {
        r->bad = true;
        return;
    }
    memcpy(out, s.ptr, s.len);
    out[s.len] = '\0';
}

static int64_t
get_int(struct reader *r, int64_t max)
{
    const json_t *v = json_array_get(r->item, r->at++);
    json_int_t n = json_integer_value(v);
    if (!json_is_integer(v) || n < 0 || n > max) {
        r->bad = true;
        return 0;
    }
    return n;
}

static uint64_t
get_uint(struct reader *r)
{
    return (uint64_t)get_int(r, INT64_MAX);
}

static bool
complete(const struct reader *r)
{
    return !r->bad && r->at == json_array_size(r->item);
}

static bool
import_head(struct cw_state *s, struct reader *r)
{
    s->member_epoch = get_uint(r);
    cw_index(s)->tick = get_int(r, INT64_MAX);
    return complete(r);
}

static bool
import_member(struct cw_state *s, struct reader *r)
{
    struct cw_member_entry m;
    m.daemon = get_name(r);
    m.incarnation = get_uint(r);
    m.dc = get_name(r);
    m.address = get_name(r);
    m.offset = get_uint(r);
    if (!complete(r) || cw_state_member(s, cw_name_str(&m.daemon)) != NULL) {
        return false;
    }
    cw_state_add_member(s, &m);
    return true;
}

static bool
add_departed(struct cw_departed *d, struct reader *r)
{
    struct cw_name name = get_name(r);
    uint64_t incarnation = get_uint(r);
    if (!complete(r)) {
        return false;
    }
    cw_departed_add(d, &name, incarnation);
    return true;
}

static bool
import_departed(struct cw_state *s, struct reader *r)
{
    return add_departed(&cw_index(s)->members_gone, r);
}

static bool
import_gone(struct cw_state *s, struct reader *r)
{
    return add_departed(&cw_index(s)->vms_gone, r);
}

static bool
import_doc(struct cw_state *s, struct reader *r)
{
    struct cw_state_index *x = cw_index(s);
    struct cw_doc_entry head;
    memset(&head, 0, sizeof(head));
    head.version = get_uint(r);
    head.by = get_name(r);
    head.time = get_int(r, INT64_MAX);
    head.json_len = (size_t)get_int(r, CW_DOC_MAX);
    if (!complete(r) || x->import_doc != NULL) {
        return false;
    }
    x->import_doc = cw_need(malloc(sizeof(head)));
    *x->import_doc = head;
    x->import_doc->json = cw_need(calloc(1, head.json_len + 1));
    x->import_len = 0;
    return true;
}

/* Adds text to the document under import; the last piece completes it. */
static bool
import_text(struct cw_state *s, struct reader *r)
{
    struct cw_state_index *x = cw_index(s);
    struct cw_doc_entry *e = x->import_doc;
    struct cw_str text = get_str(r);
    if (!complete(r) || e == NULL || text.len > e->json_len - x->import_len) {
        return false;
    }
    memcpy(e->json + x->import_len, text.ptr, text.len);
    x->import_len += text.len;
    if (x->import_len < e->json_len) {
        return true;
    }
    struct cw_str json = {e->json, e->json_len};
    if (cw_doc_parse(&e->doc, json, NULL) != CW_OK ||
        cw_state_doc(s, cw_name_str(&e->doc.service)) != NULL ||
        cw_state_doc_of_pool(s, cw_name_str(&e->doc.pool)) != NULL) {
        return false;
    }
    x->import_doc = NULL;
    cw_state_add_doc(s, e);
    return true;
}

static bool
import_vm(struct cw_state *s, struct reader *r)
{
    struct cw_vm_entry v;
    v.vm = get_name(r);
    v.incarnation = get_uint(r);
    v.pool = get_name(r);
    v.dc = get_name(r);
    v.rack = get_name(r);
    v.address = get_name(r);
    v.offset = get_uint(r);
    v.maintained = get_int(r, INT64_MAX);
    v.op = get_name(r);
    if (!complete(r) || cw_state_vm(s, cw_name_str(&v.vm)) != NULL) {
        return false;
    }
    struct cw_vm_entry *e = cw_need(malloc(sizeof(*e)));
    *e = v;
    cw_state_add_vm(s, e);
    return true;
}

/* An open operation and its VM have to name each other. */
static bool
op_consistent(const struct cw_state *s, const struct cw_op_entry *e)
{
    const struct cw_vm_entry *vm = cw_state_vm(s, cw_name_str(&e->rec.vm));
    if (!e->open) {
        return e->rec.step >= CW_STEP_DONE;
    }
    return e->rec.step < CW_STEP_DONE && vm != NULL &&
           cw_name_eq(&vm->op, &e->rec.op);
}

static bool
import_op(struct cw_state *s, struct reader *r)
{
    struct cw_op_entry o;
    memset(&o, 0, sizeof(o));
    o.rec.op = get_name(r);
    o.rec.kind = (enum cw_op_kind)get_int(r, CW_OP_MOVE);
    o.rec.scope = get_name(r);
    o.rec.vm = get_name(r);
    o.rec.from = get_name(r);
    o.rec.to = get_name(r);
    o.rec.wave = get_name(r);
    get_text(r, o.rec.cause, sizeof(o.rec.cause));
    get_text(r, o.rec.result, sizeof(o.rec.result));
    o.rec.doc_version = get_uint(r);
    o.rec.step = (enum cw_op_step)get_int(r, CW_STEP_FAILED);
    o.first_offset = get_uint(r);
    o.last_offset = get_uint(r);
    o.by = get_name(r);
    o.open = get_int(r, 1) == 1;
    for (size_t i = 0; i < CW_STEP_COUNT; i++) {
        o.step_time[i] = get_int(r, INT64_MAX);
    }
    if (!complete(r) || cw_state_op(s, cw_name_str(&o.rec.op)) != NULL ||
        !op_consistent(s, &o)) {
        return false;
    }
    struct cw_op_entry *e = cw_need(malloc(sizeof(*e)));
    *e = o;
    cw_state_add_op(s, e);
    return true;
}

static bool
import_wave(struct cw_state *s, struct reader *r)
{
    struct cw_wave_entry w;
    memset(&w, 0, sizeof(w));
    w.wave = get_name(r);
    w.scope = get_name(r);
    w.last = (enum cw_wave_action)get_int(r, CW_WAVE_CLOSE);
    get_text(r, w.reason, sizeof(w.reason));
    w.opened = get_int(r, INT64_MAX);
    w.changed = get_int(r, INT64_MAX);
    w.closed = get_int(r, INT64_MAX);
    w.held_ms = get_int(r, INT64_MAX);
    w.done = (uint32_t)get_int(r, UINT32_MAX);
    w.failed = (uint32_t)get_int(r, UINT32_MAX);
    if (!complete(r) || (w.closed > 0) != (w.last == CW_WAVE_CLOSE) ||
        !cw_str_starts(cw_name_str(&w.scope), CW_LIT("pool/")) ||
        cw_map_get(&cw_index(s)->waves, cw_name_str(&w.wave)) != NULL ||
        (w.closed == 0 &&
         cw_state_open_wave(s, cw_name_str(&w.scope)) != NULL)) {
        return false;
    }
    struct cw_wave_entry *e = cw_need(malloc(sizeof(*e)));
    *e = w;
    cw_state_add_wave(s, e);
    return true;
}

static bool
import_edit(struct cw_state *s, struct reader *r)
{
    struct cw_edit_entry x;
    memset(&x, 0, sizeof(x));
    x.id = get_name(r);
    x.service = get_name(r);
    x.by = get_name(r);
    x.time = get_int(r, INT64_MAX);
    x.offset = get_uint(r);
    x.base = get_uint(r);
    x.current = get_uint(r);
    x.accepted = get_int(r, 1) == 1;
    get_text(r, x.reason, sizeof(x.reason));
    if (!complete(r)) {
        return false;
    }
    struct cw_edit_entry *e = cw_need(malloc(sizeof(*e)));
    *e = x;
    cw_state_add_edit(s, e);
    return true;
}

static bool
import_stat(struct cw_state *s, struct reader *r)
{
    struct cw_rec_stat t;
    memset(&t, 0, sizeof(t));
    t.daemon = get_name(r);
    t.from = get_int(r, INT64_MAX);
    t.to = get_int(r, INT64_MAX);
    if (!complete(r)) {
        return false;
    }
    struct cw_rec_stat *e = cw_need(malloc(sizeof(*e)));
    *e = t;
    cw_state_add_stat(s, e);
    return true;
}

/* Services of the last statistics entry. */
static bool
import_rows(struct cw_state *s, struct reader *r)
{
    size_t n = (json_array_size(r->item) - 1) / 9;
    if (s->stat_count == 0 || n == 0) {
        return false;
    }
    struct cw_rec_stat *t = s->stats[s->stat_count - 1];
    t->services =
        cw_need(realloc(t->services, (t->count + n) * sizeof(*t->services)));
    for (size_t i = 0; i < n; i++) {
        struct cw_stat_service *x = &t->services[t->count++];
        x->service = get_name(r);
        x->ok = get_uint(r);
        x->failed = get_uint(r);
        x->shed = get_uint(r);
        x->unknown = get_uint(r);
        x->p50_us = get_uint(r);
        x->p99_us = get_uint(r);
        x->idle_slot_ms = get_uint(r);
        x->busy_slot_ms = get_uint(r);
    }
    return complete(r);
}

static bool
import_ids(struct cw_state *s, struct reader *r)
{
    struct cw_str hex = get_str(r);
    if (!complete(r) || hex.len % 16 != 0) {
        return false;
    }
    for (size_t i = 0; i < hex.len; i += 16) {
        char one[17];
        memcpy(one, hex.ptr + i, 16);
        one[16] = '\0';
        char *after;
        uint64_t h = strtoull(one, &after, 16);
        if (*after != '\0' || h == 0) {
            return false;
        }
        (void)cw_seen_add(cw_index(s), h);
    }
    return true;
}

static const struct {
    const char *kind;
    bool (*import)(struct cw_state *s, struct reader *r);
} kinds[] = {
    {"head", import_head}, {"member", import_member},
    {"doc", import_doc},   {"departed", import_departed},
    {"text", import_text}, {"vm", import_vm},
    {"op", import_op},     {"wave", import_wave},
    {"edit", import_edit}, {"stat", import_stat},
    {"gone", import_gone}, {"rows", import_rows},
    {"ids", import_ids},
};

static enum cw_status
import_item(struct cw_state *s, const json_t *item, size_t number)
{
    struct reader r = {item, 0, false};
    struct cw_str kind = get_str(&r);
    for (size_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
        if (cw_str_eq(kind, cw_str_from(kinds[i].kind))) {
            return kinds[i].import(s, &r)
                       ? CW_OK
                       : cw_fail(s->msg, CW_ERR_INVALID,
                                 "item %zu: malformed or second %s", number,
                                 kinds[i].kind);
        }
    }
    return cw_fail(s->msg, CW_ERR_INVALID, "item %zu: unknown kind", number);
}

enum cw_status
cw_state_import(struct cw_state *s, struct cw_str items)
{
    if (s->applied > 0) {
        return cw_fail(s->msg, CW_ERR_INVALID,
                       "the state has records already");
    }
    json_error_t err;
    json_t *v =
        json_loadb(items.len == 0 ? "" : items.ptr, items.len, 0, &err);
    if (!json_is_array(v)) {
        json_decref(v);
        return cw_fail(s->msg, CW_ERR_INVALID, "part is not a JSON array");
    }
    enum cw_status st = CW_OK;
    for (size_t i = 0; i < json_array_size(v) && st == CW_OK; i++) {
        st = import_item(s, json_array_get(v, i), i);
    }
    json_decref(v);
    return st;
}

void
cw_state_import_done(struct cw_state *s, uint64_t as_of)
{
    s->applied = as_of;
    s->version++;
}
