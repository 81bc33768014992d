/* Service documents: parsing and validation, with every fault listed. */
#include "cw_json.h"

#include <stdlib.h>
#include <string.h>

enum {
    MAX_WINDOWS = 32,
    MAX_IDEMPOTENT = 128,
    MAX_JOBS = 256,
    MAX_PATH_PREFIX_BYTES = 1024,
    MAX_VMS = 10000,
    /* The scope "pool/<name>" has to fit in a struct cw_name. */
    MAX_POOL_BYTES = CW_NAME_MAX - 5,
};

static const char *const doc_keys[] = {
    "service",      "team",        "pool",     "spare_pool",  "capacity",
    "availability", "maintenance", "priority", "deadline_ms", "outage",
    "idempotent",   "quota",       "jobs",     NULL,
};
static const char *const capacity_keys[] = {
    "vms_min", "vms_max", "slots", "connections", NULL,
};
static const char *const availability_keys[] = {
    "target",
    "window_days",
    NULL,
};
static const char *const maintenance_keys[] = {
    "every_days",
    "drain_ms",
    "windows",
    NULL,
};
static const char *const window_keys[] = {
    "days", "from", "to", "utc_offset", NULL,
};
static const char *const idempotent_keys[] = {"method", "path", NULL};
static const char *const quota_keys[] = {
    "cpu_milli",
    "memory_mb",
    "accelerators",
    NULL,
};
static const char *const job_keys[] = {
    "name",         "class",  "count",  "cpu_milli", "memory_mb",
    "accelerators", "run_ms", "urgent", NULL,
};
static const char *const day_names[] = {
    "mon", "tue", "wed", "thu", "fri", "sat", "sun",
};

static void
parse_capacity(struct cw_doc *d, const struct cw_json_obj *top)
{
    const json_t *v = cw_jget_value(top, "capacity", true);
    struct cw_json_obj o;
    if (v == NULL || !cw_json_obj_bind(&o, v, top->faults, "", "capacity", -1,
                                       capacity_keys)) {
        return;
    }
    bool min = cw_jget_u32(&o, "vms_min", true, 0, MAX_VMS, &d->vms_min);
    bool max = cw_jget_u32(&o, "vms_max", true, 1, MAX_VMS, &d->vms_max);
    if (min && max && d->vms_max < d->vms_min) {
        cw_json_obj_fault(&o, "vms_max", "is %u, below vms_min %u", d->vms_max,
                          d->vms_min);
    }
    cw_jget_u32(&o, "slots", false, 1, 1024, &d->slots);
    cw_jget_u32(&o, "connections", false, 1, 8192, &d->connections);
    /* An HTTP/1.1 connection carries one request at a time. */
    if (d->connections < d->slots) {
        cw_json_obj_fault(
            &o, "connections",
            "is %u, below slots %u; each concurrent request needs "
            "a connection",
            d->connections, d->slots);
    }
}

static void
parse_availability(struct cw_doc *d, const struct cw_json_obj *top)
{
    const json_t *v = cw_jget_value(top, "availability", true);
    struct cw_json_obj o;
    if (v == NULL || !cw_json_obj_bind(&o, v, top->faults, "", "availability",
                                       -1, availability_keys)) {
        return;
    }
    if (cw_jget_real(&o, "target", true, 0, 1, &d->target) &&
        (d->target <= 0 || d->target >= 1)) {
        cw_json_obj_fault(&o, "target",
                          "is %g; must be above 0 and below 1, such as 0.999",
                          d->target);
    }
    uint32_t days;
    if (cw_jget_u32(&o, "window_days", false, 1, 90, &days)) {
        d->window_ms = days * CW_DAY;
    }
}

/* Parses HH:MM into minutes; false unless it is 00:00 to 24:00. */
static bool
parse_hhmm(struct cw_str s, unsigned *minutes)
{
    uint64_t h, m;
    if (s.len != 5 || s.ptr[2] != ':' ||
        !cw_str_to_u64((struct cw_str){s.ptr, 2}, &h) ||
        !cw_str_to_u64((struct cw_str){s.ptr + 3, 2}, &m) || m > 59 ||
        h * 60 + m > 24 * 60) {
        return false;
    }
    *minutes = (unsigned)(h * 60 + m);
    return true;
}

static void
parse_utc_offset(const struct cw_json_obj *o, struct cw_window *w)
{
    struct cw_str s;
    unsigned minutes;
    if (!cw_jget_str(o, "utc_offset", true, &s)) {
        return;
    }
    if (s.len != 6 || (s.ptr[0] != '+' && s.ptr[0] != '-') ||
        !parse_hhmm((struct cw_str){s.ptr + 1, 5}, &minutes) ||
        minutes > 14 * 60) {
        cw_json_obj_fault(o, "utc_offset",
                          "must be +HH:MM or -HH:MM, at most 14:00, such as "
                          "+05:30");
        return;
    }
    int offset = (int)minutes;
    w->utc_offset_min = (int16_t)(s.ptr[0] == '-' ? -offset : offset);
}

static void
parse_days(const struct cw_json_obj *o, struct cw_window *w)
{
    const json_t *days = cw_jget_array(o, "days", true, 7);
    if (days == NULL) {
        return;
    }
    for (size_t i = 0; i < json_array_size(days); i++) {
        const char *day = json_string_value(json_array_get(days, i));
        unsigned bit = 0;
        for (unsigned k = 0; day != NULL && k < 7; k++) {
            if (strcmp(day, day_names[k]) == 0) {
                bit = 1U << k;
            }
        }
        if (bit == 0 || (w->days & bit) != 0) {
            cw_json_obj_fault(o, "days",
                              "element %zu must be one of mon, tue, wed, thu, "
                              "fri, sat, sun, each once",
                              i);
        }
        w->days |= (uint8_t)bit;
    }
    if (json_array_size(days) == 0) {
        cw_json_obj_fault(o, "days", "must name at least one day");
    }
}

static void
parse_window(const struct cw_json_obj *o, struct cw_window *w)
{
    parse_days(o, w);
    struct cw_str s;
    unsigned from = 0, to = 0;
    bool ok = true;
    if (!cw_jget_str(o, "from", true, &s)) {
        ok = false;
    }
    else if (!parse_hhmm(s, &from) || from == 1440) {
        cw_json_obj_fault(o, "from", "must be HH:MM, 00:00 to 23:59");
        ok = false;
    }
    if (!cw_jget_str(o, "to", true, &s)) {
        ok = false;
    }
    else if (!parse_hhmm(s, &to)) {
        cw_json_obj_fault(o, "to", "must be HH:MM, 00:00 to 24:00");
        ok = false;
    }
    /* An end of 00:00 means the end of the day, like 24:00. */
    to = to == 0 ? 1440 : to;
    if (ok && from == to) {
        cw_json_obj_fault(o, "to",
                          "equals from; write 00:00 to 24:00 for a whole day");
    }
    w->from_min = (uint16_t)from;
    w->to_min = (uint16_t)to;
    parse_utc_offset(o, w);
}

static bool
parse_maintenance(struct cw_doc *d, const struct cw_json_obj *top)
{
    const json_t *v = cw_jget_value(top, "maintenance", false);
    struct cw_json_obj o;
    if (v == NULL || !cw_json_obj_bind(&o, v, top->faults, "", "maintenance",
                                       -1, maintenance_keys)) {
        return true;
    }
    uint32_t days;
    if (cw_jget_u32(&o, "every_days", false, 1, 365, &days)) {
        d->maintain_every_ms = days * CW_DAY;
    }
    cw_jget_ms(&o, "drain_ms", false, CW_SECOND, 10 * CW_MINUTE, &d->drain_ms);
    const json_t *list = cw_jget_array(&o, "windows", false, MAX_WINDOWS);
    size_t n = json_array_size(list);
    if (n == 0) {
        return true;
    }
    d->windows = calloc(n, sizeof(*d->windows));
    if (d->windows == NULL) {
        return false;
    }
    d->window_count = n;
    for (size_t i = 0; i < n; i++) {
        struct cw_json_obj w;
        if (cw_json_obj_bind(&w, json_array_get(list, i), top->faults, o.path,
                             "windows", (int)i, window_keys)) {
            parse_window(&w, &d->windows[i]);
        }
    }
    return true;
}

static bool
method_valid(struct cw_str s)
{
    if (cw_str_eq(s, CW_LIT("*"))) {
        return true;
    }
    for (size_t i = 0; i < s.len; i++) {
        if (s.ptr[i] < 'A' || s.ptr[i] > 'Z') {
            return false;
        }
    }
    return s.len > 0 && s.len <= 16;
}

static bool
prefix_valid(struct cw_str s)
{
    if (s.len == 0 || s.len > MAX_PATH_PREFIX_BYTES || s.ptr[0] != '/') {
        return false;
    }
    for (size_t i = 0; i < s.len; i++) {
        unsigned char c = (unsigned char)s.ptr[i];
        if (c <= ' ' || c >= 0x7f || c == '?' || c == '#') {
            return false;
        }
    }
    return true;
}

static bool
parse_idempotent(struct cw_doc *d, const struct cw_json_obj *top)
{
    const json_t *list =
        cw_jget_array(top, "idempotent", false, MAX_IDEMPOTENT);
    size_t n = json_array_size(list);
    if (n == 0) {
        return true;
    }
    d->idempotents = calloc(n, sizeof(*d->idempotents));
    if (d->idempotents == NULL) {
        return false;
    }
    d->idempotent_count = n;
    for (size_t i = 0; i < n; i++) {
        struct cw_json_obj o;
        if (!cw_json_obj_bind(&o, json_array_get(list, i), top->faults, "",
                              "idempotent", (int)i, idempotent_keys)) {
            continue;
        }
        struct cw_str s;
        if (cw_jget_str(&o, "method", true, &s)) {
            if (!method_valid(s)) {
                cw_json_obj_fault(&o, "method",
                                  "must be a method in upper case, or \"*\"");
            }
            else {
                (void)cw_name_set(&d->idempotents[i].method, s);
            }
        }
        if (!cw_jget_str(&o, "path", true, &s)) {
            continue;
        }
        if (!prefix_valid(s)) {
            cw_json_obj_fault(
                &o, "path",
                "must begin with '/', without spaces, '?' and '#', "
                "at most %d bytes",
                MAX_PATH_PREFIX_BYTES);
            continue;
        }
        d->idempotents[i].prefix = strndup(s.ptr, s.len);
        if (d->idempotents[i].prefix == NULL) {
            return false;
        }
    }
    return true;
}

static void
parse_quota(struct cw_doc *d, const struct cw_json_obj *top)
{
    const json_t *v = cw_jget_value(top, "quota", false);
    struct cw_json_obj o;
    if (v == NULL ||
        !cw_json_obj_bind(&o, v, top->faults, "", "quota", -1, quota_keys)) {
        return;
    }
    cw_jget_u32(&o, "cpu_milli", true, 0, 1000000000, &d->quota_cpu_milli);
    cw_jget_u32(&o, "memory_mb", true, 0, 1000000000, &d->quota_memory_mb);
    cw_jget_u32(&o, "accelerators", false, 0, 1000000, &d->quota_accelerators);
}

static void
parse_job(const struct cw_json_obj *o, struct cw_job *j)
{
    cw_jget_name(o, "name", true, &j->name);
    j->job_class = j->name;
    cw_jget_name(o, "class", false, &j->job_class);
    cw_jget_u32(o, "count", true, 1, 100000, &j->count);
    cw_jget_u32(o, "cpu_milli", true, 1, 1000000, &j->cpu_milli);
    cw_jget_u32(o, "memory_mb", true, 1, 16777216, &j->memory_mb);
    cw_jget_u32(o, "accelerators", false, 0, 64, &j->accelerators);
    cw_jget_ms(o, "run_ms", true, 1, 30 * CW_DAY, &j->run_ms);
    cw_jget_bool(o, "urgent", false, &j->urgent);
}

static bool
parse_jobs(struct cw_doc *d, const struct cw_json_obj *top)
{
    const json_t *list = cw_jget_array(top, "jobs", false, MAX_JOBS);
    size_t n = json_array_size(list);
    if (n == 0) {
        return true;
    }
    d->jobs = calloc(n, sizeof(*d->jobs));
    if (d->jobs == NULL) {
        return false;
    }
    d->job_count = n;
    for (size_t i = 0; i < n; i++) {
        struct cw_json_obj o;
        if (!cw_json_obj_bind(&o, json_array_get(list, i), top->faults, "",
                              "jobs", (int)i, job_keys)) {
            continue;
        }
        parse_job(&o, &d->jobs[i]);
        for (size_t k = 0; k < i; k++) {
            if (d->jobs[i].name.len > 0 &&
                cw_name_eq(&d->jobs[i].name, &d->jobs[k].name)) {
                cw_json_obj_fault(&o, "name", "is the name of jobs[%zu] too",
                                  k);
                break;
            }
        }
    }
    if (d->quota_cpu_milli == 0 || d->quota_memory_mb == 0) {
        cw_json_obj_fault(
            top, "quota",
            "must give cpu_milli and memory_mb above 0 when jobs "
            "are listed");
    }
    return true;
}

static bool
parse_top(struct cw_doc *d, const struct cw_json_obj *o)
{
    cw_jget_name(o, "service", true, &d->service);
    cw_jget_name(o, "team", true, &d->team);
    d->pool = d->service;
    cw_jget_name(o, "pool", false, &d->pool);
    if (d->pool.len > MAX_POOL_BYTES) {
        cw_json_obj_fault(
            o, "pool",
            "has %u bytes; the limit is %d (it defaults to service)",
            d->pool.len, MAX_POOL_BYTES);
    }
    cw_jget_bool(o, "spare_pool", false, &d->spare_pool);
    cw_jget_u32(o, "priority", false, 0, 9, &d->priority);
    cw_jget_ms(o, "deadline_ms", false, 10, 10 * CW_MINUTE, &d->deadline_ms);
    static const char *const outages[] = {"refuse", "run"};
    int outage = CW_OUTAGE_REFUSE;
    cw_jget_enum(o, "outage", false, outages, 2, &outage);
    d->outage = (enum cw_outage)outage;
    parse_capacity(d, o);
    parse_availability(d, o);
    parse_quota(d, o);
    return parse_maintenance(d, o) && parse_idempotent(d, o) &&
           parse_jobs(d, o);
}

enum cw_status
cw_doc_parse(struct cw_doc *doc, struct cw_str json, struct cw_faults *faults)
{
    struct cw_faults local = {.count = 0};
    struct cw_faults *f = faults == NULL ? &local : faults;
    f->count = 0;
    memset(doc, 0, sizeof(*doc));
    json_t *v = cw_json_load(json, CW_DOC_MAX, f);
    if (v == NULL) {
        return CW_ERR_INVALID;
    }
    doc->slots = 8;
    doc->connections = 64;
    doc->window_ms = 28 * CW_DAY;
    doc->priority = 5;
    doc->deadline_ms = 10 * CW_SECOND;
    doc->drain_ms = CW_MINUTE;
    doc->maintain_every_ms = 14 * CW_DAY;
    struct cw_json_obj o;
    enum cw_status s = CW_OK;
    if (cw_json_obj_bind(&o, v, f, "", "", -1, doc_keys) &&
        !parse_top(doc, &o)) {
        s = CW_ERR_NOMEM;
    }
    json_decref(v);
    if (s == CW_OK && f->count > 0) {
        s = CW_ERR_INVALID;
    }
    if (s != CW_OK) {
        cw_doc_finish(doc);
    }
    return s;
}

void
cw_doc_finish(struct cw_doc *doc)
{
    for (size_t i = 0; i < doc->idempotent_count; i++) {
        free(doc->idempotents[i].prefix);
    }
    free(doc->windows);
    free(doc->idempotents);
    free(doc->jobs);
    memset(doc, 0, sizeof(*doc));
}
