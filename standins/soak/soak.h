/* A random, seeded run of the stand-ins of review/lib: faults in series and
 * overlapping, and checks that name the daemon behind each order. */
#ifndef SOAK_H
#define SOAK_H

#include "rig.h"

#include <stdint.h>

#define SOAK_DAEMONS 9  /* at most */
#define SOAK_RUNNERS 56 /* at most */
#define CANCEL_MS 3000
#define VISIBLE_MS 3000
#define STABLE_MS 3000

/* ---- random numbers, for one thread each ---- */

struct rng {
    uint64_t s;
};

uint64_t rng_next(struct rng *r);
/* lo to hi, both included */
long long rng_range(struct rng *r, long long lo, long long hi);
bool rng_chance(struct rng *r, int percent);

/* ---- faults, as text with times ---- */

struct fault_row {
    char text[120];
    long long from;
    long long to; /* 0: goes on */
    int daemon;   /* whose machine it puts out of touch; -1: none */
};

int fault_begin(int daemon, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/* One that has begun at a time; nobody's machine. */
int fault_begin_at(long long from, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void fault_end(int id);
/* Faults that were active in the time from..to; to the record. */
void fault_list(long long from, long long to);
bool daemon_in_touch(int daemon, long long at);
/* No fault began, lasted or ended in the time from..to. */
bool fault_calm(long long from, long long to);

/* ---- size ---- */

#define SITE_SERVICES 5 /* the last one is a spare pool */

/* SOAK_SITE=1: 6 daemons and 49 runners in five services; otherwise 4 and 10
 * in one. */
bool site_is_large(void);
int site_service_count(void);
const char *site_service(int service);
/* Path that the jobs of a service have, with a slash at its end. */
const char *site_prefix(int service);
bool site_is_spare(int service);
/* Runners at the begin. */
int site_runner_count(int service);
/* Of each runner, in thousandths. */
int site_cores(void);
/* Creates the runners; those of the spare pool are off. */
void site_runners_new(void);
/* The members routes and services of the configuration, with a comma at the
 * end. */
void site_config(char *out, size_t size);
/* The demand of a service is at its peak: in turn, for 3 s of 16 s. */
bool site_peak(int service, long long now);

/* ---- daemons ---- */

extern struct daemon *soak_d[SOAK_DAEMONS];
extern int soak_daemons; /* number, SOAK_N in the environment */

int daemon_index(const struct daemon *d);
/* The daemon and its life that used an epoch at a time; -1: unknown. */
int epoch_daemon(long long epoch, long long at, int *life);
/* As the platform does after a process has ended. */
void daemon_start_again(int i);
/* SIGTERM, the end, the start. */
void daemon_roll(int i);
/* Logs and starts processes that ended by themselves; returns how many. */
int daemon_reap(void);
/* Percent of a daemon's appends whose answers are lost or late. */
void daemon_append_faults(int i, int lost, int late);
void soak_wrap_daemon(int i);

/* One more, which starts. */
void daemon_add(void);
/* Adds the control of VMs to its settings. */
void daemon_set_vm_control(int i);

/* ---- store ---- */

/* Passes each record of a keyed topic to note, from the record *from on, which
 * moves on. */
void store_scan(const char *topic, size_t *from,
                void (*note)(const char *key, const char *value));
/* All partitions are assigned anew. */
void store_deal_again(void);

/* ---- runners ---- */

extern struct worker *soak_w[SOAK_RUNNERS];
extern int soak_runners; /* number */

/* Percent of start orders: answer lost, carried out late, answered late. */
void worker_start_faults(int i, int lost, int exec_late, int answer_late);
/* The store drops its entry, as while it is down; the runner lives. */
void worker_entry_removed(int i);
void soak_wrap_worker(int i);
/* No call arrives or is answered, no connection is reset, its entry expires;
 * connects: new connections are established. Nothing changes for a runner that
 * is down or cut. */
void worker_dark(int i, bool connects);
void worker_dark_end(int i);
bool worker_is_dark(int i);
/* Runs there that last, and members of gangs that wait. */
int worker_lasting(int i);
/* Begin of its newest run; 0: none. */
long long worker_newest_start(int i);
int worker_index(const struct worker *w);
/* The machine is off: no process, no entry. */
void worker_off(int i);
/* All that it starts fails soon. */
void worker_fails(int i, bool on);
/* A task of the job, or its gang, has failed as often as it may. */
bool job_may_have_failed(const char *id, bool gang);
const char *worker_machine(int i);
bool worker_is_up(int i);
/* A move or an upkeep of its machine: all that runs there ends, the process is
 * gone. Its entry is dropped at once or after its silence. */
void worker_leave(int i, bool dropped);
/* A new runner on the machine, with a new id; none if it is off. */
void worker_join(int i, const char *service, bool off, bool same_address);
/* Ends the run when an array of a stand-in is nearly full. */
void worker_check_arrays(void);
/* Gangs work from the time when all their members have begun. */
void gangs_start(void);

/* A runner at one moment. */
struct worker_look {
    int service; /* -1: it is down, cut, dark or away */
    int cpu;     /* in thousandths */
    int used;    /* by all runs there */
};
/* Of each runner. */
void workers_look(struct worker_look *out);

struct start_row {
    int exec;       /* index of the run that it began; -1: none */
    bool late;      /* carried out late by the stand-in */
    long long sent; /* arrival at the runner */
    char task[64];
    char spec[80];
    char checkpoint[64];
    long long fence;
};

int start_count(void);
struct start_row start_get(int i);

/* ---- control of VMs ---- */

enum vm_fault {
    VM_FAULT_SLOW,
    VM_FAULT_LATE, /* half of the orders: 2 to 12 s later, not answered */
    VM_FAULT_SILENT,
    VM_FAULT_BUSY,
    VM_MODES
};

void vms_start(void);
int vms_port(void);
void vms_fault(enum vm_fault f, bool on);
/* Orders the maintenance of a share of the machines. */
void vms_wave(struct rng *r);
/* A machine is added; up to a second later its maintenance is due. */
void vms_add(struct rng *r);
/* Number of waves that were said to be succeeded although a machine of theirs
 * had not begun its maintenance (MIXED); each is recorded. */
int vms_check(void);
/* The service whose pool a machine belongs to. */
int vms_service(int i);

/* ---- clients ---- */

struct job_row {
    char id[20];
    char spec[80];
    int tenant;
    int service;
    int cpu;   /* of each task */
    int count; /* tasks of a step */
    int steps; /* 1 or 2; the second one is after the first */
    bool gang;
    bool lasting;
    long long accepted;  /* 2xx; 0: not */
    long long cancelled; /* 2xx or 410 to its DELETE; 0: not */
    long long cancel_sent;
    int cancel_status;
    long long shown; /* as succeeded; 0: not */
    char shown_state[16];
};

/* Connections that one client keeps open, to each daemon; 0: none. */
#define KEPT_TIMEOUT_MS 2500
struct kept {
    int fd[SOAK_DAEMONS];
};

int kept_call(struct kept *k, int i, const char *method, const char *path,
              const char *body, char *out, size_t size);

/* One lasting job for each queue that nobody cancels. */
void clients_submit_lasting(void);
/* One more, with tasks of three tenths of a runner. */
void clients_submit_wide_lasting(int count);
/* Longest pause of the clients in ms, unless SOAK_PAUSE is set. */
void clients_set_pause(long long ms);
void clients_start(uint64_t seed);
/* Clients end their present jobs. */
void clients_stop(void);
void clients_join(void);
/* Asks a daemon for a job with WITHDRAWN_KEY. */
void client_ask_withdrawn(struct rng *r, struct daemon *d);
int job_count(void);
struct job_row job_get(int i);
/* -1: no such job */
int job_find(const char *task);

/* ---- tenants ---- */

enum { TENANT_WIDE, TENANT_SMALL, TENANTS };

/* Processor quota of TENANT_SMALL, and the rule's allowance in percent. */
#define SMALL_CPU 3000
#define OVERAGE_PERCENT 10
#define REVOKE_MS 5000 /* as in the daemons' settings */
/* Of TENANT_SMALL, until it is withdrawn. */
#define WITHDRAWN_KEY "small-2"
#define UNKNOWN_KEY "unknown-1"

const char *tenant_key(int tenant);
/* Stores a configuration with the tenants, with or without WITHDRAWN_KEY. */
void tenants_put(bool withdrawn);
/* The same with the newest routes. */
void tenants_put_again(void);
/* Time of the store's answer to the version without it; 0: not yet. */
long long tenants_withdrawn_at(void);
/* Files the answer to a call with a key that is not valid when it is sent. */
void tenants_note(const char *key, long long sent, int status);
/* Each violation to the record; the number of them. */
int tenants_check(const struct exec_row *runs, int count);

/* ---- CONFIG by time ---- */

/* A change is in force at daemons in touch this long after it was stored: the
 * size to design for, 8 s. */
#define CONFIG_MS 8000

/* Puts a link of 10 Mbit/s between a daemon and the store. Before its start;
 * nothing without config_start. */
void config_slow_link(const char *daemon);
/* Routes come and go from now on, some thousand of them. */
void config_use(void);
void config_start(uint64_t seed);
void config_stop(void);
/* Number of changes so far. */
int config_round(void);
/* The routes of the newest one, each with a comma; to be freed. */
char *config_routes(void);
/* Violations; each is in the record. */
int config_check(void);
void store_put_large(const char *topic, const char *key, const char *value);

/* ---- LOST by time ---- */

#define FINISH_MS 14000 /* finish_s */
#define IDLE_MS 3000    /* nothing may be lost for so long */

/* Looks at the runners 10 times a second from now on. */
void lost_watch(void);
/* Asks for all jobs FINISH_MS after the clients have stopped, and watches for
 * IDLE_MS more. Returns the number of violations; each is recorded. */
int lost_ask(long long stopped);
/* The bounds in time, over all looks. */
int lost_check(const struct exec_row *runs, int count);
/* Jobs that had not succeeded when lost_ask had asked. */
int lost_unfinished(void);

/* ---- checks ---- */

/* Each violation to the record; the number of them. */
int soak_check(void);
/* Jobs that no machine can run have to be queued, with a reason. */
int work_check(void);

/* ---- schedule of faults ---- */

void faults_run(uint64_t seed, const char *kinds, long long until);
/* Some time without faults, then the end of the scheduler's process; with the
 * kind dark, a series of losses before or after it, by the seed. */
void faults_last(uint64_t seed, const char *kinds);
/* A process has one fault of some kinds at a time. False: it has one. */
bool daemon_claim(int i);
void daemon_release(int i);
bool worker_claim(int i);
void worker_release(int i);

/* Faults of a site. */
enum {
    SITE_WAVE,
    SITE_VMSLOW,
    SITE_VMLATE,
    SITE_VMSILENT,
    SITE_VMBUSY,
    SITE_ADDD,
    SITE_HERD,
    SITE_HERDW,
    SITE_QUIET,
    SITE_KINDS
};
const char *site_kind_name(int kind);
void site_fault(struct rng *r, int kind);

#endif
