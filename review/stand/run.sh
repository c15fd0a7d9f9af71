#!/usr/bin/env bash
# Runs the script of one case: run.sh NUMBER. The exit status is 1 if the rule
# was broken, 0 if it held, 2 if the case could not run. KEEP_LOGS names a
# folder for the logs of the hosts.
set -uo pipefail
cd "$(dirname "$0")/../.."
logs=$(mktemp -d)
trap 'rm -rf "$logs"' EXIT
program=target/review-2/case-$1
[ -x "$program" ] && [ -x target/snipelb-platform ] || exit 2
"$program" target/snipelb-platform "$logs"
status=$?
cp "$logs/record.txt" "review/$1/record.txt" || exit 2
if [ -n "${KEEP_LOGS:-}" ]; then cp "$logs"/*.log "$KEEP_LOGS"; fi
[ "$status" -le 1 ] || exit 2
exit "$status"
