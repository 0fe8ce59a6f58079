#!/usr/bin/env bash
# A machine is stopped as planned while its requests wait for a free slot of the servers.
set -uo pipefail
. "$(dirname "$0")/../fleet.sh"

for zone in a b c; do
    server app-$zone app ke-central-$zone 6 --work-ms 2000 --slots 6
done
platform "$(config "$(route plan /plan/ non_idempotent 15000 1 14000)")"
daemon edge-a-1 ke-central-a 390
daemon edge-a-2 ke-central-a 390
daemon edge-b-1 ke-central-b 520
daemon edge-c-1 ke-central-c 520
await_ready
all=("${daemons[@]}")
daemons=("${all[@]:1}")
clients others --clients 75 --per-s 150 --for-s 32 --deadline-ms 15000 --method POST --path /plan/
others=$started
daemons=("${all[0]}")
clients stopped --clients 30 --per-s 60 --for-s 20 --deadline-ms 15000 --method POST --path /plan/
stopped=$started
sleep 20.5
# From here on the machine gets no new requests.
stopped_at=$(date +%s%3N)
echo "$stopped_at SIGTERM to edge-a-1, if there is trouble" >>"$record"
if [ "$TROUBLE" != 0 ]; then
    pid=$(daemon_pid edge-a-1)
    [ -n "$pid" ] || cannot_run "the daemon to stop was not found"
    kill -TERM "$pid"
fi
wait "$stopped" "$others"

# Requests of the stopped machine that were sent before the SIGTERM and whose connection was closed without an answer before
# their timeout of 15 s. Requests that a server had begun are left out: they were at work in the last sixth of grace_s.
awk -v at="$stopped_at" '
    $2 == "server" && $4 == "runs" { began[$5] = 1 }
    $2 == "client" && $3 ~ /^stopped-/ {
        if ($1 > at) open += 1
        if ($1 > at && $NF == "200") answered += 1
        if ($1 > at && $NF == "closed" && $9 < 14500 && $1 - $9 <= at) {
            if (began[$3]) running += 1; else lost += 1
        }
    }
    END {
        printf "open at the stop: %d; answered: %d; cut while a server was at work: %d; cut while they waited: %d\n", open, answered,
            running, lost
        if (open < 10 || answered < 3) exit 2
        exit lost > 0 ? 1 : 0
    }' "$record" | tee -a "$record"
exit "${PIPESTATUS[0]}"
