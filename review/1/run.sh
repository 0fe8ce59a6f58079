#!/usr/bin/env bash
# One of three servers sends, after the head of some of its answers, bytes that are no chunk, without end.
set -uo pipefail
. "$(dirname "$0")/../fleet.sh"

fault=()
[ "$TROUBLE" = 0 ] || fault=(--fault chunk-size --every 25 --after-s 5 --for-s 90 --kbps 50000)
server app-a app ke-central-a 6 --work-ms 60 "${fault[@]}"
server app-b app ke-central-b 6 --work-ms 60
server app-c app ke-central-c 6 --work-ms 60
platform "$(config "$(route look /look/ idempotent 15000 2)")"
daemon edge-a-1 ke-central-a 390
daemon edge-a-2 ke-central-a 390
daemon edge-b-1 ke-central-b 520
daemon edge-c-1 ke-central-c 520
await_ready
clients look --clients 24 --per-s 60 --for-s 80 --deadline-ms 15000 --method GET --path /look/
wait "$started"

# Machines whose process ended by itself, or was ended because of its memory, three times or more.
machines=$(grep -E 'machine .* ended:' "$record" | awk '{ print $3 }' | sort | uniq -c | awk '$1 >= 3' | wc -l)
ends=$(grep -cE 'machine .* ended:' "$record")
floods=$(grep -c 'fault ends' "$record")
answered=$(grep -c '^[0-9]* client .*: 200$' "$record")
echo "ends of processes: $ends; machines with three or more: $machines; answers without end: $floods; answered: $answered" |
    tee -a "$record"
[ "$answered" -ge 100 ] || cannot_run "hardly any request was answered"
[ "$machines" -lt 2 ]
