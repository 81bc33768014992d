#!/bin/sh
# Builds the stand-ins of the scripts into review/build: one program a case,
# each with rig.c.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/build
for f in review/lib/*.c; do
    c=$(basename "$f" .c)
    [ "$c" = rig ] && continue
    ${CC:-cc} -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Ireview/lib \
        -o "review/build/$c" "$f" review/lib/rig.c -ljansson -lpthread
done
