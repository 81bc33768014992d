/* The order in which a pool releases its VMs. */
#include "cw_fleet.h"

#include <stdlib.h>

struct kind {
    const struct cw_name *name;
    size_t count;
};

struct candidate {
    size_t index; /* in the input */
    size_t kind;  /* index of its kind; for sorting the kind's number of VMs */
    cw_ms idle_at;
};

/* VMs of the most common kind first, among these the longest idle one. */
static int
release_order_cmp(const void *a, const void *b)
{
    const struct candidate *x = a;
    const struct candidate *y = b;

    if (x->kind != y->kind) {
        return x->kind > y->kind ? -1 : 1;
    }
    if (x->idle_at != y->idle_at) {
        return x->idle_at < y->idle_at ? -1 : 1;
    }
    return x->index < y->index ? -1 : 1;
}

static size_t
kind_index(struct kind *kinds, size_t *count, const struct cw_name *name)
{
    size_t i = 0;

    while (i < *count && !cw_name_eq(kinds[i].name, name)) {
        i++;
    }
    if (i == *count) {
        kinds[(*count)++] = (struct kind){name, 0};
    }
    return i;
}

size_t
cw_fleet_release_order(const struct cw_release_candidate *vms, size_t n,
                       const struct cw_name *pool, size_t *out)
{
    struct kind *kinds = calloc(n + 1, sizeof(*kinds));
    struct candidate *list = calloc(n + 1, sizeof(*list));
    size_t kind_count = 0;
    size_t count = 0;

    if (kinds == NULL || list == NULL) {
        free(kinds);
        free(list);
        return 0;
    }
    for (size_t i = 0; i < n; i++) {
        size_t k;

        if (!cw_name_eq(vms[i].pool, pool)) {
            continue;
        }
        k = kind_index(kinds, &kind_count, vms[i].kind);
        kinds[k].count++;
        if (vms[i].movable) {
            list[count++] = (struct candidate){i, k, vms[i].idle_at};
        }
    }
    for (size_t i = 0; i < count; i++) {
        list[i].kind = kinds[list[i].kind].count;
    }
    if (count > 0) {
        qsort(list, count, sizeof(*list), release_order_cmp);
    }
    for (size_t i = 0; i < count; i++) {
        out[i] = list[i].index;
    }
    free(kinds);
    free(list);
    return count;
}
