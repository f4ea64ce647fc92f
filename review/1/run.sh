#!/bin/sh
# A take-back that the operator gave up undoes a later evacuation once a frozen machine wakes.
# It needs the build of deploy/system.toml and review/build.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/apricotspoke-platform ] && [ -x target/review-standin ] || exit 2
exec timeout -k 5 118 target/review-standin late-order review/1/record.txt
