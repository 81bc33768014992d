/* A model of the log and of pool control, in which three daemons, two of which
 * take turns as the holder, execute VM operations. Appends, calls and
 * responses are delayed or lost, daemons freeze, and the log and pool control
 * have outages. */
#ifndef OP_MODEL_H
#define OP_MODEL_H

#include "cuminwalk.h"

struct op_model_options {
    bool fences;  /* pool control refuses calls with a lower fence */
    bool recheck; /* cancel an operation for which no VM can be spared */
    cw_ms max_delay_ms;
    struct cw_op_params op;
};

/* Counts of faults and of ended operations. */
struct op_result {
    int interrupted;     /* reboots with requests in flight */
    int pool_mismatches; /* VMs whose pool differs in log and pool control */
    int below_needed;   /* ticks in which a pool had fewer VMs than it needs */
    int out_of_service; /* VMs out of service at the end */
    int open_ops;       /* operations still open at the end */
    int done;
    int cancelled;
};

struct op_result op_model_run(uint64_t seed, struct op_model_options k);

#endif
