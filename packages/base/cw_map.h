/* Hash map from a name to a structure whose first member is that name. */
#ifndef CW_MAP_H
#define CW_MAP_H

#include "cuminwalk.h"

/* The map stores pointers; the entries stay the caller's. */
struct cw_map {
    size_t count;
    size_t used; /* slots that hold an entry or a removed mark */
    size_t cap;  /* a power of two, or 0 */
    void **slots;
};

void cw_map_init(struct cw_map *m);
void cw_map_finish(struct cw_map *m);
/* Returns the entry of that name, or NULL. */
void *cw_map_get(const struct cw_map *m, struct cw_str name);
/* Adds an entry whose name is not in the map yet. */
enum cw_status cw_map_put(struct cw_map *m, void *entry);
/* Takes the entry out and returns it, or NULL when there is none. */
void *cw_map_remove(struct cw_map *m, struct cw_str name);

#endif
