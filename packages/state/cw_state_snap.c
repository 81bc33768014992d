/* Export of the replicated state as snapshot items, which cw_state_import
 * reads.
 *
 * An item is a JSON array whose first element names its kind; the others are
 * positional, which keeps a snapshot small. The order of items is fixed, so
 * that equal states give equal text. */
#include "cw_index.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

enum {
    /* Document text in one item, counted after escaping. */
    DOC_TEXT_BYTES = 3000,
    SERVICES_PER_ITEM = 10, /* services in one item, at most 250 bytes each */
    IDS_PER_ITEM = 160,     /* record ids in one item, 16 bytes each */
};

struct part_writer {
    struct cw_buf part; /* array of the items so far, not closed yet */
    struct cw_buf item; /* the item being written */
    size_t max_bytes;   /* largest part */
    void (*add)(void *ctx, struct cw_str items);
    void *ctx;
};

static void
flush_part(struct part_writer *w)
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
begin_item(struct part_writer *w, const char *kind)
{
    w->item.len = 0;
    cw_buf_addf(&w->item, "[\"%s\"", kind);
}

static void
end_item(struct part_writer *w)
{
    cw_buf_add(&w->item, "]", 1);
    if (w->part.len > 0 && w->part.len + w->item.len + 2 > w->max_bytes) {
        flush_part(w);
    }
    cw_buf_add(&w->part, w->part.len == 0 ? "[" : ",", 1);
    cw_buf_add_str(&w->part, cw_buf_str(&w->item));
}

static void
put_str(struct part_writer *w, struct cw_str s)
{
    cw_buf_add(&w->item, ",", 1);
    cw_buf_add_json(&w->item, s);
}

static void
put_name(struct part_writer *w, const struct cw_name *n)
{
    put_str(w, cw_name_str(n));
}

static void
put_int(struct part_writer *w, int64_t v)
{
    cw_buf_addf(&w->item, ",%lld", (long long)v);
}

static void
put_uint(struct part_writer *w, uint64_t v)
{
    put_int(w, (int64_t)v);
}

/* Bytes of c in a JSON string. */
static size_t
escaped_size(unsigned char c)
{
    if (c < 0x20) {
        return 6;
    }
    return c == '"' || c == '\\' ? 2 : 1;
}

static void
export_doc(struct part_writer *w, const struct cw_doc_entry *e)
{
    begin_item(w, "doc");
    put_uint(w, e->version);
    put_name(w, &e->by);
    put_int(w, e->time);
    put_uint(w, e->json_len);
    end_item(w);
    size_t from = 0;
    while (from < e->json_len) {
        size_t to = from, size = 0;
        while (to < e->json_len && size < DOC_TEXT_BYTES) {
            size += escaped_size((unsigned char)e->json[to++]);
        }
        /* Ends at a UTF-8 sequence boundary, so that the text of each item is
         * a valid JSON string. */
        while (to < e->json_len &&
               ((unsigned char)e->json[to] & 0xc0) == 0x80) {
            to++;
        }
        begin_item(w, "text");
        put_str(w, (struct cw_str){e->json + from, to - from});
        end_item(w);
        from = to;
    }
}

static void
export_op(struct part_writer *w, const struct cw_op_entry *e)
{
    const struct cw_rec_op *p = &e->rec;
    begin_item(w, "op");
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
    end_item(w);
}

static void
export_stat(struct part_writer *w, const struct cw_rec_stat *t)
{
    begin_item(w, "stat");
    put_name(w, &t->daemon);
    put_int(w, t->from);
    put_int(w, t->to);
    end_item(w);
    for (size_t i = 0; i < t->count; i++) {
        const struct cw_stat_service *x = &t->services[i];
        if (i % SERVICES_PER_ITEM == 0) {
            begin_item(w, "rows");
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
        if (i % SERVICES_PER_ITEM == SERVICES_PER_ITEM - 1 ||
            i + 1 == t->count) {
            end_item(w);
        }
    }
}

static void
export_departed(struct part_writer *w, const char *kind,
                const struct cw_departed *d)
{
    for (size_t i = 0; i < d->count; i++) {
        begin_item(w, kind);
        put_name(w, &d->items[i].name);
        put_uint(w, d->items[i].incarnation);
        end_item(w);
    }
}

static void
export_members(struct part_writer *w, const struct cw_state *s)
{
    begin_item(w, "head");
    put_uint(w, s->member_epoch);
    put_int(w, s->index == NULL ? 0 : s->index->advanced_to);
    end_item(w);
    for (size_t i = 0; i < s->member_count; i++) {
        const struct cw_member_entry *m = &s->members[i];
        begin_item(w, "member");
        put_name(w, &m->daemon);
        put_uint(w, m->incarnation);
        put_name(w, &m->dc);
        put_name(w, &m->address);
        put_uint(w, m->offset);
        end_item(w);
    }
    if (s->index != NULL) {
        export_departed(w, "departed", &s->index->departed_members);
        export_departed(w, "gone", &s->index->departed_vms);
    }
}

static void
export_vm(struct part_writer *w, const struct cw_vm_entry *v)
{
    begin_item(w, "vm");
    put_name(w, &v->vm);
    put_uint(w, v->incarnation);
    put_name(w, &v->pool);
    put_name(w, &v->dc);
    put_name(w, &v->rack);
    put_name(w, &v->address);
    put_uint(w, v->offset);
    put_int(w, v->maintained);
    put_name(w, &v->op);
    end_item(w);
}

static void
export_wave(struct part_writer *w, const struct cw_wave_entry *e)
{
    begin_item(w, "wave");
    put_name(w, &e->wave);
    put_name(w, &e->scope);
    put_int(w, e->last_action);
    put_str(w, cw_str_from(e->reason));
    put_int(w, e->opened);
    put_int(w, e->changed);
    put_int(w, e->closed);
    put_int(w, e->held_ms);
    put_int(w, e->done);
    put_int(w, e->failed);
    end_item(w);
}

static void
export_edit(struct part_writer *w, const struct cw_edit_entry *e)
{
    begin_item(w, "edit");
    put_name(w, &e->id);
    put_name(w, &e->service);
    put_name(w, &e->by);
    put_int(w, e->time);
    put_uint(w, e->offset);
    put_uint(w, e->base);
    put_uint(w, e->current_version);
    put_int(w, e->accepted);
    put_str(w, cw_str_from(e->reason));
    end_item(w);
}

static void
export_seen_ids(struct part_writer *w, const struct cw_state_index *x)
{
    for (size_t i = 0; i < x->seen_count; i++) {
        if (i % IDS_PER_ITEM == 0) {
            begin_item(w, "ids");
            cw_buf_addf(&w->item, ",\"");
        }
        uint64_t h = x->seen_ring[(x->seen_first + i) % CW_SEEN_IDS];
        cw_buf_addf(&w->item, "%016llx", (unsigned long long)h);
        if (i % IDS_PER_ITEM == IDS_PER_ITEM - 1 || i + 1 == x->seen_count) {
            cw_buf_addf(&w->item, "\"");
            end_item(w);
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
    struct part_writer w = {.max_bytes = part_max, .add = add, .ctx = ctx};
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
        export_seen_ids(&w, s->index);
    }
    flush_part(&w);
    bool failed = w.part.failed || w.item.failed;
    cw_buf_finish(&w.part);
    cw_buf_finish(&w.item);
    return failed ? CW_ERR_NOMEM : CW_OK;
}
