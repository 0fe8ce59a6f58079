# Sourced by the cases: starts a platform, servers and daemons on loopback addresses, and ends all of them.
# Addresses: 127.0.NET.x, where NET is drawn anew for each run, so that ports do not collide.

case_directory=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$case_directory/../.." && pwd)
directory=$(mktemp -d)
record="$case_directory/record.txt"
: >"$record"
pids=()
net="127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))"
daemons=()
key=anfqasnmgkcuyj8pjbvk
host=ficu95.example
TROUBLE=${TROUBLE:-1}

end_all()
{
    local pid
    for pid in "${pids[@]}"; do
        kill -CONT "$pid" 2>/dev/null || true
        kill -TERM "$pid" 2>/dev/null || true
    done
    for pid in "${pids[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    rm -rf "$directory"
}
trap end_all EXIT

cannot_run()
{
    echo "cannot run: $1" | tee -a "$record"
    exit 2
}

for program in tools/flamingosaddled review/platform review/server review/client review/machine; do
    [ -x "$root/target/$program" ] || cannot_run "target/$program is not built"
done

# background NAME PROGRAM ARGUMENT...: starts a process; its id is then in $started.
background()
{
    local name=$1
    shift
    "$@" >>"$directory/$name.log" 2>&1 &
    started=$!
    pids+=("$started")
}

# platform CONFIG: the store with this configuration and the servers that server() has named.
platform()
{
    printf '%s' "$1" >"$directory/config.json"
    background platform "$root/target/review/platform" --listen "$net.1:8223" --config "$directory/config.json" \
        --servers "$directory/servers" --record "$record"
}

# server ID SERVICE ZONE SLOTS OPTION...
server()
{
    local id=$1 service=$2 zone=$3 slots=$4 address
    shift 4
    address="$net.$((100 + $(cat "$directory/servers" 2>/dev/null | wc -l))):8080"
    background "$id" "$root/target/review/server" --listen "$address" --id "$id" --record "$record" "$@"
    echo "$id $service $address $zone $slots" >>"$directory/servers"
}

# daemon NAME ZONE MEMORY_MB: a machine with the daemon of the deploy file, whose template is filled in.
daemon()
{
    local name=$1 zone=$2 memory=$3 ip
    ip="$net.$((10 + ${#daemons[@]}))"
    sed -e "s/{{node_name}}/$name/; s/{{zone}}/$zone/; s/{{listen.frontend}}/$ip:8227/; s/{{listen.ready}}/$ip:8220/" \
        -e "s/{{ip}}/$ip/; s/{{port_range.0}}/7340/; s/{{port_range.1}}/7355/; s/{{platform.address}}/$net.1:8223/" \
        -e "s/{{cloud.address}}/$net.1:8223/; s/{{bounds.revoke_ms}}/5000/; s/{{bounds.retry_ratio}}/0.2/" \
        -e "s/{{bounds.retry_extra}}/54/; s/{{bounds.retry_window_s}}/10/; s/{{bounds.usage_window_s}}/5/" \
        "$root/deploy/daemon.conf" >"$directory/$name.conf"
    background "$name" "$root/target/review/machine" --name "$name" --memory-mb "$memory" --record "$record" \
        --output "$directory/$name.out" -- "$root/target/tools/flamingosaddled" "--settings-file=$directory/$name.conf"
    daemons+=("$ip:8227")
    ready+=("$ip:8220")
}

# is_ready IP:PORT: whether GET /readyz is answered with 200.
is_ready()
{
    local answer=
    exec 9<>"/dev/tcp/${1%:*}/${1#*:}" || return 1
    printf 'GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' >&9
    read -r -t 2 answer <&9
    exec 9>&-
    [[ $answer == *" 200 "* ]]
}

await_ready()
{
    local address deadline=$((SECONDS + 20))
    for address in "${ready[@]}"; do
        until is_ready "$address" 2>/dev/null; do
            [ "$SECONDS" -lt "$deadline" ] || cannot_run "$address is not ready"
            sleep 0.1
        done
    done
    sleep 1
}

# clients NAME OPTION...: clients of all daemons; their id is then in $started.
clients()
{
    local name=$1
    shift
    background "clients-$name" "$root/target/review/client" --name "$name" --record "$record" --host "$host" --key "$key" \
        --to "$(IFS=,; echo "${daemons[*]}")" "$@"
}

# config ROUTES: a configuration with these routes, the service app and one tenant.
config()
{
    printf '%s' '{"version":7,"routes":['"$1"'],"services":[{"name":"app","health_path":"/healthz","max_connections":100,' \
        '"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,' \
        '"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"hule930","api_keys":["'"$key"'"],"priority":1}]}'
}

# route NAME PREFIX TYPE TIMEOUT_MS MAX_ATTEMPTS [LATENCY_GOAL_MS]
route()
{
    printf '%s' '{"name":"'"$1"'","host":"'"$host"'","path_prefix":"'"$2"'","type":"'"$3"'","timeout_ms":'"$4"',' \
        '"latency_goal_ms":'"${6:-300}"',"priority":2,"service":"app","max_attempts":'"$5"',"public":false}'
}

# timeout_check TIMEOUT_MS: whether of the requests that are still unanswered at their route's timeout no more than half have no
# answer half a second later. Eight or more such requests are needed.
timeout_check()
{
    awk -v timeout="$1" '
        $2 == "client" && $9 >= timeout { open += 1; if ($9 >= timeout + 500) late += 1 }
        $2 == "client" && $NF == "200" { answered += 1 }
        END {
            printf "answered: %d; unanswered at the timeout: %d; of these without an answer 500 ms later: %d\n", answered, open, late
            if (answered < 100) exit 2
            exit late >= 8 && late > open / 2 ? 1 : 0
        }' "$record" | tee -a "$record"
    return "${PIPESTATUS[0]}"
}

# daemon_pid NAME: the id of the daemon's process on that machine.
daemon_pid()
{
    awk -v name="$1" '$2 == "machine" && $3 == name && $4 == "started" { pid = $6 } END { print pid }' "$record"
}
