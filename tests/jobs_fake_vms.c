/* Fake VM control behind the ports of the job service: VMs that are off. */
#include "jobs_fake.h"

#include <stdlib.h>
#include <string.h>

#define ANSWER_MS 2
#define TIMEOUT_MS 300 /* of a call that gets no answer */

struct vm_answer {
    uv_timer_t timer;
    struct fake_platform *f;
    cw_vm_page_done page;
    cw_vm_done done;
    void *arg;
    enum cw_status status;
};

static void
on_freed(uv_handle_t *h)
{
    free(h);
}

static void
answer_list(struct vm_answer *a)
{
    struct cw_vm_row rows[FAKE_VMS_MAX] = {0};
    struct cw_vm_page page = {.vms = rows, .count = a->f->vm_count};

    for (size_t i = 0; i < page.count; i++) {
        char name[32];

        (void)snprintf(name, sizeof(name), "off-%zu", i);
        (void)cw_name_set(&rows[i].vm, cw_str_from(name));
        (void)cw_name_set(&rows[i].pool,
                          a->f->vms[i].moving ? CW_LIT("s") : CW_LIT("off"));
        rows[i].phase = a->f->vms[i].moving ? CW_VM_MOVING : CW_VM_UP;
        rows[i].capacity.cpu_milli = 4000;
        rows[i].capacity.memory_mb = 4000;
    }
    a->page(a->arg, CW_OK, &page);
}

static void
on_answer_due(uv_timer_t *t)
{
    struct vm_answer *a = (struct vm_answer *)t;

    if (a->page != NULL) {
        answer_list(a);
    }
    else {
        a->done(a->arg, a->status);
    }
    uv_close((uv_handle_t *)t, on_freed);
}

static struct vm_answer *
new_answer(struct fake_platform *f, void *arg, uint64_t ms)
{
    struct vm_answer *a = calloc(1, sizeof(*a));

    CW_INVARIANT(a != NULL && uv_timer_init(f->loop, &a->timer) == 0);
    a->f = f;
    a->arg = arg;
    uv_timer_start(&a->timer, on_answer_due, ms, 0);
    return a;
}

static void
list_vms(void *ctx, struct cw_str page, cw_ms timeout, cw_vm_page_done done,
         void *arg)
{
    (void)page;
    (void)timeout;
    new_answer(ctx, arg, ANSWER_MS)->page = done;
}

static void
accept_order(struct fake_platform *f, struct cw_str vm, struct cw_str holder,
             cw_vm_done done, void *arg)
{
    struct vm_answer *a =
        new_answer(f, arg, f->lose_orders ? TIMEOUT_MS : ANSWER_MS);
    cw_ms now = (cw_ms)uv_now(f->loop);
    struct fake_vm *v;

    a->done = done;
    a->status = f->lose_orders ? CW_ERR_UNKNOWN : CW_OK;
    CW_INVARIANT(vm.len == 5 && vm.ptr[4] < '0' + FAKE_VMS_MAX);
    v = &f->vms[vm.ptr[4] - '0'];
    if (v->ordered_at != 0 && !cw_str_eq(cw_str_from(v->holder), holder) &&
        now - v->ordered_at < f->shortest_handover_ms) {
        f->shortest_handover_ms = now - v->ordered_at;
    }
    v->ordered_at = now;
    (void)snprintf(v->holder, sizeof(v->holder), "%.*s", CW_FMT(holder));
    v->moving = !f->lose_orders;
}

static void
move_vm(void *ctx, struct cw_str vm, struct cw_str pool, struct cw_str holder,
        uint64_t token, cw_ms timeout, cw_vm_done done, void *arg)
{
    (void)pool;
    (void)token;
    (void)timeout;
    accept_order(ctx, vm, holder, done, arg);
}

static void
maintain_vm(void *ctx, struct cw_str vm, uint64_t wave, struct cw_str holder,
            uint64_t token, cw_ms timeout, cw_vm_done done, void *arg)
{
    (void)wave;
    (void)token;
    (void)timeout;
    accept_order(ctx, vm, holder, done, arg);
}

void
fake_vm_ports(struct cw_job_ports *ports)
{
    ports->vmctl = (struct cw_vmctl_port){list_vms, move_vm, maintain_vm};
}
