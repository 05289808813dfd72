#!/usr/bin/env bash
# Installs the dependencies, checks the format, builds with warnings as errors, runs clang-tidy and runs all tests.
# Tests listed in KNOWN-RED.txt run separately; their results are printed but do not affect the exit status.
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
    echo "Known failures, run separately and excluded from the result: $known_red"
    ctest --preset release -R "^($known_red)\$" || true
    ctest --preset release -E "^($known_red)\$" --no-tests=error
else
    ctest --preset release --no-tests=error
fi
