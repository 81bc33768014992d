/* Public interface of libcuminwalk: documents, replicated state and decision
 * modules of a fleet capacity and maintenance manager.
 *
 * Conventions:
 * - Times are cw_ms, milliseconds. Monotonic unless a name says wall.
 * - cw_x_init prepares memory that the caller owns; cw_x_finish releases what
 *   the module allocated inside it. Passing zeroed memory to finish is
 * allowed.
 * - Functions that can fail return enum cw_status; structures with a msg field
 *   keep one line about the last failure there.
 * - No function reads a clock, does I/O or uses global state, the logger
 *   excepted.
 */
#ifndef CUMINWALK_H
#define CUMINWALK_H

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#ifdef __cplusplus
extern "C" {
#endif

#define CW_VERSION "0.1.0"

/* ===================================================================== */
/* base: status                                                          */
/* ===================================================================== */

enum cw_status {
    CW_OK = 0,
    CW_ERR_NOMEM,       /* allocation failed */
    CW_ERR_INVALID,     /* input is malformed or out of range */
    CW_ERR_LIMIT,       /* a bound of size, count or rate is reached */
    CW_ERR_CONFLICT,    /* based on a version that is no longer current */
    CW_ERR_FENCED,      /* the writer no longer holds the scope */
    CW_ERR_NOT_FOUND,   /* no such entry */
    CW_ERR_UNAVAILABLE, /* the other side is away; nothing took effect */
    CW_ERR_TIMEOUT,     /* the deadline passed before anything was sent */
    CW_ERR_UNKNOWN,     /* sent, no answer: may or may not have taken effect */
    CW_ERR_IO,          /* local I/O failed */
};

#define CW_MSG_MAX 256 /* bytes of a msg field, with the final NUL */

/* Returns a constant lower-case word for a status, for logs and JSON. */
const char *cw_status_name(enum cw_status s);

/* Writes a formatted message into a msg field of CW_MSG_MAX bytes and returns
 * s, so that a caller can end with: return cw_fail(x->msg, s, "..."). */
enum cw_status cw_fail(char *msg, enum cw_status s, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/* Stops the process after one log line when an internal invariant is broken.
 * Never used for input, I/O or resource errors. */
#define CW_INVARIANT(cond)                                                    \
    do {                                                                      \
        if (!(cond)) {                                                        \
            cw_invariant_failed(#cond, __FILE__, __LINE__);                   \
        }                                                                     \
    } while (0)
void cw_invariant_failed(const char *cond, const char *file, int line)
    __attribute__((noreturn));

/* ===================================================================== */
/* base: clock                                                           */
/* ===================================================================== */

typedef int64_t cw_ms;

#define CW_SECOND ((cw_ms)1000)
#define CW_MINUTE (60 * CW_SECOND)
#define CW_HOUR (60 * CW_MINUTE)
#define CW_DAY (24 * CW_HOUR)

/* A source of time. now is monotonic, wall counts from 1970-01-01 UTC. */
struct cw_clock {
    cw_ms (*now)(void *ctx);
    cw_ms (*wall)(void *ctx);
    void *ctx;
};

/* The system's clock. */
struct cw_clock cw_clock_system(void);

/* A clock that a test or a bench steps by hand. */
struct cw_clock_manual {
    cw_ms now;
    cw_ms wall;
};
struct cw_clock cw_clock_manual(struct cw_clock_manual *m);

/* Formats wall time as 2026-12-04T05:14:00.123Z; buf holds 25 bytes. */
void cw_time_format(cw_ms wall, char buf[static 25]);

/* Parses YYYY-MM-DD or YYYY-MM-DDTHH:MM[:SS[.mmm]][Z] as UTC into wall ms.
 * Returns CW_ERR_INVALID and leaves *out alone when text is none of these. */
enum cw_status cw_time_parse(const char *text, cw_ms *out);

/* ===================================================================== */
/* base: strings                                                         */
/* ===================================================================== */

/* A view of bytes that somebody else owns; not NUL-terminated. */
struct cw_str {
    const char *ptr;
    size_t len;
};

#define CW_LIT(s) ((struct cw_str){(s), sizeof(s) - 1})
/* Arguments for a "%.*s" conversion. */
#define CW_FMT(s) (int)(s).len, (s).ptr

struct cw_str cw_str_from(const char *z); /* NULL gives an empty string */
bool cw_str_eq(struct cw_str a, struct cw_str b);
bool cw_str_eq_nocase(struct cw_str a, struct cw_str b);
bool cw_str_starts(struct cw_str s, struct cw_str prefix);
int cw_str_cmp(struct cw_str a, struct cw_str b);
/* Parses decimal digits only; false on anything else or on overflow. */
bool cw_str_to_u64(struct cw_str s, uint64_t *out);

#define CW_NAME_MAX 63 /* bytes of a name of a service, pool, VM or daemon */

/* A short length-counted string held in place; text is NUL-terminated. */
struct cw_name {
    uint8_t len;
    char text[CW_NAME_MAX + 1];
};

/* Copies s; CW_ERR_LIMIT when it is longer than CW_NAME_MAX. */
enum cw_status cw_name_set(struct cw_name *n, struct cw_str s);
struct cw_str cw_name_str(const struct cw_name *n);
bool cw_name_eq(const struct cw_name *a, const struct cw_name *b);
/* True for 1 to CW_NAME_MAX bytes of a-z, A-Z, 0-9, '.', '_', '-', starting
 * with a letter or digit. */
bool cw_name_valid(struct cw_str s);

/* A growing byte buffer. A failed allocation sets failed and later calls do
 * nothing, so that a caller checks once at the end. */
struct cw_buf {
    char *ptr;
    size_t len;
    size_t cap;
    bool failed;
};

void cw_buf_init(struct cw_buf *b);
void cw_buf_finish(struct cw_buf *b);
void cw_buf_clear(struct cw_buf *b);
void cw_buf_add(struct cw_buf *b, const void *ptr, size_t len);
void cw_buf_add_str(struct cw_buf *b, struct cw_str s);
void cw_buf_addf(struct cw_buf *b, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/* Adds s with the escapes that JSON wants, with the quotes. */
void cw_buf_add_json(struct cw_buf *b, struct cw_str s);
struct cw_str cw_buf_str(const struct cw_buf *b);

/* ===================================================================== */
/* base: hashing and random numbers                                      */
/* ===================================================================== */

/* XXH64 of s under seed; the same on every machine. */
uint64_t cw_hash(struct cw_str s, uint64_t seed);
/* Mixes two 64-bit values into one. */
uint64_t cw_hash_mix(uint64_t a, uint64_t b);

/* A seeded generator (xoshiro256**); the same sequence for the same seed. */
struct cw_rng {
    uint64_t s[4];
};
void cw_rng_init(struct cw_rng *r, uint64_t seed);
uint64_t cw_rng_next(struct cw_rng *r);
/* Uniform in [0, n); n > 0. */
uint64_t cw_rng_below(struct cw_rng *r, uint64_t n);
/* Uniform in [0, 1). */
double cw_rng_unit(struct cw_rng *r);
/* Exponentially distributed with the given mean. */
double cw_rng_exp(struct cw_rng *r, double mean);

/* ===================================================================== */
/* base: logger                                                          */
/* ===================================================================== */

enum cw_level { CW_DEBUG, CW_INFO, CW_WARN, CW_ERROR };

/* Sets the lowest level written, the stream (default stderr) and a constant
 * daemon name that each line carries; name may be NULL. */
void cw_logger_setup(enum cw_level lowest, FILE *out, const char *name);
/* Returns false when text is not debug, info, warn or error. */
bool cw_level_parse(const char *text, enum cw_level *out);

/* Writes one line: time, level, daemon, event=<event>, then key=value pairs in
 * fmt. Use cw_quoted for values that may hold spaces. */
void cw_log(enum cw_level level, const char *event, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

#define CW_QUOTED_MAX 512
/* Writes s with quotes and escapes into buf, cut at CW_QUOTED_MAX bytes, and
 * returns buf. */
const char *cw_quoted(char buf[static CW_QUOTED_MAX], struct cw_str s);

/* ===================================================================== */
/* base: histograms and metrics                                          */
/* ===================================================================== */

#define CW_HIST_BUCKETS 320

/* Counts of values 0 .. 2^40 in logarithmic buckets, 8 for each power of two,
 * so that a quantile is at most 12.5% above the true value. */
struct cw_hist {
    uint64_t count;
    uint64_t sum;
    uint64_t max;
    uint32_t buckets[CW_HIST_BUCKETS];
};

void cw_hist_init(struct cw_hist *h);
void cw_hist_record(struct cw_hist *h, uint64_t value);
void cw_hist_merge(struct cw_hist *into, const struct cw_hist *from);
/* The upper bound of the bucket that holds quantile q in [0, 1]; 0 if empty.
 */
uint64_t cw_hist_quantile(const struct cw_hist *h, double q);
double cw_hist_mean(const struct cw_hist *h);

/* A registry of named counters, gauges and histograms. A series is identified
 * by its metric name and one label string such as service="stock". */
struct cw_metrics {
    struct cw_metric *items;
    size_t count;
    size_t cap;
};

void cw_metrics_init(struct cw_metrics *m);
void cw_metrics_finish(struct cw_metrics *m);
/* Return the value to update, made on first use; the pointer stays valid until
 * cw_metrics_finish. NULL when memory is short. labels may be "". */
uint64_t *cw_metrics_counter(struct cw_metrics *m, const char *name,
                             const char *labels);
double *cw_metrics_gauge(struct cw_metrics *m, const char *name,
                         const char *labels);
struct cw_hist *cw_metrics_hist(struct cw_metrics *m, const char *name,
                                const char *labels);
/* Adds all series in the usual text exposition format; histograms as the
 * quantiles 0.5, 0.9, 0.99 with _count and _sum. */
void cw_metrics_print(const struct cw_metrics *m, struct cw_buf *out);

/* ===================================================================== */
/* config: service documents                                             */
/* ===================================================================== */

/* One fault found in a document or a settings file. */
struct cw_fault {
    char path[128]; /* place in the JSON text, e.g. "capacity.vms_max" */
    char text[192]; /* what is wrong, the limit, and what to write instead */
};

#define CW_FAULTS_MAX 64 /* faults reported for one text; more are cut */

/* Faults of one text. */
struct cw_faults {
    size_t count;
    struct cw_fault items[CW_FAULTS_MAX];
};

/* Adds a fault; ignored when the list is full. */
void cw_faults_add(struct cw_faults *f, const char *path, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/* A weekly time window in which VMs may be taken for maintenance. */
struct cw_window {
    uint8_t days;           /* bit 0 = Monday .. bit 6 = Sunday */
    uint16_t from_min;      /* minutes after local midnight, 0 .. 1439 */
    uint16_t to_min;        /* end, 1 .. 1440; below from_min: next day */
    int16_t utc_offset_min; /* local time minus UTC, -840 .. 840 */
};

/* A method and path prefix that may be sent again without harm. */
struct cw_idempotent {
    struct cw_name method; /* upper case, or "*" for every method */
    char *prefix;          /* NUL-terminated path prefix, begins with '/' */
};

/* Jobs of one kind that a document asks for. */
struct cw_job {
    struct cw_name name;
    struct cw_name job_class; /* jobs of a class use alike; default: name */
    uint32_t count;           /* tasks that have to run to their end */
    uint32_t cpu_milli;       /* declared, thousandths of a processor */
    uint32_t memory_mb;       /* declared */
    uint32_t accelerators;    /* whole devices */
    cw_ms run_ms;             /* declared run time */
    bool urgent;              /* starts within 9.8 s */
};

/* What to do with a keyed request while the log is unavailable. */
enum cw_outage { CW_OUTAGE_REFUSE, CW_OUTAGE_RUN };

/* A parsed and valid service document. */
struct cw_doc {
    struct cw_name service;
    struct cw_name team;
    struct cw_name pool; /* default: the service's name */
    bool spare_pool;     /* the pool lends its VMs to other pools */
    uint32_t vms_min;
    uint32_t vms_max;
    uint32_t slots;          /* concurrent requests per VM, default 8 */
    uint32_t connections;    /* connections per VM, default 64 */
    double target;           /* availability, 0 < target < 1 */
    cw_ms window_ms;         /* availability window, default 28 days */
    uint32_t priority;       /* 0 (lowest) .. 9 */
    cw_ms deadline_ms;       /* longest time for a request, default 10 s */
    cw_ms drain_ms;          /* upper bound of a drain, default 60 s */
    cw_ms maintain_every_ms; /* each VM once in this time, default 14 d */
    enum cw_outage outage;
    uint32_t quota_cpu_milli; /* of the team's jobs; 0 = no jobs */
    uint32_t quota_memory_mb;
    uint32_t quota_accelerators;
    size_t window_count;
    struct cw_window *windows;
    size_t idempotent_count;
    struct cw_idempotent *idempotents;
    size_t job_count;
    struct cw_job *jobs;
};

#define CW_DOC_MAX (64 * 1024) /* bytes of one document's JSON text */

/* Parses and validates a document. On CW_OK the caller owns *doc and releases
 * it with cw_doc_finish; on CW_ERR_INVALID *faults lists every fault found and
 * *doc is empty. faults may be NULL. */
enum cw_status cw_doc_parse(struct cw_doc *doc, struct cw_str json,
                            struct cw_faults *faults);
void cw_doc_finish(struct cw_doc *doc);
/* True when the method and path may be sent again: GET, HEAD and OPTIONS
 * always, others as the document declares. */
bool cw_doc_idempotent(const struct cw_doc *doc, struct cw_str method,
                       struct cw_str path);
/* True when wall lies in one of the maintenance windows; a document without
 * windows allows maintenance at any time. */
bool cw_doc_window_open(const struct cw_doc *doc, cw_ms wall);

/* ===================================================================== */
/* config: daemon settings                                               */
/* ===================================================================== */

/* Another daemon that this one may meet before the log names it. */
struct cw_peer_setting {
    struct cw_name daemon;
    struct cw_name address; /* ip:port of its peer listener */
};

/* A daemon's settings, from one JSON file. Addresses are ip:port with IP
 * numbers only. */
struct cw_settings {
    struct cw_name daemon;
    struct cw_name dc;
    struct cw_name listen;       /* callers */
    struct cw_name peer_listen;  /* other daemons */
    struct cw_name admin_listen; /* metrics and health, default loopback */
    struct cw_name platform;     /* log, VM list, pool and worker control */
    size_t peer_count;
    struct cw_peer_setting *peers;
    enum cw_level log_level;
    cw_ms heartbeat_ms;    /* default 1000 */
    cw_ms silent_ms;       /* lapse and confirmation limit, default 3000 */
    cw_ms slot_guard_ms;   /* wait before a gained slot, default 4000 */
    cw_ms probe_ms;        /* endpoint probe, default 1000 */
    cw_ms stat_ms;         /* between stat records, default 60000 */
    cw_ms drain_ms;        /* longest graceful stop, default 60000 */
    uint32_t key_streams;  /* 1 .. 16, default 1 */
    cw_ms key_window_ms;   /* default 600000 */
    uint32_t cells;        /* placement cells, default 1 */
    uint32_t spare_bursts; /* services that can burst at once, default 1 */
    double weight_buffer;  /* weights of the three measures, sum > 0 */
    double weight_rollout;
    double weight_moves;
    uint64_t seed; /* of random choices; 0 = from the clock */
};

/* Parses and validates settings; unknown keys are faults. The caller releases
 * *s with cw_settings_finish after CW_OK. */
enum cw_status cw_settings_parse(struct cw_settings *s, struct cw_str json,
                                 struct cw_faults *faults);
void cw_settings_finish(struct cw_settings *s);

/* ===================================================================== */
/* state: log records                                                    */
/* ===================================================================== */

enum cw_record_type {
    CW_REC_DOC,
    CW_REC_MEMBER,
    CW_REC_VM,
    CW_REC_OP,
    CW_REC_WAVE,
    CW_REC_STAT,
    CW_REC_SNAP,
};

enum cw_member_action { CW_MEMBER_JOIN, CW_MEMBER_LEAVE, CW_MEMBER_LAPSE };
enum cw_op_kind { CW_OP_MAINTAIN, CW_OP_MOVE };
enum cw_op_step {
    CW_STEP_DRAINING,
    CW_STEP_DRAINED,
    CW_STEP_REBOOTING, /* maintain only */
    CW_STEP_ASSIGNING, /* move only; the VM changes its pool here */
    CW_STEP_RETURNING,
    CW_STEP_DONE,
    CW_STEP_CANCELLED,
    CW_STEP_FAILED,
};
#define CW_STEP_COUNT 8
enum cw_wave_action {
    CW_WAVE_OPEN,
    CW_WAVE_HOLD,
    CW_WAVE_RESUME,
    CW_WAVE_CLOSE,
};

/* A document edit. json is the document's text as it was written. */
struct cw_rec_doc {
    struct cw_name service;
    uint64_t base; /* version the edit is based on, 0 for a new document */
    struct cw_str json;
};

struct cw_rec_member {
    struct cw_name daemon;
    uint64_t incarnation;
    enum cw_member_action action;
    struct cw_name dc;
    struct cw_name address; /* peer listener */
};

struct cw_rec_vm {
    struct cw_name vm;
    uint64_t incarnation;
    struct cw_name pool;
    struct cw_name dc;
    struct cw_name rack;
    struct cw_name address; /* endpoint, ip:port */
    bool gone;              /* the VM has left the fleet for good */
};

struct cw_rec_op {
    struct cw_name op;
    enum cw_op_kind kind;
    struct cw_name scope; /* pool/<name> */
    struct cw_name vm;
    struct cw_name from;
    struct cw_name to;   /* same as from for maintain */
    struct cw_name wave; /* empty for none */
    char cause[96];
    char result[96]; /* set on done, cancelled, failed */
    uint64_t doc_version;
    enum cw_op_step step;
};

struct cw_rec_wave {
    struct cw_name wave;
    struct cw_name scope;
    enum cw_wave_action action;
    char reason[96];
};

/* Counts of one service on one daemon between two wall times. */
struct cw_stat_service {
    struct cw_name service;
    uint64_t ok;
    uint64_t failed;
    uint64_t shed; /* refused as not run for lack of capacity */
    uint64_t unknown;
    uint64_t p50_us;
    uint64_t p99_us;
    uint64_t idle_slot_ms; /* slots held and free, summed over time */
    uint64_t busy_slot_ms;
};

struct cw_rec_stat {
    struct cw_name daemon; /* empty in a state: one hour, all daemons */
    cw_ms from;            /* wall */
    cw_ms to;
    size_t count;
    struct cw_stat_service *services;
};

struct cw_rec_snap {
    struct cw_name cycle;
    uint64_t as_of;
    uint32_t part; /* 1 .. parts */
    uint32_t parts;
    struct cw_str items; /* JSON text of an array of state items */
};

/* One record of the stream config. Views point into memory that the record
 * owns; release with cw_record_finish. */
struct cw_record {
    enum cw_record_type type;
    struct cw_name id;
    struct cw_name by;
    uint64_t by_incarnation; /* of the writing daemon; 0 = not stated */
    cw_ms time;              /* wall, as the writer saw it */
    union {
        struct cw_rec_doc doc;
        struct cw_rec_member member;
        struct cw_rec_vm vm;
        struct cw_rec_op op;
        struct cw_rec_wave wave;
        struct cw_rec_stat stat;
        struct cw_rec_snap snap;
    } u;
    void *owned; /* private memory of a parsed record */
};

/* Parses one JSON object. msg (CW_MSG_MAX bytes) names the field at fault.
 * Unknown keys are ignored, so that an older daemon reads newer records. In
 * JSON, doc is the document's text as a string; an object is accepted too. */
enum cw_status cw_record_parse(struct cw_record *r, struct cw_str json,
                               char *msg);
void cw_record_finish(struct cw_record *r);
/* Adds the record as one JSON object to out. */
enum cw_status cw_record_print(const struct cw_record *r, struct cw_buf *out);

const char *cw_op_step_name(enum cw_op_step s);
const char *cw_op_kind_name(enum cw_op_kind k);
const char *cw_wave_action_name(enum cw_wave_action a);

/* ===================================================================== */
/* state: replicated state, commands                                     */
/* ===================================================================== */

/* A document in force and how it came to be. */
struct cw_doc_entry {
    struct cw_doc doc;
    char *json;
    size_t json_len;
    uint64_t version; /* offset of its record */
    struct cw_name by;
    cw_ms time; /* wall */
};

/* An edit that was asked for, accepted or not. */
struct cw_edit_entry {
    struct cw_name id;
    struct cw_name service;
    struct cw_name by;
    cw_ms time;
    uint64_t offset;
    uint64_t base;
    uint64_t current; /* version in force when it was judged */
    bool accepted;
    char reason[96]; /* why it was refused */
};

struct cw_member_entry {
    struct cw_name daemon;
    uint64_t incarnation;
    struct cw_name dc;
    struct cw_name address;
    uint64_t offset; /* of the join record */
};

struct cw_vm_entry {
    struct cw_name vm;
    uint64_t incarnation;
    struct cw_name pool;
    struct cw_name dc;
    struct cw_name rack;
    struct cw_name address;
    uint64_t offset;   /* of the last record that changed it */
    cw_ms maintained;  /* wall time of the last finished maintenance */
    struct cw_name op; /* open operation, empty for none */
};

/* A VM operation with the time of each step; kept after its end. */
struct cw_op_entry {
    struct cw_rec_op rec; /* with the last step and result */
    uint64_t first_offset;
    uint64_t last_offset;
    struct cw_name by;              /* writer of the last step */
    cw_ms step_time[CW_STEP_COUNT]; /* wall, 0 for a step not taken */
    bool open;
};

struct cw_wave_entry {
    struct cw_name wave;
    struct cw_name scope;
    enum cw_wave_action last; /* OPEN or RESUME: running */
    char reason[96];
    cw_ms opened;  /* wall */
    cw_ms changed; /* wall time of the last action */
    cw_ms closed;  /* 0 while open */
    cw_ms held_ms; /* total time on hold */
    uint32_t done; /* operations of the wave that ended well */
    uint32_t failed;
};

enum cw_apply {
    CW_APPLY_OK,
    CW_APPLY_DUPLICATE, /* a record id seen before, or offset already passed */
    CW_APPLY_REJECTED,  /* valid record without effect: state.msg says why */
};

/* The replicated state that replay of the stream config builds. All replicas
 * that applied the same records are equal. Fields may be read; only the
 * functions below change them. */
struct cw_state {
    uint64_t applied;      /* offset of the last record applied */
    uint64_t member_epoch; /* offset of the last membership change */
    uint64_t version;      /* grows with each change, for caches */
    size_t doc_count;
    struct cw_doc_entry **docs; /* sorted by service */
    size_t member_count;
    struct cw_member_entry *members; /* sorted by daemon */
    size_t vm_count;
    struct cw_vm_entry **vms; /* sorted by VM */
    size_t op_count;
    struct cw_op_entry **ops; /* oldest first, open and kept */
    size_t wave_count;
    struct cw_wave_entry **waves; /* oldest first */
    size_t edit_count;
    struct cw_edit_entry **edits; /* oldest first */
    size_t stat_count;
    struct cw_rec_stat **stats;   /* oldest first */
    struct cw_state_index *index; /* private */
    char msg[CW_MSG_MAX];
};

void cw_state_init(struct cw_state *s);
void cw_state_finish(struct cw_state *s);

/* Applies the record at offset. Offsets at or below s->applied are
 * duplicates, and so is an id among the last CW_SEEN_IDS records. Running out
 * of memory stops the process: a replica that skips a record would differ
 * from the others. The record stays the caller's. A record that cannot be
 * parsed is skipped by the caller with cw_state_skip, alike on every replica.
 */
enum cw_apply cw_state_apply(struct cw_state *s, uint64_t offset,
                             const struct cw_record *r);
void cw_state_skip(struct cw_state *s, uint64_t offset);

/* Record ids kept to find duplicates, oldest dropped first. A writer appends
 * a record again at most 5 s after the first time; at 500 appends a second
 * this many ids cover 32 s. */
#define CW_SEEN_IDS 16384

/* Time for which finished operations, edits and statistics are kept. */
#define CW_HISTORY_MS (15 * CW_DAY)
/* Statistics are kept as written for this long, which covers the 15 min that
 * moves look back; older ones are merged, or they would be most of the state
 * and of each snapshot. */
#define CW_STAT_FINE_MS (30 * CW_MINUTE)
/* Edits kept in all; a flood of edits drops the oldest ones earlier. */
#define CW_EDITS_MAX 16384

/* Tells the log service's time of the record that was just applied or
 * skipped. Call it after each record: every 10 min of log time it drops
 * history older than CW_HISTORY_MS and merges statistics that ended more than
 * CW_STAT_FINE_MS ago into one entry an hour for all daemons. The log's time
 * is used because it is the same on every replica and no daemon's clock can
 * move it. */
void cw_state_advance(struct cw_state *s, cw_ms log_time);

/* Drops finished operations, closed waves, edits and statistics that ended
 * before wall. Deterministic callers pass the time of a log record. */
void cw_state_expire(struct cw_state *s, cw_ms wall);

#define CW_PART_MIN 4096 /* smallest part_max */

/* Serializes the state as items; each part is the JSON text of an array of at
 * most part_max bytes. Calls add for each part. */
enum cw_status cw_state_export(const struct cw_state *s, size_t part_max,
                               void (*add)(void *ctx, struct cw_str items),
                               void *ctx);
/* Adds the items of one part to a state under construction; parts are added
 * in order to a state without records. After the last part call
 * cw_state_import_done with the offset that the items are as of. */
enum cw_status cw_state_import(struct cw_state *s, struct cw_str items);
void cw_state_import_done(struct cw_state *s, uint64_t as_of);

/* ===================================================================== */
/* state: replicated state, queries                                      */
/* ===================================================================== */

/* Lookups return NULL when there is no such entry. Pointers stay valid until
 * the next change of the state. */
const struct cw_doc_entry *cw_state_doc(const struct cw_state *s,
                                        struct cw_str service);
/* The document whose pool is the given one. */
const struct cw_doc_entry *cw_state_doc_of_pool(const struct cw_state *s,
                                                struct cw_str pool);
const struct cw_vm_entry *cw_state_vm(const struct cw_state *s,
                                      struct cw_str vm);
const struct cw_op_entry *cw_state_op(const struct cw_state *s,
                                      struct cw_str op);
/* The open wave of a scope, or NULL. */
const struct cw_wave_entry *cw_state_open_wave(const struct cw_state *s,
                                               struct cw_str scope);
const struct cw_member_entry *cw_state_member(const struct cw_state *s,
                                              struct cw_str daemon);
/* The member that holds a scope, or NULL when there are no members. */
const struct cw_member_entry *cw_state_holder(const struct cw_state *s,
                                              struct cw_str scope);
/* Number of VMs whose pool is the given one. */
size_t cw_state_pool_size(const struct cw_state *s, struct cw_str pool);
/* A hash over the whole content, for comparing replicas. */
uint64_t cw_state_digest(const struct cw_state *s);

/* ===================================================================== */
/* policy: slot partition                                                */
/* ===================================================================== */

#define CW_SLOTS_MAX 64 /* slots of one endpoint, one bit each in a mask */

/* A daemon in force, as the replicated state names it. */
struct cw_slot_member {
    uint64_t incarnation;
    struct cw_name daemon;
    struct cw_name dc;
};

/* An endpoint whose slots are divided over the members. */
struct cw_slot_endpoint {
    struct cw_name vm;
    struct cw_name dc;
    uint32_t slots;       /* 1 .. CW_SLOTS_MAX */
    uint32_t connections; /* over all daemons */
};

struct cw_slots_params {
    uint32_t load_pct;   /* bound per member and endpoint, in percent of the
                          * even share, rounded up; 0 = no bound */
    cw_ms guard_ms;      /* wait before a gained slot, default 4000 */
    cw_ms silent_ms;     /* confirmation limit, default 3000 */
    bool wait_for_peers; /* gained slots also wait for peers' offsets */
    bool early_release;  /* a slot that all peers gave up needs no guard */
    bool report_lost_in_use; /* slots lost while in use are reported as busy */
};
struct cw_slots_params cw_slots_defaults(void);

/* The view that a partition is computed from. Members are sorted by daemon,
 * endpoints by VM, both without duplicates. */
struct cw_slots_view {
    uint64_t offset; /* of the config record that led to this view */
    bool lapse;      /* that record is a lapse, so a member was cut out */
    size_t member_count;
    const struct cw_slot_member *members;
    size_t endpoint_count;
    const struct cw_slot_endpoint *endpoints;
};

/* This daemon's part of one endpoint. The address stays the same while the
 * endpoint is in the view or a slot of it is in use; cw_slots_update and
 * cw_slots_release free an entry for which neither holds. */
struct cw_slot_entry {
    struct cw_name vm;
    uint32_t slots;
    uint32_t connections; /* this daemon's share */
    uint64_t held;        /* slots that belong to this daemon */
    uint64_t pending;     /* held, but not yet usable */
    uint64_t in_use;      /* may hold slots that were lost meanwhile */
    uint64_t gain_offset; /* of the view that last added to pending */
    cw_ms gained;         /* when that view was applied */
    bool gone;            /* out of the view, kept for in_use */
};

/* Slots of one endpoint that a daemon still uses after losing them. */
struct cw_slot_busy {
    uint64_t vm_hash; /* cw_slots_vm_hash */
    uint64_t mask;
};

/* What a peer's last heartbeat said. */
struct cw_slot_peer {
    struct cw_name daemon;
    uint64_t incarnation;
    uint64_t applied; /* config offset */
    size_t busy_count;
    struct cw_slot_busy *busy;
};

/* The slot table of one daemon. Fields may be read; only the functions below
 * change them.
 *
 * A gained slot is usable when
 * - every other member has sent a heartbeat whose applied offset is at or
 *   above the offset of the gain and which does not list the slot as busy;
 * - and, when a member was cut out by a lapse (or this is the first view), the
 *   guard time has passed and the peers have known of it for silent_ms, so
 *   that the lapsed member can no longer count itself confirmed.
 * Without wait_for_peers only the guard time counts. */
struct cw_slots {
    struct cw_slots_params params;
    struct cw_name self;
    uint64_t incarnation;
    bool confirmed; /* false: no slot is usable */
    uint64_t offset;
    uint64_t lapse_offset; /* last view that cut a member out */
    cw_ms lapse_applied;
    cw_ms lapse_applied_by_peers; /* all peers had applied it; -1 = not yet */
    size_t pending_count;         /* entries with pending slots */
    size_t count;
    struct cw_slot_entry **items; /* sorted by VM */
    size_t peer_count;
    struct cw_slot_peer *peers; /* other members, sorted by daemon */
};

void cw_slots_init(struct cw_slots *t, struct cw_str self,
                   uint64_t incarnation, struct cw_slots_params params);
void cw_slots_finish(struct cw_slots *t);

/* Divides the slots of each endpoint anew. Called after each config record
 * that changes the members or an endpoint's slot count, in log order and
 * without skipping one: a skipped view could hide that a slot was another
 * member's in between. After loading a snapshot over an existing table call
 * cw_slots_reset first. The result depends on the view alone. When this daemon
 * is not among the members, it holds nothing. CW_ERR_NOMEM leaves the table
 * without any held slot. */
enum cw_status cw_slots_update(struct cw_slots *t,
                               const struct cw_slots_view *view, cw_ms now);
/* Drops every held slot; slots in use stay counted until released. incarnation
 * is the daemon's, which a rejoin changes. */
void cw_slots_reset(struct cw_slots *t, uint64_t incarnation);
/* Sets whether the membership is confirmed. */
void cw_slots_set_confirmed(struct cw_slots *t, bool confirmed);
/* Notes a peer's heartbeat: the offset it has applied and the slots that it
 * has lost but still uses, both as of the same moment. Ignored for daemons and
 * incarnations that are not members. */
enum cw_status cw_slots_record_heartbeat(struct cw_slots *t,
                                         struct cw_str daemon,
                                         uint64_t incarnation,
                                         uint64_t applied,
                                         const struct cw_slot_busy *busy,
                                         size_t busy_count, cw_ms now);
/* Makes gained slots usable whose conditions hold; returns their number.
 * Called after cw_slots_record_heartbeat and on a timer while pending_count >
 * 0. */
size_t cw_slots_activate_pending(struct cw_slots *t, cw_ms now);
/* Takes the lowest usable slot of an endpoint for one request; -1 if none. */
int cw_slots_acquire(struct cw_slots *t, struct cw_slot_entry *e);
/* Gives a slot back after the response has ended or the request is known not
 * to run. Frees e when the endpoint is gone and this was its last slot. */
void cw_slots_release(struct cw_slots *t, struct cw_slot_entry *e, int slot);

/* Queries. */
struct cw_slot_entry *cw_slots_find(const struct cw_slots *t,
                                    struct cw_str vm);
/* Slots of e that a new request may use now. */
uint32_t cw_slots_free_count(const struct cw_slots *t,
                             const struct cw_slot_entry *e);
/* Slots of e that are held and usable, in use or not. */
uint32_t cw_slots_usable_count(const struct cw_slots *t,
                               const struct cw_slot_entry *e);
/* Lists the lost slots still in use, for the heartbeat; returns how many
 * entries there are, of which at most max are written. */
size_t cw_slots_busy(const struct cw_slots *t, struct cw_slot_busy *out,
                     size_t max);
uint64_t cw_slots_vm_hash(struct cw_str vm);
/* Bytes of memory that the table uses. */
size_t cw_slots_memory(const struct cw_slots *t);
/* Computes the holder of each slot of one endpoint: owner[i] is an index into
 * members. Returns false when there are no members. */
bool cw_slots_owners(const struct cw_slot_member *members, size_t count,
                     const struct cw_slot_endpoint *ep, uint32_t load_pct,
                     uint16_t owner[static CW_SLOTS_MAX]);

/* ===================================================================== */
/* policy: endpoint choice, ejection, adaptive limits, leaving endpoints */
/* ===================================================================== */

/* How a request to an endpoint ended, as the endpoint's health sees it. */
enum cw_ep_result {
    CW_EP_OK,       /* a response that is not a server error */
    CW_EP_FAILED,   /* failed connect, cut, timeout or server error */
    CW_EP_FULL,     /* the endpoint refused: full */
    CW_EP_DRAINING, /* the endpoint refused: draining */
    CW_EP_NEUTRAL,  /* the caller went away; says nothing of the endpoint */
};

struct cw_eject_params {
    uint32_t consecutive;       /* failures in a row, default 5; 0 = off */
    double rate;                /* share of failures, default 0.5; 0 = off */
    uint32_t rate_min_requests; /* requests needed for the rate, default 10 */
    cw_ms window_ms;       /* time that the rate looks back, default 10000 */
    cw_ms min_ejection_ms; /* default 5000 */
    cw_ms max_ejection_ms; /* default 60000 */
    double max_ejected_share; /* panic above this share, default 1/3 */
};
struct cw_eject_params cw_eject_defaults(void);

/* Ejection state of one endpoint; zeroed memory is a healthy endpoint. */
struct cw_eject {
    uint32_t consecutive_failures;
    uint32_t ok[2]; /* counts of the current and the previous half window */
    uint32_t failed[2];
    cw_ms half_start;
    cw_ms until;  /* end of the ejection */
    cw_ms length; /* of the last ejection, 0 = none */
};

/* Counts a result and returns true when it ejects the endpoint. The length
 * doubles unless the endpoint stayed in for as long as it was last out. */
bool cw_eject_record_result(struct cw_eject *e,
                            const struct cw_eject_params *p, bool failed,
                            cw_ms now);
bool cw_eject_active(const struct cw_eject *e, cw_ms now);

struct cw_limit_params {
    bool enabled;
    double slow_factor;    /* times the pool's average latency, default 2 */
    double decrease;       /* factor, default 0.9 */
    double increase;       /* share regained per second, default 0.05 */
    cw_ms min_interval_ms; /* shortest time between decreases, default 1000 */
    double min_share;      /* smallest share of the slots, default 0.1 */
};
struct cw_limit_params cw_limit_defaults(void);

/* Adaptive limit of one endpoint: the share of its held slots in use at most.
 */
struct cw_limit {
    double share; /* min_share .. 1 */
    cw_ms changed;
};

void cw_limit_init(struct cw_limit *l, cw_ms now);
/* Adjusts the limit after a response. */
void cw_limit_update(struct cw_limit *l, const struct cw_limit_params *p,
                     double latency_ms, double pool_latency_ms, cw_ms now);
/* Slots that may be in use of those held: at least 1 of any held. */
uint32_t cw_limit_slots(const struct cw_limit *l,
                        const struct cw_limit_params *p, uint32_t held);

/* Where a leaving signal came from. */
enum cw_leaving_source {
    CW_LEAVING_OP,      /* operation in the replicated state */
    CW_LEAVING_LIST,    /* the platform's VM list */
    CW_LEAVING_PEER,    /* a peer's heartbeat */
    CW_LEAVING_REFUSED, /* the endpoint's refusal: draining */
    CW_LEAVING_PROBE,   /* failed readiness */
};
#define CW_LEAVING_SOURCES 5

struct cw_leaving_entry {
    struct cw_name vm;
    uint64_t incarnation;
    uint8_t signals; /* bit per cw_leaving_source; 0 = cancelled */
    enum cw_leaving_source first; /* the earliest signal */
    cw_ms since;
    cw_ms settle_until; /* after a cancelled operation: lagging signals from
                         * lists, peers and refusals are ignored until then */
};

struct cw_leaving_params {
    bool sticky; /* false: the last word of the VM list counts */
    /* Time after a cancelled operation in which only operations count: the
     * VM list and the peers still repeat the drain. Default 10000. */
    cw_ms settle_ms;
};
struct cw_leaving_params cw_leaving_defaults(void);

/* Endpoints known to be leaving, one entry per VM with its newest incarnation,
 * sorted by VM. */
struct cw_leaving {
    struct cw_leaving_params params;
    size_t count;
    size_t cap;
    struct cw_leaving_entry *items;
};

void cw_leaving_init(struct cw_leaving *l, struct cw_leaving_params params);
void cw_leaving_finish(struct cw_leaving *l);
/* Notes a signal. *first is true when the endpoint was not leaving before;
 * the daemon then stops new work and reports it in its heartbeats. A signal
 * for an older incarnation than one seen is ignored. */
enum cw_status cw_leaving_add_signal(struct cw_leaving *l, struct cw_str vm,
                                     uint64_t incarnation,
                                     enum cw_leaving_source source, cw_ms now,
                                     bool *first);
/* The VM list says that the endpoint is live. Changes nothing while sticky. */
void cw_leaving_list_live(struct cw_leaving *l, struct cw_str vm,
                          uint64_t incarnation);
/* The endpoint answered its readiness probe: withdraws a probe signal and no
 * other, so that a pause is not taken for a departure. */
void cw_leaving_probe_ok(struct cw_leaving *l, struct cw_str vm,
                         uint64_t incarnation);
/* The replicated state shows that the operation was cancelled: the only way
 * back for the same incarnation. */
void cw_leaving_cancelled(struct cw_leaving *l, struct cw_str vm,
                          uint64_t incarnation, cw_ms now);
/* True for the noted incarnation and for every older one. */
bool cw_leaving_contains(const struct cw_leaving *l, struct cw_str vm,
                         uint64_t incarnation);
/* Drops the entry of a VM that the state no longer has. */
void cw_leaving_remove(struct cw_leaving *l, struct cw_str vm);

struct cw_route_params {
    bool two_choices;    /* false: one random endpoint */
    cw_ms slow_start_ms; /* default 10000; 0 = off */
    double smoothing;    /* weight of a new latency sample, default 0.2 */
    struct cw_eject_params eject;
    struct cw_limit_params limit;
};
struct cw_route_params cw_route_defaults(void);

/* One endpoint as this daemon's router sees it. The daemon owns the memory and
 * may embed it; cw_endpoint_init sets every field. */
struct cw_endpoint {
    struct cw_slot_entry *slots;
    uint64_t incarnation;
    uint32_t in_flight; /* of this daemon */
    double latency_ms;  /* moving average; 0 = no sample yet */
    cw_ms since;        /* became usable, for slow start */
    bool ready;         /* in a pool, no open operation, probe answered */
    bool leaving;
    struct cw_eject eject;
    struct cw_limit limit;
    void *ctx; /* the daemon's */
};

/* The endpoints of one service. */
struct cw_route {
    struct cw_route_params params;
    size_t count;
    size_t cap;
    struct cw_endpoint **items;
    double latency_ms; /* moving average over the pool */
};

void cw_route_init(struct cw_route *r, struct cw_route_params params);
void cw_route_finish(struct cw_route *r);
/* Prepares an endpoint that is not ready yet. */
void cw_endpoint_init(struct cw_endpoint *ep, struct cw_slot_entry *slots,
                      uint64_t incarnation, cw_ms now);
enum cw_status cw_route_add(struct cw_route *r, struct cw_endpoint *ep);
void cw_route_remove(struct cw_route *r, struct cw_endpoint *ep);
/* Marks an endpoint usable; starts its slow start unless it was ready. */
void cw_endpoint_set_ready(struct cw_endpoint *ep, bool ready, cw_ms now);

/* Chooses an endpoint with a free slot, or NULL. avoided_ep (may be NULL) is
 * passed over: the endpoint of the attempt before. */
struct cw_endpoint *cw_route_pick(const struct cw_route *r,
                                  const struct cw_slots *t,
                                  const struct cw_endpoint *avoided_ep,
                                  struct cw_rng *rng, cw_ms now);
/* Takes a slot of the chosen endpoint; -1 when it has none. */
int cw_route_start_request(struct cw_route *r, struct cw_slots *t,
                           struct cw_endpoint *ep);
/* Gives the slot back and updates the averages, the limit and the ejection.
 * Returns true when the result ejects the endpoint. latency_ms runs from the
 * first byte sent to the response head. Sets ep->slots to NULL when this
 * frees its slot entry. */
bool cw_route_end_request(struct cw_route *r, struct cw_slots *t,
                          struct cw_endpoint *ep, int slot,
                          enum cw_ep_result result, double latency_ms,
                          cw_ms now);

/* Queries. */
/* True when more than max_ejected_share of the endpoints are ejected, so that
 * ejections are ignored. */
bool cw_route_panic(const struct cw_route *r, cw_ms now);
/* Slots that new requests of the service may use now, for heartbeats. */
uint32_t cw_route_free_slots(const struct cw_route *r,
                             const struct cw_slots *t, cw_ms now);
/* Slots held and usable over all endpoints that are ready and stay. */
uint32_t cw_route_usable_slots(const struct cw_route *r,
                               const struct cw_slots *t);

/* ===================================================================== */
/* policy: admission                                                     */
/* ===================================================================== */

enum cw_priority { CW_URGENT, CW_NORMAL, CW_BATCH };
#define CW_PRIORITIES 3
/* Parses urgent, normal or batch. */
bool cw_priority_parse(struct cw_str s, enum cw_priority *out);

/* Order of one caller's requests. */
enum cw_admit_order {
    CW_ORDER_OLDEST,   /* oldest first */
    CW_ORDER_ADAPTIVE, /* newest first while the queue stays busy */
    CW_ORDER_DEADLINE, /* earliest deadline first, the default */
};

struct cw_admit_params {
    uint32_t bound;    /* waiting requests, default 512; 0 = unbounded */
    bool early_refuse; /* refuse on arrival what would miss its deadline */
    bool sweep;        /* refuse what has come to miss its deadline since */
    bool fair;         /* deficit round robin between callers */
    bool priorities;   /* false: every request counts as normal */
    enum cw_admit_order order;
    cw_ms lifo_after_ms; /* of CW_ORDER_ADAPTIVE, default 1000 */
    uint32_t quantum;    /* cost served per caller and round, default 1 */
};
struct cw_admit_params cw_admit_defaults(void);

/* One waiting request; the daemon embeds it. Set the first group of fields
 * before cw_admit_offer. */
struct cw_admit_item {
    uint64_t caller; /* hash of the caller's name */
    enum cw_priority priority;
    cw_ms deadline; /* when a response is of no more use */
    uint32_t cost;  /* 1 .. 64 quanta; relative size for fairness */

    cw_ms queued; /* private from here on */
    bool shed;    /* swept, not yet returned */
    struct cw_admit_flow *flow;
    struct cw_admit_item *prev, *next;         /* in its flow or shed */
    struct cw_admit_item *all_prev, *all_next; /* in the queue */
};

/* The queue of one service on one daemon. */
struct cw_admit {
    struct cw_admit_params params;
    uint32_t count;
    cw_ms busy_since;  /* not empty since; -1 while empty */
    double rate;       /* served per ms while requests wait; 0 = unknown */
    double service_ms; /* average time a request takes once sent */
    cw_ms slice_start; /* of the running rate measurement; -1 = none */
    uint32_t slice_served;
    cw_ms last_served;
    struct cw_admit_flow *rings[CW_PRIORITIES]; /* callers in turn */
    struct cw_admit_flow *buckets[64];          /* by caller */
    struct cw_admit_item *all_first, *all_last; /* by arrival */
    struct cw_admit_item *shed;                 /* swept */
    cw_ms last_sweep;                           /* time of the last sweep */
};

enum cw_admit_verdict {
    CW_ADMIT_QUEUED,
    CW_ADMIT_LATE, /* refused: would miss its deadline */
    CW_ADMIT_FULL, /* refused: the bound is reached */
};

void cw_admit_init(struct cw_admit *q, struct cw_admit_params params);
/* The queue must be empty. */
void cw_admit_finish(struct cw_admit *q);
/* Offers a request that found no free slot. On a full queue a request of a
 * lower priority, or one of the caller with most requests, makes room: it is
 * then returned in *evicted (else NULL) and is to be refused as not run. */
enum cw_admit_verdict cw_admit_offer(struct cw_admit *q,
                                     struct cw_admit_item *item, cw_ms now,
                                     struct cw_admit_item **evicted);
/* Removes and returns the request to send next; NULL when none waits that
 * could still be sent in time. Call when a slot becomes free. */
struct cw_admit_item *cw_admit_dequeue(struct cw_admit *q, cw_ms now);
/* Removes and returns a request whose deadline has passed or, with sweep, that
 * cannot be sent in time any more; NULL when there is none. Call until NULL on
 * a timer of about 50 ms; each is refused as not run. */
struct cw_admit_item *cw_admit_dequeue_expired(struct cw_admit *q, cw_ms now);
/* Removes a waiting request whose caller went away. */
void cw_admit_remove(struct cw_admit *q, struct cw_admit_item *item,
                     cw_ms now);
/* Notes the end of a request that was sent and how long it took. */
void cw_admit_record_service_time(struct cw_admit *q, double service_ms,
                                  cw_ms now);

/* Queries. */
/* Expected time until a request of this caller and priority, but without a
 * deadline, that arrived now would be sent; 0 while the rate is unknown. */
double cw_admit_wait_ms(const struct cw_admit *q, uint64_t caller,
                        enum cw_priority priority, cw_ms now);
/* True when a request that arrived now would be sent too late to end before
 * its deadline: the test of cw_admit_offer, for use before steps that cost
 * something. */
bool cw_admit_late(const struct cw_admit *q, uint64_t caller,
                   enum cw_priority priority, cw_ms deadline, cw_ms now);
/* True while the newest request of a caller is served first. */
bool cw_admit_lifo(const struct cw_admit *q, cw_ms now);
/* Time to serve all that waits, for heartbeats; 0 while the rate is unknown.
 * Peers compare it to forward to the shorter queue. */
double cw_admit_backlog_ms(const struct cw_admit *q, cw_ms now);
/* Age of the oldest waiting request. */
cw_ms cw_admit_delay(const struct cw_admit *q, cw_ms now);

/* ===================================================================== */
/* policy: retry budget                                                  */
/* ===================================================================== */

/* What a caller is told about its request. */
enum cw_outcome { CW_OUTCOME_NOT_RUN, CW_OUTCOME_UNKNOWN, CW_OUTCOME_RUN };
/* The word in Cuminwalk-Outcome: not-run, unknown or run. */
const char *cw_outcome_name(enum cw_outcome o);

/* How one attempt at a request ended. */
enum cw_attempt_end {
    CW_END_CONNECT,     /* no connection was made */
    CW_END_INTERRUPTED, /* connection lost or timed out before the end */
    CW_END_REFUSED,  /* the endpoint's refusal: 503 with Cuminwalk-Refused */
    CW_END_RESPONSE, /* a complete response, whatever its status */
};

struct cw_attempt {
    enum cw_attempt_end end;
    bool idempotent;     /* cw_doc_idempotent of the request */
    bool first_byte;     /* a byte of the request was handed to the socket */
    bool response_begun; /* a byte of the response went to the caller */
    bool unknown_before; /* an earlier attempt ended as unknown */
    uint32_t resent;     /* attempts before this one */
};

struct cw_retry_params {
    double share;         /* of the requests of the window, default 0.1;
                           * negative = no budget, every retry is allowed */
    uint32_t min_retries; /* retries per window, default 3 */
    cw_ms window_ms;      /* default 10000 */
    uint32_t max_resends; /* retries of one request, default 2 */
};
struct cw_retry_params cw_retry_defaults(void);

#define CW_RETRY_BUCKETS 11 /* tenths of the window and the running one */

/* The retry budget of one service on one daemon. */
struct cw_retry {
    struct cw_retry_params params;
    cw_ms bucket_start[CW_RETRY_BUCKETS];
    uint32_t requests[CW_RETRY_BUCKETS];
    uint32_t retries[CW_RETRY_BUCKETS];
};

void cw_retry_init(struct cw_retry *r, struct cw_retry_params params);
/* Counts a request on its first attempt. */
void cw_retry_count_request(struct cw_retry *r, cw_ms now);
/* Takes one retry from the budget; false when it is used up. */
bool cw_retry_spend(struct cw_retry *r, cw_ms now);
/* Retries left at now. */
uint32_t cw_retry_left(const struct cw_retry *r, cw_ms now);

/* What the caller would be told if no further attempt is made. */
enum cw_outcome cw_attempt_outcome(const struct cw_attempt *a);
/* True when the rules allow to send the request again; the budget is asked
 * after that, and the request's deadline holds as well. */
bool cw_attempt_resendable(const struct cw_attempt *a,
                           const struct cw_retry_params *p);

/* ===================================================================== */
/* policy: idempotency keys                                              */
/* ===================================================================== */

enum cw_idem_kind { CW_IDEM_INTENT, CW_IDEM_DONE, CW_IDEM_RELEASED };

/* A record of a stream keys-<n>. */
struct cw_idem_record {
    enum cw_idem_kind kind;
    struct cw_name id; /* record id */
    struct cw_name by;
    cw_ms time;    /* wall, the writer's; not used for decisions */
    uint64_t hash; /* cw_idem_hash */
    struct cw_name request;
    uint16_t status; /* of the response; done only */
};

/* Parses one JSON object. msg (CW_MSG_MAX bytes) names the field at fault. */
enum cw_status cw_idem_record_parse(struct cw_idem_record *r,
                                    struct cw_str json, char *msg);
/* Adds the record as one JSON object to out. */
void cw_idem_record_print(const struct cw_idem_record *r, struct cw_buf *out);

/* Hash of a service and a key; the stream is keys-<hash mod key_streams>. */
uint64_t cw_idem_hash(struct cw_str service, struct cw_str key);

struct cw_idem_params {
    cw_ms window_ms;    /* default 600000 */
    uint32_t max_items; /* intents kept, default 600000 (about 34 MB) */
    bool first_wins;    /* false: every intent may run */
};
struct cw_idem_params cw_idem_defaults(void);

/* What an intent may do, decided by its place in the log: the same on every
 * daemon that has read the stream from before its window. */
enum cw_idem_verdict {
    CW_IDEM_FIRST,       /* may be sent */
    CW_IDEM_IN_USE,      /* 409 key_in_use, outcome unknown */
    CW_IDEM_ALREADY_RUN, /* 409 key_already_run, outcome run */
    CW_IDEM_NOT_KNOWN,   /* the window is not wholly read or not wholly kept:
                          * must not be sent, outcome not run */
};

/* The intent that holds a key. */
struct cw_idem_item {
    uint64_t hash;
    uint64_t request; /* hash of the request id */
    cw_ms time;       /* the log service's */
    uint16_t status;
    uint8_t state; /* private */
};

/* Intents of one stream within the window, in log order. */
struct cw_idem {
    struct cw_idem_params params;
    uint64_t applied;  /* offset of the last record applied */
    cw_ms log_time;    /* latest time of a record */
    cw_ms known_since; /* records from this time on were applied */
    cw_ms expired;     /* log time of the last expiry */
    uint32_t count;
    uint32_t cap;
    struct cw_idem_item *items; /* hash table, private */
};

void cw_idem_init(struct cw_idem *t, struct cw_idem_params params);
void cw_idem_finish(struct cw_idem *t);
/* Begins reading: the records that follow are all records from log time since
 * on; 0 when the stream is read from offset 1. Clears the table. */
void cw_idem_start_replay(struct cw_idem *t, cw_ms since);
/* Applies the record at offset; time is the log service's. Offsets at or below
 * applied have no effect. The verdict is meant for the writer of an intent,
 * who uses it once, at the first record with its request id; *status is that
 * of the first run for CW_IDEM_ALREADY_RUN. Other kinds return CW_IDEM_FIRST
 * when they took effect and CW_IDEM_IN_USE when not. */
enum cw_idem_verdict cw_idem_apply(struct cw_idem *t, uint64_t offset,
                                   cw_ms time, const struct cw_idem_record *r,
                                   uint16_t *status);
/* Drops intents whose window ended before log time. */
void cw_idem_expire(struct cw_idem *t, cw_ms time);
/* The intent that holds a key at log time, or NULL. */
const struct cw_idem_item *cw_idem_find(const struct cw_idem *t, uint64_t hash,
                                        cw_ms time);
size_t cw_idem_memory(const struct cw_idem *t);

struct cw_batch_params {
    cw_ms every_ms; /* between appends of a stream, default 50; 0 = off */
    uint32_t max_records; /* of one append, default 256 */
    uint32_t max_waiting; /* default 4096 */
    uint32_t max_flying;  /* appends without an answer, default 4 */
};
struct cw_batch_params cw_batch_defaults(void);

/* A record that waits for its append; the daemon embeds it. */
struct cw_batch_item {
    struct cw_batch_item *prev, *next; /* private */
    bool waiting;                      /* private */
};

/* The records of one stream that wait for an append. */
struct cw_batch {
    struct cw_batch_params params;
    uint32_t waiting;
    uint32_t flying;
    cw_ms last; /* time of the last append; -1 = none */
    struct cw_batch_item *first, *newest;
};

void cw_batch_init(struct cw_batch *b, struct cw_batch_params params);
/* Queues an intent; CW_ERR_LIMIT when too many wait, which the caller is told
 * as not run. must (for done and released) is never refused. */
enum cw_status cw_batch_add(struct cw_batch *b, struct cw_batch_item *item,
                            bool must);
/* Takes a record back that was not appended yet; false when it was. */
bool cw_batch_cancel(struct cw_batch *b, struct cw_batch_item *item);
/* Takes the records to append now, oldest first, at most max; 0 = wait. Counts
 * as one append in flight until cw_batch_answered. */
uint32_t cw_batch_take(struct cw_batch *b, cw_ms now,
                       struct cw_batch_item **out, uint32_t max);
void cw_batch_answered(struct cw_batch *b);
/* Milliseconds until cw_batch_take can return records; -1 = none wait or an
 * answer has to come first. */
cw_ms cw_batch_wait(const struct cw_batch *b, cw_ms now);

/* ===================================================================== */
/* policy: availability budget                                           */
/* ===================================================================== */

/* Requests of one service by outcome. */
struct cw_counts {
    uint64_t ok;
    uint64_t failed;
    uint64_t shed;
    uint64_t unknown;
};

#define CW_BUDGET_FINE_BUCKETS 64 /* one-minute buckets for the burn rates */
#define CW_BUDGET_COARSE_BUCKETS 256 /* buckets over the whole window */

struct cw_budget_bucket {
    int64_t slot; /* wall time divided by the bucket's length */
    struct cw_counts counts;
};

/* Counts of one service over the rolling window of its document. The window
 * ends at the time of a query, to the resolution of 1/256 of the window. */
struct cw_budget {
    double target;
    cw_ms window_ms;
    struct cw_budget_bucket fine[CW_BUDGET_FINE_BUCKETS];
    struct cw_budget_bucket coarse[CW_BUDGET_COARSE_BUCKETS];
};

struct cw_budget_params {
    cw_ms short_ms;    /* short burn window, default 5 min */
    cw_ms long_ms;     /* long burn window, default 1 h, at most 1 h */
    double burn_limit; /* short burn rate that stops a wave, default 14.4 */
    uint64_t
        min_bad_requests; /* fewer bad requests prove nothing, default 10 */
    /* A batch that is lost as a whole may use this share of what is left of
     * the budget, default 0.1; 0 turns the limit off. */
    double batch_share;
    cw_ms vm_loss_ms; /* time until callers avoid a lost VM, default 5 s */
    double headroom;  /* on top of the measured demand, default 0.2 */
};

/* The state of a budget at one moment. */
struct cw_budget_report {
    struct cw_counts counts; /* over the window */
    double availability;     /* 1 when there were no requests */
    double allowed;          /* failures that the target allows */
    double used;
    double left;       /* negative when overspent */
    double burn_short; /* 1 = as fast as the target allows */
    double burn_long;
    double rate_per_s; /* requests, over the long burn window */
    bool exhausted;
    bool burning; /* too fast for planned stops */
};

struct cw_budget_params cw_budget_defaults(void);
void cw_budget_init(struct cw_budget *b, double target, cw_ms window_ms);
/* Adds counts that were taken at wall. Counts older than the window are
 * dropped; the order of calls does not matter otherwise. */
void cw_budget_add(struct cw_budget *b, cw_ms wall, struct cw_counts c);
void cw_budget_evaluate(const struct cw_budget *b,
                        const struct cw_budget_params *p, cw_ms wall,
                        struct cw_budget_report *out);

/* VMs that a pool needs: the larger of vms_min and those that carry demand
 * (average of slots in use or asked for) with the headroom. */
uint32_t cw_vms_needed(const struct cw_budget_params *p, uint32_t vms_min,
                       double demand, uint32_t slots);
/* How many of the ready VMs may be out at once. */
uint32_t cw_vms_surplus(uint32_t ready, uint32_t needed);
/* How many VMs the remaining budget lets a batch put at risk. At least 1 while
 * the budget is not exhausted, because a planned stop is expected to cost
 * nothing; UINT32_MAX without traffic or with the limit off. */
uint32_t cw_budget_batch_limit(const struct cw_budget_params *p,
                               const struct cw_budget_report *r,
                               uint32_t ready);

/* Average of a quantity over the last minutes, from amounts that cover spans
 * of time. */
#define CW_TREND_BUCKETS 72
#define CW_TREND_BUCKET_MS (15 * CW_SECOND)
struct cw_trend {
    int64_t slot[CW_TREND_BUCKETS];
    double amount[CW_TREND_BUCKETS]; /* quantity times ms */
};
void cw_trend_init(struct cw_trend *t);
/* Adds an amount (quantity times ms) spread evenly over [from, to). */
void cw_trend_add(struct cw_trend *t, cw_ms from, cw_ms to, double amount);
/* The average over the span that ends at wall, at most 17 min. */
double cw_trend_average(const struct cw_trend *t, cw_ms wall, cw_ms span);

/* ===================================================================== */
/* policy: maintenance waves                                             */
/* ===================================================================== */

#define CW_WAVE_BATCH_MAX 64 /* VMs in one batch */
#define CW_WAVE_VMS_MAX 4096 /* VMs in one pool */

struct cw_wave_params {
    cw_ms healthy_ms;      /* health before open and resume, default 30 s */
    cw_ms retry_ms;        /* before a VM is tried again, default 1 h */
    cw_ms hold_wait_ms;    /* longest wait for another wave's hold, 1 h */
    double deadline_share; /* of maintain_every_ms, default 0.9 */
    double earliest_share; /* no VM younger than this, default 0.5 */
    double open_share;     /* VMs due to open a wave, default 0.1 */
    uint32_t first_limit;  /* least batch limit of a new wave, default 2 */
    double first_share;    /* of the pool, if that is more, default 0.1 */
    uint32_t fixed_batch;  /* 0 = adapt; else the batch size, for the bench */
    /* A batch takes at most this share of the pool's ready VMs in a data
     * centre, but at least one, default 0.5: the daemons there would have to
     * forward everything. */
    double dc_share;
    bool one_dc;            /* a batch stays within one data centre */
    bool one_rack;          /* and in as few racks as it fits in */
    bool check_capacity;    /* never more VMs out than the pool can spare */
    bool check_budget;      /* nor more than the budget can lose */
    bool hold;              /* stop on loss of health */
    bool wait_for_others;   /* wait while a wave in another dc holds */
    bool avoid_shared_rack; /* skip racks where another pool's VM is out */
    bool spread;            /* spread due VMs evenly over time */
};

/* One VM of the pool. Views stay the caller's. */
struct cw_wave_vm {
    struct cw_str vm;
    struct cw_str dc;
    struct cw_str rack;
    cw_ms maintained; /* wall time of the last maintenance, 0 = never */
    cw_ms skipped;    /* wall time of the last failed or cancelled try, or 0 */
    bool ready;       /* in service */
    bool busy;        /* has an open operation of any kind */
    bool taken;       /* had an operation in the open wave */
};

/* One operation of the open wave. */
struct cw_wave_op {
    uint64_t first_offset;
    uint64_t last_offset;
    cw_ms ended;          /* wall, 0 while open */
    enum cw_op_step step; /* the last one */
    struct cw_str vm;
};

/* A wave of another pool that is on hold, with the place of its last batch
 * (empty when it had none). */
struct cw_wave_hold {
    struct cw_str dc;
    struct cw_str rack;
    cw_ms since; /* wall */
};

struct cw_wave_in {
    cw_ms wall;
    bool log_available;
    bool window_open; /* cw_doc_window_open */
    cw_ms maintain_every_ms;
    size_t vm_count;
    const struct cw_wave_vm *vms;
    bool open; /* the pool has an open wave */
    bool held;
    cw_ms changed; /* wall time of its last record */
    size_t op_count;
    const struct cw_wave_op *ops; /* of the open wave, by first_offset */
    uint32_t needed;              /* cw_vms_needed */
    uint32_t budget_limit;        /* cw_budget_batch_limit */
    bool burning;
    bool exhausted;
    size_t hold_count;
    const struct cw_wave_hold *holds;
    size_t busy_rack_count;
    const struct cw_str *busy_racks; /* with open operations of other pools */
};

/* What the holder of the pool remembers between calls. A new holder starts
 * from zero and so waits for a full healthy_ms again. */
struct cw_wave {
    cw_ms healthy_since; /* wall, 0 = not healthy */
};

enum cw_wave_decision {
    CW_WAVE_WAIT,   /* nothing to do; reason says why */
    CW_WAVE_RECORD, /* append a wave record with action and reason */
    CW_WAVE_START,  /* append a draining record for each VM picked */
};

struct cw_wave_out {
    enum cw_wave_decision decision;
    enum cw_wave_action action;
    char reason[96];
    uint32_t due;   /* VMs that may be taken now */
    uint32_t limit; /* batch limit after failures and successes */
    size_t count;
    uint32_t picks[CW_WAVE_BATCH_MAX]; /* indices into in->vms */
};

struct cw_wave_params cw_wave_defaults(void);
void cw_wave_init(struct cw_wave *w);
/* Decides the next record of a pool's wave. */
void cw_wave_decide(struct cw_wave *w, const struct cw_wave_params *p,
                    const struct cw_wave_in *in, struct cw_wave_out *out);
/* The batch limit that the wave's operations lead to. A batch is a run of
 * operations that overlap, so every holder derives the same limit from the
 * log. */
uint32_t cw_wave_limit(const struct cw_wave_params *p, size_t vm_count,
                       size_t op_count, const struct cw_wave_op *ops);
/* Marks in due[0 .. vm_count-1] the VMs that are due, and returns their
 * number. With p->spread the number grows evenly with time, so that each VM
 * has its turn before deadline_share of maintain_every_ms. */
uint32_t cw_wave_due(const struct cw_wave_params *p,
                     const struct cw_wave_in *in, bool *due);

/* ===================================================================== */
/* policy: VM operations                                                 */
/* ===================================================================== */

enum cw_op_call {
    CW_OP_CALL_DRAIN,
    CW_OP_CALL_UNDRAIN,
    CW_OP_CALL_REBOOT,
    CW_OP_CALL_ASSIGN,
};

enum cw_op_vm_state {
    CW_OP_VM_READY,
    CW_OP_VM_DRAINING,
    CW_OP_VM_DRAINED,
    CW_OP_VM_REBOOTING,
};

struct cw_op_params {
    cw_ms return_ms;     /* from reboot to ready, default 5 min */
    bool check_confirm;  /* no call without confirmed membership */
    bool check_members;  /* drained needs the report of every member */
    bool check_inflight; /* and none in flight at the VM */
    bool forward_only;   /* never cancelled after rebooting or assigning */
};

/* Pool control's answer about the VM. */
struct cw_op_status {
    bool known; /* answered after the last change of the operation */
    enum cw_op_vm_state state;
    struct cw_str pool;
    uint64_t incarnation;
    uint32_t in_flight;
    uint64_t fence; /* highest fence seen for the VM, 0 if not kept */
};

struct cw_op_in {
    cw_ms wall;
    enum cw_op_kind kind;
    enum cw_op_step step; /* the last one in the log */
    uint64_t step_offset; /* of that record */
    cw_ms step_wall;      /* of that record */
    struct cw_str to;     /* pool that a move goes to */
    /* Incarnation of the VM when the operation began. */
    uint64_t incarnation;
    cw_ms drain_ms; /* the document's bound */
    bool log_available;
    bool confirmed; /* membership confirmed at most 3 s ago */
    uint32_t members;
    uint32_t members_drained; /* that applied the drain, with none in flight */
    /* No membership change in the last slot_guard_ms. A lapsed member may send
     * until it notices, and its requests are in no member's report. */
    bool members_stable;
    /* Not NULL: end the operation if it can still be cancelled. */
    const char *give_up;
    /* The last call of this step was answered well (its response came). */
    bool call_answered;
    bool vm_ready; /* the endpoint answered a readiness probe */
    struct cw_op_status status;
};

enum cw_op_action {
    CW_OP_WAIT,    /* nothing to do now; reason says why */
    CW_OP_ASK,     /* ask pool control for the VM's status */
    CW_OP_CALL,    /* make the call with the fence */
    CW_OP_APPEND,  /* append the record of step, with result */
    CW_OP_SETTLED, /* ended, and pool control agrees */
};

struct cw_op_out {
    enum cw_op_action action;
    enum cw_op_call call;
    uint64_t fence;
    enum cw_op_step step;
    char reason[96]; /* result of an ending step, else why it waits */
};

struct cw_op_params cw_op_defaults(void);
/* Decides the next action of the holder of an operation. It depends only on
 * the log and on pool control's answers, so a new holder continues from any
 * step, and a lost response is resolved by asking for the status. */
void cw_op_decide(const struct cw_op_params *p, const struct cw_op_in *in,
                  struct cw_op_out *out);
/* True for done, cancelled and failed. */
bool cw_op_ended(enum cw_op_step s);
/* True when an operation may go from one step to the other. */
bool cw_op_follows(enum cw_op_kind kind, enum cw_op_step from,
                   enum cw_op_step to);

/* ===================================================================== */
/* policy: moves between pools                                           */
/* ===================================================================== */

struct cw_spare_params {
    double headroom;      /* on top of demand, default 0.2 */
    double take_above;    /* demand over capacity to take, default 1.15 */
    double give_below;    /* demand over capacity to give, default 0.70 */
    double trend_limit;   /* bound of the short over the long average, 1.1 */
    cw_ms horizon_ms;     /* time in which a move has to pay off, 10 min */
    cw_ms move_ms;        /* a VM's time out of service, default 120 s */
    double move_cost;     /* weight of a move's cost, default 1 */
    uint32_t bursts;      /* services that can burst at once */
    double reserve_share; /* a burst counts up to this share, 0.25 */
    bool hysteresis;      /* off: take at 1.0, give when one VM is idle */
    bool use_trend;       /* off: react to the current demand */
    bool check_payoff;    /* off: any shortage moves a VM */
    bool one_per_pool;    /* at most one open move per pool */
    bool return_idle;     /* idle VMs go to the spare pool unasked */
    bool enabled;         /* off: no moves at all */
};

/* One pool. Demands are averages of slots in use or asked for. */
struct cw_spare_pool {
    struct cw_str pool;
    uint32_t vms;   /* members of the pool */
    uint32_t ready; /* of them in service */
    uint32_t vms_min;
    uint32_t vms_max;
    uint32_t slots; /* per VM */
    uint32_t priority;
    bool spare;   /* lends its VMs */
    bool moving;  /* source or target of an open move */
    bool held;    /* its wave is on hold, or it has unexplained losses */
    double now;   /* current demand; used only without use_trend */
    double avg2;  /* over 2 min */
    double avg15; /* over 15 min */
    double burst; /* largest demand of a burst, for the reserve */
};

#define CW_SPARE_MOVES_MAX 64

struct cw_spare_move {
    size_t from; /* indices of pools */
    size_t to;
    char cause[96];
};

struct cw_spare_out {
    size_t count;
    struct cw_spare_move moves[CW_SPARE_MOVES_MAX];
    uint32_t reserve; /* VMs that the spare pool keeps for bursts */
};

struct cw_spare_params cw_spare_defaults(void);
/* Decides which moves to begin. The result depends only on the arguments, so
 * that every holder finds the same moves and begins those from its pools. */
void cw_spare_decide(const struct cw_spare_params *p, size_t count,
                     const struct cw_spare_pool *pools,
                     struct cw_spare_out *out);
/* VMs that the spare pool keeps: those that the largest p->bursts bursts
 * exceed their pools by, each at most reserve_share of its pool. */
uint32_t cw_spare_reserve(const struct cw_spare_params *p, size_t count,
                          const struct cw_spare_pool *pools);

/* ===================================================================== */
/* policy: placement of jobs                                             */
/* ===================================================================== */

/* The scheduler of one placement cell. It holds the cell's workers, the jobs
 * that documents ask for and the tasks that run, and decides in cw_place_tick
 * what to start, renew, checkpoint or stop. It does no I/O: actions are handed
 * to a callback, and what became of them comes back through the commands. */

struct cw_size {
    uint32_t cpu_milli;
    uint32_t memory_mb;
    uint32_t accelerators;
};

struct cw_place_params {
    cw_ms lease_ms;       /* default 30000 */
    cw_ms renew_ms;       /* default 10000 */
    cw_ms lease_guard_ms; /* after the lease's end, default 5000 */
    cw_ms start_wait_ms;  /* for a start to be recorded, default 10000 */
    cw_ms absent_ms; /* a task that its worker's reports leave out this long
                      * is lost, default 20000 */
    cw_ms checkpoint_ms;       /* before a victim is stopped, default 5000 */
    cw_ms reclaim_ms;          /* wait before borrowed room is called back,
                                * default 30000 */
    cw_ms probe_ms;            /* first probe of a quarantined worker, 60000;
                                * doubles up to CW_HOUR */
    uint32_t starts_per_tick;  /* default 256 */
    uint32_t skips_per_tick;   /* tasks of a team passed over, default 64 */
    uint32_t samples_min;      /* before learned sizes count, default 5 */
    uint32_t quarantine_after; /* failures in a row, default 3 */
    uint32_t reject_after;     /* good workers a task failed on, default 3 */
    bool learn;                /* use measured sizes */
    bool quarantine;           /* keep tasks off failing workers */
    bool preempt;              /* make room for urgent and reclaiming tasks */
    bool backfill;             /* pass over tasks that do not fit now */
};

/* The defaults above, every mechanism on. */
struct cw_place_params cw_place_defaults(void);

enum cw_place_state {
    CW_PLACE_WAITING,
    CW_PLACE_STARTING, /* start asked for, fence not known yet */
    CW_PLACE_RUNNING,
    CW_PLACE_EVICTING, /* asked to checkpoint, will wait again */
    CW_PLACE_STOPPING, /* cancelled or without a valid lease */
    CW_PLACE_DONE,
    CW_PLACE_NEVER_FITS, /* larger than every worker of the cell */
    CW_PLACE_REJECTED,   /* failed on several good workers */
    CW_PLACE_CANCELLED,
};
const char *cw_place_state_name(enum cw_place_state s);

enum cw_place_action_kind {
    CW_PLACE_START, /* append a start record, then call the worker */
    CW_PLACE_RENEW, /* renew all leases of one worker; task is NULL */
    CW_PLACE_CHECKPOINT,
    CW_PLACE_THROTTLE, /* uses more than it was given */
    CW_PLACE_STOP,
    CW_PLACE_RECORD_ENDED, /* append ended: the result is in text */
    CW_PLACE_RECORD_LOST,  /* append lost; the task waits again after it */
    CW_PLACE_TELL,         /* state changed to never_fits or rejected */
};

#define CW_PLACE_FAILED_ON 4

struct cw_place_task {
    struct cw_name name;
    struct cw_place_job *job;
    uint32_t index;   /* 0 .. job count - 1 */
    uint32_t attempt; /* starts so far */
    enum cw_place_state state;
    struct cw_place_worker *worker;   /* where it runs or will run */
    struct cw_place_worker *reserved; /* where room is being made */
    uint64_t fence;          /* offset of its start record, 0 if unknown */
    struct cw_size given;    /* room taken on the worker */
    struct cw_size measured; /* last report */
    struct cw_size peak;     /* largest report of this attempt */
    cw_ms waiting_since;
    cw_ms started_at;
    cw_ms changed_at;      /* last change of state */
    cw_ms checkpointed_at; /* 0 if never in this attempt */
    cw_ms seen_at;         /* last report that listed it, or its start */
    bool borrowed;         /* started above the team's quota */
    bool throttled;
    uint32_t good_failures; /* failures on workers in good health */
    uint64_t failed_on[CW_PLACE_FAILED_ON]; /* hashes of worker names */
    struct cw_place_task *prev, *next;      /* queue of its team */
    struct cw_place_task *worker_prev, *worker_next;
};

struct cw_place_action {
    enum cw_place_action_kind kind;
    const struct cw_place_task *task;
    struct cw_str worker;
    struct cw_size size;
    char text[128]; /* result or reason */
};

struct cw_place {
    struct cw_place_params params;
    size_t worker_count;
    struct cw_place_worker **workers;
    size_t job_count;
    struct cw_place_job **jobs;
    size_t team_count;
    struct cw_place_team **teams;
    size_t class_count;
    struct cw_place_class **classes;
    uint64_t worker_generation; /* grows when the set of workers changes */
    struct cw_place_maps *maps; /* private */
    char msg[CW_MSG_MAX];
};

enum cw_status cw_place_init(struct cw_place *p,
                             const struct cw_place_params *params);
void cw_place_finish(struct cw_place *p);

/* Sets a team's quota; the quotas of a team's documents are added up by the
 * caller. */
enum cw_status cw_place_team_quota(struct cw_place *p, struct cw_str team,
                                   struct cw_size quota);

/* Puts the jobs of a document in force: new jobs wait, changed sizes apply to
 * tasks not yet started, jobs no longer listed are cancelled. Only tasks for
 * which mine(ctx, name) holds belong to this cell; mine may be NULL for all.
 */
enum cw_status cw_place_document(struct cw_place *p, const struct cw_doc *doc,
                                 bool (*mine)(void *ctx, struct cw_str task),
                                 void *ctx, cw_ms now);

/* One task in a worker's report. */
struct cw_place_seen {
    struct cw_str task;
    uint64_t fence;
    enum {
        CW_SEEN_RUNNING,
        CW_SEEN_DONE,
        CW_SEEN_FAILED,
        CW_SEEN_SAVED
    } state;
    uint32_t cpu_milli;
    uint32_t memory_mb;
};

typedef void (*cw_place_act)(void *ctx, const struct cw_place_action *a);

/* Takes a worker's report. A task that the worker runs and that is unknown
 * here is left alone: its lease ends by itself. act gets the outcomes that
 * have to be recorded and may be NULL. */
enum cw_status cw_place_worker_report(struct cw_place *p, struct cw_str worker,
                                      struct cw_str rack, struct cw_size size,
                                      const struct cw_place_seen *seen,
                                      size_t count, cw_ms now,
                                      cw_place_act act, void *ctx);
/* The worker left the cell; its tasks are lost when their leases have ended.
 */
void cw_place_worker_gone(struct cw_place *p, struct cw_str worker);

/* The start record of the task was read back at this offset. Returns false
 * when the start no longer counts (another attempt, cancelled): the caller
 * must not call the worker. */
bool cw_place_started(struct cw_place *p, struct cw_str task, uint32_t attempt,
                      uint64_t fence, cw_ms now);
/* The start did not take effect; the task waits again. */
void cw_place_start_failed(struct cw_place *p, struct cw_str task,
                           uint32_t attempt, cw_ms now);
/* The lost record was read back: the task may be started again. */
void cw_place_lost(struct cw_place *p, struct cw_str task, uint32_t attempt,
                   cw_ms now);
/* Replay of records written by an earlier holder of the cell. */
void cw_place_replay_start(struct cw_place *p, struct cw_str task,
                           struct cw_str worker, uint32_t attempt,
                           uint64_t fence, struct cw_size size, cw_ms now);
void cw_place_replay_ended(struct cw_place *p, struct cw_str task,
                           uint32_t attempt, bool done, cw_ms now);
/* The job was taken out of its document: outcomes that stand before this
 * record do not count for a job that was listed again under its name. */
void cw_place_replay_unlisted(struct cw_place *p, struct cw_str job,
                              cw_ms now);
/* Calls each with the full name of every listed job of the document's service
 * that the document no longer lists. */
void cw_place_each_unlisted(const struct cw_place *p, const struct cw_doc *doc,
                            void (*each)(void *ctx, struct cw_str job),
                            void *ctx);
/* Calls each with every task that runs or is done, for writing them again
 * before the log's retention passes their records. */
void cw_place_each_placed(const struct cw_place *p,
                          void (*each)(void *ctx,
                                       const struct cw_place_task *t,
                                       struct cw_str worker),
                          void *ctx);

/* Decides what to do now and calls act once for each action, in order. */
void cw_place_tick(struct cw_place *p, cw_ms now, cw_place_act act, void *ctx);
/* Only renews the leases that are due: for a holder that cannot write records
 * now, but whose tasks have to go on. */
void cw_place_renew(struct cw_place *p, cw_ms now, cw_place_act act,
                    void *ctx);

/* Queries. */
const struct cw_place_task *cw_place_task(const struct cw_place *p,
                                          struct cw_str name);
size_t cw_place_count(const struct cw_place *p, enum cw_place_state state);
/* Size that a task of the job would be given now. */
struct cw_size cw_place_request(const struct cw_place *p,
                                const struct cw_place_job *job);
/* Declared run time of the task's job. */
cw_ms cw_place_run_ms(const struct cw_place_task *t);
/* Dominant share of a team's use in its quota, 0 for an unknown team. */
double cw_place_team_share(const struct cw_place *p, struct cw_str team);
/* Free room summed over healthy workers. */
void cw_place_free(const struct cw_place *p, uint64_t *cpu_milli,
                   uint64_t *memory_mb, uint64_t *accelerators);

/* ===================================================================== */
/* policy: worker health and leases                                      */
/* ===================================================================== */

/* Health of one worker, judged by the outcomes of tasks it started. */
struct cw_worker_health {
    uint32_t streak;       /* failures in a row of classes that succeed
                            * elsewhere */
    uint32_t blind_streak; /* failures in a row of any class */
    uint64_t last_job;     /* hash of the job that failed last */
    bool varied;           /* the failures in a row are of several jobs */
    bool quarantined;
    bool probing; /* one task runs as a probe */
    uint32_t probes_failed;
    cw_ms probe_at;
};

/* Takes the outcome of one task. class_works: tasks of its class succeed on
 * other workers. may_quarantine_blind: few enough workers are quarantined
 * that failures of classes without any success may count too. */
void cw_worker_health_outcome(struct cw_worker_health *h, bool ok,
                              bool class_works, bool may_quarantine_blind,
                              uint64_t job_hash,
                              const struct cw_place_params *params, cw_ms now);
/* The job has proved to run on other workers: quarantines a worker whose
 * failures in a row are all of that job. True when it did. */
bool cw_worker_health_class_works(struct cw_worker_health *h,
                                  uint64_t job_hash,
                                  const struct cw_place_params *params,
                                  cw_ms now);
/* True when the worker may be given one more task now. */
bool cw_worker_health_usable(const struct cw_worker_health *h, cw_ms now);
/* The worker was given a task; a quarantined one counts it as its probe. */
void cw_worker_health_given(struct cw_worker_health *h);

/* A place in time: the lease of all tasks on one worker. */
struct cw_lease {
    cw_ms ends; /* monotonic; 0 before the first grant */
    cw_ms renewed_at;
    bool renewing;
};

void cw_lease_grant(struct cw_lease *l, cw_ms sent_at, cw_ms lease_ms);
bool cw_lease_due(const struct cw_lease *l, cw_ms now, cw_ms renew_ms);
/* True when the holder has to assume that the worker stopped its tasks. */
bool cw_lease_over(const struct cw_lease *l, cw_ms now, cw_ms guard_ms);
/* The renewal of a worker was answered; each worker has one at a time. The
 * lease counts from when it was sent, so that the holder's view never ends
 * later than the worker's. */
void cw_place_renewed(struct cw_place *p, struct cw_str worker, bool ok);

#ifdef __cplusplus
}
#endif

#endif
