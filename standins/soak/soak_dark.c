/* Runners that go dark in batches, each within the leases of the one before.
 */
#include "trouble.h"

#include <stdio.h>

#define BATCHES_MAX 3
#define SHARE 10 /* of the runners, in one batch: a tenth */

struct series {
    int mine[SOAK_RUNNERS];
    int count;
};

static pthread_mutex_t dark_lock = PTHREAD_MUTEX_INITIALIZER;
static bool playing; /* one series at a time */
static volatile bool ending;

static int
runners_up(void)
{
    int n = 0;

    for (int i = 0; i < soak_runners; i++) {
        n += worker_is_up(i) ? 1 : 0;
    }
    return n;
}

/* What a batch takes: runners whose runs last, or idle ones, the one that was
 * used last first, as it is likely to be chosen next. */
enum want { WANT_ANY, WANT_LASTING, WANT_IDLE };

static bool
suits(int i, enum want want)
{
    if (!worker_is_up(i) || worker_is_dark(i)) {
        return false;
    }
    return want == WANT_ANY ||
           (want == WANT_LASTING ? worker_lasting(i) > 0
                                 : worker_load(soak_w[i]) == 0);
}

/* The runner that suits best; -1: none. */
static int
pick(struct rng *r, enum want want)
{
    int first = (int)rng_range(r, 0, soak_runners - 1);
    long long newest = -1;
    int best = -1;

    for (int k = 0; k < soak_runners; k++) {
        int i = (first + k) % soak_runners;
        long long at = want == WANT_IDLE ? worker_newest_start(i) : 0;

        if (suits(i, want) && at > newest) {
            newest = at;
            best = i;
        }
    }
    return best >= 0 && worker_claim(best) ? best : -1;
}

static void
batch(struct rng *r, struct series *s, bool later)
{
    int most = runners_up() / SHARE;
    int n = most <= 1 ? 1 : (int)rng_range(r, 1, most);
    char text[100] = "";
    int len = 0;
    int id;

    for (; n > 0 && s->count < SOAK_RUNNERS; n--) {
        int i = pick(r, rng_chance(r, 30) ? WANT_ANY
                        : later           ? WANT_IDLE
                                          : WANT_LASTING);

        if (i < 0 && (i = pick(r, WANT_ANY)) < 0) {
            break;
        }
        s->mine[s->count++] = i;
        worker_dark(i, rng_chance(r, 70));
        len += snprintf(text + len, sizeof(text) - (size_t)len, " %s",
                        worker_id(soak_w[i]));
    }
    /* It is a fault of its own when it begins and when it ends; between, the
     * dark runners are no capacity. */
    id = fault_begin(-1, "dark:%s", text);
    fault_end(id);
}

static void
batches(struct rng *r, struct series *s)
{
    int n = (int)rng_range(r, 2, BATCHES_MAX);
    int kill_after = rng_chance(r, 40) ? (int)rng_range(r, 1, n) : 0;

    for (int k = 1; k <= n; k++) {
        batch(r, s, k > 1);
        /* Shorter than a lease and the time until an entry expires. */
        sleep_ms(rng_range(r, 500, 3500));
        if (k == kill_after) {
            fault_kill_scheduler(r);
        }
    }
}

static void
all_back(struct series *s)
{
    int id = fault_begin(-1, "dark runners can be reached again");

    for (int k = 0; k < s->count; k++) {
        worker_dark_end(s->mine[k]);
        worker_release(s->mine[k]);
    }
    fault_end(id);
}

static bool
set_playing(bool on)
{
    bool was;

    pthread_mutex_lock(&dark_lock);
    was = playing;
    playing = on;
    pthread_mutex_unlock(&dark_lock);
    return was;
}

void
dark_series(struct rng *r)
{
    struct series s = {.count = 0};
    long long until;

    if (set_playing(true)) {
        return;
    }
    batches(r, &s);
    until = now_ms() + rng_range(r, 10000, 25000);
    while (now_ms() < until && !ending) {
        sleep_ms(50);
    }
    all_back(&s);
    set_playing(false);
}

void
dark_end_series(void)
{
    ending = true;
}

void
dark_last_series(struct rng *r)
{
    struct series s = {.count = 0};

    batches(r, &s);
}
