/* Idempotency keys: what the two parts of the module share. */
#ifndef CW_KEYS_H
#define CW_KEYS_H

#include "cw_list.h"
#include "cw_modules.h"
#include "cw_request.h"

#define CW_KEY_STREAMS_MAX 16

struct cw_key_stream;

/* One record on its way into a stream, and the request that waits for it. */
struct cw_key_entry {
    struct cw_batch_item item; /* first, so that the item is the entry */
    struct cw_link link;
    struct cw_key_stream *stream;
    struct cw_idem_record rec;
    struct cw_request *r; /* NULL when nobody waits any more */
    bool sent;            /* part of an append */
    bool answered;        /* the append ended */
    cw_ms sent_at;
    cw_ms park_until; /* not 0: written again then */
};

/* Where the reader of a stream stands. */
enum cw_key_phase {
    CW_KEY_IDLE,   /* the window is not read */
    CW_KEY_GALLOP, /* looks for the window's start, doubling the step */
    CW_KEY_BISECT, /* between lo and hi */
    CW_KEY_FOLLOW,
};

struct cw_key_stream {
    struct cw_daemon *d;
    char name[16];
    struct cw_batch batch;
    struct cw_idem idem;
    struct cw_list entries; /* struct cw_key_entry */
    size_t intents;         /* entries with an intent */

    enum cw_key_phase phase;
    uint64_t first;   /* lowest offset kept */
    cw_ms first_time; /* of the record there */
    uint64_t lo;      /* before the window, or first */
    cw_ms lo_time;    /* of the record at lo, 0 = not before the window */
    uint64_t hi;      /* in the window, or after the end */
    uint64_t step;
    uint64_t probe; /* offset that is being read */
    cw_ms target;   /* log time at which the window begins */
    bool reading;
    cw_ms began;
    cw_ms read_at; /* last answered read */
    cw_ms retry_at;
};

struct cw_keys {
    uint32_t count;
    struct cw_key_stream streams[CW_KEY_STREAMS_MAX];
};

struct cw_key_entry *cw_key_first(struct cw_key_stream *s);
struct cw_key_entry *cw_key_next(struct cw_key_stream *s,
                                 struct cw_key_entry *e);

/* ---- keys_read.c ------------------------------------------------------- */

/* Reads on while intents wait for their place in the log. */
void cw_keys_read(struct cw_key_stream *s, cw_ms now);

/* ---- keys.c ------------------------------------------------------------ */

/* The entry's record was read, with this verdict. */
void cw_keys_resolved(struct cw_key_entry *e, enum cw_idem_verdict v,
                      uint16_t status);
void cw_keys_release_hash(struct cw_daemon *d, uint64_t hash,
                          const char *request_id);
/* A read that began at began returned everything up to the end. */
void cw_keys_read_end(struct cw_key_stream *s, cw_ms began);

#endif
