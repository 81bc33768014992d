/* Guards against UNASKED: a scheduler that wakes answers 410 for a job that
 * its successor has accepted.
 *
 * The scheduler freezes for some seconds, while a client keeps a connection to
 * it open. Another takes over and accepts a job. The client's cancel on the
 * open connection is answered from the old table when the daemon wakes: 410,
 * and the job runs later. */
#include "case.h"

#include <arpa/inet.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define JOB "00000000000000c1"
#define CANCEL_MS 3000
#define DUE_MS 8500

static struct daemon *d[DAEMONS];
static struct worker *w[4];

static int
open_to(const struct daemon *x)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port =
                                htons((unsigned short)daemon_front_port(x))};
    struct timeval tv = {6, 0};
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
    if (connect(fd, (struct sockaddr *)&a, sizeof(a)) != 0) {
        rig_exit(2, "cannot connect");
    }
    return fd;
}

static void
send_call(int fd, const char *method, const char *path)
{
    char buf[400];
    int n = snprintf(buf, sizeof(buf),
                     "%s %s HTTP/1.1\r\nHost: " HOST "\r\nX-Timeout-Ms: 6000"
                     "\r\nContent-Length: 0\r\n\r\n",
                     method, path);

    if (send(fd, buf, (size_t)n, MSG_NOSIGNAL) != n) {
        rig_exit(2, "cannot send");
    }
}

static int
read_status(int fd)
{
    char buf[2000];
    ssize_t n = recv(fd, buf, sizeof(buf) - 1, 0);
    int status = 0;

    if (n > 0) {
        buf[n] = '\0';
        (void)sscanf(buf, "HTTP/1.1 %d", &status);
    }
    return status;
}

static void
submit_due(struct daemon *x)
{
    char more[200];

    snprintf(more, sizeof(more),
             "}],\"repeats\":1,\"intervalMs\":1000,\"firstMs\":%lld,"
             "\"unused\":[{\"x\":1",
             wall_ms() + DUE_MS);
    if (submit(&x, 1, JOB, 1, 500, 400, more, 3000) != 200) {
        rig_exit(2, "the job was not accepted");
    }
}

int
main(int argc, char **argv)
{
    struct daemon *frozen;
    struct daemon *next;
    long long answered;
    int status;
    int fd;
    int n;

    rig_init(argc, argv);
    case_start(d, w, 4, 0);
    frozen = store_owner();
    fd = open_to(frozen);
    send_call(fd, "GET", PREFIX);
    rec("client: GET on the kept connection -> %d", read_status(fd));
    next = d[0] == frozen ? d[1] : d[0];
    if (rig_trouble()) {
        daemon_signal(frozen, SIGSTOP);
        next = case_wait_other(frozen, 5000);
    }
    sleep_ms(500);
    submit_due(next);
    send_call(fd, "DELETE", PREFIX JOB);
    sleep_ms(1500);
    if (rig_trouble()) {
        daemon_signal(frozen, SIGCONT);
    }
    status = read_status(fd);
    answered = now_ms();
    rec("client: DELETE on the kept connection -> %d", status);
    if (status / 100 != 2 && status != 410) {
        rig_exit(0, "the cancel was answered %d", status);
    }
    sleep_until(answered + DUE_MS);
    n = case_starts_after(JOB, answered + CANCEL_MS);
    rig_exit(n > 0 ? 1 : 0,
             "UNASKED: the cancel was answered %d, %d starts later", status,
             n);
}
