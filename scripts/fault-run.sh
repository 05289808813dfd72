#!/usr/bin/env bash
# Runs entries in three failure domains, injects random faults and checks the guarantees that clients rely on.
# Usage: fault-run.sh [--seed SEED] [--seconds SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-deps.sh
cmake --preset release >/dev/null
cmake --build --preset release --target fault_run >/dev/null
exec build/release/tests/faultrun/fault_run "$@"
