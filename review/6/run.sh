#!/usr/bin/env bash
# Plays case 6. Exit 1: the rule was broken; 0: it held; 2: the case couldn't run.
# TROUBLE=0 plays the same without the disruption. VARIANT=only-replace, only-disk or later
# plays one half of it, or the loss of the disk 8 s after the removal.
cd "$(dirname "$0")/../.." || exit 2
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then trouble=false; fi
exec timeout --preserve-status --signal=TERM 115 target/review-second -case quorum -trouble="$trouble" -variant "${VARIANT:-}" -record review/6/record.txt
