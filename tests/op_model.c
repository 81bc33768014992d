/* Log, pool control and daemons for the tests of VM operations. */
#include "op_model.h"

#include <string.h>

#define VMS 6
#define NODES 3
#define OPS 400
#define RECORDS 4096
#define TICK 100
#define NEEDED 2
#define LATE_MAX 64

enum rec_kind { REC_STEP, REC_LAPSE, REC_JOIN };

struct rec {
    enum rec_kind kind;
    int by; /* writer, or the node that lapses */
    uint64_t writer_inc;
    int op;
    int vm;
    enum cw_op_kind op_kind;
    enum cw_op_step step;
    uint64_t vm_inc;
    int to;
    cw_ms time;
};

struct op {
    bool used;
    int vm;
    enum cw_op_kind kind;
    enum cw_op_step step;
    uint64_t offset;
    uint64_t first;
    cw_ms wall;
    uint64_t vm_inc;
    int to;
};

/* What a replica has replayed. */
struct view {
    size_t applied;
    bool member[NODES];
    uint64_t inc[NODES];
    int holder;
    struct op ops[OPS];
    int last_op[VMS]; /* -1 for none */
    int pool[VMS];
};

struct node {
    struct view view;
    uint64_t inc;
    cw_ms frozen_until;
    cw_ms confirmed;
    cw_ms epoch_seen; /* when a membership change was replayed */
    cw_ms heard;      /* last heartbeat that the others got */
    size_t heard_applied;
    uint32_t heard_in_flight[VMS];
    uint32_t in_flight[VMS];
    cw_ms seen_at[VMS]; /* when the last request reaches the VM */
    cw_ms append_until; /* 0 = no append outstanding */
    struct cw_op_status status[VMS];
    bool answered[VMS];
    bool settled[OPS];
};

struct vm {
    int pool;
    uint64_t inc;
    enum cw_op_vm_state state;
    cw_ms until;
    uint64_t fence;
    uint8_t seen[OPS]; /* bit per call */
};

/* A message on its way: a call or an append. */
struct late {
    cw_ms at;
    bool is_call;
    int node;
    struct rec rec;
    enum cw_op_call call;
    uint64_t fence;
};

struct model {
    struct cw_rng rng;
    struct op_knobs knobs;
    cw_ms now;
    bool log_up;
    bool pool_up;
    bool quiet; /* no new faults and no new operations */
    size_t count;
    struct rec log[RECORDS + 1]; /* offsets from 1 */
    int ops;
    struct node nodes[NODES];
    struct vm vms[VMS];
    struct late late[LATE_MAX];
    struct op_result result;
};

static struct model m;
static const char *const pools[] = {"a", "b"};

static bool
chance(uint32_t percent)
{
    return cw_rng_below(&m.rng, 100) < percent;
}

static void
view_init(struct view *v)
{
    memset(v, 0, sizeof(*v));
    memset(v->member, true, sizeof(v->member));
    for (int i = 0; i < VMS; i++) {
        v->last_op[i] = -1;
        /* Both pools begin with one VM more than they need. */
        v->pool[i] = i % 2;
    }
}

/* Of the nodes 0 and 1; changes with each membership record. */
static int
find_holder(const struct view *v, uint64_t epoch)
{
    int first = (int)(cw_hash_mix(epoch, 7) % 2);
    if (v->member[first]) {
        return first;
    }
    return v->member[1 - first] ? 1 - first : -1;
}

static bool
is_valid_step(const struct view *v, const struct rec *r)
{
    if (r->by != v->holder || r->writer_inc != v->inc[r->by]) {
        return false;
    }
    const struct op *o = &v->ops[r->op];
    if (r->step == CW_STEP_DRAINING) {
        int last = v->last_op[r->vm];
        return !o->used && (last < 0 || cw_op_ended(v->ops[last].step));
    }
    return o->used &&
           (cw_op_follows(o->kind, o->step, r->step) ||
            (!m.knobs.op.forward_only && r->step == CW_STEP_CANCELLED &&
             !cw_op_ended(o->step)));
}

static void
view_apply(struct view *v)
{
    uint64_t offset = ++v->applied;
    const struct rec *r = &m.log[offset];
    if (r->kind != REC_STEP) {
        if (r->kind == REC_LAPSE && v->inc[r->by] == r->writer_inc) {
            v->member[r->by] = false;
        }
        else if (r->kind == REC_JOIN && r->writer_inc > v->inc[r->by]) {
            v->member[r->by] = true;
            v->inc[r->by] = r->writer_inc;
        }
        v->holder = find_holder(v, offset);
        return;
    }
    if (!is_valid_step(v, r)) {
        return;
    }
    struct op *o = &v->ops[r->op];
    if (r->step == CW_STEP_DRAINING) {
        *o = (struct op){.used = true,
                         .vm = r->vm,
                         .kind = r->op_kind,
                         .first = offset,
                         .vm_inc = r->vm_inc,
                         .to = r->to};
        v->last_op[r->vm] = r->op;
    }
    o->step = r->step;
    o->offset = offset;
    o->wall = r->time;
    if (r->step == CW_STEP_ASSIGNING) {
        v->pool[o->vm] = o->to;
    }
}

/* ---- pool control ---- */

/* Requests at the VM; the VM itself does not see those on their way yet. */
static uint32_t
in_flight(int vm, bool seen_only)
{
    uint32_t n = 0;
    for (int i = 0; i < NODES; i++) {
        bool hidden = seen_only && m.now < m.nodes[i].seen_at[vm];
        n += hidden ? 0 : m.nodes[i].in_flight[vm];
    }
    return n;
}

static void
pool_call(const struct late *l)
{
    struct vm *v = &m.vms[l->rec.vm];
    bool repeated = v->seen[l->rec.op] & (1U << l->call);
    struct node *n = &m.nodes[l->node];
    bool refused = m.knobs.fences && l->fence < v->fence;
    if (!m.pool_up || (refused && !repeated)) {
        return;
    }
    /* Half of the responses are lost. */
    if (n->view.last_op[l->rec.vm] == l->rec.op && chance(50)) {
        n->answered[l->rec.vm] = true;
    }
    if (repeated) {
        return;
    }
    v->seen[l->rec.op] |= (uint8_t)(1U << l->call);
    v->fence = l->fence > v->fence ? l->fence : v->fence;
    if (l->call == CW_OP_CALL_DRAIN && v->state == CW_OP_VM_READY) {
        v->state = CW_OP_VM_DRAINING;
    }
    else if (l->call == CW_OP_CALL_UNDRAIN && v->state == CW_OP_VM_DRAINING) {
        v->state = CW_OP_VM_READY;
    }
    else if (l->call == CW_OP_CALL_REBOOT || l->call == CW_OP_CALL_ASSIGN) {
        m.result.cut +=
            in_flight(l->rec.vm, false) > 0 || v->state == CW_OP_VM_READY;
        v->state = CW_OP_VM_REBOOTING;
        v->until = m.now + 3000;
        if (l->call == CW_OP_CALL_ASSIGN) {
            v->pool = l->rec.to;
        }
    }
}

static void
deliver(void)
{
    for (size_t i = 0; i < LATE_MAX; i++) {
        struct late *l = &m.late[i];
        if (l->at == 0 || l->at > m.now) {
            continue;
        }
        l->at = 0;
        if (l->is_call) {
            pool_call(l);
        }
        else if (m.log_up && m.count < RECORDS) {
            m.log[++m.count] = l->rec;
        }
    }
    for (int i = 0; i < VMS; i++) {
        if (m.vms[i].state == CW_OP_VM_REBOOTING && m.vms[i].until <= m.now) {
            m.vms[i].state = CW_OP_VM_READY;
            m.vms[i].inc++;
        }
    }
}

/* Mostly prompt, sometimes late, sometimes never. */
static void
send_late(struct late l)
{
    if (chance(10)) {
        return;
    }
    cw_ms d =
        chance(85)
            ? 1
            : (cw_ms)cw_rng_below(&m.rng, (uint64_t)m.knobs.longest_delay);
    for (size_t i = 0; i < LATE_MAX; i++) {
        if (m.late[i].at == 0) {
            l.at = m.now + 1 + d;
            m.late[i] = l;
            return;
        }
    }
}

/* ---- a daemon ---- */

static void
append_rec(int id, struct rec r)
{
    struct node *n = &m.nodes[id];
    r.time = m.now;
    n->append_until = m.now + 5000;
    send_late((struct late){.node = id, .rec = r});
}

static bool
is_member(const struct node *n, int id)
{
    return n->view.member[id] && n->view.inc[id] == n->inc;
}

static void
read_log(int id)
{
    struct node *n = &m.nodes[id];
    if (!m.log_up) {
        return;
    }
    size_t upto = chance(80) ? m.count : n->view.applied;
    while (n->view.applied < upto) {
        int holder = n->view.holder;
        view_apply(&n->view);
        const struct rec *r = &m.log[n->view.applied];
        if (r->kind == REC_STEP) {
            n->status[r->vm].known = false;
            n->answered[r->vm] = false;
        }
        else {
            n->epoch_seen = m.now;
        }
        if (holder != n->view.holder) {
            memset(n->settled, 0, sizeof(n->settled));
        }
        n->append_until =
            n->append_until > 0 && r->by == id ? 0 : n->append_until;
    }
    if (n->append_until > 0 && m.now > n->append_until &&
        n->view.applied == m.count) {
        n->append_until = 0;
    }
    if (n->view.applied == m.count && is_member(n, id)) {
        n->confirmed = m.now;
    }
    if (!is_member(n, id) && n->append_until == 0) {
        n->inc += n->inc == n->view.inc[id];
        append_rec(id, (struct rec){
                           .kind = REC_JOIN, .by = id, .writer_inc = n->inc});
    }
}

static void
use_vms(int id)
{
    struct node *n = &m.nodes[id];
    for (int i = 0; i < VMS; i++) {
        int last = n->view.last_op[i];
        bool usable = last < 0 || cw_op_ended(n->view.ops[last].step);
        if (usable && (m.now - n->confirmed <= 3000) && is_member(n, id) &&
            m.vms[i].state == CW_OP_VM_READY && chance(40)) {
            n->in_flight[i]++;
            n->seen_at[i] = m.now + (chance(90) ? TICK : 10 * TICK);
        }
    }
    n->heard = m.now;
    n->heard_applied = n->view.applied;
    memcpy(n->heard_in_flight, n->in_flight, sizeof(n->in_flight));
}

static void
lapse_silent(int id)
{
    struct node *n = &m.nodes[id];
    for (int i = 0; i < NODES; i++) {
        if (i != id && n->view.member[i] && n->append_until == 0 &&
            m.now - m.nodes[i].heard > 3000) {
            append_rec(id, (struct rec){.kind = REC_LAPSE,
                                        .by = i,
                                        .writer_inc = n->view.inc[i]});
        }
    }
}

/* VMs that the pool has in service. Cancelled and failed operations count as
 * out until they are settled. */
static uint32_t
count_ready(const struct node *n, int pool)
{
    uint32_t ready = 0;
    for (int i = 0; i < VMS; i++) {
        int last = n->view.last_op[i];
        ready += n->view.pool[i] == pool && m.vms[i].state == CW_OP_VM_READY &&
                 (last < 0 || n->settled[last]);
    }
    return ready;
}

static struct cw_op_in
gather(int id, const struct op *o)
{
    struct node *n = &m.nodes[id];
    struct cw_op_in in = {.wall = m.now,
                          .kind = o->kind,
                          .step = o->step,
                          .step_offset = o->offset,
                          .step_wall = o->wall,
                          .to = cw_str_from(pools[o->to]),
                          .incarnation = o->vm_inc,
                          .drain_ms = 20000,
                          .log_available = m.log_up,
                          .confirmed = (m.now - n->confirmed <= 3000),
                          .call_answered = n->answered[o->vm],
                          .members_stable = m.now - n->epoch_seen >= 4000,
                          .vm_ready = m.vms[o->vm].state == CW_OP_VM_READY,
                          .status = n->status[o->vm]};
    /* A start that landed late may find that the pool has no VM to spare. */
    in.give_up = (!m.quiet && chance(1)) ||
                         (m.knobs.recheck &&
                          count_ready(n, n->view.pool[o->vm]) < NEEDED)
                     ? "test"
                     : NULL;
    for (int i = 0; i < NODES; i++) {
        const struct node *x = &m.nodes[i];
        in.members += n->view.member[i];
        in.members_drained += n->view.member[i] &&
                              x->heard_applied >= o->first &&
                              x->heard_in_flight[o->vm] == 0;
    }
    return in;
}

static void
drive(int id, int op)
{
    struct node *n = &m.nodes[id];
    const struct op *o = &n->view.ops[op];
    struct cw_op_in in = gather(id, o);
    struct cw_op_out out;
    cw_op_decide(&m.knobs.op, &in, &out);
    struct rec r = {.kind = REC_STEP,
                    .by = id,
                    .writer_inc = n->inc,
                    .op = op,
                    .vm = o->vm,
                    .op_kind = o->kind,
                    .step = out.step,
                    .to = o->to};
    if (out.action == CW_OP_ASK && m.pool_up) {
        const struct vm *v = &m.vms[o->vm];
        n->status[o->vm] =
            (struct cw_op_status){.known = true,
                                  .state = v->state,
                                  .incarnation = v->inc,
                                  .pool = cw_str_from(pools[v->pool]),
                                  .fence = v->fence,
                                  .in_flight = in_flight(o->vm, true)};
    }
    else if (out.action == CW_OP_CALL) {
        send_late((struct late){.is_call = true,
                                .node = id,
                                .rec = r,
                                .call = out.call,
                                .fence = out.fence});
        n->status[o->vm].known = false;
    }
    else if (out.action == CW_OP_APPEND && n->append_until == 0) {
        append_rec(id, r);
    }
    else if (out.action == CW_OP_SETTLED) {
        n->settled[op] = true;
    }
    else if (chance(30)) {
        n->status[o->vm].known = false;
    }
}

static void
begin(int id)
{
    struct node *n = &m.nodes[id];
    int vm = (int)cw_rng_below(&m.rng, VMS);
    int last = n->view.last_op[vm];
    uint32_t ready = count_ready(n, n->view.pool[vm]);
    /* Drained without an operation, by a call that pool control should have
     * refused: only a new operation brings the VM back. */
    bool stray = m.vms[vm].state == CW_OP_VM_DRAINING;
    if ((last >= 0 && !n->settled[last]) || n->append_until > 0 ||
        m.ops == OPS || !m.log_up || !(m.now - n->confirmed <= 3000) ||
        (!stray && (m.quiet || m.vms[vm].state != CW_OP_VM_READY ||
                    cw_vms_surplus(ready, NEEDED) == 0))) {
        return;
    }
    bool move = !stray && chance(50);
    int pool = n->view.pool[vm];
    append_rec(id, (struct rec){.kind = REC_STEP,
                                .by = id,
                                .writer_inc = n->inc,
                                .op = m.ops++,
                                .vm = vm,
                                .step = CW_STEP_DRAINING,
                                .op_kind = move ? CW_OP_MOVE : CW_OP_MAINTAIN,
                                .vm_inc = m.vms[vm].inc,
                                .to = move ? 1 - pool : pool});
}

static void
run_node(int id)
{
    struct node *n = &m.nodes[id];
    for (int i = 0; i < VMS; i++) {
        /* Requests end at the VM even while their daemon is frozen; the
         * longest of them outlast its membership. */
        uint32_t rate = m.now < n->frozen_until ? 2 : 60;
        n->in_flight[i] -= n->in_flight[i] > 0 && chance(rate);
    }
    if (m.now < n->frozen_until) {
        return;
    }
    /* A daemon that wakes may act before it reads the log again. */
    if (chance(70)) {
        read_log(id);
    }
    use_vms(id);
    lapse_silent(id);
    if (n->view.holder != id || !is_member(n, id)) {
        return;
    }
    for (int i = 0; i < VMS; i++) {
        int last = n->view.last_op[i];
        if (last >= 0 && !n->settled[last]) {
            drive(id, last);
        }
    }
    begin(id);
}

static void
check_tick(void)
{
    uint32_t ready[2] = {0};
    for (int i = 0; i < VMS; i++) {
        ready[m.vms[i].pool] += m.vms[i].state == CW_OP_VM_READY;
    }
    m.result.below += ready[0] < NEEDED || ready[1] < NEEDED;
}

static void
check_end(void)
{
    static struct view v;
    view_init(&v);
    while (v.applied < m.count) {
        view_apply(&v);
    }
    for (int i = 0; i < VMS; i++) {
        m.result.wrong_pool += v.pool[i] != m.vms[i].pool;
        m.result.stray += m.vms[i].state != CW_OP_VM_READY;
    }
    for (int i = 0; i < OPS; i++) {
        m.result.unended += v.ops[i].used && !cw_op_ended(v.ops[i].step);
        m.result.done += v.ops[i].used && v.ops[i].step == CW_STEP_DONE;
        m.result.cancelled +=
            v.ops[i].used && v.ops[i].step == CW_STEP_CANCELLED;
    }
}

struct op_result
op_model_run(uint64_t seed, struct op_knobs k)
{
    memset(&m, 0, sizeof(m));
    cw_rng_init(&m.rng, seed);
    m.knobs = k;
    m.log_up = m.pool_up = true;
    for (int i = 0; i < NODES; i++) {
        view_init(&m.nodes[i].view);
    }
    for (int i = 0; i < VMS; i++) {
        m.vms[i].pool = i % 2;
    }
    for (int t = 0; t < 9000; t++) {
        m.now += TICK;
        m.quiet = t >= 3000;
        if (m.quiet) {
            m.log_up = m.pool_up = true;
        }
        else {
            m.log_up = chance(1) ? !m.log_up : m.log_up || chance(2);
            m.pool_up = chance(1) ? !m.pool_up : m.pool_up || chance(2);
            struct node *n = &m.nodes[cw_rng_below(&m.rng, NODES)];
            if (n->frozen_until < m.now && chance(1)) {
                n->frozen_until =
                    m.now + 500 + (cw_ms)cw_rng_below(&m.rng, 8000);
            }
        }
        deliver();
        for (int i = 0; i < NODES; i++) {
            run_node(i);
        }
        check_tick();
    }
    check_end();
    return m.result;
}
