/* Parts of the intent table that its source files share. */
#ifndef CW_IDEM_INT_H
#define CW_IDEM_INT_H

#include "cuminwalk.h"

enum { CW_ITEM_EMPTY, CW_ITEM_OPEN, CW_ITEM_DONE, CW_ITEM_RELEASED };

/* Where the search for a hash begins in a table of cap places. */
uint32_t cw_idem_place(uint64_t hash, uint32_t cap);
/* The item of a hash, alive or not, or NULL. */
struct cw_idem_item *cw_idem_item(const struct cw_idem *t, uint64_t hash);
bool cw_idem_alive(const struct cw_idem *t, const struct cw_idem_item *it,
                   cw_ms time);

#endif
