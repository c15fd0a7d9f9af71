#!/usr/bin/env bash
# Plays five deployments of the case at the same time, each on its own ports,
# because a round breaks the rule only at times. The exit status is 1 if the
# rule was broken in one of them, 0 if it held in all, 2 if one could not run.
set -uo pipefail
cd "$(dirname "$0")/../.."
logs=$(mktemp -d)
trap 'rm -rf "$logs"' EXIT
program=target/review-2/case-6
[ -x "$program" ] && [ -x target/snipelb-platform ] || exit 2
for i in 1 2 3 4 5; do
  mkdir "$logs/$i"
  "$program" target/snipelb-platform "$logs/$i" >"$logs/$i/out" &
  pids[i]=$!
done
result=0
for i in 1 2 3 4 5; do
  wait "${pids[i]}"
  status=$?
  echo "deployment $i: $(cat "$logs/$i/out")"
  if [ "$status" -gt 1 ]; then
    result=2
  elif [ "$status" = 1 ] && [ "$result" = 0 ]; then
    result=1
  fi
done
for i in 1 2 3 4 5; do
  echo "== deployment $i"
  cat "$logs/$i/record.txt"
done >review/6/record.txt
if [ -n "${KEEP_LOGS:-}" ]; then cp -r "$logs"/. "$KEEP_LOGS"; fi
exit "$result"
