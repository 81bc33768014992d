#!/bin/sh
# Builds the stand-ins of the cases 6 to 9 and the two programs of more-2 into
# target/review2. Their runs need the build of the deploy file; they need jansson.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review2
build() {
    ${CC:-cc} -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -o "target/review2/$1" \
        "$2" review/lib-2/*.c -ljansson -lpthread
}
for n in 6 7 8 9; do
    build "case-$n" "review/$n/case.c"
done
build more-reserve review/more-2/reserve.c
build more-stops review/more-2/stops.c
