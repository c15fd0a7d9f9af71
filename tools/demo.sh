#!/usr/bin/env bash
# End-to-end demonstration on one machine: installs packages, builds, starts a
# fake platform, 48 fake endpoints and seven entry daemons in three failure
# domains, runs jobs, prints every answer and a summary, and stops everything.
# Exits non-zero if a check fails.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install-packages.sh
cmake --preset default >/dev/null
cmake --build --preset default -- --no-print-directory -s >/dev/null
. tests/faults/cluster.sh
dir=$(mktemp -d)
trap 'cluster_stop; rm -rf "$dir"' EXIT
broken=0
check() { # check DESCRIPTION COMMAND...
  local what=$1
  shift
  if "$@" >/dev/null; then
    echo "ok: $what"
  else
    echo "FAILED: $what"
    broken=1
  fi
}
bin=build

echo "== starting the fake platform, the fake endpoints and 7 entry daemons in 3 failure domains"
cluster_start "$PWD/$bin" "$dir"
platform=http://$SNIPE_TEST_PLATFORM
endpoints=http://$SNIPE_TEST_ENDPOINTS
IFS=, read -ra http <<<"$SNIPE_TEST_HTTP"

echo "== publishing examples/rules.txt"
$bin/snipectl --platform "$platform" --who "Dana Wills" rules publish \
  examples/rules.txt
cluster_wait_ready

echo "== one job through each entry daemon; prints each complete answer"
ids=()
for host in "${http[@]}"; do
  id=$(curl -sf -XPOST "http://$host/v1/ids" | jq -r '.ids[0]')
  ids+=("$id")
  $bin/snipe --host "$host" --id "$id" submit examples/job.json \
    | tee "$dir/$id.json"
  echo
  check "the job is complete, with one result per task" jq -e \
    '.outcome == "complete" and (.results | length) == 3' "$dir/$id.json"
done

echo "== submitting the first id again, through another host"
$bin/snipe --host "${http[3]}" --id "${ids[0]}" submit examples/job.json \
  >"$dir/again.json"
check "the answer is the same" cmp "$dir/again.json" "$dir/${ids[0]}.json"
check "each of its 3 tasks was started once" sh -c \
  "[ \$(curl -sf '$endpoints/control/job?id=${ids[0]}' | jq .starts) = 3 ]"

echo "== explaining where its tasks were started"
$bin/snipectl --platform "$platform" explain "${ids[0]}"

echo "== 300 jobs of 1 to 32 tasks at 80 % load, and a summary"
$bin/snipe-load --hosts "$SNIPE_TEST_HTTP" --endpoints-control "$endpoints" \
  --team partner --kind reorder --tasks-min 1 --tasks-max 32 --load 0.8 \
  --jobs 300 --seed 7 || broken=1

echo "== draining one host; the answers of its jobs stay available"
$bin/snipectl --platform "$platform" drain "${http[0]}"
for ((i = 0; i < 300; i++)); do
  curl -s "http://${http[0]}/healthz" >/dev/null || break
  sleep 0.1
done
$bin/snipe --host "${http[1]}" get "${ids[0]}" >"$dir/after.json"
check "the answer is the same after its host has left" cmp "$dir/after.json" \
  "$dir/${ids[0]}.json"
check "no task was started twice" sh -c \
  "[ \$(curl -sf '$endpoints/control/counts' | jq .duplicate_starts) = 0 ]"
[ $broken = 0 ] && echo "== all checks passed"
exit $broken
