#!/usr/bin/env bash
# Runs the standard benchmark scenarios ("days") of a site with the operators' benchmark program.
# Usage: bench-days.sh SITE.toml [score|hunt] [options]
# The benchmark program is not part of this repository; FLEETBENCH is its path.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ -z "${FLEETBENCH:-}" ] || [ ! -x "$FLEETBENCH" ]; then
    echo "error: benchmark program not found; set FLEETBENCH to the path of an executable. No scenario was run." >&2
    exit 3
fi
site=${1:?the path of a site file is required}
command=${2:-score}
shift $(($# > 1 ? 2 : 1))
exec "$FLEETBENCH" "$command" "$site" --jobs "${JOBS:-3}" "$@"
