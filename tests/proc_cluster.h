/* A platform stand-in and some daemons as real processes, for tests that bring
 * their own fleet and documents. */
#ifndef PROC_CLUSTER_H
#define PROC_CLUSTER_H

#include "proc.h"

#define CLUSTER_DAEMONS_MAX 9

struct proc_cluster {
    struct proc_env env;
    int daemon_count;
    struct proc *daemons[CLUSTER_DAEMONS_MAX];
};

/* The records of one stream, as far as they were read. Each item has the
 * members offset, time (when the platform took the record) and data. */
struct cluster_stream {
    struct proc_cluster *cluster;
    char name[16];
    uint64_t next;
    json_t *items;
    /* For cluster_wait. */
    const char *type;
    const char *key;
    const char *value;
    size_t want;
};

/* Starts the platform with the fleet file's text and daemons d1.. in turn in
 * data centres dc1..dc<dcs>. */
void cluster_start(struct proc_cluster *c, const char *fleet, int daemons,
                   int dcs);
void cluster_stop(struct proc_cluster *c, bool keep_logs);
/* The daemon of that name, or NULL. */
struct proc *cluster_daemon(struct proc_cluster *c, const char *name);
void cluster_fault(struct proc_cluster *c, const char *json);
/* Appends one record; returns its offset, 0 when it was refused. */
uint64_t cluster_append(struct proc_cluster *c, const char *stream,
                        const char *json);
/* Appends a document based on a version; fields are further members of the
 * document that begin with a comma, or "". Returns the new version. */
uint64_t cluster_put(struct proc_cluster *c, const char *service,
                     uint64_t base, const char *fields);

void cluster_stream_init(struct cluster_stream *s, struct proc_cluster *c,
                         const char *name);
void cluster_stream_finish(struct cluster_stream *s);
/* Reads on to the end of the stream; false when the log does not answer. */
bool cluster_read(struct cluster_stream *s);
/* Records of a type whose field has the value; key NULL for any. */
size_t cluster_count(const struct cluster_stream *s, const char *type,
                     const char *key, const char *value);
/* The last such item, or NULL. */
const json_t *cluster_last(const struct cluster_stream *s, const char *type,
                           const char *key, const char *value);
/* Reads until there are at least want such records. */
bool cluster_wait(struct cluster_stream *s, const char *type, const char *key,
                  const char *value, size_t want, int limit_ms);
/* A text field of an item's record; "" when missing. */
const char *cluster_text(const json_t *item, const char *key);
int64_t cluster_number(const json_t *item, const char *key);

#endif
