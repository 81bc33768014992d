/* Application of log records to the replicated state. */
#include "cw_index.h"

#include <stdlib.h>
#include <string.h>

void
cw_state_init(struct cw_state *s)
{
    memset(s, 0, sizeof(*s));
}

static void
free_list(void *list, size_t count)
{
    void **items = list;
    for (size_t i = 0; i < count; i++) {
        free(items[i]);
    }
    free(items);
}

static void
doc_entry_free(struct cw_doc_entry *e)
{
    cw_doc_finish(&e->doc);
    free(e->json);
    free(e);
}

void
cw_state_finish(struct cw_state *s)
{
    for (size_t i = 0; i < s->doc_count; i++) {
        doc_entry_free(s->docs[i]);
    }
    free(s->docs);
    for (size_t i = 0; i < s->stat_count; i++) {
        free(s->stats[i]->services);
    }
    free_list(s->stats, s->stat_count);
    free_list(s->vms, s->vm_count);
    free_list(s->ops, s->op_count);
    free_list(s->waves, s->wave_count);
    free_list(s->edits, s->edit_count);
    free(s->members);
    struct cw_state_index *x = s->index;
    if (x != NULL) {
        cw_map_finish(&x->docs);
        cw_map_finish(&x->vms);
        cw_map_finish(&x->ops);
        cw_map_finish(&x->waves);
        cw_map_finish(&x->pools);
        free_list(x->pool_list, x->pool_count);
        if (x->import_doc != NULL) {
            doc_entry_free(x->import_doc);
        }
        free(x);
    }
    memset(s, 0, sizeof(*s));
}

/* Sets s->msg to why a record has no effect. */
static enum cw_apply_result reject(struct cw_state *s, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

static enum cw_apply_result
reject(struct cw_state *s, const char *fmt, ...)
{
    va_list ap;
    va_start(ap, fmt);
    vsnprintf(s->msg, sizeof(s->msg), fmt, ap);
    va_end(ap);
    return CW_APPLY_REJECTED;
}

/* ---- documents ------------------------------------------------------ */

/* Checks an edit against the document in force, of version current, and parses
 * its text into *doc. */
static enum cw_apply_result
validate_doc(struct cw_state *s, const struct cw_rec_doc *d, uint64_t current,
             struct cw_doc *doc)
{
    if (d->base != current) {
        return reject(s, "based on version %llu, but %llu is in force",
                      (unsigned long long)d->base,
                      (unsigned long long)current);
    }
    struct cw_faults faults;
    faults.count = 0;
    enum cw_status st = cw_doc_parse(doc, d->json, &faults);
    CW_INVARIANT(st != CW_ERR_NOMEM);
    if (st != CW_OK) {
        return reject(s, "%s%s%s", faults.items[0].path,
                      faults.items[0].path[0] == '\0' ? "" : ": ",
                      faults.items[0].text);
    }
    if (!cw_name_eq(&doc->service, &d->service)) {
        return reject(s, "service: is %s in the document, %s in the record",
                      doc->service.text, d->service.text);
    }
    const struct cw_doc_entry *owner =
        cw_state_doc_of_pool(s, cw_name_str(&doc->pool));
    if (owner != NULL && !cw_name_eq(&owner->doc.service, &doc->service)) {
        return reject(s, "pool: %s is the pool of service %s", doc->pool.text,
                      owner->doc.service.text);
    }
    return CW_APPLY_OK;
}

/* Puts a document in force; the state owns *doc afterwards. */
static void
store_doc(struct cw_state *s, uint64_t offset, const struct cw_record *r,
          struct cw_doc *doc)
{
    const struct cw_rec_doc *d = &r->u.doc;
    char *json = cw_check_alloc(malloc(d->json.len + 1));
    memcpy(json, d->json.ptr, d->json.len);
    json[d->json.len] = '\0';
    struct cw_doc_entry *e =
        cw_map_get(&cw_index_get(s)->docs, cw_name_str(&d->service));
    bool exists = e != NULL;
    if (exists) {
        cw_index_pool(s, cw_name_str(&e->doc.pool))->doc = NULL;
        cw_doc_finish(&e->doc);
        free(e->json);
    }
    else {
        e = cw_check_alloc(calloc(1, sizeof(*e)));
    }
    e->doc = *doc;
    e->json = json;
    e->json_len = d->json.len;
    e->version = offset;
    e->by = r->by;
    e->time = r->time;
    if (exists) {
        cw_state_link_doc(s, e);
    }
    else {
        cw_state_add_doc(s, e);
    }
}

static enum cw_apply_result
apply_doc(struct cw_state *s, uint64_t offset, const struct cw_record *r)
{
    const struct cw_rec_doc *d = &r->u.doc;
    const struct cw_doc_entry *old = cw_state_doc(s, cw_name_str(&d->service));
    struct cw_edit_entry *edit = cw_check_alloc(calloc(1, sizeof(*edit)));
    edit->id = r->id;
    edit->service = d->service;
    edit->by = r->by;
    edit->time = r->time;
    edit->offset = offset;
    edit->base = d->base;
    edit->current_version = old == NULL ? 0 : old->version;
    struct cw_doc doc;
    memset(&doc, 0, sizeof(doc));
    enum cw_apply_result a = validate_doc(s, d, edit->current_version, &doc);
    edit->accepted = a == CW_APPLY_OK;
    if (edit->accepted) {
        store_doc(s, offset, r, &doc);
    }
    else {
        snprintf(edit->reason, sizeof(edit->reason), "%.95s", s->msg);
        cw_doc_finish(&doc);
    }
    cw_state_add_edit(s, edit);
    s->version++;
    return a;
}

/* ---- membership ----------------------------------------------------- */

static void
remove_member(struct cw_state *s, const struct cw_member_entry *m)
{
    size_t i = (size_t)(m - s->members);
    cw_departed_add(&cw_index_get(s)->departed_members, &m->daemon,
                    m->incarnation);
    s->member_count--;
    memmove(&s->members[i], &s->members[i + 1],
            (s->member_count - i) * sizeof(*s->members));
}

static enum cw_apply_result
apply_join(struct cw_state *s, uint64_t offset, const struct cw_record *r)
{
    const struct cw_rec_member *m = &r->u.member;
    const struct cw_member_entry *old =
        cw_state_member(s, cw_name_str(&m->daemon));
    uint64_t last = old != NULL
                        ? old->incarnation
                        : cw_departed_incarnation(
                              &cw_index_get(s)->departed_members, &m->daemon);
    if (!cw_name_eq(&r->by, &m->daemon)) {
        return reject(s, "join of %s written by %s", m->daemon.text,
                      r->by.text);
    }
    if (m->incarnation <= last) {
        return reject(s, "join of %s with incarnation %llu, after %llu",
                      m->daemon.text, (unsigned long long)m->incarnation,
                      (unsigned long long)last);
    }
    if (old != NULL) {
        remove_member(s, old);
    }
    struct cw_member_entry e = {
        .daemon = m->daemon,
        .incarnation = m->incarnation,
        .dc = m->dc,
        .address = m->address,
        .offset = offset,
    };
    cw_state_add_member(s, &e);
    return CW_APPLY_OK;
}

/* True when m is the member that wrote the record, of the incarnation that the
 * record states. */
static bool
writer_is_member(const struct cw_record *r, const struct cw_member_entry *m)
{
    return m != NULL && cw_name_eq(&r->by, &m->daemon) &&
           (r->by_incarnation == 0 || r->by_incarnation == m->incarnation);
}

static enum cw_apply_result
apply_member(struct cw_state *s, uint64_t offset, const struct cw_record *r)
{
    const struct cw_rec_member *m = &r->u.member;
    if (m->action == CW_MEMBER_JOIN) {
        enum cw_apply_result a = apply_join(s, offset, r);
        if (a == CW_APPLY_OK) {
            s->member_epoch = offset;
        }
        return a;
    }
    const struct cw_member_entry *old =
        cw_state_member(s, cw_name_str(&m->daemon));
    if (old == NULL || old->incarnation != m->incarnation) {
        return reject(s, "%s with incarnation %llu is not a member",
                      m->daemon.text, (unsigned long long)m->incarnation);
    }
    bool own = cw_name_eq(&r->by, &m->daemon);
    if (m->action == CW_MEMBER_LEAVE ? !own : own) {
        return reject(s, "leave has to be written by the daemon itself, "
                         "lapse by another member");
    }
    if (!writer_is_member(r, cw_state_member(s, cw_name_str(&r->by)))) {
        return reject(s, "the writer %s is not a member", r->by.text);
    }
    remove_member(s, old);
    s->member_epoch = offset;
    return CW_APPLY_OK;
}

/* ---- VMs ------------------------------------------------------------ */

/* Removes a VM that has left the fleet permanently. An open operation on it
 * has to end first, as failed. */
static enum cw_apply_result
remove_vm(struct cw_state *s, const struct cw_rec_vm *v, struct cw_vm_entry *e)
{
    if (e == NULL || v->incarnation < e->incarnation) {
        return reject(s, "VM %s is unknown or newer than incarnation %llu",
                      v->vm.text, (unsigned long long)v->incarnation);
    }
    if (e->op.len > 0) {
        return reject(s, "VM %s has the open operation %s", v->vm.text,
                      e->op.text);
    }
    cw_departed_add(&cw_index_get(s)->departed_vms, &e->vm, v->incarnation);
    cw_state_remove_vm(s, e);
    return CW_APPLY_OK;
}

static enum cw_apply_result
apply_vm(struct cw_state *s, uint64_t offset, const struct cw_record *r)
{
    const struct cw_rec_vm *v = &r->u.vm;
    struct cw_vm_entry *e =
        cw_map_get(&cw_index_get(s)->vms, cw_name_str(&v->vm));
    bool exists = e != NULL;
    if (v->gone) {
        return remove_vm(s, v, e);
    }
    if (exists && v->incarnation <= e->incarnation) {
        return reject(s, "VM %s has incarnation %llu already", v->vm.text,
                      (unsigned long long)e->incarnation);
    }
    uint64_t gone =
        cw_departed_incarnation(&cw_index_get(s)->departed_vms, &v->vm);
    if (!exists && gone > 0 && v->incarnation <= gone) {
        return reject(s, "VM %s left with incarnation %llu", v->vm.text,
                      (unsigned long long)gone);
    }
    if (!exists) {
        e = cw_check_alloc(calloc(1, sizeof(*e)));
        e->vm = v->vm;
        e->pool = v->pool;
    }
    e->incarnation = v->incarnation;
    e->dc = v->dc;
    e->rack = v->rack;
    e->address = v->address;
    e->offset = offset;
    if (!exists) {
        cw_state_add_vm(s, e);
    }
    return CW_APPLY_OK;
}

/* ---- waves ---------------------------------------------------------- */

/* True when the holder of the scope wrote the record; else sets s->msg. */
static bool
check_holder(struct cw_state *s, const struct cw_record *r,
             struct cw_str scope)
{
    const struct cw_member_entry *h = cw_state_holder(s, scope);
    if (writer_is_member(r, h)) {
        return true;
    }
    (void)reject(s, "%s does not hold %.*s; %s does", r->by.text,
                 CW_FMT(scope), h == NULL ? "nobody" : h->daemon.text);
    return false;
}

static enum cw_apply_result
open_wave(struct cw_state *s, const struct cw_record *r)
{
    const struct cw_rec_wave *w = &r->u.wave;
    const struct cw_wave_entry *other =
        cw_state_open_wave(s, cw_name_str(&w->scope));
    if (other != NULL) {
        return reject(s, "wave %s of %s is open", other->wave.text,
                      w->scope.text);
    }
    if (cw_map_get(&cw_index_get(s)->waves, cw_name_str(&w->wave)) != NULL) {
        return reject(s, "wave %s was opened before", w->wave.text);
    }
    struct cw_wave_entry *e = cw_check_alloc(calloc(1, sizeof(*e)));
    e->wave = w->wave;
    e->scope = w->scope;
    e->last_action = CW_WAVE_OPEN;
    memcpy(e->reason, w->reason, sizeof(e->reason));
    e->opened = r->time;
    e->changed = r->time;
    cw_state_add_wave(s, e);
    return CW_APPLY_OK;
}

static enum cw_apply_result
apply_wave(struct cw_state *s, const struct cw_record *r)
{
    const struct cw_rec_wave *w = &r->u.wave;
    if (!check_holder(s, r, cw_name_str(&w->scope))) {
        return CW_APPLY_REJECTED;
    }
    if (w->action == CW_WAVE_OPEN) {
        return open_wave(s, r);
    }
    struct cw_wave_entry *e =
        cw_map_get(&cw_index_get(s)->waves, cw_name_str(&w->wave));
    if (e == NULL || e->last_action == CW_WAVE_CLOSE ||
        !cw_name_eq(&e->scope, &w->scope)) {
        return reject(s, "no open wave %s of %s", w->wave.text, w->scope.text);
    }
    bool held = e->last_action == CW_WAVE_HOLD;
    if (w->action != CW_WAVE_CLOSE && (w->action == CW_WAVE_HOLD) == held) {
        return reject(s, "wave %s: %s after %s", w->wave.text,
                      cw_wave_action_name(w->action),
                      cw_wave_action_name(e->last_action));
    }
    if (held && r->time > e->changed) {
        e->held_ms += r->time - e->changed;
    }
    e->last_action = w->action;
    memcpy(e->reason, w->reason, sizeof(e->reason));
    e->changed = r->time;
    if (w->action == CW_WAVE_CLOSE) {
        /* closed 0 means open, so a record time of 0 must not be stored. */
        e->closed = r->time > 0 ? r->time : 1;
        cw_index_scope_pool(s, cw_name_str(&e->scope))->wave = NULL;
    }
    return CW_APPLY_OK;
}

/* ---- VM operations -------------------------------------------------- */

static bool
is_step_allowed(enum cw_op_kind kind, enum cw_op_step last,
                enum cw_op_step next)
{
    bool move = kind == CW_OP_MOVE;
    switch (last) {
    case CW_STEP_DRAINING:
        return next == CW_STEP_DRAINED || next == CW_STEP_CANCELLED;
    case CW_STEP_DRAINED:
        return next == CW_STEP_CANCELLED ||
               next == (move ? CW_STEP_ASSIGNING : CW_STEP_REBOOTING);
    case CW_STEP_REBOOTING:
    case CW_STEP_ASSIGNING:
        return next == CW_STEP_RETURNING || next == CW_STEP_FAILED;
    case CW_STEP_RETURNING:
        return next == CW_STEP_DONE || next == CW_STEP_FAILED;
    case CW_STEP_DONE:
    case CW_STEP_CANCELLED:
    case CW_STEP_FAILED:
        return false;
    }
    return false;
}

/* The scope of an operation is its source pool or its target pool. */
static bool
is_scope_of_op(const struct cw_rec_op *p)
{
    struct cw_str scope = cw_name_str(&p->scope);
    if (!cw_str_starts(scope, CW_LIT("pool/"))) {
        return false;
    }
    struct cw_str pool = {scope.ptr + 5, scope.len - 5};
    return cw_str_eq(pool, cw_name_str(&p->from)) ||
           cw_str_eq(pool, cw_name_str(&p->to));
}

/* True when the operation belongs to no wave or to the open wave of its scope,
 * which must not be on hold. */
static bool
is_wave_running(const struct cw_state *s, const struct cw_rec_op *p)
{
    if (p->wave.len == 0) {
        return true;
    }
    const struct cw_wave_entry *w =
        cw_state_open_wave(s, cw_name_str(&p->scope));
    return w != NULL && cw_name_eq(&w->wave, &p->wave) &&
           w->last_action != CW_WAVE_HOLD;
}

static enum cw_apply_result
begin_op(struct cw_state *s, uint64_t offset, const struct cw_record *r)
{
    const struct cw_rec_op *p = &r->u.op;
    struct cw_vm_entry *vm =
        cw_map_get(&cw_index_get(s)->vms, cw_name_str(&p->vm));
    if (p->step != CW_STEP_DRAINING) {
        return reject(s, "op %s does not exist; it begins with draining",
                      p->op.text);
    }
    if (vm == NULL) {
        return reject(s, "VM %s is unknown", p->vm.text);
    }
    if (vm->op.len > 0) {
        return reject(s, "VM %s has the open op %s", p->vm.text, vm->op.text);
    }
    if (!cw_name_eq(&vm->pool, &p->from)) {
        return reject(s, "VM %s is in pool %s, not %s", p->vm.text,
                      vm->pool.text, p->from.text);
    }
    if (cw_name_eq(&p->from, &p->to) != (p->kind == CW_OP_MAINTAIN)) {
        return reject(s, "op %s: invalid %s from pool %s to pool %s",
                      p->op.text, cw_op_kind_name(p->kind), p->from.text,
                      p->to.text);
    }
    if (!is_scope_of_op(p)) {
        return reject(s, "op %s: scope %s is neither of its pools", p->op.text,
                      p->scope.text);
    }
    if (!is_wave_running(s, p)) {
        return reject(s, "op %s: wave %s is not running", p->op.text,
                      p->wave.text);
    }
    struct cw_op_entry *e = cw_check_alloc(calloc(1, sizeof(*e)));
    e->rec = *p;
    e->first_offset = offset;
    e->last_offset = offset;
    e->by = r->by;
    e->step_time[CW_STEP_DRAINING] = r->time;
    e->open = true;
    cw_state_add_op(s, e);
    vm->op = p->op;
    vm->offset = offset;
    return CW_APPLY_OK;
}

static bool
is_same_op(const struct cw_rec_op *a, const struct cw_rec_op *b)
{
    return a->kind == b->kind && cw_name_eq(&a->scope, &b->scope) &&
           cw_name_eq(&a->vm, &b->vm) && cw_name_eq(&a->from, &b->from) &&
           cw_name_eq(&a->to, &b->to);
}

/* Updates the VM and the wave after the last step of an operation. */
static void
end_op(struct cw_state *s, struct cw_op_entry *e, struct cw_vm_entry *vm,
       const struct cw_record *r)
{
    enum cw_op_step step = e->rec.step;
    e->open = false;
    memset(&vm->op, 0, sizeof(vm->op));
    if (step == CW_STEP_DONE && e->rec.kind == CW_OP_MAINTAIN) {
        vm->maintained = r->time;
    }
    struct cw_wave_entry *w =
        cw_map_get(&cw_index_get(s)->waves, cw_name_str(&e->rec.wave));
    if (w != NULL) {
        w->done += step == CW_STEP_DONE;
        w->failed += step == CW_STEP_FAILED;
    }
}

static enum cw_apply_result
apply_op(struct cw_state *s, uint64_t offset, const struct cw_record *r)
{
    const struct cw_rec_op *p = &r->u.op;
    if (!check_holder(s, r, cw_name_str(&p->scope))) {
        return CW_APPLY_REJECTED;
    }
    struct cw_op_entry *e =
        cw_map_get(&cw_index_get(s)->ops, cw_name_str(&p->op));
    if (e == NULL) {
        return begin_op(s, offset, r);
    }
    if (!is_same_op(&e->rec, p)) {
        return reject(s,
                      "op %s: kind, scope, vm, from or to differ from its "
                      "first record",
                      p->op.text);
    }
    if (!is_step_allowed(e->rec.kind, e->rec.step, p->step)) {
        return reject(s, "op %s: %s after %s", p->op.text,
                      cw_op_step_name(p->step), cw_op_step_name(e->rec.step));
    }
    struct cw_vm_entry *vm =
        cw_map_get(&cw_index_get(s)->vms, cw_name_str(&p->vm));
    CW_INVARIANT(vm != NULL && cw_name_eq(&vm->op, &p->op));
    e->rec.step = p->step;
    memcpy(e->rec.result, p->result, sizeof(e->rec.result));
    e->last_offset = offset;
    e->by = r->by;
    e->step_time[p->step] = r->time;
    vm->offset = offset;
    if (p->step == CW_STEP_ASSIGNING) {
        cw_index_pool(s, cw_name_str(&vm->pool))->vms--;
        vm->pool = e->rec.to;
        cw_index_pool(s, cw_name_str(&vm->pool))->vms++;
    }
    if (p->step >= CW_STEP_DONE) {
        end_op(s, e, vm, r);
    }
    return CW_APPLY_OK;
}

/* ---- statistics and dispatch ---------------------------------------- */

static enum cw_apply_result
apply_stat(struct cw_state *s, const struct cw_record *r)
{
    const struct cw_rec_stat *t = &r->u.stat;
    struct cw_rec_stat *e = cw_check_alloc(malloc(sizeof(*e)));
    *e = *t;
    e->services = NULL;
    if (t->count > 0) {
        e->services = cw_check_alloc(malloc(t->count * sizeof(*t->services)));
        memcpy(e->services, t->services, t->count * sizeof(*t->services));
    }
    cw_state_add_stat(s, e);
    return CW_APPLY_OK;
}

static enum cw_apply_result
apply_body(struct cw_state *s, uint64_t offset, const struct cw_record *r)
{
    switch (r->type) {
    case CW_REC_DOC:
        return apply_doc(s, offset, r);
    case CW_REC_MEMBER:
        return apply_member(s, offset, r);
    case CW_REC_VM:
        return apply_vm(s, offset, r);
    case CW_REC_OP:
        return apply_op(s, offset, r);
    case CW_REC_WAVE:
        return apply_wave(s, r);
    case CW_REC_STAT:
        return apply_stat(s, r);
    case CW_REC_SNAP:
        return check_holder(s, r, CW_LIT("log")) ? CW_APPLY_OK
                                                 : CW_APPLY_REJECTED;
    }
    return reject(s, "unknown record type");
}

enum cw_apply_result
cw_state_apply(struct cw_state *s, uint64_t offset, const struct cw_record *r)
{
    s->msg[0] = '\0';
    if (offset <= s->applied) {
        snprintf(s->msg, sizeof(s->msg), "offset %llu is applied already",
                 (unsigned long long)offset);
        return CW_APPLY_DUPLICATE;
    }
    s->applied = offset;
    if (!cw_seen_add(cw_index_get(s), cw_seen_hash(cw_name_str(&r->id)))) {
        snprintf(s->msg, sizeof(s->msg), "record id %s was seen before",
                 r->id.text);
        return CW_APPLY_DUPLICATE;
    }
    enum cw_apply_result a = apply_body(s, offset, r);
    if (a == CW_APPLY_OK && r->type != CW_REC_SNAP) {
        s->version++;
    }
    return a;
}

void
cw_state_skip(struct cw_state *s, uint64_t offset)
{
    if (offset > s->applied) {
        s->applied = offset;
    }
}
