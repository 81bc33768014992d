/* Service documents: every fault is listed with its path, defaults and windows
 * are as documented, and only declared requests may be repeated. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "state_util.h"

#include <glob.h>
#include <jansson.h>
#include <string.h>

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define CAP "\"capacity\":{\"vms_min\":2,\"vms_max\":9}"
#define AVAIL "\"availability\":{\"target\":0.999}"
#define TOP "\"service\":\"s\",\"team\":\"t\""

static const char full_document[] =
    "{" TOP ",\"pool\":\"p\",\"spare_pool\":true,\"capacity\":{\"vms_min\":8,"
    "\"vms_max\":12,\"slots\":4,\"connections\":32},\"availability\":{"
    "\"target\":0.9995,\"window_days\":7},\"maintenance\":{\"every_days\":10,"
    "\"drain_ms\":30000,\"windows\":[{\"days\":[\"mon\",\"sun\"],\"from\":"
    "\"22:00\",\"to\":\"04:00\",\"utc_offset\":\"+05:30\"}]},\"priority\":9,"
    "\"deadline_ms\":2000,\"outage\":\"run\",\"idempotent\":[{\"method\":"
    "\"PUT\",\"path\":\"/price\"},{\"method\":\"*\",\"path\":\"/calc/\"}],"
    "\"quota\":{\"cpu_milli\":4000,\"memory_mb\":8000,\"accelerators\":1},"
    "\"jobs\":[{\"name\":\"j\",\"class\":\"c\",\"count\":3,\"cpu_milli\":500,"
    "\"memory_mb\":100,\"accelerators\":1,\"run_ms\":60000,\"urgent\":true}]}";

/* A value stored in the wrong field would pass all validation. */
static void
test_fields(void **state)
{
    (void)state;
    struct cw_doc d;
    assert_int_equal(cw_doc_parse(&d, cw_str_from(full_document), NULL),
                     CW_OK);
    assert_string_equal(d.pool.text, "p");
    assert_true(d.spare_pool && d.jobs[0].urgent);
    assert_int_equal(d.vms_min, 8);
    assert_int_equal(d.vms_max, 12);
    assert_int_equal(d.slots, 4);
    assert_int_equal(d.connections, 32);
    assert_true(d.target > 0.99949 && d.target < 0.99951);
    assert_int_equal(d.window_ms, 7 * CW_DAY);
    assert_int_equal(d.maintain_every_ms, 10 * CW_DAY);
    assert_int_equal(d.drain_ms, 30000);
    assert_int_equal(d.windows[0].days, 0x41);
    assert_int_equal(d.windows[0].from_min, 1320);
    assert_int_equal(d.windows[0].to_min, 240);
    assert_int_equal(d.windows[0].utc_offset_min, 330);
    assert_int_equal(d.priority, 9);
    assert_int_equal(d.deadline_ms, 2000);
    assert_int_equal(d.outage, CW_OUTAGE_RUN);
    assert_string_equal(d.idempotents[1].prefix, "/calc/");
    assert_int_equal(d.quota_cpu_milli, 4000);
    assert_int_equal(d.quota_memory_mb, 8000);
    assert_int_equal(d.quota_accelerators, 1);
    assert_string_equal(d.jobs[0].job_class.text, "c");
    assert_int_equal(d.jobs[0].count, 3);
    assert_int_equal(d.jobs[0].cpu_milli, 500);
    assert_int_equal(d.jobs[0].memory_mb, 100);
    assert_int_equal(d.jobs[0].run_ms, 60000);
    cw_doc_finish(&d);
    assert_int_equal(
        cw_doc_parse(&d, CW_LIT("{" TOP "," CAP "," AVAIL "}"), NULL), CW_OK);
    assert_string_equal(d.pool.text, "s");
    assert_int_equal(d.slots, 8);
    assert_int_equal(d.connections, 64);
    assert_int_equal(d.window_ms, 28 * CW_DAY);
    assert_int_equal(d.maintain_every_ms, 14 * CW_DAY);
    assert_int_equal(d.drain_ms, 60000);
    assert_int_equal(d.deadline_ms, 10000);
    assert_int_equal(d.priority, 5);
    assert_int_equal(d.outage, CW_OUTAGE_REFUSE);
    cw_doc_finish(&d);
}

/* Each fault must carry its path, so that an operator finds the place to
 * correct. */
static void
test_faults(void **state)
{
    (void)state;
    static const struct {
        const char *json;
        const char *path;
    } cases[] = {
        {"", ""},
        {"[1]", ""},
        {"{" TOP "," CAP "," AVAIL "} x", ""},
        {"{\"team\":\"t\"," CAP "," AVAIL "}", "service"},
        {"{\"service\":\"a/b\",\"team\":\"t\"," CAP "," AVAIL "}", "service"},
        {"{" TOP "," AVAIL "}", "capacity"},
        {"{" TOP "," CAP "}", "availability"},
        {"{" TOP "," CAP "," AVAIL ",\"colour\":1}", "colour"},
        {"{" TOP "," CAP "," AVAIL ",\"spare_pool\":1}", "spare_pool"},
        {"{" TOP "," CAP "," AVAIL ",\"priority\":10}", "priority"},
        {"{" TOP "," CAP "," AVAIL ",\"priority\":\"9\"}", "priority"},
        {"{" TOP "," CAP "," AVAIL ",\"deadline_ms\":1}", "deadline_ms"},
        {"{" TOP "," CAP "," AVAIL ",\"deadline_ms\":99.5}", "deadline_ms"},
        {"{" TOP "," CAP "," AVAIL ",\"outage\":\"wait\"}", "outage"},
        {"{" TOP "," AVAIL ",\"capacity\":[]}", "capacity"},
        {"{" TOP "," AVAIL ",\"capacity\":{\"vms_min\":5,\"vms_max\":4}}",
         "capacity.vms_max"},
        {"{" TOP "," AVAIL ",\"capacity\":{\"vms_min\":-1,\"vms_max\":4}}",
         "capacity.vms_min"},
        {"{" TOP "," AVAIL ",\"capacity\":{\"vms_min\":1,\"vms_max\":4,"
         "\"slots\":65}}",
         "capacity.connections"},
        {"{" TOP "," CAP ",\"availability\":{\"target\":1}}",
         "availability.target"},
        {"{" TOP "," CAP ",\"availability\":{\"target\":0.9,\"window_days\":"
         "0}}",
         "availability.window_days"},
        {"{" TOP "," CAP "," AVAIL ",\"quota\":{\"cpu_milli\":1}}",
         "quota.memory_mb"},
        {"{" TOP "," CAP "," AVAIL ",\"idempotent\":[{\"method\":\"put\","
         "\"path\":\"/\"}]}",
         "idempotent[0].method"},
        {"{" TOP "," CAP "," AVAIL ",\"idempotent\":[{\"method\":\"PUT\","
         "\"path\":\"x\"}]}",
         "idempotent[0].path"},
        {"{" TOP "," CAP "," AVAIL ",\"idempotent\":[7]}", "idempotent[0]"},
        {"{" TOP "," CAP "," AVAIL ",\"jobs\":[{\"name\":\"j\",\"count\":1,"
         "\"cpu_milli\":1,\"memory_mb\":1,\"run_ms\":1}]}",
         "quota"},
        {"{" TOP "," CAP "," AVAIL ",\"jobs\":[{\"name\":\"j\",\"count\":0,"
         "\"cpu_milli\":1,\"memory_mb\":1,\"run_ms\":1}]}",
         "jobs[0].count"},
        {"{\"service\":\"s2345678901234567890123456789012345678901234567890"
         "123456789\",\"team\":\"t\"," CAP "," AVAIL "}",
         "pool"},
    };
    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_doc d;
        struct cw_faults f;
        assert_int_equal(cw_doc_parse(&d, cw_str_from(cases[i].json), &f),
                         CW_ERR_INVALID);
        assert_true(f.count > 0);
        if (strcmp(f.items[0].path, cases[i].path) != 0) {
            fail_msg("case %zu: %s: %s", i, f.items[0].path, f.items[0].text);
        }
        assert_true(f.items[0].text[0] != '\0');
        assert_null(d.windows);
    }
}

/* One fault must not hide the others. */
static void
test_all_faults(void **state)
{
    (void)state;
    struct cw_doc d;
    struct cw_faults f;
    assert_int_equal(
        cw_doc_parse(&d,
                     CW_LIT("{\"service\":1,\"team\":\"\",\"x\":0,\"capacity\""
                            ":{\"vms_max\":0},\"availability\":{\"target\":2,"
                            "\"y\":1},\"jobs\":[{},{}]}"),
                     &f),
        CW_ERR_INVALID);
    static const char *const paths[] = {
        "x",
        "service",
        "team",
        "capacity.vms_min",
        "capacity.vms_max",
        "availability.y",
        "availability.target",
        "jobs[0].name",
        "jobs[1].run_ms",
    };
    for (size_t i = 0; i < COUNT(paths); i++) {
        bool found = false;
        for (size_t k = 0; k < f.count; k++) {
            found = found || strcmp(f.items[k].path, paths[i]) == 0;
        }
        if (!found) {
            fail_msg("no fault at %s", paths[i]);
        }
    }
    /* More faults than the list holds must not be written past its end. */
    struct cw_buf b;
    cw_buf_init(&b);
    cw_buf_addf(&b, "{\"jobs\":[{}");
    for (int i = 0; i < 200; i++) {
        cw_buf_addf(&b, ",{}");
    }
    cw_buf_addf(&b, "]}");
    assert_int_equal(cw_doc_parse(&d, cw_buf_str(&b), &f), CW_ERR_INVALID);
    assert_int_equal(f.count, CW_FAULTS_MAX);
    cw_buf_finish(&b);
}

/* A window parsed with the wrong time zone or day would let maintenance take
 * VMs at peak hours. */
static void
test_window_fields(void **state)
{
    (void)state;
    static const struct {
        const char *window;
        const char *fault; /* path after maintenance.windows[0], or NULL */
    } cases[] = {
        {"{\"days\":[\"mon\"],\"from\":\"00:00\",\"to\":\"24:00\","
         "\"utc_offset\":\"-14:00\"}",
         NULL},
        {"{\"days\":[\"mon\"],\"from\":\"22:00\",\"to\":\"00:00\","
         "\"utc_offset\":\"+14:00\"}",
         NULL},
        {"{\"days\":[\"mon\"],\"from\":\"22:00\",\"to\":\"04:00\","
         "\"utc_offset\":\"+14:01\"}",
         ".utc_offset"},
        {"{\"days\":[\"mon\"],\"from\":\"22:00\",\"to\":\"04:00\","
         "\"utc_offset\":\"05:30\"}",
         ".utc_offset"},
        {"{\"days\":[\"mon\"],\"from\":\"22:00\",\"to\":\"04:00\","
         "\"utc_offset\":\"+05:60\"}",
         ".utc_offset"},
        {"{\"days\":[\"mon\"],\"from\":\"22:00\",\"to\":\"04:00\"}",
         ".utc_offset"},
        {"{\"days\":[\"mon\"],\"from\":\"24:00\",\"to\":\"04:00\","
         "\"utc_offset\":\"+00:00\"}",
         ".from"},
        {"{\"days\":[\"mon\"],\"from\":\"4:00\",\"to\":\"05:00\","
         "\"utc_offset\":\"+00:00\"}",
         ".from"},
        {"{\"days\":[\"mon\"],\"from\":\"04:00\",\"to\":\"04:00\","
         "\"utc_offset\":\"+00:00\"}",
         ".to"},
        {"{\"days\":[],\"from\":\"04:00\",\"to\":\"05:00\",\"utc_offset\":"
         "\"+00:00\"}",
         ".days"},
        {"{\"days\":[\"monday\"],\"from\":\"04:00\",\"to\":\"05:00\","
         "\"utc_offset\":\"+00:00\"}",
         ".days"},
        {"{\"days\":[\"mon\",\"mon\"],\"from\":\"04:00\",\"to\":\"05:00\","
         "\"utc_offset\":\"+00:00\"}",
         ".days"},
    };
    for (size_t i = 0; i < COUNT(cases); i++) {
        char extra[256], path[64];
        struct cw_buf b;
        cw_buf_init(&b);
        snprintf(extra, sizeof(extra), ",\"maintenance\":{\"windows\":[%s]}",
                 cases[i].window);
        make_doc(&b, "s", extra);
        struct cw_doc d;
        struct cw_faults f;
        enum cw_status st = cw_doc_parse(&d, cw_buf_str(&b), &f);
        assert_int_equal(st, cases[i].fault == NULL ? CW_OK : CW_ERR_INVALID);
        if (cases[i].fault != NULL) {
            snprintf(path, sizeof(path), "maintenance.windows[0]%s",
                     cases[i].fault);
            assert_string_equal(f.items[0].path, path);
        }
        cw_doc_finish(&d);
        cw_buf_finish(&b);
    }
}

/* 2026-12-04, used below, is a Friday. */
static void
test_window_open(void **state)
{
    (void)state;
    static const struct {
        struct cw_window w;
        const char *wall;
        bool open;
    } cases[] = {
        {{0x10, 120, 240, 0}, "2026-12-04T02:00", true},
        {{0x10, 120, 240, 0}, "2026-12-04T01:59", false},
        {{0x10, 120, 240, 0}, "2026-12-04T04:00", false},
        {{0x10, 120, 240, 0}, "2026-12-05T03:00", false},
        /* Overnight: Friday 22:00 to Saturday 04:00. */
        {{0x10, 1320, 240, 0}, "2026-12-04T22:00", true},
        {{0x10, 1320, 240, 0}, "2026-12-05T03:59", true},
        {{0x10, 1320, 240, 0}, "2026-12-05T22:30", false},
        {{0x10, 1320, 240, 0}, "2026-12-04T03:00", false},
        {{0x40, 1320, 240, 0}, "2026-12-07T01:00", true},
        /* Local times ahead of and behind UTC. */
        {{0x10, 1320, 240, 330}, "2026-12-04T16:30", true},
        {{0x10, 1320, 240, 330}, "2026-12-04T16:29", false},
        {{0x10, 1320, 240, 330}, "2026-12-04T22:30", false},
        {{0x10, 0, 1440, -480}, "2026-12-05T07:59", true},
        {{0x10, 0, 1440, -480}, "2026-12-05T08:00", false},
        {{0x08, 0, 1440, 0}, "1970-01-01T12:00", true},
        {{0x04, 1380, 1440, -60}, "1970-01-01T00:30", true},
    };
    for (size_t i = 0; i < COUNT(cases); i++) {
        struct cw_window w = cases[i].w;
        struct cw_doc d = {.window_count = 1, .windows = &w};
        cw_ms now;
        assert_int_equal(cw_time_parse(cases[i].wall, &now), CW_OK);
        if (cw_doc_window_open(&d, now) != cases[i].open) {
            fail_msg("case %zu", i);
        }
    }
    struct cw_doc none = {.window_count = 0};
    assert_true(cw_doc_window_open(&none, 0));
}

/* R5: a request that is not declared idempotent must not be sent again,
 * because it may then run twice. */
static void
test_idempotent(void **state)
{
    (void)state;
    static const struct {
        const char *method;
        const char *path;
        bool repeatable;
    } cases[] = {
        {"GET", "/x", true},
        {"HEAD", "/x", true},
        {"OPTIONS", "/x", true},
        {"POST", "/price", false},
        {"PUT", "/price", true},
        {"PUT", "/price/5", true},
        {"PUT", "/price?x=1", true},
        {"PUT", "/price-change", false},
        {"put", "/price", false},
        {"POST", "/calc/a", true},
        {"POST", "/calc", false},
        {"PUT", "/price/../order", false},
        {"POST", "/calc//x", false},
        {"POST", "/calc/%2e%2E/x", false},
        {"POST", "/calc/a%2Fb", false},
        {"PUT", "/price?a=/../b", true},
        {"DELETE", "/", false},
    };
    struct cw_doc d;
    assert_int_equal(cw_doc_parse(&d, cw_str_from(full_document), NULL),
                     CW_OK);
    for (size_t i = 0; i < COUNT(cases); i++) {
        if (cw_doc_idempotent(&d, cw_str_from(cases[i].method),
                              cw_str_from(cases[i].path)) !=
            cases[i].repeatable) {
            fail_msg("%s %s", cases[i].method, cases[i].path);
        }
    }
    cw_doc_finish(&d);
}

/* The example documents, from which users start, must be valid. */
static void
test_examples(void **state)
{
    (void)state;
    glob_t g;
    assert_int_equal(glob("examples/documents/*.json", 0, NULL, &g), 0);
    assert_true(g.gl_pathc >= 4);
    for (size_t i = 0; i < g.gl_pathc; i++) {
        char text[8192];
        FILE *in = fopen(g.gl_pathv[i], "r");
        assert_non_null(in);
        size_t n = fread(text, 1, sizeof(text), in);
        (void)fclose(in);
        struct cw_doc d;
        struct cw_faults f;
        if (cw_doc_parse(&d, (struct cw_str){text, n}, &f) != CW_OK) {
            fail_msg("%s: %s: %s", g.gl_pathv[i], f.items[0].path,
                     f.items[0].text);
        }
        cw_doc_finish(&d);
    }
    globfree(&g);
}

/* Checks that the parser knows each key that the schema lists for an object: a
 * value of null must give a fault that names the key and must not be reported
 * as an unknown key. */
static void
check_schema_keys(const json_t *schema, const char *before, const char *after)
{
    const char *key;
    json_t *unused;
    size_t keys = 0;
    json_object_foreach(json_object_get(schema, "properties"), key, unused)
    {
        (void)unused;
        char text[256];
        snprintf(text, sizeof(text), "%s{\"%s\":null}%s", before, key, after);
        struct cw_doc d;
        struct cw_faults f;
        assert_int_equal(cw_doc_parse(&d, cw_str_from(text), &f),
                         CW_ERR_INVALID);
        bool named = false;
        for (size_t i = 0; i < f.count; i++) {
            assert_null(strstr(f.items[i].text, "unknown"));
            named = named || strstr(f.items[i].path, key) != NULL;
        }
        assert_true(named);
        keys++;
    }
    assert_true(keys > 0);
}

/* Editors check documents by the schema; one that differs from the parser
 * makes them report false faults. */
static void
test_schema_keys(void **state)
{
    (void)state;
    json_t *schema =
        json_load_file("docs/service-document.schema.json", 0, NULL);
    assert_non_null(schema);
    check_schema_keys(schema, "", "");
    static const char *const objects[] = {
        "capacity",
        "availability",
        "maintenance",
        "quota",
    };
    const json_t *top = json_object_get(schema, "properties");
    for (size_t i = 0; i < COUNT(objects); i++) {
        char before[64];
        snprintf(before, sizeof(before), "{\"%s\":", objects[i]);
        check_schema_keys(json_object_get(top, objects[i]), before, "}");
    }
    static const char *const lists[] = {"idempotent", "jobs"};
    for (size_t i = 0; i < COUNT(lists); i++) {
        char before[64];
        snprintf(before, sizeof(before), "{\"%s\":[", lists[i]);
        check_schema_keys(
            json_object_get(json_object_get(top, lists[i]), "items"), before,
            "]}");
    }
    json_decref(schema);
}

/* A corrupted document must be rejected as a whole, or parsed to valid
 * values. */
static void
test_mutations(void **state)
{
    (void)state;
    struct cw_rng rng;
    cw_rng_init(&rng, 20261204);
    struct cw_buf text;
    cw_buf_init(&text);
    for (int i = 0; i < 20000; i++) {
        mutate_text(&rng, cw_str_from(full_document), &text);
        struct cw_doc d;
        struct cw_faults f;
        enum cw_status st = cw_doc_parse(&d, cw_buf_str(&text), &f);
        assert_true((st == CW_OK) == (f.count == 0));
        if (st == CW_OK) {
            assert_true(cw_name_valid(cw_name_str(&d.service)));
            assert_true(d.vms_min <= d.vms_max && d.slots <= d.connections);
            assert_true(d.target > 0 && d.target < 1);
        }
        cw_doc_finish(&d);
    }
    cw_buf_finish(&text);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_fields),
        cmocka_unit_test(test_faults),
        cmocka_unit_test(test_all_faults),
        cmocka_unit_test(test_window_fields),
        cmocka_unit_test(test_window_open),
        cmocka_unit_test(test_idempotent),
        cmocka_unit_test(test_examples),
        cmocka_unit_test(test_schema_keys),
        cmocka_unit_test(test_mutations),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
