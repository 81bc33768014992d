#!/bin/sh
# Plays the case once: 1 the rule was broken, 0 it held, 2 it could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and
# review/build-2.sh. Writes record.txt here.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cuminwalkd ] && [ -x target/review2/case-9 ] || exit 2
exec target/review2/case-9 review/9
