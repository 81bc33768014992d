#include "cw_list.h"

void
cw_list_init(struct cw_list *list)
{
    list->ends.prev = &list->ends;
    list->ends.next = &list->ends;
    list->count = 0;
}

void
cw_list_add(struct cw_list *list, struct cw_link *l)
{
    l->prev = &list->ends;
    l->next = list->ends.next;
    l->next->prev = l;
    list->ends.next = l;
    list->count++;
}

void
cw_list_remove(struct cw_list *list, struct cw_link *l)
{
    l->prev->next = l->next;
    l->next->prev = l->prev;
    l->prev = l;
    l->next = l;
    list->count--;
}

void *
cw_list_first(const struct cw_list *list, size_t offset)
{
    return cw_list_next(list, &list->ends, offset);
}

void *
cw_list_next(const struct cw_list *list, const struct cw_link *l,
             size_t offset)
{
    return l->next == &list->ends ? NULL : (char *)l->next - offset;
}
