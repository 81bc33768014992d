#!/bin/sh
# Builds the stand-ins of the cases 6 to 9 and the programs of more-2 into
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
for n in large steps stops; do
    build "more-$n" "review/more-2/$n.c"
done
