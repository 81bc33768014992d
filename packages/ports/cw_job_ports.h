/* What the job service needs from outside: the store, workers, VM control and
 * the form in which callers speak. An adapter fills struct cw_job_ports; every
 * done function runs exactly once, later from the loop, with
 *   CW_OK               an answer,
 *   CW_ERR_UNAVAILABLE  nothing took effect,
 *   CW_ERR_TIMEOUT      not sent in time: nothing took effect,
 *   CW_ERR_UNKNOWN      sent, no answer,
 * and the statuses that a function names. */
#ifndef CW_JOB_PORTS_H
#define CW_JOB_PORTS_H

#include "cuminwalk.h"
#include "cw_jobs.h"

/* ---- the store --------------------------------------------------------- */

/* Streams of keyed records; the newest record of a key is kept for good. */
enum cw_stream {
    CW_STREAM_JOBS,      /* ours: jobs, one fenced writer */
    CW_STREAM_OPERATORS, /* configuration and waves */
    CW_STREAM_WORKERS,   /* the list of workers */
    CW_STREAM_OUTCOMES,  /* ours: what operators read */
};

struct cw_store_record {
    struct cw_str key;
    struct cw_str value; /* empty: the key was dropped */
};

/* Records in the form in which one append carries them. */
struct cw_store_batch {
    struct cw_buf bytes;
    size_t count;
};

struct cw_store_page {
    const struct cw_store_record *records;
    size_t count;
    uint64_t next; /* newest: end of the stream; read: where to go on */
    bool more;
};

typedef void (*cw_store_done)(void *arg, enum cw_status s);
/* CW_ERR_NOT_FOUND: what was asked for is no longer kept. */
typedef void (*cw_store_page_done)(void *arg, enum cw_status s,
                                   const struct cw_store_page *p);
typedef void (*cw_store_join_done)(void *arg, enum cw_status s,
                                   uint64_t generation, bool holds);
typedef void (*cw_store_owner_done)(void *arg, enum cw_status s,
                                    struct cw_str member, uint32_t members);

struct cw_store_port {
    void (*batch_add)(void *ctx, struct cw_store_batch *b, struct cw_str key,
                      struct cw_str value);
    /* Appends under an epoch: a writer with a lower one than the store has
     * seen gets CW_ERR_FENCED. sequence rises by one; the same one again gets
     * the first answer again. An empty batch only sets the epoch. */
    void (*append)(void *ctx, const struct cw_store_batch *b, uint64_t epoch,
                   uint64_t sequence, cw_ms timeout, cw_store_done done,
                   void *arg);
    /* Appends to the outcomes, without an epoch. */
    void (*publish)(void *ctx, const struct cw_store_batch *b, cw_ms timeout,
                    cw_store_done done, void *arg);
    /* The newest record of each key, in pages. */
    void (*newest)(void *ctx, enum cw_stream stream, struct cw_str after,
                   cw_ms timeout, cw_store_page_done done, void *arg);
    /* Records from an offset on; waits up to wait_ms for the first. */
    void (*read)(void *ctx, enum cw_stream stream, uint64_t from,
                 cw_ms wait_ms, cw_store_page_done done, void *arg);
    /* Joins the group of daemons, or stays in it. One member at a time holds
     * the scheduler's part. */
    void (*join)(void *ctx, struct cw_str member, uint64_t generation,
                 cw_ms ttl_ms, cw_store_join_done done, void *arg);
    void (*leave)(void *ctx, struct cw_str member, cw_store_done done,
                  void *arg);
    /* Who holds the scheduler's part, empty when nobody does, and how many
     * members the group has. */
    void (*owner)(void *ctx, cw_ms timeout, cw_store_owner_done done,
                  void *arg);
};

/* ---- operators' records --------------------------------------------------
 */

struct cw_route_entry {
    struct cw_name host;
    char prefix[256]; /* of the path */
    size_t prefix_len;
    struct cw_queue_rules rules;
};

struct cw_service_entry {
    struct cw_name service;
    bool spare; /* its VMs are off */
};

struct cw_fleet_config {
    uint64_t version; /* 0: none yet */
    struct cw_route_entry *routes;
    size_t route_count;
    struct cw_service_entry *services;
    size_t service_count;
};

void cw_fleet_config_finish(struct cw_fleet_config *c);
/* The route with the longest prefix, or NULL; *rest is what follows it. */
const struct cw_route_entry *cw_fleet_route(const struct cw_fleet_config *c,
                                            struct cw_str host,
                                            struct cw_str path,
                                            struct cw_str *rest);

#define CW_WAVE_ORDER_VMS_MAX 1024

/* An operator's order to maintain VMs. */
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

/* ---- workers
 * ---------------------------------------------------------------- */

struct cw_worker_conn;

struct cw_start_order {
    struct cw_run_row run; /* with the checkpoint to resume from */
    struct cw_str text;
    int64_t until_ms; /* lease, on the worker's clock */
    uint64_t epoch;
};

typedef void (*cw_start_done)(void *arg, enum cw_status s,
                              enum cw_start_answer a);
/* CW_ERR_FENCED: a newer scheduler was there. CW_ERR_NOT_FOUND: the worker is
 * another life now. */
typedef void (*cw_worker_done)(void *arg, enum cw_status s);
typedef void (*cw_report_done)(void *arg, enum cw_status s,
                               struct cw_run_report *r);

struct cw_exec_port {
    struct cw_worker_conn *(*open)(void *ctx, const struct cw_name *id,
                                   const struct cw_name *address);
    /* Open calls end with CW_ERR_UNKNOWN inside this call. */
    void (*close)(struct cw_worker_conn *c);
    void (*start)(struct cw_worker_conn *c, const struct cw_start_order *o,
                  cw_ms timeout, cw_start_done done, void *arg);
    void (*stop)(struct cw_worker_conn *c, const struct cw_run_row *r,
                 uint64_t epoch, cw_ms timeout, cw_worker_done done,
                 void *arg);
    void (*pace)(struct cw_worker_conn *c, const struct cw_run_row *r,
                 uint32_t percent, uint64_t epoch, cw_ms timeout,
                 cw_worker_done done, void *arg);
    /* Renews the lease (until_ms, 0: leaves it), acknowledges ends up to a
     * number, and returns what runs; waits up to wait_ms for an end. */
    void (*report)(struct cw_worker_conn *c, int64_t until_ms, uint64_t epoch,
                   uint64_t acked, cw_ms wait_ms, cw_ms timeout,
                   cw_report_done done, void *arg);
};

/* ---- VMs
 * --------------------------------------------------------------------- */

enum cw_vm_phase { CW_VM_UP, CW_VM_MOVING, CW_VM_UPKEEP, CW_VM_DOWN };

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
    struct cw_name next; /* page to go on with, empty at the end */
};

typedef void (*cw_vm_page_done)(void *arg, enum cw_status s,
                                const struct cw_vm_page *p);
/* CW_ERR_FENCED, CW_ERR_CONFLICT (busy or not of this wave), CW_ERR_INVALID
 * (no such VM or pool). */
typedef void (*cw_vm_done)(void *arg, enum cw_status s);

struct cw_vmctl_port {
    void (*list)(void *ctx, struct cw_str page, cw_ms timeout,
                 cw_vm_page_done done, void *arg);
    void (*move)(void *ctx, struct cw_str vm, struct cw_str pool,
                 struct cw_str holder, uint64_t token, cw_ms timeout,
                 cw_vm_done done, void *arg);
    void (*maintain)(void *ctx, struct cw_str vm, uint64_t wave,
                     struct cw_str holder, uint64_t token, cw_ms timeout,
                     cw_vm_done done, void *arg);
};

/* ---- callers
 * ------------------------------------------------------------------- */

enum cw_caller_op {
    CW_CALL_SUBMIT,
    CW_CALL_STATUS,
    CW_CALL_CANCEL,
    CW_CALL_WAITING,
    CW_CALL_BAD, /* no such call */
};

struct cw_caller_port {
    /* Which call a method and the path behind the prefix are. */
    enum cw_caller_op (*classify)(struct cw_str method, struct cw_str rest,
                                  uint64_t *id);
    /* The body of a hand-in. */
    enum cw_status (*decode)(struct cw_str body, struct cw_job_spec *out,
                             char *msg);
    void (*state_body)(struct cw_buf *out, enum cw_job_state st);
    void (*waiting_body)(struct cw_buf *out, uint32_t waiting);
    struct cw_str timeout_header; /* lower case */
};

struct cw_job_ports {
    void *ctx;
    struct cw_store_port store;
    struct cw_exec_port exec;
    struct cw_vmctl_port vmctl;
    struct cw_caller_port caller;
    /* Decoders of records that others write; CW_ERR_INVALID with a message
     * when a record cannot be used. */
    enum cw_operator_record (*operator_kind)(struct cw_str key);
    enum cw_status (*config_decode)(struct cw_str value,
                                    struct cw_fleet_config *out, char *msg);
    enum cw_status (*wave_decode)(struct cw_str value,
                                  struct cw_wave_order *out, char *msg);
    enum cw_status (*worker_decode)(struct cw_str key, struct cw_str value,
                                    struct cw_worker_entry *out, char *msg);
    void (*wave_outcome)(uint64_t number, bool done, struct cw_buf *key,
                         struct cw_buf *value);
};

#endif
