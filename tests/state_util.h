/* Helpers of the tests of documents, records and the replicated state. */
#ifndef STATE_UTIL_H
#define STATE_UTIL_H

#include "cuminwalk.h"

/* Applies a record at the next offset and returns its effect. The record has
 * the id, the writer by, the time offset * 1000 and the fields of body, the
 * content of a JSON object without braces. A NULL id gives r<offset>. */
enum cw_apply_result apply_record_with_id(struct cw_state *s, const char *id,
                                          const char *by, const char *body);
/* The same with a formatted body and the id r<offset>. */
enum cw_apply_result apply_record(struct cw_state *s, const char *by,
                                  const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/* Applies the joins of daemons d1 .. dn, at the next n offsets. */
void join_members(struct cw_state *s, int n);
/* Applies the record of a new VM in the pool. */
void add_vm(struct cw_state *s, const char *vm, const char *pool);
/* Applies one step of an operation, written by the holder of pool/<from>. */
enum cw_apply_result apply_op_step(struct cw_state *s, const char *op,
                                   const char *kind, const char *vm,
                                   const char *from, const char *to,
                                   const char *step);
/* Name of the member that holds a scope, and of a member that does not. */
const char *holder_of(const struct cw_state *s, const char *scope);
const char *non_holder_of(const struct cw_state *s, const char *scope);

/* Adds a valid document as JSON text to out. extra is added to its top level
 * and begins with a comma unless it is empty. */
void make_doc(struct cw_buf *out, const char *service, const char *extra);
/* Applies the edit of such a document. */
enum cw_apply_result apply_doc_edit(struct cw_state *s, const char *id,
                                    const char *by, const char *service,
                                    uint64_t base, const char *extra);

/* Copies text to out with 1 to 4 random changes: bytes replaced, repeated or
 * cut, or a bit flipped. */
void mutate_text(struct cw_rng *rng, struct cw_str text, struct cw_buf *out);

#endif
