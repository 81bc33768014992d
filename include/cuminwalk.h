/* Public interface of libcuminwalk: service documents, replicated state and
 * decision modules of a fleet capacity and maintenance manager.
 *
 * Conventions:
 * - Times and durations are cw_ms, milliseconds. A time is monotonic unless
 *   its name or comment says wall.
 * - cw_x_init prepares memory that the caller owns; cw_x_finish releases what
 *   the module allocated inside it. cw_x_finish accepts zeroed memory.
 * - Functions that can fail return enum cw_status: CW_ERR_NOMEM when an
 *   allocation failed, others as their comments say. Structures with a msg
 *   field keep one line about the last failure there.
 * - In comments on requests a caller is a client that sends requests to a
 *   daemon; elsewhere it is the code that calls a function.
 * - No function reads a clock, does I/O or uses global state, except the
 *   logger and cw_clock_system.
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

#define CW_VERSION "0.2.0"

/* ===================================================================== */
/* base: status                                                          */
/* ===================================================================== */

enum cw_status {
    CW_OK = 0,
    CW_ERR_NOMEM,       /* allocation failed */
    CW_ERR_INVALID,     /* input is malformed or out of range */
    CW_ERR_LIMIT,       /* a bound of size, count or rate is reached */
    CW_ERR_CONFLICT,    /* based on a version that is no longer current */
    CW_ERR_FENCED,      /* refused because a higher fence was seen */
    CW_ERR_NOT_FOUND,   /* no such entry */
    CW_ERR_UNAVAILABLE, /* the peer is unavailable; nothing took effect */
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

/* Logs one line and aborts the process when an internal invariant does not
 * hold. Not for input or I/O errors; for a failed allocation only where
 * continuing would make replicas differ, see cw_state_apply. */
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

/* A source of time. now is monotonic, wall counts from 1970-01-01 UTC. Both
 * return milliseconds and are called with ctx. */
struct cw_clock {
    cw_ms (*now)(void *ctx);
    cw_ms (*wall)(void *ctx);
    void *ctx;
};

/* The system's clock. */
struct cw_clock cw_clock_system(void);

/* A clock for tests and benchmarks, which set its times. *m has to outlive the
 * returned clock. */
struct cw_clock_manual {
    cw_ms now;
    cw_ms wall;
};
struct cw_clock cw_clock_manual(struct cw_clock_manual *m);

/* Formats wall time as 2026-12-04T05:14:00.123Z; buf has 25 bytes. */
void cw_time_format(cw_ms wall, char buf[static 25]);

/* Parses YYYY-MM-DD or YYYY-MM-DDTHH:MM[:SS[.mmm]][Z] as UTC into wall ms.
 * Returns CW_ERR_INVALID and leaves *out unchanged for any other text. */
enum cw_status cw_time_parse(const char *text, cw_ms *out);

/* ===================================================================== */
/* base: strings                                                         */
/* ===================================================================== */

/* A view of bytes that it does not own; not NUL-terminated. */
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
/* Compares bytes as memcmp does; a proper prefix sorts first. */
int cw_str_cmp(struct cw_str a, struct cw_str b);
/* Parses decimal digits only. False, with *out unchanged, for an empty string,
 * any other character or an overflow. */
bool cw_str_to_u64(struct cw_str s, uint64_t *out);

#define CW_NAME_MAX 63 /* bytes of a name of a service, pool, VM or daemon */

/* A short string stored inline; text is NUL-terminated. */
struct cw_name {
    uint8_t len;
    char text[CW_NAME_MAX + 1];
};

/* Copies s; CW_ERR_LIMIT, with *n unchanged, when s is longer than
 * CW_NAME_MAX. */
enum cw_status cw_name_set(struct cw_name *n, struct cw_str s);
struct cw_str cw_name_str(const struct cw_name *n);
bool cw_name_eq(const struct cw_name *a, const struct cw_name *b);
/* True for 1 to CW_NAME_MAX bytes of a-z, A-Z, 0-9, '.', '_', '-', starting
 * with a letter or digit. */
bool cw_name_valid(struct cw_str s);

/* A growing byte buffer. After a failed allocation, failed is set and further
 * additions do nothing, so that the caller checks once at the end. */
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
/* Adds s as a JSON string, quoted and escaped. */
void cw_buf_add_json(struct cw_buf *b, struct cw_str s);
/* A view of the content, valid until the next change of the buffer. */
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

/* Sets the lowest level that is written, the stream (NULL for stderr) and the
 * daemon name on each line (NULL for none). name is not copied. */
void cw_logger_setup(enum cw_level lowest, FILE *out, const char *name);
/* Returns false when text is not debug, info, warn or error. */
bool cw_level_parse(const char *text, enum cw_level *out);

/* Writes one line: time, level, daemon, event=<event>, then the key=value
 * pairs that fmt gives. Use cw_quoted for values that may contain spaces. */
void cw_log(enum cw_level level, const char *event, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

#define CW_QUOTED_MAX 512
/* Writes s quoted and escaped into buf, truncated to CW_QUOTED_MAX bytes, and
 * returns buf. */
const char *cw_quoted(char buf[static CW_QUOTED_MAX], struct cw_str s);

/* ===================================================================== */
/* base: histograms and metrics                                          */
/* ===================================================================== */

#define CW_HIST_BUCKETS 320

/* Histogram of values 0 .. 2^40 with logarithmic buckets, 8 per power of two,
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
/* The upper bound of the bucket that contains quantile q in [0, 1]; 0 if
 * empty. */
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
/* Return the value to update, created on first use; the pointer stays valid
 * until cw_metrics_finish. NULL when out of memory. labels may be "". */
uint64_t *cw_metrics_counter(struct cw_metrics *m, const char *name,
                             const char *labels);
double *cw_metrics_gauge(struct cw_metrics *m, const char *name,
                         const char *labels);
struct cw_hist *cw_metrics_hist(struct cw_metrics *m, const char *name,
                                const char *labels);
/* Adds all series to out in the Prometheus text format; histograms as the
 * quantiles 0.5, 0.9, 0.99 with _count and _sum. */
void cw_metrics_print(const struct cw_metrics *m, struct cw_buf *out);

/* ===================================================================== */
/* config: service documents                                             */
/* ===================================================================== */

/* One validation error of a document or a settings file. */
struct cw_fault {
    char path[128]; /* of the JSON value, e.g. "capacity.vms_max" */
    char text[192]; /* what is wrong, the limit, and what to write instead */
};

#define CW_FAULTS_MAX 64 /* per text; further faults are dropped */

/* The faults of one text, in the order in which they were found. */
struct cw_faults {
    size_t count;
    struct cw_fault items[CW_FAULTS_MAX];
};

/* Adds a fault; does nothing when the list is full. */
void cw_faults_add(struct cw_faults *f, const char *path, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/* A weekly time window in which VMs may be taken out of service for
 * maintenance. */
struct cw_window {
    uint8_t days;           /* bit 0 = Monday .. bit 6 = Sunday */
    uint16_t from_min;      /* minutes after local midnight, 0 .. 1439 */
    uint16_t to_min;        /* end, 1 .. 1440; below from_min: next day */
    int16_t utc_offset_min; /* local time minus UTC, -840 .. 840 */
};

/* Requests that may be sent again without harm: a method and a path prefix.
 * A prefix matches at path segment ends only. */
struct cw_idempotent {
    struct cw_name method; /* upper case, or "*" for every method */
    char *prefix;          /* NUL-terminated path prefix, begins with '/' */
};

/* A job of a document: count equal tasks. Sizes and run time are per task. */
struct cw_job {
    struct cw_name name;
    /* Jobs of one class share measured sizes; default: name. */
    struct cw_name job_class;
    uint32_t count;        /* tasks that have to complete */
    uint32_t cpu_milli;    /* declared, thousandths of a processor */
    uint32_t memory_mb;    /* declared */
    uint32_t accelerators; /* whole devices */
    cw_ms run_ms;          /* declared run time */
    bool urgent;           /* has to start within 9.8 s */
};

/* What to do with a request that has an idempotency key while the log is
 * unavailable. */
enum cw_outage { CW_OUTAGE_REFUSE, CW_OUTAGE_RUN };

/* A parsed and valid service document: the configuration of one service. */
struct cw_doc {
    struct cw_name service;
    struct cw_name team;
    struct cw_name pool; /* default: the service's name */
    bool spare_pool;     /* other pools get VMs from this one */
    uint32_t vms_min;
    uint32_t vms_max;
    uint32_t slots;          /* concurrent requests per VM, default 8 */
    uint32_t connections;    /* connections per VM, default 64 */
    double target;           /* availability, 0 < target < 1 */
    cw_ms window_ms;         /* availability window, default 28 days */
    uint32_t priority;       /* 0 (lowest) .. 9, default 5 */
    cw_ms deadline_ms;       /* longest time for a request, default 10 s */
    cw_ms drain_ms;          /* longest drain of a VM, default 60 s */
    cw_ms maintain_every_ms; /* maintenance interval of a VM, default 14 d */
    enum cw_outage outage;
    uint32_t quota_cpu_milli; /* for the team's jobs; 0 = no jobs */
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
 * it with cw_doc_finish. On failure *doc is empty; with CW_ERR_INVALID *faults
 * lists the faults found. faults may be NULL. */
enum cw_status cw_doc_parse(struct cw_doc *doc, struct cw_str json,
                            struct cw_faults *faults);
void cw_doc_finish(struct cw_doc *doc);
/* True when a request with this method and path may be sent again: GET, HEAD
 * and OPTIONS always, others as the document declares. */
bool cw_doc_idempotent(const struct cw_doc *doc, struct cw_str method,
                       struct cw_str path);
/* True when wall lies in one of the maintenance windows; a document without
 * windows allows maintenance at any time. */
bool cw_doc_window_open(const struct cw_doc *doc, cw_ms wall);

/* ===================================================================== */
/* config: daemon settings                                               */
/* ===================================================================== */

/* A peer that the daemon may connect to before the log lists it as a
 * member. */
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
    struct cw_name admin_listen; /* metrics and health, 127.0.0.1:8081 */
    struct cw_name platform;     /* log, VM list, pool and worker control */
    size_t peer_count;
    struct cw_peer_setting *peers;
    enum cw_level log_level;
    cw_ms heartbeat_ms;    /* interval, default 1000 */
    cw_ms silent_ms;       /* a peer that is silent for longer is lapsed, and
                            * an older confirmation of the daemon's own
                            * membership does not count; default 3000 */
    cw_ms slot_guard_ms;   /* wait before a gained slot is used, and longest
                            * wait for the endpoint's end of a request that
                            * was given up; default 4000; above silent_ms */
    cw_ms probe_ms;        /* interval of endpoint probes, default 1000 */
    cw_ms stat_ms;         /* interval of stat records, default 60000 */
    cw_ms drain_ms;        /* longest graceful stop, default 60000 */
    uint32_t key_streams;  /* log streams of keys, 1 .. 16, default 1 */
    cw_ms key_window_ms;   /* validity of a key, default 600000 */
    uint32_t cells;        /* placement cells, default 1 */
    uint32_t spare_bursts; /* services that can burst at once, default 1 */
    /* Weights of the three measures: idle VMs, duration of rollouts and number
     * of moves. Their sum is above 0. */
    double weight_buffer;
    double weight_rollout;
    double weight_moves;
    uint64_t seed; /* of random choices; 0 = from the clock */
};

/* Parses and validates settings; unknown keys are faults. The caller releases
 * *s with cw_settings_finish after CW_OK. On CW_ERR_INVALID *faults lists the
 * faults found; faults may be NULL. */
enum cw_status cw_settings_parse(struct cw_settings *s, struct cw_str json,
                                 struct cw_faults *faults);
void cw_settings_finish(struct cw_settings *s);

/* ===================================================================== */
/* state: log records                                                    */
/* ===================================================================== */

/* Daemons share one log stream, config. Every daemon applies its records in
 * log order and so builds the same state. The offset of a record is its
 * position in the stream, from 1 on.
 *
 * A scope names something that exactly one member decides about, its holder:
 * pool/<name> for operations and waves, cell/<n> for the placement of jobs,
 * log for snapshots. The holder follows from the members alone, see
 * cw_state_holder. Records of a scope take effect only when its holder has
 * written them. */

enum cw_record_type {
    CW_REC_DOC,    /* edit of a service document */
    CW_REC_MEMBER, /* membership change of a daemon */
    CW_REC_VM,     /* new or changed VM, or one that has left */
    CW_REC_OP,     /* step of a VM operation */
    CW_REC_WAVE,   /* change of a maintenance wave */
    CW_REC_STAT,   /* request statistics */
    CW_REC_SNAP,   /* part of a snapshot */
};

/* A daemon joins and leaves by its own records; another member writes the
 * lapse of a daemon that has been silent for too long. */
enum cw_member_action { CW_MEMBER_JOIN, CW_MEMBER_LEAVE, CW_MEMBER_LAPSE };
enum cw_op_kind { CW_OP_MAINTAIN, CW_OP_MOVE };
/* The last three end the operation. */
enum cw_op_step {
    CW_STEP_DRAINING,
    CW_STEP_DRAINED,
    CW_STEP_REBOOTING, /* maintain only */
    CW_STEP_ASSIGNING, /* move only; the state changes the VM's pool here */
    CW_STEP_RETURNING, /* until it is back in service */
    CW_STEP_DONE,
    CW_STEP_CANCELLED,
    CW_STEP_FAILED,
};
#define CW_STEP_COUNT 8
enum cw_wave_action {
    CW_WAVE_OPEN,
    CW_WAVE_HOLD, /* no further VMs until resume */
    CW_WAVE_RESUME,
    CW_WAVE_CLOSE,
};

/* A document edit. json is the document's text as its author wrote it. */
struct cw_rec_doc {
    struct cw_name service;
    uint64_t base; /* version that was edited, 0 for a new document */
    struct cw_str json;
};

struct cw_rec_member {
    struct cw_name daemon;
    uint64_t incarnation; /* grows with each join of the daemon */
    enum cw_member_action action;
    struct cw_name dc;
    struct cw_name address; /* ip:port of its peer listener */
};

struct cw_rec_vm {
    struct cw_name vm;
    uint64_t incarnation; /* grows with each reboot of the VM */
    struct cw_name pool;
    struct cw_name dc;
    struct cw_name rack;
    struct cw_name address; /* endpoint, ip:port */
    bool gone;              /* the VM has left the fleet permanently */
};

struct cw_rec_op {
    struct cw_name op;
    enum cw_op_kind kind;
    struct cw_name scope; /* pool/<name>, of the pool from or to */
    struct cw_name vm;
    struct cw_name from; /* pool */
    struct cw_name to;   /* pool; same as from for maintain */
    struct cw_name wave; /* empty for none */
    char cause[96];
    char result[96];      /* set on done, cancelled, failed */
    uint64_t doc_version; /* document in force when the operation began */
    enum cw_op_step step;
};

struct cw_rec_wave {
    struct cw_name wave;
    struct cw_name scope;
    enum cw_wave_action action;
    char reason[96];
};

/* Requests of one service on one daemon between two wall times, by outcome. */
struct cw_stat_service {
    struct cw_name service;
    uint64_t ok;
    uint64_t failed;
    uint64_t shed;    /* refused for lack of capacity, not run */
    uint64_t unknown; /* may or may not have run */
    uint64_t p50_us;
    uint64_t p99_us;
    uint64_t idle_slot_ms; /* number of held, free slots times ms */
    uint64_t busy_slot_ms; /* number of slots in use times ms */
};

struct cw_rec_stat {
    struct cw_name daemon; /* empty in an entry that cw_state has merged: one
                            * hour of all daemons */
    cw_ms from;            /* wall */
    cw_ms to;              /* wall */
    size_t count;
    struct cw_stat_service *services;
};

struct cw_rec_snap {
    struct cw_name cycle; /* names the snapshot; the same in all parts */
    uint64_t as_of;       /* offset of the last record in the snapshot */
    uint32_t part;        /* 1 .. parts */
    uint32_t parts;
    struct cw_str items; /* JSON text of an array of state items */
};

/* One record of the stream config. The views in a parsed record point into
 * memory that it owns; release it with cw_record_finish. */
struct cw_record {
    enum cw_record_type type;
    struct cw_name id; /* the same when a writer appends the record again */
    struct cw_name by; /* writer: a daemon or the author of an edit */
    uint64_t by_incarnation; /* of the writing daemon; 0 = not stated */
    cw_ms time;              /* wall, by the writer's clock */
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

/* Parses one JSON object. On CW_OK the caller owns *r; on failure *r is empty.
 * On CW_ERR_INVALID msg (CW_MSG_MAX bytes) names the invalid field. Unknown
 * keys are ignored, so that an older daemon reads newer records. In JSON, doc
 * is the document's text as a string; an object is accepted too. */
enum cw_status cw_record_parse(struct cw_record *r, struct cw_str json,
                               char *msg);
void cw_record_finish(struct cw_record *r);
/* Adds the record as one JSON object to out. CW_ERR_INVALID for an unknown
 * type. */
enum cw_status cw_record_print(const struct cw_record *r, struct cw_buf *out);

/* The words in records; "unknown" for a value out of range. */
const char *cw_op_step_name(enum cw_op_step s);
const char *cw_op_kind_name(enum cw_op_kind k);
const char *cw_wave_action_name(enum cw_wave_action a);

/* ===================================================================== */
/* state: replicated state, commands                                     */
/* ===================================================================== */

/* A document in force and the edit that it comes from. */
struct cw_doc_entry {
    struct cw_doc doc;
    char *json; /* the edit's text, NUL-terminated */
    size_t json_len;
    uint64_t version; /* offset of its record */
    struct cw_name by;
    cw_ms time; /* wall */
};

/* A document edit, accepted or refused. */
struct cw_edit_entry {
    struct cw_name id;
    struct cw_name service;
    struct cw_name by;
    cw_ms time;
    uint64_t offset;
    uint64_t base;
    uint64_t current_version; /* in force when the edit was applied */
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
    uint64_t offset;   /* of the last record that changed the entry */
    cw_ms maintained;  /* wall time of the last completed maintenance */
    struct cw_name op; /* open operation, empty for none */
};

/* A VM operation with the time of each step; kept as history after its end. */
struct cw_op_entry {
    struct cw_rec_op rec;  /* first record, with the last step and result */
    uint64_t first_offset; /* of its first record */
    uint64_t last_offset;  /* of its last record */
    struct cw_name by;     /* writer of the last step */
    cw_ms step_time[CW_STEP_COUNT]; /* wall, 0 for a step not taken */
    bool open;
};

struct cw_wave_entry {
    struct cw_name wave;
    struct cw_name scope;
    enum cw_wave_action last_action; /* running after open and resume */
    char reason[96];                 /* of the last action */
    cw_ms opened;                    /* wall */
    cw_ms changed;                   /* wall time of the last action */
    cw_ms closed;                    /* 0 while open */
    cw_ms held_ms;                   /* total time on hold */
    uint32_t done;   /* operations of the wave that ended as done */
    uint32_t failed; /* that ended as failed */
};

/* The effect of a record on the state. */
enum cw_apply_result {
    CW_APPLY_OK,
    CW_APPLY_DUPLICATE, /* record id or offset was applied before */
    CW_APPLY_REJECTED,  /* valid record without effect: state.msg says why */
};

/* The replicated state that replay of the stream config builds. All replicas
 * that have applied the same records are equal. Fields may be read; only the
 * functions below change them. */
struct cw_state {
    uint64_t applied;      /* offset of the last record applied */
    uint64_t member_epoch; /* offset of the last membership change */
    uint64_t version;      /* grows with each change, for caches; local */
    size_t doc_count;
    struct cw_doc_entry **docs; /* sorted by service */
    size_t member_count;
    struct cw_member_entry *members; /* sorted by daemon */
    size_t vm_count;
    struct cw_vm_entry **vms; /* sorted by VM */
    size_t op_count;
    struct cw_op_entry **ops; /* oldest first, open and ended */
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

/* Applies the record at offset. A record is a duplicate when its offset is at
 * or below s->applied or its id is among the last CW_SEEN_IDS ids. Running out
 * of memory aborts the process: a replica that skips a record would differ
 * from the others. The record stays the caller's. For a record that cannot be
 * parsed the caller calls cw_state_skip instead, as every other replica does.
 */
enum cw_apply_result cw_state_apply(struct cw_state *s, uint64_t offset,
                                    const struct cw_record *r);
/* Passes over the record at offset without applying it. */
void cw_state_skip(struct cw_state *s, uint64_t offset);

/* Record ids kept to find duplicates, oldest dropped first. A writer appends
 * a record again at most 5 s after the first time; at 500 appends a second
 * this many ids cover 32 s. */
#define CW_SEEN_IDS 16384

/* Retention of ended operations, closed waves, edits and statistics. */
#define CW_HISTORY_MS (15 * CW_DAY)
/* Statistics are kept as written for this long, which covers the 15 min that
 * decisions about moves look back. Older ones are merged, since unmerged they
 * would be most of the state and of each snapshot. */
#define CW_STAT_RAW_MS (30 * CW_MINUTE)
/* Edits kept at most; beyond that the oldest are dropped before their
 * retention ends. */
#define CW_EDITS_MAX 16384

/* Advances the state to log_time, the log service's time of the record that
 * was just applied or skipped. Call it after each record: every 10 min of log
 * time it drops history older than CW_HISTORY_MS and merges statistics that
 * ended more than CW_STAT_RAW_MS ago into one entry an hour for all daemons.
 * The log's time is the same on every replica and independent of the daemons'
 * clocks. */
void cw_state_advance(struct cw_state *s, cw_ms log_time);

/* Drops operations, waves, edits and statistics that ended before wall. To
 * keep replicas equal, pass a time that is derived from the log. */
void cw_state_expire(struct cw_state *s, cw_ms wall);

#define CW_PART_MIN 4096 /* smallest part_max, bytes */

/* Serializes the state in parts, each a JSON array of items of at most
 * part_max bytes. Calls add for each part, in order; the text is valid during
 * the call. CW_ERR_LIMIT when part_max is below CW_PART_MIN. */
enum cw_status cw_state_export(const struct cw_state *s, size_t part_max,
                               void (*add)(void *ctx, struct cw_str items),
                               void *ctx);
/* Adds the items of one exported part to a state that has applied no record;
 * parts are added in order. After the last part call cw_state_import_done with
 * the offset of the last record in the export. CW_ERR_INVALID, with
 * s->msg set, for malformed items or a state that has applied records. After a
 * failure only cw_state_finish may follow. */
enum cw_status cw_state_import(struct cw_state *s, struct cw_str items);
void cw_state_import_done(struct cw_state *s, uint64_t as_of);

/* ===================================================================== */
/* state: replicated state, queries                                      */
/* ===================================================================== */

/* Lookups return NULL when there is no such entry. Pointers stay valid until
 * the next change of the state. */
const struct cw_doc_entry *cw_state_doc(const struct cw_state *s,
                                        struct cw_str service);
/* The document that names the pool. */
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
/* The holder of a scope, or NULL when there are no members. Every replica with
 * the same members finds the same one. */
const struct cw_member_entry *cw_state_holder(const struct cw_state *s,
                                              struct cw_str scope);
/* Number of VMs in the pool. */
size_t cw_state_pool_size(const struct cw_state *s, struct cw_str pool);
/* A hash over the replicated content, for comparing replicas. */
uint64_t cw_state_digest(const struct cw_state *s);

/* ===================================================================== */
/* policy: slot partition                                                */
/* ===================================================================== */

#define CW_SLOTS_MAX 64 /* slots of one endpoint, one bit each in a mask */

/* A member, as in the replicated state. */
struct cw_slot_member {
    uint64_t incarnation;
    struct cw_name daemon;
    struct cw_name dc;
};

/* An endpoint whose slots are divided among the members. A slot is the right
 * to have one request in flight at the endpoint. */
struct cw_slot_endpoint {
    struct cw_name vm;
    struct cw_name dc;
    uint32_t slots;       /* 1 .. CW_SLOTS_MAX */
    uint32_t connections; /* over all daemons */
};

struct cw_slots_params {
    uint32_t load_pct;   /* most slots of an endpoint per member, in percent of
                          * the even share, rounded up; 0 = no bound */
    cw_ms guard_ms;      /* wait before a gained slot is used, default 4000 */
    cw_ms silent_ms;     /* age at which a member's confirmation expires,
                          * default 3000 */
    bool wait_for_peers; /* a gained slot waits until the peers have applied
                          * the view; false: only for guard_ms */
    bool early_release;  /* a slot that all peers released needs no guard */
    /* Slots lost while in use are reported to the peers as busy. */
    bool report_lost_in_use;
};
struct cw_slots_params cw_slots_defaults(void);

/* Members and endpoints that a partition is computed from. Members are sorted
 * by daemon, endpoints by VM, both without duplicates. The arrays stay the
 * caller's. */
struct cw_slots_view {
    uint64_t offset; /* of the config record that led to this view */
    bool lapse;      /* that record is a lapse: it excluded a member */
    size_t member_count;
    const struct cw_slot_member *members;
    size_t endpoint_count;
    const struct cw_slot_endpoint *endpoints;
};

/* This daemon's share of one endpoint. A pointer to it stays valid while the
 * endpoint is in the view or one of its slots is in use; cw_slots_update and
 * cw_slots_release free an entry for which neither holds. */
struct cw_slot_entry {
    struct cw_name vm;
    uint32_t slots;
    uint32_t connections; /* this daemon's share */
    uint64_t held;        /* mask of the slots that this daemon owns */
    uint64_t pending;     /* mask of held slots that are not yet usable */
    uint64_t in_use;      /* mask; may include slots no longer held */
    uint64_t gain_offset; /* of the view that last added to pending */
    cw_ms gained;         /* when that view was applied */
    bool gone;            /* no longer in the view, kept for in_use */
};

/* Slots of one endpoint that a daemon still uses after losing them. */
struct cw_slot_busy {
    uint64_t vm_hash; /* cw_slots_vm_hash */
    uint64_t mask;
};

/* The content of a peer's last heartbeat. */
struct cw_slot_peer {
    struct cw_name daemon;
    uint64_t incarnation;
    uint64_t applied; /* offset up to which it has applied config */
    size_t busy_count;
    struct cw_slot_busy *busy;
};

/* The slot table of one daemon. Fields may be read; only the functions below
 * change them.
 *
 * A gained slot becomes usable when
 * - every other member has sent a heartbeat whose applied offset is at or
 *   above the offset of the gain and which does not list the slot as busy;
 * - and, when a member was excluded by a lapse (or this is the first view),
 *   guard_ms has passed and all peers have applied the lapse for silent_ms, so
 *   that the lapsed member can no longer consider itself confirmed.
 * Without wait_for_peers only guard_ms applies. */
struct cw_slots {
    struct cw_slots_params params;
    struct cw_name self;
    uint64_t incarnation;
    bool confirmed;               /* false: no slot is usable */
    uint64_t offset;              /* of the last view */
    uint64_t lapse_offset;        /* of the last view that excluded a member */
    cw_ms lapse_applied;          /* when this daemon applied that view */
    cw_ms lapse_applied_by_peers; /* when all peers had applied that view;
                                   * -1 = not yet */
    size_t pending_count;         /* entries with pending slots */
    size_t count;
    struct cw_slot_entry **items; /* sorted by VM */
    size_t peer_count;
    struct cw_slot_peer *peers; /* other members, sorted by daemon */
};

void cw_slots_init(struct cw_slots *t, struct cw_str self,
                   uint64_t incarnation, struct cw_slots_params params);
void cw_slots_finish(struct cw_slots *t);

/* Recomputes which slots this daemon holds. Call it after each config record
 * that changes the members or an endpoint's slot count, in log order and
 * without skipping one: a skipped view could hide that a slot belonged to
 * another member in between. After loading a snapshot into a daemon with a
 * table call cw_slots_reset first. The result depends on the view alone. A
 * daemon that is not among the members holds no slot. CW_ERR_NOMEM leaves the
 * table without any held slot. */
enum cw_status cw_slots_update(struct cw_slots *t,
                               const struct cw_slots_view *view, cw_ms now);
/* Drops every held slot; slots in use stay marked until they are released.
 * incarnation is the daemon's new one, which a rejoin changes. */
void cw_slots_reset(struct cw_slots *t, uint64_t incarnation);
/* Sets whether this daemon's membership is confirmed. */
void cw_slots_set_confirmed(struct cw_slots *t, bool confirmed);
/* Records a peer's heartbeat: the offset that it has applied and the slots
 * that it has lost but still uses, both as of the same moment. busy is copied.
 * Ignored for daemons and incarnations that are not members. */
enum cw_status cw_slots_record_heartbeat(struct cw_slots *t,
                                         struct cw_str daemon,
                                         uint64_t incarnation,
                                         uint64_t applied,
                                         const struct cw_slot_busy *busy,
                                         size_t busy_count, cw_ms now);
/* Makes the gained slots usable whose conditions are met; returns their
 * number. Call it after cw_slots_record_heartbeat and on a timer while
 * pending_count is above 0. */
size_t cw_slots_activate_pending(struct cw_slots *t, cw_ms now);
/* Marks the lowest free slot of an endpoint as in use by one request and
 * returns it; -1 if none is free. */
int cw_slots_acquire(struct cw_slots *t, struct cw_slot_entry *e);
/* Releases a slot after the response has ended or the request is known not to
 * run. Frees e when the endpoint is gone and this was its last slot in use. */
void cw_slots_release(struct cw_slots *t, struct cw_slot_entry *e, int slot);

/* Queries. */
struct cw_slot_entry *cw_slots_find(const struct cw_slots *t,
                                    struct cw_str vm);
/* Number of slots of e that a new request may use now. */
uint32_t cw_slots_free_count(const struct cw_slots *t,
                             const struct cw_slot_entry *e);
/* Number of slots of e that are held and usable, in use or not. */
uint32_t cw_slots_usable_count(const struct cw_slots *t,
                               const struct cw_slot_entry *e);
/* Lists the slots in use that are lost or pending again, for the heartbeat;
 * writes at most max entries and returns how many there are. */
size_t cw_slots_busy(const struct cw_slots *t, struct cw_slot_busy *out,
                     size_t max);
uint64_t cw_slots_vm_hash(struct cw_str vm);
/* Bytes of memory that the table uses. */
size_t cw_slots_memory(const struct cw_slots *t);
/* Computes the owner of each slot of one endpoint: owner[i] is an index into
 * members. Returns false when there are no members or memory is exhausted. */
bool cw_slots_owners(const struct cw_slot_member *members, size_t count,
                     const struct cw_slot_endpoint *ep, uint32_t load_pct,
                     uint16_t owner[static CW_SLOTS_MAX]);

/* ===================================================================== */
/* policy: endpoint choice, ejection, adaptive limits, leaving endpoints */
/* ===================================================================== */

/* The result of a request, as far as it concerns the endpoint's health. */
enum cw_ep_result {
    CW_EP_OK,     /* a response that is not a server error */
    CW_EP_FAILED, /* failed connect, lost connection, timeout, server error */
    CW_EP_FULL,   /* the endpoint refused: full */
    CW_EP_DRAINING, /* the endpoint refused: draining */
    CW_EP_NEUTRAL,  /* the caller disconnected; no evidence either way */
};

struct cw_eject_params {
    uint32_t consecutive; /* ejects at this many consecutive failures,
                           * default 5; 0 = off */
    double rate;          /* ejects above this share of failures, default 0.5;
                           * 0 = off */
    uint32_t rate_min_requests; /* fewest requests for a rate, default 10 */
    cw_ms window_ms;            /* window of the rate, default 10000 */
    cw_ms min_ejection_ms; /* length of the first ejection, default 5000 */
    cw_ms max_ejection_ms; /* longest ejection, default 60000 */
    /* Ejections are ignored while more than this share of the endpoints is
     * ejected, default 1/3. */
    double max_ejected_share;
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

/* Counts a result and returns true when it ejects the endpoint. An ejection is
 * twice as long as the last one, unless the endpoint has been in service
 * since for at least as long as that one lasted. */
bool cw_eject_record_result(struct cw_eject *e,
                            const struct cw_eject_params *p, bool failed,
                            cw_ms now);
bool cw_eject_active(const struct cw_eject *e, cw_ms now);

struct cw_limit_params {
    bool enabled;
    double slow_factor;    /* slow above this multiple of the pool's average
                            * latency, default 2 */
    double decrease;       /* factor on the share when slow, default 0.9 */
    double increase;       /* share regained per second, default 0.05 */
    cw_ms min_interval_ms; /* shortest time between changes, default 1000 */
    double min_share;      /* smallest share of the slots, default 0.1 */
};
struct cw_limit_params cw_limit_defaults(void);

/* Adaptive concurrency limit of one endpoint: the largest share of its held
 * slots that may be in use. */
struct cw_limit {
    double share;  /* min_share .. 1 */
    cw_ms changed; /* time of the last change */
};

void cw_limit_init(struct cw_limit *l, cw_ms now);
/* Adjusts the limit after a response, from the average latencies of the
 * endpoint and of its pool. */
void cw_limit_update(struct cw_limit *l, const struct cw_limit_params *p,
                     double latency_ms, double pool_latency_ms, cw_ms now);
/* How many of the held slots may be in use: at least 1, unless held is 0. */
uint32_t cw_limit_slots(const struct cw_limit *l,
                        const struct cw_limit_params *p, uint32_t held);

/* Where a signal that an endpoint is leaving came from. */
enum cw_leaving_source {
    CW_LEAVING_OP,      /* operation in the replicated state */
    CW_LEAVING_LIST,    /* the platform's VM list */
    CW_LEAVING_PEER,    /* a peer's heartbeat */
    CW_LEAVING_REFUSED, /* the endpoint's refusal: draining */
    CW_LEAVING_PROBE,   /* failed readiness probe */
};
#define CW_LEAVING_SOURCES 5

struct cw_leaving_entry {
    struct cw_name vm;
    uint64_t incarnation;
    uint8_t signals; /* bit per cw_leaving_source; 0 = not leaving */
    enum cw_leaving_source first; /* the earliest signal */
    cw_ms since;                  /* time of the earliest signal */
    cw_ms settle_until; /* after a cancelled operation: signals from lists,
                         * peers and refusals, which lag, are ignored until
                         * then */
};

struct cw_leaving_params {
    bool sticky; /* false: a VM list entry that says live withdraws all
                  * signals */
    /* Time after a cancelled operation in which only operations and probes
     * count, since the VM list and the peers still report the drain. Default
     * 10000. */
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
/* Records a signal. *first is set to whether the endpoint was not leaving
 * before; the daemon then sends it no new requests and reports it in its
 * heartbeats. A signal for an older incarnation than one seen is ignored. */
enum cw_status cw_leaving_add_signal(struct cw_leaving *l, struct cw_str vm,
                                     uint64_t incarnation,
                                     enum cw_leaving_source source, cw_ms now,
                                     bool *first);
/* The VM list reports the endpoint as live. Changes nothing with sticky. */
void cw_leaving_list_live(struct cw_leaving *l, struct cw_str vm,
                          uint64_t incarnation);
/* The endpoint answered its readiness probe: withdraws a probe signal and no
 * other, so that an endpoint that only paused is used again. */
void cw_leaving_probe_ok(struct cw_leaving *l, struct cw_str vm,
                         uint64_t incarnation);
/* The replicated state shows that the operation was cancelled: withdraws all
 * signals but a probe's. Nothing else returns the same incarnation to service
 * after an operation. */
void cw_leaving_cancelled(struct cw_leaving *l, struct cw_str vm,
                          uint64_t incarnation, cw_ms now);
/* True for the leaving incarnation and for every older one. */
bool cw_leaving_contains(const struct cw_leaving *l, struct cw_str vm,
                         uint64_t incarnation);
/* Removes the entry of a VM that is no longer in the replicated state. */
void cw_leaving_remove(struct cw_leaving *l, struct cw_str vm);

struct cw_route_params {
    bool two_choices;    /* the better of two random endpoints; false: one */
    cw_ms slow_start_ms; /* ramp of a new endpoint, default 10000; 0 = off */
    double smoothing;    /* weight of a new latency sample, default 0.2 */
    struct cw_eject_params eject;
    struct cw_limit_params limit;
};
struct cw_route_params cw_route_defaults(void);

/* One endpoint with this daemon's routing state. The daemon owns the memory
 * and may embed it; cw_endpoint_init sets every field. */
struct cw_endpoint {
    struct cw_slot_entry *slots;
    uint64_t incarnation;
    uint32_t in_flight; /* requests of this daemon */
    double latency_ms;  /* moving average; 0 = no sample yet */
    cw_ms since;        /* when it became ready, for slow start */
    bool ready;         /* in a pool, no open operation, probe answered */
    bool leaving;
    struct cw_eject eject;
    struct cw_limit limit;
    void *ctx; /* for the daemon's use */
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
/* Adds an endpoint, which the daemon still owns. */
enum cw_status cw_route_add(struct cw_route *r, struct cw_endpoint *ep);
void cw_route_remove(struct cw_route *r, struct cw_endpoint *ep);
/* Sets whether an endpoint is ready; one that becomes ready begins its slow
 * start. */
void cw_endpoint_set_ready(struct cw_endpoint *ep, bool ready, cw_ms now);

/* Chooses an endpoint with a free slot, or NULL. The endpoint avoided_ep, that
 * of the previous attempt, is left out; it may be NULL. */
struct cw_endpoint *cw_route_pick(const struct cw_route *r,
                                  const struct cw_slots *t,
                                  const struct cw_endpoint *avoided_ep,
                                  struct cw_rng *rng, cw_ms now);
/* Acquires a slot of the chosen endpoint for a request and returns it; -1 when
 * none is free. */
int cw_route_start_request(struct cw_route *r, struct cw_slots *t,
                           struct cw_endpoint *ep);
/* Ends a request: releases its slot and updates the averages, the limit and
 * the ejection. Returns true when the result ejects the endpoint. latency_ms
 * is the time from the first byte sent to the response head. Sets ep->slots to
 * NULL when this frees its slot entry. */
bool cw_route_end_request(struct cw_route *r, struct cw_slots *t,
                          struct cw_endpoint *ep, int slot,
                          enum cw_ep_result result, double latency_ms,
                          cw_ms now);

/* Queries. */
/* True when more than max_ejected_share of the endpoints are ejected, so that
 * ejections are ignored. */
bool cw_route_panic(const struct cw_route *r, cw_ms now);
/* Number of slots that new requests of the service may use now, for
 * heartbeats. */
uint32_t cw_route_free_slots(const struct cw_route *r,
                             const struct cw_slots *t, cw_ms now);
/* Number of held and usable slots of all endpoints that are ready and not
 * leaving. */
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
    CW_ORDER_ADAPTIVE, /* newest first once the queue has not been empty for
                        * lifo_after_ms, else oldest first */
    CW_ORDER_DEADLINE, /* earliest deadline first, the default */
};

struct cw_admit_params {
    uint32_t bound;    /* waiting requests, default 512; 0 = unbounded */
    bool early_refuse; /* refuse a request on arrival that would miss its
                        * deadline */
    bool sweep;        /* refuse a waiting request as soon as it is expected
                        * to miss its deadline */
    bool fair;         /* deficit round robin between callers */
    bool priorities;   /* false: every request counts as normal */
    enum cw_admit_order order;
    cw_ms lifo_after_ms; /* of CW_ORDER_ADAPTIVE, default 1000 */
    uint32_t quantum;    /* cost served per caller in a round, default 1 */
};
struct cw_admit_params cw_admit_defaults(void);

/* One waiting request. The daemon embeds it and sets the first group of fields
 * before cw_admit_offer. */
struct cw_admit_item {
    uint64_t caller; /* hash of the caller's name */
    enum cw_priority priority;
    cw_ms deadline; /* after which the caller has no use for a response */
    uint32_t cost;  /* relative size for fairness, 1 .. 64 quanta */

    cw_ms queued; /* private from here on */
    bool shed;    /* removed by a sweep, not yet returned */
    struct cw_admit_flow *flow;
    struct cw_admit_item *prev, *next;         /* in its flow or shed list */
    struct cw_admit_item *all_prev, *all_next; /* in the queue */
};

/* The queue of one service on one daemon. */
struct cw_admit {
    struct cw_admit_params params;
    uint32_t count;
    cw_ms busy_since; /* since when it is not empty; -1 while empty */
    double rate;      /* requests served per ms while some wait; 0 = unknown */
    double service_ms; /* average time from sending to the end */
    cw_ms slice_start; /* of the running rate measurement; -1 = none */
    uint32_t slice_served;
    cw_ms last_served;
    struct cw_admit_flow *rings[CW_PRIORITIES]; /* callers, round robin */
    struct cw_admit_flow *buckets[64];          /* hash table by caller */
    struct cw_admit_item *all_first, *all_last; /* by arrival */
    struct cw_admit_item *shed;                 /* removed by a sweep */
    cw_ms last_sweep;
};

enum cw_admit_verdict {
    CW_ADMIT_QUEUED,
    CW_ADMIT_LATE, /* refused: would miss its deadline */
    CW_ADMIT_FULL, /* refused: the bound is reached */
};

void cw_admit_init(struct cw_admit *q, struct cw_admit_params params);
/* The queue must be empty. */
void cw_admit_finish(struct cw_admit *q);
/* Offers a request that found no free slot. item has to stay in memory until
 * it is returned or removed. When the queue is full, a request of a lower
 * priority or one of the caller with the most requests is removed for it: that
 * request is returned in *evicted (else NULL) and has to be refused as not
 * run. Returns CW_ADMIT_FULL also when memory is exhausted. */
enum cw_admit_verdict cw_admit_offer(struct cw_admit *q,
                                     struct cw_admit_item *item, cw_ms now,
                                     struct cw_admit_item **evicted);
/* Removes and returns the request to send next; NULL when no request waits
 * whose deadline is still ahead. Call it when a slot becomes free. */
struct cw_admit_item *cw_admit_dequeue(struct cw_admit *q, cw_ms now);
/* Removes and returns a request whose deadline has passed or, with sweep, that
 * is expected to miss it; NULL when there is none. Call it until NULL on a
 * timer of about 50 ms and refuse each request as not run. */
struct cw_admit_item *cw_admit_dequeue_expired(struct cw_admit *q, cw_ms now);
/* Removes a waiting request whose caller has disconnected. */
void cw_admit_remove(struct cw_admit *q, struct cw_admit_item *item,
                     cw_ms now);
/* Records the end of a request that was sent, and its duration. */
void cw_admit_record_service_time(struct cw_admit *q, double service_ms,
                                  cw_ms now);

/* Queries. */
/* Expected time until a request of this caller and priority that arrived now,
 * without a deadline, would be sent; 0 while the rate is unknown. */
double cw_admit_wait_ms(const struct cw_admit *q, uint64_t caller,
                        enum cw_priority priority, cw_ms now);
/* True when a request that arrived now would be sent too late to end before
 * its deadline. The same check as in cw_admit_offer, for use before expensive
 * steps. */
bool cw_admit_late(const struct cw_admit *q, uint64_t caller,
                   enum cw_priority priority, cw_ms deadline, cw_ms now);
/* True while the newest request of a caller is served first. */
bool cw_admit_lifo(const struct cw_admit *q, cw_ms now);
/* Expected time to serve all waiting requests, for heartbeats; 0 while the
 * rate is unknown. Peers compare it to forward to the shorter queue. */
double cw_admit_backlog_ms(const struct cw_admit *q, cw_ms now);
/* Age of the oldest waiting request. */
cw_ms cw_admit_delay(const struct cw_admit *q, cw_ms now);

/* ===================================================================== */
/* policy: retry budget                                                  */
/* ===================================================================== */

/* Outcome of a request as reported to its caller. */
enum cw_outcome { CW_OUTCOME_NOT_RUN, CW_OUTCOME_UNKNOWN, CW_OUTCOME_RUN };
/* The word in Cuminwalk-Outcome: not-run, unknown or run. */
const char *cw_outcome_name(enum cw_outcome o);

/* How one attempt at a request ended. */
enum cw_attempt_end {
    CW_END_CONNECT,     /* the connection could not be established */
    CW_END_INTERRUPTED, /* connection lost or timed out before the end */
    CW_END_REFUSED,  /* the endpoint's refusal: 503 with Cuminwalk-Refused */
    CW_END_RESPONSE, /* a complete response, whatever its status */
};

struct cw_attempt {
    enum cw_attempt_end end;
    bool idempotent;     /* cw_doc_idempotent of the request */
    bool first_byte;     /* a byte of the request was written to the socket */
    bool response_begun; /* a byte of the response went to the caller */
    bool unknown_before; /* an earlier attempt ended as unknown */
    uint32_t resent;     /* attempts before this one */
};

struct cw_retry_params {
    double share;         /* retries per request of the window, default 0.1;
                           * negative = no budget, every retry is allowed */
    uint32_t min_retries; /* retries per window that are always allowed,
                           * default 3 */
    cw_ms window_ms;      /* default 10000 */
    uint32_t max_resends; /* most retries of one request, default 2 */
};
struct cw_retry_params cw_retry_defaults(void);

#define CW_RETRY_BUCKETS 11 /* ten for the window, one being filled */

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
/* Takes one retry from the budget; false when it is exhausted. */
bool cw_retry_spend(struct cw_retry *r, cw_ms now);
/* Retries left at now. */
uint32_t cw_retry_left(const struct cw_retry *r, cw_ms now);

/* The outcome to report to the caller if no further attempt is made. */
enum cw_outcome cw_attempt_outcome(const struct cw_attempt *a);
/* True when the outcome allows to send the request again. The retry budget and
 * the request's deadline have to be checked as well. */
bool cw_attempt_resendable(const struct cw_attempt *a,
                           const struct cw_retry_params *p);

/* ===================================================================== */
/* policy: idempotency keys                                              */
/* ===================================================================== */

/* A request with an idempotency key is sent only after its intent was read
 * back from the log as the first one of its key. Done records that the request
 * has run, released that it has not run and that its key is free again. */
enum cw_idem_kind { CW_IDEM_INTENT, CW_IDEM_DONE, CW_IDEM_RELEASED };

/* A record of a log stream keys-<n>. */
struct cw_idem_record {
    enum cw_idem_kind kind;
    struct cw_name id; /* record id */
    struct cw_name by;
    cw_ms time;             /* wall, the writer's; not used for decisions */
    uint64_t hash;          /* cw_idem_hash */
    struct cw_name request; /* id of the request */
    uint16_t status;        /* HTTP status of the response; done only */
};

/* Parses one JSON object. On CW_ERR_INVALID msg (CW_MSG_MAX bytes) names the
 * invalid field. */
enum cw_status cw_idem_record_parse(struct cw_idem_record *r,
                                    struct cw_str json, char *msg);
/* Adds the record as one JSON object to out. */
void cw_idem_record_print(const struct cw_idem_record *r, struct cw_buf *out);

/* Hash of a service and a key; the stream is keys-<hash mod key_streams>. */
uint64_t cw_idem_hash(struct cw_str service, struct cw_str key);

struct cw_idem_params {
    cw_ms window_ms;    /* time for which a key is held, default 600000 */
    uint32_t max_items; /* intents kept, default 600000 (about 34 MB) */
    bool first_wins;    /* false: every intent may run */
};
struct cw_idem_params cw_idem_defaults(void);

/* Whether the request of an intent may be sent. It follows from the intent's
 * position in the log and is the same on every daemon that has read the stream
 * from before the intent's window. */
enum cw_idem_verdict {
    CW_IDEM_FIRST,       /* may be sent */
    CW_IDEM_IN_USE,      /* 409 key_in_use, outcome unknown */
    CW_IDEM_ALREADY_RUN, /* 409 key_already_run, outcome run */
    CW_IDEM_NOT_KNOWN,   /* part of the window was not read or not kept: must
                          * not be sent, outcome not run */
};

/* The intent that holds a key. */
struct cw_idem_item {
    uint64_t hash;    /* cw_idem_hash of the key */
    uint64_t request; /* hash of the request id */
    cw_ms time;       /* wall, the log service's */
    uint16_t status;  /* HTTP status, 0 before done */
    uint8_t state;    /* private */
};

/* The intents of one stream whose window has not ended. */
struct cw_idem {
    struct cw_idem_params params;
    uint64_t applied;  /* offset of the last record applied */
    cw_ms log_time;    /* latest log time of a record */
    cw_ms known_since; /* all records from this log time on were applied */
    cw_ms expired;     /* log time of the last expiry */
    uint32_t count;
    uint32_t cap;
    struct cw_idem_item *items; /* hash table, private */
};

void cw_idem_init(struct cw_idem *t, struct cw_idem_params params);
void cw_idem_finish(struct cw_idem *t);
/* Clears the table for reading a stream from a position. since is the log time
 * from which on no record will be missing; 0 when reading from offset 1. */
void cw_idem_start_replay(struct cw_idem *t, cw_ms since);
/* Applies the record at offset; time is the log service's. Offsets at or below
 * applied have no effect. The verdict is for the writer of an intent, who uses
 * it once, at the first record with its request id; with CW_IDEM_ALREADY_RUN
 * *status is the HTTP status of the first run, else 0. Records of other kinds
 * return CW_IDEM_FIRST when they took effect and CW_IDEM_IN_USE when not. */
enum cw_idem_verdict cw_idem_apply(struct cw_idem *t, uint64_t offset,
                                   cw_ms time, const struct cw_idem_record *r,
                                   uint16_t *status);
/* Drops the intents whose window ended before time, a log time. */
void cw_idem_expire(struct cw_idem *t, cw_ms time);
/* The intent that holds a key at time, a log time; NULL if none does. */
const struct cw_idem_item *cw_idem_find(const struct cw_idem *t, uint64_t hash,
                                        cw_ms time);
/* Bytes of memory that the table uses. */
size_t cw_idem_memory(const struct cw_idem *t);

struct cw_batch_params {
    cw_ms every_ms; /* between appends of a stream, default 50; 0 = off */
    uint32_t max_records;   /* of one append, default 256 */
    uint32_t max_waiting;   /* records that wait for an append, default 4096 */
    uint32_t max_in_flight; /* appends without an answer, default 4 */
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
    uint32_t waiting;   /* records */
    uint32_t in_flight; /* appends without an answer */
    cw_ms last;         /* time of the last append; -1 = none */
    struct cw_batch_item *first, *newest;
};

void cw_batch_init(struct cw_batch *b, struct cw_batch_params params);
/* Queues a record. CW_ERR_LIMIT when max_waiting records wait, unless force is
 * set: done and released records have to be appended, an intent may be refused
 * and its request reported as not run. */
enum cw_status cw_batch_add(struct cw_batch *b, struct cw_batch_item *item,
                            bool force);
/* Removes a record from the queue; false when it has been taken for an
 * append. */
bool cw_batch_cancel(struct cw_batch *b, struct cw_batch_item *item);
/* Takes the records to append now, oldest first, at most max, and returns
 * their number; 0 = wait. Counts as one append in flight until
 * cw_batch_append_answered. */
uint32_t cw_batch_take(struct cw_batch *b, cw_ms now,
                       struct cw_batch_item **out, uint32_t max);
/* An append was answered, whatever the answer. */
void cw_batch_append_answered(struct cw_batch *b);
/* Milliseconds until cw_batch_take can return records; -1 when none wait or an
 * append has to be answered first. */
cw_ms cw_batch_wait_ms(const struct cw_batch *b, cw_ms now);

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
#define CW_BUDGET_COARSE_BUCKETS 256 /* buckets for the whole window */

struct cw_budget_bucket {
    int64_t period; /* wall time divided by the bucket's length */
    struct cw_counts counts;
};

/* Request counts of one service over the rolling window of its document. The
 * window ends at the time of a query, with a resolution of 1/256 of it. */
struct cw_budget {
    double target; /* availability, 0 < target < 1 */
    cw_ms window_ms;
    struct cw_budget_bucket fine[CW_BUDGET_FINE_BUCKETS];
    struct cw_budget_bucket coarse[CW_BUDGET_COARSE_BUCKETS];
};

struct cw_budget_params {
    cw_ms short_ms;    /* short burn window, default 5 min */
    cw_ms long_ms;     /* long burn window, default 1 h, at most 1 h */
    double burn_limit; /* short burn rate that stops a wave, default 14.4 */
    /* Fewest failed, shed or unknown requests for burning and exhausted,
     * default 10. */
    uint64_t min_bad_requests;
    /* Share of the remaining budget that the loss of a whole batch may use,
     * default 0.1; 0 = no limit. */
    double batch_share;
    cw_ms vm_loss_ms; /* time until no requests go to a lost VM, default 5 s */
    double headroom;  /* spare share on top of the demand, default 0.2 */
};

/* The state of a budget at one moment. */
struct cw_budget_report {
    struct cw_counts counts; /* over the window */
    double availability;     /* 1 when there were no requests */
    double allowed;          /* failed requests that the target allows */
    double used;             /* failed, shed and unknown requests */
    double left;             /* allowed - used; negative when overspent */
    double burn_short;       /* burn rate; 1 = as fast as the target allows */
    double burn_long;
    double rate_per_s; /* requests, over the long burn window */
    bool exhausted;    /* left is negative and min_bad_requests reached */
    bool burning;      /* burns too fast for planned stops */
};

struct cw_budget_params cw_budget_defaults(void);
void cw_budget_init(struct cw_budget *b, double target, cw_ms window_ms);
/* Adds counts that were taken at wall. Counts older than the window are
 * dropped; otherwise the order of calls does not matter. */
void cw_budget_add(struct cw_budget *b, cw_ms wall, struct cw_counts c);
/* Computes the state of the budget at wall. */
void cw_budget_evaluate(const struct cw_budget *b,
                        const struct cw_budget_params *p, cw_ms wall,
                        struct cw_budget_report *out);

/* VMs that a pool needs: vms_min or, if that is more, enough for the demand
 * (average number of slots in use or requested) plus the headroom. */
uint32_t cw_vms_needed(const struct cw_budget_params *p, uint32_t vms_min,
                       double demand, uint32_t slots);
/* How many of the ready VMs may be out of service at once. */
uint32_t cw_vms_surplus(uint32_t ready, uint32_t needed);
/* How many of the ready VMs a batch may contain, so that their loss does not
 * use more than batch_share of the remaining budget. At least 1 while the
 * budget is not exhausted, because a planned stop is expected to fail no
 * request; UINT32_MAX without traffic or without the limit. */
uint32_t cw_budget_batch_limit(const struct cw_budget_params *p,
                               const struct cw_budget_report *r,
                               uint32_t ready);

/* Average of a quantity over the last minutes, computed from amounts that each
 * cover a span of time. */
#define CW_TREND_BUCKETS 72
#define CW_TREND_BUCKET_MS (15 * CW_SECOND)
struct cw_trend {
    int64_t period[CW_TREND_BUCKETS]; /* wall time divided by the bucket's
                                       * length */
    double amount[CW_TREND_BUCKETS];  /* quantity times ms */
};
void cw_trend_init(struct cw_trend *t);
/* Adds an amount (quantity times ms) spread evenly over [from, to). */
void cw_trend_add(struct cw_trend *t, cw_ms from, cw_ms to, double amount);
/* The average over the span (at most 17 min) that ends at wall; the bucket
 * that is still being filled is left out. */
double cw_trend_average(const struct cw_trend *t, cw_ms wall, cw_ms span);

/* ===================================================================== */
/* policy: maintenance waves                                             */
/* ===================================================================== */

#define CW_WAVE_BATCH_MAX 64 /* VMs in one batch */
#define CW_WAVE_VMS_MAX 4096 /* VMs in one pool */

struct cw_wave_params {
    cw_ms healthy_ms;      /* the pool has to be healthy for this long before
                            * open and resume, default 30 s */
    cw_ms retry_ms;        /* wait before a VM is tried again, default 1 h */
    cw_ms hold_wait_ms;    /* longest wait for another wave's hold, default
                            * 1 h */
    double deadline_share; /* a VM is overdue after this share of
                            * maintain_every_ms, default 0.9 */
    double earliest_share; /* and eligible from this share on, default 0.5 */
    double open_share;     /* share of the VMs that has to be due before a wave
                            * opens, unless one is overdue, default 0.1 */
    uint32_t first_limit;  /* least batch limit of a new wave, default 2 */
    double first_share;    /* or this share of the pool, whichever is more,
                            * default 0.1 */
    uint32_t fixed_batch;  /* 0 = adapt; else the batch size, for the bench */
    /* A batch takes at most this share of the pool's ready VMs in a data
     * centre, but at least one, default 0.5: if it took all, the daemons there
     * would have to forward every request. */
    double dc_share;
    bool one_dc;            /* a batch stays within one data centre */
    bool one_rack;          /* and in as few racks as possible */
    bool check_capacity;    /* a batch has no more VMs than the pool can
                             * spare */
    bool check_budget;      /* nor more than budget_limit, and no wave opens
                             * while the budget is exhausted */
    bool hold;              /* hold the wave when the pool is not healthy */
    bool wait_for_others;   /* wait while a wave in another dc is on hold */
    bool avoid_shared_rack; /* skip racks where another pool's VM is out */
    bool spread;            /* spread due VMs evenly over time */
};

/* One VM of the pool. Views stay the caller's. */
struct cw_wave_vm {
    struct cw_str vm;
    struct cw_str dc;
    struct cw_str rack;
    cw_ms maintained; /* wall time of the last maintenance, 0 = never */
    cw_ms failed_at;  /* wall time of the last failed or cancelled try, or 0 */
    bool ready;       /* in service */
    bool busy;        /* has an open operation of any kind */
    bool in_wave;     /* had an operation in the open wave */
};

/* One operation of the open wave. */
struct cw_wave_op {
    uint64_t first_offset;
    uint64_t last_offset;
    cw_ms ended;          /* wall, 0 while open */
    enum cw_op_step step; /* the last one */
    struct cw_str vm;
};

/* A wave of another pool that is on hold, with the data centre and rack of its
 * last batch (empty when it had none). */
struct cw_wave_hold {
    struct cw_str dc;
    struct cw_str rack;
    cw_ms since; /* wall */
};

/* What a decision about a wave depends on. Arrays stay the caller's. */
struct cw_wave_in {
    cw_ms wall;
    bool log_available;
    bool window_open; /* cw_doc_window_open */
    cw_ms maintain_every_ms;
    size_t vm_count;
    const struct cw_wave_vm *vms;
    bool open;     /* the pool has an open wave */
    bool held;     /* it is on hold */
    cw_ms changed; /* wall time of its last record */
    size_t op_count;
    const struct cw_wave_op *ops; /* of the open wave, by first_offset */
    uint32_t needed;              /* cw_vms_needed */
    uint32_t budget_limit;        /* cw_budget_batch_limit */
    bool burning;                 /* cw_budget_report */
    bool exhausted;               /* cw_budget_report */
    size_t hold_count;
    const struct cw_wave_hold *holds;
    size_t busy_rack_count;
    const struct cw_str *busy_racks; /* with open operations of other pools */
};

/* What the pool's holder keeps between calls. A new holder starts from zero
 * and so waits for all of healthy_ms again. */
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
    enum cw_wave_action action; /* of CW_WAVE_RECORD */
    char reason[96];
    uint32_t due;   /* number of VMs that are due, see cw_wave_due */
    uint32_t limit; /* see cw_wave_limit */
    size_t count;   /* VMs picked, for CW_WAVE_START */
    uint32_t picks[CW_WAVE_BATCH_MAX]; /* indices into in->vms */
};

struct cw_wave_params cw_wave_defaults(void);
void cw_wave_init(struct cw_wave *w);
/* Decides the next step of a pool's wave. */
void cw_wave_decide(struct cw_wave *w, const struct cw_wave_params *p,
                    const struct cw_wave_in *in, struct cw_wave_out *out);
/* The batch limit after the wave's operations so far: halved by a batch with a
 * failed operation, raised by 1 (up to CW_WAVE_BATCH_MAX) by any other that
 * has ended. A batch is a series of operations that overlap in the log, so
 * that every holder derives the same limit from the log. */
uint32_t cw_wave_limit(const struct cw_wave_params *p, size_t vm_count,
                       size_t op_count, const struct cw_wave_op *ops);
/* Marks in due[0 .. vm_count-1] the VMs that are eligible and due now, and
 * returns their number. With p->spread the number grows evenly with time, so
 * that the maintenance of each VM begins before deadline_share of
 * maintain_every_ms. */
uint32_t cw_wave_due(const struct cw_wave_params *p,
                     const struct cw_wave_in *in, bool *due);

/* ===================================================================== */
/* policy: VM operations                                                 */
/* ===================================================================== */

/* Calls to pool control, the platform's service that operates VMs. */
enum cw_op_call {
    CW_OP_CALL_DRAIN,
    CW_OP_CALL_UNDRAIN,
    CW_OP_CALL_REBOOT,
    CW_OP_CALL_ASSIGN,
};

/* A VM's state as pool control reports it. */
enum cw_op_vm_state {
    CW_OP_VM_READY,
    CW_OP_VM_DRAINING,
    CW_OP_VM_DRAINED,
    CW_OP_VM_REBOOTING,
};

struct cw_op_params {
    cw_ms return_ms;     /* longest time from reboot to ready, default 5 min */
    bool check_confirm;  /* no call without confirmed membership */
    bool check_members;  /* the step drained needs every member's report */
    bool check_inflight; /* and no request in flight at the VM */
    bool forward_only;   /* no cancel from rebooting or assigning on */
};

/* Pool control's answer about the VM. */
struct cw_op_status {
    bool known; /* answered after the last change of the operation */
    enum cw_op_vm_state state;
    struct cw_str pool;
    uint64_t incarnation;
    uint32_t in_flight; /* requests at the VM */
    uint64_t fence;     /* highest fence seen for the VM, 0 if not kept */
};

/* What a decision about an operation depends on. Views stay the caller's. */
struct cw_op_in {
    cw_ms wall;
    enum cw_op_kind kind;
    enum cw_op_step step; /* the last one in the log */
    uint64_t step_offset; /* offset of its record */
    cw_ms step_wall;      /* wall time of its record */
    struct cw_str to;     /* target pool of a move */
    /* Incarnation of the VM when the operation began. */
    uint64_t incarnation;
    cw_ms drain_ms; /* the document's bound */
    bool log_available;
    bool confirmed; /* membership confirmed at most 3 s ago */
    uint32_t members;
    uint32_t members_drained; /* that have applied the drain and have no
                               * request in flight at the VM */
    /* No membership change in the last slot_guard_ms. A lapsed member may send
     * requests until it notices, and they are in no member's report. */
    bool members_stable;
    /* Not NULL: cancel the operation for this reason if that is still
     * possible. */
    const char *cancel_reason;
    /* The last call of this step succeeded and its response arrived. */
    bool call_answered;
    bool vm_ready; /* the endpoint answered a readiness probe */
    struct cw_op_status status;
};

enum cw_op_action {
    CW_OP_WAIT,       /* nothing to do now; reason says why */
    CW_OP_GET_STATUS, /* ask pool control for the VM's status */
    CW_OP_CALL,       /* make the call with the fence */
    CW_OP_APPEND,     /* append the record of step; reason is its result */
    CW_OP_SETTLED,    /* ended, and pool control needs no further call */
};

struct cw_op_out {
    enum cw_op_action action;
    enum cw_op_call call; /* of CW_OP_CALL */
    uint64_t fence;       /* of the call: offset of the step's record */
    enum cw_op_step step; /* of CW_OP_APPEND */
    char reason[96];      /* result of an ending step, else why it waits */
};

struct cw_op_params cw_op_defaults(void);
/* Decides the next action of an operation's holder. It depends only on the log
 * and on pool control's answers, so that a new holder can continue from any
 * step; after a lost response the status shows whether the call took
 * effect. */
void cw_op_decide(const struct cw_op_params *p, const struct cw_op_in *in,
                  struct cw_op_out *out);
/* True for done, cancelled and failed. */
bool cw_op_ended(enum cw_op_step s);
/* True when an operation may go from one step to the other. */
bool cw_op_valid_transition(enum cw_op_kind kind, enum cw_op_step from,
                            enum cw_op_step to);

/* ===================================================================== */
/* policy: moves between pools                                           */
/* ===================================================================== */

struct cw_spare_params {
    double headroom;      /* spare share on top of the demand, default 0.2 */
    double grow_above;    /* a pool gets a VM above this ratio of demand to
                           * capacity, default 1.15 */
    double shrink_below;  /* and releases one below this ratio, default 0.70 */
    double trend_limit;   /* cap on the 2 min average as a multiple of the
                           * 15 min average, default 1.1 */
    cw_ms horizon_ms;     /* time in which a move has to pay off, 10 min */
    cw_ms move_ms;        /* a VM's time out of service, default 120 s */
    double move_cost;     /* weight of a move's cost, default 1 */
    uint32_t bursts;      /* services that can burst at once, default 1 */
    double reserve_share; /* largest share of its pool's VMs that a burst adds
                           * to the reserve, default 0.25 */
    bool hysteresis;      /* off: a pool gets a VM above the ratio 1 and
                           * releases one as soon as it is idle */
    bool use_trend;       /* off: react to the current demand */
    bool check_payoff;    /* off: any shortage moves a VM */
    bool one_per_pool;    /* at most one open move per pool */
    bool return_idle;     /* idle VMs go to the spare pool even if no pool
                           * needs them */
    bool enabled;         /* off: no moves at all */
};

/* One pool. Demands are average numbers of slots in use or requested. */
struct cw_spare_pool {
    struct cw_str pool;
    uint32_t vms;   /* VMs of the pool */
    uint32_t ready; /* VMs of the pool that are in service */
    uint32_t vms_min;
    uint32_t vms_max;
    uint32_t slots; /* per VM */
    uint32_t priority;
    bool spare;  /* the spare pool */
    bool moving; /* source or target of an open move */
    bool held;   /* must not release a VM: its wave is on hold, or it has lost
                  * VMs for an unknown reason */
    double demand_now; /* current demand; used only without use_trend */
    double avg_2min;
    double avg_15min;
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
 * that every holder finds the same moves; each begins those from its pools. */
void cw_spare_decide(const struct cw_spare_params *p, size_t count,
                     const struct cw_spare_pool *pools,
                     struct cw_spare_out *out);
/* VMs that the spare pool keeps: what the p->bursts largest bursts need beyond
 * their own pools' VMs, each at most reserve_share of its pool. */
uint32_t cw_spare_reserve(const struct cw_spare_params *p, size_t count,
                          const struct cw_spare_pool *pools);

/* ===================================================================== */
/* policy: placement of jobs                                             */
/* ===================================================================== */

/* The scheduler of one placement cell, a share of the tasks. It keeps the
 * cell's workers, the jobs of the documents and their tasks, and decides in
 * cw_place_tick what to start, renew, checkpoint or stop. It does no I/O: it
 * passes actions to a callback and learns their results through the commands
 * below. */

/* Resources of a task or worker. */
struct cw_size {
    uint32_t cpu_milli;
    uint32_t memory_mb;
    uint32_t accelerators;
};

struct cw_place_params {
    cw_ms lease_ms;       /* of a worker's tasks, default 30000 */
    cw_ms renew_ms;       /* interval of renewals, default 10000 */
    cw_ms lease_guard_ms; /* wait after the lease's end, default 5000 */
    cw_ms start_wait_ms;  /* for a start to be recorded, default 10000 */
    cw_ms absent_ms; /* a task that is missing from its worker's reports for
                      * this long is lost, default 20000 */
    cw_ms checkpoint_ms;       /* time for a checkpoint before a preempted task
                                * is stopped, default 5000 */
    cw_ms reclaim_ms;          /* a task within its team's quota waits this
                                * long before it preempts tasks that other
                                * teams started above theirs, default 30000 */
    cw_ms probe_ms;            /* until the first probe of a quarantined
                                * worker, default 60000; doubles up to
                                * CW_HOUR */
    uint32_t starts_per_tick;  /* default 256 */
    uint32_t skips_per_tick;   /* tasks of a team passed over, default 64 */
    uint32_t samples_min;      /* before measured sizes are used, default 5 */
    uint32_t quarantine_after; /* consecutive failures, default 3 */
    uint32_t reject_after;     /* failures of a task on workers in good health
                                * after which it is rejected, default 3 */
    bool learn;                /* use measured sizes */
    bool quarantine;           /* give failing workers no tasks */
    bool preempt;              /* evict tasks for urgent ones and for those of
                                * teams below their quota */
    bool backfill;             /* pass over tasks that do not fit now */
};

/* The defaults above, with every flag set. */
struct cw_place_params cw_place_defaults(void);

enum cw_place_state {
    CW_PLACE_WAITING,
    CW_PLACE_STARTING, /* start record not read back yet, fence unknown */
    CW_PLACE_RUNNING,
    CW_PLACE_EVICTING, /* preempted: asked to checkpoint, then waits again */
    CW_PLACE_STOPPING, /* cancelled or without a valid lease */
    CW_PLACE_DONE,
    CW_PLACE_NEVER_FITS, /* larger than every worker of the cell */
    CW_PLACE_REJECTED,   /* failed on several workers in good health */
    CW_PLACE_CANCELLED,
};
const char *cw_place_state_name(enum cw_place_state s);

enum cw_place_action_kind {
    CW_PLACE_START, /* append a start record, then call the worker */
    CW_PLACE_RENEW, /* renew the lease of one worker; task is NULL */
    CW_PLACE_CHECKPOINT,
    CW_PLACE_THROTTLE, /* the task uses more than its allocation */
    CW_PLACE_STOP,
    CW_PLACE_RECORD_ENDED, /* append an ended record; text is its result */
    CW_PLACE_RECORD_LOST,  /* append a lost record; the task waits again once
                            * that is read back */
    CW_PLACE_NOTIFY,       /* report the new state never_fits or rejected */
};

#define CW_PLACE_FAILED_ON_MAX 4 /* failing workers recorded per task */

struct cw_place_task {
    struct cw_name name;
    struct cw_place_job *job;
    uint32_t index;   /* 0 .. job count - 1 */
    uint32_t attempt; /* starts so far */
    enum cw_place_state state;
    struct cw_place_worker *worker;   /* where it runs or will run */
    struct cw_place_worker *reserved; /* where tasks are evicted for it */
    uint64_t fence;           /* offset of its start record, 0 if unknown */
    struct cw_size allocated; /* valid while worker is not NULL */
    struct cw_size measured;  /* use in the last report */
    struct cw_size peak;      /* largest use reported in this attempt */
    cw_ms waiting_since;
    cw_ms started_at;
    cw_ms changed_at;      /* last change of state */
    cw_ms checkpointed_at; /* 0 if never in this attempt */
    cw_ms seen_at;         /* last report that listed it, or its start */
    bool borrowed;         /* started above the team's quota */
    bool throttled;
    uint32_t probe; /* of its worker's health; 0: it is none */
    uint32_t healthy_worker_failures; /* failures on workers in good health */
    uint64_t failed_on[CW_PLACE_FAILED_ON_MAX]; /* hashes of worker names */
    struct cw_place_task *prev, *next;          /* queue of its team */
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
    uint64_t worker_generation;    /* grows when the set of workers changes */
    struct cw_place_private *priv; /* private */
    char msg[CW_MSG_MAX];
};

enum cw_status cw_place_init(struct cw_place *p,
                             const struct cw_place_params *params);
void cw_place_finish(struct cw_place *p);

/* Sets a team's quota: the sum over the team's documents, which the caller
 * computes. */
enum cw_status cw_place_set_team_quota(struct cw_place *p, struct cw_str team,
                                       struct cw_size quota);

/* Applies the jobs of a document: tasks of new jobs wait, changed sizes apply
 * to tasks that are not started yet, jobs that are no longer listed are
 * cancelled. Only tasks for which in_cell(ctx, name) is true belong to this
 * cell; with NULL all do. */
enum cw_status
cw_place_apply_document(struct cw_place *p, const struct cw_doc *doc,
                        bool (*in_cell)(void *ctx, struct cw_str task),
                        void *ctx, cw_ms now);

/* One task in a worker's report. */
struct cw_place_task_report {
    struct cw_str task;
    uint64_t fence; /* of its start */
    enum {
        CW_REPORTED_RUNNING,
        CW_REPORTED_DONE,
        CW_REPORTED_FAILED,
        CW_REPORTED_CHECKPOINTED /* checkpoint written */
    } state;
    uint32_t cpu_milli; /* measured use */
    uint32_t memory_mb;
};

/* Called for each action; *a and what it points to are valid during the
 * call. */
typedef void (*cw_place_action_fn)(void *ctx, const struct cw_place_action *a);

/* Processes a worker's report. Tasks in it that are not known here are ignored
 * and end with their lease. act is called for the outcomes that have to be
 * recorded and may be NULL. CW_ERR_INVALID when rack is too long for a name.
 */
enum cw_status cw_place_worker_report(
    struct cw_place *p, struct cw_str worker, struct cw_str rack,
    struct cw_size size, const struct cw_place_task_report *reports,
    size_t count, cw_ms now, cw_place_action_fn act, void *ctx);
/* The worker has left the cell; its tasks are lost once their leases have
 * ended. */
void cw_place_worker_gone(struct cw_place *p, struct cw_str worker);

/* The start record of the task was read back; fence is its offset. Returns
 * false when the start is no longer valid (another attempt, cancelled): the
 * caller must not call the worker. */
bool cw_place_started(struct cw_place *p, struct cw_str task, uint32_t attempt,
                      uint64_t fence, cw_ms now);
/* The start did not take effect; the task waits again. */
void cw_place_start_failed(struct cw_place *p, struct cw_str task,
                           uint32_t attempt, cw_ms now);
/* The lost record was read back: the task may be started again. */
void cw_place_lost(struct cw_place *p, struct cw_str task, uint32_t attempt,
                   cw_ms now);
/* Replay the records that an earlier holder of the cell has written. */
void cw_place_replay_start(struct cw_place *p, struct cw_str task,
                           struct cw_str worker, uint32_t attempt,
                           uint64_t fence, struct cw_size size, cw_ms now);
void cw_place_replay_ended(struct cw_place *p, struct cw_str task,
                           uint32_t attempt, bool done, cw_ms now);
/* The job was removed from its document: outcomes recorded before this do not
 * count for a job that is listed again under the same name. */
void cw_place_replay_unlisted(struct cw_place *p, struct cw_str job,
                              cw_ms now);
/* Calls each with the full name of every listed job of the document's service
 * that the document no longer lists. */
void cw_place_each_unlisted(const struct cw_place *p, const struct cw_doc *doc,
                            void (*each)(void *ctx, struct cw_str job),
                            void *ctx);
/* Calls each with every task that runs or is done, so that the caller writes
 * them again before the log's retention removes their records. */
void cw_place_each_placed(const struct cw_place *p,
                          void (*each)(void *ctx,
                                       const struct cw_place_task *t,
                                       struct cw_str worker),
                          void *ctx);

/* Decides what to do now and calls act once for each action, in order. */
void cw_place_tick(struct cw_place *p, cw_ms now, cw_place_action_fn act,
                   void *ctx);
/* Only renews the leases that are due: for a holder that cannot write records
 * now, but whose tasks have to keep running. */
void cw_place_renew_leases(struct cw_place *p, cw_ms now,
                           cw_place_action_fn act, void *ctx);

/* Queries. */
const struct cw_place_task *cw_place_task(const struct cw_place *p,
                                          struct cw_str name);
size_t cw_place_count(const struct cw_place *p, enum cw_place_state state);
/* Size that would be allocated to a task of the job now. */
struct cw_size cw_place_request_size(const struct cw_place *p,
                                     const struct cw_place_job *job);
/* Declared run time of the task's job. */
cw_ms cw_place_run_ms(const struct cw_place_task *t);
/* Largest share of its quota that a team uses of any resource, 0 for an
 * unknown team. */
double cw_place_team_share(const struct cw_place *p, struct cw_str team);
/* Free resources, summed over healthy workers. */
void cw_place_free_capacity(const struct cw_place *p, uint64_t *cpu_milli,
                            uint64_t *memory_mb, uint64_t *accelerators);

/* ===================================================================== */
/* policy: worker health and leases                                      */
/* ===================================================================== */

/* Health of one worker, derived from the outcomes of its tasks. */
struct cw_worker_health {
    uint32_t proven_streak;  /* consecutive failures of classes that succeed on
                              * other workers */
    uint32_t failure_streak; /* consecutive failures of any class */
    uint64_t last_job;       /* hash of the job that failed last */
    bool several_jobs;       /* the consecutive failures are of several jobs */
    cw_ms failed_at;         /* the last failure */
    cw_ms failed_after_ms;   /* the longest that a task of these without an end
                              * of its own had been at work */
    bool quarantined;
    bool probing;   /* one task runs as a probe */
    uint32_t probe; /* number of the latest probe */
    uint32_t probes_failed;
    cw_ms quarantined_at; /* the first of a series of failed probes counts */
    cw_ms probe_at;       /* when a probe may be sent */
};

/* Records the outcome of one task. succeeds_elsewhere: tasks of its class
 * succeed on other workers. may_quarantine_unproven: few enough workers are
 * quarantined for failures of classes without any success to count too. */
void cw_worker_health_outcome(struct cw_worker_health *h, bool ok,
                              bool succeeds_elsewhere,
                              bool may_quarantine_unproven, uint64_t job_hash,
                              const struct cw_place_params *params, cw_ms now);
/* A task without an end of its own has failed after it had been at work for
 * ran_ms. False: it had been for so long that this shows nothing about the
 * worker. True: cw_worker_health_outcome takes the failure. */
bool cw_worker_health_counts_failure(struct cw_worker_health *h, cw_ms ran_ms);
/* True when a task without an end of its own, which began at a time and has
 * been at work for ran_ms, shows that the worker is sound: it began after the
 * last failure, on a quarantined worker as its probe (0: it is none), and has
 * been at work for longer than those that failed. The caller then reports its
 * success, once. */
bool cw_worker_health_shows_success(const struct cw_worker_health *h,
                                    uint32_t probe, cw_ms began_at,
                                    cw_ms ran_ms);
/* Tasks of the job have succeeded on other workers: quarantines a worker whose
 * consecutive failures are all of that job. True when it did. */
bool cw_worker_health_job_succeeded(struct cw_worker_health *h,
                                    uint64_t job_hash,
                                    const struct cw_place_params *params,
                                    cw_ms now);
/* True when the worker may get one more task now. */
bool cw_worker_health_usable(const struct cw_worker_health *h, cw_ms now);
/* The worker got a task. Returns the number of the probe that the task is,
 * which the caller keeps for cw_worker_health_probe_over; 0: it is none. */
uint32_t cw_worker_health_task_assigned(struct cw_worker_health *h);
/* The task that was this probe has left the worker, for whatever reason. Must
 * be called at each end, also after cw_worker_health_outcome: an end without
 * an outcome shows nothing, and the next task is a probe at once. */
void cw_worker_health_probe_over(struct cw_worker_health *h, uint32_t probe);
/* Another process answers as this worker. A quarantined worker stays so until
 * a probe succeeds, which may be sent at once. */
void cw_worker_health_restarted(struct cw_worker_health *h, cw_ms now);

/* The lease of all tasks on one worker: without a renewal the worker stops
 * them at its end. */
struct cw_lease {
    cw_ms expires_at; /* monotonic; 0 before the first grant */
    cw_ms renewed_at; /* when the last renewal was sent */
    bool renewing;    /* a renewal is in flight */
};

/* Extends the lease to lease_ms after sent_at; never shortens it. */
void cw_lease_grant(struct cw_lease *l, cw_ms sent_at, cw_ms lease_ms);
/* True when a renewal has to be sent. */
bool cw_lease_renew_due(const struct cw_lease *l, cw_ms now, cw_ms renew_ms);
/* True when the lease ended at least guard_ms ago, so that the holder has to
 * assume that the worker has stopped its tasks. */
bool cw_lease_expired(const struct cw_lease *l, cw_ms now, cw_ms guard_ms);
/* The renewal of a worker's lease was answered; ok when it was granted. Each
 * worker has one renewal at a time. The lease counts from when the renewal was
 * sent, so that it never ends later here than at the worker. */
void cw_place_renew_answered(struct cw_place *p, struct cw_str worker,
                             bool ok);

#ifdef __cplusplus
}
#endif

#endif
