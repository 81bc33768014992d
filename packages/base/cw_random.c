/* Hashing, and the seeded random generator xoshiro256**. */
#include "cuminwalk.h"

#include <math.h>
#include <xxhash.h>

uint64_t
cw_hash(struct cw_str s, uint64_t seed)
{
    return XXH64(s.ptr, s.len, seed);
}

uint64_t
cw_hash_mix(uint64_t a, uint64_t b)
{
    uint64_t v[2] = {a, b};
    return XXH64(v, sizeof(v), 0);
}

static uint64_t
splitmix64(uint64_t *x)
{
    uint64_t z = (*x += UINT64_C(0x9e3779b97f4a7c15));
    z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
    z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
    return z ^ (z >> 31);
}

void
cw_rng_init(struct cw_rng *r, uint64_t seed)
{
    for (int i = 0; i < 4; i++) {
        r->s[i] = splitmix64(&seed);
    }
}

static uint64_t
rotl(uint64_t x, int k)
{
    return (x << k) | (x >> (64 - k));
}

uint64_t
cw_rng_next(struct cw_rng *r)
{
    uint64_t *s = r->s;
    uint64_t out = rotl(s[1] * 5, 7) * 9;
    uint64_t t = s[1] << 17;
    s[2] ^= s[0];
    s[3] ^= s[1];
    s[1] ^= s[2];
    s[0] ^= s[3];
    s[2] ^= t;
    s[3] = rotl(s[3], 45);
    return out;
}

uint64_t
cw_rng_below(struct cw_rng *r, uint64_t n)
{
    CW_INVARIANT(n > 0);
    return (uint64_t)(((unsigned __int128)cw_rng_next(r) * n) >> 64);
}

double
cw_rng_unit(struct cw_rng *r)
{
    return (double)(cw_rng_next(r) >> 11) * 0x1.0p-53;
}

double
cw_rng_exp(struct cw_rng *r, double mean)
{
    return -mean * log(1.0 - cw_rng_unit(r));
}
