/* Idempotency keys: declarations shared by keys.c and keys_read.c. */
#ifndef CW_KEYS_H
#define CW_KEYS_H

#include "cw_list.h"
#include "cw_modules.h"
#include "cw_request.h"

#define CW_KEY_STREAMS_MAX 16

struct cw_key_stream;

/* One record that is being appended to a stream, and the request that waits
 * for it. */
struct cw_key_entry {
    struct cw_batch_item item; /* first, so that an item can be cast */
    struct cw_link link;
    struct cw_key_stream *stream;
    struct cw_idem_record rec;
    struct cw_request *r; /* waiting request, NULL for none */
    bool sent;            /* part of an append */
    bool append_ended;
    cw_ms sent_at;
    cw_ms append_again_at; /* 0: no further append */
};

/* State of a stream's reader. */
enum cw_key_phase {
    CW_KEY_IDLE,   /* the window has not been read */
    CW_KEY_GALLOP, /* searches the window's start with doubling steps */
    CW_KEY_BISECT, /* searches the window's start between lo and hi */
    CW_KEY_FOLLOW, /* reads on from the window's start */
};

struct cw_key_stream {
    struct cw_daemon *d;
    char name[16];
    struct cw_batch batch;
    struct cw_idem idem;
    struct cw_list entries; /* struct cw_key_entry */
    size_t intents;         /* entries whose record is an intent */

    enum cw_key_phase phase;
    uint64_t first;   /* lowest offset that the log retains */
    cw_ms first_time; /* of the record at first */
    uint64_t lo;      /* offset before the window, or first */
    cw_ms lo_time;    /* of the record at lo, 0 = not before the window */
    uint64_t hi;      /* offset in the window, or past the end */
    uint64_t step;
    uint64_t probe;     /* offset that the search reads */
    cw_ms window_start; /* log time at which the window starts */
    bool reading;
    cw_ms read_began;
    cw_ms last_read; /* last successful read */
    cw_ms retry_at;
};

struct cw_keys {
    uint32_t count;
    struct cw_key_stream streams[CW_KEY_STREAMS_MAX];
};

struct cw_key_entry *cw_key_entry_first(struct cw_key_stream *s);
struct cw_key_entry *cw_key_entry_next(struct cw_key_stream *s,
                                       struct cw_key_entry *e);

/* ---- keys_read.c ------------------------------------------------------- */

/* Starts a read while intents wait to be read back from the log. */
void cw_key_stream_read(struct cw_key_stream *s, cw_ms now);

/* ---- keys.c ------------------------------------------------------------ */

/* Ends the wait for the entry's intent, which was read back with this
 * verdict. */
void cw_key_entry_resolved(struct cw_key_entry *e, enum cw_idem_verdict v,
                           uint16_t status);
void cw_keys_append_released_hash(struct cw_daemon *d, uint64_t hash,
                                  const char *request_id);
/* A read that began at read_began returned everything up to the end of the
 * stream: intents that were appended APPEND_DEADLINE_MS before it and are
 * still waiting are not in the log. */
void cw_key_stream_read_ended(struct cw_key_stream *s, cw_ms read_began);

#endif
