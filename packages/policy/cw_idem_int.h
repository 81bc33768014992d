/* Internals of the intent table, shared by its source files. */
#ifndef CW_IDEM_INT_H
#define CW_IDEM_INT_H

#include "cuminwalk.h"

enum { CW_ITEM_EMPTY, CW_ITEM_OPEN, CW_ITEM_DONE, CW_ITEM_RELEASED };

/* Bucket at which linear probing for a hash starts in a table of cap buckets.
 */
uint32_t cw_idem_home_bucket(uint64_t hash, uint32_t cap);
/* The item of a hash, within its window or not; NULL when there is none. */
struct cw_idem_item *cw_idem_lookup(const struct cw_idem *t, uint64_t hash);
/* True while the window of an item is open at time. */
bool cw_idem_in_window(const struct cw_idem *t, const struct cw_idem_item *it,
                       cw_ms time);

#endif
