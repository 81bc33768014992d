/* Part of a file that includes review/lib/runner.c and so has the runners'
 * state: runners that go dark. Nothing that is sent to a dark runner arrives,
 * nothing that it sends does, and no connection is reset or refused: open ones
 * stay open; new ones are established and not read, or not established, as the
 * queue of its listener is full. It runs on; its entry expires. */
#ifndef SOAK_RUNNER_DARK_H
#define SOAK_RUNNER_DARK_H

#include <arpa/inet.h>
#include <sys/socket.h>

struct dark_row {
    bool on;
    int listener;
    int filler; /* connection that fills the listener's queue; -1: none */
};

/* As workers[]. */
static struct dark_row darks[sizeof(workers) / sizeof(workers[0])];

static struct dark_row *
dark_of(const struct worker *w)
{
    for (int i = 0; i < worker_count; i++) {
        if (workers[i] == w) {
            return &darks[i];
        }
    }
    return NULL;
}

/* With the lock held. */
static bool
is_dark(const struct worker *w)
{
    const struct dark_row *k = dark_of(w);

    return k != NULL && k->on;
}

/* With the lock held. A queue of length 0 takes one connection; further ones
 * get no answer. */
static void
dark_fill_queue(struct dark_row *k, int port)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons((uint16_t)port)};

    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)listen(k->listener, 0);
    k->filler = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    (void)connect(k->filler, (struct sockaddr *)&a, sizeof(a));
}

/* With the lock held. */
static void
dark_begin(struct worker *w, bool connects)
{
    struct dark_row *k = dark_of(w);

    *k = (struct dark_row){true, w->server.fd, -1};
    w->server.fd = -1; /* nothing is accepted */
    w->cut = true;     /* no heartbeats */
    if (!connects) {
        dark_fill_queue(k, w->server.port);
    }
    rec("runner %s: goes dark, new connections are %s", w->id,
        connects ? "established and not read" : "not established");
}

/* With the lock held. Returns the listener, whose waiting connections are
 * reset; -1: the runner is not dark. */
static int
dark_stop(struct worker *w)
{
    struct dark_row *k = dark_of(w);
    struct linger l = {1, 0};
    int fd;

    if (k == NULL || !k->on) {
        return -1;
    }
    k->on = false;
    w->cut = false;
    if (k->filler >= 0) {
        close(k->filler);
    }
    while ((fd = accept4(k->listener, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
        close(fd);
    }
    pthread_cond_broadcast(&rig_changed);
    return k->listener;
}

/* With the lock held: the runner's machine is taken. */
static inline void
dark_drop(struct worker *w)
{
    int fd = dark_stop(w);

    if (fd >= 0) {
        close(fd);
    }
}

/* connects: new connections are established. */
static inline void
dark_start(struct worker *w, bool connects)
{
    pthread_mutex_lock(&rig_lock);
    if (w->up && !w->cut && w->server.fd >= 0) {
        dark_begin(w, connects);
    }
    pthread_mutex_unlock(&rig_lock);
}

/* It can be reached again: what was sent meanwhile is lost. The listener
 * stays, as a process that is being started has a copy of it for a moment,
 * beside which no other one can be bound. */
static inline void
dark_end(struct worker *w)
{
    int fd;

    pthread_mutex_lock(&rig_lock);
    fd = dark_stop(w);
    if (fd >= 0) {
        server_reset(&w->server);
        rec("runner %s: can be reached again", w->id);
        (void)listen(fd, 128);
        w->server.fd = fd;
        worker_beat(w);
    }
    pthread_mutex_unlock(&rig_lock);
}

/* True when the runner is dark: then the call, or its answer, was lost.
 * Returns as the runner can be reached again. */
static inline bool
dark_loses(struct worker *w)
{
    unsigned life;
    bool lost;

    pthread_mutex_lock(&rig_lock);
    life = w->server.life;
    lost = is_dark(w);
    while (is_dark(w) && life == w->server.life) {
        wait_change(now_ms() + 100);
    }
    pthread_mutex_unlock(&rig_lock);
    return lost;
}

#endif
