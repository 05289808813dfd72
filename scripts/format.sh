#!/usr/bin/env bash
# Formats the sources; with --check it only reports what differs.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" = "--check" ]; then
    scripts/sources.sh | xargs -r clang-format --dry-run --Werror
else
    scripts/sources.sh | xargs -r clang-format -i
fi
