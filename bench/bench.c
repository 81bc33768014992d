/* Helpers shared by the benchmark programs. */
#include "bench.h"

#include <malloc.h>
#include <popt.h>
#include <stdlib.h>
#include <time.h>

uint64_t
bench_seed(int argc, char **argv)
{
    long long seed = 1;
    struct poptOption options[] = {
        {"seed", 's', POPT_ARG_LONGLONG, &seed, 0,
         "seed of all random choices", "N"},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    poptContext ctx =
        poptGetContext(argv[0], argc, (const char **)argv, options, 0);
    int rc = poptGetNextOpt(ctx);
    if (rc < -1 || poptPeekArg(ctx) != NULL) {
        poptPrintUsage(ctx, stderr, 0);
        exit(2);
    }
    poptFreeContext(ctx);
    return (uint64_t)seed;
}

int64_t
bench_now_us(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

size_t
bench_heap_bytes(void)
{
    struct mallinfo2 m = mallinfo2();
    return m.uordblks + m.hblkhd;
}

void
bench_print(const char *name, const char *fmt, ...)
{
    printf("%s=", name);
    va_list ap;
    va_start(ap, fmt);
    vprintf(fmt, ap);
    va_end(ap);
    printf("\n");
}
