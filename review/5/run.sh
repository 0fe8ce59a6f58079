#!/usr/bin/env bash
# One of three servers sends some answers whose body, after a sound head, never ends, at 1 KB a second.
set -uo pipefail
. "$(dirname "$0")/../fleet.sh"

fault=()
[ "$TROUBLE" = 0 ] || fault=(--fault chunk-size --every 25 --after-s 5 --for-s 45 --kbps 1)
server app-a app ke-central-a 6 --work-ms 60 "${fault[@]}"
server app-b app ke-central-b 6 --work-ms 60
server app-c app ke-central-c 6 --work-ms 60
platform "$(config "$(route deposit /deposit/ non_idempotent 2000 1)")"
daemon edge-a-1 ke-central-a 390
daemon edge-a-2 ke-central-a 390
daemon edge-b-1 ke-central-b 520
daemon edge-c-1 ke-central-c 520
await_ready
clients deposit --clients 40 --per-s 60 --for-s 50 --deadline-ms 4000 --method POST --path /deposit/
wait "$started"
timeout_check 2000
