#include "cw_daemon.h"

/* Control modules in the order in which they run. A NULL name ends the table,
 * so that it may be empty. */
const struct cw_ctl cw_ctl_table[] = {
    {NULL, NULL, NULL, NULL},
};
