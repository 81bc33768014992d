/* Tells the scheduler which machines exist: the VMs of the list, which can
 * move to any pool, and workers on VMs that the list does not have. */
#include "cw_fit.h"
#include "fleet_int.h"

#include <stdlib.h>
#include <string.h>

static void
add_vm(const struct cw_jobd *d, struct cw_machine *m, const struct fleet_vm *v)
{
    const struct cw_vm_workers *workers =
        cw_map_get(&d->sched->vms, cw_name_str(&v->name));

    m->capacity = v->capacity;
    m->label_count = v->label_count;
    memcpy(m->labels, v->labels, v->label_count * sizeof(v->labels[0]));
    for (const struct cw_worker *w = workers == NULL ? NULL : workers->list;
         w != NULL; w = w->vm_next) {
        struct cw_resources need = cw_worker_lasting_need(w);

        m->lasting.cpu_milli += need.cpu_milli;
        m->lasting.memory_mb += need.memory_mb;
        m->lasting.accelerators += need.accelerators;
    }
}

static void
add_worker(struct cw_machine *m, const struct cw_worker *w)
{
    m->pool = w->pool;
    m->capacity = w->capacity;
    m->lasting = cw_worker_lasting_need(w);
    m->label_count = w->label_count;
    memcpy(m->labels, w->labels, w->label_count * sizeof(w->labels[0]));
}

static bool
is_listed(const struct cw_jobd *d, const struct cw_name *vm)
{
    const struct fleet_vm *v =
        vm->len == 0 ? NULL : cw_map_get(&d->fleet->vms, cw_name_str(vm));

    return v != NULL && v->listed_at != 0 && !v->left;
}

void
cw_fleet_update_machines(struct cw_jobd *d)
{
    const struct cw_fleet *f = d->fleet;
    size_t n = f->vm_count + 1;
    struct cw_machine *rows;

    /* A process that has not read both lists must not call a job
     * impossible. */
    if (!d->workers_loaded ||
        (d->ports.vmctl.list != NULL && !f->list_complete)) {
        return;
    }
    for (struct cw_pool *p = d->sched->pool_list; p != NULL; p = p->next) {
        n += p->worker_count;
    }
    rows = calloc(n, sizeof(*rows));
    CW_INVARIANT(rows != NULL);
    n = 0;
    for (const struct fleet_vm *v = f->list; v != NULL; v = v->next) {
        if (v->listed_at != 0 && !v->left) {
            add_vm(d, &rows[n++], v);
        }
    }
    for (struct cw_pool *p = d->sched->pool_list; p != NULL; p = p->next) {
        for (const struct cw_worker *w = p->workers; w != NULL; w = w->next) {
            /* A worker that is gone may be back in seconds. */
            if (!is_listed(d, &w->vm) && w->capacity.cpu_milli > 0) {
                add_worker(&rows[n++], w);
            }
        }
    }
    cw_sched_set_machines(d->sched, rows, n);
    free(rows);
}
