/* Stand-ins for the cases of the second review: the platform's store, runners
 * and clients, all in one process, and the daemons as child processes. They
 * follow PROTOCOL.md; faults are switched on by a case.
 *
 * One thread serves all sockets of the stand-ins. The scenario runs in the
 * main thread and takes rig_lock to look at them. */
#ifndef RIG2_H
#define RIG2_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

typedef long long ms_t;

extern pthread_mutex_t rig_lock;

ms_t now_ms(void);  /* steady clock */
ms_t wall_ms(void); /* time of day */
void sleep_ms(ms_t ms);

/* ---- the record and the end of a case ---- */

void rec(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/* Ends all processes, writes the last line of the record and exits. */
void rig_exit(int code, const char *fmt, ...)
    __attribute__((noreturn, format(printf, 2, 3)));
/* folder: of record.txt; seconds: after that the case ends with 2. */
void rig_begin(const char *folder, int seconds);
bool trouble(void); /* false with TROUBLE=0 */

/* ---- HTTP ---- */

struct conn;
struct req {
    struct conn *conn;
    unsigned serial; /* of the request on its connection */
    char method[8];
    char path[1024];
    const char *head;
    const char *body;
    size_t body_len;
};
typedef void (*serve_fn)(void *ctx, struct req *r);

/* Listens on a free port of 127.0.0.1 and returns it. */
int serve(serve_fn fn, void *ctx);
void serve_stop(int port); /* closes the port and its connections, resets */
/* Sends an answer now, or at a time; r may be a copy. */
void answer(const struct req *r, int status, const char *body, size_t len,
            ms_t at);
void answer_json(const struct req *r, int status, json_t *o, ms_t at);
/* The connection ends with the answer, which says so. */
void close_after(const struct req *r);
/* Closes the connection of a request without an answer. */
void answer_none(const struct req *r);
long long param(const struct req *r, const char *name, long long otherwise);
bool param_text(const struct req *r, const char *name, char *out, size_t max);
bool header(const struct req *r, const char *name, char *out, size_t max);
/* Calls fn with the lock held at a time. */
void later(ms_t at, void (*fn)(void *arg), void *arg);
void serve_start(void); /* starts the thread */

/* ---- store ---- */

extern int store_port;
#define STORE_RECORD_BYTES 262144
#define STORE_CALL_BYTES 2097152
void store_begin(void);
void store_put(const char *topic, const char *key, const char *value);
/* The value of a key, or NULL; the caller frees it. */
char *store_get(const char *topic, const char *key);
extern long long store_appends;       /* of jobs, stored */
extern long long store_refused_sizes; /* calls beyond recordBytes/callBytes */
extern long long store_refused_bytes; /* size of the largest record in them */

/* ---- runners ---- */

struct run {
    struct run *next;
    char task[64]; /* ID.K.STEP.INDEX */
    char job[20];
    unsigned k, step, index, run;
    ms_t started;   /* order carried out */
    ms_t work_from; /* 0: waits for its gang */
    ms_t work_ms;
    ms_t done_ms; /* work at the checkpoint that it was started from */
    ms_t stop_at; /* 0: is not being stopped */
    ms_t fail_at; /* 0: does not fail early */
    ms_t saved_at;
    char saved[24];
    long cpu, mem, gpu;
    bool lasts, gang, saves;
    unsigned gang_size;
    int log; /* index in run_log */
};

struct end_row {
    long long n;
    char task[64];
    unsigned run;
    const char *how;
    char saved[24];
};

struct runner {
    char id[32], service[32], machine[32], kind[16], rack[16];
    int port;
    ms_t clock_base, born;
    long cpu, mem, gpu;
    long long fence, until, sequence, end_n, acked;
    struct run *runs;
    struct end_row *ends;
    size_t end_count, end_cap;
    struct {
        char task[64];
        unsigned run;
    } * barred;
    size_t barred_count, barred_cap;
    bool up, draining;
    ms_t beat_at;
    struct req holds[8]; /* calls that wait for an end .. */
    ms_t hold_until[8];  /* .. until then; 0: none */
    /* Faults and habits. */
    bool fails_all;   /* all that it starts ends failed .. */
    ms_t fails_after; /* .. after this long */
    ms_t stop_ms;     /* it takes so long to stop a task (stopMs at most) */
    bool closes;      /* closes each connection after its answer */
    bool stop_waits;  /* and answers the call when the task has stopped */
};

/* One line for each run, for the checks. */
struct run_log {
    char task[64], job[20];
    unsigned step, index, run;
    struct runner *at;
    ms_t started, ended; /* 0: not ended */
    const char *how;
    char given[24]; /* lastCheckpoint of the start */
    char saved[24]; /* when it ended */
};
extern struct run_log *run_log;
extern int run_log_count;

#define RUNNERS_MAX 512
extern struct runner *runners[RUNNERS_MAX];
extern int runner_count;
struct runner *runner_add(const char *service, const char *kind,
                          const char *rack, long cpu, long mem);
/* It has just begun, on a new machine (NULL) or on one that was there. */
struct runner *runner_join(const char *service, const char *kind,
                           const char *rack, long cpu, long mem,
                           const char *machine);
/* Its process ends: all that runs there ends, its port is closed, and its
 * entry goes after three heartbeats. */
void runner_crash(struct runner *w);
/* Tells the stand-ins what a client is about to submit. */
void job_register(const char *id, const char *body);

/* ---- the machines' control ---- */

#define MACHINES_MAX 64
struct machine {
    char name[32], pool[32], kind[16], rack[16];
    long cpu, mem;
    struct runner *runner; /* NULL: off, or it moves */
    const char *state;
    long long wave; /* of its last upkeep, 0: none has begun */
    long long fence;
};
extern struct machine machines[MACHINES_MAX];
extern int machine_count;
extern int cloud_lists; /* answered */
extern ms_t cloud_listed_at;
/* spare: the pool whose machines are off, or NULL. Before daemons_start. */
void cloud_begin(const char *spare);
struct machine *cloud_add(struct runner *w);
struct machine *cloud_add_off(const char *name, const char *kind,
                              const char *rack, long cpu, long mem);

/* ---- daemons ---- */

/* Where the daemons reach the machines' control (`cloudApi`); 0: it is not in
 * their settings. Set before daemons_start. */
extern int cloud_port;

struct daemon {
    char name[32];
    int front, ready, peers, metrics;
    pid_t pid;
    char settings[300], log[300];
};
extern struct daemon daemons[8];
extern int daemon_count;
void daemons_start(int n); /* of which each waits for a configuration */
void daemon_start(struct daemon *d);
void daemon_signal(struct daemon *d, int sig);
/* Waits until all are ready; ends the case with 2 otherwise. */
void daemons_ready(ms_t limit);

/* ---- the operator ---- */

void config_service(const char *name, bool guards, bool spare);
void config_queue(const char *name, const char *prefix, const char *service,
                  int priority, int attempts);
void config_put(int version);

/* ---- clients ---- */

#define HOST "pitch.example"
/* A call to a daemon's front. Returns the status, 0: no whole answer. body_out
 * may be NULL. */
int call_front(struct daemon *d, const char *method, const char *path,
               const char *body, ms_t timeout, char *body_out, size_t max);
/* Submits with tries at one daemon after the other until it is accepted, as
 * the page's clients do; returns the last status. */
int submit(const char *prefix, const char *id, const char *body, ms_t limit);
int cancel(const char *prefix, const char *id, ms_t limit);
/* The job's state, "" without an answer, "410". */
const char *state_of(const char *prefix, const char *id, ms_t limit);
void new_id(char out[17]);
#endif
