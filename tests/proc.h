/* Starts and stops real processes for tests: stand-ins and daemons on free
 * loopback ports, with generated settings in a temporary folder. Whatever a
 * test started is ended by proc_env_finish, and by the kernel when the test
 * program itself dies. */
#ifndef PROC_H
#define PROC_H

#include "cuminwalk.h"

#include <jansson.h>
#include <sys/types.h>

#define PROC_MAX 32
#define PROC_NAME_MAX 32

/* Longest wait for an event. Generous, because the machine may be busy: a
 * test passes as soon as the event is there. */
#define PROC_LIMIT_MS 30000

struct proc {
    char name[PROC_NAME_MAX];
    pid_t pid; /* 0 = not running */
    int port;  /* callers, or the stand-in's only port */
    int peer_port;
    int admin_port;
};

struct proc_env {
    char dir[64];
    size_t count;
    struct proc items[PROC_MAX];
    int platform_port;
};

struct proc_answer {
    int status;    /* 0: no complete head */
    bool complete; /* the whole body as announced */
    size_t head_len;
    struct cw_buf text; /* head and decoded body */
};

/* Makes the folder. */
void proc_env_init(struct proc_env *e);
/* Ends all processes and removes the folder. With keep_logs, prints the last
 * lines of each process's log first. */
void proc_env_finish(struct proc_env *e, bool keep_logs);

/* A free port outside the range that the kernel gives to clients. */
int proc_free_port(void);
/* The path of a built program, from the environment variable BUILD. */
const char *proc_program(const char *name, char buf[256]);

/* Starts a program; its output goes to <name>.log in the folder. argv ends
 * with NULL and argv[0] is the program's name in the build folder. */
struct proc *proc_start(struct proc_env *e, const char *name,
                        const char *const argv[]);
/* Waits for the end of a process and returns its exit status, or -1 when it
 * was ended by a signal or the limit passed. */
int proc_wait(struct proc *p, int limit_ms);
/* Sends a signal by pid; SIGKILL also waits for the end. */
void proc_signal(struct proc *p, int sig);
bool proc_running(struct proc *p);
/* The text of a process's log; the caller frees it. */
char *proc_log(const struct proc_env *e, const struct proc *p);
/* The value of name=value in a log of the load client; -1 if missing. */
int64_t proc_log_value(const struct proc_env *e, const struct proc *p,
                       const char *name);

/* Writes a file into the folder and returns its path in buf. */
const char *proc_write(struct proc_env *e, const char *name, const char *text,
                       char buf[160]);

/* One blocking HTTP call on a connection of its own. headers is "" or lines
 * that end with \r\n. Returns true when a complete answer arrived. The caller
 * releases the answer. */
bool proc_http(int port, const char *method, const char *path,
               const char *headers, const char *body, int limit_ms,
               struct proc_answer *a);
void proc_answer_finish(struct proc_answer *a);
struct cw_str proc_body(const struct proc_answer *a);
/* The value of a header; empty when missing. */
struct cw_str proc_header(const struct proc_answer *a, const char *name);
/* GET or POST (with body) that has to be answered with JSON; NULL if not. */
json_t *proc_json(int port, const char *path, const char *body);
/* A number field of GET path; -1 when there is none. */
int64_t proc_json_number(int port, const char *path, const char *key);

/* Runs check every 20 ms until it returns true or the limit passes. */
bool proc_until(bool (*check)(void *arg), void *arg, int limit_ms);
/* Waits until GET path answers with the status. */
bool proc_wait_status(int port, const char *path, int status, int limit_ms);
void proc_sleep_ms(int ms);
int64_t proc_now_ms(void);

#endif
