/* VMs: moves between pools and maintenance waves. */
#include "cw_jobd.h"

void
cw_fleet_open(struct cw_jobd *d)
{
    (void)d;
}

void
cw_fleet_close(struct cw_jobd *d)
{
    (void)d;
}

void
cw_fleet_tick(struct cw_jobd *d, cw_ms now)
{
    (void)d;
    (void)now;
}
