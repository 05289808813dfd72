#!/usr/bin/env bash
# Runs the case on the program that the deploy file's build and review/build.sh have built. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/apps/balsammill/balsammill
[ -x "$program" ] && [ -x target/review/review-case ] || exit 2
timeout --signal=KILL 115 target/review/review-case refused-although-stored "$here/record.txt" "$program"
result=$?
[ "$result" -le 1 ] && exit "$result"
exit 2
