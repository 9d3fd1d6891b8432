#!/usr/bin/env bash
# Plays case 1 with processes of the project's own; needs the build of the deploy file and review/build.sh.
# TROUBLE=0 plays it without the disruption. Exit status: 0 if the rule held, 1 if it was broken, 2 if
# the case could not run.
cd "$(dirname "$0")/../.." || exit 2
record=review/1/record.txt
: > "$record" || exit 2

# The case gets a process group of its own, so that whatever it started ends with it.
set -m
target/review/world order "$record" &
case=$!
trap 'kill -KILL -- "-$case" 2>/dev/null' EXIT
trap 'exit 2' INT TERM
wait "$case"
status=$?
if [ "$status" -gt 1 ]; then status=2; fi
exit "$status"
