#!/usr/bin/env bash
# Runs clang-tidy on the given source files, or on all of them. Needs a configured build in build/release.
set -euo pipefail
cd "$(dirname "$0")/.."
jobs=${LINT_JOBS:-$(nproc)}
{
    if [ $# -gt 0 ]; then printf '%s\n' "$@"; else scripts/sources.sh; fi
} | grep '\.cpp$' | xargs -r -n 1 -P "$jobs" clang-tidy --quiet -p build/release 2> >(grep -v 'warnings generated\|warning generated\|Suppressed\|Use -header-filter' >&2)
