/* Declarations shared by the commands of cuminwalk, the command-line tool. */
#ifndef CLI_H
#define CLI_H

#include "cuminwalk.h"

#include <jansson.h>

enum cli_exit {
    CLI_OK = 0,
    CLI_ERROR = 1,       /* invalid input or another error */
    CLI_USAGE = 2,       /* invalid command line */
    CLI_UNREADABLE = 2,  /* check: a file or the version in force */
    CLI_UNAVAILABLE = 3, /* platform or daemon cannot be reached */
    CLI_CONFLICT = 4,    /* the edit's base version is not in force */
    CLI_TIMEOUT = 5,     /* accepted, but not in force everywhere in time */
};

enum cli_format { CLI_TEXT, CLI_JSON, CLI_CSV };

/* Options, arguments and output streams of one run. */
struct cli {
    const char *platform; /* ip:port of the platform, or NULL */
    const char *daemon;   /* ip:port of a daemon's admin listener, or NULL */
    enum cli_format format;
    bool has_base;
    uint64_t base;    /* version that the edit is based on, 0 for none */
    const char *by;   /* who edits */
    cw_ms timeout_ms; /* for an edit to be in force everywhere */
    cw_ms append_timeout_ms; /* after this an append's answer counts as lost */
    bool has_from;
    bool has_to;
    cw_ms from;        /* wall-clock time */
    cw_ms to;          /* wall-clock time */
    bool against;      /* compare with the configuration in force */
    const char **args; /* arguments after the command, NULL at the end */
    size_t arg_count;
    struct cw_clock clock;
    FILE *out;
    FILE *err;
    char msg[CW_MSG_MAX];
};

/* Runs the program; argv as in main. */
int cli_run(int argc, const char **argv);

/* ---- commands and queries ------------------------------------------- */

int cli_check(struct cli *c);
/* Checks a configuration of the job service. */
int cli_check_config(struct cli *c, const char *path, struct cw_str text,
                     json_t **result);
int cli_apply(struct cli *c);
int cli_diff(struct cli *c);
int cli_get(struct cli *c);
int cli_history(struct cli *c);
int cli_status(struct cli *c);
int cli_moves(struct cli *c);
int cli_report(struct cli *c);
int cli_jobs(struct cli *c);

/* ---- HTTP ----------------------------------------------------------- */

struct cli_reply {
    long status;
    struct cw_buf body;
};

/* Sends one request to an ip:port: GET when body is NULL, POST otherwise.
 * Returns CW_OK after a response with any status, CW_ERR_UNAVAILABLE when
 * nothing was sent and CW_ERR_UNKNOWN when the request may have been sent but
 * no complete response came; on failure c->msg says why. Release the reply
 * with cli_reply_finish in every case. */
enum cw_status cli_http(struct cli *c, const char *address, const char *path,
                        const struct cw_buf *body, cw_ms timeout_ms,
                        struct cli_reply *reply);
void cli_reply_finish(struct cli_reply *reply);

/* ---- log ------------------------------------------------------------ */

/* The state replayed from the platform's log. */
struct cli_log {
    struct cw_state state;
    uint64_t next;            /* offset of the next read */
    struct cw_name wanted_id; /* id of a record to watch for, empty for none */
    bool found;               /* the wanted record has been read */
};

void cli_log_init(struct cli_log *l);
void cli_log_finish(struct cli_log *l);
/* Reads the stream from its start, or from a snapshot when the start is no
 * longer kept, to its end. */
enum cw_status cli_log_load(struct cli *c, struct cli_log *l);
/* Reads and applies the records appended since the last read; waits up to
 * wait_ms for the first one. */
enum cw_status cli_log_follow(struct cli *c, struct cli_log *l, cw_ms wait_ms);
/* Appends one record. Statuses are those of cli_http; a refusal by the log is
 * CW_ERR_UNAVAILABLE or CW_ERR_INVALID. */
enum cw_status cli_log_append(struct cli *c, const struct cw_record *r,
                              cw_ms timeout_ms);
/* Calls each for every record still kept in a stream. Sets *exists to false
 * for a stream that never had a record. */
enum cw_status cli_stream_read(struct cli *c, const char *stream,
                               enum cw_status (*each)(void *ctx,
                                                      uint64_t offset,
                                                      const json_t *record),
                               void *ctx, bool *exists);
/* Loads the log, or prints an error; returns an exit code. */
int cli_open_log(struct cli *c, struct cli_log *l);

/* ---- members -------------------------------------------------------- */

struct cli_member {
    struct cw_name daemon;
    uint64_t incarnation;
    struct cw_name dc;
    uint64_t applied; /* log offset */
    cw_ms age_ms;     /* since the answering daemon last heard from it */
};

#define CLI_MEMBERS_MAX 256

struct cli_members {
    size_t count;
    struct cli_member items[CLI_MEMBERS_MAX];
};

/* Parses the answer to GET /members; the result includes the answering
 * daemon. */
enum cw_status cli_members_parse(struct cli_members *m, struct cw_str json,
                                 char *msg);
/* Fetches the members from the daemon given by --daemon. */
enum cw_status cli_members_get(struct cli *c, struct cli_members *m);
/* Counts the members of the state that are not known to have applied offset
 * and adds their names to names, each with its applied offset and age. */
size_t cli_members_lagging(const struct cw_state *s,
                           const struct cli_members *m, uint64_t offset,
                           struct cw_buf *names);

/* ---- differences and reports (no I/O) ------------------------------- */

/* Calls each for every difference between two JSON values, with its path;
 * a or b is NULL when only the other one has the value. Elements of arrays are
 * matched by their member "name" when all have one, otherwise by index. */
void cli_diff_values(const json_t *a, const json_t *b,
                     void (*each)(void *ctx, const char *path, const json_t *a,
                                  const json_t *b),
                     void *ctx);

/* One service over the period of the report. */
struct cli_service_report {
    struct cw_name service;
    bool has_doc;
    double target;
    uint64_t ok;
    uint64_t failed;
    uint64_t shed;
    uint64_t unknown;
    uint64_t p99_us; /* highest p99 of the period's entries */
    uint64_t idle_slot_ms;
    uint64_t busy_slot_ms;
    uint32_t moves_in;
    uint32_t moves_out;
    uint32_t maintained;
    uint32_t cancelled;
    uint32_t failed_ops;
};

/* An accepted edit and the operations that were started for its version. */
struct cli_doc_report {
    const struct cw_edit_entry *edit;
    uint32_t ops;
    uint32_t open_ops;
    cw_ms rollout_ms; /* edit to last step, 0 without operations */
};

/* Data of a report; edit, wave and move pointers refer to the state. */
struct cli_report_data {
    cw_ms from;
    cw_ms to;
    size_t service_count;
    struct cli_service_report *services; /* sorted by name */
    size_t wave_count;
    const struct cw_wave_entry **waves;
    size_t doc_count;
    struct cli_doc_report *docs;
    size_t refused_edits;
    size_t move_count;
    const struct cw_op_entry **moves;
};

enum cw_status cli_report_build(struct cli_report_data *r,
                                const struct cw_state *s, cw_ms from,
                                cw_ms to);
void cli_report_finish(struct cli_report_data *r);
uint64_t cli_service_requests(const struct cli_service_report *x);
/* Share of requests that succeeded, 1 without requests. */
double cli_service_availability(const struct cli_service_report *x);
/* Number of failures that the target allows, and the share of it that is used
 * up; 0 without a document. */
double cli_service_allowed_failures(const struct cli_service_report *x);
double cli_service_budget_used(const struct cli_service_report *x);
/* Share of the slot time that was idle. */
double cli_service_idle_share(const struct cli_service_report *x);
/* Time from the first step to the latest one. */
cw_ms cli_op_duration(const struct cw_op_entry *e);
/* Name of the service that owns the pool, or "-". */
const char *cli_pool_service(const struct cw_state *s,
                             const struct cw_name *pool);
/* Name of the service that owns the wave's pool, or "-". */
const char *cli_wave_service(const struct cw_state *s,
                             const struct cw_wave_entry *w);

void cli_report_text(const struct cli_report_data *r, const struct cw_state *s,
                     struct cw_buf *out);
json_t *cli_report_json(const struct cli_report_data *r,
                        const struct cw_state *s);
void cli_report_csv(const struct cli_report_data *r, const struct cw_state *s,
                    struct cw_buf *out);

/* ---- output --------------------------------------------------------- */

/* Prints and releases a JSON value; returns an exit code. */
int cli_print_json(struct cli *c, json_t *v);
/* Convert names, wall-clock times and operations to JSON. */
json_t *cli_json_name(const struct cw_name *n);
json_t *cli_json_time(cw_ms wall);
json_t *cli_json_op(const struct cw_op_entry *e);
/* Reads a file, or standard input for "-". Reading stops beyond max bytes, or
 * beyond CW_DOC_MAX, which cw_doc_parse then rejects. */
enum cw_status cli_read_file_max(struct cli *c, const char *path, size_t max,
                                 struct cw_buf *out);
enum cw_status cli_read_file(struct cli *c, const char *path,
                             struct cw_buf *out);
/* Checks a document and prints its faults; returns an exit code. *doc has to
 * be released after CLI_OK only. */
int cli_parse_doc(struct cli *c, const char *path, struct cw_str text,
                  struct cw_doc *doc);
/* Reads and checks a document and prints its faults; returns an exit code.
 * *doc and *text have to be released after CLI_OK only. */
int cli_read_doc(struct cli *c, const char *path, struct cw_doc *doc,
                 struct cw_buf *text);

#endif
