/* Parsing and printing of the log records of the stream config. */
#include "cw_json.h"

#include <stdlib.h>
#include <string.h>

enum {
    MAX_RECORD_BYTES =
        256 * 1024,          /* a document of 64 KiB with all bytes escaped */
    MAX_STAT_SERVICES = 128, /* services in one stat record */
    MAX_SNAP_PARTS = 100000,
};

#define MAX_TIME_MS INT64_C(253402300799999) /* end of the year 9999 */

static const char *const type_names[] = {
    "doc", "member", "vm", "op", "wave", "stat", "snap",
};
static const char *const member_actions[] = {"join", "leave", "lapse"};
static const char *const op_kinds[] = {"maintain", "move"};
static const char *const op_steps[CW_STEP_COUNT] = {
    "draining",  "drained", "rebooting", "assigning",
    "returning", "done",    "cancelled", "failed",
};
static const char *const wave_actions[] = {"open", "hold", "resume", "close"};

/* What cw_record.owned points to: the memory behind the views of a record. */
struct record_memory {
    json_t *json;
    char *text;
    struct cw_stat_service *services;
};

const char *
cw_op_step_name(enum cw_op_step s)
{
    return (unsigned)s < CW_STEP_COUNT ? op_steps[s] : "unknown";
}

const char *
cw_op_kind_name(enum cw_op_kind k)
{
    return (unsigned)k < 2 ? op_kinds[k] : "unknown";
}

const char *
cw_wave_action_name(enum cw_wave_action a)
{
    return (unsigned)a < 4 ? wave_actions[a] : "unknown";
}

/* ---- parse ---------------------------------------------------------- */

static void
get_u64(const struct cw_json_obj *o, const char *key, bool required,
        uint64_t *out)
{
    cw_jget_u64(o, key, required, 0, INT64_MAX, out);
}

static void
get_scope(const struct cw_json_obj *o, struct cw_name *out)
{
    struct cw_str s;
    if (!cw_jget_str(o, "scope", true, &s)) {
        return;
    }
    struct cw_str prefix = CW_LIT("pool/");
    if (s.len > CW_NAME_MAX || !cw_str_starts(s, prefix) ||
        !cw_name_valid(
            (struct cw_str){s.ptr + prefix.len, s.len - prefix.len})) {
        cw_json_obj_fault(o, "scope",
                          "must be pool/<name> of at most %d bytes",
                          CW_NAME_MAX);
        return;
    }
    (void)cw_name_set(out, s);
}

/* A name that may be absent or empty. */
static void
get_optional_name(const struct cw_json_obj *o, const char *key,
                  struct cw_name *out)
{
    const json_t *v = json_object_get(o->json, key);
    if (v != NULL && (!json_is_string(v) || json_string_length(v) > 0)) {
        cw_jget_name(o, key, false, out);
    }
}

/* The parse functions add faults to o->faults. Those that return bool return
 * false when out of memory. */

static bool
parse_doc(struct cw_rec_doc *d, const struct cw_json_obj *o,
          struct record_memory *mem)
{
    cw_jget_name(o, "service", true, &d->service);
    get_u64(o, "base", true, &d->base);
    const json_t *v = cw_jget_value(o, "doc", true);
    if (json_is_object(v)) {
        mem->text = json_dumps(v, JSON_COMPACT);
        if (mem->text == NULL) {
            return false;
        }
        d->json = cw_str_from(mem->text);
    }
    else if (v != NULL) {
        cw_jget_str(o, "doc", true, &d->json);
    }
    if (d->json.len > CW_DOC_MAX) {
        cw_json_obj_fault(o, "doc", "has %zu bytes; the limit is %d",
                          d->json.len, CW_DOC_MAX);
    }
    return true;
}

static void
parse_member(struct cw_rec_member *m, const struct cw_json_obj *o)
{
    int action = CW_MEMBER_JOIN;
    cw_jget_name(o, "daemon", true, &m->daemon);
    cw_jget_u64(o, "incarnation", true, 1, INT64_MAX, &m->incarnation);
    cw_jget_enum(o, "action", true, member_actions, 3, &action);
    m->action = (enum cw_member_action)action;
    bool join = m->action == CW_MEMBER_JOIN;
    if (join) {
        cw_jget_name(o, "dc", true, &m->dc);
        cw_jget_address(o, "address", true, 1, &m->address);
    }
}

static void
parse_vm(struct cw_rec_vm *v, const struct cw_json_obj *o)
{
    cw_jget_name(o, "vm", true, &v->vm);
    get_u64(o, "incarnation", true, &v->incarnation);
    cw_jget_name(o, "pool", true, &v->pool);
    cw_jget_name(o, "dc", true, &v->dc);
    cw_jget_name(o, "rack", true, &v->rack);
    cw_jget_address(o, "address", true, 1, &v->address);
    cw_jget_bool(o, "gone", false, &v->gone);
}

static void
parse_op(struct cw_rec_op *p, const struct cw_json_obj *o)
{
    int kind = 0, step = 0;
    cw_jget_name(o, "op", true, &p->op);
    cw_jget_enum(o, "kind", true, op_kinds, 2, &kind);
    get_scope(o, &p->scope);
    cw_jget_name(o, "vm", true, &p->vm);
    cw_jget_name(o, "from", true, &p->from);
    cw_jget_name(o, "to", true, &p->to);
    get_optional_name(o, "wave", &p->wave);
    cw_jget_text(o, "cause", false, p->cause, sizeof(p->cause));
    cw_jget_text(o, "result", false, p->result, sizeof(p->result));
    get_u64(o, "doc_version", false, &p->doc_version);
    cw_jget_enum(o, "step", true, op_steps, CW_STEP_COUNT, &step);
    p->kind = (enum cw_op_kind)kind;
    p->step = (enum cw_op_step)step;
}

static void
parse_wave(struct cw_rec_wave *w, const struct cw_json_obj *o)
{
    int action = 0;
    cw_jget_name(o, "wave", true, &w->wave);
    get_scope(o, &w->scope);
    cw_jget_enum(o, "action", true, wave_actions, 4, &action);
    cw_jget_text(o, "reason", false, w->reason, sizeof(w->reason));
    w->action = (enum cw_wave_action)action;
}

static bool
parse_stat(struct cw_rec_stat *t, const struct cw_json_obj *o,
           struct record_memory *mem)
{
    cw_jget_name(o, "daemon", true, &t->daemon);
    bool has_from = cw_jget_ms(o, "from", true, 0, MAX_TIME_MS, &t->from);
    bool has_to = cw_jget_ms(o, "to", true, 0, MAX_TIME_MS, &t->to);
    if (has_from && has_to && t->to <= t->from) {
        cw_json_obj_fault(o, "to", "must be after from");
    }
    const json_t *list = cw_jget_array(o, "services", true, MAX_STAT_SERVICES);
    t->count = json_array_size(list);
    if (t->count == 0) {
        return true;
    }
    mem->services = calloc(t->count, sizeof(*mem->services));
    if (mem->services == NULL) {
        return false;
    }
    t->services = mem->services;
    for (size_t i = 0; i < t->count; i++) {
        struct cw_json_obj e;
        struct cw_stat_service *x = &t->services[i];
        if (!cw_json_obj_bind(&e, json_array_get(list, i), o->faults, "",
                              "services", (int)i, NULL)) {
            continue;
        }
        cw_jget_name(&e, "service", true, &x->service);
        get_u64(&e, "ok", false, &x->ok);
        get_u64(&e, "failed", false, &x->failed);
        get_u64(&e, "shed", false, &x->shed);
        get_u64(&e, "unknown", false, &x->unknown);
        get_u64(&e, "p50_us", false, &x->p50_us);
        get_u64(&e, "p99_us", false, &x->p99_us);
        get_u64(&e, "idle_slot_ms", false, &x->idle_slot_ms);
        get_u64(&e, "busy_slot_ms", false, &x->busy_slot_ms);
    }
    return true;
}

static bool
parse_snap(struct cw_rec_snap *p, const struct cw_json_obj *o,
           struct record_memory *mem)
{
    cw_jget_name(o, "cycle", true, &p->cycle);
    get_u64(o, "as_of", true, &p->as_of);
    bool has_part = cw_jget_u32(o, "part", true, 1, MAX_SNAP_PARTS, &p->part);
    bool has_parts =
        cw_jget_u32(o, "parts", true, 1, MAX_SNAP_PARTS, &p->parts);
    if (has_part && has_parts && p->part > p->parts) {
        cw_json_obj_fault(o, "part", "is above parts");
    }
    const json_t *items = cw_jget_array(o, "items", true, SIZE_MAX);
    if (items == NULL) {
        return true;
    }
    mem->text = json_dumps(items, JSON_COMPACT);
    p->items = cw_str_from(mem->text);
    return mem->text != NULL;
}

static bool
parse_body(struct cw_record *r, const struct cw_json_obj *o,
           struct record_memory *mem)
{
    switch (r->type) {
    case CW_REC_DOC:
        return parse_doc(&r->u.doc, o, mem);
    case CW_REC_MEMBER:
        parse_member(&r->u.member, o);
        return true;
    case CW_REC_VM:
        parse_vm(&r->u.vm, o);
        return true;
    case CW_REC_OP:
        parse_op(&r->u.op, o);
        return true;
    case CW_REC_WAVE:
        parse_wave(&r->u.wave, o);
        return true;
    case CW_REC_STAT:
        return parse_stat(&r->u.stat, o, mem);
    case CW_REC_SNAP:
        return parse_snap(&r->u.snap, o, mem);
    }
    return true;
}

static bool
parse_record(struct cw_record *r, const json_t *v, struct cw_faults *f,
             struct record_memory *mem)
{
    struct cw_json_obj o;
    int type = 0;
    if (!cw_json_obj_bind(&o, v, f, "", "", -1, NULL)) {
        return true;
    }
    bool has_type = cw_jget_enum(&o, "type", true, type_names, 7, &type);
    cw_jget_name(&o, "id", true, &r->id);
    cw_jget_name(&o, "by", true, &r->by);
    get_u64(&o, "by_incarnation", false, &r->by_incarnation);
    cw_jget_ms(&o, "time", true, 0, MAX_TIME_MS, &r->time);
    r->type = (enum cw_record_type)type;
    return !has_type || parse_body(r, &o, mem);
}

enum cw_status
cw_record_parse(struct cw_record *r, struct cw_str json, char *msg)
{
    memset(r, 0, sizeof(*r));
    msg[0] = '\0';
    struct record_memory *mem = calloc(1, sizeof(*mem));
    if (mem == NULL) {
        return cw_fail(msg, CW_ERR_NOMEM, "out of memory");
    }
    r->owned = mem;
    struct cw_faults f;
    f.count = 0;
    mem->json = cw_json_load(json, MAX_RECORD_BYTES, &f);
    bool allocated = mem->json == NULL || parse_record(r, mem->json, &f, mem);
    enum cw_status s = CW_OK;
    if (!allocated) {
        s = cw_fail(msg, CW_ERR_NOMEM, "out of memory");
    }
    else if (f.count > 0) {
        s = cw_fail(msg, CW_ERR_INVALID, "%s%s%s", f.items[0].path,
                    f.items[0].path[0] == '\0' ? "" : ": ", f.items[0].text);
    }
    if (s != CW_OK) {
        cw_record_finish(r);
    }
    return s;
}

void
cw_record_finish(struct cw_record *r)
{
    struct record_memory *mem = r->owned;
    if (mem != NULL) {
        json_decref(mem->json);
        free(mem->text);
        free(mem->services);
        free(mem);
    }
    memset(r, 0, sizeof(*r));
}

/* ---- print ---------------------------------------------------------- */

static void
put_str(struct cw_buf *b, const char *key, struct cw_str s)
{
    cw_buf_addf(b, ",\"%s\":", key);
    cw_buf_add_json(b, s);
}

static void
put_name(struct cw_buf *b, const char *key, const struct cw_name *n)
{
    put_str(b, key, cw_name_str(n));
}

static void
put_u64(struct cw_buf *b, const char *key, uint64_t v)
{
    cw_buf_addf(b, ",\"%s\":%llu", key, (unsigned long long)v);
}

static void
print_stat(const struct cw_rec_stat *t, struct cw_buf *b)
{
    put_name(b, "daemon", &t->daemon);
    put_u64(b, "from", (uint64_t)t->from);
    put_u64(b, "to", (uint64_t)t->to);
    cw_buf_addf(b, ",\"services\":[");
    for (size_t i = 0; i < t->count; i++) {
        const struct cw_stat_service *x = &t->services[i];
        cw_buf_addf(b, "%s{\"service\":", i == 0 ? "" : ",");
        cw_buf_add_json(b, cw_name_str(&x->service));
        put_u64(b, "ok", x->ok);
        put_u64(b, "failed", x->failed);
        put_u64(b, "shed", x->shed);
        put_u64(b, "unknown", x->unknown);
        put_u64(b, "p50_us", x->p50_us);
        put_u64(b, "p99_us", x->p99_us);
        put_u64(b, "idle_slot_ms", x->idle_slot_ms);
        put_u64(b, "busy_slot_ms", x->busy_slot_ms);
        cw_buf_addf(b, "}");
    }
    cw_buf_addf(b, "]");
}

static void
print_op(const struct cw_rec_op *p, struct cw_buf *b)
{
    put_name(b, "op", &p->op);
    put_str(b, "kind", cw_str_from(cw_op_kind_name(p->kind)));
    put_name(b, "scope", &p->scope);
    put_name(b, "vm", &p->vm);
    put_name(b, "from", &p->from);
    put_name(b, "to", &p->to);
    if (p->wave.len > 0) {
        put_name(b, "wave", &p->wave);
    }
    put_str(b, "cause", cw_str_from(p->cause));
    if (p->result[0] != '\0') {
        put_str(b, "result", cw_str_from(p->result));
    }
    put_u64(b, "doc_version", p->doc_version);
    put_str(b, "step", cw_str_from(cw_op_step_name(p->step)));
}

static void
print_body(const struct cw_record *r, struct cw_buf *b)
{
    switch (r->type) {
    case CW_REC_DOC:
        put_name(b, "service", &r->u.doc.service);
        put_u64(b, "base", r->u.doc.base);
        put_str(b, "doc", r->u.doc.json);
        break;
    case CW_REC_MEMBER:
        put_name(b, "daemon", &r->u.member.daemon);
        put_u64(b, "incarnation", r->u.member.incarnation);
        put_str(b, "action", cw_str_from(member_actions[r->u.member.action]));
        put_name(b, "dc", &r->u.member.dc);
        put_name(b, "address", &r->u.member.address);
        break;
    case CW_REC_VM:
        put_name(b, "vm", &r->u.vm.vm);
        put_u64(b, "incarnation", r->u.vm.incarnation);
        put_name(b, "pool", &r->u.vm.pool);
        put_name(b, "dc", &r->u.vm.dc);
        put_name(b, "rack", &r->u.vm.rack);
        put_name(b, "address", &r->u.vm.address);
        if (r->u.vm.gone) {
            cw_buf_addf(b, ",\"gone\":true");
        }
        break;
    case CW_REC_OP:
        print_op(&r->u.op, b);
        break;
    case CW_REC_WAVE:
        put_name(b, "wave", &r->u.wave.wave);
        put_name(b, "scope", &r->u.wave.scope);
        put_str(b, "action",
                cw_str_from(cw_wave_action_name(r->u.wave.action)));
        put_str(b, "reason", cw_str_from(r->u.wave.reason));
        break;
    case CW_REC_STAT:
        print_stat(&r->u.stat, b);
        break;
    case CW_REC_SNAP:
        put_name(b, "cycle", &r->u.snap.cycle);
        put_u64(b, "as_of", r->u.snap.as_of);
        put_u64(b, "part", r->u.snap.part);
        put_u64(b, "parts", r->u.snap.parts);
        cw_buf_addf(b, ",\"items\":");
        cw_buf_add_str(b, r->u.snap.items);
        break;
    }
}

enum cw_status
cw_record_print(const struct cw_record *r, struct cw_buf *out)
{
    if ((unsigned)r->type >= 7) {
        return CW_ERR_INVALID;
    }
    cw_buf_addf(out, "{\"type\":\"%s\"", type_names[r->type]);
    put_name(out, "id", &r->id);
    put_name(out, "by", &r->by);
    if (r->by_incarnation > 0) {
        put_u64(out, "by_incarnation", r->by_incarnation);
    }
    put_u64(out, "time", (uint64_t)r->time);
    print_body(r, out);
    cw_buf_addf(out, "}");
    return out->failed ? CW_ERR_NOMEM : CW_OK;
}
