#include "cw_list.h"

void
cw_list_init(struct cw_list *list)
{
    list->sentinel.prev = &list->sentinel;
    list->sentinel.next = &list->sentinel;
    list->count = 0;
}

void
cw_list_add(struct cw_list *list, struct cw_link *l)
{
    l->prev = &list->sentinel;
    l->next = list->sentinel.next;
    l->next->prev = l;
    list->sentinel.next = l;
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
    return cw_list_next(list, &list->sentinel, offset);
}

void *
cw_list_next(const struct cw_list *list, const struct cw_link *l,
             size_t offset)
{
    return l->next == &list->sentinel ? NULL : (char *)l->next - offset;
}
