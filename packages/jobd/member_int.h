/* Shared by member.c and group.c. */
#ifndef CW_MEMBER_INT_H
#define CW_MEMBER_INT_H

#include "cw_jobd.h"

/* The store has assigned the scheduler role to this daemon. */
void cw_member_start_takeover(struct cw_jobd *d, cw_ms now);
/* The membership had a gap: whether another daemon has scheduled meanwhile is
 * known once an append that is sent from now on has succeeded. */
void cw_member_require_proof(struct cw_jobd *d);

#endif
