/* Starts, signals and stops real processes for tests. */
#include "proc.h"

#include "port.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

/* Below the kernel's ephemeral ports, which start at 32768. */
#define PORT_FIRST 12000
#define PORT_COUNT 20000

void
proc_sleep_ms(int ms)
{
    struct timespec t = {ms / 1000, (long)(ms % 1000) * 1000000};
    while (nanosleep(&t, &t) != 0 && errno == EINTR) {
    }
}

int64_t
proc_now_ms(void)
{
    struct timespec t;
    clock_gettime(CLOCK_MONOTONIC, &t);
    return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void
proc_env_init(struct proc_env *e)
{
    memset(e, 0, sizeof(*e));
    const char *tmp = getenv("TMPDIR");
    snprintf(e->dir, sizeof(e->dir), "%.32s/cuminwalk-XXXXXX",
             tmp == NULL ? "/tmp" : tmp);
    CW_INVARIANT(mkdtemp(e->dir) != NULL);
}

static void
print_log_tail(const struct proc_env *e, const struct proc *p)
{
    char *text = proc_log(e, p);
    size_t len = strlen(text);
    const char *from = len > 3000 ? text + len - 3000 : text;
    fprintf(stderr, "---- %s ----\n%s\n", p->name, from);
    free(text);
}

static void
remove_dir(const char *dir)
{
    DIR *d = opendir(dir);
    const struct dirent *f;
    while (d != NULL && (f = readdir(d)) != NULL) {
        if (f->d_name[0] != '.') {
            unlinkat(dirfd(d), f->d_name, 0);
        }
    }
    if (d != NULL) {
        closedir(d);
    }
    rmdir(dir);
}

void
proc_env_finish(struct proc_env *e, bool print_logs)
{
    for (size_t i = 0; i < e->count; i++) {
        proc_signal(&e->items[i], SIGKILL);
        if (print_logs) {
            print_log_tail(e, &e->items[i]);
        }
    }
    remove_dir(e->dir);
}

int
proc_free_port(void)
{
    /* Each test program starts its search at a different port, so that
     * programs that run at the same time rarely try the same ones. */
    static unsigned next;
    if (next == 0) {
        next = (unsigned)(cw_hash_mix((uint64_t)getpid(),
                                      (uint64_t)proc_now_ms()) %
                          PORT_COUNT);
    }
    for (int tries = 0; tries < PORT_COUNT; tries++) {
        int port = PORT_FIRST + (int)(next++ % PORT_COUNT);
        if (port_reserve(port) >= 0) {
            return port; /* until this program ends */
        }
    }
    cw_invariant_failed("a free port", __FILE__, __LINE__);
}

const char *
proc_program(const char *name, char buf[256])
{
    const char *build = getenv("BUILD");
    snprintf(buf, 256, "%s/%s", build == NULL ? "build" : build, name);
    return buf;
}

static void
exec_child(const struct proc_env *e, const char *name,
           const char *const argv[])
{
    char path[256];
    char log[160];
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    snprintf(log, sizeof(log), "%s/%s.log", e->dir, name);
    int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    execv(proc_program(argv[0], path), (char *const *)argv);
    perror(path);
    _exit(127);
}

struct proc *
proc_start(struct proc_env *e, const char *name, const char *const argv[])
{
    struct proc *p = NULL;
    for (size_t i = 0; i < e->count; i++) {
        if (strcmp(e->items[i].name, name) == 0) {
            p = &e->items[i];
        }
    }
    if (p == NULL) {
        CW_INVARIANT(e->count < PROC_MAX);
        p = &e->items[e->count++];
        snprintf(p->name, sizeof(p->name), "%s", name);
    }
    CW_INVARIANT(p->pid == 0);
    p->pid = fork();
    if (p->pid == 0) {
        exec_child(e, name, argv);
    }
    CW_INVARIANT(p->pid > 0);
    return p;
}

bool
proc_running(struct proc *p)
{
    if (p->pid > 0 && waitpid(p->pid, NULL, WNOHANG) == p->pid) {
        p->pid = 0;
    }
    return p->pid > 0;
}

int
proc_wait(struct proc *p, int timeout_ms)
{
    int64_t end = proc_now_ms() + timeout_ms;
    int status = 0;
    while (p->pid > 0) {
        if (waitpid(p->pid, &status, WNOHANG) == p->pid) {
            p->pid = 0;
            return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        }
        if (proc_now_ms() >= end) {
            break;
        }
        proc_sleep_ms(10);
    }
    return -1;
}

void
proc_signal(struct proc *p, int sig)
{
    if (p->pid <= 0) {
        return;
    }
    kill(p->pid, sig);
    if (sig == SIGKILL) {
        waitpid(p->pid, NULL, 0);
        p->pid = 0;
    }
}

char *
proc_log(const struct proc_env *e, const struct proc *p)
{
    char path[160];
    snprintf(path, sizeof(path), "%s/%s.log", e->dir, p->name);
    struct cw_buf b;
    cw_buf_init(&b);
    FILE *f = fopen(path, "r");
    char part[4096];
    size_t n;
    while (f != NULL && (n = fread(part, 1, sizeof(part), f)) > 0) {
        cw_buf_add(&b, part, n);
    }
    if (f != NULL) {
        fclose(f);
    }
    cw_buf_add(&b, "", 1);
    return b.ptr;
}

int64_t
proc_log_value(const struct proc_env *e, const struct proc *p,
               const char *name)
{
    char *text = proc_log(e, p);
    size_t n = strlen(name);
    int64_t v = -1;
    for (const char *line = text; line != NULL && *line != '\0';) {
        if (strncmp(line, name, n) == 0 && line[n] == '=') {
            v = strtoll(line + n + 1, NULL, 10);
        }
        line = strchr(line, '\n');
        line = line == NULL ? NULL : line + 1;
    }
    free(text);
    return v;
}

const char *
proc_write_file(struct proc_env *e, const char *name, const char *text,
                char buf[160])
{
    snprintf(buf, 160, "%s/%s", e->dir, name);
    FILE *f = fopen(buf, "w");
    CW_INVARIANT(f != NULL);
    fputs(text, f);
    fclose(f);
    return buf;
}

bool
proc_wait_until(bool (*check)(void *arg), void *arg, int timeout_ms)
{
    int64_t end = proc_now_ms() + timeout_ms;
    while (!check(arg)) {
        if (proc_now_ms() >= end) {
            return false;
        }
        proc_sleep_ms(20);
    }
    return true;
}
