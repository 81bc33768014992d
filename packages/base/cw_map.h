/* Hash map from a name to a structure whose first member is that name. */
#ifndef CW_MAP_H
#define CW_MAP_H

#include "cuminwalk.h"

/* Stores pointers to entries that the caller owns. A name must not change
 * while its entry is in the map. */
struct cw_map {
    size_t count;
    size_t used; /* slots with an entry or the tombstone of a removed one */
    size_t cap;  /* a power of two, or 0 */
    void **slots;
};

void cw_map_init(struct cw_map *m);
void cw_map_finish(struct cw_map *m);
/* Returns the entry with the name, or NULL. */
void *cw_map_get(const struct cw_map *m, struct cw_str name);
/* Adds an entry whose name is not in the map yet. */
enum cw_status cw_map_put(struct cw_map *m, void *entry);
/* Removes and returns the entry with the name; NULL when there is none. */
void *cw_map_remove(struct cw_map *m, struct cw_str name);

#endif
