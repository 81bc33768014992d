/* The claim of an epoch. An append under an epoch that a former process has
 * used may be answered as a repeat of its appends although nothing is stored.
 * Therefore a scheduler's first append under an epoch is a record that no
 * other process writes, and the epoch is its own once it reads that record
 * back. */
#include "cw_claim.h"

#include <string.h>

void
cw_claim_encode(const struct cw_claim *c, struct cw_buf *out)
{
    cw_buf_addf(out, "%llu %llu %llu %s", (unsigned long long)c->epoch,
                (unsigned long long)c->generation,
                (unsigned long long)c->nonce, c->daemon.text);
}

/* Removes a number and the space after it from the front of in. */
static bool
take_u64(struct cw_str *in, uint64_t *out)
{
    const char *space = in->len == 0 ? NULL : memchr(in->ptr, ' ', in->len);
    size_t len = space == NULL ? 0 : (size_t)(space - in->ptr);

    if (len == 0 || !cw_str_to_u64((struct cw_str){in->ptr, len}, out)) {
        return false;
    }
    in->ptr += len + 1;
    in->len -= len + 1;
    return true;
}

enum cw_status
cw_claim_decode(struct cw_claim *out, struct cw_str value)
{
    memset(out, 0, sizeof(*out));
    if (!take_u64(&value, &out->epoch) || out->epoch > CW_EPOCH_MAX ||
        !take_u64(&value, &out->generation) ||
        !take_u64(&value, &out->nonce) || value.len == 0) {
        return CW_ERR_INVALID;
    }
    return cw_name_set(&out->daemon, value) == CW_OK ? CW_OK : CW_ERR_INVALID;
}

enum cw_claim_result
cw_claim_check(const struct cw_claim *ours, const struct cw_claim *stored,
               bool appended)
{
    bool same_daemon;

    if (stored == NULL) {
        return CW_CLAIM_EPOCH_USED;
    }
    same_daemon = cw_name_eq(&stored->daemon, &ours->daemon);
    if (stored->epoch == ours->epoch && stored->nonce == ours->nonce &&
        same_daemon) {
        /* Stored, and refused when it was repeated: a higher epoch is set. */
        return appended ? CW_CLAIM_HELD : CW_CLAIM_REPLACED;
    }
    if (stored->generation > ours->generation ||
        (stored->generation == ours->generation && !same_daemon &&
         stored->epoch >= ours->epoch)) {
        return CW_CLAIM_REPLACED;
    }
    return CW_CLAIM_EPOCH_USED;
}
