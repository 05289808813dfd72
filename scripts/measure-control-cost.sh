#!/usr/bin/env bash
# Prints processor time, memory and peer traffic of an idle entry in deployments of several sizes: ENTRIES="3 9 18".
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
    for p in $(sed -n 's/.*"ports":\[\([0-9,]*\)\].*/\1/p' "$work/upstreams.ready" | tr ',' ' '); do
        register_upstream "$platform" "u$i" "${domains[i % 3]}" "$p" tanim
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
    before=$(ticks "$measured") bytes=$(metric balsammill_peer_sent_bytes) messages=$(metric balsammill_peer_sent_messages)
    sleep "$seconds"
    after=$(ticks "$measured")
    rss=$(awk '/VmRSS/ {print $2}' "/proc/$measured/status")
    awk -v e="$entries" -v t="$((after - before))" -v s="$seconds" -v hz="$(getconf CLK_TCK)" -v rss="$rss" \
        -v b="$bytes" -v b2="$(metric balsammill_peer_sent_bytes)" -v m="$messages" -v m2="$(metric balsammill_peer_sent_messages)" \
        'BEGIN { printf "| %d | %.2f | %.1f | %.1f | %.1f |\n", e, 100 * t / hz / s, rss / 1024, (b2 - b) / s / 1024, (m2 - m) / s }'
    cleanup
done
