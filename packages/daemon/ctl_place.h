/* Placement cells of a daemon: structures shared by the ctl_place files. */
#ifndef CTL_PLACE_H
#define CTL_PLACE_H

#include "cw_daemon.h"

#include <jansson.h>

enum place_phase {
    PLACE_IDLE,     /* another member holds the cell */
    PLACE_CLAIMING, /* reading the stream up to our own claim */
    PLACE_ACTIVE,
};

/* A record that was not read back yet. */
struct place_pending {
    struct place_pending *next;
    struct cw_name id;
    char *json;
    cw_ms sent_at; /* 0: waits to be sent */
    cw_ms queued_at;
    bool retry; /* sent again until it is read back */
};

/* The version of a document that the scheduler has. */
struct place_doc {
    struct cw_name service;
    uint64_t version;
};

struct place_cell {
    struct cw_ctl_place *ctl;
    uint32_t n;
    char scope[24];  /* cell/<n> */
    char stream[24]; /* jobs-<n> */
    enum place_phase phase;
    struct cw_place place; /* valid unless idle */
    uint64_t generation;   /* answers to calls of an earlier one are dropped */
    uint64_t epoch;        /* member epoch of our claim */
    uint64_t claimed;      /* highest epoch claimed in the stream */
    uint64_t next;         /* stream offset to read next */
    uint64_t seq;
    bool reading;
    bool appending;
    bool reporting;
    struct place_pending *pending;
    uint64_t report_version;
    cw_ms report_at;
    cw_ms full_report_at; /* all workers are read again then, 0 for never */
    cw_ms read_at;
    cw_ms tick_at;
    cw_ms carried_at;
    cw_ms retention_ms;
    uint64_t state_version;
    size_t doc_count;
    struct place_doc *docs;
};

struct cw_ctl_place {
    struct cw_daemon *d;
    uint32_t outstanding; /* port calls that have not answered yet */
    bool closed;
    size_t count;
    struct place_cell *cells;
};

/* A port call on its way. */
struct place_call {
    struct place_cell *cell;
    uint64_t generation;
    enum cw_worker_call what;
    struct cw_name task;
    struct cw_name worker;
    uint32_t attempt;
};

/* ctl_place.c */
/* Entries of the control table. */
void cw_ctl_place_init(struct cw_daemon *d);
void cw_ctl_place_tick(struct cw_daemon *d, cw_ms now);
void cw_ctl_place_finish(struct cw_daemon *d);
/* NULL when memory is short. The answer passes it to place_call_end, which
 * frees it and returns false when the answer must be ignored. */
struct place_call *place_call_begin(struct place_cell *c);
bool place_call_end(struct place_call *call);
/* Gives up the cell's state; it may be claimed again later. */
void place_cell_drop(struct place_cell *c);

/* ctl_place_stream.c */
void place_stream_tick(struct place_cell *c, cw_ms now);
void place_stream_clear(struct place_cell *c);
/* Appends a record of the given type; fields is consumed. */
void place_record(struct place_cell *c, const char *type, json_t *fields,
                  bool retry);
/* Writes all placed tasks again, so that they outlive the retention. */
void place_carry(struct place_cell *c);

/* ctl_place_calls.c */
void place_reports_tick(struct place_cell *c, cw_ms now);
/* Has all workers read again after some time: reports are of changes only, so
 * a start that never reached its worker does not show in them. */
void place_check_starts(struct place_cell *c, cw_ms now);
void place_act(void *ctx, const struct cw_place_action *a);
/* The start record of the task is in force at offset: calls the worker. */
void place_call_start(struct place_cell *c, const struct cw_place_task *t,
                      struct cw_str worker);
/* Asks a worker to forget a task; the fence keeps an older start out. */
void place_call_stop(struct place_cell *c, struct cw_str task,
                     struct cw_str worker, uint64_t fence);

#endif
