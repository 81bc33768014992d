/* The table of pairs of groups and the effects learned for them. */
#include "cw_interfere.h"

#include <math.h>
#include <stdlib.h>

#define BUCKETS 512
#define NONE UINT16_MAX
/* Workers, or sets of workers, whose samples are kept apart for each pair. */
#define SLOTS 8
#define PEERS_MAX 64
#define REFRESH_MS CW_SECOND
#define LOG_INTERVAL_MS CW_MINUTE

/* A pair becomes known when the figures are a quarter worse, and is forgotten
 * when they are less than a tenth worse: between the two the samples of a pair
 * that is kept apart would switch it on and off. */
#define LEARN_EFFECT 0.223
#define FORGET_EFFECT 0.095
/* Weight of the samples that is needed to learn a pair, and to keep it. */
#define LEARN_WEIGHT 6.0
#define KEEP_WEIGHT 1.5
/* The same for the samples of one worker. */
#define SLOT_LEARN_WEIGHT 2.0
#define SLOT_KEEP_WEIGHT 0.3
/* A slot with less than this is taken by another worker. */
#define SLOT_FREE_WEIGHT 0.1
/* A difference counts from this number of standard errors on: a thousand pairs
 * are compared, and two or three by chance would be found at 3. */
#define LEARN_ERRORS 4.0

/* Decayed samples. */
struct sums {
    double n;
    double sum;
    double sum_sq;
};

/* The samples of a pair on one worker, or on several in a large fleet. */
struct slot {
    uint64_t worker; /* 0: unused */
    struct sums with;
    struct sums without;
    cw_ms with_at; /* last sample with the other group, and its worker */
    uint64_t with_worker;
    bool away;       /* a sample without it came later */
    uint8_t periods; /* times at which the other group was there */
};

struct pair {
    uint64_t affected;
    uint64_t beside;
    struct cw_name affected_name;
    struct cw_name beside_name;
    struct sums with;
    struct sums without;
    struct slot slots[SLOTS];
    cw_ms decayed_at;
    cw_ms used_at;
    cw_ms logged_at; /* 0: never */
    double effect;   /* 0: not known */
    uint16_t bucket_next;
};

struct cw_interfere {
    struct pair pairs[CW_INTERFERE_PAIRS_MAX];
    size_t count;
    uint16_t buckets[BUCKETS]; /* by the affected group */
    uint16_t known[CW_INTERFERE_PAIRS_MAX];
    size_t known_count;
    cw_ms refreshed_at;
    uint64_t peers_of; /* group that the peers below belong to; 0: none */
    struct cw_interfere_peer peers[PEERS_MAX];
    size_t peer_count;
};

uint64_t
cw_interfere_group(const struct cw_name *image, const struct cw_name *queue)
{
    uint64_t h = image->len > 0 ? cw_hash(cw_name_str(image), 1)
                                : cw_hash(cw_name_str(queue), 2);

    return h == 0 ? 1 : h;
}

struct cw_interfere *
cw_interfere_new(void)
{
    struct cw_interfere *it = calloc(1, sizeof(*it));

    for (size_t i = 0; it != NULL && i < BUCKETS; i++) {
        it->buckets[i] = NONE;
    }
    return it;
}

void
cw_interfere_free(struct cw_interfere *it)
{
    free(it);
}

/* ---- sums ---- */

static void
sums_add(struct sums *s, double x)
{
    s->n += 1;
    s->sum += x;
    s->sum_sq += x * x;
}

static void
sums_scale(struct sums *s, double by)
{
    s->n *= by;
    s->sum *= by;
    s->sum_sq *= by;
}

static double
sums_mean(const struct sums *s)
{
    return s->n > 0 ? s->sum / s->n : 0;
}

/* Square of the standard error of the mean. */
static double
sums_error_sq(const struct sums *s)
{
    double mean = sums_mean(s);
    double variance = s->sum_sq / s->n - mean * mean;

    return (variance > 0 ? variance : 0) / s->n;
}

static void
pair_decay(struct pair *p, cw_ms now)
{
    double by;

    if (now <= p->decayed_at) {
        return;
    }
    by = exp2(-(double)(now - p->decayed_at) / CW_INTERFERE_HALF_LIFE_MS);
    p->decayed_at = now;
    sums_scale(&p->with, by);
    sums_scale(&p->without, by);
    for (size_t i = 0; i < SLOTS; i++) {
        sums_scale(&p->slots[i].with, by);
        sums_scale(&p->slots[i].without, by);
    }
}

/* ---- the table ---- */

static uint16_t *
bucket_of(struct cw_interfere *it, uint64_t affected)
{
    return &it->buckets[affected % BUCKETS];
}

static void
unlink_pair(struct cw_interfere *it, uint16_t i)
{
    uint16_t *link = bucket_of(it, it->pairs[i].affected);

    while (*link != i) {
        link = &it->pairs[*link].bucket_next;
    }
    *link = it->pairs[i].bucket_next;
    /* The lists of known pairs and of peers hold indexes. */
    if (it->pairs[i].effect > 0) {
        for (size_t k = 0; k < it->known_count; k++) {
            if (it->known[k] == i) {
                it->known[k] = it->known[--it->known_count];
                break;
            }
        }
        it->peers_of = 0;
    }
}

/* The least recently used pair; affected: only of this group, 0: of all. */
static uint16_t
oldest_pair(const struct cw_interfere *it, uint64_t affected)
{
    uint16_t oldest = NONE;

    for (uint16_t i = 0; i < it->count; i++) {
        if ((affected == 0 || it->pairs[i].affected == affected) &&
            (oldest == NONE ||
             it->pairs[i].used_at < it->pairs[oldest].used_at)) {
            oldest = i;
        }
    }
    return oldest;
}

static struct pair *
add_pair(struct cw_interfere *it, const struct cw_group_seen *affected,
         const struct cw_group_seen *beside, size_t present, cw_ms now)
{
    uint16_t *bucket = bucket_of(it, affected->group);
    uint16_t i;

    if (present >= CW_INTERFERE_BESIDE_MAX) {
        i = oldest_pair(it, affected->group);
        unlink_pair(it, i);
    }
    else if (it->count == CW_INTERFERE_PAIRS_MAX) {
        i = oldest_pair(it, 0);
        unlink_pair(it, i);
    }
    else {
        i = (uint16_t)it->count++;
    }
    it->pairs[i] = (struct pair){.affected = affected->group,
                                 .beside = beside->group,
                                 .affected_name = *affected->name,
                                 .beside_name = *beside->name,
                                 .decayed_at = now,
                                 .used_at = now,
                                 .bucket_next = *bucket};
    *bucket = i;
    return &it->pairs[i];
}

static const struct pair *
find_pair(const struct cw_interfere *it, uint64_t affected, uint64_t beside)
{
    for (uint16_t i = it->buckets[affected % BUCKETS]; i != NONE;
         i = it->pairs[i].bucket_next) {
        if (it->pairs[i].affected == affected &&
            it->pairs[i].beside == beside) {
            return &it->pairs[i];
        }
    }
    return NULL;
}

double
cw_interfere_effect(const struct cw_interfere *it, uint64_t affected,
                    uint64_t beside)
{
    const struct pair *p = find_pair(it, affected, beside);

    return p == NULL ? 0 : p->effect;
}

size_t
cw_interfere_known(const struct cw_interfere *it)
{
    return it->known_count;
}

size_t
cw_interfere_pair_count(const struct cw_interfere *it)
{
    return it->count;
}

/* ---- samples ---- */

/* The worker's slot: its own, or a free one, or when all are taken one that it
 * shares with others. On hundreds of workers with short tasks each gives a
 * pair a sample a minute: apart, none would ever have enough. NULL when take
 * is false and the worker has none. */
static struct slot *
get_slot(struct pair *p, uint64_t worker, bool take)
{
    struct slot *unused = NULL;

    for (size_t i = 0; i < SLOTS; i++) {
        if (p->slots[i].worker == worker) {
            return &p->slots[i];
        }
        if (p->slots[i].with.n < SLOT_FREE_WEIGHT) {
            unused = &p->slots[i];
        }
    }
    if (unused == NULL) {
        return &p->slots[worker % SLOTS];
    }
    if (take) {
        *unused = (struct slot){.worker = worker, .away = true};
    }
    return take ? unused : NULL;
}

static void
sample_with(struct pair *p, uint64_t worker, double x, cw_ms now)
{
    struct slot *sl = get_slot(p, worker, true);

    if (sl->away && sl->periods < UINT8_MAX) {
        sl->periods++;
    }
    sl->away = false;
    sl->with_at = now;
    sl->with_worker = worker;
    sums_add(&sl->with, x);
    sums_add(&p->with, x);
    p->used_at = now;
}

static void
sample_without(struct pair *p, uint64_t worker, double x, cw_ms now)
{
    struct slot *sl = get_slot(p, worker, false);

    if (sl != NULL) {
        /* The window may still cover a time with the other group. */
        if (sl->with_worker == worker &&
            now - sl->with_at < 2 * CW_INTERFERE_WINDOW_MS) {
            return;
        }
        sl->away = true;
        sums_add(&sl->without, x);
    }
    sums_add(&p->without, x);
}

/* Part of the figure that groups other than the pair's explain, which have a
 * larger known effect: a harmless group that is often beside a harmful one
 * would be blamed as well. */
static double
explained(const struct pair *p, const struct cw_group_seen *seen,
          const double *effects, size_t count)
{
    double sum = 0;

    for (size_t i = 0; i < count; i++) {
        if (seen[i].group != p->beside && effects[i] > p->effect) {
            sum += effects[i];
        }
    }
    return sum;
}

/* The known effects on a of the groups beside it. */
static void
known_effects(const struct cw_interfere *it, const struct cw_group_seen *a,
              const struct cw_group_seen *seen, size_t count, double *out)
{
    for (size_t i = 0; i < count; i++) {
        out[i] =
            it->known_count == 0 || seen[i].tasks <= (&seen[i] == a ? 1U : 0U)
                ? 0
                : cw_interfere_effect(it, a->group, seen[i].group);
    }
}

/* Adds a sample of p's affected group a; b is the other group, NULL when it is
 * not on the worker. */
static void
sample_pair(struct pair *p, uint64_t worker, const struct cw_group_seen *a,
            const struct cw_group_seen *b, double x, cw_ms now)
{
    uint32_t self = a == b ? 1 : 0;

    pair_decay(p, now);
    if (b != NULL && b->tasks > self) {
        sample_with(p, worker, x, now);
    }
    else if (b == NULL || (a == b && !b->unclear)) {
        sample_without(p, worker, x, now);
    }
}

/* Adds the sample of a group to the pairs in which it is affected, and returns
 * their number. Bit i of found is set for each seen group that has a pair. */
static size_t
observe_pairs(struct cw_interfere *it, uint64_t worker,
              const struct cw_group_seen *a, const struct cw_group_seen *seen,
              const double *effects, size_t count, uint32_t *found, cw_ms now)
{
    double x = a->figure_sum / a->figures;
    size_t pairs = 0;

    for (uint16_t i = *bucket_of(it, a->group); i != NONE;
         i = it->pairs[i].bucket_next) {
        struct pair *p = &it->pairs[i];
        const struct cw_group_seen *b = NULL;

        if (p->affected != a->group) {
            continue;
        }
        pairs++;
        for (size_t k = 0; k < count; k++) {
            if (seen[k].group == p->beside) {
                b = &seen[k];
                *found |= 1U << k;
            }
        }
        sample_pair(p, worker, a, b, x - explained(p, seen, effects, count),
                    now);
    }
    return pairs;
}

static void
observe_group(struct cw_interfere *it, uint64_t worker,
              const struct cw_group_seen *a, const struct cw_group_seen *seen,
              size_t count, cw_ms now)
{
    double effects[CW_INTERFERE_SEEN_MAX];
    uint32_t found = 0;
    size_t pairs;

    known_effects(it, a, seen, count, effects);
    pairs = observe_pairs(it, worker, a, seen, effects, count, &found, now);
    for (size_t k = 0; k < count; k++) {
        if ((found >> k & 1) == 0 &&
            seen[k].tasks > (&seen[k] == a ? 1U : 0U)) {
            struct pair *p = add_pair(it, a, &seen[k], pairs++, now);

            sample_pair(p, worker, a, &seen[k],
                        a->figure_sum / a->figures -
                            explained(p, seen, effects, count),
                        now);
        }
    }
}

void
cw_interfere_observe(struct cw_interfere *it, uint64_t worker,
                     const struct cw_group_seen *seen, size_t count, cw_ms now)
{
    CW_INVARIANT(count <= CW_INTERFERE_SEEN_MAX);
    for (size_t i = 0; i < count; i++) {
        if (seen[i].figures > 0) {
            observe_group(it, worker, &seen[i], seen, count, now);
        }
    }
    cw_interfere_refresh(it, now);
}

/* ---- which pairs are known ---- */

/* The difference on one worker, against the samples without the other group
 * there if there are enough, else against those of all workers. */
static double
slot_effect(const struct pair *p, const struct slot *sl)
{
    const struct sums *base =
        sl->without.n >= SLOT_LEARN_WEIGHT ? &sl->without : &p->without;

    return sums_mean(&sl->with) - sums_mean(base);
}

static int
double_cmp(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return (x > y) - (x < y);
}

/* The median over workers, the lower one of two: a single slow worker does not
 * make a difference. 0 when the samples are of one worker at one time. */
static double
median_effect(const struct pair *p, bool known, size_t *workers)
{
    double enough = known ? SLOT_KEEP_WEIGHT : SLOT_LEARN_WEIGHT;
    const struct slot *last = NULL;
    double effects[SLOTS];
    size_t n = 0;

    for (size_t i = 0; i < SLOTS; i++) {
        const struct slot *sl = &p->slots[i];

        if (sl->worker != 0 && sl->with.n >= enough) {
            effects[n++] = slot_effect(p, sl);
            last = sl;
        }
    }
    *workers = n;
    if (n == 0 ||
        (n == 1 && (last->periods < 2 || last->without.n < enough))) {
        return 0;
    }
    qsort(effects, n, sizeof(effects[0]), double_cmp);
    return effects[(n - 1) / 2];
}

static double
pair_effect(const struct pair *p, size_t *workers)
{
    bool known = p->effect > 0;
    double enough = known ? KEEP_WEIGHT : LEARN_WEIGHT;
    double diff = sums_mean(&p->with) - sums_mean(&p->without);
    double effect;

    if (p->with.n < enough || p->without.n < enough) {
        return 0;
    }
    effect = median_effect(p, known, workers);
    if (known) {
        return effect >= FORGET_EFFECT ? effect : 0;
    }
    if (effect < LEARN_EFFECT ||
        diff < LEARN_ERRORS * sqrt(sums_error_sq(&p->with) +
                                   sums_error_sq(&p->without))) {
        return 0;
    }
    return effect;
}

static void
log_learned(struct pair *p, size_t workers, cw_ms now)
{
    if (p->logged_at != 0 && now - p->logged_at < LOG_INTERVAL_MS) {
        return;
    }
    p->logged_at = now;
    cw_log(CW_INFO, "interference_learned",
           "affected=%s beside=%s slower_percent=%.0f workers=%zu "
           "samples_with=%.1f samples_without=%.1f",
           p->affected_name.text, p->beside_name.text,
           (exp(p->effect) - 1) * 100, workers, p->with.n, p->without.n);
}

void
cw_interfere_refresh(struct cw_interfere *it, cw_ms now)
{
    if (now - it->refreshed_at < REFRESH_MS) {
        return;
    }
    it->refreshed_at = now;
    it->known_count = 0;
    it->peers_of = 0;
    for (size_t i = 0; i < it->count; i++) {
        struct pair *p = &it->pairs[i];
        bool was_known = p->effect > 0;
        size_t workers = 0;

        pair_decay(p, now);
        p->effect = pair_effect(p, &workers);
        if (p->effect > 0) {
            it->known[it->known_count++] = (uint16_t)i;
            if (!was_known) {
                log_learned(p, workers, now);
            }
        }
    }
}

/* ---- peers ---- */

static struct cw_interfere_peer *
get_peer(struct cw_interfere *it, uint64_t group)
{
    for (size_t i = 0; i < it->peer_count; i++) {
        if (it->peers[i].group == group) {
            return &it->peers[i];
        }
    }
    if (it->peer_count == PEERS_MAX) {
        return NULL;
    }
    it->peers[it->peer_count] = (struct cw_interfere_peer){.group = group};
    return &it->peers[it->peer_count++];
}

size_t
cw_interfere_peers(struct cw_interfere *it, uint64_t group,
                   const struct cw_interfere_peer **out)
{
    *out = it->peers;
    if (it->peers_of == group || it->known_count == 0) {
        return it->known_count == 0 ? 0 : it->peer_count;
    }
    it->peers_of = group;
    it->peer_count = 0;
    for (size_t k = 0; k < it->known_count; k++) {
        struct pair *p = &it->pairs[it->known[k]];
        struct cw_interfere_peer *peer;

        if (p->affected != group && p->beside != group) {
            continue;
        }
        /* A pair that is kept apart gives no samples, but is in use until the
         * peers are collected again. */
        p->used_at = it->refreshed_at + REFRESH_MS;
        peer = get_peer(it, p->affected == group ? p->beside : p->affected);
        if (peer == NULL) {
            break;
        }
        if (p->affected == group) {
            peer->on_it = p->effect;
        }
        if (p->beside == group) {
            peer->by_it = p->effect;
        }
    }
    return it->peer_count;
}
