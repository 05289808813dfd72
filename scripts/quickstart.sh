#!/usr/bin/env bash
# Installs, builds, and runs a small deployment on this machine: the stand-in platform, two failure domains with two
# entries and four stand-in upstreams each, one call and one job of 20 tasks of each example service, through the command
# line and through curl, the job's time line over all processes, and a graceful shutdown.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/register-upstream.sh
scripts/install-deps.sh
cmake --preset release >/dev/null
cmake --build --preset release --target balsammill balsammill-standin
balsammill=build/release/apps/balsammill/balsammill
standin=build/release/standin/balsammill-standin

export BALSAMMILL_PEER_SECRET=quickstart-peer-secret
export BALSAMMILL_OPERATOR_TOKEN=quickstart-operator-token
work=$(mktemp -d)
pids=()
cleanup() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    rm -rf "$work"
}
trap cleanup EXIT

# start NAME COMMAND...: starts a process and waits for its ready line, which goes into $work/NAME.ready.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.ready" 2>"$work/$name.log" &
    pids+=($!)
    eval "pid_$name=$!"
    for _ in $(seq 300); do
        grep -q '"ready"' "$work/$name.ready" && return 0
        kill -0 "${pids[-1]}" 2>/dev/null || break
        sleep 0.1
    done
    echo "$name did not get ready:" >&2
    cat "$work/$name.log" >&2
    exit 1
}
port() { sed -n "s/.*\"$2\":\([0-9]*\).*/\1/p" "$work/$1.ready"; }
ports() { sed -n 's/.*"ports":\[\([0-9,]*\)\].*/\1/p' "$work/$1.ready" | tr ',' ' '; }

# run_example NAME DOMAIN1 DOMAIN2 LABEL SCHEMA SERVICE METHOD REQUEST TASK
run_example() {
    local name=$1 domain1=$2 domain2=$3 label=$4 schema=$5 service=$6 method=$7 request=$8 task_method=$9 task=${10}
    echo "== $name"
    start "${name}_platform" $standin platform
    local platform entry
    platform=127.0.0.1:$(port "${name}_platform" port)
    for domain in "$domain1" "$domain2"; do
        start "${name}_upstreams_$domain" $standin upstream --proto-root examples --schema "$schema" --count 4 --run-ms 30
        local i=0
        for p in $(ports "${name}_upstreams_$domain"); do
            i=$((i + 1))
            register_upstream "$platform" "$domain-u$i" "$domain" "$p" "$label"
        done
        for i in 1 2; do
            start "${name}_${domain}_e$i" $balsammill serve --vm "$domain-e$i" --failure-domain "$domain" \
                --deployment "$name" --platform "$platform"
        done
    done
    sed "s/\"failureDomains\": .*/\"failureDomains\": [\"$domain1\", \"$domain2\"],/" "examples/$name/deployment.json" >"$work/$name.json"
    $balsammill check --config "$work/$name.json" --schema-root examples
    entry=127.0.0.1:$(port "${name}_${domain1}_e1" listen)
    local other=127.0.0.1:$(port "${name}_${domain2}_e2" listen)
    $balsammill operator --address "127.0.0.1:$(port "${name}_${domain1}_e1" operator)" \
        apply --config "$work/$name.json" --schema-root examples
    for e in "$entry" "$other"; do # Ready also means that the entries know of each other.
        for _ in $(seq 200); do
            curl -sf "http://$e/readyz" >/dev/null && break
            sleep 0.1
        done
        curl -sf "http://$e/readyz" >/dev/null
    done

    echo "-- call through the command line"
    $balsammill call --address "$entry" "$service/$method" "$request"
    echo "-- call through curl"
    curl -sS --fail-with-body -D - -H 'Content-Type: application/json' --data "$request" "http://$other/$service/$method"
    echo
    for i in $(seq 20); do printf '%s\n' "${task//@/$i}"; done >"$work/tasks.jsonl"
    echo "-- job of 20 tasks through the command line"
    $balsammill submit --address "$entry" --job-id "$name-job-1" --method "$service/$task_method" --tasks-file "$work/tasks.jsonl"
    echo "-- job of 20 tasks through curl"
    local list
    list=$(sed 's/"/\\"/g; s/^/"/; s/$/"/' "$work/tasks.jsonl" | paste -sd,)
    curl -sS --fail-with-body -H 'Content-Type: application/json' \
        --data "{\"jobId\":\"$name-job-2\",\"method\":\"$service/$task_method\",\"tasksJson\":[$list]}" \
        "http://$other/balsammill.v1.Jobs/Submit"
    echo
    echo "-- time line of the first job over all processes"
    local addresses=()
    for domain in "$domain1" "$domain2"; do
        for i in 1 2; do addresses+=(--address "127.0.0.1:$(port "${name}_${domain}_e$i" operator)"); done
    done
    $balsammill timeline "${addresses[@]}" --subject "$name-job-1"
    echo "-- graceful shutdown"
    for domain in "$domain1" "$domain2"; do
        for i in 1 2; do
            local pid_name="pid_${name}_${domain}_e$i" status=0
            kill -TERM "${!pid_name}"
            wait "${!pid_name}" || status=$?
            echo "$domain-e$i ended with status $status"
            [ "$status" -eq 0 ]
        done
    done
}

run_example banhay malaybalay valencia tanim banhay/tanim.proto banhay.Tanim \
    BulaklakCheck '{"requestId":"check-1","vineId":"vine-7","fieldLead":"lead-2"}' \
    TalaLog '{"requestId":"log-@","vineId":"vine-7","growerId":"grower-3","flower":@}'
run_example omaruru omaruru karibib blazon-desk omaruru/blazon_desk.proto omaruru.BlazonDesk \
    PreviewTinctures '{"requestId":"preview-1","blazon":"azure, a bend or","tinctures":["azure","or"]}' \
    BookPainter '{"requestId":"booking-@","painterId":"painter-4","commissionId":"commission-@"}'
echo "quickstart finished"
