/* The platform stand-in: log service, VM list, pool control and worker
 * control in one process. Each has a file of its own. */
#ifndef STANDIN_PLATFORM_H
#define STANDIN_PLATFORM_H

#include "client.h"
#include "http.h"

/* Fault modes of a service. */
enum plat_mode {
    PLAT_UP,
    PLAT_DOWN, /* 503: nothing takes effect */
    PLAT_SLOW, /* each answer is delayed by slow_ms */
    PLAT_LOSE, /* the next lose_calls changes take effect, without an answer */
};

struct plat_fault {
    enum plat_mode mode;
    uint32_t lose_calls;
    uint64_t slow_ms;
};

/* ---- log ---- */

struct plat_record {
    char *data; /* JSON text */
    cw_ms time;
};

struct plat_stream {
    struct cw_name name;
    uint64_t first; /* offset of records[0] */
    size_t count;
    size_t cap;
    struct plat_record *records;
    struct plat_stream *next;
};

struct plat_log {
    struct plat_stream *streams;
    struct plat_waiting_read *waiting_reads; /* long polls */
    struct plat_fault fault;
    uint64_t retention_records; /* 0 = unlimited */
    cw_ms retention_ms;
    uint64_t appends;
};

/* ---- VMs: list and pool control ---- */

enum plat_vm_state { VM_READY, VM_DRAINING, VM_REBOOTING };

/* The answer to a pool call, sent again when the same op repeats the call. */
struct plat_op {
    char op[64];
    char call[12];
    char state[12];
    struct plat_op *next;
};

struct plat_vm {
    struct cw_name vm;
    struct cw_name pool;
    struct cw_name dc;
    struct cw_name rack;
    struct cw_name address;
    struct sockaddr_in control;
    bool has_control;
    uint64_t incarnation;
    enum plat_vm_state state;
    uint64_t fence;
    struct plat_op *ops;
    struct client_pool client;
    uv_timer_t timer; /* end of a reboot */
    struct platform *plat;
};

/* One state of a VM in the history of the VM list. */
struct plat_vm_event {
    uint64_t version;
    cw_ms time;
    size_t vm; /* index in items */
    uint64_t incarnation;
    struct cw_name pool;
    const char *state;
};

struct plat_vms {
    size_t count;
    struct plat_vm *items;
    size_t event_count;
    size_t event_cap;
    struct plat_vm_event *events;
    struct plat_fault list_fault;
    struct plat_fault pool_fault;
    cw_ms lag_ms; /* age of the list that is shown */
    cw_ms reboot_ms;
    bool ignore_fences;
    /* Violations: calls that a correct caller never makes. */
    uint64_t two_pools;
    uint64_t reboot_in_flight;
    uint64_t reboot_undrained;
    /* Other counters. */
    uint64_t fenced; /* calls refused for their fence: not a violation */
    uint64_t reboots;
    uint64_t assigns;
};

/* ---- workers ---- */

struct plat_task {
    struct cw_name task;
    uint64_t fence;
    const char *state;
    uint32_t cpu_milli; /* declared */
    uint32_t memory_mb;
    uint32_t accelerators;
    cw_ms ends; /* end of the run */
    cw_ms lease_until;
    bool throttled;
    struct plat_task *next;
};

struct plat_worker {
    struct cw_name worker;
    struct cw_name dc;
    struct cw_name rack;
    uint32_t cpu_milli;
    uint32_t memory_mb;
    uint32_t accelerators;
    bool fails; /* fails every task that it starts */
    struct plat_task *tasks;
    struct plat_fence *fences; /* highest fence seen for each task */
    cw_ms dirty_at;            /* first change since the report, 0 = none */
    uint64_t version;          /* of the published report */
    char *report;              /* JSON text, published with a lag */
};

struct plat_workers {
    size_t count;
    struct plat_worker *items;
    struct plat_fault fault;
    cw_ms lag_ms;      /* delay of the reports */
    double use_factor; /* measured use / declared size */
    double run_factor; /* real run time / declared run time */
    uint64_t version;
    uv_timer_t timer;
    uint64_t task_twice;
    uint64_t starts;
    uint64_t expired;
    uint64_t done;
    uint64_t fenced;
};

struct platform {
    uv_loop_t *loop;
    struct cw_clock clock;
    struct plat_log log;
    struct plat_vms vms;
    struct plat_workers workers;
};

/* Each answers the request and returns true when the path is its own. */
bool plat_log_handle(struct platform *p, h2o_req_t *req);
bool plat_vms_handle(struct platform *p, h2o_req_t *req);
bool plat_pools_handle(struct platform *p, h2o_req_t *req);
bool plat_workers_handle(struct platform *p, h2o_req_t *req);

bool plat_vms_load(struct platform *p, const json_t *fleet);
bool plat_workers_load(struct platform *p, const json_t *fleet);

/* Adds the current state of a VM to the list's history. */
void plat_vms_publish(struct platform *p, struct plat_vm *vm);
struct plat_vm *plat_vm_find(struct platform *p, struct cw_str name);

/* Sets the fault mode with the name in mode, and its parameters from body. A
 * NULL mode changes nothing. Returns false when the name is unknown. */
bool plat_fault_set(struct plat_fault *f, const json_t *mode,
                    const json_t *body);
/* Answers a call under its service's fault: delays the answer in PLAT_SLOW;
 * closes the connection without one in PLAT_LOSE when effect is true, which
 * means that the call changed something. Releases value. */
void plat_reply(struct platform *p, struct plat_fault *f, h2o_req_t *req,
                bool effect, int status, json_t *value);
/* Answers 503 and returns true while the service is down. */
bool plat_reply_if_down(const struct plat_fault *f, h2o_req_t *req);

/* Answers the long polls that have records, or all when the log is down. */
void plat_log_wake_reads(struct platform *p);
/* Drops the records beyond the retention. */
void plat_log_trim(struct platform *p);

#endif
