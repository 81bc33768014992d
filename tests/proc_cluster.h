/* A platform stand-in and daemons as real processes, for tests that supply
 * their own fleet file and documents. */
#ifndef PROC_CLUSTER_H
#define PROC_CLUSTER_H

#include "proc.h"

#define CLUSTER_DAEMONS_MAX 9

struct proc_cluster {
    struct proc_env env;
    int daemon_count;
    struct proc *daemons[CLUSTER_DAEMONS_MAX];
};

/* The records read so far from one stream of the platform's log. Each item has
 * the members offset, time (when the platform appended the record) and data
 * (the record). */
struct cluster_stream {
    struct proc_cluster *cluster;
    char name[16];
    uint64_t next;
    json_t *items;
    /* What cluster_stream_wait waits for. */
    const char *type;
    const char *key;
    const char *value;
    size_t min_count;
};

/* Starts the platform with the text of its fleet file, and daemons d1, d2, ..
 * distributed round-robin over the data centres dc1 .. dc<dcs>. */
void cluster_start(struct proc_cluster *c, const char *fleet, int daemons,
                   int dcs);
void cluster_stop(struct proc_cluster *c, bool print_logs);
/* The daemon of that name, or NULL. */
struct proc *cluster_daemon(struct proc_cluster *c, const char *name);
void cluster_set_fault(struct proc_cluster *c, const char *json);
/* Appends one record; returns its offset, 0 when the platform refused it. */
uint64_t cluster_append(struct proc_cluster *c, const char *stream,
                        const char *json);
/* Appends a document edit based on a version. fields is "" or further members
 * of the document, each preceded by a comma. Returns the new version. */
uint64_t cluster_put_document(struct proc_cluster *c, const char *service,
                              uint64_t base, const char *fields);

void cluster_stream_init(struct cluster_stream *s, struct proc_cluster *c,
                         const char *name);
void cluster_stream_finish(struct cluster_stream *s);
/* Reads the records appended since the last read; false when the log does not
 * answer. */
bool cluster_stream_read(struct cluster_stream *s);
/* Number of read records of a type whose field key has the value; a NULL key
 * matches all of the type. */
size_t cluster_stream_count(const struct cluster_stream *s, const char *type,
                            const char *key, const char *value);
/* The last such item, or NULL. */
const json_t *cluster_stream_last(const struct cluster_stream *s,
                                  const char *type, const char *key,
                                  const char *value);
/* Reads until there are at least min_count such records. */
bool cluster_stream_wait(struct cluster_stream *s, const char *type,
                         const char *key, const char *value, size_t min_count,
                         int timeout_ms);
/* A string field of an item's record; "" when missing. */
const char *cluster_record_text(const json_t *item, const char *key);
int64_t cluster_record_number(const json_t *item, const char *key);

#endif
