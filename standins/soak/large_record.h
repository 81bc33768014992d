/* The store, with records of any size. build.sh leaves out review/lib/store.c
 * for cases that include this file. */
#ifndef LARGE_RECORD_H
#define LARGE_RECORD_H

/* NOLINTNEXTLINE(bugprone-suspicious-include): its state is static. */
#include "../../review/lib/store.c"

#include "large_put.h"

#endif
