#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
# The processes of the case end with the program that starts them, and that one with this script.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case_4 ] && [ -x target/system/switchhill ] || exit 2
target/review-2/case_4 &
program=$!
clean() {
    kill -KILL "$program" 2>/dev/null
    wait "$program" 2>/dev/null
    sleep 1
    rm -rf "${TMPDIR:-/tmp}/switchhill-review-$program"
}
trap 'clean; exit 2' HUP INT TERM
wait "$program"
status=$?
[ "$status" -le 1 ] && exit "$status"
clean
exit 2
