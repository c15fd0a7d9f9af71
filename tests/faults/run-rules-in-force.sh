#!/usr/bin/env bash
# Runs test_rules_in_force against a cluster of its own, with the default
# intervals, for which the bound of 4 s holds. Argument: build directory.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/cluster.sh"
dir=$(mktemp -d)
trap 'cluster_end $?' EXIT
export SNIPE_HOSTS=6 SNIPE_ENDPOINTS=12 SNIPE_SPEED_MIN=1 SNIPE_SPEED_MAX=1
export SNIPE_RULES='allow team=reorder kind=* domain=*  # asked by Dana Wills'
cluster_start "$1" "$dir"
export SNIPE_TEST_LOGS=$dir
"$1/test_rules_in_force"

# New hosts: one that replaces a killed host, one that reaches a peer but not the
# platform, and one that reaches neither.
IFS=, read -r _ _ _ _ old <<<"${SNIPE_TEST_HOSTS##*;}"
IFS=, read -r _ _ _ peer _ <<<"${SNIPE_TEST_HOSTS%%;*}"
kill -KILL "$old"
rm "$dir/entry-6.port" "$dir/entry-6.log"
cluster_daemon entry-6 bunbury 1
pids=("$cluster_last_pid")
SNIPE_TEST_PLATFORM=127.0.0.1:1 cluster_daemon entry-7 bunbury 1 \
  --peers "$peer"
pids+=("$cluster_last_pid")
SNIPE_TEST_PLATFORM=127.0.0.1:1 cluster_daemon entry-8 bunbury 1
pids+=("$cluster_last_pid")
hosts=""
for i in 6 7 8; do
  cluster_wait_file "$dir/entry-$i.port"
  read -r http rpc <"$dir/entry-$i.port"
  hosts+="${hosts:+;}entry-$i,bunbury,$http,$rpc,${pids[i - 6]}"
done
SNIPE_TEST_HOSTS=$hosts "$1/test_rules_in_force" new
