/* Simulated log, pool control and daemons for the tests of VM operations. */
#include "op_model.h"

#include <string.h>

#define VMS 6
#define NODES 3
#define OPS_MAX 400
#define RECORDS_MAX 4096
#define TICK_MS 100
#define VMS_NEEDED 2
#define MESSAGES_MAX 64

enum record_kind { RECORD_STEP, RECORD_LAPSE, RECORD_JOIN };

struct record {
    enum record_kind kind;
    int node; /* writer; the lapsed or joining node for the other kinds */
    uint64_t writer_incarnation;
    int op;
    int vm;
    enum cw_op_kind op_kind;
    enum cw_op_step step;
    uint64_t vm_incarnation;
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
    uint64_t vm_incarnation;
    int to;
};

/* Replicated state of a node. */
struct replica {
    size_t applied;
    bool member[NODES];
    uint64_t incarnation[NODES];
    int holder;
    struct op ops[OPS_MAX];
    int last_op[VMS]; /* -1 for none */
    int pool[VMS];
};

struct node {
    struct replica view;
    uint64_t incarnation;
    cw_ms frozen_until;
    cw_ms confirmed;
    cw_ms epoch_seen;     /* time of the last membership change replayed */
    cw_ms last_heartbeat; /* time of the last one sent to the others */
    size_t heartbeat_applied;
    uint32_t heartbeat_in_flight[VMS];
    uint32_t in_flight[VMS];
    cw_ms arrives_at[VMS]; /* time at which the last request reaches the VM */
    cw_ms append_until;    /* 0 = no append outstanding */
    struct cw_op_status status[VMS];
    bool answered[VMS];
    bool settled[OPS_MAX];
};

struct vm {
    int pool;
    uint64_t incarnation;
    enum cw_op_vm_state state;
    cw_ms until;
    uint64_t fence;
    uint8_t calls_applied[OPS_MAX]; /* bit mask by enum cw_op_call */
};

/* A call or an append in transit. */
struct message {
    cw_ms deliver_at; /* 0 for a free entry */
    bool is_call;
    int node;
    struct record record;
    enum cw_op_call call;
    uint64_t fence;
};

struct model {
    struct cw_rng rng;
    struct op_model_options options;
    cw_ms now;
    bool log_up;
    bool pool_up;
    bool faults_off; /* no new faults and no new operations */
    size_t count;
    struct record log[RECORDS_MAX + 1]; /* offsets from 1 */
    int ops;
    struct node nodes[NODES];
    struct vm vms[VMS];
    struct message messages[MESSAGES_MAX];
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
replica_init(struct replica *v)
{
    memset(v, 0, sizeof(*v));
    memset(v->member, true, sizeof(v->member));
    for (int i = 0; i < VMS; i++) {
        v->last_op[i] = -1;
        /* Both pools start with one VM more than they need. */
        v->pool[i] = i % 2;
    }
}

/* Node 0 or 1, chosen anew with each membership record; -1 for none. */
static int
find_holder(const struct replica *v, uint64_t epoch)
{
    int first = (int)(cw_hash_mix(epoch, 7) % 2);
    if (v->member[first]) {
        return first;
    }
    return v->member[1 - first] ? 1 - first : -1;
}

static bool
is_valid_step(const struct replica *v, const struct record *r)
{
    if (r->node != v->holder ||
        r->writer_incarnation != v->incarnation[r->node]) {
        return false;
    }
    const struct op *o = &v->ops[r->op];
    if (r->step == CW_STEP_DRAINING) {
        int last = v->last_op[r->vm];
        return !o->used && (last < 0 || cw_op_ended(v->ops[last].step));
    }
    return o->used &&
           (cw_op_valid_transition(o->kind, o->step, r->step) ||
            (!m.options.op.forward_only && r->step == CW_STEP_CANCELLED &&
             !cw_op_ended(o->step)));
}

static void
replica_apply(struct replica *v)
{
    uint64_t offset = ++v->applied;
    const struct record *r = &m.log[offset];
    if (r->kind != RECORD_STEP) {
        if (r->kind == RECORD_LAPSE &&
            v->incarnation[r->node] == r->writer_incarnation) {
            v->member[r->node] = false;
        }
        else if (r->kind == RECORD_JOIN &&
                 r->writer_incarnation > v->incarnation[r->node]) {
            v->member[r->node] = true;
            v->incarnation[r->node] = r->writer_incarnation;
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
                         .vm_incarnation = r->vm_incarnation,
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

/* Requests in flight; the VM itself counts only those that arrived there. */
static uint32_t
in_flight(int vm, bool arrived_only)
{
    uint32_t n = 0;
    for (int i = 0; i < NODES; i++) {
        bool hidden = arrived_only && m.now < m.nodes[i].arrives_at[vm];
        n += hidden ? 0 : m.nodes[i].in_flight[vm];
    }
    return n;
}

static void
apply_call(const struct message *c)
{
    struct vm *v = &m.vms[c->record.vm];
    bool repeated = v->calls_applied[c->record.op] & (1U << c->call);
    struct node *n = &m.nodes[c->node];
    bool refused = m.options.fences && c->fence < v->fence;
    if (!m.pool_up || (refused && !repeated)) {
        return;
    }
    /* Half of the responses are lost. */
    if (n->view.last_op[c->record.vm] == c->record.op && chance(50)) {
        n->answered[c->record.vm] = true;
    }
    if (repeated) {
        return;
    }
    v->calls_applied[c->record.op] |= (uint8_t)(1U << c->call);
    v->fence = c->fence > v->fence ? c->fence : v->fence;
    if (c->call == CW_OP_CALL_DRAIN && v->state == CW_OP_VM_READY) {
        v->state = CW_OP_VM_DRAINING;
    }
    else if (c->call == CW_OP_CALL_UNDRAIN && v->state == CW_OP_VM_DRAINING) {
        v->state = CW_OP_VM_READY;
    }
    else if (c->call == CW_OP_CALL_REBOOT || c->call == CW_OP_CALL_ASSIGN) {
        m.result.interrupted +=
            in_flight(c->record.vm, false) > 0 || v->state == CW_OP_VM_READY;
        v->state = CW_OP_VM_REBOOTING;
        v->until = m.now + 3000;
        if (c->call == CW_OP_CALL_ASSIGN) {
            v->pool = c->record.to;
        }
    }
}

static void
deliver_messages(void)
{
    for (size_t i = 0; i < MESSAGES_MAX; i++) {
        struct message *msg = &m.messages[i];
        if (msg->deliver_at == 0 || msg->deliver_at > m.now) {
            continue;
        }
        msg->deliver_at = 0;
        if (msg->is_call) {
            apply_call(msg);
        }
        else if (m.log_up && m.count < RECORDS_MAX) {
            m.log[++m.count] = msg->record;
        }
    }
    for (int i = 0; i < VMS; i++) {
        if (m.vms[i].state == CW_OP_VM_REBOOTING && m.vms[i].until <= m.now) {
            m.vms[i].state = CW_OP_VM_READY;
            m.vms[i].incarnation++;
        }
    }
}

/* Most messages are delivered promptly, some late and some never. */
static void
send_message(struct message msg)
{
    if (chance(10)) {
        return;
    }
    cw_ms d =
        chance(85)
            ? 1
            : (cw_ms)cw_rng_below(&m.rng, (uint64_t)m.options.max_delay_ms);
    for (size_t i = 0; i < MESSAGES_MAX; i++) {
        if (m.messages[i].deliver_at == 0) {
            msg.deliver_at = m.now + 1 + d;
            m.messages[i] = msg;
            return;
        }
    }
}

/* ---- a daemon ---- */

static void
append_record(int id, struct record r)
{
    struct node *n = &m.nodes[id];
    r.time = m.now;
    n->append_until = m.now + 5000;
    send_message((struct message){.node = id, .record = r});
}

static bool
is_member(const struct node *n, int id)
{
    return n->view.member[id] && n->view.incarnation[id] == n->incarnation;
}

static void
read_log(int id)
{
    struct node *n = &m.nodes[id];
    if (!m.log_up) {
        return;
    }
    size_t end = chance(80) ? m.count : n->view.applied;
    while (n->view.applied < end) {
        int holder = n->view.holder;
        replica_apply(&n->view);
        const struct record *r = &m.log[n->view.applied];
        if (r->kind == RECORD_STEP) {
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
            n->append_until > 0 && r->node == id ? 0 : n->append_until;
    }
    if (n->append_until > 0 && m.now > n->append_until &&
        n->view.applied == m.count) {
        n->append_until = 0;
    }
    if (n->view.applied == m.count && is_member(n, id)) {
        n->confirmed = m.now;
    }
    if (!is_member(n, id) && n->append_until == 0) {
        n->incarnation += n->incarnation == n->view.incarnation[id];
        append_record(id,
                      (struct record){.kind = RECORD_JOIN,
                                      .node = id,
                                      .writer_incarnation = n->incarnation});
    }
}

static void
send_requests(int id)
{
    struct node *n = &m.nodes[id];
    for (int i = 0; i < VMS; i++) {
        int last = n->view.last_op[i];
        bool usable = last < 0 || cw_op_ended(n->view.ops[last].step);
        if (usable && (m.now - n->confirmed <= 3000) && is_member(n, id) &&
            m.vms[i].state == CW_OP_VM_READY && chance(40)) {
            n->in_flight[i]++;
            n->arrives_at[i] = m.now + (chance(90) ? TICK_MS : 10 * TICK_MS);
        }
    }
    n->last_heartbeat = m.now;
    n->heartbeat_applied = n->view.applied;
    memcpy(n->heartbeat_in_flight, n->in_flight, sizeof(n->in_flight));
}

static void
append_lapses(int id)
{
    struct node *n = &m.nodes[id];
    for (int i = 0; i < NODES; i++) {
        if (i != id && n->view.member[i] && n->append_until == 0 &&
            m.now - m.nodes[i].last_heartbeat > 3000) {
            append_record(id, (struct record){.kind = RECORD_LAPSE,
                                              .node = i,
                                              .writer_incarnation =
                                                  n->view.incarnation[i]});
        }
    }
}

/* Number of VMs that the pool has in service. The VM of an ended operation
 * counts as out of service until the operation is settled. */
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
make_input(int id, const struct op *o)
{
    struct node *n = &m.nodes[id];
    struct cw_op_in in = {.wall = m.now,
                          .kind = o->kind,
                          .step = o->step,
                          .step_offset = o->offset,
                          .step_wall = o->wall,
                          .to = cw_str_from(pools[o->to]),
                          .incarnation = o->vm_incarnation,
                          .drain_ms = 20000,
                          .log_available = m.log_up,
                          .confirmed = (m.now - n->confirmed <= 3000),
                          .call_answered = n->answered[o->vm],
                          .members_stable = m.now - n->epoch_seen >= 4000,
                          .vm_ready = m.vms[o->vm].state == CW_OP_VM_READY,
                          .status = n->status[o->vm]};
    /* If the start was appended late, the pool may have no VM to spare. */
    in.cancel_reason =
        (!m.faults_off && chance(1)) ||
                (m.options.recheck &&
                 count_ready(n, n->view.pool[o->vm]) < VMS_NEEDED)
            ? "test"
            : NULL;
    for (int i = 0; i < NODES; i++) {
        const struct node *x = &m.nodes[i];
        in.members += n->view.member[i];
        in.members_drained += n->view.member[i] &&
                              x->heartbeat_applied >= o->first &&
                              x->heartbeat_in_flight[o->vm] == 0;
    }
    return in;
}

static void
run_operation(int id, int op)
{
    struct node *n = &m.nodes[id];
    const struct op *o = &n->view.ops[op];
    struct cw_op_in in = make_input(id, o);
    struct cw_op_out out;
    cw_op_decide(&m.options.op, &in, &out);
    struct record r = {.kind = RECORD_STEP,
                       .node = id,
                       .writer_incarnation = n->incarnation,
                       .op = op,
                       .vm = o->vm,
                       .op_kind = o->kind,
                       .step = out.step,
                       .to = o->to};
    if (out.action == CW_OP_GET_STATUS && m.pool_up) {
        const struct vm *v = &m.vms[o->vm];
        n->status[o->vm] =
            (struct cw_op_status){.known = true,
                                  .state = v->state,
                                  .incarnation = v->incarnation,
                                  .pool = cw_str_from(pools[v->pool]),
                                  .fence = v->fence,
                                  .in_flight = in_flight(o->vm, true)};
    }
    else if (out.action == CW_OP_CALL) {
        send_message((struct message){.is_call = true,
                                      .node = id,
                                      .record = r,
                                      .call = out.call,
                                      .fence = out.fence});
        n->status[o->vm].known = false;
    }
    else if (out.action == CW_OP_APPEND && n->append_until == 0) {
        append_record(id, r);
    }
    else if (out.action == CW_OP_SETTLED) {
        n->settled[op] = true;
    }
    else if (chance(30)) {
        n->status[o->vm].known = false;
    }
}

static void
start_operation(int id)
{
    struct node *n = &m.nodes[id];
    int vm = (int)cw_rng_below(&m.rng, VMS);
    int last = n->view.last_op[vm];
    uint32_t ready = count_ready(n, n->view.pool[vm]);
    /* Drained without an operation, by a call that pool control should have
     * refused: only a new operation returns the VM to service. */
    bool drained = m.vms[vm].state == CW_OP_VM_DRAINING;
    if ((last >= 0 && !n->settled[last]) || n->append_until > 0 ||
        m.ops == OPS_MAX || !m.log_up || !(m.now - n->confirmed <= 3000) ||
        (!drained && (m.faults_off || m.vms[vm].state != CW_OP_VM_READY ||
                      cw_vms_surplus(ready, VMS_NEEDED) == 0))) {
        return;
    }
    bool move = !drained && chance(50);
    int pool = n->view.pool[vm];
    append_record(
        id, (struct record){.kind = RECORD_STEP,
                            .node = id,
                            .writer_incarnation = n->incarnation,
                            .op = m.ops++,
                            .vm = vm,
                            .step = CW_STEP_DRAINING,
                            .op_kind = move ? CW_OP_MOVE : CW_OP_MAINTAIN,
                            .vm_incarnation = m.vms[vm].incarnation,
                            .to = move ? 1 - pool : pool});
}

static void
run_node(int id)
{
    struct node *n = &m.nodes[id];
    for (int i = 0; i < VMS; i++) {
        /* Requests end at the VM even while their daemon is frozen, but slowly
         * enough that some outlast the daemon's membership. */
        uint32_t rate = m.now < n->frozen_until ? 2 : 60;
        n->in_flight[i] -= n->in_flight[i] > 0 && chance(rate);
    }
    if (m.now < n->frozen_until) {
        return;
    }
    /* A daemon that resumes may act before it reads the log again. */
    if (chance(70)) {
        read_log(id);
    }
    send_requests(id);
    append_lapses(id);
    if (n->view.holder != id || !is_member(n, id)) {
        return;
    }
    for (int i = 0; i < VMS; i++) {
        int last = n->view.last_op[i];
        if (last >= 0 && !n->settled[last]) {
            run_operation(id, last);
        }
    }
    start_operation(id);
}

static void
check_tick(void)
{
    uint32_t ready[2] = {0};
    for (int i = 0; i < VMS; i++) {
        ready[m.vms[i].pool] += m.vms[i].state == CW_OP_VM_READY;
    }
    m.result.below_needed += ready[0] < VMS_NEEDED || ready[1] < VMS_NEEDED;
}

static void
check_end(void)
{
    static struct replica v;
    replica_init(&v);
    while (v.applied < m.count) {
        replica_apply(&v);
    }
    for (int i = 0; i < VMS; i++) {
        m.result.pool_mismatches += v.pool[i] != m.vms[i].pool;
        m.result.out_of_service += m.vms[i].state != CW_OP_VM_READY;
    }
    for (int i = 0; i < OPS_MAX; i++) {
        m.result.open_ops += v.ops[i].used && !cw_op_ended(v.ops[i].step);
        m.result.done += v.ops[i].used && v.ops[i].step == CW_STEP_DONE;
        m.result.cancelled +=
            v.ops[i].used && v.ops[i].step == CW_STEP_CANCELLED;
    }
}

struct op_result
op_model_run(uint64_t seed, struct op_model_options k)
{
    memset(&m, 0, sizeof(m));
    cw_rng_init(&m.rng, seed);
    m.options = k;
    m.log_up = m.pool_up = true;
    for (int i = 0; i < NODES; i++) {
        replica_init(&m.nodes[i].view);
    }
    for (int i = 0; i < VMS; i++) {
        m.vms[i].pool = i % 2;
    }
    for (int t = 0; t < 9000; t++) {
        m.now += TICK_MS;
        m.faults_off = t >= 3000;
        if (m.faults_off) {
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
        deliver_messages();
        for (int i = 0; i < NODES; i++) {
            run_node(i);
        }
        check_tick();
    }
    check_end();
    return m.result;
}
