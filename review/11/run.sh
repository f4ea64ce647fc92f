#!/bin/sh
# Plays the case; see claim.txt. It needs the build of deploy/system.toml and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3/crew core review/11/record.txt
