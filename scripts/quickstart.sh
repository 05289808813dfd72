#!/usr/bin/env bash
# Installs the dependencies, builds balsammill, and runs each example service in a small deployment on this machine: a
# stand-in platform and two failure domains with two entries and four stand-in upstreams each. Sends one call and one
# job of 20 tasks with the command-line client and again with curl, prints the timeline of the first job across all
# processes, and shuts the entries down gracefully.
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

# start NAME COMMAND...: starts a process and waits until it has written its ready line to $work/NAME.ready.
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
    echo "error: $name did not become ready; its log:" >&2
    cat "$work/$name.log" >&2
    exit 1
}
port() { sed -n "s/.*\"$2\":\([0-9]*\).*/\1/p" "$work/$1.ready"; }
ports() { sed -n 's/.*"ports":\[\([0-9,]*\)\].*/\1/p' "$work/$1.ready" | tr ',' ' '; }

# run_example NAME DOMAIN1 DOMAIN2 LABEL SCHEMA SERVICE METHOD REQUEST TASK_METHOD TASK: runs the deployment of one
# example. REQUEST is the JSON request of a call of METHOD. TASK is the JSON request of a job's task, a call of
# TASK_METHOD; each "@" in it is replaced by the number of the task.
run_example() {
    local name=$1 domain1=$2 domain2=$3 label=$4 schema=$5 service=$6 method=$7 request=$8 task_method=$9 task=${10}
    echo "== $name"
    start "${name}_platform" $standin platform
    local platform entry
    platform=127.0.0.1:$(port "${name}_platform" port)
    for domain in "$domain1" "$domain2"; do
        start "${name}_upstreams_$domain" $standin upstream --proto-root examples --schema "$schema" --count 4 --run-ms 30
        local i=0
        for upstream_port in $(ports "${name}_upstreams_$domain"); do
            i=$((i + 1))
            register_upstream "$platform" "$domain-u$i" "$domain" "$upstream_port" "$label"
        done
        for i in 1 2; do
            start "${name}_${domain}_e$i" $balsammill serve --vm "$domain-e$i" --failure-domain "$domain" \
                --deployment "$name" --platform "$platform"
        done
    done
    sed "s/\"failureDomains\": .*/\"failureDomains\": [\"$domain1\", \"$domain2\"],/" "examples/$name/deployment.json" >"$work/$name.json"
    $balsammill check --config "$work/$name.json" --schema-root examples
    entry=127.0.0.1:$(port "${name}_${domain1}_e1" listen)
    local second_entry=127.0.0.1:$(port "${name}_${domain2}_e2" listen)
    $balsammill operator --address "127.0.0.1:$(port "${name}_${domain1}_e1" operator)" \
        apply --config "$work/$name.json" --schema-root examples
    # Apart from a configuration and upstreams, readiness requires that the entry has received heartbeats of the other
    # entries, or has waited long enough for them.
    for address in "$entry" "$second_entry"; do
        for _ in $(seq 200); do
            curl -sf "http://$address/readyz" >/dev/null && break
            sleep 0.1
        done
        curl -sf "http://$address/readyz" >/dev/null
    done

    echo "-- call with the command-line client"
    $balsammill call --address "$entry" "$service/$method" "$request"
    echo "-- call with curl"
    curl -sS --fail-with-body -D - -H 'Content-Type: application/json' --data "$request" \
        "http://$second_entry/$service/$method"
    echo
    for i in $(seq 20); do printf '%s\n' "${task//@/$i}"; done >"$work/tasks.jsonl"
    echo "-- job of 20 tasks with the command-line client"
    $balsammill submit --address "$entry" --job-id "$name-job-1" --method "$service/$task_method" --tasks-file "$work/tasks.jsonl"
    echo "-- job of 20 tasks with curl"
    local list
    list=$(sed 's/"/\\"/g; s/^/"/; s/$/"/' "$work/tasks.jsonl" | paste -sd,)
    curl -sS --fail-with-body -H 'Content-Type: application/json' \
        --data "{\"jobId\":\"$name-job-2\",\"method\":\"$service/$task_method\",\"tasksJson\":[$list]}" \
        "http://$second_entry/balsammill.v1.Jobs/Submit"
    echo
    echo "-- timeline of the first job across all processes"
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
            echo "$domain-e$i exited with status $status"
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
