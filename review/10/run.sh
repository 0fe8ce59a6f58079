#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/case-$(basename "$(dirname "$(realpath "$0")")")
[ -x "$program" ] && [ -x target/tools/flamingosaddled ] || { echo "run the build of the deploy file and review/build-2.sh first"; exit 2; }
timeout -s KILL 115 "$program" --record "review/$(basename "$(dirname "$(realpath "$0")")")/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
