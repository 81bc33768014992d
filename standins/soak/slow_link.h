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

/* A connection of the daemon and its counterpart to the store. */
struct slow_pair {
    struct slow_link *link;
    int daemon;
    int store;
    int open; /* directions; under the link's lock */
};

struct slow_pipe {
    struct slow_pair *pair;
    bool to_daemon; /* at the link's rate */
};

static void
slow_link_wait(struct slow_link *l, size_t bytes)
{
    long long us = (long long)bytes * 1000000 / l->bytes_per_s;

    pthread_mutex_lock(&l->line);
    usleep((useconds_t)us);
    pthread_mutex_unlock(&l->line);
}

static void
slow_pair_release(struct slow_pair *c)
{
    bool last;

    /* Ends the other direction, too. */
    shutdown(c->daemon, SHUT_RDWR);
    shutdown(c->store, SHUT_RDWR);
    pthread_mutex_lock(&c->link->line);
    last = --c->open == 0;
    pthread_mutex_unlock(&c->link->line);
    if (last) {
        close(c->daemon);
        close(c->store);
        free(c);
    }
}

static void *
slow_pipe_run(void *arg)
{
    struct slow_pipe p = *(struct slow_pipe *)arg;
    int from = p.to_daemon ? p.pair->store : p.pair->daemon;
    int to = p.to_daemon ? p.pair->daemon : p.pair->store;
    char bytes[SLOW_LINK_CHUNK];
    ssize_t n;

    free(arg);
    while ((n = recv(from, bytes, sizeof(bytes), 0)) > 0) {
        if (p.to_daemon) {
            slow_link_wait(p.pair->link, (size_t)n);
        }
        if (!write_all(to, bytes, (size_t)n)) {
            break;
        }
    }
    slow_pair_release(p.pair);
    return NULL;
}

static void
slow_pipe_start(struct slow_pair *c, bool to_daemon)
{
    struct slow_pipe *p = malloc(sizeof(*p));
    pthread_t t;

    *p = (struct slow_pipe){c, to_daemon};
    pthread_create(&t, NULL, slow_pipe_run, p);
    pthread_detach(t);
}

static void *
slow_link_run(void *arg)
{
    struct slow_link *l = arg;

    for (;;) {
        struct sockaddr_in a = {.sin_family = AF_INET,
                                .sin_port = htons((uint16_t)l->store_port)};
        int in = accept4(l->listener, NULL, NULL, SOCK_CLOEXEC);
        int out;
        int room = SLOW_LINK_CHUNK;
        struct slow_pair *c;

        if (in < 0) {
            sleep_ms(5);
            continue;
        }
        out = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        /* What is sent and not yet read here would not count as on its way. */
        setsockopt(out, SOL_SOCKET, SO_RCVBUF, &room, sizeof(room));
        if (connect(out, (struct sockaddr *)&a, sizeof(a)) != 0) {
            close(in);
            close(out);
            continue;
        }
        c = malloc(sizeof(*c));
        *c = (struct slow_pair){l, in, out, 2};
        slow_pipe_start(c, true);
        slow_pipe_start(c, false);
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
