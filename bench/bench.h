/* Helpers shared by the benchmark programs. */
#ifndef BENCH_H
#define BENCH_H

#include "cuminwalk.h"

/* Reads --seed N; ends the program with status 2 on any other argument. */
uint64_t bench_seed(int argc, char **argv);
/* Monotonic time in microseconds, for timing the measured calls. */
int64_t bench_now_us(void);
/* Bytes that this process has allocated from the heap. */
size_t bench_heap_bytes(void);
/* Prints a name=value line; fmt and its arguments give the value. */
void bench_print(const char *name, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

#endif
