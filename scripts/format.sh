#!/usr/bin/env bash
# Formats the hand-written C++ sources with clang-format. With --check, only reports the files that are not formatted.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" = "--check" ]; then
    scripts/sources.sh | xargs -r clang-format --dry-run --Werror
else
    scripts/sources.sh | xargs -r clang-format -i
fi
