/* Export of the replicated state as snapshot items, and import.
 *
 * Each item is a JSON array whose first element names its kind; the rest is
 * positional, which keeps a snapshot small. Items come in a fixed order, so
 * equal states give equal text. */
#include "cw_index.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

enum {
    TEXT_CHUNK = 3000, /* escaped bytes of a document in one item */
    STAT_CHUNK = 10,   /* services in one item, at most 250 bytes each */
    ID_CHUNK = 160,    /* record ids in one item, 16 bytes each */
};

/* ---- export --------------------------------------------------------- */

struct writer {
    struct cw_buf part;
    struct cw_buf item;
    size_t max;
    void (*add)(void *ctx, struct cw_str items);
    void *ctx;
};

static void
flush_part(struct writer *w)
{
    if (w->part.len > 0) {
        cw_buf_add(&w->part, "]", 1);
        if (!w->part.failed) {
            w->add(w->ctx, cw_buf_str(&w->part));
        }
        w->part.len = 0;
    }
}

static void
begin(struct writer *w, const char *kind)
{
    w->item.len = 0;
    cw_buf_addf(&w->item, "[\"%s\"", kind);
}

static void
end(struct writer *w)
{
    cw_buf_add(&w->item, "]", 1);
    if (w->part.len > 0 && w->part.len + w->item.len + 2 > w->max) {
        flush_part(w);
    }
    cw_buf_add(&w->part, w->part.len == 0 ? "[" : ",", 1);
    cw_buf_add_str(&w->part, cw_buf_str(&w->item));
}

static void
put_str(struct writer *w, struct cw_str s)
{
    cw_buf_add(&w->item, ",", 1);
    cw_buf_add_json(&w->item, s);
}

static void
put_name(struct writer *w, const struct cw_name *n)
{
    put_str(w, cw_name_str(n));
}

static void
put_int(struct writer *w, int64_t v)
{
    cw_buf_addf(&w->item, ",%lld", (long long)v);
}

static void
put_uint(struct writer *w, uint64_t v)
{
    put_int(w, (int64_t)v);
}

static size_t
escaped_size(unsigned char c)
{
    if (c < 0x20) {
        return 6;
    }
    return c == '"' || c == '\\' ? 2 : 1;
}

static void
export_doc(struct writer *w, const struct cw_doc_entry *e)
{
    begin(w, "doc");
    put_uint(w, e->version);
    put_name(w, &e->by);
    put_int(w, e->time);
    put_uint(w, e->json_len);
    end(w);
    size_t from = 0;
    while (from < e->json_len) {
        size_t to = from, size = 0;
        while (to < e->json_len && size < TEXT_CHUNK) {
            size += escaped_size((unsigned char)e->json[to++]);
        }
        /* Not inside a UTF-8 sequence: each item is a valid JSON string. */
        while (to < e->json_len &&
               ((unsigned char)e->json[to] & 0xc0) == 0x80) {
            to++;
        }
        begin(w, "text");
        put_str(w, (struct cw_str){e->json + from, to - from});
        end(w);
        from = to;
    }
}

static void
export_op(struct writer *w, const struct cw_op_entry *e)
{
    const struct cw_rec_op *p = &e->rec;
    begin(w, "op");
    put_name(w, &p->op);
    put_int(w, p->kind);
    put_name(w, &p->scope);
    put_name(w, &p->vm);
    put_name(w, &p->from);
    put_name(w, &p->to);
    put_name(w, &p->wave);
    put_str(w, cw_str_from(p->cause));
    put_str(w, cw_str_from(p->result));
    put_uint(w, p->doc_version);
    put_int(w, p->step);
    put_uint(w, e->first_offset);
    put_uint(w, e->last_offset);
    put_name(w, &e->by);
    put_int(w, e->open);
    for (size_t i = 0; i < CW_STEP_COUNT; i++) {
        put_int(w, e->step_time[i]);
    }
    end(w);
}

static void
export_stat(struct writer *w, const struct cw_rec_stat *t)
{
    begin(w, "stat");
    put_name(w, &t->daemon);
    put_int(w, t->from);
    put_int(w, t->to);
    end(w);
    for (size_t i = 0; i < t->count; i++) {
        const struct cw_stat_service *x = &t->services[i];
        if (i % STAT_CHUNK == 0) {
            begin(w, "rows");
        }
        put_name(w, &x->service);
        put_uint(w, x->ok);
        put_uint(w, x->failed);
        put_uint(w, x->shed);
        put_uint(w, x->unknown);
        put_uint(w, x->p50_us);
        put_uint(w, x->p99_us);
        put_uint(w, x->idle_slot_ms);
        put_uint(w, x->busy_slot_ms);
        if (i % STAT_CHUNK == STAT_CHUNK - 1 || i + 1 == t->count) {
            end(w);
        }
    }
}

static void
export_departed(struct writer *w, const char *kind,
                const struct cw_departed *d)
{
    for (size_t i = 0; i < d->count; i++) {
        begin(w, kind);
        put_name(w, &d->items[i].name);
        put_uint(w, d->items[i].incarnation);
        end(w);
    }
}

static void
export_members(struct writer *w, const struct cw_state *s)
{
    begin(w, "head");
    put_uint(w, s->member_epoch);
    put_int(w, s->index == NULL ? 0 : s->index->tick);
    end(w);
    for (size_t i = 0; i < s->member_count; i++) {
        const struct cw_member_entry *m = &s->members[i];
        begin(w, "member");
        put_name(w, &m->daemon);
        put_uint(w, m->incarnation);
        put_name(w, &m->dc);
        put_name(w, &m->address);
        put_uint(w, m->offset);
        end(w);
    }
    if (s->index != NULL) {
        export_departed(w, "departed", &s->index->members_gone);
        export_departed(w, "gone", &s->index->vms_gone);
    }
}

static void
export_vm(struct writer *w, const struct cw_vm_entry *v)
{
    begin(w, "vm");
    put_name(w, &v->vm);
    put_uint(w, v->incarnation);
    put_name(w, &v->pool);
    put_name(w, &v->dc);
    put_name(w, &v->rack);
    put_name(w, &v->address);
    put_uint(w, v->offset);
    put_int(w, v->maintained);
    put_name(w, &v->op);
    end(w);
}

static void
export_wave(struct writer *w, const struct cw_wave_entry *e)
{
    begin(w, "wave");
    put_name(w, &e->wave);
    put_name(w, &e->scope);
    put_int(w, e->last);
    put_str(w, cw_str_from(e->reason));
    put_int(w, e->opened);
    put_int(w, e->changed);
    put_int(w, e->closed);
    put_int(w, e->held_ms);
    put_int(w, e->done);
    put_int(w, e->failed);
    end(w);
}

static void
export_edit(struct writer *w, const struct cw_edit_entry *e)
{
    begin(w, "edit");
    put_name(w, &e->id);
    put_name(w, &e->service);
    put_name(w, &e->by);
    put_int(w, e->time);
    put_uint(w, e->offset);
    put_uint(w, e->base);
    put_uint(w, e->current);
    put_int(w, e->accepted);
    put_str(w, cw_str_from(e->reason));
    end(w);
}

static void
export_ids(struct writer *w, const struct cw_state_index *x)
{
    for (size_t i = 0; i < x->seen_count; i++) {
        if (i % ID_CHUNK == 0) {
            begin(w, "ids");
            cw_buf_addf(&w->item, ",\"");
        }
        uint64_t h = x->seen_ring[(x->seen_first + i) % CW_SEEN_IDS];
        cw_buf_addf(&w->item, "%016llx", (unsigned long long)h);
        if (i % ID_CHUNK == ID_CHUNK - 1 || i + 1 == x->seen_count) {
            cw_buf_addf(&w->item, "\"");
            end(w);
        }
    }
}

enum cw_status
cw_state_export(const struct cw_state *s, size_t part_max,
                void (*add)(void *ctx, struct cw_str items), void *ctx)
{
    if (part_max < CW_PART_MIN) {
        return CW_ERR_LIMIT;
    }
    struct writer w = {.max = part_max, .add = add, .ctx = ctx};
    export_members(&w, s);
    for (size_t i = 0; i < s->doc_count; i++) {
        export_doc(&w, s->docs[i]);
    }
    for (size_t i = 0; i < s->vm_count; i++) {
        export_vm(&w, s->vms[i]);
    }
    for (size_t i = 0; i < s->op_count; i++) {
        export_op(&w, s->ops[i]);
    }
    for (size_t i = 0; i < s->wave_count; i++) {
        export_wave(&w, s->waves[i]);
    }
    for (size_t i = 0; i < s->edit_count; i++) {
        export_edit(&w, s->edits[i]);
    }
    for (size_t i = 0; i < s->stat_count; i++) {
        export_stat(&w, s->stats[i]);
    }
    if (s->index != NULL) {
        export_ids(&w, s->index);
    }
    flush_part(&w);
    bool failed = w.part.failed || w.item.failed;
    cw_buf_finish(&w.part);
    cw_buf_finish(&w.item);
    return failed ? CW_ERR_NOMEM : CW_OK;
}
