/* Shared parts of the bench programs. */
#ifndef BENCH_H
#define BENCH_H

#include "cuminwalk.h"

/* Reads --seed N; ends the program with status 2 on any other argument. */
uint64_t bench_seed(int argc, char **argv);
/* Monotonic time in microseconds, for measuring the decisions themselves. */
int64_t bench_now_us(void);
/* Bytes allocated from the heap by this process. */
size_t bench_heap_bytes(void);
/* Prints name=value with a value formatted as given. */
void bench_print(const char *name, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

#endif
