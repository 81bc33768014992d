/* Estimates the time of day where clocks jump: by seconds, forward or back,
 * and back again, on some VMs. Due times of jobs and the ages of records and
 * of workers are computed with the estimate, never with the clock itself.
 *
 * The estimate is kept as the offset of the time of day from the monotonic
 * clock. The scheduler takes the median of its own clock and those that other
 * daemons send with their probes; the others take over its estimate from the
 * answers, so that a takeover changes nothing. With fewer than three clocks a
 * jump has to last before it is believed. Reads no clock. */
#ifndef CW_WALL_H
#define CW_WALL_H

#include "cuminwalk.h"

#define CW_WALL_PEERS_MAX 64

struct cw_wall_peer {
    uint64_t id;
    cw_ms offset;
    cw_ms at; /* 0: unused */
};

struct cw_wall {
    cw_ms offset;        /* the estimate */
    cw_ms shown;         /* offset of this VM's clock */
    cw_ms known_at;      /* first sample; 0: none yet */
    cw_ms evaluated_at;  /* last comparison of the clocks */
    cw_ms agreed_at;     /* last estimate of the scheduler; 0: never */
    cw_ms differs;       /* offset of a jump that is not believed yet .. */
    cw_ms differs_since; /* .. and since when it lasts; 0: none */
    struct cw_wall_peer peers[CW_WALL_PEERS_MAX];
};

/* Adds the VM's clock and updates the estimate, which the first sample sets.
 * True when the clock begins or ends to differ from the estimate by a jump. */
bool cw_wall_sample(struct cw_wall *w, cw_ms wall, cw_ms now);
/* Adds the clock of another daemon, as the scheduler receives it. */
void cw_wall_add_peer(struct cw_wall *w, uint64_t id, cw_ms wall, cw_ms now);
/* Takes over the scheduler's estimate from an answer that took round_trip. */
void cw_wall_agree(struct cw_wall *w, cw_ms wall, cw_ms round_trip, cw_ms now);

#endif
