/* Doubly linked list of structures that embed a link. */
#ifndef CW_LIST_H
#define CW_LIST_H

#include <stddef.h>

struct cw_link {
    struct cw_link *prev;
    struct cw_link *next;
};

struct cw_list {
    struct cw_link sentinel;
    size_t count;
};

void cw_list_init(struct cw_list *list);
void cw_list_add(struct cw_list *list, struct cw_link *l);
void cw_list_remove(struct cw_list *list, struct cw_link *l);

/* The first structure of a list, and the one after e; NULL at the end. */
#define CW_LIST_FIRST(list, type, field)                                      \
    ((type *)cw_list_first((list), offsetof(type, field)))
#define CW_LIST_NEXT(list, e, type, field)                                    \
    ((type *)cw_list_next((list), &(e)->field, offsetof(type, field)))

void *cw_list_first(const struct cw_list *list, size_t offset);
void *cw_list_next(const struct cw_list *list, const struct cw_link *l,
                   size_t offset);

#endif
