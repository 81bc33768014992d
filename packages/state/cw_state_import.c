/* Import of the snapshot items that cw_state_export writes. */
#include "cw_index.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* Reads the elements of one item in order. */
struct item_reader {
    const json_t *item;
    size_t next; /* index of the element to read next */
    bool bad; /* an element was missing, of the wrong type or out of range */
};

static struct cw_str
read_str(struct item_reader *r)
{
    const json_t *v = json_array_get(r->item, r->next++);
    if (!json_is_string(v)) {
        r->bad = true;
        return CW_LIT("");
    }
    return (struct cw_str){json_string_value(v), json_string_length(v)};
}

static struct cw_name
read_name(struct item_reader *r)
{
    struct cw_name n;
    memset(&n, 0, sizeof(n));
    if (cw_name_set(&n, read_str(r)) != CW_OK) {
        r->bad = true;
    }
    return n;
}

static void
read_text(struct item_reader *r, char *out, size_t size)
{
    struct cw_str s = read_str(r);
    if (s.len >= size) {
        r->bad = true;
        return;
    }
    memcpy(out, s.ptr, s.len);
    out[s.len] = '\0';
}

static int64_t
read_int(struct item_reader *r, int64_t max)
{
    const json_t *v = json_array_get(r->item, r->next++);
    json_int_t n = json_integer_value(v);
    if (!json_is_integer(v) || n < 0 || n > max) {
        r->bad = true;
        return 0;
    }
    return n;
}

static uint64_t
read_uint(struct item_reader *r)
{
    return (uint64_t)read_int(r, INT64_MAX);
}

/* True when all elements were read and valid. */
static bool
is_fully_read(const struct item_reader *r)
{
    return !r->bad && r->next == json_array_size(r->item);
}

static bool
import_header(struct cw_state *s, struct item_reader *r)
{
    s->member_epoch = read_uint(r);
    cw_index_get(s)->advanced_to = read_int(r, INT64_MAX);
    return is_fully_read(r);
}

static bool
import_member(struct cw_state *s, struct item_reader *r)
{
    struct cw_member_entry m;
    m.daemon = read_name(r);
    m.incarnation = read_uint(r);
    m.dc = read_name(r);
    m.address = read_name(r);
    m.offset = read_uint(r);
    if (!is_fully_read(r) ||
        cw_state_member(s, cw_name_str(&m.daemon)) != NULL) {
        return false;
    }
    cw_state_add_member(s, &m);
    return true;
}

static bool
import_departed(struct cw_departed *d, struct item_reader *r)
{
    struct cw_name name = read_name(r);
    uint64_t incarnation = read_uint(r);
    if (!is_fully_read(r)) {
        return false;
    }
    cw_departed_add(d, &name, incarnation);
    return true;
}

static bool
import_departed_member(struct cw_state *s, struct item_reader *r)
{
    return import_departed(&cw_index_get(s)->departed_members, r);
}

static bool
import_departed_vm(struct cw_state *s, struct item_reader *r)
{
    return import_departed(&cw_index_get(s)->departed_vms, r);
}

static bool
import_doc(struct cw_state *s, struct item_reader *r)
{
    struct cw_state_index *x = cw_index_get(s);
    struct cw_doc_entry head;
    memset(&head, 0, sizeof(head));
    head.version = read_uint(r);
    head.by = read_name(r);
    head.time = read_int(r, INT64_MAX);
    head.json_len = (size_t)read_int(r, CW_DOC_MAX);
    if (!is_fully_read(r) || x->import_doc != NULL) {
        return false;
    }
    x->import_doc = cw_check_alloc(malloc(sizeof(head)));
    *x->import_doc = head;
    x->import_doc->json = cw_check_alloc(calloc(1, head.json_len + 1));
    x->import_len = 0;
    return true;
}

/* Adds a piece of text to the document under import and, after the last piece,
 * the document to the state. */
static bool
import_doc_text(struct cw_state *s, struct item_reader *r)
{
    struct cw_state_index *x = cw_index_get(s);
    struct cw_doc_entry *e = x->import_doc;
    struct cw_str text = read_str(r);
    if (!is_fully_read(r) || e == NULL ||
        text.len > e->json_len - x->import_len) {
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
import_vm(struct cw_state *s, struct item_reader *r)
{
    struct cw_vm_entry v;
    v.vm = read_name(r);
    v.incarnation = read_uint(r);
    v.pool = read_name(r);
    v.dc = read_name(r);
    v.rack = read_name(r);
    v.address = read_name(r);
    v.offset = read_uint(r);
    v.maintained = read_int(r, INT64_MAX);
    v.op = read_name(r);
    if (!is_fully_read(r) || cw_state_vm(s, cw_name_str(&v.vm)) != NULL) {
        return false;
    }
    struct cw_vm_entry *e = cw_check_alloc(malloc(sizeof(*e)));
    *e = v;
    cw_state_add_vm(s, e);
    return true;
}

/* An open operation and its VM have to refer to each other; an ended one has
 * an ending step. */
static bool
is_op_consistent(const struct cw_state *s, const struct cw_op_entry *e)
{
    const struct cw_vm_entry *vm = cw_state_vm(s, cw_name_str(&e->rec.vm));
    if (!e->open) {
        return e->rec.step >= CW_STEP_DONE;
    }
    return e->rec.step < CW_STEP_DONE && vm != NULL &&
           cw_name_eq(&vm->op, &e->rec.op);
}

static bool
import_op(struct cw_state *s, struct item_reader *r)
{
    struct cw_op_entry o;
    memset(&o, 0, sizeof(o));
    o.rec.op = read_name(r);
    o.rec.kind = (enum cw_op_kind)read_int(r, CW_OP_MOVE);
    o.rec.scope = read_name(r);
    o.rec.vm = read_name(r);
    o.rec.from = read_name(r);
    o.rec.to = read_name(r);
    o.rec.wave = read_name(r);
    read_text(r, o.rec.cause, sizeof(o.rec.cause));
    read_text(r, o.rec.result, sizeof(o.rec.result));
    o.rec.doc_version = read_uint(r);
    o.rec.step = (enum cw_op_step)read_int(r, CW_STEP_FAILED);
    o.first_offset = read_uint(r);
    o.last_offset = read_uint(r);
    o.by = read_name(r);
    o.open = read_int(r, 1) == 1;
    for (size_t i = 0; i < CW_STEP_COUNT; i++) {
        o.step_time[i] = read_int(r, INT64_MAX);
    }
    if (!is_fully_read(r) || cw_state_op(s, cw_name_str(&o.rec.op)) != NULL ||
        !is_op_consistent(s, &o)) {
        return false;
    }
    struct cw_op_entry *e = cw_check_alloc(malloc(sizeof(*e)));
    *e = o;
    cw_state_add_op(s, e);
    return true;
}

static bool
import_wave(struct cw_state *s, struct item_reader *r)
{
    struct cw_wave_entry w;
    memset(&w, 0, sizeof(w));
    w.wave = read_name(r);
    w.scope = read_name(r);
    w.last_action = (enum cw_wave_action)read_int(r, CW_WAVE_CLOSE);
    read_text(r, w.reason, sizeof(w.reason));
    w.opened = read_int(r, INT64_MAX);
    w.changed = read_int(r, INT64_MAX);
    w.closed = read_int(r, INT64_MAX);
    w.held_ms = read_int(r, INT64_MAX);
    w.done = (uint32_t)read_int(r, UINT32_MAX);
    w.failed = (uint32_t)read_int(r, UINT32_MAX);
    if (!is_fully_read(r) ||
        (w.closed > 0) != (w.last_action == CW_WAVE_CLOSE) ||
        !cw_str_starts(cw_name_str(&w.scope), CW_LIT("pool/")) ||
        cw_map_get(&cw_index_get(s)->waves, cw_name_str(&w.wave)) != NULL ||
        (w.closed == 0 &&
         cw_state_open_wave(s, cw_name_str(&w.scope)) != NULL)) {
        return false;
    }
    struct cw_wave_entry *e = cw_check_alloc(malloc(sizeof(*e)));
    *e = w;
    cw_state_add_wave(s, e);
    return true;
}

static bool
import_edit(struct cw_state *s, struct item_reader *r)
{
    struct cw_edit_entry x;
    memset(&x, 0, sizeof(x));
    x.id = read_name(r);
    x.service = read_name(r);
    x.by = read_name(r);
    x.time = read_int(r, INT64_MAX);
    x.offset = read_uint(r);
    x.base = read_uint(r);
    x.current_version = read_uint(r);
    x.accepted = read_int(r, 1) == 1;
    read_text(r, x.reason, sizeof(x.reason));
    if (!is_fully_read(r)) {
        return false;
    }
    struct cw_edit_entry *e = cw_check_alloc(malloc(sizeof(*e)));
    *e = x;
    cw_state_add_edit(s, e);
    return true;
}

static bool
import_stat(struct cw_state *s, struct item_reader *r)
{
    struct cw_rec_stat t;
    memset(&t, 0, sizeof(t));
    t.daemon = read_name(r);
    t.from = read_int(r, INT64_MAX);
    t.to = read_int(r, INT64_MAX);
    if (!is_fully_read(r)) {
        return false;
    }
    struct cw_rec_stat *e = cw_check_alloc(malloc(sizeof(*e)));
    *e = t;
    cw_state_add_stat(s, e);
    return true;
}

/* Adds services to the last statistics entry. */
static bool
import_stat_services(struct cw_state *s, struct item_reader *r)
{
    size_t n = (json_array_size(r->item) - 1) / 9;
    if (s->stat_count == 0 || n == 0) {
        return false;
    }
    struct cw_rec_stat *t = s->stats[s->stat_count - 1];
    t->services = cw_check_alloc(
        realloc(t->services, (t->count + n) * sizeof(*t->services)));
    for (size_t i = 0; i < n; i++) {
        struct cw_stat_service *x = &t->services[t->count++];
        x->service = read_name(r);
        x->ok = read_uint(r);
        x->failed = read_uint(r);
        x->shed = read_uint(r);
        x->unknown = read_uint(r);
        x->p50_us = read_uint(r);
        x->p99_us = read_uint(r);
        x->idle_slot_ms = read_uint(r);
        x->busy_slot_ms = read_uint(r);
    }
    return is_fully_read(r);
}

static bool
import_seen_ids(struct cw_state *s, struct item_reader *r)
{
    struct cw_str hex = read_str(r);
    if (!is_fully_read(r) || hex.len % 16 != 0) {
        return false;
    }
    for (size_t i = 0; i < hex.len; i += 16) {
        char digits[17];
        memcpy(digits, hex.ptr + i, 16);
        digits[16] = '\0';
        char *end;
        uint64_t h = strtoull(digits, &end, 16);
        if (*end != '\0' || h == 0) {
            return false;
        }
        (void)cw_seen_add(cw_index_get(s), h);
    }
    return true;
}

static const struct {
    const char *kind;
    bool (*import)(struct cw_state *s, struct item_reader *r);
} importers[] = {
    {"head", import_header},
    {"member", import_member},
    {"doc", import_doc},
    {"departed", import_departed_member},
    {"text", import_doc_text},
    {"vm", import_vm},
    {"op", import_op},
    {"wave", import_wave},
    {"edit", import_edit},
    {"stat", import_stat},
    {"gone", import_departed_vm},
    {"rows", import_stat_services},
    {"ids", import_seen_ids},
};

static enum cw_status
import_item(struct cw_state *s, const json_t *item, size_t number)
{
    struct item_reader r = {item, 0, false};
    struct cw_str kind = read_str(&r);
    for (size_t i = 0; i < sizeof(importers) / sizeof(importers[0]); i++) {
        if (cw_str_eq(kind, cw_str_from(importers[i].kind))) {
            return importers[i].import(s, &r)
                       ? CW_OK
                       : cw_fail(s->msg, CW_ERR_INVALID,
                                 "item %zu: malformed or duplicate %s", number,
                                 importers[i].kind);
        }
    }
    return cw_fail(s->msg, CW_ERR_INVALID, "item %zu: unknown kind", number);
}

enum cw_status
cw_state_import(struct cw_state *s, struct cw_str items)
{
    if (s->applied > 0) {
        return cw_fail(s->msg, CW_ERR_INVALID,
                       "the state has applied records already");
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
