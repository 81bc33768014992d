/* Placement cells: structures and functions shared by the ctl_place files. A
 * cell is the share of the jobs' tasks that one holder schedules. */
#ifndef CTL_PLACE_H
#define CTL_PLACE_H

#include "cw_daemon.h"

#include <jansson.h>

enum place_phase {
    PLACE_IDLE,     /* another member holds the cell */
    PLACE_CLAIMING, /* replaying the stream up to our own claim record */
    PLACE_ACTIVE,   /* our claim is in force; schedules */
};

/* A record of ours that was not yet read back from the stream. */
struct place_pending {
    struct place_pending *next;
    struct cw_name id;
    char *json;
    cw_ms sent_at; /* last append; 0 = not sent yet */
    cw_ms queued_at;
    bool retry; /* appended again until it is read back */
};

/* The document version that was last applied to the scheduler. */
struct place_doc {
    struct cw_name service;
    uint64_t version;
};

struct place_cell {
    struct cw_ctl_place *ctl;
    uint32_t index;
    char scope[24];  /* cell/<index> */
    char stream[24]; /* jobs-<index> */
    enum place_phase phase;
    struct cw_place place; /* valid unless idle */
    uint64_t generation;   /* of the claim; answers to calls of an earlier one
                            * are ignored */
    uint64_t own_epoch;    /* member epoch of our claim */
    uint64_t stream_epoch; /* highest epoch read in the stream */
    uint64_t next_offset;  /* stream offset to read next */
    uint64_t record_seq;   /* makes record ids unique */
    bool reading;          /* a stream read is in progress */
    bool appending;
    bool reading_reports;
    struct place_pending *pending;
    uint64_t report_version; /* of the last answer; 0 requests all workers */
    cw_ms reports_read_at;
    cw_ms full_report_at; /* when all workers are requested; 0 = not planned */
    cw_ms retry_read_at;  /* earliest time of the next stream read */
    cw_ms ticked_at;
    cw_ms carried_at; /* last place_carry_tasks */
    cw_ms retention_ms;
    uint64_t state_version; /* of the last sync with the documents */
    size_t doc_count;
    struct place_doc *docs;
};

struct cw_ctl_place {
    struct cw_daemon *d;
    uint32_t outstanding; /* port calls without an answer yet */
    bool closed;          /* freed once outstanding is 0 */
    size_t count;
    struct place_cell *cells;
};

/* Callback argument of a port call. */
struct place_call {
    struct place_cell *cell;
    uint64_t generation;
    enum cw_worker_call kind;
    struct cw_name task;
    struct cw_name worker;
    uint32_t attempt;
};

/* ctl_place.c */
/* Entries of the control table. */
void cw_ctl_place_init(struct cw_daemon *d);
void cw_ctl_place_tick(struct cw_daemon *d, cw_ms now);
void cw_ctl_place_finish(struct cw_daemon *d);
/* NULL when memory is short. The callback passes it to place_call_end, which
 * frees it and returns false when the answer must be ignored. */
struct place_call *place_call_begin(struct place_cell *c);
bool place_call_end(struct place_call *call);
/* Frees the cell's state and makes it idle. It may be claimed again later. */
void place_cell_drop(struct place_cell *c);

/* ctl_place_stream.c */
void place_stream_tick(struct place_cell *c, cw_ms now);
void place_stream_clear(struct place_cell *c);
/* Queues a record of the given type for the next append. Takes ownership of
 * fields. */
void place_queue_record(struct place_cell *c, const char *type, json_t *fields,
                        bool retry);
/* Queues a "carry" record for each placed task, so that its state outlives the
 * retention of its start record. */
void place_carry_tasks(struct place_cell *c);

/* ctl_place_calls.c */
void place_reports_tick(struct place_cell *c, cw_ms now);
/* Plans a request for the reports of all workers. Reports cover changes only,
 * so a start call that never reached its worker does not show in them. */
void place_schedule_full_report(struct place_cell *c, cw_ms now);
void place_run_action(void *ctx, const struct cw_place_action *a);
/* Calls the worker to start a task whose start record is in force. */
void place_call_start(struct place_cell *c, const struct cw_place_task *t,
                      struct cw_str worker);
/* Calls a worker to stop and forget a task. The fence makes the worker refuse
 * an older start call that arrives later. */
void place_call_stop(struct place_cell *c, struct cw_str task,
                     struct cw_str worker, uint64_t fence);

#endif
