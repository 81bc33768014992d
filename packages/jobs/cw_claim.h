/* Claims of epochs in the scheduler's stream. */
#ifndef CW_CLAIM_H
#define CW_CLAIM_H

#include "cuminwalk.h"

/* Key of the newest claim in the scheduler's stream. It sorts before all other
 * keys, so that it is in the first page of them. */
#define CW_CLAIM_KEY "claim"
/* Workers get the epoch as a JSON number, which is exact up to here. */
#define CW_EPOCH_MAX ((UINT64_C(1) << 53) - 1)

struct cw_claim {
    uint64_t epoch;
    uint64_t generation; /* of the group, when the epoch was claimed */
    uint64_t nonce;      /* another one in each claim */
    struct cw_name daemon;
};

enum cw_claim_result {
    CW_CLAIM_HELD,       /* the epoch is ours */
    CW_CLAIM_EPOCH_USED, /* by an earlier scheduler: claim a higher one */
    CW_CLAIM_REPLACED,   /* a later scheduler has claimed a higher one */
};

void cw_claim_encode(const struct cw_claim *c, struct cw_buf *out);
enum cw_status cw_claim_decode(struct cw_claim *out, struct cw_str value);
/* Compares our claim with the one that was read after the answer to its
 * append; stored is NULL when there was none. appended: the store took the
 * append, perhaps for a repeat of another one. */
enum cw_claim_result cw_claim_check(const struct cw_claim *ours,
                                    const struct cw_claim *stored,
                                    bool appended);

#endif
