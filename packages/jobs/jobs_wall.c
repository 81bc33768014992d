/* The estimate of the time of day. */
#include "cw_wall.h"

#include <stdlib.h>

#define EVALUATE_MS CW_SECOND
/* Clocks that differ by less than this agree: the time that a message takes is
 * part of the difference. A larger difference is a jump. */
#define SAME_MS 100
/* Largest change of the estimate in a second without a jump: clocks drift by
 * less than a thousandth. */
#define SLEW_MS 20
/* A clock of another daemon counts for this long: it probes once a second. */
#define PEER_MAX_AGE_MS (5 * CW_SECOND)
/* From three clocks on the median bears one that has jumped. */
#define MEDIAN_MIN 3
/* A jump of the median is a change of most clocks, and believed when it lasts
 * this long; messages may have been delayed. */
#define MEDIAN_HOLD_MS (3 * CW_SECOND)
/* A jump of a clock that cannot be compared is believed when it lasts this
 * long: those seen so far went back earlier. */
#define ALONE_HOLD_MS CW_MINUTE
/* While the scheduler's estimate is newer than this, a follower's own clock
 * does not count. */
#define AGREED_MAX_AGE_MS (10 * CW_SECOND)
/* An answer that took longer than this says too little of the time. */
#define ROUND_TRIP_MAX_MS 100

static cw_ms
distance(cw_ms a, cw_ms b)
{
    return a > b ? a - b : b - a;
}

static int
ms_cmp(const void *a, const void *b)
{
    cw_ms x = *(const cw_ms *)a;
    cw_ms y = *(const cw_ms *)b;

    return (x > y) - (x < y);
}

/* Number of clocks that count, and their median, the lower one of two: a later
 * time is the safe side of a due time. */
static size_t
median_offset(const struct cw_wall *w, cw_ms now, cw_ms *median)
{
    cw_ms all[CW_WALL_PEERS_MAX + 1];
    size_t n = 0;

    all[n++] = w->shown;
    for (size_t i = 0; i < CW_WALL_PEERS_MAX; i++) {
        if (w->peers[i].at != 0 && now - w->peers[i].at < PEER_MAX_AGE_MS) {
            all[n++] = w->peers[i].offset;
        }
    }
    qsort(all, n, sizeof(all[0]), ms_cmp);
    *median = all[(n - 1) / 2];
    return n;
}

/* Follows the clocks: slowly within SAME_MS, by a jump only when it lasts. */
static void
evaluate(struct cw_wall *w, cw_ms now)
{
    cw_ms target = w->shown;
    cw_ms hold = ALONE_HOLD_MS;
    cw_ms median;

    if (median_offset(w, now, &median) >= MEDIAN_MIN) {
        target = median;
        hold = MEDIAN_HOLD_MS;
    }
    if (distance(target, w->offset) < SAME_MS) {
        cw_ms step = target - w->offset;

        w->differs_since = 0;
        w->offset +=
            step > SLEW_MS ? SLEW_MS : (step < -SLEW_MS ? -SLEW_MS : step);
        return;
    }
    if (w->differs_since == 0 || distance(target, w->differs) >= SAME_MS) {
        w->differs = target;
        w->differs_since = now;
    }
    else if (now - w->differs_since >= hold) {
        w->offset = target;
        w->differs_since = 0;
    }
}

bool
cw_wall_sample(struct cw_wall *w, cw_ms wall, cw_ms now)
{
    bool differed = distance(w->shown, w->offset) >= SAME_MS;

    w->shown = wall - now;
    if (w->known_at == 0) {
        w->known_at = now;
        w->offset = w->shown;
        return false;
    }
    if (now - w->evaluated_at >= EVALUATE_MS &&
        (w->agreed_at == 0 || now - w->agreed_at >= AGREED_MAX_AGE_MS)) {
        w->evaluated_at = now;
        evaluate(w, now);
    }
    return differed != (distance(w->shown, w->offset) >= SAME_MS);
}

void
cw_wall_add_peer(struct cw_wall *w, uint64_t id, cw_ms wall, cw_ms now)
{
    struct cw_wall_peer *to = &w->peers[0];

    for (size_t i = 0; i < CW_WALL_PEERS_MAX; i++) {
        if (w->peers[i].at != 0 && w->peers[i].id == id) {
            to = &w->peers[i];
            break;
        }
        if (w->peers[i].at < to->at) {
            to = &w->peers[i];
        }
    }
    *to = (struct cw_wall_peer){id, wall - now, now};
}

void
cw_wall_agree(struct cw_wall *w, cw_ms wall, cw_ms round_trip, cw_ms now)
{
    if (round_trip < 0 || round_trip > ROUND_TRIP_MAX_MS) {
        return;
    }
    w->offset = wall + round_trip / 2 - now;
    w->agreed_at = now;
    w->differs_since = 0;
    if (w->known_at == 0) {
        w->known_at = now;
        w->shown = w->offset;
    }
}
