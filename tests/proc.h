/* Runs real processes for tests: stand-ins and daemons on free loopback
 * ports, with generated settings in a temporary directory. proc_env_finish
 * kills all of them; the kernel does (PR_SET_PDEATHSIG) when the test program
 * itself dies. */
#ifndef PROC_H
#define PROC_H

#include "cuminwalk.h"

#include <jansson.h>
#include <sys/types.h>

#define PROC_MAX 32
#define PROC_NAME_MAX 32

/* Default timeout of a wait. Generous, because the machine may be busy; a
 * wait returns as soon as its condition holds. */
#define PROC_TIMEOUT_MS 30000

struct proc {
    char name[PROC_NAME_MAX];
    pid_t pid; /* 0 = not running */
    int port;  /* for callers, or the stand-in's only port */
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
    int status;    /* 0: no complete head was received */
    bool complete; /* the whole body was received, as framed by the head */
    size_t head_len;
    struct cw_buf text; /* head and decoded body */
};

/* Creates the temporary directory. */
void proc_env_init(struct proc_env *e);
/* Kills all processes and removes the directory. With print_logs, prints the
 * end of each process's log first. */
void proc_env_finish(struct proc_env *e, bool print_logs);

/* A free port below the kernel's ephemeral range. */
int proc_free_port(void);
/* The path of a built program, from the environment variable BUILD. */
const char *proc_program(const char *name, char buf[256]);

/* Starts a program; its output goes to <name>.log in the directory. argv ends
 * with NULL, and argv[0] is the program's name in the build directory. */
struct proc *proc_start(struct proc_env *e, const char *name,
                        const char *const argv[]);
/* Waits for a process to end and returns its exit status, or -1 when a signal
 * ended it or the timeout passed. */
int proc_wait(struct proc *p, int timeout_ms);
/* Sends a signal; after SIGKILL, waits until the process has ended. */
void proc_signal(struct proc *p, int sig);
bool proc_running(struct proc *p);
/* The content of a process's log; the caller frees it. */
char *proc_log(const struct proc_env *e, const struct proc *p);
/* The last value of a name=value line in the load client's log; -1 if there
 * is none. */
int64_t proc_log_value(const struct proc_env *e, const struct proc *p,
                       const char *name);

/* Writes a file into the directory and returns its path in buf. */
const char *proc_write_file(struct proc_env *e, const char *name,
                            const char *text, char buf[160]);

/* Sends one HTTP request on a new connection and blocks for the response.
 * headers is "" or header lines that each end with \r\n. Returns true when
 * the response is complete. The caller releases it with proc_answer_finish,
 * also on failure. */
bool proc_http(int port, const char *method, const char *path,
               const char *headers, const char *body, int timeout_ms,
               struct proc_answer *a);
void proc_answer_finish(struct proc_answer *a);
struct cw_str proc_body(const struct proc_answer *a);
/* The value of a header; empty when missing. */
struct cw_str proc_header(const struct proc_answer *a, const char *name);
/* GETs the path, or POSTs the body unless it is NULL, and parses the response
 * as JSON; NULL on failure. */
json_t *proc_http_json(int port, const char *path, const char *body);
/* An integer field of the JSON that GET path returns; -1 when missing. */
int64_t proc_http_json_number(int port, const char *path, const char *key);

/* Calls check every 20 ms until it returns true (then true) or the timeout
 * passes (false). */
bool proc_wait_until(bool (*check)(void *arg), void *arg, int timeout_ms);
/* Waits until GET path returns the status. */
bool proc_wait_status(int port, const char *path, int status, int timeout_ms);
void proc_sleep_ms(int ms);
int64_t proc_now_ms(void);

#endif
