/* Processor time of the daemon's calls to workers, with their coding: starts
 * and reports over loopback to a server in a child process, at the number of
 * connections of a fleet. Prints name=value lines. */
#include "bench.h"
#include "cw_job_ports.h"
#include "cw_platform.h"

#include <arpa/inet.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>
#include <uv.h>

#define CONNECTIONS 400
#define CALLS 100000
#define IN_FLIGHT 64

static const char report_body[] =
    "{\"clockMs\":482113,\"born\":1764864000000,\"running\":["
    "[\"5c0e7a21d94b36f8.0.1.17\",2,\"00000bb87a21d94b\",41,0],"
    "[\"5c0e7a21d94b36f8.0.1.18\",1,\"00000bb87a21d94c\",42,0],"
    "[\"5c0e7a21d94b36f8.0.1.19\",1,\"00000bb87a21d94d\",43,0],"
    "[\"5c0e7a21d94b36f8.0.1.20\",1,\"00000bb87a21d94e\",44,0]],"
    "\"ended\":[[58,\"5c0e7a21d94b36f8.0.1.9\",1,\"done\",\"\"]]}";
static const char start_body[] = "{\"clockMs\":482113}";

/* ---- the server ---- */

struct peer {
    uv_tcp_t tcp;
    char in[4096];
    size_t len;
};

struct answer {
    uv_write_t req;
    char text[1024];
};

static void
on_alloc(uv_handle_t *h, size_t n, uv_buf_t *b)
{
    struct peer *p = (struct peer *)h;

    (void)n;
    *b = uv_buf_init(p->in + p->len, (unsigned)(sizeof(p->in) - 1 - p->len));
}

static void
on_written(uv_write_t *w, int status)
{
    (void)status;
    free(w);
}

static void
answer_request(struct peer *p, const char *body)
{
    struct answer *a = malloc(sizeof(*a));
    uv_buf_t b;
    int n;

    CW_INVARIANT(a != NULL);
    n = snprintf(a->text, sizeof(a->text),
                 "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                 "Content-Length: %zu\r\n\r\n%s",
                 strlen(body), body);
    b = uv_buf_init(a->text, (unsigned)n);
    (void)uv_write(&a->req, (uv_stream_t *)&p->tcp, &b, 1, on_written);
}

/* Requests come one at a time and have a Content-Length. */
static void
on_request(uv_stream_t *s, ssize_t n, const uv_buf_t *b)
{
    struct peer *p = (struct peer *)s;
    const char *end;
    const char *length;

    (void)b;
    if (n < 0) {
        uv_close((uv_handle_t *)s, NULL);
        return;
    }
    p->len += (size_t)n;
    p->in[p->len] = '\0';
    end = strstr(p->in, "\r\n\r\n");
    length = strstr(p->in, "Content-Length: ");
    if (end == NULL || length == NULL ||
        (size_t)(end + 4 - p->in) + strtoul(length + 16, NULL, 10) > p->len) {
        return;
    }
    p->len = 0;
    answer_request(p, strstr(p->in, "run-start") != NULL ? start_body
                                                         : report_body);
}

static void
on_connection(uv_stream_t *l, int status)
{
    struct peer *p = calloc(1, sizeof(*p));

    (void)status;
    CW_INVARIANT(p != NULL);
    (void)uv_tcp_init(l->loop, &p->tcp);
    if (uv_accept(l, (uv_stream_t *)&p->tcp) == 0) {
        (void)uv_read_start((uv_stream_t *)&p->tcp, on_alloc, on_request);
    }
}

/* Starts the server; returns its port. */
static int
start_server(pid_t *pid)
{
    struct sockaddr_in sa = {.sin_family = AF_INET};
    socklen_t len = sizeof(sa);
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CW_INVARIANT(fd >= 0 && bind(fd, (struct sockaddr *)&sa, len) == 0 &&
                 listen(fd, 1024) == 0 &&
                 getsockname(fd, (struct sockaddr *)&sa, &len) == 0);
    *pid = fork();
    if (*pid == 0) {
        uv_loop_t loop;
        uv_tcp_t l;

        (void)prctl(PR_SET_PDEATHSIG, SIGKILL);
        CW_INVARIANT(uv_loop_init(&loop) == 0 && uv_tcp_init(&loop, &l) == 0 &&
                     uv_tcp_open(&l, fd) == 0 &&
                     uv_listen((uv_stream_t *)&l, 1024, on_connection) == 0);
        uv_run(&loop, UV_RUN_DEFAULT);
        _exit(0);
    }
    close(fd);
    return ntohs(sa.sin_port);
}

/* ---- the caller ---- */

static struct {
    struct cw_job_ports ports;
    struct cw_worker_conn *conns[CONNECTIONS];
    size_t sent;
    size_t failed;
    size_t open;
    bool reports;
} b;

static void send_next(void);

static void
on_started(void *arg, enum cw_status s, enum cw_start_answer a,
           int64_t clock_ms)
{
    (void)clock_ms;
    (void)arg;
    (void)a;
    b.failed += s == CW_OK ? 0 : 1;
    b.open--;
    send_next();
}

static void
on_reported(void *arg, enum cw_status s, struct cw_run_report *r)
{
    (void)r;
    on_started(arg, s, CW_START_OK, 0);
}

static void
send_next(void)
{
    static struct cw_start_order o = {.until_ms = 486000, .epoch = 7};
    struct cw_worker_conn *c = b.conns[b.sent % CONNECTIONS];

    if (b.sent == CALLS) {
        return;
    }
    b.sent++;
    b.open++;
    if (b.reports) {
        static const struct cw_report_order order = {
            .epoch = 7, .until_ms = 486000, .acked = 57, .wait_ms = 1000};

        b.ports.exec.poll(c, &order, 5000, on_reported, NULL);
        return;
    }
    o.run.job = b.sent;
    o.run.run = 1;
    o.text =
        CW_LIT("a spec of some sixty bytes that a caller wrote for a task");
    b.ports.exec.start(c, &o, 5000, on_started, NULL);
}

static double
cpu_s(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
    return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static void
run_calls(uv_loop_t *loop, const char *name, bool reports)
{
    char key[64];
    double from = cpu_s();

    b.sent = 0;
    b.failed = 0;
    b.reports = reports;
    for (int i = 0; i < IN_FLIGHT; i++) {
        send_next();
    }
    while (b.open > 0) {
        uv_run(loop, UV_RUN_ONCE);
    }
    (void)snprintf(key, sizeof(key), "call_%s_cpu_us", name);
    bench_print(key, "%.1f", (cpu_s() - from) * 1e6 / CALLS);
    (void)snprintf(key, sizeof(key), "call_%s_failed", name);
    bench_print(key, "%zu", b.failed);
}

int
main(int argc, char **argv)
{
    uv_loop_t loop;
    struct cw_platform_options o;
    struct cw_platform *p;
    struct cw_name address;
    struct cw_name id;
    char msg[CW_MSG_MAX];
    pid_t server;
    int port;

    (void)bench_seed(argc, argv);
    port = start_server(&server);
    (void)snprintf(address.text, sizeof(address.text), "127.0.0.1:%d", port);
    address.len = strlen(address.text);
    (void)cw_name_set(&id, CW_LIT("i-0123456789"));
    CW_INVARIANT(uv_loop_init(&loop) == 0);
    o = (struct cw_platform_options){address.text, ""};
    p = cw_platform_open(&loop, &o, &b.ports, msg);
    CW_INVARIANT(p != NULL);
    for (size_t i = 0; i < CONNECTIONS; i++) {
        b.conns[i] = b.ports.exec.open(p, &id, &address);
        CW_INVARIANT(b.conns[i] != NULL);
    }
    run_calls(&loop, "start", false);
    run_calls(&loop, "report", true);
    (void)kill(server, SIGKILL);
    return 0;
}
