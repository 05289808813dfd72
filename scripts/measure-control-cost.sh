#!/usr/bin/env bash
# Prints processor time, memory and peer traffic of an idle entry in deployments of different sizes. ENTRIES lists the
# numbers of entries to measure (default: "3 9 18").
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/register-upstream.sh
seconds=${SECONDS_PER_RUN:-10}
balsammill=build/release/apps/balsammill/balsammill
standin=build/release/standin/balsammill-standin
export BALSAMMILL_PEER_SECRET=measure-peer-secret BALSAMMILL_OPERATOR_TOKEN=measure-operator-token BALSAMMILL_LOG_LEVEL=error
work=$(mktemp -d)
pids=()
cleanup() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    pids=()
}
trap 'cleanup; rm -rf "$work"' EXIT
start() {
    local name=$1
    shift
    "$@" >"$work/$name.ready" 2>/dev/null &
    pids+=($!)
    until grep -q '"ready"' "$work/$name.ready"; do sleep 0.05; done
}
port() { sed -n "s/.*\"$2\":\([0-9]*\).*/\1/p" "$work/$1.ready"; }
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
metric() { curl -s "http://127.0.0.1:$(port e0 operator)/metrics" | awk -v name="$1" '$1 == name {print $2}'; }
domains=(malaybalay valencia lantapan)

echo "| entries | processor time [% of a core] | resident memory [MB] | peer KB/s sent | peer messages/s sent |"
echo "|---|---|---|---|---|"
for entries in ${ENTRIES:-3 9 18}; do
    start platform $standin platform
    platform=127.0.0.1:$(port platform port)
    start upstreams $standin upstream --proto-root examples --schema banhay/tanim.proto --count 18 --run-ms 30
    i=0
    for upstream_port in $(sed -n 's/.*"ports":\[\([0-9,]*\)\].*/\1/p' "$work/upstreams.ready" | tr ',' ' '); do
        register_upstream "$platform" "u$i" "${domains[i % 3]}" "$upstream_port" tanim
        i=$((i + 1))
    done
    for ((i = 0; i < entries; i++)); do
        start "e$i" $balsammill serve --vm "e$i" --failure-domain "${domains[i % 3]}" --deployment measure --platform "$platform"
        [ "$i" -ne 0 ] || measured=${pids[-1]}
    done
    sed 's/"failureDomains": .*/"failureDomains": ["malaybalay", "valencia", "lantapan"],/' examples/banhay/deployment.json >"$work/config.json"
    $balsammill operator --address "127.0.0.1:$(port e0 operator)" apply --config "$work/config.json" --schema-root examples >/dev/null || true
    until curl -sf "http://127.0.0.1:$(port e0 listen)/readyz" >/dev/null; do sleep 0.1; done
    sleep 5
    ticks_before=$(ticks "$measured") bytes_before=$(metric balsammill_peer_sent_bytes) \
        messages_before=$(metric balsammill_peer_sent_messages)
    sleep "$seconds"
    ticks_after=$(ticks "$measured")
    rss_kb=$(awk '/VmRSS/ {print $2}' "/proc/$measured/status")
    awk -v entries="$entries" -v ticks="$((ticks_after - ticks_before))" -v seconds="$seconds" \
        -v ticks_per_second="$(getconf CLK_TCK)" -v rss_kb="$rss_kb" \
        -v bytes_before="$bytes_before" -v bytes_after="$(metric balsammill_peer_sent_bytes)" \
        -v messages_before="$messages_before" -v messages_after="$(metric balsammill_peer_sent_messages)" \
        'BEGIN { printf "| %d | %.2f | %.1f | %.1f | %.1f |\n", entries, 100 * ticks / ticks_per_second / seconds,
            rss_kb / 1024, (bytes_after - bytes_before) / seconds / 1024,
            (messages_after - messages_before) / seconds }'
    cleanup
done
