/* A model of the log and of pool control, in which three daemons, two of them
 * in turn the holder, drive VM operations. Appends, calls and responses are
 * late or lost, daemons freeze, the log and pool control go away. */
#ifndef OP_MODEL_H
#define OP_MODEL_H

#include "cuminwalk.h"

struct op_knobs {
    bool fences;
    bool recheck; /* give up a start for which the pool has no VM to spare */
    cw_ms longest_delay;
    struct cw_op_params op;
};

/* What went wrong, and how much was done. */
struct op_result {
    int cut;        /* reboots with requests in flight */
    int wrong_pool; /* VMs whose pool differs between log and pool control */
    int below;      /* times that a pool had fewer VMs than it needs */
    int stray;      /* VMs out of service at the end */
    int unended;    /* operations still open at the end */
    int done;
    int cancelled;
};

struct op_result op_model_run(uint64_t seed, struct op_knobs k);

#endif
