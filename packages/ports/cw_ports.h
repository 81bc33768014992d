/* Ports: the external services that the daemon calls, each as a struct of
 * callbacks with a context pointer. cw_clients.h implements them over the
 * platform's HTTP interface; tests implement them in memory.
 *
 * All calls are asynchronous. done is called exactly once, from the event
 * loop and never before the call has returned. Its status is one of:
 *   CW_OK              the call was answered,
 *   CW_ERR_UNAVAILABLE nothing took effect (connect failed or refused),
 *   CW_ERR_UNKNOWN     sent, no usable answer: may have taken effect,
 *   CW_ERR_FENCED      rejected: the receiver has seen a higher fence,
 *   CW_ERR_INVALID     rejected because of its content.
 * The callee copies the strings passed in; those passed to done are valid
 * until it returns.
 */
#ifndef CW_PORTS_H
#define CW_PORTS_H

#include "cuminwalk.h"

/* Calls and bytes of a client since its start. Counts HTTP heads and bodies,
 * not the headers of TCP and IP. */
struct cw_traffic {
    uint64_t calls;
    uint64_t bytes_out;
    uint64_t bytes_in;
};

/* ---- log service ---------------------------------------------------- */

struct cw_log_item {
    uint64_t offset;
    cw_ms time;         /* wall clock of the log service */
    struct cw_str data; /* JSON object */
};

struct cw_log_batch {
    uint64_t first; /* lowest offset still retained */
    uint64_t next;  /* offset to read from next */
    cw_ms retention_ms;
    size_t count;
    const struct cw_log_item *items;
};

struct cw_log_port {
    void *ctx;
    /* Appends records (a JSON array) to a stream; done gets the offset of the
     * first one. */
    void (*append)(void *ctx, const char *stream, struct cw_str records,
                   void (*done)(void *arg, enum cw_status s, uint64_t first),
                   void *arg);
    /* Reads from an offset; waits up to wait_ms for a record. CW_ERR_NOT_FOUND
     * when from is no longer retained; batch->first is then the lowest offset
     * that is. */
    void (*read)(void *ctx, const char *stream, uint64_t from, uint32_t max,
                 cw_ms wait_ms,
                 void (*done)(void *arg, enum cw_status s,
                              const struct cw_log_batch *batch),
                 void *arg);
};

/* ---- VM list -------------------------------------------------------- */

enum cw_vm_state { CW_VM_LIVE, CW_VM_LEAVING, CW_VM_GONE };

struct cw_vm_info {
    struct cw_name vm;
    uint64_t incarnation;
    struct cw_name pool;
    struct cw_name dc;
    struct cw_name rack;
    struct cw_name address;
    enum cw_vm_state state;
};

struct cw_vmlist_port {
    void *ctx;
    /* Lists the VMs that changed since a version; 0 lists all. */
    void (*get)(void *ctx, uint64_t since,
                void (*done)(void *arg, enum cw_status s, uint64_t version,
                             size_t count, const struct cw_vm_info *vms),
                void *arg);
};

/* ---- pool control --------------------------------------------------- */

enum cw_pool_call {
    CW_POOL_DRAIN,
    CW_POOL_UNDRAIN,
    CW_POOL_REBOOT,
    CW_POOL_ASSIGN,
};

enum cw_pool_vm_state {
    CW_POOL_READY,
    CW_POOL_DRAINING,
    CW_POOL_DRAINED,
    CW_POOL_REBOOTING,
};

struct cw_pool_vm {
    struct cw_name pool;
    uint64_t incarnation;
    enum cw_pool_vm_state state;
    uint32_t in_flight;
    uint64_t fence;
};

struct cw_pool_port {
    void *ctx;
    /* pool is the new pool of CW_POOL_ASSIGN; the other calls ignore it, and
     * it may be NULL. */
    void (*call)(void *ctx, enum cw_pool_call what, const char *vm,
                 const char *op, uint64_t fence, const char *pool,
                 void (*done)(void *arg, enum cw_status s), void *arg);
    void (*get_status)(void *ctx, const char *vm,
                       void (*done)(void *arg, enum cw_status s,
                                    const struct cw_pool_vm *vm),
                       void *arg);
};

/* ---- worker control ------------------------------------------------- */

enum cw_task_state {
    CW_TASK_RUNNING,
    CW_TASK_DONE,
    CW_TASK_FAILED,
    CW_TASK_CHECKPOINTED,
};

struct cw_task_report {
    struct cw_name task;
    uint64_t fence;
    enum cw_task_state state;
    uint32_t cpu_milli; /* measured */
    uint32_t memory_mb; /* measured */
};

struct cw_worker_report {
    struct cw_name worker;
    struct cw_name rack;
    struct cw_name dc;
    uint32_t cpu_milli; /* capacity of the worker */
    uint32_t memory_mb;
    uint32_t accelerators;
    size_t task_count;
    const struct cw_task_report *tasks;
};

enum cw_worker_call {
    CW_WORKER_START,
    CW_WORKER_CHECKPOINT,
    CW_WORKER_THROTTLE,
    CW_WORKER_STOP,
    CW_WORKER_RENEW,
};

/* Arguments of a worker call. Only CW_WORKER_START uses the resources and
 * run_ms. */
struct cw_task_order {
    const char *worker;
    const char *task;
    uint64_t fence;
    cw_ms lease_ms;
    uint32_t cpu_milli;
    uint32_t memory_mb;
    uint32_t accelerators;
    cw_ms run_ms;
};

struct cw_worker_port {
    void *ctx;
    /* Lists the reports of one cell's workers that changed since a version; 0
     * lists all. */
    void (*get_reports)(void *ctx, uint32_t cell, uint32_t cells,
                        uint64_t since,
                        void (*done)(void *arg, enum cw_status s,
                                     uint64_t version, size_t count,
                                     const struct cw_worker_report *reports),
                        void *arg);
    void (*call)(void *ctx, enum cw_worker_call what,
                 const struct cw_task_order *order,
                 void (*done)(void *arg, enum cw_status s), void *arg);
};

#endif
