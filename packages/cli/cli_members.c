/* The members and their applied log offsets, as one daemon reports them. */
#include "cli.h"

#include <string.h>

#define MEMBERS_TIMEOUT_MS 2000

static bool
parse_member(struct cli_member *m, const json_t *v)
{
    memset(m, 0, sizeof(*m));
    const json_t *daemon = json_object_get(v, "daemon");
    const json_t *dc = json_object_get(v, "dc");
    m->incarnation =
        (uint64_t)json_integer_value(json_object_get(v, "incarnation"));
    m->applied = (uint64_t)json_integer_value(json_object_get(v, "applied"));
    m->age_ms = json_integer_value(json_object_get(v, "age_ms"));
    return json_is_integer(json_object_get(v, "applied")) &&
           cw_name_set(&m->daemon, cw_str_from(json_string_value(daemon))) ==
               CW_OK &&
           m->daemon.len > 0 &&
           cw_name_set(&m->dc, cw_str_from(json_string_value(dc))) == CW_OK;
}

static struct cli_member *
find_member(struct cli_members *m, const struct cw_name *daemon)
{
    for (size_t i = 0; i < m->count; i++) {
        if (cw_name_eq(&m->items[i].daemon, daemon)) {
            return &m->items[i];
        }
    }
    return NULL;
}

enum cw_status
cli_members_parse(struct cli_members *m, struct cw_str json, char *msg)
{
    m->count = 0;
    json_t *v = json_loadb(json.len == 0 ? "" : json.ptr, json.len, 0, NULL);
    const json_t *list = json_object_get(v, "members");
    struct cli_member member;
    if (!json_is_array(list) || !parse_member(&member, v)) {
        json_decref(v);
        return cw_fail(msg, CW_ERR_INVALID,
                       "the answer to GET /members is malformed");
    }
    m->items[m->count++] = member;
    for (size_t i = 0; i < json_array_size(list); i++) {
        if (m->count == CLI_MEMBERS_MAX ||
            !parse_member(&member, json_array_get(list, i))) {
            json_decref(v);
            return cw_fail(msg, CW_ERR_INVALID,
                           "members[%zu] of GET /members is malformed", i);
        }
        /* The answering daemon may list itself; only that entry has its dc. */
        struct cli_member *old = find_member(m, &member.daemon);
        if (old == NULL) {
            m->items[m->count++] = member;
        }
        else {
            member.applied =
                old->applied > member.applied ? old->applied : member.applied;
            *old = member;
        }
    }
    json_decref(v);
    return CW_OK;
}

enum cw_status
cli_members_get(struct cli *c, struct cli_members *m)
{
    struct cli_reply reply;
    enum cw_status s =
        cli_http(c, c->daemon, "/members", NULL, MEMBERS_TIMEOUT_MS, &reply);
    if (s == CW_OK && reply.status != 200) {
        s = cw_fail(c->msg, CW_ERR_UNAVAILABLE,
                    "%s: GET /members answered with status %ld", c->daemon,
                    reply.status);
    }
    if (s == CW_OK) {
        s = cli_members_parse(m, cw_buf_str(&reply.body), c->msg);
    }
    cli_reply_finish(&reply);
    return s;
}

size_t
cli_members_lagging(const struct cw_state *s, const struct cli_members *m,
                    uint64_t offset, struct cw_buf *names)
{
    size_t lagging = 0;
    for (size_t i = 0; i < s->member_count; i++) {
        const struct cw_name *daemon = &s->members[i].daemon;
        const struct cli_member *x =
            find_member((struct cli_members *)m, daemon);
        if (x != NULL && x->applied >= offset) {
            continue;
        }
        cw_buf_addf(names, "%s%s", lagging++ == 0 ? "" : ", ", daemon->text);
        if (x == NULL) {
            cw_buf_addf(names, " (not heard)");
        }
        else {
            cw_buf_addf(names, " (at %llu, %lld ms ago)",
                        (unsigned long long)x->applied, (long long)x->age_ms);
        }
    }
    return lagging;
}
