/* A link of limited rate between one daemon and the store. */
#ifndef SLOW_LINK_H
#define SLOW_LINK_H

#include "rig_int.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define SLOW_LINK_CHUNK 4096
#define STORE_MEMBER "\"store\":\"127.0.0.1:"

struct slow_link {
    int listener;
    int store_port;
    long bytes_per_s;     /* towards the daemon, of all connections together */
    pthread_mutex_t line; /* held while a chunk is on its way */
};

struct slow_pipe {
    struct slow_link *link; /* NULL: towards the store, not limited */
    int from;
    int to;
};

static void
slow_link_wait(struct slow_link *l, size_t bytes)
{
    long long us = (long long)bytes * 1000000 / l->bytes_per_s;

    pthread_mutex_lock(&l->line);
    usleep((useconds_t)us);
    pthread_mutex_unlock(&l->line);
}

static void *
slow_pipe_run(void *arg)
{
    struct slow_pipe *p = arg;
    char bytes[SLOW_LINK_CHUNK];
    ssize_t n;

    while ((n = recv(p->from, bytes, sizeof(bytes), 0)) > 0) {
        if (p->link != NULL) {
            slow_link_wait(p->link, (size_t)n);
        }
        if (!write_all(p->to, bytes, (size_t)n)) {
            break;
        }
    }
    shutdown(p->from, SHUT_RDWR);
    shutdown(p->to, SHUT_RDWR);
    free(p);
    return NULL;
}

static void
slow_pipe_start(struct slow_link *l, int from, int to)
{
    struct slow_pipe *p = malloc(sizeof(*p));
    pthread_t t;

    *p = (struct slow_pipe){l, from, to};
    pthread_create(&t, NULL, slow_pipe_run, p);
    pthread_detach(t);
}

/* Sockets stay open until the case ends. */
static void *
slow_link_run(void *arg)
{
    struct slow_link *l = arg;

    for (;;) {
        struct sockaddr_in a = {.sin_family = AF_INET,
                                .sin_port = htons((uint16_t)l->store_port)};
        int in = accept(l->listener, NULL, NULL);
        int out = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int room = SLOW_LINK_CHUNK;

        if (in < 0 || out < 0) {
            sleep_ms(5);
            close(out);
            continue;
        }
        a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        /* What is sent and not yet read here would not count as on its way. */
        setsockopt(out, SOL_SOCKET, SO_RCVBUF, &room, sizeof(room));
        if (connect(out, (struct sockaddr *)&a, sizeof(a)) != 0) {
            close(in);
            close(out);
            continue;
        }
        slow_pipe_start(l, out, in);
        slow_pipe_start(NULL, in, out);
    }
    return NULL;
}

/* Puts a link of this rate between a daemon and the store that its settings
 * name. Before daemon_start. */
static void
slow_link_insert(const char *daemon, long bytes_per_s)
{
    struct slow_link *l = calloc(1, sizeof(*l));
    char path[256];
    char text[2048];
    int port = free_port();
    const char *store;
    size_t n;
    FILE *f;
    pthread_t t;

    snprintf(path, sizeof(path), "%s/%s.json", rig_scratch, daemon);
    f = fopen(path, "r");
    n = f == NULL ? 0 : fread(text, 1, sizeof(text) - 1, f);
    text[n] = '\0';
    store = strstr(text, STORE_MEMBER);
    if (store == NULL || fclose(f) != 0 || (f = fopen(path, "w")) == NULL) {
        rig_exit(2, "cannot rewrite the settings of %s", daemon);
    }
    l->store_port = atoi(store + strlen(STORE_MEMBER));
    l->listener = listen_on(port);
    l->bytes_per_s = bytes_per_s;
    pthread_mutex_init(&l->line, NULL);
    pthread_create(&t, NULL, slow_link_run, l);
    pthread_detach(t);
    fprintf(f, "%.*s" STORE_MEMBER "%d%s", (int)(store - text), text, port,
            strchr(store + strlen(STORE_MEMBER), '"'));
    fclose(f);
}

#endif
