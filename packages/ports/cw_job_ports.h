/* Ports of the job service: the store, workers, VM control and the format of
 * callers' requests. An adapter fills in struct cw_job_ports. Every done
 * function is called exactly once, from the event loop and after the call has
 * returned, with one of
 *   CW_OK               the call was answered,
 *   CW_ERR_UNAVAILABLE  nothing took effect,
 *   CW_ERR_TIMEOUT      not sent in time: nothing took effect,
 *   CW_ERR_UNKNOWN      sent, no answer: may have taken effect,
 * or a status that the function's comment names. */
#ifndef CW_JOB_PORTS_H
#define CW_JOB_PORTS_H

#include "cuminwalk.h"
#include "cw_jobs.h"

/* ---- store ------------------------------------------------------------- */

/* Streams of keyed records. The latest record of each key never expires. */
enum cw_stream {
    CW_STREAM_JOBS,      /* jobs; written by the scheduler under its epoch */
    CW_STREAM_OPERATORS, /* configuration and waves; written by operators */
    CW_STREAM_WORKERS,   /* the list of workers; written by runners */
    CW_STREAM_OUTCOMES,  /* results for operators; written by the scheduler */
};

struct cw_store_record {
    struct cw_str key;
    struct cw_str value; /* empty: the key was deleted */
};

/* A key that any writer may have chosen: 255 bytes, up to three times as many
 * where read_latest replaced what is not text. */
#define CW_STORE_KEY_MAX 768

struct cw_store_key {
    size_t len;
    char text[CW_STORE_KEY_MAX];
};

/* Encoded records of one append. */
struct cw_store_batch {
    struct cw_buf bytes;
    size_t count;
};

struct cw_store_page {
    const struct cw_store_record *records;
    size_t count;
    /* read: offset to continue from; read_latest: end of the stream */
    uint64_t next;
    bool more;    /* further pages follow */
    size_t bytes; /* of the answer, as far as it was received */
};

typedef void (*cw_store_done)(void *arg, enum cw_status s);
/* CW_ERR_NOT_FOUND: the requested records are no longer retained. */
typedef void (*cw_store_page_done)(void *arg, enum cw_status s,
                                   const struct cw_store_page *p);
typedef void (*cw_store_join_done)(void *arg, enum cw_status s,
                                   uint64_t generation, bool is_scheduler);
typedef void (*cw_store_owner_done)(void *arg, enum cw_status s,
                                    struct cw_str owner,
                                    const struct cw_str *members,
                                    uint32_t member_count);

struct cw_store_read {
    enum cw_stream stream;
    uint64_t from;
    cw_ms wait_ms;    /* for a record */
    cw_ms timeout_ms; /* after that, for the first byte of the answer */
    size_t *received; /* see read_latest */
};

struct cw_store_port {
    void (*batch_add)(void *ctx, struct cw_store_batch *b, struct cw_str key,
                      struct cw_str value);
    /* Appends to the jobs under an epoch; CW_ERR_FENCED when the store has
     * seen a higher one. sequence increases by one with each append; a
     * repeated sequence is not appended again and gets the first answer. An
     * empty batch only sets the epoch. */
    void (*append)(void *ctx, const struct cw_store_batch *b, uint64_t epoch,
                   uint64_t sequence, cw_ms timeout, cw_store_done done,
                   void *arg);
    /* Appends to the outcomes, without an epoch. */
    void (*publish)(void *ctx, const struct cw_store_batch *b, cw_ms timeout,
                    cw_store_done done, void *arg);
    /* Reads the latest record of each key, in pages; after is the last key of
     * the previous page, empty for the first page. An answer that has not
     * begun by timeout, or stops arriving, ends the read; its size does not.
     * received, if not NULL, gets the bytes that have arrived until done is
     * called. */
    void (*read_latest)(void *ctx, enum cw_stream stream, struct cw_str after,
                        cw_ms timeout, size_t *received,
                        cw_store_page_done done, void *arg);
    /* Reads records from an offset, and waits for the first. */
    void (*read)(void *ctx, const struct cw_store_read *r,
                 cw_store_page_done done, void *arg);
    /* Ends the read that counts into received; its done is called with
     * CW_ERR_UNKNOWN before this returns. A read that nobody waits for any
     * more would share the link with the one that replaces it. */
    void (*read_cancel)(void *ctx, const size_t *received);
    /* Joins the group of daemons or renews the membership. One member at a
     * time is the scheduler. */
    void (*join)(void *ctx, struct cw_str member, uint64_t generation,
                 cw_ms ttl_ms, cw_store_join_done done, void *arg);
    void (*leave)(void *ctx, struct cw_str member, cw_store_done done,
                  void *arg);
    /* Gets the member that is the scheduler, empty when there is none, and all
     * members. */
    void (*get_owner)(void *ctx, cw_ms timeout, cw_store_owner_done done,
                      void *arg);
};

/* ---- operators' records ------------------------------------------------ */

struct cw_route_entry {
    struct cw_name host;
    char prefix[256]; /* path prefix */
    size_t prefix_len;
    bool is_public; /* its calls need no key and belong to no tenant */
    struct cw_queue_rules rules;
};

struct cw_service_entry {
    struct cw_name service;
    bool spare; /* spare pool: its VMs are switched off */
};

/* A key, kept as a hash under the random seeds of its configuration. */
struct cw_key_entry {
    uint64_t hash[2];
    uint32_t tenant; /* index in the list of tenants */
};

/* Keys of a configuration; a lookup compares all of them. */
#define CW_KEYS_MAX 4096

struct cw_fleet_config {
    uint64_t version; /* 0: none yet */
    struct cw_route_entry *routes;
    size_t route_count;
    struct cw_service_entry *services;
    size_t service_count;
    struct cw_tenant_entry *tenants;
    size_t tenant_count;
    /* The record lists tenants. Also true when none of its rows is valid, so
     * that a mistake there does not open the queues to all callers. */
    bool needs_keys;
    struct cw_key_entry *keys;
    size_t key_count;
    uint64_t key_seed[2];
};

/* Adds a key of the tenant with this index. CW_ERR_CONFLICT: another tenant
 * has it. CW_ERR_LIMIT: too many keys, or an empty one. */
enum cw_status cw_fleet_config_add_key(struct cw_fleet_config *c,
                                       struct cw_str key, uint32_t tenant);
/* The tenant of a key, or NULL. The time that it takes depends on the length
 * of the key only. */
const struct cw_tenant_entry *
cw_fleet_config_find_tenant(const struct cw_fleet_config *c,
                            struct cw_str key);

void cw_fleet_config_finish(struct cw_fleet_config *c);
/* Finds the matching route with the longest prefix, or NULL; *rest is the part
 * of the path after the prefix. */
const struct cw_route_entry *
cw_fleet_config_find_route(const struct cw_fleet_config *c, struct cw_str host,
                           struct cw_str path, struct cw_str *rest);

#define CW_WAVE_ORDER_VMS_MAX 1024

/* A wave: an operator's order to maintain a list of VMs. */
struct cw_wave_order {
    uint64_t number;
    struct cw_name *vms;
    size_t vm_count;
    cw_ms duration_ms;
    uint32_t max_at_once;
};

enum cw_operator_record {
    CW_OPERATOR_CONFIG,
    CW_OPERATOR_WAVE,
    CW_OPERATOR_OTHER,
};

/* ---- workers ----------------------------------------------------------- */

struct cw_worker_conn;

struct cw_start_order {
    struct cw_run_row run; /* with the checkpoint to resume from */
    struct cw_str text;    /* cw_job_spec.text, passed to the task */
    int64_t until_ms;      /* end of the lease, on the worker's clock */
    uint64_t epoch;
};

/* A call for a report. The lease and the acknowledgement are left out when the
 * call may reach another incarnation than the one that reported before, unless
 * their members _unproved are true. The report's member proved says whether it
 * could reach only that one. */
struct cw_report_order {
    uint64_t epoch;
    int64_t born_wall; /* incarnation that the next two are meant for */
    int64_t until_ms;  /* end of the lease on the worker's clock; 0: none */
    uint64_t acked;    /* acknowledges ended runs with numbers up to this */
    bool until_unproved;
    bool acked_unproved;
    cw_ms wait_ms; /* waits up to this long for a run to end */
};

/* clock_ms: the worker's clock at its answer, 0 when it gave none. */
typedef void (*cw_start_done)(void *arg, enum cw_status s,
                              enum cw_start_answer a, int64_t clock_ms);
/* CW_ERR_FENCED: the worker has seen a higher epoch. CW_ERR_NOT_FOUND:
 * another incarnation of the worker runs there now. */
typedef void (*cw_worker_done)(void *arg, enum cw_status s);
typedef void (*cw_report_done)(void *arg, enum cw_status s,
                               struct cw_run_report *r);
/* born: the incarnation that answered. Statuses as of cw_worker_done. */
typedef void (*cw_check_done)(void *arg, enum cw_status s, int64_t born);

struct cw_exec_port {
    struct cw_worker_conn *(*open)(void *ctx, const struct cw_name *id,
                                   const struct cw_name *address);
    /* Calls still open end with CW_ERR_UNKNOWN before this returns. */
    void (*close)(struct cw_worker_conn *c);
    void (*start)(struct cw_worker_conn *c, const struct cw_start_order *o,
                  cw_ms timeout, cw_start_done done, void *arg);
    void (*stop)(struct cw_worker_conn *c, const struct cw_run_row *r,
                 uint64_t epoch, cw_ms timeout, cw_worker_done done,
                 void *arg);
    void (*pace)(struct cw_worker_conn *c, const struct cw_run_row *r,
                 uint32_t percent, uint64_t epoch, cw_ms timeout,
                 cw_worker_done done, void *arg);
    /* Gets the running and the ended runs. */
    void (*poll)(struct cw_worker_conn *c, const struct cw_report_order *o,
                 cw_ms timeout, cw_report_done done, void *arg);
    /* True when the next order reaches the incarnation that answered a report
     * which was asked for at a time, or none. NULL: never known. */
    bool (*is_bound)(const struct cw_worker_conn *c, cw_ms reported_at);
    /* Asks which incarnation answers on a connection of the orders. NULL: the
     * port can't tell. */
    void (*check)(struct cw_worker_conn *c, uint64_t epoch, cw_ms timeout,
                  cw_check_done done, void *arg);
    /* True when the next order goes out on a connection on which this
     * incarnation has answered a check: it reaches that one or none. */
    bool (*is_checked)(struct cw_worker_conn *c, int64_t born);
};

/* ---- VMs --------------------------------------------------------------- */

enum cw_vm_phase { CW_VM_UP, CW_VM_MOVING, CW_VM_MAINTENANCE, CW_VM_DOWN };

struct cw_vm_row {
    struct cw_name vm;
    struct cw_name pool;
    struct cw_name dc;
    struct cw_name worker;
    uint8_t phase;
    struct cw_resources capacity;
    struct cw_name labels[CW_LABELS_MAX];
    size_t label_count;
};

struct cw_vm_page {
    struct cw_vm_row *vms;
    size_t count;
    struct cw_name next; /* token of the next page, empty at the end */
};

typedef void (*cw_vm_page_done)(void *arg, enum cw_status s,
                                const struct cw_vm_page *p);
/* CW_ERR_FENCED: a higher token was seen. CW_ERR_CONFLICT: the VM is busy or
 * not in this wave. CW_ERR_INVALID: no such VM or pool. */
typedef void (*cw_vm_done)(void *arg, enum cw_status s);

struct cw_vmctl_port {
    /* Lists VMs in pages; an empty page token gets the first page. */
    void (*list)(void *ctx, struct cw_str page, cw_ms timeout,
                 cw_vm_page_done done, void *arg);
    /* Moves a VM to another pool. token is the fencing token of holder. */
    void (*move)(void *ctx, struct cw_str vm, struct cw_str pool,
                 struct cw_str holder, uint64_t token, cw_ms timeout,
                 cw_vm_done done, void *arg);
    void (*maintain)(void *ctx, struct cw_str vm, uint64_t wave,
                     struct cw_str holder, uint64_t token, cw_ms timeout,
                     cw_vm_done done, void *arg);
};

/* ---- callers ----------------------------------------------------------- */

enum cw_caller_op {
    CW_CALL_SUBMIT,
    CW_CALL_STATUS,
    CW_CALL_CANCEL,
    CW_CALL_WAITING,
    CW_CALL_INVALID, /* no such call */
};

struct cw_caller_port {
    /* Maps an HTTP method and the path after the route's prefix to a call, and
     * parses the job id. */
    enum cw_caller_op (*classify)(struct cw_str method, struct cw_str rest,
                                  uint64_t *id);
    /* Decodes the body of a job submission. */
    enum cw_status (*decode_submission)(struct cw_str body,
                                        struct cw_job_spec *out, char *msg);
    /* reason: why the job does not start; "": it can. */
    void (*write_state_body)(struct cw_buf *out, enum cw_job_state st,
                             struct cw_str reason);
    void (*write_waiting_body)(struct cw_buf *out, uint32_t waiting);
    /* Finds the key in the value of its header; empty when there is none. */
    struct cw_str (*parse_key)(struct cw_str value);
    struct cw_str timeout_header; /* names in lower case */
    struct cw_str key_header;
};

struct cw_job_ports {
    void *ctx;
    struct cw_store_port store;
    struct cw_exec_port exec;
    struct cw_vmctl_port vmctl;
    struct cw_caller_port caller;
    /* Decoders of records written by operators and runners; CW_ERR_INVALID
     * with a message when a record is malformed. */
    enum cw_operator_record (*operator_kind)(struct cw_str key);
    enum cw_status (*config_decode)(struct cw_str value,
                                    struct cw_fleet_config *out, char *msg);
    enum cw_status (*wave_decode)(struct cw_str value,
                                  struct cw_wave_order *out, char *msg);
    enum cw_status (*worker_decode)(struct cw_str key, struct cw_str value,
                                    struct cw_worker_entry *out, char *msg);
    /* Encodes the key and value of a wave's record in CW_STREAM_OUTCOMES. */
    void (*encode_wave_outcome)(uint64_t number, bool done, struct cw_buf *key,
                                struct cw_buf *value);
};

#endif
