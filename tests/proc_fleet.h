/* A fleet of real processes for tests: the platform and endpoint stand-ins,
 * daemons, documents and load. */
#ifndef PROC_FLEET_H
#define PROC_FLEET_H

#include "proc.h"

#define PROC_FLEET_DAEMONS_MAX 6
#define PROC_FLEET_VMS_MAX 16

struct proc_fleet_options {
    int services;         /* s1, s2, .. each with a pool of the same name */
    int vms;              /* per service */
    int dcs;              /* VMs and daemons are distributed over dc1 .. */
    int daemons;          /* d1, d2, .. */
    const char *settings; /* extra members, "" or ",\"key\":value" */
    const char *document; /* extra members of each document, likewise */
};

struct proc_fleet_vm {
    char name[32]; /* s1-v1 .. */
    int port;
    int control_port;
};

struct proc_fleet {
    struct proc_env env;
    struct proc_fleet_options options;
    struct proc *platform;
    struct proc *endpoints;
    struct proc *daemons[PROC_FLEET_DAEMONS_MAX];
    struct proc_fleet_vm vms[PROC_FLEET_VMS_MAX];
    int vm_count;
    uint64_t record_seq;
};

/* Starts all processes, puts a document per service and waits until every
 * daemon can serve every service; false when that does not happen in time. */
bool proc_fleet_start(struct proc_fleet *f,
                      const struct proc_fleet_options *options);
void proc_fleet_finish(struct proc_fleet *f, bool print_logs);

/* Starts or restarts a daemon at its reserved addresses. */
void proc_fleet_start_daemon(struct proc_fleet *f, int index);
bool proc_fleet_wait_ready(struct proc_fleet *f, int index);
/* Waits until the daemons in the mask together hold all slots of all VMs, and
 * each of them sees all endpoints ready. */
bool proc_fleet_wait_slots(struct proc_fleet *f, unsigned daemon_mask);
/* Writes a daemon's settings file, which its next start reads. */
void proc_fleet_write_settings(struct proc_fleet *f, int index,
                               const char *extra);

/* Appends a document edit based on a version; returns its offset, which is
 * the new version, or 0 when the append failed. */
uint64_t proc_fleet_put_document(struct proc_fleet *f, int service,
                                 uint64_t base, const char *extra);
/* The version of a service's document at a daemon; -1 when it has none. */
int64_t proc_fleet_document_version(struct proc_fleet *f, int daemon,
                                    int service);
bool proc_fleet_wait_version(struct proc_fleet *f, int daemon, int service,
                             uint64_t version);

/* Sets a fault of the platform, or of one endpoint; false when it was not
 * accepted. */
bool proc_fleet_set_fault(struct proc_fleet *f, const char *body);
bool proc_fleet_set_endpoint_fault(struct proc_fleet *f, int vm,
                                   const char *body);
/* POSTs to an endpoint's control port. */
bool proc_fleet_call_control(struct proc_fleet *f, int vm, const char *path,
                             const char *body);
/* A counter of an endpoint's /status; -1 when it does not answer. */
int64_t proc_fleet_counter(struct proc_fleet *f, int vm, const char *key);
/* The maximum of a counter over all endpoints. */
int64_t proc_fleet_counter_max(struct proc_fleet *f, const char *key);
/* How often all endpoints together ran the request with the token. */
int64_t proc_fleet_run_count(struct proc_fleet *f, const char *token);

/* Starts standin-load against the daemons in the mask. extra holds further
 * options and ends with NULL. */
struct proc *proc_fleet_start_load(struct proc_fleet *f, const char *name,
                                   unsigned daemon_mask, const char *services,
                                   const char *const extra[]);
int64_t proc_fleet_load_value(const struct proc_fleet *f,
                              const struct proc *load, const char *name);

/* An integer of a daemon's /status; -1 when it does not answer. */
int64_t proc_fleet_status_number(struct proc_fleet *f, int daemon,
                                 const char *key);
/* True when the observing daemon lists the other one as a member. */
bool proc_fleet_is_member(struct proc_fleet *f, int observer,
                          const char *daemon);
bool proc_fleet_wait_member(struct proc_fleet *f, int observer,
                            const char *daemon, bool expected);

#endif
