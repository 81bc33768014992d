/* A log service on loopback for tests of programs that read it. */
#ifndef LOG_SERVER_H
#define LOG_SERVER_H

#include "cuminwalk.h"

#include <pthread.h>

enum { LOG_SERVER_MAX = 64 };

struct log_server {
    char address[32]; /* ip:port */
    uint64_t first;   /* lowest offset kept */
    uint64_t count;   /* records so far; offsets count from 1 */
    char *records[LOG_SERVER_MAX];
    int lose;            /* appends that take effect without an answer */
    int forget;          /* appends without effect and without an answer */
    const char *members; /* answer to GET /members */
    const char *race;    /* appended before the next append */
    int fd;
    pthread_t thread;
};

void log_server_start(struct log_server *s);
void log_server_add(struct log_server *s, struct cw_str record);
void log_server_stop(struct log_server *s);

#endif
