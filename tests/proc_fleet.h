/* A fleet of real processes for tests: the platform and endpoint stand-ins,
 * daemons, documents and load. */
#ifndef PROC_FLEET_H
#define PROC_FLEET_H

#include "proc.h"

#define PROC_FLEET_DAEMONS_MAX 6
#define PROC_FLEET_VMS_MAX 16

struct proc_fleet_options {
    int services;         /* named s1, s2, .. each with the pool of its name */
    int vms;              /* of each service */
    int dcs;              /* VMs and daemons take turns over dc1 .. */
    int daemons;          /* named d1, d2, .. */
    const char *settings; /* extra members, "" or ",\"key\":value" */
    const char *document; /* extra members of each document, likewise */
};

struct proc_fleet_vm {
    char name[32]; /* s1-v1 .. */
    int port;
    int control;
};

struct proc_fleet {
    struct proc_env env;
    struct proc_fleet_options o;
    struct proc *platform;
    struct proc *endpoints;
    struct proc *daemons[PROC_FLEET_DAEMONS_MAX];
    struct proc_fleet_vm vms[PROC_FLEET_VMS_MAX];
    int vm_count;
    uint64_t record_seq;
};

/* Starts everything and waits until every daemon can serve every service.
 * Returns false when it does not come up. */
bool proc_fleet_start(struct proc_fleet *f,
                      const struct proc_fleet_options *o);
void proc_fleet_finish(struct proc_fleet *f, bool keep_logs);

/* Starts a daemon, again after its end, under the same addresses. */
void proc_fleet_start_daemon(struct proc_fleet *f, int index);
bool proc_fleet_wait_ready(struct proc_fleet *f, int index);
/* Waits until the daemons in the mask hold all slots of all VMs together and
 * each sees all endpoints ready. */
bool proc_fleet_wait_slots(struct proc_fleet *f, unsigned daemon_mask);
/* The settings of a daemon may be changed for its next start. */
void proc_fleet_write_settings(struct proc_fleet *f, int index,
                               const char *extra);

/* Appends a document record; returns its offset, 0 when that failed. */
uint64_t proc_fleet_put_document(struct proc_fleet *f, int service,
                                 uint64_t base, const char *extra);
/* The version of a service's document at a daemon; -1 when it has none. */
int64_t proc_fleet_version(struct proc_fleet *f, int daemon, int service);
bool proc_fleet_wait_version(struct proc_fleet *f, int daemon, int service,
                             uint64_t version);

/* Sets a fault of the platform, or of one endpoint (NULL mode = none). */
bool proc_fleet_fault(struct proc_fleet *f, const char *body);
bool proc_fleet_endpoint_fault(struct proc_fleet *f, int vm, const char *body);
bool proc_fleet_control(struct proc_fleet *f, int vm, const char *path,
                        const char *body);
int64_t proc_fleet_counter(struct proc_fleet *f, int vm, const char *key);
/* The highest value of a counter over all endpoints. */
int64_t proc_fleet_counter_max(struct proc_fleet *f, const char *key);
/* Runs of one request token over all endpoints. */
int64_t proc_fleet_runs(struct proc_fleet *f, const char *token);

/* Starts standin-load against the daemons in the mask. extra ends with NULL
 * and may add options. */
struct proc *proc_fleet_load(struct proc_fleet *f, const char *name,
                             unsigned daemon_mask, const char *services,
                             const char *const extra[]);
int64_t proc_fleet_load_value(const struct proc_fleet *f,
                              const struct proc *load, const char *name);

/* A number of a daemon's /status; -1 when it does not answer. */
int64_t proc_fleet_status(struct proc_fleet *f, int daemon, const char *key);
bool proc_fleet_is_member(struct proc_fleet *f, int asked, const char *daemon);
bool proc_fleet_wait_member(struct proc_fleet *f, int asked,
                            const char *daemon, bool member);

#endif
