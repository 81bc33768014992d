/* Guards the replicated state: which records take effect, that replicas agree,
 * and that import of a snapshot at any offset gives the state of a full
 * replay. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "state_util.h"

#include <stdlib.h>
#include <string.h>

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

/* Two operators edit the same version of a document. The second edit must be
 * rejected on every replica, since it would overwrite changes that its author
 * has not seen. */
static void
test_conflicting_edits(void **state)
{
    (void)state;
    uint64_t digests[3];
    for (int i = 0; i < 3; i++) {
        struct cw_state s;
        cw_state_init(&s);
        assert_int_equal(apply_doc_edit(&s, "e1", "ann", "stock", 0, ""),
                         CW_APPLY_OK);
        assert_int_equal(apply_doc_edit(&s, "e2", "bob", "stock", 1, ""),
                         CW_APPLY_OK);
        assert_int_equal(apply_doc_edit(&s, "e3", "ann", "stock", 1, ""),
                         CW_APPLY_REJECTED);
        assert_non_null(strstr(s.msg, "version 1, but 2"));
        assert_int_equal(apply_doc_edit(&s, "e4", "ann", "stock", 0, ""),
                         CW_APPLY_REJECTED);
        assert_int_equal(cw_state_doc(&s, CW_LIT("stock"))->version, 2);
        assert_int_equal(s.edit_count, 4);
        assert_false(s.edits[2]->accepted);
        assert_int_equal(s.edits[2]->current_version, 2);
        digests[i] = cw_state_digest(&s);
        cw_state_finish(&s);
    }
    assert_true(digests[0] == digests[1] && digests[1] == digests[2]);
}

/* An edit that names the pool of another service is rejected, since two
 * documents would apply to its VMs. A rejected edit must not change the
 * document in force. */
static void
test_rejected_edits(void **state)
{
    (void)state;
    struct cw_state s;
    cw_state_init(&s);
    assert_int_equal(apply_doc_edit(&s, "e1", "ann", "stock", 0, ""),
                     CW_APPLY_OK);
    assert_int_equal(
        apply_doc_edit(&s, "e2", "ann", "roster", 0, ",\"pool\":\"stock\""),
        CW_APPLY_REJECTED);
    assert_non_null(strstr(s.msg, "pool: stock is the pool of service stock"));
    assert_null(cw_state_doc(&s, CW_LIT("roster")));
    assert_int_equal(
        apply_doc_edit(&s, "e3", "ann", "stock", 1, ",\"priority\":10"),
        CW_APPLY_REJECTED);
    assert_non_null(strstr(s.msg, "priority"));
    assert_int_equal(cw_state_doc(&s, CW_LIT("stock"))->version, 1);
    /* A pool that a document no longer names is free for another service. */
    assert_int_equal(
        apply_doc_edit(&s, "e4", "ann", "stock", 1, ",\"pool\":\"s2\""),
        CW_APPLY_OK);
    assert_int_equal(
        apply_doc_edit(&s, "e5", "ann", "roster", 0, ",\"pool\":\"stock\""),
        CW_APPLY_OK);
    assert_string_equal(
        cw_state_doc_of_pool(&s, CW_LIT("stock"))->doc.service.text, "roster");
    cw_state_finish(&s);
}

/* A writer appends a record again when the answer to the append was lost. The
 * second record must have no effect, also when the first one was rejected and
 * would be accepted by now. */
static void
test_duplicates(void **state)
{
    (void)state;
    struct cw_state s;
    cw_state_init(&s);
    assert_int_equal(apply_doc_edit(&s, "e0", "ann", "stock", 2, ""),
                     CW_APPLY_REJECTED);
    assert_int_equal(apply_doc_edit(&s, "e1", "ann", "stock", 0, ""),
                     CW_APPLY_OK);
    assert_int_equal(apply_doc_edit(&s, "e1", "ann", "stock", 2, ""),
                     CW_APPLY_DUPLICATE);
    assert_int_equal(apply_doc_edit(&s, "e0", "ann", "stock", 2, ""),
                     CW_APPLY_DUPLICATE);
    assert_int_equal(s.edit_count, 2);
    assert_int_equal(s.applied, 4);
    /* The number of ids kept is bounded; the most recent ones are all kept. */
    static const char snap[] =
        "\"type\":\"snap\",\"cycle\":\"c\",\"as_of\":1,\"part\":1,"
        "\"parts\":1,\"items\":[]";
    for (int i = 0; i < 3 * CW_SEEN_IDS; i++) {
        char id[16];
        bool again = i >= 2 * CW_SEEN_IDS;
        snprintf(id, sizeof(id), "x%d", again ? i - CW_SEEN_IDS : i);
        assert_int_equal(apply_record_with_id(&s, id, "d1", snap),
                         again ? CW_APPLY_DUPLICATE : CW_APPLY_REJECTED);
    }
    assert_int_equal(apply_doc_edit(&s, "e1", "ann", "stock", 9, ""),
                     CW_APPLY_REJECTED);
    cw_state_finish(&s);
}

/* A record whose offset was applied or skipped must not be applied when it is
 * read again. */
static void
test_applied_offset(void **state)
{
    (void)state;
    struct cw_state s;
    cw_state_init(&s);
    cw_state_skip(&s, 10);
    struct cw_record r;
    char msg[CW_MSG_MAX];
    assert_int_equal(
        cw_record_parse(&r,
                        CW_LIT("{\"id\":\"i\",\"by\":\"d\",\"time\":1,"
                               "\"type\":\"vm\",\"vm\":\"v\",\"incarnation\":"
                               "1,\"pool\":\"p\",\"dc\":\"a\",\"rack\":\"k\","
                               "\"address\":\"127.0.0.1:1\"}"),
                        msg),
        CW_OK);
    assert_int_equal(cw_state_apply(&s, 10, &r), CW_APPLY_DUPLICATE);
    assert_int_equal(cw_state_apply(&s, 12, &r), CW_APPLY_OK);
    cw_record_finish(&r);
    cw_state_finish(&s);
}

/* Membership records of an earlier incarnation or of a writer that may not
 * write them must be rejected: each accepted one changes the holders of
 * scopes. */
static void
test_membership(void **state)
{
    (void)state;
#define MEMBER(daemon, inc, action)                                           \
    "\"type\":\"member\",\"daemon\":\"" daemon "\",\"incarnation\":" inc      \
    ",\"action\":\"" action "\",\"dc\":\"a\",\"address\":\"127.0.0.1:1\""
    static const struct {
        const char *by;
        const char *body;
        enum cw_apply_result want;
    } cases[] = {
        {"d2", MEMBER("d1", "5", "join"), CW_APPLY_REJECTED},
        {"d1", MEMBER("d1", "5", "join"), CW_APPLY_OK},
        {"d1", MEMBER("d1", "5", "join"), CW_APPLY_REJECTED},
        {"d1", MEMBER("d1", "6", "join"), CW_APPLY_OK},
        {"d9", MEMBER("d1", "6", "lapse"), CW_APPLY_REJECTED},
        {"d2", MEMBER("d2", "1", "join"), CW_APPLY_OK},
        {"d2", MEMBER("d1", "5", "lapse"), CW_APPLY_REJECTED},
        {"d2", MEMBER("d1", "6", "leave"), CW_APPLY_REJECTED},
        {"d1", MEMBER("d1", "6", "lapse"), CW_APPLY_REJECTED},
        {"d2", "\"by_incarnation\":7," MEMBER("d1", "6", "lapse"),
         CW_APPLY_REJECTED},
        {"d2", MEMBER("d1", "6", "lapse"), CW_APPLY_OK},
        {"d1", MEMBER("d1", "6", "join"), CW_APPLY_REJECTED},
        {"d1", MEMBER("d2", "1", "lapse"), CW_APPLY_REJECTED},
        {"d1", MEMBER("d1", "7", "join"), CW_APPLY_OK},
        {"d1", MEMBER("d1", "7", "leave"), CW_APPLY_OK},
    };
    struct cw_state s;
    cw_state_init(&s);
    for (size_t i = 0; i < COUNT(cases); i++) {
        uint64_t epoch = s.member_epoch;
        enum cw_apply_result got =
            apply_record_with_id(&s, NULL, cases[i].by, cases[i].body);
        if (got != cases[i].want) {
            fail_msg("case %zu: %d, %s", i, (int)got, s.msg);
        }
        assert_true(s.member_epoch ==
                    (got == CW_APPLY_OK ? s.applied : epoch));
    }
    assert_int_equal(s.member_count, 1);
    cw_state_finish(&s);
}

/* A VM must keep its pool when a daemon whose VM list is out of date reports
 * another one. */
static void
test_vm_records(void **state)
{
    (void)state;
    struct cw_state s;
    cw_state_init(&s);
    add_vm(&s, "v1", "p");
    static const char body[] =
        "\"type\":\"vm\",\"vm\":\"v1\",\"incarnation\":%d,\"pool\":\"q\","
        "\"dc\":\"dc2\",\"rack\":\"k2\",\"address\":\"127.0.0.1:2\"";
    char text[256];
    snprintf(text, sizeof(text), body, 1);
    assert_int_equal(apply_record_with_id(&s, NULL, "d1", text),
                     CW_APPLY_REJECTED);
    snprintf(text, sizeof(text), body, 2);
    assert_int_equal(apply_record_with_id(&s, NULL, "d1", text), CW_APPLY_OK);
    const struct cw_vm_entry *v = cw_state_vm(&s, CW_LIT("v1"));
    assert_string_equal(v->pool.text, "p");
    assert_string_equal(v->rack.text, "k2");
    assert_int_equal(cw_state_pool_size(&s, CW_LIT("p")), 1);
    assert_int_equal(cw_state_pool_size(&s, CW_LIT("q")), 0);
    cw_state_finish(&s);
}

/* VMs are replaced every day. One that has left must not stay in the size of
 * its pool, and a late report that an older incarnation has left must not
 * remove the current one. */
static void
test_vm_gone(void **state)
{
    (void)state;
    static const struct {
        int incarnation;
        enum cw_apply_result want;
        size_t left;
    } cases[] = {
        {1, CW_APPLY_REJECTED, 2},
        {2, CW_APPLY_OK, 1},
        {2, CW_APPLY_REJECTED, 1},
    };
    struct cw_state s;
    cw_state_init(&s);
    add_vm(&s, "v1", "p");
    add_vm(&s, "v2", "p");
    char text[256];
    static const char body[] =
        "\"type\":\"vm\",\"vm\":\"v1\",\"incarnation\":%d,\"pool\":\"p\","
        "\"dc\":\"dc1\",\"rack\":\"k\",\"address\":\"127.0.0.1:2\"%s";
    snprintf(text, sizeof(text), body, 2, "");
    assert_int_equal(apply_record_with_id(&s, NULL, "d1", text), CW_APPLY_OK);
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        snprintf(text, sizeof(text), body, cases[i].incarnation,
                 ",\"gone\":true");
        assert_int_equal(apply_record_with_id(&s, NULL, "d1", text),
                         cases[i].want);
        assert_int_equal(cw_state_pool_size(&s, CW_LIT("p")), cases[i].left);
        assert_int_equal(s.vm_count, cases[i].left);
    }
    assert_null(cw_state_vm(&s, CW_LIT("v1")));
    assert_non_null(cw_state_vm(&s, CW_LIT("v2")));
    /* A daemon whose VM list lags reports the VM again: it must not be added
     * unless it has a new incarnation. */
    snprintf(text, sizeof(text), body, 2, "");
    assert_int_equal(apply_record_with_id(&s, NULL, "d1", text),
                     CW_APPLY_REJECTED);
    snprintf(text, sizeof(text), body, 3, "");
    assert_int_equal(apply_record_with_id(&s, NULL, "d1", text), CW_APPLY_OK);
    cw_state_finish(&s);
}

/* A VM changes its pool at the step assigning only. Steps out of order must be
 * rejected: a VM could be rebooted that is not drained. */
static void
test_op_steps(void **state)
{
    (void)state;
    static const struct {
        const char *kind;
        const char *to;
        const char *step;
        enum cw_apply_result want;
        const char *pool;
    } cases[] = {
        {"move", "q", "drained", CW_APPLY_REJECTED, "p"},
        {"move", "p", "draining", CW_APPLY_REJECTED, "p"},
        {"maintain", "q", "draining", CW_APPLY_REJECTED, "p"},
        {"move", "q", "draining", CW_APPLY_OK, "p"},
        {"move", "q", "draining", CW_APPLY_REJECTED, "p"},
        {"move", "q", "assigning", CW_APPLY_REJECTED, "p"},
        {"move", "q", "drained", CW_APPLY_OK, "p"},
        {"move", "q", "rebooting", CW_APPLY_REJECTED, "p"},
        {"move", "r", "assigning", CW_APPLY_REJECTED, "p"},
        {"move", "q", "assigning", CW_APPLY_OK, "q"},
        {"move", "q", "cancelled", CW_APPLY_REJECTED, "q"},
        {"move", "q", "done", CW_APPLY_REJECTED, "q"},
        {"move", "q", "returning", CW_APPLY_OK, "q"},
        {"move", "q", "done", CW_APPLY_OK, "q"},
        {"move", "q", "failed", CW_APPLY_REJECTED, "q"},
    };
    struct cw_state s;
    cw_state_init(&s);
    join_members(&s, 4);
    add_vm(&s, "v1", "p");
    for (size_t i = 0; i < COUNT(cases); i++) {
        enum cw_apply_result got = apply_op_step(
            &s, "o1", cases[i].kind, "v1", "p", cases[i].to, cases[i].step);
        if (got != cases[i].want) {
            fail_msg("case %zu: %d, %s", i, (int)got, s.msg);
        }
        assert_string_equal(cw_state_vm(&s, CW_LIT("v1"))->pool.text,
                            cases[i].pool);
    }
    assert_int_equal(cw_state_pool_size(&s, CW_LIT("p")), 0);
    assert_int_equal(cw_state_pool_size(&s, CW_LIT("q")), 1);
    assert_int_equal(cw_state_vm(&s, CW_LIT("v1"))->op.len, 0);
    assert_false(cw_state_op(&s, CW_LIT("o1"))->open);
    /* Nor may the holder of a third pool move the VM. */
    add_vm(&s, "v2", "p");
    assert_int_equal(
        apply_record(
            &s, holder_of(&s, "pool/z"),
            "\"type\":\"op\",\"op\":\"o2\",\"kind\":\"move\",\"scope\":"
            "\"pool/z\",\"vm\":\"v2\",\"from\":\"p\",\"to\":\"q\",\"step\":"
            "\"draining\""),
        CW_APPLY_REJECTED);
    cw_state_finish(&s);
}

/* A VM must not have two open operations: it would be drained for one and
 * rebooted for the other. */
static void
test_one_op_per_vm(void **state)
{
    (void)state;
    struct cw_state s;
    cw_state_init(&s);
    join_members(&s, 3);
    add_vm(&s, "v1", "p");
    assert_int_equal(
        apply_op_step(&s, "o1", "maintain", "v1", "p", "p", "draining"),
        CW_APPLY_OK);
    assert_int_equal(
        apply_op_step(&s, "o2", "move", "v1", "p", "q", "draining"),
        CW_APPLY_REJECTED);
    assert_int_equal(
        apply_op_step(&s, "o1", "maintain", "v1", "p", "p", "cancelled"),
        CW_APPLY_OK);
    assert_int_equal(
        apply_op_step(&s, "o2", "move", "v1", "p", "q", "draining"),
        CW_APPLY_OK);
    cw_state_finish(&s);
}

/* After a membership change, records of the former holder that reach the log
 * late must be rejected on every replica, and the new holder has to be able to
 * continue the open operation. */
static void
test_former_holder(void **state)
{
    (void)state;
    struct cw_state s[3];
    for (int i = 0; i < 3; i++) {
        cw_state_init(&s[i]);
        join_members(&s[i], 5);
        add_vm(&s[i], "v1", "p");
        char former[CW_NAME_MAX + 1];
        snprintf(former, sizeof(former), "%s", holder_of(&s[i], "pool/p"));
        assert_int_equal(
            apply_op_step(&s[i], "o1", "maintain", "v1", "p", "p", "draining"),
            CW_APPLY_OK);
        assert_int_equal(
            apply_record(
                &s[i], non_holder_of(&s[i], "pool/p"),
                "\"type\":\"member\",\"daemon\":\"%s\",\"incarnation\":1,"
                "\"action\":\"lapse\"",
                former),
            CW_APPLY_OK);
        static const char *const late[] = {
            "\"type\":\"op\",\"op\":\"o1\",\"kind\":\"maintain\",\"scope\":"
            "\"pool/p\",\"vm\":\"v1\",\"from\":\"p\",\"to\":\"p\",\"step\":"
            "\"drained\"",
            "\"type\":\"wave\",\"wave\":\"w1\",\"scope\":\"pool/p\","
            "\"action\":\"open\"",
        };
        for (size_t k = 0; k < COUNT(late); k++) {
            assert_int_equal(
                apply_record_with_id(&s[i], NULL, former, late[k]),
                CW_APPLY_REJECTED);
            assert_non_null(strstr(s[i].msg, "does not hold pool/p"));
        }
        assert_int_equal(cw_state_op(&s[i], CW_LIT("o1"))->rec.step,
                         CW_STEP_DRAINING);
        assert_int_equal(
            apply_op_step(&s[i], "o1", "maintain", "v1", "p", "p", "drained"),
            CW_APPLY_OK);
        /* The daemon holds the scope again under a new incarnation: records
         * that state the former incarnation are still rejected. */
        assert_int_equal(
            apply_record(
                &s[i], former,
                "\"type\":\"member\",\"daemon\":\"%s\",\"incarnation\":2,"
                "\"action\":\"join\",\"dc\":\"a\",\"address\":"
                "\"127.0.0.1:1\"",
                former),
            CW_APPLY_OK);
        assert_string_equal(holder_of(&s[i], "pool/p"), former);
        char text[512];
        snprintf(text, sizeof(text), "\"by_incarnation\":1,%s", late[1]);
        assert_int_equal(apply_record_with_id(&s[i], NULL, former, text),
                         CW_APPLY_REJECTED);
        snprintf(text, sizeof(text), "\"by_incarnation\":2,%s", late[1]);
        assert_int_equal(apply_record_with_id(&s[i], NULL, former, text),
                         CW_APPLY_OK);
    }
    assert_true(cw_state_digest(&s[0]) == cw_state_digest(&s[1]));
    assert_true(cw_state_digest(&s[1]) == cw_state_digest(&s[2]));
    for (int i = 0; i < 3; i++) {
        cw_state_finish(&s[i]);
    }
}

/* Guards the order of wave records, and that no operation of a wave begins
 * while the wave is on hold or closed: it would take a VM from a pool that is
 * not healthy. */
static void
test_waves(void **state)
{
    (void)state;
    struct cw_state s;
    cw_state_init(&s);
    join_members(&s, 3);
    add_vm(&s, "v1", "p");
    const char *by = holder_of(&s, "pool/p");
    static const struct {
        const char *wave;
        const char *action;
        enum cw_apply_result want;
        enum cw_apply_result drain;
    } cases[] = {
        {"w1", "hold", CW_APPLY_REJECTED, CW_APPLY_REJECTED},
        {"w1", "open", CW_APPLY_OK, CW_APPLY_OK},
        {"w2", "open", CW_APPLY_REJECTED, CW_APPLY_OK},
        {"w1", "resume", CW_APPLY_REJECTED, CW_APPLY_OK},
        {"w1", "hold", CW_APPLY_OK, CW_APPLY_REJECTED},
        {"w1", "hold", CW_APPLY_REJECTED, CW_APPLY_REJECTED},
        {"w1", "resume", CW_APPLY_OK, CW_APPLY_OK},
        {"w1", "close", CW_APPLY_OK, CW_APPLY_REJECTED},
        {"w1", "resume", CW_APPLY_REJECTED, CW_APPLY_REJECTED},
        {"w1", "open", CW_APPLY_REJECTED, CW_APPLY_REJECTED},
    };
    for (size_t i = 0; i < COUNT(cases); i++) {
        enum cw_apply_result got = apply_record(
            &s, by,
            "\"type\":\"wave\",\"wave\":\"%s\",\"scope\":\"pool/p\","
            "\"action\":\"%s\"",
            cases[i].wave, cases[i].action);
        if (got != cases[i].want) {
            fail_msg("case %zu: %d, %s", i, (int)got, s.msg);
        }
        char op[16];
        snprintf(op, sizeof(op), "o%zu", i);
        static const char steps[][12] = {"draining", "cancelled"};
        for (int k = 0; k < 2; k++) {
            got = apply_record(
                &s, by,
                "\"type\":\"op\",\"op\":\"%s\",\"kind\":\"maintain\","
                "\"scope\":\"pool/p\",\"vm\":\"v1\",\"from\":\"p\","
                "\"to\":\"p\",\"wave\":\"w1\",\"step\":\"%s\"",
                op, steps[k]);
            assert_int_equal(got, cases[i].drain);
        }
    }
    assert_null(cw_state_open_wave(&s, CW_LIT("pool/p")));
    assert_int_equal(s.waves[0]->held_ms, 6000);
    cw_state_finish(&s);
}

/* Ended operations, edits and statistics have to expire, or they would fill
 * the memory; open operations must be kept. */
static void
test_history(void **state)
{
    (void)state;
    struct cw_state s;
    cw_state_init(&s);
    join_members(&s, 2);
    add_vm(&s, "v1", "p");
    add_vm(&s, "v2", "p");
    (void)apply_op_step(&s, "o1", "maintain", "v1", "p", "p", "draining");
    (void)apply_op_step(&s, "o1", "maintain", "v1", "p", "p", "cancelled");
    (void)apply_op_step(&s, "o2", "maintain", "v2", "p", "p", "draining");
    (void)apply_doc_edit(&s, "e1", "ann", "p", 0, "");
    for (int i = 0; i < 120; i++) {
        cw_ms from = i * CW_MINUTE;
        assert_int_equal(
            apply_record(
                &s, "d1",
                "\"type\":\"stat\",\"daemon\":\"d%d\",\"from\":%lld,\"to\":"
                "%lld,\"services\":[{\"service\":\"p\",\"ok\":10,\"failed\":"
                "1,\"p50_us\":%d,\"p99_us\":%d}]",
                1 + i % 2, (long long)from, (long long)from + 60000, 100, i),
            CW_APPLY_OK);
    }
    cw_state_advance(&s, 2 * CW_HOUR + 25 * CW_MINUTE);
    /* Entries that ended before 1:50 are merged: 60 of the hour from 0:00 and
     * 49 of the hour from 1:00; 11 stay as written. */
    assert_int_equal(s.stat_count, 13);
    assert_int_equal(s.stats[0]->daemon.len, 0);
    assert_int_equal(s.stats[0]->services[0].ok, 600);
    assert_int_equal(s.stats[0]->services[0].p50_us, 100);
    assert_int_equal(s.stats[0]->services[0].p99_us, 59);
    assert_int_equal(s.stats[1]->from, CW_HOUR);
    assert_int_equal(s.stats[1]->services[0].ok, 490);
    assert_string_equal(s.stats[2]->daemon.text, "d2");
    assert_int_equal(s.stats[2]->to, 110 * CW_MINUTE);
    /* The other 11 are merged into the entry of their hour. */
    cw_state_advance(&s, 3 * CW_HOUR);
    assert_int_equal(s.stat_count, 2);
    assert_int_equal(s.stats[1]->services[0].ok, 600);
    cw_state_advance(&s, CW_HISTORY_MS);
    assert_int_equal(s.op_count, 2);
    cw_state_advance(&s, CW_HISTORY_MS + 2 * CW_HOUR);
    assert_int_equal(s.op_count, 1);
    assert_int_equal(s.edit_count, 0);
    assert_int_equal(s.stat_count, 1);
    assert_null(cw_state_op(&s, CW_LIT("o1")));
    assert_non_null(cw_state_op(&s, CW_LIT("o2")));
    assert_non_null(cw_state_doc(&s, CW_LIT("p")));
    cw_state_finish(&s);
}

/* ---- random logs ---------------------------------------------------- */

enum { LOG_LENGTH = 1200, VM_COUNT = 12, POOL_COUNT = 4 };

static const char *const step_names[] = {
    "draining",  "drained", "rebooting", "assigning",
    "returning", "done",    "cancelled", "failed",
};

/* Prints a record of one of two writers that both act as the holder of every
 * scope; about half of the records are invalid in some way. */
static void
print_random_record(struct cw_rng *rng, const struct cw_state *s,
                    struct cw_buf *out, int number)
{
    unsigned w = 1 + (unsigned)cw_rng_below(rng, 2);
    unsigned vm = (unsigned)cw_rng_below(rng, VM_COUNT);
    unsigned from = (unsigned)cw_rng_below(rng, POOL_COUNT);
    unsigned to = (unsigned)cw_rng_below(rng, POOL_COUNT);
    if (s->vm_count > 0 && cw_rng_below(rng, 2) == 0) {
        const struct cw_vm_entry *v = s->vms[cw_rng_below(rng, s->vm_count)];
        vm = (unsigned)atoi(v->vm.text + 1);
        from = (unsigned)atoi(v->pool.text + 1);
    }
    unsigned op = (unsigned)cw_rng_below(rng, 3) + vm * 3 +
                  (unsigned)(number / 100) * 64;
    /* In 1 of 20 cases an earlier id. */
    int id = cw_rng_below(rng, 20) == 0 ? number / 2 : number;
    cw_buf_clear(out);
    cw_buf_addf(out, "{\"id\":\"n%d\",\"by\":\"d%u\",\"time\":%lld,", id, w,
                (long long)number * 20 * CW_MINUTE);
    switch (cw_rng_below(rng, 12)) {
    case 0: {
        static const char *const actions[] = {"join", "leave", "lapse"};
        cw_buf_addf(out,
                    "\"type\":\"member\",\"daemon\":\"d%u\",\"incarnation\":"
                    "%llu,\"action\":\"%s\",\"dc\":\"a\",\"address\":"
                    "\"127.0.0.1:1\"}",
                    1 + (unsigned)cw_rng_below(rng, 2),
                    1 + (unsigned long long)cw_rng_below(rng, 3) +
                        (unsigned long long)number / 40,
                    actions[cw_rng_below(rng, 3)]);
        break;
    }
    case 1:
        cw_buf_addf(out,
                    "\"type\":\"vm\",\"vm\":\"v%u\",\"incarnation\":%d,"
                    "\"pool\":\"p%u\",\"dc\":\"a\",\"rack\":\"k\",\"address\":"
                    "\"127.0.0.1:1\",\"gone\":%s}",
                    vm, number / 50, from,
                    cw_rng_below(rng, 6) == 0 ? "true" : "false");
        break;
    case 2: {
        static const char *const actions[] = {"open", "hold", "resume",
                                              "close"};
        cw_buf_addf(out,
                    "\"type\":\"wave\",\"wave\":\"w%d\",\"scope\":\"pool/p%u\""
                    ",\"action\":\"%s\"}",
                    number / 40, from, actions[cw_rng_below(rng, 4)]);
        break;
    }
    case 3: {
        struct cw_buf doc;
        char extra[80], service[16];
        cw_buf_init(&doc);
        snprintf(service, sizeof(service), "s%u", to);
        snprintf(extra, sizeof(extra),
                 ",\"pool\":\"p%u\",\"jobs\":[],\"priority\":%u", from,
                 (unsigned)cw_rng_below(rng, 11));
        make_doc(&doc, service, extra);
        cw_buf_addf(out, "\"type\":\"doc\",\"service\":\"%s\",\"base\":%llu,",
                    service, (unsigned long long)cw_rng_below(rng, 30));
        cw_buf_addf(out, "\"doc\":");
        cw_buf_add_json(out, cw_buf_str(&doc));
        cw_buf_addf(out, "}");
        cw_buf_finish(&doc);
        break;
    }
    case 4:
        cw_buf_addf(out,
                    "\"type\":\"stat\",\"daemon\":\"d%u\",\"from\":%lld,"
                    "\"to\":%lld,\"services\":[{\"service\":\"s%u\",\"ok\":%u}"
                    "]}",
                    w, (long long)number * 20 * CW_MINUTE,
                    (long long)(number * 20 + 1) * CW_MINUTE, to, vm);
        break;
    default:
        cw_buf_addf(out,
                    "\"type\":\"op\",\"op\":\"o%u\",\"kind\":\"%s\",\"scope\":"
                    "\"pool/p%u\",\"vm\":\"v%u\",\"from\":\"p%u\",\"to\":"
                    "\"p%u\",\"cause\":\"random\",\"step\":\"%s\"}",
                    op, from == to ? "maintain" : "move", from, vm, from, to,
                    step_names[cw_rng_below(rng, 2) * cw_rng_below(rng, 8)]);
        break;
    }
}

/* Prints the next step of one of the open operations instead, if any, so that
 * random logs reach late steps. */
static void
print_next_step(struct cw_rng *rng, const struct cw_state *s,
                struct cw_buf *out, int number)
{
    for (size_t i = s->op_count; i-- > 0;) {
        const struct cw_op_entry *e = s->ops[i];
        if (!e->open || cw_rng_below(rng, 3) == 0) {
            continue;
        }
        enum cw_op_step next = CW_STEP_DONE;
        if (e->rec.step == CW_STEP_DRAINED) {
            next = e->rec.kind == CW_OP_MOVE ? CW_STEP_ASSIGNING
                                             : CW_STEP_REBOOTING;
        }
        else if (e->rec.step != CW_STEP_RETURNING) {
            next = e->rec.step == CW_STEP_DRAINING ? CW_STEP_DRAINED
                                                   : CW_STEP_RETURNING;
        }
        cw_buf_clear(out);
        cw_buf_addf(out,
                    "{\"id\":\"c%d\",\"by\":\"d%u\",\"time\":%lld,\"type\":"
                    "\"op\",\"op\":\"%s\",\"kind\":\"%s\",\"scope\":\"%s\","
                    "\"vm\":\"%s\",\"from\":\"%s\",\"to\":\"%s\",\"step\":"
                    "\"%s\"}",
                    number, 1 + (unsigned)cw_rng_below(rng, 2),
                    (long long)number * 20 * CW_MINUTE, e->rec.op.text,
                    cw_op_kind_name(e->rec.kind), e->rec.scope.text,
                    e->rec.vm.text, e->rec.from.text, e->rec.to.text,
                    cw_op_step_name(next));
        return;
    }
}

static void
replay(struct cw_state *s, char *const *log, uint64_t from, uint64_t to)
{
    for (uint64_t offset = from; offset <= to; offset++) {
        struct cw_record r;
        char msg[CW_MSG_MAX];
        if (cw_record_parse(&r, cw_str_from(log[offset - 1]), msg) != CW_OK) {
            cw_state_skip(s, offset);
        }
        else {
            (void)cw_state_apply(s, offset, &r);
            cw_record_finish(&r);
        }
        cw_state_advance(s, (cw_ms)offset * 20 * CW_MINUTE);
    }
}

/* R2: checks that each VM is in one pool, that the pool sizes add up to the
 * number of VMs, and that open operations and their VMs refer to each
 * other. */
static void
check_vms_and_ops(const struct cw_state *s)
{
    size_t in_pools = 0, open = 0, busy = 0;
    for (unsigned p = 0; p < POOL_COUNT; p++) {
        char name[8];
        snprintf(name, sizeof(name), "p%u", p);
        in_pools += cw_state_pool_size(s, cw_str_from(name));
    }
    assert_int_equal(in_pools, s->vm_count);
    for (size_t i = 0; i < s->vm_count; i++) {
        const struct cw_vm_entry *v = s->vms[i];
        assert_ptr_equal(v, cw_state_vm(s, cw_name_str(&v->vm)));
        if (v->op.len > 0) {
            const struct cw_op_entry *e = cw_state_op(s, cw_name_str(&v->op));
            assert_non_null(e);
            assert_true(e->open && cw_name_eq(&e->rec.vm, &v->vm));
            bool after = e->rec.step == CW_STEP_ASSIGNING ||
                         e->rec.step == CW_STEP_RETURNING;
            assert_true(
                cw_name_eq(&v->pool, after ? &e->rec.to : &e->rec.from));
            busy++;
        }
    }
    for (size_t i = 0; i < s->op_count; i++) {
        open += s->ops[i]->open;
    }
    assert_int_equal(open, busy);
}

static void
make_random_log(uint64_t seed, char **log)
{
    struct cw_rng rng;
    cw_rng_init(&rng, seed);
    struct cw_buf text;
    cw_buf_init(&text);
    struct cw_state s;
    cw_state_init(&s);
    size_t opened = 0, assigned = 0;
    for (int i = 0; i < LOG_LENGTH; i++) {
        print_random_record(&rng, &s, &text, i);
        if (cw_rng_below(&rng, 2) == 0) {
            print_next_step(&rng, &s, &text, i);
        }
        log[i] = strdup(text.ptr);
        assert_non_null(log[i]);
        size_t op_count = s.op_count;
        replay(&s, log, (uint64_t)i + 1, (uint64_t)i + 1);
        opened += s.op_count > op_count;
        for (size_t k = 0; k < s.op_count; k++) {
            assigned += s.ops[k]->last_offset == s.applied &&
                        s.ops[k]->rec.step == CW_STEP_ASSIGNING;
        }
        check_vms_and_ops(&s);
    }
    /* Without operations and moves the log would check nothing. */
    assert_true(opened > 20 && assigned > 5);
    cw_buf_finish(&text);
    cw_state_finish(&s);
}

static void
free_log(char **log)
{
    for (int i = 0; i < LOG_LENGTH; i++) {
        free(log[i]);
    }
}

/* R2: each VM is in exactly one pool under random interleavings of the records
 * of two writers. */
static void
test_one_pool_per_vm(void **state)
{
    (void)state;
    char *log[LOG_LENGTH];
    for (uint64_t seed = 1; seed <= 12; seed++) {
        make_random_log(seed, log);
        free_log(log);
    }
}

static void
import_part(void *ctx, struct cw_str items)
{
    struct cw_state *s = ctx;
    assert_true(items.len <= CW_PART_MIN);
    if (cw_state_import(s, items) != CW_OK) {
        fail_msg("%s", s->msg);
    }
}

/* A daemon that starts from a snapshot must have the same state as one that
 * has replayed the whole log, whichever offset the snapshot is as of. */
static void
test_snapshot_at_any_offset(void **state)
{
    (void)state;
    char *log[LOG_LENGTH];
    make_random_log(99, log);
    struct cw_state exported;
    cw_state_init(&exported);
    for (uint64_t as_of = 0; as_of < LOG_LENGTH; as_of += 13) {
        replay(&exported, log, exported.applied + 1, as_of);
        struct cw_state imported;
        cw_state_init(&imported);
        assert_int_equal(
            cw_state_export(&exported, CW_PART_MIN, import_part, &imported),
            CW_OK);
        cw_state_import_done(&imported, exported.applied);
        assert_true(cw_state_digest(&imported) == cw_state_digest(&exported));
        uint64_t to = as_of + 150 < LOG_LENGTH ? as_of + 150 : LOG_LENGTH;
        struct cw_state replayed;
        cw_state_init(&replayed);
        replay(&replayed, log, 1, to);
        replay(&imported, log, as_of + 1, to);
        assert_true(cw_state_digest(&imported) == cw_state_digest(&replayed));
        check_vms_and_ops(&imported);
        cw_state_finish(&imported);
        cw_state_finish(&replayed);
    }
    cw_state_finish(&exported);
    free_log(log);
}

static void
mutate_part(void *ctx, struct cw_str items)
{
    struct cw_rng *rng = ctx;
    struct cw_buf text;
    cw_buf_init(&text);
    for (int i = 0; i < 400; i++) {
        mutate_text(rng, items, &text);
        struct cw_state s;
        cw_state_init(&s);
        if (cw_state_import(&s, cw_buf_str(&text)) != CW_OK) {
            assert_true(s.msg[0] != '\0');
        }
        cw_state_finish(&s);
    }
    cw_buf_finish(&text);
}

/* Snapshot items come from another process. Damaged ones must not crash the
 * import, and a rejected one has to set a message. */
static void
test_import_mutations(void **state)
{
    (void)state;
    char *log[LOG_LENGTH];
    make_random_log(7, log);
    struct cw_state s;
    cw_state_init(&s);
    replay(&s, log, 1, 300);
    struct cw_rng rng;
    cw_rng_init(&rng, 31);
    assert_int_equal(cw_state_export(&s, CW_PART_MIN, mutate_part, &rng),
                     CW_OK);
    cw_state_finish(&s);
    free_log(log);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_conflicting_edits),
        cmocka_unit_test(test_rejected_edits),
        cmocka_unit_test(test_duplicates),
        cmocka_unit_test(test_applied_offset),
        cmocka_unit_test(test_membership),
        cmocka_unit_test(test_vm_records),
        cmocka_unit_test(test_vm_gone),
        cmocka_unit_test(test_op_steps),
        cmocka_unit_test(test_one_op_per_vm),
        cmocka_unit_test(test_former_holder),
        cmocka_unit_test(test_waves),
        cmocka_unit_test(test_history),
        cmocka_unit_test(test_one_pool_per_vm),
        cmocka_unit_test(test_snapshot_at_any_offset),
        cmocka_unit_test(test_import_mutations),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
