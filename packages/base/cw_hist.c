/* Histograms with logarithmic buckets. */
#include "cuminwalk.h"

#include <string.h>

/* Each power of two is divided into SUB_COUNT buckets. */
#define SUB_BITS 3
#define SUB_COUNT (1u << SUB_BITS)

static unsigned
bucket_index(uint64_t v)
{
    if (v < SUB_COUNT) {
        return (unsigned)v;
    }
    unsigned exp = 63u - (unsigned)__builtin_clzll(v);
    unsigned sub = (unsigned)(v >> (exp - SUB_BITS)) & (SUB_COUNT - 1);
    unsigned b = (exp - SUB_BITS + 1) * SUB_COUNT + sub;
    return b < CW_HIST_BUCKETS ? b : CW_HIST_BUCKETS - 1;
}

static uint64_t
bucket_max(unsigned b)
{
    if (b < SUB_COUNT) {
        return b;
    }
    unsigned exp = b / SUB_COUNT + SUB_BITS - 1;
    uint64_t sub = b % SUB_COUNT;
    uint64_t width = UINT64_C(1) << (exp - SUB_BITS);
    return (UINT64_C(1) << exp) + (sub + 1) * width - 1;
}

void
cw_hist_init(struct cw_hist *h)
{
    memset(h, 0, sizeof(*h));
}

void
cw_hist_record(struct cw_hist *h, uint64_t value)
{
    h->count++;
    h->sum += value;
    if (value > h->max) {
        h->max = value;
    }
    h->buckets[bucket_index(value)]++;
}

void
cw_hist_merge(struct cw_hist *into, const struct cw_hist *from)
{
    into->count += from->count;
    into->sum += from->sum;
    if (from->max > into->max) {
        into->max = from->max;
    }
    for (unsigned b = 0; b < CW_HIST_BUCKETS; b++) {
        into->buckets[b] += from->buckets[b];
    }
}

uint64_t
cw_hist_quantile(const struct cw_hist *h, double q)
{
    if (h->count == 0) {
        return 0;
    }
    uint64_t rank = (uint64_t)(q * (double)(h->count - 1));
    uint64_t seen = 0;
    for (unsigned b = 0; b < CW_HIST_BUCKETS; b++) {
        seen += h->buckets[b];
        if (seen > rank) {
            uint64_t bound = bucket_max(b);
            return bound < h->max ? bound : h->max;
        }
    }
    return h->max;
}

double
cw_hist_mean(const struct cw_hist *h)
{
    return h->count == 0 ? 0.0 : (double)h->sum / (double)h->count;
}
