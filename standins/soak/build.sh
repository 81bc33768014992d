#!/bin/sh
# Builds the random driver and the cases into target/soak.
set -eu
cd "$(dirname "$0")/../.."
mkdir -p target/soak
flags="-std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Ireview/lib"
for f in standins/soak/cases/*.c; do
    lib=$(ls review/lib/*.c)
    # case_held.h includes the runners, and so do cases with runner_dark.h;
    # large_record.h includes the store.
    if grep -qE '"(case_held|../runner_dark)\.h"' "$f"; then
        lib=$(echo "$lib" | grep -v /runner.c)
    fi
    if grep -q '"../large_record\.h"' "$f"; then
        lib=$(echo "$lib" | grep -v /store.c)
    fi
    ${CC:-cc} $flags -o "target/soak/$(basename "$f" .c)" "$f" $lib \
        -ljansson -lpthread
done
for f in crowd planned; do
    ${CC:-cc} $flags -o "target/soak/$f" "standins/soak/$f.c" review/lib/*.c \
        -ljansson -lpthread
done
# The daemon with a time of day that the driver shifts, as target/cuminwalkd
# below target/soak/clock. Needs make BUILD=target programs.
mkdir -p target/soak/clock/target
${CC:-cc} $flags -Wl,--wrap=clock_gettime \
    -o target/soak/clock/target/cuminwalkd standins/soak/clock_shift.c \
    target/packages/daemon/main.o target/libcwnode.a target/libcuminwalk.a \
    $(make -s BUILD=target print-libs)
[ "${1:-}" = cases ] || ${CC:-cc} $flags -o target/soak/soak \
    standins/soak/soak*.c review/lib/http.c review/lib/rig.c -ljansson -lpthread
