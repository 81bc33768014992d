/* Shared by the tests of documents and the replicated state. */
#ifndef STATE_UTIL_H
#define STATE_UTIL_H

#include "cuminwalk.h"

/* Applies {"id","by","time", body} at the next offset; body is the inside of
 * a JSON object, without braces. A NULL id gives r<offset>. */
enum cw_apply feed_id(struct cw_state *s, const char *id, const char *by,
                      const char *body);
enum cw_apply feed(struct cw_state *s, const char *by, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/* Joins daemons d1 .. dn, at offsets applied + 1 and on. */
void feed_members(struct cw_state *s, int n);
void feed_vm(struct cw_state *s, const char *vm, const char *pool);
/* One step of an operation, written by the holder of pool/<from>. */
enum cw_apply feed_step(struct cw_state *s, const char *op, const char *kind,
                        const char *vm, const char *from, const char *to,
                        const char *step);
/* Name of the daemon that holds a scope, or of one that does not. */
const char *holder_of(const struct cw_state *s, const char *scope);
const char *other_than_holder(const struct cw_state *s, const char *scope);

/* A document in JSON with two spots for faults: extra goes to the top level
 * and begins with a comma unless empty. */
void make_doc(struct cw_buf *out, const char *service, const char *extra);
/* A doc record's body for feed. */
enum cw_apply feed_doc(struct cw_state *s, const char *id, const char *by,
                       const char *service, uint64_t base, const char *extra);

/* Copies text with a few random changes of bytes, cuts and repetitions. */
void mutate(struct cw_rng *rng, struct cw_str text, struct cw_buf *out);

#endif
