#!/bin/sh
# A replica's leave is acknowledged, and lost with the machine that acknowledged it.
# It needs the build of deploy/system.toml and review/build.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/apricotspoke-platform ] && [ -x target/review-standin ] || exit 2
exec timeout -k 5 118 target/review-standin leave-lost review/3/record.txt
