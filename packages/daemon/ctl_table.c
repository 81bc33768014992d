#include "ctl_place.h"
#include "cw_ctl_maint.h"

/* Control modules in the order in which they run. A NULL name ends the table,
 * which may have no other entry. */
const struct cw_ctl cw_ctl_table[] = {
    {"maint", NULL, cw_ctl_maint_tick, cw_ctl_maint_finish},
    {"place", cw_ctl_place_init, cw_ctl_place_tick, cw_ctl_place_finish},
    {NULL, NULL, NULL, NULL},
};
