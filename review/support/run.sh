#!/usr/bin/env bash
# Runs the case with the number $1: 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out. Ends every process of the project that the case left behind.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/figglade-platform ] && [ -x "target/review/case-$1" ] || exit 2
REVIEW_PROCESSES=$(mktemp) || exit 2
export REVIEW_PROCESSES
end_left() {
    while read -r process; do
        if grep -qs '^target/release/figglade-platform' "/proc/$process/cmdline"; then
            kill -KILL "$process" 2>/dev/null
        fi
    done < "$REVIEW_PROCESSES"
    rm -rf "$REVIEW_PROCESSES" "${TMPDIR:-/tmp}/figglade-review-$case"
}
trap end_left EXIT
trap 'kill -KILL "$case" 2>/dev/null; exit 2' TERM INT HUP
"target/review/case-$1" &
case=$!
wait "$case"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
