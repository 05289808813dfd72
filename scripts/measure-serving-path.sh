#!/usr/bin/env bash
# Measures one entry process against stand-ins: the response time that it adds at low load, and the task starts per
# second that it reaches on one core. Needs a release build.
# Usage: measure-serving-path.sh [latency|throughput RATE...] (default: both)
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/register-upstream.sh
balsammill=build/release/apps/balsammill/balsammill
standin=build/release/standin/balsammill-standin
schema=(--proto-root examples --schema banhay/tanim.proto)
runs=${RUNS:-3}
seconds=${SECONDS_PER_RUN:-10}
entry_core=${ENTRY_CORE:-0}
in_flight=${IN_FLIGHT:-900}
export BALSAMMILL_PEER_SECRET=measurement-peer-secret BALSAMMILL_OPERATOR_TOKEN=measurement-operator-token

work=$(mktemp -d)
pids=()
cleanup() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    rm -rf "$work"
}
trap cleanup EXIT

start() {
    local name=$1
    shift
    "$@" >"$work/$name.ready" 2>"$work/$name.log" &
    pids+=($!)
    for _ in $(seq 300); do
        grep -q '"ready"' "$work/$name.ready" && return 0
        sleep 0.1
    done
    cat "$work/$name.log" >&2
    exit 1
}
port() { sed -n "s/.*\"$2\":\([0-9]*\).*/\1/p" "$work/$1.ready"; }
ports() { sed -n 's/.*"ports":\[\([0-9,]*\)\].*/\1/p' "$work/$1.ready" | tr ',' ' '; }

# deploy RUN_MS [PREFIX...]: starts one entry and 50 upstreams with 8 slots each, whose tasks run for RUN_MS
# milliseconds. The words of PREFIX are put before the command that starts the entry.
deploy() {
    local run_ms=$1 i=0
    shift
    start platform $standin platform
    start upstreams $standin upstream "${schema[@]}" --count 50 --slots 8 --run-ms "$run_ms"
    local platform
    platform=127.0.0.1:$(port platform port)
    start entry "$@" $balsammill serve --vm e1 --failure-domain malaybalay --deployment banhay --platform "$platform"
    entry_pid=${pids[-1]}
    for upstream_port in $(ports upstreams); do
        i=$((i + 1))
        register_upstream "$platform" "u$i" malaybalay "$upstream_port" tanim
    done
    sed 's/"failureDomains": .*/"failureDomains": ["malaybalay"],/' examples/banhay/deployment.json >"$work/deployment.json"
    $balsammill operator --address "127.0.0.1:$(port entry operator)" apply --config "$work/deployment.json" --schema-root examples
    entry=127.0.0.1:$(port entry listen)
    for _ in $(seq 200); do
        curl -sf "http://$entry/readyz" >/dev/null && return 0
        sleep 0.1
    done
    echo "error: the entry did not become ready within about 20 s" >&2
    exit 1
}

undeploy() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    pids=()
}

load() { $standin load "${schema[@]}" --seconds "$seconds" --warmup-seconds 2 "$@"; }

# Task starts per second according to the upstreams' logs, from 2 s after the first start until SECONDS_PER_RUN seconds
# after it, when no more calls arrive.
starts_per_second() {
    for upstream_port in $(ports upstreams); do curl -sS "http://127.0.0.1:$upstream_port/control/starts"; done |
        sed 's/.*"start_us":\([0-9]*\).*/\1/' | sort -n |
        awk -v length_s="$seconds" 'NR == 1 { first = $1 }
            $1 >= first + 2e6 && $1 < first + length_s * 1e6 { n++ }
            END { print n / (length_s - 2) }'
}

# Processor time that the entry has used, in seconds. Assumes 100 clock ticks per second.
cpu_seconds() { awk '{ print ($14 + $15) / 100 }' "/proc/$entry_pid/stat"; }

latency() {
    deploy 20
    local direct
    direct=127.0.0.1:$(ports upstreams | cut -d' ' -f1)
    for run in $(seq "$runs"); do
        echo "== low load, run $run: 50 calls/s through the entry and, concurrently, 50 calls/s directly to an upstream"
        load --entry "$direct" --class name=direct,method=banhay.Tanim/BulaklakCheck,rate=50,ideal_ms=20 --seed "1$run" >"$work/direct.txt" &
        local direct_pid=$!
        load --entry "$entry" --class name=entry,method=banhay.Tanim/BulaklakCheck,rate=50,ideal_ms=20 --seed "2$run" >"$work/entry.txt"
        wait $direct_pid
        cat "$work/direct.txt" "$work/entry.txt"
    done
    undeploy
}

throughput() {
    for rate in "$@"; do
        for run in $(seq "$runs"); do
            echo "== $rate calls/s of 50 ms, entry on core $entry_core, run $run"
            deploy 50 taskset -c "$entry_core" >/dev/null
            local before
            before=$(cpu_seconds)
            load --entry "$entry" --class "name=entry,method=banhay.Tanim/BulaklakCheck,rate=$rate,ideal_ms=50" \
                --seed "3$run" --max-in-flight "$in_flight"
            echo "entry: $(echo "$(cpu_seconds) $before" | awk '{ print $1 - $2 }') s of processor time in $seconds s"
            echo "upstreams: $(starts_per_second) starts/s"
            undeploy
        done
    done
}

case "${1:-both}" in
latency) latency ;;
throughput)
    shift
    throughput "$@"
    ;;
*)
    latency
    throughput 2000 4000 6000
    ;;
esac
