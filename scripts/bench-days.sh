#!/usr/bin/env bash
# Plays the standard days of a site with the operators' bench: bench-days.sh SITE.toml [score|hunt] [options].
# The bench is not part of this repository; FLEETBENCH names its program.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ -z "${FLEETBENCH:-}" ] || [ ! -x "$FLEETBENCH" ]; then
    echo "The operators' bench is not here (set FLEETBENCH to its program); nothing was played." >&2
    exit 3
fi
site=${1:?a site file}
verb=${2:-score}
shift $(($# > 1 ? 2 : 1))
exec "$FLEETBENCH" "$verb" "$site" --jobs "${JOBS:-3}" "$@"
