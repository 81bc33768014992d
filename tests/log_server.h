/* A log service on the loopback interface, for tests of its clients. */
#ifndef LOG_SERVER_H
#define LOG_SERVER_H

#include "cuminwalk.h"

#include <pthread.h>

enum { LOG_SERVER_RECORDS_MAX = 64 };

struct log_server {
    char address[32]; /* ip:port */
    uint64_t first;   /* lowest offset retained */
    uint64_t count;   /* records so far; the first offset is 1 */
    char *records[LOG_SERVER_RECORDS_MAX];
    int lose_answers;    /* next appends that take effect but get no answer */
    int drop_appends;    /* next appends that have no effect and no answer */
    const char *members; /* answer to GET /members */
    const char *racing_record; /* added just before the next append */
    int fd;
    pthread_t thread;
};

void log_server_start(struct log_server *s);
void log_server_add(struct log_server *s, struct cw_str record);
void log_server_stop(struct log_server *s);

#endif
