#!/usr/bin/env bash
# Installs what is needed, checks format and lint, builds with warnings as errors, and runs every test.
# Tests that KNOWN-RED.txt names are run apart; their results are printed but do not decide the verdict.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-deps.sh
echo "== format"
scripts/format.sh --check
echo "== build"
cmake --preset release >/dev/null
cmake --build --preset release
echo "== lint"
scripts/lint.sh
echo "== tests"
known_red=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' || true)
if [ -n "$known_red" ]; then
    echo "Known failures, passed over: $known_red"
    ctest --preset release -R "^($known_red)\$" || true
    ctest --preset release -E "^($known_red)\$" --no-tests=error
else
    ctest --preset release --no-tests=error
fi
