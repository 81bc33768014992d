/* Shared by the stand-ins. */
#ifndef RIG_INT_H
#define RIG_INT_H

#include "rig.h"

#include <jansson.h>

/* Guards all state of the stand-ins; rig_changed is signalled when any of it
 * changes. */
extern pthread_mutex_t rig_lock;
extern pthread_cond_t rig_changed;
extern char rig_scratch[200]; /* temporary folder */
extern long long rig_started_at;

/* ---- http.c ---- */

struct req {
    char method[8];
    char path[512];
    char target[64]; /* X-Target-Instance */
    char *body;
    size_t len;
};

struct answer {
    int status;
    bool json;
    char *body;
    size_t len;
};

struct server {
    int fd;
    int port;
    /* Returns false when no answer is to be sent. */
    bool (*handle)(void *ctx, struct req *r, struct answer *a);
    void *ctx;
    int conns[512];
    unsigned life; /* connections of an earlier life end without an answer */
};

void answer_json(struct answer *a, int status, json_t *o);
bool write_all(int fd, const char *p, size_t n);
/* A free port that no other program gets while this one runs. */
int free_port(void);
int listen_on(int port);
void server_start(struct server *s,
                  bool (*handle)(void *ctx, struct req *r, struct answer *a),
                  void *ctx);
/* With the lock held: all connections are reset. */
void server_reset(struct server *s);
/* A parameter of the path's query; false when it is missing. */
bool param(const char *path, const char *name, char *out, size_t size);
long long param_int(const char *path, const char *name, long long fallback);
/* With the lock held: waits until something changes or the time has come. */
void wait_change(long long until);
/* With the lock held: the request does not arrive, and nothing is answered. */
void stay_silent(unsigned life, const unsigned *now_life, const bool *silent);

/* ---- store.c ---- */

bool store_request(struct req *r, struct answer *a);
void put_locked(const char *topic, const char *key, const char *value);
void group_tick(long long now);
const char *group_owner(void);

/* ---- runner.c ---- */

void workers_tick(long long now);

/* ---- daemon.c ---- */

void end_daemons(void);
void remove_daemon_files(void);

#endif
