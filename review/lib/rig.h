/* Stand-ins for the platform's store, runners and clients, in one process on
 * loopback addresses, and the processes of cuminwalkd that they serve. */
#ifndef RIG_H
#define RIG_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

#define MAX_HOLD_MS 10000
#define STOP_MS 100
#define HEARTBEAT_MS 1500
#define START_DELAY_MS 300 /* the platform starts an ended process again */

long long now_ms(void); /* steady, 0 at rig_init */
long long wall_ms(void);
void sleep_ms(long long ms);
void sleep_until(long long at);

/* One line of record.txt. */
void rec(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/* argv[1] is the folder of the case. */
void rig_init(int argc, char **argv);
/* False with TROUBLE=0. */
bool rig_trouble(void);
/* Ends all processes and exits: 1 if broken, 0 if held, 2 if it couldn't run. */
void rig_exit(int code, const char *fmt, ...)
    __attribute__((format(printf, 2, 3), noreturn));

/* ---- store ---- */

/* What a daemon sees of the store, of which each has a port of its own. */
enum link_mode { LINK_OK, LINK_SILENT, LINK_BUSY };

/* Writes a keyed record as an operator or a runner would. */
void store_put(const char *topic, const char *key, const char *value);

/* ---- runners ---- */

struct worker;
/* One service, one machine each. A task's spec is "d=MS c=CPU": its duration
 * (0: it lasts) and its thousandths of a core. */
struct worker *worker_new(const char *service, int cpu);
const char *worker_id(const struct worker *w);
void worker_crash(struct worker *w);
/* A new life under the same id, at the same address. */
void worker_restart(struct worker *w);
/* Requests with this fencing token or a higher one do not arrive: a cut
 * between the runner and the daemons that use such tokens. 0: no cut. */
void worker_cut_from(struct worker *w, long long fence);
/* A cut between the runner and everything, the store too, that resets and
 * refuses connections; the runner runs on. */
void worker_cut(struct worker *w, bool cut);
/* Runs at work there now. */
int worker_load(struct worker *w);
long long worker_fence(struct worker *w);

/* A run that a runner began. */
struct exec_row {
    char task[64];
    int run;
    const struct worker *worker;
    long long fence;
    long long began;
    long long ended; /* 0: at work */
    const char *how; /* done, failed, stopped, lapsed, crash */
    bool lapsed;     /* the runner's lease lapsed after the end, unacked */
    long long acked; /* its end was taken note of; 0: not */
};
/* Copies the runs of a task whose name begins with prefix; returns how many. */
int exec_find(const char *prefix, struct exec_row *out, int max);
/* Number of breaches of TWICE; each is recorded. */
int check_twice(void);

/* ---- daemons ---- */

struct daemon;
struct daemon *daemon_new(const char *name);
void daemon_start(struct daemon *d);
void daemon_signal(struct daemon *d, int signum);
/* SIGKILL; waits for the end. */
void daemon_kill(struct daemon *d);
bool daemon_ready(struct daemon *d);
void daemon_link(struct daemon *d, enum link_mode m);
bool daemon_wait_ready(struct daemon *d, long long timeout);
/* The daemon that owns part 0 of the group's topic, or NULL. */
struct daemon *store_owner(void);
bool wait_owner(struct daemon *d, long long timeout);
const char *daemon_name(const struct daemon *d);
/* Where clients connect. */
int daemon_front_port(const struct daemon *d);

/* ---- clients ---- */

/* The key that the calls of this thread carry; NULL: none. */
extern __thread const char *client_key;
/* HTTP status, or 0 for no answer in time. */
int call(struct daemon *d, const char *method, const char *path,
         const char *body, long long timeout, char *out, size_t size);
/* Submits a job of one step until it is accepted or the time is over, at the
 * daemons in turn; returns the last status. */
int submit(struct daemon **d, int n, const char *id, int count, int cpu,
           int ms, const char *more, long long timeout);
int get_state(struct daemon *d, const char *id, char *state, size_t size);

#define HOST "jobs.example"
#define PREFIX "/queue/"
#define SERVICE "svc"
void put_config(void);

#endif
