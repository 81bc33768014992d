/* Helpers of the tests of documents, records and the replicated state. */
#include "state_util.h"

#include <string.h>

enum cw_apply_result
apply_record_with_id(struct cw_state *s, const char *id, const char *by,
                     const char *body)
{
    uint64_t offset = s->applied + 1;
    struct cw_buf b;
    cw_buf_init(&b);
    if (id == NULL) {
        cw_buf_addf(&b, "{\"id\":\"r%llu\"", (unsigned long long)offset);
    }
    else {
        cw_buf_addf(&b, "{\"id\":\"%s\"", id);
    }
    cw_buf_addf(&b, ",\"by\":\"%s\",\"time\":%llu,%s}", by,
                (unsigned long long)offset * 1000, body);
    struct cw_record r;
    char msg[CW_MSG_MAX];
    enum cw_status st = cw_record_parse(&r, cw_buf_str(&b), msg);
    if (st != CW_OK) {
        fprintf(stderr, "test record: %s: %s\n", msg, b.ptr);
    }
    CW_INVARIANT(st == CW_OK);
    enum cw_apply_result a = cw_state_apply(s, offset, &r);
    cw_record_finish(&r);
    cw_buf_finish(&b);
    return a;
}

enum cw_apply_result
apply_record(struct cw_state *s, const char *by, const char *fmt, ...)
{
    char body[2048];
    va_list ap;
    va_start(ap, fmt);
    vsnprintf(body, sizeof(body), fmt, ap);
    va_end(ap);
    return apply_record_with_id(s, NULL, by, body);
}

void
join_members(struct cw_state *s, int n)
{
    for (int i = 1; i <= n; i++) {
        char by[16];
        snprintf(by, sizeof(by), "d%d", i);
        CW_INVARIANT(
            apply_record(s, by,
                         "\"type\":\"member\",\"daemon\":\"%s\","
                         "\"incarnation\":1,\"action\":\"join\",\"dc\":"
                         "\"dc%d\",\"address\":\"127.0.0.1:%d\"",
                         by, i % 3, 7000 + i) == CW_APPLY_OK);
    }
}

void
add_vm(struct cw_state *s, const char *vm, const char *pool)
{
    CW_INVARIANT(
        apply_record(s, "d1",
                     "\"type\":\"vm\",\"vm\":\"%s\",\"incarnation\":1,"
                     "\"pool\":\"%s\",\"dc\":\"dc1\",\"rack\":\"k1\","
                     "\"address\":\"127.0.0.1:9000\"",
                     vm, pool) == CW_APPLY_OK);
}

enum cw_apply_result
apply_op_step(struct cw_state *s, const char *op, const char *kind,
              const char *vm, const char *from, const char *to,
              const char *step)
{
    char scope[CW_NAME_MAX + 1];
    snprintf(scope, sizeof(scope), "pool/%.50s", from);
    return apply_record(
        s, holder_of(s, scope),
        "\"type\":\"op\",\"op\":\"%s\",\"kind\":\"%s\",\"scope\":"
        "\"%s\",\"vm\":\"%s\",\"from\":\"%s\",\"to\":\"%s\","
        "\"cause\":\"test\",\"step\":\"%s\"",
        op, kind, scope, vm, from, to, step);
}

const char *
holder_of(const struct cw_state *s, const char *scope)
{
    return cw_state_holder(s, cw_str_from(scope))->daemon.text;
}

const char *
non_holder_of(const struct cw_state *s, const char *scope)
{
    const struct cw_member_entry *h = cw_state_holder(s, cw_str_from(scope));
    const struct cw_member_entry *m = &s->members[0];
    return m == h ? s->members[1].daemon.text : m->daemon.text;
}

void
make_doc(struct cw_buf *out, const char *service, const char *extra)
{
    cw_buf_addf(out,
                "{\"service\":\"%s\",\"team\":\"t1\",\"capacity\":"
                "{\"vms_min\":2,\"vms_max\":9},\"availability\":"
                "{\"target\":0.999}%s}",
                service, extra);
}

enum cw_apply_result
apply_doc_edit(struct cw_state *s, const char *id, const char *by,
               const char *service, uint64_t base, const char *extra)
{
    struct cw_buf doc, body;
    cw_buf_init(&doc);
    cw_buf_init(&body);
    make_doc(&doc, service, extra);
    cw_buf_addf(&body,
                "\"type\":\"doc\",\"service\":\"%s\",\"base\":%llu,\"doc\":",
                service, (unsigned long long)base);
    cw_buf_add_json(&body, cw_buf_str(&doc));
    enum cw_apply_result a = apply_record_with_id(s, id, by, body.ptr);
    cw_buf_finish(&doc);
    cw_buf_finish(&body);
    return a;
}

void
mutate_text(struct cw_rng *rng, struct cw_str text, struct cw_buf *out)
{
    static const char *const tokens[] = {
        "null", "-1",  "1e999",
        "\"\"", "[]",  "{}",
        "\xff", "\\u", "999999999999999999999",
        "true", "\"",  ",",
    };
    cw_buf_clear(out);
    cw_buf_add_str(out, text);
    uint64_t changes = 1 + cw_rng_below(rng, 4);
    while (changes-- > 0 && out->len > 0) {
        size_t pos = cw_rng_below(rng, out->len);
        struct cw_buf next;
        cw_buf_init(&next);
        cw_buf_add(&next, out->ptr, pos);
        size_t skip = cw_rng_below(rng, 6);
        skip = skip > out->len - pos ? out->len - pos : skip;
        switch (cw_rng_below(rng, 4)) {
        case 0: /* replace some bytes by a token */
            cw_buf_add_str(&next, cw_str_from(tokens[cw_rng_below(rng, 12)]));
            cw_buf_add(&next, out->ptr + pos + skip, out->len - pos - skip);
            break;
        case 1: /* flip a bit */
            cw_buf_add(&next, out->ptr + pos, out->len - pos);
            next.ptr[pos] ^= (char)(1U << cw_rng_below(rng, 8));
            break;
        case 2: /* repeat some bytes */
            cw_buf_add(&next, out->ptr + pos, skip);
            cw_buf_add(&next, out->ptr + pos, out->len - pos);
            break;
        default: /* cut some bytes, in 1 of 4 cases all that follow */
            if (cw_rng_below(rng, 4) != 0) {
                cw_buf_add(&next, out->ptr + pos + skip,
                           out->len - pos - skip);
            }
            break;
        }
        cw_buf_finish(out);
        *out = next;
    }
}
